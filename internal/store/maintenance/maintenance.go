// Package maintenance runs the background work of an open store: it compacts
// segments and scrubs all blobs within a period, slowing down under live load.
// Package maintpolicy decides what to do and how fast.
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

// Options configures a Runner. A zero field except Store selects its default.
type Options struct {
	Store              *store.Store
	Load               func() maintpolicy.Load // current load of live requests; nil: always idle
	FreeBytes          func() (int64, error)   // free disk space; nil: as reported by the store
	ScrubPeriod        time.Duration           // time for one pass over all blobs; 0: a week
	CompactionInterval time.Duration           // time between two searches for a segment to compact; 0: 10 s
	LowFreeBytes       int64                   // free space below which compaction takes priority over live requests; 0: 1 GiB
	Log                *slog.Logger            // nil discards log messages
}

// Runner runs compaction and scrubbing of a store. It must be closed before the
// store.
type Runner struct {
	opt      Options
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	progress atomic.Pointer[Progress]
}

// Progress is the state of the scrubber. It is stored as a blob, so that the next
// start of the process continues the pass.
type Progress struct {
	StartMicros     int64          `json:"began"`  // start of the pass, microseconds since 1970; 0: no pass is running
	Position        store.Position `json:"at"`     // the last blob that was scrubbed
	ReadBytes       int64          `json:"bytes"`  // bytes read in the pass
	TotalBytes      int64          `json:"total"`  // bytes to read, counted at the start of the pass
	CompletedPasses int64          `json:"passes"` // completed passes
	LastPassMicros  int64          `json:"took"`   // duration of the last completed pass in microseconds
	DamagedBlobs    int64          `json:"bad"`    // blobs found damaged in the pass
}

// Space and name of the blob that holds the Progress.
const (
	progressSpace = "~"
	progressName  = "scrub"
)

const (
	saveInterval       = 30 * time.Second
	defaultScrubPeriod = 7 * 24 * time.Hour
)

