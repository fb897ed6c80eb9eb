package arrowwalk

import (
	"cmp"
	"fmt"
)

// New returns a Scheduler, or an error that names the invalid setting.
func New(settings Settings) (*Scheduler, error) {
	if err := validate(&settings); err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings:      settings,
		nodes:         map[NodeID]*node{},
		requests:      map[RequestID]*request{},
		volumes:       map[VolumeID]*volume{},
		keyQueues:     map[uint64]*keyQueue{},
		unitCost:      make([]float64, len(settings.Classes)),
		clientTimeout: make([]Micros, len(settings.Classes)),
		tightestAim:   settings.Classes[0].Aim,
		listBackoff:   initialListBackoff,
		random:        splitMix64(settings.Seed),
	}
	for _, c := range settings.Classes {
		s.tightestAim = min(s.tightestAim, c.Aim)
	}
	return s, nil
}

// validate returns an error if a setting is invalid, and sets the defaults of
// MeanUnits, MostUnits and the plans' weights.
func validate(settings *Settings) error {
	invalid := func(field string, value any) error { return fmt.Errorf("settings: %s: bad value %v", field, value) }
	switch {
	case settings.Hosts < 1:
		return invalid("Hosts", settings.Hosts)
	case len(settings.Classes) == 0:
		return invalid("Classes", "none")
	case len(settings.Plans) == 0:
		return invalid("Plans", "none")
	case settings.MaxAttempts < 1:
		return invalid("MaxAttempts", settings.MaxAttempts)
	case settings.MeanUnits < 0 || settings.MostUnits < 0:
		return invalid("MeanUnits, MostUnits", []float64{settings.MeanUnits, settings.MostUnits})
	}
	settings.MeanUnits = cmp.Or(settings.MeanUnits, 1)
	settings.MostUnits = max(settings.MostUnits, settings.MeanUnits)
	for i, c := range settings.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return invalid(fmt.Sprintf("Classes[%d].Aim, Deadline", i), []Micros{c.Aim, c.Deadline})
		}
	}
	for i, p := range settings.Plans {
		if p.Rate < 0 || p.Reserve < 0 || p.Weight < 0 || p.LimitRate < 0 || p.LimitBurst < 0 {
			return invalid(fmt.Sprintf("Plans[%d]", i), p)
		}
		settings.Plans[i].Weight = cmp.Or(p.Weight, 1)
	}
	return nil
}

// hasClassAndPlan reports whether a request's class and plan are in the
// settings.
func (settings *Settings) hasClassAndPlan(req *Request) bool {
	return req.Class >= 0 && req.Class < len(settings.Classes) && req.Volume.Plan >= 0 && req.Volume.Plan < len(settings.Plans)
}
