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

// idleGateway is a gateway without traffic that has brickCount bricks.
type idleGateway struct{ brickCount int }

func (s idleGateway) ExecuteVolumeOrder(*VolumeOrder) ([]VolumeInfo, error) { return nil, nil }

func (s idleGateway) Snapshot() *Snapshot {
	return &Snapshot{Host: "still", Bricks: make([]BrickStatus, s.brickCount)}
}
func (idleGateway) RunningRequests() []RunningRequest { return []RunningRequest{{ID: "r"}} }
func (idleGateway) HostLabel() string                 { return "still" }

var testBricks = []drains.Brick{{Name: "a", Shard: 0, State: drains.Ready}, {Name: "a2", Shard: 0, State: drains.Ready}, {Name: "b", Shard: 1, State: drains.Ready}}

func startServer(t *testing.T, log *orderlog.Log, gateway Gateway) (*Controller, string) {
	t.Helper()
	controller, err := NewController(log)
	if err != nil {
		t.Fatal(err)
	}
	controller.UpdateBricks(testBricks)
	path := filepath.Join(t.TempDir(), "s")
	s, err := Listen(path, controller, gateway, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("socket mode %v, %v", info.Mode(), err)
	}
	return controller, path
}

func dialServer(t *testing.T, path string) *Client {
	t.Helper()
	c, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Orders must be validated, be logged before they are applied, return the same result
// when repeated, and hold after a restart.
func TestOrdersAndRecord(t *testing.T) {
	file := filepath.Join(t.TempDir(), "orders.db")
	log, err := orderlog.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	controller, path := startServer(t, log, idleGateway{})
	applied := 0
	controller.SetApplyFunc(func() {
		applied++
		if kept, err := log.EntriesAfter(0, 100); err != nil || len(kept) == 0 {
			t.Error("an order is applied before it is logged")
		}
	})
	c := dialServer(t, path)
	order := func(o drains.Order) (*Response, error) { return c.Call(Request{Op: OpOrder, Order: o}) }
	first, err := order(drains.Order{ID: "1", Kind: drains.Drain, Brick: "a", Operator: "op", Reason: "disk"})
	if err != nil || !first.Result.Changed || first.EffectiveAt == 0 || !strings.HasPrefix(first.Result.After.Operator, "op (uid ") {
		t.Fatalf("%+v %v", first, err)
	}
	repeated, err := order(drains.Order{ID: "1", Kind: drains.Drain, Brick: "a"})
	if err != nil || repeated.Result.Number != first.Result.Number || applied != 1 {
		t.Errorf("repeated order: %+v %v, applied %d times", repeated, err, applied)
	}
	var refused *Refusal
	if _, err := order(drains.Order{ID: "2", Kind: drains.Drain, Brick: "b"}); !errors.As(err, &refused) || refused.Code != "unreachable" {
		t.Errorf("drain of the last brick of a shard: %v", err)
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
	log.Close()
	if _, err := order(drains.Order{ID: "3", Kind: drains.Undrain, Brick: "a"}); !errors.As(err, &refused) || refused.Code != "not_recorded" || controller.BrickState("a") != drains.Draining {
		t.Errorf("order that cannot be logged: %v, %s", err, controller.BrickState("a"))
	}

	if log, err = orderlog.Open(file); err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	restarted, err := NewController(log)
	if err != nil {
		t.Fatal(err)
	}
	restarted.UpdateBricks(testBricks)
	if s := restarted.Statuses()[0]; s.State != drains.Draining || s.Origin != drains.ByOperator || s.Number != 1 {
		t.Errorf("after a restart: %+v", s)
	}
	if _, _, err := restarted.SubmitOrder(drains.Order{Kind: drains.Undrain, Brick: "a"}); err != nil {
		t.Error(err)
	}
}

// Every watcher must receive every event. One that does not read must not delay the
// others; it loses snapshots, and is disconnected once it has lost events.
func TestWatchers(t *testing.T) {
	const watchers, events = 50, 200
	controller, path := startServer(t, nil, idleGateway{brickCount: 500})
	var wg sync.WaitGroup
	for range watchers {
		c := dialServer(t, path)
		if err := c.Watch(0); err != nil {
			t.Fatal(err)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.conn.SetReadDeadline(time.Now().Add(time.Minute)) // only guards against a hang
			last, snapshots := int64(0), 0
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
					snapshots++
				}
			}
			if snapshots == 0 {
				t.Error("no snapshot")
			}
		}()
	}
	idleWatcher := dialServer(t, path)
	if err := idleWatcher.Watch(0); err != nil {
		t.Fatal(err)
	}
	for i := range events {
		controller.PublishEvent("test", "", fmt.Sprint("event ", i))
	}
	wg.Wait()
	f := controller.subscribe(0)
	for range 10 {
		f.setSnapshot(&Snapshot{})
	}
	if got, snapshot, missedSnapshots, ok := f.drain(); len(got) != events+3 || snapshot == nil || missedSnapshots != 9 || !ok {
		t.Errorf("feed of a slow watcher: %d events, %d snapshots missed, %v", len(got), missedSnapshots, ok)
	}
	for range maxFeedEvents + 1 {
		controller.PublishEvent("flood", "", "")
	}
	if _, _, _, ok := f.drain(); ok {
		t.Error("a watcher that lost events is not disconnected")
	}
	controller.unsubscribe(f)
}

// Malformed frames must get no answer, a client of another version must be refused,
// and a socket that is in use must not be replaced.
func TestStrangers(t *testing.T) {
	_, path := startServer(t, nil, idleGateway{})
	if _, err := Listen(path, nil, idleGateway{}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a second gateway replaces a socket that is in use")
	}
	for _, bad := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), binary.BigEndian.AppendUint32(nil, 1<<31), {0, 0, 0, 1, 0xff}, {0, 0, 0, 2, 0xa1}} {
		conn, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		conn.Write(bad)
		conn.(*net.UnixConn).CloseWrite()
		if text, _ := io.ReadAll(conn); len(text) != 0 {
			t.Errorf("%q gets the answer %q", bad, text)
		}
		conn.Close()
	}
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := writeFrame(conn, Hello{Version: 99}); err != nil {
		t.Fatal(err)
	}
	var hello Hello
	if err := readFrame(conn, &hello); err != nil || !strings.Contains(hello.Refused, "99") {
		t.Errorf("unsupported version: %+v %v", hello, err)
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
		var request Request
		if readFrame(bytes.NewReader(text), &request) != nil {
			return
		}
		var encoded bytes.Buffer
		if err := writeFrame(&encoded, request); err != nil {
			t.Fatal(err)
		}
		var decoded Request
		if err := readFrame(&encoded, &decoded); err != nil || decoded.Op != request.Op || decoded.Order.Brick != request.Order.Brick {
			t.Fatalf("%+v is decoded as %+v, %v", request, decoded, err)
		}
	})
}
