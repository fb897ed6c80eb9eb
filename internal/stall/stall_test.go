package stall

import (
	"math/rand/v2"
	"testing"
)

const ms = 1000

// Beats that are as late as they usually are tell of nothing, on a quick and on
// a slow machine; a gap beyond that is a stall of its length.
func TestStallIsToldFromLateness(t *testing.T) {
	for _, c := range []struct {
		name   string
		jitter int64
	}{{"quick", 500}, {"slow", 15 * ms}, {"very slow", 60 * ms}} {
		rnd := rand.New(rand.NewPCG(1, uint64(c.jitter)))
		d, now, false1 := NewDetector(20*ms, 0), int64(0), 0
		for i := range 5000 {
			now += 20*ms + rnd.Int64N(c.jitter)
			if _, ok := d.Heartbeat(now); ok && i > 50 {
				false1++
			}
		}
		if false1 > 25 { // of 4,950: once in two hundred beats costs nothing
			t.Errorf("%s: %d stalls told, there were none", c.name, false1)
		}
		from := now
		if d.IsStalled(now + d.MaxLateness() + 20*ms) {
			t.Errorf("%s: still at the bound", c.name)
		}
		if d.IsStalled(d.StallDeadline()) || !d.IsStalled(d.StallDeadline()+1) {
			t.Errorf("%s: the limit is %d", c.name, d.StallDeadline())
		}
		now += 1200 * ms
		if !d.IsStalled(now) {
			t.Errorf("%s: a gap of 1.2 s is nothing", c.name)
		}
		before, _ := d.Totals()
		s, ok := d.Heartbeat(now)
		if !ok || s != (Stall{from, now}) {
			t.Errorf("%s: %+v %v, want %d to %d", c.name, s, ok, from, now)
		}
		if n, most := d.Totals(); n != before+1 || most != 1200*ms {
			t.Errorf("%s: counted %d, longest %d", c.name, n, most)
		}
		if d.MaxLateness() > boundMost*20*ms {
			t.Errorf("%s: one stall moved the bound to %d", c.name, d.MaxLateness())
		}
	}
}

func TestSince(t *testing.T) {
	d := NewDetector(20*ms, 0)
	if _, ok := d.EarliestRecentStall(30*ms, 1000*ms); ok {
		t.Error("a stall before there was one")
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
	for _, c := range [][3]int64{{0, 2000, 880}, {100, 400, 300}, {510, 515, 0}, {505, 600, 80}, {900, 950, 0}} {
		if got := d.StalledTime(c[0]*ms, c[1]*ms); got != c[2]*ms {
			t.Errorf("from %d to %d ms: still for %d us", c[0], c[1], got)
		}
	}
	now := int64(900 * ms)
	for range 100 {
		now += 20 * ms
		d.Heartbeat(now)
	}
	if _, ok := d.EarliestRecentStall(now, 1000*ms); ok {
		t.Error("a stall is kept for longer than was asked")
	}
	if _, ok := d.Heartbeat(now - 5); ok || d.IsStalled(now) {
		t.Error("a clock that goes back moves the detector")
	}
	for range 3 * kept {
		now += 5000 * ms
		d.Heartbeat(now)
	}
	if len(d.past) != kept {
		t.Errorf("%d stalls are kept", len(d.past))
	}
}

func TestFound(t *testing.T) {
	for _, c := range []struct {
		name string
		f    UnreadData
		from int64
		want int64
	}{
		{"told", UnreadData{ObservedAt: 1000, Age: 300, AgeKnown: true}, 100, 700},
		{"told older than the stall", UnreadData{ObservedAt: 1000, Age: 950, AgeKnown: true}, 100, 50},
		{"told before now", UnreadData{ObservedAt: 1000, Age: -4, AgeKnown: true}, 100, 1000},
		{"told of a part", UnreadData{ObservedAt: 1000, Age: 3, AgeKnown: true, Partial: true, LastEmpty: 200}, 100, 200},
		{"not told", UnreadData{ObservedAt: 1000}, 100, 100},
		{"seen empty in the meantime", UnreadData{ObservedAt: 1000, LastEmpty: 600}, 100, 600},
		{"seen empty before", UnreadData{ObservedAt: 1000, LastEmpty: 20}, 100, 100},
		{"no later than now", UnreadData{ObservedAt: 1000, LastEmpty: 2000}, 100, 1000},
	} {
		if got := c.f.ArrivalTime(c.from); got != c.want {
			t.Errorf("%s: came at %d, want %d", c.name, got, c.want)
		}
	}
}

func TestCatchUpIsBounded(t *testing.T) {
	var c CatchUp
	if !c.AllowsNew(0) {
		t.Error("shut though nothing happened")
	}
	c.Begin(1000, 500*ms)
	if c.AllowsNew(1000) {
		t.Error("open before it is known what is owed")
	}
	c.FinishDeciding()
	if !c.AllowsNew(1000) {
		t.Error("shut though nothing is owed")
	}
	c.AddPendingReply()
	c.AddPendingReply()
	c.MarkReplySent()
	if c.AllowsNew(1000) || c.AllowsNew(c.Deadline()-1) || !c.AllowsNew(c.Deadline()) || c.Deadline() != 1000+50*ms {
		t.Errorf("with one owed, until %d", c.Deadline())
	}
	c.MarkReplySent()
	c.MarkReplySent() // a second front may not count as it should
	if !c.AllowsNew(1000) || c.Replies() != 2 {
		t.Errorf("all is paid, %d words", c.Replies())
	}
	c.Begin(0, 30_000*ms)
	if c.Deadline() != MaxCatchUpMicros {
		t.Errorf("a long stall holds the new for %d", c.Deadline())
	}
}
