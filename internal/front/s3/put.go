package s3

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/spool"
)

// putObject serves PUT of an object.
func (x *exchange) putObject() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	if err := rejectUnsupportedFields(x.conn.req.Fields); err != nil {
		return err
	}
	rec := &record{}
	if err := x.readMetadata(rec); err != nil {
		return err
	}
	call, err := x.parseWriteConditions()
	if err != nil {
		return err
	}
	u, err := x.newUpload()
	if err != nil {
		return err
	}
	id := newUniqueID()
	body := x.server.opts.Spool.NewBuffer()
	defer body.Release()
	runs, err := x.storeBody(u, id+"/o", body)
	if err == nil {
		err = u.verify()
	}
	if err == nil {
		rec.ETag, rec.Size, rec.Checksums = u.etag(), u.received, u.verifiedChecksums()
		rec.ModifiedMS = time.Now().UnixMilli()
		err = x.storeRecord(call, rec, id, runs, body)
	}
	if err != nil {
		if len(runs) > 0 {
			x.server.gc.deleteRuns(x, runs)
		}
		return err
	}
	return x.respond(200, u.responseFields(), nil)
}

// rejectUnsupportedFields refuses fields that ask for what is not there, where passing
// them over would break a promise to the client.
func rejectUnsupportedFields(fields http1.Fields) error {
	for i := range fields {
		name := strings.ToLower(fields[i].Name)
		if strings.HasPrefix(name, "x-amz-server-side-encryption") || strings.HasPrefix(name, "x-amz-object-lock") ||
			name == "x-amz-tagging" || name == "x-amz-website-redirect-location" {
			return errNotImplemented
		}
		if name == "x-amz-acl" && fields[i].Value != "private" || strings.HasPrefix(name, "x-amz-grant") {
			return errNotImplemented
		}
	}
	return nil
}

// parseWriteConditions reads If-Match and If-None-Match of a write.
func (x *exchange) parseWriteConditions() (brick.Request, error) {
	var call brick.Request
	fields := x.conn.req.Fields
	if v, ok := fields.Lookup("If-None-Match"); ok {
		if v != "*" {
			return call, errNotImplemented
		}
		call.IfAbsent = true
	}
	match, ok := fields.Lookup("If-Match")
	if !ok {
		return call, nil
	}
	name := placement.Object(x.bucket, x.key)
	ans, _, there, err := x.readBlob(brick.SpaceObjects, name, x.shardOf(name), false)
	if err != nil {
		return call, err
	}
	if !there {
		return call, errNoSuchKey
	}
	rec, err := decodeRecord(ans.Meta)
	if err != nil {
		return call, err
	}
	if !matchesETag(match, rec.ETag) {
		return call, errPrecondition
	}
	call.IfVersion = ans.Version
	return call, nil
}

// storeBody reads an upload. What fits into one piece is left in body; else
// the pieces are stored as they come, and their run is returned, also with an
// error, so that they can be dropped.
func (x *exchange) storeBody(u *upload, base string, body *spool.Buffer) ([]pieceRun, error) {
	most := x.server.cfg.PieceBytes
	var runs []pieceRun
	for index := 0; ; index++ {
		got, err := body.Fill(u, most)
		if err != nil {
			return runs, err
		}
		last := got < most || u.received == u.declaredSize
		if last && got == most {
			if err := readBodyEnd(u); err != nil {
				return runs, err
			}
		}
		if index == 0 && last {
			return nil, nil
		}
		if got > 0 {
			if runs == nil {
				runs = []pieceRun{{Base: base, PieceSize: most}}
			}
			runs[0].Size += got
			name := placement.Piece(base, index)
			call := brick.Request{Space: brick.SpacePieces, Name: name, Body: body}
			began := time.Now()
			if _, err := x.writeBlob(call, x.shardOf(name)); err != nil {
				return runs, err
			}
			x.recordReadPause(began)
			body.Release()
		}
		if last {
			return runs, nil
		}
	}
}

