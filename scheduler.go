package arrowwalk

// Every decision is in this file; its interface (settings, events, actions)
// is in types.go. The mechanism is CHAMELEON's, as seen from one host:
//
//   - Each volume has a quadrant per interval: failed (under its plan's rate,
//     over its aim), meet, exceed or lucky. For a failed volume the host cuts
//     the token rates of the others on its nodes in constant steps, lucky
//     first; where no volume of a node fails, steps are given back.
//   - A request is accepted, waits in its node's queue by its worth (inside
//     the volume's reserve, past it with tokens, or out of tokens) while its
//     aim can be met, and is sent while the node's cap on the units out and
//     its expected latency allow it.
//   - gate guards every send (rules 2 to 7), finish every answer (rule 1).

import (
	"cmp"
	"maps"
	"slices"
)

// The tuned values. "Paper" is the CHAMELEON paper, "design" the design page,
// "ours" was chosen here by runs on all deployments.
const (
	second                Micros = 1_000_000
	tickInterval                 = second / 10  // ours: how often the host looks whether it stood still
	minStall                     = second / 20  // ours: a beat so late tells of a stall
	capUpdateInterval            = second / 2   // ours: how often caps are learned
	quadrantInterval             = 2 * second   // design: the quadrants' interval
	dispatchInterval             = second / 100 // ours: how often waiting requests are looked at anew
	rateStepFraction             = 0.05         // paper: a step, as part of the volume's even part
	stepsPerCutReview            = 3            // paper's m: steps between two looks at what they brought
	capAimFraction               = 0.2          // ours: part of the tightest aim that units out may take
	lostLatencyMultiple          = 4.0          // ours: mean latencies after which an answer may be lost
	minCapRequests               = 0.25         // ours: least cap, in mean requests
	initialCapRequests           = 2.0          // ours: cap of a node not known yet, in mean requests
	maxCapChange                 = 1.25         // ours: by how much a cap may change at a time
	maxCapUnits                  = 32.0         // design: units out at a node at most
	queueDelayWeight             = 0.3          // ours: weight of a new sample in running means
	busyFraction                 = 0.5          // ours: an interval is busy when the cap bound for this part
	feasibilityMargin            = 1.1          // ours: part of the expected time that must fit before the aim
	maxShareDelayFraction        = 0.3          // ours: queue, in tightest aims, above which no share is sent
	initialDelayFraction         = 0.2          // ours: queue, in tightest aims, at a node not known yet
	maxSpareDelayFraction        = 0.1          // ours: and no spare
	minDrainRate                 = 0.03         // ours: by how much a queue not heard of drains in its time, at least
	lossWeight                   = 0.02         // ours: weight of an answer in the share of lost ones
	lossThreshold                = 0.02         // ours: share of lost answers from which silence is not trusted
	usualRateWeight              = 0.1          // ours: weight of an interval in what a shard usually serves
	coldUsageFraction            = 0.5          // ours: part of a cold node's bounds used: it may be slower
	costDecreaseWeight           = 0.1          // ours: weight of an answer quicker than a class's work is held to be
	costIncreaseWeight           = 0.02         // ours: and of one that took longer, which may have waited
	ampleLimitFraction           = 0.9          // ours: above this part of its store a limit is not scarce
	initialListBackoff           = second / 2   // ours: first wait before asking for the list again; it doubles
	volumeIdleTimeout            = 60 * second  // ours: volumes idle for so long are forgotten
	maxQueueScan                 = 4            // ours: requests of a lane looked at before the next lane
	tokenBurstTime               = second       // ours: tokens a paced volume may save up
	timerTokenTick        uint64 = 0            // timers: the interval,
	timerTokenDispatch    uint64 = 1            // waiting requests,
	timerTokenNodeList    uint64 = 2            // the node list,
	timerTokenRequestBase uint64 = 16           // and from here on a request's deadline
)

// Step takes the events of one time, in their order, and returns what is to
// be done, in order. The returned slice is valid until the next call.
func (s *Scheduler) Step(now Micros, events ...Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	if !s.started {
		s.started, s.startedAt, s.intervalEndedAt = true, now, now
		s.startTick()
		if s.settings.Subscribe {
			s.emit(Action{Kind: Subscribe})
		}
	}
	// A beat long overdue tells that the host stood still: all that came
	// meanwhile comes now, and its times are not the nodes'.
	if s.stall = s.now - s.nextTickAt; s.stall > minStall {
		s.stall += tickInterval
	} else {
		s.stall = 0
	}
	for _, e := range events {
		s.handleEvent(e)
	}
	s.dispatch()
	return s.actions
}

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

