package brickd

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"arrowwalk/internal/brick"
)

// Guards against a brick that wakes up after its session has ended and goes on accepting
// writes, which are lost: another brick has taken its place.
func TestNothingIsServedWithoutASession(t *testing.T) {
	var mayServe atomic.Bool
	mayServe.Store(true)
	var endsIn atomic.Int64 // requests until the session ends, counted at its checks
	endsIn.Store(1 << 30)
	s, blobs := serve(t, Options{ID: "a", MayServe: func() bool {
		if endsIn.Add(-1) <= 0 {
			mayServe.Store(false)
		}
		return mayServe.Load()
	}})
	status := func(request brick.Request) int {
		pool := brick.NewPool(brick.PoolOptions{})
		defer pool.Close()
		request.Deadline = time.Now().Add(10 * time.Second)
		var response brick.Response
		err := pool.Do(&brick.Attempt{}, s.Addr(), &request, &response)
		var failure *brick.Failure
		if errors.As(err, &failure) {
			return map[brick.Reason]int{brick.ReasonFull: 503, brick.ReasonError: 500}[failure.Reason]
		}
		response.Release(pool, false)
		return response.Status
	}
	put := brick.Request{Method: "PUT", Space: "o", Name: "k", Body: brick.Bytes("text")}
	if got := status(put); got != 200 {
		t.Fatalf("with a session: %d", got)
	}
	endsIn.Store(2) // after the check before the write, before the one after it
	if got := status(put); got != 500 {
		t.Errorf("a write during which the session ended: %d, want 500", got)
	}
	put.Name = "later"
	for _, request := range []brick.Request{put, {Method: "GET", Space: "o", Name: "k"}, {Method: "DELETE", Space: "o", Name: "k"}} {
		if got := status(request); got != 503 {
			t.Errorf("%s without a session: %d, want 503", request.Method, got)
		}
	}
	if _, err := blobs.Stat("o", "later"); err == nil {
		t.Error("a refused write took effect")
	}
	if _, err := blobs.Stat("o", "k"); err != nil {
		t.Errorf("a refused delete took effect: %v", err)
	}
}
