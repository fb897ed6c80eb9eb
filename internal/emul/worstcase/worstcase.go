// Package worstcase searches for the scenarios that harm service most: it runs
// random scenarios within given ranges and shrinks the worst of them to the
// events that matter.
package worstcase

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"arrowwalk/internal/emul"
	"arrowwalk/internal/emul/scenario"
)

// Options configures a search. Pairs are ranges with both ends included.
type Options struct {
	Seed            uint64
	Candidates      int // number of scenarios to run
	Workers         int // concurrent runs
	Hosts           [2]int
	Bricks          [2]int
	Utilization     [2]float64 // fraction of the warm bricks' capacity
	EventCount      [2]int     // events per scenario
	DurationSeconds float64
	MaxFindings     int    // number of worst scenarios to return
	DisabledGuard   string // guard that the hosts run without, see scenario.Site
}

// Finding is a scenario with the harm that its events do.
type Finding struct {
	Seed        uint64             `json:"seed"`
	Scenario    *scenario.Scenario `json:"scenario"`
	ServiceLoss float64            `json:"loss"` // service without the scenario's events, minus service with them
	Violations  []string           `json:"broken,omitempty"`
	ShrinkRuns  int                `json:"runs"` // runs that shrinking took
}

// Search runs random scenarios and returns the worst ones, shrunk. Scenarios
// that violate a rule come first, then those with the largest loss of service.
func Search(opt Options) ([]Finding, error) {
	findings := make([]Finding, opt.Candidates)
	err := forEach(opt.Workers, opt.Candidates, func(i int) error {
		seed := opt.Seed*1_000_003 + uint64(i)
		sc := Generate(seed, &opt)
		loss, violations, err := evaluate(sc)
		findings[i] = Finding{Seed: seed, Scenario: sc, ServiceLoss: loss, Violations: violations}
		return err
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(min(1, len(b.Violations)), min(1, len(a.Violations))), cmp.Compare(b.ServiceLoss, a.ServiceLoss))
	})
	findings = findings[:min(opt.MaxFindings, len(findings))]
	err = forEach(opt.Workers, len(findings), func(i int) error { return Shrink(&findings[i]) })
	return findings, err
}

// forEach calls run for each index below n from the given number of goroutines,
// and returns an error after which it stopped.
func forEach(workers, n int, run func(int) error) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	next := 0
	for range max(1, workers) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				i := next
				next++
				stop := failed != nil
				mu.Unlock()
				if i >= n || stop {
					return
				}
				if err := run(i); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	return failed
}

// troubleRanges holds the ranges from which the parameters of events are drawn,
// by kind. Durations are in seconds.
var troubleRanges = []struct {
	kind                  string
	share, factor         [2]float64
	duration              [2]float64 // seconds
	lengthMS, intervalMS  [2]int
	needsZone, needsCount bool
}{
	{kind: "slow", share: [2]float64{0.1, 0.4}, factor: [2]float64{2, 8}, duration: [2]float64{5, 20}},
	{kind: "still", share: [2]float64{0.1, 0.6}, duration: [2]float64{5, 20}, lengthMS: [2]int{50, 300}, intervalMS: [2]int{1500, 5000}},
	{kind: "fail", share: [2]float64{0.1, 0.3}, factor: [2]float64{0.3, 0.95}, duration: [2]float64{5, 20}},
	{kind: "lose", share: [2]float64{0.1, 0.5}, factor: [2]float64{0.02, 0.3}, duration: [2]float64{5, 20}},
	{kind: "mute", share: [2]float64{0.05, 0.15}},
	{kind: "replace", share: [2]float64{0.1, 0.4}, duration: [2]float64{3, 12}},
	{kind: "crash_hosts", share: [2]float64{0.1, 0.5}, lengthMS: [2]int{1000, 8000}},
	{kind: "stall_hosts", share: [2]float64{0.1, 0.9}, duration: [2]float64{5, 20}, lengthMS: [2]int{300, 2000}, intervalMS: [2]int{2500, 4000}},
	{kind: "surge", factor: [2]float64{1.4, 2.6}, duration: [2]float64{3, 12}},
	{kind: "heavy", factor: [2]float64{0.1, 0.7}, duration: [2]float64{5, 20}, needsCount: true},
	{kind: "impatient", share: [2]float64{0.2, 1}, factor: [2]float64{3, 11}, duration: [2]float64{5, 20}},
	{kind: "list_down", duration: [2]float64{5, 20}},
	{kind: "list_half", duration: [2]float64{5, 20}},
	{kind: "cut_bricks", duration: [2]float64{3, 10}, needsZone: true},
	{kind: "cut_list", duration: [2]float64{5, 20}, needsZone: true},
	{kind: "late_reports", duration: [2]float64{5, 20}, lengthMS: [2]int{1000, 4000}},
}

