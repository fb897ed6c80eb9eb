// Package emul simulates a whole site in virtual time: hundreds of hosts, each
// with the real scheduler and the real trust decisions on node lists, against
// models of bricks, links, discovery and clients. A run uses one goroutine. The
// same scenario and seed give identical results on machines of one
// architecture; on others, compilers may fuse floating-point operations.
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

// startTime is the virtual time at which each run begins, in microseconds. A
// start time of 0 marks a brick that started long ago.
const startTime = 100_000_000_000

// eventKind is the kind of a simulated event.
type eventKind uint8

const (
	evNewRequest     eventKind = iota // a volume's client creates its next request
	evSendTry                         // a client sends a try
	evClientTimeout                   // a client stops waiting
	evAttemptArrival                  // an attempt reaches its brick
	evJobDone                         // a brick finishes a job
	evAnswerArrival                   // an answer reaches its host
	evAttemptTimeout                  // the host's timeout for an attempt expires
	evAttemptEnd                      // an attempt is cancelled or could not connect
	evTimer                           // the timer of a host's scheduler expires
	evResume                          // a host's stall ends
	evNodeList                        // a node list reaches a host
	evProbeBricks                     // a host probes the bricks of its stored list
	evProbeResult                     // a probe's result reaches its host
	evUsagePeriodEnd                  // a usage period ends
	evUsageReport                     // the usage of the last period appears in answers
	evSample                          // a sample is taken
	evScheduled                       // a scheduled function runs
	evBackgroundWork                  // a brick starts deferred work if it is due
	evListReachable                   // a host can reach discovery again
)

// event is an entry of the event queue. Its kind tells which fields are used.
type event struct {
	kind    eventKind
	target  int32 // number of the host, brick or volume
	arg     int64
	attempt *attempt
	request *request
	run     func() // for evScheduled
}

// Sim is one simulation run. It is not safe for concurrent use.
type Sim struct {
	scenario *scenario.Scenario
	now      int64
	end      int64
	queue    radix.Queue[event]
	events   int64

	hosts        []*hostSim
	bricks       []*brickSim
	bricksByName map[arrowwalk.NodeID]*brickSim
	shardBricks  []int // number of the brick that serves each shard; -1: none
	dedupCaches  []*model.DedupCache
	brickParams  model.Params
	volumes      []*volume
	planRates    []float64     // units per second, by plan
	listVersions []listVersion // all versions of the node list

	netRand, troubleRand *rand.Rand
	loadFactor           float64
	impatience           *scenario.Event // set while clients are impatient
	answerLoss           map[int]float64 // probability that an answer is lost, by brick
	isolatedZone         int             // zone whose hosts reach no brick of other zones; -1: none
	usageDelay           int64           // additional delay of usage reports in microseconds
	listDown             bool
	listBlocked          map[int]bool // hosts that receive no node list

	digest         *xxhash.Digest
	trace          rules.Trace
	result         Result
	troublesEnd    int64 // end of the last trouble
	troublesStart  int64 // start of the first trouble
	err            error // stops the run
	backlogArrival int64 // arrival time of the held event being handled after a stall; 0: the event arrives now
}

// brickSim is a brick with the attempts it works on.
type brickSim struct {
	*model.Brick
	number int
	jobs   map[int32]*attempt
	seq    int32
	random *rand.Rand
	mute   bool // the brick is dead and connections to it hang, as after a machine failure
	units  float64
}

