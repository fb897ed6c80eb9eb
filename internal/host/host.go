package host

import (
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk"
)

// Options configures a Host.
type Options struct {
	Settings arrowwalk.Settings
	Log      *slog.Logger // nil discards all records
}

// Host runs the scheduler module in real time. Its methods are safe for
// concurrent use. Close stops its goroutines.
type Host struct {
	opt         Options
	log         *slog.Logger
	startTime   time.Time // start of the host; monotonic origin of the module's time
	startMicros int64     // wall clock at startTime, microseconds since 1970
	runID       string

	mu     sync.Mutex
	inbox  []message
	closed bool
	wake   chan struct{} // makes runLoop step the module
	done   chan struct{} // closed when runLoop has returned
	quit   chan struct{} // closed by Close
	timer  *time.Timer   // expires when the Engine has to be stepped

	stalls        *stallGuard
	arrivals      arrivals
	lists         listSources
	heartbeatDone sync.WaitGroup
	afterStall    bool // the current step is the first one after a stall

	loopMu        sync.Mutex    // the goroutine that holds it owns loop
	lastRequestID atomic.Uint64 // the highest request ID given out
	stats         counters
	loop          loop
}

// message is an input of the loop.
type message struct {
	event   arrowwalk.Event
	task    *Task                 // for a Request, Outcome or Abandoned event
	members []Member              // for a NodeList event
	inspect func(state *Snapshot) // called by the loop between two steps
	// listsReadAt is when a source of node lists was read that has handed over all it said.
	listsReadAt time.Time
}

// loop is the state that only the holder of Host.loopMu may touch. The holder is
// the host's own goroutine or that of a caller.
type loop struct {
	engine     *Engine
	tasks      map[arrowwalk.RequestID]*Task
	members    map[arrowwalk.NodeID]Member
	events     []arrowwalk.Event
	spareInbox []message
	timerAt    arrowwalk.Micros // when Host.timer expires; 0 if it is not set
	steppedAt  arrowwalk.Micros // time of the latest step
	shutdownAt time.Time        // all tasks end by then; zero if no shutdown was requested

	listSource  ListSource
	listVersion int64     // of the last node list
	suspendedAt time.Time // nothing is sent until the node list is read after this time; zero: not suspended
}

// capDeadline returns the earlier of t and the shutdown time.
func (l *loop) capDeadline(t time.Time) time.Time {
	if !l.shutdownAt.IsZero() && l.shutdownAt.Before(t) {
		return l.shutdownAt
	}
	return t
}

// New starts a Host. The caller must Close it.
func New(opt Options) (*Host, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	h := &Host{opt: opt, log: opt.Log, startTime: time.Now(), wake: make(chan struct{}, 1),
		done: make(chan struct{}), quit: make(chan struct{})}
	h.startMicros = h.startTime.UnixMicro()
	h.runID = fmt.Sprintf("%d-%s", opt.Settings.Host, strconv.FormatInt(h.startMicros, 36))
	engine, err := NewEngine(opt.Settings, h.moduleTime())
	if err != nil {
		return nil, err
	}
	h.timer = time.NewTimer(0)
	h.loop = loop{engine: engine, tasks: map[arrowwalk.RequestID]*Task{}, members: map[arrowwalk.NodeID]Member{}}
	h.stalls = newStallGuard(h.moduleTime())
	h.lists.init()
	h.arrivals.init(&h.opt.Settings, h.moduleTime())
	h.heartbeatDone.Add(1)
	go h.runLoop()
	go h.runHeartbeat()
	return h, nil
}

// RunID identifies this run of this host as NUMBER-START, where START is the
// start time in base 36. Request IDs begin with it.
func (h *Host) RunID() string { return h.runID }

// Settings returns the settings that the module was created with.
func (h *Host) Settings() arrowwalk.Settings { return h.opt.Settings }

// moduleTime returns the current time on the module's scale: the wall clock at
// the host's start, advanced by the monotonic clock only. It is therefore
// comparable with the start times in node lists, and a step of the wall clock
// does not affect it.
func (h *Host) moduleTime() arrowwalk.Micros {
	return arrowwalk.Micros(h.startMicros + time.Since(h.startTime).Microseconds())
}

// Close stops the host and waits for its goroutines. Tasks that still wait end
// with Failed. Call it after all users of the host have stopped.
func (h *Host) Close() {
	h.mu.Lock()
	if !h.closed {
		h.closed = true
		close(h.quit)
	}
	h.mu.Unlock()
	<-h.done
	h.heartbeatDone.Wait()
}

