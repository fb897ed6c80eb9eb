// Package tcpinfo queries the kernel for the receive state of a TCP connection:
// how long ago data last arrived and how much of it is unread.
package tcpinfo

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LastReceiveAge returns the time since data last arrived on a TCP connection
// (tcpi_last_data_recv of TCP_INFO, tcp(7)). Its unit is 1 ms and its resolution
// is the kernel's tick. It returns false if the kernel does not provide it.
func LastReceiveAge(raw syscall.RawConn) (time.Duration, bool) {
	if raw == nil {
		return 0, false
	}
	var age time.Duration
	ok := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age, ok = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return age, ok && err == nil
}

// UnreadBytes returns the number of bytes in a TCP connection's receive buffer
// (SIOCINQ, tcp(7)). It returns false if the kernel does not provide it.
func UnreadBytes(raw syscall.RawConn) (int, bool) {
	if raw == nil {
		return 0, false
	}
	n, ok := 0, false
	err := raw.Control(func(fd uintptr) {
		var err error
		n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		ok = err == nil
	})
	return n, ok && err == nil
}

// PendingConns returns the number of established connections that a listener has not
// accepted, or 0 if the kernel does not tell.
func PendingConns(raw syscall.RawConn) int {
	if raw == nil {
		return 0
	}
	pending := 0
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			pending = int(info.Unacked) // of a listening socket: the length of its accept queue
		}
	})
	return pending
}
