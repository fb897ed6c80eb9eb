//go:build linux

package tcpinfo

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// connPair returns both ends of a connection.
func connPair(t *testing.T, network, addr string) (net.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	a, err := net.Dial(network, ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// The age counts from the arrival of data, not from its reading, and restarts
// when more data arrives.
func TestAgeIsOfTheLastBytes(t *testing.T) {
	a, b := connPair(t, "tcp", "127.0.0.1:0")
	raw, err := b.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := LastReceiveAge(nil); ok {
		t.Error("an age is returned without a connection")
	}
	const tick = 15 * time.Millisecond // the kernel's tick of 10 ms at 100 Hz, and a margin
	for range 2 {
		before := time.Now()
		a.Write([]byte("x"))
		after := time.Now()
		var buf [1]byte
		for n := 0; n == 0; n, _ = UnreadBytes(raw) { // until the byte has arrived
		}
		b.Read(buf[:])
		if n, ok := UnreadBytes(raw); n != 0 || !ok {
			t.Errorf("%d unread bytes after the only one was read, %v", n, ok)
		}
		for time.Since(before) < 80*time.Millisecond { // real time: the test compares it with the kernel's clock
			time.Sleep(5 * time.Millisecond)
			minAge := time.Since(after) - tick
			age, ok := LastReceiveAge(raw)
			if maxAge := time.Since(before) + tick; !ok || age < minAge || age > maxAge {
				t.Fatalf("age %s, %v; want between %s and %s", age, ok, minAge, maxAge)
			}
		}
	}
	_, u := connPair(t, "unix", filepath.Join(t.TempDir(), "s"))
	raw, err = u.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if age, ok := LastReceiveAge(raw); ok {
		t.Errorf("an age is returned for a Unix socket: %s", age)
	}
}
