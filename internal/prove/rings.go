package prove

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/control"
	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/standin/vmm"
)

// ringsRun is the proof of the second front: a virtual machine on a block volume and
// object clients load two gateways at once through faults, a crash and a theft.
type ringsRun struct {
	*evenings
	hosts   []*process
	machine *vmm.Machine
	disks   []*diskModel

	pause   sync.RWMutex // held by the script while the machine is not connected
	mu      sync.Mutex
	history []porcupine.Operation
	ended   int
	errors  int
	wrong   []string
}

const (
	ringBytes  = 4 << 20
	ringBlock  = 512
	ringQueues = 3
	ringShared = 64 // blocks at the start that all queues write: for linearizability
)

// diskModel is what one queue's part of the disk must hold.
type diskModel struct {
	from   int64            // first block
	blocks []map[uint64]int // by block: values that it may have; more than one after a failed write
	next   uint64
}

func ringsProof(ctx context.Context, opt *Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-rings")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cfg := dayConfig(0)
	cfg.Host.Count, cfg.Shards = 2, 3
	cfg.Rules.WarmWithinMS = 1500
	cfg.NodesFile = filepath.Join(dir, "nodes.json")
	cold := bricks.Cold{Within: config.MS(cfg.Rules.WarmWithinMS), From: cfg.Rules.ColdFrom, Multiple: cfg.Rules.ColdMultiple,
		Span: config.MS(cfg.Rules.ColdSpanMS), Units: cfg.Rules.ColdUnits, UnitsPerSec: eveningUnits}
	log, err := opt.newCalls(dir)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	e := &evenings{opt: opt, dir: dir, cfg: cfg, report: &Report{}, log: log, site: bricks.NewLogged(dir, opt.logs(dir), 4*time.Second, cold), stored: map[string]made{},
		bricks: map[string]*bricks.Brick{}, entries: map[string]string{}, unsure: map[string]bool{}}
	r := &ringsRun{evenings: e}
	defer r.close()
	for i, name := range []string{"alpha", "beta", "gamma"} {
		b, err := e.site.Start(name, cfg.Zones[i], i, name, false)
		if err != nil {
			return nil, err
		}
		e.bricks[name], e.entries[name] = b, membership.Ready
	}
	if err := e.list(); err != nil {
		return nil, err
	}
	for i := range 2 {
		c := *cfg
		c.Host.Number = i
		guard := ""
		if opt.Guard == "age" && i == 0 || opt.Guard == "fence" && i == 1 {
			guard = opt.Guard
		}
		h, err := startProcess(ctx, opt, dir, i, &c, guard)
		if err != nil {
			return nil, err
		}
		r.hosts = append(r.hosts, h)
	}
	e.host = r.hosts[0]
	return r.run(ctx)
}

func (r *ringsRun) close() {
	if r.machine != nil {
		r.machine.Close()
	}
	for _, h := range r.hosts {
		h.endOutright()
	}
	r.site.Close()
}

// volume sends an order on volumes to a gateway.
func (r *ringsRun) volume(host int, q control.VolumeOrder) ([]control.VolumeInfo, error) {
	c, err := control.Dial(r.hosts[host].file(filepath.Join("data", "control.sock")))
	if err != nil {
		return nil, err
	}
	defer c.Close()
	answer, err := c.Call(control.Request{Op: control.OpVolume, VolumeOrder: &q})
	if err != nil {
		return nil, err
	}
	return answer.Volumes, nil
}

