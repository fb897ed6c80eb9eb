package prove

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/membership"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

// Stalls measures what follows a stall of a gateway with many requests held.
type Stalls struct {
	Spans []time.Duration
	Held  int // requests that are sent while it stands still
	Exec  []string
	Log   io.Writer
	Print io.Writer
}

// Run plays each span and prints a row for it.
func (m *Stalls) Run(ctx context.Context) error {
	fmt.Fprintln(m.Print, "| stall | held | overdue | last overdue answer after | p99 of them | served in time | p50 of what came after | p99 | sends in the first 100 ms | in any 100 ms without a backlog |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, span := range m.Spans {
		opt := &Options{Exec: m.Exec, Log: m.Log}
		found, err := m.one(ctx, opt, span, nil)
		if err != nil {
			return err
		}
		fmt.Fprintln(m.Print, found.row(span))
	}
	return nil
}

// stalled is what followed a stall.
type stalled struct {
	held, lost, inTime int
	overdue, after     []time.Duration // to the answer: from the stall's end, and from when it was sent
	first, most        int             // sends in the first 100 ms, and in any without a backlog
}

// stallsProof is the proof that answers go first after a stall, and that what
// was held does not push bricks.
func stallsProof(ctx context.Context, opt *Options) (*Report, error) {
	d := newDice(opt.Seed, 12)
	m := &Stalls{Held: d.between(100, 300), Exec: opt.Exec, Log: opt.Log}
	span := d.span(1, 4)
	if !opt.Short {
		m.Held, span = d.between(500, 1000), d.span(3, 20)
	}
	if opt.Guard == "age" {
		span = 4 * time.Second
	}
	rep := &Report{}
	found, err := m.one(ctx, opt, span, rep)
	if err != nil {
		return nil, err
	}
	var late, pushed []string
	for _, took := range found.overdue {
		if took > daySlack {
			late = append(late, fmt.Sprintf("an overdue request has its answer %s after the stall", took))
		}
	}
	if span > stallWait && len(found.overdue) == 0 {
		late = append(late, "nothing was overdue")
	}
	// What waits is paced by the module: as many sends as the bricks had before,
	// and those that were out when the host stood still.
	if most := 3*found.most/2 + steadyClients; found.first > most {
		pushed = append(pushed, fmt.Sprintf("%d sends in the first 100 ms after the stall, %d in any without a backlog", found.first, found.most))
	}
	rep.note("stall of %s, %d requests held: %s", span.Round(time.Millisecond), m.Held, found.row(span))
	rep.add(late, "claim what is overdue is answered first: %d requests, %d broken", len(found.overdue), len(late))
	rep.add(pushed, "claim catching up does not push bricks: %d sends in the first 100 ms, %d in any without a backlog, %d broken", found.first, found.most, len(pushed))
	return rep, nil
}

const (
	// stallWait is the patience of the measurement's clients.
	stallWait = 2500 * time.Millisecond
	// steadyClients ask one thing after the other, before the stall and after.
	steadyClients = 32
)

// one plays a stall; the rules are checked into rep, where it is not nil.
func (m *Stalls) one(ctx context.Context, opt *Options, span time.Duration, rep *Report) (*stalled, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-stalls")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	cfg := dayConfig(0)
	cfg.Host.Count, cfg.Shards, cfg.NodesFile = 1, 3, filepath.Join(dir, "nodes.json")
	e := &evenings{opt: opt, dir: dir, cfg: cfg, report: &Report{}, site: bricks.NewLogged(dir, opt.logs(dir), 4*time.Second, bricks.Cold{}), bricks: map[string]*bricks.Brick{},
		entries: map[string]string{}}
	defer e.site.Close()
	e.site.Work = func(*bricks.Brick, *brickd.Exchange) time.Duration { return 2 * time.Millisecond }
	for i, name := range []string{"alpha", "beta", "gamma"} {
		b, err := e.site.Start(name, cfg.Zones[i], i, name, false)
		if err != nil {
			return nil, err
		}
		e.bricks[name], e.entries[name] = b, membership.Ready
	}
	if err := e.list(); err != nil {
		return nil, err
	}
	if e.log, err = opt.newCalls(dir); err != nil {
		return nil, err
	}
	defer e.log.Close()
	if e.host, err = startProcess(ctx, opt, dir, 0, cfg, opt.Guard); err != nil {
		return nil, err
	}
	defer e.host.endOutright()
	if err := m.measure(ctx, e, span); err != nil {
		return nil, err
	}
	if rep != nil {
		f := rules.Figures{Slack: daySlack.Microseconds(), DrainGrace: micros(cfg.Rules.DrainGraceMS), Window: micros(cfg.Classes.Write.WindowMS),
			ResendFree: cfg.Rules.ResendFree, ResendRatio: cfg.Rules.ResendRatio, ResendSpan: micros(cfg.Rules.ResendSpanMS)}
		if err := rep.checkRules(e.site, e.log, &rules.Script{Stills: stood([]*process{e.host}), Figures: f}); err != nil {
			return nil, err
		}
	}
	return m.found(e)
}

