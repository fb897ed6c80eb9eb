package ordering

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever the dice say: nothing runs beside an earlier request that it must
// not overtake, and all run in the end. What a reader sees is what a disk that
// did one thing after the other would show.
func TestLikeADisk(t *testing.T) {
	const extent, blocks = 4, 32
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		b := NewTracker(extent)
		ops := make([]Op, 60)
		disk, model := make([]uint32, blocks), make([][]uint32, len(ops)) // model: what each read must show
		plain := make([]uint32, blocks)
		var runs []uint32
		next, done := 0, 0
		for done < len(ops) {
			if next < len(ops) && (len(runs) == 0 || rnd.IntN(2) == 0) {
				from := rnd.Int64N(blocks)
				ops[next] = Op{Kind(rnd.IntN(3)), from, 1 + rnd.Int64N(min(6, blocks-from))}
				op := &ops[next]
				if op.Kind == Flush {
					op.Offset, op.Bytes = 0, 0
				}
				for i := op.Offset; i < op.Offset+op.Bytes && op.Kind == Write; i++ {
					plain[i] = uint32(next) + 1
				}
				model[next] = slices.Clone(plain)
				if b.Add(uint32(next), *op) {
					runs = append(runs, uint32(next))
				}
				next++
				continue
			}
			if len(runs) == 0 {
				t.Fatalf("seed %d: %d of %d done, nothing runs", seed, done, len(ops))
			}
			k := rnd.IntN(len(runs))
			id := runs[k]
			runs = append(runs[:k], runs[k+1:]...)
			op := ops[id]
			for i := op.Offset; i < op.Offset+op.Bytes; i++ {
				switch op.Kind {
				case Write:
					disk[i] = id + 1
				case Read:
					if disk[i] != model[id][i] {
						t.Fatalf("seed %d: read %d of block %d shows write %d, want %d", seed, id, i, disk[i], model[id][i])
					}
				}
			}
			for _, other := range runs {
				if o := ops[other]; op.Kind == Write && o.Kind == Write && o.Offset/extent == op.Offset/extent {
					t.Fatalf("seed %d: two writes of one extent run at once", seed)
				}
			}
			runs = b.Complete(id, runs)
			done++
		}
		if b.Len() != 0 || !slices.Equal(disk, plain) {
			t.Fatalf("seed %d: %d left, the disk differs", seed, b.Len())
		}
	}
}

// A flush waits for the writes before it and for no later one.
func TestFlush(t *testing.T) {
	b := NewTracker(4)
	b.Add(1, Op{Write, 0, 1})
	if b.Add(2, Op{Kind: Flush}) {
		t.Error("a flush overtook a write")
	}
	if !b.Add(3, Op{Write, 8, 1}) || !b.Add(4, Op{Read, 8, 1}) == false {
		t.Error("a later write waits for a flush, or a read overtakes it")
	}
	if ready := b.Complete(1, nil); !slices.Equal(ready, []uint32{2}) {
		t.Errorf("ready: %v", ready)
	}
}
