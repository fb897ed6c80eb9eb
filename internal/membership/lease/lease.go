// Package lease decides whether a brick may still serve after its process stood still. A
// brick whose session with the coordination service ends is replaced by another one: what
// it accepts from then on is lost. A process that stood still cannot know whether that
// happened until it has asked.
//
// A brick that merely cannot reach the coordination service goes on: while that is down,
// no session ends. The package has no side effects.
package lease

import "time"

// Lease is the right of a brick to serve. Times are counted from any fixed moment. It is
// not safe for concurrent use.
type Lease struct {
	sessionTimeout time.Duration
	confirmedAt    time.Duration // the session was known to be alive
	ranAt          time.Duration // the process was known to run
	suspendedAt    time.Duration
	suspended      bool
}

// New returns a lease that is confirmed at now. The coordination service ends a session
// that it has not heard of for sessionTimeout.
func New(sessionTimeout, now time.Duration) *Lease {
	return &Lease{sessionTimeout: sessionTimeout, confirmedAt: now, ranAt: now}
}

// Run records that the process runs at now and reports whether the brick may serve. Call
// it more often than in a quarter of the session timeout, and before each request.
func (l *Lease) Run(now time.Duration) (mayServe bool) {
	now = max(now, l.ranAt)
	wasConnected := l.ranAt-l.confirmedAt <= l.sessionTimeout/2
	expired := now-l.confirmedAt >= l.sessionTimeout
	stoodStill := now - l.ranAt
	if stoodStill >= l.sessionTimeout || wasConnected && expired {
		l.suspended, l.suspendedAt = true, now
	}
	l.ranAt = now
	return !l.suspended
}

// Confirm records that the session was alive at a time, and the brick's node its own. It
// ends a suspension that began before.
func (l *Lease) Confirm(at time.Duration) {
	l.confirmedAt = max(l.confirmedAt, at)
	if l.suspended && at >= l.suspendedAt {
		l.suspended = false
	}
}
