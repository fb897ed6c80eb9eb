// Package clients is the clients' half of proofs: scripted clients of the
// object API that write their own requests, pause, hang up and read slowly,
// and log what passed on their sockets.
package clients

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/rules/trail"
	"arrowwalk/internal/tcpinfo"
)

// Log collects the calls of many clients in a file; its zero value keeps none.
type Log struct {
	trail *trail.Trail[rules.Call]
}

// NewLog makes the file. Calls can be read in order of Ended (key 0).
func NewLog(path string) (*Log, error) {
	t, err := trail.Create(path, func(c *rules.Call) int64 { return c.Ended })
	if err != nil {
		return nil, err
	}
	return &Log{t}, nil
}

// Add appends a call.
func (l *Log) Add(c rules.Call) {
	if l.trail != nil {
		l.trail.Add(c)
	}
}

// Calls returns what is kept; nil: nothing is.
func (l *Log) Calls() *trail.Trail[rules.Call] { return l.trail }

// Close closes the file; it stays.
func (l *Log) Close() error {
	if l.trail == nil {
		return nil
	}
	return l.trail.Close()
}

// Target is a gateway.
type Target struct {
	Host   int
	Addr   string // HOST:PORT
	Signer sigv4.Signer
	// Stopping tells whether the gateway was told to stop, or killed, near a
	// time; nil: never.
	Stopping func(at time.Time) bool
}

// Request is one request and how the client behaves with it.
type Request struct {
	Method string
	Path   string // decoded, as /bucket/key
	Query  sigv4.Query
	Fields http1.Fields
	Body   []byte
	Wait   time.Duration // for how long the client waits for an answer; 0: 10 s
	// Patience is for how much longer than Wait it stays, to see how late a
	// late answer is; 0: 2 s.
	Patience time.Duration
	Want     []byte        // the answer's body must be this; nil: anything
	Skew     time.Duration // of the client's clock

	OnSent func() // called when all was sent; nil: nothing is

	HangUpAfter int           // bytes of the body after which it hangs up; 0: never
	HangUpWait  time.Duration // it hangs up so long after it sent all; 0: never
	Pause       time.Duration // in the middle of its body
	ReadBytes   int           // it reads so many bytes of the answer's body,
	ReadEvery   time.Duration // so often; 0: all at once
	ReadMost    int           // and hangs up after so many; 0: never
}

// Answer is what came back.
type Answer struct {
	Call   rules.Call
	Fields http1.Fields
	Body   []byte
	Err    error
}

// Client is one scripted client with a connection that it keeps. It is used
// by one goroutine.
type Client struct {
	Name   string
	Target *Target
	Log    *Log

	nc  net.Conn
	in  *bufio.Reader
	out []byte
}

// Close hangs up.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

const defaultWait = 10 * time.Second

// headerWait tells the gateway for how long the client waits.
const headerWait = "X-Arrowwalk-Wait-Ms"

// Do sends a request, reads its answer and logs both.
func (c *Client) Do(r *Request) Answer {
	if r.Wait == 0 {
		r.Wait = defaultWait
	}
	a := Answer{Call: rules.Call{Client: c.Name, Host: c.Target.Host, Method: r.Method, Key: r.Path,
		Write: r.Method == "PUT" || r.Method == "POST" || r.Method == "DELETE", Waits: r.Wait.Microseconds()}}
	a.Err = c.exchange(r, &a)
	a.Call.Ended = time.Now().UnixMicro()
	if a.Err != nil || a.Call.Left {
		c.Close()
	}
	if c.Target.Stopping != nil && c.Target.Stopping(time.UnixMicro(max(a.Call.Sent, a.Call.Ended))) {
		a.Call.Stopping = true
	}
	c.Log.Add(a.Call)
	return a
}

// stale looks at a connection that was kept: one that its gateway has closed
// is not used again, and bytes that nobody asked for are told.
func (c *Client) stale(a *Answer) bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	stale := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		a.Call.Extra = err == nil && n > 0
		stale = err == nil || err != syscall.EAGAIN && err != syscall.EINTR
	})
	return stale || err != nil
}

func (c *Client) exchange(r *Request, a *Answer) error {
	if c.nc != nil && c.stale(a) {
		c.Close()
	}
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.Target.Addr, 2*time.Second)
		if err != nil {
			return err
		}
		c.nc, c.in = nc, bufio.NewReaderSize(nc, 16<<10)
	}
	if err := c.send(r, a); err != nil || a.Call.Left {
		return err
	}
	a.Call.Sent = time.Now().UnixMicro()
	if r.OnSent != nil {
		r.OnSent()
	}
	if r.HangUpWait > 0 {
		c.nc.SetReadDeadline(time.Now().Add(r.HangUpWait))
		if _, err := c.in.Peek(1); err != nil {
			a.Call.Left = true
			return nil
		}
	}
	return c.receive(r, a)
}

// came returns the earliest time at which what was read may have come, where
// this process may have stood still since; 0: it came now.
func (c *Client) came() rules.Micros {
	if sc, ok := c.nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			if age, ok := tcpinfo.LastReceiveAge(raw); ok && age >= tcpinfo.MinReliableAge {
				return time.Now().Add(-age).UnixMicro()
			}
		}
	}
	return 0
}

