// Package scenario reads the scenarios that the emulator runs: a site, its
// load, a timeline of troubles and the claims that must hold, as JSON with a
// schema.
package scenario

import (
	"bytes"
	"embed"
	_ "embed" // for the schema
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"arrowwalk/internal/config"
)

// Scenario describes one run of the emulator.
type Scenario struct {
	Name     string  `json:"name"`
	About    string  `json:"about,omitempty"`
	Seed     uint64  `json:"seed,omitempty"`
	Seconds  float64 `json:"seconds"`
	Policy   string  `json:"policy,omitempty"` // name of a policy of package policy
	Site     Site    `json:"site"`
	Load     Load    `json:"load"`
	Timeline []Event `json:"timeline,omitempty"`
	Claims   []Claim `json:"claims,omitempty"`
}

// Site describes hosts, bricks and the network between them. Pairs are a
// minimum and a maximum.
type Site struct {
	Hosts         int     `json:"hosts"`
	Zones         int     `json:"zones"`
	Bricks        int     `json:"bricks"` // one per shard at the start
	Brick         Brick   `json:"brick"`
	DelayUS       [2]int  `json:"delay_us"`        // one-way delay of a message
	Loss          float64 `json:"loss,omitempty"`  // fraction of the messages that get lost without a notice
	ListMS        [2]int  `json:"list_ms"`         // delay of a node list on its way to a host
	SkewMS        int     `json:"skew_ms"`         // maximum clock skew of a host in either direction
	DedupWindowMS int     `json:"window_ms"`       // how long a zone drops repeats of a keyed write
	DrainGraceMS  int     `json:"drain_grace_ms"`  // how long a host may send to a brick after it learned of its drain
	UsagePeriodMS int     `json:"meter_ms"`        // period of the usage reports in answers
	BacklogAge    string  `json:"found,omitempty"` // how old hosts assume the events to be that they find after a stall
	DisabledGuard string  `json:"guard,omitempty"` // guard to disable so that claims can be seen to fail: cold or drains
}

// Values of Site.BacklogAge.
const (
	BacklogAgeExact = "age"   // the true age, as reported by the kernel; the default
	BacklogAgeHalf  = "half"  // half the length of the stall
	BacklogAgeZero  = "fresh" // as if the events had just arrived
)

// KnowsBacklogAge reports whether hosts know the true age of the events that
// they find after a stall.
func (s *Site) KnowsBacklogAge() bool { return s.BacklogAge == "" || s.BacklogAge == BacklogAgeExact }

// Brick holds the parameters of the bricks; model.Params explains them.
type Brick struct {
	Cores              int        `json:"cores"`
	Speed              [2]float64 `json:"speed"`
	MaxQueue           int        `json:"queue"`
	CacheItems         int        `json:"cache_items"`
	CacheSavings       float64    `json:"cache_saves"`
	DeferredFraction   float64    `json:"put_off"`
	DeferredIntervalMS int        `json:"put_off_ms"`
	ColdCapacity       float64    `json:"cold_from"`
	WarmUpMS           int        `json:"warm_ms"`
	ColdMultiple       float64    `json:"cold_multiple"`
	ColdUnits          float64    `json:"cold_units"`
}

