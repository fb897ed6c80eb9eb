package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk/internal/http1"
	standin "arrowwalk/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const settingsText = `{"peersTotal":1,"ordinal":0,"periodUs":2000,"zones":["a"],"novelty":{"x":1},
 "categories":[{"name":"fetch-text","aimUs":400000,"deadlineUs":2500000,"worth":2,"repeat":"read_like"},
  {"name":"save-paper","aimUs":500000,"deadlineUs":2500000,"worth":2,"repeat":"idempotency_key","dedupScope":"cell","windowUs":4000000}],
 "familyInfo":{"changesData":[false,true],"coldBears":29,"mostUnits":6,"unitMean":2,"saysOthers":true,"shards":2,"withinShare":0.35,"beyondShare":0.08},
 "limits":{"maxAttempts":4,"maxRetryAfterUs":500000,"retryAfter":true,"cancel":true,"connectTimeoutUs":250000,"idleCloseUs":15000000},
 "reporting":{"fields":["util"],"how":"inline"},
 "rules":{"coldFrom":0.23,"drainGraceUs":500000,"fallUs":1000000,"overloadFactor":4,"warmWithinUs":15000000},
 "serviceLevels":[{"name":"basic","usualRate":100,"parts":1,"worthFactor":1}]}`

func configText(over ...string) string {
	text := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":{"index":41,"snapshot":true,"endpoints":[]},"settings":` + settingsText + `}`
	for i := 0; i+1 < len(over); i += 2 {
		text = strings.Replace(text, over[i], over[i+1], 1)
	}
	return text
}

func none(string) string { return "" }

// A wrong configuration is refused with the name of its field.
func TestConfigNamesWhatIsWrong(t *testing.T) {
	for _, c := range []struct{ old, new, says string }{
		{`"127.0.0.1:1"`, `"127.0.0.1"`, "listen"},
		{`"127.0.0.1:2"`, `""`, "discovery"},
		{`8c1f30d27a5be964`, `seed`, "seed"},
		{`"limits":{"cores"`, `"limit":{"cores"`, "limits"},
		{`"sockets":256`, `"sockets":1`, "limits"},
		{`"endpoints":[]`, `"endpoints":[{"name":"x","status":"odd"}]`, "known.endpoints[0].status"},
		{`"settings"`, `"setting"`, "settings"},
		{`"read_like"`, `"odd"`, "fetch-text"},
		{`"cell"`, `"odd"`, "save-paper"},
		{`{"name":"n1"`, `{"name":7`, "name"},
	} {
		if _, err := ParseConfig([]byte(configText(c.old, c.new)), none); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := LoadConfig(none); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("no GW_CONFIG: %v", err)
	}
	lost := filepath.Join(t.TempDir(), "lost.json")
	if _, err := LoadConfig(func(string) string { return lost }); err == nil || !strings.Contains(err.Error(), lost) {
		t.Errorf("no file: %v", err)
	}
	cfg, err := ParseConfig([]byte(configText()), func(name string) string { return map[string]string{"GW_LISTEN": "127.0.0.1:9"}[name] })
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Listen != "127.0.0.1:9" || cfg.Settings.Seed != 0x8c1f30d27a5be964 || cfg.Settings.IdleClose != 15_000_000 ||
		fmt.Sprint(cfg.Settings.Unknown) != "[novelty]" || !cfg.Settings.Classes[1].Writes {
		t.Errorf("%+v", cfg.Settings)
	}
}

// Clients, bricks and the host's own share the descriptors; bricks have one for
// each request that clients may have open.
func TestBudget(t *testing.T) {
	for _, l := range []Limits{{0.3, 32, 256}, {0.5, 64, 384}, {1, 192, 1024}} {
		b := share(l)
		if b.clients+b.bricks+ownSockets > l.Sockets || b.clients < l.Sockets/3+l.Sockets/10 || b.bricks < l.Sockets/3 {
			t.Errorf("%+v: %+v", l, b)
		}
		if b.bodies < 2<<20 || b.bodies+b.answers > int64(l.MemoryMB*(1<<20)) {
			t.Errorf("%+v: %+v", l, b)
		}
	}
}

