package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits bounds the size of a message's head.
type Limits struct {
	MaxLineBytes int // longest line, request line and line end included
	MaxHeadBytes int // whole head
	MaxFields    int // number of header fields
	// AcceptDoubleFraming accepts Content-Length together with
	// Transfer-Encoding. It exists for negative tests only: they show that the
	// checks notice the missing guard.
	AcceptDoubleFraming bool
}

// DefaultLimits are the limits for messages from untrusted peers.
var DefaultLimits = Limits{MaxLineBytes: 16 << 10, MaxHeadBytes: 64 << 10, MaxFields: 128}

// Error reports that a message was rejected.
type Error struct {
	Status int    // HTTP status to answer with, such as 400 or 431
	Reason string // what is wrong, naming the line or field
}

func (e *Error) Error() string { return "http: " + e.Reason }

// newError returns an *Error with a formatted reason.
func newError(status int, format string, args ...any) error {
	return &Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// StatusOf returns the status to answer a parse error with, or 0 if err is no
// *Error: then the peer closed the connection or sent nothing, and cannot be
// answered.
func StatusOf(err error) int {
	var parseErr *Error
	if errors.As(err, &parseErr) {
		return parseErr.Status
	}
	return 0
}

// Field is one header field. Its value is trimmed of surrounding white space.
type Field struct{ Name, Value string }

// Fields are a message's header fields, in order of arrival.
type Fields []Field

// Get returns the first value of the named field, or "". Names are compared
// without regard to case.
func (f Fields) Get(name string) string {
	value, _ := f.Lookup(name)
	return value
}

// Lookup returns the first value of the named field and whether it is present.
func (f Fields) Lookup(name string) (string, bool) {
	for i := range f {
		if equalFold(f[i].Name, name) {
			return f[i].Value, true
		}
	}
	return "", false
}

// Count returns the number of fields with the given name.
func (f Fields) Count(name string) int {
	n := 0
	for i := range f {
		if equalFold(f[i].Name, name) {
			n++
		}
	}
	return n
}

// equalFold compares field names without regard to case. The length check
// settles most comparisons.
func equalFold(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// Request is the head of a request.
type Request struct {
	Method       string
	Target       string // path and query as sent, not decoded
	MinorVersion int    // 0 or 1, of HTTP/1.x
	Fields       Fields

	Framing
	Expect100 bool // the client waits for status 100 before it sends the body
	Close     bool // the connection closes after the response
}

// Framing describes how the length of a message's body is determined (RFC 9112
// section 6).
type Framing struct {
	Length    int64 // bytes; 0 without Content-Length
	HasLength bool  // Content-Length is present
	Chunked   bool
}

// Response is the head of a response.
type Response struct {
	Status int
	Reason string
	Fields Fields

	Framing
	Close bool // the connection closes after the response
}

// Reader reads message heads from a connection. Its buffer is reused between
// heads; the strings of a head stay valid. It is not safe for concurrent use.
type Reader struct {
	in     *bufio.Reader
	limits Limits
	head   []byte
}

// NewReader returns a Reader that reads heads from in.
func NewReader(in *bufio.Reader, limits Limits) *Reader {
	return &Reader{in: in, limits: limits}
}

// ReadRequest reads the head of a request into q and reuses q.Fields. It
// returns io.EOF if the peer closed before the first byte, and an *Error if the
// head is rejected.
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
	return q.interpretFields(r.limits.AcceptDoubleFraming)
}

// ReadResponse reads into p the head of the response to a request with the
// given method, and reuses p.Fields.
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
	return p.interpretFields(method)
}

// Head returns the bytes of the last head that was read: its first line and its fields,
// each with its line end, without the empty line after them. They are valid until the
// next head is read.
func (r *Reader) Head() []byte { return r.head[:max(len(r.head)-len("\r\n"), 0)] }