// post queues messages for the module and returns false if the host is closed.
// If no other goroutine owns the loop, the caller executes the step itself,
// which saves two goroutine switches on a request's path. Otherwise the owner
// includes the messages in its next step, batched with those of other callers.
func (h *Host) post(messages ...message) bool {
	if !h.enqueue(messages...) {
		return false
	}
	h.stepPending()
	return true
}

// enqueue queues messages without stepping the module. It returns false if the host is
// closed.
func (h *Host) enqueue(messages ...message) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.inbox = append(h.inbox, messages...)
	return true
}

// maxCallerSteps is the number of steps that a caller executes on behalf of
// others before it hands over to the host's own goroutine.
const maxCallerSteps = 4

// stepPending steps the module while messages are queued and no other goroutine
// owns the loop. No message is left behind: a goroutine that fails to take
// loopMu has queued its message before, and the owner checks the inbox again
// after it released loopMu.
func (h *Host) stepPending() {
	for steps := 0; h.hasMessages(); steps++ {
		if steps == maxCallerSteps {
			h.wakeLoop()
			return
		}
		if !h.loopMu.TryLock() {
			return
		}
		h.stepLocked()
		h.armTimer()
		h.loopMu.Unlock()
	}
}

func (h *Host) hasMessages() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.inbox) > 0 && !h.closed
}

// wakeLoop wakes the host's own goroutine.
func (h *Host) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// armTimer sets the timer to the Engine's next expiry unless it already expires
// by then. The caller holds h.loopMu.
func (h *Host) armTimer() {
	next, ok := h.loop.engine.Next()
	if !ok || h.loop.timerAt != 0 && h.loop.timerAt <= next {
		return
	}
	h.loop.timerAt = next
	h.timer.Reset(time.Duration(next-h.moduleTime()) * time.Microsecond)
}

// Nodes passes a snapshot of the node list, or a delta to it, to the module.
func (h *Host) Nodes(kind arrowwalk.ListKind, version int64, members []Member) {
	list := &arrowwalk.NodeList{Kind: kind, Version: version, Nodes: make([]arrowwalk.Node, 0, len(members))}
	for _, m := range members {
		list.Nodes = append(list.Nodes, m.Node)
	}
	h.post(message{event: list, members: members})
}

// Do submits a task to the module, runs its attempts on the caller's goroutine
// and returns the task's final result. It returns by t.Deadline, within about a
// tick, unless an attempt streams its response.
func (h *Host) Do(t *Task) TaskResult {
	t.acceptedAt = time.Now()
	t.runningAttempt = -1
	t.signals = make(chan signal, 4)
	t.request = arrowwalk.Request{
		ID: arrowwalk.RequestID(h.lastRequestID.Add(1)), Class: t.Class, Volume: t.Volume, HasKey: t.HasKey, Key: t.Key,
		Units: t.Units, Shard: t.Shard, IsRetry: t.IsRetry,
	}
	h.stats.accepted.Add(1)
	result, ok := h.submit(t)
	if ok {
		result = h.runAttempts(t)
	}
	h.stats.ended[result.Status].Add(1)
	return result
}

// runAttempts executes the module's decisions on t until t has ended.
func (h *Host) runAttempts(t *Task) TaskResult {
	attempts := 0
	repeatBy := arrowwalk.Micros(0)
	for s := range t.signals {
		switch s.kind {
		case signalRefuse:
			return TaskResult{Status: Refused, RetryAfter: s.retryAfter, Attempts: attempts}
		case signalFail, signalHostClosed:
			return TaskResult{Status: Failed, Attempts: attempts}
		case signalClientGone:
			return TaskResult{Status: ClientGone, Attempts: attempts}
		}
		attempts++
		h.heartbeat(t)
		start := time.Now()
		r := h.runAttempt(t, s, repeatBy)
		if repeatBy == 0 && !r.Status.NeverRan() {
			repeatBy = h.endOfRepeats(t, s.chosenAt)
		}
		if r.Final {
			t.ended.Store(true)
		}
		h.stats.statuses[r.Status].Add(1)
		latency := h.BrickLatency(start, time.Now(), &r)
		h.post(message{task: t, event: &arrowwalk.Outcome{
			Attempt: arrowwalk.Attempt{Request: t.request.ID, Number: s.number, Node: s.member.ID},
			Status:  r.Status, Latency: arrowwalk.Micros(latency.Microseconds()), Closed: r.Final,
			FleetUse: r.FleetUse, OthersUnits: r.OtherHostsUnits, Load: r.Load,
		}})
		if r.Final {
			return TaskResult{Status: Served, Attempts: attempts}
		}
	}
	return TaskResult{Status: Failed, Attempts: attempts}
}

