// Package admit decides which of a brick's requests are served now, which wait
// and which are refused: a bound on those that wait, a part of the workers that
// writes cannot take, and even shares between reads and writes where both wait.
// It is free of I/O, clock and goroutines.
package admission

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
	Workers   int // requests served at once
	MaxQueued int // requests that wait at most
	MaxWrites int // writes served at once at most; 0: three quarters of the workers, rounded up
	// WriteShare is the part of the work that writes get where reads wait too;
	// 0: a half.
	WriteShare float64
}

// Decision on an arrival.
type Decision int

// The verdicts.
const (
	Admitted Decision = iota // it is served now
	Queued                   // its ticket comes up later
	Refused                  // it is refused: nothing of it was done
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

// Controller is a brick's requests. It is not safe for concurrent use.
type Controller struct {
	limits Limits
	lanes  [kinds]lane
	// virtual is the line's own time: that of the last request that was begun.
	virtual float64
	last    Ticket
}

// New returns an empty line.
func New(l Limits) *Controller {
	if l.MaxWrites <= 0 {
		l.MaxWrites = (3*l.Workers + 3) / 4
	}
	if l.WriteShare <= 0 || l.WriteShare >= 1 {
		l.WriteShare = 0.5
	}
	out := &Controller{limits: l}
	out.lanes[Read] = lane{most: l.Workers, weight: 1 - l.WriteShare}
	out.lanes[Write] = lane{most: min(l.MaxWrites, l.Workers), weight: l.WriteShare}
	return out
}

// Queued returns how many requests wait.
func (l *Controller) Queued() int { return len(l.lanes[Read].waiting) + len(l.lanes[Write].waiting) }

// Running returns how many are served.
func (l *Controller) Running() int { return l.lanes[Read].running + l.lanes[Write].running }

// Arrive decides on a request that would take cost of the disk, in any unit
// that all use. A request that waits has a ticket.
func (l *Controller) Arrive(k Kind, cost float64) (Decision, Ticket) {
	w := &l.lanes[k]
	if len(w.waiting) == 0 && l.room(w) {
		l.begin(w, cost)
		return Admitted, 0
	}
	if l.Queued() >= l.limits.MaxQueued {
		return Refused, 0
	}
	l.last++
	w.waiting = append(w.waiting, waiter{l.last, cost})
	return Queued, l.last
}

func (l *Controller) room(w *lane) bool { return l.Running() < l.limits.Workers && w.running < w.most }

// begin counts a request that is served from now on. A lane that was idle does
// not make up for it: its time is at least the line's.
func (l *Controller) begin(w *lane, cost float64) {
	w.running++
	w.virtual = max(w.virtual, l.virtual)
	l.virtual = w.virtual
	w.virtual += cost / w.weight
}

// Done tells that a request of a kind was served, and returns the ticket of one
// that is served now in its place; ok is false where none waits that may be.
func (l *Controller) Done(k Kind) (next Ticket, ok bool) {
	l.lanes[k].running--
	return l.next()
}

// next begins the waiting request of the lane that had least for its share
// (start-time fair queueing: Goyal, Vin and Cheng, 1996).
func (l *Controller) next() (Ticket, bool) {
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

// Cancel takes a request out that does not wait any more; false: it does not wait.
func (l *Controller) Cancel(t Ticket) bool {
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

// CommitStats is what a store's commits look like.
type CommitStats struct {
	CurrentDuration time.Duration // for how long the one under way has run; 0: there is none
	AverageDuration time.Duration // what one takes, of late
}

// ReportedUtilization returns the utilization that a load report should tell: that of the
// workers, or more where a commit takes far longer than usual. The workers are
// busy only once writes have piled up behind it; hosts should know before.
func ReportedUtilization(util float64, c CommitStats) float64 {
	const from, to = 3, 12 // times the usual: a slow one, and a stalled one
	least := 5 * time.Millisecond
	usual := max(c.AverageDuration, least)
	stalled := (float64(c.CurrentDuration)/float64(usual) - from) / (to - from)
	return max(util, min(max(stalled, 0), 1))
}
