package sizing

import "testing"

func TestGuessFollowsSizes(t *testing.T) {
	e := NewEstimator(1000)
	if size := e.Estimate(1, 1<<20); size != 1000 {
		t.Errorf("initial estimate %d", size)
	}
	for range 100 {
		e.Observe(1, 50_000)
	}
	e.Observe(2, 10)
	if size := e.Estimate(1, 1<<20); size < 49_000 || size > 50_000 {
		t.Errorf("estimate after 100 reads of 50,000 bytes: %d", size)
	}
	if size := e.Estimate(2, 1<<20); size != 10 {
		t.Errorf("estimate of another volume: %d", size)
	}
	if size := e.Estimate(1, 4096); size != 4096 {
		t.Errorf("capped estimate: %d", size)
	}
	for v := range uint64(2 * maxVolumes) {
		e.Observe(v+10, 5)
	}
	if len(e.means) > maxVolumes {
		t.Errorf("%d volumes kept", len(e.means))
	}
}
