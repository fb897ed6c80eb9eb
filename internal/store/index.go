package store

import (
	"bytes"
	"strings"

	"github.com/tidwall/btree"

	"arrowwalk/internal/store/record"
)

// Info is what the index knows of a blob.
type Info struct {
	Name    string `json:"name"`
	Meta    []byte `json:"meta,omitempty"`
	Size    int64  `json:"size"`
	Version uint64 `json:"version"`
	Whole   bool   `json:"whole,omitempty"` // ranges do not apply: the body is read whole
}

// entry is what the index holds of a blob: 56 bytes and those of its text.
type entry struct {
	text    string // name and meta
	size    int64  // of the body
	version uint64
	offset  int64  // of the record in its segment
	segment uint32 // its number
	sum     uint32 // of the body's only block
	head    uint32 // bytes of the record before the body
	name    uint16 // bytes of the name
	flags   uint8  // record.Whole, record.Big
}

func (e *entry) key() string { return e.text[:e.name] }

func (e *entry) info() Info {
	i := Info{Name: e.key(), Size: e.size, Version: e.version, Whole: e.flags&record.FlagWhole != 0}
	if len(e.text) > int(e.name) {
		i.Meta = []byte(e.text[e.name:])
	}
	return i
}

// span returns the bytes that the entry holds in its segment.
func (e *entry) span() int64 {
	if e.flags&record.FlagBodyFile != 0 {
		return int64(e.head)
	}
	return int64(e.head) + e.size
}

func entryOf(r *record.Record, at place) entry {
	e := entry{text: r.Name + string(r.Meta), size: r.Size, version: r.Version, offset: at.offset, segment: at.segment,
		head: uint32(r.HeaderSize()), name: uint16(len(r.Name)), flags: r.Flags}
	if len(r.Checksums) == 1 {
		e.sum = r.Checksums[0]
	}
	return e
}

// place is where a record stands.
type place struct {
	segment uint32
	offset  int64
}

func before(a, b entry) bool { return a.key() < b.key() }

// index maps the names of each space to what is known of them.
type index map[string]*btree.BTreeG[entry]

func (x index) space(name string) *btree.BTreeG[entry] {
	t := x[name]
	if t == nil {
		t = btree.NewBTreeGOptions(before, btree.Options{NoLocks: true})
		x[name] = t
	}
	return t
}

func (x index) get(space, name string) (entry, bool) {
	if t := x[space]; t != nil {
		return t.Get(entry{text: name, name: uint16(len(name))})
	}
	return entry{}, false
}

func (x index) set(space string, e entry) (entry, bool) { return x.space(space).Set(e) }

func (x index) remove(space, name string) (entry, bool) {
	if t := x[space]; t != nil {
		return t.Delete(entry{text: name, name: uint16(len(name))})
	}
	return entry{}, false
}

// clone returns a copy that later changes do not touch; it shares the nodes.
func (x index) clone() index {
	out := index{}
	for name, t := range x {
		out[name] = t.Copy()
	}
	return out
}

// scan calls each with all entries in order, until it returns false.
func (x index) scan(each func(space string, e entry) bool) {
	for _, space := range sortedKeys(x) {
		more := true
		x[space].Scan(func(e entry) bool {
			more = each(space, e)
			return more
		})
		if !more {
			return
		}
	}
}

// Query asks for a page of a space's names, in byte order.
type Query struct {
	Prefix    string
	After     string // names after this one only
	Delimiter string // names that hold it after the prefix are rolled up
	MaxItems  int    // items at most
}

// Item is a blob or, where Rolled, a common prefix of several.
type Item struct {
	Info
	IsPrefix bool
}

// list returns a page of items and whether there are more. A rolled item's
// Name is the common prefix, up to and with the delimiter.
func (x index) list(space string, q Query) (items []Item, more bool) {
	t := x[space]
	if t == nil || q.MaxItems <= 0 {
		return nil, false
	}
	from := max(q.Prefix, q.After)
	for {
		var next string // where to go on after a rolled item
		t.Ascend(entry{text: from, name: uint16(len(from))}, func(e entry) bool {
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
			rolled := rollUp(name, q)
			if rolled == "" {
				items = append(items, Item{Info: e.info()})
				return true
			}
			if rolled != q.After { // else it was told on the page before
				items = append(items, Item{Info: Info{Name: rolled}, IsPrefix: true})
			}
			next = successor(rolled)
			return false
		})
		if next == "" {
			return items, more
		}
		from = next
	}
}

// rollUp returns the common prefix that a name falls under, or "".
func rollUp(name string, q Query) string {
	if q.Delimiter == "" {
		return ""
	}
	if i := strings.Index(name[len(q.Prefix):], q.Delimiter); i >= 0 {
		return name[:len(q.Prefix)+i+len(q.Delimiter)]
	}
	return ""
}

// successor returns the least name that is greater than all with the prefix,
// or "" where there is none.
func successor(prefix string) string {
	b := bytes.TrimRight([]byte(prefix), "\xff")
	if len(b) == 0 {
		return ""
	}
	b[len(b)-1]++
	return string(b)
}
