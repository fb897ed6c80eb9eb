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

// operation is a write or delete that is queued for the log. The committer sets
// the result fields before it closes done.
type operation struct {
	space       string
	cond        Condition
	effects     Effects
	rec         record.Record
	body        []byte
	keepVersion bool      // rec.Version is set already and is kept
	movedFrom   *location // old location of a record that compaction copies unchanged; nil: a new record

	loc          location
	previous     entry // entry that the operation replaces, if replaces is set
	replaces     bool
	replacedFile uint64 // body file of the replaced entry; 0: none
	maybeLogged  bool   // the record may be on disk even if err is set
	err          error
	done         chan struct{}
}

// logSize returns the size of the operation's record and inline body in the log, with
// an upper bound of what its effects take.
func (op *operation) logSize() int64 {
	return int64(op.rec.HeaderSize()) + int64(len(op.body)) + op.effects.logSize(op.space, op.rec.Name)
}

// queue buffers operations for the committer. All operations that arrive while a
// group is synced form the next group.
type queue struct {
	mu       sync.Mutex
	nonEmpty *sync.Cond
	ops      []*operation
	closed   bool
}

func (q *queue) init() { q.nonEmpty = sync.NewCond(&q.mu) }

func (q *queue) push(op *operation) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return ErrClosed
	}
	q.ops = append(q.ops, op)
	q.nonEmpty.Signal()
	return nil
}

// close rejects further operations; queued ones are still committed. It returns
// false if the queue was closed already.
func (q *queue) close() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	wasClosed := q.closed
	q.closed = true
	q.nonEmpty.Broadcast()
	return !wasClosed
}

// nextGroup waits for operations and returns those of the next group: at least
// one, and no more than fit into maxBytes. After close it returns none once the
// queue is empty.
func (q *queue) nextGroup(maxBytes int64, delay time.Duration) []*operation {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.ops) == 0 && !q.closed {
		q.nonEmpty.Wait()
	}
	if delay > 0 && !q.closed {
		q.mu.Unlock()
		time.Sleep(delay)
		q.mu.Lock()
	}
	n, size := 0, int64(0)
	for n < len(q.ops) && (n == 0 || size+q.ops[n].logSize() <= maxBytes) {
		size += q.ops[n].logSize()
		n++
	}
	ops := q.ops[:n:n]
	q.ops = q.ops[n:]
	return ops
}

// submit queues an operation and waits for its result.
func (s *Store) submit(op *operation) error {
	op.done = make(chan struct{})
	if err := s.queue.push(op); err != nil {
		return err
	}
	<-op.done
	return op.err
}

// logTail is the position at which the committer writes next.
type logTail struct {
	segment              *segment
	end                  int64  // end of the acknowledged groups in segment
	lastGroup            uint64 // number of the last acknowledged group
	lastVersion          uint64 // last version assigned; used by the committer only
	visibleVersion       uint64 // last version that readers may have seen
	sealed               bool   // the bytes after end are unknown: the next group goes to a new segment
	lastUsedNumber       uint32 // new segments get a higher number
	buf                  []byte // encoded group
	bytesSinceCheckpoint int64  // log bytes since the last checkpoint
}

// commitAverageWeight is the weight of one commit in the moving average of commit
// durations.
const commitAverageWeight = 0.05

// CommitStats returns the duration of the commit in progress and the recent
// average commit duration.
func (s *Store) CommitStats() admission.CommitStats {
	stats := admission.CommitStats{AverageDuration: time.Duration(s.avgCommitMicros.Load()) * time.Microsecond}
	if start := s.commitStartMicros.Load(); start != 0 {
		stats.CurrentDuration = max(0, time.Duration(time.Now().UnixMicro()-start)*time.Microsecond)
	}
	return stats
}

