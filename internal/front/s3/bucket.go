package s3

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/http1"
)

// bucketCache remembers for a short while which buckets there are, so that a
// write need not ask. Buckets of the settings are always there.
type bucketCache struct {
	configured  map[string]int // plan of each bucket of the settings
	defaultPlan int            // plan of all others

	mu     sync.Mutex
	seenAt map[string]time.Time
}

const (
	bucketCacheTTL = 2 * time.Second // for how long a bucket is taken to be there still
	maxBuckets     = 10_000
)

func (b *bucketCache) init(cfg *config.Config) {
	b.configured, b.seenAt = map[string]int{}, map[string]time.Time{}
	for _, c := range cfg.Collections {
		b.configured[c.Bucket] = cfg.Plan(c.Bucket)
	}
	b.defaultPlan = cfg.Plan("")
}

func (b *bucketCache) plan(bucket string) int {
	if plan, ok := b.configured[bucket]; ok {
		return plan
	}
	return b.defaultPlan
}

func (b *bucketCache) contains(bucket string) bool {
	if _, ok := b.configured[bucket]; ok {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.seenAt[bucket]
	return ok && time.Since(at) < bucketCacheTTL
}

func (b *bucketCache) add(bucket string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.seenAt) >= maxBuckets {
		clear(b.seenAt)
	}
	b.seenAt[bucket] = time.Now()
}

func (b *bucketCache) remove(bucket string) {
	b.mu.Lock()
	delete(b.seenAt, bucket)
	b.mu.Unlock()
}

type bucketRecord struct {
	CreatedMS int64 `json:"t"` // milliseconds since 1970
}

// bucketExists asks the bucket's home, unless it was there a moment ago.
func (x *exchange) bucketExists(bucket string) (bool, error) {
	if x.server.buckets.contains(bucket) {
		return true, nil
	}
	if !isValidBucketName(bucket) {
		return false, nil
	}
	_, _, ok, err := x.readBlob(brick.SpaceBuckets, bucket, x.shardOf(bucket), false)
	if err != nil {
		return false, err
	}
	if ok {
		x.server.buckets.add(bucket)
	}
	return ok, nil
}

// requireBucket refuses a request for a bucket that is not there.
func (x *exchange) requireBucket() error {
	ok, err := x.bucketExists(x.bucket)
	if err == nil && !ok {
		return errNoSuchBucket
	}
	return err
}

// isValidBucketName follows the specification's rules for names.
func isValidBucketName(name string) bool {
	if len(name) < 3 || len(name) > 63 || strings.Contains(name, "..") || net.ParseIP(name) != nil {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !letter && (c != '-' && c != '.' || i == 0 || i == len(name)-1) {
			return false
		}
	}
	return true
}

type createBucketBody struct {
	XMLName            xml.Name `xml:"CreateBucketConfiguration"`
	LocationConstraint string
}

func (x *exchange) createBucket() error {
	text, err := x.readSmallBody(64 << 10)
	if err != nil {
		return err
	}
	if len(text) > 0 {
		var in createBucketBody
		if err := xml.Unmarshal(text, &in); err != nil {
			return errMalformedXML
		}
		if in.LocationConstraint != "" && in.LocationConstraint != x.server.cfg.Region {
			return newAPIError(400, "IllegalLocationConstraintException", "The region of this gateway is %s.", x.server.cfg.Region)
		}
	}
	if !isValidBucketName(x.bucket) {
		return newAPIError(400, "InvalidBucketName", "The specified bucket is not valid.")
	}
	owned := newAPIError(409, "BucketAlreadyOwnedByYou", "Your previous request to create the named bucket succeeded and you already own it.")
	if _, fixed := x.server.buckets.configured[x.bucket]; fixed {
		return owned
	}
	meta, err := json.Marshal(bucketRecord{time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	_, err = x.writeBlob(brick.Request{Space: brick.SpaceBuckets, Name: x.bucket, Meta: meta, IfAbsent: true}, x.shardOf(x.bucket))
	if errors.Is(err, errPrecondition) {
		return owned
	}
	if err != nil {
		return err
	}
	x.server.buckets.add(x.bucket)
	return x.respond(200, http1.Fields{{Name: "Location", Value: "/" + x.bucket}}, nil)
}

func (x *exchange) headBucket() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	return x.respond(200, http1.Fields{{Name: "x-amz-bucket-region", Value: x.server.cfg.Region}}, nil)
}

func (x *exchange) deleteBucket() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	if _, fixed := x.server.buckets.configured[x.bucket]; fixed {
		return newAPIError(403, "AccessDenied", "The bucket is one of the gateway's settings.")
	}
	for _, space := range []string{brick.SpaceObjects, brick.SpaceUploads} {
		items, _, err := x.listAllShards(space, brick.ListQuery{Prefix: x.bucket + "/", MaxItems: 1})
		if err != nil {
			return err
		}
		if len(items) > 0 {
			return newAPIError(409, "BucketNotEmpty", "The bucket you tried to delete is not empty.")
		}
	}
	x.server.buckets.remove(x.bucket)
	if _, _, err := x.deleteBlob(brick.SpaceBuckets, x.bucket, x.shardOf(x.bucket), 0); err != nil {
		return err
	}
	x.buildHead(204, nil, -1)
	return x.flush()
}

type locationResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ LocationConstraint"`
	Region  string   `xml:",chardata"`
}

func (x *exchange) bucketLocation() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	region := x.server.cfg.Region
	if region == "us-east-1" { // the specification's name for it is none
		region = ""
	}
	return x.respondXML(200, locationResult{Region: region})
}

type listBucketsResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListAllMyBucketsResult"`
	Owner   owner
	Buckets []listedBucket `xml:"Buckets>Bucket"`
}

type owner struct{ ID, DisplayName string }

type listedBucket struct{ Name, CreationDate string }

// defaultOwner is the owner of all: keys share everything.
var defaultOwner = owner{"arrowwalk", "arrowwalk"}

func (x *exchange) listBuckets() error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	items, _, err := x.listAllShards(brick.SpaceBuckets, brick.ListQuery{MaxItems: maxBuckets})
	if err != nil {
		return err
	}
	out := listBucketsResult{Owner: defaultOwner}
	created := map[string]int64{}
	for name := range x.server.buckets.configured {
		created[name] = 0
	}
	for _, it := range items {
		var rec bucketRecord
		if err := json.Unmarshal(it.Meta, &rec); err != nil {
			return err
		}
		created[string(it.Name)] = rec.CreatedMS
	}
	for _, name := range sortedKeys(created) {
		out.Buckets = append(out.Buckets, listedBucket{name, formatISOTime(created[name])})
	}
	return x.respondXML(200, out)
}
