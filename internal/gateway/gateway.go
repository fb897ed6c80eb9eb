// Package gateway assembles a running gateway: the host, the object API, the
// pool of brick connections, cluster membership and the control socket. Bricks
// that the settings list without an address run in the same process.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"arrowwalk/internal/attempts"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/control"
	"arrowwalk/internal/control/orderlog"
	"arrowwalk/internal/control/trafficstats"
	"arrowwalk/internal/front/s3"
	"arrowwalk/internal/host"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/membership/trust"
	"arrowwalk/internal/spool"
	"arrowwalk/internal/store"
	"arrowwalk/internal/store/maintenance"
)

// Options configures a Gateway.
type Options struct {
	Config  *config.Config
	DataDir string // directory of embedded bricks, generated keys and orders
	Log     *slog.Logger
	// ControlSocket is the path of the operators' socket. Orders are stored in
	// DataDir. If it is empty, there is no socket and no orders are accepted.
	ControlSocket string
	// SkipFailedBricks makes the gateway start without embedded bricks whose
	// directory cannot be used, as long as at least one brick is left.
	SkipFailedBricks bool
	// DisabledGuard disables a safeguard so that a proof can show that it detects
	// the fault: "expect" trusts a cached brick list and accepts responses from a
	// brick other than the one addressed, "age" treats bytes that are found after
	// a stall as new, "apply" records orders without applying them, "fence"
	// disables fencing of block volumes, "consume", "remove-owner" and "read-record"
	// disable parts of the rule by which pieces are deleted, and "crash-STAGE" kills the process at a
	// stage of an order.
	DisabledGuard string
	Reclaim       s3.ReclaimTimes  // of the deletion of unused data; zero values stand for defaults
	NoSync        bool             // embedded bricks do not sync to disk; only for tests and benchmarks
	Now           func() time.Time // wall clock for signatures; nil means time.Now
}

// Gateway is a running gateway. Start creates it and Stop ends it.
type Gateway struct {
	opts           Options
	Keys           []config.Key // access keys of the object API
	host           *host.Host
	s3Server       *s3.Server
	pool           *brick.Pool
	spool          *spool.Pool
	fileSource     *membership.FileSource
	zkSource       *membership.ZKSource
	tracker        *membership.Tracker
	controller     *control.Controller
	exports        *volumeExports
	orderLog       *orderlog.Log
	controlServer  *control.Server
	embeddedBricks []*embeddedBrick
	selfDraining   sync.Map         // brick name to the draining state that it last reported (bool)
	failedBricks   map[string]error // errors of embedded bricks that could not be started, by name
}

// embeddedBrick is a brick that runs in this process.
type embeddedBrick struct {
	name        string
	server      *brickd.Server
	store       *store.Store
	maintenance *maintenance.Runner
}

// Start opens the sockets and starts serving. After an error, nothing is left
// open.
func Start(opts Options) (*Gateway, error) {
	g := &Gateway{opts: opts}
	if err := g.start(); err != nil {
		g.closeAll()
		return nil, err
	}
	return g, nil
}

// start loads the keys, listens and starts the components.
func (g *Gateway) start() error {
	cfg := g.opts.Config
	keys, err := g.loadKeys()
	if err != nil {
		return err
	}
	g.Keys = keys
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := g.startComponents(listener); err != nil {
		listener.Close()
		return err
	}
	return nil
}

