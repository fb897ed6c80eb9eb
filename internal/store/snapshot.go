package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"arrowwalk/internal/store/record"
)

// Snapshot is a consistent view of the store at one moment. It keeps the segments
// and body files that it refers to until it is closed.
type Snapshot struct {
	store    *Store
	index    index
	segments map[uint32]*segment
}

// Snapshot returns a snapshot of the store. The caller must close it.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := &Snapshot{store: s, index: s.index.clone(), segments: map[uint32]*segment{}}
	for number, seg := range s.segments {
		snap.segments[number] = seg.retain()
	}
	s.openSnapshots++
	return snap
}

// Close releases the snapshot's segments and body files.
func (snap *Snapshot) Close() {
	for _, seg := range snap.segments {
		seg.release()
	}
	var obsolete []uint64
	snap.store.mu.Lock()
	if snap.store.openSnapshots--; snap.store.openSnapshots == 0 {
		obsolete, snap.store.deferredRemovals = snap.store.deferredRemovals, nil
	}
	snap.store.mu.Unlock()
	for _, file := range obsolete {
		snap.store.removeBodyFile(file)
	}
}

// openBlob opens a blob of the snapshot.
func (snap *Snapshot) openBlob(space string, e entry) (*Blob, error) {
	seg := snap.segments[e.segment]
	if seg != nil {
		seg.retain()
	}
	return snap.store.openBlob(space, e, seg)
}

// exportMagic starts an export. After it comes a record with its body for each
// blob, ordered by space and name. The last record is a delete without a name
// whose version is the number of blobs.
const exportMagic = "AWEXP002"

// Export writes the snapshot to w and returns the number of blobs. If a blob cannot
// be read completely, Export fails with an error that names it.
func (snap *Snapshot) Export(ctx context.Context, w io.Writer) (blobs int, err error) {
	out := bufio.NewWriterSize(w, 256<<10)
	out.WriteString(exportMagic)
	snap.index.scan(func(space string, e entry) bool {
		if err = ctx.Err(); err == nil {
			err = snap.exportBlob(out, space, e)
		}
		blobs++
		return err == nil
	})
	if err != nil {
		return blobs, err
	}
	end := record.Record{Kind: record.KindDelete, Version: uint64(blobs)}
	out.Write(end.Append(nil))
	return blobs, out.Flush()
}

// exportBlob writes a blob's record and body.
func (snap *Snapshot) exportBlob(out *bufio.Writer, space string, e entry) error {
	b, err := snap.openBlob(space, e)
	if err != nil {
		return err
	}
	defer b.Close()
	r := record.Record{Kind: record.KindPut, Flags: e.flags &^ record.FlagBodyFile, Space: space, Name: b.Name, Meta: b.Meta, Size: b.Size, Version: b.Version, Checksums: b.Checksums}
	out.Write(r.Append(nil))
	buf := blockPool.Get().(*[record.BlockSize]byte)
	defer blockPool.Put(buf)
	for i := range b.Checksums {
		block, err := b.ReadBlock(i, buf[:])
		if err != nil {
			return err
		}
		if _, err := out.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// Import stores the blobs of an export with their original versions. It skips a
// blob if the store has the same or a newer version of it. It returns the numbers
// of stored and skipped blobs. If the export is truncated or corrupt, Import
// returns an error; the blobs stored before it remain.
func (s *Store) Import(ctx context.Context, r io.Reader) (stored, skipped int, err error) {
	in := bufio.NewReaderSize(r, 256<<10)
	magic := make([]byte, len(exportMagic))
	if _, err := io.ReadFull(in, magic); err != nil || string(magic) != exportMagic {
		return 0, 0, fmt.Errorf("not a store export: %w", errors.Join(ErrFormat, err))
	}
	for {
		if err := ctx.Err(); err != nil {
			return stored, skipped, err
		}
		rec, err := readExportRecord(in)
		if err != nil {
			return stored, skipped, fmt.Errorf("after %d blobs: %w", stored+skipped, err)
		}
		if rec.Kind == record.KindDelete {
			if rec.Version != uint64(stored+skipped) {
				err = fmt.Errorf("read %d blobs, export was written with %d: %w", stored+skipped, rec.Version, ErrCorrupt)
			}
			return stored, skipped, err
		}
		switch err := s.restoreRecord(rec, io.LimitReader(in, rec.Size)); {
		case errors.Is(err, errNewerVersion):
			skipped++
		case err != nil:
			return stored, skipped, fmt.Errorf("blob %s/%q: %w", rec.Space, rec.Name, err)
		default:
			stored++
		}
	}
}

// readExportRecord reads and verifies the next record of an export.
func readExportRecord(in *bufio.Reader) (record.Record, error) {
	buf := make([]byte, record.RecordHeaderLen, 4096)
	if _, err := io.ReadFull(in, buf); err != nil {
		return record.Record{}, unexpectedEOF(err)
	}
	headerSize, err := record.ParseHeaderSize(buf)
	if err != nil {
		return record.Record{}, err
	}
	buf = append(buf, make([]byte, headerSize-record.RecordHeaderLen)...)
	if _, err := io.ReadFull(in, buf[record.RecordHeaderLen:]); err != nil {
		return record.Record{}, unexpectedEOF(err)
	}
	r, _, err := record.Parse(buf)
	return r, err
}

// restoreRecord stores a blob under the version of its record.
func (s *Store) restoreRecord(r record.Record, body io.Reader) error {
	if r.Version == 0 || r.Flags&record.FlagBodyFile != 0 {
		return ErrFormat
	}
	checksums := r.Checksums
	r.Checksums = nil
	return s.submitWithBody(context.Background(), &operation{space: r.Space, rec: r, keepVersion: true}, body, checksums)
}

// Restore stores a blob under info.Version, the version that it had in another
// store. It does nothing if the store has the same or a newer version.
func (s *Store) Restore(space string, info Info, body io.Reader) error {
	r := record.Record{Kind: record.KindPut, Space: space, Name: info.Name, Meta: info.Meta, Size: info.Size, Version: info.Version}
	if info.Whole {
		r.Flags |= record.FlagWhole
	}
	if err := s.restoreRecord(r, body); !errors.Is(err, errNewerVersion) {
		return err
	}
	return nil
}

// Dump writes a line of JSON for each blob: its metadata and the location of its
// record.
func (snap *Snapshot) Dump(w io.Writer) (err error) {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	snap.index.scan(func(space string, e entry) bool {
		line := struct {
			Space string `json:"space"`
			Info
			File   string `json:"file"`
			Offset int64  `json:"offset"`
			Head   uint32 `json:"head"`
			Big    bool   `json:"big,omitempty"`
		}{space, e.info(), segmentFile(e.segment), e.offset, e.headerSize, e.flags&record.FlagBodyFile != 0}
		err = enc.Encode(line)
		return err == nil
	})
	if err == nil {
		err = out.Flush()
	}
	return err
}
