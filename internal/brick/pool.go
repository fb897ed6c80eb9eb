package brick

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"arrowwalk"
	"arrowwalk/internal/http1"
)

// PoolOptions bounds the connections to bricks.
type PoolOptions struct {
	IdlePerBrick int           // connections kept for reuse at each brick; 0: 64
	IdleFor      time.Duration // and for how long; 0: 30 s
	DialTimeout  time.Duration // 0: 1 s
	Stall        time.Duration // longest wait for the next bytes of a body that has begun; 0: 10 s
}

// Pool keeps connections to bricks. It is safe for concurrent use and never
// retries: each Do is one attempt.
type Pool struct {
	opt    PoolOptions
	mu     sync.Mutex
	idle   map[string][]*conn // by address, the latest used last
	closed bool
	dialed int64
}

// NewPool returns an empty pool.
func NewPool(opt PoolOptions) *Pool {
	if opt.IdlePerBrick == 0 {
		opt.IdlePerBrick = 64
	}
	if opt.IdleFor == 0 {
		opt.IdleFor = 30 * time.Second
	}
	if opt.DialTimeout == 0 {
		opt.DialTimeout = time.Second
	}
	if opt.Stall == 0 {
		opt.Stall = 10 * time.Second
	}
	return &Pool{opt: opt, idle: map[string][]*conn{}}
}

// Close closes the idle connections; those in use close when they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			c.nc.Close()
		}
	}
	p.idle = nil
}

// Keep closes the idle connections to all addresses but those given.
func (p *Pool) Keep(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if slices.Contains(addresses, address) {
			continue
		}
		for _, c := range list {
			c.nc.Close()
		}
		delete(p.idle, address)
	}
}

// Dialed returns how many connections were opened.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

type conn struct {
	nc      net.Conn
	raw     syscall.RawConn
	address string
	in      *bufio.Reader
	heads   *http1.Reader
	out     []byte
	resp    http1.Response
	body    http1.Body
	used    time.Time
}

// Attempt is one sending, which another goroutine may abort. Its zero value
// is ready; it serves one Do at a time and may be reused after Reset.
type Attempt struct {
	mu      sync.Mutex
	nc      net.Conn
	cancel  context.CancelFunc
	aborted bool
}

// Reset makes a ready for another Do.
func (a *Attempt) Reset() {
	a.mu.Lock()
	a.nc, a.cancel, a.aborted = nil, nil, false
	a.mu.Unlock()
}

// Abort ends the attempt's I/O: Do, or the reading of the body, returns a
// Failure with ReasonAborted. It may come before, during or after Do.
func (a *Attempt) Abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.nc != nil {
		a.nc.SetDeadline(time.Unix(1, 0))
	}
	if a.cancel != nil {
		a.cancel()
	}
}

// hold takes the connection into the attempt; false: it was aborted before.
func (a *Attempt) hold(nc net.Conn, deadline time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return false
	}
	a.nc, a.cancel = nc, nil
	if nc != nil {
		nc.SetDeadline(deadline)
	}
	return true
}

// extend moves the connection's deadline, unless the attempt was aborted.
func (a *Attempt) extend(deadline time.Time) {
	a.mu.Lock()
	if !a.aborted && a.nc != nil {
		a.nc.SetDeadline(deadline)
	}
	a.mu.Unlock()
}

// release lets go of the connection and tells whether it may be used again.
func (a *Attempt) release() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nc, a.cancel = nil, nil
	return !a.aborted
}

func (a *Attempt) wasAborted() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.aborted
}

