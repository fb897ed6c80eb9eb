// Package frontend serves clients in the platform's protocol. It validates each
// request, hands it to the host and writes exactly one final response.
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
	"arrowwalk/internal/connsource"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/eviction"
	"arrowwalk/internal/platform/shutdown"
	"arrowwalk/internal/platform/upstream"
	"arrowwalk/internal/sockstate"
)

const (
	firstRequestTimeout     = 2 * time.Second        // from the connect to the end of the first request
	readTimeout             = 2 * time.Second        // from the first byte of a later request to its end
	lingerTimeout           = 500 * time.Millisecond // of a lingering close, so that the client can read its response
	disconnectCheckInterval = 50 * time.Millisecond

	// WriteTimeout bounds the write of a response.
	WriteTimeout = 2 * time.Second

	// finalAcceptTimeout is how long a closing listener accepts the connections that
	// are already established.
	finalAcceptTimeout = 2 * time.Millisecond

	// acceptRetryDelay is the wait after a failed Accept.
	acceptRetryDelay = 5 * time.Millisecond
)

// Options configures a Server. The caller owns Host and Sender and closes them
// after Stop.
type Options struct {
	Host                  *host.Host
	Sender                *upstream.Sender
	Settings              *arrowwalk.Settings
	Log                   *slog.Logger
	MaxConns              int   // client connections
	IdleEvictionThreshold int   // number of connections from which idle ones are evicted
	MaxBodyBytes          int64 // request bodies held in memory at once
	// Each of these switches off a guard, for negative tests only: NoEviction neither
	// evicts nor times out connections on which nothing was received,
	// AcceptDoubleFraming accepts Content-Length together with Transfer-Encoding, and
	// NoArrivalAge treats data found in a socket as just arrived.
	NoEviction, AcceptDoubleFraming, NoArrivalAge bool
	// NoDisconnectCheck never checks whether clients have disconnected, and
	// NoShutdownDeadline does not limit deadlines to the end of a shutdown; also for
	// negative tests only.
	NoDisconnectCheck, NoShutdownDeadline bool
}

// Server serves clients on one listener.
type Server struct {
	opt           Options
	ln            net.Listener
	source        *connsource.Listener
	validator     *validator
	headLimits    http1.Limits
	requestIDs    requestIDs
	stats         counters
	draining      atomic.Bool  // a graceful shutdown has begun
	reconnectFrom atomic.Int64 // Unix time in ns from which clients are asked to reconnect; 0: never
	bodyMemory    eviction.ByteBudget
	done          chan struct{} // closed by Stop
	wg            sync.WaitGroup

	listenerClosing atomic.Bool   // accept only the connections that are already established
	acceptDone      chan struct{} // closed when no more connections are accepted

	mu      sync.Mutex
	table   *eviction.Table[*conn]
	calls   map[*upstream.Call]struct{} // in progress at the host
	started time.Time
}

// counters holds the counts behind Stats.
type counters struct{ requests, rejected, clientsGone, evicted, turnedAway atomic.Uint64 }

// Stats holds counts since the start.
type Stats struct {
	Requests    uint64 // handed to the host
	Rejected    uint64 // invalid or incomplete requests
	ClientsGone uint64 // requests whose clients disconnected
	Evicted     uint64 // connections closed to make room for others
	TurnedAway  uint64 // connections closed at the limit, with none to evict
	Open        int    // connections with an unanswered request
	Conns       int    // connections
	Draining    bool   // a graceful shutdown has begun
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	c := &s.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{c.requests.Load(), c.rejected.Load(), c.clientsGone.Load(), c.evicted.Load(), c.turnedAway.Load(),
		s.table.CountIn(eviction.StateWaiting), s.table.Count(), s.isDraining()}
}

