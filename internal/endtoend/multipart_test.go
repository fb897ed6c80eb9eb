package endtoend

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/feature/s3/manager"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
)

func begin(t *testing.T, c *s3.Client, key string) *string {
	t.Helper()
	up, err := c.CreateMultipartUpload(ctx, &s3.CreateMultipartUploadInput{Bucket: bucket, Key: &key, ContentType: aws.String("a/b")})
	if err != nil {
		t.Fatal(err)
	}
	return up.UploadId
}

func part(t *testing.T, c *s3.Client, key string, id *string, n int32, body []byte) types.CompletedPart {
	t.Helper()
	out, err := c.UploadPart(ctx, &s3.UploadPartInput{Bucket: bucket, Key: &key, UploadId: id, PartNumber: &n, Body: bytes.NewReader(body)})
	if err != nil {
		t.Fatal(err)
	}
	return types.CompletedPart{PartNumber: &n, ETag: out.ETag}
}

func complete(c *s3.Client, key string, id *string, parts ...types.CompletedPart) (*s3.CompleteMultipartUploadOutput, error) {
	return c.CompleteMultipartUpload(ctx, &s3.CompleteMultipartUploadInput{Bucket: bucket, Key: &key, UploadId: id,
		MultipartUpload: &types.CompletedMultipartUpload{Parts: parts}})
}

func multipart(t *testing.T, c *s3.Client) {
	body := random(17<<20+3, 5)
	//lint:ignore SA1019 clients still upload with it
	up := manager.NewUploader(c)
	//lint:ignore SA1019 as above
	if _, err := up.Upload(ctx, &s3.PutObjectInput{Bucket: bucket, Key: aws.String("managed"), Body: bytes.NewReader(body)}); err != nil {
		t.Fatal(err)
	}
	if got := get(t, c, "managed", ""); !bytes.Equal(got, body) {
		t.Errorf("managed upload: %d bytes", len(got))
	}
	if got := get(t, c, "managed", "bytes=5242870-5242890"); !bytes.Equal(got, body[5242870:5242891]) {
		t.Error("range over a part's end")
	}

	id := begin(t, c, "mp")
	first := part(t, c, "mp", id, 1, body[:5<<20])
	old := part(t, c, "mp", id, 7, []byte("old"))
	last := part(t, c, "mp", id, 7, []byte("tail"))
	list, err := c.ListParts(ctx, &s3.ListPartsInput{Bucket: bucket, Key: aws.String("mp"), UploadId: id})
	if err != nil || len(list.Parts) != 2 || *list.Parts[1].ETag != *last.ETag {
		t.Errorf("list parts: %+v, %v", list, err)
	}
	ups, err := c.ListMultipartUploads(ctx, &s3.ListMultipartUploadsInput{Bucket: bucket})
	if err != nil || len(ups.Uploads) != 1 || *ups.Uploads[0].UploadId != *id {
		t.Errorf("list uploads: %+v, %v", ups, err)
	}
	for _, bad := range []struct {
		parts []types.CompletedPart
		want  string
	}{
		{[]types.CompletedPart{last, first}, "InvalidPartOrder"},
		{[]types.CompletedPart{first, old}, "InvalidPart"},
		{[]types.CompletedPart{first, {PartNumber: aws.Int32(3), ETag: first.ETag}}, "InvalidPart"},
	} {
		if _, err := complete(c, "mp", id, bad.parts...); code(err) != bad.want {
			t.Errorf("complete: %v, want %s", err, bad.want)
		}
	}
	for range 2 { // the same complete again has the same answer
		out, err := complete(c, "mp", id, first, last)
		if err != nil || (*out.ETag)[33:] != `-2"` {
			t.Errorf("complete: %+v, %v", out, err)
		}
	}
	if got := get(t, c, "mp", ""); !bytes.Equal(got, append(bytes.Clone(body[:5<<20]), "tail"...)) {
		t.Errorf("completed: %d bytes", len(got))
	}
	if head, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: bucket, Key: aws.String("mp")}); err != nil || *head.ContentType != "a/b" {
		t.Errorf("completed: %+v, %v", head, err)
	}

	id = begin(t, c, "small")
	a, b := part(t, c, "small", id, 1, []byte("a")), part(t, c, "small", id, 2, []byte("b"))
	if _, err := complete(c, "small", id, a, b); code(err) != "EntityTooSmall" {
		t.Errorf("small parts: %v", err)
	}
	if _, err := c.AbortMultipartUpload(ctx, &s3.AbortMultipartUploadInput{Bucket: bucket, Key: aws.String("small"), UploadId: id}); err != nil {
		t.Error(err)
	}
	if _, err := complete(c, "small", id, a); code(err) != "NoSuchUpload" {
		t.Errorf("complete after abort: %v", err)
	}
}

