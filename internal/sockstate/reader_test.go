package sockstate

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// countingNotifier counts reads and waits and reports the latter on a channel.
type countingNotifier struct {
	reads int
	waits chan struct{}
}

func (n *countingNotifier) BeginRead() { n.reads++ }
func (n *countingNotifier) BeginWait() { n.waits <- struct{}{} }

// A Reader reports a wait exactly when everything that was received has been read, and
// ends like the connection's own Read.
func TestReaderNotifiesOfWaits(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	notifier := &countingNotifier{waits: make(chan struct{}, 10)}
	reader := &Reader{NetConn: server, Raw: RawConn(server), Notifier: notifier}
	client.Write([]byte("abc"))
	if err := WaitReadable(reader.Raw); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 2)
	for _, want := range []string{"ab", "c"} {
		if n, err := reader.Read(buf); err != nil || string(buf[:n]) != want || len(notifier.waits) != 0 {
			t.Fatalf("read %q, %v, %d waits; want %q and none", buf[:n], err, len(notifier.waits), want)
		}
	}
	go func() {
		<-notifier.waits // the reader waits before more is sent
		client.Write([]byte("d"))
	}()
	if n, err := reader.Read(buf); err != nil || string(buf[:n]) != "d" {
		t.Fatalf("read %q, %v after a wait", buf[:n], err)
	}
	server.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := reader.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after the read deadline: %v", err)
	}
	server.SetReadDeadline(time.Time{})
	client.Close()
	if n, err := reader.Read(buf); n != 0 || err != io.EOF {
		t.Errorf("after the end: %d, %v", n, err)
	}
	if notifier.reads < 5 {
		t.Errorf("%d reads were notified", notifier.reads)
	}
}
