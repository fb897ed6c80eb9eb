package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/eviction"
	"arrowwalk/internal/platform/upstream"
	"arrowwalk/internal/sockstate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testServer is a Server with one brick. A test can pause the steps of both.
type testServer struct {
	t        *testing.T
	server   *Server
	host     *host.Host
	brick    net.Listener
	ln       *observedListener
	requests chan net.Conn      // the brick's connection, once a request on it is complete
	dials    chan chan struct{} // closing a received channel continues that dial
	readable chan struct{}      // receives when a connection's wait for a first byte returns
}

// observedListener reports when the waits on its connections return, and delays
// each Accept until acceptGate is closed. With expireFirstRequest, the time for the
// first request on each connection has passed at once, as after a stall.
type observedListener struct {
	*net.TCPListener
	readable    chan struct{}
	acceptGate  chan struct{} // nil: no delay
	deadlineSet chan struct{}

	expireFirstRequest bool
}

func (l *observedListener) Accept() (net.Conn, error) {
	if l.acceptGate != nil {
		<-l.acceptGate
	}
	nc, err := l.AcceptTCP()
	return &observedConn{TCPConn: nc, readable: l.readable, expireNext: l.expireFirstRequest}, err
}

func (l *observedListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	select {
	case l.deadlineSet <- struct{}{}:
	default:
	}
	return err
}

type observedConn struct {
	*net.TCPConn
	readable   chan struct{}
	expireNext bool // the next read deadline has passed already
}

func (c *observedConn) SetReadDeadline(t time.Time) error {
	if c.expireNext {
		c.expireNext = false
		t = time.Unix(1, 0)
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *observedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &observedRawConn{raw, c.readable}, err
}

type observedRawConn struct {
	syscall.RawConn
	readable chan struct{}
}

func (c *observedRawConn) Read(f func(uintptr) bool) error {
	err := c.RawConn.Read(f)
	c.readable <- struct{}{}
	return err
}

// newTestServer starts a server. With pauseDials, each dial to the brick waits
// until the channel that it sends on dials is closed.
func newTestServer(t *testing.T, pauseDials bool) *testServer {
	return newGatedTestServer(t, pauseDials, nil)
}

// newGatedTestServer is newTestServer with a gate for Accept.
func newGatedTestServer(t *testing.T, pauseDials bool, acceptGate chan struct{}) *testServer {
	t.Helper()
	settings := testSettings()
	settings.Shards, settings.Hosts = 1, 1
	h, err := host.New(host.Options{Settings: *settings})
	if err != nil {
		t.Fatal(err)
	}
	ts := &testServer{t: t, host: h, requests: make(chan net.Conn, 100), readable: make(chan struct{}, 1000), dials: make(chan chan struct{}, 100)}
	ts.brick = listen(t)
	var bricks sync.WaitGroup
	bricks.Go(func() { ts.serveBrick(&bricks) })
	sender := upstream.NewSender(upstream.Options{Host: h, DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxConns: 50,
		MaxClientWait: time.Minute, MaxResponseBytes: 1 << 20, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if pauseDials {
				proceed := make(chan struct{})
				ts.dials <- proceed
				<-proceed
			}
			return nc, err
		}})
	h.Nodes(arrowwalk.ListSnapshot, 1, []host.Member{{Node: arrowwalk.Node{ID: "b"}, Address: ts.brick.Addr().String()}})
	ts.ln = &observedListener{TCPListener: listen(t).(*net.TCPListener), readable: ts.readable, acceptGate: acceptGate, deadlineSet: make(chan struct{}, 1)}
	ts.server = Start(ts.ln, Options{Host: h, Sender: sender, Settings: settings, Log: slog.New(slog.DiscardHandler), MaxConns: 50, IdleEvictionThreshold: 40, MaxBodyBytes: 1 << 20})
	t.Cleanup(func() {
		ts.server.Stop()
		h.Close()
		sender.Close()
		ts.brick.Close()
		bricks.Wait()
	})
	return ts
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// serveBrick reports each complete request; the test writes the response.
func (ts *testServer) serveBrick(wg *sync.WaitGroup) {
	for {
		nc, err := ts.brick.Accept()
		if err != nil {
			return
		}
		wg.Go(func() {
			defer nc.Close()
			heads := http1.NewReader(bufio.NewReader(nc), http1.DefaultLimits)
			for {
				var q http1.Request
				if heads.ReadRequest(&q) != nil {
					return
				}
				ts.requests <- nc
			}
		})
	}
}

const goodResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// testClient is a client connection on which the test writes the requests itself.
type testClient struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (ts *testServer) dial() *testClient {
	ts.t.Helper()
	nc, err := net.Dial("tcp", ts.server.Addr())
	if err != nil {
		ts.t.Fatal(err)
	}
	ts.t.Cleanup(func() { nc.Close() })
	nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	return &testClient{ts.t, nc, bufio.NewReader(nc)}
}

// request returns the text of a read request with additional header lines.
func request(id string, headers string) string {
	return "GET /fetch-text" + piece + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Plan: basic\r\nX-Timeout: 2.400\r\nX-IO: units=1,shard=0,hosts=1\r\n" + headers + "\r\n"
}

func (c *testClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// status reads one complete response and returns its status.
func (c *testClient) status() int {
	c.t.Helper()
	var head http1.Response
	if err := http1.NewReader(c.in, http1.DefaultLimits).ReadResponse(&head, "GET"); err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	var body http1.Body
	body.Reset(c.in, head.Framing)
	if _, err := io.Copy(io.Discard, &body); err != nil {
		c.t.Fatalf("truncated response: %v", err)
	}
	return head.Status
}

// expectClose reads to the end of the connection, which must be a close and not a
// reset.
func (c *testClient) expectClose() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Fatalf("read %q and then %v, want a close", rest, err)
	}
}

