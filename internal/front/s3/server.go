package s3

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowwalk/internal/attempts"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/netdrain"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/sizing"
	"arrowwalk/internal/sockstate"
	"arrowwalk/internal/spool"
)

// Options configures a Server. The caller owns Host, Pool and Spool, and
// closes them after Shutdown.
type Options struct {
	Config  *config.Config
	Host    *host.Host
	Pool    *brick.Pool
	Spool   *spool.Pool
	Secrets map[string]string // secret keys by access key
	Log     *slog.Logger
	Now     func() time.Time // wall clock for signatures; nil means time.Now
	// OnObservation is called with what each attempt revealed about its brick, and
	// OnTaskEnd with the result of each task of a bucket. Both may be nil.
	OnObservation func(attempts.Observation)
	OnTaskEnd     func(bucket string, plan, shard int, end host.TaskStatus)
	// NotReadyReason returns why no request can be served, or "" if requests can
	// be served. If it is nil, requests are always served.
	NotReadyReason func() string
	// IgnoreSocketAge treats bytes that are found after a stall as new. Only for
	// proofs that must fail.
	IgnoreSocketAge bool
	// Reclaim holds the times of the garbage collector.
	Reclaim ReclaimTimes
	// DisabledReclaim disables parts of the rule of package reclaim. Only for proofs
	// that must fail.
	DisabledReclaim DisabledReclaim
	// AcceptAnyBrick accepts a response from a brick other than the one addressed.
	// Only for proofs that must fail.
	AcceptAnyBrick bool
}

// Server serves the object API on one listener.
type Server struct {
	opts          Options
	cfg           *config.Config
	log           *slog.Logger
	listener      *netdrain.Listener
	verifier      *sigv4.Verifier
	shards        *placement.Map
	sizeEstimator *sizing.Estimator
	buckets       bucketCache
	gc            *garbageCollector
	headLimits    http1.Limits
	requestSeq    atomic.Uint64
	sender        attempts.Sender
	maxClientWait time.Duration // longest time that a client waits for a response
	stats         counters

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing atomic.Bool
	wg      sync.WaitGroup
	quit    chan struct{}

	acceptDone chan struct{} // closed when no more connections are accepted
}

// counters holds the statistics of a Server. It is safe for concurrent use.
type counters struct {
	requests, refusedConns, badRequests, clientsGone, truncatedResponses atomic.Uint64
	responsesByClass                                                     [6]atomic.Uint64 // by the first digit of the status
	openConns                                                            atomic.Int64
}

// Stats holds counts since the start of the server and the number of open
// connections.
type Stats struct {
	Requests, RefusedConns, BadRequests, ClientsGone, TruncatedResponses uint64
	ResponsesByClass                                                     [6]uint64
	OpenConns                                                            int64
}

// Stats returns the current statistics. It is safe for concurrent use.
func (s *Server) Stats() Stats {
	c := &s.stats
	out := Stats{Requests: c.requests.Load(), RefusedConns: c.refusedConns.Load(), BadRequests: c.badRequests.Load(),
		ClientsGone: c.clientsGone.Load(), TruncatedResponses: c.truncatedResponses.Load(), OpenConns: c.openConns.Load()}
	for i := range c.responsesByClass {
		out.ResponsesByClass[i] = c.responsesByClass[i].Load()
	}
	return out
}

