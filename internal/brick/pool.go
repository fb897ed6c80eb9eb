package brick

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"arrowwalk"
	"arrowwalk/internal/connpool"
	"arrowwalk/internal/http1"
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	MaxIdlePerBrick int           // max idle connections kept for each brick; 0 means 64
	IdleTimeout     time.Duration // idle timeout of these connections; 0 means 30 s
	DialTimeout     time.Duration // 0 means 1 s
	StallTimeout    time.Duration // longest wait for the next bytes of a response that is streamed; 0 means 10 s
}

// Pool keeps connections to bricks for reuse. It is safe for concurrent use and
// never retries: each Do is one attempt.
type Pool struct {
	opt    PoolOptions
	conns  *connpool.Pool
	clocks clocks
}

// NewPool returns an empty pool. The caller must Close it.
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

// Close closes the idle connections. Connections in use are closed when they are
// released.
func (p *Pool) Close() { p.conns.Close() }

// CloseIdleExcept closes the idle connections to all but the given addresses.
func (p *Pool) CloseIdleExcept(addresses []string) { p.conns.CloseIdleExcept(addresses) }

// DialCount returns the number of connections opened so far.
func (p *Pool) DialCount() int64 {
	_, _, dialed := p.conns.Counts()
	return dialed
}

// conn is a connection with the response that is being read from it.
type conn struct {
	*connpool.Conn
	resp http1.Response
	body http1.Body
}

// Attempt is one attempt, which any goroutine may abort. Do, or reading the
// response's body, then returns a Failure with ReasonAborted.
type Attempt = connpool.Attempt

// Do sends a request to the brick at address and reads the head of the response
// into resp. If it returns nil, the caller reads resp.Body and must call
// resp.Release. Any error is a *Failure, and there is nothing to release.
func (p *Pool) Do(at *Attempt, address string, req *Request, resp *Response) error {
	if len(req.Name) > maxNameBytes || len(req.Meta) > maxMetaBytes {
		return newFailure(arrowwalk.NotSent, ReasonBadAnswer, errors.New("name or metadata too large"))
	}
	c, err := p.connect(at, address, req.Deadline)
	if err != nil {
		return err
	}
	if !at.Attach(c.Conn, req.Deadline) {
		p.conns.Put(c.Conn)
		return newFailure(arrowwalk.Cancelled, ReasonAborted, nil)
	}
	if req.Outdated != nil && req.Outdated() {
		return p.discard(at, c, newFailure(arrowwalk.NotSent, ReasonOutdated, nil))
	}
	if err := c.send(req); err != nil {
		return p.discard(at, c, err)
	}
	if err := c.HeadReader.ReadResponse(&c.resp, req.Method); err != nil {
		return p.discard(at, c, err)
	}
	if err := VerifyHead(c.HeadReader.Head()); err != nil { // the brick may have executed the request
		return p.discard(at, c, newFailure(arrowwalk.Failed, ReasonCorrupt, err))
	}
	resp.conn, resp.at, resp.Raw = c, at, c.RawConn
	if err := resp.parseHead(&c.resp); err != nil {
		return p.discard(at, c, &http1.Error{Status: 502, Reason: err.Error()})
	}
	if resp.RequestID != "" && resp.RequestID != req.RequestID { // a second response to an earlier request
		return p.discard(at, c, &http1.Error{Status: 502, Reason: "response is to request " + resp.RequestID})
	}
	if name, _, ok := strings.Cut(resp.Brick, "@"); ok && resp.Clock.Run != 0 {
		p.clocks.note(name, resp.Clock)
	}
	c.body.Reset(c.Reader, c.resp.Framing)
	if req.Method == "HEAD" {
		c.body.Reset(c.Reader, http1.Framing{})
	}
	resp.Body = &c.body
	if failure := resp.statusFailure(); failure != nil {
		resp.Release(p, resp.Body.Drain(maxDrainBytes))
		return failure
	}
	return nil
}

// maxDrainBytes is how much of an unwanted body is read so that its connection
// can be reused.
const maxDrainBytes = 16 << 10

// statusFailure returns the failure for statuses that are no response to the
// client's request, or nil.
func (r *Response) statusFailure() *Failure {
	switch {
	case r.Status == statusUnavailable:
		return newFailure(arrowwalk.Overloaded, ReasonFull, nil)
	case r.Status == 421:
		return newFailure(arrowwalk.Unreachable, ReasonWrongBrick, nil)
	case r.Status >= 500 && r.Status != 507:
		if r.Corrupt {
			return newFailure(arrowwalk.Failed, ReasonCorrupt, nil)
		}
		return newFailure(arrowwalk.Failed, ReasonError, nil)
	case r.Status < 200:
		return newFailure(arrowwalk.Failed, ReasonBadAnswer, nil)
	}
	return nil
}

// discard closes the connection of a failed attempt and returns the failure.
func (p *Pool) discard(at *Attempt, c *conn, err error) *Failure {
	aborted := !at.Detach()
	p.conns.Discard(c.Conn)
	return classify(err, aborted, ReasonBroken)
}

