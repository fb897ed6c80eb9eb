package s3

import (
	"encoding/base64"
	"encoding/xml"
	"maps"
	"slices"
	"strconv"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/front/s3/sigv4"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// listing is what the two versions of ListObjects, and ListMultipartUploads,
// ask for.
type listing struct {
	prefix, delimiter string
	most              int
	encoded           bool // names are to be percent-encoded
}

const keysMost = 1000 // in a page, as the specification has it

func (x *exchange) listing(most string) (listing, error) {
	l := listing{prefix: x.query.Get("prefix"), delimiter: x.query.Get("delimiter"), most: keysMost}
	if text, ok := x.query.Lookup(most); ok {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return l, refuse(400, "InvalidArgument", "Argument %s must be an integer between 0 and 2147483647.", most)
		}
		l.most = min(n, keysMost)
	}
	switch encoding := x.query.Get("encoding-type"); encoding {
	case "":
	case "url":
		l.encoded = true
	default:
		return l, refuse(400, "InvalidArgument", "Invalid Encoding Method specified in Request.")
	}
	return l, nil
}

func (l *listing) text(s string) string {
	if l.encoded {
		return string(sigv4.AppendPercentEncoded(nil, s, true))
	}
	return s
}

func (l *listing) encodingType() string {
	if l.encoded {
		return "url"
	}
	return ""
}

type listResult struct {
	XMLName               xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListBucketResult"`
	Name                  string
	Prefix                string
	Marker                *string `xml:",omitempty"`
	NextMarker            string  `xml:",omitempty"`
	StartAfter            string  `xml:",omitempty"`
	ContinuationToken     string  `xml:",omitempty"`
	NextContinuationToken string  `xml:",omitempty"`
	KeyCount              *int    `xml:",omitempty"`
	MaxKeys               int
	Delimiter             string `xml:",omitempty"`
	EncodingType          string `xml:",omitempty"`
	IsTruncated           bool
	Contents              []listedObject
	CommonPrefixes        []commonPrefix
}

type listedObject struct {
	Key          string
	LastModified string
	ETag         string
	Size         int64
	StorageClass string
	Owner        *owner `xml:",omitempty"`
}

type commonPrefix struct{ Prefix string }

// listObjects serves ListObjects in both its versions.
func (x *exchange) listObjects() error {
	if err := x.noBody(); err != nil {
		return err
	}
	l, err := x.listing("max-keys")
	if err != nil {
		return err
	}
	if err := x.needBucket(); err != nil {
		return err
	}
	second := false
	switch x.query.Get("list-type") {
	case "":
	case "2":
		second = true
	default:
		return refuse(400, "InvalidArgument", "Invalid list-type.")
	}
	out := &listResult{Name: x.bucket, Prefix: l.text(l.prefix), MaxKeys: l.most, Delimiter: l.text(l.delimiter), EncodingType: l.encodingType()}
	after, err := x.listStart(out, &l, second)
	if err != nil {
		return err
	}
	last, err := x.fillPage(out, &l, after, second && x.query.Get("fetch-owner") != "true")
	if err != nil {
		return err
	}
	if second {
		count := len(out.Contents) + len(out.CommonPrefixes)
		out.KeyCount = &count
		if out.IsTruncated {
			out.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(last))
		}
	} else if out.IsTruncated && l.delimiter != "" {
		out.NextMarker = l.text(last)
	}
	return x.answerXML(200, out)
}

// listStart returns the key after which the page begins.
func (x *exchange) listStart(out *listResult, l *listing, second bool) (string, error) {
	if !second {
		marker := x.query.Get("marker")
		text := l.text(marker)
		out.Marker = &text
		return marker, nil
	}
	after := x.query.Get("start-after")
	out.StartAfter = l.text(after)
	token, ok := x.query.Lookup("continuation-token")
	if !ok {
		return after, nil
	}
	key, err := base64.URLEncoding.DecodeString(token)
	if err != nil {
		return "", refuse(400, "InvalidArgument", "The continuation token provided is incorrect.")
	}
	out.ContinuationToken = token
	return string(key), nil
}

// fillPage reads a page of keys and returns the last of them.
func (x *exchange) fillPage(out *listResult, l *listing, after string, anonymous bool) (string, error) {
	if l.most == 0 {
		return "", nil
	}
	lead := x.bucket + "/"
	list := brick.ListQuery{Prefix: lead + l.prefix, Delimiter: l.delimiter, MaxItems: l.most}
	if after != "" {
		list.After = lead + after
	}
	items, more, err := x.pagesEverywhere(brick.SpaceObjects, list)
	if err != nil {
		return "", err
	}
	out.IsTruncated = more
	last := ""
	for _, it := range items {
		last = string(it.Name[len(lead):])
		if it.IsPrefix {
			out.CommonPrefixes = append(out.CommonPrefixes, commonPrefix{l.text(last)})
			continue
		}
		rec, err := decodeRecord(it.Meta)
		if err != nil {
			return "", err
		}
		o := listedObject{Key: l.text(last), LastModified: isoTime(rec.Time), ETag: quote(rec.ETag), Size: rec.Size, StorageClass: "STANDARD"}
		if !anonymous {
			o.Owner = &ours
		}
		out.Contents = append(out.Contents, o)
	}
	return last, nil
}
