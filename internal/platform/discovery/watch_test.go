package discovery

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"arrowwalk"
	"arrowwalk/internal/http1"
)

// script is an agent whose watches are answered by hand.
type script struct {
	t     *testing.T
	ln    net.Listener
	calls chan *heldWatch
}

// heldWatch is a call that the test answers.
type heldWatch struct {
	t    *testing.T
	nc   net.Conn
	from int64
}

func newScript(t *testing.T) *script {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{t: t, ln: ln, calls: make(chan *heldWatch, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			w := &heldWatch{t: t, nc: nc}
			var q http1.Request
			if err := http1.NewReader(bufio.NewReader(nc), http1.DefaultLimits).ReadRequest(&q); err == nil {
				fmt.Sscanf(q.Target, "/v1/servers?watch=1&from=%d", &w.from)
			}
			s.calls <- w
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
		close(s.calls)
		for w := range s.calls {
			w.nc.Close()
		}
	})
	return s
}

// next returns the next call.
func (s *script) next() *heldWatch {
	s.t.Helper()
	select {
	case w := <-s.calls:
		s.t.Cleanup(func() { w.nc.Close() })
		return w
	case <-time.After(20 * time.Second):
		s.t.Fatal("no call comes")
		return nil
	}
}

func (w *heldWatch) begin() {
	fmt.Fprint(w.nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

func (w *heldWatch) say(text string) { fmt.Fprintf(w.nc, "%x\r\n%s\r\n", len(text), text) }

func (w *heldWatch) list(index int, snapshot bool, name, status string) {
	w.say(fmt.Sprintf("{\n \"index\": %d,\n \"snapshot\": %t,\n \"endpoints\": [\n  {\"name\": %q, \"address\": \"127.0.0.1:1\", \"zone\": \"a\", \"status\": %q}\n ]\n}\n", index, snapshot, name, status))
}

// over waits until the follower has ended the call.
func (w *heldWatch) over() {
	w.t.Helper()
	w.nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := w.nc.Read(make([]byte, 1)); n > 0 || err == nil {
		w.t.Fatal("the watch goes on")
	} else if late, ok := err.(net.Error); ok && late.Timeout() {
		w.t.Fatal("the watch is kept open")
	}
}

func followed(t *testing.T, s *script) (*Follower, *told) {
	c := &told{news: make(chan struct{}, 1)}
	f := Start(&List{Index: 7}, Options{Address: s.ln.Addr().String(), Zones: NewZoneIndex([]string{"a"}),
		Log: slog.New(slog.DiscardHandler), OnList: c.take, OnAddresses: c.reached})
	t.Cleanup(f.Stop)
	return f, c
}

// A list over many lines is told, a whole list that lacks a brick included, and
// half of one is dropped with its watch.
func TestIndentedListsInPieces(t *testing.T) {
	s := newScript(t)
	_, c := followed(t, s)
	w := s.next()
	w.begin()
	w.list(8, true, "a", "active")
	c.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@8 a:0"))
	w.say("{\n \"index\": 9, \"snapshot\": true,\n")
	w.nc.Close()
	w = s.next()
	if w.from != 8 {
		t.Errorf("asked from %d: half a list counts", w.from)
	}
	w.begin()
	w.say("\"endpoints\": []}") // the other half
	w.over()
	w = s.next()
	w.begin()
	w.list(10, true, "b", "active")
	c.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@10 b:0"))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.addr) > 1 {
		t.Errorf("reached are %v", c.addr)
	}
}

// Bytes that never make a value are silence, from the first one on and behind a
// list; what is asked for then is what the last list did not tell.
func TestTrickleIsSilence(t *testing.T) {
	for name, c := range map[string]struct {
		told int
		max  time.Duration
	}{"first": {7, answerMax}, "behind a list": {8, silenceMax}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			trickle(t, c.told, c.max)
		})
	}
}

func trickle(t *testing.T, told int, most time.Duration) {
	s := newScript(t)
	_, _ = followed(t, s)
	w := s.next()
	w.begin()
	if told > 7 {
		w.list(told, true, "a", "active")
	}
	began := time.Now()
	w.say("{")
	gone := make(chan struct{})
	go func() { // a byte each 20 ms until the call is ended
		defer close(gone)
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for range tick.C {
			if _, err := fmt.Fprint(w.nc, "1\r\n \r\n"); err != nil || time.Since(began) > 3*most {
				return
			}
		}
	}()
	again := s.next()
	if took := time.Since(began); took > 2*most || again.from != int64(told) {
		t.Errorf("asked again after %s, from %d", took, again.from)
	}
	w.nc.Close()
	<-gone
}

// After a move the old watch serves until the new one has answered, and no
// longer; a change that it told is not taken back.
func TestOldWatchServesUntilTheNewOneAnswers(t *testing.T) {
	before, after := newScript(t), newScript(t)
	f, c := followed(t, before)
	old := before.next()
	old.begin()
	old.list(8, true, "a", "active")
	c.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@8 a:0"))
	if !f.SetAddress(after.ln.Addr().String()) {
		t.Fatal("not moved")
	}
	next := after.next() // it has asked, and is not answered
	old.list(9, false, "a", "leaving")
	c.await(t, fmt.Sprint(arrowwalk.ListDelta, "@9 a:1"))
	next.begin()
	next.list(8, false, "a", "active") // older than what is known
	old.over()
	next.list(10, false, "a", "left")
	c.await(t, fmt.Sprint(arrowwalk.ListDelta, "@10 a:2"))
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) != 4 {
		t.Errorf("told: %q", c.list)
	}
}

// A watch that was never answered ends with a move at once, and several moves
// end at the last address.
func TestMovesInARow(t *testing.T) {
	a, b, last := newScript(t), newScript(t), newScript(t)
	f, c := followed(t, a)
	silent := a.next()
	f.SetAddress(b.ln.Addr().String())
	f.SetAddress(last.ln.Addr().String())
	silent.over()
	w := last.next()
	w.begin()
	w.list(8, true, "z", "active")
	c.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@8 z:0"))
	<-f.Ready()
	select {
	case <-last.calls:
		t.Error("the last address is asked twice")
	default:
	}
}