// answerNext answers the next request as the brick.
func (ts *testServer) answerNext() {
	select {
	case nc := <-ts.requests:
		io.WriteString(nc, goodResponse)
	case <-time.After(20 * time.Second):
		ts.t.Error("the brick received no request")
	}
}

// waitForConn waits for a connection in a state and returns its entry.
func (ts *testServer) waitForConn(state eviction.State) *eviction.Entry[*conn] {
	ts.t.Helper()
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(time.Millisecond) {
		var found *eviction.Entry[*conn]
		ts.server.mu.Lock()
		ts.server.table.ForEach(state, func(e *eviction.Entry[*conn]) { found = e })
		ts.server.mu.Unlock()
		if found != nil {
			return found
		}
	}
	ts.t.Fatalf("no connection is in state %d", state)
	return nil
}

// eventually waits until condition holds, and fails with message after 20 s.
func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			t.Fatal(message)
		}
	}
}

// If a client disconnects during the dial to a brick, nothing is sent to the
// brick, and the new connection is kept for other requests.
func TestClientLeavesDuringADial(t *testing.T) {
	for name, leave := range map[string]func(client *testClient){
		"close": func(client *testClient) { client.Close() },
		"reset": func(client *testClient) { client.Conn.(*net.TCPConn).SetLinger(0); client.Close() },
		"close behind bytes": func(client *testClient) {
			client.send(request("next", ""))
			client.send(strings.Repeat("x", 20<<10))
			client.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, true)
			client := ts.dial()
			client.send(request("one", ""))
			proceed := <-ts.dials
			e := ts.waitForConn(eviction.StateWaiting)
			leave(client)
			eventually(t, "the close does not arrive", func() bool { return sockstate.PeerClosed(e.Conn.raw) })
			close(proceed)
			eventually(t, "the request does not end", func() bool { return ts.server.ConnCount() == 0 && ts.server.opt.Host.Stats().Ended["gone"] == 1 })
			select {
			case <-ts.requests:
				t.Error("the brick received the request of a disconnected client")
			default:
			}
			if open, idle, dialed := ts.server.opt.Sender.Counts(); open != 1 || idle != 1 || dialed != 1 {
				t.Errorf("%d connections to the brick, %d idle, %d dialed", open, idle, dialed)
			}
		})
	}
}

