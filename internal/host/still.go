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

// beatEvery is how often the host shows that it lives.
const beatEvery = 20 * time.Millisecond

// still watches whether this process stands still, and holds back what is new
// while the final words of requests whose time ran out meanwhile go out.
type still struct {
	limit atomic.Int64 // by then a beat is due; later the process stood still
	ended atomic.Int64 // when the last stall ended; 0: there was none

	mu      sync.Mutex
	detect  *stall.Detector
	catchUp stall.CatchUp
	late    map[*Task]struct{} // whose final word is owed since the stall
	open    chan struct{}      // closed when the new may go on; nil: it may
	since   stall.Stall        // the last one
	fresh   atomic.Bool        // it ended, and the module was not stepped since
}

func newStill(now arrowwalk.Micros) *still {
	s := &still{detect: stall.NewDetector(beatEvery.Microseconds(), int64(now)), late: map[*Task]struct{}{}}
	s.limit.Store(s.detect.StallDeadline())
	return s
}

// beat takes a sign of life; it returns a stall that it ends.
func (s *still) beat(now arrowwalk.Micros) (stall.Stall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, ok := s.detect.Heartbeat(int64(now))
	if ok {
		s.since = was
		s.fresh.Store(true)
		s.ended.Store(was.End)
		s.catchUp.Begin(was.End, was.End-was.Start)
		if s.open == nil {
			s.open = make(chan struct{})
		}
	}
	s.limit.Store(s.detect.StallDeadline()) // last: who sees the new limit sees the stall too
	return was, ok
}

// owe notes that t's final word is the first to go out.
func (s *still) owe(t *Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late[t] = struct{}{}
	s.catchUp.AddPendingReply()
}

// decided notes that all final words that a stall made due are known, and
// returns how many they are.
func (s *still) decided() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catchUp.FinishDeciding()
	if len(s.late) == 0 {
		s.reopen()
	}
	return s.catchUp.Replies()
}

// paid notes that t's final word is written.
func (s *still) paid(t *Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.late[t]; !ok {
		return
	}
	delete(s.late, t)
	s.catchUp.MarkReplySent()
	if len(s.late) == 0 && !s.catchUp.IsDeciding() {
		s.reopen()
	}
}

func (s *still) reopen() {
	if s.open != nil {
		close(s.open)
		s.open = nil
	}
}

// gate returns a channel that closes when the new may go on and how long that
// takes at most; nil: it may now.
func (s *still) gate(now arrowwalk.Micros) (<-chan struct{}, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		return nil, 0
	}
	if s.catchUp.AllowsNew(int64(now)) {
		clear(s.late)
		s.reopen()
		return nil, 0
	}
	return s.open, time.Duration(s.catchUp.Deadline()-int64(now)) * time.Microsecond
}

// watch beats until the host stops.
func (h *Host) watch() {
	defer h.watched.Done()
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		select {
		case <-h.quit:
			return
		case <-tick.C:
			h.catchUp(h.now())
		}
	}
}

// Heartbeat is a sign of life: who is about to read something new calls it. Where
// it ends a stall, the module is stepped first, so that what is overdue has its
// final word, and the call waits until those words are out, for a bounded time.
// On the usual way it is a clock and a load.
func (h *Host) Heartbeat() { h.alive(nil) }

// alive is Alive for what is to be sent for t; nil: for what is to be read.
func (h *Host) alive(t *Task) {
	now := h.now()
	if int64(now) > h.still.limit.Load() {
		h.catchUp(now)
	}
	if int64(h.now())-h.still.ended.Load() < 2*stall.MaxCatchUpMicros {
		h.await(t)
	}
}

// catchUp ends a stall, if there was one: time alone is let into the module.
func (h *Host) catchUp(now arrowwalk.Micros) {
	if _, ok := h.still.beat(now); !ok {
		return
	}
	h.own.Lock()
	h.stepNow()
	h.arm()
	h.own.Unlock()
	h.drive()
}

// logStill is the shortest stall that the log tells of: clients do not feel
// shorter ones, which are counted all the same.
const logStill = 200 * time.Millisecond

// stepNow steps the module. The first step after a stall, whoever comes to do
// it, is one of its own. The caller holds h.own.
func (h *Host) stepNow() {
	if now := h.now(); int64(now) > h.still.limit.Load() {
		h.still.beat(now)
	}
	if !h.still.fresh.Load() {
		h.step()
		return
	}
	h.still.fresh.Store(false)
	h.still.mu.Lock()
	was := h.still.since
	h.still.mu.Unlock()
	h.stepLate(was)
}

