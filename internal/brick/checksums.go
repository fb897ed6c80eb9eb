package brick

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"

	"arrowwalk/internal/store/record"
)

// AppendSums appends checksums in the format of HeaderSums.
func AppendSums(b []byte, sums []uint32) []byte {
	raw := make([]byte, 0, 4*len(sums))
	for _, s := range sums {
		raw = binary.BigEndian.AppendUint32(raw, s)
	}
	return base64.RawURLEncoding.AppendEncode(b, raw)
}

// ParseSums parses the value of HeaderSums for a body of size bytes. It returns
// nil if text is empty.
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

// errCorrupt is the error of a response whose body does not match its checksums.
var errCorrupt = errors.New("response body does not match its checksums")

// verifier compares a response's body with its checksums as the body is read.
type verifier struct {
	sums      []uint32 // of the current block and those after it
	sum       uint32   // of what was read of the current block
	blockLeft int64    // bytes to read of the current block
	bodyLeft  int64    // bytes of the body after the current block
}

// begin sets the checksums of a body of length bytes that starts at offset from
// of its blob.
func (v *verifier) begin(sums []uint32, from, length int64) error {
	*v = verifier{}
	if sums == nil || length == 0 {
		return nil
	}
	firstBlock := record.BlockSize - from%record.BlockSize
	if want := 1 + record.BlockCount(max(length-firstBlock, 0)); len(sums) != want {
		return fmt.Errorf("%d checksums for %d bytes", len(sums), length)
	}
	v.sums, v.blockLeft = sums, min(firstBlock, length)
	v.bodyLeft = length - v.blockLeft
	return nil
}

// add takes the next bytes of the body and reports whether every block that they
// complete matches its checksum.
func (v *verifier) add(p []byte) bool {
	for len(p) > 0 && len(v.sums) > 0 {
		n := min(int64(len(p)), v.blockLeft)
		v.sum = record.UpdateChecksum(v.sum, p[:n])
		p = p[n:]
		if v.blockLeft -= n; v.blockLeft > 0 {
			return true
		}
		if v.sum != v.sums[0] {
			return false
		}
		v.sums, v.sum = v.sums[1:], 0
		v.blockLeft = min(v.bodyLeft, record.BlockSize)
		v.bodyLeft -= v.blockLeft
	}
	return true
}
