//go:build !linux

// Package sockage asks the kernel how long ago bytes last came in on a
// connection.
package tcpinfo

import (
	"syscall"
	"time"
)

// Age returns false: this system does not tell.
func Age(syscall.RawConn) (time.Duration, bool) { return 0, false }

// Unread returns false: this system does not tell.
func Unread(syscall.RawConn) (int, bool) { return 0, false }
