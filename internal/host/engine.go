// Package host runs the scheduler module on a real host. An Engine combines the
// module with its timers and uses neither I/O nor a clock. A Host drives an
// Engine: it accepts tasks from any number of goroutines, steps the Engine from
// one goroutine at a time and executes the actions that the module returns. The
// package knows nothing of the protocols of clients and bricks; a Runner makes
// the attempts.
package host

import (
	"fmt"

	"arrowwalk"
	"arrowwalk/internal/timers"
)

// Engine is a Scheduler with its timers. It does no I/O and reads no clock, so
// the emulator and a running host use the same one. It is not safe for
// concurrent use.
type Engine struct {
	scheduler *arrowwalk.Scheduler
	wheel     *timers.Wheel
	tokens    []uint64
	events    []arrowwalk.Event
}

// minTickMicros is the shortest tick of the timing wheel.
const minTickMicros = 100

// NewEngine returns an Engine whose time starts at now. The error names the
// invalid setting.
func NewEngine(set arrowwalk.Settings, now arrowwalk.Micros) (*Engine, error) {
	s, err := arrowwalk.New(set)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	tick := max(int64(set.Tick), minTickMicros)
	return &Engine{scheduler: s, wheel: timers.NewWheel(tick, int64(now))}, nil
}

// Step passes the expired timers and then events to the module. It returns the
// module's actions except SetTimer, which the Engine handles itself. The result
// is valid until the next call.
func (e *Engine) Step(now arrowwalk.Micros, events []arrowwalk.Event) []arrowwalk.Action {
	e.tokens = e.wheel.Advance(int64(now), e.tokens[:0])
	e.events = e.events[:0]
	for _, token := range e.tokens {
		e.events = append(e.events, &arrowwalk.TimerFired{Token: token})
	}
	e.events = append(e.events, events...)
	actions := e.scheduler.Step(now, e.events...)
	clear(e.events)
	external := actions[:0]
	for _, a := range actions {
		if a.Kind == arrowwalk.SetTimer {
			e.wheel.Add(int64(now+a.Delay), a.Token)
		} else {
			external = append(external, a)
		}
	}
	return external
}

// Next returns the time by which Step should be called even if there are no
// events. It returns false if no timer is set.
func (e *Engine) Next() (arrowwalk.Micros, bool) {
	at, ok := e.wheel.Next()
	return arrowwalk.Micros(at), ok
}

// View returns a copy of the module's state of its nodes and volumes.
func (e *Engine) View() ([]arrowwalk.NodeView, []arrowwalk.VolumeView) { return e.scheduler.View() }
