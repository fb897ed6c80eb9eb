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

// crc64NVMETable is the polynomial of x-amz-checksum-crc64nvme, reflected.
var (
	crc64NVMETable = crc64.MakeTable(0x9a6c9329ac4bc9b5)
	crc32cTable    = crc32.MakeTable(crc32.Castagnoli)
)

// checksumAlgorithms are the algorithms of x-amz-checksum-NAME.
var checksumAlgorithms = map[string]func() hash.Hash{
	"crc32":     func() hash.Hash { return crc32.NewIEEE() },
	"crc32c":    func() hash.Hash { return crc32.New(crc32cTable) },
	"crc64nvme": func() hash.Hash { return crc64.New(crc64NVMETable) },
	"sha1":      sha1.New,
	"sha256":    sha256.New,
}

const checksumPrefix = "x-amz-checksum-"

// upload reads a request's body and checks all that the client said of it.
type upload struct {
	exchange          *exchange
	source            io.Reader
	chunkReader       *awschunked.Reader // where the body is aws-chunked
	declaredSize      int64              // as told; -1: not told
	received          int64
	md5               hash.Hash
	payloadSHA256     hash.Hash            // where the payload's hash is signed
	checksums         map[string]hash.Hash // by algorithm
	declaredChecksums map[string]string    // checksums that the head told
	trailerAlgorithm  string               // algorithm that the trailer is to tell
	wantMD5           []byte
}

// newUpload prepares to read the request's body.
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

// configurePayload follows x-amz-content-sha256.
func (u *upload) configurePayload() error {
	x := u.exchange
	var signer *sigv4.ChunkSigner
	switch p := x.identity.PayloadHash; p {
	case sigv4.UnsignedPayload:
		return nil
	case awschunked.SignedPayload, awschunked.SignedPayloadTrailer:
		signer = x.identity.NewChunkSigner()
	case awschunked.UnsignedPayloadTrailer:
	default:
		if len(p) != 64 || strings.Trim(p, "0123456789abcdef") != "" {
			if strings.HasPrefix(p, "STREAMING-") {
				return errNotImplemented
			}
			return newAPIError(400, "InvalidArgument", "x-amz-content-sha256 must be UNSIGNED-PAYLOAD, a STREAMING name or a SHA-256.")
		}
		u.payloadSHA256 = sha256.New()
		return nil
	}
	length, ok := x.conn.req.Fields.Lookup("X-Amz-Decoded-Content-Length")
	n, err := strconv.ParseInt(length, 10, 64)
	if !ok || err != nil || n < 0 {
		return newAPIError(411, "MissingContentLength", "You must provide x-amz-decoded-content-length with a streamed body.")
	}
	u.declaredSize = n
	u.chunkReader = awschunked.NewReader(u.source, signer, x.identity.PayloadHash != awschunked.SignedPayload)
	u.source = u.chunkReader
	return nil
}

// parseChecksumFields reads what the head says of the body's checksums.
func (u *upload) parseChecksumFields() error {
	fields := u.exchange.conn.req.Fields
	if text, ok := fields.Lookup("Content-MD5"); ok {
		sum, err := base64.StdEncoding.DecodeString(text)
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
		made := checksumAlgorithms[algorithm]
		if made == nil {
			return newAPIError(400, "InvalidRequest", "Header %s: the algorithm is not supported.", name)
		}
		u.checksums[algorithm], u.declaredChecksums[algorithm] = made(), fields[i].Value
		if sum, err := base64.StdEncoding.DecodeString(fields[i].Value); err != nil || len(sum) != u.checksums[algorithm].Size() {
			return newAPIError(400, "InvalidRequest", "Value for %s header is invalid.", name)
		}
	}
	if text := fields.Get("X-Amz-Trailer"); text != "" {
		algorithm := strings.TrimPrefix(strings.ToLower(strings.TrimSpace(text)), checksumPrefix)
		if checksumAlgorithms[algorithm] == nil || u.chunkReader == nil {
			return newAPIError(400, "InvalidRequest", "The value specified in the x-amz-trailer header is not supported.")
		}
		u.checksums[algorithm], u.trailerAlgorithm = checksumAlgorithms[algorithm](), algorithm
	}
	return nil
}

// clientBody reads the connection's body with a bound on each wait.
type clientBody struct{ exchange *exchange }

// maxBufferedInFlight is how much of a body can lie in sockets' buffers: a client has not
// sent its last byte while more than that is still to be read.
const maxBufferedInFlight = 16 << 20

// bufferTransitTime is how long bytes may be on their way from a client's own buffers,
// once there is room for them, and for how long a body may go unread before
// they count.
const bufferTransitTime = 50 * time.Millisecond

