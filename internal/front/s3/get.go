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
	maxBufferedBody = 64 << 10  // bodies up to this size are read completely before the response starts
	copyBufferSize  = 128 << 10 // for streaming larger bodies
)

// copyBufferPool holds buffers for response bodies.
var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// objectRead serves a GET or HEAD of an object.
type objectRead struct {
	exchange   *exchange
	headOnly   bool
	rangeField string // Range header; "" means the whole object
	conditions conditions

	record       *record
	refusal      error  // error response that the brick's response head led to
	bufferedBody []byte // complete small body
	pooledBuf    *[copyBufferSize]byte
	spooled      *spool.Buffer // rest of the body that the client did not accept in time
	manifest     *manifest     // not nil if the object is stored in pieces
	status       int
	span         byteRange
}

// getObject serves GET and HEAD of an object.
func (x *exchange) getObject(headOnly bool) error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	g := &objectRead{exchange: x, headOnly: headOnly, conditions: parseConditions(x.conn.req.Fields, "")}
	if !headOnly {
		g.rangeField = x.conn.req.Fields.Get("Range")
	}
	if ifRange, ok := x.conn.req.Fields.Lookup("If-Range"); ok && g.rangeField != "" {
		matches, err := x.ifRangeMatches(ifRange)
		if err != nil {
			return err
		}
		if !matches {
			g.rangeField = ""
		}
	}
	defer g.release()
	return g.run()
}

// ifRangeMatches reports whether the value of an If-Range header, a date or an
// entity tag, matches the current object.
func (x *exchange) ifRangeMatches(ifRange string) (bool, error) {
	record, err := x.readRecord(x.bucket, x.key)
	if err != nil {
		return false, err
	}
	if t, ok := parseDate(http1.Fields{{Name: "If-Range", Value: ifRange}}, "If-Range"); ok {
		return t.Equal(record.modified().Truncate(0)) || record.modified().Unix() == t.Unix(), nil
	}
	return ifRange == quoteETag(record.ETag), nil
}

// readRecord reads the record of an object. It returns errNoSuchKey or
// errNoSuchBucket if there is none.
func (x *exchange) readRecord(bucket, key string) (*record, error) {
	name := placement.Object(bucket, key)
	response, _, ok, err := x.readBlob(brick.SpaceObjects, name, x.shardOf(name), false)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, x.notFoundError(bucket)
	}
	record, err := decodeRecord(response.Meta)
	if err != nil {
		return nil, fmt.Errorf("object %q: %w", name, err)
	}
	return record, nil
}

// notFoundError returns errNoSuchBucket if the bucket does not exist, and
// otherwise errNoSuchKey.
func (x *exchange) notFoundError(bucket string) error {
	if ok, err := x.bucketExists(bucket); err != nil {
		return err
	} else if !ok {
		return errNoSuchBucket
	}
	return errNoSuchKey
}

// release frees the buffers of the read.
func (g *objectRead) release() {
	if g.spooled != nil {
		g.spooled.Release()
	}
	if g.pooledBuf != nil {
		copyBufferPool.Put(g.pooledBuf)
		g.pooledBuf = nil
	}
}

