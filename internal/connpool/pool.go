// Package conns keeps TCP connections to servers for reuse, one exchange at a
// time on each. It never sends anything and never retries: what is said on a
// connection, and what an error means, is its caller's.
package connpool

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/http1"
	"arrowwalk/internal/sockstate"
)

// DialFunc opens a connection to a server.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Options bounds the connections of a Pool.
type Options struct {
	MaxIdlePerAddress int           // connections kept for reuse at each address
	IdleTimeout       time.Duration // and for how long
	ReuseDelay        time.Duration // before a connection is used again: what is behind an answer may come late
	DialTimeout       time.Duration // longest wait for a new connection
	Dial              DialFunc      // nil: TCP
	ReadBufferBytes   int           // bytes of a connection's read buffer; 0: 16 KiB
	MaxConns          int           // connections open at once, idle ones that give way included; 0: any number
	HeadLimits        http1.Limits  // of heads that are read
	SkipIdleCheck     bool          // idle connections are used without a look; for proofs that must fail
}

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	opt    Options
	mu     sync.Mutex
	idle   map[string][]*Conn // by address, the latest used last
	open   int
	closed bool
	dialed int64
}

// NewPool returns an empty pool.
func NewPool(opt Options) *Pool {
	if opt.ReadBufferBytes == 0 {
		opt.ReadBufferBytes = 16 << 10
	}
	if opt.Dial == nil {
		opt.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{opt: opt, idle: map[string][]*Conn{}}
}

// Conn is a connection with what reads heads on it. It is closed by Drop or
// kept by Put, never by its caller.
type Conn struct {
	net.Conn
	RawConn    syscall.RawConn // nil: it has none
	Reader     *bufio.Reader
	HeadReader *http1.Reader
	WriteBuf   []byte // to be reused for what is written
	address    string
	used       time.Time
}

// DialError tells that no connection came about.
type DialError struct {
	Aborted  bool // the attempt was given up
	TimedOut bool
	Err      error
}

func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

func (e *DialError) Unwrap() error { return e.Err }

// Close closes the idle connections; those in use close when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		p.shut(list)
	}
	p.idle = nil
}

// shut closes connections; the caller holds p.mu.
func (p *Pool) shut(list []*Conn) {
	for _, c := range list {
		p.open--
		c.Conn.Close()
	}
}

// CloseIdleExcept closes the idle connections to all addresses but those given.
func (p *Pool) CloseIdleExcept(addresses []string) {
	known := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		known[a] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if !known[address] {
			p.shut(list)
			delete(p.idle, address)
		}
	}
}

// CloseExpired closes what was idle for too long at a time.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		n := 0
		for n < len(list) && now.Sub(list[n].used) >= p.opt.IdleTimeout {
			n++
		}
		p.shut(list[:n])
		if n == len(list) {
			delete(p.idle, address)
		} else if n > 0 {
			p.idle[address] = append([]*Conn(nil), list[n:]...)
		}
	}
}

// Counts returns how many connections are open, how many of them idle, and how
// many were opened so far.
func (p *Pool) Counts() (open, idle int, dialed int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle, p.dialed
}

// Get returns an idle connection to address that is still open, or dials one;
// any error is a *DialError. The attempt holds the connection, with a deadline.
func (p *Pool) Get(at *Attempt, address string, deadline time.Time) (*Conn, error) {
	for {
		c := p.pop(address, time.Now().Add(-p.opt.ReuseDelay))
		if c == nil {
			break
		}
		if time.Since(c.used) < p.opt.IdleTimeout && (p.opt.SkipIdleCheck || c.IsReusable()) {
			return c, nil
		}
		p.Discard(c)
	}
	return p.dial(at, address, deadline)
}

// PopIdle takes the idle connection that was used last; nil: there is none.
func (p *Pool) PopIdle(address string) *Conn { return p.pop(address, time.Now()) }

// pop takes the idle connection that was used last, but not after a time; nil:
// there is none.
func (p *Pool) pop(address string, before time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	at := len(list) - 1
	for at >= 0 && list[at].used.After(before) {
		at--
	}
	if at < 0 {
		return nil
	}
	c := list[at]
	if list = slices.Delete(list, at, at+1); len(list) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list
	}
	return c
}

// Put keeps a connection on which nothing is under way.
func (p *Pool) Put(c *Conn) {
	c.used = time.Now()
	p.mu.Lock()
	list := p.idle[c.address]
	keep := !p.closed && len(list) < p.opt.MaxIdlePerAddress
	if keep {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if !keep {
		p.Discard(c)
	}
}

// Discard closes a connection that was taken.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	c.Conn.Close()
}

// room makes room for one more connection; false: all that may be are in use.
func (p *Pool) room() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opt.MaxConns > 0 && p.open >= p.opt.MaxConns && !p.evict() {
		return false
	}
	p.open++
	return true
}

// evict closes the connection that was idle for longest; false: there is none.
func (p *Pool) evict() bool {
	var oldest *Conn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.used.Before(oldest.used) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	list := p.idle[oldest.address]
	p.shut(list[:1])
	if len(list) == 1 {
		delete(p.idle, oldest.address)
	} else {
		p.idle[oldest.address] = append([]*Conn(nil), list[1:]...)
	}
	return true
}

func (p *Pool) dial(at *Attempt, address string, deadline time.Time) (*Conn, error) {
	until := time.Now().Add(p.opt.DialTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if !at.dialing(cancel) {
		return nil, &DialError{Aborted: true, Err: context.Canceled}
	}
	if !p.room() {
		return nil, &DialError{Err: errFull}
	}
	nc, err := p.opt.Dial(ctx, address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, &DialError{Aborted: at.Aborted(), TimedOut: ctx.Err() != nil, Err: err}
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	c := &Conn{Conn: nc, RawConn: sockstate.RawConn(nc), address: address, Reader: bufio.NewReaderSize(nc, p.opt.ReadBufferBytes)}
	c.HeadReader = http1.NewReader(c.Reader, p.opt.HeadLimits)
	return c, nil
}

// IsReusable looks whether an idle connection is still there: a server that closed
// it, or said something unasked, is not asked on it.
func (c *Conn) IsReusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	return c.RawConn == nil || !sockstate.Readable(c.RawConn)
}
