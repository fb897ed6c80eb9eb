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

// rig is a server in front of one brick, each of whose steps a test can hold.
type rig struct {
	t     *testing.T
	s     *Server
	host  *host.Host
	brick net.Listener
	ln    *seenListener
	asked chan net.Conn // a brick's connection, once a request on it came whole
	dials chan chan struct{}
	seen  chan struct{} // the server has seen the first byte of a request, or a connection's end
}

// seenListener tells of what its connections' owners have seen come, and holds
// each Accept until its gate is open.
type seenListener struct {
	*net.TCPListener
	seen chan struct{}
	gate chan struct{} // nil: it is open
	cut  chan struct{} // a deadline was set
}

func (l *seenListener) Accept() (net.Conn, error) {
	if l.gate != nil {
		<-l.gate
	}
	nc, err := l.AcceptTCP()
	return &seenConn{nc, l.seen}, err
}

func (l *seenListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	select {
	case l.cut <- struct{}{}:
	default:
	}
	return err
}

type seenConn struct {
	*net.TCPConn
	seen chan struct{}
}

func (c *seenConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &seenRaw{raw, c.seen}, err
}

type seenRaw struct {
	syscall.RawConn
	seen chan struct{}
}

func (r *seenRaw) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	r.seen <- struct{}{}
	return err
}

// newRig starts a server; with hold, each dial to the brick waits until the
// channel that it sends on dials is closed.
func newRig(t *testing.T, hold bool) *rig { return newGatedRig(t, hold, nil) }

func newGatedRig(t *testing.T, hold bool, gate chan struct{}) *rig {
	t.Helper()
	set := testSettings()
	set.Shards, set.Hosts = 1, 1
	h, err := host.New(host.Options{Settings: *set})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, host: h, asked: make(chan net.Conn, 100), seen: make(chan struct{}, 1000), dials: make(chan chan struct{}, 100)}
	r.brick = listen(t)
	var bricks sync.WaitGroup
	bricks.Go(func() { r.serveBrick(&bricks) })
	sender := upstream.NewSender(upstream.Options{Host: h, DialTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxConns: 50,
		MaxClientWait: time.Minute, MaxResponseBytes: 1 << 20, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if hold {
				up := make(chan struct{})
				r.dials <- up
				<-up
			}
			return nc, err
		}})
	h.Nodes(arrowwalk.ListSnapshot, 1, []host.Member{{Node: arrowwalk.Node{ID: "b"}, Address: r.brick.Addr().String()}})
	r.ln = &seenListener{listen(t).(*net.TCPListener), r.seen, gate, make(chan struct{}, 1)}
	r.s = Start(r.ln, Options{Host: h, Sender: sender, Settings: set, Log: slog.New(slog.DiscardHandler), MaxConns: 50, IdleEvictionThreshold: 40, MaxBodyBytes: 1 << 20})
	t.Cleanup(func() {
		r.s.Stop()
		h.Close()
		sender.Close()
		r.brick.Close()
		bricks.Wait()
	})
	return r
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// serveBrick tells of each whole request; the test answers.
func (r *rig) serveBrick(wg *sync.WaitGroup) {
	for {
		nc, err := r.brick.Accept()
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
				r.asked <- nc
			}
		})
	}
}

const goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// peer is a client's connection, spoken by hand.
type peer struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func (r *rig) dial() *peer {
	r.t.Helper()
	nc, err := net.Dial("tcp", r.s.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { nc.Close() })
	nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	return &peer{r.t, nc, bufio.NewReader(nc)}
}

func request(id string, more string) string {
	return "GET /fetch-text" + piece + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Plan: basic\r\nX-Timeout: 2.400\r\nX-IO: units=1,shard=0,hosts=1\r\n" + more + "\r\n"
}

