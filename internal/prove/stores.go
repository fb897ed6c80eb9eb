package prove

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/store/disk"
)

// The proofs of the bricks' store. Bricks keep their blobs on disks in memory,
// which lose what was not synced when their power goes, and change bits where
// they are told to; the gateway is a process, as ever.

// disksRun is such a site.
type disksRun struct {
	*evenings
	mu    sync.Mutex
	disks map[string]*disk.Sim
	rnd   *rand.Rand
	seen  world
	wg    sync.WaitGroup
	quit  chan struct{}
}

// world is what clients know of objects: what was acknowledged, and what may
// have been stored since.
type world struct {
	mu   sync.Mutex
	sure map[string]made
	may  map[string][]made
}

func (w *world) begin(key string, m made) {
	w.mu.Lock()
	w.may[key] = append(w.may[key], m)
	w.mu.Unlock()
}

func (w *world) acknowledged(key string, m made) {
	w.mu.Lock()
	w.sure[key], w.may[key] = m, nil
	w.mu.Unlock()
}

// holds tells whether what was read may be what is stored; the client of a key
// is alone with it.
func (w *world) holds(key string, status int, body []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.sure[key]
	if !ok && status == 404 || ok && status == 200 && bytes.Equal(body, m.bytes()) {
		return true
	}
	for _, m := range w.may[key] {
		if status == 200 && bytes.Equal(body, m.bytes()) {
			return true
		}
	}
	return false
}

// diskNames are the bricks' data, in order of their shards.
var diskNames = []string{"alpha", "beta", "gamma"}

