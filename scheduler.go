package arrowwalk

// This file holds every scheduling decision. Its interface (settings, events
// and actions) is in types.go, its state in state.go. The mechanism follows
// the CHAMELEON paper, seen from one of many hosts:
//
//   - Each volume is in one quadrant per interval: failed (served less than
//     its plan's rate and missing its aims), meet, exceed or lucky. For each
//     failed volume, the host lowers the token rates of other volumes on the
//     same nodes by constant steps, lucky volumes first. Rates are restored
//     step by step once no volume on these nodes fails.
//   - An accepted request waits in a queue of its shard for as long as it can
//     meet its aim. It is sent once the node's cap on units in flight and its
//     expected queue delay allow it. Requests inside their volume's reserve go
//     first, then those that have tokens, then those that have none.
//
// The rules that a host must keep are enforced in two places. refuseOrFail
// gives every final answer:
//
//	rule 1: each request gets exactly one final answer before its deadline
//	rule 2: a request that may have run is repeated or refused only if
//	        running it twice is harmless
//
// checkSend guards every attempt, with rule 2 and these:
//
//	rule 3: a node that is draining or removed gets no new attempts
//	rule 4: a recently started (cold) node gets no more than it can handle
//	rule 5: requests with the same key run one at a time and in order
//	rule 6: further attempts stay within the resend budget
//	rule 7: units sent for a volume stay within its plan's limit

import (
	"cmp"
	"maps"
	"slices"
)

const (
	second Micros = 1_000_000

	// housekeepingInterval is the period of the timer that ends intervals, updates
	// caps and detects stalls of this host.
	housekeepingInterval = second / 10
	// minStall is the delay of the housekeeping timer from which the host counts
	// as stalled.
	minStall = second / 20
	// capUpdateInterval is the shortest time between two updates of the nodes' caps.
	capUpdateInterval = second / 2
	// quadrantInterval is the length of the interval that a volume's quadrant describes.
	quadrantInterval = 2 * second
	// dispatchInterval is the time after which waiting requests are examined again.
	dispatchInterval = second / 100

	// rateStepFraction is the size of a cut, as a fraction of this host's even
	// part of the plan's rate.
	rateStepFraction = 0.05
	// stepsPerCutReview is the number of cuts between two reviews of their
	// effect (m in the CHAMELEON paper).
	stepsPerCutReview = 3

	// capAimFraction is the fraction of the tightest aim that a node may take to
	// serve its units in flight.
	capAimFraction = 0.2
	// lostLatencyMultiple is the number of expected latencies after which an answer may be lost.
	lostLatencyMultiple = 4.0
	// minCapRequests is the smallest cap of a node, in mean requests.
	minCapRequests = 0.25
	// initialCapRequests is the cap of a newly listed node, in mean requests.
	initialCapRequests = 2.0
	// maxCapChange is the largest factor by which one update raises or lowers a cap.
	maxCapChange = 1.25
	// maxCapUnits is the largest cap of a node, in units in flight.
	maxCapUnits = 32.0

	// queueDelayWeight is the weight of a new sample in a node's mean queue delay.
	queueDelayWeight = 0.3
	// busyFraction is the fraction of cap checks that must fail for a node to count as busy.
	busyFraction = 0.5
	// feasibilityMargin is the factor on the expected time that must fit before a request's aim.
	feasibilityMargin = 1.1

	// maxShareDelayFraction is the queue delay, as a fraction of the tightest
	// aim, up to which requests of levelShare are sent.
	maxShareDelayFraction = 0.3
	// initialDelayFraction is the queue delay assumed for a new node, as a
	// fraction of the tightest aim. It holds back requests of levelSpare until
	// the first answers arrive.
	initialDelayFraction = 0.2
	// maxSpareDelayFraction is the bound like maxShareDelayFraction for requests
	// of levelSpare.
	maxSpareDelayFraction = 0.1

	// minDrainRate is the lowest rate at which a queue delay without new samples
	// decays, in microseconds per microsecond.
	minDrainRate = 0.03
	// lossWeight is the weight of one attempt in the share of lost answers.
	lossWeight = 0.02
	// lossThreshold is the share of lost answers from which a missing answer no
	// longer indicates a slow node.
	lossThreshold = 0.02
	// usualRateWeight is the weight of one interval in a shard's usual rate.
	usualRateWeight = 0.1
	// coldUsageFraction is the fraction used of the bound that the usual rate gives
	// for a cold node, because a node may be slower after its restart.
	coldUsageFraction = 0.5
	// costDecreaseWeight is the weight of an answer that was faster than the class's unit cost.
	costDecreaseWeight = 0.1
	// costIncreaseWeight is the weight of a slower answer, which may include
	// time in the node's queue.
	costIncreaseWeight = 0.02
	// ampleLimitFraction is the fill of a limit's bucket from which its units are not scarce.
	ampleLimitFraction = 0.9

	// placementJitter is the largest random increase of a shard's load in chooseShard.
	placementJitter = 0.1
	// minColdFraction replaces a smaller or missing Rules.ColdFrom, which is a divisor.
	minColdFraction = 0.01

	// initialListBackoff is the first wait before the node list is requested
	// again; it doubles with each failure.
	initialListBackoff = second / 2
	// volumeIdleTimeout is the time without requests after which a volume's state is evicted.
	volumeIdleTimeout = 60 * second
	// maxQueueScan is the number of blocked requests examined in one wait queue.
	maxQueueScan = 4
	// tokenBurstTime is the time for which a volume with a token rate accumulates tokens.
	tokenBurstTime = second

	// The tokens of the timers. A request's deadline timer has the token
	// timerTokenRequestBase plus the request's ID.
	timerTokenHousekeeping uint64 = 0
	timerTokenDispatch     uint64 = 1
	timerTokenNodeList     uint64 = 2
	timerTokenRequestBase  uint64 = 16
)

