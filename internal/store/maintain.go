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

// Segments returns the log's segments, except for the one being written.
func (s *Store) Segments() []maintpolicy.Segment {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []maintpolicy.Segment
	for _, n := range sortedKeys(s.segments) {
		if seg := s.segments[n]; seg != s.tail.segment {
			out = append(out, maintpolicy.Segment{Number: n, SizeBytes: seg.size, LiveBytes: seg.liveBytes, AgeGroups: int64(s.tail.lastGroup) - seg.firstGroup})
		}
	}
	return out
}

// FreeBytes returns the free space of the disk.
func (s *Store) FreeBytes() (int64, error) { return s.fs.Free() }

// Compact copies the live records of a segment to the end of the log, so that a
// later checkpoint can remove the file. It calls throttle before reading each
// group; throttle may block, and its error ends the compaction, which can be
// repeated. Records that cannot be read stay in the segment; Compact then moves
// the others and returns ErrCorrupt.
func (s *Store) Compact(ctx context.Context, number uint32, throttle func(bytes int64) error) error {
	s.mu.RLock()
	seg := s.segments[number]
	if seg == nil || seg == s.tail.segment {
		s.mu.RUnlock()
		return fmt.Errorf("segment %s does not exist or is still being written", segmentFile(number))
	}
	seg.retain()
	neededBytes := seg.liveBytes + 2*s.encodedIndexBytes + s.opt.MaxGroupBytes // the remaining space is reserved for deletes
	s.mu.RUnlock()
	defer seg.release()
	if free, err := s.fs.Free(); err != nil || free < neededBytes {
		return errors.Join(ErrNoSpace, err)
	}
	var corruption error
	for offset := int64(record.SegmentHeaderLen); offset < seg.size; {
		if err := ctx.Err(); err != nil {
			return err
		}
		size, err := s.moveLiveRecords(seg, offset, throttle)
		if errors.Is(err, ErrCorrupt) {
			corruption, err = err, nil
		}
		if err != nil {
			return err
		}
		offset += size
	}
	if corruption == nil {
		s.counters.CompactedSegments.Add(1)
	}
	return corruption
}

// moveLiveRecords copies the live records of the group at offset. It returns the
// number of bytes to advance to the next group.
func (s *Store) moveLiveRecords(seg *segment, offset int64, throttle func(int64) error) (int64, error) {
	buf := make([]byte, record.GroupHeaderLen)
	if _, err := seg.file.ReadAt(buf, offset); err != nil {
		return 0, err
	}
	header, err := record.ParseGroupHeader(buf)
	if err != nil || offset+record.GroupSize(int64(header.Length)) > seg.size {
		return record.GroupAlign, fmt.Errorf("%s at %d: %w", segmentFile(seg.number), offset, ErrCorrupt)
	}
	size := record.GroupSize(int64(header.Length))
	if throttle != nil {
		if err := throttle(size); err != nil {
			return 0, err
		}
	}
	payload := make([]byte, header.Length)
	if _, err := seg.file.ReadAt(payload, offset+record.GroupHeaderLen); err != nil {
		return 0, err
	}
	ops, lastErr := s.liveRecords(seg, offset+record.GroupHeaderLen, payload)
	for _, op := range ops {
		op.done = make(chan struct{})
		if err := s.queue.push(op); err != nil {
			return 0, err
		}
	}
	for _, op := range ops {
		<-op.done
		switch {
		case op.err == nil:
			s.counters.MovedRecords.Add(1)
		case !errors.Is(op.err, errStaleMove):
			lastErr = op.err
		}
	}
	return size, lastErr
}

