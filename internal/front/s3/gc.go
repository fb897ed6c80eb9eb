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

// garbageCollector drops, behind the answers, the data that no record names any more.
// Its deletes are requests of the module like any other, on the volume whose
// data they drop. What it has not dropped when the host stops is left over;
// it is never read and costs only room.
type garbageCollector struct {
	server       *Server
	queue        chan deletion
	abandoned    atomic.Uint64 // chores given up
	deletedBlobs atomic.Uint64 // blobs dropped
	quit         chan struct{}
	quitOnce     sync.Once
	stopped      chan struct{}
}

// deletion is something to drop.
type deletion struct {
	volume      arrowwalk.Volume
	piecePrefix string          // drop all pieces whose names begin with it and a slash,
	keepBases   map[string]bool // but those with one of these bases
	runs        []pieceRun      // or the pieces of these
	uploadID    string          // and the part records of this upload
	partName    string          // or one part record
	shard       int             // where the part records are
}

const maxQueuedDeletions = 4096

func startGarbageCollector(s *Server) *garbageCollector {
	j := &garbageCollector{server: s, queue: make(chan deletion, maxQueuedDeletions), quit: make(chan struct{}), stopped: make(chan struct{})}
	go j.run()
	return j
}

// stop lets the janitor do what is queued until ctx ends.
func (j *garbageCollector) stop(ctx context.Context) {
	j.quitOnce.Do(func() { close(j.quit) })
	select {
	case <-j.stopped:
	case <-ctx.Done():
	}
}

func (j *garbageCollector) enqueue(c deletion) {
	select {
	case j.queue <- c:
	default:
		j.abandoned.Add(1)
	}
}

// deletePieces drops all pieces of an object's data.
func (j *garbageCollector) deletePieces(x *exchange, data string) {
	j.enqueue(deletion{volume: x.volume, piecePrefix: data})
}

// deleteRuns drops pieces that were stored for a record that was not written.
func (j *garbageCollector) deleteRuns(x *exchange, runs []pieceRun) {
	if len(runs) > 0 {
		j.enqueue(deletion{volume: x.volume, runs: runs})
	}
}

// deletePart drops a part whose upload has ended.
func (j *garbageCollector) deletePart(x *exchange, upload string, p partRecord) {
	c := deletion{volume: x.volume, partName: partName(upload, &p), shard: x.objectShard()}
	if p.Size > 0 {
		c.runs = []pieceRun{{p.Base, p.Size, x.server.cfg.PieceBytes}}
	}
	j.enqueue(c)
}

// deleteUnusedParts drops the records of an upload that has ended, and the pieces
// that the object does not use.
func (j *garbageCollector) deleteUnusedParts(x *exchange, upload string, used []partRecord) {
	c := deletion{volume: x.volume, piecePrefix: upload, uploadID: upload, shard: x.objectShard(), keepBases: map[string]bool{}}
	for _, p := range used {
		c.keepBases[p.Base] = true
	}
	j.enqueue(c)
}

func (j *garbageCollector) run() {
	defer close(j.stopped)
	for {
		select {
		case c := <-j.queue:
			j.deleteWithRetries(c)
		case <-j.quit:
			for {
				select {
				case c := <-j.queue:
					j.deleteWithRetries(c)
				default:
					return
				}
			}
		}
	}
}

// deletionRetryDelay is how long a chore that was refused rests before its next try.
const (
	deletionRetryDelay = 200 * time.Millisecond
	maxDeletionTries   = 5
)

func (j *garbageCollector) deleteWithRetries(c deletion) {
	x := &exchange{server: j.server, conn: &conn{server: j.server}, requestID: j.server.opts.Host.RunID() + "-janitor", volume: c.volume, startedAt: time.Now(), waitStart: time.Now()}
	for range maxDeletionTries {
		if j.runDeletion(x, &c) == nil {
			return
		}
		select {
		case <-time.After(deletionRetryDelay):
		case <-j.quit:
		}
	}
	j.abandoned.Add(1)
	j.server.log.Warn("unused data left behind", "data", c.piecePrefix, "upload", c.uploadID, "runs", len(c.runs))
}

// runDeletion does a chore; it may have been done in part before.
func (j *garbageCollector) runDeletion(x *exchange, c *deletion) error {
	for _, r := range c.runs {
		for i := range int((r.Size + r.PieceSize - 1) / r.PieceSize) {
			name := placement.Piece(r.Base, i)
			if err := j.deleteBlob(x, brick.SpacePieces, name, x.shardOf(name)); err != nil {
				return err
			}
		}
	}
	if c.partName != "" {
		if err := j.deleteBlob(x, brick.SpaceParts, c.partName, c.shard); err != nil {
			return err
		}
	}
	if c.uploadID != "" {
		if err := j.deletePrefix(x, brick.SpaceParts, c.shard, c.uploadID+"/", nil); err != nil {
			return err
		}
	}
	if c.piecePrefix == "" {
		return nil
	}
	for shard := range j.server.shards.Shards() {
		if err := j.deletePrefix(x, brick.SpacePieces, shard, c.piecePrefix+"/", c.keepBases); err != nil {
			return err
		}
	}
	return nil
}

func (j *garbageCollector) deleteBlob(x *exchange, space, name string, shard int) error {
	x.restartWait()
	_, ok, err := x.deleteBlob(space, name, shard, 0)
	if ok {
		j.deletedBlobs.Add(1)
	}
	return err
}

// deletePrefix deletes what one shard has with a prefix, but those pieces whose
// base is excepted.
func (j *garbageCollector) deletePrefix(x *exchange, space string, shard int, prefix string, except map[string]bool) error {
	list := brick.ListQuery{Prefix: prefix, MaxItems: maxListItems}
	for {
		x.restartWait()
		page, err := x.listPage(space, shard, list)
		if err != nil {
			return err
		}
		for _, it := range page.Items {
			name := string(it.Name)
			list.After = name
			if dot := strings.LastIndexByte(name, '.'); dot >= 0 && except[name[:dot]] {
				continue
			}
			if err := j.deleteBlob(x, space, name, shard); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}
