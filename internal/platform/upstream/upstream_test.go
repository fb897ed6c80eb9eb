package upstream

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/standin/texts"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newHost(t *testing.T) *host.Host {
	t.Helper()
	h, err := host.New(host.Options{Settings: arrowwalk.Settings{Hosts: 1, MaxAttempts: 1,
		Classes: []arrowwalk.Class{{Name: "r", Aim: 1000, Deadline: 1000}}, Plans: []arrowwalk.Plan{{Name: "p"}}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// startBrick starts a brick that answers the requests of each connection with the
// given responses; with hangUp it closes the connection after the last. It
// returns the brick's address and the request heads that it received.
func startBrick(t *testing.T, hangUp bool, responses ...string) (string, chan http1.Request) {
	t.Helper()
	s, err := texts.Start(hangUp, responses...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s.Addr(), s.Seen
}

func newCall(s *Sender) *Call {
	c := &Call{Method: "PUT", Target: "/save-paper/1/2?x=%20", ID: "9b1f", Key: "a key", Body: []byte("body")}
	c.Init(s)
	return c
}

// try makes attempt 0 of c with the given timeout.
func try(c *Call, address string, timeout time.Duration) host.AttemptResult {
	return c.Try(&host.Attempt{Member: host.Member{Address: address}, Deadline: time.Now().Add(timeout)})
}

const goodResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Every way in which an attempt can end is mapped to its status, and the
// connection is kept only after a complete, well-formed response.
func TestOutcomes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddr := ln.Addr().String()
	ln.Close()
	s := NewSender(Options{Host: newHost(t), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 4, MaxClientWait: time.Second, MaxResponseBytes: 8 << 20})
	defer s.Close()
	for _, c := range []struct {
		name, text string
		hangUp     bool
		status     arrowwalk.Status
		kept       bool
	}{
		{"served", goodResponse, false, arrowwalk.OK, true},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, arrowwalk.OK, true},
		{"Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false, arrowwalk.OK, false},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + goodResponse, false, arrowwalk.OK, true},
		{"endless interim responses", strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 50) + goodResponse, false, arrowwalk.Failed, false},
		{"duplicate response", goodResponse + goodResponse, false, arrowwalk.OK, false},
		{"garbage after the response", goodResponse + "noise", false, arrowwalk.OK, false},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.Failed, true},
		{"503 not processed", "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.Overloaded, true},
		{"504 not processed", "HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.Overloaded, true},
		{"503 that may have run", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.Failed, true},
		{"noise", "\x16\x03\x01", false, arrowwalk.Failed, false},
		{"malformed head", "HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\nok", false, arrowwalk.Failed, false},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4000), false, arrowwalk.Failed, false},
		{"declared length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 100), false, arrowwalk.Failed, false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", true, arrowwalk.Failed, false},
		{"repeated Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", false, arrowwalk.Failed, false},
		{"closed", "", true, arrowwalk.Reset, false},
		{"truncated head", "HTTP/1.1 200 OK\r\nConte", true, arrowwalk.Reset, false},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nok", true, arrowwalk.Reset, false},
		{"stalled body", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nok", false, arrowwalk.TimedOut, false},
		{"silent", "", false, arrowwalk.TimedOut, false},
	} {
		addr, seen := startBrick(t, c.hangUp, c.text)
		call := newCall(s)
		timeout := 5 * time.Second
		if c.status == arrowwalk.TimedOut {
			timeout = 50 * time.Millisecond
		}
		r := try(call, addr, timeout)
		defer call.ReleaseResponse()
		if r.Status != c.status || r.Final != (c.status == arrowwalk.OK) || r.Final != (string(call.ResponseBody) == "ok") {
			t.Errorf("%s: %+v with %q", c.name, r, call.ResponseBody)
		}
		if kept := s.pool.PopIdle(addr); (kept != nil) != c.kept {
			t.Errorf("%s: connection kept: %v", c.name, kept != nil)
		} else if kept != nil {
			s.pool.Discard(kept)
		}
		q := <-seen
		if q.Method != "PUT" || q.Target != call.Target || q.Fields.Get("X-Request-ID") != "9b1f" || q.Fields.Get("Idempotency-Key") != "a key" || q.Length != 4 {
			t.Errorf("%s: the brick received %+v", c.name, q)
		}
	}
	if r := try(newCall(s), unusedAddr, time.Second); r.Status != arrowwalk.Unreachable {
		t.Errorf("connection refused: %+v", r)
	}
	if r := try(newCall(s), "", time.Second); r.Status != arrowwalk.NotSent {
		t.Errorf("no address: %+v", r)
	}
	if open, idle, _ := s.Counts(); open != 0 || idle != 0 {
		t.Errorf("%d connections open, %d idle", open, idle)
	}
}

// A connection with excess bytes after its response, or one that the brick
// closed, is not reused; any other is.
func TestWhatIsReused(t *testing.T) {
	s := NewSender(Options{Host: newHost(t), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 4, MaxClientWait: time.Second, MaxResponseBytes: 8 << 20})
	defer s.Close()
	for _, c := range []struct {
		first  string
		hangUp bool
		dials  int64
	}{{goodResponse, false, 1}, {goodResponse + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", false, 2}, {goodResponse, true, 2}} {
		responses := []string{c.first, goodResponse}
		if c.hangUp {
			responses = responses[:1]
		}
		addr, _ := startBrick(t, c.hangUp, responses...)
		_, _, before := s.Counts()
		for i := range 2 {
			if i == 1 && c.hangUp { // wait until the close has arrived
				for idle := s.pool.PopIdle(addr); idle != nil && idle.IsReusable(); time.Sleep(time.Millisecond) {
				}
			}
			call := newCall(s)
			if r := try(call, addr, 5*time.Second); r.Status != arrowwalk.OK || string(call.ResponseBody) != "ok" {
				t.Errorf("%q, request %d: %+v %q", c.first, i, r, call.ResponseBody)
			}
		}
		if _, _, after := s.Counts(); after-before != c.dials {
			t.Errorf("%q: %d connections for 2 requests, want %d", c.first, after-before, c.dials)
		}
	}
}

// Abort, before or during an attempt, ends that attempt and no other.
func TestAbort(t *testing.T) {
	s := NewSender(Options{Host: newHost(t), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 4, MaxClientWait: time.Second, MaxResponseBytes: 8 << 20})
	defer s.Close()
	addr, seen := startBrick(t, false, "", goodResponse)
	call := newCall(s)
	go func() {
		<-seen
		call.Abort(0)
	}()
	if r := try(call, addr, 10*time.Second); r.Status != arrowwalk.Cancelled {
		t.Errorf("aborted while it waits for the response: %+v", r)
	}
	call.Abort(1)
	if r := call.Try(&host.Attempt{Number: 1, Member: host.Member{Address: addr}, Deadline: time.Now().Add(time.Second)}); r.Status != arrowwalk.NotSent {
		t.Errorf("aborted before it began: %+v", r)
	}
	served, _ := startBrick(t, false, goodResponse)
	if r := call.Try(&host.Attempt{Number: 2, Member: host.Member{Address: served}, Deadline: time.Now().Add(5 * time.Second)}); r.Status != arrowwalk.OK {
		t.Errorf("the next attempt: %+v", r)
	}
}

// The values in a response's header fields reach the scheduler in its units, and
// malformed ones are ignored.
func TestTold(t *testing.T) {
	s := NewSender(Options{Host: newHost(t), LoadFields: []string{"util", "queue"}, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 4, MaxClientWait: time.Second, MaxResponseBytes: 8 << 20})
	defer s.Close()
	for _, c := range []struct {
		fields     string
		use, units float64
		load       []float64
	}{
		{"X-Server-Load: inflight=7, queue=2,util=0.61\r\nX-Volume-Use: 0\r\nX-Served-Elsewhere: 3\r\n", 1, 3, []float64{0.61, 2}},
		{"", 0, 0, nil},
		{"X-Server-Load: util=;;\r\nX-Volume-Use: many\r\nX-Served-Elsewhere: -1\r\n", 0, 0, nil},
		{"X-Server-Load: util=0.5\r\nX-Volume-Use: NaN\r\nX-Served-Elsewhere: 1e400\r\n", 0, 0, nil},
	} {
		addr, _ := startBrick(t, false, "HTTP/1.1 200 OK\r\n"+c.fields+"Content-Length: 2\r\n\r\nok")
		r := try(newCall(s), addr, 5*time.Second)
		if r.Status != arrowwalk.OK || r.FleetUse != c.use || r.OtherHostsUnits != c.units || !slices.Equal(r.Load, c.load) {
			t.Errorf("%q: %+v", c.fields, r)
		}
	}
}

// A response longer than the protocol allows is returned completely. The memory
// for responses is bounded and released.
func TestLongAnswers(t *testing.T) {
	s := NewSender(Options{Host: newHost(t), DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: 4, MaxClientWait: time.Second, MaxResponseBytes: 2 << 20})
	defer s.Close()
	long := strings.Repeat("0123456789", 40_000)
	for i, text := range []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long)} {
		addr, _ := startBrick(t, false, text)
		call := newCall(s)
		if r := try(call, addr, 5*time.Second); r.Status != arrowwalk.OK || string(call.ResponseBody) != long {
			t.Errorf("%d: %+v, %d bytes", i, r, len(call.ResponseBody))
		}
		if inUse := s.memory.InUse(); inUse < int64(len(long)) || inUse > 2<<20 {
			t.Errorf("%d: %d bytes in use", i, inUse)
		}
		s.memory.Max = 450_000 // too little for another response
		addr, _ = startBrick(t, false, text)
		if r := try(newCall(s), addr, 5*time.Second); r.Status != arrowwalk.Failed {
			t.Errorf("%d: without free memory: %+v", i, r)
		}
		s.memory.Max = 2 << 20
		call.ReleaseResponse()
		if inUse := s.memory.InUse(); inUse != 0 {
			t.Errorf("%d: %d bytes in use after the release", i, inUse)
		}
	}
}

func FuzzReport(f *testing.F) {
	f.Add("inflight=7,queue=2,util=0.61")
	f.Add(",,=,util=")
	f.Fuzz(func(t *testing.T, s string) {
		for _, v := range parseLoadReport(s, []string{"util", "queue"}) {
			if !(v >= 0 && v <= maxAmount) {
				t.Errorf("%v of %q", v, s)
			}
		}
	})
}
