package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

// The site of the bad day.
const (
	dayGateways = 3
	dayBricks   = 6
	dayBig      = 3<<20 + 11 // bytes of the object that is read in pieces
	daySmall    = 24         // objects that are read
	readWait    = 2500 * time.Millisecond
	writeWait   = 6000 * time.Millisecond
	verifyMost  = 30 * time.Second // for which refusals are tried again at the end
	daySlack    = 500 * time.Millisecond
	listTold    = 250 * time.Millisecond // a list is looked at each 100 ms
)

// day is a running bad day.
type day struct {
	opt      *Options
	rnd      *rand.Rand
	dir      string
	site     *bricks.Site
	bricks   []*bricks.Brick // by shard
	gateways []*process
	log      clients.Log
	cfg      *config.Config
	version  int64
	told     []rules.Told
	entries  map[string]string // state of each brick in the list
	all      map[string]*bricks.Brick
	caps     []rules.Capacity
	objects  map[string][]byte // what readers may read
	big      []byte

	mu     sync.Mutex
	stored map[string][]byte // what a write was acknowledged for
	unsure map[string]bool   // writes whose fate the client doesn't know
	faults []string
	events int
}

func dayConfig(number int) *config.Config {
	c := config.Default()
	c.Listen = "127.0.0.1:0"
	c.Host = config.Host{Number: number, Count: dayGateways, Zone: "zone-a", Seed: uint64(number + 1)}
	c.Keys = []config.Key{{Access: "PROOF", Secret: "proof-secret"}}
	c.Collections = []config.Collection{{Bucket: "theses", Plan: "university"}, {Bucket: "capped", Plan: "limited"}}
	c.Plans = append(c.Plans, config.Plan{Name: "limited", Rate: 20, Weight: 1, WorthFactor: 1, LimitRate: 20, LimitBurst: 20, LimitSlack: 5})
	c.Classes.Read = config.Class{AimMS: 400, DeadlineMS: int(readWait.Milliseconds()), Worth: 2, LateWorth: 0.2}
	c.Classes.Write = config.Class{AimMS: 600, DeadlineMS: int(writeWait.Milliseconds()), Worth: 2, LateWorth: 0.2, WindowMS: 4000, Ordered: true}
	c.Rules.OrderGapMS, c.Rules.WarmWithinMS, c.Rules.ColdUnits = 200, 4000, 9
	c.PieceBytes = 256 << 10
	c.Bricks = []config.Brick{}
	return c
}

