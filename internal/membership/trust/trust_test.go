package trust

import (
	"math/rand"
	"testing"
	"time"
)

func TestRateAndLevels(t *testing.T) {
	list := func(names ...string) (out []Identity) {
		for i, n := range names {
			out = append(out, Identity{Name: n, Address: n, Zone: "z", Shard: i})
		}
		return out
	}
	calm, busy := ChangeRate{}, ChangeRate{}
	for range 100 {
		calm = calm.Update(list("a", "b", "c", "d"), list("a", "b", "c", "d"), time.Hour)
		busy = busy.Update(list("a", "b", "c", "d"), list("a", "b", "x", "d"), time.Hour)
	}
	if calm.Changes != 0 || busy.Changes != 100 || calm.BrickHours != 400 {
		t.Errorf("learned %+v and %+v", calm, busy)
	}
	moved := list("a")
	moved[0].Zone = "other"
	if r := (ChangeRate{}).Update(list("a"), moved, time.Hour); r.Changes != 1 {
		t.Error("a brick that moved to another zone is no change")
	}
	for _, c := range []struct {
		name  string
		rate  ChangeRate
		age   time.Duration
		known bool
		want  Level
	}{
		{"a minute", ChangeRate{}, time.Minute, true, Aged},
		{"an hour of a new site", ChangeRate{}, time.Hour, true, Aged},
		{"a day of a new site", ChangeRate{}, 24 * time.Hour, true, Doubted},
		{"a day of a calm site", calm, 10 * time.Hour, true, Aged},
		{"an hour of a busy site", busy, time.Hour, true, Doubted},
		{"a day of a busy site", busy, 24 * time.Hour, true, Unknown},
		{"a year", calm, 365 * 24 * time.Hour, true, Unknown},
		{"from the future", calm, -time.Minute, true, Unknown},
		{"never confirmed", calm, 0, false, Unknown},
	} {
		if got := c.rate.LevelAtAge(c.age, c.known); got != c.want {
			t.Errorf("%s: %s (p %.3f), want %s", c.name, got, c.rate.ProbUnchanged(c.age), c.want)
		}
	}
}

func TestDoubts(t *testing.T) {
	ids := []Identity{{Name: "a", Started: 5}, {Name: "b"}, {Name: "c"}, {Name: "new"}}
	d := NewVerifier(ids, map[string]time.Duration{"a": time.Minute, "b": 24 * time.Hour, "c": 10000 * time.Hour}, ChangeRate{})
	level := func(name string) Level { return d.entries[name].Level }
	if level("a") != Aged || level("b") != Doubted || level("c") != Unknown || level("new") != Unknown {
		t.Fatalf("%+v", d.Entries())
	}
	ask := d.StartProbes(0, 2)
	if len(ask) != 2 || ask[0].Name != "a" || ask[1].Name != "b" {
		t.Fatalf("asks %v", ask)
	}
	if more := d.StartProbes(0, 2); len(more) != 0 {
		t.Errorf("asks %v while two questions are out", more)
	}
	for _, c := range []struct {
		name    string
		what    Observation
		started int64
		want    Level
		changed bool
	}{
		{"a", Answered, 5, Fresh, true}, {"a", Answered, 5, Fresh, false}, {"a", Answered, 9, Fresh, true},
		{"b", TimedOut, 0, Doubted, false}, {"b", WrongBrick, 0, Contradicted, true}, {"b", TimedOut, 0, Contradicted, false}, {"b", Answered, 1, Fresh, true},
		{"c", ConnRefused, 0, Contradicted, true}, {"nobody", Answered, 0, Fresh, false},
	} {
		if changed := d.Observe(c.name, c.what, c.started, time.Second); changed != c.changed || c.name != "nobody" && level(c.name) != c.want {
			t.Errorf("%s saw %d: changed %v", c.name, c.what, changed)
		}
	}
	if d.entries["a"].Started != 9 {
		t.Error("a new start is not kept")
	}
	for _, e := range d.StartProbes(time.Second+askFirst-1, 10) {
		if e.Name == "c" {
			t.Error("c is asked again too soon")
		}
	}
	last := time.Duration(0)
	for i := range 20 { // waits grow to a bound
		d.Observe("c", ConnRefused, 0, 0)
		if next := d.entries["c"].NextProbe; next < last || next > askMost {
			t.Errorf("wait %d is %s after %s", i, next, last)
		} else {
			last = next
		}
	}
	if last != askMost {
		t.Errorf("the longest wait is %s", last)
	}
}

