// Package trafficstats collects statistics of a gateway's traffic for operators: the
// counts, latencies and load of each brick and each collection.
package trafficstats

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Attempt describes an attempt that has ended.
type Attempt struct {
	Brick   string
	Volume  uint64
	Units   float64
	Latency time.Duration
	OK      bool
	Reason  string  // of the failure
	Util    float64 // utilization that the brick reported; -1 means none
	Write   bool
	Full    bool // the brick answered that it has no space
}

// BrickStats holds statistics of the traffic of a brick through this host.
type BrickStats struct {
	Name     string            `json:"name"`
	Util     float64           `json:"util"` // last reported; -1 means never
	Served   uint64            `json:"served"`
	Failed   map[string]uint64 `json:"failed"` // by reason
	Units    float64           `json:"units"`  // served
	P50      time.Duration     `json:"p50"`    // of the last one to two minutes
	P99      time.Duration     `json:"p99"`
	LastSeen int64             `json:"last_seen"` // microseconds since 1970
	Full     bool              `json:"full"`      // its last answer to a write was that it has no space
}

// VolumeStats holds statistics of the traffic of a collection through this host.
type VolumeStats struct {
	Name    string `json:"name"`
	Plan    string `json:"plan"`
	Served  uint64 `json:"served"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	Shards  []int  `json:"shards"` // shards that it was served from
}

const (
	latencyWindow = time.Minute // latencies cover the previous and the current window
	maxVolumes    = 4096
	maxBricks     = 16384
)

// brickCounters holds the counts of a brick and the latencies of two windows.
type brickCounters struct {
	BrickStats
	current, previous *hdrhistogram.Histogram
	windowStart       time.Time
}

// volumeCounters holds the counts of a collection and the shards it was served from.
type volumeCounters struct {
	VolumeStats
	shards map[int]bool
}

// Collector collects the statistics. It is safe for concurrent use. Bricks and
// collections beyond maxBricks and maxVolumes are not counted.
type Collector struct {
	mu      sync.Mutex
	bricks  map[string]*brickCounters
	volumes map[string]*volumeCounters
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{bricks: map[string]*brickCounters{}, volumes: map[string]*volumeCounters{}}
}

// newHistogram returns a histogram of latencies in microseconds, up to a minute and
// with two significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 2) }

// RecordAttempt counts an attempt that ended. It reports whether the brick thereby
// ran out of space or has space again.
func (c *Collector) RecordAttempt(a Attempt, now time.Time) (fullChanged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.bricks[a.Brick]
	if m == nil {
		if len(c.bricks) >= maxBricks {
			return false
		}
		m = &brickCounters{BrickStats: BrickStats{Name: a.Brick, Util: -1, Failed: map[string]uint64{}}, current: newHistogram(), previous: newHistogram(), windowStart: now}
		c.bricks[a.Brick] = m
	}
	m.advanceWindow(now)
	if a.Util >= 0 {
		m.Util, m.LastSeen = a.Util, now.UnixMicro()
	}
	if a.Write && (a.OK || a.Full) {
		fullChanged, m.Full = m.Full != a.Full, a.Full
	}
	if !a.OK {
		m.Failed[a.Reason]++
		return fullChanged
	}
	m.Served++
	m.Units += a.Units
	m.current.RecordValue(min(max(1, a.Latency.Microseconds()), 60_000_000))
	return fullChanged
}

// advanceWindow starts a new window if the current one is over.
func (m *brickCounters) advanceWindow(now time.Time) {
	if elapsed := now.Sub(m.windowStart); elapsed >= latencyWindow {
		m.current, m.previous = m.previous, m.current
		m.current.Reset()
		if elapsed >= 2*latencyWindow {
			m.previous.Reset()
		}
		m.windowStart = now
	}
}

// Outcome is the way in which a request of a client ended.
type Outcome int

// Outcomes of a request.
const (
	Served Outcome = iota
	Refused
	Failed
)

// RecordOutcome counts the end of a request for a collection at a shard.
func (c *Collector) RecordOutcome(volume, plan string, shard int, outcome Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.volumes[volume]
	if v == nil {
		if len(c.volumes) >= maxVolumes {
			return
		}
		v = &volumeCounters{VolumeStats: VolumeStats{Name: volume, Plan: plan}, shards: map[int]bool{}}
		c.volumes[volume] = v
	}
	switch outcome {
	case Served:
		v.Served++
		v.shards[shard] = true
	case Refused:
		v.Refused++
	default:
		v.Failed++
	}
}

// Bricks returns the statistics of all bricks by name.
func (c *Collector) Bricks(now time.Time) map[string]BrickStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]BrickStats, len(c.bricks))
	for name, m := range c.bricks {
		m.advanceWindow(now)
		stats := m.BrickStats
		stats.Failed = maps.Clone(m.Failed)
		merged := newHistogram()
		merged.Merge(m.current)
		merged.Merge(m.previous)
		stats.P50 = time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond
		stats.P99 = time.Duration(merged.ValueAtQuantile(99)) * time.Microsecond
		out[name] = stats
	}
	return out
}

// Volumes returns the statistics of all collections, sorted by name.
func (c *Collector) Volumes() []VolumeStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []VolumeStats
	for _, name := range slices.Sorted(maps.Keys(c.volumes)) {
		v := c.volumes[name]
		stats := v.VolumeStats
		stats.Shards = slices.Sorted(maps.Keys(v.shards))
		out = append(out, stats)
	}
	return out
}

// VolumesByShard returns the names of the collections served from each shard.
func (c *Collector) VolumesByShard() map[int][]string {
	out := map[int][]string{}
	for _, v := range c.Volumes() {
		for _, s := range v.Shards {
			out[s] = append(out[s], v.Name)
		}
	}
	return out
}
