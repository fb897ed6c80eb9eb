// Package platform runs a host on the users' platform. It reads the platform's
// configuration, applies its resource limits, starts the servers and clients of
// its protocol (packages frontend, upstream and discovery) and shuts them down
// gracefully. Scheduling is left to the scheduler.
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
	"arrowwalk/internal/platform/shutdown"
	"arrowwalk/internal/platform/upstream"
)

const (
	shutdownPollInterval = 5 * time.Millisecond
	idleSweepInterval    = time.Second
	signalDeliveryTime   = 20 * time.Millisecond   // within which a running process notices a signal
	firstListTimeout     = 1500 * time.Millisecond // then the host starts without the agent's list

	// brickReuseDelay is how long a connection to a brick rests before its next
	// request. A brick may send a duplicate response late, which would be taken for
	// the response to that request.
	brickReuseDelay = 20 * time.Millisecond

	// idleFraction is the part of the idle timeout in the settings for which
	// connections are reused, so that they are dropped before the brick closes them.
	idleFraction = 0.8
)

// Instance is a running host.
type Instance struct {
	cfg      *Config
	log      *slog.Logger
	host     *host.Host
	sender   *upstream.Sender
	server   *frontend.Server
	follower *discovery.Follower
	done     chan struct{} // closed by Stop
	wg       sync.WaitGroup

	unanswered int // requests without a response at the end of Stop
}

// DisabledGuards switches off individual guards. It exists for negative tests,
// which show that the checks notice a missing guard.
type DisabledGuards struct {
	AcceptDoubleFraming bool // accept Content-Length together with Transfer-Encoding
	ReuseDirtyConns     bool // reuse a connection with excess bytes after a response
	NoEviction          bool // keep connections on which nothing was ever received
	NoArrivalAge        bool // treat data found in a client's socket as just arrived
	NoStartTimes        bool // treat every brick as warm, whenever it started
	NoReuseDelay        bool // reuse a connection to a brick at once
	NoDisconnectCheck   bool // do not check whether waiting clients have disconnected
	NoDescriptorReserve bool // let clients use all descriptors
	NoShutdownDeadline  bool // do not limit deadlines to the end of a shutdown
}

// Start starts a host as configured. It serves until Stop.
func Start(cfg *Config, log *slog.Logger, disabled DisabledGuards) (*Instance, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	settings, budget := cfg.Settings, divideLimits(cfg.Limits)
	if disabled.NoDescriptorReserve {
		budget.clientConns = 2 * cfg.Limits.Sockets
	}
	h, err := host.New(host.Options{Settings: settings.Settings, Log: log})
	if err != nil {
		ln.Close()
		return nil, err
	}
	if len(settings.Unknown) > 0 {
		log.Info("ignoring unknown settings", "keys", settings.Unknown)
	}
	inst := &Instance{cfg: cfg, log: log, host: h, done: make(chan struct{})}
	reuseDelay := brickReuseDelay
	if disabled.NoReuseDelay {
		reuseDelay = 0
	}
	inst.sender = upstream.NewSender(upstream.Options{
		Host:             h,
		LoadFields:       settings.Reports,
		DialTimeout:      durationOr(settings.DialTimeout, time.Second),
		IdleTimeout:      time.Duration(idleFraction * float64(durationOr(settings.IdleClose, 10*time.Second))),
		MaxConns:         budget.brickConns,
		ReuseDelay:       reuseDelay,
		MaxClientWait:    inst.longestDeadline(),
		MaxResponseBytes: budget.responseBytes,
		ReuseDirtyConns:  disabled.ReuseDirtyConns,
	})
	inst.follower = discovery.Start(cfg.KnownBricks, discovery.Options{
		Address:      cfg.Discovery,
		Zones:        discovery.NewZoneIndex(settings.Zones),
		Log:          log,
		OnList:       h.Nodes,
		OnAddresses:  inst.sender.CloseIdleExcept,
		Host:         h,
		NoStartTimes: disabled.NoStartTimes,
	})
	inst.awaitFirstList()
	inst.server = frontend.Start(ln, frontend.Options{
		Host:                  h,
		Sender:                inst.sender,
		Settings:              &inst.cfg.Settings.Settings,
		Log:                   log,
		MaxConns:              budget.clientConns,
		IdleEvictionThreshold: budget.idleEvictionThreshold,
		MaxBodyBytes:          budget.requestBytes,
		NoEviction:            disabled.NoEviction,
		AcceptDoubleFraming:   disabled.AcceptDoubleFraming,
		NoArrivalAge:          disabled.NoArrivalAge,
		NoDisconnectCheck:     disabled.NoDisconnectCheck,
		NoShutdownDeadline:    disabled.NoShutdownDeadline,
	})
	inst.wg.Add(1)
	go inst.sweepIdle()
	return inst, nil
}

