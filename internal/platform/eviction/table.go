// Package giveway decides which client's connection gives way when descriptors
// run short, and whether there is memory for one more body. It is free of I/O
// and clock: times are its caller's, in microseconds.
package eviction

import "container/list"

// State is what a connection is doing.
type State int

const (
	// StateNew connections have not sent anything yet.
	StateNew State = iota
	// StateFirstRequest connections are inside their first request.
	StateFirstRequest
	// StateIdle connections had an answer and are between requests.
	StateIdle
	// StateReading connections are inside a request that is not their first.
	StateReading
	// StateWaiting connections have a request that was read and is owed its answer:
	// they never give way.
	StateWaiting
	// StateClosing connections had their last answer and are being closed.
	StateClosing
	stages
)

// MinIdleMicros is how long a connection must have been without a request before
// it may be closed, microseconds (the platform's page of days).
const MinIdleMicros = 2_000_000

// Table holds the connections by stage, each list by how long they have been
// in it. It is not safe for concurrent use.
type Table[C any] struct {
	most  int // connections
	easy  int // from this number on idle ones give way
	lists [stages]list.List
	count int
}

// Entry is a connection's place in a Table.
type Entry[C any] struct {
	Conn  C
	stage State
	since int64
	place *list.Element
}

// NewTable returns a Table of at most most connections, of which idle ones give
// way from easy on.
func NewTable[C any](most, easy int) *Table[C] {
	return &Table[C]{most: most, easy: easy}
}

// Add takes a new connection in.
func (t *Table[C]) Add(c C, now int64) *Entry[C] {
	e := &Entry[C]{Conn: c, stage: StateNew, since: now}
	e.place = t.lists[StateNew].PushBack(e)
	t.count++
	return e
}

// SetState changes a connection's stage.
func (t *Table[C]) SetState(e *Entry[C], to State, now int64) {
	if e.place == nil {
		return
	}
	t.lists[e.stage].Remove(e.place)
	e.stage, e.since = to, now
	e.place = t.lists[to].PushBack(e)
}

// Remove forgets a connection; it may be called twice.
func (t *Table[C]) Remove(e *Entry[C]) {
	if e.place == nil {
		return
	}
	t.lists[e.stage].Remove(e.place)
	e.place = nil
	t.count--
}

// State returns what a connection is doing; false: it was removed.
func (t *Table[C]) State(e *Entry[C]) (State, bool) { return e.stage, e.place != nil }

// Count returns how many connections there are.
func (t *Table[C]) Count() int { return t.count }

// CountIn returns how many connections are in a stage.
func (t *Table[C]) CountIn(s State) int { return t.lists[s].Len() }

// EachVictim calls yield with the connections that should give way for one more,
// the first choice first, until it returns false. Below the easy bound there are
// none; from there on, those idle for long; at the bound, also
// those that are being closed, and, oldest first, those that never sent
// anything, those inside their first request, then those inside a later one. One with an open request never
// gives way.
func (t *Table[C]) EachVictim(now int64, yield func(*Entry[C]) bool) {
	if t.count < t.easy {
		return
	}
	order := []State{StateIdle}
	if t.count >= t.most {
		order = []State{StateClosing, StateIdle, StateNew, StateFirstRequest, StateReading}
	}
	for _, stage := range order {
		for at := t.lists[stage].Front(); at != nil; {
			e := at.Value.(*Entry[C])
			at = at.Next() // yield may remove e
			if stage == StateIdle && now-e.since < MinIdleMicros {
				break
			}
			if !yield(e) {
				return
			}
		}
	}
}

// ShouldKeep tells whether a connection is kept after an answer, or its client told
// to connect anew: it may not be closed between requests for a while, and most
// of what clients hold would be idle. From the easy bound on those that had
// their first answer are not kept, as nothing shows that they will ask again;
// from half as many more on, none is.
func (t *Table[C]) ShouldKeep(first bool) bool {
	return t.count < t.easy || !first && t.count < t.easy+t.easy/2
}

// IsFull tells whether no more connections may be held.
func (t *Table[C]) IsFull() bool { return t.count >= t.most }

// ForEach calls do with every connection in a stage; do may move or remove it.
func (t *Table[C]) ForEach(s State, do func(*Entry[C])) {
	for at := t.lists[s].Front(); at != nil; {
		e := at.Value.(*Entry[C])
		at = at.Next()
		do(e)
	}
}
