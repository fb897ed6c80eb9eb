// Package hunt searches for bad days: random scenarios out of ranges, the worst
// first, each shrunk to what matters.
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

// Options of a hunt.
type Options struct {
	Seed            uint64
	Candidates      int
	Workers         int
	Hosts           [2]int
	Bricks          [2]int
	Utilization     [2]float64
	EventCount      [2]int
	DurationSeconds float64
	MaxFindings     int // of the worst days
	DisabledGuard   string
}

// Finding is a day that was found.
type Finding struct {
	Seed        uint64             `json:"seed"`
	Scenario    *scenario.Scenario `json:"scenario"`
	ServiceLoss float64            `json:"loss"` // service of the same day without its troubles, less its own
	Violations  []string           `json:"broken,omitempty"`
	ShrinkRuns  int                `json:"runs"` // that shrinking took
}

// Search plays random days on all workers, and returns the worst, shrunk.
func Search(opt Options) ([]Finding, error) {
	days := make([]Finding, opt.Candidates)
	err := each(opt.Workers, opt.Candidates, func(i int) error {
		seed := opt.Seed*1_000_003 + uint64(i)
		sc := Generate(seed, &opt)
		loss, broken, err := judge(sc)
		days[i] = Finding{Seed: seed, Scenario: sc, ServiceLoss: loss, Violations: broken}
		return err
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(days, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(min(1, len(b.Violations)), min(1, len(a.Violations))), cmp.Compare(b.ServiceLoss, a.ServiceLoss))
	})
	days = days[:min(opt.MaxFindings, len(days))]
	err = each(opt.Workers, len(days), func(i int) error { return Shrink(&days[i]) })
	return days, err
}

func each(workers, n int, do func(int) error) error {
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
				if err := do(i); err != nil {
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

// troubles are what days are drawn from: ranges for each kind.
var troubles = []struct {
	kind          string
	share, by     [2]float64
	span          [2]float64 // seconds
	ms, every     [2]int
	zoned, counts bool
}{
	{kind: "slow", share: [2]float64{0.1, 0.4}, by: [2]float64{2, 8}, span: [2]float64{5, 20}},
	{kind: "still", share: [2]float64{0.1, 0.6}, span: [2]float64{5, 20}, ms: [2]int{50, 300}, every: [2]int{1500, 5000}},
	{kind: "fail", share: [2]float64{0.1, 0.3}, by: [2]float64{0.3, 0.95}, span: [2]float64{5, 20}},
	{kind: "lose", share: [2]float64{0.1, 0.5}, by: [2]float64{0.02, 0.3}, span: [2]float64{5, 20}},
	{kind: "mute", share: [2]float64{0.05, 0.15}},
	{kind: "replace", share: [2]float64{0.1, 0.4}, span: [2]float64{3, 12}},
	{kind: "crash_hosts", share: [2]float64{0.1, 0.5}, ms: [2]int{1000, 8000}},
	{kind: "stall_hosts", share: [2]float64{0.1, 0.9}, span: [2]float64{5, 20}, ms: [2]int{300, 2000}, every: [2]int{2500, 4000}},
	{kind: "surge", by: [2]float64{1.4, 2.6}, span: [2]float64{3, 12}},
	{kind: "heavy", by: [2]float64{0.1, 0.7}, span: [2]float64{5, 20}, counts: true},
	{kind: "impatient", share: [2]float64{0.2, 1}, by: [2]float64{3, 11}, span: [2]float64{5, 20}},
	{kind: "list_down", span: [2]float64{5, 20}},
	{kind: "list_half", span: [2]float64{5, 20}},
	{kind: "cut_bricks", span: [2]float64{3, 10}, zoned: true},
	{kind: "cut_list", span: [2]float64{5, 20}, zoned: true},
	{kind: "late_reports", span: [2]float64{5, 20}, ms: [2]int{1000, 4000}},
}

// Generate makes a day of a seed.
func Generate(seed uint64, opt *Options) *scenario.Scenario {
	rnd := rand.New(rand.NewPCG(seed, 9))
	number := func(of [2]float64) float64 {
		return math.Round((of[0]+rnd.Float64()*(of[1]-of[0]))*100) / 100
	}
	whole := func(of [2]int) int { return of[0] + rnd.IntN(max(0, of[1]-of[0])+1) }
	s := scenario.Default()
	s.Name, s.Seed, s.Seconds = fmt.Sprintf("hunt-%d", seed), seed%(1<<40)+1, opt.DurationSeconds
	s.Site.Hosts, s.Site.Bricks, s.Load.Utilization, s.Site.DisabledGuard = whole(opt.Hosts), whole(opt.Bricks), number(opt.Utilization), opt.DisabledGuard
	s.Load.Volumes = s.Site.Bricks * (4 + rnd.IntN(5))
	s.Load.Retries = rnd.IntN(2)
	for range whole(opt.EventCount) {
		t := troubles[rnd.IntN(len(troubles))]
		e := scenario.Event{Kind: t.kind, At: number([2]float64{5, opt.DurationSeconds * 0.6}), Duration: number(t.span), Share: number(t.share), Factor: number(t.by),
			LengthMS: whole(t.ms), IntervalMS: whole(t.every)}
		if t.zoned {
			e.Zone = rnd.IntN(s.Site.Zones)
		}
		if t.counts {
			e.Count = 1 + rnd.IntN(4)
		}
		s.Timeline = append(s.Timeline, e)
	}
	slices.SortStableFunc(s.Timeline, func(a, b scenario.Event) int { return cmp.Compare(a.At, b.At) })
	return s
}

func run(sc *scenario.Scenario) (*emul.Result, error) {
	sim, err := emul.New(sc, 0)
	if err != nil {
		return nil, err
	}
	return sim.Run()
}

// judge plays a day and the same day without its troubles.
func judge(sc *scenario.Scenario) (loss float64, broken []string, err error) {
	r, err := run(sc)
	if err != nil {
		return 0, nil, err
	}
	quiet := *sc
	quiet.Timeline = nil
	q, err := run(&quiet)
	if err != nil {
		return 0, nil, err
	}
	return q.Figures["service"] - r.Figures["service"], r.Violations, nil
}

// Shrink takes out of a day what does not matter: troubles without which it is
// as bad, within a tenth, and then halves spans and shares.
func Shrink(d *Finding) error {
	bad := func(sc *scenario.Scenario) (bool, error) {
		d.ShrinkRuns++
		loss, broken, err := judge(sc)
		if len(d.Violations) > 0 {
			return len(broken) > 0, err
		}
		return loss >= 0.9*d.ServiceLoss, err
	}
	for again := true; again; {
		again = false
		for i := len(d.Scenario.Timeline) - 1; i >= 0; i-- {
			try := *d.Scenario
			try.Timeline = slices.Delete(slices.Clone(d.Scenario.Timeline), i, i+1)
			still, err := bad(&try)
			if err != nil {
				return err
			}
			if still {
				d.Scenario, again = &try, true
			}
		}
	}
	for i := range d.Scenario.Timeline {
		for _, halve := range []func(*scenario.Event){func(e *scenario.Event) { e.Duration /= 2 }, func(e *scenario.Event) { e.Share /= 2 }} {
			try := *d.Scenario
			try.Timeline = slices.Clone(d.Scenario.Timeline)
			halve(&try.Timeline[i])
			if still, err := bad(&try); err != nil {
				return err
			} else if still {
				d.Scenario = &try
			}
		}
	}
	loss, broken, err := judge(d.Scenario)
	d.ServiceLoss = loss
	if len(d.Violations) > 0 {
		d.Violations = broken
	}
	return err
}
