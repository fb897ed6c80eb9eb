package frontend

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"arrowwalk"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/platform/upstream"
)

// Header fields of clients.
const (
	headerPlan  = "X-Plan"
	headerIO    = "X-IO"
	headerRetry = "X-Retried"
)

// Bounds of what clients send.
const (
	idMax  = 64
	keyMax = 256
)

// limits of a client's heads.
var limits = http1.Limits{MaxLineBytes: 2 << 10, MaxHeadBytes: 8 << 10, MaxFields: 48}

// asked is what a request's head says, checked.
type asked struct {
	id, key string
	class   int
	volume  arrowwalk.Volume
	piece   uint64
	timeout time.Duration
	units   float64
	shard   int
	again   bool
}

func bad(status int, format string, args ...any) error {
	return &http1.Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// checker reads requests by the settings.
type checker struct {
	set     *arrowwalk.Settings
	classes map[string]int
	plans   map[string]int
}

func newChecker(set *arrowwalk.Settings) *checker {
	c := &checker{set: set, classes: map[string]int{}, plans: map[string]int{}}
	for i := range set.Classes {
		c.classes[set.Classes[i].Name] = i
	}
	for i := range set.Plans {
		c.plans[set.Plans[i].Name] = i
	}
	return c
}

// check reads a request's head into a; the error names the part at fault and
// has the status to answer with.
func (c *checker) check(q *http1.Request, a *asked) error {
	*a = asked{}
	if err := c.path(q.Target, a); err != nil {
		return err
	}
	class := &c.set.Classes[a.class]
	want := "GET"
	if class.Writes {
		want = "PUT"
	}
	if q.Method != want {
		return bad(405, "method %.16q: class %s takes %s", q.Method, class.Name, want)
	}
	if !class.Writes && (q.Chunked || q.Length > 0) {
		return bad(400, "a %s has no body", want)
	}
	if q.Length > upstream.MaxRequestBodyBytes {
		return bad(413, "Content-Length %d: over %d", q.Length, upstream.MaxRequestBodyBytes)
	}
	return c.fields(q, a, class)
}

// path reads /CLASS/VOLUME/PIECE.
func (c *checker) path(target string, a *asked) error {
	path, _, _ := strings.Cut(target, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 4 || parts[0] != "" {
		return bad(404, "path: must be /CLASS/VOLUME/PIECE")
	}
	var ok bool
	if a.class, ok = c.classes[parts[1]]; !ok {
		return bad(404, "path: no class is called %.32q", parts[1])
	}
	volume, ok := hex16(parts[2])
	piece, ok2 := hex16(parts[3])
	if !ok || !ok2 {
		return bad(404, "path: volume and piece must be 16 hex digits")
	}
	a.volume.ID, a.piece = arrowwalk.VolumeID(volume), piece
	return nil
}

func hex16(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	v, err := strconv.ParseUint(s, 16, 64)
	return v, err == nil
}

// one returns the value of a field that must be there once.
func one(f http1.Fields, name string) (string, error) {
	if n := f.Count(name); n != 1 {
		return "", bad(400, "%d fields %s: must be one", n, name)
	}
	return f.Get(name), nil
}

// fields reads the header fields.
func (c *checker) fields(q *http1.Request, a *asked, class *arrowwalk.Class) error {
	var plan, wait, io string
	for _, f := range [...]struct {
		name string
		into *string
	}{{upstream.HeaderRequestID, &a.id}, {headerPlan, &plan}, {upstream.HeaderTimeout, &wait}, {headerIO, &io}} {
		var err error
		if *f.into, err = one(q.Fields, f.name); err != nil {
			return err
		}
	}
	if a.id == "" || len(a.id) > idMax {
		return bad(400, "%s: must be 1 to %d bytes", upstream.HeaderRequestID, idMax)
	}
	if n := q.Fields.Count(upstream.HeaderIdempotencyKey); n > 1 {
		return bad(400, "%d fields %s: must be one", n, upstream.HeaderIdempotencyKey)
	}
	a.key = q.Fields.Get(upstream.HeaderIdempotencyKey)
	if class.Repeat == arrowwalk.Keyed && a.key == "" || len(a.key) > keyMax {
		return bad(400, "%s: must be 1 to %d bytes", upstream.HeaderIdempotencyKey, keyMax)
	}
	var ok bool
	if a.volume.Plan, ok = c.plans[plan]; !ok {
		return bad(400, "%s: no plan is called %.32q", headerPlan, plan)
	}
	if a.timeout, ok = seconds(wait, class.Deadline); !ok {
		return bad(400, "%s: %.32q is no number of seconds", upstream.HeaderTimeout, wait)
	}
	a.again = q.Fields.Get(headerRetry) == "1"
	return c.io(io, a)
}

// seconds reads a time that a client waits; more than most is taken for most.
func seconds(s string, most arrowwalk.Micros) (time.Duration, bool) {
	v, ok := number(s)
	return time.Duration(min(v*1e6, float64(most))) * time.Microsecond, ok
}

// io reads units=U,shard=S,hosts=H.
func (c *checker) io(s string, a *asked) error {
	seen := 0
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var good bool
		switch name {
		case "units":
			a.units, good = number(value)
			good = good && a.units > 0 && a.units <= c.set.MostUnits
		case "shard":
			a.shard, good = whole(value, -1, c.set.Shards-1)
		case "hosts":
			a.volume.Hosts, good = whole(value, 1, c.set.Hosts)
		default:
			good = true // keys may be added
			seen--
		}
		if seen++; !good || seen > 3 {
			return bad(400, "%s: %.32q", headerIO, part)
		}
	}
	if seen != 3 || a.volume.Hosts == 0 || a.units == 0 {
		return bad(400, "%s: must hold units, shard and hosts", headerIO)
	}
	return nil
}

// number reads a decimal number: digits and a point, no sign, no exponent.
func number(s string) (float64, bool) {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && len(s) <= 32
}

func whole(s string, least, most int) (int, bool) {
	v, err := strconv.Atoi(s)
	return v, err == nil && v >= least && v <= most
}
