package lease

import (
	"testing"
	"time"
)

const sessionTimeout = 5 * time.Second

// runEvery calls Run each 100 ms from one time to another and returns the last result.
func runEvery(l *Lease, from, to time.Duration) bool {
	mayServe := true
	for at := from; at <= to; at += 100 * time.Millisecond {
		mayServe = l.Run(at)
	}
	return mayServe
}

// Guards against a brick that goes on serving when it wakes up after its session has ended.
func TestStandstillSuspendsUntilConfirmed(t *testing.T) {
	for _, c := range []struct {
		name            string
		confirmed, runs time.Duration // before the process stands still
		wakes           time.Duration
		mayServe        bool
	}{
		{"short", 10 * time.Second, 10 * time.Second, 12 * time.Second, true},
		{"since the last confirmation for a session's time", 9 * time.Second, 10 * time.Second, 14 * time.Second, false},
		{"longer than a session", 10 * time.Second, 10 * time.Second, 17 * time.Second, false},
		{"short while the coordination service is away", 10 * time.Second, 40 * time.Second, 43 * time.Second, true},
		{"longer than a session while it is away", 10 * time.Second, 40 * time.Second, 46 * time.Second, false},
	} {
		l := New(sessionTimeout, 0)
		runEvery(l, 0, c.confirmed)
		l.Confirm(c.confirmed)
		if !runEvery(l, c.confirmed, c.runs) {
			t.Errorf("%s: suspended before", c.name)
		}
		if got := l.Run(c.wakes); got != c.mayServe {
			t.Errorf("%s: may serve %v, want %v", c.name, got, c.mayServe)
		}
		l.Confirm(c.wakes - time.Millisecond)
		if got := l.Run(c.wakes); got != c.mayServe {
			t.Errorf("%s: may serve %v after a confirmation from before it woke up", c.name, got)
		}
		l.Confirm(c.wakes + time.Millisecond)
		if !l.Run(c.wakes + 2*time.Millisecond) {
			t.Errorf("%s: suspended after a confirmation", c.name)
		}
	}
}

// A brick that runs goes on while the coordination service is away, however long.
func TestOutageDoesNotSuspend(t *testing.T) {
	l := New(sessionTimeout, 0)
	if !runEvery(l, 0, time.Hour) {
		t.Error("suspended")
	}
}
