package model

import "testing"

func figures() *Params {
	return &Params{Cores: 2, MaxQueue: 2, CacheItems: 2, CacheSavings: 0.5, DeferredFraction: 0.5, DeferredInterval: 1000, ColdCapacity: 0.25, WarmUpTime: 1_000_000,
		OverloadFactor: 4, OverloadWindow: 1_000_000, MinOverloadUnits: 3, UnitCost: 10_000, DedupWindow: 500}
}

// Each of a brick's ways is met once.
func TestBrick(t *testing.T) {
	f, keys := figures(), NewDedupCache()
	b := NewBrick("a", 0, 0, 1, 0, f, keys)
	job := func(item uint64) *Job { return &Job{Units: 1, Work: 100, Item: item, FirstAttempt: true} }
	arrive := func(now int64, j *Job, want Admission) {
		t.Helper()
		if got := b.Admit(now, j, 0.5); got != want {
			t.Fatalf("at %d: verdict %d, want %d", now, got, want)
		}
	}
	one, two := job(1), job(1)
	arrive(0, one, Accepted)
	arrive(0, two, Accepted)
	arrive(0, job(2), QueueFull)
	if j := b.StartNext(0); j != one || j.FinishAt != 100 {
		t.Fatalf("the first takes %+v", j)
	}
	if j := b.StartNext(0); j != two || j.FinishAt != 50 { // its item is cached by now
		t.Fatalf("the second takes %+v", j)
	}
	b.Pause(10, 1000)
	if again, gone := b.Finish(50, two); again != 1050 || gone {
		t.Fatalf("held up until %d, %v", again, gone)
	}
	if again, gone := b.Finish(1050, two); again != 0 || gone {
		t.Fatal("not done after the pause")
	}
	w := &Job{Units: 1, Work: 100, Write: true, Item: 9, Key: 7, FirstAttempt: true}
	arrive(2000, w, Accepted)
	arrive(2001, &Job{Key: 7}, Duplicate)
	arrive(2600, &Job{Key: 7, Work: 1}, Accepted) // its window is over
	if j := b.StartNext(2600); !j.own && j.FinishAt != 2650 {
		t.Fatalf("half of a write's work is put off: %+v", j)
	}
	b.Finish(9000, one)
	b.Finish(9000, w)
	if j := b.StartNext(9000); j == nil || !j.IsBackground() {
		t.Fatalf("put-off work comes first: %+v", j)
	}
	b.FailureRate = 0.6
	arrive(9000, job(3), Failed)
	b.FailureRate = 0
	b.Kill()
	arrive(9000, job(3), NoAnswer)
	if _, gone := b.Finish(9001, one); !gone {
		t.Error("a dead brick finished its work")
	}
	b.RecordServed(1, 0, 2)
	if got := b.RecordServed(1, 1, 3); got != 2 {
		t.Errorf("others had %v units", got)
	}
	if got := b.RecordServed(1, 0, 1); got != 3 {
		t.Errorf("others had %v units since", got)
	}
}

// A cold brick bears what its rule says, and no unit more; a warm one bears it.
func TestPushedOver(t *testing.T) {
	f := figures() // warm: 200 units a second; just started: 50, four times that in a second
	for _, c := range []struct {
		started, at int64
		units       float64
		falls       bool
	}{{1, 1, 200, false}, {1, 1, 201.1, true}, {1, 500_001, 500, false}, {1, 500_001, 501, true}, {1, 1_000_002, 9000, false}, {0, 5, 9000, false}} {
		b := NewBrick("a", 0, 0, 1, c.started, f, NewDedupCache())
		v := b.Admit(c.at, &Job{Units: c.units}, 0.5)
		if b.Collapsed != c.falls || (v == NoAnswer) != c.falls {
			t.Errorf("%+v: fallen %v, verdict %d", c, b.Collapsed, v)
		}
	}
}
