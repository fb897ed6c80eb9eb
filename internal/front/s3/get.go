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
	smallAnswer = 64 << 10  // bodies up to this are read whole before the answer begins
	copyBytes   = 128 << 10 // of a body on its way through
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// reading is a GET or HEAD of an object.
type reading struct {
	x    *exchange
	head bool
	rng  string // the Range field; "": the whole object
	cond conditions

	rec     *record
	refused error  // what the answer's head settled
	small   []byte // a small body, read whole
	pooled  *[copyBytes]byte
	rest    *spool.Buffer // what the client did not take in time
	list    *manifest     // the object is in pieces
	status  int
	want    span
}

// getObject serves GET and HEAD of an object.
func (x *exchange) getObject(head bool) error {
	if err := x.noBody(); err != nil {
		return err
	}
	g := &reading{x: x, head: head, cond: parseConditions(x.c.req.Fields, "")}
	if !head {
		g.rng = x.c.req.Fields.Get("Range")
	}
	if ifRange, ok := x.c.req.Fields.Lookup("If-Range"); ok && g.rng != "" {
		same, err := x.unchanged(ifRange)
		if err != nil {
			return err
		}
		if !same {
			g.rng = ""
		}
	}
	defer g.release()
	return g.serve()
}

// unchanged tells whether an If-Range field names the object as it is.
func (x *exchange) unchanged(ifRange string) (bool, error) {
	rec, err := x.lookUp(x.bucket, x.key)
	if err != nil {
		return false, err
	}
	if t, ok := parseDate(http1.Fields{{Name: "If-Range", Value: ifRange}}, "If-Range"); ok {
		return t.Equal(rec.modified().Truncate(0)) || rec.modified().Unix() == t.Unix(), nil
	}
	return ifRange == quote(rec.ETag), nil
}

// lookUp reads an object's record.
func (x *exchange) lookUp(bucket, key string) (*record, error) {
	name := placement.Object(bucket, key)
	ans, _, ok, err := x.fetch(brick.SpaceObjects, name, x.home(name), false)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, x.missing(bucket)
	}
	rec, err := decodeRecord(ans.Meta)
	if err != nil {
		return nil, fmt.Errorf("object %q: %w", name, err)
	}
	return rec, nil
}

// missing names what is not there: the key or its bucket.
func (x *exchange) missing(bucket string) error {
	if ok, err := x.bucketExists(bucket); err != nil {
		return err
	} else if !ok {
		return errNoSuchBucket
	}
	return errNoSuchKey
}

// release gives back what the reading holds.
func (g *reading) release() {
	if g.rest != nil {
		g.rest.Release()
	}
	if g.pooled != nil {
		copyBuffers.Put(g.pooled)
		g.pooled = nil
	}
}

// serve reads the object's home and answers out of it, or out of the pieces
// that it names.
func (g *reading) serve() error {
	x := g.x
	name := placement.Object(x.bucket, x.key)
	j := x.readJob(brick.SpaceObjects, name, x.home(name), g.expect())
	j.Request.Range = g.rng
	if _, ok, _ := parseRange(g.rng, 1<<62); !ok && g.rng != "" {
		j.Request.Range = "" // passed over
		g.rng = ""
	}
	j.HandleResponse = g.take
	if g.head {
		j.Request.Method = "HEAD"
	}
	if err := x.do(j); err != nil {
		return err
	}
	if g.refused != nil {
		if errors.Is(g.refused, errNoSuchKey) {
			return x.missing(x.bucket)
		}
		return g.refused
	}
	x.s.sizes.Observe(uint64(x.volume.ID), g.want.length)
	switch {
	case g.head:
		return x.answerHead(g)
	case g.list != nil:
		return g.servePieces()
	case g.rest != nil:
		return x.writeRest(g.rest)
	case x.begun:
		return nil
	}
	g.writeHead()
	return x.writeParts(net.Buffers{x.c.out, g.small})
}

// expect returns how many bytes the read should move.
func (g *reading) expect() int64 {
	most := g.x.s.cfg.PieceBytes
	if g.head {
		return 0
	}
	guess := g.x.s.sizes.Estimate(uint64(g.x.volume.ID), most)
	if s, ok, err := parseRange(g.rng, 1<<62); ok && err == nil && s.length < 1<<60 {
		return min(s.length, most)
	}
	return guess
}

// take looks at the home's answer: it settles the status and reads or passes
// on the body.
func (g *reading) take(j *attempts.Call, ans *brick.Response) error {
	g.refused, g.list, g.small = nil, nil, nil
	switch ans.Status {
	case 404:
		g.refused = errNoSuchKey
	case 200, 206, 416:
	default:
		g.refused = errInternal
	}
	if g.refused != nil {
		g.discard(ans)
		return nil
	}
	rec, err := decodeRecord(ans.Meta)
	if err != nil {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: err}
	}
	g.rec = rec
	g.status, g.want = 200, span{0, rec.Size}
	if g.rng != "" {
		s, ok, err := parseRange(g.rng, rec.Size)
		if err != nil {
			g.refused = err
		} else if ok {
			g.status, g.want = 206, s
		}
	}
	if err := g.cond.check(rec); err != nil {
		g.refused = err
	}
	if g.refused != nil || g.head {
		g.discard(ans)
		return nil
	}
	if ans.Whole {
		return g.takeManifest(ans)
	}
	if ans.Length != g.want.length || ans.Status != g.status || ans.Status == 206 && ans.RangeStart != g.want.from {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("the answer is not the range that was asked for")}
	}
	if ans.Length <= smallAnswer {
		return g.takeSmall(ans)
	}
	return g.pass(j, ans, ans.Length)
}

