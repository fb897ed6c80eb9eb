// Package sizing estimates how many bytes a read will transfer. The scheduler
// module needs a request's units when it accepts the request, but the size of a
// read without a range is known only once the response arrives.
package sizing

import "sync"

const (
	smoothing  = 0.1  // weight of a new size in the moving average
	maxVolumes = 4096 // volumes with an average of their own; others share one
)

// Estimator keeps an exponential moving average of read sizes for each volume.
// It is safe for concurrent use. Use NewEstimator to create one.
type Estimator struct {
	mu         sync.Mutex
	sharedMean float64
	means      map[uint64]float64
}

// NewEstimator returns an Estimator that estimates initial bytes until it has
// observed reads.
func NewEstimator(initial int64) *Estimator {
	return &Estimator{sharedMean: float64(initial), means: map[uint64]float64{}}
}

// Estimate returns the expected size in bytes of a volume's next read, capped at
// maxBytes.
func (e *Estimator) Estimate(volume uint64, maxBytes int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.means[volume]
	if !ok {
		mean = e.sharedMean
	}
	return min(int64(mean), maxBytes)
}

// Observe records the size in bytes of a read of a volume.
func (e *Estimator) Observe(volume uint64, size int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharedMean += smoothing * (float64(size) - e.sharedMean)
	mean, ok := e.means[volume]
	if !ok {
		if len(e.means) >= maxVolumes {
			return
		}
		mean = float64(size)
	}
	e.means[volume] = mean + smoothing*(float64(size)-mean)
}
