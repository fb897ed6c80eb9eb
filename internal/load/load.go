// Package load sends an open-loop load to an S3-compatible API with the AWS
// SDK's client and verifies all bytes that it reads. Latencies are measured
// from the time at which a request was due, so that a stalled server can't hide
// its stall by delaying the sender (coordinated omission).
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

// Kinds of requests.
const (
	Get   Op = "get"
	Range Op = "range"
	Put   Op = "put"
	Head  Op = "head"
)

// Ops lists all kinds of requests.
var Ops = []Op{Get, Range, Put, Head}

// MixEntry is a kind of request and its weight in the mix.
type MixEntry struct {
	Op     Op
	Weight float64
}

// Options configures a load.
type Options struct {
	Endpoint         string
	AccessKey        string
	SecretKey        string
	Region           string
	Buckets          []string
	Mix              []MixEntry
	Sizes            []int // object sizes in bytes, drawn uniformly
	ObjectsPerBucket int   // objects stored in each bucket before the load starts, to be read
	Arrivals         arrivals.Source
	RequestTimeout   time.Duration // of one request
	MaxInFlight      int           // requests beyond it are not sent and count as failed
	Seed             uint64
	Progress         io.Writer     // destination of progress lines; nil: none
	ProgressInterval time.Duration // 0: no progress lines
}

// OpStats sums up the requests of one kind.
type OpStats struct {
	Op          Op
	Sent        int64
	Served      int64
	Refused     int64                   // status 503 or 429
	Failed      int64                   // other errors, including skipped requests
	Corrupt     int64                   // answered with bytes or a length other than those stored
	Skipped     int64                   // not sent because MaxInFlight was reached
	Bytes       int64                   // content bytes of served requests
	Latency     *hdrhistogram.Histogram // microseconds from when a served request was due
	SendLatency *hdrhistogram.Histogram // microseconds from when it was sent
	Errors      map[string]int64        // number of errors by status or cause
}

// Report is the result of a load.
type Report struct {
	Duration    time.Duration
	Ops         []*OpStats
	MaxLateness time.Duration // largest delay of the sender itself
}

// HasCorruption reports whether any answer differed from what was stored.
func (r *Report) HasCorruption() bool {
	return slices.ContainsFunc(r.Ops, func(t *OpStats) bool { return t.Corrupt > 0 })
}

// objectContent returns the content of an object, which is determined by its
// name and size.
func objectContent(name string, size int) []byte {
	var seed uint64
	for _, c := range []byte(name) {
		seed = seed*1099511628211 ^ uint64(c)
	}
	random := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24), byte(seed >> 32), byte(size), byte(size >> 8), byte(size >> 16)})
	b := make([]byte, size)
	random.Read(b)
	return b
}

// objectName returns the name of the n-th object of a kind. The name ends with
// the size.
func objectName(kind string, n, size int) string { return fmt.Sprintf("load/%s-%d-%d", kind, n, size) }

// objectSize returns the size that an object's name tells.
func objectSize(name string) int {
	size, _ := strconv.Atoi(name[strings.LastIndexByte(name, '-')+1:])
	return size
}

// loader sends one load.
type loader struct {
	opt       *Options
	client    *s3.Client
	transport *http.Transport
	random    *rand.Rand
	keys      []string // names of the objects to read, the same in each bucket

	mu       sync.Mutex
	stats    map[Op]*OpStats // guarded by mu, as is inFlight
	inFlight int
	wg       sync.WaitGroup
}