func (r *ringsRun) run(ctx context.Context) (*Report, error) {
	if _, err := r.volume(0, control.VolumeOrder{Action: "create", Name: "disk", SizeBytes: ringBytes, BlockBytes: ringBlock, Plan: "university"}); err != nil {
		return nil, err
	}
	list, err := r.volume(0, control.VolumeOrder{Action: "export", Name: "disk"})
	if err != nil {
		return nil, err
	}
	if r.machine, err = vmm.New(vmm.Options{Queues: ringQueues, Size: 64, Slots: 12, Buffer: 16 << 10, Event: true, Indirect: true, Inflight: true}); err != nil {
		return nil, err
	}
	if err := r.machine.Connect(list[0].Socket); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var guests, wg sync.WaitGroup
	part := int64(ringBytes/ringBlock-ringShared) / ringQueues
	for i, q := range r.machine.Queues {
		d := &diskModel{from: ringShared + int64(i)*part, blocks: make([]map[uint64]int, part), next: uint64(i+1) << 40}
		for b := range d.blocks {
			d.blocks[b] = map[uint64]int{0: 1}
		}
		r.disks = append(r.disks, d)
		guests.Add(1)
		go func() {
			defer guests.Done()
			r.guest(q, d, stop)
		}()
	}
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.objects(i, stop)
		}()
	}
	err = r.script(ctx, list[0].Socket)
	close(stop)
	wg.Wait()
	guests.Wait()
	if err != nil {
		return nil, err
	}
	if err := r.theft(ctx); err != nil {
		return nil, err
	}
	r.verify()
	for _, h := range r.hosts {
		if err := h.stop(writeWait + 8*time.Second); err != nil {
			r.fault("%v", err)
		}
	}
	return r.evenings.report, r.judge()
}

// chapter is a part of a script whose parts come one after the other.
type chapter struct {
	name string
	play func(ctx context.Context) error
}

// playChapters plays what is not left out, with a rest between.
func playChapters(ctx context.Context, opt *Options, rep *Report, list []chapter, rest func() time.Duration) error {
	for _, c := range list {
		if slices.Contains(opt.Drop, c.name) {
			continue
		}
		rep.Troubles = append(rep.Troubles, c.name)
		if err := c.play(ctx); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		if err := wait(ctx, rest()); err != nil {
			return err
		}
	}
	return nil
}

// script is the faults: which, on which brick, for how long and in which order
// the seed decides.
func (r *ringsRun) script(ctx context.Context, socket string) error {
	d := newDice(r.opt.Seed, 3)
	rest := func() time.Duration { return d.span(0.3, 0.9) }
	still := d.span(0.3, 2.8)
	if !r.opt.Short {
		rest = func() time.Duration { return d.span(2, 6) }
		still = d.span(0.5, 12)
	}
	names := []string{"alpha", "beta", "gamma"}
	on := func(s bricks.Script) func(context.Context) error {
		name, span := names[d.IntN(3)], d.span(0.5, 1.2)
		return func(ctx context.Context) error {
			r.bricks[name].Play(s)
			err := wait(ctx, span)
			r.bricks[name].Play(bricks.Script{})
			return err
		}
	}
	crash := func(ctx context.Context) error { return r.crash(ctx, socket) }
	cold := names[d.IntN(3)]
	list := []chapter{
		{"a brick loses answers", on(bricks.Script{Fault: brickd.Fault{DropResponse: true}, Every: d.between(8, 20)})},
		{"a brick fails", on(bricks.Script{Fault: brickd.Fault{Status: 500}, Every: d.between(5, 15)})},
		{"a brick is slow", on(bricks.Script{Fault: brickd.Fault{Delay: d.span(0.01, 0.1)}, Every: d.between(1, 4)})},
		{"the gateway is killed", crash},
		{"the gateway stands still", func(ctx context.Context) error { return r.stallHost(ctx, still) }},
		{"a brick is replaced cold", func(ctx context.Context) error { return r.replace(ctx, cold) }},
		{"the gateway is killed again", crash},
	}
	d.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	switch r.opt.Guard {
	case "fence": // only the theft matters
		list = nil
	case "age": // only a stall that outlasts its clients
		list = []chapter{{"the gateway stands still", func(ctx context.Context) error { return r.stallHost(ctx, 2600*time.Millisecond) }}}
	}
	return playChapters(ctx, r.opt, r.evenings.report, list, rest)
}

