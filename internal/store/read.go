package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"

	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/record"
)

// Blob is an open blob; the caller closes it. Its bytes stay those of its
// version while it is open, whatever is written meanwhile, and each is checked
// before it is given. Its calls must not run at once.
type Blob struct {
	Info
	Checksums []uint32 // of its blocks of record.Block bytes, as they were written

	s     *Store
	space string
	seg   *segment
	file  disk.File
	start int64 // of the body in file
	body  bool  // file is the body's own
	name  string
}

// Get opens a blob, or returns ErrNotFound or, where the record of it cannot be
// read, ErrCorrupt.
func (s *Store) Get(space, name string) (*Blob, error) {
	for range 3 { // its body's file may go between the look and the open
		s.mu.RLock()
		e, ok := s.index.get(space, name)
		if !ok {
			s.mu.RUnlock()
			return nil, ErrNotFound
		}
		seg := s.segments[e.segment]
		if seg != nil {
			seg.hold()
		}
		s.mu.RUnlock()
		b, err := s.openBlob(space, e, seg)
		if !errors.Is(err, fs.ErrNotExist) {
			return b, err
		}
	}
	return nil, s.corrupt(space, name, 0, -1, "its body's file is missing")
}

// openBlob takes over the hold on seg.
func (s *Store) openBlob(space string, e entry, seg *segment) (*Blob, error) {
	if seg == nil {
		return nil, s.corrupt(space, e.key(), e.version, -1, fmt.Sprintf("segment %s is missing", segmentFile(e.segment)))
	}
	b := &Blob{Info: e.info(), s: s, space: space, seg: seg, file: seg.file, start: e.offset + int64(e.head), name: segmentFile(e.segment)}
	if e.flags&record.FlagBodyFile == 0 && e.size <= record.BlockSize {
		if e.size > 0 {
			b.Checksums = []uint32{e.sum}
		}
		return b, nil
	}
	r, err := readRecord(seg.file, e)
	if err != nil {
		seg.release()
		return nil, s.corrupt(space, e.key(), e.version, -1, err.Error())
	}
	b.Checksums = r.Checksums
	if r.Flags&record.FlagBodyFile == 0 {
		return b, nil
	}
	seg.release()
	b.seg, b.start, b.body, b.name = nil, 0, true, bodyFile(r.BodyFile)
	if b.file, err = s.fs.Open(b.name); err != nil {
		return nil, err
	}
	return b, nil
}

// recordOf reads the record of an entry. The caller holds mu.
func (s *Store) recordOf(e entry) (record.Record, error) {
	seg := s.segments[e.segment]
	if seg == nil {
		return record.Record{}, fmt.Errorf("segment %s is missing", segmentFile(e.segment))
	}
	return readRecord(seg.file, e)
}

// readRecord reads and checks the record that an entry refers to.
func readRecord(f disk.File, e entry) (record.Record, error) {
	text := make([]byte, e.head)
	if _, err := f.ReadAt(text, e.offset); err != nil {
		return record.Record{}, fmt.Errorf("read its record: %w", err)
	}
	r, _, err := record.Parse(text)
	if err == nil && (r.Version != e.version || r.Name != e.key()) {
		err = errors.New("another record stands in its place")
	}
	return r, err
}

// Close closes the blob.
func (b *Blob) Close() error {
	if b.body {
		return b.file.Close()
	}
	b.seg.release()
	return nil
}

// ReadAt reads the body from offset; see io.ReaderAt. A block whose bytes are
// not those that were written is an error (ErrCorrupt), and none of it is given.
func (b *Blob) ReadAt(p []byte, offset int64) (int, error) {
	if offset < 0 || offset >= b.Size {
		return 0, io.EOF
	}
	buf := blocks.Get().(*[record.BlockSize]byte)
	defer blocks.Put(buf)
	done := 0
	for done < len(p) && offset < b.Size {
		i := int(offset / record.BlockSize)
		block, err := b.ReadBlock(i, buf[:])
		if err != nil {
			return done, err
		}
		n := copy(p[done:], block[offset-int64(i)*record.BlockSize:])
		done += n
		offset += int64(n)
	}
	if done < len(p) {
		return done, io.EOF
	}
	return done, nil
}

// ReadBlock reads the body's block i into buf, of record.ReadBlock bytes, and checks it.
func (b *Blob) ReadBlock(i int, buf []byte) ([]byte, error) {
	at := int64(i) * record.BlockSize
	block := buf[:min(record.BlockSize, b.Size-at)]
	if b.s.isBad(b.space, b.Name, b.Version, i) {
		return nil, fmt.Errorf("block %d of blob %s/%q: %w", i, b.space, b.Name, ErrCorrupt)
	}
	if _, err := b.file.ReadAt(block, b.start+at); err != nil {
		if err != io.EOF {
			return nil, err
		}
		return nil, b.s.corrupt(b.space, b.Name, b.Version, i, b.name+" is too short")
	}
	if record.Checksum(block) != b.Checksums[i] {
		return nil, b.s.corrupt(b.space, b.Name, b.Version, i, fmt.Sprintf("%s at %d: bad checksum", b.name, b.start+at))
	}
	return block, nil
}

func (s *Store) isBad(space, name string, version uint64, block int) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.bad) > 0 && s.bad[badBlock{space, name, version, block}]
}

// quarantineMost bounds how many bad blocks are remembered; those beyond it
// are found anew by each read.
const quarantineMost = 1 << 16

// corrupt puts a block in quarantine (-1: all of the blob) and returns the
// error that says so. What a version of a blob once was found to be it stays.
func (s *Store) corrupt(space, name string, version uint64, block int, what string) error {
	k := badBlock{space, name, version, block}
	s.mu.Lock()
	fresh := !s.bad[k]
	if fresh && len(s.bad) < quarantineMost {
		s.bad[k] = true
	}
	s.mu.Unlock()
	if fresh {
		s.counts.CorruptBlocks.Add(1)
		s.opt.Log.Error("stored bytes are not those that were written", "space", space, "name", name, "version", version, "block", block, "what", what)
	}
	return fmt.Errorf("block %d of blob %s/%q: %s: %w", block, space, name, what, ErrCorrupt)
}

// QuarantinedBlocks returns the number of blocks that were found bad and not replaced
// since.
func (s *Store) QuarantinedBlocks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.bad {
		if e, ok := s.index.get(k.space, k.name); !ok || k.version != 0 && e.version != k.version {
			delete(s.bad, k)
		}
	}
	return len(s.bad)
}
