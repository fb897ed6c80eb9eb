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
	partsMost = 10_000
	partLeast = 5 << 20 // bytes of a part that is not the last
)

// uploadRecord is kept of a multipart upload, at the object's home. Every
// change of it is conditional on its version: complete and abort cannot both
// win.
type uploadRecord struct {
	Object record `json:"o"` // what the object will be told to be
	Time   int64  `json:"t"`
	// Completing is a digest of the part list that a complete has claimed the
	// upload for; the same list may be claimed again, after a crash or a
	// repeat, any other may not, and abort may not.
	Completing string `json:"c,omitempty"`
}

// partRecord is kept of each part that was uploaded, at the object's home. A
// part that is sent again gets a record of its own; the latest counts.
type partRecord struct {
	Number int               `json:"n"`
	ETag   string            `json:"e"`
	Size   int64             `json:"s"`
	Time   int64             `json:"t"`
	Base   string            `json:"b"` // of its pieces
	Sums   map[string]string `json:"k,omitempty"`
}

func uploadName(bucket, key, id string) string { return placement.Object(bucket, key) + "\x00" + id }

func validUpload(id string) bool {
	return len(id) == 34 && strings.Trim(id, "0123456789abcdef") == ""
}

// objectHome returns the shard where all records of the object's uploads are.
func (x *exchange) objectHome() int { return x.home(placement.Object(x.bucket, x.key)) }

type createResult struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ InitiateMultipartUploadResult"`
	Bucket   string
	Key      string
	UploadID string `xml:"UploadId"`
}

func (x *exchange) createUpload() error {
	if err := x.noBody(); err != nil {
		return err
	}
	if err := x.needBucket(); err != nil {
		return err
	}
	if err := refuseSettings(x.c.req.Fields); err != nil {
		return err
	}
	up := uploadRecord{Time: time.Now().UnixMilli()}
	if err := x.describe(&up.Object); err != nil {
		return err
	}
	if _, err := up.Object.encode(); err != nil {
		return err
	}
	meta, err := json.Marshal(up)
	if err != nil {
		return err
	}
	id := newID()
	call := brick.Request{Space: brick.SpaceUploads, Name: uploadName(x.bucket, x.key, id), Meta: meta, IfAbsent: true}
	if _, err := x.store(call, x.objectHome()); err != nil {
		return err
	}
	var fields http1.Fields
	if a := x.c.req.Fields.Get("x-amz-checksum-algorithm"); a != "" {
		fields = http1.Fields{{Name: "x-amz-checksum-algorithm", Value: a}}
	}
	fields = append(fields, http1.Field{Name: "Content-Type", Value: "application/xml"})
	return x.answer(200, fields, append([]byte(xml.Header), marshal(createResult{Bucket: x.bucket, Key: x.key, UploadID: id})...))
}

// findUpload reads an upload's record, or refuses.
func (x *exchange) findUpload(id string) (*uploadRecord, uint64, error) {
	if !validUpload(id) {
		return nil, 0, errNoSuchUpload
	}
	ans, _, ok, err := x.fetch(brick.SpaceUploads, uploadName(x.bucket, x.key, id), x.objectHome(), false)
	if err != nil {
		return nil, 0, err
	}
	if !ok {
		return nil, 0, errNoSuchUpload
	}
	up := &uploadRecord{}
	if err := json.Unmarshal(ans.Meta, up); err != nil {
		return nil, 0, fmt.Errorf("upload record: %w", err)
	}
	return up, ans.Version, nil
}

// uploadPart stores a part's pieces, then its record, and then looks whether
// the upload is still there: a complete or abort that deleted it before the
// record was written has not seen the part, and nobody else will drop it.
func (x *exchange) uploadPart(id string) error {
	number, err := strconv.Atoi(x.query.Get("partNumber"))
	if err != nil || number < 1 || number > partsMost {
		return refuse(400, "InvalidArgument", "Part number must be an integer between 1 and %d, inclusive.", partsMost)
	}
	if _, _, err := x.findUpload(id); err != nil {
		return err
	}
	u, err := x.newUpload()
	if err != nil {
		return err
	}
	part := partRecord{Number: number, Base: id + "/" + newID()}
	runs, err := x.storeParts(u, part.Base)
	if err == nil {
		err = u.finish()
	}
	if err == nil {
		part.ETag, part.Size, part.Sums, part.Time = u.etag(), u.got, u.checked(), time.Now().UnixMilli()
		err = x.storePart(id, &part)
	}
	if err != nil {
		x.s.janitor.dropRuns(x, runs)
		return err
	}
	if _, _, err := x.findUpload(id); err != nil {
		if errors.Is(err, errNoSuchUpload) {
			x.s.janitor.dropPart(x, id, part)
		}
		return err
	}
	return x.answer(200, u.answerFields(), nil)
}

