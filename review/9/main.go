//go:build review

// Case 9: the session of the only box is lost; the host is told that nothing is
// listed any more and goes on sending to the box.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-zookeeper/zk"

	"arrowwalk/review/lib2"
)

const (
	wait    = 10 * time.Second
	root    = "/arrowwalk/bricks"
	session = 2 * time.Second
	grace   = 500 * time.Millisecond
	slack   = 200 * time.Millisecond // 50 ms of the socket rules, 150 ms for a host that is held up
)

func main() {
	c := lib2.Open("review/9")
	c.Start("coord", "coord", "--listen", "127.0.0.1:0", "--ready-file", c.File("coord.ready"))
	var at struct {
		Address string `json:"address"`
	}
	c.AwaitJSON("coord.ready", &at)
	tree, _, err := zk.Connect([]string{at.Address}, 20*time.Second, zk.WithLogInfo(false), zk.WithLogger(silent{}))
	c.Must(err)
	link := c.NewLink("box-1's link to the coordination service", at.Address)
	box := func(name, coord string) *lib2.Proc {
		p := c.Start(name, "brick", "--name", name, "--data", c.File(name+".data"), "--shard", "0",
			"--coord", coord, "--session", session.String(), "--ready-file", c.File(name+".ready"))
		var ready struct{}
		c.AwaitJSON(name+".ready", &ready)
		return p
	}
	first := box("box-1", link.Addr)
	c.Must(await(tree, func(names []string) bool { return slices.Contains(names, "box-1") }))
	g := c.Serve("gateway", lib2.Settings(map[string]any{
		"shards": 1, "zones": []string{"zone-a"}, "bricks": []any{}, "cache_dir": c.File("members"),
		"discovery":   map[string]any{"servers": []string{at.Address}, "root": root, "session_ms": session.Milliseconds()},
		"collections": []any{map[string]any{"bucket": "papers", "plan": "basic"}},
	}))
	if !eventually(5*time.Second, func() bool { return g.Do("PUT", "/papers/before", "", nil, []byte("before"), wait).Status == 200 }) {
		c.Cannot(errors.New("the gateway does not serve"))
	}

	if c.Trouble {
		link.Cut()
		c.Note("the link of box-1 to the coordination service is cut")
		time.AfterFunc(6*time.Second, func() { link.Mend(); c.Note("the link is mended") })
	} else {
		c.Note("box-1 leaves as planned")
		first.Signal(syscall.SIGTERM)
	}
	c.Must(await(tree, func(names []string) bool { return !slices.Contains(names, "box-1") }))
	vanished := time.Now()
	c.Note("the node of box-1 has vanished; the list is empty")
	time.Sleep(grace + slack + 300*time.Millisecond)
	accepted := map[string]string{}
	late := 0
	for i := range 5 {
		key, body := fmt.Sprintf("paper-%d", i), fmt.Sprintf("text of paper %d", i)
		sent := time.Since(vanished)
		a := g.Do("PUT", "/papers/"+key, "", nil, []byte(body), time.Second)
		if a.Err == nil && a.Status == 200 {
			accepted[key] = body
			late++
			c.Note("%s was sent %.3f s after the node vanished, when no box was listed, and was accepted", key, sent.Seconds())
		}
		time.Sleep(100 * time.Millisecond)
	}
	box("box-2", at.Address)
	c.Must(await(tree, func(names []string) bool { return slices.Contains(names, "box-2") }))
	c.Note("box-2 has taken the place of box-1 for shard 0, %.1f s after the node vanished", time.Since(vanished).Seconds())
	for range 8 {
		time.Sleep(time.Second)
		names, _, _ := tree.Children(root)
		slices.Sort(names)
		c.Note("listed now: %s", strings.Join(names, ", "))
	}
	if a := g.Do("PUT", "/papers/after", "", nil, []byte("after"), wait); a.Status != 200 {
		c.Cannot(fmt.Errorf("the gateway does not serve from box-2: %s", a))
	}
	for i := range 5 {
		key := fmt.Sprintf("paper-%d", i)
		body, ok := accepted[key]
		if !ok {
			continue
		}
		found, last := false, ""
		for range 4 {
			a := g.Do("GET", "/papers/"+key, "", nil, nil, wait)
			last = a.String()
			if a.Err == nil && a.Status == 200 && string(a.Body) == body {
				found = true
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		if !found {
			c.Break("%s was accepted (200) by a box that was gone, and is lost: %s", key, last)
		}
	}
	log, _ := os.ReadFile(c.File("gateway.log"))
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, "node list") {
			c.Note("gateway's log: %s", strings.TrimSpace(line))
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
		return err == nil && ok(names)
	}) {
		return errors.New("the tree did not come to its state")
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
