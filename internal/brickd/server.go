// Package brickd implements a brick: an HTTP server that serves the blobs of a
// store over the protocol that package brick defines. The command "arrowwalk
// serve" embeds bricks and "arrowwalk brick" runs one. Tests inject faults
// through a Hook.
package brickd

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/store"
	"arrowwalk/internal/store/admission"
	"arrowwalk/internal/store/maintpolicy"
	"arrowwalk/internal/store/record"
)

// Options configures a brick.
type Options struct {
	ID           string
	Zone         *Zone         // shared by the bricks that deduplicate each other's writes; nil means a zone of its own with a 4 s window
	Meter        *Meter        // shared by the bricks that report a common rate per volume; nil reports none
	Workers      int           // max requests served at once; 0 means 16
	MaxQueue     int           // max requests that wait for a worker; 0 means 1024
	MaxConns     int           // max connections; 0 means 4096
	IdleTimeout  time.Duration // idle timeout of a connection, also for reading a body and writing a response; 0 means 2 min
	MaxBodyBytes int64         // max bytes of a request body; 0 means 64 MiB
	MayServe     func() bool   // false while another brick may have taken this one's place; nil means always true
	Hook         Hook          // injects faults; nil injects none
	Log          *slog.Logger  // nil discards all records
}

// Server is a running brick.
type Server struct {
	opt       Options
	blobs     *store.Store
	started   int64  // microseconds since 1970
	identity  string // ID@STARTED
	ln        net.Listener
	queue     *queue
	busy      busyMeter
	hostUsage hostMeter
	fences    fences
	draining  atomic.Bool

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool
	wg      sync.WaitGroup
}

// Start serves the blobs of a store on ln until Close. The caller owns the store
// and closes it after the server.
func Start(ln net.Listener, blobs *store.Store, opt Options) *Server {
	setDefault := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setDefault(&opt.Workers, 16)
	setDefault(&opt.MaxQueue, 1024)
	setDefault(&opt.MaxConns, 4096)
	if opt.IdleTimeout == 0 {
		opt.IdleTimeout = 2 * time.Minute
	}
	if opt.MaxBodyBytes == 0 {
		opt.MaxBodyBytes = 64 << 20
	}
	if opt.Zone == nil {
		opt.Zone = NewZone(4 * time.Second)
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.MayServe == nil {
		opt.MayServe = func() bool { return true }
	}
	s := &Server{opt: opt, blobs: blobs, ln: ln, started: time.Now().UnixMicro(),
		queue: newQueue(admission.Limits{Workers: opt.Workers, MaxQueued: opt.MaxQueue}), conns: map[*conn]struct{}{}}
	s.identity = fmt.Sprintf("%s@%d", opt.ID, s.started)
	s.busy.init(opt.Workers)
	s.wg.Add(1)
	go s.acceptLoop()
	return s
}

// Addr returns the address that the brick listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Started returns when the brick started, in microseconds since 1970.
func (s *Server) Started() int64 { return s.started }

// SetDraining sets whether the brick's responses ask for no new requests.
func (s *Server) SetDraining(draining bool) { s.draining.Store(draining) }

// Load returns the brick's current load, by which background work is throttled.
func (s *Server) Load() maintpolicy.Load {
	return maintpolicy.Load{Utilization: float64(s.busy.permille.Load()) / 1000, QueuedRequests: s.queue.length()}
}

// Close stops the brick: it stops accepting, closes all connections and waits
// for running requests.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	s.ln.Close()
	for c := range s.conns {
		c.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.opt.Log.Warn("accept failed", "brick", s.opt.ID, "error", err)
			time.Sleep(5 * time.Millisecond) // out of file descriptors: wait for some to be closed
			continue
		}
		c := &conn{server: s, nc: nc}
		s.mu.Lock()
		reject := s.closing || len(s.conns) >= s.opt.MaxConns
		if !reject {
			s.conns[c] = struct{}{}
			s.wg.Add(1)
		}
		s.mu.Unlock()
		if reject {
			nc.Close()
			continue
		}
		go c.serve()
	}
}

// conn is a client connection. Its requests are served one after the other.
type conn struct {
	server   *Server
	nc       net.Conn
	reader   *bufio.Reader
	writeBuf []byte
	req      http1.Request
	body     http1.Body

	requestID string // of the current request
	rawConn   syscall.RawConn
	lastWrite time.Time // when the latest write of the response began
}

// write writes to the client. The client may receive the bytes before write
// returns, so lastWrite is set first.
func (c *conn) write(b []byte) error {
	c.lastWrite = time.Now()
	_, err := c.nc.Write(b)
	return err
}

// errConnCut makes serve close the connection without a further response.
var errConnCut = errors.New("connection is cut")

