package virtqueue

import (
	"encoding/binary"
	"errors"
	"testing"
	"unsafe"
)

// flat is guest memory in one slice, from address 0.
type flat []byte

func (f flat) Guest(addr, n uint64) ([]byte, error) {
	if addr > uint64(len(f)) || n > uint64(len(f))-addr {
		return nil, errors.New("outside")
	}
	return f[addr : addr+n : addr+n], nil
}

const size = 8

// driver lays a ring of 8 out at the start of memory.
func driver(mem flat, event, indirect bool) (*Queue, error) {
	return New(Layout{Desc: mem[0:128], Avail: mem[128:160], Used: mem[160:240]}, size, 0, event, indirect, mem)
}

func aligned(n int) flat {
	words := make([]uint64, n/8+2)
	b := unsafe.Slice((*byte)(unsafe.Pointer(&words[0])), len(words)*8)
	if uintptr(unsafe.Pointer(&b[0]))%16 != 0 {
		b = b[8:]
	}
	return flat(b[:n])
}

func desc(mem flat, i int, addr uint64, n uint32, flags, next uint16) {
	d := mem[i*16:]
	binary.LittleEndian.PutUint64(d, addr)
	binary.LittleEndian.PutUint32(d[8:], n)
	binary.LittleEndian.PutUint16(d[12:], flags)
	binary.LittleEndian.PutUint16(d[14:], next)
}

func offer(mem flat, head uint16) {
	idx := binary.LittleEndian.Uint16(mem[130:])
	binary.LittleEndian.PutUint16(mem[132+2*int(idx%size):], head)
	binary.LittleEndian.PutUint16(mem[130:], idx+1)
}

// Indices wrap, chains come in order, and notifications are as asked.
func TestWraps(t *testing.T) {
	for _, event := range []bool{false, true} {
		mem := aligned(4096)
		q, err := driver(mem, event, false)
		if err != nil {
			t.Fatal(err)
		}
		var c Chain
		signals := 0
		for i := range 70_000 { // more than 16 bits
			desc(mem, i%size, 1024, 4, flagNext, uint16((i+1)%size))
			desc(mem, (i+1)%size, 2048, 4, flagWrite, 0)
			offer(mem, uint16(i%size))
			if event { // the driver wants to hear of each fourth
				binary.LittleEndian.PutUint16(mem[128+4+2*size:], uint16(i)&^3+3)
			}
			ok, err := q.PopAvail(&c)
			if err != nil || !ok || int(c.Head) != i%size || len(c.Segments) != 2 || c.Segments[0].DeviceWrites || !c.Segments[1].DeviceWrites {
				t.Fatalf("%d: %+v, %v, %v", i, c, ok, err)
			}
			q.PushUsed(c.Head, 4)
			if q.ShouldNotify() {
				signals++
			}
			if ok, err := q.PopAvail(&c); ok || err != nil {
				t.Fatalf("%d: one more, %v", i, err)
			}
			if q.EnableKicks() {
				t.Fatalf("%d: more was said to be there", i)
			}
		}
		if got := binary.LittleEndian.Uint16(mem[162:]); got != uint16(70_000%65536) {
			t.Errorf("used index %d", got)
		}
		if want := map[bool]int{false: 70_000, true: 70_000 / 4}[event]; signals < want || signals > want+1 {
			t.Errorf("event index %v: %d signals, want %d", event, signals, want)
		}
	}
}

// Whatever is in the ring: an error or a chain inside memory and its bounds.
func FuzzChains(f *testing.F) {
	mem := aligned(512)
	desc(mem, 0, 256, 16, flagNext, 1)
	desc(mem, 1, 272, 1, flagWrite, 0)
	offer(mem, 0)
	f.Add([]byte(mem), true)
	desc(mem, 0, 16, 32, flagIndirect, 0)
	f.Add([]byte(mem), false)
	f.Fuzz(func(t *testing.T, text []byte, event bool) {
		mem := aligned(512)
		copy(mem, text)
		q, err := driver(mem, event, true)
		if err != nil {
			t.Fatal(err)
		}
		var c Chain
		for range size + 1 {
			ok, err := q.PopAvail(&c)
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatalf("%v", err)
			}
			if err != nil || !ok {
				return
			}
			total := 0
			for _, s := range c.Segments {
				total += len(s.Data)
			}
			if len(c.Segments) > MaxChainDescriptors || total > MaxChainBytes {
				t.Fatalf("%d segments, %d bytes", len(c.Segments), total)
			}
			q.PushUsed(c.Head, 1)
			q.ShouldNotify()
		}
	})
}

// Taking and giving back a request makes no garbage.
func BenchmarkRing(b *testing.B) {
	mem := aligned(4096)
	q, err := driver(mem, true, false)
	if err != nil {
		b.Fatal(err)
	}
	desc(mem, 0, 1024, 16, flagNext, 1)
	desc(mem, 1, 2048, 512, flagNext|flagWrite, 2)
	desc(mem, 2, 3072, 1, flagWrite, 0)
	var c Chain
	b.ReportAllocs()
	for b.Loop() {
		offer(mem, 0)
		if ok, err := q.PopAvail(&c); !ok || err != nil {
			b.Fatal(ok, err)
		}
		q.PushUsed(c.Head, 513)
		q.ShouldNotify()
	}
}
