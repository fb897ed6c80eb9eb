package s3

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"arrowwalk"
	"arrowwalk/internal/attempts"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/spool"
)

const (
	maxBufferedBody = 64 << 10  // bodies up to this are read whole before the answer begins
	copyBufferSize  = 128 << 10 // of a body on its way through
)

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// objectRead is a GET or HEAD of an object.
type objectRead struct {
	exchange   *exchange
	headOnly   bool
	rangeField string // the Range field; "": the whole object
	conditions conditions

	record       *record
	refusal      error  // what the answer's head settled
	bufferedBody []byte // a small body, read whole
	pooledBuf    *[copyBufferSize]byte
	spooled      *spool.Buffer // what the client did not take in time
	manifest     *manifest     // the object is in pieces
	status       int
	span         byteRange
}

// getObject serves GET and HEAD of an object.
func (x *exchange) getObject(head bool) error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	g := &objectRead{exchange: x, headOnly: head, conditions: parseConditions(x.conn.req.Fields, "")}
	if !head {
		g.rangeField = x.conn.req.Fields.Get("Range")
	}
	if ifRange, ok := x.conn.req.Fields.Lookup("If-Range"); ok && g.rangeField != "" {
		same, err := x.ifRangeMatches(ifRange)
		if err != nil {
			return err
		}
		if !same {
			g.rangeField = ""
		}
	}
	defer g.release()
	return g.run()
}

// ifRangeMatches tells whether an If-Range field names the object as it is.
func (x *exchange) ifRangeMatches(ifRange string) (bool, error) {
	rec, err := x.readRecord(x.bucket, x.key)
	if err != nil {
		return false, err
	}
	if t, ok := parseDate(http1.Fields{{Name: "If-Range", Value: ifRange}}, "If-Range"); ok {
		return t.Equal(rec.modified().Truncate(0)) || rec.modified().Unix() == t.Unix(), nil
	}
	return ifRange == quoteETag(rec.ETag), nil
}

// readRecord reads an object's record.
func (x *exchange) readRecord(bucket, key string) (*record, error) {
	name := placement.Object(bucket, key)
	ans, _, ok, err := x.readBlob(brick.SpaceObjects, name, x.shardOf(name), false)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, x.notFoundError(bucket)
	}
	rec, err := decodeRecord(ans.Meta)
	if err != nil {
		return nil, fmt.Errorf("object %q: %w", name, err)
	}
	return rec, nil
}

// notFoundError names what is not there: the key or its bucket.
func (x *exchange) notFoundError(bucket string) error {
	if ok, err := x.bucketExists(bucket); err != nil {
		return err
	} else if !ok {
		return errNoSuchBucket
	}
	return errNoSuchKey
}

// release gives back what the reading holds.
func (g *objectRead) release() {
	if g.spooled != nil {
		g.spooled.Release()
	}
	if g.pooledBuf != nil {
		copyBufferPool.Put(g.pooledBuf)
		g.pooledBuf = nil
	}
}

// run reads the object's home and answers out of it, or out of the pieces
// that it names.
func (g *objectRead) run() error {
	x := g.exchange
	name := placement.Object(x.bucket, x.key)
	j := x.newReadCall(brick.SpaceObjects, name, x.shardOf(name), g.expectedBytes())
	j.Request.Range = g.rangeField
	if _, ok, _ := parseRange(g.rangeField, 1<<62); !ok && g.rangeField != "" {
		j.Request.Range = "" // passed over
		g.rangeField = ""
	}
	j.HandleResponse = g.handleResponse
	if g.headOnly {
		j.Request.Method = "HEAD"
	}
	if err := x.runCall(j); err != nil {
		return err
	}
	if g.refusal != nil {
		if errors.Is(g.refusal, errNoSuchKey) {
			return x.notFoundError(x.bucket)
		}
		return g.refusal
	}
	x.server.sizeEstimator.Observe(uint64(x.volume.ID), g.span.length)
	switch {
	case g.headOnly:
		return x.respondHead(g)
	case g.manifest != nil:
		return g.streamPieces()
	case g.spooled != nil:
		return x.writeSpooled(g.spooled)
	case x.responseStarted:
		return nil
	}
	g.buildHead()
	return x.writeBuffers(net.Buffers{x.conn.writeBuf, g.bufferedBody})
}

