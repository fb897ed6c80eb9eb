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
	dir, err := store.Open(t.TempDir(), store.Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Start(ln, dir, opt)
	t.Cleanup(func() { s.Close(); dir.Close() })
	return s, dir
}

func call(t *testing.T, s *Server, c brick.Request) (*brick.Response, string) {
	t.Helper()
	p := brick.NewPool(brick.PoolOptions{})
	defer p.Close()
	c.Deadline = time.Now().Add(10 * time.Second)
	ans := &brick.Response{}
	if err := p.Do(&brick.Attempt{}, s.Addr(), &c, ans); err != nil {
		t.Fatal(err)
	}
	body, err := ans.ReadAll(p, nil, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	ans.Release(p, true)
	return ans, string(body)
}

// A keyed write and its repeats, at two bricks of a zone, take effect once.
func TestZoneDropsRepeats(t *testing.T) {
	zone := NewZone(time.Minute)
	a, dirA := serve(t, Options{ID: "a", Zone: zone})
	b, dirB := serve(t, Options{ID: "b", Zone: zone})
	put := brick.Request{Method: "PUT", Space: "o", Name: "k", Body: brick.Bytes("one"), Key: "key-1", Meta: []byte("m")}
	first, _ := call(t, a, put)
	var repeats atomic.Int32
	var wg sync.WaitGroup
	for i := range 8 {
		s := []*Server{a, b}[i%2]
		wg.Add(1)
		go func() {
			defer wg.Done()
			if ans, _ := call(t, s, put); ans.Repeat && ans.Version == first.Version {
				repeats.Add(1)
			}
		}()
	}
	wg.Wait()
	if repeats.Load() != 8 {
		t.Errorf("%d of 8 repeats were dropped", repeats.Load())
	}
	if n, _ := dirA.SpaceUsage("o"); n != 1 {
		t.Errorf("the first brick has %d blobs", n)
	}
	if n, _ := dirB.SpaceUsage("o"); n != 0 {
		t.Errorf("the second brick has %d blobs", n)
	}
	zone.mu.Lock()
	zone.Window = 0 // what came after the window is new
	zone.mu.Unlock()
	time.Sleep(time.Millisecond)
	if ans, _ := call(t, a, put); ans.Repeat {
		t.Error("a repeat after the window was dropped")
	}
}

func TestProtocol(t *testing.T) {
	s, _ := serve(t, Options{ID: "a"})
	put, _ := call(t, s, brick.Request{Method: "PUT", Space: "o", Name: "x/../%\x00é", Body: brick.Bytes("0123456789"), Meta: []byte("meta")})
	if put.Status != 200 || put.Version == 0 || !strings.HasPrefix(put.Brick, "a@") || put.Util < 0 {
		t.Errorf("put: %+v", put)
	}
	for _, c := range []struct {
		name   string
		call   brick.Request
		status int
		body   string
	}{
		{"whole", brick.Request{Method: "GET", Name: "x/../%\x00é"}, 200, "0123456789"},
		{"range", brick.Request{Method: "GET", Name: "x/../%\x00é", Range: "bytes=2-3"}, 206, "23"},
		{"suffix", brick.Request{Method: "GET", Name: "x/../%\x00é", Range: "bytes=-3"}, 206, "789"},
		{"beyond", brick.Request{Method: "GET", Name: "x/../%\x00é", Range: "bytes=10-"}, 416, "no byte of the range is there\n"},
		{"head", brick.Request{Method: "HEAD", Name: "x/../%\x00é"}, 200, ""},
		{"absent", brick.Request{Method: "GET", Name: "x"}, 404, "no such blob\n"},
		{"there already", brick.Request{Method: "PUT", Name: "x/../%\x00é", IfAbsent: true}, 412, "the blob's version is another\n"},
		{"other version", brick.Request{Method: "DELETE", Name: "x/../%\x00é", IfVersion: 5}, 412, "the blob's version is another\n"},
		{"deleted", brick.Request{Method: "DELETE", Name: "x/../%\x00é", IfVersion: put.Version}, 204, ""},
	} {
		c.call.Space = "o"
		if ans, body := call(t, s, c.call); ans.Status != c.status || body != c.body {
			t.Errorf("%s: %d %q, want %d %q", c.name, ans.Status, body, c.status, c.body)
		}
	}
}

// What the volume had through other hosts is told to each host once.
func TestOthers(t *testing.T) {
	s, _ := serve(t, Options{ID: "a", Meter: NewMeter(time.Hour)})
	for i, c := range []struct {
		host int
		want float64
	}{{1, 0}, {2, 0}, {2, 0}, {1, 4}, {1, 0}, {2, 4}} {
		ans, _ := call(t, s, brick.Request{Method: "GET", Space: "o", Name: "k", Host: c.host, Volume: 7, Units: 2})
		if ans.OtherHostsUnits != c.want {
			t.Errorf("call %d by host %d: %g units through others, want %g", i, c.host, ans.OtherHostsUnits, c.want)
		}
	}
}

// A full queue is told before the work is seen; a disk that takes no writes
// refuses them and still reads.
func TestFullQueueAndReadOnlyDisk(t *testing.T) {
	hold := make(chan struct{})
	s, dir := serve(t, Options{ID: "a", Workers: 1, MaxQueue: 1, Zone: NewZone(time.Minute)})
	if _, _, err := dir.Put(context.Background(), "o", store.Info{Name: "k", Size: 1}, strings.NewReader("x"), nil, store.Condition{}); err != nil {
		t.Fatal(err)
	}
	s.line.enter(admission.Read, 1) // the one worker is busy
	over := make(chan struct{})
	go func() { // and one waits
		defer close(over)
		s.line.enter(admission.Read, 1)
		<-hold
		s.line.leave(admission.Read)
	}()
	for s.line.waiting() == 0 {
		runtime.Gosched()
	}
	p := brick.NewPool(brick.PoolOptions{})
	defer p.Close()
	err := p.Do(&brick.Attempt{}, s.Addr(), &brick.Request{Method: "GET", Space: "o", Name: "k", Deadline: time.Now().Add(5 * time.Second)}, &brick.Response{})
	if f, ok := err.(*brick.Failure); !ok || f.Reason != brick.ReasonFull {
		t.Errorf("with a full queue: %v", err)
	}
	s.line.leave(admission.Read)
	close(hold)
	<-over
	if got := statusOf(&os.PathError{Op: "write", Err: os.ErrPermission}); got != 507 {
		t.Errorf("a disk that takes no writes: %d", got)
	}
	if ans, body := call(t, s, brick.Request{Method: "GET", Space: "o", Name: "k"}); ans.Status != 200 || body != "x" {
		t.Errorf("read: %d %q", ans.Status, body)
	}
}
