// Package settings parses the JSON settings that an instance receives at its
// start. Both the simulator's adapter and the host on the users' platform use
// it.
package settings

import (
	"encoding/json"
	"fmt"

	"arrowwalk"
)

// Settings holds the scheduler's settings and those of the host that runs it.
type Settings struct {
	arrowwalk.Settings
	Zones       []string         // names of the zones
	DialTimeout arrowwalk.Micros // time after which a connection attempt has failed; 0: unknown
	IdleClose   arrowwalk.Micros // time after which servers close idle connections; 0: unknown
	MaxOpen     int              // largest number of open requests; 0: unknown
	Unknown     []string         // sorted paths of the keys that this program does not know
}

// document mirrors the JSON text. Keys without a field here are skipped and
// reported as unknown. The keys of ignored fields are known but not used: they
// are for the benchmark and its report.
type document struct {
	PeersTotal int `json:"peersTotal"`
	Ordinal    int `json:"ordinal"`
	Zone       int `json:"zone"`
	PeriodUs   int64
	Discovery  string
	Zones      []string

	Blend         ignored
	Charges       ignored
	Clients       ignored
	KindOfService ignored
	Kinds         ignored
	Layer         ignored
	Layers        ignored
	WeightKind    ignored

	Categories []struct {
		Name       string
		AimUs      int64
		AimStretch float64
		DeadlineUs int64
		Worth      float64
		LateWorth  float64
		Repeat     string
		DedupScope string
		WindowUs   int64
		Sequential bool
		Streamed   bool
	}
	FamilyInfo struct {
		ChangesData []bool
		ColdBears   float64
		MeterUs     int64
		MostUnits   float64
		UnitMean    float64
		SaysOthers  bool
		Shards      int
		WithinShare float64
		BeyondShare float64
	}
	Limits struct {
		MaxAttempts     int
		MaxRetryAfterUs int64
		RetryAfter      bool
		Probing         bool
		Cancel          bool
		ParallelTries   bool

		ConnectTimeoutUs int64
		IdleCloseUs      int64
		MaxOpen          int
		CPUUsPerRequest  ignored `json:"cpuUsPerRequest"`
		CPUUsPerS        ignored `json:"cpuUsPerS"`
		Multiplex        ignored
		PeerMessages     ignored
	}
	Reporting struct {
		Fields []string
		How    string
	}
	Rules struct {
		AnswerSlackUs  ignored
		AskEveryUs     int64
		ColdFrom       float64
		WarmWithinUs   int64
		DrainGraceUs   int64
		FallUs         int64
		OverloadFactor float64
		TurnGapUs      int64
		FreeResends    float64
		RepeatRatio    float64
		ResendSpanUs   int64
	}
	ServiceLevels []struct {
		Name        string
		UsualRate   float64
		Reservation float64
		Parts       float64
		WorthFactor float64
		CeilingRate float64
		Burst       float64
		LimitSlack  float64
	}
}

// ignored is a value that is accepted and not used.
type ignored struct{}

// UnmarshalJSON accepts any value and does nothing.
func (*ignored) UnmarshalJSON([]byte) error { return nil }

// The values of the text's repeat and dedupScope keys.
var (
	repeatPolicies = map[string]arrowwalk.RepeatPolicy{
		"read_like": arrowwalk.Safe, "idempotency_key": arrowwalk.Keyed, "non_idempotent": arrowwalk.Unsafe,
	}
	scopes = map[string]arrowwalk.Scope{
		"all": arrowwalk.ScopeAll, "zone": arrowwalk.ScopeZone, "cell": arrowwalk.ScopeShard,
	}
)

// Parse parses the settings of one instance. The seed, which is not part of the
// text, becomes Settings.Seed. An error names the invalid field.
func Parse(text []byte, seed uint64) (*Settings, error) {
	var doc document
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	scheduler, err := doc.schedulerSettings(seed)
	if err != nil {
		return nil, err
	}
	return &Settings{Settings: scheduler, Zones: doc.Zones, DialTimeout: arrowwalk.Micros(doc.Limits.ConnectTimeoutUs),
		IdleClose: arrowwalk.Micros(doc.Limits.IdleCloseUs), MaxOpen: doc.Limits.MaxOpen, Unknown: unknownKeys(text)}, nil
}

