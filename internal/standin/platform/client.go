package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"arrowwalk/internal/http1"
	"arrowwalk/internal/rules"
)

// Request is one request of a usual client.
type Request struct {
	Class  string
	Volume uint64
	Piece  uint64
	Plan   string
	Units  int
	Shard  int
	Hosts  int
	Write  bool
	Body   string
	Wait   time.Duration
}

// Client is a usual client: one connection, one request at a time on it.
type Client struct {
	Name string
	Addr func() string
	Log  *Log
	// Stopping tells whether the host may be stopping or starting at a time.
	Stopping func(time.Time) bool

	nc    net.Conn
	in    *bufio.Reader
	count int
}

// Close closes the connection.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Do sends a request and logs what came of it; it returns the status. Where a
// kept connection turns out to be closed, the request goes once more on a new
// one, as the protocol has it.
func (c *Client) Do(q *Request) int {
	text, id, method, target := c.begin(q)
	call := rules.Call{Client: c.Name, Method: method, Key: target, Write: q.Write, Waits: q.Wait.Microseconds()}
	kept := c.nc != nil
	again := c.try(text, id, method, target, &call)
	if again && kept {
		c.try(text, id, method, target, &call)
	}
	call.Ended = now()
	call.Stopping = c.Stopping != nil && (c.Stopping(time.Now()) || c.Stopping(time.UnixMicro(call.Sent)))
	c.Log.mu.Lock()
	delete(c.Log.open, id)
	c.Log.calls = append(c.Log.calls, call)
	c.Log.mu.Unlock()
	return call.Status
}

// Leave sends a request on a new connection, waits and closes it.
func (c *Client) Leave(q *Request, after time.Duration) error {
	text, id, _, _ := c.begin(q)
	nc, err := net.DialTimeout("tcp", c.Addr(), time.Second)
	if err != nil {
		return err
	}
	nc.SetDeadline(time.Now().Add(after))
	io.WriteString(nc, text)
	nc.Read(make([]byte, 1)) // an answer, or the time
	nc.Close()
	c.Log.mu.Lock()
	c.Log.left[id] = now()
	delete(c.Log.open, id)
	c.Log.mu.Unlock()
	return nil
}

// begin makes a request's text and notes it.
func (c *Client) begin(q *Request) (text, id, method, target string) {
	c.count++
	id = fmt.Sprintf("%s%06x", c.Name, c.count)
	method, key := "GET", ""
	if q.Write {
		method, key = "PUT", "key/"+id
	}
	target = fmt.Sprintf("/%s/%016x/%016x", q.Class, q.Volume, q.Piece)
	text = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Plan: %s\r\nX-Timeout: %.3f\r\nX-IO: units=%d,shard=%d,hosts=%d\r\n",
		method, target, id, q.Plan, q.Wait.Seconds(), q.Units, q.Shard, q.Hosts)
	if key != "" {
		text += fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n", key, len(q.Body))
	}
	text += "\r\n" + q.Body
	c.Log.mu.Lock()
	c.Log.sent[id] = method + " " + target + " " + key + " " + q.Body
	c.Log.open[id] = true
	c.Log.mu.Unlock()
	return text, id, method, target
}

// patience is for how long after its time a client looks for a late answer.
const patience = time.Second

// try sends once; again: nothing was read of the request.
func (c *Client) try(text, id, method, target string, call *rules.Call) (again bool) {
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.Addr(), time.Second)
		if err != nil {
			return false
		}
		c.nc, c.in = nc, bufio.NewReader(nc)
	}
	c.nc.SetDeadline(time.Now().Add(time.Duration(call.Waits)*time.Microsecond + patience))
	if _, err := io.WriteString(c.nc, text); err != nil {
		c.Close()
		return true
	}
	call.Sent = now()
	if _, err := c.in.Peek(1); err != nil {
		c.Close()
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	call.Begun = now()
	var head http1.Response
	if err := http1.NewReader(c.in, http1.DefaultLimits).ReadResponse(&head, method); err != nil {
		c.Close()
		return false
	}
	var body http1.Body
	body.Reset(c.in, head.Framing)
	got, err := io.ReadAll(&body)
	call.Status, call.Whole, call.ID = head.Status, err == nil, runID(id)
	call.Wrong = head.Status == 200 && string(got) != Answer(method, target, id)
	wait, bad := strconv.ParseFloat(head.Fields.Get("Retry-After"), 64)
	call.RetryTold = bad == nil && wait > 0
	call.Extra = c.in.Buffered() > 0
	if err != nil || head.Close {
		c.Close()
	}
	return false
}

// Stranger is what a bad client sends.
type Stranger struct {
	Name string
	Text string        // that it sends
	Fill int           // bytes more that it sends, as fast as it can
	Hang bool          // it closes right after
	Stay bool          // after the first answer it waits for a second one, for secondWait at most
	Most time.Duration // by when it is owed an error or a close
}

const (
	headOf  = " HTTP/1.1\r\nHost: s\r\nX-Plan: basic\r\n"
	pathOf  = "/fetch-text/00000000000000aa/00000000000000bb"
	writeOf = "/save-paper/00000000000000aa/00000000000000bb"
	ioOf    = "X-IO: units=1,shard=0,hosts=1\r\n"
	// smuggledIO names a shard whose brick is not replaced: a request to a cold
	// brick may be refused for another reason than the one that a proof looks for.
	smuggledIO = "X-IO: units=1,shard=1,hosts=1\r\n"
	waitOf     = "X-Timeout: 1.0\r\n"
	strange    = 3 * time.Second
	flooding   = 6 * time.Second
	// secondWait is longer than the time that a hidden request has (waitOf). A
	// client that left after the first answer would take the hidden request with
	// it: the host drops what waits for a client that has gone.
	secondWait = 2 * time.Second
)

