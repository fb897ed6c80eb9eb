// Package policy provides the schedulers that an emulated host can run: the
// module, and simple baselines to compare it with. The baselines are not meant
// for production.
package policy

import (
	"fmt"
	"slices"

	"arrowwalk"
	"arrowwalk/internal/host"
)

// Scheduler decides on the requests of one host. It is implemented by
// host.Engine and by the baselines.
type Scheduler interface {
	// Step processes events and returns the actions to carry out.
	Step(now arrowwalk.Micros, events []arrowwalk.Event) []arrowwalk.Action
	// Next returns when Step must be called next, or false if no time is set.
	Next() (arrowwalk.Micros, bool)
}

// Names lists the policies, with the module first.
var Names = []string{"module", "everything", "even", "least", "aimd"}

// New returns the scheduler of the named policy. An empty name stands for the
// module.
func New(name string, settings arrowwalk.Settings, now arrowwalk.Micros) (Scheduler, error) {
	switch name {
	case "", "module":
		return host.NewEngine(settings, now)
	case "everything", "even", "least", "aimd":
		return newBaseline(name, settings), nil
	}
	return nil, fmt.Errorf("unknown policy %q, must be one of %v", name, Names)
}

// baseline implements the baseline policies. Each has a FIFO queue per shard
// and a maximum number of requests in flight at a node:
//
//   - everything: no maximum; requests are sent at once.
//   - even: the host's even share of 64 units in flight per node.
//   - least: at most 4; nodes with the fewest requests in flight come first.
//   - aimd: the maximum grows by one per window of answers within the aim, and
//     an answer that is late, lost or rejected halves it.
type baseline struct {
	name       string
	settings   arrowwalk.Settings
	subscribed bool
	shards     map[int]*shardQueue // by shard
	shardOrder []int               // shards in ascending order
	requests   map[arrowwalk.RequestID]*job
	byDeadline []*job // in the order of their deadlines
	actions    []arrowwalk.Action
	now        arrowwalk.Micros
}

// shardQueue holds the waiting requests of a shard and the state of its node.
type shardQueue struct {
	node        arrowwalk.Node
	ready       bool
	queue       []*job
	inFlight    int
	maxInFlight float64
}

// job is a request that the host has accepted.
type job struct {
	id       arrowwalk.RequestID
	shard    int
	class    int
	deadline arrowwalk.Micros
	sent     bool
	closed   bool
}

// answerMargin is how long before the client's deadline an answer is given, in
// microseconds.
const answerMargin = 10_000

func newBaseline(name string, settings arrowwalk.Settings) *baseline {
	return &baseline{name: name, settings: settings, shards: map[int]*shardQueue{}, requests: map[arrowwalk.RequestID]*job{}}
}

// shardQueue returns the queue of a shard and creates it if needed.
func (p *baseline) shardQueue(shard int) *shardQueue {
	l := p.shards[shard]
	if l == nil {
		l = &shardQueue{maxInFlight: p.initialMaxInFlight()}
		p.shards[shard] = l
		p.shardOrder = append(p.shardOrder, shard)
		slices.Sort(p.shardOrder)
	}
	return l
}

// initialMaxInFlight returns the policy's maximum number of requests in flight
// at a node. aimd changes it later.
func (p *baseline) initialMaxInFlight() float64 {
	switch p.name {
	case "even":
		return max(1, 64/float64(p.settings.Hosts)/max(1, p.settings.MeanUnits)*4)
	case "least", "aimd":
		return 4
	}
	return 1e9
}

// Next returns the earliest deadline of an unanswered request.
func (p *baseline) Next() (arrowwalk.Micros, bool) {
	for len(p.byDeadline) > 0 && p.byDeadline[0].closed {
		p.byDeadline = p.byDeadline[1:]
	}
	if len(p.byDeadline) == 0 {
		return 0, false
	}
	return p.byDeadline[0].deadline, true
}

