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

func testResponse(bricks int, at int64) *control.Response {
	s := &control.Snapshot{At: at, Host: "0-run", Served: uint64(at / 1000), Volumes: []control.VolumeStatus{{VolumeStats: trafficstats.VolumeStats{Name: "theses", Plan: "basic", Served: 5, Shards: []int{0, 1}}, Quadrant: "meet"}}}
	for i := range bricks {
		s.Bricks = append(s.Bricks, control.BrickStatus{Status: drains.Status{Brick: fmt.Sprintf("brick-%02d", i), State: drains.Ready, Shard: i},
			BrickStats: trafficstats.BrickStats{Util: 0.5, P50: time.Millisecond, Failed: map[string]uint64{"timeout": 2}}, Zone: "zone-a", Address: "h:1", Trust: "fresh", OutstandingRequests: i})
	}
	return &control.Response{Snapshot: s, Events: []control.Event{{Number: at, At: at, Kind: "brick", Text: "brick-00 is ready"}}}
}

// Every screen must fit into every terminal of at least 80x24, whatever it shows. On
// a smaller one the console must name the required size.
func TestScreensFit(t *testing.T) {
	for _, bricks := range []int{0, 6, 300} {
		s := &State{}
		for i := range 100 {
			s.Update(testResponse(bricks, int64(i+1)*500_000))
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
	s.Update(testResponse(3, 500_000))
	s.HandleKey("down")
	if action := s.HandleKey("d"); action.FetchCost != "brick-01" || !strings.Contains(View(s), "drain brick-01? asking") {
		t.Fatalf("%+v\n%s", action, View(s))
	}
	if action := s.HandleKey("y"); action.Order != nil {
		t.Error("drain ordered before the cost was known")
	}
	s.HandleKey("d")
	s.Confirmation.Cost = &drains.Cost{Shard: 1, Unreachable: true, Volumes: []string{"theses"}}
	if v := View(s); !strings.Contains(v, "1 out; OUT OF REACH: theses") {
		t.Errorf("the cost is not shown:\n%s", v)
	}
	if action := s.HandleKey("y"); action.Order != nil {
		t.Error("y drains although data would become unreachable")
	}
	s.HandleKey("d")
	s.Confirmation.Cost = &drains.Cost{Shard: 1, Unreachable: true}
	if action := s.HandleKey("f"); action.Order == nil || !action.Order.Force || action.Order.Brick != "brick-01" || action.Order.Kind != drains.Drain {
		t.Errorf("%+v", action)
	}
	r := testResponse(3, 1_000_000)
	r.Snapshot.Bricks[1].State = drains.Draining
	s.Update(r)
	if !strings.Contains(View(s), "brick-01 is draining: 1 requests out") {
		t.Errorf("progress is not shown:\n%s", View(s))
	}
	r = testResponse(3, 1_500_000)
	r.Snapshot.Bricks[1].State, r.Snapshot.Bricks[1].OutstandingRequests = drains.Draining, 0
	s.Update(r)
	if !strings.Contains(View(s), "draining and idle") || s.WatchedBrick != "" {
		t.Errorf("idle is not shown:\n%s", View(s))
	}
	s.HandleKey("u")
	if action := s.HandleKey("y"); action.Order == nil || action.Order.Kind != drains.Undrain {
		t.Errorf("%+v", action)
	}
	s.HandleKey("u")
	if action := s.HandleKey("n"); action.Order != nil {
		t.Error("n orders an undrain")
	}
	if action := s.HandleKey("3"); !action.FetchRunning || s.Screen != Requests {
		t.Errorf("%+v", action)
	}
	s.LinkError = "gone"
	if !strings.Contains(View(s), "NO CONNECTION: gone") {
		t.Error("a lost connection is not shown")
	}
	if !s.HandleKey("q").Quit || !s.HandleKey("ctrl+c").Quit {
		t.Error("q does not quit")
	}
	if Sparkline([]float64{0, 1, 2}, 2) != "▄█" {
		t.Errorf("spark %q", Sparkline([]float64{0, 1, 2}, 2))
	}
}
