package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/rules"
	standin "arrowwalk/internal/standin/platform"
)

// The platform proof's figures.
const (
	platformGroups   = 4
	platformClients  = 16
	platformWait     = 1500 * time.Millisecond // clients' patience
	platformPatience = 6 * time.Second         // of a class that a planned restart does not wait for
	platformLeavers  = 120                     // and every other one stays
	platformSockets  = 256
	platformMemory   = 96 // MB
	platformGrace    = 500_000
	platformWindow   = 4_000_000
	platformWarm     = 3_000_000
	platformUnits    = 80.0 // units a second that a warm brick does
	platformCold     = 0.1  // part of that at its start
	platformBears    = 20   // units a second that a cold one always bears
	platformTold     = 300_000
	platformWork     = 3 * time.Millisecond
)

// platformDay is a run of one host on the platform's protocol.
type platformDay struct {
	opt    *Options
	dice   dice
	dir    string
	log    *standin.Log
	book   *standin.Book
	agent  *standin.Agent
	addr   string
	cmd    *exec.Cmd
	ended  chan error
	spoils atomic.Bool    // bricks spoil some answers
	made   int            // bricks so far
	placed sync.WaitGroup // clients whose requests were placed in the host's sockets

	mu       sync.Mutex
	bricks   [platformGroups]*standin.Brick
	all      []*standin.Brick
	agents   []*standin.Agent
	told     []rules.Told
	caps     []rules.Capacity
	away     []outage
	stills   []rules.Still
	faults   []string
	owed     []string // strangers that got neither an error nor a close
	strange  int
	sockets  int // descriptors at most
	memoryMB int // at most
}

// platformProof plays the platform's hard cases on one host as a process.
func platformProof(ctx context.Context, opt *Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-platform")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	d := &platformDay{opt: opt, dice: newDice(opt.Seed, 30), dir: dir, log: standin.NewLog(), book: standin.NewBook(40)}
	defer d.close()
	if err := d.open(ctx); err != nil {
		return nil, err
	}
	rep := &Report{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range platformClients {
		wg.Add(1)
		go d.client(i, stop, &wg)
	}
	wg.Add(1)
	go d.watchLimits(stop, &wg)
	list, end := d.script(ctx)
	_, err = playTroubles(ctx, opt.leaveOut(rep, list), end)
	close(stop)
	wg.Wait()
	d.placed.Wait()
	if err != nil {
		return nil, err
	}
	if err := d.terminate(); err != nil {
		d.fault("the last stop: %v", err)
	}
	return rep, d.judge(rep)
}

// open starts bricks, the agent and the host.
func (d *platformDay) open(ctx context.Context) error {
	for group := range platformGroups {
		if err := d.replace(group, 0); err != nil {
			return err
		}
	}
	var err error
	if d.agent, err = d.newAgent(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", reopenedListen) // a port of the host's own, kept over restarts
	if err != nil {
		return err
	}
	d.addr = ln.Addr().String()
	ln.Close()
	if err := d.writeConfig(d.agent.Addr()); err != nil {
		return err
	}
	return d.start(ctx)
}

func (d *platformDay) newAgent() (*standin.Agent, error) {
	a, err := standin.NewAgent(d.book)
	if err == nil {
		d.agents = append(d.agents, a)
	}
	return a, err
}

// replace puts a new brick in a group's place; started 0: it is there for long.
func (d *platformDay) replace(group int, started rules.Micros) error {
	d.made++
	b := &standin.Brick{Name: fmt.Sprint("s-", d.made), Zone: []string{"a", "b"}[group%2], Group: group, Started: started}
	draw := rand.New(rand.NewPCG(uint64(d.opt.Seed), uint64(d.made)))
	b.Draw = func() standin.Fault {
		if !d.spoils.Load() || draw.IntN(6) > 0 {
			return standin.None
		}
		return []standin.Fault{standin.Noise, standin.BadHead, standin.Endless, standin.Misfit, standin.Huge, standin.Error, standin.Full,
			standin.Break, standin.Twice, standin.Behind, standin.Informs, standin.BadTold, standin.Late}[draw.IntN(13)]
	}
	b.Take(platformWork)
	if err := b.Start(d.log); err != nil {
		return err
	}
	d.mu.Lock()
	old := d.bricks[group]
	d.bricks[group] = b
	d.all = append(d.all, b)
	if started > 0 {
		d.caps = append(d.caps, rules.Capacity{Brick: b.Name, Started: started, UnitsPerSec: platformUnits})
	}
	d.mu.Unlock()
	if old == nil {
		d.book.Tell(b.Entry("active"))
		return nil
	}
	d.mu.Lock()
	d.told = append(d.told, rules.Told{At: time.Now().UnixMicro(), Brick: old.Name, State: "draining"})
	d.mu.Unlock()
	d.book.Tell(old.Entry("leaving"), b.Entry("active"))
	return nil
}

// writeConfig writes the host's configuration, whole at once.
func (d *platformDay) writeConfig(agent string) error {
	known, err := json.Marshal(d.book.Snapshot())
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		d.addr, agent, d.opt.Seed+77, platformMemory, platformSockets, known, platformSettings())
	return d.putConfig(text)
}

func (d *platformDay) putConfig(text string) error {
	next := d.config() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, d.config())
}

