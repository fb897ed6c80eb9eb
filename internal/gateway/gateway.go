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
	opt     Options
	Keys    []config.Key
	host    *host.Host
	front   *s3.Server
	pool    *brick.Pool
	spool   *spool.Pool
	file    *membership.FileSource
	zk      *membership.ZKSource
	keeper  *membership.Tracker
	desk    *control.Controller
	exports *exports
	book    *orderlog.Log
	ctl     *control.Server
	bricks  []*embedded
	words   sync.Map         // brick to whether it last said that it drains
	out     map[string]error // embedded bricks that could not be started
}

// embedded is a brick in this process.
type embedded struct {
	name   string
	server *brickd.Server
	dir    *store.Store
	keeper *maintenance.Runner
}

// Start opens the sockets and serves. Nothing is left open after an error.
func Start(opt Options) (*Gateway, error) {
	g := &Gateway{opt: opt}
	if err := g.start(); err != nil {
		g.closeAll()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) start() error {
	cfg := g.opt.Config
	keys, err := g.keys()
	if err != nil {
		return err
	}
	g.Keys = keys
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := g.startRooms(ln); err != nil {
		ln.Close()
		return err
	}
	return nil
}

func (g *Gateway) startRooms(ln net.Listener) error {
	cfg := g.opt.Config
	if err := g.openDesk(); err != nil {
		return err
	}
	list, err := g.startBricks()
	if err != nil {
		return err
	}
	if g.host, err = host.New(host.Options{Settings: cfg.Module(), Log: g.opt.Log}); err != nil {
		return err
	}
	g.pool = brick.NewPool(brick.PoolOptions{MaxIdlePerBrick: cfg.Bounds.BrickIdle, DialTimeout: config.MS(cfg.Timeouts.DialMS),
		StallTimeout: config.MS(cfg.Classes.Read.DeadlineMS)})
	g.spool = spool.NewPool(cfg.Bounds.MemoryBytes, cfg.Bounds.SpoolBytes, cfg.Bounds.SpoolDir)
	if err := g.follow(list); err != nil {
		return err
	}
	secrets := map[string]string{}
	for _, k := range g.Keys {
		secrets[k.Access] = k.Secret
	}
	opt := s3.Options{OnObservation: g.seen, OnTaskEnd: g.ended, NotReadyReason: g.unready, Config: cfg, Host: g.host, Pool: g.pool, Spool: g.spool, Secrets: secrets, Log: g.opt.Log, Now: g.opt.Now,
		AcceptAnyBrick: g.opt.DisabledGuard == "expect", IgnoreSocketAge: g.opt.DisabledGuard == "age"}
	if g.front, err = s3.Start(ln, opt); err != nil {
		return err
	}
	if err := g.openExports(); err != nil {
		return err
	}
	return g.startControl()
}

// startBricks starts the embedded bricks and returns the list of all in the
// settings.
func (g *Gateway) startBricks() (*membership.List, error) {
	cfg := g.opt.Config
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
			if err != nil && g.opt.SkipFailedBricks {
				g.without(b, err)
				continue
			}
			if err != nil {
				return nil, err
			}
			g.bricks = append(g.bricks, e)
			entry.Address = e.server.Addr()
		}
		list.Bricks = append(list.Bricks, entry)
	}
	if len(list.Bricks) == 0 && len(cfg.Bricks) > 0 {
		return nil, fmt.Errorf("no brick can be used: %w", g.out[cfg.Bricks[0].Name])
	}
	return list, nil
}

// without goes on without a brick, and says so.
func (g *Gateway) without(b config.Brick, err error) {
	if g.out == nil {
		g.out = map[string]error{}
	}
	g.out[b.Name] = err
	g.opt.Log.Error("going on without a brick", "brick", b.Name, "error", err)
	g.desk.PublishEvent("without", b.Name, fmt.Sprintf("%s takes no part: %v", b.Name, err))
}

// FailedBricks returns the embedded bricks that could not be started, and why.
func (g *Gateway) FailedBricks() map[string]error { return g.out }

