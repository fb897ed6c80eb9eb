//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// endpoint is a brick in discovery's list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// list is one message of discovery.
type list struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// agent is discovery's agent on one host's machine. While discovery is down it
// is silent: it takes connections and answers nothing.
type agent struct {
	w    *world
	host *host
	ln   net.Listener

	mu      sync.Mutex
	index   int64
	down    bool
	watches map[*watch]struct{} // open calls
	ended   chan time.Time      // when a call ended that was never answered
	told    map[string]time.Time
}

// watch is one open call to the agent.
type watch struct {
	nc       net.Conn
	answered bool // the head of the answer is written
}

func newAgent(w *world, h *host) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{w: w, host: h, ln: ln, index: 40, watches: map[*watch]struct{}{}, ended: make(chan time.Time, 1000), told: map[string]time.Time{}}
	go a.accept()
	go a.sendEmptyLines()
	return a, nil
}

func (a *agent) addr() string { return a.ln.Addr().String() }

func (a *agent) close() {
	a.ln.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.watches {
		c.nc.Close()
	}
}

func (a *agent) accept() {
	for {
		nc, err := a.ln.Accept()
		if err != nil {
			return
		}
		go a.serve(nc)
	}
}

// serve answers one call and holds it until the host ends it.
func (a *agent) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	q, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	if q.URL.Path != "/v1/servers" || q.URL.Query().Get("watch") != "1" {
		fmt.Fprint(nc, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	c := &watch{nc: nc}
	a.mu.Lock()
	a.w.rec.at(time.Now(), "agent of %s: watch asked for, %s", a.host.name, q.URL.RawQuery)
	a.watches[c] = struct{}{}
	if !a.down {
		a.answer(c)
	}
	a.mu.Unlock()
	in.ReadByte() // until the host closes
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.watches, c)
	a.w.rec.at(time.Now(), "agent of %s: watch ended by the host", a.host.name)
	if !c.answered {
		a.ended <- time.Now()
	}
}

// answer begins the answer to a watch with the whole list. The caller holds a.mu.
func (a *agent) answer(c *watch) {
	c.answered = true
	fmt.Fprint(c.nc, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	writeChunk(c.nc, marshalLine(list{Index: a.index, Snapshot: true, Endpoints: a.w.entries()}))
}

// sendEmptyLines sends an empty line on each open watch every 2 s.
func (a *agent) sendEmptyLines() {
	for range time.Tick(2 * time.Second) {
		a.mu.Lock()
		for c := range a.watches {
			if c.answered && !a.down {
				writeChunk(c.nc, "\n")
			}
		}
		a.mu.Unlock()
	}
}

// change passes changed entries to the host, unless discovery is down. The
// change counts as told from when it was written to the host's socket.
func (a *agent) change(changed ...endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	if a.down {
		return
	}
	text := marshalLine(list{Index: a.index, Endpoints: changed})
	for c := range a.watches {
		if c.answered {
			writeChunk(c.nc, text)
		}
	}
	a.markTold(changed)
}

// markTold records the time from which changes count as told. The caller holds
// a.mu.
func (a *agent) markTold(changed []endpoint) {
	now := time.Now()
	for _, e := range changed {
		if e.Status != "active" {
			if _, ok := a.told[e.Name]; !ok {
				a.told[e.Name] = now
				a.w.rec.at(now, "agent of %s: has %s as %s (%d calls open)", a.host.name, e.Name, e.Status, len(a.watches))
			}
		}
	}
}

// setDown makes discovery go down for this agent.
func (a *agent) setDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = true
	a.w.rec.at(time.Now(), "agent of %s: silent, discovery is down", a.host.name)
}

// restore ends discovery's outage: the agent gets what it missed and answers
// all open calls at once.
func (a *agent) restore(missed ...endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = false
	for c := range a.watches {
		if !c.answered {
			a.answer(c)
		} else {
			writeChunk(c.nc, marshalLine(list{Index: a.index, Endpoints: missed}))
		}
	}
	a.w.rec.at(time.Now(), "agent of %s: discovery is back", a.host.name)
	a.markTold(missed)
}

// toldAt returns from when the host counts as told that a brick drains or is
// gone.
func (a *agent) toldAt(name string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.told[name]
	return t, ok
}

func marshalLine(l list) string {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return string(text) + "\n"
}

func writeChunk(nc net.Conn, text string) {
	nc.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text)
}