// startTick sets the timer of the next look at intervals and stalls.
func (s *Scheduler) startTick() {
	s.nextTickAt = s.now + tickInterval
	s.setTimer(tickInterval, timerTokenTick)
}

// handleTimer handles a timer.
func (s *Scheduler) handleTimer(token uint64) {
	switch {
	case token == timerTokenTick:
		if s.now >= s.capsUpdatedAt+capUpdateInterval {
			s.updateCaps()
		}
		if s.now >= s.intervalEndedAt+quadrantInterval {
			s.endInterval()
		}
		s.startTick()
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

// handleNodeList follows the node handleNodeList.
func (s *Scheduler) handleNodeList(l *NodeList) {
	if l.Kind == ListFailed {
		s.logf("node list failed, asking again in %d ms", s.listBackoff/1000)
		s.setTimer(s.listBackoff+Micros(s.random.uniform()*float64(s.listBackoff)), timerTokenNodeList)
		s.listBackoff = min(2*s.listBackoff, max(initialListBackoff, s.settings.Rules.AskEvery/4))
		return
	}
	if l.Kind != ListStored {
		s.listBackoff = initialListBackoff
	}
	if l.Kind != ListDelta {
		for _, sh := range s.shards {
			n := sh.node
			if n != nil && !slices.ContainsFunc(l.Nodes, func(entry Node) bool { return entry.ID == n.ID }) {
				n.State = Removed
			}
		}
	}
	for _, entry := range l.Nodes {
		s.updateNode(entry)
	}
}

// updateNode takes one entry of the list.
func (s *Scheduler) updateNode(entry Node) {
	n := s.nodes[entry.ID]
	if n == nil {
		if entry.State == Removed {
			return
		}
		n = &node{Node: Node{Started: -1}, unitCap: initialCapRequests * s.settings.MeanUnits}
		s.nodes[entry.ID] = n
	}
	if entry.Started > n.Started { // not known (any more): many hosts may start at once
		n.queueDelay, n.queueDelayAt = initialDelayFraction*float64(s.tightestAim), s.now
	}
	n.Node = entry
	sh := s.shardAt(entry.Shard)
	if sh == nil {
		return
	}
	if sh.node == nil || entry.State == Ready &&
		(sh.node.State != Ready || entry.Started > sh.node.Started) {
		sh.node = n
	}
	sh.needsDispatch = true
}

// acceptRequest takes a client's request.
func (s *Scheduler) acceptRequest(q *Request) {
	if s.requests[q.ID] != nil {
		return
	}
	s.accepted.add(s.now, 1)
	r := &request{Request: q, acceptedAt: s.now, deadline: s.now + q.Left, delayTolerance: 0.5 + s.random.uniform()}
	if s.shutdownAt > 0 {
		r.deadline = min(r.deadline, s.shutdownAt)
	}
	s.requests[q.ID] = r
	if !s.settings.hasClassAndPlan(q) || r.deadline <= s.now {
		s.refuseOrFail(r)
		return
	}
	r.class = &s.settings.Classes[q.Class]
	r.aimAt = s.now + s.aimSpan(r)
	if q.Again { // the aim counts from the client's first try
		r.aimAt -= max(0, r.class.Deadline-q.Left)
	} else { // and from when it came, which Left tells after a stall
		s.clientTimeout[q.Class] = max(s.clientTimeout[q.Class], q.Left)
		r.aimAt -= min(s.stall, s.clientTimeout[q.Class]-q.Left)
	}
	r.vol = s.findOrAddVolume(q.Volume)
	s.setDeadlineTimer(r)
	if r.class.Ordered && q.HasKey {
		t := s.keyQueues[q.Key]
		if t == nil {
			t = &keyQueue{}
			s.keyQueues[q.Key] = t
		}
		r.keyQueue = t
		t.requests = append(t.requests, r)
		if t.requests[0] != r {
			return
		}
	}
	s.enqueue(r)
}

// setDeadlineTimer sets the timer of the last moment for r's final answer.
func (s *Scheduler) setDeadlineTimer(r *request) {
	s.setTimer(max(0, r.deadline-s.now-s.settings.Tick), timerTokenRequestBase+uint64(r.ID))
}

// findOrAddVolume returns the state of a findOrAddVolume, made anew where it is not known. Its
// limit opens with one largest request at this host's start, not with a full
// part: a host that was killed may have spent its part just before.
func (s *Scheduler) findOrAddVolume(q Volume) *volume {
	v := s.volumes[q.ID]
	if v == nil {
		v = &volume{id: q.ID, plan: &s.settings.Plans[q.Plan], hosts: float64(max(1, q.Hosts)), quadrant: meet}
		v.refilledAt, v.limitUnits, v.reserveUnits = s.startedAt, s.settings.MostUnits, s.settings.MostUnits/v.hosts
		s.volumes[q.ID] = v
		s.volumeOrder = append(s.volumeOrder, v)
	}
	v.hosts = max(v.hosts, float64(q.Hosts))
	v.lastRequestAt = s.now
	return v
}

// refillTokens brings the stores of a volume up to now.
func (s *Scheduler) refillTokens(v *volume) {
	span := float64(s.now-v.refilledAt) / float64(second)
	v.refilledAt = s.now
	v.limitUnits = min(v.limitUnits+v.plan.LimitRate/v.hosts*span, v.plan.LimitBurst/v.hosts)
	part := v.plan.Reserve
	if !s.settings.TellsOthers {
		part /= v.hosts
	}
	v.reserveUnits = min(v.reserveUnits+part*span, (v.plan.Reserve+s.settings.MostUnits)/v.hosts)
	v.tokens = min(v.tokens+v.tokenRate*span, v.tokenRate*float64(tokenBurstTime/second)+s.settings.MostUnits)
}

// enqueue lets r wait at its shard, or at the best one for a new object.
func (s *Scheduler) enqueue(r *request) {
	sh := s.shardAt(r.Shard)
	if r.Shard < 0 {
		sh = s.chooseShard(r)
	}
	if sh == nil {
		s.refuseOrFail(r)
		return
	}
	l := s.waitQueueFor(r, sh)
	r.waitQueue, r.queued = l, true
	i := len(l.requests)
	for i > 0 && l.requests[i-1].aimAt > r.aimAt {
		i--
	}
	l.requests = slices.Insert(l.requests, i, r)
	sh.waitingUnits += r.Units
	sh.needsDispatch = true
}

// chooseShard chooses the shard of a new object: the one whose node should answer
// first, by what waits and is out there and how long its answers take; a cold
// one only where this host's turn has come.
func (s *Scheduler) chooseShard(r *request) *shard {
	var best *shard
	var least float64
	for _, sh := range s.shards {
		n := sh.node
		if n == nil || n.State != Ready {
			continue
		}
		load := (sh.waitingUnits + n.unitsInFlight + r.Units) / max(n.unitCap, 1) * max(s.expectedDelay(n)+s.serviceTime(r), 1)
		if allowed, cold := s.coldBudget(n); cold && (sh.waitingUnits > 0 || !s.fitsColdBudget(n, r, allowed)) {
			load += float64(second)
		}
		load *= 1 + 0.1*s.random.uniform()
		if best == nil || load < least {
			best, least = sh, load
		}
	}
	return best
}

// dispatch sends what may go at every shard where something has changed.
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

// sendNext sends the best waiting request of a shard; false: none may go.
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
	var bestRank priority
	for _, l := range sh.waitQueues {
		r := s.nextCandidate(l, n)
		if r == nil {
			continue
		}
		if k := s.priorityOf(r, n); s.admitsLevel(n, r, k.level) && (best == nil || k.precedes(bestRank)) {
			best, bestRank = r, k
		}
	}
	if best == nil {
		return false
	}
	s.send(best, n)
	return true
}

// admitsLevel tells whether n is quick enough for a request of a level. Many hosts
// fill one node, each with too little for a cap of its own to tell: what is
// worth less waits first when answers get slow. The bounds are scattered by
// request, so that hosts do not stop and start in step.
func (s *Scheduler) admitsLevel(n *node, r *request, level int) bool {
	queue := s.expectedDelay(n) / float64(s.tightestAim) / r.delayTolerance
	switch level {
	case levelShare:
		return queue <= maxShareDelayFraction
	case levelSpare:
		return queue <= maxSpareDelayFraction
	}
	return true
}

// serviceTime returns the time that r's work should take on a node that is not slow.
func (s *Scheduler) serviceTime(r *request) float64 { return s.unitCost[r.Class] * r.Units }

// expectedDelay returns how long a request should wait at n now. What was seen is
// taken to drain with time: a host that holds back gets no news.
func (s *Scheduler) expectedDelay(n *node) float64 {
	drained := max(0, n.queueDelay-s.drainRate()*float64(s.now-n.queueDelayAt))
	if s.lossShare < lossThreshold { // where answers get lost, a missing one tells nothing
		drained = max(drained, s.oldestWait(n))
	}
	return drained
}

// nextCandidate returns the first request of a lane that may be sent now. Those
// that gate bars or that not even an idle node could serve in time are
// answered: what is late takes as much of a node and earns a fraction.
func (s *Scheduler) nextCandidate(l *waitQueue, n *node) *request {
	for i, looked := 0, 0; i < len(l.requests) && looked < maxQueueScan; i++ {
		r := l.requests[i]
		left, verdict := float64(r.aimAt-s.now), s.checkSend(r, n)
		switch {
		case verdict == sendNever || left <= feasibilityMargin*s.serviceTime(r):
			s.refuseOrFail(r)
			i = -1
		case left < feasibilityMargin*(s.expectedDelay(n)+s.serviceTime(r)):
		case verdict == sendNow:
			return r
		default:
			looked++
		}
	}
	return nil
}

// The levels of worth, best first.
const (
	levelReserve = iota // inside the volume's reserve
	levelShare          // past it, with tokens
	levelSpare          // out of tokens
)

// priority is the order in which waiting requests go: by the worth of their units,
// then by aim.
type priority struct {
	level int
	value float64
	aimAt Micros
}

func (k priority) precedes(o priority) bool {
	return cmp.Or(cmp.Compare(o.value, k.value), cmp.Compare(k.aimAt, o.aimAt)) < 0
}

func (s *Scheduler) priorityOf(r *request, n *node) priority {
	v := r.vol
	s.refillTokens(v)
	k := priority{levelSpare, r.class.Worth * v.plan.WorthFactor, r.aimAt}
	switch {
	case v.reserveUnits > 0:
		k.level = levelReserve
	case v.tokenRate == 0 || v.tokens >= r.Units:
		k.level = levelShare
		k.value *= s.settings.ShareWorth
	default:
		k.value *= s.settings.SpareWorth
	}
	return k
}

// checkSend guards every send; no attempt starts without its pass.
func (s *Scheduler) checkSend(r *request, n *node) sendDecision {
	switch {
	case r.closed || s.now >= r.deadline: // rule 1
		return sendNever
	case n.State != Ready: // rule 3: at once, ahead of the grace
		return sendLater
	case r.Shard >= 0 && r.Shard != n.Shard || len(r.attempts) >= s.settings.MaxAttempts:
		return sendNever
	case r.inFlight > 0: // one copy at a time: only one node has the data
		return sendLater
	case r.firstMayHaveRun != nil && !canRepeatOn(r, n, s.now): // rule 2
		return sendNever
	case r.keyQueue != nil && (r.keyQueue.requests[0] != r || s.now < r.keyQueue.notBefore): // rule 5
		return sendLater
	case len(r.attempts) > 0 && !s.isWithinResendBudget(): // rule 6
		return sendNever
	case !s.isWithinVolumeLimit(r, n): // rule 7
		return sendLater
	}
	// Rule 4: this host's even part of what a cold node bears, or its turn.
	if allowed, cold := s.coldBudget(n); cold && !s.fitsColdBudget(n, r, allowed) {
		return sendLater
	}
	return sendNow
}

// fitsColdBudget tells whether r fits into this host's part of what a cold node fitsColdBudget.
// A part under one request is a turn in time: after each send the host waits
// for as long as its part needs to grow back. First turns are scattered, so
// that the turns of all hosts add up to what the node fitsColdBudget at any time.
func (s *Scheduler) fitsColdBudget(n *node, r *request, allowed float64) bool {
	span := s.settings.Rules.ColdSpan
	if r.Units <= allowed {
		return n.recentUnits.sumSince(s.now-span)+r.Units <= allowed
	}
	if n.coldPacingStart != n.Started {
		n.coldPacingStart = n.Started
		n.nextColdSendAt = max(n.Started, s.startedAt) + Micros(s.random.uniform()*s.settings.MeanUnits/allowed*float64(span))
	}
	return s.now >= n.nextColdSendAt
}

// canRepeatOn tells whether r, which may have run, may be sent to n (rule 2).
func canRepeatOn(r *request, n *node, now Micros) bool {
	switch r.class.Repeat {
	case Safe:
		return true
	case Keyed:
		first := r.firstMayHaveRun.node
		same := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && first.Zone == n.Zone ||
			r.class.Scope == ScopeShard && first.Shard == n.Shard
		return same && now < r.firstMayHaveRun.sentAt+r.class.Window
	}
	return false
}

// isWithinResendBudget tells whether the budget has room for one more attempt (rule 6).
func (s *Scheduler) isWithinResendBudget() bool {
	rules := &s.settings.Rules
	if rules.ResendSpan <= 0 {
		return true
	}
	from := s.now - rules.ResendSpan
	return s.resends.sumSince(from)+1 <= rules.ResendFree+rules.ResendRatio*s.accepted.sumSince(from+1)
}

// isWithinVolumeLimit tells whether this host's even part of the volume's limit
// holds r (rule 7). The slack is left alone. Units of a scarce limit are kept
// for the waiting class of the greatest worth.
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
		for _, l := range f.waitQueues {
			if len(l.requests) > 0 && s.settings.Classes[l.class].Worth > r.class.Worth {
				return false
			}
		}
	}
	return true
}

