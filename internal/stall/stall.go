// Package stall tells that a process stood still, and since when. It goes by
// the process's own beat on a monotonic clock and has no clock of its own:
// times are microseconds of its caller's. What counts as still is learned from
// how late beats usually are, as RFC 6298 learns a retransmission's time-out,
// so that no figure of one machine is in it.
package stall

// Stall is a span in which the process did nothing that was seen.
type Stall struct {
	Start int64 // the last beat before
	End   int64 // the first sign of life after
}

// kept is how many stalls are remembered.
const kept = 16

// Detector learns how late beats are. Its zero value is not ready; it is not
// safe for concurrent use.
type Detector struct {
	every int64
	last  int64
	mean  float64 // of the lateness
	dev   float64 // its mean deviation
	past  []Stall // the latest last
	count uint64
	most  int64
}

// NewDetector returns a Detector whose process will beat each every
// microseconds from now on.
func NewDetector(every, now int64) *Detector {
	return &Detector{every: max(every, 1), last: now}
}

// boundMost is the most beats that a usual beat may be late: on a machine that
// stands still all the time, each time is to be told.
const boundMost = 16

// MaxLateness is how late a beat may be that is still usual, microseconds: a beat's
// own span at least, and four mean deviations over the mean.
func (d *Detector) MaxLateness() int64 {
	return min(max(d.every, int64(d.mean+4*d.dev)), boundMost*d.every)
}

// IsStalled tells whether the process has stood still since its last beat.
func (d *Detector) IsStalled(now int64) bool { return now-d.last > d.every+d.MaxLateness() }

// StallDeadline returns the time from which on Still is true, unless a beat comes.
func (d *Detector) StallDeadline() int64 { return d.last + d.every + d.MaxLateness() }

// Heartbeat takes a sign of life. It returns the stall that it ends, if any. What is
// learned of a stall is its bound alone: a machine that gets busy moves the
// bound by and by, one long stall does not.
func (d *Detector) Heartbeat(now int64) (Stall, bool) {
	if now <= d.last {
		return Stall{}, false
	}
	late := max(0, now-d.last-d.every)
	still, bound := d.IsStalled(now), d.MaxLateness()
	s := Stall{d.last, now}
	d.last = now
	d.learn(float64(min(late, bound)))
	if !still {
		return Stall{}, false
	}
	d.count++
	d.most = max(d.most, s.End-s.Start)
	if len(d.past) == kept {
		d.past = append(d.past[:0], d.past[1:]...)
	}
	d.past = append(d.past, s)
	return s, true
}

// learn is RFC 6298's smoothing, section 2: an eighth and a quarter.
func (d *Detector) learn(late float64) {
	off := late - d.mean
	d.mean += off / 8
	d.dev += (max(off, -off) - d.dev) / 4
}

// EarliestRecentStall returns the start of the first of the stalls that ended less than span
// before now; false: there was none. What was found at a time before that
// start did not lie there during a stall.
func (d *Detector) EarliestRecentStall(now, span int64) (int64, bool) {
	for _, s := range d.past {
		if now-s.End < span {
			return s.Start, true
		}
	}
	if d.IsStalled(now) {
		return d.last, true
	}
	return 0, false
}

// StalledTime returns for how much of a span the process stood still: what it
// waited for in that time it did not see.
func (d *Detector) StalledTime(from, to int64) int64 {
	var sum int64
	for _, s := range d.past {
		sum += s.Overlap(from, to)
	}
	return sum
}

// Overlap returns how much of a span lies in s.
func (s Stall) Overlap(from, to int64) int64 { return max(0, min(to, s.End)-max(from, s.Start)) }

// Totals returns how many stalls there were, and how long the longest was.
func (d *Detector) Totals() (n uint64, longest int64) { return d.count, d.most }

// UnreadData is what is known of bytes that a process finds in a socket.
type UnreadData struct {
	ObservedAt int64 // they are looked at
	LastEmpty  int64 // the socket was last seen empty; 0: not known
	Age        int64 // since bytes last came in, as the kernel tells
	AgeKnown   bool  // the kernel tells it
	Partial    bool  // more of the request is to come: a full window may have held it back
}

// ArrivalTime returns since when a client may have waited whose request was found by
// a process that stood still from a time on. Where the kernel does not tell
// when its last byte came in, or that byte may lie in the client's own buffers
// since the process's were full, the stall itself is the bound: the client may
// have sent all of it at its start, but not before the socket was seen empty.
func (f *UnreadData) ArrivalTime(stillFrom int64) int64 {
	if f.AgeKnown && !f.Partial {
		return f.ObservedAt - max(0, f.Age)
	}
	return min(f.ObservedAt, max(f.LastEmpty, stillFrom))
}

// CatchUp is what a process owes when it goes on after a stall: the final
// words of requests whose time was up come first, and nothing new is read or
// sent before they are out, for a bounded time. It is not safe for concurrent
// use.
type CatchUp struct {
	owed     int
	deciding bool
	until    int64
	words    int // final words owed since the stall
}

// catchUpPart is the part of a stall for which the new waits for the old:
// who waited for the stall can wait for a tenth more.
const (
	catchUpPart = 10
	// MaxCatchUpMicros bounds it, microseconds: no answer may be held for longer on
	// account of others.
	MaxCatchUpMicros = 100_000
)

// Begin starts to count after a stall of span that ended at now.
func (c *CatchUp) Begin(now, span int64) {
	*c = CatchUp{until: now + min(span/catchUpPart, MaxCatchUpMicros), deciding: true}
}

// FinishDeciding tells that all words which the stall made due are counted.
func (c *CatchUp) FinishDeciding() { c.deciding = false }

// IsDeciding tells whether more words may be counted yet.
func (c *CatchUp) IsDeciding() bool { return c.deciding }

// AddPendingReply counts a final word that has been decided and not yet been written.
func (c *CatchUp) AddPendingReply() { c.owed++; c.words++ }

// MarkReplySent counts one that has been written.
func (c *CatchUp) MarkReplySent() { c.owed = max(0, c.owed-1) }

// AllowsNew tells whether the new may go on.
func (c *CatchUp) AllowsNew(now int64) bool { return c.owed == 0 && !c.deciding || now >= c.until }

// Deadline returns when the new may go on at the latest.
func (c *CatchUp) Deadline() int64 { return c.until }

// Replies returns how many final words were owed since the stall.
func (c *CatchUp) Replies() int { return c.words }
