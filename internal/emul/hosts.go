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

// hostSim is an emulated host: the scheduler with its timer, the gate that
// filters node lists, and the state that a real host keeps beside them.
type hostSim struct {
	id, zone     int
	skew         int64 // microseconds by which its clock is ahead
	runs         int   // number of starts
	up           bool
	stalledUntil int64
	stalledSince int64
	lastStall    stall.Stall // the last stall that has ended
	scheduler    policy.Scheduler
	requests     map[arrowwalk.RequestID]*request
	lastTaskID   uint64
	inbox        []arrowwalk.Event
	heldEvents   []heldEvent // events that arrived during a stall
	timerAt      int64       // expiry of the scheduler's timer; 0: not set
	outages      []outage    // crashes; a missing answer is excused while the host is down

	gate       *trust.Gate
	verifier   *trust.Verifier
	knownNodes []arrowwalk.Node // the last node list that the gate accepted
	knownAt    int64
	openTold   map[arrowwalk.NodeID]int // index in the trace's Told of the current entry of each draining or removed brick
}

// outage is a period in which a host was down.
type outage struct{ from, to int64 }

// heldEvent is an event that arrived at a stalled host, with its arrival time.
type heldEvent struct {
	event
	arrivedAt int64
}

// attempt is one sending of a request to a brick.
type attempt struct {
	request      *request
	number       int
	run          int
	brick        int
	sentAt       int64
	ended        bool // the host knows the outcome
	status       arrowwalk.Status
	othersUnits  float64
	arrivalIndex int32
	job          *model.Job
}

// taskName returns the attempt's task ID as it appears in the trace, unique
// over all hosts and starts.
func (att *attempt) taskName() string {
	return fmt.Sprintf("%d-%d-%d-%d", att.request.host, att.run, att.request.id<<8|uint64(att.request.tries), att.request.taskID)
}

// listVersion is one version of the node list.
type listVersion struct {
	version int64
	nodes   []arrowwalk.Node
}

// publishList creates a new version of the node list from the current state of
// the bricks and sends it to all hosts.
func (s *Sim) publishList() {
	s.listVersions = append(s.listVersions, listVersion{int64(len(s.listVersions) + 1), nil})
	l := &s.listVersions[len(s.listVersions)-1]
	for _, b := range s.bricks {
		if state := s.listedState(b); state != arrowwalk.Removed {
			l.nodes = append(l.nodes, arrowwalk.Node{ID: arrowwalk.NodeID(b.Name), Shard: b.Shard, Zone: b.Zone, State: state, Started: arrowwalk.Micros(b.Started)})
		}
	}
	for _, h := range s.hosts {
		s.sendList(h, len(s.listVersions)-1)
	}
}

// sendList schedules the arrival of a list version at a host, unless discovery
// is down or the host is cut off from it.
func (s *Sim) sendList(h *hostSim, version int) {
	if s.listDown || s.listBlocked[h.id] {
		return
	}
	s.push(s.now+s.drawInt(s.netRand, s.scenario.Site.ListMS)*1000, event{kind: evNodeList, target: int32(h.id), arg: int64(version)})
}

// startHost starts a host. A host that starts again uses its stored node list
// until it receives the current one.
func (s *Sim) startHost(h *hostSim) error {
	settings := s.scenario.GatewayConfig(h.id, s.planRates).Module()
	settings.MeanUnits, settings.MostUnits = s.scenario.MeanUnits(), float64(s.scenario.Load.Units[1])
	settings.Seed = s.scenario.Seed<<16 + uint64(h.id)<<4 + uint64(h.runs)
	var err error
	if h.scheduler, err = policy.New(s.scenario.Policy, settings, s.hostClock(h)); err != nil {
		return err
	}
	h.runs++
	h.up, h.requests, h.lastTaskID, h.timerAt, h.inbox, h.heldEvents = true, map[arrowwalk.RequestID]*request{}, 0, 0, nil, nil
	h.openTold = map[arrowwalk.NodeID]int{}
	first := h.runs == 1
	h.gate = trust.NewGate(10*time.Second, 10*time.Second, 3, len(h.knownNodes))
	if first {
		h.gate.Decide(trust.Offer{Source: "list", Version: 1, BrickCount: len(s.listVersions[0].nodes)})
		s.applyList(h, arrowwalk.ListSnapshot, &s.listVersions[0])
	} else {
		s.restoreList(h)
		s.sendList(h, len(s.listVersions)-1)
	}
	s.stepHost(h)
	return nil
}

