// Package store implements the crash-safe blob store of a brick.
//
// Small blobs live in append-only log segments that are synced in groups; large
// bodies live in files of their own. An in-memory index maps names to locations.
// An acknowledged Put or Delete survives a crash; one that was not acknowledged
// takes effect completely or not at all. Every block of a body has a checksum that
// is verified whenever the block is read. docs/store.md discusses the design.
package store

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/record"
)

// Errors that callers test for with errors.Is. ErrNoSpace also matches
// syscall.ENOSPC.
var (
	ErrNotFound         = errors.New("no such blob")
	ErrVersionMismatch  = errors.New("the blob's version is another")
	ErrLocked           = disk.ErrLocked
	ErrFormat           = errors.New("unsupported storage format")
	ErrTooLarge         = errors.New("meta or name too large")
	ErrCorrupt          = errors.New("the stored bytes are not those that were written")
	ErrChecksumMismatch = errors.New("the body does not match its checksums")
	ErrClosed           = errors.New("the store is closed")
	ErrNoSpace          = fmt.Errorf("remaining space is reserved for deletes and compaction: %w", syscall.ENOSPC)
)

// Options configures a store. A zero field selects its default.
type Options struct {
	NoSync          bool          // skip syncs; only for tests that do not depend on durability
	FS              disk.FS       // file system to use instead of the directory
	MaxInlineBytes  int64         // largest body that is stored in a segment; default 64 KiB
	SegmentBytes    int64         // size at which a new segment is started; default 64 MiB
	MaxGroupBytes   int64         // largest group; default 4 MiB
	CheckpointBytes int64         // log bytes written between two checkpoints of the index; default 64 MiB
	ReserveBytes    int64         // free space kept for deletes and compaction; default two segments
	NowMicros       func() int64  // clock for versions, microseconds since 1970; versions increase even if it goes back
	Log             *slog.Logger  // nil discards log messages
	GroupDelay      time.Duration // wait for further operations before each group; 0: only the preceding sync delays it
}

