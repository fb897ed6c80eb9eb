package connpool

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"
)

var errFull = errors.New("all connections that may be open are in use")

// Attempt is one exchange, which another goroutine may abort. Its zero value
// is ready; it serves one exchange at a time and may be reused after Reset.
type Attempt struct {
	mu      sync.Mutex
	nc      net.Conn
	cancel  context.CancelFunc
	aborted bool
}

// Reset makes a ready for another exchange.
func (a *Attempt) Reset() {
	a.mu.Lock()
	a.nc, a.cancel, a.aborted = nil, nil, false
	a.mu.Unlock()
}

// Abort ends the attempt's I/O: what waits returns an error at once. It may
// come before, during or after the exchange.
func (a *Attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.nc != nil {
		a.nc.SetDeadline(time.Unix(1, 0))
	}
	if a.cancel != nil {
		a.cancel()
	}
}

// dialing lets Abort end a dial; false: it came before.
func (a *Attempt) dialing(cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
	return !a.aborted
}

// Attach takes the connection into the attempt; false: it was aborted before.
func (a *Attempt) Attach(nc net.Conn, deadline time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	a.nc, a.cancel = nc, nil
	if nc != nil {
		nc.SetDeadline(deadline)
	}
	return true
}

// ExtendDeadline moves the connection's deadline, unless the attempt was aborted.
func (a *Attempt) ExtendDeadline(deadline time.Time) {
	a.mu.Lock()
	if !a.aborted && a.nc != nil {
		a.nc.SetDeadline(deadline)
	}
	a.mu.Unlock()
}

// Detach lets go of the connection and tells whether it may be used again.
func (a *Attempt) Detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nc, a.cancel = nil, nil
	return !a.aborted
}

// Aborted tells whether Abort was called.
func (a *Attempt) Aborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// NumberedAttempt is an Attempt that is made again and again: an Abort of one number
// ends no other.
type NumberedAttempt struct {
	Attempt
	turn    sync.Mutex
	begun   bool
	number  int // of the attempt that runs
	aborted int // attempts below this number are aborted
}

// Begin readies n for the attempt of a number, from 0 on; false: it was
// aborted before it began.
func (n *NumberedAttempt) Begin(number int) bool {
	n.turn.Lock()
	defer n.turn.Unlock()
	if n.aborted > number {
		return false
	}
	n.number, n.begun = number, true
	n.Attempt.Reset()
	return true
}

// Abort ends the attempt of that number: before, during or after it runs.
func (n *NumberedAttempt) Abort(number int) {
	n.turn.Lock()
	defer n.turn.Unlock()
	n.aborted = max(n.aborted, number+1) // a Cut stays
	if n.begun && n.number == number {
		n.Attempt.Abort()
	}
}

// AbortAll ends the attempt that runs, and lets none begin any more.
func (n *NumberedAttempt) AbortAll() {
	n.turn.Lock()
	defer n.turn.Unlock()
	n.aborted = math.MaxInt
	n.Attempt.Abort()
}

// Number returns the number of the attempt that runs.
func (n *NumberedAttempt) Number() int {
	n.turn.Lock()
	defer n.turn.Unlock()
	return n.number
}
