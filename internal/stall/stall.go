// Package stall detects that the process was not running for a while, and since
// when: for instance because it was stopped or its machine was overloaded. It
// works from the process's own heartbeats on a monotonic clock. It has no clock
// of its own: all times are microseconds that the caller supplies. The lateness
// that counts as a stall is learned from the usual lateness of heartbeats, in the
// way in which RFC 6298 derives a retransmission timeout, so that no constant
// depends on the machine.
package stall

// Stall is a span of time in which the process was not running.
type Stall struct {
	Start int64 // last heartbeat before the stall
	End   int64 // first heartbeat after it
}

// maxRecentStalls is the number of stalls that a Detector remembers.
const maxRecentStalls = 16

// Detector learns how late heartbeats usually are and detects stalls. Its zero
// value is not usable; it is not safe for concurrent use.
type Detector struct {
	interval      int64 // between heartbeats
	lastHeartbeat int64
	meanLateness  float64
	meanDev       float64 // mean deviation of the lateness
	recent        []Stall // oldest first
	count         uint64  // stalls so far
	longest       int64   // longest stall
}

// NewDetector returns a Detector for a process that sends a heartbeat every
// interval microseconds from now on.
func NewDetector(interval, now int64) *Detector {
	return &Detector{interval: max(interval, 1), lastHeartbeat: now}
}

// maxLatenessIntervals bounds the learned lateness, in heartbeat intervals.
// Without the bound a machine that stalls all the time would teach the detector
// to ignore its stalls.
const maxLatenessIntervals = 16

// MaxLateness returns how late a heartbeat may be without counting as a stall, in
// microseconds: the mean plus four mean deviations, but at least one interval.
func (d *Detector) MaxLateness() int64 {
	return min(max(d.interval, int64(d.meanLateness+4*d.meanDev)), maxLatenessIntervals*d.interval)
}

// IsStalled reports whether the process has been stalled since its last
// heartbeat.
func (d *Detector) IsStalled(now int64) bool { return now-d.lastHeartbeat > d.interval+d.MaxLateness() }

// StallDeadline returns the time after which IsStalled is true unless another
// heartbeat comes.
func (d *Detector) StallDeadline() int64 { return d.lastHeartbeat + d.interval + d.MaxLateness() }

// Heartbeat records a heartbeat. It returns the stall that the heartbeat ends, if
// any. A stall contributes no more than MaxLateness to the learned lateness, so
// that a machine that becomes busy raises it gradually and one long stall does
// not.
func (d *Detector) Heartbeat(now int64) (Stall, bool) {
	if now <= d.lastHeartbeat {
		return Stall{}, false
	}
	late := max(0, now-d.lastHeartbeat-d.interval)
	stalled, maxLateness := d.IsStalled(now), d.MaxLateness()
	s := Stall{d.lastHeartbeat, now}
	d.lastHeartbeat = now
	d.learn(float64(min(late, maxLateness)))
	if !stalled {
		return Stall{}, false
	}
	d.count++
	d.longest = max(d.longest, s.End-s.Start)
	if len(d.recent) == maxRecentStalls {
		d.recent = append(d.recent[:0], d.recent[1:]...)
	}
	d.recent = append(d.recent, s)
	return s, true
}

// learn updates the smoothed lateness with the gains of RFC 6298 section 2: 1/8
// for the mean and 1/4 for the deviation.
func (d *Detector) learn(late float64) {
	diff := late - d.meanLateness
	d.meanLateness += diff / 8
	d.meanDev += (max(diff, -diff) - d.meanDev) / 4
}

// EarliestRecentStall returns the start of the first stall that ended less than
// span before now, a stall in progress included. It returns false if there is
// none. An observation made before that start is not affected by a recent stall.
func (d *Detector) EarliestRecentStall(now, span int64) (int64, bool) {
	for _, s := range d.recent {
		if now-s.End < span {
			return s.Start, true
		}
	}
	if d.IsStalled(now) {
		return d.lastHeartbeat, true
	}
	return 0, false
}

