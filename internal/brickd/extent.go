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

// Extents of volumes are changed in part: a PATCH writes its body at an offset of
// the blob and keeps the rest. Each PATCH carries the epoch of the volume's
// attachment and a sequence number that increases per extent within the epoch. A
// brick rejects requests from before the epoch at which the volume was fenced
// (409) and drops a PATCH that is not newer than the stored extent, so a delayed
// duplicate has no effect.

// maxExtentBytes is the largest size of an extent.
const maxExtentBytes = 1 << 20

const numPatchLocks = 64

// fences holds the epochs below which requests for volumes are rejected.
// Requests for extents hold mu for reading; raising a fence holds it for
// writing.
type fences struct {
	mu         sync.RWMutex
	epochs     map[string]uint64         // by volume; a cache of the stored fences
	patchLocks [numPatchLocks]sync.Mutex // by hash of the extent's name
}

// writeOrder is the metadata of an extent: the epoch and the sequence number of
// its latest write.
type writeOrder struct{ epoch, number uint64 }

func (o writeOrder) encode() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, o.epoch), o.number)
}

func decodeWriteOrder(meta []byte) writeOrder {
	if len(meta) != 16 {
		return writeOrder{}
	}
	return writeOrder{binary.BigEndian.Uint64(meta), binary.BigEndian.Uint64(meta[8:])}
}

func (o writeOrder) isNewerThan(other writeOrder) bool {
	return o.epoch > other.epoch || o.epoch == other.epoch && o.number > other.number
}

// volumeOf returns the volume of an extent, which is the first part of its name.
func volumeOf(name string) string {
	volume, _, _ := strings.Cut(name, "/")
	return volume
}

func (c *conn) parseUintField(field string) (uint64, error) {
	text := c.req.Fields.Get(field)
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, fmt.Errorf("header %s: bad value %q", field, text)
	}
	return n, nil
}

// fenceEpoch returns the epoch below which a volume's requests are rejected. The
// caller holds fences.mu for reading or writing.
func (c *conn) fenceEpoch(volume string) (uint64, error) {
	f := &c.server.fences
	if epoch, ok := f.epochs[volume]; ok {
		return epoch, nil
	}
	info, err := c.server.blobs.Stat(brick.SpaceFences, volume)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil || len(info.Meta) != 8 {
		return 0, fmt.Errorf("fence of %q: %w", volume, errors.Join(err, errBadFence))
	}
	return binary.BigEndian.Uint64(info.Meta), nil
}

var errBadFence = errors.New("cannot read the fence's epoch")

var staleEpoch = reply{status: 409, text: "stale epoch: the volume was attached again"}

// raiseFence makes the brick reject the requests of a volume's earlier epochs.
func (c *conn) raiseFence(ex *Exchange) *reply {
	epoch, err := c.parseUintField(brick.HeaderEpoch)
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	f := &c.server.fences
	f.mu.Lock() // waits for requests in progress
	defer f.mu.Unlock()
	current, err := c.fenceEpoch(ex.Name)
	if err != nil {
		return &reply{status: 500, text: err.Error()}
	}
	if epoch < current {
		r := staleEpoch
		return &r
	}
	if epoch > current {
		info := store.Info{Name: ex.Name, Meta: binary.BigEndian.AppendUint64(nil, epoch)}
		if _, _, err := c.server.blobs.Put(context.Background(), brick.SpaceFences, info, bytes.NewReader(nil), nil, store.Condition{}); err != nil {
			return &reply{status: statusOf(err), text: err.Error()}
		}
		ex.Stored = true
	}
	if f.epochs == nil {
		f.epochs = map[string]uint64{}
	}
	f.epochs[ex.Name] = epoch
	return &reply{status: 200}
}

// checkFence checks a request for an extent against its volume's fence. The reply
// is nil if the request may proceed.
func (c *conn) checkFence(ex *Exchange) (writeOrder, *reply) {
	epoch, err := c.parseUintField(brick.HeaderEpoch)
	if err != nil {
		return writeOrder{}, &reply{status: 400, text: err.Error()}
	}
	minEpoch, err := c.fenceEpoch(volumeOf(ex.Name))
	if err != nil {
		return writeOrder{}, &reply{status: 500, text: err.Error()}
	}
	if epoch < minEpoch {
		r := staleEpoch
		return writeOrder{}, &r
	}
	return writeOrder{epoch: epoch}, nil
}

// getExtent reads an extent or a range of it.
func (c *conn) getExtent(ex *Exchange) *reply {
	c.server.fences.mu.RLock()
	defer c.server.fences.mu.RUnlock()
	if _, r := c.checkFence(ex); r != nil {
		return r
	}
	return c.getBlob(ex)
}

// patchExtent changes a part of an extent, or empties it.
func (c *conn) patchExtent(ex *Exchange) *reply {
	if ex.Space != brick.SpaceExtents {
		return &reply{status: 405, text: "PATCH applies to extents only"}
	}
	offset, err := c.parseUintField(brick.HeaderOffset)
	if err == nil && (!c.req.HasLength || c.req.Length > maxExtentBytes || int64(offset) > maxExtentBytes-c.req.Length) {
		err = fmt.Errorf("header %s: offset %d plus a body of %d bytes exceeds %d bytes", brick.HeaderOffset, offset, c.req.Length, maxExtentBytes)
	}
	number, err2 := c.parseUintField(brick.HeaderNumber)
	if err = errors.Join(err, err2); err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	body := make([]byte, c.req.Length)
	c.nc.SetReadDeadline(time.Now().Add(c.server.opt.IdleTimeout))
	if _, err := io.ReadFull(&c.body, body); err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	c.server.fences.mu.RLock()
	defer c.server.fences.mu.RUnlock()
	order, rejection := c.checkFence(ex)
	if rejection != nil {
		return rejection
	}
	order.number = number
	mu := &c.server.fences.patchLocks[crc32.ChecksumIEEE([]byte(ex.Name))%numPatchLocks]
	mu.Lock()
	defer mu.Unlock()
	return c.rewriteExtent(ex, order, int64(offset), body, c.req.Fields.Get(brick.HeaderTruncate) == "1")
}

// rewriteExtent stores the extent with part written at offset, or empty if
// truncate is set. The caller holds the extent's patch lock.
func (c *conn) rewriteExtent(ex *Exchange, order writeOrder, offset int64, part []byte, truncate bool) *reply {
	blob, err := c.server.blobs.Get(ex.Space, ex.Name)
	content := part
	switch {
	case errors.Is(err, store.ErrNotFound):
		if offset > 0 {
			content = append(make([]byte, offset, offset+int64(len(part))), part...)
		}
	case err != nil:
		return storeFailure(err)
	default:
		defer blob.Close()
		if !order.isNewerThan(decodeWriteOrder(blob.Meta)) {
			return &reply{status: 200, version: blob.Version, repeat: true}
		}
		if !truncate && (offset > 0 || int64(len(part)) < blob.Size) {
			content = make([]byte, max(blob.Size, offset+int64(len(part))))
			if _, err := blob.ReadAt(content[:blob.Size], 0); err != nil && blob.Size > 0 {
				return storeFailure(err)
			}
			copy(content[offset:], part)
		}
	}
	if truncate {
		content = nil
	}
	info := store.Info{Name: ex.Name, Meta: order.encode(), Size: int64(len(content))}
	stored, _, err := c.server.blobs.Put(context.Background(), ex.Space, info, bytes.NewReader(content), nil, store.Condition{})
	if err != nil {
		return &reply{status: statusOf(err), text: err.Error()}
	}
	ex.Stored = true
	return &reply{status: 200, version: stored.Version}
}