// setDefaults fills in the zero fields; path is the store's directory.
func (o *Options) setDefaults(path string) {
	setDefault := func(value *int64, defaultValue int64) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&o.MaxInlineBytes, 64<<10)
	setDefault(&o.SegmentBytes, 64<<20)
	setDefault(&o.MaxGroupBytes, 4<<20)
	setDefault(&o.CheckpointBytes, 64<<20)
	setDefault(&o.ReserveBytes, 2*o.SegmentBytes)
	if o.FS == nil {
		o.FS = disk.OS{Dir: path, NoSync: o.NoSync}
	}
	if o.NowMicros == nil {
		o.NowMicros = func() int64 { return time.Now().UnixMicro() }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Store is an open blob store. It is safe for concurrent use.
type Store struct {
	opt     Options
	fs      disk.FS
	dirLock io.Closer
	id      uint64

	mu                sync.RWMutex // guards the fields up to recoveryDamage
	index             index
	segments          map[uint32]*segment
	encodedIndexBytes int64             // encoded size of all index entries in a checkpoint
	openSnapshots     int               // number of open snapshots
	deferredRemovals  []uint64          // body files to remove when the last snapshot closes; all are in unreferencedFiles
	quarantine        map[blockKey]bool // blocks that are known to be corrupt
	recoveryDamage    []Damage          // damage found while opening the store

	version   atomic.Uint64 // of the last visible change
	deletions deletions     // owned by the committer

	lastCheckpoint checkpointHeader // guarded by checkpointMu
	emptySegments  map[uint32]bool  // segments without live records as of the last checkpoint

	tail              logTail         // written by the committer; other goroutines read it under mu
	unreferencedFiles map[uint64]bool // body files that no index entry refers to, or not yet; guarded by mu
	unsyncedRemovals  map[uint64]bool // unreferenced files that were removed but whose directory is not synced
	queue             queue
	committerDone     chan struct{}
	lastBodyFile      uint64 // highest number assigned to a body file; guarded by mu

	checkpointMu                       sync.Mutex // serializes checkpoints
	counters                           Counters
	commitStartMicros, avgCommitMicros atomic.Int64 // start of the commit in progress and average commit duration, in microseconds
}

// Counters counts a store's operations since it was opened.
type Counters struct {
	Groups, Records, LogBytes, Syncs, FailedCommits                        atomic.Int64 // commits
	CorruptBlocks, CompactedSegments, MovedRecords, Checkpoints, BodyFiles atomic.Int64
}

// Damage describes stored data that is missing, differs from what was written, or
// is not referred to.
type Damage struct {
	File        string `json:"file"`
	Offset      int64  `json:"offset"`
	Length      int64  `json:"length"`
	Space       string `json:"space,omitempty"`
	Name        string `json:"name,omitempty"`
	Description string `json:"what"`
}

// String formats the damage as one line, as `store check` prints it.
func (d Damage) String() string {
	s := fmt.Sprintf("%s at %d, %d bytes: %s", d.File, d.Offset, d.Length, d.Description)
	if d.Space != "" {
		s += fmt.Sprintf(" (blob %s/%q)", d.Space, d.Name)
	}
	return s
}

// blockKey identifies a block of a blob version; block -1 is the whole blob.
type blockKey struct {
	space, name string
	version     uint64
	block       int
}

// Open opens the store in path, creating it if necessary, and rebuilds its index
// from the last checkpoint and the log written after it. The caller must close
// the Store.
func Open(path string, opt Options) (*Store, error) {
	opt.setDefaults(path)
	s := &Store{opt: opt, fs: opt.FS, index: index{}, segments: map[uint32]*segment{}, quarantine: map[blockKey]bool{}, emptySegments: map[uint32]bool{}, unreferencedFiles: map[uint64]bool{}, unsyncedRemovals: map[uint64]bool{}, committerDone: make(chan struct{})}
	s.queue.init()
	if err := s.open(); err != nil {
		return nil, fmt.Errorf("open store %s: %w", path, err)
	}
	go s.runCommitter()
	return s, nil
}

// open locks the directory and recovers the index.
func (s *Store) open() error {
	if err := s.fs.MkdirAll("."); err != nil {
		return err
	}
	lock, err := s.fs.Lock()
	if err != nil {
		return err
	}
	s.dirLock = lock
	if err = s.recover(); err != nil {
		s.closeSegments()
		lock.Close()
	}
	return err
}

// Close completes the queued operations, writes a checkpoint and releases the
// directory for other processes.
func (s *Store) Close() error {
	if !s.queue.close() {
		return ErrClosed
	}
	<-s.committerDone
	err := s.Checkpoint()
	s.closeSegments()
	if closeErr := s.dirLock.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (s *Store) closeSegments() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seg := range s.segments {
		seg.release()
	}
	s.segments = nil
}

// Counters returns the store's live counters.
func (s *Store) Counters() *Counters { return &s.counters }

// RecoveryDamage returns the damage that was found while opening the store.
func (s *Store) RecoveryDamage() []Damage { return s.recoveryDamage }

// Stat returns the metadata of a blob, or ErrNotFound.
func (s *Store) Stat(space, name string) (Info, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.index.get(space, name)
	if !ok {
		return Info{}, ErrNotFound
	}
	return e.info(), nil
}

// List returns a page of a space's items and reports whether more follow.
func (s *Store) List(space string, q Query) (items []Item, more bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.list(space, q)
}

// SpaceUsage returns the number of blobs in a space and the total size of their
// bodies.
func (s *Store) SpaceUsage(space string) (blobs int, size int64) {
	s.mu.Lock() // not RLock: Copy marks the tree's nodes as shared
	tree := s.index[space]
	if tree == nil {
		s.mu.Unlock()
		return 0, 0
	}
	tree = tree.Copy()
	s.mu.Unlock()
	tree.Scan(func(e entry) bool {
		size += e.size
		return true
	})
	return tree.Len(), size
}

// Condition is a precondition of a write or delete. The zero value always holds.
type Condition struct {
	Version uint64 // required version of the blob; 0: any
	Absent  bool   // the blob must not exist
	Since   uint64 // the blob must not have been changed after this version of the store; 0: any
}

// check returns ErrVersionMismatch or ErrChangedSince if the condition does not hold for
// the current entry. The committer checks deletions, too.
func (c Condition) check(current entry, exists bool) error {
	if c.Since != 0 && exists && current.version > c.Since {
		return ErrChangedSince
	}
	if c.Absent && exists || c.Version != 0 && (!exists || current.version != c.Version) {
		return ErrVersionMismatch
	}
	return nil
}

// Put stores a blob whose info.Size bytes are read from body, replacing any blob
// of the same name, and returns once it is durable. It returns the stored info
// and, if a blob was replaced, that blob's info. If sums is not nil, it holds the
// checksums computed by the writer; a body that does not match them is rejected
// with ErrChecksumMismatch.
func (s *Store) Put(ctx context.Context, space string, info Info, body io.Reader, sums []uint32, cond Condition) (Info, *Info, error) {
	return s.PutWith(ctx, space, info, body, sums, cond, Effects{})
}

// PutWith is Put with effects on other blobs.
func (s *Store) PutWith(ctx context.Context, space string, info Info, body io.Reader, sums []uint32, cond Condition, effects Effects) (Info, *Info, error) {
	if len(info.Name)+len(info.Meta) > record.MaxNameAndMetaBytes || len(space) > 255 || info.Size < 0 || info.Size > record.MaxChecksums*record.BlockSize {
		return Info{}, nil, ErrTooLarge
	}
	if err := s.checkEarly(space, info, cond); err != nil {
		return Info{}, nil, err
	}
	op := &operation{space: space, cond: cond, effects: effects, rec: record.Record{Kind: record.KindPut, Space: space, Name: info.Name, Meta: info.Meta, Size: info.Size}}
	if info.Whole {
		op.rec.Flags |= record.FlagWhole
	}
	if err := s.submitWithBody(ctx, op, body, sums); err != nil {
		return Info{}, nil, err
	}
	e := newEntry(&op.rec, location{})
	stored := e.info()
	if op.replaces {
		previous := op.previous.info()
		return stored, &previous, nil
	}
	return stored, nil, nil
}

// submitWithBody reads the operation's body, verifies it against sums unless sums
// is nil, and waits until the committer has written the record.
func (s *Store) submitWithBody(ctx context.Context, op *operation, body io.Reader, sums []uint32) error {
	err := s.receiveBody(op, body)
	if err == nil && sums != nil && !slices.Equal(sums, op.rec.Checksums) {
		err = ErrChecksumMismatch
	}
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = s.submit(op)
	}
	if err != nil && op.rec.BodyFile != 0 && !op.maybeLogged { // a record that may be on disk is resolved by recovery
		s.removeBodyFile(op.rec.BodyFile)
	}
	return err
}

