package host

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowwalk"
	"arrowwalk/internal/arrivalorder"
	"arrowwalk/internal/tcpinfo"
)

// Source is a connection or a listener on which requests or node lists arrive.
type Source interface {
	// MayHoldData reports whether data may have arrived on the source that was not
	// handed to the Host. It must not call the Host.
	MayHoldData() bool
}

// maxArrivalWait bounds the time after a stall for which requests of ordered classes
// wait for others that may have arrived before them. Replies that became due in the
// stall may take stall.MaxCatchUpMicros of it, before anything is read.
const maxArrivalWait = 200 * time.Millisecond

// maxRunGap is the longest time between two heartbeats after which requests are taken to
// arrive in the order in which they are read. It is not learned from the usual lateness of
// heartbeats: on a busy machine, too, the order is that of arrival.
const maxRunGap = 2 * heartbeatInterval

// arrivals holds the requests of ordered classes that are read after a stall, until
// they can be submitted in order of arrival.
type arrivals struct {
	orders     bool                      // the settings have an ordered class
	collecting atomic.Bool               // requests are being held; changed under mu
	lastRun    atomic.Int64              // when the process was last known to run
	shutdownBy atomic.Pointer[time.Time] // all tasks end by then; nil if no shutdown was requested

	mu        sync.Mutex
	sources   map[Source]struct{}
	collector arrivalorder.Collector[Source, *heldTask]
}

// heldTask is a task that waits for tasks that may have arrived before it.
type heldTask struct {
	task     *Task
	released chan struct{} // closed once the task is queued for the module
}

func (a *arrivals) init(settings *arrowwalk.Settings, now arrowwalk.Micros) {
	a.lastRun.Store(int64(now))
	a.sources = map[Source]struct{}{}
	for i := range settings.Classes {
		a.orders = a.orders || settings.Classes[i].Ordered
	}
}

// OrdersArrivals reports whether the settings have a class whose requests run in
// order of arrival. If not, the Host needs no sources.
func (h *Host) OrdersArrivals() bool { return h.arrivals.orders }

