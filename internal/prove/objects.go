package prove

import (
	"context"
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/front/s3"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/store"
)

// The objects proof's figures.
const (
	objectBricks     = 3
	objectGateways   = 2
	objectClients    = 8
	objectPaths      = 6
	objectPieceBytes = 32 << 10
	objectDeadline   = 500 * time.Millisecond
	objectWindow     = 4 * time.Second
	objectFaultRate  = 0.06 // of the requests to a brick
	recordFaultRate  = 0.6  // of the writes of records at the end, of which nothing overwrites the consequences
	recordFaultTime  = time.Second
	objectSettle     = 2 * time.Second
	objectSweepTime  = 15 * time.Second // within which the last sweep finds more of what is left
)

// objectsRun is a run of gateways on shared bricks.
type objectsRun struct {
	opt      *Options
	dice     dice
	dir      string
	bricks   []*objectBrick
	gateways []*process
	history  objectHistory
	faulty   atomic.Bool // bricks inject faults
	ending   atomic.Bool // most writes of records have a fault
	requests atomic.Int64

	mu     sync.Mutex
	faults []string
}

// objectsProof has clients write the same objects through two gateways while answers
// get lost, requests run late, clients leave, and gateways and bricks are killed.
func objectsProof(ctx context.Context, opt *Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-objects")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &objectsRun{opt: opt, dice: newDice(opt.Seed, 40), dir: dir, history: objectHistory{values: map[uint64]int64{}}}
	defer r.close()
	if err := r.open(ctx); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range objectClients {
		wg.Go(func() { r.client(i, stop) })
	}
	rep := &Report{}
	list, end := r.script(ctx)
	_, err = playTroubles(ctx, opt.leaveOut(rep, list), end)
	close(stop)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	return rep, r.judge(ctx, rep)
}

// open starts the bricks and the gateways.
func (r *objectsRun) open(ctx context.Context) error {
	zone := brickd.NewZone(objectWindow)
	for i := range objectBricks {
		b := &objectBrick{run: r, name: fmt.Sprint("brick-", i), dir: filepath.Join(r.dir, fmt.Sprint("data-", i)), zone: zone,
			draw: rand.New(rand.NewPCG(uint64(r.opt.Seed), uint64(400+i)))}
		if err := b.start(); err != nil {
			return err
		}
		r.bricks = append(r.bricks, b)
	}
	for i := range objectGateways {
		p, err := startProcess(ctx, r.opt, r.dir, i, r.config(i), r.opt.Guard)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, p)
	}
	return nil
}

// config returns the settings of a gateway.
func (r *objectsRun) config(number int) *config.Config {
	c := dayConfig(number)
	c.Host.Count, c.Shards, c.PieceBytes = objectGateways, objectBricks, objectPieceBytes
	deadline := int(objectDeadline.Milliseconds())
	c.Classes.Read = config.Class{AimMS: deadline / 2, DeadlineMS: deadline, Worth: 2, LateWorth: 0.2}
	c.Classes.Write = config.Class{AimMS: deadline / 2, DeadlineMS: deadline, Worth: 2, LateWorth: 0.2, WindowMS: int(objectWindow.Milliseconds())}
	for i, b := range r.bricks {
		c.Bricks = append(c.Bricks, config.Brick{Name: b.name, Address: b.address, Zone: c.Zones[0], Shard: i})
	}
	return c
}

// script draws the troubles.
func (r *objectsRun) script(ctx context.Context) ([]trouble, time.Duration) {
	rounds := 1
	if !r.opt.Short {
		rounds = 4
	}
	const round = 5.0 // seconds
	list := []trouble{{"lost, late and failed answers", []step{once(r.dice.span(0.2, 0.5), func() { r.faulty.Store(true) })}}}
	for i := range rounds {
		from := round * float64(i)
		for _, g := range r.gateways {
			list = append(list, trouble{fmt.Sprintf("gateway %d is killed, %d", g.number, i), []step{{r.dice.span(from+0.8, from+4), func(context.Context) error { return r.killGateway(ctx, g) }}}})
		}
		b := r.bricks[r.dice.IntN(len(r.bricks))]
		list = append(list, trouble{fmt.Sprintf("%s is killed, %d", b.name, i), []step{{r.dice.span(from+0.8, from+4), func(context.Context) error { return b.kill() }}}})
	}
	end := time.Duration(round * float64(rounds) * float64(time.Second))
	list = append(list, trouble{"late and unanswered writes of records", []step{once(end, func() { r.ending.Store(true) })}})
	return list, end + recordFaultTime
}

