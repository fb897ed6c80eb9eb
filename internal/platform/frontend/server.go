// Package entry is the platform's protocol towards clients: what they send is
// checked, handed to the host, and gets one final answer.
package frontend

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/eviction"
	"arrowwalk/internal/platform/upstream"
	"arrowwalk/internal/sockstate"
)

// Times of connections.
const (
	freshMax   = 2 * time.Second        // from connecting to the end of a first request
	readMax    = 2 * time.Second        // from a later request's first byte to its end
	writeMax   = 2 * time.Second        // for an answer that its client does not read
	lingerMax  = 500 * time.Millisecond // that a refused client has to read its answer
	watchEvery = 50 * time.Millisecond  // looks whether waiting clients have gone

	acceptSpare = 2 * time.Millisecond // from the listener's end, for connections that have come up
)

// Options of a Server. The caller keeps Host and Sender, and closes them after
// Stop.
type Options struct {
	Host                  *host.Host
	Sender                *upstream.Sender
	Settings              *arrowwalk.Settings
	Log                   *slog.Logger
	MaxConns              int   // connections
	IdleEvictionThreshold int   // connections from which on idle ones are closed
	MaxBodyBytes          int64 // of bodies held at once
	// NoEviction keeps silent connections, AcceptDoubleFraming takes a length beside a
	// transfer coding, NoArrivalAge takes what is found in a socket for fresh; for proofs
	// that must fail.
	NoEviction, AcceptDoubleFraming, NoArrivalAge bool
	// NoDisconnectCheck never looks for clients that left, NoShutdownDeadline bounds no deadline by the
	// end of a planned restart; for the same.
	NoDisconnectCheck, NoShutdownDeadline bool
}

// Server serves clients on one listener.
type Server struct {
	opt     Options
	ln      net.Listener
	checker *checker
	limits  http1.Limits
	ids     ids
	stats   counters
	drains  atomic.Bool  // a planned restart has begun
	tell    atomic.Int64 // from then on clients are told to connect anew; 0: they are not
	bodies  eviction.ByteBudget
	quit    chan struct{}
	wg      sync.WaitGroup

	closing  atomic.Bool   // the listener closes as soon as nothing is left on it
	accepted chan struct{} // closed when no more connections are taken

	mu    sync.Mutex
	table *eviction.Table[*conn]
	calls map[*upstream.Call]struct{} // that the host decides on
	base  time.Time
}

// counters are what the front counts.
type counters struct{ requests, bad, gone, evicted, turned atomic.Uint64 }

// Stats are counts since the start.
type Stats struct {
	Requests    uint64 // that were handed to the host
	Rejected    uint64 // that were refused as they came
	ClientsGone uint64 // whose clients left
	Evicted     uint64 // connections that gave way for others
	TurnedAway  uint64 // connections turned away, with nobody to give way
	Open        int
	Conns       int
	Draining    bool // a planned restart has begun
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	c := &s.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{c.requests.Load(), c.bad.Load(), c.gone.Load(), c.evicted.Load(), c.turned.Load(),
		s.table.CountIn(eviction.StateWaiting), s.table.Count(), s.draining()}
}

// Start serves ln until Stop.
func Start(ln net.Listener, opt Options) *Server {
	s := &Server{opt: opt, ln: ln, checker: newChecker(opt.Settings), ids: ids{open: map[string]bool{}},
		quit: make(chan struct{}), accepted: make(chan struct{}), table: eviction.NewTable[*conn](opt.MaxConns, opt.IdleEvictionThreshold), calls: map[*upstream.Call]struct{}{}, base: time.Now()}
	s.limits, s.bodies.Max = limits, opt.MaxBodyBytes
	s.limits.AcceptDoubleFraming = opt.AcceptDoubleFraming
	s.wg.Add(2)
	go s.accept()
	go s.watch()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

func (s *Server) now() int64 { return time.Since(s.base).Microseconds() }

// accept takes connections until the listener is closed.
func (s *Server) accept() {
	defer s.wg.Done()
	defer close(s.accepted)
	for {
		if s.closing.Load() {
			s.acceptBy(time.Now().Add(acceptSpare))
		}
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if sockstate.HasPendingConn(s.ln) { // the time ran out before it looked
				continue
			}
			return
		}
		if err != nil { // out of descriptors: one gives way, or time does
			s.opt.Log.Warn("accept failed", "error", err)
			s.mu.Lock()
			s.makeRoom(true)
			s.mu.Unlock()
			select {
			case <-time.After(5 * time.Millisecond):
			case <-s.quit:
				return
			}
			continue
		}
		s.open(nc)
	}
}

// acceptBy sets the listener's deadline; one that has none is closed.
func (s *Server) acceptBy(t time.Time) {
	if ln, ok := s.ln.(interface{ SetDeadline(time.Time) error }); !ok || ln.SetDeadline(t) != nil {
		s.ln.Close()
	}
}

