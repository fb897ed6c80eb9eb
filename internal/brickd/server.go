// Package brickd implements a brick: an HTTP server that serves the blobs of a
// store over the protocol that package brick defines. The command "arrowwalk
// serve" embeds bricks and "arrowwalk brick" runs one. Tests inject faults
// through a Hook.
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

// Exchange is a request as it was received, and how it was answered. Hooks and
// the logs of test bricks see it.
type Exchange struct {
	Brick           string
	Zone            string
	Started         int64     // start of the brick, microseconds since 1970
	At              time.Time // when the request was read
	EarliestArrival time.Time // earliest time at which the request may have arrived; zero if unknown
	Method          string
	Space           string
	Name            string
	List            bool
	Request         string // value of HeaderRequest
	Host            int
	Volume          uint64
	Units           float64
	Key             string
	Deadline        time.Duration
	Range           string

	Status   int       // of the response; 0 if none was sent
	Repeat   bool      // the request was dropped as a duplicate
	Stored   bool      // the store has executed a write
	Sent     int64     // bytes of the response's body
	Answered time.Time // when the last write of the response began
}

// Fault is a fault that a Hook injects into a request. The zero value injects
// none.
type Fault struct {
	Delay         time.Duration   // wait before the request is processed
	DropResponse  bool            // process the request but send no response
	IgnoreRequest bool            // neither process the request nor respond
	Status        int             // respond with this status instead of processing the request
	CutAfter      int64           // close the connection after this many bytes of the body; -1 before the response
	MissingBytes  int64           // number of bytes missing at the end of the body, despite Content-Length
	ExtraBytes    int64           // number of extra bytes after the body
	FlipBit       bool            // flip a bit of the response's body
	OmitChecksums bool            // send no checksums
	Garbage       bool            // respond with bytes that are not HTTP
	EndlessHeader bool            // respond with an endless header
	RespondTwice  bool            // send the response twice
	ExtraWork     time.Duration   // occupy the worker for this long in addition
	WaitFor       <-chan struct{} // wait until it is closed
}

