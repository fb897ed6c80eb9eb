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
	Method string // GET, HEAD, PUT, PATCH or DELETE
	Space  string
	Name   string
	List   *ListQuery // if set, a GET lists the space's names instead of reading a blob
	Range  string     // value of the Range field; empty for the whole blob
	Body   Body       // of a PUT or PATCH
	Meta   []byte     // of a PUT: metadata stored with the body
	Whole  bool       // of a PUT: later reads ignore ranges

	Epoch    uint64 // of an extent or a fence
	Offset   int64  // of a PATCH: where the body is written
	Number   uint64 // of a PATCH: sequence number
	Truncate bool   // of a PATCH: empties the extent

	Seen      *Clock // of a PUT or DELETE: the blob must not have been changed since; nil: it may
	IfVersion uint64 // if not 0, the blob must have this version
	IfAbsent  bool   // the blob must not exist

	ConsumeSpace string // of a PUT: space and name of a blob that must exist and is removed in the same commit; empty for none
	ConsumeName  string
	Trash        string // of a PUT or DELETE: suffix under which removed whole blobs are kept in SpaceTrash; empty keeps none

	RequestID string // ID in every log
	Host      int
	Volume    uint64
	Units     float64
	Key       string    // idempotency key
	Deadline  time.Time // a response after it does not count
	Expect    string    // name of the addressed brick; empty accepts any

	Outdated func() bool // asked right before the request is sent: it must not go to this brick any more; nil: never
}

// ListQuery selects one page of a space's names.
type ListQuery struct {
	Prefix, After, Delimiter string
	MaxItems                 int
}

// Body is a request body that can be sent more than once.
type Body interface {
	Len() int64
	// Parts returns the body in order: slices in memory, or nil and a reader.
	Parts() ([][]byte, io.Reader)
	// Sums returns the CRC-32C of each block of 64 KiB, computed when the body
	// was received. It returns none if the body may still change.
	Sums() []uint32
}

// Bytes is a Body in memory.
type Bytes []byte

// Len returns the number of bytes.
func (b Bytes) Len() int64 { return int64(len(b)) }

// Parts returns the bytes as one slice.
func (b Bytes) Parts() ([][]byte, io.Reader) { return [][]byte{b}, nil }

// Sums returns the CRC-32C of each block.
func (b Bytes) Sums() []uint32 { return record.AppendChecksums(nil, b) }

// Failure is the error of an attempt that brought no usable response.
type Failure struct {
	Status arrowwalk.Status // reported to the scheduler module
	Reason Reason
	Err    error // cause; may be nil
}

