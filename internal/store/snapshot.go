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

// Snapshot is the store as it was at one moment, while writes go on. Its
// segments and bodies' files stay until it is closed.
type Snapshot struct {
	s     *Store
	index index
	held  map[uint32]*segment
}

// Snapshot takes one; the caller closes it.
func (s *Store) Snapshot() *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &Snapshot{s: s, index: s.index.clone(), held: map[uint32]*segment{}}
	for number, seg := range s.segments {
		n.held[number] = seg.hold()
	}
	s.pins++
	return n
}

// Close lets go of what the snapshot holds.
func (n *Snapshot) Close() {
	for _, seg := range n.held {
		seg.release()
	}
	var gone []uint64
	n.s.mu.Lock()
	if n.s.pins--; n.s.pins == 0 {
		gone, n.s.doomed = n.s.doomed, nil
	}
	n.s.mu.Unlock()
	for _, file := range gone {
		n.s.dropBody(file)
	}
}

// open opens a blob of the snapshot.
func (n *Snapshot) open(space string, e entry) (*Blob, error) {
	seg := n.held[e.segment]
	if seg != nil {
		seg.hold()
	}
	return n.s.openBlob(space, e, seg)
}

// An export is a magic, then a record and its body for each blob, in the order
// of spaces and names; the last record is a delete of nothing whose version is
// the number of blobs.
const exportMagic = "AWEXP002"

// Export writes the snapshot to w and returns the number of blobs. A blob that
// cannot be read whole is an error that names it: nothing is left out in silence.
func (n *Snapshot) Export(ctx context.Context, w io.Writer) (blobs int, err error) {
	out := bufio.NewWriterSize(w, 256<<10)
	out.WriteString(exportMagic)
	n.index.scan(func(space string, e entry) bool {
		if err = ctx.Err(); err == nil {
			err = n.export(out, space, e)
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

func (n *Snapshot) export(out *bufio.Writer, space string, e entry) error {
	b, err := n.open(space, e)
	if err != nil {
		return err
	}
	defer b.Close()
	r := record.Record{Kind: record.KindPut, Flags: e.flags &^ record.FlagBodyFile, Space: space, Name: b.Name, Meta: b.Meta, Size: b.Size, Version: b.Version, Checksums: b.Checksums}
	out.Write(r.Append(nil))
	buf := blocks.Get().(*[record.BlockSize]byte)
	defer blocks.Put(buf)
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

// Import puts what an export holds into the store, with the versions it had. A
// blob of which the store has a later version is left as it is. It returns the
// numbers of blobs that were stored and left. An export that is cut short or
// spoilt is an error; what came before it stays.
func (s *Store) Import(ctx context.Context, r io.Reader) (stored, left int, err error) {
	in := bufio.NewReaderSize(r, 256<<10)
	magic := make([]byte, len(exportMagic))
	if _, err := io.ReadFull(in, magic); err != nil || string(magic) != exportMagic {
		return 0, 0, fmt.Errorf("not an export of a store: %w", errors.Join(ErrFormat, err))
	}
	for {
		if err := ctx.Err(); err != nil {
			return stored, left, err
		}
		rec, err := readExported(in)
		if err != nil {
			return stored, left, fmt.Errorf("after %d blobs: %w", stored+left, err)
		}
		if rec.Kind == record.KindDelete {
			if rec.Version != uint64(stored+left) {
				err = fmt.Errorf("%d blobs, the export had %d: %w", stored+left, rec.Version, ErrCorrupt)
			}
			return stored, left, err
		}
		switch err := s.restore(rec, io.LimitReader(in, rec.Size)); {
		case errors.Is(err, errOlder):
			left++
		case err != nil:
			return stored, left, fmt.Errorf("blob %s/%q: %w", rec.Space, rec.Name, err)
		default:
			stored++
		}
	}
}

func readExported(in *bufio.Reader) (record.Record, error) {
	text := make([]byte, record.RecordHeaderLen, 4096)
	if _, err := io.ReadFull(in, text); err != nil {
		return record.Record{}, cutShort(err)
	}
	n, err := record.ParseHeaderSize(text)
	if err != nil {
		return record.Record{}, err
	}
	text = append(text, make([]byte, n-record.RecordHeaderLen)...)
	if _, err := io.ReadFull(in, text[record.RecordHeaderLen:]); err != nil {
		return record.Record{}, cutShort(err)
	}
	r, _, err := record.Parse(text)
	return r, err
}

// restore puts a blob with the version that it has.
func (s *Store) restore(r record.Record, body io.Reader) error {
	if r.Version == 0 || r.Flags&record.FlagBodyFile != 0 {
		return ErrFormat
	}
	want := r.Checksums
	r.Checksums = nil
	return s.place(context.Background(), &op{space: r.Space, rec: r, keep: true}, body, want)
}

// Restore puts a blob with the version that it had in another store, unless
// this one has a later version of it.
func (s *Store) Restore(space string, info Info, body io.Reader) error {
	r := record.Record{Kind: record.KindPut, Space: space, Name: info.Name, Meta: info.Meta, Size: info.Size, Version: info.Version}
	if info.Whole {
		r.Flags |= record.FlagWhole
	}
	if err := s.restore(r, body); !errors.Is(err, errOlder) {
		return err
	}
	return nil
}

// Dump writes a line of JSON for each blob: what the index knows and where it is.
func (n *Snapshot) Dump(w io.Writer) (err error) {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	n.index.scan(func(space string, e entry) bool {
		line := struct {
			Space string `json:"space"`
			Info
			File   string `json:"file"`
			Offset int64  `json:"offset"`
			Head   uint32 `json:"head"`
			Big    bool   `json:"big,omitempty"`
		}{space, e.info(), segmentFile(e.segment), e.offset, e.head, e.flags&record.FlagBodyFile != 0}
		err = enc.Encode(line)
		return err == nil
	})
	if err == nil {
		err = out.Flush()
	}
	return err
}
