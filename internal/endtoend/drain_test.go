package endtoend

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"arrowwalk/internal/config"
	"arrowwalk/internal/control"
	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

// A drain by hand under load: no new work reaches the brick more than 500 ms
// after the command, from the brick's own log; it outlives a kill; taken back,
// the brick serves again.
func TestDrainByHand(t *testing.T) {
	site := bricks.New(t.TempDir(), 4*time.Second, bricks.Cold{})
	defer site.Close()
	var both []*bricks.Brick
	var list []config.Brick
	for shard, name := range []string{"a", "b"} {
		b, err := site.Start(name, "zone-a", shard, name, false)
		if err != nil {
			t.Fatal(err)
		}
		both = append(both, b)
		list = append(list, config.Brick{Name: name, Address: b.Entry("").Address, Zone: "zone-a", Shard: shard})
	}
	data := t.TempDir()
	socket := filepath.Join(data, "s")
	open := func() *gateway.Gateway {
		cfg := config.Default()
		cfg.Listen, cfg.Keys, cfg.Shards, cfg.Bricks = "127.0.0.1:0", keys, 2, list
		cfg.Collections = []config.Collection{{Bucket: "papers", Plan: "basic"}}
		cfg.Classes.Read.DeadlineMS, cfg.Classes.Read.AimMS = 800, 400
		cfg.Classes.Write.DeadlineMS, cfg.Classes.Write.AimMS = 800, 400
		g, err := gateway.Start(gateway.Options{Config: cfg, DataDir: data, ControlSocket: socket, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		return g
	}
	g := open()
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 16 {
		c := raw(g)
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.Close()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				if a := c.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/papers/%d-%d", i, n%50), Body: []byte("x"), Wait: 800 * time.Millisecond}); a.Call.Status == 0 {
					t.Errorf("no answer: %v", a.Err)
				}
			}
		}()
	}
	c, err := control.Dial(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	arrivals := func(brick string, from, to time.Time) (n int) {
		for a, err := range site.Log().Each(0) {
			if err != nil {
				t.Fatal(err)
			}
			if a.Brick == brick && a.At > from.UnixMicro() && a.At < to.UnixMicro() {
				n++
			}
		}
		return n
	}
	for site.Count() < 500 {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: drains.Drain, Brick: "b"}}); err == nil {
		t.Error("the only brick of a shard is drained without force")
	}
	typed := time.Now()
	r, err := c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: drains.Drain, Brick: "b", Force: true}})
	if err != nil || r.Result.After.State != drains.Draining {
		t.Fatal(r, err)
	}
	answered := time.Now()
	for time.Since(answered) < 1200*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	if n := arrivals("b", typed.Add(500*time.Millisecond), time.Now()); n != 0 {
		t.Errorf("%d requests reached the drained brick after 500 ms", n)
	}
	if n := arrivals("b", answered.Add(50*time.Millisecond), time.Now()); n != 0 {
		t.Errorf("%d requests reached it 50 ms after the command was answered", n)
	}
	if arrivals("a", answered, time.Now()) == 0 {
		t.Error("the other brick serves nothing")
	}
	snap, err := c.Call(control.Request{Op: control.OpStatus})
	if err != nil || len(snap.Snapshot.Bricks) != 2 || snap.Snapshot.Bricks[1].Origin != drains.ByOperator || snap.Snapshot.Bricks[0].Served == 0 || len(snap.Snapshot.Volumes) != 1 {
		t.Errorf("status: %+v %v", snap, err)
	}
	close(done)
	wg.Wait()
	c.Close()
	stop(t, g)

	g = open() // the drain outlives the restart
	defer stop(t, g)
	later := raw(g)
	defer later.Close()
	began := time.Now()
	for n := range 20 {
		later.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/papers/0-%d", n), Body: []byte("x"), Wait: 100 * time.Millisecond})
	}
	if n := arrivals("b", began, time.Now()); n != 0 {
		t.Errorf("%d requests reached the drained brick after a restart", n)
	}
	if c, err = control.Dial(socket); err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: drains.Undrain, Brick: "b"}}); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	for n := range 20 {
		if a := later.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/papers/0-%d", n), Body: []byte("x")}); a.Call.Status != 200 {
			t.Errorf("after the undrain: %d", a.Call.Status)
		}
	}
	if arrivals("b", began, time.Now()) == 0 {
		t.Error("nothing reaches the brick after the undrain")
	}

	both[1].Says(true) // the brick's own word: its next answer is its last
	for n := range 20 {
		later.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/papers/0-%d", n), Body: []byte("x"), Wait: 100 * time.Millisecond})
	}
	said := time.Now()
	for n := range 20 {
		later.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/papers/0-%d", n), Body: []byte("x"), Wait: 50 * time.Millisecond})
	}
	if n := arrivals("b", said, time.Now()); n != 0 {
		t.Errorf("%d requests reached a brick that said that it drains", n)
	}
	both[1].Says(false)
	if _, err := c.Call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: drains.Undrain, Brick: "b"}}); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	for n := range 20 {
		later.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/papers/0-%d", n), Body: []byte("x")})
	}
	if arrivals("b", began, time.Now()) == 0 {
		t.Error("nothing reaches it after the undrain")
	}
}
