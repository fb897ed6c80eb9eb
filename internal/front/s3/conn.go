package s3

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/config"
	"arrowwalk/internal/connsource"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/sockstate"
)

// conn is a client connection.
type conn struct {
	server   *Server
	netConn  net.Conn
	rawConn  syscall.RawConn
	reader   *bufio.Reader // nil while idle
	writeBuf []byte
	req      http1.Request
	body     http1.Body

	source        *connsource.Conn // nil if no class is ordered
	socketEmptyAt time.Time        // when the socket was last seen empty, approximately

	mu             sync.Mutex
	idle           bool
	clientGone     bool                     // the client has disconnected
	otherTasks     map[*host.Task]time.Time // further waiting tasks and when they began to wait
	firstTask      *host.Task               // first waiting task, for most requests the only one
	firstTaskSince time.Time                // when firstTask began to wait
}

// readerPool holds the read buffers that idle connections release.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 8<<10) }}

// serve serves the requests of the connection until it ends.
func (c *conn) serve() {
	defer c.server.wg.Done()
	defer func() {
		c.releaseBuffers()
		c.netConn.Close()
		c.source.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		c.server.stats.openConns.Add(-1)
	}()
	for c.waitForRequest() && c.serveRequest() {
	}
}

// releaseBuffers returns the reader to the pool and frees the other buffers of
// an idle connection.
func (c *conn) releaseBuffers() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
	c.writeBuf = nil
	c.req = http1.Request{}
}

// waitForRequest waits for the first byte of a request. An idle connection
// holds no buffers. It returns false if the connection is to be closed.
func (c *conn) waitForRequest() bool {
	buffered := c.reader != nil && c.reader.Buffered() > 0
	c.source.NextRequest(buffered)
	if buffered {
		return !c.server.closing.Load()
	}
	c.socketEmptyAt = time.Now()
	c.mu.Lock()
	c.idle = true
	c.netConn.SetReadDeadline(time.Now().Add(config.MS(c.server.cfg.Timeouts.IdleMS)))
	closing := c.server.closing.Load()
	c.mu.Unlock()
	if closing && !c.hasUnreadData() {
		return false
	}
	if c.rawConn != nil {
		if err := c.waitForByte(); err != nil {
			return false
		}
	}
	c.mu.Lock()
	c.idle = false
	c.netConn.SetReadDeadline(time.Now().Add(config.MS(c.server.cfg.Timeouts.HeaderMS)))
	c.mu.Unlock()
	if c.reader == nil {
		c.reader = readerPool.Get().(*bufio.Reader)
		c.reader.Reset(stallTolerantReader{c, c.input()})
	}
	return true
}

// bufferReleaseDelay is how long an idle connection keeps its buffers after a
// request.
const bufferReleaseDelay = 100 * time.Millisecond

// waitForByte waits until a byte can be read. A connection that stays idle
// releases its buffers after bufferReleaseDelay.
func (c *conn) waitForByte() error {
	if c.reader != nil {
		c.mu.Lock()
		if !c.server.closing.Load() {
			c.netConn.SetReadDeadline(time.Now().Add(bufferReleaseDelay))
		}
		c.mu.Unlock()
		_, err := c.reader.Peek(1)
		if err == nil || !isTimeout(err) || c.server.closing.Load() {
			return err
		}
		c.releaseBuffers()
		c.mu.Lock()
		c.netConn.SetReadDeadline(time.Now().Add(config.MS(c.server.cfg.Timeouts.IdleMS)))
		c.mu.Unlock()
		if c.server.closing.Load() && !c.hasUnreadData() {
			return net.ErrClosed
		}
	}
	return sockstate.WaitReadable(c.rawConn)
}

// stallTolerantReader reads from a connection. If the read deadline passes
// although bytes are available, the host was stalled or busy and did not read
// in time; the reader then tries again instead of reporting a timeout of the
// client.
type stallTolerantReader struct {
	conn  *conn
	input io.Reader
}

// input returns what the connection's requests are read from.
func (c *conn) input() io.Reader {
	if c.source == nil {
		return c.netConn
	}
	return c.source.Reader(c.netConn)
}

// lateReadTimeout bounds the second read after a deadline that passed while
// bytes were available.
const lateReadTimeout = 50 * time.Millisecond

// Read implements io.Reader.
func (r stallTolerantReader) Read(b []byte) (int, error) {
	n, err := r.input.Read(b)
	if n > 0 || !isTimeout(err) || r.conn.rawConn == nil || r.conn.server.closing.Load() || !sockstate.Readable(r.conn.rawConn) {
		return n, err
	}
	r.conn.netConn.SetReadDeadline(time.Now().Add(lateReadTimeout))
	return r.input.Read(b)
}

