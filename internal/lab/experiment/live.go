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

// Live replaces the scenarios of an experiment with load on real gateways: each
// run starts a gateway with embedded bricks and the settings of its variant,
// and sends it the load. Its figures are served, refused, failed, p50_ms and
// p99_ms. Runs are sequential.
type Live struct {
	Rate          float64 `json:"rate"` // requests per second
	Seconds       float64 `json:"seconds"`
	BurstFactor   float64 `json:"burst,omitempty"` // factor on the rate for half a second in every three; 0: no bursts
	Sizes         []int   `json:"sizes"`           // object sizes in bytes
	WriteFraction float64 `json:"writes"`          // fraction of the requests that are writes
	Keys          int     `json:"keys"`            // number of objects to read
}

// liveScenarioName is the scenario name in the rows of live experiments.
const liveScenarioName = "load"

// liveFigureNames lists the figures of live experiments.
var liveFigureNames = []string{"served", "refused", "failed", "p50_ms", "p99_ms"}

// validate returns an error that names the first invalid field.
func (l *Live) validate() error {
	switch {
	case l.Rate <= 0 || l.Rate > 100_000:
		return errors.New("live/rate: must be above 0 and at most 100000")
	case l.Seconds <= 0 || l.Seconds > 600:
		return errors.New("live/seconds: must be above 0 and at most 600")
	case len(l.Sizes) == 0:
		return errors.New("live/sizes: must have at least one")
	case l.WriteFraction < 0 || l.WriteFraction > 1:
		return errors.New("live/writes: must be 0 to 1")
	case l.Keys < 1:
		return errors.New("live/keys: must be at least 1")
	}
	return nil
}

// buildConfig returns the default settings with the overrides of variant i.
func (s *Spec) buildConfig(i int) (*config.Config, error) {
	if len(s.Variants[i].Overrides) == 0 {
		return config.Default(), nil
	}
	text, err := mergeJSON(config.Default(), s.Variants[i].Overrides)
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// runLive starts a gateway, sends it the load and stops it.
func (s *Spec) runLive(run gridRun) (Row, error) {
	cfg, err := s.buildConfig(run.variant)
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
	l := s.Live
	span := time.Duration(l.Seconds * float64(time.Second))
	var source arrivals.Source = arrivals.NewPoisson(l.Rate, span, run.seed)
	if l.BurstFactor > 0 {
		if source, err = arrivals.NewBursts(l.Rate, l.BurstFactor, 500*time.Millisecond, 3*time.Second, span, run.seed); err != nil {
			return Row{}, err
		}
	}
	began := time.Now()
	r, err := load.Run(context.Background(), &load.Options{Endpoint: g.Endpoint(), AccessKey: "LOAD", SecretKey: "load-secret", Region: cfg.Region, Buckets: []string{"live"},
		Mix: []load.MixEntry{{Op: load.Get, Weight: 1 - l.WriteFraction}, {Op: load.Put, Weight: l.WriteFraction}}, Sizes: l.Sizes, ObjectsPerBucket: l.Keys, Arrivals: source,
		RequestTimeout: 10 * time.Second, MaxInFlight: 512, Seed: run.seed, Progress: io.Discard})
	if err != nil {
		return Row{}, err
	}
	if r.HasCorruption() {
		return Row{}, errors.New("objects were read with wrong content")
	}
	row := Row{Scenario: liveScenarioName, Variant: s.Variants[run.variant].Name, Seed: run.seed, DurationSeconds: time.Since(began).Seconds(), Figures: liveFigures(r)}
	for _, t := range r.Ops {
		row.Events += t.Sent
	}
	return row, nil
}

// liveFigures computes the figures of a load report.
func liveFigures(r *load.Report) map[string]float64 {
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
