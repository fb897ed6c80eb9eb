package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
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

// TestMain lets the test binary also run a host, so that tests can stall its
// process.
func TestMain(m *testing.M) {
	if path := os.Getenv(childHostEnv); path != "" {
		if err := runChildHost(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

const settingsText = `{"peersTotal":1,"ordinal":0,"periodUs":2000,"zones":["a"],"novelty":{"x":1},
 "categories":[{"name":"fetch-text","aimUs":400000,"deadlineUs":2500000,"worth":2,"repeat":"read_like"},
  {"name":"save-paper","aimUs":500000,"deadlineUs":2500000,"worth":2,"repeat":"idempotency_key","dedupScope":"cell","windowUs":4000000}],
 "familyInfo":{"changesData":[false,true],"coldBears":29,"mostUnits":6,"unitMean":2,"saysOthers":true,"shards":2,"withinShare":0.35,"beyondShare":0.08},
 "limits":{"maxAttempts":4,"maxRetryAfterUs":500000,"retryAfter":true,"cancel":true,"connectTimeoutUs":250000,"idleCloseUs":15000000},
 "reporting":{"fields":["util"],"how":"inline"},
 "rules":{"coldFrom":0.23,"drainGraceUs":500000,"fallUs":1000000,"overloadFactor":4,"warmWithinUs":15000000},
 "serviceLevels":[{"name":"basic","usualRate":100,"parts":1,"worthFactor":1}]}`

// configText returns a valid configuration. Each pair of replacements is a text
// that is replaced once and its replacement.
func configText(replacements ...string) string {
	text := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":{"index":41,"snapshot":true,"endpoints":[]},"settings":` + settingsText + `}`
	for i := 0; i+1 < len(replacements); i += 2 {
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	return text
}

func emptyEnv(string) string { return "" }

// An invalid configuration is rejected with an error that names the field.
func TestConfigNamesWhatIsWrong(t *testing.T) {
	for _, c := range []struct{ old, new, wantText string }{
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
		if _, err := ParseConfig([]byte(configText(c.old, c.new)), emptyEnv); err == nil || !strings.Contains(err.Error(), c.wantText) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := LoadConfig(emptyEnv); err == nil || !strings.Contains(err.Error(), "GW_CONFIG") {
		t.Errorf("no GW_CONFIG: %v", err)
	}
	missing := filepath.Join(t.TempDir(), "lost.json")
	if _, err := LoadConfig(func(string) string { return missing }); err == nil || !strings.Contains(err.Error(), missing) {
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

// The descriptors of clients, of bricks and of the host itself stay within the
// limit, with a brick connection for each request that clients may have in
// progress.
func TestBudget(t *testing.T) {
	for _, l := range []Limits{{0.3, 32, 256}, {0.5, 64, 384}, {1, 192, 1024}} {
		b := divideLimits(l)
		if b.clientConns+b.brickConns+reservedDescriptors > l.Sockets || b.clientConns < l.Sockets/3+l.Sockets/10 || b.brickConns < l.Sockets/3 {
			t.Errorf("%+v: %+v", l, b)
		}
		if b.requestBytes < 2<<20 || b.requestBytes+b.responseBytes > int64(l.MemoryMB*(1<<20)) {
			t.Errorf("%+v: %+v", l, b)
		}
	}
}

// testPlatform is a host in this process with simulated bricks and an agent. It
// collects the host's log output.
type testPlatform struct {
	t      *testing.T
	inst   *Instance
	log    *standin.Log
	book   *standin.Book
	agent  *standin.Agent
	bricks []*standin.Brick
	output bytes.Buffer // guarded by mu
	mu     sync.Mutex
}

func (p *testPlatform) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// newTestPlatform starts a host with two bricks; replacements alter the
// configuration.
func newTestPlatform(t *testing.T, disabled DisabledGuards, replacements ...string) *testPlatform {
	t.Helper()
	p := &testPlatform{t: t, log: standin.NewLog(), book: standin.NewBook(41)}
	for group := range 2 {
		b := &standin.Brick{Name: fmt.Sprint("b-", group), Zone: "a", Group: group}
		if err := b.Start(p.log); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Stop)
		p.bricks = append(p.bricks, b)
		p.book.Tell(b.Entry("active"))
	}
	var err error
	if p.agent, err = standin.NewAgent(p.book); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.agent.Stop)
	cfg, err := ParseConfig([]byte(configText(append([]string{"127.0.0.1:2", p.agent.Addr(), "127.0.0.1:1", "127.0.0.1:0"}, replacements...)...)), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	if p.inst, err = Start(cfg, slog.New(slog.NewTextHandler(p, nil)), disabled); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *testPlatform) client(name string) *standin.Client {
	return &standin.Client{Name: name, Addr: p.inst.Addr, Log: p.log}
}

func (p *testPlatform) read(n int) *standin.Request {
	return &standin.Request{Class: "fetch-text", Volume: 7, Piece: uint64(n), Plan: "basic", Units: 1, Shard: n % 2, Hosts: 1, Wait: 2 * time.Second}
}

// waitReady sends reads until one succeeds, since the bricks may not be known yet.
func (p *testPlatform) waitReady() {
	p.t.Helper()
	c := p.client("first")
	defer c.Close()
	for n := range 200 {
		if c.Do(p.read(n)) == 200 {
			return
		}
	}
	p.t.Fatal("no request succeeded")
}

// Reads and writes are forwarded to their bricks and answered unchanged.
func TestServes(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	defer p.inst.Stop(context.Background())
	p.waitReady()
	c := p.client("c")
	defer c.Close()
	write := &standin.Request{Class: "save-paper", Volume: 7, Piece: 3, Plan: "basic", Units: 2, Shard: 1, Hosts: 1, Write: true, Body: "a paper", Wait: time.Second}
	for n := range 20 {
		if got := c.Do(p.read(n)); got != 200 {
			t.Errorf("read %d: %d", n, got)
		}
		if got := c.Do(write); got != 200 {
			t.Errorf("write %d: %d", n, got)
		}
	}
	_, calls := p.log.Trace()
	for _, call := range calls {
		if call.Wrong || call.Extra {
			t.Errorf("%+v", call)
		}
	}
	if len(p.log.Foreign) > 0 {
		t.Errorf("bricks received requests that no client sent: %v", p.log.Foreign)
	}
	if !strings.Contains(p.output.String(), "novelty") {
		t.Errorf("unknown settings are not logged:\n%s", p.output.String())
	}
}

// Clients that violate the protocol get an error or a close in time and are not
// forwarded to a brick. A regular client is served meanwhile.
func TestStrangers(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	defer p.inst.Stop(context.Background())
	p.waitReady()
	p.bricks[0].Take(500 * time.Millisecond) // keeps a request with its id in progress
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		c := p.client("open")
		defer c.Close()
		if got := c.Do(p.read(0)); got != 200 {
			t.Errorf("the request in progress: %d", got)
		}
	}()
	for arrivals, _ := p.log.Trace(); !strings.Contains(fmt.Sprint(arrivals), "open000001"); arrivals, _ = p.log.Trace() {
		time.Sleep(time.Millisecond)
	}
	for _, s := range standin.Strangers("open000001") {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := s.Visit(p.inst.Addr()); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if len(p.log.Foreign) > 0 {
		t.Errorf("bricks received requests that no client sent: %v", p.log.Foreign)
	}
}

// Hundreds of connections without a request are evicted, those of regular clients
// are not.
func TestSilentOnesGiveWay(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	defer p.inst.Stop(context.Background())
	p.waitReady()
	kept := p.client("kept")
	defer kept.Close()
	if got := kept.Do(p.read(1)); got != 200 {
		t.Fatal(got)
	}
	for n := range 500 {
		nc, err := net.Dial("tcp", p.inst.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if n%50 == 0 {
			c := p.client(fmt.Sprint("new", n, "-"))
			if got := c.Do(p.read(n)); got != 200 {
				t.Errorf("with %d silent connections: %d", n, got)
			}
			c.Close()
		}
	}
	if got := kept.Do(p.read(2)); got != 200 {
		t.Errorf("the kept connection: %d", got)
	}
	if s := p.inst.server.Stats(); s.Conns > 256 || s.Evicted == 0 || s.TurnedAway != 0 {
		t.Errorf("%+v", s)
	}
}

// Connections of clients that send one request and then keep the connection open
// are evicted after the minimum idle time, without another client connecting.
func TestKeptForGood(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{}, `"sockets":256`, `"sockets":96`)
	defer p.inst.Stop(context.Background())
	p.waitReady()
	var kept []*standin.Client
	began := time.Now()
	for n := range 30 {
		c := p.client(fmt.Sprint("kept", n, "-"))
		defer c.Close()
		if got := c.Do(p.read(n)); got != 200 {
			t.Fatal(got)
		}
		kept = append(kept, c)
		// The server ends a connection shortly after its client has read the response.
		// One that is kept stays for at least 2 s.
		answered := time.Now()
		for s := p.inst.server.Stats(); s.Conns > 96/6+1; s = p.inst.server.Stats() {
			if time.Since(answered) > 500*time.Millisecond {
				t.Fatalf("connections after a first response are kept beyond the threshold: %+v", s)
			}
			time.Sleep(time.Millisecond)
		}
	}
	for s := p.inst.server.Stats(); s.Conns >= 96/6; s = p.inst.server.Stats() {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("%+v", s)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if p.inst.server.Stats().Evicted > 0 && time.Since(began) < 1900*time.Millisecond {
		t.Errorf("closed after %s, want 2 s or more", time.Since(began))
	}
	for n, c := range kept { // clients whose connection was closed reconnect
		if got := c.Do(p.read(n)); got != 200 {
			t.Errorf("client %d: %d", n, got)
		}
	}
}

// During a shutdown new connections are accepted for a while. Open connections are
// served for as long as there is time, then their clients are asked to reconnect.
// Every received request is answered before the platform would kill the host.
func TestStop(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	p.waitReady()
	p.bricks[0].Take(700 * time.Millisecond)
	kept := p.client("kept")
	defer kept.Close()
	if got := kept.Do(p.read(1)); got != 200 {
		t.Fatal(got)
	}
	slow := make(chan int)
	go func() {
		c := p.client("slow")
		defer c.Close()
		slow <- c.Do(p.read(0))
	}()
	for arrivals, _ := p.log.Trace(); !strings.Contains(fmt.Sprint(arrivals), "slow000001"); arrivals, _ = p.log.Trace() {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	began := time.Now()
	go func() {
		p.inst.Stop(context.Background())
		close(stopped)
	}()
	for n := 0; time.Since(began) < 300*time.Millisecond; n++ {
		c := p.client(fmt.Sprint("late", n, "-"))
		if got := c.Do(p.read(1)); got != 200 {
			t.Errorf("%s after the signal: %d", time.Since(began), got)
		}
		c.Close()
	}
	if got := <-slow; got != 200 {
		t.Errorf("the request from before the signal: %d", got)
	}
	_, calls := p.log.Trace()
	before := len(calls)
	for at := time.Duration(0); at < 2500*time.Millisecond; at = time.Since(began) {
		if got := kept.Do(p.read(1)); got != 200 {
			t.Fatalf("on the open connection %s after the signal: %d", at, got)
		}
	}
	p.bricks[1].Take(10 * time.Second) // longer than the time left
	if got := kept.Do(p.read(1)); got != 503 {
		t.Errorf("a request that cannot be served in time: %d", got)
	}
	<-stopped
	if took := time.Since(began); took > 3700*time.Millisecond { // 3.2 s and a margin for a busy machine
		t.Errorf("the shutdown took %s, want 3.2 s", took)
	}
	if _, calls = p.log.Trace(); len(calls) < before+10 {
		t.Errorf("%d requests on the open connection", len(calls)-before)
	}
	if nc, err := net.Dial("tcp", p.inst.Addr()); err == nil {
		nc.Close()
		t.Error("a stopped host accepts connections")
	}
}

// When a client disconnects, its attempt continues: the connection to the brick is
// kept, the scheduler gets the attempt's real outcome, and no state remains.
func TestAttemptOutlivesItsClient(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	p.waitReady()
	p.bricks[0].Take(300 * time.Millisecond)
	_, _, dialed := p.inst.sender.Counts()
	succeeded := p.inst.host.Stats().Attempts["ok"]
	for n := range 3 {
		nc, err := net.Dial("tcp", p.inst.Addr())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(nc, "GET /fetch-text/0000000000000007/0000000000000002 HTTP/1.1\r\nHost: s\r\nX-Request-ID: leaves%d\r\nX-Plan: basic\r\nX-Timeout: 2\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n", n)
		for arrivals, _ := p.log.Trace(); !strings.Contains(fmt.Sprint(arrivals), fmt.Sprint("leaves", n)); arrivals, _ = p.log.Trace() {
			time.Sleep(time.Millisecond)
		}
		nc.Close()
		for p.inst.host.Stats().Attempts["ok"] != succeeded+uint64(n)+1 {
			time.Sleep(time.Millisecond)
		}
	}
	if s := p.inst.host.Stats(); s.Attempts["cancelled"] != 0 {
		t.Errorf("attempts %v", s.Attempts)
	}
	if _, _, total := p.inst.sender.Counts(); total-dialed > 1 {
		t.Errorf("%d new connections for 3 sequential requests", total-dialed)
	}
	if running := p.inst.host.Snapshot().Running; len(running) != 0 {
		t.Errorf("requests that remain: %+v", running)
	}
	p.inst.Stop(context.Background())
}

// During a shutdown no connection is evicted while there is time, since its client
// could not reconnect.
func TestStopKeepsACrowd(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{}, `"sockets":256`, `"sockets":96`)
	p.waitReady()
	stopped := make(chan struct{})
	var clients []*standin.Client
	for n := range 12 {
		c := p.client(fmt.Sprint("crowd", n, "-"))
		defer c.Close()
		clients = append(clients, c)
		if got := c.Do(p.read(n)); got != 200 {
			t.Fatal(got)
		}
	}
	began := time.Now()
	go func() {
		p.inst.Stop(context.Background())
		close(stopped)
	}()
	for !p.inst.server.Stats().Draining {
		time.Sleep(time.Millisecond)
	}
	for n := range 20 { // more than are kept outside of a shutdown
		c := p.client(fmt.Sprint("more", n, "-"))
		defer c.Close()
		clients = append(clients, c)
		if got := c.Do(p.read(n)); got != 200 {
			t.Fatal(got)
		}
	}
	for round := 0; time.Since(began) < 2400*time.Millisecond; round++ {
		for n, c := range clients {
			if got := c.Do(p.read(n)); got != 200 && time.Since(began) < 2500*time.Millisecond {
				t.Fatalf("round %d, client %d: %d", round, n, got)
			}
		}
		if conns := p.inst.server.ConnCount(); conns < len(clients) && time.Since(began) < 2600*time.Millisecond {
			t.Fatalf("round %d: %d of %d connections are left", round, conns, len(clients))
		}
	}
	<-stopped
}

// State does not grow with the number of bricks, clients and ids over time.
func TestNothingGrows(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	defer p.inst.Stop(context.Background())
	p.waitReady()
	goroutines := runtime.NumGoroutine()
	before, _, _ := p.inst.sender.Counts()
	for n := range 300 {
		next := p.bricks[0].Entry("active") // the same address under a new name
		next.Name = fmt.Sprint("new-", n)
		previous := next
		previous.Name, previous.Status = fmt.Sprint("new-", n-1), "left"
		if n == 0 {
			previous.Name = p.bricks[0].Name
		}
		p.book.Tell(previous, next)
		c := p.client(fmt.Sprint("client", n, "-"))
		c.Do(p.read(n))
		if got := c.Do(p.read(1)); got != 200 {
			t.Errorf("round %d: %d", n, got)
		}
		c.Close()
	}
	open, _, _ := p.inst.sender.Counts() // the simulated brick has a goroutine for each
	for began := time.Now(); runtime.NumGoroutine() > goroutines+8+open-before; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), goroutines)
		}
	}
	s := p.inst.host.Snapshot()
	if len(s.Members) != 2 || len(s.Nodes) != 2 || len(s.Running) != 0 || open > 16 { // up to 8 idle ones for each brick, since they rest before reuse
		t.Errorf("%d members, %d nodes, %d requests, %d connections to bricks remain", len(s.Members), len(s.Nodes), len(s.Running), open)
	}
}

// Without discovery the host serves with the bricks in its configuration.
func TestServesFromWhatWasKnown(t *testing.T) {
	log := standin.NewLog()
	b := &standin.Brick{Name: "known", Zone: "a", Group: 0}
	if err := b.Start(log); err != nil {
		t.Fatal(err)
	}
	defer b.Stop()
	known := fmt.Sprintf(`"endpoints":[{"name":"known","address":%q,"zone":"a","group":0,"status":"active","since_ms":0}]`, b.Addr())
	cfg, err := ParseConfig([]byte(configText(`"endpoints":[]`, known, "127.0.0.1:1", "127.0.0.1:0")), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Discovery = "127.0.0.1:1" // connection refused
	inst, err := Start(cfg, slog.New(slog.DiscardHandler), DisabledGuards{})
	if err != nil {
		t.Fatal(err)
	}
	defer inst.Stop(context.Background())
	c := &standin.Client{Name: "c", Addr: inst.Addr, Log: log}
	defer c.Close()
	q := &standin.Request{Class: "fetch-text", Volume: 7, Piece: 1, Plan: "basic", Units: 1, Hosts: 1, Wait: 2 * time.Second}
	for n := range 10 {
		if got := c.Do(q); got != 200 {
			t.Errorf("request %d: %d", n, got)
		}
	}
}

// After Reload the watch uses the new address. A drained brick gets no new
// requests.
func TestReload(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	defer p.inst.Stop(context.Background())
	p.waitReady()
	other, err := standin.NewAgent(p.book)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	next, err := ParseConfig([]byte(configText("127.0.0.1:2", other.Addr())), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	p.agent.Retire()
	p.inst.Reload(next)
	p.inst.Reload(next)
	p.book.Tell(p.bricks[0].Entry("leaving"))
	c := p.client("c")
	defer c.Close()
	impatient := p.read(0)
	impatient.Wait = 100 * time.Millisecond
	for n := 0; c.Do(impatient) == 200; n++ {
		if n == 2000 {
			t.Fatal("the change from the new address is not applied")
		}
		time.Sleep(time.Millisecond)
	}
	if got := c.Do(p.read(1)); got != 200 {
		t.Errorf("the other brick: %d", got)
	}
}

// The response to a rejected request arrives while its client is still sending.
func TestAnswerArrivesUnderAFlood(t *testing.T) {
	p := newTestPlatform(t, DisabledGuards{})
	defer p.inst.Stop(context.Background())
	for range 5 {
		nc, err := net.Dial("tcp", p.inst.Addr())
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

// zeros is an endless stream of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

func FuzzConfig(f *testing.F) {
	f.Add([]byte(configText()))
	f.Add([]byte(`{"limits":{},"settings":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if cfg, err := ParseConfig(text, emptyEnv); err == nil {
			if b := divideLimits(cfg.Limits); b.clientConns <= 0 || b.brickConns <= 0 {
				t.Errorf("%+v of %+v", b, cfg.Limits)
			}
		}
	})
}
