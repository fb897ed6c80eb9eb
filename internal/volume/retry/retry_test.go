package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name        string
		kind        Kind
		end         Outcome
		age, advice time.Duration
		wait        time.Duration
		why         GiveUpReason
	}{
		{"a refused write waits as the module asks", Write, Refused, 0, 100 * ms, 100 * ms, ""},
		{"not at once", Read, Refused, 0, 0, 5 * ms, ""},
		{"not for long", Write, Refused, 0, 5 * time.Second, 500 * ms, ""},
		{"until patience is over", Write, Refused, 29_600 * ms, time.Second, 0, ReasonTimeout},
		{"up to its end", Write, Refused, 29_500 * ms, time.Second, 500 * ms, ""},
		{"a failed write is an error", Write, Failed, 0, 0, 0, ReasonMayHaveRun},
		{"a failed read is asked again", Read, Failed, 0, 0, 50 * ms, ""},
		{"a fenced one never", Read, Fenced, 0, 0, 0, ReasonFenced},
	} {
		if wait, why := DefaultPolicy.NextWait(&State{}, c.kind, c.end, c.age, c.advice); wait != c.wait || why != c.why {
			t.Errorf("%s: %s %q, want %s %q", c.name, wait, why, c.wait, c.why)
		}
	}
	r := &State{}
	for i, want := range []time.Duration{50 * ms, 100 * ms, 200 * ms} {
		if wait, why := DefaultPolicy.NextWait(r, Read, Failed, 0, 0); wait != want || why != "" {
			t.Errorf("failure %d: %s %q", i+1, wait, why)
		}
		DefaultPolicy.NextWait(r, Read, Refused, 0, 0) // does not count
	}
	if _, why := DefaultPolicy.NextWait(r, Read, Failed, 0, 0); why != ReasonTooManyFailures {
		t.Errorf("a fourth failure: %q", why)
	}
	if _, why := (&Policy{}).NextWait(&State{}, Read, Refused, 0, 0); why != "" && why != ReasonTimeout {
		t.Errorf("no policy: %q", why)
	}
}

// Whatever comes, a request ends within its patience, is asked no more often
// than the least wait allows, and a write that may have run is never asked again.
func TestNextIsBounded(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		r, age, calls := &State{}, time.Duration(0), 0
		kind := Kind(rnd.IntN(2))
		for {
			age += time.Duration(rnd.IntN(400)) * ms
			end := Outcome(rnd.IntN(10) / 9) // one in ten fails
			wait, why := DefaultPolicy.NextWait(r, kind, end, age, time.Duration(rnd.IntN(3000))*ms)
			if kind == Write && end == Failed && why != ReasonMayHaveRun {
				t.Fatalf("a write that may have run is asked again after %s", wait)
			}
			if why != "" {
				break
			}
			if wait < DefaultPolicy.MinWait || wait > DefaultPolicy.MaxWait || age+wait > DefaultPolicy.MaxElapsed {
				t.Fatalf("waits %s at %s", wait, age)
			}
			age += wait
			if calls++; calls > int(DefaultPolicy.MaxElapsed/DefaultPolicy.MinWait) {
				t.Fatal("without end")
			}
		}
	}
}