// Completes and aborts at once: one of them wins, and the object is whole or
// absent.
func multipartRaces(t *testing.T, c *s3.Client) {
	for round := range 8 {
		id := begin(t, c, "race")
		body := random(5<<20, int64(round))
		first, second := part(t, c, "race", id, 1, body), part(t, c, "race", id, 2, []byte("two"))
		if _, err := c.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: bucket, Key: aws.String("race")}); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		results := make([]error, 4)
		for i, do := range []func() error{
			func() error { _, err := complete(c, "race", id, first, second); return err },
			func() error { _, err := complete(c, "race", id, first, second); return err },
			func() error {
				_, err := c.AbortMultipartUpload(ctx, &s3.AbortMultipartUploadInput{Bucket: bucket, Key: aws.String("race"), UploadId: id})
				return err
			},
			func() error {
				_, err := c.UploadPart(ctx, &s3.UploadPartInput{Bucket: bucket, Key: aws.String("race"), UploadId: id, PartNumber: aws.Int32(2), Body: bytes.NewReader([]byte("new"))})
				return err
			},
		} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				results[i] = do()
			}()
		}
		wg.Wait()
		won := results[0] == nil || results[1] == nil
		if won && results[2] == nil {
			t.Errorf("round %d: both complete and abort: %v", round, results)
		}
		if won {
			if got := get(t, c, "race", ""); !bytes.Equal(got, append(bytes.Clone(body), "two"...)) {
				t.Errorf("round %d: %d bytes after %v", round, len(got), results)
			}
		} else if _, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: bucket, Key: aws.String("race")}); code(err) != "NotFound" {
			t.Errorf("round %d: there is an object though nobody completed it: %v, %v", round, results, err)
		}
	}
}

func checksums(t *testing.T, c *s3.Client) {
	body := random(100_000, 8)
	sum := sha256.Sum256(body)
	good := base64.StdEncoding.EncodeToString(sum[:])
	sum[0]++
	bad := base64.StdEncoding.EncodeToString(sum[:])
	in := &s3.PutObjectInput{Bucket: bucket, Key: aws.String("sum"), Body: bytes.NewReader(body), ChecksumSHA256: &good}
	if _, err := c.PutObject(ctx, in); err != nil {
		t.Error(err)
	}
	out, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: in.Key, ChecksumMode: types.ChecksumModeEnabled})
	if err != nil || aws.ToString(out.ChecksumSHA256) != good {
		t.Errorf("checksum given back: %+v, %v", out, err)
	} else {
		out.Body.Close()
	}
	in.Body, in.ChecksumSHA256 = bytes.NewReader(body), &bad
	if _, err := c.PutObject(ctx, in); code(err) != "BadDigest" {
		t.Errorf("wrong checksum: %v", err)
	}
	for _, a := range []types.ChecksumAlgorithm{types.ChecksumAlgorithmCrc32, types.ChecksumAlgorithmCrc32c, types.ChecksumAlgorithmSha1,
		types.ChecksumAlgorithmSha256, types.ChecksumAlgorithmCrc64nvme} {
		in := &s3.PutObjectInput{Bucket: bucket, Key: aws.String("sum"), Body: bytes.NewReader(body), ChecksumAlgorithm: a}
		if _, err := c.PutObject(ctx, in); err != nil {
			t.Errorf("%s: %v", a, err)
		}
	}
	wrong := &s3.PutObjectInput{Bucket: bucket, Key: aws.String("sum"), Body: bytes.NewReader(body), ContentMD5: aws.String("AAAAAAAAAAAAAAAAAAAAAA==")}
	if _, err := c.PutObject(ctx, wrong); code(err) != "BadDigest" {
		t.Errorf("wrong Content-MD5: %v", err)
	}
}

func apiErrors(t *testing.T, c *s3.Client) {
	if _, err := c.GetObjectAcl(ctx, &s3.GetObjectAclInput{Bucket: bucket, Key: aws.String("x")}); code(err) != "NotImplemented" {
		t.Errorf("acl: %v", err)
	}
	if _, err := c.GetBucketVersioning(ctx, &s3.GetBucketVersioningInput{Bucket: bucket}); code(err) != "NotImplemented" {
		t.Errorf("versioning: %v", err)
	}
	if _, err := c.ListParts(ctx, &s3.ListPartsInput{Bucket: bucket, Key: aws.String("x"), UploadId: aws.String("../../x")}); code(err) != "NoSuchUpload" {
		t.Errorf("bad upload id: %v", err)
	}
	if _, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: aws.String("absent"), Key: aws.String("x")}); code(err) != "NoSuchBucket" {
		t.Errorf("put into an absent bucket: %v", err)
	}
	k, err := c.Options().Credentials.Retrieve(ctx)
	if err != nil {
		t.Fatal(err)
	}
	opt := c.Options()
	opt.Credentials = credentials.NewStaticCredentialsProvider(k.AccessKeyID, k.SecretAccessKey+"x", "")
	opt.HTTPSignerV4, opt.AuthSchemes = nil, nil // they cache keys by their access key alone
	other := s3.New(opt)
	if _, err := other.ListBuckets(ctx, &s3.ListBucketsInput{}); code(err) != "SignatureDoesNotMatch" {
		t.Errorf("wrong secret: %v", err)
	}
}
