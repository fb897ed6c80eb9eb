package emul

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowwalk"
	"arrowwalk/internal/emul/scenario"
	"arrowwalk/internal/rules"
)

// SecondTotals sums up the requests whose first try was sent in one second.
type SecondTotals struct {
	MaxWorth    float64 `json:"due"` // worth if every request met its aim
	EarnedWorth float64 `json:"got"`
	Served      int     `json:"served"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Late        int     `json:"late"` // served after the aim
}

// Sample is a snapshot of the load at each shard and of the volumes' quadrants
// on the first eight hosts.
type Sample struct {
	At        float64        `json:"at"`    // seconds since the start
	Queued    []int          `json:"queue"` // requests waiting at the brick, by shard
	InFlight  []int          `json:"out"`   // attempts in flight, by shard
	Quadrants map[string]int `json:"quadrants,omitempty"`
}

// WorthTotals sums up the worth of the requests of one plan.
type WorthTotals struct {
	MaxWorth    float64 `json:"due"`
	EarnedWorth float64 `json:"got"`
}

// Result is the outcome of a run. Trace and RuleVerdicts are not part of the
// JSON.
type Result struct {
	Scenario        string                  `json:"scenario"`
	Seed            uint64                  `json:"seed"`
	Policy          string                  `json:"policy"`
	Hash            string                  `json:"hash"` // over all attempts that reached a brick and all client calls
	Events          int64                   `json:"events"`
	Figures         map[string]float64      `json:"figures"`
	Plans           map[string]*WorthTotals `json:"plans"`
	Seconds         []SecondTotals          `json:"seconds"`
	Samples         []Sample                `json:"samples"`
	Latency         [][2]float64            `json:"latency"` // milliseconds and fraction of the requests
	Rules           []string                `json:"rules"`
	Violations      []string                `json:"broken,omitempty"`
	CollapsedBricks []string                `json:"fallen,omitempty"`

	Trace        *rules.Trace    `json:"-"`
	RuleVerdicts []rules.Verdict `json:"-"`

	work, wasted     float64
	latencies        *hdrhistogram.Histogram
	inTime, requests int
}

func (r *Result) init(s *scenario.Scenario) {
	r.Scenario, r.Seed, r.Policy = s.Name, s.Seed, s.Policy
	r.Seconds = make([]SecondTotals, int(math.Ceil(s.Seconds))+1)
	r.Plans = map[string]*WorthTotals{}
	for _, p := range s.Load.Plans {
		r.Plans[p.Name] = &WorthTotals{}
	}
	r.latencies = hdrhistogram.New(1, 600_000_000, 3)
}

func (r *Result) secondAt(at int64) *SecondTotals {
	return &r.Seconds[min(int((at-startTime)/1_000_000), len(r.Seconds)-1)]
}

// requestWorth returns the worth of a request that is answered within its aim.
func (s *Sim) requestWorth(q *request) float64 {
	return s.requestClass(q).Worth * s.scenario.Load.Plans[q.volume.plan].WorthFactor * q.units / s.scenario.MeanUnits()
}

func (s *Sim) requestClass(q *request) *scenario.Class {
	if q.class == classWrite {
		return &s.scenario.Load.Write
	}
	return &s.scenario.Load.Read
}

// recordDue counts a client's first try in the second in which it was sent.
func (r *Result) recordDue(s *Sim, q *request) {
	w := s.requestWorth(q)
	r.secondAt(q.createdAt).MaxWorth += w
	r.Plans[s.scenario.Load.Plans[q.volume.plan].Name].MaxWorth += w
	q.volume.dueWorth += w
	r.requests++
}

// recordServed counts a served request in the second of its first try.
func (r *Result) recordServed(s *Sim, q *request) {
	took := s.now - q.createdAt
	w, second := s.requestWorth(q), r.secondAt(q.createdAt)
	second.Served++
	r.latencies.RecordValue(max(1, took))
	if took > int64(s.requestClass(q).AimMS)*1000 {
		w *= s.requestClass(q).LateWorth
		second.Late++
	} else {
		r.inTime++
	}
	second.EarnedWorth += w
	r.Plans[s.scenario.Load.Plans[q.volume.plan].Name].EarnedWorth += w
	q.volume.earnedWorth += w
}

// recordUnserved counts a refused or failed request in the second of its first
// try.
func (r *Result) recordUnserved(s *Sim, q *request, status int) {
	if status == 503 {
		r.secondAt(q.createdAt).Refused++
	} else {
		r.secondAt(q.createdAt).Failed++
	}
}

// recordSample takes a sample and schedules the next one a second later.
func (s *Sim) recordSample() {
	sample := Sample{At: float64(s.now-startTime) / 1e6, Quadrants: map[string]int{}}
	for shard := range s.shardBricks {
		queue, out := 0, 0
		if i := s.shardBricks[shard]; i >= 0 {
			queue = s.bricks[i].QueueLen()
		}
		sample.Queued, sample.InFlight = append(sample.Queued, queue), append(sample.InFlight, out)
	}
	for _, h := range s.hosts {
		for _, q := range h.requests {
			if att := q.running; att != nil {
				sample.InFlight[s.bricks[att.brick].Shard]++
			}
		}
		viewer, ok := h.scheduler.(interface {
			View() ([]arrowwalk.NodeView, []arrowwalk.VolumeView)
		})
		if ok && h.up && h.id < 8 {
			_, volumes := viewer.View()
			for _, v := range volumes {
				sample.Quadrants[v.Quadrant]++
			}
		}
	}
	s.result.Samples = append(s.result.Samples, sample)
	s.push(s.now+1_000_000, event{kind: evSample})
}

// buildResult computes the figures and checks the rules.
func (s *Sim) buildResult() *Result {
	r := &s.result
	r.Hash = fmt.Sprintf("%016x", s.digest.Sum64())
	r.Events = s.events
	// Requests sent so late that they may not have ended are left out.
	maxDeadlineSeconds := max(s.scenario.Load.Read.DeadlineMS, s.scenario.Load.Write.DeadlineMS)/1000 + 1
	r.Seconds = r.Seconds[:max(1, len(r.Seconds)-1-maxDeadlineSeconds)]
	f := map[string]float64{}
	var due, got float64
	var served, refused, failed int
	for _, second := range r.Seconds {
		due, got = due+second.MaxWorth, got+second.EarnedWorth
		served, refused, failed = served+second.Served, refused+second.Refused, failed+second.Failed
	}
	all := float64(max(1, served+refused+failed))
	f["service"], f["served"], f["refused"], f["failed"] = got/max(due, 1e-9), float64(served)/all, float64(refused)/all, float64(failed)/all
	f["in_time"] = float64(r.inTime) / float64(max(1, r.requests))
	f["p50_ms"], f["p99_ms"] = float64(r.latencies.ValueAtQuantile(50))/1000, float64(r.latencies.ValueAtQuantile(99))/1000
	f["wasted"] = r.wasted / max(r.work, 1)
	f["worst_10s"] = worstService(r.Seconds, 10)
	f["recover_s"] = s.recoverySeconds()
	f["jain"] = jainIndex(s.volumes)
	for _, b := range s.bricks {
		if b.Collapsed {
			r.CollapsedBricks = append(r.CollapsedBricks, b.Name)
		}
	}
	f["fallen"] = float64(len(r.CollapsedBricks))
	r.Figures = f
	for q := 0.5; q < 100; q += 0.5 {
		r.Latency = append(r.Latency, [2]float64{float64(r.latencies.ValueAtQuantile(q)) / 1000, q / 100})
	}
	s.checkRules(r)
	return r
}

// checkRules checks the trace against the rules and adds the verdicts to the
// result.
func (s *Sim) checkRules(r *Result) {
	b := &s.scenario.Site.Brick
	s.trace.Figures = rules.Figures{Slack: callSlack, DrainGrace: int64(s.scenario.Site.DrainGraceMS) * 1000, Window: int64(s.scenario.Site.DedupWindowMS) * 1000,
		ColdFrom: b.ColdCapacity, WarmWithin: int64(b.WarmUpMS) * 1000, ColdMultiple: b.ColdMultiple, ColdSpan: 1_000_000, ColdUnits: b.ColdUnits}
	r.Trace = &s.trace
	r.RuleVerdicts = rules.Check(&s.trace)
	for _, v := range r.RuleVerdicts {
		r.Rules = append(r.Rules, v.String())
		r.Violations = append(r.Violations, v.Broken...)
	}
}

// worstService returns the lowest service of any span consecutive seconds.
func worstService(list []SecondTotals, span int) float64 {
	least := 1.0
	for i := 0; i+span <= len(list); i++ {
		least = min(least, serviceOf(list[i:i+span]))
	}
	return least
}

// serviceOf returns the earned fraction of the worth that was due.
func serviceOf(list []SecondTotals) float64 {
	var due, got float64
	for _, second := range list {
		due, got = due+second.MaxWorth, got+second.EarnedWorth
	}
	if due == 0 {
		return 1
	}
	return got / due
}

// recoverySeconds returns how many seconds after the end of the last trouble
// the service, over three seconds, is again at 90% of what it was before the
// first trouble. If it never is, the rest of the run counts.
func (s *Sim) recoverySeconds() float64 {
	if s.troublesEnd == 0 {
		return 0
	}
	seconds := s.result.Seconds
	first := int((s.troublesStart - startTime) / 1_000_000)
	before := serviceOf(seconds[min(3, first):min(max(first, 4), len(seconds))])
	end := int((s.troublesEnd - startTime + 999_999) / 1_000_000)
	for i := end; i+3 <= len(seconds); i++ {
		if serviceOf(seconds[i:i+3]) >= 0.9*before {
			return float64(i - end)
		}
	}
	return float64(max(1, len(seconds)-end))
}

// jainIndex returns Jain's fairness index over the fraction of its due worth
// that each volume earned.
func jainIndex(volumes []*volume) float64 {
	var sum, squares, n float64
	for _, v := range volumes {
		if v.dueWorth > 0 {
			x := v.earnedWorth / v.dueWorth
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// ClaimResult tells whether a claim of the scenario holds.
type ClaimResult struct {
	Text  string
	Holds bool
}

// CheckClaims evaluates the scenario's claims.
func (r *Result) CheckClaims(s *scenario.Scenario) []ClaimResult {
	var out []ClaimResult
	for _, c := range s.Claims {
		if c.Figure != "" {
			v := r.Figures[c.Figure]
			text := fmt.Sprintf("claim %s %.3f", c.Figure, v)
			good := true
			if c.Min != nil {
				text += fmt.Sprintf(", at least %g", *c.Min)
				good = good && v >= *c.Min
			}
			if c.Max != nil {
				text += fmt.Sprintf(", at most %g", *c.Max)
				good = good && v <= *c.Max
			}
			out = append(out, ClaimResult{text, good})
			continue
		}
		for _, v := range r.RuleVerdicts {
			if c.Rule == "all" || c.Rule == v.Rule {
				out = append(out, ClaimResult{v.String(), v.Count == 0})
			}
		}
	}
	return out
}

// ClaimsHold reports whether all claims hold.
func (r *Result) ClaimsHold(s *scenario.Scenario) bool {
	return !slices.ContainsFunc(r.CheckClaims(s), func(v ClaimResult) bool { return !v.Holds })
}
