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

// Header fields that only clients send.
const (
	headerPlan    = "X-Plan"
	headerIO      = "X-IO"
	headerRetried = "X-Retried"
)

// Limits of header field values, in bytes.
const (
	maxIDBytes  = 64
	maxKeyBytes = 256
)

// headLimits bound the heads of client requests.
var headLimits = http1.Limits{MaxLineBytes: 2 << 10, MaxHeadBytes: 8 << 10, MaxFields: 48}

// requestParams are the validated parameters in a request's head.
type requestParams struct {
	id, key string // key is "" if there is none
	class   int    // index in the settings
	volume  arrowwalk.Volume
	piece   uint64
	timeout time.Duration // at most the class's deadline
	units   float64
	shard   int  // -1: a new object, for any brick
	retried bool // the client sends the request again
}

// newError returns an *http1.Error with a formatted reason.
func newError(status int, format string, args ...any) error {
	return &http1.Error{Status: status, Reason: fmt.Sprintf(format, args...)}
}

// validator parses and validates request heads against the settings. It is safe
// for concurrent use.
type validator struct {
	settings *arrowwalk.Settings
	classes  map[string]int // index by name
	plans    map[string]int // index by name
}

func newValidator(settings *arrowwalk.Settings) *validator {
	v := &validator{settings: settings, classes: map[string]int{}, plans: map[string]int{}}
	for i := range settings.Classes {
		v.classes[settings.Classes[i].Name] = i
	}
	for i := range settings.Plans {
		v.plans[settings.Plans[i].Name] = i
	}
	return v
}

// validate parses a request's head into p. Any error is an *http1.Error that
// names the invalid part.
func (v *validator) validate(q *http1.Request, p *requestParams) error {
	*p = requestParams{}
	if err := v.parsePath(q.Target, p); err != nil {
		return err
	}
	class := &v.settings.Classes[p.class]
	method := "GET"
	if class.Writes {
		method = "PUT"
	}
	if q.Method != method {
		return newError(405, "method %.16q: class %s requires %s", q.Method, class.Name, method)
	}
	if !class.Writes && (q.Chunked || q.Length > 0) {
		return newError(400, "a %s request must have no body", method)
	}
	if q.Length > upstream.MaxRequestBodyBytes {
		return newError(413, "Content-Length %d: exceeds %d", q.Length, upstream.MaxRequestBodyBytes)
	}
	return v.parseFields(q, p, class)
}

// parsePath parses the path /CLASS/VOLUME/PIECE and ignores a query.
func (v *validator) parsePath(target string, p *requestParams) error {
	path, _, _ := strings.Cut(target, "?")
	parts := strings.Split(path, "/")
	if len(parts) != 4 || parts[0] != "" {
		return newError(404, "path: must be /CLASS/VOLUME/PIECE")
	}
	var ok bool
	if p.class, ok = v.classes[parts[1]]; !ok {
		return newError(404, "path: unknown class %.32q", parts[1])
	}
	volume, ok := parseHex64(parts[2])
	piece, pieceOK := parseHex64(parts[3])
	if !ok || !pieceOK {
		return newError(404, "path: volume and piece must be 16 hex digits")
	}
	p.volume.ID, p.piece = arrowwalk.VolumeID(volume), piece
	return nil
}

// parseHex64 parses exactly 16 hexadecimal digits.
func parseHex64(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(s, 16, 64)
	return n, err == nil
}

// requiredField returns the value of a field that must be present exactly once.
func requiredField(fields http1.Fields, name string) (string, error) {
	if n := fields.Count(name); n != 1 {
		return "", newError(400, "%d %s fields, want 1", n, name)
	}
	return fields.Get(name), nil
}

// parseFields parses the platform's header fields.
func (v *validator) parseFields(q *http1.Request, p *requestParams, class *arrowwalk.Class) error {
	var plan, timeout, io string
	for _, f := range [...]struct {
		name  string
		value *string
	}{{upstream.HeaderRequestID, &p.id}, {headerPlan, &plan}, {upstream.HeaderTimeout, &timeout}, {headerIO, &io}} {
		var err error
		if *f.value, err = requiredField(q.Fields, f.name); err != nil {
			return err
		}
	}
	if p.id == "" || len(p.id) > maxIDBytes {
		return newError(400, "%s: must be 1 to %d bytes", upstream.HeaderRequestID, maxIDBytes)
	}
	if n := q.Fields.Count(upstream.HeaderIdempotencyKey); n > 1 {
		return newError(400, "%d %s fields, want 1", n, upstream.HeaderIdempotencyKey)
	}
	p.key = q.Fields.Get(upstream.HeaderIdempotencyKey)
	if class.Repeat == arrowwalk.Keyed && p.key == "" || len(p.key) > maxKeyBytes {
		return newError(400, "%s: must be 1 to %d bytes", upstream.HeaderIdempotencyKey, maxKeyBytes)
	}
	var ok bool
	if p.volume.Plan, ok = v.plans[plan]; !ok {
		return newError(400, "%s: unknown plan %.32q", headerPlan, plan)
	}
	if p.timeout, ok = parseSeconds(timeout, class.Deadline); !ok {
		return newError(400, "%s: %.32q is not a number of seconds", upstream.HeaderTimeout, timeout)
	}
	p.retried = q.Fields.Get(headerRetried) == "1"
	return v.parseIO(io, p)
}

// parseSeconds parses a timeout in seconds and limits it to maxTimeout.
func parseSeconds(s string, maxTimeout arrowwalk.Micros) (time.Duration, bool) {
	n, ok := parseDecimal(s)
	return time.Duration(min(n*1e6, float64(maxTimeout))) * time.Microsecond, ok
}

// parseIO parses units=U,shard=S,hosts=H. Other keys are ignored, since the
// protocol may add some.
func (v *validator) parseIO(s string, p *requestParams) error {
	seen := 0
	for part := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var valid bool
		switch name {
		case "units":
			p.units, valid = parseDecimal(value)
			valid = valid && p.units > 0 && p.units <= v.settings.MostUnits
		case "shard":
			p.shard, valid = parseIntInRange(value, -1, v.settings.Shards-1)
		case "hosts":
			p.volume.Hosts, valid = parseIntInRange(value, 1, v.settings.Hosts)
		default:
			valid = true
			seen--
		}
		if seen++; !valid || seen > 3 {
			return newError(400, "%s: invalid or repeated item %.32q", headerIO, part)
		}
	}
	if seen != 3 || p.volume.Hosts == 0 || p.units == 0 {
		return newError(400, "%s: must contain units, shard and hosts once each", headerIO)
	}
	return nil
}

// parseDecimal parses a decimal number of at most 32 digits and points, without a
// sign or an exponent.
func parseDecimal(s string) (float64, bool) {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c != '.' && (c < '0' || c > '9') {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && len(s) <= 32
}

// parseIntInRange parses an integer from lo to hi.
func parseIntInRange(s string, lo, hi int) (int, bool) {
	v, err := strconv.Atoi(s)
	return v, err == nil && v >= lo && v <= hi
}