// Generate returns the random scenario of a seed.
func Generate(seed uint64, opt *Options) *scenario.Scenario {
	random := rand.New(rand.NewPCG(seed, 9))
	drawFloat := func(of [2]float64) float64 {
		return math.Round((of[0]+random.Float64()*(of[1]-of[0]))*100) / 100
	}
	drawInt := func(of [2]int) int { return of[0] + random.IntN(max(0, of[1]-of[0])+1) }
	s := scenario.Default()
	s.Name, s.Seed, s.Seconds = fmt.Sprintf("hunt-%d", seed), seed%(1<<40)+1, opt.DurationSeconds
	s.Site.Hosts, s.Site.Bricks, s.Load.Utilization, s.Site.DisabledGuard = drawInt(opt.Hosts), drawInt(opt.Bricks), drawFloat(opt.Utilization), opt.DisabledGuard
	s.Load.Volumes = s.Site.Bricks * (4 + random.IntN(5))
	s.Load.Retries = random.IntN(2)
	for range drawInt(opt.EventCount) {
		ranges := troubleRanges[random.IntN(len(troubleRanges))]
		e := scenario.Event{Kind: ranges.kind, At: drawFloat([2]float64{5, opt.DurationSeconds * 0.6}), Duration: drawFloat(ranges.duration), Share: drawFloat(ranges.share), Factor: drawFloat(ranges.factor),
			LengthMS: drawInt(ranges.lengthMS), IntervalMS: drawInt(ranges.intervalMS)}
		if ranges.needsZone {
			e.Zone = random.IntN(s.Site.Zones)
		}
		if ranges.needsCount {
			e.Count = 1 + random.IntN(4)
		}
		s.Timeline = append(s.Timeline, e)
	}
	slices.SortStableFunc(s.Timeline, func(a, b scenario.Event) int { return cmp.Compare(a.At, b.At) })
	return s
}

// run simulates a scenario with its own seed.
func run(sc *scenario.Scenario) (*emul.Result, error) {
	sim, err := emul.New(sc, 0)
	if err != nil {
		return nil, err
	}
	return sim.Run()
}

// evaluate simulates a scenario with and without its events, and returns the
// difference in service and the rule violations.
func evaluate(sc *scenario.Scenario) (loss float64, violations []string, err error) {
	r, err := run(sc)
	if err != nil {
		return 0, nil, err
	}
	withoutTroubles := *sc
	withoutTroubles.Timeline = nil
	baseline, err := run(&withoutTroubles)
	if err != nil {
		return 0, nil, err
	}
	return baseline.Figures["service"] - r.Figures["service"], r.Violations, nil
}

// Shrink removes the events without which the scenario is as bad, and then
// halves durations and shares as long as it stays as bad: it still violates a
// rule, or it keeps 90% of its loss of service.
func Shrink(finding *Finding) error {
	isStillBad := func(sc *scenario.Scenario) (bool, error) {
		finding.ShrinkRuns++
		loss, violations, err := evaluate(sc)
		if len(finding.Violations) > 0 {
			return len(violations) > 0, err
		}
		return loss >= 0.9*finding.ServiceLoss, err
	}
	for changed := true; changed; {
		changed = false
		for i := len(finding.Scenario.Timeline) - 1; i >= 0; i-- {
			candidate := *finding.Scenario
			candidate.Timeline = slices.Delete(slices.Clone(finding.Scenario.Timeline), i, i+1)
			stillBad, err := isStillBad(&candidate)
			if err != nil {
				return err
			}
			if stillBad {
				finding.Scenario, changed = &candidate, true
			}
		}
	}
	for i := range finding.Scenario.Timeline {
		for _, halve := range []func(*scenario.Event){func(e *scenario.Event) { e.Duration /= 2 }, func(e *scenario.Event) { e.Share /= 2 }} {
			candidate := *finding.Scenario
			candidate.Timeline = slices.Clone(finding.Scenario.Timeline)
			halve(&candidate.Timeline[i])
			if stillBad, err := isStillBad(&candidate); err != nil {
				return err
			} else if stillBad {
				finding.Scenario = &candidate
			}
		}
	}
	loss, violations, err := evaluate(finding.Scenario)
	finding.ServiceLoss = loss
	if len(finding.Violations) > 0 {
		finding.Violations = violations
	}
	return err
}