// killGateway kills a gateway and starts it again.
func (r *objectsRun) killGateway(ctx context.Context, p *process) error {
	if err := p.kill(); err != nil {
		return err
	}
	return p.restart(ctx)
}

func (r *objectsRun) fault(format string, args ...any) {
	r.mu.Lock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

func (r *objectsRun) close() {
	for _, p := range r.gateways {
		p.endOutright()
	}
	for _, b := range r.bricks {
		b.stop()
	}
}

// objectBrick is a brick in this process that injects faults.
type objectBrick struct {
	run     *objectsRun
	name    string
	dir     string
	zone    *brickd.Zone
	address string // kept over restarts

	mu     sync.Mutex
	draw   *rand.Rand
	server *brickd.Server
	blobs  *store.Store
}

// start opens the store and serves it.
func (b *objectBrick) start() error {
	blobs, err := store.Open(b.dir, store.Options{NoSync: true})
	if err != nil {
		return err
	}
	address := b.address
	if address == "" {
		address = reopenedListen
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		blobs.Close()
		return err
	}
	b.address = ln.Addr().String()
	b.mu.Lock()
	b.blobs, b.server = blobs, brickd.Start(ln, blobs, brickd.Options{ID: b.name, Zone: b.zone, Hook: b})
	b.mu.Unlock()
	return nil
}

func (b *objectBrick) stop() {
	if b.server != nil {
		b.server.Close()
		b.blobs.Close()
	}
}

// kill breaks the brick's connections and starts it again.
func (b *objectBrick) kill() error {
	b.stop()
	return b.start()
}

// OnRequest draws a fault (brickd.Hook).
func (b *objectBrick) OnRequest(x *brickd.Exchange) brickd.Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.run.ending.Load():
		return b.recordFault(x)
	case b.run.faulty.Load():
		return b.anyFault()
	}
	return brickd.Fault{}
}

// recordFault draws a fault for the write of an object's record. The caller holds mu.
func (b *objectBrick) recordFault(x *brickd.Exchange) brickd.Fault {
	switch {
	case x.Method != "PUT" || x.Space != brick.SpaceObjects || b.draw.Float64() >= recordFaultRate:
		return brickd.Fault{}
	case b.draw.IntN(2) == 0:
		return brickd.Fault{DropResponse: true}
	}
	return brickd.Fault{Delay: objectDeadline + time.Duration(b.draw.Int64N(int64(objectDeadline)))}
}

// anyFault draws a fault for any request. The caller holds mu.
func (b *objectBrick) anyFault() brickd.Fault {
	if b.draw.Float64() >= objectFaultRate {
		return brickd.Fault{}
	}
	switch b.draw.IntN(5) {
	case 0:
		return brickd.Fault{IgnoreRequest: true}
	case 1:
		return brickd.Fault{Status: 500}
	case 2: // it may run after the host gave it up
		return brickd.Fault{Delay: objectDeadline/2 + time.Duration(b.draw.Int64N(int64(2*objectDeadline)))}
	}
	return brickd.Fault{DropResponse: true}
}

// OnResponse does nothing (brickd.Hook).
func (b *objectBrick) OnResponse(*brickd.Exchange) {}

// objectClient is one client, which goes on after its gateway was killed.
type objectClient struct {
	run    *objectsRun
	draw   *rand.Rand
	conn   [objectGateways]*clients.Client
	beside *clients.Client // for a request at the same time
	upload objectUpload    // that it completes once more later
}

// objectUpload is a multipart upload with its part.
type objectUpload struct {
	path, id, list string
	value          int64
}

// client does one operation after another until stop is closed.
func (r *objectsRun) client(number int, stop <-chan struct{}) {
	c := &objectClient{run: r, draw: rand.New(rand.NewPCG(uint64(r.opt.Seed), uint64(4000+number)))}
	for i := range c.conn {
		c.conn[i] = &clients.Client{Name: fmt.Sprintf("object-%d-%d", number, i), Target: r.gateways[i].target, Log: &clients.Log{}}
		defer c.conn[i].Close()
	}
	c.beside = &clients.Client{Name: fmt.Sprintf("object-%d-beside", number), Target: r.gateways[number%objectGateways].target, Log: &clients.Log{}}
	defer c.beside.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.operate()
		wait(context.Background(), time.Duration(5+c.draw.IntN(25))*time.Millisecond)
	}
}

