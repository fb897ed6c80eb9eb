package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"arrowwalk/internal/bench"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/membership/cache"
	"arrowwalk/internal/standin/coord"
)

type membersCmd struct {
	Show   membersShow   `cmd:"" help:"Show the node list that a host keeps, and how far it would be believed now."`
	Verify membersVerify `cmd:"" help:"Check both kept generations and name every damage."`
	Export membersExport `cmd:"" help:"Write the kept list as JSON."`
	Import membersImport `cmd:"" help:"Keep a list from JSON, of a host that does not run."`
	Worth  membersWorth  `cmd:"" help:"What a kept list is worth: a table of seeded, simulated days without discovery."`
}

type membersWorth struct {
	Seed int64 `default:"1" help:"Seed of the days."`
}

// Run prints the table.
func (m *membersWorth) Run(g *globals) error {
	_, err := fmt.Fprint(g.out, bench.KeptMarkdown(bench.Kept(m.Seed)))
	return err
}

type membersShow struct {
	Cache string `arg:"" type:"path" help:"Directory of the kept list."`
}

// Run shows the kept list.
func (m *membersShow) Run(g *globals) error {
	l, damage := cache.Load(m.Cache)
	for _, d := range damage {
		fmt.Fprintln(g.out, "damaged:", d)
	}
	if l == nil {
		return cache.ErrNotFound
	}
	now := time.Now()
	fmt.Fprintf(g.out, "version %d of %s, generation %d, taken %s ago; %.3f changes a brick and day\n",
		l.Version, l.Source, l.Generation, now.Sub(time.UnixMicro(l.AcceptedAt)).Round(time.Second), l.ChangeRate.PerBrickHour()*24)
	w := tabwriter.NewWriter(g.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "brick\taddress\tzone\tshard\tstate\tconfirmed\tserved\tif started now")
	for _, e := range l.Bricks {
		age := now.Sub(time.UnixMicro(e.LastConfirmed))
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", e.Name, e.Address, e.Zone, e.Shard, orReady(e.State), ago(now, e.LastConfirmed),
			ago(now, e.LastServed), l.ChangeRate.LevelAtAge(age, e.LastConfirmed > 0))
	}
	return w.Flush()
}

func orReady(state string) string {
	if state == "" {
		return "ready"
	}
	return state
}

func ago(now time.Time, at int64) string {
	if at == 0 {
		return "never"
	}
	return now.Sub(time.UnixMicro(at)).Round(time.Second).String() + " ago"
}

type membersVerify struct {
	Cache string `arg:"" type:"path" help:"Directory of the kept list."`
}

// Run checks the kept lists; the error tells how many damages there are.
func (m *membersVerify) Run(g *globals) error {
	damage := cache.Verify(m.Cache)
	for _, d := range damage {
		fmt.Fprintln(g.out, d)
	}
	if len(damage) > 0 {
		return fmt.Errorf("%d damages", len(damage))
	}
	if l, _ := cache.Load(m.Cache); l == nil {
		return cache.ErrNotFound
	}
	fmt.Fprintln(g.out, m.Cache+": good")
	return nil
}

type membersExport struct {
	Cache string `arg:"" type:"path" help:"Directory of the kept list."`
}

// Run writes the newest good list as JSON.
func (m *membersExport) Run(g *globals) error {
	l, _ := cache.Load(m.Cache)
	if l == nil {
		return cache.ErrNotFound
	}
	text, err := json.MarshalIndent(l, "", " ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(g.out, string(text))
	return err
}

type membersImport struct {
	Cache string `arg:"" type:"path" help:"Directory of the kept list."`
	File  string `arg:"" type:"path" help:"List as export writes it."`
	Older bool   `help:"Take it even where it is older than what is kept."`
}

// Run keeps a list that was exported.
func (m *membersImport) Run(g *globals) error {
	text, err := os.ReadFile(m.File)
	if err != nil {
		return err
	}
	l := &cache.List{}
	if err := json.Unmarshal(text, l); err != nil {
		return fmt.Errorf("%s: %w", m.File, err)
	}
	names := map[string]bool{}
	for i, e := range l.Bricks {
		if _, _, err := net.SplitHostPort(e.Address); e.Name == "" || names[e.Name] || err != nil || e.Shard < 0 {
			return fmt.Errorf("%s: Bricks[%d]: a name that no other has, HOST:PORT and a shard are needed", m.File, i)
		}
		names[e.Name] = true
	}
	dir, err := cache.Open(m.Cache)
	if err != nil {
		return err
	}
	defer dir.Close()
	if old, _ := cache.Load(m.Cache); old != nil && l.AcceptedAt < old.AcceptedAt && !m.Older {
		return fmt.Errorf("%s: taken %s before the list that is kept; --older takes it all the same", m.File,
			time.Duration(old.AcceptedAt-l.AcceptedAt)*time.Microsecond)
	}
	return dir.Save(l)
}

// coordCmd runs the stand-in of the coordination service.
type coordCmd struct {
	Listen    string `default:"127.0.0.1:2181" help:"Address to listen on."`
	ReadyFile string `type:"path" help:"File to write, once it serves, with its address."`
}

// Run serves until SIGTERM or SIGINT. Nothing is kept on disk.
func (c *coordCmd) Run(g *globals) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := coord.Start(ln)
	defer s.Close()
	g.log.Info("coordination stand-in serves", "address", s.Addr())
	if c.ReadyFile != "" {
		if err := gateway.WriteFileAtomic(filepath.Clean(c.ReadyFile), fmt.Appendf(nil, "{\"address\":%q}\n", s.Addr())); err != nil {
			return fmt.Errorf("ready file: %w", err)
		}
	}
	<-stop.Done()
	return nil
}
