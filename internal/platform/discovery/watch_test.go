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

// scriptedAgent is an agent whose watches the test answers itself.
type scriptedAgent struct {
	t       *testing.T
	ln      net.Listener
	watches chan *agentWatch
}

// agentWatch is the agent's side of a watch.
type agentWatch struct {
	t    *testing.T
	nc   net.Conn
	from int64 // index in the request
}

func newScriptedAgent(t *testing.T) *scriptedAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &scriptedAgent{t: t, ln: ln, watches: make(chan *agentWatch, 100)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			w := &agentWatch{t: t, nc: nc}
			var q http1.Request
			if err := http1.NewReader(bufio.NewReader(nc), http1.DefaultLimits).ReadRequest(&q); err == nil {
				fmt.Sscanf(q.Target, "/v1/servers?watch=1&from=%d", &w.from)
			}
			a.watches <- w
		}
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
		close(a.watches)
		for w := range a.watches {
			w.nc.Close()
		}
	})
	return a
}

// next waits for the next watch.
func (a *scriptedAgent) next() *agentWatch {
	a.t.Helper()
	select {
	case w := <-a.watches:
		a.t.Cleanup(func() { w.nc.Close() })
		return w
	case <-time.After(20 * time.Second):
		a.t.Fatal("no watch was opened")
		return nil
	}
}

// sendHead begins the response.
func (w *agentWatch) sendHead() {
	fmt.Fprint(w.nc, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// sendChunk sends text as one chunk of the body.
func (w *agentWatch) sendChunk(text string) { fmt.Fprintf(w.nc, "%x\r\n%s\r\n", len(text), text) }

// sendList sends a list of one endpoint.
func (w *agentWatch) sendList(index int, snapshot bool, name, status string) {
	w.sendChunk(fmt.Sprintf("{\n \"index\": %d,\n \"snapshot\": %t,\n \"endpoints\": [\n  {\"name\": %q, \"address\": \"127.0.0.1:1\", \"zone\": \"a\", \"status\": %q}\n ]\n}\n", index, snapshot, name, status))
}

// waitClosed waits until the Follower has closed the watch.
func (w *agentWatch) waitClosed() {
	w.t.Helper()
	w.nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := w.nc.Read(make([]byte, 1)); n > 0 || err == nil {
		w.t.Fatal("the Follower sent more data")
	} else if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		w.t.Fatal("the watch is kept open")
	}
}

// follow starts a Follower of the agent that knows a list with index 7.
func follow(t *testing.T, agent *scriptedAgent) (*Follower, *recorder) {
	rec := &recorder{changed: make(chan struct{}, 1)}
	f := Start(&List{Index: 7}, Options{Address: agent.ln.Addr().String(), Zones: NewZoneIndex([]string{"a"}),
		Log: slog.New(slog.DiscardHandler), OnList: rec.onList, OnAddresses: rec.onAddresses})
	t.Cleanup(f.Stop)
	return f, rec
}

// A list over several lines is delivered, and so is a snapshot that lacks a brick.
// A truncated list is discarded with its watch.
func TestIndentedListsInPieces(t *testing.T) {
	agent := newScriptedAgent(t)
	_, rec := follow(t, agent)
	w := agent.next()
	w.sendHead()
	w.sendList(8, true, "a", "active")
	rec.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@8 a:0"))
	w.sendChunk("{\n \"index\": 9, \"snapshot\": true,\n")
	w.nc.Close()
	w = agent.next()
	if w.from != 8 {
		t.Errorf("requested from index %d: a truncated list counts", w.from)
	}
	w.sendHead()
	w.sendChunk("\"endpoints\": []}") // the second half
	w.waitClosed()
	w = agent.next()
	w.sendHead()
	w.sendList(10, true, "b", "active")
	rec.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@10 b:0"))
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.addresses) > 1 {
		t.Errorf("addresses %v, want one", rec.addresses)
	}
}

// An agent that keeps sending bytes of an object that never ends counts as silent,
// on a new watch and after a list. The next watch requests what the last complete
// list did not contain.
func TestTrickleIsSilence(t *testing.T) {
	for name, c := range map[string]struct {
		index   int
		timeout time.Duration
	}{"first": {7, firstDataTimeout}, "behind a list": {8, idleTimeout}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testUnfinishedObject(t, c.index, c.timeout)
		})
	}
}

// testUnfinishedObject sends a list with the given index, unless it is the known
// one, and then an object without an end. The Follower must give up the watch
// after timeout.
func testUnfinishedObject(t *testing.T, index int, timeout time.Duration) {
	agent := newScriptedAgent(t)
	_, _ = follow(t, agent)
	w := agent.next()
	w.sendHead()
	if index > 7 {
		w.sendList(index, true, "a", "active")
	}
	began := time.Now()
	w.sendChunk("{")
	done := make(chan struct{})
	go func() { // a byte every 20 ms until the Follower closes the watch
		defer close(done)
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for range ticker.C {
			if _, err := fmt.Fprint(w.nc, "1\r\n \r\n"); err != nil || time.Since(began) > 3*timeout {
				return
			}
		}
	}()
	next := agent.next()
	if took := time.Since(began); took > 2*timeout || next.from != int64(index) {
		t.Errorf("reopened after %s from index %d", took, next.from)
	}
	w.nc.Close()
	<-done
}

// After a change of the address the previous watch is used until the new one
// delivers data, and no longer. A change that it delivered is not undone by an
// older one.
func TestOldWatchServesUntilTheNewOneAnswers(t *testing.T) {
	before, after := newScriptedAgent(t), newScriptedAgent(t)
	f, rec := follow(t, before)
	old := before.next()
	old.sendHead()
	old.sendList(8, true, "a", "active")
	rec.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@8 a:0"))
	if !f.SetAddress(after.ln.Addr().String()) {
		t.Fatal("SetAddress reports no change")
	}
	next := after.next() // requested and not answered yet
	old.sendList(9, false, "a", "leaving")
	rec.await(t, fmt.Sprint(arrowwalk.ListDelta, "@9 a:1"))
	next.sendHead()
	next.sendList(8, false, "a", "active") // older than the current index
	old.waitClosed()
	next.sendList(10, false, "a", "left")
	rec.await(t, fmt.Sprint(arrowwalk.ListDelta, "@10 a:2"))
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.lists) != 4 {
		t.Errorf("delivered: %q", rec.lists)
	}
}

// A watch that never received data ends as soon as the address changes, and after
// several changes the last address is used.
func TestMovesInARow(t *testing.T) {
	a, b, last := newScriptedAgent(t), newScriptedAgent(t), newScriptedAgent(t)
	f, rec := follow(t, a)
	silent := a.next()
	f.SetAddress(b.ln.Addr().String())
	f.SetAddress(last.ln.Addr().String())
	silent.waitClosed()
	w := last.next()
	w.sendHead()
	w.sendList(8, true, "z", "active")
	rec.await(t, fmt.Sprint(arrowwalk.ListSnapshot, "@8 z:0"))
	<-f.Ready()
	select {
	case <-last.watches:
		t.Error("two watches on the last address")
	default:
	}
}
