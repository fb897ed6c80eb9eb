package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"

	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/record"
)

const (
	formatFile    = "format.json"
	currentFormat = 2
)

// format is the content of the format file.
type format struct {
	Version int    `json:"version"`      // version of the directory's layout
	Store   uint64 `json:"store,string"` // random store identity, repeated in every segment, group and checkpoint
}

// readFormat reads the directory's format file, or creates it in a new directory.
func (s *Store) readFormat() error {
	data, err := disk.ReadFile(s.fs, formatFile, 4096)
	if errors.Is(err, fs.ErrNotExist) {
		s.id = newStoreID()
		data, _ = json.Marshal(format{currentFormat, s.id})
		return disk.WriteFileAtomic(s.fs, ".", formatFile, append(data, '\n'))
	}
	if err != nil {
		return err
	}
	var f format
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("%s: %w: %w", formatFile, ErrFormat, err)
	}
	switch {
	case f.Version == 1:
		return fmt.Errorf("%s: version 1 has a file for each blob; `arrowwalk store migrate DIR` converts it to version %d: %w", formatFile, currentFormat, ErrFormat)
	case f.Version != currentFormat || f.Store == 0:
		return fmt.Errorf("%s: version %d, this program knows %d: %w", formatFile, f.Version, currentFormat, ErrFormat)
	}
	s.id = f.Store
	return nil
}

// recover loads the last checkpoint and replays the log written after it.
func (s *Store) recover() error {
	if err := s.readFormat(); err != nil {
		return err
	}
	for _, dir := range []string{"log", "check", "bodies"} {
		if err := s.fs.MkdirAll(dir); err != nil {
			return err
		}
	}
	header, err := s.loadCheckpoint()
	if err != nil {
		return err
	}
	s.lastCheckpoint = header
	if err := s.openSegments(); err != nil {
		return err
	}
	r := &replay{store: s, checkpoint: header, deletedVersions: map[blobKey]uint64{}, referenced: map[uint64]bool{}}
	s.tail.lastGroup, s.tail.lastVersion = header.lastGroup, header.lastVersion
	s.lastBodyFile = header.lastBodyFile
	for _, file := range header.unreferencedFiles {
		r.referenced[file] = false
	}
	if err := r.replayLog(); err != nil {
		return err
	}
	s.tail.lastVersion = max(s.tail.lastVersion, 1) // 0 is no version that a writer can have seen
	s.tail.visibleVersion = s.tail.lastVersion
	s.deletions.opened = s.tail.lastVersion
	s.version.Store(s.tail.lastVersion)
	s.countLiveBytes()
	return r.removeUnreferencedBodies()
}

// loadCheckpoint loads the newest intact checkpoint. If there are checkpoints but
// none is intact, it returns ErrCorrupt: the segments that were removed since
// cannot be replayed, so that opening the store would lose blobs silently.
func (s *Store) loadCheckpoint() (checkpointHeader, error) {
	names, err := s.fs.List("check")
	if err != nil {
		return checkpointHeader{}, err
	}
	damagedCount, lastNumber := 0, uint64(0)
	for _, name := range slices.Backward(names) {
		path := "check/" + name
		number, err := strconv.ParseUint(name, 16, 64)
		if err != nil || len(name) != 16 {
			if err := s.fs.Remove(path); err != nil { // left incomplete by a crash
				return checkpointHeader{}, err
			}
			continue
		}
		f, err := s.fs.Open(path)
		if err != nil {
			return checkpointHeader{}, err
		}
		header, loaded, err := readCheckpoint(f, s.id)
		f.Close()
		if err == nil {
			s.index = loaded
			header.number = max(number, lastNumber)
			return header, nil
		}
		if !errors.Is(err, errCheckpoint) {
			return checkpointHeader{}, fmt.Errorf("%s: %w", path, err)
		}
		damagedCount, lastNumber = damagedCount+1, max(lastNumber, number)
		s.reportDamage(Damage{File: path, Description: err.Error()})
	}
	if damagedCount > 0 {
		return checkpointHeader{}, fmt.Errorf("none of the %d checkpoints in check/ is whole: %w", damagedCount, ErrCorrupt)
	}
	return checkpointHeader{}, nil
}

// reportDamage logs damage and adds it to the store's recovery damage.
func (s *Store) reportDamage(d Damage) {
	s.recoveryDamage = append(s.recoveryDamage, d)
	s.opt.Log.Error("store damage found during recovery", "file", d.File, "offset", d.Offset, "length", d.Length, "what", d.Description, "space", d.Space, "name", d.Name)
}

