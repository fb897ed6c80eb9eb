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

	"arrowwalk/internal/connsource"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/eviction"
	"arrowwalk/internal/platform/upstream"
	"arrowwalk/internal/sockstate"
	"arrowwalk/internal/tcpinfo"
)

// conn is a client connection. One goroutine serves it; the fields below mu are
// also used by the disconnect check.
type conn struct {
	server   *Server
	nc       net.Conn
	raw      syscall.RawConn
	reader   *bufio.Reader // nil between requests
	req      http1.Request
	body     http1.Body
	writeBuf []byte
	entry    *eviction.Entry[*conn]
	source   *connsource.Conn // nil if no class is ordered
	requests int              // handed to the host so far

	mu        sync.Mutex
	task      *host.Task // in progress at the host; nil if there is none
	taskSince time.Time
	gone      bool // the client has disconnected
}

// readers holds read buffers for reuse, since idle connections have none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// serve answers the connection's requests until it ends.
func (c *conn) serve() {
	defer c.server.wg.Done()
	defer c.teardown()
	for first := true; c.awaitRequest(first) && c.handleRequest(); first = false {
	}
	c.lingeringClose()
}

// teardown closes the connection and removes it from the table.
func (c *conn) teardown() {
	c.releaseBuffers()
	c.nc.Close()
	c.source.Close()
	c.server.mu.Lock()
	c.server.table.Remove(c.entry)
	c.server.mu.Unlock()
}

// releaseBuffers frees the connection's buffers while no request is in progress.
func (c *conn) releaseBuffers() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readers.Put(c.reader)
		c.reader = nil
	}
	c.writeBuf, c.req = nil, http1.Request{}
}

// setState changes the connection's state. It returns false if the connection was
// evicted meanwhile, in which case nothing more is read from it.
func (c *conn) setState(to eviction.State) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if state, present := c.server.table.State(c.entry); !present || state == eviction.StateClosing && to != eviction.StateClosing {
		return false
	}
	c.server.table.SetState(c.entry, to, c.server.now())
	return true
}

// hasUnreadData reports whether data has arrived that was not read yet.
func (c *conn) hasUnreadData() bool {
	return c.raw != nil && sockstate.Readable(c.raw) && !sockstate.AtEOF(c.raw)
}

// lateReadTimeout bounds the reading of a request that arrived in time and was found
// after its read deadline.
const lateReadTimeout = 50 * time.Millisecond

// awaitRequest waits for the first byte of a request without holding a buffer. It
// returns false if the connection ends instead.
func (c *conn) awaitRequest(first bool) bool {
	buffered := c.reader != nil && c.reader.Buffered() > 0
	c.source.NextRequest(buffered)
	if buffered {
		return c.startReading()
	}
	c.releaseBuffers()
	if !first {
		c.nc.SetReadDeadline(time.Time{}) // before the change of state: an eviction after it sets its own
		if !c.setState(eviction.StateIdle) {
			return false
		}
	}
	waitErr := sockstate.WaitReadable(c.raw)
	if waitErr != nil && !c.hasUnreadData() {
		return false
	}
	if first {
		if !c.setState(eviction.StateFirstRequest) {
			return false
		}
	} else if !c.startReading() {
		return false
	}
	if waitErr != nil { // its time passed while the process was stalled
		c.nc.SetReadDeadline(time.Now().Add(lateReadTimeout))
	}
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.input())
	return true
}

// input returns what the connection's requests are read from.
func (c *conn) input() io.Reader {
	if c.source == nil {
		return c.nc
	}
	return c.source.Reader(c.nc)
}

// startReading begins a request other than the first and sets its read deadline.
func (c *conn) startReading() bool {
	if !c.setState(eviction.StateReading) {
		return false
	}
	c.nc.SetReadDeadline(time.Now().Add(readTimeout))
	return true
}

