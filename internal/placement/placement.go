// Package placement says which shard holds a name. It is pure: many gateways
// that share nothing but the settings agree on it.
//
// A name hashes (xxHash64) to one of Slots slots, and a table gives each slot
// its shard. Shards join or leave by an edit of the table, which moves only
// the slots that it changes.
package placement

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Slots is the number of slots, fixed for ever: a name's slot never changes.
const Slots = 4096

// Range gives the slots From to To, both included, to a shard.
type Range struct {
	From  int `json:"from"`
	To    int `json:"to"`
	Shard int `json:"shard"`
}

// Map is a table of slots. It does not change after it was made.
type Map struct {
	shard  [Slots]uint16
	shards int
}

// NewEven spreads the slots over shards as evenly as can be: slot s goes to shard
// s mod shards.
func NewEven(shards int) (*Map, error) {
	if shards < 1 || shards > Slots {
		return nil, fmt.Errorf("shards: %d is not from 1 to %d", shards, Slots)
	}
	m := &Map{shards: shards}
	for s := range m.shard {
		m.shard[s] = uint16(s % shards)
	}
	return m, nil
}

// NewFromRanges makes a map of a table in which each slot must occur once.
func NewFromRanges(shards int, table []Range) (*Map, error) {
	m, err := NewEven(shards)
	if err != nil {
		return nil, err
	}
	var seen [Slots]bool
	count := 0
	for i, r := range table {
		if r.From < 0 || r.To >= Slots || r.From > r.To {
			return nil, fmt.Errorf("slots[%d]: %d to %d is not within 0 to %d", i, r.From, r.To, Slots-1)
		}
		if r.Shard < 0 || r.Shard >= shards {
			return nil, fmt.Errorf("slots[%d].shard: %d is not from 0 to %d", i, r.Shard, shards-1)
		}
		for s := r.From; s <= r.To; s++ {
			if seen[s] {
				return nil, fmt.Errorf("slots[%d]: slot %d has a shard already", i, s)
			}
			seen[s] = true
			count++
			m.shard[s] = uint16(r.Shard)
		}
	}
	if count != Slots {
		return nil, fmt.Errorf("slots: %d of %d slots have a shard", count, Slots)
	}
	return m, nil
}

// Shards returns the number of shards.
func (m *Map) Shards() int { return m.shards }

// Shard returns the shard that holds a name.
func (m *Map) Shard(name string) int { return int(m.shard[Slot(name)]) }

// Slot returns a name's slot.
func Slot(name string) int { return int(xxhash.Sum64String(name) % Slots) }

// Hash returns a name's hash, for keys of order and numbers of volumes.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Object returns the name of an object's record: its home is Shard of it. A
// bucket's name holds no slash, so no two objects share a record.
func Object(bucket, key string) string { return bucket + "/" + key }

// Piece returns the name of one piece of data. Pieces of one body have the
// same base and are spread over the shards.
func Piece(base string, index int) string { return base + "." + strconv.Itoa(index) }
