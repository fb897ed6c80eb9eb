package worstcase

import (
	"reflect"
	"testing"
)

func options() Options {
	return Options{Seed: 3, Candidates: 3, Workers: 4, Hosts: [2]int{3, 5}, Bricks: [2]int{2, 3}, Utilization: [2]float64{0.4, 0.9}, EventCount: [2]int{2, 4}, DurationSeconds: 14, MaxFindings: 1}
}

// TestHunt checks that a search finds the same scenarios with any number of
// workers, and that shrinking adds no events.
func TestHunt(t *testing.T) {
	opt := options()
	a, err := Search(opt)
	if err != nil {
		t.Fatal(err)
	}
	opt.Workers = 1
	b, err := Search(opt)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("four workers found %+v, one worker found %+v", a, b)
	}
	unshrunk := Generate(a[0].Seed, &opt)
	if len(a) != 1 || len(a[0].Scenario.Timeline) > len(unshrunk.Timeline) || a[0].ShrinkRuns == 0 {
		t.Errorf("findings: %+v", a)
	}
	if len(a[0].Violations) > 0 {
		t.Errorf("rule violations with seed %d: %v", a[0].Seed, a[0].Violations)
	}
}

// TestHuntSeesABrokenRule checks that, with a guard disabled, a search finds a
// scenario that violates the guard's rule, and that the shrunk scenario still
// holds the event that it takes.
func TestHuntSeesABrokenRule(t *testing.T) {
	opt := options()
	opt.DisabledGuard, opt.Candidates, opt.EventCount = "drains", 6, [2]int{4, 5}
	findings, err := Search(opt)
	if err != nil {
		t.Fatal(err)
	}
	if len(findings) == 0 || len(findings[0].Violations) == 0 {
		t.Fatal("no violation found")
	}
	for _, e := range findings[0].Scenario.Timeline {
		if e.Kind == "replace" {
			return
		}
	}
	t.Errorf("shrunk to a scenario without a drain: %+v", findings[0].Scenario.Timeline)
}
