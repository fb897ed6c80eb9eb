package awschunked

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/http1"
)

var signer = sigv4.Signer{AccessKey: "AKID", SecretKey: "secret", Region: "us-east-1"}

func signedIdentity() *sigv4.Identity {
	r := &sigv4.Request{Method: "PUT", Path: "/b/k", Fields: http1.Fields{{Name: "Host", Value: "h"}}}
	_, id := signer.Sign(r, SignedPayload, time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC))
	return id
}

func encodeChunks(signer *sigv4.ChunkSigner, trailer http1.Fields, chunks ...string) []byte {
	var b []byte
	for _, c := range chunks {
		b = AppendChunk(b, []byte(c), signer, nil)
	}
	return AppendChunk(b, nil, signer, trailer)
}

func TestDecode(t *testing.T) {
	sums := http1.Fields{{Name: "x-amz-checksum-crc32", Value: "AAAAAA=="}}
	long := strings.Repeat("0123456789", 10_000)
	plain := func(chunks ...string) []byte { return encodeChunks(signedIdentity().NewChunkSigner(), nil, chunks...) }
	chain := signedIdentity().NewChunkSigner()
	AppendChunk(nil, []byte("first"), chain, nil)
	chunkMissing := encodeChunks(chain, nil, "second")
	flip := func(b []byte, at int) []byte { b[at] ^= 1; return b }
	for _, c := range []struct {
		name    string
		in      []byte
		signed  bool
		trailer bool
		want    string
		err     error
	}{
		{"signed", plain("hello", " world", long), true, false, "hello world" + long, nil},
		{"signed, empty", plain(), true, false, "", nil},
		{"signed, trailer", encodeChunks(signedIdentity().NewChunkSigner(), sums, "abc"), true, true, "abc", nil},
		{"unsigned, trailer", encodeChunks(nil, sums, "abc", "def"), false, true, "abcdef", nil},
		{"data changed", flip(plain("hello"), 85), true, false, "", ErrSignatureMismatch},
		{"chunk missing", chunkMissing, true, false, "", ErrSignatureMismatch},
		{"trailer changed", bytes.Replace(encodeChunks(signedIdentity().NewChunkSigner(), sums, "abc"), []byte("AAAAAA"), []byte("BAAAAA"), 1), true, true, "", ErrSignatureMismatch},
		{"no signature", encodeChunks(nil, nil, "abc"), true, false, "", ErrFormat},
		{"trailer not announced", encodeChunks(nil, sums, "abc"), false, false, "", ErrFormat},
		{"cut", plain("hello")[:60], true, false, "", io.ErrUnexpectedEOF},
		{"no last chunk", []byte("3\r\nabc\r\n"), false, true, "", io.ErrUnexpectedEOF},
		{"bare LF", []byte("3\nabc\r\n0\r\n\r\n"), false, true, "", ErrFormat},
		{"negative", []byte("-3\r\nabc\r\n0\r\n\r\n"), false, true, "", ErrFormat},
		{"huge", []byte("FFFFFFFFFF\r\n"), false, true, "", ErrFormat},
		{"long line", []byte("3;" + strings.Repeat("x", 9000) + "\r\n"), false, true, "", ErrFormat},
		{"chunk longer than its size", []byte("3\r\nabcd\r\n0\r\n\r\n"), false, true, "", ErrFormat},
	} {
		var s *sigv4.ChunkSigner
		if c.signed {
			s = signedIdentity().NewChunkSigner()
		}
		r := NewReader(bytes.NewReader(c.in), s, c.trailer)
		got, err := io.ReadAll(r)
		if !errors.Is(err, c.err) || err == nil && string(got) != c.want {
			t.Errorf("%s: %d bytes, %v; want %d, %v", c.name, len(got), err, len(c.want), c.err)
		}
		if c.trailer && err == nil && c.err == nil && r.Trailer.Get("x-amz-checksum-crc32") != "AAAAAA==" {
			t.Errorf("%s: trailer %v", c.name, r.Trailer)
		}
	}
}

// An unsigned body that decodes must decode to the same bytes after it is
// encoded again.
func FuzzReader(f *testing.F) {
	f.Add(encodeChunks(nil, http1.Fields{{Name: "a", Value: "b"}}, "abc"), false)
	f.Add(encodeChunks(signedIdentity().NewChunkSigner(), nil, "abc"), true)
	f.Add([]byte("0\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, in []byte, signed bool) {
		var s *sigv4.ChunkSigner
		if signed {
			s = signedIdentity().NewChunkSigner()
		}
		body, err := io.ReadAll(NewReader(bytes.NewReader(in), s, true))
		if err != nil || signed {
			return
		}
		if len(body) > len(in) {
			t.Fatalf("%d bytes out of %d", len(body), len(in))
		}
		again := AppendChunk(AppendChunk(nil, body, nil, nil), nil, nil, nil)
		if len(body) == 0 {
			again = AppendChunk(nil, nil, nil, nil)
		}
		if got, err := io.ReadAll(NewReader(bytes.NewReader(again), nil, true)); err != nil || !bytes.Equal(got, body) {
			t.Fatalf("again: %q, %v; want %q", got, err, body)
		}
	})
}
