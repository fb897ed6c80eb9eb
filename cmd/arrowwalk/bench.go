package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arrowwalk/internal/bench"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/prove"
)

type benchCmd struct {
	Sizes    []int         `default:"4096,65536,1048576" help:"Sizes of objects in bytes."`
	Conns    []int         `default:"1,16,64,256" help:"Numbers of connections."`
	Ops      []string      `default:"GET,PUT" help:"Operations."`
	Rounds   int           `default:"1" help:"Rounds of each row; the median is told."`
	Warm     time.Duration `default:"1s" help:"Time before each measurement."`
	Measure  time.Duration `default:"2s" help:"Time of each measurement."`
	Consoles []int         `default:"0,1,50" help:"Numbers of consoles whose cost is measured."`
	Idle     int           `default:"10000" help:"Idle connections whose memory is measured; 0: none."`
	Profile  string        `type:"path" help:"File for a CPU profile of the gateway (pprof)."`
	Rings    bool          `help:"Measure the second front in place of the first: rings, the object API and memory."`
	Stalls   bool          `help:"Measure what follows a stall of the gateway, in place of all else."`
	Held     int           `default:"1000" help:"With --stalls: requests that are held."`
	Depths   []int         `default:"1,8,32,128" help:"With --rings: requests in flight."`
	JSON     string        `name:"json" type:"path" help:"File for the result as JSON."`
}

// Run measures and prints the table.
func (b *benchCmd) Run(g *globals) error {
	if b.Rings {
		return bench.Rings(bench.RingOptions{Sizes: []int{4 << 10, 128 << 10}, Depths: b.Depths, Measure: b.Measure, Print: g.out})
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if b.Stalls {
		m := &prove.Stalls{Spans: prove.DefaultStalls, Held: b.Held, Exec: []string{self}, Log: io.Discard, Print: g.out}
		return m.Run(ctx)
	}
	res, err := bench.Run(ctx, bench.Options{Sizes: b.Sizes, Conns: b.Conns, Ops: b.Ops, Rounds: b.Rounds, Warm: b.Warm,
		Measure: b.Measure, Consoles: b.Consoles, Idle: b.Idle, Profile: b.Profile, Exec: []string{self}, Log: os.Stderr})
	if err != nil {
		return err
	}
	fmt.Fprint(g.out, res.Markdown())
	for _, s := range res.Short() {
		fmt.Fprintln(g.out, "falls short:", s)
	}
	if b.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(b.JSON, text, 0o644)
}

// benchProxyCmd runs what the gateway is compared with.
type benchProxyCmd struct {
	Bricks    []string `required:"" help:"Addresses by shard."`
	ReadyFile string   `type:"path"`
	StatsFile string   `type:"path"`
}

// Run serves until SIGTERM.
func (p *benchProxyCmd) Run(*globals) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	defer tellUsage(p.StatsFile)()
	handler, err := bench.NewProxy(p.Bricks)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(ln)
	if err := gateway.WriteFileAtomic(p.ReadyFile, fmt.Appendf(nil, "{\"endpoint\":\"http://%s\"}", ln.Addr())); err != nil {
		return err
	}
	<-stop.Done()
	return server.Close()
}

// tellUsage writes what the process has used to a file at each SIGUSR1; the
// result ends it.
func tellUsage(path string) (end func()) {
	if path == "" {
		return func() {}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range signals {
			if text, err := json.Marshal(usage()); err == nil {
				gateway.WriteFileAtomic(path, text)
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
		<-done
	}
}

func usage() bench.Usage {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u := bench.Usage{CPU: time.Duration(r.Utime.Nano() + r.Stime.Nano()), Mallocs: m.Mallocs, Stamp: time.Now().UnixNano()}
	if text, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(text)); len(f) > 1 {
			pages, _ := strconv.ParseInt(f[1], 10, 64)
			u.Resident = pages * int64(os.Getpagesize())
		}
	}
	return u
}
