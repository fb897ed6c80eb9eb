// Package discovery follows the platform's list of bricks. An agent on the same
// machine sends the whole list and then its changes.
package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net"

	"arrowwalk"
	"arrowwalk/internal/host"
)

// List is one message from discovery: a snapshot of the list of bricks, or a
// delta.
type List struct {
	Index     int64      `json:"index"`    // version of the list after this message
	Snapshot  bool       `json:"snapshot"` // Endpoints is the whole list
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is a brick in discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`   // active, leaving or left
	SinceMS float64 `json:"since_ms"` // Unix time of the brick's start, in milliseconds
}

// Limits of what is accepted from discovery.
const (
	maxEndpoints    = 20_000
	maxNameBytes    = 128
	maxGroups       = 1 << 16
	microsIn35Years = 1 << 50 // since_ms may be up to four times as long after 1970
)

// nodeStates maps the values of Endpoint.Status.
var nodeStates = map[string]arrowwalk.NodeState{
	"active": arrowwalk.Ready, "leaving": arrowwalk.Draining, "left": arrowwalk.Removed,
}

// ParseList parses and validates a list. The error names the invalid field.
func ParseList(text []byte) (*List, error) {
	l := &List{}
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(l); err != nil {
		return nil, err
	}
	return l, l.Validate()
}

// Validate checks the list. The error names the first invalid field.
func (l *List) Validate() error {
	if len(l.Endpoints) > maxEndpoints {
		return fmt.Errorf("endpoints: more than %d", maxEndpoints)
	}
	for i := range l.Endpoints {
		if err := l.Endpoints[i].validate(); err != nil {
			return fmt.Errorf("endpoints[%d].%w", i, err)
		}
	}
	return nil
}

// dropInvalid removes the invalid endpoints and returns the error of the first,
// so that one invalid brick does not make the host lose all others.
func (l *List) dropInvalid() error {
	var firstErr error
	valid := l.Endpoints[:0]
	for i := range l.Endpoints {
		err := l.Endpoints[i].validate()
		switch {
		case len(valid) >= maxEndpoints:
			return fmt.Errorf("endpoints: more than %d", maxEndpoints)
		case err == nil:
			valid = append(valid, l.Endpoints[i])
		case firstErr == nil:
			firstErr = fmt.Errorf("endpoints[%d].%w", i, err)
		}
	}
	l.Endpoints = valid
	return firstErr
}

// validate checks the endpoint. The error names the invalid field.
func (e *Endpoint) validate() error {
	if e.Name == "" || len(e.Name) > maxNameBytes {
		return fmt.Errorf("name: %.40q: must be 1 to %d bytes", e.Name, maxNameBytes)
	}
	state, ok := nodeStates[e.Status]
	if !ok {
		return fmt.Errorf("status: %.40q: must be active, leaving or left", e.Status)
	}
	if h, p, err := net.SplitHostPort(e.Address); state != arrowwalk.Removed && (err != nil || h == "" || p == "") {
		return fmt.Errorf("address: %.80q: must be HOST:PORT", e.Address)
	}
	if e.Group < 0 || e.Group >= maxGroups {
		return fmt.Errorf("group: %d: must be from 0 to %d", e.Group, maxGroups-1)
	}
	if !(e.SinceMS >= 0 && e.SinceMS*1000 < 4*microsIn35Years) {
		return fmt.Errorf("since_ms: %g: must be Unix time in milliseconds", e.SinceMS)
	}
	return nil
}

// ZoneIndex assigns numbers to zones: those in the settings first, in their order,
// and others as they appear. It is not safe for concurrent use.
type ZoneIndex struct {
	numbers map[string]int
}

// maxZones bounds how many zones a ZoneIndex remembers.
const maxZones = 1024

// NewZoneIndex returns an index of the zones in the settings.
func NewZoneIndex(names []string) *ZoneIndex {
	z := &ZoneIndex{numbers: map[string]int{}}
	for i, name := range names {
		z.numbers[name] = i
	}
	return z
}

// Number returns a zone's number. Zones beyond the limit of remembered zones all
// have the same number.
func (z *ZoneIndex) Number(name string) int {
	n, ok := z.numbers[name]
	if !ok {
		n = len(z.numbers)
		if n < maxZones {
			z.numbers[name] = n
		}
	}
	return n
}

// Members converts the list's endpoints to members of the host.
func (l *List) Members(z *ZoneIndex) []host.Member {
	members := make([]host.Member, 0, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		members = append(members, host.Member{Address: e.Address, Zone: e.Zone, Node: arrowwalk.Node{
			ID: arrowwalk.NodeID(e.Name), Shard: e.Group, Zone: z.Number(e.Zone), State: nodeStates[e.Status],
			Started: arrowwalk.Micros(math.Round(e.SinceMS * 1000))}})
	}
	return members
}

// Kind returns the kind of the list in the scheduler's terms.
func (l *List) Kind() arrowwalk.ListKind {
	if l.Snapshot {
		return arrowwalk.ListSnapshot
	}
	return arrowwalk.ListDelta
}

// addressBook holds the address of each brick by name, so that connections to
// bricks that left can be closed. Bricks that left are removed.
type addressBook map[string]string

// apply updates the book with a list.
func (b addressBook) apply(l *List) {
	if l.Snapshot {
		clear(b)
	}
	for i := range l.Endpoints {
		if e := &l.Endpoints[i]; nodeStates[e.Status] == arrowwalk.Removed {
			delete(b, e.Name)
		} else {
			b[e.Name] = e.Address
		}
	}
}

// addresses returns the addresses of all bricks, in no particular order.
func (b addressBook) addresses() []string {
	addresses := make([]string, 0, len(b))
	for _, address := range b {
		addresses = append(addresses, address)
	}
	return addresses
}
