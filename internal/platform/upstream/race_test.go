package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
)

// held is a brick whose requests the test answers.
type held struct {
	ln    net.Listener
	asked chan net.Conn // the connection of each whole request
	heads chan http1.Request
	wg    sync.WaitGroup
}

func newHeld(t *testing.T) *held {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &held{ln: ln, asked: make(chan net.Conn, 10), heads: make(chan http1.Request, 10)}
	b.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			b.wg.Go(func() { b.serve(nc) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		b.wg.Wait()
	})
	return b
}

func (b *held) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	heads := http1.NewReader(in, http1.DefaultLimits)
	for {
		var q http1.Request
		if heads.ReadRequest(&q) != nil {
			return
		}
		var body http1.Body
		if body.Reset(in, q.Framing); !body.Drain(1 << 20) {
			return
		}
		b.heads <- q
		b.asked <- nc
	}
}

func (b *held) addr() string { return b.ln.Addr().String() }

// heldDial waits after each dial until the test lets it go on.
type heldDial struct{ up, goOn chan struct{} }

func newHeldDial() *heldDial {
	return &heldDial{make(chan struct{}, 10), make(chan struct{}, 10)}
}

func (d *heldDial) dial(_ context.Context, address string) (net.Conn, error) {
	nc, err := net.Dial("tcp", address)
	d.up <- struct{}{}
	<-d.goOn
	return nc, err
}

func sender(t *testing.T, change func(*Options)) *Sender {
	t.Helper()
	opt := Options{Host: newHost(t), DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxConns: 4, MaxClientWait: time.Second, MaxResponseBytes: 8 << 20}
	change(&opt)
	s := NewSender(opt)
	t.Cleanup(s.Close)
	return s
}

// A second answer that comes only when the next request is out reaches nobody:
// the connection lies for a while before it carries another.
func TestSecondAnswerComesLate(t *testing.T) {
	b := newHeld(t)
	s := sender(t, func(o *Options) { o.ReuseDelay = time.Minute })
	var first net.Conn
	for n := range 2 {
		call := newCall(s)
		done := make(chan host.AttemptResult, 1)
		go func() { done <- try(call, b.addr(), 10*time.Second) }()
		nc := <-b.asked
		if n == 0 {
			first = nc
		} else { // the late one first, where the next request is
			io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		}
		io.WriteString(nc, good)
		if r := <-done; r.Status != arrowwalk.OK || string(call.ResponseBody) != "ok" {
			t.Errorf("request %d: %+v %q", n, r, call.ResponseBody)
		}
		call.ReleaseResponse()
	}
	if rested := s.pool.PopIdle(b.addr()); rested == nil {
		t.Error("nothing is kept")
	} else {
		s.pool.Discard(rested)
	}
}

// An attempt that was given up while its connection came up writes nothing.
func TestAbortDuringADial(t *testing.T) {
	b, d := newHeld(t), newHeldDial()
	s := sender(t, func(o *Options) { o.Dial = d.dial })
	call := newCall(s)
	done := make(chan host.AttemptResult, 1)
	go func() { done <- try(call, b.addr(), 10*time.Second) }()
	<-d.up
	call.Abort(0)
	d.goOn <- struct{}{}
	if r := <-done; !r.Status.NeverRan() {
		t.Errorf("%+v", r)
	}
	if open, idle, _ := s.Counts(); open != idle {
		t.Errorf("%d connections open, %d idle", open, idle)
	}
	if len(b.asked) > 0 {
		t.Error("the brick got the request")
	}
}

// A brick is told what is left when the request is written, not when the
// attempt began.
func TestTimeToldBehindALateDial(t *testing.T) {
	b, d := newHeld(t), newHeldDial()
	s := sender(t, func(o *Options) { o.Dial = d.dial })
	call, until := newCall(s), time.Now().Add(10*time.Second)
	done := make(chan host.AttemptResult, 1)
	go func() { done <- call.Try(&host.Attempt{Member: host.Member{Address: b.addr()}, Deadline: until}) }()
	<-d.up
	for time.Until(until) > 9900*time.Millisecond { // the connection comes up late
		<-time.After(time.Millisecond)
	}
	left := time.Until(until)
	d.goOn <- struct{}{}
	io.WriteString(<-b.asked, good)
	<-done
	call.ReleaseResponse()
	var told float64
	if _, err := fmt.Sscan((<-b.heads).Fields.Get(HeaderTimeout), &told); err != nil || told > left.Seconds() {
		t.Errorf("told %g s of %s: %v", told, left, err)
	}
}

// An answer without a length that ends by a reset is no answer, and one whose
// brick goes inside it may have run.
func TestResetInsideAnAnswer(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "HTTP/1.1 2"} {
		b := newHeld(t)
		s := sender(t, func(*Options) {})
		call := newCall(s)
		done := make(chan host.AttemptResult, 1)
		go func() { done <- try(call, b.addr(), 10*time.Second) }()
		nc := <-b.asked
		io.WriteString(nc, text)
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
		if r := <-done; r.Final || r.Status == arrowwalk.OK || r.Status.NeverRan() {
			t.Errorf("%q: %+v", text, r)
		}
		if open, _, _ := s.Counts(); open != 0 {
			t.Errorf("%q: %d connections kept", text, open)
		}
	}
}