// runCommitter commits queued operations until the queue is closed and empty.
func (s *Store) runCommitter() {
	defer close(s.committerDone)
	var checkpoints sync.WaitGroup
	defer checkpoints.Wait()
	for {
		ops := s.queue.nextGroup(s.opt.MaxGroupBytes, s.opt.GroupDelay)
		if len(ops) == 0 {
			return
		}
		start := time.Now()
		s.commitStartMicros.Store(start.UnixMicro())
		s.commitGroup(ops)
		s.commitStartMicros.Store(0)
		s.avgCommitMicros.Add(int64(commitAverageWeight * float64(time.Since(start).Microseconds()-s.avgCommitMicros.Load())))
		for _, op := range ops {
			close(op.done)
		}
		if s.tail.bytesSinceCheckpoint >= s.opt.CheckpointBytes {
			s.tail.bytesSinceCheckpoint = 0
			checkpoints.Add(1)
			go func() {
				defer checkpoints.Done()
				if err := s.Checkpoint(); err != nil {
					s.opt.Log.Error("store checkpoint failed", "error", err)
				}
			}()
		}
	}
}

// commitGroup writes the operations that may proceed as one group and sets the
// results of all.
func (s *Store) commitGroup(ops []*operation) {
	total := int64(0)
	for _, op := range ops {
		total += op.logSize()
	}
	if err := s.ensureSegment(record.GroupSize(total)); err != nil {
		failAll(ops, err)
		return
	}
	accepted := s.buildGroup(ops)
	if len(accepted) == 0 {
		return
	}
	if err := s.writeGroup(accepted); err != nil {
		s.counters.FailedCommits.Add(1)
		failAll(accepted, err)
		return
	}
	s.applyGroup(accepted)
}

func failAll(ops []*operation, err error) {
	for _, op := range ops {
		op.err = err
	}
}

// ensureSegment starts a new segment if the current one is sealed or has no room
// for size more bytes.
func (s *Store) ensureSegment(size int64) error {
	tail := &s.tail
	if tail.segment != nil && !tail.sealed && (tail.end == record.SegmentHeaderLen || tail.end+size <= s.opt.SegmentBytes) {
		return nil
	}
	header := record.SegmentHeader{Store: s.id, Number: 1}
	if tail.segment != nil {
		header.Number, header.PrevSegmentEnd = tail.segment.number+1, tail.end
	}
	if header.Number <= tail.lastUsedNumber {
		header.Number, header.PrevSegmentEnd = tail.lastUsedNumber+1, 0
	}
	name := segmentFile(header.Number)
	if err := s.fs.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) { // left by an earlier failed attempt
		return err
	}
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(header.Append(nil), 0)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = s.fs.SyncDir("log")
	}
	if err != nil {
		f.Close()
		s.fs.Remove(name)
		return fmt.Errorf("start segment %s: %w", name, err)
	}
	seg := newSegment(header.Number, f)
	seg.size, seg.firstGroup = record.SegmentHeaderLen, int64(tail.lastGroup)
	s.mu.Lock()
	s.segments[header.Number] = seg
	tail.segment, tail.end, tail.sealed = seg, record.SegmentHeaderLen, false
	s.mu.Unlock()
	return nil
}

// blobKey identifies a blob.
type blobKey struct{ space, name string }

// groupBuilder collects the operations of a group. Each of them sees the effects of
// those before it.
type groupBuilder struct {
	store    *Store
	changed  map[blobKey]*operation // last operation on each blob
	bodyDirs map[string]bool
	accepted []*operation
}

// buildGroup appends the records of the operations that may proceed, and of their
// effects, to the tail's buffer and returns these operations. Conditions are evaluated
// in queue order, each against the effects of the operations before it.
func (s *Store) buildGroup(ops []*operation) (accepted []*operation) {
	s.tail.buf = append(s.tail.buf[:0], make([]byte, record.GroupHeaderLen)...)
	g := &groupBuilder{store: s, changed: map[blobKey]*operation{}, bodyDirs: map[string]bool{}}
	for _, op := range ops {
		op.err = g.add(op)
	}
	for _, dir := range sortedKeys(g.bodyDirs) {
		if err := s.fs.SyncDir(dir); err != nil {
			failAll(g.accepted, err)
			return nil
		}
	}
	return g.accepted
}

// current returns the entry of a blob after the operations of the group.
func (g *groupBuilder) current(key blobKey) (entry, bool) {
	return g.store.currentEntry(g.changed[key], key)
}