// New prepares a run of sc. If seed is 0, the scenario's own seed is used.
func New(sc *scenario.Scenario, seed uint64) (*Sim, error) {
	c := *sc
	if seed != 0 {
		c.Seed = seed
	}
	s := &Sim{scenario: &c, now: startTime, end: startTime + int64(c.Seconds*1e6), digest: xxhash.New(), loadFactor: 1, isolatedZone: -1,
		netRand: newRand(c.Seed, 1), troubleRand: newRand(c.Seed, 2), bricksByName: map[arrowwalk.NodeID]*brickSim{}, answerLoss: map[int]float64{}, listBlocked: map[int]bool{}}
	b := &c.Site.Brick
	s.brickParams = model.Params{Cores: b.Cores, MaxQueue: b.MaxQueue, CacheItems: b.CacheItems, CacheSavings: b.CacheSavings, DeferredFraction: b.DeferredFraction,
		DeferredInterval: int64(b.DeferredIntervalMS) * 1000, ColdCapacity: b.ColdCapacity, WarmUpTime: int64(b.WarmUpMS) * 1000, OverloadFactor: b.ColdMultiple,
		OverloadWindow: 1_000_000, MinOverloadUnits: b.ColdUnits, UnitCost: c.UnitCost(), DedupWindow: int64(c.Site.DedupWindowMS) * 1000}
	s.result.init(&c)
	for range c.Site.Zones {
		s.dedupCaches = append(s.dedupCaches, model.NewDedupCache())
	}
	for shard := range c.Site.Bricks {
		s.shardBricks = append(s.shardBricks, s.addBrick(shard, shard%c.Site.Zones, 0))
	}
	s.publishList()
	s.createVolumes()
	for i := range c.Site.Hosts {
		h := &hostSim{id: i, zone: i % c.Site.Zones, skew: s.drawInt(s.troubleRand, [2]int{-c.Site.SkewMS, c.Site.SkewMS}) * 1000}
		s.hosts = append(s.hosts, h)
		if err := s.startHost(h); err != nil {
			return nil, err
		}
	}
	s.scheduleTroubles()
	s.push(startTime+int64(c.Site.UsagePeriodMS)*1000, event{kind: evUsagePeriodEnd})
	s.push(startTime, event{kind: evSample})
	for i := range s.volumes {
		s.push(startTime+s.drawGap(s.volumes[i]), event{kind: evNewRequest, target: int32(i)})
	}
	return s, nil
}

