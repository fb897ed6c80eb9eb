// Package spool keeps the bodies that a host may have to send again: in memory
// up to a bound that all share, then in unnamed files up to another, then not
// at all.
package spool

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"

	"arrowwalk/internal/store/record"
)

// PageBytes is the unit in which memory is taken.
const PageBytes = 32 << 10

// ErrFull means that neither memory nor files have room.
var ErrFull = errors.New("no room to keep the body: memory and spool are full")

var pages = sync.Pool{New: func() any { return new([PageBytes]byte) }}

// Pool bounds all Buffers together. It is safe for concurrent use.
type Pool struct {
	memoryMost, fileMost int64
	dir                  string
	memory, file         atomic.Int64
	spilled, refused     atomic.Uint64
}

// NewPool bounds bodies by memory bytes, then by file bytes in dir (""; the
// system's directory for temporary files).
func NewPool(memory, file int64, dir string) *Pool {
	return &Pool{memoryMost: memory, fileMost: file, dir: dir}
}

// Usage is what a Pool holds and has done.
type Usage struct {
	Memory, File     int64 // bytes taken now
	Spilled, Refused uint64
}

// Usage returns what the pool holds now.
func (p *Pool) Usage() Usage {
	return Usage{p.memory.Load(), p.file.Load(), p.spilled.Load(), p.refused.Load()}
}

func take(held *atomic.Int64, n, most int64) bool {
	if held.Add(n) > most {
		held.Add(-n)
		return false
	}
	return true
}

// Buffer is one body. Its zero value is not ready: use Pool.Buffer. It is
// written by one goroutine and then read, any number of times.
type Buffer struct {
	pool  *Pool
	pages []*[PageBytes]byte
	size  int64
	file  *os.File // where set, it holds the whole body
	taken int64    // bytes of the file's bound
	sums  []uint32 // of each block of what was written
}

// NewBuffer returns an empty buffer; the caller Releases it.
func (p *Pool) NewBuffer() *Buffer { return &Buffer{pool: p} }

// Len returns the number of bytes written.
func (b *Buffer) Len() int64 { return b.size }

// IsSpilled tells whether the body is in a file.
func (b *Buffer) IsSpilled() bool { return b.file != nil }

