package arrowwalk

import (
	"fmt"
	"slices"
)

// This file holds the scheduler's state and helpers that make no decisions: a
// sliding sum, a seeded random source and the wait queues.

// windowEntry is an amount at a point in time.
type windowEntry struct {
	at     Micros
	amount float64
}

// slidingSum is the sum of the amounts in a sliding time window.
type slidingSum struct {
	entries []windowEntry // by time
	sum     float64
}

// add adds an amount at a time, which must not be before earlier ones.
func (w *slidingSum) add(at Micros, amount float64) {
	w.entries = append(w.entries, windowEntry{at, amount})
	w.sum += amount
}

// sumSince drops the entries before from and returns the sum of the others.
func (w *slidingSum) sumSince(from Micros) float64 {
	i := 0
	for i < len(w.entries) && w.entries[i].at < from {
		w.sum -= w.entries[i].amount
		i++
	}
	w.entries = w.entries[i:]
	if len(w.entries) == 0 {
		w.sum = 0
	}
	return w.sum
}

// attempt is one sending of a request to a node.
type attempt struct {
	request      *request
	node         *node
	sentAt       Micros
	done         bool    // has an outcome
	presumedLost bool    // its answer seems lost; no longer counted towards the node's cap
	units        float64 // counted towards the node's cap
}

// request is a client's request from its acceptance to the outcome of its last
// attempt.
type request struct {
	*Request
	class          *Class
	vol            *volume
	waitQueue      *waitQueue // the queue it was last added to
	acceptedAt     Micros
	aimAt          Micros
	delayTolerance float64 // factor on the bounds of admitsLevel, from 0.5 to 1.5
	deadline       Micros
	attempts       []*attempt
	inFlight       int       // attempts without an outcome
	queued         bool      // is in waitQueue
	closed         bool      // has its final answer or was abandoned
	limitCharged   bool      // its units are charged to the volume's limit
	streaming      bool      // its answer has begun
	mayHaveRun     *attempt  // the first attempt that may have run
	keyQueue       *keyQueue // nil unless it is ordered by key
}

// keyQueue holds the requests with one key in their order. Only the first one
// may be sent.
type keyQueue struct {
	requests  []*request
	notBefore Micros // no attempt starts before this time
}

// waitQueue holds the waiting requests of one class and one volume at a shard.
type waitQueue struct {
	flow     *flow
	class    int
	requests []*request // sorted by aim
}

// flow groups the wait queues of one volume at one shard.
type flow struct {
	vol        *volume
	shard      *shard
	waitQueues []*waitQueue
}

// shard is a part of the data, with the node that serves it and the requests
// that wait for that node.
type shard struct {
	index          int
	node           *node
	waitQueues     []*waitQueue
	flows          []*flow
	waitingUnits   float64
	servedUnits    float64 // in the current interval
	usualRate      float64 // mean of past intervals, in units a second
	usualIntervals float64 // number of intervals in usualRate
	needsDispatch  bool    // dispatch must examine the wait queues
}

// node is a listed node and what the host has observed of it.
type node struct {
	Node
	attempts             []*attempt // by time; those that are done are dropped from the front
	unitsInFlight        float64
	unitCap              float64 // largest unitsInFlight
	newestAnsweredSentAt Micros  // when the latest of the answered attempts was sent
	latencySum           float64 // of answers since the last cap update, in microseconds
	answerCount          float64 // since the last cap update
	capHits              int     // cap checks since the last cap update that held a request back
	capChecks            int
	queueDelay           float64    // running mean of the time that requests wait there, in microseconds
	queueDelayAt         Micros     // when queueDelay was updated
	nextColdSendAt       Micros     // while the node is cold and the budget is less than a request: no send before this time
	coldPacingStart      Micros     // the node's start for which nextColdSendAt was set
	recentUnits          slidingSum // units sent
}

