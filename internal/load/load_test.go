package load

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk/internal/config"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/load/arrivals"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func options(endpoint string, rate float64) *Options {
	return &Options{Endpoint: endpoint, AccessKey: "LOAD", SecretKey: "load-secret", Region: "us-east-1", Buckets: []string{"one", "two"},
		Mix: []MixEntry{{Get, 5}, {Range, 2}, {Put, 2}, {Head, 1}}, Sizes: []int{0, 1000, 70_000}, ObjectsPerBucket: 6,
		Arrivals: arrivals.NewPoisson(rate, time.Second, 1), RequestTimeout: 5 * time.Second, MaxInFlight: 64, Seed: 1}
}

func total(r *Report, value func(*OpStats) int64) (n int64) {
	for _, t := range r.Ops {
		n += value(t)
	}
	return n
}

// TestAgainstGateway checks that a load on a gateway ends by itself, and that
// all requests are served with the stored bytes.
func TestAgainstGateway(t *testing.T) {
	cfg := config.Default()
	cfg.Listen, cfg.Keys = "127.0.0.1:0", []config.Key{{Access: "LOAD", Secret: "load-secret"}}
	g, err := gateway.Start(gateway.Options{Config: cfg, DataDir: t.TempDir(), NoSync: true, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		g.Stop(ctx)
	}()
	opt := options(g.Endpoint(), 150)
	opt.MaxInFlight = 1000 // more than all requests: a slow machine leaves none unsent
	r, err := Run(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	r.Write(&text)
	t.Log(text.String())
	if r.HasCorruption() || total(r, func(t *OpStats) int64 { return t.Failed }) > 0 || total(r, func(t *OpStats) int64 { return t.Served }) < 50 {
		t.Error("requests failed, or were served with wrong content")
	}
}

// fakeStore is an object store with switchable faults.
type fakeStore struct {
	corruptReads atomic.Bool  // flip one bit of each object read
	stallUntil   atomic.Int64 // delay answers until then, in nanoseconds since 1970
	refuseAll    atomic.Bool  // answer 503 to all object requests
}

func (f *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wait := time.Until(time.Unix(0, f.stallUntil.Load())); wait > 0 {
		time.Sleep(wait) // the stall that the test asked for
	}
	name := strings.TrimPrefix(r.URL.Path, "/")
	switch {
	case !strings.Contains(name, "/"):
	case f.refuseAll.Load():
		w.WriteHeader(503)
	case r.Method == "PUT":
		w.WriteHeader(200)
	default:
		key := name[strings.IndexByte(name, '/')+1:]
		body := objectContent(key, objectSize(key))
		if f.corruptReads.Load() && len(body) > 0 {
			body[len(body)/2] ^= 1
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.Write(body)
	}
}

// TestSeesWhatIsWrong checks that a flipped bit is detected, that a stall of
// the server shows as requests that could not be sent, and that refusals are
// counted as such.
func TestSeesWhatIsWrong(t *testing.T) {
	store := &fakeStore{}
	server := httptest.NewServer(store)
	defer server.Close()
	run := func(mix []MixEntry, prepare func()) *Report {
		t.Helper()
		opt := options(server.URL, 200)
		opt.Mix, opt.MaxInFlight = mix, 4
		opt.Sizes = []int{1000}
		l, err := newLoader(opt)
		if err != nil {
			t.Fatal(err)
		}
		defer l.transport.CloseIdleConnections()
		if err := l.storeObjects(context.Background()); err != nil {
			t.Fatal(err)
		}
		prepare()
		l.sendRequests(context.Background(), time.Now())
		l.wg.Wait()
		r := &Report{Duration: time.Second}
		for _, stats := range l.stats {
			r.Ops = append(r.Ops, stats)
		}
		return r
	}
	if r := run([]MixEntry{{Get, 1}}, func() { store.corruptReads.Store(true) }); !r.HasCorruption() {
		t.Error("a flipped bit was not detected")
	}
	store.corruptReads.Store(false)
	r := run([]MixEntry{{Get, 1}}, func() { store.stallUntil.Store(time.Now().Add(400 * time.Millisecond).UnixNano()) })
	if skipped := r.Ops[0].Skipped; skipped < 20 || r.Ops[0].Failed < skipped {
		t.Errorf("stall of 400 ms at 200 requests/s with 4 in flight: %d not sent, %d failed", skipped, r.Ops[0].Failed)
	}
	if r := run([]MixEntry{{Put, 1}}, func() { store.refuseAll.Store(true) }); r.Ops[0].Refused == 0 || r.Ops[0].Failed > r.Ops[0].Skipped {
		t.Errorf("refusals: %+v", r.Ops[0])
	}
}

// TestBadOptions checks that an error names the invalid option.
func TestBadOptions(t *testing.T) {
	for want, prepare := range map[string]func(*Options){
		"bucket": func(o *Options) { o.Buckets = nil }, "mix": func(o *Options) { o.Mix = []MixEntry{{"copy", 1}} },
		"size": func(o *Options) { o.Sizes = nil }, "in flight": func(o *Options) { o.MaxInFlight = 0 },
	} {
		opt := options("http://127.0.0.1:1", 1)
		prepare(opt)
		if _, err := Run(context.Background(), opt); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
