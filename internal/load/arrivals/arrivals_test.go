package arrivals

import (
	"math"
	"strings"
	"testing"
	"time"
)

// collect reads all arrivals of a source. It returns their number, the last
// one, and a function that counts those whose offset in the period is in [from,
// to).
func collect(s Source) (n int, last time.Duration, countIn func(from, to time.Duration, period time.Duration) int) {
	var all []time.Duration
	for at, ok := s.Next(); ok; at, ok = s.Next() {
		if at < last {
			panic("arrivals are not in ascending order")
		}
		last = at
		all = append(all, at)
	}
	return len(all), last, func(from, to, period time.Duration) (n int) {
		for _, at := range all {
			if p := at % period; p >= from && p < to {
				n++
			}
		}
		return n
	}
}

// TestRates checks that the number of arrivals is within five standard
// deviations of the mean, overall and within bursts, and that bursts above the
// mean rate are rejected.
func TestRates(t *testing.T) {
	n, last, _ := collect(NewPoisson(1000, 20*time.Second, 1))
	if math.Abs(float64(n)-20_000) > 5*math.Sqrt(20_000) || last >= 20*time.Second {
		t.Errorf("%d arrivals until %s", n, last)
	}
	b, err := NewBursts(1000, 4, 200*time.Millisecond, time.Second, 20*time.Second, 1)
	if err != nil {
		t.Fatal(err)
	}
	n, _, countIn := collect(b)
	high := countIn(0, 200*time.Millisecond, time.Second)
	if math.Abs(float64(n)-20_000) > 5*math.Sqrt(20_000) || math.Abs(float64(high)-16_000) > 5*math.Sqrt(16_000) {
		t.Errorf("%d arrivals, %d in bursts", n, high)
	}
	if _, err := NewBursts(1000, 6, 200*time.Millisecond, time.Second, time.Second, 1); err == nil {
		t.Error("bursts that exceed the mean rate were accepted")
	}
}

// TestTrace checks that a trace is read with its comments, and that an error
// names the invalid line.
func TestTrace(t *testing.T) {
	tr, err := ReadTrace(strings.NewReader("# ms\n0\n1.5\n\n1.5\n20\n"))
	if err != nil {
		t.Fatal(err)
	}
	if n, last, _ := collect(tr); n != 4 || last != 20*time.Millisecond {
		t.Errorf("%d arrivals until %s", n, last)
	}
	for text, want := range map[string]string{"1\n0.5\n": "line 2", "x\n": "line 1", "NaN\n": "line 1", "-1\n": "line 1"} {
		if _, err := ReadTrace(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func FuzzTrace(f *testing.F) {
	f.Add("0\n1\n2.5\n")
	f.Fuzz(func(t *testing.T, text string) {
		tr, err := ReadTrace(strings.NewReader(text))
		if err == nil {
			collect(tr)
		}
	})
}
