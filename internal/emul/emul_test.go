package emul

import (
	"slices"
	"testing"

	"arrowwalk/internal/emul/scenario"
)

func runScenario(t *testing.T, sc *scenario.Scenario, seed uint64) *Result {
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

func loadScenario(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Find(name)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// TestSameSeedSameRun checks that a scenario and seed determine the run, and
// that another seed gives another run.
func TestSameSeedSameRun(t *testing.T) {
	sc := loadScenario(t, "host-crashes")
	a, b, c := runScenario(t, sc, 5), runScenario(t, sc, 5), runScenario(t, sc, 6)
	if a.Hash != b.Hash || a.Events != b.Events {
		t.Errorf("same seed, different hashes: %s and %s", a.Hash, b.Hash)
	}
	if a.Hash == c.Hash {
		t.Error("different seeds gave the same hash")
	}
}

// alwaysRun lists the scenarios that are also run with the race detector.
var alwaysRun = []string{"cold-box", "stalled-host", "retry-storm", "waves"}

// TestLibrary checks that the claims of each scenario in the library hold with
// the scenario's own seed.
func TestLibrary(t *testing.T) {
	for _, name := range scenario.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := loadScenario(t, name)
			if raceBuild && !slices.Contains(alwaysRun, name) {
				t.Skip("without the race detector, or by arrowwalk rehearse --all")
			}
			r := runScenario(t, sc, 0)
			for _, v := range r.CheckClaims(sc) {
				t.Log(v.Text)
				if !v.Holds {
					t.Errorf("claim does not hold: %s", v.Text)
				}
			}
			for _, b := range r.Violations {
				t.Log(b)
			}
		})
	}
}

// TestGuardsAreSeen checks that the claims of the cold-box and stalled-host
// scenarios fail when a guard is disabled: a cold brick that hosts treat as
// warm collapses, and a host that is not told of drains keeps sending.
func TestGuardsAreSeen(t *testing.T) {
	for _, c := range []struct{ name, guard, policy, rule string }{
		{"cold-box", "cold", "", "cold bricks spared"},
		{"cold-box", "", "everything", "cold bricks spared"},
		{"stalled-host", "drains", "", "drains kept"},
	} {
		sc := loadScenario(t, c.name)
		sc.Site.DisabledGuard, sc.Policy = c.guard, c.policy
		if c.name == "cold-box" { // a smaller site with the same load per brick
			sc.Site.Hosts, sc.Site.Bricks, sc.Load.Volumes, sc.Seconds = 60, 10, 60, 35
			sc.Timeline[0].Count, sc.Load.Utilization, sc.Site.Brick.ColdMultiple = 2, 1.4, 1.5
		}
		if c.policy == "" { // with the guard, the same scenario keeps its claims
			guard := sc.Site.DisabledGuard
			sc.Site.DisabledGuard = ""
			if r := runScenario(t, sc, 0); !r.ClaimsHold(sc) {
				t.Errorf("%s with its guard: %v %v", c.name, r.Rules, r.Figures)
			}
			sc.Site.DisabledGuard = guard
		}
		r := runScenario(t, sc, 0)
		violations := 0
		for _, v := range r.RuleVerdicts {
			if v.Rule == c.rule {
				violations = v.Count
			}
		}
		if violations == 0 || r.ClaimsHold(sc) {
			t.Errorf("%+v: no violation found: %v", c, r.Rules)
		}
	}
}

// TestStormEnds checks that the scheduler recovers from a retry storm during
// host crashes, and serves more than a policy that sends everything at once.
func TestStormEnds(t *testing.T) {
	sc := loadScenario(t, "retry-storm")
	module := runScenario(t, sc, 0)
	sc.Policy = "everything"
	everything := runScenario(t, sc, 0)
	t.Logf("module: %v", module.Figures)
	t.Logf("everything: %v", everything.Figures)
	if module.Figures["service"] <= everything.Figures["service"] {
		t.Errorf("service %.3f, sending everything %.3f", module.Figures["service"], everything.Figures["service"])
	}
}
