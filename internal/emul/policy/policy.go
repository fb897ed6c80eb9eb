// Package policy has what may decide for an emulated host: the module, or a
// baseline to compare it with. Baselines are here as baselines only.
package policy

import (
	"fmt"
	"slices"

	"arrowwalk"
	"arrowwalk/internal/host"
)

// Scheduler takes events and returns what is to be done (host.Engine).
type Scheduler interface {
	Step(now arrowwalk.Micros, events []arrowwalk.Event) []arrowwalk.Action
	Next() (arrowwalk.Micros, bool)
}

// Names of the policies, the module first.
var Names = []string{"module", "everything", "even", "least", "aimd"}

// New returns a policy by name for a host with the given settings.
func New(name string, set arrowwalk.Settings, now arrowwalk.Micros) (Scheduler, error) {
	switch name {
	case "", "module":
		return host.NewEngine(set, now)
	case "everything", "even", "least", "aimd":
		return newPlain(name, set), nil
	}
	return nil, fmt.Errorf("policy %q is not known: %v", name, Names)
}

// plain holds what all baselines need: a queue in order of arrival for each
// shard, and a bound on what is out at a node.
//
//   - everything: what comes is sent at once, without a bound.
//   - even: a fixed bound for each node, the host's even part of 64 units.
//   - least: the node with the fewest requests out is served first, with a
//     bound of 4 for each.
//   - aimd: the bound grows by one a bound's worth of answers within the aim,
//     and is halved by one that is late, lost or turned away.
type plain struct {
	name     string
	set      arrowwalk.Settings
	subbed   bool
	shards   map[int]*lane
	order    []int
	requests map[arrowwalk.RequestID]*job
	due      []*job // by time of arrival, for deadlines
	actions  []arrowwalk.Action
	now      arrowwalk.Micros
}

type lane struct {
	node  arrowwalk.Node
	ready bool
	queue []*job
	out   int
	bound float64
}

type job struct {
	id     arrowwalk.RequestID
	shard  int
	class  int
	until  arrowwalk.Micros
	out    bool
	closed bool
}

// margin is how long before the client's deadline the answer is given.
const margin = 10_000

func newPlain(name string, set arrowwalk.Settings) *plain {
	return &plain{name: name, set: set, shards: map[int]*lane{}, requests: map[arrowwalk.RequestID]*job{}}
}

func (p *plain) lane(shard int) *lane {
	l := p.shards[shard]
	if l == nil {
		l = &lane{bound: p.bound()}
		p.shards[shard] = l
		p.order = append(p.order, shard)
		slices.Sort(p.order)
	}
	return l
}

func (p *plain) bound() float64 {
	switch p.name {
	case "even":
		return max(1, 64/float64(p.set.Hosts)/max(1, p.set.MeanUnits)*4)
	case "least", "aimd":
		return 4
	}
	return 1e9
}

// Next returns the time of the earliest deadline.
func (p *plain) Next() (arrowwalk.Micros, bool) {
	for len(p.due) > 0 && p.due[0].closed {
		p.due = p.due[1:]
	}
	if len(p.due) == 0 {
		return 0, false
	}
	return p.due[0].until, true
}

// Step takes events and sends what the bounds allow.
func (p *plain) Step(now arrowwalk.Micros, events []arrowwalk.Event) []arrowwalk.Action {
	p.now, p.actions = now, p.actions[:0]
	if !p.subbed {
		p.subbed = true
		p.actions = append(p.actions, arrowwalk.Action{Kind: arrowwalk.Subscribe})
	}
	for _, e := range events {
		switch e := e.(type) {
		case *arrowwalk.NodeList:
			p.list(e)
		case *arrowwalk.Request:
			j := &job{id: e.ID, shard: e.Shard, class: e.Class, until: now + e.TimeLeft - margin}
			p.requests[e.ID] = j
			i, _ := slices.BinarySearchFunc(p.due, j, func(a, b *job) int { return int(a.until - b.until) })
			p.due = slices.Insert(p.due, i, j)
			l := p.lane(e.Shard)
			l.queue = append(l.queue, j)
		case *arrowwalk.Outcome:
			p.outcome(e)
		case *arrowwalk.Abandoned:
			if j := p.requests[e.Request]; j != nil {
				p.close(j)
			}
		}
	}
	p.overdue()
	p.send()
	return p.actions
}

func (p *plain) list(e *arrowwalk.NodeList) {
	if e.Kind == arrowwalk.ListFailed {
		return
	}
	if e.Kind != arrowwalk.ListDelta {
		for _, l := range p.shards {
			l.ready = false
		}
	}
	for _, n := range e.Nodes {
		l := p.lane(n.Shard)
		switch {
		case n.State == arrowwalk.Ready:
			l.node, l.ready = n, true
		case l.node.ID == n.ID:
			l.ready = false
		}
	}
}

func (p *plain) close(j *job) {
	j.closed = true
	if !j.out {
		delete(p.requests, j.id)
	}
}

func (p *plain) outcome(e *arrowwalk.Outcome) {
	j := p.requests[e.Request]
	if j == nil {
		return
	}
	l := p.lane(j.shard)
	l.out--
	j.out = false
	if p.name == "aimd" {
		if e.Status == arrowwalk.OK && e.Latency <= p.set.Classes[j.class].Aim {
			l.bound += 1 / l.bound
		} else if e.Status != arrowwalk.Cancelled {
			l.bound = max(1, l.bound/2)
		}
	}
	if !e.Closed && !j.closed {
		kind := arrowwalk.Fail
		if e.Status.NeverRan() {
			kind = arrowwalk.Refuse
		}
		p.actions = append(p.actions, arrowwalk.Action{Kind: kind, Request: j.id})
	}
	p.close(j)
}

// overdue answers what has no time left.
func (p *plain) overdue() {
	for len(p.due) > 0 && (p.due[0].closed || p.due[0].until <= p.now) {
		j := p.due[0]
		p.due = p.due[1:]
		if j.closed {
			continue
		}
		kind := arrowwalk.Refuse
		if j.out {
			kind = arrowwalk.Fail
		}
		p.actions = append(p.actions, arrowwalk.Action{Kind: kind, Request: j.id})
		p.close(j)
	}
}

func (p *plain) send() {
	order := p.order
	if p.name == "least" {
		order = slices.Clone(p.order)
		slices.SortStableFunc(order, func(a, b int) int { return p.shards[a].out - p.shards[b].out })
	}
	for _, shard := range order {
		l := p.shards[shard]
		for l.ready && len(l.queue) > 0 && float64(l.out) < l.bound {
			j := l.queue[0]
			l.queue = l.queue[1:]
			if j.closed {
				continue
			}
			j.out = true
			l.out++
			p.actions = append(p.actions, arrowwalk.Action{Kind: arrowwalk.Send, Request: j.id, Node: l.node.ID})
		}
	}
}
