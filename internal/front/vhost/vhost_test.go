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

// ram is a disk in memory, with a pause now and again so that requests overlap.
type ram struct {
	mu    sync.Mutex
	data  []byte
	pause func()
	held  chan struct{} // where set: nothing is done until it is closed
	fail  atomic.Bool
}

func (r *ram) before(ctx context.Context) error {
	if r.held != nil {
		select {
		case <-r.held:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if r.pause != nil {
		r.pause()
	}
	if r.fail.Load() {
		return errors.New("ram: told to fail")
	}
	return nil
}

func (r *ram) Read(ctx context.Context, from int64, into [][]byte) error {
	err := r.before(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range into {
		copy(b, r.data[from:])
		from += int64(len(b))
	}
	return err
}

func (r *ram) Write(ctx context.Context, from int64, data [][]byte) error {
	if err := r.before(ctx); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range data {
		copy(r.data[from:], b)
		from += int64(len(b))
	}
	return nil
}

func (r *ram) Zero(ctx context.Context, from, n int64) error {
	return r.Write(ctx, from, [][]byte{make([]byte, n)})
}

const diskBytes = 1 << 20

func serve(t *testing.T, r *ram) (*Server, string) {
	t.Helper()
	if r.data == nil {
		r.data = make([]byte, diskBytes)
	}
	path := filepath.Join(t.TempDir(), "disk.sock")
	s, err := Listen(path, Disk{Name: "disk-one", SizeBytes: diskBytes, BlockBytes: 512, ExtentBytes: 64 << 10, Backend: r}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, path
}

func machine(t *testing.T, opt vmm.Options, path string) *vmm.Machine {
	t.Helper()
	m, err := vmm.New(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	if path != "" {
		if err := m.Connect(path); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

// one does a single request.
func one(t *testing.T, q *vmm.Queue, x *vmm.IO) *vmm.IO {
	t.Helper()
	if err := q.Submit(x); err != nil {
		t.Fatal(err)
	}
	for {
		done, err := q.Collect(nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(done) == 1 {
			return done[0]
		}
		if err := q.Wait(5 * time.Second); err != nil {
			t.Fatalf("%+v: %v", x, err)
		}
	}
}

// Random I/O on several queues at once shows what a disk would, with and
// without indirect tables and event indices, with kicks lost and doubled.
func TestLikeADisk(t *testing.T) {
	for _, opt := range []vmm.Options{
		{Queues: 1, Size: 64, Slots: 8, Buffer: 16 << 10},
		{Queues: 2, Size: 128, Slots: 32, Buffer: 16 << 10, Event: true, Indirect: true, Inflight: true},
	} {
		rnd := rand.New(rand.NewPCG(7, 7))
		var mu sync.Mutex
		r := &ram{pause: func() {
			mu.Lock()
			n := rnd.IntN(300)
			mu.Unlock()
			for range n * 20 {
			}
		}}
		_, path := serve(t, r)
		m := machine(t, opt, path)
		var wg sync.WaitGroup
		for i, q := range m.Queues {
			wg.Add(1)
			go func() {
				defer wg.Done()
				// Each queue has its own part of the disk: its model is its own.
				drive(t, q, int64(i)*(diskBytes/2), diskBytes/2, uint64(i), 1500)
			}()
		}
		wg.Wait()
	}
}

// drive does random I/O on a part of the disk and checks it against a model.
func drive(t *testing.T, q *vmm.Queue, from, size int64, seed uint64, n int) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	model := make([]byte, size)
	want := map[*vmm.IO][]byte{}
	q.Lose = func() bool {
		if rnd.IntN(8) == 0 {
			q.Kick() // once more than needed
		}
		return false
	}
	for sent, done := 0, 0; done < n; {
		for sent < n && q.Room() && rnd.IntN(4) > 0 {
			at := rnd.Int64N(size/512-32) * 512
			x := &vmm.IO{Kind: blk.In, From: from + at, Bytes: (1 + rnd.IntN(31)) * 512}
			part := model[at : at+int64(x.Bytes)]
			switch rnd.IntN(8) {
			case 0, 1, 2:
				x.Kind, x.Data = blk.Out, make([]byte, x.Bytes)
				for i := range x.Data {
					x.Data[i] = byte(rnd.Uint32())
				}
				copy(part, x.Data)
			case 3:
				x.Kind, x.Ranges = blk.WriteZeroes, []blk.Range{{Offset: x.From, Bytes: int64(x.Bytes)}}
				clear(part)
			case 4:
				x.Kind = blk.Flush
			default:
				want[x] = bytes.Clone(part) // all before it was submitted before
			}
			if err := q.Submit(x); err != nil {
				t.Error(err)
				return
			}
			sent++
		}
		list, err := q.Collect(nil)
		if err != nil {
			t.Error(err)
			return
		}
		for _, x := range list {
			done++
			if x.Status != blk.OK {
				t.Errorf("status %d of %+v", x.Status, x.Kind)
			}
			if w := want[x]; x.Kind == blk.In && !bytes.Equal(x.Data, w) {
				t.Errorf("seed %d: %d bytes at %d differ from the model", seed, x.Bytes, x.From)
				return
			}
			delete(want, x)
		}
		if len(list) == 0 && q.Out() > 0 {
			if err := q.Wait(5 * time.Second); err != nil {
				t.Errorf("%d of %d done, %d out: %v", done, n, q.Out(), err)
				return
			}
		}
	}
}

// Bad requests have a status; what is no request ends the session, and the
// next one goes on.
func TestBadRequests(t *testing.T) {
	r := &ram{}
	_, path := serve(t, r)
	m := machine(t, vmm.Options{Queues: 1, Size: 64, Slots: 8, Buffer: 4096}, path)
	q := m.Queues[0]
	for _, c := range []struct {
		x    vmm.IO
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
		x := c.x
		if got := one(t, q, &x); got.Status != c.want {
			t.Errorf("%+v: status %d, want %d", c.x, got.Status, c.want)
		}
		if x.Kind == blk.GetID && string(bytes.TrimRight(x.Data, "\x00")) != "disk-one" {
			t.Errorf("id %q", x.Data)
		}
	}
	r.fail.Store(true)
	if got := one(t, q, &vmm.IO{Kind: blk.In, Bytes: 512}); got.Status != blk.IOErr {
		t.Errorf("a failed read has the status %d", got.Status)
	}
}

// A hostile guest ends its own session and nothing else.
func TestHostileGuest(t *testing.T) {
	opt := vmm.Options{Queues: 1, Size: 64, Slots: 8, Buffer: 4096, Indirect: true}
	for name, hurt := range map[string]func(*vmm.Machine, *vmm.Queue){
		"loop":    func(m *vmm.Machine, q *vmm.Queue) { m.Desc(q.Table(), 0, vmm.Guest(0), 16, 1, 0); q.Offer(0) },
		"outside": func(m *vmm.Machine, q *vmm.Queue) { m.Desc(q.Table(), 0, 0x10, 16, 0, 0); q.Offer(0) },
		"across the end": func(m *vmm.Machine, q *vmm.Queue) {
			m.Desc(q.Table(), 0, vmm.Guest(len(m.Mem)-8), 16, 0, 0)
			q.Offer(0)
		},
		"length overflows":  func(m *vmm.Machine, q *vmm.Queue) { m.Desc(q.Table(), 0, ^uint64(0)-4, 0xffffffff, 0, 0); q.Offer(0) },
		"head out of range": func(m *vmm.Machine, q *vmm.Queue) { q.Offer(9999) },
		"next out of range": func(m *vmm.Machine, q *vmm.Queue) { m.Desc(q.Table(), 0, vmm.Guest(0), 16, 1, 7777); q.Offer(0) },
		"index runs away":   func(m *vmm.Machine, q *vmm.Queue) { q.SetAvail(500); q.Kick() },
		"indirect inside": func(m *vmm.Machine, q *vmm.Queue) {
			m.Desc(q.Table(), 1, vmm.Guest(q.Table()+16), 16, 4, 0)
			m.Desc(q.Table(), 0, vmm.Guest(q.Table()+16), 16, 4, 0)
			q.Offer(0)
		},
		"indirect of 7": func(m *vmm.Machine, q *vmm.Queue) { m.Desc(q.Table(), 0, vmm.Guest(0), 7, 4, 0); q.Offer(0) },
		"no status":     func(m *vmm.Machine, q *vmm.Queue) { m.Desc(q.Table(), 0, vmm.Guest(0), 16, 0, 0); q.Offer(0) },
		"write before read": func(m *vmm.Machine, q *vmm.Queue) {
			m.Desc(q.Table(), 0, vmm.Guest(0), 16, 3, 1)
			m.Desc(q.Table(), 1, vmm.Guest(0), 16, 0, 0)
			q.Offer(0)
		},
		"memory taken away":  func(m *vmm.Machine, q *vmm.Queue) { m.Shrink(0) },
		"unknown message":    func(m *vmm.Machine, q *vmm.Queue) { m.Send(77, nil) },
		"features not there": func(m *vmm.Machine, q *vmm.Queue) { m.Send(wire.SetFeatures, wire.AppendU64(nil, 1<<60)) },
		"table without fds":  func(m *vmm.Machine, q *vmm.Queue) { m.Send(wire.SetMemTable, m.Table()) },
		"queue 200": func(m *vmm.Machine, q *vmm.Queue) {
			m.Send(wire.SetVringEnable, wire.VringState{Index: 200, Num: 1}.Append(nil))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := &ram{}
			_, path := serve(t, r)
			m := machine(t, opt, path)
			hurt(m, m.Queues[0])
			if name == "memory taken away" {
				m.Queues[0].Kick()
			}
			if _, _, err := m.Ask(wire.GetQueueNum, nil); err == nil {
				if _, _, err := m.Ask(wire.GetQueueNum, nil); err == nil {
					// The queue's goroutine may not have looked yet: it has to, soon.
					until := time.Now().Add(5 * time.Second)
					for err == nil && time.Now().Before(until) {
						_, _, err = m.Ask(wire.GetQueueNum, nil)
					}
					if err == nil {
						t.Fatal("the session goes on")
					}
				}
			}
			m.Disconnect()
			next := machine(t, opt, path)
			if got := one(t, next.Queues[0], &vmm.IO{Kind: blk.In, Bytes: 512}); got.Status != blk.OK {
				t.Errorf("the next machine's read: status %d", got.Status)
			}
		})
	}
}

// What is in flight when the connection breaks is done once after the next,
// in its order, by another server that knows only the region.
func TestInflight(t *testing.T) {
	r := &ram{held: make(chan struct{})}
	s, path := serve(t, r)
	m := machine(t, vmm.Options{Queues: 1, Size: 64, Slots: 8, Buffer: 4096, Inflight: true, Event: true, Indirect: true}, path)
	q := m.Queues[0]
	for i := range 6 { // of one block: their order shows
		data := bytes.Repeat([]byte{byte(i + 1)}, 512)
		if err := q.Submit(&vmm.IO{Kind: blk.Out, From: 512, Bytes: 512, Data: data}); err != nil {
			t.Fatal(err)
		}
	}
	until := time.Now().Add(5 * time.Second)
	for s.Stats.Requests.Load() < 6 && time.Now().Before(until) {
		m.Ask(wire.GetQueueNum, nil)
	}
	s.Close()
	if list, err := q.Collect(nil); err != nil || len(list) != 0 {
		t.Fatalf("%d were given back, %v", len(list), err)
	}
	m.Disconnect()
	r.held = nil
	again, err := Listen(path, Disk{Name: "disk-one", SizeBytes: diskBytes, BlockBytes: 512, ExtentBytes: 64 << 10, Backend: r}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if err := m.Connect(path); err != nil {
		t.Fatal(err)
	}
	var done []*vmm.IO
	for len(done) < 6 {
		if done, err = q.Collect(done); err != nil {
			t.Fatal(err)
		}
		if len(done) < 6 {
			if err := q.Wait(5 * time.Second); err != nil {
				t.Fatalf("%d of 6: %v", len(done), err)
			}
		}
	}
	got := one(t, q, &vmm.IO{Kind: blk.In, From: 512, Bytes: 512})
	if got.Status != blk.OK || !bytes.Equal(got.Data, bytes.Repeat([]byte{6}, 512)) {
		t.Errorf("status %d, the block has %d, want 6", got.Status, got.Data[0])
	}
	if again.Stats.Requests.Load() != 7 {
		t.Errorf("%d requests after the restart, want 7", again.Stats.Requests.Load())
	}
}
