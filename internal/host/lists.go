package host

import (
	"sync"
	"time"
)

// maxListWait bounds the time after a stall for which the module is not stepped because
// a node list may lie unread.
const maxListWait = 50 * time.Millisecond

// listSources are the connections on which node lists arrive. After a stall they are
// read first, so that no request goes to a node that is known to be draining.
type listSources struct {
	mu      sync.Mutex
	sources map[Source]struct{}
	read    chan struct{} // buffered; signals that a source was read or removed
}

func (l *listSources) init() {
	l.sources = map[Source]struct{}{}
	l.read = make(chan struct{}, 1)
}

// AddListSource makes s known as a connection on which node lists arrive, which are
// handed over with Nodes. Call RemoveListSource when s is closed.
func (h *Host) AddListSource(s Source) {
	h.lists.mu.Lock()
	h.lists.sources[s] = struct{}{}
	h.lists.mu.Unlock()
}

// RemoveListSource forgets s.
func (h *Host) RemoveListSource(s Source) {
	h.lists.mu.Lock()
	delete(h.lists.sources, s)
	h.lists.mu.Unlock()
	h.ListSourceRead(s)
}

// ListSourceRead reports that everything that has arrived on s was handed over.
func (h *Host) ListSourceRead(Source) {
	select {
	case h.lists.read <- struct{}{}:
	default:
	}
}

// mayHoldList reports whether a node list may lie unread.
func (l *listSources) mayHoldList() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sources {
		if s.MayHoldData() {
			return true
		}
	}
	return false
}

// awaitLists waits, for a bounded time, until all node lists that have arrived are
// queued for the module.
func (h *Host) awaitLists() {
	if !h.lists.mayHoldList() {
		return
	}
	timer := time.NewTimer(maxListWait)
	defer timer.Stop()
	for h.lists.mayHoldList() {
		select {
		case <-h.lists.read:
		case <-timer.C:
			return
		case <-h.quit:
			return
		}
	}
}
