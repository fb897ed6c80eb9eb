package sizing

import "testing"

func TestGuessFollowsSizes(t *testing.T) {
	e := NewEstimator(1000)
	if g := e.Estimate(1, 1<<20); g != 1000 {
		t.Errorf("first guess %d", g)
	}
	for range 100 {
		e.Observe(1, 50_000)
	}
	e.Observe(2, 10)
	if g := e.Estimate(1, 1<<20); g < 49_000 || g > 50_000 {
		t.Errorf("guess after 100 reads of 50,000: %d", g)
	}
	if g := e.Estimate(2, 1<<20); g != 10 {
		t.Errorf("guess of another volume: %d", g)
	}
	if g := e.Estimate(1, 4096); g != 4096 {
		t.Errorf("bounded guess: %d", g)
	}
	for v := range uint64(2 * volumesMost) {
		e.Observe(v+10, 5)
	}
	if len(e.means) > volumesMost {
		t.Errorf("%d volumes kept", len(e.means))
	}
}
