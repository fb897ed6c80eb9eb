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
	"strings"
	"sync"
	"sync/atomic"
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
	daySmall    = 60         // objects that are read
	readWait    = 2500 * time.Millisecond
	writeWait   = 6000 * time.Millisecond
	verifyMost  = 30 * time.Second // for which refusals are tried again at the end
	daySlack    = 500 * time.Millisecond
	listTold    = 250 * time.Millisecond // a list is looked at each 100 ms
)

// day is a running bad day.
type day struct {
	over atomic.Bool // the chapters are played

	opt      *Options
	dir      string
	site     *bricks.Site
	bricks   []*bricks.Brick // by shard
	gateways []*process
	log      *clients.Log
	cfg      *config.Config
	version  int64
	told     []rules.Told
	entries  map[string]string // state of each brick in the list
	all      map[string]*bricks.Brick
	caps     []rules.Capacity
	objects  map[string][]byte // what readers may read
	big      []byte

	mu     sync.Mutex
	stored map[string]made // what a write was acknowledged for
	unsure map[string]bool // writes whose fate the client doesn't know
	faults []string
	events int
	missed []string // troubles that met no request
	wanted []want   // what must be seen where a trouble was played
}

// want is what a trouble's traffic must show.
type want struct{ trouble, what string }

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
	report := &Report{}
	list, end := d.script()
	list = opt.leaveOut(report, list)
	d.events, err = playTroubles(ctx, list, end)
	close(stop)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	d.over.Store(true)
	lost := d.verify()
	for _, g := range d.gateways {
		if err := g.stop(writeWait + 5*time.Second); err != nil {
			d.fault("%v", err)
		}
	}
	return report, d.judge(report, lost, time.Since(began))
}

// What a warm brick of the day can do: its workers are busy with each unit for
// their part of a second's. Hosts learn what a brick usually does from what it
// was served; bricks that did more than the script says would break the claim on
// cold ones, as 60 units a second said of bricks that served 280 did.
const (
	dayUnits   = 240.0 // units a second
	dayWorkers = 8
)

func newDay(ctx context.Context, opt *Options) (*day, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-bad-day")
	if err != nil {
		return nil, err
	}
	c := dayConfig(0)
	cold := bricks.Cold{Within: config.MS(c.Rules.WarmWithinMS), From: c.Rules.ColdFrom, Multiple: c.Rules.ColdMultiple,
		Span: config.MS(c.Rules.ColdSpanMS), Units: c.Rules.ColdUnits, UnitsPerSec: dayUnits}
	log, err := opt.newCalls(dir)
	if err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	d := &day{opt: opt, log: log, dir: dir, cfg: c, site: bricks.NewLogged(dir, opt.logs(dir), config.MS(c.Classes.Write.WindowMS), cold),
		entries: map[string]string{}, all: map[string]*bricks.Brick{}, objects: map[string][]byte{}, stored: map[string]made{}, unsure: map[string]bool{}}
	d.site.Workers, d.site.Work = dayWorkers, func(_ *bricks.Brick, x *brickd.Exchange) time.Duration {
		if d.over.Load() { // what is read back is asked for by one client after the other
			return 0
		}
		return time.Duration(x.Units * dayWorkers / dayUnits * float64(time.Second))
	}
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
		g.endOutright()
	}
	d.site.Close()
	d.log.Close()
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
	return gateway.WriteFileAtomic(filepath.Join(d.dir, "nodes.json"), text)
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
	d.caps = append(d.caps, rules.Capacity{Brick: name, Started: b.Started(), UnitsPerSec: dayUnits})
	return d.state(name, membership.Ready)
}

func content(seed int64, size int) []byte {
	b := make([]byte, size)
	rand.New(rand.NewSource(seed)).Read(b)
	return b
}

