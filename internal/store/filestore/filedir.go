// Package filedir is the form of a brick's directory before segments: a file for
// each blob. It is read to migrate such directories, and is what the store is
// measured against. A blob has a space
// (what kind of thing it is), a name (any bytes), a small meta and a body; it
// is written to a temporary file, synced and renamed, so that after a crash it
// is whole or absent. Names never become paths: a file is named by a hash.
package filestore

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/btree"
)

// What callers branch on.
var (
	ErrNotFound        = errors.New("no such blob")
	ErrVersionMismatch = errors.New("the blob's version is another")
	ErrLocked          = errors.New("the directory is in use by another process")
	ErrFormat          = errors.New("the directory is of another format")
	ErrTooLarge        = errors.New("meta or name too large")
)

const (
	magic      = "AWB1"
	formatFile = "format.json"
	formatNow  = 1
	headMost   = 64 << 10 // bytes of a blob's header: name, meta and the rest
	stripes    = 256
)

// Info is what the index knows of a blob.
type Info struct {
	Name    string `json:"name"`
	Meta    []byte `json:"meta,omitempty"`
	Size    int64  `json:"size"`
	Version uint64 `json:"version"`
	Whole   bool   `json:"whole,omitempty"` // ranges do not apply: the body is read whole
}

// header stands before the body in a blob's file, as JSON.
type header struct {
	Space string `json:"space"`
	Name  []byte `json:"name"`
	Info
}

type entry struct {
	Info
	offset int64 // of the body in the file
}

// Store is a store in a directory. It is safe for concurrent use.
type Store struct {
	path    string
	sync    bool
	lock    *os.File
	mu      sync.RWMutex
	spaces  map[string]*btree.Map[string, *entry]
	last    uint64 // the greatest version given
	commit  [stripes]sync.Mutex
	Damaged []string // files that opening found damaged and left alone
}

// Options of a directory store.
type Options struct {
	NoSync bool // for tests of other things: do not wait for the disk
}

