package vhost

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/front/vhost/guestmem"
	"arrowwalk/internal/front/vhost/virtqueue"
	"arrowwalk/internal/volume/ordering"
)

// Backend runs the requests of a device; volume.Volume is one. Offsets and sizes are
// in bytes. Buffers are guest memory and may change while they are read. Backends
// must be safe for concurrent use.
type Backend interface {
	Read(ctx context.Context, offset int64, bufs [][]byte) error
	Write(ctx context.Context, offset int64, data [][]byte) error
	Zero(ctx context.Context, offset, bytes int64) error
}

// Disk describes the disk that a device offers. Writes of the same extent are never
// run at once.
type Disk struct {
	Name        string
	SizeBytes   int64
	BlockBytes  int64
	ExtentBytes int64
	Backend     Backend
}

// Stats counts the events of a device since the start of its server. Kicks are
// notifications from the driver, Signals those to the driver.
type Stats struct {
	Requests, Errors, Kicks, Signals atomic.Int64
}

// device runs the requests of all queues of one session. All goroutines that it
// starts have ended when stop returns. Neither a queue nor a worker ever waits for a
// worker: runnable grows as needed, bounded by the sizes of the queues.
type device struct {
	disk   Disk
	stats  *Stats
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex // guards all fields below but wg
	tracker     *ordering.Tracker
	requests    []*pendingRequest
	freeIDs     []uint32
	runnable    []*pendingRequest // in the order in which they became runnable
	wake        *sync.Cond        // signaled for each idle worker that has to run a request, and when stopping
	idleWorkers int
	workers     int
	stopping    bool
	wg          sync.WaitGroup
}

// pendingRequest is an unfinished request of the driver, or a finished one that is kept
// for reuse. queue is nil while it is not in use.
type pendingRequest struct {
	id     uint32
	queue  *queue
	chain  virtqueue.Chain
	parsed blk.Request
}

// maxWorkers is the largest number of requests of a device that run at once.
const maxWorkers = 256

// newDevice returns a device without queues. The caller must call stop.
func newDevice(disk Disk, stats *Stats) *device {
	d := &device{disk: disk, stats: stats, tracker: ordering.NewTracker(disk.ExtentBytes)}
	d.wake = sync.NewCond(&d.mu)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// stop cancels the running requests, waits for them and ends the workers. No queue may
// run any more.
func (d *device) stop() {
	d.cancel()
	d.mu.Lock()
	d.stopping = true
	d.wake.Broadcast()
	d.mu.Unlock()
	d.wg.Wait()
}

// newRequest returns a pendingRequest that is not in use.
func (d *device) newRequest() *pendingRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.freeIDs); n > 0 {
		id := d.freeIDs[n-1]
		d.freeIDs = d.freeIDs[:n-1]
		return d.requests[id]
	}
	request := &pendingRequest{id: uint32(len(d.requests))}
	d.requests = append(d.requests, request)
	return request
}

// orderingOp returns the request as the ordering tracker sees it. A request with
// several ranges counts as one write over all that they span.
func (r *pendingRequest) orderingOp() ordering.Op {
	switch r.parsed.Kind {
	case blk.In:
		return ordering.Op{Kind: ordering.Read, Offset: r.parsed.Offset, Bytes: r.parsed.Bytes}
	case blk.Out:
		return ordering.Op{Kind: ordering.Write, Offset: r.parsed.Offset, Bytes: r.parsed.Bytes}
	case blk.Discard, blk.WriteZeroes:
		start, end := int64(1)<<62, int64(0)
		for _, span := range r.parsed.Ranges {
			start, end = min(start, span.Offset), max(end, span.Offset+span.Bytes)
		}
		return ordering.Op{Kind: ordering.Write, Offset: start, Bytes: max(0, end-start)}
	}
	return ordering.Op{Kind: ordering.Flush}
}

