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
	fixed map[string]int // plan of each bucket of the settings
	other int            // plan of all others

	mu   sync.Mutex
	seen map[string]time.Time
}

const (
	bucketAge   = 2 * time.Second // for how long a bucket is taken to be there still
	bucketsMost = 10_000
)

func (b *bucketCache) init(cfg *config.Config) {
	b.fixed, b.seen = map[string]int{}, map[string]time.Time{}
	for _, c := range cfg.Collections {
		b.fixed[c.Bucket] = cfg.Plan(c.Bucket)
	}
	b.other = cfg.Plan("")
}

func (b *bucketCache) plan(bucket string) int {
	if plan, ok := b.fixed[bucket]; ok {
		return plan
	}
	return b.other
}

func (b *bucketCache) has(bucket string) bool {
	if _, ok := b.fixed[bucket]; ok {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.seen[bucket]
	return ok && time.Since(at) < bucketAge
}

func (b *bucketCache) saw(bucket string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.seen) >= bucketsMost {
		clear(b.seen)
	}
	b.seen[bucket] = time.Now()
}

func (b *bucketCache) forget(bucket string) {
	b.mu.Lock()
	delete(b.seen, bucket)
	b.mu.Unlock()
}

type bucketRecord struct {
	Created int64 `json:"t"` // milliseconds since 1970
}

// bucketExists asks the bucket's home, unless it was there a moment ago.
func (x *exchange) bucketExists(bucket string) (bool, error) {
	if x.s.buckets.has(bucket) {
		return true, nil
	}
	if !validBucket(bucket) {
		return false, nil
	}
	_, _, ok, err := x.fetch(brick.SpaceBuckets, bucket, x.home(bucket), false)
	if err != nil {
		return false, err
	}
	if ok {
		x.s.buckets.saw(bucket)
	}
	return ok, nil
}

// needBucket refuses a request for a bucket that is not there.
func (x *exchange) needBucket() error {
	ok, err := x.bucketExists(x.bucket)
	if err == nil && !ok {
		return errNoSuchBucket
	}
	return err
}

// validBucket follows the specification's rules for names.
func validBucket(name string) bool {
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

type bucketConfiguration struct {
	XMLName            xml.Name `xml:"CreateBucketConfiguration"`
	LocationConstraint string
}

func (x *exchange) createBucket() error {
	text, err := x.readSmall(64 << 10)
	if err != nil {
		return err
	}
	if len(text) > 0 {
		var in bucketConfiguration
		if err := xml.Unmarshal(text, &in); err != nil {
			return errMalformedXML
		}
		if in.LocationConstraint != "" && in.LocationConstraint != x.s.cfg.Region {
			return refuse(400, "IllegalLocationConstraintException", "The region of this gateway is %s.", x.s.cfg.Region)
		}
	}
	if !validBucket(x.bucket) {
		return refuse(400, "InvalidBucketName", "The specified bucket is not valid.")
	}
	owned := refuse(409, "BucketAlreadyOwnedByYou", "Your previous request to create the named bucket succeeded and you already own it.")
	if _, fixed := x.s.buckets.fixed[x.bucket]; fixed {
		return owned
	}
	meta, err := json.Marshal(bucketRecord{time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	_, err = x.store(brick.Request{Space: brick.SpaceBuckets, Name: x.bucket, Meta: meta, IfAbsent: true}, x.home(x.bucket))
	if errors.Is(err, errPrecondition) {
		return owned
	}
	if err != nil {
		return err
	}
	x.s.buckets.saw(x.bucket)
	return x.answer(200, http1.Fields{{Name: "Location", Value: "/" + x.bucket}}, nil)
}

func (x *exchange) headBucket() error {
	if err := x.needBucket(); err != nil {
		return err
	}
	return x.answer(200, http1.Fields{{Name: "x-amz-bucket-region", Value: x.s.cfg.Region}}, nil)
}

func (x *exchange) deleteBucket() error {
	if err := x.needBucket(); err != nil {
		return err
	}
	if _, fixed := x.s.buckets.fixed[x.bucket]; fixed {
		return refuse(403, "AccessDenied", "The bucket is one of the gateway's settings.")
	}
	for _, space := range []string{brick.SpaceObjects, brick.SpaceUploads} {
		items, _, err := x.pagesEverywhere(space, brick.ListQuery{Prefix: x.bucket + "/", MaxItems: 1})
		if err != nil {
			return err
		}
		if len(items) > 0 {
			return refuse(409, "BucketNotEmpty", "The bucket you tried to delete is not empty.")
		}
	}
	x.s.buckets.forget(x.bucket)
	if _, _, err := x.remove(brick.SpaceBuckets, x.bucket, x.home(x.bucket), 0); err != nil {
		return err
	}
	x.head(204, nil, -1)
	return x.flush()
}

type location struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ LocationConstraint"`
	Region  string   `xml:",chardata"`
}

func (x *exchange) bucketLocation() error {
	if err := x.needBucket(); err != nil {
		return err
	}
	region := x.s.cfg.Region
	if region == "us-east-1" { // the specification's name for it is none
		region = ""
	}
	return x.answerXML(200, location{Region: region})
}

type bucketList struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListAllMyBucketsResult"`
	Owner   owner
	Buckets []bucketEntry `xml:"Buckets>Bucket"`
}

type owner struct{ ID, DisplayName string }

type bucketEntry struct{ Name, CreationDate string }

// ours is the owner of all: keys share everything.
var ours = owner{"arrowwalk", "arrowwalk"}

func (x *exchange) listBuckets() error {
	if err := x.noBody(); err != nil {
		return err
	}
	items, _, err := x.pagesEverywhere(brick.SpaceBuckets, brick.ListQuery{MaxItems: bucketsMost})
	if err != nil {
		return err
	}
	out := bucketList{Owner: ours}
	created := map[string]int64{}
	for name := range x.s.buckets.fixed {
		created[name] = 0
	}
	for _, it := range items {
		var rec bucketRecord
		if err := json.Unmarshal(it.Meta, &rec); err != nil {
			return err
		}
		created[string(it.Name)] = rec.Created
	}
	for _, name := range sortedKeys(created) {
		out.Buckets = append(out.Buckets, bucketEntry{name, isoTime(created[name])})
	}
	return x.answerXML(200, out)
}
