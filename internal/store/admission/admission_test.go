package admission

import (
	"math/rand"
	"testing"
	"time"
)

func TestBounds(t *testing.T) {
	c := New(Limits{Workers: 4, MaxQueued: 3})
	for i := range 3 {
		if decision, _ := c.Arrive(Write, 1); decision != Admitted {
			t.Fatalf("write %d: %v", i, decision)
		}
	}
	decision, first := c.Arrive(Write, 1)
	if decision != Queued {
		t.Fatalf("fourth write: %v", decision) // one worker is reserved for reads
	}
	if decision, _ := c.Arrive(Read, 1); decision != Admitted {
		t.Fatalf("read while three writes run: %v", decision)
	}
	_, second := c.Arrive(Read, 1)
	_, third := c.Arrive(Write, 1)
	if decision, _ := c.Arrive(Read, 1); decision != Refused || c.Queued() != 3 || c.Running() != 4 {
		t.Fatalf("full queue: %v, %d queued, %d running", decision, c.Queued(), c.Running())
	}
	if got, ok := c.Done(Read); !ok || got != second {
		t.Errorf("after a read: ticket %d %v, want read %d", got, ok, second)
	}
	if !c.Cancel(third) || c.Cancel(third) || c.Cancel(first+100) {
		t.Error("a queued request can be cancelled exactly once")
	}
	if got, ok := c.Done(Write); !ok || got != first {
		t.Errorf("after a write: ticket %d %v, want %d", got, ok, first)
	}
	if _, ok := c.Done(Write); ok {
		t.Error("Done returned a ticket from an empty queue")
	}
}

// While both kinds are queued, each gets its share of the work whatever its
// requests cost, and no request stays queued while a worker is free for it.
func TestShares(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		share := 0.2 + 0.6*rnd.Float64()
		c := New(Limits{Workers: 8, MaxQueued: 1000, MaxWrites: 8, WriteShare: share})
		costs := [numKinds]float64{1 + 3*rnd.Float64(), 1 + 3*rnd.Float64()}
		var running []Kind
		kindOf := map[Ticket]Kind{}
		var work [numKinds]float64
		arrive := func(kind Kind) {
			switch decision, ticket := c.Arrive(kind, costs[kind]); decision {
			case Admitted:
				running = append(running, kind)
			case Queued:
				kindOf[ticket] = kind
			}
		}
		for range 100 {
			arrive(Read)
			arrive(Write)
		}
		for range 4000 {
			i := rnd.Intn(len(running))
			kind := running[i]
			running = append(running[:i], running[i+1:]...)
			work[kind] += costs[kind]
			if next, ok := c.Done(kind); ok {
				running = append(running, kindOf[next])
			}
			arrive(kind) // both kinds stay backlogged
			if len(running) < 8 && c.Queued() > 0 {
				t.Fatalf("seed %d: %d running while %d are queued", seed, len(running), c.Queued())
			}
		}
		if got := work[Write] / (work[Read] + work[Write]); got < share-0.05 || got > share+0.05 {
			t.Errorf("seed %d: writes got %.3f of the work, want %.3f", seed, got, share)
		}
	}
}

// A kind that was idle gets no extra share afterwards.
func TestIdleIsGone(t *testing.T) {
	c := New(Limits{Workers: 1, MaxQueued: 1000, MaxWrites: 1})
	c.Arrive(Read, 1)
	for range 500 {
		c.Arrive(Read, 1)
		c.Done(Read)
	}
	kindOf := map[Ticket]Kind{}
	for range 100 {
		_, writeTicket := c.Arrive(Write, 1)
		_, readTicket := c.Arrive(Read, 1)
		kindOf[writeTicket], kindOf[readTicket] = Write, Read
	}
	writes, kind := 0, Read
	for range 20 {
		next, _ := c.Done(kind)
		if kind = kindOf[next]; kind == Write {
			writes++
		}
	}
	if writes < 8 || writes > 12 {
		t.Errorf("writes got %d of 20 starts", writes)
	}
}

func TestTold(t *testing.T) {
	ms := time.Millisecond
	for _, tc := range []struct {
		utilization      float64
		current, average time.Duration
		want             float64
	}{{0.3, 0, 0, 0.3}, {0.3, 14 * ms, ms, 0.3}, {0.3, 60 * ms, ms, 1}, {0.3, 300 * ms, 200 * ms, 0.3}, {0.9, 40 * ms, ms, 0.9}, {0.1, 150 * ms, 20 * ms, 0.5}} {
		if got := ReportedUtilization(tc.utilization, CommitStats{tc.current, tc.average}); got < tc.want-0.001 || got > tc.want+0.001 {
			t.Errorf("%+v: %v", tc, got)
		}
	}
}
