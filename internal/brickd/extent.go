package brickd

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store"
)

// Extents of volumes are changed in place, a part at a time: PATCH writes its
// body at an offset of the blob and leaves the rest. Each carries the epoch of
// its attachment and a number that grows for the extent within the epoch. A
// brick refuses what comes from before the epoch it was fenced at (409), and
// drops what is not newer than what it has: a late copy does no harm whenever
// it comes.

// extentMost is the largest extent.
const extentMost = 1 << 20

const patchStripes = 64

// fences are the epochs below which volumes' requests are refused.
type fences struct {
	mu    sync.RWMutex
	known map[string]uint64
	patch [patchStripes]sync.Mutex
}

// order is what is kept beside an extent: the epoch and number of its last write.
type order struct{ epoch, number uint64 }

func (o order) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, o.epoch), o.number)
}

func decodeOrder(meta []byte) order {
	if len(meta) != 16 {
		return order{}
	}
	return order{binary.BigEndian.Uint64(meta), binary.BigEndian.Uint64(meta[8:])}
}

func (o order) newer(than order) bool {
	return o.epoch > than.epoch || o.epoch == than.epoch && o.number > than.number
}

// volumeOf returns the volume that an extent's name begins with.
func volumeOf(name string) string {
	volume, _, _ := strings.Cut(name, "/")
	return volume
}

func (c *conn) number(field string) (uint64, error) {
	text := c.req.Fields.Get(field)
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("header %s: bad value %q", field, text)
	}
	return n, nil
}

// fenced returns the epoch below which a volume's requests are refused. The
// caller holds f.mu in either way.
func (c *conn) fenced(volume string) (uint64, error) {
	f := &c.s.fences
	if epoch, ok := f.known[volume]; ok {
		return epoch, nil
	}
	info, err := c.s.dir.Stat(brick.SpaceFences, volume)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil || len(info.Meta) != 8 {
		return 0, fmt.Errorf("fence of %q: %w", volume, errors.Join(err, errBadFence))
	}
	return binary.BigEndian.Uint64(info.Meta), nil
}

var errBadFence = errors.New("the record of its epoch cannot be read")

var stale = reply{status: 409, text: "the volume was attached anew: this epoch is over"}

// fence has a volume's requests of earlier epochs refused from now on.
func (c *conn) fence(x *Exchange) *reply {
	epoch, err := c.number(brick.HeaderEpoch)
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	f := &c.s.fences
	f.mu.Lock() // waits for writes that are under way
	defer f.mu.Unlock()
	now, err := c.fenced(x.Name)
	if err != nil {
		return &reply{status: 500, text: err.Error()}
	}
	if epoch < now {
		r := stale
		return &r
	}
	if epoch > now {
		info := store.Info{Name: x.Name, Meta: binary.BigEndian.AppendUint64(nil, epoch)}
		if _, _, err := c.s.dir.Put(context.Background(), brick.SpaceFences, info, bytes.NewReader(nil), nil, store.Condition{}); err != nil {
			return &reply{status: statusOf(err), text: err.Error()}
		}
		x.Stored = true
	}
	if f.known == nil {
		f.known = map[string]uint64{}
	}
	f.known[x.Name] = epoch
	return &reply{status: 200}
}

// extentOf checks an extent's request against its fence. nil: it may go on.
func (c *conn) extentOf(x *Exchange) (order, *reply) {
	epoch, err := c.number(brick.HeaderEpoch)
	if err != nil {
		return order{}, &reply{status: 400, text: err.Error()}
	}
	least, err := c.fenced(volumeOf(x.Name))
	if err != nil {
		return order{}, &reply{status: 500, text: err.Error()}
	}
	if epoch < least {
		r := stale
		return order{}, &r
	}
	return order{epoch: epoch}, nil
}

// getExtent reads a part of an extent.
func (c *conn) getExtent(x *Exchange) *reply {
	c.s.fences.mu.RLock()
	defer c.s.fences.mu.RUnlock()
	if _, r := c.extentOf(x); r != nil {
		return r
	}
	return c.get(x)
}

// patch changes a part of an extent, or empties it.
func (c *conn) patch(x *Exchange) *reply {
	if x.Space != brick.SpaceExtents {
		return &reply{status: 405, text: "only extents are changed in part"}
	}
	offset, err := c.number(brick.HeaderOffset)
	if err == nil && (!c.req.HasLength || c.req.Length > extentMost || int64(offset) > extentMost-c.req.Length) {
		err = fmt.Errorf("header %s: %d and a body of %d bytes are over %d", brick.HeaderOffset, offset, c.req.Length, extentMost)
	}
	number, err2 := c.number(brick.HeaderNumber)
	if err = errors.Join(err, err2); err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	body := make([]byte, c.req.Length)
	c.nc.SetReadDeadline(time.Now().Add(c.s.opt.IdleTimeout))
	if _, err := io.ReadFull(&c.body, body); err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	c.s.fences.mu.RLock()
	defer c.s.fences.mu.RUnlock()
	o, refused := c.extentOf(x)
	if refused != nil {
		return refused
	}
	o.number = number
	mu := &c.s.fences.patch[crc32.ChecksumIEEE([]byte(x.Name))%patchStripes]
	mu.Lock()
	defer mu.Unlock()
	return c.rewrite(x, o, int64(offset), body, c.req.Fields.Get(brick.HeaderTruncate) == "1")
}

// rewrite writes the extent anew with a part changed.
func (c *conn) rewrite(x *Exchange, o order, offset int64, part []byte, truncate bool) *reply {
	blob, err := c.s.dir.Get(x.Space, x.Name)
	whole := part
	switch {
	case errors.Is(err, store.ErrNotFound):
		if offset > 0 {
			whole = append(make([]byte, offset, offset+int64(len(part))), part...)
		}
	case err != nil:
		return failed(err)
	default:
		defer blob.Close()
		if !o.newer(decodeOrder(blob.Meta)) {
			return &reply{status: 200, version: blob.Version, repeat: true}
		}
		if !truncate && (offset > 0 || int64(len(part)) < blob.Size) {
			whole = make([]byte, max(blob.Size, offset+int64(len(part))))
			if _, err := blob.ReadAt(whole[:blob.Size], 0); err != nil && blob.Size > 0 {
				return failed(err)
			}
			copy(whole[offset:], part)
		}
	}
	if truncate {
		whole = nil
	}
	info := store.Info{Name: x.Name, Meta: o.encode(), Size: int64(len(whole))}
	stored, _, err := c.s.dir.Put(context.Background(), x.Space, info, bytes.NewReader(whole), nil, store.Condition{})
	if err != nil {
		return &reply{status: statusOf(err), text: err.Error()}
	}
	x.Stored = true
	return &reply{status: 200, version: stored.Version}
}