// startComponents starts the components in the order in which they depend on
// each other. The caller closes listener and the started components after an
// error.
func (g *Gateway) startComponents(listener net.Listener) error {
	cfg := g.opts.Config
	if err := g.openController(); err != nil {
		return err
	}
	list, err := g.startBricks()
	if err != nil {
		return err
	}
	if g.host, err = host.New(host.Options{Settings: cfg.Module(), Log: g.opts.Log}); err != nil {
		return err
	}
	g.pool = brick.NewPool(brick.PoolOptions{MaxIdlePerBrick: cfg.Bounds.BrickIdle, DialTimeout: config.MS(cfg.Timeouts.DialMS),
		StallTimeout: config.MS(cfg.Classes.Read.DeadlineMS)})
	g.spool = spool.NewPool(cfg.Bounds.MemoryBytes, cfg.Bounds.SpoolBytes, cfg.Bounds.SpoolDir)
	if err := g.followMembership(list); err != nil {
		return err
	}
	secrets := map[string]string{}
	for _, k := range g.Keys {
		secrets[k.Access] = k.Secret
	}
	s3Options := s3.Options{OnObservation: g.recordObservation, OnTaskEnd: g.recordOutcome, NotReadyReason: g.notReadyReason, Config: cfg, Host: g.host, Pool: g.pool, Spool: g.spool, Secrets: secrets, Log: g.opts.Log, Now: g.opts.Now,
		AcceptAnyBrick: g.opts.DisabledGuard == "expect", IgnoreSocketAge: g.opts.DisabledGuard == "age", Reclaim: g.opts.Reclaim,
		DisabledReclaim: s3.DisabledReclaim{Consume: g.opts.DisabledGuard == "consume", RemoveOwner: g.opts.DisabledGuard == "remove-owner", ReadRecord: g.opts.DisabledGuard == "read-record"}}
	if g.s3Server, err = s3.Start(listener, s3Options); err != nil {
		return err
	}
	if err := g.startExports(); err != nil {
		return err
	}
	return g.startControl()
}

// startBricks starts the embedded bricks. It returns the list of all bricks of
// the settings, except for skipped ones.
func (g *Gateway) startBricks() (*membership.List, error) {
	cfg := g.opts.Config
	zones := map[string]*brickd.Zone{}
	meter := brickd.NewMeter(max(time.Second, config.MS(cfg.MeterMS)))
	list := &membership.List{}
	for _, b := range cfg.Bricks {
		entry := membership.Entry{Name: b.Name, Address: b.Address, Zone: b.Zone, Shard: b.Shard}
		if b.Address == "" {
			zone := zones[b.Zone]
			if zone == nil {
				zone = brickd.NewZone(config.MS(cfg.Classes.Write.WindowMS))
				zone.Name = b.Zone
				zones[b.Zone] = zone
			}
			embedded, err := g.startBrick(b, zone, meter)
			if err != nil && g.opts.SkipFailedBricks {
				g.skipBrick(b, err)
				continue
			}
			if err != nil {
				return nil, err
			}
			g.embeddedBricks = append(g.embeddedBricks, embedded)
			entry.Address = embedded.server.Addr()
		}
		list.Bricks = append(list.Bricks, entry)
	}
	if len(list.Bricks) == 0 && len(cfg.Bricks) > 0 {
		return nil, fmt.Errorf("no brick could be started: %w", g.failedBricks[cfg.Bricks[0].Name])
	}
	return list, nil
}

// skipBrick records, logs and publishes that the gateway runs without a brick.
func (g *Gateway) skipBrick(b config.Brick, err error) {
	if g.failedBricks == nil {
		g.failedBricks = map[string]error{}
	}
	g.failedBricks[b.Name] = err
	g.opts.Log.Error("running without a brick that failed to start", "brick", b.Name, "error", err)
	g.controller.PublishEvent("without", b.Name, fmt.Sprintf("%s takes no part: %v", b.Name, err))
}

// FailedBricks returns the embedded bricks that could not be started, with
// their errors.
func (g *Gateway) FailedBricks() map[string]error { return g.failedBricks }

