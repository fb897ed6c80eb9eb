// Package cache keeps a host's node list on disk, so that it can start while
// discovery is down.
//
// A cache is a directory with two generations of the list, each written to a
// temporary file, synced and renamed: a damaged newest falls back to the one
// before. A file is lines, each with the CRC-32C of what follows it:
//
//	AWMC1 <crc> {"version":…,"source":…,"taken":…,"count":N,…}
//	<crc> {"name":…,"address":…,…}            N times
//	END <crc of all lines above>
//
// docs/membership.md weighs this against an embedded store.
package cache

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"arrowwalk/internal/membership/trust"
)

// Entry is a brick of a kept list.
type Entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Shard         int    `json:"shard"`
	State         string `json:"state,omitempty"`
	Started       int64  `json:"started,omitempty"`   // microseconds since 1970
	LastConfirmed int64  `json:"confirmed,omitempty"` // when a source or the brick last confirmed it; 0: never
	LastServed    int64  `json:"served,omitempty"`    // when it last served this host; 0: never
}

// Header is what is kept of the list as a whole.
type Header struct {
	Version    int64            `json:"version"` // of the source
	Source     string           `json:"source"`
	AcceptedAt int64            `json:"taken"` // microseconds since 1970
	Generation int64            `json:"generation"`
	Count      int              `json:"count"`
	ChangeRate trust.ChangeRate `json:"rate"` // how often bricks changed, learned from all lists so far
}

// List is a kept list.
type List struct {
	Header
	Bricks []Entry
}

const (
	newest      = "members"
	previous    = "members.prev"
	magic       = "AWMC1"
	magicAny    = "AWMC"
	fileMost    = 64 << 20
	entriesMost = 100_000
)

// What callers branch on.
var (
	ErrLocked   = errors.New("the cache is in use by another host")
	ErrNotFound = errors.New("no list is kept")
	ErrFormat   = errors.New("the cache is of another format")
)

// CorruptionError is something wrong with a file of the cache.
type CorruptionError struct {
	File   string
	Line   int // from 1; 0: the file as a whole
	Reason string
}

func (d *CorruptionError) Error() string {
	if d.Line == 0 {
		return fmt.Sprintf("%s: %s", d.File, d.Reason)
	}
	return fmt.Sprintf("%s: line %d: %s", d.File, d.Line, d.Reason)
}

// Dir is an open cache; one process holds it at a time.
type Dir struct {
	path string
	lock *os.File
	last int64 // generation
}

// Open opens or makes the cache in path, for its owner only.
func Open(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("open cache: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "LOCK"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open cache: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("open cache %s: %w", path, ErrLocked)
	}
	return &Dir{path: path, lock: lock}, nil
}

// Close gives the cache free.
func (d *Dir) Close() error { return d.lock.Close() }

// Load reads the newest good list of the cache in path and what is damaged. A
// list is whole or not there: never a part of one. It needs no lock. The error
// is ErrNone where no generation is good.
func Load(path string) (*List, []error) {
	var damage []error
	var best *List
	for _, name := range []string{newest, previous} {
		l, err := read(filepath.Join(path, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			damage = append(damage, err)
			continue
		}
		if best == nil || l.Generation > best.Generation {
			best = l
		}
	}
	if best == nil {
		damage = append(damage, fmt.Errorf("%s: %w", path, ErrNotFound))
	}
	return best, damage
}

// Verify reads both generations and returns every damage.
func Verify(path string) []error {
	var damage []error
	for _, name := range []string{newest, previous} {
		file := filepath.Join(path, name)
		text, err := readFile(file)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			damage = append(damage, err)
			continue
		}
		_, all := parse(file, text)
		damage = append(damage, all...)
	}
	return damage
}

func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return nil, err
	}
	if !st.Mode().IsRegular() {
		return nil, &CorruptionError{File: file, Reason: "not a regular file"}
	}
	text, err := io.ReadAll(io.LimitReader(f, fileMost+1))
	if err != nil {
		return nil, fmt.Errorf("read cache %s: %w", file, err)
	}
	if len(text) > fileMost {
		return nil, &CorruptionError{File: file, Reason: fmt.Sprintf("over %d bytes", fileMost)}
	}
	return text, nil
}

