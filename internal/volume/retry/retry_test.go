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
		end         End
		age, advice time.Duration
		wait        time.Duration
		why         Why
	}{
		{"a refused write waits as the module asks", Write, Refused, 0, 100 * ms, 100 * ms, ""},
		{"not at once", Read, Refused, 0, 0, 5 * ms, ""},
		{"not for long", Write, Refused, 0, 5 * time.Second, 500 * ms, ""},
		{"until patience is over", Write, Refused, 29_600 * ms, time.Second, 0, Patience},
		{"up to its end", Write, Refused, 29_500 * ms, time.Second, 500 * ms, ""},
		{"a failed write is an error", Write, Failed, 0, 0, 0, MayHave},
		{"a failed read is asked again", Read, Failed, 0, 0, 50 * ms, ""},
		{"a fenced one never", Read, Fenced, 0, 0, 0, Over},
	} {
		if wait, why := Default.Next(&Request{}, c.kind, c.end, c.age, c.advice); wait != c.wait || why != c.why {
			t.Errorf("%s: %s %q, want %s %q", c.name, wait, why, c.wait, c.why)
		}
	}
	r := &Request{}
	for i, want := range []time.Duration{50 * ms, 100 * ms, 200 * ms} {
		if wait, why := Default.Next(r, Read, Failed, 0, 0); wait != want || why != "" {
			t.Errorf("failure %d: %s %q", i+1, wait, why)
		}
		Default.Next(r, Read, Refused, 0, 0) // does not count
	}
	if _, why := Default.Next(r, Read, Failed, 0, 0); why != TooMany {
		t.Errorf("a fourth failure: %q", why)
	}
	if _, why := (&Policy{}).Next(&Request{}, Read, Refused, 0, 0); why != "" && why != Patience {
		t.Errorf("no policy: %q", why)
	}
}

// Whatever comes, a request ends within its patience, is asked no more often
// than the least wait allows, and a write that may have run is never asked again.
func TestNextIsBounded(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		r, age, calls := &Request{}, time.Duration(0), 0
		kind := Kind(rnd.IntN(2))
		for {
			age += time.Duration(rnd.IntN(400)) * ms
			end := End(rnd.IntN(10) / 9) // one in ten fails
			wait, why := Default.Next(r, kind, end, age, time.Duration(rnd.IntN(3000))*ms)
			if kind == Write && end == Failed && why != MayHave {
				t.Fatalf("a write that may have run is asked again after %s", wait)
			}
			if why != "" {
				break
			}
			if wait < Default.LeastWait || wait > Default.MostWait || age+wait > Default.Patience {
				t.Fatalf("waits %s at %s", wait, age)
			}
			age += wait
			if calls++; calls > int(Default.Patience/Default.LeastWait) {
				t.Fatal("without end")
			}
		}
	}
}
