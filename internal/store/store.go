// Package store keeps a brick's blobs: small ones in segments that are only
// appended to and synced in groups, large ones in files of their own; an index
// in memory says where they are. What Put and Delete acknowledged is there after
// a crash, what they did not is whole or absent. Each block of a body has a
// checksum that is looked at whenever the block is read. docs/store.md weighs
// the choices.
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

// What callers branch on. ErrNoSpace is also syscall.ENOSPC.
var (
	ErrNotFound         = errors.New("no such blob")
	ErrVersionMismatch  = errors.New("the blob's version is another")
	ErrLocked           = disk.ErrLocked
	ErrFormat           = errors.New("the directory is of another format")
	ErrTooLarge         = errors.New("meta or name too large")
	ErrCorrupt          = errors.New("the stored bytes are not those that were written")
	ErrChecksumMismatch = errors.New("the body is not that which its checksums are of")
	ErrClosed           = errors.New("the store is closed")
	ErrNoSpace          = fmt.Errorf("what is left is kept for deletes: %w", syscall.ENOSPC)
)

// Options of a store. The zero value is the default of each.
type Options struct {
	NoSync          bool          // for tests of other things: do not wait for the disk
	FS              disk.FS       // in place of the directory
	MaxInlineBytes  int64         // bytes of the largest body in a segment; 64 KiB
	SegmentBytes    int64         // at which a segment is ended; 64 MiB
	MaxGroupBytes   int64         // of one group; 4 MiB
	CheckpointBytes int64         // of segments between two checkpoints of the index; 64 MiB
	ReserveBytes    int64         // bytes that are left for deletes and compaction; two segments
	NowMicros       func() int64  // microseconds since 1970, for versions; they grow whatever it says
	Log             *slog.Logger  // nil: none
	GroupDelay      time.Duration // for which a group waits for others; 0: for the sync before it alone
}

