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

// startCoordServer starts a stand-in of the coordination service.
func startCoordServer(t *testing.T) *coord.Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := coord.Start(ln)
	t.Cleanup(s.Close)
	return s
}

func zkOptions(s *coord.Server) ZKOptions {
	return ZKOptions{Servers: []string{s.Addr()}, SessionTimeout: 300 * time.Millisecond, RelistInterval: 200 * time.Millisecond, Topology: topology}
}

func brickEntry(name string, shard int) Entry {
	return Entry{Name: name, Address: name + ":1", Zone: "z1", Shard: shard, Started: 5}
}

// register announces a brick.
func register(s *coord.Server, entry Entry) (*Registrar, error) {
	return Register(zkOptions(s), entry, NewServingGuard(zkOptions(s).SessionTimeout, nil))
}

// recordingHost keeps the members that a Tracker reported.
type recordingHost struct {
	mu       sync.Mutex
	notified chan string
	members  map[arrowwalk.NodeID]host.Member

	confirmed time.Time // latest reading that was reported
}

func newRecordingHost() *recordingHost {
	return &recordingHost{notified: make(chan string, 1000), members: map[arrowwalk.NodeID]host.Member{}}
}

func (h *recordingHost) Nodes(kind arrowwalk.ListKind, version int64, members []host.Member) {
	h.mu.Lock()
	if kind != arrowwalk.ListDelta {
		clear(h.members)
	}
	for _, m := range members {
		if m.State == arrowwalk.Removed {
			delete(h.members, m.ID)
		} else {
			h.members[m.ID] = m
		}
	}
	h.mu.Unlock()
	h.notified <- fmt.Sprint(kind, len(members))
}

func (h *recordingHost) ConfirmLists(readAt time.Time) {
	h.mu.Lock()
	h.confirmed = readAt
	h.mu.Unlock()
	h.notified <- "confirmed"
}

func (h *recordingHost) get(name string) (host.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.members[arrowwalk.NodeID(name)]
	return m, ok
}

// waitFor waits until a notification makes the condition true.
func (h *recordingHost) waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for !condition() {
		select {
		case <-h.notified:
		case <-deadline:
			t.Fatalf("host not notified within 10 s: %s", description)
		}
	}
}

// probeResults is a Prober with fixed results by brick name.
type probeResults map[string]struct {
	observation trust.Observation
	started     int64
}

func (r probeResults) Probe(_ context.Context, _, name string) (trust.Observation, int64) {
	return r[name].observation, r[name].started
}

