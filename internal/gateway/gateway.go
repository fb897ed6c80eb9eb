// Package gateway puts the rooms together: a host with its front, its bricks'
// pool and its node list, and, where the settings have bricks without an
// address, those bricks in the same process.
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

// Options of a Gateway.
type Options struct {
	Config  *config.Config
	DataDir string // directory of embedded bricks and made keys
	Log     *slog.Logger
	// ControlSocket is the path of the operators' socket; orders are kept in Data.
	// "": there is none, and no orders.
	ControlSocket string
	// SkipFailedBricks goes on without an embedded brick whose directory cannot be
	// used, as long as one is left.
	SkipFailedBricks bool
	// DisabledGuard takes a guard out, so that a proof is seen to fail: "expect"
	// believes a kept list and lets any brick answer for another, "age" takes
	// what is found after a stall for fresh.
	DisabledGuard string
	NoSync        bool             // embedded bricks do not wait for the disk; for tests of other things
	Now           func() time.Time // wall clock for signatures; nil: time.Now
}

// Gateway is a running gateway.
type Gateway struct {
	opts           Options
	Keys           []config.Key
	host           *host.Host
	front          *s3.Server
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
	selfDraining   sync.Map         // brick to whether it last said that it drains
	failedBricks   map[string]error // embedded bricks that could not be started
}

// embeddedBrick is a brick in this process.
type embeddedBrick struct {
	name        string
	server      *brickd.Server
	store       *store.Store
	maintenance *maintenance.Runner
}

// Start opens the sockets and serves. Nothing is left open after an error.
func Start(opt Options) (*Gateway, error) {
	g := &Gateway{opts: opt}
	if err := g.start(); err != nil {
		g.closeAll()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) start() error {
	cfg := g.opts.Config
	keys, err := g.loadKeys()
	if err != nil {
		return err
	}
	g.Keys = keys
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := g.startComponents(ln); err != nil {
		ln.Close()
		return err
	}
	return nil
}

func (g *Gateway) startComponents(ln net.Listener) error {
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
	opt := s3.Options{OnObservation: g.recordObservation, OnTaskEnd: g.recordOutcome, NotReadyReason: g.notReadyReason, Config: cfg, Host: g.host, Pool: g.pool, Spool: g.spool, Secrets: secrets, Log: g.opts.Log, Now: g.opts.Now,
		AcceptAnyBrick: g.opts.DisabledGuard == "expect", IgnoreSocketAge: g.opts.DisabledGuard == "age"}
	if g.front, err = s3.Start(ln, opt); err != nil {
		return err
	}
	if err := g.startExports(); err != nil {
		return err
	}
	return g.startControl()
}

// startBricks starts the embedded bricks and returns the list of all in the
// settings.
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
			e, err := g.startBrick(b, zone, meter)
			if err != nil && g.opts.SkipFailedBricks {
				g.skipBrick(b, err)
				continue
			}
			if err != nil {
				return nil, err
			}
			g.embeddedBricks = append(g.embeddedBricks, e)
			entry.Address = e.server.Addr()
		}
		list.Bricks = append(list.Bricks, entry)
	}
	if len(list.Bricks) == 0 && len(cfg.Bricks) > 0 {
		return nil, fmt.Errorf("no brick can be used: %w", g.failedBricks[cfg.Bricks[0].Name])
	}
	return list, nil
}

// skipBrick goes on skipBrick a brick, and says so.
func (g *Gateway) skipBrick(b config.Brick, err error) {
	if g.failedBricks == nil {
		g.failedBricks = map[string]error{}
	}
	g.failedBricks[b.Name] = err
	g.opts.Log.Error("going on without a brick", "brick", b.Name, "error", err)
	g.controller.PublishEvent("without", b.Name, fmt.Sprintf("%s takes no part: %v", b.Name, err))
}

// FailedBricks returns the embedded bricks that could not be started, and why.
func (g *Gateway) FailedBricks() map[string]error { return g.failedBricks }

