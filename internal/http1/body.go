package http1

import (
	"bufio"
	"errors"
	"io"
)

// Limits of the lines that the chunked coding adds.
const (
	maxChunkLineBytes  = 256 // size line, extensions included
	maxTrailerBytes    = 8 << 10
	maxTrailerFields   = 32
	maxChunkSizeDigits = 15 // hexadecimal; keeps sizes under 2^60
)

// Body reads the body of one message and never reads past its end. It is not
// safe for concurrent use.
type Body struct {
	in        *bufio.Reader
	remaining int64 // bytes left of the fixed length or of the current chunk
	chunked   bool
	inChunks  bool // the first chunk-size line has been reached
	done      bool
	err       error
	Trailer   Fields // set at the end of a chunked body
}

// Reset prepares b to read the body that f frames from in.
func (b *Body) Reset(in *bufio.Reader, f Framing) {
	*b = Body{in: in, remaining: f.Length, chunked: f.Chunked}
	b.done = !f.Chunked && f.Length == 0
}

// Done reports whether the whole body has been read.
func (b *Body) Done() bool { return b.done }

// Remaining returns the number of bytes still to be read, or -1 for a chunked
// body that has not ended.
func (b *Body) Remaining() int64 {
	if b.chunked {
		if b.done {
			return 0
		}
		return -1
	}
	return b.remaining
}

// Advance records that n bytes of the body were read directly from the
// connection, bypassing Read. It applies to bodies of fixed length only.
func (b *Body) Advance(n int64) {
	b.remaining -= n
	b.done = b.remaining == 0
}

// Buffered returns the number of body bytes held in the reader's buffer.
func (b *Body) Buffered() int64 { return min(int64(b.in.Buffered()), b.remaining) }

// Read implements io.Reader. It returns io.ErrUnexpectedEOF for a truncated
// body and an *Error for a malformed chunk.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.done {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.chunked && b.remaining == 0 {
		if b.err = b.nextChunk(); b.err != nil {
			return 0, b.err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.err = err
		return n, err
	}
	if b.remaining == 0 && !b.chunked {
		b.done = true
	}
	return n, nil
}

// nextChunk reads the next chunk-size line, and the trailer after the last
// chunk.
func (b *Body) nextChunk() error {
	if b.inChunks {
		if err := b.readCRLF(); err != nil {
			return err
		}
	}
	b.inChunks = true
	line, err := readLine(b.in, maxChunkLineBytes)
	if err != nil {
		return err
	}
	if b.remaining, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.remaining > 0 {
		return nil
	}
	if err := b.readTrailer(); err != nil {
		return err
	}
	b.done = true
	return nil
}

// readCRLF consumes the CRLF that ends a chunk.
func (b *Body) readCRLF() error {
	for _, want := range "\r\n" {
		c, err := b.in.ReadByte()
		if err != nil {
			return unexpectedEOF(err)
		}
		if rune(c) != want {
			return newError(400, "chunk does not end in CRLF")
		}
	}
	return nil
}

// readTrailer reads the trailer section into b.Trailer.
func (b *Body) readTrailer() error {
	var text []byte
	for {
		line, err := readLine(b.in, maxTrailerBytes)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		if len(text)+len(line) > maxTrailerBytes {
			return newError(431, "trailer exceeds %d bytes", maxTrailerBytes)
		}
		text = append(append(text, line...), "\r\n"...)
	}
	var err error
	b.Trailer, err = parseFields(string(text), nil, maxTrailerFields)
	return err
}

// Drain discards the rest of the body if that takes at most maxBytes. It
// reports whether the end was reached, so that the connection can carry
// another message.
func (b *Body) Drain(maxBytes int64) bool {
	if b.done {
		return true
	}
	if b.remaining > maxBytes {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxBytes+1))
	return err == nil && n <= maxBytes && b.done
}

// readLine reads a line that ends in CRLF and has at most maxBytes bytes, CRLF
// included. It returns the line without CRLF; the result is valid until the
// next read from in.
func readLine(in *bufio.Reader, maxBytes int) ([]byte, error) {
	var long []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(long)+len(part) > maxBytes {
			return nil, newError(400, "line in a chunked body exceeds %d bytes", maxBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if long != nil {
			part = append(long, part...)
		}
		if len(part) < 2 || part[len(part)-2] != '\r' {
			return nil, newError(400, "line in a chunked body ends in a bare LF")
		}
		return part[:len(part)-2], nil
	}
}

// parseChunkSize parses the hexadecimal size of a chunk-size line and ignores
// chunk extensions.
func parseChunkSize(line []byte) (int64, error) {
	var size int64
	digits := 0
	for _, c := range line {
		var d byte
		switch {
		case c >= '0' && c <= '9':
			d = c - '0'
		case c >= 'a' && c <= 'f':
			d = c - 'a' + 10
		case c >= 'A' && c <= 'F':
			d = c - 'A' + 10
		case c == ';' && digits > 0:
			return size, nil
		default:
			return 0, newError(400, "invalid chunk size %q", clip(line))
		}
		if digits++; digits > maxChunkSizeDigits {
			return 0, newError(400, "chunk size %q is too large", clip(line))
		}
		size = size<<4 | int64(d)
	}
	if digits == 0 {
		return 0, newError(400, "chunk-size line has no size")
	}
	return size, nil
}

// unexpectedEOF converts io.EOF inside a message to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
