package sigv4

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"arrowwalk/internal/http1"
)

var (
	signedAt = time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	signer   = Signer{AccessKey: "AKID", SecretKey: "secret", Region: "us-east-1"}
)

func newTestVerifier() *Verifier {
	return NewVerifier("us-east-1", 15*time.Minute, map[string]string{"AKID": "secret"})
}

// The signature must equal that of the worked example (GET Object) in the
// public specification.
func TestPublishedExample(t *testing.T) {
	r := &Request{Method: "GET", Path: "/test.txt", Fields: http1.Fields{
		{Name: "Host", Value: "examplebucket.s3.amazonaws.com"}, {Name: "Range", Value: "bytes=0-9"},
		{Name: "x-amz-content-sha256", Value: EmptyPayloadHash}, {Name: "x-amz-date", Value: "20130524T000000Z"}}}
	key := deriveSigningKey("wJalrXUtnFEMI/K7MDENG/bPxRfiCYEXAMPLEKEY", "20130524", "us-east-1")
	names := []string{"host", "range", "x-amz-content-sha256", "x-amz-date"}
	got := signCanonicalRequest(key, "20130524T000000Z", "20130524/us-east-1/s3/aws4_request", canonicalRequest(r, names, EmptyPayloadHash, false))
	if want := "f0e8bdb87c964420e857bd35b5d6ed310bd44f0170aba48dd91039c6036bdb41"; got != want {
		t.Errorf("signature %s, want %s", got, want)
	}
}

func signedRequest(change func(r *Request)) *Request {
	r := &Request{Method: "PUT", Path: "/b/a b/é%2F", Query: Query{{"x", "1+2"}, {"a", ""}},
		Fields: http1.Fields{{Name: "Host", Value: "h:1"}, {Name: "x-amz-meta-a", Value: "one   two"}}}
	added, _ := signer.Sign(r, UnsignedPayload, signedAt)
	r.Fields = append(r.Fields, added...)
	if change != nil {
		change(r)
	}
	return r
}

func setField(r *Request, name, value string) {
	for i := range r.Fields {
		if strings.EqualFold(r.Fields[i].Name, name) {
			r.Fields[i].Value = value
		}
	}
}

func replaceAuth(r *Request, old, new string) {
	setField(r, "Authorization", strings.Replace(r.Fields.Get("Authorization"), old, new, 1))
}

func TestVerify(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *Request)
		now    time.Time
		code   string
	}{
		{"good", nil, signedAt, ""},
		{"collapsed spaces", func(r *Request) { setField(r, "x-amz-meta-a", "one two") }, signedAt, ""},
		{"within the skew", nil, signedAt.Add(14 * time.Minute), ""},
		{"late", nil, signedAt.Add(16 * time.Minute), "RequestTimeTooSkewed"},
		{"early", nil, signedAt.Add(-16 * time.Minute), "RequestTimeTooSkewed"},
		{"method", func(r *Request) { r.Method = "GET" }, signedAt, "SignatureDoesNotMatch"},
		{"path", func(r *Request) { r.Path = "/b/a b/é/" }, signedAt, "SignatureDoesNotMatch"},
		{"query", func(r *Request) { r.Query = append(r.Query, Param{"acl", ""}) }, signedAt, "SignatureDoesNotMatch"},
		{"header", func(r *Request) { setField(r, "x-amz-meta-a", "other") }, signedAt, "SignatureDoesNotMatch"},
		{"payload", func(r *Request) { setField(r, "x-amz-content-sha256", EmptyPayloadHash) }, signedAt, "SignatureDoesNotMatch"},
		{"header not signed", func(r *Request) { r.Fields = append(r.Fields, http1.Field{Name: "X-Amz-Acl", Value: "public"}) }, signedAt, "AccessDenied"},
		{"unknown key", func(r *Request) { replaceAuth(r, "AKID", "OTHER") }, signedAt, "InvalidAccessKeyId"},
		{"region", func(r *Request) { replaceAuth(r, "us-east-1", "mars") }, signedAt, "AuthorizationHeaderMalformed"},
		{"host not signed", func(r *Request) { replaceAuth(r, "host;", "") }, signedAt, "AuthorizationHeaderMalformed"},
		{"credential of another day", func(r *Request) { replaceAuth(r, "20261201", "20261130") }, signedAt, "AuthorizationHeaderMalformed"},
		{"empty signature", func(r *Request) {
			a := r.Fields.Get("Authorization")
			setField(r, "Authorization", a[:strings.Index(a, "Signature=")+len("Signature=")])
		}, signedAt, "SignatureDoesNotMatch"},
		{"unsupported mechanism", func(r *Request) { setField(r, "Authorization", "Basic abc") }, signedAt, "InvalidRequest"},
		{"unsigned", func(r *Request) { r.Fields = r.Fields[:1] }, signedAt, "AccessDenied"},
	} {
		_, err := newTestVerifier().Verify(signedRequest(c.change), c.now)
		var e *Error
		if errors.As(err, &e); c.code == "" && err != nil || c.code != "" && (e == nil || e.Code != c.code) {
			t.Errorf("%s: %v, want %q", c.name, err, c.code)
		}
	}
	wrong := NewVerifier("us-east-1", time.Minute, map[string]string{"AKID": "secretx"})
	if _, err := wrong.Verify(signedRequest(nil), signedAt); err == nil {
		t.Error("a signature with a wrong secret was accepted")
	}
}

