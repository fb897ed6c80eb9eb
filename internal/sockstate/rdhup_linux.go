package sockstate

import "golang.org/x/sys/unix"

// pollRdHup is the event for a peer that has shut down its sending side
// (poll(2)).
const pollRdHup = unix.POLLRDHUP
