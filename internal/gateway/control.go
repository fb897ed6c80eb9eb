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
	if previous, known := g.selfDraining.Load(brick); known && previous == draining || !known && !draining {
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
// control.Gateway.
func (g *Gateway) HostLabel() string { return g.host.RunID() }

// RunningRequests lists the requests in progress, oldest first. It implements
// control.Gateway.
func (g *Gateway) RunningRequests() []control.RunningRequest {
	state := g.host.Snapshot()
	if state == nil {
		return nil
	}
	requests := make([]control.RunningRequest, 0, len(state.Running))
	for _, r := range state.Running {
		requests = append(requests, control.RunningRequest{ID: r.ClientRequestID, Class: g.host.Settings().Classes[r.Class].Name, Units: r.Units,
			AgeUS: r.Age.Microseconds(), Stage: r.Stage, Brick: r.Brick, Attempts: r.Attempts, Volume: uint64(r.Volume)})
	}
	slices.SortFunc(requests, func(a, b control.RunningRequest) int { return cmp.Compare(b.AgeUS, a.AgeUS) })
	return requests
}

// Snapshot returns the current state of the gateway, its bricks and its
// volumes. It implements control.Gateway.
func (g *Gateway) Snapshot() *control.Snapshot {
	now := time.Now()
	stats, frontStats, spoolUsage := g.host.Stats(), g.s3Server.Stats(), g.spool.Usage()
	snapshot := &control.Snapshot{At: now.UnixMicro(), Host: g.host.RunID(), Accepted: stats.Accepted,
		Served: stats.Ended["served"], Refused: stats.Ended["refused"], Failed: stats.Ended["failed"], Connections: frontStats.OpenConns,
		BodyMemoryBytes: spoolUsage.Memory, SpoolBytes: spoolUsage.File, LastEvent: g.controller.LastEventNumber()}
	state := g.host.Snapshot()
	if state == nil {
		return snapshot
	}
	views := map[arrowwalk.NodeID]arrowwalk.NodeView{}
	for _, v := range state.Nodes {
		views[v.ID] = v
	}
	snapshot.Volumes = g.volumeStatuses(state)
	outstanding, units := map[string]int{}, map[string]float64{}
	for _, r := range state.Running {
		if r.Stage == "sent" {
			snapshot.Sent++
			outstanding[r.Brick]++
			units[r.Brick] += r.Units
		} else {
			snapshot.Queued++
		}
	}
	members := map[string]host.Member{}
	for _, member := range state.Members {
		members[string(member.ID)] = member
	}
	brickStats, levels := g.controller.Stats.Bricks(now), g.tracker.TrustLevels()
	quarantined := map[string]int{}
	for _, e := range g.embeddedBricks {
		quarantined[e.name] = e.store.QuarantinedBlocks()
	}
	stalls, longestStall := g.host.StallStats()
	snapshot.Stalls, snapshot.MaxStallUS = stalls, longestStall.Microseconds()
	warmAge := arrowwalk.Micros(g.opts.Config.Rules.WarmWithinMS) * 1000
	for _, status := range g.controller.Statuses() {
		member := members[status.Brick]
		brick := control.BrickStatus{Status: status, BrickStats: brickStats[status.Brick], Address: member.Address, Zone: member.Zone, Trust: levels[status.Brick],
			OutstandingRequests: outstanding[status.Brick], OutstandingUnits: units[status.Brick], Cap: views[member.ID].MaxUnitsInFlight, QueueUS: int64(views[member.ID].QueueDelay)}
		if brick.BrickStats.Name == "" {
			brick.BrickStats = trafficstats.BrickStats{Name: status.Brick, Util: -1}
		}
		brick.QuarantinedBlocks = quarantined[status.Brick]
		brick.Cold = member.Started > 0 && arrowwalk.Micros(now.UnixMicro())-member.Started < warmAge
		snapshot.Bricks = append(snapshot.Bricks, brick)
	}
	return snapshot
}

// volumeStatuses combines the counted traffic of each volume with the
// scheduler's view of it.
func (g *Gateway) volumeStatuses(state *host.Snapshot) []control.VolumeStatus {
	views := map[arrowwalk.VolumeID]arrowwalk.VolumeView{}
	for _, v := range state.Volumes {
		views[v.ID] = v
	}
	var statuses []control.VolumeStatus
	for _, v := range g.controller.Stats.Volumes() {
		view := views[s3.VolumeID(v.Name)]
		statuses = append(statuses, control.VolumeStatus{VolumeStats: v, Quadrant: view.Quadrant, TokenRate: view.TokenRate, MeasuredRate: view.ServedRate, Reserve: view.ReserveUnits})
	}
	return statuses
}