// crash kills the gateway with requests in flight, starts it again and
// connects the machine to it anew.
func (r *ringsRun) crash(ctx context.Context, socket string) error {
	if err := r.host.kill(); err != nil {
		return err
	}
	r.pause.Lock()
	defer r.pause.Unlock()
	r.machine.Disconnect()
	if err := r.host.restart(ctx); err != nil {
		return err
	}
	until := time.Now().Add(screenWait)
	for {
		err := r.machine.Connect(socket)
		if err == nil {
			return nil
		}
		r.machine.Disconnect()
		if time.Now().After(until) {
			return fmt.Errorf("the machine cannot connect after the crash: %w", err)
		}
		if err := wait(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// stallHost has the gateway stand still with requests held.
func (r *ringsRun) stallHost(ctx context.Context, span time.Duration) error {
	defer r.host.goOn()
	if err := r.host.standStill(); err != nil {
		return err
	}
	return wait(ctx, span)
}

// replace drains a brick under the device, ends it and starts a cold one with
// its data.
func (r *ringsRun) replace(ctx context.Context, name string) error {
	r.entries[name] = membership.Draining
	if err := r.list(); err != nil {
		return err
	}
	at := time.Now().Add(listTold)
	for host := range r.hosts {
		r.told = append(r.told, rules.Told{Host: host, At: at.UnixMicro(), Brick: name, State: "draining"})
	}
	if err := wait(ctx, 800*time.Millisecond); err != nil {
		return err
	}
	old := r.bricks[name]
	old.Stop()
	r.entries[name] = membership.Gone
	next, err := r.site.Start("delta", old.Zone, old.Shard, name, true)
	if err != nil {
		return err
	}
	r.bricks["delta"], r.entries["delta"] = next, membership.Ready
	r.caps = append(r.caps, rules.Capacity{Brick: "delta", Started: next.Started(), UnitsPerSec: eveningUnits})
	return r.list()
}

// objects loads the object API of both gateways.
func (r *ringsRun) objects(i int, stop <-chan struct{}) {
	c := &clients.Client{Name: fmt.Sprint("client-", i), Target: r.hosts[i%2].target, Log: r.log}
	defer c.Close()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		key, of := fmt.Sprintf("/theses/%d/%d", i, n), made{int64(n), 1 + n%9000}
		body := of.bytes()
		a := c.Do(&clients.Request{Method: "PUT", Path: key, Body: body, Wait: time.Second})
		if a.Call.Status == 200 {
			r.evenings.mu.Lock()
			r.stored[key] = of
			r.evenings.mu.Unlock()
			c.Do(&clients.Request{Method: "GET", Path: key, Want: body, Wait: time.Second})
		}
	}
}

func fill(value uint64, n int) []byte {
	b := make([]byte, n)
	for i := 0; i+8 <= n; i += 8 {
		binary.LittleEndian.PutUint64(b[i:], value)
	}
	return b
}

// value returns the value that a block holds; false: it is torn.
func value(b []byte) (uint64, bool) {
	v := binary.LittleEndian.Uint64(b)
	for i := 0; i+8 <= len(b); i += 8 {
		if binary.LittleEndian.Uint64(b[i:]) != v {
			return v, false
		}
	}
	return v, true
}

// guest does I/O on one queue: its own part of the disk against a model, and
// the shared blocks for the history.
func (r *ringsRun) guest(q *vmm.Queue, d *diskModel, stop <-chan struct{}) {
	rnd := rand.New(rand.NewPCG(uint64(r.opt.Seed), d.next))
	busy := map[int64]bool{} // own blocks with a request out: one at a time, so that the model is plain
	for {
		stopping := false
		select {
		case <-stop:
			stopping = true
		default:
		}
		r.pause.RLock()
		for !stopping && q.Room() && rnd.IntN(3) > 0 {
			x := r.draw(rnd, d, busy)
			if err := q.Submit(x); err != nil {
				r.note("%v", err)
			}
		}
		list, err := q.Collect(nil)
		if err != nil {
			r.note("%v", err)
		}
		for _, x := range list {
			r.done(x, d, busy)
		}
		out := q.Out()
		if len(list) == 0 && out > 0 {
			q.Wait(20 * time.Millisecond)
		}
		r.pause.RUnlock()
		if stopping && out == 0 {
			return
		}
	}
}

func (r *ringsRun) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.wrong) < 20 {
		r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
	}
}

