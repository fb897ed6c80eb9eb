// Package blk parses the requests of a virtio block device (virtio 1.2, section
// 5.2) from descriptor chains. It has no side effects outside of guest memory.
package blk

import (
	"encoding/binary"
	"errors"
	"fmt"

	"arrowwalk/internal/front/vhost/virtqueue"
)

// SectorSize is the unit of the addresses in requests, in bytes.
const SectorSize = 512

// Kind is the type of a request.
type Kind uint32

// Request types, with the numbers of the specification.
const (
	In          Kind = 0
	Out         Kind = 1
	Flush       Kind = 4
	GetID       Kind = 8
	Discard     Kind = 11
	WriteZeroes Kind = 13
)

// Status is the result of a request, the last byte of its chain.
type Status byte

// Results, with the numbers of the specification.
const (
	OK          Status = 0
	IOErr       Status = 1
	Unsupported Status = 2
)

// Feature bits that the device can offer.
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

// Range is a range of the disk for Discard and WriteZeroes, in bytes.
type Range struct {
	Offset, Bytes int64
	Unmap         bool
}

// Request is one parsed request. Data is guest memory: the source of an Out or the
// destination of an In.
type Request struct {
	Kind   Kind
	Offset int64 // on the disk, in bytes
	Bytes  int64
	Data   [][]byte
	Ranges []Range
	status []byte
}

const (
	headerSize = 16
	idSize     = 20
	// MaxRanges is the largest number of ranges in a request.
	MaxRanges = 16
	rangeSize = 16
)

// ErrMalformed reports that a chain is not a request. It may have no byte for a
// status.
var ErrMalformed = errors.New("virtio-blk: malformed request")

// Disk holds the properties of a disk that requests are checked against.
type Disk struct {
	SizeBytes  int64
	BlockBytes int64 // requests must cover whole blocks
	ReadOnly   bool
}

// Parse reads a request from a chain, which may be divided into segments in any way.
// For a chain that has a status byte but holds an invalid request, it returns the
// status to answer and a nil error.
func (r *Request) Parse(chain *virtqueue.Chain, disk *Disk) (Status, error) {
	r.Data, r.Ranges, r.status = r.Data[:0], r.Ranges[:0], nil
	segments := chain.Segments
	if len(segments) < 2 || segments[0].DeviceWrites || !segments[len(segments)-1].DeviceWrites {
		return IOErr, fmt.Errorf("%w: a chain of %d segments", ErrMalformed, len(segments))
	}
	lastData := segments[len(segments)-1].Data
	if len(lastData) == 0 {
		return IOErr, fmt.Errorf("%w: no byte for a status", ErrMalformed)
	}
	r.status = lastData[len(lastData)-1:]
	var header [headerSize]byte
	rest, headerBytes := segments, 0
	for headerBytes < headerSize { // the header may be split over segments
		if len(rest) == 0 || rest[0].DeviceWrites {
			return IOErr, fmt.Errorf("%w: a header of %d bytes", ErrMalformed, headerBytes)
		}
		n := copy(header[headerBytes:], rest[0].Data)
		headerBytes += n
		if n < len(rest[0].Data) {
			r.addData(rest[0].Data[n:])
		}
		rest = rest[1:]
	}
	return r.parseBody(header[:], rest, disk), nil
}

// addData appends a segment's bytes to Data.
func (r *Request) addData(b []byte) {
	if len(b) > 0 {
		r.Data = append(r.Data, b)
		r.Bytes += int64(len(b))
	}
}

// parseBody parses the header and the segments after it, and returns the status to
// answer if the request is invalid.
func (r *Request) parseBody(header []byte, rest []virtqueue.Segment, disk *Disk) Status {
	r.Bytes = 0
	for _, b := range r.Data {
		r.Bytes += int64(len(b))
	}
	r.Kind = Kind(binary.LittleEndian.Uint32(header))
	sector := binary.LittleEndian.Uint64(header[8:])
	writes := r.Kind == In || r.Kind == GetID
	if writes && r.Bytes > 0 {
		return IOErr // device-readable data after the header
	}
	for i, segment := range rest {
		data := segment.Data
		if i == len(rest)-1 {
			data = data[:len(data)-1] // without the status byte
		}
		if segment.DeviceWrites != writes && len(data) > 0 {
			return IOErr
		}
		r.addData(data)
	}
	switch r.Kind {
	case In, Out:
		return r.checkTransfer(sector, disk)
	case Flush:
		return OK
	case GetID:
		if r.Bytes < idSize {
			return IOErr
		}
		return OK
	case Discard, WriteZeroes:
		return r.parseRanges(disk)
	}
	return Unsupported
}

