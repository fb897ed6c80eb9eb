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
	formatFile = "format.json"
	formatNow  = 2
)

// format says what a directory holds.
type format struct {
	Version int    `json:"version"`
	Store   uint64 `json:"store,string"`
}

// readFormat reads or writes the directory's format.
func (s *Store) readFormat() error {
	text, err := disk.ReadFile(s.fs, formatFile, 4096)
	if errors.Is(err, fs.ErrNotExist) {
		s.id = newID()
		text, _ = json.Marshal(format{formatNow, s.id})
		return disk.WriteFileAtomic(s.fs, ".", formatFile, append(text, '\n'))
	}
	if err != nil {
		return err
	}
	var f format
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("%s: %w: %w", formatFile, ErrFormat, err)
	}
	switch {
	case f.Version == 1:
		return fmt.Errorf("%s: version 1, a file for each blob; `arrowwalk store migrate DIR` makes a store of version %d of it: %w", formatFile, formatNow, ErrFormat)
	case f.Version != formatNow || f.Store == 0:
		return fmt.Errorf("%s: version %d, this program knows %d: %w", formatFile, f.Version, formatNow, ErrFormat)
	}
	s.id = f.Store
	return nil
}

// recover reads the last checkpoint and plays what was written after it.
func (s *Store) recover() error {
	if err := s.readFormat(); err != nil {
		return err
	}
	for _, dir := range []string{"log", "check", "bodies"} {
		if err := s.fs.MkdirAll(dir); err != nil {
			return err
		}
	}
	m, err := s.loadCheckpoint()
	if err != nil {
		return err
	}
	s.last = m
	if err := s.openSegments(); err != nil {
		return err
	}
	r := &replay{s: s, mark: m, gone: map[blobKey]uint64{}, kept: map[uint64]bool{}}
	s.log.group, s.log.version = m.group, m.version
	s.files = m.files
	for _, file := range m.flying {
		r.kept[file] = false
	}
	if err := r.all(); err != nil {
		return err
	}
	s.log.shown = s.log.version
	s.account()
	return r.bodies()
}

// loadCheckpoint returns the newest checkpoint that is whole. Where there are
// some and none is, what was removed since cannot be known, and it refuses.
func (s *Store) loadCheckpoint() (mark, error) {
	names, err := s.fs.List("check")
	if err != nil {
		return mark{}, err
	}
	bad, last := 0, uint64(0)
	for _, name := range slices.Backward(names) {
		path := "check/" + name
		number, err := strconv.ParseUint(name, 16, 64)
		if err != nil || len(name) != 16 {
			if err := s.fs.Remove(path); err != nil { // half written
				return mark{}, err
			}
			continue
		}
		f, err := s.fs.Open(path)
		if err != nil {
			return mark{}, err
		}
		m, x, err := readCheckpoint(f, s.id)
		f.Close()
		if err == nil {
			s.index = x
			m.number = max(number, last)
			return m, nil
		}
		if !errors.Is(err, errCheckpoint) {
			return mark{}, fmt.Errorf("%s: %w", path, err)
		}
		bad, last = bad+1, max(last, number)
		s.damage(Damage{File: path, Description: err.Error()})
	}
	if bad > 0 {
		return mark{}, fmt.Errorf("none of the %d checkpoints in check/ is whole: %w", bad, ErrCorrupt)
	}
	return mark{}, nil
}

func (s *Store) damage(d Damage) {
	s.found = append(s.found, d)
	s.opt.Log.Error("the store is damaged", "file", d.File, "offset", d.Offset, "length", d.Length, "what", d.Description, "space", d.Space, "name", d.Name)
}

func (s *Store) openSegments() error {
	names, err := s.fs.List("log")
	if err != nil {
		return err
	}
	for _, name := range names {
		n, err := strconv.ParseUint(name, 16, 32)
		if err != nil || n == 0 || len(name) != 8 {
			s.damage(Damage{File: "log/" + name, Description: "not the name of a segment"})
			continue
		}
		f, err := s.fs.Open("log/" + name)
		if err != nil {
			return err
		}
		seg := newSegment(uint32(n), f)
		if seg.size, err = f.Size(); err != nil {
			f.Close()
			return err
		}
		s.segments[seg.number] = seg
	}
	for n, seg := range s.segments { // what stands after the end that the next one tells was not acknowledged
		next := s.segments[n+1]
		if next == nil {
			continue
		}
		h, err := readSegment(next, s.id)
		if err == nil && h.PrevSegmentEnd >= record.SegmentHeaderLen {
			seg.size = min(seg.size, h.PrevSegmentEnd)
		} else if err != nil && !errors.Is(err, errSegment) {
			return err
		}
	}
	return nil
}

// account adds up what entries hold in each segment, and names those that are
// missing.
func (s *Store) account() {
	missing := map[uint32]int{}
	s.index.scan(func(space string, e entry) bool {
		s.checkSize += e.checkSpan(space)
		if seg := s.segments[e.segment]; seg != nil {
			seg.live += e.span()
		} else {
			missing[e.segment]++
		}
		return true
	})
	for _, n := range sortedKeys(missing) {
		s.damage(Damage{File: segmentFile(n), Description: fmt.Sprintf("missing, with %d blobs", missing[n])})
	}
}