// stepLate is the first step after a stall. The module takes the timers that
// ran out first, then what has come, in one step, so that it knows that all of
// this is of the stall; what it gives up is the first to go out. The caller
// holds h.own.
func (h *Host) stepLate(was stall.Stall) {
	h.catching = true
	h.step()
	h.catching = false
	words := h.still.decided()
	if span := time.Duration(was.End-was.Start) * time.Microsecond; span >= logStill {
		h.log.Warn("this host stood still", "for", span.Round(time.Millisecond), "overdue", words)
	}
}

// lookEvery is how often a task that waits for others' words looks for its own.
const lookEvery = time.Millisecond

// await waits until what is new may go on; t does not wait once it has its own
// final word, which may be among those that are waited for.
func (h *Host) await(t *Task) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		open, most := h.still.gate(h.now())
		if open == nil || t != nil && t.over.Load() {
			return
		}
		if t != nil {
			most = min(most, lookEvery)
		}
		timer.Reset(most)
		select {
		case <-open:
		case <-timer.C:
		case <-h.quit:
			return
		}
	}
}

// RecentStall tells whether the host stood still and went on less than span ago, and
// when the first such stall began. Bytes that are read then may have lain in
// their socket. On the usual way it is a clock and a load.
func (h *Host) RecentStall(span time.Duration) (from time.Time, ok bool) {
	now := h.now()
	limit := h.still.limit.Load() // first: who sees the new limit must see the stall that made it
	ended := h.still.ended.Load()
	if int64(now) <= limit && (ended == 0 || int64(now)-ended >= span.Microseconds()) {
		return time.Time{}, false
	}
	h.still.mu.Lock()
	defer h.still.mu.Unlock()
	at, ok := h.still.detect.EarliestRecentStall(int64(now), span.Microseconds())
	if !ok {
		return time.Time{}, false
	}
	return h.base.Add(time.Duration(at-h.wall) * time.Microsecond), true
}

// windowLeast is what a connection's receive window has room for at any rate,
// bytes: where more than that was found, the window may have been full, and
// what came last may have come when room was made for it, just now.
const windowLeast = 32 << 10

// RequestArrival returns since when a client may have waited of whose request got bytes
// were just read, and rest bytes are to be read on the connection, which was
// seen empty at a time; rest -1: that is not known. It is told where the host
// stood still and went on less than span ago; what was read may have lain there.
func (h *Host) RequestArrival(raw syscall.RawConn, empty time.Time, got int, rest int64, span time.Duration) (time.Time, bool) {
	from, ok := h.RecentStall(span)
	if !ok {
		return time.Time{}, false
	}
	unread, counted := tcpinfo.UnreadBytes(raw)
	age, told := tcpinfo.LastReceiveAge(raw)
	f := stall.UnreadData{ObservedAt: h.micros(time.Now()), LastEmpty: h.micros(empty), Age: age.Microseconds(), AgeKnown: told,
		Partial: rest < 0 || rest > 0 && (!counted || int64(unread) < rest) || got+unread > windowLeast}
	return h.base.Add(time.Duration(f.ArrivalTime(h.micros(from))) * time.Microsecond), true
}

// SocketDelay returns how long an attempt's answer, whose head was just read, lay in
// its socket because the host stood still, where that was less than span ago.
func (h *Host) SocketDelay(raw syscall.RawConn, began time.Time, span time.Duration) time.Duration {
	came, ok := h.RequestArrival(raw, began, 0, 0, span)
	if !ok {
		return 0
	}
	now := time.Now()
	return max(0, min(now.Sub(came), now.Sub(began)))
}

// unseen returns for how much of the time since began the host stood still:
// a brick that gave no answer is not to blame for that part.
func (h *Host) unseen(began time.Time) time.Duration {
	if h.still.ended.Load() <= h.wall+h.micros(began) {
		return 0
	}
	h.still.mu.Lock()
	defer h.still.mu.Unlock()
	from := h.wall + h.micros(began)
	return time.Duration(h.still.detect.StalledTime(from, int64(h.now()))) * time.Microsecond
}

func (h *Host) micros(t time.Time) int64 { return t.Sub(h.base).Microseconds() }

// ResponseSent tells that the final word of a task of Do is on its way to the
// client. A front that writes one after a stall calls it; else the new waits
// for that word as long as it may.
func (h *Host) ResponseSent(t *Task) {
	if t.late.Load() {
		h.still.paid(t)
	}
}

// StallStats returns how often the host stood still, and for how long at most.
func (h *Host) StallStats() (n uint64, longest time.Duration) {
	h.still.mu.Lock()
	defer h.still.mu.Unlock()
	n, most := h.still.detect.Totals()
	return n, time.Duration(most) * time.Microsecond
}
