// Package bricks is a site of bricks for proofs: real ones, each on its own
// loopback socket, with scripted faults and a log of what passed on them.
package bricks

import (
	"cmp"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/rules/trail"
	"arrowwalk/internal/store"
	"arrowwalk/internal/store/disk"
)

// Site holds the bricks of a proof and their common log.
type Site struct {
	dir    string
	cold   Cold
	window time.Duration
	meter  *brickd.Meter
	Quiet  bool // keep no log and play no script, for measurements
	// Work is how long a worker is busy with a request beside what it really
	// takes; nil: not at all. Workers and Queue are of bricks that start then.
	Work    func(b *Brick, x *brickd.Exchange) time.Duration
	Workers int
	// Disk returns the disk of a data directory; nil: the real one.
	Disk  func(data string) disk.FS
	Queue int

	mu     sync.Mutex
	zones  map[string]*brickd.Zone
	bricks map[string]*Brick
	log    *trail.Trail[rules.Arrival]
	err    error // that the log could not be made
}

// Cold says how bricks that have just started behave.
type Cold struct {
	Within      time.Duration // they are warm after it; 0: at once
	From        float64       // part of what they can do, at first
	Multiple    float64       // times what they can do that fells them,
	Span        time.Duration // when sent for so long
	Units       float64       // units in the span that they always bear
	UnitsPerSec float64       // what they can do when warm
}

// LogName is the file of a site's log in its directory.
const LogName = "arrivals.jsonl"

// New returns a site without bricks, whose data and log are in dir.
func New(dir string, window time.Duration, cold Cold) *Site {
	return NewLogged(dir, dir, window, cold)
}

// NewLogged is New with the log in another directory.
func NewLogged(dir, logs string, window time.Duration, cold Cold) *Site {
	s := &Site{dir: dir, cold: cold, window: window, meter: brickd.NewMeter(time.Second),
		zones: map[string]*brickd.Zone{}, bricks: map[string]*Brick{}}
	s.log, s.err = trail.Create(filepath.Join(logs, LogName), func(a *rules.Arrival) int64 { return a.At })
	return s
}

// Brick is a running brick and its script.
type Brick struct {
	site   *Site
	Name   string
	Zone   string
	Shard  int
	server *brickd.Server
	dir    *store.Store

	mu     sync.Mutex
	fault  Script
	count  int
	fresh  bool // it takes some time to be warm
	window []load
	sum    float64
	fallen bool
	Hits   int // requests that the script touched
}

type load struct {
	at    time.Time
	units float64
}

// Script is what a brick does to requests until it gets another.
type Script struct {
	Fault  brickd.Fault
	Every  int  // each so many-th request; 0: each
	Reads  bool // only reads
	Writes bool // only writes
	Keep   bool // let further attempts through: only first ones are touched
}

