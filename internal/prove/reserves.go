package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

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

// The proof of reserves across both fronts: a volume whose plan reserves what
// it asks for is served in time while the other front asks for several times
// what the bricks can do, whichever front is which.
const (
	reserveWorkers = 2
	reserveWork    = 25 * time.Millisecond // of a worker, for each request
	reserveRate    = 20                    // units a second that the plan reserves
	reserveUnit    = 0.25                  // of a small request
	reserveLoss    = 0.1                   // of what is in time alone that a flood may cost
	floodMost      = 0.8                   // of a flood that may be in time: it asks for more than there is
	reserveDisk    = 8 << 20
	reserveLeast   = 20 // requests from which a part tells something
)

// reservesRun is a running proof.
type reservesRun struct {
	*evenings
	machine *vmm.Machine
	greedy  *vmm.Machine
	watch   *watch
}

// tally counts what one side asked for and got.
type tally struct {
	watch                          *watch
	asked, inTime, served, refused atomic.Int64
	left                           atomic.Int64 // while this process stood still: they tell of the machine
}

func (t *tally) count(good, soon bool, sent time.Time) {
	if t.watch.stood(sent) {
		t.left.Add(1)
		return
	}
	t.asked.Add(1)
	if !good {
		t.refused.Add(1)
		return
	}
	t.served.Add(1)
	if soon {
		t.inTime.Add(1)
	}
}

func (t *tally) part() float64 { return float64(t.inTime.Load()) / float64(max(1, t.asked.Load())) }

func reservesProof(ctx context.Context, opt *Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-reserves")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cfg := dayConfig(0)
	cfg.Host.Count, cfg.Shards, cfg.NodesFile = 1, 3, filepath.Join(dir, "nodes.json")
	reserved := config.Plan{Name: "reserved", Rate: reserveRate, Reserve: reserveRate, Weight: 1, WorthFactor: 1}
	if opt.Guard == "reserve" {
		reserved.Reserve, reserved.Weight, reserved.WorthFactor = 0, 0.01, 0.01
	}
	cfg.Plans = append(cfg.Plans, reserved, config.Plan{Name: "greedy", Rate: reserveRate, Weight: 1, WorthFactor: 1})
	cfg.Collections = []config.Collection{{Bucket: "held", Plan: "reserved"}, {Bucket: "flood", Plan: "greedy"}}
	log, err := opt.newCalls(dir)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	e := &evenings{opt: opt, dice: newDice(opt.Seed, 8), dir: dir, cfg: cfg, report: &Report{}, log: log, site: bricks.NewLogged(dir, opt.logs(dir), 4*time.Second, bricks.Cold{}),
		bricks: map[string]*bricks.Brick{}, entries: map[string]string{}}
	defer e.site.Close()
	e.site.Workers = reserveWorkers
	e.site.Work = func(_ *bricks.Brick, x *brickd.Exchange) time.Duration {
		if x.List || x.Space == "v" {
			return 0
		}
		return reserveWork
	}
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
	if e.host, err = startProcess(ctx, opt, dir, 0, cfg, ""); err != nil {
		return nil, err
	}
	defer func() { e.host.endOutright() }()
	r := &reservesRun{evenings: e, watch: startWatch()}
	defer r.watch.close()
	defer r.close()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return e.report, r.judge()
}

func (r *reservesRun) close() {
	for _, m := range []*vmm.Machine{r.machine, r.greedy} {
		if m != nil {
			m.Close()
		}
	}
}

// disk makes a volume under a plan and attaches a machine to it.
func (r *reservesRun) disk(name, plan string, slots int) (*vmm.Machine, error) {
	for _, q := range []control.VolumeOrder{{Action: "create", Name: name, SizeBytes: reserveDisk, BlockBytes: 512, Plan: plan}, {Action: "export", Name: name}} {
		answer, err := r.call(control.Request{Op: control.OpVolume, VolumeOrder: &q})
		if err != nil {
			return nil, err
		}
		if q.Action == "export" {
			m, err := vmm.New(vmm.Options{Queues: 1, Size: 256, Slots: slots, Buffer: 4 << 10, Event: true, Indirect: true})
			if err != nil {
				return nil, err
			}
			return m, m.Connect(answer.Volumes[0].Socket)
		}
	}
	return nil, nil
}

