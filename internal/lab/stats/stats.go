// Package stats provides the statistics that experiments report: medians with
// bootstrap intervals, and paired comparisons. It is pure; its random sources
// are seeded by the caller.
package stats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Interval is an estimated median with its 95% confidence interval.
type Interval struct {
	Median, Low, High float64
	N                 int // number of values
}

// String returns the median and its interval.
func (i Interval) String() string { return fmt.Sprintf("%.3f [%.3f, %.3f]", i.Median, i.Low, i.High) }

// resamples is the number of bootstrap resamples.
const resamples = 2000

// Median returns the median of the values, in any order, or NaN if there are
// none.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// BootstrapMedian returns the median with its 95% bootstrap percentile interval
// (Efron, 1979).
func BootstrapMedian(values []float64, seed uint64) Interval {
	interval := Interval{Median: Median(values), N: len(values)}
	if len(values) == 0 {
		interval.Low, interval.High = math.NaN(), math.NaN()
		return interval
	}
	random := rand.New(rand.NewPCG(seed, 77))
	medians, resample := make([]float64, resamples), make([]float64, len(values))
	for i := range medians {
		for j := range resample {
			resample[j] = values[random.IntN(len(values))]
		}
		medians[i] = Median(resample)
	}
	slices.Sort(medians)
	interval.Low, interval.High = medians[resamples*25/1000], medians[resamples*975/1000-1]
	return interval
}

// Verdict is the conclusion of a paired comparison.
type Verdict string

// Verdicts of a comparison of b with a.
const (
	More         Verdict = "more"
	Less         Verdict = "less"
	NoDifference Verdict = "no difference shown"
	TooFewPairs  Verdict = "too few pairs"
)

// minPairs is the number of pairs that a verdict requires. Five pairs can't be
// significant at 0.05: even if all differ in the same direction, the sign test
// gives p = 1/16.
const minPairs = 6

// Comparison is the result of comparing pairs (a, b) by their differences b -
// a.
type Comparison struct {
	Difference Interval
	Wins       int     // pairs in which b is larger
	Losses     int     // pairs in which b is smaller
	PValue     float64 // of the two-sided sign test
	Verdict    Verdict
}

// Compare compares the pairs (a[i], b[i]). It reports a difference only if the
// interval of the median difference excludes 0 and the sign test is significant
// at 0.05.
func Compare(a, b []float64, seed uint64) Comparison {
	n := min(len(a), len(b))
	differences := make([]float64, n)
	c := Comparison{Verdict: NoDifference}
	for i := range n {
		differences[i] = b[i] - a[i]
		switch {
		case differences[i] > 0:
			c.Wins++
		case differences[i] < 0:
			c.Losses++
		}
	}
	c.Difference = BootstrapMedian(differences, seed)
	c.PValue = signTest(c.Wins, c.Losses)
	switch {
	case n < minPairs:
		c.Verdict = TooFewPairs
	case c.PValue >= 0.05:
	case c.Difference.Low > 0:
		c.Verdict = More
	case c.Difference.High < 0:
		c.Verdict = Less
	}
	return c
}

// signTest returns the two-sided p-value of the sign test.
func signTest(wins, losses int) float64 {
	total, rarer := wins+losses, min(wins, losses)
	if total == 0 {
		return 1
	}
	p, term := 0.0, math.Pow(0.5, float64(total))
	for i := 0; i <= rarer; i++ {
		p += term
		term *= float64(total-i) / float64(i+1)
	}
	return min(1, 2*p)
}

// Quantile returns the q-quantile of the values, in any order, or NaN if there
// are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