// Start starts a brick. One that starts later than the site is cold where
// fresh. data names its directory, so that a replacement has what its
// predecessor had.
func (s *Site) Start(name, zone string, shard int, data string, fresh bool) (*Brick, error) {
	if s.err != nil {
		return nil, s.err
	}
	opt := store.Options{NoSync: true}
	if s.Disk != nil {
		opt = store.Options{FS: s.Disk(data), SegmentBytes: 1 << 20, CheckpointBytes: 1 << 20, ReserveBytes: 1 << 20}
	}
	dir, err := store.Open(filepath.Join(s.dir, data), opt)
	if err != nil {
		return nil, fmt.Errorf("brick %s: %w", name, err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		dir.Close()
		return nil, fmt.Errorf("brick %s: %w", name, err)
	}
	b := &Brick{site: s, Name: name, Zone: zone, Shard: shard, dir: dir, fresh: fresh}
	s.mu.Lock()
	z := s.zones[zone]
	if z == nil {
		z = brickd.NewZone(s.window)
		z.Name = zone
		s.zones[zone] = z
	}
	s.bricks[name] = b
	s.mu.Unlock()
	serve := brickd.Options{ID: name, Zone: z, Meter: s.meter, Hook: b, Workers: cmp.Or(s.Workers, 8), MaxQueue: s.Queue}
	if s.Quiet {
		serve.Hook = nil
	}
	b.server = brickd.Start(ln, dir, serve)
	return b, nil
}

// Stop kills the brick: its connections break where they stand.
func (b *Brick) Stop() {
	b.server.Close()
	b.dir.Close()
}

// Entry is the brick as a node list tells of it.
func (b *Brick) Entry(state string) membership.Entry {
	e := membership.Entry{Name: b.Name, Address: b.server.Addr(), Zone: b.Zone, Shard: b.Shard, State: state}
	if b.fresh {
		e.Started = b.server.Started()
	}
	return e
}

// Started returns when the brick started.
func (b *Brick) Started() int64 { return b.server.Started() }

// Play gives the brick another script.
func (b *Brick) Play(s Script) {
	b.mu.Lock()
	b.fault, b.count = s, 0
	b.mu.Unlock()
}

// Says has the brick say in its answers whether it drains.
func (b *Brick) Says(draining bool) { b.server.SetDraining(draining) }

// Close stops all bricks that still run.
func (s *Site) Close() {
	s.mu.Lock()
	list := make([]*Brick, 0, len(s.bricks))
	for _, b := range s.bricks {
		list = append(list, b)
	}
	s.mu.Unlock()
	for _, b := range list {
		b.Stop()
	}
	if s.log != nil {
		s.log.Close()
	}
}

// Log returns what has arrived and ended so far, in the order of its end, or
// sorted by when it arrived (key 0).
func (s *Site) Log() *trail.Trail[rules.Arrival] { return s.log }

// Count returns how many requests have ended so far.
func (s *Site) Count() int { return s.log.Len() }

// OnRequest plays the script (brickd.Hook).
func (b *Brick) OnRequest(x *brickd.Exchange) brickd.Fault {
	f := b.scripted(x)
	if work := b.site.Work; work != nil && f.ExtraWork == 0 {
		f.ExtraWork = work(b, x)
	}
	return f
}

func (b *Brick) scripted(x *brickd.Exchange) brickd.Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pushedOver(x) {
		return brickd.Fault{IgnoreRequest: true}
	}
	s := &b.fault
	write := x.Method == "PUT" || x.Method == "DELETE" || x.Method == "PATCH"
	if s.Reads && write || s.Writes && !write {
		return brickd.Fault{}
	}
	if s.Keep && len(x.Request) > 1 && x.Request[len(x.Request)-2:] != ".0" {
		return brickd.Fault{}
	}
	b.count++
	if s.Every > 1 && b.count%s.Every != 0 {
		return brickd.Fault{}
	}
	if s.Fault != (brickd.Fault{}) {
		b.Hits++
	}
	return s.Fault
}

// pushedOver counts what a cold brick is sent; too much fells it for good.
func (b *Brick) pushedOver(x *brickd.Exchange) bool {
	c := &b.site.cold
	if !b.fresh || c.Within == 0 || b.fallen {
		return b.fallen
	}
	age := x.At.Sub(time.UnixMicro(b.server.Started()))
	if age > c.Within {
		return false
	}
	b.window = append(b.window, load{x.At, x.Units})
	b.sum += x.Units
	for len(b.window) > 0 && x.At.Sub(b.window[0].at) > c.Span {
		b.sum -= b.window[0].units
		b.window = b.window[1:]
	}
	can := c.From + (1-c.From)*float64(age)/float64(c.Within)
	if b.sum > max(c.Units, c.Multiple*can*c.UnitsPerSec*c.Span.Seconds()) {
		b.fallen = true
	}
	return b.fallen
}

// Fallen tells whether the brick was pushed over while it was cold.
func (b *Brick) Fallen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fallen
}

// OnResponse logs a request (brickd.Hook).
func (b *Brick) OnResponse(x *brickd.Exchange) {
	a := rules.Arrival{At: x.At.UnixMicro(), Ended: x.Answered.UnixMicro(), Brick: x.Brick, Zone: x.Zone, Started: x.Started,
		Request: x.Request, Host: x.Host, Method: x.Method, Space: x.Space, Name: x.Name, Volume: x.Volume, Units: x.Units,
		Key: x.Key, Status: x.Status, Repeat: x.Repeat, Stored: x.Stored}
	if !x.EarliestArrival.IsZero() {
		a.Came = x.EarliestArrival.UnixMicro()
	}
	b.site.log.Add(a)
}

// Quarantine returns how many blocks of its store the brick found damaged.
func (b *Brick) Quarantine() int { return b.dir.QuarantinedBlocks() }

// Touched returns how many requests the scripts of the brick touched.
func (b *Brick) Touched() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Hits
}
