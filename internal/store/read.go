package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"

	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/record"
)

// Blob is an open blob. The caller must close it. It keeps returning the bytes of
// its version until it is closed, even if the blob is overwritten or deleted
// meanwhile, and verifies every block before returning it. It is not safe for
// concurrent use.
type Blob struct {
	Info
	Checksums []uint32 // CRC-32C of each record.BlockSize bytes of the body

	store      *Store
	space      string
	seg        *segment
	file       disk.File
	bodyOffset int64 // offset of the body in file
	ownFile    bool  // file is a body file; otherwise it belongs to seg
	fileName   string
}

// Get opens a blob. It returns ErrNotFound if there is none, and ErrCorrupt if its
// record or body file cannot be read.
func (s *Store) Get(space, name string) (*Blob, error) {
	for range 3 { // an overwrite may remove the body file between lookup and open
		s.mu.RLock()
		e, ok := s.index.get(space, name)
		if !ok {
			s.mu.RUnlock()
			return nil, ErrNotFound
		}
		seg := s.segments[e.segment]
		if seg != nil {
			seg.retain()
		}
		s.mu.RUnlock()
		b, err := s.openBlob(space, e, seg)
		if !errors.Is(err, fs.ErrNotExist) {
			return b, err
		}
	}
	return nil, s.quarantineBlock(space, name, 0, -1, "its body's file is missing")
}

// openBlob opens the blob of an entry. It takes over the caller's reference to
// seg, which is nil if the segment is missing.
func (s *Store) openBlob(space string, e entry, seg *segment) (*Blob, error) {
	if seg == nil {
		return nil, s.quarantineBlock(space, e.key(), e.version, -1, fmt.Sprintf("segment %s is missing", segmentFile(e.segment)))
	}
	b := &Blob{Info: e.info(), store: s, space: space, seg: seg, file: seg.file, bodyOffset: e.offset + int64(e.headerSize), fileName: segmentFile(e.segment)}
	if e.flags&record.FlagBodyFile == 0 && e.size <= record.BlockSize {
		if e.size > 0 {
			b.Checksums = []uint32{e.checksum}
		}
		return b, nil
	}
	r, err := readRecord(seg.file, e)
	if err != nil {
		seg.release()
		return nil, s.quarantineBlock(space, e.key(), e.version, -1, err.Error())
	}
	b.Checksums = r.Checksums
	if r.Flags&record.FlagBodyFile == 0 {
		return b, nil
	}
	seg.release()
	b.seg, b.bodyOffset, b.ownFile, b.fileName = nil, 0, true, bodyFile(r.BodyFile)
	if b.file, err = s.fs.Open(b.fileName); err != nil {
		return nil, err
	}
	return b, nil
}

// readEntryRecord reads and verifies the record of an entry. The caller holds mu.
func (s *Store) readEntryRecord(e entry) (record.Record, error) {
	seg := s.segments[e.segment]
	if seg == nil {
		return record.Record{}, fmt.Errorf("segment %s is missing", segmentFile(e.segment))
	}
	return readRecord(seg.file, e)
}

// readRecord reads and verifies the record that an entry refers to.
func readRecord(f disk.File, e entry) (record.Record, error) {
	buf := make([]byte, e.headerSize)
	if _, err := f.ReadAt(buf, e.offset); err != nil {
		return record.Record{}, fmt.Errorf("read its record: %w", err)
	}
	r, _, err := record.Parse(buf)
	if err == nil && (r.Version != e.version || r.Name != e.key()) {
		err = errors.New("another record stands in its place")
	}
	return r, err
}

// Close releases the blob's file.
func (b *Blob) Close() error {
	if b.ownFile {
		return b.file.Close()
	}
	b.seg.release()
	return nil
}

// ReadAt implements io.ReaderAt. If a block does not match its checksum, ReadAt
// returns the bytes before that block and ErrCorrupt.
func (b *Blob) ReadAt(p []byte, offset int64) (int, error) {
	if offset < 0 || offset >= b.Size {
		return 0, io.EOF
	}
	buf := blockPool.Get().(*[record.BlockSize]byte)
	defer blockPool.Put(buf)
	copied := 0
	for copied < len(p) && offset < b.Size {
		i := int(offset / record.BlockSize)
		block, err := b.ReadBlock(i, buf[:])
		if err != nil {
			return copied, err
		}
		n := copy(p[copied:], block[offset-int64(i)*record.BlockSize:])
		copied += n
		offset += int64(n)
	}
	if copied < len(p) {
		return copied, io.EOF
	}
	return copied, nil
}

// ReadBlock reads and verifies block i of the body. buf must hold at least
// record.BlockSize bytes; the returned slice aliases it.
func (b *Blob) ReadBlock(i int, buf []byte) ([]byte, error) {
	blockOffset := int64(i) * record.BlockSize
	block := buf[:min(record.BlockSize, b.Size-blockOffset)]
	if b.store.isQuarantined(b.space, b.Name, b.Version, i) {
		return nil, fmt.Errorf("block %d of blob %s/%q: %w", i, b.space, b.Name, ErrCorrupt)
	}
	if _, err := b.file.ReadAt(block, b.bodyOffset+blockOffset); err != nil {
		if err != io.EOF {
			return nil, err
		}
		return nil, b.store.quarantineBlock(b.space, b.Name, b.Version, i, b.fileName+" is too short")
	}
	if record.Checksum(block) != b.Checksums[i] {
		return nil, b.store.quarantineBlock(b.space, b.Name, b.Version, i, fmt.Sprintf("%s at %d: bad checksum", b.fileName, b.bodyOffset+blockOffset))
	}
	return block, nil
}

func (s *Store) isQuarantined(space, name string, version uint64, block int) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.quarantine) > 0 && s.quarantine[blockKey{space, name, version, block}]
}

// maxQuarantined bounds the memory used by the quarantine. Further corrupt blocks
// are detected again by each read.
const maxQuarantined = 1 << 16

// quarantineBlock records a block as corrupt, or the whole blob if block is -1,
// and returns an error that wraps ErrCorrupt. A quarantined block of a blob
// version stays quarantined even if a later read would succeed.
func (s *Store) quarantineBlock(space, name string, version uint64, block int, reason string) error {
	key := blockKey{space, name, version, block}
	s.mu.Lock()
	isNew := !s.quarantine[key]
	if isNew && len(s.quarantine) < maxQuarantined {
		s.quarantine[key] = true
	}
	s.mu.Unlock()
	if isNew {
		s.counters.CorruptBlocks.Add(1)
		s.opt.Log.Error("stored data is corrupt", "space", space, "name", name, "version", version, "block", block, "what", reason)
	}
	return fmt.Errorf("block %d of blob %s/%q: %s: %w", block, space, name, reason, ErrCorrupt)
}

// QuarantinedBlocks returns the number of blocks that were found corrupt and whose
// blob version is still stored.
func (s *Store) QuarantinedBlocks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.quarantine {
		if e, ok := s.index.get(key.space, key.name); !ok || key.version != 0 && e.version != key.version {
			delete(s.quarantine, key)
		}
	}
	return len(s.quarantine)
}
