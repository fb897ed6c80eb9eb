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
	second        Micros = 1_000_000
	beatSpan             = second / 10  // ours: how often the host looks whether it stood still
	stallLeast           = second / 20  // ours: a beat so late tells of a stall
	capSpan              = second / 2   // ours: how often caps are learned
	intervalSpan         = 2 * second   // design: the quadrants' interval
	pulseSpan            = second / 100 // ours: how often waiting requests are looked at anew
	stepPart             = 0.05         // paper: a step, as part of the volume's even part
	stepsPerCheck        = 3            // paper's m: steps between two looks at what they brought
	capAimPart           = 0.2          // ours: part of the tightest aim that units out may take
	lostTimes            = 4.0          // ours: mean latencies after which an answer may be lost
	capLeast             = 0.25         // ours: least cap, in mean requests
	capFirst             = 2.0          // ours: cap of a node not known yet, in mean requests
	capStep              = 1.25         // ours: by how much a cap may change at a time
	capMost              = 32.0         // design: units out at a node at most
	learnPart            = 0.3          // ours: weight of a new sample in running means
	busyPart             = 0.5          // ours: an interval is busy when the cap bound for this part
	feasiblePart         = 1.1          // ours: part of the expected time that must fit before the aim
	sharePart            = 0.3          // ours: queue, in tightest aims, above which no share is sent
	startPart            = 0.2          // ours: queue, in tightest aims, at a node not known yet
	sparePart            = 0.1          // ours: and no spare
	drainLeast           = 0.03         // ours: by how much a queue not heard of drains in its time, at least
	lossyPart            = 0.02         // ours: weight of an answer in the share of lost ones
	lossyFrom            = 0.02         // ours: share of lost answers from which silence is not trusted
	usualPart            = 0.1          // ours: weight of an interval in what a shard usually serves
	coldShare            = 0.5          // ours: part of a cold node's bounds used: it may be slower
	cheapPart            = 0.1          // ours: weight of an answer quicker than a class's work is held to be
	dearPart             = 0.02         // ours: and of one that took longer, which may have waited
	limitFull            = 0.9          // ours: above this part of its store a limit is not scarce
	listFirst            = second / 2   // ours: first wait before asking for the list again; it doubles
	volumeAge            = 60 * second  // ours: volumes idle for so long are forgotten
	scanMost             = 4            // ours: requests of a lane looked at before the next lane
	tokenSpan            = second       // ours: tokens a paced volume may save up
	tokenInterval uint64 = 0            // timers: the interval,
	tokenPulse    uint64 = 1            // waiting requests,
	tokenList     uint64 = 2            // the node list,
	tokenRequest  uint64 = 16           // and from here on a request's deadline
)

// Step takes the events of one time, in their order, and returns what is to
// be done, in order. The returned slice is valid until the next call.
func (s *Scheduler) Step(now Micros, events ...Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	if !s.begun {
		s.begun, s.born, s.ended = true, now, now
		s.beat()
		if s.set.Subscribe {
			s.act(Action{Kind: Subscribe})
		}
	}
	// A beat long overdue tells that the host stood still: all that came
	// meanwhile comes now, and its times are not the nodes'.
	if s.stall = s.now - s.due; s.stall > stallLeast {
		s.stall += beatSpan
	} else {
		s.stall = 0
	}
	for _, e := range events {
		s.handle(e)
	}
	s.dispatch()
	return s.actions
}

func (s *Scheduler) handle(e Event) {
	switch e := e.(type) {
	case *NodeList:
		s.list(e)
	case *Request:
		s.accept(e)
	case *Outcome:
		s.outcome(e)
	case *TimerFired:
		s.ring(e.Token)
	case *StreamStarted:
		if r := s.requests[e.Request]; r != nil {
			r.stream = true
		}
	case *Abandoned:
		if r := s.requests[e.Request]; r != nil {
			s.settle(r)
		}
	case *Shutdown:
		s.end = e.At
		for _, id := range slices.Sorted(maps.Keys(s.requests)) {
			if r := s.requests[id]; r.deadline > s.end {
				r.deadline = s.end
				s.deadline(r)
			}
		}
	}
}

