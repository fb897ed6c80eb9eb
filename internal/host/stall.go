package host

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowwalk"
	"arrowwalk/internal/stall"
	"arrowwalk/internal/tcpinfo"
)

// heartbeatInterval is the period of the host's heartbeat.
const heartbeatInterval = 20 * time.Millisecond

// stallGuard detects stalls of this process, that is, spans in which none of its
// goroutines ran. After a stall it holds back new reads and attempts until the
// replies to requests whose deadline passed in the meantime have been sent.
type stallGuard struct {
	heartbeatDue atomic.Int64 // without a heartbeat by then, the process has stalled
	lastStallEnd atomic.Int64 // 0 if there was no stall

	mu             sync.Mutex
	detector       *stall.Detector
	catchUp        stall.CatchUp
	pendingReplies map[*Task]struct{} // tasks that ended in the first step after the stall and whose reply is not sent
	resume         chan struct{}      // closed when new work may go on; nil if it may already
	lastStall      stall.Stall
	stepDue        atomic.Bool // the module was not stepped since lastStall
}

func newStallGuard(now arrowwalk.Micros) *stallGuard {
	s := &stallGuard{detector: stall.NewDetector(heartbeatInterval.Microseconds(), int64(now)), pendingReplies: map[*Task]struct{}{}}
	s.heartbeatDue.Store(s.detector.StallDeadline())
	return s
}

// heartbeat records a heartbeat and returns the stall that it ends, if any.
func (s *stallGuard) heartbeat(now arrowwalk.Micros) (stall.Stall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended, ok := s.detector.Heartbeat(int64(now))
	if ok {
		s.lastStall = ended
		s.stepDue.Store(true)
		s.lastStallEnd.Store(ended.End)
		s.catchUp.Begin(ended.End, ended.End-ended.Start)
		if s.resume == nil {
			s.resume = make(chan struct{})
		}
	}
	// Stored last: a goroutine that sees the new deadline also sees the stall.
	s.heartbeatDue.Store(s.detector.StallDeadline())
	return ended, ok
}

// addPendingReply records that the reply to t must be sent before new work.
func (s *stallGuard) addPendingReply(t *Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingReplies[t] = struct{}{}
	s.catchUp.AddPendingReply()
}

// finishDeciding records that all replies that became due in a stall are known,
// and returns their number.
func (s *stallGuard) finishDeciding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catchUp.FinishDeciding()
	if len(s.pendingReplies) == 0 {
		s.resumeNew()
	}
	return s.catchUp.Replies()
}

// markReplySent records that the reply to t was written.
func (s *stallGuard) markReplySent(t *Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.pendingReplies[t]; !ok {
		return
	}
	delete(s.pendingReplies, t)
	s.catchUp.MarkReplySent()
	if len(s.pendingReplies) == 0 && !s.catchUp.IsDeciding() {
		s.resumeNew()
	}
}

// resumeNew lets new work go on. The caller holds s.mu.
func (s *stallGuard) resumeNew() {
	if s.resume != nil {
		close(s.resume)
		s.resume = nil
	}
}

// resumeChan returns a channel that is closed when new work may go on, and the
// longest time to wait for it. The channel is nil if new work may go on now.
func (s *stallGuard) resumeChan(now arrowwalk.Micros) (<-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resume == nil {
		return nil, 0
	}
	if s.catchUp.AllowsNew(int64(now)) {
		clear(s.pendingReplies)
		s.resumeNew()
		return nil, 0
	}
	return s.resume, time.Duration(s.catchUp.Deadline()-int64(now)) * time.Microsecond
}

// runHeartbeat sends heartbeats until the host is closed.
func (h *Host) runHeartbeat() {
	defer h.heartbeatDone.Done()
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-h.quit:
			return
		case <-tick.C:
			now := h.moduleTime()
			h.recordRun(now)
			h.endStall(now)
		}
	}
}