// Run stores the objects to read, sends the load and returns its results. It
// returns when the arrivals end and all requests have completed. If ctx is
// cancelled, it returns early with the results so far and the error of ctx.
func Run(ctx context.Context, opt *Options) (*Report, error) {
	l, err := newLoader(opt)
	if err != nil {
		return nil, err
	}
	defer l.transport.CloseIdleConnections()
	if err := l.storeObjects(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	stop := l.startProgress(began)
	maxLateness := l.sendRequests(ctx, began)
	l.wg.Wait()
	stop()
	r := &Report{Duration: time.Since(began), MaxLateness: maxLateness}
	for _, op := range Ops {
		if t := l.stats[op]; t != nil {
			r.Ops = append(r.Ops, t)
		}
	}
	return r, ctx.Err()
}

// newLoader validates the options and creates the client.
func newLoader(opt *Options) (*loader, error) {
	switch {
	case len(opt.Buckets) == 0:
		return nil, errors.New("load: no buckets")
	case len(opt.Mix) == 0:
		return nil, errors.New("load: the mix is empty")
	case len(opt.Sizes) == 0:
		return nil, errors.New("load: no sizes")
	case opt.MaxInFlight < 1 || opt.ObjectsPerBucket < 1:
		return nil, errors.New("load: in flight and keys must be at least 1")
	}
	l := &loader{opt: opt, random: rand.New(rand.NewPCG(opt.Seed, 31)), stats: map[Op]*OpStats{}}
	for _, p := range opt.Mix {
		if !slices.Contains(Ops, p.Op) || p.Weight < 0 {
			return nil, fmt.Errorf("load: mix: %s=%g: must be one of %v with a weight of at least 0", p.Op, p.Weight, Ops)
		}
		l.stats[p.Op] = &OpStats{Op: p.Op, Latency: newHistogram(), SendLatency: newHistogram(), Errors: map[string]int64{}}
	}
	l.transport = &http.Transport{MaxIdleConnsPerHost: opt.MaxInFlight, MaxConnsPerHost: opt.MaxInFlight, DisableCompression: true}
	l.client = s3.New(s3.Options{BaseEndpoint: aws.String(opt.Endpoint), Region: opt.Region, UsePathStyle: true, RetryMaxAttempts: 1,
		Credentials: credentials.NewStaticCredentialsProvider(opt.AccessKey, opt.SecretKey, ""),
		HTTPClient:  &http.Client{Transport: l.transport}})
	return l, nil
}

// newHistogram returns a histogram of microseconds, up to ten minutes with
// three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

// storeObjects creates the buckets and stores the objects to read.
func (l *loader) storeObjects(ctx context.Context) error {
	for _, bucket := range l.opt.Buckets {
		if _, err := l.client.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: &bucket}); err != nil {
			var api smithy.APIError
			if !errors.As(err, &api) || !strings.HasPrefix(api.ErrorCode(), "BucketAlready") {
				return fmt.Errorf("load: create bucket %q: %w", bucket, err)
			}
		}
		for n := range l.opt.ObjectsPerBucket {
			name := objectName("read", n, l.opt.Sizes[n%len(l.opt.Sizes)])
			if len(l.keys) < l.opt.ObjectsPerBucket {
				l.keys = append(l.keys, name)
			}
			if err := l.storeWithRetries(ctx, bucket, name); err != nil {
				return fmt.Errorf("load: store %s/%s: %w", bucket, name, err)
			}
		}
	}
	return nil
}

// maxStoreRetries is how often storing an object is retried after a refusal.
const maxStoreRetries = 50

// storeWithRetries stores an object and retries refusals. It is not part of the
// measurement.
func (l *loader) storeWithRetries(ctx context.Context, bucket, name string) error {
	for attempts := 0; ; attempts++ {
		err := l.putObject(ctx, bucket, name)
		if kind, _ := classifyError(err); kind != "refused" || attempts == maxStoreRetries {
			return err
		}
		timer := time.NewTimer(100 * time.Millisecond)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// putObject stores the object whose content its name determines.
func (l *loader) putObject(ctx context.Context, bucket, name string) error {
	_, err := l.client.PutObject(ctx, &s3.PutObjectInput{Bucket: &bucket, Key: &name, Body: bytes.NewReader(objectContent(name, objectSize(name)))})
	return err
}

// sendRequests sends the requests when they are due, and returns the largest
// delay of the sender.
func (l *loader) sendRequests(ctx context.Context, began time.Time) (maxLateness time.Duration) {
	for n := 0; ; n++ {
		at, ok := l.opt.Arrivals.Next()
		if !ok {
			return maxLateness
		}
		due := began.Add(at)
		if wait := time.Until(due); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return maxLateness
			}
		} else {
			maxLateness = max(maxLateness, -wait)
		}
		if ctx.Err() != nil {
			return maxLateness
		}
		l.startRequest(ctx, n, due)
	}
}

