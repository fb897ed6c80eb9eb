package discovery

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk"
	"arrowwalk/internal/host"
	standin "arrowwalk/internal/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const line = `{"index":41,"snapshot":true,"endpoints":[
 {"name":"s-5be2a07c","address":"10.1.0.18:8000","zone":"b","type":"m2","group":3,"status":"active","weight":1.0,"since_ms":1700000000123}]}`

func TestListInTheModulesTerms(t *testing.T) {
	l, err := ParseList([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	z := NewZoneIndex([]string{"a", "b"})
	want := host.Member{Address: "10.1.0.18:8000", Zone: "b", Node: arrowwalk.Node{ID: "s-5be2a07c", Shard: 3, Zone: 1, Started: 1_700_000_000_123_000}}
	if got := l.Members(z); len(got) != 1 || got[0] != want || l.Kind() != arrowwalk.ListSnapshot {
		t.Errorf("%+v, want %+v", got, want)
	}
	if z.Number("new") != 2 || z.Number("newer") != 3 || z.Number("new") != 2 {
		t.Error("zones that the settings lack are not told apart")
	}
}

// What can't be in a list is named; in a watch it costs its own entry alone.
func TestBadEntries(t *testing.T) {
	for _, c := range []struct{ old, new, says string }{
		{`"s-5be2a07c"`, `""`, "endpoints[0].name"},
		{`"active"`, `"gone"`, "endpoints[0].status"},
		{`10.1.0.18:8000`, `10.1.0.18`, "endpoints[0].address"},
		{`"group":3`, `"group":-1`, "endpoints[0].group"},
		{`"group":3`, `"group":99999999`, "endpoints[0].group"},
		{`1700000000123`, `-5`, "endpoints[0].since_ms"},
		{`"index":41`, `"index":"x"`, "index"},
	} {
		text := strings.Replace(line, c.old, c.new, 1)
		if _, err := ParseList([]byte(text)); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	l := List{Endpoints: []Endpoint{{Name: "a", Address: "h:1", Status: "active"}, {Name: "b", Status: "odd"}, {Name: "c", Status: "left"}}}
	if err := l.sift(); err == nil || len(l.Endpoints) != 2 || l.Endpoints[1].Name != "c" {
		t.Errorf("%v, %+v", err, l.Endpoints)
	}
}

// told collects what a Follower tells.
type told struct {
	mu   sync.Mutex
	list []string
	news chan struct{}
	addr []string
}

func (c *told) take(kind arrowwalk.ListKind, index int64, members []host.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprint(kind, "@", index)
	for _, m := range members {
		text += fmt.Sprint(" ", m.ID, ":", m.State)
	}
	c.list = append(c.list, text)
	select {
	case c.news <- struct{}{}:
	default:
	}
}

func (c *told) reached(addresses []string) {
	c.mu.Lock()
	c.addr = addresses
	c.mu.Unlock()
}

// await waits until something was told.
func (c *told) await(t *testing.T, want string) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		c.mu.Lock()
		found := slices.Contains(c.list, want)
		all := strings.Join(c.list, "; ")
		c.mu.Unlock()
		if found {
			return
		}
		select {
		case <-c.news:
		case <-timeout:
			t.Fatalf("%q was not told, but %s", want, all)
		}
	}
}

func entry(name, status string) standin.Endpoint {
	return standin.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: status}
}

// The watch tells changes in order, is opened again when it breaks, when the
// agent falls silent, and at another address.
func TestFollow(t *testing.T) {
	book := standin.NewBook(7)
	agent, err := standin.NewAgent(book)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	c := &told{news: make(chan struct{}, 1)}
	var log bytes.Buffer
	known := &List{Index: 7, Snapshot: true, Endpoints: []Endpoint{{Name: "old", Address: "127.0.0.1:9", Zone: "a", Status: "active"}}}
	f := Start(known, Options{Address: agent.Addr(), Zones: NewZoneIndex([]string{"a"}), Log: slog.New(slog.NewTextHandler(&log, nil)),
		OnList: c.take, OnAddresses: c.reached})
	defer f.Stop()
	c.await(t, fmt.Sprint(arrowwalk.ListStored, "@7 old:0"))
	book.Tell(entry("new", "active"), entry("old", "leaving"))
	c.await(t, fmt.Sprint(arrowwalk.ListDelta, "@8 new:0 old:1"))
	agent.Mute(true)
	book.Tell(entry("old", "left"))
	agent.Mute(false) // cuts the watch: what was missed comes first
	c.await(t, fmt.Sprint(arrowwalk.ListDelta, "@9 old:2"))
	other, err := standin.NewAgent(book)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	if f.SetAddress(agent.Addr()) || !f.SetAddress(other.Addr()) {
		t.Error("only another address is a move")
	}
	agent.Retire()
	book.Tell(entry("last", "active"))
	c.await(t, fmt.Sprint(arrowwalk.ListDelta, "@10 last:0"))
	f.Stop()
	if len(c.addr) != 2 || len(f.book) != 2 {
		t.Errorf("addresses %v, bricks %v: what left is remembered", c.addr, f.book)
	}
}

// Whatever an agent sends, the follower asks anew, waits in between, and ends.
func TestFollowOfNoise(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	asked := make(chan struct{}, 100)
	go func() {
		for i := 0; ; i++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			texts := []string{"noise\r\n\r\n", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{x}\r\n1\r\n\n\r\n", ""}
			nc.Write([]byte(texts[i%len(texts)]))
			nc.Close()
			asked <- struct{}{}
		}
	}()
	c := &told{news: make(chan struct{}, 1)}
	f := Start(&List{}, Options{Address: ln.Addr().String(), Zones: NewZoneIndex(nil), Log: slog.New(slog.DiscardHandler), OnList: c.take, OnAddresses: c.reached})
	began := time.Now()
	for range 5 {
		<-asked
	}
	if took := time.Since(began); took < 4*waitMin {
		t.Errorf("asked 5 times in %s: there is no wait in between", took)
	}
	f.Stop()
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(line))
	f.Add([]byte(`{"endpoints":[{"since_ms":1e300}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseList(text)
		if err != nil {
			return
		}
		for _, m := range l.Members(NewZoneIndex([]string{"a"})) {
			if m.ID == "" || m.Shard < 0 || m.Started < 0 {
				t.Errorf("%+v", m)
			}
		}
	})
}
