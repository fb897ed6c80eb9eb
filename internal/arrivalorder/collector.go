// Package arrivalorder restores the order in which requests arrived at a process that
// was stalled. Such a process finds many requests at once, and the order in which it
// reads them says nothing about their arrival. A Collector holds the requests that are
// read after a stall until every source that may have received one during the stall
// has been read, and then releases them in order of arrival. It has no clock: all times
// are microseconds that the caller supplies. A source is a connection or a listener.
package arrivalorder

import (
	"cmp"
	"slices"
)

// Collector decides when the requests found after a stall may go on. S identifies
// sources and R requests. Its zero value collects nothing. It is not safe for
// concurrent use.
type Collector[S, R comparable] struct {
	collecting bool
	deadline   int64
	unread     map[S]struct{} // sources on which a request may lie unread
	held       []heldRequest[R]
}

// heldRequest is a request that waits for others that may have arrived before it.
type heldRequest[R comparable] struct {
	request   R
	arrivedAt int64
}

// Begin starts to collect after a stall of the given length that ended at now, for maxWait
// at most. The sources are to be added with AddSource. If requests are held already, they
// wait for the new sources too, and the stall does not use up their wait.
func (c *Collector[S, R]) Begin(now, stalled, maxWait int64) {
	if c.collecting {
		c.deadline += stalled
	} else {
		c.collecting, c.deadline = true, now+maxWait
	}
	if c.unread == nil {
		c.unread = map[S]struct{}{}
	}
}

// Collecting reports whether requests are being held.
func (c *Collector[S, R]) Collecting() bool { return c.collecting }

// Deadline returns the time at which all held requests go on in any case. It is
// meaningful only while Collecting.
func (c *Collector[S, R]) Deadline() int64 { return c.deadline }

// AddSource adds a source on which a request may lie unread.
func (c *Collector[S, R]) AddSource(source S) {
	if c.collecting {
		c.unread[source] = struct{}{}
	}
}

// RemoveSource records that source holds no unread request any more: its request was
// held or released, has not arrived completely, or the source was closed.
func (c *Collector[S, R]) RemoveSource(source S) { delete(c.unread, source) }

// Hold holds a request that arrived at arrivedAt. It returns false, and holds nothing,
// if the request may go on at once.
func (c *Collector[S, R]) Hold(request R, arrivedAt int64) bool {
	if !c.collecting {
		return false
	}
	c.held = append(c.held, heldRequest[R]{request, arrivedAt})
	return true
}

// Withdraw removes a held request. It returns false if the request is not held.
func (c *Collector[S, R]) Withdraw(request R) bool {
	i := slices.IndexFunc(c.held, func(h heldRequest[R]) bool { return h.request == request })
	if i < 0 {
		return false
	}
	c.held = slices.Delete(c.held, i, i+1)
	return true
}

// Release ends the collecting if no source is unread or the deadline has passed, and
// returns the held requests in order of arrival. Requests with the same arrival time
// are in the order in which they were held. It returns false if requests stay held.
func (c *Collector[S, R]) Release(now int64) (requests []R, ok bool) {
	if !c.collecting || len(c.unread) > 0 && now < c.deadline {
		return nil, false
	}
	slices.SortStableFunc(c.held, func(a, b heldRequest[R]) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
	for _, h := range c.held {
		requests = append(requests, h.request)
	}
	c.collecting, c.unread, c.held = false, nil, nil
	return requests, true
}