func (r *reservesRun) play(ctx context.Context) (err error) {
	if r.machine, err = r.disk("held", "reserved", 64); err != nil {
		return err
	}
	if r.greedy, err = r.disk("flood", "greedy", 128); err != nil {
		return err
	}
	c := &clients.Client{Name: "seed", Target: r.host.target, Log: &clients.Log{}}
	defer c.Close()
	for i := range 32 {
		for _, bucket := range []string{"held", "flood"} {
			if a := c.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/%s/%d", bucket, i), Body: made{int64(i), 4096}.bytes()}); a.Call.Status != 200 {
				return fmt.Errorf("an object cannot be stored: %d", a.Call.Status)
			}
		}
	}
	span := r.dice.span(4, 6)
	if !r.opt.Short {
		span = r.dice.span(15, 25)
	}
	ask := r.dice.span(0.6, 0.85).Seconds() * reserveRate / reserveUnit // requests a second
	list := []chapter{
		{"rings are held, objects flood", func(ctx context.Context) error {
			return r.phase(ctx, span, "rings", "objects", r.heldRing, r.floodObjects, ask)
		}},
		{"objects are held, rings flood", func(ctx context.Context) error {
			return r.phase(ctx, span, "objects", "rings", r.heldObjects, r.floodRing, ask)
		}},
	}
	r.dice.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return playChapters(ctx, r.opt, r.report, list, func() time.Duration { return time.Second })
}

// phase has one side ask for less than its reserve, at its own pace, first
// alone, so that a busy machine is not the flood's doing, and then beside
// another that asks for all it can get. It claims that the first is served in
// time as it was alone, and that there was a flood.
func (r *reservesRun) phase(ctx context.Context, span time.Duration, held, flood string, one func(context.Context, float64, *tally), other func(context.Context, *tally), ask float64) error {
	alone, a, b := tally{watch: r.watch}, tally{watch: r.watch}, tally{watch: r.watch}
	quiet, end := context.WithTimeout(ctx, span/2)
	one(quiet, ask, &alone)
	end()
	flooding, stopFlood := context.WithCancel(ctx)
	defer stopFlood()
	var wg, wg1 sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		other(flooding, &b)
	}()
	err := wait(ctx, 2*time.Second) // the flood is there first: the module has learned of it
	holding, stop := context.WithTimeout(ctx, span)
	defer stop()
	wg1.Add(1)
	go func() {
		defer wg1.Done()
		one(holding, ask, &a)
	}()
	wg1.Wait()
	stopFlood()
	wg.Wait()
	if err != nil {
		return err
	}
	var broken []string
	if a.part() < alone.part()-reserveLoss {
		broken = append(broken, fmt.Sprintf("%.3f of what %s asked within the reserve was in time, %.3f alone", a.part(), held, alone.part()))
	}
	if a.asked.Load()+a.left.Load() < int64(ask*span.Seconds()/2) {
		broken = append(broken, fmt.Sprintf("only %d requests were asked of %s", a.asked.Load()+a.left.Load(), held))
	}
	if min(alone.asked.Load(), a.asked.Load(), b.asked.Load()) < reserveLeast {
		r.report.note("claim the reserve holds for %s beside a flood of %s: nothing here that it binds, the machine stood still during %d of %d requests", held, flood, a.left.Load(), a.left.Load()+a.asked.Load())
		return nil
	}
	if b.part() > floodMost && a.left.Load() > a.asked.Load()/10 { // who asks stood still: there was no flood to be had
		r.report.note("claim the reserve holds for %s beside a flood of %s: nothing here that it binds, the machine stood still during %d of %d requests and %s could not flood it", held, flood, a.left.Load(), a.left.Load()+a.asked.Load(), flood)
		return nil
	}
	if b.part() > floodMost {
		broken = append(broken, fmt.Sprintf("%s were no flood: %.3f of what they asked was in time", flood, b.part()))
	}
	r.report.add(broken, "claim the reserve holds for %s beside a flood of %s: %d asked and %d left out, %.3f in time, %.3f alone; of the flood's %d requests %.3f; %d broken",
		held, flood, a.asked.Load(), a.left.Load(), a.part(), alone.part(), b.asked.Load(), b.part(), len(broken))
	return nil
}

// pace calls do at random times, rate times a second in the mean, until ctx
// ends; do must not wait.
func (r *reservesRun) pace(ctx context.Context, rate float64, do func()) {
	rnd := rand.New(rand.NewPCG(uint64(r.opt.Seed), 9))
	for due := time.Now(); ; {
		due = due.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if wait(ctx, time.Until(due)) != nil {
			return
		}
		do()
	}
}

func (r *reservesRun) aim(write bool) time.Duration {
	if write {
		return config.MS(r.cfg.Classes.Write.AimMS)
	}
	return config.MS(r.cfg.Classes.Read.AimMS)
}

// heldObjects sends objects' requests at a pace, each on a goroutine.
func (r *reservesRun) heldObjects(ctx context.Context, rate float64, t *tally) {
	var wg sync.WaitGroup
	idle := make(chan *clients.Client, 4096)
	n := 0
	r.pace(ctx, rate, func() {
		n++
		write, at := n%3 == 0, n%32
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *clients.Client
			select {
			case c = <-idle:
			default:
				c = &clients.Client{Name: "held", Target: r.host.target, Log: r.log}
			}
			r.object(c, "held", at, write, t)
			idle <- c
		}()
	})
	wg.Wait()
	close(idle)
	for c := range idle {
		c.Close()
	}
}

