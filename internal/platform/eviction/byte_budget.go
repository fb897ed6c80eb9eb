package eviction

import "sync/atomic"

// ByteBudget is memory that bodies share. Who finds none gives way: nothing that is
// held is taken back. It is safe for concurrent use.
type ByteBudget struct {
	Max  int64
	held atomic.Int64
}

// Acquire takes n bytes; false: there is no room for them.
func (b *ByteBudget) Acquire(n int64) bool {
	if b.held.Add(n) <= b.Max {
		return true
	}
	b.held.Add(-n)
	return false
}

// Release gives n bytes back.
func (b *ByteBudget) Release(n int64) { b.held.Add(-n) }

// InUse returns how many bytes are taken.
func (b *ByteBudget) InUse() int64 { return b.held.Load() }
