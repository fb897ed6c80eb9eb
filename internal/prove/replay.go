package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/emul"
	"arrowwalk/internal/emul/scenario"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/lab/stats"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

// Replay plays a scenario's load and troubles through real gateways, each a
// process, with scripted bricks on loopback.
type Replay struct {
	Scenario *scenario.Scenario
	Hosts    int     // in place of the scenario's
	Scale    float64 // of the timeline: 0.5 has troubles come and go twice as fast
}

// replay is a run of it.
type replay struct {
	*day
	sc      *scenario.Scenario
	hosts   []*process
	rates   []float64
	speeds  []float64 // of the bricks' cores, by shard
	placed  *placement.Map
	volumes []*replayVolume
	shards  []*bricks.Brick
	started time.Time

	mu    sync.Mutex
	slow  map[string]float64
	still map[string]time.Time
	hasty *scenario.Event
	down  bool // the list is not told
	idle  [][]*clients.Client
	wg    sync.WaitGroup
	rnd   *rand.Rand
	born  []tried
	more  sync.Map // kind -> factor of the load
}

// tried is what became of a client's request.
type tried struct {
	status int
	took   time.Duration
	born   time.Time
}

type replayVolume struct {
	bucket string
	rate   float64
	keys   [][]string // by shard of the volume: what is there to be read
	hosts  []int
	rnd    *rand.Rand
	n      int
}

// unsupported are troubles that this machine's sockets cannot have.
var unsupported = []string{"list_half", "cut_bricks", "cut_list", "late_reports", "list_back", "mute"}

// prepare makes of the scenario what this machine can play.
func (p *Replay) prepare() (*scenario.Scenario, error) {
	sc := *p.Scenario
	if p.Hosts > 0 {
		sc.Site.Hosts = p.Hosts
	}
	sc.Site.DelayUS, sc.Site.ListMS, sc.Site.SkewMS, sc.Site.Loss = [2]int{50, 150}, [2]int{20, 120}, 0, 0
	sc.Site.Brick.CacheItems, sc.Site.Brick.DeferredFraction = 0, 0 // the stand-ins have neither
	sc.Load.Retries = 0
	sc.Seconds *= p.Scale
	sc.Timeline = slices.Clone(sc.Timeline)
	for i := range sc.Timeline {
		if slices.Contains(unsupported, sc.Timeline[i].Kind) {
			return nil, fmt.Errorf("scenario %q: timeline/%d/kind: %s cannot be played on loopback", sc.Name, i, sc.Timeline[i].Kind)
		}
		sc.Timeline[i].At *= p.Scale
		sc.Timeline[i].Duration *= p.Scale
	}
	return &sc, nil
}

// Run plays it and checks the rules; beside it stands what the emulator makes
// of the same.
func (p *Replay) Run(ctx context.Context, opt *Options) (*Report, error) {
	sc, err := p.prepare()
	if err != nil {
		return nil, err
	}
	sim, err := emul.New(sc, 0)
	if err != nil {
		return nil, err
	}
	speeds := sim.BrickSpeeds()
	emulated, err := sim.Run()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "arrowwalk-replay")
	if err != nil {
		return nil, err
	}
	r := &replay{sc: sc, rates: sim.PlanRates(), speeds: speeds, slow: map[string]float64{}, still: map[string]time.Time{}, rnd: rand.New(rand.NewPCG(sc.Seed, 5)),
		day: &day{opt: opt, dir: dir, entries: map[string]string{}, all: map[string]*bricks.Brick{}}}
	defer r.closeAll()
	if r.log, err = opt.newCalls(dir); err != nil {
		return nil, err
	}
	if err := r.openSite(ctx, sim); err != nil {
		return nil, err
	}
	if err := r.preloadVolumes(); err != nil {
		return nil, err
	}
	if err := r.playAll(ctx); err != nil {
		return nil, err
	}
	for _, h := range r.hosts {
		if err := h.stop(config.MS(sc.Load.Write.DeadlineMS) + 5*time.Second); err != nil {
			r.fault("%v", err)
		}
	}
	return r.report(emulated)
}

func (r *replay) closeAll() {
	for _, h := range r.hosts {
		h.endOutright()
	}
	if r.site != nil {
		r.site.Close()
	}
	if r.log != nil {
		r.log.Close()
	}
	os.RemoveAll(r.dir)
}

