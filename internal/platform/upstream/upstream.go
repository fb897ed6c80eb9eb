// Package upstream sends requests to bricks in the platform's protocol. One
// attempt is one request on one connection. Every way in which it can end is
// mapped to the status that describes whether the brick may have run it.
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

// Header fields of the platform's protocol. The exported ones are used on client
// connections too.
const (
	HeaderRequestID       = "X-Request-ID"
	HeaderIdempotencyKey  = "Idempotency-Key"
	HeaderTimeout         = "X-Timeout"
	headerNotProcessed    = "X-Not-Processed"
	headerVolumeUse       = "X-Volume-Use"
	headerServedElsewhere = "X-Served-Elsewhere"
	headerServerLoad      = "X-Server-Load"
)

// Limits of what is accepted from clients and bricks.
const (
	MaxRequestBodyBytes = 64 << 10 // of a client's request; set by the protocol
	maxInterimResponses = 8        // 1xx responses before the final one
	maxAmount           = 1e9      // value in a header field or load report
	maxLoadReportItems  = 32
)

// maxIdlePerBrick is the number of idle connections kept to each brick.
const maxIdlePerBrick = 8

// headLimits bound a brick's response heads. Real heads are small; a longer one
// comes from a faulty brick and may never end.
var headLimits = http1.Limits{MaxLineBytes: 4 << 10, MaxHeadBytes: 16 << 10, MaxFields: 64}

// Options configures a Sender.
type Options struct {
	Host             *host.Host
	LoadFields       []string          // values to take from a load report, in order
	DialTimeout      time.Duration     // longest wait for a new connection
	Dial             connpool.DialFunc // nil: TCP
	IdleTimeout      time.Duration     // after which an idle connection is closed
	ReuseDelay       time.Duration     // after a response, before its connection carries another request
	MaxConns         int               // open connections
	MaxClientWait    time.Duration     // longest deadline of a client's request
	MaxResponseBytes int64             // response bodies held in memory at once
	ReuseDirtyConns  bool              // reuse connections with bytes after a response; for negative tests only
}

// Sender holds the connections and the memory that all calls share. It is safe
// for concurrent use.
type Sender struct {
	opt    Options
	pool   *connpool.Pool
	memory eviction.ByteBudget
}

// NewSender returns a Sender without open connections.
func NewSender(opt Options) *Sender {
	return &Sender{
		opt:    opt,
		memory: eviction.ByteBudget{Max: opt.MaxResponseBytes},
		pool: connpool.NewPool(connpool.Options{
			MaxIdlePerAddress: min(maxIdlePerBrick, opt.MaxConns),
			IdleTimeout:       opt.IdleTimeout,
			ReuseDelay:        opt.ReuseDelay,
			DialTimeout:       opt.DialTimeout,
			Dial:              opt.Dial,
			ReadBufferBytes:   2 << 10,
			MaxConns:          opt.MaxConns,
			HeadLimits:        headLimits,
			SkipIdleCheck:     opt.ReuseDirtyConns,
		}),
	}
}

// CloseIdleExcept closes the idle connections to all addresses that are not
// listed.
func (s *Sender) CloseIdleExcept(addresses []string) { s.pool.CloseIdleExcept(addresses) }

// CloseExpired closes the connections whose idle timeout has passed.
func (s *Sender) CloseExpired() { s.pool.CloseExpired(time.Now()) }

// Close closes the idle connections.
func (s *Sender) Close() { s.pool.Close() }

// Counts returns the number of open connections, how many of them are idle, and
// how many were dialed so far.
func (s *Sender) Counts() (open, idle int, dialed int64) { return s.pool.Counts() }

// Call is a client's request that is sent to bricks, one attempt at a time. It
// implements host.Runner.
type Call struct {
	Method, Target, ID, Key string // forwarded unchanged; Key is "" if there is none
	Body                    []byte
	ResponseBody            []byte // of the successful attempt; valid until ReleaseResponse
	// ClientGone reports whether the client has disconnected. It is called before
	// the first byte of each attempt is sent. nil: never checked.
	ClientGone func() bool

	sender  *Sender
	attempt connpool.NumberedAttempt
}

// Init prepares c for attempts through s.
func (c *Call) Init(s *Sender) { c.sender = s }

// Abort implements host.Runner: it aborts the attempt with the given number and
// all earlier ones.
func (c *Call) Abort(number int) { c.attempt.Abort(number) }

// AbortAll aborts the current attempt and prevents further ones.
func (c *Call) AbortAll() { c.attempt.AbortAll() }

