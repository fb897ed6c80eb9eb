package arrowwalk

import (
	"fmt"
	"slices"
)

// This file holds the shapes of what scheduler.go keeps, and helpers that
// decide nothing: a sliding sum, a seeded source of numbers, the wait queues.

// windowEntry is an amount at a time, for sliding windows.
type windowEntry struct {
	at     Micros
	amount float64
}

// slidingSum sums stamps over a sliding span.
type slidingSum struct {
	entries []windowEntry
	sum     float64
}

func (w *slidingSum) add(at Micros, units float64) {
	w.entries = append(w.entries, windowEntry{at, units})
	w.sum += units
}

// sumSince drops what is older than from and returns the sum of the rest.
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

// attempt is one sending of a request.
type attempt struct {
	request      *request
	node         *node
	sentAt       Micros
	done         bool
	presumedLost bool    // overtaken; no longer counted
	units        float64 // that it counts towards the cap
}

// request is a request from its acceptance to its last outcome.
type request struct {
	*Request
	class           *Class
	vol             *volume
	waitQueue       *waitQueue
	acceptedAt      Micros
	aimAt           Micros
	delayTolerance  float64 // by which the bounds of its level are scattered
	deadline        Micros
	attempts        []*attempt
	inFlight        int
	queued          bool
	closed          bool
	limitCharged    bool // its units are taken from the limit
	streaming       bool
	firstMayHaveRun *attempt // the first that may have run
	keyQueue        *keyQueue
}

// keyQueue is the order of the requests of one key.
type keyQueue struct {
	requests  []*request
	notBefore Micros // nothing before this time
}

// waitQueue is the wait queue of one class of one volume at one shard.
type waitQueue struct {
	flow     *flow
	class    int
	requests []*request // by their aim
}

// flow is a volume's standing at a shard.
type flow struct {
	vol        *volume
	shard      *shard
	waitQueues []*waitQueue
}

// shard is a piece of the data with its node and its wait queue.
type shard struct {
	index          int
	node           *node
	waitQueues     []*waitQueue
	flows          []*flow
	waitingUnits   float64 // units waiting
	servedUnits    float64 // units served in this interval
	usualRate      float64 // and usually, units a second
	usualIntervals float64 // intervals that usual is the mean of
	needsDispatch  bool
}

// node is what the host knows of a node.
type node struct {
	Node
	attempts             []*attempt
	unitsInFlight        float64 // units out
	unitCap              float64
	newestAnsweredSentAt Micros  // when the latest attempt that was answered had been sent
	latencySum           float64 // latencies in this interval
	answerCount          float64
	capHits              int // looks at which the cap held a request back
	capChecks            int
	queueDelay           float64 // running mean of how long requests wait there, microseconds
	queueDelayAt         Micros  // when queue was last brought up to date
	nextColdSendAt       Micros  // while it is cold: nothing before this time
	coldPacingStart      Micros  // the start that turn counts from
	recentUnits          slidingSum
}

// volume is CHAMELEON's state of a volume.
type volume struct {
	id            VolumeID
	plan          *Plan
	hosts         float64
	flows         []*flow
	lastRequestAt Micros // last request
	refilledAt    Micros // when the stores below were filled
	limitUnits    float64
	reserveUnits  float64
	tokenRate     float64 // token rate; 0: unpaced
	uncutRate     float64 // token rate before the cuts
	tokens        float64
	servedUnits   float64 // served in this interval
	fleetRate     float64 // fleet's rate, units a second; 0: not told
	aimRatioSum   float64 // sum of latency over aim in this interval
	answerCount   float64
	servedRate    float64 // units a second here, last interval
	meanAimRatio  float64 // mean latency over aim, last interval
	quadrant      quadrant
	wasLucky      bool
	wasCut        bool
	cuts          cutList
}

// cutList follows the cuts made for a failed volume.
type cutList struct {
	volumes        []*volume
	listedRates    []float64
	steps          int
	listedAimRatio float64
}

// splitMix64 is a seeded source of numbers.
type splitMix64 uint64