// openSegments opens all files of the log and cuts each segment's size to the
// end that the header of the next segment records.
func (s *Store) openSegments() error {
	names, err := s.fs.List("log")
	if err != nil {
		return err
	}
	for _, name := range names {
		number, err := strconv.ParseUint(name, 16, 32)
		if err != nil || number == 0 || len(name) != 8 {
			s.reportDamage(Damage{File: "log/" + name, Description: "not the name of a segment"})
			continue
		}
		f, err := s.fs.Open("log/" + name)
		if err != nil {
			return err
		}
		seg := newSegment(uint32(number), f)
		if seg.size, err = f.Size(); err != nil {
			f.Close()
			return err
		}
		s.segments[seg.number] = seg
	}
	for number, seg := range s.segments { // bytes after the end that the next segment's header records were not acknowledged
		next := s.segments[number+1]
		if next == nil {
			continue
		}
		header, err := readSegmentHeader(next, s.id)
		if err == nil && header.PrevSegmentEnd >= record.SegmentHeaderLen {
			seg.size = min(seg.size, header.PrevSegmentEnd)
		} else if err != nil && !errors.Is(err, errSegmentHeader) {
			return err
		}
	}
	return nil
}

// countLiveBytes computes the live bytes of each segment and the size of the next
// checkpoint, and reports missing segments that entries refer to.
func (s *Store) countLiveBytes() {
	missing := map[uint32]int{}
	s.index.scan(func(space string, e entry) bool {
		s.encodedIndexBytes += e.checkpointSize(space)
		if seg := s.segments[e.segment]; seg != nil {
			seg.liveBytes += e.logSize()
		} else {
			missing[e.segment]++
		}
		return true
	})
	for _, n := range sortedKeys(missing) {
		s.reportDamage(Damage{File: segmentFile(n), Description: fmt.Sprintf("missing, with %d blobs", missing[n])})
	}
}

// replay applies the log written after a checkpoint.
type replay struct {
	store           *Store
	checkpoint      checkpointHeader
	deletedVersions map[blobKey]uint64 // version of each delete, as compaction moves records out of version order
	referenced      map[uint64]bool    // body files named by records: true if an entry refers to the file
	acknowledgedEnd location           // end of the acknowledged log
	droppedSegment  bool               // an incomplete last segment was removed
}

// replayLog replays all segments from the checkpoint on and sets the log's tail.
func (r *replay) replayLog() error {
	s := r.store
	if err := r.dropIncompleteSegment(); err != nil {
		return err
	}
	numbers := sortedKeys(s.segments)
	r.acknowledgedEnd, s.tail.lastUsedNumber = location{r.checkpoint.segment, r.checkpoint.offset}, r.checkpoint.segment
	for i, number := range numbers {
		if number < r.checkpoint.segment {
			continue
		}
		var next *segment
		if i+1 < len(numbers) {
			next = s.segments[numbers[i+1]]
		}
		if err := r.replaySegment(s.segments[number], next); err != nil {
			return err
		}
	}
	if len(numbers) == 0 {
		return nil
	}
	last := s.segments[numbers[len(numbers)-1]]
	s.tail.segment, s.tail.end = last, record.SegmentHeaderLen
	if r.acknowledgedEnd.segment == last.number {
		s.tail.end = r.acknowledgedEnd.offset
	}
	if last.size != s.tail.end { // the unacknowledged bytes are kept for inspection, never overwritten
		s.tail.sealed = true
		s.opt.Log.Info("log ends with an unacknowledged group", "file", segmentFile(last.number), "offset", s.tail.end, "length", last.size-s.tail.end)
	}
	s.tail.sealed = s.tail.sealed || r.droppedSegment
	last.size = s.tail.end
	return nil
}

// dropIncompleteSegment removes a last segment whose header was not completely
// written before a crash. No group was ever written to it.
func (r *replay) dropIncompleteSegment() error {
	numbers := sortedKeys(r.store.segments)
	if len(numbers) == 0 {
		return nil
	}
	last := r.store.segments[numbers[len(numbers)-1]]
	if _, err := readSegmentHeader(last, r.store.id); err == nil || last.size > record.SegmentHeaderLen || last.number <= r.checkpoint.segment {
		if errors.Is(err, errSegmentHeader) {
			return nil
		}
		return err
	}
	delete(r.store.segments, last.number)
	last.release()
	r.droppedSegment = len(numbers) > 1
	return r.store.fs.Remove(segmentFile(last.number))
}

