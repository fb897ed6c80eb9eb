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

// nvme is the polynomial of x-amz-checksum-crc64nvme, reflected.
var (
	nvme       = crc64.MakeTable(0x9a6c9329ac4bc9b5)
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// checksums are the algorithms of x-amz-checksum-NAME.
var checksums = map[string]func() hash.Hash{
	"crc32":     func() hash.Hash { return crc32.NewIEEE() },
	"crc32c":    func() hash.Hash { return crc32.New(castagnoli) },
	"crc64nvme": func() hash.Hash { return crc64.New(nvme) },
	"sha1":      sha1.New,
	"sha256":    sha256.New,
}

const checksumPrefix = "x-amz-checksum-"

// upload reads a request's body and checks all that the client said of it.
type upload struct {
	x       *exchange
	in      io.Reader
	chunks  *awschunked.Reader // where the body is aws-chunked
	size    int64              // as told; -1: not told
	got     int64
	md5     hash.Hash
	sha     hash.Hash            // where the payload's hash is signed
	sums    map[string]hash.Hash // by algorithm
	told    map[string]string    // checksums that the head told
	trailer string               // algorithm that the trailer is to tell
	wantMD5 []byte
}

// newUpload prepares to read the request's body.
func (x *exchange) newUpload() (*upload, error) {
	req := &x.c.req
	u := &upload{x: x, in: clientBody{x}, size: -1, md5: md5.New(), told: map[string]string{}, sums: map[string]hash.Hash{}}
	if req.HasLength {
		u.size = req.Length
	}
	if err := u.payload(); err != nil {
		return nil, err
	}
	if err := u.tellings(); err != nil {
		return nil, err
	}
	if u.size > x.s.cfg.Bounds.ObjectBytes {
		x.close = true
		return nil, errTooLarge
	}
	if u.size < 0 && !req.Chunked {
		return nil, refuse(411, "MissingContentLength", "You must provide the Content-Length HTTP header.")
	}
	return u, nil
}

// payload follows x-amz-content-sha256.
func (u *upload) payload() error {
	x := u.x
	var signer *sigv4.ChunkSigner
	switch p := x.who.PayloadHash; p {
	case sigv4.UnsignedPayload:
		return nil
	case awschunked.SignedPayload, awschunked.SignedPayloadTrailer:
		signer = x.who.NewChunkSigner()
	case awschunked.UnsignedPayloadTrailer:
	default:
		if len(p) != 64 || strings.Trim(p, "0123456789abcdef") != "" {
			if strings.HasPrefix(p, "STREAMING-") {
				return errNotImplemented
			}
			return refuse(400, "InvalidArgument", "x-amz-content-sha256 must be UNSIGNED-PAYLOAD, a STREAMING name or a SHA-256.")
		}
		u.sha = sha256.New()
		return nil
	}
	length, ok := x.c.req.Fields.Lookup("X-Amz-Decoded-Content-Length")
	n, err := strconv.ParseInt(length, 10, 64)
	if !ok || err != nil || n < 0 {
		return refuse(411, "MissingContentLength", "You must provide x-amz-decoded-content-length with a streamed body.")
	}
	u.size = n
	u.chunks = awschunked.NewReader(u.in, signer, x.who.PayloadHash != awschunked.SignedPayload)
	u.in = u.chunks
	return nil
}

// tellings reads what the head says of the body's checksums.
func (u *upload) tellings() error {
	fields := u.x.c.req.Fields
	if text, ok := fields.Lookup("Content-MD5"); ok {
		sum, err := base64.StdEncoding.DecodeString(text)
		if err != nil || len(sum) != md5.Size {
			return refuse(400, "InvalidDigest", "The Content-MD5 you specified is not valid.")
		}
		u.wantMD5 = sum
	}
	for i := range fields {
		name := strings.ToLower(fields[i].Name)
		algorithm, ok := strings.CutPrefix(name, checksumPrefix)
		if !ok || algorithm == "algorithm" || algorithm == "type" || algorithm == "mode" {
			continue
		}
		made := checksums[algorithm]
		if made == nil {
			return refuse(400, "InvalidRequest", "Header %s: the algorithm is not supported.", name)
		}
		u.sums[algorithm], u.told[algorithm] = made(), fields[i].Value
		if sum, err := base64.StdEncoding.DecodeString(fields[i].Value); err != nil || len(sum) != u.sums[algorithm].Size() {
			return refuse(400, "InvalidRequest", "Value for %s header is invalid.", name)
		}
	}
	if text := fields.Get("X-Amz-Trailer"); text != "" {
		algorithm := strings.TrimPrefix(strings.ToLower(strings.TrimSpace(text)), checksumPrefix)
		if checksums[algorithm] == nil || u.chunks == nil {
			return refuse(400, "InvalidRequest", "The value specified in the x-amz-trailer header is not supported.")
		}
		u.sums[algorithm], u.trailer = checksums[algorithm](), algorithm
	}
	return nil
}

// clientBody reads the connection's body with a bound on each wait.
type clientBody struct{ x *exchange }

// onTheWay is how much of a body can lie in sockets' buffers: a client has not
// sent its last byte while more than that is still to be read.
const onTheWay = 16 << 20

// inFlight is how long bytes may be on their way from a client's own buffers,
// once there is room for them, and for how long a body may go unread before
// they count.
const inFlight = 50 * time.Millisecond

// awaySince notes for how long the body was not read: a client may have sent
// all of it into buffers meanwhile, and an empty socket tells nothing then.
func (x *exchange) awaySince(t time.Time) { x.away = x.away || time.Since(t) > inFlight }

func (b clientBody) Read(p []byte) (int, error) {
	x := b.x
	if err := x.proceed(); err != nil {
		return 0, err
	}
	if x.c.body.Done() { // an empty socket tells nothing of a client that has sent all
		return x.c.body.Read(p)
	}
	began := time.Now()
	left := x.c.body.Remaining()
	empty := x.c.in.Buffered() == 0 && x.c.raw != nil && !sockstate.Readable(x.c.raw)
	if left > onTheWay || (left < 0 || empty) && !x.away {
		x.from = began // the client is still sending: its wait has not begun
	}
	x.c.nc.SetReadDeadline(began.Add(config.MS(x.s.cfg.Timeouts.BodyStallMS)))
	n, err := x.c.body.Read(p)
	waited := time.Since(began)
	if from, ok := x.came(n, waited); ok { // the host stood still meanwhile
		if from.After(x.from) {
			x.from = from
		}
	} else if empty && x.away && waited > inFlight {
		x.from = began
	}
	x.passed(int64(n), began)
	return n, err
}

// passed counts what was read of a body. More than can lie in buffers has
// passed since the mark: the client was still sending then.
func (x *exchange) passed(n int64, now time.Time) {
	if x.mark.IsZero() {
		x.mark = now
	}
	if x.sinceMark += n; x.sinceMark <= onTheWay {
		return
	}
	if x.mark.After(x.from) {
		x.from = x.mark
	}
	x.mark, x.sinceMark = now, 0
}

// Read reads and sums the body.
func (u *upload) Read(p []byte) (int, error) {
	n, err := u.in.Read(p)
	u.got += int64(n)
	u.md5.Write(p[:n])
	if u.sha != nil {
		u.sha.Write(p[:n])
	}
	for _, h := range u.sums {
		h.Write(p[:n])
	}
	if u.got > u.x.s.cfg.Bounds.ObjectBytes {
		u.x.close = true
		return n, errTooLarge
	}
	switch {
	case errors.Is(err, awschunked.ErrSignatureMismatch):
		err = refuse(403, "SignatureDoesNotMatch", "A chunk's signature does not match.")
	case errors.Is(err, awschunked.ErrFormat):
		err = refuse(400, "InvalidRequest", "%v", err)
	}
	return n, err
}

// finish checks the whole body against all that was told of it. It must have
// been read to its end.
func (u *upload) finish() error {
	if u.size >= 0 && u.got != u.size {
		return errIncomplete
	}
	if u.chunks != nil && !u.x.c.body.Drain(4096) {
		return refuse(400, "InvalidRequest", "There are bytes after the last chunk.")
	}
	if u.sha != nil && !same(hex.EncodeToString(u.sha.Sum(nil)), u.x.who.PayloadHash) {
		return refuse(400, "XAmzContentSHA256Mismatch", "The provided 'x-amz-content-sha256' header does not match what was computed.")
	}
	if u.wantMD5 != nil && subtle.ConstantTimeCompare(u.md5.Sum(nil), u.wantMD5) != 1 {
		return refuse(400, "BadDigest", "The Content-MD5 you specified did not match what we received.")
	}
	if u.trailer != "" {
		u.told[u.trailer] = u.chunks.Trailer.Get(checksumPrefix + u.trailer)
	}
	for algorithm, want := range u.told {
		if !same(u.sum(algorithm), want) {
			return refuse(400, "BadDigest", "The %s you specified did not match the calculated checksum.", strings.ToUpper(algorithm))
		}
	}
	return nil
}

func same(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

func (u *upload) sum(algorithm string) string {
	return base64.StdEncoding.EncodeToString(u.sums[algorithm].Sum(nil))
}

// checked returns the checksums that the client gave, all of them right.
func (u *upload) checked() map[string]string {
	if len(u.sums) == 0 {
		return nil
	}
	out := map[string]string{}
	for algorithm := range u.sums {
		out[algorithm] = u.sum(algorithm)
	}
	return out
}

func (u *upload) etag() string { return hex.EncodeToString(u.md5.Sum(nil)) }

// readSmall reads a whole body of at most most bytes, for requests whose body
// is XML, and checks it.
func (x *exchange) readSmall(most int64) ([]byte, error) {
	u, err := x.newUpload()
	if err != nil {
		return nil, err
	}
	if u.size > most {
		x.close = true
		return nil, refuse(400, "MaxMessageLengthExceeded", "Your request was too big.")
	}
	text, err := io.ReadAll(io.LimitReader(u, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > most {
		x.close = true
		return nil, refuse(400, "MaxMessageLengthExceeded", "Your request was too big.")
	}
	return text, u.finish()
}

// noBody makes sure that a request without a body of its own has none that is
// wrong; what was signed of it is still checked.
func (x *exchange) noBody() error {
	if x.c.body.Done() && x.who.PayloadHash != sigv4.UnsignedPayload && len(x.who.PayloadHash) == 64 && x.who.PayloadHash != sigv4.EmptyPayloadHash {
		return refuse(400, "XAmzContentSHA256Mismatch", "The provided 'x-amz-content-sha256' header does not match what was computed.")
	}
	return nil
}

// newID returns a name that nobody else will give, in the order of time.
func newID() string {
	var b [10]byte
	rand.Read(b[:])
	return strconv.FormatInt(1<<52+time.Now().UnixMicro(), 16) + hex.EncodeToString(b[:])
}

// sumsOf is for answers to writes.
func (u *upload) answerFields() http1.Fields {
	return append(http1.Fields{{Name: "ETag", Value: quote(u.etag())}}, sumFields(u.checked())...)
}