// handleRequest reads and answers one request. It returns false if the connection
// ends.
func (c *conn) handleRequest() bool {
	c.server.opt.Host.Heartbeat()
	if err := http1.NewReader(c.reader, c.server.headLimits).ReadRequest(&c.req); err != nil {
		return c.reject(err)
	}
	if c.req.Method == "GET" && c.req.Target == "/healthz" {
		return c.respond(200, "", []byte("ok\n")) && c.req.Length == 0 && !c.req.Chunked
	}
	var params requestParams
	if err := c.server.validator.validate(&c.req, &params); err != nil {
		return c.reject(err)
	}
	bodyBytes := c.maxBodyBytes()
	if !c.server.bodyMemory.Acquire(bodyBytes) {
		wait := time.Duration(c.server.opt.Settings.MaxRetryAfter) * time.Microsecond
		c.writeResponse(503, c.retryAfter(wait), nil, true)
		return false
	}
	defer c.server.bodyMemory.Release(bodyBytes)
	body, err := c.readBody()
	if err != nil {
		return c.reject(err)
	}
	if !c.server.requestIDs.add(params.id) {
		return c.reject(newError(409, "%s %.64q: already used by another request", upstream.HeaderRequestID, params.id))
	}
	defer c.server.requestIDs.finish(params.id)
	if !c.setState(eviction.StateWaiting) {
		return false
	}
	return c.forward(&params, body)
}

// maxBodyBytes returns the memory that the request's body may need.
func (c *conn) maxBodyBytes() int64 {
	if c.req.Chunked {
		return upstream.MaxRequestBodyBytes
	}
	return c.req.Length
}

// readBody reads the whole body of the request.
func (c *conn) readBody() ([]byte, error) {
	c.body.Reset(c.reader, c.req.Framing)
	if c.body.Done() {
		return nil, nil
	}
	if c.req.Expect100 && c.reader.Buffered() == 0 {
		c.nc.SetWriteDeadline(time.Now().Add(WriteTimeout)) // that of an earlier response may have passed
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
		err = newError(413, "body exceeds %d bytes", upstream.MaxRequestBodyBytes)
	}
	return body, err
}

// maxArrivalAge bounds the age of unread data that is taken into account.
const maxArrivalAge = 10 * time.Second

// arrivalTime returns when the last byte of the request arrived, which may be
// earlier than when it was read: reliable, for its deadline, and as exactly as the
// kernel tells, for its place among requests with the same key.
func (c *conn) arrivalTime() (reliable, exact time.Time) {
	now := time.Now()
	if c.server.opt.NoArrivalAge {
		return now, now
	}
	age, ok := tcpinfo.LastReceiveAge(c.raw)
	if !ok || age >= maxArrivalAge {
		return now, now
	}
	exact = now.Add(-age)
	if age < tcpinfo.MinReliableAge {
		return now, exact
	}
	return exact, exact
}

// exchange holds the state of one request until its response.
type exchange struct {
	task host.Task
	call upstream.Call
}

// forward hands the request to the host and writes the response for its outcome.
// It returns false if the connection ends.
func (c *conn) forward(p *requestParams, body []byte) bool {
	x := &exchange{call: upstream.Call{Method: c.req.Method, Target: c.req.Target, ID: p.id, Key: p.key, Body: body}}
	x.call.Init(c.server.opt.Sender)
	x.call.ClientGone = c.checkDisconnect
	waitsSince, arrivedAt := c.arrivalTime()
	x.task = host.Task{Class: p.class, Volume: p.volume, Key: p.piece, HasKey: true, Units: p.units, Shard: p.shard,
		ArrivedAt: arrivedAt, Deadline: waitsSince.Add(p.timeout), IsRetry: p.retried, Runner: &x.call, ClientRequestID: p.id, OutlivesClient: true, ReportsResponse: true}
	c.source.BeginTask(&x.task)
	c.requests++
	c.server.stats.requests.Add(1)
	if !c.beginTask(x) {
		c.endTask(x)
		return false
	}
	outcome := c.server.opt.Host.Do(&x.task)
	c.endTask(x)
	defer x.call.ReleaseResponse()
	defer c.server.opt.Host.ResponseSent(&x.task)
	switch outcome.Status {
	case host.Served:
		return c.respond(200, "", x.call.ResponseBody)
	case host.Refused:
		return c.respond(503, c.retryAfter(outcome.RetryAfter), nil)
	case host.ClientGone:
		c.server.stats.clientsGone.Add(1)
		return false
	}
	return c.respond(502, "", nil)
}

// beginTask records that a request is in progress at the host. It returns false
// if the client has disconnected.
func (c *conn) beginTask(x *exchange) bool {
	c.server.mu.Lock()
	c.server.calls[&x.call] = struct{}{}
	c.server.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.task, c.taskSince = &x.task, time.Now()
	return !c.gone
}

