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

// janitor drops, behind the answers, the data that no record names any more.
// Its deletes are requests of the module like any other, on the volume whose
// data they drop. What it has not dropped when the host stops is left over;
// it is never read and costs only room.
type janitor struct {
	s     *Server
	queue chan chore
	lost  atomic.Uint64 // chores given up
	done  atomic.Uint64 // blobs dropped
	quit  chan struct{}
	once  sync.Once
	ended chan struct{}
}

// chore is something to drop.
type chore struct {
	volume arrowwalk.Volume
	data   string          // drop all pieces whose names begin with it and a slash,
	except map[string]bool // but those with one of these bases
	runs   []run           // or the pieces of these
	upload string          // and the part records of this upload
	part   string          // or one part record
	shard  int             // where the part records are
}

const choresMost = 4096

func startJanitor(s *Server) *janitor {
	j := &janitor{s: s, queue: make(chan chore, choresMost), quit: make(chan struct{}), ended: make(chan struct{})}
	go j.run()
	return j
}

// stop lets the janitor do what is queued until ctx ends.
func (j *janitor) stop(ctx context.Context) {
	j.once.Do(func() { close(j.quit) })
	select {
	case <-j.ended:
	case <-ctx.Done():
	}
}

func (j *janitor) put(c chore) {
	select {
	case j.queue <- c:
	default:
		j.lost.Add(1)
	}
}

// drop drops all pieces of an object's data.
func (j *janitor) drop(x *exchange, data string) { j.put(chore{volume: x.volume, data: data}) }

// dropRuns drops pieces that were stored for a record that was not written.
func (j *janitor) dropRuns(x *exchange, runs []run) {
	if len(runs) > 0 {
		j.put(chore{volume: x.volume, runs: runs})
	}
}

// dropPart drops a part whose upload has ended.
func (j *janitor) dropPart(x *exchange, upload string, p partRecord) {
	c := chore{volume: x.volume, part: partName(upload, &p), shard: x.objectHome()}
	if p.Size > 0 {
		c.runs = []run{{p.Base, p.Size, x.s.cfg.PieceBytes}}
	}
	j.put(c)
}

// dropUnused drops the records of an upload that has ended, and the pieces
// that the object does not use.
func (j *janitor) dropUnused(x *exchange, upload string, used []partRecord) {
	c := chore{volume: x.volume, data: upload, upload: upload, shard: x.objectHome(), except: map[string]bool{}}
	for _, p := range used {
		c.except[p.Base] = true
	}
	j.put(c)
}

func (j *janitor) run() {
	defer close(j.ended)
	for {
		select {
		case c := <-j.queue:
			j.do(c)
		case <-j.quit:
			for {
				select {
				case c := <-j.queue:
					j.do(c)
				default:
					return
				}
			}
		}
	}
}

// choreWait is how long a chore that was refused rests before its next try.
const (
	choreWait  = 200 * time.Millisecond
	choreTries = 5
)

func (j *janitor) do(c chore) {
	x := &exchange{s: j.s, c: &conn{s: j.s}, id: j.s.opt.Host.RunID() + "-janitor", volume: c.volume, began: time.Now(), from: time.Now()}
	for range choreTries {
		if j.attempt(x, &c) == nil {
			return
		}
		select {
		case <-time.After(choreWait):
		case <-j.quit:
		}
	}
	j.lost.Add(1)
	j.s.log.Warn("unused data left behind", "data", c.data, "upload", c.upload, "runs", len(c.runs))
}

// attempt does a chore; it may have been done in part before.
func (j *janitor) attempt(x *exchange, c *chore) error {
	for _, r := range c.runs {
		for i := range int((r.Size + r.Piece - 1) / r.Piece) {
			name := placement.Piece(r.Base, i)
			if err := j.removeOne(x, brick.SpacePieces, name, x.home(name)); err != nil {
				return err
			}
		}
	}
	if c.part != "" {
		if err := j.removeOne(x, brick.SpaceParts, c.part, c.shard); err != nil {
			return err
		}
	}
	if c.upload != "" {
		if err := j.removeAll(x, brick.SpaceParts, c.shard, c.upload+"/", nil); err != nil {
			return err
		}
	}
	if c.data == "" {
		return nil
	}
	for shard := range j.s.slots.Shards() {
		if err := j.removeAll(x, brick.SpacePieces, shard, c.data+"/", c.except); err != nil {
			return err
		}
	}
	return nil
}

func (j *janitor) removeOne(x *exchange, space, name string, shard int) error {
	x.renew()
	_, ok, err := x.remove(space, name, shard, 0)
	if ok {
		j.done.Add(1)
	}
	return err
}

// removeAll deletes what one shard has with a prefix, but those pieces whose
// base is excepted.
func (j *janitor) removeAll(x *exchange, space string, shard int, prefix string, except map[string]bool) error {
	list := brick.ListQuery{Prefix: prefix, MaxItems: keysMost}
	for {
		x.renew()
		page, err := x.page(space, shard, list)
		if err != nil {
			return err
		}
		for _, it := range page.Items {
			name := string(it.Name)
			list.After = name
			if dot := strings.LastIndexByte(name, '.'); dot >= 0 && except[name[:dot]] {
				continue
			}
			if err := j.removeOne(x, space, name, shard); err != nil {
				return err
			}
		}
		if !page.More {
			return nil
		}
	}
}
