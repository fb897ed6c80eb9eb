package trafficstats

import (
	"testing"
	"time"
)

func TestMeters(t *testing.T) {
	b, now := NewCollector(), time.Unix(1000, 0)
	for i := range 100 {
		b.RecordAttempt(Attempt{Brick: "a", Units: 0.5, Latency: time.Duration(i+1) * time.Millisecond, OK: true, Util: 0.25}, now)
	}
	b.RecordAttempt(Attempt{Brick: "a", Reason: "timeout", Util: -1}, now)
	a := b.Bricks(now)["a"]
	if a.Served != 100 || a.Units != 50 || a.Failed["timeout"] != 1 || a.Util != 0.25 || a.P50 < 49*time.Millisecond || a.P50 > 52*time.Millisecond || a.P99 < 97*time.Millisecond {
		t.Errorf("%+v", a)
	}
	if a := b.Bricks(now.Add(90 * time.Second))["a"]; a.P99 == 0 {
		t.Error("the last window is forgotten too soon")
	}
	if a := b.Bricks(now.Add(5 * time.Minute))["a"]; a.P99 != 0 || a.Served != 100 {
		t.Errorf("after five minutes: %+v", a)
	}
	b.RecordOutcome("theses", "basic", 2, Served)
	b.RecordOutcome("theses", "basic", 1, Served)
	b.RecordOutcome("theses", "basic", 3, Refused)
	b.RecordOutcome("notes", "basic", 2, Failed)
	v := b.Volumes()
	if len(v) != 2 || v[1].Served != 2 || v[1].Refused != 1 || len(v[1].Shards) != 2 || v[0].Failed != 1 {
		t.Errorf("%+v", v)
	}
	if by := b.VolumesByShard(); len(by) != 2 || by[1][0] != "theses" {
		t.Errorf("%v", by)
	}
}
