package worstcase

import (
	"reflect"
	"testing"
)

func options() Options {
	return Options{Seed: 3, Candidates: 3, Workers: 4, Hosts: [2]int{3, 5}, Bricks: [2]int{2, 3}, Utilization: [2]float64{0.4, 0.9}, EventCount: [2]int{2, 4}, DurationSeconds: 14, MaxFindings: 1}
}

// A hunt finds the same days however many workers play it, and what it keeps
// is no longer than what it drew.
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
		t.Errorf("four workers found %+v, one found %+v", a, b)
	}
	whole := Generate(a[0].Seed, &opt)
	if len(a) != 1 || len(a[0].Scenario.Timeline) > len(whole.Timeline) || a[0].ShrinkRuns == 0 {
		t.Errorf("kept %+v", a)
	}
	if len(a[0].Violations) > 0 {
		t.Errorf("a rule is broken on seed %d: %v", a[0].Seed, a[0].Violations)
	}
}

// With a guard out a hunt finds a day that breaks the rule, and shrinks it to
// one that still does.
func TestHuntSeesABrokenRule(t *testing.T) {
	opt := options()
	opt.DisabledGuard, opt.Candidates, opt.EventCount = "drains", 6, [2]int{4, 5}
	days, err := Search(opt)
	if err != nil {
		t.Fatal(err)
	}
	if len(days) == 0 || len(days[0].Violations) == 0 {
		t.Fatal("nothing was found")
	}
	for _, e := range days[0].Scenario.Timeline {
		if e.Kind == "replace" {
			return
		}
	}
	t.Errorf("shrunk to a day without a drain: %+v", days[0].Scenario.Timeline)
}
