// Package keeper looks after an open store: it compacts what is worth it and
// scrubs all of it within a time, stepping aside for live work. What to do and
// how fast is decided in internal/store/tidy.
package maintenance

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/store"
	"arrowwalk/internal/store/maintpolicy"
)

// Options of a keeper.
type Options struct {
	Store              *store.Store
	Load               func() maintpolicy.Load // what the brick sees of live work; nil: none
	FreeBytes          func() (int64, error)   // bytes free; nil: what the store's disk says
	ScrubPeriod        time.Duration           // in which all is read once; 0: a week
	CompactionInterval time.Duration           // between two looks for what to compact; 0: 10 s
	LowFreeBytes       int64                   // free bytes below which room comes first; 0: 1 GiB
	Log                *slog.Logger
}

// Runner is a running keeper; the caller closes it before the store.
type Runner struct {
	opt    Options
	cancel context.CancelFunc
	wg     sync.WaitGroup
	state  atomic.Pointer[Progress]
}

// Progress is where the scrubber is; it is kept in the store and taken up
// again by the next start.
type Progress struct {
	StartMicros     int64          `json:"began"` // of the pass, microseconds since 1970
	Position        store.Position `json:"at"`
	ReadBytes       int64          `json:"bytes"`  // read in the pass
	TotalBytes      int64          `json:"total"`  // to be read, as counted at its start
	CompletedPasses int64          `json:"passes"` // that have ended
	LastPassMicros  int64          `json:"took"`   // by the last one, microseconds
	DamagedBlobs    int64          `json:"bad"`    // blobs found damaged in this pass
}

// Space and name of the progress in the store.
const (
	stateSpace = "~"
	stateName  = "scrub"
)

const (
	saveEvery = 30 * time.Second
	week      = 7 * 24 * time.Hour
)

