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
	return arrowwalk.Settings{Hosts: 1, MaxAttempts: 3, Tick: 1000, MeanUnits: 1, MostUnits: 4, MaxWait: 1_000_000, Cancel: true,
		Classes: []arrowwalk.Class{{Name: "read", Aim: 100_000, Deadline: 400_000, Worth: 1},
			{Name: "write", Aim: 100_000, Deadline: 400_000, Worth: 1, Repeat: arrowwalk.Keyed, Scope: arrowwalk.ScopeZone, Window: 200_000}},
		Plans: []arrowwalk.Plan{{Name: "basic", Rate: 1000, Weight: 1, WorthFactor: 1}}}
}

// The same events give the same actions, on one Engine and on another.
func TestEngineIsDeterministic(t *testing.T) {
	run := func() (log []string) {
		now := arrowwalk.Micros(1_000_000)
		e, err := NewEngine(settings(), now)
		if err != nil {
			t.Fatal(err)
		}
		out := map[arrowwalk.RequestID]arrowwalk.Micros{}
		for i := range 3000 {
			now += arrowwalk.Micros(100 + i*37%900)
			var events []arrowwalk.Event
			if i == 0 {
				events = append(events, &arrowwalk.NodeList{Kind: arrowwalk.ListStored, Nodes: []arrowwalk.Node{{ID: "a"}, {ID: "b", Shard: 1}}})
			}
			if i < 2000 {
				events = append(events, &arrowwalk.Request{ID: arrowwalk.RequestID(i), Class: i % 2, Units: 1, Shard: i % 2, Left: 400_000, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}})
			}
			for id, at := range out {
				if now-at > 2000 && id%50 != 7 {
					delete(out, id)
					events = append(events, &arrowwalk.Outcome{Attempt: arrowwalk.Attempt{Request: id, Node: "a"}, Status: arrowwalk.OK, Latency: now - at, Closed: true})
				}
			}
			slices.SortFunc(events, func(a, b arrowwalk.Event) int {
				return int(order(a)) - int(order(b))
			})
			for _, a := range e.Step(now, events) {
				if a.Kind == arrowwalk.SetTimer {
					t.Fatal("a timer came out")
				}
				if a.Kind == arrowwalk.Send {
					out[a.Request] = now
				}
				log = append(log, fmt.Sprint(now, a))
			}
			if next, ok := e.Next(); !ok || next > now+200_000 {
				t.Fatalf("next step at %d, %v: the module's beat is lost", next, ok)
			}
		}
		return log
	}
	first := run()
	if second := run(); !slices.Equal(first, second) || len(first) < 2000 {
		t.Errorf("two runs of %d and %d actions differ", len(first), len(second))
	}
}

func order(e arrowwalk.Event) arrowwalk.RequestID {
	switch e := e.(type) {
	case *arrowwalk.Request:
		return e.ID
	case *arrowwalk.Outcome:
		return e.Request + 1<<20
	}
	return 0
}

// runner answers as it is told.
type runner struct {
	results []AttemptResult
	block   chan struct{} // closed by Abort
	tries   atomic.Int32
	aborts  atomic.Int32
	once    sync.Once
}

func (r *runner) Try(t *Attempt) AttemptResult {
	n := int(r.tries.Add(1)) - 1
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
		name    string
		class   int
		shard   int
		results []AttemptResult
		end     TaskStatus
		tries   int
	}{
		{"served", 0, 0, []AttemptResult{ok}, Served, 1},
		{"served at the second try", 0, 0, []AttemptResult{{Status: arrowwalk.Reset}, ok}, Served, 2},
		{"a write that never ran is tried again", 1, 0, []AttemptResult{{Status: arrowwalk.Unreachable}, ok}, Served, 2},
		{"refused after the last try", 0, 0, []AttemptResult{{Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}}, Refused, 3},
		{"a write that may have run fails", 1, 0, []AttemptResult{{Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}, {Status: arrowwalk.Failed}}, Failed, 3},
		{"an answer that began is the last", 0, 0, []AttemptResult{{Status: arrowwalk.Reset, Final: true}}, Served, 1},
		{"a silent read is refused in time", 0, 0, nil, Refused, 1},
		{"a silent write fails in time", 1, 0, nil, Failed, 1},
		{"no brick holds the shard", 0, 1, nil, Refused, 0},
	} {
		h, err := New(Options{Settings: settings()})
		if err != nil {
			t.Fatal(err)
		}
		h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
		r := &runner{results: c.results, block: make(chan struct{})}
		began := time.Now()
		v := h.Do(&Task{Class: c.class, Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 1, Shard: c.shard, Deadline: began.Add(400 * time.Millisecond), Runner: r})
		if v.Status != c.end || v.Attempts != c.tries || int(r.tries.Load()) != c.tries {
			t.Errorf("%s: %+v after %d tries, want %s after %d", c.name, v, r.tries.Load(), c.end, c.tries)
		}
		if took := time.Since(began); took > 600*time.Millisecond {
			t.Errorf("%s: took %s", c.name, took)
		}
		if v.Status == Refused && v.RetryAfter != time.Second {
			t.Errorf("%s: advice %s", c.name, v.RetryAfter)
		}
		h.Close()
	}
}

