package blk

import (
	"encoding/binary"
	"testing"

	"arrowwalk/internal/front/vhost/virtqueue"
)

func head(kind Kind, sector uint64) []byte {
	b := make([]byte, 16)
	binary.LittleEndian.PutUint32(b, uint32(kind))
	binary.LittleEndian.PutUint64(b[8:], sector)
	return b
}

// However a request is split over segments, it is the same request.
func FuzzSplits(f *testing.F) {
	f.Add(uint32(Out), uint64(8), uint8(5), uint8(16), uint16(1024))
	f.Add(uint32(In), uint64(1), uint8(0), uint8(3), uint16(512))
	f.Add(uint32(WriteZeroes), uint64(0), uint8(16), uint8(1), uint16(16))
	f.Fuzz(func(t *testing.T, kind uint32, sector uint64, at, at2 uint8, n uint16) {
		d := &Disk{SizeBytes: 1 << 20, BlockBytes: 512}
		body := make([]byte, n)
		write := Kind(kind) == In || Kind(kind) == GetID
		h := head(Kind(kind), sector)
		plain := &virtqueue.Chain{Segments: []virtqueue.Segment{{Data: h}, {Data: body, DeviceWrites: write}, {Data: make([]byte, 1), DeviceWrites: true}}}
		var a, b Request
		want, err := a.Parse(plain, d)
		if err != nil {
			t.Fatal(err)
		}
		cut := min(int(at), 16)
		split := &virtqueue.Chain{}
		add := func(data []byte, write bool) {
			split.Segments = append(split.Segments, virtqueue.Segment{Data: data, DeviceWrites: write})
		}
		add(h[:cut], false)
		if cut2 := min(int(at2), len(body)); write {
			add(h[cut:], false)
			add(body[:cut2], true)
			add(append(append([]byte{}, body[cut2:]...), 0), true) // the status with the data
		} else {
			add(append(append([]byte{}, h[cut:]...), body[:cut2]...), false) // the head with the data
			add(body[cut2:], false)
			add(make([]byte, 1), true)
		}
		got, err := b.Parse(split, d)
		if err != nil || got != want || a.Kind != b.Kind || a.Bytes != b.Bytes || a.Offset != b.Offset {
			t.Errorf("split: %d %+v, %v; whole: %d %+v", got, b, err, want, a)
		}
		if want == OK && (a.Kind == In || a.Kind == Out) && (a.Offset < 0 || a.Offset+a.Bytes > d.SizeBytes) {
			t.Errorf("outside the disk: %+v", a)
		}
	})
}
