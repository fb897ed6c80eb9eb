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
	opt      Options
	cfg      *config.Config
	log      *slog.Logger
	ln       net.Listener
	verifier *sigv4.Verifier
	slots    *placement.Map
	sizes    *sizing.Estimator
	buckets  bucketCache
	janitor  *janitor
	limits   http1.Limits
	sequence atomic.Uint64
	sender   attempts.Sender
	longest  time.Duration // that a client may wait
	stats    counters

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing atomic.Bool
	wg      sync.WaitGroup
	quit    chan struct{}
}

// counters are what the front counts.
type counters struct {
	requests, refusedConns, badRequests, gone, cut atomic.Uint64
	statuses                                       [6]atomic.Uint64 // by hundreds
	conns                                          atomic.Int64
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
		ClientsGone: c.gone.Load(), TruncatedResponses: c.cut.Load(), OpenConns: c.conns.Load()}
	for i := range c.statuses {
		out.ResponsesByClass[i] = c.statuses[i].Load()
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
	s := &Server{opt: opt, cfg: cfg, log: opt.Log, ln: ln, slots: slots, conns: map[*conn]struct{}{},
		quit: make(chan struct{}), sizes: sizing.NewEstimator(64 << 10),
		verifier: sigv4.NewVerifier(cfg.Region, config.MS(cfg.Timeouts.SkewMS), opt.Secrets),
		limits:   http1.Limits{MaxLineBytes: min(16<<10, cfg.Bounds.HeaderBytes), MaxHeadBytes: cfg.Bounds.HeaderBytes, MaxFields: 200}}
	s.sender = attempts.Sender{Pool: opt.Pool, Host: opt.Host, Config: cfg, Observe: opt.OnObservation, AcceptAnyBrick: opt.AcceptAnyBrick}
	s.longest = s.sender.MaxTimeout()
	s.buckets.init(cfg)
	s.janitor = startJanitor(s)
	s.wg.Add(2)
	go s.accept()
	go s.watch()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Shutdown stops accepting, lets the requests that were taken get their
// answers, and closes the connections; when ctx ends it cuts what is left.
func (s *Server) Shutdown(ctx context.Context) {
	if s.closing.Swap(true) {
		return
	}
	s.ln.Close()
	s.eachConn(func(c *conn) { c.wakeIdle() })
	done := make(chan struct{})
	go func() {
		s.waitConns(ctx)
		s.janitor.stop(ctx)
		close(s.quit)
		s.wg.Wait()
		close(done)
	}()
	<-done
}

// waitConns waits for the connections to end, and cuts them when ctx ends.
func (s *Server) waitConns(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for s.stats.conns.Load() > 0 {
		select {
		case <-tick.C:
			s.eachConn(func(c *conn) { c.wakeIdle() })
		case <-ctx.Done():
			s.eachConn(func(c *conn) {
				c.abandon()
				c.nc.Close()
			})
			<-tick.C
		}
	}
}

func (s *Server) eachConn(do func(*conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		do(c)
	}
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.Accept()
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
		s.open(nc)
	}
}

// open serves a connection, or refuses it where there are too many.
func (s *Server) open(nc net.Conn) {
	if s.stats.conns.Add(1) > int64(s.cfg.Bounds.Connections) || s.closing.Load() {
		s.stats.conns.Add(-1)
		s.stats.refusedConns.Add(1)
		nc.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		nc.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		nc.Close()
		return
	}
	c := &conn{s: s, nc: nc, raw: sockstate.RawConn(nc)}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(1)
	go c.serve()
}

// watchEvery is how often the server looks whether waiting clients have gone.
const watchEvery = 50 * time.Millisecond

// watch looks whether the clients of waiting requests are still there: nobody
// reads their connections meanwhile, so nobody else would see it.
func (s *Server) watch() {
	defer s.wg.Done()
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-tick.C:
		}
		var gone []*conn
		s.eachConn(func(c *conn) {
			if c.waits() && sockstate.AtEOF(c.raw) {
				gone = append(gone, c)
			}
		})
		for _, c := range gone {
			c.abandon()
		}
	}
}

// conn is one client's connection.
type conn struct {
	s    *Server
	nc   net.Conn
	raw  syscall.RawConn
	in   *bufio.Reader // nil while idle
	out  []byte
	req  http1.Request
	body http1.Body

	empty time.Time // the connection's socket was seen empty, or nearly so

	mu      sync.Mutex
	idle    bool
	left    bool                     // the client has gone
	waiting map[*host.Task]time.Time // tasks that wait for the host
	first   *host.Task               // the only one, in most requests
	since   time.Time                // of first
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 8<<10) }}

func (c *conn) serve() {
	defer c.s.wg.Done()
	defer func() {
		c.release()
		c.nc.Close()
		c.s.mu.Lock()
		delete(c.s.conns, c)
		c.s.mu.Unlock()
		c.s.stats.conns.Add(-1)
	}()
	for c.awaitRequest() && c.serveOne() {
	}
}

// release gives the reader back while nothing is read.
func (c *conn) release() {
	if c.in != nil {
		c.in.Reset(nil)
		readers.Put(c.in)
		c.in = nil
	}
	c.out = nil
	c.req = http1.Request{}
}