// startBrick opens the store of an embedded brick and starts its server and
// maintenance.
func (g *Gateway) startBrick(b config.Brick, zone *brickd.Zone, meter *brickd.Meter) (*embeddedBrick, error) {
	path := b.Data
	if path == "" {
		path = filepath.Join(g.opts.DataDir, "bricks", b.Name)
	}
	brickStore, err := store.Open(path, store.Options{NoSync: g.opts.NoSync, Log: g.opts.Log.With("brick", b.Name)})
	if err != nil {
		return nil, fmt.Errorf("brick %s: %w", b.Name, err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		brickStore.Close()
		return nil, fmt.Errorf("brick %s: %w", b.Name, err)
	}
	embedded := &embeddedBrick{name: b.Name, server: brickd.Start(listener, brickStore, brickd.Options{ID: b.Name, Zone: zone, Meter: meter, Log: g.opts.Log}), store: brickStore}
	embedded.maintenance = maintenance.Start(maintenance.Options{Store: brickStore, Load: embedded.server.Load, Log: g.opts.Log.With("brick", b.Name)})
	return embedded, nil
}

// followMembership starts the membership tracker. Bricks come from the
// settings, a node file or discovery; until the source responds, a cached list
// is used.
func (g *Gateway) followMembership(list *membership.List) error {
	cfg := g.opts.Config
	topology := membership.Topology{Zones: cfg.Zones, Shards: cfg.Shards}
	tracker, err := membership.StartTracker(membership.TrackerOptions{Topology: topology, Host: g.host, Prober: brickProber{g.pool}, CacheDir: cfg.CacheDir,
		Log: g.opts.Log, OnAddresses: g.pool.CloseIdleExcept, TrustCache: g.opts.DisabledGuard == "expect", OnList: g.updateController, Overlay: g.applyDrains})
	if err != nil {
		return err
	}
	g.tracker = tracker
	switch {
	case cfg.Discovery != nil:
		g.zkSource, err = membership.FollowZK(membership.ZKOptions{Servers: cfg.Discovery.Servers, Root: cfg.Discovery.Root,
			SessionTimeout: config.MS(cfg.Discovery.SessionMS), RelistInterval: config.MS(cfg.Discovery.RelistMS), Topology: topology, Log: g.opts.Log},
			func(l *membership.List) { tracker.Offer("discovery", l) }, tracker.ReportFailure)
		if err == nil {
			g.readListsAfterStalls(g.zkSource.ReadNow)
		}
		return err
	case cfg.NodesFile == "":
		tracker.Offer("settings", list)
		tracker.Refresh() // the list is in use when this returns
		return nil
	}
	g.fileSource, err = membership.FollowFile(cfg.NodesFile, topology, g.opts.Log, func(l *membership.List) {
		edit := *l // a changed file counts as newer whatever version it states
		edit.Version = time.Now().UnixMicro()
		tracker.Offer("file", &edit)
	}, tracker.Confirm)
	g.readListsAfterStalls(g.fileSource.ReadNow)
	if err != nil && cfg.CacheDir == "" {
		return fmt.Errorf("node list %s: %w", cfg.NodesFile, err)
	}
	if err != nil {
		g.opts.Log.Warn("node list not loaded", "file", cfg.NodesFile, "error", err)
	}
	return nil
}

// readListsAfterStalls makes the host send nothing after a stall until the source of node
// lists has been read again.
func (g *Gateway) readListsAfterStalls(read func()) {
	g.tracker.SetReader(read)
	g.host.SetListSource(g.tracker)
}

// brickProber asks bricks for their identity. It implements membership.Prober.
type brickProber struct{ pool *brick.Pool }

// Probe asks the brick that is expected to be name at address. It returns the
// observation and the start time of the brick.
func (p brickProber) Probe(ctx context.Context, address, name string) (trust.Observation, int64) {
	attempt := &brick.Attempt{}
	defer context.AfterFunc(ctx, attempt.Abort)()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	id, err := p.pool.Identify(attempt, address, name, deadline)
	return observationOf(err), id.Started
}

// observationOf returns what the error of an attempt reveals about the brick.
func observationOf(err error) trust.Observation {
	var f *brick.Failure
	switch {
	case err == nil:
		return trust.Answered
	case errors.As(err, &f) && f.Reason == brick.ReasonWrongBrick:
		return trust.WrongBrick
	case errors.As(err, &f) && f.Reason == brick.ReasonRefused:
		return trust.ConnRefused
	}
	return trust.TimedOut
}

// recordObservation passes what an attempt revealed about its brick to the
// statistics, the event log and the tracker.
func (g *Gateway) recordObservation(observation attempts.Observation) {
	full := observation.Reason == brick.ReasonDiskFull
	changed := g.controller.Stats.RecordAttempt(trafficstats.Attempt{Brick: observation.Brick, Volume: observation.Volume, Units: observation.Units, Latency: observation.Latency,
		OK: observation.Reason == "", Reason: string(observation.Reason), Util: observation.Util, Write: observation.Write, Full: full}, time.Now())
	switch {
	case changed && full:
		g.controller.PublishEvent("full", observation.Brick, observation.Brick+" has no room: it refuses writes, reads go on")
	case changed:
		g.controller.PublishEvent("room", observation.Brick, observation.Brick+" takes writes again")
	}
	if observation.Identity != "" {
		g.recordSelfDraining(observation.Brick, observation.Draining)
		if id, ok := brick.ParseIdentity(observation.Identity); ok && id.Name == observation.Brick {
			g.tracker.Observe(observation.Brick, trust.Answered, id.Started)
		}
		return
	}
	switch observation.Reason {
	case brick.ReasonWrongBrick, brick.ReasonRefused:
		g.tracker.Observe(observation.Brick, observationOf(&brick.Failure{Reason: observation.Reason}), 0)
	case brick.ReasonTimeout, brick.ReasonDialTimeout:
		g.tracker.Observe(observation.Brick, trust.TimedOut, 0)
	}
}

// notReadyReason returns why no request can be served, or "" if requests can
// be served.
func (g *Gateway) notReadyReason() string {
	if g.tracker.HasList() {
		return ""
	}
	return "No brick is known yet: discovery has reported none and there is no cached list."
}

// loadKeys returns the keys of the settings. If there are none, it returns a
// generated pair that is created at the first start and stored in DataDir.
func (g *Gateway) loadKeys() ([]config.Key, error) {
	if len(g.opts.Config.Keys) > 0 {
		return g.opts.Config.Keys, nil
	}
	path := filepath.Join(g.opts.DataDir, "keys.json")
	text, err := os.ReadFile(path)
	if err == nil {
		var keys []config.Key
		if err := json.Unmarshal(text, &keys); err != nil || len(keys) == 0 || keys[0].Access == "" || keys[0].Secret == "" {
			return nil, fmt.Errorf("keys file %s: expected a list of access_key and secret_key", path)
		}
		return keys, nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if err := os.MkdirAll(g.opts.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	keys := []config.Key{{Access: "AW" + randomBase32(10), Secret: randomBase32(25)}}
	text, err = json.Marshal(keys)
	if err != nil {
		return nil, err
	}
	if err := WriteFileAtomic(path, text); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return keys, nil
}

// randomBase32 returns the given number of random bytes in base32.
func randomBase32(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b)
}

// WriteFileAtomic replaces a file atomically. Only the owner can read the
// file.
func WriteFileAtomic(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".arrowwalk")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Endpoint returns the URL of the object API.
func (g *Gateway) Endpoint() string { return "http://" + g.s3Server.Addr() }

// Host returns the running host, for monitoring.
func (g *Gateway) Host() *host.Host { return g.host }

// S3Server returns the server of the object API, for monitoring.
func (g *Gateway) S3Server() *s3.Server { return g.s3Server }

// Spool returns the buffer pool of request and response bodies, for
// monitoring.
func (g *Gateway) Spool() *spool.Pool { return g.spool }

// Stop stops accepting requests, waits for the requests in progress until ctx
// ends, and closes everything.
func (g *Gateway) Stop(ctx context.Context) {
	g.s3Server.Shutdown(ctx)
	g.s3Server = nil
	g.closeAll()
}

// MaxStopDuration returns the longest time that a request in progress may
// still need, if the process runs.
func (g *Gateway) MaxStopDuration() time.Duration {
	c := g.opts.Config
	return config.MS(max(c.Classes.Read.DeadlineMS, c.Classes.Write.DeadlineMS)) + 2*time.Second
}

// closeAll closes all components that were started.
func (g *Gateway) closeAll() {
	if g.s3Server != nil { // a component that is started later has failed
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g.s3Server.Shutdown(ctx)
	}
	if g.exports != nil {
		g.exports.close()
	}
	if g.controlServer != nil {
		g.controlServer.Close()
	}
	if g.fileSource != nil {
		g.fileSource.Close()
	}
	if g.zkSource != nil {
		g.zkSource.Close()
	}
	if g.tracker != nil {
		g.tracker.Close()
	}
	if g.host != nil {
		g.host.Close()
	}
	if g.orderLog != nil {
		g.orderLog.Close()
	}
	if g.pool != nil {
		g.pool.Close()
	}
	for _, b := range g.embeddedBricks {
		b.server.Close()
		b.maintenance.Close()
		b.store.Close()
	}
}
