package store

import (
	"bytes"
	"strings"

	"github.com/tidwall/btree"

	"arrowwalk/internal/store/record"
)

// Info is the metadata of a blob.
type Info struct {
	Name    string `json:"name"`
	Meta    []byte `json:"meta,omitempty"`
	Size    int64  `json:"size"`
	Version uint64 `json:"version"`
	Whole   bool   `json:"whole,omitempty"` // range requests do not apply: the body is always read as a whole
}

// entry is the index entry of a blob. It takes 56 bytes plus its name and meta.
type entry struct {
	nameAndMeta string // the name followed by the meta
	size        int64  // size of the body
	version     uint64
	offset      int64  // offset of the record in its segment
	segment     uint32 // segment number
	checksum    uint32 // checksum of the body if it has only one block
	headerSize  uint32 // size of the record before the inline body
	nameLen     uint16 // length of the name in nameAndMeta
	flags       uint8  // record.FlagWhole, record.FlagBodyFile
}

func (e *entry) key() string { return e.nameAndMeta[:e.nameLen] }

func (e *entry) info() Info {
	info := Info{Name: e.key(), Size: e.size, Version: e.version, Whole: e.flags&record.FlagWhole != 0}
	if len(e.nameAndMeta) > int(e.nameLen) {
		info.Meta = []byte(e.nameAndMeta[e.nameLen:])
	}
	return info
}

// logSize returns the number of bytes that the entry's record takes in its
// segment, including an inline body.
func (e *entry) logSize() int64 {
	if e.flags&record.FlagBodyFile != 0 {
		return int64(e.headerSize)
	}
	return int64(e.headerSize) + e.size
}

// newEntry returns the index entry of a record at a location.
func newEntry(r *record.Record, loc location) entry {
	e := entry{nameAndMeta: r.Name + string(r.Meta), size: r.Size, version: r.Version, offset: loc.offset, segment: loc.segment,
		headerSize: uint32(r.HeaderSize()), nameLen: uint16(len(r.Name)), flags: r.Flags}
	if len(r.Checksums) == 1 {
		e.checksum = r.Checksums[0]
	}
	return e
}

// location is the position of a record in the log.
type location struct {
	segment uint32
	offset  int64
}

func entryLess(a, b entry) bool { return a.key() < b.key() }

// index maps each space to its entries, ordered by name.
type index map[string]*btree.BTreeG[entry]

// spaceTree returns the tree of a space and creates it if necessary.
func (idx index) spaceTree(name string) *btree.BTreeG[entry] {
	tree := idx[name]
	if tree == nil {
		tree = btree.NewBTreeGOptions(entryLess, btree.Options{NoLocks: true})
		idx[name] = tree
	}
	return tree
}

func (idx index) get(space, name string) (entry, bool) {
	if tree := idx[space]; tree != nil {
		return tree.Get(entry{nameAndMeta: name, nameLen: uint16(len(name))})
	}
	return entry{}, false
}

// set stores an entry and returns the entry that it replaced, if any.
func (idx index) set(space string, e entry) (entry, bool) { return idx.spaceTree(space).Set(e) }

// remove removes an entry and returns it, if it exists.
func (idx index) remove(space, name string) (entry, bool) {
	if tree := idx[space]; tree != nil {
		return tree.Delete(entry{nameAndMeta: name, nameLen: uint16(len(name))})
	}
	return entry{}, false
}

// clone returns a copy-on-write copy that shares the tree nodes.
func (idx index) clone() index {
	out := index{}
	for name, tree := range idx {
		out[name] = tree.Copy()
	}
	return out
}

// scan calls visit with all entries in the order of spaces and names until visit
// returns false.
func (idx index) scan(visit func(space string, e entry) bool) {
	for _, space := range sortedKeys(idx) {
		more := true
		idx[space].Scan(func(e entry) bool {
			more = visit(space, e)
			return more
		})
		if !more {
			return
		}
	}
}

// Query selects a page of a space's names, in byte order.
type Query struct {
	Prefix    string
	After     string // only names greater than this one
	Delimiter string // names that contain it after Prefix are grouped under their common prefix
	MaxItems  int    // maximum number of items
}

// Item is a blob or, if IsPrefix is set, the common prefix of several blobs.
type Item struct {
	Info
	IsPrefix bool
}

// list returns a page of items and reports whether more follow. The Name of a
// prefix item ends with the delimiter.
func (idx index) list(space string, q Query) (items []Item, more bool) {
	tree := idx[space]
	if tree == nil || q.MaxItems <= 0 {
		return nil, false
	}
	start := max(q.Prefix, q.After)
	for {
		var next string // where to continue after a common prefix
		tree.Ascend(entry{nameAndMeta: start, nameLen: uint16(len(start))}, func(e entry) bool {
			name := e.key()
			if name <= q.After {
				return true
			}
			if !strings.HasPrefix(name, q.Prefix) {
				return false
			}
			if len(items) == q.MaxItems {
				more = true
				return false
			}
			prefix := commonPrefix(name, q)
			if prefix == "" {
				items = append(items, Item{Info: e.info()})
				return true
			}
			if prefix != q.After { // otherwise the previous page ended with it
				items = append(items, Item{Info: Info{Name: prefix}, IsPrefix: true})
			}
			next = prefixSuccessor(prefix)
			return false
		})
		if next == "" {
			return items, more
		}
		start = next
	}
}

// commonPrefix returns the prefix under which the query groups name, or "" if name
// is listed itself.
func commonPrefix(name string, q Query) string {
	if q.Delimiter == "" {
		return ""
	}
	if i := strings.Index(name[len(q.Prefix):], q.Delimiter); i >= 0 {
		return name[:len(q.Prefix)+i+len(q.Delimiter)]
	}
	return ""
}

// prefixSuccessor returns the smallest name that is greater than all names with
// the prefix, or "" if there is none.
func prefixSuccessor(prefix string) string {
	b := bytes.TrimRight([]byte(prefix), "\xff")
	if len(b) == 0 {
		return ""
	}
	b[len(b)-1]++
	return string(b)
}