// beat sets the timer of the next look at intervals and stalls.
func (s *Scheduler) beat() {
	s.due = s.now + beatSpan
	s.timer(beatSpan, tokenInterval)
}

// ring handles a timer.
func (s *Scheduler) ring(token uint64) {
	switch {
	case token == tokenInterval:
		if s.now >= s.learned+capSpan {
			s.learnCaps()
		}
		if s.now >= s.ended+intervalSpan {
			s.interval()
		}
		s.beat()
	case token == tokenPulse:
		s.pulsing = false
		for _, sh := range s.shards {
			sh.dirty = true
			s.dropLost(sh.node)
		}
	case token == tokenList:
		s.act(Action{Kind: Subscribe})
	case token >= tokenRequest:
		if r := s.requests[RequestID(token-tokenRequest)]; r != nil && !r.over && !r.stream {
			s.finish(r)
		}
	}
}

// list follows the node list.
func (s *Scheduler) list(l *NodeList) {
	if l.Kind == ListFailed {
		s.logf("node list failed, asking again in %d ms", s.wait/1000)
		s.timer(s.wait+Micros(s.dice.random()*float64(s.wait)), tokenList)
		s.wait = min(2*s.wait, max(listFirst, s.set.Rules.AskEvery/4))
		return
	}
	if l.Kind != ListStored {
		s.wait = listFirst
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
		s.learnNode(entry)
	}
}

// learnNode takes one entry of the list.
func (s *Scheduler) learnNode(entry Node) {
	n := s.nodes[entry.ID]
	if n == nil {
		if entry.State == Removed {
			return
		}
		n = &node{Node: Node{Started: -1}, cap: capFirst * s.set.MeanUnits}
		s.nodes[entry.ID] = n
	}
	if entry.Started > n.Started { // not known (any more): many hosts may start at once
		n.queue, n.sampled = startPart*float64(s.tightest), s.now
	}
	n.Node = entry
	sh := s.shard(entry.Shard)
	if sh == nil {
		return
	}
	if sh.node == nil || entry.State == Ready &&
		(sh.node.State != Ready || entry.Started > sh.node.Started) {
		sh.node = n
	}
	sh.dirty = true
}

// accept takes a client's request.
func (s *Scheduler) accept(q *Request) {
	if s.requests[q.ID] != nil {
		return
	}
	s.taken.add(s.now, 1)
	r := &request{Request: q, taken: s.now, deadline: s.now + q.Left, patience: 0.5 + s.dice.random()}
	if s.end > 0 {
		r.deadline = min(r.deadline, s.end)
	}
	s.requests[q.ID] = r
	if !s.set.known(q) || r.deadline <= s.now {
		s.finish(r)
		return
	}
	r.class = &s.set.Classes[q.Class]
	r.aimAt = s.now + s.aim(r)
	if q.Again { // the aim counts from the client's first try
		r.aimAt -= max(0, r.class.Deadline-q.Left)
	} else { // and from when it came, which Left tells after a stall
		s.patience[q.Class] = max(s.patience[q.Class], q.Left)
		r.aimAt -= min(s.stall, s.patience[q.Class]-q.Left)
	}
	r.vol = s.volume(q.Volume)
	s.deadline(r)
	if r.class.Ordered && q.HasKey {
		t := s.turns[q.Key]
		if t == nil {
			t = &turn{}
			s.turns[q.Key] = t
		}
		r.turn = t
		t.queue = append(t.queue, r)
		if t.queue[0] != r {
			return
		}
	}
	s.enqueue(r)
}

