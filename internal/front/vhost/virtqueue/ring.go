// Package ring reads a split virtqueue (virtio 1.2, section 2.7) as a device
// does: descriptor chains out of the available ring, direct or indirect, and
// used elements back, with notifications suppressed as both sides ask. It takes
// nothing that a driver writes at its word: indices, lengths and links are
// checked before use, and all that it reads of a descriptor it reads once.
package virtqueue

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"
	"unsafe"
)

// ErrMalformed is what every error of a driver that breaks the rules wraps. The
// queue cannot go on after it.
var ErrMalformed = errors.New("virtqueue: broken by the driver")

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Memory is guest memory.
type Memory interface {
	Guest(addr, n uint64) ([]byte, error)
}

const (
	flagNext     = 1
	flagWrite    = 2
	flagIndirect = 4

	descSize = 16
	// MaxSize is the largest ring (virtio 1.2, section 2.7).
	MaxSize = 32768
	// MaxChainDescriptors is how many descriptors one chain may have.
	MaxChainDescriptors = 1024
	// MaxChainBytes is how many bytes the descriptors of one chain may cover.
	MaxChainBytes = 32 << 20

	availNoInterrupt = 1
	usedNoNotify     = 1
)

// Segment is a part of a request in guest memory.
type Segment struct {
	Data         []byte
	DeviceWrites bool // the device writes it
}

// Chain is one request of the driver. Its segments are valid while the memory
// is mapped; a Chain may be used again.
type Chain struct {
	Head     uint16
	Segments []Segment
}

// Queue is a ring. Next is called by one goroutine at a time, and so are Put
// and Notify together.
type Queue struct {
	size     uint16
	desc     []byte
	avail    []byte
	used     []byte
	memory   Memory
	event    bool // VIRTIO_F_EVENT_IDX
	indirect bool
	next     uint16 // of the available ring
	usedIdx  uint16
	signaled uint16 // used index at the last look at notifications
	fresh    bool   // no notification was weighed yet
}

// Layout is where a ring's parts are. Lengths are checked by New.
type Layout struct{ Desc, Avail, Used []byte }

// LayoutSizes returns how many bytes the three parts of a ring of size entries have.
func LayoutSizes(size uint16) (desc, avail, used uint64) {
	n := uint64(size)
	return n * descSize, 6 + 2*n, 6 + 8*n
}

// New returns a queue whose next available index is base, with the used index
// that stands in memory.
func New(l Layout, size uint16, base uint16, event, indirect bool, m Memory) (*Queue, error) {
	d, a, u := LayoutSizes(size)
	switch {
	case size == 0 || size > MaxSize || size&(size-1) != 0:
		return nil, bad("a ring of %d entries", size)
	case uint64(len(l.Desc)) < d || uint64(len(l.Avail)) < a || uint64(len(l.Used)) < u:
		return nil, bad("a ring that is not whole in memory")
	case uintptr(unsafe.Pointer(&l.Desc[0]))%16 != 0 || uintptr(unsafe.Pointer(&l.Avail[0]))%2 != 0 || uintptr(unsafe.Pointer(&l.Used[0]))%4 != 0:
		return nil, bad("a ring that is not aligned")
	}
	q := &Queue{size: size, desc: l.Desc, avail: l.Avail, used: l.Used, memory: m, event: event, indirect: indirect, next: base, fresh: true}
	q.usedIdx = load16(l.Used[2:])
	q.signaled = q.usedIdx
	return q, nil
}

// load16 and store16 order what is around them, as the other side's barriers
// expect: they are 32-bit atomics on the aligned word that holds the value.
func load16(b []byte) uint16 {
	p := uintptr(unsafe.Pointer(&b[0]))
	word := (*uint32)(unsafe.Pointer(unsafe.SliceData(b)))
	if p%4 == 0 {
		return uint16(atomic.LoadUint32(word))
	}
	word = (*uint32)(unsafe.Add(unsafe.Pointer(unsafe.SliceData(b)), -2))
	return uint16(atomic.LoadUint32(word) >> 16)
}

func store16(b []byte, v uint16) {
	p := uintptr(unsafe.Pointer(&b[0]))
	shift, word := 0, (*uint32)(unsafe.Pointer(unsafe.SliceData(b)))
	if p%4 != 0 {
		shift, word = 16, (*uint32)(unsafe.Add(unsafe.Pointer(unsafe.SliceData(b)), -2))
	}
	for {
		old := atomic.LoadUint32(word)
		if atomic.CompareAndSwapUint32(word, old, old&^(0xffff<<shift)|uint32(v)<<shift) {
			return
		}
	}
}

