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
	// answerMargin is the time, in microseconds, that a gateway reserves for
	// answering its client before the client's deadline.
	answerMargin = 5_000
	// callSlack is how late an answer may reach the client, in microseconds,
	// without counting as a violation.
	callSlack = 20_000
)

// volume is a collection together with the clients that use it.
type volume struct {
	number        int
	plan          int
	rate          float64 // requests per second from its clients
	extraRate     float64 // additional requests per second while a "heavy" trouble is active
	shards        []int
	hosts         []int
	hotHost       int
	random        *rand.Rand
	seq           uint64
	servedUnits   float64 // units served in the current usage period
	lastUsage     float64 // usage of the last complete period: 1 + percentage of the plan's rate
	reportedUsage float64 // usage that answers report at present
	dueWorth      float64 // worth of all its requests, had each met its aim
	earnedWorth   float64
}

// request is one try of a client. Each retry is a new request.
type request struct {
	id          uint64
	volume      *volume
	class       int
	units       float64
	cost        float64 // microseconds of work on a core of speed 1
	item        uint64
	shard       int
	host        int
	createdAt   int64 // when the client sent the first try
	sentAt      int64
	deadline    int64 // when the client stops waiting
	giveUpAfter int64 // when an impatient client abandons the try, counted from its start; 0: at the deadline
	tries       int
	retriesLeft int
	taskID      arrowwalk.RequestID
	attempts    int // attempts sent for this try
	running     *attempt
	answered    bool // the client has its answer or has gone
	unwanted    bool // the client needs no answer; work that still runs is wasted
	accepted    bool
}

func (r *request) name() string { return fmt.Sprintf("v%d/%d", r.volume.number, r.id) }

// createVolumes draws the volumes and sets their rates so that the total load
// is the scenario's utilization of the bricks' warm capacity.
func (s *Sim) createVolumes() {
	l := &s.scenario.Load
	random := newRand(s.scenario.Seed, 3)
	sizes := 0.0
	for i := range l.Volumes {
		v := &volume{number: i, random: newRand(s.scenario.Seed, 10_000+uint64(i))}
		at := (float64(i) + 0.5) / float64(l.Volumes)
		for p := range l.Plans {
			if at -= l.Plans[p].Share; at <= 0 || p == len(l.Plans)-1 {
				v.plan = p
				break
			}
		}
		p := &l.Plans[v.plan]
		v.shards = sampleIndexes(random, s.scenario.Site.Bricks, int(s.drawInt(random, p.Shards)))
		v.hosts = sampleIndexes(random, s.scenario.Site.Hosts, int(s.drawInt(random, p.Hosts)))
		sizes += p.Size
		s.volumes = append(s.volumes, v)
	}
	capacity := 0.0
	for _, b := range s.bricks {
		capacity += b.Capacity()
	}
	unit := l.Utilization * capacity / sizes // units per second for a plan of size 1
	for p := range l.Plans {
		s.planRates = append(s.planRates, unit*l.Plans[p].Size)
	}
	for _, v := range s.volumes {
		p := &l.Plans[v.plan]
		v.rate = s.planRates[v.plan] / s.scenario.MeanUnits()
		if random.Float64() < p.GreedyShare {
			v.rate *= max(1, p.GreedyFactor)
		}
	}
}

// sampleIndexes draws min(n, of) distinct integers from [0, of) in ascending
// order.
func sampleIndexes(random *rand.Rand, of, n int) []int {
	list := random.Perm(of)[:min(n, of)]
	slices.Sort(list)
	return list
}

// drawGap draws the time until the volume's next request in microseconds.
func (s *Sim) drawGap(v *volume) int64 {
	return 1 + int64(v.random.ExpFloat64()*1e6/(v.rate*s.loadFactor+v.extraRate))
}

// generateRequest creates the next request of v and schedules the one after it.
func (s *Sim) generateRequest(v *volume) {
	s.push(s.now+s.drawGap(v), event{kind: evNewRequest, target: int32(v.number)})
	l := &s.scenario.Load
	v.seq++
	if period := int64(l.HotHostPeriodMS) * 1000; period > 0 {
		v.hotHost = int((s.now/period + int64(v.number)) % int64(len(v.hosts)))
	}
	r := &request{id: v.seq<<20 | uint64(v.number), volume: v, units: float64(s.drawInt(v.random, l.Units)), createdAt: s.now, retriesLeft: l.Retries,
		shard: v.shards[v.random.IntN(len(v.shards))], host: v.hosts[v.hotHost]}
	if v.random.IntN(2) == 0 {
		r.host = v.hosts[v.random.IntN(len(v.hosts))]
	}
	class := &l.Read
	if v.random.Float64() >= l.Read.Share {
		r.class, class = classWrite, &l.Write
	}
	r.item = uint64(v.number)<<8 | uint64(v.random.IntN(20))
	r.cost = class.WorkMS * 1000 * r.units / s.scenario.MeanUnits() * (0.7 + 0.6*v.random.Float64())
	r.deadline = s.now + int64(class.DeadlineMS)*1000
	if e := s.impatience; e != nil && v.random.Float64() < e.Share && (e.Plan == "" || e.Plan == l.Plans[v.plan].Name) {
		r.retriesLeft = max(1, int(e.Factor))
		r.giveUpAfter = int64(0.35 * float64(class.AimMS) * 1000)
	}
	s.result.recordDue(s, r)
	s.sendTry(r)
}