func (d *platformDay) config() string { return filepath.Join(d.dir, "config.json") }

func platformSettings() string {
	return fmt.Sprintf(`{"peersTotal":1,"ordinal":0,"periodUs":2000,"zones":["a","b"],
 "categories":[{"name":"fetch-text","aimUs":300000,"deadlineUs":%[1]d,"worth":2,"lateWorth":0.2,"repeat":"read_like"},
  {"name":"index-text","aimUs":3000000,"deadlineUs":%[8]d,"worth":2,"lateWorth":0.2,"repeat":"read_like"},
  {"name":"save-paper","aimUs":400000,"deadlineUs":%[1]d,"worth":2,"lateWorth":0.2,"repeat":"idempotency_key","dedupScope":"cell","windowUs":%[2]d}],
 "familyInfo":{"changesData":[false,false,true],"coldBears":%[6]d,"mostUnits":6,"unitMean":1,"saysOthers":true,"meterUs":1000000,"shards":%[3]d,"withinShare":0.35,"beyondShare":0.08},
 "limits":{"maxAttempts":4,"maxRetryAfterUs":500000,"retryAfter":true,"cancel":true,"parallelTries":true,"connectTimeoutUs":250000,"idleCloseUs":5000000},
 "reporting":{"fields":["util"],"how":"inline"},
 "rules":{"coldFrom":%[7]g,"drainGraceUs":%[4]d,"fallUs":1000000,"overloadFactor":4,"warmWithinUs":%[5]d},
 "serviceLevels":[{"name":"basic","usualRate":200,"parts":1,"worthFactor":1},{"name":"campus","usualRate":200,"reservation":100,"parts":1,"worthFactor":1}]}`,
		platformWait.Microseconds(), platformWindow, platformGroups, platformGrace, platformWarm, platformBears, platformCold, platformPatience.Microseconds())
}

