//go:build review

// Case 9: a write that had failed runs late, at a brick that was silent, and takes the
// place of a newer one that was accepted.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/placement"
	"arrowwalk/review/lib2"
)

const (
	bricks   = 5
	hosts    = 4
	silent   = 2 // the shard whose brick falls silent
	silence  = 4500 * time.Millisecond
	patience = 2500 * time.Millisecond // for which clients wait
)

func main() {
	c := lib2.Open("review/9")
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
	class := func(aim time.Duration, more map[string]any) map[string]any {
		class := map[string]any{"aim_ms": aim.Milliseconds(), "aim_stretch": 0, "deadline_ms": patience.Milliseconds(), "worth": 2, "late_worth": 0.15}
		for k, v := range more {
			class[k] = v
		}
		return class
	}
	var gateways []*lib2.Gateway
	for i := range hosts {
		gateways = append(gateways, c.Serve(fmt.Sprintf("host-%d", i), lib2.Settings(map[string]any{
			"host": map[string]any{"number": i, "count": hosts, "zone": "zone-a", "seed": i + 1}, "shards": bricks, "bricks": list,
			"classes":     map[string]any{"read": class(400*time.Millisecond, nil), "write": class(500*time.Millisecond, map[string]any{"window_ms": 4000})},
			"collections": []any{map[string]any{"bucket": "papers", "plan": "basic"}},
		})))
	}
	shards, err := placement.NewEven(bricks)
	c.Must(err)
	var keys []string
	for i := 0; len(keys) < 4; i++ {
		if key := fmt.Sprintf("paper-%d", i); shards.Shard(placement.Object("papers", key)) == silent {
			keys = append(keys, key)
		}
	}
	first, second := []byte(strings.Repeat("first version ", 8000)), []byte("second version")
	for _, key := range keys {
		if a := gateways[0].Do("PUT", "/papers/"+key, "", nil, []byte("as it was"), patience); a.Status != 200 {
			c.Cannot(fmt.Errorf("%s: %s", key, a))
		}
	}
	if c.Trouble {
		procs[silent].Signal(syscall.SIGSTOP)
		time.AfterFunc(silence, func() { procs[silent].Signal(syscall.SIGCONT) })
	}
	var wg sync.WaitGroup
	accepted := make([]bool, len(keys))
	for i, key := range keys {
		wg.Go(func() {
			older := gateways[i%2].Do("PUT", "/papers/"+key, "", nil, first, patience+500*time.Millisecond)
			if older.Err != nil { // no final answer: it may be under way
				return
			}
			// Now the newer version is written, once.
			a := gateways[2+i%2].Do("PUT", "/papers/"+key, "", nil, second, patience+500*time.Millisecond)
			accepted[i] = a.Err == nil && a.Status == 200
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	for i, key := range keys {
		if !accepted[i] {
			continue
		}
		for range 5 {
			a := gateways[i].Do("GET", "/papers/"+key, "", nil, nil, patience)
			if a.Err != nil || a.Status != 200 {
				time.Sleep(300 * time.Millisecond) // not served now: it tells nothing
				continue
			}
			if string(a.Body) != string(second) {
				c.Break("%s: the second version was accepted (200) after the first one's final answer; what is read is %.13q", key, a.Body)
			}
			break
		}
	}
	c.Finish()
}
