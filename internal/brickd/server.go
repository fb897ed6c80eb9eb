// Package brickd is a brick: a server of blobs over the protocol that
// internal/brick names, on a store. `arrowwalk serve` embeds it,
// `arrowwalk brick` runs one, and proofs script its faults through Hook.
package brickd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
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
	"arrowwalk/internal/tcpinfo"
)

// Options of a brick.
type Options struct {
	ID           string
	Zone         *Zone         // whose bricks drop each other's repeats
	Meter        *Meter        // of what volumes are served everywhere; nil: not told
	Workers      int           // requests served at once; 0: 16
	MaxQueue     int           // requests that may wait for a worker; 0: 1024
	MaxConns     int           // connections at once; 0: 4096
	IdleTimeout  time.Duration // for which a connection may say nothing; 0: 2 min
	MaxBodyBytes int64         // bytes of a body; 0: 64 MiB
	Hook         Hook          // scripted faults; nil: none
	Log          *slog.Logger
}

// Server is a running brick.
type Server struct {
	opt     Options
	dir     *store.Store
	started int64 // microseconds since 1970
	name    string
	ln      net.Listener
	line    *line
	busy    busyMeter
	use     hostMeter
	fences  fences
	drains  atomic.Bool

	mu      sync.Mutex
	conns   map[*conn]struct{}
	closing bool
	wg      sync.WaitGroup
}

// Start serves dir on ln until Close. The caller keeps dir and closes it after.
func Start(ln net.Listener, dir *store.Store, opt Options) *Server {
	orInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	orInt(&opt.Workers, 16)
	orInt(&opt.MaxQueue, 1024)
	orInt(&opt.MaxConns, 4096)
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
	s := &Server{opt: opt, dir: dir, ln: ln, started: time.Now().UnixMicro(),
		line: newLine(admission.Limits{Workers: opt.Workers, MaxQueued: opt.MaxQueue}), conns: map[*conn]struct{}{}}
	s.name = fmt.Sprintf("%s@%d", opt.ID, s.started)
	s.busy.init(opt.Workers)
	s.wg.Add(1)
	go s.accept()
	return s
}

// Addr returns the address that the brick listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Started returns when the brick started, in microseconds since 1970.
func (s *Server) Started() int64 { return s.started }

// SetDraining has the brick say in its answers whether it asks for nothing new.
func (s *Server) SetDraining(yes bool) { s.drains.Store(yes) }

// Load returns what live work the brick has, for what runs beside it.
func (s *Server) Load() maintpolicy.Load {
	return maintpolicy.Load{Utilization: float64(s.busy.util.Load()) / 1000, QueuedRequests: s.line.waiting()}
}

// Close stops the brick: it accepts nothing more, cuts its connections and
// waits for what runs.
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

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.opt.Log.Warn("accept failed", "brick", s.opt.ID, "error", err)
			time.Sleep(5 * time.Millisecond) // out of descriptors: let some close
			continue
		}
		c := &conn{s: s, nc: nc}
		s.mu.Lock()
		refused := s.closing || len(s.conns) >= s.opt.MaxConns
		if !refused {
			s.conns[c] = struct{}{}
			s.wg.Add(1)
		}
		s.mu.Unlock()
		if refused {
			nc.Close()
			continue
		}
		go c.serve()
	}
}

// conn is one connection: requests come and are answered in turn.
type conn struct {
	s    *Server
	nc   net.Conn
	in   *bufio.Reader
	out  []byte
	req  http1.Request
	body http1.Body

	request string // the one being answered
	raw     syscall.RawConn
	wrote   time.Time // when the last part of the answer was about to be written
}

// write writes to the peer, who may have it before this returns.
func (c *conn) write(b []byte) error {
	c.wrote = time.Now()
	_, err := c.nc.Write(b)
	return err
}

// errCut ends a connection without a word.
var errCut = errors.New("connection is cut")

func (c *conn) serve() {
	defer c.s.wg.Done()
	defer func() {
		c.nc.Close()
		c.s.mu.Lock()
		delete(c.s.conns, c)
		c.s.mu.Unlock()
	}()
	c.in = bufio.NewReaderSize(c.nc, 16<<10)
	heads := http1.NewReader(c.in, http1.DefaultLimits)
	for {
		c.nc.SetReadDeadline(time.Now().Add(c.s.opt.IdleTimeout))
		if err := heads.ReadRequest(&c.req); err != nil {
			if status := http1.StatusOf(err); status != 0 {
				c.answer(&reply{status: status, text: err.Error(), cut: true})
			}
			return
		}
		c.body.Reset(c.in, c.req.Framing)
		if err := c.handle(); err != nil || c.req.Close || !c.body.Drain(1<<20) {
			return
		}
	}
}

