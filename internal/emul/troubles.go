package emul

import (
	"math"

	"arrowwalk"
	"arrowwalk/internal/emul/scenario"
)

// plan puts the timeline's troubles into the queue.
func (s *Sim) plan() {
	s.first = s.end
	for i := range s.s.Timeline {
		e := &s.s.Timeline[i]
		at, span := base+int64(e.At*1e6), int64(e.Duration*1e6)
		over := at + span + int64(e.LengthMS)*1000
		if e.Kind == "replace" {
			over += 2_000_000
		}
		s.first, s.settle = min(s.first, at), max(s.settle, over)
		s.at(at, func() { s.begin(e, at+span) })
	}
}

func (s *Sim) at(t int64, do func()) { s.push(t, event{kind: evTrouble, do: do}) }

// some returns how many of n a trouble meets.
func some(e *scenario.Event, n int) int {
	if e.Count > 0 {
		return min(e.Count, n)
	}
	return min(n, max(1, int(math.Round(e.Share*float64(n)))))
}

// serving draws bricks that serve a shard now.
func (s *Sim) serving(e *scenario.Event) []*brickSim {
	var out []*brickSim
	for _, shard := range pick(s.odd, len(s.shards), some(e, len(s.shards))) {
		if i := s.shards[shard]; i >= 0 {
			out = append(out, s.bricks[i])
		}
	}
	return out
}

// begin starts a trouble, and puts its end into the queue.
func (s *Sim) begin(e *scenario.Event, until int64) {
	switch e.Kind {
	case "slow", "fail", "lose", "mute":
		s.beginBricks(e, until)
	case "still":
		list := s.serving(e)
		s.every(e, until, func() {
			for _, b := range list {
				b.Pause(s.now, int64(e.LengthMS)*1000)
			}
		})
	case "replace":
		for _, b := range s.serving(e) {
			s.replace(b, int64(e.Duration*1e6))
		}
	case "surge":
		s.surge *= e.Factor
		s.at(until, func() { s.surge /= e.Factor })
	case "heavy":
		s.beginHeavy(e, until)
	case "impatient":
		s.hasty = e
		s.at(until, func() { s.hasty = nil })
	case "late_reports":
		s.lateBy = int64(e.LengthMS) * 1000
		s.at(until, func() { s.lateBy = 0 })
	case "cut_bricks":
		s.cutZone = e.Zone
		s.at(until, func() { s.cutZone = -1 })
	case "crash_hosts", "stall_hosts":
		s.beginHosts(e, until)
	default:
		s.beginList(e, until)
	}
}

func (s *Sim) beginBricks(e *scenario.Event, until int64) {
	for _, b := range s.serving(e) {
		switch e.Kind {
		case "slow":
			b.Slowdown = max(1, e.Factor)
			s.at(until, func() { b.Slowdown = 1 })
		case "fail":
			b.FailureRate = e.Factor
			s.at(until, func() { b.FailureRate = 0 })
		case "lose":
			s.lossOf[b.number] = e.Factor
			s.at(until, func() { delete(s.lossOf, b.number) })
		case "mute":
			b.mute = true
			b.Kill()
		}
	}
}

// every does something now and again until a time.
func (s *Sim) every(e *scenario.Event, until int64, do func()) {
	do()
	if next := s.now + int64(e.IntervalMS)*1000; e.IntervalMS > 0 && next < until {
		s.at(next, func() { s.every(e, until, do) })
	}
}

// replace drains a brick; two seconds later it is dead, and after a span a cold
// one has its place.
func (s *Sim) replace(b *brickSim, span int64) {
	if s.shards[b.Shard] != b.number || b.Dead {
		return
	}
	s.shards[b.Shard] = -1
	s.publish()
	s.at(s.now+2_000_000, func() {
		b.Kill()
		s.publish()
	})
	s.at(s.now+2_000_000+span, func() {
		s.shards[b.Shard] = s.addBrick(b.Shard, b.Zone, s.now)
		s.publish()
	})
}

// listed is what discovery says of a brick: it knows whether a process runs.
func (s *Sim) listed(b *brickSim) arrowwalk.NodeState {
	switch {
	case b.Dead && !b.mute:
		return arrowwalk.Removed
	case s.shards[b.Shard] == b.number:
		return arrowwalk.Ready
	}
	return arrowwalk.Draining
}

func (s *Sim) beginHeavy(e *scenario.Event, until int64) {
	total := 0.0
	for _, v := range s.volumes {
		total += v.rate
	}
	list := pick(s.odd, len(s.volumes), max(1, e.Count))
	for _, i := range list {
		v, more := s.volumes[i], e.Factor*total/float64(len(list))
		v.extra += more
		s.at(until, func() { v.extra -= more })
	}
}

func (s *Sim) beginHosts(e *scenario.Event, until int64) {
	for _, i := range pick(s.odd, len(s.hosts), some(e, len(s.hosts))) {
		h := s.hosts[i]
		if e.Kind == "crash_hosts" {
			s.at(s.now+s.odd.Int64N(500_000), func() { s.crash(h, int64(e.LengthMS)*1000) })
			continue
		}
		jitter := s.odd.Int64N(int64(e.IntervalMS)*1000 + 1)
		s.at(s.now+jitter, func() { s.every(e, until, func() { s.stall(h, int64(e.LengthMS)*1000) }) })
	}
}

// beginList has discovery be down, for all or for some, or go back in time.
func (s *Sim) beginList(e *scenario.Event, until int64) {
	switch e.Kind {
	case "list_back":
		for _, h := range s.hosts {
			s.tell(h, 0)
		}
		s.at(until, func() {
			for _, h := range s.hosts {
				s.tell(h, len(s.lists)-1)
			}
		})
		return
	case "list_down":
		s.listDown = true
		s.at(until, func() { s.listDown = false })
	default:
		for _, h := range s.hosts {
			if e.Kind == "list_half" && h.id%2 == 0 || e.Kind == "cut_list" && h.zone == e.Zone {
				s.blocked[h.id] = true
			}
		}
		s.at(until, func() { clear(s.blocked) })
	}
	s.at(until, func() {
		for _, h := range s.hosts {
			s.push(s.now, event{kind: evUnblocked, who: int32(h.id)})
		}
	})
}