// withDisks starts such a site and its gateway and has play use it.
func withDisks(ctx context.Context, opt *Options, sub int, play func(context.Context, *disksRun) error) (*Report, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-disks")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cfg := dayConfig(0)
	cfg.Host.Count, cfg.Shards, cfg.NodesFile = 1, len(diskNames), filepath.Join(dir, "nodes.json")
	cfg.PieceBytes = 1 << 20
	log, err := opt.newCalls(dir)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	e := &evenings{opt: opt, dice: newDice(opt.Seed, uint64(sub)), dir: dir, cfg: cfg, report: &Report{}, log: log,
		site: bricks.NewLogged(dir, opt.logs(dir), 4*time.Second, bricks.Cold{}), bricks: map[string]*bricks.Brick{}, entries: map[string]string{}}
	defer e.site.Close()
	d := &disksRun{evenings: e, disks: map[string]*disk.Sim{}, rnd: rand.New(rand.NewSource(opt.Seed)), quit: make(chan struct{}),
		seen: world{sure: map[string]made{}, may: map[string][]made{}}}
	e.site.Disk = func(data string) disk.FS { return d.disk(data) }
	for i, name := range diskNames {
		d.disks[name] = disk.NewSim()
		if opt.Guard == "sync" { // a disk that lies
			d.disks[name].SetFaultFunc(lies)
		}
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
	if err := play(ctx, d); err != nil {
		return nil, err
	}
	if err := e.host.stop(writeWait + 5*time.Second); err != nil {
		e.fault("%v", err)
	}
	f := rules.Figures{Slack: daySlack.Microseconds(), DrainGrace: micros(cfg.Rules.DrainGraceMS), ToldWithin: (500 * time.Millisecond).Microseconds(), Window: micros(cfg.Classes.Write.WindowMS),
		OrderGap: micros(cfg.Rules.OrderGapMS), Ordered: true, ResendFree: cfg.Rules.ResendFree, ResendRatio: cfg.Rules.ResendRatio, ResendSpan: micros(cfg.Rules.ResendSpanMS)}
	if err := e.report.checkRules(e.site, e.log, &rules.Script{Told: e.told, Stills: stood([]*process{e.host}), Figures: f}); err != nil {
		return nil, err
	}
	e.report.add(e.faults, "claim all ends clean: %d broken", len(e.faults))
	return e.report, nil
}

func (d *disksRun) disk(data string) *disk.Sim {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disks[data]
}

const (
	diskClients = 8
	diskKeys    = 12 // of each client
)

// client writes and reads its own objects until the run ends, and tells what
// it read that cannot be.
func (d *disksRun) client(i int, wrong *[]string) {
	defer d.wg.Done()
	rnd := rand.New(rand.NewSource(d.opt.Seed*100 + int64(i)))
	c := &clients.Client{Name: fmt.Sprint("client-", i), Target: d.host.target, Log: d.log}
	defer c.Close()
	for turn := int64(0); ; turn++ {
		select {
		case <-d.quit:
			return
		default:
		}
		key := fmt.Sprintf("/theses/%d/%d", i, rnd.Intn(diskKeys))
		if rnd.Intn(2) == 0 {
			m := made{d.opt.Seed + int64(i)<<32 + turn, []int{100, 4096, 4096, 100_000, 1_500_000}[rnd.Intn(5)]}
			d.seen.begin(key, m)
			if a := c.Do(&clients.Request{Method: "PUT", Path: key, Body: m.bytes(), Wait: writeWait}); a.Call.Status == 200 {
				d.seen.acknowledged(key, m)
			}
			continue
		}
		a := c.Do(&clients.Request{Method: "GET", Path: key, Wait: readWait})
		if (a.Call.Status == 200 || a.Call.Status == 404) && a.Call.Whole && !d.seen.holds(key, a.Call.Status, a.Body) {
			d.mu.Lock()
			*wrong = append(*wrong, fmt.Sprintf("%s: %d with %d bytes that nobody stored there last", key, a.Call.Status, len(a.Body)))
			d.mu.Unlock()
		}
	}
}

func (d *disksRun) start(wrong *[]string) {
	for i := range diskClients {
		d.wg.Add(1)
		go d.client(i, wrong)
	}
}

func (d *disksRun) stop() {
	close(d.quit)
	d.wg.Wait()
}

// readBack reads every object that was written, and tells which are not as
// they were acknowledged.
func (d *disksRun) readBack() (n int, lost []string) {
	c := &clients.Client{Name: "verify", Target: d.host.target, Log: d.log}
	defer c.Close()
	for i := range diskClients {
		for k := range diskKeys {
			key := fmt.Sprintf("/theses/%d/%d", i, k)
			var a clients.Answer
			for range 5 { // one that is refused or cut is asked again
				if a = c.Do(&clients.Request{Method: "GET", Path: key, Wait: readWait}); a.Call.Whole && (a.Call.Status == 200 || a.Call.Status == 404) {
					break
				}
			}
			n++
			if !d.seen.holds(key, a.Call.Status, a.Body) {
				lost = append(lost, fmt.Sprintf("%s: %d with %d bytes", key, a.Call.Status, len(a.Body)))
			}
		}
	}
	return n, lost
}

// powerLoss cuts bricks' power.
func powerLoss(ctx context.Context, opt *Options) (*Report, error) {
	return withDisks(ctx, opt, 12, func(ctx context.Context, d *disksRun) error {
		losses := 4
		if !opt.Short {
			losses = 25
		}
		var wrong, down []string
		d.start(&wrong)
		for n := range losses {
			if err := d.losePower(ctx, n, &down); err != nil {
				d.stop()
				return err
			}
		}
		err := wait(ctx, time.Second)
		d.stop()
		if err != nil {
			return err
		}
		n, lost := d.readBack()
		d.report.add(wrong, "claim a read gives what was written last: %d broken", len(wrong))
		d.report.add(down, "claim bricks start after a power loss: %d losses, %d broken", losses, len(down))
		d.report.add(lost, "claim nothing acknowledged is lost: %d objects read back, %d broken", n, len(lost))
		return nil
	})
}

// losePower lets a brick's disk crash at one of its next calls, and starts
// another brick on what is left of it.
func (d *disksRun) losePower(ctx context.Context, n int, down *[]string) error {
	if err := wait(ctx, d.dice.span(0.3, 1.2)); err != nil {
		return err
	}
	shard := d.dice.IntN(len(diskNames))
	data := diskNames[shard]
	sim := d.disk(data)
	at := sim.CallCount() + 1 + d.dice.IntN(200)
	crashed := make(chan struct{})
	var once sync.Once
	sim.SetFaultFunc(func(c disk.Call) disk.Fault {
		switch {
		case c.Number >= at && c.Op != "read":
			once.Do(func() { close(crashed) })
			return disk.Crash
		case d.opt.Guard == "sync":
			return lies(c)
		}
		return disk.NoFault
	})
	select {
	case <-crashed:
	case <-time.After(5 * time.Second): // nobody writes there: then it is idle that it crashes
	case <-ctx.Done():
		return ctx.Err()
	}
	var old string
	for name, b := range d.bricks {
		if b.Shard == shard && d.entries[name] == membership.Ready {
			old = name
		}
	}
	d.bricks[old].Stop()
	d.entries[old] = membership.Gone
	left := sim.AfterCrash(d.rnd)
	if d.opt.Guard == "sync" {
		left.SetFaultFunc(lies)
	}
	d.mu.Lock()
	d.disks[data] = left
	d.mu.Unlock()
	name := fmt.Sprintf("%s-%d", data, n)
	b, err := d.site.Start(name, d.bricks[old].Zone, shard, data, true)
	if err != nil { // the run goes on with an empty disk, to tell the rest
		*down = append(*down, fmt.Sprintf("%s after loss %d: %v", data, n, err))
		d.mu.Lock()
		d.disks[data] = disk.NewSim()
		d.mu.Unlock()
		if b, err = d.site.Start(name, d.bricks[old].Zone, shard, data, true); err != nil {
			return err
		}
	}
	d.bricks[name], d.entries[name] = b, membership.Ready
	if err := d.list(); err != nil {
		return err
	}
	d.told = append(d.told, rules.Told{Host: 0, At: time.Now().UnixMicro(), Brick: old, State: membership.Gone})
	return nil
}

// lies is the plan of a disk that says that it has synced.
func lies(c disk.Call) disk.Fault {
	if c.Op == "sync" || c.Op == "syncdir" {
		return disk.LostSync
	}
	return disk.NoFault
}

// corruption changes bits: on the disks, in what is read from them, and on the
// way to the gateway.
func corruption(ctx context.Context, opt *Options) (*Report, error) {
	return withDisks(ctx, opt, 13, func(ctx context.Context, d *disksRun) error {
		span, spots := d.dice.span(4, 6), 40
		if !opt.Short {
			span, spots = d.dice.span(30, 40), 400
		}
		var wrong []string
		d.start(&wrong)
		err := wait(ctx, time.Second)
		flips := d.flipReads()
		for _, b := range d.bricks {
			b.Play(bricks.Script{Fault: brickd.Fault{FlipBit: true, OmitChecksums: opt.Guard == "sums"}, Every: 7, Reads: true})
		}
		spoilt := 0
		for i := 0; i < spots && err == nil; i++ {
			if d.spoil() {
				spoilt++
			}
			err = wait(ctx, span/time.Duration(spots))
		}
		touched := 0
		for _, b := range d.bricks {
			touched += b.Touched()
			b.Play(bricks.Script{})
		}
		for _, name := range diskNames {
			d.disk(name).SetFaultFunc(nil)
		}
		d.stop()
		if err != nil {
			return err
		}
		return d.heal(wrong, spoilt, touched, flips())
	})
}

// flipReads has disks change a bit of one in many reads; the result tells of
// how many.
func (d *disksRun) flipReads() func() int {
	var mu sync.Mutex
	n, flipped := 0, 0
	for _, name := range diskNames {
		d.disk(name).SetFaultFunc(func(c disk.Call) disk.Fault {
			mu.Lock()
			defer mu.Unlock()
			if n++; c.Op != "read" || n%200 != 0 {
				return disk.NoFault
			}
			flipped++
			return disk.FlipBit
		})
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return flipped
	}
}

// spoil changes a bit somewhere on a disk.
func (d *disksRun) spoil() bool {
	sim := d.disk(diskNames[d.dice.IntN(len(diskNames))])
	dirs := []string{"log"}
	if subs, err := sim.List("bodies"); err == nil {
		for _, sub := range subs {
			dirs = append(dirs, "bodies/"+sub)
		}
	}
	dir := dirs[d.dice.IntN(len(dirs))]
	files, err := sim.List(dir)
	if err != nil || len(files) == 0 {
		return false
	}
	return sim.FlipStoredBit(dir+"/"+files[d.dice.IntN(len(files))], int64(d.dice.IntN(1<<20)), uint(d.dice.IntN(8))) == nil
}

// heal looks at what the run left: an object that cannot be read is a failure,
// and good again once it is written.
func (d *disksRun) heal(wrong []string, spoilt, touched, flips int) error {
	c := &clients.Client{Name: "verify", Target: d.host.target, Log: d.log}
	defer c.Close()
	var sick, blind []string
	n, failed, bad := 0, 0, 0
	for _, b := range d.bricks {
		bad += b.Quarantine()
	}
	for i := range diskClients {
		for k := range diskKeys {
			key := fmt.Sprintf("/theses/%d/%d", i, k)
			n++
			a := c.Do(&clients.Request{Method: "GET", Path: key, Wait: readWait})
			if a.Call.Whole && (a.Call.Status == 200 || a.Call.Status == 404) {
				if !d.seen.holds(key, a.Call.Status, a.Body) {
					wrong = append(wrong, fmt.Sprintf("%s: %d with %d bytes that nobody stored there last", key, a.Call.Status, len(a.Body)))
				}
				continue
			}
			failed++
			m := made{int64(n), 4096}
			put := c.Do(&clients.Request{Method: "PUT", Path: key, Body: m.bytes(), Wait: writeWait})
			get := c.Do(&clients.Request{Method: "GET", Path: key, Wait: readWait, Want: m.bytes()})
			if put.Call.Status != 200 || get.Call.Status != 200 || get.Call.Wrong {
				sick = append(sick, fmt.Sprintf("%s: read %d, written anew %d, read again %d", key, a.Call.Status, put.Call.Status, get.Call.Status))
			}
		}
	}
	if spoilt < 5 || touched < 5 {
		blind = append(blind, fmt.Sprintf("only %d spots were spoilt and %d answers changed", spoilt, touched))
	}
	d.report.add(wrong, "claim no wrong bytes reach a client: %d bits changed on disks, %d in reads, %d in answers, %d broken", spoilt, flips, touched, len(wrong))
	d.report.add(sick, "claim what is damaged is a failure until it is written anew: %d objects, %d of them damaged, %d blocks in quarantine, %d broken", n, failed, bad, len(sick))
	d.report.add(blind, "claim bits were changed: %s, %d broken", strings.Join(diskNames, ", "), len(blind))
	return nil
}