// uniform returns a number in [0, 1) from the instance's seed (splitmix64).
func (g *splitMix64) uniform() float64 {
	*g += 0x9e3779b97f4a7c15
	z := uint64(*g)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// Scheduler decides for one host. It is not safe for concurrent use.
type Scheduler struct {
	settings         Settings
	now              Micros
	startedAt        Micros
	intervalEndedAt  Micros // when the last interval ended
	started          bool
	capsUpdatedAt    Micros // when caps were last learned
	nextTickAt       Micros // when the next beat is due
	shutdownAt       Micros // by then all have their final answers; 0: this host does not end
	stall            Micros // for how long the host stood still before this step, at most
	actions          []Action
	nodes            map[NodeID]*node
	shards           []*shard
	requests         map[RequestID]*request
	volumes          map[VolumeID]*volume
	volumeOrder      []*volume
	keyQueues        map[uint64]*keyQueue
	unitCost         []float64 // by class: microseconds of service for a unit
	tightestAim      Micros
	clientTimeout    []Micros // by class: how long a client waits at its first try
	accepted         slidingSum
	resends          slidingSum
	dispatchTimerSet bool
	lossShare        float64 // share of attempts whose answers seem to be lost
	listBackoff      Micros  // before the list is asked for again
	random           splitMix64
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) setTimer(delay Micros, token uint64) {
	s.emit(Action{Kind: SetTimer, Delay: delay, Token: token})
}

func (s *Scheduler) logf(format string, args ...any) {
	s.emit(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// shardAt returns the shardAt of an index, or nil for none.
func (s *Scheduler) shardAt(index int) *shard {
	if index < 0 || index > 1<<16 {
		return nil
	}
	for len(s.shards) <= index {
		s.shards = append(s.shards, &shard{index: len(s.shards)})
	}
	return s.shards[index]
}

// oldestWait returns for how long the oldestWait attempt at n has had no answer, those
// aside that were overtaken: their answers may be lost.
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

// waitQueueFor returns the wait queue of r's class and volume at a shard.
func (s *Scheduler) waitQueueFor(r *request, sh *shard) *waitQueue {
	i := slices.IndexFunc(r.vol.flows, func(f *flow) bool { return f.shard == sh })
	if i < 0 {
		f := &flow{vol: r.vol, shard: sh}
		i = len(r.vol.flows)
		r.vol.flows = append(r.vol.flows, f)
		sh.flows = append(sh.flows, f)
	}
	f := r.vol.flows[i]
	for _, l := range f.waitQueues {
		if l.class == r.Class {
			return l
		}
	}
	l := &waitQueue{flow: f, class: r.Class}
	f.waitQueues = append(f.waitQueues, l)
	sh.waitQueues = append(sh.waitQueues, l)
	return l
}

// dequeue takes r out of its wait queue.
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

// quadrant is a volume's state in an interval, in the order of cutting.
type quadrant int

const (
	lucky  quadrant = iota // over its rate, inside its aim
	exceed                 // over both
	meet                   // under both
	failed                 // under its rate, over its aim
)

// sendDecision is what gate says of a send.
type sendDecision int

const (
	sendNow   sendDecision = iota
	sendLater              // not now
	sendNever              // never again
)

// aimSpan returns the span within which r earns its full worth.
func (s *Scheduler) aimSpan(r *request) Micros {
	stretch := r.class.AimStretch * s.serviceTime(r)
	return min(r.class.Aim+Micros(stretch), r.class.Deadline)
}

// NodeView is what the host knows of a node, for those who watch it.
type NodeView struct {
	ID               NodeID
	QueueDelay       Micros  // how long a request should wait there now
	UnitsInFlight    float64 // units out
	MaxUnitsInFlight float64 // units that may be out
}

// VolumeView is a volume's standing, for those who watch it.
type VolumeView struct {
	ID           VolumeID
	Quadrant     string  // of the last interval: failed, meet, exceed or lucky
	TokenRate    float64 // token rate in units a second; 0: unpaced
	ServedRate   float64 // units a second served through this host in the last interval
	ReserveUnits float64 // units of the reserve that are left
}

// View copies what the scheduler knows of its nodes and volumes. It changes
// nothing and decides nothing.
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