func (g *Gateway) startBrick(b config.Brick, zone *brickd.Zone, meter *brickd.Meter) (*embeddedBrick, error) {
	path := b.Data
	if path == "" {
		path = filepath.Join(g.opts.DataDir, "bricks", b.Name)
	}
	dir, err := store.Open(path, store.Options{NoSync: g.opts.NoSync, Log: g.opts.Log.With("brick", b.Name)})
	if err != nil {
		return nil, fmt.Errorf("brick %s: %w", b.Name, err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		dir.Close()
		return nil, fmt.Errorf("brick %s: %w", b.Name, err)
	}
	e := &embeddedBrick{name: b.Name, server: brickd.Start(ln, dir, brickd.Options{ID: b.Name, Zone: zone, Meter: meter, Log: g.opts.Log}), store: dir}
	e.maintenance = maintenance.Start(maintenance.Options{Store: dir, Load: e.server.Load, Log: g.opts.Log.With("brick", b.Name)})
	return e, nil
}

// followMembership tells the host of the settings' bricks, or follows the source that
// the settings name, with what was kept of it before.
func (g *Gateway) followMembership(list *membership.List) error {
	cfg := g.opts.Config
	shape := membership.Topology{Zones: cfg.Zones, Shards: cfg.Shards}
	keeper, err := membership.StartTracker(membership.TrackerOptions{Topology: shape, Host: g.host, Prober: brickProber{g.pool}, CacheDir: cfg.CacheDir,
		Log: g.opts.Log, OnAddresses: g.pool.CloseIdleExcept, TrustCache: g.opts.DisabledGuard == "expect", OnList: g.updateController, Overlay: g.applyDrains})
	if err != nil {
		return err
	}
	g.tracker = keeper
	switch {
	case cfg.Discovery != nil:
		g.zkSource, err = membership.FollowZK(membership.ZKOptions{Servers: cfg.Discovery.Servers, Root: cfg.Discovery.Root,
			SessionTimeout: config.MS(cfg.Discovery.SessionMS), RelistInterval: config.MS(cfg.Discovery.RelistMS), Topology: shape, Log: g.opts.Log},
			func(l *membership.List) { keeper.Offer("discovery", l) }, keeper.ReportFailure)
		return err
	case cfg.NodesFile == "":
		keeper.Offer("settings", list)
		keeper.Refresh() // the list is taken when this returns
		return nil
	}
	g.fileSource, err = membership.FollowFile(cfg.NodesFile, shape, g.opts.Log, func(l *membership.List) {
		edit := *l // an edit is news whatever version its author gave it
		edit.Version = time.Now().UnixMicro()
		keeper.Offer("file", &edit)
	})
	if err != nil && cfg.CacheDir == "" {
		return fmt.Errorf("node list %s: %w", cfg.NodesFile, err)
	}
	if err != nil {
		g.opts.Log.Warn("node list not taken", "file", cfg.NodesFile, "error", err)
	}
	return nil
}

// brickProber asks bricks who they are (membership.Asker).
type brickProber struct{ pool *brick.Pool }

// Probe asks the brick that should be name at address.
func (a brickProber) Probe(ctx context.Context, address, name string) (trust.Observation, int64) {
	at := &brick.Attempt{}
	defer context.AfterFunc(ctx, at.Abort)()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	id, err := a.pool.Identify(at, address, name, deadline)
	return observationOf(err), id.Started
}

// observationOf says what an attempt's end shows of the brick.
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

// recordObservation passes on what an attempt showed.
func (g *Gateway) recordObservation(s attempts.Observation) {
	full := s.Reason == brick.ReasonDiskFull
	turned := g.controller.Stats.RecordAttempt(trafficstats.Attempt{Brick: s.Brick, Volume: s.Volume, Units: s.Units, Latency: s.Latency,
		OK: s.Reason == "", Reason: string(s.Reason), Util: s.Util, Write: s.Write, Full: full}, time.Now())
	switch {
	case turned && full:
		g.controller.PublishEvent("full", s.Brick, s.Brick+" has no room: it refuses writes, reads go on")
	case turned:
		g.controller.PublishEvent("room", s.Brick, s.Brick+" takes writes again")
	}
	if s.Identity != "" {
		g.recordSelfDraining(s.Brick, s.Draining)
		if id, ok := brick.ParseIdentity(s.Identity); ok && id.Name == s.Brick {
			g.tracker.Observe(s.Brick, trust.Answered, id.Started)
		}
		return
	}
	switch s.Reason {
	case brick.ReasonWrongBrick, brick.ReasonRefused:
		g.tracker.Observe(s.Brick, observationOf(&brick.Failure{Reason: s.Reason}), 0)
	case brick.ReasonTimeout, brick.ReasonDialTimeout:
		g.tracker.Observe(s.Brick, trust.TimedOut, 0)
	}
}

// notReadyReason says why nothing can be served, or "".
func (g *Gateway) notReadyReason() string {
	if g.tracker.HasList() {
		return ""
	}
	return "No brick is known yet: discovery has told none and no list is kept."
}

// loadKeys returns the settings' loadKeys, or a pair made at the first start and kept.
func (g *Gateway) loadKeys() ([]config.Key, error) {
	if len(g.opts.Config.Keys) > 0 {
		return g.opts.Config.Keys, nil
	}
	path := filepath.Join(g.opts.DataDir, "keys.json")
	text, err := os.ReadFile(path)
	if err == nil {
		var keys []config.Key
		if err := json.Unmarshal(text, &keys); err != nil || len(keys) == 0 || keys[0].Access == "" || keys[0].Secret == "" {
			return nil, fmt.Errorf("keys %s: not a list of access_key and secret_key", path)
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

func randomBase32(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b)
}

// WriteFileAtomic writes a file that only its owner can read, in one step.
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
func (g *Gateway) Endpoint() string { return "http://" + g.front.Addr() }

// Host returns the running host, for those who watch it.
func (g *Gateway) Host() *host.Host { return g.host }

// S3Server returns the object API, for those who watch it.
func (g *Gateway) S3Server() *s3.Server { return g.front }

// Spool returns the store of bodies, for those who watch it.
func (g *Gateway) Spool() *spool.Pool { return g.spool }

// Stop stops accepting, lets what was taken get its answer until ctx ends, and
// closes everything.
func (g *Gateway) Stop(ctx context.Context) {
	g.front.Shutdown(ctx)
	g.front = nil
	g.closeAll()
}

// MaxStopDuration returns how long a request that was taken may still need.
func (g *Gateway) MaxStopDuration() time.Duration {
	c := g.opts.Config
	return config.MS(max(c.Classes.Read.DeadlineMS, c.Classes.Write.DeadlineMS)) + 2*time.Second
}

func (g *Gateway) closeAll() {
	if g.front != nil { // it did not start whole
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g.front.Shutdown(ctx)
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
