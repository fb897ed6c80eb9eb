package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arrowwalk/internal/activetime"
	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/store"
	"arrowwalk/internal/store/maintenance"
)

type serveCmd struct {
	Config     string `type:"path" help:"Settings file; without it the embedded default."`
	Listen     string `help:"Address of the object API, in place of the settings' (port 0 takes a free one)."`
	Data       string `type:"path" default:"arrowwalk-data" help:"Directory of embedded bricks and of keys made at the first start."`
	StatsFile  string `type:"path" hidden:"" help:"File to write at SIGUSR1 with what the process has used; for bench."`
	CPUProfile string `type:"path" name:"cpu-profile" help:"File for a CPU profile of the whole run (pprof)."`
	tolerant   bool
	tell       func(*gateway.Gateway, *config.Config)
	DropGuard  string `hidden:"" enum:",expect,age,apply,fence,consume,remove-owner,read-record,crash-recorded,crash-applied" default:"" help:"Take a guard out, so that a proof is seen to fail."`
	ClockFile  string `type:"path" hidden:"" help:"File with seconds to add to the wall clock when signatures are checked; for proofs."`
	Control    string `type:"path" help:"Path of the operators' socket; without it control.sock in the data directory."`
	ReadyFile  string `type:"path" help:"File to write, once it serves, with endpoint, keys, region and pid."`
}

// ready is what the ready file holds.
type ready struct {
	Endpoint string `json:"endpoint"`
	Access   string `json:"access_key"`
	Secret   string `json:"secret_key"`
	Region   string `json:"region"`
	PID      int    `json:"pid"`
}