// hasUnreadData reports whether data has arrived that was not read yet.
func (c *conn) hasUnreadData() bool {
	return c.rawConn != nil && sockstate.Readable(c.rawConn) && !sockstate.AtEOF(c.rawConn)
}

// interruptIdle ends the wait of an idle connection when the server closes, unless a
// request has arrived on it.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	if c.idle && !c.hasUnreadData() {
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// addTask registers a task that waits for the host. It returns false if the
// client has disconnected.
func (c *conn) addTask(t *host.Task) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clientGone {
		return false
	}
	if c.firstTask == nil {
		c.firstTask, c.firstTaskSince = t, time.Now()
		return true
	}
	if c.otherTasks == nil {
		c.otherTasks = map[*host.Task]time.Time{}
	}
	c.otherTasks[t] = time.Now()
	return true
}

// removeTask unregisters a task that no longer waits for the host.
func (c *conn) removeTask(t *host.Task) {
	c.mu.Lock()
	if c.firstTask == t {
		c.firstTask = nil
	} else {
		delete(c.otherTasks, t)
	}
	c.mu.Unlock()
}

// needsClientCheck reports whether a task has waited long enough to check that
// the client is still connected.
func (c *conn) needsClientCheck() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstTask != nil && time.Since(c.firstTaskSince) > clientCheckInterval || len(c.otherTasks) > 0
}

// abandonTasks tells the host that the client has disconnected.
func (c *conn) abandonTasks() {
	c.mu.Lock()
	c.clientGone = true
	tasks := make([]*host.Task, 0, 1)
	if c.firstTask != nil {
		tasks = append(tasks, c.firstTask)
	}
	for t := range c.otherTasks {
		tasks = append(tasks, t)
	}
	c.mu.Unlock()
	for _, t := range tasks {
		c.server.opts.Host.Abandon(t)
	}
}

// serveRequest reads one request and responds to it. It returns false if the
// connection is to be closed.
func (c *conn) serveRequest() bool {
	c.server.opts.Host.Heartbeat()
	headReader := http1.NewReader(c.reader, c.server.headLimits)
	if err := headReader.ReadRequest(&c.req); err != nil {
		c.rejectHead(err)
		return false
	}
	c.server.stats.requests.Add(1)
	c.body.Reset(c.reader, c.req.Framing)
	x := newExchange(c)
	x.recordHeadArrival()
	x.handle()
	for _, t := range x.lateTasks {
		c.server.opts.Host.ResponseSent(t)
	}
	if x.closeConn || c.req.Close || c.server.closing.Load() {
		c.lingeringClose()
		return false
	}
	if !c.body.Done() {
		c.netConn.SetReadDeadline(time.Now().Add(time.Second))
		return c.body.Drain(maxDrainBytes)
	}
	return true
}

const (
	// maxDrainBytes is how much of an unread request body is discarded so that the
	// connection can be reused.
	maxDrainBytes = 256 << 10
	// maxLingerBytes and lingerTimeout bound a lingering close. A client that
	// still sends after its response must be read from, because closing with
	// unread data resets the connection and the client may lose the response.
	maxLingerBytes = 64 << 20
	lingerTimeout  = 2 * time.Second
)

// rejectHead responds to an invalid or late request head. It does nothing if
// the connection failed or was closed.
func (c *conn) rejectHead(err error) {
	status := http1.StatusOf(err)
	if status == 0 {
		if !isTimeout(err) || c.reader.Buffered() == 0 && errors.Is(err, io.EOF) {
			return
		}
		status = 408
	}
	c.server.stats.badRequests.Add(1)
	x := newExchange(c)
	x.closeConn = true
	code := map[int]string{408: "RequestTimeout", 414: "InvalidURI", 431: "RequestHeaderSectionTooLarge", 501: "NotImplemented"}[status]
	if code == "" {
		code = "InvalidRequest"
	}
	x.respondError(&apiError{status: status, code: code, message: err.Error()})
	c.lingeringClose()
}

// lingeringClose closes the write side and discards what the client still
// sends, within bounds, so that closing does not reset the connection before
// the client has read the response.
func (c *conn) lingeringClose() {
	c.source.FinishRequest()
	if c.body.Done() && c.reader.Buffered() == 0 {
		return
	}
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.reader, maxLingerBytes)
}