// do sends a request through a gateway of the client's choice.
func (c *objectClient) do(q *clients.Request) clients.Answer {
	c.run.requests.Add(1)
	q.Wait = 2 * objectDeadline
	return c.conn[c.draw.IntN(objectGateways)].Do(q)
}

// leaves makes the client leave soon after a request, now and then.
func (c *objectClient) leaves(q *clients.Request) *clients.Request {
	if c.draw.IntN(6) == 0 {
		q.HangUpWait = time.Duration(1+c.draw.IntN(40)) * time.Millisecond
	}
	return q
}

// operate does one operation.
func (c *objectClient) operate() {
	path := fmt.Sprint("/theses/", c.draw.IntN(objectPaths))
	switch n := c.draw.IntN(20); {
	case n < 7:
		c.read(path)
	case n < 13:
		c.write(&clients.Request{Method: "PUT", Path: path}, 2*objectPieceBytes+c.draw.IntN(objectPieceBytes))
	case n < 15:
		c.write(&clients.Request{Method: "PUT", Path: path}, 1+c.draw.IntN(4<<10))
	case n < 16:
		c.delete(path)
	case n < 19:
		c.multipart(path)
	default:
		c.complete(c.upload)
	}
}

func (c *objectClient) read(path string) {
	began := time.Now()
	a := c.do(&clients.Request{Method: "GET", Path: path})
	c.run.history.read(path, began, &a)
}

// write sends a new content and records the outcome.
func (c *objectClient) write(q *clients.Request, size int) {
	body, value := c.run.history.newContent(size)
	q.Body = body
	began := time.Now()
	a := c.do(c.leaves(q))
	c.run.history.wrote(q.Path, value, began, a.Call.Status == 200)
}

func (c *objectClient) delete(path string) {
	began := time.Now()
	a := c.do(c.leaves(&clients.Request{Method: "DELETE", Path: path}))
	c.run.history.wrote(path, absentObject, began, a.Call.Status == 204)
}

// multipart uploads an object as one part, which it may send twice, and completes the
// upload, perhaps beside an abort, the same part, or a delete of the object.
func (c *objectClient) multipart(path string) {
	a := c.do(&clients.Request{Method: "POST", Path: path, Query: query("uploads", "")})
	id, err := a.Text("UploadId")
	if a.Call.Status != 200 || err != nil {
		return
	}
	body, value := c.run.history.newContent(2*objectPieceBytes + c.draw.IntN(objectPieceBytes))
	sum := md5.Sum(body)
	u := objectUpload{path: path, id: id, value: value,
		list: fmt.Sprintf("<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>%s</ETag></Part></CompleteMultipartUpload>", hex.EncodeToString(sum[:]))}
	for range 1 + c.draw.IntN(2) {
		c.do(c.leaves(&clients.Request{Method: "PUT", Path: path, Body: body, Query: query("partNumber", "1", "uploadId", id)}))
	}
	var beside *clients.Request
	switch c.draw.IntN(6) {
	case 0:
		beside = &clients.Request{Method: "DELETE", Path: path, Query: query("uploadId", id)}
	case 1:
		beside = &clients.Request{Method: "PUT", Path: path, Body: body, Query: query("partNumber", "1", "uploadId", id)}
	case 2:
		beside = &clients.Request{Method: "DELETE", Path: path}
	}
	var wg sync.WaitGroup
	if beside != nil {
		wg.Go(func() { c.requestBeside(beside) })
	}
	c.complete(u)
	wg.Wait()
	c.upload = u
}

// requestBeside sends an abort, a part or a delete while the client completes an
// upload.
func (c *objectClient) requestBeside(q *clients.Request) {
	c.run.requests.Add(1)
	q.Wait = 2 * objectDeadline
	began := time.Now()
	a := c.beside.Do(q)
	if q.Method == "DELETE" && q.Query == nil {
		c.run.history.wrote(q.Path, absentObject, began, a.Call.Status == 204)
	}
}

// complete completes an upload, perhaps not for the first time.
func (c *objectClient) complete(u objectUpload) {
	if u.id == "" {
		return
	}
	began := time.Now()
	a := c.do(c.leaves(&clients.Request{Method: "POST", Path: u.path, Query: query("uploadId", u.id), Body: []byte(u.list)}))
	c.run.history.wrote(u.path, u.value, began, a.Call.Status == 200)
}