func (p *peer) say(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

// status reads one answer whole.
func (p *peer) status() int {
	p.t.Helper()
	var head http1.Response
	if err := http1.NewReader(p.in, http1.DefaultLimits).ReadResponse(&head, "GET"); err != nil {
		p.t.Fatalf("no answer: %v", err)
	}
	var body http1.Body
	body.Reset(p.in, head.Framing)
	if _, err := io.Copy(io.Discard, &body); err != nil {
		p.t.Fatalf("half an answer: %v", err)
	}
	return head.Status
}

// end reads to the connection's end: a close, and no reset.
func (p *peer) end() {
	p.t.Helper()
	if rest, err := io.ReadAll(p.in); err != nil || len(rest) > 0 {
		p.t.Fatalf("%q and then %v, want a close", rest, err)
	}
}

// serve has a brick answer the next request.
func (r *rig) serve() {
	select {
	case nc := <-r.asked:
		io.WriteString(nc, goodAnswer)
	case <-time.After(20 * time.Second):
		r.t.Error("no request comes to the brick")
	}
}

// conn returns the server's side of the only connection in a stage.
func (r *rig) conn(stage eviction.State) *eviction.Entry[*conn] {
	r.t.Helper()
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(time.Millisecond) {
		var found *eviction.Entry[*conn]
		r.s.mu.Lock()
		r.s.table.ForEach(stage, func(e *eviction.Entry[*conn]) { found = e })
		r.s.mu.Unlock()
		if found != nil {
			return found
		}
	}
	r.t.Fatalf("no connection is in stage %d", stage)
	return nil
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			t.Fatal(what)
		}
	}
}

// A client that leaves while the connection to a brick comes up: nothing is
// sent on it, and the connection is kept for others.
func TestClientLeavesDuringADial(t *testing.T) {
	for name, leave := range map[string]func(p *peer){
		"close":              func(p *peer) { p.Close() },
		"reset":              func(p *peer) { p.Conn.(*net.TCPConn).SetLinger(0); p.Close() },
		"close behind bytes": func(p *peer) { p.say(request("next", "")); p.say(strings.Repeat("x", 20<<10)); p.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, true)
			p := r.dial()
			p.say(request("one", ""))
			up := <-r.dials
			e := r.conn(eviction.StateWaiting)
			leave(p)
			eventually(t, "the close does not come over", func() bool { return sockstate.PeerClosed(e.Conn.raw) })
			close(up)
			eventually(t, "the request is not over", func() bool { return r.s.ConnCount() == 0 && r.s.opt.Host.Stats().Ended["gone"] == 1 })
			select {
			case <-r.asked:
				t.Error("a brick got the request of a client that had gone")
			default:
			}
			if open, idle, dialed := r.s.opt.Sender.Counts(); open != 1 || idle != 1 || dialed != 1 {
				t.Errorf("%d connections to the brick, %d idle, %d dialed", open, idle, dialed)
			}
		})
	}
}

// A last answer arrives whole and is followed by a close, though more bytes
// came than the reader took: a close over unread bytes would be a reset.
func TestLastAnswerOverUnreadBytes(t *testing.T) {
	r := newRig(t, false)
	p := r.dial()
	p.say(request("one", "Connection: close\r\n"))
	brick := <-r.asked
	e := r.conn(eviction.StateWaiting)
	p.say(strings.Repeat("x", 100<<10))
	eventually(t, "the bytes do not come over", func() bool { return sockstate.Readable(e.Conn.raw) })
	io.WriteString(brick, goodAnswer)
	eventually(t, "the connection does not end", func() bool {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		stage, here := r.s.table.State(e.Conn.place)
		return !here || stage == eviction.StateClosing
	})
	p.say(strings.Repeat("y", 10<<10)) // and once more, behind the shutdown
	if got := p.status(); got != 200 {
		t.Errorf("answered %d", got)
	}
	p.end()
}

// A request that comes between the look at an idle connection and its eviction
// is dropped unread: nothing is sent on, and the client sees a close.
func TestRequestBehindAnEviction(t *testing.T) {
	r := newRig(t, false)
	p := r.dial()
	p.say(request("one", ""))
	r.serve()
	p.status()
	e := r.conn(eviction.StateIdle)
	r.s.mu.Lock()
	if e.Conn.speaks() {
		t.Error("it has sent something")
	}
	<-r.seen                  // of the first request
	p.say(request("two", "")) // between the look and the close
	<-r.seen                  // its goroutine is about to read the second one
	r.s.evict(e)
	r.s.mu.Unlock()
	p.end()
	eventually(t, "the connection is kept", func() bool { return r.s.ConnCount() == 0 })
	if s := r.s.Stats(); s.Requests != 1 {
		t.Errorf("%d requests were taken", s.Requests)
	}
}

