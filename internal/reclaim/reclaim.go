// Package reclaim decides when stored pieces of objects may be deleted. It does no
// I/O: the caller executes each step and reports what it observed.
//
// All pieces whose names begin with the same ID form a set. At any time a set has at
// most one owner, which is a blob at the object's shard: the intent of a write that
// has not taken effect, the record of a multipart upload, or the record of the
// object. The write of an object's record consumes the intent or upload in the same
// commit, so that it takes effect at most once and only while that owner exists.
//
// The rule: the pieces of a set are deleted only after its intent or upload was seen
// to be gone and the object's record, read after that, did not name them.
package reclaim

// Kind is what ceased to own a set of pieces.
type Kind int

const (
	// Record is an object's record that was replaced or deleted.
	Record Kind = iota
	// Upload is a multipart upload that was completed or aborted.
	Upload
	// Intent is a write in pieces that was given up, or whose host has ended.
	Intent
)

// Step is a step of a Reclamation.
type Step int

const (
	// RemoveIntent deletes the intent. It is done when the intent does not exist.
	RemoveIntent Step = iota
	// RemoveUpload deletes the record of the multipart upload. It is done when that
	// record does not exist.
	RemoveUpload
	// ReadUpload reads whether the record of the multipart upload exists.
	ReadUpload
	// ReadRecord reads which pieces the object's record names.
	ReadRecord
	// DeleteUnnamed deletes the pieces of the set that the record, as it was read, does
	// not name, and the records of the upload's parts.
	DeleteUnnamed
	// Finish ends the reclamation.
	Finish
)

// Observation is what a step has shown.
type Observation struct {
	UploadExists bool // ReadUpload: the upload is in progress
	Named        bool // ReadRecord: the object's record names pieces of the set
}

// Reclamation leads one set of pieces through the steps. Each step may be repeated
// until it is done, and the whole reclamation may be repeated from its beginning at
// any time, by several hosts at once.
type Reclamation struct {
	kind Kind
	next Step
}

// New returns the reclamation of a set. fromUpload tells that a multipart upload
// made it.
func New(kind Kind, fromUpload bool) *Reclamation {
	r := &Reclamation{kind: kind, next: ReadRecord}
	switch {
	case kind == Intent:
		r.next = RemoveIntent
	case kind == Upload:
		r.next = ReadUpload
	case fromUpload:
		r.next = RemoveUpload
	}
	return r
}

// Next returns the step to execute.
func (r *Reclamation) Next() Step { return r.next }

// Done records that the step returned by Next was done, and what it has shown.
func (r *Reclamation) Done(seen Observation) {
	switch r.next {
	case RemoveIntent, RemoveUpload:
		r.next = ReadRecord
	case ReadUpload:
		r.next = ReadRecord
		if seen.UploadExists { // reclaimed at its end
			r.next = Finish
		}
	case ReadRecord:
		r.next = DeleteUnnamed
		if seen.Named && r.kind != Upload { // an upload also has pieces that its object does not use
			r.next = Finish
		}
	default:
		r.next = Finish
	}
}

// Outcome is how the write of an object's record ended.
type Outcome int

const (
	// Stored: a brick has acknowledged the write.
	Stored Outcome = iota
	// OwnerMissing: the intent or upload to consume did not exist. An earlier attempt of
	// the same write may have consumed it.
	OwnerMissing
	// Unknown: the write may have taken effect, or may yet.
	Unknown
)

// Verdict is what the writer does after the write of a record.
type Verdict int

const (
	// Succeed reports success.
	Succeed Verdict = iota
	// CheckRecord reads the record: if it names the set, the write has taken effect.
	CheckRecord
	// GiveUp reports an error and reclaims the set as an Intent.
	GiveUp
)

// AfterWrite returns what the writer does after an outcome. It never deletes pieces
// itself.
func AfterWrite(o Outcome) Verdict {
	switch o {
	case Stored:
		return Succeed
	case OwnerMissing:
		return CheckRecord
	}
	return GiveUp
}