// Tasks of many goroutines each get one verdict, also when their clients go
// and when the host stops under them; nothing is kept of them.
func TestManyTasksGoneAndStopped(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	var wg sync.WaitGroup
	var ends [ClientGone + 1]atomic.Int32
	task := func(results []AttemptResult, abandon bool, until time.Duration) {
		defer wg.Done()
		r := &runner{results: results, block: make(chan struct{})}
		tk := &Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 0.1, Deadline: time.Now().Add(until), Runner: r}
		if abandon {
			go func() {
				for r.tries.Load() == 0 && !tk.over.Load() {
					time.Sleep(time.Millisecond)
				}
				h.Abandon(tk)
			}()
		}
		ends[h.Do(tk).Status].Add(1)
	}
	for i := range 400 {
		wg.Add(1)
		go task([]AttemptResult{{Status: arrowwalk.OK, Final: true}}, false, time.Second)
		if i%100 == 0 {
			wg.Add(1)
			go task(nil, true, 2*time.Second)
		}
	}
	wg.Wait()
	if gone := ends[ClientGone].Load(); gone != 4 || ends[Served].Load() < 300 {
		t.Errorf("gone %d, served %d, refused %d, failed %d", gone, ends[Served].Load(), ends[Refused].Load(), ends[Failed].Load())
	}
	if s := h.Snapshot(); len(s.Running) != 0 {
		t.Errorf("%d tasks are kept", len(s.Running))
	}
	wg.Add(1)
	go task(nil, false, time.Minute)
	for len(h.Snapshot().Running) == 0 {
		time.Sleep(time.Millisecond)
	}
	h.Close()
	wg.Wait()
	if v := h.Do(&Task{Runner: &runner{}}); v.Status != Failed {
		t.Errorf("after the stop: %+v", v)
	}
	if s := h.Stats(); s.Accepted != s.Ended["served"]+s.Ended["refused"]+s.Ended["failed"]+s.Ended["gone"] {
		t.Errorf("%+v", s)
	}
}

// A client that leaves before the module was handed its request is told of by
// and by; an attempt that outlives its client is not aborted, and ends the task.
func TestAbandonEarlyAndOutlive(t *testing.T) {
	h, err := New(Options{Settings: settings()})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	h.Nodes(arrowwalk.ListSnapshot, 1, []Member{{Node: arrowwalk.Node{ID: "a"}, Address: "x"}})
	r := &runner{block: make(chan struct{})}
	tk := &Task{Volume: arrowwalk.Volume{ID: 1, Hosts: 1}, Units: 0.1, Deadline: time.Now().Add(time.Minute), Runner: r, OutlivesClient: true}
	if h.Abandon(tk) {
		t.Error("a task that was not begun is abandoned")
	}
	end := make(chan TaskStatus)
	go func() { end <- h.Do(tk).Status }()
	for r.tries.Load() == 0 || !h.Abandon(tk) {
		time.Sleep(time.Millisecond)
	}
	h.Snapshot() // a step later
	if r.aborts.Load() != 0 {
		t.Error("the attempt was aborted")
	}
	close(r.block)
	if got := <-end; got != ClientGone {
		t.Errorf("ended as %s", got)
	}
	if s := h.Snapshot(); len(s.Running) != 0 {
		t.Errorf("%d tasks are kept", len(s.Running))
	}
}

// A step of the host under load: what the module and the hand-over cost.
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

// 5,000 bricks: the whole list at a start, one change of it, and a request's
// step while they are known.
func BenchmarkNodes5000(b *testing.B) {
	var members []Member
	for i := range 5000 {
		members = append(members, Member{Node: arrowwalk.Node{ID: arrowwalk.NodeID(fmt.Sprint("brick-", i)), Shard: i}, Address: "x"})
	}
	for _, what := range []string{"start", "change", "step"} {
		b.Run(what, func(b *testing.B) {
			h, err := New(Options{Settings: settings()})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { h.Close() }()
			h.Nodes(arrowwalk.ListSnapshot, 1, members)
			ok := []AttemptResult{{Status: arrowwalk.OK, Final: true}}
			for i := 0; b.Loop(); i++ {
				switch what {
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
