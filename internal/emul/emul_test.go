package emul

import (
	"slices"
	"testing"

	"arrowwalk/internal/emul/scenario"
)

func play(t *testing.T, sc *scenario.Scenario, seed uint64) *Result {
	t.Helper()
	s, err := New(sc, seed)
	if err != nil {
		t.Fatal(err)
	}
	r, err := s.Run()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func find(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// The same scenario and seed give the same run; another seed another.
func TestSameSeedSameRun(t *testing.T) {
	sc := find(t, "host-crashes")
	a, b, c := play(t, sc, 5), play(t, sc, 5), play(t, sc, 6)
	if a.Hash != b.Hash || a.Events != b.Events {
		t.Errorf("one seed, two runs: %s and %s", a.Hash, b.Hash)
	}
	if a.Hash == c.Hash {
		t.Error("two seeds, one run")
	}
}

// always are the days that are played with the race detector too.
var always = []string{"cold-box", "stalled-host", "retry-storm", "waves"}

// The library's claims hold, for the seed they are shipped with.
func TestLibrary(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := find(t, name)
			if raceBuild && !slices.Contains(always, name) {
				t.Skip("without the race detector, or by arrowwalk rehearse --all")
			}
			r := play(t, sc, 0)
			for _, v := range r.CheckClaims(sc) {
				t.Log(v.Text)
				if !v.Holds {
					t.Errorf("broken: %s", v.Text)
				}
			}
			for _, b := range r.Violations {
				t.Log(b)
			}
		})
	}
}

// Each guard that is taken out is seen: the claims of the two hard cases can
// fail. A cold brick that hosts take for a warm one falls over; a host that is
// not told of drains sends on.
func TestGuardsAreSeen(t *testing.T) {
	for _, c := range []struct{ name, guard, policy, rule string }{
		{"cold-box", "cold", "", "cold bricks spared"},
		{"cold-box", "", "everything", "cold bricks spared"},
		{"stalled-host", "drains", "", "drains kept"},
	} {
		sc := find(t, c.name)
		sc.Site.DisabledGuard, sc.Policy = c.guard, c.policy
		if c.name == "cold-box" { // smaller, with the same load for each brick
			sc.Site.Hosts, sc.Site.Bricks, sc.Load.Volumes, sc.Seconds = 60, 10, 60, 35
			sc.Timeline[0].Count, sc.Load.Utilization, sc.Site.Brick.ColdMultiple = 2, 1.4, 1.5
		}
		if c.policy == "" { // with the guard in, the same day holds
			guard := sc.Site.DisabledGuard
			sc.Site.DisabledGuard = ""
			if r := play(t, sc, 0); !r.ClaimsHold(sc) {
				t.Errorf("%s with its guard: %v %v", c.name, r.Rules, r.Figures)
			}
			sc.Site.DisabledGuard = guard
		}
		r := play(t, sc, 0)
		broken := 0
		for _, v := range r.RuleVerdicts {
			if v.Rule == c.rule {
				broken = v.Count
			}
		}
		if broken == 0 || r.ClaimsHold(sc) {
			t.Errorf("%+v: nothing is seen: %v", c, r.Rules)
		}
	}
}

// A storm of retries on top of crashes ends with its cause under the module.
// Sending everything at once is seen to waste work on it.
func TestStormEnds(t *testing.T) {
	sc := find(t, "retry-storm")
	module := play(t, sc, 0)
	sc.Policy = "everything"
	plain := play(t, sc, 0)
	t.Logf("module: %v", module.Figures)
	t.Logf("everything: %v", plain.Figures)
	if module.Figures["service"] <= plain.Figures["service"] {
		t.Errorf("service %.3f, sending everything %.3f", module.Figures["service"], plain.Figures["service"])
	}
}
