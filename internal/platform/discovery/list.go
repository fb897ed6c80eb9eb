// Package discovery follows the platform's list of bricks: an agent on the
// host's own machine tells the whole list, then what changes.
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

// List is one line of discovery: the whole list, or what changed.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is a brick as discovery tells of it.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // active, leaving or left
	SinceMS float64 `json:"since_ms"`
}

// Bounds of what is taken from discovery.
const (
	entriesMax = 20_000
	nameMax    = 128
	groupMax   = 1 << 16
	sinceMax   = 1 << 50 // microseconds; some 35 years past 1970 are 2^50
)

var states = map[string]arrowwalk.NodeState{
	"active": arrowwalk.Ready, "leaving": arrowwalk.Draining, "left": arrowwalk.Removed,
}

// ParseList reads a list and checks it; the error names the field at fault.
func ParseList(text []byte) (*List, error) {
	l := &List{}
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(l); err != nil {
		return nil, err
	}
	return l, l.Validate()
}

// Validate tells what of a list cannot be.
func (l *List) Validate() error {
	if len(l.Endpoints) > entriesMax {
		return fmt.Errorf("endpoints: over %d", entriesMax)
	}
	for i := range l.Endpoints {
		if err := l.Endpoints[i].check(); err != nil {
			return fmt.Errorf("endpoints[%d].%w", i, err)
		}
	}
	return nil
}

// sift drops the entries that cannot be and returns what is wrong with the
// first: one bad brick does not cost the host all others.
func (l *List) sift() error {
	var first error
	good := l.Endpoints[:0]
	for i := range l.Endpoints {
		err := l.Endpoints[i].check()
		switch {
		case len(good) >= entriesMax:
			return fmt.Errorf("endpoints: over %d", entriesMax)
		case err == nil:
			good = append(good, l.Endpoints[i])
		case first == nil:
			first = fmt.Errorf("endpoints[%d].%w", i, err)
		}
	}
	l.Endpoints = good
	return first
}

func (e *Endpoint) check() error {
	if e.Name == "" || len(e.Name) > nameMax {
		return fmt.Errorf("name: %.40q: must be 1 to %d bytes", e.Name, nameMax)
	}
	state, ok := states[e.Status]
	if !ok {
		return fmt.Errorf("status: %.40q: must be active, leaving or left", e.Status)
	}
	if h, p, err := net.SplitHostPort(e.Address); state != arrowwalk.Removed && (err != nil || h == "" || p == "") {
		return fmt.Errorf("address: %.80q: must be HOST:PORT", e.Address)
	}
	if e.Group < 0 || e.Group >= groupMax {
		return fmt.Errorf("group: %d: must be from 0 to %d", e.Group, groupMax-1)
	}
	if !(e.SinceMS >= 0 && e.SinceMS*1000 < 4*sinceMax) {
		return fmt.Errorf("since_ms: %g: must be Unix time in milliseconds", e.SinceMS)
	}
	return nil
}

// ZoneIndex numbers zones as the settings do; those they lack come after them.
type ZoneIndex struct {
	numbers map[string]int
}

// zonesMax bounds how many names are told apart.
const zonesMax = 1024

// NewZoneIndex numbers the settings' zones.
func NewZoneIndex(names []string) *ZoneIndex {
	z := &ZoneIndex{numbers: map[string]int{}}
	for i, name := range names {
		z.numbers[name] = i
	}
	return z
}

// Number returns a zone's number; past the bound each is one of its own.
func (z *ZoneIndex) Number(name string) int {
	n, ok := z.numbers[name]
	if !ok {
		n = len(z.numbers)
		if n < zonesMax {
			z.numbers[name] = n
		}
	}
	return n
}

// Members turns a list into the host's form.
func (l *List) Members(z *ZoneIndex) []host.Member {
	members := make([]host.Member, 0, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		members = append(members, host.Member{Address: e.Address, Zone: e.Zone, Node: arrowwalk.Node{
			ID: arrowwalk.NodeID(e.Name), Shard: e.Group, Zone: z.Number(e.Zone), State: states[e.Status],
			Started: arrowwalk.Micros(math.Round(e.SinceMS * 1000))}})
	}
	return members
}

// Kind returns what the module is told that the list is.
func (l *List) Kind() arrowwalk.ListKind {
	if l.Snapshot {
		return arrowwalk.ListSnapshot
	}
	return arrowwalk.ListDelta
}

// book keeps which addresses bricks have, so that connections to those that
// left are closed, and forgets the bricks that left.
type book map[string]string

func (b book) take(l *List) {
	if l.Snapshot {
		clear(b)
	}
	for i := range l.Endpoints {
		if e := &l.Endpoints[i]; states[e.Status] == arrowwalk.Removed {
			delete(b, e.Name)
		} else {
			b[e.Name] = e.Address
		}
	}
}

func (b book) addresses() []string {
	list := make([]string, 0, len(b))
	for _, address := range b {
		list = append(list, address)
	}
	return list
}