// sendTry delivers the try to its host and schedules the client's timeout. The
// try breaks at once if the host is down.
func (s *Sim) sendTry(r *request) {
	r.sentAt = s.now
	at := r.deadline + 1000
	if r.giveUpAfter > 0 {
		at = min(at, s.now+r.giveUpAfter)
	}
	h := s.hosts[r.host]
	if !h.up {
		s.breakTry(r)
		return
	}
	s.push(at, event{kind: evClientTimeout, target: int32(r.host), request: r})
	s.deliverToHost(&event{kind: evSendTry, target: int32(r.host), request: r})
}

// acceptRequest passes the try to the host's scheduler as a Request event.
func (s *Sim) acceptRequest(h *hostSim, r *request) {
	if r.answered {
		return
	}
	h.lastTaskID++
	r.taskID, r.accepted = arrowwalk.RequestID(h.lastTaskID), true
	h.requests[r.taskID] = r
	wait := r.deadline - r.sentAt // the timeout in the request header
	if s.backlogArrival > 0 && s.scenario.Site.BacklogAge == scenario.BacklogAgeHalf {
		wait -= (h.lastStall.End - h.lastStall.Start) / 2
	}
	wait -= s.now - s.arrivalTime()
	h.inbox = append(h.inbox, &arrowwalk.Request{ID: r.taskID, Class: r.class, TimeLeft: arrowwalk.Micros(max(1, wait-answerMargin)), Units: r.units, Shard: r.shard,
		IsRetry: r.tries > 0, Volume: arrowwalk.Volume{ID: arrowwalk.VolumeID(r.volume.number + 1), Plan: r.volume.plan, Hosts: len(r.volume.hosts)}})
}

// answerClient delivers the final answer of a try to its client.
func (s *Sim) answerClient(h *hostSim, r *request, status int) {
	if r.answered {
		return
	}
	r.answered, r.unwanted = true, true
	s.recordCall(r, status, false)
	if status == 200 {
		s.result.recordServed(s, r)
		return
	}
	s.retryOrFail(r, status)
}

// handleClientTimeout ends a try whose client stops waiting, and tells the host
// that the client has hung up.
func (s *Sim) handleClientTimeout(r *request) {
	if r.answered {
		return
	}
	r.answered, r.unwanted = true, true
	s.recordCall(r, 0, s.now < r.deadline)
	s.retryOrFail(r, 0)
	s.deliverToHost(&event{kind: evClientTimeout, target: int32(r.host), request: r})
}

// abandonRequest tells the host's scheduler that the client has hung up, and
// cancels the running attempt. It returns false if the host does not hold the
// request.
func (s *Sim) abandonRequest(h *hostSim, r *request) bool {
	if !r.accepted || h.requests[r.taskID] != r {
		return false
	}
	h.inbox = append(h.inbox, &arrowwalk.Abandoned{Request: r.taskID})
	if att := r.running; att != nil {
		s.push(s.now, event{kind: evAttemptEnd, target: int32(h.id), arg: int64(arrowwalk.Cancelled), attempt: att})
	} else {
		delete(h.requests, r.taskID)
	}
	return true
}

// breakTry ends a try whose host has crashed or is down.
func (s *Sim) breakTry(r *request) {
	r.answered, r.unwanted = true, true
	s.recordCall(r, 0, false)
	s.retryOrFail(r, 0)
}

// retryOrFail schedules the client's next try, or counts the request as refused
// or failed when no retry or no time is left.
func (s *Sim) retryOrFail(r *request, status int) {
	wait := s.drawInt(r.volume.random, s.scenario.Load.RetryMS) * 1000
	if r.giveUpAfter > 0 {
		wait = 1000
	}
	if r.retriesLeft <= 0 || s.now+wait >= r.deadline {
		s.result.recordUnserved(s, r, status)
		return
	}
	retry := *r
	retry.tries, retry.retriesLeft, retry.attempts, retry.running, retry.answered, retry.unwanted, retry.accepted = r.tries+1, r.retriesLeft-1, 0, nil, false, false, false
	s.push(s.now+wait, event{kind: evSendTry, request: &retry})
}

// recordCall adds the client's view of one try to the trace.
func (s *Sim) recordCall(r *request, status int, hungUp bool) {
	s.hashEvent('c', int64(r.id), int64(r.tries), int64(status))
	h := s.hosts[r.host]
	c := rules.Call{Client: fmt.Sprint("v", r.volume.number), Host: r.host, Method: "GET", Key: r.name(), Write: r.class == classWrite, Sent: r.sentAt,
		Waits: r.deadline - r.sentAt, Ended: s.now, Status: status, Whole: true, Left: hungUp, RetryTold: true, Stopping: h.wasDownDuring(r.sentAt, s.now)}
	if c.Write {
		c.Method = "PUT"
	}
	if status != 0 {
		c.Begun = s.now
		c.ID = fmt.Sprintf("%d-%d-%d", r.host, h.runs, r.id<<8|uint64(r.tries))
	}
	s.trace.Calls = append(s.trace.Calls, c)
}

// sortedRequests returns the requests in the order of their IDs.
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