// add appends an operation and its effects, or returns the error of a condition that
// does not hold.
func (g *groupBuilder) add(op *operation) error {
	current, exists := g.current(blobKey{op.space, op.rec.Name})
	if err := g.checkSince(op, current, exists); err != nil {
		return err
	}
	if err := op.check(current, exists); err != nil {
		return err
	}
	consume := op.effects.Consume
	if consume != nil {
		consumed, ok := g.current(blobKey{consume.Space, consume.Name})
		if err := consume.checkConsume(consumed, ok); err != nil {
			return err
		}
		g.remove(consume.consumption(), &op.effects, consumed)
	}
	if exists {
		g.keep(op.effects.trashing(op.space, current))
	}
	g.append(op)
	return nil
}

// remove appends the removal of a consumed entry.
func (g *groupBuilder) remove(removal *operation, effects *Effects, consumed entry) {
	g.keep(effects.trashing(removal.space, consumed))
	g.append(removal)
}

// keep appends the operation that keeps the metadata of a removed blob; nil: none.
func (g *groupBuilder) keep(trashing *operation) {
	if trashing != nil {
		g.append(trashing)
	}
}

// append appends the record of an operation whose conditions hold.
func (g *groupBuilder) append(op *operation) {
	tail, key := &g.store.tail, blobKey{op.space, op.rec.Name}
	current, exists := g.current(key)
	if op.keepVersion {
		tail.lastVersion = max(tail.lastVersion, op.rec.Version)
	} else if op.movedFrom == nil {
		tail.lastVersion = max(tail.lastVersion+1, uint64(g.store.opt.NowMicros()))
		op.rec.Version = tail.lastVersion
	}
	if op.movedFrom == nil && op.rec.BodyFile != 0 {
		g.bodyDirs[bodyDir(op.rec.BodyFile)] = true
	}
	if op.rec.Kind == record.KindDelete && op.movedFrom == nil {
		g.store.deletions.note(op.space, op.rec.Name, op.rec.Version)
	}
	op.previous, op.replaces, op.replacedFile = current, exists, g.store.bodyFileOf(current, g.changed[key])
	op.loc = location{tail.segment.number, tail.end + int64(len(tail.buf))}
	tail.buf = op.rec.Append(tail.buf)
	tail.buf = append(tail.buf, op.body...)
	g.changed[key] = op
	g.accepted = append(g.accepted, op)
}

// currentEntry returns the entry of key after prior, the last operation of the
// same group on that key; nil: none.
func (s *Store) currentEntry(prior *operation, key blobKey) (entry, bool) {
	switch {
	case prior == nil:
		s.mu.RLock()
		defer s.mu.RUnlock()
		return s.index.get(key.space, key.name)
	case prior.rec.Kind == record.KindDelete:
		return entry{}, false
	}
	return newEntry(&prior.rec, prior.loc), true
}

