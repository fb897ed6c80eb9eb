package store

import (
	"errors"

	"arrowwalk/internal/store/record"
)

// TrashSpace is the space that keeps the metadata of removed blobs. Effects
// describes what is kept.
const TrashSpace = "g"

// ErrNotConsumable is the error of a write that consumes a blob that does not exist,
// or not in the required version.
var ErrNotConsumable = errors.New("the blob to consume does not exist in this version")

// Ref identifies a blob, in any version if Version is 0.
type Ref struct {
	Space, Name string
	Version     uint64
}

// Effects are the changes that a write or delete makes to other blobs. They become
// durable and visible in the same commit, all or none.
type Effects struct {
	// Consume is a blob that must exist and is removed; nil: none.
	Consume *Ref
	// Trash, if it is not "", is the suffix under which the metadata of blobs that are
	// replaced, deleted or consumed is kept in TrashSpace. Only blobs with Info.Whole
	// are kept.
	Trash string
}

// TrashName returns the name under which the metadata of a removed blob is kept.
func TrashName(space, name, suffix string) string { return space + "/" + name + "\x00" + suffix }

// logSize returns an upper bound of the log bytes that the effects of an operation
// on the blob name take.
func (e *Effects) logSize(space, name string) int64 {
	size := int64(0)
	if e.Consume != nil {
		size += maxEffectRecord(e.Consume.Space, e.Consume.Name, e.Trash)
	}
	if e.Trash != "" {
		size += maxEffectRecord(space, name, e.Trash)
	}
	return size
}

// maxEffectRecord returns an upper bound of the log bytes that it takes to remove a
// blob and to keep its metadata.
func maxEffectRecord(space, name, suffix string) int64 {
	removal := record.Record{Kind: record.KindDelete, Space: space, Name: name}
	kept := record.Record{Kind: record.KindPut, Space: TrashSpace, Name: TrashName(space, name, suffix)}
	return int64(removal.HeaderSize()+kept.HeaderSize()) + record.MaxNameAndMetaBytes
}

// checkConsume returns ErrNotConsumable unless the current entry is the blob to
// consume.
func (r *Ref) checkConsume(current entry, exists bool) error {
	if !exists || r.Version != 0 && current.version != r.Version {
		return ErrNotConsumable
	}
	return nil
}

// consumption returns the operation that removes the consumed blob.
func (r *Ref) consumption() *operation {
	return &operation{space: r.Space, rec: record.Record{Kind: record.KindDelete, Space: r.Space, Name: r.Name}}
}

// trashing returns the operation that keeps the metadata of a removed entry, or nil
// if none is kept.
func (e *Effects) trashing(space string, removed entry) *operation {
	if e.Trash == "" || removed.flags&record.FlagWhole == 0 {
		return nil
	}
	info := removed.info()
	return &operation{space: TrashSpace, rec: record.Record{Kind: record.KindPut, Space: TrashSpace, Name: TrashName(space, info.Name, e.Trash), Meta: info.Meta}}
}