// submit parses a request's chain and runs it as soon as the earlier requests allow.
// An error means that the driver broke the protocol.
func (d *device) submit(request *pendingRequest) error {
	status, err := request.parsed.Parse(&request.chain, &blk.Disk{SizeBytes: d.disk.SizeBytes, BlockBytes: d.disk.BlockBytes})
	if err != nil {
		return err
	}
	d.stats.Requests.Add(1)
	if status != blk.OK {
		d.complete(request, status)
		return nil
	}
	if request.parsed.Kind == blk.GetID {
		request.parsed.WriteID(d.disk.Name)
		d.complete(request, blk.OK)
		return nil
	}
	d.mu.Lock()
	runs := d.tracker.Add(request.id, request.orderingOp())
	d.mu.Unlock()
	if runs {
		d.dispatch(request)
	}
	return nil
}

// dispatch makes a request runnable. It wakes an idle worker, or starts one if there
// are fewer than maxWorkers; otherwise the next worker that is done runs the request.
func (d *device) dispatch(request *pendingRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runnable = append(d.runnable, request)
	switch {
	case d.idleWorkers > 0:
		d.idleWorkers--
		d.wake.Signal()
	case d.workers < maxWorkers:
		d.workers++
		d.wg.Add(1)
		go d.worker()
	}
}

// worker runs requests until the device stops and none is left. Requests that wait for
// others become runnable at the worker that runs those.
func (d *device) worker() {
	defer d.wg.Done()
	for {
		request := d.nextRunnable()
		if request == nil {
			return
		}
		d.execute(request)
	}
}

// nextRunnable waits for a runnable request. It returns nil if the device stops.
func (d *device) nextRunnable() *pendingRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.runnable) == 0 {
		if d.stopping {
			return nil
		}
		d.idleWorkers++
		d.wake.Wait()
	}
	request := d.runnable[0]
	d.runnable[0] = nil
	d.runnable = d.runnable[1:]
	return request
}

// execute runs a request on the backend, returns its chain and dispatches the
// requests that waited for it. A device that was cancelled does not run it.
func (d *device) execute(request *pendingRequest) {
	err := d.ctx.Err()
	if err == nil {
		err = guestmem.RecoverFaults(func() error { return d.perform(&request.parsed) })
	}
	status := blk.OK
	if err != nil {
		status = blk.IOErr
	}
	d.mu.Lock()
	ready := d.tracker.Complete(request.id, nil)
	next := make([]*pendingRequest, len(ready))
	for i, id := range ready {
		next[i] = d.requests[id]
	}
	d.mu.Unlock()
	if errors.Is(err, guestmem.ErrFault) {
		request.queue.markBroken(err)
	}
	d.complete(request, status)
	for _, r := range next {
		d.dispatch(r)
	}
}

// perform calls the backend for a request.
func (d *device) perform(r *blk.Request) error {
	switch r.Kind {
	case blk.In:
		return d.disk.Backend.Read(d.ctx, r.Offset, r.Data)
	case blk.Out:
		return d.disk.Backend.Write(d.ctx, r.Offset, r.Data)
	case blk.Discard, blk.WriteZeroes:
		for _, span := range r.Ranges {
			if err := d.disk.Backend.Zero(d.ctx, span.Offset, span.Bytes); err != nil {
				return err
			}
		}
	}
	return nil // a flush needs no work: each write was durable when it completed
}

// complete returns a request's chain to the driver with its status. A device that was
// cancelled returns nothing: the chain stays marked in the inflight region, and the
// next session runs it again.
func (d *device) complete(request *pendingRequest, status blk.Status) {
	if status != blk.OK {
		d.stats.Errors.Add(1)
	}
	q := request.queue
	q.mu.Lock()
	if d.ctx.Err() == nil && q.brokenErr == nil {
		err := guestmem.RecoverFaults(func() error {
			q.inflight.setLastHead(request.chain.Head)
			q.ring.PushUsed(request.chain.Head, request.parsed.WriteStatus(status))
			q.inflight.clearTaken(request.chain.Head, q.ring.UsedIndex())
			return nil
		})
		if err == nil && q.ring.ShouldNotify() {
			q.signal()
		}
	}
	q.inFlight--
	if q.inFlight == 0 {
		for _, waiter := range q.waiters {
			close(waiter)
		}
		q.waiters = nil
	}
	q.mu.Unlock()
	d.mu.Lock()
	request.queue = nil
	d.freeIDs = append(d.freeIDs, request.id)
	d.mu.Unlock()
}