// Exchange is one request as it came over the socket and how it was answered;
// a Hook and the stand-ins' logs see it.
type Exchange struct {
	Brick           string
	Zone            string
	Started         int64 // of the brick
	At              time.Time
	EarliestArrival time.Time // it may have come so early: this process may have stood still
	Method          string
	Space           string
	Name            string
	List            bool
	Request         string // as HeaderRequest has it
	Host            int
	Volume          uint64
	Units           float64
	Key             string
	Deadline        time.Duration
	Range           string

	Status   int  // of the answer; 0: none was given
	Repeat   bool // dropped as a repeat
	Stored   bool // the store took a write
	Sent     int64
	Answered time.Time
}

// Fault is what a Hook makes of a request.
type Fault struct {
	Delay         time.Duration // of the answer, before the work
	DropResponse  bool          // the work is done, no answer is given
	IgnoreRequest bool          // nothing is done and no answer is given
	Status        int           // answer this in place of the work
	CutAfter      int64         // cut the connection after so many bytes of the body; -1: before the answer
	MissingBytes  int64         // bytes of the body left out, though its length is told
	ExtraBytes    int64         // bytes too many
	FlipBit       bool          // a bit of the answer's body is another
	OmitChecksums bool          // the answer has no checksums
	Garbage       bool          // answer with what is not HTTP
	EndlessHeader bool          // answer with a header without end
	RespondTwice  bool          // give the answer two times
	ExtraWork     time.Duration // a worker is busy for so long besides
	WaitFor       <-chan struct{}
}

// Hook scripts a brick's faults and keeps its log. Its calls may come from
// many goroutines at once.
type Hook interface {
	OnRequest(x *Exchange) Fault
	OnResponse(x *Exchange)
}

func (c *conn) handle() error {
	x, err := c.exchange()
	if err != nil {
		return c.answer(&reply{status: 400, text: err.Error()})
	}
	var f Fault
	if c.s.opt.Hook != nil {
		f = c.s.opt.Hook.OnRequest(x)
		c.wrote = time.Time{}
		defer func() {
			if x.Answered = c.wrote; x.Answered.IsZero() {
				x.Answered = time.Now()
			}
			c.s.opt.Hook.OnResponse(x)
		}()
	}
	if f.WaitFor != nil {
		<-f.WaitFor
	}
	if done, err := c.before(x, f); done {
		return err
	}
	r, release := c.work(x)
	x.Status, x.Repeat = r.status, r.repeat
	if f.ExtraWork > 0 && r.status != 503 && r.status != 421 {
		timer := time.NewTimer(f.ExtraWork)
		<-timer.C
	}
	if f.DropResponse {
		release()
		x.Status = 0
		return c.hang()
	}
	defer release()
	return c.deliver(x, r, f)
}

// before plays the faults that take the place of the work.
func (c *conn) before(x *Exchange, f Fault) (done bool, err error) {
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		<-timer.C
	}
	switch {
	case f.IgnoreRequest:
		return true, c.hang()
	case f.Status != 0:
		x.Status = f.Status
		return true, c.answer(&reply{status: f.Status, text: "scripted"})
	case f.Garbage:
		c.nc.Write([]byte("\x00\x01garbage \xff without a line"))
		return true, errCut
	case f.EndlessHeader:
		line := []byte("X-More: " + strings.Repeat("y", 1000) + "\r\n")
		c.nc.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for range 1 << 10 { // a stranger's patience is bounded too
			if _, err := c.nc.Write(line); err != nil {
				break
			}
		}
		return true, errCut
	}
	return false, nil
}

// hang says nothing until the peer closes.
func (c *conn) hang() error {
	c.nc.SetReadDeadline(time.Now().Add(c.s.opt.IdleTimeout))
	io.Copy(io.Discard, c.in)
	return errCut
}

// came returns the earliest time at which a request may have come. Who judges
// by a Hook's log must not blame a host for a brick that stood still: the kernel
// knows when bytes last came, though on a machine that stood still itself its
// word may be a tenth of a second too early.
func (c *conn) came() (t time.Time) {
	if c.s.opt.Hook == nil {
		return t
	}
	if c.raw == nil {
		if sc, ok := c.nc.(syscall.Conn); ok {
			c.raw, _ = sc.SyscallConn()
		}
	}
	if age, ok := tcpinfo.LastReceiveAge(c.raw); ok && age >= tcpinfo.MinReliableAge {
		t = time.Now().Add(-age)
	}
	return t
}

