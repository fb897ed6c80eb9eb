// Package vmm is the other side of the vhost-user front, for tests and proofs:
// a VMM with a guest's memory and a virtio-blk driver on split rings. It does
// I/O, and faults: kicks lost or doubled, disconnections, chains that break the
// rules.
package vmm

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/front/vhost/virtqueue"
	"arrowwalk/internal/front/vhost/wire"
)

// Options of a Machine.
type Options struct {
	Queues   int
	Size     uint16 // of a ring
	Slots    int    // requests of a queue that may be out; each has a buffer
	Buffer   int    // bytes of a buffer
	Event    bool
	Indirect bool
	Inflight bool
}

const (
	guestBase = 0x1000_0000 // where the guest's memory begins in its addresses
	userBase  = 0x7f00_0000_0000
	page      = 4096
)

// Machine is a virtual machine with one disk.
type Machine struct {
	opt      Options
	fd       int
	Mem      []byte
	nc       *net.UnixConn
	Queues   []*Queue
	inflight int // descriptor of the region, -1: none
	region   wire.Inflight
}

// Queue is the driver's side of one ring.
type Queue struct {
	m      *Machine
	index  int
	size   uint16
	desc   int // offsets in memory
	avail  int
	used   int
	slots  int
	free   []int // slots
	kick   int
	call   *os.File
	callFD int
	seen   uint16      // of the used ring
	out    map[int]*IO // by slot
	Lose   func() bool // loses a kick
}

// IO is one request.
type IO struct {
	Kind   blk.Kind
	From   int64
	Bytes  int
	Ranges []blk.Range
	Data   []byte // of Out: what is written; of In: what was read
	Status blk.Status
	Tag    int
	slot   int
	Sent   time.Time
}

// slot layout: head, status, indirect table, data.
const (
	slotHead     = 0
	slotStatus   = 64
	slotIndirect = 128
	slotData     = 1024
)

func (o *Options) slotBytes() int { return (slotData + o.Buffer + page - 1) / page * page }

func (o *Options) queueBytes() int {
	d, a, u := virtqueue.LayoutSizes(o.Size)
	return up(int(d)) + up(int(a)) + up(int(u)) + o.Slots*o.slotBytes()
}

func up(n int) int { return (n + page - 1) / page * page }

// New makes a machine, not connected yet.
func New(opt Options) (*Machine, error) {
	if int(opt.Size) < opt.Slots*4 && !opt.Indirect {
		return nil, fmt.Errorf("vmm: %d slots need a ring of %d", opt.Slots, opt.Slots*4)
	}
	m := &Machine{opt: opt, inflight: -1}
	size := opt.Queues * opt.queueBytes()
	var err error
	if m.fd, err = unix.MemfdCreate("guest", unix.MFD_CLOEXEC); err != nil {
		return nil, err
	}
	if err := unix.Ftruncate(m.fd, int64(size)); err != nil {
		return nil, err
	}
	if m.Mem, err = unix.Mmap(m.fd, 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED); err != nil {
		return nil, err
	}
	d, a, _ := virtqueue.LayoutSizes(opt.Size)
	for i := range opt.Queues {
		at := i * opt.queueBytes()
		q := &Queue{m: m, index: i, size: opt.Size, desc: at, avail: at + up(int(d)), out: map[int]*IO{}}
		q.used = q.avail + up(int(a))
		q.slots = at + opt.queueBytes() - opt.Slots*opt.slotBytes()
		for s := range opt.Slots {
			q.free = append(q.free, s)
		}
		if q.kick, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
			return nil, err
		}
		if q.callFD, err = unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK); err != nil {
			return nil, err
		}
		fd, err := unix.FcntlInt(uintptr(q.callFD), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			return nil, err
		}
		q.call = os.NewFile(uintptr(fd), "call")
		m.Queues = append(m.Queues, q)
	}
	return m, nil
}

// Close ends the machine.
func (m *Machine) Close() {
	m.Disconnect()
	for _, q := range m.Queues {
		q.call.Close()
		unix.Close(q.callFD)
		unix.Close(q.kick)
	}
	if m.inflight >= 0 {
		unix.Close(m.inflight)
	}
	unix.Munmap(m.Mem)
	unix.Close(m.fd)
}

// Disconnect hangs up, wherever the session stands.
func (m *Machine) Disconnect() {
	if m.nc != nil {
		m.nc.Close()
		m.nc = nil
	}
}

