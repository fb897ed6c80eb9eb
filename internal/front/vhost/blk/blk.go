// Package blk reads the requests of a virtio block device (virtio 1.2, section
// 5.2) out of descriptor chains. It is pure.
package blk

import (
	"encoding/binary"
	"errors"
	"fmt"

	"arrowwalk/internal/front/vhost/virtqueue"
)

// SectorSize is the unit of a request's addresses.
const SectorSize = 512

// Kind is what a request asks.
type Kind uint32

// The kinds.
const (
	In          Kind = 0
	Out         Kind = 1
	Flush       Kind = 4
	GetID       Kind = 8
	Discard     Kind = 11
	WriteZeroes Kind = 13
)

// Status is a request's last byte.
type Status byte

// The statuses.
const (
	OK          Status = 0
	IOErr       Status = 1
	Unsupported Status = 2
)

// Feature bits of the device.
const (
	FeatureSegMax      = 1 << 2
	FeatureBlkSize     = 1 << 6
	FeatureFlush       = 1 << 9
	FeatureMQ          = 1 << 12
	FeatureDiscard     = 1 << 13
	FeatureWriteZeroes = 1 << 14
	FeatureIndirect    = 1 << 28
	FeatureEventIdx    = 1 << 29
	FeatureProtocol    = 1 << 30 // VHOST_USER_F_PROTOCOL_FEATURES
	FeatureVersion1    = 1 << 32
)

// Range is a part of a disk for Discard and WriteZeroes, in bytes.
type Range struct {
	Offset, Bytes int64
	Unmap         bool
}

// Request is one request. Data is guest memory: what Out writes to the disk, or
// what In fills.
type Request struct {
	Kind   Kind
	Offset int64 // bytes
	Bytes  int64
	Data   [][]byte
	Ranges []Range
	status []byte
}

const (
	headSize = 16
	idSize   = 20
	// MaxRanges is how many ranges a request may name.
	MaxRanges = 16
	rangeSize = 16
)

// ErrMalformed says that a chain is no request: there may be no place for a status.
var ErrMalformed = errors.New("virtio-blk: no request")

// Disk is what requests are checked against.
type Disk struct {
	SizeBytes  int64
	BlockBytes int64 // requests are of whole blocks
	ReadOnly   bool
}

// Parse reads a request out of a chain, which may be split in any way. Where
// the chain has a place for a status, a bad request is answered there: status
// is then not OK, and err nil.
func (r *Request) Parse(c *virtqueue.Chain, d *Disk) (Status, error) {
	r.Data, r.Ranges, r.status = r.Data[:0], r.Ranges[:0], nil
	segments := c.Segments
	if len(segments) < 2 || segments[0].DeviceWrites || !segments[len(segments)-1].DeviceWrites {
		return IOErr, fmt.Errorf("%w: %d segments", ErrMalformed, len(segments))
	}
	last := segments[len(segments)-1].Data
	if len(last) == 0 {
		return IOErr, fmt.Errorf("%w: no room for a status", ErrMalformed)
	}
	r.status = last[len(last)-1:]
	var head [headSize]byte
	rest, got := segments, 0
	for got < headSize { // the head may be split over segments
		if len(rest) == 0 || rest[0].DeviceWrites {
			return IOErr, fmt.Errorf("%w: a head of %d bytes", ErrMalformed, got)
		}
		n := copy(head[got:], rest[0].Data)
		got += n
		if n < len(rest[0].Data) {
			r.add(rest[0].Data[n:])
		}
		rest = rest[1:]
	}
	return r.parse(head[:], rest, d), nil
}

func (r *Request) add(b []byte) {
	if len(b) > 0 {
		r.Data = append(r.Data, b)
		r.Bytes += int64(len(b))
	}
}

