// Package drains decides what state a brick is in, out of what an operator
// ordered, what discovery says and what the brick says of itself. It is pure:
// the same orders and words, in the same order, give the same states, so a
// record of orders can be played again after a crash.
//
// Precedence, strongest first:
//
//  1. gone: discovery no longer names the brick
//  2. drained by hand, until it is undrained by hand
//  3. discovery says that it drains
//  4. the brick says that it drains
//  5. ready
//
// An operator's undrain takes back the hand's order and the brick's own word,
// which nobody else would: a brick that discovery drains stays drained, and the
// answer says so.
package drains

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// State is what may be sent to a brick.
type State string

// The states.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Origin says whose word a state follows from.
type Origin string

// Whose word it is.
const (
	ByOperator  Origin = "hand"
	ByDiscovery Origin = "discovery"
	ByBrick     Origin = "brick"
	ByNone      Origin = ""
)

// Kind is what an order asks for.
type Kind string

// The kinds of orders.
const (
	Drain   Kind = "drain"
	Undrain Kind = "undrain"
	Cancel  Kind = "cancel" // takes back one drain, by its number, if it is still in force
)

// Order is an operator's command.
type Order struct {
	ID       string `json:"id"` // the sender's: the same one again has the same answer
	Kind     Kind   `json:"kind"`
	Brick    string `json:"brick"`
	Number   int64  `json:"number,omitempty"` // of Cancel: the drain that is meant
	Force    bool   `json:"force,omitempty"`  // also where data can no longer be reached
	Operator string `json:"who"`
	At       int64  `json:"at"` // microseconds since 1970
	Reason   string `json:"reason,omitempty"`
}

// Status is a brick's state and why it is so.
type Status struct {
	Brick        string   `json:"brick"`
	Shard        int      `json:"shard"`
	State        State    `json:"state"`
	Origin       Origin   `json:"by,omitempty"`
	Operator     string   `json:"who,omitempty"`    // of ByHand
	Since        int64    `json:"since,omitempty"`  // of ByHand, microseconds since 1970
	Number       int64    `json:"number,omitempty"` // of ByHand: the order
	OtherOrigins []Origin `json:"also,omitempty"`   // who else says that it drains
}

// Result is what became of an order.
type Result struct {
	Number  int64  `json:"number"` // of the order, from 1; 0: it was not taken
	Changed bool   `json:"done"`   // it changed something
	Note    string `json:"note,omitempty"`
	Before  Status `json:"before"`
	After   Status `json:"after"`
}

// Refusal is an order that was not taken.
type Refusal struct {
	Code   string // no_such_brick, unreachable, stale or bad_order
	Reason string
}

func (r *Refusal) Error() string { return r.Reason }

// hand is a drain by hand that is in force.
type hand struct {
	number int64
	who    string
	at     int64
}

// word is what others say of a brick.
type word struct {
	shard     int
	discovery State
	started   int64
	self      bool // the brick says that it drains
}

// Registry holds all orders in force and all words.
type Registry struct {
	hands map[string]hand
	words map[string]word
	last  int64             // number of the last order
	seen  map[string]Result // by the sender's id
	order []string          // of seen, oldest first
}

// seenMost is how many orders are remembered for repeats.
const seenMost = 1024

// NewRegistry returns an empty board.
func NewRegistry() *Registry {
	return &Registry{hands: map[string]hand{}, words: map[string]word{}, seen: map[string]Result{}}
}

// Brick is what discovery says of one brick.
type Brick struct {
	Name    string
	Shard   int
	State   State
	Started int64 // a brick that has started anew takes its word back
}

// UpdateBricks takes in a complete list.
func (b *Registry) UpdateBricks(list []Brick) {
	next := make(map[string]word, len(list))
	for _, e := range list {
		old := b.words[e.Name]
		next[e.Name] = word{shard: e.Shard, discovery: e.State, started: e.Started, self: old.self && old.started == e.Started}
	}
	b.words = next
}

// SetSelfDraining takes in what a brick says of itself, and tells whether that is new. A
// brick that drains gets no work and so says nothing more: its word holds until
// it starts anew, says otherwise, or is undrained by hand.
func (b *Registry) SetSelfDraining(name string, draining bool) bool {
	w, ok := b.words[name]
	if !ok || w.self == draining {
		return false
	}
	w.self = draining
	b.words[name] = w
	return true
}

// Status returns a brick's state.
func (b *Registry) Status(name string) Status {
	w, known := b.words[name]
	h, byHand := b.hands[name]
	s := Status{Brick: name, Shard: w.shard, State: Ready}
	says := []struct {
		by Origin
		so bool
	}{{ByOperator, byHand}, {ByDiscovery, w.discovery == Draining}, {ByBrick, w.self}}
	for _, one := range says {
		if !one.so {
			continue
		}
		if s.State == Ready {
			s.State, s.Origin = Draining, one.by
		} else {
			s.OtherOrigins = append(s.OtherOrigins, one.by)
		}
	}
	if byHand {
		s.Operator, s.Since, s.Number = h.who, h.at, h.number
	}
	if !known || w.discovery == Gone {
		if s.Origin != ByNone {
			s.OtherOrigins = append([]Origin{s.Origin}, s.OtherOrigins...)
		}
		s.State, s.Origin = Gone, ByDiscovery
	}
	return s
}

