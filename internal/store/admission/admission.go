// Package admission implements a brick's admission control. It bounds the number
// of queued requests, keeps some workers free of writes, and divides the work
// between reads and writes by weighted fair queueing while both are queued. It
// uses no I/O, clock or goroutines.
package admission

import "time"

// Kind is the kind of a request.
type Kind int

// Request kinds.
const (
	Read Kind = iota
	Write
	numKinds
)

// Limits configures a Controller.
type Limits struct {
	Workers   int // maximum number of requests served at once
	MaxQueued int // maximum number of queued requests
	MaxWrites int // maximum number of writes served at once; 0: three quarters of the workers, rounded up
	// WriteShare is the fraction of the work given to writes while reads are
	// queued as well; 0: one half.
	WriteShare float64
}

// Decision is the result of Controller.Arrive.
type Decision int

// Decisions.
const (
	Admitted Decision = iota // the request is served now
	Queued                   // a later call of Done returns its ticket
	Refused                  // the queue is full; nothing was done for the request
)

// Ticket identifies a queued request.
type Ticket uint64

type waitingRequest struct {
	ticket Ticket
	cost   float64
}

// kindQueue holds the requests of one kind.
type kindQueue struct {
	waiting     []waitingRequest
	running     int
	maxRunning  int     // maximum number served at once
	share       float64 // fraction of the work
	virtualTime float64 // started work divided by share
}

// Controller schedules a brick's requests. It is not safe for concurrent use.
type Controller struct {
	limits Limits
	queues [numKinds]kindQueue
	// virtualTime is the start tag of the last request that was started.
	virtualTime float64
	lastTicket  Ticket
}

// New returns a Controller without requests.
func New(limits Limits) *Controller {
	if limits.MaxWrites <= 0 {
		limits.MaxWrites = (3*limits.Workers + 3) / 4
	}
	if limits.WriteShare <= 0 || limits.WriteShare >= 1 {
		limits.WriteShare = 0.5
	}
	c := &Controller{limits: limits}
	c.queues[Read] = kindQueue{maxRunning: limits.Workers, share: 1 - limits.WriteShare}
	c.queues[Write] = kindQueue{maxRunning: min(limits.MaxWrites, limits.Workers), share: limits.WriteShare}
	return c
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return len(c.queues[Read].waiting) + len(c.queues[Write].waiting) }

// Running returns the number of requests being served.
func (c *Controller) Running() int { return c.queues[Read].running + c.queues[Write].running }

// Arrive decides whether a request is served, queued or refused. cost is its
// expected use of the disk, in any unit that all requests share. The ticket is
// valid only if the decision is Queued.
func (c *Controller) Arrive(kind Kind, cost float64) (Decision, Ticket) {
	q := &c.queues[kind]
	if len(q.waiting) == 0 && c.canStart(q) {
		c.start(q, cost)
		return Admitted, 0
	}
	if c.Queued() >= c.limits.MaxQueued {
		return Refused, 0
	}
	c.lastTicket++
	q.waiting = append(q.waiting, waitingRequest{c.lastTicket, cost})
	return Queued, c.lastTicket
}

// canStart reports whether a worker is free for a request of q's kind.
func (c *Controller) canStart(q *kindQueue) bool {
	return c.Running() < c.limits.Workers && q.running < q.maxRunning
}

// start counts a request as being served. A queue that was idle gets no credit for
// that time: its virtual time is at least the controller's.
func (c *Controller) start(q *kindQueue, cost float64) {
	q.running++
	q.virtualTime = max(q.virtualTime, c.virtualTime)
	c.virtualTime = q.virtualTime
	q.virtualTime += cost / q.share
}

// Done records that a request of the kind was completed, and returns the ticket of
// the queued request to serve in its place. ok is false if there is none.
func (c *Controller) Done(kind Kind) (next Ticket, ok bool) {
	c.queues[kind].running--
	return c.startNext()
}

// startNext starts the first request of the queue with the lowest virtual time
// (start-time fair queueing: Goyal, Vin and Cheng, 1996).
func (c *Controller) startNext() (Ticket, bool) {
	var best *kindQueue
	for i := range c.queues {
		q := &c.queues[i]
		if len(q.waiting) > 0 && c.canStart(q) && (best == nil || q.virtualTime < best.virtualTime) {
			best = q
		}
	}
	if best == nil {
		return 0, false
	}
	first := best.waiting[0]
	best.waiting = best.waiting[1:]
	c.start(best, first.cost)
	return first.ticket, true
}

// Cancel removes a queued request. It returns false if the ticket is not queued.
func (c *Controller) Cancel(ticket Ticket) bool {
	for i := range c.queues {
		q := &c.queues[i]
		for j := range q.waiting {
			if q.waiting[j].ticket == ticket {
				q.waiting = append(q.waiting[:j], q.waiting[j+1:]...)
				return true
			}
		}
	}
	return false
}

// CommitStats describes the duration of a store's commits.
type CommitStats struct {
	CurrentDuration time.Duration // of the commit in progress; 0: none
	AverageDuration time.Duration // recent average
}

// ReportedUtilization returns the utilization for the load report: that of the
// workers, raised if the commit in progress takes far longer than average. The
// workers become busy only after writes have queued up behind a stalled commit;
// hosts should avoid the brick before that.
func ReportedUtilization(utilization float64, stats CommitStats) float64 {
	const slowFactor, stalledFactor = 3, 12 // multiples of the average at which the stall fraction is 0 and 1
	minAverage := 5 * time.Millisecond
	average := max(stats.AverageDuration, minAverage)
	stallFraction := (float64(stats.CurrentDuration)/float64(average) - slowFactor) / (stalledFactor - slowFactor)
	return max(utilization, min(max(stallFraction, 0), 1))
}
