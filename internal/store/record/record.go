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
	Align      = 512      // groups begin at multiples of it
	SegmentLen = 512      // of a segment's header
	GroupLen   = 64       // of a group's header
	HeadLen    = 48       // of a record's header without names and sums
	Block      = 64 << 10 // of a body that one checksum covers
	NameMost   = 32 << 10 // name and meta together
	SumsMost   = 1 << 16  // checksums of a body: 4 GiB
	GroupMost  = 1 << 30
)

// Errors that readers branch on.
var (
	ErrShort = errors.New("cut short")
	ErrSum   = errors.New("bad checksum")
	ErrForm  = errors.New("not of this form")
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Sum returns the CRC-32C of text.
func Sum(text []byte) uint32 { return crc32.Checksum(text, table) }

// AddSum returns the CRC-32C of what sum covers with text after it.
func AddSum(sum uint32, text []byte) uint32 { return crc32.Update(sum, table, text) }

// Blocks returns how many checksums a body of size bytes has.
func Blocks(size int64) int { return int((size + Block - 1) / Block) }

// Sums appends the checksums of a whole body.
func Sums(to []uint32, body []byte) []uint32 {
	for len(body) > 0 {
		n := min(len(body), Block)
		to = append(to, Sum(body[:n]))
		body = body[n:]
	}
	return to
}

// Segment is a segment's header.
type Segment struct {
	Store  uint64 // of which store: random, given when it was made
	Number uint32 // from 1 up
	// Before is where the segment before it ends: what stands there after it
	// was not acknowledged. 0: where its groups end.
	Before int64
}

const (
	segmentMagic = "AWSEG002"
	groupMagic   = "AWG2"
)

// Append appends the header, padded to SegmentLen.
func (s Segment) Append(b []byte) []byte {
	at := len(b)
	b = append(b, segmentMagic...)
	b = binary.BigEndian.AppendUint64(b, s.Store)
	b = binary.BigEndian.AppendUint32(b, s.Number)
	b = binary.BigEndian.AppendUint64(b, uint64(s.Before))
	b = binary.BigEndian.AppendUint32(b, Sum(b[at:]))
	return append(b, make([]byte, SegmentLen-(len(b)-at))...)
}

// ParseSegment reads a segment's header.
func ParseSegment(b []byte) (Segment, error) {
	if len(b) < 32 {
		return Segment{}, fmt.Errorf("segment header: %w", ErrShort)
	}
	if string(b[:8]) != segmentMagic {
		return Segment{}, fmt.Errorf("segment header: %w", ErrForm)
	}
	if Sum(b[:28]) != binary.BigEndian.Uint32(b[28:]) {
		return Segment{}, fmt.Errorf("segment header: %w", ErrSum)
	}
	s := Segment{Store: binary.BigEndian.Uint64(b[8:]), Number: binary.BigEndian.Uint32(b[16:]), Before: int64(binary.BigEndian.Uint64(b[20:]))}
	if s.Before < 0 || s.Number == 0 {
		return Segment{}, fmt.Errorf("segment header: %w", ErrForm)
	}
	return s, nil
}

// Group is a group's header.
type Group struct {
	Store  uint64
	Number uint64 // from 1 up over all segments
	Length uint32 // of the payload
	Count  uint32 // records
	Sum    uint32 // of the payload
}

// Append appends the header.
func (g Group) Append(b []byte) []byte {
	at := len(b)
	b = append(b, groupMagic...)
	b = binary.BigEndian.AppendUint64(b, g.Store)
	b = binary.BigEndian.AppendUint64(b, g.Number)
	b = binary.BigEndian.AppendUint32(b, g.Length)
	b = binary.BigEndian.AppendUint32(b, g.Count)
	b = binary.BigEndian.AppendUint32(b, g.Sum)
	b = binary.BigEndian.AppendUint32(b, Sum(b[at:]))
	return append(b, make([]byte, GroupLen-(len(b)-at))...)
}

// ParseGroup reads a group's header.
func ParseGroup(b []byte) (Group, error) {
	if len(b) < 36 {
		return Group{}, fmt.Errorf("group header: %w", ErrShort)
	}
	if string(b[:4]) != groupMagic {
		return Group{}, fmt.Errorf("group header: %w", ErrForm)
	}
	if Sum(b[:32]) != binary.BigEndian.Uint32(b[32:]) {
		return Group{}, fmt.Errorf("group header: %w", ErrSum)
	}
	g := Group{Store: binary.BigEndian.Uint64(b[4:]), Number: binary.BigEndian.Uint64(b[12:]),
		Length: binary.BigEndian.Uint32(b[20:]), Count: binary.BigEndian.Uint32(b[24:]), Sum: binary.BigEndian.Uint32(b[28:])}
	if g.Length > GroupMost || g.Count == 0 || int64(g.Count)*HeadLen > int64(g.Length) {
		return Group{}, fmt.Errorf("group header: %w", ErrForm)
	}
	return g, nil
}

// Span returns the bytes that a group with a payload of length bytes takes.
func Span(length int64) int64 { return (GroupLen + length + Align - 1) / Align * Align }

// Kind of a record.
type Kind uint8

// Kinds of records.
const (
	Put    Kind = 1
	Delete Kind = 2 // Version is the delete's own
)

// Flags of a record.
const (
	Whole uint8 = 1 << iota // ranges do not apply to the blob
	Big                     // the body is in a file of its own
)

// Record is what one write or delete leaves.
type Record struct {
	Kind    Kind
	Flags   uint8
	Space   string
	Name    string
	Meta    []byte
	Size    int64    // of the body
	Version uint64   // grows with each record
	File    uint64   // of the body's own file; 0: the body follows the record
	Sums    []uint32 // of the body's blocks
}

// Head returns the bytes that the record takes before its body.
func (r *Record) Head() int {
	return HeadLen + len(r.Space) + len(r.Name) + len(r.Meta) + 4*len(r.Sums)
}

// Inline returns the bytes of the body that follow the record.
func (r *Record) Inline() int64 {
	if r.Flags&Big != 0 {
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
	b = binary.BigEndian.AppendUint32(b, uint32(len(r.Sums)))
	b = binary.BigEndian.AppendUint64(b, uint64(r.Size))
	b = binary.BigEndian.AppendUint64(b, r.Version)
	b = binary.BigEndian.AppendUint64(b, r.File)
	b = append(b, make([]byte, 12)...)
	b = append(b, r.Space...)
	b = append(b, r.Name...)
	b = append(b, r.Meta...)
	for _, s := range r.Sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	sum := AddSum(Sum(b[at:at+44]), b[at+HeadLen:])
	binary.BigEndian.PutUint32(b[at+44:], sum)
	return b
}

// HeadOf returns the length that a record's first HeadLen bytes tell of what
// stands before its body. They are not checked.
func HeadOf(b []byte) (int, error) {
	if len(b) < HeadLen {
		return 0, fmt.Errorf("record: %w", ErrShort)
	}
	sums := binary.BigEndian.Uint32(b[8:])
	if sums > SumsMost {
		return 0, fmt.Errorf("record: %w: %d checksums", ErrForm, sums)
	}
	return HeadLen + int(b[2]) + int(binary.BigEndian.Uint16(b[4:])) + int(binary.BigEndian.Uint16(b[6:])) + 4*int(sums), nil
}

// Parse reads a record without its body from the beginning of b and returns
// how many bytes it took. What it returns does not share b's memory.
func Parse(b []byte) (Record, int, error) {
	n, err := HeadOf(b)
	if err != nil {
		return Record{}, 0, err
	}
	if len(b) < n {
		return Record{}, 0, fmt.Errorf("record: %w", ErrShort)
	}
	if AddSum(Sum(b[:44]), b[HeadLen:n]) != binary.BigEndian.Uint32(b[44:]) {
		return Record{}, 0, fmt.Errorf("record: %w", ErrSum)
	}
	r := Record{Kind: Kind(b[0]), Flags: b[1], Size: int64(binary.BigEndian.Uint64(b[12:])),
		Version: binary.BigEndian.Uint64(b[20:]), File: binary.BigEndian.Uint64(b[28:])}
	space, name, meta := int(b[2]), int(binary.BigEndian.Uint16(b[4:])), int(binary.BigEndian.Uint16(b[6:]))
	rest := b[HeadLen:n]
	r.Space, rest = string(rest[:space]), rest[space:]
	r.Name, rest = string(rest[:name]), rest[name:]
	if meta > 0 {
		r.Meta = append([]byte(nil), rest[:meta]...)
	}
	rest = rest[meta:]
	for ; len(rest) > 0; rest = rest[4:] {
		r.Sums = append(r.Sums, binary.BigEndian.Uint32(rest))
	}
	return r, n, r.check()
}

func (r *Record) check() error {
	big := r.Flags&Big != 0
	switch {
	case r.Kind != Put && r.Kind != Delete,
		r.Size < 0 || r.Size > SumsMost*Block || Blocks(r.Size) != len(r.Sums),
		r.Kind == Delete && r.Size != 0,
		big != (r.File != 0),
		r.Flags&^(Whole|Big) != 0:
		return fmt.Errorf("record: %w", ErrForm)
	}
	return nil
}
