package s3

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/reclaim"
)

// ReclaimTimes are the times of the garbage collector. A zero value stands for a
// default.
type ReclaimTimes struct {
	SweepInterval time.Duration // between two sweeps of the trash and of the intents
	TrashGrace    time.Duration // for which an entry of the trash is kept, since writes of its pieces may still run at a brick
	IntentLease   time.Duration // after which an intent that is not renewed counts as abandoned
}

// DisabledReclaim holds the parts of the rule of package reclaim that are disabled.
type DisabledReclaim struct {
	Consume     bool // writes of records consume no owner
	RemoveOwner bool // the owner of pieces is not removed before they are deleted
	ReadRecord  bool // pieces are deleted without reading whether the record names them
}

// withDefaults returns t with its zero values replaced.
func (t ReclaimTimes) withDefaults() ReclaimTimes {
	setDefault := func(d *time.Duration, defaultValue time.Duration) {
		if *d == 0 {
			*d = defaultValue
		}
	}
	setDefault(&t.SweepInterval, time.Minute)
	setDefault(&t.TrashGrace, 10*time.Minute)
	setDefault(&t.IntentLease, time.Hour)
	return t
}

// garbageCollector deletes pieces that no record names and none will, by the rule of
// package reclaim. Its calls are scheduled like client requests, on the volume of the
// data, one at a time. What it cannot delete at once, or loses when the host ends, a
// sweep of any host finds again: every set of pieces has an owner at the bricks, or
// an entry in their trash.
type garbageCollector struct {
	server       *Server
	times        ReclaimTimes
	queue        chan reclamation
	abandoned    atomic.Uint64 // reclamations left to a sweep
	deletedBlobs atomic.Uint64 // blobs deleted
	quit         chan struct{}
	quitOnce     sync.Once
	stopped      chan struct{}
}

// reclamation is a set of pieces to reclaim.
type reclamation struct {
	kind       reclaim.Kind
	volume     arrowwalk.Volume
	object     string // name of the object's record
	id         string // of the set
	fromUpload bool   // a multipart upload made the set
	trashEntry string // name of its entry in the trash; "" if there is none
	addEntry   bool   // the entry has to be written first
	final      bool   // the entry is removed at the end
}

// shard returns the shard of the object.
func (r *reclamation) shard(s *Server) int { return s.shards.Shard(r.object) }

// maxQueuedReclamations bounds the queue; further ones are left to a sweep.
const maxQueuedReclamations = 4096

// startGarbageCollector starts the collector of s.
func startGarbageCollector(s *Server) *garbageCollector {
	gc := &garbageCollector{server: s, times: s.opts.Reclaim, queue: make(chan reclamation, maxQueuedReclamations), quit: make(chan struct{}), stopped: make(chan struct{})}
	go gc.run()
	return gc
}

// stop waits until the queued reclamations are done or ctx ends.
func (gc *garbageCollector) stop(ctx context.Context) {
	gc.quitOnce.Do(func() { close(gc.quit) })
	select {
	case <-gc.stopped:
	case <-ctx.Done():
	}
}

// enqueue queues a reclamation, or leaves it to a sweep if the queue is full.
func (gc *garbageCollector) enqueue(r reclamation) {
	select {
	case gc.queue <- r:
	default:
		gc.abandoned.Add(1)
	}
}

// reclaimRecord reclaims the pieces of an object whose record was replaced or deleted
// by a write with the given suffix of the trash. meta is the metadata of that record.
func (gc *garbageCollector) reclaimRecord(volume arrowwalk.Volume, object string, meta []byte, suffix string) {
	if r, ok := recordReclamation(volume, object, meta, brick.TrashName(brick.SpaceObjects, object, suffix)); ok {
		gc.enqueue(r)
	}
}

