package http1

import (
	"bufio"
	"errors"
	"io"
)

// Bounds of the chunked coding's own lines.
const (
	chunkLineMost  = 256 // bytes of a chunk's size line, extensions included
	trailerMost    = 8 << 10
	trailerFields  = 32
	chunkDigitMost = 15 // hexadecimal digits: sizes stay under 2^60
)

// Body reads one message's body and no byte more.
type Body struct {
	in      *bufio.Reader
	left    int64 // of the fixed length, or of the chunk
	chunked bool
	begun   bool
	done    bool
	err     error
	Trailer Fields // after the end of a chunked body
}

// Reset makes b the body that f frames on in.
func (b *Body) Reset(in *bufio.Reader, f Framing) {
	*b = Body{in: in, left: f.Length, chunked: f.Chunked}
	b.done = !f.Chunked && f.Length == 0
}

// Done tells whether the whole body was read.
func (b *Body) Done() bool { return b.done }

// Remaining returns the bytes to come, or -1 where the coding does not tell.
func (b *Body) Remaining() int64 {
	if b.chunked {
		if b.done {
			return 0
		}
		return -1
	}
	return b.left
}

// Advance tells the body that n of its bytes were read past it, straight from
// the connection; only a body of fixed length can be read so.
func (b *Body) Advance(n int64) {
	b.left -= n
	b.done = b.left == 0
}

// Buffered returns how many of the body's bytes wait in the reader's buffer.
func (b *Body) Buffered() int64 { return min(int64(b.in.Buffered()), b.left) }

// Read reads from the body. A body cut short gives io.ErrUnexpectedEOF, a bad
// chunk an *Error.
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
	if b.chunked && b.left == 0 {
		if b.err = b.nextChunk(); b.err != nil {
			return 0, b.err
		}
		if b.done {
			return 0, io.EOF
		}
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		b.err = err
		return n, err
	}
	if b.left == 0 && !b.chunked {
		b.done = true
	}
	return n, nil
}

// nextChunk reads a chunk's size line, and the trailer after the last.
func (b *Body) nextChunk() error {
	if b.begun {
		if err := b.crlf(); err != nil {
			return err
		}
	}
	b.begun = true
	line, err := readLine(b.in, chunkLineMost)
	if err != nil {
		return err
	}
	if b.left, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.left > 0 {
		return nil
	}
	if err := b.readTrailer(); err != nil {
		return err
	}
	b.done = true
	return nil
}

func (b *Body) crlf() error {
	for _, want := range "\r\n" {
		c, err := b.in.ReadByte()
		if err != nil {
			return unexpected(err)
		}
		if rune(c) != want {
			return refuse(400, "chunk does not end in CRLF")
		}
	}
	return nil
}

func (b *Body) readTrailer() error {
	var text []byte
	for {
		line, err := readLine(b.in, trailerMost)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			break
		}
		if len(text)+len(line) > trailerMost {
			return refuse(431, "trailer over %d bytes", trailerMost)
		}
		text = append(append(text, line...), "\r\n"...)
	}
	var err error
	b.Trailer, err = parseFields(string(text), nil, trailerFields)
	return err
}

// Drain reads at most most bytes to the body's end and tells whether it got
// there, so that the connection may carry another message.
func (b *Body) Drain(most int64) bool {
	if b.done {
		return true
	}
	if b.left > most {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, most+1))
	return err == nil && n <= most && b.done
}

// readLine reads a CRLF line of at most most bytes; the result is valid until
// the next read.
func readLine(in *bufio.Reader, most int) ([]byte, error) {
	var long []byte
	for {
		part, err := in.ReadSlice('\n')
		if len(long)+len(part) > most {
			return nil, refuse(400, "line over %d bytes in a chunked body", most)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			return nil, unexpected(err)
		}
		if long != nil {
			part = append(long, part...)
		}
		if len(part) < 2 || part[len(part)-2] != '\r' {
			return nil, refuse(400, "line in a chunked body ends in a bare LF")
		}
		return part[:len(part)-2], nil
	}
}

// parseChunkSize reads the hexadecimal size before any extension.
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
			return 0, refuse(400, "bad chunk size %q", clip(line))
		}
		if digits++; digits > chunkDigitMost {
			return 0, refuse(400, "chunk size %q too large", clip(line))
		}
		size = size<<4 | int64(d)
	}
	if digits == 0 {
		return 0, refuse(400, "chunk without a size")
	}
	return size, nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
