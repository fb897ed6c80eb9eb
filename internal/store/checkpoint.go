package store

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strconv"

	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/record"
)

// A checkpoint is the index as it was at a place of the log, so that a start
// reads only what was written after it. Two are kept; a segment goes only when
// the older of them refers to nothing in it. Its form:
//
//	magic(8) store(8) segment(4) offset(8) group(8) version(8) files(8) entries(8)
//	flying(4), and a number(8) for each
//	entry*: space(1) name(2) meta(2) flags(1) size(8) version(8) segment(4)
//	        offset(8) sum(4) head(4), then space, name and meta
//	sum(4) of all that
const (
	checkMagic = "AWCKP002"
	checkHead  = 64
	checkEntry = 42
)

// mark is what a checkpoint says of the log.
type mark struct {
	number  uint64 // of the checkpoint; its file is named by it
	segment uint32
	offset  int64
	group   uint64
	version uint64
	files   uint64 // the greatest number of a body's file
	entries uint64
	flying  []uint64 // files up to it that nothing referred to
}

func checkFile(number uint64) string { return fmt.Sprintf("check/%016x", number) }

// Checkpoint writes the index to the disk, where it has changed since the last
// one, and removes what it makes needless.
func (s *Store) Checkpoint() error { return s.checkpoint(false) }

func (s *Store) checkpoint(again bool) error {
	s.checking.Lock()
	defer s.checking.Unlock()
	if err := s.settleBodies(); err != nil {
		return err
	}
	s.mu.Lock()
	l := &s.log
	m := mark{number: s.last.number + 1, group: l.group, version: l.shown, files: s.files, flying: sortedKeys(s.flying), offset: record.SegmentHeaderLen, segment: 1}
	if l.segment != nil {
		m.segment, m.offset = l.segment.number, l.end
	}
	if m.group == s.last.group && s.last.number != 0 && !again {
		s.mu.Unlock()
		return nil
	}
	x := s.index.clone()
	s.mu.Unlock()
	for _, t := range x {
		m.entries += uint64(t.Len())
	}
	if err := s.writeCheckpoint(m, x); err != nil {
		return err
	}
	s.counts.Checkpoints.Add(1)
	return s.retire(m)
}

// ReclaimAll writes checkpoints until all that can be removed is: a segment goes
// only when two of them have found it empty.
func (s *Store) ReclaimAll() error {
	for range 2 {
		if err := s.checkpoint(true); err != nil {
			return err
		}
	}
	return nil
}

// settleBodies makes the removal of bodies' files durable: they need not be
// looked for by a start any more.
func (s *Store) settleBodies() error {
	s.mu.Lock()
	files := s.removed
	s.removed = map[uint64]bool{}
	s.mu.Unlock()
	dirs := map[string]bool{}
	for file := range files {
		dirs[bodyDir(file)] = true
	}
	for _, dir := range sortedKeys(dirs) {
		if err := s.fs.SyncDir(dir); err != nil {
			return err // they stay among the flying: the next start removes them again
		}
	}
	s.mu.Lock()
	for file := range files {
		delete(s.flying, file)
	}
	s.mu.Unlock()
	return nil
}

// retire removes segments that the checkpoint before m did not refer to any
// more, and the checkpoints before that one.
func (s *Store) retire(m mark) error {
	prior := s.last
	s.last = m
	names, err := s.fs.List("check")
	if err != nil {
		return err
	}
	for _, name := range names {
		if number, err := strconv.ParseUint(name, 16, 64); err != nil || number < prior.number {
			if err := s.fs.Remove("check/" + name); err != nil {
				return err
			}
		}
	}
	var gone []*segment
	s.mu.Lock()
	for number, seg := range s.segments {
		if number < prior.segment && s.dead[number] {
			gone = append(gone, seg)
			delete(s.segments, number)
			delete(s.dead, number)
		}
	}
	for number, seg := range s.segments { // what is dead now may go at the next one
		if seg != s.log.segment && seg.live == 0 {
			s.dead[number] = true
		}
	}
	s.mu.Unlock()
	for _, seg := range gone {
		if err := s.fs.Remove(segmentFile(seg.number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		seg.release()
	}
	return nil
}

func (s *Store) writeCheckpoint(m mark, x index) (err error) {
	name := checkFile(m.number)
	temp := name + ".new"
	if err := s.fs.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := s.fs.Create(temp)
	if err != nil {
		return err
	}
	w := &summer{f: f}
	out := bufio.NewWriterSize(w, 256<<10)
	out.Write(m.append(nil, s.id))
	var b []byte
	x.scan(func(space string, e entry) bool {
		b = e.append(b[:0], space)
		_, err = out.Write(b)
		return err == nil
	})
	if err == nil {
		err = out.Flush()
	}
	if err == nil {
		_, err = f.WriteAt(binary.BigEndian.AppendUint32(nil, w.sum), w.at)
	}
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = s.fs.Rename(temp, name)
	}
	if err == nil {
		err = s.fs.SyncDir("check")
	}
	if err != nil {
		s.fs.Remove(temp)
		return fmt.Errorf("write checkpoint %s: %w", name, err)
	}
	return nil
}

// summer writes a file from its beginning and sums what it writes.
type summer struct {
	f   disk.File
	at  int64
	sum uint32
}

func (w *summer) Write(p []byte) (int, error) {
	n, err := w.f.WriteAt(p, w.at)
	w.at += int64(n)
	w.sum = record.UpdateChecksum(w.sum, p[:n])
	return n, err
}

func (m mark) append(b []byte, store uint64) []byte {
	b = append(b, checkMagic...)
	b = binary.BigEndian.AppendUint64(b, store)
	b = binary.BigEndian.AppendUint32(b, m.segment)
	for _, v := range []uint64{uint64(m.offset), m.group, m.version, m.files, m.entries} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(m.flying)))
	for _, file := range m.flying {
		b = binary.BigEndian.AppendUint64(b, file)
	}
	return b
}