func (r *Request) parse(head []byte, rest []virtqueue.Segment, d *Disk) Status {
	r.Bytes = 0
	for _, b := range r.Data {
		r.Bytes += int64(len(b))
	}
	r.Kind = Kind(binary.LittleEndian.Uint32(head))
	sector := binary.LittleEndian.Uint64(head[8:])
	writes := r.Kind == In || r.Kind == GetID
	if writes && r.Bytes > 0 {
		return IOErr // more to be read than a head
	}
	for i, s := range rest {
		data := s.Data
		if i == len(rest)-1 {
			data = data[:len(data)-1] // the status
		}
		if s.DeviceWrites != writes && len(data) > 0 {
			return IOErr
		}
		r.add(data)
	}
	switch r.Kind {
	case In, Out:
		return r.checkTransfer(sector, d)
	case Flush:
		return OK
	case GetID:
		if r.Bytes < idSize {
			return IOErr
		}
		return OK
	case Discard, WriteZeroes:
		return r.ranges(d)
	}
	return Unsupported
}

func (r *Request) checkTransfer(sector uint64, d *Disk) Status {
	if sector > uint64(d.SizeBytes)/SectorSize {
		return IOErr
	}
	r.Offset = int64(sector) * SectorSize
	if r.Bytes == 0 || r.Bytes%d.BlockBytes != 0 || r.Offset%d.BlockBytes != 0 || r.Bytes > d.SizeBytes-r.Offset || r.Kind == Out && d.ReadOnly {
		return IOErr
	}
	return OK
}

// ranges reads the ranges of a Discard or WriteZeroes, once, out of memory
// that the guest may change meanwhile.
func (r *Request) ranges(d *Disk) Status {
	if r.Bytes == 0 || r.Bytes%rangeSize != 0 || r.Bytes > MaxRanges*rangeSize || d.ReadOnly {
		return IOErr
	}
	var text [MaxRanges * rangeSize]byte
	n := 0
	for _, b := range r.Data {
		n += copy(text[n:], b)
	}
	for at := 0; at < n; at += rangeSize {
		sector := binary.LittleEndian.Uint64(text[at:])
		bytes := int64(binary.LittleEndian.Uint32(text[at+8:])) * SectorSize
		flags := binary.LittleEndian.Uint32(text[at+12:])
		if flags&^1 != 0 || flags != 0 && r.Kind == Discard {
			return Unsupported
		}
		if sector > uint64(d.SizeBytes)/SectorSize || bytes > d.SizeBytes-int64(sector)*SectorSize || bytes%d.BlockBytes != 0 || int64(sector)*SectorSize%d.BlockBytes != 0 {
			return IOErr
		}
		r.Ranges = append(r.Ranges, Range{int64(sector) * SectorSize, bytes, flags&1 != 0})
	}
	r.Bytes = 0
	return OK
}

// WriteStatus writes the status, and returns how many bytes of the chain were
// written in all.
func (r *Request) WriteStatus(s Status) uint32 {
	r.status[0] = byte(s)
	if s == OK && r.Kind == In {
		return uint32(r.Bytes) + 1
	}
	if s == OK && r.Kind == GetID {
		return idSize + 1
	}
	return 1
}

// WriteID writes a device's name into a GetID's data.
func (r *Request) WriteID(name string) {
	var id [idSize]byte
	copy(id[:], name)
	rest := id[:]
	for _, b := range r.Data {
		rest = rest[copy(b, rest):]
	}
}

// Config is the configuration space of a device.
type Config struct {
	SizeBytes  int64
	BlockBytes int64
	Queues     uint16
	SegMax     uint32
}

// Append writes the configuration space (virtio 1.2, section 5.2.4).
func (c Config) Append(b []byte) []byte {
	le := binary.LittleEndian
	var p [60]byte
	le.PutUint64(p[0:], uint64(c.SizeBytes)/SectorSize)
	le.PutUint32(p[12:], c.SegMax)
	le.PutUint32(p[20:], uint32(c.BlockBytes))
	le.PutUint16(p[34:], c.Queues)
	le.PutUint32(p[36:], 1<<16) // max_discard_sectors
	le.PutUint32(p[40:], MaxRanges)
	le.PutUint32(p[44:], uint32(c.BlockBytes)/SectorSize)
	le.PutUint32(p[48:], 1<<16) // max_write_zeroes_sectors
	le.PutUint32(p[52:], MaxRanges)
	p[56] = 1 // write_zeroes_may_unmap
	return append(b, p[:]...)
}
