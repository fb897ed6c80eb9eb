// Package maintpolicy decides which segment a store compacts and how fast
// compaction and scrubbing may run beside live requests. It does no I/O and has no
// clock: times are durations since the start of the pass.
package maintpolicy

import "time"

// Segment describes a log segment for the choice of the next compaction.
type Segment struct {
	Number    uint32
	SizeBytes int64 // size of the file
	LiveBytes int64 // bytes of records that the index refers to
	AgeGroups int64 // groups written since the segment was started; young segments may still lose records
}

// CompactionPolicy configures ChooseSegment.
type CompactionPolicy struct {
	MinGarbageFraction float64 // smallest fraction of a segment that must be garbage; 0: 0.3
	LowFreeBytes       int64   // free space below which a garbage fraction of 0.02 is enough
}

// ChooseSegment returns the segment with the best ratio of benefit to cost: the
// freed fraction times its age over the bytes read and written (Rosenblum and
// Ousterhout, "The Design and Implementation of a Log-Structured File System",
// 1992, section 3.6). ok is false if no segment qualifies. Segments without live
// bytes need no compaction and are skipped. So are segments whose live bytes exceed
// half of the free space, because the file is removed only after a later
// checkpoint.
func ChooseSegment(segments []Segment, freeBytes int64, policy CompactionPolicy) (best Segment, ok bool) {
	minGarbage := policy.MinGarbageFraction
	if minGarbage == 0 {
		minGarbage = 0.3
	}
	if freeBytes < policy.LowFreeBytes {
		minGarbage = 0.02
	}
	bestGain := 0.0
	for _, s := range segments {
		if s.SizeBytes <= 0 || s.LiveBytes <= 0 || s.LiveBytes > freeBytes/2 {
			continue
		}
		liveFraction := float64(s.LiveBytes) / float64(s.SizeBytes)
		if 1-liveFraction < minGarbage {
			continue
		}
		gain := (1 - liveFraction) * float64(s.AgeGroups+1) / (1 + liveFraction)
		if freeBytes < policy.LowFreeBytes { // free space soon matters more than the total work
			gain = float64(s.SizeBytes-s.LiveBytes) / float64(s.LiveBytes)
		}
		if gain > bestGain || gain == bestGain && ok && s.Number < best.Number {
			best, bestGain, ok = s, gain, true
		}
	}
	return best, ok
}

// Load describes the live requests of a brick.
type Load struct {
	Utilization     float64       // fraction of the workers that are busy, 0 to 1
	QueuedRequests  int           // requests in the queue
	Latency         time.Duration // recent disk latency of live reads and writes
	BaselineLatency time.Duration // the same latency without background work; 0: unknown
}

// ScrubPacer paces a scrub pass so that it ends by a deadline. It is not safe for
// concurrent use.
type ScrubPacer struct {
	TotalBytes        int64         // size of the pass
	Deadline          time.Duration // time after the start by which the pass must end
	MinBytesPerSecond float64       // lower bound of the rate under any load; 0: 64 KiB/s
	MaxBytesPerSecond float64       // upper bound of the rate; 0: 64 MiB/s
	MaxLead           float64       // how far the pass may run ahead of its schedule, as a fraction of the pass; 0: 0.25

	spareCapacity float64 // moving average of spareCapacity(load)
}

// NextBudget returns how many bytes may be read in the following interval, and the
// length of that interval. done is the number of bytes read so far.
//
// The schedule is even progress until the deadline. On an idle brick the pass runs
// ahead of it by up to MaxLead. Under live load it slows down, less so the further
// it is behind. Once meeting the deadline requires at least half of the maximum
// rate, the deadline takes precedence over live latency, but the rate never
// exceeds the maximum.
func (p *ScrubPacer) NextBudget(elapsed time.Duration, done int64, load Load) (bytes int64, interval time.Duration) {
	interval = 50 * time.Millisecond
	remaining := p.TotalBytes - done
	if remaining <= 0 {
		return 0, interval
	}
	minRate, maxRate := p.rateBounds()
	p.spareCapacity += (spareCapacity(load) - p.spareCapacity) * 0.2 // averages over about 5 intervals
	secondsLeft := max((p.Deadline - elapsed).Seconds(), 1e-3)
	neededRate := float64(remaining) / secondsLeft
	rate := neededRate * (0.1 + 1.9*p.spareCapacity) // slow under load, and faster than needed when idle to make up for it
	if p.isTooFarAhead(elapsed, done) {
		rate = min(rate, neededRate)
	}
	switch {
	case neededRate >= 0.5*maxRate: // slowing down now would miss the deadline
		rate = max(rate, neededRate)
	case p.isLate(elapsed, done):
		rate = max(rate, neededRate*min(1, 0.1+p.lateness(elapsed, done)*4))
	}
	rate = min(max(rate, minRate), maxRate)
	return min(max(int64(rate*interval.Seconds()), 1), remaining), interval
}

// rateBounds returns the bounds of the rate in bytes per second.
func (p *ScrubPacer) rateBounds() (minRate, maxRate float64) {
	minRate, maxRate = p.MinBytesPerSecond, p.MaxBytesPerSecond
	if minRate == 0 {
		minRate = 64 << 10
	}
	if maxRate == 0 {
		maxRate = 64 << 20
	}
	return minRate, maxRate
}

// scheduledBytes returns how many bytes an even pass has read after elapsed.
func (p *ScrubPacer) scheduledBytes(elapsed time.Duration) float64 {
	return float64(p.TotalBytes) * min(elapsed.Seconds()/max(p.Deadline.Seconds(), 1e-3), 1)
}

// lateness returns how far the pass is behind its schedule, as a fraction of the
// pass; it is negative if the pass is ahead.
func (p *ScrubPacer) lateness(elapsed time.Duration, done int64) float64 {
	return (p.scheduledBytes(elapsed) - float64(done)) / float64(p.TotalBytes)
}

func (p *ScrubPacer) isLate(elapsed time.Duration, done int64) bool {
	return p.lateness(elapsed, done) > 0
}

func (p *ScrubPacer) isTooFarAhead(elapsed time.Duration, done int64) bool {
	maxLead := p.MaxLead
	if maxLead == 0 {
		maxLead = 0.25
	}
	return -p.lateness(elapsed, done) > maxLead
}

// spareCapacity returns the fraction of full speed at which background work does
// not hurt live requests: 1 on an idle brick, 0 on a loaded one.
func spareCapacity(load Load) float64 {
	spare := 1 - min(max((load.Utilization-0.2)/0.5, 0), 1) // 1 up to a utilization of 0.2, 0 from 0.7
	if load.QueuedRequests > 0 {
		spare = 0
	}
	if load.BaselineLatency > 0 && load.Latency > load.BaselineLatency {
		slowdown := float64(load.Latency-load.BaselineLatency) / float64(load.BaselineLatency)
		spare = min(spare, max(1-slowdown/0.5, 0)) // 0 from 1.5 times the baseline
	}
	return spare
}

// CompactionRate returns the rate of compaction in bytes per second: high on an
// idle brick, low under live load, and highest if the disk is nearly full, because
// refused writes are worse than slow ones.
func CompactionRate(load Load, diskLow bool) float64 {
	const busyRate, idleRate, urgentRate = 1 << 20, 32 << 20, 256 << 20
	if diskLow {
		return urgentRate
	}
	return busyRate + (idleRate-busyRate)*spareCapacity(load)
}
