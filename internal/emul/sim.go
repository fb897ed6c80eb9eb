// Package emul plays a day of a whole site in virtual time: hundreds of hosts,
// each with the real module and the real decisions on node lists, against
// models of bricks, links, discovery and clients. One goroutine plays a run;
// the same scenario and seed give the same bytes on machines of one
// architecture (compilers may join floating-point operations on others).
package emul

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"arrowwalk"
	"arrowwalk/internal/emul/model"
	"arrowwalk/internal/emul/radix"
	"arrowwalk/internal/emul/scenario"
	"arrowwalk/internal/rules"
)

// base is the time at which each day begins, microseconds: a brick that
// started at 0 did so long ago.
const base = 100_000_000_000

type kind uint8

const (
	evNext      kind = iota // a volume's next request comes
	evTry                   // a client sends
	evGiveUp                // and waits no longer
	evArrive                // an attempt reaches its brick
	evDone                  // a brick has done a job
	evAnswer                // an answer reaches its host
	evTimeout               // a host waits no longer for an attempt
	evOutcome               // an attempt ended at its host
	evWake                  // a host's timer
	evResume                // a host goes on after a stall
	evList                  // a host hears of the node list
	evAsk                   // a host asks bricks that it doubts
	evAsked                 // and hears from one
	evMeter                 // a period of the figures of use ends
	evTold                  // and is told
	evSample                // figures are noted
	evTrouble               // a trouble begins, goes on or ends
	evOwn                   // a brick looks for put-off work
	evUnblocked             // a host hears of the list again
)

type event struct {
	kind kind
	who  int32 // host, brick or volume
	n    int64
	at   *attempt
	rq   *request
	do   func() // of a trouble
}

// Sim is one run.
type Sim struct {
	s      *scenario.Scenario
	now    int64
	end    int64
	queue  radix.Queue[event]
	events int64

	hosts   []*hostSim
	bricks  []*brickSim
	names   map[arrowwalk.NodeID]*brickSim
	shards  []int // the brick that serves each; -1: none
	zones   []*model.DedupCache
	figures model.Params
	volumes []*volume
	rates   []float64 // of the plans, units a second
	lists   []list    // each version of the node list

	net, odd *rand.Rand
	surge    float64
	heavy    []*volume
	hasty    *scenario.Event // clients are impatient
	lossOf   map[int]float64 // of answers, by brick
	cutZone  int             // whose hosts reach no brick of others; -1: none
	lateBy   int64           // figures of use
	listDown bool
	blocked  map[int]bool // hosts that do not hear of the list

	digest *xxhash.Digest
	trace  rules.Trace
	result Result
	settle int64 // when the last trouble ended
	first  int64 // when the first began
	stop   error
	found  int64 // when what a host takes in after a stall had come; 0: now
}

type brickSim struct {
	*model.Brick
	number int
	jobs   map[int32]*attempt
	seq    int32
	rnd    *rand.Rand
	mute   bool // dead, and its machine with it: connections hang
	units  float64
}

// New readies a run of a scenario with a seed; 0: the scenario's own.
func New(sc *scenario.Scenario, seed uint64) (*Sim, error) {
	c := *sc
	if seed != 0 {
		c.Seed = seed
	}
	s := &Sim{s: &c, now: base, end: base + int64(c.Seconds*1e6), digest: xxhash.New(), surge: 1, cutZone: -1,
		net: source(c.Seed, 1), odd: source(c.Seed, 2), names: map[arrowwalk.NodeID]*brickSim{}, lossOf: map[int]float64{}, blocked: map[int]bool{}}
	b := &c.Site.Brick
	s.figures = model.Params{Cores: b.Cores, MaxQueue: b.MaxQueue, CacheItems: b.CacheItems, CacheSavings: b.CacheSavings, DeferredFraction: b.DeferredFraction,
		DeferredInterval: int64(b.DeferredIntervalMS) * 1000, ColdCapacity: b.ColdCapacity, WarmUpTime: int64(b.WarmUpMS) * 1000, OverloadFactor: b.ColdMultiple,
		OverloadWindow: 1_000_000, MinOverloadUnits: b.ColdUnits, UnitCost: c.UnitCost(), DedupWindow: int64(c.Site.DedupWindowMS) * 1000}
	s.result.init(&c)
	for range c.Site.Zones {
		s.zones = append(s.zones, model.NewDedupCache())
	}
	for shard := range c.Site.Bricks {
		s.shards = append(s.shards, s.addBrick(shard, shard%c.Site.Zones, 0))
	}
	s.publish()
	s.makeVolumes()
	for i := range c.Site.Hosts {
		h := &hostSim{id: i, zone: i % c.Site.Zones, skew: s.span(s.odd, [2]int{-c.Site.SkewMS, c.Site.SkewMS}) * 1000}
		s.hosts = append(s.hosts, h)
		if err := s.startHost(h); err != nil {
			return nil, err
		}
	}
	s.plan()
	s.push(base+int64(c.Site.UsagePeriodMS)*1000, event{kind: evMeter})
	s.push(base, event{kind: evSample})
	for i := range s.volumes {
		s.push(base+s.gap(s.volumes[i]), event{kind: evNext, who: int32(i)})
	}
	return s, nil
}

