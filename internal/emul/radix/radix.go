// Package radix implements the event queue of a simulation as a radix heap
// (Ahuja, Mehlhorn, Orlin and Tarjan, "Faster algorithms for the shortest path
// problem", 1990). It relies on virtual time that never goes back: a value
// moves to a lower bucket at most once per bit of its time, without comparisons
// between values. Values with the same time are popped in the order in which
// they were pushed, so runs are reproducible.
package radix

import "math/bits"

// Queue is a priority queue of values by time. The zero Queue is empty and at
// time 0. It is not safe for concurrent use.
type Queue[T any] struct {
	last   int64 // time of the last Pop
	count  int
	head   int // index in bucket 0 of the next value to pop
	bucket [65][]item[T]
}

type item[T any] struct {
	at    int64
	value T
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return q.count }

// Push adds a value. A time before the last popped one is replaced by that
// time. Times may have any unit.
func (q *Queue[T]) Push(at int64, v T) {
	at = max(at, q.last)
	b := bits.Len64(uint64(at ^ q.last))
	q.bucket[b] = append(q.bucket[b], item[T]{at, v})
	q.count++
}

// Pop removes the value with the earliest time and returns it, or false if the
// queue is empty.
func (q *Queue[T]) Pop() (at int64, v T, ok bool) {
	if q.count == 0 {
		return q.last, v, false
	}
	if q.head == len(q.bucket[0]) {
		q.refillFirstBucket()
	}
	first := &q.bucket[0][q.head]
	at, v = first.at, first.value
	var zero T
	first.value = zero // let the garbage collector free what the value refers to
	q.head++
	q.count--
	return at, v, true
}

// refillFirstBucket redistributes the lowest non-empty bucket; its earliest
// values end up in bucket 0.
func (q *Queue[T]) refillFirstBucket() {
	q.bucket[0], q.head = q.bucket[0][:0], 0
	b := 1
	for len(q.bucket[b]) == 0 {
		b++
	}
	values := q.bucket[b]
	q.last = values[0].at
	for i := range values {
		q.last = min(q.last, values[i].at)
	}
	for i := range values {
		to := bits.Len64(uint64(values[i].at ^ q.last))
		q.bucket[to] = append(q.bucket[to], values[i])
	}
	clear(values)
	q.bucket[b] = values[:0]
}
