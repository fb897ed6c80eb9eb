package brick

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arrowwalk"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/store/record"
)

// Request is one request to a brick.
type Request struct {
	Method string // GET, HEAD, PUT or DELETE
	Space  string
	Name   string
	List   *ListQuery // GET of a space's names in place of a blob
	Range  string     // as a Range field has it; "": the whole blob
	Body   Body       // of a PUT
	Meta   []byte     // of a PUT: kept beside the body
	Whole  bool       // of a PUT: ranges will not apply

	Epoch    uint64 // of an extent or a fence
	Offset   int64  // of a PATCH
	Number   uint64 // of a PATCH
	Truncate bool   // of a PATCH: the extent is emptied

	IfVersion uint64 // the blob must have this version
	IfAbsent  bool   // the blob must not exist

	RequestID string // id in every log
	Host      int
	Volume    uint64
	Units     float64
	Key       string    // idempotency key
	Deadline  time.Time // no answer after it counts
	Expect    string    // the brick that is meant
}

// ListQuery is a page asked for.
type ListQuery struct {
	Prefix, After, Delimiter string
	MaxItems                 int
}

// Body is a body that can be sent more than once.
type Body interface {
	Len() int64
	// Parts returns the body in order: slices in memory, or nil and a reader.
	Parts() ([][]byte, io.Reader)
	// Sums returns the CRC-32C of each 64 KiB, as the body was when it came;
	// none where it may still change.
	Sums() []uint32
}

// Bytes is a Body in memory.
type Bytes []byte

// Len returns the number of bytes.
func (b Bytes) Len() int64 { return int64(len(b)) }

// Parts returns the slice.
func (b Bytes) Parts() ([][]byte, io.Reader) { return [][]byte{b}, nil }

// Sums returns the checksums.
func (b Bytes) Sums() []uint32 { return record.AppendChecksums(nil, b) }

// Failure is an attempt that brought no answer which counts.
type Failure struct {
	Status arrowwalk.Status // what the module is told
	Reason Reason
	Err    error
}

func (f *Failure) Error() string {
	if f.Err == nil {
		return "brick: " + string(f.Reason)
	}
	return "brick: " + string(f.Reason) + ": " + f.Err.Error()
}

func (f *Failure) Unwrap() error { return f.Err }

// Reason is why an attempt failed; logs and metrics carry it.
type Reason string

// The reasons, each with the module's status that it maps to.
const (
	ReasonUnknownBrick Reason = "unknown_brick" // Moot: not in the node list any more
	ReasonRefused      Reason = "refused"       // Unreachable: no connection was made
	ReasonDialTimeout  Reason = "dial_timeout"  // Unreachable: nor in time
	ReasonWrongBrick   Reason = "wrong_brick"   // Unreachable: another brick listens there
	ReasonFull         Reason = "full"          // Full: 503 before the request was seen
	ReasonError        Reason = "error"         // Failed: the brick answered 500 or more
	ReasonBadAnswer    Reason = "bad_answer"    // Failed: the answer is not HTTP, or breaks a bound
	ReasonBroken       Reason = "broken"        // Reset: the connection broke after the request was begun
	ReasonShort        Reason = "short_body"    // Reset: it broke inside the answer's body
	ReasonCorrupt      Reason = "corrupt"       // Failed: the brick, or this host, found bytes that are not those written
	ReasonTimeout      Reason = "timeout"       // TimedOut: no answer before the deadline
	ReasonAborted      Reason = "aborted"       // Cancelled: the host gave the attempt up
	ReasonSpool        Reason = "spool"         // Moot: the kept body could not be read again
	ReasonDiskFull     Reason = "disk_full"     // OK, an answer: 507, the brick takes no writes
	ReasonClient       Reason = "client"        // Cancelled: the client could not take the answer
)

func fail(status arrowwalk.Status, reason Reason, err error) *Failure {
	return &Failure{Status: status, Reason: reason, Err: err}
}

