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

// exchange is one request and its one answer.
type exchange struct {
	server      *Server
	conn      *conn
	requestID     string
	startedAt  time.Time
	path   string // decoded
	bucket string
	key    string
	query  sigv4.Query
	identity    *sigv4.Identity
	volume arrowwalk.Volume
	clientTimeout   time.Duration // how long the client says it waits; 0: it does not say
	isRetry  bool          // the client says that it tries again
	continueSettled  bool          // 100 Continue was sent, or was not wanted
	responseStarted  bool          // bytes of the answer were sent
	closeConn  bool          // the connection ends after the answer
	status int
	bytesSent   int64
	waitStart   time.Time // when the client began to wait: the last byte of its request had come
	restMayBeBuffered   bool      // the body was not read for long: its rest may lie in the client's own buffers
	markedAt   time.Time // since then sinceMark bytes of the body were read
	hasClient  bool      // somebody waits for the answer on a socket
	lateTasks   []*host.Task

	bytesSinceMark int64
}

// headerClientTimeout is how a client tells how many milliseconds it will wait for an
// answer, less than the class's deadline.
const headerClientTimeout = "X-Arrowwalk-Wait-Ms"

const (
	maxQueryParams = 64
	maxKeyBytes   = 1024 // bytes, as the specification has it
)

func newExchange(c *conn) *exchange {
	id := c.server.opts.Host.RunID() + "-" + strconv.FormatUint(c.server.requestSeq.Add(1), 10)
	now := time.Now()
	return &exchange{server: c.server, conn: c, requestID: id, startedAt: now, waitStart: now}
}

// arrivalAfterStall tells since when the client may have waited, where a stall of this host
// ended less than span ago: what is found then may have lain in its socket, and
// the kernel is asked how old it is. got is what was read just before.
func (x *exchange) arrivalAfterStall(got int, span time.Duration) (time.Time, bool) {
	if x.server.opts.IgnoreSocketAge {
		return time.Time{}, false
	}
	rest := x.conn.body.Remaining()
	if rest > 0 {
		rest = max(0, rest-int64(x.conn.reader.Buffered()))
	}
	from, ok := x.server.opts.Host.RequestArrival(x.conn.rawConn, x.conn.socketEmptyAt, got+x.conn.reader.Buffered(), rest, span)
	x.restMayBeBuffered = x.restMayBeBuffered || ok && rest != 0
	return from, ok
}

// recordHeadArrival notes that the request's head was read: what is there of the request
// may have lain in its socket for as long as its client may wait.
func (x *exchange) recordHeadArrival() {
	x.hasClient = true
	if from, ok := x.arrivalAfterStall(0, x.server.maxClientWait); ok {
		x.waitStart = from
	}
}

// handle serves the request and gives its answer.
func (x *exchange) handle() {
	err := x.dispatch()
	if err == nil {
		return
	}
	x.respondError(err)
}

func (x *exchange) dispatch() error {
	if err := x.parseRequest(); err != nil {
		x.closeConn = true
		return err
	}
	who, err := x.server.verifier.Verify(&sigv4.Request{
		Method: x.conn.req.Method, Path: x.path, Query: x.query, Fields: x.conn.req.Fields,
	}, x.server.opts.Now())
	if err != nil {
		return err
	}
	x.identity = who
	if x.server.opts.NotReadyReason != nil {
		if why := x.server.opts.NotReadyReason(); why != "" {
			return &apiError{status: 503, code: "SlowDown", message: why, retryAfter: time.Second}
		}
	}
	return x.route()
}

// parseRequest reads the target and the fields that say how to treat the request.
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

// VolumeID is the module's number of a bucket's volume, the same at all hosts.
func VolumeID(bucket string) arrowwalk.VolumeID {
	return arrowwalk.VolumeID(placement.Hash(bucket) >> 1)
}

// deadline returns when the client stops waiting for a task of a class: it began to
// wait at x.from.
func (x *exchange) deadline(class int) time.Time {
	ms := x.server.cfg.Classes.Read.DeadlineMS
	if class == config.ClassWrite {
		ms = x.server.cfg.Classes.Write.DeadlineMS
	}
	span := config.MS(ms)
	if x.clientTimeout > 0 {
		span = min(span, x.clientTimeout)
	}
	return x.waitStart.Add(span)
}

// restartWait lets the client's wait begin anew: it has taken more of the answer.
func (x *exchange) restartWait() { x.waitStart = time.Now() }

