// Package scenario reads the days that the emulator plays: a site, its load, a
// timeline of troubles and the claims that must hold, as JSON with a schema.
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

// Scenario is one day.
type Scenario struct {
	Name     string  `json:"name"`
	About    string  `json:"about,omitempty"`
	Seed     uint64  `json:"seed,omitempty"`
	Seconds  float64 `json:"seconds"`
	Policy   string  `json:"policy,omitempty"` // module, or a baseline
	Site     Site    `json:"site"`
	Load     Load    `json:"load"`
	Timeline []Event `json:"timeline,omitempty"`
	Claims   []Claim `json:"claims,omitempty"`
}

// Site is hosts, bricks and what is between them.
type Site struct {
	Hosts         int     `json:"hosts"`
	Zones         int     `json:"zones"`
	Bricks        int     `json:"bricks"` // one for each shard at first
	Brick         Brick   `json:"brick"`
	DelayUS       [2]int  `json:"delay_us"`        // one way, from least to most
	Loss          float64 `json:"loss,omitempty"`  // of messages: the attempt hears nothing
	ListMS        [2]int  `json:"list_ms"`         // how late a host hears of the node list
	SkewMS        int     `json:"skew_ms"`         // clocks of hosts are off by as much, either way
	DedupWindowMS int     `json:"window_ms"`       // for which a zone drops repeats
	DrainGraceMS  int     `json:"drain_grace_ms"`  // for sends after a drain was told
	UsagePeriodMS int     `json:"meter_ms"`        // period of the figures of use in answers
	BacklogAge    string  `json:"found,omitempty"` // for how old hosts take what they find after a stall
	DisabledGuard string  `json:"guard,omitempty"` // a guard taken out, so that claims are seen to fail: cold or drains
}

// What Found may be.
const (
	BacklogAgeExact = "age"   // as old as it is, which the kernel tells; the same as ""
	BacklogAgeHalf  = "half"  // half as old as the stall
	BacklogAgeZero  = "fresh" // as if it had just come
)

// KnowsBacklogAge tells whether hosts know how old what they find after a stall is.
func (s *Site) KnowsBacklogAge() bool { return s.BacklogAge == "" || s.BacklogAge == BacklogAgeExact }

// Brick is what bricks are like.
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

