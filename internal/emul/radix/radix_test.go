package radix

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// referenceHeap is the binary heap that a Queue is compared with.
type referenceHeap []entry

type entry struct {
	at  int64
	seq int
}

func (h referenceHeap) Len() int { return len(h) }
func (h referenceHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h referenceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *referenceHeap) Push(x any)   { *h = append(*h, x.(entry)) }
func (h *referenceHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// TestAgainstHeap checks that a Queue pops the same values as a heap ordered by
// time and then by insertion.
func TestAgainstHeap(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		var q Queue[int]
		h := &referenceHeap{}
		now, seq := int64(0), 0
		span := int64(1) << random.IntN(40)
		for range 3000 {
			if random.IntN(5) < 3 {
				at := now + random.Int64N(span)
				q.Push(at, seq)
				heap.Push(h, entry{at: at, seq: seq})
				seq++
				continue
			}
			at, v, ok := q.Pop()
			if ok != (h.Len() > 0) || q.Len() != max(0, h.Len()-1) {
				t.Fatalf("seed %d: lengths differ", seed)
			}
			if !ok {
				continue
			}
			want := heap.Pop(h).(entry)
			if at != want.at || v != want.seq {
				t.Fatalf("seed %d: got %d at %d, want %d at %d", seed, v, at, want.seq, want.at)
			}
			now = at
		}
	}
}

// BenchmarkHold measures the load of a simulation: 20,000 pending events, each
// followed by another one.
func BenchmarkHold(b *testing.B) {
	const pending = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	span := make([]int64, 4096)
	for i := range span {
		span[i] = 100 + random.Int64N(2_500_000)
	}
	b.Run("radix", func(b *testing.B) {
		var q Queue[[3]int64]
		for i := range pending {
			q.Push(span[i%len(span)], [3]int64{})
		}
		for i := 0; b.Loop(); i++ {
			at, v, _ := q.Pop()
			q.Push(at+span[i%len(span)], v)
		}
	})
	b.Run("heap", func(b *testing.B) {
		h := &referenceHeap{}
		for i := range pending {
			heap.Push(h, entry{at: span[i%len(span)], seq: i})
		}
		for i := 0; b.Loop(); i++ {
			e := heap.Pop(h).(entry)
			e.at, e.seq = e.at+span[i%len(span)], pending+i
			heap.Push(h, e)
		}
	})
}