// awaitRequest waits, without a buffer, for the first byte of a request.
func (c *conn) awaitRequest() bool {
	if c.in != nil && c.in.Buffered() > 0 {
		return !c.s.closing.Load()
	}
	c.empty = time.Now()
	c.mu.Lock()
	c.idle = true
	c.nc.SetReadDeadline(time.Now().Add(config.MS(c.s.cfg.Timeouts.IdleMS)))
	closing := c.s.closing.Load()
	c.mu.Unlock()
	if closing {
		return false
	}
	if c.raw != nil {
		if err := c.awaitByte(); err != nil {
			return false
		}
	}
	c.mu.Lock()
	c.idle = false
	c.nc.SetReadDeadline(time.Now().Add(config.MS(c.s.cfg.Timeouts.HeaderMS)))
	c.mu.Unlock()
	if c.in == nil {
		c.in = readers.Get().(*bufio.Reader)
		c.in.Reset(patient{c})
	}
	return true
}

// releaseAfter is for how long a connection keeps its buffers between requests.
const releaseAfter = 100 * time.Millisecond

// awaitByte waits for a byte to read. A connection that stays idle gives its
// buffers back first.
func (c *conn) awaitByte() error {
	if c.in != nil {
		c.mu.Lock()
		if !c.s.closing.Load() {
			c.nc.SetReadDeadline(time.Now().Add(releaseAfter))
		}
		c.mu.Unlock()
		_, err := c.in.Peek(1)
		if err == nil || !isTimeout(err) || c.s.closing.Load() {
			return err
		}
		c.release()
		c.mu.Lock()
		c.nc.SetReadDeadline(time.Now().Add(config.MS(c.s.cfg.Timeouts.IdleMS)))
		c.mu.Unlock()
		if c.s.closing.Load() {
			return net.ErrClosed
		}
	}
	return sockstate.WaitReadable(c.raw)
}

// patient reads a connection. Where its time is up and bytes are there all the
// same, nobody looked in time: a host that stood still, or a busy one, does not
// take that for the client's silence.
type patient struct{ c *conn }

// lookAgain is for how long bytes that are there are waited for.
const lookAgain = 50 * time.Millisecond

// Read reads what has come.
func (p patient) Read(b []byte) (int, error) {
	n, err := p.c.nc.Read(b)
	if n > 0 || !isTimeout(err) || p.c.raw == nil || p.c.s.closing.Load() || !sockstate.Readable(p.c.raw) {
		return n, err
	}
	p.c.nc.SetReadDeadline(time.Now().Add(lookAgain))
	return p.c.nc.Read(b)
}

// wakeIdle ends an idle connection's wait when the server closes.
func (c *conn) wakeIdle() {
	c.mu.Lock()
	if c.idle {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// enter notes that a task waits for the host; false: the client has gone.
func (c *conn) enter(t *host.Task) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		return false
	}
	if c.first == nil {
		c.first, c.since = t, time.Now()
		return true
	}
	if c.waiting == nil {
		c.waiting = map[*host.Task]time.Time{}
	}
	c.waiting[t] = time.Now()
	return true
}

func (c *conn) leave(t *host.Task) {
	c.mu.Lock()
	if c.first == t {
		c.first = nil
	} else {
		delete(c.waiting, t)
	}
	c.mu.Unlock()
}

// waits tells whether a task has waited long enough for a look at the client.
func (c *conn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first != nil && time.Since(c.since) > watchEvery || len(c.waiting) > 0
}

// abandon tells the host that the client has gone.
func (c *conn) abandon() {
	c.mu.Lock()
	c.left = true
	tasks := make([]*host.Task, 0, 1)
	if c.first != nil {
		tasks = append(tasks, c.first)
	}
	for t := range c.waiting {
		tasks = append(tasks, t)
	}
	c.mu.Unlock()
	for _, t := range tasks {
		c.s.opt.Host.Abandon(t)
	}
}

// serveOne reads and answers one request; false: the connection ends.
func (c *conn) serveOne() bool {
	c.s.opt.Host.Heartbeat()
	heads := http1.NewReader(c.in, c.s.limits)
	if err := heads.ReadRequest(&c.req); err != nil {
		c.refuseHead(err)
		return false
	}
	c.s.stats.requests.Add(1)
	c.body.Reset(c.in, c.req.Framing)
	x := newExchange(c)
	x.begin()
	x.handle()
	for _, t := range x.late {
		c.s.opt.Host.ResponseSent(t)
	}
	if x.close || c.req.Close || c.s.closing.Load() {
		c.linger()
		return false
	}
	if !c.body.Done() {
		c.nc.SetReadDeadline(time.Now().Add(time.Second))
		return c.body.Drain(drainMost)
	}
	return true
}

const (
	// drainMost is how much of an unread body is read so that the connection
	// can go on.
	drainMost = 256 << 10
	// lingerMost and lingerFor bound what is read of a client that still sends
	// after its answer, so that closing does not reset the connection under it.
	lingerMost = 64 << 20
	lingerFor  = 2 * time.Second
)

// refuseHead answers what is no request, if there is anybody to answer.
func (c *conn) refuseHead(err error) {
	status := http1.StatusOf(err)
	if status == 0 {
		if !isTimeout(err) || c.in.Buffered() == 0 && errors.Is(err, io.EOF) {
			return
		}
		status = 408
	}
	c.s.stats.badRequests.Add(1)
	x := newExchange(c)
	x.close = true
	code := map[int]string{408: "RequestTimeout", 414: "InvalidURI", 431: "RequestHeaderSectionTooLarge", 501: "NotImplemented"}[status]
	if code == "" {
		code = "InvalidRequest"
	}
	x.finish(&apiError{status: status, code: code, message: err.Error()})
	c.linger()
}

// linger reads what the client still sends for a while, so that closing does
// not reset the connection under the answer.
func (c *conn) linger() {
	if c.body.Done() && c.in.Buffered() == 0 {
		return
	}
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerFor))
	io.CopyN(io.Discard, c.in, lingerMost)
}
