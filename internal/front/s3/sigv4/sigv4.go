// Package sigv4 verifies and makes AWS Signature Version 4 signatures as the
// object API's public specification has them: in the Authorization header, in
// a presigned query, and on the chunks of a streamed body.
package sigv4

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowwalk/internal/http1"
)

const (
	algorithm  = "AWS4-HMAC-SHA256"
	timeFormat = "20060102T150405Z"
	// UnsignedPayload is the payload hash of a body that is not signed.
	UnsignedPayload = "UNSIGNED-PAYLOAD"
	// EmptyPayloadHash is the SHA-256 of nothing.
	EmptyPayloadHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

	longestPresign = 7 * 24 * time.Hour
	signedMost     = 64 // names in SignedHeaders
)

// Error is a refusal, with the specification's code.
type Error struct {
	Code    string
	Message string
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

func refuse(code, format string, args ...any) error {
	return &Error{code, fmt.Sprintf(format, args...)}
}

// Param is a decoded query parameter.
type Param struct{ Name, Value string }

// Query are a request's query parameters, in order.
type Query []Param

// Get returns the first value of a parameter, or "".
func (q Query) Get(name string) string {
	value, _ := q.Lookup(name)
	return value
}

// Lookup returns the first value of a parameter and whether there is one.
func (q Query) Lookup(name string) (string, bool) {
	for _, p := range q {
		if p.Name == name {
			return p.Value, true
		}
	}
	return "", false
}

// Request is what is signed of a request.
type Request struct {
	Method string
	Path   string // decoded
	Query  Query
	Fields http1.Fields
}

// Identity is who signed, with what is needed to check a streamed body.
type Identity struct {
	AccessKey   string
	PayloadHash string // x-amz-content-sha256, or Unsigned
	Signature   string // of the request: the seed of chunk signatures
	Presigned   bool

	key   []byte
	stamp string
	scope string
}

// Verifier knows the keys. It is safe for concurrent use.
type Verifier struct {
	region string
	skew   time.Duration

	mu      sync.RWMutex
	secrets map[string]string
	derived map[string][]byte // signing keys, by access key and date
}

// NewVerifier returns a verifier for a region with the greatest clock skew
// that it lets pass.
func NewVerifier(region string, skew time.Duration, secrets map[string]string) *Verifier {
	return &Verifier{region: region, skew: skew, secrets: secrets, derived: map[string][]byte{}}
}

// credential is ACCESS/DATE/REGION/SERVICE/aws4_request.
type credential struct{ access, date, scope string }

func (v *Verifier) credential(text, code string) (credential, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 5 || parts[4] != "aws4_request" || len(parts[1]) != 8 {
		return credential{}, refuse(code, "the credential is not KEY/DATE/REGION/s3/aws4_request")
	}
	if parts[2] != v.region {
		return credential{}, refuse(code, "the region %q is wrong; expecting %q", parts[2], v.region)
	}
	if parts[3] != "s3" {
		return credential{}, refuse(code, "the service %q is wrong; expecting \"s3\"", parts[3])
	}
	return credential{parts[0], parts[1], strings.Join(parts[1:], "/")}, nil
}

// Verify checks a request's signature at the time now. Errors are *Error.
func (v *Verifier) Verify(r *Request, now time.Time) (*Identity, error) {
	if auth, ok := r.Fields.Lookup("Authorization"); ok {
		if _, twice := r.Query.Lookup("X-Amz-Signature"); twice {
			return nil, refuse("InvalidArgument", "only one way of signing is allowed")
		}
		return v.verifyHeader(r, auth, now)
	}
	if _, ok := r.Query.Lookup("X-Amz-Algorithm"); ok {
		return v.verifyQuery(r, now)
	}
	return nil, refuse("AccessDenied", "the request is not signed")
}

func (v *Verifier) verifyHeader(r *Request, auth string, now time.Time) (*Identity, error) {
	const code = "AuthorizationHeaderMalformed"
	rest, ok := strings.CutPrefix(auth, algorithm)
	if !ok {
		return nil, refuse("InvalidRequest", "the authorization mechanism is not supported; use "+algorithm)
	}
	var text, signed, signature string
	for _, part := range strings.Split(rest, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "Credential":
			text = value
		case "SignedHeaders":
			signed = value
		case "Signature":
			signature = value
		}
	}
	cred, err := v.credential(text, code)
	if err != nil {
		return nil, err
	}
	stamp := r.Fields.Get("X-Amz-Date")
	at, err := time.Parse(timeFormat, stamp)
	if err != nil {
		return nil, refuse("AccessDenied", "header x-amz-date is missing or not YYYYMMDDTHHMMSSZ")
	}
	if d := now.Sub(at); d > v.skew || d < -v.skew {
		return nil, refuse("RequestTimeTooSkewed", "the request's time %s is too far from the server's", stamp)
	}
	payload := r.Fields.Get("X-Amz-Content-Sha256")
	if payload == "" {
		return nil, refuse("InvalidRequest", "missing required header x-amz-content-sha256")
	}
	id := &Identity{AccessKey: cred.access, PayloadHash: payload, Signature: signature, stamp: stamp, scope: cred.scope}
	return id, v.check(r, id, cred, signed, code)
}