func (r *replay) hostConfig(i int) *config.Config {
	c := r.sc.GatewayConfig(i, r.rates)
	c.Listen, c.Keys = "127.0.0.1:0", []config.Key{{Access: "PROOF", Secret: "proof-secret"}}
	c.Units, c.PieceBytes = config.Units{Base: 0.5, Bytes: 16 << 10}, 128<<10
	c.Bricks, c.NodesFile = []config.Brick{}, filepath.Join(r.dir, "nodes.json")
	c.Collections, c.DefaultPlan = nil, c.Plans[0].Name
	for _, v := range r.volumes {
		c.Collections = append(c.Collections, config.Collection{Bucket: v.bucket, Plan: c.Plans[r.planOf(v)].Name})
	}
	return c
}

func (r *replay) planOf(v *replayVolume) int {
	i := slices.Index(r.volumes, v)
	at := (float64(i) + 0.5) / float64(len(r.volumes))
	for p := range r.sc.Load.Plans {
		if at -= r.sc.Load.Plans[p].Share; at <= 0 {
			return p
		}
	}
	return len(r.sc.Load.Plans) - 1
}

func (r *replay) openSite(ctx context.Context, sim *emul.Sim) error {
	b := &r.sc.Site.Brick
	cold := bricks.Cold{Within: config.MS(b.WarmUpMS), From: b.ColdCapacity, Multiple: b.ColdMultiple, Span: time.Second, Units: b.ColdUnits, UnitsPerSec: r.capacity(1)}
	r.site = bricks.NewLogged(r.dir, r.opt.logs(r.dir), config.MS(r.sc.Site.DedupWindowMS), cold)
	r.site.Workers, r.site.Queue, r.site.Work = b.Cores, b.MaxQueue, r.work
	for i, v := range sim.Volumes() {
		r.volumes = append(r.volumes, &replayVolume{bucket: fmt.Sprintf("volume-%d", i), rate: v.Rate, hosts: v.Hosts,
			keys: make([][]string, len(v.Shards)), rnd: rand.New(rand.NewPCG(r.sc.Seed, 100+uint64(i)))})
	}
	r.cfg = r.hostConfig(0)
	var err error
	if r.placed, err = r.cfg.Placement(); err != nil {
		return err
	}
	for shard := range r.sc.Site.Bricks {
		one, err := r.site.Start(fmt.Sprint("brick-", shard), r.cfg.Zones[shard%len(r.cfg.Zones)], shard, fmt.Sprint("data-", shard), false)
		if err != nil {
			return err
		}
		r.shards = append(r.shards, one)
		r.all[one.Name], r.entries[one.Name] = one, membership.Ready
	}
	if err := r.tell(); err != nil {
		return err
	}
	for i := range r.sc.Site.Hosts {
		h, err := startProcess(ctx, r.opt, r.dir, i, r.hostConfig(i), "")
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	r.idle = make([][]*clients.Client, len(r.hosts))
	return nil
}

// capacity is what a brick of a speed does in a second.
func (r *replay) capacity(speed float64) float64 {
	return float64(r.sc.Site.Brick.Cores) * speed * 1e6 / r.sc.UnitCost()
}

// work is how long a brick's worker is busy with a request.
func (r *replay) work(b *bricks.Brick, x *brickd.Exchange) time.Duration {
	if x.List {
		return 0
	}
	class := &r.sc.Load.Read
	if x.Method != "GET" && x.Method != "HEAD" {
		class = &r.sc.Load.Write
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started.IsZero() { // objects are stored that will be read
		return 0
	}
	us := class.WorkMS * 1000 * x.Units / r.sc.MeanUnits() * (0.7 + 0.6*r.rnd.Float64()) / r.speeds[b.Shard]
	if s := r.slow[b.Name]; s > 1 {
		us *= s
	}
	return time.Duration(us)*time.Microsecond + max(0, time.Until(r.still[b.Name]))
}

// size is how many bytes make a request of so many units.
func (r *replay) size(units int) int {
	return int((float64(units) - r.cfg.Units.Base) * float64(r.cfg.Units.Bytes))
}

// objectsEach is how many objects are read on each shard of a volume: one of
// each size that scenarios usually have.
const objectsEach = 6

// preloadVolumes stores, before the day begins, what will be read.
func (r *replay) preloadVolumes() error {
	c := &clients.Client{Name: "preload", Target: r.hosts[0].target, Log: r.log}
	defer c.Close()
	of := r.sc.Load.Units
	for _, v := range r.volumes {
		shards, short := map[int]int{}, len(v.keys)
		for n := 0; short > 0 && n < 10_000; n++ {
			key := fmt.Sprintf("read-%d", n)
			shard := r.placed.Shard(placement.Object(v.bucket, key))
			at, known := shards[shard]
			if !known && len(shards) < len(v.keys) {
				at, known = len(shards), true
				shards[shard] = at
			}
			if !known || len(v.keys[at]) == objectsEach {
				continue
			}
			units := of[0] + len(v.keys[at])%(of[1]-of[0]+1)
			if a := c.Do(&clients.Request{Method: "PUT", Path: "/" + v.bucket + "/" + key, Body: content(int64(n), r.size(units)), Wait: 5 * time.Second}); a.Call.Status != 200 {
				return fmt.Errorf("preload %s/%s: %d", v.bucket, key, a.Call.Status)
			}
			if v.keys[at] = append(v.keys[at], key); len(v.keys[at]) == objectsEach {
				short--
			}
		}
	}
	return nil
}

// playAll has clients come, open-loop, and the timeline's troubles.
func (r *replay) playAll(ctx context.Context) error {
	r.mu.Lock()
	r.started = time.Now()
	r.mu.Unlock()
	stop := make(chan struct{})
	for _, v := range r.volumes {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.clientsOf(v, stop)
		}()
	}
	err := r.timeline(ctx)
	close(stop)
	r.wg.Wait()
	for _, list := range r.idle {
		for _, c := range list {
			c.Close()
		}
	}
	return err
}

func (r *replay) timeline(ctx context.Context) error {
	type turn struct {
		at time.Duration
		do func() error
	}
	var turns []turn
	span := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for i := range r.sc.Timeline {
		e := &r.sc.Timeline[i]
		turns = append(turns, turn{span(e.At), func() error { return r.trouble(ctx, e) }})
	}
	turns = append(turns, turn{span(r.sc.Seconds), func() error { return nil }})
	slices.SortStableFunc(turns, func(a, b turn) int { return int(a.at - b.at) })
	for _, t := range turns {
		if err := wait(ctx, time.Until(r.started.Add(t.at))); err != nil {
			return err
		}
		if err := t.do(); err != nil {
			return err
		}
	}
	return nil
}

// clientsOf sends a volume's requests at the times at which they are due,
// whatever became of those before.
func (r *replay) clientsOf(v *replayVolume, stop <-chan struct{}) {
	due := time.Now()
	for {
		factor := 1.0
		r.more.Range(func(_, f any) bool { factor *= f.(float64); return true })
		due = due.Add(time.Duration(v.rnd.ExpFloat64() / (v.rate * factor) * float64(time.Second)))
		t := time.NewTimer(time.Until(due))
		select {
		case <-stop:
			t.Stop()
			return
		case <-t.C:
		}
		q, host := r.draw(v)
		at := due
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.one(q, host, at)
		}()
	}
}

