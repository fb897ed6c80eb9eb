package host

import (
	"sync/atomic"
	"time"

	"arrowwalk"
)

// Member is a node of the node list with its address.
type Member struct {
	arrowwalk.Node
	Address string
	Zone    string
}

// Attempt describes one attempt that a Runner makes.
type Attempt struct {
	Request  arrowwalk.RequestID
	Number   int // counted from 0
	Member   Member
	Deadline time.Time // a response after it does not count

	host     *Host
	chosenAt arrowwalk.Micros // when the module chose the member
	repeatBy arrowwalk.Micros // repeats of the request are not recognized from then on; 0: no limit
}

// Outdated reports whether the attempt must not be sent any more: the process was stalled
// since the module chose the member, and the member takes no requests; or repeats of a
// request that may have run are not recognized any more. A Runner asks right before it
// sends. Unless there was a stall, it costs reading the clock and two atomic loads.
func (a *Attempt) Outdated() bool {
	if a.host == nil {
		return false
	}
	if a.repeatBy != 0 && a.host.moduleTime() >= a.repeatBy {
		return true
	}
	return a.host.isOutdated(a.Member.ID, a.chosenAt)
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Status          arrowwalk.Status
	Final           bool          // the client has got, or will get, its response from this attempt
	FleetUse        float64       // 1 + percent of the plan's rate that all bricks served together; 0 if the brick did not report it
	OtherHostsUnits float64       // units that the brick served for the volume through other hosts and had not reported yet
	Load            []float64     // values of the brick's load report, in the order of Settings.Reports; nil if it sent none
	SocketDelay     time.Duration // how long the response's head waited in its socket because the process was stalled
	HeadReadAt      time.Time     // when the response's head was read; zero if there was none
}

// Runner makes the attempts of a task. Try is called on Do's goroutine,
// one attempt at a time. Abort may be called from any goroutine before, during
// or after the attempt of the given number and makes it end soon.
type Runner interface {
	Try(a *Attempt) AttemptResult
	Abort(number int)
}

// Task is one request to the module. It must not be reused: the host may refer
// to it for a moment after Do has returned.
type Task struct {
	Class           int
	Volume          arrowwalk.Volume
	Key             uint64 // ordering key, for classes that keep order
	HasKey          bool
	Units           float64
	Shard           int
	Deadline        time.Time // when the client stops waiting
	IsRetry         bool      // the client sends the request again
	Runner          Runner
	ClientRequestID string // ID of the client's request, shown in Snapshot
	OutlivesClient  bool   // a running attempt continues after the client has disconnected, so that the module learns its outcome
	ReportsResponse bool   // the frontend calls ResponseSent once the response is written
	// ArrivedAt is when the request's last byte arrived, by which tasks of ordered
	// classes are submitted after a stall; zero: when Do is called.
	ArrivedAt       time.Time
	Source          Source // that the request came from; nil: none that the host knows
	request         arrowwalk.Request
	signals         chan signal
	submitted       atomic.Bool // the request was queued for the module
	handedOver      atomic.Bool // the request is submitted or held: its place in the order is known
	ended           atomic.Bool // the task has its final result; no further attempt is made
	runningAttempt  int         // number of the running attempt, -1 if none; owned by the loop
	attempts        int         // attempts so far; owned by the loop
	endedAfterStall atomic.Bool
	acceptedAt      time.Time
	lastMember      Member    // of the latest attempt; owned by the loop
	cappedDeadline  time.Time // Deadline, or the host's shutdown time if that is earlier; owned by the loop
}

// HandedOver reports whether the Host has the task, so that its Source does not hold the
// request any more.
func (t *Task) HandedOver() bool { return t.handedOver.Load() }

// Ended reports whether the task has its final result, or its client is gone.
func (t *Task) Ended() bool { return t.ended.Load() }

// EndedAfterStall reports whether the task was refused or failed in the first
// step after a stall of the process. If so, the frontend calls ResponseSent.
func (t *Task) EndedAfterStall() bool { return t.endedAfterStall.Load() }

// ID returns the module's ID of the request. It is valid once Do was called.
func (t *Task) ID() arrowwalk.RequestID { return t.request.ID }

type signalKind int

const (
	signalSend signalKind = iota
	signalRefuse
	signalFail
	signalClientGone
	signalHostClosed
)

// signal tells the goroutine of Do what to do next with a task.
type signal struct {
	kind       signalKind
	number     int // of the attempt
	member     Member
	retryAfter time.Duration
	deadline   time.Time        // a response after it does not count
	chosenAt   arrowwalk.Micros // when the module chose the node
}

// TaskStatus is how a task ended.
type TaskStatus int

const (
	// Served means that an attempt brought a response.
	Served TaskStatus = iota
	// Refused means that the request had no effect and may be sent again.
	Refused
	// Failed means that the request may or may not have had an effect.
	Failed
	// ClientGone means that the client disconnected before there was a response.
	ClientGone
)

// String returns the status's name in logs and metrics.
func (s TaskStatus) String() string {
	return [...]string{"served", "refused", "failed", "gone"}[s]
}

// TaskResult is the final result of a task.
type TaskResult struct {
	Status     TaskStatus
	RetryAfter time.Duration // of a Refused task: how long the client should wait before it retries
	Attempts   int
}