// Start serves clients on ln until Stop. The Server owns ln from then on.
func Start(ln net.Listener, opt Options) *Server {
	s := &Server{
		opt:        opt,
		ln:         ln,
		validator:  newValidator(opt.Settings),
		requestIDs: requestIDs{known: map[string]bool{}},
		done:       make(chan struct{}),
		acceptDone: make(chan struct{}),
		table:      eviction.NewTable[*conn](opt.MaxConns, opt.IdleEvictionThreshold),
		calls:      map[*upstream.Call]struct{}{},
		started:    time.Now(),
	}
	s.headLimits, s.bodyMemory.Max = headLimits, opt.MaxBodyBytes
	s.headLimits.AcceptDoubleFraming = opt.AcceptDoubleFraming
	s.source = connsource.NewListener(opt.Host, ln)
	s.wg.Add(2)
	go s.acceptLoop()
	go s.monitorConns()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// now returns the time since the start, in microseconds.
func (s *Server) now() int64 { return time.Since(s.started).Microseconds() }

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	defer s.wg.Done()
	defer close(s.acceptDone)
	defer s.source.Close()
	for {
		s.source.BeforeAccept()
		if s.listenerClosing.Load() {
			s.setAcceptDeadline(time.Now().Add(finalAcceptTimeout))
		}
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if sockstate.HasPendingConn(s.ln) { // the deadline passed before Accept tried
				continue
			}
			return
		}
		if err != nil { // usually out of descriptors: evict a connection, and wait
			s.opt.Log.Warn("accept failed", "error", err)
			s.mu.Lock()
			s.evictConns(true)
			s.mu.Unlock()
			select {
			case <-time.After(acceptRetryDelay):
			case <-s.done:
				return
			}
			continue
		}
		s.openConn(nc)
	}
}

// setAcceptDeadline sets the listener's deadline. A listener that has none is
// closed.
func (s *Server) setAcceptDeadline(t time.Time) {
	if ln, ok := s.ln.(interface{ SetDeadline(time.Time) error }); !ok || ln.SetDeadline(t) != nil {
		s.ln.Close()
	}
}

// openConn starts to serve a connection, or closes it if the limit is reached and
// no other can be evicted.
func (s *Server) openConn(nc net.Conn) {
	s.mu.Lock()
	s.evictConns(false)
	if s.table.IsFull() {
		s.mu.Unlock()
		s.stats.turnedAway.Add(1)
		nc.Close()
		return
	}
	if !s.opt.NoEviction {
		nc.SetReadDeadline(time.Now().Add(firstRequestTimeout)) // before the table has it: an eviction sets its own
	}
	c := &conn{server: s, nc: nc, raw: sockstate.RawConn(nc)}
	c.entry = s.table.Add(c, s.now())
	s.wg.Add(1)
	s.mu.Unlock()
	c.source = connsource.New(s.opt.Host, c.raw)
	go c.serve()
}

// evictConns evicts connections. At the limit, or if force is set, it closes one
// at once. Below the limit it closes all that have been idle for long, except
// during a shutdown, when their clients could not reconnect. The caller holds
// s.mu.
func (s *Server) evictConns(force bool) {
	full := force || s.table.IsFull()
	if !full && s.isDraining() {
		return
	}
	s.table.EachVictim(s.now(), func(e *eviction.Entry[*conn]) bool {
		state, _ := s.table.State(e)
		if s.opt.NoEviction && state == eviction.StateNew {
			return true
		}
		if state != eviction.StateClosing && e.Conn.hasUnreadData() {
			return true // a request has arrived
		}
		s.stats.evicted.Add(1)
		if !full {
			s.beginClose(e)
			return true
		}
		s.table.Remove(e) // without a lingering close: the descriptor is needed now
		e.Conn.nc.Close()
		return false
	})
}

// beginClose begins the lingering close of a connection between requests. A
// request that arrives from now on is discarded unread: its client sees the close
// and sends it again on another connection. The caller holds s.mu.
func (s *Server) beginClose(e *eviction.Entry[*conn]) {
	s.table.SetState(e, eviction.StateClosing, s.now())
	closeWrite(e.Conn.nc)
	e.Conn.nc.SetReadDeadline(time.Unix(1, 0)) // in the past: wakes its goroutine, which then lingers
}