// run reads the blob at the object's shard and responds with its body, or with
// the pieces that its manifest lists.
func (g *objectRead) run() error {
	x := g.exchange
	name := placement.Object(x.bucket, x.key)
	call := x.newReadCall(brick.SpaceObjects, name, x.shardOf(name), g.expectedBytes())
	call.Request.Range = g.rangeField
	if _, ok, _ := parseRange(g.rangeField, 1<<62); !ok && g.rangeField != "" {
		call.Request.Range = "" // ignored, as RFC 9110 requires
		g.rangeField = ""
	}
	call.HandleResponse = g.handleResponse
	if g.headOnly {
		call.Request.Method = "HEAD"
	}
	if err := x.runCall(call); err != nil {
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

// expectedBytes returns an estimate of the bytes that the read will transfer,
// for its cost in units.
func (g *objectRead) expectedBytes() int64 {
	maxBytes := g.exchange.server.cfg.PieceBytes
	if g.headOnly {
		return 0
	}
	estimate := g.exchange.server.sizeEstimator.Estimate(uint64(g.exchange.volume.ID), maxBytes)
	if requested, ok, err := parseRange(g.rangeField, 1<<62); ok && err == nil && requested.length < 1<<60 {
		return min(requested.length, maxBytes)
	}
	return estimate
}

// handleResponse processes the response of the object's brick: it determines
// the status and the byte range, and buffers or streams the body.
func (g *objectRead) handleResponse(call *attempts.Call, response *brick.Response) error {
	g.refusal, g.manifest, g.bufferedBody = nil, nil, nil
	switch response.Status {
	case 404:
		g.refusal = errNoSuchKey
	case 200, 206, 416:
	default:
		g.refusal = errInternal
	}
	if g.refusal != nil {
		g.discard(response)
		return nil
	}
	record, err := decodeRecord(response.Meta)
	if err != nil {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: err}
	}
	g.record = record
	g.status, g.span = 200, byteRange{0, record.Size}
	if g.rangeField != "" {
		requested, ok, err := parseRange(g.rangeField, record.Size)
		if err != nil {
			g.refusal = err
		} else if ok {
			g.status, g.span = 206, requested
		}
	}
	if err := g.conditions.check(record); err != nil {
		g.refusal = err
	}
	if g.refusal != nil || g.headOnly {
		g.discard(response)
		return nil
	}
	if response.Whole {
		return g.readManifest(response)
	}
	if response.Length != g.span.length || response.Status != g.status || response.Status == 206 && response.RangeStart != g.span.from {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("response does not match the requested range")}
	}
	if response.Length <= maxBufferedBody {
		return g.bufferBody(response)
	}
	return g.streamBody(call, response, response.Length)
}

// discard drops the body of a response. A short body is read so that the
// connection can be reused; otherwise the connection is closed.
func (g *objectRead) discard(response *brick.Response) {
	response.Release(g.exchange.server.opts.Pool, response.Body.Drain(maxBufferedBody))
}

// bufferBody reads a small body into a pooled buffer.
func (g *objectRead) bufferBody(response *brick.Response) error {
	if g.pooledBuf == nil {
		g.pooledBuf = copyBufferPool.Get().(*[copyBufferSize]byte)
	}
	var err error
	g.bufferedBody, err = response.ReadAll(g.exchange.server.opts.Pool, g.pooledBuf[:0], maxBufferedBody)
	return err
}

// readManifest reads and validates the manifest of an object that is stored in
// pieces.
func (g *objectRead) readManifest(response *brick.Response) error {
	text, err := response.ReadAll(g.exchange.server.opts.Pool, nil, maxManifestBytes)
	if err != nil {
		return err
	}
	m := &manifest{}
	if err := json.Unmarshal(text, m); err != nil || !m.isValid(g.record.Size) {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: fmt.Errorf("invalid manifest: %v", err)}
	}
	g.manifest = m
	return nil
}

// buildHead builds the response head.
func (g *objectRead) buildHead() {
	x := g.exchange
	fields := g.record.responseFields(g.status == 200 && x.wantsChecksums())
	if g.status == 206 {
		fields = append(fields, http1.Field{Name: "Content-Range",
			Value: fmt.Sprintf("bytes %d-%d/%d", g.span.from, g.span.from+g.span.length-1, g.record.Size)})
	}
	for _, p := range x.query { // response headers that a request may override
		if name := responseOverrides[p.Name]; name != "" {
			fields = setField(fields, name, p.Value)
		}
	}
	x.buildHead(g.status, fields, g.span.length)
}

// wantsChecksums reports whether the client asked for checksum headers.
func (x *exchange) wantsChecksums() bool {
	return x.conn.req.Fields.Get("X-Amz-Checksum-Mode") == "ENABLED"
}

// responseOverrides maps query parameters to the response headers that they
// override.
var responseOverrides = map[string]string{
	"response-content-type": "Content-Type", "response-content-language": "content-language",
	"response-expires": "expires", "response-cache-control": "cache-control",
	"response-content-disposition": "content-disposition", "response-content-encoding": "content-encoding",
}

// setField replaces the value of a field, or appends the field if it is
// absent.
func setField(fields http1.Fields, name, value string) http1.Fields {
	for i := range fields {
		if fields[i].Name == name {
			fields[i].Value = value
			return fields
		}
	}
	return append(fields, http1.Field{Name: name, Value: value})
}

// respondHead writes a response without a body.
func (x *exchange) respondHead(g *objectRead) error {
	g.buildHead()
	return x.flush()
}

