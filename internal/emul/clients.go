package emul

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"arrowwalk"
	"arrowwalk/internal/emul/scenario"
	"arrowwalk/internal/rules"
)

const (
	classRead  = 0
	classWrite = 1
	// margin is what a gateway keeps of a client's time for its own way.
	margin = 5_000
	// slack is how late an answer may be on the wire.
	slack = 20_000
)

// volume is a collection with the clients that use it.
type volume struct {
	number int
	plan   int
	rate   float64 // requests a second that its clients ask for
	extra  float64 // and more, while it is heavy
	shards []int
	hosts  []int
	hot    int
	rnd    *rand.Rand
	seq    uint64
	served float64 // units in this period
	last   float64 // figure of use of the last period,
	told   float64 // and what answers tell
	due    float64 // worth
	got    float64
}

// request is one try of a client; its further tries are new ones.
type request struct {
	id       uint64
	volume   *volume
	class    int
	units    float64
	cost     float64
	item     uint64
	shard    int
	host     int
	born     int64 // the first try's
	sentAt   int64
	until    int64
	leave    int64 // when the client gives up, before until where it is hasty
	tries    int
	left     int // tries that are left
	task     arrowwalk.RequestID
	sent     int // attempts
	running  *attempt
	final    bool // the client has an answer, or has gone
	over     bool // and wants none: what still runs is wasted
	accepted bool
}

func (r *request) name() string { return fmt.Sprintf("v%d/%d", r.volume.number, r.id) }

// makeVolumes draws the collections, and their rates so that the load is as
// the scenario wants it.
func (s *Sim) makeVolumes() {
	l := &s.s.Load
	rnd := source(s.s.Seed, 3)
	sizes := 0.0
	for i := range l.Volumes {
		v := &volume{number: i, rnd: source(s.s.Seed, 10_000+uint64(i))}
		at := (float64(i) + 0.5) / float64(l.Volumes)
		for p := range l.Plans {
			if at -= l.Plans[p].Share; at <= 0 || p == len(l.Plans)-1 {
				v.plan = p
				break
			}
		}
		p := &l.Plans[v.plan]
		v.shards = pick(rnd, s.s.Site.Bricks, int(s.span(rnd, p.Shards)))
		v.hosts = pick(rnd, s.s.Site.Hosts, int(s.span(rnd, p.Hosts)))
		sizes += p.Size
		s.volumes = append(s.volumes, v)
	}
	capacity := 0.0
	for _, b := range s.bricks {
		capacity += b.Capacity()
	}
	unit := l.Utilization * capacity / sizes // units a second of size 1
	for p := range l.Plans {
		s.rates = append(s.rates, unit*l.Plans[p].Size)
	}
	for _, v := range s.volumes {
		p := &l.Plans[v.plan]
		v.rate = s.rates[v.plan] / s.s.MeanUnits()
		if rnd.Float64() < p.GreedyShare {
			v.rate *= max(1, p.GreedyFactor)
		}
	}
}

// pick draws n different numbers below of.
func pick(rnd *rand.Rand, of, n int) []int {
	list := rnd.Perm(of)[:min(n, of)]
	slices.Sort(list)
	return list
}

// gap draws the time to a volume's next request.
func (s *Sim) gap(v *volume) int64 {
	return 1 + int64(v.rnd.ExpFloat64()*1e6/(v.rate*s.surge+v.extra))
}

// next has a volume's next request come.
func (s *Sim) next(v *volume) {
	s.push(s.now+s.gap(v), event{kind: evNext, who: int32(v.number)})
	l := &s.s.Load
	v.seq++
	if hot := int64(l.HotHostPeriodMS) * 1000; hot > 0 {
		v.hot = int((s.now/hot + int64(v.number)) % int64(len(v.hosts)))
	}
	r := &request{id: v.seq<<20 | uint64(v.number), volume: v, units: float64(s.span(v.rnd, l.Units)), born: s.now, left: l.Retries,
		shard: v.shards[v.rnd.IntN(len(v.shards))], host: v.hosts[v.hot]}
	if v.rnd.IntN(2) == 0 {
		r.host = v.hosts[v.rnd.IntN(len(v.hosts))]
	}
	class := &l.Read
	if v.rnd.Float64() >= l.Read.Share {
		r.class, class = classWrite, &l.Write
	}
	r.item = uint64(v.number)<<8 | uint64(v.rnd.IntN(20))
	r.cost = class.WorkMS * 1000 * r.units / s.s.MeanUnits() * (0.7 + 0.6*v.rnd.Float64())
	r.until = s.now + int64(class.DeadlineMS)*1000
	if e := s.hasty; e != nil && v.rnd.Float64() < e.Share && (e.Plan == "" || e.Plan == l.Plans[v.plan].Name) {
		r.left = max(1, int(e.Factor))
		r.leave = int64(0.35 * float64(class.AimMS) * 1000)
	}
	s.result.due(s, r)
	s.try(r)
}

