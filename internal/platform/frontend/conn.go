package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/eviction"
	"arrowwalk/internal/platform/upstream"
	"arrowwalk/internal/sockstate"
	"arrowwalk/internal/tcpinfo"
)

// conn is one client's connection, served by one goroutine.
type conn struct {
	s     *Server
	nc    net.Conn
	raw   syscall.RawConn
	in    *bufio.Reader // nil between requests
	req   http1.Request
	body  http1.Body
	out   []byte
	place *eviction.Entry[*conn]
	asked int // requests so far

	mu    sync.Mutex
	task  *host.Task // that the host decides on
	since time.Time  // it has been there
	left  bool       // the client has gone
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

func (c *conn) serve() {
	defer c.s.wg.Done()
	defer c.end()
	for fresh := true; c.await(fresh) && c.serveOne(); fresh = false {
	}
	c.linger()
}

func (c *conn) end() {
	c.release()
	c.nc.Close()
	c.s.mu.Lock()
	c.s.table.Remove(c.place)
	c.s.mu.Unlock()
}

// release gives the reader back while nothing is read.
func (c *conn) release() {
	if c.in != nil {
		c.in.Reset(nil)
		readers.Put(c.in)
		c.in = nil
	}
	c.out, c.req = nil, http1.Request{}
}

// stage moves the connection to a stage; false: it gave way meanwhile, and
// what comes on it is not read any more.
func (c *conn) stage(to eviction.State) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if at, here := c.s.table.State(c.place); !here || at == eviction.StateClosing && to != eviction.StateClosing {
		return false
	}
	c.s.table.SetState(c.place, to, c.s.now())
	return true
}

// speaks tells whether bytes have come that nobody has read.
func (c *conn) speaks() bool {
	return c.raw != nil && sockstate.Readable(c.raw) && !sockstate.AtEOF(c.raw)
}

// await waits for a request's first byte, without a buffer.
func (c *conn) await(fresh bool) bool {
	if c.in != nil && c.in.Buffered() > 0 {
		return c.startReading()
	}
	c.release()
	if !fresh {
		c.nc.SetReadDeadline(time.Time{}) // before: who evicts it sets another
		if !c.stage(eviction.StateIdle) {
			return false
		}
	}
	if err := sockstate.WaitReadable(c.raw); err != nil {
		return false
	}
	if fresh {
		if !c.stage(eviction.StateFirstRequest) {
			return false
		}
	} else if !c.startReading() {
		return false
	}
	c.in = readers.Get().(*bufio.Reader)
	c.in.Reset(c.nc)
	return true
}

// startReading moves the connection into its next request.
func (c *conn) startReading() bool {
	if !c.stage(eviction.StateReading) {
		return false
	}
	c.nc.SetReadDeadline(time.Now().Add(readMax))
	return true
}

// serveOne reads and answers one request; false: the connection ends.
func (c *conn) serveOne() bool {
	c.s.opt.Host.Heartbeat()
	if err := http1.NewReader(c.in, c.s.limits).ReadRequest(&c.req); err != nil {
		return c.refuse(err)
	}
	if c.req.Method == "GET" && c.req.Target == "/healthz" {
		return c.answer(200, "", []byte("ok\n")) && c.req.Length == 0 && !c.req.Chunked
	}
	var a asked
	if err := c.s.checker.check(&c.req, &a); err != nil {
		return c.refuse(err)
	}
	held := c.bodyMax()
	if !c.s.bodies.Acquire(held) {
		wait := time.Duration(c.s.opt.Settings.MaxWait) * time.Microsecond
		c.write(503, c.retryAfter(wait), nil, true)
		return false
	}
	defer c.s.bodies.Release(held)
	body, err := c.readBody()
	if err != nil {
		return c.refuse(err)
	}
	if !c.s.ids.take(a.id) {
		return c.refuse(bad(409, "%s %.64q: it is, or was, another request's", upstream.HeaderRequestID, a.id))
	}
	defer c.s.ids.done(a.id)
	if !c.stage(eviction.StateWaiting) {
		return false
	}
	return c.decide(&a, body)
}

// bodyMax returns how much memory the request's body may take, bytes.
func (c *conn) bodyMax() int64 {
	if c.req.Chunked {
		return upstream.MaxRequestBodyBytes
	}
	return c.req.Length
}

