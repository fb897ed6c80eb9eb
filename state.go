package arrowwalk

import (
	"fmt"
	"slices"
)

// This file holds the shapes of what scheduler.go keeps, and helpers that
// decide nothing: a sliding sum, a seeded source of numbers, the wait queues.

// stamp is an amount at a time, for sliding windows.
type stamp struct {
	at    Micros
	units float64
}

// window sums stamps over a sliding span.
type window struct {
	stamps []stamp
	sum    float64
}

func (w *window) add(at Micros, units float64) {
	w.stamps = append(w.stamps, stamp{at, units})
	w.sum += units
}

// since drops what is older than from and returns the sum of the rest.
func (w *window) since(from Micros) float64 {
	i := 0
	for i < len(w.stamps) && w.stamps[i].at < from {
		w.sum -= w.stamps[i].units
		i++
	}
	w.stamps = w.stamps[i:]
	if len(w.stamps) == 0 {
		w.sum = 0
	}
	return w.sum
}

// attempt is one sending of a request.
type attempt struct {
	request *request
	node    *node
	sent    Micros
	done    bool
	lost    bool    // overtaken; no longer counted
	units   float64 // that it counts towards the cap
}

// request is a request from its acceptance to its last outcome.
type request struct {
	*Request
	class    *Class
	vol      *volume
	lane     *lane
	taken    Micros
	aimAt    Micros
	patience float64 // by which the bounds of its level are scattered
	deadline Micros
	attempts []*attempt
	out      int
	queued   bool
	over     bool
	drawn    bool // its units are taken from the limit
	stream   bool
	ran      *attempt // the first that may have run
	turn     *turn
}

// turn is the order of the requests of one key.
type turn struct {
	queue []*request
	rest  Micros // nothing before this time
}

// lane is the wait queue of one class of one volume at one shard.
type lane struct {
	flow  *flow
	class int
	queue []*request // by their aim
}

// flow is a volume's standing at a shard.
type flow struct {
	vol   *volume
	shard *shard
	lanes []*lane
}

// shard is a piece of the data with its node and its wait queue.
type shard struct {
	index  int
	node   *node
	lanes  []*lane
	flows  []*flow
	wait   float64 // units waiting
	served float64 // units served in this interval
	usual  float64 // and usually, units a second
	seen   float64 // intervals that usual is the mean of
	dirty  bool
}

// node is what the host knows of a node.
type node struct {
	Node
	outs    []*attempt
	out     float64 // units out
	cap     float64
	heard   Micros  // when the latest attempt that was answered had been sent
	spent   float64 // latencies in this interval
	answers float64
	bound   int // looks at which the cap held a request back
	looks   int
	queue   float64 // running mean of how long requests wait there, microseconds
	sampled Micros  // when queue was last brought up to date
	turn    Micros  // while it is cold: nothing before this time
	turnOf  Micros  // the start that turn counts from
	sent    window
}

// volume is CHAMELEON's state of a volume.
type volume struct {
	id       VolumeID
	plan     *Plan
	hosts    float64
	flows    []*flow
	last     Micros // last request
	filled   Micros // when the stores below were filled
	store    float64
	reserve  float64
	rate     float64 // token rate; 0: unpaced
	before   float64 // token rate before the cuts
	tokens   float64
	units    float64 // served in this interval
	told     float64 // fleet's rate, units a second; 0: not told
	ratio    float64 // sum of latency over aim in this interval
	answers  float64
	measured float64 // units a second here, last interval
	over     float64 // mean latency over aim, last interval
	quad     quadrant
	wasLucky bool
	cut      bool
	trial    trial
}

// trial follows the cuts made for a failed volume.
type trial struct {
	list  []*volume
	rates []float64
	steps int
	over  float64
}

// generator is a seeded source of numbers.
type generator uint64

