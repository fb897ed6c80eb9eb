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

// ErrCrashed is returned by every call after the crash of a Sim.
var ErrCrashed = errors.New("the machine has crashed")

const sector = 512 // bytes that a disk writes whole or not at all

// Fault is what Sim does to one call.
type Fault int

// Faults of a Sim. Crash is met before the call has an effect.
const (
	NoFault  Fault = iota
	Crash          // this call and all after it fail; After plays what is left of the disk
	NoSpace        // ENOSPC; a write has its first half done
	IOError        // EIO; a write has its first half done
	ReadOnly       // EROFS, now and for all later calls that write
	LostSync       // a sync that says yes and does nothing
	FlipBit        // of what is read or written, one bit is another
)

// Call is one call that changes or reads the disk.
type Call struct {
	Number int
	Op     string // write, sync, truncate, create, remove, rename, syncdir, read
	Name   string
	Offset int64
	Size   int
}

// Sim is a disk in memory. What is not synced is kept or lost by sectors when
// the machine crashes; changes of a directory that is not synced are lost from
// some point on, in their order, as a journalling file system does it.
type Sim struct {
	// FaultFunc decides the fault of each call; nil: none. It is called with mu held.
	FaultFunc func(Call) Fault
	Capacity  int64 // bytes; 0: no bound

	mu       sync.Mutex
	calls    int
	crashed  bool
	readOnly bool
	locked   bool
	dirs     map[string]*simDir
	used     int64
}

type simDir struct {
	now     map[string]*inode
	durable map[string]*inode
	pending []dirChange
}

type dirChange struct {
	name string
	node *inode // nil: removed
	from string // of a rename: the name that goes
}

type inode struct {
	now     []byte
	durable []byte
	pending []change
}

type change struct {
	offset int64
	data   []byte
	size   int64 // of a truncate; -1: a write
}

// NewSim returns an empty disk.
func NewSim() *Sim {
	s := &Sim{dirs: map[string]*simDir{}}
	s.dirs["."] = newSimDir()
	return s
}

func newSimDir() *simDir {
	return &simDir{now: map[string]*inode{}, durable: map[string]*inode{}}
}

// SetFaultFunc gives a disk that is in use another plan.
func (s *Sim) SetFaultFunc(plan func(Call) Fault) {
	s.mu.Lock()
	s.FaultFunc = plan
	s.mu.Unlock()
}

// CallCount returns the number of calls so far.
func (s *Sim) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call and returns its fault, as an error where it is one.
func (s *Sim) begin(op, name string, offset int64, size int) (Fault, error) {
	s.calls++
	if s.crashed {
		return Crash, ErrCrashed
	}
	f := NoFault
	if s.FaultFunc != nil {
		f = s.FaultFunc(Call{Number: s.calls, Op: op, Name: name, Offset: offset, Size: size})
	}
	switch f {
	case Crash:
		s.crashed = true
		return f, ErrCrashed
	case ReadOnly:
		s.readOnly = true
	case NoSpace:
		return f, &fs.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	case IOError:
		return f, &fs.PathError{Op: op, Path: name, Err: syscall.EIO}
	}
	if s.readOnly && op != "read" {
		return f, &fs.PathError{Op: op, Path: name, Err: syscall.EROFS}
	}
	return f, nil
}