// Start starts a keeper.
func Start(opt Options) *Runner {
	if opt.Load == nil {
		opt.Load = func() maintpolicy.Load { return maintpolicy.Load{} }
	}
	if opt.FreeBytes == nil {
		opt.FreeBytes = opt.Store.FreeBytes
	}
	if opt.ScrubPeriod == 0 {
		opt.ScrubPeriod = week
	}
	if opt.CompactionInterval == 0 {
		opt.CompactionInterval = 10 * time.Second
	}
	if opt.LowFreeBytes == 0 {
		opt.LowFreeBytes = 1 << 30
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Runner{opt: opt, cancel: cancel}
	p := k.load()
	k.state.Store(&p)
	k.wg.Add(2)
	go func() { defer k.wg.Done(); k.compact(ctx) }()
	go func() { defer k.wg.Done(); k.scrub(ctx) }()
	return k
}

// Close ends the keeper's work where it is.
func (k *Runner) Close() {
	k.cancel()
	k.wg.Wait()
}

// Progress returns where the scrubber is.
func (k *Runner) Progress() Progress { return *k.state.Load() }

func (k *Runner) load() (p Progress) {
	b, err := k.opt.Store.Get(stateSpace, stateName)
	if err != nil {
		return p
	}
	defer b.Close()
	text, err := io.ReadAll(io.NewSectionReader(b, 0, b.Size))
	if err != nil || json.Unmarshal(text, &p) != nil {
		return Progress{}
	}
	return p
}

func (k *Runner) save(p Progress) {
	k.state.Store(&p)
	text, err := json.Marshal(p)
	if err == nil {
		_, _, err = k.opt.Store.Put(context.Background(), stateSpace, store.Info{Name: stateName, Size: int64(len(text))}, bytes.NewReader(text), nil, store.Condition{})
	}
	if err != nil {
		k.opt.Log.Warn("scrub: its progress was not kept", "error", err)
	}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// compact looks again and again for a segment that is worth it.
func (k *Runner) compact(ctx context.Context) {
	hurt := map[uint32]bool{} // what cannot be moved is not tried again before a restart
	for pause(ctx, k.opt.CompactionInterval) == nil {
		free, err := k.opt.FreeBytes()
		if err != nil {
			k.opt.Log.Warn("compaction: the disk does not say what is free", "error", err)
			continue
		}
		var list []maintpolicy.Segment
		for _, seg := range k.opt.Store.Segments() {
			if !hurt[seg.Number] {
				list = append(list, seg)
			}
		}
		seg, ok := maintpolicy.ChooseSegment(list, free, maintpolicy.CompactionPolicy{LowFreeBytes: k.opt.LowFreeBytes})
		if !ok {
			continue
		}
		err = k.opt.Store.Compact(ctx, seg.Number, func(n int64) error {
			rate := maintpolicy.CompactionRate(k.opt.Load(), free < k.opt.LowFreeBytes)
			return pause(ctx, time.Duration(float64(n)/rate*float64(time.Second)))
		})
		switch {
		case errors.Is(err, store.ErrCorrupt):
			hurt[seg.Number] = true
			k.opt.Log.Error("compaction: a segment holds what cannot be read and stays", "segment", seg.Number, "error", err)
		case errors.Is(err, context.Canceled), errors.Is(err, store.ErrClosed):
			return
		case err != nil:
			k.opt.Log.Warn("compaction failed", "segment", seg.Number, "error", err)
		}
		if err := k.opt.Store.Checkpoint(); err != nil {
			k.opt.Log.Warn("compaction: no checkpoint", "error", err)
		}
	}
}

// scrub reads all, again and again.
func (k *Runner) scrub(ctx context.Context) {
	for ctx.Err() == nil {
		p := k.Progress()
		if p.StartMicros == 0 || p.StartMicros > time.Now().UnixMicro() { // none, or the clock was set back
			_, total := k.opt.Store.Usage()
			p = Progress{StartMicros: time.Now().UnixMicro(), TotalBytes: total, CompletedPasses: p.CompletedPasses, LastPassMicros: p.LastPassMicros}
			k.save(p)
		}
		if k.pass(ctx, &p) != nil {
			k.save(p)
			return
		}
		p.LastPassMicros = time.Now().UnixMicro() - p.StartMicros
		p.CompletedPasses++
		k.opt.Log.Info("scrub: a pass ended", "bytes", p.ReadBytes, "took", time.Duration(p.LastPassMicros)*time.Microsecond, "bad", p.DamagedBlobs)
		rest := k.opt.ScrubPeriod - time.Duration(p.LastPassMicros)*time.Microsecond
		p.StartMicros, p.Position = 0, store.Position{}
		k.save(p)
		if pause(ctx, max(rest, time.Second)) != nil {
			return
		}
	}
}

// pass goes on from p to the end.
func (k *Runner) pass(ctx context.Context, p *Progress) error {
	pace := &maintpolicy.ScrubPacer{TotalBytes: p.TotalBytes, Deadline: k.opt.ScrubPeriod}
	saved, credit := time.Now(), int64(0)
	wait := func(n int64) error {
		for credit < n {
			more, per := pace.NextBudget(time.Duration(time.Now().UnixMicro()-p.StartMicros)*time.Microsecond, p.ReadBytes, k.opt.Load())
			if more == 0 { // written since the pass began: as fast as its end
				more = n
			}
			if err := pause(ctx, per); err != nil {
				return err
			}
			credit += more
		}
		credit -= n
		p.ReadBytes += n
		return nil
	}
	for {
		next, _, ok := k.opt.Store.NextBlob(p.Position)
		if !ok {
			return nil
		}
		switch err := k.opt.Store.Verify(next, wait); {
		case errors.Is(err, store.ErrCorrupt):
			p.DamagedBlobs++ // told by the store, with its place; nothing is repaired by guess
		case err != nil && ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			k.opt.Log.Warn("scrub: a blob could not be read", "space", next.Space, "name", next.Name, "error", err)
		}
		p.Position = next
		if err := ctx.Err(); err != nil {
			return err
		}
		if time.Since(saved) > saveEvery {
			saved = time.Now()
			k.save(*p)
		}
		now := *p
		k.state.Store(&now)
	}
}