// Do sends a call to the brick at address and reads the answer's head into
// ans. On nil the caller reads ans.Body and calls ans.Done. Any error is a
// *Failure, and nothing is left to do.
func (p *Pool) Do(at *Attempt, address string, call *Call, ans *Answer) error {
	if len(call.Name) > nameMost || len(call.Meta) > codecMost {
		return fail(arrowwalk.Moot, ReasonBadAnswer, errors.New("name or meta too large"))
	}
	c, err := p.take(at, address, call.Deadline)
	if err != nil {
		return err
	}
	if !at.hold(c.nc, call.Deadline) {
		p.put(c)
		return fail(arrowwalk.Cancelled, ReasonAborted, nil)
	}
	if err := c.send(call); err != nil {
		return p.lose(at, c, err)
	}
	if err := c.heads.ReadResponse(&c.resp, call.Method); err != nil {
		return p.lose(at, c, err)
	}
	ans.conn, ans.at, ans.Raw = c, at, c.raw
	if err := ans.read(&c.resp); err != nil {
		return p.lose(at, c, &http1.Error{Status: 502, Reason: err.Error()})
	}
	if ans.Request != "" && ans.Request != call.Request { // a second answer to one before
		return p.lose(at, c, &http1.Error{Status: 502, Reason: "the answer is to request " + ans.Request})
	}
	c.body.Reset(c.in, c.resp.Framing)
	if call.Method == "HEAD" {
		c.body.Reset(c.in, http1.Framing{})
	}
	ans.Body = &c.body
	if refused := ans.refusal(); refused != nil {
		ans.Done(p, ans.Body.Drain(smallRest))
		return refused
	}
	return nil
}

// smallRest is how much of an unwanted body is read to save the connection.
const smallRest = 16 << 10

// refusal maps the statuses that are no answer to the client's request.
func (a *Answer) refusal() *Failure {
	switch {
	case a.Status == statusFull:
		return fail(arrowwalk.Full, ReasonFull, nil)
	case a.Status == 421:
		return fail(arrowwalk.Unreachable, ReasonWrongBrick, nil)
	case a.Status >= 500 && a.Status != 507:
		if a.Corrupt {
			return fail(arrowwalk.Failed, ReasonCorrupt, nil)
		}
		return fail(arrowwalk.Failed, ReasonError, nil)
	case a.Status < 200:
		return fail(arrowwalk.Failed, ReasonBadAnswer, nil)
	}
	return nil
}

// lose closes a connection on which an attempt failed and names the failure.
func (p *Pool) lose(at *Attempt, c *conn, err error) *Failure {
	aborted := !at.release()
	c.nc.Close()
	return classify(err, aborted, ReasonBroken)
}

func classify(err error, aborted bool, broken Reason) *Failure {
	var bad *http1.Error
	var own *Failure
	switch {
	case errors.As(err, &own):
		return own
	case aborted:
		return fail(arrowwalk.Cancelled, ReasonAborted, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fail(arrowwalk.TimedOut, ReasonTimeout, err)
	case errors.As(err, &bad): // no answer to go by: whether the attempt is over, nobody knows
		return fail(arrowwalk.Reset, ReasonBadAnswer, err)
	}
	return fail(arrowwalk.Reset, broken, err)
}

// take returns an idle connection that is still open, or dials one.
func (p *Pool) take(at *Attempt, address string, deadline time.Time) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Since(c.used) < p.opt.IdleFor && c.open() {
			return c, nil
		}
		c.nc.Close()
	}
	return p.dial(at, address, deadline)
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	list := p.idle[c.address]
	keep := !p.closed && len(list) < p.opt.IdlePerBrick
	if keep {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if !keep {
		c.nc.Close()
	}
}