func read(file string) (*List, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	l, damage := parse(file, text)
	if len(damage) > 0 {
		return nil, damage[0]
	}
	return l, nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func sum(b []byte) string { return fmt.Sprintf("%08x", crc32.Checksum(b, castagnoli)) }

// parse reads a whole file; the list counts only where there is no damage.
func parse(file string, text []byte) (*List, []error) {
	var damage []error
	bad := func(line int, format string, args ...any) {
		damage = append(damage, &CorruptionError{file, line, fmt.Sprintf(format, args...)})
	}
	if !bytes.HasSuffix(text, []byte("\n")) {
		bad(0, "cut off after %d bytes", len(text))
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	l := &List{}
	head, ok := strings.CutPrefix(lines[0], magic+" ")
	if !ok {
		if strings.HasPrefix(lines[0], magicAny) {
			damage = append(damage, fmt.Errorf("%s: line 1: %w: %.20q", file, ErrFormat, lines[0]))
		} else {
			bad(1, "does not begin with %s", magic)
		}
		return nil, damage
	}
	if err := record(head, &l.Header); err != nil {
		bad(1, "%v", err)
		return nil, damage
	}
	if l.Count < 0 || l.Count > entriesMost || l.Count != len(lines)-2 {
		bad(1, "tells of %d bricks, %d lines follow", l.Count, len(lines)-2)
	}
	for i := 1; i < len(lines)-1; i++ {
		var e Entry
		if err := record(lines[i], &e); err != nil {
			bad(i+1, "%v", err)
			continue
		}
		l.Bricks = append(l.Bricks, e)
	}
	last := lines[len(lines)-1]
	end, ok := strings.CutPrefix(last, "END ")
	if body := len(text) - len(last) - 1; !ok {
		bad(len(lines), "no END line")
	} else if body >= 0 && end != sum(text[:body]) {
		bad(len(lines), "the checksum of the whole does not match")
	}
	return l, damage
}

// record reads a line: the checksum and the JSON that it is of.
func record(line string, into any) error {
	want, text, ok := strings.Cut(line, " ")
	if !ok || len(want) != 8 {
		return errors.New("not a checksum and a record")
	}
	if got := sum([]byte(text)); got != want {
		return fmt.Errorf("checksum %s, the record has %s", want, got)
	}
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("record: %w", err)
	}
	return nil
}

// encode writes a list as a file has it.
func encode(l *List) ([]byte, error) {
	l.Count = len(l.Bricks)
	var b bytes.Buffer
	line := func(before string, v any) error {
		text, err := json.Marshal(v)
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "%s%s %s\n", before, sum(text), text)
		return nil
	}
	if err := line(magic+" ", l.Header); err != nil {
		return nil, err
	}
	for i := range l.Bricks {
		if err := line("", &l.Bricks[i]); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(&b, "END %s\n", sum(b.Bytes()))
	return b.Bytes(), nil
}

// Save keeps a list as the newest generation; the newest so far becomes the
// one before. After an error, what was kept is as it was.
func (d *Dir) Save(l *List) error {
	if d.last == 0 {
		if old, _ := Load(d.path); old != nil {
			d.last = old.Generation
		}
	}
	d.last++
	l.Generation, l.Count = d.last, len(l.Bricks)
	if l.Count > entriesMost {
		return fmt.Errorf("keep node list: %d bricks are over %d", l.Count, entriesMost)
	}
	text, err := encode(l)
	if err != nil {
		return fmt.Errorf("keep node list: %w", err)
	}
	if err := d.replace(text); err != nil {
		return fmt.Errorf("keep node list: %w", err)
	}
	return nil
}

func (d *Dir) replace(text []byte) error {
	f, err := os.CreateTemp(d.path, ".members")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	now, before := filepath.Join(d.path, newest), filepath.Join(d.path, previous)
	// A damaged newest must not push out the good one before it.
	if _, err := read(now); err == nil {
		keep := filepath.Join(d.path, ".prev-"+strconv.Itoa(os.Getpid()))
		os.Remove(keep)
		if err := os.Link(now, keep); err != nil {
			return err
		}
		if err := os.Rename(keep, before); err != nil {
			return err
		}
	}
	if err := os.Rename(f.Name(), now); err != nil {
		return err
	}
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