// Hook injects faults into a brick and logs its requests. Its methods may be
// called from many goroutines at once.
type Hook interface {
	// OnRequest is called when a request was received and returns the fault to
	// inject.
	OnRequest(x *Exchange) Fault
	// OnResponse is called when the request is done, whether or not a response
	// was sent.
	OnResponse(x *Exchange)
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

// injectFault applies the faults that delay or replace the processing of a
// request. done is true if the request must not be processed.
func (c *conn) injectFault(ex *Exchange, fault Fault) (done bool, err error) {
	if fault.Delay > 0 {
		timer := time.NewTimer(fault.Delay)
		defer timer.Stop()
		<-timer.C
	}
	switch {
	case fault.IgnoreRequest:
		return true, c.waitForClose()
	case fault.Status != 0:
		ex.Status = fault.Status
		return true, c.sendText(&reply{status: fault.Status, text: "scripted"})
	case fault.Garbage:
		c.nc.Write([]byte("\x00\x01garbage \xff without a line"))
		return true, errConnCut
	case fault.EndlessHeader:
		line := []byte("X-More: " + strings.Repeat("y", 1000) + "\r\n")
		c.nc.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for range 1 << 10 { // bounded in case the client reads them all
			if _, err := c.nc.Write(line); err != nil {
				break
			}
		}
		return true, errConnCut
	}
	return false, nil
}

// waitForClose sends nothing until the client closes the connection or the idle
// timeout expires.
func (c *conn) waitForClose() error {
	c.nc.SetReadDeadline(time.Now().Add(c.server.opt.IdleTimeout))
	io.Copy(io.Discard, c.reader)
	return errConnCut
}

// earliestArrival returns the earliest time at which a request may have arrived,
// or the zero time if it was read promptly. Checks that use a Hook's log must not
// blame a host for the stall of a brick. The kernel reports when bytes last
// arrived; on a machine that stalled as a whole, that time may be up to 0.1 s too
// early.
func (c *conn) earliestArrival() (t time.Time) {
	if c.server.opt.Hook == nil {
		return t
	}
	if c.rawConn == nil {
		if sc, ok := c.nc.(syscall.Conn); ok {
			c.rawConn, _ = sc.SyscallConn()
		}
	}
	if age, ok := tcpinfo.LastReceiveAge(c.rawConn); ok && age >= tcpinfo.MinReliableAge {
		t = time.Now().Add(-age)
	}
	return t
}

// parseRequest parses the current request's target and protocol fields.
func (c *conn) parseRequest() (*Exchange, error) {
	c.requestID = ""
	ex := &Exchange{Brick: c.server.opt.ID, Zone: c.server.opt.Zone.Name, Started: c.server.started, At: time.Now(), EarliestArrival: c.earliestArrival(), Method: c.req.Method}
	path, query, _ := strings.Cut(c.req.Target, "?")
	path, ok := strings.CutPrefix(path, "/v1/")
	if !ok {
		return nil, fmt.Errorf("path %q: not /v1/SPACE/NAME", path)
	}
	space, name, _ := strings.Cut(path, "/")
	if space == "" || len(space) > 8 || strings.Contains(name, "/") {
		return nil, fmt.Errorf("path %q: not /v1/SPACE/NAME", path)
	}
	ex.Space, ex.List = space, query == "list" || strings.HasPrefix(query, "list&")
	var err error
	if ex.Name, err = brick.Unescape(name); err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	if ex.Name == "" && !ex.List {
		return nil, fmt.Errorf("path %q: no name", path)
	}
	for i := range c.req.Fields {
		if err := ex.parseField(&c.req.Fields[i]); err != nil {
			return nil, err
		}
	}
	c.requestID = ex.Request
	return ex, nil
}

// parseField sets the field of the exchange that a header field carries. It
// ignores unknown fields.
func (x *Exchange) parseField(f *http1.Field) (err error) {
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

// parseCondition parses the request's If-Match, If-None-Match and HeaderSeen fields. A clock
// of another run is store.ErrChangedSince.
func (c *conn) parseCondition() (store.Condition, error) {
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
	return cond, c.parseSeen(&cond)
}

// conditionStatus returns the status for an error of parseCondition.
func conditionStatus(err error) int {
	if errors.Is(err, store.ErrChangedSince) {
		return brick.StatusStale
	}
	return 400
}

// maxTrashSuffixBytes bounds HeaderTrash.
const maxTrashSuffixBytes = 64

// parseEffects parses the request's HeaderConsume and HeaderTrash.
func (c *conn) parseEffects() (store.Effects, error) {
	effects := store.Effects{Trash: c.req.Fields.Get(brick.HeaderTrash)}
	if len(effects.Trash) > maxTrashSuffixBytes {
		return effects, fmt.Errorf("header %s: over %d bytes", brick.HeaderTrash, maxTrashSuffixBytes)
	}
	value, ok := c.req.Fields.Lookup(brick.HeaderConsume)
	if !ok {
		return effects, nil
	}
	space, name, err := brick.ParseConsume(value)
	if err != nil {
		return effects, fmt.Errorf("header %s: %w", brick.HeaderConsume, err)
	}
	effects.Consume = &store.Ref{Space: space, Name: name}
	return effects, nil
}

// statusOf returns the HTTP status for an error of the store.
func statusOf(err error) int {
	switch {
	case errors.Is(err, store.ErrChangedSince):
		return brick.StatusStale
	case errors.Is(err, store.ErrNotConsumable):
		return brick.StatusNotConsumable
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

// storeFailure returns the reply for an error of the store.
func storeFailure(err error) *reply {
	return &reply{status: statusOf(err), text: err.Error(), corrupt: errors.Is(err, store.ErrCorrupt) || errors.Is(err, store.ErrChecksumMismatch)}
}

func (c *conn) putBlob(ex *Exchange) *reply {
	if !c.req.HasLength || c.req.Length > c.server.opt.MaxBodyBytes {
		return &reply{status: 413, text: fmt.Sprintf("body without a length, or over %d bytes", c.server.opt.MaxBodyBytes)}
	}
	cond, err := c.parseCondition()
	if err != nil {
		return &reply{status: conditionStatus(err), text: err.Error()}
	}
	effects, err := c.parseEffects()
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	meta, err := decodeMeta(c.req.Fields.Get(brick.HeaderMeta))
	if err != nil {
		return &reply{status: 400, text: "header Aw-Meta: " + err.Error()}
	}
	info := store.Info{Name: ex.Name, Meta: meta, Size: c.req.Length, Whole: c.req.Fields.Get(brick.HeaderWhole) == "1"}
	c.nc.SetReadDeadline(time.Now().Add(c.server.opt.IdleTimeout))
	sums, err := brick.ParseSums(c.req.Fields.Get(brick.HeaderSums), info.Size)
	if err != nil {
		return &reply{status: 400, text: "header " + brick.HeaderSums + ": " + err.Error()}
	}
	stored, replaced, err := c.server.blobs.PutWith(context.Background(), ex.Space, info, &c.body, sums, cond, effects)
	if err != nil {
		return storeFailure(err)
	}
	ex.Stored = true
	r := &reply{status: 200, version: stored.Version}
	if replaced != nil {
		r.replaced = replaced
	}
	return r
}

func (c *conn) deleteBlob(ex *Exchange) *reply {
	cond, err := c.parseCondition()
	if err != nil {
		return &reply{status: conditionStatus(err), text: err.Error()}
	}
	effects, err := c.parseEffects()
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	deleted, err := c.server.blobs.DeleteWith(ex.Space, ex.Name, cond, effects)
	if err != nil {
		return &reply{status: statusOf(err), text: err.Error()}
	}
	ex.Stored = true
	return &reply{status: 204, replaced: &deleted}
}

func (c *conn) getBlob(ex *Exchange) *reply {
	blob, err := c.server.blobs.Get(ex.Space, ex.Name)
	if err != nil {
		return storeFailure(err)
	}
	r := &reply{status: 200, blob: blob, version: blob.Version, length: blob.Size, size: blob.Size}
	if ex.Range == "" || blob.Whole {
		return r
	}
	start, length, ok := resolveRange(ex.Range, blob.Size)
	if !ok {
		blob.Close()
		return &reply{status: 416, version: blob.Version, info: &blob.Info, size: blob.Size, text: "range is beyond the end of the blob"}
	}
	r.status, r.rangeStart, r.length = 206, start, length
	return r
}

// resolveRange resolves a byte range "bytes=first-last", "bytes=first-" or
// "bytes=-suffix" (RFC 9110, section 14) of a blob of size bytes. It returns
// false if the range is invalid or selects no byte.
func resolveRange(text string, size int64) (start, length int64, ok bool) {
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
	start, err := strconv.ParseInt(first, 10, 64)
	if err != nil || start < 0 || start >= size {
		return 0, 0, false
	}
	end := size - 1
	if last != "" {
		n, err := strconv.ParseInt(last, 10, 64)
		if err != nil || n < start {
			return 0, 0, false
		}
		end = min(end, n)
	}
	return start, end - start + 1, true
}
