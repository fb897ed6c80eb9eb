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
	maxLineBytes    = 512      // bytes of a chunk's size line or a trailer's line
	maxChunkBytes   = 64 << 20 // bytes of a chunk
	maxTrailerLines = 16       // lines
)

// Errors of a body, beside those of the reader below it.
var (
	ErrSignatureMismatch = errors.New("a chunk's signature does not match")
	ErrFormat            = errors.New("bad aws-chunked body")
)

func formatError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrFormat, fmt.Sprintf(format, args...))
}

// Reader decodes a body. Bytes come out before their chunk's signature is
// checked: they count only once Read has returned io.EOF.
type Reader struct {
	source         *bufio.Reader
	signer         *sigv4.ChunkSigner // nil: not signed
	allowTrailer   bool
	chunkRemaining int64
	inChunk        bool
	chunkSignature string // signature of the current chunk
	chunkHash      hash.Hash
	err            error

	Trailer http1.Fields // after io.EOF
}

// NewReader decodes in. signer is nil for an unsigned stream; trailer tells
// whether one may follow the last chunk.
func NewReader(in io.Reader, signer *sigv4.ChunkSigner, trailer bool) *Reader {
	r := &Reader{source: bufio.NewReaderSize(in, 4096), signer: signer, allowTrailer: trailer}
	if signer != nil {
		r.chunkHash = sha256.New()
	}
	return r
}

// Read returns decoded bytes; io.EOF means that all of the body was there and,
// where it is signed, that every chunk was.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	for r.chunkRemaining == 0 {
		if r.err = r.startNextChunk(); r.err != nil {
			return 0, r.err
		}
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.chunkRemaining)])
	r.chunkRemaining -= int64(n)
	if r.chunkHash != nil {
		r.chunkHash.Write(p[:n])
	}
	if err != nil {
		r.err = toUnexpectedEOF(err)
	}
	return n, r.err
}

func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// startNextChunk ends the chunk before and reads the startNextChunk one's line; io.EOF after the
// last.
func (r *Reader) startNextChunk() error {
	if r.inChunk {
		if err := r.endChunk(); err != nil {
			return err
		}
	}
	r.inChunk = true
	line, err := r.readLine()
	if err != nil {
		return err
	}
	size, extension, _ := strings.Cut(line, ";")
	if r.chunkRemaining, err = parseChunkSize(size); err != nil {
		return err
	}
	if r.signer != nil {
		var ok bool
		if r.chunkSignature, ok = strings.CutPrefix(extension, "chunk-signature="); !ok {
			return formatError("a chunk has no signature")
		}
	}
	if r.chunkRemaining > 0 {
		return nil
	}
	return r.readTrailer()
}

func (r *Reader) endChunk() error {
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if line != "" {
		return formatError("a chunk does not end in CRLF")
	}
	return r.verifyChunkSignature()
}

func (r *Reader) verifyChunkSignature() error {
	if r.signer == nil {
		return nil
	}
	got := r.signer.SignChunk(r.chunkHash.Sum(nil))
	r.chunkHash.Reset()
	if subtle.ConstantTimeCompare([]byte(got), []byte(r.chunkSignature)) != 1 {
		return ErrSignatureMismatch
	}
	return nil
}

// readTrailer checks the last, empty chunk and reads the trailer.
func (r *Reader) readTrailer() error {
	if err := r.verifyChunkSignature(); err != nil {
		return err
	}
	sum, signature := sha256.New(), ""
	for lines := 0; ; lines++ {
		line, err := r.readLine()
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
		if !ok || !r.allowTrailer || lines >= maxTrailerLines {
			return formatError("unexpected trailer line %q", line)
		}
		value = strings.TrimSpace(value)
		if strings.EqualFold(name, "x-amz-trailer-signature") {
			signature = value
			continue
		}
		fmt.Fprintf(sum, "%s:%s\n", strings.ToLower(name), value)
		r.Trailer = append(r.Trailer, http1.Field{Name: name, Value: value})
	}
	if r.signer != nil && r.allowTrailer {
		want := r.signer.SignTrailer(sum.Sum(nil))
		if subtle.ConstantTimeCompare([]byte(want), []byte(signature)) != 1 {
			return ErrSignatureMismatch
		}
	}
	return io.EOF
}

func (r *Reader) readLine() (string, error) {
	part, err := r.source.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return "", formatError("a line over %d bytes", maxLineBytes)
		}
		return string(part), toUnexpectedEOF(err)
	}
	if len(part) > maxLineBytes {
		return "", formatError("a line over %d bytes", maxLineBytes)
	}
	if len(part) < 2 || part[len(part)-2] != '\r' {
		return "", formatError("a line ends in a bare LF")
	}
	return string(part[:len(part)-2]), nil
}

func parseChunkSize(s string) (int64, error) {
	var size int64
	if s == "" || len(s) > 8 {
		return 0, formatError("chunk size %q", s)
	}
	for i := 0; i < len(s); i++ {
		c := s[i] | 0x20
		switch {
		case s[i] >= '0' && s[i] <= '9':
			size = size<<4 | int64(s[i]-'0')
		case c >= 'a' && c <= 'f':
			size = size<<4 | int64(c-'a'+10)
		default:
			return 0, formatError("chunk size %q", s)
		}
	}
	if size > maxChunkBytes {
		return 0, formatError("a chunk over %d bytes", maxChunkBytes)
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
