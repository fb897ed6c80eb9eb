// Package meters adds up what operators look at: for each brick and volume
// counts, latencies and load, out of what attempts and answers showed.
package trafficstats

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Attempt is one sending that has ended.
type Attempt struct {
	Brick   string
	Volume  uint64
	Units   float64
	Latency time.Duration
	OK      bool
	Reason  string  // why it failed
	Util    float64 // that the brick told; -1: it told none
	Write   bool
	Full    bool // the brick answered that it has no room
}

// BrickStats is what is known of a brick's traffic through this host.
type BrickStats struct {
	Name     string            `json:"name"`
	Util     float64           `json:"util"` // last told; -1: never
	Served   uint64            `json:"served"`
	Failed   map[string]uint64 `json:"failed"` // by reason
	Units    float64           `json:"units"`  // served
	P50      time.Duration     `json:"p50"`    // of the last minute or two
	P99      time.Duration     `json:"p99"`
	LastSeen int64             `json:"last_seen"` // microseconds since 1970
	Full     bool              `json:"full"`      // its last answer to a write was that it has no room
}

// VolumeStats is what is known of a collection's traffic through this host.
type VolumeStats struct {
	Name    string `json:"name"`
	Plan    string `json:"plan"`
	Served  uint64 `json:"served"`
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
	Shards  []int  `json:"shards"` // where it was served from
}

const (
	window      = time.Minute // of latencies: the last full one and the current
	volumesMost = 4096
	bricksMost  = 16384
)

type brickMeter struct {
	BrickStats
	now, last *hdrhistogram.Histogram
	from      time.Time
}

type volumeMeter struct {
	VolumeStats
	shards map[int]bool
}

// Collector holds the meters. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	bricks  map[string]*brickMeter
	volumes map[string]*volumeMeter
}

// NewCollector returns an empty board.
func NewCollector() *Collector {
	return &Collector{bricks: map[string]*brickMeter{}, volumes: map[string]*volumeMeter{}}
}

// histogram counts microseconds up to a minute with two digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 2) }

// RecordAttempt takes in the end of an attempt, and tells whether the brick has run
// out of room, or has room again, by it.
func (b *Collector) RecordAttempt(a Attempt, now time.Time) (turned bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.bricks[a.Brick]
	if m == nil {
		if len(b.bricks) >= bricksMost {
			return false
		}
		m = &brickMeter{BrickStats: BrickStats{Name: a.Brick, Util: -1, Failed: map[string]uint64{}}, now: histogram(), last: histogram(), from: now}
		b.bricks[a.Brick] = m
	}
	m.turn(now)
	if a.Util >= 0 {
		m.Util, m.LastSeen = a.Util, now.UnixMicro()
	}
	if a.Write && (a.OK || a.Full) {
		turned, m.Full = m.Full != a.Full, a.Full
	}
	if !a.OK {
		m.Failed[a.Reason]++
		return turned
	}
	m.Served++
	m.Units += a.Units
	m.now.RecordValue(min(max(1, a.Latency.Microseconds()), 60_000_000))
	return turned
}

// turn begins a new window where the current one is over.
func (m *brickMeter) turn(now time.Time) {
	if past := now.Sub(m.from); past >= window {
		m.now, m.last = m.last, m.now
		m.now.Reset()
		if past >= 2*window {
			m.last.Reset()
		}
		m.from = now
	}
}

// Outcome is how a client's request of a collection ended.
type Outcome int

// The ends.
const (
	Served Outcome = iota
	Refused
	Failed
)

// RecordOutcome takes in the end of a task of a collection at a shard.
func (b *Collector) RecordOutcome(volume, plan string, shard int, end Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.volumes[volume]
	if v == nil {
		if len(b.volumes) >= volumesMost {
			return
		}
		v = &volumeMeter{VolumeStats: VolumeStats{Name: volume, Plan: plan}, shards: map[int]bool{}}
		b.volumes[volume] = v
	}
	switch end {
	case Served:
		v.Served++
		v.shards[shard] = true
	case Refused:
		v.Refused++
	default:
		v.Failed++
	}
}

// Bricks returns all bricks' figures, by name.
func (b *Collector) Bricks(now time.Time) map[string]BrickStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]BrickStats, len(b.bricks))
	for name, m := range b.bricks {
		m.turn(now)
		one := m.BrickStats
		one.Failed = maps.Clone(m.Failed)
		both := histogram()
		both.Merge(m.now)
		both.Merge(m.last)
		one.P50 = time.Duration(both.ValueAtQuantile(50)) * time.Microsecond
		one.P99 = time.Duration(both.ValueAtQuantile(99)) * time.Microsecond
		out[name] = one
	}
	return out
}

// Volumes returns all collections' figures, by name.
func (b *Collector) Volumes() []VolumeStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []VolumeStats
	for _, name := range slices.Sorted(maps.Keys(b.volumes)) {
		v := b.volumes[name]
		one := v.VolumeStats
		one.Shards = slices.Sorted(maps.Keys(v.shards))
		out = append(out, one)
	}
	return out
}

// VolumesByShard names the collections that were served from each shard.
func (b *Collector) VolumesByShard() map[int][]string {
	out := map[int][]string{}
	for _, v := range b.Volumes() {
		for _, s := range v.Shards {
			out[s] = append(out[s], v.Name)
		}
	}
	return out
}
