package vhost

import (
	"context"
	"encoding/binary"
	"errors"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/front/vhost/guestmem"
	"arrowwalk/internal/front/vhost/virtqueue"
	"arrowwalk/internal/volume/ordering"
)

// Backend is what a device's requests are done by (volume.Volume). Buffers are
// guest memory and may change while they are read.
type Backend interface {
	Read(ctx context.Context, from int64, into [][]byte) error
	Write(ctx context.Context, from int64, data [][]byte) error
	Zero(ctx context.Context, from, bytes int64) error
}

// Disk is a device's disk.
type Disk struct {
	Name        string
	SizeBytes   int64
	BlockBytes  int64
	ExtentBytes int64
	Backend     Backend
}

// Stats are counts of a device.
type Stats struct {
	Requests, Errors, Kicks, Signals atomic.Int64
}

// device runs the requests of all queues of one session. What it starts ends
// before stop returns.
type device struct {
	disk  Disk
	stats *Stats
	ctx   context.Context
	end   context.CancelFunc

	mu    sync.Mutex // board and ops
	board *ordering.Tracker
	ops   []*op
	free  []uint32
	wg    sync.WaitGroup
	work  chan *op
	idle  int
	count int
}

// op is one request that is not done.
type op struct {
	id    uint32
	queue *queue
	chain virtqueue.Chain
	req   blk.Request
	parts []ordering.Op
}

// workersMost is how many requests of a device run side by side.
const workersMost = 256

func newDevice(disk Disk, stats *Stats) *device {
	d := &device{disk: disk, stats: stats, board: ordering.NewTracker(disk.ExtentBytes), work: make(chan *op, workersMost)}
	d.ctx, d.end = context.WithCancel(context.Background())
	return d
}

// stop ends the device: requests that run are given up.
func (d *device) stop() {
	d.end()
	d.drain()
	close(d.work)
	d.wg.Wait()
}

// drain waits until nothing is in flight.
func (d *device) drain() {
	for {
		d.mu.Lock()
		var wait chan struct{}
		for _, o := range d.ops {
			if o != nil && o.queue != nil {
				wait = o.queue.settled()
				break
			}
		}
		d.mu.Unlock()
		if wait == nil {
			return
		}
		<-wait
	}
}

// newOp returns an op that is not in use.
func (d *device) newOp() *op {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := len(d.free); n > 0 {
		id := d.free[n-1]
		d.free = d.free[:n-1]
		return d.ops[id]
	}
	o := &op{id: uint32(len(d.ops))}
	d.ops = append(d.ops, o)
	return o
}

// whole is the op of the order board: where a request names several ranges it
// stands for all that is between.
func (o *op) whole() ordering.Op {
	switch o.req.Kind {
	case blk.In:
		return ordering.Op{Kind: ordering.Read, Offset: o.req.Offset, Bytes: o.req.Bytes}
	case blk.Out:
		return ordering.Op{Kind: ordering.Write, Offset: o.req.Offset, Bytes: o.req.Bytes}
	case blk.Discard, blk.WriteZeroes:
		from, to := int64(1)<<62, int64(0)
		for _, r := range o.req.Ranges {
			from, to = min(from, r.Offset), max(to, r.Offset+r.Bytes)
		}
		return ordering.Op{Kind: ordering.Write, Offset: from, Bytes: max(0, to-from)}
	}
	return ordering.Op{Kind: ordering.Flush}
}

// take parses a chain and has it run when its turn is. The error says that the
// driver broke the rules.
func (d *device) take(o *op) error {
	status, err := o.req.Parse(&o.chain, &blk.Disk{SizeBytes: d.disk.SizeBytes, BlockBytes: d.disk.BlockBytes})
	if err != nil {
		return err
	}
	d.stats.Requests.Add(1)
	if status != blk.OK {
		d.finish(o, status)
		return nil
	}
	if o.req.Kind == blk.GetID {
		o.req.WriteID(d.disk.Name)
		d.finish(o, blk.OK)
		return nil
	}
	d.mu.Lock()
	runs := d.board.Add(o.id, o.whole())
	d.mu.Unlock()
	if runs {
		d.start(o)
	}
	return nil
}

// start hands an op to a worker, a new one where all are busy.
func (d *device) start(o *op) {
	d.mu.Lock()
	if d.idle == 0 && d.count < workersMost {
		d.count++
		d.wg.Add(1)
		go d.worker()
	} else if d.idle > 0 {
		d.idle--
	}
	d.mu.Unlock()
	d.work <- o
}

func (d *device) worker() {
	defer d.wg.Done()
	for o := range d.work {
		d.run(o)
		d.mu.Lock()
		d.idle++
		d.mu.Unlock()
	}
}

func (d *device) run(o *op) {
	err := guestmem.RecoverFaults(func() error { return d.do(&o.req) })
	status := blk.OK
	if err != nil {
		status = blk.IOErr
	}
	d.mu.Lock()
	ready := d.board.Complete(o.id, nil)
	next := make([]*op, len(ready))
	for i, id := range ready {
		next[i] = d.ops[id]
	}
	d.mu.Unlock()
	if errors.Is(err, guestmem.ErrFault) {
		o.queue.fail(err)
	}
	d.finish(o, status)
	for _, one := range next {
		d.start(one)
	}
}

