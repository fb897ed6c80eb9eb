package model

import "testing"

func testParams() *Params {
	return &Params{Cores: 2, MaxQueue: 2, CacheItems: 2, CacheSavings: 0.5, DeferredFraction: 0.5, DeferredInterval: 1000, ColdCapacity: 0.25, WarmUpTime: 1_000_000,
		OverloadFactor: 4, OverloadWindow: 1_000_000, MinOverloadUnits: 3, UnitCost: 10_000, DedupWindow: 500}
}

// TestBrick covers each path of a brick once: queueing, caching, pauses,
// repeats, deferred work, failures and its end.
func TestBrick(t *testing.T) {
	params, dedup := testParams(), NewDedupCache()
	b := NewBrick("a", 0, 0, 1, 0, params, dedup)
	job := func(item uint64) *Job { return &Job{Units: 1, Work: 100, Item: item, FirstAttempt: true} }
	admit := func(now int64, j *Job, want Admission) {
		t.Helper()
		if got := b.Admit(now, j, 0.5); got != want {
			t.Fatalf("at %d: admission %d, want %d", now, got, want)
		}
	}
	first, second := job(1), job(1)
	admit(0, first, Accepted)
	admit(0, second, Accepted)
	admit(0, job(2), QueueFull)
	if j := b.StartNext(0); j != first || j.FinishAt != 100 {
		t.Fatalf("first job: %+v", j)
	}
	if j := b.StartNext(0); j != second || j.FinishAt != 50 { // the first job has put its item into the cache
		t.Fatalf("second job: %+v", j)
	}
	b.Pause(10, 1000)
	if retryAt, lost := b.Finish(50, second); retryAt != 1050 || lost {
		t.Fatalf("finish again at %d, lost %v; want 1050, false", retryAt, lost)
	}
	if retryAt, lost := b.Finish(1050, second); retryAt != 0 || lost {
		t.Fatal("job not finished after the pause")
	}
	w := &Job{Units: 1, Work: 100, Write: true, Item: 9, Key: 7, FirstAttempt: true}
	admit(2000, w, Accepted)
	admit(2001, &Job{Key: 7}, Duplicate)
	admit(2600, &Job{Key: 7, Work: 1}, Accepted) // the dedup window has passed
	if j := b.StartNext(2600); !j.background && j.FinishAt != 2650 {
		t.Fatalf("half of a write's work should be deferred: %+v", j)
	}
	b.Finish(9000, first)
	b.Finish(9000, w)
	if j := b.StartNext(9000); j == nil || !j.IsBackground() {
		t.Fatalf("deferred work should come first: %+v", j)
	}
	b.FailureRate = 0.6
	admit(9000, job(3), Failed)
	b.FailureRate = 0
	b.Kill()
	admit(9000, job(3), NoAnswer)
	if _, lost := b.Finish(9001, first); !lost {
		t.Error("a dead brick finished a job")
	}
	b.RecordServed(1, 0, 2)
	if got := b.RecordServed(1, 1, 3); got != 2 {
		t.Errorf("other hosts had %v units, want 2", got)
	}
	if got := b.RecordServed(1, 0, 1); got != 3 {
		t.Errorf("other hosts had %v units since, want 3", got)
	}
}

// TestPushedOver checks that a cold brick handles exactly the load of its
// parameters and collapses under more, and that a warm one does not collapse.
func TestPushedOver(t *testing.T) {
	params := testParams() // warm: 200 units per second; just started: 50, of which it handles four times as much
	for _, c := range []struct {
		started, at int64
		units       float64
		collapses   bool
	}{{1, 1, 200, false}, {1, 1, 201.1, true}, {1, 500_001, 500, false}, {1, 500_001, 501, true}, {1, 1_000_002, 9000, false}, {0, 5, 9000, false}} {
		b := NewBrick("a", 0, 0, 1, c.started, params, NewDedupCache())
		v := b.Admit(c.at, &Job{Units: c.units}, 0.5)
		if b.Collapsed != c.collapses || (v == NoAnswer) != c.collapses {
			t.Errorf("%+v: collapsed %v, admission %d", c, b.Collapsed, v)
		}
	}
}
