// Package bench measures the gateway beside the same bricks asked directly and
// through net/http/httputil.ReverseProxy, with the same clients in the same
// run. Figures of one run compare; those of two machines or days do not.
package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowwalk/internal/config"
	"arrowwalk/internal/control"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/standin/bricks"
)

// Options of a run.
type Options struct {
	Sizes    []int
	Conns    []int
	Ops      []string // GET and PUT
	Rounds   int      // of all rows, in turn; the median is told
	Warm     time.Duration
	Measure  time.Duration
	Consoles []int    // numbers of consoles whose cost is measured, at 64 connections
	Idle     int      // connections of the idle measurement; 0: none
	Profile  string   // file for a CPU profile of the gateway; "": none
	Exec     []string // command that runs arrowwalk
	Log      io.Writer
}

// Mode is a way to the bricks.
type Mode string

// The ways that are compared.
const (
	Direct  Mode = "direct"
	Proxy   Mode = "ReverseProxy"
	Gateway Mode = "gateway"
)

var modes = []Mode{Direct, Proxy, Gateway}

// Row is what was measured of one way, operation, size and number of
// connections.
type Row struct {
	Mode    Mode
	Op      string
	Size    int
	Conns   int
	Rate    float64 // requests a second
	P50     time.Duration
	P99     time.Duration
	P999    time.Duration
	CPU     time.Duration // of the process in between, a request
	Allocs  float64       // of that process, a request
	Errors  int64
	Refused int64 // 503
}

// Result is a whole run.
type Result struct {
	Rows      []Row
	Watched   []WatchedRow
	IdleConns int
	IdleBytes int64 // resident bytes an idle connection
}

const objects = 64 // of each size, spread over the bricks

// bench is a running measurement.
type bench struct {
	opt     Options
	dir     string
	site    *bricks.Site
	slots   *placement.Map
	address []string // of bricks, by shard
	child   map[Mode]*child
	signer  sigv4.Signer
}

// Run measures all rows.
func Run(ctx context.Context, opt Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "arrowwalk-bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	b := &bench{opt: opt, dir: dir, child: map[Mode]*child{}, signer: sigv4.Signer{AccessKey: "BENCH", SecretKey: "bench-secret", Region: "us-east-1"}}
	b.site = bricks.New(dir, 4*time.Second, bricks.Cold{})
	b.site.Quiet = true
	defer b.site.Close()
	defer b.stopChildren()
	if err := b.start(ctx); err != nil {
		return nil, err
	}
	if err := b.fill(); err != nil {
		return nil, err
	}
	return b.measureAll(ctx)
}

func (b *bench) start(ctx context.Context) error {
	cfg := config.Default()
	cfg.Listen = "127.0.0.1:0"
	cfg.Keys = []config.Key{{Access: b.signer.AccessKey, Secret: b.signer.SecretKey}}
	cfg.Collections = []config.Collection{{Bucket: "bench", Plan: "university"}}
	cfg.Bounds.Connections = 65536
	for i := range cfg.Bricks {
		br, err := b.site.Start(cfg.Bricks[i].Name, cfg.Bricks[i].Zone, cfg.Bricks[i].Shard, fmt.Sprint("data-", i), false)
		if err != nil {
			return err
		}
		cfg.Bricks[i].Address = br.Entry("").Address
		b.address = append(b.address, cfg.Bricks[i].Address)
	}
	var err error
	if b.slots, err = cfg.Placement(); err != nil {
		return err
	}
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	settings := filepath.Join(b.dir, "settings.json")
	if err := gateway.WriteFileAtomic(settings, text); err != nil {
		return err
	}
	args := []string{"serve", "--config", settings, "--data", filepath.Join(b.dir, "gw")}
	if b.opt.Profile != "" {
		args = append(args, "--cpu-profile", b.opt.Profile)
	}
	b.child[Gateway], err = startChild(ctx, &b.opt, b.dir, "gateway", args...)
	if err != nil {
		return err
	}
	b.child[Proxy], err = startChild(ctx, &b.opt, b.dir, "proxy", "bench-proxy", "--bricks", strings.Join(b.address, ","))
	return err
}

