package store

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"arrowwalk/internal/store/admission"
	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/record"
)

// op is a write or delete on its way into the log.
type op struct {
	space string
	cond  Condition
	rec   record.Record
	body  []byte
	keep  bool   // the record has its version already
	from  *place // of a record that is moved as it is; nil: a new one

	at     place
	was    entry // what it replaces
	there  bool
	old    uint64 // the file of the body that it replaces
	logged bool   // it may be on the disk, whatever err says
	err    error
	done   chan struct{}
}

func (o *op) span() int64 { return int64(o.rec.HeaderSize()) + int64(len(o.body)) }

// queue holds operations until the committer takes them: all that came while
// the group before was synced make the next group.
type queue struct {
	mu     sync.Mutex
	more   *sync.Cond
	ops    []*op
	closed bool
}

func (q *queue) init() { q.more = sync.NewCond(&q.mu) }

func (q *queue) put(o *op) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	q.ops = append(q.ops, o)
	q.more.Signal()
	return nil
}

// close lets what is queued be done; false: it was closed before.
func (q *queue) close() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	was := q.closed
	q.closed = true
	q.more.Broadcast()
	return !was
}

// take waits for operations and returns those of one group, none at the end.
func (q *queue) take(most int64, linger time.Duration) []*op {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.ops) == 0 && !q.closed {
		q.more.Wait()
	}
	if linger > 0 && !q.closed {
		q.mu.Unlock()
		time.Sleep(linger)
		q.mu.Lock()
	}
	n, size := 0, int64(0)
	for n < len(q.ops) && (n == 0 || size+q.ops[n].span() <= most) {
		size += q.ops[n].span()
		n++
	}
	ops := q.ops[:n:n]
	q.ops = q.ops[n:]
	return ops
}

func (s *Store) submit(o *op) error {
	o.done = make(chan struct{})
	if err := s.queue.put(o); err != nil {
		return err
	}
	<-o.done
	return o.err
}

// log is where the committer writes next.
type log struct {
	segment *segment
	end     int64  // of what was acknowledged in it
	group   uint64 // the last group's number
	version uint64 // the last one given; the committer's alone
	shown   uint64 // the last one that readers may have seen
	broken  bool   // nothing more is written to the segment: what it holds after end is not known
	least   uint32 // no segment up to this number is begun
	buf     []byte
	since   int64 // bytes written since the last checkpoint
}

// commitPart is the weight of a commit in what one usually takes.
const commitPart = 0.05

// CommitStats returns for how long the commit under way has run, and what one takes
// of late.
func (s *Store) CommitStats() admission.CommitStats {
	c := admission.CommitStats{AverageDuration: time.Duration(s.usual.Load()) * time.Microsecond}
	if began := s.began.Load(); began != 0 {
		c.CurrentDuration = max(0, time.Duration(time.Now().UnixMicro()-began)*time.Microsecond)
	}
	return c
}

func (s *Store) commits() {
	defer close(s.done)
	var chores sync.WaitGroup
	defer chores.Wait()
	for {
		ops := s.queue.take(s.opt.MaxGroupBytes, s.opt.GroupDelay)
		if len(ops) == 0 {
			return
		}
		began := time.Now()
		s.began.Store(began.UnixMicro())
		s.commit(ops)
		s.began.Store(0)
		s.usual.Add(int64(commitPart * float64(time.Since(began).Microseconds()-s.usual.Load())))
		for _, o := range ops {
			close(o.done)
		}
		if s.log.since >= s.opt.CheckpointBytes {
			s.log.since = 0
			chores.Add(1)
			go func() {
				defer chores.Done()
				if err := s.Checkpoint(); err != nil {
					s.opt.Log.Error("checkpoint of the store failed", "error", err)
				}
			}()
		}
	}
}