// AddSource makes s known: after a stall, requests of ordered classes wait until it has
// been read. Call it before anything is read from s, and RemoveSource when s is closed.
func (h *Host) AddSource(s Source) {
	a := &h.arrivals
	if !a.orders {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sources[s] = struct{}{}
	if a.collector.Collecting() && s.MayHoldData() {
		a.collector.AddSource(s)
	}
}

// RemoveSource forgets s, which is closed.
func (h *Host) RemoveSource(s Source) {
	a := &h.arrivals
	if !a.orders {
		return
	}
	a.mu.Lock()
	delete(a.sources, s)
	a.mu.Unlock()
	h.SourceRead(s)
}

// SourceRead reports that no complete request lies unread on s. Unless requests are
// being held, it costs an atomic load.
func (h *Host) SourceRead(s Source) {
	a := &h.arrivals
	if s == nil || !a.collecting.Load() {
		return
	}
	a.mu.Lock()
	a.collector.RemoveSource(s)
	h.releaseLocked()
	a.mu.Unlock()
	h.stepPending()
}

// CollectsArrivals reports whether requests are being held to restore the order of
// their arrival. It costs an atomic load.
func (h *Host) CollectsArrivals() bool { return h.arrivals.collecting.Load() }

// ArrivalTime returns when data last arrived on a connection from which it was just
// read, as exactly as the kernel tells, while requests are being held. At other times
// it returns the current time.
func (h *Host) ArrivalTime(raw syscall.RawConn) time.Time {
	now := time.Now()
	if !h.arrivals.orders {
		return now
	}
	h.noteRunning(h.moduleTime())
	if !h.CollectsArrivals() {
		return now
	}
	if age, ok := tcpinfo.LastReceiveAge(raw); ok {
		return now.Add(-age)
	}
	return now
}

// noteRunning records that the process runs. If that ends a gap, it begins to hold
// requests until all sources that may hold one have been read.
func (h *Host) noteRunning(now arrowwalk.Micros) {
	a := &h.arrivals
	if int64(now)-a.lastRun.Load() <= maxRunGap.Microseconds() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	gap := int64(now) - a.lastRun.Load()
	if gap <= maxRunGap.Microseconds() {
		return
	}
	a.collector.Begin(int64(now), gap, maxArrivalWait.Microseconds())
	a.collecting.Store(true)
	for s := range a.sources {
		if s.MayHoldData() {
			a.collector.AddSource(s)
		}
	}
	h.releaseLocked()
	a.lastRun.Store(int64(now)) // last: a task that sees it also sees that requests are held
}

// recordRun records a heartbeat.
func (h *Host) recordRun(now arrowwalk.Micros) {
	if h.arrivals.orders {
		h.noteRunning(now)
		h.arrivals.lastRun.Store(int64(now))
	}
}

// releaseLocked queues the held tasks for the module in order of arrival if they need
// not wait any more. The caller holds h.arrivals.mu and steps the module afterwards.
func (h *Host) releaseLocked() {
	a := &h.arrivals
	released, ok := a.collector.Release(int64(h.moduleTime()))
	if !ok {
		return
	}
	for _, held := range released {
		if h.enqueue(held.task.message()) {
			held.task.submitted.Store(true)
		}
		close(held.released)
	}
	a.collecting.Store(false) // last: a task that sees it is queued behind those released
}

// message returns the message that submits t to the module.
func (t *Task) message() message { return message{event: &t.request, task: t} }

// submit queues t for the module, in an ordered class behind all tasks that arrived
// before it. It returns false with t's result if t ends instead.
func (h *Host) submit(t *Task) (TaskResult, bool) {
	if !h.arrivals.orders || !t.HasKey || t.Class < 0 || t.Class >= len(h.opt.Settings.Classes) || !h.opt.Settings.Classes[t.Class].Ordered {
		return h.submitNow(t)
	}
	h.noteRunning(h.moduleTime())
	held := h.hold(t)
	if held == nil {
		return h.submitNow(t)
	}
	h.stepPending()
	return h.awaitRelease(held)
}

// submitNow queues t for the module.
func (h *Host) submitNow(t *Task) (TaskResult, bool) {
	if !h.post(t.message()) {
		return TaskResult{Status: Failed}, false
	}
	t.submitted.Store(true)
	t.handedOver.Store(true)
	h.SourceRead(t.Source) // a stall may have begun before handedOver was set
	return TaskResult{}, true
}

// hold holds t while requests are being collected. It returns nil if t may be
// submitted at once.
func (h *Host) hold(t *Task) *heldTask {
	a := &h.arrivals
	if !a.collecting.Load() {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	held := &heldTask{task: t, released: make(chan struct{})}
	arrivedAt := t.acceptedAt
	if !t.ArrivedAt.IsZero() {
		arrivedAt = t.ArrivedAt
	}
	if !a.collector.Hold(held, h.microsSinceStart(arrivedAt)) {
		return nil
	}
	t.handedOver.Store(true)
	if t.Source != nil {
		a.collector.RemoveSource(t.Source)
	}
	h.releaseLocked()
	return held
}

// awaitRelease waits until a held task is queued for the module. A task whose deadline
// comes first is refused: it was never sent.
func (h *Host) awaitRelease(held *heldTask) (TaskResult, bool) {
	deadline := h.lastAnswerTime(held.task)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(earlier(h.collectDeadline(), deadline)))
		select {
		case <-held.released:
			if !held.task.submitted.Load() { // the host was closed
				return TaskResult{Status: Failed}, false
			}
			return TaskResult{}, true
		case <-h.quit:
			if h.withdraw(held) {
				return TaskResult{Status: Failed}, false
			}
		case now := <-timer.C:
			h.releaseHeld()
			if !now.Before(deadline) && h.withdraw(held) {
				return TaskResult{Status: Refused, RetryAfter: time.Duration(h.opt.Settings.MaxRetryAfter) * time.Microsecond}, false
			}
		}
	}
}

// lastAnswerTime returns the last time at which the final answer to t is in time, as
// for requests that wait in the module.
func (h *Host) lastAnswerTime(t *Task) time.Time {
	deadline := t.Deadline
	if by := h.arrivals.shutdownBy.Load(); by != nil {
		deadline = earlier(deadline, *by)
	}
	return deadline.Add(-time.Duration(h.opt.Settings.Tick) * time.Microsecond)
}

// collectDeadline returns when all held tasks go on in any case.
func (h *Host) collectDeadline() time.Time {
	a := &h.arrivals
	a.mu.Lock()
	defer a.mu.Unlock()
	return h.startTime.Add(time.Duration(a.collector.Deadline()-h.startMicros) * time.Microsecond)
}

// releaseHeld submits the held tasks if they need not wait any more.
func (h *Host) releaseHeld() {
	h.arrivals.mu.Lock()
	h.releaseLocked()
	h.arrivals.mu.Unlock()
	h.stepPending()
}

// withdraw removes a held task. It returns false if the task was released already.
func (h *Host) withdraw(held *heldTask) bool {
	h.arrivals.mu.Lock()
	defer h.arrivals.mu.Unlock()
	return h.arrivals.collector.Withdraw(held)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
