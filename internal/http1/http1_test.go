package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// readMessage reads one request with its body, through a small buffer so that
// lines are longer than it.
func readMessage(text string, limits Limits) (*Request, []byte, *Body, error) {
	in := bufio.NewReaderSize(strings.NewReader(text), 64)
	q := &Request{}
	if err := NewReader(in, limits).ReadRequest(q); err != nil {
		return nil, nil, nil, err
	}
	b := &Body{}
	b.Reset(in, q.Framing)
	body, err := io.ReadAll(b)
	return q, body, b, err
}

func TestRequests(t *testing.T) {
	long := strings.Repeat("x", 300)
	limits := Limits{MaxLineBytes: 200, MaxHeadBytes: 1000, MaxFields: 8}
	for _, c := range []struct {
		name, text string
		status     int // 0: accepted
		body       string
	}{
		{"plain", "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n", 0, ""},
		{"length", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcdef", 0, "abc"},
		{"chunked", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\nrest", 0, "abc0123456789"},
		{"leading empty line", "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 0, ""},
		{"1.0 without host", "GET / HTTP/1.0\r\n\r\n", 0, ""},
		{"two empty lines", "\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", 400, ""},
		{"two lengths", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400, ""},
		{"list of lengths", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc", 400, ""},
		{"signed length", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400, ""},
		{"length and chunked", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"two codings", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400, ""},
		{"other coding", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501, ""},
		{"chunked in 1.0", "PUT / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
		{"bare LF", "GET / HTTP/1.1\nHost: h\r\n\r\n", 400, ""},
		{"bare LF at the end", "GET / HTTP/1.1\r\nHost: h\r\n\n", 400, ""},
		{"bare CR in a value", "GET / HTTP/1.1\r\nHost: h\r\nA: b\rC: d\r\n\r\n", 400, ""},
		{"folded", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400, ""},
		{"space before colon", "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", 400, ""},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, ""},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, ""},
		{"NUL in a value", "GET / HTTP/1.1\r\nHost: h\r\nA: \x00\r\n\r\n", 400, ""},
		{"space in the target", "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 400, ""},
		{"version 2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505, ""},
		{"expectation", "GET / HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n", 417, ""},
		{"long target", "GET /" + long + " HTTP/1.1\r\nHost: h\r\n\r\n", 414, ""},
		{"long field", "GET / HTTP/1.1\r\nHost: h\r\nA: " + long + "\r\n\r\n", 431, ""},
		{"large head", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: "+long[:150]+"\r\n", 7) + "\r\n", 431, ""},
		{"many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 9) + "\r\n", 431, ""},
		{"chunk size", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", 400, ""},
		{"huge chunk", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n", 400, ""},
		{"chunk without CRLF", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400, ""},
		{"bare LF in a chunk", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", 400, ""},
	} {
		q, body, _, err := readMessage(c.text, limits)
		if c.status != StatusOf(err) || c.status == 0 && err != nil {
			t.Errorf("%s: %v, want status %d", c.name, err, c.status)
		}
		if c.status == 0 && (q == nil || string(body) != c.body) {
			t.Errorf("%s: body %q, want %q", c.name, body, c.body)
		}
	}
	for cut := range len("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc") {
		text := "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"[:cut]
		want := io.ErrUnexpectedEOF
		if cut == 0 {
			want = io.EOF
		}
		if _, _, _, err := readMessage(text, limits); !errors.Is(err, want) {
			t.Errorf("cut at %d: %v, want %v", cut, err, want)
		}
	}
}

func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name, text, method string
		ok                 bool
		body               string
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "GET", true, "ab"},
		{"no reason", "HTTP/1.1 204\r\n\r\n", "GET", true, ""},
		{"head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "HEAD", true, ""},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nab", "GET", false, ""},
		{"garbage", "\x00\x01\x02\r\n\r\n", "GET", false, ""},
		{"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n", "GET", false, ""},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "GET", false, ""},
	} {
		in := bufio.NewReader(strings.NewReader(c.text))
		var p Response
		err := NewReader(in, DefaultLimits).ReadResponse(&p, c.method)
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
		if err != nil || c.method == "HEAD" {
			continue
		}
		var b Body
		b.Reset(in, p.Framing)
		if got, err := io.ReadAll(&b); err != nil || string(got) != c.body {
			t.Errorf("%s: body %q, %v", c.name, got, err)
		}
	}
}

// Control bytes in a value must not start a new field.
func TestFieldsCannotBeInjected(t *testing.T) {
	b := AppendField(AppendStatusLine(nil, 200), "X", "a\r\nSet: b\x00\x7f")
	if want := "HTTP/1.1 200 OK\r\nX: aSet: b\r\n"; string(b) != want {
		t.Errorf("%q, want %q", b, want)
	}
}

// Readers with different buffer sizes must agree on where every message ends, so
// that neither takes for a head what the other takes for a body.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	limits := Limits{MaxLineBytes: 512, MaxHeadBytes: 2048, MaxFields: 16}
	f.Fuzz(func(t *testing.T, text []byte) {
		read := func(size int) (out []string) {
			in := bufio.NewReaderSize(bytes.NewReader(text), size)
			heads, q := NewReader(in, limits), Request{}
			for range 10 {
				if err := heads.ReadRequest(&q); err != nil {
					return append(out, "head error")
				}
				if strings.ContainsAny(q.Method+q.Target, "\r\n ") || len(q.Fields) > limits.MaxFields {
					t.Fatalf("head %+v", q)
				}
				var b Body
				b.Reset(in, q.Framing)
				body, err := io.ReadAll(&b)
				out = append(out, q.Method+q.Target+string(body))
				if err != nil {
					return append(out, "body error")
				}
			}
			return out
		}
		a, b := read(16), read(4096)
		if strings.Join(a, "\x00") != strings.Join(b, "\x00") {
			t.Fatalf("readers disagree: %q and %q", a, b)
		}
	})
}
