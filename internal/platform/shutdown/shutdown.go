// Package shutdown decides how a host's graceful shutdown proceeds: when it stops
// accepting connections, when every request gets its final response, and when the
// process may exit. It does no I/O and reads no clock: the caller supplies the
// times and the numbers of connections.
package shutdown

import (
	"time"

	"arrowwalk/internal/stall"
)

// The platform kills the process no sooner than killGrace after the longest
// deadline of a request, or after maxDeadline if that is shorter. The times named
// beforeKill count back from then. Clients continue to use their open connections
// and cannot reach another host on them, so they are served for as long as
// responses can still be on time.
const (
	killGrace              = 700 * time.Millisecond
	maxDeadline            = 3 * time.Second
	connectPeriod          = 400 * time.Millisecond // after the signal, in which clients open new connections
	newConnsPeriod         = connectPeriod + 250*time.Millisecond
	reconnectBeforeKill    = 500 * time.Millisecond
	closeIdleBeforeKill    = 350 * time.Millisecond
	lastResponseBeforeKill = 200 * time.Millisecond
	exitBeforeKill         = 100 * time.Millisecond
)

// Timeline holds the times of a graceful shutdown.
type Timeline struct {
	AcceptUntil   time.Time // until then the listener stays open even if there is no connection
	ReconnectFrom time.Time // responses ask their clients to reconnect
	CloseIdleFrom time.Time // the listener and connections between requests are closed
	LastResponse  time.Time // every received request has its final response
	ExitFrom      time.Time // the process exits unless a request is still unanswered
}

// NewTimeline returns the timeline of a shutdown. The process noticed the signal at
// noticed. signaled is the earliest time at which it may have come: noticed, or the
// start of the stall that ended then. The kill is counted from signaled and the
// clients' new connections from noticed, so that neither is underestimated.
// longestDeadline is the longest deadline of a request.
func NewTimeline(signaled, noticed time.Time, longestDeadline time.Duration) Timeline {
	kill := signaled.Add(min(longestDeadline, maxDeadline) + killGrace)
	closeIdleFrom := kill.Add(-closeIdleBeforeKill)
	if connectUntil := noticed.Add(connectPeriod); closeIdleFrom.Before(connectUntil) {
		closeIdleFrom = connectUntil
	}
	return Timeline{
		AcceptUntil:   noticed.Add(newConnsPeriod),
		ReconnectFrom: kill.Add(-reconnectBeforeKill),
		CloseIdleFrom: closeIdleFrom,
		LastResponse:  kill.Add(-lastResponseBeforeKill),
		ExitFrom:      kill.Add(-exitBeforeKill),
	}
}

// Phase is a phase of a graceful shutdown. The phases follow each other in the
// order of their values.
type Phase int

const (
	// Serving accepts connections and serves requests.
	Serving Phase = iota
	// Closing has closed the listener and closes connections between requests.
	Closing
	// Answering also ends the reading of incomplete requests, so that every request
	// gets its final response.
	Answering
	// Done ends the shutdown: the process may exit.
	Done
)

// Connections holds the numbers of client connections.
type Connections struct {
	Open       int // all, connections being closed included
	Unanswered int // connections with a request, or a part of one, that has no final response
}

// Sequence leads a shutdown through its phases. It is not safe for concurrent use.
type Sequence struct {
	timeline      Timeline
	maxAnswerTime time.Duration
	phase         Phase
	answering     *stall.ActiveTime // since Answering began
}

// NewSequence returns a Sequence in the phase Serving. maxAnswerTime bounds the
// phase Answering, in time in which the process ran.
func NewSequence(timeline Timeline, maxAnswerTime time.Duration) *Sequence {
	return &Sequence{timeline: timeline, maxAnswerTime: maxAnswerTime}
}

// Advance returns the phase at now and is called at short intervals. It enters at
// most one phase a call, so that each phase takes effect even if the process was
// stalled through several of their times.
func (s *Sequence) Advance(now time.Time, conns Connections) Phase {
	switch s.phase {
	case Serving:
		noClients := conns.Open == 0 && now.After(s.timeline.AcceptUntil)
		if noClients || !now.Before(s.timeline.CloseIdleFrom) {
			s.phase = Closing
		}
	case Closing:
		if conns.Open == 0 {
			s.phase = Done
		} else if !now.Before(s.timeline.LastResponse) {
			s.phase, s.answering = Answering, stall.NewActiveTime(now.UnixMicro())
		}
	case Answering:
		if s.mayExit(now, conns) {
			s.phase = Done
		}
	}
	return s.phase
}

// mayExit reports whether the phase Answering may end. Time alone does not end it
// while a request is unanswered: a stalled process finds the time to exit passed
// before it had a chance to write the responses.
func (s *Sequence) mayExit(now time.Time, conns Connections) bool {
	answerTime := time.Duration(s.answering.Observe(now.UnixMicro())) * time.Microsecond
	if conns.Open == 0 || answerTime >= s.maxAnswerTime {
		return true
	}
	return conns.Unanswered == 0 && !now.Before(s.timeline.ExitFrom)
}