// recordReadPause notes for how long the body was not read: a client may have sent
// all of it into buffers meanwhile, and an empty socket tells nothing then.
func (x *exchange) recordReadPause(t time.Time) {
	x.restMayBeBuffered = x.restMayBeBuffered || time.Since(t) > bufferTransitTime
}

func (b clientBody) Read(p []byte) (int, error) {
	x := b.exchange
	if err := x.sendContinue(); err != nil {
		return 0, err
	}
	if x.conn.body.Done() { // an empty socket tells nothing of a client that has sent all
		return x.conn.body.Read(p)
	}
	began := time.Now()
	left := x.conn.body.Remaining()
	empty := x.conn.reader.Buffered() == 0 && x.conn.rawConn != nil && !sockstate.Readable(x.conn.rawConn)
	if left > maxBufferedInFlight || (left < 0 || empty) && !x.restMayBeBuffered {
		x.waitStart = began // the client is still sending: its wait has not begun
	}
	x.conn.netConn.SetReadDeadline(began.Add(config.MS(x.server.cfg.Timeouts.BodyStallMS)))
	n, err := x.conn.body.Read(p)
	waited := time.Since(began)
	if from, ok := x.arrivalAfterStall(n, waited); ok { // the host stood still meanwhile
		if from.After(x.waitStart) {
			x.waitStart = from
		}
	} else if empty && x.restMayBeBuffered && waited > bufferTransitTime {
		x.waitStart = began
	}
	x.countBodyBytes(int64(n), began)
	return n, err
}

// countBodyBytes counts what was read of a body. More than can lie in buffers has
// countBodyBytes since the mark: the client was still sending then.
func (x *exchange) countBodyBytes(n int64, now time.Time) {
	if x.markedAt.IsZero() {
		x.markedAt = now
	}
	if x.bytesSinceMark += n; x.bytesSinceMark <= maxBufferedInFlight {
		return
	}
	if x.markedAt.After(x.waitStart) {
		x.waitStart = x.markedAt
	}
	x.markedAt, x.bytesSinceMark = now, 0
}

// Read reads and sums the body.
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

// verify checks the whole body against all that was told of it. It must have
// been read to its end.
func (u *upload) verify() error {
	if u.declaredSize >= 0 && u.received != u.declaredSize {
		return errIncompleteBody
	}
	if u.chunkReader != nil && !u.exchange.conn.body.Drain(4096) {
		return newAPIError(400, "InvalidRequest", "There are bytes after the last chunk.")
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

func equalConstantTime(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

func (u *upload) checksum(algorithm string) string {
	return base64.StdEncoding.EncodeToString(u.checksums[algorithm].Sum(nil))
}

// verifiedChecksums returns the checksums that the client gave, all of them right.
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

func (u *upload) etag() string { return hex.EncodeToString(u.md5.Sum(nil)) }

// readSmallBody reads a whole body of at most most bytes, for requests whose body
// is XML, and checks it.
func (x *exchange) readSmallBody(most int64) ([]byte, error) {
	u, err := x.newUpload()
	if err != nil {
		return nil, err
	}
	if u.declaredSize > most {
		x.closeConn = true
		return nil, newAPIError(400, "MaxMessageLengthExceeded", "Your request was too big.")
	}
	text, err := io.ReadAll(io.LimitReader(u, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > most {
		x.closeConn = true
		return nil, newAPIError(400, "MaxMessageLengthExceeded", "Your request was too big.")
	}
	return text, u.verify()
}

// checkEmptyBody makes sure that a request without a body of its own has none that is
// wrong; what was signed of it is still checked.
func (x *exchange) checkEmptyBody() error {
	if x.conn.body.Done() && x.identity.PayloadHash != sigv4.UnsignedPayload && len(x.identity.PayloadHash) == 64 && x.identity.PayloadHash != sigv4.EmptyPayloadHash {
		return newAPIError(400, "XAmzContentSHA256Mismatch", "The provided 'x-amz-content-sha256' header does not match what was computed.")
	}
	return nil
}

// newUniqueID returns a name that nobody else will give, in the order of time.
func newUniqueID() string {
	var b [10]byte
	rand.Read(b[:])
	return strconv.FormatInt(1<<52+time.Now().UnixMicro(), 16) + hex.EncodeToString(b[:])
}

// sumsOf is for answers to writes.
func (u *upload) responseFields() http1.Fields {
	return append(http1.Fields{{Name: "ETag", Value: quoteETag(u.etag())}}, checksumFields(u.verifiedChecksums())...)
}