// Send sends a message, with descriptors.
func (m *Machine) Send(r wire.Request, payload []byte, fds ...int) error {
	b := append(wire.AppendHeader(nil, wire.Header{Request: r, Size: uint32(len(payload))}), payload...)
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	_, _, err := m.nc.WriteMsgUnix(b, oob, nil)
	return err
}

// Ask sends a message and reads its answer.
func (m *Machine) Ask(r wire.Request, payload []byte) ([]byte, int, error) {
	if err := m.Send(r, payload); err != nil {
		return nil, -1, err
	}
	m.nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	head, oob := make([]byte, wire.HeaderSize), make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := m.nc.ReadMsgUnix(head, oob)
	if err != nil {
		return nil, -1, err
	}
	if _, err := io.ReadFull(m.nc, head[n:]); err != nil {
		return nil, -1, err
	}
	h, err := wire.ParseHeader(head)
	if err != nil || !h.Reply || h.Request != r {
		return nil, -1, fmt.Errorf("vmm: answer %+v to request %d, %v", h, r, err)
	}
	body := make([]byte, h.Size)
	if _, err := io.ReadFull(m.nc, body); err != nil {
		return nil, -1, err
	}
	fd := -1
	if list, err := unix.ParseSocketControlMessage(oob[:oobn]); err == nil && len(list) == 1 {
		if fds, err := unix.ParseUnixRights(&list[0]); err == nil && len(fds) == 1 {
			fd = fds[0]
		}
	}
	return body, fd, nil
}

// Dial connects without any message.
func (m *Machine) Dial(path string) error {
	nc, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	m.nc = nc
	return nil
}

// Features is what the machine negotiates.
func (m *Machine) Features() uint64 {
	f := uint64(blk.FeatureVersion1 | blk.FeatureProtocol | blk.FeatureFlush | blk.FeatureMQ | blk.FeatureDiscard | blk.FeatureWriteZeroes)
	if m.opt.Event {
		f |= blk.FeatureEventIdx
	}
	if m.opt.Indirect {
		f |= blk.FeatureIndirect
	}
	return f
}

// Connect dials and sets everything up. A machine that was connected before
// goes on with its rings as they stand, and hands its inflight region over.
func (m *Machine) Connect(path string) error {
	if err := m.Dial(path); err != nil {
		return err
	}
	if _, _, err := m.Ask(wire.GetFeatures, nil); err != nil {
		return err
	}
	steps := []func() error{
		func() error { return m.Send(wire.SetOwner, nil) },
		func() error { return m.Send(wire.SetFeatures, wire.AppendU64(nil, m.Features())) },
		func() error {
			return m.Send(wire.SetProtocolFeatures, wire.AppendU64(nil, wire.ProtocolMQ|wire.ProtocolConfig|wire.ProtocolInflight))
		},
		m.setInflight,
		func() error { return m.Send(wire.SetMemTable, m.Table(), m.fd) },
	}
	for _, do := range steps {
		if err := do(); err != nil {
			return err
		}
	}
	for _, q := range m.Queues {
		if err := q.start(); err != nil {
			return err
		}
	}
	// An answer says that all before it was taken.
	if _, _, err := m.Ask(wire.GetQueueNum, nil); err != nil {
		return fmt.Errorf("vmm: set up: %w", err)
	}
	for _, q := range m.Queues { // what was made available before is looked at anew
		q.Kick()
	}
	return nil
}

// Table is the memory table's payload.
func (m *Machine) Table() []byte {
	return wire.AppendMemTable(nil, []wire.Region{{GuestAddr: guestBase, Size: uint64(len(m.Mem)), UserAddr: userBase}})
}

func (m *Machine) setInflight() error {
	if !m.opt.Inflight {
		return nil
	}
	if m.inflight >= 0 {
		return m.Send(wire.SetInflightFD, m.region.Append(nil), m.inflight)
	}
	body, fd, err := m.Ask(wire.GetInflightFD, wire.Inflight{Queues: uint16(m.opt.Queues), QueueSize: m.opt.Size}.Append(nil))
	if err != nil {
		return err
	}
	if m.region, err = wire.ParseInflight(body); err != nil || fd < 0 {
		return fmt.Errorf("vmm: inflight region: %d, %v", fd, err)
	}
	m.inflight = fd
	return nil
}

