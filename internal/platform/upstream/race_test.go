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

// manualBrick is a brick whose requests the test answers itself.
type manualBrick struct {
	ln       net.Listener
	requests chan net.Conn // the connection of each complete request
	heads    chan http1.Request
	wg       sync.WaitGroup
}

func newManualBrick(t *testing.T) *manualBrick {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &manualBrick{ln: ln, requests: make(chan net.Conn, 10), heads: make(chan http1.Request, 10)}
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

func (b *manualBrick) serve(nc net.Conn) {
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
		b.requests <- nc
	}
}

func (b *manualBrick) addr() string { return b.ln.Addr().String() }

// pausedDialer pauses after each dial until the test continues it.
type pausedDialer struct{ dialed, proceed chan struct{} }

func newPausedDialer() *pausedDialer {
	return &pausedDialer{make(chan struct{}, 10), make(chan struct{}, 10)}
}

func (d *pausedDialer) dial(_ context.Context, address string) (net.Conn, error) {
	nc, err := net.Dial("tcp", address)
	d.dialed <- struct{}{}
	<-d.proceed
	return nc, err
}

// newTestSender returns a Sender with default options that change may alter.
func newTestSender(t *testing.T, change func(*Options)) *Sender {
	t.Helper()
	opt := Options{Host: newHost(t), DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxConns: 4, MaxClientWait: time.Second, MaxResponseBytes: 8 << 20}
	change(&opt)
	s := NewSender(opt)
	t.Cleanup(s.Close)
	return s
}

// A brick may send a duplicate response late, when the next request is already
// out. It must not be taken for that request's response: a connection rests for
// the reuse delay before it carries another request.
func TestSecondAnswerComesLate(t *testing.T) {
	b := newManualBrick(t)
	s := newTestSender(t, func(o *Options) { o.ReuseDelay = time.Minute })
	var first net.Conn
	for n := range 2 {
		call := newCall(s)
		done := make(chan host.AttemptResult, 1)
		go func() { done <- try(call, b.addr(), 10*time.Second) }()
		nc := <-b.requests
		if n == 0 {
			first = nc
		} else { // the late duplicate arrives before the second response
			io.WriteString(first, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		}
		io.WriteString(nc, goodResponse)
		if r := <-done; r.Status != arrowwalk.OK || string(call.ResponseBody) != "ok" {
			t.Errorf("request %d: %+v %q", n, r, call.ResponseBody)
		}
		call.ReleaseResponse()
	}
	if idle := s.pool.PopIdle(b.addr()); idle == nil {
		t.Error("no connection is kept")
	} else {
		s.pool.Discard(idle)
	}
}

// An attempt that is aborted during its dial sends nothing.
func TestAbortDuringADial(t *testing.T) {
	b, d := newManualBrick(t), newPausedDialer()
	s := newTestSender(t, func(o *Options) { o.Dial = d.dial })
	call := newCall(s)
	done := make(chan host.AttemptResult, 1)
	go func() { done <- try(call, b.addr(), 10*time.Second) }()
	<-d.dialed
	call.Abort(0)
	d.proceed <- struct{}{}
	if r := <-done; !r.Status.NeverRan() {
		t.Errorf("%+v", r)
	}
	if open, idle, _ := s.Counts(); open != idle {
		t.Errorf("%d connections open, %d idle", open, idle)
	}
	if len(b.requests) > 0 {
		t.Error("the brick received the request")
	}
}

// The timeout sent to a brick is the time left when the request is written, not
// when the attempt began.
func TestTimeToldBehindALateDial(t *testing.T) {
	b, d := newManualBrick(t), newPausedDialer()
	s := newTestSender(t, func(o *Options) { o.Dial = d.dial })
	call, deadline := newCall(s), time.Now().Add(10*time.Second)
	done := make(chan host.AttemptResult, 1)
	go func() { done <- call.Try(&host.Attempt{Member: host.Member{Address: b.addr()}, Deadline: deadline}) }()
	<-d.dialed
	for time.Until(deadline) > 9900*time.Millisecond { // the dial takes 100 ms
		<-time.After(time.Millisecond)
	}
	left := time.Until(deadline)
	d.proceed <- struct{}{}
	io.WriteString(<-b.requests, goodResponse)
	<-done
	call.ReleaseResponse()
	var timeout float64
	if _, err := fmt.Sscan((<-b.heads).Fields.Get(HeaderTimeout), &timeout); err != nil || timeout > left.Seconds() {
		t.Errorf("timeout of %g s with %s left: %v", timeout, left, err)
	}
}

// A response that ends by a reset is not a success, and the brick may have run
// the request.
func TestResetInsideAnAnswer(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "HTTP/1.1 2"} {
		b := newManualBrick(t)
		s := newTestSender(t, func(*Options) {})
		call := newCall(s)
		done := make(chan host.AttemptResult, 1)
		go func() { done <- try(call, b.addr(), 10*time.Second) }()
		nc := <-b.requests
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
