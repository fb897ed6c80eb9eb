package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"arrowwalk/internal/platform"
)

type platformCmd struct {
	DropGuard string `hidden:"" enum:",framing,dirty,silent,age,cold,rest,look,bound,reserve" default:"" help:"Take a guard out, so that a proof is seen to fail."`
}

// exitBadStart is the exit code where the platform started a host wrongly.
const exitBadStart = 2

// Run serves on the users' platform until SIGTERM; SIGHUP reads the
// configuration again.
func (c *platformCmd) Run(g *globals) error {
	signals := make(chan os.Signal, 8) // before all else: a signal at the start ends nothing
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	cfg, err := platform.LoadConfig(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "arrowwalk platform:", err)
		os.Exit(exitBadStart)
	}
	cfg.ApplyLimits()
	p, err := platform.Start(cfg, g.log, platform.DisabledGuards{AcceptDoubleFraming: c.DropGuard == "framing", ReuseDirtyConns: c.DropGuard == "dirty",
		NoEviction: c.DropGuard == "silent", NoArrivalAge: c.DropGuard == "age", NoStartTimes: c.DropGuard == "cold",
		NoReuseDelay: c.DropGuard == "rest", NoDisconnectCheck: c.DropGuard == "look", NoShutdownDeadline: c.DropGuard == "bound", NoDescriptorReserve: c.DropGuard == "reserve"})
	if err != nil {
		fmt.Fprintln(os.Stderr, "arrowwalk platform:", err)
		os.Exit(exitBadStart)
	}
	g.log.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "discovery", cfg.Discovery, "known", len(cfg.KnownBricks.Endpoints))
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		if next, err := platform.LoadConfig(os.Getenv); err != nil {
			g.log.Error("the new configuration is wrong, nothing changes", "error", err)
		} else {
			p.Reload(next)
		}
	}
	g.log.Info("stopping", p.LogAttrs()...)
	go func() { // what comes meanwhile changes nothing
		for range signals {
		}
	}()
	p.Stop(context.Background())
	g.log.Info("stopped", p.LogAttrs()...)
	return nil
}
