// Package sockage asks the kernel how long ago bytes last came in on a
// connection.
package tcpinfo

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LastReceiveAge returns the time since bytes last came in on a TCP connection
// (tcpi_last_data_recv of TCP_INFO, tcp(7), in milliseconds by the kernel's
// tick); false: the kernel does not tell.
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

// UnreadBytes returns how many bytes lie in a TCP connection's receive buffer
// (SIOCINQ, tcp(7)); false: the kernel does not tell.
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
