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
	s      *Server
	c      *conn
	id     string
	began  time.Time
	path   string // decoded
	bucket string
	key    string
	query  sigv4.Query
	who    *sigv4.Identity
	volume arrowwalk.Volume
	wait   time.Duration // how long the client says it waits; 0: it does not say
	again  bool          // the client says that it tries again
	asked  bool          // 100 Continue was sent, or was not wanted
	begun  bool          // bytes of the answer were sent
	close  bool          // the connection ends after the answer
	status int
	sent   int64
	from   time.Time // when the client began to wait: the last byte of its request had come
	away   bool      // the body was not read for long: its rest may lie in the client's own buffers
	mark   time.Time // since then sinceMark bytes of the body were read
	tells  bool      // somebody waits for the answer on a socket
	late   []*host.Task

	sinceMark int64
}

// headerWait is how a client tells how many milliseconds it will wait for an
// answer, less than the class's deadline.
const headerWait = "X-Arrowwalk-Wait-Ms"

const (
	queryMost = 64
	keyMost   = 1024 // bytes, as the specification has it
)

func newExchange(c *conn) *exchange {
	id := c.s.opt.Host.RunID() + "-" + strconv.FormatUint(c.s.sequence.Add(1), 10)
	now := time.Now()
	return &exchange{s: c.s, c: c, id: id, began: now, from: now}
}

// came tells since when the client may have waited, where a stall of this host
// ended less than span ago: what is found then may have lain in its socket, and
// the kernel is asked how old it is. got is what was read just before.
func (x *exchange) came(got int, span time.Duration) (time.Time, bool) {
	if x.s.opt.IgnoreSocketAge {
		return time.Time{}, false
	}
	rest := x.c.body.Remaining()
	if rest > 0 {
		rest = max(0, rest-int64(x.c.in.Buffered()))
	}
	from, ok := x.s.opt.Host.RequestArrival(x.c.raw, x.c.empty, got+x.c.in.Buffered(), rest, span)
	x.away = x.away || ok && rest != 0
	return from, ok
}

// begin notes that the request's head was read: what is there of the request
// may have lain in its socket for as long as its client may wait.
func (x *exchange) begin() {
	x.tells = true
	if from, ok := x.came(0, x.s.longest); ok {
		x.from = from
	}
}

// handle serves the request and gives its answer.
func (x *exchange) handle() {
	err := x.serve()
	if err == nil {
		return
	}
	x.finish(err)
}

func (x *exchange) serve() error {
	if err := x.parse(); err != nil {
		x.close = true
		return err
	}
	who, err := x.s.verifier.Verify(&sigv4.Request{
		Method: x.c.req.Method, Path: x.path, Query: x.query, Fields: x.c.req.Fields,
	}, x.s.opt.Now())
	if err != nil {
		return err
	}
	x.who = who
	if x.s.opt.NotReadyReason != nil {
		if why := x.s.opt.NotReadyReason(); why != "" {
			return &apiError{status: 503, code: "SlowDown", message: why, after: time.Second}
		}
	}
	return x.route()
}

// parse reads the target and the fields that say how to treat the request.
func (x *exchange) parse() error {
	req := &x.c.req
	path, query, _ := strings.Cut(req.Target, "?")
	if !strings.HasPrefix(path, "/") {
		return refuse(400, "InvalidURI", "The request target must begin with a slash.")
	}
	var err error
	if x.path, err = brick.Unescape(path); err != nil {
		return refuse(400, "InvalidURI", "Couldn't parse the specified URI.")
	}
	if x.query, err = sigv4.ParseQuery(query, queryMost); err != nil {
		return err
	}
	x.bucket, x.key, _ = strings.Cut(x.path[1:], "/")
	if len(x.key) > keyMost {
		return refuse(400, "KeyTooLongError", "Your key is too long.")
	}
	if !utf8.ValidString(x.key) {
		return refuse(400, "InvalidURI", "The key is not valid UTF-8.")
	}
	if ms, ok := req.Fields.Lookup(headerWait); ok {
		n, err := strconv.Atoi(ms)
		if err != nil || n < 1 {
			return refuse(400, "InvalidArgument", "Header %s: %q is not a number of milliseconds.", headerWait, ms)
		}
		x.wait = time.Duration(n) * time.Millisecond
	}
	if r := req.Fields.Get("Amz-Sdk-Request"); r != "" && !strings.HasPrefix(r, "attempt=1;") {
		x.again = true
	}
	x.volume = arrowwalk.Volume{ID: VolumeID(x.bucket),
		Plan: x.s.buckets.plan(x.bucket), Hosts: x.s.cfg.Host.Count}
	return nil
}

