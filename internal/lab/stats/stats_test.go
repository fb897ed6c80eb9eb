package stats

import (
	"math/rand/v2"
	"testing"
)

// TestBootstrapCovers checks that at least 88% of the 95% intervals hold the
// true median.
func TestBootstrapCovers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const runs = 100
	covering := 0
	for i := range runs {
		values := make([]float64, 25)
		for j := range values {
			values[j] = 10 + random.NormFloat64()
		}
		if b := BootstrapMedian(values, uint64(i)); b.Low <= 10 && 10 <= b.High && b.Low <= b.Median && b.Median <= b.High {
			covering++
		}
	}
	if covering < runs*88/100 {
		t.Errorf("only %d of %d intervals hold the median", covering, runs)
	}
}

// TestCompare checks that a difference of three standard deviations is found in
// all runs, and a difference that does not exist in at most 10%.
func TestCompare(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	falsePositives := 0
	for i := range 100 {
		a, b, c := make([]float64, 12), make([]float64, 12), make([]float64, 12)
		for j := range a {
			pairMean := random.NormFloat64() * 5 // pairs differ much more from each other than within
			a[j], b[j], c[j] = pairMean+random.NormFloat64(), pairMean+random.NormFloat64()+3, pairMean+random.NormFloat64()
		}
		if Compare(a, b, uint64(i)).Verdict != More || Compare(b, a, uint64(i)).Verdict != Less {
			t.Errorf("run %d: a difference of three standard deviations was not found", i)
		}
		if Compare(a, c, uint64(i)).Verdict != NoDifference {
			falsePositives++
		}
	}
	if falsePositives > 10 {
		t.Errorf("%d of 100 comparisons of equal distributions show a difference", falsePositives)
	}
	if v := Compare([]float64{1, 2}, []float64{5, 6}, 1).Verdict; v != TooFewPairs {
		t.Errorf("two pairs: %s", v)
	}
}