// Heartbeat records that the process runs. Call it before reading new input. If
// it ends a stall, the module is stepped first, so that overdue requests end,
// and the call waits, for a bounded time, until their replies are sent.
// Otherwise it costs reading the clock and an atomic load.
func (h *Host) Heartbeat() { h.heartbeat(nil) }

// heartbeat is Heartbeat before an attempt of t is sent; t is nil before a read.
func (h *Host) heartbeat(t *Task) {
	now := h.moduleTime()
	if int64(now) > h.stalls.heartbeatDue.Load() {
		h.endStall(now)
	}
	if int64(h.moduleTime())-h.stalls.lastStallEnd.Load() < 2*stall.MaxCatchUpMicros {
		h.waitForReplies(t)
	}
}

// endStall records a heartbeat. If that ends a stall, it steps the module, which
// sees the time that has passed and the messages queued so far.
func (h *Host) endStall(now arrowwalk.Micros) {
	if _, ok := h.stalls.heartbeat(now); !ok {
		return
	}
	h.loopMu.Lock()
	h.stepLocked()
	h.armTimer()
	h.loopMu.Unlock()
	h.stepPending()
}

// minLoggedStall is the shortest stall that is logged. Clients do not notice
// shorter ones; Stats counts them all.
const minLoggedStall = 200 * time.Millisecond

// stepLocked steps the module. The first step after a stall is stepAfterStall,
// whichever goroutine executes it. The caller holds h.loopMu.
func (h *Host) stepLocked() {
	if now := h.moduleTime(); int64(now) > h.stalls.heartbeatDue.Load() {
		h.stalls.heartbeat(now)
	}
	if !h.stalls.stepDue.Load() {
		h.step()
		return
	}
	h.stalls.stepDue.Store(false)
	h.stalls.mu.Lock()
	ended := h.stalls.lastStall
	h.stalls.mu.Unlock()
	h.awaitLists()
	h.suspendMembers(ended)
	h.stepAfterStall(ended)
}

// stepAfterStall executes the first step after a stall. The module gets the
// expired timers and then the queued events in one step, so that it can tell
// that all of them belong to the stall. Replies to the tasks that it ends are
// sent before new work goes on. The caller holds h.loopMu.
func (h *Host) stepAfterStall(ended stall.Stall) {
	h.afterStall = true
	h.step()
	h.afterStall = false
	replies := h.stalls.finishDeciding()
	if length := time.Duration(ended.End-ended.Start) * time.Microsecond; length >= minLoggedStall {
		h.log.Warn("host process stalled", "for", length.Round(time.Millisecond), "overdue", replies)
	}
}

// endedPollInterval is how often a task that waits for the replies to other
// tasks checks whether it has ended itself.
const endedPollInterval = time.Millisecond

// waitForReplies waits until new work may go on. It stops waiting when t has
// ended, since the reply to t may be one of those that it waits for.
func (h *Host) waitForReplies(t *Task) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		resume, maxWait := h.stalls.resumeChan(h.moduleTime())
		if resume == nil || t != nil && t.ended.Load() {
			return
		}
		if t != nil {
			maxWait = min(maxWait, endedPollInterval)
		}
		timer.Reset(maxWait)
		select {
		case <-resume:
		case <-timer.C:
		case <-h.quit:
			return
		}
	}
}

// RecentStall reports whether the process is stalled or a stall ended less than
// span ago, and returns the start of the earliest such stall. Bytes that are
// read within that span may have waited in their socket. If there was no stall,
// it costs reading the clock and two atomic loads.
func (h *Host) RecentStall(span time.Duration) (start time.Time, ok bool) {
	now := h.moduleTime()
	// Loaded first: a goroutine that sees the new deadline must also see the stall that set it.
	due := h.stalls.heartbeatDue.Load()
	lastEnd := h.stalls.lastStallEnd.Load()
	if int64(now) <= due && (lastEnd == 0 || int64(now)-lastEnd >= span.Microseconds()) {
		return time.Time{}, false
	}
	h.stalls.mu.Lock()
	defer h.stalls.mu.Unlock()
	at, ok := h.stalls.detector.EarliestRecentStall(int64(now), span.Microseconds())
	if !ok {
		return time.Time{}, false
	}
	return h.startTime.Add(time.Duration(at-h.startMicros) * time.Microsecond), true
}

