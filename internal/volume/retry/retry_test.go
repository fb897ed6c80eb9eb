package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestNext checks the wait or the reason to give up for each kind of call and
// outcome.
func TestNext(t *testing.T) {
	for _, c := range []struct {
		name        string
		kind        Kind
		outcome     Outcome
		age, advice time.Duration
		wantWait    time.Duration
		wantReason  GiveUpReason
	}{
		{"a refused write waits as long as the module advises", Write, Refused, 0, 100 * ms, 100 * ms, ""},
		{"the minimum wait holds", Read, Refused, 0, 0, 5 * ms, ""},
		{"the maximum wait holds", Write, Refused, 0, 5 * time.Second, 500 * ms, ""},
		{"a wait past the maximum elapsed time gives up", Write, Refused, 29_600 * ms, time.Second, 0, ReasonTimeout},
		{"a wait up to exactly the maximum elapsed time", Write, Refused, 29_500 * ms, time.Second, 500 * ms, ""},
		{"a failed write is an error", Write, Failed, 0, 0, 0, ReasonMayHaveRun},
		{"a failed read is retried", Read, Failed, 0, 0, 50 * ms, ""},
		{"a fenced read is not retried", Read, Fenced, 0, 0, 0, ReasonFenced},
	} {
		if wait, reason := DefaultPolicy.NextWait(&State{}, c.kind, c.outcome, c.age, c.advice); wait != c.wantWait || reason != c.wantReason {
			t.Errorf("%s: %s %q, want %s %q", c.name, wait, reason, c.wantWait, c.wantReason)
		}
	}
	state := &State{}
	for i, want := range []time.Duration{50 * ms, 100 * ms, 200 * ms} {
		if wait, reason := DefaultPolicy.NextWait(state, Read, Failed, 0, 0); wait != want || reason != "" {
			t.Errorf("failure %d: wait %s, reason %q", i+1, wait, reason)
		}
		DefaultPolicy.NextWait(state, Read, Refused, 0, 0) // a refusal does not count as a failure
	}
	if _, reason := DefaultPolicy.NextWait(state, Read, Failed, 0, 0); reason != ReasonTooManyFailures {
		t.Errorf("reason after the fourth failure: %q", reason)
	}
	if _, reason := (&Policy{}).NextWait(&State{}, Read, Refused, 0, 0); reason != "" && reason != ReasonTimeout {
		t.Errorf("zero policy: reason %q", reason)
	}
}

// TestNextIsBounded checks with random outcomes that a request ends within
// MaxElapsed, that its waits keep to MinWait and MaxWait, and that a write that
// may have run is never repeated.
func TestNextIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		state, age, calls := &State{}, time.Duration(0), 0
		kind := Kind(random.IntN(2))
		for {
			age += time.Duration(random.IntN(400)) * ms
			outcome := Outcome(random.IntN(10) / 9) // one in ten fails
			wait, reason := DefaultPolicy.NextWait(state, kind, outcome, age, time.Duration(random.IntN(3000))*ms)
			if kind == Write && outcome == Failed && reason != ReasonMayHaveRun {
				t.Fatalf("a write that may have run is repeated after %s", wait)
			}
			if reason != "" {
				break
			}
			if wait < DefaultPolicy.MinWait || wait > DefaultPolicy.MaxWait || age+wait > DefaultPolicy.MaxElapsed {
				t.Fatalf("wait of %s at age %s", wait, age)
			}
			age += wait
			if calls++; calls > int(DefaultPolicy.MaxElapsed/DefaultPolicy.MinWait) {
				t.Fatal("the request is retried without end")
			}
		}
	}
}