// draw makes a request; its Tag is the client of the history where it is of a
// shared block, or -1.
func (r *ringsRun) draw(rnd *rand.Rand, d *diskModel, busy map[int64]bool) *vmm.IO {
	d.next++
	if rnd.IntN(4) == 0 {
		x := &vmm.IO{Kind: blk.In, From: rnd.Int64N(ringShared) * ringBlock, Bytes: ringBlock, Tag: int(d.next)}
		if rnd.IntN(2) == 0 {
			x.Kind, x.Data = blk.Out, fill(d.next, ringBlock)
		}
		return x
	}
	if rnd.IntN(20) == 0 {
		return &vmm.IO{Kind: blk.Flush, Tag: -1}
	}
	n := int64(1 + rnd.IntN(16))
	at := rnd.Int64N(int64(len(d.blocks)) - n)
	for b := at; b < at+n; b++ {
		if busy[b] {
			return &vmm.IO{Kind: blk.Flush, Tag: -1}
		}
	}
	for b := at; b < at+n; b++ {
		busy[b] = true
	}
	x := &vmm.IO{Kind: blk.In, From: (d.from + at) * ringBlock, Bytes: int(n) * ringBlock, Tag: -1}
	switch rnd.IntN(5) {
	case 0, 1:
		x.Kind, x.Data = blk.Out, fill(d.next, x.Bytes)
	case 2:
		x.Kind, x.Ranges = blk.WriteZeroes, []blk.Range{{Offset: x.From, Bytes: int64(x.Bytes)}}
	}
	return x
}

// done checks a request that was given back.
func (r *ringsRun) done(x *vmm.IO, d *diskModel, busy map[int64]bool) {
	r.mu.Lock()
	r.ended++
	if x.Status != blk.OK {
		r.errors++
	}
	r.mu.Unlock()
	if x.Tag >= 0 {
		r.record(x)
		return
	}
	if x.Kind == blk.Flush {
		return
	}
	first := x.From/ringBlock - d.from
	for i := range int64(x.Bytes / ringBlock) {
		b := first + i
		delete(busy, b)
		may := d.blocks[b]
		switch {
		case x.Kind == blk.In && x.Status == blk.OK:
			v, whole := value(x.Data[i*ringBlock : (i+1)*ringBlock])
			if !whole || may[v] == 0 {
				r.note("block %d of the disk reads %#x (torn: %v), may be %v", d.from+b, v, !whole, may)
			}
		case x.Kind == blk.In:
		default:
			v := uint64(0)
			if x.Kind == blk.Out {
				v = binary.LittleEndian.Uint64(x.Data)
			}
			if x.Status == blk.OK { // what came before it can change nothing any more
				clear(may)
			}
			may[v] = 1
		}
	}
}

// register is one block's operation in the history.
type register struct {
	block int64
	write bool
	value uint64
	sure  bool
}

// record adds an operation on a shared block to the history. A write that
// failed may take effect at any later time, or never.
func (r *ringsRun) record(x *vmm.IO) {
	in := register{block: x.From / ringBlock, write: x.Kind == blk.Out, sure: x.Status == blk.OK}
	v, whole := value(x.Data)
	if !whole {
		r.note("a shared block is torn")
	}
	in.value = v
	if !in.write && !in.sure {
		return
	}
	op := porcupine.Operation{ClientId: x.Tag, Input: in, Output: v, Call: x.Sent.UnixNano(), Return: time.Now().UnixNano()}
	if !in.sure {
		op.Return = int64(1) << 62
	}
	r.mu.Lock()
	r.history = append(r.history, op)
	r.mu.Unlock()
}

var registers = porcupine.Model{
	Partition: partitionBy(func(op porcupine.Operation) int64 { return op.Input.(register).block }),
	Init:      func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in := input.(register)
		if in.write {
			return true, in.value
		}
		return output.(uint64) == state.(uint64), state
	},
	Equal: func(a, b any) bool { return a == b },
}

// theft has the other gateway attach the volume: first it is refused, with the
// holder's name; then it takes it, and the first one's writes end.
func (r *ringsRun) theft(ctx context.Context) error {
	if _, err := r.volume(1, control.VolumeOrder{Action: "export", Name: "disk"}); err == nil || !strings.Contains(err.Error(), "host-0") {
		r.fault("a second attach: %v", err)
	}
	list, err := r.volume(1, control.VolumeOrder{Action: "export", Name: "disk", Steal: true})
	if err != nil {
		return err
	}
	q := r.machine.Queues[0]
	stale := &vmm.IO{Kind: blk.Out, From: 0, Bytes: ringBlock, Data: fill(0xdead, ringBlock)}
	if err := q.Submit(stale); err != nil {
		return err
	}
	until := time.Now().Add(screenWait)
	for q.Out() > 0 && time.Now().Before(until) {
		if _, err := q.Collect(nil); err != nil {
			return err
		}
		q.Wait(20 * time.Millisecond)
	}
	if stale.Status != blk.IOErr {
		r.fault("a write of an attachment that is over has the status %d", stale.Status)
	}
	second, err := vmm.New(vmm.Options{Queues: 1, Size: 64, Slots: 12, Buffer: 16 << 10, Event: true, Indirect: true})
	if err != nil {
		return err
	}
	defer second.Close()
	if err := second.Connect(list[0].Socket); err != nil {
		return err
	}
	return r.readAll(second.Queues[0])
}

