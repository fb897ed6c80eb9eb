package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"

	"arrowwalk/internal/config"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/membership/cache"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/standin/coord"
)

// The proof of starting without discovery. Six hosts start with the service
// off, each with another kept list; then it comes back and says what is.
const (
	hostFresh   = iota // a list a few seconds old
	hostDay            // a list a day old: bricks were drained, replaced and moved since
	hostDamaged        // the newest list is damaged, the one before is good
	hostEmpty          // no list at all
	hostCount
)

// quietNight is a running proof.
type quietNight struct {
	opt    *Options
	dir    string
	coord  *coord.Server
	port   string
	site   *bricks.Site
	hosts  []*process
	log    *clients.Log
	report *Report
	regs   map[string]*membership.Registrar
	shape  membership.Topology
	told   []rules.Told
	caps   []rules.Capacity
	mu     sync.Mutex
	first  [hostCount]time.Duration // from start to the first served request
	wiped  time.Time                // when the tree was empty,
	remade time.Time                // and until when
	back   time.Time                // when discovery came back
	wrong  *bricks.Brick            // listens where another brick was
	mute   net.Listener             // takes what is sent and says nothing
	start  [hostCount]time.Time     // of each host's process
	dice   dice
	stays  int   // shard of the brick that stays
	shard  int   // of the brick that is replaced
	roles  []int // of each host: which list it kept
}

func nightConfig(dir string, number int, server string) *config.Config {
	c := dayConfig(number)
	c.Host.Count = hostCount
	c.Discovery = &config.Discovery{Servers: []string{server}, Root: "/site/bricks", SessionMS: 1000, RelistMS: 500}
	c.CacheDir = filepath.Join(dir, fmt.Sprint("cache-", number))
	c.Shards = 4
	c.Classes.Write.Ordered = false
	return c
}

func noDiscovery(ctx context.Context, opt *Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-no-discovery")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := dayConfig(0)
	log, err := opt.newCalls(dir)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	n := &quietNight{log: log, dice: newDice(opt.Seed, 6), opt: opt, dir: dir, report: &Report{}, regs: map[string]*membership.Registrar{}, shape: membership.Topology{Zones: c.Zones, Shards: 4},
		site: bricks.NewLogged(dir, opt.logs(dir), config.MS(c.Classes.Write.WindowMS), bricks.Cold{Within: config.MS(c.Rules.WarmWithinMS), From: c.Rules.ColdFrom,
			Multiple: c.Rules.ColdMultiple, Span: config.MS(c.Rules.ColdSpanMS), Units: c.Rules.ColdUnits, UnitsPerSec: 60})}
	n.roles = n.dice.Perm(hostCount)
	defer n.close()
	if err := n.play(ctx); err != nil {
		return nil, err
	}
	return n.report, n.judge(c)
}

func (n *quietNight) close() {
	for _, h := range n.hosts {
		h.endOutright()
	}
	for _, r := range n.regs {
		r.Close()
	}
	if n.coord != nil {
		n.coord.Close()
	}
	n.site.Close()
}

// brick starts a brick that is warm.
func (n *quietNight) brick(name string, shard int) (*bricks.Brick, error) {
	return n.site.Start(name, n.shape.Zones[shard%3], shard, fmt.Sprint("data-", name), false)
}

