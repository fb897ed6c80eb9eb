// Package virtqueue implements the device side of a split virtqueue (virtio 1.2,
// section 2.7). It reads descriptor chains, direct or indirect, from the available
// ring and returns them through the used ring, and suppresses notifications as
// either side asks. It trusts nothing that the driver writes: indices, lengths and
// links are checked before use, and each field of a descriptor is read only once,
// because the driver may change it at any time.
package virtqueue

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"
	"unsafe"
)

// ErrMalformed is wrapped by every error about a driver that breaks the protocol. The
// queue must not be used after it.
var ErrMalformed = errors.New("virtqueue: protocol violation by the driver")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Memory gives access to guest memory.
type Memory interface {
	// GuestSlice returns the n bytes of guest memory at a guest address.
	GuestSlice(addr, n uint64) ([]byte, error)
}

const (
	flagNext     = 1
	flagWrite    = 2
	flagIndirect = 4

	descSize = 16
	// MaxSize is the largest number of entries of a ring (virtio 1.2, section 2.7).
	MaxSize = 32768
	// MaxChainDescriptors is the largest number of descriptors in a chain.
	MaxChainDescriptors = 1024
	// MaxChainBytes is the largest number of bytes that the descriptors of a
	// chain may cover.
	MaxChainBytes = 32 << 20

	availNoInterrupt = 1
	usedNoNotify     = 1
)

// Segment is the guest memory of one descriptor.
type Segment struct {
	Data         []byte
	DeviceWrites bool // the device writes it; otherwise it only reads
}

// Chain is a descriptor chain, which holds one request of the driver. Its segments
// are valid while the memory is mapped. A Chain may be reused.
type Chain struct {
	Head     uint16
	Segments []Segment
}

// Queue is the device side of a split virtqueue. Only one goroutine at a time may call
// PopAvail, and only one at a time may call PushUsed or ShouldNotify.
type Queue struct {
	size          uint16
	desc          []byte
	avail         []byte
	used          []byte
	memory        Memory
	eventIdx      bool // VIRTIO_F_EVENT_IDX was negotiated
	indirect      bool
	nextAvail     uint16 // index of the next entry of the available ring
	usedIdx       uint16 // index of the next entry of the used ring
	lastSignaled  uint16 // used index at the last call of ShouldNotify
	neverSignaled bool   // ShouldNotify was not called yet
}

// Layout holds the memory of a ring's parts. New checks their lengths.
type Layout struct{ Desc, Avail, Used []byte }

// LayoutSizes returns the sizes in bytes of the parts of a ring with size entries.
func LayoutSizes(size uint16) (desc, avail, used uint64) {
	n := uint64(size)
	return n * descSize, 6 + 2*n, 6 + 8*n
}

// New returns a queue whose next available index is base. It takes the used index
// from memory. eventIdx and indirect are the negotiated features.
func New(layout Layout, size uint16, base uint16, eventIdx, indirect bool, memory Memory) (*Queue, error) {
	descBytes, availBytes, usedBytes := LayoutSizes(size)
	switch {
	case size == 0 || size > MaxSize || size&(size-1) != 0:
		return nil, malformed("a ring of %d entries, want a power of two up to 32768", size)
	case uint64(len(layout.Desc)) < descBytes || uint64(len(layout.Avail)) < availBytes || uint64(len(layout.Used)) < usedBytes:
		return nil, malformed("a part of the ring is not completely in guest memory")
	case uintptr(unsafe.Pointer(&layout.Desc[0]))%16 != 0 || uintptr(unsafe.Pointer(&layout.Avail[0]))%2 != 0 || uintptr(unsafe.Pointer(&layout.Used[0]))%4 != 0:
		return nil, malformed("a part of the ring is not aligned")
	}
	q := &Queue{size: size, desc: layout.Desc, avail: layout.Avail, used: layout.Used, memory: memory, eventIdx: eventIdx, indirect: indirect, nextAvail: base, neverSignaled: true}
	q.usedIdx = load16(layout.Used[2:])
	q.lastSignaled = q.usedIdx
	return q, nil
}

// load16 and store16 use 32-bit atomics on the aligned word that holds the value,
// because Go has no 16-bit ones. They order the memory accesses around them as the
// driver's barriers expect.
func load16(b []byte) uint16 {
	addr := uintptr(unsafe.Pointer(&b[0]))
	word := (*uint32)(unsafe.Pointer(unsafe.SliceData(b)))
	if addr%4 == 0 {
		return uint16(atomic.LoadUint32(word))
	}
	word = (*uint32)(unsafe.Add(unsafe.Pointer(unsafe.SliceData(b)), -2))
	return uint16(atomic.LoadUint32(word) >> 16)
}

func store16(b []byte, value uint16) {
	addr := uintptr(unsafe.Pointer(&b[0]))
	shift, word := 0, (*uint32)(unsafe.Pointer(unsafe.SliceData(b)))
	if addr%4 != 0 {
		shift, word = 16, (*uint32)(unsafe.Add(unsafe.Pointer(unsafe.SliceData(b)), -2))
	}
	for {
		oldWord := atomic.LoadUint32(word)
		if atomic.CompareAndSwapUint32(word, oldWord, oldWord&^(0xffff<<shift)|uint32(value)<<shift) {
			return
		}
	}
}

