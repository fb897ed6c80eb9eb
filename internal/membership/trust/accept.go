package trust

import "time"

// Offer is a list that a source offers.
type Offer struct {
	Source     string
	Version    int64 // grows within one source
	BrickCount int
	At         time.Duration // since any fixed moment
}

// Decision says what becomes of an offer.
type Decision int

const (
	// Accept the list.
	Accept Decision = iota
	// Unchanged as the one that is held: nothing to do but to note that it was
	// confirmed.
	Unchanged
	// Hold the list that was taken before; the offer may be taken later.
	Hold
)

// Gate decides which lists are taken. The rules, in order:
//
//  1. The first list of a source is taken, unless it is empty while bricks are
//     known (rule 3).
//  2. A version lower than the one held is a source that went back in time, a
//     stale follower or a restored ensemble. It is held off until it has been
//     offered, and nothing higher, for BackFor: then the past is the truth.
//  3. An empty list while bricks are known is a wiped or half-made tree. It is
//     held off until it has been offered, and nothing else, EmptyTimes times
//     over at least EmptyFor: a site does not lose all its bricks by one word.
//
// A list that lacks some bricks but not all is taken at once: nothing may go
// to a brick for longer than the grace after it vanished.
type Gate struct {
	RollbackHold time.Duration // BackFor of rule 2
	EmptyHold    time.Duration // EmptyFor of rule 3
	EmptyRepeats int           // EmptyTimes of rule 3

	source  string
	version int64
	bricks  int
	held    bool // a list is held

	backSince, emptySince time.Duration
	backSeen, emptySeen   int
}

// NewGate returns a Gate with the given patience, holding what a kept list
// has: the number of its bricks, but no version of a source.
func NewGate(back, empty time.Duration, times, bricks int) *Gate {
	return &Gate{RollbackHold: back, EmptyHold: empty, EmptyRepeats: times, bricks: bricks}
}

// Decide decides on a list; reason says in a word why one is held off.
func (g *Gate) Decide(o Offer) (answer Decision, reason string) {
	if o.BrickCount == 0 && g.bricks > 0 {
		if g.emptySeen == 0 {
			g.emptySince = o.At
		}
		g.emptySeen++
		if g.emptySeen < g.EmptyRepeats || o.At-g.emptySince < g.EmptyHold {
			return Hold, "empty"
		}
	} else {
		g.emptySeen = 0
	}
	if g.held && o.Source == g.source {
		switch {
		case o.Version == g.version && o.BrickCount == g.bricks:
			g.backSeen = 0
			return Unchanged, ""
		case o.Version < g.version:
			if g.backSeen == 0 {
				g.backSince = o.At
			}
			g.backSeen++
			if o.At-g.backSince < g.RollbackHold {
				return Hold, "older"
			}
		}
	}
	g.source, g.version, g.bricks, g.held = o.Source, o.Version, o.BrickCount, true
	g.backSeen, g.emptySeen = 0, 0
	return Accept, ""
}