// start tells the device of a queue.
func (q *Queue) start() error {
	m, i := q.m, uint32(q.index)
	base := q.word(q.used + 2) // all before it was given back
	addr := wire.VringAddr{Index: i, Desc: userBase + uint64(q.desc), Used: userBase + uint64(q.used), Avail: userBase + uint64(q.avail)}
	if m.opt.Inflight { // what is in flight is in the region: go on behind what was taken
		base = q.taken()
	}
	for _, do := range []func() error{
		func() error {
			return m.Send(wire.SetVringNum, wire.VringState{Index: i, Num: uint32(q.size)}.Append(nil))
		},
		func() error {
			return m.Send(wire.SetVringBase, wire.VringState{Index: i, Num: uint32(base)}.Append(nil))
		},
		func() error { return m.Send(wire.SetVringAddr, addr.Append(nil)) },
		func() error { return m.Send(wire.SetVringCall, wire.AppendU64(nil, uint64(i)), q.callFD) },
		func() error { return m.Send(wire.SetVringKick, wire.AppendU64(nil, uint64(i)), q.kick) },
		func() error {
			return m.Send(wire.SetVringEnable, wire.VringState{Index: i, Num: 1}.Append(nil))
		},
	} {
		if err := do(); err != nil {
			return err
		}
	}
	return nil
}

// taken returns the available index up to which the device took chains: the
// used index and what the region marks as in flight.
func (q *Queue) taken() uint16 {
	used := q.word(q.used + 2)
	part := int(q.m.region.MmapSize) / int(q.m.region.Queues)
	mem, err := unix.Mmap(q.m.inflight, 0, int(q.m.region.MmapSize), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return used
	}
	defer unix.Munmap(mem)
	mine := mem[q.index*part:]
	n := uint16(0)
	for d := range int(q.size) {
		n += uint16(mine[16+d*16])
	}
	if told := binary.LittleEndian.Uint16(mine[14:]); told != used { // the last one given back is still marked
		if last := binary.LittleEndian.Uint16(mine[12:]); mine[16+int(last)*16] == 1 {
			n--
		}
	}
	return used + n
}

func (q *Queue) word(at int) uint16 {
	return uint16(atomic.LoadUint32((*uint32)(unsafe.Pointer(&q.m.Mem[at&^3]))) >> (8 * (at & 3)))
}

func (q *Queue) setWord(at int, v uint16) {
	p := (*uint32)(unsafe.Pointer(&q.m.Mem[at&^3]))
	shift := 8 * (at & 3)
	for {
		old := atomic.LoadUint32(p)
		if atomic.CompareAndSwapUint32(p, old, old&^(0xffff<<shift)|uint32(v)<<shift) {
			return
		}
	}
}

// Room tells whether another request may be submitted.
func (q *Queue) Room() bool { return len(q.free) > 0 }

// Out returns how many requests are out.
func (q *Queue) Out() int { return len(q.out) }

// Guest returns the guest's address of an offset in memory.
func Guest(at int) uint64 { return guestBase + uint64(at) }

// Desc writes a descriptor of the ring, or of a table elsewhere in memory.
func (m *Machine) Desc(table, i int, addr uint64, n uint32, flags, next uint16) {
	d := m.Mem[table+i*16:]
	binary.LittleEndian.PutUint64(d, addr)
	binary.LittleEndian.PutUint32(d[8:], n)
	binary.LittleEndian.PutUint16(d[12:], flags)
	binary.LittleEndian.PutUint16(d[14:], next)
}

// Table returns the offset of the ring's descriptors.
func (q *Queue) Table() int { return q.desc }

// Offer makes a descriptor available, whatever it is, and kicks.
func (q *Queue) Offer(head uint16) {
	idx := q.word(q.avail + 2)
	binary.LittleEndian.PutUint16(q.m.Mem[q.avail+4+2*int(idx%q.size):], head)
	q.setWord(q.avail+2, idx+1)
	q.Kick()
}

// SetAvail sets the available index, whatever it is.
func (q *Queue) SetAvail(v uint16) { q.setWord(q.avail+2, v) }

