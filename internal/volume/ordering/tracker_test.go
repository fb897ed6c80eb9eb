package ordering

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestLikeADisk runs random requests in a random order of completion. Every read
// must return what a disk would that runs one request at a time, no two writes of
// one extent may run at once, and all requests must run in the end.
func TestLikeADisk(t *testing.T) {
	const extentBytes, diskBytes = 4, 32
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		tracker := NewTracker(extentBytes)
		ops := make([]Op, 60)
		disk, model := make([]uint32, diskBytes), make([][]uint32, len(ops)) // model: what each read must return
		serial := make([]uint32, diskBytes)
		var running []uint32
		next, done := 0, 0
		for done < len(ops) {
			if next < len(ops) && (len(running) == 0 || random.IntN(2) == 0) {
				offset := random.Int64N(diskBytes)
				ops[next] = Op{Kind(random.IntN(3)), offset, 1 + random.Int64N(min(6, diskBytes-offset))}
				op := &ops[next]
				if op.Kind == Flush {
					op.Offset, op.Bytes = 0, 0
				}
				for i := op.Offset; i < op.Offset+op.Bytes && op.Kind == Write; i++ {
					serial[i] = uint32(next) + 1
				}
				model[next] = slices.Clone(serial)
				if tracker.Add(uint32(next), *op) {
					running = append(running, uint32(next))
				}
				next++
				continue
			}
			if len(running) == 0 {
				t.Fatalf("seed %d: %d of %d done, but no request may run", seed, done, len(ops))
			}
			k := random.IntN(len(running))
			id := running[k]
			running = append(running[:k], running[k+1:]...)
			op := ops[id]
			for i := op.Offset; i < op.Offset+op.Bytes; i++ {
				switch op.Kind {
				case Write:
					disk[i] = id + 1
				case Read:
					if disk[i] != model[id][i] {
						t.Fatalf("seed %d: read %d of byte %d returns write %d, want %d", seed, id, i, disk[i], model[id][i])
					}
				}
			}
			for _, other := range running {
				if o := ops[other]; op.Kind == Write && o.Kind == Write && o.Offset/extentBytes == op.Offset/extentBytes {
					t.Fatalf("seed %d: two writes of one extent run at once", seed)
				}
			}
			running = tracker.Complete(id, running)
			done++
		}
		if tracker.Len() != 0 || !slices.Equal(disk, serial) {
			t.Fatalf("seed %d: %d requests left, or the disk differs", seed, tracker.Len())
		}
	}
}

// TestFlush checks that a flush waits for the writes before it and that no later
// request waits for the flush.
func TestFlush(t *testing.T) {
	tracker := NewTracker(4)
	tracker.Add(1, Op{Write, 0, 1})
	if tracker.Add(2, Op{Kind: Flush}) {
		t.Error("a flush overtook a write")
	}
	if !tracker.Add(3, Op{Write, 8, 1}) || !tracker.Add(4, Op{Read, 8, 1}) == false {
		t.Error("a later write waits for a flush, or a read overtakes it")
	}
	if ready := tracker.Complete(1, nil); !slices.Equal(ready, []uint32{2}) {
		t.Errorf("ready: %v", ready)
	}
}