// badDay plays the day and checks the rules.
func badDay(ctx context.Context, opt *Options) (*Report, error) {
	d, err := newDay(ctx, opt)
	if err != nil {
		return nil, err
	}
	defer d.close()
	if err := d.preload(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	d.startClients(stop, &wg)
	began := time.Now()
	err = d.play(ctx)
	close(stop)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	report := &Report{}
	lost := d.verify()
	for _, g := range d.gateways {
		if err := g.stop(writeWait + 5*time.Second); err != nil {
			d.fault("%v", err)
		}
	}
	d.judge(report, lost, time.Since(began))
	return report, nil
}

func newDay(ctx context.Context, opt *Options) (*day, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-bad-day")
	if err != nil {
		return nil, err
	}
	c := dayConfig(0)
	cold := bricks.Cold{Within: config.MS(c.Rules.WarmWithinMS), From: c.Rules.ColdFrom, Multiple: c.Rules.ColdMultiple,
		Span: config.MS(c.Rules.ColdSpanMS), Units: c.Rules.ColdUnits, UnitsPerSec: 60}
	d := &day{opt: opt, rnd: rand.New(rand.NewSource(opt.Seed)), dir: dir, cfg: c, site: bricks.New(dir, config.MS(c.Classes.Write.WindowMS), cold),
		entries: map[string]string{}, all: map[string]*bricks.Brick{}, objects: map[string][]byte{}, stored: map[string][]byte{}, unsure: map[string]bool{}}
	if err := d.open(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *day) open(ctx context.Context) error {
	zones := d.cfg.Zones
	for shard := range dayBricks {
		b, err := d.site.Start(fmt.Sprint("brick-", shard+1), zones[shard%len(zones)], shard, fmt.Sprint("data-", shard), false)
		if err != nil {
			return err
		}
		d.bricks = append(d.bricks, b)
		d.all[b.Name], d.entries[b.Name] = b, membership.Ready
	}
	if err := d.tell(); err != nil {
		return err
	}
	if err := os.Link(filepath.Join(d.dir, "nodes.json"), filepath.Join(d.dir, "first.json")); err != nil {
		return err
	}
	for i := range dayGateways {
		c := dayConfig(i)
		c.NodesFile = filepath.Join(d.dir, "nodes.json")
		if d.opt.Guard == "told" && i == 1 { // it is told of nothing but the first list
			c.NodesFile = filepath.Join(d.dir, "first.json")
		}
		g, err := startProcess(ctx, d.opt, d.dir, i, c, "")
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
	}
	return nil
}

func (d *day) close() {
	for _, g := range d.gateways {
		if g.cmd.ProcessState == nil {
			g.cmd.Process.Kill()
			select {
			case <-g.ended:
			case <-time.After(time.Second):
			}
		}
	}
	d.site.Close()
	os.RemoveAll(d.dir)
}

func (d *day) fault(format string, args ...any) {
	d.mu.Lock()
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
	d.mu.Unlock()
}

// tell writes the node list; gateways know of it when they have read it.
func (d *day) tell() error {
	d.version++
	list := membership.List{Version: d.version}
	names := make([]string, 0, len(d.entries))
	for name := range d.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if state := d.entries[name]; state != membership.Gone {
			list.Bricks = append(list.Bricks, d.all[name].Entry(state))
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return gateway.WriteFile(filepath.Join(d.dir, "nodes.json"), text)
}

// state changes a brick's state in the list and notes since when that is told.
func (d *day) state(name, state string) error {
	d.entries[name] = state
	now := time.Now().UnixMicro()
	for i := range d.told {
		if d.told[i].Brick == name && d.told[i].Until == 0 {
			d.told[i].Until = now
		}
	}
	err := d.tell()
	for host := range dayGateways {
		d.told = append(d.told, rules.Told{Host: host, At: time.Now().UnixMicro(), Brick: name, State: state})
	}
	return err
}

// replace starts a cold brick in the place of one that has ended.
func (d *day) replace(shard int, name string) error {
	old := d.bricks[shard]
	b, err := d.site.Start(name, old.Zone, shard, fmt.Sprint("data-", shard), true)
	if err != nil {
		return err
	}
	d.bricks[shard], d.all[name] = b, b
	d.caps = append(d.caps, rules.Capacity{Brick: name, Started: b.Started(), UnitsPerSec: 60})
	return d.state(name, membership.Ready)
}

func content(seed int64, size int) []byte {
	b := make([]byte, size)
	rand.New(rand.NewSource(seed)).Read(b)
	return b
}

// preload stores what readers will read, while nothing is wrong yet.
func (d *day) preload() error {
	c := &clients.Client{Name: "preload", Target: d.gateways[0].target, Log: &d.log}
	defer c.Close()
	for i := range daySmall {
		key := fmt.Sprintf("/theses/source/%02d", i)
		d.objects[key] = content(d.opt.Seed+int64(i), 1+d.rnd.Intn(100<<10))
	}
	d.big = content(d.opt.Seed-1, dayBig)
	d.objects["/theses/big"] = d.big
	for key, body := range d.objects {
		if a := c.Do(&clients.Request{Method: "PUT", Path: key, Body: body, Wait: writeWait}); a.Call.Status != 200 {
			return fmt.Errorf("preload %s: status %d, %v: %s", key, a.Call.Status, a.Err, a.Body)
		}
	}
	return nil
}

// step is a moment of the day.
type step struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
}

// play carries out the script's steps at their times.
func (d *day) play(ctx context.Context) error {
	began := time.Now()
	for _, s := range d.script() {
		wait := time.NewTimer(time.Until(began.Add(s.at)))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		}
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("at %s, %s: %w", s.at, s.name, err)
		}
		d.events++
	}
	return nil
}

