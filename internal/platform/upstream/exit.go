// Package exit speaks the platform's protocol to bricks: one attempt is one
// request on one connection, and every way it can end is told as what it was.
package upstream

import (
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"arrowwalk"
	"arrowwalk/internal/connpool"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/eviction"
)

// Header fields of the platform that both of its sides use.
const (
	HeaderRequestID      = "X-Request-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "X-Timeout"
	headerNotRun         = "X-Not-Processed"
	headerUse            = "X-Volume-Use"
	headerElsewhere      = "X-Served-Elsewhere"
	headerLoad           = "X-Server-Load"
)

// Bounds of what is taken from clients and bricks.
const (
	MaxRequestBodyBytes = 64 << 10 // of a client, as the protocol has it
	informMax           = 8        // 1xx answers ahead of the answer
	figureMax           = 1e9
	reportItems         = 32
)

// idleMax is how many idle connections are kept to a brick.
const idleMax = 8

// limits of a brick's heads. Its heads are small; what is longer never ends.
var limits = http1.Limits{MaxLineBytes: 4 << 10, MaxHeadBytes: 16 << 10, MaxFields: 64}

// Options of a Sender.
type Options struct {
	Host             *host.Host
	LoadFields       []string          // names of the values in a load report, in order
	DialTimeout      time.Duration     // as the settings have it
	Dial             connpool.DialFunc // nil: TCP
	IdleTimeout      time.Duration     // for how long a connection is kept for reuse
	ReuseDelay       time.Duration     // after an answer, before its connection carries another request
	MaxConns         int               // connections open at once
	MaxClientWait    time.Duration     // that a client waits
	MaxResponseBytes int64             // of answers held at once
	ReuseDirtyConns  bool              // keeps connections with bytes behind an answer; for proofs that must fail
}

// Sender is what all calls share.
type Sender struct {
	opt    Options
	pool   *connpool.Pool
	memory eviction.ByteBudget
}

// NewSender returns a Sender without connections.
func NewSender(opt Options) *Sender {
	return &Sender{opt: opt, memory: eviction.ByteBudget{Max: opt.MaxResponseBytes}, pool: connpool.NewPool(connpool.Options{MaxIdlePerAddress: min(idleMax, opt.MaxConns), IdleTimeout: opt.IdleTimeout,
		ReuseDelay: opt.ReuseDelay, DialTimeout: opt.DialTimeout, Dial: opt.Dial, ReadBufferBytes: 2 << 10, MaxConns: opt.MaxConns, HeadLimits: limits, SkipIdleCheck: opt.ReuseDirtyConns})}
}

// CloseIdleExcept closes the idle connections to all addresses but those given.
func (s *Sender) CloseIdleExcept(addresses []string) { s.pool.CloseIdleExcept(addresses) }

// CloseExpired closes the connections that were idle for too long.
func (s *Sender) CloseExpired() { s.pool.CloseExpired(time.Now()) }

// Close closes the idle connections.
func (s *Sender) Close() { s.pool.Close() }

// Counts returns how many connections are open, how many of them idle, and how
// many were opened so far.
func (s *Sender) Counts() (open, idle int, dialed int64) { return s.pool.Counts() }

// Call is a client's request on its way to bricks; it is a task's Runner.
type Call struct {
	Method, Target, ID, Key string // passed on unchanged; Key "": there is none
	Body                    []byte
	ResponseBody            []byte // body of the answer that counted, until Free
	// ClientGone tells whether the client has gone; it is asked before each attempt's
	// first byte. nil: nobody can tell.
	ClientGone func() bool

	sender  *Sender
	attempt connpool.NumberedAttempt
}

// Init makes c ready for attempts.
func (c *Call) Init(s *Sender) { c.sender = s }

// Abort ends the attempt of that number (host.Runner).
func (c *Call) Abort(number int) { c.attempt.Abort(number) }

// AbortAll ends the attempt that runs; no more begin.
func (c *Call) AbortAll() { c.attempt.AbortAll() }

