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
	if err := x.needBucket(); err != nil {
		return err
	}
	if err := refuseSettings(x.c.req.Fields); err != nil {
		return err
	}
	rec := &record{}
	if err := x.describe(rec); err != nil {
		return err
	}
	call, err := x.writeConditions()
	if err != nil {
		return err
	}
	u, err := x.newUpload()
	if err != nil {
		return err
	}
	id := newID()
	body := x.s.opt.Spool.NewBuffer()
	defer body.Release()
	runs, err := x.storeBody(u, id+"/o", body)
	if err == nil {
		err = u.finish()
	}
	if err == nil {
		rec.ETag, rec.Size, rec.Sums = u.etag(), u.got, u.checked()
		rec.Time = time.Now().UnixMilli()
		err = x.storeRecord(call, rec, id, runs, body)
	}
	if err != nil {
		if len(runs) > 0 {
			x.s.janitor.dropRuns(x, runs)
		}
		return err
	}
	return x.answer(200, u.answerFields(), nil)
}

// refuseSettings refuses fields that ask for what is not there, where passing
// them over would break a promise to the client.
func refuseSettings(fields http1.Fields) error {
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

// writeConditions reads If-Match and If-None-Match of a write.
func (x *exchange) writeConditions() (brick.Request, error) {
	var call brick.Request
	fields := x.c.req.Fields
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
	ans, _, there, err := x.fetch(brick.SpaceObjects, name, x.home(name), false)
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
	if !etagIn(match, rec.ETag) {
		return call, errPrecondition
	}
	call.IfVersion = ans.Version
	return call, nil
}

// storeBody reads an upload. What fits into one piece is left in body; else
// the pieces are stored as they come, and their run is returned, also with an
// error, so that they can be dropped.
func (x *exchange) storeBody(u *upload, base string, body *spool.Buffer) ([]run, error) {
	most := x.s.cfg.PieceBytes
	var runs []run
	for index := 0; ; index++ {
		got, err := body.Fill(u, most)
		if err != nil {
			return runs, err
		}
		last := got < most || u.got == u.size
		if last && got == most {
			if err := readEnd(u); err != nil {
				return runs, err
			}
		}
		if index == 0 && last {
			return nil, nil
		}
		if got > 0 {
			if runs == nil {
				runs = []run{{Base: base, Piece: most}}
			}
			runs[0].Size += got
			name := placement.Piece(base, index)
			call := brick.Request{Space: brick.SpacePieces, Name: name, Body: body}
			began := time.Now()
			if _, err := x.store(call, x.home(name)); err != nil {
				return runs, err
			}
			x.awaySince(began)
			body.Release()
		}
		if last {
			return runs, nil
		}
	}
}

// readEnd reads the end of a body whose bytes have all come: the last chunk's
// signature and the trailer.
func readEnd(u *upload) error {
	var one [1]byte
	for range 3 {
		n, err := u.Read(one[:])
		if n > 0 {
			return refuse(400, "InvalidRequest", "The body is longer than it said.")
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
func (x *exchange) storeRecord(call brick.Request, rec *record, id string, runs []run, body *spool.Buffer) error {
	call.Space, call.Name = brick.SpaceObjects, placement.Object(x.bucket, x.key)
	if runs != nil {
		rec.Data = id
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
	ans, err := x.store(call, x.home(call.Name))
	if err != nil {
		return err
	}
	x.dropReplaced(ans.Replaced, rec.Data)
	return nil
}

// dropReplaced drops the pieces of an object that is no more.
func (x *exchange) dropReplaced(meta []byte, by string) {
	if len(meta) == 0 {
		return
	}
	if old, err := decodeRecord(meta); err == nil && old.Data != "" && old.Data != by {
		x.s.janitor.drop(x, old.Data)
	}
}

// deleteObject serves DELETE of an object; one that is not there is deleted
// already.
func (x *exchange) deleteObject() error {
	if err := x.noBody(); err != nil {
		return err
	}
	if err := x.needBucket(); err != nil {
		return err
	}
	if err := x.deleteKey(x.key); err != nil {
		return err
	}
	x.head(204, nil, -1)
	return x.flush()
}

func (x *exchange) deleteKey(key string) error {
	name := placement.Object(x.bucket, key)
	ans, ok, err := x.remove(brick.SpaceObjects, name, x.home(name), 0)
	if err != nil {
		return err
	}
	if ok {
		x.dropReplaced(ans.Replaced, "")
	}
	return nil
}

type deleteBody struct {
	XMLName xml.Name `xml:"Delete"`
	Quiet   bool
	Object  []struct {
		Key       string
		VersionID string `xml:"VersionId"`
	}
}

type deleteResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ DeleteResult"`
	Deleted []deletedKey
	Error   []deleteError
}

type deletedKey struct{ Key string }

type deleteError struct{ Key, Code, Message string }

// deleteObjects serves POST ?delete: up to 1000 keys, each with its own answer.
func (x *exchange) deleteObjects() error {
	if err := x.needBucket(); err != nil {
		return err
	}
	text, err := x.readSmall(2 << 20)
	if err != nil {
		return err
	}
	var in deleteBody
	if err := xml.Unmarshal(text, &in); err != nil || len(in.Object) == 0 || len(in.Object) > 1000 {
		return errMalformedXML
	}
	errs := make([]error, len(in.Object))
	x.parallel(len(in.Object), func(i int) {
		switch o := in.Object[i]; {
		case o.VersionID != "" && o.VersionID != "null":
			errs[i] = errNotImplemented
		case o.Key == "" || len(o.Key) > keyMost:
			errs[i] = refuse(400, "KeyTooLongError", "Your key is too long or empty.")
		default:
			errs[i] = x.deleteKey(o.Key)
		}
	})
	out := deleteResult{}
	for i, o := range in.Object {
		if errors.Is(errs[i], errGone) {
			return errGone
		}
		if errs[i] != nil {
			api := asAPI(errs[i])
			if api == nil {
				api = asAPI(errInternal)
			}
			out.Error = append(out.Error, deleteError{o.Key, api.code, api.message})
		} else if !in.Quiet {
			out.Deleted = append(out.Deleted, deletedKey{o.Key})
		}
	}
	return x.answerXML(200, out)
}

type copyResult struct {
	XMLName      xml.Name `xml:"CopyObjectResult"`
	ETag         string
	LastModified string
}

// copyObject serves PUT with x-amz-copy-source.
func (x *exchange) copyObject() error {
	fields := x.c.req.Fields
	if err := refuseSettings(fields); err != nil {
		return err
	}
	if err := x.noBody(); err != nil {
		return err
	}
	source, err := brick.Unescape(strings.TrimPrefix(fields.Get("x-amz-copy-source"), "/"))
	bucket, key, ok := strings.Cut(source, "/")
	if i := strings.LastIndex(key, "?versionId="); i >= 0 {
		return errNotImplemented
	}
	if err != nil || !ok || bucket == "" || key == "" {
		return refuse(400, "InvalidArgument", "Copy Source must mention the source bucket and key: sourcebucket/sourcekey.")
	}
	directive := fields.Get("x-amz-metadata-directive")
	if directive != "" && directive != "COPY" && directive != "REPLACE" {
		return refuse(400, "InvalidArgument", "Unknown metadata directive.")
	}
	if source == x.bucket+"/"+x.key && directive != "REPLACE" {
		return refuse(400, "InvalidRequest", "This copy request is illegal because it is trying to copy an object to itself without changing the object's metadata.")
	}
	if err := x.needBucket(); err != nil {
		return err
	}
	call, err := x.writeConditions()
	if err != nil {
		return err
	}
	return x.copyFrom(bucket, key, directive == "REPLACE", call)
}

func (x *exchange) copyFrom(bucket, key string, replace bool, call brick.Request) error {
	from := placement.Object(bucket, key)
	ans, text, ok, err := x.fetch(brick.SpaceObjects, from, x.home(from), true)
	if err != nil {
		return err
	}
	if !ok {
		return x.missing(bucket)
	}
	rec, err := decodeRecord(ans.Meta)
	if err != nil {
		return err
	}
	cond := parseConditions(x.c.req.Fields, "x-amz-copy-source-")
	if err := cond.check(rec); err != nil {
		return errPrecondition
	}
	to := &record{ETag: rec.ETag, Size: rec.Size, Sums: rec.Sums, Type: rec.Type, Fields: rec.Fields}
	if replace {
		to.Type, to.Fields = "", nil
		if err := x.describe(to); err != nil {
			return err
		}
	}
	to.Time = time.Now().UnixMilli()
	id := newID()
	var runs []run
	if ans.Whole {
		if runs, err = x.copyPieces(text, id, rec.Size); err != nil {
			x.s.janitor.drop(x, id)
			return err
		}
	} else {
		call.Body = brick.Bytes(text)
	}
	if err := x.storeRecord(call, to, id, runs, nil); err != nil {
		if runs != nil {
			x.s.janitor.drop(x, id)
		}
		return err
	}
	return x.answerXML(200, copyResult{ETag: quote(to.ETag), LastModified: isoTime(to.Time)})
}

// copyPieces copies an object's pieces under another name.
func (x *exchange) copyPieces(text []byte, id string, size int64) ([]run, error) {
	var m manifest
	if err := json.Unmarshal(text, &m); err != nil || !m.valid(size) {
		return nil, fmt.Errorf("manifest of the copy's source: %v", err)
	}
	runs := make([]run, len(m.Runs))
	for i, r := range m.Runs {
		runs[i] = run{Base: id + "/" + strconv.Itoa(i), Size: r.Size, Piece: r.Piece}
		for index := range int((r.Size + r.Piece - 1) / r.Piece) {
			if x.wait == 0 { // a copy takes as long as it is large
				x.renew()
			}
			from, to := placement.Piece(r.Base, index), placement.Piece(runs[i].Base, index)
			_, data, ok, err := x.fetch(brick.SpacePieces, from, x.home(from), true)
			if err != nil {
				return nil, err
			}
			if !ok {
				return nil, errInternal
			}
			if _, err := x.store(brick.Request{Space: brick.SpacePieces, Name: to, Body: brick.Bytes(data)}, x.home(to)); err != nil {
				return nil, err
			}
		}
	}
	return runs, nil
}