// Start starts a Runner. The caller must close it.
func Start(opt Options) *Runner {
	if opt.Load == nil {
		opt.Load = func() maintpolicy.Load { return maintpolicy.Load{} }
	}
	if opt.FreeBytes == nil {
		opt.FreeBytes = opt.Store.FreeBytes
	}
	if opt.ScrubPeriod == 0 {
		opt.ScrubPeriod = defaultScrubPeriod
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
	r := &Runner{opt: opt, cancel: cancel}
	p := r.loadProgress()
	r.progress.Store(&p)
	r.wg.Add(2)
	go func() { defer r.wg.Done(); r.runCompactor(ctx) }()
	go func() { defer r.wg.Done(); r.runScrubber(ctx) }()
	return r
}

// Close stops the background work and waits for it. The progress of the running
// scrub pass is saved.
func (r *Runner) Close() {
	r.cancel()
	r.wg.Wait()
}

// Progress returns the state of the scrubber.
func (r *Runner) Progress() Progress { return *r.progress.Load() }

// loadProgress returns the stored progress, or a zero Progress if there is none
// or it cannot be read.
func (r *Runner) loadProgress() (p Progress) {
	blob, err := r.opt.Store.Get(progressSpace, progressName)
	if err != nil {
		return p
	}
	defer blob.Close()
	data, err := io.ReadAll(io.NewSectionReader(blob, 0, blob.Size))
	if err != nil || json.Unmarshal(data, &p) != nil {
		return Progress{}
	}
	return p
}

// saveProgress publishes the progress and stores it.
func (r *Runner) saveProgress(p Progress) {
	r.progress.Store(&p)
	data, err := json.Marshal(p)
	if err == nil {
		_, _, err = r.opt.Store.Put(context.Background(), progressSpace, store.Info{Name: progressName, Size: int64(len(data))}, bytes.NewReader(data), nil, store.Condition{})
	}
	if err != nil {
		r.opt.Log.Warn("scrub: failed to save progress", "error", err)
	}
}

// sleep waits for d. If ctx is done before, it returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runCompactor compacts at most one segment per interval until ctx is done.
func (r *Runner) runCompactor(ctx context.Context) {
	unreadable := map[uint32]bool{} // segments with unreadable records are not retried before a restart
	for sleep(ctx, r.opt.CompactionInterval) == nil {
		freeBytes, err := r.opt.FreeBytes()
		if err != nil {
			r.opt.Log.Warn("compaction: failed to determine free disk space", "error", err)
			continue
		}
		var candidates []maintpolicy.Segment
		for _, seg := range r.opt.Store.Segments() {
			if !unreadable[seg.Number] {
				candidates = append(candidates, seg)
			}
		}
		seg, ok := maintpolicy.ChooseSegment(candidates, freeBytes, maintpolicy.CompactionPolicy{LowFreeBytes: r.opt.LowFreeBytes})
		if !ok {
			continue
		}
		err = r.opt.Store.Compact(ctx, seg.Number, func(size int64) error {
			rate := maintpolicy.CompactionRate(r.opt.Load(), freeBytes < r.opt.LowFreeBytes)
			return sleep(ctx, time.Duration(float64(size)/rate*float64(time.Second)))
		})
		switch {
		case errors.Is(err, store.ErrCorrupt):
			unreadable[seg.Number] = true
			r.opt.Log.Error("compaction: segment has unreadable records and is kept", "segment", seg.Number, "error", err)
		case errors.Is(err, context.Canceled), errors.Is(err, store.ErrClosed):
			return
		case err != nil:
			r.opt.Log.Warn("compaction failed", "segment", seg.Number, "error", err)
		}
		if err := r.opt.Store.Checkpoint(); err != nil {
			r.opt.Log.Warn("compaction: checkpoint failed", "error", err)
		}
	}
}

// runScrubber runs one scrub pass per period until ctx is done.
func (r *Runner) runScrubber(ctx context.Context) {
	for ctx.Err() == nil {
		progress := r.Progress()
		if progress.StartMicros == 0 || progress.StartMicros > time.Now().UnixMicro() { // no pass to continue, or the clock was set back
			_, totalBytes := r.opt.Store.Usage()
			progress = Progress{StartMicros: time.Now().UnixMicro(), TotalBytes: totalBytes, CompletedPasses: progress.CompletedPasses, LastPassMicros: progress.LastPassMicros}
			r.saveProgress(progress)
		}
		if r.scrubPass(ctx, &progress) != nil {
			r.saveProgress(progress)
			return
		}
		progress.LastPassMicros = time.Now().UnixMicro() - progress.StartMicros
		progress.CompletedPasses++
		r.opt.Log.Info("scrub: pass completed", "bytes", progress.ReadBytes, "took", time.Duration(progress.LastPassMicros)*time.Microsecond, "bad", progress.DamagedBlobs)
		remaining := r.opt.ScrubPeriod - time.Duration(progress.LastPassMicros)*time.Microsecond
		progress.StartMicros, progress.Position = 0, store.Position{}
		r.saveProgress(progress)
		if sleep(ctx, max(remaining, time.Second)) != nil {
			return
		}
	}
}

// scrubPass continues the pass from p to its end and updates p.
func (r *Runner) scrubPass(ctx context.Context, progress *Progress) error {
	pacer := &maintpolicy.ScrubPacer{TotalBytes: progress.TotalBytes, Deadline: r.opt.ScrubPeriod}
	lastSave, budget := time.Now(), int64(0)
	throttle := func(size int64) error {
		for budget < size {
			granted, interval := pacer.NextBudget(time.Duration(time.Now().UnixMicro()-progress.StartMicros)*time.Microsecond, progress.ReadBytes, r.opt.Load())
			if granted == 0 { // written after the pass started: read without a limit
				granted = size
			}
			if err := sleep(ctx, interval); err != nil {
				return err
			}
			budget += granted
		}
		budget -= size
		progress.ReadBytes += size
		return nil
	}
	for {
		next, _, ok := r.opt.Store.NextBlob(progress.Position)
		if !ok {
			return nil
		}
		switch err := r.opt.Store.Verify(next, throttle); {
		case errors.Is(err, store.ErrCorrupt):
			progress.DamagedBlobs++ // the store has logged its location; there is no copy to repair it from
		case err != nil && ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			r.opt.Log.Warn("scrub: failed to read blob", "space", next.Space, "name", next.Name, "error", err)
		}
		progress.Position = next
		if err := ctx.Err(); err != nil {
			return err
		}
		if time.Since(lastSave) > saveInterval {
			lastSave = time.Now()
			r.saveProgress(*progress)
		}
		snapshot := *progress
		r.progress.Store(&snapshot)
	}
}
