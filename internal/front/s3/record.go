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

// record is the stored metadata of an object.
type record struct {
	ETag        string            `json:"e"`           // without quotes
	Size        int64             `json:"s"`           // bytes
	ModifiedMS  int64             `json:"t"`           // last change, Unix time in milliseconds
	ContentType string            `json:"c,omitempty"` // Content-Type
	Fields      map[string]string `json:"h,omitempty"` // stored headers and user metadata, by lower-case name
	Checksums   map[string]string `json:"k,omitempty"` // base64, by algorithm
	PiecePrefix string            `json:"d,omitempty"` // names of the pieces begin with it and a slash; "" if the body is stored with the record
	UploadID    string            `json:"u,omitempty"` // multipart upload that created the object
}

// manifest is the body of the blob of an object that is stored in pieces.
type manifest struct {
	Runs []pieceRun `json:"runs"`
	// SizesKnown tells that each PieceSize is that with which the pieces were stored.
	// Older versions wrote the one in force when an upload was completed.
	SizesKnown bool `json:"k,omitempty"`
}

// pieceRun is a sequence of pieces that have PieceSize bytes each, except for
// the last.
type pieceRun struct {
	Base      string `json:"b"`
	Size      int64  `json:"s"`
	PieceSize int64  `json:"p"`
}

const (
	maxRecordBytes       = 8 << 10 // size of a record as JSON
	maxUserMetadataBytes = 2 << 10 // limit of the S3 specification for user metadata
	maxManifestBytes     = 16 << 20
)

// decodeRecord decodes a stored record.
func decodeRecord(text []byte) (*record, error) {
	r := &record{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("object record: %w", err)
	}
	return r, nil
}

// decodeManifest decodes a stored manifest.
func decodeManifest(text []byte) (*manifest, error) {
	m := &manifest{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("object manifest: %w", err)
	}
	return m, nil
}

// encode returns the stored form of the record, or an error response if it is
// too large.
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

// modified returns the time of the last change.
func (r *record) modified() time.Time { return time.UnixMilli(r.ModifiedMS).UTC() }

// formatISOTime formats Unix milliseconds as the API's XML requires.
func formatISOTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

// quoteETag returns an entity tag in quotes.
func quoteETag(etag string) string { return `"` + etag + `"` }

// storedFields lists the request headers that are stored and returned with the
// object.
var storedFields = []string{"cache-control", "content-disposition", "content-encoding", "content-language", "expires"}

// readMetadata sets the content type and the stored headers of a record from
// the request.
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

// isStoredField reports whether a header, in lower case, is one of
// storedFields.
func isStoredField(name string) bool {
	for _, k := range storedFields {
		if k == name {
			return true
		}
	}
	return false
}

// stripAWSChunked removes aws-chunked from a list of content codings, because
// it applies to the request and not to the object.
func stripAWSChunked(value string) string {
	var codings []string
	for _, coding := range strings.Split(value, ",") {
		if coding = strings.TrimSpace(coding); coding != "" && !strings.EqualFold(coding, "aws-chunked") {
			codings = append(codings, coding)
		}
	}
	return strings.Join(codings, ",")
}

// responseFields returns the response headers of an object.
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

// checksumFields returns the response headers of checksums.
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

// byteRange is a contiguous range of bytes of an object.
type byteRange struct{ from, length int64 }

// parseRange parses a Range header for an object of size bytes. It returns
// false for a value that must be ignored: several ranges, other units or a
// syntax error (RFC 9110 section 14.2). The error is the response to a range
// that cannot be satisfied.
func parseRange(header string, size int64) (r byteRange, ok bool, err error) {
	rangeSpec, found := strings.CutPrefix(header, "bytes=")
	first, last, dash := strings.Cut(strings.TrimSpace(rangeSpec), "-")
	if !found || !dash || strings.Contains(rangeSpec, ",") {
		return byteRange{}, false, nil
	}
	if first == "" {
		n, valid := parseDigits(last)
		if !valid {
			return byteRange{}, false, nil
		}
		if n == 0 || size == 0 {
			return byteRange{}, false, errInvalidRange
		}
		n = min(n, size)
		return byteRange{size - n, n}, true, nil
	}
	from, firstOK := parseDigits(first)
	to, lastOK := size-1, true
	if last != "" {
		to, lastOK = parseDigits(last)
	}
	if !firstOK || !lastOK || last != "" && to < from {
		return byteRange{}, false, nil
	}
	if from >= size {
		return byteRange{}, false, errInvalidRange
	}
	return byteRange{from, min(to, size-1) - from + 1}, true, nil
}

