package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"arrowwalk/internal/load"
	"arrowwalk/internal/load/arrivals"
)

type loadCmd struct {
	Endpoint string        `arg:"" help:"The object API, as http://127.0.0.1:9000."`
	Access   string        `env:"AWS_ACCESS_KEY_ID" required:"" help:"Access key."`
	Secret   string        `env:"AWS_SECRET_ACCESS_KEY" required:"" help:"Secret key."`
	Region   string        `default:"us-east-1" help:"Region to sign for."`
	Bucket   []string      `default:"load" help:"Buckets; each request draws one."`
	Mix      string        `default:"get=60,range=5,put=30,head=5" help:"Kinds of request with their weights."`
	Size     []string      `default:"4KiB,64KiB" help:"Sizes of objects, each as often."`
	Keys     int           `default:"50" help:"Objects of each bucket that are stored first, to be read."`
	Rate     float64       `default:"100" help:"Requests a second, in the mean."`
	For      time.Duration `default:"10s" help:"For how long."`
	Burst    float64       `help:"Times the rate in bursts; 0: none."`
	BurstFor time.Duration `default:"500ms" help:"How long a burst is."`
	Period   time.Duration `default:"3s" help:"How often bursts come."`
	Trace    string        `type:"existingfile" help:"Arrivals out of a file in place of a rate: milliseconds since the start, a line each."`
	Wait     time.Duration `default:"10s" help:"How long to wait for an answer."`
	InFlight int           `default:"1024" help:"Requests in flight at most; what comes over it is counted as failed."`
	Seed     uint64        `default:"1" help:"Seed of the draws."`
}

// Run sends the load; the error tells that bytes were wrong.
func (c *loadCmd) Run(g *globals) error {
	opt := &load.Options{Endpoint: c.Endpoint, AccessKey: c.Access, SecretKey: c.Secret, Region: c.Region, Buckets: c.Bucket, ObjectsPerBucket: c.Keys,
		RequestTimeout: c.Wait, MaxInFlight: c.InFlight, Seed: c.Seed, Progress: g.out, ProgressInterval: time.Second}
	var err error
	if opt.Mix, err = parseMix(c.Mix); err != nil {
		return err
	}
	for _, text := range c.Size {
		n, err := parseSize(text)
		if err != nil {
			return err
		}
		opt.Sizes = append(opt.Sizes, n)
	}
	if opt.Arrivals, err = c.arrivals(); err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	r, err := load.Run(ctx, opt)
	if r != nil {
		r.Write(g.out)
		if r.HasCorruption() {
			return fmt.Errorf("bytes came back that were not stored")
		}
	}
	return err
}

func (c *loadCmd) arrivals() (arrivals.Source, error) {
	switch {
	case c.Trace != "":
		f, err := os.Open(c.Trace)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		return arrivals.ReadTrace(f)
	case c.Rate <= 0 || c.For <= 0:
		return nil, fmt.Errorf("--rate and --for must be over 0")
	case c.Burst > 0:
		return arrivals.NewBursts(c.Rate, c.Burst, c.BurstFor, c.Period, c.For, c.Seed)
	}
	return arrivals.NewPoisson(c.Rate, c.For, c.Seed), nil
}

func parseMix(text string) ([]load.MixEntry, error) {
	var out []load.MixEntry
	for _, one := range strings.Split(text, ",") {
		op, weight, ok := strings.Cut(one, "=")
		w, err := strconv.ParseFloat(weight, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("--mix: %q is not KIND=WEIGHT", one)
		}
		out = append(out, load.MixEntry{Op: load.Op(op), Weight: w})
	}
	return out, nil
}

// parseSize reads a number of bytes, with KiB or MiB where given.
func parseSize(text string) (int, error) {
	number, factor := text, 1
	for unit, f := range map[string]int{"KiB": 1 << 10, "MiB": 1 << 20} {
		if n, ok := strings.CutSuffix(text, unit); ok {
			number, factor = n, f
		}
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 || n > (1<<30)/factor {
		return 0, fmt.Errorf("--size: %q is no size up to 1024MiB", text)
	}
	return n * factor, nil
}
