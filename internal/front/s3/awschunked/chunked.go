// Package chunked decodes the aws-chunked content coding of the object API:
// chunks that carry signatures (STREAMING-AWS4-HMAC-SHA256-PAYLOAD), and an
// unsigned stream with a trailing checksum (STREAMING-UNSIGNED-PAYLOAD-TRAILER).
package awschunked

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"hash"
	"io"
	"strings"

	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/http1"
)

// The payload names of x-amz-content-sha256 that mean a streamed body.
const (
	SignedPayload          = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"
	SignedPayloadTrailer   = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER"
	UnsignedPayloadTrailer = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"
)

const (
	lineMost    = 512      // bytes of a chunk's size line or a trailer's line
	chunkMost   = 64 << 20 // bytes of a chunk
	trailerMost = 16       // lines
)

// Errors of a body, beside those of the reader below it.
var (
	ErrSignatureMismatch = errors.New("a chunk's signature does not match")
	ErrFormat            = errors.New("bad aws-chunked body")
)

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrFormat, fmt.Sprintf(format, args...))
}

// Reader decodes a body. Bytes come out before their chunk's signature is
// checked: they count only once Read has returned io.EOF.
type Reader struct {
	in      *bufio.Reader
	signer  *sigv4.ChunkSigner // nil: not signed
	trailer bool
	left    int64
	begun   bool
	want    string // signature of the current chunk
	sum     hash.Hash
	err     error

	Trailer http1.Fields // after io.EOF
}

// NewReader decodes in. signer is nil for an unsigned stream; trailer tells
// whether one may follow the last chunk.
func NewReader(in io.Reader, signer *sigv4.ChunkSigner, trailer bool) *Reader {
	r := &Reader{in: bufio.NewReaderSize(in, 4096), signer: signer, trailer: trailer}
	if signer != nil {
		r.sum = sha256.New()
	}
	return r
}

// Read returns decoded bytes; io.EOF means that all of the body was there and,
// where it is signed, that every chunk was.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	for r.left == 0 {
		if r.err = r.next(); r.err != nil {
			return 0, r.err
		}
	}
	n, err := r.in.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if r.sum != nil {
		r.sum.Write(p[:n])
	}
	if err != nil {
		r.err = unexpected(err)
	}
	return n, r.err
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// next ends the chunk before and reads the next one's line; io.EOF after the
// last.
func (r *Reader) next() error {
	if r.begun {
		if err := r.endChunk(); err != nil {
			return err
		}
	}
	r.begun = true
	line, err := r.line()
	if err != nil {
		return err
	}
	size, extension, _ := strings.Cut(line, ";")
	if r.left, err = parseSize(size); err != nil {
		return err
	}
	if r.signer != nil {
		var ok bool
		if r.want, ok = strings.CutPrefix(extension, "chunk-signature="); !ok {
			return bad("a chunk has no signature")
		}
	}
	if r.left > 0 {
		return nil
	}
	return r.finish()
}

func (r *Reader) endChunk() error {
	line, err := r.line()
	if err != nil {
		return err
	}
	if line != "" {
		return bad("a chunk does not end in CRLF")
	}
	return r.checkChunk()
}

func (r *Reader) checkChunk() error {
	if r.signer == nil {
		return nil
	}
	got := r.signer.SignChunk(r.sum.Sum(nil))
	r.sum.Reset()
	if subtle.ConstantTimeCompare([]byte(got), []byte(r.want)) != 1 {
		return ErrSignatureMismatch
	}
	return nil
}

// finish checks the last, empty chunk and reads the trailer.
func (r *Reader) finish() error {
	if err := r.checkChunk(); err != nil {
		return err
	}
	sum, signature := sha256.New(), ""
	for lines := 0; ; lines++ {
		line, err := r.line()
		if errors.Is(err, io.ErrUnexpectedEOF) && line == "" && lines > 0 {
			break // some clients leave out the last empty line after a trailer
		}
		if err != nil {
			return err
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !r.trailer || lines >= trailerMost {
			return bad("unexpected trailer line %q", line)
		}
		value = strings.TrimSpace(value)
		if strings.EqualFold(name, "x-amz-trailer-signature") {
			signature = value
			continue
		}
		fmt.Fprintf(sum, "%s:%s\n", strings.ToLower(name), value)
		r.Trailer = append(r.Trailer, http1.Field{Name: name, Value: value})
	}
	if r.signer != nil && r.trailer {
		want := r.signer.SignTrailer(sum.Sum(nil))
		if subtle.ConstantTimeCompare([]byte(want), []byte(signature)) != 1 {
			return ErrSignatureMismatch
		}
	}
	return io.EOF
}

func (r *Reader) line() (string, error) {
	part, err := r.in.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return "", bad("a line over %d bytes", lineMost)
		}
		return string(part), unexpected(err)
	}
	if len(part) > lineMost {
		return "", bad("a line over %d bytes", lineMost)
	}
	if len(part) < 2 || part[len(part)-2] != '\r' {
		return "", bad("a line ends in a bare LF")
	}
	return string(part[:len(part)-2]), nil
}

func parseSize(s string) (int64, error) {
	var size int64
	if s == "" || len(s) > 8 {
		return 0, bad("chunk size %q", s)
	}
	for i := 0; i < len(s); i++ {
		c := s[i] | 0x20
		switch {
		case s[i] >= '0' && s[i] <= '9':
			size = size<<4 | int64(s[i]-'0')
		case c >= 'a' && c <= 'f':
			size = size<<4 | int64(c-'a'+10)
		default:
			return 0, bad("chunk size %q", s)
		}
	}
	if size > chunkMost {
		return 0, bad("a chunk over %d bytes", chunkMost)
	}
	return size, nil
}

// AppendChunk encodes p as one chunk, for clients; an empty p is the last. The
// signer is nil for an unsigned stream. After the last, the trailer follows.
func AppendChunk(b, p []byte, signer *sigv4.ChunkSigner, trailer http1.Fields) []byte {
	b = fmt.Appendf(b, "%x", len(p))
	if signer != nil {
		sum := sha256.Sum256(p)
		b = append(append(b, ";chunk-signature="...), signer.SignChunk(sum[:])...)
	}
	b = append(b, "\r\n"...)
	if len(p) > 0 {
		return append(append(b, p...), "\r\n"...)
	}
	sum := sha256.New()
	for _, f := range trailer {
		fmt.Fprintf(sum, "%s:%s\n", strings.ToLower(f.Name), f.Value)
		b = http1.AppendField(b, f.Name, f.Value)
	}
	if signer != nil && trailer != nil {
		b = http1.AppendField(b, "x-amz-trailer-signature", signer.SignTrailer(sum.Sum(nil)))
	}
	return append(b, "\r\n"...)
}
