// Package membership follows the list of a site's bricks. A Source tells of
// lists; what is made of them is decided in files of their own, free of I/O.
package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"

	"arrowwalk"
	"arrowwalk/internal/host"
)

// Entry is a brick as a list tells of it.
type Entry struct {
	Name    string `json:"name"`
	Address string `json:"address"` // HOST:PORT
	Zone    string `json:"zone"`
	Shard   int    `json:"shard"`
	State   string `json:"state,omitempty"`   // ready (or nothing), draining or gone
	Started int64  `json:"started,omitempty"` // microseconds since 1970; 0: long ago
}

// List is a complete list of one source.
type List struct {
	Version int64   `json:"version"`
	Bricks  []Entry `json:"bricks"`
}

// States of an entry.
const (
	Ready    = "ready"
	Draining = "draining"
	Gone     = "gone"
)

var states = map[string]arrowwalk.NodeState{
	"": arrowwalk.Ready, Ready: arrowwalk.Ready, Draining: arrowwalk.Draining, Gone: arrowwalk.Removed,
}

// Topology is what a list must fit into.
type Topology struct {
	Zones  []string
	Shards int
}

const (
	listBytesMost = 16 << 20
	entriesMost   = 100_000
	nameMost      = 64
)

// Parse reads a list in JSON and checks it; the error names the path at fault.
func Parse(text []byte, shape Topology) (*List, error) {
	if len(text) > listBytesMost {
		return nil, fmt.Errorf("over %d bytes", listBytesMost)
	}
	l := &List{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(l); err != nil {
		return nil, err
	}
	if d.More() {
		return nil, fmt.Errorf("something follows the list")
	}
	return l, l.Validate(shape)
}

// Validate tells what of a list cannot be.
func (l *List) Validate(shape Topology) error {
	if len(l.Bricks) > entriesMost {
		return fmt.Errorf("bricks: over %d", entriesMost)
	}
	names := make(map[string]int, len(l.Bricks))
	for i := range l.Bricks {
		at := fmt.Sprintf("bricks[%d]", i)
		if err := l.Bricks[i].Validate(shape); err != nil {
			return fmt.Errorf("%s.%w", at, err)
		}
		if first, ok := names[l.Bricks[i].Name]; ok {
			return fmt.Errorf("%s.name: %q is the name of bricks[%d] too", at, l.Bricks[i].Name, first)
		}
		names[l.Bricks[i].Name] = i
	}
	return nil
}

// Validate tells what of an entry cannot be; the error begins with the field.
func (e *Entry) Validate(shape Topology) error {
	if e.Name == "" || len(e.Name) > nameMost || !validName(e.Name) {
		return fmt.Errorf("name: %q: must be 1 to %d letters, digits, dots, dashes or underscores", e.Name, nameMost)
	}
	if e.State != Gone {
		if h, p, err := net.SplitHostPort(e.Address); err != nil || h == "" || p == "" {
			return fmt.Errorf("address: %q: must be HOST:PORT", e.Address)
		}
	}
	if !slices.Contains(shape.Zones, e.Zone) {
		return fmt.Errorf("zone: %q: must be one of the zones of the settings", e.Zone)
	}
	if e.Shard < 0 || e.Shard >= shape.Shards {
		return fmt.Errorf("shard: %d: must be from 0 to %d", e.Shard, shape.Shards-1)
	}
	if _, ok := states[e.State]; !ok {
		return fmt.Errorf("state: %q: must be ready, draining or gone", e.State)
	}
	if e.Started < 0 {
		return fmt.Errorf("started: %d: must be microseconds since 1970", e.Started)
	}
	return nil
}

func validName(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && (i == 0 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return true
}

// Member returns the entry as the host takes it.
func (e *Entry) Member(shape Topology) host.Member {
	return host.Member{
		Node: arrowwalk.Node{ID: arrowwalk.NodeID(e.Name), Shard: e.Shard, Zone: slices.Index(shape.Zones, e.Zone),
			State: states[e.State], Started: arrowwalk.Micros(e.Started)},
		Address: e.Address, Zone: e.Zone,
	}
}

// Members returns all entries as the host takes them.
func (l *List) Members(shape Topology) []host.Member {
	out := make([]host.Member, len(l.Bricks))
	for i := range l.Bricks {
		out[i] = l.Bricks[i].Member(shape)
	}
	return out
}
