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

// ErrNotFound says that there is no such volume.
var ErrNotFound = errors.New("no such volume")

// errChanged says that a record was written by another meanwhile.
var errChanged = errors.New("the volume's record was changed by another at the same time")

// Records are read and written, and what is deleted goes, under the first plan
// and a volume of their own: the module keeps the plan with which it first saw
// a volume, and a disk's own requests must find theirs.
const (
	recordPlan   = 0
	recordVolume = ""
)

func (s *Store) home(name string) int { return s.slots.Shard("volume/" + name) }

// again runs do until it is served, package retry gives it up or ctx ends.
func again(ctx context.Context, kind retry.Kind, do func() (time.Duration, error)) error {
	began, r := time.Now(), &retry.State{}
	for {
		after, err := do()
		end := retry.Refused
		switch {
		case errors.Is(err, errRefused):
		case errors.Is(err, ErrIO):
			end = retry.Failed
		default:
			return err
		}
		wait, why := retry.DefaultPolicy.NextWait(r, kind, end, time.Since(began), after)
		switch {
		case why != "" && end == retry.Failed:
			return err
		case why != "":
			return fmt.Errorf("%w: refused, and %s", ErrIO, why)
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// ReadRecord reads a volume's record, and the version that a change must meet.
func (s *Store) ReadRecord(ctx context.Context, name string) (rec *extent.VolumeRecord, version uint64, err error) {
	err = again(ctx, retry.Read, func() (time.Duration, error) {
		c := s.newCall(recordVolume, recordPlan, config.ClassRead, s.home(name), 0, brick.Request{Method: "GET", Space: brick.SpaceVolumes, Name: name})
		c.HandleResponse = c.takeRecord(s)
		after, err := s.do(c, name)
		if err != nil {
			return after, err
		}
		if c.Response.Status == 404 {
			return 0, fmt.Errorf("volume %s: %w", name, ErrNotFound)
		}
		rec, err = extent.Decode(c.text)
		version = c.Response.Version
		return 0, err
	})
	return rec, version, err
}

// keep writes a record over the version that it comes from; 0: there is none.
func (s *Store) keep(ctx context.Context, rec *extent.VolumeRecord, version uint64) error {
	return again(ctx, retry.Write, func() (time.Duration, error) {
		text := rec.Encode()
		c := s.newCall(recordVolume, recordPlan, config.ClassWrite, s.home(rec.Name), int64(len(text)),
			brick.Request{Method: "PUT", Space: brick.SpaceVolumes, Name: rec.Name, Body: brick.Bytes(text), IfVersion: version, IfAbsent: version == 0})
		after, err := s.do(c, rec.Name)
		if err == nil && c.Response.Status == 412 {
			err = fmt.Errorf("volume %s: %w", rec.Name, errChanged)
		}
		if err == nil && c.Response.Status == 507 {
			err = fmt.Errorf("volume %s: its brick has no room", rec.Name)
		}
		return after, err
	})
}

// Create makes a volume. Thin: nothing is stored of what was never written.
func (s *Store) Create(ctx context.Context, name string, bytes, block int64, plan string) (*extent.VolumeRecord, error) {
	if _, err := s.planOf(plan); err != nil {
		return nil, err
	}
	rec, err := extent.New(name, bytes, block, plan)
	if err != nil {
		return nil, err
	}
	if err := s.keep(ctx, rec, 0); errors.Is(err, errChanged) {
		return nil, fmt.Errorf("volume %s is there already", name)
	} else if err != nil {
		return nil, err
	}
	return rec, nil
}

// change reads a record, changes it and writes it, until nobody came between.
func (s *Store) change(ctx context.Context, name string, do func(*extent.VolumeRecord) (*extent.VolumeRecord, error)) (*extent.VolumeRecord, error) {
	for range 8 {
		rec, version, err := s.ReadRecord(ctx, name)
		if err != nil {
			return nil, err
		}
		next, err := do(rec)
		if err != nil {
			return nil, err
		}
		if err = s.keep(ctx, next, version); !errors.Is(err, errChanged) {
			return next, err
		}
	}
	return nil, fmt.Errorf("volume %s: %w, eight times", name, errChanged)
}

// Resize changes a volume's size. What a smaller one loses is dropped.
func (s *Store) Resize(ctx context.Context, name string, bytes int64) (*extent.VolumeRecord, error) {
	var before int64
	rec, err := s.change(ctx, name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) {
		before = r.ExtentCount()
		return r.Resize(bytes)
	})
	if err != nil || rec.ExtentCount() >= before {
		return rec, err
	}
	return rec, s.drop(ctx, rec, rec.ExtentCount())
}

// Delete removes a volume that nobody has, and its extents.
func (s *Store) Delete(ctx context.Context, name string) error {
	rec, err := s.change(ctx, name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) {
		return r.Attach("deleted", false, time.Now().UnixMicro())
	})
	if err != nil {
		return err
	}
	if err := s.drop(ctx, rec, 0); err != nil {
		return err
	}
	return again(ctx, retry.Write, func() (time.Duration, error) {
		c := s.newCall(recordVolume, recordPlan, config.ClassWrite, s.home(name), 0, brick.Request{Method: "DELETE", Space: brick.SpaceVolumes, Name: name})
		return s.do(c, name)
	})
}

// names lists a space's names with a prefix at a shard.
func (s *Store) names(ctx context.Context, space, prefix string, shard int) ([]string, error) {
	var out []string
	after := ""
	for {
		var p brick.ListResponse
		err := again(ctx, retry.Read, func() (time.Duration, error) {
			c := s.newCall(recordVolume, recordPlan, config.ClassRead, shard, 0, brick.Request{Method: "GET", Space: space, List: &brick.ListQuery{Prefix: prefix, After: after, MaxItems: 100}})
			c.HandleResponse = c.takeRecord(s)
			wait, err := s.do(c, prefix)
			if err != nil {
				return wait, err
			}
			p = brick.ListResponse{}
			return 0, json.Unmarshal(c.text, &p)
		})
		if err != nil {
			return nil, err
		}
		for _, it := range p.Items {
			out = append(out, string(it.Name))
			after = string(it.Name)
		}
		if !p.More {
			return out, nil
		}
	}
}

// drop deletes the extents from one on.
func (s *Store) drop(ctx context.Context, rec *extent.VolumeRecord, from int64) error {
	for shard := range s.slots.Shards() {
		names, err := s.names(ctx, brick.SpaceExtents, rec.ExtentPrefix(), shard)
		if err != nil {
			return err
		}
		for _, name := range names {
			var index int64
			if _, err := fmt.Sscanf(strings.TrimPrefix(name, rec.ExtentPrefix()), "%d", &index); err != nil || index < from {
				continue
			}
			err := again(ctx, retry.Write, func() (time.Duration, error) {
				return s.do(s.newCall(recordVolume, recordPlan, config.ClassWrite, shard, 0, brick.Request{Method: "DELETE", Space: brick.SpaceExtents, Name: name}), rec.Name)
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// List returns all volumes' records, by name.
func (s *Store) List(ctx context.Context) ([]*extent.VolumeRecord, error) {
	var out []*extent.VolumeRecord
	for shard := range s.slots.Shards() {
		names, err := s.names(ctx, brick.SpaceVolumes, "", shard)
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
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b *extent.VolumeRecord) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Volume is an attached volume. It is safe for concurrent use; writes of one
// extent must not run at once (package order sees to that).
type Volume struct {
	s      *Store
	rec    *extent.VolumeRecord
	plan   int
	number atomic.Uint64 // of writes, over all extents
	over   atomic.Bool   // it was attached anew elsewhere

	mu     sync.Mutex
	fenced map[int]chan struct{} // by shard: closed once its brick knows the epoch
}

// Attach takes a volume for holder; the *extent.Held error names who has it.
// Requests of an earlier attachment are refused by each brick from the first
// request of this one there.
func (s *Store) Attach(ctx context.Context, name, holder string, steal bool) (*Volume, error) {
	rec, err := s.change(ctx, name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) {
		return r.Attach(holder, steal, time.Now().UnixMicro())
	})
	if err != nil {
		return nil, err
	}
	plan, err := s.planOf(rec.Plan)
	if err != nil {
		return nil, err
	}
	v := &Volume{s: s, rec: rec, plan: plan, fenced: map[int]chan struct{}{}}
	for shard := range s.slots.Shards() { // now where bricks are ready; else before the first use
		v.fence(ctx, shard)
	}
	return v, nil
}

// Record returns the volume's record as it was attached.
func (v *Volume) Record() *extent.VolumeRecord { return v.rec }

// IsFenced tells whether the volume was attached anew elsewhere.
func (v *Volume) IsFenced() bool { return v.over.Load() }

// Detach gives the volume free.
func (v *Volume) Detach(ctx context.Context) error {
	_, err := v.s.change(ctx, v.rec.Name, func(r *extent.VolumeRecord) (*extent.VolumeRecord, error) { return r.Detach(v.rec.Epoch) })
	return err
}

// fence has a shard's brick refuse earlier attachments, once.
func (v *Volume) fence(ctx context.Context, shard int) error {
	for {
		v.mu.Lock()
		wait, begun := v.fenced[shard]
		if !begun {
			wait = make(chan struct{})
			v.fenced[shard] = wait
		}
		v.mu.Unlock()
		if begun {
			select {
			case <-wait:
			case <-ctx.Done():
				return ctx.Err()
			}
			v.mu.Lock()
			_, still := v.fenced[shard]
			v.mu.Unlock()
			if still {
				return nil
			}
			continue // it failed: try it ourselves
		}
		if v.s.opt.DisableFencing {
			close(wait)
			return nil
		}
		c := v.s.newCall(v.rec.Name, v.plan, config.ClassWrite, shard, 0, brick.Request{Method: "PUT", Space: brick.SpaceFences, Name: v.rec.Name, Epoch: v.rec.Epoch, Body: brick.Bytes(nil)})
		_, err := v.s.do(c, v.rec.Name)
		if err == nil && c.Response.Status != 200 {
			err = fmt.Errorf("%w: fence: status %d", ErrIO, c.Response.Status)
		}
		if err != nil {
			v.mu.Lock()
			delete(v.fenced, shard)
			v.mu.Unlock()
		}
		close(wait)
		v.note(err)
		return err
	}
}

func (v *Volume) note(err error) {
	if errors.Is(err, ErrFenced) {
		v.over.Store(true)
	}
}

// ready makes sure that a shard's brick knows the epoch.
func (v *Volume) ready(ctx context.Context, shard int) error {
	v.mu.Lock()
	wait := v.fenced[shard]
	v.mu.Unlock()
	if wait != nil {
		select {
		case <-wait:
			return nil
		default:
		}
	}
	return again(ctx, retry.Write, func() (time.Duration, error) { return 0, v.fence(ctx, shard) })
}

// cut returns the part of buffers that holds bytes from an offset.
func cut(bufs [][]byte, from, bytes int64, into [][]byte) [][]byte {
	for _, b := range bufs {
		n := int64(len(b))
		if from >= n {
			from -= n
			continue
		}
		part := b[from:min(n, from+bytes)]
		into = append(into, part)
		bytes -= int64(len(part))
		if from = 0; bytes == 0 {
			break
		}
	}
	return into
}

// Read fills buffers from an offset of the volume. A read that failed is safe
// to repeat, and is, as far as package retry has it.
func (v *Volume) Read(ctx context.Context, from int64, bufs [][]byte) error {
	total := int64(0)
	for _, b := range bufs {
		total += int64(len(b))
	}
	at := int64(0)
	for _, p := range v.rec.SplitRange(from, total, nil) {
		if err := v.readPiece(ctx, p, cut(bufs, at, p.Bytes, nil)); err != nil {
			return err
		}
		at += p.Bytes
	}
	return nil
}

func (v *Volume) readPiece(ctx context.Context, p extent.Piece, into [][]byte) error {
	name := v.rec.ExtentName(p.ExtentIndex)
	shard := v.s.slots.Shard(name)
	if err := v.ready(ctx, shard); err != nil {
		return err
	}
	return again(ctx, retry.Read, func() (time.Duration, error) {
		c := v.s.newCall(v.rec.Name, v.plan, config.ClassRead, shard, p.Bytes,
			brick.Request{Method: "GET", Space: brick.SpaceExtents, Name: name, Epoch: v.rec.Epoch, Range: fmt.Sprintf("bytes=%d-%d", p.Offset, p.Offset+p.Bytes-1)})
		c.into = into
		c.HandleResponse = c.takeInto(v.s)
		after, err := v.s.do(c, v.rec.Name)
		v.note(err)
		if err != nil {
			return after, err
		}
		status := c.Response.Status
		switch status {
		case 200, 206:
			return 0, nil
		case 404, 416: // never written
			for _, b := range into {
				clear(b)
			}
			return 0, nil
		}
		return 0, fmt.Errorf("%w: status %d", ErrIO, status)
	})
}

// body is a Body of parts that are not copied.
type body struct {
	parts [][]byte
	n     int64
}

func (b *body) Len() int64 { return b.n }

// Parts returns a copy of the list: who writes it consumes it.
func (b *body) Parts() ([][]byte, io.Reader) { return slices.Clone(b.parts), nil }

// Sums returns none: the memory is the guest's, who may change it while it is
// sent, as with any disk. The brick makes them of what came.
func (b *body) Sums() []uint32 { return nil }

// Write stores buffers at an offset of the volume; it is durable when it
// returns. A write that was refused never ran and is tried again; one that
// failed may have run, or may still, and is an error.
func (v *Volume) Write(ctx context.Context, from int64, bufs [][]byte) error {
	total := int64(0)
	for _, b := range bufs {
		total += int64(len(b))
	}
	at := int64(0)
	for _, p := range v.rec.SplitRange(from, total, nil) {
		b := &body{cut(bufs, at, p.Bytes, nil), p.Bytes}
		if err := v.patch(ctx, p, b, false); err != nil {
			return err
		}
		at += p.Bytes
	}
	return nil
}

func (v *Volume) patch(ctx context.Context, p extent.Piece, b brick.Body, truncate bool) error {
	name := v.rec.ExtentName(p.ExtentIndex)
	shard := v.s.slots.Shard(name)
	if err := v.ready(ctx, shard); err != nil {
		return err
	}
	number := v.number.Add(1)
	return again(ctx, retry.Write, func() (time.Duration, error) {
		c := v.s.newCall(v.rec.Name, v.plan, config.ClassWrite, shard, b.Len(), brick.Request{Method: "PATCH", Space: brick.SpaceExtents, Name: name,
			Epoch: v.rec.Epoch, Offset: p.Offset, Number: number, Truncate: truncate, Body: b})
		after, err := v.s.do(c, v.rec.Name)
		v.note(err)
		if err != nil {
			return after, err
		}
		status := c.Response.Status
		if status != 200 {
			return 0, fmt.Errorf("%w: status %d", ErrIO, status)
		}
		return 0, nil
	})
}

// zeros is what parts of extents are overwritten with.
var zeros [extent.DefaultExtentBytes]byte

// Zero makes a range of the volume read as zeros. Whole extents are emptied.
func (v *Volume) Zero(ctx context.Context, from, bytes int64) error {
	for _, p := range v.rec.SplitRange(from, bytes, nil) {
		whole := p.Offset == 0 && (p.Bytes == v.rec.ExtentBytes || p.ExtentIndex*v.rec.ExtentBytes+p.Bytes == v.rec.SizeBytes)
		b := brick.Bytes(nil)
		if !whole {
			b = brick.Bytes(zeros[:min(p.Bytes, int64(len(zeros)))])
		}
		if err := v.patch(ctx, p, b, whole); err != nil {
			return err
		}
	}
	return nil
}
