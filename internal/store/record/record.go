// Package record encodes the store's log: segments that start with a header and
// contain groups, and groups that contain records. It does no I/O. Numbers are
// big-endian, checksums are CRC-32C (RFC 3720 appendix B.4).
//
//	segment  = header(512) group*
//	group    = header(64) payload(length) pad to 512
//	payload  = record*
//	record   = header(48) space name meta checksum(4)* body
//
// A group is the unit of a sync. It is written only after the group before it was
// synced, so a group that is followed by another was acknowledged.
package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// Sizes in bytes, unless noted otherwise.
const (
	GroupAlign          = 512 // alignment of groups
	SegmentHeaderLen    = 512
	GroupHeaderLen      = 64
	RecordHeaderLen     = 48       // fixed part of a record, before the space
	BlockSize           = 64 << 10 // part of a body that one checksum covers
	MaxNameAndMetaBytes = 32 << 10 // name and meta together
	MaxChecksums        = 1 << 16  // number of checksums of a body, which limits it to 4 GiB
	MaxGroupBytes       = 1 << 30  // payload of a group
)

// Errors that callers test for with errors.Is.
var (
	ErrTruncated = errors.New("cut short")
	ErrChecksum  = errors.New("bad checksum")
	ErrMalformed = errors.New("not of this form")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// UpdateChecksum returns the CRC-32C of data appended to the bytes that checksum
// covers.
func UpdateChecksum(checksum uint32, data []byte) uint32 {
	return crc32.Update(checksum, castagnoli, data)
}

// BlockCount returns the number of blocks, and so of checksums, of a body.
func BlockCount(size int64) int { return int((size + BlockSize - 1) / BlockSize) }

// AppendChecksums appends the checksum of each block of a body to sums.
func AppendChecksums(sums []uint32, body []byte) []uint32 {
	for len(body) > 0 {
		n := min(len(body), BlockSize)
		sums = append(sums, Checksum(body[:n]))
		body = body[n:]
	}
	return sums
}

// SegmentHeader is the header of a segment.
type SegmentHeader struct {
	Store  uint64 // random identity of the store
	Number uint32 // segment number, starting at 1
	// PrevSegmentEnd is the end of the acknowledged groups in the previous segment;
	// the bytes after it were not acknowledged. 0: the previous segment ends with
	// its last group.
	PrevSegmentEnd int64
}

const (
	segmentMagic = "AWSEG002"
	groupMagic   = "AWG2"
)

// Append appends the encoded header, padded to SegmentHeaderLen.
func (s SegmentHeader) Append(b []byte) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.BigEndian.AppendUint64(b, s.Store)
	b = binary.BigEndian.AppendUint32(b, s.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(s.PrevSegmentEnd))
	b = binary.BigEndian.AppendUint32(b, Checksum(b[start:]))
	return append(b, make([]byte, SegmentHeaderLen-(len(b)-start))...)
}

// ParseSegmentHeader decodes a segment header and verifies its checksum.
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

// GroupHeader is the header of a group.
type GroupHeader struct {
	Store    uint64
	Number   uint64 // group number, starting at 1 and continuing across segments
	Length   uint32 // size of the payload
	Count    uint32 // number of records
	Checksum uint32 // CRC-32C of the payload
}

// Append appends the encoded header, padded to GroupHeaderLen.
func (g GroupHeader) Append(b []byte) []byte {
	start := len(b)
	b = append(b, groupMagic...)
	b = binary.BigEndian.AppendUint64(b, g.Store)
	b = binary.BigEndian.AppendUint64(b, g.Number)
	b = binary.BigEndian.AppendUint32(b, g.Length)
	b = binary.BigEndian.AppendUint32(b, g.Count)
	b = binary.BigEndian.AppendUint32(b, g.Checksum)
	b = binary.BigEndian.AppendUint32(b, Checksum(b[start:]))
	return append(b, make([]byte, GroupHeaderLen-(len(b)-start))...)
}

// ParseGroupHeader decodes a group header and verifies its checksum.
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

