// Package brick is the client's side of the bricks' protocol: plain HTTP/1.1
// (RFC 9110) with blobs named by space and name. docs/brick-protocol.md is its
// description; this file holds the names that both sides share.
package brick

import (
	"fmt"
	"strings"
)

// Header fields of the protocol. All but the standard ones are "Aw-".
const (
	HeaderRequest  = "Aw-Request"  // HOST-SEQUENCE.ATTEMPT, the request's id in every log
	HeaderDeadline = "Aw-Deadline" // microseconds for which the host will wait
	HeaderHost     = "Aw-Host"     // the host's number
	HeaderVolume   = "Aw-Volume"   // the volume's number
	HeaderUnits    = "Aw-Units"    // units of work, as plans count them
	HeaderKey      = "Aw-Key"      // idempotency key: the bricks of a zone drop its repeats
	HeaderExpect   = "Aw-Expect"   // the brick that the host means; another one answers 421
	HeaderMeta     = "Aw-Meta"     // base64url of what the writer keeps beside the body
	HeaderWhole    = "Aw-Whole"    // "1": ranges do not apply to this blob
	HeaderVersion  = "Aw-Version"  // the blob's version
	HeaderReplaced = "Aw-Replaced" // base64url of the replaced blob's meta
	HeaderRepeat   = "Aw-Repeat"   // "1": a repeat that was dropped; this is the first answer
	HeaderBrick    = "Aw-Brick"    // who answers: ID@STARTED, in microseconds since 1970
	HeaderState    = "Aw-State"    // "draining": the brick asks for nothing new
	HeaderOthers   = "Aw-Others"   // units served for the volume through other hosts since last told
	HeaderFleet    = "Aw-Fleet"    // units a second served for the volume everywhere, late
	HeaderEpoch    = "Aw-Epoch"    // of a volume's attachment
	HeaderOffset   = "Aw-Offset"   // of a PATCH: where its body goes
	HeaderNumber   = "Aw-Number"   // of a PATCH: grows for each extent within an epoch
	HeaderTruncate = "Aw-Truncate" // "1": a PATCH empties the extent
	HeaderSums     = "Aw-Sums"     // base64url of the CRC-32C of each 64 KiB of the body, 4 bytes each
	HeaderReason   = "Aw-Reason"   // why a request failed: Corrupt
	HeaderLoad     = "endpoint-load-metrics"
)

// Corrupt is the reason of a brick that found its bytes, or those that came, not
// to be those that were written.
const Corrupt = "corrupt"

// Spaces of blobs.
const (
	SpaceBuckets = "b" // a record for each bucket
	SpaceObjects = "o" // BUCKET/KEY: the object, or its manifest
	SpacePieces  = "p" // data of objects larger than a piece
	SpaceUploads = "u" // BUCKET/KEY NUL UPLOAD: a multipart upload
	SpaceParts   = "r" // UPLOAD/NUMBER/ID: a part that was uploaded
	SpaceVolumes = "v" // a record for each block volume
	SpaceExtents = "x" // VOLUME/INDEX: a part of a block volume; changed by PATCH
	SpaceFences  = "f" // VOLUME: the epoch below which its requests are refused
	SpaceProbe   = "q" // always empty: to ask a brick who it is
)

const upperHex = "0123456789ABCDEF"

// AppendName appends a blob's name to a path, percent-encoded so that it is
// one segment whatever its bytes are.
func AppendName(b []byte, name string) []byte {
	for i := 0; i < len(name); i++ {
		c := name[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '~' {
			b = append(b, c)
		} else {
			b = append(b, '%', upperHex[c>>4], upperHex[c&15])
		}
	}
	return b
}

// Unescape decodes a percent-encoded string; "+" stands for itself.
func Unescape(s string) (string, error) {
	if !strings.Contains(s, "%") {
		return s, nil
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b = append(b, s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", fmt.Errorf("bad escape in %q", s)
		}
		hi, lo := unhex(s[i+1]), unhex(s[i+2])
		if hi < 0 || lo < 0 {
			return "", fmt.Errorf("bad escape in %q", s)
		}
		b = append(b, byte(hi<<4|lo))
		i += 2
	}
	return string(b), nil
}

func unhex(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// ListItem is an item of a list's answer (JSON). Bytes are base64 in JSON, so
// that any name passes unchanged.
type ListItem struct {
	Name     []byte `json:"n"`
	Meta     []byte `json:"m,omitempty"`
	Size     int64  `json:"s,omitempty"`
	Version  uint64 `json:"v,omitempty"`
	IsPrefix bool   `json:"r,omitempty"`
}

// ListResponse is the body of a list's answer.
type ListResponse struct {
	Items []ListItem `json:"items"`
	More  bool       `json:"more"`
}
