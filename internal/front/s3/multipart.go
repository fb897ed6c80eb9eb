package s3

import (
	"cmp"
	"crypto/md5"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"encoding/xml"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/placement"
)

const (
	maxParts     = 10_000
	minPartBytes = 5 << 20 // minimum size of all parts but the last
)

// uploadRecord is the stored state of a multipart upload, at the shard of the
// object. Every change is conditional on the record's version, so complete and
// abort cannot both succeed.
type uploadRecord struct {
	Object    record `json:"o"` // metadata of the future object
	CreatedMS int64  `json:"t"`
	// Completing is the digest of the part list that a complete has claimed the
	// upload for. The same list may be claimed again after a crash or a retry.
	// Other lists and aborts are rejected.
	Completing string `json:"c,omitempty"`
}

// partRecord describes an uploaded part. It is stored at the shard of the
// object. Uploading a part again adds a new record; the latest one counts.
type partRecord struct {
	Number     int               `json:"n"`
	ETag       string            `json:"e"`
	Size       int64             `json:"s"`
	UploadedMS int64             `json:"t"`
	Base       string            `json:"b"`           // base name of the pieces
	PieceSize  int64             `json:"p,omitempty"` // size of all pieces but the last; 0: not recorded, by an older version
	Checksums  map[string]string `json:"k,omitempty"`
}

// uploadName returns the name under which the record of an upload is stored.
func uploadName(bucket, key, uploadID string) string {
	return placement.Object(bucket, key) + "\x00" + uploadID
}

// isValidUploadID reports whether uploadID has the form that newUniqueID
// produces.
func isValidUploadID(uploadID string) bool {
	return len(uploadID) == 34 && strings.Trim(uploadID, "0123456789abcdef") == ""
}

// objectShard returns the shard of the object, which also stores the records
// of its uploads and their parts.
func (x *exchange) objectShard() int { return x.shardOf(placement.Object(x.bucket, x.key)) }

// createUploadResult is the XML body of the response to CreateMultipartUpload.
type createUploadResult struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ InitiateMultipartUploadResult"`
	Bucket   string
	Key      string
	UploadID string `xml:"UploadId"`
}

// createUpload serves CreateMultipartUpload.
func (x *exchange) createUpload() error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	if err := x.requireBucket(); err != nil {
		return err
	}
	if err := rejectUnsupportedFields(x.conn.req.Fields); err != nil {
		return err
	}
	record := uploadRecord{CreatedMS: time.Now().UnixMilli()}
	if err := x.readMetadata(&record.Object); err != nil {
		return err
	}
	if _, err := record.Object.encode(); err != nil {
		return err
	}
	meta, err := json.Marshal(record)
	if err != nil {
		return err
	}
	id := newUniqueID()
	request := brick.Request{Space: brick.SpaceUploads, Name: uploadName(x.bucket, x.key, id), Meta: meta, Whole: true, IfAbsent: true}
	if _, err := x.writeBlob(request, x.objectShard()); err != nil {
		return err
	}
	var fields http1.Fields
	if algorithm := x.conn.req.Fields.Get("x-amz-checksum-algorithm"); algorithm != "" {
		fields = http1.Fields{{Name: "x-amz-checksum-algorithm", Value: algorithm}}
	}
	fields = append(fields, http1.Field{Name: "Content-Type", Value: "application/xml"})
	return x.respond(200, fields, append([]byte(xml.Header), marshalXML(createUploadResult{Bucket: x.bucket, Key: x.key, UploadID: id})...))
}

// readUpload returns the record of an upload and its version, or
// errNoSuchUpload.
func (x *exchange) readUpload(id string) (*uploadRecord, uint64, error) {
	if !isValidUploadID(id) {
		return nil, 0, errNoSuchUpload
	}
	response, _, ok, err := x.readBlob(brick.SpaceUploads, uploadName(x.bucket, x.key, id), x.objectShard(), false)
	if err != nil {
		return nil, 0, err
	}
	if !ok {
		return nil, 0, errNoSuchUpload
	}
	record := &uploadRecord{}
	if err := json.Unmarshal(response.Meta, record); err != nil {
		return nil, 0, fmt.Errorf("upload record: %w", err)
	}
	return record, response.Version, nil
}