// rig is a host in this process with bricks, an agent and a log.
type rig struct {
	t      *testing.T
	p      *Instance
	log    *standin.Log
	book   *standin.Book
	agent  *standin.Agent
	bricks []*standin.Brick
	text   bytes.Buffer
	mu     sync.Mutex
}

func (r *rig) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

// newRig starts a host with two bricks; change may alter the configuration.
func newRig(t *testing.T, without DisabledGuards, change ...string) *rig {
	t.Helper()
	r := &rig{t: t, log: standin.NewLog(), book: standin.NewBook(41)}
	for group := range 2 {
		b := &standin.Brick{Name: fmt.Sprint("b-", group), Zone: "a", Group: group}
		if err := b.Start(r.log); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Stop)
		r.bricks = append(r.bricks, b)
		r.book.Tell(b.Entry("active"))
	}
	var err error
	if r.agent, err = standin.NewAgent(r.book); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.agent.Stop)
	cfg, err := ParseConfig([]byte(configText(append([]string{"127.0.0.1:2", r.agent.Addr(), "127.0.0.1:1", "127.0.0.1:0"}, change...)...)), none)
	if err != nil {
		t.Fatal(err)
	}
	if r.p, err = Start(cfg, slog.New(slog.NewTextHandler(r, nil)), without); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *rig) client(name string) *standin.Client {
	return &standin.Client{Name: name, Addr: r.p.Addr, Log: r.log}
}

func (r *rig) read(n int) *standin.Request {
	return &standin.Request{Class: "fetch-text", Volume: 7, Piece: uint64(n), Plan: "basic", Units: 1, Shard: n % 2, Hosts: 1, Wait: 2 * time.Second}
}

// served asks until an answer comes: the first list is on its way.
func (r *rig) served() {
	r.t.Helper()
	c := r.client("first")
	defer c.Close()
	for n := range 200 {
		if c.Do(r.read(n)) == 200 {
			return
		}
	}
	r.t.Fatal("nothing is served")
}

// A read and a write go to their bricks and back unchanged.
func TestServes(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	defer r.p.Stop(context.Background())
	r.served()
	c := r.client("c")
	defer c.Close()
	write := &standin.Request{Class: "save-paper", Volume: 7, Piece: 3, Plan: "basic", Units: 2, Shard: 1, Hosts: 1, Write: true, Body: "a paper", Wait: time.Second}
	for n := range 20 {
		if got := c.Do(r.read(n)); got != 200 {
			t.Errorf("read %d: %d", n, got)
		}
		if got := c.Do(write); got != 200 {
			t.Errorf("write %d: %d", n, got)
		}
	}
	_, calls := r.log.Trace()
	for _, call := range calls {
		if call.Wrong || call.Extra {
			t.Errorf("%+v", call)
		}
	}
	if len(r.log.Foreign) > 0 {
		t.Errorf("bricks got what no client sent: %v", r.log.Foreign)
	}
	if !strings.Contains(r.text.String(), "novelty") {
		t.Errorf("unknown settings are not logged:\n%s", r.text.String())
	}
}

// Strangers get an error or a close in time, no brick sees them, and a usual
// client is served beside them.
func TestStrangers(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	defer r.p.Stop(context.Background())
	r.served()
	r.bricks[0].Take(500 * time.Millisecond) // keeps an id open
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c := r.client("open")
		defer c.Close()
		if got := c.Do(r.read(0)); got != 200 {
			t.Errorf("the open request: %d", got)
		}
	}()
	for arrivals, _ := r.log.Trace(); !strings.Contains(fmt.Sprint(arrivals), "open000001"); arrivals, _ = r.log.Trace() {
		time.Sleep(time.Millisecond)
	}
	for _, s := range standin.Strangers("open000001") {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := s.Visit(r.p.Addr()); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if len(r.log.Foreign) > 0 {
		t.Errorf("bricks got what no client sent: %v", r.log.Foreign)
	}
}