// coldBudget returns the units that this host may send to a cold node within
// the rule's span; false for a warm one. It is an even part of what any node
// bears, or a part of what this host was usually served there: what all hosts
// were served together is within the node's capacity.
func (s *Scheduler) coldBudget(n *node) (float64, bool) {
	rules := &s.settings.Rules
	if rules.ColdUnits <= 0 || rules.WarmWithin <= 0 {
		return 0, false
	}
	from := max(rules.ColdFrom, 0.01)
	usual := s.shardAt(n.Shard).usualRate * float64(rules.ColdSpan) / float64(second)
	part := max(rules.ColdUnits/float64(s.settings.Hosts), coldUsageFraction*rules.ColdMultiple*from*usual)
	if n.Started > 0 && s.now-n.Started < rules.WarmWithin {
		age := max(0, float64(s.now-n.Started-rules.ColdSpan)/float64(rules.WarmWithin))
		return part * (from + (1-from)*age) / from, true
	}
	return 0, false
}

// send starts an attempt that gate has passed.
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
	if allowed, cold := s.coldBudget(n); cold {
		n.nextColdSendAt = s.now + Micros(r.Units/allowed*float64(s.settings.Rules.ColdSpan))
	}
	n.recentUnits.add(s.now, r.Units)
	n.recentUnits.sumSince(s.now - max(s.settings.Rules.ColdSpan, second))
	s.emit(Action{Kind: Send, Request: r.ID, Node: n.ID})
}