func source(seed uint64, of uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, of)) }

// span draws a number between two.
func (s *Sim) span(r *rand.Rand, of [2]int) int64 {
	return int64(of[0]) + r.Int64N(int64(max(0, of[1]-of[0]))+1)
}

func (s *Sim) push(at int64, e event) { s.queue.Push(at, e) }

func (s *Sim) addBrick(shard, zone int, started int64) int {
	i := len(s.bricks)
	rnd := source(s.s.Seed, 1000+uint64(i))
	speed := s.s.Site.Brick.Speed
	b := &brickSim{number: i, jobs: map[int32]*attempt{}, rnd: rnd, Brick: model.NewBrick(fmt.Sprintf("brick-%d", i), zone, shard,
		speed[0]+rnd.Float64()*(speed[1]-speed[0]), started, &s.figures, s.zones[zone])}
	s.bricks = append(s.bricks, b)
	s.names[arrowwalk.NodeID(b.Name)] = b
	if started > 0 {
		s.trace.Capacities = append(s.trace.Capacities, rules.Capacity{Brick: b.Name, Started: started, UnitsPerSec: b.Capacity()})
	}
	s.push(s.now+s.figures.DeferredInterval, event{kind: evOwn, who: int32(i)})
	return i
}

// Run plays the day to its end and returns what came of it.
func (s *Sim) Run() (*Result, error) {
	for s.stop == nil {
		at, e, ok := s.queue.Pop()
		if !ok || at > s.end {
			break
		}
		s.now = at
		s.events++
		s.handle(&e)
	}
	if s.stop != nil {
		return nil, s.stop
	}
	return s.finish(), nil
}

func (s *Sim) handle(e *event) {
	switch e.kind {
	case evNext:
		s.next(s.volumes[e.who])
	case evTry:
		s.try(e.rq)
	case evGiveUp:
		s.giveUp(e.rq)
	case evArrive:
		s.arrive(e.at)
	case evDone:
		s.done(s.bricks[e.who], int32(e.n), e.at)
	case evOwn:
		s.own(s.bricks[e.who])
	case evMeter:
		s.meter()
	case evTold:
		for _, v := range s.volumes {
			v.told = v.last
		}
	case evSample:
		s.sample()
	case evTrouble:
		e.do()
	default:
		s.atHost(e)
	}
}

// mark takes something that happened into the run's hash.
func (s *Sim) mark(what byte, a, b, c int64) {
	var buf [33]byte
	buf[0] = what
	binary.LittleEndian.PutUint64(buf[1:], uint64(s.now))
	binary.LittleEndian.PutUint64(buf[9:], uint64(a))
	binary.LittleEndian.PutUint64(buf[17:], uint64(b))
	binary.LittleEndian.PutUint64(buf[25:], uint64(c))
	s.digest.Write(buf[:])
}

// delay draws how long a message takes from or to a brick.
func (s *Sim) delay() int64 { return s.span(s.net, s.s.Site.DelayUS) }

// arrive has an attempt reach its brick.
func (s *Sim) arrive(at *attempt) {
	b, r := s.bricks[at.brick], at.rq
	s.mark('a', int64(r.id), int64(at.number), int64(b.number))
	at.arrival = int32(len(s.trace.Arrivals))
	method, key := "GET", ""
	if r.class == classWrite {
		method, key = "PUT", at.task()
	}
	s.trace.Arrivals = append(s.trace.Arrivals, rules.Arrival{At: s.now, Ended: s.now, Brick: b.Name, Zone: fmt.Sprint("zone-", b.Zone), Started: b.Started,
		Request: fmt.Sprintf("%s.%d", at.task(), at.number), Host: r.host, Method: method, Space: "objects", Name: r.name(), Volume: uint64(r.volume.number),
		Units: r.units, Key: key})
	j := &model.Job{Units: r.units, Work: r.cost, Write: r.class == classWrite, Item: r.item, FirstAttempt: at.number == 0}
	if j.Write {
		j.Key = r.id<<8 | uint64(r.tries)
	}
	b.units += r.units
	switch b.Admit(s.now, j, b.rnd.Float64()) {
	case model.QueueFull:
		s.answer(b, at, arrowwalk.Overloaded)
	case model.Failed:
		s.answer(b, at, arrowwalk.Failed)
	case model.Duplicate:
		s.trace.Arrivals[at.arrival].Repeat = true
		s.answer(b, at, arrowwalk.OK)
	case model.Accepted:
		b.seq++
		j.ID = b.seq
		b.jobs[j.ID] = at
		at.job = j
		s.startJobs(b)
	}
}