// random returns a number in [0, 1) from the instance's seed (splitmix64).
func (g *generator) random() float64 {
	*g += 0x9e3779b97f4a7c15
	z := uint64(*g)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// Scheduler decides for one host. It is not safe for concurrent use.
type Scheduler struct {
	set      Settings
	now      Micros
	born     Micros
	ended    Micros // when the last interval ended
	begun    bool
	learned  Micros // when caps were last learned
	due      Micros // when the next beat is due
	end      Micros // by then all have their final answers; 0: this host does not end
	stall    Micros // for how long the host stood still before this step, at most
	actions  []Action
	nodes    map[NodeID]*node
	shards   []*shard
	requests map[RequestID]*request
	volumes  map[VolumeID]*volume
	order    []*volume
	turns    map[uint64]*turn
	cost     []float64 // by class: microseconds of service for a unit
	tightest Micros
	patience []Micros // by class: how long a client waits at its first try
	taken    window
	resent   window
	pulsing  bool
	lossy    float64 // share of attempts whose answers seem to be lost
	wait     Micros  // before the list is asked for again
	dice     generator
}

func (s *Scheduler) act(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) timer(delay Micros, token uint64) {
	s.act(Action{Kind: SetTimer, Delay: delay, Token: token})
}

func (s *Scheduler) logf(format string, args ...any) {
	s.act(Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// shard returns the shard of an index, or nil for none.
func (s *Scheduler) shard(index int) *shard {
	if index < 0 || index > 1<<16 {
		return nil
	}
	for len(s.shards) <= index {
		s.shards = append(s.shards, &shard{index: len(s.shards)})
	}
	return s.shards[index]
}

// oldest returns for how long the oldest attempt at n has had no answer, those
// aside that were overtaken: their answers may be lost.
func (s *Scheduler) oldest(n *node) float64 {
	for len(n.outs) > 0 && n.outs[0].done {
		n.outs = n.outs[1:]
	}
	for _, a := range n.outs {
		if !a.done && a.sent > n.heard {
			return float64(s.now-a.sent) - s.own(a.request)
		}
	}
	return 0
}

// laneOf returns the wait queue of r's class and volume at a shard.
func (s *Scheduler) laneOf(r *request, sh *shard) *lane {
	i := slices.IndexFunc(r.vol.flows, func(f *flow) bool { return f.shard == sh })
	if i < 0 {
		f := &flow{vol: r.vol, shard: sh}
		i = len(r.vol.flows)
		r.vol.flows = append(r.vol.flows, f)
		sh.flows = append(sh.flows, f)
	}
	f := r.vol.flows[i]
	for _, l := range f.lanes {
		if l.class == r.Class {
			return l
		}
	}
	l := &lane{flow: f, class: r.Class}
	f.lanes = append(f.lanes, l)
	sh.lanes = append(sh.lanes, l)
	return l
}

// unqueue takes r out of its wait queue.
func (s *Scheduler) unqueue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	r.lane.flow.shard.wait = max(0, r.lane.flow.shard.wait-r.Units)
	if i := slices.Index(r.lane.queue, r); i >= 0 {
		r.lane.queue = slices.Delete(r.lane.queue, i, i+1)
	}
}

// quadrant is a volume's state in an interval, in the order of cutting.
type quadrant int

const (
	lucky  quadrant = iota // over its rate, inside its aim
	exceed                 // over both
	meet                   // under both
	failed                 // under its rate, over its aim
)

// verdict is what gate says of a send.
type verdict int

const (
	pass verdict = iota
	hold         // not now
	bar          // never again
)

// aim returns the span within which r earns its full worth.
func (s *Scheduler) aim(r *request) Micros {
	stretch := r.class.AimStretch * s.own(r)
	return min(r.class.Aim+Micros(stretch), r.class.Deadline)
}

// NodeView is what the host knows of a node, for those who watch it.
type NodeView struct {
	ID               NodeID
	QueueDelay       Micros  // how long a request should wait there now
	UnitsInFlight    float64 // units out
	MaxUnitsInFlight float64 // units that may be out
}

// VolumeView is a volume's standing, for those who watch it.
type VolumeView struct {
	ID           VolumeID
	Quadrant     string  // of the last interval: failed, meet, exceed or lucky
	TokenRate    float64 // token rate in units a second; 0: unpaced
	ServedRate   float64 // units a second served through this host in the last interval
	ReserveUnits float64 // units of the reserve that are left
}

// View copies what the scheduler knows of its nodes and volumes. It changes
// nothing and decides nothing.
func (s *Scheduler) View() (nodes []NodeView, volumes []VolumeView) {
	for _, sh := range s.shards {
		if n := sh.node; n != nil {
			nodes = append(nodes, NodeView{n.ID, Micros(s.expected(n)), n.out, n.cap})
		}
	}
	names := [...]string{lucky: "lucky", exceed: "exceed", meet: "meet", failed: "failed"}
	for _, v := range s.order {
		volumes = append(volumes, VolumeView{v.id, names[v.quad], v.rate, v.measured, v.reserve})
	}
	return nodes, volumes
}
