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
	fmt.Fprintln(m.Print, "| stall | held | overdue | last overdue answer after | p99 of them | served in time | p50 of what came after | p99 | sends in the first 100 ms | in any 100 ms before |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, span := range m.Spans {
		if err := m.one(ctx, span); err != nil {
			return err
		}
	}
	return nil
}

// stallWait is the patience of the measurement's clients.
const stallWait = 2500 * time.Millisecond

func (m *Stalls) one(ctx context.Context, span time.Duration) error {
	dir, err := os.MkdirTemp("", "arrowwalk-stalls")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	opt := &Options{Exec: m.Exec, Log: m.Log}
	cfg := dayConfig(0)
	cfg.Host.Count, cfg.Shards, cfg.NodesFile = 1, 3, filepath.Join(dir, "nodes.json")
	e := &evenings{opt: opt, dir: dir, cfg: cfg, report: &Report{}, site: bricks.New(dir, 4*time.Second, bricks.Cold{}), bricks: map[string]*bricks.Brick{},
		entries: map[string]string{}}
	defer e.site.Close()
	e.site.Work = func(*bricks.Brick, *brickd.Exchange) time.Duration { return 2 * time.Millisecond }
	for i, name := range []string{"alpha", "beta", "gamma"} {
		b, err := e.site.Start(name, cfg.Zones[i], i, name, false)
		if err != nil {
			return err
		}
		e.bricks[name], e.entries[name] = b, membership.Ready
	}
	if err := e.list(); err != nil {
		return err
	}
	if e.log, err = opt.newCalls(dir); err != nil {
		return err
	}
	defer e.log.Close()
	if e.host, err = startProcess(ctx, opt, dir, 0, cfg, ""); err != nil {
		return err
	}
	defer e.host.endOutright()
	return m.measure(ctx, e, span)
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
	for i := range 32 {
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
	if err != nil {
		return err
	}
	return m.row(e, span)
}

func (m *Stalls) row(e *evenings, span time.Duration) error {
	st := stood([]*process{e.host})[0]
	var overdue, after []time.Duration
	inTime, lost, heldCount := 0, 0, 0
	for c, err := range e.log.Calls().Each(0) {
		if err != nil {
			return err
		}
		up := c.Sent + c.Waits
		switch {
		case c.Sent >= st.To:
			after = append(after, time.Duration(c.Begun-c.Sent)*time.Microsecond)
		case c.Sent < st.From && (c.Begun != 0 && c.Begun < st.From):
		case c.Begun == 0:
			lost++
		default:
			heldCount++
			if up <= st.To {
				overdue = append(overdue, time.Duration(c.Begun-st.To)*time.Microsecond)
			} else if c.Begun <= up && c.Status == 200 {
				inTime++
			}
		}
	}
	first, most, err := m.bursts(e, st)
	if err != nil {
		return err
	}
	q := func(list []time.Duration, at float64) string {
		if len(list) == 0 {
			return "-"
		}
		slices.Sort(list)
		return list[int(at*float64(len(list)-1))].Round(100 * time.Microsecond).String()
	}
	fmt.Fprintf(m.Print, "| %s | %d (%d without an answer) | %d | %s | %s | %d | %s | %s | %d | %d |\n", span, heldCount, lost, len(overdue), q(overdue, 1), q(overdue, 0.99),
		inTime, q(after, 0.5), q(after, 0.99), first, most)
	return nil
}

// bursts returns what bricks were sent in the first 100 ms after the stall,
// and the most in any 100 ms before it.
func (m *Stalls) bursts(e *evenings, st rules.Still) (first, most int, err error) {
	const slot = 100_000
	slots := map[int64]int{}
	for a, err := range e.site.Log().Each(0) {
		switch {
		case err != nil:
			return 0, 0, err
		case a.At >= st.To && a.At < st.To+slot:
			first++
		case a.At < st.From:
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
