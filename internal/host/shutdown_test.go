package host

import (
	"sync"
	"testing"
	"time"

	"arrowwalk"
)

// A host that ends gives what it holds its final word by then, and what is
// handed over only after the end was told; an attempt that is out is aborted.
func TestShutdownEndsWhatIsHeld(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	var wg sync.WaitGroup
	do := func(r *runner) {
		v := h.Do(&Task{Class: 1, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Deadline: time.Now().Add(time.Minute), Runner: r})
		if v.Status != Failed && v.Status != Refused {
			t.Errorf("%+v", v)
		}
	}
	before, after := &runner{block: make(chan struct{})}, &runner{block: make(chan struct{})}
	wg.Go(func() { do(before) })
	for before.tries.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	h.Shutdown(began.Add(100 * time.Millisecond))
	wg.Go(func() { do(after) })
	wg.Wait()
	if took := time.Since(began); took < 90*time.Millisecond || took > 10*time.Second {
		t.Errorf("over after %s", took)
	}
	if before.aborts.Load() != 1 {
		t.Errorf("the attempt was aborted %d times", before.aborts.Load())
	}
}
