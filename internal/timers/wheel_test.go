package timers

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// binaryHeap is the reference implementation for tests and benchmarks.
type binaryHeap []timer

func (h binaryHeap) Len() int           { return len(h) }
func (h binaryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h binaryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *binaryHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *binaryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// The wheel returns the same tokens in the same steps as a heap, for delays from
// one tick to beyond its last level.
func TestAgainstHeap(t *testing.T) {
	for seed := range int64(20) {
		rng := rand.New(rand.NewSource(seed))
		now := rng.Int63n(1 << 40)
		w, h := NewWheel(1, now), &binaryHeap{}
		token := uint64(0)
		for step := range 3000 {
			for range rng.Intn(4) {
				token++
				at := now + rng.Int63n(1<<rng.Intn(36)) - 3
				w.Add(at, token)
				heap.Push(h, timer{at, token})
			}
			if next, ok := w.Next(); ok && len(*h) > 0 && next > max(now, (*h)[0].at) {
				t.Fatalf("seed %d step %d: Next %d is after the first timer %d", seed, step, next, (*h)[0].at)
			}
			now += rng.Int63n(1 << rng.Intn(30))
			got := w.Advance(now, nil)
			var want []uint64
			for len(*h) > 0 && (*h)[0].at <= now {
				want = append(want, heap.Pop(h).(timer).token)
			}
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) || w.Len() != len(*h) {
				t.Fatalf("seed %d step %d: got %v, want %v; %d held, want %d", seed, step, got, want, w.Len(), len(*h))
			}
		}
	}
}

func TestNeverEarly(t *testing.T) {
	w := NewWheel(1000, 5_000_300)
	w.Add(5_001_500, 1)
	if got := w.Advance(5_001_999, nil); len(got) != 0 {
		t.Errorf("expired early: %v", got)
	}
	if got := w.Advance(5_002_000, nil); !slices.Equal(got, []uint64{1}) {
		t.Errorf("expired at its tick: %v, want [1]", got)
	}
}

// The load of a host: each request adds a deadline 5 s ahead, and the clock
// advances in steps of 100 us.
func BenchmarkRequests(b *testing.B) {
	const delay, step = 5_000_000, 100
	for _, held := range []int{1_000, 50_000} {
		addsPerStep := max(1, held*step/delay)
		b.Run(fmt.Sprintf("wheel/%d", held), func(b *testing.B) {
			w, now, out := NewWheel(1000, 0), int64(0), []uint64(nil)
			for i := 0; b.Loop(); i++ {
				w.Add(now+delay, uint64(i))
				if i%addsPerStep == 0 {
					now += step
					out = w.Advance(now, out[:0])
				}
			}
		})
		b.Run(fmt.Sprintf("heap/%d", held), func(b *testing.B) {
			h, now := &binaryHeap{}, int64(0)
			for i := 0; b.Loop(); i++ {
				heap.Push(h, timer{now + delay, uint64(i)})
				if i%addsPerStep == 0 {
					now += step
					for len(*h) > 0 && (*h)[0].at <= now {
						heap.Pop(h)
					}
				}
			}
		})
	}
}
