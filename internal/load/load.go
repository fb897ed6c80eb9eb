// Package load sends an open-loop load to an object API with a stock S3 client
// and checks each byte that comes back. Latencies count from the time at which
// a request was due, so that a server that stalls cannot hide it by holding
// back the sender (coordinated omission).
package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"arrowwalk/internal/load/arrivals"
)

// Op is a kind of request.
type Op string

// The kinds.
const (
	Get   Op = "get"
	Range Op = "range"
	Put   Op = "put"
	Head  Op = "head"
)

// Ops are all kinds.
var Ops = []Op{Get, Range, Put, Head}

// MixEntry is a part of the mix.
type MixEntry struct {
	Op     Op
	Weight float64
}

// Options of a load.
type Options struct {
	Endpoint         string
	AccessKey        string
	SecretKey        string
	Region           string
	Buckets          []string
	Mix              []MixEntry
	Sizes            []int // bytes; each as often
	ObjectsPerBucket int   // objects of each bucket that are there to be read
	Arrivals         arrivals.Source
	RequestTimeout   time.Duration // of one request
	MaxInFlight      int           // more are not sent, and counted as failed
	Seed             uint64
	Progress         io.Writer
	ProgressInterval time.Duration // between lines of progress; 0: none
}

// OpStats is what became of the requests of one kind.
type OpStats struct {
	Op          Op
	Sent        int64
	Served      int64
	Refused     int64 // 503 and 429
	Failed      int64
	Corrupt     int64 // served with bytes that are not those that were stored
	Skipped     int64 // too many were in flight
	Bytes       int64
	Latency     *hdrhistogram.Histogram // of those served: since they were due, microseconds
	SendLatency *hdrhistogram.Histogram // and since they were sent
	Errors      map[string]int64
}

// Report is what a load showed.
type Report struct {
	Duration    time.Duration
	Ops         []*OpStats
	MaxLateness time.Duration // by which the sender itself was late, at most
}

// HasCorruption tells whether bytes were wrong.
func (r *Report) HasCorruption() bool {
	return slices.ContainsFunc(r.Ops, func(t *OpStats) bool { return t.Corrupt > 0 })
}

// content is what an object of a name has: its name and size tell every byte.
func content(name string, size int) []byte {
	var seed uint64
	for _, c := range []byte(name) {
		seed = seed*1099511628211 ^ uint64(c)
	}
	rnd := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24), byte(seed >> 32), byte(size), byte(size >> 8), byte(size >> 16)})
	b := make([]byte, size)
	rnd.Read(b)
	return b
}

// object names the n-th object of a kind; its size is in its name.
func object(kind string, n, size int) string { return fmt.Sprintf("load/%s-%d-%d", kind, n, size) }

func sizeOf(name string) int {
	size, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	return size
}

type loader struct {
	opt    *Options
	client *s3.Client
	conns  *http.Transport
	rnd    *rand.Rand
	keys   []string

	mu      sync.Mutex
	tallies map[Op]*OpStats
	out     int
	wg      sync.WaitGroup
}

