//go:build linux

package tcpinfo

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func pair(t *testing.T, network, addr string) (net.Conn, net.Conn) {
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

// The age grows from when bytes came, not from when they are read, and starts
// anew with the next bytes.
func TestAgeIsOfTheLastBytes(t *testing.T) {
	a, b := pair(t, "tcp", "127.0.0.1:0")
	raw, err := b.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := LastReceiveAge(nil); ok {
		t.Error("no connection has an age")
	}
	const tick = 15 * time.Millisecond // of the kernel, at 100 Hz and some more
	for range 2 {
		before := time.Now()
		a.Write([]byte("x"))
		after := time.Now()
		var one [1]byte
		for n := 0; n == 0; n, _ = UnreadBytes(raw) { // it is on its way
		}
		b.Read(one[:])
		if n, ok := UnreadBytes(raw); n != 0 || !ok {
			t.Errorf("%d bytes are left of one, %v", n, ok)
		}
		for time.Since(before) < 80*time.Millisecond { // the clock itself is what is tested
			time.Sleep(5 * time.Millisecond)
			low := time.Since(after) - tick
			age, ok := LastReceiveAge(raw)
			if high := time.Since(before) + tick; !ok || age < low || age > high {
				t.Fatalf("age %s, %v; between %s and %s", age, ok, low, high)
			}
		}
	}
	_, u := pair(t, "unix", filepath.Join(t.TempDir(), "s"))
	raw, err = u.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if age, ok := LastReceiveAge(raw); ok {
		t.Errorf("a Unix socket's age is told: %s", age)
	}
}
