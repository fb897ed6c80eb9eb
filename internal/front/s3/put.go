package s3

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/reclaim"
	"arrowwalk/internal/spool"
)

// putObject serves PutObject.
func (x *exchange) putObject() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	if err := rejectUnsupportedFields(x.conn.req.Fields); err != nil {
		return err
	}
	newRecord := &record{}
	if err := x.readMetadata(newRecord); err != nil {
		return err
	}
	request, err := x.parseWriteConditions()
	if err != nil {
		return err
	}
	body, err := x.newUpload()
	if err != nil {
		return err
	}
	set := x.newPieceSet()
	buffer := x.server.opts.Spool.NewBuffer()
	defer buffer.Release()
	runs, err := x.storeBody(body, set.id+"/o", buffer, set)
	if err == nil {
		err = body.verify()
	}
	if err == nil {
		newRecord.ETag, newRecord.Size, newRecord.Checksums = body.etag(), body.received, body.verifiedChecksums()
		newRecord.ModifiedMS = time.Now().UnixMilli()
		err = x.storeRecord(request, newRecord, set.id, set.owner(), runs, buffer)
	}
	if err != nil {
		set.giveUp()
		return err
	}
	return x.respond(200, body.responseFields(), nil)
}

// rejectUnsupportedFields rejects headers that request an unsupported feature
// and that cannot be ignored without breaking a guarantee to the client.
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

// parseWriteConditions translates If-Match and If-None-Match into the
// conditions of a brick write.
func (x *exchange) parseWriteConditions() (brick.Request, error) {
	var request brick.Request
	fields := x.conn.req.Fields
	if value, ok := fields.Lookup("If-None-Match"); ok {
		if value != "*" {
			return request, errNotImplemented
		}
		request.IfAbsent = true
	}
	match, ok := fields.Lookup("If-Match")
	if !ok {
		return request, nil
	}
	name := placement.Object(x.bucket, x.key)
	response, _, found, err := x.readBlob(brick.SpaceObjects, name, x.shardOf(name), false)
	if err != nil {
		return request, err
	}
	if !found {
		return request, errNoSuchKey
	}
	rec, err := decodeRecord(response.Meta)
	if err != nil {
		return request, err
	}
	if !matchesETag(match, rec.ETag) {
		return request, errPrecondition
	}
	request.IfVersion = response.Version
	return request, nil
}

// storeBody reads an upload. A body that fits into one piece is left in
// buffer. A larger body is stored in pieces as it arrives, and the run of
// pieces is returned, also together with an error. set is the set of the
// pieces if an intent owns them; nil: another blob does.
func (x *exchange) storeBody(u *upload, base string, buffer *spool.Buffer, set *pieceSet) ([]pieceRun, error) {
	pieceSize := x.server.cfg.PieceBytes
	var runs []pieceRun
	for index := 0; ; index++ {
		size, err := buffer.Fill(u, pieceSize)
		if err != nil {
			return runs, err
		}
		isLast := size < pieceSize || u.received == u.declaredSize
		if isLast && size == pieceSize {
			if err := readBodyEnd(u); err != nil {
				return runs, err
			}
		}
		if index == 0 && isLast {
			return nil, nil
		}
		if size > 0 {
			if err := set.prepare(index == 0); err != nil {
				return runs, err
			}
			if runs == nil {
				runs = []pieceRun{{Base: base, PieceSize: pieceSize}}
			}
			runs[0].Size += size
			name := placement.Piece(base, index)
			request := brick.Request{Space: brick.SpacePieces, Name: name, Body: buffer}
			writeStart := time.Now()
			if _, err := x.writeBlob(request, x.shardOf(name)); err != nil {
				return runs, err
			}
			x.recordReadPause(writeStart)
			buffer.Release()
		}
		if isLast {
			return runs, nil
		}
	}
}

