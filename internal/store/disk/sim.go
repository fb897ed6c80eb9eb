package disk

import (
	"errors"
	"io"
	"io/fs"
	"math/rand"
	"path"
	"slices"
	"sync"
	"syscall"
)

// ErrCrashed is returned by all calls after a Sim has crashed.
var ErrCrashed = errors.New("the machine has crashed")

// sectorSize is the number of bytes that a disk writes atomically.
const sectorSize = 512

// Fault is a fault that a Sim injects into a call.
type Fault int

// Faults of a Sim. A Crash happens before the call has an effect.
const (
	NoFault  Fault = iota
	Crash          // this and all later calls fail; AfterCrash returns the surviving disk
	NoSpace        // ENOSPC; the first half of a write takes effect
	IOError        // EIO; the first half of a write takes effect
	ReadOnly       // EROFS, for this and all later modifying calls
	LostSync       // a sync succeeds without effect
	FlipBit        // one bit of the data read or written is flipped
)

// Call describes a call that reads or modifies the disk.
type Call struct {
	Number int
	Op     string // write, sync, truncate, create, remove, rename, syncdir, mkdir or read
	Name   string
	Offset int64
	Size   int
}

// Sim is an in-memory disk. In a crash, each sector of unsynced file data may be
// kept or lost, and unsynced changes of a directory are lost from some point on in
// their order, as in a journalling file system. It is safe for concurrent use.
type Sim struct {
	// FaultFunc returns the fault to inject into a call; nil injects none. It must
	// not use the Sim, which is locked during the call.
	FaultFunc func(Call) Fault
	Capacity  int64 // in bytes; 0: unlimited

	mu       sync.Mutex
	calls    int
	crashed  bool
	readOnly bool
	locked   bool
	dirs     map[string]*simDir
	used     int64
}

// simDir is a directory: its current and durable entries and the changes since
// its last sync.
type simDir struct {
	current map[string]*inode
	durable map[string]*inode
	pending []dirChange
}

// dirChange is the creation, removal or renaming of a file.
type dirChange struct {
	name        string
	node        *inode // nil: removed
	renamedFrom string // old name, for a rename
}

// inode is a file: its current and durable content and the changes since its last
// sync.
type inode struct {
	current []byte
	durable []byte
	pending []contentChange
}

// contentChange is a write or a truncate.
type contentChange struct {
	offset     int64
	data       []byte
	truncateTo int64 // new size, for a truncate; -1 for a write
}

// NewSim returns an empty disk.
func NewSim() *Sim {
	s := &Sim{dirs: map[string]*simDir{}}
	s.dirs["."] = newSimDir()
	return s
}

func newSimDir() *simDir {
	return &simDir{current: map[string]*inode{}, durable: map[string]*inode{}}
}

// SetFaultFunc replaces FaultFunc while the disk is in use.
func (s *Sim) SetFaultFunc(faultFunc func(Call) Fault) {
	s.mu.Lock()
	s.FaultFunc = faultFunc
	s.mu.Unlock()
}

// CallCount returns the number of calls so far.
func (s *Sim) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// startCall counts a call and returns the fault to inject, with an error if the call
// must fail. The caller holds mu.
func (s *Sim) startCall(op, name string, offset int64, size int) (Fault, error) {
	s.calls++
	if s.crashed {
		return Crash, ErrCrashed
	}
	fault := NoFault
	if s.FaultFunc != nil {
		fault = s.FaultFunc(Call{Number: s.calls, Op: op, Name: name, Offset: offset, Size: size})
	}
	switch fault {
	case Crash:
		s.crashed = true
		return fault, ErrCrashed
	case ReadOnly:
		s.readOnly = true
	case NoSpace:
		return fault, &fs.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	case IOError:
		return fault, &fs.PathError{Op: op, Path: name, Err: syscall.EIO}
	}
	if s.readOnly && op != "read" {
		return fault, &fs.PathError{Op: op, Path: name, Err: syscall.EROFS}
	}
	return fault, nil
}

// AfterCrash returns the disk as found after a crash at this moment. rnd decides
// which unsynced changes survive.
func (s *Sim) AfterCrash(rnd *rand.Rand) *Sim {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &Sim{Capacity: s.Capacity, dirs: map[string]*simDir{}}
	names := make([]string, 0, len(s.dirs))
	for name := range s.dirs {
		names = append(names, name)
	}
	slices.Sort(names)
	survivors := map[*inode]*inode{}
	for _, name := range names {
		d := newSimDir()
		for file, node := range s.dirs[name].afterCrash(rnd) {
			if survivors[node] == nil {
				survivors[node] = &inode{}
			}
			d.current[file], d.durable[file] = survivors[node], survivors[node]
		}
		out.dirs[name] = d
	}
	for _, name := range names { // sorted, so that the result depends only on rnd
		files := make([]string, 0, len(out.dirs[name].current))
		for file := range out.dirs[name].current {
			files = append(files, file)
		}
		slices.Sort(files)
		for _, file := range files {
			for before, after := range survivors {
				if after == out.dirs[name].current[file] && after.durable == nil {
					data := before.afterCrash(rnd)
					after.current, after.durable = data, slices.Clone(data)
					out.used += int64(len(data))
				}
			}
		}
	}
	return out
}

