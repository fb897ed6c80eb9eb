package console

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"arrowwalk/internal/control"
	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/control/trafficstats"
)

func sample(bricks int, at int64) *control.Response {
	s := &control.Snapshot{At: at, Host: "0-run", Served: uint64(at / 1000), Volumes: []control.VolumeStatus{{VolumeStats: trafficstats.VolumeStats{Name: "theses", Plan: "basic", Served: 5, Shards: []int{0, 1}}, Quadrant: "meet"}}}
	for i := range bricks {
		s.Bricks = append(s.Bricks, control.BrickStatus{Status: drains.Status{Brick: fmt.Sprintf("brick-%02d", i), State: drains.Ready, Shard: i},
			BrickStats: trafficstats.BrickStats{Util: 0.5, P50: time.Millisecond, Failed: map[string]uint64{"timeout": 2}}, Zone: "zone-a", Address: "h:1", Trust: "fresh", OutstandingRequests: i})
	}
	return &control.Response{Snapshot: s, Events: []control.Event{{Number: at, At: at, Kind: "brick", Text: "brick-00 is ready"}}}
}

// Every screen fits every size from 80x24 up, whatever it shows; smaller ones
// say so.
func TestScreensFit(t *testing.T) {
	for _, bricks := range []int{0, 6, 300} {
		s := &State{}
		for i := range 100 {
			s.Update(sample(bricks, int64(i+1)*500_000))
		}
		s.Running = []control.RunningRequest{{ID: strings.Repeat("x", 300), Brick: "b"}}
		for _, size := range [][2]int{{80, 24}, {81, 25}, {200, 60}, {79, 24}, {80, 23}, {1, 1}, {0, 0}} {
			s.Width, s.Height = size[0], size[1]
			for _, key := range []string{"1", "2", "3", "4", "?", "x", "1", "d"} {
				s.HandleKey(key)
				for range 310 {
					s.HandleKey("down")
				}
				text := View(s)
				lines := strings.Split(text, "\n")
				if size[0] < 80 || size[1] < 24 {
					if !strings.Contains(text, "needs 80x24") {
						t.Errorf("%v: %q", size, text)
					}
					continue
				}
				if len(lines) != size[1] {
					t.Errorf("%d bricks, %v, key %s: %d lines", bricks, size, key, len(lines))
				}
				for _, l := range lines {
					if utf8.RuneCountInString(l) > size[0] {
						t.Errorf("%v, key %s: line of %d columns: %s", size, key, utf8.RuneCountInString(l), l)
					}
				}
				s.Confirmation = nil
			}
		}
	}
}

func TestKeys(t *testing.T) {
	s := &State{Width: 100, Height: 30}
	s.Update(sample(3, 500_000))
	s.HandleKey("down")
	if d := s.HandleKey("d"); d.FetchCost != "brick-01" || !strings.Contains(View(s), "drain brick-01? asking") {
		t.Fatalf("%+v\n%s", d, View(s))
	}
	if d := s.HandleKey("y"); d.Order != nil {
		t.Error("drained before the cost was known")
	}
	s.HandleKey("d")
	s.Confirmation.Cost = &drains.Cost{Shard: 1, Unreachable: true, Volumes: []string{"theses"}}
	if v := View(s); !strings.Contains(v, "1 out; OUT OF REACH: theses") {
		t.Errorf("the cost is not told:\n%s", v)
	}
	if d := s.HandleKey("y"); d.Order != nil {
		t.Error("y drains though data would be out of reach")
	}
	s.HandleKey("d")
	s.Confirmation.Cost = &drains.Cost{Shard: 1, Unreachable: true}
	if d := s.HandleKey("f"); d.Order == nil || !d.Order.Force || d.Order.Brick != "brick-01" || d.Order.Kind != drains.Drain {
		t.Errorf("%+v", d)
	}
	r := sample(3, 1_000_000)
	r.Snapshot.Bricks[1].State = drains.Draining
	s.Update(r)
	if !strings.Contains(View(s), "brick-01 is draining: 1 requests out") {
		t.Errorf("progress is not told:\n%s", View(s))
	}
	r = sample(3, 1_500_000)
	r.Snapshot.Bricks[1].State, r.Snapshot.Bricks[1].OutstandingRequests = drains.Draining, 0
	s.Update(r)
	if !strings.Contains(View(s), "draining and idle") || s.WatchedBrick != "" {
		t.Errorf("idle is not told:\n%s", View(s))
	}
	s.HandleKey("u")
	if d := s.HandleKey("y"); d.Order == nil || d.Order.Kind != drains.Undrain {
		t.Errorf("%+v", d)
	}
	s.HandleKey("u")
	if d := s.HandleKey("n"); d.Order != nil {
		t.Error("n undrains")
	}
	if d := s.HandleKey("3"); !d.FetchRunning || s.Screen != Requests {
		t.Errorf("%+v", d)
	}
	s.LinkError = "gone"
	if !strings.Contains(View(s), "NO CONNECTION: gone") {
		t.Error("a lost connection is not told")
	}
	if !s.HandleKey("q").Quit || !s.HandleKey("ctrl+c").Quit {
		t.Error("q does not quit")
	}
	if Sparkline([]float64{0, 1, 2}, 2) != "▄█" {
		t.Errorf("spark %q", Sparkline([]float64{0, 1, 2}, 2))
	}
}
