// Package vhost serves block volumes to virtual machines over the vhost-user
// protocol: virtio-blk devices (virtio 1.2, section 5.2) with split virtqueues in
// guest memory. A VMM connects to a volume's Unix socket, and the device runs the
// requests of the guest on a Backend, for which the module schedules them.
package vhost

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/front/vhost/guestmem"
	"arrowwalk/internal/front/vhost/virtqueue"
	"arrowwalk/internal/front/vhost/wire"
)

// messageTimeout bounds the rest of a message after its first byte, and the sending of
// a reply.
const messageTimeout = 5 * time.Second

const (
	maxQueues   = 16
	maxSegments = 126

	deviceFeatures = blk.FeatureSegMax | blk.FeatureBlkSize | blk.FeatureFlush | blk.FeatureMQ | blk.FeatureDiscard | blk.FeatureWriteZeroes |
		blk.FeatureIndirect | blk.FeatureEventIdx | blk.FeatureProtocol | blk.FeatureVersion1
	protocolFeatures = wire.ProtocolMQ | wire.ProtocolReplyAck | wire.ProtocolConfig | wire.ProtocolInflight | wire.ProtocolResetDevice
)

// Server serves one disk on a Unix socket. It has one session at a time; further
// connections wait until it ends. Stats may be read at any time.
type Server struct {
	Stats    Stats
	disk     Disk
	listener *net.UnixListener
	log      *slog.Logger
	wg       sync.WaitGroup
	mu       sync.Mutex
	conn     *net.UnixConn // of the current session
	device   *device       // of the current session
	closed   bool
}

// Listen starts a server for a disk on a Unix socket at path, which replaces any file
// there. The caller must call Close. A nil log discards messages.
func Listen(path string, disk Disk, log *slog.Logger) (*Server, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	os.Remove(path)
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("vhost-user socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		listener.Close()
		return nil, err
	}
	s := &Server{disk: disk, listener: listener, log: log}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Close ends the session, closes the socket and waits until both are done. Requests in
// flight are cancelled, also while the session waits for them; they stay marked in the
// inflight region, which the VMM keeps.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.listener.Close()
	if s.conn != nil {
		s.conn.Close()
		s.device.cancel()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// accept runs the sessions, one after the other, until the socket is closed.
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
		if s.closed {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.conn, s.device = conn, newDevice(s.disk, &s.Stats)
		s.mu.Unlock()
		sess := &session{server: s, conn: conn, device: s.device}
		err = sess.serve()
		sess.close()
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
			s.log.Warn("vhost-user session ended", "volume", s.disk.Name, "error", err)
		}
	}
}

// session is the connection of one VMM. Its methods run on one goroutine, except for
// failQueue.
type session struct {
	server           *Server
	conn             *net.UnixConn
	device           *device
	features         uint64
	protocolFeatures uint64
	memory           *guestmem.Table
	queues           [maxQueues]vring
	inflight         []byte

	mu       sync.Mutex
	queueErr error // set when the driver broke a queue
}

// vring is the state of a queue as the front-end has set it. kickFD and callFD hold a
// file descriptor plus 1, so that 0 means none.
type vring struct {
	size      uint16
	nextAvail uint16
	addr      *wire.VringAddr
	kickFD    int
	callFD    int
	enabled   bool
	running   *queue
}

// close stops all queues and frees what the session holds.
func (s *session) close() {
	s.device.cancel() // requests in flight are cancelled and stay marked
	for i := range s.queues {
		s.stopQueue(i)
	}
	s.device.stop()
	for i := range s.queues {
		ring := &s.queues[i]
		closeFD(&ring.kickFD)
		closeFD(&ring.callFD)
	}
	if s.memory != nil {
		s.memory.Unmap()
	}
	if s.inflight != nil {
		unix.Munmap(s.inflight)
	}
	s.conn.Close()
}

// closeFD closes a file descriptor that is stored plus 1, unless it is 0, and sets it
// to 0.
func closeFD(fd *int) {
	if *fd > 0 {
		unix.Close(*fd - 1)
		*fd = 0
	}
}

