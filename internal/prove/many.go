package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Many plays proofs with many seeds, each run a process of its own: what one
// holds is gone with it.
type Many struct {
	Proofs []string
	Seeds  [2]int64 // from, to, both included
	Short  bool
	Jobs   int
	Keep   string   // directory for the logs of broken runs; "": none are kept
	Exec   []string // command that runs arrowwalk
	Print  io.Writer
	Tell   func(done, all, broken int, last *Summary) // after each run; nil: nobody is told
	Most   time.Duration                              // a run may take
	Drop   []string
}

// Broken is a run that broke a claim, and the shortest script that still does.
type Broken struct {
	Summary
	Shortest []string // troubles that are left; nil: it was not looked for
	Again    int      // of retryMost runs of the whole script, how many broke
}

// Outcome is what was found.
type Outcome struct {
	Runs     []*Summary
	Broken   []*Broken
	Requests int
	Sends    int
}

// retryMost is how often a broken run is played again, whole, and how often a
// shorter script may hold before the trouble that it lacks counts as needed:
// what breaks by chance of the machine does not break each time.
const retryMost = 3

// ParseSeeds reads A-B, or one seed.
func ParseSeeds(text string) ([2]int64, error) {
	a, b, both := strings.Cut(text, "-")
	from, err := strconv.ParseInt(a, 10, 64)
	to := from
	if err == nil && both {
		to, err = strconv.ParseInt(b, 10, 64)
	}
	if err != nil || from < 1 || to < from {
		return [2]int64{}, fmt.Errorf("seeds %q: not A-B with 1 <= A <= B", text)
	}
	return [2]int64{from, to}, nil
}

// Play plays all of it, and prints what broke. It ends early with ctx.
func (m *Many) Play(ctx context.Context) (*Outcome, error) {
	type job struct {
		proof string
		seed  int64
	}
	jobs := make(chan job)
	out := &Outcome{}
	all := len(m.Proofs) * int(m.Seeds[1]-m.Seeds[0]+1)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range max(1, m.Jobs) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				s := m.run(ctx, j.proof, j.seed, nil, true)
				if ctx.Err() != nil { // it was ended, which shows nothing
					continue
				}
				mu.Lock()
				out.take(s)
				if m.Tell != nil {
					m.Tell(len(out.Runs), all, len(out.Broken), s)
				}
				mu.Unlock()
			}
		}()
	}
	for seed := m.Seeds[0]; seed <= m.Seeds[1] && ctx.Err() == nil; seed++ {
		for _, p := range m.Proofs {
			select {
			case jobs <- job{p, seed}:
			case <-ctx.Done():
			}
		}
	}
	close(jobs)
	wg.Wait()
	for _, b := range out.Broken {
		if ctx.Err() == nil {
			m.shorten(ctx, b)
		}
	}
	out.table(m.Print)
	return out, ctx.Err()
}

func (o *Outcome) take(s *Summary) {
	o.Runs = append(o.Runs, s)
	o.Requests += s.Requests
	o.Sends += s.Sends
	if !s.Good {
		o.Broken = append(o.Broken, &Broken{Summary: *s})
	}
}

