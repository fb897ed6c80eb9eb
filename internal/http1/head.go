package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits bounds what is kept of a message's head.
type Limits struct {
	MaxLineBytes int // longest line, request line included
	MaxHeadBytes int // whole head, in bytes
	MaxFields    int // header fields
	// AcceptDoubleFraming takes a length beside a transfer coding; for proofs that
	// must fail.
	AcceptDoubleFraming bool
}

// DefaultLimits are the bounds for a message from a stranger.
var DefaultLimits = Limits{MaxLineBytes: 16 << 10, MaxHeadBytes: 64 << 10, MaxFields: 128}

// Error tells why a message was refused and with which status.
type Error struct {
	Status int    // lawful status for the answer, as 400 or 431
	Reason string // what was wrong, naming the line or field
}

func (e *Error) Error() string { return "http: " + e.Reason }

func refuse(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// StatusOf returns the status to answer a parse error with, or 0 where the
// peer cannot be answered (it is gone, or sent nothing).
func StatusOf(err error) int {
	var refused *Error
	if errors.As(err, &refused) {
		return refused.Status
	}
	return 0
}

// Field is one header field. Its value has no white space around it.
type Field struct{ Name, Value string }

// Fields are a message's header fields, in order of arrival.
type Fields []Field

// Get returns the first value of a field, or "". Names match in any case.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Lookup returns the first value of a field and whether there is one.
func (f Fields) Lookup(name string) (string, bool) {
	for i := range f {
		if equalFold(f[i].Name, name) {
			return f[i].Value, true
		}
	}
	return "", false
}

// Count returns how many fields carry a name.
func (f Fields) Count(name string) int {
	n := 0
	for i := range f {
		if equalFold(f[i].Name, name) {
			n++
		}
	}
	return n
}

// equalFold compares ASCII names; lengths differ in most comparisons.
func equalFold(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// Request is the head of a request.
type Request struct {
	Method       string
	Target       string // as sent: path and query, not decoded
	MinorVersion int    // 0 or 1, of HTTP/1.x
	Fields       Fields

	Framing
	Expect100 bool // the client waits for 100 before it sends the body
	Close     bool // the connection ends after the answer
}

// Framing says how long a message's body is (RFC 9112 section 6).
type Framing struct {
	Length    int64 // bytes; 0 where there is none
	HasLength bool  // Content-Length was given
	Chunked   bool
}

// Response is the head of a response.
type Response struct {
	Status int
	Reason string
	Fields Fields

	Framing
	Close bool
}

// Reader reads heads from a connection. Its buffer is reused between heads,
// the strings of a head are its own.
type Reader struct {
	in     *bufio.Reader
	limits Limits
	head   []byte
}

// NewReader returns a Reader of heads on in.
func NewReader(in *bufio.Reader, limits Limits) *Reader {
	return &Reader{in: in, limits: limits}
}

// ReadRequest reads a request's head. io.EOF means that the peer closed before
// a first byte; an *Error names what was wrong and the status to answer with.
func (r *Reader) ReadRequest(q *Request) error {
	text, err := r.readHead()
	if err != nil {
		return err
	}
	line, rest := cutLine(text)
	*q = Request{Fields: q.Fields[:0]}
	if err := parseRequestLine(line, q); err != nil {
		return err
	}
	if q.Fields, err = parseFields(rest, q.Fields, r.limits.MaxFields); err != nil {
		return err
	}
	return q.settle(r.limits.AcceptDoubleFraming)
}

// ReadResponse reads a response's head to a request with the given method.
func (r *Reader) ReadResponse(p *Response, method string) error {
	text, err := r.readHead()
	if err != nil {
		return err
	}
	line, rest := cutLine(text)
	*p = Response{Fields: p.Fields[:0]}
	if err := parseStatusLine(line, p); err != nil {
		return err
	}
	if p.Fields, err = parseFields(rest, p.Fields, r.limits.MaxFields); err != nil {
		return err
	}
	return p.settle(method)
}

// readHead reads up to and with the empty line and returns the text without it.
func (r *Reader) readHead() (string, error) {
	r.head = r.head[:0]
	lineStart := 0
	for {
		part, err := r.in.ReadSlice('\n')
		if len(r.head)+len(part) > r.limits.MaxHeadBytes {
			return "", refuse(431, "head over %d bytes", r.limits.MaxHeadBytes)
		}
		r.head = append(r.head, part...)
		length := len(r.head) - lineStart
		if length > r.limits.MaxLineBytes {
			if lineStart == 0 {
				return "", refuse(414, "first line over %d bytes", r.limits.MaxLineBytes)
			}
			return "", refuse(431, "header line over %d bytes", r.limits.MaxLineBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.head) > 0 {
				return "", io.ErrUnexpectedEOF
			}
			return "", err
		}
		if length < 2 || r.head[len(r.head)-2] != '\r' {
			return "", refuse(400, "line %q ends in a bare LF", clip(r.head[lineStart:]))
		}
		if length == 2 {
			if lineStart == 0 { // RFC 9112 section 2.2: one empty line before a request is passed over
				r.head = append(r.head[:0], "\r\n"...)
				if _, err := r.in.Peek(1); err != nil {
					return "", err
				}
				r.head = r.head[:0]
				if b, _ := r.in.Peek(1); b[0] == '\r' {
					return "", refuse(400, "empty lines before the message")
				}
				continue
			}
			return string(r.head[:len(r.head)-2]), nil
		}
		lineStart = len(r.head)
	}
}

func clip(b []byte) string {
	const most = 40
	if len(b) > most {
		return string(b[:most]) + "..."
	}
	return string(b)
}

// cutLine splits off the first line, which readHead made sure ends in CRLF.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\r\n")
	return line, rest
}

func parseRequestLine(line string, q *Request) error {
	method, rest, ok := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) || target == "" {
		return refuse(400, "bad request line %q", clip([]byte(line)))
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] == 0x7f {
			return refuse(400, "bad byte %#x in the request target", target[i])
		}
	}
	switch proto {
	case "HTTP/1.1":
		q.MinorVersion = 1
	case "HTTP/1.0":
		q.MinorVersion = 0
	default:
		if strings.HasPrefix(proto, "HTTP/") {
			return refuse(505, "version %q", clip([]byte(proto)))
		}
		return refuse(400, "bad version %q", clip([]byte(proto)))
	}
	q.Method, q.Target = method, target
	return nil
}