// message is a received message with its file descriptors.
type message struct {
	wire.Header
	payload []byte
	fds     []int
}

// closeFDs closes the file descriptors that were not taken.
func (m *message) closeFDs() {
	for _, fd := range m.fds {
		unix.Close(fd)
	}
	m.fds = nil
}

// takeFD returns the single file descriptor of a message; the caller must close it.
func (m *message) takeFD() (int, error) {
	if len(m.fds) != 1 {
		return 0, fmt.Errorf("%w: request %d with %d file descriptors, want 1", wire.ErrMalformed, m.Request, len(m.fds))
	}
	fd := m.fds[0]
	m.fds = nil
	return fd, nil
}

// receive reads one message. It waits for the first byte without limit, but for the
// rest only messageTimeout.
func (s *session) receive(m *message) error {
	var header [wire.HeaderSize]byte
	ancillary := make([]byte, unix.CmsgSpace(wire.MaxFDs*4))
	s.conn.SetReadDeadline(time.Time{})
	headerBytes, ancillaryBytes, flags, _, err := s.conn.ReadMsgUnix(header[:], ancillary)
	if err != nil {
		return err
	}
	if headerBytes == 0 {
		return io.EOF
	}
	m.fds = parseFDs(ancillary[:ancillaryBytes])
	if flags&unix.MSG_CTRUNC != 0 {
		return fmt.Errorf("%w: more than %d file descriptors", wire.ErrMalformed, wire.MaxFDs)
	}
	s.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	if _, err := io.ReadFull(s.conn, header[headerBytes:]); err != nil {
		return err
	}
	if m.Header, err = wire.ParseHeader(header[:]); err != nil {
		return err
	}
	m.payload = make([]byte, m.Size)
	_, err = io.ReadFull(s.conn, m.payload)
	return err
}

// parseFDs returns the file descriptors in ancillary data, set to close on exec.
func parseFDs(ancillary []byte) []int {
	messages, err := unix.ParseSocketControlMessage(ancillary)
	if err != nil {
		return nil
	}
	var result []int
	for i := range messages {
		if fds, err := unix.ParseUnixRights(&messages[i]); err == nil {
			result = append(result, fds...)
		}
	}
	for _, fd := range result {
		unix.CloseOnExec(fd)
	}
	return result
}

// serve handles messages until the connection ends or one is refused.
func (s *session) serve() error {
	for {
		var m message
		err := s.receive(&m)
		if err == nil {
			err = s.handle(&m)
		}
		m.closeFDs()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			return errors.Join(s.queueErr, err)
		}
	}
}

// handle handles one message and sends the reply or the acknowledgment that it asks
// for.
func (s *session) handle(m *message) error {
	reply, err := s.dispatch(m)
	if reply != nil && err == nil {
		return s.reply(m.Request, reply)
	}
	if m.NeedAck && s.protocolFeatures&wire.ProtocolReplyAck != 0 {
		code := uint64(0)
		if err != nil {
			code = 1
		}
		if ackErr := s.reply(m.Request, wire.AppendU64(nil, code)); ackErr != nil {
			return ackErr
		}
	}
	return err
}

// reply sends the reply to a request.
func (s *session) reply(request wire.Request, payload []byte) error {
	s.conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	msg := wire.AppendHeader(make([]byte, 0, wire.HeaderSize+len(payload)), wire.Header{Request: request, Reply: true, Size: uint32(len(payload))})
	_, err := s.conn.Write(append(msg, payload...))
	return err
}

