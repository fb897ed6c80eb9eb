package s3

import (
	"encoding/xml"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"arrowwalk"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/spool"
)

// exchange is one request and its response. It belongs to the connection's
// goroutine; goroutines that runParallel starts may also run calls with it.
type exchange struct {
	server            *Server
	conn              *conn
	requestID         string
	startedAt         time.Time
	path              string // percent-decoded
	bucket            string
	key               string
	query             sigv4.Query
	identity          *sigv4.Identity
	volume            arrowwalk.Volume
	clientTimeout     time.Duration // from headerClientTimeout; 0 if not given
	isRetry           bool          // the client marked the request as a retry
	continueSettled   bool          // 100 Continue was sent or is not needed
	responseStarted   bool          // bytes of the response were sent
	closeConn         bool          // close the connection after the response
	status            int
	bytesSent         int64
	waitStart         time.Time // when the client began to wait: its last byte had arrived
	restMayBeBuffered bool      // reading paused for long enough that the rest of the body may be in the client's socket buffers
	markedAt          time.Time // start of the period counted by bytesSinceMark
	hasClient         bool      // a client waits for the response on a socket
	lateTasks         []*host.Task

	bytesSinceMark int64

	arrivedAt time.Time // when the last bytes of the request that were read arrived
}

// headerClientTimeout is the request header with which a client shortens the
// deadline of the class: the milliseconds that it waits for a response.
const headerClientTimeout = "X-Arrowwalk-Wait-Ms"

const (
	maxQueryParams = 64
	maxKeyBytes    = 1024 // limit of the S3 specification
)

// newExchange returns an exchange with a new request ID for the next request
// of c.
func newExchange(c *conn) *exchange {
	id := c.server.opts.Host.RunID() + "-" + strconv.FormatUint(c.server.requestSeq.Add(1), 10)
	now := time.Now()
	return &exchange{server: c.server, conn: c, requestID: id, startedAt: now, waitStart: now}
}

// arrivalAfterStall returns when the last bytes of the client arrived, if a
// stall of this host ended less than window ago. Bytes read after a stall may
// have waited in the socket, so the kernel is asked for their age. justRead is
// the number of bytes read immediately before.
func (x *exchange) arrivalAfterStall(justRead int, window time.Duration) (time.Time, bool) {
	if x.server.opts.IgnoreSocketAge {
		return time.Time{}, false
	}
	remaining := x.conn.body.Remaining()
	if remaining > 0 {
		remaining = max(0, remaining-int64(x.conn.reader.Buffered()))
	}
	arrival, ok := x.server.opts.Host.RequestArrival(x.conn.rawConn, x.conn.socketEmptyAt, justRead+x.conn.reader.Buffered(), remaining, window)
	x.restMayBeBuffered = x.restMayBeBuffered || ok && remaining != 0
	return arrival, ok
}

// recordHeadArrival sets the start of the client's wait after the request head
// was read. After a stall, the request may have waited in the socket for up to
// the longest time that a client waits.
func (x *exchange) recordHeadArrival() {
	x.hasClient = true
	x.arrivedAt = x.server.opts.Host.ArrivalTime(x.conn.rawConn)
	if arrival, ok := x.arrivalAfterStall(0, x.server.maxClientWait); ok {
		x.waitStart = arrival
	}
}

// handle serves the request and writes its response.
func (x *exchange) handle() {
	err := x.dispatch()
	if err == nil {
		return
	}
	x.respondError(err)
}

// dispatch parses and authenticates the request and calls its handler.
func (x *exchange) dispatch() error {
	if err := x.parseRequest(); err != nil {
		x.closeConn = true
		return err
	}
	identity, err := x.server.verifier.Verify(&sigv4.Request{
		Method: x.conn.req.Method, Path: x.path, Query: x.query, Fields: x.conn.req.Fields,
	}, x.server.opts.Now())
	if err != nil {
		return err
	}
	x.identity = identity
	if x.server.opts.NotReadyReason != nil {
		if reason := x.server.opts.NotReadyReason(); reason != "" {
			return &apiError{status: 503, code: "SlowDown", message: reason, retryAfter: time.Second}
		}
	}
	return x.route()
}

