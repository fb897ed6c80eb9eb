package trust

import (
	"math/rand"
	"testing"
	"time"
)

func TestRateAndLevels(t *testing.T) {
	list := func(names ...string) (inFlight []Identity) {
		for i, n := range names {
			inFlight = append(inFlight, Identity{Name: n, Address: n, Zone: "z", Shard: i})
		}
		return inFlight
	}
	stable, busy := ChangeRate{}, ChangeRate{}
	for range 100 {
		stable = stable.Update(list("a", "b", "c", "d"), list("a", "b", "c", "d"), time.Hour)
		busy = busy.Update(list("a", "b", "c", "d"), list("a", "b", "x", "d"), time.Hour)
	}
	if stable.Changes != 0 || busy.Changes != 100 || stable.BrickHours != 400 {
		t.Errorf("estimated %+v and %+v", stable, busy)
	}
	moved := list("a")
	moved[0].Zone = "other"
	if r := (ChangeRate{}).Update(list("a"), moved, time.Hour); r.Changes != 1 {
		t.Error("a move to another zone is not counted as a change")
	}
	for _, c := range []struct {
		name  string
		rate  ChangeRate
		age   time.Duration
		known bool
		want  Level
	}{
		{"a minute", ChangeRate{}, time.Minute, true, Aged},
		{"an hour of a site without history", ChangeRate{}, time.Hour, true, Aged},
		{"a day of a site without history", ChangeRate{}, 24 * time.Hour, true, Doubted},
		{"ten hours of a stable site", stable, 10 * time.Hour, true, Aged},
		{"an hour of a busy site", busy, time.Hour, true, Doubted},
		{"a day of a busy site", busy, 24 * time.Hour, true, Unknown},
		{"a year of a stable site", stable, 365 * 24 * time.Hour, true, Unknown},
		{"negative age", stable, -time.Minute, true, Unknown},
		{"never confirmed", stable, 0, false, Unknown},
	} {
		if got := c.rate.LevelAtAge(c.age, c.known); got != c.want {
			t.Errorf("%s: %s (p %.3f), want %s", c.name, got, c.rate.ProbUnchanged(c.age), c.want)
		}
	}
}

