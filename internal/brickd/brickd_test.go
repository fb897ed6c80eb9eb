package brickd

import (
	"context"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store"
	"arrowwalk/internal/store/admission"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, opt Options) (*Server, *store.Store) {
	t.Helper()
	blobs, err := store.Open(t.TempDir(), store.Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Start(ln, blobs, opt)
	t.Cleanup(func() { s.Close(); blobs.Close() })
	return s, blobs
}

func do(t *testing.T, s *Server, req brick.Request) (*brick.Response, string) {
	t.Helper()
	p := brick.NewPool(brick.PoolOptions{})
	defer p.Close()
	req.Deadline = time.Now().Add(10 * time.Second)
	resp := &brick.Response{}
	if err := p.Do(&brick.Attempt{}, s.Addr(), &req, resp); err != nil {
		t.Fatal(err)
	}
	body, err := resp.ReadAll(p, nil, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	resp.Release(p, true)
	return resp, string(body)
}

// A keyed write and its duplicates, sent to two bricks of a zone, take effect once.
func TestZoneDropsRepeats(t *testing.T) {
	zone := NewZone(time.Minute)
	a, blobsA := serve(t, Options{ID: "a", Zone: zone})
	b, blobsB := serve(t, Options{ID: "b", Zone: zone})
	put := brick.Request{Method: "PUT", Space: "o", Name: "k", Body: brick.Bytes("one"), Key: "key-1", Meta: []byte("m")}
	first, _ := do(t, a, put)
	var repeats atomic.Int32
	var wg sync.WaitGroup
	for i := range 8 {
		s := []*Server{a, b}[i%2]
		wg.Add(1)
		go func() {
			defer wg.Done()
			if resp, _ := do(t, s, put); resp.Repeat && resp.Version == first.Version {
				repeats.Add(1)
			}
		}()
	}
	wg.Wait()
	if repeats.Load() != 8 {
		t.Errorf("%d of 8 duplicates were dropped", repeats.Load())
	}
	if n, _ := blobsA.SpaceUsage("o"); n != 1 {
		t.Errorf("the first brick has %d blobs", n)
	}
	if n, _ := blobsB.SpaceUsage("o"); n != 0 {
		t.Errorf("the second brick has %d blobs", n)
	}
	zone.mu.Lock()
	zone.Window = 0 // writes after the window are executed again
	zone.mu.Unlock()
	time.Sleep(time.Millisecond)
	if resp, _ := do(t, a, put); resp.Repeat {
		t.Error("a duplicate after the window was dropped")
	}
}

func TestProtocol(t *testing.T) {
	s, _ := serve(t, Options{ID: "a"})
	put, _ := do(t, s, brick.Request{Method: "PUT", Space: "o", Name: "x/../%\x00é", Body: brick.Bytes("0123456789"), Meta: []byte("meta")})
	if put.Status != 200 || put.Version == 0 || !strings.HasPrefix(put.Brick, "a@") || put.Util < 0 {
		t.Errorf("put: %+v", put)
	}
	for _, c := range []struct {
		name   string
		req    brick.Request
		status int
		body   string
	}{
		{"whole", brick.Request{Method: "GET", Name: "x/../%\x00é"}, 200, "0123456789"},
		{"range", brick.Request{Method: "GET", Name: "x/../%\x00é", Range: "bytes=2-3"}, 206, "23"},
		{"suffix", brick.Request{Method: "GET", Name: "x/../%\x00é", Range: "bytes=-3"}, 206, "789"},
		{"beyond", brick.Request{Method: "GET", Name: "x/../%\x00é", Range: "bytes=10-"}, 416, "range is beyond the end of the blob\n"},
		{"head", brick.Request{Method: "HEAD", Name: "x/../%\x00é"}, 200, ""},
		{"absent", brick.Request{Method: "GET", Name: "x"}, 404, "no such blob\n"},
		{"already exists", brick.Request{Method: "PUT", Name: "x/../%\x00é", IfAbsent: true}, 412, "the blob's version is another\n"},
		{"other version", brick.Request{Method: "DELETE", Name: "x/../%\x00é", IfVersion: 5}, 412, "the blob's version is another\n"},
		{"deleted", brick.Request{Method: "DELETE", Name: "x/../%\x00é", IfVersion: put.Version}, 204, ""},
	} {
		c.req.Space = "o"
		if resp, body := do(t, s, c.req); resp.Status != c.status || body != c.body {
			t.Errorf("%s: %d %q, want %d %q", c.name, resp.Status, body, c.status, c.body)
		}
	}
}

// Each host is told once how many units a volume was served through other hosts.
func TestOthers(t *testing.T) {
	s, _ := serve(t, Options{ID: "a", Meter: NewMeter(time.Hour)})
	for i, c := range []struct {
		host int
		want float64
	}{{1, 0}, {2, 0}, {2, 0}, {1, 4}, {1, 0}, {2, 4}} {
		resp, _ := do(t, s, brick.Request{Method: "GET", Space: "o", Name: "k", Host: c.host, Volume: 7, Units: 2})
		if resp.OtherHostsUnits != c.want {
			t.Errorf("call %d by host %d: %g units through others, want %g", i, c.host, resp.OtherHostsUnits, c.want)
		}
	}
}

// A request that finds the queue full is rejected before it is processed. Errors of
// a disk that accepts no writes map to 507, and reads still succeed.
func TestFullQueueAndReadOnlyDisk(t *testing.T) {
	proceed := make(chan struct{})
	s, blobs := serve(t, Options{ID: "a", Workers: 1, MaxQueue: 1, Zone: NewZone(time.Minute)})
	if _, _, err := blobs.Put(context.Background(), "o", store.Info{Name: "k", Size: 1}, strings.NewReader("x"), nil, store.Condition{}); err != nil {
		t.Fatal(err)
	}
	s.queue.acquire(admission.Read, 1) // occupy the only worker
	finished := make(chan struct{})
	go func() { // and fill the queue
		defer close(finished)
		s.queue.acquire(admission.Read, 1)
		<-proceed
		s.queue.release(admission.Read)
	}()
	for s.queue.length() == 0 {
		runtime.Gosched()
	}
	p := brick.NewPool(brick.PoolOptions{})
	defer p.Close()
	err := p.Do(&brick.Attempt{}, s.Addr(), &brick.Request{Method: "GET", Space: "o", Name: "k", Deadline: time.Now().Add(5 * time.Second)}, &brick.Response{})
	if f, ok := err.(*brick.Failure); !ok || f.Reason != brick.ReasonFull {
		t.Errorf("with a full queue: %v", err)
	}
	s.queue.release(admission.Read)
	close(proceed)
	<-finished
	if got := statusOf(&os.PathError{Op: "write", Err: os.ErrPermission}); got != 507 {
		t.Errorf("status %d for a disk that accepts no writes", got)
	}
	if resp, body := do(t, s, brick.Request{Method: "GET", Space: "o", Name: "k"}); resp.Status != 200 || body != "x" {
		t.Errorf("read: %d %q", resp.Status, body)
	}
}
