package membership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/membership/cache"
	"arrowwalk/internal/membership/trust"
	"arrowwalk/internal/standin/coord"
)

func service(t *testing.T) *coord.Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := coord.Start(ln)
	t.Cleanup(s.Close)
	return s
}

func options(s *coord.Server) ZKOptions {
	return ZKOptions{Servers: []string{s.Addr()}, SessionTimeout: 300 * time.Millisecond, RelistInterval: 200 * time.Millisecond, Topology: shape}
}

func brickEntry(name string, shard int) Entry {
	return Entry{Name: name, Address: name + ":1", Zone: "z1", Shard: shard, Started: 5}
}

// teller is a host that remembers what it was told.
type teller struct {
	mu    sync.Mutex
	told  chan string
	state map[arrowwalk.NodeID]host.Member
}

func newTeller() *teller {
	return &teller{told: make(chan string, 1000), state: map[arrowwalk.NodeID]host.Member{}}
}

func (h *teller) Nodes(kind arrowwalk.ListKind, version int64, members []host.Member) {
	h.mu.Lock()
	if kind != arrowwalk.ListDelta {
		clear(h.state)
	}
	for _, m := range members {
		if m.State == arrowwalk.Removed {
			delete(h.state, m.ID)
		} else {
			h.state[m.ID] = m
		}
	}
	h.mu.Unlock()
	h.told <- fmt.Sprint(kind, len(members))
}

func (h *teller) get(name string) (host.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.state[arrowwalk.NodeID(name)]
	return m, ok
}

// until waits until what was told makes good true.
func (h *teller) until(t *testing.T, what string, good func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for !good() {
		select {
		case <-h.told:
		case <-deadline:
			t.Fatalf("never told: %s", what)
		}
	}
}

type asks map[string]struct {
	what    trust.Observation
	started int64
}

func (a asks) Probe(_ context.Context, _, name string) (trust.Observation, int64) {
	return a[name].what, a[name].started
}

// Bricks register, change, flap and vanish; the host is told in time, through
// lost watches, gaps and a service that goes back in time or is wiped.
func TestFollowDiscovery(t *testing.T) {
	s, h := service(t), newTeller()
	k, err := StartTracker(TrackerOptions{Topology: shape, Host: h, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	a, err := Register(options(s), brickEntry("a", 0))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	z, err := FollowZK(options(s), func(l *List) { k.Offer("zk", l) }, k.ReportFailure)
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	has := func(name string, want bool) func() bool {
		return func() bool { _, ok := h.get(name); return ok == want }
	}
	h.until(t, "a", has("a", true))
	b, err := Register(options(s), brickEntry("b", 1))
	if err != nil {
		t.Fatal(err)
	}
	h.until(t, "b", has("b", true))

	b.Close()
	began := time.Now()
	h.until(t, "b is gone", has("b", false))
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("a brick that left was told of after %s", took)
	}
	s.Play(coord.Script{DropWatches: true})
	if b, err = Register(options(s), brickEntry("b", 1)); err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	h.until(t, "b though its watch was lost", has("b", true))
	s.Play(coord.Script{})

	s.Mark("both")
	c, err := Register(options(s), brickEntry("c", 1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	h.until(t, "c", has("c", true))
	s.ExpireAll() // all sessions are lost at once: bricks come back by themselves
	h.until(t, "all three again", func() bool {
		_, a := h.get("a")
		_, b := h.get("b")
		_, c := h.get("c")
		return a && b && c
	})
	s.Play(coord.Script{Refuse: true})
	s.Play(coord.Script{})
	if _, ok := h.get("a"); !ok {
		t.Error("a gap emptied the list")
	}
}

// A kept list is believed by its age and by what bricks say; the host is told
// of each entry no more than that allows.
func TestKeptList(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) int64 { return now.Add(-d).UnixMicro() }
	fill := func(t *testing.T, entries ...cache.Entry) string {
		path := t.TempDir()
		d, err := cache.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer d.Close()
		if err := d.Save(&cache.List{Header: cache.Header{Version: 7, Source: "zk", AcceptedAt: ago(time.Minute)}, Bricks: entries}); err != nil {
			t.Fatal(err)
		}
		return path
	}
	kept := func(name string, age time.Duration) cache.Entry {
		return cache.Entry{Name: name, Address: name + ":1", Zone: "z1", Started: 5, LastConfirmed: ago(age)}
	}
	path := fill(t, kept("aged", time.Minute), kept("day", 24*time.Hour), kept("other", 24*time.Hour), kept("dead", 24*time.Hour),
		kept("restarted", 24*time.Hour), cache.Entry{Name: "never", Address: "n:1", Zone: "z1"}, kept("moved", time.Minute))
	h := newTeller()
	answers := asks{"aged": {trust.TimedOut, 0}, "day": {trust.Answered, 5}, "other": {trust.WrongBrick, 0}, "dead": {trust.ConnRefused, 0},
		"restarted": {trust.Answered, 99}, "never": {trust.Answered, 1}, "moved": {trust.Answered, 5}}
	k, err := StartTracker(TrackerOptions{Topology: shape, Host: h, Prober: answers, CacheDir: path})
	if err != nil {
		t.Fatal(err)
	}
	if m, _ := h.get("aged"); m.State != arrowwalk.Ready || m.Started < arrowwalk.Micros(now.UnixMicro()) {
		t.Errorf("an aged brick is %+v, want ready and cold", m)
	}
	for _, name := range []string{"day", "other", "dead", "never"} {
		if m, _ := h.get(name); m.State != arrowwalk.Draining && m.Started != 5 && name != "day" && name != "never" {
			t.Errorf("%s is %+v before it was asked", name, m)
		}
	}
	is := func(name string, state arrowwalk.NodeState, started arrowwalk.Micros) func() bool {
		return func() bool {
			m, _ := h.get(name)
			return m.State == state && (started < 0 || m.Started == started)
		}
	}
	h.until(t, "the day-old brick answered", is("day", arrowwalk.Ready, 5))
	h.until(t, "one that never was confirmed answered", is("never", arrowwalk.Ready, 1))
	h.until(t, "one that has started anew answered", is("restarted", arrowwalk.Ready, 99))
	h.until(t, "an aged one fell silent", is("aged", arrowwalk.Draining, -1))
	for _, name := range []string{"other", "dead"} {
		if m, _ := h.get(name); m.State == arrowwalk.Ready {
			t.Errorf("%s takes work", name)
		}
	}
	k.Offer("zk", &List{Version: 8, Bricks: nil}) // a wiped tree
	k.Offer("zk", &List{Version: 9, Bricks: []Entry{brickEntry("day", 0)}})
	h.until(t, "discovery's word", func() bool { _, there := h.get("other"); return !there })
	if m, ok := h.get("day"); !ok || m.State != arrowwalk.Ready {
		t.Errorf("after discovery: %+v", m)
	}
	k.Close()
	if l, damage := cache.Load(path); len(damage) != 0 || l.Version != 9 || len(l.Bricks) != 1 || l.ChangeRate.Changes == 0 {
		t.Errorf("kept: %+v %v", l, damage)
	}

	if k, err = StartTracker(TrackerOptions{Topology: shape, Host: newTeller(), CacheDir: path}); err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	if _, err := StartTracker(TrackerOptions{Topology: shape, Host: newTeller(), CacheDir: path}); !errors.Is(err, cache.ErrLocked) {
		t.Errorf("two hosts on one cache: %v", err)
	}
}
