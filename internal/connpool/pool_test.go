package connpool

import (
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk/internal/http1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server accepts connections and keeps them until the test ends.
func server(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var held []net.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			held = append(held, nc)
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
		for _, nc := range held {
			nc.Close()
		}
	})
	return ln.Addr().String()
}

func take(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(&Attempt{}, address, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// At the bound the connection that was idle for longest gives way; one in use
// never does.
func TestBoundOfOpenConnections(t *testing.T) {
	a, b := server(t), server(t)
	p := NewPool(Options{MaxIdlePerAddress: 9, IdleTimeout: time.Minute, DialTimeout: time.Second, MaxConns: 3, HeadLimits: http1.DefaultLimits})
	defer p.Close()
	oldest, kept, used := take(t, p, a), take(t, p, a), take(t, p, b)
	p.Put(oldest)
	time.Sleep(time.Millisecond) // the clock itself tells which is the older
	p.Put(kept)
	more := take(t, p, b)
	if open, idle, dialed := p.Counts(); open != 3 || idle != 1 || dialed != 4 {
		t.Errorf("%d open, %d idle, %d dialed", open, idle, dialed)
	}
	if c := p.PopIdle(a); c != kept {
		t.Error("another one than the oldest gave way")
	}
	var refused *DialError
	if _, err := p.Get(&Attempt{}, a, time.Now().Add(time.Second)); !errors.As(err, &refused) || refused.TimedOut {
		t.Errorf("over the bound: %v", err)
	}
	for _, c := range []*Conn{kept, used, more} {
		p.Discard(c)
	}
	if open, _, _ := p.Counts(); open != 0 {
		t.Errorf("%d open after all were dropped", open)
	}
}

// What is idle for too long is swept, what belongs to an address that left is
// closed.
func TestSweepAndKeep(t *testing.T) {
	a, b := server(t), server(t)
	p := NewPool(Options{MaxIdlePerAddress: 9, IdleTimeout: time.Minute, DialTimeout: time.Second, HeadLimits: http1.DefaultLimits})
	defer p.Close()
	first, second := take(t, p, a), take(t, p, b)
	p.Put(first)
	p.Put(second)
	p.CloseExpired(time.Now())
	if _, idle, _ := p.Counts(); idle != 2 {
		t.Errorf("%d idle after a sweep in time", idle)
	}
	p.CloseIdleExcept([]string{b})
	if _, idle, _ := p.Counts(); idle != 1 || p.PopIdle(a) != nil {
		t.Errorf("%d idle: an address that left is kept", idle)
	}
	p.CloseExpired(time.Now().Add(2 * time.Minute))
	if open, idle, _ := p.Counts(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after their time", open, idle)
	}
}

// An abort is of its number alone; after a cut nothing begins.
func TestNumbered(t *testing.T) {
	var n NumberedAttempt
	n.Abort(1)
	for _, c := range []struct {
		number int
		begins bool
	}{{0, false}, {1, false}, {2, true}, {3, true}} {
		if got := n.Begin(c.number); got != c.begins {
			t.Errorf("attempt %d begins: %v", c.number, got)
		}
	}
	if n.Abort(2); n.Aborted() {
		t.Error("an abort of an earlier number ended this one")
	}
	if n.Abort(3); !n.Aborted() {
		t.Error("the attempt runs on after its abort")
	}
	if n.AbortAll(); n.Begin(99) {
		t.Error("an attempt begins after the cut")
	}
}