// monitorConns checks at intervals whether the clients of requests in progress
// have disconnected, since their connections are not being read, and closes
// long-idle connections.
func (s *Server) monitorConns() {
	defer s.wg.Done()
	ticker := time.NewTicker(disconnectCheckInterval)
	defer ticker.Stop()
	var waiting []*conn
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
		}
		waiting = waiting[:0]
		s.mu.Lock()
		if !s.table.IsFull() { // idle time alone evicts: clients that cannot connect cannot trigger it
			s.evictConns(false)
		}
		s.table.ForEach(eviction.StateWaiting, func(e *eviction.Entry[*conn]) { waiting = append(waiting, e.Conn) })
		s.mu.Unlock()
		for _, c := range waiting {
			c.checkWaitingClient()
		}
		clear(waiting)
	}
}

// Drain begins a graceful shutdown. Responses from reconnectFrom on ask their
// clients to reconnect, and every request has its final response by deadline.
func (s *Server) Drain(reconnectFrom, deadline time.Time) {
	s.draining.Store(true)
	s.reconnectFrom.Store(reconnectFrom.UnixNano())
	if !s.opt.NoShutdownDeadline {
		s.opt.Host.Shutdown(deadline)
	}
}

// isDraining reports whether a graceful shutdown has begun.
func (s *Server) isDraining() bool { return s.draining.Load() }

// asksReconnect reports whether responses ask their clients to reconnect.
func (s *Server) asksReconnect() bool {
	from := s.reconnectFrom.Load()
	return from != 0 && time.Now().UnixNano() >= from
}

// CloseIdle closes the connections between requests on which no data has arrived.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdleLocked()
}

// closeIdleLocked is CloseIdle for a caller that holds s.mu.
func (s *Server) closeIdleLocked() {
	for _, state := range [...]eviction.State{eviction.StateIdle, eviction.StateNew} {
		s.table.ForEach(state, func(e *eviction.Entry[*conn]) {
			if !e.Conn.hasUnreadData() {
				s.beginClose(e)
			}
		})
	}
}

// ExpireReads ends the reading of incomplete requests as if their read timeout
// had passed, since no time is left to serve them.
func (s *Server) ExpireReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range [...]eviction.State{eviction.StateFirstRequest, eviction.StateReading} {
		s.table.ForEach(state, func(e *eviction.Entry[*conn]) { e.Conn.nc.SetReadDeadline(time.Unix(1, 0)) })
	}
}

// CloseListener accepts the connections that are already established and then
// closes the listener. Calling it again has no effect.
func (s *Server) CloseListener() {
	if s.listenerClosing.Swap(true) {
		return
	}
	s.setAcceptDeadline(time.Unix(1, 0)) // in the past: wakes a waiting Accept
	<-s.acceptDone
	s.ln.Close()
}

// ConnCount returns the number of client connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Count()
}

// Connections returns the numbers of connections that a graceful shutdown goes by.
// Every connection that is not being closed counts as unanswered, which is exact
// after CloseIdle.
func (s *Server) Connections() shutdown.Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.table.Count()
	return shutdown.Connections{Open: open, Unanswered: open - s.table.CountIn(eviction.StateClosing)}
}

// countUnanswered returns the number of connections with a request, or a part of
// one, that has no final response. The caller holds s.mu.
func (s *Server) countUnanswered() int {
	n := 0
	for _, state := range [...]eviction.State{eviction.StateFirstRequest, eviction.StateReading, eviction.StateWaiting} {
		n += s.table.CountIn(state)
	}
	for _, state := range [...]eviction.State{eviction.StateNew, eviction.StateIdle} {
		s.table.ForEach(state, func(e *eviction.Entry[*conn]) {
			if e.Conn.hasUnreadData() {
				n++
			}
		})
	}
	return n
}

// Stop closes the listener and all connections at once, aborts the requests in
// progress and waits for the server's goroutines. It returns the number of
// connections with an unanswered request.
func (s *Server) Stop() (unanswered int) {
	s.ln.Close()
	close(s.done)
	s.mu.Lock()
	unanswered = s.countUnanswered()
	for state := eviction.StateNew; state <= eviction.StateClosing; state++ {
		s.table.ForEach(state, func(e *eviction.Entry[*conn]) {
			e.Conn.nc.Close()
			e.Conn.abandonTask()
		})
	}
	for call := range s.calls { // calls whose clients have disconnected included
		call.AbortAll()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return unanswered
}
