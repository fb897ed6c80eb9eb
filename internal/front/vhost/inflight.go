package vhost

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
)

// The inflight region (vhost-user specification, "Inflight I/O tracking", split
// virtqueue) is shared memory that outlives the device's process. It marks each
// descriptor chain that was taken from the available ring and not yet returned.
// After a reconnection the marked chains run again, in the order of their arrival.

const (
	inflightHeaderSize = 16 // features, version, desc_num, last_batch_head, used_idx
	inflightEntrySize  = 16 // inflight, padding, next, counter
	inflightAlignment  = 64
)

// inflightSize returns the size in bytes of the part for a queue with size entries.
func inflightSize(size uint16) uint64 {
	n := uint64(inflightHeaderSize) + uint64(size)*inflightEntrySize
	return (n + inflightAlignment - 1) / inflightAlignment * inflightAlignment
}

// inflight is the part of the region for one queue. The methods that mark chains do
// nothing on a nil inflight.
type inflight struct {
	mem       []byte
	queueSize uint16
	counter   uint64
}

// newInflight returns the part for a queue with size entries in mem. It initializes
// a part of zeros, and returns an error if one in use is of another version or size.
func newInflight(mem []byte, size uint16) (*inflight, error) {
	if uint64(len(mem)) < inflightSize(size) {
		return nil, fmt.Errorf("inflight region: %d bytes are too few for %d descriptors", len(mem), size)
	}
	f := &inflight{mem: mem, queueSize: size}
	if f.version() == 0 {
		binary.LittleEndian.PutUint16(mem[8:], 1)
		binary.LittleEndian.PutUint16(mem[10:], size)
	} else if storedSize := binary.LittleEndian.Uint16(mem[10:]); f.version() != 1 || storedSize != size {
		return nil, fmt.Errorf("inflight region: version %d for %d descriptors, want 1 for %d", f.version(), storedSize, size)
	}
	return f, nil
}

// version returns the version of the layout, 0 for a part of zeros.
func (f *inflight) version() uint16 { return binary.LittleEndian.Uint16(f.mem[8:]) }

// entry returns the entry of a descriptor.
func (f *inflight) entry(head uint16) []byte {
	return f.mem[inflightHeaderSize+int(head)*inflightEntrySize:][:inflightEntrySize]
}

// markTaken marks a chain that was taken from the available ring.
func (f *inflight) markTaken(head uint16) {
	if f == nil {
		return
	}
	f.counter++
	entry := f.entry(head)
	binary.LittleEndian.PutUint64(entry[8:], f.counter)
	entry[0] = 1
}

// setLastHead records the chain that is about to be added to the used ring.
func (f *inflight) setLastHead(head uint16) {
	if f != nil {
		binary.LittleEndian.PutUint16(f.mem[12:], head)
	}
}

// clearTaken removes the mark of a chain that was added to the used ring.
func (f *inflight) clearTaken(head, usedIdx uint16) {
	if f == nil {
		return
	}
	f.entry(head)[0] = 0
	binary.LittleEndian.PutUint16(f.mem[14:], usedIdx)
}

// unfinished returns the heads of the marked chains, oldest first. usedIdx is the used
// index of the ring. If it differs from the one in the region, the earlier process
// ended after it added its last chain to the used ring and before it removed the
// chain's mark. That mark is removed first.
func (f *inflight) unfinished(usedIdx uint16) []uint16 {
	if f == nil {
		return nil
	}
	if recorded := binary.LittleEndian.Uint16(f.mem[14:]); recorded != usedIdx {
		if last := binary.LittleEndian.Uint16(f.mem[12:]); last < f.queueSize {
			f.entry(last)[0] = 0
		}
		binary.LittleEndian.PutUint16(f.mem[14:], usedIdx)
	}
	type markedChain struct {
		head    uint16
		counter uint64
	}
	var chains []markedChain
	for head := range f.queueSize {
		entry := f.entry(head)
		counter := binary.LittleEndian.Uint64(entry[8:])
		f.counter = max(f.counter, counter)
		if entry[0] == 1 {
			chains = append(chains, markedChain{head, counter})
		}
	}
	slices.SortFunc(chains, func(a, b markedChain) int { return cmp.Compare(a.counter, b.counter) })
	heads := make([]uint16, len(chains))
	for i, chain := range chains {
		heads[i] = chain.head
	}
	return heads
}
