package capture

import (
	"encoding/json"
	"testing"
	"time"

	"arrowwalk/internal/emul/scenario"
)

// Each trouble that a host lived through is in the scenario, at its time, and
// the scenario can be read again.
func TestScenario(t *testing.T) {
	var looks []Sample
	taken := uint64(0)
	for i := range 60 {
		l := Sample{At: time.Duration(i) * time.Second, RunID: "0-a"}
		taken += 100
		if i >= 20 && i < 25 {
			taken += 100
		}
		if i >= 40 {
			l.RunID = "0-b"
			taken = uint64(i-40) * 100
		}
		if i == 38 || i == 39 {
			l.RunID = ""
			looks = append(looks, l)
			continue
		}
		l.Accepted = taken
		a := BrickSample{Name: "a", Shard: 0, State: "ready", Utilization: 0.5, MedianLatency: 10 * time.Millisecond}
		b := BrickSample{Name: "b", Shard: 1, State: "ready", Utilization: 0.7, MedianLatency: 10 * time.Millisecond}
		if i >= 10 && i < 18 {
			b.State = "draining"
		}
		if i >= 30 && i < 36 {
			a.MedianLatency = 40 * time.Millisecond
		}
		l.Bricks = []BrickSample{a, b}
		looks = append(looks, l)
	}
	s, err := BuildScenario("day", looks)
	if err != nil {
		t.Fatal(err)
	}
	want := []scenario.Event{{At: 10, Duration: 6, Kind: "replace", Count: 1}, {At: 19, Duration: 5, Kind: "surge", Factor: 2}, {At: 30, Duration: 5, Kind: "slow", Count: 1, Factor: 4}, {At: 37, Kind: "crash_hosts", Share: 1, LengthMS: 3000}}
	if len(s.Timeline) != len(want) {
		t.Fatalf("%+v", s.Timeline)
	}
	for i, e := range s.Timeline {
		if e != want[i] {
			t.Errorf("trouble %d: %+v, want %+v", i, e, want[i])
		}
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := scenario.Parse(text); err != nil {
		t.Errorf("%v\n%s", err, text)
	}
	if s.Site.Bricks != 2 || s.Load.Utilization < 0.5 || s.Load.Utilization > 0.7 {
		t.Errorf("site %+v, load %g", s.Site, s.Load.Utilization)
	}
	if _, err := BuildScenario("day", looks[:2]); err == nil {
		t.Error("two looks made a day")
	}
}