// classify returns the failure for an error on a connection. broken is the
// reason if the connection broke.
func classify(err error, aborted bool, broken Reason) *Failure {
	var malformed *http1.Error
	var failure *Failure
	switch {
	case errors.As(err, &failure):
		return failure
	case aborted:
		return newFailure(arrowwalk.Cancelled, ReasonAborted, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newFailure(arrowwalk.TimedOut, ReasonTimeout, err)
	case errors.As(err, &malformed): // the brick may still be processing the request
		return newFailure(arrowwalk.Reset, ReasonBadAnswer, err)
	}
	return newFailure(arrowwalk.Reset, broken, err)
}

// connect returns a pooled or new connection to the brick at address.
func (p *Pool) connect(at *Attempt, address string, deadline time.Time) (*conn, error) {
	c, err := p.conns.Get(at, address, deadline)
	if err == nil {
		return &conn{Conn: c}, nil
	}
	reason := ReasonRefused
	var dialErr *connpool.DialError
	if errors.As(err, &dialErr) && dialErr.Aborted {
		reason = ReasonAborted
	} else if dialErr != nil && dialErr.TimedOut {
		reason = ReasonDialTimeout
	}
	return nil, newFailure(arrowwalk.Unreachable, reason, err)
}

// send writes the request's head and body. A body in memory is sent together
// with the head in one write.
func (c *conn) send(req *Request) error {
	c.WriteBuf = req.appendHead(c.WriteBuf[:0], time.Until(req.Deadline))
	if req.bodyLen() == 0 {
		_, err := c.Write(c.WriteBuf)
		return err
	}
	parts, reader := req.Body.Parts()
	if reader == nil {
		buffers := make(net.Buffers, 0, len(parts)+1)
		buffers = append(append(buffers, c.WriteBuf), parts...)
		_, err := buffers.WriteTo(c.Conn.Conn)
		return err
	}
	if _, err := c.Write(c.WriteBuf); err != nil {
		return err
	}
	source := &errorRecorder{r: reader}
	n, err := io.CopyN(c.Conn.Conn, source, req.bodyLen())
	if source.err != nil || err == nil && n < req.bodyLen() {
		return newFailure(arrowwalk.Reset, ReasonSpool, source.err)
	}
	return err
}

// errorRecorder records the error of a reader, to tell read errors from write
// errors of a copy.
type errorRecorder struct {
	r   io.Reader
	err error
}

func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil {
		e.err = err
	}
	return n, err
}

// Read reads from the response's body. It waits until the request's deadline, or
// the one that BeginStream set. It returns io.EOF at the end; any other error is
// a *Failure, after which the connection is closed and Release does nothing.
func (r *Response) Read(p *Pool, buf []byte) (int, error) {
	n, err := r.Body.Read(buf)
	if !r.verifier.add(buf[:n]) {
		r.Release(p, false)
		return 0, newFailure(arrowwalk.Failed, ReasonCorrupt, errCorrupt)
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	failure := p.discard(r.at, r.conn, err)
	if failure.Reason == ReasonBroken {
		failure.Reason = ReasonShort
	}
	r.conn = nil
	return n, failure
}

// ReadBlock is like Read but reads up to the end of a checksum block, so that
// every byte that it returns is verified. buf must hold a whole block.
func (r *Response) ReadBlock(p *Pool, buf []byte) (int, error) {
	if len(r.verifier.sums) == 0 {
		return r.Read(p, buf)
	}
	want := min(r.verifier.blockLeft, int64(len(buf)))
	for done := int64(0); done < want; {
		n, err := r.Read(p, buf[done:want])
		done += int64(n)
		if err != nil && (done < want || !errors.Is(err, io.EOF)) {
			return 0, err
		}
	}
	return int(want), nil
}

// BeginStream marks the response as being passed on to the client: from now on
// the next bytes may take the pool's stall timeout, whatever the request's
// deadline. Call it for each part of the body that is passed on.
func (r *Response) BeginStream(p *Pool) { r.at.ExtendDeadline(time.Now().Add(p.opt.StallTimeout)) }

// ReadAll reads the whole body, up to maxBytes, into buf, which it grows as
// needed.
func (r *Response) ReadAll(p *Pool, buf []byte, maxBytes int64) ([]byte, error) {
	if r.Length > maxBytes {
		r.Release(p, false)
		return buf, newFailure(arrowwalk.Failed, ReasonBadAnswer, errors.New("response too large"))
	}
	buf = slices.Grow(buf[:0], int(r.Length))
	for !r.Body.Done() {
		if int64(len(buf)) > maxBytes {
			r.Release(p, false)
			return buf, newFailure(arrowwalk.Failed, ReasonBadAnswer, errors.New("response too large"))
		}
		buf = slices.Grow(buf, 512)
		n, err := r.Read(p, buf[len(buf):cap(buf)])
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

// Release releases the connection. It returns to the pool if complete is true,
// the body was read to its end and the brick keeps the connection open;
// otherwise it is closed. Calls after the first have no effect.
func (r *Response) Release(p *Pool, complete bool) {
	c := r.conn
	if c == nil {
		return
	}
	r.conn = nil
	if r.at.Detach() && complete && c.body.Done() && !c.resp.Close && c.Reader.Buffered() == 0 {
		c.SetDeadline(time.Time{})
		p.conns.Put(c.Conn)
		return
	}
	p.conns.Discard(c.Conn)
}