// minReceiveWindow is the number of bytes that fit into a connection's receive
// window in any case. If more bytes were found, the window may have been full,
// and the last of them may have arrived only when reading made space for them.
const minReceiveWindow = 32 << 10

// RequestArrival returns the earliest time since which a client may have been
// waiting for the response to a request of which read bytes were just read.
// lastEmpty is when the connection's receive buffer was last seen empty, and
// remaining is the number of bytes still to be read on the connection, or -1 if
// that is not known. It returns false unless the process is stalled or a stall
// ended less than span ago: only then may the bytes have waited in the socket.
func (h *Host) RequestArrival(raw syscall.RawConn, lastEmpty time.Time, read int, remaining int64, span time.Duration) (time.Time, bool) {
	start, ok := h.RecentStall(span)
	if !ok {
		return time.Time{}, false
	}
	unread, unreadKnown := tcpinfo.UnreadBytes(raw)
	age, ageKnown := tcpinfo.LastReceiveAge(raw)
	data := stall.UnreadData{ObservedAt: h.microsSinceStart(time.Now()), LastEmpty: h.microsSinceStart(lastEmpty), Age: age.Microseconds(), AgeKnown: ageKnown,
		Partial: remaining < 0 || remaining > 0 && (!unreadKnown || int64(unread) < remaining) || read+unread > minReceiveWindow}
	return h.startTime.Add(time.Duration(data.ArrivalTime(h.microsSinceStart(start))) * time.Microsecond), true
}

// SocketDelay returns how long the response to an attempt that was sent at sent
// and whose head was just read waited in its socket because the process was
// stalled. It considers only stalls that ended less than span ago.
func (h *Host) SocketDelay(raw syscall.RawConn, sent time.Time, span time.Duration) time.Duration {
	arrival, ok := h.RequestArrival(raw, sent, 0, 0, span)
	if !ok {
		return 0
	}
	now := time.Now()
	return max(0, min(now.Sub(arrival), now.Sub(sent)))
}

// StalledBetween returns how much of the time from start to end, which is not in the
// future, the process was stalled. A stall that no heartbeat has ended yet counts.
// If there was no stall, it costs two atomic loads.
func (h *Host) StalledBetween(start, end time.Time) time.Duration {
	from, to := h.startMicros+h.microsSinceStart(start), h.startMicros+h.microsSinceStart(end)
	// Loaded first: a goroutine that sees the new deadline must also see the stall that set it.
	due := h.stalls.heartbeatDue.Load()
	if to <= due && h.stalls.lastStallEnd.Load() <= from {
		return 0
	}
	h.stalls.mu.Lock()
	defer h.stalls.mu.Unlock()
	stalled := h.stalls.detector.StalledTime(from, to)
	if current, ok := h.stalls.detector.Current(to); ok {
		stalled += current.Overlap(from, to)
	}
	return time.Duration(stalled) * time.Microsecond
}

func (h *Host) microsSinceStart(t time.Time) int64 { return t.Sub(h.startTime).Microseconds() }

// ResponseSent reports that the response to a task that ended is being sent to
// the client. A frontend whose tasks set ReportsResponse calls it for each task
// for which EndedAfterStall is true; otherwise new work waits for that response
// until its bound.
func (h *Host) ResponseSent(t *Task) {
	if t.endedAfterStall.Load() {
		h.stalls.markReplySent(t)
	}
}

// StallStats returns the number of stalls of the process and the longest one.
func (h *Host) StallStats() (n uint64, longest time.Duration) {
	h.stalls.mu.Lock()
	defer h.stalls.mu.Unlock()
	n, longestMicros := h.stalls.detector.Totals()
	return n, time.Duration(longestMicros) * time.Microsecond
}
