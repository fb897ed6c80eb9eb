package prove

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/control"
	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/standin/terminal"
)

// evenings is the proof of the console: an operator at a pseudo-terminal
// drains a brick under load, the terminal dies, the gateway is killed.
type evenings struct {
	opt    *Options
	dir    string
	site   *bricks.Site
	host   *process
	log    *clients.Log
	report *Report
	told   []rules.Told
	faults []string
	screen map[string]string // by name, as they were seen
	bricks map[string]*bricks.Brick

	caps    []rules.Capacity
	cfg     *config.Config
	entries map[string]string // states in the node list
	version int64
	uploads atomic.Int64

	dice dice // the script's

	mu     sync.Mutex
	stored map[string]made
	unsure map[string]bool // may or may not have taken effect
}

const (
	consoleBricks = 3
	// eveningUnits is what a warm brick of this proof does in a second, as its
	// shard shows before: without a script they are as quick as the machine.
	eveningUnits = 2000
	drainsShort  = 30
	drainsLong   = 300
	// handGrace is what the users ask: nothing new half a second after the key.
	handGrace = 500 * time.Millisecond
)

func consoleProof(ctx context.Context, opt *Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-console")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cfg := dayConfig(0)
	cfg.Host.Count, cfg.Shards = 1, consoleBricks
	cfg.Rules.WarmWithinMS = 2000
	cfg.NodesFile = filepath.Join(dir, "nodes.json")
	cold := bricks.Cold{Within: config.MS(cfg.Rules.WarmWithinMS), From: cfg.Rules.ColdFrom, Multiple: cfg.Rules.ColdMultiple,
		Span: config.MS(cfg.Rules.ColdSpanMS), Units: cfg.Rules.ColdUnits, UnitsPerSec: eveningUnits}
	log, err := opt.newCalls(dir)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	e := &evenings{opt: opt, dice: newDice(opt.Seed, 5), dir: dir, cfg: cfg, report: &Report{}, log: log, site: bricks.NewLogged(dir, opt.logs(dir), 4*time.Second, cold), stored: map[string]made{}, screen: map[string]string{},
		bricks: map[string]*bricks.Brick{}, entries: map[string]string{}, unsure: map[string]bool{}}
	defer e.site.Close()
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
	if e.host, err = startProcess(ctx, opt, dir, 0, cfg, opt.Guard); err != nil {
		return nil, err
	}
	defer func() { e.host.endOutright() }()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.client(i, stop)
		}()
	}
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.uploader(i, stop)
		}()
	}
	err = e.play(ctx)
	close(stop)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	e.verify()
	if err := e.host.stop(writeWait + 5*time.Second); err != nil {
		e.fault("%v", err)
	}
	return e.report, e.judge(cfg)
}

func (e *evenings) fault(format string, args ...any) {
	e.faults = append(e.faults, fmt.Sprintf(format, args...))
}

// shortPause is a client's between two turns of a short run: many seeds are
// played at once, and what is looked at is the order of events, not the load.
const shortPause = 5 * time.Millisecond