// Current returns the stall in progress, with now as its end. It returns false if
// there is none.
func (d *Detector) Current(now int64) (Stall, bool) {
	return Stall{d.lastHeartbeat, now}, d.IsStalled(now)
}

// StalledTime returns how much of the span from..to the process was stalled and
// could not observe the events that it waited for. Only stalls that have ended
// count.
func (d *Detector) StalledTime(from, to int64) int64 {
	var sum int64
	for _, s := range d.recent {
		sum += s.Overlap(from, to)
	}
	return sum
}

// Overlap returns how much of the span from..to lies within s.
func (s Stall) Overlap(from, to int64) int64 { return max(0, min(to, s.End)-max(from, s.Start)) }

// Totals returns the number of stalls and the length of the longest.
func (d *Detector) Totals() (n uint64, longest int64) { return d.count, d.longest }

// UnreadData describes data that the process finds in a socket. Times are
// microseconds.
type UnreadData struct {
	ObservedAt int64 // when the socket is examined
	LastEmpty  int64 // when the socket was last seen empty; 0: unknown
	Age        int64 // since data last arrived, as reported by the kernel
	AgeKnown   bool  // the kernel reports Age
	Partial    bool  // more of the request is to come; a full receive window may hold it back
}

// ArrivalTime returns the time from which the client of a request may have been
// waiting, for a process that has been stalled since stalledSince. If the kernel
// does not report when the last byte arrived, or if that byte may still lie in
// the client's send buffer because the receive buffer was full, the stall bounds
// the time: the client may have sent the whole request when the stall began, but
// not before the socket was seen empty.
func (u *UnreadData) ArrivalTime(stalledSince int64) int64 {
	if u.AgeKnown && !u.Partial {
		return u.ObservedAt - max(0, u.Age)
	}
	return min(u.ObservedAt, max(u.LastEmpty, stalledSince))
}

// CatchUp orders the work after a stall. The final replies to requests whose time
// ran out go first: until they are written, nothing new is read or sent, for a
// bounded time. It is not safe for concurrent use.
type CatchUp struct {
	pending  int // replies that are decided and not yet written
	deciding bool
	deadline int64
	replies  int // final replies due since the stall
}

const (
	// catchUpDivisor sets the longest time for which new work waits, as a fraction
	// of the stall: clients that waited for the stall can wait for a tenth more.
	catchUpDivisor = 10
	// MaxCatchUpMicros bounds that time in microseconds, since no reply may be held
	// back for longer because of others.
	MaxCatchUpMicros = 100_000
)

// Begin starts catching up after a stall of span microseconds that ended at now.
func (c *CatchUp) Begin(now, span int64) {
	*c = CatchUp{deadline: now + min(span/catchUpDivisor, MaxCatchUpMicros), deciding: true}
}

// FinishDeciding records that all replies made due by the stall are counted.
func (c *CatchUp) FinishDeciding() { c.deciding = false }

// IsDeciding reports whether more replies may still be counted.
func (c *CatchUp) IsDeciding() bool { return c.deciding }

// AddPendingReply counts a final reply that is decided and not yet written.
func (c *CatchUp) AddPendingReply() { c.pending++; c.replies++ }

// MarkReplySent records that a pending reply was written.
func (c *CatchUp) MarkReplySent() { c.pending = max(0, c.pending-1) }

// AllowsNew reports whether new work may proceed.
func (c *CatchUp) AllowsNew(now int64) bool {
	return c.pending == 0 && !c.deciding || now >= c.deadline
}

// Deadline returns the time from which new work may proceed in any case.
func (c *CatchUp) Deadline() int64 { return c.deadline }

// Replies returns the number of final replies due since the stall.
func (c *CatchUp) Replies() int { return c.replies }