// Class is one of the two kinds of request.
type Class struct {
	Share      float64 `json:"share"`
	WorkMS     float64 `json:"work_ms"` // of a request of mean size on a core of speed 1
	AimMS      int     `json:"aim_ms"`
	DeadlineMS int     `json:"deadline_ms"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
}

// Plan is a kind of volume.
type Plan struct {
	Name         string  `json:"name"`
	Share        float64 `json:"share"`   // of the volumes
	Size         float64 `json:"size"`    // times the smallest rate
	Reserve      float64 `json:"reserve"` // part of its rate
	Weight       float64 `json:"weight"`
	WorthFactor  float64 `json:"worth"`
	Shards       [2]int  `json:"shards"`
	Hosts        [2]int  `json:"hosts"`
	GreedyShare  float64 `json:"greedy,omitempty"` // share of its volumes that ask for
	GreedyFactor float64 `json:"greedy_by,omitempty"`
}

// Load is what clients ask for.
type Load struct {
	Utilization     float64 `json:"of"` // of what warm bricks can do
	Volumes         int     `json:"volumes"`
	Plans           []Plan  `json:"plans"`
	Read            Class   `json:"read"`
	Write           Class   `json:"write"`
	Units           [2]int  `json:"units"` // of a request
	Retries         int     `json:"retries"`
	RetryMS         [2]int  `json:"retry_ms"`
	HotHostPeriodMS int     `json:"hot_ms"` // how often a volume's busiest host changes
}

// Event is a trouble that begins at a time.
type Event struct {
	At         float64 `json:"at"`
	Duration   float64 `json:"for,omitempty"`
	Kind       string  `json:"kind"`
	Share      float64 `json:"share,omitempty"`    // of the bricks, hosts or volumes that it meets
	Count      int     `json:"count,omitempty"`    // or how many
	Factor     float64 `json:"by,omitempty"`       // how much
	IntervalMS int     `json:"every_ms,omitempty"` // for what comes again and again
	LengthMS   int     `json:"ms,omitempty"`
	Zone       int     `json:"zone,omitempty"` // for what meets one zone, from 0
	Plan       string  `json:"plan,omitempty"`
}

// Claim is what must hold of the day.
type Claim struct {
	Rule   string   `json:"rule,omitempty"`   // a rule's name, or "all"
	Figure string   `json:"figure,omitempty"` // a figure's name
	Min    *float64 `json:"least,omitempty"`
	Max    *float64 `json:"most,omitempty"`
}

// EventKinds are the troubles that a timeline may have, with what they mean.
var EventKinds = map[string]string{
	"slow":         "bricks run BY times slower",
	"still":        "bricks stand still for MS every EVERY_MS",
	"fail":         "bricks fail the part BY of their requests at once",
	"lose":         "the part BY of the answers of bricks gets lost",
	"mute":         "bricks die and say nothing, listed as ready",
	"replace":      "bricks are drained, dead 2 s later, replaced by cold ones after FOR",
	"crash_hosts":  "hosts die and come back after MS with their last list",
	"stall_hosts":  "hosts stand still for MS, every EVERY_MS where given",
	"surge":        "all traffic is BY times as much",
	"heavy":        "a few volumes add the part BY to all traffic",
	"impatient":    "clients give up after a part of the aim, and repeat BY times at once",
	"list_down":    "no host hears of the node list",
	"list_half":    "half of the hosts do not",
	"list_back":    "the list goes back to what it was at the start",
	"cut_bricks":   "hosts of ZONE reach no brick of other zones",
	"cut_list":     "hosts of ZONE do not hear of the node list",
	"late_reports": "figures of use in answers come MS late",
}

//go:embed schema.json
var schemaText []byte

//go:embed library/*.json
var library embed.FS

var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
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

// Parse reads a scenario. Errors name the field at fault.
func Parse(text []byte) (*Scenario, error) {
	schema, err := compiled()
	if err != nil {
		return nil, fmt.Errorf("scenario schema: %w", err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if err := schema.Validate(value); err != nil {
		return nil, fmt.Errorf("scenario: %w", fault(err))
	}
	s := Default()
	s.Timeline, s.Claims = nil, nil
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.check()
}

// fault names the first field that the schema does not allow.
func fault(err error) error {
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return err
	}
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	return fmt.Errorf("%s: %s", "/"+strings.Join(v.InstanceLocation, "/"), strings.ReplaceAll(v.Error(), "\n", " "))
}

// check finds what the schema cannot.
func (s *Scenario) check() error {
	bad := func(field string, value any, why string) error {
		return fmt.Errorf("scenario %q: %s: %v %s", s.Name, field, value, why)
	}
	for _, r := range []struct {
		name string
		of   [2]float64
	}{{"site/brick/speed", s.Site.Brick.Speed}, {"site/delay_us", pair(s.Site.DelayUS)}, {"site/list_ms", pair(s.Site.ListMS)},
		{"load/units", pair(s.Load.Units)}, {"load/retry_ms", pair(s.Load.RetryMS)}} {
		if r.of[0] > r.of[1] {
			return bad(r.name, r.of, "is not from least to most")
		}
	}
	if sum := s.Load.Read.Share + s.Load.Write.Share; sum < 0.999 || sum > 1.001 {
		return bad("load/read/share, load/write/share", sum, "is not 1 in all")
	}
	for i, e := range s.Timeline {
		field := fmt.Sprintf("timeline/%d", i)
		if _, ok := EventKinds[e.Kind]; !ok {
			return bad(field+"/kind", e.Kind, "is not known")
		}
		if e.At > s.Seconds {
			return bad(field+"/at", e.At, "is after the end")
		}
		if e.Zone >= s.Site.Zones {
			return bad(field+"/zone", e.Zone, "is no zone")
		}
	}
	for i, c := range s.Claims {
		if (c.Rule == "") == (c.Figure == "") {
			return bad(fmt.Sprintf("claims/%d", i), c, "must name a rule or a figure")
		}
		if c.Figure != "" && !slices.Contains(FigureNames, c.Figure) {
			return bad(fmt.Sprintf("claims/%d/figure", i), c.Figure, "is not known")
		}
	}
	return nil
}

func pair(p [2]int) [2]float64 { return [2]float64{float64(p[0]), float64(p[1])} }

// FigureNames are the names of the figures that a run has.
var FigureNames = []string{"service", "served", "refused", "failed", "in_time", "p50_ms", "p99_ms", "fallen", "wasted", "jain", "recover_s", "worst_10s"}

// Load reads a scenario of the library by its name, or a file.
func Find(name string) (*Scenario, error) {
	text, err := library.ReadFile("library/" + name + ".json")
	if errors.Is(err, fs.ErrNotExist) || strings.ContainsAny(name, "/.") {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("scenario %q: neither in the library (%s) nor a file: %w", name, strings.Join(Names(), ", "), err)
		}
	}
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// Names lists the library.
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

// Default returns a small site on a quiet day.
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

// MeanUnits returns the mean size of a request.
func (s *Scenario) MeanUnits() float64 { return float64(s.Load.Units[0]+s.Load.Units[1]) / 2 }

// UnitCost returns the mean work of a unit in microseconds.
func (s *Scenario) UnitCost() float64 {
	l := &s.Load
	return (l.Read.Share*l.Read.WorkMS + l.Write.Share*l.Write.WorkMS) * 1000 / s.MeanUnits()
}

// GatewayConfig returns the settings of a gateway of the site, as the real host takes
// them. rates are the plans' units a second, by plan.
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
	class := func(x Class) config.Class {
		return config.Class{AimMS: x.AimMS, DeadlineMS: x.DeadlineMS, Worth: x.Worth, LateWorth: x.LateWorth}
	}
	c.Classes.Read, c.Classes.Write = class(s.Load.Read), class(s.Load.Write)
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
