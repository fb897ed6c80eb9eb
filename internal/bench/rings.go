package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowwalk/internal/config"
	"arrowwalk/internal/control"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/front/vhost"
	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/standin/vmm"
)

// RingOptions of a measurement of the second front.
type RingOptions struct {
	Sizes   []int
	Depths  []int
	Measure time.Duration
	Print   io.Writer
}

const ringDisk = 64 << 20

// memory is a disk in this process: the limit of the ring path.
type memory struct {
	mu   sync.RWMutex
	data []byte
}

func (m *memory) Read(_ context.Context, from int64, into [][]byte) error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, b := range into {
		from += int64(copy(b, m.data[from:]))
	}
	return nil
}

func (m *memory) Write(_ context.Context, from int64, data [][]byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range data {
		from += int64(copy(m.data[from:], b))
	}
	return nil
}

func (m *memory) Zero(ctx context.Context, from, n int64) error {
	return m.Write(ctx, from, [][]byte{make([]byte, n)})
}

// ringRow is what one way showed.
type ringRow struct {
	rate     float64
	p50, p99 int64
	cpu      time.Duration
	allocs   float64
	errors   int64
}

// Rings measures requests on rings beside the same through the object API, on
// the same gateway and bricks, and on rings to a disk in memory. Clients, VMM,
// gateway and bricks are one process: CPU and allocations are of all of them.
func Rings(opt RingOptions) error {
	dir, err := os.MkdirTemp("", "arrowwalk-rings")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	site := bricks.New(dir, 4*time.Second, bricks.Cold{})
	site.Quiet = true
	defer site.Close()
	cfg := config.Default()
	cfg.Listen, cfg.Shards, cfg.Bricks = "127.0.0.1:0", 3, nil
	cfg.Keys = []config.Key{{Access: "BENCH", Secret: "bench-secret"}}
	cfg.Collections = []config.Collection{{Bucket: "bench", Plan: cfg.Plans[0].Name}}
	for i := range 3 {
		b, err := site.Start(fmt.Sprint("brick-", i), cfg.Zones[i%len(cfg.Zones)], i, fmt.Sprint("data-", i), false)
		if err != nil {
			return err
		}
		cfg.Bricks = append(cfg.Bricks, config.Brick{Name: b.Name, Address: b.Entry("").Address, Zone: b.Zone, Shard: i})
	}
	g, err := gateway.Start(gateway.Options{Config: cfg, DataDir: filepath.Join(dir, "gateway"), NoSync: true})
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		g.Stop(ctx)
	}()
	for _, q := range []control.VolumeOrder{{Action: "create", Name: "bench", SizeBytes: ringDisk, BlockBytes: 512, Plan: cfg.Plans[0].Name}, {Action: "export", Name: "bench"}} {
		if _, err := g.ExecuteVolumeOrder(&q); err != nil {
			return err
		}
	}
	copySocket := filepath.Join(dir, "copy.sock")
	plain, err := vhost.Listen(copySocket, vhost.Disk{Name: "copy", SizeBytes: ringDisk, BlockBytes: 512, ExtentBytes: 64 << 10, Backend: &memory{data: make([]byte, ringDisk)}}, nil)
	if err != nil {
		return err
	}
	defer plain.Close()
	fmt.Fprintf(opt.Print, "%-10s %8s %6s  %-10s %10s %9s %9s %9s %9s %7s\n", "op", "bytes", "depth", "way", "req/s", "p50 us", "p99 us", "CPU us", "allocs", "errors")
	for _, size := range opt.Sizes {
		for _, kind := range []blk.Kind{blk.Out, blk.In} {
			for _, depth := range opt.Depths {
				for _, sequential := range []bool{false, true} {
					l := &ringLine{opt, g, filepath.Join(dir, "gateway", "volumes", "bench.sock"), copySocket, kind, size, depth, sequential}
					if err := l.run(); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// ringLine is one line of the measurement: the same requests on three ways.
type ringLine struct {
	opt                RingOptions
	g                  *gateway.Gateway
	socket, copySocket string
	kind               blk.Kind
	size, depth        int
	sequential         bool // offsets, and objects' names, in order
}

func (l *ringLine) run() error {
	for _, way := range []struct {
		name string
		run  func() (ringRow, error)
	}{
		{"rings", func() (ringRow, error) { return l.driveRing(l.socket) }},
		{"object API", func() (ringRow, error) { return l.driveObjects() }},
		{"memory", func() (ringRow, error) { return l.driveRing(l.copySocket) }},
	} {
		row, err := way.run()
		if err != nil {
			return fmt.Errorf("%s: %w", way.name, err)
		}
		op := map[blk.Kind]string{blk.In: "read", blk.Out: "write"}[l.kind]
		if l.sequential {
			op = "seq " + op
		}
		fmt.Fprintf(l.opt.Print, "%-10s %8d %6d  %-10s %10.0f %9d %9d %9.1f %9.1f %7d\n", op, l.size, l.depth, way.name, row.rate, row.p50, row.p99, float64(row.cpu.Nanoseconds())/1000, row.allocs, row.errors)
	}
	return nil
}

// measure takes CPU and allocations of the process around do, which returns
// how many requests it did.
func measure(do func() (int64, *hdrhistogram.Histogram, int64, error)) (ringRow, error) {
	var before, after runtime.MemStats
	var u0, u1 syscall.Rusage
	runtime.ReadMemStats(&before)
	syscall.Getrusage(syscall.RUSAGE_SELF, &u0)
	began := time.Now()
	n, h, errs, err := do()
	took := time.Since(began)
	syscall.Getrusage(syscall.RUSAGE_SELF, &u1)
	runtime.ReadMemStats(&after)
	if err != nil || n == 0 {
		return ringRow{errors: errs}, err
	}
	cpu := time.Duration(u1.Utime.Nano() + u1.Stime.Nano() - u0.Utime.Nano() - u0.Stime.Nano())
	return ringRow{float64(n) / took.Seconds(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), cpu / time.Duration(n), float64(after.Mallocs-before.Mallocs) / float64(n), errs}, nil
}

func (l *ringLine) driveRing(socket string) (ringRow, error) {
	kind, size, depth, span, place := l.kind, l.size, l.depth, l.opt.Measure, int64(0)
	m, err := vmm.New(vmm.Options{Queues: 1, Size: 256, Slots: depth, Buffer: size, Event: true, Indirect: true})
	if err != nil {
		return ringRow{}, err
	}
	defer m.Close()
	if err := m.Connect(socket); err != nil {
		return ringRow{}, err
	}
	q, rnd := m.Queues[0], rand.New(rand.NewPCG(1, uint64(depth)))
	ios := make([]vmm.IO, depth)
	data := make([]byte, size)
	free := make([]*vmm.IO, 0, depth)
	for i := range ios {
		free = append(free, &ios[i])
	}
	return measure(func() (n int64, h *hdrhistogram.Histogram, errs int64, err error) {
		h = histogram()
		var done []*vmm.IO
		end := time.Now().Add(span)
		for {
			open := time.Now().Before(end)
			for open && len(free) > 0 {
				x := free[len(free)-1]
				free = free[:len(free)-1]
				if place = (place + 1) % int64(ringDisk/size); !l.sequential {
					place = rnd.Int64N(int64(ringDisk / size))
				}
				*x = vmm.IO{Kind: kind, From: place * int64(size), Bytes: size, Data: x.Data}
				if kind == blk.Out {
					x.Data = data
				}
				if err := q.Submit(x); err != nil {
					return n, h, errs, err
				}
			}
			if done, err = q.Collect(done[:0]); err != nil {
				return n, h, errs, err
			}
			for _, x := range done {
				n++
				h.RecordValue(max(1, time.Since(x.Sent).Microseconds()))
				if x.Status != blk.OK {
					errs++
				}
				free = append(free, x)
			}
			if !open && q.Out() == 0 {
				return n, h, errs, nil
			}
			if len(done) == 0 {
				if err := q.Wait(10 * time.Second); err != nil {
					return n, h, errs, err
				}
			}
		}
	})
}

func (l *ringLine) driveObjects() (ringRow, error) {
	kind, size, depth, span := l.kind, l.size, l.depth, l.opt.Measure
	target := &clients.Target{Addr: strings.TrimPrefix(l.g.Endpoint(), "http://"), Signer: sigv4.Signer{AccessKey: "BENCH", SecretKey: "bench-secret", Region: "us-east-1"}}
	body := make([]byte, size)
	const objects = 64
	seed := &clients.Client{Name: "seed", Target: target, Log: &clients.Log{}}
	for i := range objects {
		if a := seed.Do(&clients.Request{Method: "PUT", Path: fmt.Sprintf("/bench/%d-%d", size, i), Body: body}); a.Call.Status != 200 {
			return ringRow{}, fmt.Errorf("seed: status %d, %v", a.Call.Status, a.Err)
		}
	}
	seed.Close()
	return measure(func() (int64, *hdrhistogram.Histogram, int64, error) {
		var n, errs atomic.Int64
		var mu sync.Mutex
		h := histogram()
		var wg sync.WaitGroup
		end := time.Now().Add(span)
		for i := range depth {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &clients.Client{Name: "bench", Target: target, Log: &clients.Log{}}
				defer c.Close()
				mine, rnd := histogram(), rand.New(rand.NewPCG(2, uint64(i)))
				for k := i; time.Now().Before(end); k++ {
					at := k % objects
					if !l.sequential {
						at = rnd.IntN(objects)
					}
					r := &clients.Request{Method: "GET", Path: fmt.Sprintf("/bench/%d-%d", size, at)}
					if kind == blk.Out {
						r.Method, r.Body = "PUT", body
					}
					began := time.Now()
					if a := c.Do(r); a.Call.Status != 200 {
						errs.Add(1)
					}
					mine.RecordValue(max(1, time.Since(began).Microseconds()))
					n.Add(1)
				}
				mu.Lock()
				h.Merge(mine)
				mu.Unlock()
			}()
		}
		wg.Wait()
		return n.Load(), h, errs.Load(), nil
	})
}

// histogram counts microseconds up to a minute with three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
