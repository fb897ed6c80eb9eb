package host

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func settings() arrowwalk.Settings {
	return arrowwalk.Settings{Hosts: 1, MaxAttempts: 3, Tick: 1000, MeanUnits: 1, MostUnits: 4, MaxRetryAfter: 1_000_000, Cancel: true,
		Classes: []arrowwalk.Class{{Name: "read", Aim: 100_000, Deadline: 400_000, Worth: 1},
			{Name: "write", Aim: 100_000, Deadline: 400_000, Worth: 1, Repeat: arrowwalk.Keyed, Scope: arrowwalk.ScopeZone, Window: 200_000}},
		Plans: []arrowwalk.Plan{{Name: "basic", Rate: 1000, Weight: 1, WorthFactor: 1}}}
}

// Two Engines that get the same events return the same actions.
func TestEngineIsDeterministic(t *testing.T) {
	run := func() (log []string) {
		now := arrowwalk.Micros(1_000_000)
		e, err := NewEngine(settings(), now)
		if err != nil {
			t.Fatal(err)
		}
		sent := map[arrowwalk.RequestID]arrowwalk.Micros{}
		for i := range 3000 {
			now += arrowwalk.Micros(100 + i*37%900)
			var events []arrowwalk.Event
			if i == 0 {
				events = append(events, &arrowwalk.NodeList{Kind: arrowwalk.ListStored, Nodes: []arrowwalk.Node{{ID: "a"}, {ID: "b", Shard: 1}}})
			}
			if i < 2000 {
				events = append(events, &arrowwalk.Request{ID: arrowwalk.RequestID(i), Class: i % 2, Units: 1, Shard: i % 2, TimeLeft: 400_000, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}})
			}
			for id, at := range sent {
				if now-at > 2000 && id%50 != 7 {
					delete(sent, id)
					events = append(events, &arrowwalk.Outcome{Attempt: arrowwalk.Attempt{Request: id, Node: "a"}, Status: arrowwalk.OK, Latency: now - at, Closed: true})
				}
			}
			slices.SortFunc(events, func(a, b arrowwalk.Event) int {
				return int(sortKey(a)) - int(sortKey(b))
			})
			for _, a := range e.Step(now, events) {
				if a.Kind == arrowwalk.SetTimer {
					t.Fatal("Step returned a SetTimer action")
				}
				if a.Kind == arrowwalk.Send {
					sent[a.Request] = now
				}
				log = append(log, fmt.Sprint(now, a))
			}
			if next, ok := e.Next(); !ok || next > now+200_000 {
				t.Fatalf("next step at %d, %v: the module's periodic timer is lost", next, ok)
			}
		}
		return log
	}
	first := run()
	if second := run(); !slices.Equal(first, second) || len(first) < 2000 {
		t.Errorf("two runs of %d and %d actions differ, or are too short", len(first), len(second))
	}
}

// sortKey orders the events of a step, so that map iteration does not.
func sortKey(e arrowwalk.Event) arrowwalk.RequestID {
	switch e := e.(type) {
	case *arrowwalk.Request:
		return e.ID
	case *arrowwalk.Outcome:
		return e.Request + 1<<20
	}
	return 0
}

// runner returns the given results one after the other. Further attempts block
// until Abort.
type runner struct {
	results  []AttemptResult
	block    chan struct{} // closed by Abort
	attempts atomic.Int32
	aborts   atomic.Int32
	once     sync.Once
}

func (r *runner) Try(a *Attempt) AttemptResult {
	n := int(r.attempts.Add(1)) - 1
	if n < len(r.results) {
		return r.results[n]
	}
	<-r.block
	return AttemptResult{Status: arrowwalk.Cancelled}
}

func (r *runner) Abort(int) {
	r.aborts.Add(1)
	r.once.Do(func() { close(r.block) })
}

func TestVerdicts(t *testing.T) {
	ok := AttemptResult{Status: arrowwalk.OK, Final: true}
	for _, c := range []struct {
		name     string
		class    int
		shard    int
		results  []AttemptResult
		status   TaskStatus
		attempts int
	}{
		{"served", 0, 0, []AttemptResult{ok}, Served, 1},
		{"served by the second attempt", 0, 0, []AttemptResult{{Status: arrowwalk.Reset}, ok}, Served, 2},
		{"a write that did not run is sent again", 1, 0, []AttemptResult{{Status: arrowwalk.Unreachable}, ok}, Served, 2},
		{"refused after the last attempt", 0, 0, []AttemptResult{{Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}}, Refused, 3},
		{"a write that may have run fails", 1, 0, []AttemptResult{{Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}}, Failed, 3},
		{"no attempt follows a response that has begun", 0, 0, []AttemptResult{{Status: arrowwalk.Reset, Final: true}}, Served, 1},
		{"a read without a response is refused by its deadline", 0, 0, nil, Refused, 1},
		{"a write without a response fails by its deadline", 1, 0, nil, Failed, 1},
		{"no brick holds the shard", 0, 1, nil, Refused, 0},
	} {
		h, err := New(Options{Settings: settings()})
		if err != nil {
			t.Fatal(err)
		}
		h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
		r := &runner{results: c.results, block: make(chan struct{})}
		start := time.Now()
		result := h.Do(&Task{Class: c.class, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Shard: c.shard, Deadline: start.Add(400 * time.Millisecond), Runner: r})
		if result.Status != c.status || result.Attempts != c.attempts || int(r.attempts.Load()) != c.attempts {
			t.Errorf("%s: %+v after %d attempts, want %s after %d", c.name, result, r.attempts.Load(), c.status, c.attempts)
		}
		if took := time.Since(start); took > 600*time.Millisecond {
			t.Errorf("%s: took %s", c.name, took)
		}
		if result.Status == Refused && result.RetryAfter != time.Second {
			t.Errorf("%s: retry after %s", c.name, result.RetryAfter)
		}
		h.Close()
	}
}