// Step handles events that happened at one time, in their order, and returns
// the actions to carry out, in order. The returned slice is valid until the
// next call.
func (s *Scheduler) Step(now Micros, events ...Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	if !s.started {
		s.started, s.startedAt, s.intervalEndedAt = true, now, now
		s.setHousekeepingTimer()
		if s.settings.Subscribe {
			s.emit(Action{Kind: Subscribe})
		}
	}
	// If the housekeeping timer is long overdue, this host was stalled. Events
	// that arrived meanwhile are delivered only now, so their times say nothing
	// about the nodes.
	if s.stall = s.now - s.nextHousekeepingAt; s.stall > minStall {
		s.stall += housekeepingInterval
	} else {
		s.stall = 0
	}
	for _, e := range events {
		s.handleEvent(e)
	}
	s.dispatch()
	return s.actions
}

// handleEvent updates the state for one event.
func (s *Scheduler) handleEvent(e Event) {
	switch e := e.(type) {
	case *NodeList:
		s.handleNodeList(e)
	case *Request:
		s.acceptRequest(e)
	case *Outcome:
		s.handleOutcome(e)
	case *TimerFired:
		s.handleTimer(e.Token)
	case *StreamStarted:
		if r := s.requests[e.Request]; r != nil {
			r.streaming = true
		}
	case *Abandoned:
		if r := s.requests[e.Request]; r != nil {
			s.closeRequest(r)
		}
	case *Shutdown:
		s.shutdownAt = e.At
		for _, id := range slices.Sorted(maps.Keys(s.requests)) {
			if r := s.requests[id]; r.deadline > s.shutdownAt {
				r.deadline = s.shutdownAt
				s.setDeadlineTimer(r)
			}
		}
	}
}

// setHousekeepingTimer sets the timer for the next housekeeping.
func (s *Scheduler) setHousekeepingTimer() {
	s.nextHousekeepingAt = s.now + housekeepingInterval
	s.setTimer(housekeepingInterval, timerTokenHousekeeping)
}

// handleTimer handles the expiry of the timer with the given token.
func (s *Scheduler) handleTimer(token uint64) {
	switch {
	case token == timerTokenHousekeeping:
		if s.now >= s.capsUpdatedAt+capUpdateInterval {
			s.updateCaps()
		}
		if s.now >= s.intervalEndedAt+quadrantInterval {
			s.endInterval()
		}
		s.setHousekeepingTimer()
	case token == timerTokenDispatch:
		s.dispatchTimerSet = false
		for _, sh := range s.shards {
			sh.needsDispatch = true
			s.releaseLostAttempts(sh.node)
		}
	case token == timerTokenNodeList:
		s.emit(Action{Kind: Subscribe})
	case token >= timerTokenRequestBase:
		if r := s.requests[RequestID(token-timerTokenRequestBase)]; r != nil && !r.closed && !r.streaming {
			s.refuseOrFail(r)
		}
	}
}

// handleNodeList applies a snapshot or a delta of the node list. After a
// failed call it requests the list again with exponential backoff and jitter;
// the longest wait is half of Rules.AskEvery, but at least a second.
func (s *Scheduler) handleNodeList(list *NodeList) {
	if list.Kind == ListFailed {
		s.logf("node list request failed, retrying in %d ms", s.listBackoff/1000)
		s.setTimer(s.listBackoff+Micros(s.random.uniform()*float64(s.listBackoff)), timerTokenNodeList)
		s.listBackoff = min(2*s.listBackoff, max(initialListBackoff, s.settings.Rules.MaxListInterval/4))
		return
	}
	if list.Kind != ListStored {
		s.listBackoff = initialListBackoff
	}
	if list.Kind != ListDelta {
		for _, sh := range s.shards {
			n := sh.node
			if n != nil &&
				!slices.ContainsFunc(list.Nodes, func(listed Node) bool { return listed.ID == n.ID }) {
				n.State = Removed
			}
		}
	}
	for _, listed := range list.Nodes {
		s.updateNode(listed)
	}
}

// updateNode applies one entry of the node list and makes the node its shard's
// node if it replaces the current one.
func (s *Scheduler) updateNode(listed Node) {
	n := s.nodes[listed.ID]
	if n == nil {
		if listed.State == Removed {
			return
		}
		n = &node{Node: Node{Started: -1}, unitCap: initialCapRequests * s.settings.MeanUnits}
		s.nodes[listed.ID] = n
	}
	// Many hosts may discover a new or restarted node at the same time, so it
	// is assumed to have a queue until its first answers arrive.
	if listed.Started > n.Started {
		n.queueDelay, n.queueDelayAt = initialDelayFraction*float64(s.tightestAim), s.now
	}
	n.Node = listed
	sh := s.shardAt(listed.Shard)
	if sh == nil {
		return
	}
	if sh.node == nil || listed.State == Ready &&
		(sh.node.State != Ready || listed.Started > sh.node.Started) {
		sh.node = n
	}
	sh.needsDispatch = true
}