// parseRequest parses the request target and the headers that apply to all
// requests.
func (x *exchange) parseRequest() error {
	req := &x.conn.req
	path, query, _ := strings.Cut(req.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return newAPIError(400, "InvalidURI", "The request target must begin with a slash.")
	}
	var err error
	if x.path, err = brick.Unescape(path); err != nil {
		return newAPIError(400, "InvalidURI", "Couldn't parse the specified URI.")
	}
	if x.query, err = sigv4.ParseQuery(query, maxQueryParams); err != nil {
		return err
	}
	x.bucket, x.key, _ = strings.Cut(x.path[1:], "/")
	if len(x.key) > maxKeyBytes {
		return newAPIError(400, "KeyTooLongError", "Your key is too long.")
	}
	if !utf8.ValidString(x.key) {
		return newAPIError(400, "InvalidURI", "The key is not valid UTF-8.")
	}
	if ms, ok := req.Fields.Lookup(headerClientTimeout); ok {
		n, err := strconv.Atoi(ms)
		if err != nil || n < 1 {
			return newAPIError(400, "InvalidArgument", "Header %s: %q is not a number of milliseconds.", headerClientTimeout, ms)
		}
		x.clientTimeout = time.Duration(n) * time.Millisecond
	}
	if r := req.Fields.Get("Amz-Sdk-Request"); r != "" && !strings.HasPrefix(r, "attempt=1;") {
		x.isRetry = true
	}
	x.volume = arrowwalk.Volume{ID: VolumeID(x.bucket),
		Plan: x.server.buckets.plan(x.bucket), Hosts: x.server.cfg.Host.Count}
	return nil
}

// VolumeID returns the scheduler's volume ID of a bucket. It is the same on
// all hosts.
func VolumeID(bucket string) arrowwalk.VolumeID {
	return arrowwalk.VolumeID(placement.Hash(bucket) >> 1)
}

// deadline returns when the client stops waiting for a task of the given
// class, counted from x.waitStart.
func (x *exchange) deadline(class int) time.Time {
	ms := x.server.cfg.Classes.Read.DeadlineMS
	if class == config.ClassWrite {
		ms = x.server.cfg.Classes.Write.DeadlineMS
	}
	timeout := config.MS(ms)
	if x.clientTimeout > 0 {
		timeout = min(timeout, x.clientTimeout)
	}
	return x.waitStart.Add(timeout)
}

// restartWait restarts the client's wait, because it has received more of the
// response.
func (x *exchange) restartWait() { x.waitStart = time.Now() }

// respondError writes the response for an error returned by a handler. If the
// response has already started, it closes the connection instead.
func (x *exchange) respondError(err error) {
	if errors.Is(err, errClientGone) {
		x.closeConn = true
		x.server.stats.clientsGone.Add(1)
		x.server.log.Debug("client disconnected", "request", x.requestID)
		return
	}
	if x.responseStarted || errors.Is(err, errTruncated) { // too late for a status; the client sees a truncated response
		x.closeConn = true
		x.server.stats.truncatedResponses.Add(1)
		x.server.log.Warn("response truncated", "request", x.requestID, "sent", x.bytesSent, "error", err)
		x.conn.netConn.Close()
		return
	}
	apiErr := toAPIError(err)
	if apiErr == nil {
		apiErr = x.bodyReadError(err)
	}
	if remaining := x.conn.body.Remaining(); remaining < 0 || remaining > maxDrainBytes {
		x.closeConn = true // too much unread body to reuse the connection
	}
	if apiErr.status >= 500 && apiErr.status != 501 {
		x.server.log.Warn("request not served", "request", x.requestID, "method", x.conn.req.Method, "bucket", x.bucket,
			"status", apiErr.status, "code", apiErr.code, "after", time.Since(x.startedAt))
	}
	if apiErr.status == 304 {
		x.buildHead(304, nil, -1)
		x.flush()
		return
	}
	body := append([]byte(xml.Header), marshalXML(errorBody{
		Code: apiErr.code, Message: apiErr.message, Resource: x.path, RequestID: x.requestID, HostID: x.server.opts.Host.RunID(),
	})...)
	fields := http1.Fields{{Name: "Content-Type", Value: "application/xml"}}
	if apiErr.status == 503 {
		retrySeconds := max(1, int64((apiErr.retryAfter+time.Second-1)/time.Second))
		fields = append(fields, http1.Field{Name: "Retry-After", Value: strconv.FormatInt(retrySeconds, 10)})
	}
	if !x.conn.body.Done() && x.conn.req.Expect100 && !x.continueSettled {
		x.closeConn = true // unknown whether the client will send the body, so the connection cannot be reused
	}
	x.respond(apiErr.status, fields, body)
}

// bodyReadError returns the error response for a failure to read the request
// body. The connection is closed after it.
func (x *exchange) bodyReadError(err error) *apiError {
	var httpErr *http1.Error
	x.closeConn = true
	switch {
	case errors.As(err, &httpErr):
		return &apiError{status: httpErr.Status, code: "InvalidRequest", message: httpErr.Reason}
	case isTimeout(err):
		return toAPIError(errRequestTimeout)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return toAPIError(errIncompleteBody)
	case errors.Is(err, spool.ErrFull):
		return toAPIError(slowDown(time.Second))
	}
	x.server.log.Error("unexpected error", "request", x.requestID, "error", err)
	return toAPIError(errInternal)
}

// marshalXML encodes a response body. It panics on error, because only types
// of this package are encoded.
func marshalXML(v any) []byte {
	text, err := xml.Marshal(v)
	if err != nil {
		panic("xml: " + err.Error())
	}
	return text
}