// Error returns the reason and the cause.
func (f *Failure) Error() string {
	if f.Err == nil {
		return "brick: " + string(f.Reason)
	}
	return "brick: " + string(f.Reason) + ": " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Reason is why an attempt failed, as logs and metrics show it.
type Reason string

// Reasons and the module's status that each maps to.
const (
	ReasonUnknownBrick Reason = "unknown_brick" // NotSent: the brick is no longer in the node list
	ReasonContended    Reason = "contended"     // Overloaded: the blob was changed again before each try of the write, which had no effect
	ReasonOutdated     Reason = "outdated"      // NotSent: the choice of the brick was outdated when the connection was ready
	ReasonRefused      Reason = "refused"       // Unreachable: no connection could be opened
	ReasonDialTimeout  Reason = "dial_timeout"  // Unreachable: no connection was opened in time
	ReasonWrongBrick   Reason = "wrong_brick"   // Unreachable: another brick listens at the address
	ReasonFull         Reason = "full"          // Overloaded: 503, before the request was processed
	ReasonError        Reason = "error"         // Failed: the brick responded with a status of 500 or more
	ReasonBadAnswer    Reason = "bad_answer"    // Failed or Reset: the response is not HTTP, or exceeds a limit; NotSent: the request does
	ReasonBroken       Reason = "broken"        // Reset: the connection broke after the request was begun
	ReasonShort        Reason = "short_body"    // Reset: the connection broke within the response's body
	ReasonCorrupt      Reason = "corrupt"       // Failed: the brick or this host found a checksum mismatch
	ReasonTimeout      Reason = "timeout"       // TimedOut: no response before the deadline
	ReasonAborted      Reason = "aborted"       // Cancelled, or Unreachable while dialing: the host aborted the attempt
	ReasonSpool        Reason = "spool"         // Reset: the buffered request body could not be read
	ReasonDiskFull     Reason = "disk_full"     // OK, a response: 507, the brick accepts no writes
	ReasonClient       Reason = "client"        // Cancelled: the client could not receive the response
)

func newFailure(status arrowwalk.Status, reason Reason, err error) *Failure {
	return &Failure{Status: status, Reason: reason, Err: err}
}

// Response is the head of a brick's response. The caller reads Body and then
// calls Release.
type Response struct {
	Status          int
	Meta            []byte
	Whole           bool // ranges do not apply to the blob
	Version         uint64
	Replaced        []byte // metadata of the blob that a write replaced; nil if none
	Repeat          bool   // the request was a duplicate and this is the first one's response
	Draining        bool   // the brick asks for no new requests
	Brick           string // identity of the brick, ID@STARTED
	OtherHostsUnits float64
	FleetRate       float64  // units per second that all bricks serve for the volume
	Util            float64  // -1 if not reported
	Length          int64    // of the body
	Sums            []uint32 // of the body's blocks, which begin at multiples of 64 KiB of the blob; nil if not sent
	Corrupt         bool     // the request failed because bytes did not match their checksums
	RangeStart      int64    // offset of the body in the blob, if Status is 206
	Size            int64    // of the whole blob, if Status is 206 or 416; Length otherwise
	Body            *http1.Body
	Raw             syscall.RawConn // of the connection; nil if it has none
	Clock           Clock           // of the brick; zero if not sent
	RequestID       string          // of the request it responds to, as the brick sent it; empty if not sent

	conn     *conn
	at       *Attempt
	verifier verifier
}

const (
	maxMetaBytes      = 16 << 10
	maxNameBytes      = 8 << 10
	statusUnavailable = 503
)

// appendHead appends the request's head. timeout is the remaining time that the
// host waits for the response.
func (r *Request) appendHead(b []byte, timeout time.Duration) []byte {
	start := len(b)
	b = append(b, r.Method...)
	b = append(b, " /v1/"...)
	b = append(b, r.Space...)
	if r.List != nil {
		b = append(b, "?list&max="...)
		b = strconv.AppendInt(b, int64(r.List.MaxItems), 10)
		for _, p := range [...][2]string{{"prefix", r.List.Prefix}, {"after", r.List.After}, {"delimiter", r.List.Delimiter}} {
			if p[1] != "" {
				b = append(append(append(append(b, '&'), p[0]...), '='), url.QueryEscape(p[1])...)
			}
		}
	} else {
		b = AppendName(append(b, '/'), r.Name)
	}
	b = AppendProtocol(append(b, " HTTP/1.1\r\n"...))
	b = append(b, "Host: brick\r\n"...)
	b = http1.AppendField(b, HeaderRequest, r.RequestID)
	b = http1.AppendIntField(b, HeaderDeadline, timeout.Microseconds())
	b = http1.AppendIntField(b, HeaderHost, int64(r.Host))
	b = append(b, HeaderVolume+": "...)
	b = append(strconv.AppendUint(b, r.Volume, 10), "\r\n"...)
	b = append(b, HeaderUnits+": "...)
	b = append(strconv.AppendFloat(b, r.Units, 'f', 3, 64), "\r\n"...)
	if r.Expect != "" {
		b = http1.AppendField(b, HeaderExpect, r.Expect)
	}
	if r.Key != "" {
		b = http1.AppendField(b, HeaderKey, r.Key)
	}
	if r.Range != "" {
		b = http1.AppendField(b, "Range", r.Range)
	}
	if r.Seen != nil {
		b = http1.AppendField(b, HeaderSeen, r.Seen.String())
	}
	if r.IfVersion != 0 {
		b = fmt.Appendf(b, "If-Match: \"%d\"\r\n", r.IfVersion)
	}
	if r.IfAbsent {
		b = append(b, "If-None-Match: *\r\n"...)
	}
	if r.ConsumeSpace != "" {
		b = append(append(append(b, HeaderConsume+": "...), r.ConsumeSpace...), '/')
		b = append(AppendName(b, r.ConsumeName), "\r\n"...)
	}
	if r.Trash != "" {
		b = http1.AppendField(b, HeaderTrash, r.Trash)
	}
	if len(r.Meta) > 0 {
		b = append(b, HeaderMeta+": "...)
		b = append(base64.RawURLEncoding.AppendEncode(b, r.Meta), "\r\n"...)
	}
	if r.bodyLen() > 0 && r.Method == "PUT" {
		if sums := r.Body.Sums(); len(sums) > 0 {
			b = append(AppendSums(append(b, HeaderSums+": "...), sums), "\r\n"...)
		}
	}
	if r.Whole {
		b = append(b, HeaderWhole+": 1\r\n"...)
	}
	if r.Epoch != 0 {
		b = http1.AppendIntField(b, HeaderEpoch, int64(r.Epoch))
	}
	if r.Method == "PATCH" {
		b = http1.AppendIntField(b, HeaderOffset, r.Offset)
		b = http1.AppendIntField(b, HeaderNumber, int64(r.Number))
		if r.Truncate {
			b = http1.AppendField(b, HeaderTruncate, "1")
		}
	}
	if r.Method == "PUT" || r.Method == "PATCH" {
		b = http1.AppendIntField(b, "Content-Length", r.bodyLen())
	}
	return AppendHeadSum(b, start)
}

func (r *Request) bodyLen() int64 {
	if r.Body == nil {
		return 0
	}
	return r.Body.Len()
}

// parseHead sets r from the head of an HTTP response.
func (r *Response) parseHead(head *http1.Response) error {
	*r = Response{Status: head.Status, Util: -1, Length: head.Length, Size: head.Length, Raw: r.Raw, conn: r.conn, at: r.at}
	for i := range head.Fields {
		if err := r.parseField(head.Fields[i].Name, head.Fields[i].Value); err != nil {
			return fmt.Errorf("header %s: %w", head.Fields[i].Name, err)
		}
	}
	if head.Status == 206 && r.Size < r.RangeStart+r.Length {
		return errors.New("header Content-Range: contradicts Content-Length")
	}
	if err := r.verifier.begin(r.Sums, r.RangeStart, r.Length); err != nil {
		return fmt.Errorf("header %s: %w", HeaderSums, err)
	}
	return nil
}

func (r *Response) parseField(name, value string) (err error) {
	switch {
	case len(name) >= 3 && strings.EqualFold(name[:3], "Aw-"):
		return r.parseProtocolField(name, value)
	case strings.EqualFold(name, HeaderLoad):
		r.Util = parseUtil(value)
	case strings.EqualFold(name, "Content-Range"):
		r.RangeStart, r.Size, err = parseContentRange(value)
	}
	return err
}

// parseProtocolField parses a field whose name begins with "Aw-".
func (r *Response) parseProtocolField(name, value string) (err error) {
	switch {
	case strings.EqualFold(name, HeaderMeta):
		r.Meta, err = base64.RawURLEncoding.DecodeString(value)
	case strings.EqualFold(name, HeaderReplaced):
		r.Replaced, err = base64.RawURLEncoding.DecodeString(value)
		if r.Replaced == nil {
			r.Replaced = []byte{}
		}
	case strings.EqualFold(name, HeaderVersion):
		r.Version, err = strconv.ParseUint(value, 10, 64)
	case strings.EqualFold(name, HeaderWhole):
		r.Whole = value == "1"
	case strings.EqualFold(name, HeaderRepeat):
		r.Repeat = value == "1"
	case strings.EqualFold(name, HeaderState):
		r.Draining = value == "draining"
	case strings.EqualFold(name, HeaderBrick):
		r.Brick = value
	case strings.EqualFold(name, HeaderRequest):
		r.RequestID = value
	case strings.EqualFold(name, HeaderSums):
		r.Sums, err = parseSums(value)
	case strings.EqualFold(name, HeaderReason):
		r.Corrupt = value == Corrupt
	case strings.EqualFold(name, HeaderClock):
		r.Clock, err = ParseClock(value)
	case strings.EqualFold(name, HeaderOthers):
		r.OtherHostsUnits, err = parseUnits(value)
	case strings.EqualFold(name, HeaderFleet):
		r.FleetRate, err = parseUnits(value)
	}
	return err
}

// parseUnits parses a number of units, or of units per second.
func parseUnits(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v < 1e12) {
		return 0, fmt.Errorf("bad amount %q", s)
	}
	return v, nil
}

// parseContentRange parses "bytes first-last/size" and "bytes */size".
func parseContentRange(s string) (start, size int64, err error) {
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
	start, err = strconv.ParseInt(first, 10, 64)
	end, err2 := strconv.ParseInt(last, 10, 64)
	if !dash || err != nil || err2 != nil || start < 0 || end < start || end >= size {
		return 0, 0, fmt.Errorf("bad value %q", s)
	}
	return start, size, nil
}

// parseUtil returns cpu_utilization from an ORCA load report in text form
// ("TEXT name=value,..."), or -1 if the report does not have it.
func parseUtil(s string) float64 {
	s, ok := strings.CutPrefix(s, "TEXT ")
	if !ok {
		return -1
	}
	for s != "" {
		var metric string
		metric, s, _ = strings.Cut(s, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(metric), "=")
		if name != "cpu_utilization" {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v <= 1e3 {
			return v
		}
	}
	return -1
}