// Try makes an attempt (host.Runner).
func (c *Call) Try(t *host.Attempt) host.AttemptResult {
	if !c.attempt.Begin(t.Number) || t.Member.Address == "" {
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	s, at := c.sender, &c.attempt.Attempt
	began := time.Now()
	nc, err := s.pool.Get(at, t.Member.Address, t.Deadline)
	if err != nil {
		return host.AttemptResult{Status: arrowwalk.Unreachable}
	}
	if !at.Attach(nc.Conn, t.Deadline) {
		s.pool.Put(nc)
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	if c.ClientGone != nil && c.ClientGone() { // perhaps while the connection came up
		at.Detach()
		nc.SetDeadline(time.Time{})
		s.pool.Put(nc)
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	r, clean := c.exchange(nc, t.Deadline, began)
	if at.Detach() && clean {
		nc.SetDeadline(time.Time{})
		s.pool.Put(nc)
	} else {
		s.pool.Discard(nc)
	}
	return r
}

// exchange sends the request and reads its answer; clean: the connection may
// carry another.
func (c *Call) exchange(nc *connpool.Conn, until, began time.Time) (r host.AttemptResult, clean bool) {
	nc.WriteBuf = c.append(nc.WriteBuf[:0], time.Until(until))
	if n, err := nc.Write(nc.WriteBuf); err != nil {
		if n < len(nc.WriteBuf) { // a brick begins a request when its last byte has come
			return host.AttemptResult{Status: arrowwalk.Unreachable}, false
		}
		return host.AttemptResult{Status: c.broken(err)}, false
	}
	var head http1.Response
	if err := readHead(nc, &head, c.Method); err != nil {
		return host.AttemptResult{Status: c.broken(err)}, false
	}
	if err := c.readBody(nc, &head); err != nil {
		c.ReleaseResponse()
		return host.AttemptResult{Status: c.broken(err)}, false
	}
	r = c.told(&head)
	r.SocketDelay = c.sender.opt.Host.SocketDelay(nc.RawConn, began, c.sender.opt.MaxClientWait)
	if r.Status == arrowwalk.OK {
		r.Final = true
	} else {
		c.ReleaseResponse()
	}
	return r, !head.Close && (nc.Reader.Buffered() == 0 || c.sender.opt.ReuseDirtyConns)
}

// broken returns what an attempt whose request was written whole came to.
func (c *Call) broken(err error) arrowwalk.Status {
	var bad *http1.Error
	switch {
	case c.attempt.Aborted():
		return arrowwalk.Cancelled
	case errors.As(err, &bad), errors.Is(err, errMemory): // spoilt, or not held: it has run
		return arrowwalk.Failed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return arrowwalk.TimedOut
	}
	return arrowwalk.Reset
}

// append writes the request.
func (c *Call) append(b []byte, left time.Duration) []byte {
	b = append(b, c.Method...)
	b = append(b, ' ')
	b = append(b, c.Target...)
	b = append(b, " HTTP/1.1\r\nHost: brick\r\n"...)
	b = http1.AppendField(b, HeaderRequestID, c.ID)
	if c.Key != "" {
		b = http1.AppendField(b, HeaderIdempotencyKey, c.Key)
	}
	b = append(b, HeaderTimeout+": "...)
	b = strconv.AppendFloat(b, max(0, left.Truncate(time.Millisecond).Seconds()), 'f', 3, 64) // never more than is left
	b = append(b, "\r\n"...)
	if len(c.Body) > 0 || c.Method != "GET" {
		b = http1.AppendIntField(b, "Content-Length", int64(len(c.Body)))
	}
	return append(append(b, "\r\n"...), c.Body...)
}

// readHead reads the answer's head, past what informs of it.
func readHead(nc *connpool.Conn, head *http1.Response, method string) error {
	for range informMax + 1 {
		if err := begins(nc); err != nil {
			return err
		}
		if err := nc.HeadReader.ReadResponse(head, method); err != nil {
			return err
		}
		if head.Status >= 200 {
			return nil
		}
		if head.Status == 101 {
			break
		}
	}
	return &http1.Error{Status: 502, Reason: "only 1xx answers"}
}

// begins looks whether what comes begins as an answer does: noise without a
// line's end would be waited for until the client's time is up.
func begins(nc *connpool.Conn) error {
	const start = "HTTP/1."
	for i := range len(start) {
		b, err := nc.Reader.Peek(i + 1)
		if err != nil {
			if i > 0 && errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if b[i] != start[i] {
			return &http1.Error{Status: 502, Reason: "an answer that is no HTTP"}
		}
	}
	return nil
}

// told returns what a whole answer tells the module.
func (c *Call) told(head *http1.Response) host.AttemptResult {
	r := host.AttemptResult{Status: statusOf(head)}
	for i := range head.Fields {
		name, value := head.Fields[i].Name, head.Fields[i].Value
		switch {
		case strings.EqualFold(name, headerUse):
			if use, ok := figure(value); ok {
				r.FleetUse = 1 + use
			}
		case strings.EqualFold(name, headerElsewhere):
			if units, ok := figure(value); ok {
				r.OtherHostsUnits = units
			}
		case strings.EqualFold(name, headerLoad):
			r.Load = report(value, c.sender.opt.LoadFields)
		}
	}
	return r
}

// statusOf maps an answer as the protocol's table has it.
func statusOf(head *http1.Response) arrowwalk.Status {
	switch head.Status {
	case 200:
		return arrowwalk.OK
	case 503, 504:
		if head.Fields.Get(headerNotRun) == "1" {
			return arrowwalk.Overloaded
		}
	}
	return arrowwalk.Failed
}

// figure reads an amount; false: it can't be one.
func figure(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= figureMax
}

// report reads a load report, NAME=VALUE,..., into the order of names; nil: it
// can't be read, or lacks one of them.
func report(s string, names []string) []float64 {
	if len(names) == 0 {
		return nil
	}
	values, found := make([]float64, len(names)), 0
	for range reportItems {
		one, rest, more := strings.Cut(s, ",")
		name, text, ok := strings.Cut(strings.TrimSpace(one), "=")
		v, good := figure(text)
		if !ok || !good {
			return nil
		}
		for i := range names {
			if names[i] == name {
				values[i] = v
				found++
			}
		}
		if s = rest; !more {
			break
		}
	}
	if found != len(names) {
		return nil
	}
	return values
}
