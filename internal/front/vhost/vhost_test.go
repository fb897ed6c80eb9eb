package vhost

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/front/vhost/wire"
	"arrowwalk/internal/standin/vmm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ramBackend is a Backend in memory. It can delay requests, so that they overlap, and
// fail them.
type ramBackend struct {
	mu      sync.Mutex
	data    []byte
	pause   func()
	release chan struct{} // if set, requests wait until it is closed
	failing atomic.Bool
}

// simulate waits and fails as the backend is set to.
func (r *ramBackend) simulate(ctx context.Context) error {
	if r.release != nil {
		select {
		case <-r.release:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if r.pause != nil {
		r.pause()
	}
	if r.failing.Load() {
		return errors.New("injected failure")
	}
	return nil
}

func (r *ramBackend) Read(ctx context.Context, offset int64, bufs [][]byte) error {
	err := r.simulate(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range bufs {
		copy(b, r.data[offset:])
		offset += int64(len(b))
	}
	return err
}

func (r *ramBackend) Write(ctx context.Context, offset int64, data [][]byte) error {
	if err := r.simulate(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range data {
		copy(r.data[offset:], b)
		offset += int64(len(b))
	}
	return nil
}

func (r *ramBackend) Zero(ctx context.Context, offset, bytes int64) error {
	return r.Write(ctx, offset, [][]byte{make([]byte, bytes)})
}

const diskBytes = 1 << 20

// listenRAM starts a server for backend and returns it with the path of its socket.
func listenRAM(t *testing.T, backend *ramBackend) (*Server, string) {
	t.Helper()
	if backend.data == nil {
		backend.data = make([]byte, diskBytes)
	}
	path := filepath.Join(t.TempDir(), "disk.sock")
	s, err := Listen(path, Disk{Name: "disk-one", SizeBytes: diskBytes, BlockBytes: 512, ExtentBytes: 64 << 10, Backend: backend}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, path
}

// newMachine returns a machine, connected to path unless that is empty.
func newMachine(t *testing.T, options vmm.Options, path string) *vmm.Machine {
	t.Helper()
	machine, err := vmm.New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(machine.Close)
	if path != "" {
		if err := machine.Connect(path); err != nil {
			t.Fatal(err)
		}
	}
	return machine
}

// submitOne submits a request and waits for its completion.
func submitOne(t *testing.T, queue *vmm.Queue, io *vmm.IO) *vmm.IO {
	t.Helper()
	if err := queue.Submit(io); err != nil {
		t.Fatal(err)
	}
	for {
		done, err := queue.Collect(nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(done) == 1 {
			return done[0]
		}
		if err := queue.Wait(5 * time.Second); err != nil {
			t.Fatalf("%+v: %v", io, err)
		}
	}
}

// TestLikeADisk checks that random I/O on several queues at once returns what a disk
// would, with and without indirect tables and event indices, and with extra kicks.
func TestLikeADisk(t *testing.T) {
	for _, options := range []vmm.Options{
		{Queues: 1, Size: 64, Slots: 8, Buffer: 16 << 10},
		{Queues: 2, Size: 128, Slots: 32, Buffer: 16 << 10, Event: true, Indirect: true, Inflight: true},
	} {
		random := rand.New(rand.NewPCG(7, 7))
		var mu sync.Mutex
		backend := &ramBackend{pause: func() {
			mu.Lock()
			n := random.IntN(300)
			mu.Unlock()
			for range n * 20 {
			}
		}}
		_, path := listenRAM(t, backend)
		machine := newMachine(t, options, path)
		var wg sync.WaitGroup
		for i, queue := range machine.Queues {
			wg.Add(1)
			go func() {
				defer wg.Done()
				// Each queue has a part of the disk and a model for itself.
				runRandomIO(t, queue, int64(i)*(diskBytes/2), diskBytes/2, uint64(i), 1500)
			}()
		}
		wg.Wait()
	}
}

// runRandomIO runs n random requests on a part of the disk and checks them against a
// model.
func runRandomIO(t *testing.T, queue *vmm.Queue, base, size int64, seed uint64, count int) {
	random := rand.New(rand.NewPCG(seed, 3))
	model := make([]byte, size)
	expectedReads := map[*vmm.IO][]byte{}
	queue.Lose = func() bool {
		if random.IntN(8) == 0 {
			queue.Kick() // an extra kick
		}
		return false
	}
	for submitted, done := 0, 0; done < count; {
		for submitted < count && queue.Room() && random.IntN(4) > 0 {
			offset := random.Int64N(size/512-32) * 512
			io := &vmm.IO{Kind: blk.In, From: base + offset, Bytes: (1 + random.IntN(31)) * 512}
			modelPart := model[offset : offset+int64(io.Bytes)]
			switch random.IntN(8) {
			case 0, 1, 2:
				io.Kind, io.Data = blk.Out, make([]byte, io.Bytes)
				for i := range io.Data {
					io.Data[i] = byte(random.Uint32())
				}
				copy(modelPart, io.Data)
			case 3:
				io.Kind, io.Ranges = blk.WriteZeroes, []blk.Range{{Offset: io.From, Bytes: int64(io.Bytes)}}
				clear(modelPart)
			case 4:
				io.Kind = blk.Flush
			default:
				expectedReads[io] = bytes.Clone(modelPart) // the model holds all writes submitted so far
			}
			if err := queue.Submit(io); err != nil {
				t.Error(err)
				return
			}
			submitted++
		}
		completed, err := queue.Collect(nil)
		if err != nil {
			t.Error(err)
			return
		}
		for _, io := range completed {
			done++
			if io.Status != blk.OK {
				t.Errorf("status %d of a request of kind %+v", io.Status, io.Kind)
			}
			if expected := expectedReads[io]; io.Kind == blk.In && !bytes.Equal(io.Data, expected) {
				t.Errorf("seed %d: %d bytes at %d differ from the model", seed, io.Bytes, io.From)
				return
			}
			delete(expectedReads, io)
		}
		if len(completed) == 0 && queue.Out() > 0 {
			if err := queue.Wait(5 * time.Second); err != nil {
				t.Errorf("%d of %d done, %d in flight: %v", done, count, queue.Out(), err)
				return
			}
		}
	}
}

// TestBadRequests checks the status of invalid requests and of failed ones, and that
// the session goes on after them.
func TestBadRequests(t *testing.T) {
	backend := &ramBackend{}
	_, path := listenRAM(t, backend)
	machine := newMachine(t, vmm.Options{Queues: 1, Size: 64, Slots: 8, Buffer: 4096}, path)
	queue := machine.Queues[0]
	for _, test := range []struct {
		io   vmm.IO
		want blk.Status
	}{
		{vmm.IO{Kind: blk.In, From: diskBytes, Bytes: 512}, blk.IOErr},
		{vmm.IO{Kind: blk.Out, From: diskBytes - 512, Bytes: 1024, Data: make([]byte, 1024)}, blk.IOErr},
		{vmm.IO{Kind: blk.In, From: 1 << 50, Bytes: 512}, blk.IOErr},
		{vmm.IO{Kind: blk.Out, Bytes: 100, Data: make([]byte, 100)}, blk.IOErr},
		{vmm.IO{Kind: 99}, blk.Unsupported},
		{vmm.IO{Kind: blk.Discard, Ranges: []blk.Range{{Offset: diskBytes, Bytes: 512}}}, blk.IOErr},
		{vmm.IO{Kind: blk.GetID, Bytes: 20}, blk.OK},
		{vmm.IO{Kind: blk.Flush}, blk.OK},
	} {
		io := test.io
		if got := submitOne(t, queue, &io); got.Status != test.want {
			t.Errorf("%+v: status %d, want %d", test.io, got.Status, test.want)
		}
		if io.Kind == blk.GetID && string(bytes.TrimRight(io.Data, "\x00")) != "disk-one" {
			t.Errorf("device id %q", io.Data)
		}
	}
	backend.failing.Store(true)
	if got := submitOne(t, queue, &vmm.IO{Kind: blk.In, Bytes: 512}); got.Status != blk.IOErr {
		t.Errorf("status %d of a failed read", got.Status)
	}
}

// TestHostileGuest checks that a guest that breaks the protocol ends its own session
// and that the server then accepts the next one.
func TestHostileGuest(t *testing.T) {
	options := vmm.Options{Queues: 1, Size: 64, Slots: 8, Buffer: 4096, Indirect: true}
	for name, attack := range map[string]func(*vmm.Machine, *vmm.Queue){
		"loop": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, vmm.Guest(0), 16, 1, 0)
			queue.Offer(0)
		},
		"outside the regions": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, 0x10, 16, 0, 0)
			queue.Offer(0)
		},
		"across the end of a region": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, vmm.Guest(len(machine.Mem)-8), 16, 0, 0)
			queue.Offer(0)
		},
		"length overflows": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, ^uint64(0)-4, 0xffffffff, 0, 0)
			queue.Offer(0)
		},
		"head out of range": func(machine *vmm.Machine, queue *vmm.Queue) { queue.Offer(9999) },
		"next out of range": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, vmm.Guest(0), 16, 1, 7777)
			queue.Offer(0)
		},
		"index too far ahead": func(machine *vmm.Machine, queue *vmm.Queue) { queue.SetAvail(500); queue.Kick() },
		"nested indirect table": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 1, vmm.Guest(queue.Table()+16), 16, 4, 0)
			machine.Desc(queue.Table(), 0, vmm.Guest(queue.Table()+16), 16, 4, 0)
			queue.Offer(0)
		},
		"indirect table of 7 bytes": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, vmm.Guest(0), 7, 4, 0)
			queue.Offer(0)
		},
		"no status": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, vmm.Guest(0), 16, 0, 0)
			queue.Offer(0)
		},
		"writable before readable": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Desc(queue.Table(), 0, vmm.Guest(0), 16, 3, 1)
			machine.Desc(queue.Table(), 1, vmm.Guest(0), 16, 0, 0)
			queue.Offer(0)
		},
		"memory shrunk":   func(machine *vmm.Machine, queue *vmm.Queue) { machine.Shrink(0) },
		"unknown message": func(machine *vmm.Machine, queue *vmm.Queue) { machine.Send(77, nil) },
		"features not offered": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Send(wire.SetFeatures, wire.AppendU64(nil, 1<<60))
		},
		"table without fds": func(machine *vmm.Machine, queue *vmm.Queue) { machine.Send(wire.SetMemTable, machine.Table()) },
		"queue 200": func(machine *vmm.Machine, queue *vmm.Queue) {
			machine.Send(wire.SetVringEnable, wire.VringState{Index: 200, Num: 1}.Append(nil))
		},
	} {
		t.Run(name, func(t *testing.T) {
			backend := &ramBackend{}
			_, path := listenRAM(t, backend)
			machine := newMachine(t, options, path)
			attack(machine, machine.Queues[0])
			if name == "memory shrunk" {
				machine.Queues[0].Kick()
			}
			if _, _, err := machine.Ask(wire.GetQueueNum, nil); err == nil {
				if _, _, err := machine.Ask(wire.GetQueueNum, nil); err == nil {
					// The queue's goroutine may not have read the ring yet.
					deadline := time.Now().Add(5 * time.Second)
					for err == nil && time.Now().Before(deadline) {
						_, _, err = machine.Ask(wire.GetQueueNum, nil)
					}
					if err == nil {
						t.Fatal("the session did not end")
					}
				}
			}
			machine.Disconnect()
			next := newMachine(t, options, path)
			if got := submitOne(t, next.Queues[0], &vmm.IO{Kind: blk.In, Bytes: 512}); got.Status != blk.OK {
				t.Errorf("status %d of a read in the next session", got.Status)
			}
		})
	}
}