// errInvalidRange is the response to a range that cannot be satisfied.
var errInvalidRange = newAPIError(416, "InvalidRange", "The requested range is not satisfiable")

// parseDigits parses a decimal number. A number that overflows is returned as
// the largest int64, which exceeds the size of any object.
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

// piece is the wanted part of a stored piece.
type piece struct {
	name   string
	from   int64 // offset of the first wanted byte
	length int64 // number of wanted bytes
	size   int64 // size of the whole piece
}

// pieces returns the parts of the pieces that a byte range of the object
// covers.
func (m *manifest) pieces(wanted byteRange) []piece {
	var pieces []piece
	runStart := int64(0) // offset of the run in the object
	for _, r := range m.Runs {
		runEnd := runStart + r.Size
		for from := max(runStart, wanted.from); from < min(runEnd, wanted.from+wanted.length); {
			index := (from - runStart) / r.PieceSize
			pieceStart := runStart + index*r.PieceSize
			size := min(r.PieceSize, runEnd-pieceStart)
			to := min(pieceStart+size, wanted.from+wanted.length)
			pieces = append(pieces, piece{placement.Piece(r.Base, int(index)), from - pieceStart, to - from, size})
			from = to
		}
		runStart = runEnd
	}
	return pieces
}

// isValid reports whether the manifest is consistent with an object of size
// bytes.
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

// conditions holds the preconditions of a request (RFC 9110 section 13).
type conditions struct {
	match, noneMatch                     string
	modifiedSince, unmodifiedSince       time.Time
	hasMatch, hasNoneMatch               bool
	hasModifiedSince, hasUnmodifiedSince bool
}

// parseConditions parses the preconditions. The headers' names begin with
// prefix, which is not empty for the source of a copy. Invalid dates are
// ignored, as the RFC requires.
func parseConditions(fields http1.Fields, prefix string) conditions {
	var c conditions
	c.match, c.hasMatch = fields.Lookup(prefix + "If-Match")
	c.noneMatch, c.hasNoneMatch = fields.Lookup(prefix + "If-None-Match")
	c.modifiedSince, c.hasModifiedSince = parseDate(fields, prefix+"If-Modified-Since")
	c.unmodifiedSince, c.hasUnmodifiedSince = parseDate(fields, prefix+"If-Unmodified-Since")
	return c
}

// parseDate returns the date in a header, if there is a valid one.
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

// check evaluates the preconditions in the order of RFC 9110 section 13.2.2.
// It returns errPrecondition or errNotModified if one fails.
func (c *conditions) check(r *record) error {
	modified := r.modified().Truncate(time.Second)
	switch {
	case c.hasMatch:
		if !matchesETag(c.match, r.ETag) {
			return errPrecondition
		}
	case c.hasUnmodifiedSince && modified.After(c.unmodifiedSince):
		return errPrecondition
	}
	switch {
	case c.hasNoneMatch:
		if matchesETag(c.noneMatch, r.ETag) {
			return errNotModified
		}
	case c.hasModifiedSince && !modified.After(c.modifiedSince):
		return errNotModified
	}
	return nil
}

// matchesETag reports whether a list of entity tags contains etag or "*".
func matchesETag(list, etag string) bool {
	for _, tag := range strings.Split(list, ",") {
		tag = strings.TrimPrefix(strings.TrimSpace(tag), "W/")
		if tag == "*" || strings.Trim(tag, `"`) == etag {
			return true
		}
	}
	return false
}