// The last response arrives completely and is followed by a close, even if the
// client sent data that was not read: a plain close would reset the connection.
func TestLastAnswerOverUnreadBytes(t *testing.T) {
	ts := newTestServer(t, false)
	client := ts.dial()
	client.send(request("one", "Connection: close\r\n"))
	brick := <-ts.requests
	e := ts.waitForConn(eviction.StateWaiting)
	client.send(strings.Repeat("x", 100<<10))
	eventually(t, "the data does not arrive", func() bool { return sockstate.Readable(e.Conn.raw) })
	io.WriteString(brick, goodResponse)
	eventually(t, "the connection does not end", func() bool {
		ts.server.mu.Lock()
		defer ts.server.mu.Unlock()
		state, present := ts.server.table.State(e.Conn.entry)
		return !present || state == eviction.StateClosing
	})
	client.send(strings.Repeat("y", 10<<10)) // more data after the server's shutdown of its side
	if got := client.status(); got != 200 {
		t.Errorf("status %d", got)
	}
	client.expectClose()
}

// A request that arrives between the check of an idle connection and its eviction
// is discarded unread: it is not forwarded, and the client sees a close.
func TestRequestBehindAnEviction(t *testing.T) {
	ts := newTestServer(t, false)
	client := ts.dial()
	client.send(request("one", ""))
	ts.answerNext()
	client.status()
	e := ts.waitForConn(eviction.StateIdle)
	ts.server.mu.Lock()
	if e.Conn.hasUnreadData() {
		t.Error("the idle connection has unread data")
	}
	<-ts.readable                   // for the first request
	client.send(request("two", "")) // between the check and the eviction
	<-ts.readable                   // its goroutine is about to read the second request
	ts.server.beginClose(e)
	ts.server.mu.Unlock()
	client.expectClose()
	eventually(t, "the connection is not closed", func() bool { return ts.server.ConnCount() == 0 })
	if s := ts.server.Stats(); s.Requests != 1 {
		t.Errorf("%d requests were handed to the host", s.Requests)
	}
}

// A request that arrived before the check keeps its connection open, during a
// shutdown too, and is answered.
func TestRequestAheadOfAnEviction(t *testing.T) {
	ts := newTestServer(t, false)
	client := ts.dial()
	client.send(request("one", ""))
	ts.answerNext()
	client.status()
	ts.waitForConn(eviction.StateIdle)
	ts.server.mu.Lock()
	<-ts.readable // for the first request
	client.send(request("two", ""))
	<-ts.readable
	ts.server.closeIdleLocked()
	ts.server.mu.Unlock()
	ts.answerNext()
	if got := client.status(); got != 200 {
		t.Errorf("status %d", got)
	}
}

// Connections established before the listener closes are served: one that was
// accepted but is not in the table yet, and those still in the accept queue.
func TestConnectionsBehindTheListenersEnd(t *testing.T) {
	ts := newTestServer(t, false)
	ts.server.mu.Lock() // pauses the first one between Accept and the table
	clients, closed := ts.sendBeforeClose(5)
	eventually(t, "the listener is not closing", ts.server.listenerClosing.Load)
	ts.server.mu.Unlock()
	<-closed
	if got := ts.server.ConnCount(); got != len(clients) {
		t.Errorf("%d connections, want %d", got, len(clients))
	}
	ts.expectAllServed(clients)
	if _, err := net.Dial("tcp", ts.server.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the listener is still open: %v", err)
	}
}

// sendBeforeClose connects clients that send a request each, and then closes the
// listener; closed is closed when that is done.
func (ts *testServer) sendBeforeClose(count int) (clients []*testClient, closed chan struct{}) {
	ts.t.Helper()
	for n := range count {
		client := ts.dial()
		client.send(request(fmt.Sprint("id", n), ""))
		clients = append(clients, client)
	}
	closed = make(chan struct{})
	go func() {
		ts.server.CloseListener()
		close(closed)
	}()
	return clients, closed
}

