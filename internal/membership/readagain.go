package membership

import (
	"sync"
	"time"
)

// maxReadAgain bounds the time after a stall for which the host sends nothing because its
// source of lists cannot be read. A source that is out of reach for longer counts as
// away, and the last list stays in force.
const maxReadAgain = 5 * time.Second

// readRequests is what a Tracker knows about reading its source again after a stall of
// the process.
type readRequests struct {
	requested chan struct{} // buffered; signals that the source has to be read again

	mu           *sync.Mutex
	read         func()    // makes the source read; nil if there is none to read
	failingSince time.Time // first failure after the last success; zero if there was none

	giveUpAt time.Time // owned by the tracker's goroutine; zero if no reading is awaited
}

func newReadRequests() readRequests {
	return readRequests{requested: make(chan struct{}, 1), mu: &sync.Mutex{}}
}

func (r *readRequests) noteFailure(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		r.failingSince = at
	}
}

func (r *readRequests) noteSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failingSince = time.Time{}
}

// listConfirmation says that a source was read, and has nothing new to say.
type listConfirmation struct{ readAt time.Time }

// Confirm reports that a source was read at a time and that its list has not changed.
func (t *Tracker) Confirm(readAt time.Time) {
	t.reading.noteSuccess()
	t.send(listConfirmation{readAt})
}

// SetReader sets what makes the source of lists be read at once.
func (t *Tracker) SetReader(read func()) {
	t.reading.mu.Lock()
	defer t.reading.mu.Unlock()
	t.reading.read = read
}

// ReadAgain implements host.ListSource.
func (t *Tracker) ReadAgain(start time.Time) bool {
	t.reading.mu.Lock()
	defer t.reading.mu.Unlock()
	if t.reading.read == nil || !t.reading.failingSince.IsZero() && t.reading.failingSince.Before(start) {
		return false
	}
	select {
	case t.reading.requested <- struct{}{}:
	default:
	}
	return true
}

// readAgain makes the source be read.
func (t *Tracker) readAgain() {
	t.reading.giveUpAt = time.Now().Add(maxReadAgain)
	t.reading.mu.Lock()
	read := t.reading.read
	t.reading.mu.Unlock()
	read()
}

// handleConfirmation tells the host when the source was read.
func (t *Tracker) handleConfirmation(readAt time.Time) {
	if t.reading.giveUpAt.IsZero() {
		return
	}
	t.opts.Host.ConfirmLists(readAt)
	if readAt.Add(maxReadAgain).After(t.reading.giveUpAt) { // it began after the request
		t.reading.giveUpAt = time.Time{}
	}
}

// giveUpReading lets the host go on with the last list if its source was not read in time.
func (t *Tracker) giveUpReading() {
	if t.reading.giveUpAt.IsZero() || time.Now().Before(t.reading.giveUpAt) {
		return
	}
	t.log.Warn("node list was not read again after a stall, the last one stays in force", "for", maxReadAgain)
	t.reading.giveUpAt = time.Time{}
	t.opts.Host.ConfirmLists(time.Now())
}