// exchange reads the protocol's fields of a request.
func (c *conn) exchange() (*Exchange, error) {
	c.request = ""
	x := &Exchange{Brick: c.s.opt.ID, Zone: c.s.opt.Zone.Name, Started: c.s.started, At: time.Now(), EarliestArrival: c.came(), Method: c.req.Method}
	path, query, _ := strings.Cut(c.req.Target, "?")
	path, ok := strings.CutPrefix(path, "/v1/")
	if !ok {
		return nil, fmt.Errorf("path %q: not /v1/SPACE/NAME", path)
	}
	space, name, _ := strings.Cut(path, "/")
	if space == "" || len(space) > 8 || strings.Contains(name, "/") {
		return nil, fmt.Errorf("path %q: not /v1/SPACE/NAME", path)
	}
	x.Space, x.List = space, query == "list" || strings.HasPrefix(query, "list&")
	var err error
	if x.Name, err = brick.Unescape(name); err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	if x.Name == "" && !x.List {
		return nil, fmt.Errorf("path %q: no name", path)
	}
	for i := range c.req.Fields {
		if err := x.take(&c.req.Fields[i]); err != nil {
			return nil, err
		}
	}
	c.request = x.Request
	return x, nil
}

func (x *Exchange) take(f *http1.Field) (err error) {
	if len(f.Name) < 4 || f.Name[0]|32 != 'a' || f.Name[1]|32 != 'w' {
		if strings.EqualFold(f.Name, "Range") {
			x.Range = f.Value
		}
		return nil
	}
	switch {
	case strings.EqualFold(f.Name, brick.HeaderRequest):
		x.Request = f.Value
	case strings.EqualFold(f.Name, brick.HeaderKey):
		x.Key = f.Value
	case strings.EqualFold(f.Name, brick.HeaderHost):
		x.Host, err = strconv.Atoi(f.Value)
	case strings.EqualFold(f.Name, brick.HeaderVolume):
		x.Volume, err = strconv.ParseUint(f.Value, 10, 64)
	case strings.EqualFold(f.Name, brick.HeaderUnits):
		x.Units, err = strconv.ParseFloat(f.Value, 64)
		if err == nil && !(x.Units >= 0 && x.Units <= 1e9) {
			err = strconv.ErrRange
		}
	case strings.EqualFold(f.Name, brick.HeaderDeadline):
		var us int64
		us, err = strconv.ParseInt(f.Value, 10, 64)
		x.Deadline = time.Duration(us) * time.Microsecond
	}
	if err != nil {
		return fmt.Errorf("header %s: bad value %q", f.Name, f.Value)
	}
	return nil
}

// work waits for a worker and does what the request asks. release gives the
// worker back and closes what the reply holds.
func (c *conn) work(x *Exchange) (r *reply, release func()) {
	none := func() {}
	if want := c.req.Fields.Get(brick.HeaderExpect); want != "" && want != c.s.opt.ID {
		return &reply{status: 421, text: "this is brick " + c.s.opt.ID + ", not " + want}, none
	}
	kind := admission.Read
	if x.Method == "PUT" || x.Method == "DELETE" || x.Method == "PATCH" {
		kind = admission.Write
	}
	if !c.s.line.enter(kind, 1+float64(max(c.req.Length, 0))/record.BlockSize) {
		return &reply{status: 503, text: "queue is full"}, none
	}
	c.s.busy.begin()
	r = c.dispatch(x)
	if r.status < 300 || r.status == 404 {
		r.others = c.s.use.served(x.Volume, x.Host, x.Units)
		if c.s.opt.Meter != nil {
			r.fleet = c.s.opt.Meter.Served(x.Volume, x.Units)
		}
	}
	return r, func() {
		if r.blob != nil {
			r.blob.Close()
		}
		c.s.busy.end()
		c.s.line.leave(kind)
	}
}

func (c *conn) dispatch(x *Exchange) *reply {
	switch {
	case x.List && x.Method == "GET":
		return c.list(x)
	case x.Method == "GET" && x.Space == brick.SpaceExtents:
		return c.getExtent(x)
	case x.Method == "GET" || x.Method == "HEAD":
		return c.get(x)
	case x.Method == "PUT" || x.Method == "DELETE" || x.Method == "PATCH":
		if x.Key == "" {
			return c.change(x)
		}
		return c.s.opt.Zone.once(x.Key, func() *reply { return c.change(x) })
	}
	return &reply{status: 405, text: "method " + x.Method}
}

func (c *conn) change(x *Exchange) *reply {
	switch {
	case x.Method == "PATCH":
		return c.patch(x)
	case x.Method == "PUT" && x.Space == brick.SpaceFences:
		return c.fence(x)
	case x.Method == "PUT":
		return c.put(x)
	}
	return c.delete(x)
}

