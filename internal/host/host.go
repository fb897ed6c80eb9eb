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

// Options of a Host.
type Options struct {
	Settings arrowwalk.Settings
	Log      *slog.Logger
}

// Host runs the module. Its methods may be called from any goroutine.
type Host struct {
	opt   Options
	log   *slog.Logger
	base  time.Time // times of the module are counted from it
	wall  int64     // wall clock at base, microseconds since 1970
	label string

	mu     sync.Mutex
	inbox  []message
	closed bool
	wake   chan struct{}
	done   chan struct{}
	quit   chan struct{}
	timer  *time.Timer

	still    *still
	watched  sync.WaitGroup
	catching bool // the owner steps a module that stood still

	own   sync.Mutex    // who holds it owns loop
	last  atomic.Uint64 // the last request number
	stats counters
	loop  loop
}

// message is what others hand to the loop.
type message struct {
	event   arrowwalk.Event
	task    *Task             // of a Request or Outcome
	members []Member          // of a NodeList
	ask     func(s *Snapshot) // answered by the loop between two steps
}

// loop is what only the owner touches: one goroutine at a time, the host's own
// or that of a caller.
type loop struct {
	engine  *Engine
	tasks   map[arrowwalk.RequestID]*Task
	members map[arrowwalk.NodeID]Member
	events  []arrowwalk.Event
	swap    []message
	armed   arrowwalk.Micros // when the timer runs out; 0: it is not set
	end     time.Time        // by then all tasks are over; zero: the host goes on
}

// until returns the sooner of a time and the host's end.
func (l *loop) until(t time.Time) time.Time {
	if !l.end.IsZero() && l.end.Before(t) {
		return l.end
	}
	return t
}

// New starts a Host; Close ends it.
func New(opt Options) (*Host, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	h := &Host{opt: opt, log: opt.Log, base: time.Now(), wake: make(chan struct{}, 1),
		done: make(chan struct{}), quit: make(chan struct{})}
	h.wall = h.base.UnixMicro()
	h.label = fmt.Sprintf("%d-%s", opt.Settings.Host, strconv.FormatInt(h.wall, 36))
	engine, err := NewEngine(opt.Settings, h.now())
	if err != nil {
		return nil, err
	}
	h.timer = time.NewTimer(0)
	h.loop = loop{engine: engine, tasks: map[arrowwalk.RequestID]*Task{}, members: map[arrowwalk.NodeID]Member{}}
	h.still = newStill(h.now())
	h.watched.Add(1)
	go h.run()
	go h.watch()
	return h, nil
}

// RunID names this run of this host: NUMBER-START. Request ids begin with it.
func (h *Host) RunID() string { return h.label }

// Settings returns what the module was told at its start.
func (h *Host) Settings() arrowwalk.Settings { return h.opt.Settings }

// now returns the module's time: the wall clock at the start, advanced by the
// monotonic clock alone, so that a node's told start is on the same scale and
// a clock that jumps moves nothing.
func (h *Host) now() arrowwalk.Micros {
	return arrowwalk.Micros(h.wall + time.Since(h.base).Microseconds())
}

// Close stops the loop. Tasks still waiting end as Failed; call it after those
// who use the host have stopped.
func (h *Host) Close() {
	h.mu.Lock()
	if !h.closed {
		h.closed = true
		close(h.quit)
	}
	h.mu.Unlock()
	<-h.done
	h.watched.Wait()
}

// post hands messages to the module; false: the host has stopped. Where nobody
// owns the Engine at the moment, the caller does the step itself: that saves
// two changes of goroutine on a request's way. Else the owner takes the
// messages along in its next step, in one batch with those of others.
func (h *Host) post(messages ...message) bool {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return false
	}
	h.inbox = append(h.inbox, messages...)
	h.mu.Unlock()
	h.drive()
	return true
}

// turnsMost is how many steps a caller does for others before it leaves them
// to the host's own goroutine.
const turnsMost = 4

// drive steps the module while there is something to step for and nobody else
// does. A message left behind is impossible: who fails to own the Engine has
// put its message in before, and the owner looks again after it let go.
func (h *Host) drive() {
	for turns := 0; h.pending(); turns++ {
		if turns == turnsMost {
			h.nudge()
			return
		}
		if !h.own.TryLock() {
			return
		}
		h.stepNow()
		h.arm()
		h.own.Unlock()
	}
}

func (h *Host) pending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.inbox) > 0 && !h.closed
}