// Hundreds that connect and stay silent give way, and usual clients do not.
func TestSilentOnesGiveWay(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	defer r.p.Stop(context.Background())
	r.served()
	kept := r.client("kept")
	defer kept.Close()
	if got := kept.Do(r.read(1)); got != 200 {
		t.Fatal(got)
	}
	for n := range 500 {
		nc, err := net.Dial("tcp", r.p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if n%50 == 0 {
			c := r.client(fmt.Sprint("new", n, "-"))
			if got := c.Do(r.read(n)); got != 200 {
				t.Errorf("beside %d silent ones: %d", n, got)
			}
			c.Close()
		}
	}
	if got := kept.Do(r.read(2)); got != 200 {
		t.Errorf("the kept connection: %d", got)
	}
	if s := r.p.server.Stats(); s.Conns > 256 || s.Evicted == 0 || s.TurnedAway != 0 {
		t.Errorf("%+v", s)
	}
}

// Clients that ask once and keep their connection for good give way by time
// alone: nobody else need connect for that.
func TestKeptForGood(t *testing.T) {
	r := newRig(t, DisabledGuards{}, `"sockets":256`, `"sockets":96`)
	defer r.p.Stop(context.Background())
	r.served()
	var kept []*standin.Client
	began := time.Now()
	for n := range 30 {
		c := r.client(fmt.Sprint("kept", n, "-"))
		defer c.Close()
		if got := c.Do(r.read(n)); got != 200 {
			t.Fatal(got)
		}
		kept = append(kept, c)
		if s := r.p.server.Stats(); s.Conns > 96/6+1 {
			t.Fatalf("first-timers are kept over the bound: %+v", s)
		}
	}
	for s := r.p.server.Stats(); s.Conns >= 96/6; s = r.p.server.Stats() {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("%+v", s)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if r.p.server.Stats().Evicted > 0 && time.Since(began) < 1900*time.Millisecond {
		t.Errorf("closed after %s: 2 s are theirs", time.Since(began))
	}
	for n, c := range kept { // those that were closed connect anew
		if got := c.Do(r.read(n)); got != 200 {
			t.Errorf("client %d: %d", n, got)
		}
	}
}

// At a planned restart new connections are taken for a while, kept ones served
// for as long as there is time and then told to connect anew, and what was taken
// has its answer before the host would be killed.
func TestStop(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	r.served()
	r.bricks[0].Take(700 * time.Millisecond)
	kept := r.client("kept")
	defer kept.Close()
	if got := kept.Do(r.read(1)); got != 200 {
		t.Fatal(got)
	}
	slow := make(chan int)
	go func() {
		c := r.client("slow")
		defer c.Close()
		slow <- c.Do(r.read(0))
	}()
	for arrivals, _ := r.log.Trace(); !strings.Contains(fmt.Sprint(arrivals), "slow000001"); arrivals, _ = r.log.Trace() {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	began := time.Now()
	go func() {
		r.p.Stop(context.Background())
		close(stopped)
	}()
	for n := 0; time.Since(began) < 300*time.Millisecond; n++ {
		c := r.client(fmt.Sprint("late", n, "-"))
		if got := c.Do(r.read(1)); got != 200 {
			t.Errorf("%s after the signal: %d", time.Since(began), got)
		}
		c.Close()
	}
	if got := <-slow; got != 200 {
		t.Errorf("what was taken before the signal: %d", got)
	}
	_, calls := r.log.Trace()
	before := len(calls)
	for at := time.Duration(0); at < 2500*time.Millisecond; at = time.Since(began) {
		if got := kept.Do(r.read(1)); got != 200 {
			t.Fatalf("on the kept connection %s after the signal: %d", at, got)
		}
	}
	r.bricks[1].Take(10 * time.Second) // longer than there is time
	if got := kept.Do(r.read(1)); got != 503 {
		t.Errorf("what can't be served before the end: %d", got)
	}
	<-stopped
	if took := time.Since(began); took > 3700*time.Millisecond { // a busy machine gives the test its time late
		t.Errorf("stopping took %s of 3.2 s", took)
	}
	if _, calls = r.log.Trace(); len(calls) < before+10 {
		t.Errorf("%d requests on the kept connection", len(calls)-before)
	}
	if nc, err := net.Dial("tcp", r.p.Addr()); err == nil {
		nc.Close()
		t.Error("a stopped host takes connections")
	}
}

// A client that leaves costs neither its brick's connection nor a false word to
// the module: the attempt ends as it ends, and nothing of it is kept.
func TestAttemptOutlivesItsClient(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	r.served()
	r.bricks[0].Take(300 * time.Millisecond)
	_, _, dialed := r.p.sender.Counts()
	ok := r.p.host.Stats().Attempts["ok"]
	for n := range 3 {
		nc, err := net.Dial("tcp", r.p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET /fetch-text/0000000000000007/0000000000000002 HTTP/1.1\r\nHost: s\r\nX-Request-ID: leaves%d\r\nX-Plan: basic\r\nX-Timeout: 2\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n", n)
		for arrivals, _ := r.log.Trace(); !strings.Contains(fmt.Sprint(arrivals), fmt.Sprint("leaves", n)); arrivals, _ = r.log.Trace() {
			time.Sleep(time.Millisecond)
		}
		nc.Close()
		for r.p.host.Stats().Attempts["ok"] != ok+uint64(n)+1 {
			time.Sleep(time.Millisecond)
		}
	}
	if s := r.p.host.Stats(); s.Attempts["cancelled"] != 0 {
		t.Errorf("attempts %v", s.Attempts)
	}
	if _, _, now := r.p.sender.Counts(); now-dialed > 1 {
		t.Errorf("%d new connections for 3 requests in turn", now-dialed)
	}
	if running := r.p.host.Snapshot().Running; len(running) != 0 {
		t.Errorf("kept: %+v", running)
	}
	r.p.Stop(context.Background())
}

// In a planned restart no connection is closed for want of room while there is
// time: its client could not connect anew.
func TestStopKeepsACrowd(t *testing.T) {
	r := newRig(t, DisabledGuards{}, `"sockets":256`, `"sockets":96`)
	r.served()
	stopped := make(chan struct{})
	var crowd []*standin.Client
	for n := range 12 {
		c := r.client(fmt.Sprint("crowd", n, "-"))
		defer c.Close()
		crowd = append(crowd, c)
		if got := c.Do(r.read(n)); got != 200 {
			t.Fatal(got)
		}
	}
	began := time.Now()
	go func() {
		r.p.Stop(context.Background())
		close(stopped)
	}()
	for !r.p.server.Stats().Draining {
		time.Sleep(time.Millisecond)
	}
	for n := range 20 { // new ones may come for a while, and are more than are kept elsewise
		c := r.client(fmt.Sprint("more", n, "-"))
		defer c.Close()
		crowd = append(crowd, c)
		if got := c.Do(r.read(n)); got != 200 {
			t.Fatal(got)
		}
	}
	for round := 0; time.Since(began) < 2400*time.Millisecond; round++ {
		for n, c := range crowd {
			if got := c.Do(r.read(n)); got != 200 && time.Since(began) < 2500*time.Millisecond {
				t.Fatalf("round %d, client %d: %d", round, n, got)
			}
		}
		if conns := r.p.server.ConnCount(); conns < len(crowd) && time.Since(began) < 2600*time.Millisecond {
			t.Fatalf("round %d: %d connections of %d are left", round, conns, len(crowd))
		}
	}
	<-stopped
}

// Bricks, clients and ids that come and go leave nothing behind.
func TestNothingGrows(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	defer r.p.Stop(context.Background())
	r.served()
	goroutines := runtime.NumGoroutine()
	before, _, _ := r.p.sender.Counts()
	for n := range 300 {
		next := r.bricks[0].Entry("active") // the same place under a new name
		next.Name = fmt.Sprint("new-", n)
		last := next
		last.Name, last.Status = fmt.Sprint("new-", n-1), "left"
		if n == 0 {
			last.Name = r.bricks[0].Name
		}
		r.book.Tell(last, next)
		c := r.client(fmt.Sprint("client", n, "-"))
		c.Do(r.read(n))
		if got := c.Do(r.read(1)); got != 200 {
			t.Errorf("round %d: %d", n, got)
		}
		c.Close()
	}
	open, _, _ := r.p.sender.Counts() // each has a goroutine of the stand-in's
	for began := time.Now(); runtime.NumGoroutine() > goroutines+8+open-before; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), goroutines)
		}
	}
	s := r.p.host.Snapshot()
	if len(s.Members) != 2 || len(s.Nodes) != 2 || len(s.Running) != 0 || open > 16 { // eight a brick, as they rest
		t.Errorf("%d members, %d nodes, %d requests, %d connections to bricks are kept", len(s.Members), len(s.Nodes), len(s.Running), open)
	}
}