// Try implements host.Runner: it makes one attempt and returns its result.
func (c *Call) Try(t *host.Attempt) host.AttemptResult {
	if !c.attempt.Begin(t.Number) || t.Member.Address == "" {
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	s, attempt := c.sender, &c.attempt.Attempt
	started := time.Now()
	nc, err := s.pool.Get(attempt, t.Member.Address, t.Deadline)
	if err != nil {
		return host.AttemptResult{Status: arrowwalk.Unreachable}
	}
	if !attempt.Attach(nc.Conn, t.Deadline) {
		s.pool.Put(nc)
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	if c.ClientGone != nil && c.ClientGone() || t.Outdated() { // the client may have left during the dial
		attempt.Detach()
		nc.SetDeadline(time.Time{})
		s.pool.Put(nc)
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	r, reusable := c.exchange(nc, t.Deadline, started)
	if attempt.Detach() && reusable {
		nc.SetDeadline(time.Time{})
		s.pool.Put(nc)
	} else {
		s.pool.Discard(nc)
	}
	return r
}

// exchange sends the request and reads the response. reusable reports whether
// the connection may carry another request.
func (c *Call) exchange(nc *connpool.Conn, deadline, started time.Time) (r host.AttemptResult, reusable bool) {
	nc.WriteBuf = c.appendRequest(nc.WriteBuf[:0], time.Until(deadline))
	if n, err := nc.Write(nc.WriteBuf); err != nil {
		if n < len(nc.WriteBuf) { // a brick starts a request only after its last byte
			return host.AttemptResult{Status: arrowwalk.Unreachable}, false
		}
		return host.AttemptResult{Status: c.failureStatus(err)}, false
	}
	var head http1.Response
	if err := readHead(nc, &head, c.Method); err != nil {
		return host.AttemptResult{Status: c.failureStatus(err)}, false
	}
	if err := c.readBody(nc, &head); err != nil {
		c.ReleaseResponse()
		return host.AttemptResult{Status: c.failureStatus(err)}, false
	}
	r = c.parseResult(&head)
	r.HeadReadAt = time.Now()
	r.SocketDelay = c.sender.opt.Host.SocketDelay(nc.RawConn, started, c.sender.opt.MaxClientWait)
	if r.Status == arrowwalk.OK {
		r.Final = true
	} else {
		c.ReleaseResponse()
	}
	return r, !head.Close && (nc.Reader.Buffered() == 0 || c.sender.opt.ReuseDirtyConns)
}

// failureStatus returns the status of an attempt that failed with err after its
// request was written completely.
func (c *Call) failureStatus(err error) arrowwalk.Status {
	var malformed *http1.Error
	switch {
	case c.attempt.Aborted():
		return arrowwalk.Cancelled
	case errors.As(err, &malformed), errors.Is(err, errNoMemory): // the brick answered, so it has run the request
		return arrowwalk.Failed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return arrowwalk.TimedOut
	}
	return arrowwalk.Reset
}

// appendRequest appends the request to b. timeLeft is the time that the brick has
// for it.
func (c *Call) appendRequest(b []byte, timeLeft time.Duration) []byte {
	b = append(b, c.Method...)
	b = append(b, ' ')
	b = append(b, c.Target...)
	b = append(b, " HTTP/1.1\r\nHost: brick\r\n"...)
	b = http1.AppendField(b, HeaderRequestID, c.ID)
	if c.Key != "" {
		b = http1.AppendField(b, HeaderIdempotencyKey, c.Key)
	}
	b = append(b, HeaderTimeout+": "...)
	b = strconv.AppendFloat(b, max(0, timeLeft.Truncate(time.Millisecond).Seconds()), 'f', 3, 64) // rounded down, never more than the time left
	b = append(b, "\r\n"...)
	if len(c.Body) > 0 || c.Method != "GET" {
		b = http1.AppendIntField(b, "Content-Length", int64(len(c.Body)))
	}
	return append(append(b, "\r\n"...), c.Body...)
}

// readHead reads the head of the final response and skips interim (1xx)
// responses.
func readHead(nc *connpool.Conn, head *http1.Response, method string) error {
	for range maxInterimResponses + 1 {
		if err := checkPrefix(nc); err != nil {
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
	return &http1.Error{Status: 502, Reason: "no final response after the 1xx responses"}
}

// checkPrefix checks that the received bytes begin as an HTTP/1 response does.
// Otherwise garbage without a line end would be read until the client's deadline.
func checkPrefix(nc *connpool.Conn) error {
	const prefix = "HTTP/1."
	for i := range len(prefix) {
		b, err := nc.Reader.Peek(i + 1)
		if err != nil {
			if i > 0 && errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if b[i] != prefix[i] {
			return &http1.Error{Status: 502, Reason: "response is not HTTP/1"}
		}
	}
	return nil
}

// parseResult returns the result that the head of a complete response carries.
// Header fields that cannot be parsed are ignored.
func (c *Call) parseResult(head *http1.Response) host.AttemptResult {
	r := host.AttemptResult{Status: statusOf(head)}
	for i := range head.Fields {
		name, value := head.Fields[i].Name, head.Fields[i].Value
		switch {
		case strings.EqualFold(name, headerVolumeUse):
			if use, ok := parseAmount(value); ok {
				r.FleetUse = 1 + use
			}
		case strings.EqualFold(name, headerServedElsewhere):
			if units, ok := parseAmount(value); ok {
				r.OtherHostsUnits = units
			}
		case strings.EqualFold(name, headerServerLoad):
			r.Load = parseLoadReport(value, c.sender.opt.LoadFields)
		}
	}
	return r
}

// statusOf maps a response to a status as the protocol defines it.
func statusOf(head *http1.Response) arrowwalk.Status {
	switch head.Status {
	case 200:
		return arrowwalk.OK
	case 503, 504:
		if head.Fields.Get(headerNotProcessed) == "1" {
			return arrowwalk.Overloaded
		}
	}
	return arrowwalk.Failed
}

// parseAmount parses a number from 0 to maxAmount. It returns false for anything
// else.
func parseAmount(s string) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= maxAmount
}

// parseLoadReport parses a load report NAME=VALUE,... and returns its values in
// the order of names. It returns nil if the report is malformed or lacks one of
// the names.
func parseLoadReport(s string, names []string) []float64 {
	if len(names) == 0 {
		return nil
	}
	values, found := make([]float64, len(names)), 0
	for range maxLoadReportItems {
		item, rest, more := strings.Cut(s, ",")
		name, text, hasValue := strings.Cut(strings.TrimSpace(item), "=")
		v, valid := parseAmount(text)
		if !hasValue || !valid {
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
