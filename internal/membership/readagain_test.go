package membership

import (
	"testing"
	"time"

	"arrowwalk"
)

// After a stall the source is read again, although nothing in it has changed, and the host
// is told of a reading that began after the request. A source that had been out of reach
// before the stall is not waited for.
func TestSourceIsReadAgainAfterAStall(t *testing.T) {
	s := startCoordServer(t)
	a, err := register(s, brickEntry("a", 0))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	h := newRecordingHost()
	tracker, err := StartTracker(TrackerOptions{Topology: topology, Host: h})
	if err != nil {
		t.Fatal(err)
	}
	defer tracker.Close()
	options := zkOptions(s)
	options.RelistInterval = time.Hour
	z, err := FollowZK(options, func(l *List) { tracker.Offer("zk", l) }, tracker.ReportFailure)
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	h.waitFor(t, "the brick", func() bool { _, ok := h.get("a"); return ok })
	if tracker.ReadAgain(time.Now()) {
		t.Error("a tracker without a reader waits for a reading")
	}
	tracker.SetReader(z.ReadNow)
	asked := time.Now()
	if !tracker.ReadAgain(asked) {
		t.Fatal("the source is not read again")
	}
	h.waitFor(t, "a reading after the request", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.confirmed.After(asked)
	})
	tracker.reading.noteFailure(asked)
	if tracker.ReadAgain(asked.Add(time.Second)) {
		t.Error("a source that was out of reach before the stall is waited for")
	}
	if !tracker.ReadAgain(asked.Add(-time.Second)) {
		t.Error("a source that fails since the stall is not waited for")
	}
	if m, _ := h.get("a"); m.State != arrowwalk.Ready {
		t.Errorf("the brick is %v", m.State)
	}
}