// Start serves connections of listener until Shutdown, which closes it.
func Start(listener net.Listener, opts Options) (*Server, error) {
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listener of type %T: must be TCP", listener)
	}
	shards, err := opts.Config.Placement()
	if err != nil {
		return nil, err
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Reclaim = opts.Reclaim.withDefaults()
	cfg := opts.Config
	s := &Server{opts: opts, cfg: cfg, log: opts.Log, listener: netdrain.New(tcpListener), shards: shards, conns: map[*conn]struct{}{},
		quit: make(chan struct{}), acceptDone: make(chan struct{}), sizeEstimator: sizing.NewEstimator(64 << 10),
		verifier:   sigv4.NewVerifier(cfg.Region, config.MS(cfg.Timeouts.SkewMS), opts.Secrets),
		headLimits: http1.Limits{MaxLineBytes: min(16<<10, cfg.Bounds.HeaderBytes), MaxHeadBytes: cfg.Bounds.HeaderBytes, MaxFields: 200}}
	s.sender = attempts.Sender{Pool: opts.Pool, Host: opts.Host, Config: cfg, Observe: opts.OnObservation, AcceptAnyBrick: opts.AcceptAnyBrick}
	s.maxClientWait = s.sender.MaxTimeout()
	s.buckets.init(cfg)
	s.gc = startGarbageCollector(s)
	s.wg.Add(2)
	go s.acceptLoop()
	go s.watchClients()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Shutdown accepts the connections that are already established and no others, waits
// until the requests in progress and those that have arrived are answered, and closes
// the connections. When ctx ends, it closes the remaining connections at once.
func (s *Server) Shutdown(ctx context.Context) {
	if s.closing.Swap(true) {
		return
	}
	s.listener.Drain()
	done := make(chan struct{})
	go func() {
		<-s.acceptDone
		s.waitForConns(ctx)
		s.gc.stop(ctx)
		close(s.quit)
		s.wg.Wait()
		close(done)
	}()
	<-done
}

// waitForConns waits until all connections have ended. When ctx ends, it
// closes the remaining ones.
func (s *Server) waitForConns(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for s.stats.openConns.Load() > 0 {
		s.forEachConn(func(c *conn) { c.interruptIdle() })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.forEachConn(func(c *conn) {
				c.abandonTasks()
				c.netConn.Close()
			})
			<-ticker.C
		}
	}
}

// forEachConn calls visit for each open connection while it holds s.mu.
func (s *Server) forEachConn(visit func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		visit(c)
	}
}

// acceptLoop accepts connections until the listener is drained.
func (s *Server) acceptLoop() {
	defer s.wg.Done()
	defer close(s.acceptDone)
	for {
		netConn, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("accept failed", "error", err)
			select {
			case <-time.After(10 * time.Millisecond): // probably out of file descriptors; wait until some are closed
			case <-s.quit:
				return
			}
			continue
		}
		s.startConn(netConn)
	}
}

// startConn starts serving a connection, or responds with 503 and closes it if
// the server has reached its connection limit.
func (s *Server) startConn(netConn net.Conn) {
	if s.stats.openConns.Add(1) > int64(s.cfg.Bounds.Connections) {
		s.stats.openConns.Add(-1)
		s.stats.refusedConns.Add(1)
		netConn.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		netConn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		netConn.Close()
		return
	}
	c := &conn{server: s, netConn: netConn, rawConn: sockstate.RawConn(netConn)}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(1)
	go c.serve()
}

// clientCheckInterval is the interval at which watchClients looks for
// disconnected clients.
const clientCheckInterval = 50 * time.Millisecond

// watchClients detects clients that disconnect while their requests wait for
// the host. Nothing reads these connections meanwhile, so the disconnect would
// otherwise go unnoticed.
func (s *Server) watchClients() {
	defer s.wg.Done()
	ticker := time.NewTicker(clientCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-ticker.C:
		}
		var disconnected []*conn
		s.forEachConn(func(c *conn) {
			if c.needsClientCheck() && sockstate.AtEOF(c.rawConn) {
				disconnected = append(disconnected, c)
			}
		})
		for _, c := range disconnected {
			c.abandonTasks()
		}
	}
}

// conn is a client connection.
type conn struct {
	server   *Server
	netConn  net.Conn
	rawConn  syscall.RawConn
	reader   *bufio.Reader // nil while idle
	writeBuf []byte
	req      http1.Request
	body     http1.Body

	socketEmptyAt time.Time // when the socket was last seen empty, approximately

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
	if c.reader != nil && c.reader.Buffered() > 0 {
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
		c.reader.Reset(stallTolerantReader{c})
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
type stallTolerantReader struct{ conn *conn }

// lateReadTimeout bounds the second read after a deadline that passed while
// bytes were available.
const lateReadTimeout = 50 * time.Millisecond

// Read implements io.Reader.
func (r stallTolerantReader) Read(b []byte) (int, error) {
	n, err := r.conn.netConn.Read(b)
	if n > 0 || !isTimeout(err) || r.conn.rawConn == nil || r.conn.server.closing.Load() || !sockstate.Readable(r.conn.rawConn) {
		return n, err
	}
	r.conn.netConn.SetReadDeadline(time.Now().Add(lateReadTimeout))
	return r.conn.netConn.Read(b)
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
	if c.body.Done() && c.reader.Buffered() == 0 {
		return
	}
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.reader, maxLingerBytes)
}