// streamBody forwards length bytes of a brick's response to the client as they
// arrive. If the client accepts no data for partialWriteTimeout, the rest is
// spooled, so that a slow client does not occupy the brick, and is sent after
// the attempt has ended.
func (g *objectRead) streamBody(call *attempts.Call, response *brick.Response, length int64) error {
	x, pool := g.exchange, g.exchange.server.opts.Pool
	buf := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buf)
	for remaining := length; remaining > 0; {
		n, err := response.ReadBlock(pool, buf[:min(remaining, copyBufferSize)])
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) {
				err = &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: io.ErrUnexpectedEOF}
			}
			return err
		}
		remaining -= int64(n)
		if !call.ResponseBegun {
			call.BeginStream()
			if !x.responseStarted {
				g.buildHead()
				if err := x.write(x.conn.writeBuf); err != nil {
					return errClientWrite
				}
			}
		}
		response.BeginStream(pool)
		written, err := x.writePartial(buf[:n])
		if err != nil {
			return errClientWrite
		}
		if written < n {
			spooled, err := g.spoolRemainder(response, buf[written:n], remaining)
			if spooled || err != nil {
				return err
			}
			if err := x.write(buf[written:n]); err != nil {
				return errClientWrite
			}
		}
	}
	return nil
}

// spoolRemainder reads the rest of a response into a spool buffer; unsent are
// bytes that were read already. It returns false if the memory limit leaves no
// space.
func (g *objectRead) spoolRemainder(response *brick.Response, unsent []byte, remaining int64) (bool, error) {
	buffer := g.exchange.server.opts.Spool.NewBuffer()
	if u := g.exchange.server.opts.Spool.Usage(); u.Memory+remaining+int64(len(unsent)) > g.exchange.server.cfg.Bounds.MemoryBytes {
		return false, nil
	}
	if _, err := buffer.Write(unsent); err != nil {
		buffer.Release()
		return false, nil
	}
	n, err := buffer.Fill(responseReader{response, g.exchange.server.opts.Pool}, remaining)
	if err == nil && n < remaining {
		err = &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: io.ErrUnexpectedEOF}
	}
	if err != nil {
		buffer.Release()
		return true, err
	}
	g.spooled = buffer
	return true, nil
}

// responseReader adapts a brick response to io.Reader.
type responseReader struct {
	response *brick.Response
	pool     *brick.Pool
}

// Read implements io.Reader.
func (r responseReader) Read(p []byte) (int, error) { return r.response.Read(r.pool, p) }

// writeSpooled sends the spooled rest of a response.
func (x *exchange) writeSpooled(spooled *spool.Buffer) error {
	parts, r := spooled.Parts()
	if r == nil {
		for _, p := range parts { // the write timeout applies to each slice
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

// streamPieces sends the pieces that the byte range covers, one after the
// other. The response starts with the first bytes of the first piece, so until
// then an error response is still possible.
func (g *objectRead) streamPieces() error {
	x := g.exchange
	if err := x.correctPieceSizes(g.record, g.manifest, g.span); err != nil {
		return err
	}
	pieces := g.manifest.pieces(g.span)
	if len(pieces) == 0 { // empty object
		g.buildHead()
		return x.flush()
	}
	for _, p := range pieces {
		if x.responseStarted { // the client has received the previous pieces
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

// streamPiece sends the wanted part of one piece.
func (g *objectRead) streamPiece(p piece) error {
	x := g.exchange
	call := x.newReadCall(brick.SpacePieces, p.name, x.shardOf(p.name), p.length)
	if p.length < p.size {
		call.Request.Range = fmt.Sprintf("bytes=%d-%d", p.from, p.from+p.length-1)
	}
	missing := false
	call.HandleResponse = func(call *attempts.Call, response *brick.Response) error {
		missing = response.Status != 200 && response.Status != 206
		if missing {
			g.discard(response)
			return nil
		}
		if response.Length != p.length || response.Size != p.size {
			return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("piece has an unexpected size")}
		}
		return g.streamBody(call, response, p.length)
	}
	if err := x.runCall(call); err != nil {
		return err
	}
	if missing {
		x.server.log.Error("piece missing", "request", x.requestID, "brick", string(call.Node.ID), "status", call.Response.Status)
		return errInternal
	}
	if g.spooled != nil {
		spooled := g.spooled
		g.spooled = nil
		defer spooled.Release()
		return x.writeSpooled(spooled)
	}
	return nil
}