// Statuses returns the state of every brick that is known or drained by hand.
func (b *Registry) Statuses() []Status {
	names := map[string]bool{}
	for name := range b.words {
		names[name] = true
	}
	for name := range b.hands {
		names[name] = true
	}
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, b.Status(name))
	}
	return out
}

// Cost is what a drain would take away.
type Cost struct {
	Shard       int      `json:"shard"`
	Unreachable bool     `json:"unreachable"` // no other brick of the shard takes work
	Volumes     []string `json:"volumes"`     // those that are known to have data there
}

// Cost returns what draining a brick would take away. volumes names those that
// have been served out of each shard.
func (b *Registry) Cost(name string, volumes map[int][]string) Cost {
	w := b.words[name]
	c := Cost{Shard: w.shard, Unreachable: true, Volumes: slices.Sorted(slices.Values(volumes[w.shard]))}
	for other, ow := range b.words {
		if other != name && ow.shard == w.shard && b.Status(other).State == Ready {
			c.Unreachable = false
		}
	}
	return c
}

// Submit decides on an order. The error is a *Refusal; nothing has changed then.
// An order with an id that was taken before changes nothing and has the answer
// that the first one had.
func (b *Registry) Submit(o Order, volumes map[int][]string) (Result, error) {
	r, again, err := b.Preview(o, volumes)
	if err != nil || again {
		return r, err
	}
	return b.Apply(o), nil
}

// Preview returns what Take would, without any change, and whether the order
// is a repeat: so that it can be recorded first.
func (b *Registry) Preview(o Order, volumes map[int][]string) (r Result, again bool, err error) {
	if first, again := b.seen[o.ID]; again && o.ID != "" {
		return first, true, nil
	}
	if err := b.refuse(o, volumes); err != nil {
		return Result{}, false, err
	}
	trial := &Registry{hands: maps.Clone(b.hands), words: maps.Clone(b.words), last: b.last, seen: map[string]Result{}}
	return trial.Apply(o), false, nil
}

func (b *Registry) refuse(o Order, volumes map[int][]string) error {
	before := b.Status(o.Brick)
	_, known := b.words[o.Brick]
	_, byHand := b.hands[o.Brick]
	switch o.Kind {
	case Drain:
		if !known || before.State == Gone {
			return &Refusal{"no_such_brick", fmt.Sprintf("brick %q is not in the node list", o.Brick)}
		}
		if cost := b.Cost(o.Brick, volumes); cost.Unreachable && !o.Force && before.State == Ready {
			return &Refusal{"unreachable", unreachable(o.Brick, cost)}
		}
	case Undrain:
		if !known && !byHand {
			return &Refusal{"no_such_brick", fmt.Sprintf("brick %q is not in the node list", o.Brick)}
		}
	case Cancel:
		if h := b.hands[o.Brick]; !byHand || h.number != o.Number {
			return &Refusal{"stale", fmt.Sprintf("drain %d of brick %q is not in force any more", o.Number, o.Brick)}
		}
	default:
		return &Refusal{"bad_order", fmt.Sprintf("order %q: must be drain, undrain or cancel", o.Kind)}
	}
	return nil
}

func unreachable(brick string, c Cost) string {
	text := fmt.Sprintf("no other brick of shard %d takes work: all that lies on %q could not be reached", c.Shard, brick)
	if len(c.Volumes) > 0 {
		most := c.Volumes[:min(len(c.Volumes), 10)]
		text += " (" + strings.Join(most, ", ")
		if len(c.Volumes) > len(most) {
			text += fmt.Sprintf(" and %d more", len(c.Volumes)-len(most))
		}
		text += ")"
	}
	return text + "; --force drains it all the same"
}

// Apply carries out an order that was taken, also when a record is played
// again; it cannot fail.
func (b *Registry) Apply(o Order) Result {
	b.last++
	r := Result{Number: b.last, Before: b.Status(o.Brick)}
	if o.Kind == Undrain {
		r.Changed = b.SetSelfDraining(o.Brick, false)
	}
	switch _, byHand := b.hands[o.Brick]; {
	case o.Kind == Drain && byHand:
		r.Note = "it was drained by hand already"
	case o.Kind == Drain:
		b.hands[o.Brick] = hand{b.last, o.Operator, o.At}
		r.Changed = true
	case byHand: // undrain and cancel
		delete(b.hands, o.Brick)
		r.Changed = true
	case !r.Changed:
		r.Note = "it was not drained by hand"
	}
	r.After = b.Status(o.Brick)
	if o.Kind != Drain && r.After.State == Draining {
		r.Note = strings.TrimPrefix(r.Note+fmt.Sprintf("; it stays drained by %s", r.After.Origin), "; ")
	}
	if o.ID != "" {
		b.remember(o.ID, r)
	}
	return r
}

func (b *Registry) remember(id string, r Result) {
	if len(b.order) >= seenMost {
		delete(b.seen, b.order[0])
		b.order = b.order[1:]
	}
	b.seen[id] = r
	b.order = append(b.order, id)
}

// CompareUrgency orders states for a table: those that need a look first.
func CompareUrgency(a, b Status) int {
	rank := map[State]int{Draining: 0, Gone: 1, Ready: 2}
	return cmp.Or(cmp.Compare(rank[a.State], rank[b.State]), cmp.Compare(a.Brick, b.Brick))
}
