// Package extent defines the stored record of a block volume, with its size and
// its current holder, and the mapping of the volume's bytes to extents on bricks.
// It has no side effects.
package extent

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// VolumeRecord is the stored description of a block volume. Its methods return
// changed copies and leave the receiver as it is.
type VolumeRecord struct {
	Name             string `json:"name"`
	SizeBytes        int64  `json:"bytes"`
	BlockBytes       int64  `json:"block"`
	ExtentBytes      int64  `json:"extent"` // size of an extent
	Plan             string `json:"plan"`
	Epoch            uint64 `json:"epoch"`            // number of the last attachment; bricks refuse writes of earlier ones
	Holder           string `json:"holder,omitempty"` // host that has it attached; "": none
	AttachedAtMicros int64  `json:"since,omitempty"`  // time of the last attachment, microseconds since the Unix epoch
	MapVersion       uint64 `json:"version"`          // incremented when the size changes
}

const (
	// DefaultExtentBytes is the extent size of new volumes.
	DefaultExtentBytes = 64 << 10
	maxVolumeBytes     = 1 << 46
	maxNameLength      = 64
)

// New returns the record of a new, detached volume. Sizes are in bytes. The error
// names the field that is not valid.
func New(name string, sizeBytes, blockBytes int64, plan string) (*VolumeRecord, error) {
	r := &VolumeRecord{Name: name, SizeBytes: sizeBytes, BlockBytes: blockBytes, ExtentBytes: DefaultExtentBytes, Plan: plan, MapVersion: 1}
	return r, r.validate()
}

// validate returns an error that names the first field that is not valid.
func (r *VolumeRecord) validate() error {
	switch {
	case r.Name == "" || len(r.Name) > maxNameLength || strings.Trim(r.Name, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "" || r.Name[0] == '.':
		return fmt.Errorf("volume name %q: must be 1 to %d of a-z, 0-9, dot and hyphen", r.Name, maxNameLength)
	case r.BlockBytes != 512 && r.BlockBytes != 4096:
		return fmt.Errorf("volume %s: block size %d: must be 512 or 4096", r.Name, r.BlockBytes)
	case r.ExtentBytes < r.BlockBytes || r.ExtentBytes%r.BlockBytes != 0 || r.ExtentBytes > 1<<20:
		return fmt.Errorf("volume %s: extent size %d: must be a multiple of the block size, at most 1 MiB", r.Name, r.ExtentBytes)
	case r.SizeBytes <= 0 || r.SizeBytes > maxVolumeBytes || r.SizeBytes%r.BlockBytes != 0:
		return fmt.Errorf("volume %s: size %d: must be a positive multiple of the block size", r.Name, r.SizeBytes)
	}
	return nil
}

// Decode decodes a record from JSON and validates it.
func Decode(text []byte) (*VolumeRecord, error) {
	r := &VolumeRecord{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("volume record: %w", err)
	}
	return r, r.validate()
}

// Encode returns the record as JSON.
func (r *VolumeRecord) Encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: the struct has only numbers and strings
	}
	return text
}

// HeldError reports that a volume is attached by Holder.
type HeldError struct {
	Volume, Holder   string
	AttachedAtMicros int64
}

func (h *HeldError) Error() string {
	return fmt.Sprintf("volume %s is attached by %s", h.Volume, h.Holder)
}

// Attach returns the record after an attachment by holder at the time nowMicros,
// with an epoch above all earlier ones. Once bricks know the epoch they refuse the
// requests of earlier attachments. If another holder has the volume and steal is
// false, it returns a *HeldError. The current holder may always attach again, as
// it does after a crash.
func (r *VolumeRecord) Attach(holder string, steal bool, nowMicros int64) (*VolumeRecord, error) {
	if r.Holder != "" && r.Holder != holder && !steal {
		return nil, &HeldError{r.Name, r.Holder, r.AttachedAtMicros}
	}
	next := *r
	next.Epoch, next.Holder, next.AttachedAtMicros = r.Epoch+1, holder, nowMicros
	return &next, nil
}

// Detach returns the record without a holder. It returns an error if epoch is not
// that of the current attachment.
func (r *VolumeRecord) Detach(epoch uint64) (*VolumeRecord, error) {
	if r.Epoch != epoch {
		return nil, fmt.Errorf("volume %s: attachment %d was replaced by attachment %d", r.Name, epoch, r.Epoch)
	}
	next := *r
	next.Holder, next.AttachedAtMicros = "", 0
	return &next, nil
}

// Resize returns the record with a new size. It returns an error that wraps
// *HeldError if an attached volume would shrink.
func (r *VolumeRecord) Resize(sizeBytes int64) (*VolumeRecord, error) {
	if sizeBytes < r.SizeBytes && r.Holder != "" {
		return nil, fmt.Errorf("volume %s cannot shrink: %w", r.Name, &HeldError{r.Name, r.Holder, r.AttachedAtMicros})
	}
	next := *r
	next.SizeBytes, next.MapVersion = sizeBytes, r.MapVersion+1
	return &next, next.validate()
}

// ExtentCount returns the number of extents; the last may be partial.
func (r *VolumeRecord) ExtentCount() int64 { return (r.SizeBytes + r.ExtentBytes - 1) / r.ExtentBytes }

// Piece is the part of a byte range that lies in one extent.
type Piece struct {
	ExtentIndex int64
	Offset      int64 // from the start of the extent
	Bytes       int64
}

// SplitRange appends the pieces of a range of bytes to pieces, in order. The range
// must lie inside the volume.
func (r *VolumeRecord) SplitRange(offset, bytes int64, pieces []Piece) []Piece {
	for bytes > 0 {
		p := Piece{offset / r.ExtentBytes, offset % r.ExtentBytes, 0}
		p.Bytes = min(bytes, r.ExtentBytes-p.Offset)
		pieces = append(pieces, p)
		offset, bytes = offset+p.Bytes, bytes-p.Bytes
	}
	return pieces
}

// ExtentName returns the name under which bricks store an extent.
func (r *VolumeRecord) ExtentName(index int64) string {
	return r.ExtentPrefix() + strconv.FormatInt(index, 10)
}

// ExtentPrefix returns the common prefix of the names of all extents.
func (r *VolumeRecord) ExtentPrefix() string { return r.Name + "/" }