// run plays one seed in a process of its own. Its files are kept where it
// broke and keep is asked for.
func (m *Many) run(ctx context.Context, proof string, seed int64, drop []string, keep bool) *Summary {
	s := &Summary{Proof: proof, Seed: seed, Short: m.Short}
	dir, err := os.MkdirTemp("", "arrowwalk-prove")
	if err != nil {
		s.Error = err.Error()
		return s
	}
	defer os.RemoveAll(dir)
	most := m.Most
	if most == 0 {
		most = 10 * time.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	args := append(m.Exec[1:len(m.Exec):len(m.Exec)], "prove", proof, "--seed", strconv.FormatInt(seed, 10), "--out", dir)
	if m.Short {
		args = append(args, "--short")
	}
	for _, d := range append(drop, m.Drop...) {
		args = append(args, "--drop", d)
	}
	cmd := exec.CommandContext(ctx, m.Exec[0], args...)
	cmd.Env = append(os.Environ(), "ARROWWALK_AS_COMMAND=1")
	cmd.Cancel = func() error { return cmd.Process.Signal(os.Interrupt) }
	cmd.WaitDelay = 5 * time.Second
	text, err := cmd.CombinedOutput()
	m.read(s, dir, text, err)
	if !s.Good && keep && m.Keep != "" {
		os.WriteFile(filepath.Join(dir, "output.txt"), text, 0o644)
		if err := copyDir(dir, filepath.Join(m.Keep, fmt.Sprintf("%s-%d", proof, seed))); err != nil {
			s.Error = errors.Join(errors.New(s.Error), err).Error()
		}
	}
	return s
}

// read takes a run's summary, or says why there is none.
func (m *Many) read(s *Summary, dir string, text []byte, failed error) {
	summary, err := os.ReadFile(filepath.Join(dir, SummaryName))
	if err == nil {
		err = json.Unmarshal(summary, s)
	}
	var exit *exec.ExitError
	switch {
	case err == nil && (failed == nil) == s.Good:
	case failed != nil && !errors.As(failed, &exit):
		s.Good, s.Error = false, failed.Error()
	default:
		s.Good, s.Error = false, lastLine(text)
	}
	if s.Error != "" && len(s.Broken) == 0 {
		s.Broken = []string{"the run itself"}
	}
}

func lastLine(text []byte) string {
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func copyDir(from, to string) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(from))
}

// shorten looks for the shortest script that still breaks one of the claims
// that b broke, leaving out its troubles one at a time.
func (m *Many) shorten(ctx context.Context, b *Broken) {
	breaks := func(drop []string) bool {
		s := m.run(ctx, b.Proof, b.Seed, drop, false)
		return !s.Good && slices.ContainsFunc(s.Broken, func(c string) bool { return slices.Contains(b.Summary.Broken, c) })
	}
	for range retryMost {
		if breaks(nil) {
			b.Again++
		}
	}
	if b.Again == 0 {
		return
	}
	b.Shortest = slices.Clone(b.Troubles)
	var drop []string
	for _, t := range b.Troubles {
		try := append(slices.Clone(drop), t)
		for range retryMost {
			if ctx.Err() != nil {
				return
			}
			if breaks(try) {
				drop = try
				b.Shortest = slices.DeleteFunc(b.Shortest, func(x string) bool { return x == t })
				break
			}
		}
	}
}

// table prints what was played and what broke.
func (o *Outcome) table(w io.Writer) {
	type row struct{ runs, broken, requests, sends int }
	rows := map[string]*row{}
	var names []string
	for _, s := range o.Runs {
		r := rows[s.Proof]
		if r == nil {
			r = &row{}
			rows[s.Proof] = r
			names = append(names, s.Proof)
		}
		r.runs++
		r.requests += s.Requests
		r.sends += s.Sends
		if !s.Good {
			r.broken++
		}
	}
	slices.Sort(names)
	fmt.Fprintln(w, "| proof | runs | requests | sends | broken |\n| --- | --- | --- | --- | --- |")
	for _, n := range names {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %d |\n", n, rows[n].runs, rows[n].requests, rows[n].sends, rows[n].broken)
	}
	troubles := map[string]int{}
	for _, s := range o.Runs {
		for _, t := range s.Troubles {
			troubles[s.Proof+": "+t]++
		}
	}
	if len(troubles) > 0 {
		fmt.Fprintln(w, "\n| trouble | times |\n| --- | --- |")
		for _, t := range sortedKeys(troubles) {
			fmt.Fprintf(w, "| %s | %d |\n", t, troubles[t])
		}
	}
	if len(o.Broken) == 0 {
		return
	}
	fmt.Fprintln(w, "\n| broken | seed | claims | where | again | shortest script |\n| --- | --- | --- | --- | --- | --- |")
	for _, b := range o.Broken {
		where := b.Error
		if len(b.Where) > 0 {
			where = b.Where[0]
		}
		shortest := "not looked for"
		if b.Again > 0 {
			shortest = strings.Join(b.Shortest, "; ")
			if shortest == "" {
				shortest = "no trouble at all"
			}
		}
		fmt.Fprintf(w, "| %s | %d | %s | %s | %d of %d | %s |\n", b.Proof, b.Seed, strings.Join(b.Summary.Broken, ", "), where, b.Again, retryMost, shortest)
	}
}

func sortedKeys(m map[string]int) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