func presignedRequest(expires string, change func(r *Request)) *Request {
	r := &Request{Method: "GET", Path: "/b/k", Fields: http1.Fields{{Name: "Host", Value: "h"}}, Query: Query{
		{"X-Amz-Algorithm", algorithm}, {"X-Amz-Credential", "AKID/20261201/us-east-1/s3/aws4_request"},
		{"X-Amz-Date", "20261201T100000Z"}, {"X-Amz-Expires", expires}, {"X-Amz-SignedHeaders", "host"}}}
	key := deriveSigningKey("secret", "20261201", "us-east-1")
	sig := signCanonicalRequest(key, "20261201T100000Z", "20261201/us-east-1/s3/aws4_request", canonicalRequest(r, []string{"host"}, UnsignedPayload, true))
	r.Query = append(r.Query, Param{"X-Amz-Signature", sig})
	if change != nil {
		change(r)
	}
	return r
}

func TestPresigned(t *testing.T) {
	for _, c := range []struct {
		name, expires string
		change        func(r *Request)
		now           time.Time
		ok            bool
	}{
		{"good", "60", nil, signedAt.Add(59 * time.Second), true},
		{"over", "60", nil, signedAt.Add(61 * time.Second), false},
		{"expiry too long", "604801", nil, signedAt, false},
		{"none", "0", nil, signedAt, false},
		{"not yet valid", "60", nil, signedAt.Add(-time.Hour), false},
		{"expiry changed", "60", func(r *Request) { r.Query[3].Value = "600" }, signedAt, false},
		{"other key", "60", func(r *Request) { r.Path = "/b/other" }, signedAt, false},
		{"also in a header", "60", func(r *Request) {
			r.Fields = append(r.Fields, http1.Field{Name: "Authorization", Value: "x"})
		}, signedAt, false},
	} {
		if _, err := newTestVerifier().Verify(presignedRequest(c.expires, c.change), c.now); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// For any input, the canonical form has one entry per parameter and decodes to
// its source, and Verify accepts no forged signature and does not panic.
func FuzzCanonical(f *testing.F) {
	f.Add("GET", "/b/k", "a=b&c", "x-amz-meta-a", "v", "AWS4-HMAC-SHA256 Credential=AKID/20261201/us-east-1/s3/aws4_request, SignedHeaders=host, Signature=00")
	f.Add("PUT", "/%2F/../ ", "%zz=+&=&&&", "host", "  a   b ", "AWS4-HMAC-SHA256 ,,,=")
	f.Fuzz(func(t *testing.T, method, path, query, name, value, auth string) {
		q, err := ParseQuery(query, 20)
		if err != nil {
			return
		}
		r := &Request{Method: method, Path: path, Query: q, Fields: http1.Fields{{Name: "Host", Value: "h"}, {Name: name, Value: value},
			{Name: "Authorization", Value: auth}, {Name: "X-Amz-Date", Value: "20261201T100000Z"}, {Name: "x-amz-content-sha256", Value: UnsignedPayload}}}
		if _, err := newTestVerifier().Verify(r, signedAt); err == nil {
			t.Errorf("a forged signature was accepted: %q", auth)
		}
		escaped := string(AppendPercentEncoded(nil, path, true))
		if strings.ContainsAny(escaped, "\n ?&") {
			t.Errorf("path %q escapes to %q", path, escaped)
		}
		if decoded, err := unescapeQuery(escaped); err != nil || decoded != path {
			t.Errorf("path %q decodes to %q, %v", path, decoded, err)
		}
		pairs := strings.Split(string(appendCanonicalQuery(nil, q, false)), "&")
		if !slices.IsSorted(pairs) || len(q) > 0 && len(pairs) != len(q) {
			t.Errorf("query %q: pairs %q", query, pairs)
		}
	})
}
