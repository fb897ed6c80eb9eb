package eviction

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// victims returns the names of up to maxVictims victims, in order.
func victims(t *Table[string], now int64, maxVictims int) (names []string) {
	t.EachVictim(now, func(e *Entry[string]) bool {
		names = append(names, e.Conn)
		return len(names) < maxVictims
	})
	return names
}

// Below the idle threshold nothing is evicted, from it on long-idle connections
// are. At the limit the oldest new connections are victims too. A connection with
// an unanswered request never is.
func TestWhoGivesWay(t *testing.T) {
	table := NewTable[string](6, 3)
	add := func(name string, at int64, to State) *Entry[string] {
		e := table.Add(name, at)
		table.SetState(e, to, at)
		return e
	}
	add("idle", 0, StateIdle)
	add("open", 0, StateWaiting)
	if got := victims(table, 10*MinIdleMicros, 9); len(got) != 0 {
		t.Errorf("below the threshold %v are evicted", got)
	}
	add("just idle", 9*MinIdleMicros, StateIdle)
	add("silent", 1, StateNew)
	if got := victims(table, 10*MinIdleMicros, 9); !slices.Equal(got, []string{"idle", "just idle"}) {
		t.Errorf("from the threshold on %v are evicted", got)
	}
	if got := victims(table, 10*MinIdleMicros-1, 9); !slices.Equal(got, []string{"idle"}) {
		t.Errorf("%v are evicted before the minimum idle time", got)
	}
	removed := add("silent too", 2, StateNew)
	add("stuck", 0, StateReading)
	if !table.IsFull() {
		t.Error("the table is not full")
	}
	if got := victims(table, 1, 9); !slices.Equal(got, []string{"silent", "silent too", "stuck"}) {
		t.Errorf("at the limit %v are evicted", got)
	}
	table.Remove(removed)
	table.Remove(removed)
	table.SetState(removed, StateWaiting, 3)
	if _, present := table.State(removed); present || table.Count() != 5 || table.CountIn(StateWaiting) != 1 {
		t.Errorf("a removed connection counts: %d, %d waiting", table.Count(), table.CountIn(StateWaiting))
	}
}

// Below the threshold every connection is kept after a response, above it only
// one that has had an earlier response, and further above none.
func TestWhatIsKept(t *testing.T) {
	table := NewTable[int](20, 4)
	for n := range 8 {
		for _, first := range []bool{true, false} {
			if got, want := table.ShouldKeep(first), n < 4 || !first && n < 6; got != want {
				t.Errorf("%d connections, first %v: kept %v", n, first, got)
			}
		}
		table.Add(n, 0)
	}
}

func TestBytesAreBounded(t *testing.T) {
	b := ByteBudget{Max: 100}
	if !b.Acquire(60) || b.Acquire(41) || !b.Acquire(40) || b.InUse() != 100 {
		t.Error("the budget of 100 bytes is not kept")
	}
	b.Release(60)
	if !b.Acquire(60) {
		t.Error("released bytes cannot be acquired again")
	}
}

// After random operations the table agrees with a plain map, and no connection
// with an unanswered request is a victim.
func TestAgainstAPlainList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := NewTable[int](40, 20)
	states := map[*Entry[int]]State{}
	for now := range int64(20_000) {
		switch n := rng.IntN(10); {
		case n < 3 && !table.IsFull():
			states[table.Add(int(now), now*1000)] = StateNew
		default:
			for e := range states {
				if n == 9 {
					table.Remove(e)
					delete(states, e)
				} else {
					states[e] = State(rng.IntN(int(numStates)))
					table.SetState(e, states[e], now*1000)
				}
				break
			}
		}
		table.EachVictim(now*1000, func(e *Entry[int]) bool {
			if states[e] == StateWaiting {
				t.Fatal("a connection with an unanswered request is a victim")
			}
			if rng.IntN(4) == 0 {
				table.Remove(e)
				delete(states, e)
			}
			return true
		})
		if table.Count() != len(states) {
			t.Fatalf("Count() = %d, want %d", table.Count(), len(states))
		}
	}
}
