// Package sigv4 creates and verifies AWS Signature Version 4 signatures, as
// the public S3 specification defines them: in the Authorization header, in a
// presigned query and on the chunks of a streamed body.
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
	// UnsignedPayload is the payload hash of an unsigned body.
	UnsignedPayload = "UNSIGNED-PAYLOAD"
	// EmptyPayloadHash is the SHA-256 of an empty body.
	EmptyPayloadHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

	maxPresignExpiry = 7 * 24 * time.Hour
	maxSignedHeaders = 64 // number of names in SignedHeaders
)

// Error is a verification failure with an error code of the S3 specification.
type Error struct {
	Code    string
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// newError returns an Error with a formatted message.
func newError(code, format string, args ...any) error {
	return &Error{code, fmt.Sprintf(format, args...)}
}

// Param is a decoded query parameter.
type Param struct{ Name, Value string }

// Query holds a request's query parameters in order.
type Query []Param

// Get returns the first value of a parameter, or "".
func (q Query) Get(name string) string {
	value, _ := q.Lookup(name)
	return value
}

// Lookup returns the first value of a parameter and whether the parameter
// exists.
func (q Query) Lookup(name string) (string, bool) {
	for _, p := range q {
		if p.Name == name {
			return p.Value, true
		}
	}
	return "", false
}

// Request holds the parts of a request that a signature covers.
type Request struct {
	Method string
	Path   string // percent-decoded
	Query  Query
	Fields http1.Fields
}

// Identity identifies the signer of a request. It also holds the key for
// signing the chunks of a streamed body.
type Identity struct {
	AccessKey   string
	PayloadHash string // x-amz-content-sha256, or UnsignedPayload
	Signature   string // signature of the request; the first chunk signature covers it
	Presigned   bool

	signingKey []byte
	timestamp  string
	scope      string
}

// Verifier verifies signatures against a set of access keys. It is safe for
// concurrent use.
type Verifier struct {
	region  string
	maxSkew time.Duration

	mu          sync.RWMutex
	secrets     map[string]string
	signingKeys map[string][]byte // cache of derived keys by access key and date
}

// NewVerifier returns a Verifier for a region. maxSkew is the largest accepted
// difference between the clocks of client and server; secrets maps access keys
// to secret keys.
func NewVerifier(region string, maxSkew time.Duration, secrets map[string]string) *Verifier {
	return &Verifier{region: region, maxSkew: maxSkew, secrets: secrets, signingKeys: map[string][]byte{}}
}

// credential is a parsed credential of the form
// ACCESS/DATE/REGION/SERVICE/aws4_request.
type credential struct{ accessKey, date, scope string }

// parseCredential parses a credential. Errors have the given code.
func (v *Verifier) parseCredential(text, code string) (credential, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 5 || parts[4] != "aws4_request" || len(parts[1]) != 8 {
		return credential{}, newError(code, "the credential is not KEY/DATE/REGION/s3/aws4_request")
	}
	if parts[2] != v.region {
		return credential{}, newError(code, "the region %q is wrong; expecting %q", parts[2], v.region)
	}
	if parts[3] != "s3" {
		return credential{}, newError(code, "the service %q is wrong; expecting \"s3\"", parts[3])
	}
	return credential{parts[0], parts[1], strings.Join(parts[1:], "/")}, nil
}

// Verify checks the signature of a request at the time now. Errors are of type
// *Error.
func (v *Verifier) Verify(r *Request, now time.Time) (*Identity, error) {
	if auth, ok := r.Fields.Lookup("Authorization"); ok {
		if _, both := r.Query.Lookup("X-Amz-Signature"); both {
			return nil, newError("InvalidArgument", "the request is signed in both the Authorization header and the query")
		}
		return v.verifyHeader(r, auth, now)
	}
	if _, ok := r.Query.Lookup("X-Amz-Algorithm"); ok {
		return v.verifyQuery(r, now)
	}
	return nil, newError("AccessDenied", "the request has no signature")
}

// verifyHeader verifies a signature in the Authorization header.
func (v *Verifier) verifyHeader(r *Request, auth string, now time.Time) (*Identity, error) {
	const code = "AuthorizationHeaderMalformed"
	rest, ok := strings.CutPrefix(auth, algorithm)
	if !ok {
		return nil, newError("InvalidRequest", "the authorization mechanism is not supported; use "+algorithm)
	}
	var credentialText, signedHeaders, signature string
	for _, part := range strings.Split(rest, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch name {
		case "Credential":
			credentialText = value
		case "SignedHeaders":
			signedHeaders = value
		case "Signature":
			signature = value
		}
	}
	cred, err := v.parseCredential(credentialText, code)
	if err != nil {
		return nil, err
	}
	timestamp := r.Fields.Get("X-Amz-Date")
	signedAt, err := time.Parse(timeFormat, timestamp)
	if err != nil {
		return nil, newError("AccessDenied", "header x-amz-date is missing or not YYYYMMDDTHHMMSSZ")
	}
	if skew := now.Sub(signedAt); skew > v.maxSkew || skew < -v.maxSkew {
		return nil, newError("RequestTimeTooSkewed", "the request's time %s is too far from the server's", timestamp)
	}
	payload := r.Fields.Get("X-Amz-Content-Sha256")
	if payload == "" {
		return nil, newError("InvalidRequest", "missing required header x-amz-content-sha256")
	}
	id := &Identity{AccessKey: cred.accessKey, PayloadHash: payload, Signature: signature, timestamp: timestamp, scope: cred.scope}
	return id, v.checkSignature(r, id, cred, signedHeaders, code)
}

// verifyQuery verifies a signature in a presigned query.
func (v *Verifier) verifyQuery(r *Request, now time.Time) (*Identity, error) {
	const code = "AuthorizationQueryParametersError"
	if algorithmParam := r.Query.Get("X-Amz-Algorithm"); algorithmParam != algorithm {
		return nil, newError(code, "X-Amz-Algorithm only supports %q", algorithm)
	}
	cred, err := v.parseCredential(r.Query.Get("X-Amz-Credential"), code)
	if err != nil {
		return nil, err
	}
	timestamp := r.Query.Get("X-Amz-Date")
	signedAt, err := time.Parse(timeFormat, timestamp)
	if err != nil {
		return nil, newError(code, "X-Amz-Date must be in the ISO8601 format YYYYMMDDTHHMMSSZ")
	}
	expirySeconds, err := strconv.Atoi(r.Query.Get("X-Amz-Expires"))
	if err != nil || expirySeconds < 1 || time.Duration(expirySeconds)*time.Second > maxPresignExpiry {
		return nil, newError(code, "X-Amz-Expires must be a number of seconds from 1 to 604800")
	}
	if now.Add(v.maxSkew).Before(signedAt) {
		return nil, newError("AccessDenied", "the request is not yet valid")
	}
	if now.After(signedAt.Add(time.Duration(expirySeconds) * time.Second)) {
		return nil, newError("AccessDenied", "the request has expired")
	}
	payload := r.Fields.Get("X-Amz-Content-Sha256")
	if payload == "" {
		payload = UnsignedPayload
	}
	id := &Identity{AccessKey: cred.accessKey, PayloadHash: payload, Signature: r.Query.Get("X-Amz-Signature"),
		Presigned: true, timestamp: timestamp, scope: cred.scope}
	return id, v.checkSignature(r, id, cred, r.Query.Get("X-Amz-SignedHeaders"), code)
}

// checkSignature compares the signature with the one computed from the secret
// key, and sets id.signingKey.
func (v *Verifier) checkSignature(r *Request, id *Identity, cred credential, signedHeaders, code string) error {
	names := strings.Split(signedHeaders, ";")
	if len(names) > maxSignedHeaders || !slices.Contains(names, "host") || !slices.IsSorted(names) {
		return newError(code, "SignedHeaders must be sorted and contain \"host\"")
	}
	for i := range r.Fields {
		if name := r.Fields[i].Name; len(name) > 6 && strings.EqualFold(name[:6], "x-amz-") && !containsFold(names, name) {
			return newError("AccessDenied", "header %s is present but not signed", strings.ToLower(name))
		}
	}
	if !strings.HasPrefix(id.timestamp, cred.date) {
		return newError(code, "the date %s of the credential differs from that of the request", cred.date)
	}
	key, ok := v.signingKey(cred)
	if !ok {
		return newError("InvalidAccessKeyId", "the access key does not exist in our records")
	}
	id.signingKey = key
	want := signCanonicalRequest(key, id.timestamp, cred.scope, canonicalRequest(r, names, id.PayloadHash, id.Presigned))
	if subtle.ConstantTimeCompare([]byte(want), []byte(id.Signature)) != 1 {
		return newError("SignatureDoesNotMatch", "the signature does not match the one computed from the secret key")
	}
	return nil
}

// containsFold reports whether names contains name, ignoring case.
func containsFold(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}

// signingKey returns the signing key of a credential for its day. Keys are
// cached.
func (v *Verifier) signingKey(cred credential) ([]byte, bool) {
	cacheKey := cred.accessKey + "/" + cred.date
	v.mu.RLock()
	key := v.signingKeys[cacheKey]
	secret, ok := v.secrets[cred.accessKey]
	v.mu.RUnlock()
	if key != nil || !ok {
		return key, ok
	}
	key = deriveSigningKey(secret, cred.date, v.region)
	v.mu.Lock()
	if len(v.signingKeys) > 64 { // keys of past days are never used again
		clear(v.signingKeys)
	}
	v.signingKeys[cacheKey] = key
	v.mu.Unlock()
	return key, true
}

// deriveSigningKey returns the signing key for a date and a region.
func deriveSigningKey(secret, date, region string) []byte {
	key := hmacSHA256([]byte("AWS4"+secret), date)
	key = hmacSHA256(key, region)
	key = hmacSHA256(key, "s3")
	return hmacSHA256(key, "aws4_request")
}

// hmacSHA256 returns the HMAC-SHA256 of text.
func hmacSHA256(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// signCanonicalRequest returns the signature of a canonical request in
// hexadecimal.
func signCanonicalRequest(key []byte, timestamp, scope string, request []byte) string {
	sum := sha256.Sum256(request)
	return hex.EncodeToString(hmacSHA256(key, algorithm+"\n"+timestamp+"\n"+scope+"\n"+hex.EncodeToString(sum[:])))
}

// canonicalRequest returns the canonical form of a request. names are the
// signed headers in lower case.
func canonicalRequest(r *Request, names []string, payload string, presigned bool) []byte {
	b := make([]byte, 0, 1024)
	b = append(append(b, r.Method...), '\n')
	b = append(AppendPercentEncoded(b, r.Path, true), '\n')
	b = append(appendCanonicalQuery(b, r.Query, presigned), '\n')
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
			b = appendCollapsed(b, r.Fields[i].Value)
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

// appendCollapsed appends value with each run of spaces replaced by a single
// space.
func appendCollapsed(b []byte, value string) []byte {
	for i := 0; i < len(value); i++ {
		if value[i] == ' ' && i > 0 && value[i-1] == ' ' {
			continue
		}
		b = append(b, value[i])
	}
	return b
}

// appendCanonicalQuery appends the canonical form of a query. The signature
// itself is left out of a presigned one.
func appendCanonicalQuery(b []byte, q Query, presigned bool) []byte {
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

// AppendPercentEncoded appends s percent-encoded as the specification
// requires: all bytes but letters, digits, "-._~" and, in a path, the slash
// are encoded.
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

// ChunkSigner computes the signatures of the chunks of a streamed body. Each
// signature covers the one before, so chunks must be signed in order. It is
// not safe for concurrent use.
type ChunkSigner struct {
	identity          *Identity
	previousSignature string
}

// NewChunkSigner returns a signer for the chunks of the request body.
func (id *Identity) NewChunkSigner() *ChunkSigner { return &ChunkSigner{id, id.Signature} }

// SignChunk returns the signature of the next chunk, given its SHA-256.
func (c *ChunkSigner) SignChunk(sum []byte) string {
	c.previousSignature = hex.EncodeToString(hmacSHA256(c.identity.signingKey, "AWS4-HMAC-SHA256-PAYLOAD\n"+c.identity.timestamp+"\n"+c.identity.scope+"\n"+
		c.previousSignature+"\n"+EmptyPayloadHash+"\n"+hex.EncodeToString(sum)))
	return c.previousSignature
}

// SignTrailer returns the signature of the trailer, given the SHA-256 of its
// lines, each of the form "name:value\n".
func (c *ChunkSigner) SignTrailer(sum []byte) string {
	return hex.EncodeToString(hmacSHA256(c.identity.signingKey, "AWS4-HMAC-SHA256-TRAILER\n"+c.identity.timestamp+"\n"+c.identity.scope+"\n"+
		c.previousSignature+"\n"+hex.EncodeToString(sum)))
}

// Signer signs requests of clients: the load generator, the proofs and tests.
type Signer struct {
	AccessKey, SecretKey, Region string
}

// Sign returns the headers to add to a request, X-Amz-Content-Sha256,
// X-Amz-Date and Authorization, and the identity for signing chunks. The
// fields of r must include Host.
func (s *Signer) Sign(r *Request, payload string, now time.Time) (http1.Fields, *Identity) {
	timestamp := now.UTC().Format(timeFormat)
	added := http1.Fields{{Name: "x-amz-content-sha256", Value: payload}, {Name: "x-amz-date", Value: timestamp}}
	fields := append(slices.Clone(r.Fields), added...)
	names := []string{}
	for i := range fields {
		if n := strings.ToLower(fields[i].Name); n == "host" || strings.HasPrefix(n, "x-amz-") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	scope := timestamp[:8] + "/" + s.Region + "/s3/aws4_request"
	key := deriveSigningKey(s.SecretKey, timestamp[:8], s.Region)
	signed := Request{Method: r.Method, Path: r.Path, Query: r.Query, Fields: fields}
	signature := signCanonicalRequest(key, timestamp, scope, canonicalRequest(&signed, names, payload, false))
	auth := algorithm + " Credential=" + s.AccessKey + "/" + scope + ", SignedHeaders=" + strings.Join(names, ";") +
		", Signature=" + signature
	id := &Identity{AccessKey: s.AccessKey, PayloadHash: payload, Signature: signature, signingKey: key, timestamp: timestamp, scope: scope}
	return append(added, http1.Field{Name: "Authorization", Value: auth}), id
}

// ParseQuery decodes a raw query string of at most maxParams parameters. "+"
// decodes to a space.
func ParseQuery(raw string, maxParams int) (Query, error) {
	var q Query
	for raw != "" {
		var pair string
		pair, raw, _ = strings.Cut(raw, "&")
		if pair == "" {
			continue
		}
		if len(q) >= maxParams {
			return nil, newError("InvalidArgument", "the query has more than %d parameters", maxParams)
		}
		name, value, _ := strings.Cut(pair, "=")
		n, err := unescapeQuery(name)
		if err != nil {
			return nil, err
		}
		v, err := unescapeQuery(value)
		if err != nil {
			return nil, err
		}
		q = append(q, Param{n, v})
	}
	return q, nil
}

// unescapeQuery decodes percent-encoding and "+" in a query.
func unescapeQuery(s string) (string, error) {
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
				return "", newError("InvalidURI", "invalid percent-encoding in the query")
			}
			v, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
			if err != nil {
				return "", newError("InvalidURI", "invalid percent-encoding in the query")
			}
			b = append(b, byte(v))
			i += 2
		}
	}
	return string(b), nil
}
