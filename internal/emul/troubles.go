package emul

import (
	"math"

	"arrowwalk"
	"arrowwalk/internal/emul/scenario"
)

// scheduleTroubles schedules the events of the scenario's timeline.
func (s *Sim) scheduleTroubles() {
	s.troublesStart = s.end
	for i := range s.scenario.Timeline {
		e := &s.scenario.Timeline[i]
		at, span := startTime+int64(e.At*1e6), int64(e.Duration*1e6)
		end := at + span + int64(e.LengthMS)*1000
		if e.Kind == "replace" {
			end += 2_000_000
		}
		s.troublesStart, s.troublesEnd = min(s.troublesStart, at), max(s.troublesEnd, end)
		s.schedule(at, func() { s.beginTrouble(e, at+span) })
	}
}

// schedule runs a function at time t.
func (s *Sim) schedule(t int64, fn func()) { s.push(t, event{kind: evScheduled, run: fn}) }

// affectedCount returns how many of n bricks or hosts the event affects.
func affectedCount(e *scenario.Event, n int) int {
	if e.Count > 0 {
		return min(e.Count, n)
	}
	return min(n, max(1, int(math.Round(e.Share*float64(n)))))
}

// pickServingBricks draws the affected bricks among those that serve a shard.
func (s *Sim) pickServingBricks(e *scenario.Event) []*brickSim {
	var out []*brickSim
	for _, shard := range sampleIndexes(s.troubleRand, len(s.shardBricks), affectedCount(e, len(s.shardBricks))) {
		if i := s.shardBricks[shard]; i >= 0 {
			out = append(out, s.bricks[i])
		}
	}
	return out
}

// beginTrouble starts a timeline event and schedules its end.
func (s *Sim) beginTrouble(e *scenario.Event, until int64) {
	switch e.Kind {
	case "slow", "fail", "lose", "mute":
		s.beginBrickTrouble(e, until)
	case "still":
		list := s.pickServingBricks(e)
		s.repeatUntil(e, until, func() {
			for _, b := range list {
				b.Pause(s.now, int64(e.LengthMS)*1000)
			}
		})
	case "replace":
		for _, b := range s.pickServingBricks(e) {
			s.replaceBrick(b, int64(e.Duration*1e6))
		}
	case "surge":
		s.loadFactor *= e.Factor
		s.schedule(until, func() { s.loadFactor /= e.Factor })
	case "heavy":
		s.beginHeavyVolumes(e, until)
	case "impatient":
		s.impatience = e
		s.schedule(until, func() { s.impatience = nil })
	case "late_reports":
		s.usageDelay = int64(e.LengthMS) * 1000
		s.schedule(until, func() { s.usageDelay = 0 })
	case "cut_bricks":
		s.isolatedZone = e.Zone
		s.schedule(until, func() { s.isolatedZone = -1 })
	case "crash_hosts", "stall_hosts":
		s.beginHostTrouble(e, until)
	default:
		s.beginListTrouble(e, until)
	}
}

// beginBrickTrouble starts a trouble that slows, fails or kills bricks or loses
// their answers.
func (s *Sim) beginBrickTrouble(e *scenario.Event, until int64) {
	for _, b := range s.pickServingBricks(e) {
		switch e.Kind {
		case "slow":
			b.Slowdown = max(1, e.Factor)
			s.schedule(until, func() { b.Slowdown = 1 })
		case "fail":
			b.FailureRate = e.Factor
			s.schedule(until, func() { b.FailureRate = 0 })
		case "lose":
			s.answerLoss[b.number] = e.Factor
			s.schedule(until, func() { delete(s.answerLoss, b.number) })
		case "mute":
			b.mute = true
			b.Kill()
		}
	}
}

// repeatUntil calls fn now and then at the event's interval until the given
// time.
func (s *Sim) repeatUntil(e *scenario.Event, until int64, fn func()) {
	fn()
	if next := s.now + int64(e.IntervalMS)*1000; e.IntervalMS > 0 && next < until {
		s.schedule(next, func() { s.repeatUntil(e, until, fn) })
	}
}

// replaceBrick drains a brick and stops it two seconds later. After span
// further microseconds a cold brick takes its place.
func (s *Sim) replaceBrick(b *brickSim, span int64) {
	if s.shardBricks[b.Shard] != b.number || b.Dead {
		return
	}
	s.shardBricks[b.Shard] = -1
	s.publishList()
	s.schedule(s.now+2_000_000, func() {
		b.Kill()
		s.publishList()
	})
	s.schedule(s.now+2_000_000+span, func() {
		s.shardBricks[b.Shard] = s.addBrick(b.Shard, b.Zone, s.now)
		s.publishList()
	})
}

// listedState returns the state of a brick in the node list. Discovery knows
// whether a process runs, but lists a mute brick as if it did.
func (s *Sim) listedState(b *brickSim) arrowwalk.NodeState {
	switch {
	case b.Dead && !b.mute:
		return arrowwalk.Removed
	case s.shardBricks[b.Shard] == b.number:
		return arrowwalk.Ready
	}
	return arrowwalk.Draining
}

// beginHeavyVolumes adds load to a few volumes.
func (s *Sim) beginHeavyVolumes(e *scenario.Event, until int64) {
	total := 0.0
	for _, v := range s.volumes {
		total += v.rate
	}
	list := sampleIndexes(s.troubleRand, len(s.volumes), max(1, e.Count))
	for _, i := range list {
		v, extra := s.volumes[i], e.Factor*total/float64(len(list))
		v.extraRate += extra
		s.schedule(until, func() { v.extraRate -= extra })
	}
}

// beginHostTrouble crashes or stalls hosts.
func (s *Sim) beginHostTrouble(e *scenario.Event, until int64) {
	for _, i := range sampleIndexes(s.troubleRand, len(s.hosts), affectedCount(e, len(s.hosts))) {
		h := s.hosts[i]
		if e.Kind == "crash_hosts" {
			s.schedule(s.now+s.troubleRand.Int64N(500_000), func() { s.crashHost(h, int64(e.LengthMS)*1000) })
			continue
		}
		jitter := s.troubleRand.Int64N(int64(e.IntervalMS)*1000 + 1)
		s.schedule(s.now+jitter, func() { s.repeatUntil(e, until, func() { s.stallHost(h, int64(e.LengthMS)*1000) }) })
	}
}

// beginListTrouble stops discovery for all or some hosts, or has it send its
// first version again.
func (s *Sim) beginListTrouble(e *scenario.Event, until int64) {
	switch e.Kind {
	case "list_back":
		for _, h := range s.hosts {
			s.sendList(h, 0)
		}
		s.schedule(until, func() {
			for _, h := range s.hosts {
				s.sendList(h, len(s.listVersions)-1)
			}
		})
		return
	case "list_down":
		s.listDown = true
		s.schedule(until, func() { s.listDown = false })
	default:
		for _, h := range s.hosts {
			if e.Kind == "list_half" && h.id%2 == 0 || e.Kind == "cut_list" && h.zone == e.Zone {
				s.listBlocked[h.id] = true
			}
		}
		s.schedule(until, func() { clear(s.listBlocked) })
	}
	s.schedule(until, func() {
		for _, h := range s.hosts {
			s.push(s.now, event{kind: evListReachable, target: int32(h.id)})
		}
	})
}
