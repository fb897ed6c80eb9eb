package blk

import (
	"encoding/binary"
	"testing"

	"arrowwalk/internal/front/vhost/virtqueue"
)

// requestHeader returns an encoded request header.
func requestHeader(kind Kind, sector uint64) []byte {
	b := make([]byte, 16)
	binary.LittleEndian.PutUint32(b, uint32(kind))
	binary.LittleEndian.PutUint64(b[8:], sector)
	return b
}

// FuzzSplits checks that a request parses to the same result however it is split
// over segments.
func FuzzSplits(f *testing.F) {
	f.Add(uint32(Out), uint64(8), uint8(5), uint8(16), uint16(1024))
	f.Add(uint32(In), uint64(1), uint8(0), uint8(3), uint16(512))
	f.Add(uint32(WriteZeroes), uint64(0), uint8(16), uint8(1), uint16(16))
	f.Fuzz(func(t *testing.T, kind uint32, sector uint64, headerCut, bodyCut uint8, n uint16) {
		disk := &Disk{SizeBytes: 1 << 20, BlockBytes: 512}
		body := make([]byte, n)
		write := Kind(kind) == In || Kind(kind) == GetID
		header := requestHeader(Kind(kind), sector)
		wholeChain := &virtqueue.Chain{Segments: []virtqueue.Segment{{Data: header}, {Data: body, DeviceWrites: write}, {Data: make([]byte, 1), DeviceWrites: true}}}
		var whole, divided Request
		want, err := whole.Parse(wholeChain, disk)
		if err != nil {
			t.Fatal(err)
		}
		headerSplit := min(int(headerCut), 16)
		dividedChain := &virtqueue.Chain{}
		appendSegment := func(data []byte, write bool) {
			dividedChain.Segments = append(dividedChain.Segments, virtqueue.Segment{Data: data, DeviceWrites: write})
		}
		appendSegment(header[:headerSplit], false)
		if bodySplit := min(int(bodyCut), len(body)); write {
			appendSegment(header[headerSplit:], false)
			appendSegment(body[:bodySplit], true)
			appendSegment(append(append([]byte{}, body[bodySplit:]...), 0), true) // the status byte in the last data segment
		} else {
			appendSegment(append(append([]byte{}, header[headerSplit:]...), body[:bodySplit]...), false) // the rest of the header in a data segment
			appendSegment(body[bodySplit:], false)
			appendSegment(make([]byte, 1), true)
		}
		got, err := divided.Parse(dividedChain, disk)
		if err != nil || got != want || whole.Kind != divided.Kind || whole.Bytes != divided.Bytes || whole.Offset != divided.Offset {
			t.Errorf("split: status %d, %+v, %v; whole: status %d, %+v", got, divided, err, want, whole)
		}
		if want == OK && (whole.Kind == In || whole.Kind == Out) && (whole.Offset < 0 || whole.Offset+whole.Bytes > disk.SizeBytes) {
			t.Errorf("outside the disk: %+v", whole)
		}
	})
}
