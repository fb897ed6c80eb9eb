package brick

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"arrowwalk"
	"arrowwalk/internal/connpool"
	"arrowwalk/internal/http1"
)

// PoolOptions bounds the connections to bricks.
type PoolOptions struct {
	MaxIdlePerBrick int           // connections kept for reuse at each brick; 0: 64
	IdleTimeout     time.Duration // and for how long; 0: 30 s
	DialTimeout     time.Duration // 0: 1 s
	StallTimeout    time.Duration // longest wait for the next bytes of a body that has begun; 0: 10 s
}

// Pool keeps connections to bricks. It is safe for concurrent use and never
// retries: each Do is one attempt.
type Pool struct {
	opt   PoolOptions
	conns *connpool.Pool
}

// NewPool returns an empty pool.
func NewPool(opt PoolOptions) *Pool {
	if opt.MaxIdlePerBrick == 0 {
		opt.MaxIdlePerBrick = 64
	}
	if opt.IdleTimeout == 0 {
		opt.IdleTimeout = 30 * time.Second
	}
	if opt.DialTimeout == 0 {
		opt.DialTimeout = time.Second
	}
	if opt.StallTimeout == 0 {
		opt.StallTimeout = 10 * time.Second
	}
	return &Pool{opt: opt, conns: connpool.NewPool(connpool.Options{MaxIdlePerAddress: opt.MaxIdlePerBrick, IdleTimeout: opt.IdleTimeout,
		DialTimeout: opt.DialTimeout, HeadLimits: http1.DefaultLimits})}
}

// Close closes the idle connections; those in use close when they come back.
func (p *Pool) Close() { p.conns.Close() }

// CloseIdleExcept closes the idle connections to all addresses but those given.
func (p *Pool) CloseIdleExcept(addresses []string) { p.conns.CloseIdleExcept(addresses) }

// DialCount returns how many connections were opened.
func (p *Pool) DialCount() int64 {
	_, _, dialed := p.conns.Counts()
	return dialed
}

// conn is a connection with the answer that is read on it.
type conn struct {
	*connpool.Conn
	resp http1.Response
	body http1.Body
}

// Attempt is one sending, which another goroutine may abort: Do, or the reading
// of the body, then returns a Failure with ReasonAborted.
type Attempt = connpool.Attempt

// Do sends a call to the brick at address and reads the answer's head into
// ans. On nil the caller reads ans.Body and calls ans.Done. Any error is a
// *Failure, and nothing is left to do.
func (p *Pool) Do(at *Attempt, address string, call *Request, ans *Response) error {
	if len(call.Name) > nameMost || len(call.Meta) > codecMost {
		return fail(arrowwalk.NotSent, ReasonBadAnswer, errors.New("name or meta too large"))
	}
	c, err := p.take(at, address, call.Deadline)
	if err != nil {
		return err
	}
	if !at.Attach(c.Conn, call.Deadline) {
		p.conns.Put(c.Conn)
		return fail(arrowwalk.Cancelled, ReasonAborted, nil)
	}
	if err := c.send(call); err != nil {
		return p.lose(at, c, err)
	}
	if err := c.HeadReader.ReadResponse(&c.resp, call.Method); err != nil {
		return p.lose(at, c, err)
	}
	ans.conn, ans.at, ans.Raw = c, at, c.RawConn
	if err := ans.read(&c.resp); err != nil {
		return p.lose(at, c, &http1.Error{Status: 502, Reason: err.Error()})
	}
	if ans.RequestID != "" && ans.RequestID != call.RequestID { // a second answer to one before
		return p.lose(at, c, &http1.Error{Status: 502, Reason: "the answer is to request " + ans.RequestID})
	}
	c.body.Reset(c.Reader, c.resp.Framing)
	if call.Method == "HEAD" {
		c.body.Reset(c.Reader, http1.Framing{})
	}
	ans.Body = &c.body
	if refused := ans.refusal(); refused != nil {
		ans.Release(p, ans.Body.Drain(smallRest))
		return refused
	}
	return nil
}

// smallRest is how much of an unwanted body is read to save the connection.
const smallRest = 16 << 10

// refusal maps the statuses that are no answer to the client's request.
func (a *Response) refusal() *Failure {
	switch {
	case a.Status == statusFull:
		return fail(arrowwalk.Overloaded, ReasonFull, nil)
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
	aborted := !at.Detach()
	p.conns.Discard(c.Conn)
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

// take returns a connection to the brick at address.
func (p *Pool) take(at *Attempt, address string, deadline time.Time) (*conn, error) {
	c, err := p.conns.Get(at, address, deadline)
	if err == nil {
		return &conn{Conn: c}, nil
	}
	reason := ReasonRefused
	var dial *connpool.DialError
	if errors.As(err, &dial) && dial.Aborted {
		reason = ReasonAborted
	} else if dial != nil && dial.TimedOut {
		reason = ReasonDialTimeout
	}
	return nil, fail(arrowwalk.Unreachable, reason, err)
}

const smallBody = 64 << 10

// send writes the call's head and body. A small body goes out with the head
// in one write.
func (c *conn) send(call *Request) error {
	c.WriteBuf = call.append(c.WriteBuf[:0], time.Until(call.Deadline))
	if call.bodyLen() == 0 {
		_, err := c.Write(c.WriteBuf)
		return err
	}
	parts, reader := call.Body.Parts()
	if reader == nil {
		buffers := make(net.Buffers, 0, len(parts)+1)
		buffers = append(append(buffers, c.WriteBuf), parts...)
		_, err := buffers.WriteTo(c.Conn.Conn)
		return err
	}
	if _, err := c.Write(c.WriteBuf); err != nil {
		return err
	}
	source := &sourceErr{r: reader}
	n, err := io.CopyN(c.Conn.Conn, source, call.bodyLen())
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
func (a *Response) Read(p *Pool, buf []byte) (int, error) {
	n, err := a.Body.Read(buf)
	if !a.check.add(buf[:n]) {
		a.Release(p, false)
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
func (a *Response) ReadBlock(p *Pool, buf []byte) (int, error) {
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

// BeginStream tells that the answer is being passed on: from now on each wait for
// bytes has the pool's stall bound in place of the call's deadline.
func (a *Response) BeginStream(p *Pool) { a.at.ExtendDeadline(time.Now().Add(p.opt.StallTimeout)) }

// ReadAll reads the whole body into buf, which it grows, up to most bytes.
func (a *Response) ReadAll(p *Pool, buf []byte, most int64) ([]byte, error) {
	if a.Length > most {
		a.Release(p, false)
		return buf, fail(arrowwalk.Failed, ReasonBadAnswer, errors.New("answer too large"))
	}
	buf = slices.Grow(buf[:0], int(a.Length))
	for !a.Body.Done() {
		if int64(len(buf)) > most {
			a.Release(p, false)
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

// Release gives the connection back: to the pool where the body was read to its
// end and more may follow, else it is closed.
func (a *Response) Release(p *Pool, whole bool) {
	c := a.conn
	if c == nil {
		return
	}
	a.conn = nil
	if a.at.Detach() && whole && c.body.Done() && !c.resp.Close && c.Reader.Buffered() == 0 {
		c.SetDeadline(time.Time{})
		p.conns.Put(c.Conn)
		return
	}
	p.conns.Discard(c.Conn)
}