// VolumeID is the module's number of a bucket's volume, the same at all hosts.
func VolumeID(bucket string) arrowwalk.VolumeID {
	return arrowwalk.VolumeID(placement.Hash(bucket) >> 1)
}

// due returns when the client stops waiting for a task of a class: it began to
// wait at x.from.
func (x *exchange) due(class int) time.Time {
	ms := x.s.cfg.Classes.Read.DeadlineMS
	if class == config.ClassWrite {
		ms = x.s.cfg.Classes.Write.DeadlineMS
	}
	span := config.MS(ms)
	if x.wait > 0 {
		span = min(span, x.wait)
	}
	return x.from.Add(span)
}

// renew lets the client's wait begin anew: it has taken more of the answer.
func (x *exchange) renew() { x.from = time.Now() }

// finish writes the one answer of a request that a handler gave up.
func (x *exchange) finish(err error) {
	if errors.Is(err, errGone) {
		x.close = true
		x.s.stats.gone.Add(1)
		x.s.log.Debug("client gone", "request", x.id)
		return
	}
	if x.begun || errors.Is(err, errCut) { // too late for a status: a short answer tells that it failed
		x.close = true
		x.s.stats.cut.Add(1)
		x.s.log.Warn("answer cut short", "request", x.id, "sent", x.sent, "error", err)
		x.c.nc.Close()
		return
	}
	api := asAPI(err)
	if api == nil {
		api = x.readFailure(err)
	}
	if left := x.c.body.Remaining(); left < 0 || left > drainMost {
		x.close = true // the rest of the body would have to be read first
	}
	if api.status >= 500 && api.status != 501 {
		x.s.log.Warn("request not served", "request", x.id, "method", x.c.req.Method, "bucket", x.bucket,
			"status", api.status, "code", api.code, "after", time.Since(x.began))
	}
	if api.status == 304 {
		x.head(304, nil, -1)
		x.flush()
		return
	}
	text := append([]byte(xml.Header), marshal(errorBody{
		Code: api.code, Message: api.message, Resource: x.path, RequestID: x.id, HostID: x.s.opt.Host.RunID(),
	})...)
	fields := http1.Fields{{Name: "Content-Type", Value: "application/xml"}}
	if api.status == 503 {
		wait := max(1, int64((api.after+time.Second-1)/time.Second))
		fields = append(fields, http1.Field{Name: "Retry-After", Value: strconv.FormatInt(wait, 10)})
	}
	if !x.c.body.Done() && x.c.req.Expect100 && !x.asked {
		x.close = true // the client may send the body or not: nothing else can follow
	}
	x.answer(api.status, fields, text)
}

// readFailure names what went wrong with reading the client's body.
func (x *exchange) readFailure(err error) *apiError {
	var bad *http1.Error
	x.close = true
	switch {
	case errors.As(err, &bad):
		return &apiError{status: bad.Status, code: "InvalidRequest", message: bad.Reason}
	case isTimeout(err):
		return asAPI(errStalled)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return asAPI(errIncomplete)
	case errors.Is(err, spool.ErrFull):
		return asAPI(slowDown(time.Second))
	}
	x.s.log.Error("unexpected error", "request", x.id, "error", err)
	return asAPI(errInternal)
}

func marshal(v any) []byte {
	text, err := xml.Marshal(v)
	if err != nil {
		panic("xml: " + err.Error()) // our own types only
	}
	return text
}