// Class holds the parameters of reads or writes.
type Class struct {
	Share      float64 `json:"share"`
	WorkMS     float64 `json:"work_ms"` // for a request of mean size on a core of speed 1
	AimMS      int     `json:"aim_ms"`
	DeadlineMS int     `json:"deadline_ms"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
}

// Plan describes a kind of volume.
type Plan struct {
	Name         string  `json:"name"`
	Share        float64 `json:"share"`   // fraction of the volumes
	Size         float64 `json:"size"`    // rate relative to a plan of size 1
	Reserve      float64 `json:"reserve"` // fraction of its rate
	Weight       float64 `json:"weight"`
	WorthFactor  float64 `json:"worth"`
	Shards       [2]int  `json:"shards"`
	Hosts        [2]int  `json:"hosts"`
	GreedyShare  float64 `json:"greedy,omitempty"`    // fraction of its volumes that exceed their rate
	GreedyFactor float64 `json:"greedy_by,omitempty"` // factor by which they exceed it
}

// Load describes the traffic of the clients.
type Load struct {
	Utilization     float64 `json:"of"` // fraction of the warm bricks' capacity
	Volumes         int     `json:"volumes"`
	Plans           []Plan  `json:"plans"`
	Read            Class   `json:"read"`
	Write           Class   `json:"write"`
	Units           [2]int  `json:"units"` // per request
	Retries         int     `json:"retries"`
	RetryMS         [2]int  `json:"retry_ms"`
	HotHostPeriodMS int     `json:"hot_ms"` // how often a volume's busiest host changes
}

// Event is a trouble on the timeline. EventKinds explains which fields a kind
// uses.
type Event struct {
	At         float64 `json:"at"`            // seconds since the start
	Duration   float64 `json:"for,omitempty"` // seconds
	Kind       string  `json:"kind"`
	Share      float64 `json:"share,omitempty"`    // fraction of the bricks, hosts or clients affected
	Count      int     `json:"count,omitempty"`    // number affected; takes precedence over Share
	Factor     float64 `json:"by,omitempty"`       // BY in the descriptions of EventKinds
	IntervalMS int     `json:"every_ms,omitempty"` // for kinds that repeat
	LengthMS   int     `json:"ms,omitempty"`
	Zone       int     `json:"zone,omitempty"` // for kinds that affect one zone, from 0
	Plan       string  `json:"plan,omitempty"`
}

// Claim is a condition on the result: that a rule is kept or that a figure is
// within bounds.
type Claim struct {
	Rule   string   `json:"rule,omitempty"`   // name of a rule, or "all"
	Figure string   `json:"figure,omitempty"` // name of a figure
	Min    *float64 `json:"least,omitempty"`
	Max    *float64 `json:"most,omitempty"`
}

// EventKinds describes the kinds of timeline events by name.
var EventKinds = map[string]string{
	"slow":         "bricks run BY times slower",
	"still":        "bricks pause for MS every EVERY_MS",
	"fail":         "bricks fail the fraction BY of their requests at once",
	"lose":         "the fraction BY of the bricks' answers gets lost",
	"mute":         "bricks die without closing connections and stay listed as ready",
	"replace":      "bricks are drained, stopped 2 s later and replaced by cold ones after FOR",
	"crash_hosts":  "hosts crash and restart after MS with their stored list",
	"stall_hosts":  "hosts stall for MS, every EVERY_MS if given",
	"surge":        "all traffic is BY times as much",
	"heavy":        "a few volumes add the fraction BY to all traffic",
	"impatient":    "clients give up after a fraction of the aim and retry BY times at once",
	"list_down":    "no host receives the node list",
	"list_half":    "half of the hosts do not",
	"list_back":    "the list reverts to its first version",
	"cut_bricks":   "hosts of ZONE reach no brick of other zones",
	"cut_list":     "hosts of ZONE do not receive the node list",
	"late_reports": "usage reports in answers are MS late",
}

//go:embed schema.json
var schemaText []byte

//go:embed library/*.json
var library embed.FS

// compileSchema compiles the schema on its first call.
var compileSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("scenario.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("scenario.json")
})

// Schema returns the JSON schema of scenarios.
func Schema() []byte { return schemaText }

// Parse parses and validates a scenario. Fields that are not set keep the
// values of Default, except the timeline and the claims. Errors name the
// invalid field.
func Parse(text []byte) (*Scenario, error) {
	schema, err := compileSchema()
	if err != nil {
		return nil, fmt.Errorf("scenario schema: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if err := schema.Validate(value); err != nil {
		return nil, fmt.Errorf("scenario: %w", firstViolation(err))
	}
	s := Default()
	s.Timeline, s.Claims = nil, nil
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.validate()
}

// firstViolation returns an error that names the first field that violates the
// schema.
func firstViolation(err error) error {
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return err
	}
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	return fmt.Errorf("%s: %s", "/"+strings.Join(v.InstanceLocation, "/"), strings.ReplaceAll(v.Error(), "\n", " "))
}

// validate checks what the schema can't express.
func (s *Scenario) validate() error {
	invalid := func(field string, value any, problem string) error {
		return fmt.Errorf("scenario %q: %s: %v %s", s.Name, field, value, problem)
	}
	for _, r := range []struct {
		name string
		of   [2]float64
	}{{"site/brick/speed", s.Site.Brick.Speed}, {"site/delay_us", toFloats(s.Site.DelayUS)}, {"site/list_ms", toFloats(s.Site.ListMS)},
		{"load/units", toFloats(s.Load.Units)}, {"load/retry_ms", toFloats(s.Load.RetryMS)}} {
		if r.of[0] > r.of[1] {
			return invalid(r.name, r.of, "has a minimum above its maximum")
		}
	}
	if sum := s.Load.Read.Share + s.Load.Write.Share; sum < 0.999 || sum > 1.001 {
		return invalid("load/read/share, load/write/share", sum, "must add up to 1")
	}
	for i, e := range s.Timeline {
		field := fmt.Sprintf("timeline/%d", i)
		if _, ok := EventKinds[e.Kind]; !ok {
			return invalid(field+"/kind", e.Kind, "is not a known kind")
		}
		if e.At > s.Seconds {
			return invalid(field+"/at", e.At, "is after the end of the run")
		}
		if e.Zone >= s.Site.Zones {
			return invalid(field+"/zone", e.Zone, "is not a zone of the site")
		}
	}
	for i, c := range s.Claims {
		if (c.Rule == "") == (c.Figure == "") {
			return invalid(fmt.Sprintf("claims/%d", i), c, "must name a rule or a figure")
		}
		if c.Figure != "" && !slices.Contains(FigureNames, c.Figure) {
			return invalid(fmt.Sprintf("claims/%d/figure", i), c.Figure, "is not a known figure")
		}
	}
	return nil
}

func toFloats(p [2]int) [2]float64 { return [2]float64{float64(p[0]), float64(p[1])} }

// FigureNames lists the figures of a result.
var FigureNames = []string{"service", "served", "refused", "failed", "in_time", "p50_ms", "p99_ms", "fallen", "wasted", "jain", "recover_s", "worst_10s"}

// Find returns a scenario of the library by its name, or reads it from a file.
func Find(name string) (*Scenario, error) {
	text, err := library.ReadFile("library/" + name + ".json")
	if errors.Is(err, fs.ErrNotExist) || strings.ContainsAny(name, "/.") {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("scenario %q: not in the library (%s) and not a readable file: %w", name, strings.Join(Names(), ", "), err)
		}
	}
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Names lists the scenarios of the library.
func Names() []string {
	list, err := library.ReadDir("library")
	if err != nil {
		return nil
	}
	var out []string
	for _, f := range list {
		out = append(out, strings.TrimSuffix(f.Name(), ".json"))
	}
	return out
}

// Default returns a small site without troubles.
func Default() *Scenario {
	return &Scenario{Name: "quiet", Seed: 1, Seconds: 20, Policy: "module",
		Site: Site{Hosts: 12, Zones: 3, Bricks: 6, DelayUS: [2]int{200, 1200}, ListMS: [2]int{20, 300}, DedupWindowMS: 4000, DrainGraceMS: 500, UsagePeriodMS: 1000,
			Brick: Brick{Cores: 2, Speed: [2]float64{0.7, 1.1}, MaxQueue: 64, CacheItems: 3, CacheSavings: 0.4, DeferredFraction: 0.35, DeferredIntervalMS: 2300,
				ColdCapacity: 0.23, WarmUpMS: 15000, ColdMultiple: 4, ColdUnits: 12}},
		Load: Load{Utilization: 0.6, Volumes: 30, Units: [2]int{1, 6}, Retries: 1, RetryMS: [2]int{200, 600}, HotHostPeriodMS: 12000,
			Read:  Class{Share: 0.65, WorkMS: 44, AimMS: 400, DeadlineMS: 2500, Worth: 2, LateWorth: 0.18},
			Write: Class{Share: 0.35, WorkMS: 56, AimMS: 500, DeadlineMS: 2500, Worth: 2, LateWorth: 0.18},
			Plans: []Plan{
				{Name: "basic", Share: 0.5, Size: 1, Weight: 1, WorthFactor: 0.8, Shards: [2]int{2, 6}, Hosts: [2]int{1, 3}, GreedyShare: 0.25, GreedyFactor: 3},
				{Name: "campus", Share: 0.3, Size: 2, Reserve: 1, Weight: 1, WorthFactor: 0.9, Shards: [2]int{2, 6}, Hosts: [2]int{1, 3}, GreedyShare: 0.2, GreedyFactor: 2},
				{Name: "university", Share: 0.2, Size: 4, Reserve: 1.2, Weight: 1, WorthFactor: 1.4, Shards: [2]int{1, 4}, Hosts: [2]int{3, 8}},
			}}}
}

// MeanUnits returns the mean number of units per request.
func (s *Scenario) MeanUnits() float64 { return float64(s.Load.Units[0]+s.Load.Units[1]) / 2 }

// UnitCost returns the mean work per unit in microseconds.
func (s *Scenario) UnitCost() float64 {
	l := &s.Load
	return (l.Read.Share*l.Read.WorkMS + l.Write.Share*l.Write.WorkMS) * 1000 / s.MeanUnits()
}

// GatewayConfig returns the settings of the site's gateway with the given host
// number. rates holds the plans' rates in units per second.
func (s *Scenario) GatewayConfig(host int, rates []float64) *config.Config {
	c := config.Default()
	c.Shards = s.Site.Bricks
	c.Host = config.Host{Number: host, Count: s.Site.Hosts, Zone: fmt.Sprint("zone-", host%s.Site.Zones), Seed: s.Seed*1000 + uint64(host)}
	c.Zones = nil
	for z := range s.Site.Zones {
		c.Zones = append(c.Zones, fmt.Sprint("zone-", z))
	}
	c.Plans = nil
	for i, p := range s.Load.Plans {
		c.Plans = append(c.Plans, config.Plan{Name: p.Name, Rate: rates[i], Reserve: p.Reserve * rates[i], Weight: p.Weight, WorthFactor: p.WorthFactor})
	}
	classConfig := func(load Class) config.Class {
		return config.Class{AimMS: load.AimMS, DeadlineMS: load.DeadlineMS, Worth: load.Worth, LateWorth: load.LateWorth}
	}
	c.Classes.Read, c.Classes.Write = classConfig(s.Load.Read), classConfig(s.Load.Write)
	c.Classes.Write.WindowMS = s.Site.DedupWindowMS
	b := s.Site.Brick
	c.Rules.DrainGraceMS, c.Rules.ColdFrom, c.Rules.WarmWithinMS = s.Site.DrainGraceMS, b.ColdCapacity, b.WarmUpMS
	c.Rules.ColdMultiple, c.Rules.ColdSpanMS, c.Rules.ColdUnits = b.ColdMultiple, 1000, b.ColdUnits
	c.Rules.ResendSpanMS, c.MeterMS = 0, s.Site.UsagePeriodMS
	if s.Site.DisabledGuard == "cold" {
		c.Rules.WarmWithinMS, c.Rules.ColdUnits = 0, 0
	}
	return c
}