// Open opens or makes the store in path, removes what a crash left half
// written and reads the index. The caller closes the Dir.
func Open(path string, opt Options) (*Store, error) {
	for _, sub := range []string{"blobs", "tmp"} {
		if err := os.MkdirAll(filepath.Join(path, sub), 0o700); err != nil {
			return nil, fmt.Errorf("open store: %w", err)
		}
	}
	lock, err := os.OpenFile(filepath.Join(path, "LOCK"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("open store %s: %w", path, ErrLocked)
	}
	d := &Store{path: path, sync: !opt.NoSync, lock: lock, spaces: map[string]*btree.Map[string, *entry]{}}
	if err := d.load(); err != nil {
		lock.Close()
		return nil, fmt.Errorf("open store %s: %w", path, err)
	}
	return d, nil
}

// Close gives the directory free for another process.
func (d *Store) Close() error { return d.lock.Close() }

func (d *Store) load() error {
	if err := d.checkFormat(); err != nil {
		return err
	}
	left, err := os.ReadDir(filepath.Join(d.path, "tmp"))
	if err != nil {
		return err
	}
	for _, f := range left {
		if err := os.Remove(filepath.Join(d.path, "tmp", f.Name())); err != nil {
			return err
		}
	}
	return filepath.WalkDir(filepath.Join(d.path, "blobs"), func(path string, f fs.DirEntry, err error) error {
		if err != nil || f.IsDir() {
			return err
		}
		h, offset, err := readHeader(path)
		if err != nil || fileName(h.Space, string(h.Name)) != f.Name() {
			d.Damaged = append(d.Damaged, path)
			return nil
		}
		h.Info.Name = string(h.Name)
		d.put(h.Space, &entry{Info: h.Info, offset: offset})
		d.last = max(d.last, h.Version)
		return nil
	})
}

func (d *Store) checkFormat() error {
	path := filepath.Join(d.path, formatFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return os.WriteFile(path, fmt.Appendf(nil, "{\"version\":%d}\n", formatNow), 0o600)
	}
	if err != nil {
		return err
	}
	var format struct{ Version int }
	if err := json.Unmarshal(text, &format); err != nil || format.Version != formatNow {
		return fmt.Errorf("%s: version %d, this program knows %d: %w", formatFile, format.Version, formatNow, ErrFormat)
	}
	return nil
}

func fileName(space, name string) string {
	sum := sha256.Sum256([]byte(space + "\x00" + name))
	return hex.EncodeToString(sum[:])
}

func (d *Store) blobPath(space, name string) string {
	f := fileName(space, name)
	return filepath.Join(d.path, "blobs", f[:2], f)
}

// readHeader reads a blob's header: magic, length, checksum, JSON. The file
// must hold just the body that the header tells of.
func readHeader(path string) (*header, int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	fixed := make([]byte, 12)
	if _, err := io.ReadFull(f, fixed); err != nil {
		return nil, 0, fmt.Errorf("blob header: %w", err)
	}
	size := binary.BigEndian.Uint32(fixed[4:])
	if string(fixed[:4]) != magic || size > headMost {
		return nil, 0, fmt.Errorf("blob header: bad magic or length %d", size)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(f, text); err != nil {
		return nil, 0, fmt.Errorf("blob header: %w", err)
	}
	if crc32.ChecksumIEEE(text) != binary.BigEndian.Uint32(fixed[8:]) {
		return nil, 0, errors.New("blob header: bad checksum")
	}
	h := &header{}
	if err := json.Unmarshal(text, h); err != nil {
		return nil, 0, fmt.Errorf("blob header: %w", err)
	}
	offset := int64(len(fixed)) + int64(size)
	if st, err := f.Stat(); err != nil || st.Size() != offset+h.Size {
		return nil, 0, fmt.Errorf("blob: body is not of %d bytes", h.Size)
	}
	return h, offset, nil
}

func (d *Store) space(name string) *btree.Map[string, *entry] {
	s := d.spaces[name]
	if s == nil {
		s = &btree.Map[string, *entry]{}
		d.spaces[name] = s
	}
	return s
}

func (d *Store) put(space string, e *entry) { d.space(space).Set(e.Name, e) }

func (d *Store) get(space, name string) *entry {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if s := d.spaces[space]; s != nil {
		e, _ := s.Get(name)
		return e
	}
	return nil
}

// Stat returns what is known of a blob, or ErrNotFound.
func (d *Store) Stat(space, name string) (Info, error) {
	e := d.get(space, name)
	if e == nil {
		return Info{}, ErrNotFound
	}
	return e.Info, nil
}

// Blob is an open blob; the caller closes it. Its bytes stay those of its
// version while it is open, whatever is written meanwhile.
type Blob struct {
	Info
	File   *os.File
	Offset int64 // of the body in File
}

// Close closes the blob's file.
func (b *Blob) Close() error { return b.File.Close() }

// Get opens a blob, or returns ErrNotFound.
func (d *Store) Get(space, name string) (*Blob, error) {
	mu := d.stripe(space, name)
	mu.Lock() // the file and the index entry must be of one version
	defer mu.Unlock()
	e := d.get(space, name)
	if e == nil {
		return nil, ErrNotFound
	}
	f, err := os.Open(d.blobPath(space, name))
	if err != nil {
		return nil, fmt.Errorf("open blob: %w", err)
	}
	return &Blob{Info: e.Info, File: f, Offset: e.offset}, nil
}

func (d *Store) stripe(space, name string) *sync.Mutex {
	return &d.commit[crc32.ChecksumIEEE([]byte(space+name))%stripes]
}

// Condition is what must hold for a write or delete to happen.
type Condition struct {
	Version uint64 // the blob must have this version; 0: any
	Absent  bool   // the blob must not exist
}

func (c Condition) check(e *entry) error {
	if c.Absent && e != nil || c.Version != 0 && (e == nil || e.Version != c.Version) {
		return ErrVersionMismatch
	}
	return nil
}

// Put writes a blob of size bytes from body, in place of one of its name. It
// returns what was stored and, if there was one, what it replaced.
func (d *Store) Put(ctx context.Context, space string, info Info, body io.Reader, c Condition) (Info, *Info, error) {
	if len(info.Name)+len(info.Meta) > headMost/2 {
		return Info{}, nil, ErrTooLarge
	}
	if err := c.check(d.get(space, info.Name)); err != nil { // spares the writing; looked at again below
		return Info{}, nil, err
	}
	d.mu.Lock()
	d.last = max(d.last+1, uint64(time.Now().UnixMicro()))
	info.Version = d.last
	d.mu.Unlock()
	temp, offset, err := d.writeTemp(space, info, body)
	if err != nil {
		return Info{}, nil, fmt.Errorf("write blob: %w", err)
	}
	defer os.Remove(temp)
	if err := ctx.Err(); err != nil {
		return Info{}, nil, err
	}
	mu := d.stripe(space, info.Name)
	mu.Lock()
	defer mu.Unlock()
	before := d.get(space, info.Name)
	if err := c.check(before); err != nil {
		return Info{}, nil, err
	}
	path := d.blobPath(space, info.Name)
	if err := d.rename(temp, path); err != nil {
		return Info{}, nil, fmt.Errorf("commit blob: %w", err)
	}
	e := &entry{Info: info, offset: offset}
	d.mu.Lock()
	d.put(space, e)
	d.mu.Unlock()
	if before != nil {
		return e.Info, &before.Info, nil
	}
	return e.Info, nil, nil
}

func (d *Store) writeTemp(space string, info Info, body io.Reader) (path string, offset int64, err error) {
	text, err := json.Marshal(header{Space: space, Name: []byte(info.Name),
		Info: Info{Meta: info.Meta, Size: info.Size, Version: info.Version, Whole: info.Whole}})
	if err != nil {
		return "", 0, err
	}
	f, err := os.CreateTemp(filepath.Join(d.path, "tmp"), "put")
	if err != nil {
		return "", 0, err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	head := append([]byte(magic), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(head[4:], uint32(len(text)))
	binary.BigEndian.PutUint32(head[8:], crc32.ChecksumIEEE(text))
	head = append(head, text...)
	if _, err = f.Write(head); err != nil {
		return "", 0, err
	}
	n, err := io.Copy(f, body)
	if err != nil {
		return "", 0, err
	}
	if n != info.Size {
		return "", 0, io.ErrUnexpectedEOF
	}
	if d.sync {
		if err = f.Sync(); err != nil {
			return "", 0, err
		}
	}
	return f.Name(), int64(len(head)), nil
}

func (d *Store) rename(from, to string) error {
	dir := filepath.Dir(to)
	err := os.Rename(from, to)
	if errors.Is(err, fs.ErrNotExist) {
		if err = os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
			return err
		}
		if err = d.syncDir(filepath.Dir(dir)); err != nil {
			return err
		}
		err = os.Rename(from, to)
	}
	if err != nil {
		return err
	}
	return d.syncDir(dir)
}

func (d *Store) syncDir(path string) error {
	if !d.sync {
		return nil
	}
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// ForEach opens all blobs in turn, until do returns an error. do closes none.
func (d *Store) ForEach(do func(space string, b *Blob) error) error {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for space, names := range d.spaces {
		for _, name := range names.Keys() {
			b, err := d.Get(space, name)
			if err != nil {
				return err
			}
			err = do(space, b)
			b.Close()
			if err != nil {
				return err
			}
		}
	}
	return nil
}