// storeParts stores a part's body as pieces, however small it is.
func (x *exchange) storeParts(u *upload, base string) ([]run, error) {
	body := x.s.opt.Spool.NewBuffer()
	defer body.Release()
	runs, err := x.storeBody(u, base, body)
	if err != nil || runs != nil || body.Len() == 0 {
		return runs, err
	}
	name := placement.Piece(base, 0)
	if _, err := x.store(brick.Request{Space: brick.SpacePieces, Name: name, Body: body}, x.home(name)); err != nil {
		return []run{{base, body.Len(), x.s.cfg.PieceBytes}}, err
	}
	return []run{{base, body.Len(), x.s.cfg.PieceBytes}}, nil
}

func partName(upload string, p *partRecord) string {
	return fmt.Sprintf("%s/%05d/%s", upload, p.Number, p.Base[len(upload)+1:])
}

func (x *exchange) storePart(upload string, p *partRecord) error {
	meta, err := json.Marshal(p)
	if err != nil {
		return err
	}
	_, err = x.store(brick.Request{Space: brick.SpaceParts, Name: partName(upload, p), Meta: meta}, x.objectHome())
	return err
}

// parts reads the records of an upload's parts, in the order of their numbers
// and then of their times.
func (x *exchange) parts(upload string, shard int) ([]partRecord, error) {
	var out []partRecord
	list := brick.ListQuery{Prefix: upload + "/", MaxItems: keysMost}
	for {
		page, err := x.page(brick.SpaceParts, shard, list)
		if err != nil {
			return nil, err
		}
		for _, it := range page.Items {
			var p partRecord
			if err := json.Unmarshal(it.Meta, &p); err != nil {
				return nil, fmt.Errorf("part record: %w", err)
			}
			out = append(out, p)
			list.After = string(it.Name)
		}
		if !page.More {
			return out, nil
		}
	}
}

// latest keeps the last record of each part number.
func latest(parts []partRecord) []partRecord {
	var out []partRecord
	for _, p := range parts {
		if n := len(out); n > 0 && out[n-1].Number == p.Number {
			out[n-1] = p
		} else {
			out = append(out, p)
		}
	}
	return out
}

type completeBody struct {
	XMLName xml.Name `xml:"CompleteMultipartUpload"`
	Part    []completePart
}

type completePart struct {
	PartNumber        int
	ETag              string
	ChecksumCRC32     string
	ChecksumCRC32C    string
	ChecksumCRC64NVME string
	ChecksumSHA1      string
	ChecksumSHA256    string
}

func (p *completePart) sums() map[string]string {
	return map[string]string{"crc32": p.ChecksumCRC32, "crc32c": p.ChecksumCRC32C, "crc64nvme": p.ChecksumCRC64NVME,
		"sha1": p.ChecksumSHA1, "sha256": p.ChecksumSHA256}
}

type completeResult struct {
	XMLName  xml.Name `xml:"http://s3.amazonaws.com/doc/2006-03-01/ CompleteMultipartUploadResult"`
	Location string
	Bucket   string
	Key      string
	ETag     string
}

func (x *exchange) completeUpload(id string) error {
	text, err := x.readSmall(4 << 20)
	if err != nil {
		return err
	}
	var in completeBody
	if err := xml.Unmarshal(text, &in); err != nil || len(in.Part) == 0 || len(in.Part) > partsMost {
		return errMalformedXML
	}
	for i := 1; i < len(in.Part); i++ {
		if in.Part[i].PartNumber <= in.Part[i-1].PartNumber {
			return refuse(400, "InvalidPartOrder", "The list of parts was not in ascending order. Parts must be ordered by part number.")
		}
	}
	up, version, err := x.findUpload(id)
	if errors.Is(err, errNoSuchUpload) {
		return x.completedBefore(id)
	}
	if err != nil {
		return err
	}
	all, err := x.parts(id, x.objectHome())
	if err != nil {
		return err
	}
	chosen, err := choose(in.Part, latest(all))
	if err != nil {
		return err
	}
	if err := x.claim(id, up, version, digest(chosen)); err != nil {
		return err
	}
	rec, err := x.assemble(id, up, chosen)
	if err != nil {
		return err
	}
	if _, _, err := x.remove(brick.SpaceUploads, uploadName(x.bucket, x.key, id), x.objectHome(), 0); err != nil {
		x.s.log.Warn("completed upload left behind", "request", x.id, "error", err) // the object is whole all the same
	} else {
		x.s.janitor.dropUnused(x, id, chosen)
	}
	return x.answerCompleted(rec)
}

