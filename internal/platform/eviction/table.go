// Package eviction decides which client connections are closed when descriptors
// run short, and whether there is memory for one more body. It does no I/O and
// reads no clock: the caller supplies the times, in microseconds.
package eviction

import "container/list"

// State is the state of a client connection.
type State int

const (
	// StateNew is a connection on which nothing has been received yet.
	StateNew State = iota
	// StateFirstRequest is a connection whose first request is being received.
	StateFirstRequest
	// StateIdle is a connection between requests, after at least one response.
	StateIdle
	// StateReading is a connection that is receiving a request other than its
	// first.
	StateReading
	// StateWaiting is a connection whose request has been received and not yet
	// answered. It is never evicted.
	StateWaiting
	// StateClosing is a connection that had its last response and is being closed.
	StateClosing
	numStates
)

// MinIdleMicros is how long a connection must have been idle before it may be
// closed, in microseconds. The platform's rules prescribe it.
const MinIdleMicros = 2_000_000

// Table keeps the connections in one list for each state, ordered by the time at
// which they entered it. It is not safe for concurrent use.
type Table[C any] struct {
	maxConns      int
	idleThreshold int // number of connections from which idle ones are evicted
	lists         [numStates]list.List
	count         int
}

// Entry is a connection's entry in a Table.
type Entry[C any] struct {
	Conn    C
	state   State
	since   int64         // when the connection entered the state
	element *list.Element // in the state's list; nil after removal
}

// NewTable returns a Table for at most maxConns connections, which evicts idle
// ones when there are idleThreshold or more.
func NewTable[C any](maxConns, idleThreshold int) *Table[C] {
	return &Table[C]{maxConns: maxConns, idleThreshold: idleThreshold}
}

// Add adds a connection in StateNew.
func (t *Table[C]) Add(c C, now int64) *Entry[C] {
	e := &Entry[C]{Conn: c, state: StateNew, since: now}
	e.element = t.lists[StateNew].PushBack(e)
	t.count++
	return e
}

// SetState changes a connection's state, unless it was removed.
func (t *Table[C]) SetState(e *Entry[C], to State, now int64) {
	if e.element == nil {
		return
	}
	t.lists[e.state].Remove(e.element)
	e.state, e.since = to, now
	e.element = t.lists[to].PushBack(e)
}

// Remove removes a connection; removing it again has no effect.
func (t *Table[C]) Remove(e *Entry[C]) {
	if e.element == nil {
		return
	}
	t.lists[e.state].Remove(e.element)
	e.element = nil
	t.count--
}

// State returns a connection's state, and false if it was removed.
func (t *Table[C]) State(e *Entry[C]) (State, bool) { return e.state, e.element != nil }

// Count returns the number of connections.
func (t *Table[C]) Count() int { return t.count }

// CountIn returns the number of connections in a state.
func (t *Table[C]) CountIn(s State) int { return t.lists[s].Len() }

// EachVictim calls yield with the connections to evict for one more connection,
// best candidates first, until yield returns false. Below the idle threshold
// there are none. From the threshold on they are the connections that have been
// idle for MinIdleMicros. At the limit they are, oldest first within each state:
// connections being closed, idle ones, new ones, those receiving their first
// request and those receiving a later one. A connection with an unanswered
// request is never a victim. yield may remove or move the entry.
func (t *Table[C]) EachVictim(now int64, yield func(*Entry[C]) bool) {
	if t.count < t.idleThreshold {
		return
	}
	order := []State{StateIdle}
	if t.count >= t.maxConns {
		order = []State{StateClosing, StateIdle, StateNew, StateFirstRequest, StateReading}
	}
	for _, state := range order {
		for element := t.lists[state].Front(); element != nil; {
			e := element.Value.(*Entry[C])
			element = element.Next() // before yield, which may remove e
			if state == StateIdle && now-e.since < MinIdleMicros {
				break
			}
			if !yield(e) {
				return
			}
		}
	}
}

// ShouldKeep reports whether a connection is kept open after a response instead
// of asking its client to reconnect. An idle connection may not be closed before
// MinIdleMicros, so keeping all of them would leave most connections idle. From
// the idle threshold on a connection is closed after its first response, since
// nothing shows that its client will send another request; from one and a half
// times the threshold on, every connection is.
func (t *Table[C]) ShouldKeep(first bool) bool {
	return t.count < t.idleThreshold || !first && t.count < t.idleThreshold+t.idleThreshold/2
}

// IsFull reports whether the limit of connections is reached.
func (t *Table[C]) IsFull() bool { return t.count >= t.maxConns }

// ForEach calls fn with every connection in a state; fn may move or remove it.
func (t *Table[C]) ForEach(s State, fn func(*Entry[C])) {
	for element := t.lists[s].Front(); element != nil; {
		e := element.Value.(*Entry[C])
		element = element.Next()
		fn(e)
	}
}
