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

// SecondTotals is what became of the requests that were born in one second.
type SecondTotals struct {
	MaxWorth    float64 `json:"due"` // worth
	EarnedWorth float64 `json:"got"`
	Served      int     `json:"served"`
	Refused     int     `json:"refused"`
	Failed      int     `json:"failed"`
	Late        int     `json:"late"` // served after the aim
}

// Sample is a look at the bricks and at volumes' quadrants.
type Sample struct {
	At        float64        `json:"at"` // seconds
	Queued    []int          `json:"queue"`
	InFlight  []int          `json:"out"`
	Quadrants map[string]int `json:"quadrants,omitempty"`
}

// WorthTotals is what became of the requests of one class, plan or volume.
type WorthTotals struct {
	MaxWorth    float64 `json:"due"`
	EarnedWorth float64 `json:"got"`
}

// Result is what came of a run. All but the trace is in the JSON.
type Result struct {
	Scenario        string                  `json:"scenario"`
	Seed            uint64                  `json:"seed"`
	Policy          string                  `json:"policy"`
	Hash            string                  `json:"hash"` // of all sends and answers
	Events          int64                   `json:"events"`
	Figures         map[string]float64      `json:"figures"`
	Plans           map[string]*WorthTotals `json:"plans"`
	Seconds         []SecondTotals          `json:"seconds"`
	Samples         []Sample                `json:"samples"`
	Latency         [][2]float64            `json:"latency"` // milliseconds and part of the requests
	Rules           []string                `json:"rules"`
	Violations      []string                `json:"broken,omitempty"`
	CollapsedBricks []string                `json:"fallen,omitempty"`

	Trace        *rules.Trace    `json:"-"`
	RuleVerdicts []rules.Verdict `json:"-"`

	work, wasted float64
	hist         *hdrhistogram.Histogram
	inTime, all  int
}

func (r *Result) init(s *scenario.Scenario) {
	r.Scenario, r.Seed, r.Policy = s.Name, s.Seed, s.Policy
	r.Seconds = make([]SecondTotals, int(math.Ceil(s.Seconds))+1)
	r.Plans = map[string]*WorthTotals{}
	for _, p := range s.Load.Plans {
		r.Plans[p.Name] = &WorthTotals{}
	}
	r.hist = hdrhistogram.New(1, 600_000_000, 3)
}

func (r *Result) second(at int64) *SecondTotals {
	return &r.Seconds[min(int((at-base)/1_000_000), len(r.Seconds)-1)]
}

// worth is what a request is worth when it is answered within its aim.
func (s *Sim) worth(q *request) float64 {
	return s.class(q).Worth * s.s.Load.Plans[q.volume.plan].WorthFactor * q.units / s.s.MeanUnits()
}

func (s *Sim) class(q *request) *scenario.Class {
	if q.class == classWrite {
		return &s.s.Load.Write
	}
	return &s.s.Load.Read
}

// due counts a client's first try, into the second in which it was born.
func (r *Result) due(s *Sim, q *request) {
	w := s.worth(q)
	r.second(q.born).MaxWorth += w
	r.Plans[s.s.Load.Plans[q.volume.plan].Name].MaxWorth += w
	q.volume.due += w
	r.all++
}

func (r *Result) served(s *Sim, q *request) {
	took := s.now - q.born
	w, sec := s.worth(q), r.second(q.born)
	sec.Served++
	r.hist.RecordValue(max(1, took))
	if took > int64(s.class(q).AimMS)*1000 {
		w *= s.class(q).LateWorth
		sec.Late++
	} else {
		r.inTime++
	}
	sec.EarnedWorth += w
	r.Plans[s.s.Load.Plans[q.volume.plan].Name].EarnedWorth += w
	q.volume.got += w
}

func (r *Result) lost(s *Sim, q *request, status int) {
	if status == 503 {
		r.second(q.born).Refused++
	} else {
		r.second(q.born).Failed++
	}
}

// sample notes figures once a second.
func (s *Sim) sample() {
	one := Sample{At: float64(s.now-base) / 1e6, Quadrants: map[string]int{}}
	for shard := range s.shards {
		queue, out := 0, 0
		if i := s.shards[shard]; i >= 0 {
			queue = s.bricks[i].QueueLen()
		}
		one.Queued, one.InFlight = append(one.Queued, queue), append(one.InFlight, out)
	}
	for _, h := range s.hosts {
		for _, q := range h.requests {
			if at := q.running; at != nil {
				one.InFlight[s.bricks[at.brick].Shard]++
			}
		}
		viewer, ok := h.decider.(interface {
			View() ([]arrowwalk.NodeView, []arrowwalk.VolumeView)
		})
		if ok && h.up && h.id < 8 {
			_, volumes := viewer.View()
			for _, v := range volumes {
				one.Quadrants[v.Quadrant]++
			}
		}
	}
	s.result.Samples = append(s.result.Samples, one)
	s.push(s.now+1_000_000, event{kind: evSample})
}