// preload stores what readers will read, while nothing is wrong yet.
func (d *day) preload() error {
	c := &clients.Client{Name: "preload", Target: d.gateways[0].target, Log: d.log}
	defer c.Close()
	rnd := newDice(d.opt.Seed, 2)
	for i := range daySmall {
		key := fmt.Sprintf("/theses/source/%02d", i)
		d.objects[key] = content(d.opt.Seed+int64(i), 1+rnd.IntN(100<<10))
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

// meetWithin is how much longer than drawn a fault may wait for a request.
const meetWithin = 3 * time.Second

// faulty is a trouble in which a brick's script touches requests for a while. A
// trouble that meets no request proves nothing.
func (d *day) faulty(name string, shard int, from, span time.Duration, s bricks.Script) trouble {
	var b *bricks.Brick
	before := 0
	return trouble{name, []step{
		once(from, func() {
			b = d.bricks[shard]
			before = b.Touched()
			b.Play(s)
		}),
		{from + span, func(ctx context.Context) error {
			for until := time.Now().Add(meetWithin); b.Touched() == before && time.Now().Before(until); {
				if err := wait(ctx, 10*time.Millisecond); err != nil {
					return err
				}
			}
			b.Play(bricks.Script{})
			if b.Touched() == before {
				d.missed = append(d.missed, "no request met: "+name)
			}
			return nil
		}},
	}}
}

// transient are troubles of single answers, each for some tenths of a second.
func transient(r dice) []struct {
	name string
	s    bricks.Script
} {
	of := func(f brickd.Fault, every int) bricks.Script { return bricks.Script{Fault: f, Every: every} }
	reads := func(s bricks.Script) bricks.Script { s.Reads = true; return s }
	list := []struct {
		name string
		s    bricks.Script
	}{
		{"a brick is slow", of(brickd.Fault{Delay: r.span(0.03, 0.3)}, 1)},
		{"a brick is full", of(brickd.Fault{Status: 503}, r.between(1, 3))},
		{"a brick fails", of(brickd.Fault{Status: 500}, r.between(1, 4))},
		{"a brick resets reads in mid-body", reads(of(brickd.Fault{CutAfter: int64(r.between(1, 2000))}, r.between(2, 4)))},
		{"a brick resets writes before the answer", bricks.Script{Fault: brickd.Fault{CutAfter: -1}, Every: r.between(1, 3), Writes: true, Keep: true}},
		{"a brick answers twice", of(brickd.Fault{RespondTwice: true}, r.between(2, 5))},
		{"a brick answers garbage", of(brickd.Fault{Garbage: true}, r.between(2, 5))},
		{"a header without end", of(brickd.Fault{EndlessHeader: true}, r.between(3, 5))},
		{"too few bytes", reads(of(brickd.Fault{MissingBytes: int64(r.between(1, 20))}, r.between(2, 4)))},
		{"too many bytes", reads(of(brickd.Fault{ExtraBytes: int64(r.between(1, 20))}, r.between(2, 4)))},
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// script draws the day from its seed: which trouble, when, for how long, and
// which brick or gateway it meets.
func (d *day) script() (list []trouble, end time.Duration) {
	r := newDice(d.opt.Seed, 1)
	at, gw := r.Perm(dayBricks), r.Perm(dayGateways)
	free := []time.Duration{r.span(0.2, 0.7), r.span(0.2, 0.7), r.span(0.2, 0.7)} // of the first three bricks
	for i, f := range transient(r) {
		span := r.span(0.3, 0.8)
		list = append(list, d.faulty(f.name, at[i%3], free[i%3], span, f.s))
		free[i%3] += span + r.span(0.1, 1.2)
	}
	// For longer than bricks remember writes.
	silent := r.span(0.8, 1.6)
	list = append(list, d.faulty("a brick does its work and says nothing", at[3], silent, r.span(4.2, 5.3), bricks.Script{Fault: brickd.Fault{DropResponse: true}}))
	list = append(list, d.dies(r, at[4], "brick-back", r.span(1.0, 3.0)), d.drains(r, at[5], "brick-new", r.span(2.5, 5)))
	clock, jump := r.span(0.5, 5), time.Duration(r.between(-180, 180))*time.Minute
	list = append(list, trouble{"a gateway's clock jumps", []step{
		{clock, func(context.Context) error { return d.gateways[gw[0]].jumpClock(jump) }},
		{clock + r.span(0.2, 1.5), func(context.Context) error { return d.gateways[gw[0]].jumpClock(0) }},
	}})
	list = append(list, d.stands(gw[r.IntN(dayGateways)], r.span(0.5, 3.8), r.span(0.2, 2.9)))
	list = append(list, d.stops(r, gw[1], r.span(7.1, 7.5)), d.killed(r, gw[2], r.span(8.2, 8.7)))
	end = 10 * time.Second
	if !d.opt.Short {
		more, until := d.evening(r, at, gw)
		return append(list, more...), until
	}
	return list, end
}

// dies is a brick that ends outright, leaves the list, and is back cold.
func (d *day) dies(r dice, shard int, back string, from time.Duration) trouble {
	gone := from + r.span(0.1, 0.6)
	d.wanted = append(d.wanted, want{"a brick dies", "at " + back})
	return trouble{"a brick dies", []step{
		once(from, func() { d.bricks[shard].Stop() }),
		{gone, func(context.Context) error { return d.state(d.bricks[shard].Name, membership.Gone) }},
		{gone + r.span(0.2, 0.8), func(context.Context) error { return d.replace(shard, back) }},
	}}
}

// untoldDrainTime is how long a brick drains where a gateway is not told of it. It lies
// within the day, whose drains begin within 5 s and which lasts 10 s.
const untoldDrainTime = 4500 * time.Millisecond

// drains is a brick that is drained, ends, and is replaced by a cold one.
func (d *day) drains(r dice, shard int, next string, from time.Duration) trouble {
	d.wanted = append(d.wanted, want{"a brick is drained", "at " + next})
	drainTime := r.span(1, 3)
	if d.opt.Guard == "told" { // long enough for the untold gateway to send to it on a slow machine
		drainTime = untoldDrainTime
	}
	return trouble{"a brick is drained", []step{
		{from, func(context.Context) error { return d.state(d.bricks[shard].Name, membership.Draining) }},
		{from + drainTime, func(context.Context) error {
			d.bricks[shard].Stop()
			if err := d.state(d.bricks[shard].Name, membership.Gone); err != nil {
				return err
			}
			return d.replace(shard, next)
		}},
	}}
}

// stands is a gateway that stands still.
func (d *day) stands(i int, from, span time.Duration) trouble {
	return trouble{"a gateway stands still", []step{
		{from, func(context.Context) error { return d.gateways[i].standStill() }},
		once(from+span, d.gateways[i].goOn),
	}}
}

func (d *day) stops(r dice, i int, from time.Duration) trouble {
	return trouble{"a gateway is told to stop", []step{
		{from, func(context.Context) error { return d.gateways[i].stop(writeWait + 5*time.Second) }},
		{from + r.span(0.1, 0.6), func(ctx context.Context) error { return d.gateways[i].restart(ctx) }},
	}}
}

func (d *day) killed(r dice, i int, from time.Duration) trouble {
	return trouble{"a gateway is killed", []step{
		{from, func(context.Context) error { return d.gateways[i].kill() }},
		{from + r.span(0.1, 0.6), func(ctx context.Context) error { return d.gateways[i].restart(ctx) }},
	}}
}

// evening is what only the long form plays: troubles that overlap.
func (d *day) evening(r dice, at, gw []int) ([]trouble, time.Duration) {
	mute := bricks.Script{Fault: brickd.Fault{IgnoreRequest: true}}
	lossy := bricks.Script{Fault: brickd.Fault{CutAfter: -1}, Every: r.between(8, 20)}
	var list []trouble
	for i, shard := range at[:2] {
		list = append(list, d.faulty(fmt.Sprintf("brick %d hears and says nothing", i+1), shard, r.span(10, 11), r.span(2.5, 4), mute))
	}
	for i, shard := range at[2:4] {
		list = append(list, d.faulty(fmt.Sprintf("brick %d is slow for long", i+1), shard, r.span(10, 11), r.span(2.5, 4),
			bricks.Script{Fault: brickd.Fault{Delay: r.span(0.1, 0.3)}}))
	}
	drain := r.span(12, 14)
	list = append(list, trouble{"a drain is called off", []step{
		{drain, func(context.Context) error { return d.state(d.bricks[at[0]].Name, membership.Draining) }},
		{drain + r.span(0.8, 3), func(context.Context) error { return d.state(d.bricks[at[0]].Name, membership.Ready) }},
	}})
	clock, jump := r.span(12, 15), time.Duration(r.between(-180, 180))*time.Minute
	list = append(list, trouble{"a clock jumps in the evening", []step{
		{clock, func(context.Context) error { return d.gateways[gw[1]].jumpClock(jump) }},
		{clock + r.span(0.5, 3), func(context.Context) error { return d.gateways[gw[1]].jumpClock(0) }},
	}})
	for shard := range dayBricks {
		list = append(list, d.faulty(fmt.Sprintf("answers of shard %d get lost", shard), shard, r.span(15.2, 15.8), r.span(3.5, 4.5), lossy))
	}
	still := d.stands(gw[2], r.span(14, 15.5), r.span(0.5, 9))
	still.name = "a gateway stands still for long"
	stop := d.stops(r, gw[0], r.span(17.5, 18.5))
	stop.name = "a gateway stops while answers get lost"
	return append(list, still, stop), r.span(25, 27)
}

// judge checks the rules and the day's other claims.
func (d *day) judge(r *Report, lost []string, took time.Duration) error {
	f := rules.Figures{
		Slack: daySlack.Microseconds(), DrainGrace: micros(d.cfg.Rules.DrainGraceMS), ToldWithin: listTold.Microseconds(),
		Window: micros(d.cfg.Classes.Write.WindowMS), OrderGap: micros(d.cfg.Rules.OrderGapMS), Ordered: true,
		ColdFrom: d.cfg.Rules.ColdFrom, WarmWithin: micros(d.cfg.Rules.WarmWithinMS), ColdMultiple: d.cfg.Rules.ColdMultiple,
		ColdSpan: micros(d.cfg.Rules.ColdSpanMS), ColdUnits: d.cfg.Rules.ColdUnits,
		ResendFree: d.cfg.Rules.ResendFree, ResendRatio: d.cfg.Rules.ResendRatio, ResendSpan: micros(d.cfg.Rules.ResendSpanMS),
		Limits: map[uint64]rules.Limit{placement.Hash("capped") >> 1: {Rate: 20, Burst: 20, Slack: 5}},
	}
	if err := r.checkRules(d.site, d.log, &rules.Script{Told: d.told, Capacities: d.caps, Stills: stood(d.gateways), Figures: f}); err != nil {
		return err
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
	missing, err := d.coverage(r)
	if err != nil {
		return err
	}
	r.add(missing, "claim the day was bad: %d requests, %d arrivals at bricks, %d broken", r.Calls, r.Sends, len(missing))
	statuses := map[int]int{}
	for c, err := range d.log.Calls().Each(0) {
		if err != nil {
			return err
		}
		statuses[c.Status]++
	}
	r.note("bad day, seed %d: %.1f s, answers by status %v (0: none)", d.opt.Seed, took.Seconds(), statuses)
	return nil
}

// coverage tells which troubles met no request: a day on which nothing
// happened proves nothing.
func (d *day) coverage(r *Report) ([]string, error) {
	missing := slices.Clone(d.missed)
	seen := map[string]bool{}
	for a, err := range d.site.Log().Each(0) {
		if err != nil {
			return nil, err
		}
		if !strings.HasSuffix(a.Request, ".0") {
			seen["further attempts"] = true
		}
		seen["at "+a.Brick] = true
	}
	for _, w := range append(d.wanted, want{"", "further attempts"}) {
		if !seen[w.what] && (w.trouble == "" && len(d.opt.Drop) == 0 || slices.Contains(r.Troubles, w.trouble)) {
			missing = append(missing, "never seen: "+w.what)
		}
	}
	return missing, nil
}

func micros(ms int) int64 { return int64(ms) * 1000 }

// verify reads back, after the day, every object whose write was acknowledged.
func (d *day) verify() []string {
	c := &clients.Client{Name: "verify", Target: d.gateways[0].target, Log: d.log}
	defer c.Close()
	var lost []string
	until := time.Now().Add(verifyMost)
	for key, want := range d.stored {
		if d.unsure[key] {
			continue // a later write of it may or may not have taken effect
		}
		if fault := readBack(c, key, want.bytes(), until); fault != "" {
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