func (s *Sim) startJobs(b *brickSim) {
	for j := b.StartNext(s.now); j != nil; j = b.StartNext(s.now) {
		if j.IsBackground() {
			s.push(j.FinishAt, event{kind: evDone, who: int32(b.number), n: -1, at: &attempt{job: j}})
		} else {
			s.push(j.FinishAt, event{kind: evDone, who: int32(b.number), n: int64(j.ID), at: b.jobs[j.ID]})
		}
	}
}

func (s *Sim) done(b *brickSim, ref int32, at *attempt) {
	again, gone := b.Finish(s.now, at.job)
	switch {
	case gone:
		return
	case again > 0:
		s.push(again, event{kind: evDone, who: int32(b.number), n: int64(ref), at: at})
		return
	}
	if ref >= 0 {
		delete(b.jobs, ref)
		r := at.rq
		s.result.work += r.cost
		if r.over {
			s.result.wasted += r.cost
		}
		if a := &s.trace.Arrivals[at.arrival]; r.class == classWrite {
			a.Stored = true
		}
		r.volume.served += r.units
		at.others = b.RecordServed(uint32(r.volume.number), int32(r.host), r.units)
		s.answer(b, at, arrowwalk.OK)
	}
	s.startJobs(b)
}

// own has a brick look whether put-off work is due.
func (s *Sim) own(b *brickSim) {
	if b.Dead || b.Collapsed {
		return
	}
	s.startJobs(b)
	s.push(s.now+s.figures.DeferredInterval, event{kind: evOwn, who: int32(b.number)})
}

// answer sends a brick's answer back.
func (s *Sim) answer(b *brickSim, at *attempt, status arrowwalk.Status) {
	a := &s.trace.Arrivals[at.arrival]
	a.Ended = s.now
	a.Status = map[arrowwalk.Status]int{arrowwalk.OK: 200, arrowwalk.Overloaded: 503, arrowwalk.Failed: 500}[status]
	at.status = status
	if s.odd.Float64() < s.lossOf[b.number] || s.lost(at.rq.host, b) {
		return
	}
	s.push(s.now+s.delay(), event{kind: evAnswer, who: int32(at.rq.host), at: at})
}

// lost tells whether a message between a host and a brick gets lost.
func (s *Sim) lost(host int, b *brickSim) bool {
	if h := s.hosts[host]; s.cutZone >= 0 && h.zone == s.cutZone && b.Zone != s.cutZone {
		return true
	}
	return s.s.Site.Loss > 0 && s.net.Float64() < s.s.Site.Loss
}

// meter ends a period of the figures of use.
func (s *Sim) meter() {
	for _, v := range s.volumes {
		rate := s.rates[v.plan] * float64(s.s.Site.UsagePeriodMS) / 1000
		v.last = 1 + 100*v.served/rate
		v.served = 0
	}
	s.push(s.now+300_000+s.lateBy, event{kind: evTold})
	s.push(s.now+int64(s.s.Site.UsagePeriodMS)*1000, event{kind: evMeter})
}

// PlanRates returns the plans' units a second.
func (s *Sim) PlanRates() []float64 { return s.rates }

// VolumeView is a volume as it was drawn.
type VolumeView struct {
	Plan   int
	Rate   float64 // requests a second
	Shards []int
	Hosts  []int
}

// Volumes returns the volumes as they were drawn.
func (s *Sim) Volumes() []VolumeView {
	var out []VolumeView
	for _, v := range s.volumes {
		out = append(out, VolumeView{v.plan, v.rate, v.shards, v.hosts})
	}
	return out
}

// BrickSpeeds returns the speed of a core of each brick that serves a shard.
func (s *Sim) BrickSpeeds() []float64 {
	var out []float64
	for _, i := range s.shards {
		out = append(out, s.bricks[i].Speed)
	}
	return out
}