// liveRecords returns a move operation for each intact record of the payload that
// the index refers to, and an error if a record is corrupt.
func (s *Store) liveRecords(seg *segment, offset int64, payload []byte) (ops []*operation, corruption error) {
	for len(payload) > 0 {
		r, headerSize, err := record.Parse(payload)
		size := int64(headerSize) + r.InlineSize()
		if err != nil || size > int64(len(payload)) {
			return ops, fmt.Errorf("%s at %d: a record: %w", segmentFile(seg.number), offset, ErrCorrupt)
		}
		loc := location{seg.number, offset}
		s.mu.RLock()
		current, exists := s.index.get(r.Space, r.Name)
		s.mu.RUnlock()
		if exists && current.segment == loc.segment && current.offset == loc.offset {
			body := payload[headerSize:size]
			if block := firstCorruptBlock(&r, body); block >= 0 {
				corruption = s.quarantineBlock(r.Space, r.Name, r.Version, block, fmt.Sprintf("%s at %d", segmentFile(seg.number), offset+int64(headerSize)))
			} else {
				ops = append(ops, &operation{space: r.Space, rec: r, body: body, movedFrom: &loc})
			}
		}
		payload = payload[size:]
		offset += size
	}
	return ops, corruption
}

// firstCorruptBlock returns the index of the first block of an inline body that
// does not match its checksum, or -1.
func firstCorruptBlock(r *record.Record, body []byte) int {
	for i := 0; len(body) > 0; i++ {
		n := min(len(body), record.BlockSize)
		if record.Checksum(body[:n]) != r.Checksums[i] {
			return i
		}
		body = body[n:]
	}
	return -1
}

// Position is a position in a walk over all blobs: after the blob of this space
// and name. The zero value is the start.
type Position struct {
	Space string `json:"space"`
	Name  string `json:"name"`
}

// NextBlob returns the blob after pos, ordered by space and name, and reports
// whether there is one.
func (s *Store) NextBlob(pos Position) (Position, Info, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, space := range sortedKeys(s.index) {
		if space < pos.Space {
			continue
		}
		var found entry
		ok := false
		tree := s.index[space]
		visit := func(e entry) bool {
			if space == pos.Space && e.key() <= pos.Name && pos != (Position{}) {
				return true
			}
			found, ok = e, true
			return false
		}
		if space == pos.Space {
			tree.Ascend(entry{nameAndMeta: pos.Name, nameLen: uint16(len(pos.Name))}, visit)
		} else {
			tree.Scan(visit)
		}
		if ok {
			return Position{space, found.key()}, found.info(), true
		}
	}
	return pos, Info{}, false
}

// Usage returns the number of blobs and the total size of their bodies.
func (s *Store) Usage() (blobs int, size int64) {
	s.mu.Lock() // not RLock: Copy marks the tree's nodes as shared
	snapshot := s.index.clone()
	s.mu.Unlock()
	for _, tree := range snapshot {
		blobs += tree.Len()
		tree.Scan(func(e entry) bool { size += e.size; return true })
	}
	return blobs, size
}

// Verify reads a blob and verifies every block. It calls throttle, unless nil,
// before each block. Verify returns nil if the blob does not exist any more.
func (s *Store) Verify(pos Position, throttle func(bytes int64) error) error {
	b, err := s.Get(pos.Space, pos.Name)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	defer b.Close()
	buf := blockPool.Get().(*[record.BlockSize]byte)
	defer blockPool.Put(buf)
	var damage error
	for i := range b.Checksums {
		if throttle != nil {
			if err := throttle(min(record.BlockSize, b.Size-int64(i)*record.BlockSize)); err != nil {
				return err
			}
		}
		if _, err := b.ReadBlock(i, buf[:]); err != nil && !errors.Is(err, ErrCorrupt) {
			return err
		} else if err != nil {
			damage = errors.Join(damage, err)
		}
	}
	return damage
}