// checkTransfer checks that an In or Out covers whole blocks inside the disk.
func (r *Request) checkTransfer(sector uint64, disk *Disk) Status {
	if sector > uint64(disk.SizeBytes)/SectorSize {
		return IOErr
	}
	r.Offset = int64(sector) * SectorSize
	if r.Bytes == 0 || r.Bytes%disk.BlockBytes != 0 || r.Offset%disk.BlockBytes != 0 || r.Bytes > disk.SizeBytes-r.Offset || r.Kind == Out && disk.ReadOnly {
		return IOErr
	}
	return OK
}

// parseRanges parses the ranges of a Discard or WriteZeroes. It copies them first,
// because the guest may change its memory at any time.
func (r *Request) parseRanges(disk *Disk) Status {
	if r.Bytes == 0 || r.Bytes%rangeSize != 0 || r.Bytes > MaxRanges*rangeSize || disk.ReadOnly {
		return IOErr
	}
	var encoded [MaxRanges * rangeSize]byte
	n := 0
	for _, b := range r.Data {
		n += copy(encoded[n:], b)
	}
	for pos := 0; pos < n; pos += rangeSize {
		sector := binary.LittleEndian.Uint64(encoded[pos:])
		length := int64(binary.LittleEndian.Uint32(encoded[pos+8:])) * SectorSize
		flags := binary.LittleEndian.Uint32(encoded[pos+12:])
		if flags&^1 != 0 || flags != 0 && r.Kind == Discard {
			return Unsupported
		}
		if sector > uint64(disk.SizeBytes)/SectorSize || length > disk.SizeBytes-int64(sector)*SectorSize || length%disk.BlockBytes != 0 || int64(sector)*SectorSize%disk.BlockBytes != 0 {
			return IOErr
		}
		r.Ranges = append(r.Ranges, Range{int64(sector) * SectorSize, length, flags&1 != 0})
	}
	r.Bytes = 0
	return OK
}

// WriteStatus writes the status byte and returns how many bytes the device wrote to
// the chain.
func (r *Request) WriteStatus(status Status) uint32 {
	r.status[0] = byte(status)
	if status == OK && r.Kind == In {
		return uint32(r.Bytes) + 1
	}
	if status == OK && r.Kind == GetID {
		return idSize + 1
	}
	return 1
}

// WriteID writes a device's name, truncated to 20 bytes, to the data of a GetID.
func (r *Request) WriteID(name string) {
	var id [idSize]byte
	copy(id[:], name)
	rest := id[:]
	for _, b := range r.Data {
		rest = rest[copy(b, rest):]
	}
}

// Config holds the fields of a device's configuration space. Sizes are in bytes.
type Config struct {
	SizeBytes  int64
	BlockBytes int64
	Queues     uint16
	SegMax     uint32
}

// Append appends the encoded configuration space (virtio 1.2, section 5.2.4) to b.
func (c Config) Append(b []byte) []byte {
	le := binary.LittleEndian
	var space [60]byte
	le.PutUint64(space[0:], uint64(c.SizeBytes)/SectorSize)
	le.PutUint32(space[12:], c.SegMax)
	le.PutUint32(space[20:], uint32(c.BlockBytes))
	le.PutUint16(space[34:], c.Queues)
	le.PutUint32(space[36:], 1<<16) // max_discard_sectors
	le.PutUint32(space[40:], MaxRanges)
	le.PutUint32(space[44:], uint32(c.BlockBytes)/SectorSize)
	le.PutUint32(space[48:], 1<<16) // max_write_zeroes_sectors
	le.PutUint32(space[52:], MaxRanges)
	space[56] = 1 // write_zeroes_may_unmap
	return append(b, space[:]...)
}
