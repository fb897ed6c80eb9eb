package load

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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

func total(r *Report, of func(*OpStats) int64) (n int64) {
	for _, t := range r.Ops {
		n += of(t)
	}
	return n
}

// A load against a gateway ends by itself, and every byte is as it was stored.
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
	r, err := Run(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	r.Write(&text)
	t.Log(text.String())
	if r.HasCorruption() || total(r, func(t *OpStats) int64 { return t.Failed }) > 0 || total(r, func(t *OpStats) int64 { return t.Served }) < 50 {
		t.Error("not all was served as it was stored")
	}
}

// plain is an object store that does what a test has it do.
type plain struct {
	mu      sync.Mutex
	objects map[string][]byte
	flip    atomic.Bool  // a bit of what is read
	hold    atomic.Int64 // all answers until then, nanoseconds since 1970
	refuse  atomic.Bool
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wait := time.Until(time.Unix(0, p.hold.Load())); wait > 0 {
		time.Sleep(wait) // the script's own pause
	}
	name := strings.TrimPrefix(r.URL.Path, "/")
	switch {
	case !strings.Contains(name, "/"):
	case p.refuse.Load():
		w.WriteHeader(503)
	case r.Method == "PUT":
		w.WriteHeader(200)
	default:
		key := name[strings.IndexByte(name, '/')+1:]
		body := content(key, sizeOf(key))
		if p.flip.Load() && len(body) > 0 {
			body[len(body)/2] ^= 1
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.Write(body)
	}
}

// A flipped bit is seen; a stall is not hidden by what is sent late; refusals
// are told apart.
func TestSeesWhatIsWrong(t *testing.T) {
	p := &plain{}
	server := httptest.NewServer(p)
	defer server.Close()
	run := func(mix []MixEntry, change func()) *Report {
		t.Helper()
		opt := options(server.URL, 200)
		opt.Mix, opt.MaxInFlight = mix, 4
		opt.Sizes = []int{1000}
		l, err := newLoader(opt)
		if err != nil {
			t.Fatal(err)
		}
		defer l.conns.CloseIdleConnections()
		if err := l.prepare(context.Background()); err != nil {
			t.Fatal(err)
		}
		change()
		l.send(context.Background(), time.Now())
		l.wg.Wait()
		r := &Report{Duration: time.Second}
		for _, tally := range l.tallies {
			r.Ops = append(r.Ops, tally)
		}
		return r
	}
	if r := run([]MixEntry{{Get, 1}}, func() { p.flip.Store(true) }); !r.HasCorruption() {
		t.Error("a flipped bit was not seen")
	}
	p.flip.Store(false)
	r := run([]MixEntry{{Get, 1}}, func() { p.hold.Store(time.Now().Add(400 * time.Millisecond).UnixNano()) })
	if unsent := r.Ops[0].Skipped; unsent < 20 || r.Ops[0].Failed < unsent {
		t.Errorf("a stall of 400 ms at 200 a second with 4 in flight: %d not sent, %d failed", unsent, r.Ops[0].Failed)
	}
	if r := run([]MixEntry{{Put, 1}}, func() { p.refuse.Store(true) }); r.Ops[0].Refused == 0 || r.Ops[0].Failed > r.Ops[0].Skipped {
		t.Errorf("refusals: %+v", r.Ops[0])
	}
}

// Options that make no sense are named.
func TestBadOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"bucket": func(o *Options) { o.Buckets = nil }, "mix": func(o *Options) { o.Mix = []MixEntry{{"copy", 1}} },
		"size": func(o *Options) { o.Sizes = nil }, "in flight": func(o *Options) { o.MaxInFlight = 0 },
	} {
		opt := options("http://127.0.0.1:1", 1)
		change(opt)
		if _, err := Run(context.Background(), opt); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