// Response is the head of a brick's answer. Its Body is read by the caller, who
// then calls Done.
type Response struct {
	Status          int
	Meta            []byte
	Whole           bool
	Version         uint64
	Replaced        []byte // meta of the blob that a write replaced; nil: none
	Repeat          bool
	Draining        bool   // it asks for nothing new
	Brick           string // ID@STARTED
	OtherHostsUnits float64
	FleetRate       float64  // units a second
	Util            float64  // -1: not told
	Length          int64    // of the body
	Sums            []uint32 // of the body's blocks, which begin at multiples of 64 KiB of the blob; nil: not told
	Corrupt         bool     // it failed because bytes are not those that were written
	RangeStart      int64    // first byte, where Status is 206
	Size            int64    // of the whole blob, where Status is 206 or 416; else Length
	Body            *http1.Body
	Raw             syscall.RawConn // of its connection; nil: it has none
	RequestID       string          // that it answers, as the brick says; "": it does not

	conn  *conn
	at    *Attempt
	check checking
}

const (
	codecMost  = 16 << 10
	nameMost   = 8 << 10
	statusFull = 503
)

// append writes the call's head.
func (c *Request) append(b []byte, left time.Duration) []byte {
	b = append(b, c.Method...)
	b = append(b, " /v1/"...)
	b = append(b, c.Space...)
	if c.List != nil {
		b = append(b, "?list&max="...)
		b = strconv.AppendInt(b, int64(c.List.MaxItems), 10)
		for _, p := range [...][2]string{{"prefix", c.List.Prefix}, {"after", c.List.After}, {"delimiter", c.List.Delimiter}} {
			if p[1] != "" {
				b = append(append(append(append(b, '&'), p[0]...), '='), url.QueryEscape(p[1])...)
			}
		}
	} else {
		b = AppendName(append(b, '/'), c.Name)
	}
	b = append(b, " HTTP/1.1\r\nHost: brick\r\n"...)
	b = http1.AppendField(b, HeaderRequest, c.RequestID)
	b = http1.AppendIntField(b, HeaderDeadline, left.Microseconds())
	b = http1.AppendIntField(b, HeaderHost, int64(c.Host))
	b = append(b, HeaderVolume+": "...)
	b = append(strconv.AppendUint(b, c.Volume, 10), "\r\n"...)
	b = append(b, HeaderUnits+": "...)
	b = append(strconv.AppendFloat(b, c.Units, 'f', 3, 64), "\r\n"...)
	if c.Expect != "" {
		b = http1.AppendField(b, HeaderExpect, c.Expect)
	}
	if c.Key != "" {
		b = http1.AppendField(b, HeaderKey, c.Key)
	}
	if c.Range != "" {
		b = http1.AppendField(b, "Range", c.Range)
	}
	if c.IfVersion != 0 {
		b = fmt.Appendf(b, "If-Match: \"%d\"\r\n", c.IfVersion)
	}
	if c.IfAbsent {
		b = append(b, "If-None-Match: *\r\n"...)
	}
	if len(c.Meta) > 0 {
		b = append(b, HeaderMeta+": "...)
		b = append(base64.RawURLEncoding.AppendEncode(b, c.Meta), "\r\n"...)
	}
	if c.bodyLen() > 0 && c.Method == "PUT" {
		if sums := c.Body.Sums(); len(sums) > 0 {
			b = append(AppendSums(append(b, HeaderSums+": "...), sums), "\r\n"...)
		}
	}
	if c.Whole {
		b = append(b, HeaderWhole+": 1\r\n"...)
	}
	if c.Epoch != 0 {
		b = http1.AppendIntField(b, HeaderEpoch, int64(c.Epoch))
	}
	if c.Method == "PATCH" {
		b = http1.AppendIntField(b, HeaderOffset, c.Offset)
		b = http1.AppendIntField(b, HeaderNumber, int64(c.Number))
		if c.Truncate {
			b = http1.AppendField(b, HeaderTruncate, "1")
		}
	}
	if c.Method == "PUT" || c.Method == "PATCH" {
		b = http1.AppendIntField(b, "Content-Length", c.bodyLen())
	}
	return append(b, "\r\n"...)
}

func (c *Request) bodyLen() int64 {
	if c.Body == nil {
		return 0
	}
	return c.Body.Len()
}

