package brickd

import (
	"sync"

	"arrowwalk/internal/store/admission"
)

// line has requests wait for their turn, as admit.Line decides.
type line struct {
	mu    sync.Mutex
	line  *admission.Controller
	turns map[admission.Ticket]chan struct{}
}

func newLine(l admission.Limits) *line {
	return &line{line: admission.New(l), turns: map[admission.Ticket]chan struct{}{}}
}

// enter waits for a worker; false: too many wait already.
func (l *line) enter(k admission.Kind, cost float64) bool {
	l.mu.Lock()
	v, ticket := l.line.Arrive(k, cost)
	if v != admission.Queued {
		l.mu.Unlock()
		return v == admission.Admitted
	}
	turn := make(chan struct{})
	l.turns[ticket] = turn
	l.mu.Unlock()
	<-turn
	return true
}

// leave gives the worker of a request of a kind to the next.
func (l *line) leave(k admission.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next, ok := l.line.Done(k); ok {
		close(l.turns[next])
		delete(l.turns, next)
	}
}

func (l *line) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.line.Queued()
}
