// Package sockstate queries the state of a socket without consuming any data:
// whether it is readable, whether the peer has closed it, and whether a listener
// has a connection to accept.
package sockstate

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// RawConn returns access to the descriptor of a connection, or nil if it has
// none.
func RawConn(nc net.Conn) syscall.RawConn {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// peekByte returns the result that a non-blocking read of one byte on fd would
// have, without consuming the byte.
func peekByte(fd uintptr) (int, error) {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// isRetryable reports whether err only means that there is nothing to read yet.
func isRetryable(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }

// Readable reports whether a read on the socket would return at once, because
// there is data or because the peer has closed or reset the connection.
func Readable(raw syscall.RawConn) bool {
	ready := true
	err := raw.Control(func(fd uintptr) {
		_, err := peekByte(fd)
		ready = !isRetryable(err)
	})
	return err != nil || ready
}

// AtEOF reports whether the peer has closed or reset the connection and all data
// that it sent has been read. It returns false for a nil raw.
func AtEOF(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	atEOF := false
	err := raw.Control(func(fd uintptr) {
		n, err := peekByte(fd)
		atEOF = err == nil && n == 0 || err != nil && !isRetryable(err)
	})
	return err != nil || atEOF
}

// PeerClosed reports whether the peer has closed or reset the connection, even
// if data that it sent before has not been read yet. It returns false for a nil
// raw.
func PeerClosed(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	closed := false
	err := raw.Control(func(fd uintptr) {
		n, err := peekByte(fd)
		closed = err == nil && n == 0 || err != nil && !isRetryable(err)
		if err == nil && n > 0 {
			closed = isHungUp(fd)
		}
	})
	return err != nil || closed
}

// HasPendingConn reports whether a listener has a connection to accept. It
// returns false if the listener has no descriptor to query.
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
	raw.Control(func(fd uintptr) { pending = pollNow(fd, unix.POLLIN) })
	return pending
}

// isHungUp reports whether the peer has ended its side of the connection, even
// behind unread data. It returns false if the kernel cannot tell.
func isHungUp(fd uintptr) bool {
	return pollNow(fd, pollRdHup|unix.POLLHUP|unix.POLLERR)
}

// pollNow reports whether poll(2) returns one of the events without waiting.
func pollNow(fd uintptr, events int16) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n == 1 && fds[0].Revents&events != 0
}

// WaitReadable waits until there is a byte to read. It needs no read buffer, so
// an idle connection holds no memory for one. It returns io.EOF if the peer has
// closed the connection, and respects the connection's read deadline.
func WaitReadable(raw syscall.RawConn) error {
	var readErr error
	err := raw.Read(func(fd uintptr) bool {
		n, err := peekByte(fd)
		switch {
		case isRetryable(err):
			return false
		case err != nil:
			readErr = err
		case n == 0:
			readErr = io.EOF
		}
		return true
	})
	if err != nil {
		return err
	}
	return readErr
}
