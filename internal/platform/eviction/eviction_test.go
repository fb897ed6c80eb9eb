package eviction

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func names(t *Table[string], now int64, most int) (list []string) {
	t.EachVictim(now, func(e *Entry[string]) bool {
		list = append(list, e.Conn)
		return len(list) < most
	})
	return list
}

// Below the easy bound nothing gives way; from there on those idle for long
// do; at the bound the oldest that never sent a request, and an open request
// never.
func TestWhoGivesWay(t *testing.T) {
	tab := NewTable[string](6, 3)
	add := func(name string, at int64, to State) *Entry[string] {
		e := tab.Add(name, at)
		tab.SetState(e, to, at)
		return e
	}
	add("idle", 0, StateIdle)
	add("open", 0, StateWaiting)
	if got := names(tab, 10*MinIdleMicros, 9); len(got) != 0 {
		t.Errorf("with room for all, %v give way", got)
	}
	add("just idle", 9*MinIdleMicros, StateIdle)
	add("silent", 1, StateNew)
	if got := names(tab, 10*MinIdleMicros, 9); !slices.Equal(got, []string{"idle", "just idle"}) {
		t.Errorf("%v give way", got)
	}
	if got := names(tab, 10*MinIdleMicros-1, 9); !slices.Equal(got, []string{"idle"}) {
		t.Errorf("%v give way before their time", got)
	}
	second := add("silent too", 2, StateNew)
	add("stuck", 0, StateReading)
	if !tab.IsFull() {
		t.Error("the table is not full")
	}
	if got := names(tab, 1, 9); !slices.Equal(got, []string{"silent", "silent too", "stuck"}) {
		t.Errorf("at the bound %v give way", got)
	}
	tab.Remove(second)
	tab.Remove(second)
	tab.SetState(second, StateWaiting, 3)
	if _, here := tab.State(second); here || tab.Count() != 5 || tab.CountIn(StateWaiting) != 1 {
		t.Errorf("a removed connection counts: %d, %d open", tab.Count(), tab.CountIn(StateWaiting))
	}
}

// Connections are kept while there is room, then those that were used again.
func TestWhatIsKept(t *testing.T) {
	tab := NewTable[int](20, 4)
	for n := range 8 {
		for _, first := range []bool{true, false} {
			if got, want := tab.ShouldKeep(first), n < 4 || !first && n < 6; got != want {
				t.Errorf("%d connections, first %v: kept %v", n, first, got)
			}
		}
		tab.Add(n, 0)
	}
}

func TestBytesAreBounded(t *testing.T) {
	b := ByteBudget{Max: 100}
	if !b.Acquire(60) || b.Acquire(41) || !b.Acquire(40) || b.InUse() != 100 {
		t.Error("the bound of 100 bytes does not hold")
	}
	b.Release(60)
	if !b.Acquire(60) {
		t.Error("what was freed cannot be had")
	}
}

// Whatever happens, the counts are those of a plain list, and nobody with an
// open request is named.
func TestAgainstAPlainList(t *testing.T) {
	dice := rand.New(rand.NewPCG(1, 2))
	tab := NewTable[int](40, 20)
	stage := map[*Entry[int]]State{}
	for now := range int64(20_000) {
		switch n := dice.IntN(10); {
		case n < 3 && !tab.IsFull():
			stage[tab.Add(int(now), now*1000)] = StateNew
		default:
			for e := range stage {
				if n == 9 {
					tab.Remove(e)
					delete(stage, e)
				} else {
					stage[e] = State(dice.IntN(int(stages)))
					tab.SetState(e, stage[e], now*1000)
				}
				break
			}
		}
		tab.EachVictim(now*1000, func(e *Entry[int]) bool {
			if stage[e] == StateWaiting {
				t.Fatal("an open request gives way")
			}
			if dice.IntN(4) == 0 {
				tab.Remove(e)
				delete(stage, e)
			}
			return true
		})
		if tab.Count() != len(stage) {
			t.Fatalf("%d counted, %d there", tab.Count(), len(stage))
		}
	}
}