// expectedBytes returns how many bytes the read should move.
func (g *objectRead) expectedBytes() int64 {
	most := g.exchange.server.cfg.PieceBytes
	if g.headOnly {
		return 0
	}
	guess := g.exchange.server.sizeEstimator.Estimate(uint64(g.exchange.volume.ID), most)
	if s, ok, err := parseRange(g.rangeField, 1<<62); ok && err == nil && s.length < 1<<60 {
		return min(s.length, most)
	}
	return guess
}

// handleResponse looks at the home's answer: it settles the status and reads or passes
// on the body.
func (g *objectRead) handleResponse(j *attempts.Call, ans *brick.Response) error {
	g.refusal, g.manifest, g.bufferedBody = nil, nil, nil
	switch ans.Status {
	case 404:
		g.refusal = errNoSuchKey
	case 200, 206, 416:
	default:
		g.refusal = errInternal
	}
	if g.refusal != nil {
		g.discard(ans)
		return nil
	}
	rec, err := decodeRecord(ans.Meta)
	if err != nil {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: err}
	}
	g.record = rec
	g.status, g.span = 200, byteRange{0, rec.Size}
	if g.rangeField != "" {
		s, ok, err := parseRange(g.rangeField, rec.Size)
		if err != nil {
			g.refusal = err
		} else if ok {
			g.status, g.span = 206, s
		}
	}
	if err := g.conditions.check(rec); err != nil {
		g.refusal = err
	}
	if g.refusal != nil || g.headOnly {
		g.discard(ans)
		return nil
	}
	if ans.Whole {
		return g.readManifest(ans)
	}
	if ans.Length != g.span.length || ans.Status != g.status || ans.Status == 206 && ans.RangeStart != g.span.from {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("the answer is not the range that was asked for")}
	}
	if ans.Length <= maxBufferedBody {
		return g.bufferBody(ans)
	}
	return g.streamBody(j, ans, ans.Length)
}

// discard gives up an answer's body: a short one is read, for a long one the
// connection goes.
func (g *objectRead) discard(ans *brick.Response) {
	ans.Release(g.exchange.server.opts.Pool, ans.Body.Drain(maxBufferedBody))
}

func (g *objectRead) bufferBody(ans *brick.Response) error {
	if g.pooledBuf == nil {
		g.pooledBuf = copyBufferPool.Get().(*[copyBufferSize]byte)
	}
	var err error
	g.bufferedBody, err = ans.ReadAll(g.exchange.server.opts.Pool, g.pooledBuf[:0], maxBufferedBody)
	return err
}

func (g *objectRead) readManifest(ans *brick.Response) error {
	text, err := ans.ReadAll(g.exchange.server.opts.Pool, nil, maxManifestBytes)
	if err != nil {
		return err
	}
	m := &manifest{}
	if err := json.Unmarshal(text, m); err != nil || !m.isValid(g.record.Size) {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: fmt.Errorf("manifest: bad, %v", err)}
	}
	g.manifest = m
	return nil
}

// buildHead builds the head of the answer.
func (g *objectRead) buildHead() {
	x := g.exchange
	fields := g.record.responseFields(g.status == 200 && x.wantsChecksums())
	if g.status == 206 {
		fields = append(fields, http1.Field{Name: "Content-Range",
			Value: fmt.Sprintf("bytes %d-%d/%d", g.span.from, g.span.from+g.span.length-1, g.record.Size)})
	}
	for _, p := range x.query { // what a signed request may set of the answer
		if name := responseOverrides[p.Name]; name != "" {
			fields = setField(fields, name, p.Value)
		}
	}
	x.buildHead(g.status, fields, g.span.length)
}

func (x *exchange) wantsChecksums() bool {
	return x.conn.req.Fields.Get("X-Amz-Checksum-Mode") == "ENABLED"
}

var responseOverrides = map[string]string{
	"response-content-type": "Content-Type", "response-content-language": "content-language",
	"response-expires": "expires", "response-cache-control": "cache-control",
	"response-content-disposition": "content-disposition", "response-content-encoding": "content-encoding",
}

func setField(fields http1.Fields, name, value string) http1.Fields {
	for i := range fields {
		if fields[i].Name == name {
			fields[i].Value = value
			return fields
		}
	}
	return append(fields, http1.Field{Name: name, Value: value})
}

func (x *exchange) respondHead(g *objectRead) error {
	g.buildHead()
	return x.flush()
}

