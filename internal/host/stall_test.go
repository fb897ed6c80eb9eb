package host

import (
	"sync"
	"testing"
	"time"

	"arrowwalk"
)

// stallHost blocks the host's loop and its heartbeat for a time, as if the process
// were stopped, and returns when the stall began.
func stallHost(h *Host, length time.Duration) time.Time {
	h.loopMu.Lock()
	h.stalls.mu.Lock()
	start := time.Now()
	time.Sleep(length) // the stall itself
	h.stalls.mu.Unlock()
	h.loopMu.Unlock()
	return start
}

// After a stall, requests whose deadline has passed end first, and Heartbeat holds
// back new work until their responses are sent, for a bounded time.
func TestAnswersFirstAfterAStall(t *testing.T) {
	for _, replySent := range []bool{true, false} {
		h, err := New(Options{Settings: settings()})
		if err != nil {
			t.Fatal(err)
		}
		h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
		if _, ok := h.RecentStall(time.Minute); ok {
			t.Error("RecentStall reports a stall before there was one")
		}
		overdue := &Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(50 * time.Millisecond), ReportsResponse: true,
			Runner: &runner{block: make(chan struct{})}}
		var wg sync.WaitGroup
		wg.Add(1)
		var answered, ended time.Time
		go func() {
			defer wg.Done()
			result := h.Do(overdue)
			ended = time.Now()
			if result.Status != Refused && result.Status != Failed || !overdue.EndedAfterStall() {
				t.Errorf("overdue task: %+v, ended after the stall: %v", result, overdue.EndedAfterStall())
			}
			if replySent {
				time.Sleep(5 * time.Millisecond) // time to write the response
				answered = time.Now()
				h.ResponseSent(overdue)
			}
		}()
		for len(h.Snapshot().Running) == 0 {
			time.Sleep(time.Millisecond)
		}
		before := time.Now().Add(-time.Second)
		stallStart := stallHost(h, 600*time.Millisecond)
		h.Heartbeat()
		resumed := time.Now()
		wg.Wait()
		reported, ok := h.RecentStall(time.Minute)
		// A heartbeat that waits for the lock has read the clock before it waited.
		// The stall is counted from then: usually at most one heartbeat interval
		// after the lock was taken.
		if !ok || reported.After(stallStart.Add(300*time.Millisecond)) || reported.Before(before) {
			t.Errorf("stall reported: %v, %s after its start", ok, reported.Sub(stallStart))
		}
		if n, longest := h.StallStats(); n == 0 || longest < 600*time.Millisecond-max(0, reported.Sub(stallStart)) {
			t.Errorf("%d stalls, the longest %s", n, longest)
		}
		if replySent && resumed.Before(answered) {
			t.Errorf("new work resumed %s before the overdue response was sent", answered.Sub(resumed))
		}
		if wait := resumed.Sub(ended); !replySent && wait > 200*time.Millisecond {
			t.Errorf("new work waited %s for a response that is never sent", wait)
		}
		for len(h.Snapshot().Running) > 0 { // until the outcome of its aborted attempt has arrived
			time.Sleep(time.Millisecond)
		}
		r := &runner{results: []AttemptResult{{Status: arrowwalk.OK, Final: true}}}
		if result := h.Do(&Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(time.Second), Runner: r}); result.Status != Served {
			t.Errorf("after the stall: %+v", result)
		}
		h.Close()
	}
}

// stallingRunner gets a response and is then stalled before the attempt ends.
type stallingRunner struct {
	host   *Host
	length time.Duration
}

func (r *stallingRunner) Try(*Attempt) AttemptResult {
	headReadAt := time.Now()
	stallHost(r.host, r.length)
	r.host.Heartbeat() // the module's first step after the stall is over before the outcome is posted
	return AttemptResult{Status: arrowwalk.OK, Final: true, HeadReadAt: headReadAt}
}

func (r *stallingRunner) Abort(int) {}

// A brick that has answered is not charged for a stall of the host between its
// answer and the end of the attempt.
func TestStallAfterTheResponseIsNotCharged(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	const length = 600 * time.Millisecond
	// The module learns the usual latency from a response that comes at once.
	quick := &Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(length),
		Runner: &runner{results: []AttemptResult{{Status: arrowwalk.OK, Final: true}}}}
	if result := h.Do(quick); result.Status != Served {
		t.Fatalf("the first request ended with %+v", result)
	}
	task := &Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(10 * length), Runner: &stallingRunner{h, length}}
	if result := h.Do(task); result.Status != Served {
		t.Fatalf("the request ended with %+v", result)
	}
	nodes := h.Snapshot().Nodes
	if len(nodes) != 1 {
		t.Fatalf("%d nodes, want 1", len(nodes))
	}
	// The process may have run for up to a heartbeat and its usual lateness within the time.
	if delay := time.Duration(nodes[0].QueueDelay) * time.Microsecond; delay > length/10 {
		t.Errorf("after a stall of %s the brick's queue delay is %s", length, delay)
	}
}
