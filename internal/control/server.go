package control

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/control/drains"
)

// Gateway is what the socket shows: the running gateway.
type Gateway interface {
	Snapshot() *Snapshot
	RunningRequests() []RunningRequest
	HostLabel() string
	// ExecuteVolumeOrder does an order on block volumes, and tells of those it names.
	ExecuteVolumeOrder(q *VolumeOrder) ([]VolumeInfo, error)
}

// Server is the control end on a Unix socket.
type Server struct {
	desk   *Controller
	source Gateway
	log    *slog.Logger
	ln     *net.UnixListener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
	quit   chan struct{}
}

const (
	connsMost = 128
	writeFor  = 10 * time.Second // a watcher that takes nothing for so long is cut off
	writePart = 64 << 10         // what is written with one look at the clock, bytes
	shotEvery = 500 * time.Millisecond
)

// Listen serves the control end at path, for the owner alone, until Close.
// A socket that a crash left behind is replaced, a live one is not.
func Listen(path string, desk *Controller, source Gateway, log *slog.Logger) (*Server, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("control socket %s: another gateway serves it", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	before := syscall.Umask(0o177) // no moment at which others could connect
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	syscall.Umask(before)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{desk: desk, source: source, log: log, ln: ln, conns: map[net.Conn]struct{}{}, quit: make(chan struct{})}
	s.wg.Add(2)
	go s.accept()
	go s.shoot()
	return s, nil
}

// Close ends the control end; the gateway goes on.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.quit)
		s.ln.Close()
		for c := range s.conns {
			c.Close()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		c, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.closed || len(s.conns) >= connsMost {
			s.mu.Unlock()
			c.Close()
			continue
		}
		s.conns[c] = struct{}{}
		s.wg.Add(1)
		s.mu.Unlock()
		go s.serve(c)
	}
}

// shoot takes a snapshot for all watchers at once, where there are any.
func (s *Server) shoot() {
	defer s.wg.Done()
	tick := time.NewTicker(shotEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-tick.C:
		}
		s.desk.mu.Lock()
		feeds := make([]*feed, 0, len(s.desk.feeds))
		for f := range s.desk.feeds {
			feeds = append(feeds, f)
		}
		s.desk.mu.Unlock()
		if len(feeds) == 0 {
			continue
		}
		shot := s.source.Snapshot()
		for _, f := range feeds {
			f.snapshot(shot)
		}
	}
}

// peer returns the user at the other end, as the kernel tells it.
func peer(c *net.UnixConn) (uid uint32, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *syscall.Ucred
	var failed error
	if err := raw.Control(func(fd uintptr) {
		cred, failed = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return 0, err
	}
	if failed != nil {
		return 0, failed
	}
	return cred.Uid, nil
}

func (s *Server) serve(c *net.UnixConn) {
	defer s.wg.Done()
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	uid, err := peer(c)
	if err != nil || uid != uint32(os.Geteuid()) && uid != 0 {
		s.log.Warn("control: refused another user", "uid", uid, "error", err)
		return
	}
	var hello Hello
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if err := readFrame(c, &hello); err != nil {
		return
	}
	mine := Hello{Version: ProtocolVersion, Host: s.source.HostLabel()}
	if hello.Version != ProtocolVersion {
		mine.Refused = fmt.Sprintf("version %d of the protocol, this gateway speaks %d", hello.Version, ProtocolVersion)
	}
	if s.write(c, mine) != nil || mine.Refused != "" {
		return
	}
	c.SetReadDeadline(time.Time{})
	for {
		var q Request
		if err := readFrame(c, &q); err != nil {
			return
		}
		if q.Op == OpWatch {
			s.watch(c, q)
			return
		}
		if s.write(c, s.answer(&q, uid)) != nil {
			return
		}
	}
}

func (s *Server) write(c net.Conn, v any) error { return writeFrame(patient{c}, v) }

// patient writes to a peer that may be slow: it is given up when it takes
// nothing for writeFor, however long the whole takes.
type patient struct{ net.Conn }

func (p patient) Write(text []byte) (int, error) {
	done := 0
	for done < len(text) {
		p.SetWriteDeadline(time.Now().Add(writeFor))
		n, err := p.Conn.Write(text[done:min(done+writePart, len(text))])
		done += n
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return done, err
		}
	}
	return done, nil
}

func (s *Server) answer(q *Request, uid uint32) *Response {
	out := &Response{ID: q.ID}
	switch q.Op {
	case OpStatus:
		out.Snapshot = s.source.Snapshot()
	case OpRunning:
		out.Running = s.source.RunningRequests()
	case OpEvents:
		out.Events = s.desk.EventsAfter(q.After, min(max(q.MaxEvents, 1), eventsMost))
	case OpCost:
		cost := s.desk.DrainCost(q.Brick)
		out.Cost = &cost
	case OpVolume:
		s.volume(q, out)
	case OpOrder:
		s.order(q, uid, out)
	default:
		out.Code, out.Error = "bad_request", fmt.Sprintf("operation %q is not known", q.Op)
	}
	return out
}

func (s *Server) volume(q *Request, out *Response) {
	if q.VolumeOrder == nil {
		out.Code, out.Error = "bad_request", "no volume order"
		return
	}
	list, err := s.source.ExecuteVolumeOrder(q.VolumeOrder)
	if err != nil {
		out.Code, out.Error = "refused", err.Error()
		return
	}
	out.Volumes = list
	if q.VolumeOrder.Action != "list" {
		s.desk.PublishEvent("volume", "", fmt.Sprintf("%s of volume %s", q.VolumeOrder.Action, q.VolumeOrder.Name))
		s.log.Info("volume order taken", "action", q.VolumeOrder.Action, "volume", q.VolumeOrder.Name)
	}
}

func (s *Server) order(q *Request, uid uint32, out *Response) {
	o := q.Order
	o.Operator = fmt.Sprintf("uid %d", uid) // as the kernel tells it, whatever the sender says
	if q.Order.Operator != "" {
		o.Operator = fmt.Sprintf("%.64s (uid %d)", q.Order.Operator, uid)
	}
	o.At = time.Now().UnixMicro()
	result, at, err := s.desk.SubmitOrder(o)
	var refusal *drains.Refusal
	switch {
	case errors.As(err, &refusal):
		out.Code, out.Error = refusal.Code, refusal.Reason
	case err != nil:
		out.Code, out.Error = "not_recorded", err.Error()
		s.log.Error("order not recorded", "brick", o.Brick, "kind", string(o.Kind), "error", err)
	default:
		out.Result, out.EffectiveAt = &result, at.UnixMicro()
		s.log.Info("order taken", "kind", string(o.Kind), "brick", o.Brick, "who", o.Operator, "number", result.Number, "state", string(result.After.State))
	}
}

// watch sends snapshots and events until the watcher goes, stops reading, or
// has missed events.
func (s *Server) watch(c net.Conn, q Request) {
	f := s.desk.subscribe(q.After)
	defer s.desk.unsubscribe(f)
	f.snapshot(s.source.Snapshot())
	gone := make(chan struct{})
	go func() { // nothing more is expected of a watcher but its end
		defer close(gone)
		var one [1]byte
		c.Read(one[:])
	}()
	defer func() { c.Close(); <-gone }()
	for {
		select {
		case <-f.ready:
		case <-gone:
			return
		case <-s.quit:
			return
		}
		events, shot, missed, ok := f.take()
		if !ok || s.write(c, &Response{ID: q.ID, Events: events, Snapshot: shot, MissedSnapshots: missed}) != nil {
			return
		}
	}
}
