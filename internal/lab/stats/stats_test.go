package stats

import (
	"math/rand/v2"
	"testing"
)

// Intervals hold the truth about as often as they say.
func TestBootstrapCovers(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	const runs = 100
	held := 0
	for i := range runs {
		values := make([]float64, 25)
		for j := range values {
			values[j] = 10 + rnd.NormFloat64()
		}
		if b := BootstrapMedian(values, uint64(i)); b.Low <= 10 && 10 <= b.High && b.Low <= b.Median && b.Median <= b.High {
			held++
		}
	}
	if held < runs*88/100 {
		t.Errorf("%d of %d intervals hold the median", held, runs)
	}
}

// A comparison says what is there, and nothing where there is nothing.
func TestCompare(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	wrong := 0
	for i := range 100 {
		a, b, c := make([]float64, 12), make([]float64, 12), make([]float64, 12)
		for j := range a {
			day := rnd.NormFloat64() * 5 // days differ much more than versions
			a[j], b[j], c[j] = day+rnd.NormFloat64(), day+rnd.NormFloat64()+3, day+rnd.NormFloat64()
		}
		if Compare(a, b, uint64(i)).Verdict != More || Compare(b, a, uint64(i)).Verdict != Less {
			t.Errorf("run %d: a difference of three deviations is not shown", i)
		}
		if Compare(a, c, uint64(i)).Verdict != NoDifference {
			wrong++
		}
	}
	if wrong > 10 {
		t.Errorf("%d of 100 comparisons of equals show a difference", wrong)
	}
	if v := Compare([]float64{1, 2}, []float64{5, 6}, 1).Verdict; v != TooFewPairs {
		t.Errorf("two pairs: %s", v)
	}
}