// schedulerSettings converts the document to the scheduler's settings.
func (doc *document) schedulerSettings(seed uint64) (arrowwalk.Settings, error) {
	s := arrowwalk.Settings{
		Seed: seed, Host: doc.Ordinal, Hosts: doc.PeersTotal, Zone: doc.Zone, Shards: doc.FamilyInfo.Shards,
		Tick: arrowwalk.Micros(doc.PeriodUs), Subscribe: doc.Discovery == "subscribe",
		MaxAttempts: doc.Limits.MaxAttempts, MeanUnits: doc.FamilyInfo.UnitMean, MostUnits: doc.FamilyInfo.MostUnits,
		ShareWorth: doc.FamilyInfo.WithinShare, SpareWorth: doc.FamilyInfo.BeyondShare,
		MeterPeriod: arrowwalk.Micros(doc.FamilyInfo.MeterUs), ReportsOthersUnits: doc.FamilyInfo.SaysOthers,
		Probing: doc.Limits.Probing, Cancel: doc.Limits.Cancel, Parallel: doc.Limits.ParallelTries,
		Reports: doc.Reporting.Fields, InlineReports: doc.Reporting.How == "inline",
		Rules: arrowwalk.Rules{
			DrainGrace: arrowwalk.Micros(doc.Rules.DrainGraceUs), MaxListInterval: arrowwalk.Micros(doc.Rules.AskEveryUs),
			ColdFrom: doc.Rules.ColdFrom, WarmWithin: arrowwalk.Micros(doc.Rules.WarmWithinUs),
			ColdMultiple: doc.Rules.OverloadFactor, ColdSpan: arrowwalk.Micros(doc.Rules.FallUs),
			ColdUnits: doc.FamilyInfo.ColdBears, OrderGap: arrowwalk.Micros(doc.Rules.TurnGapUs),
			ResendFree: doc.Rules.FreeResends, ResendRatio: doc.Rules.RepeatRatio,
			ResendSpan: arrowwalk.Micros(doc.Rules.ResendSpanUs),
		},
	}
	if doc.Limits.RetryAfter {
		s.MaxRetryAfter = arrowwalk.Micros(doc.Limits.MaxRetryAfterUs)
	}
	for i, c := range doc.Categories {
		repeat, ok := repeatPolicies[c.Repeat]
		if !ok {
			return s, fmt.Errorf("settings: category %q: unknown repeat %q", c.Name, c.Repeat)
		}
		scope, ok := scopes[c.DedupScope]
		if !ok && repeat == arrowwalk.Keyed {
			return s, fmt.Errorf("settings: category %q: unknown dedupScope %q", c.Name, c.DedupScope)
		}
		s.Classes = append(s.Classes, arrowwalk.Class{
			Name: c.Name, Aim: arrowwalk.Micros(c.AimUs), AimStretch: c.AimStretch,
			Deadline: arrowwalk.Micros(c.DeadlineUs), Worth: c.Worth, LateWorth: c.LateWorth, Repeat: repeat,
			Scope: scope, Window: arrowwalk.Micros(c.WindowUs), Ordered: c.Sequential, Streamed: c.Streamed,
			Writes: i < len(doc.FamilyInfo.ChangesData) && doc.FamilyInfo.ChangesData[i],
		})
	}
	for _, p := range doc.ServiceLevels {
		s.Plans = append(s.Plans, arrowwalk.Plan{
			Name: p.Name, Rate: p.UsualRate, Reserve: p.Reservation, Weight: p.Parts, WorthFactor: p.WorthFactor,
			LimitRate: p.CeilingRate, LimitBurst: p.Burst, LimitSlack: p.LimitSlack,
		})
	}
	return s, nil
}
