// Package filestore implements version 1 of the brick's storage format, which has
// one file for each blob. It is used to migrate such directories and as the
// baseline of the store benchmark.
//
// A blob has a space, which groups blobs of one use, a name of any bytes, a small
// meta and a body. It is written to a temporary file, synced and renamed, so that
// a crash leaves either all of it or nothing. File names are hashes: blob names
// never become paths.
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

// Errors that callers test for with errors.Is.
var (
	ErrNotFound        = errors.New("no such blob")
	ErrVersionMismatch = errors.New("the blob's version is another")
	ErrLocked          = errors.New("the directory is in use by another process")
	ErrFormat          = errors.New("unsupported storage format")
	ErrTooLarge        = errors.New("meta or name too large")
)

const (
	magic          = "AWB1"
	formatFile     = "format.json"
	currentFormat  = 1
	maxHeaderBytes = 64 << 10 // limit of the encoded header: name, meta and other fields
	lockStripes    = 256      // number of locks that the blobs share by hash
)

// Info is the metadata of a blob.
type Info struct {
	Name    string `json:"name"`
	Meta    []byte `json:"meta,omitempty"`
	Size    int64  `json:"size"`
	Version uint64 `json:"version"`
	Whole   bool   `json:"whole,omitempty"` // range requests do not apply: the body is always read as a whole
}

// header is the JSON header before the body in a blob's file.
type header struct {
	Space string `json:"space"`
	Name  []byte `json:"name"`
	Info
}

// entry is the index entry of a blob.
type entry struct {
	Info
	offset int64 // offset of the body in the file
}

// Store stores each blob in a file of its own. It is safe for concurrent use.
type Store struct {
	path        string
	syncWrites  bool
	dirLock     *os.File
	mu          sync.RWMutex
	spaces      map[string]*btree.Map[string, *entry]
	lastVersion uint64 // highest version assigned
	commitLocks [lockStripes]sync.Mutex
	Damaged     []string // files that Open found damaged; they are skipped and left in place
}

// Options configures a Store.
type Options struct {
	NoSync bool // skip syncs; only for tests and benchmarks that do not depend on durability
}

// Open opens the store in path, creating it if necessary, removes temporary files
// that a crash left behind and reads the index. The caller must close the Store.
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
	s := &Store{path: path, syncWrites: !opt.NoSync, dirLock: lock, spaces: map[string]*btree.Map[string, *entry]{}}
	if err := s.loadIndex(); err != nil {
		lock.Close()
		return nil, fmt.Errorf("open store %s: %w", path, err)
	}
	return s, nil
}

// Close releases the directory for other processes.
func (s *Store) Close() error { return s.dirLock.Close() }

// loadIndex checks the format, removes temporary files and reads all headers.
func (s *Store) loadIndex() error {
	if err := s.checkFormat(); err != nil {
		return err
	}
	leftovers, err := os.ReadDir(filepath.Join(s.path, "tmp"))
	if err != nil {
		return err
	}
	for _, file := range leftovers {
		if err := os.Remove(filepath.Join(s.path, "tmp", file.Name())); err != nil {
			return err
		}
	}
	return filepath.WalkDir(filepath.Join(s.path, "blobs"), func(path string, file fs.DirEntry, err error) error {
		if err != nil || file.IsDir() {
			return err
		}
		hdr, offset, err := readHeader(path)
		if err != nil || fileName(hdr.Space, string(hdr.Name)) != file.Name() {
			s.Damaged = append(s.Damaged, path)
			return nil
		}
		hdr.Info.Name = string(hdr.Name)
		s.setEntry(hdr.Space, &entry{Info: hdr.Info, offset: offset})
		s.lastVersion = max(s.lastVersion, hdr.Version)
		return nil
	})
}

// checkFormat verifies the format file, or creates it in a new directory.
func (s *Store) checkFormat() error {
	path := filepath.Join(s.path, formatFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return os.WriteFile(path, fmt.Appendf(nil, "{\"version\":%d}\n", currentFormat), 0o600)
	}
	if err != nil {
		return err
	}
	var format struct{ Version int }
	if err := json.Unmarshal(data, &format); err != nil || format.Version != currentFormat {
		return fmt.Errorf("%s: version is %d, want %d: %w", formatFile, format.Version, currentFormat, ErrFormat)
	}
	return nil
}

