// Package drains derives the state of each brick from the orders of operators, from
// discovery and from what the brick itself reports. It is deterministic: the same
// inputs in the same order give the same states, so that logged orders can be
// replayed after a crash.
//
// Precedence, highest first:
//
//  1. gone: discovery does not list the brick, or lists it as gone
//  2. drained by an operator, until an operator undrains it
//  3. draining according to discovery
//  4. draining according to the brick itself
//  5. ready
//
// An undrain by an operator cancels both the operator's drain and the brick's own
// report, which nothing else would cancel. A brick that discovery drains stays
// drained, and the result of the order says so.
package drains

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// State is the state of a brick: ready for requests, draining or gone.
type State string

// States of a brick.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Origin is the source of a brick's state.
type Origin string

// Origins of a state.
const (
	ByOperator  Origin = "hand"
	ByDiscovery Origin = "discovery"
	ByBrick     Origin = "brick"
	ByNone      Origin = ""
)

// Kind is the kind of an order.
type Kind string

// Kinds of orders.
const (
	Drain   Kind = "drain"
	Undrain Kind = "undrain"
	Cancel  Kind = "cancel" // cancels the drain with a given number, if it is still in force
)

// Order is an order of an operator.
type Order struct {
	ID       string `json:"id"` // chosen by the sender; a repeated ID gets the first result
	Kind     Kind   `json:"kind"`
	Brick    string `json:"brick"`
	Number   int64  `json:"number,omitempty"` // of the drain that Cancel refers to
	Force    bool   `json:"force,omitempty"`  // drain even if data becomes unreachable
	Operator string `json:"who"`
	At       int64  `json:"at"` // microseconds since 1970
	Reason   string `json:"reason,omitempty"`
}

// Status is the state of a brick and its origin.
type Status struct {
	Brick        string   `json:"brick"`
	Shard        int      `json:"shard"`
	State        State    `json:"state"`
	Origin       Origin   `json:"by,omitempty"`
	Operator     string   `json:"who,omitempty"`    // for ByOperator
	Since        int64    `json:"since,omitempty"`  // for ByOperator: microseconds since 1970
	Number       int64    `json:"number,omitempty"` // for ByOperator: number of the order
	OtherOrigins []Origin `json:"also,omitempty"`   // further origins of a drain, by precedence
}

// Result is the result of an order.
type Result struct {
	Number  int64  `json:"number"` // of the order, from 1; 0 means not accepted
	Changed bool   `json:"done"`   // the order had an effect
	Note    string `json:"note,omitempty"`
	Before  Status `json:"before"`
	After   Status `json:"after"`
}

// Refusal is the error of an order that was not accepted.
type Refusal struct {
	Code   string // no_such_brick, unreachable, stale or bad_order
	Reason string
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

// operatorDrain is an operator's drain that is in force.
type operatorDrain struct {
	number   int64
	operator string
	at       int64 // microseconds since 1970
}

// brickReport holds what discovery and the brick itself report of a brick.
type brickReport struct {
	shard        int
	discovery    State
	started      int64
	selfDraining bool // the brick reports that it is draining
}

// Registry holds all drains in force and the reports of all bricks. It is not safe
// for concurrent use.
type Registry struct {
	operatorDrains map[string]operatorDrain
	reports        map[string]brickReport
	lastNumber     int64             // number of the last order
	resultsByID    map[string]Result // by Order.ID
	rememberedIDs  []string          // keys of resultsByID, oldest first
}

// maxRememberedOrders bounds the results that are remembered for repeated orders.
const maxRememberedOrders = 1024

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{operatorDrains: map[string]operatorDrain{}, reports: map[string]brickReport{}, resultsByID: map[string]Result{}}
}

// Brick describes a brick in a list of discovery.
type Brick struct {
	Name    string
	Shard   int
	State   State
	Started int64 // microseconds since 1970; a restart cancels the brick's own report
}