// newRand returns the random source of a stream. Sources with different stream
// numbers are independent.
func newRand(seed uint64, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// drawInt draws an integer between of[0] and of[1], both included.
func (s *Sim) drawInt(r *rand.Rand, of [2]int) int64 {
	return int64(of[0]) + r.Int64N(int64(max(0, of[1]-of[0]))+1)
}

func (s *Sim) push(at int64, e event) { s.queue.Push(at, e) }

// addBrick adds a brick that started at the given time and returns its number.
func (s *Sim) addBrick(shard, zone int, started int64) int {
	i := len(s.bricks)
	random := newRand(s.scenario.Seed, 1000+uint64(i))
	speed := s.scenario.Site.Brick.Speed
	b := &brickSim{number: i, jobs: map[int32]*attempt{}, random: random, Brick: model.NewBrick(fmt.Sprintf("brick-%d", i), zone, shard,
		speed[0]+random.Float64()*(speed[1]-speed[0]), started, &s.brickParams, s.dedupCaches[zone])}
	s.bricks = append(s.bricks, b)
	s.bricksByName[arrowwalk.NodeID(b.Name)] = b
	if started > 0 {
		s.trace.Capacities = append(s.trace.Capacities, rules.Capacity{Brick: b.Name, Started: started, UnitsPerSec: b.Capacity()})
	}
	s.push(s.now+s.brickParams.DeferredInterval, event{kind: evBackgroundWork, target: int32(i)})
	return i
}

// Run simulates until the scenario's end and returns the result.
func (s *Sim) Run() (*Result, error) {
	for s.err == nil {
		at, e, ok := s.queue.Pop()
		if !ok || at > s.end {
			break
		}
		s.now = at
		s.events++
		s.handleEvent(&e)
	}
	if s.err != nil {
		return nil, s.err
	}
	return s.buildResult(), nil
}

func (s *Sim) handleEvent(e *event) {
	switch e.kind {
	case evNewRequest:
		s.generateRequest(s.volumes[e.target])
	case evSendTry:
		s.sendTry(e.request)
	case evClientTimeout:
		s.handleClientTimeout(e.request)
	case evAttemptArrival:
		s.arriveAtBrick(e.attempt)
	case evJobDone:
		s.finishJob(s.bricks[e.target], int32(e.arg), e.attempt)
	case evBackgroundWork:
		s.runBackgroundWork(s.bricks[e.target])
	case evUsagePeriodEnd:
		s.endUsagePeriod()
	case evUsageReport:
		for _, v := range s.volumes {
			v.reportedUsage = v.lastUsage
		}
	case evSample:
		s.recordSample()
	case evScheduled:
		e.run()
	default:
		s.deliverToHost(e)
	}
}

// hashEvent adds an event to the run's hash.
func (s *Sim) hashEvent(tag byte, a, b, c int64) {
	var buf [33]byte
	buf[0] = tag
	binary.LittleEndian.PutUint64(buf[1:], uint64(s.now))
	binary.LittleEndian.PutUint64(buf[9:], uint64(a))
	binary.LittleEndian.PutUint64(buf[17:], uint64(b))
	binary.LittleEndian.PutUint64(buf[25:], uint64(c))
	s.digest.Write(buf[:])
}

// drawDelay draws the one-way delay of a message between a host and a brick in
// microseconds.
func (s *Sim) drawDelay() int64 { return s.drawInt(s.netRand, s.scenario.Site.DelayUS) }

// arriveAtBrick delivers an attempt to its brick and adds it to the trace.
func (s *Sim) arriveAtBrick(att *attempt) {
	b, r := s.bricks[att.brick], att.request
	s.hashEvent('a', int64(r.id), int64(att.number), int64(b.number))
	att.arrivalIndex = int32(len(s.trace.Arrivals))
	method, key := "GET", ""
	if r.class == classWrite {
		method, key = "PUT", att.taskName()
	}
	s.trace.Arrivals = append(s.trace.Arrivals, rules.Arrival{At: s.now, Ended: s.now, Brick: b.Name, Zone: fmt.Sprint("zone-", b.Zone), Started: b.Started,
		Request: fmt.Sprintf("%s.%d", att.taskName(), att.number), Host: r.host, Method: method, Space: "objects", Name: r.name(), Volume: uint64(r.volume.number),
		Units: r.units, Key: key})
	j := &model.Job{Units: r.units, Work: r.cost, Write: r.class == classWrite, Item: r.item, FirstAttempt: att.number == 0}
	if j.Write {
		j.Key = r.id<<8 | uint64(r.tries)
	}
	b.units += r.units
	switch b.Admit(s.now, j, b.random.Float64()) {
	case model.QueueFull:
		s.sendAnswer(b, att, arrowwalk.Overloaded)
	case model.Failed:
		s.sendAnswer(b, att, arrowwalk.Failed)
	case model.Duplicate:
		s.trace.Arrivals[att.arrivalIndex].Repeat = true
		s.sendAnswer(b, att, arrowwalk.OK)
	case model.Accepted:
		b.seq++
		j.ID = b.seq
		b.jobs[j.ID] = att
		att.job = j
		s.startJobs(b)
	}
}

// startJobs starts jobs on the brick's idle cores.
func (s *Sim) startJobs(b *brickSim) {
	for j := b.StartNext(s.now); j != nil; j = b.StartNext(s.now) {
		if j.IsBackground() {
			s.push(j.FinishAt, event{kind: evJobDone, target: int32(b.number), arg: -1, attempt: &attempt{job: j}})
		} else {
			s.push(j.FinishAt, event{kind: evJobDone, target: int32(b.number), arg: int64(j.ID), attempt: b.jobs[j.ID]})
		}
	}
}

// finishJob takes a finished job off its core, sends its answer and starts
// further jobs. A job that was delayed by a pause is scheduled again.
func (s *Sim) finishJob(b *brickSim, ref int32, att *attempt) {
	retryAt, lost := b.Finish(s.now, att.job)
	switch {
	case lost:
		return
	case retryAt > 0:
		s.push(retryAt, event{kind: evJobDone, target: int32(b.number), arg: int64(ref), attempt: att})
		return
	}
	if ref >= 0 {
		delete(b.jobs, ref)
		r := att.request
		s.result.work += r.cost
		if r.unwanted {
			s.result.wasted += r.cost
		}
		if a := &s.trace.Arrivals[att.arrivalIndex]; r.class == classWrite {
			a.Stored = true
		}
		r.volume.servedUnits += r.units
		att.othersUnits = b.RecordServed(uint32(r.volume.number), int32(r.host), r.units)
		s.sendAnswer(b, att, arrowwalk.OK)
	}
	s.startJobs(b)
}

// runBackgroundWork starts deferred work if it is due, and schedules the next
// check.
func (s *Sim) runBackgroundWork(b *brickSim) {
	if b.Dead || b.Collapsed {
		return
	}
	s.startJobs(b)
	s.push(s.now+s.brickParams.DeferredInterval, event{kind: evBackgroundWork, target: int32(b.number)})
}

// sendAnswer sends a brick's answer to the host, unless the answer gets lost.
func (s *Sim) sendAnswer(b *brickSim, att *attempt, status arrowwalk.Status) {
	a := &s.trace.Arrivals[att.arrivalIndex]
	a.Ended = s.now
	a.Status = map[arrowwalk.Status]int{arrowwalk.OK: 200, arrowwalk.Overloaded: 503, arrowwalk.Failed: 500}[status]
	att.status = status
	if s.troubleRand.Float64() < s.answerLoss[b.number] || s.isMessageLost(att.request.host, b) {
		return
	}
	s.push(s.now+s.drawDelay(), event{kind: evAnswerArrival, target: int32(att.request.host), attempt: att})
}

// isMessageLost decides whether a message between a host and a brick gets lost.
// It may draw a random number.
func (s *Sim) isMessageLost(host int, b *brickSim) bool {
	if h := s.hosts[host]; s.isolatedZone >= 0 && h.zone == s.isolatedZone && b.Zone != s.isolatedZone {
		return true
	}
	return s.scenario.Site.Loss > 0 && s.netRand.Float64() < s.scenario.Site.Loss
}

// endUsagePeriod computes the volumes' usage of the period that ends and
// schedules its report.
func (s *Sim) endUsagePeriod() {
	for _, v := range s.volumes {
		rate := s.planRates[v.plan] * float64(s.scenario.Site.UsagePeriodMS) / 1000
		v.lastUsage = 1 + 100*v.servedUnits/rate
		v.servedUnits = 0
	}
	s.push(s.now+300_000+s.usageDelay, event{kind: evUsageReport})
	s.push(s.now+int64(s.scenario.Site.UsagePeriodMS)*1000, event{kind: evUsagePeriodEnd})
}

// PlanRates returns the plans' rates in units per second.
func (s *Sim) PlanRates() []float64 { return s.planRates }

// VolumeView describes a volume as it was drawn.
type VolumeView struct {
	Plan   int
	Rate   float64 // requests per second
	Shards []int
	Hosts  []int
}

// Volumes returns all volumes.
func (s *Sim) Volumes() []VolumeView {
	var out []VolumeView
	for _, v := range s.volumes {
		out = append(out, VolumeView{v.plan, v.rate, v.shards, v.hosts})
	}
	return out
}

// BrickSpeeds returns the core speed of the brick that serves each shard.
func (s *Sim) BrickSpeeds() []float64 {
	var out []float64
	for _, i := range s.shardBricks {
		out = append(out, s.bricks[i].Speed)
	}
	return out
}
