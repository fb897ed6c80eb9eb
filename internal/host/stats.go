package host

import (
	"sync/atomic"
	"time"

	"arrowwalk"
)

const numStatuses = int(arrowwalk.NotSent) + 1

// counters holds the host's counts. Each counter is atomic or has one writer.
type counters struct {
	accepted  atomic.Uint64
	ended     [ClientGone + 1]atomic.Uint64
	statuses  [numStatuses]atomic.Uint64
	steps     atomic.Uint64
	events    atomic.Uint64
	stepNS    atomic.Int64
	maxStepNS atomic.Int64
}

func (c *counters) recordStep(took time.Duration, events int) {
	c.steps.Add(1)
	c.events.Add(uint64(events))
	c.stepNS.Add(int64(took))
	if int64(took) > c.maxStepNS.Load() {
		c.maxStepNS.Store(int64(took))
	}
}

// Stats holds counts since the host's start.
type Stats struct {
	Accepted     uint64            // tasks passed to Do
	Ended        map[string]uint64 // tasks by TaskStatus
	Attempts     map[string]uint64 // finished attempts by status
	Steps        uint64
	Events       uint64
	MeanStepTime time.Duration
	MaxStepTime  time.Duration
	Stalls       uint64 // number of stalls of this process
	MaxStall     time.Duration
}

var statusNames = [numStatuses]string{
	"unknown", "ok", "failed", "full", "timed_out", "unreachable", "reset", "cancelled", "moot",
}

// Stats returns the current counts.
func (h *Host) Stats() Stats {
	c := &h.stats
	s := Stats{Accepted: c.accepted.Load(), Steps: c.steps.Load(), Events: c.events.Load(),
		Ended: map[string]uint64{}, Attempts: map[string]uint64{}, MaxStepTime: time.Duration(c.maxStepNS.Load())}
	for status := range c.ended {
		s.Ended[TaskStatus(status).String()] = c.ended[status].Load()
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

// RunningTask describes a task that has not ended, or whose last attempt is
// still running.
type RunningTask struct {
	ClientRequestID string
	ID              arrowwalk.RequestID
	Class           int
	Volume          arrowwalk.VolumeID
	Units           float64
	Age             time.Duration
	Stage           string // "queued" or "sent"
	Brick           string // of the running attempt; empty if Stage is "queued"
	Attempts        int    // attempts so far
}

// Snapshot is the state of a host between two steps.
type Snapshot struct {
	Members []Member
	Running []RunningTask
	Nodes   []arrowwalk.NodeView
	Volumes []arrowwalk.VolumeView
}

// snapshotLocked copies the loop's state. The caller holds h.loopMu.
func (h *Host) snapshotLocked() *Snapshot {
	s := &Snapshot{}
	s.Nodes, s.Volumes = h.loop.engine.View()
	for _, m := range h.loop.members {
		s.Members = append(s.Members, m)
	}
	for id, t := range h.loop.tasks {
		r := RunningTask{ClientRequestID: t.ClientRequestID, ID: id, Class: t.Class, Volume: t.Volume.ID, Units: t.Units,
			Age: time.Since(t.acceptedAt), Stage: "queued", Attempts: t.attempts}
		if t.runningAttempt >= 0 {
			r.Stage, r.Brick = "sent", string(t.lastMember.ID)
		}
		s.Running = append(s.Running, r)
	}
	return s
}

// Snapshot returns the state of the host, or nil if the host is closed. It waits
// until the messages that were queued before it have been applied.
func (h *Host) Snapshot() *Snapshot {
	reply := make(chan *Snapshot, 1)
	if !h.post(message{inspect: func(s *Snapshot) { reply <- s }}) {
		return nil
	}
	return <-reply
}
