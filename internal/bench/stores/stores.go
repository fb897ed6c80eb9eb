// Package stores measures the brick's store beside the directory of files that
// it replaced and beside an embedded key-value library, on one disk.
package stores

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"

	"arrowwalk/internal/store"
	"arrowwalk/internal/store/filestore"
)

// Options of a measurement.
type Options struct {
	Dir                      string
	Writes, Writers, Objects int
}

// Row is a rate of operations, each synced. Rate is in operations a second,
// P50 and P99 in microseconds, Amplification in bytes that the process wrote to
// the disk for each byte of a body (write_bytes of /proc/self/io).
type Row struct {
	Store, Op     string
	Bytes         int
	Rate          float64
	P50, P99      int64
	Amplification float64
}

// Open is what it takes to open a store of many small blobs: in ms, with the
// heap's growth a blob in bytes.
type Open struct {
	Store               string
	Blobs               int
	Clean, Crash, Index float64
}

// Result is all that was measured.
type Result struct {
	Rows  []Row
	Opens []Open
	Scrub *Scrub
}

// kv is what is asked of each of them.
type kv interface {
	put(name string, body []byte) error
	get(name string) error
	close() error
}

type segments struct{ s *store.Store }

func (k segments) put(name string, body []byte) error {
	_, _, err := k.s.Put(context.Background(), "o", store.Info{Name: name, Size: int64(len(body))}, bytes.NewReader(body), nil, store.Condition{})
	return err
}

func (k segments) get(name string) error {
	b, err := k.s.Get("o", name)
	if err != nil {
		return err
	}
	defer b.Close()
	_, err = io.Copy(io.Discard, io.NewSectionReader(b, 0, b.Size))
	return err
}

func (k segments) close() error { return k.s.Close() }

type files struct{ d *filestore.Store }

func (k files) put(name string, body []byte) error {
	_, _, err := k.d.Put(context.Background(), "o", filestore.Info{Name: name, Size: int64(len(body))}, bytes.NewReader(body), filestore.Condition{})
	return err
}

func (k files) get(name string) error {
	b, err := k.d.Get("o", name)
	if err != nil {
		return err
	}
	defer b.Close()
	_, err = io.Copy(io.Discard, io.NewSectionReader(b.File, b.Offset, b.Size))
	return err
}

func (k files) close() error { return k.d.Close() }

type bolt struct{ db *bbolt.DB }

var bucket = []byte("o")

func (k bolt) put(name string, body []byte) error {
	return k.db.Batch(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put([]byte(name), body) })
}

func (k bolt) get(name string) error {
	return k.db.View(func(tx *bbolt.Tx) error {
		if v := tx.Bucket(bucket).Get([]byte(name)); v == nil {
			return store.ErrNotFound
		} else {
			_, err := io.Discard.Write(bytes.Clone(v))
			return err
		}
	})
}

func (k bolt) close() error { return k.db.Close() }

type kind struct {
	name string
	open func(dir string, sync bool) (kv, error)
}

var kinds = []kind{
	{"segments", func(dir string, sync bool) (kv, error) {
		s, err := store.Open(dir, store.Options{NoSync: !sync})
		return segments{s}, err
	}},
	{"files", func(dir string, sync bool) (kv, error) {
		d, err := filestore.Open(dir, filestore.Options{NoSync: !sync})
		return files{d}, err
	}},
	{"bbolt", func(dir string, sync bool) (kv, error) {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
		db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, &bbolt.Options{NoSync: !sync})
		if err != nil {
			return nil, err
		}
		db.MaxBatchDelay = 2 * time.Millisecond
		return bolt{db}, db.Update(func(tx *bbolt.Tx) error {
			_, err := tx.CreateBucketIfNotExists(bucket)
			return err
		})
	}},
}

