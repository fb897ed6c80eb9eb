package tcpinfo

import "time"

// MinReliableAge is the smallest age that is meaningful given the resolution of
// the kernel's tick, which may be as coarse as 10 ms.
const MinReliableAge = 20 * time.Millisecond