// judge reads all objects back, sweeps, and checks the history.
func (r *objectsRun) judge(ctx context.Context, rep *Report) error {
	r.faulty.Store(false)
	r.ending.Store(false)
	if err := wait(ctx, objectSettle); err != nil {
		return err
	}
	lost := r.readAll(r.gateways[0].target)
	for _, p := range r.gateways {
		if err := p.stop(2*objectDeadline + 10*time.Second); err != nil {
			r.fault("%v", err)
		}
	}
	sweepBegan := time.Now()
	sweeper, err := r.startSweeper()
	if err != nil {
		return err
	}
	defer sweeper.Stop(ctx)
	before, after, err := r.awaitSweep(ctx)
	if err != nil {
		return err
	}
	swept := time.Since(sweepBegan)
	lost = append(lost, r.readAll(&clients.Target{Addr: strings.TrimPrefix(sweeper.Endpoint(), "http://"), Signer: r.gateways[0].target.Signer})...)
	var left []string
	if after.unnamed > 0 || after.waiting > 0 {
		left = append(left, fmt.Sprintf("%d pieces that no record names, %d entries of the trash and intents", after.unnamed, after.waiting))
	}
	order := r.history.check()
	operations := len(r.history.operations)
	rep.Calls = int(r.requests.Load())
	rep.note("%d requests, %d operations of which %d have an unknown outcome; before the last sweep %d pieces named, %d not, after it %d and %d",
		rep.Calls, operations, r.history.unknown, before.named, before.unnamed, after.named, after.unnamed)
	rep.note("the last sweep took %s for %d entries of the trash and intents", swept.Round(time.Millisecond), before.waiting)
	rep.add(lost, "claim each object can be read at the end, before and after the sweep: %d objects, %d broken", objectPaths, len(lost))
	rep.add(r.history.foreign, "claim answers are whole contents that a client wrote: %d operations, %d broken", operations, len(r.history.foreign))
	rep.add(order, "claim each object is a register: %d operations, %d broken", operations, len(order))
	rep.add(left, "claim a sweep finds what no record names: %d pieces before it, %d broken", before.unnamed, len(left))
	rep.add(r.faults, "claim gateways stop clean: %d broken", len(r.faults))
	return nil
}

// readAll reads each object through a gateway until the answer tells whether it exists,
// and returns those that cannot be read.
func (r *objectsRun) readAll(target *clients.Target) (lost []string) {
	c := &clients.Client{Name: "reader", Target: target, Log: &clients.Log{}}
	defer c.Close()
	const tries = 5
	for i := range objectPaths {
		path, status := fmt.Sprint("/theses/", i), 0
		for try := 0; try < tries && status != 200 && status != 404; try++ {
			began := time.Now()
			a := c.Do(&clients.Request{Method: "GET", Path: path})
			if status = a.Call.Status; status == 200 && !a.Call.Whole {
				status = 0
			}
			r.history.read(path, began, &a)
		}
		if status != 200 && status != 404 {
			lost = append(lost, fmt.Sprintf("GET %s: %d in each of %d tries", path, status, tries))
		}
	}
	return lost
}

// startSweeper starts a gateway in this process that soon deletes what no record names.
func (r *objectsRun) startSweeper() (*gateway.Gateway, error) {
	return gateway.Start(gateway.Options{Config: r.config(0), DataDir: filepath.Join(r.dir, "sweeper"), Log: slog.New(slog.DiscardHandler), DisabledGuard: r.opt.Guard,
		Reclaim: s3.ReclaimTimes{SweepInterval: 50 * time.Millisecond, TrashGrace: time.Millisecond, IntentLease: time.Millisecond}})
}

// awaitSweep waits until the sweeper has nothing left to do, or has found nothing more for
// objectSweepTime. It returns the counts of pieces before and after.
func (r *objectsRun) awaitSweep(ctx context.Context) (before, after ownership, err error) {
	var stores []*store.Store
	for _, b := range r.bricks {
		stores = append(stores, b.blobs)
	}
	if before, err = countPieces(stores); err != nil {
		return before, after, err
	}
	least := before.unnamed + before.waiting
	for progress := time.Now(); time.Since(progress) < objectSweepTime; {
		if after, err = countPieces(stores); err != nil || after.unnamed+after.waiting == 0 {
			return before, after, err
		}
		if left := after.unnamed + after.waiting; left < least { // bounded: it only becomes less
			least, progress = left, time.Now()
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return before, after, err
		}
	}
	return before, after, nil
}
