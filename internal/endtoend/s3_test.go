// Package endtoend drives a whole gateway with a stock S3 client.
package endtoend

import (
	"bytes"
	"context"
	"crypto/md5"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	"go.uber.org/goleak"

	"arrowwalk/internal/config"
	s3front "arrowwalk/internal/front/s3"
	"arrowwalk/internal/gateway"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type logWriter struct{ t *testing.T }

func (w logWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

// start serves on loopback with what change makes of the default settings.
func start(t *testing.T, data string, change func(*config.Config)) *gateway.Gateway {
	t.Helper()
	return startReclaiming(t, data, s3front.ReclaimTimes{}, change)
}

// startReclaiming is start with other times of the deletion of unused data.
func startReclaiming(t *testing.T, data string, reclaim s3front.ReclaimTimes, change func(*config.Config)) *gateway.Gateway {
	t.Helper()
	cfg := config.Default()
	cfg.Listen = "127.0.0.1:0"
	if change != nil {
		change(cfg)
	}
	log := slog.New(slog.NewTextHandler(logWriter{t}, &slog.HandlerOptions{Level: slog.LevelWarn}))
	g, err := gateway.Start(gateway.Options{Config: cfg, DataDir: data, Log: log, NoSync: true, Reclaim: reclaim})
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func stop(t *testing.T, g *gateway.Gateway) {
	ctx, cancel := context.WithTimeout(context.Background(), g.MaxStopDuration())
	defer cancel()
	g.Stop(ctx)
	if ctx.Err() != nil {
		t.Error("the gateway did not stop in time")
	}
	if u := g.Spool().Usage(); u.Memory != 0 || u.File != 0 {
		t.Errorf("bodies kept after the stop: %+v", u)
	}
}

func client(t *testing.T, g *gateway.Gateway) *s3.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return s3.New(s3.Options{
		BaseEndpoint: aws.String(g.Endpoint()), Region: "us-east-1", UsePathStyle: true,
		Credentials: credentials.NewStaticCredentialsProvider(g.Keys[0].Access, g.Keys[0].Secret, ""),
		HTTPClient:  &http.Client{Transport: transport}, Retryer: aws.NopRetryer{},
	})
}

func code(err error) string {
	var api smithy.APIError
	if errors.As(err, &api) {
		return api.ErrorCode()
	}
	return fmt.Sprint(err)
}

func random(n int, seed int64) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(seed)).Read(b)
	return b
}

var (
	ctx    = context.Background()
	bucket = aws.String("papers")
)

// Every call of the object API, against data that survives a restart.
func TestEveryCall(t *testing.T) {
	data := t.TempDir()
	g := start(t, data, nil)
	c := client(t, g)
	if _, err := c.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: bucket}); err != nil {
		t.Fatal(err)
	}
	for _, s := range []struct {
		name string
		run  func(*testing.T, *s3.Client)
	}{
		{"buckets", buckets}, {"objects", objects}, {"conditions", conditions}, {"ranges", ranges}, {"keys", oddKeys},
		{"lists", lists}, {"copies", copies}, {"multipart", multipart}, {"races", multipartRaces}, {"checksums", checksums},
		{"errors", apiErrors},
	} {
		t.Run(s.name, func(t *testing.T) { s.run(t, c) })
	}
	stop(t, g)

	g = start(t, data, nil) // with the same keys and data
	defer stop(t, g)
	c = client(t, g)
	want := random(3<<20+17, 3)
	if got := get(t, c, "kept/large", ""); !bytes.Equal(got, want) {
		t.Errorf("after a restart: %d bytes, want %d", len(got), len(want))
	}
}

func put(t *testing.T, c *s3.Client, key string, body []byte) string {
	t.Helper()
	out, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: &key, Body: bytes.NewReader(body)})
	if err != nil {
		t.Fatalf("put %q: %v", key, err)
	}
	return aws.ToString(out.ETag)
}

func get(t *testing.T, c *s3.Client, key, rng string) []byte {
	t.Helper()
	in := &s3.GetObjectInput{Bucket: bucket, Key: &key}
	if rng != "" {
		in.Range = &rng
	}
	out, err := c.GetObject(ctx, in)
	if err != nil {
		t.Fatalf("get %q %s: %v", key, rng, err)
	}
	defer out.Body.Close()
	body, err := io.ReadAll(out.Body)
	if err != nil {
		t.Fatalf("get %q %s: %v", key, rng, err)
	}
	return body
}

