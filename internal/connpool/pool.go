// Package connpool keeps TCP connections to servers for reuse, with one exchange
// at a time on each. It sends nothing itself and never retries: the protocol and
// the handling of errors are left to the caller.
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
	MaxIdlePerAddress int           // idle connections kept for each address
	IdleTimeout       time.Duration // after which an idle connection is closed
	ReuseDelay        time.Duration // idle time before reuse, since excess bytes may follow a response late
	DialTimeout       time.Duration // longest wait for a new connection
	Dial              DialFunc      // nil: TCP
	ReadBufferBytes   int           // size of a connection's read buffer; 0: 16 KiB
	MaxConns          int           // open connections; at the limit an idle one is evicted; 0: unlimited
	HeadLimits        http1.Limits  // for heads that are read
	SkipIdleCheck     bool          // reuse idle connections without IsReusable; for negative tests only
}

// defaultReadBufferBytes is the read buffer's size if Options sets none.
const defaultReadBufferBytes = 16 << 10

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	opt    Options
	mu     sync.Mutex
	idle   map[string][]*Conn // by address, most recently used last
	open   int                // connections, idle ones included
	closed bool
	dialed int64 // connections opened so far
}

// NewPool returns an empty pool.
func NewPool(opt Options) *Pool {
	if opt.ReadBufferBytes == 0 {
		opt.ReadBufferBytes = defaultReadBufferBytes
	}
	if opt.Dial == nil {
		opt.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{opt: opt, idle: map[string][]*Conn{}}
}

// Conn is a pooled connection with its readers. The caller that got it returns
// it with Put or closes it with Discard, and never calls Close.
type Conn struct {
	net.Conn
	RawConn    syscall.RawConn // nil if the connection has no descriptor
	Reader     *bufio.Reader
	HeadReader *http1.Reader // reads from Reader
	WriteBuf   []byte        // scratch buffer for requests, kept between exchanges
	address    string
	lastUsed   time.Time
}

// DialError reports that a connection could not be established.
type DialError struct {
	Aborted  bool // the attempt was aborted
	TimedOut bool // the dial timeout or the attempt's deadline passed
	Err      error
}

func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

func (e *DialError) Unwrap() error { return e.Err }

// Close closes the idle connections. Connections in use are closed when they
// are returned.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		p.closeConns(list)
	}
	p.idle = nil
}

// closeConns closes connections that were removed from the pool. The caller
// holds p.mu.
func (p *Pool) closeConns(conns []*Conn) {
	for _, c := range conns {
		p.open--
		c.Conn.Close()
	}
}

// CloseIdleExcept closes the idle connections to all addresses that are not
// listed.
func (p *Pool) CloseIdleExcept(addresses []string) {
	known := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		known[a] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if !known[address] {
			p.closeConns(list)
			delete(p.idle, address)
		}
	}
}

// CloseExpired closes the connections whose idle timeout has passed at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		expired := 0
		for expired < len(list) && now.Sub(list[expired].lastUsed) >= p.opt.IdleTimeout {
			expired++
		}
		p.closeConns(list[:expired])
		if expired == len(list) {
			delete(p.idle, address)
		} else if expired > 0 {
			p.idle[address] = append([]*Conn(nil), list[expired:]...)
		}
	}
}

// Counts returns the number of open connections, how many of them are idle, and
// how many were dialed since the pool was created.
func (p *Pool) Counts() (open, idle int, dialed int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle, p.dialed
}

// Get returns a reusable idle connection to address, or dials a new one. The
// attempt can abort the dial; the caller attaches the connection to it. Any
// error is a *DialError.
func (p *Pool) Get(attempt *Attempt, address string, deadline time.Time) (*Conn, error) {
	for {
		c := p.popIdleBefore(address, time.Now().Add(-p.opt.ReuseDelay))
		if c == nil {
			break
		}
		if time.Since(c.lastUsed) < p.opt.IdleTimeout && (p.opt.SkipIdleCheck || c.IsReusable()) {
			return c, nil
		}
		p.Discard(c)
	}
	return p.dial(attempt, address, deadline)
}

// PopIdle removes and returns the most recently used idle connection to
// address, or nil if there is none.
func (p *Pool) PopIdle(address string) *Conn { return p.popIdleBefore(address, time.Now()) }

// popIdleBefore removes and returns the most recently used idle connection to
// address that was not used after before, or nil if there is none.
func (p *Pool) popIdleBefore(address string, before time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	i := len(list) - 1
	for i >= 0 && list[i].lastUsed.After(before) {
		i--
	}
	if i < 0 {
		return nil
	}
	c := list[i]
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list
	}
	return c
}

// Put returns a connection without an exchange in progress to the pool. The
// connection is closed instead if the pool is closed or already has
// MaxIdlePerAddress idle connections to the address.
func (p *Pool) Put(c *Conn) {
	c.lastUsed = time.Now()
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

// Discard closes a connection that Get or PopIdle returned.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	c.Conn.Close()
}

// reserveSlot counts one more open connection and evicts an idle one at the
// limit. It returns false if all allowed connections are in use.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opt.MaxConns > 0 && p.open >= p.opt.MaxConns && !p.evictOldestIdle() {
		return false
	}
	p.open++
	return true
}

// evictOldestIdle closes the connection that has been idle for longest. It
// returns false if none is idle. The caller holds p.mu.
func (p *Pool) evictOldestIdle() bool {
	var oldest *Conn
	for _, list := range p.idle {
		if c := list[0]; oldest == nil || c.lastUsed.Before(oldest.lastUsed) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	list := p.idle[oldest.address]
	p.closeConns(list[:1])
	if len(list) == 1 {
		delete(p.idle, oldest.address)
	} else {
		p.idle[oldest.address] = append([]*Conn(nil), list[1:]...)
	}
	return true
}

// dial opens a connection to address. Any error is a *DialError.
func (p *Pool) dial(attempt *Attempt, address string, deadline time.Time) (*Conn, error) {
	dialDeadline := time.Now().Add(p.opt.DialTimeout)
	if deadline.Before(dialDeadline) {
		dialDeadline = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), dialDeadline)
	defer cancel()
	if !attempt.beginDial(cancel) {
		return nil, &DialError{Aborted: true, Err: context.Canceled}
	}
	if !p.reserveSlot() {
		return nil, &DialError{Err: errPoolFull}
	}
	nc, err := p.opt.Dial(ctx, address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, &DialError{Aborted: attempt.Aborted(), TimedOut: ctx.Err() != nil, Err: err}
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	c := &Conn{Conn: nc, RawConn: sockstate.RawConn(nc), address: address, Reader: bufio.NewReaderSize(nc, p.opt.ReadBufferBytes)}
	c.HeadReader = http1.NewReader(c.Reader, p.opt.HeadLimits)
	return c, nil
}

// IsReusable reports whether an idle connection can carry another exchange: it
// cannot if the server has closed it or has sent unsolicited bytes.
func (c *Conn) IsReusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	return c.RawConn == nil || !sockstate.Readable(c.RawConn)
}