func (b *bench) stopChildren() {
	for _, c := range b.child {
		if c != nil {
			c.stop()
		}
	}
}

// child is a process between the clients and the bricks.
type child struct {
	cmd   *exec.Cmd
	addr  string
	stats string
}

func startChild(ctx context.Context, opt *Options, dir, name string, args ...string) (*child, error) {
	ready, stats := filepath.Join(dir, name+".ready"), filepath.Join(dir, name+".stats")
	args = append(append(append([]string{}, opt.Exec[1:]...), "--log-level=error"), args...)
	c := &child{cmd: exec.Command(opt.Exec[0], append(args, "--ready-file", ready, "--stats-file", stats)...), stats: stats}
	c.cmd.Stderr = opt.Log
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	for ctx.Err() == nil {
		var r struct {
			Endpoint string `json:"endpoint"`
		}
		if text, err := os.ReadFile(ready); err == nil && json.Unmarshal(text, &r) == nil {
			c.addr = strings.TrimPrefix(r.Endpoint, "http://")
			return c, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.stop()
	return nil, ctx.Err()
}

func (c *child) stop() {
	c.cmd.Process.Signal(syscall.SIGTERM)
	c.cmd.Wait()
}

// Usage is what a process has used so far; it writes it to its stats file when
// it gets SIGUSR1.
type Usage struct {
	CPU      time.Duration
	Mallocs  uint64
	Resident int64
	Stamp    int64
}

func (c *child) usage() (Usage, error) {
	os.Remove(c.stats)
	if err := c.cmd.Process.Signal(syscall.SIGUSR1); err != nil {
		return Usage{}, err
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		var u Usage
		if text, err := os.ReadFile(c.stats); err == nil && json.Unmarshal(text, &u) == nil {
			return u, nil
		}
	}
	return Usage{}, errors.New("the process tells no usage")
}

func key(size, i int) string { return fmt.Sprintf("%d/%d", size, i) }

// fill stores what will be read, through the gateway.
func (b *bench) fill() error {
	c, err := dial(b.child[Gateway].addr)
	if err != nil {
		return err
	}
	defer c.nc.Close()
	for _, size := range b.opt.Sizes {
		body := make([]byte, size)
		rand.New(rand.NewSource(int64(size))).Read(body)
		for i := range objects {
			if status, err := c.do(b.request(Gateway, "PUT", size, i, body), body, "PUT"); err != nil || status != 200 {
				return fmt.Errorf("fill: status %d: %w", status, err)
			}
		}
	}
	return nil
}

// request builds a request's head once: clients send it again and again, so
// that what they do themselves weighs the same on every way.
func (b *bench) request(m Mode, op string, size, i int, body []byte) []byte {
	name := placement.Object("bench", key(size, i))
	var out []byte
	fields := http1.Fields{{Name: "Host", Value: "bench"}}
	path := "/" + name
	switch m {
	case Direct:
		out = fmt.Appendf(nil, "%s /v1/o/%s HTTP/1.1\r\n", op, strings.ReplaceAll(name, "/", "%2F"))
	case Proxy:
		out = fmt.Appendf(nil, "%s %s HTTP/1.1\r\n", op, path)
	case Gateway:
		out = fmt.Appendf(nil, "%s %s HTTP/1.1\r\n", op, path)
	}
	if op == "GET" { // a ranged read of the whole object
		fields = append(fields, http1.Field{Name: "Range", Value: fmt.Sprintf("bytes=0-%d", size-1)})
	}
	if m == Gateway {
		added, _ := b.signer.Sign(&sigv4.Request{Method: op, Path: path, Fields: fields}, sigv4.UnsignedPayload, time.Now())
		fields = append(fields, added...)
	}
	if op == "PUT" {
		fields = append(fields, http1.Field{Name: "Content-Length", Value: fmt.Sprint(len(body))})
		if m != Gateway {
			fields = append(fields, http1.Field{Name: "Aw-Meta", Value: "eyJlIjoieCIsInMiOjF9"})
		}
	}
	for _, f := range fields {
		out = http1.AppendField(out, f.Name, f.Value)
	}
	return append(out, "\r\n"...)
}

// address returns where a request for an object goes.
func (b *bench) to(m Mode, size, i int) string {
	if m == Direct {
		return b.address[b.slots.Shard(placement.Object("bench", key(size, i)))]
	}
	return b.child[m].addr
}

// load is a client's connection.
type load struct {
	nc    net.Conn
	in    *bufio.Reader
	heads *http1.Reader
	resp  http1.Response
	body  http1.Body
	buf   []byte
}

func dial(addr string) (*load, error) {
	nc, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	l := &load{nc: nc, in: bufio.NewReaderSize(nc, 16<<10), buf: make([]byte, 64<<10)}
	l.heads = http1.NewReader(l.in, http1.DefaultLimits)
	return l, nil
}

func (l *load) do(head, body []byte, op string) (int, error) {
	l.nc.SetDeadline(time.Now().Add(30 * time.Second))
	buffers := net.Buffers{head}
	if op == "PUT" {
		buffers = append(buffers, body)
	}
	if _, err := buffers.WriteTo(l.nc); err != nil {
		return 0, err
	}
	if err := l.heads.ReadResponse(&l.resp, op); err != nil {
		return 0, err
	}
	l.body.Reset(l.in, l.resp.Framing)
	for {
		if _, err := l.body.Read(l.buf); err != nil {
			if errors.Is(err, io.EOF) {
				return l.resp.Status, nil
			}
			return 0, err
		}
	}
}

// measureAll goes through the rows in turn, so that a machine that slows down
// slows all ways alike.
func (b *bench) measureAll(ctx context.Context) (*Result, error) {
	res := &Result{}
	for _, op := range b.opt.Ops {
		for _, size := range b.opt.Sizes {
			for _, conns := range b.opt.Conns {
				rows := map[Mode][]Row{}
				for range max(1, b.opt.Rounds) {
					for _, m := range modes {
						row, err := b.measure(ctx, m, op, size, conns)
						if err != nil {
							return nil, fmt.Errorf("%s %s %d bytes, %d connections: %w", m, op, size, conns, err)
						}
						rows[m] = append(rows[m], row)
					}
				}
				for _, m := range modes {
					res.Rows = append(res.Rows, median(rows[m]))
				}
			}
		}
	}
	var err error
	for _, n := range b.opt.Consoles {
		row, err := b.watched(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("%d consoles: %w", n, err)
		}
		res.Watched = append(res.Watched, row)
	}
	if b.opt.Idle > 0 {
		res.IdleConns = b.opt.Idle
		res.IdleBytes, err = b.idle()
	}
	return res, err
}

// worker is what one client measured.
type worker struct {
	hist    *hdrhistogram.Histogram
	errors  int64
	refused int64
	err     error
}

func (b *bench) measure(ctx context.Context, m Mode, op string, size, conns int) (Row, error) {
	workers := make([]worker, conns)
	begin, end := time.Now().Add(b.opt.Warm), time.Now().Add(b.opt.Warm+b.opt.Measure)
	var wg sync.WaitGroup
	for i := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w := &workers[i]
			w.hist = hdrhistogram.New(1, 60_000_000, 3)
			w.err = b.work(ctx, w, m, op, size, i, begin, end)
		}()
	}
	time.Sleep(time.Until(begin))
	var before, after Usage
	var err, err2 error
	if c := b.child[m]; c != nil {
		before, err = c.usage()
	}
	time.Sleep(time.Until(end))
	if c := b.child[m]; c != nil {
		after, err2 = c.usage()
	}
	wg.Wait()
	row := Row{Mode: m, Op: op, Size: size, Conns: conns}
	all := hdrhistogram.New(1, 60_000_000, 3)
	for i := range workers {
		all.Merge(workers[i].hist)
		row.Errors += workers[i].errors
		row.Refused += workers[i].refused
		err = errors.Join(err, workers[i].err)
	}
	us := func(q float64) time.Duration { return time.Duration(all.ValueAtQuantile(q)) * time.Microsecond }
	n := float64(all.TotalCount())
	row.Rate, row.P50, row.P99, row.P999 = n/b.opt.Measure.Seconds(), us(50), us(99), us(99.9)
	if n > 0 && b.child[m] != nil {
		row.CPU = time.Duration(float64(after.CPU-before.CPU) / n)
		row.Allocs = float64(after.Mallocs-before.Mallocs) / n
	}
	return row, errors.Join(err, err2)
}