// acceptRequest starts tracking a client's request and queues it, unless it
// has to be refused at once or an earlier request with its key is unfinished.
func (s *Scheduler) acceptRequest(req *Request) {
	if s.requests[req.ID] != nil {
		return
	}
	s.accepted.add(s.now, 1)
	r := &request{
		Request: req, acceptedAt: s.now, deadline: s.now + req.TimeLeft, delayTolerance: 0.5 + s.random.uniform(),
	}
	if s.shutdownAt > 0 {
		r.deadline = min(r.deadline, s.shutdownAt)
	}
	s.requests[req.ID] = r
	if !s.settings.hasClassAndPlan(req) || r.deadline <= s.now {
		s.refuseOrFail(r)
		return
	}
	r.class = &s.settings.Classes[req.Class]
	r.aimAt = s.now + s.aimSpan(r)
	if req.IsRetry { // the aim counts from the client's first try
		r.aimAt -= max(0, r.class.Deadline-req.TimeLeft)
	} else { // the aim counts from the arrival; if a stall delayed the event, Left tells by how much
		s.clientTimeout[req.Class] = max(s.clientTimeout[req.Class], req.TimeLeft)
		r.aimAt -= min(s.stall, s.clientTimeout[req.Class]-req.TimeLeft)
	}
	r.vol = s.findOrAddVolume(req.Volume)
	s.setDeadlineTimer(r)
	if r.class.Ordered && req.HasKey {
		kq := s.keyQueues[req.Key]
		if kq == nil {
			kq = &keyQueue{}
			s.keyQueues[req.Key] = kq
		}
		r.keyQueue = kq
		kq.requests = append(kq.requests, r)
		if kq.requests[0] != r {
			return
		}
	}
	s.enqueue(r)
}

// setDeadlineTimer sets the timer for the last step at which r's final answer
// is in time.
func (s *Scheduler) setDeadlineTimer(r *request) {
	s.setTimer(max(0, r.deadline-s.now-s.settings.Tick), timerTokenRequestBase+uint64(r.ID))
}

// findOrAddVolume returns the state of a volume and adds it if it is missing.
// The limit's bucket of a new volume holds one largest request at the start of
// this host, not its full size, because a killed predecessor of this host may
// have spent its part just before.
func (s *Scheduler) findOrAddVolume(info Volume) *volume {
	v := s.volumes[info.ID]
	if v == nil {
		v = &volume{
			id: info.ID, plan: &s.settings.Plans[info.Plan],
			hosts: float64(max(1, info.Hosts)), quadrant: meet,
		}
		v.refilledAt, v.limitUnits, v.reserveUnits =
			s.startedAt, s.settings.MostUnits, s.settings.MostUnits/v.hosts
		s.volumes[info.ID] = v
		s.volumeOrder = append(s.volumeOrder, v)
	}
	v.hosts = max(v.hosts, float64(info.Hosts))
	v.lastRequestAt = s.now
	return v
}

// refillTokens refills the volume's token buckets (limit, reserve and paced
// tokens) for the time since the last refill. Where nodes report what they
// served through other hosts, the reserve refills at the volume's whole rate;
// otherwise at this host's even part.
func (s *Scheduler) refillTokens(v *volume) {
	elapsedSeconds := float64(s.now-v.refilledAt) / float64(second)
	v.refilledAt = s.now
	v.limitUnits = min(v.limitUnits+v.plan.LimitRate/v.hosts*elapsedSeconds, v.plan.LimitBurst/v.hosts)
	reserveRate := v.plan.Reserve
	if !s.settings.ReportsOthersUnits {
		reserveRate /= v.hosts
	}
	v.reserveUnits = min(v.reserveUnits+reserveRate*elapsedSeconds,
		(v.plan.Reserve+s.settings.MostUnits)/v.hosts)
	v.tokens = min(v.tokens+v.tokenRate*elapsedSeconds,
		v.tokenRate*float64(tokenBurstTime/second)+s.settings.MostUnits)
}

// enqueue adds r to a wait queue of its shard, sorted by aim. A new object
// goes to the shard that chooseShard returns.
func (s *Scheduler) enqueue(r *request) {
	sh := s.shardAt(r.Shard)
	if r.Shard < 0 {
		sh = s.chooseShard(r)
	}
	if sh == nil {
		s.refuseOrFail(r)
		return
	}
	wq := s.waitQueueFor(r, sh)
	r.waitQueue, r.queued = wq, true
	i := len(wq.requests)
	for i > 0 && wq.requests[i-1].aimAt > r.aimAt {
		i--
	}
	wq.requests = slices.Insert(wq.requests, i, r)
	sh.waitingUnits += r.Units
	sh.needsDispatch = true
}