// bodyFileOf returns the number of an entry's body file, or 0 if it has none or
// its record cannot be read. If prior is not nil, it is the operation that created
// the entry.
func (s *Store) bodyFileOf(e entry, prior *operation) uint64 {
	if e.flags&record.FlagBodyFile == 0 {
		return 0
	}
	if prior != nil {
		return prior.rec.BodyFile
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, err := s.readEntryRecord(e)
	if err != nil {
		return 0 // the file is left behind; `store check` reports it
	}
	return r.BodyFile
}

// errStaleMove cancels the move of a record that the index no longer refers to.
// errNewerVersion rejects a restored blob that is older than the stored one.
var (
	errStaleMove    = errors.New("record is no longer referenced")
	errNewerVersion = errors.New("store has a newer version")
)

// check returns an error if the operation must not replace the current entry.
func (op *operation) check(current entry, exists bool) error {
	if op.movedFrom != nil {
		if !exists || current.segment != op.movedFrom.segment || current.offset != op.movedFrom.offset {
			return errStaleMove
		}
		return nil
	}
	if op.keepVersion && exists && current.version >= op.rec.Version {
		return errNewerVersion
	}
	if err := op.cond.check(current, exists); err != nil {
		return err
	}
	if op.rec.Kind == record.KindDelete && !exists {
		return ErrNotFound
	}
	return nil
}

// writeGroup completes the header of the group in the tail's buffer, writes the
// group to the log and syncs it.
func (s *Store) writeGroup(accepted []*operation) error {
	tail := &s.tail
	payload := tail.buf[record.GroupHeaderLen:]
	header := record.GroupHeader{Store: s.id, Number: tail.lastGroup + 1, Length: uint32(len(payload)), Count: uint32(len(accepted)), Checksum: record.Checksum(payload)}
	header.Append(tail.buf[:0])
	size := record.GroupSize(int64(len(payload)))
	tail.buf = append(tail.buf, make([]byte, size-int64(len(tail.buf)))...)
	for _, op := range accepted {
		op.maybeLogged = true
	}
	if _, err := tail.segment.file.WriteAt(tail.buf, tail.end); err != nil {
		// None of the group was acknowledged: truncate it away.
		tail.sealed = errors.Is(err, disk.ErrCrashed) || tail.segment.file.Truncate(tail.end) != nil
		return fmt.Errorf("write to the log: %w", err)
	}
	s.counters.Syncs.Add(1)
	if err := tail.segment.file.Sync(); err != nil {
		tail.sealed = true // a failed sync leaves the contents unknown, and a later successful one does not prove that they were written
		return fmt.Errorf("sync the log: %w", err)
	}
	s.counters.Groups.Add(1)
	s.counters.Records.Add(int64(len(accepted)))
	s.counters.LogBytes.Add(size)
	return nil
}

// applyGroup makes the group's operations visible to readers and removes the body
// files that they replaced.
func (s *Store) applyGroup(accepted []*operation) {
	var obsolete []uint64
	tail := &s.tail
	size := int64(len(tail.buf))
	s.mu.Lock()
	tail.visibleVersion = tail.lastVersion
	s.version.Store(tail.visibleVersion)
	tail.lastGroup++ // changed together with the index, so that a checkpoint sees both at one moment
	tail.end += size
	tail.bytesSinceCheckpoint += size
	tail.segment.size = tail.end
	for _, op := range accepted {
		delete(s.unreferencedFiles, op.rec.BodyFile)
		if op.movedFrom == nil && op.replacedFile != 0 {
			s.unreferencedFiles[op.replacedFile] = true
			obsolete = append(obsolete, op.replacedFile)
		}
		s.applyRecord(op.space, &op.rec, op.loc)
	}
	if s.openSnapshots > 0 { // a snapshot may still refer to these files
		s.deferredRemovals = append(s.deferredRemovals, obsolete...)
		obsolete = nil
	}
	s.mu.Unlock()
	for _, file := range obsolete {
		s.removeBodyFile(file)
	}
	if cap(tail.buf) > 2*int(s.opt.MaxGroupBytes) {
		tail.buf = nil
	}
}

// applyRecord applies one record to the index and to the live-byte counts. The
// caller holds mu.
func (s *Store) applyRecord(space string, r *record.Record, loc location) {
	var old entry
	var existed bool
	if r.Kind == record.KindDelete {
		old, existed = s.index.remove(space, r.Name)
	} else {
		e := newEntry(r, loc)
		old, existed = s.index.set(space, e)
		s.encodedIndexBytes += e.checkpointSize(space)
		if seg := s.segments[loc.segment]; seg != nil {
			seg.liveBytes += e.logSize()
		}
	}
	if existed {
		s.encodedIndexBytes -= old.checkpointSize(space)
		if seg := s.segments[old.segment]; seg != nil {
			seg.liveBytes -= old.logSize()
		}
	}
}

// removeBodyFile removes a body file that no index entry refers to. If that fails,
// recovery removes the file at the next start.
func (s *Store) removeBodyFile(file uint64) {
	if err := s.fs.Remove(bodyFile(file)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.opt.Log.Warn("failed to remove body file", "file", bodyFile(file), "error", err)
		return
	}
	s.mu.Lock()
	s.unsyncedRemovals[file] = true // until syncRemovals syncs its directory
	s.mu.Unlock()
}
