// Package platform stands in for the other parties of the users' platform:
// bricks, the discovery agent, usual clients and strangers, each on loopback
// and with a log of what passed on its sockets.
package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"arrowwalk/internal/http1"
	"arrowwalk/internal/rules"
)

// Fault is what a brick does to one request.
type Fault int

// The faults. A spoilt answer's request has run.
const (
	None    Fault = iota
	Noise         // bytes that are no answer, without a line's end
	BadHead       // a status line, then what no header is
	Endless       // a head that never ends
	Misfit        // more declared than comes
	Huge          // 3 GB declared, and they keep coming
	Error         // 500
	Full          // turned away, never ran
	Break         // the connection ends without an answer
	Silent        // nothing comes, and the connection stays
	Twice         // a good answer, and a second copy of it behind
	Behind        // a good answer, and noise behind it
	Informs       // 1xx answers ahead of a good one
	BadTold       // a good one whose report and figures can't be read
	Late          // a good answer, and a second copy of it some milliseconds later
	faults
)

// Log is what passed on the sockets of a run.
type Log struct {
	mu       sync.Mutex
	arrivals []rules.Arrival
	calls    []rules.Call
	attempts map[string]int          // by id: arrivals so far
	sent     map[string]string       // by id: the request that a usual client sends
	stored   map[string]bool         // keys that took effect
	open     map[string]bool         // ids of usual clients' requests under way
	left     map[string]rules.Micros // ids of requests whose clients left, and when
	Late     []string                // requests that were sent on over lateMax after their clients left
	Foreign  []string                // what reached a brick and no usual client sent
	Faults   [faults]int             // that were played
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{attempts: map[string]int{}, sent: map[string]string{}, stored: map[string]bool{}, open: map[string]bool{}, left: map[string]rules.Micros{}}
}

// Trace returns all that passed so far.
func (l *Log) Trace() ([]rules.Arrival, []rules.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]rules.Arrival(nil), l.arrivals...), append([]rules.Call(nil), l.calls...)
}

// Open returns the id of a usual client's request under way; "": there is none.
func (l *Log) Open() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.open {
		return id
	}
	return ""
}

func now() rules.Micros { return time.Now().UnixMicro() }

// arrived notes a request at a brick and returns its place in the log.
func (l *Log) arrived(b *Brick, q *http1.Request, body string) int {
	id := q.Fields.Get("X-Request-ID")
	key := q.Fields.Get("Idempotency-Key")
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent, ok := l.sent[id]; !ok || sent != q.Method+" "+q.Target+" "+key+" "+body {
		l.Foreign = append(l.Foreign, fmt.Sprintf("%s %.80s, id %.40q", q.Method, q.Target, id))
	}
	n := l.attempts[id]
	l.attempts[id] = n + 1
	if at, ok := l.left[id]; ok && now() > at+lateMax {
		l.Late = append(l.Late, fmt.Sprintf("%s: sent on %d us after its client left", id, now()-at))
	}
	path := strings.Split(q.Target, "/")
	l.arrivals = append(l.arrivals, rules.Arrival{At: now(), Brick: b.Name, Zone: fmt.Sprint("group-", b.Group), Started: b.Started,
		Request: fmt.Sprintf("%s-1.%d", runID(id), n), Method: q.Method, Space: "o", Name: path[len(path)-1], Units: 1, Key: key})
	return len(l.arrivals) - 1
}

// HasArrived tells whether a request of the client of this name has reached a brick.
func (l *Log) HasArrived(client string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.attempts {
		if strings.HasPrefix(id, client) {
			return true
		}
	}
	return false
}

// lateMax is for how long after its client's close an attempt may begin, with
// what a busy machine may take to bring the close and the request over.
const lateMax = 150_000

// Left returns how many clients left with a request under way.
func (l *Log) Left() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.left)
}

// runID is a client's id as the rules' check reads it.
func runID(id string) string { return "0-run-" + id }

// ended notes how a request ended; it has run unless the status says not.
func (l *Log) ended(at, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &l.arrivals[at]
	a.Ended, a.Status = now(), status
	if a.Key != "" && status != 503 {
		a.Repeat = l.stored[a.Key]
		a.Stored = !a.Repeat
		l.stored[a.Key] = true
	}
}

// Brick is a brick of the platform.
type Brick struct {
	Name    string
	Zone    string
	Group   int
	Started rules.Micros // 0: long ago
	// Draw says what becomes of a request; nil: it is served.
	Draw func() Fault

	log   *Log
	ln    net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	mute  bool
	work  time.Duration
	wg    sync.WaitGroup
	quit  chan struct{}
}