func (c *conn) condition() (store.Condition, error) {
	var cond store.Condition
	if v, ok := c.req.Fields.Lookup("If-Match"); ok {
		version, err := strconv.ParseUint(strings.Trim(v, `"`), 10, 64)
		if err != nil || version == 0 {
			return cond, fmt.Errorf("header If-Match: bad version %q", v)
		}
		cond.Version = version
	}
	if v, ok := c.req.Fields.Lookup("If-None-Match"); ok {
		if v != "*" {
			return cond, fmt.Errorf("header If-None-Match: %q is not *", v)
		}
		cond.Absent = true
	}
	return cond, nil
}

// statusOf maps the store's errors.
func statusOf(err error) int {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return 404
	case errors.Is(err, store.ErrVersionMismatch):
		return 412
	case errors.Is(err, store.ErrTooLarge):
		return 413
	case errors.Is(err, os.ErrPermission), isNoSpace(err):
		return 507
	case errors.Is(err, io.ErrUnexpectedEOF):
		return 400
	}
	return 500
}

// failed is the answer to what the store could not do.
func failed(err error) *reply {
	return &reply{status: statusOf(err), text: err.Error(), corrupt: errors.Is(err, store.ErrCorrupt) || errors.Is(err, store.ErrChecksumMismatch)}
}

func (c *conn) put(x *Exchange) *reply {
	if !c.req.HasLength || c.req.Length > c.s.opt.MaxBodyBytes {
		return &reply{status: 413, text: fmt.Sprintf("body without a length, or over %d bytes", c.s.opt.MaxBodyBytes)}
	}
	cond, err := c.condition()
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	meta, err := decodeMeta(c.req.Fields.Get(brick.HeaderMeta))
	if err != nil {
		return &reply{status: 400, text: "header Aw-Meta: " + err.Error()}
	}
	info := store.Info{Name: x.Name, Meta: meta, Size: c.req.Length, Whole: c.req.Fields.Get(brick.HeaderWhole) == "1"}
	c.nc.SetReadDeadline(time.Now().Add(c.s.opt.IdleTimeout))
	sums, err := brick.ParseSums(c.req.Fields.Get(brick.HeaderSums), info.Size)
	if err != nil {
		return &reply{status: 400, text: "header " + brick.HeaderSums + ": " + err.Error()}
	}
	stored, before, err := c.s.dir.Put(context.Background(), x.Space, info, &c.body, sums, cond)
	if err != nil {
		return failed(err)
	}
	x.Stored = true
	r := &reply{status: 200, version: stored.Version}
	if before != nil {
		r.replaced = before
	}
	return r
}

func (c *conn) delete(x *Exchange) *reply {
	cond, err := c.condition()
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	before, err := c.s.dir.Delete(x.Space, x.Name, cond)
	if err != nil {
		return &reply{status: statusOf(err), text: err.Error()}
	}
	x.Stored = true
	return &reply{status: 204, replaced: &before}
}

func (c *conn) get(x *Exchange) *reply {
	blob, err := c.s.dir.Get(x.Space, x.Name)
	if err != nil {
		return failed(err)
	}
	r := &reply{status: 200, blob: blob, version: blob.Version, length: blob.Size, size: blob.Size}
	if x.Range == "" || blob.Whole {
		return r
	}
	from, length, ok := resolveRange(x.Range, blob.Size)
	if !ok {
		blob.Close()
		return &reply{status: 416, version: blob.Version, info: &blob.Info, size: blob.Size, text: "no byte of the range is there"}
	}
	r.status, r.from, r.length = 206, from, length
	return r
}

// resolveRange reads "bytes=a-b", "a-" or "-n" (RFC 9110 section 14).
func resolveRange(text string, size int64) (from, length int64, ok bool) {
	spec, found := strings.CutPrefix(text, "bytes=")
	first, last, dash := strings.Cut(spec, "-")
	if !found || !dash {
		return 0, 0, false
	}
	if first == "" {
		n, err := strconv.ParseInt(last, 10, 64)
		if err != nil || n <= 0 || size == 0 {
			return 0, 0, false
		}
		n = min(n, size)
		return size - n, n, true
	}
	from, err := strconv.ParseInt(first, 10, 64)
	if err != nil || from < 0 || from >= size {
		return 0, 0, false
	}
	to := size - 1
	if last != "" {
		end, err := strconv.ParseInt(last, 10, 64)
		if err != nil || end < from {
			return 0, 0, false
		}
		to = min(to, end)
	}
	return from, to - from + 1, true
}
