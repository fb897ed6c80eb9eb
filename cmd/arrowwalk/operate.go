package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"arrowwalk/internal/control"
	"arrowwalk/internal/control/console"
	"arrowwalk/internal/control/drains"
)

// socketFlag says which gateway is meant.
type socketFlag struct {
	Socket string `type:"path" default:"arrowwalk-data/control.sock" env:"ARROWWALK_SOCKET" help:"The gateway's control socket."`
}

type statusCmd struct {
	socketFlag
	JSON    bool `name:"json" help:"Print the whole snapshot as JSON."`
	Running bool `help:"List the requests that are owed an answer, oldest first."`
}

// Run prints the gateway's state.
func (s *statusCmd) Run(g *globals) error {
	c, err := control.Dial(s.Socket)
	if err != nil {
		return err
	}
	defer c.Close()
	op := control.OpStatus
	if s.Running {
		op = control.OpRunning
	}
	r, err := c.Call(control.Request{Op: op})
	if err != nil {
		return err
	}
	switch {
	case s.JSON && s.Running:
		return printJSON(g, r.Running)
	case s.JSON:
		return printJSON(g, r.Snapshot)
	case s.Running:
		return printRunning(g, r.Running)
	}
	return printSnapshot(g, r.Snapshot)
}

func printJSON(g *globals, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(g.out, string(text))
	return err
}

func printRunning(g *globals, list []control.RunningRequest) error {
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "request\tclass\tage\tstage\tbrick\ttries\tunits")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.2f\n", r.ID, r.Class, time.Duration(r.AgeUS)*time.Microsecond, r.Stage, r.Brick, r.Attempts, r.Units)
	}
	return w.Flush()
}

func printSnapshot(g *globals, s *control.Snapshot) error {
	fmt.Fprintf(g.out, "host %s: taken %d, served %d, refused %d, failed %d; queued %d, sent %d; %d connections, %d KiB of bodies\n",
		s.Host, s.Accepted, s.Served, s.Refused, s.Failed, s.Queued, s.Sent, s.Connections, (s.BodyMemoryBytes+s.SpoolBytes)>>10)
	if s.Stalls > 0 {
		fmt.Fprintf(g.out, "the host stood still %d times, for %v at most\n", s.Stalls, time.Duration(s.MaxStallUS)*time.Microsecond)
	}
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "brick\tstate\tby\tshard\tzone\ttrust\tutil\tout\tunits out\tserved\tfailed\tp50\tp99")
	for _, b := range s.Bricks {
		util := "-"
		if b.Util >= 0 {
			util = fmt.Sprintf("%.0f%%", 100*b.Util)
		}
		state := string(b.State)
		if b.Cold {
			state += " (cold)"
		}
		if b.QuarantinedBlocks > 0 {
			state += fmt.Sprintf(", %d blocks damaged", b.QuarantinedBlocks)
		}
		by := string(b.Origin)
		if b.Operator != "" {
			by += ": " + b.Operator
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%.2f\t%d\t%s\t%s\t%s\n", b.Status.Brick, state, by, b.Shard, b.Zone, b.Trust, util,
			b.OutstandingRequests, b.OutstandingUnits, b.Served, failures(b.Failed), b.P50, b.P99)
	}
	fmt.Fprintln(w, "\nvolume\tplan\tserved\trefused\tfailed\tshards\tquadrant\tpaced at\treserve left")
	for _, v := range s.Volumes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\t%.1f\t%.1f\n", v.Name, v.Plan, v.Served, v.Refused, v.Failed, v.Shards, v.Quadrant, v.TokenRate, v.Reserve)
	}
	return w.Flush()
}

func failures(by map[string]uint64) string {
	if len(by) == 0 {
		return "0"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(by)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, by[reason]))
	}
	return strings.Join(parts, ", ")
}

type drainCmd struct {
	socketFlag
	Brick  string        `arg:"" help:"The brick."`
	Force  bool          `help:"Also where no other brick has its data."`
	Wait   bool          `help:"Wait until nothing is out at the brick."`
	Within time.Duration `default:"1m" help:"The longest wait."`
	Reason string        `help:"Kept with the order."`
}