// AfterCrash returns the disk as it is found after a crash now: of what was not
// synced, rnd says what is left.
func (s *Sim) AfterCrash(rnd *rand.Rand) *Sim {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &Sim{Capacity: s.Capacity, dirs: map[string]*simDir{}}
	names := make([]string, 0, len(s.dirs))
	for name := range s.dirs {
		names = append(names, name)
	}
	slices.Sort(names)
	left := map[*inode]*inode{}
	for _, name := range names {
		d := newSimDir()
		for file, node := range s.dirs[name].afterCrash(rnd) {
			if left[node] == nil {
				left[node] = &inode{}
			}
			d.now[file], d.durable[file] = left[node], left[node]
		}
		out.dirs[name] = d
	}
	for _, name := range names { // in an order that the seed alone decides
		files := make([]string, 0, len(out.dirs[name].now))
		for file := range out.dirs[name].now {
			files = append(files, file)
		}
		slices.Sort(files)
		for _, file := range files {
			for from, to := range left {
				if to == out.dirs[name].now[file] && to.durable == nil {
					text := from.afterCrash(rnd)
					to.now, to.durable = text, slices.Clone(text)
					out.used += int64(len(text))
				}
			}
		}
	}
	return out
}

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
	if c.from != "" {
		delete(names, c.from)
	}
	if c.node == nil {
		delete(names, c.name)
	} else {
		names[c.name] = c.node
	}
}

// afterCrash keeps a random part of what was written and not synced: all,
// none, the first part, or any of its sectors.
func (n *inode) afterCrash(rnd *rand.Rand) []byte {
	text := slices.Clone(n.durable)
	mode := rnd.Intn(4)
	keep := len(n.pending)
	switch mode {
	case 0:
		keep = 0
	case 1:
		keep = rnd.Intn(keep + 1)
	}
	for _, c := range n.pending[:keep] {
		if mode != 3 {
			text = c.apply(text)
			continue
		}
		for _, part := range c.sectors() {
			if rnd.Intn(2) == 0 {
				text = part.apply(text)
			}
		}
	}
	if text == nil {
		text = []byte{}
	}
	return text
}

func (c change) apply(text []byte) []byte {
	if c.size >= 0 {
		return resize(text, c.size)
	}
	if end := c.offset + int64(len(c.data)); end > int64(len(text)) {
		text = resize(text, end)
	}
	copy(text[c.offset:], c.data)
	return text
}

// sectors splits a write at the disk's sectors.
func (c change) sectors() []change {
	if c.size >= 0 {
		return []change{c}
	}
	var out []change
	for at := int64(0); at < int64(len(c.data)); {
		n := min(sector-(c.offset+at)%sector, int64(len(c.data))-at)
		out = append(out, change{offset: c.offset + at, data: c.data[at : at+n], size: -1})
		at += n
	}
	return out
}

func resize(text []byte, size int64) []byte {
	if size <= int64(len(text)) {
		return text[:size]
	}
	return append(text, make([]byte, size-int64(len(text)))...)
}

// MkdirAll makes a directory; it is durable at once.
func (s *Sim) MkdirAll(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	dir = path.Clean(dir)
	if s.dirs[dir] != nil {
		return nil
	}
	if _, err := s.begin("mkdir", dir, 0, 0); err != nil {
		return err
	}
	s.dirs[dir] = newSimDir()
	return nil
}

func (s *Sim) dir(name string) (*simDir, string, error) {
	d := s.dirs[path.Dir(name)]
	if d == nil {
		return nil, "", &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return d, path.Base(name), nil
}

func (d *simDir) change(c dirChange) {
	c.apply(d.now)
	d.pending = append(d.pending, c)
}

// Create makes a file; see FS.
func (s *Sim) Create(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.dir(name)
	if err != nil {
		return nil, err
	}
	if _, err := s.begin("create", name, 0, 0); err != nil {
		return nil, err
	}
	if d.now[base] != nil {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	node := &inode{}
	d.change(dirChange{name: base, node: node})
	return &simFile{s, node, name}, nil
}

// Open opens a file; see FS.
func (s *Sim) Open(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return nil, ErrCrashed
	}
	d, base, err := s.dir(name)
	if err != nil {
		return nil, err
	}
	if d.now[base] == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &simFile{s, d.now[base], name}, nil
}

// Remove removes a file.
func (s *Sim) Remove(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.dir(name)
	if err != nil {
		return err
	}
	if d.now[base] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	if _, err := s.begin("remove", name, 0, 0); err != nil {
		return err
	}
	s.used -= int64(len(d.now[base].now))
	d.change(dirChange{name: base})
	return nil
}

// Rename gives a file of a directory another name in it.
func (s *Sim) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.dir(from)
	if err != nil {
		return err
	}
	if path.Dir(from) != path.Dir(to) {
		return errors.New("rename across directories")
	}
	node := d.now[base]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	if _, err := s.begin("rename", from, 0, 0); err != nil {
		return err
	}
	d.change(dirChange{name: path.Base(to), node: node, from: base})
	return nil
}