// dispatch handles one message and returns the payload of the reply, nil for none.
func (s *session) dispatch(m *message) (reply []byte, err error) {
	switch m.Request {
	case wire.GetFeatures:
		return wire.AppendU64(nil, deviceFeatures), nil
	case wire.SetFeatures:
		bits, err := wire.ParseU64(m.payload)
		if err == nil && bits&^uint64(deviceFeatures) != 0 {
			err = fmt.Errorf("%w: features %#x were not offered", wire.ErrMalformed, bits&^uint64(deviceFeatures))
		}
		s.features = bits
		return nil, err
	case wire.GetProtocolFeatures:
		return wire.AppendU64(nil, protocolFeatures), nil
	case wire.SetProtocolFeatures:
		bits, err := wire.ParseU64(m.payload)
		if err == nil && bits&^uint64(protocolFeatures) != 0 {
			err = fmt.Errorf("%w: protocol features %#x were not offered", wire.ErrMalformed, bits&^uint64(protocolFeatures))
		}
		s.protocolFeatures = bits
		return nil, err
	case wire.GetQueueNum:
		return wire.AppendU64(nil, maxQueues), nil
	case wire.SetOwner, wire.ResetOwner:
		return nil, nil
	case wire.SetMemTable:
		return nil, s.setMemory(m)
	case wire.GetConfig, wire.SetConfig:
		return s.configSpace(m)
	case wire.GetInflightFD:
		return nil, s.createInflight(m)
	case wire.SetInflightFD:
		return nil, s.restoreInflight(m)
	case wire.ResetDevice:
		for i := range s.queues {
			s.stopQueue(i)
			s.queues[i].nextAvail, s.queues[i].enabled = 0, false
		}
		return nil, nil
	case wire.SetVringKick, wire.SetVringCall, wire.SetVringErr:
		return nil, s.setFD(m)
	}
	return s.dispatchVring(m)
}

// dispatchVring handles the messages that hold a queue index with a number or
// addresses.
func (s *session) dispatchVring(m *message) ([]byte, error) {
	if m.Request == wire.SetVringAddr {
		addr, err := wire.ParseVringAddr(m.payload)
		if err != nil {
			return nil, err
		}
		ring, err := s.vring(addr.Index)
		if err != nil {
			return nil, err
		}
		ring.addr = &addr
		return nil, nil
	}
	switch m.Request {
	case wire.SetVringNum, wire.SetVringBase, wire.GetVringBase, wire.SetVringEnable:
	default:
		return nil, fmt.Errorf("%w: request %d is not supported", wire.ErrMalformed, m.Request)
	}
	state, err := wire.ParseVringState(m.payload)
	if err != nil {
		return nil, err
	}
	ring, err := s.vring(state.Index)
	if err != nil {
		return nil, err
	}
	switch m.Request {
	case wire.SetVringNum:
		if state.Num == 0 || state.Num > virtqueue.MaxSize || ring.running != nil {
			return nil, fmt.Errorf("%w: queue %d of size %d", wire.ErrMalformed, state.Index, state.Num)
		}
		ring.size = uint16(state.Num)
	case wire.SetVringBase:
		ring.nextAvail = uint16(state.Num)
	case wire.GetVringBase:
		s.stopQueue(int(state.Index))
		return wire.VringState{Index: state.Index, Num: uint32(ring.nextAvail)}.Append(nil), nil
	case wire.SetVringEnable:
		ring.enabled = state.Num != 0
		if !ring.enabled {
			s.stopQueue(int(state.Index))
			return nil, nil
		}
		return nil, s.startQueue(int(state.Index))
	}
	return nil, nil
}

// vring returns the state of the queue with an index.
func (s *session) vring(index uint32) (*vring, error) {
	if index >= maxQueues {
		return nil, fmt.Errorf("%w: queue index %d, want less than %d", wire.ErrMalformed, index, maxQueues)
	}
	return &s.queues[index], nil
}