// commit makes one group of what may be done.
func (s *Store) commit(ops []*op) {
	total := int64(0)
	for _, o := range ops {
		total += o.span()
	}
	if err := s.ready(record.GroupSize(total)); err != nil {
		failAll(ops, err)
		return
	}
	taken := s.build(ops)
	if len(taken) == 0 {
		return
	}
	if err := s.write(taken); err != nil {
		s.counts.FailedCommits.Add(1)
		failAll(taken, err)
		return
	}
	s.apply(taken)
}

func failAll(ops []*op, err error) {
	for _, o := range ops {
		o.err = err
	}
}

// ready has a segment that takes size bytes more.
func (s *Store) ready(size int64) error {
	l := &s.log
	if l.segment != nil && !l.broken && (l.end == record.SegmentHeaderLen || l.end+size <= s.opt.SegmentBytes) {
		return nil
	}
	head := record.SegmentHeader{Store: s.id, Number: 1}
	if l.segment != nil {
		head.Number, head.PrevSegmentEnd = l.segment.number+1, l.end
	}
	if head.Number <= l.least {
		head.Number, head.PrevSegmentEnd = l.least+1, 0
	}
	name := segmentFile(head.Number)
	if err := s.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) { // of a try that failed
		return err
	}
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(head.Append(nil), 0)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir("log")
	}
	if err != nil {
		f.Close()
		s.fs.Remove(name)
		return fmt.Errorf("begin segment %s: %w", name, err)
	}
	seg := newSegment(head.Number, f)
	seg.size, seg.born = record.SegmentHeaderLen, int64(l.group)
	s.mu.Lock()
	s.segments[head.Number] = seg
	l.segment, l.end, l.broken = seg, record.SegmentHeaderLen, false
	s.mu.Unlock()
	return nil
}

type blobKey struct{ space, name string }

// build appends the records of what may be done to the log's buffer. It looks
// at conditions in the order of the operations, each after those before it.
func (s *Store) build(ops []*op) (taken []*op) {
	l := &s.log
	l.buf = append(l.buf[:0], make([]byte, record.GroupHeaderLen)...)
	changed := map[blobKey]*op{}
	dirs := map[string]bool{}
	for _, o := range ops {
		key := blobKey{o.space, o.rec.Name}
		e, there := s.current(changed[key], key)
		if o.err = o.may(e, there); o.err != nil {
			continue
		}
		if o.keep {
			l.version = max(l.version, o.rec.Version)
		} else if o.from == nil {
			l.version = max(l.version+1, uint64(s.opt.NowMicros()))
			o.rec.Version = l.version
		}
		if o.from == nil && o.rec.BodyFile != 0 {
			dirs[bodyDir(o.rec.BodyFile)] = true
		}
		o.was, o.there, o.old = e, there, s.fileOf(e, changed[key])
		o.at = place{l.segment.number, l.end + int64(len(l.buf))}
		l.buf = o.rec.Append(l.buf)
		l.buf = append(l.buf, o.body...)
		changed[key] = o
		taken = append(taken, o)
	}
	for _, dir := range sortedKeys(dirs) {
		if err := s.fs.SyncDir(dir); err != nil {
			failAll(taken, err)
			return nil
		}
	}
	return taken
}

// current returns what a name holds after last, an operation of the same group.
func (s *Store) current(last *op, key blobKey) (entry, bool) {
	switch {
	case last == nil:
		s.mu.RLock()
		defer s.mu.RUnlock()
		return s.index.get(key.space, key.name)
	case last.rec.Kind == record.KindDelete:
		return entry{}, false
	}
	return entryOf(&last.rec, last.at), true
}