// volume is a volume's state as the CHAMELEON mechanism needs it.
type volume struct {
	id            VolumeID
	plan          *Plan
	hosts         float64 // hosts through which its requests come
	flows         []*flow
	lastRequestAt Micros
	refilledAt    Micros  // when the three buckets were refilled
	limitUnits    float64 // bucket of the plan's limit
	reserveUnits  float64 // bucket of the plan's reserve
	tokenRate     float64 // units a second; 0: unpaced
	uncutRate     float64 // tokenRate before the cuts
	tokens        float64 // bucket that tokenRate fills, in units
	servedUnits   float64 // through this host, in the current interval
	fleetRate     float64 // served through all hosts, in units a second; 0: unknown
	aimRatioSum   float64 // sum of latency / aim in the current interval
	answerCount   float64 // in the current interval
	servedRate    float64 // through this host in the last interval, in units a second
	meanAimRatio  float64 // mean of latency / aim in the last interval
	quadrant      quadrant
	wasLucky      bool // was lucky in the interval before the last
	wasCut        bool // tokenRate was cut in the current interval
	cuts          cutList
}

// cutList holds the volumes whose rates are cut for a failed volume.
type cutList struct {
	volumes        []*volume
	listedRates    []float64 // servedRate of each volume when it was listed
	steps          int       // cuts made so far
	listedAimRatio float64   // meanAimRatio of the failed volume when the list was built
}

// splitMix64 is a seeded pseudo-random source (the SplitMix64 generator).
type splitMix64 uint64