// afterCrash returns the durable entries with a random prefix of the pending
// changes.
func (d *simDir) afterCrash(rnd *rand.Rand) map[string]*inode {
	names := map[string]*inode{}
	for k, v := range d.durable {
		names[k] = v
	}
	for _, c := range d.pending[:rnd.Intn(len(d.pending)+1)] {
		c.apply(names)
	}
	return names
}

func (c dirChange) apply(names map[string]*inode) {
	if c.renamedFrom != "" {
		delete(names, c.renamedFrom)
	}
	if c.node == nil {
		delete(names, c.name)
	} else {
		names[c.name] = c.node
	}
}

// afterCrash returns the durable content with a random part of the unsynced
// changes: all, none, a prefix, or any subset of their sectors.
func (n *inode) afterCrash(rnd *rand.Rand) []byte {
	data := slices.Clone(n.durable)
	mode := rnd.Intn(4)
	kept := len(n.pending)
	switch mode {
	case 0:
		kept = 0
	case 1:
		kept = rnd.Intn(kept + 1)
	}
	for _, c := range n.pending[:kept] {
		if mode != 3 {
			data = c.apply(data)
			continue
		}
		for _, part := range c.sectors() {
			if rnd.Intn(2) == 0 {
				data = part.apply(data)
			}
		}
	}
	if data == nil {
		data = []byte{}
	}
	return data
}

func (c contentChange) apply(data []byte) []byte {
	if c.truncateTo >= 0 {
		return resize(data, c.truncateTo)
	}
	if end := c.offset + int64(len(c.data)); end > int64(len(data)) {
		data = resize(data, end)
	}
	copy(data[c.offset:], c.data)
	return data
}

// sectors splits a write at sector boundaries.
func (c contentChange) sectors() []contentChange {
	if c.truncateTo >= 0 {
		return []contentChange{c}
	}
	var out []contentChange
	for written := int64(0); written < int64(len(c.data)); {
		n := min(sectorSize-(c.offset+written)%sectorSize, int64(len(c.data))-written)
		out = append(out, contentChange{offset: c.offset + written, data: c.data[written : written+n], truncateTo: -1})
		written += n
	}
	return out
}

func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}

// MkdirAll creates a directory, which is durable at once.
func (s *Sim) MkdirAll(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	dir = path.Clean(dir)
	if s.dirs[dir] != nil {
		return nil
	}
	if _, err := s.startCall("mkdir", dir, 0, 0); err != nil {
		return err
	}
	s.dirs[dir] = newSimDir()
	return nil
}

// parentDir returns the directory of a file and the file's name in it.
func (s *Sim) parentDir(name string) (*simDir, string, error) {
	d := s.dirs[path.Dir(name)]
	if d == nil {
		return nil, "", &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return d, path.Base(name), nil
}

func (d *simDir) applyChange(c dirChange) {
	c.apply(d.current)
	d.pending = append(d.pending, c)
}

// Create creates a file; see FS.
func (s *Sim) Create(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.parentDir(name)
	if err != nil {
		return nil, err
	}
	if _, err := s.startCall("create", name, 0, 0); err != nil {
		return nil, err
	}
	if d.current[base] != nil {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	node := &inode{}
	d.applyChange(dirChange{name: base, node: node})
	return &simFile{s, node, name}, nil
}

// Open opens a file; see FS.
func (s *Sim) Open(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil, ErrCrashed
	}
	d, base, err := s.parentDir(name)
	if err != nil {
		return nil, err
	}
	if d.current[base] == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &simFile{s, d.current[base], name}, nil
}

// Remove removes a file.
func (s *Sim) Remove(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.parentDir(name)
	if err != nil {
		return err
	}
	if d.current[base] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	if _, err := s.startCall("remove", name, 0, 0); err != nil {
		return err
	}
	s.used -= int64(len(d.current[base].current))
	d.applyChange(dirChange{name: base})
	return nil
}

// Rename renames a file within its directory.
func (s *Sim) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.parentDir(from)
	if err != nil {
		return err
	}
	if path.Dir(from) != path.Dir(to) {
		return errors.New("rename across directories")
	}
	node := d.current[base]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	if _, err := s.startCall("rename", from, 0, 0); err != nil {
		return err
	}
	d.applyChange(dirChange{name: path.Base(to), node: node, renamedFrom: base})
	return nil
}