// uploadPart serves UploadPart. It stores the pieces, then the record of the
// part, and then checks that the upload still exists: a complete or abort that
// ended the upload before the record was written did not see the part, so that
// the upload is reclaimed once more. The pieces of a part that fails are reclaimed
// at the end of the upload: its record may have been written.
func (x *exchange) uploadPart(id string) error {
	number, err := strconv.Atoi(x.query.Get("partNumber"))
	if err != nil || number < 1 || number > maxParts {
		return newAPIError(400, "InvalidArgument", "Part number must be an integer between 1 and %d, inclusive.", maxParts)
	}
	if _, _, err := x.readUpload(id); err != nil {
		return err
	}
	body, err := x.newUpload()
	if err != nil {
		return err
	}
	part := partRecord{Number: number, Base: id + "/" + newUniqueID(), PieceSize: x.server.cfg.PieceBytes}
	if err := x.storePartBody(body, part.Base); err != nil {
		return err
	}
	if err := body.verify(); err != nil {
		return err
	}
	part.ETag, part.Size, part.Checksums, part.UploadedMS = body.etag(), body.received, body.verifiedChecksums(), time.Now().UnixMilli()
	if err := x.storePartRecord(id, &part); err != nil {
		return err
	}
	if _, _, err := x.readUpload(id); err != nil {
		if errors.Is(err, errNoSuchUpload) {
			x.server.gc.reclaimUpload(x.volume, x.object(), id, true)
		}
		return err
	}
	return x.respond(200, body.responseFields(), nil)
}

// storePartBody stores the body of a part as pieces, even if it fits into one.
func (x *exchange) storePartBody(upload *upload, base string) error {
	buffer := x.server.opts.Spool.NewBuffer()
	defer buffer.Release()
	runs, err := x.storeBody(upload, base, buffer, nil)
	if err != nil || runs != nil || buffer.Len() == 0 {
		return err
	}
	name := placement.Piece(base, 0)
	_, err = x.writeBlob(brick.Request{Space: brick.SpacePieces, Name: name, Body: buffer}, x.shardOf(name))
	return err
}

// partName returns the name under which the record of a part is stored.
func partName(uploadID string, part *partRecord) string {
	return fmt.Sprintf("%s/%05d/%s", uploadID, part.Number, part.Base[len(uploadID)+1:])
}

// storePartRecord writes the record of a part.
func (x *exchange) storePartRecord(uploadID string, part *partRecord) error {
	meta, err := json.Marshal(part)
	if err != nil {
		return err
	}
	_, err = x.writeBlob(brick.Request{Space: brick.SpaceParts, Name: partName(uploadID, part), Meta: meta}, x.objectShard())
	return err
}

// listPartRecords returns the records of all parts of an upload, ordered by
// part number and then by upload time.
func (x *exchange) listPartRecords(uploadID string, shard int) ([]partRecord, error) {
	var parts []partRecord
	list := brick.ListQuery{Prefix: uploadID + "/", MaxItems: maxListItems}
	for {
		page, err := x.listPage(brick.SpaceParts, shard, list)
		if err != nil {
			return nil, err
		}
		for _, item := range page.Items {
			var part partRecord
			if err := json.Unmarshal(item.Meta, &part); err != nil {
				return nil, fmt.Errorf("part record: %w", err)
			}
			parts = append(parts, part)
			list.After = string(item.Name)
		}
		if !page.More {
			return parts, nil
		}
	}
}

// latestParts returns the last record of each part number.
func latestParts(parts []partRecord) []partRecord {
	var latest []partRecord
	for _, p := range parts {
		if n := len(latest); n > 0 && latest[n-1].Number == p.Number {
			latest[n-1] = p
		} else {
			latest = append(latest, p)
		}
	}
	return latest
}

// completeUploadBody is the XML body of CompleteMultipartUpload.
type completeUploadBody struct {
	XMLName xml.Name `xml:"CompleteMultipartUpload"`
	Part    []completePart
}

// completePart is the XML element of one part to complete.
type completePart struct {
	PartNumber        int
	ETag              string
	ChecksumCRC32     string
	ChecksumCRC32C    string
	ChecksumCRC64NVME string
	ChecksumSHA1      string
	ChecksumSHA256    string
}

