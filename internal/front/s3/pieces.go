package s3

import (
	"encoding/json"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/placement"
)

// intentName returns the name of the intent of a write that stores an object in
// pieces. object is the name of the object's record, and the intent is stored at the
// same shard.
func intentName(object, id string) string { return object + "\x00" + id }

// intentRecord is the metadata of an intent.
type intentRecord struct {
	RenewedMS int64 `json:"t"` // Unix time in milliseconds
}

// pieceSet is the set of pieces that a write of an object stores. Its intent owns the
// pieces until the record of the object does.
type pieceSet struct {
	exchange  *exchange
	id        string // the names of the pieces begin with it and a slash
	begun     bool   // the intent may exist
	version   uint64 // of the intent
	renewedAt time.Time
}

func (x *exchange) newPieceSet() *pieceSet { return &pieceSet{exchange: x, id: newUniqueID()} }

// object returns the name of the object's record.
func (x *exchange) object() string { return placement.Object(x.bucket, x.key) }

// prepare creates the intent before the first piece and renews it before the others.
// It does nothing for a nil set, whose pieces another blob owns.
func (p *pieceSet) prepare(first bool) error {
	switch {
	case p == nil:
		return nil
	case first:
		return p.begin()
	}
	return p.renew()
}

// begin creates the intent.
func (p *pieceSet) begin() error {
	p.begun = true
	return p.writeIntent(brick.Request{IfAbsent: true})
}

// renew renews the intent if a third of its lease has passed. An error means that the
// pieces may be deleted: the write must not go on.
func (p *pieceSet) renew() error {
	if !p.begun || time.Since(p.renewedAt) < p.exchange.server.opts.Reclaim.IntentLease/3 {
		return nil
	}
	return p.writeIntent(brick.Request{IfVersion: p.version})
}

// writeIntent writes the intent on the conditions of the request.
func (p *pieceSet) writeIntent(request brick.Request) error {
	meta, err := json.Marshal(intentRecord{time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	x := p.exchange
	request.Space, request.Name, request.Meta = brick.SpaceIntents, intentName(x.object(), p.id), meta
	response, err := x.writeBlob(request, x.objectShard())
	if err != nil {
		return err
	}
	p.version, p.renewedAt = response.Version, time.Now()
	return nil
}

// giveUp hands the pieces to the garbage collector after the write has failed, or may
// have.
func (p *pieceSet) giveUp() {
	if p.begun {
		p.exchange.server.gc.reclaimIntent(p.exchange.volume, p.exchange.object(), p.id)
	}
}

// pieceOwner is the blob that owns the pieces of an object until its record is written,
// which consumes the blob. It is stored at the shard of the object.
type pieceOwner struct{ space, name string }

// owner returns the intent.
func (p *pieceSet) owner() pieceOwner {
	return pieceOwner{brick.SpaceIntents, intentName(p.exchange.object(), p.id)}
}

// storedPieceSize returns the size of the first piece of a run that is not empty. All
// pieces but the last have it.
func (x *exchange) storedPieceSize(base string) (int64, error) {
	name := placement.Piece(base, 0)
	response, _, ok, err := x.readBlob(brick.SpacePieces, name, x.shardOf(name), false)
	if err != nil {
		return 0, err
	}
	if !ok || response.Size == 0 {
		x.server.log.Error("piece missing", "request", x.requestID, "piece", name)
		return 0, errInternal
	}
	return response.Size, nil
}

// correctPieceSizes corrects the sizes of pieces in a manifest that an older version wrote
// at the end of a multipart upload, for the runs that a byte range of the object covers.
// Read by a wrong size, a range would bring bytes of another place.
func (x *exchange) correctPieceSizes(r *record, m *manifest, wanted byteRange) error {
	if m.SizesKnown || r.UploadID == "" {
		return nil
	}
	start := int64(0)
	for i := range m.Runs {
		run := &m.Runs[i]
		end := start + run.Size
		if start < wanted.from+wanted.length && end > wanted.from {
			size, err := x.storedPieceSize(run.Base)
			if err != nil {
				return err
			}
			if min(size, run.Size) != min(run.PieceSize, run.Size) {
				x.server.log.Warn("manifest has a wrong size of pieces, the stored one is used", "request", x.requestID, "bucket", x.bucket,
					"pieces", run.Base, "manifest", run.PieceSize, "stored", size)
			}
			run.PieceSize = size
		}
		start = end
	}
	return nil
}
