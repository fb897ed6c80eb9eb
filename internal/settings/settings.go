// Package settings reads the settings that users hand an instance at its start,
// for the simulator's adapter and for the host on their platform alike.
package settings

import (
	"encoding/json"
	"fmt"

	"arrowwalk"
)

// Settings are the module's settings, and what the host around it goes by.
type Settings struct {
	arrowwalk.Settings
	Zones       []string
	DialTimeout arrowwalk.Micros // a connection not made by then failed; 0: not told
	IdleClose   arrowwalk.Micros // machines close connections idle for so long; 0: not told
	MaxOpen     int              // requests that may be open; 0: not told
	Unknown     []string         // paths of keys that this program does not know
}

// facts mirrors the settings text; keys that it lacks are passed over. Those
// that end in Known are read by nobody here: the bench and its report use them.
type facts struct {
	PeersTotal int `json:"peersTotal"`
	Ordinal    int `json:"ordinal"`
	Zone       int `json:"zone"`
	PeriodUs   int64
	Discovery  string
	Zones      []string

	Blend         known
	Charges       known
	Clients       known
	KindOfService known
	Kinds         known
	Layer         known
	Layers        known
	WeightKind    known

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
		CPUUsPerRequest  known `json:"cpuUsPerRequest"`
		CPUUsPerS        known `json:"cpuUsPerS"`
		Multiplex        known
		PeerMessages     known
	}
	Reporting struct {
		Fields []string
		How    string
	}
	Rules struct {
		AnswerSlackUs  known
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

// known is a value that the program knows of and has no use for.
type known struct{}

// UnmarshalJSON passes over any value.
func (*known) UnmarshalJSON([]byte) error { return nil }

var (
	repeats = map[string]arrowwalk.RepeatPolicy{
		"read_like": arrowwalk.Safe, "idempotency_key": arrowwalk.Keyed, "non_idempotent": arrowwalk.Unsafe,
	}
	scopes = map[string]arrowwalk.Scope{
		"all": arrowwalk.ScopeAll, "zone": arrowwalk.ScopeZone, "cell": arrowwalk.ScopeShard,
	}
)

// Parse reads the settings of one instance; an error names the field.
func Parse(text []byte, seed uint64) (*Settings, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	set, err := f.module(seed)
	if err != nil {
		return nil, err
	}
	return &Settings{Settings: set, Zones: f.Zones, DialTimeout: arrowwalk.Micros(f.Limits.ConnectTimeoutUs),
		IdleClose: arrowwalk.Micros(f.Limits.IdleCloseUs), MaxOpen: f.Limits.MaxOpen, Unknown: unknown(text)}, nil
}

// module returns what the module is told.
func (f *facts) module(seed uint64) (arrowwalk.Settings, error) {
	s := arrowwalk.Settings{
		Seed: seed, Host: f.Ordinal, Hosts: f.PeersTotal, Zone: f.Zone, Shards: f.FamilyInfo.Shards,
		Tick: arrowwalk.Micros(f.PeriodUs), Subscribe: f.Discovery == "subscribe",
		MaxAttempts: f.Limits.MaxAttempts, MeanUnits: f.FamilyInfo.UnitMean, MostUnits: f.FamilyInfo.MostUnits,
		ShareWorth: f.FamilyInfo.WithinShare, SpareWorth: f.FamilyInfo.BeyondShare,
		MeterPeriod: arrowwalk.Micros(f.FamilyInfo.MeterUs), TellsOthers: f.FamilyInfo.SaysOthers,
		Probing: f.Limits.Probing, Cancel: f.Limits.Cancel, Parallel: f.Limits.ParallelTries,
		Reports: f.Reporting.Fields, ReportsIn: f.Reporting.How == "inline",
		Rules: arrowwalk.Rules{
			DrainGrace: arrowwalk.Micros(f.Rules.DrainGraceUs), AskEvery: arrowwalk.Micros(f.Rules.AskEveryUs),
			ColdFrom: f.Rules.ColdFrom, WarmWithin: arrowwalk.Micros(f.Rules.WarmWithinUs),
			ColdMultiple: f.Rules.OverloadFactor, ColdSpan: arrowwalk.Micros(f.Rules.FallUs),
			ColdUnits: f.FamilyInfo.ColdBears, OrderGap: arrowwalk.Micros(f.Rules.TurnGapUs),
			ResendFree: f.Rules.FreeResends, ResendRatio: f.Rules.RepeatRatio,
			ResendSpan: arrowwalk.Micros(f.Rules.ResendSpanUs),
		},
	}
	if f.Limits.RetryAfter {
		s.MaxWait = arrowwalk.Micros(f.Limits.MaxRetryAfterUs)
	}
	for i, c := range f.Categories {
		repeat, ok := repeats[c.Repeat]
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
			Writes: i < len(f.FamilyInfo.ChangesData) && f.FamilyInfo.ChangesData[i],
		})
	}
	for _, p := range f.ServiceLevels {
		s.Plans = append(s.Plans, arrowwalk.Plan{
			Name: p.Name, Rate: p.UsualRate, Reserve: p.Reservation, Weight: p.Parts, WorthFactor: p.WorthFactor,
			LimitRate: p.CeilingRate, LimitBurst: p.Burst, LimitSlack: p.LimitSlack,
		})
	}
	return s, nil
}
