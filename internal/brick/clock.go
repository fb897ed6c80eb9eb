package brick

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// A write that was given up may still lie in a socket and run late. So that it does not
// replace a newer one, each answer of a brick carries the brick's clock, a counter of its
// changes, and each write carries the clock that its host had from the brick before: the
// brick executes the write only if its blob was not changed since. It is no time of day and
// is compared with values of the same run of the same brick alone.

// StatusStale is the status of a write whose HeaderSeen is from before the last change of
// its blob, or from another run of the brick (RFC 8470 section 5.2). It has no effect and
// may be sent again at once with the answer's HeaderClock.
const StatusStale = 425

// Clock is a value of a brick's clock. The zero value is that of a host that had no answer
// from the brick yet.
type Clock struct {
	Run     int64  // start of the run of the brick, in microseconds since 1970
	Version uint64 // of the brick's last change
}

// String returns the clock as HeaderClock and HeaderSeen carry it.
func (c Clock) String() string {
	return strconv.FormatInt(c.Run, 10) + "." + strconv.FormatUint(c.Version, 10)
}

var errBadClock = errors.New("must be RUN.VERSION, two decimal numbers")

// ParseClock parses the value of HeaderClock or HeaderSeen.
func ParseClock(text string) (Clock, error) {
	run, version, ok := strings.Cut(text, ".")
	if !ok {
		return Clock{}, fmt.Errorf("%q: %w", text, errBadClock)
	}
	var c Clock
	var err error
	if c.Run, err = strconv.ParseInt(run, 10, 64); err != nil || c.Run < 0 {
		return Clock{}, fmt.Errorf("%q: %w", text, errBadClock)
	}
	if c.Version, err = strconv.ParseUint(version, 10, 64); err != nil {
		return Clock{}, fmt.Errorf("%q: %w", text, errBadClock)
	}
	return c, nil
}

// maxClocks bounds the bricks whose clocks are kept. Without its clock a write is answered
// with StatusStale once.
const maxClocks = 1 << 14

// clocks keeps the last clock of each brick. It is safe for concurrent use.
type clocks struct {
	mu      sync.Mutex
	byBrick map[string]Clock
}

// note keeps the clock that a brick answered with.
func (k *clocks) note(brick string, c Clock) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.byBrick[brick]; ok && known.Run == c.Run && known.Version >= c.Version {
		return
	}
	if k.byBrick == nil || len(k.byBrick) >= maxClocks {
		k.byBrick = map[string]Clock{}
	}
	k.byBrick[brick] = c
}

// Clock returns the last clock of the brick with a name. The caller asks before the
// client can have had the final answer of the request that it sends.
func (p *Pool) Clock(brick string) Clock {
	p.clocks.mu.Lock()
	defer p.clocks.mu.Unlock()
	return p.clocks.byBrick[brick]
}
