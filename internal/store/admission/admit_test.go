package admission

import (
	"math/rand"
	"testing"
	"time"
)

func TestBounds(t *testing.T) {
	l := New(Limits{Workers: 4, MaxQueued: 3})
	for i := range 3 {
		if v, _ := l.Arrive(Write, 1); v != Admitted {
			t.Fatalf("write %d: %v", i, v)
		}
	}
	v, first := l.Arrive(Write, 1)
	if v != Queued {
		t.Fatalf("a fourth write: %v", v) // a worker is left for reads
	}
	if v, _ := l.Arrive(Read, 1); v != Admitted {
		t.Fatalf("a read beside three writes: %v", v)
	}
	_, second := l.Arrive(Read, 1)
	_, third := l.Arrive(Write, 1)
	if v, _ := l.Arrive(Read, 1); v != Refused || l.Queued() != 3 || l.Running() != 4 {
		t.Fatalf("beyond the bound: %v, %d wait, %d run", v, l.Queued(), l.Running())
	}
	if got, ok := l.Done(Read); !ok || got != second {
		t.Errorf("after a read: %d %v, want the read %d", got, ok, second)
	}
	if !l.Cancel(third) || l.Cancel(third) || l.Cancel(first+100) {
		t.Error("who waits may leave once")
	}
	if got, ok := l.Done(Write); !ok || got != first {
		t.Errorf("after a write: %d %v, want %d", got, ok, first)
	}
	if _, ok := l.Done(Write); ok {
		t.Error("nobody waits")
	}
}

// Where both wait, each kind gets its share of the work, whatever the requests'
// costs; where one does not, the other has all; a stalled disk's writes leave
// workers to reads; nothing waits while it may be served.
func TestShares(t *testing.T) {
	for seed := range int64(200) {
		rnd := rand.New(rand.NewSource(seed))
		share := 0.2 + 0.6*rnd.Float64()
		l := New(Limits{Workers: 8, MaxQueued: 1000, MaxWrites: 8, WriteShare: share})
		costs := [kinds]float64{1 + 3*rnd.Float64(), 1 + 3*rnd.Float64()}
		var running []Kind
		kindOf := map[Ticket]Kind{}
		var work [kinds]float64
		arrive := func(k Kind) {
			switch v, ticket := l.Arrive(k, costs[k]); v {
			case Admitted:
				running = append(running, k)
			case Queued:
				kindOf[ticket] = k
			}
		}
		for range 100 {
			arrive(Read)
			arrive(Write)
		}
		for range 4000 {
			i := rnd.Intn(len(running))
			k := running[i]
			running = append(running[:i], running[i+1:]...)
			work[k] += costs[k]
			if next, ok := l.Done(k); ok {
				running = append(running, kindOf[next])
			}
			arrive(k) // there is always more of both
			if len(running) < 8 && l.Queued() > 0 {
				t.Fatalf("seed %d: %d run while %d wait", seed, len(running), l.Queued())
			}
		}
		if got := work[Write] / (work[Read] + work[Write]); got < share-0.05 || got > share+0.05 {
			t.Errorf("seed %d: writes had %.3f of the work, their share is %.3f", seed, got, share)
		}
	}
}

// A kind that was idle does not have its idle time made up for.
func TestIdleIsGone(t *testing.T) {
	l := New(Limits{Workers: 1, MaxQueued: 1000, MaxWrites: 1})
	l.Arrive(Read, 1)
	for range 500 {
		l.Arrive(Read, 1)
		l.Done(Read)
	}
	kindOf := map[Ticket]Kind{}
	for range 100 {
		_, a := l.Arrive(Write, 1)
		_, b := l.Arrive(Read, 1)
		kindOf[a], kindOf[b] = Write, Read
	}
	writes, k := 0, Read
	for range 20 {
		next, _ := l.Done(k)
		if k = kindOf[next]; k == Write {
			writes++
		}
	}
	if writes < 8 || writes > 12 {
		t.Errorf("writes had %d of 20 turns", writes)
	}
}

func TestTold(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		util       float64
		run, usual time.Duration
		want       float64
	}{{0.3, 0, 0, 0.3}, {0.3, 14 * ms, ms, 0.3}, {0.3, 60 * ms, ms, 1}, {0.3, 300 * ms, 200 * ms, 0.3}, {0.9, 40 * ms, ms, 0.9}, {0.1, 150 * ms, 20 * ms, 0.5}} {
		if got := ReportedUtilization(c.util, CommitStats{c.run, c.usual}); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