// restoreList loads the stored node list of a restarted host. Entries are used
// as far as package trust allows, and the bricks that they name are probed.
func (s *Sim) restoreList(h *hostSim) {
	ids, ages := []trust.Identity{}, map[string]time.Duration{}
	for _, n := range h.knownNodes {
		ids = append(ids, trust.Identity{Name: string(n.ID), Shard: n.Shard, Started: int64(n.Started)})
		ages[string(n.ID)] = time.Duration(s.now-h.knownAt) * time.Microsecond
	}
	h.verifier = trust.NewVerifier(ids, ages, trust.ChangeRate{})
	nodes := make([]arrowwalk.Node, len(h.knownNodes))
	for i, n := range h.knownNodes {
		nodes[i] = s.applyTrust(h, n)
	}
	h.inbox = append(h.inbox, &arrowwalk.NodeList{Kind: arrowwalk.ListStored, Nodes: nodes})
	s.recordBrickStates(h, h.knownNodes) // the stored list already says which bricks drain
	s.push(s.now, event{kind: evProbeBricks, target: int32(h.id), arg: int64(h.runs)})
}

// applyTrust returns a stored node entry with the state and start time that its
// trust level allows.
func (s *Sim) applyTrust(h *hostSim, n arrowwalk.Node) arrowwalk.Node {
	e, _ := h.verifier.Entry(string(n.ID))
	switch {
	case n.State != arrowwalk.Ready:
	case !trust.MayServe(e.Level):
		n.State = arrowwalk.Draining
	case e.Level == trust.Aged:
		n.Started = s.hostClock(h)
	case e.Started > 0:
		n.Started = arrowwalk.Micros(e.Started)
	}
	return n
}

// probeBricks starts the pending probes of a host's verifier and schedules the
// next round.
func (s *Sim) probeBricks(h *hostSim) {
	if h.verifier == nil {
		return
	}
	for _, id := range h.verifier.StartProbes(time.Duration(s.now)*time.Microsecond, 4) {
		for _, b := range s.bricks {
			if b.Name == id.Name {
				wait := 2 * s.drawDelay()
				if b.mute || s.isMessageLost(h.id, b) {
					wait = 500_000
				}
				s.push(s.now+wait, event{kind: evProbeResult, target: int32(h.id), arg: int64(b.number)})
			}
		}
	}
	s.push(s.now+200_000, event{kind: evProbeBricks, target: int32(h.id), arg: int64(h.runs)})
}

// handleProbeResult passes a probe's result to the verifier and tells the
// scheduler if the trust in the entry has changed.
func (s *Sim) handleProbeResult(h *hostSim, b *brickSim) {
	if h.verifier == nil {
		return
	}
	result := trust.Answered
	switch {
	case b.mute || b.Collapsed || s.isMessageLost(h.id, b):
		result = trust.TimedOut
	case b.Dead:
		result = trust.ConnRefused
	}
	if !h.verifier.Observe(b.Name, result, b.Started, time.Duration(s.now)*time.Microsecond) {
		return
	}
	for _, n := range h.knownNodes {
		if string(n.ID) == b.Name {
			h.inbox = append(h.inbox, &arrowwalk.NodeList{Kind: arrowwalk.ListDelta, Nodes: []arrowwalk.Node{s.applyTrust(h, n)}})
		}
	}
}

// offerList offers a list version to the host's gate and applies it if it is
// accepted.
func (s *Sim) offerList(h *hostSim, l *listVersion) {
	answer, _ := h.gate.Decide(trust.Offer{Source: "list", Version: l.version, BrickCount: len(l.nodes), At: time.Duration(s.now) * time.Microsecond})
	if answer == trust.Accept {
		h.verifier = nil
		s.applyList(h, arrowwalk.ListSnapshot, l)
	}
}

// applyList passes a node list to the host's scheduler, altered if the scenario
// disables a guard.
func (s *Sim) applyList(h *hostSim, kind arrowwalk.ListKind, l *listVersion) {
	nodes := l.nodes
	if s.scenario.Site.DisabledGuard == "cold" { // the host treats cold bricks as warm
		nodes = make([]arrowwalk.Node, len(l.nodes))
		for i, n := range l.nodes {
			n.Started = 0
			nodes[i] = n
		}
	}
	if s.scenario.Site.DisabledGuard == "drains" { // the host sees draining bricks as ready
		nodes = make([]arrowwalk.Node, len(l.nodes))
		for i, n := range l.nodes {
			n.State = arrowwalk.Ready
			nodes[i] = n
		}
	}
	h.inbox = append(h.inbox, &arrowwalk.NodeList{Kind: kind, Version: l.version, Nodes: nodes})
	s.recordBrickStates(h, l.nodes)
	h.knownNodes, h.knownAt = l.nodes, s.now
}