// Run orders a drain.
func (d *drainCmd) Run(g *globals) error {
	c, err := control.Dial(d.Socket)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := order(g, c, drains.Order{Kind: drains.Drain, Brick: d.Brick, Force: d.Force, Reason: d.Reason}); err != nil || !d.Wait {
		return err
	}
	return awaitIdle(g, c, d.Brick, d.Within)
}

type undrainCmd struct {
	socketFlag
	Brick  string `arg:"" help:"The brick."`
	Number int64  `help:"Only the drain of this number, if it is still in force."`
	Reason string `help:"Kept with the order."`
}

// Run takes a drain back.
func (u *undrainCmd) Run(g *globals) error {
	c, err := control.Dial(u.Socket)
	if err != nil {
		return err
	}
	defer c.Close()
	o := drains.Order{Kind: drains.Undrain, Brick: u.Brick, Reason: u.Reason}
	if u.Number > 0 {
		o.Kind, o.Number = drains.Cancel, u.Number
	}
	return order(g, c, o)
}

// order sends an order; the same one again where the first answer was lost.
func order(g *globals, c *control.Client, o drains.Order) error {
	var id [12]byte
	rand.Read(id[:])
	o.ID, o.Operator = hex.EncodeToString(id[:]), os.Getenv("USER")
	r, err := c.Call(control.Request{Op: control.OpOrder, Order: o})
	if err != nil {
		return err
	}
	text := fmt.Sprintf("order %d: %s is %s", r.Result.Number, o.Brick, r.Result.After.State)
	if r.Result.After.Origin != drains.ByNone {
		text += " by " + string(r.Result.After.Origin)
	}
	if r.Result.Note != "" {
		text += " (" + r.Result.Note + ")"
	}
	fmt.Fprintf(g.out, "%s, in effect at %s\n", text, time.UnixMicro(r.EffectiveAt).Format("15:04:05.000"))
	return nil
}

func awaitIdle(g *globals, c *control.Client, brick string, within time.Duration) error {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	last := -1
	for until := time.Now().Add(within); time.Now().Before(until); <-tick.C {
		r, err := c.Call(control.Request{Op: control.OpStatus})
		if err != nil {
			return err
		}
		for _, b := range r.Snapshot.Bricks {
			if b.Status.Brick != brick || b.OutstandingRequests == last {
				continue
			}
			if last = b.OutstandingRequests; last == 0 {
				fmt.Fprintf(g.out, "%s is idle\n", brick)
				return nil
			}
			fmt.Fprintf(g.out, "%d requests out at %s\n", last, brick)
		}
	}
	return errors.New("the brick is not idle yet")
}

type eventsCmd struct {
	socketFlag
	Most   int  `default:"50" help:"How many of the last events."`
	Follow bool `short:"f" help:"Go on with what happens."`
	JSON   bool `name:"json" help:"One JSON object a line."`
}

// Run prints events.
func (e *eventsCmd) Run(g *globals) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	c, err := control.Dial(e.Socket)
	if err != nil {
		return err
	}
	defer c.Close()
	r, err := c.Call(control.Request{Op: control.OpStatus})
	if err != nil {
		return err
	}
	after := max(0, r.Snapshot.LastEvent-int64(e.Most))
	if !e.Follow {
		r, err := c.Call(control.Request{Op: control.OpEvents, After: after, MaxEvents: e.Most})
		if err != nil {
			return err
		}
		return e.print(g, r.Events)
	}
	if err := c.Watch(after); err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	for {
		r, err := c.Next()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := e.print(g, r.Events); err != nil {
			return err
		}
	}
}

func (e *eventsCmd) print(g *globals, events []control.Event) error {
	for _, ev := range events {
		if e.JSON {
			text, err := json.Marshal(ev)
			if err != nil {
				return err
			}
			fmt.Fprintln(g.out, string(text))
			continue
		}
		fmt.Fprintf(g.out, "%6d  %s  %-8s  %s\n", ev.Number, time.UnixMicro(ev.At).Format("15:04:05.000"), ev.Kind, ev.Text)
	}
	return nil
}

type consoleCmd struct {
	socketFlag
}

// Run shows the console on this terminal.
func (c *consoleCmd) Run(*globals) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGHUP)
	defer cancel()
	return console.Run(ctx, c.Socket, os.Stdin, os.Stdout)
}
