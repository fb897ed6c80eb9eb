package host

import (
	"sync/atomic"
	"time"

	"arrowwalk"
)

const statuses = int(arrowwalk.NotSent) + 1

// counters are what the host counts; each has one writer or is atomic.
type counters struct {
	taken    atomic.Uint64
	ended    [ClientGone + 1]atomic.Uint64
	statuses [statuses]atomic.Uint64
	steps    atomic.Uint64
	events   atomic.Uint64
	stepNS   atomic.Int64
	stepMost atomic.Int64
}

func (c *counters) step(took time.Duration, events int) {
	c.steps.Add(1)
	c.events.Add(uint64(events))
	c.stepNS.Add(int64(took))
	if int64(took) > c.stepMost.Load() {
		c.stepMost.Store(int64(took))
	}
}

// Stats are counts since the host's start.
type Stats struct {
	Accepted     uint64
	Ended        map[string]uint64 // by End
	Attempts     map[string]uint64 // by how they ended
	Steps        uint64
	Events       uint64
	MeanStepTime time.Duration
	MaxStepTime  time.Duration
	Stalls       uint64 // times that this process stood still
	MaxStall     time.Duration
}

var statusNames = [statuses]string{
	"unknown", "ok", "failed", "full", "timed_out", "unreachable", "reset", "cancelled", "moot",
}

// Stats returns the counts so far.
func (h *Host) Stats() Stats {
	c := &h.stats
	s := Stats{Accepted: c.taken.Load(), Steps: c.steps.Load(), Events: c.events.Load(),
		Ended: map[string]uint64{}, Attempts: map[string]uint64{}, MaxStepTime: time.Duration(c.stepMost.Load())}
	for end := range c.ended {
		s.Ended[TaskStatus(end).String()] = c.ended[end].Load()
	}
	for i := range c.statuses {
		s.Attempts[statusNames[i]] = c.statuses[i].Load()
	}
	s.Stalls, s.MaxStall = h.StallStats()
	if s.Steps > 0 {
		s.MeanStepTime = time.Duration(uint64(c.stepNS.Load()) / s.Steps)
	}
	return s
}

// RunningTask is a request that the host owes an answer.
type RunningTask struct {
	ClientRequestID string
	ID              arrowwalk.RequestID
	Class           int
	Volume          arrowwalk.VolumeID
	Units           float64
	Age             time.Duration
	Stage           string // queued or sent
	Brick           string
	Attempts        int
}

// Snapshot is what the loop knows, seen between two steps.
type Snapshot struct {
	Members []Member
	Running []RunningTask
	Nodes   []arrowwalk.NodeView
	Volumes []arrowwalk.VolumeView
}

func (h *Host) state() *Snapshot {
	s := &Snapshot{}
	s.Nodes, s.Volumes = h.loop.engine.View()
	for _, m := range h.loop.members {
		s.Members = append(s.Members, m)
	}
	for id, t := range h.loop.tasks {
		r := RunningTask{ClientRequestID: t.ClientRequestID, ID: id, Class: t.Class, Volume: t.Volume.ID, Units: t.Units,
			Age: time.Since(t.taken), Stage: "queued", Attempts: t.sent}
		if t.running >= 0 {
			r.Stage, r.Brick = "sent", string(t.member.ID)
		}
		s.Running = append(s.Running, r)
	}
	return s
}

// Snapshot asks the loop for what it knows; nil where the host has stopped.
func (h *Host) Snapshot() *Snapshot {
	answer := make(chan *Snapshot, 1)
	if !h.post(message{ask: func(s *Snapshot) { answer <- s }}) {
		return nil
	}
	return <-answer
}
