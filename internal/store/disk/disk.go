// Package disk is the file system interface of the store. Calls may fail, and
// writes and directory changes are ordered and durable only after a sync. OS is
// the real file system. Sim is an in-memory disk for tests that injects faults and
// loses unsynced data in a crash.
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

// ErrLocked is returned by Lock if another process holds the lock.
var ErrLocked = errors.New("the directory is in use by another process")

// File is an open file. It is safe for concurrent use.
type File interface {
	io.ReaderAt
	io.WriterAt
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FS is a file system below one directory. Names are relative to that directory and
// use slashes. It is safe for concurrent use.
type FS interface {
	// MkdirAll creates a directory and its parents and syncs them.
	MkdirAll(dir string) error
	// Create creates a file for reading and writing. The file must not exist.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	Remove(name string) error
	Rename(from, to string) error
	// List returns the names in a directory, sorted.
	List(dir string) ([]string, error)
	// SyncDir makes the entries of a directory durable.
	SyncDir(dir string) error
	// Free returns the free space in bytes.
	Free() (int64, error)
	// Lock locks the file system for this process until the result is closed.
	Lock() (io.Closer, error)
}

// OS is a directory of the real file system. NoSync skips syncs; it is only for
// tests that do not depend on durability.
type OS struct {
	Dir    string
	NoSync bool
}

func (o OS) path(name string) string { return filepath.Join(o.Dir, filepath.FromSlash(name)) }

// MkdirAll creates a directory and its parents; see FS.
func (o OS) MkdirAll(dir string) error {
	path := o.path(dir)
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	return o.SyncDir(filepath.ToSlash(filepath.Join(dir, "..")))
}

// Create creates a file; see FS.
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

// Rename renames a file.
func (o OS) Rename(from, to string) error { return os.Rename(o.path(from), o.path(to)) }

// List returns the names in a directory, sorted.
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

// Free returns the space that statfs(2) reports as available to unprivileged users.
func (o OS) Free() (int64, error) {
	var stat syscall.Statfs_t
	if err := syscall.Statfs(o.Dir, &stat); err != nil {
		return 0, &fs.PathError{Op: "statfs", Path: o.Dir, Err: err}
	}
	return int64(stat.Bavail) * int64(stat.Bsize), nil
}

// Lock takes an advisory lock on the file LOCK with flock(2).
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
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (f *osFile) Sync() error {
	if f.noSync {
		return nil
	}
	return f.File.Sync()
}

// ReadFile reads a file. It fails if the file is larger than maxBytes.
func ReadFile(fsys FS, name string, maxBytes int64) ([]byte, error) {
	file, err := fsys.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	if size > maxBytes {
		return nil, fmt.Errorf("%s: size %d bytes exceeds the limit of %d", name, size, maxBytes)
	}
	data := make([]byte, size)
	if _, err := file.ReadAt(data, 0); err != nil && err != io.EOF {
		return nil, err
	}
	return data, nil
}

// WriteFileAtomic writes a file so that a crash leaves either the old or the new
// content: it writes and syncs a temporary file, renames it and syncs dir, which
// must be the directory of name.
func WriteFileAtomic(fsys FS, dir, name string, data []byte) error {
	temp := name + ".new"
	if err := fsys.Remove(temp); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := fsys.Create(temp)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(data, 0)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fsys.Remove(temp)
		return err
	}
	if err := fsys.Rename(temp, name); err != nil {
		return err
	}
	return fsys.SyncDir(dir)
}
