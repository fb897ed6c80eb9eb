package virtqueue

import (
	"encoding/binary"
	"errors"
	"testing"
	"unsafe"
)

// flatMemory is guest memory in one slice that begins at guest address 0.
type flatMemory []byte

func (memory flatMemory) GuestSlice(addr, n uint64) ([]byte, error) {
	if addr > uint64(len(memory)) || n > uint64(len(memory))-addr {
		return nil, errors.New("range outside of the memory")
	}
	return memory[addr : addr+n : addr+n], nil
}

const ringSize = 8

// newQueue returns a queue of ringSize entries at the start of mem.
func newQueue(mem flatMemory, eventIdx, indirect bool) (*Queue, error) {
	return New(Layout{Desc: mem[0:128], Avail: mem[128:160], Used: mem[160:240]}, ringSize, 0, eventIdx, indirect, mem)
}

// alignedMemory returns n bytes that begin at a multiple of 16.
func alignedMemory(n int) flatMemory {
	words := make([]uint64, n/8+2)
	b := unsafe.Slice((*byte)(unsafe.Pointer(&words[0])), len(words)*8)
	if uintptr(unsafe.Pointer(&b[0]))%16 != 0 {
		b = b[8:]
	}
	return flatMemory(b[:n])
}

// putDescriptor writes entry i of the descriptor table.
func putDescriptor(mem flatMemory, i int, addr uint64, n uint32, flags, next uint16) {
	entry := mem[i*16:]
	binary.LittleEndian.PutUint64(entry, addr)
	binary.LittleEndian.PutUint32(entry[8:], n)
	binary.LittleEndian.PutUint16(entry[12:], flags)
	binary.LittleEndian.PutUint16(entry[14:], next)
}

// putAvail adds a chain to the available ring.
func putAvail(mem flatMemory, head uint16) {
	idx := binary.LittleEndian.Uint16(mem[130:])
	binary.LittleEndian.PutUint16(mem[132+2*int(idx%ringSize):], head)
	binary.LittleEndian.PutUint16(mem[130:], idx+1)
}

// TestWraps checks that indices wrap at 16 bits, that chains come in order and that
// the device notifies as the driver asks.
func TestWraps(t *testing.T) {
	for _, eventIdx := range []bool{false, true} {
		mem := alignedMemory(4096)
		q, err := newQueue(mem, eventIdx, false)
		if err != nil {
			t.Fatal(err)
		}
		var chain Chain
		notifications := 0
		for i := range 70_000 { // enough to wrap the 16-bit indices
			putDescriptor(mem, i%ringSize, 1024, 4, flagNext, uint16((i+1)%ringSize))
			putDescriptor(mem, (i+1)%ringSize, 2048, 4, flagWrite, 0)
			putAvail(mem, uint16(i%ringSize))
			if eventIdx { // the driver asks for a notification of each fourth chain
				binary.LittleEndian.PutUint16(mem[128+4+2*ringSize:], uint16(i)&^3+3)
			}
			ok, err := q.PopAvail(&chain)
			if err != nil || !ok || int(chain.Head) != i%ringSize || len(chain.Segments) != 2 || chain.Segments[0].DeviceWrites || !chain.Segments[1].DeviceWrites {
				t.Fatalf("%d: %+v, %v, %v", i, chain, ok, err)
			}
			q.PushUsed(chain.Head, 4)
			if q.ShouldNotify() {
				notifications++
			}
			if ok, err := q.PopAvail(&chain); ok || err != nil {
				t.Fatalf("%d: a chain beyond the available ones, %v", i, err)
			}
			if q.EnableKicks() {
				t.Fatalf("%d: EnableKicks reports more available entries", i)
			}
		}
		if got := binary.LittleEndian.Uint16(mem[162:]); got != uint16(70_000%65536) {
			t.Errorf("used index %d", got)
		}
		if want := map[bool]int{false: 70_000, true: 70_000 / 4}[eventIdx]; notifications < want || notifications > want+1 {
			t.Errorf("event index %v: %d notifications, want %d", eventIdx, notifications, want)
		}
	}
}

// FuzzChains checks that any content of the ring gives an error or a chain that
// keeps to the bounds.
func FuzzChains(f *testing.F) {
	mem := alignedMemory(512)
	putDescriptor(mem, 0, 256, 16, flagNext, 1)
	putDescriptor(mem, 1, 272, 1, flagWrite, 0)
	putAvail(mem, 0)
	f.Add([]byte(mem), true)
	putDescriptor(mem, 0, 16, 32, flagIndirect, 0)
	f.Add([]byte(mem), false)
	f.Fuzz(func(t *testing.T, content []byte, eventIdx bool) {
		mem := alignedMemory(512)
		copy(mem, content)
		q, err := newQueue(mem, eventIdx, true)
		if err != nil {
			t.Fatal(err)
		}
		var chain Chain
		for range ringSize + 1 {
			ok, err := q.PopAvail(&chain)
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatalf("%v", err)
			}
			if err != nil || !ok {
				return
			}
			total := 0
			for _, s := range chain.Segments {
				total += len(s.Data)
			}
			if len(chain.Segments) > MaxChainDescriptors || total > MaxChainBytes {
				t.Fatalf("%d segments, %d bytes", len(chain.Segments), total)
			}
			q.PushUsed(chain.Head, 1)
			q.ShouldNotify()
		}
	})
}

// BenchmarkRing measures one chain from the available to the used ring. It should
// not allocate.
func BenchmarkRing(b *testing.B) {
	mem := alignedMemory(4096)
	q, err := newQueue(mem, true, false)
	if err != nil {
		b.Fatal(err)
	}
	putDescriptor(mem, 0, 1024, 16, flagNext, 1)
	putDescriptor(mem, 1, 2048, 512, flagNext|flagWrite, 2)
	putDescriptor(mem, 2, 3072, 1, flagWrite, 0)
	var chain Chain
	b.ReportAllocs()
	for b.Loop() {
		putAvail(mem, 0)
		if ok, err := q.PopAvail(&chain); !ok || err != nil {
			b.Fatal(ok, err)
		}
		q.PushUsed(chain.Head, 513)
		q.ShouldNotify()
	}
}