// The host must be notified of bricks that register and leave, also after a lost
// watch and after all sessions have expired; an interruption of the service must
// not empty the list.
func TestFollowDiscovery(t *testing.T) {
	s, h := startCoordServer(t), newRecordingHost()
	tracker, err := StartTracker(TrackerOptions{Topology: topology, Host: h, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer tracker.Close()
	a, err := register(s, brickEntry("a", 0))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	z, err := FollowZK(zkOptions(s), func(l *List) { tracker.Offer("zk", l) }, tracker.ReportFailure)
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	has := func(name string, want bool) func() bool {
		return func() bool { _, ok := h.get(name); return ok == want }
	}
	h.waitFor(t, "a", has("a", true))
	b, err := register(s, brickEntry("b", 1))
	if err != nil {
		t.Fatal(err)
	}
	h.waitFor(t, "b", has("b", true))

	b.Close()
	closedAt := time.Now()
	h.waitFor(t, "b has left", has("b", false))
	if elapsed := time.Since(closedAt); elapsed > 500*time.Millisecond {
		t.Errorf("the host was notified of a brick that left after %s, want at most 500ms", elapsed)
	}
	s.Play(coord.Script{DropWatches: true})
	if b, err = register(s, brickEntry("b", 1)); err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	h.waitFor(t, "b, after its watch was lost", has("b", true))
	s.Play(coord.Script{})

	s.Mark("both")
	c, err := register(s, brickEntry("c", 1))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	h.waitFor(t, "c", has("c", true))
	s.ExpireAll() // all sessions are lost at once; the registrars must create their nodes again
	h.waitFor(t, "all three bricks after their sessions expired", func() bool {
		_, a := h.get("a")
		_, b := h.get("b")
		_, c := h.get("c")
		return a && b && c
	})
	s.Play(coord.Script{Refuse: true})
	s.Play(coord.Script{})
	if _, ok := h.get("a"); !ok {
		t.Error("an interruption of the service emptied the list")
	}
}

// The host must get a cached entry only in the state that its age and the result of
// its probe allow, and must get the list of discovery instead once there is one.
func TestKeptList(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) int64 { return now.Add(-d).UnixMicro() }
	saveCache := func(t *testing.T, entries ...cache.Entry) string {
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
	cachedEntry := func(name string, age time.Duration) cache.Entry {
		return cache.Entry{Name: name, Address: name + ":1", Zone: "z1", Started: 5, LastConfirmed: ago(age)}
	}
	path := saveCache(t, cachedEntry("aged", time.Minute), cachedEntry("day", 24*time.Hour), cachedEntry("other", 24*time.Hour), cachedEntry("dead", 24*time.Hour),
		cachedEntry("restarted", 24*time.Hour), cache.Entry{Name: "never", Address: "n:1", Zone: "z1"}, cachedEntry("moved", time.Minute))
	h := newRecordingHost()
	results := probeResults{"aged": {trust.TimedOut, 0}, "day": {trust.Answered, 5}, "other": {trust.WrongBrick, 0}, "dead": {trust.ConnRefused, 0},
		"restarted": {trust.Answered, 99}, "never": {trust.Answered, 1}, "moved": {trust.Answered, 5}}
	tracker, err := StartTracker(TrackerOptions{Topology: topology, Host: h, Prober: results, CacheDir: path})
	if err != nil {
		t.Fatal(err)
	}
	if m, _ := h.get("aged"); m.State != arrowwalk.Ready || m.Started < arrowwalk.Micros(now.UnixMicro()) {
		t.Errorf("an aged brick is %+v, want ready and cold", m)
	}
	for _, name := range []string{"day", "other", "dead", "never"} {
		if m, _ := h.get(name); m.State != arrowwalk.Draining && m.Started != 5 && name != "day" && name != "never" {
			t.Errorf("%s is %+v before it was probed", name, m)
		}
	}
	hasState := func(name string, state arrowwalk.NodeState, started arrowwalk.Micros) func() bool {
		return func() bool {
			m, _ := h.get(name)
			return m.State == state && (started < 0 || m.Started == started)
		}
	}
	h.waitFor(t, "the entry of a day ago is ready after its brick answered", hasState("day", arrowwalk.Ready, 5))
	h.waitFor(t, "the entry that was never confirmed is ready after its brick answered", hasState("never", arrowwalk.Ready, 1))
	h.waitFor(t, "the restarted brick is ready with its new start time", hasState("restarted", arrowwalk.Ready, 99))
	h.waitFor(t, "the aged brick is draining after its probe timed out", hasState("aged", arrowwalk.Draining, -1))
	for _, name := range []string{"other", "dead"} {
		if m, _ := h.get(name); m.State == arrowwalk.Ready {
			t.Errorf("%s is ready", name)
		}
	}
	tracker.Offer("zk", &List{Version: 8, Bricks: nil}) // as after the tree was wiped
	tracker.Offer("zk", &List{Version: 9, Bricks: []Entry{brickEntry("day", 0)}})
	h.waitFor(t, "other has left with the list of discovery", func() bool { _, listed := h.get("other"); return !listed })
	if m, ok := h.get("day"); !ok || m.State != arrowwalk.Ready {
		t.Errorf("day is %+v after the list of discovery", m)
	}
	tracker.Close()
	if l, damage := cache.Load(path); len(damage) != 0 || l.Version != 9 || len(l.Bricks) != 1 || l.ChangeRate.Changes == 0 {
		t.Errorf("cached list: %+v, errors %v", l, damage)
	}

	if tracker, err = StartTracker(TrackerOptions{Topology: topology, Host: newRecordingHost(), CacheDir: path}); err != nil {
		t.Fatal(err)
	}
	defer tracker.Close()
	if _, err := StartTracker(TrackerOptions{Topology: topology, Host: newRecordingHost(), CacheDir: path}); !errors.Is(err, cache.ErrLocked) {
		t.Errorf("second tracker with the same cache: %v", err)
	}
}

// Guards against a host that goes on sending to the only brick of a site after its node has
// vanished, because an empty list is withheld.
func TestLossOfTheOnlyBrickIsReported(t *testing.T) {
	s, h := startCoordServer(t), newRecordingHost()
	tracker, err := StartTracker(TrackerOptions{Topology: topology, Host: h})
	if err != nil {
		t.Fatal(err)
	}
	defer tracker.Close()
	a, err := register(s, brickEntry("a", 0))
	if err != nil {
		t.Fatal(err)
	}
	z, err := FollowZK(zkOptions(s), func(l *List) { tracker.Offer("zk", l) }, tracker.ReportFailure)
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	h.waitFor(t, "the brick", func() bool { _, ok := h.get("a"); return ok })
	a.Close()
	h.waitFor(t, "its loss", func() bool { _, ok := h.get("a"); return !ok })
}