// chooseShard returns the shard for a new object: the one expected to answer
// first, by the units that wait and are in flight and by how long its answers
// take. A shard with a cold node is avoided unless the node's budget has room
// for r now. It returns nil if no shard has a ready node.
func (s *Scheduler) chooseShard(r *request) *shard {
	var best *shard
	var minLoad float64
	for _, sh := range s.shards {
		n := sh.node
		if n == nil || n.State != Ready {
			continue
		}
		load := (sh.waitingUnits + n.unitsInFlight + r.Units) / max(n.unitCap, 1) *
			max(s.expectedDelay(n)+s.serviceTime(r), 1)
		if budget, cold := s.coldBudget(n); cold && (sh.waitingUnits > 0 || !s.fitsColdBudget(n, r, budget)) {
			load += float64(second)
		}
		load *= 1 + placementJitter*s.random.uniform()
		if best == nil || load < minLoad {
			best, minLoad = sh, load
		}
	}
	return best
}

// dispatch sends all requests that may be sent now at shards whose state has
// changed, and sets a timer to examine the remaining ones again.
func (s *Scheduler) dispatch() {
	waiting := false
	for _, sh := range s.shards {
		for sh.needsDispatch {
			sh.needsDispatch = false
			for s.sendNext(sh) {
			}
		}
		waiting = waiting || sh.waitingUnits > 0
	}
	if waiting && !s.dispatchTimerSet {
		s.dispatchTimerSet = true
		s.setTimer(dispatchInterval, timerTokenDispatch)
	}
}

// sendNext sends the waiting request of a shard that has the highest priority.
// It reports whether there was one that may be sent.
func (s *Scheduler) sendNext(sh *shard) bool {
	n := sh.node
	if sh.waitingUnits <= 0 || n == nil || n.State != Ready {
		return false
	}
	n.capChecks++
	if n.unitsInFlight > 0 && n.unitsInFlight+s.settings.MeanUnits > n.unitCap {
		n.capHits++
		return false
	}
	var best *request
	var bestPriority priority
	for _, wq := range sh.waitQueues {
		r := s.nextCandidate(wq, n)
		if r == nil {
			continue
		}
		if p := s.priorityOf(r, n); s.admitsLevel(n, r, p.level) &&
			(best == nil || p.precedes(bestPriority)) {
			best, bestPriority = r, p
		}
	}
	if best == nil {
		return false
	}
	s.send(best, n)
	return true
}

// admitsLevel reports whether n is fast enough for requests of a level. When
// many hosts share a node, each sends too little for its own cap to take
// effect, so the lower levels stop first when answers become slow. The bounds
// vary by request so that the hosts don't stop and resume at the same time.
func (s *Scheduler) admitsLevel(n *node, r *request, level int) bool {
	delayFraction := s.expectedDelay(n) / float64(s.tightestAim) / r.delayTolerance
	switch level {
	case levelShare:
		return delayFraction <= maxShareDelayFraction
	case levelSpare:
		return delayFraction <= maxSpareDelayFraction
	}
	return true
}

// serviceTime returns how long a node without a queue takes to serve r, in
// microseconds.
func (s *Scheduler) serviceTime(r *request) float64 { return s.unitCost[r.Class] * r.Units }

// expectedDelay returns how long a request sent now is expected to wait in n's
// queue, in microseconds. The last estimate decays with time, because a host
// that sends nothing gets no new samples.
func (s *Scheduler) expectedDelay(n *node) float64 {
	delay := max(0, n.queueDelay-s.drainRate()*float64(s.now-n.queueDelayAt))
	if s.lossShare < lossThreshold { // where answers get lost, a missing one doesn't mean a slow node
		delay = max(delay, s.oldestWait(n))
	}
	return delay
}

// nextCandidate returns the first request of a wait queue that may be sent
// now, or nil. Requests that may never be sent, or that even an idle node
// could not serve by their aim, get their final answer: a late request costs a
// node as much as one in time and earns a fraction of it.
func (s *Scheduler) nextCandidate(wq *waitQueue, n *node) *request {
	for i, blocked := 0, 0; i < len(wq.requests) && blocked < maxQueueScan; i++ {
		r := wq.requests[i]
		left, decision := float64(r.aimAt-s.now), s.checkSend(r, n)
		switch {
		case decision == sendNever || left <= feasibilityMargin*s.serviceTime(r):
			s.refuseOrFail(r)
			i = -1
		case left < feasibilityMargin*(s.expectedDelay(n)+s.serviceTime(r)):
			// The request would be late now, but not if the node's queue drains.
		case decision == sendNow:
			return r
		default:
			blocked++
		}
	}
	return nil
}

// The levels of a request, highest worth first.
const (
	levelReserve = iota // inside the volume's reserve
	levelShare          // past the reserve, with tokens left or no token rate
	levelSpare          // past the reserve, without tokens
)

// priority is the key by which waiting requests are ordered: by the worth of
// their units, then by aim.
type priority struct {
	level int
	value float64
	aimAt Micros
}

// precedes reports whether p is sent before other.
func (p priority) precedes(other priority) bool {
	return cmp.Or(cmp.Compare(other.value, p.value), cmp.Compare(p.aimAt, other.aimAt)) < 0
}

// priorityOf returns the priority of r by its class, its plan and what its
// volume has left of reserve and tokens.
func (s *Scheduler) priorityOf(r *request, n *node) priority {
	v := r.vol
	s.refillTokens(v)
	p := priority{levelSpare, r.class.Worth * v.plan.WorthFactor, r.aimAt}
	switch {
	case v.reserveUnits > 0:
		p.level = levelReserve
	case v.tokenRate == 0 || v.tokens >= r.Units:
		p.level = levelShare
		p.value *= s.settings.ShareWorth
	default:
		p.value *= s.settings.SpareWorth
	}
	return p
}

