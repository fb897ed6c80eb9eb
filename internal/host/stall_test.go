package host

import (
	"sync"
	"sync/atomic"
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

// unreadList is a list source on which a list lies unread until it is delivered.
type unreadList struct {
	asked  chan time.Time // receives when the host first looks
	unread atomic.Bool
}

func (l *unreadList) MayHoldData() bool {
	select {
	case l.asked <- time.Now():
	default:
	}
	return l.unread.Load()
}

// A list that lies unread when a stall ends is read before anything is sent, also for
// requests that were sent on their way before it.
func TestListsAreReadFirstAfterAStall(t *testing.T) {
	const rounds = 20 // on a busy machine the list may be delivered after the bound
	for round := range rounds {
		if sentTo, inTime := runWithUnreadList(t); inTime {
			if sentTo != "b" {
				t.Errorf("round %d: the request was sent to %q, which drains", round, sentTo)
			}
			return
		}
		if t.Failed() {
			return
		}
	}
	t.Errorf("in none of %d stalls was the list delivered within the bound", rounds)
}

// recordingRunner records which node its attempt goes to.
type recordingRunner struct{ node arrowwalk.NodeID }

func (r *recordingRunner) Try(a *Attempt) AttemptResult {
	r.node = a.Member.ID
	return AttemptResult{Status: arrowwalk.OK, Final: true}
}

func (*recordingRunner) Abort(int) {}

// runWithUnreadList submits a request after a stall in which a list came that replaces
// node a with b. It returns the node that got the request, and whether the list was
// delivered within maxListWait.
func runWithUnreadList(t *testing.T) (sentTo arrowwalk.NodeID, inTime bool) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	a := Member{Node: arrowwalk.Node{ID: "a"}, Address: "x"}
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{a})
	source := &unreadList{asked: make(chan time.Time, 1)}
	source.unread.Store(true)
	beforeStall := h.moduleTime()
	h.AddListSource(source)
	defer h.RemoveListSource(source)
	delivered := make(chan time.Duration, 1)
	go func() {
		asked := <-source.asked
		draining := a
		draining.State = arrowwalk.Draining
		h.Nodes(arrowwalk.ListDelta, 2, []Member{draining, {Node: arrowwalk.Node{ID: "b"}, Address: "y"}})
		source.unread.Store(false)
		h.ListSourceRead(source)
		delivered <- time.Since(asked)
	}()
	stallHost(h, 150*time.Millisecond)
	runner := &recordingRunner{}
	result := h.Do(&Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(time.Second), Runner: runner})
	select {
	case took := <-delivered:
		inTime = took < maxListWait/2
	default: // nobody looked for the list before the request was sent
		t.Errorf("the request ended with %+v, sent to %q, before the list was read", result, runner.node)
		source.MayHoldData() // ends the goroutine
		<-delivered
		return runner.node, false
	}
	if inTime {
		if result.Status != Served {
			t.Errorf("the request ended with %+v", result)
		}
		if !h.isOutdated("a", beforeStall) || h.isOutdated("a", h.moduleTime()) || h.isOutdated("b", beforeStall) {
			t.Error("an attempt is not held to the list that came in a stall")
		}
	}
	return runner.node, inTime
}
