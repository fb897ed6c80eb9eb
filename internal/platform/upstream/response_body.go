package upstream

import (
	"errors"
	"io"
	"sync"

	"arrowwalk/internal/connpool"
	"arrowwalk/internal/http1"
)

// answerMax is the longest answer that is taken, bytes. The protocol's page
// says 64 KiB; bricks send some 400 KB, and what they spoil declares 3 GB.
const answerMax = 4 << 20

// blockMin is the memory that a first read of an answer is given, bytes: what
// is declared is believed only as it comes.
const blockMin = 64 << 10

var errOver = &http1.Error{Status: 502, Reason: "an answer over the bound"}

// errMemory tells that there is no memory to hold one more answer.
var errMemory = errors.New("no memory for an answer")

// blocks are buffers of blockMin bytes for reuse.
var blocks = sync.Pool{New: func() any { return make([]byte, 0, blockMin) }}

// ReleaseResponse gives the memory of the answer back; its bytes are not to be used any
// more.
func (c *Call) ReleaseResponse() {
	if n := cap(c.ResponseBody); n > 0 {
		c.sender.memory.Release(int64(n))
		if n == blockMin {
			blocks.Put(c.ResponseBody[:0])
		}
	}
	c.ResponseBody = nil
}

// grow gives the answer room for more, within want bytes in all.
func (c *Call) grow(want int64) error {
	n := min(max(2*cap(c.ResponseBody), blockMin), int(max(want, blockMin)))
	if !c.sender.memory.Acquire(int64(n)) {
		return errMemory
	}
	var next []byte
	if n == blockMin {
		next = blocks.Get().([]byte)
	} else {
		next = make([]byte, 0, n)
	}
	next = append(next, c.ResponseBody...)
	c.ReleaseResponse()
	c.ResponseBody = next
	return nil
}

// readBody reads the answer's body whole into c.Answer.
func (c *Call) readBody(nc *connpool.Conn, head *http1.Response) error {
	c.ReleaseResponse() // of an attempt before
	if head.Length > answerMax {
		return errOver
	}
	var body http1.Body
	body.Reset(nc.Reader, head.Framing)
	want := int64(answerMax)
	if !head.Chunked {
		want = head.Length
	}
	for !body.Done() {
		if len(c.ResponseBody) == cap(c.ResponseBody) {
			if len(c.ResponseBody) >= answerMax {
				return errOver
			}
			if err := c.grow(want); err != nil {
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