// A request that came before the look keeps its connection, in a planned
// restart too, and is answered.
func TestRequestAheadOfAnEviction(t *testing.T) {
	r := newRig(t, false)
	p := r.dial()
	p.say(request("one", ""))
	r.serve()
	p.status()
	r.conn(eviction.StateIdle)
	r.s.mu.Lock()
	<-r.seen // of the first request
	p.say(request("two", ""))
	<-r.seen
	r.s.closeIdle()
	r.s.mu.Unlock()
	r.serve()
	if got := p.status(); got != 200 {
		t.Errorf("answered %d", got)
	}
}

// What has connected when the listener closes is served: one that was accepted
// but is in no table yet, and those still in the listener's queue.
func TestConnectionsBehindTheListenersEnd(t *testing.T) {
	r := newRig(t, false)
	r.s.mu.Lock() // holds the first one between Accept and the table
	peers, closed := r.askBeforeTheEnd(5)
	eventually(t, "the listener's end has not begun", r.s.closing.Load)
	r.s.mu.Unlock()
	<-closed
	if got := r.s.ConnCount(); got != len(peers) {
		t.Errorf("%d connections of %d are counted", got, len(peers))
	}
	r.allServed(peers)
	if _, err := net.Dial("tcp", r.s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("it listens on: %v", err)
	}
}

// askBeforeTheEnd has clients connect and ask, and then the listener close.
func (r *rig) askBeforeTheEnd(clients int) (peers []*peer, closed chan struct{}) {
	r.t.Helper()
	for n := range clients {
		p := r.dial()
		p.say(request(fmt.Sprint("id", n), ""))
		peers = append(peers, p)
	}
	closed = make(chan struct{})
	go func() {
		r.s.CloseListener()
		close(closed)
	}()
	return peers, closed
}

// allServed has a brick answer a request of each peer, in whatever order they
// were sent on.
func (r *rig) allServed(peers []*peer) {
	r.t.Helper()
	var served sync.WaitGroup
	served.Go(func() {
		for range peers {
			r.serve()
		}
	})
	defer served.Wait()
	for _, p := range peers {
		if got := p.status(); got != 200 {
			r.t.Errorf("answered %d", got)
		}
	}
}

// The listener's deadline may run out right before an Accept, which then does
// not look at all: what has connected is served all the same.
func TestListenersEndRightBeforeAnAccept(t *testing.T) {
	gate := make(chan struct{})
	r := newGatedRig(t, false, gate)
	peers, closed := r.askBeforeTheEnd(3)
	<-r.ln.cut
	close(gate)
	<-closed
	r.allServed(peers)
}

// What was taken before a planned restart, and what is handed over only after
// it began, has its answer by the restart's end, though its client would wait
// for longer.
func TestRestartBoundsWhatWasTaken(t *testing.T) {
	r := newRig(t, false)
	before, after := r.dial(), r.dial()
	before.say(request("before", ""))
	<-r.asked // out at a brick, which never answers
	after.say(request("after", "")[:40])
	began := time.Now()
	r.s.Drain(began, began.Add(300*time.Millisecond))
	after.say(request("after", "")[40:])
	for _, p := range []*peer{before, after} {
		if got := p.status(); got != 502 && got != 503 {
			t.Errorf("answered %d", got)
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("answered after %s", took)
		}
		p.end()
	}
}

// Half a request that a restart's end finds has an answer and a close.
func TestRestartEndsHalfARequest(t *testing.T) {
	r := newRig(t, false)
	p := r.dial()
	p.say(request("half", "")[:30])
	r.conn(eviction.StateFirstRequest)
	r.s.ExpireReads()
	began := time.Now()
	if got, took := p.status(), time.Since(began); got != 408 || took > freshMax/2 {
		t.Errorf("answered %d after %s", got, took)
	}
	p.say("the rest")
	p.end()
}
