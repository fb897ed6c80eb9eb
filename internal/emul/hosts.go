package emul

import (
	"fmt"
	"time"

	"arrowwalk"
	"arrowwalk/internal/emul/model"
	"arrowwalk/internal/emul/policy"
	"arrowwalk/internal/membership/trust"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/stall"
)

// hostSim is an emulated host: the module with its timers (host.Engine), the
// gate that node lists pass, and what the running host keeps beside them.
type hostSim struct {
	id, zone  int
	skew      int64 // its clock is ahead by as much
	run       int
	up        bool
	stalled   int64 // until
	stallFrom int64
	stood     stall.Stall // the last time that it stood still
	decider   policy.Scheduler
	requests  map[arrowwalk.RequestID]*request
	last      uint64
	inbox     []arrowwalk.Event
	held      []heldEvent // what came during a stall
	armed     int64
	down      []outage // crashes, which excuse that there is no answer

	gate     *trust.Gate
	doubts   *trust.Verifier
	known    []arrowwalk.Node // the last list that was taken
	knownAt  int64
	told     map[arrowwalk.NodeID]int // open entries of the trace
	heardAny bool
}

type outage struct{ from, to int64 }

// heldEvent is what came to a host that stood still, and when.
type heldEvent struct {
	event
	at int64
}

// attempt is one sending.
type attempt struct {
	rq      *request
	number  int
	run     int
	brick   int
	sent    int64
	over    bool // its end is known to the host
	status  arrowwalk.Status
	others  float64
	arrival int32
	job     *model.Job
}

func (at *attempt) task() string {
	return fmt.Sprintf("%d-%d-%d-%d", at.rq.host, at.run, at.rq.id<<8|uint64(at.rq.tries), at.rq.task)
}

// list is one version of the node list.
type list struct {
	version int64
	nodes   []arrowwalk.Node
}

// publish makes a new version of the node list out of what is, and tells it to
// all hosts that hear of it.
func (s *Sim) publish() {
	s.lists = append(s.lists, list{int64(len(s.lists) + 1), nil})
	l := &s.lists[len(s.lists)-1]
	for _, b := range s.bricks {
		if state := s.listed(b); state != arrowwalk.Removed {
			l.nodes = append(l.nodes, arrowwalk.Node{ID: arrowwalk.NodeID(b.Name), Shard: b.Shard, Zone: b.Zone, State: state, Started: arrowwalk.Micros(b.Started)})
		}
	}
	for _, h := range s.hosts {
		s.tell(h, len(s.lists)-1)
	}
}

// tell sends a version of the list on its way to a host.
func (s *Sim) tell(h *hostSim, version int) {
	if s.listDown || s.blocked[h.id] {
		return
	}
	s.push(s.now+s.span(s.net, s.s.Site.ListMS)*1000, event{kind: evList, who: int32(h.id), n: int64(version)})
}

// startHost starts a host, or starts it again with its last list.
func (s *Sim) startHost(h *hostSim) error {
	set := s.s.GatewayConfig(h.id, s.rates).Module()
	set.MeanUnits, set.MostUnits = s.s.MeanUnits(), float64(s.s.Load.Units[1])
	set.Seed = s.s.Seed<<16 + uint64(h.id)<<4 + uint64(h.run)
	var err error
	if h.decider, err = policy.New(s.s.Policy, set, s.clock(h)); err != nil {
		return err
	}
	h.run++
	h.up, h.requests, h.last, h.armed, h.inbox, h.held = true, map[arrowwalk.RequestID]*request{}, 0, 0, nil, nil
	h.told = map[arrowwalk.NodeID]int{}
	first := h.run == 1
	h.gate = trust.NewGate(10*time.Second, 10*time.Second, 3, len(h.known))
	if first {
		h.gate.Decide(trust.Offer{Source: "list", Version: 1, BrickCount: len(s.lists[0].nodes)})
		s.take(h, arrowwalk.ListSnapshot, &s.lists[0])
	} else {
		s.restore(h)
		s.tell(h, len(s.lists)-1)
	}
	s.step(h)
	return nil
}