// checkEarly rejects a write before its body is read if its condition does not
// hold or if free space is short. The committer checks the condition again.
func (s *Store) checkEarly(space string, info Info, cond Condition) error {
	s.mu.RLock()
	current, exists := s.index.get(space, info.Name)
	s.mu.RUnlock()
	if err := cond.check(current, exists); err != nil {
		return err
	}
	free, err := s.fs.Free()
	if err != nil {
		return err
	}
	if free < s.reservedBytes()+info.Size {
		return ErrNoSpace
	}
	return nil
}

// reservedBytes returns the free space that writes must leave: for deletes, for
// records that compaction copies before it can free their segment, and for the
// next checkpoint.
func (s *Store) reservedBytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.opt.ReserveBytes + 2*s.encodedIndexBytes
}

// receiveBody reads the body into memory or, if it is larger than MaxInlineBytes,
// into a new synced file, and computes its checksums.
func (s *Store) receiveBody(op *operation, body io.Reader) error {
	if op.rec.Size <= s.opt.MaxInlineBytes {
		op.body = make([]byte, op.rec.Size)
		if _, err := io.ReadFull(body, op.body); err != nil {
			return unexpectedEOF(err)
		}
		op.rec.Checksums = record.AppendChecksums(nil, op.body)
		return nil
	}
	s.counters.BodyFiles.Add(1)
	op.rec.Flags |= record.FlagBodyFile
	s.mu.Lock()
	s.lastBodyFile++
	op.rec.BodyFile = s.lastBodyFile
	s.unreferencedFiles[s.lastBodyFile] = true
	s.mu.Unlock()
	if err := s.fs.MkdirAll(bodyDir(op.rec.BodyFile)); err != nil {
		return err
	}
	f, err := s.fs.Create(bodyFile(op.rec.BodyFile))
	if err != nil {
		return err
	}
	defer f.Close()
	buf := blockPool.Get().(*[record.BlockSize]byte)
	defer blockPool.Put(buf)
	for offset := int64(0); offset < op.rec.Size; {
		block := buf[:min(record.BlockSize, op.rec.Size-offset)]
		if _, err := io.ReadFull(body, block); err != nil {
			return unexpectedEOF(err)
		}
		op.rec.Checksums = append(op.rec.Checksums, record.Checksum(block))
		if _, err := f.WriteAt(block, offset); err != nil {
			return err
		}
		offset += int64(len(block))
	}
	return f.Sync()
}