func parseStatusLine(line string, p *Response) error {
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' {
		return refuse(502, "bad status line %q", clip([]byte(line)))
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 || status > 599 || len(line) > 12 && line[12] != ' ' {
		return refuse(502, "bad status line %q", clip([]byte(line)))
	}
	p.Status, p.Reason = status, strings.TrimPrefix(line[12:], " ")
	p.Close = line[7] == '0'
	return nil
}

func parseFields(text string, into Fields, most int) (Fields, error) {
	for text != "" {
		line, rest := cutLine(text)
		text = rest
		if len(into) >= most {
			return into, refuse(431, "over %d header fields", most)
		}
		if line[0] == ' ' || line[0] == '\t' {
			return into, refuse(400, "folded header line %q", clip([]byte(line)))
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return into, refuse(400, "bad header line %q", clip([]byte(line)))
		}
		value = strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return into, refuse(400, "bad byte %#x in header %s", c, clip([]byte(name)))
			}
		}
		into = append(into, Field{name, value})
	}
	return into, nil
}

// tokens marks the bytes of a token (RFC 9110 section 5.6.2).
var tokens = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if !tokens[s[i]] {
			return false
		}
	}
	return s != ""
}

// frame reads the body's framing out of the fields (RFC 9112 section 6.3).
func frame(fields Fields, bad int, double bool) (Framing, error) {
	var f Framing
	for i := range fields {
		name, value := fields[i].Name, fields[i].Value
		switch {
		case equalFold(name, "Content-Length"):
			if f.HasLength {
				return f, refuse(bad, "two Content-Length fields")
			}
			length, err := parseLength(value)
			if err != nil {
				return f, refuse(bad, "bad Content-Length %q", clip([]byte(value)))
			}
			f.Length, f.HasLength = length, true
		case equalFold(name, "Transfer-Encoding"):
			if f.Chunked {
				return f, refuse(bad, "two Transfer-Encoding fields")
			}
			if !strings.EqualFold(value, "chunked") {
				return f, refuse(501, "transfer coding %q", clip([]byte(value)))
			}
			f.Chunked = true
		}
	}
	if f.HasLength && f.Chunked {
		if !double {
			return f, refuse(bad, "Content-Length beside Transfer-Encoding")
		}
		f.Length = 0
	}
	return f, nil
}

// parseLength takes digits only: no sign, no list, no white space.
func parseLength(s string) (int64, error) {
	if s == "" || len(s) > 18 {
		return 0, strconv.ErrRange
	}
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, strconv.ErrSyntax
		}
	}
	return strconv.ParseInt(s, 10, 64)
}

func (q *Request) settle(double bool) error {
	var err error
	if q.Framing, err = frame(q.Fields, 400, double); err != nil {
		return err
	}
	if q.Chunked && q.MinorVersion == 0 {
		return refuse(400, "chunked body in HTTP/1.0")
	}
	if hosts := q.Fields.Count("Host"); hosts > 1 || hosts == 0 && q.MinorVersion == 1 {
		return refuse(400, "%d Host fields", hosts)
	}
	q.Close = q.MinorVersion == 0
	if c, ok := q.Fields.Lookup("Connection"); ok {
		q.Close = hasItem(c, "close") || q.Close && !hasItem(c, "keep-alive")
	}
	if e, ok := q.Fields.Lookup("Expect"); ok {
		if !strings.EqualFold(e, "100-continue") {
			return refuse(417, "expectation %q", clip([]byte(e)))
		}
		q.Expect100 = q.MinorVersion == 1
	}
	return nil
}

func (p *Response) settle(method string) error {
	var err error
	if p.Framing, err = frame(p.Fields, 502, false); err != nil {
		return err
	}
	if c, ok := p.Fields.Lookup("Connection"); ok {
		p.Close = hasItem(c, "close") || p.Close && !hasItem(c, "keep-alive")
	}
	if method == "HEAD" || p.Status < 200 || p.Status == 204 || p.Status == 304 {
		p.Chunked = false
		return nil
	}
	if !p.HasLength && !p.Chunked {
		return refuse(502, "response without a length")
	}
	return nil
}

// hasItem tells whether a comma-separated list holds an item, in any case.
func hasItem(list, item string) bool {
	for list != "" {
		var one string
		one, list, _ = strings.Cut(list, ",")
		if strings.EqualFold(strings.Trim(one, " \t"), item) {
			return true
		}
	}
	return false
}
