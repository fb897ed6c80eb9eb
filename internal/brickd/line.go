package brickd

import (
	"sync"

	"arrowwalk/internal/store/admit"
)

// line has requests wait for their turn, as admit.Line decides.
type line struct {
	mu    sync.Mutex
	line  *admit.Line
	turns map[admit.Ticket]chan struct{}
}

func newLine(l admit.Limits) *line {
	return &line{line: admit.New(l), turns: map[admit.Ticket]chan struct{}{}}
}

// enter waits for a worker; false: too many wait already.
func (l *line) enter(k admit.Kind, cost float64) bool {
	l.mu.Lock()
	v, ticket := l.line.Arrive(k, cost)
	if v != admit.Wait {
		l.mu.Unlock()
		return v == admit.Go
	}
	turn := make(chan struct{})
	l.turns[ticket] = turn
	l.mu.Unlock()
	<-turn
	return true
}

// leave gives the worker of a request of a kind to the next.
func (l *line) leave(k admit.Kind) {
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
	return l.line.Waiting()
}