var blockPool = sync.Pool{New: func() any { return new([record.BlockSize]byte) }}

// unexpectedEOF replaces io.EOF, which means that the body is too short.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodiesPerDir is the number of body files in one directory.
const bodiesPerDir = 4096

func bodyDir(file uint64) string  { return fmt.Sprintf("bodies/%08x", file/bodiesPerDir) }
func bodyFile(file uint64) string { return fmt.Sprintf("%s/%016x", bodyDir(file), file) }

// Delete removes a blob and returns its info once the removal is durable.
func (s *Store) Delete(space, name string, cond Condition) (Info, error) {
	return s.DeleteWith(space, name, cond, Effects{})
}

// DeleteWith is Delete with effects on other blobs.
func (s *Store) DeleteWith(space, name string, cond Condition, effects Effects) (Info, error) {
	s.mu.RLock()
	current, exists := s.index.get(space, name)
	s.mu.RUnlock()
	if err := cond.check(current, exists); err != nil {
		return Info{}, err
	}
	if !exists && cond.Since == 0 {
		return Info{}, ErrNotFound
	}
	op := &operation{space: space, cond: cond, effects: effects, rec: record.Record{Kind: record.KindDelete, Space: space, Name: name}}
	if err := s.submit(op); err != nil {
		return Info{}, err
	}
	return op.previous.info(), nil
}

// segment is an open log file. It is reference-counted: the store's segment table
// and every reader hold a reference, and the last release closes the file.
type segment struct {
	number     uint32
	file       disk.File
	size       int64 // header and acknowledged groups; guarded by Store.mu
	liveBytes  int64 // bytes of records that the index refers to; guarded by Store.mu
	firstGroup int64 // number of its first group, from which its age is derived
	refs       atomic.Int64
}

// newSegment returns a segment with one reference, for the store's table.
func newSegment(number uint32, f disk.File) *segment {
	seg := &segment{number: number, file: f}
	seg.refs.Store(1)
	return seg
}

// retain adds a reference, which the caller must release.
func (seg *segment) retain() *segment {
	seg.refs.Add(1)
	return seg
}

func (seg *segment) release() {
	if seg.refs.Add(-1) == 0 {
		seg.file.Close()
	}
}

func segmentFile(number uint32) string { return fmt.Sprintf("log/%08x", number) }

func sortedKeys[K ~string | ~uint32 | ~uint64, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// newStoreID returns a random identity; 0 is not a valid one.
func newStoreID() uint64 { return rand.Uint64() | 1 }
