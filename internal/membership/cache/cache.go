// Package cache stores a host's node list on disk, so that the host can start while
// discovery is down.
//
// A cache is a directory with two generations of the list. Each is written to a
// temporary file, synced and renamed. If the newest file is damaged, the previous
// generation is used. A file consists of lines, each with the CRC-32C of the rest of
// the line:
//
//	AWMC1 <crc> {"version":…,"source":…,"taken":…,"count":N,…}
//	<crc> {"name":…,"address":…,…}            N times
//	END <crc of all lines above>
//
// docs/membership.md compares this format with an embedded store.
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

// Entry describes one brick in a cached list.
type Entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Shard         int    `json:"shard"`
	State         string `json:"state,omitempty"`
	Started       int64  `json:"started,omitempty"`   // microseconds since 1970
	LastConfirmed int64  `json:"confirmed,omitempty"` // when a source or the brick last confirmed it, in microseconds since 1970; 0 means never
	LastServed    int64  `json:"served,omitempty"`    // when it last answered this host, in microseconds since 1970; 0 means never
}

// Header holds the properties of a cached list as a whole.
type Header struct {
	Version    int64            `json:"version"` // assigned by the source
	Source     string           `json:"source"`
	AcceptedAt int64            `json:"taken"` // when it was last accepted or confirmed, in microseconds since 1970
	Generation int64            `json:"generation"`
	Count      int              `json:"count"`
	ChangeRate trust.ChangeRate `json:"rate"` // estimated from all lists so far
}

// List is a cached list.
type List struct {
	Header
	Bricks []Entry
}

const (
	newestFile   = "members"
	previousFile = "members.prev"
	magic        = "AWMC1"
	magicPrefix  = "AWMC"
	maxFileBytes = 64 << 20
	maxEntries   = 100_000
)

// Errors of Open and Load.
var (
	ErrLocked   = errors.New("the cache is locked by another process")
	ErrNotFound = errors.New("no intact list in the cache")
	ErrFormat   = errors.New("unsupported cache format")
)

// CorruptionError describes damage to a file of the cache.
type CorruptionError struct {
	File   string
	Line   int // from 1; 0 means the file as a whole
	Reason string
}

// Error returns the file, the line if there is one, and the reason.
func (e *CorruptionError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: line %d: %s", e.File, e.Line, e.Reason)
}

// Dir is an open cache. It holds a lock, so that only one process has it open. A Dir
// is not safe for concurrent use.
type Dir struct {
	path           string
	lock           *os.File
	lastGeneration int64 // of the newest generation; 0 means not read yet
}

// Open opens the cache in path and locks it. It creates a missing directory with
// access for its owner only. The error is ErrLocked if another process has the lock.
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

// Close releases the lock.
func (d *Dir) Close() error { return d.lock.Close() }

// Load returns the newest intact list of the cache in path and the errors found. It
// never returns part of a list. If neither generation is intact, the list is nil and
// the last error is ErrNotFound. Load needs no lock.
func Load(path string) (*List, []error) {
	var damage []error
	var latest *List
	for _, name := range []string{newestFile, previousFile} {
		l, err := readList(filepath.Join(path, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			damage = append(damage, err)
			continue
		}
		if latest == nil || l.Generation > latest.Generation {
			latest = l
		}
	}
	if latest == nil {
		damage = append(damage, fmt.Errorf("%s: %w", path, ErrNotFound))
	}
	return latest, damage
}

// Verify reads both generations and returns every damage found.
func Verify(path string) []error {
	var damage []error
	for _, name := range []string{newestFile, previousFile} {
		file := filepath.Join(path, name)
		text, err := readFile(file)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			damage = append(damage, err)
			continue
		}
		_, fileDamage := parse(file, text)
		damage = append(damage, fileDamage...)
	}
	return damage
}

// readFile reads a regular file of at most maxFileBytes.
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
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read cache %s: %w", file, err)
	}
	if len(text) > maxFileBytes {
		return nil, &CorruptionError{File: file, Reason: fmt.Sprintf("exceeds %d bytes", maxFileBytes)}
	}
	return text, nil
}