// readHead reads a head including the empty line that ends it, and returns its
// text without that line.
func (r *Reader) readHead() (string, error) {
	r.head = r.head[:0]
	lineStart := 0
	for {
		part, err := r.in.ReadSlice('\n')
		if len(r.head)+len(part) > r.limits.MaxHeadBytes {
			return "", newError(431, "head exceeds %d bytes", r.limits.MaxHeadBytes)
		}
		r.head = append(r.head, part...)
		length := len(r.head) - lineStart
		if length > r.limits.MaxLineBytes {
			if lineStart == 0 {
				return "", newError(414, "first line exceeds %d bytes", r.limits.MaxLineBytes)
			}
			return "", newError(431, "header line exceeds %d bytes", r.limits.MaxLineBytes)
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
			return "", newError(400, "line %q ends in a bare LF", clip(r.head[lineStart:]))
		}
		if length == 2 {
			if lineStart == 0 { // RFC 9112 section 2.2: skip one empty line before a request
				r.head = append(r.head[:0], "\r\n"...)
				if _, err := r.in.Peek(1); err != nil {
					return "", err
				}
				r.head = r.head[:0]
				if b, _ := r.in.Peek(1); b[0] == '\r' {
					return "", newError(400, "more than one empty line before the message")
				}
				continue
			}
			return string(r.head[:len(r.head)-2]), nil
		}
		lineStart = len(r.head)
	}
}

// clip shortens peer data for an error message.
func clip(b []byte) string {
	const maxBytes = 40
	if len(b) > maxBytes {
		return string(b[:maxBytes]) + "..."
	}
	return string(b)
}

// cutLine splits off the first line. readHead has verified that every line ends
// in CRLF.
func cutLine(text string) (line, rest string) {
	line, rest, _ = strings.Cut(text, "\r\n")
	return line, rest
}

// parseRequestLine parses METHOD SP TARGET SP VERSION into q.
func parseRequestLine(line string, q *Request) error {
	method, rest, hasTarget := strings.Cut(line, " ")
	target, proto, hasVersion := strings.Cut(rest, " ")
	if !hasTarget || !hasVersion || !isToken(method) || target == "" {
		return newError(400, "malformed request line %q", clip([]byte(line)))
	}
	for i := 0; i < len(target); i++ {
		if target[i] <= ' ' || target[i] == 0x7f {
			return newError(400, "invalid byte %#x in the request target", target[i])
		}
	}
	switch proto {
	case "HTTP/1.1":
		q.MinorVersion = 1
	case "HTTP/1.0":
		q.MinorVersion = 0
	default:
		if strings.HasPrefix(proto, "HTTP/") {
			return newError(505, "unsupported version %q", clip([]byte(proto)))
		}
		return newError(400, "malformed version %q", clip([]byte(proto)))
	}
	q.Method, q.Target = method, target
	return nil
}

// parseStatusLine parses HTTP/1.x SP STATUS [SP REASON] into p.
func parseStatusLine(line string, p *Response) error {
	if len(line) < 12 || !strings.HasPrefix(line, "HTTP/1.") || line[8] != ' ' {
		return newError(502, "malformed status line %q", clip([]byte(line)))
	}
	status, err := strconv.Atoi(line[9:12])
	if err != nil || status < 100 || status > 599 || len(line) > 12 && line[12] != ' ' {
		return newError(502, "malformed status line %q", clip([]byte(line)))
	}
	p.Status, p.Reason = status, strings.TrimPrefix(line[12:], " ")
	p.Close = line[7] == '0'
	return nil
}

// parseFields appends the fields of text to fields, at most maxFields in all.
// Every line of text ends in CRLF.
func parseFields(text string, fields Fields, maxFields int) (Fields, error) {
	for text != "" {
		line, rest := cutLine(text)
		text = rest
		if len(fields) >= maxFields {
			return fields, newError(431, "more than %d header fields", maxFields)
		}
		if line[0] == ' ' || line[0] == '\t' {
			return fields, newError(400, "folded header line %q", clip([]byte(line)))
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) {
			return fields, newError(400, "malformed header line %q", clip([]byte(line)))
		}
		value = strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return fields, newError(400, "invalid byte %#x in header field %s", c, clip([]byte(name)))
			}
		}
		fields = append(fields, Field{name, value})
	}
	return fields, nil
}