// finish works out the figures and checks the rules.
func (s *Sim) finish() *Result {
	r := &s.result
	r.Hash = fmt.Sprintf("%016x", s.digest.Sum64())
	r.Events = s.events
	// What was born too late to have ended is left out.
	patience := max(s.s.Load.Read.DeadlineMS, s.s.Load.Write.DeadlineMS)/1000 + 1
	r.Seconds = r.Seconds[:max(1, len(r.Seconds)-1-patience)]
	f := map[string]float64{}
	var due, got float64
	var served, refused, failed int
	for _, sec := range r.Seconds {
		due, got = due+sec.MaxWorth, got+sec.EarnedWorth
		served, refused, failed = served+sec.Served, refused+sec.Refused, failed+sec.Failed
	}
	all := float64(max(1, served+refused+failed))
	f["service"], f["served"], f["refused"], f["failed"] = got/max(due, 1e-9), float64(served)/all, float64(refused)/all, float64(failed)/all
	f["in_time"] = float64(r.inTime) / float64(max(1, r.all))
	f["p50_ms"], f["p99_ms"] = float64(r.hist.ValueAtQuantile(50))/1000, float64(r.hist.ValueAtQuantile(99))/1000
	f["wasted"] = r.wasted / max(r.work, 1)
	f["worst_10s"] = worst(r.Seconds, 10)
	f["recover_s"] = s.recovery()
	f["jain"] = jain(s.volumes)
	for _, b := range s.bricks {
		if b.Collapsed {
			r.CollapsedBricks = append(r.CollapsedBricks, b.Name)
		}
	}
	f["fallen"] = float64(len(r.CollapsedBricks))
	r.Figures = f
	for q := 0.5; q < 100; q += 0.5 {
		r.Latency = append(r.Latency, [2]float64{float64(r.hist.ValueAtQuantile(q)) / 1000, q / 100})
	}
	s.check(r)
	return r
}

func (s *Sim) check(r *Result) {
	b := &s.s.Site.Brick
	s.trace.Figures = rules.Figures{Slack: slack, DrainGrace: int64(s.s.Site.DrainGraceMS) * 1000, Window: int64(s.s.Site.DedupWindowMS) * 1000,
		ColdFrom: b.ColdCapacity, WarmWithin: int64(b.WarmUpMS) * 1000, ColdMultiple: b.ColdMultiple, ColdSpan: 1_000_000, ColdUnits: b.ColdUnits}
	r.Trace = &s.trace
	r.RuleVerdicts = rules.Check(&s.trace)
	for _, v := range r.RuleVerdicts {
		r.Rules = append(r.Rules, v.String())
		r.Violations = append(r.Violations, v.Broken...)
	}
}

// worst returns the service of the worst span of seconds.
func worst(list []SecondTotals, span int) float64 {
	least := 1.0
	for i := 0; i+span <= len(list); i++ {
		least = min(least, service(list[i:i+span]))
	}
	return least
}

func service(list []SecondTotals) float64 {
	var due, got float64
	for _, sec := range list {
		due, got = due+sec.MaxWorth, got+sec.EarnedWorth
	}
	if due == 0 {
		return 1
	}
	return got / due
}

// recovery returns how many seconds after the last trouble's end service was
// back, over three seconds, at nine tenths of what it was before the first; all
// that is left of the day where it never was.
func (s *Sim) recovery() float64 {
	if s.settle == 0 {
		return 0
	}
	list := s.result.Seconds
	first := int((s.first - base) / 1_000_000)
	before := service(list[min(3, first):min(max(first, 4), len(list))])
	from := int((s.settle - base + 999_999) / 1_000_000)
	for i := from; i+3 <= len(list); i++ {
		if service(list[i:i+3]) >= 0.9*before {
			return float64(i - from)
		}
	}
	return float64(max(1, len(list)-from))
}

// jain is Jain's index of fairness over what volumes got of what was due.
func jain(volumes []*volume) float64 {
	var sum, squares, n float64
	for _, v := range volumes {
		if v.due > 0 {
			x := v.got / v.due
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// ClaimResult is a claim with what came of it.
type ClaimResult struct {
	Text  string
	Holds bool
}

// CheckClaims judges the scenario's claims.
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

// ClaimsHold tells whether all claims hold.
func (r *Result) ClaimsHold(s *scenario.Scenario) bool {
	return !slices.ContainsFunc(r.CheckClaims(s), func(v ClaimResult) bool { return !v.Holds })
}
