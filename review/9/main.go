//go:build review

// Case 9: a keyed request is sent again on a connection that comes up late, when
// the bricks no longer remember it.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"arrowwalk/internal/standin/platform"
	"arrowwalk/review/lib2"
)

const (
	window   = time.Second            // for which the brick drops repeats
	slack    = 200 * time.Millisecond // 50 ms of the socket rules, 150 ms for a host that is held up
	resetAt  = 300 * time.Millisecond // after the request's last byte
	deadline = 2500 * time.Millisecond
	rounds   = 3 // each with a host of its own
)

// brick is a sound brick: it runs a keyed request once within the window.
type brick struct {
	c    *lib2.Case
	door *lib2.Door

	mu      sync.Mutex
	script  bool // the next request that runs gets no answer and its connection is reset
	first   map[string]time.Time
	runs    map[string]int
	repeats map[string]int
}

func (b *brick) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		at := time.Now()
		key, id := q.Header.Get("Idempotency-Key"), q.Header.Get("X-Request-ID")
		b.mu.Lock()
		script := b.script
		b.script = false
		first, known := b.first[key]
		after := at.Sub(first)
		what := "runs it"
		switch {
		case !known:
			b.first[key], b.runs[key] = at, 1
		case after <= window+slack:
			b.repeats[key]++
			what = fmt.Sprintf("drops the repeat, %.3f s after the first", after.Seconds())
		default:
			b.runs[key]++
			what = fmt.Sprintf("does not know the key any more, %.3f s after the first, and runs it", after.Seconds())
		}
		b.mu.Unlock()
		b.c.Note("brick: %s %s, key %s, id %s, X-Timeout %s, %d bytes: %s", q.Method, q.URL.Path, key, id, q.Header.Get("X-Timeout"), len(body), what)
		if script {
			if err := b.door.Hold(); err != nil {
				b.c.Cannot(err)
			}
			time.Sleep(time.Until(at.Add(resetAt)))
			nc.(*net.TCPConn).SetLinger(0)
			b.c.Note("brick: the connection is reset under request %s, which has run; new ones come up late", id)
			nc.Close()
			time.Sleep(700 * time.Millisecond)
			b.door.Release()
			return
		}
		text := "answer to " + id
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

func main() {
	c := lib2.Open("review/9")
	b := &brick{c: c, first: map[string]time.Time{}, runs: map[string]int{}, repeats: map[string]int{}}
	b.door = c.NewDoor(b.serve)
	book := platform.NewBook(40)
	book.Tell(platform.Endpoint{Name: "s-5be2a07c", Address: b.door.Addr, Zone: "room-a", Type: "std-10", Group: 0, Status: "active", Weight: 1})
	agent, err := platform.NewAgent(book)
	c.Must(err)
	for n := range rounds {
		_, host := c.Platform(fmt.Sprintf("n%d", n), agent.Addr(), book.Snapshot(), settings())
		key, id := fmt.Sprintf("paper-%d", n), fmt.Sprintf("9b1f03aa5c7e2d%02x", n)
		b.mu.Lock()
		b.script = c.Trouble
		b.mu.Unlock()
		req, err := http.NewRequest("PUT", fmt.Sprintf("http://%s/save-paper/00000003b4d60021/%016x", host, 100+n), strings.NewReader(strings.Repeat("x", 212)))
		c.Must(err)
		req.Header["X-Request-ID"] = []string{id}
		req.Header["Idempotency-Key"] = []string{key}
		req.Header["X-Plan"] = []string{"campus"}
		req.Header["X-Timeout"] = []string{"2.500"}
		req.Header["X-IO"] = []string{"units=2,shard=0,hosts=1"}
		sent := time.Now()
		client := http.Client{Timeout: deadline + 500*time.Millisecond}
		resp, err := client.Do(req)
		if err != nil {
			c.Note("client: %s: no answer: %v", id, err)
		} else {
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			c.Note("client: %s: %d %q after %.3f s", id, resp.StatusCode, text, time.Since(sent).Seconds())
		}
		time.Sleep(time.Until(sent.Add(deadline)) + 500*time.Millisecond)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := range rounds {
		key := fmt.Sprintf("paper-%d", n)
		if b.runs[key] > 1 {
			c.Break("%s ran %d times: it was sent again after the %s for which the brick remembers it", key, b.runs[key], window)
		}
	}
	agent.Stop()
	c.Finish()
}

// settings are those of a small deployment like pasig-main, with the shorter window
// and the connections that come up late of the short days.
func settings() map[string]any {
	class := func(name string, aim time.Duration, repeat, scope string) map[string]any {
		return map[string]any{"name": name, "aimUs": aim.Microseconds(), "deadlineUs": deadline.Microseconds(), "repeat": repeat,
			"dedupScope": scope, "windowUs": window.Microseconds(), "worth": 2.0, "lateWorth": 0.2, "streamed": false}
	}
	plan := func(name string, rate, reserve float64) map[string]any {
		return map[string]any{"name": name, "usualRate": rate, "reservation": reserve, "parts": 1.0, "worthFactor": 1.0, "burst": 0.0, "ceilingRate": 0.0, "limitSlack": 0.0}
	}
	return map[string]any{
		"categories":    []any{class("fetch-text", 400*time.Millisecond, "read_like", "all"), class("save-paper", 500*time.Millisecond, "idempotency_key", "cell")},
		"discovery":     "automatic",
		"familyInfo":    map[string]any{"changesData": []bool{false, true}, "coldBears": 29.0, "meterUs": 1000000, "mostUnits": 6, "saysOthers": true, "shards": 1, "unitMean": 2.01, "withinShare": 0.35, "beyondShare": 0.08},
		"layer":         0,
		"layers":        []string{"paper-store"},
		"limits":        map[string]any{"cancel": true, "connectTimeoutUs": 1500000, "cpuUsPerS": 666666, "idleCloseUs": 15000000, "maxAttempts": 4, "maxOpen": 26666, "maxRetryAfterUs": 500000, "parallelTries": true, "probing": true, "retryAfter": true},
		"ordinal":       0,
		"peersTotal":    3,
		"periodUs":      2000,
		"reporting":     map[string]any{"fields": []string{"util"}, "how": "inline"},
		"rules":         map[string]any{"answerSlackUs": 8000, "askEveryUs": 10000000, "coldFrom": 0.23, "drainGraceUs": 500000, "fallUs": 1000000, "overloadFactor": 4.0, "warmWithinUs": 15000000},
		"serviceLevels": []any{plan("basic", 3.6, 0), plan("campus", 7.2, 7.2), plan("university", 14, 17)},
		"weightKind":    "off",
		"zone":          0,
		"zones":         []string{"room-a", "room-b", "room-c"},
	}
}
