package shutdown

import (
	"testing"
	"time"
)

var signaled = time.Unix(1_700_000_000, 0)

const (
	longestDeadline = 2500 * time.Millisecond
	killAt          = longestDeadline + killGrace // the earliest, after the signal
	maxAnswerTime   = time.Second
	pollInterval    = 5 * time.Millisecond
)

// host is a host whose responses take effect only while it runs.
type host struct {
	t        *testing.T
	sequence *Sequence
	at       time.Duration // since the signal
	conns    Connections
	phases   []Phase // entered so far
}

func newHost(t *testing.T, conns Connections) *host {
	return &host{t: t, sequence: NewSequence(NewTimeline(signaled, signaled, longestDeadline), maxAnswerTime), conns: conns}
}

// poll advances the sequence and returns its phase.
func (h *host) poll() Phase {
	phase := h.sequence.Advance(signaled.Add(h.at), h.conns)
	if len(h.phases) == 0 || h.phases[len(h.phases)-1] != phase {
		h.phases = append(h.phases, phase)
	}
	return phase
}

// runUntil polls at regular intervals until a time or the end of the shutdown.
func (h *host) runUntil(at time.Duration) Phase {
	phase := h.poll()
	for h.at+pollInterval <= at && phase != Done {
		h.at += pollInterval
		phase = h.poll()
	}
	return phase
}

// stall lets time pass without a poll.
func (h *host) stall(d time.Duration) { h.at += d }

// Guards against a host that was stalled near the end of a planned restart and
// closed the connections of unanswered requests: wherever a stall lies, and however
// long it is, the shutdown enters every phase and ends only after the responses.
func TestNoExitWithUnansweredRequests(t *testing.T) {
	for _, length := range []time.Duration{150 * time.Millisecond, 900 * time.Millisecond, 30 * time.Second} {
		for begin := time.Duration(0); begin < killAt; begin += 25 * time.Millisecond {
			h := newHost(t, Connections{Open: 3, Unanswered: 2})
			if phase := h.runUntil(begin); phase == Done {
				t.Fatalf("done %s after the signal with unanswered requests", begin)
			}
			h.stall(length)
			resumed := h.at
			if phase := h.runUntil(resumed + maxAnswerTime/2); phase == Done {
				t.Fatalf("stall of %s from %s: done %s after it with unanswered requests", length, begin, h.at-resumed)
			}
			h.conns.Unanswered = 0
			h.runUntil(max(killAt, h.at+4*pollInterval))
			if len(h.phases) != 4 || h.phases[3] != Done {
				t.Fatalf("stall of %s from %s: phases %v", length, begin, h.phases)
			}
		}
	}
}

// A request that never gets its response does not keep the process forever.
func TestAnswerTimeIsBounded(t *testing.T) {
	h := newHost(t, Connections{Open: 1, Unanswered: 1})
	if phase := h.runUntil(killAt + maxAnswerTime); phase != Done {
		t.Errorf("phase %d after %s", phase, h.at)
	}
	if h.at < killAt-lastResponseBeforeKill+maxAnswerTime {
		t.Errorf("done after %s", h.at)
	}
}

// Without a stall each phase begins at its time, and the process exits before it
// would be killed. Connections that are being closed do not delay it.
func TestTimes(t *testing.T) {
	h := newHost(t, Connections{Open: 2, Unanswered: 1})
	begins := map[Phase]time.Duration{}
	for phase := Serving; phase != Done; {
		if phase = h.poll(); phase == Answering {
			h.conns.Unanswered = 0
		}
		if _, ok := begins[phase]; !ok {
			begins[phase] = h.at
		}
		h.at += pollInterval
	}
	want := map[Phase]time.Duration{Serving: 0, Closing: killAt - closeIdleBeforeKill,
		Answering: killAt - lastResponseBeforeKill, Done: killAt - exitBeforeKill}
	for phase, at := range want {
		if begins[phase] != at {
			t.Errorf("phase %d began after %s, want %s", phase, begins[phase], at)
		}
	}
}

// A host without clients ends as soon as no new connection can come, and an idle
// host with clients does not.
func TestNoClients(t *testing.T) {
	h := newHost(t, Connections{})
	if phase := h.runUntil(killAt); phase != Done || h.at > newConnsPeriod+4*pollInterval {
		t.Errorf("phase %d after %s", phase, h.at)
	}
	h = newHost(t, Connections{Open: 1})
	if phase := h.runUntil(2 * newConnsPeriod); phase != Serving {
		t.Errorf("phase %d with a client after %s", phase, h.at)
	}
}

// A class with a long deadline does not extend the timeline beyond the limit.
func TestTimelineIsBounded(t *testing.T) {
	if got, want := NewTimeline(signaled, signaled, time.Minute), NewTimeline(signaled, signaled, maxDeadline); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against a host that counted a planned restart from the end of a stall in
// which the signal came: the kill is counted from the start of the stall, and new
// connections are accepted for as long as clients may open them after its end.
func TestSignalWithinAStall(t *testing.T) {
	prompt := NewTimeline(signaled, signaled, longestDeadline)
	for stall := time.Duration(0); stall < 2*killAt; stall += 50 * time.Millisecond {
		noticed := signaled.Add(stall)
		got := NewTimeline(signaled, noticed, longestDeadline)
		if got.LastResponse != prompt.LastResponse || got.ReconnectFrom != prompt.ReconnectFrom || got.ExitFrom != prompt.ExitFrom {
			t.Fatalf("stall of %s: %+v, want the times of %+v", stall, got, prompt)
		}
		if got.CloseIdleFrom.Before(noticed.Add(connectPeriod)) || got.AcceptUntil != noticed.Add(newConnsPeriod) {
			t.Fatalf("stall of %s: the listener closes too early: %+v", stall, got)
		}
	}
}