// nudge wakes the host's own goroutine.
func (h *Host) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// arm sets the timer to the Engine's next, where that is sooner than what it
// is set to.
func (h *Host) arm() {
	next, ok := h.loop.engine.Next()
	if !ok || h.loop.armed != 0 && h.loop.armed <= next {
		return
	}
	h.loop.armed = next
	h.timer.Reset(time.Duration(next-h.now()) * time.Microsecond)
}

// Nodes tells the module of the node list, or of changes to it.
func (h *Host) Nodes(kind arrowwalk.ListKind, version int64, members []Member) {
	list := &arrowwalk.NodeList{Kind: kind, Version: version, Nodes: make([]arrowwalk.Node, 0, len(members))}
	for _, m := range members {
		list.Nodes = append(list.Nodes, m.Node)
	}
	h.post(message{event: list, members: members})
}

// Do has the module decide on a task until it has its one final word, and runs
// its attempts on the caller's goroutine. It returns before Until, give or
// take a tick, unless an attempt streams its answer.
func (h *Host) Do(t *Task) TaskResult {
	t.taken = time.Now()
	t.running = -1
	t.signals = make(chan signal, 4)
	t.request = arrowwalk.Request{
		ID: arrowwalk.RequestID(h.last.Add(1)), Class: t.Class, Volume: t.Volume, HasKey: t.HasKey, Key: t.Key,
		Units: t.Units, Shard: t.Shard, Again: t.IsRetry,
	}
	h.stats.taken.Add(1)
	v := TaskResult{Status: Failed}
	if h.post(message{event: &t.request, task: t}) {
		t.begun.Store(true)
		v = h.follow(t)
	}
	h.stats.ended[v.Status].Add(1)
	return v
}

// follow carries out what the module says of t until it is over.
func (h *Host) follow(t *Task) TaskResult {
	tries := 0
	for s := range t.signals {
		switch s.kind {
		case signalRefuse:
			return TaskResult{Status: Refused, RetryAfter: s.after, Attempts: tries}
		case signalFail, signalStop:
			return TaskResult{Status: Failed, Attempts: tries}
		case signalGone:
			return TaskResult{Status: ClientGone, Attempts: tries}
		}
		tries++
		h.alive(t)
		began := time.Now()
		r := h.try(t, s)
		if r.Final {
			t.over.Store(true)
		}
		h.stats.statuses[r.Status].Add(1)
		if r.Status != arrowwalk.OK {
			r.SocketDelay = h.unseen(began)
		}
		latency := time.Since(began) - r.SocketDelay
		h.post(message{task: t, event: &arrowwalk.Outcome{
			Attempt: arrowwalk.Attempt{Request: t.request.ID, Number: s.number, Node: s.member.ID},
			Status:  r.Status, Latency: arrowwalk.Micros(latency.Microseconds()), Closed: r.Final,
			FleetUse: r.FleetUse, OthersUnits: r.OtherHostsUnits, Load: r.Load,
		}})
		if r.Final {
			return TaskResult{Status: Served, Attempts: tries}
		}
	}
	return TaskResult{Status: Failed, Attempts: tries}
}

func (h *Host) try(t *Task, s signal) AttemptResult {
	if t.over.Load() || !time.Now().Before(s.until) { // the final word came before the attempt began, or comes now
		return AttemptResult{Status: arrowwalk.NotSent}
	}
	return t.Runner.Try(&Attempt{Request: t.request.ID, Number: s.number, Member: s.member, Deadline: s.until})
}

// BeginStream tells that the answer to t has begun: its deadline no longer counts.
func (h *Host) BeginStream(t *Task, number int, node arrowwalk.NodeID) {
	h.post(message{event: &arrowwalk.StreamStarted{Request: t.request.ID, Attempt: number, Node: node}})
}

// Abandon tells that t's client has gone; false: Do has not begun with t, and
// the caller may try again.
func (h *Host) Abandon(t *Task) bool {
	if !t.begun.Load() {
		return false
	}
	return h.post(message{event: &arrowwalk.Abandoned{Request: t.request.ID}, task: t})
}

// Shutdown has every task end by a time, those that are taken from now on too.
func (h *Host) Shutdown(by time.Time) {
	h.post(message{event: &arrowwalk.Shutdown{At: arrowwalk.Micros(h.wall + h.micros(by))}})
}