func (d *device) do(r *blk.Request) error {
	switch r.Kind {
	case blk.In:
		return d.disk.Backend.Read(d.ctx, r.Offset, r.Data)
	case blk.Out:
		return d.disk.Backend.Write(d.ctx, r.Offset, r.Data)
	case blk.Discard, blk.WriteZeroes:
		for _, one := range r.Ranges {
			if err := d.disk.Backend.Zero(d.ctx, one.Offset, one.Bytes); err != nil {
				return err
			}
		}
	}
	return nil // a flush: each write was durable when it was done
}

// finish gives a chain back. A device that is ending gives nothing back: what
// is in flight stays marked, and is done again after the next attachment.
func (d *device) finish(o *op, status blk.Status) {
	if status != blk.OK {
		d.stats.Errors.Add(1)
	}
	q := o.queue
	q.mu.Lock()
	if d.ctx.Err() == nil && q.broken == nil {
		err := guestmem.RecoverFaults(func() error {
			q.inflight.giving(o.chain.Head)
			q.ring.PushUsed(o.chain.Head, o.req.WriteStatus(status))
			q.inflight.gave(o.chain.Head, q.ring.UsedIndex())
			return nil
		})
		if err == nil && q.ring.ShouldNotify() {
			q.signal()
		}
	}
	q.out--
	if q.out == 0 {
		for _, c := range q.waiters {
			close(c)
		}
		q.waiters = nil
	}
	q.mu.Unlock()
	d.mu.Lock()
	o.queue = nil
	d.free = append(d.free, o.id)
	d.mu.Unlock()
}

// queue is a virtqueue of a session, with its goroutine while it runs.
type queue struct {
	index    int
	d        *device
	ring     *virtqueue.Queue
	inflight *inflight
	kick     *os.File
	call     int // eventfd; -1: none
	lost     func(error)

	mu      sync.Mutex
	out     int // requests in flight
	waiters []chan struct{}
	broken  error
	ended   chan struct{}
}

// settled returns a channel that closes when the queue has nothing in flight;
// nil: it has nothing.
func (q *queue) settled() chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.out == 0 {
		return nil
	}
	c := make(chan struct{})
	q.waiters = append(q.waiters, c)
	return c
}

// signal tells the driver that something was put. Its caller holds q.mu.
func (q *queue) signal() {
	if q.call >= 0 {
		var one [8]byte
		binary.LittleEndian.PutUint64(one[:], 1)
		unix.Write(q.call, one[:])
		q.d.stats.Signals.Add(1)
	}
}

// fail marks the queue as broken by its driver; the session ends.
func (q *queue) fail(err error) {
	q.mu.Lock()
	first := q.broken == nil
	if first {
		q.broken = err
	}
	q.mu.Unlock()
	if first {
		q.lost(err)
	}
}

// run serves the queue until its kick descriptor is closed. restore are chains
// of an earlier session that are to be done again.
func (q *queue) run(restore []uint16) {
	defer close(q.ended)
	for _, head := range restore {
		if !q.handle(func(o *op) (bool, error) { return true, q.ring.ReadChain(head, &o.chain) }, false) {
			return
		}
	}
	var buf [8]byte
	for {
		for {
			more, ok := q.pop()
			if !ok {
				return
			}
			if more {
				continue
			}
			armed := false
			if err := guestmem.RecoverFaults(func() error { armed = !q.ring.EnableKicks(); return nil }); err != nil {
				q.fail(err)
				return
			}
			if armed {
				break
			}
		}
		if _, err := q.kick.Read(buf[:]); err != nil {
			return
		}
		q.d.stats.Kicks.Add(1)
	}
}

// pop takes one chain out of the ring; more is false where there was none.
func (q *queue) pop() (more, ok bool) {
	ok = q.handle(func(o *op) (bool, error) {
		var err error
		more, err = q.ring.PopAvail(&o.chain)
		return more, err
	}, true)
	return more, ok
}

// handle has one chain be done that next reads; false: the queue is broken.
func (q *queue) handle(next func(o *op) (bool, error), mark bool) bool {
	o := q.d.newOp()
	taken := false
	err := guestmem.RecoverFaults(func() error {
		var err error
		taken, err = next(o)
		if err != nil || !taken {
			return err
		}
		if mark {
			q.inflight.take(o.chain.Head)
		}
		q.mu.Lock()
		q.out++
		q.mu.Unlock()
		q.d.mu.Lock()
		o.queue = q
		q.d.mu.Unlock()
		return q.d.take(o)
	})
	if err == nil && taken {
		return true
	}
	if err != nil {
		q.fail(err)
	}
	if o.queue == nil {
		q.d.mu.Lock()
		q.d.free = append(q.d.free, o.id)
		q.d.mu.Unlock()
	} else if err != nil { // it was taken and is no request
		q.d.finish(o, blk.IOErr)
	}
	return err == nil
}