// replay plays the log after a checkpoint.
type replay struct {
	s    *Store
	mark mark
	gone map[blobKey]uint64 // versions of deletes, where records come in another order
	kept map[uint64]bool    // files of bodies that records name: whether an entry refers to it
	end  place              // of what was acknowledged
	cut  bool               // a segment was begun after it
}

func (r *replay) all() error {
	s := r.s
	if err := r.unborn(); err != nil {
		return err
	}
	numbers := sortedKeys(s.segments)
	r.end, s.log.least = place{r.mark.segment, r.mark.offset}, r.mark.segment
	for i, n := range numbers {
		if n < r.mark.segment {
			continue
		}
		var next *segment
		if i+1 < len(numbers) {
			next = s.segments[numbers[i+1]]
		}
		if err := r.segment(s.segments[n], next); err != nil {
			return err
		}
	}
	if len(numbers) == 0 {
		return nil
	}
	last := s.segments[numbers[len(numbers)-1]]
	s.log.segment, s.log.end = last, record.SegmentHeaderLen
	if r.end.segment == last.number {
		s.log.end = r.end.offset
	}
	if last.size != s.log.end { // never written over: what is there is kept for who wants to look
		s.log.broken = true
		s.opt.Log.Info("the log ends in what was not acknowledged", "file", segmentFile(last.number), "offset", s.log.end, "length", last.size-s.log.end)
	}
	s.log.broken = s.log.broken || r.cut
	last.size = s.log.end
	return nil
}

// unborn leaves out a last segment that a crash cut before its header was
// whole: no group was ever written to it.
func (r *replay) unborn() error {
	numbers := sortedKeys(r.s.segments)
	if len(numbers) == 0 {
		return nil
	}
	last := r.s.segments[numbers[len(numbers)-1]]
	if _, err := readSegment(last, r.s.id); err == nil || last.size > record.SegmentHeaderLen || last.number <= r.mark.segment {
		if errors.Is(err, errSegment) {
			return nil
		}
		return err
	}
	delete(r.s.segments, last.number)
	last.release()
	r.cut = len(numbers) > 1
	return r.s.fs.Remove(segmentFile(last.number))
}

// segment plays a segment from where the checkpoint ends, or its beginning.
func (r *replay) segment(seg, next *segment) error {
	_, err := readSegment(seg, r.s.id)
	if err != nil && !errors.Is(err, errSegment) {
		return err
	}
	if err != nil && (next != nil || seg.size > record.SegmentHeaderLen) {
		r.s.damage(Damage{File: segmentFile(seg.number), Length: record.SegmentHeaderLen, Description: err.Error()})
	}
	at := int64(record.SegmentHeaderLen)
	if seg.number == r.mark.segment {
		at = r.mark.offset
	}
	for at < seg.size {
		took, err := r.group(seg, at, seg.size, next != nil)
		if err != nil {
			return err
		}
		if took == 0 {
			break
		}
		at += took
	}
	if at >= record.SegmentHeaderLen {
		r.end = place{seg.number, at}
	}
	return nil
}

var errSegment = errors.New("not the header of this segment")

func readSegment(seg *segment, store uint64) (record.SegmentHeader, error) {
	text := make([]byte, record.SegmentHeaderLen)
	if seg.size < record.SegmentHeaderLen {
		return record.SegmentHeader{}, errSegment
	}
	if _, err := seg.file.ReadAt(text, 0); err != nil {
		return record.SegmentHeader{}, err
	}
	h, err := record.ParseSegmentHeader(text)
	if err != nil || h.Store != store || h.Number != seg.number {
		return h, errors.Join(errSegment, err)
	}
	return h, nil
}

// group plays the group at a place and returns how many bytes it took, with
// those before the next group where it is damaged. 0: the log ends here.
func (r *replay) group(seg *segment, at, limit int64, more bool) (int64, error) {
	g, payload, err := r.read(seg, at, limit)
	if err != nil {
		return 0, err
	}
	if payload != nil && record.Checksum(payload) == g.Checksum {
		r.s.log.group = g.Number
		r.records(seg, at, payload, nil)
		return record.GroupSize(int64(g.Length)), nil
	}
	// Not whole. Where a later group stands behind it, it was acknowledged, and
	// is damaged; else it is the one that a crash cut.
	skip := record.GroupSize(int64(g.Length))
	if payload == nil {
		skip = record.GroupAlign
	}
	later, err := r.later(seg, at+skip, limit)
	if err != nil {
		return 0, err
	}
	if later == 0 && !(more && r.laterSegment(seg.number)) {
		return 0, nil
	}
	if later == 0 {
		later = limit
	}
	d := Damage{File: segmentFile(seg.number), Offset: at, Length: later - at, Description: "a group that was acknowledged is damaged"}
	r.s.damage(d)
	if payload != nil {
		r.s.log.group = g.Number
		r.records(seg, at, payload, &d)
	}
	return later - at, nil
}

