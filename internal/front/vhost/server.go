// Package vhost is the second front: block devices over the vhost-user protocol
// on a Unix socket (its public specification), virtio-blk (virtio 1.2, section
// 5.2) on split rings in guest memory. A VMM connects to a volume's socket; the
// device does its requests by a Backend, whose decisions are the module's.
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

const (
	queuesMost = 16
	segMax     = 126

	features = blk.FeatureSegMax | blk.FeatureBlkSize | blk.FeatureFlush | blk.FeatureMQ | blk.FeatureDiscard | blk.FeatureWriteZeroes |
		blk.FeatureIndirect | blk.FeatureEventIdx | blk.FeatureProtocol | blk.FeatureVersion1
	protocolFeatures = wire.ProtocolMQ | wire.ProtocolReplyAck | wire.ProtocolConfig | wire.ProtocolInflight | wire.ProtocolResetDevice
)

// Server is one volume's socket. It has one session at a time; others wait.
type Server struct {
	Stats Stats
	disk  Disk
	ln    *net.UnixListener
	log   *slog.Logger
	wg    sync.WaitGroup
	mu    sync.Mutex
	conn  *net.UnixConn
	done  bool
}

// Listen serves a disk on a Unix socket at path until Close.
func Listen(path string, disk Disk, log *slog.Logger) (*Server, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	os.Remove(path)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("vhost-user socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	s := &Server{disk: disk, ln: ln, log: log}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Close ends the session and the socket. What is in flight stays marked in the
// region that the VMM keeps.
func (s *Server) Close() {
	s.mu.Lock()
	s.done = true
	s.ln.Close()
	if s.conn != nil {
		s.conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.done {
			s.mu.Unlock()
			nc.Close()
			return
		}
		s.conn = nc
		s.mu.Unlock()
		x := &session{s: s, nc: nc, d: newDevice(s.disk, &s.Stats)}
		err = x.serve()
		x.close()
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
			s.log.Warn("vhost-user session ended", "volume", s.disk.Name, "error", err)
		}
	}
}

// session is one VMM's connection.
type session struct {
	s        *Server
	nc       *net.UnixConn
	d        *device
	features uint64
	protocol uint64
	mem      *guestmem.Table
	regions  []wire.Region
	fds      []int // of the regions, until they are mapped anew
	queues   [queuesMost]vring
	inflight []byte

	mu   sync.Mutex
	lost error // a queue was broken by its driver
}

// vring is what the front-end said of a queue.
type vring struct {
	num     uint16
	base    uint16
	addr    *wire.VringAddr
	kick    int
	call    int
	enabled bool
	run     *queue
}

func (x *session) close() {
	x.d.end() // what is in flight is given up, and stays marked
	for i := range x.queues {
		x.stopQueue(i)
	}
	x.d.stop()
	for i := range x.queues {
		v := &x.queues[i]
		closeFD(&v.kick)
		closeFD(&v.call)
	}
	if x.mem != nil {
		x.mem.Unmap()
	}
	if x.inflight != nil {
		unix.Munmap(x.inflight)
	}
	x.nc.Close()
}

// closeFD closes a descriptor that is kept with 1 added, so that 0 is none.
func closeFD(fd *int) {
	if *fd > 0 {
		unix.Close(*fd - 1)
		*fd = 0
	}
}

// message is one that was received.
type message struct {
	wire.Header
	payload []byte
	fds     []int
}

func (m *message) closeFDs() {
	for _, fd := range m.fds {
		unix.Close(fd)
	}
	m.fds = nil
}

// takeFD returns the one descriptor that a message carries.
func (m *message) takeFD() (int, error) {
	if len(m.fds) != 1 {
		return 0, fmt.Errorf("%w: request %d with %d descriptors, want 1", wire.ErrMalformed, m.Request, len(m.fds))
	}
	fd := m.fds[0]
	m.fds = nil
	return fd, nil
}

// receive reads one message; a front-end that stops in the middle of one has a
// few seconds.
func (x *session) receive(m *message) error {
	var head [wire.HeaderSize]byte
	oob := make([]byte, unix.CmsgSpace(wire.MaxFDs*4))
	x.nc.SetReadDeadline(time.Time{})
	n, oobn, flags, _, err := x.nc.ReadMsgUnix(head[:], oob)
	if err != nil {
		return err
	}
	if n == 0 {
		return io.EOF
	}
	m.fds = parseFDs(oob[:oobn])
	if flags&unix.MSG_CTRUNC != 0 {
		return fmt.Errorf("%w: more than %d descriptors", wire.ErrMalformed, wire.MaxFDs)
	}
	x.nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(x.nc, head[n:]); err != nil {
		return err
	}
	if m.Header, err = wire.ParseHeader(head[:]); err != nil {
		return err
	}
	m.payload = make([]byte, m.Size)
	_, err = io.ReadFull(x.nc, m.payload)
	return err
}

func parseFDs(oob []byte) []int {
	list, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	var out []int
	for i := range list {
		if fds, err := unix.ParseUnixRights(&list[i]); err == nil {
			out = append(out, fds...)
		}
	}
	for _, fd := range out {
		unix.CloseOnExec(fd)
	}
	return out
}

// serve handles messages until the connection ends or one is bad.
func (x *session) serve() error {
	for {
		var m message
		err := x.receive(&m)
		if err == nil {
			err = x.handle(&m)
		}
		m.closeFDs()
		if err != nil {
			x.mu.Lock()
			defer x.mu.Unlock()
			return errors.Join(x.lost, err)
		}
	}
}

// handle does one message and answers it where it has an answer.
func (x *session) handle(m *message) error {
	reply, err := x.do(m)
	if reply != nil && err == nil {
		return x.answer(m.Request, reply)
	}
	if m.NeedAck && x.protocol&wire.ProtocolReplyAck != 0 {
		code := uint64(0)
		if err != nil {
			code = 1
		}
		if e := x.answer(m.Request, wire.AppendU64(nil, code)); e != nil {
			return e
		}
	}
	return err
}

func (x *session) answer(r wire.Request, payload []byte) error {
	x.nc.SetWriteDeadline(time.Now().Add(5 * time.Second))
	b := wire.AppendHeader(make([]byte, 0, wire.HeaderSize+len(payload)), wire.Header{Request: r, Reply: true, Size: uint32(len(payload))})
	_, err := x.nc.Write(append(b, payload...))
	return err
}

// do does one message. A payload is its answer.
func (x *session) do(m *message) (reply []byte, err error) {
	switch m.Request {
	case wire.GetFeatures:
		return wire.AppendU64(nil, features), nil
	case wire.SetFeatures:
		v, err := wire.ParseU64(m.payload)
		if err == nil && v&^uint64(features) != 0 {
			err = fmt.Errorf("%w: features %#x were not offered", wire.ErrMalformed, v&^uint64(features))
		}
		x.features = v
		return nil, err
	case wire.GetProtocolFeatures:
		return wire.AppendU64(nil, protocolFeatures), nil
	case wire.SetProtocolFeatures:
		v, err := wire.ParseU64(m.payload)
		if err == nil && v&^uint64(protocolFeatures) != 0 {
			err = fmt.Errorf("%w: protocol features %#x were not offered", wire.ErrMalformed, v&^uint64(protocolFeatures))
		}
		x.protocol = v
		return nil, err
	case wire.GetQueueNum:
		return wire.AppendU64(nil, queuesMost), nil
	case wire.SetOwner, wire.ResetOwner:
		return nil, nil
	case wire.SetMemTable:
		return nil, x.setMemory(m)
	case wire.GetConfig, wire.SetConfig:
		return x.config(m)
	case wire.GetInflightFD:
		return nil, x.makeInflight(m)
	case wire.SetInflightFD:
		return nil, x.takeInflight(m)
	case wire.ResetDevice:
		for i := range x.queues {
			x.stopQueue(i)
			x.queues[i].base, x.queues[i].enabled = 0, false
		}
		return nil, nil
	case wire.SetVringKick, wire.SetVringCall, wire.SetVringErr:
		return nil, x.setFD(m)
	}
	return x.doVring(m)
}

// doVring does the messages that name a queue and a number or addresses.
func (x *session) doVring(m *message) ([]byte, error) {
	if m.Request == wire.SetVringAddr {
		a, err := wire.ParseVringAddr(m.payload)
		if err != nil {
			return nil, err
		}
		v, err := x.vring(a.Index)
		if err != nil {
			return nil, err
		}
		v.addr = &a
		return nil, nil
	}
	switch m.Request {
	case wire.SetVringNum, wire.SetVringBase, wire.GetVringBase, wire.SetVringEnable:
	default:
		return nil, fmt.Errorf("%w: request %d is not known", wire.ErrMalformed, m.Request)
	}
	st, err := wire.ParseVringState(m.payload)
	if err != nil {
		return nil, err
	}
	v, err := x.vring(st.Index)
	if err != nil {
		return nil, err
	}
	switch m.Request {
	case wire.SetVringNum:
		if st.Num == 0 || st.Num > virtqueue.MaxSize || v.run != nil {
			return nil, fmt.Errorf("%w: queue %d of %d entries", wire.ErrMalformed, st.Index, st.Num)
		}
		v.num = uint16(st.Num)
	case wire.SetVringBase:
		v.base = uint16(st.Num)
	case wire.GetVringBase:
		x.stopQueue(int(st.Index))
		return wire.VringState{Index: st.Index, Num: uint32(v.base)}.Append(nil), nil
	case wire.SetVringEnable:
		v.enabled = st.Num != 0
		if !v.enabled {
			x.stopQueue(int(st.Index))
			return nil, nil
		}
		return nil, x.startQueue(int(st.Index))
	}
	return nil, nil
}

func (x *session) vring(index uint32) (*vring, error) {
	if index >= queuesMost {
		return nil, fmt.Errorf("%w: queue %d of %d", wire.ErrMalformed, index, queuesMost)
	}
	return &x.queues[index], nil
}

// setFD takes a queue's kick, call or error descriptor.
func (x *session) setFD(m *message) error {
	n, err := wire.ParseU64(m.payload)
	if err != nil {
		return err
	}
	v, err := x.vring(uint32(n & 0xff))
	if err != nil {
		return err
	}
	fd := -1
	if n&wire.NoFD == 0 {
		if fd, err = m.takeFD(); err != nil {
			return err
		}
	}
	switch m.Request {
	case wire.SetVringCall:
		if v.run != nil {
			v.run.mu.Lock()
			defer v.run.mu.Unlock()
			v.run.call = fd
		}
		closeFD(&v.call)
		v.call = fd + 1
		return nil
	case wire.SetVringErr:
		if fd >= 0 {
			unix.Close(fd)
		}
		return nil
	}
	x.stopQueue(int(n & 0xff))
	closeFD(&v.kick)
	v.kick = fd + 1
	if fd < 0 {
		return fmt.Errorf("%w: queue %d without a kick descriptor: polling is not offered", wire.ErrMalformed, n&0xff)
	}
	if x.features&blk.FeatureProtocol == 0 {
		v.enabled = true
	}
	if v.enabled {
		return x.startQueue(int(n & 0xff))
	}
	return nil
}

// setMemory maps a new memory table; running queues are stopped meanwhile.
func (x *session) setMemory(m *message) error {
	regions, err := wire.ParseMemTable(m.payload)
	if err != nil {
		return err
	}
	table, err := guestmem.Map(regions, m.fds)
	if err != nil {
		return fmt.Errorf("%w: %w", wire.ErrMalformed, err)
	}
	var running []int
	for i := range x.queues {
		if x.queues[i].run != nil {
			running = append(running, i)
			x.stopQueue(i)
		}
	}
	if x.mem != nil {
		x.mem.Unmap()
	}
	x.mem = table
	for _, i := range running {
		if err := x.startQueue(i); err != nil {
			return err
		}
	}
	return nil
}

func (x *session) config(m *message) ([]byte, error) {
	c, err := wire.ParseConfig(m.payload)
	if err != nil {
		return nil, err
	}
	if m.Request == wire.SetConfig {
		return nil, nil // nothing in it can be written but the cache mode, which is not offered
	}
	space := blk.Config{SizeBytes: x.s.disk.SizeBytes, BlockBytes: x.s.disk.BlockBytes, Queues: queuesMost, SegMax: segMax}.Append(nil)
	space = append(space, make([]byte, wire.ConfigSpaceSize-len(space))...)
	c.Data = space[c.Offset : int(c.Offset)+len(c.Data)]
	return c.Append(nil), nil
}

// makeInflight gives the front-end a region to keep what is in flight in.
func (x *session) makeInflight(m *message) error {
	in, err := wire.ParseInflight(m.payload)
	if err != nil {
		return err
	}
	if in.Queues == 0 || in.Queues > queuesMost || in.QueueSize == 0 || in.QueueSize > virtqueue.MaxSize {
		return fmt.Errorf("%w: inflight region for %d queues of %d", wire.ErrMalformed, in.Queues, in.QueueSize)
	}
	in.MmapSize, in.MmapOffset = uint64(in.Queues)*inflightSize(in.QueueSize), 0
	fd, err := unix.MemfdCreate("inflight", unix.MFD_CLOEXEC)
	if err != nil {
		return err
	}
	defer unix.Close(fd)
	if err := unix.Ftruncate(fd, int64(in.MmapSize)); err != nil {
		return err
	}
	if err := x.mapInflight(fd, in); err != nil {
		return err
	}
	payload := in.Append(nil)
	b := wire.AppendHeader(nil, wire.Header{Request: m.Request, Reply: true, Size: uint32(len(payload))})
	x.nc.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, _, err = x.nc.WriteMsgUnix(append(b, payload...), unix.UnixRights(fd), nil)
	return err
}

// takeInflight takes back the region of an earlier session.
func (x *session) takeInflight(m *message) error {
	in, err := wire.ParseInflight(m.payload)
	if err != nil {
		return err
	}
	fd, err := m.takeFD()
	if err != nil {
		return err
	}
	defer unix.Close(fd)
	if in.Queues == 0 || in.Queues > queuesMost || in.QueueSize == 0 || in.QueueSize > virtqueue.MaxSize || in.MmapSize != uint64(in.Queues)*inflightSize(in.QueueSize) || in.MmapOffset != 0 {
		return fmt.Errorf("%w: inflight region of %d bytes at %d for %d queues of %d", wire.ErrMalformed, in.MmapSize, in.MmapOffset, in.Queues, in.QueueSize)
	}
	var st unix.Stat_t
	if err := unix.Fstat(fd, &st); err != nil || uint64(st.Size) < in.MmapSize {
		return fmt.Errorf("%w: inflight region: a file of %d bytes, %v", wire.ErrMalformed, st.Size, err)
	}
	return x.mapInflight(fd, in)
}

func (x *session) mapInflight(fd int, in wire.Inflight) error {
	mem, err := unix.Mmap(fd, 0, int(in.MmapSize), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return err
	}
	for i := range x.queues {
		x.stopQueue(i)
	}
	if x.inflight != nil {
		unix.Munmap(x.inflight)
	}
	x.inflight = mem
	return nil
}

// startQueue starts a queue that has all it needs; one that has not waits.
func (x *session) startQueue(i int) error {
	v := &x.queues[i]
	if v.run != nil || !v.enabled || v.kick == 0 || v.addr == nil || v.num == 0 || x.mem == nil {
		return nil
	}
	q := &queue{index: i, d: x.d, call: v.call - 1, ended: make(chan struct{}), lost: x.broken}
	var restore []uint16
	err := guestmem.RecoverFaults(func() error {
		layout, err := x.layout(v)
		if err != nil {
			return err
		}
		if q.ring, err = virtqueue.New(layout, v.num, v.base, x.features&blk.FeatureEventIdx != 0, x.features&blk.FeatureIndirect != 0, x.mem); err != nil {
			return err
		}
		if x.inflight != nil {
			if size := inflightSize(v.num); uint64(i+1)*size <= uint64(len(x.inflight)) {
				if q.inflight, err = newInflight(x.inflight[uint64(i)*size:uint64(i+1)*size], v.num); err != nil {
					return err
				}
				restore = q.inflight.restore(q.ring.UsedIndex())
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%w: queue %d: %w", wire.ErrMalformed, i, err)
	}
	fd, err := unix.FcntlInt(uintptr(v.kick-1), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := unix.SetNonblock(fd, true); err != nil {
		unix.Close(fd)
		return err
	}
	q.kick = os.NewFile(uintptr(fd), "kick")
	v.run = q
	go q.run(restore)
	return nil
}

func (x *session) layout(v *vring) (virtqueue.Layout, error) {
	d, a, u := virtqueue.LayoutSizes(v.num)
	var l virtqueue.Layout
	var err error
	if l.Desc, err = x.mem.User(v.addr.Desc, d); err != nil {
		return l, err
	}
	if l.Avail, err = x.mem.User(v.addr.Avail, a); err != nil {
		return l, err
	}
	l.Used, err = x.mem.User(v.addr.Used, u)
	return l, err
}

// stopQueue stops a queue and waits until what it had in flight is given back,
// so that its base says all.
func (x *session) stopQueue(i int) {
	v := &x.queues[i]
	q := v.run
	if q == nil {
		return
	}
	q.kick.Close()
	<-q.ended
	if c := q.settled(); c != nil {
		<-c
	}
	v.base = q.ring.NextAvailIndex()
	v.run = nil
}

// broken ends the session: its driver broke the rules.
func (x *session) broken(err error) {
	x.mu.Lock()
	x.lost = err
	x.mu.Unlock()
	x.nc.Close()
}
