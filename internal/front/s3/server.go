package s3

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/attempts"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/connsource"
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
	source        *connsource.Listener
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
	s.source = connsource.NewListener(opts.Host, tcpListener)
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
	defer context.AfterFunc(ctx, func() { s.listener.Close() })()
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
	defer s.source.Close()
	for {
		s.source.BeforeAccept()
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
	c.source = connsource.New(s.opts.Host, c.rawConn)
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
