package volume

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/volume/extent"
	"arrowwalk/internal/volume/retry"
)

// ErrNotFound reports that a volume does not exist.
var ErrNotFound = errors.New("no such volume")

// errConflict reports that a record was changed between its read and its write.
var errConflict = errors.New("the volume's record was changed concurrently")

// Records are read and written, and extents deleted, under the first plan and a
// volume ID of their own. The module keeps the plan with which it first saw a
// volume, so these requests must not use the ID of a disk that may have another
// plan.
const (
	recordPlan   = 0
	recordVolume = ""
)

// recordShard returns the shard that stores a volume's record.
func (s *Store) recordShard(name string) int { return s.slots.Shard("volume/" + name) }

// retryUntilServed runs call until it ends with neither errRefused nor ErrIO, the
// retry policy gives up or ctx ends. It returns the error of the last call.
func retryUntilServed(ctx context.Context, kind retry.Kind, call func() (time.Duration, error)) error {
	began, state := time.Now(), &retry.State{}
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		retryAfter, err := call()
		outcome := retry.Refused
		switch {
		case errors.Is(err, errRefused):
		case errors.Is(err, ErrIO):
			outcome = retry.Failed
		default:
			return err
		}
		wait, reason := retry.DefaultPolicy.NextWait(state, kind, outcome, time.Since(began), retryAfter)
		switch {
		case reason != "" && outcome == retry.Failed:
			return err
		case reason != "":
			return fmt.Errorf("%w: the request was refused, and %s", ErrIO, reason)
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// ReadRecord reads a volume's record. version is the stored version, which a
// conditional write must match. It returns ErrNotFound if there is no such volume.
func (s *Store) ReadRecord(ctx context.Context, name string) (rec *extent.VolumeRecord, version uint64, err error) {
	err = retryUntilServed(ctx, retry.Read, func() (time.Duration, error) {
		c := s.newCall(recordVolume, recordPlan, config.ClassRead, s.recordShard(name), 0, brick.Request{Method: "GET", Space: brick.SpaceVolumes, Name: name})
		c.HandleResponse = c.readRecordBody(s)
		retryAfter, err := s.perform(ctx, c, name)
		if err != nil {
			return retryAfter, err
		}
		if c.Response.Status == 404 {
			return 0, fmt.Errorf("volume %s: %w", name, ErrNotFound)
		}
		rec, err = extent.Decode(c.recordBytes)
		version = c.Response.Version
		return 0, err
	})
	return rec, version, err
}

// writeRecord writes a record if version is still the stored one, or, with version
// 0, if there is no record. Otherwise it returns errConflict.
func (s *Store) writeRecord(ctx context.Context, rec *extent.VolumeRecord, version uint64) error {
	return retryUntilServed(ctx, retry.Write, func() (time.Duration, error) {
		encoded := rec.Encode()
		c := s.newCall(recordVolume, recordPlan, config.ClassWrite, s.recordShard(rec.Name), int64(len(encoded)),
			brick.Request{Method: "PUT", Space: brick.SpaceVolumes, Name: rec.Name, Body: brick.Bytes(encoded), IfVersion: version, IfAbsent: version == 0})
		retryAfter, err := s.perform(ctx, c, rec.Name)
		if err == nil && c.Response.Status == 412 {
			err = fmt.Errorf("volume %s: %w", rec.Name, errConflict)
		}
		if err == nil && c.Response.Status == 507 {
			err = fmt.Errorf("volume %s: its brick has no free space", rec.Name)
		}
		return retryAfter, err
	})
}

// Create creates a volume with sizes in bytes. It is thinly provisioned: an extent
// is stored once it is written.
func (s *Store) Create(ctx context.Context, name string, sizeBytes, blockBytes int64, plan string) (*extent.VolumeRecord, error) {
	if _, err := s.planIndex(plan); err != nil {
		return nil, err
	}
	rec, err := extent.New(name, sizeBytes, blockBytes, plan)
	if err != nil {
		return nil, err
	}
	if err := s.writeRecord(ctx, rec, 0); errors.Is(err, errConflict) {
		return nil, fmt.Errorf("volume %s already exists", name)
	} else if err != nil {
		return nil, err
	}
	return rec, nil
}

// updateRecord reads a record, applies modify and writes the result. It starts over
// if the record was changed meanwhile.
func (s *Store) updateRecord(ctx context.Context, name string, modify func(*extent.VolumeRecord) (*extent.VolumeRecord, error)) (*extent.VolumeRecord, error) {
	for range 8 {
		rec, version, err := s.ReadRecord(ctx, name)
		if err != nil {
			return nil, err
		}
		next, err := modify(rec)
		if err != nil {
			return nil, err
		}
		if err = s.writeRecord(ctx, next, version); !errors.Is(err, errConflict) {
			return next, err
		}
	}
	return nil, fmt.Errorf("volume %s: %w in each of 8 tries", name, errConflict)
}

// Resize changes a volume's size. The extents past the end of a smaller one are
// deleted.
func (s *Store) Resize(ctx context.Context, name string, sizeBytes int64) (*extent.VolumeRecord, error) {
	var oldCount int64
	rec, err := s.updateRecord(ctx, name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) {
		oldCount = r.ExtentCount()
		return r.Resize(sizeBytes)
	})
	if err != nil || rec.ExtentCount() >= oldCount {
		return rec, err
	}
	return rec, s.deleteExtents(ctx, rec, rec.ExtentCount())
}

// Delete deletes a volume that is not attached, and its extents. It attaches the
// volume to the holder "deleted" first, so that a host can attach it meanwhile only
// with steal.
func (s *Store) Delete(ctx context.Context, name string) error {
	rec, err := s.updateRecord(ctx, name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) {
		return r.Attach("deleted", false, time.Now().UnixMicro())
	})
	if err != nil {
		return err
	}
	if err := s.deleteExtents(ctx, rec, 0); err != nil {
		return err
	}
	return retryUntilServed(ctx, retry.Write, func() (time.Duration, error) {
		c := s.newCall(recordVolume, recordPlan, config.ClassWrite, s.recordShard(name), 0, brick.Request{Method: "DELETE", Space: brick.SpaceVolumes, Name: name})
		return s.perform(ctx, c, name)
	})
}