// deadline sets the timer of the last moment for r's final answer.
func (s *Scheduler) deadline(r *request) {
	s.timer(max(0, r.deadline-s.now-s.set.Tick), tokenRequest+uint64(r.ID))
}

// volume returns the state of a volume, made anew where it is not known. Its
// limit opens with one largest request at this host's start, not with a full
// part: a host that was killed may have spent its part just before.
func (s *Scheduler) volume(q Volume) *volume {
	v := s.volumes[q.ID]
	if v == nil {
		v = &volume{id: q.ID, plan: &s.set.Plans[q.Plan], hosts: float64(max(1, q.Hosts)), quad: meet}
		v.filled, v.store, v.reserve = s.born, s.set.MostUnits, s.set.MostUnits/v.hosts
		s.volumes[q.ID] = v
		s.order = append(s.order, v)
	}
	v.hosts = max(v.hosts, float64(q.Hosts))
	v.last = s.now
	return v
}

// fill brings the stores of a volume up to now.
func (s *Scheduler) fill(v *volume) {
	span := float64(s.now-v.filled) / float64(second)
	v.filled = s.now
	v.store = min(v.store+v.plan.LimitRate/v.hosts*span, v.plan.LimitBurst/v.hosts)
	part := v.plan.Reserve
	if !s.set.TellsOthers {
		part /= v.hosts
	}
	v.reserve = min(v.reserve+part*span, (v.plan.Reserve+s.set.MostUnits)/v.hosts)
	v.tokens = min(v.tokens+v.rate*span, v.rate*float64(tokenSpan/second)+s.set.MostUnits)
}

// enqueue lets r wait at its shard, or at the best one for a new object.
func (s *Scheduler) enqueue(r *request) {
	sh := s.shard(r.Shard)
	if r.Shard < 0 {
		sh = s.place(r)
	}
	if sh == nil {
		s.finish(r)
		return
	}
	l := s.laneOf(r, sh)
	r.lane, r.queued = l, true
	i := len(l.queue)
	for i > 0 && l.queue[i-1].aimAt > r.aimAt {
		i--
	}
	l.queue = slices.Insert(l.queue, i, r)
	sh.wait += r.Units
	sh.dirty = true
}

// place chooses the shard of a new object: the one whose node should answer
// first, by what waits and is out there and how long its answers take; a cold
// one only where this host's turn has come.
func (s *Scheduler) place(r *request) *shard {
	var best *shard
	var least float64
	for _, sh := range s.shards {
		n := sh.node
		if n == nil || n.State != Ready {
			continue
		}
		load := (sh.wait + n.out + r.Units) / max(n.cap, 1) * max(s.expected(n)+s.own(r), 1)
		if allowed, cold := s.coldPart(n); cold && (sh.wait > 0 || !s.bears(n, r, allowed)) {
			load += float64(second)
		}
		load *= 1 + 0.1*s.dice.random()
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
		for sh.dirty {
			sh.dirty = false
			for s.sendNext(sh) {
			}
		}
		waiting = waiting || sh.wait > 0
	}
	if waiting && !s.pulsing {
		s.pulsing = true
		s.timer(pulseSpan, tokenPulse)
	}
}

// sendNext sends the best waiting request of a shard; false: none may go.
func (s *Scheduler) sendNext(sh *shard) bool {
	n := sh.node
	if sh.wait <= 0 || n == nil || n.State != Ready {
		return false
	}
	n.looks++
	if n.out > 0 && n.out+s.set.MeanUnits > n.cap {
		n.bound++
		return false
	}
	var best *request
	var bestRank rank
	for _, l := range sh.lanes {
		r := s.candidate(l, n)
		if r == nil {
			continue
		}
		if k := s.rank(r, n); s.admits(n, r, k.level) && (best == nil || k.before(bestRank)) {
			best, bestRank = r, k
		}
	}
	if best == nil {
		return false
	}
	s.send(best, n)
	return true
}