// client writes and reads, in the long form without a pause.
func (e *evenings) client(i int, stop <-chan struct{}) {
	c := &clients.Client{Name: fmt.Sprint("client-", i), Target: e.host.target, Log: e.log}
	defer c.Close()
	rnd := rand.New(rand.NewSource(e.opt.Seed + int64(i)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if e.opt.Short {
			t := time.NewTimer(shortPause)
			<-t.C
		}
		key, of := fmt.Sprintf("/theses/%d/%d", i, n), made{int64(n), 1 + rnd.Intn(20_000)}
		body := of.bytes()
		a := c.Do(&clients.Request{Method: "PUT", Path: key, Body: body, Wait: time.Second})
		if a.Call.Status == 200 {
			e.mu.Lock()
			e.stored[key] = of
			e.mu.Unlock()
			c.Do(&clients.Request{Method: "GET", Path: key, Want: body, Wait: time.Second})
		} else {
			t := time.NewTimer(20 * time.Millisecond)
			<-t.C
		}
	}
}

func (e *evenings) socket() string { return e.host.file(filepath.Join("data", "control.sock")) }

func (e *evenings) console(width, height int) (*terminal.Terminal, error) {
	args := append(e.opt.Exec[1:len(e.opt.Exec):len(e.opt.Exec)], "console", "--socket", e.socket())
	cmd := exec.Command(e.opt.Exec[0], args...)
	cmd.Env = append(os.Environ(), "ARROWWALK_AS_COMMAND=1", "TERM=xterm-256color", "USER=operator")
	return terminal.Start(cmd, width, height)
}

const screenWait = 10 * time.Second

func (e *evenings) play(ctx context.Context) error {
	t, err := e.console(100, 28)
	if err != nil {
		return err
	}
	defer t.HangUp(time.Second)
	if err := e.drainByKeys(ctx, t); err != nil || e.opt.Guard != "" {
		return err
	}
	if err := e.looks(t); err != nil {
		return err
	}
	if err := e.killed(ctx, t); err != nil {
		return err
	}
	if err := e.undrain(t); err != nil {
		return err
	}
	if err := e.stopped(ctx, t); err != nil {
		return err
	}
	if !t.HangUp(3 * time.Second) { // uploads go on meanwhile
		e.fault("the console outlives its terminal")
	}
	return e.chapters(ctx)
}

// chapters come in an order that the seed decides; a drain of a brick that the
// list names first comes before that brick is replaced.
func (e *evenings) chapters(ctx context.Context) error {
	d := newDice(e.opt.Seed, 4)
	list := []chapter{{"a silent brick is drained", e.silent}, {"opposite orders", e.opposite}, {"terminals close after the key", e.hurried},
		{"half-open peers", e.halfOpen}, {"bricks in odd states", e.odd}, {"a brick without room", e.full}, {"crashes between record and answer", e.crashes},
		{"drains again and again", e.many}}
	d.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	hurried := slices.IndexFunc(list, func(c chapter) bool { return c.name == "terminals close after the key" })
	odd := slices.IndexFunc(list, func(c chapter) bool { return c.name == "bricks in odd states" })
	if odd < hurried {
		list[odd], list[hurried] = list[hurried], list[odd]
	}
	return playChapters(ctx, e.opt, e.report, list, func() time.Duration { return d.span(0, 0.2) })
}

// stopped stops the console's process: the gateway goes on, and so does the
// console afterwards.
func (e *evenings) stopped(ctx context.Context, t *terminal.Terminal) error {
	if err := t.Stop(true); err != nil {
		return err
	}
	defer t.Stop(false)
	for range 10 {
		c, err := control.Dial(e.socket())
		if err != nil {
			return err
		}
		began := time.Now()
		_, err = c.Call(control.Request{Op: control.OpStatus})
		c.Close()
		if took := time.Since(began); err != nil || took > time.Second {
			e.fault("beside a stopped console a status takes %s, %v", took, err)
		}
		if err := wait(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	if err := t.Stop(false); err != nil {
		return err
	}
	return t.Await(screenWait, "arrowwalk: bricks   host")
}

// one draws a brick that stands through the whole evening.
func (e *evenings) one() string { return []string{"beta", "gamma"}[e.dice.IntN(2)] }

// silent drains a brick that hears and says nothing.
func (e *evenings) silent(ctx context.Context) error {
	c, err := control.Dial(e.socket())
	if err != nil {
		return err
	}
	defer c.Close()
	name := e.one()
	e.bricks[name].Play(bricks.Script{Fault: brickd.Fault{IgnoreRequest: true}})
	if err := wait(ctx, e.dice.span(0.1, 0.5)); err != nil {
		return err
	}
	from := time.Now().UnixMicro()
	if _, err := c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: drains.Drain, Brick: name, Force: true}}); err != nil {
		return err
	}
	if err := wait(ctx, e.dice.span(0.6, 1)); err != nil {
		return err
	}
	e.told = append(e.told, rules.Told{Host: 0, At: from, Brick: name, State: "draining", Until: time.Now().UnixMicro()})
	e.bricks[name].Play(bricks.Script{})
	_, err = c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: drains.Undrain, Brick: name}})
	return err
}

// opposite has two operators give opposite orders at once: what holds in the
// end is what the last order, by its number, says.
func (e *evenings) opposite(context.Context) error {
	const orders = 20
	name := e.one()
	type word struct {
		number int64
		state  drains.State
	}
	var mu sync.Mutex
	var last word
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i, kind := range []drains.Kind{drains.Drain, drains.Undrain} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := control.Dial(e.socket())
			if err != nil {
				errs[i] = err
				return
			}
			defer c.Close()
			for range orders {
				r, err := c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: kind, Brick: name, Force: true}})
				if err != nil {
					errs[i] = err
					return
				}
				mu.Lock()
				if r.Result.Number > last.number {
					last = word{r.Result.Number, r.Result.After.State}
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	c, err := control.Dial(e.socket())
	if err != nil {
		return err
	}
	defer c.Close()
	r, err := c.Call(control.Request{Op: control.OpStatus})
	if err != nil {
		return err
	}
	for _, b := range r.Snapshot.Bricks {
		if b.Status.Brick == name && b.State != last.state {
			e.fault("after opposite orders %s is %s, the last order made it %s", name, b.State, last.state)
		}
	}
	_, err = c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: drains.Undrain, Brick: name}})
	return err
}