func (n *quietNight) play(ctx context.Context) error {
	var all []*bricks.Brick
	shards := n.dice.Perm(4)
	for i, name := range []string{"stays", "drains", "left", "replaced"} {
		b, err := n.brick(name, shards[i])
		if err != nil {
			return err
		}
		all = append(all, b)
	}
	n.stays, n.shard = shards[0], shards[3]
	ln, err := net.Listen("tcp", reopenedListen) // kept closed until discovery returns
	if err != nil {
		return err
	}
	n.port = ln.Addr().String()
	ln.Close()
	if n.mute, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	defer n.mute.Close()
	if n.wrong, err = n.brick("stranger", n.shard); err != nil {
		return err
	}
	if err := n.fillCaches(all); err != nil {
		return err
	}
	if err := n.startHosts(ctx); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	n.startClients(stop, &wg)
	if err := n.bringBack(ctx, all); err != nil {
		close(stop)
		wg.Wait()
		return err
	}
	close(stop)
	wg.Wait()
	for _, h := range n.hosts {
		if err := h.stop(writeWait + 5*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// fillCaches writes what each host kept before it was stopped.
func (n *quietNight) fillCaches(all []*bricks.Brick) error {
	now := time.Now()
	for number := range hostCount {
		role := n.roles[number]
		age := n.dice.span(1, 20)
		if role == hostDay {
			age = n.dice.span(8*3600, 72*3600)
		}
		list := &cache.List{Header: cache.Header{Version: 3, Source: "discovery", AcceptedAt: now.Add(-age).UnixMicro()}}
		for _, b := range all {
			e := b.Entry("")
			kept := cache.Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, LastConfirmed: list.AcceptedAt, LastServed: list.AcceptedAt}
			if e.Name == "replaced" && role == hostDay { // another brick listens there today
				kept.Address = n.wrong.Entry("").Address
			}
			if e.Name == "left" && role == hostDay { // connections are made there, and nothing is ever said
				kept.Address = n.mute.Addr().String()
			}
			list.Bricks = append(list.Bricks, kept)
		}
		if err := n.keep(number, list); err != nil {
			return err
		}
	}
	return nil
}

func (n *quietNight) keep(number int, list *cache.List) error {
	role := n.roles[number]
	if role == hostEmpty {
		return nil
	}
	path := nightConfig(n.dir, number, n.port).CacheDir
	dir, err := cache.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	if err := dir.Save(list); err != nil || role != hostDamaged {
		return err
	}
	if err := dir.Save(list); err != nil {
		return err
	}
	newest := filepath.Join(path, "members")
	text, err := os.ReadFile(newest)
	if err != nil {
		return err
	}
	text[n.dice.IntN(len(text))] ^= 1 << n.dice.IntN(8)
	return os.WriteFile(newest, text, 0o600)
}

func (n *quietNight) startHosts(ctx context.Context) error {
	for number := range hostCount {
		c := nightConfig(n.dir, number, n.port)
		guard := ""
		if n.opt.Guard == "expect" && n.roles[number] == hostDay {
			guard = n.opt.Guard
		}
		n.start[number] = time.Now()
		h, err := startProcess(ctx, n.opt, n.dir, number, c, guard)
		if err != nil {
			return err
		}
		n.hosts = append(n.hosts, h)
	}
	return nil
}

// nightClients are the clients of each host.
const nightClients = 6

// startClients lets clients write and read through each host.
func (n *quietNight) startClients(stop <-chan struct{}, wg *sync.WaitGroup) {
	for number, h := range n.hosts {
		for i := range nightClients {
			c := &clients.Client{Name: fmt.Sprintf("client-%d-%d", number, i), Target: h.target, Log: n.log}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer c.Close()
				tick := time.NewTicker(think)
				defer tick.Stop()
				for turn := 0; ; turn++ {
					select {
					case <-stop:
						return
					case <-tick.C:
					}
					key := fmt.Sprintf("/theses/%s/%d", c.Name, turn%20)
					body := []byte(fmt.Sprint(c.Name, turn))
					a := c.Do(&clients.Request{Method: "PUT", Path: key, Body: body, Wait: 2 * time.Second})
					if a.Call.Status == 200 {
						n.mu.Lock()
						if role := n.roles[number]; n.first[role] == 0 {
							n.first[role] = time.Since(n.start[number])
						}
						n.mu.Unlock()
						c.Do(&clients.Request{Method: "GET", Path: key, Want: body, Wait: 2 * time.Second})
					}
				}
			}()
		}
	}
}

// wait lets the hosts work for a while.
func wait(ctx context.Context, by time.Duration) error {
	t := time.NewTimer(by)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// bringBack lets discovery return while requests are out: first with a list,
// then within 100 ms with another, and later with an empty tree for a moment.
func (n *quietNight) bringBack(ctx context.Context, all []*bricks.Brick) error {
	if err := wait(ctx, n.dice.span(2.5, 5)); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", n.port)
	if err != nil {
		return fmt.Errorf("the service's port: %w", err)
	}
	n.coord = coord.Start(ln)
	op, events, err := zk.Connect([]string{n.port}, 5*time.Second, zk.WithLogger(noLog{}))
	if err != nil {
		return err
	}
	defer op.Close()
	for e := range events {
		if e.State == zk.StateHasSession {
			break
		}
	}
	newer, err := n.site.Start("new", n.shape.Zones[n.dice.IntN(3)], n.shard, "data-new", true)
	if err != nil {
		return err
	}
	acl := zk.WorldACL(zk.PermAll)
	entry := func(b *bricks.Brick, state string) []byte {
		text, _ := json.Marshal(b.Entry(state))
		return text
	}
	requests := []any{&zk.CreateRequest{Path: "/site", Acl: acl}, &zk.CreateRequest{Path: "/site/bricks", Acl: acl}}
	requests = append(requests, &zk.CreateRequest{Path: "/site/bricks/stays", Data: entry(all[0], ""), Acl: acl},
		&zk.CreateRequest{Path: "/site/bricks/drains", Data: entry(all[1], "draining"), Acl: acl})
	if _, err := op.Multi(requests...); err != nil {
		return fmt.Errorf("the tree: %w", err)
	}
	n.caps = []rules.Capacity{{Brick: "new", Started: newer.Started(), UnitsPerSec: 60}}
	n.back = time.Now()
	if err := wait(ctx, n.dice.span(0, 0.15)); err != nil {
		return err
	}
	if _, err := op.Create("/site/bricks/new", entry(newer, ""), 0, acl); err != nil {
		return err
	}
	for host := range hostCount {
		for brick, state := range map[string]string{"drains": membership.Draining, "left": membership.Gone, "replaced": membership.Gone} {
			n.told = append(n.told, rules.Told{Host: host, At: n.back.UnixMicro(), Brick: brick, State: state})
		}
	}
	if err := wait(ctx, n.dice.span(2, 3.5)); err != nil {
		return err
	}
	// Wiped in one transaction, and made again: hosts see no list in between.
	if _, err := op.Multi(&zk.DeleteRequest{Path: "/site/bricks/stays", Version: -1}, &zk.DeleteRequest{Path: "/site/bricks/drains", Version: -1},
		&zk.DeleteRequest{Path: "/site/bricks/new", Version: -1}); err != nil {
		return fmt.Errorf("the wipe: %w", err)
	}
	n.wiped = time.Now()
	if err := n.look(ctx, n.dice.span(0.8, 2.5)); err != nil {
		return err
	}
	n.remade = time.Now()
	if _, err := op.Multi(&zk.CreateRequest{Path: "/site/bricks/stays", Data: entry(all[0], ""), Acl: acl},
		&zk.CreateRequest{Path: "/site/bricks/drains", Data: entry(all[1], "draining"), Acl: acl},
		&zk.CreateRequest{Path: "/site/bricks/new", Data: entry(newer, ""), Acl: acl}); err != nil {
		return err
	}
	return wait(ctx, 1500*time.Millisecond)
}

// lookers are the clients that ask while the tree is empty.
const lookers = "looker-"

// look asks each host for what lies on the brick that stays, all the while. The
// writers' names alone would not do: half of them lie on bricks that are gone
// or drain, and a writer that met one waits for most of the time.
func (n *quietNight) look(ctx context.Context, by time.Duration) error {
	slots, err := placement.NewEven(n.shape.Shards)
	if err != nil {
		return err
	}
	until := time.Now().Add(by)
	tick := time.NewTicker(think)
	defer tick.Stop()
	for i := 0; time.Now().Before(until); i++ {
		key := fmt.Sprint("look/", i)
		if slots.Shard(placement.Object("theses", key)) != n.stays {
			continue
		}
		for number, h := range n.hosts {
			c := &clients.Client{Name: fmt.Sprint(lookers, number), Target: h.target, Log: n.log}
			c.Do(&clients.Request{Method: "GET", Path: "/theses/" + key, Wait: 2 * time.Second})
			c.Close()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

type noLog struct{}

// Printf drops the client library's lines.
func (noLog) Printf(string, ...any) {}

// reconnectWithin is how long a host may take to hear of a service that is
// back: its client tries once a second.
const reconnectWithin = 1500 * time.Millisecond

func (n *quietNight) judge(c *config.Config) error {
	f := rules.Figures{Slack: daySlack.Microseconds(), DrainGrace: micros(c.Rules.DrainGraceMS), ToldWithin: reconnectWithin.Microseconds(),
		Window: micros(c.Classes.Write.WindowMS), ColdFrom: c.Rules.ColdFrom, WarmWithin: micros(c.Rules.WarmWithinMS), ColdMultiple: c.Rules.ColdMultiple,
		ColdSpan: micros(c.Rules.ColdSpanMS), ColdUnits: c.Rules.ColdUnits, ResendFree: c.Rules.ResendFree, ResendRatio: c.Rules.ResendRatio,
		ResendSpan: micros(c.Rules.ResendSpanMS)}
	if err := n.report.checkRules(n.site, n.log, &rules.Script{Told: n.told, Capacities: n.caps, Stills: stood(n.hosts), Figures: f}); err != nil {
		return err
	}
	if err := n.claims(); err != nil {
		return err
	}
	n.report.note("no discovery, seed %d: first served after the process's start: %v (fresh, day-old, damaged, no list), discovery back after some seconds", n.opt.Seed, n.first)
	return nil
}

func (n *quietNight) claims() error {
	var wrote, early, refused, gap []string
	questions := 0
	for a, err := range n.site.Log().Each(0) {
		if err != nil {
			return err
		}
		if a.Brick == "stranger" && a.Status != 421 && a.Status != 0 {
			wrote = append(wrote, fmt.Sprintf("%s %s reached the stranger: %d", a.Method, a.Request, a.Status))
		}
		if a.Request == "probe" {
			questions++
		}
	}
	served, told := [hostCount]int{}, 0
	back := n.back.UnixMicro()
	wiped := n.wiped.UnixMicro()
	inWipe := 0
	for call, err := range n.log.Calls().Each(0) {
		if err != nil {
			return err
		}
		role := n.roles[call.Host]
		switch {
		case call.Status == 200 && call.Ended < back:
			served[role]++
		case role == hostEmpty && call.Ended < back:
			told++
			if call.Status != 503 || !call.RetryTold {
				refused = append(refused, fmt.Sprintf("%s %s: %d", call.Method, call.Key, call.Status))
			}
		case call.Sent > wiped+100_000 && call.Sent < n.remade.UnixMicro() && strings.HasPrefix(call.Client, lookers):
			inWipe++
			if call.Status != 404 { // a brick says so; nothing was written there
				gap = append(gap, fmt.Sprintf("%s by %s while the tree was empty: %d", call.Key, call.Client, call.Status))
			}
		}
	}
	for host, name := range []string{"fresh", "day-old", "damaged"} {
		if served[host] == 0 {
			early = append(early, "the host with the "+name+" list served nothing")
		}
	}
	if served[hostEmpty] > 0 {
		early = append(early, "the host without a list served")
	}
	if n.first[hostEmpty] == 0 {
		early = append(early, "the host without a list never served, though discovery came back")
	}
	if inWipe == 0 {
		gap = append(gap, "nothing was asked while the tree was empty")
	}
	n.report.add(wrote, "claim nothing is written at a wrong brick: %d questions asked, %d broken", questions, len(wrote))
	n.report.add(early, "claim kept lists serve: %v requests served before discovery, %d broken", served, len(early))
	n.report.add(refused, "claim without a list 503 and Retry-After: %d requests, %d broken", told, len(refused))
	n.report.add(gap, "claim an empty tree drops nobody: %d requests meanwhile, %d broken", inWipe, len(gap))
	return nil
}