func (r *replay) draw(v *replayVolume) (*clients.Request, int) {
	v.n++
	host := v.hosts[v.rnd.IntN(len(v.hosts))]
	l := &r.sc.Load
	if v.rnd.Float64() < l.Read.Share {
		list := v.keys[v.rnd.IntN(len(v.keys))]
		return &clients.Request{Method: "GET", Path: "/" + v.bucket + "/" + list[v.rnd.IntN(len(list))], Wait: config.MS(l.Read.DeadlineMS)}, host
	}
	units := l.Units[0] + v.rnd.IntN(l.Units[1]-l.Units[0]+1)
	return &clients.Request{Method: "PUT", Path: fmt.Sprintf("/%s/write-%d", v.bucket, v.n), Body: content(int64(v.n), r.size(units)),
		Wait: config.MS(l.Write.DeadlineMS)}, host
}

func (r *replay) one(q *clients.Request, host int, due time.Time) {
	r.mu.Lock()
	var c *clients.Client
	if n := len(r.idle[host]); n > 0 {
		c, r.idle[host] = r.idle[host][n-1], r.idle[host][:n-1]
	}
	r.mu.Unlock()
	if c == nil {
		c = &clients.Client{Name: "client", Target: r.hosts[host].target, Log: r.log}
	}
	r.mu.Lock()
	hasty := r.hasty
	r.mu.Unlock()
	tries := 1
	if hasty != nil {
		tries += max(1, int(hasty.Factor))
		q.HangUpWait = time.Duration(0.35 * float64(config.MS(r.sc.Load.Read.AimMS)))
	}
	var a clients.Answer
	for range tries {
		if a = c.Do(q); a.Call.Status == 200 || time.Since(due) > q.Wait {
			break
		}
	}
	r.mu.Lock()
	r.idle[host] = append(r.idle[host], c)
	r.born = append(r.born, tried{a.Call.Status, time.Since(due), due})
	r.mu.Unlock()
}

