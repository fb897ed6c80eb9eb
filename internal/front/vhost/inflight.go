package vhost

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
)

// The inflight region (vhost-user specification, "Inflight I/O tracking", split
// virtqueue): shared memory that outlives the device's process, in which each
// descriptor chain that was taken and not given back is marked. After a
// reconnection what is marked is done again, in the order in which it came.

const (
	inflightHeaderSize = 16 // features, version, desc_num, last_batch_head, used_idx
	inflightEntrySize  = 16 // inflight, padding, next, counter
	inflightAlignment  = 64
)

// inflightSize returns the bytes of one queue's part.
func inflightSize(size uint16) uint64 {
	n := uint64(inflightHeaderSize) + uint64(size)*inflightEntrySize
	return (n + inflightAlignment - 1) / inflightAlignment * inflightAlignment
}

// inflight is one queue's part of the region. A nil one tracks nothing.
type inflight struct {
	mem       []byte
	queueSize uint16
	counter   uint64
}

// newInflight returns a queue's part; a fresh one is set up.
func newInflight(mem []byte, size uint16) (*inflight, error) {
	if uint64(len(mem)) < inflightSize(size) {
		return nil, fmt.Errorf("inflight region: %d bytes for %d descriptors", len(mem), size)
	}
	f := &inflight{mem: mem, queueSize: size}
	if f.version() == 0 {
		binary.LittleEndian.PutUint16(mem[8:], 1)
		binary.LittleEndian.PutUint16(mem[10:], size)
	} else if got := binary.LittleEndian.Uint16(mem[10:]); f.version() != 1 || got != size {
		return nil, fmt.Errorf("inflight region: version %d for %d descriptors, want 1 for %d", f.version(), got, size)
	}
	return f, nil
}

func (f *inflight) version() uint16 { return binary.LittleEndian.Uint16(f.mem[8:]) }

func (f *inflight) entry(head uint16) []byte {
	return f.mem[inflightHeaderSize+int(head)*inflightEntrySize:][:inflightEntrySize]
}

// markTaken marks a chain that was taken out of the ring.
func (f *inflight) markTaken(head uint16) {
	if f == nil {
		return
	}
	f.counter++
	e := f.entry(head)
	binary.LittleEndian.PutUint64(e[8:], f.counter)
	e[0] = 1
}

// setLastHead notes which chain is about to be put into the used ring.
func (f *inflight) setLastHead(head uint16) {
	if f != nil {
		binary.LittleEndian.PutUint16(f.mem[12:], head)
	}
}

// clearTaken takes the mark off a chain that is in the used ring.
func (f *inflight) clearTaken(head, usedIdx uint16) {
	if f == nil {
		return
	}
	f.entry(head)[0] = 0
	binary.LittleEndian.PutUint16(f.mem[14:], usedIdx)
}

// unfinished returns the chains that were taken and not given back, oldest first.
// usedIdx is the ring's own: where it is ahead of the region's, the last chain
// was given and its mark not yet taken off.
func (f *inflight) unfinished(usedIdx uint16) []uint16 {
	if f == nil {
		return nil
	}
	if told := binary.LittleEndian.Uint16(f.mem[14:]); told != usedIdx {
		if last := binary.LittleEndian.Uint16(f.mem[12:]); last < f.queueSize {
			f.entry(last)[0] = 0
		}
		binary.LittleEndian.PutUint16(f.mem[14:], usedIdx)
	}
	type marked struct {
		head    uint16
		counter uint64
	}
	var list []marked
	for head := range f.queueSize {
		e := f.entry(head)
		counter := binary.LittleEndian.Uint64(e[8:])
		f.counter = max(f.counter, counter)
		if e[0] == 1 {
			list = append(list, marked{head, counter})
		}
	}
	slices.SortFunc(list, func(a, b marked) int { return cmp.Compare(a.counter, b.counter) })
	out := make([]uint16, len(list))
	for i, m := range list {
		out[i] = m.head
	}
	return out
}
