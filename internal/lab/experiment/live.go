package experiment

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowwalk/internal/config"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/load"
	"arrowwalk/internal/load/arrivals"
)

// Live has an experiment play the load tool against real gateways in place of
// scenarios: each run starts one with embedded bricks, with the settings that
// its variant sets, and loads it. Figures are served, refused, failed, p50_ms
// and p99_ms; runs go one after the other.
type Live struct {
	Rate          float64 `json:"rate"`
	Seconds       float64 `json:"seconds"`
	BurstFactor   float64 `json:"burst,omitempty"` // times the rate for half a second of each three
	Sizes         []int   `json:"sizes"`
	WriteFraction float64 `json:"writes"` // part of the requests
	Keys          int     `json:"keys"`
}

// liveScenario stands in rows for the load.
const liveScenario = "load"

// liveFigures are the figures that a load has.
var liveFigures = []string{"served", "refused", "failed", "p50_ms", "p99_ms"}

func (l *Live) check() error {
	switch {
	case l.Rate <= 0 || l.Rate > 100_000:
		return errors.New("live/rate: must be over 0, 100000 at most")
	case l.Seconds <= 0 || l.Seconds > 600:
		return errors.New("live/seconds: must be over 0, 600 at most")
	case len(l.Sizes) == 0:
		return errors.New("live/sizes: must name one at least")
	case l.WriteFraction < 0 || l.WriteFraction > 1:
		return errors.New("live/writes: must be 0 to 1")
	case l.Keys < 1:
		return errors.New("live/keys: must be 1 at least")
	}
	return nil
}

// settings returns a gateway's settings with what a variant sets.
func (f *Spec) settings(i int) (*config.Config, error) {
	if len(f.Variants[i].Overrides) == 0 {
		return config.Default(), nil
	}
	text, err := merged(config.Default(), f.Variants[i].Overrides)
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// playLive starts a gateway, loads it and stops it.
func (f *Spec) playLive(c cell) (Row, error) {
	cfg, err := f.settings(c.variant)
	if err != nil {
		return Row{}, err
	}
	cfg.Listen, cfg.Keys = "127.0.0.1:0", []config.Key{{Access: "LOAD", Secret: "load-secret"}}
	dir, err := os.MkdirTemp("", "arrowwalk-live")
	if err != nil {
		return Row{}, err
	}
	defer os.RemoveAll(dir)
	g, err := gateway.Start(gateway.Options{Config: cfg, DataDir: dir, NoSync: true, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return Row{}, err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.MaxStopDuration())
		defer cancel()
		g.Stop(ctx)
	}()
	l := f.Live
	span := time.Duration(l.Seconds * float64(time.Second))
	var source arrivals.Source = arrivals.NewPoisson(l.Rate, span, c.seed)
	if l.BurstFactor > 0 {
		if source, err = arrivals.NewBursts(l.Rate, l.BurstFactor, 500*time.Millisecond, 3*time.Second, span, c.seed); err != nil {
			return Row{}, err
		}
	}
	began := time.Now()
	r, err := load.Run(context.Background(), &load.Options{Endpoint: g.Endpoint(), AccessKey: "LOAD", SecretKey: "load-secret", Region: cfg.Region, Buckets: []string{"live"},
		Mix: []load.MixEntry{{Op: load.Get, Weight: 1 - l.WriteFraction}, {Op: load.Put, Weight: l.WriteFraction}}, Sizes: l.Sizes, ObjectsPerBucket: l.Keys, Arrivals: source,
		RequestTimeout: 10 * time.Second, MaxInFlight: 512, Seed: c.seed, Progress: io.Discard})
	if err != nil {
		return Row{}, err
	}
	if r.HasCorruption() {
		return Row{}, errors.New("bytes came back that were not stored")
	}
	row := Row{Scenario: liveScenario, Variant: f.Variants[c.variant].Name, Seed: c.seed, DurationSeconds: time.Since(began).Seconds(), Figures: liveResult(r)}
	for _, t := range r.Ops {
		row.Events += t.Sent
	}
	return row, nil
}

func liveResult(r *load.Report) map[string]float64 {
	all := hdrhistogram.New(1, 600_000_000, 3)
	var sent, served, refused, failed float64
	for _, t := range r.Ops {
		all.Merge(t.Latency)
		sent, served, refused, failed = sent+float64(t.Sent), served+float64(t.Served), refused+float64(t.Refused), failed+float64(t.Failed)
	}
	sent = max(sent, 1)
	return map[string]float64{"served": served / sent, "refused": refused / sent, "failed": failed / sent,
		"p50_ms": float64(all.ValueAtQuantile(50)) / 1000, "p99_ms": float64(all.ValueAtQuantile(99)) / 1000}
}
