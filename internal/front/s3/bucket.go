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

// bucketCache remembers for bucketCacheTTL which buckets exist, so that writes
// need not look them up. Buckets of the settings always exist. It is safe for
// concurrent use after init.
type bucketCache struct {
	configured  map[string]int // plan numbers of the buckets of the settings
	defaultPlan int            // plan number of all other buckets

	mu     sync.Mutex
	seenAt map[string]time.Time
}

const (
	bucketCacheTTL = 2 * time.Second // how long a bucket is assumed to exist after a lookup
	maxBuckets     = 10_000
)

// init sets the buckets and plans of the settings.
func (b *bucketCache) init(cfg *config.Config) {
	b.configured, b.seenAt = map[string]int{}, map[string]time.Time{}
	for _, c := range cfg.Collections {
		b.configured[c.Bucket] = cfg.Plan(c.Bucket)
	}
	b.defaultPlan = cfg.Plan("")
}

// plan returns the plan number of a bucket.
func (b *bucketCache) plan(bucket string) int {
	if plan, ok := b.configured[bucket]; ok {
		return plan
	}
	return b.defaultPlan
}

// contains reports whether a bucket is known to exist.
func (b *bucketCache) contains(bucket string) bool {
	if _, ok := b.configured[bucket]; ok {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	seenAt, ok := b.seenAt[bucket]
	return ok && time.Since(seenAt) < bucketCacheTTL
}

// add records that a bucket exists.
func (b *bucketCache) add(bucket string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.seenAt) >= maxBuckets {
		clear(b.seenAt)
	}
	b.seenAt[bucket] = time.Now()
}

// remove forgets a bucket.
func (b *bucketCache) remove(bucket string) {
	b.mu.Lock()
	delete(b.seenAt, bucket)
	b.mu.Unlock()
}

// bucketRecord is the stored metadata of a bucket.
type bucketRecord struct {
	CreatedMS int64 `json:"t"` // Unix time in milliseconds
}

// bucketExists reports whether a bucket exists. It reads the record of a
// bucket that is not cached.
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

// requireBucket returns errNoSuchBucket if the request's bucket does not
// exist.
func (x *exchange) requireBucket() error {
	ok, err := x.bucketExists(x.bucket)
	if err == nil && !ok {
		return errNoSuchBucket
	}
	return err
}

// isValidBucketName reports whether name follows the naming rules of the S3
// specification.
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

// createBucketBody is the XML body of CreateBucket.
type createBucketBody struct {
	XMLName            xml.Name `xml:"CreateBucketConfiguration"`
	LocationConstraint string
}

// createBucket serves PUT of a bucket.
func (x *exchange) createBucket() error {
	body, err := x.readSmallBody(64 << 10)
	if err != nil {
		return err
	}
	if len(body) > 0 {
		var request createBucketBody
		if err := xml.Unmarshal(body, &request); err != nil {
			return errMalformedXML
		}
		if request.LocationConstraint != "" && request.LocationConstraint != x.server.cfg.Region {
			return newAPIError(400, "IllegalLocationConstraintException", "The region of this gateway is %s.", x.server.cfg.Region)
		}
	}
	if !isValidBucketName(x.bucket) {
		return newAPIError(400, "InvalidBucketName", "The specified bucket is not valid.")
	}
	alreadyOwned := newAPIError(409, "BucketAlreadyOwnedByYou", "Your previous request to create the named bucket succeeded and you already own it.")
	if _, configured := x.server.buckets.configured[x.bucket]; configured {
		return alreadyOwned
	}
	meta, err := json.Marshal(bucketRecord{time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	_, err = x.writeBlob(brick.Request{Space: brick.SpaceBuckets, Name: x.bucket, Meta: meta, IfAbsent: true}, x.shardOf(x.bucket))
	if errors.Is(err, errPrecondition) {
		return alreadyOwned
	}
	if err != nil {
		return err
	}
	x.server.buckets.add(x.bucket)
	return x.respond(200, http1.Fields{{Name: "Location", Value: "/" + x.bucket}}, nil)
}

// headBucket serves HEAD of a bucket.
func (x *exchange) headBucket() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	return x.respond(200, http1.Fields{{Name: "x-amz-bucket-region", Value: x.server.cfg.Region}}, nil)
}

// deleteBucket serves DELETE of a bucket, which must be empty.
func (x *exchange) deleteBucket() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	if _, configured := x.server.buckets.configured[x.bucket]; configured {
		return newAPIError(403, "AccessDenied", "The bucket is defined in the settings of the gateway and cannot be deleted.")
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
	if _, _, err := x.deleteBlob(brick.Request{Space: brick.SpaceBuckets, Name: x.bucket}, x.shardOf(x.bucket)); err != nil {
		return err
	}
	x.buildHead(204, nil, -1)
	return x.flush()
}

// locationResult is the XML body of GetBucketLocation.
type locationResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ LocationConstraint"`
	Region  string   `xml:",chardata"`
}

// bucketLocation serves GetBucketLocation.
func (x *exchange) bucketLocation() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	region := x.server.cfg.Region
	if region == "us-east-1" { // the specification represents us-east-1 by an empty element
		region = ""
	}
	return x.respondXML(200, locationResult{Region: region})
}

// listBucketsResult is the XML body of ListBuckets.
type listBucketsResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListAllMyBucketsResult"`
	Owner   owner
	Buckets []listedBucket `xml:"Buckets>Bucket"`
}

// owner is the XML element of an owner or initiator.
type owner struct{ ID, DisplayName string }

// listedBucket is the XML element of one bucket.
type listedBucket struct{ Name, CreationDate string }

// defaultOwner owns all buckets and objects; all access keys have access to
// everything.
var defaultOwner = owner{"arrowwalk", "arrowwalk"}

// listBuckets serves ListBuckets: the buckets of the settings and the stored
// ones.
func (x *exchange) listBuckets() error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	items, _, err := x.listAllShards(brick.SpaceBuckets, brick.ListQuery{MaxItems: maxBuckets})
	if err != nil {
		return err
	}
	result := listBucketsResult{Owner: defaultOwner}
	created := map[string]int64{}
	for name := range x.server.buckets.configured {
		created[name] = 0
	}
	for _, item := range items {
		var record bucketRecord
		if err := json.Unmarshal(item.Meta, &record); err != nil {
			return err
		}
		created[string(item.Name)] = record.CreatedMS
	}
	for _, name := range sortedKeys(created) {
		result.Buckets = append(result.Buckets, listedBucket{name, formatISOTime(created[name])})
	}
	return x.respondXML(200, result)
}
