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
	inFlight bool
	closed   bool
}

// answerMargin is how long before the client's deadline an answer is given, in
// microseconds.
const answerMargin = 10_000

func newBaseline(name string, settings arrowwalk.Settings) *baseline {
	return &baseline{name: name, settings: settings, shards: map[int]*shardQueue{}, requests: map[arrowwalk.RequestID]*job{}}
}

// shardQueue returns the queue of a shard and creates it if needed.
func (b *baseline) shardQueue(shard int) *shardQueue {
	q := b.shards[shard]
	if q == nil {
		q = &shardQueue{maxInFlight: b.initialMaxInFlight()}
		b.shards[shard] = q
		b.shardOrder = append(b.shardOrder, shard)
		slices.Sort(b.shardOrder)
	}
	return q
}

// initialMaxInFlight returns the policy's maximum number of requests in flight
// at a node. aimd changes it later.
func (b *baseline) initialMaxInFlight() float64 {
	switch b.name {
	case "even":
		return max(1, 64/float64(b.settings.Hosts)/max(1, b.settings.MeanUnits)*4)
	case "least", "aimd":
		return 4
	}
	return 1e9
}

// Next returns the earliest deadline of an unanswered request.
func (b *baseline) Next() (arrowwalk.Micros, bool) {
	for len(b.byDeadline) > 0 && b.byDeadline[0].closed {
		b.byDeadline = b.byDeadline[1:]
	}
	if len(b.byDeadline) == 0 {
		return 0, false
	}
	return b.byDeadline[0].deadline, true
}

// Step processes events and sends as many requests as the maxima allow.
func (b *baseline) Step(now arrowwalk.Micros, events []arrowwalk.Event) []arrowwalk.Action {
	b.now, b.actions = now, b.actions[:0]
	if !b.subscribed {
		b.subscribed = true
		b.actions = append(b.actions, arrowwalk.Action{Kind: arrowwalk.Subscribe})
	}
	for _, e := range events {
		switch e := e.(type) {
		case *arrowwalk.NodeList:
			b.updateNodes(e)
		case *arrowwalk.Request:
			j := &job{id: e.ID, shard: e.Shard, class: e.Class, deadline: now + e.TimeLeft - answerMargin}
			b.requests[e.ID] = j
			i, _ := slices.BinarySearchFunc(b.byDeadline, j, func(a, b *job) int { return int(a.deadline - b.deadline) })
			b.byDeadline = slices.Insert(b.byDeadline, i, j)
			q := b.shardQueue(e.Shard)
			q.queue = append(q.queue, j)
		case *arrowwalk.Outcome:
			b.handleOutcome(e)
		case *arrowwalk.Abandoned:
			if j := b.requests[e.Request]; j != nil {
				b.closeJob(j)
			}
		}
	}
	b.answerOverdue()
	b.sendQueued()
	return b.actions
}

// updateNodes updates the shards' nodes from a node list.
func (b *baseline) updateNodes(e *arrowwalk.NodeList) {
	if e.Kind == arrowwalk.ListFailed {
		return
	}
	if e.Kind != arrowwalk.ListDelta {
		for _, q := range b.shards {
			q.ready = false
		}
	}
	for _, n := range e.Nodes {
		q := b.shardQueue(n.Shard)
		switch {
		case n.State == arrowwalk.Ready:
			q.node, q.ready = n, true
		case q.node.ID == n.ID:
			q.ready = false
		}
	}
}

// closeJob marks a request as answered, and drops it if no attempt is in
// flight.
func (b *baseline) closeJob(j *job) {
	j.closed = true
	if !j.inFlight {
		delete(b.requests, j.id)
	}
}

// handleOutcome handles the end of an attempt and answers its request.
func (b *baseline) handleOutcome(e *arrowwalk.Outcome) {
	j := b.requests[e.Request]
	if j == nil {
		return
	}
	q := b.shardQueue(j.shard)
	q.inFlight--
	j.inFlight = false
	if b.name == "aimd" {
		if e.Status == arrowwalk.OK && e.Latency <= b.settings.Classes[j.class].Aim {
			q.maxInFlight += 1 / q.maxInFlight
		} else if e.Status != arrowwalk.Cancelled {
			q.maxInFlight = max(1, q.maxInFlight/2)
		}
	}
	if !e.Closed && !j.closed {
		kind := arrowwalk.Fail
		if e.Status.NeverRan() {
			kind = arrowwalk.Refuse
		}
		b.actions = append(b.actions, arrowwalk.Action{Kind: kind, Request: j.id})
	}
	b.closeJob(j)
}

// answerOverdue refuses or fails the requests whose deadline has passed.
func (b *baseline) answerOverdue() {
	for len(b.byDeadline) > 0 && (b.byDeadline[0].closed || b.byDeadline[0].deadline <= b.now) {
		j := b.byDeadline[0]
		b.byDeadline = b.byDeadline[1:]
		if j.closed {
			continue
		}
		kind := arrowwalk.Refuse
		if j.inFlight {
			kind = arrowwalk.Fail
		}
		b.actions = append(b.actions, arrowwalk.Action{Kind: kind, Request: j.id})
		b.closeJob(j)
	}
}

// sendQueued sends waiting requests to ready nodes.
func (b *baseline) sendQueued() {
	order := b.shardOrder
	if b.name == "least" {
		order = slices.Clone(b.shardOrder)
		slices.SortStableFunc(order, func(x, y int) int { return b.shards[x].inFlight - b.shards[y].inFlight })
	}
	for _, shard := range order {
		q := b.shards[shard]
		for q.ready && len(q.queue) > 0 && float64(q.inFlight) < q.maxInFlight {
			j := q.queue[0]
			q.queue = q.queue[1:]
			if j.closed {
				continue
			}
			j.inFlight = true
			q.inFlight++
			b.actions = append(b.actions, arrowwalk.Action{Kind: arrowwalk.Send, Request: j.id, Node: q.node.ID})
		}
	}
}