func (v *Verifier) verifyQuery(r *Request, now time.Time) (*Identity, error) {
	const code = "AuthorizationQueryParametersError"
	if a := r.Query.Get("X-Amz-Algorithm"); a != algorithm {
		return nil, refuse(code, "X-Amz-Algorithm only supports %q", algorithm)
	}
	cred, err := v.credential(r.Query.Get("X-Amz-Credential"), code)
	if err != nil {
		return nil, err
	}
	stamp := r.Query.Get("X-Amz-Date")
	at, err := time.Parse(timeFormat, stamp)
	if err != nil {
		return nil, refuse(code, "X-Amz-Date must be in the ISO8601 format YYYYMMDDTHHMMSSZ")
	}
	span, err := strconv.Atoi(r.Query.Get("X-Amz-Expires"))
	if err != nil || span < 1 || time.Duration(span)*time.Second > longestPresign {
		return nil, refuse(code, "X-Amz-Expires must be a number of seconds from 1 to 604800")
	}
	if now.Add(v.skew).Before(at) {
		return nil, refuse("AccessDenied", "the request is not yet valid")
	}
	if now.After(at.Add(time.Duration(span) * time.Second)) {
		return nil, refuse("AccessDenied", "the request has expired")
	}
	payload := r.Fields.Get("X-Amz-Content-Sha256")
	if payload == "" {
		payload = UnsignedPayload
	}
	id := &Identity{AccessKey: cred.access, PayloadHash: payload, Signature: r.Query.Get("X-Amz-Signature"),
		Presigned: true, stamp: stamp, scope: cred.scope}
	return id, v.check(r, id, cred, r.Query.Get("X-Amz-SignedHeaders"), code)
}

// check compares the signature with the one that the secret gives.
func (v *Verifier) check(r *Request, id *Identity, cred credential, signed, code string) error {
	names := strings.Split(signed, ";")
	if len(names) > signedMost || !slices.Contains(names, "host") || !slices.IsSorted(names) {
		return refuse(code, "SignedHeaders must be sorted and hold \"host\"")
	}
	for i := range r.Fields {
		if name := r.Fields[i].Name; len(name) > 6 && strings.EqualFold(name[:6], "x-amz-") && !containsFold(names, name) {
			return refuse("AccessDenied", "header %s is present but not signed", strings.ToLower(name))
		}
	}
	if !strings.HasPrefix(id.stamp, cred.date) {
		return refuse(code, "the credential's date %s is not that of the request", cred.date)
	}
	key, ok := v.signingKey(cred)
	if !ok {
		return refuse("InvalidAccessKeyId", "the access key does not exist in our records")
	}
	id.key = key
	want := stringSignature(key, id.stamp, cred.scope, canonical(r, names, id.PayloadHash, id.Presigned))
	if subtle.ConstantTimeCompare([]byte(want), []byte(id.Signature)) != 1 {
		return refuse("SignatureDoesNotMatch", "the signature does not match the one that the secret key gives")
	}
	return nil
}

func containsFold(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}

// signingKey returns the key of a day, derived once.
func (v *Verifier) signingKey(c credential) ([]byte, bool) {
	at := c.access + "/" + c.date
	v.mu.RLock()
	key := v.derived[at]
	secret, ok := v.secrets[c.access]
	v.mu.RUnlock()
	if key != nil || !ok {
		return key, ok
	}
	key = derive(secret, c.date, v.region)
	v.mu.Lock()
	if len(v.derived) > 64 { // days pass
		clear(v.derived)
	}
	v.derived[at] = key
	v.mu.Unlock()
	return key, true
}

func derive(secret, date, region string) []byte {
	key := mac([]byte("AWS4"+secret), date)
	key = mac(key, region)
	key = mac(key, "s3")
	return mac(key, "aws4_request")
}

func mac(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

func stringSignature(key []byte, stamp, scope string, request []byte) string {
	sum := sha256.Sum256(request)
	return hex.EncodeToString(mac(key, algorithm+"\n"+stamp+"\n"+scope+"\n"+hex.EncodeToString(sum[:])))
}

// canonical returns the canonical request.
func canonical(r *Request, names []string, payload string, presigned bool) []byte {
	b := make([]byte, 0, 1024)
	b = append(append(b, r.Method...), '\n')
	b = append(AppendPercentEncoded(b, r.Path, true), '\n')
	b = append(appendQuery(b, r.Query, presigned), '\n')
	for _, name := range names {
		b = append(append(b, name...), ':')
		first := true
		for i := range r.Fields {
			if !strings.EqualFold(r.Fields[i].Name, name) {
				continue
			}
			if !first {
				b = append(b, ',')
			}
			first = false
			b = appendSqueezed(b, r.Fields[i].Value)
		}
		b = append(b, '\n')
	}
	b = append(b, '\n')
	for i, name := range names {
		if i > 0 {
			b = append(b, ';')
		}
		b = append(b, name...)
	}
	b = append(b, '\n')
	return append(b, payload...)
}

// appendSqueezed folds runs of spaces into one.
func appendSqueezed(b []byte, value string) []byte {
	for i := 0; i < len(value); i++ {
		if value[i] == ' ' && i > 0 && value[i-1] == ' ' {
			continue
		}
		b = append(b, value[i])
	}
	return b
}

func appendQuery(b []byte, q Query, presigned bool) []byte {
	pairs := make([]string, 0, len(q))
	for _, p := range q {
		if presigned && p.Name == "X-Amz-Signature" {
			continue
		}
		pairs = append(pairs, string(AppendPercentEncoded(append(AppendPercentEncoded(nil, p.Name, false), '='), p.Value, false)))
	}
	slices.Sort(pairs)
	return append(b, strings.Join(pairs, "&")...)
}

const upperHex = "0123456789ABCDEF"

// AppendPercentEncoded percent-encodes as the specification has it: all but letters,
// digits, "-._~" and, in a path, the slash.
func AppendPercentEncoded(b []byte, s string, path bool) []byte {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '-' || c == '.' || c == '_' || c == '~' || path && c == '/' {
			b = append(b, c)
		} else {
			b = append(b, '%', upperHex[c>>4], upperHex[c&15])
		}
	}
	return b
}