// endTask records that the request is no longer in progress at the host.
func (c *conn) endTask(x *exchange) {
	c.server.mu.Lock()
	delete(c.server.calls, &x.call)
	c.server.mu.Unlock()
	c.mu.Lock()
	c.task = nil
	c.mu.Unlock()
}

// checkWaitingClient checks whether the client has disconnected if its request has
// been in progress for at least one check interval.
func (c *conn) checkWaitingClient() {
	c.mu.Lock()
	isWaiting := c.task != nil && time.Since(c.taskSince) > disconnectCheckInterval
	c.mu.Unlock()
	if isWaiting {
		c.checkDisconnect()
	}
}

// checkDisconnect reports whether the client has disconnected. If so, it tells
// the host, and closes the connection once the host has abandoned the task.
func (c *conn) checkDisconnect() bool {
	if c.server.opt.NoDisconnectCheck || !sockstate.PeerClosed(c.raw) {
		return false
	}
	if c.abandonTask() {
		c.server.mu.Lock()
		c.server.table.Remove(c.entry) // an attempt in progress may outlive its client's connection
		c.server.mu.Unlock()
		c.nc.Close()
	}
	return true
}

// abandonTask tells the host that the client has disconnected. It returns false if
// the host cannot abandon the task yet.
func (c *conn) abandonTask() bool {
	c.mu.Lock()
	task := c.task
	c.gone = true
	c.mu.Unlock()
	return task == nil || c.server.opt.Host.Abandon(task)
}

// retryAfter returns a Retry-After field line for a delay, or "" without one.
func (c *conn) retryAfter(wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(wait.Seconds(), 'f', 3, 64) + "\r\n"
}

// respond writes a response. It returns false if the connection ends.
func (c *conn) respond(status int, field string, body []byte) bool {
	last := c.req.Close || c.server.asksReconnect() || !c.shouldKeep()
	return c.writeResponse(status, field, body, last) && !last
}

// shouldKeep reports whether to keep the connection open after a response. During
// a shutdown it is always kept, since its client could not open another one.
func (c *conn) shouldKeep() bool {
	if c.server.isDraining() {
		return true
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.table.ShouldKeep(c.requests <= 1)
}

// maxCopyBytes is the longest body that is copied into the buffer of its head, so
// that both go out in one write.
const maxCopyBytes = 4 << 10

// writeResponse writes a response. field is a complete field line or "". It
// returns false if the write failed.
func (c *conn) writeResponse(status int, field string, body []byte, last bool) bool {
	b := http1.AppendStatusLine(c.writeBuf[:0], status)
	b = append(b, field...)
	b = http1.AppendIntField(b, "Content-Length", int64(len(body)))
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	c.writeBuf = b
	c.nc.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if len(body) > maxCopyBytes { // one vectored write without a copy
		_, err := (&net.Buffers{b, body}).WriteTo(c.nc)
		return err == nil
	}
	c.writeBuf = append(b, body...)
	_, err := c.nc.Write(c.writeBuf)
	return err == nil
}

// reject answers a request that cannot be read or is invalid, and ends the
// connection. It always returns false.
func (c *conn) reject(err error) bool {
	status := http1.StatusOf(err)
	var netErr net.Error
	switch {
	case status != 0:
	case errors.As(err, &netErr) && netErr.Timeout():
		status = 408
	default: // the client has disconnected
		return false
	}
	c.server.stats.rejected.Add(1)
	c.server.opt.Log.Debug("refused", "status", status, "reason", err.Error())
	c.writeResponse(status, "", []byte(err.Error()+"\n"), true)
	return false
}

// maxDiscardBytes bounds what is read and discarded during a lingering close.
const maxDiscardBytes = 256 << 10

// lingeringClose shuts down the sending side and discards what the client still
// sends until it closes its side, for a bounded time. Closing with unread data
// would reset the connection and could destroy the last response. The caller
// closes the connection afterwards.
func (c *conn) lingeringClose() {
	c.source.FinishRequest()
	if !c.setState(eviction.StateClosing) {
		return
	}
	closeWrite(c.nc)
	deadline := time.Now().Add(lingerTimeout)
	c.nc.SetReadDeadline(deadline)
	if n, err := io.CopyN(io.Discard, c.nc, maxDiscardBytes); n < maxDiscardBytes || err != nil {
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.server.done:
	}
}

// closeWrite shuts down the sending side of a connection.
func closeWrite(nc net.Conn) {
	if closer, ok := nc.(interface{ CloseWrite() error }); ok {
		closer.CloseWrite()
	}
}