// run steps the module when a timer runs out, and ends the host.
func (h *Host) run() {
	defer close(h.done)
	defer h.timer.Stop()
	for {
		select {
		case <-h.quit:
			h.own.Lock()
			h.endAll()
			h.own.Unlock()
			return
		case <-h.wake:
		case <-h.timer.C:
		}
		h.own.Lock()
		h.loop.armed = 0
		h.stepNow()
		h.arm()
		h.own.Unlock()
		h.drive()
	}
}

// step takes what has come, steps the module and carries out its actions.
func (h *Host) step() {
	h.mu.Lock()
	in := h.inbox
	h.inbox = h.loop.swap[:0]
	h.mu.Unlock()
	l := &h.loop
	l.events = l.events[:0]
	began, now := time.Now(), h.now()
	for _, m := range in {
		if m.ask != nil {
			m.ask(h.state())
			continue
		}
		h.take(m, now)
		l.events = append(l.events, m.event)
	}
	for _, a := range l.engine.Step(now, l.events) {
		h.carryOut(a)
	}
	h.stats.step(time.Since(began), len(l.events))
	for _, m := range in { // what is over after its outcome is forgotten
		if m.task != nil && m.task.over.Load() && m.task.running < 0 {
			delete(l.tasks, m.task.request.ID)
		}
	}
	clear(l.events)
	clear(in)
	l.swap = in
}

// take keeps the host's own account of an event.
func (h *Host) take(m message, now arrowwalk.Micros) {
	l := &h.loop
	switch e := m.event.(type) {
	case *arrowwalk.Request:
		// Left counts from this step: the host may have stood still since Do.
		e.Left = arrowwalk.Micros(h.wall+h.micros(m.task.Deadline)) - now
		l.tasks[e.ID] = m.task
		m.task.until = l.until(m.task.Deadline)
	case *arrowwalk.Outcome:
		m.task.running = -1
		if e.Closed {
			m.task.over.Store(true)
		}
	case *arrowwalk.Abandoned:
		if t := m.task; !t.over.Swap(true) {
			t.signals <- signal{kind: signalGone}
			if t.running >= 0 && !t.OutlivesClient {
				t.Runner.Abort(t.running)
			}
		}
	case *arrowwalk.Shutdown:
		l.end = h.base.Add(time.Duration(int64(e.At)-h.wall) * time.Microsecond)
		for _, t := range l.tasks {
			t.until = l.until(t.until)
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
	}
}

// carryOut does one action. It never waits: a task's channel has room for all
// that can be said of it.
func (h *Host) carryOut(a arrowwalk.Action) {
	l := &h.loop
	switch a.Kind {
	case arrowwalk.Send:
		t := l.tasks[a.Request]
		if t == nil {
			h.log.Error("send for an unknown request", "request", a.Request)
			return
		}
		t.member = l.members[a.Node]
		t.member.ID = a.Node
		t.running = t.sent
		t.sent++
		t.signals <- signal{kind: signalSend, number: t.running, member: t.member, until: t.until}
	case arrowwalk.Refuse, arrowwalk.Fail:
		h.final(a)
	case arrowwalk.Cancel:
		if t := l.tasks[a.Request]; t != nil && t.running == a.Attempt {
			t.Runner.Abort(a.Attempt)
		}
	case arrowwalk.Log:
		h.log.Warn(a.Text)
	}
}

// final passes on the module's one final answer.
func (h *Host) final(a arrowwalk.Action) {
	t := h.loop.tasks[a.Request]
	if t == nil || t.over.Load() {
		return
	}
	owed := h.catching && t.ReportsResponse
	if owed { // before it is over: who sees that sees this too
		h.still.owe(t)
		t.late.Store(true)
	}
	if t.over.Swap(true) { // an answer came meanwhile
		if owed {
			h.still.paid(t)
		}
		return
	}
	kind := signalFail
	if a.Kind == arrowwalk.Refuse {
		kind = signalRefuse
	}
	t.signals <- signal{kind: kind, after: time.Duration(a.Delay) * time.Microsecond}
	if t.running >= 0 {
		t.Runner.Abort(t.running)
	} else {
		delete(h.loop.tasks, a.Request)
	}
}

func (h *Host) endAll() {
	for _, t := range h.loop.tasks {
		if !t.over.Swap(true) {
			t.signals <- signal{kind: signalStop}
			if t.running >= 0 {
				t.Runner.Abort(t.running)
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.inbox { // came after the last step
		if _, ok := m.event.(*arrowwalk.Request); ok && !m.task.over.Swap(true) {
			m.task.signals <- signal{kind: signalStop}
		}
		if m.ask != nil {
			m.ask(h.state())
		}
	}
	h.inbox = nil
}