// object does one request on an object.
func (r *reservesRun) object(c *clients.Client, bucket string, at int, write bool, t *tally) {
	q := &clients.Request{Method: "GET", Path: fmt.Sprintf("/%s/%d", bucket, at), Wait: readWait}
	if write {
		q.Method, q.Body = "PUT", made{int64(at), 4096}.bytes()
		q.Path = fmt.Sprintf("/%s/%s-%d", bucket, c.Name, at)
	}
	a := c.Do(q)
	t.count(a.Call.Status == 200, time.Duration(a.Call.Begun-a.Call.Sent)*time.Microsecond <= r.aim(write), time.UnixMicro(a.Call.Sent))
}

// floodObjects asks for objects without a pause.
func (r *reservesRun) floodObjects(ctx context.Context, t *tally) {
	var wg sync.WaitGroup
	for i := range 160 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &clients.Client{Name: fmt.Sprint("flood-", i), Target: r.host.target, Log: r.log}
			defer c.Close()
			for n := i; ctx.Err() == nil; n++ {
				r.object(c, "flood", n%32, n%3 == 0, t)
				wait(ctx, time.Millisecond)
			}
		}()
	}
	wg.Wait()
}

// block makes a request on a disk.
func block(rnd *rand.Rand, n int) *vmm.IO {
	x := &vmm.IO{Kind: blk.In, From: rnd.Int64N(reserveDisk/4096) * 4096, Bytes: 4096}
	if n%3 == 0 {
		x.Kind, x.Data = blk.Out, fill(uint64(n), 4096)
	}
	return x
}

// drain takes what a queue has given back into t.
func (r *reservesRun) drain(q *vmm.Queue, t *tally) {
	list, err := q.Collect(nil)
	if err != nil {
		r.fault("%v", err)
	}
	for _, x := range list {
		t.count(x.Status == blk.OK, time.Since(x.Sent) <= r.aim(x.Kind == blk.Out), x.Sent)
	}
}

// heldRing sends a disk's requests at a pace.
func (r *reservesRun) heldRing(ctx context.Context, rate float64, t *tally) {
	q, rnd := r.machine.Queues[0], rand.New(rand.NewPCG(uint64(r.opt.Seed), 10))
	next := time.Now()
	for n := 0; ctx.Err() == nil; {
		for ; ctx.Err() == nil && !time.Now().Before(next); next = next.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))) {
			if !q.Room() { // it could not even be asked
				t.count(false, false, time.Now())
				continue
			}
			n++
			if err := q.Submit(block(rnd, n)); err != nil {
				r.fault("%v", err)
				return
			}
		}
		r.drain(q, t)
		if q.Out() > 0 {
			q.Wait(time.Millisecond)
		} else {
			wait(ctx, time.Millisecond)
		}
	}
	r.finish(q, t)
}

// floodRing keeps a disk's ring full.
func (r *reservesRun) floodRing(ctx context.Context, t *tally) {
	q, rnd := r.greedy.Queues[0], rand.New(rand.NewPCG(uint64(r.opt.Seed), 11))
	for n := 0; ctx.Err() == nil; {
		for q.Room() {
			n++
			if err := q.Submit(block(rnd, n)); err != nil {
				r.fault("%v", err)
				return
			}
		}
		q.Wait(10 * time.Millisecond)
		r.drain(q, t)
	}
	r.finish(q, t)
}

// finish waits for what is out on a queue.
func (r *reservesRun) finish(q *vmm.Queue, t *tally) {
	for until := time.Now().Add(screenWait); q.Out() > 0 && time.Now().Before(until); r.drain(q, t) {
		q.Wait(10 * time.Millisecond)
	}
}

func (r *reservesRun) judge() error {
	c := r.cfg
	f := rules.Figures{Slack: daySlack.Microseconds(), DrainGrace: micros(c.Rules.DrainGraceMS), Window: micros(c.Classes.Write.WindowMS),
		OrderGap: micros(c.Rules.OrderGapMS), Ordered: true, ResendFree: c.Rules.ResendFree, ResendRatio: c.Rules.ResendRatio, ResendSpan: micros(c.Rules.ResendSpanMS)}
	if err := r.report.checkRules(r.site, r.log, &rules.Script{Figures: f}); err != nil {
		return err
	}
	if err := r.host.stop(writeWait + 8*time.Second); err != nil {
		r.fault("%v", err)
	}
	r.report.add(r.faults, "claim all ends clean: %d broken", len(r.faults))
	return nil
}
