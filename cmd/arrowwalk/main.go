// Command arrowwalk is a storage gateway: an object API over bricks that many
// hosts share. Run it with --help for its sub-commands.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	LogLevel  string `default:"info" enum:"debug,info,warn,error" help:"Least level of what is logged: ${enum}."`
	LogFormat string `default:"text" enum:"text,json" help:"Form of the log on standard error: ${enum}."`

	Serve      serveCmd      `cmd:"" help:"Serve the object API; without settings, with six bricks in this process."`
	Platform   platformCmd   `cmd:"" help:"Serve on the users' platform, configured by its variables GW_*."`
	Appliance  applianceCmd  `cmd:"" help:"Serve a small site from one machine: embedded bricks, operators' socket, no questions."`
	Brick      brickCmd      `cmd:"" help:"Run one brick."`
	Config     configCmd     `cmd:"" help:"Check or show settings."`
	Prove      proveCmd      `cmd:"" help:"Play a proof: a scripted run with faults, judged from its sockets."`
	Rehearse   rehearseCmd   `cmd:"" help:"Play a day of a whole site in virtual time, and check its claims."`
	Experiment experimentCmd `cmd:"" help:"Play a grid of settings and seeds, and report what differs."`
	Load       loadCmd       `cmd:"" help:"Send an open-loop load to an object API, and check every byte."`
	Replay     replayCmd     `cmd:"" help:"Play a day through real gateways with scripted bricks on loopback."`
	Volume     volumeCmd     `cmd:"" help:"Block volumes of a running gateway: list, create, resize, delete, export, unexport."`
	Bench      benchCmd      `cmd:"" help:"Measure the gateway beside its bricks and a plain reverse proxy."`
	BenchProxy benchProxyCmd `cmd:"" hidden:"" help:"The proxy that bench compares with."`
	Store      storeCmd      `cmd:"" help:"Look after the directory of a brick that does not run."`
	Members    membersCmd    `cmd:"" help:"Look at the node list that a host keeps on disk."`
	Coord      coordCmd      `cmd:"" help:"Run a stand-in of the coordination service, for rehearsals."`
	Status     statusCmd     `cmd:"" help:"Show a running gateway's bricks, volumes and requests."`
	Drain      drainCmd      `cmd:"" help:"Send a brick nothing new, by hand."`
	Undrain    undrainCmd    `cmd:"" help:"Take a drain by hand back."`
	Events     eventsCmd     `cmd:"" help:"Show what happened at a running gateway."`
	Console    consoleCmd    `cmd:"" help:"Watch a running gateway on this terminal, and drain by a key."`
	Version    versionCmd    `cmd:"" help:"Show the version."`
}

// globals are what every sub-command gets.
type globals struct {
	log *slog.Logger
	out io.Writer
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("arrowwalk"), kong.UsageOnError(),
		kong.Description("A storage gateway that schedules one host's reads and writes across shared bricks."))
	err := ctx.Run(&globals{log: newLogger(os.Stderr, c.LogLevel, c.LogFormat), out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, "arrowwalk:", err)
		os.Exit(1)
	}
}

func newLogger(w io.Writer, level, format string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	opt := &slog.HandlerOptions{Level: l}
	if format == "json" {
		return slog.New(slog.NewJSONHandler(w, opt))
	}
	return slog.New(slog.NewTextHandler(w, opt))
}
