package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	"arrowwalk/internal/store/maintpolicy"
	"arrowwalk/internal/store/record"
)

// Segments returns the log's segments but the one that is written to.
func (s *Store) Segments() []maintpolicy.Segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []maintpolicy.Segment
	for _, n := range sortedKeys(s.segments) {
		if seg := s.segments[n]; seg != s.log.segment {
			out = append(out, maintpolicy.Segment{Number: n, SizeBytes: seg.size, LiveBytes: seg.live, AgeGroups: int64(s.log.group) - seg.born})
		}
	}
	return out
}

// FreeBytes returns the bytes that the disk has left.
func (s *Store) FreeBytes() (int64, error) { return s.fs.Free() }

// Compact moves what is live in a segment to the log's end, so that a later
// checkpoint removes the file. pace is asked before each part is read and
// waits as long as it likes; an error of it ends the compaction, which can be
// begun anew. What cannot be read stays where it is, and is an error at the end.
func (s *Store) Compact(ctx context.Context, number uint32, pace func(bytes int64) error) error {
	s.mu.RLock()
	seg := s.segments[number]
	if seg == nil || seg == s.log.segment {
		s.mu.RUnlock()
		return fmt.Errorf("segment %s: not one that can be compacted", segmentFile(number))
	}
	seg.hold()
	need := seg.live + 2*s.checkSize + s.opt.MaxGroupBytes // the rest is for deletes
	s.mu.RUnlock()
	defer seg.release()
	if free, err := s.fs.Free(); err != nil || free < need {
		return errors.Join(ErrNoSpace, err)
	}
	var hurt error
	for at := int64(record.SegmentHeaderLen); at < seg.size; {
		if err := ctx.Err(); err != nil {
			return err
		}
		took, err := s.moveGroup(seg, at, pace)
		if errors.Is(err, ErrCorrupt) {
			hurt, err = err, nil
		}
		if err != nil {
			return err
		}
		at += took
	}
	if hurt == nil {
		s.counts.CompactedSegments.Add(1)
	}
	return hurt
}

// moveGroup moves what is live of the group at a place and returns the bytes
// that the group took.
func (s *Store) moveGroup(seg *segment, at int64, pace func(int64) error) (int64, error) {
	head := make([]byte, record.GroupHeaderLen)
	if _, err := seg.file.ReadAt(head, at); err != nil {
		return 0, err
	}
	g, err := record.ParseGroupHeader(head)
	if err != nil || at+record.GroupSize(int64(g.Length)) > seg.size {
		return record.GroupAlign, fmt.Errorf("%s at %d: %w", segmentFile(seg.number), at, ErrCorrupt)
	}
	span := record.GroupSize(int64(g.Length))
	if pace != nil {
		if err := pace(span); err != nil {
			return 0, err
		}
	}
	payload := make([]byte, g.Length)
	if _, err := seg.file.ReadAt(payload, at+record.GroupHeaderLen); err != nil {
		return 0, err
	}
	ops, hurt := s.liveIn(seg, at+record.GroupHeaderLen, payload)
	for _, o := range ops {
		o.done = make(chan struct{})
		if err := s.queue.put(o); err != nil {
			return 0, err
		}
	}
	for _, o := range ops {
		<-o.done
		switch {
		case o.err == nil:
			s.counts.MovedRecords.Add(1)
		case !errors.Is(o.err, errMoved):
			hurt = o.err
		}
	}
	return span, hurt
}

// liveIn returns the moves of the records that the index refers to.
func (s *Store) liveIn(seg *segment, offset int64, payload []byte) (ops []*op, hurt error) {
	for len(payload) > 0 {
		r, n, err := record.Parse(payload)
		span := int64(n) + r.InlineSize()
		if err != nil || span > int64(len(payload)) {
			return ops, fmt.Errorf("%s at %d: a record: %w", segmentFile(seg.number), offset, ErrCorrupt)
		}
		from := place{seg.number, offset}
		s.mu.RLock()
		e, there := s.index.get(r.Space, r.Name)
		s.mu.RUnlock()
		if there && e.segment == from.segment && e.offset == from.offset {
			body := payload[n:span]
			if bad := firstBad(&r, body); bad >= 0 {
				hurt = s.corrupt(r.Space, r.Name, r.Version, bad, fmt.Sprintf("%s at %d", segmentFile(seg.number), offset+int64(n)))
			} else {
				ops = append(ops, &op{space: r.Space, rec: r, body: body, from: &from})
			}
		}
		payload = payload[span:]
		offset += span
	}
	return ops, hurt
}

// firstBad returns the first block of a record's inline body that is not what
// was written, or -1.
func firstBad(r *record.Record, body []byte) int {
	for i := 0; len(body) > 0; i++ {
		n := min(len(body), record.BlockSize)
		if record.Checksum(body[:n]) != r.Checksums[i] {
			return i
		}
		body = body[n:]
	}
	return -1
}

// Position is where a walk is: after the blob of this space and name.
type Position struct {
	Space string `json:"space"`
	Name  string `json:"name"`
}

// NextBlob returns the blob after a place, in the order of spaces and names.
func (s *Store) NextBlob(p Position) (Position, Info, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, space := range sortedKeys(s.index) {
		if space < p.Space {
			continue
		}
		var found entry
		ok := false
		t := s.index[space]
		each := func(e entry) bool {
			if space == p.Space && e.key() <= p.Name && p != (Position{}) {
				return true
			}
			found, ok = e, true
			return false
		}
		if space == p.Space {
			t.Ascend(entry{text: p.Name, name: uint16(len(p.Name))}, each)
		} else {
			t.Scan(each)
		}
		if ok {
			return Position{space, found.key()}, found.info(), true
		}
	}
	return p, Info{}, false
}