// List returns a directory's names; see FS.
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
	for name := range d.now {
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

// SyncDir makes a directory's names durable.
func (s *Sim) SyncDir(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := s.begin("syncdir", dir, 0, 0)
	if err != nil || f == LostSync {
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

// Free returns what the capacity leaves.
func (s *Sim) Free() (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Capacity == 0 {
		return 1 << 50, nil
	}
	return max(s.Capacity-s.used, 0), nil
}

// Lock takes the disk.
func (s *Sim) Lock() (io.Closer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locked {
		return nil, ErrLocked
	}
	s.locked = true
	return simLock{s}, nil
}

type simLock struct{ s *Sim }

func (l simLock) Close() error {
	l.s.mu.Lock()
	l.s.locked = false
	l.s.mu.Unlock()
	return nil
}

// FlipStoredBit flips a bit of what a file holds, durably.
func (s *Sim) FlipStoredBit(name string, offset int64, bit uint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, base, err := s.dir(name)
	if err != nil {
		return err
	}
	node := d.now[base]
	if node == nil || offset >= int64(len(node.now)) {
		return &fs.PathError{Op: "spoil", Path: name, Err: fs.ErrNotExist}
	}
	node.now[offset] ^= 1 << (bit % 8)
	if offset < int64(len(node.durable)) {
		node.durable[offset] ^= 1 << (bit % 8)
	}
	return nil
}

type simFile struct {
	s    *Sim
	node *inode
	name string
}

func (f *simFile) ReadAt(p []byte, offset int64) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	fault, err := f.s.begin("read", f.name, offset, len(p))
	if err != nil {
		return 0, err
	}
	if offset >= int64(len(f.node.now)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.now[offset:])
	if fault == FlipBit && n > 0 {
		p[n/2] ^= 4
	}
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *simFile) WriteAt(p []byte, offset int64) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	fault, err := f.s.begin("write", f.name, offset, len(p))
	if grows := offset + int64(len(p)) - int64(len(f.node.now)); err == nil && grows > 0 && f.s.Capacity > 0 && f.s.used+grows > f.s.Capacity {
		fault, err = NoSpace, &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	if fault == NoSpace || fault == IOError {
		f.write(p[:len(p)/2], offset)
		return len(p) / 2, err
	}
	if err != nil {
		return 0, err
	}
	if fault == FlipBit && len(p) > 0 {
		p = slices.Clone(p)
		p[len(p)/2] ^= 4
	}
	f.write(p, offset)
	return len(p), nil
}

func (f *simFile) write(p []byte, offset int64) {
	if f.s.Capacity > 0 { // what the device still takes
		p = p[:max(min(int64(len(p)), f.s.Capacity-f.s.used+int64(len(f.node.now))-offset), 0)]
	}
	c := change{offset: offset, data: slices.Clone(p), size: -1}
	f.set(c)
}

func (f *simFile) set(c change) {
	before := int64(len(f.node.now))
	f.node.now = c.apply(f.node.now)
	f.s.used += int64(len(f.node.now)) - before
	f.node.pending = append(f.node.pending, c)
}

func (f *simFile) Size() (int64, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if f.s.crashed {
		return 0, ErrCrashed
	}
	return int64(len(f.node.now)), nil
}

func (f *simFile) Truncate(size int64) error {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if _, err := f.s.begin("truncate", f.name, size, 0); err != nil {
		return err
	}
	f.set(change{size: size})
	return nil
}

func (f *simFile) Sync() error {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	fault, err := f.s.begin("sync", f.name, 0, 0)
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