// checksums returns the checksums that the client gave for the part, by
// algorithm.
func (p *completePart) checksums() map[string]string {
	return map[string]string{"crc32": p.ChecksumCRC32, "crc32c": p.ChecksumCRC32C, "crc64nvme": p.ChecksumCRC64NVME,
		"sha1": p.ChecksumSHA1, "sha256": p.ChecksumSHA256}
}

// completeUploadResult is the XML body of the response to
// CompleteMultipartUpload.
type completeUploadResult struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CompleteMultipartUploadResult"`
	Location string
	Bucket   string
	Key      string
	ETag     string
}

// completeUpload serves CompleteMultipartUpload.
func (x *exchange) completeUpload(id string) error {
	body, err := x.readSmallBody(4 << 20)
	if err != nil {
		return err
	}
	var request completeUploadBody
	if err := xml.Unmarshal(body, &request); err != nil || len(request.Part) == 0 || len(request.Part) > maxParts {
		return errMalformedXML
	}
	for i := 1; i < len(request.Part); i++ {
		if request.Part[i].PartNumber <= request.Part[i-1].PartNumber {
			return newAPIError(400, "InvalidPartOrder", "The list of parts was not in ascending order. Parts must be ordered by part number.")
		}
	}
	upload, version, err := x.readUpload(id)
	if errors.Is(err, errNoSuchUpload) {
		return x.respondAlreadyCompleted(id)
	}
	if err != nil {
		return err
	}
	records, err := x.listPartRecords(id, x.objectShard())
	if err != nil {
		return err
	}
	selected, err := selectParts(request.Part, latestParts(records))
	if err != nil {
		return err
	}
	if err := x.claimCompletion(id, upload, version, partListDigest(selected)); err != nil {
		return err
	}
	record, err := x.writeCompletedObject(id, upload, selected)
	if errors.Is(err, errOwnerMissing) { // a concurrent complete was faster
		return x.respondAlreadyCompleted(id)
	}
	if err != nil {
		return err
	}
	x.server.gc.reclaimUpload(x.volume, x.object(), id, false)
	return x.respondCompleted(record)
}

// selectParts returns the stored parts that the client listed, or an error
// response if one is missing, differs or is too small.
func selectParts(requested []completePart, stored []partRecord) ([]partRecord, error) {
	selected := make([]partRecord, 0, len(requested))
	for i, want := range requested {
		index, ok := slices.BinarySearchFunc(stored, want.PartNumber, func(p partRecord, n int) int { return cmp.Compare(p.Number, n) })
		if !ok || stored[index].ETag != strings.Trim(want.ETag, `"`) {
			return nil, newAPIError(400, "InvalidPart", "Part %d could not be found, or its entity tag is not that of the last upload of it.", want.PartNumber)
		}
		for algorithm, sum := range want.checksums() {
			if storedSum := stored[index].Checksums[algorithm]; sum != "" && storedSum != "" && sum != storedSum {
				return nil, newAPIError(400, "InvalidPart", "Part %d: the %s checksum does not match that of the uploaded part.", want.PartNumber, algorithm)
			}
		}
		if i < len(requested)-1 && stored[index].Size < minPartBytes {
			return nil, newAPIError(400, "EntityTooSmall", "Your proposed upload is smaller than the minimum allowed size: part %d.", want.PartNumber)
		}
		selected = append(selected, stored[index])
	}
	return selected, nil
}

// partListDigest returns a digest that identifies a list of parts.
func partListDigest(parts []partRecord) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%s\n", p.Base)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// errConflict is the response to a complete or abort that lost against a
// concurrent one.
var errConflict = newAPIError(409, "OperationAborted", "A conflicting conditional operation is currently in progress against this resource. Try again.")

// claimCompletion marks the upload as being completed with the given part
// list. It returns errConflict if a different list or an abort was faster.
func (x *exchange) claimCompletion(id string, upload *uploadRecord, version uint64, listDigest string) error {
	if upload.Completing == listDigest {
		return nil
	}
	if upload.Completing != "" {
		return errConflict
	}
	upload.Completing = listDigest
	meta, err := json.Marshal(upload)
	if err != nil {
		return err
	}
	_, err = x.writeBlob(brick.Request{Space: brick.SpaceUploads, Name: uploadName(x.bucket, x.key, id), Meta: meta, Whole: true, IfVersion: version}, x.objectShard())
	if !errors.Is(err, errPrecondition) {
		return err
	}
	current, _, err := x.readUpload(id)
	if err != nil {
		return err
	}
	if current.Completing != listDigest {
		return errConflict
	}
	return nil
}