func (o *Options) defaults(path string) {
	or := func(v *int64, d int64) {
		if *v == 0 {
			*v = d
		}
	}
	or(&o.MaxInlineBytes, 64<<10)
	or(&o.SegmentBytes, 64<<20)
	or(&o.MaxGroupBytes, 4<<20)
	or(&o.CheckpointBytes, 64<<20)
	or(&o.ReserveBytes, 2*o.SegmentBytes)
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

// Store is an open store. It is safe for concurrent use.
type Store struct {
	opt  Options
	fs   disk.FS
	lock io.Closer
	id   uint64

	mu        sync.RWMutex // guards what follows
	index     index
	segments  map[uint32]*segment
	checkSize int64             // bytes that the entries take in a checkpoint
	pins      int               // snapshots that are open
	doomed    []uint64          // files of bodies to be removed when the last one closes; all are flying
	bad       map[badBlock]bool // quarantine
	found     []Damage          // by recovery

	last mark            // of the last checkpoint; guarded by checking
	dead map[uint32]bool // segments that the last checkpoint refers to nothing in

	log     log             // the committer's; others read it under mu
	flying  map[uint64]bool // bodies' files that no entry refers to (yet); guarded by mu
	removed map[uint64]bool // those of them that were removed, perhaps not for good
	queue   queue
	done    chan struct{}
	files   uint64 // the greatest number given to a body's file; guarded by mu

	checking     sync.Mutex // one checkpoint, compaction at a time
	counts       Counters
	began, usual atomic.Int64 // of the commit under way, and what one takes; microseconds
}

// Counters are what a store did since it was opened.
type Counters struct {
	Groups, Records, LogBytes, Syncs, FailedCommits                        atomic.Int64 // commits
	CorruptBlocks, CompactedSegments, MovedRecords, Checkpoints, BodyFiles atomic.Int64
}

// Damage is something that is not as it was written.
type Damage struct {
	File        string `json:"file"`
	Offset      int64  `json:"offset"`
	Length      int64  `json:"length"`
	Space       string `json:"space,omitempty"`
	Name        string `json:"name,omitempty"`
	Description string `json:"what"`
}

func (d Damage) String() string {
	s := fmt.Sprintf("%s at %d, %d bytes: %s", d.File, d.Offset, d.Length, d.Description)
	if d.Space != "" {
		s += fmt.Sprintf(" (blob %s/%q)", d.Space, d.Name)
	}
	return s
}

type badBlock struct {
	space, name string
	version     uint64
	block       int
}

// Open opens or makes the store in path and reads its index: the last
// checkpoint and what was written after it. The caller closes the Store.
func Open(path string, opt Options) (*Store, error) {
	opt.defaults(path)
	s := &Store{opt: opt, fs: opt.FS, index: index{}, segments: map[uint32]*segment{}, bad: map[badBlock]bool{}, dead: map[uint32]bool{}, flying: map[uint64]bool{}, removed: map[uint64]bool{}, done: make(chan struct{})}
	s.queue.init()
	if err := s.open(); err != nil {
		return nil, fmt.Errorf("open store %s: %w", path, err)
	}
	go s.commits()
	return s, nil
}

func (s *Store) open() error {
	if err := s.fs.MkdirAll("."); err != nil {
		return err
	}
	lock, err := s.fs.Lock()
	if err != nil {
		return err
	}
	s.lock = lock
	if err = s.recover(); err != nil {
		s.closeSegments()
		lock.Close()
	}
	return err
}

// Close ends what is under way, writes a checkpoint and gives the directory
// free for another process.
func (s *Store) Close() error {
	if !s.queue.close() {
		return ErrClosed
	}
	<-s.done
	err := s.Checkpoint()
	s.closeSegments()
	if e := s.lock.Close(); err == nil {
		err = e
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

// Counters returns the store's counters.
func (s *Store) Counters() *Counters { return &s.counts }

// RecoveryDamage returns what opening the store found damaged.
func (s *Store) RecoveryDamage() []Damage { return s.found }

// Stat returns what is known of a blob, or ErrNotFound.
func (s *Store) Stat(space, name string) (Info, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.index.get(space, name)
	if !ok {
		return Info{}, ErrNotFound
	}
	return e.info(), nil
}

// List returns a page of a space's items and whether there are more.
func (s *Store) List(space string, q Query) (items []Item, more bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.list(space, q)
}

// SpaceUsage returns the number of blobs of a space and their bytes.
func (s *Store) SpaceUsage(space string) (blobs int, size int64) {
	s.mu.Lock() // a copy marks the nodes
	t := s.index[space]
	if t == nil {
		s.mu.Unlock()
		return 0, 0
	}
	t = t.Copy()
	s.mu.Unlock()
	t.Scan(func(e entry) bool {
		size += e.size
		return true
	})
	return t.Len(), size
}

// Condition is what must hold for a write or delete to happen.
type Condition struct {
	Version uint64 // the blob must have this version; 0: any
	Absent  bool   // the blob must not exist
}

func (c Condition) check(e entry, there bool) error {
	if c.Absent && there || c.Version != 0 && (!there || e.version != c.Version) {
		return ErrVersionMismatch
	}
	return nil
}

// Put writes a blob of size bytes from body, in place of one of its name, and
// returns when it is durable. It returns what was stored and, if there was
// one, what it replaced. sums, unless nil, are the body's checksums as its
// writer made them; a body that is not theirs is refused (ErrSums).
func (s *Store) Put(ctx context.Context, space string, info Info, body io.Reader, sums []uint32, c Condition) (Info, *Info, error) {
	if len(info.Name)+len(info.Meta) > record.MaxNameAndMetaBytes || len(space) > 255 || info.Size < 0 || info.Size > record.MaxChecksums*record.BlockSize {
		return Info{}, nil, ErrTooLarge
	}
	if err := s.admit(space, info, c); err != nil {
		return Info{}, nil, err
	}
	o := &op{space: space, cond: c, rec: record.Record{Kind: record.KindPut, Space: space, Name: info.Name, Meta: info.Meta, Size: info.Size}}
	if info.Whole {
		o.rec.Flags |= record.FlagWhole
	}
	if err := s.place(ctx, o, body, sums); err != nil {
		return Info{}, nil, err
	}
	e := entryOf(&o.rec, place{})
	stored := e.info()
	if o.there {
		was := o.was.info()
		return stored, &was, nil
	}
	return stored, nil, nil
}

// place takes an operation's body and has the committer write its record.
func (s *Store) place(ctx context.Context, o *op, body io.Reader, sums []uint32) error {
	err := s.takeBody(o, body)
	if err == nil && sums != nil && !slices.Equal(sums, o.rec.Checksums) {
		err = ErrChecksumMismatch
	}
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = s.submit(o)
	}
	if err != nil && o.rec.BodyFile != 0 && !o.logged { // else the next start decides
		s.dropBody(o.rec.BodyFile)
	}
	return err
}

// admit refuses early what would be refused late.
func (s *Store) admit(space string, info Info, c Condition) error {
	s.mu.RLock()
	e, there := s.index.get(space, info.Name)
	s.mu.RUnlock()
	if err := c.check(e, there); err != nil {
		return err
	}
	free, err := s.fs.Free()
	if err != nil {
		return err
	}
	if free < s.reserve()+info.Size {
		return ErrNoSpace
	}
	return nil
}

// reserve returns the bytes that writes leave free: for deletes, for what
// compaction moves before it frees, and for the next checkpoint.
func (s *Store) reserve() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.opt.ReserveBytes + 2*s.checkSize
}

// takeBody reads the body into memory or, where it is large, its own file.
func (s *Store) takeBody(o *op, body io.Reader) error {
	if o.rec.Size <= s.opt.MaxInlineBytes {
		o.body = make([]byte, o.rec.Size)
		if _, err := io.ReadFull(body, o.body); err != nil {
			return cutShort(err)
		}
		o.rec.Checksums = record.AppendChecksums(nil, o.body)
		return nil
	}
	s.counts.BodyFiles.Add(1)
	o.rec.Flags |= record.FlagBodyFile
	s.mu.Lock()
	s.files++
	o.rec.BodyFile = s.files
	s.flying[s.files] = true
	s.mu.Unlock()
	if err := s.fs.MkdirAll(bodyDir(o.rec.BodyFile)); err != nil {
		return err
	}
	f, err := s.fs.Create(bodyFile(o.rec.BodyFile))
	if err != nil {
		return err
	}
	defer f.Close()
	buf := blocks.Get().(*[record.BlockSize]byte)
	defer blocks.Put(buf)
	for at := int64(0); at < o.rec.Size; {
		part := buf[:min(record.BlockSize, o.rec.Size-at)]
		if _, err := io.ReadFull(body, part); err != nil {
			return cutShort(err)
		}
		o.rec.Checksums = append(o.rec.Checksums, record.Checksum(part))
		if _, err := f.WriteAt(part, at); err != nil {
			return err
		}
		at += int64(len(part))
	}
	return f.Sync()
}

var blocks = sync.Pool{New: func() any { return new([record.BlockSize]byte) }}

func cutShort(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodiesMost is how many bodies' files a directory has.
const bodiesMost = 4096

func bodyDir(file uint64) string  { return fmt.Sprintf("bodies/%08x", file/bodiesMost) }
func bodyFile(file uint64) string { return fmt.Sprintf("%s/%016x", bodyDir(file), file) }

// Delete removes a blob and returns what it was, when that is durable.
func (s *Store) Delete(space, name string, c Condition) (Info, error) {
	s.mu.RLock()
	e, there := s.index.get(space, name)
	s.mu.RUnlock()
	if err := c.check(e, there); err != nil {
		return Info{}, err
	}
	if !there {
		return Info{}, ErrNotFound
	}
	o := &op{space: space, cond: c, rec: record.Record{Kind: record.KindDelete, Space: space, Name: name}}
	if err := s.submit(o); err != nil {
		return Info{}, err
	}
	return o.was.info(), nil
}

// segment is one of the log's files, open while it is in the index or a
// reader holds it.
type segment struct {
	number uint32
	file   disk.File
	size   int64 // of what was acknowledged, with its header; guarded by Store.mu
	live   int64 // bytes that entries hold; guarded by Store.mu
	born   int64 // the number of its first group, for its age
	refs   atomic.Int64
}

func newSegment(number uint32, f disk.File) *segment {
	seg := &segment{number: number, file: f}
	seg.refs.Store(1)
	return seg
}

func (g *segment) hold() *segment {
	g.refs.Add(1)
	return g
}

func (g *segment) release() {
	if g.refs.Add(-1) == 0 {
		g.file.Close()
	}
}

func segmentFile(number uint32) string { return fmt.Sprintf("log/%08x", number) }

func sortedKeys[K ~string | ~uint32 | ~uint64, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func newID() uint64 { return rand.Uint64() | 1 }