// tokenBytes marks the bytes that a token may contain (RFC 9110 section 5.6.2).
var tokenBytes = func() (t [256]bool) {
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

// isToken reports whether s is a non-empty token.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

// parseFraming determines the body's framing from the header fields (RFC 9112
// section 6.3). Errors carry errorStatus, except for an unsupported coding.
func parseFraming(fields Fields, errorStatus int, acceptDouble bool) (Framing, error) {
	var f Framing
	for i := range fields {
		name, value := fields[i].Name, fields[i].Value
		switch {
		case equalFold(name, "Content-Length"):
			if f.HasLength {
				return f, newError(errorStatus, "repeated Content-Length field")
			}
			length, err := parseLength(value)
			if err != nil {
				return f, newError(errorStatus, "invalid Content-Length %q", clip([]byte(value)))
			}
			f.Length, f.HasLength = length, true
		case equalFold(name, "Transfer-Encoding"):
			if f.Chunked {
				return f, newError(errorStatus, "repeated Transfer-Encoding field")
			}
			if !strings.EqualFold(value, "chunked") {
				return f, newError(501, "unsupported transfer coding %q", clip([]byte(value)))
			}
			f.Chunked = true
		}
	}
	if f.HasLength && f.Chunked {
		if !acceptDouble {
			return f, newError(errorStatus, "both Content-Length and Transfer-Encoding are present")
		}
		f.Length = 0
	}
	return f, nil
}

// parseLength parses a Content-Length of up to 18 digits. It accepts no sign, no
// list and no white space.
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

// interpretFields sets the framing and connection options from q.Fields and
// checks the fields that every request is subject to.
func (q *Request) interpretFields(acceptDoubleFraming bool) error {
	var err error
	if q.Framing, err = parseFraming(q.Fields, 400, acceptDoubleFraming); err != nil {
		return err
	}
	if q.Chunked && q.MinorVersion == 0 {
		return newError(400, "chunked body in HTTP/1.0")
	}
	if hosts := q.Fields.Count("Host"); hosts > 1 || hosts == 0 && q.MinorVersion == 1 {
		return newError(400, "%d Host fields, want 1", hosts)
	}
	q.Close = q.MinorVersion == 0
	if c, ok := q.Fields.Lookup("Connection"); ok {
		q.Close = hasListItem(c, "close") || q.Close && !hasListItem(c, "keep-alive")
	}
	if e, ok := q.Fields.Lookup("Expect"); ok {
		if !strings.EqualFold(e, "100-continue") {
			return newError(417, "unsupported expectation %q", clip([]byte(e)))
		}
		q.Expect100 = q.MinorVersion == 1
	}
	return nil
}

// interpretFields sets the framing and connection options from p.Fields, for a
// response to a request with the given method.
func (p *Response) interpretFields(method string) error {
	var err error
	if p.Framing, err = parseFraming(p.Fields, 502, false); err != nil {
		return err
	}
	if c, ok := p.Fields.Lookup("Connection"); ok {
		p.Close = hasListItem(c, "close") || p.Close && !hasListItem(c, "keep-alive")
	}
	if method == "HEAD" || p.Status < 200 || p.Status == 204 || p.Status == 304 {
		p.Chunked = false
		return nil
	}
	if !p.HasLength && !p.Chunked {
		return newError(502, "response has neither Content-Length nor chunked coding")
	}
	return nil
}

// hasListItem reports whether a comma-separated list contains item, without
// regard to case.
func hasListItem(list, item string) bool {
	for list != "" {
		var next string
		next, list, _ = strings.Cut(list, ",")
		if strings.EqualFold(strings.Trim(next, " \t"), item) {
			return true
		}
	}
	return false
}