// replaySegment replays a segment from its start or from the checkpoint's offset.
func (r *replay) replaySegment(seg, next *segment) error {
	_, err := readSegmentHeader(seg, r.store.id)
	if err != nil && !errors.Is(err, errSegmentHeader) {
		return err
	}
	if err != nil && (next != nil || seg.size > record.SegmentHeaderLen) {
		r.store.reportDamage(Damage{File: segmentFile(seg.number), Length: record.SegmentHeaderLen, Description: err.Error()})
	}
	offset := int64(record.SegmentHeaderLen)
	if seg.number == r.checkpoint.segment {
		offset = r.checkpoint.offset
	}
	for offset < seg.size {
		size, err := r.replayGroup(seg, offset, seg.size, next != nil)
		if err != nil {
			return err
		}
		if size == 0 {
			break
		}
		offset += size
	}
	if offset >= record.SegmentHeaderLen {
		r.acknowledgedEnd = location{seg.number, offset}
	}
	return nil
}

var errSegmentHeader = errors.New("not the header of this segment")

// readSegmentHeader reads the header of a segment and checks that it belongs to
// this store and segment number; if not, it returns errSegmentHeader.
func readSegmentHeader(seg *segment, store uint64) (record.SegmentHeader, error) {
	buf := make([]byte, record.SegmentHeaderLen)
	if seg.size < record.SegmentHeaderLen {
		return record.SegmentHeader{}, errSegmentHeader
	}
	if _, err := seg.file.ReadAt(buf, 0); err != nil {
		return record.SegmentHeader{}, err
	}
	header, err := record.ParseSegmentHeader(buf)
	if err != nil || header.Store != store || header.Number != seg.number {
		return header, errors.Join(errSegmentHeader, err)
	}
	return header, nil
}

// replayGroup replays the group at offset and returns the number of bytes to
// advance, which for a damaged group extends to the next intact one. It returns 0
// at the end of the log.
func (r *replay) replayGroup(seg *segment, offset, limit int64, hasNext bool) (int64, error) {
	header, payload, err := r.readGroup(seg, offset, limit)
	if err != nil {
		return 0, err
	}
	if payload != nil && record.Checksum(payload) == header.Checksum {
		r.store.tail.lastGroup = header.Number
		r.replayRecords(seg, offset, payload, nil)
		return record.GroupSize(int64(header.Length)), nil
	}
	// The group is incomplete. If a later group follows, this one was acknowledged
	// and has been damaged since; otherwise a crash interrupted its write.
	skip := record.GroupSize(int64(header.Length))
	if payload == nil {
		skip = record.GroupAlign
	}
	next, err := r.findLaterGroup(seg, offset+skip, limit)
	if err != nil {
		return 0, err
	}
	if next == 0 && !(hasNext && r.hasLaterGroup(seg.number)) {
		return 0, nil
	}
	if next == 0 {
		next = limit
	}
	d := Damage{File: segmentFile(seg.number), Offset: offset, Length: next - offset, Description: "a group that was acknowledged is damaged"}
	r.store.reportDamage(d)
	if payload != nil {
		r.store.tail.lastGroup = header.Number
		r.replayRecords(seg, offset, payload, &d)
	}
	return next - offset, nil
}

// readGroup returns the group at offset. A nil payload means that no group of this
// store with a higher number starts there.
func (r *replay) readGroup(seg *segment, offset, limit int64) (header record.GroupHeader, payload []byte, err error) {
	if offset+record.GroupHeaderLen > limit {
		return header, nil, nil
	}
	buf := make([]byte, record.GroupHeaderLen)
	if _, err := seg.file.ReadAt(buf, offset); err != nil {
		return header, nil, err
	}
	header, parseErr := record.ParseGroupHeader(buf)
	if parseErr != nil || header.Store != r.store.id || header.Number <= r.store.tail.lastGroup || offset+record.GroupHeaderLen+int64(header.Length) > limit {
		return record.GroupHeader{}, nil, nil
	}
	payload = make([]byte, header.Length)
	if _, err := seg.file.ReadAt(payload, offset+record.GroupHeaderLen); err != nil {
		return header, nil, err
	}
	return header, payload, nil
}

