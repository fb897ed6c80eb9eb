// Package record makes a scenario out of what a running host was seen to live
// through: its bricks' states, their latencies and its load, look by look. It
// is pure; who looks is the caller's concern.
package capture

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"arrowwalk/internal/emul/scenario"
)

// BrickSample is a brick at one look.
type BrickSample struct {
	Name          string
	Shard         int
	State         string // ready, draining or gone
	Cold          bool
	Utilization   float64 // -1: not told
	MedianLatency time.Duration
}

// Sample is one look at a host.
type Sample struct {
	At       time.Duration // since the first
	RunID    string        // the label of its run; "": it did not answer
	Accepted uint64        // requests since its start
	Bricks   []BrickSample
}

const (
	surgeFrom = 1.4 // times the median rate
	slowFrom  = 2.0 // times a brick's own median latency
	least     = 2   // looks in a row that make a trouble
)

// BuildScenario returns a day with the troubles that the looks show. Looks are in
// order of time; fewer than three make no day.
func BuildScenario(name string, looks []Sample) (*scenario.Scenario, error) {
	if len(looks) < 3 {
		return nil, fmt.Errorf("record: %d looks are too few to tell anything", len(looks))
	}
	s := scenario.Default()
	s.Name, s.About = name, "recorded from a running host"
	s.Seconds = math.Ceil(looks[len(looks)-1].At.Seconds()) + 5
	shards := map[int]bool{}
	var utils []float64
	for _, l := range looks {
		for _, b := range l.Bricks {
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
		s.Load.Utilization = round(min(2, max(0.05, median(utils))))
	}
	s.Timeline = append(crashes(looks), surges(looks)...)
	s.Timeline = append(s.Timeline, replacements(looks)...)
	s.Timeline = append(s.Timeline, slows(looks)...)
	slices.SortStableFunc(s.Timeline, func(a, b scenario.Event) int { return cmp.Compare(a.At, b.At) })
	s.Claims = []scenario.Claim{{Rule: "all"}}
	return s, nil
}

func round(x float64) float64 { return math.Round(x*100) / 100 }

func median(list []float64) float64 {
	list = slices.Clone(list)
	slices.Sort(list)
	return list[len(list)/2]
}

// crashes finds where the host's label changed.
func crashes(looks []Sample) []scenario.Event {
	var out []scenario.Event
	last, seen := "", time.Duration(0)
	for _, l := range looks {
		if l.RunID == "" {
			continue
		}
		if last != "" && l.RunID != last {
			out = append(out, scenario.Event{At: round(seen.Seconds()), Kind: "crash_hosts", Share: 1, LengthMS: int(max(100*time.Millisecond, l.At-seen).Milliseconds())})
		}
		last, seen = l.RunID, l.At
	}
	return out
}

// spells calls do for each run of least or more looks that are over, with its
// first and last look and its mean excess.
func spells(n int, excess func(i int) float64, over float64, do func(from, to int, mean float64)) {
	for i := 0; i < n; {
		j, sum := i, 0.0
		for j < n && excess(j) >= over {
			sum += excess(j)
			j++
		}
		if j-i >= least {
			do(i, j-1, sum/float64(j-i))
		}
		i = max(i+1, j)
	}
}

func surges(looks []Sample) []scenario.Event {
	rates := make([]float64, len(looks))
	var all []float64
	for i := 1; i < len(looks); i++ {
		a, b := &looks[i-1], &looks[i]
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
	spells(len(looks), func(i int) float64 { return rates[i] / usual }, surgeFrom, func(from, to int, mean float64) {
		at := looks[max(0, from-1)].At
		out = append(out, scenario.Event{At: round(at.Seconds()), Duration: round((looks[to].At - at).Seconds()), Kind: "surge", Factor: round(mean)})
	})
	return out
}

// replacements finds bricks that were ready and then drained or gone, and when
// their shard was served again.
func replacements(looks []Sample) []scenario.Event {
	type loss struct{ at time.Duration }
	lost, ready := map[int]loss{}, map[int]bool{}
	var out []scenario.Event
	for _, l := range looks {
		if l.RunID == "" {
			continue
		}
		now := map[int]bool{}
		for _, b := range l.Bricks {
			now[b.Shard] = now[b.Shard] || b.State == "ready"
			ready[b.Shard] = ready[b.Shard] || b.State == "ready"
		}
		for shard := range ready {
			from, gone := lost[shard]
			switch {
			case ready[shard] && !now[shard] && !gone:
				lost[shard] = loss{l.At}
			case now[shard] && gone:
				delete(lost, shard)
				out = append(out, scenario.Event{At: round(from.at.Seconds()), Duration: round(max(0, (l.At-from.at).Seconds()-2)), Kind: "replace", Count: 1})
			}
		}
	}
	for _, from := range lost {
		out = append(out, scenario.Event{At: round(from.at.Seconds()), Duration: 600, Kind: "replace", Count: 1})
	}
	slices.SortFunc(out, func(a, b scenario.Event) int { return cmp.Compare(a.At, b.At) })
	return out
}

func slows(looks []Sample) []scenario.Event {
	series := map[string][]float64{}
	for i, l := range looks {
		for _, b := range l.Bricks {
			if series[b.Name] == nil {
				series[b.Name] = make([]float64, len(looks))
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
		var told []float64
		for _, v := range series[name] {
			if v > 0 {
				told = append(told, v)
			}
		}
		if len(told) < 3 {
			continue
		}
		usual := median(told)
		spells(len(looks), func(i int) float64 { return series[name][i] / usual }, slowFrom, func(from, to int, mean float64) {
			out = append(out, scenario.Event{At: round(looks[from].At.Seconds()), Duration: round((looks[to].At - looks[from].At).Seconds()), Kind: "slow", Count: 1, Factor: round(mean)})
		})
	}
	return out
}