// Run stores what is to be read, sends the load and returns what it showed.
// It ends by itself when the arrivals do and all answers are in.
func Run(ctx context.Context, opt *Options) (*Report, error) {
	l, err := newLoader(opt)
	if err != nil {
		return nil, err
	}
	defer l.conns.CloseIdleConnections()
	if err := l.prepare(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	stop := l.progress(began)
	late := l.send(ctx, began)
	l.wg.Wait()
	stop()
	r := &Report{Duration: time.Since(began), MaxLateness: late}
	for _, op := range Ops {
		if t := l.tallies[op]; t != nil {
			r.Ops = append(r.Ops, t)
		}
	}
	return r, ctx.Err()
}

func newLoader(opt *Options) (*loader, error) {
	switch {
	case len(opt.Buckets) == 0:
		return nil, errors.New("load: no bucket is named")
	case len(opt.Mix) == 0:
		return nil, errors.New("load: the mix is empty")
	case len(opt.Sizes) == 0:
		return nil, errors.New("load: no size is given")
	case opt.MaxInFlight < 1 || opt.ObjectsPerBucket < 1:
		return nil, errors.New("load: in flight and keys must be 1 at least")
	}
	l := &loader{opt: opt, rnd: rand.New(rand.NewPCG(opt.Seed, 31)), tallies: map[Op]*OpStats{}}
	for _, p := range opt.Mix {
		if !slices.Contains(Ops, p.Op) || p.Weight < 0 {
			return nil, fmt.Errorf("load: mix: %s=%g: must be one of %v with a weight", p.Op, p.Weight, Ops)
		}
		l.tallies[p.Op] = &OpStats{Op: p.Op, Latency: histogram(), SendLatency: histogram(), Errors: map[string]int64{}}
	}
	l.conns = &http.Transport{MaxIdleConnsPerHost: opt.MaxInFlight, MaxConnsPerHost: opt.MaxInFlight, DisableCompression: true}
	l.client = s3.New(s3.Options{BaseEndpoint: aws.String(opt.Endpoint), Region: opt.Region, UsePathStyle: true, RetryMaxAttempts: 1,
		Credentials: credentials.NewStaticCredentialsProvider(opt.AccessKey, opt.SecretKey, ""),
		HTTPClient:  &http.Client{Transport: l.conns}})
	return l, nil
}

// histogram counts microseconds up to ten minutes with three digits.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// prepare stores what will be read.
func (l *loader) prepare(ctx context.Context) error {
	for _, bucket := range l.opt.Buckets {
		if _, err := l.client.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: &bucket}); err != nil {
			var api smithy.APIError
			if !errors.As(err, &api) || !strings.HasPrefix(api.ErrorCode(), "BucketAlready") {
				return fmt.Errorf("load: bucket %s: %w", bucket, err)
			}
		}
		for n := range l.opt.ObjectsPerBucket {
			name := object("read", n, l.opt.Sizes[n%len(l.opt.Sizes)])
			if len(l.keys) < l.opt.ObjectsPerBucket {
				l.keys = append(l.keys, name)
			}
			if err := l.store(ctx, bucket, name); err != nil {
				return fmt.Errorf("load: store %s/%s: %w", bucket, name, err)
			}
		}
	}
	return nil
}

// store stores an object; refusals are tried again, this is no measurement.
func (l *loader) store(ctx context.Context, bucket, name string) error {
	for tries := 0; ; tries++ {
		err := l.put(ctx, bucket, name)
		if kind, _ := sort(err); kind != "refused" || tries == 50 {
			return err
		}
		t := time.NewTimer(100 * time.Millisecond)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

func (l *loader) put(ctx context.Context, bucket, name string) error {
	_, err := l.client.PutObject(ctx, &s3.PutObjectInput{Bucket: &bucket, Key: &name, Body: bytes.NewReader(content(name, sizeOf(name)))})
	return err
}

// send sends requests when they are due, and returns by how much it was late.
func (l *loader) send(ctx context.Context, began time.Time) (late time.Duration) {
	for n := 0; ; n++ {
		at, ok := l.opt.Arrivals.Next()
		if !ok {
			return late
		}
		due := began.Add(at)
		if ahead := time.Until(due); ahead > 0 {
			t := time.NewTimer(ahead)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return late
			}
		} else {
			late = max(late, -ahead)
		}
		if ctx.Err() != nil {
			return late
		}
		l.start(ctx, n, due)
	}
}

// start draws a request and sends it beside those that are out.
func (l *loader) start(ctx context.Context, n int, due time.Time) {
	op := l.draw()
	bucket, name := l.opt.Buckets[l.rnd.IntN(len(l.opt.Buckets))], l.keys[l.rnd.IntN(len(l.keys))]
	if op == Put {
		name = object(fmt.Sprintf("write-%d", l.opt.Seed), n, l.opt.Sizes[l.rnd.IntN(len(l.opt.Sizes))])
	}
	from, to := 0, 0
	if size := sizeOf(name); op == Range && size > 0 {
		from = l.rnd.IntN(size)
		to = from + l.rnd.IntN(size-from)
	}
	l.mu.Lock()
	t := l.tallies[op]
	t.Sent++
	if l.out >= l.opt.MaxInFlight {
		t.Skipped++
		t.Failed++
		l.mu.Unlock()
		return
	}
	l.out++
	l.mu.Unlock()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		began := time.Now()
		c, cancel := context.WithTimeout(ctx, l.opt.RequestTimeout)
		moved, wrong, err := l.one(c, op, bucket, name, from, to)
		cancel()
		l.count(t, due, began, moved, wrong, err)
	}()
}

func (l *loader) draw() Op {
	sum := 0.0
	for _, p := range l.opt.Mix {
		sum += p.Weight
	}
	x := l.rnd.Float64() * sum
	for _, p := range l.opt.Mix {
		if x -= p.Weight; x < 0 {
			return p.Op
		}
	}
	return l.opt.Mix[0].Op
}

