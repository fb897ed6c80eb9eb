package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"arrowwalk/internal/control"
	"arrowwalk/internal/emul"
	"arrowwalk/internal/emul/capture"
	"arrowwalk/internal/emul/scenario"
	"arrowwalk/internal/emul/worstcase"
	"arrowwalk/internal/lab/charts"
	"arrowwalk/internal/lab/experiment"
	"arrowwalk/internal/prove"
)

type rehearseCmd struct {
	Scenario string        `arg:"" optional:"" help:"A day of the library, or a file."`
	List     bool          `help:"Name the days of the library and the troubles that days may have."`
	Schema   bool          `help:"Print the JSON schema of scenarios."`
	All      bool          `help:"Play the whole library."`
	Seed     uint64        `help:"Seed in place of the scenario's own."`
	Policy   string        `help:"Who decides, in place of the scenario's word: module, everything, even, least or aimd."`
	Out      string        `type:"path" help:"Directory for the result as JSON and its charts."`
	Hunt     int           `help:"Play so many random days, and keep the worst, shrunk."`
	Record   string        `help:"Control socket of a running gateway: watch it, and print the day it has as a scenario."`
	For      time.Duration `default:"30s" help:"For how long to watch."`
	Keep     int           `default:"3" help:"How many days a hunt keeps."`
	Hosts    int           `default:"20" help:"Most hosts of a hunted day."`
	Bricks   int           `default:"8" help:"Most bricks of a hunted day."`
	Load     float64       `default:"0.9" help:"Most load of a hunted day, as part of what its bricks can do."`
}

// Run plays a day, the library or a hunt; the error tells that a claim is broken.
func (r *rehearseCmd) Run(g *globals) error {
	switch {
	case r.Schema:
		_, err := g.out.Write(scenario.Schema())
		return err
	case r.Record != "":
		return r.record(g)
	case r.List || r.Scenario == "" && !r.All && r.Hunt == 0:
		return r.list(g)
	case r.Hunt > 0:
		return r.hunt(g)
	case r.All:
		good := true
		for _, name := range scenario.Names() {
			one := *r
			one.Scenario = name
			if r.Out != "" {
				one.Out = filepath.Join(r.Out, name)
			}
			switch err := one.play(g); {
			case errors.Is(err, errBroken):
				good = false
			case err != nil:
				return err
			}
		}
		if !good {
			return errBroken
		}
		return nil
	}
	return r.play(g)
}

func (r *rehearseCmd) list(g *globals) error {
	for _, name := range scenario.Names() {
		sc, err := scenario.Find(name)
		if err != nil {
			return err
		}
		fmt.Fprintf(g.out, "%-15s %s\n", name, sc.About)
	}
	fmt.Fprintln(g.out, "\ntroubles:")
	for _, kind := range slices.Sorted(maps.Keys(scenario.EventKinds)) {
		fmt.Fprintf(g.out, "%-15s %s\n", kind, scenario.EventKinds[kind])
	}
	return nil
}

func (r *rehearseCmd) play(g *globals) error {
	sc, err := scenario.Find(r.Scenario)
	if err != nil {
		return err
	}
	if r.Policy != "" {
		sc.Policy = r.Policy
	}
	began := time.Now()
	sim, err := emul.New(sc, r.Seed)
	if err != nil {
		return err
	}
	res, err := sim.Run()
	if err != nil {
		return err
	}
	took := time.Since(began)
	fmt.Fprintf(g.out, "%s, seed %d, %s: %g s of %d hosts and %d bricks in %.2f s; %d events, hash %s\n", sc.Name, res.Seed, sc.Policy, sc.Seconds,
		sc.Site.Hosts, sc.Site.Bricks, took.Seconds(), res.Events, res.Hash)
	for _, name := range scenario.FigureNames {
		fmt.Fprintf(g.out, "  %s %.3f", name, res.Figures[name])
	}
	fmt.Fprintln(g.out)
	for _, v := range res.CheckClaims(sc) {
		mark := ""
		if !v.Holds {
			mark = "   BROKEN"
		}
		fmt.Fprintln(g.out, "  "+v.Text+mark)
	}
	for i, text := range res.Violations {
		if i < 10 {
			fmt.Fprintln(g.out, "    "+text)
		}
	}
	if r.Out != "" {
		if err := writeResult(r.Out, res); err != nil {
			return err
		}
	}
	if !res.ClaimsHold(sc) {
		return errBroken
	}
	return nil
}

func writeResult(dir string, res *emul.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), text, 0o644); err != nil {
		return err
	}
	_, err = charts.DrawRun(dir, res)
	return err
}