func (g *Gateway) startBrick(b config.Brick, zone *brickd.Zone, meter *brickd.Meter) (*embedded, error) {
	path := b.Data
	if path == "" {
		path = filepath.Join(g.opt.DataDir, "bricks", b.Name)
	}
	dir, err := store.Open(path, store.Options{NoSync: g.opt.NoSync, Log: g.opt.Log.With("brick", b.Name)})
	if err != nil {
		return nil, fmt.Errorf("brick %s: %w", b.Name, err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		dir.Close()
		return nil, fmt.Errorf("brick %s: %w", b.Name, err)
	}
	e := &embedded{name: b.Name, server: brickd.Start(ln, dir, brickd.Options{ID: b.Name, Zone: zone, Meter: meter, Log: g.opt.Log}), dir: dir}
	e.keeper = maintenance.Start(maintenance.Options{Store: dir, Load: e.server.Load, Log: g.opt.Log.With("brick", b.Name)})
	return e, nil
}

// follow tells the host of the settings' bricks, or follows the source that
// the settings name, with what was kept of it before.
func (g *Gateway) follow(list *membership.List) error {
	cfg := g.opt.Config
	shape := membership.Topology{Zones: cfg.Zones, Shards: cfg.Shards}
	keeper, err := membership.StartTracker(membership.TrackerOptions{Topology: shape, Host: g.host, Prober: asker{g.pool}, CacheDir: cfg.CacheDir,
		Log: g.opt.Log, OnAddresses: g.pool.CloseIdleExcept, TrustCache: g.opt.DisabledGuard == "expect", OnList: g.listed, Overlay: g.overlay})
	if err != nil {
		return err
	}
	g.keeper = keeper
	switch {
	case cfg.Discovery != nil:
		g.zk, err = membership.FollowZK(membership.ZKOptions{Servers: cfg.Discovery.Servers, Root: cfg.Discovery.Root,
			SessionTimeout: config.MS(cfg.Discovery.SessionMS), RelistInterval: config.MS(cfg.Discovery.RelistMS), Topology: shape, Log: g.opt.Log},
			func(l *membership.List) { keeper.Offer("discovery", l) }, keeper.ReportFailure)
		return err
	case cfg.NodesFile == "":
		keeper.Offer("settings", list)
		keeper.Refresh() // the list is taken when this returns
		return nil
	}
	g.file, err = membership.FollowFile(cfg.NodesFile, shape, g.opt.Log, func(l *membership.List) {
		edit := *l // an edit is news whatever version its author gave it
		edit.Version = time.Now().UnixMicro()
		keeper.Offer("file", &edit)
	})
	if err != nil && cfg.CacheDir == "" {
		return fmt.Errorf("node list %s: %w", cfg.NodesFile, err)
	}
	if err != nil {
		g.opt.Log.Warn("node list not taken", "file", cfg.NodesFile, "error", err)
	}
	return nil
}

// asker asks bricks who they are (membership.Asker).
type asker struct{ pool *brick.Pool }

// Probe asks the brick that should be name at address.
func (a asker) Probe(ctx context.Context, address, name string) (trust.Observation, int64) {
	at := &brick.Attempt{}
	defer context.AfterFunc(ctx, at.Abort)()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Second)
	}
	id, err := a.pool.Identify(at, address, name, deadline)
	return evidence(err), id.Started
}

// evidence says what an attempt's end shows of the brick.
func evidence(err error) trust.Observation {
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

// seen passes on what an attempt showed.
func (g *Gateway) seen(s attempts.Observation) {
	full := s.Reason == brick.ReasonDiskFull
	turned := g.desk.Stats.RecordAttempt(trafficstats.Attempt{Brick: s.Brick, Volume: s.Volume, Units: s.Units, Latency: s.Latency,
		OK: s.Reason == "", Reason: string(s.Reason), Util: s.Util, Write: s.Write, Full: full}, time.Now())
	switch {
	case turned && full:
		g.desk.PublishEvent("full", s.Brick, s.Brick+" has no room: it refuses writes, reads go on")
	case turned:
		g.desk.PublishEvent("room", s.Brick, s.Brick+" takes writes again")
	}
	if s.Identity != "" {
		g.said(s.Brick, s.Draining)
		if id, ok := brick.ParseIdentity(s.Identity); ok && id.Name == s.Brick {
			g.keeper.Observe(s.Brick, trust.Answered, id.Started)
		}
		return
	}
	switch s.Reason {
	case brick.ReasonWrongBrick, brick.ReasonRefused:
		g.keeper.Observe(s.Brick, evidence(&brick.Failure{Reason: s.Reason}), 0)
	case brick.ReasonTimeout, brick.ReasonDialTimeout:
		g.keeper.Observe(s.Brick, trust.TimedOut, 0)
	}
}

// unready says why nothing can be served, or "".
func (g *Gateway) unready() string {
	if g.keeper.HasList() {
		return ""
	}
	return "No brick is known yet: discovery has told none and no list is kept."
}

// keys returns the settings' keys, or a pair made at the first start and kept.
func (g *Gateway) keys() ([]config.Key, error) {
	if len(g.opt.Config.Keys) > 0 {
		return g.opt.Config.Keys, nil
	}
	path := filepath.Join(g.opt.DataDir, "keys.json")
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
	if err := os.MkdirAll(g.opt.DataDir, 0o700); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	keys := []config.Key{{Access: "AW" + randomText(10), Secret: randomText(25)}}
	text, err = json.Marshal(keys)
	if err != nil {
		return nil, err
	}
	if err := WriteFileAtomic(path, text); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return keys, nil
}

func randomText(bytes int) string {
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
	c := g.opt.Config
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
	if g.ctl != nil {
		g.ctl.Close()
	}
	if g.file != nil {
		g.file.Close()
	}
	if g.zk != nil {
		g.zk.Close()
	}
	if g.keeper != nil {
		g.keeper.Close()
	}
	if g.host != nil {
		g.host.Close()
	}
	if g.book != nil {
		g.book.Close()
	}
	if g.pool != nil {
		g.pool.Close()
	}
	for _, b := range g.bricks {
		b.server.Close()
		b.keeper.Close()
		b.dir.Close()
	}
}