// Start has the brick listen on a port of its own.
func (b *Brick) Start(log *Log) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.log, b.ln, b.conns, b.quit = log, ln, map[net.Conn]struct{}{}, make(chan struct{})
	b.wg.Add(1)
	go b.accept()
	return nil
}

// Addr returns where it listens.
func (b *Brick) Addr() string { return b.ln.Addr().String() }

// Stop kills the brick: its connections break where they stand.
func (b *Brick) Stop() {
	b.ln.Close()
	b.mu.Lock()
	select {
	case <-b.quit:
	default:
		close(b.quit)
	}
	for nc := range b.conns {
		nc.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
}

// Take sets how long the brick takes for a request.
func (b *Brick) Take(work time.Duration) {
	b.mu.Lock()
	b.work = work
	b.mu.Unlock()
}

// Mute has the brick say nothing any more, with its connections open.
func (b *Brick) Mute() {
	b.mu.Lock()
	b.mute = true
	b.mu.Unlock()
}

func (b *Brick) accept() {
	defer b.wg.Done()
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[nc] = struct{}{}
		b.mu.Unlock()
		b.wg.Add(1)
		go b.serve(nc)
	}
}

func (b *Brick) serve(nc net.Conn) {
	defer b.wg.Done()
	defer func() {
		nc.Close()
		b.mu.Lock()
		delete(b.conns, nc)
		b.mu.Unlock()
	}()
	in := bufio.NewReader(nc)
	heads := http1.NewReader(in, http1.DefaultLimits)
	for {
		var q http1.Request
		if heads.ReadRequest(&q) != nil {
			return
		}
		var body http1.Body
		body.Reset(in, q.Framing)
		text, err := io.ReadAll(&body)
		if err != nil {
			return
		}
		at := b.log.arrived(b, &q, string(text))
		if !b.answer(nc, &q, at) {
			return
		}
	}
}

const (
	// lateSecond is how long a second answer comes after the first.
	lateSecond = 5 * time.Millisecond
	// maxLateSecond is when a second answer is left out: a brick that is held up
	// for longer, on a busy machine, would play another fault than the one of
	// answers that come some milliseconds late.
	maxLateSecond = 10 * time.Millisecond
)

// Answer is the body that a brick makes for a request.
func Answer(method, target, id string) string { return method + " " + target + " made for " + id }

// next returns what becomes of a request, and how long that takes.
func (b *Brick) next() (Fault, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.mute:
		return Silent, b.work
	case b.Draw != nil:
		return b.Draw(), b.work
	}
	return None, b.work
}

// answer plays a request's fault; false: the connection is of no further use.
func (b *Brick) answer(nc net.Conn, q *http1.Request, at int) bool {
	fault, work := b.next()
	b.log.mu.Lock()
	b.log.Faults[fault]++
	b.log.mu.Unlock()
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.quit:
	}
	good := Answer(q.Method, q.Target, q.Fields.Get("X-Request-ID"))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Load: inflight=1,util=0.25\r\nX-Volume-Use: 40\r\nX-Served-Elsewhere: 2\r\nContent-Length: %d\r\n\r\n%s", len(good), good)
	status, text, more := 200, whole, true
	switch fault {
	case Noise:
		text, more = "\x16\x03\x01 noise", false
	case BadHead:
		text, more = "HTTP/1.1 200 OK\r\n\x01\x02 nothing: \x00\r\n\r\n"+good, false
	case Endless:
		text, more = "HTTP/1.1 200 OK\r\n"+strings.Repeat("X-More: and more\r\n", 4000), false
	case Misfit:
		text, more = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(good)+50, good), false
	case Huge:
		text, more = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"+strings.Repeat(good, 2000), false
	case Error:
		status, text = 500, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	case Full:
		status, text = 503, "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	case Break:
		b.log.ended(at, 0)
		return false
	case Silent:
		b.log.ended(at, 0)
		<-b.quit
		return false
	case Twice:
		text = whole + whole
	case Behind:
		text = whole + "HTTP/1.1 noise behind it"
	case Informs:
		text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: none\r\n\r\n" + whole
	case BadTold:
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Load: util=;;=\xff,\r\nX-Volume-Use: -nan\r\nX-Served-Elsewhere: 1e999\r\nContent-Length: %d\r\n\r\n%s", len(good), good)
	}
	b.log.ended(at, status)
	if _, err := io.WriteString(nc, text); err != nil {
		return false
	}
	if fault == Late { // whatever request comes on the connection meanwhile
		answered := time.Now()
		timer.Reset(lateSecond)
		select {
		case <-timer.C:
		case <-b.quit:
		}
		if time.Since(answered) > maxLateSecond {
			return true
		}
		_, err := io.WriteString(nc, whole)
		return err == nil
	}
	if !more { // it stays open, and is of no further use
		io.Copy(io.Discard, nc)
	}
	return more
}
