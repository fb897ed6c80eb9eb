package vhost

import (
	"path/filepath"
	"testing"
	"time"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/front/vhost/wire"
	"arrowwalk/internal/standin/vmm"
)

// heldWrites is a server whose backend holds requests until release is closed, and a
// machine that writes blocks of 512 bytes to it.
type heldWrites struct {
	t       *testing.T
	server  *Server
	machine *vmm.Machine
	release chan struct{}
	sent    int
}

const (
	heldQueues  = 16
	heldDepth   = 256
	heldExtents = 1 << 10
	heldExtent  = 4096 // bytes
)

func newHeldWrites(t *testing.T, options vmm.Options) *heldWrites {
	t.Helper()
	backend := &ramBackend{data: make([]byte, heldExtents*heldExtent), release: make(chan struct{})}
	path := filepath.Join(t.TempDir(), "disk.sock")
	server, err := Listen(path, Disk{Name: "disk-one", SizeBytes: heldExtents * heldExtent, BlockBytes: 512, ExtentBytes: heldExtent, Backend: backend}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		closeWithin(t, server)
	})
	options.Queues, options.Size, options.Slots, options.Buffer, options.Indirect = heldQueues, heldDepth, heldDepth, 512, true
	machine := newMachine(t, options, path)
	return &heldWrites{t: t, server: server, machine: machine, release: backend.release}
}

// write submits a write of an extent, on each queue in turn.
func (h *heldWrites) write(extent int) {
	h.t.Helper()
	queue := h.machine.Queues[h.sent%heldQueues]
	if err := queue.Submit(&vmm.IO{Kind: blk.Out, From: int64(extent) * heldExtent, Bytes: 512, Data: make([]byte, 512)}); err != nil {
		h.t.Fatal(err)
	}
	h.sent++
}

// awaitTaken waits until the device has parsed n requests.
func (h *heldWrites) awaitTaken(n int64) {
	h.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for h.server.Stats.Requests.Load() < n {
		if time.Now().After(deadline) {
			h.t.Fatalf("%d of %d requests were taken", h.server.Stats.Requests.Load(), n)
		}
		h.machine.Ask(wire.GetQueueNum, nil)
	}
}

// closeWithin closes a server, which must not wait for anything that cannot end.
func closeWithin(t *testing.T, server *Server) {
	t.Helper()
	closed := make(chan struct{})
	go func() { server.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the server does not close")
	}
}

// Guards against a volume that hangs for good after a brick was silent: every worker ended
// a request that another one waited for, at once, and waited for a worker to take that one.
func TestManyRequestsReadyAtOnceAllRun(t *testing.T) {
	held := newHeldWrites(t, vmm.Options{Event: true, Inflight: true})
	for extent := range maxWorkers { // one runs, and one waits for it
		held.write(extent)
		held.write(extent)
	}
	held.awaitTaken(2 * maxWorkers)
	for extent := range 2 * maxWorkers { // more than the workers can take
		held.write(maxWorkers + extent)
	}
	held.awaitTaken(3 * maxWorkers)
	close(held.release)
	deadline := time.Now().Add(20 * time.Second)
	for returned := 0; returned < held.sent; {
		for _, queue := range held.machine.Queues {
			done, err := queue.Collect(nil)
			if err != nil {
				t.Fatal(err)
			}
			for _, write := range done {
				if write.Status != blk.OK {
					t.Errorf("status %d", write.Status)
				}
			}
			returned += len(done)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d writes were returned", returned, held.sent)
		}
		held.machine.Queues[0].Wait(time.Millisecond)
	}
}

// Guards against a gateway that does not end after SIGTERM while a session waits for the
// requests of a queue that the front-end stops.
func TestCloseCancelsRequestsOfAQueueBeingStopped(t *testing.T) {
	held := newHeldWrites(t, vmm.Options{Event: true, Inflight: true})
	for range heldDepth {
		held.write(0)
	}
	held.awaitTaken(heldDepth)
	if err := held.machine.Send(wire.GetVringBase, wire.VringState{Index: 0}.Append(nil)); err != nil {
		t.Fatal(err)
	}
	held.awaitStopping()
	closeWithin(t, held.server)
}

// awaitStopping waits until the session stops a queue.
func (h *heldWrites) awaitStopping() {
	h.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		h.server.mu.Lock()
		device := h.server.device
		h.server.mu.Unlock()
		waiting := false
		device.mu.Lock()
		queues := map[*queue]bool{}
		for _, request := range device.requests {
			if request.queue != nil {
				queues[request.queue] = true
			}
		}
		device.mu.Unlock()
		for q := range queues {
			q.mu.Lock()
			waiting = waiting || len(q.waiters) > 0
			q.mu.Unlock()
		}
		if waiting {
			return
		}
		if time.Now().After(deadline) {
			h.t.Fatal("the session does not stop the queue")
		}
	}
}

// Guards against a guest that makes a device keep requests without bound: it offers the
// same chain again and again, and never waits for one.
func TestChainsInFlightAreBounded(t *testing.T) {
	held := newHeldWrites(t, vmm.Options{})
	queue := held.machine.Queues[0]
	held.write(0)
	held.awaitTaken(1)
	for range 2 * heldDepth {
		queue.Offer(heldDepth - 1) // the head of the first write
		if _, _, err := held.machine.Ask(wire.GetQueueNum, nil); err != nil {
			break
		}
	}
	if taken := held.server.Stats.Requests.Load(); taken > heldDepth {
		t.Errorf("%d chains of a queue of %d were taken", taken, heldDepth)
	}
}