// readBodyEnd reads the end of a body whose data is complete: the signature of
// the last chunk and the trailer.
func readBodyEnd(u *upload) error {
	var buf [1]byte
	for range 3 {
		n, err := u.Read(buf[:])
		if n > 0 {
			return newAPIError(400, "InvalidRequest", "The body is longer than its declared length.")
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

// storeRecord writes the blob of an object: its record with the body, or with
// the manifest of its pieces. The latter consumes the owner of the pieces, so that it
// takes effect at most once. The pieces of the object that it replaces are
// reclaimed in the background.
func (x *exchange) storeRecord(request brick.Request, rec *record, id string, owner pieceOwner, runs []pieceRun, body *spool.Buffer) error {
	request.Space, request.Name, request.Trash = brick.SpaceObjects, x.object(), id
	if runs != nil {
		rec.PiecePrefix = id
		manifestJSON, err := json.Marshal(manifest{Runs: runs, SizesKnown: true})
		if err != nil {
			return err
		}
		request.Body, request.Whole = brick.Bytes(manifestJSON), true
		if !x.server.opts.DisabledReclaim.Consume {
			request.ConsumeSpace, request.ConsumeName = owner.space, owner.name
		}
	} else if body != nil {
		request.Body = body
	}
	var err error
	if request.Meta, err = rec.encode(); err != nil {
		return err
	}
	response, err := x.writeBlob(request, x.shardOf(request.Name))
	switch reclaim.AfterWrite(outcomeOf(err)) {
	case reclaim.CheckRecord:
		return x.checkStored(id, err)
	case reclaim.GiveUp:
		return err
	}
	x.server.gc.reclaimRecord(x.volume, request.Name, response.Replaced, id)
	return nil
}

// outcomeOf returns the outcome of the write of a record that ended with err. An error
// that tells of a condition that did not hold is treated like any other, since an
// earlier attempt may have taken effect.
func outcomeOf(err error) reclaim.Outcome {
	switch {
	case err == nil:
		return reclaim.Stored
	case errors.Is(err, errOwnerMissing):
		return reclaim.OwnerMissing
	}
	return reclaim.Unknown
}

// checkStored returns nil if the object's record names the set with the given ID, and
// otherwise err.
func (x *exchange) checkStored(id string, err error) error {
	_, named, readErr := x.namedBases(x.object(), id)
	switch {
	case readErr != nil:
		return readErr
	case named:
		return nil
	}
	return err
}

// deleteObject serves DeleteObject. Deleting an object that does not exist
// succeeds.
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

// deleteKey deletes one object of the bucket.
func (x *exchange) deleteKey(key string) error {
	name := placement.Object(x.bucket, key)
	suffix := newUniqueID()
	response, ok, err := x.deleteBlob(brick.Request{Space: brick.SpaceObjects, Name: name, Trash: suffix}, x.shardOf(name))
	if err != nil {
		return err
	}
	if ok {
		x.server.gc.reclaimRecord(x.volume, name, response.Replaced, suffix)
	}
	return nil
}

// deleteObjectsBody is the XML body of DeleteObjects.
type deleteObjectsBody struct {
	XMLName xml.Name `xml:"Delete"`
	Quiet   bool
	Object  []struct {
		Key       string
		VersionID string `xml:"VersionId"`
	}
}

// deleteObjectsResult is the XML body of the response to DeleteObjects.
type deleteObjectsResult struct {
	XMLName xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ DeleteResult"`
	Deleted []deletedKey
	Error   []deleteError
}

// deletedKey is the XML element of a deleted key.
type deletedKey struct{ Key string }

// deleteError is the XML element of a key that could not be deleted.
type deleteError struct{ Key, Code, Message string }

// deleteObjects serves DeleteObjects: up to 1000 keys, each with its own
// result.
func (x *exchange) deleteObjects() error {
	if err := x.requireBucket(); err != nil {
		return err
	}
	body, err := x.readSmallBody(2 << 20)
	if err != nil {
		return err
	}
	var request deleteObjectsBody
	if err := xml.Unmarshal(body, &request); err != nil || len(request.Object) == 0 || len(request.Object) > 1000 {
		return errMalformedXML
	}
	errs := make([]error, len(request.Object))
	x.runParallel(len(request.Object), func(i int) {
		switch object := request.Object[i]; {
		case object.VersionID != "" && object.VersionID != "null":
			errs[i] = errNotImplemented
		case object.Key == "" || len(object.Key) > maxKeyBytes:
			errs[i] = newAPIError(400, "KeyTooLongError", "Your key is too long or empty.")
		default:
			errs[i] = x.deleteKey(object.Key)
		}
	})
	result := deleteObjectsResult{}
	for i, object := range request.Object {
		if errors.Is(errs[i], errClientGone) {
			return errClientGone
		}
		if errs[i] != nil {
			apiErr := toAPIError(errs[i])
			if apiErr == nil {
				apiErr = toAPIError(errInternal)
			}
			result.Error = append(result.Error, deleteError{object.Key, apiErr.code, apiErr.message})
		} else if !request.Quiet {
			result.Deleted = append(result.Deleted, deletedKey{object.Key})
		}
	}
	return x.respondXML(200, result)
}

// copyObjectResult is the XML body of the response to CopyObject.
type copyObjectResult struct {
	XMLName      xml.Name `xml:"CopyObjectResult"`
	ETag         string
	LastModified string
}

// copyObject serves CopyObject.
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
	request, err := x.parseWriteConditions()
	if err != nil {
		return err
	}
	return x.copyFrom(bucket, key, directive == "REPLACE", request)
}

// copyFrom copies the object bucket/key to the object of the request. With
// replace, the metadata comes from the request instead of the source.
func (x *exchange) copyFrom(bucket, key string, replace bool, request brick.Request) error {
	from := placement.Object(bucket, key)
	response, body, ok, err := x.readBlob(brick.SpaceObjects, from, x.shardOf(from), true)
	if err != nil {
		return err
	}
	if !ok {
		return x.notFoundError(bucket)
	}
	sourceRecord, err := decodeRecord(response.Meta)
	if err != nil {
		return err
	}
	conditions := parseConditions(x.conn.req.Fields, "x-amz-copy-source-")
	if err := conditions.check(sourceRecord); err != nil {
		return errPrecondition
	}
	newRecord := &record{ETag: sourceRecord.ETag, Size: sourceRecord.Size, Checksums: sourceRecord.Checksums, ContentType: sourceRecord.ContentType, Fields: sourceRecord.Fields}
	if replace {
		newRecord.ContentType, newRecord.Fields = "", nil
		if err := x.readMetadata(newRecord); err != nil {
			return err
		}
	}
	newRecord.ModifiedMS = time.Now().UnixMilli()
	set := x.newPieceSet()
	var runs []pieceRun
	if response.Whole {
		runs, err = x.copyPieces(body, set, sourceRecord)
	} else {
		request.Body = brick.Bytes(body)
	}
	if err == nil {
		err = x.storeRecord(request, newRecord, set.id, set.owner(), runs, nil)
	}
	if err != nil {
		set.giveUp()
		return err
	}
	return x.respondXML(200, copyObjectResult{ETag: quoteETag(newRecord.ETag), LastModified: formatISOTime(newRecord.ModifiedMS)})
}

// copyPieces copies the pieces of a manifest to a new set and returns its runs.
func (x *exchange) copyPieces(manifestJSON []byte, set *pieceSet, source *record) ([]pieceRun, error) {
	m, err := decodeManifest(manifestJSON)
	if err != nil {
		return nil, err
	}
	if !m.isValid(source.Size) {
		return nil, errors.New("the manifest of the copy source contradicts its size")
	}
	if err := x.correctPieceSizes(source, m, byteRange{0, source.Size}); err != nil {
		return nil, err
	}
	runs := make([]pieceRun, len(m.Runs))
	for i, r := range m.Runs {
		runs[i] = pieceRun{Base: set.id + "/" + strconv.Itoa(i), Size: r.Size, PieceSize: r.PieceSize}
		for index := range int((r.Size + r.PieceSize - 1) / r.PieceSize) {
			if x.clientTimeout == 0 { // the time limit applies to each piece, because copying takes time in proportion to the size
				x.restartWait()
			}
			if err := set.prepare(i == 0 && index == 0); err != nil {
				return nil, err
			}
			sourceName, targetName := placement.Piece(r.Base, index), placement.Piece(runs[i].Base, index)
			_, data, ok, err := x.readBlob(brick.SpacePieces, sourceName, x.shardOf(sourceName), true)
			if err != nil {
				return nil, err
			}
			if !ok {
				return nil, errInternal
			}
			if _, err := x.writeBlob(brick.Request{Space: brick.SpacePieces, Name: targetName, Body: brick.Bytes(data)}, x.shardOf(targetName)); err != nil {
				return nil, err
			}
		}
	}
	return runs, nil
}