// Fill reads r to its end, or for most bytes, and returns how many came. The
// errors of r come back as they are; ErrFull leaves what was written.
func (b *Buffer) Fill(r io.Reader, most int64) (int64, error) {
	var total int64
	for total < most {
		space, err := b.space()
		if errors.Is(err, ErrFull) && atEnd(r) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		n, err := r.Read(space[:min(int64(len(space)), most-total)])
		total += int64(n)
		if e := b.commit(space[:n]); e != nil {
			return total, e
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// atEnd tells whether r has no more; a byte that it has is lost with the body.
func atEnd(r io.Reader) bool {
	var one [1]byte
	n, err := io.ReadFull(r, one[:])
	return n == 0 && errors.Is(err, io.EOF)
}

// Write appends p, or returns ErrFull.
func (b *Buffer) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		space, err := b.space()
		if err != nil {
			return done, err
		}
		n := copy(space, p[done:])
		if err := b.commit(space[:n]); err != nil {
			return done, err
		}
		done += n
	}
	return done, nil
}

// space returns where the next bytes may be put before they are committed.
func (b *Buffer) space() ([]byte, error) {
	if b.file == nil {
		if at := int(b.size % PageBytes); at != 0 {
			return b.pages[len(b.pages)-1][at:], nil
		}
		if int64(len(b.pages))*PageBytes > b.size {
			return b.pages[len(b.pages)-1][:], nil
		}
		if take(&b.pool.memory, PageBytes, b.pool.memoryMost) {
			b.pages = append(b.pages, pages.Get().(*[PageBytes]byte))
			return b.pages[len(b.pages)-1][:], nil
		}
		if err := b.spill(); err != nil {
			return nil, err
		}
	}
	if b.size+PageBytes > b.taken {
		if !take(&b.pool.file, PageBytes, b.pool.fileMost) {
			b.pool.refused.Add(1)
			return nil, ErrFull
		}
		b.taken += PageBytes
	}
	return b.pages[0][:], nil // of a spilled body the first page is its window
}

func (b *Buffer) commit(p []byte) error {
	if b.file != nil {
		if _, err := b.file.WriteAt(p, b.size); err != nil {
			b.pool.refused.Add(1)
			return fmt.Errorf("spool: %w: %w", ErrFull, err)
		}
	}
	b.sum(p)
	b.size += int64(len(p))
	return nil
}

// sum takes what is written into the checksums.
func (b *Buffer) sum(p []byte) {
	for at := b.size; len(p) > 0; {
		n := min(record.BlockSize-at%record.BlockSize, int64(len(p)))
		if at%record.BlockSize == 0 {
			b.sums = append(b.sums, 0)
		}
		last := &b.sums[len(b.sums)-1]
		*last = record.UpdateChecksum(*last, p[:n])
		p = p[n:]
		at += n
	}
}

// Sums returns the CRC-32C of each record.Block bytes, as they were when they
// were written. It is good until the buffer is released.
func (b *Buffer) Sums() []uint32 { return b.sums }

// spill moves the body into a file that has no name, and keeps one page. That
// page is outside the bound where the body had none.
func (b *Buffer) spill() error {
	need := b.size + PageBytes
	if !take(&b.pool.file, need, b.pool.fileMost) {
		b.pool.refused.Add(1)
		return ErrFull
	}
	f, err := os.CreateTemp(b.pool.dir, "arrowwalk-spool")
	if err == nil {
		err = os.Remove(f.Name())
	}
	if err != nil {
		b.pool.file.Add(-need)
		b.pool.refused.Add(1)
		return fmt.Errorf("spool: %w: %w", ErrFull, err)
	}
	b.pool.spilled.Add(1)
	for i, part := range b.slices() {
		if _, err := f.WriteAt(part, int64(i)*PageBytes); err != nil {
			f.Close()
			b.pool.file.Add(-need)
			return fmt.Errorf("spool: %w: %w", ErrFull, err)
		}
	}
	b.file, b.taken = f, need
	if len(b.pages) == 0 {
		b.pool.memory.Add(PageBytes)
		b.pages = append(b.pages, pages.Get().(*[PageBytes]byte))
	}
	b.drop(1)
	return nil
}

// drop gives back all pages but the first keep.
func (b *Buffer) drop(keep int) {
	for _, p := range b.pages[keep:] {
		pages.Put(p)
	}
	b.pool.memory.Add(-int64(len(b.pages)-keep) * PageBytes)
	b.pages = b.pages[:keep]
}

func (b *Buffer) slices() [][]byte {
	parts := make([][]byte, 0, len(b.pages))
	left := b.size
	for _, p := range b.pages {
		if left <= 0 {
			break
		}
		parts = append(parts, p[:min(left, PageBytes)])
		left -= PageBytes
	}
	return parts
}

// Parts returns the body: its pages, or a reader of its file.
func (b *Buffer) Parts() ([][]byte, io.Reader) {
	if b.file != nil {
		return nil, io.NewSectionReader(b.file, 0, b.size)
	}
	return b.slices(), nil
}

// Reader reads the body from its start.
func (b *Buffer) Reader() io.Reader {
	parts, r := b.Parts()
	if r != nil {
		return r
	}
	return &partReader{parts}
}

type partReader struct{ parts [][]byte }

func (r *partReader) Read(p []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.parts[0])
	if r.parts[0] = r.parts[0][n:]; len(r.parts[0]) == 0 {
		r.parts = r.parts[1:]
	}
	return n, nil
}

// Release gives all room back; the buffer is empty and may be used again.
func (b *Buffer) Release() {
	b.drop(0)
	if b.file != nil {
		b.file.Close()
		b.pool.file.Add(-b.taken)
	}
	b.file, b.taken, b.size, b.sums = nil, 0, 0, b.sums[:0]
}
