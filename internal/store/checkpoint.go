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

// A checkpoint holds the index as of one position in the log, so that recovery
// replays only what was written after it. The last two are kept, and a segment is
// removed only once the older one does not refer to it. The format is:
//
//	magic(8) store(8) segment(4) offset(8) group(8) version(8) files(8) entries(8)
//	unreferenced(4), then number(8) for each of them
//	entry*: space(1) name(2) meta(2) flags(1) size(8) version(8) segment(4)
//	        offset(8) checksum(4) header size(4), then space, name and meta
//	checksum(4) of everything before it
const (
	checkpointMagic     = "AWCKP002"
	checkpointHeaderLen = 64
	checkpointEntryLen  = 42
)

// checkpointHeader describes the log position that a checkpoint covers.
type checkpointHeader struct {
	number            uint64 // checkpoint number, which is its file name
	segment           uint32
	offset            int64
	lastGroup         uint64
	lastVersion       uint64
	lastBodyFile      uint64 // highest number assigned to a body file
	entryCount        uint64
	unreferencedFiles []uint64 // body files up to lastBodyFile that no entry refers to
}

func checkpointFile(number uint64) string { return fmt.Sprintf("check/%016x", number) }

// Checkpoint writes the index to disk if it has changed since the last checkpoint,
// and removes the segments and checkpoints that are no longer needed.
func (s *Store) Checkpoint() error { return s.checkpointIfChanged(false) }

// checkpointIfChanged writes a checkpoint if the index has changed since the last
// one or if force is set.
func (s *Store) checkpointIfChanged(force bool) error {
	s.checkpointMu.Lock()
	defer s.checkpointMu.Unlock()
	if err := s.syncRemovals(); err != nil {
		return err
	}
	s.mu.Lock()
	tail := &s.tail
	header := checkpointHeader{number: s.lastCheckpoint.number + 1, lastGroup: tail.lastGroup, lastVersion: tail.visibleVersion, lastBodyFile: s.lastBodyFile, unreferencedFiles: sortedKeys(s.unreferencedFiles), offset: record.SegmentHeaderLen, segment: 1}
	if tail.segment != nil {
		header.segment, header.offset = tail.segment.number, tail.end
	}
	if header.lastGroup == s.lastCheckpoint.lastGroup && s.lastCheckpoint.number != 0 && !force {
		s.mu.Unlock()
		return nil
	}
	snapshot := s.index.clone()
	s.mu.Unlock()
	for _, tree := range snapshot {
		header.entryCount += uint64(tree.Len())
	}
	if err := s.writeCheckpoint(header, snapshot); err != nil {
		return err
	}
	s.counters.Checkpoints.Add(1)
	return s.removeObsolete(header)
}

// ReclaimAll removes all segments that can be removed. It writes two checkpoints,
// because a segment is removed only after both find it empty.
func (s *Store) ReclaimAll() error {
	for range 2 {
		if err := s.checkpointIfChanged(true); err != nil {
			return err
		}
	}
	return nil
}

// syncRemovals makes the removal of body files durable, so that the next
// checkpoint need not list them as unreferenced.
func (s *Store) syncRemovals() error {
	s.mu.Lock()
	removed := s.unsyncedRemovals
	s.unsyncedRemovals = map[uint64]bool{}
	s.mu.Unlock()
	dirs := map[string]bool{}
	for file := range removed {
		dirs[bodyDir(file)] = true
	}
	for _, dir := range sortedKeys(dirs) {
		if err := s.fs.SyncDir(dir); err != nil {
			return err // the files stay listed as unreferenced, and recovery removes them again
		}
	}
	s.mu.Lock()
	for file := range removed {
		delete(s.unreferencedFiles, file)
	}
	s.mu.Unlock()
	return nil
}

