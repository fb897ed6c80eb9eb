package s3

import (
	"crypto/md5"
	"crypto/rand"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"hash"
	"hash/crc32"
	"hash/crc64"
	"io"
	"strconv"
	"strings"
	"time"

	"arrowwalk/internal/config"
	"arrowwalk/internal/front/s3/awschunked"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/sockstate"
)

// Checksum tables. The polynomial of x-amz-checksum-crc64nvme is in reflected form.
var (
	crc64NVMETable = crc64.MakeTable(0x9a6c9329ac4bc9b5)
	crc32cTable    = crc32.MakeTable(crc32.Castagnoli)
)

// checksumAlgorithms maps the suffixes of the x-amz-checksum-* headers to
// their hash functions.
var checksumAlgorithms = map[string]func() hash.Hash{
	"crc32":     func() hash.Hash { return crc32.NewIEEE() },
	"crc32c":    func() hash.Hash { return crc32.New(crc32cTable) },
	"crc64nvme": func() hash.Hash { return crc64.New(crc64NVMETable) },
	"sha1":      sha1.New,
	"sha256":    sha256.New,
}

// checksumPrefix begins the names of the checksum headers.
const checksumPrefix = "x-amz-checksum-"

// upload reads a request body and verifies the length, hashes and checksums
// that the client declared.
type upload struct {
	exchange          *exchange
	source            io.Reader
	chunkReader       *awschunked.Reader // nil unless the body is aws-chunked
	declaredSize      int64              // decoded length that the client declared; -1 if unknown
	received          int64              // decoded bytes read so far
	md5               hash.Hash
	payloadSHA256     hash.Hash            // nil unless the hash of the payload is signed
	checksums         map[string]hash.Hash // running hashes by algorithm
	declaredChecksums map[string]string    // expected checksums in base64, by algorithm
	trailerAlgorithm  string               // algorithm whose checksum follows in the trailer
	wantMD5           []byte               // nil unless Content-MD5 is given
}

// newUpload prepares reading the request body. It returns an error response if
// the headers that describe the body are invalid.
func (x *exchange) newUpload() (*upload, error) {
	req := &x.conn.req
	u := &upload{exchange: x, source: clientBody{x}, declaredSize: -1, md5: md5.New(), declaredChecksums: map[string]string{}, checksums: map[string]hash.Hash{}}
	if req.HasLength {
		u.declaredSize = req.Length
	}
	if err := u.configurePayload(); err != nil {
		return nil, err
	}
	if err := u.parseChecksumFields(); err != nil {
		return nil, err
	}
	if u.declaredSize > x.server.cfg.Bounds.ObjectBytes {
		x.closeConn = true
		return nil, errTooLarge
	}
	if u.declaredSize < 0 && !req.Chunked {
		return nil, newAPIError(411, "MissingContentLength", "You must provide the Content-Length HTTP header.")
	}
	return u, nil
}

// configurePayload sets up decoding and hashing as x-amz-content-sha256
// requires.
func (u *upload) configurePayload() error {
	x := u.exchange
	var signer *sigv4.ChunkSigner
	switch payloadHash := x.identity.PayloadHash; payloadHash {
	case sigv4.UnsignedPayload:
		return nil
	case awschunked.SignedPayload, awschunked.SignedPayloadTrailer:
		signer = x.identity.NewChunkSigner()
	case awschunked.UnsignedPayloadTrailer:
	default:
		if len(payloadHash) != 64 || strings.Trim(payloadHash, "0123456789abcdef") != "" {
			if strings.HasPrefix(payloadHash, "STREAMING-") {
				return errNotImplemented
			}
			return newAPIError(400, "InvalidArgument", "x-amz-content-sha256 must be UNSIGNED-PAYLOAD, a STREAMING name or a SHA-256.")
		}
		u.payloadSHA256 = sha256.New()
		return nil
	}
	length, ok := x.conn.req.Fields.Lookup("X-Amz-Decoded-Content-Length")
	size, err := strconv.ParseInt(length, 10, 64)
	if !ok || err != nil || size < 0 {
		return newAPIError(411, "MissingContentLength", "You must provide x-amz-decoded-content-length with a streamed body.")
	}
	u.declaredSize = size
	u.chunkReader = awschunked.NewReader(u.source, signer, x.identity.PayloadHash != awschunked.SignedPayload)
	u.source = u.chunkReader
	return nil
}

