// Package tidy decides what a store does beside its work: which segment is
// compacted, and how fast compaction and scrubbing may go while there is live
// work. It does no I/O and has no clock: times are durations since any start.
package maintpolicy

import "time"

// Segment is a segment of the log, as compaction sees it.
type Segment struct {
	Number    uint32
	SizeBytes int64 // of the file
	LiveBytes int64 // bytes that entries hold
	AgeGroups int64 // groups written since it was begun: the young may still lose more
}

// CompactionPolicy bounds compaction.
type CompactionPolicy struct {
	MinGarbageFraction float64 // least part of a segment that is garbage; 0: 0.3
	LowFreeBytes       int64   // free bytes below which any garbage is worth taking
}

// ChooseSegment returns the segment whose compaction gains most for what it costs:
// the freed part times its age over what is read and written (Rosenblum and
// Ousterhout, "The Design and Implementation of a Log-Structured File System",
// 1992, section 3.6). ok is false where none is worth it. A segment without
// live bytes needs no compaction and is not chosen; nor is one whose live bytes
// would take more than half of what is free, since its file goes late.
func ChooseSegment(segments []Segment, free int64, p CompactionPolicy) (best Segment, ok bool) {
	least := p.MinGarbageFraction
	if least == 0 {
		least = 0.3
	}
	if free < p.LowFreeBytes {
		least = 0.02
	}
	top := 0.0
	for _, s := range segments {
		if s.SizeBytes <= 0 || s.LiveBytes <= 0 || s.LiveBytes > free/2 {
			continue
		}
		used := float64(s.LiveBytes) / float64(s.SizeBytes)
		if 1-used < least {
			continue
		}
		gain := (1 - used) * float64(s.AgeGroups+1) / (1 + used)
		if free < p.LowFreeBytes { // room now, not work saved later
			gain = float64(s.SizeBytes-s.LiveBytes) / float64(s.LiveBytes)
		}
		if gain > top || gain == top && ok && s.Number < best.Number {
			best, top, ok = s, gain, true
		}
	}
	return best, ok
}

// Load is what a brick sees of its live work.
type Load struct {
	Utilization     float64       // part of the workers that are busy, 0 to 1
	QueuedRequests  int           // requests in the queue
	Latency         time.Duration // of recent live reads and writes at the disk
	BaselineLatency time.Duration // of the same when nothing else ran
}

// ScrubPacer of a pass over a known number of bytes that must end by its deadline.
type ScrubPacer struct {
	TotalBytes        int64         // bytes of the pass
	Deadline          time.Duration // when it must have ended
	MinBytesPerSecond float64       // bytes a second that it takes whatever else happens; 0: 64 KiB
	MaxBytesPerSecond float64       // bytes a second at most; 0: 64 MiB
	MaxLead           float64       // how far it runs before its schedule when idle, as a part of the pass; 0: 0.25

	calm float64 // 0 to 1: how little live work was hurt of late
}

// NextBudget returns how many bytes may be read in the time that follows, and how
// long that time is. done bytes are behind it at now.
//
// The pass has a schedule: even progress to its end. Idle, it runs ahead of it
// by a part of the pass; beside live work it steps aside, and the more it is
// late the less so. Late beyond what even Most makes good it runs at Most: the
// end of the pass is kept before live latency, and its operator is told.
func (p *ScrubPacer) NextBudget(now time.Duration, done int64, l Load) (bytes int64, per time.Duration) {
	per = 50 * time.Millisecond
	left := p.TotalBytes - done
	if left <= 0 {
		return 0, per
	}
	least, most := p.bounds()
	p.calm += (quiet(l) - p.calm) * 0.2 // about 5 looks
	remaining := max((p.Deadline - now).Seconds(), 1e-3)
	need := float64(left) / remaining
	rate := need * (0.1 + 1.9*p.calm) // steps aside, and makes up for it when idle
	if p.ahead(now, done) {
		rate = min(rate, need)
	}
	switch {
	case need >= 0.5*most: // no room is left to step aside
		rate = max(rate, need)
	case p.late(now, done):
		rate = max(rate, need*min(1, 0.1+p.lateness(now, done)*4))
	}
	rate = min(max(rate, least), most)
	return min(max(int64(rate*per.Seconds()), 1), left), per
}

func (p *ScrubPacer) bounds() (least, most float64) {
	least, most = p.MinBytesPerSecond, p.MaxBytesPerSecond
	if least == 0 {
		least = 64 << 10
	}
	if most == 0 {
		most = 64 << 20
	}
	return least, most
}

// schedule returns the bytes that an even pass has behind it at now.
func (p *ScrubPacer) schedule(now time.Duration) float64 {
	return float64(p.TotalBytes) * min(now.Seconds()/max(p.Deadline.Seconds(), 1e-3), 1)
}

func (p *ScrubPacer) lateness(now time.Duration, done int64) float64 {
	return (p.schedule(now) - float64(done)) / float64(p.TotalBytes)
}

func (p *ScrubPacer) late(now time.Duration, done int64) bool { return p.lateness(now, done) > 0 }

func (p *ScrubPacer) ahead(now time.Duration, done int64) bool {
	ahead := p.MaxLead
	if ahead == 0 {
		ahead = 0.25
	}
	return -p.lateness(now, done) > ahead
}

// quiet returns 1 where nothing live is hurt by work beside it, 0 where all is.
func quiet(l Load) float64 {
	q := 1 - min(max((l.Utilization-0.2)/0.5, 0), 1) // free below a util of 0.2, aside from 0.7 on
	if l.QueuedRequests > 0 {
		q = 0
	}
	if l.BaselineLatency > 0 && l.Latency > l.BaselineLatency {
		over := float64(l.Latency-l.BaselineLatency) / float64(l.BaselineLatency)
		q = min(q, max(1-over/0.5, 0)) // half as slow again: aside
	}
	return q
}

// CompactionRate returns the bytes a second at which compaction reads: fast where
// nothing live is hurt, slow beside live work, and as fast as it can where the
// disk is nearly full: writes that are refused hurt more than slow ones.
func CompactionRate(l Load, low bool) float64 {
	const slow, fast, urgent = 1 << 20, 32 << 20, 256 << 20
	if low {
		return urgent
	}
	return slow + (fast-slow)*quiet(l)
}