func TestGate(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name   string
		known  int
		offers []Offer
		want   []Decision
	}{
		{"grows", 0, []Offer{{"zk", 1, 3, 0}, {"zk", 1, 3, s}, {"zk", 2, 4, s}}, []Decision{Accept, Unchanged, Accept}},
		{"back for a moment", 0, []Offer{{"zk", 5, 3, 0}, {"zk", 4, 2, s}, {"zk", 5, 3, 2 * s}, {"zk", 4, 2, 32 * s}}, []Decision{Accept, Hold, Unchanged, Hold}},
		{"back for good", 0, []Offer{{"zk", 5, 3, 0}, {"zk", 4, 2, s}, {"zk", 4, 2, 32 * s}}, []Decision{Accept, Hold, Accept}},
		{"empty once", 3, []Offer{{"zk", 9, 0, 0}, {"zk", 10, 3, s}}, []Decision{Hold, Accept}},
		{"empty often but briefly", 3, []Offer{{"zk", 9, 0, 0}, {"zk", 9, 0, s}, {"zk", 9, 0, 2 * s}, {"zk", 9, 0, 3 * s}}, []Decision{Hold, Hold, Hold, Hold}},
		{"empty for good", 3, []Offer{{"zk", 9, 0, 0}, {"zk", 9, 0, 20 * s}, {"zk", 9, 0, 40 * s}}, []Decision{Hold, Hold, Accept}},
		{"empty, one brick, empty", 3, []Offer{{"zk", 9, 0, 0}, {"zk", 10, 1, 20 * s}, {"zk", 11, 0, 40 * s}}, []Decision{Hold, Accept, Hold}},
		{"empty where none is known", 0, []Offer{{"zk", 1, 0, 0}}, []Decision{Accept}},
		{"two within 100 ms", 3, []Offer{{"zk", 7, 2, 0}, {"zk", 8, 3, s / 10}}, []Decision{Accept, Accept}},
		{"another source begins anew", 0, []Offer{{"zk", 5, 3, 0}, {"file", 1, 3, s}}, []Decision{Accept, Accept}},
	} {
		g := NewGate(30*s, 30*s, 3, c.known)
		for i, o := range c.offers {
			if got, reason := g.Decide(o); got != c.want[i] || (got == Hold) != (reason != "") {
				t.Errorf("%s, offer %d: %d %q, want %d", c.name, i, got, reason, c.want[i])
			}
		}
	}
}

// Whatever comes in whatever order, nothing is sent to who was contradicted
// and has not answered since, and one question at a time is out to each.
func TestRandomEvidence(t *testing.T) {
	for seed := range int64(50) {
		rnd := rand.New(rand.NewSource(seed))
		names := []string{"a", "b", "c", "d", "e"}
		var ids []Identity
		age := map[string]time.Duration{}
		for _, n := range names {
			ids = append(ids, Identity{Name: n})
			age[n] = time.Duration(rnd.Int63n(int64(200 * time.Hour)))
		}
		d, now := NewVerifier(ids, age, ChangeRate{}), time.Duration(0)
		out, wrong := map[string]bool{}, map[string]bool{}
		for range 500 {
			now += time.Duration(rnd.Int63n(int64(time.Second)))
			for _, id := range d.StartProbes(now, 3) {
				if out[id.Name] {
					t.Fatalf("seed %d: two questions to %s", seed, id.Name)
				}
				out[id.Name] = true
			}
			if len(out) > 3 {
				t.Fatalf("seed %d: %d questions out", seed, len(out))
			}
			name, what := names[rnd.Intn(len(names))], Observation(rnd.Intn(4))
			d.Observe(name, what, 0, now)
			delete(out, name)
			wrong[name] = what != Answered && (wrong[name] || what != TimedOut)
			for _, e := range d.Entries() {
				if wrong[e.Name] && MayServe(e.Level) {
					t.Fatalf("seed %d: %s serves at %s", seed, e.Name, e.Level)
				}
			}
		}
	}
}