// ChunkSigner gives the signatures of a streamed body's chunks, each over the
// one before.
type ChunkSigner struct {
	id       *Identity
	previous string
}

// NewChunkSigner returns the signer of the chunks that follow a verified request.
func (id *Identity) NewChunkSigner() *ChunkSigner { return &ChunkSigner{id, id.Signature} }

// SignChunk returns the signature of the next chunk, given its SHA-256.
func (c *ChunkSigner) SignChunk(sum []byte) string {
	c.previous = hex.EncodeToString(mac(c.id.key, "AWS4-HMAC-SHA256-PAYLOAD\n"+c.id.stamp+"\n"+c.id.scope+"\n"+
		c.previous+"\n"+EmptyPayloadHash+"\n"+hex.EncodeToString(sum)))
	return c.previous
}

// SignTrailer returns the signature of the trailer, given the SHA-256 of its
// lines, each "name:value\n".
func (c *ChunkSigner) SignTrailer(sum []byte) string {
	return hex.EncodeToString(mac(c.id.key, "AWS4-HMAC-SHA256-TRAILER\n"+c.id.stamp+"\n"+c.id.scope+"\n"+
		c.previous+"\n"+hex.EncodeToString(sum)))
}

// Signer signs requests for clients: the load tool, proofs and tests.
type Signer struct {
	AccessKey, SecretKey, Region string
}

// Sign returns the fields to add to a request: X-Amz-Date,
// X-Amz-Content-Sha256 and Authorization, and the identity for chunks. Host
// must be among r's fields.
func (s *Signer) Sign(r *Request, payload string, now time.Time) (http1.Fields, *Identity) {
	stamp := now.UTC().Format(timeFormat)
	added := http1.Fields{{Name: "x-amz-content-sha256", Value: payload}, {Name: "x-amz-date", Value: stamp}}
	all := append(slices.Clone(r.Fields), added...)
	names := []string{}
	for i := range all {
		if n := strings.ToLower(all[i].Name); n == "host" || strings.HasPrefix(n, "x-amz-") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	scope := stamp[:8] + "/" + s.Region + "/s3/aws4_request"
	key := derive(s.SecretKey, stamp[:8], s.Region)
	signed := Request{Method: r.Method, Path: r.Path, Query: r.Query, Fields: all}
	signature := stringSignature(key, stamp, scope, canonical(&signed, names, payload, false))
	auth := algorithm + " Credential=" + s.AccessKey + "/" + scope + ", SignedHeaders=" + strings.Join(names, ";") +
		", Signature=" + signature
	id := &Identity{AccessKey: s.AccessKey, PayloadHash: payload, Signature: signature, key: key, stamp: stamp, scope: scope}
	return append(added, http1.Field{Name: "Authorization", Value: auth}), id
}

// ParseQuery decodes a raw query; "+" is a space.
func ParseQuery(raw string, most int) (Query, error) {
	var q Query
	for raw != "" {
		var one string
		one, raw, _ = strings.Cut(raw, "&")
		if one == "" {
			continue
		}
		if len(q) >= most {
			return nil, refuse("InvalidArgument", "over %d query parameters", most)
		}
		name, value, _ := strings.Cut(one, "=")
		n, err := unescape(name)
		if err != nil {
			return nil, err
		}
		v, err := unescape(value)
		if err != nil {
			return nil, err
		}
		q = append(q, Param{n, v})
	}
	return q, nil
}

func unescape(s string) (string, error) {
	if !strings.ContainsAny(s, "%+") {
		return s, nil
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '+':
			b = append(b, ' ')
		case s[i] != '%':
			b = append(b, s[i])
		default:
			if i+2 >= len(s) {
				return "", refuse("InvalidURI", "bad escape in the query")
			}
			v, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
			if err != nil {
				return "", refuse("InvalidURI", "bad escape in the query")
			}
			b = append(b, byte(v))
			i += 2
		}
	}
	return string(b), nil
}
