package frontend

import (
	"strings"
	"testing"
	"time"

	"arrowwalk"
	"arrowwalk/internal/http1"
)

func testSettings() *arrowwalk.Settings {
	return &arrowwalk.Settings{Hosts: 3, Shards: 9, MostUnits: 6, MeanUnits: 2, MaxAttempts: 4, Tick: 2000, MaxRetryAfter: 500_000,
		Classes: []arrowwalk.Class{{Name: "fetch-text", Aim: 400_000, Deadline: 2_500_000, Worth: 2},
			{Name: "save-paper", Aim: 500_000, Deadline: 2_500_000, Worth: 2, Repeat: arrowwalk.Keyed, Scope: arrowwalk.ScopeShard,
				Window: 4_000_000, Writes: true}},
		Plans: []arrowwalk.Plan{{Name: "basic", Rate: 100, Weight: 1, WorthFactor: 1}, {Name: "campus", Rate: 100, Weight: 1, WorthFactor: 1}}}
}

const piece = "/0000000000000abc/ffffffffffffffff"

// fields returns valid header fields. Each pair of overrides is a field's name
// and its new value; "" removes the field.
func fields(overrides ...string) http1.Fields {
	f := http1.Fields{{Name: "X-Request-ID", Value: "9b1f"}, {Name: "X-Plan", Value: "campus"}, {Name: "X-Timeout", Value: "0.480"},
		{Name: "X-IO", Value: "units=2,shard=5,hosts=3"}, {Name: "Idempotency-Key", Value: "k"}}
	for i := 0; i+1 < len(overrides); i += 2 {
		kept := f[:0:0]
		for _, field := range f {
			if field.Name != overrides[i] {
				kept = append(kept, field)
			}
		}
		if f = kept; overrides[i+1] != "" {
			f = append(f, http1.Field{Name: overrides[i], Value: overrides[i+1]})
		}
	}
	return f
}

func TestCheckReadsWhatIsSent(t *testing.T) {
	v := newValidator(testSettings())
	var p requestParams
	if err := v.validate(&http1.Request{Method: "PUT", Target: "/save-paper" + piece + "?x=1", Fields: fields("X-Retried", "1")}, &p); err != nil {
		t.Fatal(err)
	}
	want := requestParams{id: "9b1f", key: "k", class: 1, volume: arrowwalk.Volume{ID: 0xabc, Plan: 1, Hosts: 3}, piece: 1<<64 - 1,
		timeout: 480 * time.Millisecond, units: 2, shard: 5, retried: true}
	if p != want {
		t.Errorf("%+v, want %+v", p, want)
	}
	if err := v.validate(&http1.Request{Method: "GET", Target: "/fetch-text" + piece, Fields: fields("X-IO", "hosts=1, shard=-1,new=7,units=1.5", "X-Timeout", "99", "Idempotency-Key", "")}, &p); err != nil {
		t.Fatal(err)
	}
	if p.shard != -1 || p.units != 1.5 || p.timeout != 2500*time.Millisecond || p.retried {
		t.Errorf("%+v", p)
	}
}