// findLaterGroup returns the offset of the next header of a later group, starting
// at start, or 0 if there is none.
func (r *replay) findLaterGroup(seg *segment, start, limit int64) (int64, error) {
	buf := make([]byte, 1<<20)
	for ; start < limit; start += int64(len(buf)) {
		chunk := buf[:min(int64(len(buf)), limit-start)]
		if _, err := seg.file.ReadAt(chunk, start); err != nil {
			return 0, err
		}
		for i := 0; i+record.GroupHeaderLen <= len(chunk); i += record.GroupAlign {
			if header, err := record.ParseGroupHeader(chunk[i:]); err == nil && header.Store == r.store.id && header.Number > r.store.tail.lastGroup {
				return start + int64(i), nil
			}
		}
	}
	return 0, nil
}

// hasLaterGroup reports whether a segment with a number above n holds a later
// group.
func (r *replay) hasLaterGroup(n uint32) bool {
	for number, seg := range r.store.segments {
		if number <= n || seg.size < record.SegmentHeaderLen+record.GroupHeaderLen {
			continue
		}
		if offset, err := r.findLaterGroup(seg, record.SegmentHeaderLen, seg.size); err == nil && offset > 0 {
			return true
		}
	}
	return false
}

// replayRecords applies the records of a group. groupDamage is not nil if the
// group's checksum is wrong; then bodies are verified too.
func (r *replay) replayRecords(seg *segment, groupOffset int64, payload []byte, groupDamage *Damage) {
	offset := groupOffset + record.GroupHeaderLen
	for len(payload) > 0 {
		rec, headerSize, err := record.Parse(payload)
		if err != nil {
			r.store.reportDamage(Damage{File: segmentFile(seg.number), Offset: offset, Length: int64(len(payload)), Description: "records that cannot be read: " + err.Error()})
			return
		}
		size := int64(headerSize) + rec.InlineSize()
		if size > int64(len(payload)) {
			r.store.reportDamage(Damage{File: segmentFile(seg.number), Offset: offset, Length: int64(len(payload)), Description: "a record is longer than its group"})
			return
		}
		if groupDamage != nil {
			if sums := record.AppendChecksums(nil, payload[headerSize:size]); rec.Flags&record.FlagBodyFile == 0 && !slices.Equal(sums, rec.Checksums) {
				r.store.reportDamage(Damage{File: segmentFile(seg.number), Offset: offset, Length: size, Space: rec.Space, Name: rec.Name, Description: "a body is damaged"})
			}
		}
		r.applyRecord(&rec, location{seg.number, offset})
		payload = payload[size:]
		offset += size
	}
}

// applyRecord applies a record to the index unless the index has a later version.
func (r *replay) applyRecord(rec *record.Record, loc location) {
	s := r.store
	s.tail.lastVersion = max(s.tail.lastVersion, rec.Version)
	s.lastBodyFile = max(s.lastBodyFile, rec.BodyFile)
	key := blobKey{rec.Space, rec.Name}
	current, exists := s.index.get(rec.Space, rec.Name)
	if exists && current.version > rec.Version || rec.Version <= r.deletedVersions[key] {
		return
	}
	moved := exists && current.version == rec.Version
	if exists && !moved && current.flags&record.FlagBodyFile != 0 {
		if old, err := s.readEntryRecord(current); err == nil {
			r.referenced[old.BodyFile] = false
		}
	}
	if rec.Kind == record.KindDelete {
		s.index.remove(rec.Space, rec.Name)
		r.deletedVersions[key] = rec.Version
		return
	}
	if rec.BodyFile != 0 {
		r.referenced[rec.BodyFile] = true
	}
	s.index.set(rec.Space, newEntry(rec, loc))
}

// removeUnreferencedBodies removes body files that no entry refers to: those that
// replayed records replaced, and those whose Put was never acknowledged.
func (r *replay) removeUnreferencedBodies() error {
	dirs, err := r.store.fs.List("bodies")
	if err != nil {
		return err
	}
	for _, dir := range dirs {
		n, err := strconv.ParseUint(dir, 16, 64)
		if err != nil || n < r.checkpoint.lastBodyFile/bodiesPerDir {
			continue
		}
		names, err := r.store.fs.List("bodies/" + dir)
		if err != nil {
			return err
		}
		for _, name := range names {
			file, err := strconv.ParseUint(name, 16, 64)
			if err != nil || file <= r.checkpoint.lastBodyFile {
				continue
			}
			r.store.lastBodyFile = max(r.store.lastBodyFile, file)
			if _, seen := r.referenced[file]; !seen {
				r.referenced[file] = false
			}
		}
	}
	for _, file := range sortedKeys(r.referenced) {
		if r.referenced[file] {
			continue
		}
		if err := r.store.fs.Remove(bodyFile(file)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}