// script is the day. Which brick each trouble meets follows from the seed.
func (d *day) script() []step {
	at := d.rnd.Perm(dayBricks)
	sec := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	play := func(i int, s bricks.Script) func(context.Context) error {
		return func(context.Context) error {
			d.bricks[at[i]].Play(s)
			return nil
		}
	}
	calm := bricks.Script{}
	fault := func(f brickd.Fault) bricks.Script { return bricks.Script{Fault: f} }
	steps := []step{
		{sec(0.4), "a brick is slow", play(0, fault(brickd.Fault{Delay: 120 * time.Millisecond}))},
		{sec(0.8), "a brick is full", play(1, bricks.Script{Fault: brickd.Fault{Status: 503}, Every: 2})},
		{sec(1.2), "a brick resets reads in mid-body", play(2, bricks.Script{Fault: brickd.Fault{CutAfter: 700}, Every: 3, Reads: true})},
		{sec(1.6), "the slow and the full are well", func(ctx context.Context) error { play(0, calm)(ctx); return play(1, calm)(ctx) }},
		{sec(1.7), "a brick does its work and says nothing, for longer than its window", play(3, fault(brickd.Fault{Silent: true}))},
		{sec(2.0), "a brick resets writes before the answer", play(2, bricks.Script{Fault: brickd.Fault{CutAfter: -1}, Every: 2, Writes: true, Keep: true})},
		{sec(2.4), "a brick dies", func(context.Context) error { d.bricks[at[4]].Stop(); return nil }},
		{sec(2.6), "resets end", play(2, calm)},
		{sec(2.8), "the dead brick is gone from the list", func(context.Context) error { return d.state(d.bricks[at[4]].Name, membership.Gone) }},
		{sec(3.2), "it returns cold, at another address", func(context.Context) error { return d.replace(at[4], "brick-back") }},
		{sec(3.6), "a gateway's clock jumps", func(context.Context) error { return d.gateways[0].jumpClock(2 * time.Hour) }},
		{sec(4.2), "and jumps back", func(context.Context) error { return d.gateways[0].jumpClock(0) }},
		{sec(4.4), "a brick is drained", func(context.Context) error { return d.state(d.bricks[at[5]].Name, membership.Draining) }},
		{sec(5.2), "a brick answers twice", play(0, bricks.Script{Fault: brickd.Fault{Twice: true}, Every: 3})},
		{sec(5.8), "a brick answers garbage", play(1, bricks.Script{Fault: brickd.Fault{Garbage: true}, Every: 5})},
		{sec(6.2), "a header without end", play(1, bricks.Script{Fault: brickd.Fault{Endless: true}, Every: 5})},
		{sec(6.5), "too few bytes", func(ctx context.Context) error {
			play(1, calm)(ctx)
			return play(0, bricks.Script{Fault: brickd.Fault{Short: 7}, Every: 4, Reads: true})(ctx)
		}},
		{sec(6.8), "too many bytes", play(0, bricks.Script{Fault: brickd.Fault{Long: 9}, Every: 4, Reads: true})},
		{sec(7.0), "the silent brick speaks again", play(3, calm)},
		{sec(7.1), "the drained brick is replaced", func(context.Context) error {
			d.bricks[at[5]].Stop()
			if err := d.state(d.bricks[at[5]].Name, membership.Gone); err != nil {
				return err
			}
			return d.replace(at[5], "brick-new")
		}},
		{sec(7.2), "bytes are right again", play(0, calm)},
		{sec(7.4), "a gateway is told to stop", func(context.Context) error { return d.gateways[2].stop(writeWait + 5*time.Second) }},
		{sec(7.8), "and started again", func(ctx context.Context) error { return d.gateways[2].restart(ctx) }},
		{sec(8.4), "a gateway is killed", func(context.Context) error { return d.gateways[1].kill() }},
		{sec(8.8), "and started again", func(ctx context.Context) error { return d.gateways[1].restart(ctx) }},
		{sec(10), "evening", func(context.Context) error { return nil }},
	}
	if !d.opt.Short {
		steps = append(steps[:len(steps)-1], d.evening(at)...)
	}
	return steps
}

// evening is what only the long form plays: troubles that overlap.
func (d *day) evening(at []int) []step {
	sec := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	all := func(s bricks.Script, which ...int) func(context.Context) error {
		return func(context.Context) error {
			for _, i := range which {
				d.bricks[at[i]].Play(s)
			}
			return nil
		}
	}
	mute := bricks.Script{Fault: brickd.Fault{Mute: true}}
	slow := bricks.Script{Fault: brickd.Fault{Delay: 200 * time.Millisecond}}
	lossy := bricks.Script{Fault: brickd.Fault{CutAfter: -1}, Every: 10}
	return []step{
		{sec(10), "two bricks hear and say nothing, two are slow", func(ctx context.Context) error {
			all(mute, 0, 1)(ctx)
			return all(slow, 2, 3)(ctx)
		}},
		{sec(13), "one of the mute is drained", func(context.Context) error { return d.state(d.bricks[at[0]].Name, membership.Draining) }},
		{sec(14), "a clock jumps back", func(context.Context) error { return d.gateways[1].jumpClock(-2 * time.Hour) }},
		{sec(15), "answers get lost everywhere", all(lossy, 0, 1, 2, 3, 4, 5)},
		{sec(15.5), "the drain is called off", func(context.Context) error { return d.state(d.bricks[at[0]].Name, membership.Ready) }},
		{sec(16), "clocks are right", func(context.Context) error { return d.gateways[1].jumpClock(0) }},
		{sec(18), "a gateway stops while answers get lost", func(context.Context) error { return d.gateways[0].stop(writeWait + 5*time.Second) }},
		{sec(19), "and is back", func(ctx context.Context) error { return d.gateways[0].restart(ctx) }},
		{sec(20), "all is well", all(bricks.Script{}, 0, 1, 2, 3, 4, 5)},
		{sec(24), "night", func(context.Context) error { return nil }},
	}
}