// setFD sets a queue's kick or call descriptor. An error descriptor is closed, as the
// device does not use it.
func (s *session) setFD(m *message) error {
	value, err := wire.ParseU64(m.payload)
	if err != nil {
		return err
	}
	ring, err := s.vring(uint32(value & 0xff))
	if err != nil {
		return err
	}
	fd := -1
	if value&wire.NoFD == 0 {
		if fd, err = m.takeFD(); err != nil {
			return err
		}
	}
	switch m.Request {
	case wire.SetVringCall:
		if ring.running != nil {
			ring.running.mu.Lock()
			defer ring.running.mu.Unlock()
			ring.running.callFD = fd
		}
		closeFD(&ring.callFD)
		ring.callFD = fd + 1
		return nil
	case wire.SetVringErr:
		if fd >= 0 {
			unix.Close(fd)
		}
		return nil
	}
	s.stopQueue(int(value & 0xff))
	closeFD(&ring.kickFD)
	ring.kickFD = fd + 1
	if fd < 0 {
		return fmt.Errorf("%w: queue %d without a kick descriptor: polling is not offered", wire.ErrMalformed, value&0xff)
	}
	if s.features&blk.FeatureProtocol == 0 {
		ring.enabled = true
	}
	if ring.enabled {
		return s.startQueue(int(value & 0xff))
	}
	return nil
}

// setMemory maps a new memory table. Running queues are stopped before the old one is
// unmapped and started again after it.
func (s *session) setMemory(m *message) error {
	regions, err := wire.ParseMemTable(m.payload)
	if err != nil {
		return err
	}
	table, err := guestmem.Map(regions, m.fds)
	if err != nil {
		return fmt.Errorf("%w: %w", wire.ErrMalformed, err)
	}
	var running []int
	for i := range s.queues {
		if s.queues[i].running != nil {
			running = append(running, i)
			s.stopQueue(i)
		}
	}
	if s.memory != nil {
		s.memory.Unmap()
	}
	s.memory = table
	for _, i := range running {
		if err := s.startQueue(i); err != nil {
			return err
		}
	}
	return nil
}

// configSpace handles the requests on the configuration space.
func (s *session) configSpace(m *message) ([]byte, error) {
	config, err := wire.ParseConfig(m.payload)
	if err != nil {
		return nil, err
	}
	if m.Request == wire.SetConfig {
		return nil, nil // only the cache mode is writable, and it is not offered
	}
	space := blk.Config{SizeBytes: s.server.disk.SizeBytes, BlockBytes: s.server.disk.BlockBytes, Queues: maxQueues, SegMax: maxSegments}.Append(nil)
	space = append(space, make([]byte, wire.ConfigSpaceSize-len(space))...)
	config.Data = space[config.Offset : int(config.Offset)+len(config.Data)]
	return config.Append(nil), nil
}

// createInflight creates an inflight region, maps it and sends its file descriptor to
// the front-end.
func (s *session) createInflight(m *message) error {
	desc, err := wire.ParseInflight(m.payload)
	if err != nil {
		return err
	}
	if desc.Queues == 0 || desc.Queues > maxQueues || desc.QueueSize == 0 || desc.QueueSize > virtqueue.MaxSize {
		return fmt.Errorf("%w: inflight region for %d queues of size %d", wire.ErrMalformed, desc.Queues, desc.QueueSize)
	}
	desc.MmapSize, desc.MmapOffset = uint64(desc.Queues)*inflightSize(desc.QueueSize), 0
	fd, err := unix.MemfdCreate("inflight", unix.MFD_CLOEXEC)
	if err != nil {
		return err
	}
	defer unix.Close(fd)
	if err := unix.Ftruncate(fd, int64(desc.MmapSize)); err != nil {
		return err
	}
	if err := s.mapInflight(fd, desc); err != nil {
		return err
	}
	payload := desc.Append(nil)
	msg := wire.AppendHeader(nil, wire.Header{Request: m.Request, Reply: true, Size: uint32(len(payload))})
	s.conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	_, _, err = s.conn.WriteMsgUnix(append(msg, payload...), unix.UnixRights(fd), nil)
	return err
}