// fileName returns the name of a blob's file, a hash of its space and name.
func fileName(space, name string) string {
	digest := sha256.Sum256([]byte(space + "\x00" + name))
	return hex.EncodeToString(digest[:])
}

func (s *Store) blobPath(space, name string) string {
	f := fileName(space, name)
	return filepath.Join(s.path, "blobs", f[:2], f)
}

// readHeader reads a blob's header, which is magic, length, checksum and JSON, and
// returns it with the offset of the body. The body must have the size that the
// header gives.
func readHeader(path string) (*header, int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	prefix := make([]byte, 12)
	if _, err := io.ReadFull(f, prefix); err != nil {
		return nil, 0, fmt.Errorf("blob header: %w", err)
	}
	size := binary.BigEndian.Uint32(prefix[4:])
	if string(prefix[:4]) != magic || size > maxHeaderBytes {
		return nil, 0, fmt.Errorf("blob header: bad magic or length %d", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(f, data); err != nil {
		return nil, 0, fmt.Errorf("blob header: %w", err)
	}
	if crc32.ChecksumIEEE(data) != binary.BigEndian.Uint32(prefix[8:]) {
		return nil, 0, errors.New("blob header: bad checksum")
	}
	hdr := &header{}
	if err := json.Unmarshal(data, hdr); err != nil {
		return nil, 0, fmt.Errorf("blob header: %w", err)
	}
	offset := int64(len(prefix)) + int64(size)
	if info, err := f.Stat(); err != nil || info.Size() != offset+hdr.Size {
		return nil, 0, fmt.Errorf("blob: size of the body is not %d bytes", hdr.Size)
	}
	return hdr, offset, nil
}

// spaceTree returns the index of a space and creates it if necessary. The caller
// holds mu unless the store is being opened.
func (s *Store) spaceTree(name string) *btree.Map[string, *entry] {
	tree := s.spaces[name]
	if tree == nil {
		tree = &btree.Map[string, *entry]{}
		s.spaces[name] = tree
	}
	return tree
}

func (s *Store) setEntry(space string, e *entry) { s.spaceTree(space).Set(e.Name, e) }

// lookup returns the index entry of a blob, or nil.
func (s *Store) lookup(space, name string) *entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if tree := s.spaces[space]; tree != nil {
		e, _ := tree.Get(name)
		return e
	}
	return nil
}

// Stat returns the metadata of a blob, or ErrNotFound.
func (s *Store) Stat(space, name string) (Info, error) {
	e := s.lookup(space, name)
	if e == nil {
		return Info{}, ErrNotFound
	}
	return e.Info, nil
}

// Blob is an open blob. The caller must close it. It keeps returning the bytes of
// its version until it is closed, even if the blob is overwritten meanwhile.
type Blob struct {
	Info
	File   *os.File
	Offset int64 // offset of the body in File
}

// Close closes the blob's file.
func (b *Blob) Close() error { return b.File.Close() }

// Get opens a blob. It returns ErrNotFound if there is none.
func (s *Store) Get(space, name string) (*Blob, error) {
	mu := s.commitLock(space, name)
	mu.Lock() // the file and the index entry must have the same version
	defer mu.Unlock()
	e := s.lookup(space, name)
	if e == nil {
		return nil, ErrNotFound
	}
	f, err := os.Open(s.blobPath(space, name))
	if err != nil {
		return nil, fmt.Errorf("open blob: %w", err)
	}
	return &Blob{Info: e.Info, File: f, Offset: e.offset}, nil
}

// commitLock returns the lock that serializes commits and opens of a blob.
func (s *Store) commitLock(space, name string) *sync.Mutex {
	return &s.commitLocks[crc32.ChecksumIEEE([]byte(space+name))%lockStripes]
}

// Condition is a precondition of a write. The zero value always holds.
type Condition struct {
	Version uint64 // required version of the blob; 0: any
	Absent  bool   // the blob must not exist
}

func (c Condition) check(current *entry) error {
	if c.Absent && current != nil || c.Version != 0 && (current == nil || current.Version != c.Version) {
		return ErrVersionMismatch
	}
	return nil
}

// Put stores a blob whose info.Size bytes are read from body, replacing any blob
// of the same name, and returns once it is durable. It returns the stored info
// and, if a blob was replaced, that blob's info.
func (s *Store) Put(ctx context.Context, space string, info Info, body io.Reader, cond Condition) (Info, *Info, error) {
	if len(info.Name)+len(info.Meta) > maxHeaderBytes/2 {
		return Info{}, nil, ErrTooLarge
	}
	if err := cond.check(s.lookup(space, info.Name)); err != nil { // avoids writing the body in vain; checked again below
		return Info{}, nil, err
	}
	s.mu.Lock()
	s.lastVersion = max(s.lastVersion+1, uint64(time.Now().UnixMicro()))
	info.Version = s.lastVersion
	s.mu.Unlock()
	temp, offset, err := s.writeTemp(space, info, body)
	if err != nil {
		return Info{}, nil, fmt.Errorf("write blob: %w", err)
	}
	defer os.Remove(temp)
	if err := ctx.Err(); err != nil {
		return Info{}, nil, err
	}
	mu := s.commitLock(space, info.Name)
	mu.Lock()
	defer mu.Unlock()
	previous := s.lookup(space, info.Name)
	if err := cond.check(previous); err != nil {
		return Info{}, nil, err
	}
	path := s.blobPath(space, info.Name)
	if err := s.rename(temp, path); err != nil {
		return Info{}, nil, fmt.Errorf("commit blob: %w", err)
	}
	e := &entry{Info: info, offset: offset}
	s.mu.Lock()
	s.setEntry(space, e)
	s.mu.Unlock()
	if previous != nil {
		return e.Info, &previous.Info, nil
	}
	return e.Info, nil, nil
}

// writeTemp writes a blob's file under a temporary name and syncs it. It returns
// the file's path and the offset of the body.
func (s *Store) writeTemp(space string, info Info, body io.Reader) (path string, offset int64, err error) {
	data, err := json.Marshal(header{Space: space, Name: []byte(info.Name),
		Info: Info{Meta: info.Meta, Size: info.Size, Version: info.Version, Whole: info.Whole}})
	if err != nil {
		return "", 0, err
	}
	f, err := os.CreateTemp(filepath.Join(s.path, "tmp"), "put")
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
	prefix := append([]byte(magic), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(prefix[4:], uint32(len(data)))
	binary.BigEndian.PutUint32(prefix[8:], crc32.ChecksumIEEE(data))
	prefix = append(prefix, data...)
	if _, err = f.Write(prefix); err != nil {
		return "", 0, err
	}
	n, err := io.Copy(f, body)
	if err != nil {
		return "", 0, err
	}
	if n != info.Size {
		return "", 0, io.ErrUnexpectedEOF
	}
	if s.syncWrites {
		if err = f.Sync(); err != nil {
			return "", 0, err
		}
	}
	return f.Name(), int64(len(prefix)), nil
}

// rename moves a file to its final name durably, creating the directory if
// necessary.
func (s *Store) rename(from, to string) error {
	dir := filepath.Dir(to)
	err := os.Rename(from, to)
	if errors.Is(err, fs.ErrNotExist) {
		if err = os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
			return err
		}
		if err = s.syncDir(filepath.Dir(dir)); err != nil {
			return err
		}
		err = os.Rename(from, to)
	}
	if err != nil {
		return err
	}
	return s.syncDir(dir)
}

func (s *Store) syncDir(path string) error {
	if !s.syncWrites {
		return nil
	}
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// ForEach opens every blob, calls visit with it and closes it. It stops at the
// first error and returns it.
func (s *Store) ForEach(visit func(space string, b *Blob) error) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for space, names := range s.spaces {
		for _, name := range names.Keys() {
			b, err := s.Get(space, name)
			if err != nil {
				return err
			}
			err = visit(space, b)
			b.Close()
			if err != nil {
				return err
			}
		}
	}
	return nil
}
