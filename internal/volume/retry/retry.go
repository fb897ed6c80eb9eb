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

// End is how a call ended without an answer.
type End int

const (
	// Refused means that it never ran.
	Refused End = iota
	// Failed promises nothing.
	Failed
	// Fenced means that another holds the volume: nothing will ever run.
	Fenced
)

// Policy are the bounds. Its zero value gives up at once.
type Policy struct {
	Patience   time.Duration // for which a request is asked again
	LeastWait  time.Duration // between two calls
	MostWait   time.Duration
	FailedWait time.Duration // after a read that failed, the first time; it doubles
	FailedMost int           // reads that may fail before it is an error
}

// Default is what a guest's disk bears: kernels warn of a request after 30 s
// to two minutes.
var Default = Policy{Patience: 30 * time.Second, LeastWait: 5 * time.Millisecond, MostWait: 500 * time.Millisecond,
	FailedWait: 50 * time.Millisecond, FailedMost: 3}

// Why says why a request is given up.
type Why string

// Reasons to give a request up.
const (
	Patience Why = "patience is over"
	MayHave  Why = "it may have run"
	TooMany  Why = "it failed too often"
	Over     Why = "another holds the volume"
)

// Request is what is known of one request. Its zero value has none behind it.
type Request struct {
	failed int
	calls  int
}

// Next decides after a call ended, age after the request began: wait and ask
// again, or give up, and why. advice is how long the module asks to wait.
func (p *Policy) Next(r *Request, kind Kind, end End, age, advice time.Duration) (wait time.Duration, why Why) {
	r.calls++
	switch {
	case end == Fenced:
		return 0, Over
	case end == Failed && kind == Write:
		return 0, MayHave
	case end == Failed:
		if r.failed++; r.failed > p.FailedMost {
			return 0, TooMany
		}
		wait = p.FailedWait << (r.failed - 1)
	default:
		wait = advice
	}
	wait = min(max(wait, p.LeastWait), p.MostWait)
	if age+wait > p.Patience {
		return 0, Patience
	}
	return wait, ""
}
