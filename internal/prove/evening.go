package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/control"
	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

// What an operator's evening has besides: consoles that die between a key and
// its answer, peers that stop half way, bricks in odd states, a full disk, and
// a gateway that ends outright at the two sides of an order's record.

// list writes the node list as it is now.
func (e *evenings) list() error {
	e.version++
	list := membership.List{Version: e.version}
	for name, b := range e.bricks {
		if state := e.entries[name]; state != membership.Gone {
			list.Bricks = append(list.Bricks, b.Entry(state))
		}
	}
	slices.SortFunc(list.Bricks, func(a, b membership.Entry) int { return strings.Compare(a.Name, b.Name) })
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return gateway.WriteFileAtomic(filepath.Join(e.dir, "nodes.json"), text)
}

// uploader stores objects in parts without a pause.
func (e *evenings) uploader(i int, stop <-chan struct{}) {
	c := &clients.Client{Name: fmt.Sprint("uploader-", i), Target: e.host.target, Log: e.log}
	defer c.Close()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		key, of := fmt.Sprintf("/theses/parts-%d/%d", i, n%8), made{int64(n), 5<<20 + 1000}
		body := of.bytes()
		ans, ok := multipart(c, key, body)
		if !ok {
			continue
		}
		e.mu.Lock()
		switch ans.Call.Status {
		case 200:
			e.stored[key] = of
			delete(e.unsure, key)
			e.uploads.Add(1)
		case 503, 403, 507: // it did not happen
		default:
			e.unsure[key] = true
		}
		e.mu.Unlock()
	}
}

// call asks the control end for one thing, on a connection of its own.
func (e *evenings) call(q control.Request) (*control.Response, error) {
	c, err := control.Dial(e.socket())
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Call(q)
}

func (e *evenings) order(kind drains.Kind, brick, id string) (*control.Response, error) {
	return e.call(control.Request{Op: control.OpOrder, Order: drains.Order{Kind: kind, Brick: brick, Force: true, ID: id}})
}

// status returns what the gateway says of a brick; one it does not know is gone.
func (e *evenings) status(brick string) (control.BrickStatus, error) {
	r, err := e.call(control.Request{Op: control.OpStatus})
	if err != nil {
		return control.BrickStatus{}, err
	}
	for _, b := range r.Snapshot.Bricks {
		if b.Status.Brick == brick {
			return b, nil
		}
	}
	return control.BrickStatus{Status: drains.Status{Brick: brick, State: drains.Gone}}, nil
}