// readList reads and decodes a file. The error is its first damage.
func readList(file string) (*List, error) {
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

// checksum returns the CRC-32C of b in hexadecimal.
func checksum(b []byte) string { return fmt.Sprintf("%08x", crc32.Checksum(b, castagnoli)) }

// parse decodes the text of a file. The list is valid only if there is no damage.
func parse(file string, text []byte) (*List, []error) {
	var damage []error
	report := func(line int, format string, args ...any) {
		damage = append(damage, &CorruptionError{file, line, fmt.Sprintf(format, args...)})
	}
	if !bytes.HasSuffix(text, []byte("\n")) {
		report(0, "truncated after %d bytes", len(text))
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	l := &List{}
	headLine, ok := strings.CutPrefix(lines[0], magic+" ")
	if !ok {
		if strings.HasPrefix(lines[0], magicPrefix) {
			damage = append(damage, fmt.Errorf("%s: line 1: %w: %.20q", file, ErrFormat, lines[0]))
		} else {
			report(1, "does not begin with %s", magic)
		}
		return nil, damage
	}
	if err := decodeLine(headLine, &l.Header); err != nil {
		report(1, "%v", err)
		return nil, damage
	}
	if l.Count < 0 || l.Count > maxEntries || l.Count != len(lines)-2 {
		report(1, "header has %d bricks, but %d lines follow", l.Count, len(lines)-2)
	}
	for i := 1; i < len(lines)-1; i++ {
		var e Entry
		if err := decodeLine(lines[i], &e); err != nil {
			report(i+1, "%v", err)
			continue
		}
		l.Bricks = append(l.Bricks, e)
	}
	endLine := lines[len(lines)-1]
	wantSum, ok := strings.CutPrefix(endLine, "END ")
	if bodyBytes := len(text) - len(endLine) - 1; !ok {
		report(len(lines), "no END line")
	} else if bodyBytes >= 0 && wantSum != checksum(text[:bodyBytes]) {
		report(len(lines), "checksum of the file does not match")
	}
	return l, damage
}

// decodeLine decodes a line that holds a checksum and JSON.
func decodeLine(line string, into any) error {
	want, text, ok := strings.Cut(line, " ")
	if !ok || len(want) != 8 {
		return errors.New("line does not consist of a checksum and a record")
	}
	if got := checksum([]byte(text)); got != want {
		return fmt.Errorf("checksum is %s, but the record has %s", want, got)
	}
	d := json.NewDecoder(strings.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	return nil
}

// encodeList returns the text of a file for a list. It sets the list's Count.
func encodeList(l *List) ([]byte, error) {
	l.Count = len(l.Bricks)
	var b bytes.Buffer
	writeLine := func(prefix string, v any) error {
		text, err := json.Marshal(v)
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "%s%s %s\n", prefix, checksum(text), text)
		return nil
	}
	if err := writeLine(magic+" ", l.Header); err != nil {
		return nil, err
	}
	for i := range l.Bricks {
		if err := writeLine("", &l.Bricks[i]); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(&b, "END %s\n", checksum(b.Bytes()))
	return b.Bytes(), nil
}

// Save writes a list as the newest generation and makes the former newest the
// previous one. It sets the list's Generation and Count. After a failed write, the
// newest list is unchanged.
func (d *Dir) Save(l *List) error {
	if d.lastGeneration == 0 {
		if old, _ := Load(d.path); old != nil {
			d.lastGeneration = old.Generation
		}
	}
	d.lastGeneration++
	l.Generation, l.Count = d.lastGeneration, len(l.Bricks)
	if l.Count > maxEntries {
		return fmt.Errorf("save node list: %d bricks exceed the maximum of %d", l.Count, maxEntries)
	}
	text, err := encodeList(l)
	if err != nil {
		return fmt.Errorf("save node list: %w", err)
	}
	if err := d.replaceNewest(text); err != nil {
		return fmt.Errorf("save node list: %w", err)
	}
	return nil
}

// replaceNewest writes text to a temporary file and renames it to the newest
// generation, after a hard link has made the former newest the previous one.
func (d *Dir) replaceNewest(text []byte) error {
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
	newestPath, previousPath := filepath.Join(d.path, newestFile), filepath.Join(d.path, previousFile)
	// A damaged newest file must not replace the intact previous one.
	if _, err := readList(newestPath); err == nil {
		link := filepath.Join(d.path, ".prev-"+strconv.Itoa(os.Getpid()))
		os.Remove(link)
		if err := os.Link(newestPath, link); err != nil {
			return err
		}
		if err := os.Rename(link, previousPath); err != nil {
			return err
		}
	}
	if err := os.Rename(f.Name(), newestPath); err != nil {
		return err
	}
	dir, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
