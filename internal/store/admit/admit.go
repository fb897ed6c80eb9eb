// Package admit decides which of a brick's requests are served now, which wait
// and which are refused: a bound on those that wait, a part of the workers that
// writes cannot take, and even shares between reads and writes where both wait.
// It is free of I/O, clock and goroutines.
package admit

import "time"

// Kind is what a request asks of the disk.
type Kind int

// The kinds.
const (
	Read Kind = iota
	Write
	kinds
)

// Limits of a line.
type Limits struct {
	Workers int // requests served at once
	Queue   int // requests that wait at most
	Writes  int // writes served at once at most; 0: three quarters of the workers, rounded up
	// WriteShare is the part of the work that writes get where reads wait too;
	// 0: a half.
	WriteShare float64
}

// Verdict on an arrival.
type Verdict int

// The verdicts.
const (
	Go   Verdict = iota // it is served now
	Wait                // its ticket comes up later
	Full                // it is refused: nothing of it was done
)

// Ticket names a request that waits.
type Ticket uint64

type waiter struct {
	ticket Ticket
	cost   float64
}

// lane is the requests of one kind.
type lane struct {
	waiting []waiter
	running int
	most    int     // served at once
	weight  float64 // part of the work
	virtual float64 // work that was begun, over the weight
}

// Line is a brick's requests. It is not safe for concurrent use.
type Line struct {
	limits Limits
	lanes  [kinds]lane
	// virtual is the line's own time: that of the last request that was begun.
	virtual float64
	last    Ticket
}

// New returns an empty line.
func New(l Limits) *Line {
	if l.Writes <= 0 {
		l.Writes = (3*l.Workers + 3) / 4
	}
	if l.WriteShare <= 0 || l.WriteShare >= 1 {
		l.WriteShare = 0.5
	}
	out := &Line{limits: l}
	out.lanes[Read] = lane{most: l.Workers, weight: 1 - l.WriteShare}
	out.lanes[Write] = lane{most: min(l.Writes, l.Workers), weight: l.WriteShare}
	return out
}

// Waiting returns how many requests wait.
func (l *Line) Waiting() int { return len(l.lanes[Read].waiting) + len(l.lanes[Write].waiting) }

// Running returns how many are served.
func (l *Line) Running() int { return l.lanes[Read].running + l.lanes[Write].running }

// Arrive decides on a request that would take cost of the disk, in any unit
// that all use. A request that waits has a ticket.
func (l *Line) Arrive(k Kind, cost float64) (Verdict, Ticket) {
	w := &l.lanes[k]
	if len(w.waiting) == 0 && l.room(w) {
		l.begin(w, cost)
		return Go, 0
	}
	if l.Waiting() >= l.limits.Queue {
		return Full, 0
	}
	l.last++
	w.waiting = append(w.waiting, waiter{l.last, cost})
	return Wait, l.last
}

func (l *Line) room(w *lane) bool { return l.Running() < l.limits.Workers && w.running < w.most }

// begin counts a request that is served from now on. A lane that was idle does
// not make up for it: its time is at least the line's.
func (l *Line) begin(w *lane, cost float64) {
	w.running++
	w.virtual = max(w.virtual, l.virtual)
	l.virtual = w.virtual
	w.virtual += cost / w.weight
}

// Done tells that a request of a kind was served, and returns the ticket of one
// that is served now in its place; ok is false where none waits that may be.
func (l *Line) Done(k Kind) (next Ticket, ok bool) {
	l.lanes[k].running--
	return l.next()
}

// next begins the waiting request of the lane that had least for its share
// (start-time fair queueing: Goyal, Vin and Cheng, 1996).
func (l *Line) next() (Ticket, bool) {
	var best *lane
	for i := range l.lanes {
		w := &l.lanes[i]
		if len(w.waiting) > 0 && l.room(w) && (best == nil || w.virtual < best.virtual) {
			best = w
		}
	}
	if best == nil {
		return 0, false
	}
	first := best.waiting[0]
	best.waiting = best.waiting[1:]
	l.begin(best, first.cost)
	return first.ticket, true
}

// Leave takes a request out that does not wait any more; false: it does not wait.
func (l *Line) Leave(t Ticket) bool {
	for i := range l.lanes {
		w := &l.lanes[i]
		for j := range w.waiting {
			if w.waiting[j].ticket == t {
				w.waiting = append(w.waiting[:j], w.waiting[j+1:]...)
				return true
			}
		}
	}
	return false
}

// Commits is what a store's commits look like.
type Commits struct {
	Running time.Duration // for how long the one under way has run; 0: there is none
	Usual   time.Duration // what one takes, of late
}

// Told returns the utilization that a load report should tell: that of the
// workers, or more where a commit takes far longer than usual. The workers are
// busy only once writes have piled up behind it; hosts should know before.
func Told(util float64, c Commits) float64 {
	const from, to = 3, 12 // times the usual: a slow one, and a stalled one
	least := 5 * time.Millisecond
	usual := max(c.Usual, least)
	stalled := (float64(c.Running)/float64(usual) - from) / (to - from)
	return max(util, min(max(stalled, 0), 1))
}
