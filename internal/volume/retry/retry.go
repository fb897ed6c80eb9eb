// Package retry decides whether a block request whose call was refused or
// failed is sent again, and after which wait. It has no side effects: times are
// durations since the request began.
//
// A guest sets no deadline for its requests, and an I/O error may make its file
// system unusable. So a call that never ran is retried for a long time. A write that may have run is reported as an error: only its class
// can allow a repeat, and the module has made those already (rule 2). A failed
// read is harmless to repeat and is retried a few times.
package retry

import "time"

// Kind says whether a call changes data.
type Kind int

const (
	// Read changes nothing, so it may always be repeated.
	Read Kind = iota
	// Write may have run even though it failed.
	Write
)

// Outcome is how a call ended that got no answer.
type Outcome int

const (
	// Refused means that the call never ran.
	Refused Outcome = iota
	// Failed means that the call may or may not have run.
	Failed
	// Fenced means that a newer attachment holds the volume; no later call will
	// run either.
	Fenced
)

// Policy holds the bounds of the retries of one request. The zero value gives up
// as soon as any time has passed since the request began.
type Policy struct {
	MaxElapsed     time.Duration // from the start of a request to its last retry
	MinWait        time.Duration // between two calls, at least
	MaxWait        time.Duration
	FailureBackoff time.Duration // wait after the first failed read; doubles with each failure
	MaxFailures    int           // failed reads that are retried
}

// DefaultPolicy is the policy for a guest's disk. It ends a request after 30 s,
// because guest kernels report a hung request after 30 s to two minutes.
var DefaultPolicy = Policy{MaxElapsed: 30 * time.Second, MinWait: 5 * time.Millisecond, MaxWait: 500 * time.Millisecond,
	FailureBackoff: 50 * time.Millisecond, MaxFailures: 3}

// GiveUpReason says why a request is not retried; "" means that it is.
type GiveUpReason string

// Reasons to stop retrying a request.
const (
	ReasonTimeout         GiveUpReason = "the retry time is over"
	ReasonMayHaveRun      GiveUpReason = "the write may have run"
	ReasonTooManyFailures GiveUpReason = "the read failed too often"
	ReasonFenced          GiveUpReason = "a newer attachment holds the volume"
)

// State counts the calls of one request. The zero value is ready for use.
type State struct {
	failures int
	calls    int
}

// NextWait decides what follows a call that ended with outcome, age after its
// request began. It returns either the wait before the next call or the reason
// to give up. advice is the wait that the module asks for after a refusal.
func (p *Policy) NextWait(state *State, kind Kind, outcome Outcome, age, advice time.Duration) (wait time.Duration, reason GiveUpReason) {
	state.calls++
	switch {
	case outcome == Fenced:
		return 0, ReasonFenced
	case outcome == Failed && kind == Write:
		return 0, ReasonMayHaveRun
	case outcome == Failed:
		if state.failures++; state.failures > p.MaxFailures {
			return 0, ReasonTooManyFailures
		}
		wait = p.FailureBackoff << (state.failures - 1)
	default:
		wait = advice
	}
	wait = min(max(wait, p.MinWait), p.MaxWait)
	if age+wait > p.MaxElapsed {
		return 0, ReasonTimeout
	}
	return wait, ""
}