// readAll reads the whole disk through another gateway and holds it against
// the models; the shared blocks end the history.
func (r *ringsRun) readAll(q *vmm.Queue) error {
	var blocks int
	for _, d := range append(slices.Clone(r.disks), &diskModel{from: 0, blocks: make([]map[uint64]int, ringShared)}) {
		for at := 0; at < len(d.blocks); at += 32 {
			n := min(32, len(d.blocks)-at)
			x := &vmm.IO{Kind: blk.In, From: (d.from + int64(at)) * ringBlock, Bytes: n * ringBlock, Tag: 1 << 50}
			if err := q.Submit(x); err != nil {
				return err
			}
			for q.Out() > 0 {
				if _, err := q.Collect(nil); err != nil {
					return err
				}
				if q.Out() > 0 {
					if err := q.Wait(screenWait); err != nil {
						return err
					}
				}
			}
			if x.Status != blk.OK {
				return errors.New("the disk cannot be read at the end")
			}
			for i := range n {
				blocks++
				part := x.Data[i*ringBlock : (i+1)*ringBlock]
				v, whole := value(part)
				may := d.blocks[at+i]
				if may == nil {
					one := *x
					one.From, one.Data = (d.from+int64(at+i))*ringBlock, part
					r.record(&one)
				} else if !whole || may[v] == 0 {
					r.note("in the end block %d is %#x (torn: %v), may be %v", d.from+int64(at+i), v, !whole, may)
				}
			}
		}
	}
	r.evenings.report.note("%d blocks read in the end through the other gateway", blocks)
	return nil
}

// report0 checks the rules and the claims.
func (r *ringsRun) judge() error {
	c, rep := r.cfg, r.evenings.report
	f := rules.Figures{Slack: daySlack.Microseconds(), DrainGrace: micros(c.Rules.DrainGraceMS), Window: micros(c.Classes.Write.WindowMS),
		OrderGap: micros(c.Rules.OrderGapMS), Ordered: true, ResendFree: c.Rules.ResendFree, ResendRatio: c.Rules.ResendRatio, ResendSpan: micros(c.Rules.ResendSpanMS),
		ColdFrom: c.Rules.ColdFrom, WarmWithin: micros(c.Rules.WarmWithinMS), ColdMultiple: c.Rules.ColdMultiple,
		ColdSpan: micros(c.Rules.ColdSpanMS), ColdUnits: c.Rules.ColdUnits}
	patches, late := 0, 0
	for a, err := range r.site.Log().Each(0) {
		if err != nil {
			return err
		}
		if a.Method == "PATCH" {
			patches++
			if a.Repeat {
				late++
			}
		}
	}
	if err := rep.checkRules(r.site, r.log, &rules.Script{Told: r.told, Capacities: r.caps, Stills: stood(r.hosts), Figures: f}); err != nil {
		return err
	}
	rep.add(r.wrong, "claim the disk equals its model: %d requests ended, %d of them with an error, %d broken", r.ended, r.errors, len(r.wrong))
	var odd []string
	if got := porcupine.CheckOperationsTimeout(registers, r.history, 30*time.Second); got != porcupine.Ok {
		odd = append(odd, fmt.Sprintf("the history of the shared blocks is %s", got))
	}
	rep.add(odd, "claim blocks are linearizable over the queues: %d operations, %d broken", len(r.history), len(odd))
	rep.add(r.faults, "claim one holder, and all ends clean: %d writes at bricks, %d of them repeats, %d broken", patches, late, len(r.faults))
	return nil
}
