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
	at     = time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	signer = Signer{AccessKey: "AKID", SecretKey: "secret", Region: "us-east-1"}
)

func verifier() *Verifier {
	return NewVerifier("us-east-1", 15*time.Minute, map[string]string{"AKID": "secret"})
}

// The worked example of the public specification (GET Object).
func TestPublishedExample(t *testing.T) {
	r := &Request{Method: "GET", Path: "/test.txt", Fields: http1.Fields{
		{Name: "Host", Value: "examplebucket.s3.amazonaws.com"}, {Name: "Range", Value: "bytes=0-9"},
		{Name: "x-amz-content-sha256", Value: EmptyPayloadHash}, {Name: "x-amz-date", Value: "20130524T000000Z"}}}
	key := derive("wJalrXUtnFEMI/K7MDENG/bPxRfiCYEXAMPLEKEY", "20130524", "us-east-1")
	names := []string{"host", "range", "x-amz-content-sha256", "x-amz-date"}
	got := stringSignature(key, "20130524T000000Z", "20130524/us-east-1/s3/aws4_request", canonical(r, names, EmptyPayloadHash, false))
	if want := "f0e8bdb87c964420e857bd35b5d6ed310bd44f0170aba48dd91039c6036bdb41"; got != want {
		t.Errorf("signature %s, want %s", got, want)
	}
}

func signed(change func(r *Request)) *Request {
	r := &Request{Method: "PUT", Path: "/b/a b/é%2F", Query: Query{{"x", "1+2"}, {"a", ""}},
		Fields: http1.Fields{{Name: "Host", Value: "h:1"}, {Name: "x-amz-meta-a", Value: "one   two"}}}
	added, _ := signer.Sign(r, UnsignedPayload, at)
	r.Fields = append(r.Fields, added...)
	if change != nil {
		change(r)
	}
	return r
}

func set(r *Request, name, value string) {
	for i := range r.Fields {
		if strings.EqualFold(r.Fields[i].Name, name) {
			r.Fields[i].Value = value
		}
	}
}

func replaceAuth(r *Request, old, new string) {
	set(r, "Authorization", strings.Replace(r.Fields.Get("Authorization"), old, new, 1))
}

func TestVerify(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *Request)
		now    time.Time
		code   string
	}{
		{"good", nil, at, ""},
		{"folded spaces are one", func(r *Request) { set(r, "x-amz-meta-a", "one two") }, at, ""},
		{"within the skew", nil, at.Add(14 * time.Minute), ""},
		{"late", nil, at.Add(16 * time.Minute), "RequestTimeTooSkewed"},
		{"early", nil, at.Add(-16 * time.Minute), "RequestTimeTooSkewed"},
		{"method", func(r *Request) { r.Method = "GET" }, at, "SignatureDoesNotMatch"},
		{"path", func(r *Request) { r.Path = "/b/a b/é/" }, at, "SignatureDoesNotMatch"},
		{"query", func(r *Request) { r.Query = append(r.Query, Param{"acl", ""}) }, at, "SignatureDoesNotMatch"},
		{"header", func(r *Request) { set(r, "x-amz-meta-a", "other") }, at, "SignatureDoesNotMatch"},
		{"payload", func(r *Request) { set(r, "x-amz-content-sha256", EmptyPayloadHash) }, at, "SignatureDoesNotMatch"},
		{"header not signed", func(r *Request) { r.Fields = append(r.Fields, http1.Field{Name: "X-Amz-Acl", Value: "public"}) }, at, "AccessDenied"},
		{"unknown key", func(r *Request) { replaceAuth(r, "AKID", "OTHER") }, at, "InvalidAccessKeyId"},
		{"region", func(r *Request) { replaceAuth(r, "us-east-1", "mars") }, at, "AuthorizationHeaderMalformed"},
		{"no host", func(r *Request) { replaceAuth(r, "host;", "") }, at, "AuthorizationHeaderMalformed"},
		{"date of another day", func(r *Request) { replaceAuth(r, "20261201", "20261130") }, at, "AuthorizationHeaderMalformed"},
		{"empty signature", func(r *Request) {
			a := r.Fields.Get("Authorization")
			set(r, "Authorization", a[:strings.Index(a, "Signature=")+len("Signature=")])
		}, at, "SignatureDoesNotMatch"},
		{"other way", func(r *Request) { set(r, "Authorization", "Basic abc") }, at, "InvalidRequest"},
		{"unsigned", func(r *Request) { r.Fields = r.Fields[:1] }, at, "AccessDenied"},
	} {
		_, err := verifier().Verify(signed(c.change), c.now)
		var e *Error
		if errors.As(err, &e); c.code == "" && err != nil || c.code != "" && (e == nil || e.Code != c.code) {
			t.Errorf("%s: %v, want %q", c.name, err, c.code)
		}
	}
	wrong := NewVerifier("us-east-1", time.Minute, map[string]string{"AKID": "secretx"})
	if _, err := wrong.Verify(signed(nil), at); err == nil {
		t.Error("a wrong secret passes")
	}
}

func presigned(span string, change func(r *Request)) *Request {
	r := &Request{Method: "GET", Path: "/b/k", Fields: http1.Fields{{Name: "Host", Value: "h"}}, Query: Query{
		{"X-Amz-Algorithm", algorithm}, {"X-Amz-Credential", "AKID/20261201/us-east-1/s3/aws4_request"},
		{"X-Amz-Date", "20261201T100000Z"}, {"X-Amz-Expires", span}, {"X-Amz-SignedHeaders", "host"}}}
	key := derive("secret", "20261201", "us-east-1")
	sig := stringSignature(key, "20261201T100000Z", "20261201/us-east-1/s3/aws4_request", canonical(r, []string{"host"}, UnsignedPayload, true))
	r.Query = append(r.Query, Param{"X-Amz-Signature", sig})
	if change != nil {
		change(r)
	}
	return r
}

func TestPresigned(t *testing.T) {
	for _, c := range []struct {
		name, span string
		change     func(r *Request)
		now        time.Time
		ok         bool
	}{
		{"good", "60", nil, at.Add(59 * time.Second), true},
		{"over", "60", nil, at.Add(61 * time.Second), false},
		{"too long", "604801", nil, at, false},
		{"none", "0", nil, at, false},
		{"not yet", "60", nil, at.Add(-time.Hour), false},
		{"longer by hand", "60", func(r *Request) { r.Query[3].Value = "600" }, at, false},
		{"other key", "60", func(r *Request) { r.Path = "/b/other" }, at, false},
		{"also in a header", "60", func(r *Request) {
			r.Fields = append(r.Fields, http1.Field{Name: "Authorization", Value: "x"})
		}, at, false},
	} {
		if _, err := verifier().Verify(presigned(c.span, c.change), c.now); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// Whatever comes, the canonical form is of one line for each thing, decodes to
// what it was made of, and verifying does not panic.
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
		if _, err := verifier().Verify(r, at); err == nil {
			t.Errorf("a signature made up passes: %q", auth)
		}
		escaped := string(AppendPercentEncoded(nil, path, true))
		if strings.ContainsAny(escaped, "\n ?&") {
			t.Errorf("path %q escapes to %q", path, escaped)
		}
		if back, err := unescape(escaped); err != nil || back != path {
			t.Errorf("path %q comes back as %q, %v", path, back, err)
		}
		pairs := strings.Split(string(appendQuery(nil, q, false)), "&")
		if !slices.IsSorted(pairs) || len(q) > 0 && len(pairs) != len(q) {
			t.Errorf("query %q: pairs %q", query, pairs)
		}
	})
}