// Run serves until SIGTERM or SIGINT.
func (s *serveCmd) Run(g *globals) error {
	cfg := config.Default()
	if s.Config != "" {
		var err error
		if cfg, err = config.Load(s.Config); err != nil {
			return err
		}
	}
	if s.Listen != "" {
		if _, _, err := net.SplitHostPort(s.Listen); err != nil {
			return fmt.Errorf("--listen: %q: must be HOST:PORT", s.Listen)
		}
		cfg.Listen = s.Listen
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	defer tellUsage(s.StatsFile)()
	if s.CPUProfile != "" {
		f, err := os.Create(s.CPUProfile)
		if err != nil {
			return fmt.Errorf("--cpu-profile: %w", err)
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return fmt.Errorf("--cpu-profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	if s.Control == "" {
		s.Control = filepath.Join(s.Data, "control.sock")
	}
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return fmt.Errorf("data directory: %w", err)
	}
	gw, err := gateway.Start(gateway.Options{Config: cfg, DataDir: s.Data, Log: g.log, Now: s.clock(), DisabledGuard: s.DropGuard, ControlSocket: s.Control, SkipFailedBricks: s.tolerant})
	if err != nil {
		return err
	}
	g.log.Info("serving", "endpoint", gw.Endpoint(), "host", gw.Host().RunID(), "bricks", len(cfg.Bricks), "data", s.Data)
	if err := s.writeReady(gw, cfg); err != nil {
		gw.Stop(stop)
		return err
	}
	if s.tell != nil {
		s.tell(gw, cfg)
	}
	<-stop.Done()
	cancel() // a second signal ends the process at once
	g.log.Info("stopping", "reason", "signal")
	within, done := activetime.WithTimeout(context.Background(), gw.MaxStopDuration())
	defer done()
	gw.Stop(within)
	g.log.Info("stopped")
	return nil
}

// clock returns the wall clock for signatures: that of a proof jumps.
func (s *serveCmd) clock() func() time.Time {
	if s.ClockFile == "" {
		return nil
	}
	return func() time.Time {
		text, err := os.ReadFile(s.ClockFile)
		if err != nil {
			return time.Now()
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil {
			return time.Now()
		}
		return time.Now().Add(time.Duration(seconds) * time.Second)
	}
}

func (s *serveCmd) writeReady(gw *gateway.Gateway, cfg *config.Config) error {
	if s.ReadyFile == "" {
		return nil
	}
	text, err := json.Marshal(ready{gw.Endpoint(), gw.Keys[0].Access, gw.Keys[0].Secret, cfg.Region, os.Getpid()})
	if err != nil {
		return err
	}
	if err := gateway.WriteFileAtomic(s.ReadyFile, text); err != nil {
		return fmt.Errorf("ready file: %w", err)
	}
	return nil
}

// applianceCmd is serve for a small site: it does without a brick whose
// directory cannot be used, and says where everything is.
type applianceCmd struct {
	serveCmd `embed:""`
}

// Run serves until SIGTERM or SIGINT.
func (a *applianceCmd) Run(g *globals) error {
	a.serveCmd.tolerant = true
	a.serveCmd.tell = func(gw *gateway.Gateway, cfg *config.Config) {
		fmt.Fprintf(g.out, "arrowwalk appliance\n  object API   %s (region %s)\n  access key   %s (secret in %s)\n  data         %s\n"+
			"  console      arrowwalk console --socket %s\n", gw.Endpoint(), cfg.Region, gw.Keys[0].Access, filepath.Join(a.Data, "keys.json"), a.Data, a.Control)
		for brick, why := range gw.FailedBricks() {
			fmt.Fprintf(g.out, "  WITHOUT      %s: %v\n", brick, why)
		}
	}
	return a.serveCmd.Run(g)
}

type brickCmd struct {
	Name     string        `required:"" help:"The brick's name, as the node list has it."`
	Listen   string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Data     string        `required:"" type:"path" help:"Directory of the brick's blobs."`
	Zone     string        `default:"zone-a" help:"The brick's zone."`
	Window   time.Duration `default:"4s" help:"For how long repeats of a keyed write are dropped."`
	Shard    int           `help:"The shard that the brick holds, as it registers."`
	Coord    []string      `help:"Coordination servers (HOST:PORT) to register with."`
	Root     string        `default:"/arrowwalk/bricks" help:"Node under which it registers."`
	Session  time.Duration `default:"5s" help:"Session that it asks for: lost for longer, it is gone from the list."`
	Scrub    time.Duration `default:"168h" help:"In which all that is stored is read once and checked."`
	DrainFor time.Duration `help:"At SIGTERM the brick first says for so long that it drains, then ends."`
	Ready    string        `name:"ready-file" type:"path" help:"File to write, once it serves, with its address."`
}

// Run serves one brick until SIGTERM or SIGINT.
func (b *brickCmd) Run(g *globals) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	dir, err := store.Open(b.Data, store.Options{Log: g.log})
	if err != nil {
		return err
	}
	defer dir.Close()
	ln, err := net.Listen("tcp", b.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	zone := brickd.NewZone(b.Window)
	zone.Name = b.Zone
	options := brickd.Options{ID: b.Name, Zone: zone, Log: g.log}
	guard := membership.NewServingGuard(b.Session, g.log)
	if len(b.Coord) > 0 {
		options.MayServe = guard.MayServe
	}
	server := brickd.Start(ln, dir, options)
	defer server.Close()
	tender := maintenance.Start(maintenance.Options{Store: dir, Load: server.Load, ScrubPeriod: b.Scrub, Log: g.log})
	defer tender.Close()
	g.log.Info("brick serves", "name", b.Name, "address", server.Addr())
	if len(b.Coord) > 0 {
		entry := membership.Entry{Name: b.Name, Address: server.Addr(), Zone: b.Zone, Shard: b.Shard, Started: server.Started()}
		r, err := membership.Register(membership.ZKOptions{Servers: b.Coord, Root: b.Root, SessionTimeout: b.Session,
			Topology: membership.Topology{Zones: []string{b.Zone}, Shards: b.Shard + 1}, Log: g.log}, entry, guard)
		if err != nil {
			return err
		}
		defer r.Close()
	}
	if b.Ready != "" {
		if err := gateway.WriteFileAtomic(b.Ready, fmt.Appendf(nil, "{\"address\":%q,\"pid\":%d}\n", server.Addr(), os.Getpid())); err != nil {
			return fmt.Errorf("ready file: %w", err)
		}
	}
	<-stop.Done()
	if b.DrainFor <= 0 {
		return nil
	}
	server.SetDraining(true)
	g.log.Info("brick drains", "name", b.Name, "for", b.DrainFor)
	again, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	select {
	case <-time.After(b.DrainFor):
	case <-again.Done(): // a second signal: at once
	}
	return nil
}

type configCmd struct {
	Check   configCheck   `cmd:"" help:"Check a settings file and say what is wrong with it."`
	Schema  configSchema  `cmd:"" help:"Print the settings' JSON Schema."`
	Default configDefault `cmd:"" help:"Print the embedded default."`
}

type configCheck struct {
	File string `arg:"" type:"path" help:"Settings file."`
}

// Run checks a settings file.
func (c *configCheck) Run(g *globals) error {
	if _, err := config.Load(c.File); err != nil {
		return err
	}
	fmt.Fprintln(g.out, c.File+": good")
	return nil
}

type configSchema struct{}

// Run prints the schema.
func (*configSchema) Run(g *globals) error {
	_, err := g.out.Write(config.Schema)
	return err
}

type configDefault struct{}

// Run prints the default settings.
func (*configDefault) Run(g *globals) error {
	_, err := g.out.Write(config.DefaultText())
	return err
}

type versionCmd struct{}

// Run prints the version that the binary was built from.
func (*versionCmd) Run(g *globals) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("no build information")
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	fmt.Fprintln(g.out, "arrowwalk", version, info.GoVersion)
	return nil
}
