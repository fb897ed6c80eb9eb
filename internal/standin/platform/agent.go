package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"arrowwalk/internal/http1"
)

// Endpoint is a brick as the agent tells of it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

// List is a line of the agent.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Book is what discovery knows; any number of agents tell of it.
type Book struct {
	mu      sync.Mutex
	index   int64
	entries map[string]Endpoint
	changes []List
	news    chan struct{}
}

// NewBook returns an empty book at an index.
func NewBook(index int64) *Book {
	return &Book{index: index, entries: map[string]Endpoint{}, news: make(chan struct{})}
}

// Entry is how a brick stands in the list.
func (b *Brick) Entry(status string) Endpoint {
	return Endpoint{Name: b.Name, Address: b.Addr(), Zone: b.Zone, Type: "m2", Group: b.Group, Status: status, Weight: 1,
		SinceMS: float64(b.Started) / 1000}
}

// Tell changes entries of the list.
func (k *Book) Tell(entries ...Endpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index++
	for _, e := range entries {
		if e.Status == "left" {
			delete(k.entries, e.Name)
		} else {
			k.entries[e.Name] = e
		}
	}
	k.changes = append(k.changes, List{Index: k.index, Endpoints: entries})
	close(k.news)
	k.news = make(chan struct{})
}

// Snapshot returns the whole list.
func (k *Book) Snapshot() List {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := List{Index: k.index, Snapshot: true}
	for _, e := range k.entries {
		l.Endpoints = append(l.Endpoints, e)
	}
	return l
}

// since returns the changes after an index, and what is closed at the next.
func (k *Book) since(index int64) ([]List, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.changes {
		if k.changes[i].Index > index {
			return append([]List(nil), k.changes[i:]...), k.news
		}
	}
	return nil, k.news
}

// Agent tells of a Book at an address.
type Agent struct {
	book *Book
	ln   net.Listener
	quit chan struct{}
	wg   sync.WaitGroup

	mu    sync.Mutex
	mute  bool
	conns map[net.Conn]struct{}
	Asked int // watches
}

// NewAgent starts an agent.
func NewAgent(book *Book) (*Agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{book: book, ln: ln, quit: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	a.wg.Add(1)
	go a.accept()
	return a, nil
}

// Addr returns where it listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Mute has the agent say nothing, or speak again; watches are cut then.
func (a *Agent) Mute(mute bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mute = mute
	if !mute {
		for nc := range a.conns {
			nc.Close()
		}
	}
}

// Cut ends the open watches and returns how many calls there were so far.
func (a *Agent) Cut() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for nc := range a.conns {
		nc.Close()
	}
	return a.Asked
}

// Calls returns how many watches were asked for so far.
func (a *Agent) Calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Asked
}

// Retire takes no more connections; Stop closes the open ones.
func (a *Agent) Retire() { a.ln.Close() }

// Stop ends the agent.
func (a *Agent) Stop() {
	a.ln.Close()
	a.mu.Lock()
	close(a.quit)
	for nc := range a.conns {
		nc.Close()
	}
	a.mu.Unlock()
	a.wg.Wait()
}

func (a *Agent) accept() {
	defer a.wg.Done()
	for {
		nc, err := a.ln.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[nc] = struct{}{}
		a.mu.Unlock()
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			a.serve(nc)
			nc.Close()
			a.mu.Lock()
			delete(a.conns, nc)
			a.mu.Unlock()
		}()
	}
}

func (a *Agent) muted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mute
}

// emptyEvery is how often an empty line tells that nothing changes.
const emptyEvery = time.Second

// serve answers one watch.
func (a *Agent) serve(nc net.Conn) {
	var q http1.Request
	if http1.NewReader(bufio.NewReader(nc), http1.DefaultLimits).ReadRequest(&q) != nil {
		return
	}
	var from int64
	if _, err := fmt.Sscanf(q.Target, "/v1/servers?watch=1&from=%d", &from); err != nil {
		fmt.Fprint(nc, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	a.mu.Lock()
	a.Asked++
	a.mu.Unlock()
	if a.muted() {
		<-a.quit
		return
	}
	fmt.Fprint(nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	tick := time.NewTicker(emptyEvery)
	defer tick.Stop()
	for {
		lists, news := a.book.since(from)
		for _, l := range lists {
			text, _ := json.MarshalIndent(l, "", " ")
			half := len(text) / 2 // a list may be of many lines, and come in pieces
			if a.muted() || !chunk(nc, string(text[:half])) || !chunk(nc, string(text[half:])+"\n") {
				break
			}
			from = l.Index
		}
		select {
		case <-news:
		case <-tick.C:
			if !a.muted() && !chunk(nc, "\n") {
				return
			}
		case <-a.quit:
			return
		}
	}
}

func chunk(nc net.Conn, text string) bool {
	_, err := fmt.Fprintf(nc, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}
