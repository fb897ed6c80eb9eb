// Package ordering tracks the dependencies between a disk's concurrent requests,
// so that their results are those of running them one by one. Writes to the same
// extent run one after the other, because a brick accepts an extent's writes in
// the order of their numbers. A read waits for earlier writes of the bytes that
// it reads, a write for earlier reads of the bytes that it changes, and a flush
// for all earlier writes. The package has no side effects.
package ordering

// Kind is the kind of a request.
type Kind uint8

// Kinds of requests.
const (
	Read Kind = iota
	Write
	Flush
)

// Op is a request for Bytes bytes at Offset of the disk.
type Op struct {
	Kind          Kind
	Offset, Bytes int64
}

// Tracker holds the unfinished requests in the order of their arrival. It is not
// safe for concurrent use.
type Tracker struct {
	extentBytes int64
	pending     []*pendingOp
	free        []*pendingOp // for reuse
}

// pendingOp is an unfinished request.
type pendingOp struct {
	id       uint32
	op       Op
	blockers int // unfinished earlier requests that it waits for
	running  bool
}

// NewTracker returns an empty tracker for a disk whose extents have extentBytes
// bytes.
func NewTracker(extentBytes int64) *Tracker { return &Tracker{extentBytes: extentBytes} }

// Len returns the number of unfinished requests.
func (t *Tracker) Len() int { return len(t.pending) }

// blocks reports whether the request later must wait for the request earlier.
func (t *Tracker) blocks(earlier, later *Op) bool {
	switch {
	case later.Kind == Flush:
		return earlier.Kind == Write
	case earlier.Kind == Flush:
		return false
	case earlier.Kind == Read && later.Kind == Read:
		return false
	case earlier.Kind == Write && later.Kind == Write:
		return earlier.Offset/t.extentBytes <= (later.Offset+later.Bytes-1)/t.extentBytes && later.Offset/t.extentBytes <= (earlier.Offset+earlier.Bytes-1)/t.extentBytes
	}
	return earlier.Offset < later.Offset+later.Bytes && later.Offset < earlier.Offset+earlier.Bytes
}

// Add adds a request under an ID that the caller chooses and that no unfinished
// request has. It reports whether the request may run at once.
func (t *Tracker) Add(id uint32, op Op) bool {
	var added *pendingOp
	if n := len(t.free); n > 0 {
		added, t.free = t.free[n-1], t.free[:n-1]
	} else {
		added = &pendingOp{}
	}
	*added = pendingOp{id: id, op: op}
	for _, earlier := range t.pending {
		if t.blocks(&earlier.op, &op) {
			added.blockers++
		}
	}
	added.running = added.blockers == 0
	t.pending = append(t.pending, added)
	return added.running
}

// Complete removes a finished request and appends to ready the IDs of the requests
// that may run now. An unknown ID changes nothing.
func (t *Tracker) Complete(id uint32, ready []uint32) []uint32 {
	index := -1
	for i, e := range t.pending {
		if e.id == id {
			index = i
			break
		}
	}
	if index < 0 {
		return ready
	}
	finished := t.pending[index]
	for _, later := range t.pending[index+1:] {
		if !t.blocks(&finished.op, &later.op) {
			continue
		}
		if later.blockers--; later.blockers == 0 {
			later.running = true
			ready = append(ready, later.id)
		}
	}
	t.pending = append(t.pending[:index], t.pending[index+1:]...)
	t.free = append(t.free, finished)
	return ready
}
