package tcpinfo

import "time"

// MinReliableAge is the least age that tells anything beside the kernel's tick, which
// may be as long as 10 ms.
const MinReliableAge = 20 * time.Millisecond
