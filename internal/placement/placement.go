// Package placement maps names to shards. The mapping depends only on the
// settings, so gateways that share the settings agree on it without
// communication.
//
// A name hashes (xxHash64) to one of Slots slots, and a table assigns each slot
// to a shard. Adding or removing shards is an edit of the table, and only names
// in the reassigned slots move.
package placement

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Slots is the number of slots. It must never change, because stored data
// depends on each name's slot.
const Slots = 4096

// Range assigns the slots From to To, inclusive, to a shard.
type Range struct {
	From  int `json:"from"`
	To    int `json:"to"`
	Shard int `json:"shard"`
}

// Map assigns slots to shards. It is immutable.
type Map struct {
	shardOfSlot [Slots]uint16
	shards      int
}

// NewEven returns a map that spreads the slots evenly over the shards: slot s
// belongs to shard s modulo shards.
func NewEven(shards int) (*Map, error) {
	if shards < 1 || shards > Slots {
		return nil, fmt.Errorf("shards: %d is not from 1 to %d", shards, Slots)
	}
	m := &Map{shards: shards}
	for s := range m.shardOfSlot {
		m.shardOfSlot[s] = uint16(s % shards)
	}
	return m, nil
}

// NewFromRanges returns a map with the given table, in which each slot must
// occur exactly once.
func NewFromRanges(shards int, table []Range) (*Map, error) {
	m, err := NewEven(shards)
	if err != nil {
		return nil, err
	}
	var assigned [Slots]bool
	count := 0
	for i, r := range table {
		if r.From < 0 || r.To >= Slots || r.From > r.To {
			return nil, fmt.Errorf("slots[%d]: %d to %d is not within 0 to %d", i, r.From, r.To, Slots-1)
		}
		if r.Shard < 0 || r.Shard >= shards {
			return nil, fmt.Errorf("slots[%d].shard: %d is not from 0 to %d", i, r.Shard, shards-1)
		}
		for s := r.From; s <= r.To; s++ {
			if assigned[s] {
				return nil, fmt.Errorf("slots[%d]: slot %d is assigned twice", i, s)
			}
			assigned[s] = true
			count++
			m.shardOfSlot[s] = uint16(r.Shard)
		}
	}
	if count != Slots {
		return nil, fmt.Errorf("slots: %d of %d slots are assigned to a shard", count, Slots)
	}
	return m, nil
}

// Shards returns the number of shards.
func (m *Map) Shards() int { return m.shards }

// Shard returns the shard that holds a name.
func (m *Map) Shard(name string) int { return int(m.shardOfSlot[Slot(name)]) }

// Slot returns a name's slot.
func Slot(name string) int { return int(xxhash.Sum64String(name) % Slots) }

// Hash returns a name's 64-bit hash, from which ordering keys and volume numbers
// are derived.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Object returns the name of an object's record, which determines its shard. A
// bucket's name contains no slash, so no two objects share a record name.
func Object(bucket, key string) string { return bucket + "/" + key }

// Piece returns the name of one piece of a body. All pieces of a body have the
// same base and spread over the shards.
func Piece(base string, index int) string { return base + "." + strconv.Itoa(index) }