// drainByKeys drains the brick beta, as a person does.
func (e *evenings) drainByKeys(ctx context.Context, t *terminal.Terminal) error {
	if err := t.Await(screenWait, "arrowwalk: bricks", "> alpha", "beta", "gamma"); err != nil {
		return err
	}
	if err := e.awaitServed(ctx, "beta", 20); err != nil {
		return err
	}
	if err := t.Type("j"); err != nil {
		return err
	}
	if err := t.Await(screenWait, "> beta"); err != nil {
		return err
	}
	if err := t.Type("d"); err != nil {
		return err
	}
	if err := t.Await(screenWait, "drain beta?", "OUT OF REACH: theses", "f drains all the same"); err != nil {
		return err
	}
	e.screen["confirm"] = t.Screen()
	typed := time.Now()
	if err := t.Type("f"); err != nil {
		return err
	}
	e.told = append(e.told, rules.Told{Host: 0, At: typed.UnixMicro(), Brick: "beta", State: "draining"})
	if e.opt.Guard != "" { // it will never be idle: let it be seen
		return wait(ctx, 1500*time.Millisecond)
	}
	return t.Await(screenWait, "draining", "draining and idle")
}

// awaitServed waits until a brick has served some requests: before, nobody
// knows what lies there.
func (e *evenings) awaitServed(ctx context.Context, brick string, most int) error {
	for until := time.Now().Add(screenWait); ; {
		n := 0
		for a, err := range e.site.Log().Each(0) {
			if err != nil {
				return err
			}
			if a.Brick == brick && a.Status == 200 && a.Space == "o" {
				n++
			}
		}
		if n >= most {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("brick %s served %d requests", brick, n)
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// looks visits the other screens, and sizes.
func (e *evenings) looks(t *terminal.Terminal) error {
	for _, s := range []struct{ key, want string }{{"2", "theses"}, {"3", "age stage"}, {"4", "orders to drain beta"}, {"?", "any key closes this page"}, {"1", "arrowwalk:"}, {"1", "arrowwalk: bricks"}} {
		if err := t.Type(s.key); err != nil {
			return err
		}
		if err := t.Await(screenWait, s.want); err != nil {
			return fmt.Errorf("key %s: %w", s.key, err)
		}
		e.screen[s.key] = t.Screen()
	}
	if err := t.Resize(70, 20); err != nil {
		return err
	}
	if err := t.Await(screenWait, "needs 80x24"); err != nil {
		return err
	}
	if err := t.Resize(80, 24); err != nil {
		return err
	}
	return t.Await(screenWait, "arrowwalk: bricks", "beta")
}

// killed kills the gateway: the console says so and is back by itself, and the
// drain still holds.
func (e *evenings) killed(ctx context.Context, t *terminal.Terminal) error {
	if err := e.host.kill(); err != nil {
		return err
	}
	if err := t.Await(screenWait, "NO CONNECTION"); err != nil {
		return err
	}
	if err := e.host.restart(ctx); err != nil {
		return err
	}
	return t.Await(screenWait, "arrowwalk: bricks   host", "draining")
}

func (e *evenings) undrain(t *terminal.Terminal) error {
	if err := t.Type("j"); err != nil { // the screen was chosen anew: its first row is
		return err
	}
	if err := t.Await(screenWait, "> beta"); err != nil {
		return err
	}
	if err := t.Type("u"); err != nil {
		return err
	}
	if err := t.Await(screenWait, "undrain beta?"); err != nil {
		return err
	}
	until := time.Now().UnixMicro()
	for i := range e.told {
		e.told[i].Until = until
	}
	if err := t.Type("y"); err != nil {
		return err
	}
	return t.Await(screenWait, "beta is ready")
}

// many drains one brick again and again over the socket, and measures from the
// order to its answer and to the last request that reached the brick.
func (e *evenings) many(ctx context.Context) error {
	c, err := control.Dial(e.socket())
	if err != nil {
		return err
	}
	defer c.Close()
	name, n := e.one(), drainsLong
	if e.opt.Short {
		n = drainsShort
	}
	var answer, last []time.Duration
	order := func(k drains.Kind) (time.Time, error) {
		at := time.Now()
		_, err := c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: k, Brick: name, Force: true}})
		return at, err
	}
	for range n {
		before := e.site.Count() // what ends later may have arrived earlier, not the other way
		sent, err := order(drains.Drain)
		if err != nil {
			return err
		}
		answer = append(answer, time.Since(sent))
		if err := wait(ctx, e.dice.span(0.03, 0.09)); err != nil {
			return err
		}
		from, to := sent.UnixMicro(), time.Now().UnixMicro()
		e.told = append(e.told, rules.Told{Host: 0, At: from, Brick: name, State: "draining", Until: to})
		late := int64(0)
		for a, err := range e.site.Log().Each(before) {
			if err != nil {
				return err
			}
			if a.Brick == name && a.At >= from && a.At <= to {
				late = max(late, a.At-from)
			}
		}
		last = append(last, time.Duration(late)*time.Microsecond)
		if _, err := order(drains.Undrain); err != nil {
			return err
		}
		if err := wait(ctx, e.dice.span(0.01, 0.04)); err != nil {
			return err
		}
	}
	quantile := func(list []time.Duration, q float64) time.Duration {
		slices.Sort(list)
		return list[int(q*float64(len(list)-1))].Round(10 * time.Microsecond)
	}
	e.report.note("%d drains under load: order to answer p50 %s, p99 %s; order to the last request that reached the brick p50 %s, p99 %s",
		n, quantile(answer, 0.5), quantile(answer, 0.99), quantile(last, 0.5), quantile(last, 0.99))
	return nil
}

