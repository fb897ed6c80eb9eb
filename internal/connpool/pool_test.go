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

// startServer accepts connections and keeps them open until the test ends. It
// returns its address.
func startServer(t *testing.T) string {
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

func mustGet(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(&Attempt{}, address, time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// At the limit of open connections the one that has been idle for longest is
// evicted; a connection in use never is.
func TestBoundOfOpenConnections(t *testing.T) {
	a, b := startServer(t), startServer(t)
	p := NewPool(Options{MaxIdlePerAddress: 9, IdleTimeout: time.Minute, DialTimeout: time.Second, MaxConns: 3, HeadLimits: http1.DefaultLimits})
	defer p.Close()
	oldest, kept, used := mustGet(t, p, a), mustGet(t, p, a), mustGet(t, p, b)
	p.Put(oldest)
	time.Sleep(time.Millisecond) // so that the times of last use differ
	p.Put(kept)
	more := mustGet(t, p, b)
	if open, idle, dialed := p.Counts(); open != 3 || idle != 1 || dialed != 4 {
		t.Errorf("%d open, %d idle, %d dialed", open, idle, dialed)
	}
	if c := p.PopIdle(a); c != kept {
		t.Error("a connection other than the oldest was evicted")
	}
	var refused *DialError
	if _, err := p.Get(&Attempt{}, a, time.Now().Add(time.Second)); !errors.As(err, &refused) || refused.TimedOut {
		t.Errorf("over the limit: %v", err)
	}
	for _, c := range []*Conn{kept, used, more} {
		p.Discard(c)
	}
	if open, _, _ := p.Counts(); open != 0 {
		t.Errorf("%d open after all were discarded", open)
	}
}

// Connections are closed when their idle timeout passes or their address is no
// longer listed.
func TestSweepAndKeep(t *testing.T) {
	a, b := startServer(t), startServer(t)
	p := NewPool(Options{MaxIdlePerAddress: 9, IdleTimeout: time.Minute, DialTimeout: time.Second, HeadLimits: http1.DefaultLimits})
	defer p.Close()
	first, second := mustGet(t, p, a), mustGet(t, p, b)
	p.Put(first)
	p.Put(second)
	p.CloseExpired(time.Now())
	if _, idle, _ := p.Counts(); idle != 2 {
		t.Errorf("%d idle before the idle timeout", idle)
	}
	p.CloseIdleExcept([]string{b})
	if _, idle, _ := p.Counts(); idle != 1 || p.PopIdle(a) != nil {
		t.Errorf("%d idle: connections to a removed address are kept", idle)
	}
	p.CloseExpired(time.Now().Add(2 * time.Minute))
	if open, idle, _ := p.Counts(); open != 0 || idle != 0 {
		t.Errorf("%d open, %d idle after the idle timeout", open, idle)
	}
}

// Aborting a number affects no later attempt; after AbortAll none begins.
func TestNumbered(t *testing.T) {
	var n NumberedAttempt
	n.Abort(1)
	for _, c := range []struct {
		number int
		begins bool
	}{{0, false}, {1, false}, {2, true}, {3, true}} {
		if got := n.Begin(c.number); got != c.begins {
			t.Errorf("Begin(%d) = %v", c.number, got)
		}
	}
	if n.Abort(2); n.Aborted() {
		t.Error("aborting an earlier number aborted the current attempt")
	}
	if n.Abort(3); !n.Aborted() {
		t.Error("the attempt is not aborted")
	}
	if n.AbortAll(); n.Begin(99) {
		t.Error("an attempt begins after AbortAll")
	}
}