// trouble begins a trouble; it ends by itself.
func (r *replay) trouble(ctx context.Context, e *scenario.Event) error {
	span := time.Duration(e.Duration * float64(time.Second))
	later := func(after time.Duration, do func()) {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			if wait(ctx, after) == nil {
				do()
			}
		}()
	}
	var some []*bricks.Brick
	n := max(1, int(e.Share*float64(len(r.shards))+0.5))
	if e.Count > 0 {
		n = e.Count
	}
	perm := r.perm(len(r.shards))
	r.mu.Lock()
	for _, i := range perm[:min(n, len(perm))] {
		some = append(some, r.shards[i])
	}
	r.mu.Unlock()
	script := func(s bricks.Script) {
		for _, b := range some {
			b.Play(s)
		}
		later(span, func() {
			for _, b := range some {
				b.Play(bricks.Script{})
			}
		})
	}
	switch e.Kind {
	case "slow":
		for _, b := range some {
			r.setSlow(b.Name, e.Factor)
			later(span, func() { r.setSlow(b.Name, 1) })
		}
	case "fail":
		script(bricks.Script{Fault: brickd.Fault{Status: 500}, Every: max(1, int(1/max(e.Factor, 0.01)))})
	case "lose":
		script(bricks.Script{Fault: brickd.Fault{DropResponse: true}, Every: max(1, int(1/max(e.Factor, 0.01)))})
	case "still":
		r.pause(e, some, time.Now().Add(span), later)
	case "surge", "heavy":
		factor := e.Factor
		if e.Kind == "heavy" {
			factor = 1 + e.Factor
		}
		r.more.Store(e, factor)
		later(span, func() { r.more.Delete(e) })
	case "impatient":
		r.setHasty(e)
		later(span, func() { r.setHasty(nil) })
	case "list_down":
		r.setDown(true)
		later(span, func() {
			if err := r.setDown(false); err != nil {
				r.fault("%v", err)
			}
		})
	case "crash_hosts", "stall_hosts":
		return r.upsetHosts(ctx, e, later)
	case "replace":
		for _, b := range some {
			if err := r.replaceBrick(b, span, later); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *replay) perm(n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.Perm(n)
}

func (r *replay) setSlow(name string, by float64) {
	r.mu.Lock()
	r.slow[name] = by
	r.mu.Unlock()
}

// pause has bricks stand still now and again until a time.
func (r *replay) pause(e *scenario.Event, some []*bricks.Brick, until time.Time, later func(time.Duration, func())) {
	r.mu.Lock()
	for _, b := range some {
		r.still[b.Name] = time.Now().Add(config.MS(e.LengthMS))
	}
	r.mu.Unlock()
	if next := config.MS(e.IntervalMS); next > 0 && time.Now().Add(next).Before(until) {
		later(next, func() { r.pause(e, some, until, later) })
	}
}

func (r *replay) setHasty(e *scenario.Event) {
	r.mu.Lock()
	r.hasty = e
	r.mu.Unlock()
}

// setDown stops telling the list, or tells it as it is by then.
func (r *replay) setDown(down bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	if down {
		return nil
	}
	return r.writeList()
}

func (r *replay) upsetHosts(ctx context.Context, e *scenario.Event, later func(time.Duration, func())) error {
	n := max(1, int(e.Share*float64(len(r.hosts))+0.5))
	if e.Count > 0 {
		n = e.Count
	}
	for _, i := range r.perm(len(r.hosts))[:min(n, len(r.hosts))] {
		h := r.hosts[i]
		if e.Kind == "crash_hosts" {
			if err := h.kill(); err != nil {
				return err
			}
			later(config.MS(e.LengthMS), func() {
				if err := h.restart(ctx); err != nil {
					r.fault("%v", err)
				}
			})
			continue
		}
		if err := h.standStill(); err != nil {
			return err
		}
		later(config.MS(e.LengthMS), h.goOn)
	}
	return nil
}

// replaceBrick drains a brick, ends it two seconds later, and starts a cold one
// with its data in its place.
func (r *replay) replaceBrick(b *bricks.Brick, span time.Duration, later func(time.Duration, func())) error {
	if err := r.listState(b.Name, membership.Draining); err != nil {
		return err
	}
	later(2*time.Second, func() {
		b.Stop()
		if err := r.listState(b.Name, membership.Gone); err != nil {
			r.fault("%v", err)
		}
	})
	later(2*time.Second+max(span, 200*time.Millisecond), func() {
		next, err := r.site.Start(b.Name+"-b", b.Zone, b.Shard, fmt.Sprint("data-", b.Shard), true)
		if err != nil {
			r.fault("%v", err)
			return
		}
		r.mu.Lock()
		r.shards[b.Shard], r.all[next.Name] = next, next
		r.caps = append(r.caps, rules.Capacity{Brick: next.Name, Started: next.Started(), UnitsPerSec: r.capacity(r.speeds[b.Shard])})
		r.mu.Unlock()
		if err := r.listState(next.Name, membership.Ready); err != nil {
			r.fault("%v", err)
		}
	})
	return nil
}

// listState changes a brick's state in the list, and notes since when that is told.
func (r *replay) listState(name, state string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now().UnixMicro()
	for i := range r.told {
		if r.told[i].Brick == name && r.told[i].Until == 0 {
			r.told[i].Until = now
		}
	}
	r.entries[name] = state
	if r.down {
		return nil
	}
	return r.writeList()
}

// writeList writes the list, and notes what is told by it.
func (r *replay) writeList() error {
	r.version++
	list := membership.List{Version: r.version}
	for name, b := range r.all {
		if s := r.entries[name]; s != "" && s != membership.Gone {
			list.Bricks = append(list.Bricks, b.Entry(s))
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	err = gateway.WriteFileAtomic(filepath.Join(r.dir, "nodes.json"), text)
	open := map[string]bool{}
	for _, t := range r.told {
		if t.Until == 0 {
			open[t.Brick] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		if state := r.entries[name]; state != membership.Ready && !open[name] {
			for host := range r.hosts {
				r.told = append(r.told, rules.Told{Host: host, At: time.Now().UnixMicro(), Brick: name, State: state})
			}
		}
	}
	return err
}

// report checks the rules on what passed, and sets the run beside the
// emulator's.
func (r *replay) report(emulated *emul.Result) (*Report, error) {
	out := &Report{}
	c := r.cfg
	f := rules.Figures{Slack: daySlack.Microseconds(), DrainGrace: micros(c.Rules.DrainGraceMS), ToldWithin: listTold.Microseconds(),
		Window: micros(c.Classes.Write.WindowMS), ColdFrom: c.Rules.ColdFrom, WarmWithin: micros(c.Rules.WarmWithinMS), ColdMultiple: c.Rules.ColdMultiple,
		ColdSpan: 1_000_000, ColdUnits: c.Rules.ColdUnits}
	if err := out.checkRules(r.site, r.log, &rules.Script{Told: r.told, Capacities: r.caps, Stills: stood(r.hosts), Figures: f}); err != nil {
		return nil, err
	}
	var fell []string
	for name, b := range r.all {
		if b.Fallen() {
			fell = append(fell, name+" was pushed over")
		}
	}
	out.add(fell, "claim cold bricks stand: %d started cold, %d broken", len(r.caps), len(fell))
	out.add(r.faults, "claim all ends clean: %d gateways, %d broken", len(r.hosts), len(r.faults))
	var took []float64
	var served, refused, failed int
	last := r.started.Add(time.Duration((r.sc.Seconds - float64(r.sc.Load.Read.DeadlineMS)/1000 - 1) * float64(time.Second)))
	for _, t := range r.born {
		switch {
		case t.born.After(last):
		case t.status == 200:
			served++
			took = append(took, t.took.Seconds()*1000)
		case t.status == 503:
			refused++
		default:
			failed++
		}
	}
	all := float64(max(1, served+refused+failed))
	e := emulated.Figures
	out.note("%s, %d gateways, %d bricks, %.0f s; emulated in brackets: served %.3f (%.3f), refused %.3f (%.3f), failed %.3f (%.3f), p50 %.0f ms (%.0f), p99 %.0f ms (%.0f)",
		r.sc.Name, len(r.hosts), r.sc.Site.Bricks, r.sc.Seconds, float64(served)/all, e["served"], float64(refused)/all, e["refused"], float64(failed)/all, e["failed"],
		stats.Quantile(took, 0.5), e["p50_ms"], stats.Quantile(took, 0.99), e["p99_ms"])
	return out, nil
}

// drawnDay draws the troubles of a small day that real gateways play.
func drawnDay(d dice) []scenario.Event {
	at := func(from, to float64) float64 { return from + (to-from)*d.Float64() }
	some := []scenario.Event{
		{At: at(1, 8), Duration: at(1, 3), Kind: "slow", Count: 1, Factor: at(2, 5)},
		{At: at(1, 8), Duration: at(1, 3), Kind: "surge", Factor: at(1.2, 2)},
		{At: at(1, 8), Duration: at(1, 3), Kind: "fail", Count: 1, Factor: at(0.1, 0.4)},
		{At: at(1, 8), Duration: at(1, 3), Kind: "lose", Count: 1, Factor: at(0.05, 0.2)},
		{At: at(1, 8), Duration: at(1, 3), Kind: "still", Count: 1, LengthMS: d.between(100, 400), IntervalMS: 1000},
		{At: at(1, 8), Duration: 1, Kind: "crash_hosts", Count: 1, LengthMS: d.between(200, 1000)},
	}
	d.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	list := append(some[:3], scenario.Event{At: at(3, 6), Duration: 1, Kind: "replace", Count: 1})
	if d.IntN(2) == 0 {
		list = append(list, scenario.Event{At: at(9.5, 10), Duration: 1, Kind: "stall_hosts", Count: 1, LengthMS: d.between(200, 2000)})
	}
	slices.SortFunc(list, func(a, b scenario.Event) int { return int(1000 * (a.At - b.At)) })
	return list
}

// rehearsal is the proof of the laboratory: the emulator plays one seed twice
// to the same hash and its hard cases hold, and a small day goes through real
// gateways with the rules kept.
func rehearsal(ctx context.Context, opt *Options) (*Report, error) {
	sc, err := scenario.Find("waves")
	if err != nil {
		return nil, err
	}
	sc.Site.DisabledGuard = opt.Guard
	var hashes []string
	var broken []string
	for range 2 {
		sim, err := emul.New(sc, uint64(opt.Seed))
		if err != nil {
			return nil, err
		}
		res, err := sim.Run()
		if err != nil {
			return nil, err
		}
		hashes = append(hashes, res.Hash)
		broken = res.Violations
	}
	out := &Report{}
	var differ []string
	if hashes[0] != hashes[1] {
		differ = hashes
	}
	out.add(differ, "claim one seed, one run: hash %s twice, %d broken", hashes[0], len(differ))
	out.add(broken, "claim the emulated day keeps the rules: %d broken", len(broken))
	if opt.Guard != "" {
		return out, nil
	}
	small := scenario.Default()
	small.Name, small.Seed, small.Seconds = "small day", uint64(opt.Seed), 14
	small.Site.Bricks, small.Load.Volumes, small.Site.Brick.WarmUpMS, small.Load.Utilization = 4, 12, 3000, 0.5
	small.Timeline = nil
	for _, t := range drawnDay(newDice(opt.Seed, 7)) {
		if slices.Contains(opt.Drop, t.Kind) {
			continue
		}
		out.Troubles = append(out.Troubles, t.Kind)
		small.Timeline = append(small.Timeline, t)
	}
	if !opt.Short {
		small.Seconds *= 3
	}
	played, err := (&Replay{Scenario: small, Hosts: 3, Scale: 1}).Run(ctx, opt)
	if err != nil {
		return nil, err
	}
	out.Claims, out.Notes, out.Script, out.Calls, out.Sends = append(out.Claims, played.Claims...), append(out.Notes, played.Notes...), played.Script, played.Calls, played.Sends
	return out, nil
}
