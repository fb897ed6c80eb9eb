package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"arrowwalk/internal/prove"
)

type proveCmd struct {
	Names []string `arg:"" optional:"" name:"name" help:"The proofs to play."`
	List  bool     `help:"Name the proofs."`
	All   bool     `help:"Play all proofs."`
	Seed  int64    `default:"1" help:"Seed of the script."`
	Seeds string   `placeholder:"A-B" help:"Play each of these seeds, each run a process of its own."`
	Jobs  int      `help:"Runs at once with --seeds; 0: one a core."`
	Keep  string   `type:"path" help:"Directory to keep the logs of broken runs in, with --seeds."`
	Short bool     `help:"Play the form that CI runs."`
	Drop  []string `sep:"none" placeholder:"TROUBLE" help:"Leave a trouble of the script out; may be given again."`
	Out   string   `type:"path" help:"Directory to keep what passed on the sockets in."`
}

// errBroken is what a proof with a broken claim ends with.
var errBroken = errors.New("a claim is broken")

// proveMost is the longest a proof may take.
const proveMost = 10 * time.Minute

// Run plays proofs; the error tells that a claim is broken.
func (p *proveCmd) Run(g *globals) error {
	if p.All {
		p.Names = nil
		for _, proof := range prove.All {
			p.Names = append(p.Names, proof.Name)
		}
	}
	if p.List || len(p.Names) == 0 {
		for _, proof := range prove.All {
			fmt.Fprintf(g.out, "%-12s %s\n", proof.Name, proof.Help)
		}
		return nil
	}
	var proofs []*prove.Proof
	for _, name := range p.Names {
		proof, err := prove.Find(name)
		if err != nil {
			return err
		}
		proofs = append(proofs, proof)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if p.Seeds != "" {
		return p.many(ctx, g, self)
	}
	good := true
	for _, proof := range proofs {
		held, err := p.one(ctx, g, self, proof)
		if err != nil {
			return err
		}
		good = good && held
	}
	if !good {
		return errBroken
	}
	return nil
}

// one plays one proof with one seed.
func (p *proveCmd) one(ctx context.Context, g *globals, self string, proof *prove.Proof) (bool, error) {
	ctx, done := context.WithTimeout(ctx, proveMost)
	defer done()
	var log io.Writer = os.Stderr
	if p.Out != "" {
		if err := os.MkdirAll(p.Out, 0o755); err != nil {
			return false, err
		}
		f, err := os.Create(p.Out + "/" + proof.Name + ".log")
		if err != nil {
			return false, err
		}
		defer f.Close()
		log = f
	}
	return prove.Play(ctx, proof, &prove.Options{Seed: p.Seed, Short: p.Short, Out: p.Out, Exec: []string{self}, Log: log, Print: g.out, Drop: p.Drop})
}

// many plays proofs with many seeds.
func (p *proveCmd) many(ctx context.Context, g *globals, self string) error {
	seeds, err := prove.ParseSeeds(p.Seeds)
	if err != nil {
		return err
	}
	if p.Jobs < 1 {
		p.Jobs = runtime.NumCPU()
	}
	m := &prove.Many{Proofs: p.Names, Seeds: seeds, Short: p.Short, Jobs: p.Jobs, Keep: p.Keep, Exec: []string{self}, Print: g.out, Most: proveMost, Drop: p.Drop,
		Tell: func(done, all, broken int, last *prove.Summary) {
			state := "held"
			if !last.Good {
				state = fmt.Sprintf("broke %v %s", last.Broken, last.Error)
			}
			fmt.Fprintf(os.Stderr, "%d of %d, %d broken; %s seed %d %s\n", done, all, broken, last.Proof, last.Seed, state)
		}}
	found, err := m.Play(ctx)
	if err != nil {
		return err
	}
	if len(found.Broken) > 0 {
		return errBroken
	}
	return nil
}
