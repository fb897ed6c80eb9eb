package gateway

import (
	"cmp"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"arrowwalk"
	"arrowwalk/internal/control"
	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/control/orderlog"
	"arrowwalk/internal/control/trafficstats"
	"arrowwalk/internal/front/s3"
	"arrowwalk/internal/host"
)

// openController opens the log of operators' orders and replays it. This
// happens before any brick is known, so that drains ordered by an operator
// apply from the start.
func (g *Gateway) openController() error {
	var err error
	if g.opts.ControlSocket != "" {
		if g.orderLog, err = orderlog.Open(filepath.Join(g.opts.DataDir, "orders.db")); err != nil {
			return err
		}
	}
	g.controller, err = control.NewController(g.orderLog)
	return err
}

// startControl starts the server of the operators' socket.
func (g *Gateway) startControl() error {
	if crashStage, ok := strings.CutPrefix(g.opts.DisabledGuard, "crash-"); ok { // a proof makes the process crash at this stage
		g.controller.OnStage = func(stage string) {
			if stage == crashStage {
				syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
				select {}
			}
		}
	}
	g.controller.SetApplyFunc(func() {
		if g.opts.DisabledGuard == "apply" { // the order is recorded but not applied, which a proof must detect
			return
		}
		g.selfDraining.Clear() // bricks may report again what an order has overridden
		g.tracker.Refresh()
		g.host.Snapshot() // returns after the host has applied the change
	})
	if g.opts.ControlSocket == "" {
		return nil
	}
	var err error
	g.controlServer, err = control.Listen(g.opts.ControlSocket, g.controller, g, g.opts.Log)
	return err
}

// updateController passes the members that discovery lists to the controller.
func (g *Gateway) updateController(members []host.Member) {
	states := map[arrowwalk.NodeState]drains.State{arrowwalk.Ready: drains.Ready, arrowwalk.Draining: drains.Draining, arrowwalk.Removed: drains.Gone}
	bricks := make([]drains.Brick, 0, len(members))
	for _, m := range members {
		bricks = append(bricks, drains.Brick{Name: string(m.ID), Shard: m.Shard, State: states[m.State], Started: int64(m.Started)})
	}
	slices.SortFunc(bricks, func(a, b drains.Brick) int { return cmp.Compare(a.Name, b.Name) })
	g.controller.UpdateBricks(bricks)
}

// applyDrains sets a ready member to draining if the controller drains the
// brick.
func (g *Gateway) applyDrains(m *host.Member) {
	if g.controller.BrickState(string(m.ID)) == drains.Draining && m.State == arrowwalk.Ready {
		m.State = arrowwalk.Draining
	}
}

// recordSelfDraining records the draining state that a brick reports about
// itself in a response. Requests call it, and nearly always the state is
// unchanged, so that case is only a map lookup.
func (g *Gateway) recordSelfDraining(brick string, draining bool) {
	if before, known := g.selfDraining.Load(brick); known && before == draining || !known && !draining {
		return
	}
	g.selfDraining.Store(brick, draining)
	if g.controller.SetSelfDraining(brick, draining) {
		g.tracker.RefreshAsync()
	}
}

// recordOutcome counts the outcome of a task of a bucket or volume.
func (g *Gateway) recordOutcome(bucket string, plan, shard int, end host.TaskStatus) {
	if bucket == "" { // background work of the gateway, not of a bucket
		return
	}
	outcomes := map[host.TaskStatus]trafficstats.Outcome{host.Served: trafficstats.Served, host.Refused: trafficstats.Refused, host.Failed: trafficstats.Failed}
	if outcome, ok := outcomes[end]; ok {
		g.controller.Stats.RecordOutcome(bucket, g.opts.Config.Plans[plan].Name, shard, outcome)
	}
}

// HostLabel returns the label of this run of the host. It implements
// control.Source.
func (g *Gateway) HostLabel() string { return g.host.RunID() }