// TestInflight checks that requests in flight when a server ends run once, in their
// order, after a reconnection to another server that knows only the inflight region.
func TestInflight(t *testing.T) {
	backend := &ramBackend{release: make(chan struct{})}
	first, path := listenRAM(t, backend)
	machine := newMachine(t, vmm.Options{Queues: 1, Size: 64, Slots: 8, Buffer: 4096, Inflight: true, Event: true, Indirect: true}, path)
	queue := machine.Queues[0]
	for i := range 6 { // all write one block, so that its data shows their order
		data := bytes.Repeat([]byte{byte(i + 1)}, 512)
		if err := queue.Submit(&vmm.IO{Kind: blk.Out, From: 512, Bytes: 512, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for first.Stats.Requests.Load() < 6 && time.Now().Before(deadline) {
		machine.Ask(wire.GetQueueNum, nil)
	}
	first.Close()
	if completed, err := queue.Collect(nil); err != nil || len(completed) != 0 {
		t.Fatalf("%d requests were returned, %v", len(completed), err)
	}
	machine.Disconnect()
	backend.release = nil
	second, err := Listen(path, Disk{Name: "disk-one", SizeBytes: diskBytes, BlockBytes: 512, ExtentBytes: 64 << 10, Backend: backend}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if err := machine.Connect(path); err != nil {
		t.Fatal(err)
	}
	var done []*vmm.IO
	for len(done) < 6 {
		if done, err = queue.Collect(done); err != nil {
			t.Fatal(err)
		}
		if len(done) < 6 {
			if err := queue.Wait(5 * time.Second); err != nil {
				t.Fatalf("%d of 6: %v", len(done), err)
			}
		}
	}
	got := submitOne(t, queue, &vmm.IO{Kind: blk.In, From: 512, Bytes: 512})
	if got.Status != blk.OK || !bytes.Equal(got.Data, bytes.Repeat([]byte{6}, 512)) {
		t.Errorf("status %d, the block holds %d, want 6", got.Status, got.Data[0])
	}
	if second.Stats.Requests.Load() != 7 {
		t.Errorf("%d requests after the restart, want 7", second.Stats.Requests.Load())
	}
}
