package brick

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"

	"arrowwalk/internal/store/record"
)

// AppendSums appends checksums as HeaderSums has them.
func AppendSums(b []byte, sums []uint32) []byte {
	raw := make([]byte, 0, 4*len(sums))
	for _, s := range sums {
		raw = binary.BigEndian.AppendUint32(raw, s)
	}
	return base64.RawURLEncoding.AppendEncode(b, raw)
}

// ParseSums reads the checksums of a body of size bytes; none told is nil.
func ParseSums(text string, size int64) ([]uint32, error) {
	if text == "" {
		return nil, nil
	}
	sums, err := parseSums(text)
	if err == nil && len(sums) != record.BlockCount(size) {
		err = fmt.Errorf("%d checksums for %d bytes", len(sums), size)
	}
	return sums, err
}

func parseSums(text string) ([]uint32, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw)%4 != 0 {
		return nil, errors.Join(fmt.Errorf("bad value of %d bytes", len(text)), err)
	}
	sums := make([]uint32, 0, len(raw)/4)
	for ; len(raw) > 0; raw = raw[4:] {
		sums = append(sums, binary.BigEndian.Uint32(raw))
	}
	return sums, nil
}

// errCorrupt is the error of a body that is not what its checksums are of.
var errCorrupt = errors.New("the body is not that which its checksums are of")

// checking compares an answer's body with its checksums as it is read.
type checking struct {
	sums []uint32 // of what was not read yet
	sum  uint32   // of the block that is read
	left int64    // of that block
	rest int64    // of the body after it
}

// begin takes the checksums of a body of length bytes that stand at from in
// their blob.
func (c *checking) begin(sums []uint32, from, length int64) error {
	*c = checking{}
	if sums == nil || length == 0 {
		return nil
	}
	first := record.BlockSize - from%record.BlockSize
	if want := 1 + record.BlockCount(max(length-first, 0)); len(sums) != want {
		return fmt.Errorf("%d checksums for %d bytes", len(sums), length)
	}
	c.sums, c.left = sums, min(first, length)
	c.rest = length - c.left
	return nil
}

// add takes what was read and tells whether all blocks that it ends are right.
func (c *checking) add(p []byte) bool {
	for len(p) > 0 && len(c.sums) > 0 {
		n := min(int64(len(p)), c.left)
		c.sum = record.UpdateChecksum(c.sum, p[:n])
		p = p[n:]
		if c.left -= n; c.left > 0 {
			return true
		}
		if c.sum != c.sums[0] {
			return false
		}
		c.sums, c.sum = c.sums[1:], 0
		c.left = min(c.rest, record.BlockSize)
		c.rest -= c.left
	}
	return true
}
