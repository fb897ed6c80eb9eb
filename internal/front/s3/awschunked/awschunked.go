// Package awschunked implements the aws-chunked content coding of the S3 API:
// streams with signed chunks (STREAMING-AWS4-HMAC-SHA256-PAYLOAD), and
// unsigned streams with a trailing checksum
// (STREAMING-UNSIGNED-PAYLOAD-TRAILER).
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

// Values of x-amz-content-sha256 that announce an aws-chunked body.
const (
	SignedPayload          = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"
	SignedPayloadTrailer   = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER"
	UnsignedPayloadTrailer = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"
)

const (
	maxLineBytes    = 512      // size line or trailer line
	maxChunkBytes   = 64 << 20 // data of a chunk
	maxTrailerLines = 16
)

// Errors of an invalid body. Errors of the source are returned as they are.
var (
	ErrSignatureMismatch = errors.New("chunk signature does not match")
	ErrFormat            = errors.New("invalid aws-chunked body")
)

// formatError returns an error that wraps ErrFormat.
func formatError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrFormat, fmt.Sprintf(format, args...))
}

// Reader decodes a body. It returns the bytes of a chunk before it has
// verified the signature of the chunk, so the data must not be used before
// Read has returned io.EOF. It is not safe for concurrent use.
type Reader struct {
	source         *bufio.Reader
	signer         *sigv4.ChunkSigner // nil for an unsigned stream
	allowTrailer   bool
	chunkRemaining int64
	inChunk        bool
	chunkSignature string // expected signature of the current chunk
	chunkHash      hash.Hash
	err            error

	Trailer http1.Fields // valid after Read has returned io.EOF
}

// NewReader returns a Reader that decodes source. signer is nil for an
// unsigned stream; allowTrailer permits a trailer after the last chunk.
func NewReader(source io.Reader, signer *sigv4.ChunkSigner, allowTrailer bool) *Reader {
	r := &Reader{source: bufio.NewReaderSize(source, 4096), signer: signer, allowTrailer: allowTrailer}
	if signer != nil {
		r.chunkHash = sha256.New()
	}
	return r
}

// Read returns decoded bytes. io.EOF means that the body was complete and, for
// a signed stream, that all signatures were valid.
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

// toUnexpectedEOF converts io.EOF to io.ErrUnexpectedEOF and returns other
// errors unchanged.
func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// startNextChunk finishes the current chunk and reads the size line of the
// next. It returns io.EOF after the last chunk.
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
			return formatError("chunk has no signature")
		}
	}
	if r.chunkRemaining > 0 {
		return nil
	}
	return r.readTrailer()
}

// endChunk reads the line break after a chunk's data and verifies the chunk.
func (r *Reader) endChunk() error {
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if line != "" {
		return formatError("chunk does not end in CRLF")
	}
	return r.verifyChunkSignature()
}

// verifyChunkSignature verifies the signature of the current chunk.
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

// readTrailer verifies the last, empty chunk and reads the trailer. It returns
// io.EOF if both are valid.
func (r *Reader) readTrailer() error {
	if err := r.verifyChunkSignature(); err != nil {
		return err
	}
	sum, signature := sha256.New(), ""
	for lines := 0; ; lines++ {
		line, err := r.readLine()
		if errors.Is(err, io.ErrUnexpectedEOF) && line == "" && lines > 0 {
			break // some clients omit the empty line after a trailer
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

// readLine reads a line and returns it without its CRLF.
func (r *Reader) readLine() (string, error) {
	line, err := r.source.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return "", formatError("line exceeds %d bytes", maxLineBytes)
		}
		return string(line), toUnexpectedEOF(err)
	}
	if len(line) > maxLineBytes {
		return "", formatError("line exceeds %d bytes", maxLineBytes)
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return "", formatError("line ends in a bare LF")
	}
	return string(line[:len(line)-2]), nil
}

// parseChunkSize parses the hexadecimal size of a chunk.
func parseChunkSize(s string) (int64, error) {
	var size int64
	if s == "" || len(s) > 8 {
		return 0, formatError("invalid chunk size %q", s)
	}
	for i := 0; i < len(s); i++ {
		c := s[i] | 0x20
		switch {
		case s[i] >= '0' && s[i] <= '9':
			size = size<<4 | int64(s[i]-'0')
		case c >= 'a' && c <= 'f':
			size = size<<4 | int64(c-'a'+10)
		default:
			return 0, formatError("invalid chunk size %q", s)
		}
	}
	if size > maxChunkBytes {
		return 0, formatError("chunk exceeds %d bytes", maxChunkBytes)
	}
	return size, nil
}

// AppendChunk appends p encoded as one chunk, for use by clients. An empty p
// is the last chunk and is followed by the trailer. signer is nil for an
// unsigned stream.
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
