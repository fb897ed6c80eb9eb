package trafficstats

import (
	"testing"
	"time"
)

func TestMeters(t *testing.T) {
	collector, now := NewCollector(), time.Unix(1000, 0)
	for i := range 100 {
		collector.RecordAttempt(Attempt{Brick: "a", Units: 0.5, Latency: time.Duration(i+1) * time.Millisecond, OK: true, Util: 0.25}, now)
	}
	collector.RecordAttempt(Attempt{Brick: "a", Reason: "timeout", Util: -1}, now)
	a := collector.Bricks(now)["a"]
	if a.Served != 100 || a.Units != 50 || a.Failed["timeout"] != 1 || a.Util != 0.25 || a.P50 < 49*time.Millisecond || a.P50 > 52*time.Millisecond || a.P99 < 97*time.Millisecond {
		t.Errorf("%+v", a)
	}
	if a := collector.Bricks(now.Add(90 * time.Second))["a"]; a.P99 == 0 {
		t.Error("the previous window is dropped too soon")
	}
	if a := collector.Bricks(now.Add(5 * time.Minute))["a"]; a.P99 != 0 || a.Served != 100 {
		t.Errorf("after five minutes: %+v", a)
	}
	collector.RecordOutcome("theses", "basic", 2, Served)
	collector.RecordOutcome("theses", "basic", 1, Served)
	collector.RecordOutcome("theses", "basic", 3, Refused)
	collector.RecordOutcome("notes", "basic", 2, Failed)
	all := collector.Volumes()
	if len(all) != 2 || all[1].Served != 2 || all[1].Refused != 1 || len(all[1].Shards) != 2 || all[0].Failed != 1 {
		t.Errorf("%+v", all)
	}
	if volumes := collector.VolumesByShard(); len(volumes) != 2 || volumes[1][0] != "theses" {
		t.Errorf("%v", volumes)
	}
}
