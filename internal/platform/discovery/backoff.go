package discovery

import "time"

const (
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	minStableWatch = time.Second // a watch that was alive for this long is reopened at once
)

// backoff computes the wait before the next watch is opened: exponential, without
// jitter. It reads no clock. Its zero value is ready to use.
type backoff struct{ wait time.Duration }

// next returns the wait after a watch ended. alive is how long the watch received
// data; 0 if it never did.
func (b *backoff) next(alive time.Duration) time.Duration {
	if alive >= minStableWatch {
		b.wait = 0
		return 0
	}
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	return b.wait
}
