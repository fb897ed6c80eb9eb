// Package coord is a stand-in of a coordination service: a server of the
// ZooKeeper client protocol (jute records over TCP, as the project's public
// programmer's guide and protocol definitions describe them), with a script of
// the troubles such a service can have. One process, no replication.
package coord

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Bounds of what a client may send.
const (
	frameMost  = 4 << 20
	stringMost = 1 << 20
	vectorMost = 100_000
)

// errMarshal is a record that makes no sense.
var errMarshal = errors.New("bad record")

// decoder reads jute records; after an error all reads give zero values.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = fmt.Errorf("%w: %s", errMarshal, what)
	}
}

func (d *decoder) take(n int) []byte {
	if d.err != nil || n < 0 || n > len(d.b) {
		d.fail("short")
		return nil
	}
	out := d.b[:n]
	d.b = d.b[n:]
	return out
}

func (d *decoder) int() int32 {
	if b := d.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

func (d *decoder) long() int64 {
	if b := d.take(8); b != nil {
		return int64(binary.BigEndian.Uint64(b))
	}
	return 0
}

func (d *decoder) bool() bool {
	b := d.take(1)
	return b != nil && b[0] != 0
}

func (d *decoder) buffer() []byte {
	n := d.int()
	if n == -1 {
		return nil
	}
	if n < 0 || n > stringMost {
		d.fail("buffer length")
		return nil
	}
	return append([]byte{}, d.take(int(n))...)
}

func (d *decoder) string() string { return string(d.buffer()) }

func (d *decoder) strings() []string {
	n := d.int()
	if n < -1 || n > vectorMost || int64(n)*4 > int64(len(d.b)) {
		d.fail("vector length")
		return nil
	}
	var out []string
	for range max(0, n) {
		out = append(out, d.string())
	}
	return out
}

// acls reads and passes over a list of access rules: all may do everything.
func (d *decoder) acls() {
	n := d.int()
	if n < -1 || n > 100 {
		d.fail("acl length")
		return
	}
	for range max(0, n) {
		d.int()
		d.string()
		d.string()
	}
}

// encoder writes jute records.
type encoder struct{ b []byte }

func (e *encoder) int(v int32)  { e.b = binary.BigEndian.AppendUint32(e.b, uint32(v)) }
func (e *encoder) long(v int64) { e.b = binary.BigEndian.AppendUint64(e.b, uint64(v)) }

func (e *encoder) bool(v bool) {
	if v {
		e.b = append(e.b, 1)
	} else {
		e.b = append(e.b, 0)
	}
}

func (e *encoder) buffer(v []byte) {
	if v == nil {
		e.int(-1)
		return
	}
	e.int(int32(len(v)))
	e.b = append(e.b, v...)
}

func (e *encoder) string(v string) {
	e.int(int32(len(v)))
	e.b = append(e.b, v...)
}

func (e *encoder) strings(v []string) {
	e.int(int32(len(v)))
	for _, s := range v {
		e.string(s)
	}
}

func (e *encoder) stat(s *Stat) {
	e.long(s.Czxid)
	e.long(s.Mzxid)
	e.long(s.Ctime)
	e.long(s.Mtime)
	e.int(s.Version)
	e.int(s.Cversion)
	e.int(0) // of the access rules
	e.long(s.Owner)
	e.int(s.Length)
	e.int(s.Children)
	e.long(s.Pzxid)
}

// frame returns the record with its length before it.
func (e *encoder) frame() []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(e.b))), e.b...)
}