// listNames returns the names of a space at a shard that begin with prefix.
func (s *Store) listNames(ctx context.Context, space, prefix string, shard int) ([]string, error) {
	var names []string
	after := ""
	for {
		var page brick.ListResponse
		err := retryUntilServed(ctx, retry.Read, func() (time.Duration, error) {
			c := s.newCall(recordVolume, recordPlan, config.ClassRead, shard, 0, brick.Request{Method: "GET", Space: space, List: &brick.ListQuery{Prefix: prefix, After: after, MaxItems: 100}})
			c.HandleResponse = c.readRecordBody(s)
			wait, err := s.perform(ctx, c, prefix)
			if err != nil {
				return wait, err
			}
			page = brick.ListResponse{}
			return 0, json.Unmarshal(c.recordBytes, &page)
		})
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			names = append(names, string(item.Name))
			after = string(item.Name)
		}
		if !page.More {
			return names, nil
		}
	}
}

// deleteExtents deletes the extents whose index is first or higher.
func (s *Store) deleteExtents(ctx context.Context, rec *extent.VolumeRecord, first int64) error {
	for shard := range s.slots.Shards() {
		names, err := s.listNames(ctx, brick.SpaceExtents, rec.ExtentPrefix(), shard)
		if err != nil {
			return err
		}
		for _, name := range names {
			var index int64
			if _, err := fmt.Sscanf(strings.TrimPrefix(name, rec.ExtentPrefix()), "%d", &index); err != nil || index < first {
				continue
			}
			err := retryUntilServed(ctx, retry.Write, func() (time.Duration, error) {
				return s.perform(ctx, s.newCall(recordVolume, recordPlan, config.ClassWrite, shard, 0, brick.Request{Method: "DELETE", Space: brick.SpaceExtents, Name: name}), rec.Name)
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// List returns the records of all volumes, sorted by name.
func (s *Store) List(ctx context.Context) ([]*extent.VolumeRecord, error) {
	var records []*extent.VolumeRecord
	for shard := range s.slots.Shards() {
		names, err := s.listNames(ctx, brick.SpaceVolumes, "", shard)
		if err != nil {
			return nil, err
		}
		for _, name := range names {
			rec, _, err := s.ReadRecord(ctx, name)
			if errors.Is(err, ErrNotFound) {
				continue
			}
			if err != nil {
				return nil, err
			}
			records = append(records, rec)
		}
	}
	slices.SortFunc(records, func(a, b *extent.VolumeRecord) int { return strings.Compare(a.Name, b.Name) })
	return records, nil
}

// Volume is an attached volume. It is safe for concurrent use, except that writes
// of the same extent must not run at once; package ordering keeps them apart.
type Volume struct {
	store           *Store
	record          *extent.VolumeRecord
	plan            int
	lastWriteNumber atomic.Uint64 // counts writes over all extents
	fenced          atomic.Bool   // set once a brick reports a newer attachment

	mu        sync.Mutex
	fenceDone map[int]chan struct{} // by shard: closed once the attempt to fence its brick has ended
}

// Attach attaches a volume to holder. It returns an *extent.HeldError if another
// holder has it and steal is false. From the first request of the new attachment at
// a brick on, that brick refuses the requests of earlier ones.
func (s *Store) Attach(ctx context.Context, name, holder string, steal bool) (*Volume, error) {
	rec, err := s.updateRecord(ctx, name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) {
		return r.Attach(holder, steal, time.Now().UnixMicro())
	})
	if err != nil {
		return nil, err
	}
	plan, err := s.planIndex(rec.Plan)
	if err != nil {
		return nil, err
	}
	v := &Volume{store: s, record: rec, plan: plan, fenceDone: map[int]chan struct{}{}}
	for shard := range s.slots.Shards() { // an error is ignored: the first use of the shard fences it then
		v.fence(ctx, shard)
	}
	return v, nil
}

// Record returns the volume's record as it was attached.
func (v *Volume) Record() *extent.VolumeRecord { return v.record }

// IsFenced reports whether a newer attachment is known to have replaced this one.
func (v *Volume) IsFenced() bool { return v.fenced.Load() }

// Detach detaches the volume, so that another holder can attach it.
func (v *Volume) Detach(ctx context.Context) error {
	_, err := v.store.updateRecord(ctx, v.record.Name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) { return r.Detach(v.record.Epoch) })
	return err
}

// fence tells a shard's brick the epoch of this attachment, so that it refuses the
// requests of earlier ones. Concurrent callers wait for the one that sends it.
func (v *Volume) fence(ctx context.Context, shard int) error {
	for {
		v.mu.Lock()
		done, started := v.fenceDone[shard]
		if !started {
			done = make(chan struct{})
			v.fenceDone[shard] = done
		}
		v.mu.Unlock()
		if started {
			select {
			case <-done:
			case <-ctx.Done():
				return ctx.Err()
			}
			v.mu.Lock()
			_, fenced := v.fenceDone[shard]
			v.mu.Unlock()
			if fenced {
				return nil
			}
			continue // the other attempt failed: try again
		}
		if v.store.options.DisableFencing {
			close(done)
			return nil
		}
		c := v.store.newCall(v.record.Name, v.plan, config.ClassWrite, shard, 0, brick.Request{Method: "PUT", Space: brick.SpaceFences, Name: v.record.Name, Epoch: v.record.Epoch, Body: brick.Bytes(nil)})
		_, err := v.store.perform(ctx, c, v.record.Name)
		if err == nil && c.Response.Status != 200 {
			err = fmt.Errorf("%w: fencing a brick: status %d", ErrIO, c.Response.Status)
		}
		if err != nil {
			v.mu.Lock()
			delete(v.fenceDone, shard)
			v.mu.Unlock()
		}
		close(done)
		v.noteFencing(err)
		return err
	}
}

// noteFencing notes that the volume was replaced by a newer attachment if err
// says so.
func (v *Volume) noteFencing(err error) {
	if errors.Is(err, ErrFenced) {
		v.fenced.Store(true)
	}
}

// ensureFenced fences a shard's brick unless that is done, and retries a failure.
func (v *Volume) ensureFenced(ctx context.Context, shard int) error {
	v.mu.Lock()
	done := v.fenceDone[shard]
	v.mu.Unlock()
	if done != nil {
		select {
		case <-done:
			return nil
		default:
		}
	}
	return retryUntilServed(ctx, retry.Write, func() (time.Duration, error) { return 0, v.fence(ctx, shard) })
}

// sliceBuffers appends to parts the subslices of bufs that cover the given number
// of bytes at an offset.
func sliceBuffers(bufs [][]byte, offset, bytes int64, parts [][]byte) [][]byte {
	for _, buf := range bufs {
		n := int64(len(buf))
		if offset >= n {
			offset -= n
			continue
		}
		part := buf[offset:min(n, offset+bytes)]
		parts = append(parts, part)
		bytes -= int64(len(part))
		if offset = 0; bytes == 0 {
			break
		}
	}
	return parts
}

// Read fills bufs from an offset of the volume, in bytes. Failed reads are retried
// within the bounds of package retry.
func (v *Volume) Read(ctx context.Context, offset int64, bufs [][]byte) error {
	total := int64(0)
	for _, b := range bufs {
		total += int64(len(b))
	}
	done := int64(0)
	for _, p := range v.record.SplitRange(offset, total, nil) {
		if err := v.readPiece(ctx, p, sliceBuffers(bufs, done, p.Bytes, nil)); err != nil {
			return err
		}
		done += p.Bytes
	}
	return nil
}

// readPiece reads one piece into bufs, retrying as the policy allows.
func (v *Volume) readPiece(ctx context.Context, p extent.Piece, bufs [][]byte) error {
	name := v.record.ExtentName(p.ExtentIndex)
	shard := v.store.slots.Shard(name)
	if err := v.ensureFenced(ctx, shard); err != nil {
		return err
	}
	return retryUntilServed(ctx, retry.Read, func() (time.Duration, error) {
		c := v.store.newCall(v.record.Name, v.plan, config.ClassRead, shard, p.Bytes,
			brick.Request{Method: "GET", Space: brick.SpaceExtents, Name: name, Epoch: v.record.Epoch, Range: fmt.Sprintf("bytes=%d-%d", p.Offset, p.Offset+p.Bytes-1)})
		c.readBuffers = bufs
		c.HandleResponse = c.readExtentBody(v.store)
		retryAfter, err := v.store.perform(ctx, c, v.record.Name)
		v.noteFencing(err)
		if err != nil {
			return retryAfter, err
		}
		status := c.Response.Status
		switch status {
		case 200, 206:
			return 0, nil
		case 404, 416: // the extent was never written
			for _, buf := range bufs {
				clear(buf)
			}
			return 0, nil
		}
		return 0, fmt.Errorf("%w: status %d", ErrIO, status)
	})
}

// bufferBody is a brick.Body that sends buffers without copying them.
type bufferBody struct {
	parts  [][]byte
	length int64
}

func (b *bufferBody) Len() int64 { return b.length }

// Parts returns a copy of the list, because the writer consumes it.
func (b *bufferBody) Parts() ([][]byte, io.Reader) { return slices.Clone(b.parts), nil }

// Sums returns no checksums, because the guest may change its memory while it is
// sent. The brick computes them over the bytes that it received.
func (b *bufferBody) Sums() []uint32 { return nil }

// Write writes bufs at an offset of the volume, in bytes. The data is durable when
// it returns nil. A refused write never ran and is retried. A failed write may have
// run or may run later, and is returned as an error.
func (v *Volume) Write(ctx context.Context, offset int64, bufs [][]byte) error {
	total := int64(0)
	for _, b := range bufs {
		total += int64(len(b))
	}
	done := int64(0)
	for _, p := range v.record.SplitRange(offset, total, nil) {
		b := &bufferBody{sliceBuffers(bufs, done, p.Bytes, nil), p.Bytes}
		if err := v.writePiece(ctx, p, b, false); err != nil {
			return err
		}
		done += p.Bytes
	}
	return nil
}

// writePiece writes body at the offset of a piece, and truncates the extent after it
// if truncate is set.
func (v *Volume) writePiece(ctx context.Context, p extent.Piece, body brick.Body, truncate bool) error {
	name := v.record.ExtentName(p.ExtentIndex)
	shard := v.store.slots.Shard(name)
	if err := v.ensureFenced(ctx, shard); err != nil {
		return err
	}
	number := v.lastWriteNumber.Add(1)
	return retryUntilServed(ctx, retry.Write, func() (time.Duration, error) {
		c := v.store.newCall(v.record.Name, v.plan, config.ClassWrite, shard, body.Len(), brick.Request{Method: "PATCH", Space: brick.SpaceExtents, Name: name,
			Epoch: v.record.Epoch, Offset: p.Offset, Number: number, Truncate: truncate, Body: body})
		retryAfter, err := v.store.perform(ctx, c, v.record.Name)
		v.noteFencing(err)
		if err != nil {
			return retryAfter, err
		}
		status := c.Response.Status
		if status != 200 {
			return 0, fmt.Errorf("%w: status %d", ErrIO, status)
		}
		return 0, nil
	})
}

// zeroBytes overwrites partial extents in Zero.
var zeroBytes [extent.DefaultExtentBytes]byte

// Zero makes a range of bytes read as zeros. It truncates extents that the range
// covers completely.
func (v *Volume) Zero(ctx context.Context, offset, bytes int64) error {
	for _, p := range v.record.SplitRange(offset, bytes, nil) {
		whole := p.Offset == 0 && (p.Bytes == v.record.ExtentBytes || p.ExtentIndex*v.record.ExtentBytes+p.Bytes == v.record.SizeBytes)
		body := brick.Bytes(nil)
		if !whole {
			body = brick.Bytes(zeroBytes[:min(p.Bytes, int64(len(zeroBytes)))])
		}
		if err := v.writePiece(ctx, p, body, whole); err != nil {
			return err
		}
	}
	return nil
}
