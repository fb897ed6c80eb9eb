// Package record is the store's form on disk: segments that begin with a
// header and hold groups, groups that hold records. It does no I/O. Numbers are
// big-endian, checksums are CRC-32C (RFC 3720 appendix B.4).
//
//	segment  = header(512) group*
//	group    = header(64) payload(length) pad to 512
//	payload  = record*
//	record   = header(48) space name meta sum(4)* body
//
// A group is what one sync makes durable. It is written after the one before it
// was synced, so a group that is followed by another was acknowledged whole.
package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Sizes in bytes.
const (
	GroupAlign          = 512      // groups begin at multiples of it
	SegmentHeaderLen    = 512      // of a segment's header
	GroupHeaderLen      = 64       // of a group's header
	RecordHeaderLen     = 48       // of a record's header without names and sums
	BlockSize           = 64 << 10 // of a body that one checksum covers
	MaxNameAndMetaBytes = 32 << 10 // name and meta together
	MaxChecksums        = 1 << 16  // checksums of a body: 4 GiB
	MaxGroupBytes       = 1 << 30
)

// Errors that readers branch on.
var (
	ErrTruncated = errors.New("cut short")
	ErrChecksum  = errors.New("bad checksum")
	ErrMalformed = errors.New("not of this form")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of text.
func Checksum(text []byte) uint32 { return crc32.Checksum(text, table) }

// UpdateChecksum returns the CRC-32C of what sum covers with text after it.
func UpdateChecksum(sum uint32, text []byte) uint32 { return crc32.Update(sum, table, text) }

// BlockCount returns how many checksums a body of size bytes has.
func BlockCount(size int64) int { return int((size + BlockSize - 1) / BlockSize) }

// AppendChecksums appends the checksums of a whole body.
func AppendChecksums(to []uint32, body []byte) []uint32 {
	for len(body) > 0 {
		n := min(len(body), BlockSize)
		to = append(to, Checksum(body[:n]))
		body = body[n:]
	}
	return to
}

// SegmentHeader is a segment's header.
type SegmentHeader struct {
	Store  uint64 // of which store: random, given when it was made
	Number uint32 // from 1 up
	// PrevSegmentEnd is where the segment before it ends: what stands there after it
	// was not acknowledged. 0: where its groups end.
	PrevSegmentEnd int64
}

const (
	segmentMagic = "AWSEG002"
	groupMagic   = "AWG2"
)

// Append appends the header, padded to SegmentLen.
func (s SegmentHeader) Append(b []byte) []byte {
	at := len(b)
	b = append(b, segmentMagic...)
	b = binary.BigEndian.AppendUint64(b, s.Store)
	b = binary.BigEndian.AppendUint32(b, s.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(s.PrevSegmentEnd))
	b = binary.BigEndian.AppendUint32(b, Checksum(b[at:]))
	return append(b, make([]byte, SegmentHeaderLen-(len(b)-at))...)
}

// ParseSegmentHeader reads a segment's header.
func ParseSegmentHeader(b []byte) (SegmentHeader, error) {
	if len(b) < 32 {
		return SegmentHeader{}, fmt.Errorf("segment header: %w", ErrTruncated)
	}
	if string(b[:8]) != segmentMagic {
		return SegmentHeader{}, fmt.Errorf("segment header: %w", ErrMalformed)
	}
	if Checksum(b[:28]) != binary.BigEndian.Uint32(b[28:]) {
		return SegmentHeader{}, fmt.Errorf("segment header: %w", ErrChecksum)
	}
	s := SegmentHeader{Store: binary.BigEndian.Uint64(b[8:]), Number: binary.BigEndian.Uint32(b[16:]), PrevSegmentEnd: int64(binary.BigEndian.Uint64(b[20:]))}
	if s.PrevSegmentEnd < 0 || s.Number == 0 {
		return SegmentHeader{}, fmt.Errorf("segment header: %w", ErrMalformed)
	}
	return s, nil
}

// GroupHeader is a group's header.
type GroupHeader struct {
	Store    uint64
	Number   uint64 // from 1 up over all segments
	Length   uint32 // of the payload
	Count    uint32 // records
	Checksum uint32 // of the payload
}

// Append appends the header.
func (g GroupHeader) Append(b []byte) []byte {
	at := len(b)
	b = append(b, groupMagic...)
	b = binary.BigEndian.AppendUint64(b, g.Store)
	b = binary.BigEndian.AppendUint64(b, g.Number)
	b = binary.BigEndian.AppendUint32(b, g.Length)
	b = binary.BigEndian.AppendUint32(b, g.Count)
	b = binary.BigEndian.AppendUint32(b, g.Checksum)
	b = binary.BigEndian.AppendUint32(b, Checksum(b[at:]))
	return append(b, make([]byte, GroupHeaderLen-(len(b)-at))...)
}

// ParseGroupHeader reads a group's header.
func ParseGroupHeader(b []byte) (GroupHeader, error) {
	if len(b) < 36 {
		return GroupHeader{}, fmt.Errorf("group header: %w", ErrTruncated)
	}
	if string(b[:4]) != groupMagic {
		return GroupHeader{}, fmt.Errorf("group header: %w", ErrMalformed)
	}
	if Checksum(b[:32]) != binary.BigEndian.Uint32(b[32:]) {
		return GroupHeader{}, fmt.Errorf("group header: %w", ErrChecksum)
	}
	g := GroupHeader{Store: binary.BigEndian.Uint64(b[4:]), Number: binary.BigEndian.Uint64(b[12:]),
		Length: binary.BigEndian.Uint32(b[20:]), Count: binary.BigEndian.Uint32(b[24:]), Checksum: binary.BigEndian.Uint32(b[28:])}
	if g.Length > MaxGroupBytes || g.Count == 0 || int64(g.Count)*RecordHeaderLen > int64(g.Length) {
		return GroupHeader{}, fmt.Errorf("group header: %w", ErrMalformed)
	}
	return g, nil
}

// GroupSize returns the bytes that a group with a payload of length bytes takes.
func GroupSize(length int64) int64 {
	return (GroupHeaderLen + length + GroupAlign - 1) / GroupAlign * GroupAlign
}

// Kind of a record.
type Kind uint8

// Kinds of records.
const (
	KindPut    Kind = 1
	KindDelete Kind = 2 // Version is the delete's own
)

// Flags of a record.
const (
	FlagWhole    uint8 = 1 << iota // ranges do not apply to the blob
	FlagBodyFile                   // the body is in a file of its own
)

// Record is what one write or delete leaves.
type Record struct {
	Kind      Kind
	Flags     uint8
	Space     string
	Name      string
	Meta      []byte
	Size      int64    // of the body
	Version   uint64   // grows with each record
	BodyFile  uint64   // of the body's own file; 0: the body follows the record
	Checksums []uint32 // of the body's blocks
}

// HeaderSize returns the bytes that the record takes before its body.
func (r *Record) HeaderSize() int {
	return RecordHeaderLen + len(r.Space) + len(r.Name) + len(r.Meta) + 4*len(r.Checksums)
}

// InlineSize returns the bytes of the body that follow the record.
func (r *Record) InlineSize() int64 {
	if r.Flags&FlagBodyFile != 0 {
		return 0
	}
	return r.Size
}

// Append appends the record without its body.
func (r *Record) Append(b []byte) []byte {
	at := len(b)
	b = append(b, byte(r.Kind), r.Flags, byte(len(r.Space)), 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(r.Name)))
	b = binary.BigEndian.AppendUint16(b, uint16(len(r.Meta)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Checksums)))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Size))
	b = binary.BigEndian.AppendUint64(b, r.Version)
	b = binary.BigEndian.AppendUint64(b, r.BodyFile)
	b = append(b, make([]byte, 12)...)
	b = append(b, r.Space...)
	b = append(b, r.Name...)
	b = append(b, r.Meta...)
	for _, s := range r.Checksums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	sum := UpdateChecksum(Checksum(b[at:at+44]), b[at+RecordHeaderLen:])
	binary.BigEndian.PutUint32(b[at+44:], sum)
	return b
}

