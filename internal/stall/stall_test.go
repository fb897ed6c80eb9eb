package stall

import (
	"math/rand/v2"
	"testing"
)

const ms = 1000

// Heartbeats of the usual lateness are no stall, on a fast and on a slow machine;
// a longer gap is a stall of its length.
func TestStallIsToldFromLateness(t *testing.T) {
	for _, c := range []struct {
		name   string
		jitter int64
	}{{"quick", 500}, {"slow", 15 * ms}, {"very slow", 60 * ms}} {
		rng := rand.New(rand.NewPCG(1, uint64(c.jitter)))
		d, now, falseStalls := NewDetector(20*ms, 0), int64(0), 0
		for i := range 5000 {
			now += 20*ms + rng.Int64N(c.jitter)
			if _, ok := d.Heartbeat(now); ok && i > 50 {
				falseStalls++
			}
		}
		if falseStalls > 25 { // of 4,950 heartbeats: one in two hundred is acceptable
			t.Errorf("%s: %d stalls detected, there were none", c.name, falseStalls)
		}
		from := now
		if d.IsStalled(now + d.MaxLateness() + 20*ms) {
			t.Errorf("%s: stalled at the maximum lateness", c.name)
		}
		if d.IsStalled(d.StallDeadline()) || !d.IsStalled(d.StallDeadline()+1) {
			t.Errorf("%s: the stall deadline is %d", c.name, d.StallDeadline())
		}
		now += 1200 * ms
		if !d.IsStalled(now) {
			t.Errorf("%s: a gap of 1.2 s is not detected", c.name)
		}
		before, _ := d.Totals()
		s, ok := d.Heartbeat(now)
		if !ok || s != (Stall{from, now}) {
			t.Errorf("%s: %+v %v, want %d to %d", c.name, s, ok, from, now)
		}
		if n, longest := d.Totals(); n != before+1 || longest != 1200*ms {
			t.Errorf("%s: counted %d, longest %d", c.name, n, longest)
		}
		if d.MaxLateness() > maxLatenessIntervals*20*ms {
			t.Errorf("%s: one stall raised the maximum lateness to %d", c.name, d.MaxLateness())
		}
	}
}

func TestSince(t *testing.T) {
	d := NewDetector(20*ms, 0)
	if _, ok := d.EarliestRecentStall(30*ms, 1000*ms); ok {
		t.Error("a stall is reported before there was one")
	}
	if from, ok := d.EarliestRecentStall(500*ms, 1000*ms); !ok || from != 0 {
		t.Errorf("inside a stall: %d %v", from, ok)
	}
	d.Heartbeat(500 * ms)
	d.Heartbeat(520 * ms)
	d.Heartbeat(900 * ms)
	if from, ok := d.EarliestRecentStall(910*ms, 1000*ms); !ok || from != 0 {
		t.Errorf("after two: %d %v, want the first one's start", from, ok)
	}
	if from, ok := d.EarliestRecentStall(910*ms, 100*ms); !ok || from != 520*ms {
		t.Errorf("the second alone: %d %v", from, ok)
	}
	if current, ok := d.Current(2000 * ms); !ok || current.Overlap(1000*ms, 1500*ms) != 500*ms {
		t.Errorf("1.1 s without a heartbeat: stall %+v, %v", current, ok)
	}
	if _, ok := d.Current(910 * ms); ok {
		t.Error("a stall is in progress 10 ms after a heartbeat")
	}
	for _, c := range [][3]int64{{0, 2000, 880}, {100, 400, 300}, {510, 515, 0}, {505, 600, 80}, {900, 950, 0}} {
		if got := d.StalledTime(c[0]*ms, c[1]*ms); got != c[2]*ms {
			t.Errorf("from %d to %d ms: stalled for %d us", c[0], c[1], got)
		}
	}
	now := int64(900 * ms)
	for range 100 {
		now += 20 * ms
		d.Heartbeat(now)
	}
	if _, ok := d.EarliestRecentStall(now, 1000*ms); ok {
		t.Error("a stall is reported that ended before the span")
	}
	if _, ok := d.Heartbeat(now - 5); ok || d.IsStalled(now) {
		t.Error("a clock that goes back changes the detector's state")
	}
	for range 3 * maxRecentStalls {
		now += 5000 * ms
		d.Heartbeat(now)
	}
	if len(d.recent) != maxRecentStalls {
		t.Errorf("%d stalls are remembered", len(d.recent))
	}
}

func TestFound(t *testing.T) {
	for _, c := range []struct {
		name         string
		data         UnreadData
		stalledSince int64
		want         int64
	}{
		{"age known", UnreadData{ObservedAt: 1000, Age: 300, AgeKnown: true}, 100, 700},
		{"older than the stall", UnreadData{ObservedAt: 1000, Age: 950, AgeKnown: true}, 100, 50},
		{"negative age", UnreadData{ObservedAt: 1000, Age: -4, AgeKnown: true}, 100, 1000},
		{"part of a request", UnreadData{ObservedAt: 1000, Age: 3, AgeKnown: true, Partial: true, LastEmpty: 200}, 100, 200},
		{"age unknown", UnreadData{ObservedAt: 1000}, 100, 100},
		{"seen empty in the meantime", UnreadData{ObservedAt: 1000, LastEmpty: 600}, 100, 600},
		{"seen empty before", UnreadData{ObservedAt: 1000, LastEmpty: 20}, 100, 100},
		{"no later than now", UnreadData{ObservedAt: 1000, LastEmpty: 2000}, 100, 1000},
	} {
		if got := c.data.ArrivalTime(c.stalledSince); got != c.want {
			t.Errorf("%s: arrived at %d, want %d", c.name, got, c.want)
		}
	}
}

func TestCatchUpIsBounded(t *testing.T) {
	var c CatchUp
	if !c.AllowsNew(0) {
		t.Error("new work is held back without a stall")
	}
	c.Begin(1000, 500*ms)
	if c.AllowsNew(1000) {
		t.Error("new work is allowed before all replies are decided")
	}
	c.FinishDeciding()
	if !c.AllowsNew(1000) {
		t.Error("new work is held back though no reply is pending")
	}
	c.AddPendingReply()
	c.AddPendingReply()
	c.MarkReplySent()
	if c.AllowsNew(1000) || c.AllowsNew(c.Deadline()-1) || !c.AllowsNew(c.Deadline()) || c.Deadline() != 1000+50*ms {
		t.Errorf("with one reply pending, deadline %d", c.Deadline())
	}
	c.MarkReplySent()
	c.MarkReplySent() // one call too many: a front end may miscount
	if !c.AllowsNew(1000) || c.Replies() != 2 {
		t.Errorf("no reply is pending, %d replies", c.Replies())
	}
	c.Begin(0, 30_000*ms)
	if c.Deadline() != MaxCatchUpMicros {
		t.Errorf("a long stall holds new work back for %d us", c.Deadline())
	}
}

// ActiveTime counts the time between regular observations in full and a stall as a
// short gap. A clock that steps back takes nothing away.
func TestActiveTime(t *testing.T) {
	const interval = 5_000
	a, now := NewActiveTime(1_000), int64(1_000)
	for range 100 {
		now += interval
		a.Observe(now)
	}
	now += 60_000_000
	if got, want := a.Observe(now), int64(100*interval+maxObservationGapMicros); got != want {
		t.Errorf("%d after a stall, want %d", got, want)
	}
	if got, want := a.Observe(now-1_000_000), int64(100*interval+maxObservationGapMicros); got != want {
		t.Errorf("%d after a step back, want %d", got, want)
	}
}