// uniform returns the next number, in [0, 1).
func (state *splitMix64) uniform() float64 {
	*state += 0x9e3779b97f4a7c15
	z := uint64(*state)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// Scheduler makes the scheduling decisions of one host. It is not safe for
// concurrent use.
type Scheduler struct {
	settings           Settings
	now                Micros // time of the current step
	startedAt          Micros // time of the first step
	intervalEndedAt    Micros // when the last quadrant interval ended
	started            bool
	capsUpdatedAt      Micros
	nextHousekeepingAt Micros // when the housekeeping timer is due
	shutdownAt         Micros // when all requests must have their final answers; 0: no shutdown
	stall              Micros // upper bound of the time for which the host was stalled before this step; 0: none
	actions            []Action
	nodes              map[NodeID]*node
	shards             []*shard
	requests           map[RequestID]*request
	volumes            map[VolumeID]*volume
	volumeOrder        []*volume // in the order they were added
	keyQueues          map[uint64]*keyQueue
	unitCost           []float64  // by class: service time of a unit, in microseconds
	tightestAim        Micros     // the shortest aim of a class
	clientTimeout      []Micros   // by class: how long a client waits in its first try
	accepted           slidingSum // requests accepted
	resends            slidingSum // further attempts sent
	dispatchTimerSet   bool
	lossShare          float64 // share of attempts whose answers seem to be lost
	listBackoff        Micros  // wait before the node list is requested again
	random             splitMix64
}

// maxShardIndex bounds the memory that a wrong shard index can take.
const maxShardIndex = 1 << 16

// emit adds an action to the result of the current step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// setTimer requests a TimerFired event with a token after a delay.
func (s *Scheduler) setTimer(delay Micros, token uint64) {
	s.emit(Action{Kind: SetTimer, Delay: delay, Token: token})
}

// logf emits a message for the operators' log.
func (s *Scheduler) logf(format string, args ...any) {
	s.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// shardAt returns the shard with an index and adds it if it is missing. It
// returns nil if the index is negative or over maxShardIndex.
func (s *Scheduler) shardAt(index int) *shard {
	if index < 0 || index > maxShardIndex {
		return nil
	}
	for len(s.shards) <= index {
		s.shards = append(s.shards, &shard{index: len(s.shards)})
	}
	return s.shards[index]
}

// oldestWait returns how long the oldest unanswered attempt at n has waited in
// addition to its service time, in microseconds. It ignores attempts that were
// overtaken by an answered one, because their answers may be lost.
func (s *Scheduler) oldestWait(n *node) float64 {
	for len(n.attempts) > 0 && n.attempts[0].done {
		n.attempts = n.attempts[1:]
	}
	for _, a := range n.attempts {
		if !a.done && a.sentAt > n.newestAnsweredSentAt {
			return float64(s.now-a.sentAt) - s.serviceTime(a.request)
		}
	}
	return 0
}

// waitQueueFor returns the wait queue of r's class and volume at a shard and
// adds it if it is missing.
func (s *Scheduler) waitQueueFor(r *request, sh *shard) *waitQueue {
	i := slices.IndexFunc(r.vol.flows, func(f *flow) bool { return f.shard == sh })
	if i < 0 {
		f := &flow{vol: r.vol, shard: sh}
		i = len(r.vol.flows)
		r.vol.flows = append(r.vol.flows, f)
		sh.flows = append(sh.flows, f)
	}
	f := r.vol.flows[i]
	for _, wq := range f.waitQueues {
		if wq.class == r.Class {
			return wq
		}
	}
	wq := &waitQueue{flow: f, class: r.Class}
	f.waitQueues = append(f.waitQueues, wq)
	sh.waitQueues = append(sh.waitQueues, wq)
	return wq
}

// dequeue removes r from its wait queue, if it is queued.
func (s *Scheduler) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	r.waitQueue.flow.shard.waitingUnits = max(0, r.waitQueue.flow.shard.waitingUnits-r.Units)
	if i := slices.Index(r.waitQueue.requests, r); i >= 0 {
		r.waitQueue.requests = slices.Delete(r.waitQueue.requests, i, i+1)
	}
}

// quadrant is a volume's state in an interval. The values are in the order in
// which volumes are cut.
type quadrant int

const (
	lucky  quadrant = iota // served over its plan's rate, within its aim
	exceed                 // over its rate, missing its aim
	meet                   // at or under its rate, within its aim
	failed                 // at or under its rate, missing its aim
)

// sendDecision is the result of checkSend.
type sendDecision int

const (
	sendNow   sendDecision = iota // the request may be sent
	sendLater                     // not now; the request waits
	sendNever                     // never; the request gets its final answer
)

// aimSpan returns the time within which an answer to r earns its full worth: its
// class's aim, stretched by its work, at most the class's deadline.
func (s *Scheduler) aimSpan(r *request) Micros {
	stretch := r.class.AimStretch * s.serviceTime(r)
	return min(r.class.Aim+Micros(stretch), r.class.Deadline)
}

// NodeView describes a node for monitoring.
type NodeView struct {
	ID               NodeID
	QueueDelay       Micros // how long a request sent now is expected to wait
	UnitsInFlight    float64
	MaxUnitsInFlight float64 // the node's cap
}

// VolumeView describes a volume for monitoring.
type VolumeView struct {
	ID           VolumeID
	Quadrant     string  // of the last interval: failed, meet, exceed or lucky
	TokenRate    float64 // units a second; 0: unpaced
	ServedRate   float64 // through this host in the last interval, in units a second
	ReserveUnits float64 // left in the reserve's bucket; negative after overuse
}

// View returns a copy of what the scheduler knows of its nodes and volumes. It
// changes no decision.
func (s *Scheduler) View() (nodes []NodeView, volumes []VolumeView) {
	for _, sh := range s.shards {
		if n := sh.node; n != nil {
			nodes = append(nodes, NodeView{n.ID, Micros(s.expectedDelay(n)), n.unitsInFlight, n.unitCap})
		}
	}
	names := [...]string{lucky: "lucky", exceed: "exceed", meet: "meet", failed: "failed"}
	for _, v := range s.volumeOrder {
		volumes = append(volumes, VolumeView{v.id, names[v.quadrant], v.tokenRate, v.servedRate, v.reserveUnits})
	}
	return nodes, volumes
}
