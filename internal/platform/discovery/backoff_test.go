package discovery

import (
	"testing"
	"time"
)

// watches lists how long a watch can take to end.
var watches = []time.Duration{
	0,                              // connection refused, or reset at once
	dialTimeout,                    // the connection is not accepted
	firstDataTimeout,               // accepted, then no response or half a value
	idleTimeout,                    // alive once, then silent
	minOpenWatch + idleTimeout,     // alive for a while, then silent
	minOpenWatch - time.Nanosecond, // alive or silent, then reset
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
			next.next(c)
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
		for _, open := range watches[:4] {
			after := b
			worst = max(worst, open+after.next(open))
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
		for _, alive := range []time.Duration{0, minOpenWatch} {
			after := b
			worst = max(worst, idleTimeout+after.next(alive+idleTimeout)+after.next(0))
		}
	})
	if worst > 6*time.Second-slack/2 {
		t.Errorf("delivered up to %s late", worst)
	}
	t.Logf("worst: %s", worst)
}

// drainGrace is the shortest time after which no request may be sent to a brick that
// drains.
const drainGrace = 500 * time.Millisecond

// What an agent has at its return is delivered within the grace, whatever watches came
// before, and a silent agent is always being asked.
func TestReturnIsNoticedWithinTheGrace(t *testing.T) {
	forEachSequence(6, func(b backoff) {
		for _, open := range watches {
			after := b
			wait := after.next(open)
			if wait > drainGrace-drainGrace/5 {
				t.Errorf("after a watch of %s the agent is not asked for %s", open, wait)
			}
			if open >= dialTimeout && wait != 0 {
				t.Errorf("after a watch of %s on a silent agent it is not asked for %s", open, wait)
			}
		}
	})
}

// An agent is called at most so often by one host, however its calls end.
func TestCallsAreBounded(t *testing.T) {
	const span, maxCalls = 10 * time.Second, 30
	for _, open := range watches {
		var b backoff
		calls := 0
		for at := time.Duration(0); at < span; at += open + b.next(open) {
			calls++
		}
		if calls > maxCalls {
			t.Errorf("%d calls in %s to an agent whose calls end after %s", calls, span, open)
		}
	}
}

// The list of a new agent is delivered within 4 s of the signal, even if the first
// watch is not accepted and the second not answered: the backoff starts anew.
func TestNewAgentIsAskedInTime(t *testing.T) {
	var b backoff
	if took := dialTimeout + b.next(dialTimeout) + firstDataTimeout + b.next(firstDataTimeout); took > 4*time.Second-slack/4 {
		t.Errorf("delivered %s after the signal", took)
	}
}

// A watch that was open for long is reopened at once, but only the first time.
func TestBackoff(t *testing.T) {
	var b backoff
	for i, c := range []struct{ open, want time.Duration }{
		{0, minBackoff}, {0, 2 * minBackoff}, {time.Millisecond, 4 * minBackoff}, {minOpenWatch, 0}, {0, minBackoff}, {minOpenWatch - 1, 2 * minBackoff},
		{0, 4 * minBackoff}, {0, 8 * minBackoff}, {0, maxBackoff}, {0, maxBackoff},
	} {
		if got := b.next(c.open); got != c.want {
			t.Errorf("watch %d: wait %s, want %s", i, got, c.want)
		}
	}
}
