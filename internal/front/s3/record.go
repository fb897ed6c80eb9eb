package s3

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"arrowwalk/internal/http1"
	"arrowwalk/internal/placement"
)

// record is what is kept of an object beside its bytes.
type record struct {
	ETag        string            `json:"e"`           // without quotes
	Size        int64             `json:"s"`           // bytes
	ModifiedMS  int64             `json:"t"`           // of the last change, milliseconds since 1970
	ContentType string            `json:"c,omitempty"` // Content-Type
	Fields      map[string]string `json:"h,omitempty"` // other fields to give back, by lower-case name
	Checksums   map[string]string `json:"k,omitempty"` // checksums in base64, by algorithm
	PiecePrefix string            `json:"d,omitempty"` // pieces' names begin with it and a slash; "": the body is here
	UploadID    string            `json:"u,omitempty"` // the multipart upload that made it
}

// manifest is the body of an object's blob where its data is in pieces.
type manifest struct {
	Runs []pieceRun `json:"runs"`
}

// pieceRun is a row of pieces: all of Piece bytes but the last.
type pieceRun struct {
	Base      string `json:"b"`
	Size      int64  `json:"s"`
	PieceSize int64  `json:"p"`
}

const (
	maxRecordBytes       = 8 << 10 // bytes of a record as JSON
	maxUserMetadataBytes = 2 << 10 // bytes of user metadata, as the specification has it
	maxManifestBytes     = 16 << 20
)

func decodeRecord(text []byte) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("object record: %w", err)
	}
	return r, nil
}

// encode returns the record as it is kept.
func (r *record) encode() ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(text) > maxRecordBytes {
		return nil, newAPIError(400, "MetadataTooLarge", "Your metadata headers exceed the maximum allowed metadata size.")
	}
	return text, nil
}

func (r *record) modified() time.Time { return time.UnixMilli(r.ModifiedMS).UTC() }

// formatISOTime is the form of times in the API's XML.
func formatISOTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

func quoteETag(etag string) string { return `"` + etag + `"` }

// storedFields are the request's fields that come back with the object.
var storedFields = []string{"cache-control", "content-disposition", "content-encoding", "content-language", "expires"}

// readMetadata fills a record with what the request says of the object.
func (x *exchange) readMetadata(r *record) error {
	fields := x.conn.req.Fields
	r.ContentType = fields.Get("Content-Type")
	if r.ContentType == "" {
		r.ContentType = "binary/octet-stream"
	}
	size := 0
	for i := range fields {
		name := strings.ToLower(fields[i].Name)
		value := fields[i].Value
		switch {
		case strings.HasPrefix(name, "x-amz-meta-"):
			if size += len(name) - len("x-amz-meta-") + len(value); size > maxUserMetadataBytes {
				return newAPIError(400, "MetadataTooLarge", "Your metadata headers exceed the maximum allowed metadata size.")
			}
		case name == "content-encoding":
			if value = stripAWSChunked(value); value == "" {
				continue
			}
		default:
			if !isStoredField(name) {
				continue
			}
		}
		if r.Fields == nil {
			r.Fields = map[string]string{}
		}
		if old, ok := r.Fields[name]; ok {
			value = old + "," + value
		}
		r.Fields[name] = value
	}
	return nil
}

func isStoredField(name string) bool {
	for _, k := range storedFields {
		if k == name {
			return true
		}
	}
	return false
}

// stripAWSChunked takes aws-chunked off a list of content codings: it is of the
// request, not of the object.
func stripAWSChunked(value string) string {
	var kept []string
	for _, one := range strings.Split(value, ",") {
		if one = strings.TrimSpace(one); one != "" && !strings.EqualFold(one, "aws-chunked") {
			kept = append(kept, one)
		}
	}
	return strings.Join(kept, ",")
}

// responseFields returns the answer's responseFields for an object.
func (r *record) responseFields(checksums bool) http1.Fields {
	f := make(http1.Fields, 0, 6+len(r.Fields))
	f = append(f,
		http1.Field{Name: "ETag", Value: quoteETag(r.ETag)},
		http1.Field{Name: "Last-Modified", Value: r.modified().Format(httpTimeFormat)},
		http1.Field{Name: "Accept-Ranges", Value: "bytes"},
		http1.Field{Name: "Content-Type", Value: r.ContentType})
	for name, value := range r.Fields {
		f = append(f, http1.Field{Name: name, Value: value})
	}
	if checksums {
		f = append(f, checksumFields(r.Checksums)...)
	}
	return f
}

func checksumFields(sums map[string]string) http1.Fields {
	var f http1.Fields
	for algorithm, sum := range sums {
		f = append(f, http1.Field{Name: "x-amz-checksum-" + algorithm, Value: sum})
	}
	if len(f) > 0 {
		f = append(f, http1.Field{Name: "x-amz-checksum-type", Value: "FULL_OBJECT"})
	}
	return f
}

// byteRange is a part of an object's bytes.
type byteRange struct{ from, length int64 }