func (p *Pool) dial(at *Attempt, address string, deadline time.Time) (*conn, error) {
	until := time.Now().Add(p.opt.DialTimeout)
	if deadline.Before(until) {
		until = deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	at.mu.Lock()
	at.cancel = cancel
	aborted := at.aborted
	at.mu.Unlock()
	if aborted {
		return nil, fail(arrowwalk.Unreachable, ReasonAborted, nil)
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		reason := ReasonRefused
		if ctx.Err() != nil {
			reason = ReasonDialTimeout
		}
		return nil, fail(arrowwalk.Unreachable, reason, err)
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	c := &conn{nc: nc, address: address, in: bufio.NewReaderSize(nc, 16<<10)}
	c.heads = http1.NewReader(c.in, http1.DefaultLimits)
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c, nil
}

// open looks whether an idle connection is still there: a brick that closed
// it, or said something unasked, is not asked on it.
func (c *conn) open() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	return !Readable(c.raw)
}

// Readable tells whether a read on the socket would return at once: bytes
// have come, or the peer has closed or broken the connection.
func Readable(raw syscall.RawConn) bool {
	var one [1]byte
	ready := true
	err := raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ready = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return err != nil || ready
}

const smallBody = 64 << 10

// send writes the call's head and body. A small body goes out with the head
// in one write.
func (c *conn) send(call *Call) error {
	c.out = call.append(c.out[:0], time.Until(call.Deadline))
	if call.bodyLen() == 0 {
		_, err := c.nc.Write(c.out)
		return err
	}
	parts, reader := call.Body.Parts()
	if reader == nil {
		buffers := make(net.Buffers, 0, len(parts)+1)
		buffers = append(append(buffers, c.out), parts...)
		_, err := buffers.WriteTo(c.nc)
		return err
	}
	if _, err := c.nc.Write(c.out); err != nil {
		return err
	}
	source := &sourceErr{r: reader}
	n, err := io.CopyN(c.nc, source, call.bodyLen())
	if source.err != nil || err == nil && n < call.bodyLen() {
		return fail(arrowwalk.Reset, ReasonSpool, source.err)
	}
	return err
}

// sourceErr tells an error of the reading from one of the writing.
type sourceErr struct {
	r   io.Reader
	err error
}

func (s *sourceErr) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil {
		s.err = err
	}
	return n, err
}

// Read reads from the answer's body; each read may wait as long as the pool's
// stall bound, or until the deadline where streaming is false. Errors are
// io.EOF at the end, else a *Failure, after which the connection is closed and
// Done does nothing.
func (a *Answer) Read(p *Pool, buf []byte) (int, error) {
	n, err := a.Body.Read(buf)
	if !a.check.add(buf[:n]) {
		a.Done(p, false)
		return 0, fail(arrowwalk.Failed, ReasonCorrupt, errCorrupt)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	failure := p.lose(a.at, a.conn, err)
	if failure.Reason == ReasonBroken {
		failure.Reason = ReasonShort
	}
	a.conn = nil
	return n, failure
}

// ReadBlock reads as Read does, but to the end of a block of the body's
// checksums: what it returns was found right. buf has room for a block.
func (a *Answer) ReadBlock(p *Pool, buf []byte) (int, error) {
	if len(a.check.sums) == 0 {
		return a.Read(p, buf)
	}
	want := min(a.check.left, int64(len(buf)))
	for done := int64(0); done < want; {
		n, err := a.Read(p, buf[done:want])
		done += int64(n)
		if err != nil && (done < want || !errors.Is(err, io.EOF)) {
			return 0, err
		}
	}
	return int(want), nil
}

// Stream tells that the answer is being passed on: from now on each wait for
// bytes has the pool's stall bound in place of the call's deadline.
func (a *Answer) Stream(p *Pool) { a.at.extend(time.Now().Add(p.opt.Stall)) }

// ReadAll reads the whole body into buf, which it grows, up to most bytes.
func (a *Answer) ReadAll(p *Pool, buf []byte, most int64) ([]byte, error) {
	if a.Length > most {
		a.Done(p, false)
		return buf, fail(arrowwalk.Failed, ReasonBadAnswer, errors.New("answer too large"))
	}
	buf = slices.Grow(buf[:0], int(a.Length))
	for !a.Body.Done() {
		if int64(len(buf)) > most {
			a.Done(p, false)
			return buf, fail(arrowwalk.Failed, ReasonBadAnswer, errors.New("answer too large"))
		}
		buf = slices.Grow(buf, 512)
		n, err := a.Read(p, buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// Done gives the connection back: to the pool where the body was read to its
// end and more may follow, else it is closed.
func (a *Answer) Done(p *Pool, whole bool) {
	c := a.conn
	if c == nil {
		return
	}
	a.conn = nil
	if a.at.release() && whole && c.body.Done() && !c.resp.Close && c.in.Buffered() == 0 {
		c.nc.SetDeadline(time.Time{})
		p.put(c)
		return
	}
	c.nc.Close()
}