func buckets(t *testing.T, c *s3.Client) {
	if _, err := c.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: bucket}); code(err) != "BucketAlreadyOwnedByYou" {
		t.Errorf("second create: %v", err)
	}
	if _, err := c.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: aws.String("second")}); err != nil {
		t.Error(err)
	}
	list, err := c.ListBuckets(ctx, &s3.ListBucketsInput{})
	if err != nil || len(list.Buckets) != 2 || *list.Buckets[0].Name != "papers" || *list.Buckets[1].Name != "second" {
		t.Errorf("list: %+v, %v", list, err)
	}
	if _, err := c.HeadBucket(ctx, &s3.HeadBucketInput{Bucket: bucket}); err != nil {
		t.Error(err)
	}
	if _, err := c.HeadBucket(ctx, &s3.HeadBucketInput{Bucket: aws.String("absent")}); code(err) != "NotFound" {
		t.Errorf("head of an absent bucket: %v", err)
	}
	if _, err := c.GetBucketLocation(ctx, &s3.GetBucketLocationInput{Bucket: bucket}); err != nil {
		t.Error(err)
	}
	put(t, c, "x", nil)
	if _, err := c.DeleteBucket(ctx, &s3.DeleteBucketInput{Bucket: bucket}); code(err) != "BucketNotEmpty" {
		t.Errorf("delete of a full bucket: %v", err)
	}
	if _, err := c.DeleteBucket(ctx, &s3.DeleteBucketInput{Bucket: aws.String("second")}); err != nil {
		t.Error(err)
	}
}

func objects(t *testing.T, c *s3.Client) {
	for i, size := range []int{0, 1, 4096, 64 << 10, 64<<10 + 1, 1 << 20, 1<<20 + 1, 3<<20 + 17} {
		key, body := fmt.Sprintf("size/%d", size), random(size, int64(i))
		sum := md5.Sum(body)
		if etag := put(t, c, key, body); etag != `"`+hex.EncodeToString(sum[:])+`"` {
			t.Errorf("%s: etag %s", key, etag)
		}
		if got := get(t, c, key, ""); !bytes.Equal(got, body) {
			t.Errorf("%s: got %d bytes", key, len(got))
		}
		head, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: bucket, Key: &key})
		if err != nil || aws.ToInt64(head.ContentLength) != int64(size) {
			t.Errorf("%s: head %+v, %v", key, head, err)
		}
	}
	key := "described"
	_, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: &key, Body: strings.NewReader("x"),
		ContentType: aws.String("text/plain"), CacheControl: aws.String("no-store"), Metadata: map[string]string{"student": "17", "empty": ""}})
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: &key, ResponseContentType: aws.String("text/html")})
	if err != nil {
		t.Fatal(err)
	}
	out.Body.Close()
	if *out.ContentType != "text/html" || *out.CacheControl != "no-store" || out.Metadata["student"] != "17" {
		t.Errorf("described: %+v", out)
	}
	for range 2 { // what is not there is deleted already
		if _, err := c.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: bucket, Key: &key}); err != nil {
			t.Error(err)
		}
	}
	if _, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: &key}); code(err) != "NoSuchKey" {
		t.Errorf("get of a deleted key: %v", err)
	}
	if _, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String("absent"), Key: &key}); code(err) != "NoSuchBucket" {
		t.Errorf("get in an absent bucket: %v", err)
	}
	put(t, c, "kept/large", random(3<<20+17, 3))
}