// respondError writes the one answer of a request that a handler gave up.
func (x *exchange) respondError(err error) {
	if errors.Is(err, errClientGone) {
		x.closeConn = true
		x.server.stats.clientsGone.Add(1)
		x.server.log.Debug("client gone", "request", x.requestID)
		return
	}
	if x.responseStarted || errors.Is(err, errTruncated) { // too late for a status: a short answer tells that it failed
		x.closeConn = true
		x.server.stats.truncatedResponses.Add(1)
		x.server.log.Warn("answer cut short", "request", x.requestID, "sent", x.bytesSent, "error", err)
		x.conn.netConn.Close()
		return
	}
	api := toAPIError(err)
	if api == nil {
		api = x.bodyReadError(err)
	}
	if left := x.conn.body.Remaining(); left < 0 || left > maxDrainBytes {
		x.closeConn = true // the rest of the body would have to be read first
	}
	if api.status >= 500 && api.status != 501 {
		x.server.log.Warn("request not served", "request", x.requestID, "method", x.conn.req.Method, "bucket", x.bucket,
			"status", api.status, "code", api.code, "after", time.Since(x.startedAt))
	}
	if api.status == 304 {
		x.buildHead(304, nil, -1)
		x.flush()
		return
	}
	text := append([]byte(xml.Header), marshalXML(errorBody{
		Code: api.code, Message: api.message, Resource: x.path, RequestID: x.requestID, HostID: x.server.opts.Host.RunID(),
	})...)
	fields := http1.Fields{{Name: "Content-Type", Value: "application/xml"}}
	if api.status == 503 {
		wait := max(1, int64((api.retryAfter+time.Second-1)/time.Second))
		fields = append(fields, http1.Field{Name: "Retry-After", Value: strconv.FormatInt(wait, 10)})
	}
	if !x.conn.body.Done() && x.conn.req.Expect100 && !x.continueSettled {
		x.closeConn = true // the client may send the body or not: nothing else can follow
	}
	x.respond(api.status, fields, text)
}

// bodyReadError names what went wrong with reading the client's body.
func (x *exchange) bodyReadError(err error) *apiError {
	var bad *http1.Error
	x.closeConn = true
	switch {
	case errors.As(err, &bad):
		return &apiError{status: bad.Status, code: "InvalidRequest", message: bad.Reason}
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

func marshalXML(v any) []byte {
	text, err := xml.Marshal(v)
	if err != nil {
		panic("xml: " + err.Error()) // our own types only
	}
	return text
}

// cachedDate is the Date field, made once a second.
var cachedDate atomic.Pointer[formattedDate]

type formattedDate struct {
	second int64
	text   string
}

// httpTimeFormat is that of dates in HTTP.
const httpTimeFormat = "Mon, 02 Jan 2006 15:04:05 GMT"

func currentDate() string {
	now := time.Now()
	if d := cachedDate.Load(); d != nil && d.second == now.Unix() {
		return d.text
	}
	d := &formattedDate{now.Unix(), now.UTC().Format(httpTimeFormat)}
	cachedDate.Store(d)
	return d.text
}

// buildHead builds the answer's buildHead; length -1: it has no body and tells no length.
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

// respond gives a whole respond.
func (x *exchange) respond(status int, fields http1.Fields, body []byte) error {
	x.buildHead(status, fields, int64(len(body)))
	if x.conn.req.Method != "HEAD" {
		x.conn.writeBuf = append(x.conn.writeBuf, body...)
	}
	return x.flush()
}

// respondXML gives a whole answer with an XML body.
func (x *exchange) respondXML(status int, v any) error {
	return x.respond(status, http1.Fields{{Name: "Content-Type", Value: "application/xml"}},
		append([]byte(xml.Header), marshalXML(v)...))
}

// flush sends what head and answer have built.
func (x *exchange) flush() error {
	err := x.write(x.conn.writeBuf)
	if cap(x.conn.writeBuf) > 16<<10 {
		x.conn.writeBuf = nil
	}
	return err
}

// write sends bytes of the answer; a client that does not take them in time
// loses its connection.
func (x *exchange) write(p []byte) error {
	x.responseStarted = true
	x.conn.netConn.SetWriteDeadline(time.Now().Add(config.MS(x.server.cfg.Timeouts.WriteStallMS)))
	return x.recordWrite(x.conn.netConn.Write(p))
}

func (x *exchange) recordWrite(n int, err error) error {
	x.bytesSent += int64(n)
	if err != nil {
		x.closeConn = true
		return errClientGone
	}
	return nil
}

// writeBuffers sends several slices at once.
func (x *exchange) writeBuffers(parts net.Buffers) error {
	x.responseStarted = true
	x.conn.netConn.SetWriteDeadline(time.Now().Add(config.MS(x.server.cfg.Timeouts.WriteStallMS)))
	n, err := parts.WriteTo(x.conn.netConn)
	return x.recordWrite(int(n), err)
}

// partialWriteTimeout is for how long a brick's answer waits on a client that takes none
// of it, before the rest is kept so that the brick is free.
const partialWriteTimeout = 20 * time.Millisecond

// writePartial sends what the client takes without a long wait, and returns how
// much that was.
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

// sendContinue tells a client that waits for it to send the body.
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