// try sends a request to its host.
func (s *Sim) try(r *request) {
	r.sentAt = s.now
	at := r.until + 1000
	if r.leave > 0 {
		at = min(at, s.now+r.leave)
	}
	h := s.hosts[r.host]
	if !h.up {
		s.cut(r)
		return
	}
	s.push(at, event{kind: evGiveUp, who: int32(r.host), rq: r})
	s.atHost(&event{kind: evTry, who: int32(r.host), rq: r})
}

// accept has a host hand a request to the module.
func (s *Sim) accept(h *hostSim, r *request) {
	if r.final {
		return
	}
	h.last++
	r.task, r.accepted = arrowwalk.RequestID(h.last), true
	h.requests[r.task] = r
	wait := r.until - r.sentAt // as the request says
	if s.found > 0 && s.s.Site.BacklogAge == scenario.BacklogAgeHalf {
		wait -= (h.stood.End - h.stood.Start) / 2
	}
	wait -= s.now - s.came()
	h.inbox = append(h.inbox, &arrowwalk.Request{ID: r.task, Class: r.class, TimeLeft: arrowwalk.Micros(max(1, wait-margin)), Units: r.units, Shard: r.shard,
		IsRetry: r.tries > 0, Volume: arrowwalk.Volume{ID: arrowwalk.VolumeID(r.volume.number + 1), Plan: r.volume.plan, Hosts: len(r.volume.hosts)}})
}

// finalAnswer gives a client the one final word.
func (s *Sim) finalAnswer(h *hostSim, r *request, status int) {
	if r.final {
		return
	}
	r.final, r.over = true, true
	s.call(r, status, false)
	if status == 200 {
		s.result.served(s, r)
		return
	}
	s.again(r, status)
}

// giveUp has a client wait no longer: it hangs up, and its host hears of it.
func (s *Sim) giveUp(r *request) {
	if r.final {
		return
	}
	r.final, r.over = true, true
	s.call(r, 0, s.now < r.until)
	s.again(r, 0)
	s.atHost(&event{kind: evGiveUp, who: int32(r.host), rq: r})
}

// abandoned has a host hear that a client has gone.
func (s *Sim) abandoned(h *hostSim, r *request) bool {
	if !r.accepted || h.requests[r.task] != r {
		return false
	}
	h.inbox = append(h.inbox, &arrowwalk.Abandoned{Request: r.task})
	if at := r.running; at != nil {
		s.push(s.now, event{kind: evOutcome, who: int32(h.id), n: int64(arrowwalk.Cancelled), at: at})
	} else {
		delete(h.requests, r.task)
	}
	return true
}

// cut ends a try whose host died, or is not there.
func (s *Sim) cut(r *request) {
	r.final, r.over = true, true
	s.call(r, 0, false)
	s.again(r, 0)
}

// again has the client try once more, or counts what it got.
func (s *Sim) again(r *request, status int) {
	wait := s.span(r.volume.rnd, s.s.Load.RetryMS) * 1000
	if r.leave > 0 {
		wait = 1000
	}
	if r.left <= 0 || s.now+wait >= r.until {
		s.result.lost(s, r, status)
		return
	}
	n := *r
	n.tries, n.left, n.sent, n.running, n.final, n.over, n.accepted = r.tries+1, r.left-1, 0, nil, false, false, false
	s.push(s.now+wait, event{kind: evTry, rq: &n})
}

// call writes down what a client saw of one try.
func (s *Sim) call(r *request, status int, left bool) {
	s.mark('c', int64(r.id), int64(r.tries), int64(status))
	h := s.hosts[r.host]
	c := rules.Call{Client: fmt.Sprint("v", r.volume.number), Host: r.host, Method: "GET", Key: r.name(), Write: r.class == classWrite, Sent: r.sentAt,
		Waits: r.until - r.sentAt, Ended: s.now, Status: status, Whole: true, Left: left, RetryTold: true, Stopping: h.downDuring(r.sentAt, s.now)}
	if c.Write {
		c.Method = "PUT"
	}
	if status != 0 {
		c.Begun = s.now
		c.ID = fmt.Sprintf("%d-%d-%d", r.host, h.run, r.id<<8|uint64(r.tries))
	}
	s.trace.Calls = append(s.trace.Calls, c)
}

func sortedRequests(of map[arrowwalk.RequestID]*request) []*request {
	ids := make([]arrowwalk.RequestID, 0, len(of))
	for id := range of {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	out := make([]*request, len(ids))
	for i, id := range ids {
		out[i] = of[id]
	}
	return out
}
