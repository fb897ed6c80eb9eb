// Package extent is the map of a volume's blocks to extents on bricks, and the
// record of a volume with who may use it. It is pure.
package extent

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// VolumeRecord is what is kept of a volume.
type VolumeRecord struct {
	Name             string `json:"name"`
	SizeBytes        int64  `json:"bytes"`
	BlockBytes       int64  `json:"block"`
	ExtentBytes      int64  `json:"extent"` // bytes of an extent
	Plan             string `json:"plan"`
	Epoch            uint64 `json:"epoch"`            // of the last attachment; writes of earlier ones are refused by bricks
	Holder           string `json:"holder,omitempty"` // who has it attached; "": nobody
	AttachedAtMicros int64  `json:"since,omitempty"`  // microseconds since 1970
	MapVersion       uint64 `json:"version"`          // of the map: grows when the size changes
}

const (
	// DefaultExtentBytes is the size of an extent of new volumes.
	DefaultExtentBytes = 64 << 10
	bytesMost          = 1 << 46
	nameMost           = 64
)

// New returns the record of a new volume, or an error that names the field.
func New(name string, bytes, block int64, plan string) (*VolumeRecord, error) {
	r := &VolumeRecord{Name: name, SizeBytes: bytes, BlockBytes: block, ExtentBytes: DefaultExtentBytes, Plan: plan, MapVersion: 1}
	return r, r.check()
}

func (r *VolumeRecord) check() error {
	switch {
	case r.Name == "" || len(r.Name) > nameMost || strings.Trim(r.Name, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "" || r.Name[0] == '.':
		return fmt.Errorf("volume name %q: must be 1 to %d of a-z, 0-9, - and .", r.Name, nameMost)
	case r.BlockBytes != 512 && r.BlockBytes != 4096:
		return fmt.Errorf("volume %s: block size %d: must be 512 or 4096", r.Name, r.BlockBytes)
	case r.ExtentBytes < r.BlockBytes || r.ExtentBytes%r.BlockBytes != 0 || r.ExtentBytes > 1<<20:
		return fmt.Errorf("volume %s: extent size %d: must be whole blocks, 1 MiB at most", r.Name, r.ExtentBytes)
	case r.SizeBytes <= 0 || r.SizeBytes > bytesMost || r.SizeBytes%r.BlockBytes != 0:
		return fmt.Errorf("volume %s: size %d: must be whole blocks, over 0", r.Name, r.SizeBytes)
	}
	return nil
}

// Decode reads a record.
func Decode(text []byte) (*VolumeRecord, error) {
	r := &VolumeRecord{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("volume record: %w", err)
	}
	return r, r.check()
}

// Encode writes a record.
func (r *VolumeRecord) Encode() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of numbers and strings
	}
	return text
}

// HeldError says that somebody else has a volume.
type HeldError struct {
	Volume, Holder   string
	AttachedAtMicros int64
}

func (h *HeldError) Error() string {
	return fmt.Sprintf("volume %s is attached by %s", h.Volume, h.Holder)
}

// Attach returns the record as it is once holder has the volume: with an epoch
// over all earlier ones. Who held it before is refused by bricks from then on.
// Without steal a volume that another holds is refused with its name; the same
// holder may take it anew, as after its own crash.
func (r *VolumeRecord) Attach(holder string, steal bool, now int64) (*VolumeRecord, error) {
	if r.Holder != "" && r.Holder != holder && !steal {
		return nil, &HeldError{r.Name, r.Holder, r.AttachedAtMicros}
	}
	n := *r
	n.Epoch, n.Holder, n.AttachedAtMicros = r.Epoch+1, holder, now
	return &n, nil
}

// Detach returns the record without its holder; it is an error where another
// attachment has come since.
func (r *VolumeRecord) Detach(epoch uint64) (*VolumeRecord, error) {
	if r.Epoch != epoch {
		return nil, fmt.Errorf("volume %s: attachment %d is over, %d has it", r.Name, epoch, r.Epoch)
	}
	n := *r
	n.Holder, n.AttachedAtMicros = "", 0
	return &n, nil
}

// Resize returns the record with another size. It shrinks only where nobody
// has the volume.
func (r *VolumeRecord) Resize(bytes int64) (*VolumeRecord, error) {
	if bytes < r.SizeBytes && r.Holder != "" {
		return nil, fmt.Errorf("volume %s cannot shrink: %w", r.Name, &HeldError{r.Name, r.Holder, r.AttachedAtMicros})
	}
	n := *r
	n.SizeBytes, n.MapVersion = bytes, r.MapVersion+1
	return &n, n.check()
}

// ExtentCount returns the number of extents.
func (r *VolumeRecord) ExtentCount() int64 { return (r.SizeBytes + r.ExtentBytes - 1) / r.ExtentBytes }

// Piece is a part of a request in one extent.
type Piece struct {
	ExtentIndex int64
	Offset      int64 // in the extent
	Bytes       int64
}

// SplitRange appends the pieces of a range, which is inside the volume.
func (r *VolumeRecord) SplitRange(from, bytes int64, into []Piece) []Piece {
	for bytes > 0 {
		p := Piece{from / r.ExtentBytes, from % r.ExtentBytes, 0}
		p.Bytes = min(bytes, r.ExtentBytes-p.Offset)
		into = append(into, p)
		from, bytes = from+p.Bytes, bytes-p.Bytes
	}
	return into
}

// ExtentName returns an extent's name on bricks.
func (r *VolumeRecord) ExtentName(index int64) string {
	return r.ExtentPrefix() + strconv.FormatInt(index, 10)
}

// ExtentPrefix returns what the names of all its extents begin with.
func (r *VolumeRecord) ExtentPrefix() string { return r.Name + "/" }