// recordReclamation returns the reclamation for a record. It returns false if the
// object was not stored in pieces.
func recordReclamation(volume arrowwalk.Volume, object string, meta []byte, entry string) (reclamation, bool) {
	if len(meta) == 0 {
		return reclamation{}, false
	}
	old, err := decodeRecord(meta)
	if err != nil || old.PiecePrefix == "" {
		return reclamation{}, false
	}
	return reclamation{kind: reclaim.Record, volume: volume, object: object, id: old.PiecePrefix, fromUpload: old.UploadID != "", trashEntry: entry}, true
}

// reclaimUpload reclaims the pieces and part records of an upload that has ended.
// addEntry tells that the trash has no entry for it yet.
func (gc *garbageCollector) reclaimUpload(volume arrowwalk.Volume, object, id string, addEntry bool) {
	gc.enqueue(reclamation{kind: reclaim.Upload, volume: volume, object: object, id: id, fromUpload: true,
		trashEntry: brick.TrashName(brick.SpaceUploads, intentName(object, id), id), addEntry: addEntry})
}

// reclaimIntent reclaims the pieces of a write that was given up.
func (gc *garbageCollector) reclaimIntent(volume arrowwalk.Volume, object, id string) {
	gc.enqueue(reclamation{kind: reclaim.Intent, volume: volume, object: object, id: id,
		trashEntry: brick.TrashName(brick.SpaceIntents, intentName(object, id), id), addEntry: true})
}

// run processes the queue and sweeps at intervals. After quit is closed, it processes
// what is queued and returns.
func (gc *garbageCollector) run() {
	defer close(gc.stopped)
	ticker := time.NewTicker(gc.times.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-gc.queue:
			gc.reclaimWithRetries(r)
		case <-ticker.C:
			gc.sweep()
		case <-gc.quit:
			for {
				select {
				case r := <-gc.queue:
					gc.reclaimWithRetries(r)
				default:
					return
				}
			}
		}
	}
}

// A reclamation that fails is retried after reclaimRetryDelay, up to maxReclaimTries
// times in total.
const (
	reclaimRetryDelay = 200 * time.Millisecond
	maxReclaimTries   = 5
)

// newExchange returns an exchange for calls of the collector.
func (gc *garbageCollector) newExchange(volume arrowwalk.Volume) *exchange {
	return &exchange{server: gc.server, conn: &conn{server: gc.server}, requestID: gc.server.opts.Host.RunID() + "-janitor", volume: volume, startedAt: time.Now(), waitStart: time.Now()}
}

// reclaimWithRetries runs a reclamation up to maxReclaimTries times.
func (gc *garbageCollector) reclaimWithRetries(r reclamation) {
	x := gc.newExchange(r.volume)
	var err error
	for range maxReclaimTries {
		if err = gc.reclaim(x, &r); err == nil {
			return
		}
		select {
		case <-time.After(reclaimRetryDelay):
		case <-gc.quit:
		}
	}
	gc.abandoned.Add(1)
	gc.server.log.Warn("unused data not deleted, left to a sweep", "object", r.object, "pieces", r.id, "error", err)
}

// reclaim runs a reclamation from its beginning. An earlier try may have done a part
// of it.
func (gc *garbageCollector) reclaim(x *exchange, r *reclamation) error {
	if r.addEntry {
		x.restartWait()
		if _, err := x.writeBlob(brick.Request{Space: brick.SpaceTrash, Name: r.trashEntry}, r.shard(gc.server)); err != nil {
			return err
		}
		r.addEntry = false
	}
	disabled := &gc.server.opts.DisabledReclaim
	var keep map[string]bool
	steps := reclaim.New(r.kind, r.fromUpload)
	for steps.Next() != reclaim.Finish {
		x.restartWait()
		var seen reclaim.Observation
		var err error
		switch step := steps.Next(); {
		case disabled.RemoveOwner && (step == reclaim.RemoveIntent || step == reclaim.RemoveUpload), disabled.ReadRecord && step == reclaim.ReadRecord:
		case step == reclaim.RemoveIntent:
			err = gc.deleteBlob(x, brick.SpaceIntents, intentName(r.object, r.id), r.shard(gc.server))
		case step == reclaim.RemoveUpload:
			err = gc.deleteBlob(x, brick.SpaceUploads, intentName(r.object, r.id), r.shard(gc.server))
		case step == reclaim.ReadUpload:
			_, _, seen.UploadExists, err = x.readBlob(brick.SpaceUploads, intentName(r.object, r.id), r.shard(gc.server), false)
		case step == reclaim.ReadRecord:
			keep, seen.Named, err = x.namedBases(r.object, r.id)
		case step == reclaim.DeleteUnnamed:
			err = gc.deleteUnnamed(x, r, keep)
		}
		if err != nil {
			return err
		}
		steps.Done(seen)
	}
	if !r.final || r.trashEntry == "" {
		return nil
	}
	return gc.deleteBlob(x, brick.SpaceTrash, r.trashEntry, r.shard(gc.server))
}

