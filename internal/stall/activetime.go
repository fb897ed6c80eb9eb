package stall

// maxObservationGapMicros is the longest time between two observations of an
// ActiveTime that counts as time in which the process ran.
const maxObservationGapMicros = 20_000

// ActiveTime measures for how long the process has been running, from observations
// at intervals of a few milliseconds. A longer gap between two observations is a
// stall and counts as maxObservationGapMicros. A wait that is bounded by active time
// leaves the process time to act after a stall of any length. It is not safe for
// concurrent use.
type ActiveTime struct {
	observedAt int64
	total      int64
}

// NewActiveTime returns an ActiveTime that counts from now, in microseconds.
func NewActiveTime(now int64) *ActiveTime { return &ActiveTime{observedAt: now} }

// Observe records that the process runs at now and returns the active time so far,
// both in microseconds.
func (a *ActiveTime) Observe(now int64) int64 {
	a.total += min(max(0, now-a.observedAt), maxObservationGapMicros)
	a.observedAt = now
	return a.total
}