func (r *rehearseCmd) hunt(g *globals) error {
	opt := worstcase.Options{Seed: max(1, r.Seed), Candidates: r.Hunt, Workers: runtime.NumCPU(), Hosts: [2]int{min(4, r.Hosts), r.Hosts}, Bricks: [2]int{min(3, r.Bricks), r.Bricks},
		Utilization: [2]float64{min(0.4, r.Load), r.Load}, EventCount: [2]int{1, 6}, DurationSeconds: 45, MaxFindings: r.Keep}
	days, err := worstcase.Search(opt)
	if err != nil {
		return err
	}
	broken := false
	for i := range days {
		d := &days[i]
		broken = broken || len(d.Violations) > 0
		fmt.Fprintf(g.out, "seed %d: loses %.3f of service, %d places where a rule is broken; shrunk in %d runs to:\n", d.Seed, d.ServiceLoss, len(d.Violations), d.ShrinkRuns)
		for _, e := range d.Scenario.Timeline {
			text, err := json.Marshal(e)
			if err != nil {
				return err
			}
			fmt.Fprintf(g.out, "  %s\n", text)
		}
		for _, text := range d.Violations {
			fmt.Fprintf(g.out, "  %s\n", text)
		}
		if r.Out != "" {
			if err := os.MkdirAll(r.Out, 0o755); err != nil {
				return err
			}
			text, err := json.MarshalIndent(d.Scenario, "", " ")
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(r.Out, d.Scenario.Name+".json"), text, 0o644); err != nil {
				return err
			}
		}
	}
	if broken {
		return errBroken
	}
	return nil
}

// record watches a gateway, and prints what it lived through as a scenario.
func (r *rehearseCmd) record(g *globals) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ctx, done := context.WithTimeout(ctx, r.For)
	defer done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var looks []capture.Sample
	began := time.Now()
	for {
		looks = append(looks, look(r.Record, time.Since(began)))
		select {
		case <-tick.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	sc, err := capture.BuildScenario("recorded", looks)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(sc, "", " ")
	if err != nil {
		return err
	}
	fmt.Fprintln(g.out, string(text))
	return nil
}

// look takes one look at a gateway; one that does not answer is away.
func look(socket string, at time.Duration) capture.Sample {
	l := capture.Sample{At: at}
	c, err := control.Dial(socket)
	if err != nil {
		return l
	}
	defer c.Close()
	answer, err := c.Call(control.Request{Op: control.OpStatus})
	if err != nil || answer.Snapshot == nil {
		return l
	}
	s := answer.Snapshot
	l.RunID, l.Accepted = s.Host, s.Accepted
	for _, b := range s.Bricks {
		l.Bricks = append(l.Bricks, capture.BrickSample{Name: b.Status.Brick, Shard: b.Shard, State: string(b.State), Cold: b.Cold, Utilization: b.Util, MedianLatency: b.P50})
	}
	return l
}

type experimentCmd struct {
	File string `arg:"" type:"existingfile" help:"The experiment."`
	Out  string `type:"path" default:"experiments" help:"Directory of results, the page and its charts."`
}

// Run plays what is left of an experiment and writes its page.
func (e *experimentCmd) Run(g *globals) error {
	text, err := os.ReadFile(e.File)
	if err != nil {
		return err
	}
	f, err := experiment.Parse(text)
	if err != nil {
		return err
	}
	last := time.Now()
	rows, err := experiment.Run(f, e.Out, func(done, all int, row *experiment.Row) {
		if time.Since(last) > 2*time.Second || done == all {
			last = time.Now()
			fmt.Fprintf(g.out, "%d of %d: %s, %s, seed %d\n", done, all, row.Scenario, row.Variant, row.Seed)
		}
	})
	if err != nil {
		return err
	}
	page, err := experiment.WriteReport(f, rows, e.Out)
	if err != nil {
		return err
	}
	fmt.Fprintln(g.out, page)
	return nil
}

type replayCmd struct {
	Scenario string  `arg:"" help:"A day of the library, or a file."`
	Hosts    int     `default:"4" help:"Gateways, each a process."`
	Scale    float64 `default:"1" help:"Of the timeline: 0.5 has troubles come and go twice as fast."`
	Out      string  `type:"path" help:"Directory to keep what passed on the sockets in."`
}

// Run plays a scenario through real gateways; the error tells that a rule is broken.
func (r *replayCmd) Run(g *globals) error {
	sc, err := scenario.Find(r.Scenario)
	if err != nil {
		return err
	}
	if r.Scale <= 0 || r.Hosts < 1 || r.Hosts > 32 {
		return fmt.Errorf("--scale must be over 0, --hosts 1 to 32")
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	p := &prove.Replay{Scenario: sc, Hosts: r.Hosts, Scale: r.Scale}
	report, err := p.Run(ctx, &prove.Options{Exec: []string{self}, Log: os.Stderr, Print: g.out, Out: r.Out})
	if err != nil {
		return err
	}
	report.Print(g.out)
	if report.Broken() {
		return errBroken
	}
	return nil
}