// awaitFirstList waits up to firstListTimeout for the agent's first list. The host
// is expected to know that list from the start, and clients connect as soon as the
// host serves.
func (inst *Instance) awaitFirstList() {
	timer := time.NewTimer(firstListTimeout)
	defer timer.Stop()
	select {
	case <-inst.follower.Ready():
	case <-timer.C:
		inst.log.Warn("discovery does not respond, starting with the known bricks", "waited", firstListTimeout)
	}
}

// durationOr converts a time in the settings, or returns defaultValue if it is not
// set.
func durationOr(t arrowwalk.Micros, defaultValue time.Duration) time.Duration {
	if t <= 0 {
		return defaultValue
	}
	return time.Duration(t) * time.Microsecond
}

// longestDeadline returns the longest deadline of all classes.
func (inst *Instance) longestDeadline() time.Duration {
	var longest arrowwalk.Micros
	for _, c := range inst.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return time.Duration(longest) * time.Microsecond
}

// Addr returns the address that clients connect to.
func (inst *Instance) Addr() string { return inst.server.Addr() }

// sweepIdle closes the connections to bricks whose idle timeout has passed, until
// Stop.
func (inst *Instance) sweepIdle() {
	defer inst.wg.Done()
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-inst.done:
			return
		case <-ticker.C:
			inst.sender.CloseExpired()
		}
	}
}

// Reload applies a new configuration. Only discovery's address takes effect at
// once, the rest at the next start.
func (inst *Instance) Reload(cfg *Config) {
	if inst.follower.SetAddress(cfg.Discovery) {
		inst.log.Info("discovery address changed", "address", cfg.Discovery)
	}
}

// Stop shuts the host down gracefully. It accepts connections and serves requests
// for as long as there is time, then asks clients to reconnect elsewhere and
// answers the requests in progress. It returns earlier if no client is left, or if
// ctx ends.
func (inst *Instance) Stop(ctx context.Context) {
	noticed := time.Now()
	timeline := shutdown.NewTimeline(inst.earliestSignal(noticed), noticed, inst.longestDeadline())
	inst.server.Drain(timeline.ReconnectFrom, timeline.LastResponse)
	inst.awaitResponses(ctx, shutdown.NewSequence(timeline, frontend.WriteTimeout))
	if inst.unanswered = inst.server.Stop(); inst.unanswered > 0 {
		inst.log.Warn("shutdown ends with unanswered requests", "unanswered", inst.unanswered)
	}
	inst.follower.Stop()
	inst.host.Close()
	inst.sender.Close()
	close(inst.done)
	inst.wg.Wait()
}

// earliestSignal returns the earliest time at which a signal that was noticed at a
// time may have come. If the process was stalled, that is the start of the stall.
func (inst *Instance) earliestSignal(noticed time.Time) time.Time {
	start, ok := inst.host.RecentStall(signalDeliveryTime)
	if !ok || start.After(noticed) {
		return noticed
	}
	return start
}

// awaitResponses carries out the phases of a shutdown until it is done or ctx
// ends.
func (inst *Instance) awaitResponses(ctx context.Context, sequence *shutdown.Sequence) {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		switch sequence.Advance(time.Now(), inst.server.Connections()) {
		case shutdown.Closing:
			inst.server.CloseListener()
			inst.server.CloseIdle()
		case shutdown.Answering:
			inst.server.CloseIdle()
			inst.server.ExpireReads()
		case shutdown.Done:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// LogAttrs returns the most important counters as log attributes.
func (inst *Instance) LogAttrs() []any {
	s, h := inst.server.Stats(), inst.host.Stats()
	open, idle, dialed := inst.sender.Counts()
	return []any{"requests", s.Requests, "bad", s.Rejected, "gone", s.ClientsGone, "evicted", s.Evicted, "turned", s.TurnedAway,
		"draining", s.Draining, "open", s.Open, "conns", s.Conns, "brick_conns", open, "brick_idle", idle, "dialed", dialed,
		"unanswered", inst.unanswered, "ended", h.Ended, "attempts", h.Attempts, "stalls", h.Stalls, "stall_max", h.MaxStall, "step_mean", h.MeanStepTime}
}