// readBodyEnd reads the end of a body whose bytes have all come: the last chunk's
// signature and the trailer.
func readBodyEnd(u *upload) error {
	var one [1]byte
	for range 3 {
		n, err := u.Read(one[:])
		if n > 0 {
			return newAPIError(400, "InvalidRequest", "The body is longer than it said.")
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
	return nil
}

// storeRecord writes an object's one record: with its body, or with the list
// of its pieces. The pieces of the object that it replaces are dropped.
func (x *exchange) storeRecord(call brick.Request, rec *record, id string, runs []pieceRun, body *spool.Buffer) error {
	call.Space, call.Name = brick.SpaceObjects, placement.Object(x.bucket, x.key)
	if runs != nil {
		rec.PiecePrefix = id
		text, err := json.Marshal(manifest{runs})
		if err != nil {
			return err
		}
		call.Body, call.Whole = brick.Bytes(text), true
	} else if body != nil {
		call.Body = body
	}
	var err error
	if call.Meta, err = rec.encode(); err != nil {
		return err
	}
	ans, err := x.writeBlob(call, x.shardOf(call.Name))
	if err != nil {
		return err
	}
	x.deleteReplacedPieces(ans.Replaced, rec.PiecePrefix)
	return nil
}

// deleteReplacedPieces drops the pieces of an object that is no more.
func (x *exchange) deleteReplacedPieces(meta []byte, by string) {
	if len(meta) == 0 {
		return
	}
	if old, err := decodeRecord(meta); err == nil && old.PiecePrefix != "" && old.PiecePrefix != by {
		x.server.gc.deletePieces(x, old.PiecePrefix)
	}
}

// deleteObject serves DELETE of an object; one that is not there is deleted
// already.
func (x *exchange) deleteObject() error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	if err := x.requireBucket(); err != nil {
		return err
	}
	if err := x.deleteKey(x.key); err != nil {
		return err
	}
	x.buildHead(204, nil, -1)
	return x.flush()
}

func (x *exchange) deleteKey(key string) error {
	name := placement.Object(x.bucket, key)
	ans, ok, err := x.deleteBlob(brick.SpaceObjects, name, x.shardOf(name), 0)
	if err != nil {
		return err
	}
	if ok {
		x.deleteReplacedPieces(ans.Replaced, "")
	}
	return nil
}

type deleteObjectsBody struct {
	XMLName xml.Name `xml:"Delete"`
	Quiet   bool
	Object  []struct {
		Key       string
		VersionID string `xml:"VersionId"`
	}
}

type deleteObjectsResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ DeleteResult"`
	Deleted []deletedKey
	Error   []deleteError
}

type deletedKey struct{ Key string }

type deleteError struct{ Key, Code, Message string }

// deleteObjects serves POST ?delete: up to 1000 keys, each with its own answer.
func (x *exchange) deleteObjects() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	text, err := x.readSmallBody(2 << 20)
	if err != nil {
		return err
	}
	var in deleteObjectsBody
	if err := xml.Unmarshal(text, &in); err != nil || len(in.Object) == 0 || len(in.Object) > 1000 {
		return errMalformedXML
	}
	errs := make([]error, len(in.Object))
	x.runParallel(len(in.Object), func(i int) {
		switch o := in.Object[i]; {
		case o.VersionID != "" && o.VersionID != "null":
			errs[i] = errNotImplemented
		case o.Key == "" || len(o.Key) > maxKeyBytes:
			errs[i] = newAPIError(400, "KeyTooLongError", "Your key is too long or empty.")
		default:
			errs[i] = x.deleteKey(o.Key)
		}
	})
	out := deleteObjectsResult{}
	for i, o := range in.Object {
		if errors.Is(errs[i], errClientGone) {
			return errClientGone
		}
		if errs[i] != nil {
			api := toAPIError(errs[i])
			if api == nil {
				api = toAPIError(errInternal)
			}
			out.Error = append(out.Error, deleteError{o.Key, api.code, api.message})
		} else if !in.Quiet {
			out.Deleted = append(out.Deleted, deletedKey{o.Key})
		}
	}
	return x.respondXML(200, out)
}

type copyObjectResult struct {
	XMLName      xml.Name `xml:"CopyObjectResult"`
	ETag         string
	LastModified string
}