// RunningRequests lists the requests in progress, oldest first. It implements
// control.Source.
func (g *Gateway) RunningRequests() []control.RunningRequest {
	state := g.host.Snapshot()
	if state == nil {
		return nil
	}
	out := make([]control.RunningRequest, 0, len(state.Running))
	for _, r := range state.Running {
		out = append(out, control.RunningRequest{ID: r.ClientRequestID, Class: g.host.Settings().Classes[r.Class].Name, Units: r.Units,
			AgeUS: r.Age.Microseconds(), Stage: r.Stage, Brick: r.Brick, Attempts: r.Attempts, Volume: uint64(r.Volume)})
	}
	slices.SortFunc(out, func(a, b control.RunningRequest) int { return cmp.Compare(b.AgeUS, a.AgeUS) })
	return out
}

// Snapshot returns the current state of the gateway, its bricks and its
// volumes. It implements control.Source.
func (g *Gateway) Snapshot() *control.Snapshot {
	now := time.Now()
	stats, front, use := g.host.Stats(), g.front.Stats(), g.spool.Usage()
	s := &control.Snapshot{At: now.UnixMicro(), Host: g.host.RunID(), Accepted: stats.Accepted,
		Served: stats.Ended["served"], Refused: stats.Ended["refused"], Failed: stats.Ended["failed"], Connections: front.OpenConns,
		BodyMemoryBytes: use.Memory, SpoolBytes: use.File, LastEvent: g.controller.LastEventNumber()}
	state := g.host.Snapshot()
	if state == nil {
		return s
	}
	views := map[arrowwalk.NodeID]arrowwalk.NodeView{}
	for _, v := range state.Nodes {
		views[v.ID] = v
	}
	s.Volumes = g.volumeStatuses(state)
	out, units := map[string]int{}, map[string]float64{}
	for _, r := range state.Running {
		if r.Stage == "sent" {
			s.Sent++
			out[r.Brick]++
			units[r.Brick] += r.Units
		} else {
			s.Queued++
		}
	}
	members := map[string]host.Member{}
	for _, m := range state.Members {
		members[string(m.ID)] = m
	}
	figures, levels := g.controller.Stats.Bricks(now), g.tracker.TrustLevels()
	bad := map[string]int{}
	for _, e := range g.embeddedBricks {
		bad[e.name] = e.store.QuarantinedBlocks()
	}
	n, longest := g.host.StallStats()
	s.Stalls, s.MaxStallUS = n, longest.Microseconds()
	warm := arrowwalk.Micros(g.opts.Config.Rules.WarmWithinMS) * 1000
	for _, st := range g.controller.Statuses() {
		m := members[st.Brick]
		b := control.BrickStatus{Status: st, BrickStats: figures[st.Brick], Address: m.Address, Zone: m.Zone, Trust: levels[st.Brick],
			OutstandingRequests: out[st.Brick], OutstandingUnits: units[st.Brick], Cap: views[m.ID].MaxUnitsInFlight, QueueUS: int64(views[m.ID].QueueDelay)}
		if b.BrickStats.Name == "" {
			b.BrickStats = trafficstats.BrickStats{Name: st.Brick, Util: -1}
		}
		b.QuarantinedBlocks = bad[st.Brick]
		b.Cold = m.Started > 0 && arrowwalk.Micros(now.UnixMicro())-m.Started < warm
		s.Bricks = append(s.Bricks, b)
	}
	return s
}

// volumeStatuses combines the counted traffic of each volume with the
// scheduler's view of it.
func (g *Gateway) volumeStatuses(state *host.Snapshot) []control.VolumeStatus {
	views := map[arrowwalk.VolumeID]arrowwalk.VolumeView{}
	for _, v := range state.Volumes {
		views[v.ID] = v
	}
	var out []control.VolumeStatus
	for _, v := range g.controller.Stats.Volumes() {
		view := views[s3.VolumeID(v.Name)]
		out = append(out, control.VolumeStatus{VolumeStats: v, Quadrant: view.Quadrant, TokenRate: view.TokenRate, MeasuredRate: view.ServedRate, Reserve: view.ReserveUnits})
	}
	return out
}
