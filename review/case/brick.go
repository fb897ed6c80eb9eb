//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"sync"
	"time"
)

// brick is a stand-in of a storage node.
type brick struct {
	w       *world
	name    string
	group   int
	status  string // active, leaving or left; guarded by world.mu
	sinceMS int64
	ln      net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	hangs bool // answers nothing from now on
	work  func() time.Duration
}

// arrival is one request as a brick received it.
type arrival struct {
	brick     *brick
	id        string
	firstByte time.Time
	lastByte  time.Time
}

func (w *world) newBrick(group int, sinceMS int64) (*brick, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	n := len(w.bricks)
	w.mu.Unlock()
	b := &brick{w: w, name: fmt.Sprintf("s-%02d", n+1), group: group, status: "active", sinceMS: sinceMS, ln: ln, conns: map[net.Conn]struct{}{}, work: w.opt.work}
	go b.accept()
	return b, nil
}

// entry returns the brick as discovery lists it. The caller holds world.mu.
func (b *brick) entry() endpoint {
	return endpoint{Name: b.name, Address: b.ln.Addr().String(), Zone: "room-a", Type: "std-10", Group: b.group, Status: b.status, Weight: 1, SinceMS: b.sinceMS}
}

// stop ends the brick as a dying process does: its connections are reset and
// new ones refused.
func (b *brick) stop() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for nc := range b.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

func (b *brick) setHangs(hangs bool) {
	b.mu.Lock()
	b.hangs = hangs
	b.mu.Unlock()
}

func (b *brick) accept() {
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[nc] = struct{}{}
		b.mu.Unlock()
		go b.serve(nc)
	}
}

func (b *brick) serve(nc net.Conn) {
	defer func() {
		nc.Close()
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
	}()
	in := bufio.NewReader(nc)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		a := arrival{brick: b, id: q.Header.Get("X-Request-ID"), firstByte: first, lastByte: time.Now()}
		group, ok := b.w.arrived(a, q.Header.Get("X-Timeout"))
		b.mu.Lock()
		hangs := b.hangs
		b.mu.Unlock()
		switch {
		case !ok:
			fmt.Fprint(nc, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			continue
		case group >= 0 && group != b.group:
			fmt.Fprint(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		case hangs:
			in.Peek(1) // until the host or the brick ends the connection
			return
		}
		time.Sleep(b.work())
		if q.Method == "PUT" {
			b.w.store(path.Base(q.URL.Path), string(body))
		}
		text := answerBody(a.id)
		b.w.rec.at(time.Now(), "brick %s: has run %s, answers with 200", b.name, a.id)
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Server-Load: util=0.30\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
	}
}

// answerBody is the body that a brick makes for a request.
func answerBody(id string) string { return "made for " + id }

// between returns a random duration from lo to hi.
func between(lo, hi time.Duration) time.Duration { return lo + rand.N(hi-lo) }
