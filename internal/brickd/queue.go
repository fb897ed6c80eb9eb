package brickd

import (
	"sync"

	"arrowwalk/internal/store/admission"
)

// queue blocks requests until a worker is free, as an admission.Controller
// decides. It is safe for concurrent use.
type queue struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiters    map[admission.Ticket]chan struct{}
}

func newQueue(limits admission.Limits) *queue {
	return &queue{controller: admission.New(limits), waiters: map[admission.Ticket]chan struct{}{}}
}

// acquire waits for a worker. It returns false if the queue is full.
func (q *queue) acquire(kind admission.Kind, cost float64) bool {
	q.mu.Lock()
	decision, ticket := q.controller.Arrive(kind, cost)
	if decision != admission.Queued {
		q.mu.Unlock()
		return decision == admission.Admitted
	}
	ready := make(chan struct{})
	q.waiters[ticket] = ready
	q.mu.Unlock()
	<-ready
	return true
}

// release passes the worker of a request of the given kind to the next request.
func (q *queue) release(kind admission.Kind) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if next, ok := q.controller.Done(kind); ok {
		close(q.waiters[next])
		delete(q.waiters, next)
	}
}

// length returns the number of waiting requests.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Queued()
}
