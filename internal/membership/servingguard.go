package membership

import (
	"log/slog"
	"sync"
	"time"

	"arrowwalk/internal/membership/lease"
)

// ServingGuard tells a brick whether it may serve. A Registrar confirms its lease while the
// brick's session is alive. It is safe for concurrent use.
type ServingGuard struct {
	log   *slog.Logger
	start time.Time

	mu        sync.Mutex
	lease     *lease.Lease
	suspended bool
	replaced  bool // for good
}

// NewServingGuard returns a guard for a brick whose session has a timeout; 0 means 5 s. A
// nil log discards the log.
func NewServingGuard(sessionTimeout time.Duration, log *slog.Logger) *ServingGuard {
	opts := ZKOptions{SessionTimeout: sessionTimeout, Log: log}
	opts.defaults()
	return &ServingGuard{log: opts.Log, start: time.Now(), lease: lease.New(opts.SessionTimeout, 0)}
}

// now returns the time since the guard was made. The monotonic clock may stand still while
// the machine is suspended; the wall clock does not.
func (g *ServingGuard) now() time.Duration {
	now := time.Now()
	return max(now.Sub(g.start), now.Round(0).Sub(g.start.Round(0)))
}

// MayServe reports whether the brick may serve. It records that the process runs.
func (g *ServingGuard) MayServe() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	mayServe := g.lease.Run(g.now()) && !g.replaced
	g.note(!mayServe)
	return mayServe
}

// replace records that another brick has taken this one's place.
func (g *ServingGuard) replace() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replaced, g.suspended = true, true
}

// beginCheck returns the time for confirm, before the session is looked at.
func (g *ServingGuard) beginCheck() time.Duration {
	g.MayServe() // notices now whether the process stood still
	return g.now()
}

// confirm records that the brick's session was alive, and its node its own, at a time that
// beginCheck returned.
func (g *ServingGuard) confirm(at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease.Confirm(at)
	g.note(!g.lease.Run(g.now()))
}

// note logs a change. The caller holds g.mu.
func (g *ServingGuard) note(suspended bool) {
	if suspended == g.suspended {
		return
	}
	g.suspended = suspended
	if suspended {
		g.log.Warn("process stood still, nothing is served until the session is confirmed")
		return
	}
	g.log.Info("session confirmed, the brick serves again")
}

// watch records that the process runs until stop is closed.
func (g *ServingGuard) watch(stop <-chan struct{}, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			g.MayServe()
		}
	}
}
