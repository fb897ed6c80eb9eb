package discovery

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
)

// Options of a Follower.
type Options struct {
	Address string // of the agent
	Zones   *ZoneIndex
	Log     *slog.Logger
	// OnList is given each list, one at a time and in order.
	OnList func(kind arrowwalk.ListKind, index int64, members []host.Member)
	// OnAddresses is given the addresses of all bricks that have not left.
	OnAddresses  func(addresses []string)
	NoStartTimes bool // the bricks' starts are not told; for proofs that must fail
}

// Follower keeps a watch on the list, and opens it again when it ends.
type Follower struct {
	opt   Options
	stop  context.CancelFunc
	done  chan struct{}
	moved chan struct{}

	watches sync.WaitGroup

	mu      sync.Mutex
	address string
	index   int64 // of the last list
	book    book
	current *watch // the latest one
	old     *watch // at the address before; it serves until current has answered
	first   chan struct{}
	reached bool // first is closed
}

// Start follows the list from what was known on: known is told first, as a
// stored list. Stop ends it.
func Start(known *List, opt Options) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{opt: opt, stop: cancel, done: make(chan struct{}), book: book{}, address: opt.Address,
		index: known.Index, moved: make(chan struct{}, 1), first: make(chan struct{})}
	f.book.take(known)
	f.tell(arrowwalk.ListStored, known)
	go f.run(ctx)
	return f
}

// tell hands a list to the module.
func (f *Follower) tell(kind arrowwalk.ListKind, l *List) {
	members := l.Members(f.opt.Zones)
	for i := range members {
		if f.opt.NoStartTimes {
			members[i].Started = 0
		}
	}
	f.opt.OnList(kind, l.Index, members)
}

// Ready is closed when an agent has answered for the first time, and its
// list is told.
func (f *Follower) Ready() <-chan struct{} { return f.first }

// Stop ends all watches.
func (f *Follower) Stop() {
	f.stop()
	<-f.done
}

// SetAddress follows the agent at another address from now on; false: it is the one
// that is followed. The old watch serves until the new one has answered.
func (f *Follower) SetAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return false
	}
	f.address = address
	select {
	case f.moved <- struct{}{}:
	default:
	}
	return true
}

// run opens one watch after another until ctx ends.
func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	defer f.watches.Wait()
	var wait backoff
	logged := false
	for ctx.Err() == nil {
		f.mu.Lock()
		w := f.open(ctx, f.address)
		f.current = w
		f.mu.Unlock()
		moved, err := f.watched(w)
		if moved {
			wait, logged = backoff{}, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if logged = logged && w.lived == 0; !logged {
			f.opt.Log.Warn("the watch on discovery ended, asking again", "error", err)
			logged = true
		}
		if !f.pause(ctx, wait.next(w.lived)) {
			wait = backoff{}
		}
	}
}

// watched waits until w ends, or the address is another one than w's.
func (f *Follower) watched(w *watch) (moved bool, err error) {
	for {
		select {
		case <-f.moved:
			if f.leave(w) {
				return true, nil
			}
		case err := <-w.ended:
			return false, err
		}
	}
}

// pause waits; false: the address is another one now.
func (f *Follower) pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.moved:
		return false
	}
	return true
}

// leave ends w's time as the current watch, unless it is at the address that is
// followed: then it returns false. A watch that ever answered goes on until the
// one that comes next does.
func (f *Follower) leave(w *watch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.address == f.address {
		return false
	}
	if w.began.IsZero() {
		w.drop()
		return true
	}
	if f.old != nil {
		f.old.drop()
	}
	f.old = w
	return true
}

// version returns the index to ask from.
func (f *Follower) version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

// alive notes a sign of life. The first one of the current watch is the end of
// the old one's service.
func (f *Follower) alive(w *watch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered(w)
	f.ready(w)
}

// ready tells that what the current watch has brought so far is told; the
// caller holds f.mu.
func (f *Follower) ready(w *watch) {
	if w == f.current && !f.reached {
		f.reached = true
		close(f.first)
	}
}

// answered notes a sign of life; the caller holds f.mu.
func (f *Follower) answered(w *watch) {
	now := time.Now()
	if w.began.IsZero() {
		w.began = now
	}
	w.lived = max(now.Sub(w.began), 1)
	if w == f.current && f.old != nil {
		f.old.drop()
		f.old = nil
	}
}

// take takes a list of a watch, unless a newer watch has answered. A change
// that is older than what is known is passed over: the old watch has told it.
func (f *Follower) take(w *watch, l *List) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.dropped {
		return context.Canceled
	}
	f.answered(w)
	if l.Snapshot || l.Index >= f.index {
		f.index = l.Index
		f.tell(l.Kind(), l)
		f.book.take(l)
		f.opt.OnAddresses(f.book.addresses())
	}
	f.ready(w)
	return nil
}