func (e *entry) append(b []byte, space string) []byte {
	b = append(b, byte(len(space)))
	b = binary.BigEndian.AppendUint16(b, e.name)
	b = binary.BigEndian.AppendUint16(b, uint16(len(e.text)-int(e.name)))
	b = append(b, e.flags)
	b = binary.BigEndian.AppendUint64(b, uint64(e.size))
	b = binary.BigEndian.AppendUint64(b, e.version)
	b = binary.BigEndian.AppendUint32(b, e.segment)
	b = binary.BigEndian.AppendUint64(b, uint64(e.offset))
	b = binary.BigEndian.AppendUint32(b, e.sum)
	b = binary.BigEndian.AppendUint32(b, e.head)
	b = append(b, space...)
	return append(b, e.text...)
}

// checkSpan returns the bytes that the entry takes in a checkpoint.
func (e *entry) checkSpan(space string) int64 {
	return int64(checkEntry + len(space) + len(e.text))
}

var errCheckpoint = errors.New("not a whole checkpoint of this store")

// readCheckpoint reads a checkpoint; one that is not whole is an error, and
// nothing of it is used.
func readCheckpoint(f disk.File, store uint64) (m mark, x index, err error) {
	size, err := f.Size()
	if err != nil {
		return m, nil, err
	}
	if size < checkHead+4 {
		return m, nil, errCheckpoint
	}
	r := &sumReader{in: bufio.NewReaderSize(io.NewSectionReader(f, 0, size-4), 256<<10)}
	head := make([]byte, checkHead)
	if err := r.fill(head); err != nil {
		return m, nil, err
	}
	if string(head[:8]) != checkMagic || binary.BigEndian.Uint64(head[8:]) != store {
		return m, nil, errCheckpoint
	}
	m.segment = binary.BigEndian.Uint32(head[16:])
	m.offset = int64(binary.BigEndian.Uint64(head[20:]))
	m.group, m.version = binary.BigEndian.Uint64(head[28:]), binary.BigEndian.Uint64(head[36:])
	m.files, m.entries = binary.BigEndian.Uint64(head[44:]), binary.BigEndian.Uint64(head[52:])
	if m.segment == 0 || m.offset < record.SegmentHeaderLen {
		return m, nil, errCheckpoint
	}
	var file [8]byte
	for range binary.BigEndian.Uint32(head[60:]) {
		if err := r.fill(file[:]); err != nil {
			return m, nil, err
		}
		m.flying = append(m.flying, binary.BigEndian.Uint64(file[:]))
	}
	if x, err = r.entries(m.entries); err != nil {
		return m, nil, err
	}
	var sum [4]byte
	if _, err := f.ReadAt(sum[:], size-4); err != nil {
		return m, nil, err
	}
	if _, err := r.in.ReadByte(); err != io.EOF || r.sum != binary.BigEndian.Uint32(sum[:]) {
		return m, nil, errCheckpoint
	}
	return m, x, nil
}

type sumReader struct {
	in  *bufio.Reader
	sum uint32
}

func (r *sumReader) fill(b []byte) error {
	if _, err := io.ReadFull(r.in, b); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return errCheckpoint
		}
		return err
	}
	r.sum = record.UpdateChecksum(r.sum, b)
	return nil
}

func (r *sumReader) entries(n uint64) (index, error) {
	x := index{}
	fixed := make([]byte, checkEntry)
	var text []byte
	for range n {
		if err := r.fill(fixed); err != nil {
			return nil, err
		}
		space, name, meta := int(fixed[0]), int(binary.BigEndian.Uint16(fixed[1:])), int(binary.BigEndian.Uint16(fixed[3:]))
		text = append(text[:0], make([]byte, space+name+meta)...)
		if err := r.fill(text); err != nil {
			return nil, err
		}
		e := entry{text: string(text[space:]), name: uint16(name), flags: fixed[5], size: int64(binary.BigEndian.Uint64(fixed[6:])),
			version: binary.BigEndian.Uint64(fixed[14:]), segment: binary.BigEndian.Uint32(fixed[22:]),
			offset: int64(binary.BigEndian.Uint64(fixed[26:])), sum: binary.BigEndian.Uint32(fixed[34:]), head: binary.BigEndian.Uint32(fixed[38:])}
		if e.size < 0 || e.offset < record.SegmentHeaderLen || e.head < record.RecordHeaderLen || e.head > 1<<24 {
			return nil, errCheckpoint
		}
		x.space(string(text[:space])).Load(e)
	}
	return x, nil
}