// recordBrickStates records in the trace since when the host knows that bricks
// drain or are gone.
func (s *Sim) recordBrickStates(h *hostSim, nodes []arrowwalk.Node) {
	states := map[arrowwalk.NodeID]string{}
	for _, n := range h.knownNodes {
		states[n.ID] = "gone"
	}
	for _, n := range nodes {
		states[n.ID] = [...]string{"ready", "draining", "gone"}[n.State]
	}
	for _, b := range s.bricks {
		id := arrowwalk.NodeID(b.Name)
		state, ok := states[id]
		i, open := h.openTold[id]
		if !ok || open && s.trace.Told[i].State == state {
			continue
		}
		if open {
			s.trace.Told[i].Until = s.now
			delete(h.openTold, id)
		}
		if state != "ready" {
			h.openTold[id] = len(s.trace.Told)
			s.trace.Told = append(s.trace.Told, rules.Told{Host: h.id, At: s.now, Brick: b.Name, State: state})
		}
	}
}

// hostClock returns the time on the host's skewed clock.
func (s *Sim) hostClock(h *hostSim) arrowwalk.Micros { return arrowwalk.Micros(s.now + h.skew) }

// deliverToHost handles an event at a host, or holds it back while the host is
// stalled. Events at a host that is down are dropped.
func (s *Sim) deliverToHost(e *event) {
	h := s.hosts[e.target]
	switch {
	case e.kind == evResume:
		s.resumeHost(h, e.arg)
	case !h.up:
	case h.stalledUntil > s.now:
		h.heldEvents = append(h.heldEvents, heldEvent{*e, s.now})
	default:
		if s.handleHostEvent(h, e) {
			s.stepHost(h)
		}
	}
}

// handleHostEvent translates an event into scheduler input. It returns false if
// the event is stale and the scheduler need not run.
func (s *Sim) handleHostEvent(h *hostSim, e *event) bool {
	switch e.kind {
	case evSendTry:
		s.acceptRequest(h, e.request)
	case evClientTimeout:
		return s.abandonRequest(h, e.request)
	case evAnswerArrival, evAttemptTimeout, evAttemptEnd:
		return s.handleAttemptEnd(h, e)
	case evTimer:
		if e.arg != h.timerAt {
			return false
		}
		h.timerAt = 0
	case evNodeList:
		s.offerList(h, &s.listVersions[e.arg])
	case evProbeBricks:
		if int(e.arg) != h.runs {
			return false
		}
		s.probeBricks(h)
	case evProbeResult:
		s.handleProbeResult(h, s.bricks[e.arg])
	case evListReachable:
		s.sendList(h, len(s.listVersions)-1)
		return false
	}
	return true
}

// handleAttemptEnd reports the outcome of an attempt to the scheduler. It
// returns false if the outcome is already known or the host has restarted
// since.
func (s *Sim) handleAttemptEnd(h *hostSim, e *event) bool {
	att := e.attempt
	if att.ended || att.run != h.runs {
		return false
	}
	att.ended = true
	status := att.status
	if e.kind == evAttemptTimeout {
		status = arrowwalk.TimedOut
	} else if e.kind == evAttemptEnd {
		status = arrowwalk.Status(e.arg)
	}
	r := att.request
	closed := status == arrowwalk.OK && !r.answered
	unseen := int64(0)
	if status != arrowwalk.OK && s.backlogArrival == 0 && s.scenario.Site.KnowsBacklogAge() {
		unseen = h.lastStall.Overlap(att.sentAt, s.now)
	}
	h.inbox = append(h.inbox, &arrowwalk.Outcome{
		Attempt: arrowwalk.Attempt{Request: r.taskID, Number: att.number, Node: arrowwalk.NodeID(s.bricks[att.brick].Name)},
		Status:  status, Latency: arrowwalk.Micros(s.arrivalTime() - att.sentAt - unseen), Closed: closed, FleetUse: r.volume.reportedUsage, OthersUnits: att.othersUnits})
	if r.running == att {
		r.running = nil
	}
	if closed {
		s.answerClient(h, r, 200)
	}
	if r.answered && r.running == nil {
		delete(h.requests, r.taskID)
	}
	return true
}

// stepHost runs the scheduler on the pending input, executes its actions and
// sets its timer.
func (s *Sim) stepHost(h *hostSim) {
	actions := h.scheduler.Step(s.hostClock(h), h.inbox)
	h.inbox = h.inbox[:0]
	for _, a := range actions {
		s.execute(h, a)
	}
	if next, ok := h.scheduler.Next(); ok {
		at := max(int64(next)-h.skew, s.now+1)
		if h.timerAt == 0 || at < h.timerAt {
			h.timerAt = at
			s.push(at, event{kind: evTimer, target: int32(h.id), arg: at})
		}
	}
}

