//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one request of a client and what became of it. World.mu guards the
// fields below id once the call is sent.
type call struct {
	host    *host
	class   *class
	volume  volume
	shard   int
	units   int
	timeout time.Duration
	id      string

	sent     time.Time // its last byte was written
	status   int       // of the answer; 0: none
	whole    bool      // the answer came whole
	wrong    bool      // it was served with what no brick made for it
	answered time.Time // the answer's last byte, or the end without one
	how      string    // how it ended
	cut      time.Time // when the host ended the first connection without a byte
	first    bool      // it was the first request on the connection that was cut
	key      uint64    // the piece of data; 0: one of its own
	body     string    // of a write
	arrivals []arrival
}

// volume is a volume of the deployment.
type volume struct {
	id    uint64
	plan  string
	hosts int
}

// clientPool holds the idle connections of the clients of one host.
type clientPool struct {
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	nc   net.Conn
	in   *bufio.Reader
	used bool
}

func (p *clientPool) get(addr string) (*clientConn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{nc: nc, in: bufio.NewReader(nc)}, nil
}

func (p *clientPool) put(c *clientConn) {
	p.mu.Lock()
	c.used = true
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// arrived records a request at a brick. It returns the group that the request
// is for, and false if no client sent it.
func (w *world) arrived(a arrival, timeout string) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.calls[a.id]
	if c == nil {
		w.rec.at(a.lastByte, "brick %s: got %q, which no client sent", a.brick.name, a.id)
		return 0, false
	}
	c.arrivals = append(c.arrivals, a)
	w.rec.at(a.firstByte, "brick %s: first byte of %s from %s", a.brick.name, a.id, c.host.name)
	w.rec.at(a.lastByte, "brick %s: last byte of %s from %s, X-Timeout %s", a.brick.name, a.id, c.host.name, timeout)
	return c.shard, true
}

// newCall makes a request with a new id.
func (w *world) newCall(h *host, cl *class, v volume, shard, units int) *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	c := &call{host: h, class: cl, volume: v, shard: shard, units: units, timeout: cl.deadline, id: fmt.Sprintf("%016x", 0x9b1f03aa00000000+w.nextID)}
	w.calls[c.id] = c
	return c
}

// text returns the request as the protocol page shows it.
func (c *call) text(left time.Duration) string {
	var b strings.Builder
	method, body := "GET", ""
	if c.class.writes {
		method, body = "PUT", cmp.Or(c.body, strings.Repeat("x", 212))
	}
	piece := cmp.Or(c.key, 0x7f3a000000000000+hash(c.id))
	fmt.Fprintf(&b, "%s /%s/%016x/%016x HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Plan: %s\r\nX-Timeout: %.3f\r\n",
		method, c.class.name, c.volume.id, piece, c.id, c.volume.plan, left.Seconds())
	if c.class.writes {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
		if c.class.keyed {
			fmt.Fprintf(&b, "Idempotency-Key: k-%s\r\n", c.id)
		}
	}
	fmt.Fprintf(&b, "X-IO: units=%d,shard=%d,hosts=%d\r\n\r\n%s", c.units, c.shard, c.volume.hosts, body)
	return b.String()
}

// hash spreads ids over pieces of data.
func hash(id string) (h uint64) {
	for i := range len(id) {
		h = h*31 + uint64(id[i])
	}
	return h & 0xffffffffffff
}

// patience is how long a client looks for an answer behind its time.
const patience = time.Second

// send sends the request in the background and records what becomes of it.
func (w *world) send(c *call) {
	w.clients.Add(1)
	go func() {
		defer w.clients.Done()
		deadline := time.Now().Add(c.timeout)
		again := w.try(c, deadline, false)
		if again { // the connection had rested: the request is sent once more
			w.try(c, deadline, true)
		}
	}()
}

// try sends the request once. It returns true if the host closed the resting
// connection without a byte.
func (w *world) try(c *call, deadline time.Time, fresh bool) (again bool) {
	var cc *clientConn
	var err error
	if fresh {
		var nc net.Conn
		if nc, err = net.DialTimeout("tcp", c.host.addr, time.Second); err == nil {
			cc = &clientConn{nc: nc, in: bufio.NewReader(nc)}
		}
	} else {
		cc, err = c.host.pool.get(c.host.addr)
	}
	if err != nil {
		w.finish(c, 0, false, false, "not connected: "+reason(err))
		return false
	}
	left := time.Until(deadline)
	cc.nc.SetDeadline(deadline.Add(patience))
	if _, err := fmt.Fprint(cc.nc, c.text(left)); err != nil {
		cc.nc.Close()
		if !cc.used {
			w.finish(c, 0, false, false, "not written: "+reason(err))
		}
		return cc.used
	}
	now := time.Now()
	w.mu.Lock()
	if c.sent.IsZero() {
		c.sent = now
	}
	w.mu.Unlock()
	w.rec.at(now, "client of %s: sent %s, %s, shard %d, units %d, X-Timeout %.3f", c.host.name, c.id, c.class.name, c.shard, c.units, left.Seconds())
	if _, err := cc.in.Peek(1); err != nil {
		cc.nc.Close()
		w.mu.Lock()
		if c.cut.IsZero() {
			c.cut, c.first = time.Now(), !cc.used
		}
		w.mu.Unlock()
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			w.finish(c, 0, false, false, "never answered")
			return false
		}
		if cc.used {
			w.rec.at(time.Now(), "client of %s: %s, the connection ended without a byte: %s", c.host.name, c.id, reason(err))
			return true
		}
		w.finish(c, 0, false, false, "closed without an answer: "+reason(err))
		return false
	}
	answer, err := http.ReadResponse(cc.in, nil)
	if err != nil {
		cc.nc.Close()
		w.finish(c, 0, false, false, "unreadable answer: "+reason(err))
		return false
	}
	body, err := io.ReadAll(answer.Body)
	wrong := answer.StatusCode == 200 && string(body) != answerBody(c.id)
	w.finish(c, answer.StatusCode, err == nil, wrong, fmt.Sprint("answered ", answer.StatusCode))
	if err != nil || answer.Close {
		cc.nc.Close()
		return false
	}
	c.host.pool.put(cc)
	return false
}

// finish records how a request ended.
func (w *world) finish(c *call, status int, whole, wrong bool, how string) {
	now := time.Now()
	w.mu.Lock()
	c.status, c.whole, c.wrong, c.how, c.answered = status, whole, wrong, how, now
	w.mu.Unlock()
	w.rec.at(now, "client of %s: %s %s", c.host.name, c.id, how)
}

// reason shortens an error to its cause, without addresses.
func reason(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}
