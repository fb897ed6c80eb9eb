// Package spool buffers request and response bodies that may have to be sent
// again. All buffers share a bound on memory. Beyond it bodies go to unnamed
// temporary files, which have a bound of their own; beyond that, buffering fails
// with ErrFull.
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

// PageBytes is the size of a page, the unit in which a buffer acquires memory
// and file space.
const PageBytes = 32 << 10

// ErrFull means that both the memory and the file bound are exhausted.
var ErrFull = errors.New("body cannot be buffered: memory and spool files are full")

var pagePool = sync.Pool{New: func() any { return new([PageBytes]byte) }}

// Pool bounds the memory and file space of all its buffers together. It is safe
// for concurrent use.
type Pool struct {
	maxMemory, maxFile int64
	dir                string
	memory, file       atomic.Int64
	spilled, refused   atomic.Uint64
}

// NewPool returns a pool whose buffers use up to memory bytes of memory and then
// up to file bytes of temporary files in dir. An empty dir means the system's
// directory for temporary files.
func NewPool(memory, file int64, dir string) *Pool {
	return &Pool{maxMemory: memory, maxFile: file, dir: dir}
}

// Usage is the usage of a Pool.
type Usage struct {
	Memory, File     int64  // bytes in use
	Spilled, Refused uint64 // bodies moved to a file, and requests for file space that failed
}

// Usage returns the pool's current usage.
func (p *Pool) Usage() Usage {
	return Usage{p.memory.Load(), p.file.Load(), p.spilled.Load(), p.refused.Load()}
}

// acquire adds n to inUse unless that exceeds limit.
func acquire(inUse *atomic.Int64, n, limit int64) bool {
	if inUse.Add(n) > limit {
		inUse.Add(-n)
		return false
	}
	return true
}

// Buffer holds one body. Use Pool.NewBuffer to create one. It is written by one
// goroutine and then read any number of times. Release frees its space.
type Buffer struct {
	pool      *Pool
	pages     []*[PageBytes]byte
	size      int64
	file      *os.File // holds the whole body if it is not nil
	fileBytes int64    // acquired from the pool's file bound
	sums      []uint32 // checksum of each block that was written
}

// NewBuffer returns an empty buffer. The caller must Release it.
func (p *Pool) NewBuffer() *Buffer { return &Buffer{pool: p} }

// Len returns the number of bytes written.
func (b *Buffer) Len() int64 { return b.size }

// IsSpilled reports whether the body is in a file.
func (b *Buffer) IsSpilled() bool { return b.file != nil }

// Fill appends bytes from r until its end or until maxBytes were read, and
// returns the number of bytes read. Errors of r are returned unchanged. If the
// error is ErrFull, the buffer keeps what was written.
func (b *Buffer) Fill(r io.Reader, maxBytes int64) (int64, error) {
	var total int64
	for total < maxBytes {
		space, err := b.writeSpace()
		if errors.Is(err, ErrFull) && atEOF(r) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		n, err := r.Read(space[:min(int64(len(space)), maxBytes-total)])
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

// atEOF reports whether r is at its end. It may consume a byte, which does not
// matter because the body is discarded then.
func atEOF(r io.Reader) bool {
	var b [1]byte
	n, err := io.ReadFull(r, b[:])
	return n == 0 && errors.Is(err, io.EOF)
}

// Write appends p. It returns ErrFull if the pool is exhausted.
func (b *Buffer) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		space, err := b.writeSpace()
		if err != nil {
			return written, err
		}
		n := copy(space, p[written:])
		if err := b.commit(space[:n]); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// writeSpace returns memory for the next bytes. They become part of the body
// once they are committed.
func (b *Buffer) writeSpace() ([]byte, error) {
	if b.file == nil {
		if at := int(b.size % PageBytes); at != 0 {
			return b.pages[len(b.pages)-1][at:], nil
		}
		if int64(len(b.pages))*PageBytes > b.size {
			return b.pages[len(b.pages)-1][:], nil
		}
		if acquire(&b.pool.memory, PageBytes, b.pool.maxMemory) {
			b.pages = append(b.pages, pagePool.Get().(*[PageBytes]byte))
			return b.pages[len(b.pages)-1][:], nil
		}
		if err := b.spill(); err != nil {
			return nil, err
		}
	}
	if b.size+PageBytes > b.fileBytes {
		if !acquire(&b.pool.file, PageBytes, b.pool.maxFile) {
			b.pool.refused.Add(1)
			return nil, ErrFull
		}
		b.fileBytes += PageBytes
	}
	return b.pages[0][:], nil // a spilled body keeps its first page as a write buffer
}

// commit appends p, which is the start of the latest writeSpace, to the body.
func (b *Buffer) commit(p []byte) error {
	if b.file != nil {
		if _, err := b.file.WriteAt(p, b.size); err != nil {
			b.pool.refused.Add(1)
			return fmt.Errorf("spool: %w: %w", ErrFull, err)
		}
	}
	b.addToSums(p)
	b.size += int64(len(p))
	return nil
}

// addToSums updates the checksums for p, which is about to be appended.
func (b *Buffer) addToSums(p []byte) {
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

// Sums returns the CRC-32C of each block of record.BlockSize bytes, computed when
// the bytes were written. The slice is valid until the buffer is released.
func (b *Buffer) Sums() []uint32 { return b.sums }

// spill moves the body into an unnamed file and keeps one page as a write
// buffer. If the body had no page yet, that page exceeds the memory bound.
func (b *Buffer) spill() error {
	need := b.size + PageBytes
	if !acquire(&b.pool.file, need, b.pool.maxFile) {
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
	for i, part := range b.memoryParts() {
		if _, err := f.WriteAt(part, int64(i)*PageBytes); err != nil {
			f.Close()
			b.pool.file.Add(-need)
			return fmt.Errorf("spool: %w: %w", ErrFull, err)
		}
	}
	b.file, b.fileBytes = f, need
	if len(b.pages) == 0 {
		b.pool.memory.Add(PageBytes)
		b.pages = append(b.pages, pagePool.Get().(*[PageBytes]byte))
	}
	b.freePages(1)
	return nil
}

// freePages releases all pages but the first keep.
func (b *Buffer) freePages(keep int) {
	for _, p := range b.pages[keep:] {
		pagePool.Put(p)
	}
	b.pool.memory.Add(-int64(len(b.pages)-keep) * PageBytes)
	b.pages = b.pages[:keep]
}

// memoryParts returns the body that is held in pages.
func (b *Buffer) memoryParts() [][]byte {
	parts := make([][]byte, 0, len(b.pages))
	remaining := b.size
	for _, p := range b.pages {
		if remaining <= 0 {
			break
		}
		parts = append(parts, p[:min(remaining, PageBytes)])
		remaining -= PageBytes
	}
	return parts
}

// Parts returns the body: slices in memory, or nil and a reader of its file.
func (b *Buffer) Parts() ([][]byte, io.Reader) {
	if b.file != nil {
		return nil, io.NewSectionReader(b.file, 0, b.size)
	}
	return b.memoryParts(), nil
}

// Reader returns a reader that reads the body from its start.
func (b *Buffer) Reader() io.Reader {
	parts, r := b.Parts()
	if r != nil {
		return r
	}
	return &partReader{parts}
}

// partReader reads slices one after the other.
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

// Release frees the buffer's memory and file. The buffer is empty afterwards and
// may be used again.
func (b *Buffer) Release() {
	b.freePages(0)
	if b.file != nil {
		b.file.Close()
		b.pool.file.Add(-b.fileBytes)
	}
	b.file, b.fileBytes, b.size, b.sums = nil, 0, 0, b.sums[:0]
}