// verify reads back what was acknowledged.
func (e *evenings) verify() {
	c := &clients.Client{Name: "verify", Target: e.host.target, Log: e.log}
	defer c.Close()
	until := time.Now().Add(verifyMost)
	for key, want := range e.stored {
		if e.unsure[key] {
			continue
		}
		if fault := readBack(c, key, want.bytes(), until); fault != "" {
			e.fault("acknowledged, and now %s", fault)
		}
	}
}

func (e *evenings) judge(c *config.Config) error {
	f := rules.Figures{Slack: daySlack.Microseconds(), DrainGrace: handGrace.Microseconds(), Window: micros(c.Classes.Write.WindowMS),
		OrderGap: micros(c.Rules.OrderGapMS), Ordered: true, ResendFree: c.Rules.ResendFree, ResendRatio: c.Rules.ResendRatio, ResendSpan: micros(c.Rules.ResendSpanMS),
		ColdFrom: c.Rules.ColdFrom, WarmWithin: micros(c.Rules.WarmWithinMS), ColdMultiple: c.Rules.ColdMultiple,
		ColdSpan: micros(c.Rules.ColdSpanMS), ColdUnits: c.Rules.ColdUnits}
	if err := e.report.checkRules(e.site, e.log, &rules.Script{Told: e.told, Capacities: e.caps, Figures: f}); err != nil {
		return err
	}
	var early []string
	seen := 0
	for a, err := range e.site.Log().Each(0) {
		if err != nil {
			return err
		}
		for _, t := range e.told { // the users' own words: half a second after the command
			if a.Brick != t.Brick || a.At < t.At || t.Until != 0 && a.At > t.Until {
				continue
			}
			seen++
			if a.Earliest() > t.At+handGrace.Microseconds() {
				early = append(early, fmt.Sprintf("%s reached %s %d us after the command", a.Request, a.Brick, a.Earliest()-t.At))
			}
		}
	}
	e.report.add(early, "claim nothing new 500 ms after a command: %d drains, %d sends within them, %d broken", len(e.told), seen, len(early))
	for name, b := range e.bricks {
		if b.Fallen() {
			e.fault("%s was pushed over", name)
		}
	}
	if e.uploads.Load() == 0 && e.opt.Guard == "" {
		e.fault("no upload in parts was under way")
	}
	e.report.note("%d uploads in parts ended while terminals came and went", e.uploads.Load())
	e.report.add(e.faults, "claim nothing acknowledged is lost, all ends clean: %d objects, %d broken", len(e.stored), len(e.faults))
	if e.opt.Out != "" {
		os.MkdirAll(e.opt.Out, 0o755)
		for name, text := range e.screen {
			os.WriteFile(filepath.Join(e.opt.Out, "screen-"+strings.ReplaceAll(name, "?", "help")+".txt"), []byte(text), 0o644)
		}
	}
	return nil
}