// Run measures each store in a directory of its own.
func Run(opt Options) (*Result, error) {
	res := &Result{}
	for _, size := range []int{4 << 10, 64 << 10, 1 << 20} {
		n := opt.Writes
		if size > 4<<10 {
			n /= 10
		}
		if size > 64<<10 {
			n /= 5
		}
		for _, k := range kinds {
			if err := res.rates(opt, k, size, max(n, opt.Writers)); err != nil {
				return nil, fmt.Errorf("%s, %d bytes: %w", k.name, size, err)
			}
		}
	}
	for _, k := range kinds {
		for _, n := range []int{opt.Objects / 10, opt.Objects} {
			if err := res.opens(opt, k, n); err != nil {
				return nil, fmt.Errorf("open %s of %d: %w", k.name, n, err)
			}
		}
	}
	var err error
	res.Scrub, err = beside(opt)
	return res, err
}

func (r *Result) rates(opt Options, k kind, size, n int) error {
	dir := filepath.Join(opt.Dir, fmt.Sprint(k.name, size))
	defer os.RemoveAll(dir)
	s, err := k.open(dir, true)
	if err != nil {
		return err
	}
	defer s.close()
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i * 7)
	}
	for _, op := range []string{"put", "get"} {
		before := written()
		do := func(name string) error { return s.put(name, body) }
		if op == "get" {
			do = s.get
		}
		row, err := rate(n, opt.Writers, do)
		if err != nil {
			return err
		}
		row.Store, row.Op, row.Bytes = k.name, op, size
		row.Amplification = float64(written()-before) / float64(n*size)
		r.Rows = append(r.Rows, row)
	}
	return nil
}

func rate(n, workers int, do func(name string) error) (Row, error) {
	var wg sync.WaitGroup
	var next atomic.Int64
	var failed atomic.Pointer[error]
	took := make([]int64, n)
	began := time.Now()
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := next.Add(1) - 1
				if i >= int64(n) {
					return
				}
				at := time.Now()
				if err := do(fmt.Sprintf("bucket/object-%08d", i)); err != nil {
					failed.Store(&err)
					return
				}
				took[i] = time.Since(at).Microseconds()
			}
		}()
	}
	wg.Wait()
	span := time.Since(began)
	if err := failed.Load(); err != nil {
		return Row{}, *err
	}
	slices.Sort(took)
	return Row{Rate: float64(n) / span.Seconds(), P50: took[n/2], P99: took[n*99/100]}, nil
}

// written returns the bytes that this process had the disk write.
func written() (bytes int64) {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	for line := range bytesLines(text) {
		fmt.Sscanf(line, "write_bytes: %d", &bytes)
	}
	return bytes
}

func bytesLines(text []byte) func(func(string) bool) {
	return func(yield func(string) bool) {
		for line := range bytes.Lines(text) {
			if !yield(string(line)) {
				return
			}
		}
	}
}

// opens measures the opening of a store of n blobs of 100 bytes, after a clean
// end and from a copy of its files taken while it was open.
func (r *Result) opens(opt Options, k kind, n int) error {
	dir := filepath.Join(opt.Dir, fmt.Sprint("open", k.name, n))
	crashed := dir + "-crashed"
	defer os.RemoveAll(dir)
	defer os.RemoveAll(crashed)
	s, err := k.open(dir, false)
	if err != nil {
		return err
	}
	body := make([]byte, 100)
	if _, err := rate(n, 64, func(name string) error { return s.put(name, body) }); err != nil {
		return err
	}
	if err := os.CopyFS(crashed, os.DirFS(dir)); err != nil {
		return err
	}
	if err := s.close(); err != nil {
		return err
	}
	o := Open{Store: k.name, Blobs: n}
	if o.Clean, o.Index, err = k.timeOpen(dir, n); err != nil {
		return err
	}
	if o.Crash, _, err = k.timeOpen(crashed, n); err != nil {
		return err
	}
	r.Opens = append(r.Opens, o)
	return nil
}

func (k kind) timeOpen(dir string, n int) (ms, index float64, err error) {
	before := heap()
	began := time.Now()
	s, err := k.open(dir, false)
	if err != nil {
		return 0, 0, err
	}
	ms = float64(time.Since(began).Microseconds()) / 1000
	index = float64(int64(heap())-int64(before)) / float64(n)
	return ms, index, s.close()
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