// List returns the names in a directory, sorted.
func (s *Sim) List(dir string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil, ErrCrashed
	}
	dir = path.Clean(dir)
	d := s.dirs[dir]
	if d == nil {
		return nil, &fs.PathError{Op: "list", Path: dir, Err: fs.ErrNotExist}
	}
	var names []string
	for name := range d.current {
		names = append(names, name)
	}
	for sub := range s.dirs {
		if sub != "." && path.Dir(sub) == dir {
			names = append(names, path.Base(sub))
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir makes the entries of a directory durable.
func (s *Sim) SyncDir(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, err := s.startCall("syncdir", dir, 0, 0)
	if err != nil || fault == LostSync {
		return err
	}
	d := s.dirs[path.Clean(dir)]
	if d == nil {
		return &fs.PathError{Op: "syncdir", Path: dir, Err: fs.ErrNotExist}
	}
	for _, c := range d.pending {
		c.apply(d.durable)
	}
	d.pending = nil
	return nil
}

// Free returns the unused capacity.
func (s *Sim) Free() (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Capacity == 0 {
		return 1 << 50, nil
	}
	return max(s.Capacity-s.used, 0), nil
}

// Lock locks the disk; see FS.
func (s *Sim) Lock() (io.Closer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locked {
		return nil, ErrLocked
	}
	s.locked = true
	return simLock{s}, nil
}

type simLock struct{ sim *Sim }

func (l simLock) Close() error {
	l.sim.mu.Lock()
	l.sim.locked = false
	l.sim.mu.Unlock()
	return nil
}

// FlipStoredBit durably flips one bit of a file's content.
func (s *Sim) FlipStoredBit(name string, offset int64, bit uint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.parentDir(name)
	if err != nil {
		return err
	}
	node := d.current[base]
	if node == nil || offset >= int64(len(node.current)) {
		return &fs.PathError{Op: "spoil", Path: name, Err: fs.ErrNotExist}
	}
	node.current[offset] ^= 1 << (bit % 8)
	if offset < int64(len(node.durable)) {
		node.durable[offset] ^= 1 << (bit % 8)
	}
	return nil
}

// simFile is an open file of a Sim.
type simFile struct {
	sim  *Sim
	node *inode
	name string
}

func (f *simFile) ReadAt(p []byte, offset int64) (int, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	fault, err := f.sim.startCall("read", f.name, offset, len(p))
	if err != nil {
		return 0, err
	}
	if offset >= int64(len(f.node.current)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.current[offset:])
	if fault == FlipBit && n > 0 {
		p[n/2] ^= 4
	}
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *simFile) WriteAt(p []byte, offset int64) (int, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	fault, err := f.sim.startCall("write", f.name, offset, len(p))
	if growth := offset + int64(len(p)) - int64(len(f.node.current)); err == nil && growth > 0 && f.sim.Capacity > 0 && f.sim.used+growth > f.sim.Capacity {
		fault, err = NoSpace, &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	if fault == NoSpace || fault == IOError {
		f.writeBytes(p[:len(p)/2], offset)
		return len(p) / 2, err
	}
	if err != nil {
		return 0, err
	}
	if fault == FlipBit && len(p) > 0 {
		p = slices.Clone(p)
		p[len(p)/2] ^= 4
	}
	f.writeBytes(p, offset)
	return len(p), nil
}

// writeBytes writes as much of p as the capacity allows.
func (f *simFile) writeBytes(p []byte, offset int64) {
	if f.sim.Capacity > 0 {
		p = p[:max(min(int64(len(p)), f.sim.Capacity-f.sim.used+int64(len(f.node.current))-offset), 0)]
	}
	c := contentChange{offset: offset, data: slices.Clone(p), truncateTo: -1}
	f.applyChange(c)
}

func (f *simFile) applyChange(c contentChange) {
	oldSize := int64(len(f.node.current))
	f.node.current = c.apply(f.node.current)
	f.sim.used += int64(len(f.node.current)) - oldSize
	f.node.pending = append(f.node.pending, c)
}

func (f *simFile) Size() (int64, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	if f.sim.crashed {
		return 0, ErrCrashed
	}
	return int64(len(f.node.current)), nil
}

func (f *simFile) Truncate(size int64) error {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	if _, err := f.sim.startCall("truncate", f.name, size, 0); err != nil {
		return err
	}
	f.applyChange(contentChange{truncateTo: size})
	return nil
}

func (f *simFile) Sync() error {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	fault, err := f.sim.startCall("sync", f.name, 0, 0)
	if err != nil || fault == LostSync {
		return err
	}
	for _, c := range f.node.pending {
		f.node.durable = c.apply(f.node.durable)
	}
	f.node.pending = nil
	return nil
}

func (f *simFile) Close() error { return nil }
