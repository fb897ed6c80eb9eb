//go:build review

// Case 6: one of five bricks is silent for 5.5 s while a guest writes; the volume hangs
// for good.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/standin/vmm"
	"arrowwalk/review/lib2"
)

const (
	bricks      = 5
	queues      = 16
	depth       = 256 // requests that a queue may have out
	ioBytes     = 32 << 10
	rate        = 700 // writes a second, over all queues
	diskBytes   = 512 << 20
	silence     = 5500 * time.Millisecond
	givenWithin = 45 * time.Second // after the brick speaks again: 30 s in which a request waits, and the class's 8 s
)

func main() {
	c := lib2.Open("review/6")
	var list []any
	var procs []*lib2.Proc
	for i := range bricks {
		name := fmt.Sprintf("brick-%d", i+1)
		procs = append(procs, c.Start(name, "brick", "--name", name, "--data", c.File(name+".data"), "--shard", fmt.Sprint(i), "--ready-file", c.File(name+".ready")))
		var at struct {
			Address string `json:"address"`
		}
		c.AwaitJSON(name+".ready", &at)
		list = append(list, map[string]any{"name": name, "address": at.Address, "zone": "zone-a", "shard": i})
	}
	g := c.Serve("gateway", lib2.Settings(map[string]any{"shards": bricks, "bricks": list}))
	control := filepath.Join(g.Data, "control.sock")
	for _, args := range [][]string{{"create", "vm-1", "512MiB", "--block", "4096"}, {"export", "vm-1"}} {
		if _, err := c.Run(15*time.Second, append([]string{"volume"}, append(args, "--socket", control)...)...); err != nil {
			c.Cannot(err)
		}
	}
	m, err := vmm.New(vmm.Options{Queues: queues, Size: depth, Slots: depth, Buffer: ioBytes, Event: true, Indirect: true, Inflight: true})
	c.Must(err)
	c.Must(m.Connect(filepath.Join(g.Data, "volumes", "vm-1.sock")))
	c.Note("a guest with %d queues of %d writes from one end of its parts of the disk to the other, %d times %d bytes a second", queues, depth, rate, ioBytes)

	gu := &guest{c: c, stop: make(chan struct{}), quit: make(chan struct{})}
	for i, q := range m.Queues {
		gu.wg.Go(func() { gu.write(i, q) })
	}
	ended := make(chan struct{})
	for range 3 {
		time.Sleep(time.Second)
		gu.report()
	}
	if c.Trouble {
		procs[2].Signal(syscall.SIGSTOP)
		time.Sleep(silence)
		gu.report()
		procs[2].Signal(syscall.SIGCONT)
	}
	back := time.Now()
	for range 3 {
		time.Sleep(time.Second)
		gu.report()
	}
	close(gu.stop)
	c.Note("the guest sends nothing more and waits for what is out")
	go func() { gu.wg.Wait(); close(ended) }()
	tick := time.NewTicker(5 * time.Second)
	for waiting := true; waiting; {
		select {
		case <-ended:
			waiting = false
		case <-tick.C:
			gu.report()
			waiting = time.Since(back) < givenWithin
		}
	}
	gu.report()
	out := gu.sent.Load() - gu.done.Load()
	if out == 0 {
		c.Finish()
	}
	c.Break("%d requests of the guest are not given back %.0f s after all bricks serve again", out, time.Since(back).Seconds())
	if a := g.Do("PUT", "/papers", "", nil, nil, 10*time.Second); a.Err == nil {
		c.Note("the object API of the same gateway and the bricks answer meanwhile")
	}
	g.Signal(syscall.SIGTERM)
	if !g.Await(20 * time.Second) {
		c.Note("the gateway does not end 20 s after SIGTERM either")
		g.Signal(syscall.SIGQUIT) // its goroutines go to its log
		g.Await(5 * time.Second)
		log, _ := os.ReadFile(c.File("gateway.log"))
		n := 0
		for part := range strings.SplitSeq(string(log), "\n\n") {
			if strings.Contains(part, "[chan send") && strings.Contains(part, "vhost.(*device).dispatch") {
				n++
			}
		}
		c.Note("%d of its goroutines stand in vhost.(*device).dispatch, sending to a channel", n)
	}
	close(gu.quit)
	c.Finish()
}

// guest writes one after the other in each queue's part of the disk, at a set rate,
// whether or not earlier writes were given back, as long as the queue has room.
type guest struct {
	c                  *lib2.Case
	stop, quit         chan struct{}
	wg                 sync.WaitGroup
	sent, done, failed atomic.Int64
}

func (g *guest) report() {
	sent, done := g.sent.Load(), g.done.Load()
	g.c.Note("guest: %d writes sent, %d given back, %d of these with an error, %d out", sent, done, g.failed.Load(), sent-done)
}

func (g *guest) write(number int, q *vmm.Queue) {
	start, issued, part := time.Now(), 0, int64(diskBytes/queues)
	stopping := false
	for {
		select {
		case <-g.quit:
			return
		case <-g.stop:
			stopping = true
		default:
		}
		due := int(time.Since(start).Seconds() * rate / queues)
		for !stopping && issued < due && q.Room() {
			data := make([]byte, ioBytes)
			copy(data, fmt.Sprintf("queue %d, write %d", number, issued))
			if err := q.Submit(&vmm.IO{Kind: blk.Out, From: int64(number)*part + int64(issued)*ioBytes%part, Bytes: ioBytes, Data: data}); err != nil {
				g.c.Cannot(err)
			}
			issued++
			g.sent.Add(1)
		}
		given, err := q.Collect(nil)
		if err != nil {
			g.c.Cannot(errors.Join(errors.New("guest"), err))
		}
		for _, x := range given {
			g.done.Add(1)
			if x.Status != blk.OK {
				g.failed.Add(1)
			}
		}
		if stopping && q.Out() == 0 {
			return
		}
		q.Wait(5 * time.Millisecond)
	}
}