// checkSend decides whether r may be sent to n now. No attempt starts unless
// it returns sendNow.
func (s *Scheduler) checkSend(r *request, n *node) sendDecision {
	switch {
	case r.closed || s.now >= r.deadline: // rule 1
		return sendNever
	case n.State != Ready: // rule 3; Rules.DrainGrace is not made use of
		return sendLater
	case r.Shard >= 0 && r.Shard != n.Shard || len(r.attempts) >= s.settings.MaxAttempts:
		return sendNever
	case r.inFlight > 0: // one attempt at a time: only one node has the data
		return sendLater
	case r.mayHaveRun != nil && !canRepeatOn(r, n, s.now): // rule 2
		return sendNever
	case r.keyQueue != nil && (r.keyQueue.requests[0] != r || s.now < r.keyQueue.notBefore): // rule 5
		return sendLater
	case len(r.attempts) > 0 && !s.isWithinResendBudget(): // rule 6
		return sendNever
	case !s.isWithinVolumeLimit(r, n): // rule 7
		return sendLater
	}
	// Rule 4: r must fit this host's part of what the cold node can handle.
	if budget, cold := s.coldBudget(n); cold && !s.fitsColdBudget(n, r, budget) {
		return sendLater
	}
	return sendNow
}

// fitsColdBudget reports whether r may be sent to the cold node n now, where
// budget is the result of coldBudget. A budget smaller than r is kept by
// pacing: after each send the host waits until its budget has grown back. The
// first sends of all hosts are spread at random, so that their sum stays
// within what the node can handle at any time.
func (s *Scheduler) fitsColdBudget(n *node, r *request, budget float64) bool {
	span := s.settings.Rules.ColdSpan
	if r.Units <= budget {
		return n.recentUnits.sumSince(s.now-span)+r.Units <= budget
	}
	if n.coldPacingStart != n.Started {
		n.coldPacingStart = n.Started
		n.nextColdSendAt = max(n.Started, s.startedAt) +
			Micros(s.random.uniform()*s.settings.MeanUnits/budget*float64(span))
	}
	return s.now >= n.nextColdSendAt
}

// canRepeatOn reports whether r, which may have run already, may be sent to n
// (rule 2).
func canRepeatOn(r *request, n *node, now Micros) bool {
	switch r.class.Repeat {
	case Safe:
		return true
	case Keyed:
		first := r.mayHaveRun.node
		inScope := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && first.Zone == n.Zone ||
			r.class.Scope == ScopeShard && first.Shard == n.Shard
		return inScope && now < r.mayHaveRun.sentAt+r.class.Window
	}
	return false
}

// isWithinResendBudget reports whether the resend budget allows one more
// attempt (rule 6).
func (s *Scheduler) isWithinResendBudget() bool {
	rules := &s.settings.Rules
	if rules.ResendSpan <= 0 {
		return true
	}
	from := s.now - rules.ResendSpan
	return s.resends.sumSince(from)+1 <= rules.ResendFree+rules.ResendRatio*s.accepted.sumSince(from+1)
}

// isWithinVolumeLimit reports whether this host's even part of the volume's
// limit covers r (rule 7). Plan.LimitSlack is not used. While the limit's
// units are scarce, they are kept for the waiting class of the highest worth.
func (s *Scheduler) isWithinVolumeLimit(r *request, n *node) bool {
	v := r.vol
	if r.limitCharged || v.plan.LimitRate <= 0 {
		return true
	}
	s.refillTokens(v)
	if v.limitUnits < r.Units {
		return false
	}
	if v.limitUnits >= ampleLimitFraction*v.plan.LimitBurst/v.hosts {
		return true
	}
	for _, f := range v.flows {
		for _, wq := range f.waitQueues {
			if len(wq.requests) > 0 && s.settings.Classes[wq.class].Worth > r.class.Worth {
				return false
			}
		}
	}
	return true
}

// coldBudget returns the units that this host may send to n within
// Rules.ColdSpan, and whether n is cold; the budget of a warm node is 0. The
// budget grows with the node's age. It is the larger of an even part of what
// any node can handle and a part of what this host was usually served at the shard:
// the usual rates of all hosts add up to no more than the node's capacity.
func (s *Scheduler) coldBudget(n *node) (float64, bool) {
	rules := &s.settings.Rules
	if rules.ColdUnits <= 0 || rules.WarmWithin <= 0 {
		return 0, false
	}
	initialCapacity := max(rules.ColdFrom, minColdFraction)
	usualUnits := s.shardAt(n.Shard).usualRate * float64(rules.ColdSpan) / float64(second)
	initialBudget := max(rules.ColdUnits/float64(s.settings.Hosts),
		coldUsageFraction*rules.ColdMultiple*initialCapacity*usualUnits)
	if n.Started > 0 && s.now-n.Started < rules.WarmWithin {
		age := max(0, float64(s.now-n.Started-rules.ColdSpan)/float64(rules.WarmWithin))
		return initialBudget * (initialCapacity + (1-initialCapacity)*age) / initialCapacity, true
	}
	return 0, false
}