// Without discovery the host serves from the list that it knew.
func TestServesFromWhatWasKnown(t *testing.T) {
	log := standin.NewLog()
	b := &standin.Brick{Name: "known", Zone: "a", Group: 0}
	if err := b.Start(log); err != nil {
		t.Fatal(err)
	}
	defer b.Stop()
	known := fmt.Sprintf(`"endpoints":[{"name":"known","address":%q,"zone":"a","group":0,"status":"active","since_ms":0}]`, b.Addr())
	cfg, err := ParseConfig([]byte(configText(`"endpoints":[]`, known, "127.0.0.1:1", "127.0.0.1:0")), none)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = "127.0.0.1:1" // nobody listens there
	p, err := Start(cfg, slog.New(slog.DiscardHandler), DisabledGuards{})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Stop(context.Background())
	c := &standin.Client{Name: "c", Addr: p.Addr, Log: log}
	defer c.Close()
	q := &standin.Request{Class: "fetch-text", Volume: 7, Piece: 1, Plan: "basic", Units: 1, Hosts: 1, Wait: 2 * time.Second}
	for n := range 10 {
		if got := c.Do(q); got != 200 {
			t.Errorf("request %d: %d", n, got)
		}
	}
}

// A new configuration moves the watch; a drained brick gets nothing new.
func TestReload(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	defer r.p.Stop(context.Background())
	r.served()
	other, err := standin.NewAgent(r.book)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	next, err := ParseConfig([]byte(configText("127.0.0.1:2", other.Addr())), none)
	if err != nil {
		t.Fatal(err)
	}
	r.agent.Retire()
	r.p.Reload(next)
	r.p.Reload(next)
	r.book.Tell(r.bricks[0].Entry("leaving"))
	c := r.client("c")
	defer c.Close()
	quick := r.read(0)
	quick.Wait = 100 * time.Millisecond
	for n := 0; c.Do(quick) == 200; n++ {
		if n == 2000 {
			t.Fatal("the change at the new address is not followed")
		}
		time.Sleep(time.Millisecond)
	}
	if got := c.Do(r.read(1)); got != 200 {
		t.Errorf("the other brick: %d", got)
	}
}

// A refused request's answer arrives though its sender still sends.
func TestAnswerArrivesUnderAFlood(t *testing.T) {
	r := newRig(t, DisabledGuards{})
	defer r.p.Stop(context.Background())
	for range 5 {
		nc, err := net.Dial("tcp", r.p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprint(nc, "PUT /save-paper/0000000000000001/0000000000000001 HTTP/1.1\r\nHost: s\r\nContent-Length: 62914560\r\n\r\n")
		go io.Copy(nc, io.LimitReader(zeros{}, 60<<20))
		var head http1.Response
		if err := http1.NewReader(bufio.NewReader(nc), http1.DefaultLimits).ReadResponse(&head, "PUT"); err != nil || head.Status != 413 {
			t.Errorf("%d, %v", head.Status, err)
		}
		nc.Close()
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

func FuzzConfig(f *testing.F) {
	f.Add([]byte(configText()))
	f.Add([]byte(`{"limits":{},"settings":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if cfg, err := ParseConfig(text, none); err == nil {
			if b := share(cfg.Limits); b.clients <= 0 || b.bricks <= 0 {
				t.Errorf("%+v of %+v", b, cfg.Limits)
			}
		}
	})
}