func TestDoubts(t *testing.T) {
	ids := []Identity{{Name: "a", Started: 5}, {Name: "b"}, {Name: "c"}, {Name: "new"}}
	verifier := NewVerifier(ids, map[string]time.Duration{"a": time.Minute, "b": 24 * time.Hour, "c": 10000 * time.Hour}, ChangeRate{})
	level := func(name string) Level { return verifier.entries[name].Level }
	if level("a") != Aged || level("b") != Doubted || level("c") != Unknown || level("new") != Unknown {
		t.Fatalf("%+v", verifier.Entries())
	}
	due := verifier.StartProbes(0, 2)
	if len(due) != 2 || due[0].Name != "a" || due[1].Name != "b" {
		t.Fatalf("probes %v", due)
	}
	if extra := verifier.StartProbes(0, 2); len(extra) != 0 {
		t.Errorf("probes %v while two probes are in flight", extra)
	}
	for _, c := range []struct {
		name    string
		result  Observation
		started int64
		want    Level
		changed bool
	}{
		{"a", Answered, 5, Fresh, true}, {"a", Answered, 5, Fresh, false}, {"a", Answered, 9, Fresh, true},
		{"b", TimedOut, 0, Doubted, false}, {"b", WrongBrick, 0, Contradicted, true}, {"b", TimedOut, 0, Contradicted, false}, {"b", Answered, 1, Fresh, true},
		{"c", ConnRefused, 0, Contradicted, true}, {"nobody", Answered, 0, Fresh, false},
	} {
		if changed := verifier.Observe(c.name, c.result, c.started, time.Second); changed != c.changed || c.name != "nobody" && level(c.name) != c.want {
			t.Errorf("%s, observation %d: changed %v", c.name, c.result, changed)
		}
	}
	if verifier.entries["a"].Started != 9 {
		t.Error("the new start time is not stored")
	}
	for _, e := range verifier.StartProbes(time.Second+minProbeDelay-1, 10) {
		if e.Name == "c" {
			t.Error("c is probed again too soon")
		}
	}
	last := time.Duration(0)
	for i := range 20 { // delays grow up to maxProbeDelay
		verifier.Observe("c", ConnRefused, 0, 0)
		if next := verifier.entries["c"].NextProbe; next < last || next > maxProbeDelay {
			t.Errorf("delay %d is %s after %s", i, next, last)
		} else {
			last = next
		}
	}
	if last != maxProbeDelay {
		t.Errorf("the longest delay is %s", last)
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
		{"grows", 0, []Offer{{"zk", 1, 3, 0, 0, 0}, {"zk", 1, 3, s, 0, 0}, {"zk", 2, 4, s, 0, 0}}, []Decision{Accept, Unchanged, Accept}},
		{"one by one to the last", 3, []Offer{{"zk", 5, 3, 0, 0, 1}, {"zk", 6, 2, s, 0, 1}, {"zk", 7, 1, s, 0, 1}, {"zk", 8, 0, s, 0, 1}}, []Decision{Accept, Accept, Accept, Accept}},
		{"two at once", 3, []Offer{{"zk", 5, 2, 0, 0, 1}, {"zk", 6, 0, s, 0, 1}}, []Decision{Accept, Hold}},
		{"another tree in its place", 3, []Offer{{"zk", 5, 1, 0, 0, 1}, {"zk", 6, 0, s, 0, 2}}, []Decision{Accept, Hold}},
		{"an old snapshot", 3, []Offer{{"zk", 5, 1, 0, 0, 1}, {"zk", 4, 0, s, 0, 1}}, []Decision{Accept, Hold}},
		{"the only brick of a cached list", 1, []Offer{{"zk", 5, 0, 0, 0, 1}}, []Decision{Hold}},
		{"other bricks under one version", 0, []Offer{{"zk", 1, 3, 0, 1, 0}, {"zk", 1, 3, s, 2, 0}, {"zk", 1, 3, s, 2, 0}}, []Decision{Accept, Accept, Unchanged}},
		{"older version, briefly", 0, []Offer{{"zk", 5, 3, 0, 0, 0}, {"zk", 4, 2, s, 0, 0}, {"zk", 5, 3, 2 * s, 0, 0}, {"zk", 4, 2, 32 * s, 0, 0}}, []Decision{Accept, Hold, Unchanged, Hold}},
		{"older version, permanently", 0, []Offer{{"zk", 5, 3, 0, 0, 0}, {"zk", 4, 2, s, 0, 0}, {"zk", 4, 2, 32 * s, 0, 0}}, []Decision{Accept, Hold, Accept}},
		{"empty once", 3, []Offer{{"zk", 9, 0, 0, 0, 0}, {"zk", 10, 3, s, 0, 0}}, []Decision{Hold, Accept}},
		{"empty, often but briefly", 3, []Offer{{"zk", 9, 0, 0, 0, 0}, {"zk", 9, 0, s, 0, 0}, {"zk", 9, 0, 2 * s, 0, 0}, {"zk", 9, 0, 3 * s, 0, 0}}, []Decision{Hold, Hold, Hold, Hold}},
		{"empty, permanently", 3, []Offer{{"zk", 9, 0, 0, 0, 0}, {"zk", 9, 0, 20 * s, 0, 0}, {"zk", 9, 0, 40 * s, 0, 0}}, []Decision{Hold, Hold, Accept}},
		{"empty, one brick, empty", 3, []Offer{{"zk", 9, 0, 0, 0, 0}, {"zk", 10, 1, 20 * s, 0, 0}, {"zk", 11, 0, 40 * s, 0, 0}}, []Decision{Hold, Accept, Hold}},
		{"empty while no brick is known", 0, []Offer{{"zk", 1, 0, 0, 0, 0}}, []Decision{Accept}},
		{"two within 100 ms", 3, []Offer{{"zk", 7, 2, 0, 0, 0}, {"zk", 8, 3, s / 10, 0, 0}}, []Decision{Accept, Accept}},
		{"another source with a lower version", 0, []Offer{{"zk", 5, 3, 0, 0, 0}, {"file", 1, 3, s, 0, 0}}, []Decision{Accept, Accept}},
	} {
		gate := NewGate(30*s, 30*s, 3, c.known)
		for i, o := range c.offers {
			if got, reason := gate.Decide(o); got != c.want[i] || (got == Hold) != (reason != "") {
				t.Errorf("%s, offer %d: %d %q, want %d", c.name, i, got, reason, c.want[i])
			}
		}
	}
}

// With random observations in random order, an entry that was contradicted must not
// serve before its brick has answered, and each brick must have at most one probe in
// flight.
func TestRandomEvidence(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		names := []string{"a", "b", "c", "d", "e"}
		var ids []Identity
		age := map[string]time.Duration{}
		for _, n := range names {
			ids = append(ids, Identity{Name: n})
			age[n] = time.Duration(random.Int63n(int64(200 * time.Hour)))
		}
		verifier, now := NewVerifier(ids, age, ChangeRate{}), time.Duration(0)
		inFlight, mustNotServe := map[string]bool{}, map[string]bool{}
		for range 500 {
			now += time.Duration(random.Int63n(int64(time.Second)))
			for _, id := range verifier.StartProbes(now, 3) {
				if inFlight[id.Name] {
					t.Fatalf("seed %d: two probes of %s in flight", seed, id.Name)
				}
				inFlight[id.Name] = true
			}
			if len(inFlight) > 3 {
				t.Fatalf("seed %d: %d probes in flight", seed, len(inFlight))
			}
			name, result := names[random.Intn(len(names))], Observation(random.Intn(4))
			verifier.Observe(name, result, 0, now)
			delete(inFlight, name)
			mustNotServe[name] = result != Answered && (mustNotServe[name] || result != TimedOut)
			for _, e := range verifier.Entries() {
				if mustNotServe[e.Name] && MayServe(e.Level) {
					t.Fatalf("seed %d: %s may serve at level %s", seed, e.Name, e.Level)
				}
			}
		}
	}
}
