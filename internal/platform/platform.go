// Package platform runs the host on the users' platform: its configuration,
// limits and signals, with the platform's protocol towards clients (entry),
// bricks (exit) and discovery (discovery). It decides nothing that the module
// decides.
package platform

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/platform/discovery"
	"arrowwalk/internal/platform/frontend"
	"arrowwalk/internal/platform/upstream"
)

// Times of a planned restart, which is killed no sooner than killSpare after
// the longest deadline, or after deadlineMax where that is longer. Clients go
// on using the connections they have, and reach no other host on them: they are
// served for as long as the answers still come in time.
const (
	killSpare   = 700 * time.Millisecond
	deadlineMax = 3 * time.Second
	newMax      = 650 * time.Millisecond // new connections come no later
	tellMin     = 500 * time.Millisecond // before the end: from then on clients are told to connect anew
	idleMin     = 350 * time.Millisecond // connections between requests are closed
	answerMin   = 200 * time.Millisecond // and all that is taken has its final answer
	exitMin     = 100 * time.Millisecond
)

// Times of what the host does again and again.
const (
	lookEvery  = 5 * time.Millisecond
	sweepEvery = time.Second
	listMax    = 1500 * time.Millisecond // a host whose agent is silent starts without it
	restMin    = 20 * time.Millisecond   // a second answer of a brick may come late, and would be taken for the next request's
	idlePart   = 0.8                     // of the settings' idle time, for which connections are reused
)

// Instance is a running host.
type Instance struct {
	cfg    *Config
	log    *slog.Logger
	host   *host.Host
	sender *upstream.Sender
	server *frontend.Server
	follow *discovery.Follower
	quit   chan struct{}
	wg     sync.WaitGroup
}

// DisabledGuards that can be taken out, for proofs that must fail.
type DisabledGuards struct {
	AcceptDoubleFraming bool // a length beside a transfer coding is taken
	ReuseDirtyConns     bool // a connection with bytes behind its answer is used again
	NoEviction          bool // silent connections are kept
	NoArrivalAge        bool // what is found in a client's socket is taken for fresh
	NoStartTimes        bool // bricks are taken for warm, whenever they started
	NoReuseDelay        bool // a brick's connection is used again at once
	NoDisconnectCheck   bool // nobody looks whether a waiting client has gone
	NoDescriptorReserve bool // clients may take all descriptors
	NoShutdownDeadline  bool // a planned restart leaves the deadlines of what was taken
}

// Start serves as cfg says until Stop.
func Start(cfg *Config, log *slog.Logger, without DisabledGuards) (*Instance, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	set, b := cfg.Settings, share(cfg.Limits)
	if without.NoDescriptorReserve {
		b.clients = 2 * cfg.Limits.Sockets
	}
	h, err := host.New(host.Options{Settings: set.Settings, Log: log})
	if err != nil {
		ln.Close()
		return nil, err
	}
	if len(set.Unknown) > 0 {
		log.Info("settings that this host does not know are passed over", "keys", set.Unknown)
	}
	p := &Instance{cfg: cfg, log: log, host: h, quit: make(chan struct{})}
	rest := restMin
	if without.NoReuseDelay {
		rest = 0
	}
	p.sender = upstream.NewSender(upstream.Options{Host: h, LoadFields: set.Reports, DialTimeout: span(set.DialTimeout, time.Second),
		IdleTimeout: time.Duration(idlePart * float64(span(set.IdleClose, 10*time.Second))), MaxConns: b.bricks, ReuseDelay: rest,
		MaxClientWait: p.longest(), MaxResponseBytes: b.answers, ReuseDirtyConns: without.ReuseDirtyConns})
	p.follow = discovery.Start(cfg.KnownBricks, discovery.Options{Address: cfg.Discovery, Zones: discovery.NewZoneIndex(set.Zones),
		Log: log, OnList: h.Nodes, OnAddresses: p.sender.CloseIdleExcept, NoStartTimes: without.NoStartTimes})
	p.awaitList()
	p.server = frontend.Start(ln, frontend.Options{Host: h, Sender: p.sender, Settings: &p.cfg.Settings.Settings, Log: log,
		MaxConns: b.clients, IdleEvictionThreshold: b.easy, MaxBodyBytes: b.bodies, NoEviction: without.NoEviction, AcceptDoubleFraming: without.AcceptDoubleFraming, NoArrivalAge: without.NoArrivalAge,
		NoDisconnectCheck: without.NoDisconnectCheck, NoShutdownDeadline: without.NoShutdownDeadline})
	p.wg.Add(1)
	go p.sweep()
	return p, nil
}