// open serves a connection, or closes it where none gives way for it.
func (s *Server) open(nc net.Conn) {
	s.mu.Lock()
	s.makeRoom(false)
	if s.table.IsFull() {
		s.mu.Unlock()
		s.stats.turned.Add(1)
		nc.Close()
		return
	}
	if !s.opt.NoEviction {
		nc.SetReadDeadline(time.Now().Add(freshMax)) // before: who evicts it sets another
	}
	c := &conn{s: s, nc: nc, raw: sockstate.RawConn(nc)}
	c.place = s.table.Add(c, s.now())
	s.wg.Add(1)
	s.mu.Unlock()
	go c.serve()
}

// makeRoom closes what gives way: one connection at the bound, or where must
// is set; below it, all that were idle for long, but for a planned restart, in
// which their clients could not connect anew. The caller holds s.mu.
func (s *Server) makeRoom(must bool) {
	full := must || s.table.IsFull()
	if !full && s.draining() {
		return
	}
	s.table.EachVictim(s.now(), func(e *eviction.Entry[*conn]) bool {
		stage, _ := s.table.State(e)
		if s.opt.NoEviction && stage == eviction.StateNew {
			return true
		}
		if stage != eviction.StateClosing && e.Conn.speaks() {
			return true // it has sent what nobody has read yet
		}
		s.stats.evicted.Add(1)
		if !full {
			s.evict(e)
			return true
		}
		s.table.Remove(e) // its descriptor is needed at once
		e.Conn.nc.Close()
		return false
	})
}

// evict begins the lingering close of a connection between requests. What
// comes on it from now on is dropped unread: its client sees the end and sends
// it once more elsewhere. The caller holds s.mu.
func (s *Server) evict(e *eviction.Entry[*conn]) {
	s.table.SetState(e, eviction.StateClosing, s.now())
	shutWrite(e.Conn.nc)
	e.Conn.nc.SetReadDeadline(time.Unix(1, 0)) // its goroutine, which waits for a request, goes on to linger
}

// watch looks whether the clients of open requests are still there, as nobody
// reads their connections meanwhile, and closes what was idle for long.
func (s *Server) watch() {
	defer s.wg.Done()
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	var waiting []*conn
	for {
		select {
		case <-s.quit:
			return
		case <-tick.C:
		}
		waiting = waiting[:0]
		s.mu.Lock()
		if !s.table.IsFull() { // who has no connection left cannot ask for room by connecting
			s.makeRoom(false)
		}
		s.table.ForEach(eviction.StateWaiting, func(e *eviction.Entry[*conn]) { waiting = append(waiting, e.Conn) })
		s.mu.Unlock()
		for _, c := range waiting {
			c.lookGone()
		}
		clear(waiting)
	}
}

// Drain has every answer from a time on tell its client to connect anew, and
// gives every request its final answer by another.
func (s *Server) Drain(tell, last time.Time) {
	s.drains.Store(true)
	s.tell.Store(tell.UnixNano())
	if !s.opt.NoShutdownDeadline {
		s.opt.Host.Shutdown(last)
	}
}

// draining tells whether a planned restart has begun.
func (s *Server) draining() bool { return s.drains.Load() }

// tells tells whether clients are told to connect anew.
func (s *Server) tells() bool {
	tell := s.tell.Load()
	return tell != 0 && time.Now().UnixNano() >= tell
}

// CloseIdle evicts the connections between requests on which nothing has come.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle()
}

// closeIdle is CloseIdle for a caller that holds s.mu.
func (s *Server) closeIdle() {
	for _, stage := range [...]eviction.State{eviction.StateIdle, eviction.StateNew} {
		s.table.ForEach(stage, func(e *eviction.Entry[*conn]) {
			if !e.Conn.speaks() {
				s.evict(e)
			}
		})
	}
}

// ExpireReads answers the connections that are inside a request as if its time
// were up: there is none left to serve it.
func (s *Server) ExpireReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stage := range [...]eviction.State{eviction.StateFirstRequest, eviction.StateReading} {
		s.table.ForEach(stage, func(e *eviction.Entry[*conn]) { e.Conn.nc.SetReadDeadline(time.Unix(1, 0)) })
	}
}

// CloseListener takes no more connections, after those that have come up.
func (s *Server) CloseListener() {
	s.closing.Store(true)
	s.acceptBy(time.Unix(1, 0)) // an Accept that waits goes on to look for what is left
	<-s.accepted
	s.ln.Close()
}

// ConnCount returns how many connections are left.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count()
}

// Stop ends the server at once; what is open is cut.
func (s *Server) Stop() {
	s.ln.Close()
	close(s.quit)
	s.mu.Lock()
	for stage := eviction.StateNew; stage <= eviction.StateClosing; stage++ {
		s.table.ForEach(stage, func(e *eviction.Entry[*conn]) {
			e.Conn.nc.Close()
			e.Conn.abandon()
		})
	}
	for call := range s.calls { // some have outlived their clients
		call.AbortAll()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
