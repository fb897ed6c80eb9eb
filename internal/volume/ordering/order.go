// Package order lets requests of a disk run side by side as far as nobody can
// tell: a request waits for each earlier one that it must not overtake. Writes
// of one extent run one after the other, since a brick takes an extent's writes
// by number; a read waits for earlier writes of the bytes that it reads, and a
// write for earlier reads of the bytes that it changes; a flush waits for all
// earlier writes. It is pure.
package ordering

// Kind is what a request does.
type Kind uint8

// The kinds.
const (
	Read Kind = iota
	Write
	Flush
)

// Op is a request: Bytes bytes from From.
type Op struct {
	Kind          Kind
	Offset, Bytes int64
}

// Tracker holds the requests that are not done, in the order in which they came.
type Tracker struct {
	extent int64
	list   []*entry
	free   []*entry
}

type entry struct {
	id   uint32
	op   Op
	wait int // earlier requests that it must not overtake
	runs bool
}

// NewTracker returns an empty board for extents of so many bytes.
func NewTracker(extent int64) *Tracker { return &Tracker{extent: extent} }

// Len returns the number of requests that are not done.
func (b *Tracker) Len() int { return len(b.list) }

// holds tells whether an earlier request holds a later one back.
func (b *Tracker) holds(early, late *Op) bool {
	switch {
	case late.Kind == Flush:
		return early.Kind == Write
	case early.Kind == Flush:
		return false
	case early.Kind == Read && late.Kind == Read:
		return false
	case early.Kind == Write && late.Kind == Write:
		return early.Offset/b.extent <= (late.Offset+late.Bytes-1)/b.extent && late.Offset/b.extent <= (early.Offset+early.Bytes-1)/b.extent
	}
	return early.Offset < late.Offset+late.Bytes && late.Offset < early.Offset+early.Bytes
}

// Add takes in a request under a number of the caller's, and tells whether it
// may run at once.
func (b *Tracker) Add(id uint32, op Op) bool {
	var e *entry
	if n := len(b.free); n > 0 {
		e, b.free = b.free[n-1], b.free[:n-1]
	} else {
		e = &entry{}
	}
	*e = entry{id: id, op: op}
	for _, early := range b.list {
		if b.holds(&early.op, &op) {
			e.wait++
		}
	}
	e.runs = e.wait == 0
	b.list = append(b.list, e)
	return e.runs
}

// Complete takes a request off the board, and appends those that may run now.
func (b *Tracker) Complete(id uint32, ready []uint32) []uint32 {
	at := -1
	for i, e := range b.list {
		if e.id == id {
			at = i
			break
		}
	}
	if at < 0 {
		return ready
	}
	done := b.list[at]
	for _, late := range b.list[at+1:] {
		if !b.holds(&done.op, &late.op) {
			continue
		}
		if late.wait--; late.wait == 0 {
			late.runs = true
			ready = append(ready, late.id)
		}
	}
	b.list = append(b.list[:at], b.list[at+1:]...)
	b.free = append(b.free, done)
	return ready
}