// writeCompletedObject writes the object that consists of the given parts. The
// write is atomic and consumes the record of the upload.
func (x *exchange) writeCompletedObject(id string, upload *uploadRecord, parts []partRecord) (*record, error) {
	record := upload.Object
	record.UploadID, record.ModifiedMS = id, time.Now().UnixMilli()
	etagHash := md5.New()
	runs := make([]pieceRun, 0, len(parts))
	for _, p := range parts {
		partMD5, err := hex.DecodeString(p.ETag)
		if err != nil {
			return nil, fmt.Errorf("part record: %w", err)
		}
		etagHash.Write(partMD5)
		record.Size += p.Size
		if p.Size == 0 {
			continue
		}
		pieceSize, err := x.partPieceSize(&p)
		if err != nil {
			return nil, err
		}
		runs = append(runs, pieceRun{p.Base, p.Size, pieceSize})
	}
	record.ETag = hex.EncodeToString(etagHash.Sum(nil)) + "-" + strconv.Itoa(len(parts))
	request, err := x.parseWriteConditions()
	if err != nil {
		return nil, err
	}
	owner := pieceOwner{brick.SpaceUploads, uploadName(x.bucket, x.key, id)}
	return &record, x.storeRecord(request, &record, id, owner, runs, nil)
}

// partPieceSize returns the size of the pieces of a part that is not empty. The setting
// may have changed since the part was stored, so that a record of an older version, which
// does not tell, is not enough: the first piece does.
func (x *exchange) partPieceSize(part *partRecord) (int64, error) {
	if part.PieceSize > 0 {
		return part.PieceSize, nil
	}
	return x.storedPieceSize(part.Base)
}

// respondAlreadyCompleted responds to a complete of an upload that no longer
// exists. If the object was created by this upload, the response is the same
// as that of the first complete.
func (x *exchange) respondAlreadyCompleted(id string) error {
	record, err := x.readRecord(x.bucket, x.key)
	if err == nil && record.UploadID == id {
		return x.respondCompleted(record)
	}
	if err != nil && !errors.Is(err, errNoSuchKey) {
		return err
	}
	return errNoSuchUpload
}

// respondCompleted writes the response to a successful complete.
func (x *exchange) respondCompleted(rec *record) error {
	return x.respondXML(200, completeUploadResult{Location: "/" + x.bucket + "/" + x.key, Bucket: x.bucket, Key: x.key, ETag: quoteETag(rec.ETag)})
}

// abortUpload serves AbortMultipartUpload.
func (x *exchange) abortUpload(id string) error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	upload, version, err := x.readUpload(id)
	if err != nil {
		return err
	}
	if upload.Completing != "" {
		return errConflict
	}
	_, ok, err := x.deleteBlob(brick.Request{Space: brick.SpaceUploads, Name: uploadName(x.bucket, x.key, id), IfVersion: version, Trash: id}, x.objectShard())
	switch {
	case errors.Is(err, errPrecondition):
		return errConflict
	case err != nil:
		return err
	case !ok:
		return errNoSuchUpload
	}
	x.server.gc.reclaimUpload(x.volume, x.object(), id, false)
	x.buildHead(204, nil, -1)
	return x.flush()
}

// listPartsResult is the XML body of ListParts.
type listPartsResult struct {
	XMLName              xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListPartsResult"`
	Bucket               string
	Key                  string
	UploadID             string `xml:"UploadId"`
	Initiator            owner
	Owner                owner
	StorageClass         string
	PartNumberMarker     int
	NextPartNumberMarker int
	MaxParts             int
	IsTruncated          bool
	Part                 []listedPart
}

// listedPart is the XML element of one part.
type listedPart struct {
	PartNumber   int
	LastModified string
	ETag         string
	Size         int64
}