// Step processes events and sends as many requests as the maxima allow.
func (p *baseline) Step(now arrowwalk.Micros, events []arrowwalk.Event) []arrowwalk.Action {
	p.now, p.actions = now, p.actions[:0]
	if !p.subscribed {
		p.subscribed = true
		p.actions = append(p.actions, arrowwalk.Action{Kind: arrowwalk.Subscribe})
	}
	for _, e := range events {
		switch e := e.(type) {
		case *arrowwalk.NodeList:
			p.updateNodes(e)
		case *arrowwalk.Request:
			j := &job{id: e.ID, shard: e.Shard, class: e.Class, deadline: now + e.TimeLeft - answerMargin}
			p.requests[e.ID] = j
			i, _ := slices.BinarySearchFunc(p.byDeadline, j, func(a, b *job) int { return int(a.deadline - b.deadline) })
			p.byDeadline = slices.Insert(p.byDeadline, i, j)
			l := p.shardQueue(e.Shard)
			l.queue = append(l.queue, j)
		case *arrowwalk.Outcome:
			p.handleOutcome(e)
		case *arrowwalk.Abandoned:
			if j := p.requests[e.Request]; j != nil {
				p.closeJob(j)
			}
		}
	}
	p.answerOverdue()
	p.sendQueued()
	return p.actions
}

// updateNodes updates the shards' nodes from a node list.
func (p *baseline) updateNodes(e *arrowwalk.NodeList) {
	if e.Kind == arrowwalk.ListFailed {
		return
	}
	if e.Kind != arrowwalk.ListDelta {
		for _, l := range p.shards {
			l.ready = false
		}
	}
	for _, n := range e.Nodes {
		l := p.shardQueue(n.Shard)
		switch {
		case n.State == arrowwalk.Ready:
			l.node, l.ready = n, true
		case l.node.ID == n.ID:
			l.ready = false
		}
	}
}

// closeJob marks a request as answered, and drops it if no attempt is in
// flight.
func (p *baseline) closeJob(j *job) {
	j.closed = true
	if !j.sent {
		delete(p.requests, j.id)
	}
}

// handleOutcome handles the end of an attempt and answers its request.
func (p *baseline) handleOutcome(e *arrowwalk.Outcome) {
	j := p.requests[e.Request]
	if j == nil {
		return
	}
	l := p.shardQueue(j.shard)
	l.inFlight--
	j.sent = false
	if p.name == "aimd" {
		if e.Status == arrowwalk.OK && e.Latency <= p.settings.Classes[j.class].Aim {
			l.maxInFlight += 1 / l.maxInFlight
		} else if e.Status != arrowwalk.Cancelled {
			l.maxInFlight = max(1, l.maxInFlight/2)
		}
	}
	if !e.Closed && !j.closed {
		kind := arrowwalk.Fail
		if e.Status.NeverRan() {
			kind = arrowwalk.Refuse
		}
		p.actions = append(p.actions, arrowwalk.Action{Kind: kind, Request: j.id})
	}
	p.closeJob(j)
}

// answerOverdue refuses or fails the requests whose deadline has passed.
func (p *baseline) answerOverdue() {
	for len(p.byDeadline) > 0 && (p.byDeadline[0].closed || p.byDeadline[0].deadline <= p.now) {
		j := p.byDeadline[0]
		p.byDeadline = p.byDeadline[1:]
		if j.closed {
			continue
		}
		kind := arrowwalk.Refuse
		if j.sent {
			kind = arrowwalk.Fail
		}
		p.actions = append(p.actions, arrowwalk.Action{Kind: kind, Request: j.id})
		p.closeJob(j)
	}
}

// sendQueued sends waiting requests to ready nodes.
func (p *baseline) sendQueued() {
	order := p.shardOrder
	if p.name == "least" {
		order = slices.Clone(p.shardOrder)
		slices.SortStableFunc(order, func(a, b int) int { return p.shards[a].inFlight - p.shards[b].inFlight })
	}
	for _, shard := range order {
		l := p.shards[shard]
		for l.ready && len(l.queue) > 0 && float64(l.inFlight) < l.maxInFlight {
			j := l.queue[0]
			l.queue = l.queue[1:]
			if j.closed {
				continue
			}
			j.sent = true
			l.inFlight++
			p.actions = append(p.actions, arrowwalk.Action{Kind: arrowwalk.Send, Request: j.id, Node: l.node.ID})
		}
	}
}
