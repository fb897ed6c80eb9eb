package host

import (
	"sync"
	"testing"
	"time"

	"arrowwalk"
)

// Shutdown ends the tasks that the host holds by the given time, and tasks that
// are submitted after it as well. A running attempt is aborted.
func TestShutdownEndsWhatIsHeld(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	var wg sync.WaitGroup
	run := func(r *runner) {
		result := h.Do(&Task{Class: 1, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(time.Minute), Runner: r})
		if result.Status != Failed && result.Status != Refused {
			t.Errorf("result %+v, want Failed or Refused", result)
		}
	}
	before, after := &runner{block: make(chan struct{})}, &runner{block: make(chan struct{})}
	wg.Go(func() { run(before) })
	for before.attempts.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	h.Shutdown(start.Add(100 * time.Millisecond))
	wg.Go(func() { run(after) })
	wg.Wait()
	if took := time.Since(start); took < 90*time.Millisecond || took > 10*time.Second {
		t.Errorf("tasks ended after %s", took)
	}
	if before.aborts.Load() != 1 {
		t.Errorf("the attempt was aborted %d times", before.aborts.Load())
	}
}
