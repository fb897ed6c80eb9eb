package store

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// ErrChangedSince is the error of a write or delete whose blob was changed after the
// version that Condition.Since names. It has no effect.
var ErrChangedSince = errors.New("the blob was changed after the version that its writer had seen")

// numDeletionSlots is the number of slots of deletions. Names that share a slot may seem
// to be deleted later than they were, which rejects a write that would have been right.
const numDeletionSlots = 1 << 13

// deletions keeps when names were deleted last, by the hash of the name. A deletion before
// the store was opened counts as made then. The committer alone uses it.
type deletions struct {
	opened uint64 // version of the store when it was opened
	slots  [numDeletionSlots]uint64
}

func deletionSlot(space, name string) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	hash.WriteString(space)
	hash.WriteString("/")
	hash.WriteString(name)
	return hash.Sum64() % numDeletionSlots
}

// note records a deletion.
func (d *deletions) note(space, name string, version uint64) {
	slot := &d.slots[deletionSlot(space, name)]
	*slot = max(*slot, version)
}

// last returns an upper bound of the version at which a name was deleted.
func (d *deletions) last(space, name string) uint64 {
	return max(d.opened, d.slots[deletionSlot(space, name)])
}

// checkSince returns ErrChangedSince if a blob was changed after the condition's version.
func (g *groupBuilder) checkSince(op *operation, current entry, exists bool) error {
	since := op.cond.Since
	if since == 0 || exists && current.version <= since {
		return nil
	}
	if !exists && g.store.deletions.last(op.space, op.rec.Name) <= since {
		return nil
	}
	return ErrChangedSince
}

// Version returns the version of the last change that is visible. It increases with each
// change, also across a restart.
func (s *Store) Version() uint64 { return s.version.Load() }