// admits tells whether n is quick enough for a request of a level. Many hosts
// fill one node, each with too little for a cap of its own to tell: what is
// worth less waits first when answers get slow. The bounds are scattered by
// request, so that hosts do not stop and start in step.
func (s *Scheduler) admits(n *node, r *request, level int) bool {
	queue := s.expected(n) / float64(s.tightest) / r.patience
	switch level {
	case levelShare:
		return queue <= sharePart
	case levelSpare:
		return queue <= sparePart
	}
	return true
}

// own returns the time that r's work should take on a node that is not slow.
func (s *Scheduler) own(r *request) float64 { return s.cost[r.Class] * r.Units }

// expected returns how long a request should wait at n now. What was seen is
// taken to drain with time: a host that holds back gets no news.
func (s *Scheduler) expected(n *node) float64 {
	drained := max(0, n.queue-s.drain()*float64(s.now-n.sampled))
	if s.lossy < lossyFrom { // where answers get lost, a missing one tells nothing
		drained = max(drained, s.oldest(n))
	}
	return drained
}

// candidate returns the first request of a lane that may be sent now. Those
// that gate bars or that not even an idle node could serve in time are
// answered: what is late takes as much of a node and earns a fraction.
func (s *Scheduler) candidate(l *lane, n *node) *request {
	for i, looked := 0, 0; i < len(l.queue) && looked < scanMost; i++ {
		r := l.queue[i]
		left, verdict := float64(r.aimAt-s.now), s.gate(r, n)
		switch {
		case verdict == bar || left <= feasiblePart*s.own(r):
			s.finish(r)
			i = -1
		case left < feasiblePart*(s.expected(n)+s.own(r)):
		case verdict == pass:
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

// rank is the order in which waiting requests go: by the worth of their units,
// then by aim.
type rank struct {
	level int
	value float64
	aimAt Micros
}

func (k rank) before(o rank) bool {
	return cmp.Or(cmp.Compare(o.value, k.value), cmp.Compare(k.aimAt, o.aimAt)) < 0
}

func (s *Scheduler) rank(r *request, n *node) rank {
	v := r.vol
	s.fill(v)
	k := rank{levelSpare, r.class.Worth * v.plan.WorthFactor, r.aimAt}
	switch {
	case v.reserve > 0:
		k.level = levelReserve
	case v.rate == 0 || v.tokens >= r.Units:
		k.level = levelShare
		k.value *= s.set.ShareWorth
	default:
		k.value *= s.set.SpareWorth
	}
	return k
}

// gate guards every send; no attempt starts without its pass.
func (s *Scheduler) gate(r *request, n *node) verdict {
	switch {
	case r.over || s.now >= r.deadline: // rule 1
		return bar
	case n.State != Ready: // rule 3: at once, ahead of the grace
		return hold
	case r.Shard >= 0 && r.Shard != n.Shard || len(r.attempts) >= s.set.MaxAttempts:
		return bar
	case r.out > 0: // one copy at a time: only one node has the data
		return hold
	case r.ran != nil && !mayRepeat(r, n, s.now): // rule 2
		return bar
	case r.turn != nil && (r.turn.queue[0] != r || s.now < r.turn.rest): // rule 5
		return hold
	case len(r.attempts) > 0 && !s.mayResend(): // rule 6
		return bar
	case !s.insideLimit(r, n): // rule 7
		return hold
	}
	// Rule 4: this host's even part of what a cold node bears, or its turn.
	if allowed, cold := s.coldPart(n); cold && !s.bears(n, r, allowed) {
		return hold
	}
	return pass
}

// bears tells whether r fits into this host's part of what a cold node bears.
// A part under one request is a turn in time: after each send the host waits
// for as long as its part needs to grow back. First turns are scattered, so
// that the turns of all hosts add up to what the node bears at any time.
func (s *Scheduler) bears(n *node, r *request, allowed float64) bool {
	span := s.set.Rules.ColdSpan
	if r.Units <= allowed {
		return n.sent.since(s.now-span)+r.Units <= allowed
	}
	if n.turnOf != n.Started {
		n.turnOf = n.Started
		n.turn = max(n.Started, s.born) + Micros(s.dice.random()*s.set.MeanUnits/allowed*float64(span))
	}
	return s.now >= n.turn
}

// mayRepeat tells whether r, which may have run, may be sent to n (rule 2).
func mayRepeat(r *request, n *node, now Micros) bool {
	switch r.class.Repeat {
	case Safe:
		return true
	case Keyed:
		first := r.ran.node
		same := r.class.Scope == ScopeAll || r.class.Scope == ScopeZone && first.Zone == n.Zone ||
			r.class.Scope == ScopeShard && first.Shard == n.Shard
		return same && now < r.ran.sent+r.class.Window
	}
	return false
}

// mayResend tells whether the budget has room for one more attempt (rule 6).
func (s *Scheduler) mayResend() bool {
	rules := &s.set.Rules
	if rules.ResendSpan <= 0 {
		return true
	}
	from := s.now - rules.ResendSpan
	return s.resent.since(from)+1 <= rules.ResendFree+rules.ResendRatio*s.taken.since(from+1)
}

// insideLimit tells whether this host's even part of the volume's limit
// holds r (rule 7). The slack is left alone. Units of a scarce limit are kept
// for the waiting class of the greatest worth.
func (s *Scheduler) insideLimit(r *request, n *node) bool {
	v := r.vol
	if r.drawn || v.plan.LimitRate <= 0 {
		return true
	}
	s.fill(v)
	if v.store < r.Units {
		return false
	}
	if v.store >= limitFull*v.plan.LimitBurst/v.hosts {
		return true
	}
	for _, f := range v.flows {
		for _, l := range f.lanes {
			if len(l.queue) > 0 && s.set.Classes[l.class].Worth > r.class.Worth {
				return false
			}
		}
	}
	return true
}

// coldPart returns the units that this host may send to a cold node within
// the rule's span; false for a warm one. It is an even part of what any node
// bears, or a part of what this host was usually served there: what all hosts
// were served together is within the node's capacity.
func (s *Scheduler) coldPart(n *node) (float64, bool) {
	rules := &s.set.Rules
	if rules.ColdUnits <= 0 || rules.WarmWithin <= 0 {
		return 0, false
	}
	from := max(rules.ColdFrom, 0.01)
	usual := s.shard(n.Shard).usual * float64(rules.ColdSpan) / float64(second)
	part := max(rules.ColdUnits/float64(s.set.Hosts), coldShare*rules.ColdMultiple*from*usual)
	if n.Started > 0 && s.now-n.Started < rules.WarmWithin {
		age := max(0, float64(s.now-n.Started-rules.ColdSpan)/float64(rules.WarmWithin))
		return part * (from + (1-from)*age) / from, true
	}
	return 0, false
}

// send starts an attempt that gate has passed.
func (s *Scheduler) send(r *request, n *node) {
	v := r.vol
	s.unqueue(r)
	if len(r.attempts) > 0 {
		s.resent.add(s.now, 1)
	}
	if !r.drawn {
		r.drawn = true
		v.store -= r.Units
	}
	v.reserve = max(v.reserve-r.Units, -s.set.MostUnits)
	v.tokens = max(v.tokens-r.Units, -s.set.MostUnits)
	a := &attempt{request: r, node: n, sent: s.now, units: r.Units}
	r.attempts = append(r.attempts, a)
	r.out++
	n.outs = append(n.outs, a)
	n.out += a.units
	if allowed, cold := s.coldPart(n); cold {
		n.turn = s.now + Micros(r.Units/allowed*float64(s.set.Rules.ColdSpan))
	}
	n.sent.add(s.now, r.Units)
	n.sent.since(s.now - max(s.set.Rules.ColdSpan, second))
	s.act(Action{Kind: Send, Request: r.ID, Node: n.ID})
}

// outcome learns from an attempt's end and decides what becomes of its
// request.
func (s *Scheduler) outcome(o *Outcome) {
	r := s.requests[o.Request]
	if r == nil || o.Number < 0 || o.Number >= len(r.attempts) || r.attempts[o.Number].done {
		return
	}
	a := r.attempts[o.Number]
	a.done = true
	r.out--
	if !a.lost {
		a.node.out = max(0, a.node.out-a.units)
	}
	s.learn(r, a, o)
	if !o.Status.NeverRan() && r.ran == nil {
		r.ran = a
	}
	if o.Status == NotSent && len(r.attempts) == 1 { // a moot send draws nothing
		r.drawn = false
		r.vol.store += r.Units
	}
	if t := r.turn; t != nil && o.Status.MayStillRun() {
		t.rest = max(t.rest, s.now+s.set.Rules.OrderGap)
	}
	if sh := s.shard(a.node.Shard); sh != nil {
		sh.dirty = true
	}
	switch {
	case o.Closed || r.over:
		s.settle(r)
	case r.stream || s.now >= r.deadline-s.set.Tick || len(r.attempts) >= s.set.MaxAttempts ||
		r.ran != nil && r.class.Repeat == Unsafe:
		s.finish(r)
	default:
		s.enqueue(r)
	}
}

// learn keeps what an outcome tells of its node and its volume.
func (s *Scheduler) learn(r *request, a *attempt, o *Outcome) {
	n, v := a.node, r.vol
	switch o.Status {
	case OK:
		n.heard = max(n.heard, a.sent)
		s.lossy -= lossyPart * s.lossy
		if s.stall == 0 {
			n.spent += float64(o.Latency)
			n.answers++
		}
		v.units += r.Units
		if sh := s.shard(n.Shard); sh != nil {
			sh.served += r.Units
		}
		per := float64(o.Latency) / max(r.Units, 1)
		cost, gain := cmp.Or(s.cost[r.Class], per), dearPart // the work alone: the low end of what is seen
		if per < cost {
			gain = cheapPart
		}
		s.cost[r.Class] = cost + gain*(per-cost)
		s.sample(n, float64(o.Latency)-s.own(r))
	case Overloaded, Unreachable:
		s.sample(n, max(n.queue, float64(s.tightest)))
	case Reset, TimedOut, Cancelled:
		if a.sent > n.heard { // not overtaken: the node is slow, the answer isn't lost
			s.sample(n, max(n.queue, float64(o.Latency)))
		} else {
			s.lossy += lossyPart
		}
	}
	if o.FleetUse > 0 {
		v.told = (o.FleetUse - 1) / 100 * v.plan.Rate
	}
	if o.OthersUnits > 0 {
		v.reserve = max(v.reserve-o.OthersUnits, -s.set.MostUnits)
	}
}

// dropLost stops counting attempts towards n's cap that have long had no
// answer, where answers get lost: each would hold its room until the client
// gives up. It calls them off, which frees safe ones for another attempt.
func (s *Scheduler) dropLost(n *node) {
	if n == nil || s.lossy < lossyFrom {
		return
	}
	for _, a := range n.outs {
		if a.done || a.lost || float64(s.now-a.sent) <= lostTimes*(n.queue+s.own(a.request)) {
			continue
		}
		a.lost = true
		n.out = max(0, n.out-a.units)
		r, overtaken := a.request, n.heard > a.sent
		if s.set.Cancel && overtaken && r.class.Repeat == Safe && !r.over && !r.stream {
			s.act(Action{Kind: Cancel, Request: r.ID, Attempt: len(r.attempts) - 1})
		}
	}
}

// drain returns by how much a queue drains in its time while this host, one of
// all that fill it, holds back.
func (s *Scheduler) drain() float64 { return max(drainLeast, 1/float64(s.set.Hosts)) }

// sample takes in how long a request waited at n.
func (s *Scheduler) sample(n *node, queue float64) {
	if s.stall > 0 {
		return
	}
	drained := max(0, n.queue-s.drain()*float64(s.now-n.sampled))
	n.queue, n.sampled = drained+learnPart*(max(0, queue)-drained), s.now
}

// finish gives the one final answer: a refusal only where no attempt may
// have run or a repeat is harmless (rules 1 and 2).
func (s *Scheduler) finish(r *request) {
	if r.over {
		return
	}
	kind, wait := Fail, Micros(0)
	if r.class == nil || r.ran == nil && r.out == 0 || r.class.Repeat == Safe ||
		r.class.Repeat == Keyed && r.class.Scope == ScopeAll {
		kind, wait = Refuse, s.set.MaxWait // past its aim, its next try is worth little
	}
	s.act(Action{Kind: kind, Request: r.ID, Delay: wait})
	s.settle(r)
}

// settle closes r and forgets it once its last attempt has its outcome.
func (s *Scheduler) settle(r *request) {
	if !r.over {
		r.over = true
		s.unqueue(r)
		if r.vol != nil && s.stall == 0 {
			r.vol.answers++
			r.vol.ratio += float64(s.now-r.aimAt+s.aim(r)) / float64(s.aim(r))
		}
	}
	if r.out > 0 {
		return
	}
	delete(s.requests, r.ID)
	if t := r.turn; t != nil {
		head := t.queue[0] == r
		if i := slices.Index(t.queue, r); i >= 0 {
			t.queue = slices.Delete(t.queue, i, i+1)
		}
		if head && len(t.queue) > 0 && !t.queue[0].over {
			s.enqueue(t.queue[0])
		}
		if len(t.queue) == 0 && t.rest <= s.now {
			delete(s.turns, r.Key)
		}
	}
}

// interval ends an interval: quadrants are set, rates cut or given back, and
// what is old forgotten.
func (s *Scheduler) interval() {
	span := float64(max(s.now-s.ended, intervalSpan)) / float64(second)
	s.ended = s.now
	for _, v := range s.order {
		s.measure(v, span)
	}
	for _, v := range s.order {
		s.cutFor(v)
	}
	for _, sh := range s.shards {
		if sh.served > 0 && s.now-sh.node.Started > s.set.Rules.WarmWithin {
			sh.seen++
			sh.usual += max(usualPart, 1/sh.seen) * (sh.served/span - sh.usual)
		}
		sh.served = 0
	}
	for _, v := range s.order {
		s.giveBack(v)
	}
	s.forget()
}

// learnCaps sets each node's cap: its service rate times a part of the tightest
// aim. The rate is what was out over how long it took, in busy intervals only.
func (s *Scheduler) learnCaps() {
	s.learned = s.now
	for _, sh := range s.shards {
		n := sh.node
		if n == nil {
			continue
		}
		if n.answers > 0 && float64(n.bound) >= busyPart*float64(n.looks) {
			change := capAimPart * float64(s.tightest) / (n.spent / n.answers)
			n.cap *= min(max(change, 1/capStep), capStep)
			n.cap = min(max(n.cap, capLeast*s.set.MeanUnits), capMost)
		}
		n.spent, n.answers, n.bound, n.looks = 0, 0, 0, 0
	}
}

// measure sets a volume's rate, latency and quadrant.
func (s *Scheduler) measure(v *volume, span float64) {
	v.measured = v.units / span
	rate, due := v.measured, v.plan.Rate/v.hosts
	if v.told > 0 {
		rate, due = v.told, v.plan.Rate
	}
	v.over = v.ratio / max(v.answers, 1)
	v.wasLucky = v.quad == lucky
	switch {
	case v.over > 1 && rate <= due:
		v.quad = failed
	case v.over > 1:
		v.quad = exceed
	case rate > due:
		v.quad = lucky
	default:
		v.quad = meet
	}
	v.units, v.ratio, v.answers, v.cut = 0, 0, 0, false
}

// cutFor cuts others for a failed volume, one step an interval.
func (s *Scheduler) cutFor(v *volume) {
	t := &v.trial
	if v.quad != failed {
		t.steps, t.list = 0, nil
		return
	}
	if t.list == nil || t.steps%stepsPerCheck == 0 && s.changed(v) {
		s.listCuts(v)
	}
	for _, c := range t.list {
		s.cutOne(c)
	}
	t.steps++
}

// changed tells whether the list of cuts must be built anew.
func (s *Scheduler) changed(v *volume) bool {
	t := &v.trial
	if v.over > t.over {
		return true
	}
	for i, c := range t.list {
		if c.quad == lucky && !c.wasLucky || c.measured > 2*t.rates[i] || c.measured < t.rates[i]/2 {
			return true
		}
	}
	return false
}

// listCuts lists the volumes on v's nodes that have not failed: those of the
// first quadrant found, lower weight first.
func (s *Scheduler) listCuts(v *volume) {
	t := &v.trial
	t.list, t.rates, t.over = nil, nil, v.over
	for _, f := range v.flows {
		for _, g := range f.shard.flows {
			if g.vol != v && g.vol.quad != failed && g.vol.measured > 0 && !slices.Contains(t.list, g.vol) {
				t.list = append(t.list, g.vol)
			}
		}
	}
	slices.SortStableFunc(t.list, func(a, b *volume) int {
		return cmp.Or(cmp.Compare(a.quad, b.quad), cmp.Compare(a.plan.Weight, b.plan.Weight))
	})
	for i, c := range t.list {
		if c.quad != t.list[0].quad {
			t.list = t.list[:i]
			break
		}
		t.rates = append(t.rates, c.measured)
	}
}

func (v *volume) step() float64 { return stepPart * v.plan.Rate / v.hosts }

// cutOne takes one step from c, at most one an interval whoever asks.
func (s *Scheduler) cutOne(c *volume) {
	if c.cut {
		return
	}
	s.fill(c)
	if c.rate == 0 {
		c.rate, c.before = c.measured, c.measured
	}
	c.cut = true
	c.rate = max(c.rate-c.step(), c.plan.Reserve/c.hosts, c.step())
}

// giveBack returns one step, by weight, to a volume on whose nodes none has
// failed.
func (s *Scheduler) giveBack(v *volume) {
	if v.rate == 0 || v.cut {
		return
	}
	for _, f := range v.flows {
		for _, g := range f.shard.flows {
			if g.vol.quad == failed {
				return
			}
		}
	}
	s.fill(v)
	v.rate += v.step() * v.plan.Weight
	if v.rate >= v.before {
		v.rate = 0
	}
}

// forget drops volumes long idle, nodes long gone and keys at rest.
func (s *Scheduler) forget() {
	idle := func(v *volume) bool { return s.now-v.last > volumeAge }
	s.order = slices.DeleteFunc(s.order, func(v *volume) bool {
		if idle(v) {
			delete(s.volumes, v.id)
		}
		return idle(v)
	})
	for _, sh := range s.shards {
		sh.lanes = slices.DeleteFunc(sh.lanes, func(l *lane) bool { return idle(l.flow.vol) })
		sh.flows = slices.DeleteFunc(sh.flows, func(f *flow) bool { return idle(f.vol) })
	}
	for id, n := range s.nodes {
		if n.State == Removed && n.out == 0 {
			delete(s.nodes, id)
		}
	}
	for key, t := range s.turns {
		if len(t.queue) == 0 && t.rest <= s.now {
			delete(s.turns, key)
		}
	}
	from := s.now - max(s.set.Rules.ResendSpan, second)
	s.taken.since(from)
	s.resent.since(from)
}
