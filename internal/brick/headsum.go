package brick

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"arrowwalk/internal/store/record"
)

// The head of each request and response carries a checksum of itself, because it
// carries metadata, names, versions and conditions that no checksum of a body covers.
// A head begins, after its first line, with HeaderProtocol and ends with HeaderHeadSum.
// A head with neither comes from a peer of an older version and is accepted unverified;
// no single altered field makes a head look like that.

// HeaderProtocol and HeaderHeadSum delimit a head that has a checksum.
const (
	HeaderProtocol = "Aw-Protocol" // version of the protocol; from ProtocolVersion on, HeaderHeadSum is present
	HeaderHeadSum  = "Aw-Head-Sum" // last field: CRC-32C of all bytes of the head before it, 8 hexadecimal digits
)

// ProtocolVersion is the value of HeaderProtocol.
const ProtocolVersion = "2"

// ErrHeadCorrupt is the error of a head that does not match its checksum.
var ErrHeadCorrupt = errors.New("head does not match its checksum")

const (
	protocolLine  = "\r\n" + HeaderProtocol + ": " + ProtocolVersion + "\r\n"
	headSumPrefix = HeaderHeadSum + ": "
	headSumDigits = 8
)

// AppendProtocol appends HeaderProtocol. It follows the first line of a head.
func AppendProtocol(b []byte) []byte { return append(b, protocolLine[len("\r\n"):]...) }

// AppendHeadSum appends the checksum of the head that starts at b[start], and the empty
// line that ends the head.
func AppendHeadSum(b []byte, start int) []byte {
	sum := record.Checksum(b[start:])
	b = appendHexSum(append(b, headSumPrefix...), sum)
	return append(b, "\r\n\r\n"...)
}

func appendHexSum(b []byte, sum uint32) []byte {
	var raw [headSumDigits / 2]byte
	binary.BigEndian.PutUint32(raw[:], sum)
	return hex.AppendEncode(b, raw[:])
}

// VerifyHead verifies the checksum of a received head: its first line and its fields,
// each with its line end, without the empty line after them. The error wraps
// ErrHeadCorrupt.
func VerifyHead(head []byte) error {
	end := len(head) - len(headSumPrefix) - headSumDigits - len("\r\n")
	if end < 0 || string(head[end:end+len(headSumPrefix)]) != headSumPrefix {
		if bytes.Contains(head, []byte(protocolLine)) {
			return fmt.Errorf("%w: header %s is missing", ErrHeadCorrupt, HeaderHeadSum)
		}
		return nil
	}
	var computed [headSumDigits]byte
	appendHexSum(computed[:0], record.Checksum(head[:end]))
	if got := head[end+len(headSumPrefix) : end+len(headSumPrefix)+headSumDigits]; string(got) != string(computed[:]) {
		return fmt.Errorf("%w: header %s: %q, computed %s", ErrHeadCorrupt, HeaderHeadSum, got, computed)
	}
	return nil
}