// queue is a running virtqueue of a session. Its goroutine ends when the kick
// descriptor is closed or the driver breaks the protocol.
type queue struct {
	index    int
	device   *device
	ring     *virtqueue.Queue
	inflight *inflight
	kick     *os.File
	callFD   int // eventfd that notifies the driver; -1: none
	onBroken func(error)

	mu        sync.Mutex
	inFlight  int // number of requests in flight
	waiters   []chan struct{}
	brokenErr error
	stopped   chan struct{}
}

// idleChan returns a channel that is closed once the queue has no request in flight,
// or nil if it has none now.
func (q *queue) idleChan() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight == 0 {
		return nil
	}
	waiter := make(chan struct{})
	q.waiters = append(q.waiters, waiter)
	return waiter
}

// signal notifies the driver of used chains. The caller must hold q.mu.
func (q *queue) signal() {
	if q.callFD >= 0 {
		var increment [8]byte
		binary.LittleEndian.PutUint64(increment[:], 1)
		unix.Write(q.callFD, increment[:])
		q.device.stats.Signals.Add(1)
	}
}

// markBroken records that the driver broke the queue. The first call ends the session.
func (q *queue) markBroken(err error) {
	q.mu.Lock()
	first := q.brokenErr == nil
	if first {
		q.brokenErr = err
	}
	q.mu.Unlock()
	if first {
		q.onBroken(err)
	}
}

// run serves the queue until its kick descriptor is closed or the queue is broken. It
// first runs the chains with the given heads, which an earlier session left
// unfinished.
func (q *queue) run(unfinishedHeads []uint16) {
	defer close(q.stopped)
	for _, head := range unfinishedHeads {
		if !q.handle(func(request *pendingRequest) (bool, error) { return true, q.ring.ReadChain(head, &request.chain) }, false) {
			return
		}
	}
	var buf [8]byte
	for {
		for {
			more, ok := q.handleNext()
			if !ok {
				return
			}
			if more {
				continue
			}
			ringEmpty := false
			if err := guestmem.RecoverFaults(func() error { ringEmpty = !q.ring.EnableKicks(); return nil }); err != nil {
				q.markBroken(err)
				return
			}
			if ringEmpty {
				break
			}
		}
		if _, err := q.kick.Read(buf[:]); err != nil {
			return
		}
		q.device.stats.Kicks.Add(1)
	}
}

// countChain counts a chain as in flight. A driver that offers more chains than the
// queue has descriptors breaks the protocol.
func (q *queue) countChain() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inFlight >= int(q.ring.Size()) {
		return fmt.Errorf("%w: more than %d chains are in flight", virtqueue.ErrMalformed, q.ring.Size())
	}
	q.inFlight++
	return nil
}

// handleNext handles the next available chain. more is false if there was none, and ok
// is false if the queue is broken.
func (q *queue) handleNext() (more, ok bool) {
	ok = q.handle(func(request *pendingRequest) (bool, error) {
		var err error
		more, err = q.ring.PopAvail(&request.chain)
		return more, err
	}, true)
	return more, ok
}

// handle runs the chain that read reads, and marks it in the inflight region if mark
// is set. read returns false if there is no chain. handle returns false if the queue
// is broken.
func (q *queue) handle(read func(request *pendingRequest) (bool, error), mark bool) bool {
	request := q.device.newRequest()
	taken := false
	err := guestmem.RecoverFaults(func() error {
		var err error
		taken, err = read(request)
		if err != nil || !taken {
			return err
		}
		if mark {
			q.inflight.markTaken(request.chain.Head)
		}
		if err := q.countChain(); err != nil {
			return err
		}
		q.device.mu.Lock()
		request.queue = q
		q.device.mu.Unlock()
		return q.device.submit(request)
	})
	if err == nil && taken {
		return true
	}
	if err != nil {
		q.markBroken(err)
	}
	if request.queue == nil {
		q.device.mu.Lock()
		q.device.freeIDs = append(q.device.freeIDs, request.id)
		q.device.mu.Unlock()
	} else if err != nil { // the chain was taken, but is not a request
		q.device.complete(request, blk.IOErr)
	}
	return err == nil
}