// Strangers are the bad clients; open is the id of another client's open
// request. None of what they send may reach a brick.
func Strangers(open string) []Stranger {
	id := func(n int) string { return fmt.Sprintf("X-Request-ID: stranger%d\r\n", n) }
	smuggled := "GET " + pathOf + headOf + id(90) + waitOf + smuggledIO + "\r\n"
	return []Stranger{
		{Name: "noise", Text: "\x00\x01\x02 what is this\r\n\r\n"},
		{Name: "noise without an end", Text: "\x00\x01\x02"},
		{Name: "an endless line", Text: "GET /", Fill: 1 << 20},
		{Name: "an endless head", Text: "GET " + pathOf + " HTTP/1.1\r\nX-More: ", Fill: 1 << 20},
		{Name: "two lengths", Text: "PUT " + writeOf + headOf + id(1) + waitOf + ioOf + "Idempotency-Key: k\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
		{Name: "a negative length", Text: "PUT " + writeOf + headOf + id(2) + waitOf + ioOf + "Idempotency-Key: k\r\nContent-Length: -3\r\n\r\nabc"},
		{Name: "a huge length", Text: "PUT " + writeOf + headOf + id(3) + waitOf + ioOf + "Idempotency-Key: k\r\nContent-Length: 99999999999999999999\r\n\r\nabc"},
		{Name: "60 MB", Text: "PUT " + writeOf + headOf + id(4) + waitOf + ioOf + "Idempotency-Key: k\r\nContent-Length: 62914560\r\n\r\n", Fill: 60 << 20, Most: flooding},
		{Name: "60 MB in a chunk", Text: "PUT " + writeOf + headOf + id(5) + waitOf + ioOf + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n3c00000\r\n", Fill: 60 << 20, Most: flooding},
		{Name: "a request in a body", Text: "PUT " + writeOf + headOf + id(6) + waitOf + ioOf + fmt.Sprintf("Idempotency-Key: k\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 5+len(smuggled)) + smuggled, Stay: true},
		{Name: "an unknown class", Text: "GET /other/00000000000000aa/00000000000000bb" + headOf + id(7) + waitOf + ioOf + "\r\n"},
		{Name: "an unknown plan", Text: "GET " + pathOf + " HTTP/1.1\r\nHost: s\r\nX-Plan: gold\r\n" + id(8) + waitOf + ioOf + "\r\n"},
		{Name: "a deadline that is no number", Text: "GET " + pathOf + headOf + id(9) + "X-Timeout: soon\r\n" + ioOf + "\r\n"},
		{Name: "an endless deadline", Text: "GET " + pathOf + headOf + id(10) + "X-Timeout: inf\r\n" + ioOf + "\r\n"},
		{Name: "units that are no number", Text: "GET " + pathOf + headOf + id(11) + waitOf + "X-IO: units=many,shard=0,hosts=1\r\n\r\n"},
		{Name: "a shard that does not exist", Text: "GET " + pathOf + headOf + id(12) + waitOf + "X-IO: units=1,shard=60000,hosts=1\r\n\r\n"},
		{Name: "no id", Text: "GET " + pathOf + headOf + waitOf + ioOf + "\r\n"},
		{Name: "an open id", Text: "GET " + pathOf + headOf + "X-Request-ID: " + open + "\r\n" + waitOf + ioOf + "\r\n"},
		{Name: "a method of another class", Text: "PUT " + pathOf + headOf + id(13) + waitOf + ioOf + "Content-Length: 0\r\n\r\n"},
		{Name: "a keyed class without its key", Text: "PUT " + writeOf + headOf + id(14) + waitOf + ioOf + "Content-Length: 0\r\n\r\n"},
		{Name: "half a head", Text: "GET " + pathOf + headOf},
		{Name: "half a body", Text: "PUT " + writeOf + headOf + id(15) + waitOf + ioOf + "Idempotency-Key: k\r\nContent-Length: 30\r\n\r\nabc"},
		{Name: "half a body and a close", Text: "PUT " + writeOf + headOf + id(16) + waitOf + ioOf + "Idempotency-Key: k\r\nContent-Length: 30\r\n\r\nabc", Hang: true},
		{Name: "silence"},
	}
}

// Visit plays a stranger at addr; the error tells what it was owed and did not
// get. It counts from when it connected.
func (s *Stranger) Visit(addr string) error {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	most := max(s.Most, strange)
	nc.SetDeadline(time.Now().Add(most))
	written := make(chan struct{})
	go func() {
		defer close(written)
		io.WriteString(nc, s.Text)
		block := make([]byte, 64<<10)
		for left := s.Fill; left > 0; left -= len(block) {
			if _, err := nc.Write(block[:min(left, len(block))]); err != nil {
				return
			}
		}
	}()
	defer func() {
		nc.Close()
		<-written
	}()
	if s.Hang {
		<-written
		return nil
	}
	var head http1.Response
	in := bufio.NewReader(nc)
	answers := http1.NewReader(in, http1.DefaultLimits)
	err = answers.ReadResponse(&head, "GET")
	if err == nil && s.Stay {
		nc.SetDeadline(time.Now().Add(secondWait))
		var body http1.Body
		body.Reset(in, head.Framing)
		if _, skipErr := io.Copy(io.Discard, &body); skipErr == nil {
			answers.ReadResponse(new(http1.Response), "GET") // an answer, a close or the deadline: each ends the visit
		}
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fmt.Errorf("%s: neither an error nor a close within %s", s.Name, most)
	case err == nil && head.Status < 400:
		return fmt.Errorf("%s: answered %d", s.Name, head.Status)
	}
	return nil
}