// build returns the head of the signed request.
func (c *Client) build(r *Request) []byte {
	fields := append(http1.Fields{{Name: "Host", Value: c.Target.Addr}}, r.Fields...)
	signed := &sigv4.Request{Method: r.Method, Path: r.Path, Query: r.Query, Fields: fields}
	added, _ := c.Target.Signer.Sign(signed, sigv4.UnsignedPayload, time.Now().Add(r.Skew))
	b := append(c.out[:0], r.Method...)
	b = sigv4.AppendPercentEncoded(append(b, ' '), r.Path, true)
	for i, p := range r.Query {
		b = append(b, "?&"[min(i, 1)])
		b = append(sigv4.AppendPercentEncoded(b, p.Name, false), '=')
		b = sigv4.AppendPercentEncoded(b, p.Value, false)
	}
	b = append(b, " HTTP/1.1\r\n"...)
	for _, f := range append(fields, added...) {
		b = http1.AppendField(b, f.Name, f.Value)
	}
	b = http1.AppendIntField(b, headerWait, r.Wait.Milliseconds())
	b = http1.AppendIntField(b, "Content-Length", int64(len(r.Body)))
	c.out = append(b, "\r\n"...)
	return c.out
}

func (c *Client) send(r *Request, a *Answer) error {
	head := c.build(r)
	c.nc.SetWriteDeadline(time.Now().Add(time.Minute))
	if r.HangUpAfter == 0 && r.Pause == 0 {
		buffers := net.Buffers{head, r.Body}
		_, err := buffers.WriteTo(c.nc)
		return c.sendErr(err)
	}
	if _, err := c.nc.Write(head); err != nil {
		return c.sendErr(err)
	}
	cut := len(r.Body) / 2
	if r.HangUpAfter > 0 {
		cut = min(r.HangUpAfter, len(r.Body))
	}
	if _, err := c.nc.Write(r.Body[:cut]); err != nil {
		return c.sendErr(err)
	}
	if r.HangUpAfter > 0 {
		a.Call.Left = true
		return nil
	}
	time.Sleep(r.Pause) // the script's own pause, not a wait for something
	_, err := c.nc.Write(r.Body[cut:])
	return c.sendErr(err)
}

// sendErr passes over a write that broke: the gateway may have answered early.
func (c *Client) sendErr(err error) error {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// receive reads the answer, at the client's pace.
func (c *Client) receive(r *Request, a *Answer) error {
	grace := r.Patience
	if grace == 0 {
		grace = 2 * time.Second
	}
	c.nc.SetReadDeadline(time.UnixMicro(a.Call.Sent).Add(r.Wait + grace))
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	a.Call.Begun, a.Call.Came = time.Now().UnixMicro(), c.came()
	c.nc.SetReadDeadline(time.Now().Add(time.Minute))
	var p http1.Response
	if err := http1.NewReader(c.in, http1.DefaultLimits).ReadResponse(&p, r.Method); err != nil {
		return err
	}
	a.Call.Status, a.Call.ID, a.Fields = p.Status, p.Fields.Get("x-amz-request-id"), p.Fields
	a.Call.RetryTold = p.Fields.Get("Retry-After") != ""
	var body http1.Body
	body.Reset(c.in, p.Framing)
	if r.Method == "HEAD" {
		body.Reset(c.in, http1.Framing{})
	}
	err := c.readBody(r, a, &body)
	if a.Call.Left {
		return nil
	}
	a.Call.Whole = err == nil
	if p.Status < 300 && r.Want != nil {
		a.Call.Wrong = !bytes.HasPrefix(r.Want, a.Body) || a.Call.Whole && len(a.Body) != len(r.Want)
	}
	if err != nil {
		return err
	}
	a.Call.Extra = a.Call.Extra || c.in.Buffered() > 0
	if p.Close {
		c.nc.SetReadDeadline(time.Now().Add(time.Second))
		if n, _ := io.Copy(io.Discard, c.in); n > 0 {
			a.Call.Extra = true
		}
		c.Close()
	}
	return nil
}

func (c *Client) readBody(r *Request, a *Answer, body *http1.Body) error {
	if r.ReadEvery == 0 {
		var err error
		a.Body, err = io.ReadAll(body)
		return err
	}
	buf := make([]byte, max(1, r.ReadBytes))
	tick := time.NewTicker(r.ReadEvery)
	defer tick.Stop()
	for {
		n, err := body.Read(buf)
		a.Body = append(a.Body, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.ReadMost > 0 && len(a.Body) >= r.ReadMost {
			a.Call.Left = true
			return nil
		}
		<-tick.C
	}
}

// After returns how long a refusal asks to wait.
func (a *Answer) After() time.Duration {
	s, err := strconv.Atoi(a.Fields.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(s) * time.Second
}

// Text returns what stands in an XML element of the answer's body.
func (a *Answer) Text(element string) (string, error) {
	_, rest, ok := strings.Cut(string(a.Body), "<"+element+">")
	text, _, ok2 := strings.Cut(rest, "<")
	if !ok || !ok2 {
		return "", fmt.Errorf("answer %d has no %s", a.Call.Status, element)
	}
	return text, nil
}