// handleOutcome learns from an attempt's end and decides what becomes of its
// request.
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
	if !o.Status.NeverRan() && r.firstMayHaveRun == nil {
		r.firstMayHaveRun = a
	}
	if o.Status == NotSent && len(r.attempts) == 1 { // a moot send draws nothing
		r.limitCharged = false
		r.vol.limitUnits += r.Units
	}
	if t := r.keyQueue; t != nil && o.Status.MayStillRun() {
		t.notBefore = max(t.notBefore, s.now+s.settings.Rules.OrderGap)
	}
	if sh := s.shardAt(a.node.Shard); sh != nil {
		sh.needsDispatch = true
	}
	switch {
	case o.Closed || r.closed:
		s.closeRequest(r)
	case r.streaming || s.now >= r.deadline-s.settings.Tick || len(r.attempts) >= s.settings.MaxAttempts ||
		r.firstMayHaveRun != nil && r.class.Repeat == Unsafe:
		s.refuseOrFail(r)
	default:
		s.enqueue(r)
	}
}

// recordOutcome keeps what an outcome tells of its node and its volume.
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
		per := float64(o.Latency) / max(r.Units, 1)
		cost, gain := cmp.Or(s.unitCost[r.Class], per), costIncreaseWeight // the work alone: the low end of what is seen
		if per < cost {
			gain = costDecreaseWeight
		}
		s.unitCost[r.Class] = cost + gain*(per-cost)
		s.updateQueueDelay(n, float64(o.Latency)-s.serviceTime(r))
	case Overloaded, Unreachable:
		s.updateQueueDelay(n, max(n.queueDelay, float64(s.tightestAim)))
	case Reset, TimedOut, Cancelled:
		if a.sentAt > n.newestAnsweredSentAt { // not overtaken: the node is slow, the answer isn't lost
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

// releaseLostAttempts stops counting attempts towards n's cap that have long had no
// answer, where answers get lost: each would hold its room until the client
// gives up. It calls them off, which frees safe ones for another attempt.
func (s *Scheduler) releaseLostAttempts(n *node) {
	if n == nil || s.lossShare < lossThreshold {
		return
	}
	for _, a := range n.attempts {
		if a.done || a.presumedLost || float64(s.now-a.sentAt) <= lostLatencyMultiple*(n.queueDelay+s.serviceTime(a.request)) {
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

// drainRate returns by how much a queue drains in its time while this host, one of
// all that fill it, holds back.
func (s *Scheduler) drainRate() float64 { return max(minDrainRate, 1/float64(s.settings.Hosts)) }

// updateQueueDelay takes in how long a request waited at n.
func (s *Scheduler) updateQueueDelay(n *node, queue float64) {
	if s.stall > 0 {
		return
	}
	drained := max(0, n.queueDelay-s.drainRate()*float64(s.now-n.queueDelayAt))
	n.queueDelay, n.queueDelayAt = drained+queueDelayWeight*(max(0, queue)-drained), s.now
}

// refuseOrFail gives the one final answer: a refusal only where no attempt may
// have run or a repeat is harmless (rules 1 and 2).
func (s *Scheduler) refuseOrFail(r *request) {
	if r.closed {
		return
	}
	kind, wait := Fail, Micros(0)
	if r.class == nil || r.firstMayHaveRun == nil && r.inFlight == 0 || r.class.Repeat == Safe ||
		r.class.Repeat == Keyed && r.class.Scope == ScopeAll {
		kind, wait = Refuse, s.settings.MaxWait // past its aim, its next try is worth little
	}
	s.emit(Action{Kind: kind, Request: r.ID, Delay: wait})
	s.closeRequest(r)
}

// closeRequest closes r and forgets it once its last attempt has its outcome.
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
	if t := r.keyQueue; t != nil {
		head := t.requests[0] == r
		if i := slices.Index(t.requests, r); i >= 0 {
			t.requests = slices.Delete(t.requests, i, i+1)
		}
		if head && len(t.requests) > 0 && !t.requests[0].closed {
			s.enqueue(t.requests[0])
		}
		if len(t.requests) == 0 && t.notBefore <= s.now {
			delete(s.keyQueues, r.Key)
		}
	}
}

// endInterval ends an endInterval: quadrants are set, rates cut or given back, and
// what is old forgotten.
func (s *Scheduler) endInterval() {
	span := float64(max(s.now-s.intervalEndedAt, quadrantInterval)) / float64(second)
	s.intervalEndedAt = s.now
	for _, v := range s.volumeOrder {
		s.classifyVolume(v, span)
	}
	for _, v := range s.volumeOrder {
		s.cutOthersFor(v)
	}
	for _, sh := range s.shards {
		if sh.servedUnits > 0 && s.now-sh.node.Started > s.settings.Rules.WarmWithin {
			sh.usualIntervals++
			sh.usualRate += max(usualRateWeight, 1/sh.usualIntervals) * (sh.servedUnits/span - sh.usualRate)
		}
		sh.servedUnits = 0
	}
	for _, v := range s.volumeOrder {
		s.restoreRate(v)
	}
	s.evictIdle()
}

// updateCaps sets each node's cap: its service rate times a part of the tightest
// aim. The rate is what was out over how long it took, in busy intervals only.
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

// classifyVolume sets a volume's rate, latency and quadrant.
func (s *Scheduler) classifyVolume(v *volume, span float64) {
	v.servedRate = v.servedUnits / span
	rate, due := v.servedRate, v.plan.Rate/v.hosts
	if v.fleetRate > 0 {
		rate, due = v.fleetRate, v.plan.Rate
	}
	v.meanAimRatio = v.aimRatioSum / max(v.answerCount, 1)
	v.wasLucky = v.quadrant == lucky
	switch {
	case v.meanAimRatio > 1 && rate <= due:
		v.quadrant = failed
	case v.meanAimRatio > 1:
		v.quadrant = exceed
	case rate > due:
		v.quadrant = lucky
	default:
		v.quadrant = meet
	}
	v.servedUnits, v.aimRatioSum, v.answerCount, v.wasCut = 0, 0, 0, false
}

// cutOthersFor cuts others for a failed volume, one step an interval.
func (s *Scheduler) cutOthersFor(v *volume) {
	t := &v.cuts
	if v.quadrant != failed {
		t.steps, t.volumes = 0, nil
		return
	}
	if t.volumes == nil || t.steps%stepsPerCutReview == 0 && s.isCutListStale(v) {
		s.buildCutList(v)
	}
	for _, c := range t.volumes {
		s.cutRate(c)
	}
	t.steps++
}

// isCutListStale tells whether the list of cuts must be built anew.
func (s *Scheduler) isCutListStale(v *volume) bool {
	t := &v.cuts
	if v.meanAimRatio > t.listedAimRatio {
		return true
	}
	for i, c := range t.volumes {
		if c.quadrant == lucky && !c.wasLucky || c.servedRate > 2*t.listedRates[i] || c.servedRate < t.listedRates[i]/2 {
			return true
		}
	}
	return false
}

// buildCutList lists the volumes on v's nodes that have not failed: those of the
// first quadrant found, lower weight first.
func (s *Scheduler) buildCutList(v *volume) {
	t := &v.cuts
	t.volumes, t.listedRates, t.listedAimRatio = nil, nil, v.meanAimRatio
	for _, f := range v.flows {
		for _, g := range f.shard.flows {
			if g.vol != v && g.vol.quadrant != failed && g.vol.servedRate > 0 && !slices.Contains(t.volumes, g.vol) {
				t.volumes = append(t.volumes, g.vol)
			}
		}
	}
	slices.SortStableFunc(t.volumes, func(a, b *volume) int {
		return cmp.Or(cmp.Compare(a.quadrant, b.quadrant), cmp.Compare(a.plan.Weight, b.plan.Weight))
	})
	for i, c := range t.volumes {
		if c.quadrant != t.volumes[0].quadrant {
			t.volumes = t.volumes[:i]
			break
		}
		t.listedRates = append(t.listedRates, c.servedRate)
	}
}

func (v *volume) rateStep() float64 { return rateStepFraction * v.plan.Rate / v.hosts }

// cutRate takes one step from c, at most one an interval whoever asks.
func (s *Scheduler) cutRate(c *volume) {
	if c.wasCut {
		return
	}
	s.refillTokens(c)
	if c.tokenRate == 0 {
		c.tokenRate, c.uncutRate = c.servedRate, c.servedRate
	}
	c.wasCut = true
	c.tokenRate = max(c.tokenRate-c.rateStep(), c.plan.Reserve/c.hosts, c.rateStep())
}

// restoreRate returns one step, by weight, to a volume on whose nodes none has
// failed.
func (s *Scheduler) restoreRate(v *volume) {
	if v.tokenRate == 0 || v.wasCut {
		return
	}
	for _, f := range v.flows {
		for _, g := range f.shard.flows {
			if g.vol.quadrant == failed {
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

// evictIdle drops volumes long idle, nodes long gone and keys at rest.
func (s *Scheduler) evictIdle() {
	idle := func(v *volume) bool { return s.now-v.lastRequestAt > volumeIdleTimeout }
	s.volumeOrder = slices.DeleteFunc(s.volumeOrder, func(v *volume) bool {
		if idle(v) {
			delete(s.volumes, v.id)
		}
		return idle(v)
	})
	for _, sh := range s.shards {
		sh.waitQueues = slices.DeleteFunc(sh.waitQueues, func(l *waitQueue) bool { return idle(l.flow.vol) })
		sh.flows = slices.DeleteFunc(sh.flows, func(f *flow) bool { return idle(f.vol) })
	}
	for id, n := range s.nodes {
		if n.State == Removed && n.unitsInFlight == 0 {
			delete(s.nodes, id)
		}
	}
	for key, t := range s.keyQueues {
		if len(t.requests) == 0 && t.notBefore <= s.now {
			delete(s.keyQueues, key)
		}
	}
	from := s.now - max(s.settings.Rules.ResendSpan, second)
	s.accepted.sumSince(from)
	s.resends.sumSince(from)
}
