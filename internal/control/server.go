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

// Gateway is the running gateway as the control socket needs it. Its methods must be
// safe for concurrent use.
type Gateway interface {
	Snapshot() *Snapshot
	RunningRequests() []RunningRequest
	// HostLabel returns the label of this run of the host.
	HostLabel() string
	// ExecuteVolumeOrder executes an order on block volumes and returns the volumes
	// that it concerns.
	ExecuteVolumeOrder(order *VolumeOrder) ([]VolumeInfo, error)
}

// Server serves the control protocol on a Unix socket.
type Server struct {
	controller *Controller
	gateway    Gateway
	log        *slog.Logger
	listener   *net.UnixListener

	mu     sync.Mutex // guards conns and closed
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
	stop   chan struct{}
}

const (
	maxConns         = 128
	writeTimeout     = 10 * time.Second // maximum time without progress before a client is disconnected
	writeChunkBytes  = 64 << 10         // bytes written per deadline
	snapshotInterval = 500 * time.Millisecond
)

// Listen serves the control protocol at path until Close. Only the owner of the
// process and root may connect. A socket left behind by a crash is replaced; if
// another process serves the socket, Listen fails.
func Listen(path string, controller *Controller, gateway Gateway, log *slog.Logger) (*Server, error) {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("control socket %s: another gateway serves it", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	previousMask := syscall.Umask(0o177) // other users must not be able to connect even before a chmod
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	syscall.Umask(previousMask)
	if err != nil {
		return nil, fmt.Errorf("control socket: %w", err)
	}
	s := &Server{controller: controller, gateway: gateway, log: log, listener: listener, conns: map[net.Conn]struct{}{}, stop: make(chan struct{})}
	s.wg.Add(2)
	go s.accept()
	go s.sendSnapshots()
	return s, nil
}

// Close closes the socket and all connections. The gateway keeps running.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.stop)
		s.listener.Close()
		for conn := range s.conns {
			conn.Close()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// accept serves connections until the listener is closed. Connections beyond
// maxConns are closed at once.
func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.closed || len(s.conns) >= maxConns {
			s.mu.Unlock()
			conn.Close()
			continue
		}
		s.conns[conn] = struct{}{}
		s.wg.Add(1)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// sendSnapshots periodically takes one snapshot for all watchers, if there are any.
func (s *Server) sendSnapshots() {
	defer s.wg.Done()
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		s.controller.mu.Lock()
		feeds := make([]*feed, 0, len(s.controller.feeds))
		for f := range s.controller.feeds {
			feeds = append(feeds, f)
		}
		s.controller.mu.Unlock()
		if len(feeds) == 0 {
			continue
		}
		snapshot := s.gateway.Snapshot()
		for _, f := range feeds {
			f.setSnapshot(snapshot)
		}
	}
}

// peerUID returns the user id of the peer as reported by the kernel.
func peerUID(conn *net.UnixConn) (uid uint32, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var cred *syscall.Ucred
	var sockoptErr error
	if err := raw.Control(func(fd uintptr) {
		cred, sockoptErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return 0, err
	}
	if sockoptErr != nil {
		return 0, sockoptErr
	}
	return cred.Uid, nil
}

// serve handles one connection.
func (s *Server) serve(conn *net.UnixConn) {
	defer s.wg.Done()
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	uid, err := peerUID(conn)
	if err != nil || uid != uint32(os.Geteuid()) && uid != 0 {
		s.log.Warn("control connection of another user refused", "uid", uid, "error", err)
		return
	}
	var hello Hello
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if err := readFrame(conn, &hello); err != nil {
		return
	}
	reply := Hello{Version: ProtocolVersion, Host: s.gateway.HostLabel()}
	if hello.Version != ProtocolVersion {
		reply.Refused = fmt.Sprintf("version %d of the protocol, this gateway speaks %d", hello.Version, ProtocolVersion)
	}
	if s.write(conn, reply) != nil || reply.Refused != "" {
		return
	}
	conn.SetReadDeadline(time.Time{})
	for {
		var request Request
		if err := readFrame(conn, &request); err != nil {
			return
		}
		if request.Op == OpWatch {
			s.watch(conn, request)
			return
		}
		if s.write(conn, s.handleRequest(&request, uid)) != nil {
			return
		}
	}
}

func (s *Server) write(conn net.Conn, v any) error { return writeFrame(progressWriter{conn}, v) }

// progressWriter writes to a peer that may be slow. It fails when the peer takes
// nothing for writeTimeout, but does not limit the time of the whole write.
type progressWriter struct{ net.Conn }

// Write writes text in chunks and extends the deadline before each.
func (w progressWriter) Write(text []byte) (int, error) {
	written := 0
	for written < len(text) {
		w.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := w.Conn.Write(text[written:min(written+writeChunkBytes, len(text))])
		written += n
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return written, err
		}
	}
	return written, nil
}

// handleRequest executes any request but OpWatch.
func (s *Server) handleRequest(request *Request, uid uint32) *Response {
	response := &Response{ID: request.ID}
	switch request.Op {
	case OpStatus:
		response.Snapshot = s.gateway.Snapshot()
	case OpRunning:
		response.Running = s.gateway.RunningRequests()
	case OpEvents:
		response.Events = s.controller.EventsAfter(request.After, min(max(request.MaxEvents, 1), maxEvents))
	case OpCost:
		cost := s.controller.DrainCost(request.Brick)
		response.Cost = &cost
	case OpVolume:
		s.handleVolumeOrder(request, response)
	case OpOrder:
		s.handleOrder(request, uid, response)
	default:
		response.Code, response.Error = "bad_request", fmt.Sprintf("operation %q is not known", request.Op)
	}
	return response
}

func (s *Server) handleVolumeOrder(request *Request, response *Response) {
	if request.VolumeOrder == nil {
		response.Code, response.Error = "bad_request", "request has no volume order"
		return
	}
	list, err := s.gateway.ExecuteVolumeOrder(request.VolumeOrder)
	if err != nil {
		response.Code, response.Error = "refused", err.Error()
		return
	}
	response.Volumes = list
	if request.VolumeOrder.Action != "list" {
		s.controller.PublishEvent("volume", "", fmt.Sprintf("%s of volume %s", request.VolumeOrder.Action, request.VolumeOrder.Name))
		s.log.Info("volume order executed", "action", request.VolumeOrder.Action, "volume", request.VolumeOrder.Name)
	}
}

func (s *Server) handleOrder(request *Request, uid uint32, response *Response) {
	order := request.Order
	order.Operator = fmt.Sprintf("uid %d", uid) // from the kernel, since the client can send any name
	if request.Order.Operator != "" {
		order.Operator = fmt.Sprintf("%.64s (uid %d)", request.Order.Operator, uid)
	}
	order.At = time.Now().UnixMicro()
	result, effectiveAt, err := s.controller.SubmitOrder(order)
	var refusal *drains.Refusal
	switch {
	case errors.As(err, &refusal):
		response.Code, response.Error = refusal.Code, refusal.Reason
	case err != nil:
		response.Code, response.Error = "not_recorded", err.Error()
		s.log.Error("order not recorded", "brick", order.Brick, "kind", string(order.Kind), "error", err)
	default:
		response.Result, response.EffectiveAt = &result, effectiveAt.UnixMicro()
		s.log.Info("order accepted", "kind", string(order.Kind), "brick", order.Brick, "who", order.Operator, "number", result.Number, "state", string(result.After.State))
	}
}

// watch sends snapshots and events until the watcher disconnects, stops reading or
// has lost events.
func (s *Server) watch(conn net.Conn, request Request) {
	f := s.controller.subscribe(request.After)
	defer s.controller.unsubscribe(f)
	f.setSnapshot(s.gateway.Snapshot())
	closed := make(chan struct{})
	go func() { // a watcher sends nothing more, so a read returns when it disconnects
		defer close(closed)
		var buf [1]byte
		conn.Read(buf[:])
	}()
	defer func() { conn.Close(); <-closed }()
	for {
		select {
		case <-f.ready:
		case <-closed:
			return
		case <-s.stop:
			return
		}
		events, snapshot, missedSnapshots, ok := f.drain()
		if !ok || s.write(conn, &Response{ID: request.ID, Events: events, Snapshot: snapshot, MissedSnapshots: missedSnapshots}) != nil {
			return
		}
	}
}