// namedBases returns whether an object's record names the pieces of a set, and the
// bases of those that it names.
func (x *exchange) namedBases(object, id string) (bases map[string]bool, named bool, err error) {
	var body []byte
	for _, withBody := range []bool{false, true} { // most records name other pieces: their bodies are not read
		response, read, ok, err := x.readBlob(brick.SpaceObjects, object, x.shardOf(object), withBody)
		if err != nil || !ok {
			return nil, false, err
		}
		record, err := decodeRecord(response.Meta)
		if err != nil || record.PiecePrefix != id {
			return nil, false, err
		}
		body = read
	}
	m, err := decodeManifest(body)
	if err != nil {
		return nil, false, err
	}
	bases = map[string]bool{}
	for _, run := range m.Runs {
		bases[run.Base] = true
	}
	return bases, true, nil
}

// deleteUnnamed deletes the pieces of a set without those of the bases to keep, and
// the part records of an upload.
func (gc *garbageCollector) deleteUnnamed(x *exchange, r *reclamation, keep map[string]bool) error {
	if r.fromUpload {
		if err := gc.deletePrefix(x, brick.SpaceParts, r.shard(gc.server), r.id+"/", nil); err != nil {
			return err
		}
	}
	for shard := range gc.server.shards.Shards() {
		if err := gc.deletePrefix(x, brick.SpacePieces, shard, r.id+"/", keep); err != nil {
			return err
		}
	}
	return nil
}

// deleteBlob deletes one blob. A blob that does not exist is no error.
func (gc *garbageCollector) deleteBlob(x *exchange, space, name string, shard int) error {
	x.restartWait()
	_, ok, err := x.deleteBlob(brick.Request{Space: space, Name: name}, shard)
	if ok {
		gc.deletedBlobs.Add(1)
	}
	return err
}