// UpdateBricks replaces the bricks by a complete list of discovery.
func (r *Registry) UpdateBricks(list []Brick) {
	next := make(map[string]brickReport, len(list))
	for _, e := range list {
		before := r.reports[e.Name]
		next[e.Name] = brickReport{shard: e.Shard, discovery: e.State, started: e.Started, selfDraining: before.selfDraining && before.started == e.Started}
	}
	r.reports = next
}

// SetSelfDraining records whether a brick reports that it is draining, and returns
// true if that changed. A draining brick gets no requests and so cannot report
// again: its report holds until it restarts, reports otherwise or is undrained by an
// operator.
func (r *Registry) SetSelfDraining(name string, draining bool) bool {
	report, ok := r.reports[name]
	if !ok || report.selfDraining == draining {
		return false
	}
	report.selfDraining = draining
	r.reports[name] = report
	return true
}

// Status returns the status of a brick. A brick that is not listed is gone.
func (r *Registry) Status(name string) Status {
	report, known := r.reports[name]
	drain, drainedByOperator := r.operatorDrains[name]
	s := Status{Brick: name, Shard: report.shard, State: Ready}
	causes := []struct {
		origin   Origin
		draining bool
	}{{ByOperator, drainedByOperator}, {ByDiscovery, report.discovery == Draining}, {ByBrick, report.selfDraining}}
	for _, cause := range causes {
		if !cause.draining {
			continue
		}
		if s.State == Ready {
			s.State, s.Origin = Draining, cause.origin
		} else {
			s.OtherOrigins = append(s.OtherOrigins, cause.origin)
		}
	}
	if drainedByOperator {
		s.Operator, s.Since, s.Number = drain.operator, drain.at, drain.number
	}
	if !known || report.discovery == Gone {
		if s.Origin != ByNone {
			s.OtherOrigins = append([]Origin{s.Origin}, s.OtherOrigins...)
		}
		s.State, s.Origin = Gone, ByDiscovery
	}
	return s
}

// Statuses returns the status of every brick that is listed or drained by an
// operator, sorted by name.
func (r *Registry) Statuses() []Status {
	names := map[string]bool{}
	for name := range r.reports {
		names[name] = true
	}
	for name := range r.operatorDrains {
		names[name] = true
	}
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, r.Status(name))
	}
	return out
}

// Cost describes the effects of a drain.
type Cost struct {
	Shard       int      `json:"shard"`
	Unreachable bool     `json:"unreachable"` // no other brick of the shard is ready
	Volumes     []string `json:"volumes"`     // volumes that are known to have data on the shard
}

// Cost returns the effects of draining a brick. volumes holds the names of the
// volumes that were served from each shard.
func (r *Registry) Cost(name string, volumes map[int][]string) Cost {
	report := r.reports[name]
	c := Cost{Shard: report.shard, Unreachable: true, Volumes: slices.Sorted(slices.Values(volumes[report.shard]))}
	for other, otherReport := range r.reports {
		if other != name && otherReport.shard == report.shard && r.Status(other).State == Ready {
			c.Unreachable = false
		}
	}
	return c
}

// Submit validates and applies an order. If the order is refused, the error is a
// *Refusal and nothing changes. An order whose ID was accepted before changes nothing
// and returns the result of the first one.
func (r *Registry) Submit(o Order, volumes map[int][]string) (Result, error) {
	result, isRepeat, err := r.Preview(o, volumes)
	if err != nil || isRepeat {
		return result, err
	}
	return r.Apply(o), nil
}

// Preview returns what Submit would return, without applying the order, and whether
// the order is a repeat. It lets the caller log an order before applying it.
func (r *Registry) Preview(o Order, volumes map[int][]string) (result Result, isRepeat bool, err error) {
	if first, seen := r.resultsByID[o.ID]; seen && o.ID != "" {
		return first, true, nil
	}
	if err := r.validate(o, volumes); err != nil {
		return Result{}, false, err
	}
	copied := &Registry{operatorDrains: maps.Clone(r.operatorDrains), reports: maps.Clone(r.reports), lastNumber: r.lastNumber, resultsByID: map[string]Result{}}
	return copied.Apply(o), false, nil
}