func (c *conn) serve() {
	defer c.server.wg.Done()
	defer func() {
		c.nc.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	}()
	c.reader = bufio.NewReaderSize(c.nc, 16<<10)
	heads := http1.NewReader(c.reader, http1.DefaultLimits)
	for {
		c.nc.SetReadDeadline(time.Now().Add(c.server.opt.IdleTimeout))
		if err := heads.ReadRequest(&c.req); err != nil {
			if status := http1.StatusOf(err); status != 0 {
				c.sendText(&reply{status: status, text: err.Error(), closeConn: true})
			}
			return
		}
		if err := brick.VerifyHead(heads.Head()); err != nil { // where its body ends is unknown, too
			c.requestID = ""
			c.sendText(&reply{status: 500, text: err.Error(), corrupt: true, closeConn: true})
			return
		}
		c.body.Reset(c.reader, c.req.Framing)
		if err := c.handleRequest(); err != nil || c.req.Close || !c.body.Drain(1<<20) {
			return
		}
	}
}

func (c *conn) handleRequest() error {
	ex, err := c.parseRequest()
	if err != nil {
		return c.sendText(&reply{status: 400, text: err.Error()})
	}
	var fault Fault
	if c.server.opt.Hook != nil {
		fault = c.server.opt.Hook.OnRequest(ex)
		c.lastWrite = time.Time{}
		defer func() {
			if ex.Answered = c.lastWrite; ex.Answered.IsZero() {
				ex.Answered = time.Now()
			}
			c.server.opt.Hook.OnResponse(ex)
		}()
	}
	if fault.WaitFor != nil {
		<-fault.WaitFor
	}
	if done, err := c.injectFault(ex, fault); done {
		return err
	}
	r, release := c.process(ex)
	ex.Status, ex.Repeat = r.status, r.repeat
	if fault.ExtraWork > 0 && r.status != 503 && r.status != 421 {
		timer := time.NewTimer(fault.ExtraWork)
		<-timer.C
	}
	if fault.DropResponse {
		release()
		ex.Status = 0
		return c.waitForClose()
	}
	defer release()
	return c.sendReply(ex, r, fault)
}

// process waits for a worker and executes the request. release frees the worker
// and closes the reply's blob; the caller must call it.
func (c *conn) process(ex *Exchange) (r *reply, release func()) {
	noRelease := func() {}
	if want := c.req.Fields.Get(brick.HeaderExpect); want != "" && want != c.server.opt.ID {
		return &reply{status: 421, text: "this is brick " + c.server.opt.ID + ", not " + want}, noRelease
	}
	kind := admission.Read
	if ex.Method == "PUT" || ex.Method == "DELETE" || ex.Method == "PATCH" {
		kind = admission.Write
	}
	if !c.server.queue.acquire(kind, 1+float64(max(c.req.Length, 0))/record.BlockSize) {
		return &reply{status: 503, text: "queue is full"}, noRelease
	}
	c.server.busy.begin()
	r = c.dispatchIfServing(ex, kind)
	if r.status < 300 || r.status == 404 {
		r.otherHostsUnits = c.server.hostUsage.add(ex.Volume, ex.Host, ex.Units)
		if c.server.opt.Meter != nil {
			r.fleetRate = c.server.opt.Meter.Served(ex.Volume, ex.Units)
		}
	}
	return r, func() {
		if r.blob != nil {
			r.blob.Close()
		}
		c.server.busy.end()
		c.server.queue.release(kind)
	}
}

// dispatchIfServing executes a request unless another brick may have taken this one's
// place. A write during which that happened is told as failed: what it stored may be lost.
func (c *conn) dispatchIfServing(ex *Exchange, kind admission.Kind) *reply {
	if !c.server.opt.MayServe() {
		return &reply{status: 503, text: "the brick's session is not confirmed"}
	}
	r := c.dispatch(ex)
	if kind == admission.Write && r.status < 300 && !c.server.opt.MayServe() {
		return &reply{status: 500, text: "the brick's session was not confirmed during the write"}
	}
	return r
}

func (c *conn) dispatch(ex *Exchange) *reply {
	switch {
	case ex.List && ex.Method == "GET":
		return c.listBlobs(ex)
	case ex.Method == "GET" && ex.Space == brick.SpaceExtents:
		return c.getExtent(ex)
	case ex.Method == "GET" || ex.Method == "HEAD":
		return c.getBlob(ex)
	case ex.Method == "PUT" || ex.Method == "DELETE" || ex.Method == "PATCH":
		if ex.Key == "" {
			return c.executeWrite(ex)
		}
		return c.server.opt.Zone.runOnce(ex.Key, func() *reply { return c.executeWrite(ex) })
	}
	return &reply{status: 405, text: "method " + ex.Method}
}

func (c *conn) executeWrite(ex *Exchange) *reply {
	switch {
	case ex.Method == "PATCH":
		return c.patchExtent(ex)
	case ex.Method == "PUT" && ex.Space == brick.SpaceFences:
		return c.raiseFence(ex)
	case ex.Method == "PUT":
		return c.putBlob(ex)
	}
	return c.deleteBlob(ex)
}