// measure holds requests through the stall, has steady clients before and
// after it, and prints the row.
func (m *Stalls) measure(ctx context.Context, e *evenings, span time.Duration) error {
	seed := &clients.Client{Name: "seed", Target: e.host.target, Log: &clients.Log{}}
	for i := range 100 {
		if a := seed.Do(&clients.Request{Method: "PUT", Path: fmt.Sprint("/theses/", i), Body: made{int64(i), 4096}.bytes()}); a.Call.Status != 200 {
			return fmt.Errorf("an object cannot be stored: %d", a.Call.Status)
		}
	}
	seed.Close()
	stop := make(chan struct{})
	var steady, held sync.WaitGroup
	for i := range steadyClients {
		steady.Add(1)
		go func() {
			defer steady.Done()
			c := &clients.Client{Name: fmt.Sprint("steady-", i), Target: e.host.target, Log: e.log}
			defer c.Close()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.Do(&clients.Request{Method: "GET", Path: fmt.Sprint("/theses/", n%100), Wait: stallWait})
				}
			}
		}()
	}
	holders := make([]*clients.Client, m.Held)
	for i := range holders {
		holders[i] = &clients.Client{Name: fmt.Sprint("held-", i), Target: e.host.target, Log: e.log}
		holders[i].Do(&clients.Request{Method: "GET", Path: fmt.Sprint("/theses/", i%100), Wait: stallWait})
	}
	err := wait(ctx, 2*time.Second)
	if err == nil {
		err = e.host.standStill()
	}
	defer e.host.goOn()
	for i, c := range holders {
		held.Add(1)
		go func() { // spread over the stall
			defer held.Done()
			defer c.Close()
			if wait(ctx, span*time.Duration(i)/time.Duration(m.Held)) == nil {
				c.Do(&clients.Request{Method: "GET", Path: fmt.Sprint("/theses/", i%100), Wait: stallWait, Patience: span + 5*time.Second})
			}
		}()
	}
	if err == nil {
		err = wait(ctx, span)
	}
	e.host.goOn()
	held.Wait()
	if err == nil {
		err = wait(ctx, 3*time.Second)
	}
	close(stop)
	steady.Wait()
	return err
}

// found sorts what the clients saw by how it stands to the stall.
func (m *Stalls) found(e *evenings) (*stalled, error) {
	st := stood([]*process{e.host})[0]
	f := &stalled{}
	for c, err := range e.log.Calls().Each(0) {
		if err != nil {
			return nil, err
		}
		up := c.Sent + c.Waits
		switch {
		case c.Sent >= st.To:
			f.after = append(f.after, time.Duration(c.Begun-c.Sent)*time.Microsecond)
		case c.Begun != 0 && c.Begun < st.From:
		case c.Begun == 0:
			f.lost++
		case up <= st.To:
			f.held++
			f.overdue = append(f.overdue, time.Duration(c.Begun-st.To)*time.Microsecond)
		default:
			f.held++
			if c.Begun <= up && c.Status == 200 {
				f.inTime++
			}
		}
	}
	var err error
	f.first, f.most, err = m.bursts(e, st)
	return f, err
}

// row is a line of the measurement's table.
func (f *stalled) row(span time.Duration) string {
	q := func(list []time.Duration, at float64) string {
		if len(list) == 0 {
			return "-"
		}
		slices.Sort(list)
		return list[int(at*float64(len(list)-1))].Round(100 * time.Microsecond).String()
	}
	return fmt.Sprintf("| %s | %d (%d without an answer) | %d | %s | %s | %d | %s | %s | %d | %d |", span.Round(time.Millisecond), f.held, f.lost, len(f.overdue),
		q(f.overdue, 1), q(f.overdue, 0.99), f.inTime, q(f.after, 0.5), q(f.after, 0.99), f.first, f.most)
}

// catchUpTime is how long after a stall requests that were held may still be sent.
const catchUpTime = time.Second

// bursts returns what bricks were sent in the first 100 ms after the stall, and the
// most in any 100 ms without a backlog: before the stall, or after catchUpTime. The
// time after it counts because the machine may have become faster during the stall.
func (m *Stalls) bursts(e *evenings, st rules.Still) (first, most int, err error) {
	const slot = 100_000
	slots := map[int64]int{}
	for a, err := range e.site.Log().Each(0) {
		switch {
		case err != nil:
			return 0, 0, err
		case a.At >= st.To && a.At < st.To+slot:
			first++
		case a.At < st.From || a.At >= st.To+catchUpTime.Microseconds():
			slots[a.At/slot]++
		}
	}
	for _, n := range slots {
		most = max(most, n)
	}
	return first, most, nil
}

// endOutright ends a gateway's process outright, whatever state it is in.
func (p *process) endOutright() {
	if p.cmd.ProcessState == nil {
		p.goOn()
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// DefaultStalls are the spans that the measurement plays.
var DefaultStalls = []time.Duration{config.MS(500), config.MS(2000), config.MS(10_000), config.MS(30_000)}
