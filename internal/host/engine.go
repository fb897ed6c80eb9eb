// Package host runs the module for one host. Its Engine is the module with its
// timers, free of I/O and clock; its Host steps an Engine in one goroutine at a
// time, takes tasks from any number of others and has the module's actions
// carried out. It knows neither clients' protocols nor bricks'.
package host

import (
	"fmt"

	"arrowwalk"
	"arrowwalk/internal/timers"
)

// Engine is a Scheduler with its timers. It is free of I/O and clock; the
// emulator and the running host drive the same one.
type Engine struct {
	scheduler *arrowwalk.Scheduler
	wheel     *timers.Wheel
	tokens    []uint64
	events    []arrowwalk.Event
}

// NewEngine returns an Engine at the given time, or an error that names the
// setting at fault.
func NewEngine(set arrowwalk.Settings, now arrowwalk.Micros) (*Engine, error) {
	s, err := arrowwalk.New(set)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	tick := max(int64(set.Tick), 100)
	return &Engine{scheduler: s, wheel: timers.NewWheel(tick, int64(now))}, nil
}

// Step hands the timers that ran out and then events to the module, and
// returns what is to be done but for SetTimer, which the Engine does itself.
// The result is valid until the next call.
func (e *Engine) Step(now arrowwalk.Micros, events []arrowwalk.Event) []arrowwalk.Action {
	e.tokens = e.wheel.Advance(int64(now), e.tokens[:0])
	e.events = e.events[:0]
	for _, token := range e.tokens {
		e.events = append(e.events, &arrowwalk.TimerFired{Token: token})
	}
	e.events = append(e.events, events...)
	actions := e.scheduler.Step(now, e.events...)
	clear(e.events)
	rest := actions[:0]
	for _, a := range actions {
		if a.Kind == arrowwalk.SetTimer {
			e.wheel.Add(int64(now+a.Delay), a.Token)
		} else {
			rest = append(rest, a)
		}
	}
	return rest
}

// Next returns the time by which Step should be called even without events.
func (e *Engine) Next() (arrowwalk.Micros, bool) {
	at, ok := e.wheel.Next()
	return arrowwalk.Micros(at), ok
}

// View copies what the module knows of its nodes and volumes.
func (e *Engine) View() ([]arrowwalk.NodeView, []arrowwalk.VolumeView) { return e.scheduler.View() }