// An invalid request is rejected with a status and an error that names the
// invalid part.
func TestCheckNamesWhatIsWrong(t *testing.T) {
	v := newValidator(testSettings())
	for _, c := range []struct {
		name, method, target string
		fields               http1.Fields
		framing              http1.Framing
		status               int
		wantText             string
	}{
		{"class", "GET", "/other" + piece, fields(), http1.Framing{}, 404, "other"},
		{"path", "GET", "/fetch-text/1/2", fields(), http1.Framing{}, 404, "16 hex"},
		{"absolute", "GET", "http://h/fetch-text" + piece, fields(), http1.Framing{}, 404, "path"},
		{"signed hex", "GET", "/fetch-text/+000000000000abc/ffffffffffffffff", fields(), http1.Framing{}, 404, "16 hex"},
		{"method", "PUT", "/fetch-text" + piece, fields(), http1.Framing{}, 405, "PUT"},
		{"body of a read", "GET", "/fetch-text" + piece, fields(), http1.Framing{Length: 1, HasLength: true}, 400, "no body"},
		{"too large", "PUT", "/save-paper" + piece, fields(), http1.Framing{Length: 65<<10 + 1, HasLength: true}, 413, "Content-Length"},
		{"no id", "GET", "/fetch-text" + piece, fields("X-Request-ID", ""), http1.Framing{}, 400, "X-Request-ID"},
		{"long id", "GET", "/fetch-text" + piece, fields("X-Request-ID", strings.Repeat("x", 65)), http1.Framing{}, 400, "X-Request-ID"},
		{"two ids", "GET", "/fetch-text" + piece, append(fields(), http1.Field{Name: "x-request-id", Value: "b"}), http1.Framing{}, 400, "X-Request-ID"},
		{"plan", "GET", "/fetch-text" + piece, fields("X-Plan", "gold"), http1.Framing{}, 400, "gold"},
		{"no key", "PUT", "/save-paper" + piece, fields("Idempotency-Key", ""), http1.Framing{}, 400, "Idempotency-Key"},
		{"time", "GET", "/fetch-text" + piece, fields("X-Timeout", "soon"), http1.Framing{}, 400, "X-Timeout"},
		{"negative time", "GET", "/fetch-text" + piece, fields("X-Timeout", "-1"), http1.Framing{}, 400, "X-Timeout"},
		{"endless time", "GET", "/fetch-text" + piece, fields("X-Timeout", "Inf"), http1.Framing{}, 400, "X-Timeout"},
		{"no units", "GET", "/fetch-text" + piece, fields("X-IO", "shard=1,hosts=1"), http1.Framing{}, 400, "X-IO"},
		{"units twice", "GET", "/fetch-text" + piece, fields("X-IO", "units=1,units=1,units=1"), http1.Framing{}, 400, "X-IO"},
		{"units", "GET", "/fetch-text" + piece, fields("X-IO", "units=7,shard=1,hosts=1"), http1.Framing{}, 400, "units=7"},
		{"no number", "GET", "/fetch-text" + piece, fields("X-IO", "units=NaN,shard=1,hosts=1"), http1.Framing{}, 400, "NaN"},
		{"shard", "GET", "/fetch-text" + piece, fields("X-IO", "units=1,shard=9,hosts=1"), http1.Framing{}, 400, "shard=9"},
		{"hosts", "GET", "/fetch-text" + piece, fields("X-IO", "units=1,shard=1,hosts=0"), http1.Framing{}, 400, "hosts=0"},
	} {
		var p requestParams
		err := v.validate(&http1.Request{Method: c.method, Target: c.target, Fields: c.fields, Framing: c.framing}, &p)
		if err == nil || http1.StatusOf(err) != c.status || !strings.Contains(err.Error(), c.wantText) {
			t.Errorf("%s: %v, want %d and %q", c.name, err, c.status, c.wantText)
		}
	}
}

// An id cannot be used again during its request and for a while afterwards. The
// number of remembered ids is bounded.
func TestIDsAreUsedOnce(t *testing.T) {
	ids := requestIDs{known: map[string]bool{}}
	if !ids.add("a") || ids.add("a") {
		t.Error("the id of a request in progress is accepted again")
	}
	ids.finish("a")
	if ids.add("a") {
		t.Error("an id is accepted again right after its response")
	}
	for n := range 3 * maxRecentIDs {
		id := strings.Repeat("x", n%7) + time.Duration(n).String()
		if !ids.add(id) {
			t.Fatalf("id %s is not new", id)
		}
		ids.finish(id)
	}
	if len(ids.known) > maxRecentIDs || !ids.add("a") {
		t.Errorf("%d ids are remembered", len(ids.known))
	}
}

func FuzzCheck(f *testing.F) {
	f.Add("PUT", "/save-paper"+piece, "units=2,shard=5,hosts=3", "0.48")
	f.Add("GET", "/fetch-text/../x", "units=,=,shard", "1e9")
	v := newValidator(testSettings())
	f.Fuzz(func(t *testing.T, method, target, io, timeout string) {
		var p requestParams
		if v.validate(&http1.Request{Method: method, Target: target, Fields: fields("X-IO", io, "X-Timeout", timeout)}, &p) != nil {
			return
		}
		if p.units <= 0 || p.units > 6 || p.shard < -1 || p.shard > 8 || p.volume.Hosts < 1 || p.volume.Hosts > 3 || p.timeout < 0 || p.timeout > 2500*time.Millisecond {
			t.Errorf("%+v of %q %q", p, io, timeout)
		}
	})
}
