//go:build review

// Case 10: a host whose volume was taken over is killed, comes back, and takes the
// volume again by itself once the new holder has given it free.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/standin/vmm"
	"arrowwalk/review/lib2"
)

const block = 4096

// guest is a virtual machine with one disk.
type guest struct {
	c    *lib2.Case
	name string
	m    *vmm.Machine
}

func newGuest(c *lib2.Case, name string) *guest {
	m, err := vmm.New(vmm.Options{Queues: 1, Size: 64, Slots: 12, Buffer: 16 << 10, Event: true, Indirect: true, Inflight: true})
	c.Must(err)
	return &guest{c, name, m}
}

func (g *guest) connect(socket string, most time.Duration) error {
	var err error
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if err = g.m.Connect(socket); err == nil {
			g.c.Note("%s is connected", g.name)
			return nil
		}
		g.m.Disconnect()
	}
	return err
}

// wait waits until a request was given back; false: it was not.
func (g *guest) wait(x *vmm.IO, most time.Duration) bool {
	q := g.m.Queues[0]
	for until := time.Now().Add(most); time.Now().Before(until); {
		list, err := q.Collect(nil)
		g.c.Must(err)
		for _, done := range list {
			if done == x {
				return true
			}
		}
		q.Wait(20 * time.Millisecond)
	}
	return false
}

func status(x *vmm.IO) string {
	if x.Status == blk.OK {
		return "OK"
	}
	return fmt.Sprintf("I/O error (%d)", x.Status)
}

// do runs one request to its end.
func (g *guest) do(x *vmm.IO, what string) bool {
	g.c.Must(g.m.Queues[0].Submit(x))
	if !g.wait(x, 40*time.Second) {
		g.c.Note("%s: %s: not given back", g.name, what)
		return false
	}
	if x.Kind == blk.In {
		what = fmt.Sprintf("%s: %.20q", what, x.Data)
	}
	g.c.Note("%s: %s: %s", g.name, what, status(x))
	return x.Status == blk.OK
}

func text(s string) []byte { return []byte(strings.Repeat(s+" ", block)[:block]) }

func write(s string) *vmm.IO {
	return &vmm.IO{Kind: blk.Out, From: 0, Bytes: block, Data: text(s)}
}

func read() *vmm.IO { return &vmm.IO{Kind: blk.In, From: 0, Bytes: block} }

func main() {
	c := lib2.Open("review/10")
	var bricks []any
	for i := range 2 {
		name := fmt.Sprintf("brick-%d", i+1)
		c.Start(name, "brick", "--name", name, "--data", c.File(name+".data"), "--shard", fmt.Sprint(i), "--ready-file", c.File(name+".ready"))
		var at struct {
			Address string `json:"address"`
		}
		c.AwaitJSON(name+".ready", &at)
		bricks = append(bricks, map[string]any{"name": name, "address": at.Address, "zone": "zone-a", "shard": i})
	}
	settings := func(number int) map[string]any {
		return lib2.Settings(map[string]any{
			"host": map[string]any{"number": number, "count": 2, "zone": "zone-a", "seed": number + 1}, "shards": 2, "bricks": bricks,
		})
	}
	a, b := c.Serve("host-a", settings(0)), c.Serve("host-b", settings(1))
	order := func(g *lib2.Gateway, args ...string) (string, error) {
		return c.Run(15*time.Second, append([]string{"volume"}, append(args, "--socket", filepath.Join(g.Data, "control.sock"))...)...)
	}
	must := func(g *lib2.Gateway, args ...string) {
		if out, err := order(g, args...); err != nil {
			c.Cannot(fmt.Errorf("%v: %s", err, out))
		}
	}
	must(a, "create", "vm-1", "4MiB", "--block", "4096")
	must(a, "export", "vm-1")
	onA := newGuest(c, "guest on host-a")
	c.Must(onA.connect(filepath.Join(a.Data, "volumes", "vm-1.sock"), 5*time.Second))
	if !onA.do(write("first"), "writes block 0: first") {
		c.Cannot(errors.New("the volume does not take a write"))
	}

	if c.Trouble {
		a.Signal(syscall.SIGKILL)
		if !a.Await(5 * time.Second) {
			c.Cannot(errors.New("host-a was not killed"))
		}
		onA.m.Disconnect()
	}
	must(b, "export", "vm-1", "--steal")
	onB := newGuest(c, "guest on host-b")
	c.Must(onB.connect(filepath.Join(b.Data, "volumes", "vm-1.sock"), 5*time.Second))
	onB.do(read(), "reads block 0")
	if !onB.do(write("second"), "writes block 0: second") || !onB.do(&vmm.IO{Kind: blk.Flush}, "flushes") {
		c.Cannot(errors.New("the new holder cannot write"))
	}
	c.Note("the guest on host-b is shut down, its volume given free")
	onB.m.Disconnect()
	must(b, "unexport", "vm-1")

	stale := write("stale")
	given := false
	if c.Trouble {
		c.Must(onA.m.Queues[0].Submit(stale)) // its guest lives on and waits for its disk
		c.Note("the guest on host-a has a write of block 0 out: stale")
		a = c.Serve("host-a", settings(0))
		if err := onA.connect(filepath.Join(a.Data, "volumes", "vm-1.sock"), 6*time.Second); err != nil {
			c.Note("the guest on host-a finds no disk any more: %v", err)
		} else if given = onA.wait(stale, 5*time.Second); given {
			c.Note("guest on host-a: writes block 0: stale: %s", status(stale))
		}
	} else {
		given = true
		onA.do(stale, "writes block 0: stale")
	}
	if given && stale.Status == blk.OK {
		c.Break("a write by the old holder's guest was accepted, after the volume was taken from it")
	}
	onA.m.Disconnect()

	order(b, "list")
	if out, err := order(b, "export", "vm-1"); err != nil {
		c.Break("host-a holds the volume again, and nobody ordered it: %s", out)
		must(b, "export", "vm-1", "--steal")
	}
	again := newGuest(c, "guest on host-b, started again")
	c.Must(again.connect(filepath.Join(b.Data, "volumes", "vm-1.sock"), 5*time.Second))
	x := read()
	if again.do(x, "reads block 0") && !bytes.Equal(x.Data, text("second")) {
		c.Break("block 0 holds %.6q; written last, acknowledged and flushed by the new holder's guest was %q", x.Data, "second")
	}
	again.m.Disconnect()
	c.Finish()
}