// read fills a from a response's head.
func (a *Response) read(p *http1.Response) error {
	*a = Response{Status: p.Status, Util: -1, Length: p.Length, Size: p.Length, Raw: a.Raw, conn: a.conn, at: a.at}
	for i := range p.Fields {
		if err := a.take(p.Fields[i].Name, p.Fields[i].Value); err != nil {
			return fmt.Errorf("header %s: %w", p.Fields[i].Name, err)
		}
	}
	if p.Status == 206 && a.Size < a.RangeStart+a.Length {
		return errors.New("header Content-Range: it is at odds with Content-Length")
	}
	if err := a.check.begin(a.Sums, a.RangeStart, a.Length); err != nil {
		return fmt.Errorf("header %s: %w", HeaderSums, err)
	}
	return nil
}

func (a *Response) take(name, value string) (err error) {
	switch {
	case len(name) >= 3 && strings.EqualFold(name[:3], "Aw-"):
		return a.takeOwn(name, value)
	case strings.EqualFold(name, HeaderLoad):
		a.Util = parseUtil(value)
	case strings.EqualFold(name, "Content-Range"):
		a.RangeStart, a.Size, err = parseContentRange(value)
	}
	return err
}

func (a *Response) takeOwn(name, value string) (err error) {
	switch {
	case strings.EqualFold(name, HeaderMeta):
		a.Meta, err = base64.RawURLEncoding.DecodeString(value)
	case strings.EqualFold(name, HeaderReplaced):
		a.Replaced, err = base64.RawURLEncoding.DecodeString(value)
		if a.Replaced == nil {
			a.Replaced = []byte{}
		}
	case strings.EqualFold(name, HeaderVersion):
		a.Version, err = strconv.ParseUint(value, 10, 64)
	case strings.EqualFold(name, HeaderWhole):
		a.Whole = value == "1"
	case strings.EqualFold(name, HeaderRepeat):
		a.Repeat = value == "1"
	case strings.EqualFold(name, HeaderState):
		a.Draining = value == "draining"
	case strings.EqualFold(name, HeaderBrick):
		a.Brick = value
	case strings.EqualFold(name, HeaderRequest):
		a.RequestID = value
	case strings.EqualFold(name, HeaderSums):
		a.Sums, err = parseSums(value)
	case strings.EqualFold(name, HeaderReason):
		a.Corrupt = value == Corrupt
	case strings.EqualFold(name, HeaderOthers):
		a.OtherHostsUnits, err = parseAmount(value)
	case strings.EqualFold(name, HeaderFleet):
		a.FleetRate, err = parseAmount(value)
	}
	return err
}

func parseAmount(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v < 1e12) {
		return 0, fmt.Errorf("bad amount %q", s)
	}
	return v, nil
}

// parseContentRange reads "bytes a-b/size" and "bytes */size".
func parseContentRange(s string) (from, size int64, err error) {
	rest, ok := strings.CutPrefix(s, "bytes ")
	span, total, slash := strings.Cut(rest, "/")
	if !ok || !slash {
		return 0, 0, fmt.Errorf("bad value %q", s)
	}
	if size, err = strconv.ParseInt(total, 10, 64); err != nil || size < 0 {
		return 0, 0, fmt.Errorf("bad value %q", s)
	}
	if span == "*" {
		return 0, size, nil
	}
	first, last, dash := strings.Cut(span, "-")
	from, err = strconv.ParseInt(first, 10, 64)
	to, err2 := strconv.ParseInt(last, 10, 64)
	if !dash || err != nil || err2 != nil || from < 0 || to < from || to >= size {
		return 0, 0, fmt.Errorf("bad value %q", s)
	}
	return from, size, nil
}

// parseUtil reads cpu_utilization out of an ORCA load report in its text
// form ("TEXT name=value,..."); -1: not told.
func parseUtil(s string) float64 {
	s, ok := strings.CutPrefix(s, "TEXT ")
	if !ok {
		return -1
	}
	for s != "" {
		var one string
		one, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(one), "=")
		if name != "cpu_utilization" {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v <= 1e3 {
			return v
		}
	}
	return -1
}
