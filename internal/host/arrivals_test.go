package host

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"arrowwalk"
)

// testSource is a source that holds a request until the test says otherwise.
type testSource struct{ name string }

func (*testSource) MayHoldData() bool { return true }

// sequenceRunner records the order in which the attempts of tasks begin.
type sequenceRunner struct {
	sequence *attemptSequence
	number   int
}

type attemptSequence struct {
	mu    sync.Mutex
	order []int
}

func (r *sequenceRunner) Try(*Attempt) AttemptResult {
	r.sequence.mu.Lock()
	defer r.sequence.mu.Unlock()
	r.sequence.order = append(r.sequence.order, r.number)
	return AttemptResult{Status: arrowwalk.OK, Final: true}
}

func (*sequenceRunner) Abort(int) {}

func (s *attemptSequence) numbers() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.order)
}

// orderedHost returns a host with an ordered class 1 and one node.
func orderedHost(t *testing.T) *Host {
	t.Helper()
	s := settings()
	s.Classes[1].Ordered = true
	h, err := New(Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	return h
}

// awaitHeld waits until a number of tasks are held.
func awaitHeld(h *Host, tasks ...*Task) {
	for _, t := range tasks {
		for !t.HandedOver() {
			time.Sleep(time.Millisecond)
		}
	}
}

// Requests of an ordered class that are read after a stall in the wrong order run in
// order of arrival, once all sources are read.
func TestOrderAfterAStallIsThatOfArrival(t *testing.T) {
	h := orderedHost(t)
	const rounds = 20 // on a busy machine the bound may pass before all requests are held
	for range rounds {
		early, order, heldAll := runReversed(t, h)
		if !heldAll {
			continue
		}
		if len(early) != 0 {
			t.Errorf("%v ran before all sources were read", early)
		}
		if !slices.IsSorted(order) || len(order) != reversedRequests {
			t.Errorf("the requests ran in the order %v", order)
		}
		return
	}
	t.Errorf("in none of %d stalls were all requests held", rounds)
}

const reversedRequests = 5

// runReversed submits requests after a stall, the last one that arrived first. It
// returns which ran before the last source was read, and the order in which all ran.
// heldAll reports whether the bound of the wait had not passed before.
func runReversed(t *testing.T, h *Host) (early, order []int, heldAll bool) {
	sources := make([]*testSource, reversedRequests+1) // the last one has an incomplete request
	for i := range sources {
		sources[i] = &testSource{fmt.Sprint(i)}
		h.AddSource(sources[i])
		defer h.RemoveSource(sources[i])
	}
	stallHost(h, 150*time.Millisecond)
	h.Heartbeat()
	now := time.Now()
	sequence := &attemptSequence{}
	var wg sync.WaitGroup
	for number := reversedRequests - 1; number >= 0; number-- {
		task := &Task{Class: 1, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, HasKey: true, Key: 7, Deadline: now.Add(10 * time.Second),
			ArrivedAt: now.Add(time.Duration(number-reversedRequests) * time.Millisecond), Source: sources[number], Runner: &sequenceRunner{sequence, number}}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if result := h.Do(task); result.Status != Served {
				t.Errorf("request %d: %+v", number, result)
			}
		}()
		awaitHeld(h, task)
	}
	early = sequence.numbers()
	heldAll = h.CollectsArrivals()
	h.SourceRead(sources[reversedRequests])
	wg.Wait()
	return early, sequence.numbers(), heldAll
}

// A request whose deadline comes while it is held is refused unsent and in time; the
// others wait no longer than the bound for a source that is never read, and a request
// of another class does not wait.
func TestHeldRequestsAreBounded(t *testing.T) {
	h := orderedHost(t)
	silent := &testSource{"silent"}
	h.AddSource(silent)
	stallHost(h, 150*time.Millisecond)
	h.Heartbeat()
	sequence := &attemptSequence{}
	now := time.Now()
	newTask := func(class, number int, patience time.Duration) *Task {
		return &Task{Class: class, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, HasKey: true, Key: 7,
			Deadline: now.Add(patience), Runner: &sequenceRunner{sequence, number}}
	}
	brief, patient, other := newTask(1, 0, maxArrivalWait/4), newTask(1, 1, 10*time.Second), newTask(0, 2, 10*time.Second)
	results := make(chan TaskResult, 2)
	var briefEnded time.Time
	go func() {
		result := h.Do(brief)
		briefEnded = time.Now()
		results <- result
	}()
	awaitHeld(h, brief)
	if result := h.Do(other); result.Status != Served || !h.CollectsArrivals() {
		t.Errorf("a request of a class without order: %+v", result)
	}
	go func() { results <- h.Do(patient) }()
	if result := <-results; result.Status != Refused || briefEnded.After(brief.Deadline.Add(maxArrivalWait/4)) {
		t.Errorf("the request that cannot wait ended with %+v, %s after its deadline", result, briefEnded.Sub(brief.Deadline))
	}
	if result := <-results; result.Status != Served {
		t.Errorf("the request that can wait ended with %+v", result)
	}
	if order := sequence.numbers(); !slices.Equal(order, []int{2, 1}) {
		t.Errorf("attempts were made for %v", order)
	}
}

// A held request ends when the host is closed, and one whose source is closed goes on.
func TestHeldRequestsEndWithTheirSourceAndHost(t *testing.T) {
	h := orderedHost(t)
	first, second := &testSource{"first"}, &testSource{"second"}
	h.AddSource(first)
	stallHost(h, 150*time.Millisecond)
	h.Heartbeat()
	h.AddSource(second) // a connection that is accepted after the stall
	task := &Task{Class: 1, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, HasKey: true, Deadline: time.Now().Add(10 * time.Second),
		Source: second, Runner: &sequenceRunner{&attemptSequence{}, 0}}
	ended := make(chan TaskResult, 1)
	go func() { ended <- h.Do(task) }()
	awaitHeld(h, task)
	h.RemoveSource(first)
	if result := <-ended; result.Status != Served {
		t.Errorf("after the last source was closed: %+v", result)
	}
	stallHost(h, 150*time.Millisecond)
	h.Heartbeat()
	closing := &Task{Class: 1, Volume: task.Volume, Units: 1, HasKey: true, Deadline: task.Deadline, Runner: task.Runner}
	go func() { ended <- h.Do(closing) }()
	awaitHeld(h, closing)
	h.Close()
	if result := <-ended; result.Status != Failed && result.Status != Served { // Served: the bound came first
		t.Errorf("a held request of a closed host: %+v", result)
	}
}
