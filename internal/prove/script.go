package prove

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

// trouble is one thing that a script plays, from its beginning to its end; it
// can be left out by its name.
type trouble struct {
	name  string
	steps []step
}

// step is a moment of a trouble.
type step struct {
	at time.Duration // since the script began
	do func(ctx context.Context) error
}

// once is a step that cannot fail.
func once(at time.Duration, do func()) step {
	return step{at, func(context.Context) error { do(); return nil }}
}

// leaveOut returns the troubles that are to be played, and notes their names.
func (opt *Options) leaveOut(r *Report, all []trouble) []trouble {
	var out []trouble
	for _, t := range all {
		if !slices.Contains(opt.Drop, t.name) {
			out = append(out, t)
			r.Troubles = append(r.Troubles, t.name)
		}
	}
	return out
}

// playTroubles carries out the troubles' steps at their times, and nothing
// after the end.
func playTroubles(ctx context.Context, list []trouble, end time.Duration) (steps int, err error) {
	type named struct {
		step
		name string
	}
	var all []named
	for _, t := range list {
		for _, s := range t.steps {
			all = append(all, named{s, t.name})
		}
	}
	all = append(all, named{step{end, func(context.Context) error { return nil }}, "the end"})
	slices.SortStableFunc(all, func(a, b named) int { return int(a.at - b.at) })
	began := time.Now()
	for _, s := range all {
		if err := wait(ctx, time.Until(began.Add(s.at))); err != nil {
			return steps, err
		}
		if err := s.do(ctx); err != nil {
			return steps, fmt.Errorf("at %s, %s: %w", s.at, s.name, err)
		}
		steps++
	}
	return steps, nil
}

// reopenedListen is where a port is found that is closed for a while and then
// listened on again. Connections between other processes have local ports on
// 127.0.0.1, so none of them can take the port meanwhile.
const reopenedListen = "127.0.0.2:0"

// dice draws what a seed decides.
type dice struct{ *rand.Rand }

func newDice(seed int64, stream uint64) dice {
	return dice{rand.New(rand.NewPCG(uint64(seed), stream))}
}

// span draws a time between two numbers of seconds.
func (d dice) span(least, most float64) time.Duration {
	return time.Duration((least + (most-least)*d.Float64()) * float64(time.Second))
}

// between draws a number between two, both included.
func (d dice) between(least, most int) int { return least + d.IntN(most-least+1) }

// made is an object's content by what it is made from.
type made struct {
	seed int64
	size int
}

func (m made) bytes() []byte { return content(m.seed, m.size) }

// logs is where a run's logs are kept: in the run's own directory, which goes
// with it, or where they are asked for.
func (opt *Options) logs(dir string) string {
	if opt.Out != "" {
		return opt.Out
	}
	return dir
}

// CallsName is the file of a run's calls.
const CallsName = "calls.jsonl"

// newCalls makes the log of a run's clients.
func (opt *Options) newCalls(dir string) (*clients.Log, error) {
	if opt.Out != "" {
		if err := os.MkdirAll(opt.Out, 0o755); err != nil {
			return nil, err
		}
	}
	return clients.NewLog(filepath.Join(opt.logs(dir), CallsName))
}

// checkRules checks the seven rules on what passed on the sockets, read from
// disk. What binds nothing in the run is a note.
func (r *Report) checkRules(site *bricks.Site, log *clients.Log, s *rules.Script) error {
	r.Script = s
	r.Calls, r.Sends = log.Calls().Len(), 0
	arrivals := func(yield func(*rules.Arrival, error) bool) {
		for a, err := range site.Log().Sorted(0) {
			if err == nil && a.Request == "probe" { // a question who the brick is
				continue
			}
			r.Sends++
			if !yield(a, err) {
				return
			}
		}
	}
	verdicts, err := rules.CheckStream(s, arrivals, log.Calls().Sorted(0))
	if err != nil {
		return err
	}
	for _, v := range verdicts {
		if v.Checked == 0 && v.Count == 0 {
			r.note("rule %s: nothing here that it binds", v.Rule)
			continue
		}
		r.add(v.Broken, "%s", v.String())
	}
	return nil
}

// Summary is what a run says of itself for those who play many.
type Summary struct {
	Proof    string   `json:"proof"`
	Seed     int64    `json:"seed"`
	Short    bool     `json:"short"`
	Good     bool     `json:"good"`
	Error    string   `json:"error,omitempty"`
	Requests int      `json:"requests"`
	Sends    int      `json:"sends"`
	Troubles []string `json:"troubles,omitempty"`
	Broken   []string `json:"broken,omitempty"` // lines of the claims that do not hold
	Where    []string `json:"where,omitempty"`  // and where
}

// summary puts a report into few words.
func (r *Report) summary(p *Proof, opt *Options) *Summary {
	s := &Summary{Proof: p.Name, Seed: opt.Seed, Short: opt.Short, Good: !r.Broken(), Requests: r.Calls, Sends: r.Sends, Troubles: r.Troubles}
	for _, c := range r.Claims {
		if len(c.Broken) > 0 {
			s.Broken = append(s.Broken, claimName(c.Line))
			s.Where = append(s.Where, c.Broken...)
		}
	}
	return s
}

// claimName is a claim's line up to its figures.
func claimName(line string) string {
	name, _, _ := strings.Cut(line, ":")
	return name
}

// keepSummary writes the run's summary and what its script knew.
func (opt *Options) keepSummary(p *Proof, r *Report) error {
	if opt.Out == "" {
		return nil
	}
	if err := os.MkdirAll(opt.Out, 0o755); err != nil {
		return err
	}
	for name, v := range map[string]any{SummaryName: r.summary(p, opt), "script.json": r.Script} {
		text, err := json.MarshalIndent(v, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(opt.Out, name), append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// SummaryName is the file of a run's summary.
const SummaryName = "summary.json"