// start starts the host and waits until it says that it serves.
func (d *platformDay) start(ctx context.Context) error {
	args := append(d.opt.Exec[1:len(d.opt.Exec):len(d.opt.Exec)], "--log-level=warn", "platform")
	if d.opt.Guard != "" {
		args = append(args, "--drop-guard", d.opt.Guard)
	}
	cmd := exec.Command(d.opt.Exec[0], args...)
	cmd.Stderr = d.opt.Log
	// A host built with the race detector would sleep for 1 s at its exit.
	cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", "ARROWWALK_AS_COMMAND=1", "GW_NAME=n0", "GW_LISTEN="+d.addr, "GW_CONFIG="+d.config())
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("host: %w", err)
	}
	limit := unix.Rlimit{Cur: platformSockets, Max: platformSockets} // as the platform holds it
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("host: limit of descriptors: %w", err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	for {
		if d.healthy() {
			return nil
		}
		select {
		case err := <-d.ended:
			return fmt.Errorf("host ended before it served: %w", err)
		default:
		}
		if err := wait(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
}

func (d *platformDay) healthy() bool {
	nc, err := net.DialTimeout("tcp", d.addr, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprint(nc, "GET /healthz HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
	head := make([]byte, 12)
	n, _ := nc.Read(head)
	return strings.HasPrefix(string(head[:n]), "HTTP/1.1 200")
}

// client asks one thing after another until stop is closed; some of its
// connections are kept for good.
func (d *platformDay) client(number int, stop chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	draw := rand.New(rand.NewPCG(uint64(d.opt.Seed), uint64(1000+number)))
	c := &standin.Client{Name: fmt.Sprintf("c%02d-", number), Addr: func() string { return d.addr }, Log: d.log, Stopping: d.stopping}
	defer c.Close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		q := &standin.Request{Class: "fetch-text", Volume: uint64(draw.IntN(6)), Piece: draw.Uint64(), Plan: []string{"basic", "campus"}[number%2],
			Units: 1, Shard: draw.IntN(platformGroups), Hosts: 1, Wait: platformWait}
		if draw.IntN(3) == 0 {
			q.Class, q.Write, q.Body = "save-paper", true, fmt.Sprint("paper ", n)
		}
		c.Do(q)
		wait(context.Background(), time.Duration(10+draw.IntN(50))*time.Millisecond)
		if draw.IntN(20) == 0 {
			c.Close()
		}
	}
}

func (d *platformDay) stopping(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range d.away {
		if at.After(o.from.Add(-settle)) && (o.to.IsZero() || at.Before(o.to.Add(settle))) {
			return true
		}
	}
	return false
}

func (d *platformDay) fault(format string, args ...any) {
	d.mu.Lock()
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
	d.mu.Unlock()
}

// watchLimits looks at the descriptors and the memory that the host uses.
func (d *platformDay) watchLimits(stop chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		d.mu.Lock()
		pid := d.cmd.Process.Pid
		d.mu.Unlock()
		fds, err := os.ReadDir(fmt.Sprint("/proc/", pid, "/fd"))
		if err != nil {
			continue
		}
		var kb int
		if text, err := os.ReadFile(fmt.Sprint("/proc/", pid, "/status")); err == nil {
			if _, rest, ok := strings.Cut(string(text), "RssAnon:"); ok {
				fmt.Sscan(rest, &kb)
			}
		}
		d.sockets, d.memoryMB = max(d.sockets, len(fds)), max(d.memoryMB, kb>>10)
	}
}

// script draws the troubles.
func (d *platformDay) script(ctx context.Context) ([]trouble, time.Duration) {
	at := func(from, to float64) time.Duration { return d.dice.span(from, to) }
	list := []trouble{
		{"spoilt answers", []step{once(at(0.5, 1), func() { d.spoils.Store(true) }), once(at(4.5, 5.5), func() { d.spoils.Store(false) })}},
		{"strangers", []step{once(at(1, 3), d.strangers)}},
		{"silent connections", []step{once(at(1.5, 3), d.silent)}},
		{"a brick is replaced, and clients leave", []step{{at(1, 2), d.leave}}},
		{"a brick dies", []step{once(at(2, 3), d.die)}},
		{"a brick falls silent", []step{once(at(3, 4), d.fallSilent)}},
		{"the host stands still", []step{{at(3.2, 4.2), d.standStill}}},
		{"new configurations", []step{{at(1.5, 2.5), d.reload}, {at(3, 4), d.badReload}}},
	}
	end := 7 * time.Second
	restart := at(5.5, 5.8)
	if !d.opt.Short {
		for i := range 3 { // again, while the rest goes on
			from := 6 + 3*float64(i)
			list = append(list, trouble{fmt.Sprint("strangers, ", i), []step{once(at(from, from+2), d.strangers)}},
				trouble{fmt.Sprint("a brick is replaced, ", i), []step{{at(from, from+2), func(context.Context) error { return d.replace(1, time.Now().UnixMicro()) }}}},
				trouble{fmt.Sprint("new configuration, ", i), []step{{at(from, from+2), d.reload}}})
		}
		end, restart = 20*time.Second, at(16, 17)
	}
	return append(list, trouble{"a planned restart", []step{{restart, d.restart}}}), end
}

// strangers visits the host with each kind of bad client at once.
func (d *platformDay) strangers() {
	list := standin.Strangers(d.log.Open())
	d.dice.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var wg sync.WaitGroup
	for i := range list {
		wg.Add(1)
		go func() {
			defer wg.Done()
			err := list[i].Visit(d.addr)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.strange++
			if err != nil {
				d.owed = append(d.owed, err.Error())
			}
		}()
	}
	wg.Wait()
}

// leave has clients come to a brick that has just started, so that most of
// their requests wait; every other one leaves.
func (d *platformDay) leave(context.Context) error {
	err := d.replace(0, time.Now().UnixMicro())
	draw := rand.New(rand.NewPCG(uint64(d.opt.Seed), 2000)) // of its own: the script's other draws stay as they are
	var wg sync.WaitGroup
	for n := range platformLeavers {
		c := &standin.Client{Name: fmt.Sprintf("l%02d-", n), Addr: func() string { return d.addr }, Log: d.log}
		after := time.Duration(20+draw.IntN(80)) * time.Millisecond
		wg.Go(func() {
			q := &standin.Request{Class: "index-text", Volume: uint64(n % 6), Piece: uint64(n), Plan: "basic", Units: 1, Shard: 0, Hosts: 1, Wait: platformPatience}
			if n%2 == 0 { // stays, so that a cold brick is pushed
				c.Do(q)
				c.Close()
			} else if err := c.Leave(q, after); err != nil {
				d.fault("a client that leaves: %v", err)
			}
		})
	}
	wg.Wait()
	return err
}

// askedMax is by when a watch that was cut is asked for anew, beside clients
// that fill the descriptors.
const askedMax = time.Second

// silent connects by hundreds and says nothing; all must be closed in time, and
// a watch that breaks meanwhile is opened anew.
func (d *platformDay) silent() {
	var wg sync.WaitGroup
	agent := d.agent
	defer func() {
		before, since := agent.Cut(), time.Now()
		for agent.Calls() == before && agent == d.agent {
			if time.Since(since) > askedMax {
				d.fault("beside silent clients the agent is not asked anew within %s", askedMax)
				break
			}
			wait(context.Background(), time.Millisecond)
		}
		wg.Wait()
	}()
	for range 2 * platformSockets {
		nc, err := net.DialTimeout("tcp", d.addr, time.Second)
		if err != nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(3 * time.Second))
			_, err := nc.Read(make([]byte, 1))
			d.mu.Lock()
			defer d.mu.Unlock()
			d.strange++
			if errors.Is(err, os.ErrDeadlineExceeded) {
				d.owed = append(d.owed, "a silent connection is kept over 3s")
			}
		}()
	}
}