// awaitState polls the gateway until it says that a brick is in a state.
func (e *evenings) awaitState(ctx context.Context, brick string, want drains.State) error {
	until := time.Now().Add(screenWait)
	for {
		b, err := e.status(brick)
		if err == nil && b.State == want {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("brick %s did not come to be %s: %+v, %v", brick, want, b.Status, err)
		}
		if err := wait(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
}

// drained notes that a brick takes nothing new from a time on; the result ends
// that.
func (e *evenings) drained(brick string, from time.Time) (back func()) {
	i := len(e.told)
	e.told = append(e.told, rules.Told{Host: 0, At: from.UnixMicro(), Brick: brick, State: "draining"})
	return func() { e.told[i].Until = time.Now().UnixMicro() }
}

// hurried closes the terminal right after the key that confirms a drain: the
// order was taken or not, and the record, the state and the sends agree.
func (e *evenings) hurried(ctx context.Context) error {
	taken := 0
	for range 6 {
		t, err := e.console(100, 28)
		if err != nil {
			return err
		}
		if err := t.Await(screenWait, "arrowwalk: bricks", "> alpha"); err != nil {
			return err
		}
		if err := t.Keys(screenWait, "d", "OUT OF REACH"); err != nil {
			return err
		}
		began := time.Now()
		if err := t.Type("f"); err != nil {
			return err
		}
		if err := wait(ctx, e.dice.span(0, 0.01)); err != nil {
			return err
		}
		if !t.HangUp(3 * time.Second) {
			e.fault("a console outlives its terminal")
		}
		b, err := e.status("alpha")
		if err != nil {
			return err
		}
		if b.State != drains.Draining {
			continue
		}
		taken++
		if b.Origin != drains.ByOperator || b.Operator == "" || b.Number == 0 {
			e.fault("a console that died left alpha drained without a record: %+v", b.Status)
		}
		back := e.drained("alpha", began)
		if err := wait(ctx, e.dice.span(0.6, 0.9)); err != nil {
			return err
		}
		back()
		if _, err := e.order(drains.Undrain, "alpha", ""); err != nil {
			return err
		}
	}
	e.report.note("terminal closed 0 to 10 ms after the key: %d of 6 orders were taken", taken)
	return nil
}

// halfOpen has peers that close one side, or stop in the middle of a frame.
func (e *evenings) halfOpen(context.Context) error {
	watcher, err := control.Dial(e.socket())
	if err != nil {
		return err
	}
	defer watcher.Close()
	if err := watcher.Watch(0); err != nil {
		return err
	}
	if _, err := watcher.Next(); err != nil {
		return err
	}
	if err := watcher.CloseWrite(); err != nil {
		return err
	}
	half, err := net.Dial("unix", e.socket())
	if err != nil {
		return err
	}
	defer half.Close()
	half.Write([]byte{0, 0, 1}) // of a frame's length
	began := time.Now()
	if _, err := e.call(control.Request{Op: control.OpStatus}); err != nil || time.Since(began) > time.Second {
		e.fault("beside half-open peers a status takes %s, %v", time.Since(began), err)
	}
	until := time.Now().Add(screenWait)
	for {
		if _, err := watcher.Next(); err != nil {
			break
		}
		if time.Now().After(until) {
			e.fault("a watcher that closed its side is kept")
			break
		}
	}
	half.SetReadDeadline(until)
	if _, err := half.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		e.fault("a peer that stopped in its first frame is kept")
	}
	return nil
}

// command runs a sub-command beside the gateway.
func (e *evenings) command(args ...string) (string, error) {
	args = append(append(e.opt.Exec[1:len(e.opt.Exec):len(e.opt.Exec)], args...), "--socket", e.socket())
	cmd := exec.Command(e.opt.Exec[0], args...)
	cmd.Env = append(os.Environ(), "ARROWWALK_AS_COMMAND=1", "USER=operator")
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// odd drains bricks in odd states: one that has just started, one that is
// gone, one that goes between the question and the key, and the last.
func (e *evenings) odd(ctx context.Context) error {
	old := e.bricks["alpha"]
	old.Stop()
	e.entries["alpha"] = membership.Gone
	fresh, err := e.site.Start("delta", old.Zone, old.Shard, "alpha", true)
	if err != nil {
		return err
	}
	e.bricks["delta"], e.entries["delta"] = fresh, membership.Ready
	e.caps = append(e.caps, rules.Capacity{Brick: "delta", Started: fresh.Started(), UnitsPerSec: eveningUnits})
	if err := e.list(); err != nil {
		return err
	}
	t, err := e.console(100, 28)
	if err != nil {
		return err
	}
	defer t.HangUp(time.Second)
	if err := t.Await(screenWait, "arrowwalk: bricks", "> beta", "delta", "cold"); err != nil {
		return err
	}
	typed := time.Now()
	if err := t.Keys(screenWait, "j", "> delta", "d", "OUT OF REACH", "f", "draining and idle"); err != nil {
		return err
	}
	back := e.drained("delta", typed)
	if out, err := e.command("drain", "alpha"); err == nil || !strings.Contains(out, "not in the node list") {
		e.fault("a drain of a brick that is gone: %v, %q", err, out)
	}
	if err := wait(ctx, e.dice.span(0.6, 0.9)); err != nil {
		return err
	}
	back()
	if err := t.Keys(screenWait, "u", "undrain delta?", "y", "delta is ready", "d", "OUT OF REACH"); err != nil {
		return err
	}
	e.entries["delta"] = membership.Gone // while the question stands
	if err := e.list(); err != nil {
		return err
	}
	if err := e.awaitState(ctx, "delta", drains.Gone); err != nil {
		return err
	}
	if err := t.Keys(screenWait, "f", "is not in the node list"); err != nil {
		return err
	}
	e.entries["delta"] = membership.Ready
	if err := e.list(); err != nil {
		return err
	}
	if err := e.awaitState(ctx, "delta", drains.Ready); err != nil {
		return err
	}
	return e.last(ctx)
}

// last drains all bricks, one after the other: each is said to be the only one
// of its shard, and refused without force; new objects are refused then.
func (e *evenings) last(ctx context.Context) error {
	var backs []func()
	names := []string{"beta", "delta", "gamma"}
	for _, name := range names {
		if out, err := e.command("drain", name); err == nil || !strings.Contains(out, "--force") {
			e.fault("a drain of the only brick of its shard, without force: %v, %q", err, out)
		}
		at := time.Now()
		if out, err := e.command("drain", name, "--force"); err != nil {
			return fmt.Errorf("drain %s: %w: %s", name, err, out)
		}
		backs = append(backs, e.drained(name, at))
	}
	if err := wait(ctx, e.dice.span(0.6, 0.9)); err != nil {
		return err
	}
	c := &clients.Client{Name: "late", Target: e.host.target, Log: e.log}
	a := c.Do(&clients.Request{Method: "PUT", Path: "/theses/late", Body: []byte("late"), Wait: writeWait})
	c.Close()
	if a.Call.Status != 503 && a.Call.Status != 500 {
		e.fault("with all bricks drained a new object has the answer %d", a.Call.Status)
	}
	for i, name := range names {
		backs[i]()
		if out, err := e.command("undrain", name); err != nil {
			return fmt.Errorf("undrain %s: %w: %s", name, err, out)
		}
	}
	return nil
}

// full has a brick without room: writes there have their lawful failure, reads
// go on, and the console says so until there is room again.
func (e *evenings) full(ctx context.Context) error {
	t, err := e.console(100, 28)
	if err != nil {
		return err
	}
	defer t.HangUp(time.Second)
	from := e.log.Calls().Len()
	e.bricks["gamma"].Play(bricks.Script{Fault: brickd.Fault{Status: 507}, Writes: true})
	if err := t.Await(screenWait, "gamma", "FULL"); err != nil {
		return err
	}
	e.screen["full"] = t.Screen()
	if err := t.Keys(screenWait, "4", "gamma has no room"); err != nil {
		return err
	}
	if err := wait(ctx, e.dice.span(0.2, 0.5)); err != nil {
		return err
	}
	e.bricks["gamma"].Play(bricks.Script{})
	if err := t.Await(screenWait, "gamma takes writes again"); err != nil {
		return err
	}
	refused, read := 0, 0
	for call, err := range e.log.Calls().Each(from) {
		if err != nil {
			return err
		}
		switch {
		case call.Method == "PUT" && call.Status == 507:
			refused++
		case call.Method == "GET" && call.Status == 200:
			read++
		}
	}
	if refused == 0 || read == 0 {
		e.fault("a full brick: %d writes had 507, %d reads were served", refused, read)
	}
	e.report.note("a brick without room: %d writes had 507, %d reads were served meanwhile", refused, read)
	return nil
}

// crashes kills the gateway between the record of a drain and its carrying
// out, and between the carrying out of an undrain and its answer. Both hold
// after the next start, and the same order again has the first one's answer.
func (e *evenings) crashes(ctx context.Context) error {
	back := func() {}
	for _, one := range []struct {
		stage string
		kind  drains.Kind
		want  drains.State
	}{{"recorded", drains.Drain, drains.Draining}, {"applied", drains.Undrain, drains.Ready}} {
		if err := e.host.stop(writeWait + 5*time.Second); err != nil {
			return err
		}
		e.host.guard = "crash-" + one.stage
		if err := e.host.restart(ctx); err != nil {
			return err
		}
		back()
		back = func() {}
		e.host.begin()
		at := time.Now()
		if _, err := e.order(one.kind, "beta", e.host.guard); err == nil {
			return fmt.Errorf("the gateway that should end when an order is %s answered", one.stage)
		}
		<-e.host.ended
		id := e.host.guard
		e.host.guard = ""
		if err := e.host.restart(ctx); err != nil {
			return err
		}
		if one.want == drains.Draining {
			back = e.drained("beta", at)
		}
		if err := e.awaitState(ctx, "beta", one.want); err != nil {
			e.fault("an order to %s that was %s before a crash does not hold: %v", one.kind, one.stage, err)
		}
		again, err := e.order(one.kind, "beta", id)
		if err != nil {
			return err
		}
		if again.Result.Number == 0 || again.Result.Note != "" {
			e.fault("the order of before the crash, sent again, is taken for a new one: %+v", again.Result)
		}
		if err := wait(ctx, e.dice.span(0.6, 0.9)); err != nil {
			return err
		}
	}
	return nil
}
