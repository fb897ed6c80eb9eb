package trust

import "time"

// Offer describes a node list that a source offers.
type Offer struct {
	Source     string
	Version    int64 // increases within one source
	BrickCount int
	At         time.Duration // time since a fixed moment
	Digest     uint64        // of what the list says of its bricks
	Tree       int64         // identity of the tree that was read, which another one in its place does not have; 0: unknown
}

// Decision is the result of Gate.Decide.
type Decision int

const (
	// Accept means that the offered list replaces the current one.
	Accept Decision = iota
	// Unchanged means that the offered list is the current one, which is thereby
	// confirmed.
	Unchanged
	// Hold means that the current list stays; the offered one may be accepted later.
	Hold
)

// Gate decides which lists are accepted. Its rules, in order of precedence:
//
//  1. The first list of a source is accepted, unless it is empty while bricks are
//     known (rule 3).
//  2. A version lower than the current one comes from a source that went back in
//     time: a stale follower or a restored ensemble. It is withheld until lower
//     versions, and no others, have been offered for RollbackHold. Then the older
//     state is taken as valid.
//  3. An empty list while bricks are known comes from a wiped or half-built tree. It
//     is withheld until empty lists, and no others, have been offered EmptyRepeats
//     times over at least EmptyHold, because a site does not lose all its bricks at
//     once. The loss of a site's last brick, in the tree in which it was listed, is
//     accepted at once like that of any other.
//
// A list that lacks some of the bricks is accepted at once, because no requests may
// be sent to a brick that has left for longer than the grace period.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	RollbackHold time.Duration // minimum duration of rule 2
	EmptyHold    time.Duration // minimum duration of rule 3
	EmptyRepeats int           // minimum number of offers of rule 3

	source     string
	version    int64
	brickCount int
	digest     uint64
	tree       int64
	hasList    bool // a list was accepted

	rollbackSince, emptySince time.Duration
	rollbackSeen, emptySeen   int
}

// NewGate returns a Gate with the given limits that starts from a cached list of
// brickCount bricks, or from none. It starts without a source and a version, so
// rule 1 applies to the first offer.
func NewGate(rollbackHold, emptyHold time.Duration, emptyRepeats, brickCount int) *Gate {
	return &Gate{RollbackHold: rollbackHold, EmptyHold: emptyHold, EmptyRepeats: emptyRepeats, brickCount: brickCount}
}

// Decide returns the decision on an offered list. For Hold, reason is "empty" or
// "older".
func (g *Gate) Decide(o Offer) (decision Decision, reason string) {
	if o.BrickCount == 0 && g.brickCount > 0 && !g.lostLastBrick(o) {
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
	if g.hasList && o.Source == g.source {
		switch {
		case o.Version == g.version && o.BrickCount == g.brickCount && o.Digest == g.digest:
			g.rollbackSeen = 0
			return Unchanged, ""
		case o.Version < g.version:
			if g.rollbackSeen == 0 {
				g.rollbackSince = o.At
			}
			g.rollbackSeen++
			if o.At-g.rollbackSince < g.RollbackHold {
				return Hold, "older"
			}
		}
	}
	g.source, g.version, g.brickCount, g.digest, g.tree, g.hasList = o.Source, o.Version, o.BrickCount, o.Digest, o.Tree, true
	g.rollbackSeen, g.emptySeen = 0, 0
	return Accept, ""
}

// lostLastBrick reports whether an empty list says that the only brick has left: the tree
// is the one in which the brick was listed, and was changed since.
func (g *Gate) lostLastBrick(o Offer) bool {
	return g.hasList && g.brickCount == 1 && o.Source == g.source && o.Tree != 0 && o.Tree == g.tree && o.Version > g.version
}
