//go:build !linux

// Package tcpinfo queries the kernel for the receive state of a TCP connection:
// how long ago data last arrived and how much of it is unread.
package tcpinfo

import (
	"syscall"
	"time"
)

// LastReceiveAge returns false, since this system does not provide it.
func LastReceiveAge(syscall.RawConn) (time.Duration, bool) { return 0, false }

// UnreadBytes returns false, since this system does not provide it.
func UnreadBytes(syscall.RawConn) (int, bool) { return 0, false }

// PendingConns returns 0.
func PendingConns(syscall.RawConn) int { return 0 }
