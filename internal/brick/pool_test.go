package brick

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/standin/texts"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// respondWith starts a server that responds to each request with text, and then
// closes the connection if closeAfter is set. It returns the server's address.
func respondWith(t *testing.T, text string, closeAfter bool) string {
	t.Helper()
	s, err := texts.Start(closeAfter, text)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s.Addr()
}

// Each way in which an attempt can end maps to its status and reason.
func TestOutcomes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedAddr := listener.Addr().String()
	listener.Close()
	for _, c := range []struct {
		name, text string
		closeAfter bool
		status     arrowwalk.Status
		reason     Reason
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, arrowwalk.OK, ""},
		{"not found is a response", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.OK, ""},
		{"full", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.Overloaded, ReasonFull},
		{"another brick", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.Unreachable, ReasonWrongBrick},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, arrowwalk.Failed, ReasonError},
		{"garbage", "\x00garbage\r\n\r\n", true, arrowwalk.Reset, ReasonBadAnswer},
		{"bad range", "HTTP/1.1 206 OK\r\nContent-Length: 3\r\nContent-Range: bytes 5-1/9\r\n\r\nabc", false, arrowwalk.Reset, ReasonBadAnswer},
		{"closed", "", true, arrowwalk.Reset, ReasonBroken},
		{"partial head", "HTTP/1.1 200 OK\r\nConte", true, arrowwalk.Reset, ReasonBroken},
		{"partial body", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nabc", true, arrowwalk.Reset, ReasonShort},
		{"silent", "", false, arrowwalk.TimedOut, ReasonTimeout},
		{"connection refused", "", false, arrowwalk.Unreachable, ReasonRefused},
	} {
		address := unusedAddr
		if c.reason != ReasonRefused {
			address = respondWith(t, c.text, c.closeAfter)
		}
		p := NewPool(PoolOptions{})
		var resp Response
		at := &Attempt{}
		err := p.Do(at, address, &Request{Method: "GET", Space: "o", Name: "a/b", Deadline: time.Now().Add(200 * time.Millisecond)}, &resp)
		if err == nil {
			var body []byte
			if body, err = resp.ReadAll(p, nil, 1000); err == nil {
				resp.Release(p, true)
				if !strings.HasSuffix(c.text, string(body)) {
					t.Errorf("%s: body %q", c.name, body)
				}
			}
		}
		var f *Failure
		errors.As(err, &f)
		if c.reason == "" && err != nil || c.reason != "" && (f == nil || f.Status != c.status || f.Reason != c.reason) {
			t.Errorf("%s: %v (%+v), want %s", c.name, err, f, c.reason)
		}
		p.Close()
	}
}

// A connection is reused unless the brick has closed it, and Abort ends an attempt
// at once.
func TestPooling(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
	p := NewPool(PoolOptions{})
	defer p.Close()
	get := func(address string, at *Attempt) error {
		var resp Response
		err := p.Do(at, address, &Request{Method: "PUT", Space: "o", Name: "k", Body: Bytes(bytes.Repeat([]byte("x"), 100)), Deadline: time.Now().Add(10 * time.Second)}, &resp)
		if err == nil {
			resp.Release(p, resp.Body.Drain(100))
		}
		return err
	}
	keepAlive, closing := respondWith(t, text, false), respondWith(t, text, true)
	for range 5 {
		if err := get(keepAlive, &Attempt{}); err != nil {
			t.Fatal(err)
		}
	}
	if n := p.DialCount(); n != 1 {
		t.Errorf("%d connections for 5 consecutive requests", n)
	}
	for range 3 {
		if err := get(closing, &Attempt{}); err != nil {
			t.Errorf("request to a brick that closes its connections: %v", err)
		}
		c := p.conns.PopIdle(closing)
		if c == nil {
			continue
		}
		for c.IsReusable() { // until the close has arrived
			time.Sleep(time.Millisecond)
		}
		p.conns.Put(c)
	}
	p.CloseIdleExcept([]string{closing})
	if c := p.conns.PopIdle(keepAlive); c != nil {
		t.Error("idle connections to a removed address are kept")
	}
	unresponsive := respondWith(t, "", false)
	at := &Attempt{}
	time.AfterFunc(20*time.Millisecond, at.Abort)
	start := time.Now()
	var f *Failure
	if err := get(unresponsive, at); !errors.As(err, &f) || f.Reason != ReasonAborted || time.Since(start) > time.Second {
		t.Errorf("abort: %v after %s", err, time.Since(start))
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add("TEXT cpu_utilization=0.5,x=1", "bytes 0-1/2", "12", "YQ")
	f.Add("JSON {}", "bytes */5", "-1", "!")
	f.Fuzz(func(t *testing.T, load, contentRange, amount, meta string) {
		head := http1.Response{Status: 206, Framing: http1.Framing{Length: 2, HasLength: true}, Fields: http1.Fields{
			{Name: HeaderLoad, Value: load}, {Name: "Content-Range", Value: contentRange}, {Name: HeaderOthers, Value: amount}, {Name: HeaderMeta, Value: meta}}}
		var resp Response
		if err := resp.parseHead(&head); err != nil {
			return
		}
		if resp.RangeStart < 0 || resp.Size < resp.RangeStart+resp.Length || resp.OtherHostsUnits < 0 || resp.Util < -1 {
			t.Errorf("%+v", resp)
		}
		name, err := Unescape(string(AppendName(nil, meta)))
		if err != nil || name != meta {
			t.Errorf("name %q decodes to %q, %v", meta, name, err)
		}
	})
}

// A brick that responds twice leaves the second response on the connection. If it
// arrives after the pool has checked the idle connection, it must not be taken for
// the response to the next request.
func TestAnswerToAnotherRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nAw-Brick: b@1\r\nAw-Request: 0-r-1-1.0\r\n\r\nok"
	addr := respondWith(t, response, false)
	p := NewPool(PoolOptions{MaxIdlePerBrick: 2, DialTimeout: time.Second})
	defer p.Close()
	var resp Response
	for _, c := range []struct {
		request string
		ok      bool
	}{{"0-r-1-1.0", true}, {"0-r-2-2.0", false}} {
		var at Attempt
		err := p.Do(&at, addr, &Request{Method: "GET", Space: "o", Name: "x", RequestID: c.request, Deadline: time.Now().Add(time.Second)}, &resp)
		var f *Failure
		if ok := err == nil; ok != c.ok || !ok && (!errors.As(err, &f) || f.Status != arrowwalk.Reset || f.Reason != ReasonBadAnswer) {
			t.Errorf("request %s: %v", c.request, err)
		}
		if err == nil {
			resp.Release(p, resp.Body.Drain(10))
		}
	}
}
