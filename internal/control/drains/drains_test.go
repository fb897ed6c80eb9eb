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

func newTestRegistry(list ...Brick) *Registry {
	registry := NewRegistry()
	registry.UpdateBricks(list)
	return registry
}

func TestPrecedence(t *testing.T) {
	for _, c := range []struct {
		byOperator, selfDraining bool
		discovery                State
		state                    State
		origin                   Origin
		otherOrigins             []Origin
	}{
		{false, false, Ready, Ready, ByNone, nil},
		{true, false, Ready, Draining, ByOperator, nil},
		{false, true, Ready, Draining, ByBrick, nil},
		{false, true, Draining, Draining, ByDiscovery, []Origin{ByBrick}},
		{true, true, Draining, Draining, ByOperator, []Origin{ByDiscovery, ByBrick}},
		{true, false, Gone, Gone, ByDiscovery, []Origin{ByOperator}},
		{false, false, Gone, Gone, ByDiscovery, nil},
	} {
		registry := newTestRegistry(Brick{"a", 0, c.discovery, 0}, Brick{"spare", 0, Ready, 0})
		registry.SetSelfDraining("a", c.selfDraining)
		if c.byOperator {
			registry.Apply(Order{Kind: Drain, Brick: "a", Operator: "op", At: 5})
		}
		if s := registry.Status("a"); s.State != c.state || s.Origin != c.origin || !reflect.DeepEqual(s.OtherOrigins, c.otherOrigins) || c.byOperator && (s.Operator != "op" || s.Number != 1) {
			t.Errorf("%+v: %+v", c, s)
		}
	}
}

func TestOrders(t *testing.T) {
	registry := newTestRegistry(Brick{"a", 0, Ready, 0}, Brick{"b", 1, Ready, 0}, Brick{"b2", 1, Ready, 0}, Brick{"c", 2, Draining, 0})
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
		{Order{Kind: Drain, Brick: "b"}, "", true, "", Draining},        // number 3; b2 is still ready
		{Order{Kind: Drain, Brick: "b2"}, "unreachable", false, "", ""}, // the last ready brick of shard 1
		{Order{Kind: Cancel, Brick: "b", Number: 1}, "stale", false, "", ""},
		{Order{Kind: Cancel, Brick: "b", Number: 3}, "", true, "", Ready},
		{Order{Kind: Undrain, Brick: "c"}, "", false, "it stays drained by discovery", Draining},
		{Order{Kind: Drain, Brick: "c"}, "", true, "", Draining}, // draining already, so nothing more becomes unreachable
		{Order{Kind: Undrain, Brick: "c"}, "", true, "it stays drained by discovery", Draining},
		{Order{Kind: Undrain, Brick: "a"}, "", true, "", Ready},
	} {
		r, err := registry.Submit(c.order, volumes)
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
	registry = newTestRegistry(Brick{"b", 1, Ready, 5})
	if !registry.SetSelfDraining("b", true) || registry.SetSelfDraining("b", true) || registry.Status("b").Origin != ByBrick {
		t.Errorf("brick that reports draining: %+v", registry.Status("b"))
	}
	registry.UpdateBricks([]Brick{{"b", 1, Ready, 5}})
	if registry.Status("b").Origin != ByBrick {
		t.Error("a new list cancels the brick's own report")
	}
	if r := registry.Apply(Order{Kind: Undrain, Brick: "b"}); !r.Changed || r.After.State != Ready {
		t.Errorf("undrain of a brick that reports draining: %+v", r)
	}
	registry.SetSelfDraining("b", true)
	registry.UpdateBricks([]Brick{{"b", 1, Ready, 6}})
	if registry.Status("b").State != Ready {
		t.Error("a restarted brick is drained by its report from before the restart")
	}
	registry.Apply(Order{Kind: Drain, Brick: "b"})
	registry.UpdateBricks(nil)
	if s := registry.Status("b"); s.State != Gone {
		t.Errorf("drained brick that left: %+v", s)
	}
	registry.UpdateBricks([]Brick{{"b", 1, Ready, 0}})
	if s := registry.Status("b"); s.State != Draining || s.Origin != ByOperator {
		t.Errorf("brick that was drained by an operator, left and came back: %+v", s)
	}
}

// A replay of the accepted orders must end in the same states as the original run, in
// which orders of two operators and lists of discovery were mixed at random.
func TestReplay(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		list := []Brick{{"a", 0, Ready, 0}, {"b", 0, Ready, 0}, {"c", 1, Ready, 0}}
		first := newTestRegistry(list...)
		var orderLog []Order
		for i := range 60 {
			if random.Intn(4) == 0 {
				list[random.Intn(3)].State = []State{Ready, Draining, Gone}[random.Intn(3)]
				first.UpdateBricks(list)
			}
			o := Order{ID: fmt.Sprint(i - random.Intn(3)), Kind: []Kind{Drain, Undrain, Cancel}[random.Intn(3)], Brick: list[random.Intn(3)].Name,
				Number: int64(random.Intn(20)), Force: random.Intn(2) == 0, Operator: fmt.Sprint("op", i%2), At: int64(i)}
			_, isRepeat := first.resultsByID[o.ID]
			if r, err := first.Submit(o, nil); err == nil && !isRepeat {
				orderLog = append(orderLog, o)
				if r.Number != int64(len(orderLog)) {
					t.Fatalf("seed %d: order %d has number %d", seed, len(orderLog), r.Number)
				}
			}
		}
		second := NewRegistry()
		for _, o := range orderLog {
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