// BrickLatency returns how long an attempt that ran from start to end took, without
// the time in which this process was stalled while the response, or what followed
// its head, waited. The brick is not charged for that time.
func (h *Host) BrickLatency(start, end time.Time, r *AttemptResult) time.Duration {
	if r.Status != arrowwalk.OK || r.HeadReadAt.IsZero() {
		return max(0, end.Sub(start)-h.StalledBetween(start, end))
	}
	return max(0, end.Sub(start)-r.SocketDelay-h.StalledBetween(r.HeadReadAt, end))
}

// isOutdated reports whether the process was stalled since the module chose a node, and
// the node takes no requests any more.
func (h *Host) isOutdated(node arrowwalk.NodeID, chosenAt arrowwalk.Micros) bool {
	if int64(h.moduleTime()) > h.stalls.heartbeatDue.Load() {
		h.endStall(h.moduleTime())
	}
	if h.stalls.lastStallEnd.Load() <= int64(chosenAt) {
		return false
	}
	h.loopMu.Lock()
	defer h.loopMu.Unlock()
	member, ok := h.loop.members[node]
	return !ok || member.State != arrowwalk.Ready || !h.loop.suspendedAt.IsZero()
}

// endOfRepeats returns when repeats of a request that was sent at a time and may have run
// are not recognized any more, or 0 if its class has no such limit.
func (h *Host) endOfRepeats(t *Task, sentAt arrowwalk.Micros) arrowwalk.Micros {
	classes := h.opt.Settings.Classes
	if t.Class < 0 || t.Class >= len(classes) || classes[t.Class].Repeat != arrowwalk.Keyed {
		return 0
	}
	return sentAt + classes[t.Class].Window
}

func (h *Host) runAttempt(t *Task, s signal, repeatBy arrowwalk.Micros) AttemptResult {
	if t.ended.Load() || !time.Now().Before(s.deadline) || h.isOutdated(s.member.ID, s.chosenAt) { // the task ended before the attempt began, or ends now
		return AttemptResult{Status: arrowwalk.NotSent}
	}
	return t.Runner.Try(&Attempt{Request: t.request.ID, Number: s.number, Member: s.member, Deadline: s.deadline, host: h, chosenAt: s.chosenAt, repeatBy: repeatBy})
}

// BeginStream reports that the response to t has begun in the given attempt:
// the task's deadline no longer applies.
func (h *Host) BeginStream(t *Task, attempt int, node arrowwalk.NodeID) {
	h.post(message{event: &arrowwalk.StreamStarted{Request: t.request.ID, Attempt: attempt, Node: node}})
}

// Abandon reports that t's client has disconnected. It returns false if Do has
// not submitted t yet, in which case the caller may call it again, or if the
// host is closed.
func (h *Host) Abandon(t *Task) bool {
	if !t.submitted.Load() {
		return false
	}
	return h.post(message{event: &arrowwalk.Abandoned{Request: t.request.ID}, task: t})
}

// Shutdown makes every task end by a time, including tasks that are submitted
// later.
func (h *Host) Shutdown(by time.Time) {
	h.arrivals.shutdownBy.Store(&by)
	h.post(message{event: &arrowwalk.Shutdown{At: arrowwalk.Micros(h.startMicros + h.microsSinceStart(by))}})
}

// runLoop steps the module when a timer expires or callers hand over their
// messages, and ends the remaining tasks when the host is closed.
func (h *Host) runLoop() {
	defer close(h.done)
	defer h.timer.Stop()
	for {
		select {
		case <-h.quit:
			h.loopMu.Lock()
			h.endRemaining()
			h.loopMu.Unlock()
			return
		case <-h.wake:
		case <-h.timer.C:
		}
		h.loopMu.Lock()
		h.loop.timerAt = 0
		h.stepLocked()
		h.armTimer()
		h.loopMu.Unlock()
		h.stepPending()
	}
}

// step applies the queued messages, steps the module and executes its actions.
// The caller holds h.loopMu.
func (h *Host) step() {
	h.mu.Lock()
	in := h.inbox
	h.inbox = h.loop.spareInbox[:0]
	h.mu.Unlock()
	l := &h.loop
	start, now := time.Now(), h.moduleTime()
	l.steppedAt = now
	for _, m := range in {
		if m.inspect != nil {
			m.inspect(h.snapshotLocked())
			continue
		}
		if !m.listsReadAt.IsZero() {
			if event := l.resumeMembers(m.listsReadAt); event != nil {
				l.events = append(l.events, event)
			}
			continue
		}
		h.applyEvent(m, now)
		l.events = append(l.events, m.event)
	}
	for _, a := range l.engine.Step(now, l.events) {
		h.execute(a)
	}
	h.stats.recordStep(time.Since(start), len(l.events))
	for _, m := range in { // forget tasks that have ended and have no attempt running
		if m.task != nil && m.task.ended.Load() && m.task.runningAttempt < 0 {
			delete(l.tasks, m.task.request.ID)
		}
	}
	clear(l.events)
	l.events = l.events[:0]
	clear(in)
	l.spareInbox = in
}

