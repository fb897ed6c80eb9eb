package maintpolicy

import (
	"math/rand"
	"testing"
	"time"
)

func TestChoose(t *testing.T) {
	const gib = 1 << 30
	for name, c := range map[string]struct {
		list []Segment
		free int64
		p    CompactionPolicy
		want uint32
	}{
		"nothing":              {nil, gib, CompactionPolicy{}, 0},
		"all live":             {[]Segment{{1, 100, 100, 9}}, gib, CompactionPolicy{}, 0},
		"too little garbage":   {[]Segment{{1, 100, 80, 9}}, gib, CompactionPolicy{}, 0},
		"the emptier":          {[]Segment{{1, 100, 60, 9}, {2, 100, 20, 9}}, gib, CompactionPolicy{}, 2},
		"the older":            {[]Segment{{1, 100, 50, 900}, {2, 100, 40, 9}}, gib, CompactionPolicy{}, 1},
		"dead ones need none":  {[]Segment{{1, 100, 0, 9}}, gib, CompactionPolicy{}, 0},
		"no room for it":       {[]Segment{{1, 100, 50, 900}, {2, 100, 10, 1}}, 30, CompactionPolicy{}, 2},
		"a little, when full":  {[]Segment{{1, 100, 80, 9}}, 1000, CompactionPolicy{LowFreeBytes: 2000}, 1},
		"the gain, when full":  {[]Segment{{1, 100, 50, 900}, {2, 100, 40, 1}}, 1000, CompactionPolicy{LowFreeBytes: 2000}, 2},
		"the same, the lowest": {[]Segment{{2, 100, 50, 9}, {1, 100, 50, 9}}, gib, CompactionPolicy{}, 1},
	} {
		got, ok := ChooseSegment(c.list, c.free, c.p)
		if got.Number != c.want || ok != (c.want != 0) {
			t.Errorf("%s: %+v %v, want %d", name, got, ok, c.want)
		}
	}
}

// play runs a pass in virtual time beside a load, and returns when it ended and
// the part of the bytes that were read while the load was high.
func play(p *ScrubPacer, load func(now time.Duration) Load) (end time.Duration, beside float64) {
	now, done, high := time.Duration(0), int64(0), int64(0)
	for done < p.TotalBytes && now < 3*p.Deadline {
		l := load(now)
		n, per := p.NextBudget(now, done, l)
		done += n
		if l.Utilization > 0.6 {
			high += n
		}
		now += per
	}
	return now, float64(high) / float64(p.TotalBytes)
}

// The pass ends in its time whatever the load does, and takes what it reads
// from quiet times where there are some.
func TestPassEndsInTime(t *testing.T) {
	const hour = time.Hour
	busy := func(part float64) func(time.Duration) Load {
		return func(now time.Duration) Load {
			if float64(now%(hour/10)) < part*float64(hour/10) {
				return Load{Utilization: 0.9, QueuedRequests: 3}
			}
			return Load{Utilization: 0.1}
		}
	}
	for _, c := range []struct {
		name   string
		load   func(time.Duration) Load
		beside float64 // at most
	}{
		{"idle", busy(0), 0}, {"half busy", busy(0.5), 0.25}, {"nine tenths busy", busy(0.9), 0.85}, {"busy all the time", busy(1), 1},
	} {
		end, beside := play(&ScrubPacer{TotalBytes: 10 << 30, Deadline: hour}, c.load)
		if end > hour || beside > c.beside {
			t.Errorf("%s: ended after %v, %.3f beside live work", c.name, end, beside)
		}
		t.Logf("%s: ended after %v, %.3f of it beside live work", c.name, end, beside)
	}
	rnd := rand.New(rand.NewSource(1))
	for i := range 300 {
		total := int64(1) << (10 + rnd.Intn(25))
		p := &ScrubPacer{TotalBytes: total, Deadline: time.Duration(1+rnd.Intn(100)) * time.Minute}
		if need := float64(total) / p.Deadline.Seconds(); need > 32<<20 {
			continue // more than the disk is given
		}
		util := rnd.Float64()
		end, _ := play(p, func(time.Duration) Load { return Load{Utilization: util, QueuedRequests: rnd.Intn(3)} })
		if end > p.Deadline+time.Second {
			t.Fatalf("try %d: %d bytes in %v, ended after %v", i, total, p.Deadline, end)
		}
	}
}

func TestQuiet(t *testing.T) {
	for want, l := range map[float64]Load{1: {Utilization: 0.1}, 0: {Utilization: 0.75}, 0.5: {Utilization: 0.45}, 0.25: {Utilization: 0.1, Latency: 1375, BaselineLatency: 1000}} {
		if got := quiet(l); got < want-0.001 || got > want+0.001 {
			t.Errorf("%+v: %v, want %v", l, got, want)
		}
	}
	if quiet(Load{QueuedRequests: 1}) != 0 || CompactionRate(Load{QueuedRequests: 1}, true) <= CompactionRate(Load{}, false) {
		t.Error("a queue is quiet, or a full disk is not urgent")
	}
}
