//go:build !linux

package sockstate

// pollRdHup is 0, since only Linux has the event. On other systems a close
// behind unread data is noticed only after the data has been read.
const pollRdHup = 0