func conditions(t *testing.T, c *s3.Client) {
	key := "cond"
	etag := put(t, c, key, []byte("body"))
	past, future := time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	for i, g := range []struct {
		in   s3.GetObjectInput
		want string
	}{
		{s3.GetObjectInput{IfMatch: &etag}, ""},
		{s3.GetObjectInput{IfMatch: aws.String(`"no"`)}, "PreconditionFailed"},
		{s3.GetObjectInput{IfNoneMatch: &etag}, "NotModified"},
		{s3.GetObjectInput{IfNoneMatch: aws.String(`"no"`)}, ""},
		{s3.GetObjectInput{IfModifiedSince: &past}, ""},
		{s3.GetObjectInput{IfModifiedSince: &future}, "NotModified"},
		{s3.GetObjectInput{IfUnmodifiedSince: &future}, ""},
		{s3.GetObjectInput{IfUnmodifiedSince: &past}, "PreconditionFailed"},
		{s3.GetObjectInput{IfMatch: &etag, IfUnmodifiedSince: &past}, ""},
	} {
		g.in.Bucket, g.in.Key = bucket, &key
		out, err := c.GetObject(ctx, &g.in)
		if err == nil {
			out.Body.Close()
		}
		if (err == nil) != (g.want == "") || err != nil && code(err) != g.want {
			t.Errorf("condition %d: %v, want %q", i, err, g.want)
		}
	}
	if _, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: &key, IfNoneMatch: aws.String("*")}); code(err) != "PreconditionFailed" {
		t.Errorf("put if absent: %v", err)
	}
	if _, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: &key, IfMatch: aws.String(`"no"`)}); code(err) != "PreconditionFailed" {
		t.Errorf("put if match: %v", err)
	}
	if _, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: &key, IfMatch: &etag}); err != nil {
		t.Errorf("put if match: %v", err)
	}
}

func ranges(t *testing.T, c *s3.Client) {
	small, large := random(1000, 1), random(2<<20+100, 2)
	put(t, c, "small", small)
	put(t, c, "large", large)
	for _, r := range []struct {
		key, rng string
		want     []byte
	}{
		{"small", "bytes=0-0", small[:1]}, {"small", "bytes=10-", small[10:]}, {"small", "bytes=-10", small[990:]},
		{"small", "bytes=990-5000", small[990:]}, {"small", "bytes=-5000", small}, {"small", "bytes=1-2,4-5", small},
		{"small", "bytes=5-4", small}, {"small", "lines=1-2", small},
		{"large", "bytes=0-0", large[:1]}, {"large", "bytes=1048570-1048580", large[1048570:1048581]},
		{"large", "bytes=100000-2097200", large[100000:2097201]}, {"large", "bytes=-150", large[len(large)-150:]},
		{"large", "bytes=2097152-", large[2097152:]},
	} {
		if got := get(t, c, r.key, r.rng); !bytes.Equal(got, r.want) {
			t.Errorf("%s %s: %d bytes, want %d", r.key, r.rng, len(got), len(r.want))
		}
	}
	for _, key := range []string{"small", "large"} {
		rng := "bytes=3000000-"
		if _, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: &key, Range: &rng}); code(err) != "InvalidRange" {
			t.Errorf("%s %s: %v", key, rng, err)
		}
	}
}