// ParseHeaderSize returns the length that a record's first HeadLen bytes tell of what
// stands before its body. They are not checked.
func ParseHeaderSize(b []byte) (int, error) {
	if len(b) < RecordHeaderLen {
		return 0, fmt.Errorf("record: %w", ErrTruncated)
	}
	sums := binary.BigEndian.Uint32(b[8:])
	if sums > MaxChecksums {
		return 0, fmt.Errorf("record: %w: %d checksums", ErrMalformed, sums)
	}
	return RecordHeaderLen + int(b[2]) + int(binary.BigEndian.Uint16(b[4:])) + int(binary.BigEndian.Uint16(b[6:])) + 4*int(sums), nil
}

// Parse reads a record without its body from the beginning of b and returns
// how many bytes it took. What it returns does not share b's memory.
func Parse(b []byte) (Record, int, error) {
	n, err := ParseHeaderSize(b)
	if err != nil {
		return Record{}, 0, err
	}
	if len(b) < n {
		return Record{}, 0, fmt.Errorf("record: %w", ErrTruncated)
	}
	if UpdateChecksum(Checksum(b[:44]), b[RecordHeaderLen:n]) != binary.BigEndian.Uint32(b[44:]) {
		return Record{}, 0, fmt.Errorf("record: %w", ErrChecksum)
	}
	r := Record{Kind: Kind(b[0]), Flags: b[1], Size: int64(binary.BigEndian.Uint64(b[12:])),
		Version: binary.BigEndian.Uint64(b[20:]), BodyFile: binary.BigEndian.Uint64(b[28:])}
	space, name, meta := int(b[2]), int(binary.BigEndian.Uint16(b[4:])), int(binary.BigEndian.Uint16(b[6:]))
	rest := b[RecordHeaderLen:n]
	r.Space, rest = string(rest[:space]), rest[space:]
	r.Name, rest = string(rest[:name]), rest[name:]
	if meta > 0 {
		r.Meta = append([]byte(nil), rest[:meta]...)
	}
	rest = rest[meta:]
	for ; len(rest) > 0; rest = rest[4:] {
		r.Checksums = append(r.Checksums, binary.BigEndian.Uint32(rest))
	}
	return r, n, r.check()
}

func (r *Record) check() error {
	big := r.Flags&FlagBodyFile != 0
	switch {
	case r.Kind != KindPut && r.Kind != KindDelete,
		r.Size < 0 || r.Size > MaxChecksums*BlockSize || BlockCount(r.Size) != len(r.Checksums),
		r.Kind == KindDelete && r.Size != 0,
		big != (r.BodyFile != 0),
		r.Flags&^(FlagWhole|FlagBodyFile) != 0:
		return fmt.Errorf("record: %w", ErrMalformed)
	}
	return nil
}