// restore has a host that comes back go by its last list as far as that is
// believed (package trust), and ask the bricks that it doubts.
func (s *Sim) restore(h *hostSim) {
	ids, ages := []trust.Identity{}, map[string]time.Duration{}
	for _, n := range h.known {
		ids = append(ids, trust.Identity{Name: string(n.ID), Shard: n.Shard, Started: int64(n.Started)})
		ages[string(n.ID)] = time.Duration(s.now-h.knownAt) * time.Microsecond
	}
	h.doubts = trust.NewVerifier(ids, ages, trust.ChangeRate{})
	nodes := make([]arrowwalk.Node, len(h.known))
	for i, n := range h.known {
		nodes[i] = s.doubted(h, n)
	}
	h.inbox = append(h.inbox, &arrowwalk.NodeList{Kind: arrowwalk.ListStored, Nodes: nodes})
	s.note(h, h.known) // its own list told it that some drain
	s.push(s.now, event{kind: evAsk, who: int32(h.id), n: int64(h.run)})
}

// doubted makes of a kept entry what its level allows.
func (s *Sim) doubted(h *hostSim, n arrowwalk.Node) arrowwalk.Node {
	e, _ := h.doubts.Entry(string(n.ID))
	switch {
	case n.State != arrowwalk.Ready:
	case !trust.MayServe(e.Level):
		n.State = arrowwalk.Draining
	case e.Level == trust.Aged:
		n.Started = s.clock(h)
	case e.Started > 0:
		n.Started = arrowwalk.Micros(e.Started)
	}
	return n
}

// ask sends questions to bricks that a host doubts.
func (s *Sim) ask(h *hostSim) {
	if h.doubts == nil {
		return
	}
	for _, id := range h.doubts.StartProbes(time.Duration(s.now)*time.Microsecond, 4) {
		for _, b := range s.bricks {
			if b.Name == id.Name {
				wait := 2 * s.delay()
				if b.mute || s.lost(h.id, b) {
					wait = 500_000
				}
				s.push(s.now+wait, event{kind: evAsked, who: int32(h.id), n: int64(b.number)})
			}
		}
	}
	s.push(s.now+200_000, event{kind: evAsk, who: int32(h.id), n: int64(h.run)})
}

// asked takes in what a question showed.
func (s *Sim) asked(h *hostSim, b *brickSim) {
	if h.doubts == nil {
		return
	}
	what := trust.Answered
	switch {
	case b.mute || b.Collapsed || s.lost(h.id, b):
		what = trust.TimedOut
	case b.Dead:
		what = trust.ConnRefused
	}
	if !h.doubts.Observe(b.Name, what, b.Started, time.Duration(s.now)*time.Microsecond) {
		return
	}
	for _, n := range h.known {
		if string(n.ID) == b.Name {
			h.inbox = append(h.inbox, &arrowwalk.NodeList{Kind: arrowwalk.ListDelta, Nodes: []arrowwalk.Node{s.doubted(h, n)}})
		}
	}
}

// heard offers a list to a host's gate.
func (s *Sim) heard(h *hostSim, l *list) {
	answer, _ := h.gate.Decide(trust.Offer{Source: "list", Version: l.version, BrickCount: len(l.nodes), At: time.Duration(s.now) * time.Microsecond})
	if answer == trust.Accept {
		h.doubts = nil
		s.take(h, arrowwalk.ListSnapshot, l)
	}
}

func (s *Sim) take(h *hostSim, kind arrowwalk.ListKind, l *list) {
	nodes := l.nodes
	if s.s.Site.DisabledGuard == "cold" { // the host takes cold bricks for warm ones
		nodes = make([]arrowwalk.Node, len(l.nodes))
		for i, n := range l.nodes {
			n.Started = 0
			nodes[i] = n
		}
	}
	if s.s.Site.DisabledGuard == "drains" { // the host is not told that bricks drain
		nodes = make([]arrowwalk.Node, len(l.nodes))
		for i, n := range l.nodes {
			n.State = arrowwalk.Ready
			nodes[i] = n
		}
	}
	h.inbox = append(h.inbox, &arrowwalk.NodeList{Kind: kind, Version: l.version, Nodes: nodes})
	s.note(h, l.nodes)
	h.known, h.knownAt = l.nodes, s.now
}

