// Package activetime bounds waits in time in which the process ran. A bound on the
// clock can pass while the process is stalled; what it cuts off then had no chance
// to finish.
package activetime

import (
	"context"
	"time"

	"arrowwalk/internal/stall"
)

// observationInterval is the interval at which active time is measured.
const observationInterval = 5 * time.Millisecond

// WithTimeout returns a copy of parent that also ends, with
// context.DeadlineExceeded as its cause, once the process has run for timeout. The
// caller must call cancel to release its goroutine, and cancel waits for that
// goroutine.
func WithTimeout(parent context.Context, timeout time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		active := stall.NewActiveTime(time.Now().UnixMicro())
		ticker := time.NewTicker(observationInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if active.Observe(time.Now().UnixMicro()) >= timeout.Microseconds() {
				end(context.DeadlineExceeded)
				return
			}
		}
	}()
	return ctx, func() {
		end(context.Canceled)
		<-done
	}
}