// streamBody sends length bytes of a brick's answer on to the client as they come.
// A client that takes none for a while does not hold the brick: the rest is
// kept, and sent after the attempt is over.
func (g *objectRead) streamBody(j *attempts.Call, ans *brick.Response, length int64) error {
	x, pool := g.exchange, g.exchange.server.opts.Pool
	buf := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buf)
	for left := length; left > 0; {
		n, err := ans.ReadBlock(pool, buf[:min(left, copyBufferSize)])
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) {
				err = &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: io.ErrUnexpectedEOF}
			}
			return err
		}
		left -= int64(n)
		if !j.ResponseBegun {
			j.BeginStream()
			if !x.responseStarted {
				g.buildHead()
				if err := x.write(x.conn.writeBuf); err != nil {
					return errClientWrite
				}
			}
		}
		ans.BeginStream(pool)
		took, err := x.writePartial(buf[:n])
		if err != nil {
			return errClientWrite
		}
		if took < n {
			kept, err := g.spoolRemainder(ans, buf[took:n], left)
			if kept || err != nil {
				return err
			}
			if err := x.write(buf[took:n]); err != nil {
				return errClientWrite
			}
		}
	}
	return nil
}

// spoolRemainder reads the rest of an answer into a buffer; false: there is no room.
func (g *objectRead) spoolRemainder(ans *brick.Response, begun []byte, left int64) (bool, error) {
	b := g.exchange.server.opts.Spool.NewBuffer()
	if u := g.exchange.server.opts.Spool.Usage(); u.Memory+left+int64(len(begun)) > g.exchange.server.cfg.Bounds.MemoryBytes {
		return false, nil
	}
	if _, err := b.Write(begun); err != nil {
		b.Release()
		return false, nil
	}
	n, err := b.Fill(responseReader{ans, g.exchange.server.opts.Pool}, left)
	if err == nil && n < left {
		err = &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: io.ErrUnexpectedEOF}
	}
	if err != nil {
		b.Release()
		return true, err
	}
	g.spooled = b
	return true, nil
}

type responseReader struct {
	response *brick.Response
	pool     *brick.Pool
}

func (r responseReader) Read(p []byte) (int, error) { return r.response.Read(r.pool, p) }

// writeSpooled sends what was kept.
func (x *exchange) writeSpooled(b *spool.Buffer) error {
	parts, r := b.Parts()
	if r == nil {
		for _, p := range parts { // each has its own time to be taken
			if err := x.write(p); err != nil {
				return err
			}
		}
		return nil
	}
	buf := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buf)
	for {
		n, err := r.Read(buf[:])
		if n > 0 {
			if err := x.write(buf[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errTruncated
		}
	}
}

// streamPieces answers with the pieces that the range covers, one after the
// other. The answer begins with the first piece's first bytes, so that until
// then it can be refused.
func (g *objectRead) streamPieces() error {
	x := g.exchange
	list := g.manifest.pieces(g.span)
	if len(list) == 0 { // an empty object
		g.buildHead()
		return x.flush()
	}
	for _, p := range list {
		if x.responseStarted { // the client has taken what came before
			x.restartWait()
		}
		if err := g.streamPiece(p); err != nil {
			if x.responseStarted && !errors.Is(err, errClientGone) {
				return errTruncated
			}
			return err
		}
	}
	return nil
}

func (g *objectRead) streamPiece(p piece) error {
	x := g.exchange
	j := x.newReadCall(brick.SpacePieces, p.name, x.shardOf(p.name), p.length)
	if p.length < p.size {
		j.Request.Range = fmt.Sprintf("bytes=%d-%d", p.from, p.from+p.length-1)
	}
	lost := false
	j.HandleResponse = func(j *attempts.Call, ans *brick.Response) error {
		lost = ans.Status != 200 && ans.Status != 206
		if lost {
			g.discard(ans)
			return nil
		}
		if ans.Length != p.length {
			return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("the piece is not of its size")}
		}
		return g.streamBody(j, ans, p.length)
	}
	if err := x.runCall(j); err != nil {
		return err
	}
	if lost {
		x.server.log.Error("piece missing", "request", x.requestID, "brick", string(j.Node.ID), "status", j.Response.Status)
		return errInternal
	}
	if g.spooled != nil {
		rest := g.spooled
		g.spooled = nil
		defer rest.Release()
		return x.writeSpooled(rest)
	}
	return nil
}