// startRequest draws the n-th request and sends it in a new goroutine.
func (l *loader) startRequest(ctx context.Context, n int, due time.Time) {
	op := l.drawOp()
	bucket, name := l.opt.Buckets[l.random.IntN(len(l.opt.Buckets))], l.keys[l.random.IntN(len(l.keys))]
	if op == Put {
		name = objectName(fmt.Sprintf("write-%d", l.opt.Seed), n, l.opt.Sizes[l.random.IntN(len(l.opt.Sizes))])
	}
	first, last := 0, 0
	if size := objectSize(name); op == Range && size > 0 {
		first = l.random.IntN(size)
		last = first + l.random.IntN(size-first)
	}
	l.mu.Lock()
	t := l.stats[op]
	t.Sent++
	if l.inFlight >= l.opt.MaxInFlight {
		t.Skipped++
		t.Failed++
		l.mu.Unlock()
		return
	}
	l.inFlight++
	l.mu.Unlock()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		began := time.Now()
		reqCtx, cancel := context.WithTimeout(ctx, l.opt.RequestTimeout)
		transferred, corrupt, err := l.doRequest(reqCtx, op, bucket, name, first, last)
		cancel()
		l.recordResult(t, due, began, transferred, corrupt, err)
	}()
}

// drawOp draws a kind of request by its weight.
func (l *loader) drawOp() Op {
	sum := 0.0
	for _, p := range l.opt.Mix {
		sum += p.Weight
	}
	draw := l.random.Float64() * sum
	for _, p := range l.opt.Mix {
		if draw -= p.Weight; draw < 0 {
			return p.Op
		}
	}
	return l.opt.Mix[0].Op
}

// doRequest sends a request and verifies the answer.
func (l *loader) doRequest(ctx context.Context, op Op, bucket, name string, first, last int) (transferred int, corrupt bool, err error) {
	size := objectSize(name)
	switch op {
	case Put:
		return size, false, l.putObject(ctx, bucket, name)
	case Head:
		out, err := l.client.HeadObject(ctx, &s3.HeadObjectInput{Bucket: &bucket, Key: &name})
		return 0, err == nil && aws.ToInt64(out.ContentLength) != int64(size), err
	}
	want := objectContent(name, size)
	in := &s3.GetObjectInput{Bucket: &bucket, Key: &name}
	if op == Range && size > 0 {
		in.Range = aws.String(fmt.Sprintf("bytes=%d-%d", first, last))
		want = want[first : last+1]
	}
	out, err := l.client.GetObject(ctx, in)
	if err != nil {
		return 0, false, err
	}
	defer out.Body.Close()
	got, err := io.ReadAll(io.LimitReader(out.Body, int64(size)+1))
	return len(got), err == nil && !bytes.Equal(got, want), err
}

// classifyError returns the class of an error, "refused" or "failed", and a
// short text for the statistics. Both are empty for nil.
func classifyError(err error) (kind, text string) {
	if err == nil {
		return "", ""
	}
	var response *smithyhttp.ResponseError
	if errors.As(err, &response) {
		if code := response.HTTPStatusCode(); code == 503 || code == 429 {
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

// recordResult counts the result of a request.
func (l *loader) recordResult(t *OpStats, due, began time.Time, transferred int, corrupt bool, err error) {
	now := time.Now()
	kind, text := classifyError(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	switch {
	case kind == "refused":
		t.Refused++
	case kind == "failed":
		t.Failed++
	case corrupt:
		t.Corrupt++
	default:
		t.Served++
		t.Bytes += int64(transferred)
		t.Latency.RecordValue(max(1, now.Sub(due).Microseconds()))
		t.SendLatency.RecordValue(max(1, now.Sub(began).Microseconds()))
	}
	if text != "" {
		t.Errors[text]++
	}
}

// startProgress prints a progress line at each interval until stop is called.
func (l *loader) startProgress(began time.Time) (stop func()) {
	if l.opt.ProgressInterval <= 0 || l.opt.Progress == nil {
		return func() {}
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(l.opt.ProgressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-quit:
				return
			case <-ticker.C:
			}
			var sent, served, refused, failed int64
			l.mu.Lock()
			for _, t := range l.stats {
				sent, served, refused, failed = sent+t.Sent, served+t.Served, refused+t.Refused, failed+t.Failed+t.Corrupt
			}
			inFlight := l.inFlight
			l.mu.Unlock()
			fmt.Fprintf(l.opt.Progress, "%5.0f s  sent %d  served %d  refused %d  failed %d  in flight %d\n", time.Since(began).Seconds(), sent, served, refused, failed, inFlight)
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

// Write writes the report as a table.
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