// choose picks the parts that the client names out of those there are.
func choose(wanted []completePart, have []partRecord) ([]partRecord, error) {
	chosen := make([]partRecord, 0, len(wanted))
	for i, w := range wanted {
		at, ok := slices.BinarySearchFunc(have, w.PartNumber, func(p partRecord, n int) int { return cmp.Compare(p.Number, n) })
		if !ok || have[at].ETag != strings.Trim(w.ETag, `"`) {
			return nil, refuse(400, "InvalidPart", "Part %d could not be found, or its entity tag is not that of the last upload of it.", w.PartNumber)
		}
		for algorithm, sum := range w.sums() {
			if kept := have[at].Sums[algorithm]; sum != "" && kept != "" && sum != kept {
				return nil, refuse(400, "InvalidPart", "Part %d: its %s is another.", w.PartNumber, algorithm)
			}
		}
		if i < len(wanted)-1 && have[at].Size < partLeast {
			return nil, refuse(400, "EntityTooSmall", "Your proposed upload is smaller than the minimum allowed size: part %d.", w.PartNumber)
		}
		chosen = append(chosen, have[at])
	}
	return chosen, nil
}

func digest(chosen []partRecord) string {
	h := sha256.New()
	for _, p := range chosen {
		fmt.Fprintf(h, "%s\n", p.Base)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

var errConflict = refuse(409, "OperationAborted", "A conflicting conditional operation is currently in progress against this resource. Try again.")

// claim marks the upload as being completed with this list of parts, unless
// another list, or an abort, was quicker.
func (x *exchange) claim(id string, up *uploadRecord, version uint64, list string) error {
	if up.Completing == list {
		return nil
	}
	if up.Completing != "" {
		return errConflict
	}
	up.Completing = list
	meta, err := json.Marshal(up)
	if err != nil {
		return err
	}
	_, err = x.store(brick.Request{Space: brick.SpaceUploads, Name: uploadName(x.bucket, x.key, id), Meta: meta, IfVersion: version}, x.objectHome())
	if !errors.Is(err, errPrecondition) {
		return err
	}
	now, _, err := x.findUpload(id)
	if err != nil {
		return err
	}
	if now.Completing != list {
		return errConflict
	}
	return nil
}

// assemble writes the object out of its parts, in one step.
func (x *exchange) assemble(id string, up *uploadRecord, chosen []partRecord) (*record, error) {
	rec := up.Object
	rec.Upload, rec.Time = id, time.Now().UnixMilli()
	sum := md5.New()
	runs := make([]run, 0, len(chosen))
	for _, p := range chosen {
		raw, err := hex.DecodeString(p.ETag)
		if err != nil {
			return nil, fmt.Errorf("part record: %w", err)
		}
		sum.Write(raw)
		rec.Size += p.Size
		if p.Size > 0 {
			runs = append(runs, run{p.Base, p.Size, x.s.cfg.PieceBytes})
		}
	}
	rec.ETag = hex.EncodeToString(sum.Sum(nil)) + "-" + strconv.Itoa(len(chosen))
	call, err := x.writeConditions()
	if err != nil {
		return nil, err
	}
	return &rec, x.storeRecord(call, &rec, id, runs, nil)
}

// completedBefore answers a complete of an upload that is gone: with the same
// answer where the object is that upload's.
func (x *exchange) completedBefore(id string) error {
	rec, err := x.lookUp(x.bucket, x.key)
	if err == nil && rec.Upload == id {
		return x.answerCompleted(rec)
	}
	if err != nil && !errors.Is(err, errNoSuchKey) {
		return err
	}
	return errNoSuchUpload
}

func (x *exchange) answerCompleted(rec *record) error {
	return x.answerXML(200, completeResult{Location: "/" + x.bucket + "/" + x.key, Bucket: x.bucket, Key: x.key, ETag: quote(rec.ETag)})
}

func (x *exchange) abortUpload(id string) error {
	if err := x.noBody(); err != nil {
		return err
	}
	up, version, err := x.findUpload(id)
	if err != nil {
		return err
	}
	if up.Completing != "" {
		return errConflict
	}
	_, ok, err := x.remove(brick.SpaceUploads, uploadName(x.bucket, x.key, id), x.objectHome(), version)
	switch {
	case errors.Is(err, errPrecondition):
		return errConflict
	case err != nil:
		return err
	case !ok:
		return errNoSuchUpload
	}
	x.s.janitor.dropUnused(x, id, nil)
	x.head(204, nil, -1)
	return x.flush()
}

type partsResult struct {
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

type listedPart struct {
	PartNumber   int
	LastModified string
	ETag         string
	Size         int64
}

func (x *exchange) listParts(id string) error {
	if err := x.noBody(); err != nil {
		return err
	}
	l, err := x.listing("max-parts")
	if err != nil {
		return err
	}
	marker := 0
	if text, ok := x.query.Lookup("part-number-marker"); ok {
		if marker, err = strconv.Atoi(text); err != nil || marker < 0 {
			return refuse(400, "InvalidArgument", "Argument part-number-marker must be an integer.")
		}
	}
	if _, _, err := x.findUpload(id); err != nil {
		return err
	}
	all, err := x.parts(id, x.objectHome())
	if err != nil {
		return err
	}
	out := partsResult{Bucket: x.bucket, Key: l.text(x.key), UploadID: id, Initiator: ours, Owner: ours,
		StorageClass: "STANDARD", PartNumberMarker: marker, MaxParts: l.most}
	for _, p := range latest(all) {
		if p.Number <= marker {
			continue
		}
		if len(out.Part) == l.most {
			out.IsTruncated = true
			break
		}
		out.Part = append(out.Part, listedPart{p.Number, isoTime(p.Time), quote(p.ETag), p.Size})
		out.NextPartNumberMarker = p.Number
	}
	return x.answerXML(200, out)
}

type uploadsResult struct {
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

type listedUpload struct {
	Key          string
	UploadID     string `xml:"UploadId"`
	Initiator    owner
	Owner        owner
	StorageClass string
	Initiated    string
}

func (x *exchange) listUploads() error {
	if err := x.noBody(); err != nil {
		return err
	}
	l, err := x.listing("max-uploads")
	if err != nil {
		return err
	}
	if err := x.needBucket(); err != nil {
		return err
	}
	out := uploadsResult{Bucket: x.bucket, KeyMarker: l.text(x.query.Get("key-marker")), UploadIDMarker: x.query.Get("upload-id-marker"),
		Prefix: l.text(l.prefix), Delimiter: l.text(l.delimiter), EncodingType: l.encodingType(), MaxUploads: l.most}
	lead := x.bucket + "/"
	list := brick.ListQuery{Prefix: lead + l.prefix, Delimiter: l.delimiter, MaxItems: max(1, l.most)}
	if marker := x.query.Get("key-marker"); marker != "" {
		list.After = lead + marker + "\x00" + cmp.Or(out.UploadIDMarker, "~") // an id is before "~"
		if l.delimiter != "" && strings.HasSuffix(marker, l.delimiter) {
			list.After = lead + marker
		}
	}
	items, more, err := x.pagesEverywhere(brick.SpaceUploads, list)
	if err != nil {
		return err
	}
	for _, it := range items {
		key, id, _ := strings.Cut(string(it.Name[len(lead):]), "\x00")
		out.NextKeyMarker, out.NextUploadIDMarker = l.text(key), id
		if it.IsPrefix {
			out.CommonPrefixes = append(out.CommonPrefixes, commonPrefix{l.text(key)})
			continue
		}
		var up uploadRecord
		if err := json.Unmarshal(it.Meta, &up); err != nil {
			return fmt.Errorf("upload record: %w", err)
		}
		out.Upload = append(out.Upload, listedUpload{l.text(key), id, ours, ours, "STANDARD", isoTime(up.Time)})
	}
	if out.IsTruncated = more; !more {
		out.NextKeyMarker, out.NextUploadIDMarker = "", ""
	}
	return x.answerXML(200, out)
}
