package s3

import (
	"bufio"
	"context"
	"errors"
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
	"arrowwalk/internal/placement"
	"arrowwalk/internal/sizing"
	"arrowwalk/internal/sockstate"
	"arrowwalk/internal/spool"
)

// Options of a Server. The caller keeps Host, Pool and Spool, and closes them
// after Shutdown.
type Options struct {
	Config  *config.Config
	Host    *host.Host
	Pool    *brick.Pool
	Spool   *spool.Pool
	Secrets map[string]string // access key to secret
	Log     *slog.Logger
	Now     func() time.Time // wall clock for signatures; nil: time.Now
	// OnObservation is told what attempts showed of bricks, and Ended how tasks of
	// collections ended; nil: nobody is.
	OnObservation func(attempts.Observation)
	OnTaskEnd     func(bucket string, plan, shard int, end host.TaskStatus)
	// NotReadyReason says why nothing can be served, or ""; nil: it always can.
	NotReadyReason func() string
	// IgnoreSocketAge takes what is found after a stall for fresh; for proofs that must
	// fail.
	IgnoreSocketAge bool
	// AcceptAnyBrick lets any brick answer for another; for proofs that must fail.
	AcceptAnyBrick bool
}

// Server is the object API on one listener.
type Server struct {
	opts      Options
	cfg      *config.Config
	log      *slog.Logger
	listener       net.Listener
	verifier *sigv4.Verifier
	shards    *placement.Map
	sizeEstimator    *sizing.Estimator
	buckets  bucketCache
	gc  *garbageCollector
	headLimits   http1.Limits
	requestSeq atomic.Uint64
	sender   attempts.Sender
	maxClientWait  time.Duration // that a client may wait
	stats    counters

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing atomic.Bool
	wg      sync.WaitGroup
	quit    chan struct{}
}

// counters are what the front counts.
type counters struct {
	requests, refusedConns, badRequests, clientsGone, truncatedResponses atomic.Uint64
	responsesByClass                                       [6]atomic.Uint64 // by hundreds
	openConns                                          atomic.Int64
}

// Stats are counts since the start, and the connections open now.
type Stats struct {
	Requests, RefusedConns, BadRequests, ClientsGone, TruncatedResponses uint64
	ResponsesByClass                                                     [6]uint64
	OpenConns                                                            int64
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	c := &s.stats
	out := Stats{Requests: c.requests.Load(), RefusedConns: c.refusedConns.Load(), BadRequests: c.badRequests.Load(),
		ClientsGone: c.clientsGone.Load(), TruncatedResponses: c.truncatedResponses.Load(), OpenConns: c.openConns.Load()}
	for i := range c.responsesByClass {
		out.ResponsesByClass[i] = c.responsesByClass[i].Load()
	}
	return out
}

// Start serves ln until Shutdown.
func Start(ln net.Listener, opt Options) (*Server, error) {
	slots, err := opt.Config.Placement()
	if err != nil {
		return nil, err
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.Now == nil {
		opt.Now = time.Now
	}
	cfg := opt.Config
	s := &Server{opts: opt, cfg: cfg, log: opt.Log, listener: ln, shards: slots, conns: map[*conn]struct{}{},
		quit: make(chan struct{}), sizeEstimator: sizing.NewEstimator(64 << 10),
		verifier: sigv4.NewVerifier(cfg.Region, config.MS(cfg.Timeouts.SkewMS), opt.Secrets),
		headLimits:   http1.Limits{MaxLineBytes: min(16<<10, cfg.Bounds.HeaderBytes), MaxHeadBytes: cfg.Bounds.HeaderBytes, MaxFields: 200}}
	s.sender = attempts.Sender{Pool: opt.Pool, Host: opt.Host, Config: cfg, Observe: opt.OnObservation, AcceptAnyBrick: opt.AcceptAnyBrick}
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

// Shutdown stops accepting, lets the requests that were taken get their
// answers, and closes the connections; when ctx ends it cuts what is left.
func (s *Server) Shutdown(ctx context.Context) {
	if s.closing.Swap(true) {
		return
	}
	s.listener.Close()
	s.forEachConn(func(c *conn) { c.interruptIdle() })
	done := make(chan struct{})
	go func() {
		s.waitForConns(ctx)
		s.gc.stop(ctx)
		close(s.quit)
		s.wg.Wait()
		close(done)
	}()
	<-done
}

// waitForConns waits for the connections to end, and cuts them when ctx ends.
func (s *Server) waitForConns(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for s.stats.openConns.Load() > 0 {
		select {
		case <-tick.C:
			s.forEachConn(func(c *conn) { c.interruptIdle() })
		case <-ctx.Done():
			s.forEachConn(func(c *conn) {
				c.abandonTasks()
				c.netConn.Close()
			})
			<-tick.C
		}
	}
}

func (s *Server) forEachConn(do func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		do(c)
	}
}

func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.log.Warn("accept failed", "error", err)
			select {
			case <-time.After(10 * time.Millisecond): // out of descriptors: let some close
			case <-s.quit:
				return
			}
			continue
		}
		s.startConn(nc)
	}
}

