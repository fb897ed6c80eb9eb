package host

import (
	"testing"
	"time"

	"arrowwalk"
)

// lateRunner breaks its first attempt after the request may have run, and gets the
// connection of the second one when repeats are not recognized any more.
type lateRunner struct {
	window time.Duration
	sent   int
	asked  [2]bool // whether the second attempt was outdated at its start, and when the window was over
}

func (r *lateRunner) Try(a *Attempt) AttemptResult {
	if a.Number == 0 {
		r.sent++
		return AttemptResult{Status: arrowwalk.Reset}
	}
	r.asked[0] = a.Outdated()
	<-time.After(r.window)
	if r.asked[1] = a.Outdated(); r.asked[1] {
		return AttemptResult{Status: arrowwalk.NotSent}
	}
	r.sent++
	return AttemptResult{Status: arrowwalk.OK, Final: true}
}

func (*lateRunner) Abort(int) {}

// Guards against a keyed request that ran twice: it may have run, was sent again on a
// connection that came up late, and its brick did not remember it any more.
func TestRepeatIsNotSentAfterItsWindow(t *testing.T) {
	const keyed, window = 1, time.Second
	s := settings()
	s.Classes[keyed].Window = arrowwalk.Micros(window.Microseconds())
	h, err := New(Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	r := &lateRunner{window: window}
	result := h.Do(&Task{Class: keyed, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(20 * time.Second), Runner: r})
	if result.Status != Failed || r.sent != 1 || r.asked != [2]bool{false, true} {
		t.Errorf("%+v, sent %d times, outdated %v; want a failure, 1, [false true]", result, r.sent, r.asked)
	}
}
