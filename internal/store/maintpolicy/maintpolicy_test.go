package maintpolicy

import (
	"math/rand"
	"testing"
	"time"
)

func TestChoose(t *testing.T) {
	const gib = 1 << 30
	for name, tc := range map[string]struct {
		segments  []Segment
		freeBytes int64
		policy    CompactionPolicy
		want      uint32
	}{
		"nothing":            {nil, gib, CompactionPolicy{}, 0},
		"all live":           {[]Segment{{1, 100, 100, 9}}, gib, CompactionPolicy{}, 0},
		"too little garbage": {[]Segment{{1, 100, 80, 9}}, gib, CompactionPolicy{}, 0},
		"more garbage":       {[]Segment{{1, 100, 60, 9}, {2, 100, 20, 9}}, gib, CompactionPolicy{}, 2},
		"older segment":      {[]Segment{{1, 100, 50, 900}, {2, 100, 40, 9}}, gib, CompactionPolicy{}, 1},
		"no live bytes":      {[]Segment{{1, 100, 0, 9}}, gib, CompactionPolicy{}, 0},
		"live bytes exceed half of the free space":   {[]Segment{{1, 100, 50, 900}, {2, 100, 10, 1}}, 30, CompactionPolicy{}, 2},
		"little garbage, low free space":             {[]Segment{{1, 100, 80, 9}}, 1000, CompactionPolicy{LowFreeBytes: 2000}, 1},
		"more garbage outweighs age, low free space": {[]Segment{{1, 100, 50, 900}, {2, 100, 40, 1}}, 1000, CompactionPolicy{LowFreeBytes: 2000}, 2},
		"equal gain, lowest number":                  {[]Segment{{2, 100, 50, 9}, {1, 100, 50, 9}}, gib, CompactionPolicy{}, 1},
	} {
		got, ok := ChooseSegment(tc.segments, tc.freeBytes, tc.policy)
		if got.Number != tc.want || ok != (tc.want != 0) {
			t.Errorf("%s: %+v %v, want %d", name, got, ok, tc.want)
		}
	}
}

// simulatePass runs a pass in virtual time under a load. It returns when the pass
// ended and the fraction of its bytes that were read under high load.
func simulatePass(pacer *ScrubPacer, load func(elapsed time.Duration) Load) (end time.Duration, underLoad float64) {
	elapsed, done, doneUnderLoad := time.Duration(0), int64(0), int64(0)
	for done < pacer.TotalBytes && elapsed < 3*pacer.Deadline {
		current := load(elapsed)
		budget, interval := pacer.NextBudget(elapsed, done, current)
		done += budget
		if current.Utilization > 0.6 {
			doneUnderLoad += budget
		}
		elapsed += interval
	}
	return elapsed, float64(doneUnderLoad) / float64(pacer.TotalBytes)
}

// The pass meets its deadline under any load, and reads mostly while the load is
// low.
func TestPassEndsInTime(t *testing.T) {
	const hour = time.Hour
	loadFunc := func(busyFraction float64) func(time.Duration) Load {
		return func(elapsed time.Duration) Load {
			if float64(elapsed%(hour/10)) < busyFraction*float64(hour/10) {
				return Load{Utilization: 0.9, QueuedRequests: 3}
			}
			return Load{Utilization: 0.1}
		}
	}
	for _, tc := range []struct {
		name      string
		load      func(time.Duration) Load
		underLoad float64 // upper bound of the fraction read under high load
	}{
		{"idle", loadFunc(0), 0}, {"half busy", loadFunc(0.5), 0.25}, {"nine tenths busy", loadFunc(0.9), 0.85}, {"busy all the time", loadFunc(1), 1},
	} {
		end, underLoad := simulatePass(&ScrubPacer{TotalBytes: 10 << 30, Deadline: hour}, tc.load)
		if end > hour || underLoad > tc.underLoad {
			t.Errorf("%s: ended after %v, %.3f read under load", tc.name, end, underLoad)
		}
		t.Logf("%s: ended after %v, %.3f of it read under load", tc.name, end, underLoad)
	}
	rnd := rand.New(rand.NewSource(1))
	for i := range 300 {
		total := int64(1) << (10 + rnd.Intn(25))
		pacer := &ScrubPacer{TotalBytes: total, Deadline: time.Duration(1+rnd.Intn(100)) * time.Minute}
		if neededRate := float64(total) / pacer.Deadline.Seconds(); neededRate > 32<<20 {
			continue // half of the maximum rate cannot meet the deadline
		}
		utilization := rnd.Float64()
		end, _ := simulatePass(pacer, func(time.Duration) Load { return Load{Utilization: utilization, QueuedRequests: rnd.Intn(3)} })
		if end > pacer.Deadline+time.Second {
			t.Fatalf("case %d: %d bytes, deadline %v, ended after %v", i, total, pacer.Deadline, end)
		}
	}
}

func TestQuiet(t *testing.T) {
	for want, load := range map[float64]Load{1: {Utilization: 0.1}, 0: {Utilization: 0.75}, 0.5: {Utilization: 0.45}, 0.25: {Utilization: 0.1, Latency: 1375, BaselineLatency: 1000}} {
		if got := spareCapacity(load); got < want-0.001 || got > want+0.001 {
			t.Errorf("%+v: %v, want %v", load, got, want)
		}
	}
	if spareCapacity(Load{QueuedRequests: 1}) != 0 || CompactionRate(Load{QueuedRequests: 1}, true) <= CompactionRate(Load{}, false) {
		t.Error("a queued request leaves spare capacity, or low disk space does not raise the rate")
	}
}
