//go:build review

// Case 8: a machine with a host and a box stands still for longer than their
// sessions; when it wakes up, the host sends new work to the box that is gone.
package main

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-zookeeper/zk"

	"arrowwalk/review/lib2"
)

const (
	wait    = 10 * time.Second
	root    = "/arrowwalk/bricks"
	session = 5 * time.Second        // the default of the box and of the host
	grace   = 500 * time.Millisecond // after which nothing new goes to a box that vanished
	slack   = 200 * time.Millisecond // 50 ms of the socket rules, 150 ms for a host that is held up
)

func main() {
	c := lib2.Open("review/8")
	c.StartStandin("coord", "coord", "--listen", "127.0.0.1:0", "--ready-file", c.File("coord.ready"))
	var at struct {
		Address string `json:"address"`
	}
	c.AwaitJSON("coord.ready", &at)
	tree, _, err := zk.Connect([]string{at.Address}, 20*time.Second, zk.WithLogInfo(false), zk.WithLogger(silent{}))
	c.Must(err)
	box := func(name string) *lib2.Proc {
		p := c.Start(name, "brick", "--name", name, "--data", c.File(name+".data"), "--shard", "0",
			"--coord", at.Address, "--session", session.String(), "--ready-file", c.File(name+".ready"))
		var ready struct{}
		c.AwaitJSON(name+".ready", &ready)
		return p
	}
	first := box("box-1")
	c.Must(await(tree, func(names []string) bool { return slices.Contains(names, "box-1") }))

	g := c.Serve("gateway", lib2.Settings(map[string]any{
		"shards": 1, "zones": []string{"zone-a"}, "bricks": []any{}, "cache_dir": c.File("members"),
		"discovery":   map[string]any{"servers": []string{at.Address}, "root": root, "session_ms": session.Milliseconds()},
		"collections": []any{map[string]any{"bucket": "papers", "plan": "basic"}},
	}))
	if !eventually(5*time.Second, func() bool { return g.Do("PUT", "/papers/before", "", nil, []byte("before"), wait).Status == 200 }) {
		c.Cannot(errors.New("the gateway does not serve"))
	}

	var vanished, resumed time.Time
	stored := map[string]string{}
	var mu sync.Mutex
	put := func(key, body string) {
		a := g.Do("PUT", "/papers/"+key, "", nil, []byte(body), wait)
		if a.Err == nil && a.Status == 200 {
			mu.Lock()
			stored[key] = body
			mu.Unlock()
		}
	}
	if c.Trouble {
		c.Note("the machine of the gateway and of box-1 stands still")
		g.Signal(syscall.SIGSTOP)
		first.Signal(syscall.SIGSTOP)
	} else {
		c.Note("box-1 leaves as planned")
		first.Signal(syscall.SIGTERM)
	}
	c.Must(await(tree, func(names []string) bool { return !slices.Contains(names, "box-1") }))
	vanished = time.Now()
	c.Note("the node of box-1 has vanished")
	box("box-2")
	c.Must(await(tree, func(names []string) bool { return slices.Contains(names, "box-2") }))
	c.Note("box-2 has taken its place for shard 0")
	time.Sleep(2 * time.Second)

	var clients sync.WaitGroup
	for i := range 5 { // they come 0.2 s before the host goes on, and wait 8 s for their answers
		clients.Go(func() { put(fmt.Sprintf("paper-%d", i), fmt.Sprintf("text of paper %d", i)) })
	}
	time.Sleep(200 * time.Millisecond)
	if c.Trouble {
		first.Signal(syscall.SIGCONT)
		g.Signal(syscall.SIGCONT)
		resumed = time.Now()
		c.Note("the machine goes on, %.1f s after the node of box-1 vanished", resumed.Sub(vanished).Seconds())
	}
	clients.Wait()
	c.Note("%d papers were accepted (200)", len(stored))
	for range 8 { // until every list has been read again
		time.Sleep(time.Second)
		names, _, _ := tree.Children(root)
		slices.Sort(names)
		c.Note("listed now: %s", strings.Join(names, ", "))
	}
	var lost []string
	for i := range 5 {
		key := fmt.Sprintf("paper-%d", i)
		if _, ok := stored[key]; !ok {
			continue
		}
		missing := 0
		for range 4 {
			a := g.Do("GET", "/papers/"+key, "", nil, nil, wait)
			if a.Err == nil && a.Status == 404 { // what is refused or fails tells nothing
				missing++
			}
			time.Sleep(300 * time.Millisecond)
		}
		if missing == 4 {
			lost = append(lost, key)
		}
	}
	if c.Trouble {
		late := resumed.Sub(vanished)
		g.Signal(syscall.SIGTERM)
		first.Signal(syscall.SIGTERM)
		first.Await(10 * time.Second)
		held, err := c.Run(10*time.Second, "store", "dump", c.File("box-1.data"))
		c.Must(err)
		for _, key := range lost {
			if strings.Contains(held, "papers/"+key+"\"") && late > grace+slack {
				c.Break("%s was sent to box-1 %.1f s or more after its node vanished, accepted (200), and is lost: 404", key, late.Seconds())
			}
		}
	} else {
		for _, key := range lost {
			c.Break("%s was accepted (200) and is lost: 404", key)
		}
	}
	c.Finish()
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// await waits until the names under the root are as they should be.
func await(tree *zk.Conn, ok func(names []string) bool) error {
	if !eventually(20*time.Second, func() bool {
		names, _, err := tree.Children(root)
		return err == nil && ok(names) || errors.Is(err, zk.ErrNoNode) && ok(nil)
	}) {
		return fmt.Errorf("the tree under %s did not come to its state", path.Clean(root))
	}
	return nil
}

func eventually(most time.Duration, ok func() bool) bool {
	for until := time.Now().Add(most); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}
