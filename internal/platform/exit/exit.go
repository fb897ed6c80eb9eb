// Package exit speaks the platform's protocol to bricks: one attempt is one
// request on one connection, and every way it can end is told as what it was.
package exit

import (
	"errors"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"arrowwalk"
	"arrowwalk/internal/conns"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/giveway"
)

// Header fields of the platform that both of its sides use.
const (
	HeaderID        = "X-Request-ID"
	HeaderKey       = "Idempotency-Key"
	HeaderTimeout   = "X-Timeout"
	headerNotRun    = "X-Not-Processed"
	headerUse       = "X-Volume-Use"
	headerElsewhere = "X-Served-Elsewhere"
	headerLoad      = "X-Server-Load"
)

// Bounds of what is taken from clients and bricks.
const (
	BodyMax     = 64 << 10 // of a client, as the protocol has it
	informMax   = 8        // 1xx answers ahead of the answer
	figureMax   = 1e9
	reportItems = 32
)

// idleMax is how many idle connections are kept to a brick.
const idleMax = 8

// limits of a brick's heads. Its heads are small; what is longer never ends.
var limits = http1.Limits{LineBytes: 4 << 10, HeadBytes: 16 << 10, Fields: 64}

// Options of a Sender.
type Options struct {
	Host        *host.Host
	Reports     []string      // names of the values in a load report, in order
	DialTimeout time.Duration // as the settings have it
	Dial        conns.Dial    // nil: TCP
	IdleFor     time.Duration // for how long a connection is kept for reuse
	Rest        time.Duration // after an answer, before its connection carries another request
	Max         int           // connections open at once
	Longest     time.Duration // that a client waits
	Bytes       int64         // of answers held at once
	KeepDirty   bool          // keeps connections with bytes behind an answer; for proofs that must fail
}

// Sender is what all calls share.
type Sender struct {
	opt    Options
	pool   *conns.Pool
	memory giveway.Bytes
}

// NewSender returns a Sender without connections.
func NewSender(opt Options) *Sender {
	return &Sender{opt: opt, memory: giveway.Bytes{Max: opt.Bytes}, pool: conns.NewPool(conns.Options{IdleEach: min(idleMax, opt.Max), IdleFor: opt.IdleFor,
		Rest: opt.Rest, DialTimeout: opt.DialTimeout, Dial: opt.Dial, Buffer: 2 << 10, Max: opt.Max, Limits: limits, Blind: opt.KeepDirty})}
}

// Keep closes the idle connections to all addresses but those given.
func (s *Sender) Keep(addresses []string) { s.pool.Keep(addresses) }

// Sweep closes the connections that were idle for too long.
func (s *Sender) Sweep() { s.pool.Sweep(time.Now()) }

// Close closes the idle connections.
func (s *Sender) Close() { s.pool.Close() }

// Counts returns how many connections are open, how many of them idle, and how
// many were opened so far.
func (s *Sender) Counts() (open, idle int, dialed int64) { return s.pool.Counts() }

// Call is a client's request on its way to bricks; it is a task's Runner.
type Call struct {
	Method, Target, ID, Key string // passed on unchanged; Key "": there is none
	Body                    []byte
	Answer                  []byte // body of the answer that counted, until Free
	// Left tells whether the client has gone; it is asked before each attempt's
	// first byte. nil: nobody can tell.
	Left func() bool

	sender  *Sender
	attempt conns.Numbered
}

// Ready makes c ready for attempts.
func (c *Call) Ready(s *Sender) { c.sender = s }

// Abort ends the attempt of that number (host.Runner).
func (c *Call) Abort(number int) { c.attempt.Abort(number) }

// Cut ends the attempt that runs; no more begin.
func (c *Call) Cut() { c.attempt.Cut() }

// Try makes an attempt (host.Runner).
func (c *Call) Try(t *host.Try) host.Result {
	if !c.attempt.Begin(t.Number) || t.Member.Address == "" {
		return host.Result{Status: arrowwalk.NotSent}
	}
	s, at := c.sender, &c.attempt.Attempt
	began := time.Now()
	nc, err := s.pool.Take(at, t.Member.Address, t.Until)
	if err != nil {
		return host.Result{Status: arrowwalk.Unreachable}
	}
	if !at.Hold(nc.Conn, t.Until) {
		s.pool.Put(nc)
		return host.Result{Status: arrowwalk.NotSent}
	}
	if c.Left != nil && c.Left() { // perhaps while the connection came up
		at.Release()
		nc.SetDeadline(time.Time{})
		s.pool.Put(nc)
		return host.Result{Status: arrowwalk.NotSent}
	}
	r, clean := c.exchange(nc, t.Until, began)
	if at.Release() && clean {
		nc.SetDeadline(time.Time{})
		s.pool.Put(nc)
	} else {
		s.pool.Drop(nc)
	}
	return r
}

// exchange sends the request and reads its answer; clean: the connection may
// carry another.
func (c *Call) exchange(nc *conns.Conn, until, began time.Time) (r host.Result, clean bool) {
	nc.Out = c.append(nc.Out[:0], time.Until(until))
	if n, err := nc.Write(nc.Out); err != nil {
		if n < len(nc.Out) { // a brick begins a request when its last byte has come
			return host.Result{Status: arrowwalk.Unreachable}, false
		}
		return host.Result{Status: c.broken(err)}, false
	}
	var head http1.Response
	if err := readHead(nc, &head, c.Method); err != nil {
		return host.Result{Status: c.broken(err)}, false
	}
	if err := c.readBody(nc, &head); err != nil {
		c.Free()
		return host.Result{Status: c.broken(err)}, false
	}
	r = c.told(&head)
	r.Lay = c.sender.opt.Host.Lay(nc.Raw, began, c.sender.opt.Longest)
	if r.Status == arrowwalk.OK {
		r.Closed = true
	} else {
		c.Free()
	}
	return r, !head.Close && (nc.In.Buffered() == 0 || c.sender.opt.KeepDirty)
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
	b = http1.AppendField(b, HeaderID, c.ID)
	if c.Key != "" {
		b = http1.AppendField(b, HeaderKey, c.Key)
	}
	b = append(b, HeaderTimeout+": "...)
	b = strconv.AppendFloat(b, max(0, left.Truncate(time.Millisecond).Seconds()), 'f', 3, 64) // never more than is left
	b = append(b, "\r\n"...)
	if len(c.Body) > 0 || c.Method != "GET" {
		b = http1.AppendInt(b, "Content-Length", int64(len(c.Body)))
	}
	return append(append(b, "\r\n"...), c.Body...)
}

// readHead reads the answer's head, past what informs of it.
func readHead(nc *conns.Conn, head *http1.Response, method string) error {
	for range informMax + 1 {
		if err := begins(nc); err != nil {
			return err
		}
		if err := nc.Heads.ReadResponse(head, method); err != nil {
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
func begins(nc *conns.Conn) error {
	const start = "HTTP/1."
	for i := range len(start) {
		b, err := nc.In.Peek(i + 1)
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
func (c *Call) told(head *http1.Response) host.Result {
	r := host.Result{Status: statusOf(head)}
	for i := range head.Fields {
		name, value := head.Fields[i].Name, head.Fields[i].Value
		switch {
		case strings.EqualFold(name, headerUse):
			if use, ok := figure(value); ok {
				r.FleetUse = 1 + use
			}
		case strings.EqualFold(name, headerElsewhere):
			if units, ok := figure(value); ok {
				r.OthersUnits = units
			}
		case strings.EqualFold(name, headerLoad):
			r.Load = report(value, c.sender.opt.Reports)
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
