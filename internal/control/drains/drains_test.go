package drains

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"strings"
	"testing"
)

func board(list ...Brick) *Registry {
	b := NewRegistry()
	b.UpdateBricks(list)
	return b
}

func TestPrecedence(t *testing.T) {
	for _, c := range []struct {
		hand, self bool
		discovery  State
		state      State
		by         Origin
		also       []Origin
	}{
		{false, false, Ready, Ready, ByNone, nil},
		{true, false, Ready, Draining, ByOperator, nil},
		{false, true, Ready, Draining, ByBrick, nil},
		{false, true, Draining, Draining, ByDiscovery, []Origin{ByBrick}},
		{true, true, Draining, Draining, ByOperator, []Origin{ByDiscovery, ByBrick}},
		{true, false, Gone, Gone, ByDiscovery, []Origin{ByOperator}},
		{false, false, Gone, Gone, ByDiscovery, nil},
	} {
		b := board(Brick{"a", 0, c.discovery, 0}, Brick{"spare", 0, Ready, 0})
		b.SetSelfDraining("a", c.self)
		if c.hand {
			b.Apply(Order{Kind: Drain, Brick: "a", Operator: "op", At: 5})
		}
		if s := b.Status("a"); s.State != c.state || s.Origin != c.by || !reflect.DeepEqual(s.OtherOrigins, c.also) || c.hand && (s.Operator != "op" || s.Number != 1) {
			t.Errorf("%+v: %+v", c, s)
		}
	}
}

func TestOrders(t *testing.T) {
	b := board(Brick{"a", 0, Ready, 0}, Brick{"b", 1, Ready, 0}, Brick{"b2", 1, Ready, 0}, Brick{"c", 2, Draining, 0})
	volumes := map[int][]string{0: {"theses", "notes"}}
	for i, c := range []struct {
		order   Order
		refused string
		done    bool
		note    string
		after   State
	}{
		{Order{Kind: Drain, Brick: "x"}, "no_such_brick", false, "", ""},
		{Order{Kind: "stop", Brick: "a"}, "bad_order", false, "", ""},
		{Order{Kind: Drain, Brick: "a"}, "unreachable", false, "notes, theses", ""},
		{Order{Kind: Drain, Brick: "a", Force: true, ID: "1"}, "", true, "", Draining}, // number 1
		{Order{Kind: Drain, Brick: "a", Force: true, ID: "1"}, "", true, "", Draining}, // a repeat
		{Order{Kind: Drain, Brick: "a", Force: true, ID: "2"}, "", false, "already", Draining},
		{Order{Kind: Drain, Brick: "b"}, "", true, "", Draining},        // number 3: b2 takes its work
		{Order{Kind: Drain, Brick: "b2"}, "unreachable", false, "", ""}, // now it is the last
		{Order{Kind: Cancel, Brick: "b", Number: 1}, "stale", false, "", ""},
		{Order{Kind: Cancel, Brick: "b", Number: 3}, "", true, "", Ready},
		{Order{Kind: Undrain, Brick: "c"}, "", false, "it stays drained by discovery", Draining},
		{Order{Kind: Drain, Brick: "c"}, "", true, "", Draining}, // it is drained already: nothing more is lost
		{Order{Kind: Undrain, Brick: "c"}, "", true, "it stays drained by discovery", Draining},
		{Order{Kind: Undrain, Brick: "a"}, "", true, "", Ready},
	} {
		r, err := b.Submit(c.order, volumes)
		var refusal *Refusal
		errors.As(err, &refusal)
		if c.refused != "" {
			if refusal == nil || refusal.Code != c.refused || !strings.Contains(refusal.Reason, c.note) {
				t.Errorf("order %d: %v, want %s", i, err, c.refused)
			}
			continue
		}
		if err != nil || r.Changed != c.done || r.After.State != c.after || !strings.Contains(r.Note, c.note) {
			t.Errorf("order %d: %+v, %v", i, r, err)
		}
	}
	b = board(Brick{"b", 1, Ready, 5})
	if !b.SetSelfDraining("b", true) || b.SetSelfDraining("b", true) || b.Status("b").Origin != ByBrick {
		t.Errorf("the brick's own word: %+v", b.Status("b"))
	}
	b.UpdateBricks([]Brick{{"b", 1, Ready, 5}})
	if b.Status("b").Origin != ByBrick {
		t.Error("a new list takes the brick's word back")
	}
	if r := b.Apply(Order{Kind: Undrain, Brick: "b"}); !r.Changed || r.After.State != Ready {
		t.Errorf("an undrain of a brick that drains by its own word: %+v", r)
	}
	b.SetSelfDraining("b", true)
	b.UpdateBricks([]Brick{{"b", 1, Ready, 6}})
	if b.Status("b").State != Ready {
		t.Error("a brick that has started anew is drained by its old word")
	}
	b.Apply(Order{Kind: Drain, Brick: "b"})
	b.UpdateBricks(nil)
	if s := b.Status("b"); s.State != Gone {
		t.Errorf("a drained brick that left: %+v", s)
	}
	b.UpdateBricks([]Brick{{"b", 1, Ready, 0}})
	if s := b.Status("b"); s.State != Draining || s.Origin != ByOperator {
		t.Errorf("a brick drained by hand that came back: %+v", s)
	}
}

// A record of orders, played again in any mix with what discovery says, ends
// in the same states; two operators' opposite orders too.
func TestReplay(t *testing.T) {
	for seed := range int64(40) {
		rnd := rand.New(rand.NewSource(seed))
		list := []Brick{{"a", 0, Ready, 0}, {"b", 0, Ready, 0}, {"c", 1, Ready, 0}}
		first := board(list...)
		var record []Order
		for i := range 60 {
			if rnd.Intn(4) == 0 {
				list[rnd.Intn(3)].State = []State{Ready, Draining, Gone}[rnd.Intn(3)]
				first.UpdateBricks(list)
			}
			o := Order{ID: fmt.Sprint(i - rnd.Intn(3)), Kind: []Kind{Drain, Undrain, Cancel}[rnd.Intn(3)], Brick: list[rnd.Intn(3)].Name,
				Number: int64(rnd.Intn(20)), Force: rnd.Intn(2) == 0, Operator: fmt.Sprint("op", i%2), At: int64(i)}
			_, again := first.seen[o.ID]
			if r, err := first.Submit(o, nil); err == nil && !again {
				record = append(record, o)
				if r.Number != int64(len(record)) {
					t.Fatalf("seed %d: order %d has number %d", seed, len(record), r.Number)
				}
			}
		}
		second := NewRegistry()
		for _, o := range record {
			second.Apply(o)
		}
		second.UpdateBricks(list)
		a, _ := json.Marshal(first.Statuses())
		b, _ := json.Marshal(second.Statuses())
		if string(a) != string(b) {
			t.Fatalf("seed %d:\n%s\n%s", seed, a, b)
		}
	}
}
