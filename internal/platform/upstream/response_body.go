package upstream

import (
	"errors"
	"io"
	"sync"

	"arrowwalk/internal/connpool"
	"arrowwalk/internal/http1"
)

// maxResponseBodyBytes is the longest response body that is accepted. The
// protocol says 64 KiB, but bricks send some 400 KB, and corrupted responses
// declare 3 GB.
const maxResponseBodyBytes = 4 << 20

// minBufferBytes is the size of the first buffer for a response body. The buffer
// grows as data arrives, since the declared length cannot be trusted.
const minBufferBytes = 64 << 10

var errTooLong = &http1.Error{Status: 502, Reason: "response body is longer than the limit"}

// errNoMemory reports that the memory for response bodies is used up.
var errNoMemory = errors.New("no memory for another response body")

// buffers holds buffers of minBufferBytes for reuse.
var buffers = sync.Pool{New: func() any { return make([]byte, 0, minBufferBytes) }}

// ReleaseResponse releases the memory of ResponseBody, which must not be used
// afterwards.
func (c *Call) ReleaseResponse() {
	if n := cap(c.ResponseBody); n > 0 {
		c.sender.memory.Release(int64(n))
		if n == minBufferBytes {
			//lint:ignore SA6002 the slice header is all that is allocated
			buffers.Put(c.ResponseBody[:0])
		}
	}
	c.ResponseBody = nil
}

// grow enlarges the buffer of the response body, but not beyond maxBytes unless
// that is less than minBufferBytes.
func (c *Call) grow(maxBytes int64) error {
	n := min(max(2*cap(c.ResponseBody), minBufferBytes), int(max(maxBytes, minBufferBytes)))
	if !c.sender.memory.Acquire(int64(n)) {
		return errNoMemory
	}
	var next []byte
	if n == minBufferBytes {
		next = buffers.Get().([]byte)
	} else {
		next = make([]byte, 0, n)
	}
	next = append(next, c.ResponseBody...)
	c.ReleaseResponse()
	c.ResponseBody = next
	return nil
}

// readBody reads the whole response body into c.ResponseBody.
func (c *Call) readBody(nc *connpool.Conn, head *http1.Response) error {
	c.ReleaseResponse() // of an earlier attempt
	if head.Length > maxResponseBodyBytes {
		return errTooLong
	}
	var body http1.Body
	body.Reset(nc.Reader, head.Framing)
	maxBytes := int64(maxResponseBodyBytes)
	if !head.Chunked {
		maxBytes = head.Length
	}
	for !body.Done() {
		if len(c.ResponseBody) == cap(c.ResponseBody) {
			if len(c.ResponseBody) >= maxResponseBodyBytes {
				return errTooLong
			}
			if err := c.grow(maxBytes); err != nil {
				return err
			}
		}
		n, err := body.Read(c.ResponseBody[len(c.ResponseBody):cap(c.ResponseBody)])
		c.ResponseBody = c.ResponseBody[:len(c.ResponseBody)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}