// Size returns the number of entries.
func (q *Queue) Size() uint16 { return q.size }

// NextAvailIndex returns the index of the next available entry.
func (q *Queue) NextAvailIndex() uint16 { return q.next }

// UsedIndex returns the used index.
func (q *Queue) UsedIndex() uint16 { return q.usedIdx }

// PopAvail takes the next chain that the driver has made available into c; false:
// there is none.
func (q *Queue) PopAvail(c *Chain) (bool, error) {
	ready := load16(q.avail[2:])
	waiting := ready - q.next
	if waiting == 0 {
		return false, nil
	}
	if waiting > q.size {
		return false, bad("available index %d runs away from %d", ready, q.next)
	}
	head := binary.LittleEndian.Uint16(q.avail[4+2*int(q.next%q.size):])
	if err := q.ReadChain(head, c); err != nil {
		return false, err
	}
	q.next++
	return true, nil
}

// ReadChain reads the chain that begins with a descriptor.
func (q *Queue) ReadChain(head uint16, c *Chain) error {
	c.Head, c.Segments = head, c.Segments[:0]
	if head >= q.size {
		return bad("descriptor %d of %d", head, q.size)
	}
	total := uint64(0)
	return q.walk(q.desc, q.size, head, c, &total, false)
}

func (q *Queue) walk(table []byte, size, at uint16, c *Chain, total *uint64, inside bool) error {
	for steps := uint16(0); ; steps++ {
		if steps == size || len(c.Segments) >= MaxChainDescriptors {
			return bad("a chain of more than %d descriptors, or a loop", steps)
		}
		d := table[int(at)*descSize:]
		addr, n := binary.LittleEndian.Uint64(d), uint64(binary.LittleEndian.Uint32(d[8:]))
		flags, next := binary.LittleEndian.Uint16(d[12:]), binary.LittleEndian.Uint16(d[14:])
		if flags&flagIndirect != 0 {
			return q.walkIndirect(addr, n, flags, c, total, inside)
		}
		if *total += n; *total > MaxChainBytes {
			return bad("a chain of more than %d bytes", MaxChainBytes)
		}
		write := flags&flagWrite != 0
		if k := len(c.Segments); k > 0 && c.Segments[k-1].DeviceWrites && !write {
			return bad("a part to be read after one to be written")
		}
		data, err := q.memory.Guest(addr, n)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		c.Segments = append(c.Segments, Segment{data, write})
		if flags&flagNext == 0 {
			return nil
		}
		if next >= size {
			return bad("descriptor %d of %d", next, size)
		}
		at = next
	}
}

func (q *Queue) walkIndirect(addr, n uint64, flags uint16, c *Chain, total *uint64, inside bool) error {
	switch {
	case !q.indirect:
		return bad("an indirect table that was not negotiated")
	case inside:
		return bad("an indirect table inside another")
	case flags&flagNext != 0:
		return bad("an indirect table with a next descriptor")
	case n == 0 || n%descSize != 0 || n/descSize > MaxChainDescriptors:
		return bad("an indirect table of %d bytes", n)
	}
	table, err := q.memory.Guest(addr, n)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return q.walk(table, uint16(n/descSize), 0, c, total, true)
}

// PushUsed gives a chain back with the number of bytes that were written to it.
func (q *Queue) PushUsed(head uint16, written uint32) {
	at := q.used[4+8*int(q.usedIdx%q.size):]
	binary.LittleEndian.PutUint32(at, uint32(head))
	binary.LittleEndian.PutUint32(at[4:], written)
	q.usedIdx++
	store16(q.used[2:], q.usedIdx)
}

// ShouldNotify tells whether the driver wants to hear of what was put since the last
// call (virtio 1.2, section 2.7.7).
func (q *Queue) ShouldNotify() bool {
	old, now := q.signaled, q.usedIdx
	first := q.fresh
	q.signaled, q.fresh = now, false
	if !q.event {
		return load16(q.avail)&availNoInterrupt == 0
	}
	if first {
		return true
	}
	want := load16(q.avail[4+2*int(q.size):])
	return now-want-1 < now-old
}

// EnableKicks asks the driver to kick when it makes more available, and tells whether
// there is more already.
func (q *Queue) EnableKicks() bool {
	if q.event {
		store16(q.used[4+8*int(q.size):], q.next)
	} else {
		store16(q.used, 0)
	}
	return load16(q.avail[2:]) != q.next
}

// DisableKicks tells the driver that kicks are not needed for now.
func (q *Queue) DisableKicks() {
	if !q.event {
		store16(q.used, usedNoNotify)
	}
}