// Each task of many goroutines gets one result, even if its client disconnects or
// the host is closed, and the host forgets it afterwards.
func TestManyTasksGoneAndStopped(t *testing.T) {
	s := settings()
	s.Classes[0].Aim, s.Classes[0].Deadline = 30_000_000, 60_000_000 // no request is late on a slow machine
	h, err := New(Options{Settings: s})
	if err != nil {
		t.Fatal(err)
	}
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	var wg sync.WaitGroup
	var counts [ClientGone + 1]atomic.Int32
	runTask := func(results []AttemptResult, abandon bool, timeout time.Duration) {
		defer wg.Done()
		r := &runner{results: results, block: make(chan struct{})}
		task := &Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 0.1, Deadline: time.Now().Add(timeout), Runner: r}
		if abandon {
			go func() {
				for r.attempts.Load() == 0 && !task.ended.Load() {
					time.Sleep(time.Millisecond)
				}
				h.Abandon(task)
			}()
		}
		counts[h.Do(task).Status].Add(1)
	}
	for i := range 400 {
		wg.Add(1)
		go runTask([]AttemptResult{{Status: arrowwalk.OK, Final: true}}, false, time.Minute)
		if i%100 == 0 {
			wg.Add(1)
			go runTask(nil, true, time.Minute)
		}
	}
	wg.Wait()
	if abandoned := counts[ClientGone].Load(); abandoned != 4 || counts[Served].Load() < 300 {
		t.Errorf("client gone %d, served %d, refused %d, failed %d", abandoned, counts[Served].Load(), counts[Refused].Load(), counts[Failed].Load())
	}
	h.Snapshot() // a task that ended in the step of a snapshot is forgotten after it
	if snapshot := h.Snapshot(); len(snapshot.Running) != 0 {
		t.Errorf("%d tasks are kept", len(snapshot.Running))
	}
	wg.Add(1)
	go runTask(nil, false, time.Minute)
	for len(h.Snapshot().Running) == 0 {
		time.Sleep(time.Millisecond)
	}
	h.Close()
	wg.Wait()
	if result := h.Do(&Task{Runner: &runner{}}); result.Status != Failed {
		t.Errorf("after Close: %+v", result)
	}
	if s := h.Stats(); s.Accepted != s.Ended["served"]+s.Ended["refused"]+s.Ended["failed"]+s.Ended["gone"] {
		t.Errorf("%+v", s)
	}
}

// Abandon returns false until the request was submitted to the module. A running
// attempt of a task with OutlivesClient is not aborted when its client
// disconnects, and the task ends as ClientGone.
func TestAbandonEarlyAndOutlive(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	r := &runner{block: make(chan struct{})}
	task := &Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 0.1, Deadline: time.Now().Add(time.Minute), Runner: r, OutlivesClient: true}
	if h.Abandon(task) {
		t.Error("Abandon succeeded before the task was submitted")
	}
	done := make(chan TaskStatus)
	go func() { done <- h.Do(task).Status }()
	for r.attempts.Load() == 0 || !h.Abandon(task) {
		time.Sleep(time.Millisecond)
	}
	h.Snapshot() // returns after the step that handles Abandon
	if r.aborts.Load() != 0 {
		t.Error("the attempt was aborted")
	}
	close(r.block)
	if status := <-done; status != ClientGone {
		t.Errorf("ended as %s", status)
	}
	if s := h.Snapshot(); len(s.Running) != 0 {
		t.Errorf("%d tasks are kept", len(s.Running))
	}
}

// The cost of a task under load: the module and passing messages between
// goroutines.
func BenchmarkDo(b *testing.B) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	ok := []AttemptResult{{Status: arrowwalk.OK, Final: true}}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.Do(&Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 0.01, Deadline: time.Now().Add(time.Second), Runner: &runner{results: ok}})
		}
	})
}

// With 5,000 bricks: a host's start with the whole list, a delta of one brick, and
// a request.
func BenchmarkNodes5000(b *testing.B) {
	var members []Member
	for i := range 5000 {
		members = append(members, Member{Node: arrowwalk.Node{ID: arrowwalk.NodeID(fmt.Sprint("brick-", i)), Shard: i}, Address: "x"})
	}
	for _, phase := range []string{"start", "change", "step"} {
		b.Run(phase, func(b *testing.B) {
			h, err := New(Options{Settings: settings()})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { h.Close() }()
			h.Nodes(arrowwalk.ListSnapshot, 1, members)
			ok := []AttemptResult{{Status: arrowwalk.OK, Final: true}}
			for i := 0; b.Loop(); i++ {
				switch phase {
				case "start":
					h.Close()
					if h, err = New(Options{Settings: settings()}); err != nil {
						b.Fatal(err)
					}
					h.Nodes(arrowwalk.ListSnapshot, int64(i), members)
				case "change":
					h.Nodes(arrowwalk.ListDelta, int64(i), members[i%5000:i%5000+1])
				default:
					h.Do(&Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 0.01, Shard: i % 5000, Deadline: time.Now().Add(time.Second), Runner: &runner{results: ok}})
				}
			}
			b.ReportMetric(float64(h.Stats().MaxStepTime.Microseconds()), "worst-step-us")
		})
	}
}