// send starts an attempt that checkSend has allowed, and charges its units to
// the volume's buckets and to the node.
func (s *Scheduler) send(r *request, n *node) {
	v := r.vol
	s.dequeue(r)
	if len(r.attempts) > 0 {
		s.resends.add(s.now, 1)
	}
	if !r.limitCharged {
		r.limitCharged = true
		v.limitUnits -= r.Units
	}
	v.reserveUnits = max(v.reserveUnits-r.Units, -s.settings.MostUnits)
	v.tokens = max(v.tokens-r.Units, -s.settings.MostUnits)
	a := &attempt{request: r, node: n, sentAt: s.now, units: r.Units}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	n.attempts = append(n.attempts, a)
	n.unitsInFlight += a.units
	if budget, cold := s.coldBudget(n); cold {
		n.nextColdSendAt = s.now + Micros(r.Units/budget*float64(s.settings.Rules.ColdSpan))
	}
	n.recentUnits.add(s.now, r.Units)
	n.recentUnits.sumSince(s.now - max(s.settings.Rules.ColdSpan, second)) // drops old entries
	s.emit(Action{Kind: Send, Request: r.ID, Node: n.ID})
}

// handleOutcome records the outcome of an attempt, then closes its request,
// gives its final answer or queues it for another attempt.
func (s *Scheduler) handleOutcome(o *Outcome) {
	r := s.requests[o.Request]
	if r == nil || o.Number < 0 || o.Number >= len(r.attempts) || r.attempts[o.Number].done {
		return
	}
	a := r.attempts[o.Number]
	a.done = true
	r.inFlight--
	if !a.presumedLost {
		a.node.unitsInFlight = max(0, a.node.unitsInFlight-a.units)
	}
	s.recordOutcome(r, a, o)
	if !o.Status.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = a
	}
	// An attempt that was not sent is not charged to the limit.
	if o.Status == NotSent && len(r.attempts) == 1 {
		r.limitCharged = false
		r.vol.limitUnits += r.Units
	}
	if kq := r.keyQueue; kq != nil && o.Status.MayStillRun() {
		kq.notBefore = max(kq.notBefore, s.now+s.settings.Rules.OrderGap)
	}
	if sh := s.shardAt(a.node.Shard); sh != nil {
		sh.needsDispatch = true
	}
	switch {
	case o.Closed || r.closed:
		s.closeRequest(r)
	case r.streaming || s.now >= r.deadline-s.settings.Tick || len(r.attempts) >= s.settings.MaxAttempts ||
		r.mayHaveRun != nil && r.class.Repeat == Unsafe:
		s.refuseOrFail(r)
	default:
		s.enqueue(r)
	}
}

// recordOutcome updates the statistics of the attempt's node, volume and class.
func (s *Scheduler) recordOutcome(r *request, a *attempt, o *Outcome) {
	n, v := a.node, r.vol
	switch o.Status {
	case OK:
		n.newestAnsweredSentAt = max(n.newestAnsweredSentAt, a.sentAt)
		s.lossShare -= lossWeight * s.lossShare
		if s.stall == 0 {
			n.latencySum += float64(o.Latency)
			n.answerCount++
		}
		v.servedUnits += r.Units
		if sh := s.shardAt(n.Shard); sh != nil {
			sh.servedUnits += r.Units
		}
		// The unit cost follows the low end of what is observed, so that it
		// covers the service time without the time in the node's queue.
		observed := float64(o.Latency) / max(r.Units, 1)
		cost, weight := cmp.Or(s.unitCost[r.Class], observed), costIncreaseWeight
		if observed < cost {
			weight = costDecreaseWeight
		}
		s.unitCost[r.Class] = cost + weight*(observed-cost)
		s.updateQueueDelay(n, float64(o.Latency)-s.serviceTime(r))
	case Overloaded, Unreachable:
		s.updateQueueDelay(n, max(n.queueDelay, float64(s.tightestAim)))
	case Reset, TimedOut, Cancelled:
		// If no later attempt was answered, the node is slow and the answer isn't lost.
		if a.sentAt > n.newestAnsweredSentAt {
			s.updateQueueDelay(n, max(n.queueDelay, float64(o.Latency)))
		} else {
			s.lossShare += lossWeight
		}
	}
	if o.FleetUse > 0 {
		v.fleetRate = (o.FleetUse - 1) / 100 * v.plan.Rate
	}
	if o.OthersUnits > 0 {
		v.reserveUnits = max(v.reserveUnits-o.OthersUnits, -s.settings.MostUnits)
	}
}

// releaseLostAttempts stops counting long unanswered attempts towards n's cap
// when answers get lost; they would otherwise occupy the cap until their
// clients give up. Where possible, it cancels those of safe requests that a
// later attempt has overtaken, so that these requests can be sent again.
func (s *Scheduler) releaseLostAttempts(n *node) {
	if n == nil || s.lossShare < lossThreshold {
		return
	}
	for _, a := range n.attempts {
		if a.done || a.presumedLost ||
			float64(s.now-a.sentAt) <= lostLatencyMultiple*(n.queueDelay+s.serviceTime(a.request)) {
			continue
		}
		a.presumedLost = true
		n.unitsInFlight = max(0, n.unitsInFlight-a.units)
		r, overtaken := a.request, n.newestAnsweredSentAt > a.sentAt
		if s.settings.Cancel && overtaken && r.class.Repeat == Safe && !r.closed && !r.streaming {
			s.emit(Action{Kind: Cancel, Request: r.ID, Attempt: len(r.attempts) - 1})
		}
	}
}

