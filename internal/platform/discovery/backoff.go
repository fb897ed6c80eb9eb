package discovery

import "time"

const (
	minBackoff = 50 * time.Millisecond
	// maxBackoff lies below the grace of drains (0.5 s): what an agent has at its return
	// counts at once.
	maxBackoff = 400 * time.Millisecond
	// minOpenWatch is how long a watch is open that is reopened at once: its own length
	// limits the rate of calls, whether the agent was alive on it or silent.
	minOpenWatch = time.Second
)

// backoff computes the wait before the next watch is opened: exponential, without
// jitter. It reads no clock. Its zero value is ready to use.
type backoff struct{ wait time.Duration }

// next returns the wait after a watch ended. open is how long ago it was opened.
func (b *backoff) next(open time.Duration) time.Duration {
	if open >= minOpenWatch {
		b.wait = 0
		return 0
	}
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	return b.wait
}