// restoreInflight maps the inflight region of an earlier session, which the front-end
// kept.
func (s *session) restoreInflight(m *message) error {
	desc, err := wire.ParseInflight(m.payload)
	if err != nil {
		return err
	}
	fd, err := m.takeFD()
	if err != nil {
		return err
	}
	defer unix.Close(fd)
	if desc.Queues == 0 || desc.Queues > maxQueues || desc.QueueSize == 0 || desc.QueueSize > virtqueue.MaxSize || desc.MmapSize != uint64(desc.Queues)*inflightSize(desc.QueueSize) || desc.MmapOffset != 0 {
		return fmt.Errorf("%w: inflight region of %d bytes at offset %d for %d queues of size %d", wire.ErrMalformed, desc.MmapSize, desc.MmapOffset, desc.Queues, desc.QueueSize)
	}
	var stat unix.Stat_t
	if err := unix.Fstat(fd, &stat); err != nil || uint64(stat.Size) < desc.MmapSize {
		return fmt.Errorf("%w: inflight region: file of %d bytes is too small (stat: %v)", wire.ErrMalformed, stat.Size, err)
	}
	return s.mapInflight(fd, desc)
}

// mapInflight maps an inflight region in place of the present one. It stops all queues,
// which use the old one.
func (s *session) mapInflight(fd int, desc wire.Inflight) error {
	mapped, err := unix.Mmap(fd, 0, int(desc.MmapSize), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return err
	}
	for i := range s.queues {
		s.stopQueue(i)
	}
	if s.inflight != nil {
		unix.Munmap(s.inflight)
	}
	s.inflight = mapped
	return nil
}

// startQueue starts a queue, unless it runs or the front-end has not yet set all that
// it needs.
func (s *session) startQueue(index int) error {
	ring := &s.queues[index]
	if ring.running != nil || !ring.enabled || ring.kickFD == 0 || ring.addr == nil || ring.size == 0 || s.memory == nil {
		return nil
	}
	q := &queue{index: index, device: s.device, callFD: ring.callFD - 1, stopped: make(chan struct{}), onBroken: s.failQueue}
	var unfinishedHeads []uint16
	err := guestmem.RecoverFaults(func() error {
		layout, err := s.layout(ring)
		if err != nil {
			return err
		}
		if q.ring, err = virtqueue.New(layout, ring.size, ring.nextAvail, s.features&blk.FeatureEventIdx != 0, s.features&blk.FeatureIndirect != 0, s.memory); err != nil {
			return err
		}
		if s.inflight != nil {
			if size := inflightSize(ring.size); uint64(index+1)*size <= uint64(len(s.inflight)) {
				if q.inflight, err = newInflight(s.inflight[uint64(index)*size:uint64(index+1)*size], ring.size); err != nil {
					return err
				}
				unfinishedHeads = q.inflight.unfinished(q.ring.UsedIndex())
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%w: queue %d: %w", wire.ErrMalformed, index, err)
	}
	fd, err := unix.FcntlInt(uintptr(ring.kickFD-1), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return err
	}
	q.kick = os.NewFile(uintptr(fd), "kick")
	ring.running = q
	go q.run(unfinishedHeads)
	return nil
}

// layout returns the slices of guest memory that hold a ring.
func (s *session) layout(ring *vring) (virtqueue.Layout, error) {
	descBytes, availBytes, usedBytes := virtqueue.LayoutSizes(ring.size)
	var layout virtqueue.Layout
	var err error
	if layout.Desc, err = s.memory.UserSlice(ring.addr.Desc, descBytes); err != nil {
		return layout, err
	}
	if layout.Avail, err = s.memory.UserSlice(ring.addr.Avail, availBytes); err != nil {
		return layout, err
	}
	layout.Used, err = s.memory.UserSlice(ring.addr.Used, usedBytes)
	return layout, err
}

// stopQueue stops a queue and waits for its requests in flight, so that its next
// available index covers all of them.
func (s *session) stopQueue(index int) {
	ring := &s.queues[index]
	q := ring.running
	if q == nil {
		return
	}
	q.kick.Close()
	<-q.stopped
	if idle := q.idleChan(); idle != nil {
		<-idle
	}
	ring.nextAvail = q.ring.NextAvailIndex()
	ring.running = nil
}

// failQueue ends the session because the driver broke the protocol.
func (s *session) failQueue(err error) {
	s.mu.Lock()
	s.queueErr = err
	s.mu.Unlock()
	s.conn.Close()
}
