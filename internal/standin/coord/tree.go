package coord

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// code is an error code of the protocol.
type code int32

// The codes that are in use, by their names in the protocol.
const (
	ok                 code = 0
	marshallingError   code = -5
	unimplemented      code = -6
	badArguments       code = -8
	runtimeInconsist   code = -2
	noNode             code = -101
	badVersion         code = -103
	noEphemeralChild   code = -108
	nodeExists         code = -110
	notEmpty           code = -111
	sessionExpiredCode code = -112
)

// Stat is what is told of a node.
type Stat struct {
	Czxid, Mzxid, Ctime, Mtime int64
	Version, Cversion          int32
	Owner                      int64 // session of an ephemeral node
	Length, Children           int32
	Pzxid                      int64
}

type node struct {
	data     []byte
	stat     Stat
	children map[string]bool
	sequence int32
}

// tree is the nodes, by their paths. It is pure: no lock, clock or socket.
type tree struct {
	nodes map[string]*node
	zxid  int64
}

func newTree() *tree {
	return &tree{nodes: map[string]*node{"/": {children: map[string]bool{}}}}
}

// clone is a copy that later changes leave alone.
func (t *tree) clone() *tree {
	c := &tree{nodes: make(map[string]*node, len(t.nodes)), zxid: t.zxid}
	for path, n := range t.nodes {
		copied := *n
		copied.children = maps.Clone(n.children)
		c.nodes[path] = &copied
	}
	return c
}

// change is something that watches are told of.
type change struct {
	kind int32
	path string
}

// Kinds of change, as the protocol numbers them.
const (
	created         int32 = 1
	deleted         int32 = 2
	dataChanged     int32 = 3
	childrenChanged int32 = 4
)

func validPath(path string) bool {
	if path == "/" {
		return true
	}
	if !strings.HasPrefix(path, "/") || strings.HasSuffix(path, "/") {
		return false
	}
	for _, part := range strings.Split(path[1:], "/") {
		if part == "" || part == "." || part == ".." || strings.ContainsRune(part, 0) {
			return false
		}
	}
	return true
}

func parentOf(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}

func nameOf(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

const (
	flagEphemeral = 1
	flagSequence  = 2
)

// create makes a node and returns its path.
func (t *tree) create(path string, data []byte, flags int32, session int64, now time.Time) (string, []change, code) {
	parent := t.nodes[parentOf(path)]
	if flags&flagSequence == 0 && (!validPath(path) || path == "/") || !strings.HasPrefix(path, "/") || flags > 3 || flags < 0 {
		return "", nil, badArguments
	}
	if parent == nil {
		return "", nil, noNode
	}
	if parent.stat.Owner != 0 {
		return "", nil, noEphemeralChild
	}
	if flags&flagSequence != 0 {
		path += fmt.Sprintf("%010d", parent.sequence)
	}
	if t.nodes[path] != nil {
		return "", nil, nodeExists
	}
	t.zxid++
	n := &node{data: data, children: map[string]bool{}}
	n.stat = Stat{Czxid: t.zxid, Mzxid: t.zxid, Ctime: now.UnixMilli(), Mtime: now.UnixMilli(), Pzxid: t.zxid}
	if flags&flagEphemeral != 0 {
		n.stat.Owner = session
	}
	t.nodes[path] = n
	parent.children[nameOf(path)] = true
	parent.sequence++
	parent.stat.Cversion++
	parent.stat.Pzxid = t.zxid
	return path, []change{{created, path}, {childrenChanged, parentOf(path)}}, ok
}

func (t *tree) delete(path string, version int32) ([]change, code) {
	n := t.nodes[path]
	switch {
	case path == "/":
		return nil, badArguments
	case n == nil:
		return nil, noNode
	case version != -1 && version != n.stat.Version:
		return nil, badVersion
	case len(n.children) > 0:
		return nil, notEmpty
	}
	t.zxid++
	delete(t.nodes, path)
	parent := t.nodes[parentOf(path)]
	delete(parent.children, nameOf(path))
	parent.stat.Cversion++
	parent.stat.Pzxid = t.zxid
	return []change{{deleted, path}, {childrenChanged, parentOf(path)}}, ok
}

func (t *tree) set(path string, data []byte, version int32, now time.Time) (Stat, []change, code) {
	n := t.nodes[path]
	switch {
	case n == nil:
		return Stat{}, nil, noNode
	case version != -1 && version != n.stat.Version:
		return Stat{}, nil, badVersion
	}
	t.zxid++
	n.data = data
	n.stat.Version++
	n.stat.Mzxid, n.stat.Mtime = t.zxid, now.UnixMilli()
	return t.statOf(n), []change{{dataChanged, path}}, ok
}

func (t *tree) check(path string, version int32) code {
	n := t.nodes[path]
	switch {
	case n == nil:
		return noNode
	case version != -1 && version != n.stat.Version:
		return badVersion
	}
	return ok
}

func (t *tree) statOf(n *node) Stat {
	s := n.stat
	s.Length, s.Children = int32(len(n.data)), int32(len(n.children))
	return s
}

func (t *tree) childrenOf(n *node) []string { return slices.Sorted(maps.Keys(n.children)) }

// drop deletes all nodes of a session that has ended.
func (t *tree) drop(session int64) []change {
	var paths []string
	for path, n := range t.nodes {
		if n.stat.Owner == session {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var all []change
	for _, path := range paths {
		changes, _ := t.delete(path, -1)
		all = append(all, changes...)
	}
	return all
}
