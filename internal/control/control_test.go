package control

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/control/orderlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// still is a gateway at which nothing happens.
type still struct{ big int }

func (s still) ExecuteVolumeOrder(*VolumeOrder) ([]VolumeInfo, error) { return nil, nil }

func (s still) Snapshot() *Snapshot {
	return &Snapshot{Host: "still", Bricks: make([]BrickStatus, s.big)}
}
func (still) RunningRequests() []RunningRequest { return []RunningRequest{{ID: "r"}} }
func (still) HostLabel() string                 { return "still" }

var site = []drains.Brick{{Name: "a", Shard: 0, State: drains.Ready}, {Name: "a2", Shard: 0, State: drains.Ready}, {Name: "b", Shard: 1, State: drains.Ready}}

func serve(t *testing.T, book *orderlog.Log, source Gateway) (*Controller, string) {
	t.Helper()
	desk, err := NewController(book)
	if err != nil {
		t.Fatal(err)
	}
	desk.UpdateBricks(site)
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, desk, source, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if st, err := os.Stat(path); err != nil || st.Mode().Perm() != 0o600 {
		t.Errorf("socket mode %v, %v", st.Mode(), err)
	}
	return desk, path
}

func dial(t *testing.T, path string) *Client {
	t.Helper()
	c, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Orders are decided, recorded before they are carried out, have the same
// answer when they are repeated, and hold after a restart.
func TestOrdersAndRecord(t *testing.T) {
	file := filepath.Join(t.TempDir(), "orders.db")
	book, err := orderlog.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	desk, path := serve(t, book, still{})
	applied := 0
	desk.SetApplyFunc(func() {
		applied++
		if kept, err := book.EntriesAfter(0, 100); err != nil || len(kept) == 0 {
			t.Error("an order is carried out before it is recorded")
		}
	})
	c := dial(t, path)
	order := func(o drains.Order) (*Response, error) { return c.Call(Request{Op: OpOrder, Order: o}) }
	first, err := order(drains.Order{ID: "1", Kind: drains.Drain, Brick: "a", Operator: "op", Reason: "disk"})
	if err != nil || !first.Result.Changed || first.EffectiveAt == 0 || !strings.HasPrefix(first.Result.After.Operator, "op (uid ") {
		t.Fatalf("%+v %v", first, err)
	}
	again, err := order(drains.Order{ID: "1", Kind: drains.Drain, Brick: "a"})
	if err != nil || again.Result.Number != first.Result.Number || applied != 1 {
		t.Errorf("a repeat: %+v %v, applied %d times", again, err, applied)
	}
	var refused *Refusal
	if _, err := order(drains.Order{ID: "2", Kind: drains.Drain, Brick: "b"}); !errors.As(err, &refused) || refused.Code != "unreachable" {
		t.Errorf("the last brick of a shard: %v", err)
	}
	if _, err := c.Call(Request{Op: "dance"}); !errors.As(err, &refused) || refused.Code != "bad_request" {
		t.Errorf("unknown operation: %v", err)
	}
	if r, err := c.Call(Request{Op: OpEvents, MaxEvents: 100}); err != nil || len(r.Events) != 4 || r.Events[3].Entry == nil || r.Events[3].Entry.Order.Reason != "disk" {
		t.Errorf("events: %+v %v", r, err)
	}
	if r, err := c.Call(Request{Op: OpCost, Brick: "b"}); err != nil || !r.Cost.Unreachable {
		t.Errorf("cost: %+v %v", r, err)
	}
	if r, err := c.Call(Request{Op: OpRunning}); err != nil || len(r.Running) != 1 {
		t.Errorf("running: %+v %v", r, err)
	}
	book.Close()
	if _, err := order(drains.Order{ID: "3", Kind: drains.Undrain, Brick: "a"}); !errors.As(err, &refused) || refused.Code != "not_recorded" || desk.BrickState("a") != drains.Draining {
		t.Errorf("an order that cannot be recorded: %v, %s", err, desk.BrickState("a"))
	}

	if book, err = orderlog.Open(file); err != nil {
		t.Fatal(err)
	}
	defer book.Close()
	later, err := NewController(book)
	if err != nil {
		t.Fatal(err)
	}
	later.UpdateBricks(site)
	if s := later.Statuses()[0]; s.State != drains.Draining || s.Origin != drains.ByOperator || s.Number != 1 {
		t.Errorf("after a restart: %+v", s)
	}
	if _, _, err := later.SubmitOrder(drains.Order{Kind: drains.Undrain, Brick: "a"}); err != nil {
		t.Error(err)
	}
}

// Fifty watchers hear of every event; one that does not read loses snapshots,
// then its connection, and holds nobody up.
func TestWatchers(t *testing.T) {
	const watchers, events = 50, 200
	desk, path := serve(t, nil, still{big: 500})
	var wg sync.WaitGroup
	for range watchers {
		c := dial(t, path)
		if err := c.Watch(0); err != nil {
			t.Fatal(err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.nc.SetReadDeadline(time.Now().Add(20 * time.Second))
			last, shots := int64(0), 0
			for last < events+3 {
				r, err := c.Next()
				if err != nil {
					t.Errorf("after event %d: %v", last, err)
					return
				}
				for _, e := range r.Events {
					if e.Number != last+1 {
						t.Errorf("event %d after %d", e.Number, last)
					}
					last = e.Number
				}
				if r.Snapshot != nil {
					shots++
				}
			}
			if shots == 0 {
				t.Error("no snapshot")
			}
		}()
	}
	deaf := dial(t, path)
	if err := deaf.Watch(0); err != nil {
		t.Fatal(err)
	}
	for i := range events {
		desk.PublishEvent("test", "", fmt.Sprint("event ", i))
	}
	wg.Wait()
	f := desk.subscribe(0)
	for range 10 {
		f.snapshot(&Snapshot{})
	}
	if got, shot, missed, ok := f.take(); len(got) != events+3 || shot == nil || missed != 9 || !ok {
		t.Errorf("a slow watcher's feed: %d events, %d snapshots missed, %v", len(got), missed, ok)
	}
	for range feedMost + 1 {
		desk.PublishEvent("flood", "", "")
	}
	if _, _, _, ok := f.take(); ok {
		t.Error("a watcher that lost events is not cut off")
	}
	desk.unsubscribe(f)
}

func TestStrangers(t *testing.T) {
	_, path := serve(t, nil, still{})
	if _, err := Listen(path, nil, still{}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a second gateway takes a live socket")
	}
	for _, bad := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), binary.BigEndian.AppendUint32(nil, 1<<31), {0, 0, 0, 1, 0xff}, {0, 0, 0, 2, 0xa1}} {
		nc, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		nc.Write(bad)
		nc.(*net.UnixConn).CloseWrite()
		if text, _ := io.ReadAll(nc); len(text) != 0 {
			t.Errorf("%q is answered %q", bad, text)
		}
		nc.Close()
	}
	nc, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if err := writeFrame(nc, Hello{Version: 99}); err != nil {
		t.Fatal(err)
	}
	var hello Hello
	if err := readFrame(nc, &hello); err != nil || !strings.Contains(hello.Refused, "99") {
		t.Errorf("another version: %+v %v", hello, err)
	}
}

func FuzzFrame(f *testing.F) {
	var good bytes.Buffer
	if err := writeFrame(&good, Request{ID: 1, Op: OpOrder, Order: drains.Order{Kind: drains.Drain, Brick: "a"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, text []byte) {
		var q Request
		if readFrame(bytes.NewReader(text), &q) != nil {
			return
		}
		var again bytes.Buffer
		if err := writeFrame(&again, q); err != nil {
			t.Fatal(err)
		}
		var back Request
		if err := readFrame(&again, &back); err != nil || back.Op != q.Op || back.Order.Brick != q.Order.Brick {
			t.Fatalf("%+v comes back as %+v, %v", q, back, err)
		}
	})
}