// applyEvent updates the host's own state for an event that the module is about
// to receive.
func (h *Host) applyEvent(m message, now arrowwalk.Micros) {
	l := &h.loop
	switch e := m.event.(type) {
	case *arrowwalk.Request:
		// TimeLeft is relative to this step: the process may have stalled since Do.
		e.TimeLeft = arrowwalk.Micros(h.startMicros+h.microsSinceStart(m.task.Deadline)) - now
		l.tasks[e.ID] = m.task
		m.task.cappedDeadline = l.capDeadline(m.task.Deadline)
	case *arrowwalk.Outcome:
		m.task.runningAttempt = -1
		if e.Closed {
			m.task.ended.Store(true)
		}
	case *arrowwalk.Abandoned:
		if t := m.task; !t.ended.Swap(true) {
			t.signals <- signal{kind: signalClientGone}
			if t.runningAttempt >= 0 && !t.OutlivesClient {
				t.Runner.Abort(t.runningAttempt)
			}
		}
	case *arrowwalk.Shutdown:
		l.shutdownAt = h.startTime.Add(time.Duration(int64(e.At)-h.startMicros) * time.Microsecond)
		for _, t := range l.tasks {
			t.cappedDeadline = l.capDeadline(t.cappedDeadline)
		}
	case *arrowwalk.NodeList:
		if e.Kind == arrowwalk.ListSnapshot || e.Kind == arrowwalk.ListStored {
			clear(l.members)
		}
		for _, member := range m.members {
			if member.State == arrowwalk.Removed {
				delete(l.members, member.ID)
			} else {
				l.members[member.ID] = member
			}
		}
		l.listVersion = e.Version
		l.suspendNodes(e)
	}
}

// execute performs one action of the module. It never blocks: a task's channel
// has capacity for every signal that the task can get.
func (h *Host) execute(a arrowwalk.Action) {
	l := &h.loop
	switch a.Kind {
	case arrowwalk.Send:
		t := l.tasks[a.Request]
		if t == nil {
			h.log.Error("scheduler asked to send an unknown request", "request", a.Request)
			return
		}
		t.lastMember = l.members[a.Node]
		t.lastMember.ID = a.Node
		t.runningAttempt = t.attempts
		t.attempts++
		t.signals <- signal{kind: signalSend, number: t.runningAttempt, member: t.lastMember, deadline: t.cappedDeadline, chosenAt: l.steppedAt}
	case arrowwalk.Refuse, arrowwalk.Fail:
		h.endTask(a)
	case arrowwalk.Cancel:
		if t := l.tasks[a.Request]; t != nil && t.runningAttempt == a.Attempt {
			t.Runner.Abort(a.Attempt)
		}
	case arrowwalk.Log:
		h.log.Warn(a.Text)
	}
}

// endTask ends a task with the module's refusal or failure, unless a response
// has ended it already.
func (h *Host) endTask(a arrowwalk.Action) {
	t := h.loop.tasks[a.Request]
	if t == nil || t.ended.Load() {
		return
	}
	replyPending := h.afterStall && t.ReportsResponse
	if replyPending { // before ended is set: a goroutine that sees ended must also see this
		h.stalls.addPendingReply(t)
		t.endedAfterStall.Store(true)
	}
	if t.ended.Swap(true) { // a response arrived in the meantime
		if replyPending {
			h.stalls.markReplySent(t)
		}
		return
	}
	kind := signalFail
	if a.Kind == arrowwalk.Refuse {
		kind = signalRefuse
	}
	t.signals <- signal{kind: kind, retryAfter: time.Duration(a.Delay) * time.Microsecond}
	if t.runningAttempt >= 0 {
		t.Runner.Abort(t.runningAttempt)
	} else {
		delete(h.loop.tasks, a.Request)
	}
}

// endRemaining fails all tasks of a closed host and answers the queued
// inspections. The caller holds h.loopMu.
func (h *Host) endRemaining() {
	for _, t := range h.loop.tasks {
		if !t.ended.Swap(true) {
			t.signals <- signal{kind: signalHostClosed}
			if t.runningAttempt >= 0 {
				t.Runner.Abort(t.runningAttempt)
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.inbox { // queued after the last step
		if _, ok := m.event.(*arrowwalk.Request); ok && !m.task.ended.Swap(true) {
			m.task.signals <- signal{kind: signalHostClosed}
		}
		if m.inspect != nil {
			m.inspect(h.snapshotLocked())
		}
	}
	h.inbox = nil
}
