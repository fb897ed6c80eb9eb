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

// openDesk opens the record of orders and plays it again, before any brick is
// told of: a drain by hand holds from the first moment.
func (g *Gateway) openDesk() error {
	var err error
	if g.opt.ControlSocket != "" {
		if g.book, err = orderlog.Open(filepath.Join(g.opt.DataDir, "orders.db")); err != nil {
			return err
		}
	}
	g.desk, err = control.NewController(g.book)
	return err
}

// startControl opens the operators' socket.
func (g *Gateway) startControl() error {
	if at, ok := strings.CutPrefix(g.opt.DisabledGuard, "crash-"); ok { // ends outright there, for a proof
		g.desk.OnStage = func(stage string) {
			if stage == at {
				syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
				select {}
			}
		}
	}
	g.desk.SetApplyFunc(func() {
		if g.opt.DisabledGuard == "apply" { // recorded, and not carried out: a proof must see it
			return
		}
		g.words.Clear() // what an order took back may be said again
		g.keeper.Refresh()
		g.host.Snapshot() // comes back after the host has taken the change
	})
	if g.opt.ControlSocket == "" {
		return nil
	}
	var err error
	g.ctl, err = control.Listen(g.opt.ControlSocket, g.desk, g, g.opt.Log)
	return err
}

// listed tells the desk of discovery's word.
func (g *Gateway) listed(members []host.Member) {
	states := map[arrowwalk.NodeState]drains.State{arrowwalk.Ready: drains.Ready, arrowwalk.Draining: drains.Draining, arrowwalk.Removed: drains.Gone}
	list := make([]drains.Brick, 0, len(members))
	for _, m := range members {
		list = append(list, drains.Brick{Name: string(m.ID), Shard: m.Shard, State: states[m.State], Started: int64(m.Started)})
	}
	slices.SortFunc(list, func(a, b drains.Brick) int { return cmp.Compare(a.Name, b.Name) })
	g.desk.UpdateBricks(list)
}

// overlay makes of a member what the desk decides.
func (g *Gateway) overlay(m *host.Member) {
	if g.desk.BrickState(string(m.ID)) == drains.Draining && m.State == arrowwalk.Ready {
		m.State = arrowwalk.Draining
	}
}

// said takes in what a brick says of itself in an answer. Nearly all say the
// same as before, which is all that a request's goroutine finds out.
func (g *Gateway) said(brick string, draining bool) {
	if before, known := g.words.Load(brick); known && before == draining || !known && !draining {
		return
	}
	g.words.Store(brick, draining)
	if g.desk.SetSelfDraining(brick, draining) {
		g.keeper.RefreshAsync()
	}
}

// ended counts how a collection's task ended.
func (g *Gateway) ended(bucket string, plan, shard int, end host.TaskStatus) {
	if bucket == "" { // a chore of the gateway's own: no collection's
		return
	}
	ends := map[host.TaskStatus]trafficstats.Outcome{host.Served: trafficstats.Served, host.Refused: trafficstats.Refused, host.Failed: trafficstats.Failed}
	if e, ok := ends[end]; ok {
		g.desk.Stats.RecordOutcome(bucket, g.opt.Config.Plans[plan].Name, shard, e)
	}
}

// HostLabel names this run of this host (control.Source).
func (g *Gateway) HostLabel() string { return g.host.RunID() }

// RunningRequests lists the requests that the host owes an answer (control.Source).
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

// Snapshot is the whole picture (control.Source).
func (g *Gateway) Snapshot() *control.Snapshot {
	now := time.Now()
	stats, front, use := g.host.Stats(), g.front.Stats(), g.spool.Usage()
	s := &control.Snapshot{At: now.UnixMicro(), Host: g.host.RunID(), Accepted: stats.Accepted,
		Served: stats.Ended["served"], Refused: stats.Ended["refused"], Failed: stats.Ended["failed"], Connections: front.OpenConns,
		BodyMemoryBytes: use.Memory, SpoolBytes: use.File, LastEvent: g.desk.LastEventNumber()}
	state := g.host.Snapshot()
	if state == nil {
		return s
	}
	views := map[arrowwalk.NodeID]arrowwalk.NodeView{}
	for _, v := range state.Nodes {
		views[v.ID] = v
	}
	s.Volumes = g.volumes(state)
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
	figures, levels := g.desk.Stats.Bricks(now), g.keeper.TrustLevels()
	bad := map[string]int{}
	for _, e := range g.bricks {
		bad[e.name] = e.dir.QuarantinedBlocks()
	}
	n, longest := g.host.StallStats()
	s.Stalls, s.MaxStallUS = n, longest.Microseconds()
	warm := arrowwalk.Micros(g.opt.Config.Rules.WarmWithinMS) * 1000
	for _, st := range g.desk.Statuses() {
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

// volumes joins what was counted of collections with the module's view.
func (g *Gateway) volumes(state *host.Snapshot) []control.VolumeStatus {
	views := map[arrowwalk.VolumeID]arrowwalk.VolumeView{}
	for _, v := range state.Volumes {
		views[v.ID] = v
	}
	var out []control.VolumeStatus
	for _, v := range g.desk.Stats.Volumes() {
		view := views[s3.VolumeID(v.Name)]
		out = append(out, control.VolumeStatus{VolumeStats: v, Quadrant: view.Quadrant, TokenRate: view.TokenRate, MeasuredRate: view.ServedRate, Reserve: view.ReserveUnits})
	}
	return out
}
