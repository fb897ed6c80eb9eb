package host

import (
	"sync/atomic"
	"time"

	"arrowwalk"
)

// Member is a node with where to reach it.
type Member struct {
	arrowwalk.Node
	Address string
	Zone    string
}

// Attempt is one attempt that a Runner is to make.
type Attempt struct {
	Request  arrowwalk.RequestID
	Number   int // from 0
	Member   Member
	Deadline time.Time // no answer after it counts
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Status          arrowwalk.Status
	Final           bool // the client has, or will have, its answer out of this attempt
	FleetUse        float64
	OtherHostsUnits float64
	Load            []float64     // the values of the brick's load report, as Settings.Reports names them; nil: none
	SocketDelay     time.Duration // how long the answer lay in its socket while the host stood still
}

// Runner makes the attempts of a task. Try is called on Do's goroutine, one at
// a time. Abort may come from any goroutine, before, during or after the try
// of that number, and makes it end soon.
type Runner interface {
	Try(t *Attempt) AttemptResult
	Abort(number int)
}

// Task is one request of the module. It is used once: the host may hold it for
// a moment longer than Do takes.
type Task struct {
	Class           int
	Volume          arrowwalk.Volume
	Key             uint64 // for classes that keep order
	HasKey          bool
	Units           float64
	Shard           int
	Deadline        time.Time // when its client stops waiting
	IsRetry         bool
	Runner          Runner
	ClientRequestID string // of the client's request, for those who watch
	OutlivesClient  bool   // an attempt that is out goes on when its client has gone: the module is told its true end
	ReportsResponse bool   // its front calls Answered when its final word is written
	request         arrowwalk.Request
	signals         chan signal
	begun           atomic.Bool // the module was handed the request
	over            atomic.Bool // a final word was given; nothing more is sent
	running         int         // number of the attempt that is out, -1: none; the loop's
	sent            int         // attempts so far; the loop's
	late            atomic.Bool // its final word came after a stall
	taken           time.Time
	member          Member    // of the last attempt; the loop's
	until           time.Time // Until, or sooner where the host ends; the loop's
}

// EndedAfterStall tells whether the task's final word came right after a stall of the
// host: then Answered is to be called.
func (t *Task) EndedAfterStall() bool { return t.late.Load() }

// ID returns the module's number of the request, after Do took it.
func (t *Task) ID() arrowwalk.RequestID { return t.request.ID }

type signalKind int

const (
	signalSend signalKind = iota
	signalRefuse
	signalFail
	signalGone // the client has gone
	signalStop // the host has stopped
)

type signal struct {
	kind   signalKind
	number int
	member Member
	after  time.Duration
	until  time.Time // no answer after it counts
}

// TaskStatus is how a task ended.
type TaskStatus int

const (
	// Served means that an attempt brought the answer.
	Served TaskStatus = iota
	// Refused means that trying again is harmless.
	Refused
	// Failed promises nothing.
	Failed
	// ClientGone means that the client left before there was an answer.
	ClientGone
)

// String returns the end's name in logs and metrics.
func (e TaskStatus) String() string { return [...]string{"served", "refused", "failed", "gone"}[e] }

// TaskResult is the one final word on a task.
type TaskResult struct {
	Status     TaskStatus
	RetryAfter time.Duration // advice: how long to wait before another try
	Attempts   int
}