// Submit makes a request available and kicks. Its data is copied into guest
// memory.
func (q *Queue) Submit(x *IO) error {
	if len(q.free) == 0 {
		return errors.New("vmm: no slot is free")
	}
	x.slot = q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	q.out[x.slot] = x
	at := q.slots + x.slot*q.m.opt.slotBytes()
	mem := q.m.Mem
	binary.LittleEndian.PutUint32(mem[at:], uint32(x.Kind))
	binary.LittleEndian.PutUint64(mem[at+8:], uint64(x.From/blk.SectorSize))
	mem[at+slotStatus] = 0xff
	data := mem[at+slotData:]
	n, flags := x.Bytes, uint16(0)
	switch x.Kind {
	case blk.Out:
		copy(data, x.Data)
	case blk.In, blk.GetID:
		flags = 2
	case blk.Discard, blk.WriteZeroes:
		n = 0
		for _, r := range x.Ranges {
			binary.LittleEndian.PutUint64(data[n:], uint64(r.Offset/blk.SectorSize))
			binary.LittleEndian.PutUint32(data[n+8:], uint32(r.Bytes/blk.SectorSize))
			binary.LittleEndian.PutUint32(data[n+12:], 0)
			n += 16
		}
	default:
		n = 0
	}
	head := q.chain(x.slot, at, n, flags)
	x.Sent = time.Now()
	idx := q.word(q.avail + 2)
	binary.LittleEndian.PutUint16(mem[q.avail+4+2*int(idx%q.size):], head)
	q.setWord(q.avail+2, idx+1)
	if q.Lose == nil || !q.Lose() {
		q.Kick()
	}
	return nil
}

// chain writes a slot's descriptors: head, data in two parts where there is
// enough, status.
func (q *Queue) chain(slot, at, n int, flags uint16) uint16 {
	m := q.m
	table, first := q.desc, slot*4
	if m.opt.Indirect {
		table, first = at+slotIndirect, 0
	}
	i := first
	link := func(addr int, n int, flags uint16, last bool) {
		next := uint16(0)
		if !last {
			flags |= 1
			next = uint16(i + 1)
		}
		m.Desc(table, i, Guest(addr), uint32(n), flags, next)
		i++
	}
	link(at+slotHead, 16, 0, false)
	if half := n / 2 &^ 511; half > 0 && n-half > 0 {
		link(at+slotData, half, flags, false)
		link(at+slotData+half, n-half, flags, false)
	} else if n > 0 {
		link(at+slotData, n, flags, false)
	}
	link(at+slotStatus, 1, 2, true)
	if m.opt.Indirect {
		m.Desc(q.desc, slot, Guest(table), uint32(i*16), 4, 0)
		return uint16(slot)
	}
	return uint16(first)
}

// Kick tells the device to look.
func (q *Queue) Kick() {
	var one [8]byte
	binary.LittleEndian.PutUint64(one[:], 1)
	unix.Write(q.kick, one[:])
}

// ErrTwice says that the device gave a request back that was not out.
var ErrTwice = errors.New("vmm: a request was given back that was not out")

// Collect takes what the device gave back.
func (q *Queue) Collect(into []*IO) ([]*IO, error) {
	mem := q.m.Mem
	for {
		if q.m.opt.Event { // wake us for the next one
			q.setWord(q.avail+4+2*int(q.size), q.seen)
		}
		now := q.word(q.used + 2)
		if now == q.seen {
			return into, nil
		}
		for q.seen != now {
			e := mem[q.used+4+8*int(q.seen%q.size):]
			head := int(binary.LittleEndian.Uint32(e))
			q.seen++
			slot := head
			if !q.m.opt.Indirect {
				slot = head / 4
			}
			x := q.out[slot]
			if x == nil {
				return into, fmt.Errorf("%w: descriptor %d", ErrTwice, head)
			}
			delete(q.out, slot)
			at := q.slots + slot*q.m.opt.slotBytes()
			x.Status = blk.Status(mem[at+slotStatus])
			if x.Kind == blk.In || x.Kind == blk.GetID {
				x.Data = append(x.Data[:0], mem[at+slotData:at+slotData+x.Bytes]...)
			}
			q.free = append(q.free, slot)
			into = append(into, x)
		}
	}
}

// Wait waits for the device's signal.
func (q *Queue) Wait(most time.Duration) error {
	q.call.SetReadDeadline(time.Now().Add(most))
	var b [8]byte
	_, err := q.call.Read(b[:])
	return err
}

// Shrink takes the guest's memory away from under its mapping on both sides.
func (m *Machine) Shrink(to int64) error { return unix.Ftruncate(m.fd, to) }
