package sockstate

import "golang.org/x/sys/unix"

// rdHup is poll's event of a peer that has shut its side (poll(2)).
const rdHup = unix.POLLRDHUP