// startConn serves a connection, or refuses it where there are too many.
func (s *Server) startConn(nc net.Conn) {
	if s.stats.openConns.Add(1) > int64(s.cfg.Bounds.Connections) || s.closing.Load() {
		s.stats.openConns.Add(-1)
		s.stats.refusedConns.Add(1)
		nc.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		nc.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		nc.Close()
		return
	}
	c := &conn{server: s, netConn: nc, rawConn: sockstate.RawConn(nc)}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(1)
	go c.serve()
}

// clientCheckInterval is how often the server looks whether waiting clients have gone.
const clientCheckInterval = 50 * time.Millisecond

// watchClients looks whether the clients of waiting requests are still there: nobody
// reads their connections meanwhile, so nobody else would see it.
func (s *Server) watchClients() {
	defer s.wg.Done()
	tick := time.NewTicker(clientCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-tick.C:
		}
		var gone []*conn
		s.forEachConn(func(c *conn) {
			if c.needsClientCheck() && sockstate.AtEOF(c.rawConn) {
				gone = append(gone, c)
			}
		})
		for _, c := range gone {
			c.abandonTasks()
		}
	}
}

// conn is one client's connection.
type conn struct {
	server    *Server
	netConn   net.Conn
	rawConn  syscall.RawConn
	reader   *bufio.Reader // nil while idle
	writeBuf  []byte
	req  http1.Request
	body http1.Body

	socketEmptyAt time.Time // the connection's socket was seen empty, or nearly so

	mu      sync.Mutex
	idle    bool
	clientGone    bool                     // the client has gone
	otherTasks map[*host.Task]time.Time // tasks that wait for the host
	firstTask   *host.Task               // the only one, in most requests
	firstTaskSince   time.Time                // of first
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 8<<10) }}

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

// releaseBuffers gives the reader back while nothing is read.
func (c *conn) releaseBuffers() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
	c.writeBuf = nil
	c.req = http1.Request{}
}

// waitForRequest waits, without a buffer, for the first byte of a request.
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
	if closing {
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

// bufferReleaseDelay is for how long a connection keeps its buffers between requests.
const bufferReleaseDelay = 100 * time.Millisecond

// waitForByte waits for a byte to read. A connection that stays idle gives its
// buffers back first.
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
		if c.server.closing.Load() {
			return net.ErrClosed
		}
	}
	return sockstate.WaitReadable(c.rawConn)
}

// stallTolerantReader reads a connection. Where its time is up and bytes are there all the
// same, nobody looked in time: a host that stood still, or a busy one, does not
// take that for the client's silence.
type stallTolerantReader struct{ conn *conn }

// lateReadTimeout is for how long bytes that are there are waited for.
const lateReadTimeout = 50 * time.Millisecond

// Read reads what has come.
func (p stallTolerantReader) Read(b []byte) (int, error) {
	n, err := p.conn.netConn.Read(b)
	if n > 0 || !isTimeout(err) || p.conn.rawConn == nil || p.conn.server.closing.Load() || !sockstate.Readable(p.conn.rawConn) {
		return n, err
	}
	p.conn.netConn.SetReadDeadline(time.Now().Add(lateReadTimeout))
	return p.conn.netConn.Read(b)
}

// interruptIdle ends an idle connection's wait when the server closes.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	if c.idle {
		c.netConn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// addTask notes that a task waits for the host; false: the client has gone.
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

func (c *conn) removeTask(t *host.Task) {
	c.mu.Lock()
	if c.firstTask == t {
		c.firstTask = nil
	} else {
		delete(c.otherTasks, t)
	}
	c.mu.Unlock()
}

// needsClientCheck tells whether a task has waited long enough for a look at the client.
func (c *conn) needsClientCheck() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstTask != nil && time.Since(c.firstTaskSince) > clientCheckInterval || len(c.otherTasks) > 0
}

// abandonTasks tells the host that the client has gone.
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

// serveRequest reads and answers one request; false: the connection ends.
func (c *conn) serveRequest() bool {
	c.server.opts.Host.Heartbeat()
	heads := http1.NewReader(c.reader, c.server.headLimits)
	if err := heads.ReadRequest(&c.req); err != nil {
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
	// maxDrainBytes is how much of an unread body is read so that the connection
	// can go on.
	maxDrainBytes = 256 << 10
	// maxLingerBytes and lingerFor bound what is read of a client that still sends
	// after its answer, so that closing does not reset the connection under it.
	maxLingerBytes = 64 << 20
	lingerTimeout  = 2 * time.Second
)

// rejectHead answers what is no request, if there is anybody to answer.
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

// lingeringClose reads what the client still sends for a while, so that closing does
// not reset the connection under the answer.
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