// fileOf returns the file of an entry's body; last, unless nil, is the
// operation that made the entry. 0: it has none, or that cannot be read.
func (s *Store) fileOf(e entry, last *op) uint64 {
	if e.flags&record.FlagBodyFile == 0 {
		return 0
	}
	if last != nil {
		return last.rec.BodyFile
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, err := s.recordOf(e)
	if err != nil {
		return 0 // left for `store check`
	}
	return r.BodyFile
}

// errMoved ends the move of a record that nobody refers to any more.
var (
	errMoved = errors.New("the record is not in use")
	errOlder = errors.New("the store has a later version")
)

func (o *op) may(e entry, there bool) error {
	if o.from != nil {
		if !there || e.segment != o.from.segment || e.offset != o.from.offset {
			return errMoved
		}
		return nil
	}
	if o.keep && there && e.version >= o.rec.Version {
		return errOlder
	}
	if err := o.cond.check(e, there); err != nil {
		return err
	}
	if o.rec.Kind == record.KindDelete && !there {
		return ErrNotFound
	}
	return nil
}

// write writes and syncs the group in the log's buffer.
func (s *Store) write(taken []*op) error {
	l := &s.log
	payload := l.buf[record.GroupHeaderLen:]
	head := record.GroupHeader{Store: s.id, Number: l.group + 1, Length: uint32(len(payload)), Count: uint32(len(taken)), Checksum: record.Checksum(payload)}
	head.Append(l.buf[:0])
	span := record.GroupSize(int64(len(payload)))
	l.buf = append(l.buf, make([]byte, span-int64(len(l.buf)))...)
	for _, o := range taken {
		o.logged = true
	}
	if _, err := l.segment.file.WriteAt(l.buf, l.end); err != nil {
		// Nothing of it was acknowledged: its room is given back.
		l.broken = errors.Is(err, disk.ErrCrashed) || l.segment.file.Truncate(l.end) != nil
		return fmt.Errorf("write to the log: %w", err)
	}
	s.counts.Syncs.Add(1)
	if err := l.segment.file.Sync(); err != nil {
		l.broken = true // what a failed sync left is not known, and a second one proves nothing
		return fmt.Errorf("sync the log: %w", err)
	}
	s.counts.Groups.Add(1)
	s.counts.Records.Add(int64(len(taken)))
	s.counts.LogBytes.Add(span)
	return nil
}

// apply shows the group's operations to readers.
func (s *Store) apply(taken []*op) {
	var gone []uint64
	l := &s.log
	span := int64(len(l.buf))
	s.mu.Lock()
	l.shown = l.version
	l.group++ // a checkpoint sees the log's place and the index of one moment
	l.end += span
	l.since += span
	l.segment.size = l.end
	for _, o := range taken {
		delete(s.flying, o.rec.BodyFile)
		if o.from == nil && o.old != 0 {
			s.flying[o.old] = true
			gone = append(gone, o.old)
		}
		s.applyOne(o.space, &o.rec, o.at)
	}
	if s.pins > 0 { // a snapshot may refer to them
		s.doomed = append(s.doomed, gone...)
		gone = nil
	}
	s.mu.Unlock()
	for _, file := range gone {
		s.dropBody(file)
	}
	if cap(l.buf) > 2*int(s.opt.MaxGroupBytes) {
		l.buf = nil
	}
}

// applyOne changes the index by one record. The caller holds mu.
func (s *Store) applyOne(space string, r *record.Record, at place) {
	var old entry
	var there bool
	if r.Kind == record.KindDelete {
		old, there = s.index.remove(space, r.Name)
	} else {
		e := entryOf(r, at)
		old, there = s.index.set(space, e)
		s.checkSize += e.checkSpan(space)
		if seg := s.segments[at.segment]; seg != nil {
			seg.live += e.span()
		}
	}
	if there {
		s.checkSize -= old.checkSpan(space)
		if seg := s.segments[old.segment]; seg != nil {
			seg.live -= old.span()
		}
	}
}

// dropBody removes a file that no entry refers to.
func (s *Store) dropBody(file uint64) {
	if err := s.fs.Remove(bodyFile(file)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.opt.Log.Warn("a body's file was not removed", "file", bodyFile(file), "error", err)
		return // the next start tries again
	}
	s.mu.Lock()
	s.removed[file] = true // until its directory is synced
	s.mu.Unlock()
}