// expectAllServed answers one request of each client as the brick, in the order
// in which they were forwarded, and checks the responses.
func (ts *testServer) expectAllServed(clients []*testClient) {
	ts.t.Helper()
	var served sync.WaitGroup
	served.Go(func() {
		for range clients {
			ts.answerNext()
		}
	})
	defer served.Wait()
	for _, client := range clients {
		if got := client.status(); got != 200 {
			ts.t.Errorf("status %d", got)
		}
	}
}

// If the listener's deadline passes right before an Accept, that Accept fails
// without checking the queue. Established connections are served nevertheless.
func TestListenersEndRightBeforeAnAccept(t *testing.T) {
	acceptGate := make(chan struct{})
	ts := newGatedTestServer(t, false, acceptGate)
	clients, closed := ts.sendBeforeClose(3)
	<-ts.ln.deadlineSet
	close(acceptGate)
	<-closed
	ts.expectAllServed(clients)
}

// Requests received before a shutdown and requests completed only after it began
// are answered by the shutdown's deadline, even if their clients would wait for
// longer.
func TestRestartBoundsWhatWasTaken(t *testing.T) {
	ts := newTestServer(t, false)
	before, after := ts.dial(), ts.dial()
	before.send(request("before", ""))
	<-ts.requests // in progress at the brick, which never answers
	after.send(request("after", "")[:40])
	began := time.Now()
	ts.server.Drain(began, began.Add(300*time.Millisecond))
	after.send(request("after", "")[40:])
	for _, client := range []*testClient{before, after} {
		if got := client.status(); got != 502 && got != 503 {
			t.Errorf("status %d", got)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("answered after %s", took)
		}
		client.expectClose()
	}
}

// An incomplete request at the end of a shutdown gets a response and a close.
func TestRestartEndsHalfARequest(t *testing.T) {
	ts := newTestServer(t, false)
	client := ts.dial()
	client.send(request("half", "")[:30])
	ts.waitForConn(eviction.StateFirstRequest)
	ts.server.ExpireReads()
	began := time.Now()
	if got, took := client.status(), time.Since(began); got != 408 || took > firstRequestTimeout/2 {
		t.Errorf("answered %d after %s", got, took)
	}
	client.send("the rest")
	client.expectClose()
}

// Guards against a host that was stalled while the time for a connection's first
// request passed, and closed the connection although that request had arrived.
func TestFirstRequestArrivesInAStall(t *testing.T) {
	acceptGate := make(chan struct{})
	ts := newGatedTestServer(t, false, acceptGate)
	ts.ln.expireFirstRequest = true
	client := ts.dial()
	client.send(request("first", ""))
	close(acceptGate) // the request is in the socket
	go ts.answerNext()
	if status := client.status(); status != 200 {
		t.Errorf("status %d", status)
	}
}

// Guards against a request with Expect: 100-continue that was answered with 408 because
// the write deadline of the response before it had passed while the connection rested.
func TestContinueOnARestedConnection(t *testing.T) {
	ts := newTestServer(t, false)
	client := ts.dial()
	for _, id := range []string{"first", "second"} { // the first response may end its connection
		client.send(request(id, ""))
		go ts.answerNext()
		if status := client.status(); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	e := ts.waitForConn(eviction.StateIdle)
	if err := e.Conn.nc.SetWriteDeadline(time.Unix(1, 0)); err != nil { // as after a rest
		t.Fatal(err)
	}
	const body = "text"
	client.send("PUT /save-paper" + piece + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: third\r\nIdempotency-Key: key\r\nX-Plan: basic\r\n" +
		fmt.Sprintf("X-Timeout: 2.400\r\nX-IO: units=1,shard=0,hosts=1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(body)))
	if status := client.status(); status != 100 {
		t.Fatalf("status %d, want 100", status)
	}
	client.send(body)
	go ts.answerNext()
	if status := client.status(); status != 200 {
		t.Errorf("status %d after the body", status)
	}
}

// A connection on which nothing arrives in time is closed.
func TestSilentConnectionIsClosedInTime(t *testing.T) {
	acceptGate := make(chan struct{})
	ts := newGatedTestServer(t, false, acceptGate)
	ts.ln.expireFirstRequest = true
	client := ts.dial()
	close(acceptGate)
	client.expectClose()
}
