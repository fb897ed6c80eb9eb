// Package peek looks at a socket without taking anything from it.
package sockstate

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// RawConn returns the descriptor of a connection; nil: it has none.
func RawConn(nc net.Conn) syscall.RawConn {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// look returns what a read of one byte on fd would say now.
func look(fd uintptr) (int, error) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

func later(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }

// Readable tells whether a read on the socket would return at once: bytes
// have come, or the peer has closed or broken the connection.
func Readable(raw syscall.RawConn) bool {
	ready := true
	err := raw.Control(func(fd uintptr) {
		_, err := look(fd)
		ready = !later(err)
	})
	return err != nil || ready
}

// AtEOF tells whether the peer has closed or broken the connection, and all
// that it sent before was read.
func AtEOF(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	gone := false
	err := raw.Control(func(fd uintptr) {
		n, err := look(fd)
		gone = err == nil && n == 0 || err != nil && !later(err)
	})
	return err != nil || gone
}

// PeerClosed tells whether the peer has closed or broken the connection, also where
// bytes that it sent before were not read yet.
func PeerClosed(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	left := false
	err := raw.Control(func(fd uintptr) {
		n, err := look(fd)
		left = err == nil && n == 0 || err != nil && !later(err)
		if err == nil && n > 0 {
			left = hungUp(fd)
		}
	})
	return err != nil || left
}

// HasPendingConn tells whether a listener has a connection to accept; where the kernel
// does not tell, it has none.
func HasPendingConn(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	raw.Control(func(fd uintptr) { pending = polled(fd, unix.POLLIN) })
	return pending
}

// hungUp asks for the end of what the peer sends behind bytes that lie unread;
// where the kernel does not tell, there is none.
func hungUp(fd uintptr) bool {
	return polled(fd, rdHup|unix.POLLHUP|unix.POLLERR)
}

// polled tells whether poll(2) has one of the events now.
func polled(fd uintptr, events int16) bool {
	ask := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(ask, 0)
	return err == nil && n == 1 && ask[0].Revents&events != 0
}

// WaitReadable waits, without a buffer, until there is a byte to read. io.EOF means
// that the peer closed; the connection's read deadline holds.
func WaitReadable(raw syscall.RawConn) error {
	var failed error
	err := raw.Read(func(fd uintptr) bool {
		n, err := look(fd)
		switch {
		case later(err):
			return false
		case err != nil:
			failed = err
		case n == 0:
			failed = io.EOF
		}
		return true
	})
	if err != nil {
		return err
	}
	return failed
}