// parseChecksumFields parses Content-MD5, the x-amz-checksum-* headers and
// X-Amz-Trailer.
func (u *upload) parseChecksumFields() error {
	fields := u.exchange.conn.req.Fields
	if value, ok := fields.Lookup("Content-MD5"); ok {
		sum, err := base64.StdEncoding.DecodeString(value)
		if err != nil || len(sum) != md5.Size {
			return newAPIError(400, "InvalidDigest", "The Content-MD5 you specified is not valid.")
		}
		u.wantMD5 = sum
	}
	for i := range fields {
		name := strings.ToLower(fields[i].Name)
		algorithm, ok := strings.CutPrefix(name, checksumPrefix)
		if !ok || algorithm == "algorithm" || algorithm == "type" || algorithm == "mode" {
			continue
		}
		newHash := checksumAlgorithms[algorithm]
		if newHash == nil {
			return newAPIError(400, "InvalidRequest", "Header %s: the algorithm is not supported.", name)
		}
		u.checksums[algorithm], u.declaredChecksums[algorithm] = newHash(), fields[i].Value
		if sum, err := base64.StdEncoding.DecodeString(fields[i].Value); err != nil || len(sum) != u.checksums[algorithm].Size() {
			return newAPIError(400, "InvalidRequest", "Value for %s header is invalid.", name)
		}
	}
	if value := fields.Get("X-Amz-Trailer"); value != "" {
		algorithm := strings.TrimPrefix(strings.ToLower(strings.TrimSpace(value)), checksumPrefix)
		if checksumAlgorithms[algorithm] == nil || u.chunkReader == nil {
			return newAPIError(400, "InvalidRequest", "The value specified in the x-amz-trailer header is not supported.")
		}
		u.checksums[algorithm], u.trailerAlgorithm = checksumAlgorithms[algorithm](), algorithm
	}
	return nil
}

// clientBody reads the body of the request from the connection and bounds the
// wait of each read.
type clientBody struct{ exchange *exchange }

// maxSocketBufferBytes is how much of a body the socket buffers of both ends
// can hold. While more than that is unread, the client has not sent its last
// byte.
const maxSocketBufferBytes = 16 << 20

// bufferTransitTime is how long bytes may take to arrive from the client's
// send buffer once the receive buffer has space. Pauses in reading that are
// shorter do not count.
const bufferTransitTime = 50 * time.Millisecond

// recordReadPause notes that the body was not read since t. After a long pause
// the client may have sent the whole body into socket buffers, so an empty
// socket no longer shows that it is still sending.
func (x *exchange) recordReadPause(t time.Time) {
	x.restMayBeBuffered = x.restMayBeBuffered || time.Since(t) > bufferTransitTime
}

// Read implements io.Reader. It also moves the start of the client's wait
// forward while the client is still sending.
func (b clientBody) Read(p []byte) (int, error) {
	x := b.exchange
	if err := x.sendContinue(); err != nil {
		return 0, err
	}
	if x.conn.body.Done() { // the client has sent everything, so an empty socket means nothing
		return x.conn.body.Read(p)
	}
	startedAt := time.Now()
	remaining := x.conn.body.Remaining()
	socketEmpty := x.conn.reader.Buffered() == 0 && x.conn.rawConn != nil && !sockstate.Readable(x.conn.rawConn)
	if remaining > maxSocketBufferBytes || (remaining < 0 || socketEmpty) && !x.restMayBeBuffered {
		x.waitStart = startedAt // the client is still sending, so its wait has not begun
	}
	x.conn.netConn.SetReadDeadline(startedAt.Add(config.MS(x.server.cfg.Timeouts.BodyStallMS)))
	n, err := x.conn.body.Read(p)
	if x.conn.body.Done() {
		x.arrivedAt = x.server.opts.Host.ArrivalTime(x.conn.rawConn)
	}
	waited := time.Since(startedAt)
	if arrival, ok := x.arrivalAfterStall(n, waited); ok { // the host was stalled during the read
		if arrival.After(x.waitStart) {
			x.waitStart = arrival
		}
	} else if socketEmpty && x.restMayBeBuffered && waited > bufferTransitTime {
		x.waitStart = startedAt
	}
	x.countBodyBytes(int64(n), startedAt)
	return n, err
}

// countBodyBytes counts bytes read from the body. If more than
// maxSocketBufferBytes arrived since markedAt, the client was still sending at
// that time, so its wait began no earlier.
func (x *exchange) countBodyBytes(n int64, now time.Time) {
	if x.markedAt.IsZero() {
		x.markedAt = now
	}
	if x.bytesSinceMark += n; x.bytesSinceMark <= maxSocketBufferBytes {
		return
	}
	if x.markedAt.After(x.waitStart) {
		x.waitStart = x.markedAt
	}
	x.markedAt, x.bytesSinceMark = now, 0
}