// readBody reads the request's body whole.
func (c *conn) readBody() ([]byte, error) {
	c.body.Reset(c.in, c.req.Framing)
	if c.body.Done() {
		return nil, nil
	}
	if c.req.Expect100 && c.in.Buffered() == 0 {
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	if !c.req.Chunked {
		body := make([]byte, c.req.Length)
		_, err := io.ReadFull(&c.body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(&c.body, upstream.MaxRequestBodyBytes+1))
	if err == nil && len(body) > upstream.MaxRequestBodyBytes {
		err = bad(413, "body over %d bytes", upstream.MaxRequestBodyBytes)
	}
	return body, err
}

// ageMax is the oldest that bytes found in a socket are taken to be.
const ageMax = 10 * time.Second

// came returns when the request's last byte came, whenever it was read.
func (c *conn) came() time.Time {
	now := time.Now()
	if c.s.opt.NoArrivalAge {
		return now
	}
	if age, ok := tcpinfo.LastReceiveAge(c.raw); ok && age >= tcpinfo.MinReliableAge && age < ageMax {
		return now.Add(-age)
	}
	return now
}

// exchange is what one request needs until its answer.
type exchange struct {
	task host.Task
	call upstream.Call
}

// decide hands the request to the host and passes its final word on.
func (c *conn) decide(a *asked, body []byte) bool {
	x := &exchange{call: upstream.Call{Method: c.req.Method, Target: c.req.Target, ID: a.id, Key: a.key, Body: body}}
	x.call.Init(c.s.opt.Sender)
	x.call.ClientGone = c.lookLeft
	x.task = host.Task{Class: a.class, Volume: a.volume, Key: a.piece, HasKey: true, Units: a.units, Shard: a.shard,
		Deadline: c.came().Add(a.timeout), IsRetry: a.again, Runner: &x.call, ClientRequestID: a.id, OutlivesClient: true, ReportsResponse: true}
	c.asked++
	c.s.stats.requests.Add(1)
	if !c.enter(x) {
		c.leave(x)
		return false
	}
	v := c.s.opt.Host.Do(&x.task)
	c.leave(x)
	defer x.call.ReleaseResponse()
	defer c.s.opt.Host.ResponseSent(&x.task)
	switch v.Status {
	case host.Served:
		return c.answer(200, "", x.call.ResponseBody)
	case host.Refused:
		return c.answer(503, c.retryAfter(v.RetryAfter), nil)
	case host.ClientGone:
		c.s.stats.gone.Add(1)
		return false
	}
	return c.answer(502, "", nil)
}

// enter notes that a request waits for the host; false: the client has gone.
func (c *conn) enter(x *exchange) bool {
	c.s.mu.Lock()
	c.s.calls[&x.call] = struct{}{}
	c.s.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task, c.since = &x.task, time.Now()
	return !c.left
}

func (c *conn) leave(x *exchange) {
	c.s.mu.Lock()
	delete(c.s.calls, &x.call)
	c.s.mu.Unlock()
	c.mu.Lock()
	c.task = nil
	c.mu.Unlock()
}

// lookGone tells the host where the client of a waiting task has gone.
func (c *conn) lookGone() {
	c.mu.Lock()
	waits := c.task != nil && time.Since(c.since) > watchEvery
	c.mu.Unlock()
	if waits {
		c.lookLeft()
	}
}

// lookLeft looks whether the client has gone, and tells the host.
func (c *conn) lookLeft() bool {
	if c.s.opt.NoDisconnectCheck || !sockstate.PeerClosed(c.raw) {
		return false
	}
	if c.abandon() {
		c.s.mu.Lock()
		c.s.table.Remove(c.place) // an attempt that is out may outlive its client
		c.s.mu.Unlock()
		c.nc.Close()
	}
	return true
}

// abandon tells the host that the client has gone; false: it could not yet.
func (c *conn) abandon() bool {
	c.mu.Lock()
	t := c.task
	c.left = true
	c.mu.Unlock()
	return t == nil || c.s.opt.Host.Abandon(t)
}

// retryAfter returns the header field that advises a wait; "": none.
func (c *conn) retryAfter(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) + "\r\n"
}

// answer writes an answer; false: the connection ends.
func (c *conn) answer(status int, field string, body []byte) bool {
	last := c.req.Close || c.s.tells() || !c.kept()
	return c.write(status, field, body, last) && !last
}

// kept tells whether there is room to keep the connection after an answer. In a
// planned restart it is kept all the same: its client would get no other.
func (c *conn) kept() bool {
	if c.s.draining() {
		return true
	}
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.s.table.ShouldKeep(c.asked <= 1)
}

// copyMax is the longest body that is copied behind its head, bytes.
const copyMax = 4 << 10

// write writes an answer; false: it did not arrive.
func (c *conn) write(status int, field string, body []byte, last bool) bool {
	b := http1.AppendStatusLine(c.out[:0], status)
	b = append(b, field...)
	b = http1.AppendIntField(b, "Content-Length", int64(len(body)))
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	c.out = b
	c.nc.SetWriteDeadline(time.Now().Add(writeMax))
	if len(body) > copyMax { // in one call without a copy
		_, err := (&net.Buffers{b, body}).WriteTo(c.nc)
		return err == nil
	}
	c.out = append(b, body...)
	_, err := c.nc.Write(c.out)
	return err == nil
}

// refuse answers what can't be read or is not allowed, and ends the connection.
func (c *conn) refuse(err error) bool {
	status := http1.StatusOf(err)
	var late net.Error
	switch {
	case status != 0:
	case errors.As(err, &late) && late.Timeout():
		status = 408
	default: // it has gone, or closed inside a request
		return false
	}
	c.s.stats.bad.Add(1)
	c.s.opt.Log.Debug("refused", "status", status, "reason", err.Error())
	c.write(status, "", []byte(err.Error()+"\n"), true)
	return false
}

// discardMax is how much of a client's bytes is read and dropped at the end.
const discardMax = 256 << 10

// linger is a lingering close: this side of the connection is shut, and what
// still comes is read and dropped until the client has closed its own, for a
// bounded time. A close with unread bytes would reset the connection under the
// last answer. The caller closes the connection after it.
func (c *conn) linger() {
	if !c.stage(eviction.StateClosing) {
		return
	}
	shutWrite(c.nc)
	until := time.Now().Add(lingerMax)
	c.nc.SetReadDeadline(until)
	if n, err := io.CopyN(io.Discard, c.nc, discardMax); n < discardMax || err != nil {
		return
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.s.quit:
	}
}

// shutWrite shuts this side of a connection.
func shutWrite(nc net.Conn) {
	if half, ok := nc.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
}
