package connpool

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"time"
)

var errPoolFull = errors.New("connection limit reached and no connection is idle")

// Attempt is one exchange on a connection that another goroutine may abort. The
// zero value is ready to use. An Attempt serves one exchange at a time and can
// be reused after Reset. It is safe for concurrent use.
type Attempt struct {
	mu      sync.Mutex
	nc      net.Conn           // nil while no connection is attached
	cancel  context.CancelFunc // of the dial in progress
	aborted bool
}

// Reset prepares a for another exchange.
func (a *Attempt) Reset() {
	a.mu.Lock()
	a.nc, a.cancel, a.aborted = nil, nil, false
	a.mu.Unlock()
}

// Abort makes the attempt's dial or I/O fail at once. It may be called before,
// during or after the exchange.
func (a *Attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.nc != nil {
		a.nc.SetDeadline(time.Unix(1, 0)) // in the past: pending I/O fails at once
	}
	if a.cancel != nil {
		a.cancel()
	}
}

// beginDial registers the function with which Abort cancels the dial. It
// returns false if the attempt is already aborted.
func (a *Attempt) beginDial(cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
	return !a.aborted
}

// Attach gives the attempt its connection and sets the connection's deadline.
// It returns false if the attempt is already aborted.
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

// ExtendDeadline sets the connection's deadline, unless the attempt is aborted.
func (a *Attempt) ExtendDeadline(deadline time.Time) {
	a.mu.Lock()
	if !a.aborted && a.nc != nil {
		a.nc.SetDeadline(deadline)
	}
	a.mu.Unlock()
}

// Detach takes the connection from the attempt. It returns false if the attempt
// was aborted, in which case the connection must not be reused.
func (a *Attempt) Detach() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nc, a.cancel = nil, nil
	return !a.aborted
}

// Aborted reports whether Abort was called since the last Reset.
func (a *Attempt) Aborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// NumberedAttempt runs a sequence of attempts, numbered from 0. Aborting one
// number does not affect later ones. It is safe for concurrent use.
type NumberedAttempt struct {
	Attempt
	numberMu     sync.Mutex
	begun        bool
	number       int // current attempt
	abortedBelow int // attempts below this number are aborted
}

// Begin starts the attempt with the given number. It returns false if that
// attempt is already aborted.
func (n *NumberedAttempt) Begin(number int) bool {
	n.numberMu.Lock()
	defer n.numberMu.Unlock()
	if n.abortedBelow > number {
		return false
	}
	n.number, n.begun = number, true
	n.Attempt.Reset()
	return true
}

// Abort aborts the attempt with the given number and all earlier ones. It may be
// called before, during or after the attempt.
func (n *NumberedAttempt) Abort(number int) {
	n.numberMu.Lock()
	defer n.numberMu.Unlock()
	n.abortedBelow = max(n.abortedBelow, number+1) // keeps the effect of AbortAll
	if n.begun && n.number == number {
		n.Attempt.Abort()
	}
}

// AbortAll aborts the current attempt and prevents further ones.
func (n *NumberedAttempt) AbortAll() {
	n.numberMu.Lock()
	defer n.numberMu.Unlock()
	n.abortedBelow = math.MaxInt
	n.Attempt.Abort()
}

// Number returns the number of the current attempt.
func (n *NumberedAttempt) Number() int {
	n.numberMu.Lock()
	defer n.numberMu.Unlock()
	return n.number
}
