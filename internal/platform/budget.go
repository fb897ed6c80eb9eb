package platform

import (
	"math"
	"runtime"
	"runtime/debug"
)

// budget is how the limits are shared out among what uses them.
type budget struct {
	clients int   // connections of clients
	easy    int   // connections of clients from which on idle ones are closed
	bricks  int   // connections to bricks
	bodies  int64 // bytes of clients' bodies held at once
	answers int64 // bytes of bricks' answers held at once
	heap    int64 // bytes that the runtime tries to stay under
}

// Kept back of the descriptors for the listener, discovery's watch, the
// runtime's own and standard streams.
const ownSockets = 24

// share divides the limits. Clients hold at most a third of the descriptors for
// requests; the rest of their part is for those that are silent or refused. A
// brick's connection is needed for each open request at most. Clients that keep
// connections for good would use up their third, and then cannot connect: idle
// ones are closed from a half of it on.
func share(l Limits) budget {
	sockets := l.Sockets - ownSockets
	memory := int64(l.MemoryMB * (1 << 20))
	clients := sockets * 6 / 10
	return budget{clients: clients, easy: l.Sockets / 6, bricks: sockets - clients, bodies: memory / 8, answers: memory / 4, heap: memory * 6 / 10}
}

// apply tells the runtime what it may use.
func (b budget) apply(l Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(b.heap)
}

// ApplyLimits has the runtime of this process keep the configuration's limits.
func (c *Config) ApplyLimits() { share(c.Limits).apply(c.Limits) }