// Check verifies the whole store and calls report for each damage: what was found
// while opening, blobs that cannot be read completely, damaged groups, and body
// files that are missing or that no entry refers to.
func (s *Store) Check(ctx context.Context, report func(Damage)) (blobs int, bytes int64, err error) {
	for _, damage := range s.recoveryDamage {
		report(damage)
	}
	referenced := map[uint64]bool{}
	for pos := (Position{}); ; {
		next, info, ok := s.NextBlob(pos)
		if !ok {
			break
		}
		pos = next
		if err := ctx.Err(); err != nil {
			return blobs, bytes, err
		}
		blobs++
		bytes += info.Size
		if file := s.bodyFileAt(pos); file != 0 {
			referenced[file] = true
		}
		if err := s.Verify(pos, nil); errors.Is(err, ErrCorrupt) {
			damage := Damage{Space: pos.Space, Name: pos.Name, Length: info.Size, Description: err.Error()}
			damage.File, damage.Offset = s.recordLocation(pos)
			report(damage)
		} else if err != nil {
			return blobs, bytes, err
		}
	}
	if err := s.checkSegments(ctx, report); err != nil {
		return blobs, bytes, err
	}
	return blobs, bytes, s.checkBodies(referenced, report)
}

// bodyFileAt returns the number of the body file of a blob; 0: none.
func (s *Store) bodyFileAt(pos Position) uint64 {
	s.mu.RLock()
	e, ok := s.index.get(pos.Space, pos.Name)
	s.mu.RUnlock()
	if !ok {
		return 0
	}
	return s.bodyFileOf(e, nil)
}

// recordLocation returns the segment file and offset of a blob's record.
func (s *Store) recordLocation(pos Position) (string, int64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, _ := s.index.get(pos.Space, pos.Name)
	return segmentFile(e.segment), e.offset
}

// checkSegments verifies the header and all groups of every segment.
func (s *Store) checkSegments(ctx context.Context, report func(Damage)) error {
	s.mu.RLock()
	var segments []*segment
	for _, n := range sortedKeys(s.segments) {
		segments = append(segments, s.segments[n].retain())
	}
	s.mu.RUnlock()
	defer func() {
		for _, seg := range segments {
			seg.release()
		}
	}()
	for _, seg := range segments {
		if _, err := readSegmentHeader(seg, s.id); errors.Is(err, errSegmentHeader) {
			report(Damage{File: segmentFile(seg.number), Length: record.SegmentHeaderLen, Description: err.Error()})
		} else if err != nil {
			return err
		}
		if err := s.checkGroups(ctx, seg, report); err != nil {
			return err
		}
	}
	return nil
}

// checkGroups verifies all groups of a segment.
func (s *Store) checkGroups(ctx context.Context, seg *segment, report func(Damage)) error {
	buf := make([]byte, record.GroupHeaderLen)
	for offset := int64(record.SegmentHeaderLen); offset < seg.size; {
		if err := ctx.Err(); err != nil {
			return err
		}
		if _, err := seg.file.ReadAt(buf, offset); err != nil && err != io.EOF {
			return err
		}
		header, err := record.ParseGroupHeader(buf)
		size := record.GroupSize(int64(header.Length))
		if err != nil || offset+size > seg.size {
			report(Damage{File: segmentFile(seg.number), Offset: offset, Length: record.GroupAlign, Description: "no group begins here"})
			offset += record.GroupAlign
			continue
		}
		payload := make([]byte, header.Length)
		if _, err := seg.file.ReadAt(payload, offset+record.GroupHeaderLen); err != nil {
			return err
		}
		if record.Checksum(payload) != header.Checksum {
			report(Damage{File: segmentFile(seg.number), Offset: offset, Length: size, Description: fmt.Sprintf("group %d: bad checksum", header.Number)})
		}
		offset += size
	}
	return nil
}

// checkBodies reports files under bodies/ that have a wrong name or that neither an
// entry nor a pending write or removal accounts for.
func (s *Store) checkBodies(referenced map[uint64]bool, report func(Damage)) error {
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
			unreferenced := s.unreferencedFiles[file]
			s.mu.RUnlock()
			switch {
			case err != nil || bodyFile(file) != path:
				report(Damage{File: path, Description: "not the name of a body's file"})
			case !referenced[file] && !unreferenced:
				report(Damage{File: path, Description: "nothing refers to it"})
			}
		}
	}
	return nil
}
