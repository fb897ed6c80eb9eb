//go:build !linux

package sockstate

// rdHup is an event that only Linux has; elsewhere a close behind unread bytes
// is seen when they have been read.
const rdHup = 0
