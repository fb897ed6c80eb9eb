package discovery

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
)

// Options configures a Follower.
type Options struct {
	Address string // of the agent
	Zones   *ZoneIndex
	Log     *slog.Logger
	// OnList is called with each list, one at a time and in order.
	OnList func(kind arrowwalk.ListKind, index int64, members []host.Member)
	// OnAddresses is called with the addresses of all bricks that have not left,
	// after each list from an agent.
	OnAddresses func(addresses []string)
	// Host is told of each connection to an agent, so that after a stall lists that have
	// arrived are read first; nil: none is.
	Host         *host.Host
	NoStartTimes bool // omit the bricks' start times; for negative tests only
}

// Follower keeps a watch on the list of bricks and reopens it when it ends. It is
// safe for concurrent use.
type Follower struct {
	opt            Options
	cancel         context.CancelFunc
	done           chan struct{} // closed when all watches have ended
	addressChanged chan struct{} // buffered; signals a new address

	watches sync.WaitGroup

	mu          sync.Mutex
	address     string
	index       int64 // of the latest list
	addresses   addressBook
	current     *watch // opened last
	previous    *watch // at the previous address; used until current delivers data
	ready       chan struct{}
	readyClosed bool
}

// Start delivers known as a stored list and then follows the agent's list from its
// index on, until Stop.
func Start(known *List, opt Options) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{opt: opt, cancel: cancel, done: make(chan struct{}), addresses: addressBook{}, address: opt.Address,
		index: known.Index, addressChanged: make(chan struct{}, 1), ready: make(chan struct{})}
	f.addresses.apply(known)
	f.deliver(arrowwalk.ListStored, known)
	go f.run(ctx)
	return f
}

// deliver passes a list to the OnList callback.
func (f *Follower) deliver(kind arrowwalk.ListKind, l *List) {
	members := l.Members(f.opt.Zones)
	for i := range members {
		if f.opt.NoStartTimes {
			members[i].Started = 0
		}
	}
	f.opt.OnList(kind, l.Index, members)
}

// Ready returns a channel that is closed when an agent has sent data for the first
// time and its list, if any, has been delivered.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Stop ends all watches and waits for them.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// SetAddress makes the Follower use the agent at another address. It returns false
// if that address is already in use. The previous watch is used until the new one
// delivers data.
func (f *Follower) SetAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return false
	}
	f.address = address
	select {
	case f.addressChanged <- struct{}{}:
	default:
	}
	return true
}

// run opens one watch after another until ctx ends.
func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	defer f.watches.Wait()
	var retry backoff
	logged := false
	for ctx.Err() == nil {
		f.mu.Lock()
		w := f.open(ctx, f.address)
		f.current = w
		f.mu.Unlock()
		changed, err := f.waitForEnd(w)
		if changed {
			retry, logged = backoff{}, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if logged = logged && w.alive == 0; !logged {
			f.opt.Log.Warn("watch on discovery ended, reconnecting", "error", err)
			logged = true
		}
		if !f.sleep(ctx, retry.next(time.Since(w.opened))) {
			retry = backoff{}
		}
	}
}

// waitForEnd waits until w ends or the address changes from w's to another.
func (f *Follower) waitForEnd(w *watch) (changed bool, err error) {
	for {
		select {
		case <-f.addressChanged:
			if f.replace(w) {
				return true, nil
			}
		case err := <-w.ended:
			return false, err
		}
	}
}

// sleep waits for d or until ctx ends. It returns false at once if the address
// changes.
func (f *Follower) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.addressChanged:
		return false
	}
	return true
}

// replace makes w the previous watch and returns true, or returns false if w's
// address is the one to use. If w never received data, it is dropped; otherwise it
// goes on until the next watch receives data.
func (f *Follower) replace(w *watch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.address == f.address {
		return false
	}
	if w.began.IsZero() {
		w.drop()
		return true
	}
	if f.previous != nil {
		f.previous.drop()
	}
	f.previous = w
	return true
}

// currentIndex returns the index from which a new watch requests changes.
func (f *Follower) currentIndex() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.index
}

// markAlive records that w received data that shows its agent to be alive.
func (f *Follower) markAlive(w *watch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordData(w)
	f.signalReady(w)
}

// signalReady closes the Ready channel if w is the current watch. The caller holds
// f.mu and has delivered what w received so far.
func (f *Follower) signalReady(w *watch) {
	if w == f.current && !f.readyClosed {
		f.readyClosed = true
		close(f.ready)
	}
}

// recordData updates w's times. If w is the current watch, it also drops the
// previous one. The caller holds f.mu.
func (f *Follower) recordData(w *watch) {
	now := time.Now()
	if w.began.IsZero() {
		w.began = now
	}
	w.alive = max(now.Sub(w.began), 1)
	if w == f.current && f.previous != nil {
		f.previous.drop()
		f.previous = nil
	}
}

// applyList delivers a list that w received, unless w was dropped. A delta that is
// older than the current index is ignored, since the previous watch has delivered
// it.
func (f *Follower) applyList(w *watch, l *List) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.dropped {
		return context.Canceled
	}
	f.recordData(w)
	if l.Snapshot || l.Index >= f.index {
		f.index = l.Index
		f.deliver(l.Kind(), l)
		f.addresses.apply(l)
		f.opt.OnAddresses(f.addresses.addresses())
	}
	f.signalReady(w)
	return nil
}
