package host

import (
	"runtime"
	"testing"
	"time"

	"arrowwalk"
)

// askedSource is a ListSource that records when it is asked.
type askedSource struct {
	asked  chan time.Time
	refuse bool
}

func (s *askedSource) ReadAgain(start time.Time) bool {
	s.asked <- start
	return !s.refuse
}

// Guards against a host that wakes up from a stall and sends by the list from before it to
// a brick that has vanished: nothing is sent until the list was read after the stall.
func TestNothingIsSentAfterAStallUntilTheListIsRead(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	a, b := Member{Node: arrowwalk.Node{ID: "a"}, Address: "x"}, Member{Node: arrowwalk.Node{ID: "b", Started: 1}, Address: "y"}
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{a})
	source := &askedSource{asked: make(chan time.Time, 8)}
	h.SetListSource(source)
	before := time.Now()
	stallHost(h, 2*minSuspendingStall)
	h.Heartbeat()
	select {
	case <-source.asked:
	default:
		t.Fatal("the source is not asked")
	}
	r := &recordingRunner{}
	ended := make(chan TaskResult, 1)
	go func() {
		ended <- h.Do(&Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(20 * time.Second), Runner: r})
	}()
	for deadline := time.Now().Add(5 * time.Second); len(h.Snapshot().Running) == 0 && time.Now().Before(deadline); {
		runtime.Gosched()
	}
	h.ConfirmLists(before) // a reading that began before the stall says nothing
	h.Nodes(arrowwalk.ListDelta, 1, []Member{a})
	if running := h.Snapshot().Running; len(running) != 1 || running[0].Stage != "queued" {
		t.Errorf("before the list was read: %+v, want one queued request", running)
	}
	a.State = arrowwalk.Removed
	h.Nodes(arrowwalk.ListDelta, 2, []Member{a, b})
	h.ConfirmLists(time.Now())
	if result := <-ended; result.Status != Served || r.node != "b" {
		t.Errorf("%+v, sent to %q, want b", result, r.node)
	}
}

// A source that had been out of reach before the stall is not waited for.
func TestHostGoesOnWithoutItsListSource(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	h.SetListSource(&askedSource{asked: make(chan time.Time, 8), refuse: true})
	stallHost(h, 2*minSuspendingStall)
	h.Heartbeat()
	r := &recordingRunner{}
	if result := h.Do(&Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(20 * time.Second), Runner: r}); result.Status != Served {
		t.Errorf("%+v", result)
	}
}
