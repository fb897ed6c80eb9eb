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

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// listParams holds the parameters that ListObjects, ListObjectsV2, ListParts
// and ListMultipartUploads share.
type listParams struct {
	prefix, delimiter string
	maxItems          int
	urlEncode         bool // percent-encode names in the result
}

// maxListItems is the page size limit of the S3 specification.
const maxListItems = 1000

// parseListParams parses the shared parameters; maxParam is the name of the
// one that limits the page size.
func (x *exchange) parseListParams(maxParam string) (listParams, error) {
	params := listParams{prefix: x.query.Get("prefix"), delimiter: x.query.Get("delimiter"), maxItems: maxListItems}
	if value, ok := x.query.Lookup(maxParam); ok {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return params, newAPIError(400, "InvalidArgument", "Argument %s must be an integer between 0 and 2147483647.", maxParam)
		}
		params.maxItems = min(n, maxListItems)
	}
	switch encoding := x.query.Get("encoding-type"); encoding {
	case "":
	case "url":
		params.urlEncode = true
	default:
		return params, newAPIError(400, "InvalidArgument", "Invalid Encoding Method specified in Request.")
	}
	return params, nil
}

// encodeName returns a name as it appears in the result.
func (l *listParams) encodeName(name string) string {
	if l.urlEncode {
		return string(sigv4.AppendPercentEncoded(nil, name, true))
	}
	return name
}

// encodingType returns the value of the EncodingType element.
func (l *listParams) encodingType() string {
	if l.urlEncode {
		return "url"
	}
	return ""
}

// listObjectsResult is the XML body of ListObjects and ListObjectsV2.
type listObjectsResult struct {
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

// listedObject is the XML element of one object.
type listedObject struct {
	Key          string
	LastModified string
	ETag         string
	Size         int64
	StorageClass string
	Owner        *owner `xml:",omitempty"`
}

// commonPrefix is the XML element of a group of keys up to a delimiter.
type commonPrefix struct{ Prefix string }

// listObjects serves ListObjects and ListObjectsV2.
func (x *exchange) listObjects() error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	params, err := x.parseListParams("max-keys")
	if err != nil {
		return err
	}
	if err := x.requireBucket(); err != nil {
		return err
	}
	isV2 := false
	switch x.query.Get("list-type") {
	case "":
	case "2":
		isV2 = true
	default:
		return newAPIError(400, "InvalidArgument", "Invalid list-type.")
	}
	result := &listObjectsResult{Name: x.bucket, Prefix: params.encodeName(params.prefix), MaxKeys: params.maxItems, Delimiter: params.encodeName(params.delimiter), EncodingType: params.encodingType()}
	after, err := x.pageStart(result, &params, isV2)
	if err != nil {
		return err
	}
	last, err := x.fillPage(result, &params, after, isV2 && x.query.Get("fetch-owner") != "true")
	if err != nil {
		return err
	}
	if isV2 {
		count := len(result.Contents) + len(result.CommonPrefixes)
		result.KeyCount = &count
		if result.IsTruncated {
			result.NextContinuationToken = base64.URLEncoding.EncodeToString([]byte(last))
		}
	} else if result.IsTruncated && params.delimiter != "" {
		result.NextMarker = params.encodeName(last)
	}
	return x.respondXML(200, result)
}

// pageStart returns the key after which the page begins, and echoes the
// parameters in the result.
func (x *exchange) pageStart(result *listObjectsResult, params *listParams, isV2 bool) (string, error) {
	if !isV2 {
		marker := x.query.Get("marker")
		encoded := params.encodeName(marker)
		result.Marker = &encoded
		return marker, nil
	}
	after := x.query.Get("start-after")
	result.StartAfter = params.encodeName(after)
	token, ok := x.query.Lookup("continuation-token")
	if !ok {
		return after, nil
	}
	key, err := base64.URLEncoding.DecodeString(token)
	if err != nil {
		return "", newAPIError(400, "InvalidArgument", "The continuation token provided is incorrect.")
	}
	result.ContinuationToken = token
	return string(key), nil
}

// fillPage adds a page of keys to the result and returns the last one.
func (x *exchange) fillPage(result *listObjectsResult, params *listParams, after string, omitOwner bool) (string, error) {
	if params.maxItems == 0 {
		return "", nil
	}
	bucketPrefix := x.bucket + "/"
	list := brick.ListQuery{Prefix: bucketPrefix + params.prefix, Delimiter: params.delimiter, MaxItems: params.maxItems}
	if after != "" {
		list.After = bucketPrefix + after
	}
	items, more, err := x.listAllShards(brick.SpaceObjects, list)
	if err != nil {
		return "", err
	}
	result.IsTruncated = more
	last := ""
	for _, item := range items {
		last = string(item.Name[len(bucketPrefix):])
		if item.IsPrefix {
			result.CommonPrefixes = append(result.CommonPrefixes, commonPrefix{params.encodeName(last)})
			continue
		}
		record, err := decodeRecord(item.Meta)
		if err != nil {
			return "", err
		}
		object := listedObject{Key: params.encodeName(last), LastModified: formatISOTime(record.ModifiedMS), ETag: quoteETag(record.ETag), Size: record.Size, StorageClass: "STANDARD"}
		if !omitOwner {
			object.Owner = &defaultOwner
		}
		result.Contents = append(result.Contents, object)
	}
	return last, nil
}