// execute carries out one action of the scheduler.
func (s *Sim) execute(h *hostSim, a arrowwalk.Action) {
	r := h.requests[a.Request]
	switch a.Kind {
	case arrowwalk.Send:
		if r == nil {
			s.err = fmt.Errorf("host %d sends request %d, which it does not have", h.id, a.Request)
			return
		}
		s.sendAttempt(h, r, a)
	case arrowwalk.Refuse, arrowwalk.Fail:
		if r == nil || r.answered {
			return
		}
		status := 503
		if a.Kind == arrowwalk.Fail {
			status = 500
		}
		if att := r.running; att != nil {
			s.push(s.now, event{kind: evAttemptEnd, target: int32(h.id), arg: int64(arrowwalk.Cancelled), attempt: att})
		} else {
			delete(h.requests, a.Request)
		}
		s.answerClient(h, r, status)
	case arrowwalk.Cancel:
		if r != nil && r.running != nil && r.running.number == a.Attempt {
			s.push(s.now, event{kind: evAttemptEnd, target: int32(h.id), arg: int64(arrowwalk.Cancelled), attempt: r.running})
		}
	}
}

// sendAttempt sends an attempt to the brick that the action names.
func (s *Sim) sendAttempt(h *hostSim, r *request, a arrowwalk.Action) {
	b := s.bricksByName[a.Node]
	if b == nil {
		s.err = fmt.Errorf("host %d sends to %q, which is no brick", h.id, a.Node)
		return
	}
	att := &attempt{request: r, number: r.attempts, run: h.runs, brick: b.number, sentAt: s.now}
	r.attempts++
	r.running = att
	until := r.deadline
	if a.Delay > 0 {
		until = min(until, s.now+int64(a.Delay))
	}
	s.push(max(until, s.now+1), event{kind: evAttemptTimeout, target: int32(h.id), attempt: att})
	wait := s.drawDelay()
	switch {
	case s.isMessageLost(h.id, b):
	case b.Dead && !b.mute:
		s.push(s.now+2*wait, event{kind: evAttemptEnd, target: int32(h.id), arg: int64(arrowwalk.Unreachable), attempt: att})
	default:
		s.push(s.now+wait, event{kind: evAttemptArrival, target: int32(h.id), attempt: att})
	}
}

// stallHost stops a host from processing events for span microseconds.
func (s *Sim) stallHost(h *hostSim, span int64) {
	if !h.up || h.stalledUntil > s.now {
		return
	}
	h.stalledUntil, h.stalledSince = s.now+span, s.now
	s.trace.Stills = append(s.trace.Stills, rules.Still{Host: h.id, From: s.now, To: h.stalledUntil})
	s.push(h.stalledUntil, event{kind: evResume, target: int32(h.id), arg: int64(h.runs)})
}

// resumeHost ends a host's stall: it processes all held events at once.
func (s *Sim) resumeHost(h *hostSim, run int64) {
	if !h.up || int64(h.runs) != run {
		return
	}
	held := h.heldEvents
	h.heldEvents, h.timerAt, h.lastStall, h.stalledUntil = nil, 0, stall.Stall{Start: h.stalledSince, End: h.stalledUntil}, 0
	for i := range held {
		s.backlogArrival = held[i].arrivedAt
		s.handleHostEvent(h, &held[i].event)
	}
	s.backlogArrival = 0
	s.stepHost(h)
}

// arrivalTime returns when the event that a host handles has arrived, as far as
// the host can tell.
func (s *Sim) arrivalTime() int64 {
	if s.backlogArrival > 0 && s.scenario.Site.KnowsBacklogAge() {
		return s.now - (s.now-s.backlogArrival)/1000*1000 // the kernel reports ages in milliseconds
	}
	return s.now
}

// crashHost stops a host and starts it again after span microseconds.
func (s *Sim) crashHost(h *hostSim, span int64) {
	if !h.up {
		return
	}
	h.up, h.stalledUntil, h.verifier = false, 0, nil
	h.outages = append(h.outages, outage{s.now, s.now + span})
	for _, r := range sortedRequests(h.requests) {
		if !r.answered {
			s.breakTry(r)
		}
	}
	for i := range h.heldEvents { // requests still in the kernel's buffers: their connections break too
		if e := &h.heldEvents[i].event; e.kind == evSendTry && !e.request.answered {
			s.breakTry(e.request)
		}
	}
	for id, i := range h.openTold {
		s.trace.Told[i].Until = s.now
		delete(h.openTold, id)
	}
	s.push(s.now+span, event{kind: evScheduled, run: func() {
		if err := s.startHost(h); err != nil {
			s.err = err
		}
	}})
}

// wasDownDuring reports whether the host was down at any time between from and
// to.
func (h *hostSim) wasDownDuring(from, to int64) bool {
	for _, o := range h.outages {
		if o.from <= to && from <= o.to {
			return true
		}
	}
	return false
}