// note writes down since when a host knows that bricks drain or are gone.
func (s *Sim) note(h *hostSim, nodes []arrowwalk.Node) {
	states := map[arrowwalk.NodeID]string{}
	for _, n := range h.known {
		states[n.ID] = "gone"
	}
	for _, n := range nodes {
		states[n.ID] = [...]string{"ready", "draining", "gone"}[n.State]
	}
	for _, b := range s.bricks {
		id := arrowwalk.NodeID(b.Name)
		state, ok := states[id]
		i, open := h.told[id]
		if !ok || open && s.trace.Told[i].State == state {
			continue
		}
		if open {
			s.trace.Told[i].Until = s.now
			delete(h.told, id)
		}
		if state != "ready" {
			h.told[id] = len(s.trace.Told)
			s.trace.Told = append(s.trace.Told, rules.Told{Host: h.id, At: s.now, Brick: b.Name, State: state})
		}
	}
}

// clock is the time on a host's clock.
func (s *Sim) clock(h *hostSim) arrowwalk.Micros { return arrowwalk.Micros(s.now + h.skew) }

// atHost handles what happens at a host: at once, or after its stall.
func (s *Sim) atHost(e *event) {
	h := s.hosts[e.who]
	switch {
	case e.kind == evResume:
		s.resume(h, e.n)
	case !h.up:
	case h.stalled > s.now:
		h.held = append(h.held, heldEvent{*e, s.now})
	default:
		if s.take1(h, e) {
			s.step(h)
		}
	}
}

// take1 makes events for the module of one thing that came; false: it is of no
// interest any more.
func (s *Sim) take1(h *hostSim, e *event) bool {
	switch e.kind {
	case evTry:
		s.accept(h, e.rq)
	case evGiveUp:
		return s.abandoned(h, e.rq)
	case evAnswer, evTimeout, evOutcome:
		return s.ended(h, e)
	case evWake:
		if e.n != h.armed {
			return false
		}
		h.armed = 0
	case evList:
		s.heard(h, &s.lists[e.n])
	case evAsk:
		if int(e.n) != h.run {
			return false
		}
		s.ask(h)
	case evAsked:
		s.asked(h, s.bricks[e.n])
	case evUnblocked:
		s.tell(h, len(s.lists)-1)
		return false
	}
	return true
}

// ended takes in the end of an attempt.
func (s *Sim) ended(h *hostSim, e *event) bool {
	at := e.at
	if at.over || at.run != h.run {
		return false
	}
	at.over = true
	status := at.status
	if e.kind == evTimeout {
		status = arrowwalk.TimedOut
	} else if e.kind == evOutcome {
		status = arrowwalk.Status(e.n)
	}
	r := at.rq
	closed := status == arrowwalk.OK && !r.final
	unseen := int64(0)
	if status != arrowwalk.OK && s.found == 0 && s.s.Site.KnowsBacklogAge() {
		unseen = h.stood.Overlap(at.sent, s.now)
	}
	h.inbox = append(h.inbox, &arrowwalk.Outcome{
		Attempt: arrowwalk.Attempt{Request: r.task, Number: at.number, Node: arrowwalk.NodeID(s.bricks[at.brick].Name)},
		Status:  status, Latency: arrowwalk.Micros(s.came() - at.sent - unseen), Closed: closed, FleetUse: r.volume.told, OthersUnits: at.others})
	if r.running == at {
		r.running = nil
	}
	if closed {
		s.finalAnswer(h, r, 200)
	}
	if r.final && r.running == nil {
		delete(h.requests, r.task)
	}
	return true
}

// step has the module decide on what has come, and does what it says.
func (s *Sim) step(h *hostSim) {
	actions := h.decider.Step(s.clock(h), h.inbox)
	h.inbox = h.inbox[:0]
	for _, a := range actions {
		s.carryOut(h, a)
	}
	if next, ok := h.decider.Next(); ok {
		at := max(int64(next)-h.skew, s.now+1)
		if h.armed == 0 || at < h.armed {
			h.armed = at
			s.push(at, event{kind: evWake, who: int32(h.id), n: at})
		}
	}
}

