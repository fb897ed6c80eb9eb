package netdrain

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func listen(t *testing.T) *Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return New(ln.(*net.TCPListener))
}

// Connections that were established before Drain are accepted after it, and no others.
func TestDrainAcceptsEstablishedConnections(t *testing.T) {
	testDrain(t, listen(t))
}

// Guards against a listener that closes over connections that are established: on a busy
// machine the wait is over before the first is accepted, and many an Accept runs into its
// deadline without a look.
func TestDrainAcceptsEstablishedConnectionsWhenItIsLate(t *testing.T) {
	l := listen(t)
	calls := 0
	l.acceptTimeout = func() time.Duration {
		if calls++; calls%3 == 0 {
			return time.Second
		}
		return -time.Second
	}
	testDrain(t, l)
}

func testDrain(t *testing.T, l *Listener) {
	t.Helper()
	isLate := l.acceptTimeout() != finalAcceptTimeout
	const established = 50
	for range established {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if _, err := io.WriteString(nc, "request"); err != nil {
			t.Fatal(err)
		}
	}
	l.Drain()
	if isLate {
		l.waitEnd = time.Now()
	}
	accepted := 0
	for ; ; accepted++ {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		nc.Close()
	}
	if accepted != established {
		t.Errorf("%d connections accepted, want %d", accepted, established)
	}
	if nc, err := net.Dial("tcp", l.Addr().String()); err == nil {
		nc.Close()
		t.Error("a drained listener accepts connections")
	}
}

// Drain ends a waiting Accept.
func TestDrainEndsAccept(t *testing.T) {
	l := listen(t)
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	l.Drain()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
}

// Guards against a stop that does not end while clients keep connecting: whenever the
// listener looks, there is a further connection.
func TestDrainEndsBesideClientsThatKeepConnecting(t *testing.T) {
	l := listen(t)
	dial := func() {
		if nc, err := net.Dial("tcp", l.Addr().String()); err == nil {
			nc.Close()
		}
	}
	dial()
	l.Drain()
	for deadline := time.Now().Add(5 * time.Second); ; dial() {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		nc.Close()
		if time.Now().After(deadline) {
			l.Close()
			t.Fatal("the listener is still open")
		}
	}
}