// parseRange reads a Range field for an object of size bytes. ok is false for
// what is to be passed over: several ranges, other units, or nonsense
// (RFC 9110 section 14.2). An error is the lawful refusal.
func parseRange(text string, size int64) (s byteRange, ok bool, err error) {
	spec, found := strings.CutPrefix(text, "bytes=")
	first, last, dash := strings.Cut(strings.TrimSpace(spec), "-")
	if !found || !dash || strings.Contains(spec, ",") {
		return byteRange{}, false, nil
	}
	if first == "" {
		n, good := parseDigits(last)
		if !good {
			return byteRange{}, false, nil
		}
		if n == 0 || size == 0 {
			return byteRange{}, false, errInvalidRange
		}
		n = min(n, size)
		return byteRange{size - n, n}, true, nil
	}
	from, good := parseDigits(first)
	to, good2 := size-1, true
	if last != "" {
		to, good2 = parseDigits(last)
	}
	if !good || !good2 || last != "" && to < from {
		return byteRange{}, false, nil
	}
	if from >= size {
		return byteRange{}, false, errInvalidRange
	}
	return byteRange{from, min(to, size-1) - from + 1}, true, nil
}

var errInvalidRange = newAPIError(416, "InvalidRange", "The requested range is not satisfiable")

// parseDigits reads a number that may be larger than any object.
func parseDigits(s string) (int64, bool) {
	if s == "" || strings.Trim(s, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 1<<63 - 1, true
	}
	return n, true
}

// piece is a part of an object that one brick holds.
type piece struct {
	name   string
	from   int64 // first byte wanted
	length int64 // bytes wanted
	size   int64 // of the whole piece
}

// pieces lists the parts of the pieces that a span of the object covers.
func (m *manifest) pieces(want byteRange) []piece {
	var out []piece
	at := int64(0) // where the run begins in the object
	for _, r := range m.Runs {
		end := at + r.Size
		for from := max(at, want.from); from < min(end, want.from+want.length); {
			index := (from - at) / r.PieceSize
			begin := at + index*r.PieceSize
			size := min(r.PieceSize, end-begin)
			to := min(begin+size, want.from+want.length)
			out = append(out, piece{placement.Piece(r.Base, int(index)), from - begin, to - from, size})
			from = to
		}
		at = end
	}
	return out
}

// isValid tells whether a manifest that was read can be one for size bytes.
func (m *manifest) isValid(size int64) bool {
	total := int64(0)
	for _, r := range m.Runs {
		if r.Size <= 0 || r.PieceSize <= 0 || r.Base == "" {
			return false
		}
		total += r.Size
	}
	return total == size
}

// conditions are a request's preconditions (RFC 9110 section 13).
type conditions struct {
	match, noneMatch                     string
	modifiedSince, unmodifiedSince       time.Time
	hasMatch, hasNoneMatch               bool
	hasModifiedSince, hasUnmodifiedSince bool
}

// parseConditions reads the preconditions; prefix is that of the copy source's.
// Dates that make no sense are passed over, as the RFC says.
func parseConditions(fields http1.Fields, prefix string) conditions {
	var c conditions
	c.match, c.hasMatch = fields.Lookup(prefix + "If-Match")
	c.noneMatch, c.hasNoneMatch = fields.Lookup(prefix + "If-None-Match")
	c.modifiedSince, c.hasModifiedSince = parseDate(fields, prefix+"If-Modified-Since")
	c.unmodifiedSince, c.hasUnmodifiedSince = parseDate(fields, prefix+"If-Unmodified-Since")
	return c
}

func parseDate(fields http1.Fields, name string) (time.Time, bool) {
	text, ok := fields.Lookup(name)
	if !ok {
		return time.Time{}, false
	}
	for _, layout := range []string{httpTimeFormat, time.RFC850, time.ANSIC, time.RFC3339} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, true
		}
	}
	return time.Time{}, false
}

// isEmpty tells whether there are no preconditions.
func (c *conditions) isEmpty() bool {
	return !c.hasMatch && !c.hasNoneMatch && !c.hasModifiedSince && !c.hasUnmodifiedSince
}

// check evaluates the preconditions in the order of RFC 9110 section 13.2.2.
func (c *conditions) check(r *record) error {
	when := r.modified().Truncate(time.Second)
	switch {
	case c.hasMatch:
		if !matchesETag(c.match, r.ETag) {
			return errPrecondition
		}
	case c.hasUnmodifiedSince && when.After(c.unmodifiedSince):
		return errPrecondition
	}
	switch {
	case c.hasNoneMatch:
		if matchesETag(c.noneMatch, r.ETag) {
			return errNotModified
		}
	case c.hasModifiedSince && !when.After(c.modifiedSince):
		return errNotModified
	}
	return nil
}

// matchesETag tells whether a list of entity tags holds one, or is "*".
func matchesETag(list, etag string) bool {
	for _, one := range strings.Split(list, ",") {
		one = strings.TrimPrefix(strings.TrimSpace(one), "W/")
		if one == "*" || strings.Trim(one, `"`) == etag {
			return true
		}
	}
	return false
}