// GroupSize returns the size of a group with a payload of length bytes, including
// header and padding.
func GroupSize(length int64) int64 {
	return (GroupHeaderLen + length + GroupAlign - 1) / GroupAlign * GroupAlign
}

// Kind is the kind of a record.
type Kind uint8

// Record kinds.
const (
	KindPut    Kind = 1
	KindDelete Kind = 2 // Version is the version of the delete itself
)

// Record flags.
const (
	FlagWhole    uint8 = 1 << iota // range requests do not apply to the blob
	FlagBodyFile                   // the body is in a file of its own
)

// Record describes one write or delete.
type Record struct {
	Kind      Kind
	Flags     uint8
	Space     string
	Name      string
	Meta      []byte
	Size      int64    // size of the body
	Version   uint64   // increases with every record except those that compaction moves
	BodyFile  uint64   // number of the body file; 0: the body follows the record
	Checksums []uint32 // checksum of each block of the body
}

// HeaderSize returns the encoded size of the record without its body.
func (r *Record) HeaderSize() int {
	return RecordHeaderLen + len(r.Space) + len(r.Name) + len(r.Meta) + 4*len(r.Checksums)
}

// InlineSize returns the size of the body that follows the record in the log.
func (r *Record) InlineSize() int64 {
	if r.Flags&FlagBodyFile != 0 {
		return 0
	}
	return r.Size
}

// Append appends the encoded record without its body.
func (r *Record) Append(b []byte) []byte {
	start := len(b)
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
	for _, checksum := range r.Checksums {
		b = binary.BigEndian.AppendUint32(b, checksum)
	}
	headerSum := UpdateChecksum(Checksum(b[start:start+44]), b[start+RecordHeaderLen:])
	binary.BigEndian.PutUint32(b[start+44:], headerSum)
	return b
}

// ParseHeaderSize returns the HeaderSize of the record that starts with b, which
// must hold at least RecordHeaderLen bytes. It does not verify the checksum.
func ParseHeaderSize(b []byte) (int, error) {
	if len(b) < RecordHeaderLen {
		return 0, fmt.Errorf("record: %w", ErrTruncated)
	}
	checksums := binary.BigEndian.Uint32(b[8:])
	if checksums > MaxChecksums {
		return 0, fmt.Errorf("record: %w: %d checksums", ErrMalformed, checksums)
	}
	return RecordHeaderLen + int(b[2]) + int(binary.BigEndian.Uint16(b[4:])) + int(binary.BigEndian.Uint16(b[6:])) + 4*int(checksums), nil
}

// Parse decodes the record at the start of b, without its body, and verifies its
// checksum. It returns the record, which does not alias b, and its HeaderSize.
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
	spaceLen, nameLen, metaLen := int(b[2]), int(binary.BigEndian.Uint16(b[4:])), int(binary.BigEndian.Uint16(b[6:]))
	rest := b[RecordHeaderLen:n]
	r.Space, rest = string(rest[:spaceLen]), rest[spaceLen:]
	r.Name, rest = string(rest[:nameLen]), rest[nameLen:]
	if metaLen > 0 {
		r.Meta = append([]byte(nil), rest[:metaLen]...)
	}
	rest = rest[metaLen:]
	for ; len(rest) > 0; rest = rest[4:] {
		r.Checksums = append(r.Checksums, binary.BigEndian.Uint32(rest))
	}
	return r, n, r.validate()
}

// validate checks that the fields are consistent with each other.
func (r *Record) validate() error {
	hasBodyFile := r.Flags&FlagBodyFile != 0
	switch {
	case r.Kind != KindPut && r.Kind != KindDelete,
		r.Size < 0 || r.Size > MaxChecksums*BlockSize || BlockCount(r.Size) != len(r.Checksums),
		r.Kind == KindDelete && r.Size != 0,
		hasBodyFile != (r.BodyFile != 0),
		r.Flags&^(FlagWhole|FlagBodyFile) != 0:
		return fmt.Errorf("record: %w", ErrMalformed)
	}
	return nil
}