// cachedDate is the value of the Date header, formatted at most once per
// second.
var cachedDate atomic.Pointer[formattedDate]

// formattedDate is the text of the Date header for one second.
type formattedDate struct {
	second int64
	text   string
}

// httpTimeFormat is the layout of dates in HTTP headers.
const httpTimeFormat = "Mon, 02 Jan 2006 15:04:05 GMT"

// currentDate returns the value of the Date header.
func currentDate() string {
	now := time.Now()
	if d := cachedDate.Load(); d != nil && d.second == now.Unix() {
		return d.text
	}
	d := &formattedDate{now.Unix(), now.UTC().Format(httpTimeFormat)}
	cachedDate.Store(d)
	return d.text
}

// buildHead builds the response head in the write buffer. A length of -1 means
// no body and no Content-Length.
func (x *exchange) buildHead(status int, fields http1.Fields, length int64) {
	x.status = status
	x.server.stats.responsesByClass[status/100].Add(1)
	b := http1.AppendStatusLine(x.conn.writeBuf[:0], status)
	b = http1.AppendField(b, "x-amz-request-id", x.requestID)
	b = http1.AppendField(b, "Date", currentDate())
	b = append(b, "Server: arrowwalk\r\n"...)
	for i := range fields {
		b = http1.AppendField(b, fields[i].Name, fields[i].Value)
	}
	if length >= 0 {
		b = http1.AppendIntField(b, "Content-Length", length)
	}
	if x.server.closing.Load() {
		x.closeConn = true
	}
	if x.closeConn || x.conn.req.Close {
		x.closeConn = true
		b = append(b, "Connection: close\r\n"...)
	}
	x.conn.writeBuf = append(b, "\r\n"...)
}

// respond writes a complete response.
func (x *exchange) respond(status int, fields http1.Fields, body []byte) error {
	x.buildHead(status, fields, int64(len(body)))
	if x.conn.req.Method != "HEAD" {
		x.conn.writeBuf = append(x.conn.writeBuf, body...)
	}
	return x.flush()
}

// respondXML writes a complete response with an XML body.
func (x *exchange) respondXML(status int, v any) error {
	return x.respond(status, http1.Fields{{Name: "Content-Type", Value: "application/xml"}},
		append([]byte(xml.Header), marshalXML(v)...))
}

// flush writes the buffer that buildHead and respond have filled.
func (x *exchange) flush() error {
	err := x.write(x.conn.writeBuf)
	if cap(x.conn.writeBuf) > 16<<10 {
		x.conn.writeBuf = nil
	}
	return err
}

// write sends bytes of the response. A client that does not accept them within
// the write stall timeout is disconnected.
func (x *exchange) write(p []byte) error {
	x.responseStarted = true
	x.conn.netConn.SetWriteDeadline(time.Now().Add(config.MS(x.server.cfg.Timeouts.WriteStallMS)))
	return x.recordWrite(x.conn.netConn.Write(p))
}

// recordWrite counts n sent bytes and converts a write error to errClientGone.
func (x *exchange) recordWrite(n int, err error) error {
	x.bytesSent += int64(n)
	if err != nil {
		x.closeConn = true
		return errClientGone
	}
	return nil
}

// writeBuffers sends several buffers in one call.
func (x *exchange) writeBuffers(buffers net.Buffers) error {
	x.responseStarted = true
	x.conn.netConn.SetWriteDeadline(time.Now().Add(config.MS(x.server.cfg.Timeouts.WriteStallMS)))
	n, err := buffers.WriteTo(x.conn.netConn)
	return x.recordWrite(int(n), err)
}

// partialWriteTimeout is how long a brick's response waits for a client that
// accepts no data, before the rest is spooled to free the brick.
const partialWriteTimeout = 20 * time.Millisecond

// writePartial sends what the client accepts within partialWriteTimeout and
// returns the number of bytes sent.
func (x *exchange) writePartial(p []byte) (int, error) {
	x.responseStarted = true
	x.conn.netConn.SetWriteDeadline(time.Now().Add(partialWriteTimeout))
	n, err := x.conn.netConn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.bytesSent += int64(n)
		return n, nil
	}
	return n, x.recordWrite(n, err)
}

// sendContinue sends 100 Continue if the client waits for it before it sends
// the body.
func (x *exchange) sendContinue() error {
	if x.continueSettled || !x.conn.req.Expect100 || x.conn.reader.Buffered() > 0 {
		x.continueSettled = true
		return nil
	}
	x.continueSettled = true
	x.conn.netConn.SetWriteDeadline(time.Now().Add(config.MS(x.server.cfg.Timeouts.WriteStallMS)))
	_, err := x.conn.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	if err != nil {
		x.closeConn = true
		return errClientGone
	}
	return nil
}