// httpDate is the Date field, made once a second.
var httpDate atomic.Pointer[dateText]

type dateText struct {
	second int64
	text   string
}

// timeFormat is that of dates in HTTP.
const timeFormat = "Mon, 02 Jan 2006 15:04:05 GMT"

func dateNow() string {
	now := time.Now()
	if d := httpDate.Load(); d != nil && d.second == now.Unix() {
		return d.text
	}
	d := &dateText{now.Unix(), now.UTC().Format(timeFormat)}
	httpDate.Store(d)
	return d.text
}

// head builds the answer's head; length -1: it has no body and tells no length.
func (x *exchange) head(status int, fields http1.Fields, length int64) {
	x.status = status
	x.s.stats.statuses[status/100].Add(1)
	b := http1.AppendStatusLine(x.c.out[:0], status)
	b = http1.AppendField(b, "x-amz-request-id", x.id)
	b = http1.AppendField(b, "Date", dateNow())
	b = append(b, "Server: arrowwalk\r\n"...)
	for i := range fields {
		b = http1.AppendField(b, fields[i].Name, fields[i].Value)
	}
	if length >= 0 {
		b = http1.AppendIntField(b, "Content-Length", length)
	}
	if x.s.closing.Load() {
		x.close = true
	}
	if x.close || x.c.req.Close {
		x.close = true
		b = append(b, "Connection: close\r\n"...)
	}
	x.c.out = append(b, "\r\n"...)
}

// answer gives a whole answer.
func (x *exchange) answer(status int, fields http1.Fields, body []byte) error {
	x.head(status, fields, int64(len(body)))
	if x.c.req.Method != "HEAD" {
		x.c.out = append(x.c.out, body...)
	}
	return x.flush()
}

// answerXML gives a whole answer with an XML body.
func (x *exchange) answerXML(status int, v any) error {
	return x.answer(status, http1.Fields{{Name: "Content-Type", Value: "application/xml"}},
		append([]byte(xml.Header), marshal(v)...))
}

// flush sends what head and answer have built.
func (x *exchange) flush() error {
	err := x.write(x.c.out)
	if cap(x.c.out) > 16<<10 {
		x.c.out = nil
	}
	return err
}

// write sends bytes of the answer; a client that does not take them in time
// loses its connection.
func (x *exchange) write(p []byte) error {
	x.begun = true
	x.c.nc.SetWriteDeadline(time.Now().Add(config.MS(x.s.cfg.Timeouts.WriteStallMS)))
	return x.wrote(x.c.nc.Write(p))
}

func (x *exchange) wrote(n int, err error) error {
	x.sent += int64(n)
	if err != nil {
		x.close = true
		return errGone
	}
	return nil
}

// writeParts sends several slices at once.
func (x *exchange) writeParts(parts net.Buffers) error {
	x.begun = true
	x.c.nc.SetWriteDeadline(time.Now().Add(config.MS(x.s.cfg.Timeouts.WriteStallMS)))
	n, err := parts.WriteTo(x.c.nc)
	return x.wrote(int(n), err)
}

// patience is for how long a brick's answer waits on a client that takes none
// of it, before the rest is kept so that the brick is free.
const patience = 20 * time.Millisecond

// writeSome sends what the client takes without a long wait, and returns how
// much that was.
func (x *exchange) writeSome(p []byte) (int, error) {
	x.begun = true
	x.c.nc.SetWriteDeadline(time.Now().Add(patience))
	n, err := x.c.nc.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.sent += int64(n)
		return n, nil
	}
	return n, x.wrote(n, err)
}

// proceed tells a client that waits for it to send the body.
func (x *exchange) proceed() error {
	if x.asked || !x.c.req.Expect100 || x.c.in.Buffered() > 0 {
		x.asked = true
		return nil
	}
	x.asked = true
	x.c.nc.SetWriteDeadline(time.Now().Add(config.MS(x.s.cfg.Timeouts.WriteStallMS)))
	_, err := x.c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	if err != nil {
		x.close = true
		return errGone
	}
	return nil
}