// judge checks the rules and the day's other claims.
func (d *day) judge(r *Report, lost []string, took time.Duration) {
	f := rules.Figures{
		Slack: daySlack.Microseconds(), DrainGrace: micros(d.cfg.Rules.DrainGraceMS), ToldWithin: listTold.Microseconds(),
		Window: micros(d.cfg.Classes.Write.WindowMS), OrderGap: micros(d.cfg.Rules.OrderGapMS), Ordered: true,
		ColdFrom: d.cfg.Rules.ColdFrom, WarmWithin: micros(d.cfg.Rules.WarmWithinMS), ColdMultiple: d.cfg.Rules.ColdMultiple,
		ColdSpan: micros(d.cfg.Rules.ColdSpanMS), ColdUnits: d.cfg.Rules.ColdUnits,
		ResendFree: d.cfg.Rules.ResendFree, ResendRatio: d.cfg.Rules.ResendRatio, ResendSpan: micros(d.cfg.Rules.ResendSpanMS),
		Limits: map[uint64]rules.Limit{placement.Hash("capped") >> 1: {Rate: 20, Burst: 20, Slack: 5}},
	}
	trace := &rules.Trace{Arrivals: d.site.Log(), Calls: d.log.Calls(), Told: d.told, Capacities: d.caps, Stills: stood(d.gateways), Figures: f}
	r.Trace = trace
	for _, v := range rules.Check(trace) {
		r.add(v.Broken, "%s", v.String())
	}
	r.add(lost, "claim nothing acknowledged is lost: %d objects read back, %d broken", len(d.stored), len(lost))
	var fell []string
	for name, b := range d.all {
		if b.Fallen() {
			fell = append(fell, name+" was pushed over")
		}
	}
	r.add(fell, "claim cold bricks stand: %d started cold, %d broken", len(d.caps), len(fell))
	r.add(d.faults, "claim gateways stop cleanly: %d steps played, %d broken", d.events, len(d.faults))
	r.add(d.coverage(trace), "claim the day was bad: %d requests, %d arrivals at bricks", len(trace.Calls), len(trace.Arrivals))
	statuses := map[int]int{}
	for _, c := range trace.Calls {
		statuses[c.Status]++
	}
	r.note("bad day, seed %d: %.1f s, answers by status %v (0: none)", d.opt.Seed, took.Seconds(), statuses)
}

// coverage tells which troubles met no request: a day on which nothing
// happened proves nothing.
func (d *day) coverage(t *rules.Trace) []string {
	var missing []string
	for name, b := range d.all {
		if b.Touched() == 0 && name != "brick-back" && name != "brick-new" && !d.dead(name) {
			missing = append(missing, "no request met the script of "+name)
		}
	}
	seen := map[string]bool{}
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		if a.Request[len(a.Request)-2:] != ".0" {
			seen["further attempts"] = true
		}
		seen["at "+a.Brick] = true
	}
	for _, want := range []string{"further attempts", "at brick-back", "at brick-new"} {
		if !seen[want] {
			missing = append(missing, "never seen: "+want)
		}
	}
	return missing
}

// dead tells whether a brick left the day by other ways than its script.
func (d *day) dead(name string) bool { return d.entries[name] == membership.Gone }

func micros(ms int) int64 { return int64(ms) * 1000 }

// verify reads back, after the day, every object whose write was acknowledged.
func (d *day) verify() []string {
	c := &clients.Client{Name: "verify", Target: d.gateways[0].target, Log: &d.log}
	defer c.Close()
	var lost []string
	until := time.Now().Add(verifyMost)
	for key, want := range d.stored {
		if d.unsure[key] {
			continue // a later write of it may or may not have taken effect
		}
		if fault := readBack(c, key, want, until); fault != "" {
			lost = append(lost, fault)
		}
	}
	return lost
}

// readBack reads an object until an answer settles what is stored: refusals,
// failures and answers cut short are asked for again until then. "": as want.
func readBack(c *clients.Client, key string, want []byte, until time.Time) string {
	var a clients.Answer
	for tries := 0; tries == 0 || time.Now().Before(until); tries++ {
		a = c.Do(&clients.Request{Method: "GET", Path: key, Wait: readWait})
		if a.Call.Whole && a.Call.Status < 500 {
			break
		}
		time.Sleep(min(100*time.Millisecond, time.Until(until)))
	}
	if a.Call.Status == 200 && a.Call.Whole && bytes.Equal(a.Body, want) {
		return ""
	}
	return fmt.Sprintf("%s: status %d, %d bytes, want %d, %v", key, a.Call.Status, len(a.Body), len(want), a.Err)
}