// Usage returns the bodies' bytes.
func (s *Store) Usage() (blobs int, size int64) {
	s.mu.Lock() // a copy marks the nodes
	x := s.index.clone()
	s.mu.Unlock()
	for _, t := range x {
		blobs += t.Len()
		t.Scan(func(e entry) bool { size += e.size; return true })
	}
	return blobs, size
}

// Verify reads a blob whole and checks each block; pace is asked before each.
// A blob that was replaced or deleted meanwhile is not an error.
func (s *Store) Verify(p Position, pace func(bytes int64) error) error {
	b, err := s.Get(p.Space, p.Name)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	defer b.Close()
	buf := blocks.Get().(*[record.BlockSize]byte)
	defer blocks.Put(buf)
	var bad error
	for i := range b.Checksums {
		if pace != nil {
			if err := pace(min(record.BlockSize, b.Size-int64(i)*record.BlockSize)); err != nil {
				return err
			}
		}
		if _, err := b.ReadBlock(i, buf[:]); err != nil && !errors.Is(err, ErrCorrupt) {
			return err
		} else if err != nil {
			bad = errors.Join(bad, err)
		}
	}
	return bad
}

// Check looks at all that the store holds and tells what is not as it should
// be: what opening found, blobs that cannot be read whole, groups that are not
// whole, bodies' files that nothing refers to or that are missing.
func (s *Store) Check(ctx context.Context, tell func(Damage)) (blobs int, bytes int64, err error) {
	for _, d := range s.found {
		tell(d)
	}
	used := map[uint64]bool{}
	for p := (Position{}); ; {
		next, info, ok := s.NextBlob(p)
		if !ok {
			break
		}
		p = next
		if err := ctx.Err(); err != nil {
			return blobs, bytes, err
		}
		blobs++
		bytes += info.Size
		if file := s.fileNamed(p); file != 0 {
			used[file] = true
		}
		if err := s.Verify(p, nil); errors.Is(err, ErrCorrupt) {
			d := Damage{Space: p.Space, Name: p.Name, Length: info.Size, Description: err.Error()}
			d.File, d.Offset = s.whereIs(p)
			tell(d)
		} else if err != nil {
			return blobs, bytes, err
		}
	}
	if err := s.checkSegments(ctx, tell); err != nil {
		return blobs, bytes, err
	}
	return blobs, bytes, s.checkBodies(used, tell)
}

func (s *Store) fileNamed(p Position) uint64 {
	s.mu.RLock()
	e, ok := s.index.get(p.Space, p.Name)
	s.mu.RUnlock()
	if !ok {
		return 0
	}
	return s.fileOf(e, nil)
}

func (s *Store) whereIs(p Position) (string, int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, _ := s.index.get(p.Space, p.Name)
	return segmentFile(e.segment), e.offset
}

// checkSegments reads every group of the log.
func (s *Store) checkSegments(ctx context.Context, tell func(Damage)) error {
	s.mu.RLock()
	var held []*segment
	for _, n := range sortedKeys(s.segments) {
		held = append(held, s.segments[n].hold())
	}
	s.mu.RUnlock()
	defer func() {
		for _, seg := range held {
			seg.release()
		}
	}()
	for _, seg := range held {
		if _, err := readSegment(seg, s.id); errors.Is(err, errSegment) {
			tell(Damage{File: segmentFile(seg.number), Length: record.SegmentHeaderLen, Description: err.Error()})
		} else if err != nil {
			return err
		}
		if err := s.checkGroups(ctx, seg, tell); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) checkGroups(ctx context.Context, seg *segment, tell func(Damage)) error {
	head := make([]byte, record.GroupHeaderLen)
	for at := int64(record.SegmentHeaderLen); at < seg.size; {
		if err := ctx.Err(); err != nil {
			return err
		}
		if _, err := seg.file.ReadAt(head, at); err != nil && err != io.EOF {
			return err
		}
		g, err := record.ParseGroupHeader(head)
		span := record.GroupSize(int64(g.Length))
		if err != nil || at+span > seg.size {
			tell(Damage{File: segmentFile(seg.number), Offset: at, Length: record.GroupAlign, Description: "no group begins here"})
			at += record.GroupAlign
			continue
		}
		payload := make([]byte, g.Length)
		if _, err := seg.file.ReadAt(payload, at+record.GroupHeaderLen); err != nil {
			return err
		}
		if record.Checksum(payload) != g.Checksum {
			tell(Damage{File: segmentFile(seg.number), Offset: at, Length: span, Description: fmt.Sprintf("group %d: bad checksum", g.Number)})
		}
		at += span
	}
	return nil
}

// checkBodies compares the files of bodies with those that entries name.
func (s *Store) checkBodies(used map[uint64]bool, tell func(Damage)) error {
	dirs, err := s.fs.List("bodies")
	if err != nil {
		return err
	}
	for _, dir := range dirs {
		names, err := s.fs.List("bodies/" + dir)
		if err != nil {
			return err
		}
		for _, name := range names {
			path := "bodies/" + dir + "/" + name
			file, err := strconv.ParseUint(name, 16, 64)
			s.mu.RLock()
			flying := s.flying[file]
			s.mu.RUnlock()
			switch {
			case err != nil || bodyFile(file) != path:
				tell(Damage{File: path, Description: "not the name of a body's file"})
			case !used[file] && !flying:
				tell(Damage{File: path, Description: "nothing refers to it"})
			}
		}
	}
	return nil
}