// removeObsolete removes the segments that the checkpoint before this one no
// longer refers to, and all checkpoints older than that.
func (s *Store) removeObsolete(header checkpointHeader) error {
	prior := s.lastCheckpoint
	s.lastCheckpoint = header
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
	var obsolete []*segment
	s.mu.Lock()
	for number, seg := range s.segments {
		if number < prior.segment && s.emptySegments[number] {
			obsolete = append(obsolete, seg)
			delete(s.segments, number)
			delete(s.emptySegments, number)
		}
	}
	for number, seg := range s.segments { // segments that are empty now may be removed by the next checkpoint
		if seg != s.tail.segment && seg.liveBytes == 0 {
			s.emptySegments[number] = true
		}
	}
	s.mu.Unlock()
	for _, seg := range obsolete {
		if err := s.fs.Remove(segmentFile(seg.number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		seg.release()
	}
	return nil
}

// writeCheckpoint writes a checkpoint file atomically.
func (s *Store) writeCheckpoint(header checkpointHeader, snapshot index) (err error) {
	name := checkpointFile(header.number)
	temp := name + ".new"
	if err := s.fs.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	f, err := s.fs.Create(temp)
	if err != nil {
		return err
	}
	w := &checksumWriter{file: f}
	out := bufio.NewWriterSize(w, 256<<10)
	out.Write(header.append(nil, s.id))
	var buf []byte
	snapshot.scan(func(space string, e entry) bool {
		buf = e.append(buf[:0], space)
		_, err = out.Write(buf)
		return err == nil
	})
	if err == nil {
		err = out.Flush()
	}
	if err == nil {
		_, err = f.WriteAt(binary.BigEndian.AppendUint32(nil, w.sum), w.offset)
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
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

// checksumWriter writes a file from its start and computes the checksum of the
// bytes written.
type checksumWriter struct {
	file   disk.File
	offset int64
	sum    uint32
}

func (w *checksumWriter) Write(p []byte) (int, error) {
	n, err := w.file.WriteAt(p, w.offset)
	w.offset += int64(n)
	w.sum = record.UpdateChecksum(w.sum, p[:n])
	return n, err
}

// append appends the encoded header.
func (h checkpointHeader) append(b []byte, store uint64) []byte {
	b = append(b, checkpointMagic...)
	b = binary.BigEndian.AppendUint64(b, store)
	b = binary.BigEndian.AppendUint32(b, h.segment)
	for _, v := range []uint64{uint64(h.offset), h.lastGroup, h.lastVersion, h.lastBodyFile, h.entryCount} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(h.unreferencedFiles)))
	for _, file := range h.unreferencedFiles {
		b = binary.BigEndian.AppendUint64(b, file)
	}
	return b
}

// append appends the encoded entry.
func (e *entry) append(b []byte, space string) []byte {
	b = append(b, byte(len(space)))
	b = binary.BigEndian.AppendUint16(b, e.nameLen)
	b = binary.BigEndian.AppendUint16(b, uint16(len(e.nameAndMeta)-int(e.nameLen)))
	b = append(b, e.flags)
	b = binary.BigEndian.AppendUint64(b, uint64(e.size))
	b = binary.BigEndian.AppendUint64(b, e.version)
	b = binary.BigEndian.AppendUint32(b, e.segment)
	b = binary.BigEndian.AppendUint64(b, uint64(e.offset))
	b = binary.BigEndian.AppendUint32(b, e.checksum)
	b = binary.BigEndian.AppendUint32(b, e.headerSize)
	b = append(b, space...)
	return append(b, e.nameAndMeta...)
}

// checkpointSize returns the encoded size of the entry in a checkpoint.
func (e *entry) checkpointSize(space string) int64 {
	return int64(checkpointEntryLen + len(space) + len(e.nameAndMeta))
}

var errCheckpoint = errors.New("not a whole checkpoint of this store")

// readCheckpoint reads a checkpoint. If it is incomplete or damaged,
// readCheckpoint returns errCheckpoint and the caller must not use any of it.
func readCheckpoint(f disk.File, store uint64) (header checkpointHeader, idx index, err error) {
	size, err := f.Size()
	if err != nil {
		return header, nil, err
	}
	if size < checkpointHeaderLen+4 {
		return header, nil, errCheckpoint
	}
	r := &checksumReader{in: bufio.NewReaderSize(io.NewSectionReader(f, 0, size-4), 256<<10)}
	buf := make([]byte, checkpointHeaderLen)
	if err := r.readFull(buf); err != nil {
		return header, nil, err
	}
	if string(buf[:8]) != checkpointMagic || binary.BigEndian.Uint64(buf[8:]) != store {
		return header, nil, errCheckpoint
	}
	header.segment = binary.BigEndian.Uint32(buf[16:])
	header.offset = int64(binary.BigEndian.Uint64(buf[20:]))
	header.lastGroup, header.lastVersion = binary.BigEndian.Uint64(buf[28:]), binary.BigEndian.Uint64(buf[36:])
	header.lastBodyFile, header.entryCount = binary.BigEndian.Uint64(buf[44:]), binary.BigEndian.Uint64(buf[52:])
	if header.segment == 0 || header.offset < record.SegmentHeaderLen {
		return header, nil, errCheckpoint
	}
	var file [8]byte
	for range binary.BigEndian.Uint32(buf[60:]) {
		if err := r.readFull(file[:]); err != nil {
			return header, nil, err
		}
		header.unreferencedFiles = append(header.unreferencedFiles, binary.BigEndian.Uint64(file[:]))
	}
	if idx, err = r.readEntries(header.entryCount); err != nil {
		return header, nil, err
	}
	var sum [4]byte
	if _, err := f.ReadAt(sum[:], size-4); err != nil {
		return header, nil, err
	}
	if _, err := r.in.ReadByte(); err != io.EOF || r.sum != binary.BigEndian.Uint32(sum[:]) {
		return header, nil, errCheckpoint
	}
	return header, idx, nil
}

// checksumReader reads a checkpoint and computes the checksum of the bytes read.
type checksumReader struct {
	in  *bufio.Reader
	sum uint32
}

// readFull fills buf, or returns errCheckpoint if the file ends before that.
func (r *checksumReader) readFull(buf []byte) error {
	if _, err := io.ReadFull(r.in, buf); err != nil {
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return errCheckpoint
		}
		return err
	}
	r.sum = record.UpdateChecksum(r.sum, buf)
	return nil
}

// readEntries reads n index entries.
func (r *checksumReader) readEntries(n uint64) (index, error) {
	idx := index{}
	fixed := make([]byte, checkpointEntryLen)
	var text []byte
	for range n {
		if err := r.readFull(fixed); err != nil {
			return nil, err
		}
		spaceLen, nameLen, metaLen := int(fixed[0]), int(binary.BigEndian.Uint16(fixed[1:])), int(binary.BigEndian.Uint16(fixed[3:]))
		text = append(text[:0], make([]byte, spaceLen+nameLen+metaLen)...)
		if err := r.readFull(text); err != nil {
			return nil, err
		}
		e := entry{nameAndMeta: string(text[spaceLen:]), nameLen: uint16(nameLen), flags: fixed[5], size: int64(binary.BigEndian.Uint64(fixed[6:])),
			version: binary.BigEndian.Uint64(fixed[14:]), segment: binary.BigEndian.Uint32(fixed[22:]),
			offset: int64(binary.BigEndian.Uint64(fixed[26:])), checksum: binary.BigEndian.Uint32(fixed[34:]), headerSize: binary.BigEndian.Uint32(fixed[38:])}
		if e.size < 0 || e.offset < record.SegmentHeaderLen || e.headerSize < record.RecordHeaderLen || e.headerSize > 1<<24 {
			return nil, errCheckpoint
		}
		idx.spaceTree(string(text[:spaceLen])).Load(e)
	}
	return idx, nil
}