func (s *Sim) carryOut(h *hostSim, a arrowwalk.Action) {
	r := h.requests[a.Request]
	switch a.Kind {
	case arrowwalk.Send:
		if r == nil {
			s.stop = fmt.Errorf("host %d sends request %d, which it does not have", h.id, a.Request)
			return
		}
		s.send(h, r, a)
	case arrowwalk.Refuse, arrowwalk.Fail:
		if r == nil || r.final {
			return
		}
		status := 503
		if a.Kind == arrowwalk.Fail {
			status = 500
		}
		if at := r.running; at != nil {
			s.push(s.now, event{kind: evOutcome, who: int32(h.id), n: int64(arrowwalk.Cancelled), at: at})
		} else {
			delete(h.requests, a.Request)
		}
		s.finalAnswer(h, r, status)
	case arrowwalk.Cancel:
		if r != nil && r.running != nil && r.running.number == a.Attempt {
			s.push(s.now, event{kind: evOutcome, who: int32(h.id), n: int64(arrowwalk.Cancelled), at: r.running})
		}
	}
}

func (s *Sim) send(h *hostSim, r *request, a arrowwalk.Action) {
	b := s.names[a.Node]
	if b == nil {
		s.stop = fmt.Errorf("host %d sends to %q, which is no brick", h.id, a.Node)
		return
	}
	at := &attempt{rq: r, number: r.sent, run: h.run, brick: b.number, sent: s.now}
	r.sent++
	r.running = at
	until := r.until
	if a.Delay > 0 {
		until = min(until, s.now+int64(a.Delay))
	}
	s.push(max(until, s.now+1), event{kind: evTimeout, who: int32(h.id), at: at})
	wait := s.delay()
	switch {
	case s.lost(h.id, b):
	case b.Dead && !b.mute:
		s.push(s.now+2*wait, event{kind: evOutcome, who: int32(h.id), n: int64(arrowwalk.Unreachable), at: at})
	default:
		s.push(s.now+wait, event{kind: evArrive, who: int32(h.id), at: at})
	}
}

// stall has a host stand still for a span.
func (s *Sim) stall(h *hostSim, span int64) {
	if !h.up || h.stalled > s.now {
		return
	}
	h.stalled, h.stallFrom = s.now+span, s.now
	s.trace.Stills = append(s.trace.Stills, rules.Still{Host: h.id, From: s.now, To: h.stalled})
	s.push(h.stalled, event{kind: evResume, who: int32(h.id), n: int64(h.run)})
}

// resume has a host find all that came during its stall, at once.
func (s *Sim) resume(h *hostSim, run int64) {
	if !h.up || int64(h.run) != run {
		return
	}
	held := h.held
	h.held, h.armed, h.stood, h.stalled = nil, 0, stall.Stall{Start: h.stallFrom, End: h.stalled}, 0
	for i := range held {
		s.found = held[i].at
		s.take1(h, &held[i].event)
	}
	s.found = 0
	s.step(h)
}

// came returns when what a host takes in has come, as far as it knows.
func (s *Sim) came() int64 {
	if s.found > 0 && s.s.Site.KnowsBacklogAge() {
		return s.now - (s.now-s.found)/1000*1000 // the kernel tells milliseconds
	}
	return s.now
}

// crash ends a host; it is back after a span.
func (s *Sim) crash(h *hostSim, span int64) {
	if !h.up {
		return
	}
	h.up, h.stalled, h.doubts = false, 0, nil
	h.down = append(h.down, outage{s.now, s.now + span})
	for _, r := range sortedRequests(h.requests) {
		if !r.final {
			s.cut(r)
		}
	}
	for i := range h.held { // in the kernel's hands: their connections break too
		if e := &h.held[i].event; e.kind == evTry && !e.rq.final {
			s.cut(e.rq)
		}
	}
	for id, i := range h.told {
		s.trace.Told[i].Until = s.now
		delete(h.told, id)
	}
	s.push(s.now+span, event{kind: evTrouble, do: func() {
		if err := s.startHost(h); err != nil {
			s.stop = err
		}
	}})
}

// downDuring tells whether a host was down in a span.
func (h *hostSim) downDuring(from, to int64) bool {
	for _, o := range h.down {
		if o.from <= to && from <= o.to {
			return true
		}
	}
	return false
}