// drainRate returns how fast a node's queue delay is assumed to decay while
// this host, one of all that fill the queue, sends nothing, in microseconds
// per microsecond.
func (s *Scheduler) drainRate() float64 { return max(minDrainRate, 1/float64(s.settings.Hosts)) }

// updateQueueDelay adds a sample, in microseconds, to n's mean queue delay.
// Samples taken after a stall of this host are ignored.
func (s *Scheduler) updateQueueDelay(n *node, sample float64) {
	if s.stall > 0 {
		return
	}
	decayed := max(0, n.queueDelay-s.drainRate()*float64(s.now-n.queueDelayAt))
	n.queueDelay, n.queueDelayAt = decayed+queueDelayWeight*(max(0, sample)-decayed), s.now
}

// refuseOrFail gives r its one final answer: a refusal only if no attempt may
// have run or if a repeat is harmless, otherwise a failure (rules 1 and 2).
func (s *Scheduler) refuseOrFail(r *request) {
	if r.closed {
		return
	}
	kind, wait := Fail, Micros(0)
	if r.class == nil || r.mayHaveRun == nil && r.inFlight == 0 || r.class.Repeat == Safe ||
		r.class.Repeat == Keyed && r.class.Scope == ScopeAll {
		// The longest wait, since a retry comes after the aim and earns little.
		kind, wait = Refuse, s.settings.MaxRetryAfter
	}
	s.emit(Action{Kind: kind, Request: r.ID, Delay: wait})
	s.closeRequest(r)
}

// closeRequest marks r as closed. Once its last attempt has an outcome, it
// drops r and queues the next request with r's key.
func (s *Scheduler) closeRequest(r *request) {
	if !r.closed {
		r.closed = true
		s.dequeue(r)
		if r.vol != nil && s.stall == 0 {
			r.vol.answerCount++
			r.vol.aimRatioSum += float64(s.now-r.aimAt+s.aimSpan(r)) / float64(s.aimSpan(r))
		}
	}
	if r.inFlight > 0 {
		return
	}
	delete(s.requests, r.ID)
	if kq := r.keyQueue; kq != nil {
		isHead := kq.requests[0] == r
		if i := slices.Index(kq.requests, r); i >= 0 {
			kq.requests = slices.Delete(kq.requests, i, i+1)
		}
		if isHead && len(kq.requests) > 0 && !kq.requests[0].closed {
			s.enqueue(kq.requests[0])
		}
		if len(kq.requests) == 0 && kq.notBefore <= s.now {
			delete(s.keyQueues, r.Key)
		}
	}
}

// endInterval ends an interval: it classifies the volumes, cuts and restores
// token rates, updates the shards' usual rates and evicts idle state.
func (s *Scheduler) endInterval() {
	seconds := float64(max(s.now-s.intervalEndedAt, quadrantInterval)) / float64(second)
	s.intervalEndedAt = s.now
	for _, v := range s.volumeOrder {
		s.classifyVolume(v, seconds)
	}
	for _, v := range s.volumeOrder {
		s.cutOthersFor(v)
	}
	for _, sh := range s.shards {
		if sh.servedUnits > 0 && s.now-sh.node.Started > s.settings.Rules.WarmWithin {
			sh.usualIntervals++
			sh.usualRate += max(usualRateWeight, 1/sh.usualIntervals) *
				(sh.servedUnits/seconds - sh.usualRate)
		}
		sh.servedUnits = 0
	}
	for _, v := range s.volumeOrder {
		s.restoreRate(v)
	}
	s.evictIdle()
}

// updateCaps sets each node's cap to its service rate times a fraction of the
// tightest aim. The service rate is the units in flight divided by the mean
// latency, and is known only where the cap was reached often enough.
func (s *Scheduler) updateCaps() {
	s.capsUpdatedAt = s.now
	for _, sh := range s.shards {
		n := sh.node
		if n == nil {
			continue
		}
		if n.answerCount > 0 && float64(n.capHits) >= busyFraction*float64(n.capChecks) {
			change := capAimFraction * float64(s.tightestAim) / (n.latencySum / n.answerCount)
			n.unitCap *= min(max(change, 1/maxCapChange), maxCapChange)
			n.unitCap = min(max(n.unitCap, minCapRequests*s.settings.MeanUnits), maxCapUnits)
		}
		n.latencySum, n.answerCount, n.capHits, n.capChecks = 0, 0, 0, 0
	}
}

// classifyVolume sets the volume's served rate, mean aim ratio and quadrant
// for the interval that ends, which took the given seconds. The rate of the
// whole fleet is used where nodes report it.
func (s *Scheduler) classifyVolume(v *volume, seconds float64) {
	v.servedRate = v.servedUnits / seconds
	rate, planRate := v.servedRate, v.plan.Rate/v.hosts
	if v.fleetRate > 0 {
		rate, planRate = v.fleetRate, v.plan.Rate
	}
	v.meanAimRatio = v.aimRatioSum / max(v.answerCount, 1)
	v.wasLucky = v.quadrant == lucky
	switch {
	case v.meanAimRatio > 1 && rate <= planRate:
		v.quadrant = failed
	case v.meanAimRatio > 1:
		v.quadrant = exceed
	case rate > planRate:
		v.quadrant = lucky
	default:
		v.quadrant = meet
	}
	v.servedUnits, v.aimRatioSum, v.answerCount, v.wasCut = 0, 0, 0, false
}

