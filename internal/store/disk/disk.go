// Package disk is what the store asks of a file system: few calls, each of
// which may fail, and an order that holds only where Sync says so. OS is the
// real one; Sim keeps a disk in memory, loses what was not synced and fails
// where it is told to.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// ErrLocked is returned by Lock for a directory that another process holds.
var ErrLocked = errors.New("the directory is in use by another process")

// File is an open file. Its calls may come from many goroutines at once.
type File interface {
	io.ReaderAt
	io.WriterAt
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FS is a file system below one directory; names are relative to it, with "/".
type FS interface {
	// MkdirAll makes a directory and those above it, and syncs them.
	MkdirAll(dir string) error
	// Create makes a file that must not exist yet, for reading and writing.
	Create(name string) (File, error)
	// Open opens a file that exists, for reading and writing.
	Open(name string) (File, error)
	Remove(name string) error
	Rename(from, to string) error
	// List returns the names in a directory, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes the names of a directory durable.
	SyncDir(dir string) error
	// Free returns the bytes that can still be written.
	Free() (int64, error)
	// Lock takes the file system for this process until the result is closed.
	Lock() (io.Closer, error)
}

// OS is a directory of the real file system. NoSync leaves the syncs out: for
// tests of other things.
type OS struct {
	Dir    string
	NoSync bool
}

func (o OS) path(name string) string { return filepath.Join(o.Dir, filepath.FromSlash(name)) }

// MkdirAll makes a directory; see FS.
func (o OS) MkdirAll(dir string) error {
	path := o.path(dir)
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		return nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	return o.SyncDir(filepath.ToSlash(filepath.Join(dir, "..")))
}

// Create makes a file; see FS.
func (o OS) Create(name string) (File, error) {
	return o.open(name, os.O_CREATE|os.O_EXCL)
}

// Open opens a file; see FS.
func (o OS) Open(name string) (File, error) { return o.open(name, 0) }

func (o OS) open(name string, flag int) (File, error) {
	f, err := os.OpenFile(o.path(name), os.O_RDWR|flag, 0o600)
	if err != nil {
		return nil, err
	}
	return &osFile{f, o.NoSync}, nil
}

// Remove removes a file.
func (o OS) Remove(name string) error { return os.Remove(o.path(name)) }

// Rename gives a file another name.
func (o OS) Rename(from, to string) error { return os.Rename(o.path(from), o.path(to)) }

// List returns a directory's names; see FS.
func (o OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(o.path(dir))
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// SyncDir syncs a directory; see FS.
func (o OS) SyncDir(dir string) error {
	if o.NoSync {
		return nil
	}
	f, err := os.Open(o.path(dir))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Free returns what statfs tells of an ordinary user's blocks.
func (o OS) Free() (int64, error) {
	var st syscall.Statfs_t
	if err := syscall.Statfs(o.Dir, &st); err != nil {
		return 0, &fs.PathError{Op: "statfs", Path: o.Dir, Err: err}
	}
	return int64(st.Bavail) * int64(st.Bsize), nil
}

// Lock takes an advisory lock on the file LOCK (flock(2)).
func (o OS) Lock() (io.Closer, error) {
	f, err := os.OpenFile(o.path("LOCK"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", o.Dir, ErrLocked)
	}
	return f, nil
}

type osFile struct {
	*os.File
	noSync bool
}

func (f *osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

func (f *osFile) Sync() error {
	if f.noSync {
		return nil
	}
	return f.File.Sync()
}

// ReadFile reads a whole file of at most most bytes.
func ReadFile(f FS, name string, most int64) ([]byte, error) {
	file, err := f.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	if size > most {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", name, size, most)
	}
	text := make([]byte, size)
	if _, err := file.ReadAt(text, 0); err != nil && err != io.EOF {
		return nil, err
	}
	return text, nil
}

// WriteFileAtomic writes a file whole or not at all: under another name first,
// synced, then renamed. dir is the directory of name.
func WriteFileAtomic(f FS, dir, name string, text []byte) error {
	temp := name + ".new"
	if err := f.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := f.Create(temp)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(text, 0)
	if err == nil {
		err = file.Sync()
	}
	if e := file.Close(); err == nil {
		err = e
	}
	if err != nil {
		f.Remove(temp)
		return err
	}
	if err := f.Rename(temp, name); err != nil {
		return err
	}
	return f.SyncDir(dir)
}