// awaitList waits for the agent's first answer, for a bounded time: what it has
// counts as told from the first moment on, and clients come once this host
// serves.
func (p *Instance) awaitList() {
	timer := time.NewTimer(listMax)
	defer timer.Stop()
	select {
	case <-p.follow.Ready():
	case <-timer.C:
		p.log.Warn("discovery does not answer, starting with the bricks that were known", "waited", listMax)
	}
}

// span returns a time of the settings, or another where they do not tell.
func span(t arrowwalk.Micros, otherwise time.Duration) time.Duration {
	if t <= 0 {
		return otherwise
	}
	return time.Duration(t) * time.Microsecond
}

// longest returns the longest that a client waits.
func (p *Instance) longest() time.Duration {
	var most arrowwalk.Micros
	for _, c := range p.cfg.Settings.Classes {
		most = max(most, c.Deadline)
	}
	return time.Duration(most) * time.Microsecond
}

// Addr returns the address that clients connect to.
func (p *Instance) Addr() string { return p.server.Addr() }

// sweep closes the connections to bricks that were idle for too long.
func (p *Instance) sweep() {
	defer p.wg.Done()
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-p.quit:
			return
		case <-tick.C:
			p.sender.CloseExpired()
		}
	}
}

// Reload follows what a new configuration changes: discovery's address. What
// else it has is for the next start.
func (p *Instance) Reload(cfg *Config) {
	if p.follow.SetAddress(cfg.Discovery) {
		p.log.Info("discovery is asked at another address", "address", cfg.Discovery)
	}
}

// Stop ends the host as a planned restart does: new connections are taken and
// requests served for as long as there is time, then clients are told to connect
// anew, and what is taken gets its answer. It returns sooner where no client is
// left.
func (p *Instance) Stop(ctx context.Context) {
	began := time.Now()
	end := began.Add(min(p.longest(), deadlineMax) + killSpare)
	empty := func() bool { return time.Since(began) > newMax && p.server.ConnCount() == 0 }
	p.server.Drain(end.Add(-tellMin), end.Add(-answerMin))
	p.wait(ctx, end.Add(-idleMin), empty)
	p.server.CloseListener()
	p.wait(ctx, end.Add(-exitMin), func() bool {
		p.server.CloseIdle()
		if !time.Now().Before(end.Add(-answerMin)) {
			p.server.ExpireReads()
		}
		return p.server.ConnCount() == 0
	})
	p.server.Stop()
	p.follow.Stop()
	p.host.Close()
	p.sender.Close()
	close(p.quit)
	p.wg.Wait()
}

// wait waits until a time, or until done says so; nil: never.
func (p *Instance) wait(ctx context.Context, until time.Time, done func() bool) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for time.Now().Before(until) {
		if done != nil && done() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// LogAttrs returns what an operator would look at first.
func (p *Instance) LogAttrs() []any {
	s, h := p.server.Stats(), p.host.Stats()
	open, idle, dialed := p.sender.Counts()
	return []any{"requests", s.Requests, "bad", s.Rejected, "gone", s.ClientsGone, "evicted", s.Evicted, "turned", s.TurnedAway,
		"draining", s.Draining, "open", s.Open, "conns", s.Conns, "brick_conns", open, "brick_idle", idle, "dialed", dialed,
		"ended", h.Ended, "attempts", h.Attempts, "stalls", h.Stalls, "stall_max", h.MaxStall, "step_mean", h.MeanStepTime}
}
