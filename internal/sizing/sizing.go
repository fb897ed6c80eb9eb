// Package sizing guesses how many bytes a read will move before it is known:
// the module wants a request's units when it takes it, and a read without a
// range tells its size only with the answer. It is pure.
package sizing

import "sync"

const (
	gain        = 0.1  // weight of a new size in the running mean
	volumesMost = 4096 // kept; beyond that all share one mean
)

// Estimator keeps a running mean of sizes for each volume. It is safe for
// concurrent use; its zero value is not ready.
type Estimator struct {
	mu    sync.Mutex
	all   float64
	means map[uint64]float64
}

// NewEstimator returns an Estimator that guesses first until it has seen more.
func NewEstimator(first int64) *Estimator {
	return &Estimator{all: float64(first), means: map[uint64]float64{}}
}

// Estimate returns the expected size of a volume's next read, at most most bytes.
func (e *Estimator) Estimate(volume uint64, most int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	mean, ok := e.means[volume]
	if !ok {
		mean = e.all
	}
	return min(int64(mean), most)
}

// Observe takes in the size of a read of a volume.
func (e *Estimator) Observe(volume uint64, size int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.all += gain * (float64(size) - e.all)
	mean, ok := e.means[volume]
	if !ok {
		if len(e.means) >= volumesMost {
			return
		}
		mean = float64(size)
	}
	e.means[volume] = mean + gain*(float64(size)-mean)
}
