package brickd

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store"
)

// flippingProxy forwards connections to a brick and flips one bit of one direction of
// each connection's bytes.
type flippingProxy struct {
	listener    net.Listener
	brick       string
	ofAnswer    bool
	bit         atomic.Int64 // which bit of the stream is flipped; -1: none
	forwarded   atomic.Int64 // bytes of that direction in the last connection
	flipped     atomic.Bool  // the last connection had that bit
	connections sync.WaitGroup
}

func newFlippingProxy(t *testing.T, brickAddress string, ofAnswer bool) *flippingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &flippingProxy{listener: listener, brick: brickAddress, ofAnswer: ofAnswer}
	p.bit.Store(-1)
	p.connections.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			p.connections.Go(func() { p.serve(client) })
		}
	})
	t.Cleanup(func() { listener.Close(); p.connections.Wait() })
	return p
}

func (p *flippingProxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", p.brick)
	if err != nil {
		return
	}
	defer server.Close()
	var requests sync.WaitGroup
	requests.Go(func() {
		p.forward(server, client, !p.ofAnswer)
		server.Close()
	})
	p.forward(client, server, p.ofAnswer)
	client.Close()
	requests.Wait()
}

// forward copies from source to target until either is closed.
func (p *flippingProxy) forward(target io.Writer, source io.Reader, flips bool) {
	buf := make([]byte, 8<<10)
	for total := int64(0); ; {
		n, err := source.Read(buf)
		if at := p.bit.Load() - 8*total; flips && at >= 0 && at < int64(8*n) {
			buf[at/8] ^= 1 << (at % 8)
			p.flipped.Store(true)
		}
		if total += int64(n); flips {
			p.forwarded.Store(total)
		}
		if _, writeErr := target.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// send sends a request through the proxy on a connection of its own, and reads the whole
// answer. It fails on an answer of 400 or more.
func (p *flippingProxy) send(request brick.Request, timeout time.Duration) (response brick.Response, body []byte, ok bool) {
	pool := brick.NewPool(brick.PoolOptions{})
	defer pool.Close()
	request.RequestID, request.Deadline = "host-1.1", time.Now().Add(timeout)
	if err := pool.Do(&brick.Attempt{}, p.listener.Addr().String(), &request, &response); err != nil {
		return response, nil, false
	}
	body, err := response.ReadAll(pool, nil, 1<<20)
	response.Release(pool, false)
	return response, body, err == nil && response.Status < 400
}

// flippedTimeout is how long a request with a flipped bit waits: some flips leave the
// brick or the host waiting for the end of a head.
const flippedTimeout = 100 * time.Millisecond

// bitStep is the distance of the flipped bits: each place in a byte is flipped in each
// 8 bytes.
const bitStep = 7

// flipBits sends the request once as it is, and then with one bit of its, or its
// answer's, bytes flipped, all over them. It calls check after each.
func (p *flippingProxy) flipBits(t *testing.T, request brick.Request, check func(bit int64, served bool)) {
	t.Helper()
	p.bit.Store(-1)
	if response, _, ok := p.send(request, 10*time.Second); !ok {
		t.Fatalf("%s without a flipped bit: status %d", request.Method, response.Status)
	}
	bits := 8 * p.forwarded.Load()
	for bit := int64(0); bit < bits; bit += bitStep {
		p.bit.Store(bit)
		p.flipped.Store(false)
		_, _, served := p.send(request, flippedTimeout)
		if p.flipped.Load() { // heads differ in length by some digits of the deadline and the load
			check(bit, served)
		}
	}
}

// Guards against a served answer of which one bit differs from what the brick sent: in a
// blob's metadata, its version, a list, or anything else beside the body.
func TestFlippedBitOfAnswerIsNotServed(t *testing.T) {
	for name, request := range map[string]brick.Request{
		"read":      {Method: "GET", Space: "o", Name: "papers/k"},
		"head":      {Method: "HEAD", Space: "o", Name: "papers/k"},
		"list":      {Method: "GET", Space: "o", List: &brick.ListQuery{Prefix: "papers/", MaxItems: 10}},
		"overwrite": {Method: "PUT", Space: "o", Name: "papers/k", Body: brick.Bytes("text"), Meta: []byte(`{"e":"etag"}`), Whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := serve(t, Options{ID: "a"})
			do(t, s, brick.Request{Method: "PUT", Space: "o", Name: "papers/k", Body: brick.Bytes("text"), Meta: []byte(`{"e":"etag"}`), Whole: true})
			proxy := newFlippingProxy(t, s.Addr(), true)
			proxy.flipBits(t, request, func(bit int64, served bool) {
				if served {
					t.Errorf("bit %d was flipped, and the answer was served", bit)
				}
			})
		})
	}
}

// Guards against a write that stores other metadata, under another name or condition,
// than the host sent, because one bit of the request was flipped.
func TestFlippedBitOfRequestHasNoEffect(t *testing.T) {
	for name, request := range map[string]brick.Request{
		"put":    {Method: "PUT", Space: "o", Name: "papers/k", Body: brick.Bytes("text"), Meta: []byte(`{"e":"etag"}`), Whole: true, Trash: "t"},
		"delete": {Method: "DELETE", Space: "o", Name: "papers/k", Trash: "t"},
		"patch":  {Method: "PATCH", Space: "x", Name: "vm-1/0", Epoch: 1, Number: 5, Offset: 4096, Truncate: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, blobs := serve(t, Options{ID: "a"})
			proxy := newFlippingProxy(t, s.Addr(), false)
			do(t, s, brick.Request{Method: "PUT", Space: "o", Name: "papers/k", Body: brick.Bytes("old")})
			before := ""
			proxy.flipBits(t, request, func(bit int64, served bool) {
				after := contents(t, blobs)
				if before == "" {
					before = after
				}
				if served || after != before {
					t.Errorf("bit %d was flipped: served %v, stored something else: %v", bit, served, after != before)
					before = after
				}
			})
		})
	}
}

// contents returns all that a store holds.
func contents(t *testing.T, blobs *store.Store) string {
	t.Helper()
	snapshot := blobs.Snapshot()
	defer snapshot.Close()
	var export strings.Builder
	if _, err := snapshot.Export(t.Context(), &export); err != nil {
		t.Fatal(err)
	}
	return export.String()
}
