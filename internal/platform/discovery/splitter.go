package discovery

import (
	"errors"
	"fmt"
)

// Limits of one JSON object on a watch.
const (
	maxObjectBytes = 4 << 20
	maxDepth       = 16 // nested brackets; a list has three
)

// maxKeptBufferBytes is the largest buffer that is kept for the next object.
const maxKeptBufferBytes = 64 << 10

var (
	errTooLong   = fmt.Errorf("object from discovery exceeds %d bytes", maxObjectBytes)
	errTooDeep   = fmt.Errorf("object from discovery is nested deeper than %d levels", maxDepth)
	errNotObject = errors.New("data from discovery is not a JSON object")
)

// splitter splits the byte stream of a watch into JSON objects, which may extend
// over several lines and arrive in several parts. It only follows brackets and
// strings and leaves the rest to the decoder. Its zero value is ready to use; it
// must not be used after an error.
type splitter struct {
	object   []byte // received so far
	depth    int    // open brackets
	inString bool
	escaped  bool // the last byte was a backslash in a string
}

// feed processes the next bytes of the stream and calls handle with each object
// that they complete; the argument is valid until handle returns. alive reports
// whether the bytes show that the sender is alive, by the end of an object or by
// an empty line between objects. Bytes that complete neither do not count, so that
// an unfinished object cannot keep a watch open.
func (s *splitter) feed(data []byte, handle func(object []byte) error) (alive bool, err error) {
	for _, b := range data {
		if s.depth == 0 {
			switch b {
			case '\n':
				alive = true
				continue
			case ' ', '\t', '\r':
				continue
			case '{':
			default:
				return alive, errNotObject
			}
		}
		if len(s.object) == maxObjectBytes {
			return alive, errTooLong
		}
		s.object = append(s.object, b)
		if s.step(b); s.depth > maxDepth {
			return alive, errTooDeep
		}
		if s.depth > 0 {
			continue
		}
		alive = true
		if err := handle(s.object); err != nil {
			return alive, err
		}
		if s.object = s.object[:0]; cap(s.object) > maxKeptBufferBytes {
			s.object = nil
		}
	}
	return alive, nil
}

// step updates the state for one byte of an object.
func (s *splitter) step(b byte) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped, s.inString = b == '\\', b != '"'
	case b == '"':
		s.inString = true
	case b == '{' || b == '[':
		s.depth++
	case b == '}' || b == ']':
		s.depth--
	}
}
