package sockage

import "time"

// Coarse is the least age that tells anything beside the kernel's tick, which
// may be as long as 10 ms.
const Coarse = 20 * time.Millisecond