// read returns the group at a place; a nil payload: there is none.
func (r *replay) read(seg *segment, at, limit int64) (g record.GroupHeader, payload []byte, err error) {
	if at+record.GroupHeaderLen > limit {
		return g, nil, nil
	}
	head := make([]byte, record.GroupHeaderLen)
	if _, err := seg.file.ReadAt(head, at); err != nil {
		return g, nil, err
	}
	g, bad := record.ParseGroupHeader(head)
	if bad != nil || g.Store != r.s.id || g.Number <= r.s.log.group || at+record.GroupHeaderLen+int64(g.Length) > limit {
		return record.GroupHeader{}, nil, nil
	}
	payload = make([]byte, g.Length)
	if _, err := seg.file.ReadAt(payload, at+record.GroupHeaderLen); err != nil {
		return g, nil, err
	}
	return g, payload, nil
}

// later looks for the header of a later group from a place on; 0: none.
func (r *replay) later(seg *segment, from, limit int64) (int64, error) {
	buf := make([]byte, 1<<20)
	for ; from < limit; from += int64(len(buf)) {
		part := buf[:min(int64(len(buf)), limit-from)]
		if _, err := seg.file.ReadAt(part, from); err != nil {
			return 0, err
		}
		for i := 0; i+record.GroupHeaderLen <= len(part); i += record.GroupAlign {
			if g, err := record.ParseGroupHeader(part[i:]); err == nil && g.Store == r.s.id && g.Number > r.s.log.group {
				return from + int64(i), nil
			}
		}
	}
	return 0, nil
}

// laterSegment says whether a segment after n holds a group.
func (r *replay) laterSegment(n uint32) bool {
	for number, seg := range r.s.segments {
		if number <= n || seg.size < record.SegmentHeaderLen+record.GroupHeaderLen {
			continue
		}
		if at, err := r.later(seg, record.SegmentHeaderLen, seg.size); err == nil && at > 0 {
			return true
		}
	}
	return false
}

// records plays a group's records; hurt is the group's damage, if it has one.
func (r *replay) records(seg *segment, at int64, payload []byte, hurt *Damage) {
	offset := at + record.GroupHeaderLen
	for len(payload) > 0 {
		rec, n, err := record.Parse(payload)
		if err != nil {
			r.s.damage(Damage{File: segmentFile(seg.number), Offset: offset, Length: int64(len(payload)), Description: "records that cannot be read: " + err.Error()})
			return
		}
		span := int64(n) + rec.InlineSize()
		if span > int64(len(payload)) {
			r.s.damage(Damage{File: segmentFile(seg.number), Offset: offset, Length: int64(len(payload)), Description: "a record is longer than its group"})
			return
		}
		if hurt != nil {
			if sums := record.AppendChecksums(nil, payload[n:span]); rec.Flags&record.FlagBodyFile == 0 && !slices.Equal(sums, rec.Checksums) {
				r.s.damage(Damage{File: segmentFile(seg.number), Offset: offset, Length: span, Space: rec.Space, Name: rec.Name, Description: "a body is damaged"})
			}
		}
		r.apply(&rec, place{seg.number, offset})
		payload = payload[span:]
		offset += span
	}
}

// apply changes the index by a record, unless the index knows of a later one.
func (r *replay) apply(rec *record.Record, at place) {
	s := r.s
	s.log.version = max(s.log.version, rec.Version)
	s.files = max(s.files, rec.BodyFile)
	key := blobKey{rec.Space, rec.Name}
	e, there := s.index.get(rec.Space, rec.Name)
	if there && e.version > rec.Version || rec.Version <= r.gone[key] {
		return
	}
	moved := there && e.version == rec.Version
	if there && !moved && e.flags&record.FlagBodyFile != 0 {
		if old, err := s.recordOf(e); err == nil {
			r.kept[old.BodyFile] = false
		}
	}
	if rec.Kind == record.KindDelete {
		s.index.remove(rec.Space, rec.Name)
		r.gone[key] = rec.Version
		return
	}
	if rec.BodyFile != 0 {
		r.kept[rec.BodyFile] = true
	}
	s.index.set(rec.Space, entryOf(rec, at))
}

// bodies removes the files of bodies that nothing refers to: those that the
// played records replaced, and those that were begun and never acknowledged.
func (r *replay) bodies() error {
	dirs, err := r.s.fs.List("bodies")
	if err != nil {
		return err
	}
	for _, dir := range dirs {
		n, err := strconv.ParseUint(dir, 16, 64)
		if err != nil || n < r.mark.files/bodiesMost {
			continue
		}
		names, err := r.s.fs.List("bodies/" + dir)
		if err != nil {
			return err
		}
		for _, name := range names {
			file, err := strconv.ParseUint(name, 16, 64)
			if err != nil || file <= r.mark.files {
				continue
			}
			r.s.files = max(r.s.files, file)
			if _, known := r.kept[file]; !known {
				r.kept[file] = false
			}
		}
	}
	for _, file := range sortedKeys(r.kept) {
		if r.kept[file] {
			continue
		}
		if err := r.s.fs.Remove(bodyFile(file)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return nil
}
