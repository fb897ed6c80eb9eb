// Package retry decides what becomes of a block request's call that was not
// served: whether it is asked again, when, and until when. It is pure: times
// are durations since the request began.
//
// A guest has no deadline of its own, and an error may cost it its file
// system, so what never ran waits for long; what may have run is an error, as
// sending it again is its class's to allow, which the module has done already
// (rule 2); what is harmless to repeat is asked again a few times.
package retry

import "time"

// Kind is what a call does.
type Kind int

const (
	// Read changes nothing: it may always be asked again.
	Read Kind = iota
	// Write may have run when it failed.
	Write
)

// Outcome is how a call ended without an answer.
type Outcome int

const (
	// Refused means that it never ran.
	Refused Outcome = iota
	// Failed promises nothing.
	Failed
	// Fenced means that another holds the volume: nothing will ever run.
	Fenced
)

// Policy are the bounds. Its zero value gives up at once.
type Policy struct {
	MaxElapsed     time.Duration // for which a request is asked again
	MinWait        time.Duration // between two calls
	MaxWait        time.Duration
	FailureBackoff time.Duration // after a read that failed, the first time; it doubles
	MaxFailures    int           // reads that may fail before it is an error
}

// DefaultPolicy is what a guest's disk bears: kernels warn of a request after 30 s
// to two minutes.
var DefaultPolicy = Policy{MaxElapsed: 30 * time.Second, MinWait: 5 * time.Millisecond, MaxWait: 500 * time.Millisecond,
	FailureBackoff: 50 * time.Millisecond, MaxFailures: 3}

// GiveUpReason says why a request is given up.
type GiveUpReason string

// Reasons to give a request up.
const (
	ReasonTimeout         GiveUpReason = "patience is over"
	ReasonMayHaveRun      GiveUpReason = "it may have run"
	ReasonTooManyFailures GiveUpReason = "it failed too often"
	ReasonFenced          GiveUpReason = "another holds the volume"
)

// State is what is known of one request. Its zero value has none behind it.
type State struct {
	failed int
	calls  int
}

// NextWait decides after a call ended, age after the request began: wait and ask
// again, or give up, and why. advice is how long the module asks to wait.
func (p *Policy) NextWait(r *State, kind Kind, end Outcome, age, advice time.Duration) (wait time.Duration, why GiveUpReason) {
	r.calls++
	switch {
	case end == Fenced:
		return 0, ReasonFenced
	case end == Failed && kind == Write:
		return 0, ReasonMayHaveRun
	case end == Failed:
		if r.failed++; r.failed > p.MaxFailures {
			return 0, ReasonTooManyFailures
		}
		wait = p.FailureBackoff << (r.failed - 1)
	default:
		wait = advice
	}
	wait = min(max(wait, p.MinWait), p.MaxWait)
	if age+wait > p.MaxElapsed {
		return 0, ReasonTimeout
	}
	return wait, ""
}
