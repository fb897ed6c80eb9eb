// Package membership tracks the bricks of a site. Sources read node lists from
// a file or from a coordination service; a Tracker merges them with the list
// cached on disk and reports the members to the host. The decisions on which
// lists and cached entries to trust are in package trust, which does no I/O.
package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arrowwalk"
	"arrowwalk/internal/host"
)

// Entry describes one brick in a node list.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"` // HOST:PORT
	Zone    string `json:"zone"`
	Shard   int    `json:"shard"`
	State   string `json:"state,omitempty"`   // ready, draining or gone; "" means ready
	Started int64  `json:"started,omitempty"` // start time in microseconds since 1970; 0 means long ago
}

// List is a complete node list from one source.
type List struct {
	Version int64   `json:"version"`
	Bricks  []Entry `json:"bricks"`

	ReadAt time.Time `json:"-"` // when its source began to be read
	Tree   int64     `json:"-"` // transaction that created the root of the tree that was read; 0: no tree
}

// digest returns a digest of the bricks, whatever their order.
func (l *List) digest() uint64 {
	sum := uint64(0)
	for i := range l.Bricks {
		e := &l.Bricks[i]
		sum += xxhash.Sum64String(fmt.Sprintf("%q %q %q %d %q %d", e.Name, e.Address, e.Zone, e.Shard, e.State, e.Started))
	}
	return sum
}

// Values of Entry.State.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

var nodeStates = map[string]arrowwalk.NodeState{
	"": arrowwalk.Ready, Ready: arrowwalk.Ready, Draining: arrowwalk.Draining, Gone: arrowwalk.Removed,
}

// Topology holds the zones and the number of shards that entries may refer to.
type Topology struct {
	Zones  []string
	Shards int
}

const (
	maxListBytes = 16 << 20
	maxEntries   = 100_000
	maxNameBytes = 64
)

// Parse decodes a list from JSON and validates it. The error names the path of
// the offending value.
func Parse(text []byte, topology Topology) (*List, error) {
	if len(text) > maxListBytes {
		return nil, fmt.Errorf("node list exceeds %d bytes", maxListBytes)
	}
	l := &List{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(l); err != nil {
		return nil, err
	}
	if decoder.More() {
		return nil, fmt.Errorf("unexpected data follows the list")
	}
	return l, l.Validate(topology)
}

// Validate returns an error for the first invalid entry or duplicate name. The
// error names the path of the offending value.
func (l *List) Validate(topology Topology) error {
	if len(l.Bricks) > maxEntries {
		return fmt.Errorf("bricks: more than %d entries", maxEntries)
	}
	indexByName := make(map[string]int, len(l.Bricks))
	for i := range l.Bricks {
		field := fmt.Sprintf("bricks[%d]", i)
		if err := l.Bricks[i].Validate(topology); err != nil {
			return fmt.Errorf("%s.%w", field, err)
		}
		if first, ok := indexByName[l.Bricks[i].Name]; ok {
			return fmt.Errorf("%s.name: %q is already the name of bricks[%d]", field, l.Bricks[i].Name, first)
		}
		indexByName[l.Bricks[i].Name] = i
	}
	return nil
}

// Validate returns an error for the first invalid field of an entry. The error
// text begins with the name of the field.
func (e *Entry) Validate(topology Topology) error {
	if e.Name == "" || len(e.Name) > maxNameBytes || !isValidName(e.Name) {
		return fmt.Errorf("name: %q: must be 1 to %d letters, digits, dots, dashes or underscores", e.Name, maxNameBytes)
	}
	if e.State != Gone {
		if hostName, port, err := net.SplitHostPort(e.Address); err != nil || hostName == "" || port == "" {
			return fmt.Errorf("address: %q: must be HOST:PORT", e.Address)
		}
	}
	if !slices.Contains(topology.Zones, e.Zone) {
		return fmt.Errorf("zone: %q: must be one of the configured zones", e.Zone)
	}
	if e.Shard < 0 || e.Shard >= topology.Shards {
		return fmt.Errorf("shard: %d: must be from 0 to %d", e.Shard, topology.Shards-1)
	}
	if _, ok := nodeStates[e.State]; !ok {
		return fmt.Errorf("state: %q: must be ready, draining or gone", e.State)
	}
	if e.Started < 0 {
		return fmt.Errorf("started: %d: must be microseconds since 1970", e.Started)
	}
	return nil
}

// isValidName reports whether s begins with an ASCII letter or digit and otherwise
// holds only letters, digits, dots, dashes and underscores.
func isValidName(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return true
}

// Member converts an entry to a host member.
func (e *Entry) Member(topology Topology) host.Member {
	return host.Member{
		Node: arrowwalk.Node{ID: arrowwalk.NodeID(e.Name), Shard: e.Shard, Zone: slices.Index(topology.Zones, e.Zone),
			State: nodeStates[e.State], Started: arrowwalk.Micros(e.Started)},
		Address: e.Address, Zone: e.Zone,
	}
}

// Members converts all entries to host members.
func (l *List) Members(topology Topology) []host.Member {
	out := make([]host.Member, len(l.Bricks))
	for i := range l.Bricks {
		out[i] = l.Bricks[i].Member(topology)
	}
	return out
}
