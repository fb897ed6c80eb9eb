// Package capture builds a scenario from samples of a running host: the states
// and latencies of its bricks and its load. It does no I/O; the caller takes
// the samples.
package capture

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"arrowwalk/internal/emul/scenario"
)

// BrickSample is the state of a brick at one time.
type BrickSample struct {
	Name          string
	Shard         int
	State         string // ready, draining or gone
	Cold          bool
	Utilization   float64 // -1: unknown
	MedianLatency time.Duration
}

// Sample is the state of a host at one time.
type Sample struct {
	At       time.Duration // since the first sample
	RunID    string        // identifies the host's process; "": the host did not answer
	Accepted uint64        // requests since the process started
	Bricks   []BrickSample
}

const (
	minSurgeFactor = 1.4 // relative to the median rate
	minSlowFactor  = 2.0 // relative to the brick's own median latency
	minRunLength   = 2   // consecutive samples above a threshold that count as a trouble
)

// BuildScenario returns a scenario with the troubles found in the samples,
// which must be in the order of their times. It needs at least three samples.
func BuildScenario(name string, samples []Sample) (*scenario.Scenario, error) {
	if len(samples) < 3 {
		return nil, fmt.Errorf("capture: got %d samples, need at least 3", len(samples))
	}
	s := scenario.Default()
	s.Name, s.About = name, "recorded from a running host"
	s.Seconds = math.Ceil(samples[len(samples)-1].At.Seconds()) + 5
	shards := map[int]bool{}
	var utils []float64
	for _, sample := range samples {
		for _, b := range sample.Bricks {
			shards[b.Shard] = true
			if b.Utilization >= 0 {
				utils = append(utils, b.Utilization)
			}
		}
	}
	if len(shards) > 0 {
		s.Site.Bricks = len(shards)
	}
	if len(utils) > 0 {
		s.Load.Utilization = roundCents(min(2, max(0.05, median(utils))))
	}
	s.Timeline = append(findCrashes(samples), findSurges(samples)...)
	s.Timeline = append(s.Timeline, findReplacements(samples)...)
	s.Timeline = append(s.Timeline, findSlowBricks(samples)...)
	slices.SortStableFunc(s.Timeline, func(a, b scenario.Event) int { return cmp.Compare(a.At, b.At) })
	s.Claims = []scenario.Claim{{Rule: "all"}}
	return s, nil
}

// roundCents rounds to two decimal places.
func roundCents(x float64) float64 { return math.Round(x*100) / 100 }

// median returns the upper median of a list that is not empty.
func median(list []float64) float64 {
	list = slices.Clone(list)
	slices.Sort(list)
	return list[len(list)/2]
}

// findCrashes returns an event for each change of the host's process.
func findCrashes(samples []Sample) []scenario.Event {
	var out []scenario.Event
	last, seen := "", time.Duration(0)
	for _, sample := range samples {
		if sample.RunID == "" {
			continue
		}
		if last != "" && sample.RunID != last {
			out = append(out, scenario.Event{At: roundCents(seen.Seconds()), Kind: "crash_hosts", Share: 1, LengthMS: int(max(100*time.Millisecond, sample.At-seen).Milliseconds())})
		}
		last, seen = sample.RunID, sample.At
	}
	return out
}

// forEachRun calls handle for each run of at least minRunLength samples whose
// ratio reaches the threshold, with the first and last index of the run and its
// mean ratio.
func forEachRun(n int, ratio func(i int) float64, threshold float64, handle func(first, last int, mean float64)) {
	for i := 0; i < n; {
		j, sum := i, 0.0
		for j < n && ratio(j) >= threshold {
			sum += ratio(j)
			j++
		}
		if j-i >= minRunLength {
			handle(i, j-1, sum/float64(j-i))
		}
		i = max(i+1, j)
	}
}

// findSurges returns an event for each run of samples whose request rate is
// well above the median.
func findSurges(samples []Sample) []scenario.Event {
	rates := make([]float64, len(samples))
	var all []float64
	for i := 1; i < len(samples); i++ {
		a, b := &samples[i-1], &samples[i]
		if a.RunID == b.RunID && b.Accepted >= a.Accepted && b.At > a.At {
			rates[i] = float64(b.Accepted-a.Accepted) / (b.At - a.At).Seconds()
			all = append(all, rates[i])
		}
	}
	if len(all) == 0 {
		return nil
	}
	usual := max(1e-9, median(all))
	var out []scenario.Event
	forEachRun(len(samples), func(i int) float64 { return rates[i] / usual }, minSurgeFactor, func(first, last int, mean float64) {
		at := samples[max(0, first-1)].At
		out = append(out, scenario.Event{At: roundCents(at.Seconds()), Duration: roundCents((samples[last].At - at).Seconds()), Kind: "surge", Factor: roundCents(mean)})
	})
	return out
}

// findReplacements returns an event for each shard that lost its ready brick,
// with the time until the shard was served again. A shard that was not served
// again gets a very long outage.
func findReplacements(samples []Sample) []scenario.Event {
	type outage struct{ at time.Duration }
	openOutages, everReady := map[int]outage{}, map[int]bool{}
	var out []scenario.Event
	for _, sample := range samples {
		if sample.RunID == "" {
			continue
		}
		readyNow := map[int]bool{}
		for _, b := range sample.Bricks {
			readyNow[b.Shard] = readyNow[b.Shard] || b.State == "ready"
			everReady[b.Shard] = everReady[b.Shard] || b.State == "ready"
		}
		for shard := range everReady {
			from, gone := openOutages[shard]
			switch {
			case everReady[shard] && !readyNow[shard] && !gone:
				openOutages[shard] = outage{sample.At}
			case readyNow[shard] && gone:
				delete(openOutages, shard)
				out = append(out, scenario.Event{At: roundCents(from.at.Seconds()), Duration: roundCents(max(0, (sample.At-from.at).Seconds()-2)), Kind: "replace", Count: 1})
			}
		}
	}
	for _, from := range openOutages {
		out = append(out, scenario.Event{At: roundCents(from.at.Seconds()), Duration: 600, Kind: "replace", Count: 1})
	}
	slices.SortFunc(out, func(a, b scenario.Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

// findSlowBricks returns an event for each run of samples in which a brick is
// much slower than its own median.
func findSlowBricks(samples []Sample) []scenario.Event {
	series := map[string][]float64{}
	for i, sample := range samples {
		for _, b := range sample.Bricks {
			if series[b.Name] == nil {
				series[b.Name] = make([]float64, len(samples))
			}
			series[b.Name][i] = b.MedianLatency.Seconds()
		}
	}
	var out []scenario.Event
	names := make([]string, 0, len(series))
	for name := range series {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		var known []float64
		for _, v := range series[name] {
			if v > 0 {
				known = append(known, v)
			}
		}
		if len(known) < 3 {
			continue
		}
		usual := median(known)
		forEachRun(len(samples), func(i int) float64 { return series[name][i] / usual }, minSlowFactor, func(first, last int, mean float64) {
			out = append(out, scenario.Event{At: roundCents(samples[first].At.Seconds()), Duration: roundCents((samples[last].At - samples[first].At).Seconds()), Kind: "slow", Count: 1, Factor: roundCents(mean)})
		})
	}
	return out
}
