// Package stats has what experiments are judged by: medians with intervals by
// bootstrap, and paired comparisons. It is pure; its dice are seeded.
package stats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Interval is an estimate with the interval that holds it, with 95% confidence
// as far as resampling can tell.
type Interval struct {
	Median, Low, High float64
	N                 int
}

// String gives the estimate and its interval.
func (i Interval) String() string { return fmt.Sprintf("%.3f [%.3f, %.3f]", i.Median, i.Low, i.High) }

const resamples = 2000

// Median returns the median of the values, which need not be in order.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	list := slices.Clone(values)
	slices.Sort(list)
	n := len(list)
	return (list[(n-1)/2] + list[n/2]) / 2
}

// BootstrapMedian returns the median with a 95% percentile interval (Efron, 1979).
func BootstrapMedian(values []float64, seed uint64) Interval {
	out := Interval{Median: Median(values), N: len(values)}
	if len(values) == 0 {
		out.Low, out.High = math.NaN(), math.NaN()
		return out
	}
	rnd := rand.New(rand.NewPCG(seed, 77))
	mids, one := make([]float64, resamples), make([]float64, len(values))
	for i := range mids {
		for j := range one {
			one[j] = values[rnd.IntN(len(values))]
		}
		mids[i] = Median(one)
	}
	slices.Sort(mids)
	out.Low, out.High = mids[resamples*25/1000], mids[resamples*975/1000-1]
	return out
}

// Verdict is what a paired comparison says.
type Verdict string

// The verdicts.
const (
	More         Verdict = "more"
	Less         Verdict = "less"
	NoDifference Verdict = "no difference shown"
	TooFewPairs  Verdict = "too few pairs"
)

// leastPairs is how many pairs a verdict needs: with five, all on one side, a
// sign test says 1 in 16.
const leastPairs = 6

// Comparison is of pairs (a, b) of like runs: b less a.
type Comparison struct {
	Difference Interval
	Wins       int     // pairs in which b is more
	Losses     int     // and less
	PValue     float64 // of a two-sided sign test
	Verdict    Verdict
}

// Compare compares pairs. A difference is shown where the interval of the
// median difference leaves out 0 and the sign test agrees at 1 in 20.
func Compare(a, b []float64, seed uint64) Comparison {
	n := min(len(a), len(b))
	diff := make([]float64, n)
	c := Comparison{Verdict: NoDifference}
	for i := range n {
		diff[i] = b[i] - a[i]
		switch {
		case diff[i] > 0:
			c.Wins++
		case diff[i] < 0:
			c.Losses++
		}
	}
	c.Difference = BootstrapMedian(diff, seed)
	c.PValue = signTest(c.Wins, c.Losses)
	switch {
	case n < leastPairs:
		c.Verdict = TooFewPairs
	case c.PValue >= 0.05:
	case c.Difference.Low > 0:
		c.Verdict = More
	case c.Difference.High < 0:
		c.Verdict = Less
	}
	return c
}

// signTest returns the chance of so uneven a split of fair coins.
func signTest(wins, losses int) float64 {
	n, k := wins+losses, min(wins, losses)
	if n == 0 {
		return 1
	}
	p, term := 0.0, math.Pow(0.5, float64(n))
	for i := 0; i <= k; i++ {
		p += term
		term *= float64(n-i) / float64(i+1)
	}
	return min(1, 2*p)
}

// Quantile returns the value below which the part q of the values lies.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	list := slices.Clone(values)
	slices.Sort(list)
	return list[min(len(list)-1, int(q*float64(len(list))))]
}