// Read implements io.Reader. It updates the hashes and enforces the maximum
// object size.
func (u *upload) Read(p []byte) (int, error) {
	n, err := u.source.Read(p)
	u.received += int64(n)
	u.md5.Write(p[:n])
	if u.payloadSHA256 != nil {
		u.payloadSHA256.Write(p[:n])
	}
	for _, h := range u.checksums {
		h.Write(p[:n])
	}
	if u.received > u.exchange.server.cfg.Bounds.ObjectBytes {
		u.exchange.closeConn = true
		return n, errTooLarge
	}
	switch {
	case errors.Is(err, awschunked.ErrSignatureMismatch):
		err = newAPIError(403, "SignatureDoesNotMatch", "A chunk's signature does not match.")
	case errors.Is(err, awschunked.ErrFormat):
		err = newAPIError(400, "InvalidRequest", "%v", err)
	}
	return n, err
}

// verify checks the body against everything that the client declared. The body
// must have been read to its end.
func (u *upload) verify() error {
	if u.declaredSize >= 0 && u.received != u.declaredSize {
		return errIncompleteBody
	}
	if u.chunkReader != nil && !u.exchange.conn.body.Drain(4096) {
		return newAPIError(400, "InvalidRequest", "The body continues after the last chunk.")
	}
	if u.payloadSHA256 != nil && !equalConstantTime(hex.EncodeToString(u.payloadSHA256.Sum(nil)), u.exchange.identity.PayloadHash) {
		return newAPIError(400, "XAmzContentSHA256Mismatch", "The provided 'x-amz-content-sha256' header does not match what was computed.")
	}
	if u.wantMD5 != nil && subtle.ConstantTimeCompare(u.md5.Sum(nil), u.wantMD5) != 1 {
		return newAPIError(400, "BadDigest", "The Content-MD5 you specified did not match what we received.")
	}
	if u.trailerAlgorithm != "" {
		u.declaredChecksums[u.trailerAlgorithm] = u.chunkReader.Trailer.Get(checksumPrefix + u.trailerAlgorithm)
	}
	for algorithm, want := range u.declaredChecksums {
		if !equalConstantTime(u.checksum(algorithm), want) {
			return newAPIError(400, "BadDigest", "The %s you specified did not match the calculated checksum.", strings.ToUpper(algorithm))
		}
	}
	return nil
}

// equalConstantTime compares strings in constant time.
func equalConstantTime(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// checksum returns the computed checksum of an algorithm in base64.
func (u *upload) checksum(algorithm string) string {
	return base64.StdEncoding.EncodeToString(u.checksums[algorithm].Sum(nil))
}

// verifiedChecksums returns the checksums that the client declared, by
// algorithm. They are valid after verify.
func (u *upload) verifiedChecksums() map[string]string {
	if len(u.checksums) == 0 {
		return nil
	}
	out := map[string]string{}
	for algorithm := range u.checksums {
		out[algorithm] = u.checksum(algorithm)
	}
	return out
}

// etag returns the entity tag of the body without quotes.
func (u *upload) etag() string { return hex.EncodeToString(u.md5.Sum(nil)) }

// readSmallBody reads and verifies a body of at most maxBytes bytes, for
// requests with an XML body.
func (x *exchange) readSmallBody(maxBytes int64) ([]byte, error) {
	u, err := x.newUpload()
	if err != nil {
		return nil, err
	}
	if u.declaredSize > maxBytes {
		x.closeConn = true
		return nil, newAPIError(400, "MaxMessageLengthExceeded", "Your request was too big.")
	}
	body, err := io.ReadAll(io.LimitReader(u, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBytes {
		x.closeConn = true
		return nil, newAPIError(400, "MaxMessageLengthExceeded", "Your request was too big.")
	}
	return body, u.verify()
}

// checkEmptyBody returns an error if the request has no body but signed the
// hash of a non-empty one.
func (x *exchange) checkEmptyBody() error {
	if x.conn.body.Done() && x.identity.PayloadHash != sigv4.UnsignedPayload && len(x.identity.PayloadHash) == 64 && x.identity.PayloadHash != sigv4.EmptyPayloadHash {
		return newAPIError(400, "XAmzContentSHA256Mismatch", "The provided 'x-amz-content-sha256' header does not match what was computed.")
	}
	return nil
}

// newUniqueID returns a unique name that sorts by creation time.
func newUniqueID() string {
	var b [10]byte
	rand.Read(b[:])
	return strconv.FormatInt(1<<52+time.Now().UnixMicro(), 16) + hex.EncodeToString(b[:])
}

// responseFields returns the ETag and checksum headers of the response to a
// write.
func (u *upload) responseFields() http1.Fields {
	return append(http1.Fields{{Name: "ETag", Value: quoteETag(u.etag())}}, checksumFields(u.verifiedChecksums())...)
}
