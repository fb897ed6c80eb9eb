package coord

import (
	"bufio"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Script is what troubles the service has. The zero Script has none.
type Script struct {
	Refuse      bool          // connections are closed as they come, and those that are open
	HalfOpen    bool          // nothing is read and nothing answered, connections stay
	Slow        time.Duration // before each answer
	DropWatches bool          // events of watches are lost
	Stale       bool          // reads are answered from the tree as it was when this began
}

// Server is a running stand-in.
type Server struct {
	ln net.Listener

	mu       sync.Mutex
	tree     *tree
	stale    *tree // what a Stale script reads
	marks    map[string]*tree
	script   Script
	sessions map[int64]*session
	conns    map[*conn]struct{}
	next     int64
	closed   bool
	calm     chan struct{} // closed when a HalfOpen ends
	wg       sync.WaitGroup
	quit     chan struct{}
	counts   map[string]int
}

// session outlives its connections, until its time-out.
type session struct {
	id       int64
	password [16]byte
	timeout  time.Duration
	heard    time.Time
	conn     *conn
}

// Start serves on ln until Close.
func Start(ln net.Listener) *Server {
	s := &Server{ln: ln, tree: newTree(), marks: map[string]*tree{}, sessions: map[int64]*session{},
		conns: map[*conn]struct{}{}, next: time.Now().UnixMilli() << 16, quit: make(chan struct{}), calm: make(chan struct{}), counts: map[string]int{}}
	close(s.calm)
	s.wg.Add(2)
	go s.accept()
	go s.expire()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() {
	s.Play(Script{})
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.quit)
	s.ln.Close()
	for c := range s.conns {
		c.nc.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Play gives the service another script.
func (s *Server) Play(script Script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.script.HalfOpen && !script.HalfOpen {
		close(s.calm)
	}
	if !s.script.HalfOpen && script.HalfOpen {
		s.calm = make(chan struct{})
	}
	if script.Stale && !s.script.Stale {
		s.stale = s.tree.clone()
	}
	if script.Refuse {
		for c := range s.conns {
			c.nc.Close()
		}
	}
	s.script = script
}

// Mark keeps the tree as it is under a name, for Restore.
func (s *Server) Mark(name string) {
	s.mu.Lock()
	s.marks[name] = s.tree.clone()
	s.mu.Unlock()
}

// Restore brings back a marked tree, versions and all: the service goes back
// in time. Clients are cut off, as by a restart.
func (s *Server) Restore(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.marks[name]; t != nil {
		s.tree = t.clone()
	}
	for c := range s.conns {
		c.nc.Close()
	}
}

// ExpireAll ends all sessions at once.
func (s *Server) ExpireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.sessions {
		s.end(e)
	}
}

// Counts returns how many requests of each kind have come.
func (s *Server) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.counts))
	for k, v := range s.counts {
		out[k] = v
	}
	return out
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		c := &conn{s: s, nc: nc, in: bufio.NewReader(nc), data: map[string]bool{}, child: map[string]bool{}}
		s.mu.Lock()
		if s.closed || s.script.Refuse {
			nc.Close()
			s.mu.Unlock()
			continue
		}
		s.conns[c] = struct{}{}
		s.wg.Add(1)
		s.mu.Unlock()
		go c.serve()
	}
}

// expireEvery is how often sessions are looked at.
const expireEvery = 20 * time.Millisecond

func (s *Server) expire() {
	defer s.wg.Done()
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for _, e := range s.sessions {
			if time.Since(e.heard) > e.timeout {
				s.end(e)
			}
		}
		s.mu.Unlock()
	}
}

// end ends a session; s.mu is held.
func (s *Server) end(e *session) {
	delete(s.sessions, e.id)
	if e.conn != nil {
		e.conn.nc.Close()
	}
	s.notify(s.tree.drop(e.id))
}

// notify tells watches of changes, each once; s.mu is held.
func (s *Server) notify(changes []change) {
	for _, ch := range changes {
		for c := range s.conns {
			fires := false
			if ch.kind != childrenChanged && c.data[ch.path] {
				delete(c.data, ch.path)
				fires = true
			}
			if (ch.kind == childrenChanged || ch.kind == deleted) && c.child[ch.path] {
				delete(c.child, ch.path)
				fires = true
			}
			if fires && !s.script.DropWatches {
				c.event(ch)
			}
		}
	}
}

// conn is one client's connection.
type conn struct {
	s       *Server
	nc      net.Conn
	in      *bufio.Reader
	session *session
	data    map[string]bool // one-shot watches of data and existence; s.mu
	child   map[string]bool // and of children

	writing sync.Mutex
}

func (c *conn) serve() {
	defer c.s.wg.Done()
	defer func() {
		c.nc.Close()
		c.s.mu.Lock()
		delete(c.s.conns, c)
		if c.session != nil && c.session.conn == c {
			c.session.conn = nil
		}
		c.s.mu.Unlock()
	}()
	if !c.connect() {
		return
	}
	for {
		frame, err := c.read()
		if err != nil || !c.handle(frame) {
			return
		}
	}
}

// read reads one frame, unless the service is half open.
func (c *conn) read() ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return nil, err
	}
	c.s.mu.Lock()
	calm := c.s.calm
	c.s.mu.Unlock()
	select {
	case <-calm:
	case <-c.s.quit:
		return nil, net.ErrClosed
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost {
		return nil, errMarshal
	}
	frame := make([]byte, n)
	_, err := io.ReadFull(c.in, frame)
	return frame, err
}

// writeFor bounds a write to a client that does not read.
const writeFor = 5 * time.Second

func (c *conn) write(e *encoder) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(writeFor))
	_, err := c.nc.Write(e.frame())
	return err == nil
}

// event tells a watch. It is sent in the order of the changes.
func (c *conn) event(ch change) {
	e := &encoder{}
	e.int(-1)
	e.long(-1)
	e.int(0)
	e.int(ch.kind)
	e.int(3) // connected
	e.string(ch.path)
	c.writing.Lock()
	defer c.writing.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // s.mu is held
	if _, err := c.nc.Write(e.frame()); err != nil {
		c.nc.Close()
	}
}

// Bounds of a session's time-out, as clients may ask for it.
const (
	timeoutLeast = 100 * time.Millisecond
	timeoutMost  = 60 * time.Second
)

// connect opens or takes up a session.
func (c *conn) connect() bool {
	frame, err := c.read()
	if err != nil {
		return false
	}
	d := &decoder{b: frame}
	d.int() // version of the protocol
	d.long()
	timeout := time.Duration(d.int()) * time.Millisecond
	id, password := d.long(), d.buffer()
	if d.err != nil {
		return false
	}
	c.s.mu.Lock()
	e := c.s.sessions[id]
	expired := id != 0 && (e == nil || subtle.ConstantTimeCompare(e.password[:], password) != 1)
	if !expired {
		if e == nil {
			c.s.next++
			e = &session{id: c.s.next, timeout: min(max(timeout, timeoutLeast), timeoutMost)}
			rand.Read(e.password[:])
			c.s.sessions[e.id] = e
		} else if e.conn != nil {
			e.conn.nc.Close()
		}
		e.heard, e.conn, c.session = time.Now(), c, e
	}
	c.s.mu.Unlock()
	out := &encoder{}
	out.int(0)
	if expired {
		out.int(0)
		out.long(0)
		out.buffer(make([]byte, 16))
		c.write(out)
		return false
	}
	out.int(int32(e.timeout.Milliseconds()))
	out.long(e.id)
	out.buffer(e.password[:])
	return c.write(out)
}