// Size returns the number of entries.
func (q *Queue) Size() uint16 { return q.size }

// NextAvailIndex returns the index of the next entry of the available ring that
// PopAvail reads.
func (q *Queue) NextAvailIndex() uint16 { return q.nextAvail }

// UsedIndex returns the index of the next entry of the used ring.
func (q *Queue) UsedIndex() uint16 { return q.usedIdx }

// PopAvail reads the next available chain into chain. It returns false if there is
// none.
func (q *Queue) PopAvail(chain *Chain) (bool, error) {
	availIdx := load16(q.avail[2:])
	pending := availIdx - q.nextAvail
	if pending == 0 {
		return false, nil
	}
	if pending > q.size {
		return false, malformed("available index %d is more than the ring size ahead of %d", availIdx, q.nextAvail)
	}
	head := binary.LittleEndian.Uint16(q.avail[4+2*int(q.nextAvail%q.size):])
	if err := q.ReadChain(head, chain); err != nil {
		return false, err
	}
	q.nextAvail++
	return true, nil
}

// ReadChain reads the chain that begins at the descriptor head into chain.
func (q *Queue) ReadChain(head uint16, chain *Chain) error {
	chain.Head, chain.Segments = head, chain.Segments[:0]
	if head >= q.size {
		return malformed("head descriptor %d of %d", head, q.size)
	}
	total := uint64(0)
	return q.appendSegments(q.desc, q.size, head, chain, &total, false)
}

// appendSegments appends the segments of the chain that begins at an index of a
// descriptor table. total counts the bytes of the whole chain; indirect says that
// the table is an indirect one.
func (q *Queue) appendSegments(table []byte, size, index uint16, chain *Chain, total *uint64, indirect bool) error {
	for steps := uint16(0); ; steps++ {
		if steps == size || len(chain.Segments) >= MaxChainDescriptors {
			return malformed("a chain of more than %d descriptors, or with a loop", steps)
		}
		descriptor := table[int(index)*descSize:]
		addr, length := binary.LittleEndian.Uint64(descriptor), uint64(binary.LittleEndian.Uint32(descriptor[8:]))
		flags, next := binary.LittleEndian.Uint16(descriptor[12:]), binary.LittleEndian.Uint16(descriptor[14:])
		if flags&flagIndirect != 0 {
			return q.appendIndirect(addr, length, flags, chain, total, indirect)
		}
		if *total += length; *total > MaxChainBytes {
			return malformed("a chain of more than %d bytes", MaxChainBytes)
		}
		write := flags&flagWrite != 0
		if count := len(chain.Segments); count > 0 && chain.Segments[count-1].DeviceWrites && !write {
			return malformed("a device-readable descriptor after a device-writable one")
		}
		data, err := q.memory.GuestSlice(addr, length)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		chain.Segments = append(chain.Segments, Segment{data, write})
		if flags&flagNext == 0 {
			return nil
		}
		if next >= size {
			return malformed("next descriptor %d of %d", next, size)
		}
		index = next
	}
}

// appendIndirect appends the segments of an indirect table.
func (q *Queue) appendIndirect(addr, length uint64, flags uint16, chain *Chain, total *uint64, indirect bool) error {
	switch {
	case !q.indirect:
		return malformed("an indirect table without the negotiated feature")
	case indirect:
		return malformed("an indirect table inside another")
	case flags&flagNext != 0:
		return malformed("an indirect table with a next descriptor")
	case length == 0 || length%descSize != 0 || length/descSize > MaxChainDescriptors:
		return malformed("an indirect table of %d bytes", length)
	}
	table, err := q.memory.GuestSlice(addr, length)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return q.appendSegments(table, uint16(length/descSize), 0, chain, total, true)
}

// PushUsed adds a chain to the used ring, with the number of bytes that the device
// wrote to it.
func (q *Queue) PushUsed(head uint16, written uint32) {
	element := q.used[4+8*int(q.usedIdx%q.size):]
	binary.LittleEndian.PutUint32(element, uint32(head))
	binary.LittleEndian.PutUint32(element[4:], written)
	q.usedIdx++
	store16(q.used[2:], q.usedIdx)
}

// ShouldNotify reports whether the driver wants a notification for the chains that
// were pushed since the last call (virtio 1.2, section 2.7.7).
func (q *Queue) ShouldNotify() bool {
	oldUsed, newUsed := q.lastSignaled, q.usedIdx
	first := q.neverSignaled
	q.lastSignaled, q.neverSignaled = newUsed, false
	if !q.eventIdx {
		return load16(q.avail)&availNoInterrupt == 0
	}
	if first {
		return true
	}
	eventIdx := load16(q.avail[4+2*int(q.size):])
	return newUsed-eventIdx-1 < newUsed-oldUsed
}

// EnableKicks asks the driver to kick the queue when it adds available entries. It
// reports whether there are already some, for which no kick may come.
func (q *Queue) EnableKicks() bool {
	if q.eventIdx {
		store16(q.used[4+8*int(q.size):], q.nextAvail)
	} else {
		store16(q.used, 0)
	}
	return load16(q.avail[2:]) != q.nextAvail
}

// DisableKicks tells the driver that it need not kick the queue for now. With event
// indices it does nothing.
func (q *Queue) DisableKicks() {
	if !q.eventIdx {
		store16(q.used, usedNoNotify)
	}
}
