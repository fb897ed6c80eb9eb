package arrowwalk

import (
	"cmp"
	"fmt"
)

// New returns a Scheduler, or an error that names the setting at fault.
func New(set Settings) (*Scheduler, error) {
	if err := validate(&set); err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings: set, nodes: map[NodeID]*node{}, requests: map[RequestID]*request{},
		volumes: map[VolumeID]*volume{}, keyQueues: map[uint64]*keyQueue{}, unitCost: make([]float64, len(set.Classes)),
		clientTimeout: make([]Micros, len(set.Classes)),
		tightestAim:   set.Classes[0].Aim, listBackoff: initialListBackoff, random: splitMix64(set.Seed),
	}
	for _, c := range set.Classes {
		s.tightestAim = min(s.tightestAim, c.Aim)
	}
	return s, nil
}

// validate refuses settings that make no sense and fills in what may be left out.
func validate(set *Settings) error {
	bad := func(field string, value any) error { return fmt.Errorf("settings: %s: bad value %v", field, value) }
	switch {
	case set.Hosts < 1:
		return bad("Hosts", set.Hosts)
	case len(set.Classes) == 0:
		return bad("Classes", "none")
	case len(set.Plans) == 0:
		return bad("Plans", "none")
	case set.MaxAttempts < 1:
		return bad("MaxAttempts", set.MaxAttempts)
	case set.MeanUnits < 0 || set.MostUnits < 0:
		return bad("MeanUnits, MostUnits", []float64{set.MeanUnits, set.MostUnits})
	}
	set.MeanUnits = cmp.Or(set.MeanUnits, 1)
	set.MostUnits = max(set.MostUnits, set.MeanUnits)
	for i, c := range set.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return bad(fmt.Sprintf("Classes[%d].Aim, Deadline", i), []Micros{c.Aim, c.Deadline})
		}
	}
	for i, p := range set.Plans {
		if p.Rate < 0 || p.Reserve < 0 || p.Weight < 0 || p.LimitRate < 0 || p.LimitBurst < 0 {
			return bad(fmt.Sprintf("Plans[%d]", i), p)
		}
		set.Plans[i].Weight = cmp.Or(p.Weight, 1)
	}
	return nil
}

// hasClassAndPlan tells whether the settings name a request's class and plan.
func (set *Settings) hasClassAndPlan(q *Request) bool {
	return q.Class >= 0 && q.Class < len(set.Classes) && q.Volume.Plan >= 0 && q.Volume.Plan < len(set.Plans)
}
