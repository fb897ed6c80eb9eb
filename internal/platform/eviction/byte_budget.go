package eviction

import "sync/atomic"

// ByteBudget bounds the memory that bodies share. Acquire fails when the budget
// is used up; memory in use is never reclaimed. It is safe for concurrent use.
type ByteBudget struct {
	Max   int64 // bytes
	inUse atomic.Int64
}

// Acquire takes n bytes. It returns false, and takes none, if they do not fit.
func (b *ByteBudget) Acquire(n int64) bool {
	if b.inUse.Add(n) <= b.Max {
		return true
	}
	b.inUse.Add(-n)
	return false
}

// Release returns n acquired bytes to the budget.
func (b *ByteBudget) Release(n int64) { b.inUse.Add(-n) }

// InUse returns the number of bytes acquired and not yet released.
func (b *ByteBudget) InUse() int64 { return b.inUse.Load() }