// discard gives up an answer's body: a short one is read, for a long one the
// connection goes.
func (g *reading) discard(ans *brick.Response) {
	ans.Release(g.x.s.opt.Pool, ans.Body.Drain(smallAnswer))
}

func (g *reading) takeSmall(ans *brick.Response) error {
	if g.pooled == nil {
		g.pooled = copyBuffers.Get().(*[copyBytes]byte)
	}
	var err error
	g.small, err = ans.ReadAll(g.x.s.opt.Pool, g.pooled[:0], smallAnswer)
	return err
}

func (g *reading) takeManifest(ans *brick.Response) error {
	text, err := ans.ReadAll(g.x.s.opt.Pool, nil, manifestMost)
	if err != nil {
		return err
	}
	m := &manifest{}
	if err := json.Unmarshal(text, m); err != nil || !m.valid(g.rec.Size) {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: fmt.Errorf("manifest: bad, %v", err)}
	}
	g.list = m
	return nil
}

// writeHead builds the head of the answer.
func (g *reading) writeHead() {
	x := g.x
	fields := g.rec.fields(g.status == 200 && x.wantsChecksums())
	if g.status == 206 {
		fields = append(fields, http1.Field{Name: "Content-Range",
			Value: fmt.Sprintf("bytes %d-%d/%d", g.want.from, g.want.from+g.want.length-1, g.rec.Size)})
	}
	for _, p := range x.query { // what a signed request may set of the answer
		if name := responseFields[p.Name]; name != "" {
			fields = setField(fields, name, p.Value)
		}
	}
	x.head(g.status, fields, g.want.length)
}

func (x *exchange) wantsChecksums() bool {
	return x.c.req.Fields.Get("X-Amz-Checksum-Mode") == "ENABLED"
}

var responseFields = map[string]string{
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

func (x *exchange) answerHead(g *reading) error {
	g.writeHead()
	return x.flush()
}

// pass sends length bytes of a brick's answer on to the client as they come.
// A client that takes none for a while does not hold the brick: the rest is
// kept, and sent after the attempt is over.
func (g *reading) pass(j *attempts.Call, ans *brick.Response, length int64) error {
	x, pool := g.x, g.x.s.opt.Pool
	buf := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buf)
	for left := length; left > 0; {
		n, err := ans.ReadBlock(pool, buf[:min(left, copyBytes)])
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) {
				err = &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: io.ErrUnexpectedEOF}
			}
			return err
		}
		left -= int64(n)
		if !j.ResponseBegun {
			j.BeginStream()
			if !x.begun {
				g.writeHead()
				if err := x.write(x.c.out); err != nil {
					return errTake
				}
			}
		}
		ans.BeginStream(pool)
		took, err := x.writeSome(buf[:n])
		if err != nil {
			return errTake
		}
		if took < n {
			kept, err := g.keep(ans, buf[took:n], left)
			if kept || err != nil {
				return err
			}
			if err := x.write(buf[took:n]); err != nil {
				return errTake
			}
		}
	}
	return nil
}

// keep reads the rest of an answer into a buffer; false: there is no room.
func (g *reading) keep(ans *brick.Response, begun []byte, left int64) (bool, error) {
	b := g.x.s.opt.Spool.NewBuffer()
	if u := g.x.s.opt.Spool.Usage(); u.Memory+left+int64(len(begun)) > g.x.s.cfg.Bounds.MemoryBytes {
		return false, nil
	}
	if _, err := b.Write(begun); err != nil {
		b.Release()
		return false, nil
	}
	n, err := b.Fill(answerReader{ans, g.x.s.opt.Pool}, left)
	if err == nil && n < left {
		err = &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: io.ErrUnexpectedEOF}
	}
	if err != nil {
		b.Release()
		return true, err
	}
	g.rest = b
	return true, nil
}

type answerReader struct {
	ans  *brick.Response
	pool *brick.Pool
}

func (r answerReader) Read(p []byte) (int, error) { return r.ans.Read(r.pool, p) }

// writeRest sends what was kept.
func (x *exchange) writeRest(b *spool.Buffer) error {
	parts, r := b.Parts()
	if r == nil {
		for _, p := range parts { // each has its own time to be taken
			if err := x.write(p); err != nil {
				return err
			}
		}
		return nil
	}
	buf := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buf)
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
			return errCut
		}
	}
}

// servePieces answers with the pieces that the range covers, one after the
// other. The answer begins with the first piece's first bytes, so that until
// then it can be refused.
func (g *reading) servePieces() error {
	x := g.x
	list := g.list.pieces(g.want)
	if len(list) == 0 { // an empty object
		g.writeHead()
		return x.flush()
	}
	for _, p := range list {
		if x.begun { // the client has taken what came before
			x.renew()
		}
		if err := g.servePiece(p); err != nil {
			if x.begun && !errors.Is(err, errGone) {
				return errCut
			}
			return err
		}
	}
	return nil
}

func (g *reading) servePiece(p piece) error {
	x := g.x
	j := x.readJob(brick.SpacePieces, p.name, x.home(p.name), p.length)
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
		return g.pass(j, ans, p.length)
	}
	if err := x.do(j); err != nil {
		return err
	}
	if lost {
		x.s.log.Error("piece missing", "request", x.id, "brick", string(j.Node.ID), "status", j.Response.Status)
		return errInternal
	}
	if g.rest != nil {
		rest := g.rest
		g.rest = nil
		defer rest.Release()
		return x.writeRest(rest)
	}
	return nil
}