// work is one client: it sends one request after the other until end.
func (b *bench) work(ctx context.Context, w *worker, m Mode, op string, size, i int, begin, end time.Time) error {
	body := make([]byte, size)
	mine := [4]int{}
	var heads [4][]byte
	var lines [4]*load
	open := map[string]*load{}
	for k := range mine {
		mine[k] = (i*4 + k) % objects
		heads[k] = b.request(m, op, size, mine[k], body)
		addr := b.to(m, size, mine[k])
		if open[addr] == nil {
			l, err := dial(addr)
			if err != nil {
				return err
			}
			defer l.nc.Close()
			open[addr] = l
		}
		lines[k] = open[addr]
	}
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		if began.After(end) {
			return nil
		}
		status, err := lines[n%4].do(heads[n%4], body, op)
		took := time.Since(began)
		switch {
		case err != nil:
			return err
		case began.Before(begin):
		case status == 503:
			w.refused++
		case status >= 300:
			w.errors++
		default:
			w.hist.RecordValue(max(1, took.Microseconds()))
		}
	}
	return ctx.Err()
}

// WatchedRow is the gateway's rate with some consoles watching.
type WatchedRow struct {
	Consoles int
	Row      Row
}

// watched measures reads while n consoles watch.
func (b *bench) watched(ctx context.Context, n int) (WatchedRow, error) {
	for range n {
		c, err := control.Dial(filepath.Join(b.dir, "gw", "control.sock"))
		if err != nil {
			return WatchedRow{}, err
		}
		if err := c.Watch(0); err != nil {
			return WatchedRow{}, err
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				if _, err := c.Next(); err != nil {
					return
				}
			}
		}()
		defer func() { c.Close(); <-done }()
	}
	row, err := b.measure(ctx, Gateway, "GET", b.opt.Sizes[0], 64)
	return WatchedRow{n, row}, err
}

// idle measures the resident bytes of connections that have had one answer
// and say nothing more.
func (b *bench) idle() (int64, error) {
	c := b.child[Gateway]
	before, err := c.usage()
	if err != nil {
		return 0, err
	}
	conns := make([]*load, 0, b.opt.Idle)
	defer func() {
		for _, l := range conns {
			l.nc.Close()
		}
	}()
	head := b.request(Gateway, "GET", b.opt.Sizes[0], 0, nil)
	for range b.opt.Idle {
		l, err := dial(c.addr)
		if err != nil {
			return 0, err
		}
		conns = append(conns, l)
		if _, err := l.do(head, nil, "GET"); err != nil {
			return 0, err
		}
		l.in, l.heads, l.buf = nil, nil, nil
	}
	time.Sleep(2 * time.Second) // idle connections give their buffers back
	after, err := c.usage()
	return (after.Resident - before.Resident) / int64(b.opt.Idle), err
}