// cutOthersFor lowers the token rates of other volumes by one step if v has
// failed.
func (s *Scheduler) cutOthersFor(v *volume) {
	cuts := &v.cuts
	if v.quadrant != failed {
		cuts.steps, cuts.volumes = 0, nil
		return
	}
	if cuts.volumes == nil || cuts.steps%stepsPerCutReview == 0 && s.isCutListStale(v) {
		s.buildCutList(v)
	}
	for _, other := range cuts.volumes {
		s.cutRate(other)
	}
	cuts.steps++
}

// isCutListStale reports whether v's cut list must be rebuilt: v's latency has
// grown, a listed volume has become lucky, or its rate has doubled or halved.
func (s *Scheduler) isCutListStale(v *volume) bool {
	cuts := &v.cuts
	if v.meanAimRatio > cuts.listedAimRatio {
		return true
	}
	for i, other := range cuts.volumes {
		if other.quadrant == lucky && !other.wasLucky ||
			other.servedRate > 2*cuts.listedRates[i] || other.servedRate < cuts.listedRates[i]/2 {
			return true
		}
	}
	return false
}

// buildCutList lists the volumes to cut for v: of those on v's nodes that have
// not failed, the ones in the first quadrant that occurs, lowest weight first.
func (s *Scheduler) buildCutList(v *volume) {
	cuts := &v.cuts
	cuts.volumes, cuts.listedRates, cuts.listedAimRatio = nil, nil, v.meanAimRatio
	for _, f := range v.flows {
		for _, other := range f.shard.flows {
			if other.vol != v && other.vol.quadrant != failed && other.vol.servedRate > 0 &&
				!slices.Contains(cuts.volumes, other.vol) {
				cuts.volumes = append(cuts.volumes, other.vol)
			}
		}
	}
	slices.SortStableFunc(cuts.volumes, func(a, b *volume) int {
		return cmp.Or(cmp.Compare(a.quadrant, b.quadrant), cmp.Compare(a.plan.Weight, b.plan.Weight))
	})
	for i, other := range cuts.volumes {
		if other.quadrant != cuts.volumes[0].quadrant {
			cuts.volumes = cuts.volumes[:i]
			break
		}
		cuts.listedRates = append(cuts.listedRates, other.servedRate)
	}
}

// rateStep returns the size of one cut of v's token rate, in units a second.
func (v *volume) rateStep() float64 { return rateStepFraction * v.plan.Rate / v.hosts }

// cutRate lowers v's token rate by one step, at most once per interval however
// many failed volumes ask for it.
func (s *Scheduler) cutRate(v *volume) {
	if v.wasCut {
		return
	}
	s.refillTokens(v)
	if v.tokenRate == 0 {
		v.tokenRate, v.uncutRate = v.servedRate, v.servedRate
	}
	v.wasCut = true
	v.tokenRate = max(v.tokenRate-v.rateStep(), v.plan.Reserve/v.hosts, v.rateStep())
}

// restoreRate raises v's token rate by one step times its weight if no volume
// on v's nodes has failed. Once the rate from before the cuts is reached, v is
// unpaced again.
func (s *Scheduler) restoreRate(v *volume) {
	if v.tokenRate == 0 || v.wasCut {
		return
	}
	for _, f := range v.flows {
		for _, other := range f.shard.flows {
			if other.vol.quadrant == failed {
				return
			}
		}
	}
	s.refillTokens(v)
	v.tokenRate += v.rateStep() * v.plan.Weight
	if v.tokenRate >= v.uncutRate {
		v.tokenRate = 0
	}
}

// evictIdle drops idle volumes, removed nodes without attempts in flight, key
// queues that hold nothing back any more and old entries of the resend budget.
func (s *Scheduler) evictIdle() {
	isIdle := func(v *volume) bool { return s.now-v.lastRequestAt > volumeIdleTimeout }
	s.volumeOrder = slices.DeleteFunc(s.volumeOrder, func(v *volume) bool {
		if isIdle(v) {
			delete(s.volumes, v.id)
		}
		return isIdle(v)
	})
	for _, sh := range s.shards {
		sh.waitQueues = slices.DeleteFunc(sh.waitQueues,
			func(wq *waitQueue) bool { return isIdle(wq.flow.vol) })
		sh.flows = slices.DeleteFunc(sh.flows, func(f *flow) bool { return isIdle(f.vol) })
	}
	for id, n := range s.nodes {
		if n.State == Removed && n.unitsInFlight == 0 {
			delete(s.nodes, id)
		}
	}
	for key, kq := range s.keyQueues {
		if len(kq.requests) == 0 && kq.notBefore <= s.now {
			delete(s.keyQueues, key)
		}
	}
	from := s.now - max(s.settings.Rules.ResendSpan, second)
	s.accepted.sumSince(from)
	s.resends.sumSince(from)
}
