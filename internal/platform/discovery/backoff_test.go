package discovery

import (
	"testing"
	"time"
)

// watches lists how a watch can go: how long it takes to end, and for how long of
// that it was alive.
var watches = []struct{ duration, alive time.Duration }{
	{0, 0},                         // connection refused, or reset at once
	{dialTimeout, 0},               // the connection is not accepted
	{firstDataTimeout, 0},          // accepted, then no response or half a value
	{idleTimeout, time.Nanosecond}, // alive once, then silent
	{minStableWatch + idleTimeout, minStableWatch}, // alive for a while, then silent
	{minStableWatch / 2, minStableWatch / 2},       // alive briefly, then reset
}

// forEachSequence calls fn with the backoff after every sequence of up to n
// watches.
func forEachSequence(n int, fn func(b backoff)) {
	var walk func(b backoff, left int)
	walk = func(b backoff, left int) {
		fn(b)
		if left == 0 {
			return
		}
		for _, c := range watches {
			next := b
			next.next(c.alive)
			walk(next, left-1)
		}
	}
	walk(backoff{}, n)
}

// slack is the part of the 6 s that is left for processing and the network.
const slack = time.Second

// A change is delivered within 6 s after discovery has it and is reachable. In the
// worst case discovery becomes reachable right after a watch was opened that
// fails, whatever watches came before.
func TestLateListIsTold(t *testing.T) {
	worst := time.Duration(0)
	forEachSequence(6, func(b backoff) {
		for _, c := range watches[:4] {
			after := b
			worst = max(worst, c.duration+after.next(c.alive))
		}
	})
	if worst > 6*time.Second-slack {
		t.Errorf("delivered up to %s late", worst)
	}
	t.Logf("worst: %s", worst)
}

// What a silent watch misses is delivered within 6 s: the idle timeout, the
// backoff, and one more failed watch before the agent answers.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	worst := time.Duration(0)
	forEachSequence(6, func(b backoff) {
		for _, alive := range []time.Duration{time.Nanosecond, minStableWatch} {
			after := b
			worst = max(worst, idleTimeout+after.next(alive)+after.next(0))
		}
	})
	if worst > 6*time.Second-slack/2 {
		t.Errorf("delivered up to %s late", worst)
	}
	t.Logf("worst: %s", worst)
}

// The list of a new agent is delivered within 4 s of the signal, even if the first
// watch is not accepted and the second not answered: the backoff starts anew.
func TestNewAgentIsAskedInTime(t *testing.T) {
	var b backoff
	if took := dialTimeout + b.next(0) + firstDataTimeout + b.next(0); took > 4*time.Second-slack/4 {
		t.Errorf("delivered %s after the signal", took)
	}
}

// A watch that was stable is reopened at once, but only the first time.
func TestBackoff(t *testing.T) {
	var b backoff
	for i, c := range []struct{ alive, want time.Duration }{
		{0, minBackoff}, {0, 2 * minBackoff}, {time.Millisecond, 4 * minBackoff}, {minStableWatch, 0}, {0, minBackoff}, {minStableWatch - 1, 2 * minBackoff},
		{0, 4 * minBackoff}, {0, 8 * minBackoff}, {0, 16 * minBackoff}, {0, maxBackoff}, {0, maxBackoff},
	} {
		if got := b.next(c.alive); got != c.want {
			t.Errorf("watch %d: wait %s, want %s", i, got, c.want)
		}
	}
}