// one makes a request and checks what it brought.
func (l *loader) one(ctx context.Context, op Op, bucket, name string, from, to int) (moved int, wrong bool, err error) {
	size := sizeOf(name)
	switch op {
	case Put:
		return size, false, l.put(ctx, bucket, name)
	case Head:
		out, err := l.client.HeadObject(ctx, &s3.HeadObjectInput{Bucket: &bucket, Key: &name})
		return 0, err == nil && aws.ToInt64(out.ContentLength) != int64(size), err
	}
	want := content(name, size)
	in := &s3.GetObjectInput{Bucket: &bucket, Key: &name}
	if op == Range && size > 0 {
		in.Range = aws.String(fmt.Sprintf("bytes=%d-%d", from, to))
		want = want[from : to+1]
	}
	out, err := l.client.GetObject(ctx, in)
	if err != nil {
		return 0, false, err
	}
	defer out.Body.Close()
	got, err := io.ReadAll(io.LimitReader(out.Body, int64(size)+1))
	return len(got), err == nil && !bytes.Equal(got, want), err
}

// sort names what an error is: refused, failed or "".
func sort(err error) (kind, text string) {
	if err == nil {
		return "", ""
	}
	var answer *smithyhttp.ResponseError
	if errors.As(err, &answer) {
		if code := answer.HTTPStatusCode(); code == 503 || code == 429 {
			return "refused", strconv.Itoa(code)
		} else if code > 0 {
			return "failed", strconv.Itoa(code)
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return "failed", "no answer in time"
	}
	return "failed", "connection"
}

func (l *loader) count(t *OpStats, due, began time.Time, moved int, wrong bool, err error) {
	now := time.Now()
	kind, text := sort(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out--
	switch {
	case kind == "refused":
		t.Refused++
	case kind == "failed":
		t.Failed++
	case wrong:
		t.Corrupt++
	default:
		t.Served++
		t.Bytes += int64(moved)
		t.Latency.RecordValue(max(1, now.Sub(due).Microseconds()))
		t.SendLatency.RecordValue(max(1, now.Sub(began).Microseconds()))
	}
	if text != "" {
		t.Errors[text]++
	}
}

// progress prints a line now and again until the result is called.
func (l *loader) progress(began time.Time) (stop func()) {
	if l.opt.ProgressInterval <= 0 || l.opt.Progress == nil {
		return func() {}
	}
	quit, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(l.opt.ProgressInterval)
		defer tick.Stop()
		for {
			select {
			case <-quit:
				return
			case <-tick.C:
			}
			var sent, served, refused, failed int64
			l.mu.Lock()
			for _, t := range l.tallies {
				sent, served, refused, failed = sent+t.Sent, served+t.Served, refused+t.Refused, failed+t.Failed+t.Corrupt
			}
			out := l.out
			l.mu.Unlock()
			fmt.Fprintf(l.opt.Progress, "%5.0f s  sent %d  served %d  refused %d  failed %d  in flight %d\n", time.Since(began).Seconds(), sent, served, refused, failed, out)
		}
	}()
	return func() {
		close(quit)
		<-ended
	}
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%.1f s; the sender was late by %s at most\n", r.Duration.Seconds(), r.MaxLateness.Round(time.Microsecond))
	fmt.Fprintf(w, "%-6s %8s %8s %8s %8s %6s %9s %9s %9s %9s %9s  %s\n", "", "sent", "served", "refused", "failed", "wrong", "MiB/s", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "p99 from the send")
	ms := func(us int64) string { return fmt.Sprintf("%.2f", float64(us)/1000) }
	for _, t := range r.Ops {
		fmt.Fprintf(w, "%-6s %8d %8d %8d %8d %6d %9.1f %9s %9s %9s %9s  %s\n", t.Op, t.Sent, t.Served, t.Refused, t.Failed, t.Corrupt,
			float64(t.Bytes)/(1<<20)/r.Duration.Seconds(), ms(t.Latency.ValueAtQuantile(50)), ms(t.Latency.ValueAtQuantile(99)), ms(t.Latency.ValueAtQuantile(99.9)), ms(t.Latency.Max()), ms(t.SendLatency.ValueAtQuantile(99)))
		for _, text := range slices.Sorted(maps.Keys(t.Errors)) {
			fmt.Fprintf(w, "       %s: %d\n", text, t.Errors[text])
		}
		if t.Skipped > 0 {
			fmt.Fprintf(w, "       not sent, too many in flight: %d\n", t.Skipped)
		}
	}
}