// listParts serves ListParts.
func (x *exchange) listParts(id string) error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	params, err := x.parseListParams("max-parts")
	if err != nil {
		return err
	}
	marker := 0
	if value, ok := x.query.Lookup("part-number-marker"); ok {
		if marker, err = strconv.Atoi(value); err != nil || marker < 0 {
			return newAPIError(400, "InvalidArgument", "Argument part-number-marker must be an integer.")
		}
	}
	if _, _, err := x.readUpload(id); err != nil {
		return err
	}
	records, err := x.listPartRecords(id, x.objectShard())
	if err != nil {
		return err
	}
	result := listPartsResult{Bucket: x.bucket, Key: params.encodeName(x.key), UploadID: id, Initiator: defaultOwner, Owner: defaultOwner,
		StorageClass: "STANDARD", PartNumberMarker: marker, MaxParts: params.maxItems}
	for _, p := range latestParts(records) {
		if p.Number <= marker {
			continue
		}
		if len(result.Part) == params.maxItems {
			result.IsTruncated = true
			break
		}
		result.Part = append(result.Part, listedPart{p.Number, formatISOTime(p.UploadedMS), quoteETag(p.ETag), p.Size})
		result.NextPartNumberMarker = p.Number
	}
	return x.respondXML(200, result)
}

// listUploadsResult is the XML body of ListMultipartUploads.
type listUploadsResult struct {
	XMLName            xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ ListMultipartUploadsResult"`
	Bucket             string
	KeyMarker          string
	UploadIDMarker     string `xml:"UploadIdMarker"`
	NextKeyMarker      string `xml:",omitempty"`
	NextUploadIDMarker string `xml:"NextUploadIdMarker,omitempty"`
	Prefix             string
	Delimiter          string `xml:",omitempty"`
	EncodingType       string `xml:",omitempty"`
	MaxUploads         int
	IsTruncated        bool
	Upload             []listedUpload
	CommonPrefixes     []commonPrefix
}

// listedUpload is the XML element of one upload.
type listedUpload struct {
	Key          string
	UploadID     string `xml:"UploadId"`
	Initiator    owner
	Owner        owner
	StorageClass string
	Initiated    string
}

// listUploads serves ListMultipartUploads.
func (x *exchange) listUploads() error {
	if err := x.checkEmptyBody(); err != nil {
		return err
	}
	params, err := x.parseListParams("max-uploads")
	if err != nil {
		return err
	}
	if err := x.requireBucket(); err != nil {
		return err
	}
	result := listUploadsResult{Bucket: x.bucket, KeyMarker: params.encodeName(x.query.Get("key-marker")), UploadIDMarker: x.query.Get("upload-id-marker"),
		Prefix: params.encodeName(params.prefix), Delimiter: params.encodeName(params.delimiter), EncodingType: params.encodingType(), MaxUploads: params.maxItems}
	bucketPrefix := x.bucket + "/"
	list := brick.ListQuery{Prefix: bucketPrefix + params.prefix, Delimiter: params.delimiter, MaxItems: max(1, params.maxItems)}
	if marker := x.query.Get("key-marker"); marker != "" {
		list.After = bucketPrefix + marker + "\x00" + cmp.Or(result.UploadIDMarker, "~") // upload IDs sort before "~"
		if params.delimiter != "" && strings.HasSuffix(marker, params.delimiter) {
			list.After = bucketPrefix + marker
		}
	}
	items, more, err := x.listAllShards(brick.SpaceUploads, list)
	if err != nil {
		return err
	}
	for _, item := range items {
		key, id, _ := strings.Cut(string(item.Name[len(bucketPrefix):]), "\x00")
		result.NextKeyMarker, result.NextUploadIDMarker = params.encodeName(key), id
		if item.IsPrefix {
			result.CommonPrefixes = append(result.CommonPrefixes, commonPrefix{params.encodeName(key)})
			continue
		}
		var upload uploadRecord
		if err := json.Unmarshal(item.Meta, &upload); err != nil {
			return fmt.Errorf("upload record: %w", err)
		}
		result.Upload = append(result.Upload, listedUpload{params.encodeName(key), id, defaultOwner, defaultOwner, "STANDARD", formatISOTime(upload.CreatedMS)})
	}
	if result.IsTruncated = more; !more {
		result.NextKeyMarker, result.NextUploadIDMarker = "", ""
	}
	return x.respondXML(200, result)
}
