// Package brick implements the client side of the protocol that bricks speak:
// plain HTTP/1.1 (RFC 9110) with blobs addressed by space and name. Its
// description is docs/brick-protocol.md. This file defines the names that client
// and server share.
package brick

import (
	"fmt"
	"strings"
)

// Header fields of the protocol. All nonstandard names begin with "Aw-".
const (
	HeaderRequest  = "Aw-Request"  // HOST-SEQUENCE.ATTEMPT, the request's ID in every log
	HeaderDeadline = "Aw-Deadline" // microseconds for which the host waits for the response
	HeaderHost     = "Aw-Host"     // the host's number
	HeaderVolume   = "Aw-Volume"   // the volume's number
	HeaderUnits    = "Aw-Units"    // cost in units of work, as plans count them
	HeaderKey      = "Aw-Key"      // idempotency key; the bricks of a zone deduplicate by it
	HeaderExpect   = "Aw-Expect"   // name of the addressed brick; any other one responds with 421
	HeaderMeta     = "Aw-Meta"     // base64url of the metadata that the writer stores with the body
	HeaderWhole    = "Aw-Whole"    // "1": ranges do not apply to this blob
	HeaderVersion  = "Aw-Version"  // the blob's version
	HeaderReplaced = "Aw-Replaced" // base64url of the replaced blob's metadata
	HeaderRepeat   = "Aw-Repeat"   // "1": a duplicate was dropped and this is the first request's response
	HeaderBrick    = "Aw-Brick"    // identity of the responding brick: ID@STARTED, in microseconds since 1970
	HeaderState    = "Aw-State"    // "draining": the brick asks for no new requests
	HeaderOthers   = "Aw-Others"   // units served for the volume through other hosts since the last report
	HeaderFleet    = "Aw-Fleet"    // delayed rate of units per second that all bricks serve for the volume
	HeaderEpoch    = "Aw-Epoch"    // epoch of a volume's attachment
	HeaderOffset   = "Aw-Offset"   // of a PATCH: where its body is written
	HeaderNumber   = "Aw-Number"   // of a PATCH: sequence number, increasing per extent within an epoch
	HeaderTruncate = "Aw-Truncate" // "1": a PATCH empties the extent
	HeaderConsume  = "Aw-Consume"  // of a PUT: SPACE/NAME, percent-encoded, of a blob that must exist and is removed in the same commit
	HeaderTrash    = "Aw-Trash"    // of a PUT or DELETE: suffix under which the metadata of removed whole blobs is kept in SpaceTrash
	HeaderSums     = "Aw-Sums"     // base64url of the CRC-32C of each 64 KiB of the body, 4 bytes each
	HeaderReason   = "Aw-Reason"   // why a request failed: Corrupt
	HeaderClock    = "Aw-Clock"    // of an answer: the brick's Clock
	HeaderSeen     = "Aw-Seen"     // of a PUT or DELETE: the Clock that the host had from the brick; the blob must not have been changed since
	HeaderLoad     = "endpoint-load-metrics"
)

// Corrupt is the HeaderReason of a brick that found that stored or received
// bytes do not match their checksums.
const Corrupt = "corrupt"

// Spaces of blobs.
const (
	SpaceBuckets = "b" // BUCKET: a bucket's record
	SpaceObjects = "o" // BUCKET/KEY: the object or its manifest
	SpacePieces  = "p" // data of objects larger than a piece
	SpaceUploads = "u" // BUCKET/KEY NUL UPLOAD: a multipart upload
	SpaceParts   = "r" // UPLOAD/NUMBER/ID: an uploaded part
	SpaceVolumes = "v" // a block volume's record
	SpaceExtents = "x" // VOLUME/INDEX: a part of a block volume, changed by PATCH
	SpaceFences  = "f" // VOLUME: the epoch below which the volume's requests are rejected
	SpaceIntents = "i" // BUCKET/KEY NUL ID: a write of an object in pieces that has not taken effect
	SpaceTrash   = "g" // SPACE/NAME NUL SUFFIX: metadata of a blob that was replaced, deleted or consumed
	SpaceProbe   = "q" // always empty, for requests that only identify a brick
)

// StatusNotConsumable is the status of a PUT whose HeaderConsume names a blob that does
// not exist. The write has no effect.
const StatusNotConsumable = 424

const upperHex = "0123456789ABCDEF"

// AppendName appends a blob's name to a path, percent-encoded so that any name
// is a single path segment.
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

// ParseConsume parses the value of HeaderConsume.
func ParseConsume(value string) (space, name string, err error) {
	space, escaped, ok := strings.Cut(value, "/")
	if name, err = Unescape(escaped); err != nil {
		return "", "", err
	}
	if !ok || space == "" || name == "" {
		return "", "", fmt.Errorf("%q: must be SPACE/NAME", value)
	}
	return space, name, nil
}

// TrashName returns the name in SpaceTrash of a blob that was removed by a request with
// the given HeaderTrash.
func TrashName(space, name, suffix string) string { return space + "/" + name + "\x00" + suffix }

// ParseTrashName returns the space and the name of the removed blob. It returns false
// for a name that TrashName does not make.
func ParseTrashName(trashName string) (space, name string, ok bool) {
	space, rest, found := strings.Cut(trashName, "/")
	end := strings.LastIndexByte(rest, 0)
	if !found || end < 0 {
		return "", "", false
	}
	return space, rest[:end], true
}

// Unescape decodes a percent-encoded string. It does not decode "+" to a space.
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

// unhex returns the value of a hexadecimal digit, or -1.
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

// ListItem is an item of a list response, encoded as JSON. Byte slices are
// base64 there, so that any name is preserved.
type ListItem struct {
	Name     []byte `json:"n"`
	Meta     []byte `json:"m,omitempty"`
	Size     int64  `json:"s,omitempty"`
	Version  uint64 `json:"v,omitempty"`
	IsPrefix bool   `json:"r,omitempty"` // the item is a common prefix of several blobs
}

// ListResponse is the body of a list response.
type ListResponse struct {
	Items []ListItem `json:"items"`
	More  bool       `json:"more"` // there are further items after the last one
}
