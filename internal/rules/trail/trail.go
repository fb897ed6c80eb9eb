// Package trail keeps what passed on sockets on disk, a line of JSON each, and
// gives it back in order of a time, so that a run of any length is checked in
// bounded memory. A record is added when it has ended, and its times lie
// before: what is held while reading is only what overlaps.
package trail

import (
	"bufio"
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"math"
	"os"
	"sync"
)

// block is how many records share one least time.
const block = 512

// lineMost is the longest line of a record, bytes.
const lineMost = 1 << 20

// Key is a time of a record.
type Key[T any] func(*T) int64

// Trail is a file of records. Add and the readers may be called from any
// goroutine; a reader sees what was added before it began.
type Trail[T any] struct {
	path string
	keys []Key[T]

	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	n     int
	size  int64
	least [][]int64 // by key, by block
	marks []int64   // offset of each block
	err   error
}

// Create makes the file. The records can be read in order of any of the keys.
func Create[T any](path string, keys ...Key[T]) (*Trail[T], error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("trail: %w", err)
	}
	return &Trail[T]{path: path, keys: keys, f: f, w: bufio.NewWriterSize(f, 64<<10), least: make([][]int64, len(keys))}, nil
}

// Add appends a record. What goes wrong is told by Err and by every reader.
func (t *Trail[T]) Add(x T) {
	text, err := json.Marshal(&x)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err != nil {
		return
	}
	if err == nil && len(text) >= lineMost {
		err = fmt.Errorf("a record of %d bytes", len(text))
	}
	if err != nil {
		t.err = fmt.Errorf("trail %s: %w", t.path, err)
		return
	}
	if t.n%block == 0 {
		t.marks = append(t.marks, t.size)
		for k := range t.keys {
			t.least[k] = append(t.least[k], math.MaxInt64)
		}
	}
	for k, key := range t.keys {
		at := &t.least[k][len(t.least[k])-1]
		*at = min(*at, key(&x))
	}
	t.w.Write(text)
	if err := t.w.WriteByte('\n'); err != nil {
		t.err = fmt.Errorf("trail %s: %w", t.path, err)
		return
	}
	t.n++
	t.size += int64(len(text)) + 1
}

// Len returns how many records there are.
func (t *Trail[T]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// Close closes the file; it stays where it is.
func (t *Trail[T]) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.f == nil {
		return nil
	}
	err := errors.Join(t.err, t.w.Flush(), t.f.Close())
	t.f = nil
	if t.err == nil {
		t.err = fmt.Errorf("trail %s: closed", t.path)
	}
	return err
}

// open readies a reader of the records from number from on; n is how many
// there are in all.
func (t *Trail[T]) open(from int) (f *os.File, in *bufio.Scanner, skip, n int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.f != nil {
		if err := t.w.Flush(); err != nil && t.err == nil {
			t.err = fmt.Errorf("trail %s: %w", t.path, err)
		}
		if t.err != nil {
			return nil, nil, 0, 0, t.err
		}
	}
	if f, err = os.Open(t.path); err != nil {
		return nil, nil, 0, 0, fmt.Errorf("trail: %w", err)
	}
	if b := from / block; b < len(t.marks) {
		_, err = f.Seek(t.marks[b], io.SeekStart)
		skip = from % block
	} else {
		_, err = f.Seek(0, io.SeekEnd)
	}
	in = bufio.NewScanner(f)
	in.Buffer(make([]byte, 64<<10), lineMost)
	return f, in, skip, t.n, err
}

// Each gives the records from number from on in the order in which they were
// added; an error ends it.
func (t *Trail[T]) Each(from int) iter.Seq2[*T, error] {
	return func(yield func(*T, error) bool) {
		f, in, skip, n, err := t.open(from)
		if err != nil {
			yield(nil, err)
			return
		}
		defer f.Close()
		for at := from - skip; at < n && in.Scan(); at++ {
			if at < from {
				continue
			}
			x := new(T)
			if err := json.Unmarshal(in.Bytes(), x); err != nil {
				yield(nil, fmt.Errorf("trail %s: record %d: %w", t.path, at, err))
				return
			}
			if !yield(x, nil) {
				return
			}
		}
		if err := in.Err(); err != nil {
			yield(nil, fmt.Errorf("trail %s: %w", t.path, err))
		}
	}
}

// waiting are records that may not be given yet, the least first.
type waiting[T any] struct {
	key  Key[T]
	list []numbered[T]
}

type numbered[T any] struct {
	x  *T
	at int64
	n  int
}

func (w *waiting[T]) Len() int { return len(w.list) }
func (w *waiting[T]) Less(i, j int) bool {
	a, b := &w.list[i], &w.list[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}
func (w *waiting[T]) Swap(i, j int) { w.list[i], w.list[j] = w.list[j], w.list[i] }
func (w *waiting[T]) Push(x any)    { w.list = append(w.list, x.(numbered[T])) }
func (w *waiting[T]) Pop() any {
	x := w.list[len(w.list)-1]
	w.list[len(w.list)-1] = numbered[T]{}
	w.list = w.list[:len(w.list)-1]
	return x
}

// later returns, for each block, the least time of all blocks behind it.
func (t *Trail[T]) later(key int) []int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]int64, len(t.least[key]))
	least := int64(math.MaxInt64)
	for b := len(out) - 1; b >= 0; b-- {
		out[b] = least
		least = min(least, t.least[key][b])
	}
	return out
}

// Sorted gives all records in order of a key, equal ones as they were added.
// It holds no more than the records that overlap with those being read.
func (t *Trail[T]) Sorted(key int) iter.Seq2[*T, error] {
	return func(yield func(*T, error) bool) {
		later := t.later(key)
		w := &waiting[T]{key: t.keys[key]}
		n := 0
		for x, err := range t.Each(0) {
			if err != nil {
				yield(nil, err)
				return
			}
			heap.Push(w, numbered[T]{x, w.key(x), n})
			n++
			if b := (n - 1) / block; n%block != 0 && b < len(later) {
				continue
			} else if b >= len(later) { // added since the reader began
				break
			} else if !w.give(later[b], yield) {
				return
			}
		}
		w.give(math.MaxInt64, yield)
	}
}

// give yields what comes before a time.
func (w *waiting[T]) give(before int64, yield func(*T, error) bool) bool {
	for len(w.list) > 0 && (w.list[0].at <= before) {
		if !yield(heap.Pop(w).(numbered[T]).x, nil) {
			return false
		}
	}
	return true
}
