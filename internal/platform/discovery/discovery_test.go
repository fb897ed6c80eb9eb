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

const listText = `{"index":41,"snapshot":true,"endpoints":[
 {"name":"s-5be2a07c","address":"10.1.0.18:8000","zone":"b","type":"m2","group":3,"status":"active","weight":1.0,"since_ms":1700000000123}]}`

func TestListInTheModulesTerms(t *testing.T) {
	l, err := ParseList([]byte(listText))
	if err != nil {
		t.Fatal(err)
	}
	z := NewZoneIndex([]string{"a", "b"})
	want := host.Member{Address: "10.1.0.18:8000", Zone: "b", Node: arrowwalk.Node{ID: "s-5be2a07c", Shard: 3, Zone: 1, Started: 1_700_000_000_123_000}}
	if got := l.Members(z); len(got) != 1 || got[0] != want || l.Kind() != arrowwalk.ListSnapshot {
		t.Errorf("%+v, want %+v", got, want)
	}
	if z.Number("new") != 2 || z.Number("newer") != 3 || z.Number("new") != 2 {
		t.Error("zones that are not in the settings have no numbers of their own")
	}
}

// An invalid field of a list is named in the error; on a watch only the invalid
// endpoint is dropped.
func TestBadEntries(t *testing.T) {
	for _, c := range []struct{ old, new, wantText string }{
		{`"s-5be2a07c"`, `""`, "endpoints[0].name"},
		{`"active"`, `"gone"`, "endpoints[0].status"},
		{`10.1.0.18:8000`, `10.1.0.18`, "endpoints[0].address"},
		{`"group":3`, `"group":-1`, "endpoints[0].group"},
		{`"group":3`, `"group":99999999`, "endpoints[0].group"},
		{`1700000000123`, `-5`, "endpoints[0].since_ms"},
		{`"index":41`, `"index":"x"`, "index"},
	} {
		text := strings.Replace(listText, c.old, c.new, 1)
		if _, err := ParseList([]byte(text)); err == nil || !strings.Contains(err.Error(), c.wantText) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	l := List{Endpoints: []Endpoint{{Name: "a", Address: "h:1", Status: "active"}, {Name: "b", Status: "odd"}, {Name: "c", Status: "left"}}}
	if err := l.dropInvalid(); err == nil || len(l.Endpoints) != 2 || l.Endpoints[1].Name != "c" {
		t.Errorf("%v, %+v", err, l.Endpoints)
	}
}

// recorder records what a Follower delivers. Each list is a text of the form
// KIND@INDEX NAME:STATE...
type recorder struct {
	mu        sync.Mutex
	lists     []string
	changed   chan struct{}
	addresses []string
}

func (r *recorder) onList(kind arrowwalk.ListKind, index int64, members []host.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprint(kind, "@", index)
	for _, m := range members {
		text += fmt.Sprint(" ", m.ID, ":", m.State)
	}
	r.lists = append(r.lists, text)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *recorder) onAddresses(addresses []string) {
	r.mu.Lock()
	r.addresses = addresses
	r.mu.Unlock()
}

// await waits until a list was delivered.
func (r *recorder) await(t *testing.T, want string) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		r.mu.Lock()
		found := slices.Contains(r.lists, want)
		all := strings.Join(r.lists, "; ")
		r.mu.Unlock()
		if found {
			return
		}
		select {
		case <-r.changed:
		case <-timeout:
			t.Fatalf("%q was not delivered, only %s", want, all)
		}
	}
}

func endpoint(name, status string) standin.Endpoint {
	return standin.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: status}
}

// Changes are delivered in order. The watch is reopened when it breaks, when the
// agent falls silent, and when the address changes.
func TestFollow(t *testing.T) {
	book := standin.NewBook(7)
	agent, err := standin.NewAgent(book)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	rec := &recorder{changed: make(chan struct{}, 1)}
	var log bytes.Buffer
	known := &List{Index: 7, Snapshot: true, Endpoints: []Endpoint{{Name: "old", Address: "127.0.0.1:9", Zone: "a", Status: "active"}}}
	f := Start(known, Options{Address: agent.Addr(), Zones: NewZoneIndex([]string{"a"}), Log: slog.New(slog.NewTextHandler(&log, nil)),
		OnList: rec.onList, OnAddresses: rec.onAddresses})
	defer f.Stop()
	rec.await(t, fmt.Sprint(arrowwalk.ListStored, "@7 old:0"))
	book.Tell(endpoint("new", "active"), endpoint("old", "leaving"))
	rec.await(t, fmt.Sprint(arrowwalk.ListDelta, "@8 new:0 old:1"))
	agent.Mute(true)
	book.Tell(endpoint("old", "left"))
	agent.Mute(false) // closes the watch; the new one first delivers what was missed
	rec.await(t, fmt.Sprint(arrowwalk.ListDelta, "@9 old:2"))
	other, err := standin.NewAgent(book)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Stop()
	if f.SetAddress(agent.Addr()) || !f.SetAddress(other.Addr()) {
		t.Error("SetAddress must report a change for a new address only")
	}
	agent.Retire()
	book.Tell(endpoint("last", "active"))
	rec.await(t, fmt.Sprint(arrowwalk.ListDelta, "@10 last:0"))
	f.Stop()
	if len(rec.addresses) != 2 || len(f.addresses) != 2 {
		t.Errorf("addresses %v, bricks %v: a brick that left is kept", rec.addresses, f.addresses)
	}
}

// Whatever an agent sends, the Follower retries with a backoff and can be stopped.
func TestFollowOfNoise(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	requests := make(chan struct{}, 100)
	go func() {
		for i := 0; ; i++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			responses := []string{"noise\r\n\r\n", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{x}\r\n1\r\n\n\r\n", ""}
			nc.Write([]byte(responses[i%len(responses)]))
			nc.Close()
			requests <- struct{}{}
		}
	}()
	rec := &recorder{changed: make(chan struct{}, 1)}
	f := Start(&List{}, Options{Address: ln.Addr().String(), Zones: NewZoneIndex(nil), Log: slog.New(slog.DiscardHandler), OnList: rec.onList, OnAddresses: rec.onAddresses})
	began := time.Now()
	for range 5 {
		<-requests
	}
	if took := time.Since(began); took < 4*minBackoff {
		t.Errorf("5 requests in %s: there is no backoff", took)
	}
	f.Stop()
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(listText))
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
