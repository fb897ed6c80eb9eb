package s3

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/placement"
)

// garbageCollector deletes data that no record refers to any more, in the
// background. Its deletes are scheduled like client requests, on the volume of
// the data. Data that is not deleted when the host stops remains; it is never
// read and only occupies space.
type garbageCollector struct {
	server       *Server
	queue        chan deletion
	abandoned    atomic.Uint64 // deletions given up
	deletedBlobs atomic.Uint64 // blobs deleted
	quit         chan struct{}
	quitOnce     sync.Once
	stopped      chan struct{}
}

// deletion describes data to delete.
type deletion struct {
	volume      arrowwalk.Volume
	piecePrefix string          // pieces whose names begin with it and a slash,
	keepBases   map[string]bool // except those with one of these bases
	runs        []pieceRun      // pieces of these runs
	uploadID    string          // all part records of this upload
	partName    string          // one part record
	shard       int             // shard of the part records
}

// maxQueuedDeletions bounds the queue; further deletions are abandoned.
const maxQueuedDeletions = 4096

// startGarbageCollector starts the collector of s.
func startGarbageCollector(s *Server) *garbageCollector {
	gc := &garbageCollector{server: s, queue: make(chan deletion, maxQueuedDeletions), quit: make(chan struct{}), stopped: make(chan struct{})}
	go gc.run()
	return gc
}

// stop waits until the queued deletions are done or ctx ends.
func (gc *garbageCollector) stop(ctx context.Context) {
	gc.quitOnce.Do(func() { close(gc.quit) })
	select {
	case <-gc.stopped:
	case <-ctx.Done():
	}
}

// enqueue queues a deletion, or counts it as abandoned if the queue is full.
func (gc *garbageCollector) enqueue(d deletion) {
	select {
	case gc.queue <- d:
	default:
		gc.abandoned.Add(1)
	}
}

// deletePieces deletes all pieces whose names begin with piecePrefix and a
// slash.
func (gc *garbageCollector) deletePieces(x *exchange, piecePrefix string) {
	gc.enqueue(deletion{volume: x.volume, piecePrefix: piecePrefix})
}

// deleteRuns deletes the pieces of a record that was not written.
func (gc *garbageCollector) deleteRuns(x *exchange, runs []pieceRun) {
	if len(runs) > 0 {
		gc.enqueue(deletion{volume: x.volume, runs: runs})
	}
}

// deletePart deletes a part whose upload no longer exists.
func (gc *garbageCollector) deletePart(x *exchange, uploadID string, part partRecord) {
	d := deletion{volume: x.volume, partName: partName(uploadID, &part), shard: x.objectShard()}
	if part.Size > 0 {
		d.runs = []pieceRun{{part.Base, part.Size, x.server.cfg.PieceBytes}}
	}
	gc.enqueue(d)
}

// deleteUnusedParts deletes the part records of an upload that has ended, and
// the pieces that the object does not use.
func (gc *garbageCollector) deleteUnusedParts(x *exchange, uploadID string, used []partRecord) {
	d := deletion{volume: x.volume, piecePrefix: uploadID, uploadID: uploadID, shard: x.objectShard(), keepBases: map[string]bool{}}
	for _, p := range used {
		d.keepBases[p.Base] = true
	}
	gc.enqueue(d)
}

// run processes the queue. After quit is closed, it processes what is queued
// and returns.
func (gc *garbageCollector) run() {
	defer close(gc.stopped)
	for {
		select {
		case d := <-gc.queue:
			gc.deleteWithRetries(d)
		case <-gc.quit:
			for {
				select {
				case d := <-gc.queue:
					gc.deleteWithRetries(d)
				default:
					return
				}
			}
		}
	}
}

// A deletion that fails is retried after deletionRetryDelay, up to
// maxDeletionTries times in total.
const (
	deletionRetryDelay = 200 * time.Millisecond
	maxDeletionTries   = 5
)

// deleteWithRetries runs a deletion up to maxDeletionTries times.
func (gc *garbageCollector) deleteWithRetries(d deletion) {
	x := &exchange{server: gc.server, conn: &conn{server: gc.server}, requestID: gc.server.opts.Host.RunID() + "-janitor", volume: d.volume, startedAt: time.Now(), waitStart: time.Now()}
	for range maxDeletionTries {
		if gc.runDeletion(x, &d) == nil {
			return
		}
		select {
		case <-time.After(deletionRetryDelay):
		case <-gc.quit:
		}
	}
	gc.abandoned.Add(1)
	gc.server.log.Warn("unused data not deleted", "data", d.piecePrefix, "upload", d.uploadID, "runs", len(d.runs))
}

// runDeletion runs a deletion. An earlier try may have done a part of it.
func (gc *garbageCollector) runDeletion(x *exchange, d *deletion) error {
	for _, r := range d.runs {
		for i := range int((r.Size + r.PieceSize - 1) / r.PieceSize) {
			name := placement.Piece(r.Base, i)
			if err := gc.deleteBlob(x, brick.SpacePieces, name, x.shardOf(name)); err != nil {
				return err
			}
		}
	}
	if d.partName != "" {
		if err := gc.deleteBlob(x, brick.SpaceParts, d.partName, d.shard); err != nil {
			return err
		}
	}
	if d.uploadID != "" {
		if err := gc.deletePrefix(x, brick.SpaceParts, d.shard, d.uploadID+"/", nil); err != nil {
			return err
		}
	}
	if d.piecePrefix == "" {
		return nil
	}
	for shard := range gc.server.shards.Shards() {
		if err := gc.deletePrefix(x, brick.SpacePieces, shard, d.piecePrefix+"/", d.keepBases); err != nil {
			return err
		}
	}
	return nil
}

// deleteBlob deletes one blob. A blob that does not exist is no error.
func (gc *garbageCollector) deleteBlob(x *exchange, space, name string, shard int) error {
	x.restartWait()
	_, ok, err := x.deleteBlob(space, name, shard, 0)
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