// copyObject serves PUT with x-amz-copy-source.
func (x *exchange) copyObject() error {
	fields := x.conn.req.Fields
	if err := rejectUnsupportedFields(fields); err != nil {
		return err
	}
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	source, err := brick.Unescape(strings.TrimPrefix(fields.Get("x-amz-copy-source"), "/"))
	bucket, key, ok := strings.Cut(source, "/")
	if i := strings.LastIndex(key, "?versionId="); i >= 0 {
		return errNotImplemented
	}
	if err != nil || !ok || bucket == "" || key == "" {
		return newAPIError(400, "InvalidArgument", "Copy Source must mention the source bucket and key: sourcebucket/sourcekey.")
	}
	directive := fields.Get("x-amz-metadata-directive")
	if directive != "" && directive != "COPY" && directive != "REPLACE" {
		return newAPIError(400, "InvalidArgument", "Unknown metadata directive.")
	}
	if source == x.bucket+"/"+x.key && directive != "REPLACE" {
		return newAPIError(400, "InvalidRequest", "This copy request is illegal because it is trying to copy an object to itself without changing the object's metadata.")
	}
	if err := x.requireBucket(); err != nil {
		return err
	}
	call, err := x.parseWriteConditions()
	if err != nil {
		return err
	}
	return x.copyFrom(bucket, key, directive == "REPLACE", call)
}

func (x *exchange) copyFrom(bucket, key string, replace bool, call brick.Request) error {
	from := placement.Object(bucket, key)
	ans, text, ok, err := x.readBlob(brick.SpaceObjects, from, x.shardOf(from), true)
	if err != nil {
		return err
	}
	if !ok {
		return x.notFoundError(bucket)
	}
	rec, err := decodeRecord(ans.Meta)
	if err != nil {
		return err
	}
	cond := parseConditions(x.conn.req.Fields, "x-amz-copy-source-")
	if err := cond.check(rec); err != nil {
		return errPrecondition
	}
	to := &record{ETag: rec.ETag, Size: rec.Size, Checksums: rec.Checksums, ContentType: rec.ContentType, Fields: rec.Fields}
	if replace {
		to.ContentType, to.Fields = "", nil
		if err := x.readMetadata(to); err != nil {
			return err
		}
	}
	to.ModifiedMS = time.Now().UnixMilli()
	id := newUniqueID()
	var runs []pieceRun
	if ans.Whole {
		if runs, err = x.copyPieces(text, id, rec.Size); err != nil {
			x.server.gc.deletePieces(x, id)
			return err
		}
	} else {
		call.Body = brick.Bytes(text)
	}
	if err := x.storeRecord(call, to, id, runs, nil); err != nil {
		if runs != nil {
			x.server.gc.deletePieces(x, id)
		}
		return err
	}
	return x.respondXML(200, copyObjectResult{ETag: quoteETag(to.ETag), LastModified: formatISOTime(to.ModifiedMS)})
}

// copyPieces copies an object's pieces under another name.
func (x *exchange) copyPieces(text []byte, id string, size int64) ([]pieceRun, error) {
	var m manifest
	if err := json.Unmarshal(text, &m); err != nil || !m.isValid(size) {
		return nil, fmt.Errorf("manifest of the copy's source: %v", err)
	}
	runs := make([]pieceRun, len(m.Runs))
	for i, r := range m.Runs {
		runs[i] = pieceRun{Base: id + "/" + strconv.Itoa(i), Size: r.Size, PieceSize: r.PieceSize}
		for index := range int((r.Size + r.PieceSize - 1) / r.PieceSize) {
			if x.clientTimeout == 0 { // a copy takes as long as it is large
				x.restartWait()
			}
			from, to := placement.Piece(r.Base, index), placement.Piece(runs[i].Base, index)
			_, data, ok, err := x.readBlob(brick.SpacePieces, from, x.shardOf(from), true)
			if err != nil {
				return nil, err
			}
			if !ok {
				return nil, errInternal
			}
			if _, err := x.writeBlob(brick.Request{Space: brick.SpacePieces, Name: to, Body: brick.Bytes(data)}, x.shardOf(to)); err != nil {
				return nil, err
			}
		}
	}
	return runs, nil
}