// validate returns a *Refusal if an order cannot be accepted.
func (r *Registry) validate(o Order, volumes map[int][]string) error {
	before := r.Status(o.Brick)
	_, known := r.reports[o.Brick]
	_, drainedByOperator := r.operatorDrains[o.Brick]
	switch o.Kind {
	case Drain:
		if !known || before.State == Gone {
			return &Refusal{"no_such_brick", fmt.Sprintf("brick %q is not in the node list", o.Brick)}
		}
		if cost := r.Cost(o.Brick, volumes); cost.Unreachable && !o.Force && before.State == Ready {
			return &Refusal{"unreachable", unreachableReason(o.Brick, cost)}
		}
	case Undrain:
		if !known && !drainedByOperator {
			return &Refusal{"no_such_brick", fmt.Sprintf("brick %q is not in the node list", o.Brick)}
		}
	case Cancel:
		if drain := r.operatorDrains[o.Brick]; !drainedByOperator || drain.number != o.Number {
			return &Refusal{"stale", fmt.Sprintf("drain %d of brick %q is not in force any more", o.Number, o.Brick)}
		}
	default:
		return &Refusal{"bad_order", fmt.Sprintf("order %q: must be drain, undrain or cancel", o.Kind)}
	}
	return nil
}

// unreachableReason returns the reason of a refusal with up to ten volumes.
func unreachableReason(brick string, c Cost) string {
	text := fmt.Sprintf("no other brick of shard %d takes work: all that lies on %q could not be reached", c.Shard, brick)
	if len(c.Volumes) > 0 {
		listed := c.Volumes[:min(len(c.Volumes), 10)]
		text += " (" + strings.Join(listed, ", ")
		if len(c.Volumes) > len(listed) {
			text += fmt.Sprintf(" and %d more", len(c.Volumes)-len(listed))
		}
		text += ")"
	}
	return text + "; --force drains it all the same"
}

// Apply applies an accepted order, also during a replay of the order log. It cannot
// fail.
func (r *Registry) Apply(o Order) Result {
	r.lastNumber++
	result := Result{Number: r.lastNumber, Before: r.Status(o.Brick)}
	if o.Kind == Undrain {
		result.Changed = r.SetSelfDraining(o.Brick, false)
	}
	switch _, drainedByOperator := r.operatorDrains[o.Brick]; {
	case o.Kind == Drain && drainedByOperator:
		result.Note = "it was drained by hand already"
	case o.Kind == Drain:
		r.operatorDrains[o.Brick] = operatorDrain{r.lastNumber, o.Operator, o.At}
		result.Changed = true
	case drainedByOperator: // undrain and cancel
		delete(r.operatorDrains, o.Brick)
		result.Changed = true
	case !result.Changed:
		result.Note = "it was not drained by hand"
	}
	result.After = r.Status(o.Brick)
	if o.Kind != Drain && result.After.State == Draining {
		result.Note = strings.TrimPrefix(result.Note+fmt.Sprintf("; it stays drained by %s", result.After.Origin), "; ")
	}
	if o.ID != "" {
		r.remember(o.ID, result)
	}
	return result
}

// remember stores the result of an order for repeats and evicts the oldest one.
func (r *Registry) remember(id string, result Result) {
	if len(r.rememberedIDs) >= maxRememberedOrders {
		delete(r.resultsByID, r.rememberedIDs[0])
		r.rememberedIDs = r.rememberedIDs[1:]
	}
	r.resultsByID[id] = result
	r.rememberedIDs = append(r.rememberedIDs, id)
}

// CompareUrgency orders statuses for a table: draining, gone, ready, then by name.
func CompareUrgency(a, b Status) int {
	rank := map[State]int{Draining: 0, Gone: 1, Ready: 2}
	return cmp.Or(cmp.Compare(rank[a.State], rank[b.State]), cmp.Compare(a.Brick, b.Brick))
}