// Keys are bytes: none of them is a path.
func oddKeys(t *testing.T, c *s3.Client) {
	keys := []string{"../../../etc/passwd", "..", ".", "a//b", "a/", "//", "%2F", "a%2Fb", "a+b c", "é/日本/😀", "?x=1&y", "a\x01\x7fb", "=;,'\"<>&", strings.Repeat("k", 1024)}
	for i, k := range keys {
		put(t, c, "odd/"+k[min(len(k)-1, len(k)/1024*4):], []byte(fmt.Sprint(i)))
		if k != "." && k != ".." {
			put(t, c, k, []byte(fmt.Sprint(i)))
		}
	}
	for i, k := range keys {
		if k == "." || k == ".." {
			continue
		}
		if got := get(t, c, k, ""); string(got) != fmt.Sprint(i) {
			t.Errorf("%q holds %q, want %d", k, got, i)
		}
	}
	found := map[string]bool{}
	p := s3.NewListObjectsV2Paginator(c, &s3.ListObjectsV2Input{Bucket: bucket, MaxKeys: aws.Int32(3), EncodingType: types.EncodingTypeUrl})
	for p.HasMorePages() {
		page, err := p.NextPage(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range page.Contents {
			found[*o.Key] = true
		}
	}
	for _, k := range []string{"..%2F", "a//b", "a/", "%252F", "a%2Bb%20c", "a%01%7Fb"} {
		if !found[k] && !found[strings.ReplaceAll(k, "%2F", "/")+"../../etc/passwd"] {
			t.Errorf("list lacks %q", k)
		}
	}
}

func lists(t *testing.T, c *s3.Client) {
	for i := range 25 {
		put(t, c, fmt.Sprintf("list/%c/%02d", 'a'+i%3, i), []byte("x"))
	}
	put(t, c, "list/top", nil)
	var got []string
	p := s3.NewListObjectsV2Paginator(c, &s3.ListObjectsV2Input{Bucket: bucket, Prefix: aws.String("list/"), MaxKeys: aws.Int32(4)})
	for p.HasMorePages() {
		page, err := p.NextPage(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range page.Contents {
			got = append(got, *o.Key)
		}
	}
	if len(got) != 26 || got[0] != "list/a/00" || got[25] != "list/top" {
		t.Errorf("pages: %v", got)
	}
	for i := 1; i < len(got); i++ {
		if got[i] <= got[i-1] {
			t.Errorf("out of order: %q after %q", got[i], got[i-1])
		}
	}
	marker, pages, prefixes := "", 0, 0
	for {
		out, err := c.ListObjects(ctx, &s3.ListObjectsInput{Bucket: bucket, Prefix: aws.String("list/"), Delimiter: aws.String("/"), MaxKeys: aws.Int32(1), Marker: &marker})
		if err != nil {
			t.Fatal(err)
		}
		pages++
		prefixes += len(out.CommonPrefixes)
		if !aws.ToBool(out.IsTruncated) || pages > 10 {
			break
		}
		marker = *out.NextMarker
	}
	if pages != 4 || prefixes != 3 {
		t.Errorf("with a delimiter: %d pages, %d prefixes", pages, prefixes)
	}
	out, err := c.ListObjectsV2(ctx, &s3.ListObjectsV2Input{Bucket: bucket, Prefix: aws.String("list/"), StartAfter: aws.String("list/c/20")})
	if err != nil || *out.KeyCount != 2 {
		t.Errorf("start after: %+v, %v", out, err)
	}
	var ids []types.ObjectIdentifier
	for _, k := range got {
		ids = append(ids, types.ObjectIdentifier{Key: aws.String(k)})
	}
	del, err := c.DeleteObjects(ctx, &s3.DeleteObjectsInput{Bucket: bucket, Delete: &types.Delete{Objects: ids}})
	if err != nil || len(del.Deleted) != 26 || len(del.Errors) != 0 {
		t.Errorf("delete objects: %+v, %v", del, err)
	}
	if out, err := c.ListObjectsV2(ctx, &s3.ListObjectsV2Input{Bucket: bucket, Prefix: aws.String("list/")}); err != nil || *out.KeyCount != 0 {
		t.Errorf("after the delete: %+v, %v", out, err)
	}
}

func copies(t *testing.T, c *s3.Client) {
	for _, size := range []int{100, 2<<20 + 5} {
		body := random(size, 9)
		_, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: aws.String("from é"), Body: bytes.NewReader(body), Metadata: map[string]string{"a": "1"}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.CopyObject(ctx, &s3.CopyObjectInput{Bucket: bucket, Key: aws.String("to"), CopySource: aws.String("papers/from%20%C3%A9")}); err != nil {
			t.Fatal(err)
		}
		put(t, c, "from é", []byte("other"))
		if got := get(t, c, "to", ""); !bytes.Equal(got, body) {
			t.Errorf("copy of %d bytes has %d", size, len(got))
		}
		head, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: bucket, Key: aws.String("to")})
		if err != nil || head.Metadata["a"] != "1" {
			t.Errorf("copy's metadata: %+v, %v", head, err)
		}
		_, err = c.CopyObject(ctx, &s3.CopyObjectInput{Bucket: bucket, Key: aws.String("to"), CopySource: aws.String("papers/to"),
			MetadataDirective: types.MetadataDirectiveReplace, Metadata: map[string]string{"b": "2"}})
		if err != nil {
			t.Fatal(err)
		}
		if got := get(t, c, "to", ""); !bytes.Equal(got, body) {
			t.Errorf("copy onto itself of %d bytes has %d", size, len(got))
		}
	}
	if _, err := c.CopyObject(ctx, &s3.CopyObjectInput{Bucket: bucket, Key: aws.String("to"), CopySource: aws.String("papers/absent")}); code(err) != "NoSuchKey" {
		t.Errorf("copy of an absent key: %v", err)
	}
}
