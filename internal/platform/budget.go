package platform

import (
	"math"
	"runtime"
	"runtime/debug"
)

// resourceBudget divides a host's limits among their users.
type resourceBudget struct {
	clientConns           int   // client connections
	idleEvictionThreshold int   // client connections from which idle ones are evicted
	brickConns            int   // connections to bricks
	requestBytes          int64 // request bodies held at once
	responseBytes         int64 // response bodies held at once
	heapBytes             int64 // the runtime's soft memory limit
}

// reservedDescriptors is the number of descriptors kept for the listener, the
// watch on discovery, the runtime and the standard streams.
const reservedDescriptors = 24

// divideLimits divides the limits. Clients use at most a third of the descriptors
// for requests; the rest of their share is for silent and rejected connections.
// Each request in progress needs at most one connection to a brick. Clients that
// keep their connections open for good could use up their third so that nobody
// else can connect, so idle connections are evicted from half of it on.
func divideLimits(l Limits) resourceBudget {
	descriptors := l.Sockets - reservedDescriptors
	memoryBytes := int64(l.MemoryMB * (1 << 20))
	clientConns := descriptors * 6 / 10
	return resourceBudget{
		clientConns:           clientConns,
		idleEvictionThreshold: l.Sockets / 6,
		brickConns:            descriptors - clientConns,
		requestBytes:          memoryBytes / 8,
		responseBytes:         memoryBytes / 4,
		heapBytes:             memoryBytes * 6 / 10,
	}
}

// apply sets the runtime's processor and memory limits.
func (b resourceBudget) apply(l Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(b.heapBytes)
}

// ApplyLimits makes the runtime of this process observe the configured limits.
func (c *Config) ApplyLimits() { divideLimits(c.Limits).apply(c.Limits) }