// deletePrefix deletes the blobs of one shard whose names begin with prefix,
// except for pieces with a base in keepBases.
func (gc *garbageCollector) deletePrefix(x *exchange, space string, shard int, prefix string, keepBases map[string]bool) error {
	list := brick.ListQuery{Prefix: prefix, MaxItems: maxListItems}
	for {
		x.restartWait()
		page, err := x.listPage(space, shard, list)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			name := string(item.Name)
			list.After = name
			if dot := strings.LastIndexByte(name, '.'); dot >= 0 && keepBases[name[:dot]] {
				continue
			}
			if err := gc.deleteBlob(x, space, name, shard); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}

// maxSweptPerShard bounds what one sweep reclaims at one shard, so that a sweep ends
// and queued reclamations go on.
const maxSweptPerShard = 64

// sweep reclaims the entries of the trash whose grace is over and the intents whose
// lease is.
func (gc *garbageCollector) sweep() {
	for shard := range gc.server.shards.Shards() {
		for _, s := range []struct {
			space  string
			minAge time.Duration
			parse  func(*Server, brick.ListItem) (reclamation, error)
		}{{brick.SpaceTrash, gc.times.TrashGrace, parseTrashEntry}, {brick.SpaceIntents, gc.times.IntentLease, parseIntent}} {
			if err := gc.sweepSpace(shard, s.space, s.minAge, s.parse); err != nil {
				gc.server.log.Warn("sweep of unused data failed", "shard", shard, "space", s.space, "error", err)
			}
		}
	}
}

// sweepSpace reclaims what the blobs of a space that are at least minAge old stand
// for.
func (gc *garbageCollector) sweepSpace(shard int, space string, minAge time.Duration, parse func(*Server, brick.ListItem) (reclamation, error)) error {
	x := gc.newExchange(gc.server.volumeOf(""))
	list := brick.ListQuery{MaxItems: maxListItems}
	for swept := 0; ; {
		x.restartWait()
		page, err := x.listPage(space, shard, list)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			list.After = string(item.Name)
			if time.Since(time.UnixMicro(int64(item.Version))) < minAge { // versions are the brick's time in microseconds
				continue
			}
			r, err := parse(gc.server, item)
			if err != nil {
				gc.server.log.Warn("invalid entry of unused data", "shard", shard, "space", space, "name", list.After, "error", err)
				continue
			}
			if err := gc.reclaim(gc.newExchange(r.volume), &r); err != nil {
				return err // the next sweep tries again; queued reclamations do not wait for a shard that is down
			}
			if swept++; swept == maxSweptPerShard || gc.isStopping() {
				return nil
			}
		}
		if !page.More {
			return nil
		}
	}
}

func (gc *garbageCollector) isStopping() bool {
	select {
	case <-gc.quit:
		return true
	default:
		return false
	}
}

// volumeOf returns the scheduler's volume of a bucket.
func (s *Server) volumeOf(bucket string) arrowwalk.Volume {
	return arrowwalk.Volume{ID: VolumeID(bucket), Plan: s.buckets.plan(bucket), Hosts: s.cfg.Host.Count}
}

// volumeOfObject returns the scheduler's volume of an object's bucket.
func (s *Server) volumeOfObject(object string) arrowwalk.Volume {
	bucket, _, _ := strings.Cut(object, "/")
	return s.volumeOf(bucket)
}

// errInvalidEntry reports a name that the trash or an intent cannot have.
var errInvalidEntry = errors.New("the name has another form")

// parseTrashEntry returns the reclamation that an entry of the trash asks for, after
// which the entry is removed.
func parseTrashEntry(s *Server, item brick.ListItem) (reclamation, error) {
	space, name, ok := brick.ParseTrashName(string(item.Name))
	if !ok {
		return reclamation{}, errInvalidEntry
	}
	r := reclamation{kind: reclaim.Record, object: name, volume: s.volumeOfObject(name)}
	switch space {
	case brick.SpaceObjects:
		if r, ok = recordReclamation(r.volume, name, item.Meta, ""); !ok {
			return reclamation{}, errInvalidEntry
		}
	case brick.SpaceUploads, brick.SpaceIntents:
		if r.object, r.id, ok = cutLast(name, "\x00"); !ok {
			return reclamation{}, errInvalidEntry
		}
		r.kind, r.fromUpload = reclaim.Intent, space == brick.SpaceUploads
		if r.fromUpload {
			r.kind = reclaim.Upload
		}
	default:
		return reclamation{}, errInvalidEntry
	}
	r.trashEntry, r.final = string(item.Name), true
	return r, nil
}

// parseIntent returns the reclamation of an abandoned intent.
func parseIntent(s *Server, item brick.ListItem) (reclamation, error) {
	object, id, ok := cutLast(string(item.Name), "\x00")
	if !ok {
		return reclamation{}, errInvalidEntry
	}
	return reclamation{kind: reclaim.Intent, volume: s.volumeOfObject(object), object: object, id: id,
		trashEntry: brick.TrashName(brick.SpaceIntents, string(item.Name), id), addEntry: true}, nil
}

// cutLast cuts s around the last separator.
func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}