// die kills a brick; a new one takes its place.
func (d *platformDay) die() {
	d.mu.Lock()
	b := d.bricks[2]
	d.mu.Unlock()
	b.Stop()
	if err := d.replace(2, time.Now().UnixMicro()); err != nil {
		d.fault("%v", err)
	}
}

// fallSilent has a brick say nothing, and replaced.
func (d *platformDay) fallSilent() {
	d.mu.Lock()
	b := d.bricks[3]
	d.mu.Unlock()
	b.Mute()
	if err := d.replace(3, time.Now().UnixMicro()); err != nil {
		d.fault("%v", err)
	}
}

// reload names another agent; the old one takes no more watches.
func (d *platformDay) reload(ctx context.Context) error {
	next, err := d.newAgent()
	if err != nil {
		return err
	}
	if err := d.writeConfig(next.Addr()); err != nil {
		return err
	}
	d.agent.Retire()
	d.agent = next
	for range 3 {
		if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	return nil
}

// badReload names a file that can't be read; nothing may change.
func (d *platformDay) badReload(ctx context.Context) error {
	good, err := os.ReadFile(d.config())
	if err != nil {
		return err
	}
	if err := d.putConfig(`{"name":`); err != nil {
		return err
	}
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if err := wait(ctx, 200*time.Millisecond); err != nil {
		return err
	}
	return d.putConfig(string(good))
}

// standStill stops the host's process for a while, with requests in its sockets,
// and has a brick answer too late what is sent when it goes on. Some of the
// requests are placed there for that brick: whether a usual client has one there
// is left to chance.
func (d *platformDay) standStill(ctx context.Context) error {
	d.mu.Lock()
	b := d.bricks[1]
	d.mu.Unlock()
	b.Take(2 * platformWait)
	defer b.Take(platformWork)
	still := rules.Still{From: time.Now().UnixMicro()}
	if err := d.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	arrived := d.placeRequests(b)
	err := wait(ctx, d.dice.span(0.75, 0.95)) // longer than the check's slack
	d.cmd.Process.Signal(syscall.SIGCONT)
	still.To = time.Now().UnixMicro()
	d.mu.Lock()
	d.stills = append(d.stills, still)
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if err := wait(ctx, 100*time.Millisecond); err != nil {
		return err
	}
	select {
	case <-arrived:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// placeRequests has clients send writes for a brick to a host that stands still.
// The channel is closed when each has reached the brick or has its answer.
func (d *platformDay) placeRequests(b *standin.Brick) <-chan struct{} {
	const clients = 3
	arrived := make(chan struct{})
	var settled sync.WaitGroup
	_, before := d.log.Trace()
	for n := range clients {
		c := &standin.Client{Name: fmt.Sprintf("q%02d-%d-", n, len(before)), Addr: func() string { return d.addr }, Log: d.log, Stopping: d.stopping}
		answered := make(chan struct{})
		d.placed.Go(func() {
			defer close(answered)
			defer c.Close()
			c.Do(&standin.Request{Class: "save-paper", Write: true, Body: fmt.Sprint("placed ", n), Volume: uint64(n), Piece: uint64(n),
				Plan: "campus", Units: 1, Shard: b.Group, Hosts: 1, Wait: platformWait})
		})
		settled.Go(func() {
			tick := time.NewTicker(time.Millisecond)
			defer tick.Stop()
			for !d.log.HasArrived(c.Name) {
				select {
				case <-answered:
					return
				case <-tick.C:
				}
			}
		})
	}
	go func() {
		settled.Wait()
		close(arrived)
	}()
	return arrived
}

func (d *platformDay) close() {
	if d.cmd != nil {
		d.cmd.Process.Kill() // it may have ended: then this does nothing
	}
	for _, b := range d.all {
		b.Stop()
	}
	for _, a := range d.agents {
		a.Stop()
	}
}

// judge checks the rules and the bounds from what passed on the sockets.
func (d *platformDay) judge(rep *Report) error {
	arrivals, calls := d.log.Trace()
	served := 0
	for i := range calls {
		if calls[i].Status == 200 {
			served++
		}
	}
	rep.Calls, rep.Sends = len(calls), len(arrivals)
	t := &rules.Trace{Arrivals: arrivals, Calls: calls, Told: d.told, Capacities: d.caps, Stills: d.stills, Figures: rules.Figures{
		Slack: daySlack.Microseconds(), DrainGrace: platformGrace, ToldWithin: platformTold, Window: platformWindow, ColdFrom: platformCold,
		WarmWithin: platformWarm, ColdMultiple: 4, ColdSpan: 1_000_000, ColdUnits: platformBears}}
	for _, v := range rules.Check(t) {
		rep.Claims = append(rep.Claims, Claim{v.String(), v.Broken})
	}
	rep.note("%d requests, %d served, %d sent; %d strangers; %d descriptors and %d MB at most", len(calls), served, len(arrivals), d.strange, d.sockets, d.memoryMB)
	var few, over []string
	if served*2 < len(calls) {
		few = append(few, fmt.Sprintf("%d of %d requests are served", served, len(calls)))
	}
	if d.sockets > platformSockets {
		over = append(over, fmt.Sprintf("%d descriptors of %d", d.sockets, platformSockets))
	}
	if d.memoryMB > platformMemory {
		over = append(over, fmt.Sprintf("%d MB of %d", d.memoryMB, platformMemory))
	}
	rep.add(d.log.Late, "claim nothing is sent on for clients that have gone: %d left, %d broken", d.log.Left(), len(d.log.Late))
	rep.add(d.log.Foreign, "claim bricks see what usual clients sent: %d arrivals, %d broken", len(arrivals), len(d.log.Foreign))
	rep.add(d.owed, "claim strangers get an error or a close in time: %d strangers, %d broken", d.strange, len(d.owed))
	rep.add(over, "claim descriptors and memory stay within their limits: %d descriptors at most, %d broken", d.sockets, len(over))
	rep.add(few, "claim usual clients are served beside all this: %d requests, %d broken", len(calls), len(few))
	rep.add(d.faults, "claim the host starts, reloads and ends as told: %d broken", len(d.faults))
	return nil
}
