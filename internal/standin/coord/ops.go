package coord

import (
	"time"
)

// The operations, by their numbers in the protocol.
const (
	opCreate       int32 = 1
	opDelete       int32 = 2
	opExists       int32 = 3
	opGetData      int32 = 4
	opSetData      int32 = 5
	opGetChildren  int32 = 8
	opSync         int32 = 9
	opPing         int32 = 11
	opGetChildren2 int32 = 12
	opCheck        int32 = 13
	opMulti        int32 = 14
	opCreate2      int32 = 15
	opSetAuth      int32 = 100
	opSetWatches   int32 = 101
	opClose        int32 = -11
)

var opNames = map[int32]string{
	opCreate: "create", opDelete: "delete", opExists: "exists", opGetData: "getData", opSetData: "setData",
	opGetChildren: "getChildren", opSync: "sync", opPing: "ping", opGetChildren2: "getChildren2", opCheck: "check",
	opMulti: "multi", opCreate2: "create2", opSetAuth: "setAuth", opSetWatches: "setWatches", opClose: "close",
}

// handle answers one request; false ends the connection.
func (c *conn) handle(frame []byte) bool {
	d := &decoder{b: frame}
	xid, op := d.int(), d.int()
	if d.err != nil {
		return false
	}
	c.s.mu.Lock()
	slow := c.s.script.Slow
	c.s.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-c.s.quit:
			return false
		}
	}
	c.s.mu.Lock()
	if c.s.sessions[c.session.id] != c.session {
		c.s.mu.Unlock()
		return false
	}
	c.session.heard = time.Now()
	c.s.counts[opNames[op]]++
	body := &encoder{}
	result := c.do(op, d, body)
	out := &encoder{}
	out.int(xid)
	out.long(c.s.tree.zxid)
	out.int(int32(result))
	if result == ok {
		out.b = append(out.b, body.b...)
	}
	if op == opClose {
		c.s.end(&session{id: c.session.id})
	}
	c.s.mu.Unlock()
	return c.write(out) && op != opClose && result != marshallingError
}

// do carries out one operation; s.mu is held.
func (c *conn) do(op int32, d *decoder, out *encoder) code {
	var result code
	switch op {
	case opPing, opSetAuth, opClose:
		return ok
	case opExists, opGetData, opGetChildren, opGetChildren2:
		result = c.readNode(op, d, out)
	case opCreate, opCreate2, opDelete, opSetData, opCheck:
		var changes []change
		changes, result = c.writeNode(c.s.tree, op, d, out)
		c.s.notify(changes)
	case opSync:
		path := d.string()
		out.string(path)
	case opMulti:
		result = c.multi(d, out)
	case opSetWatches:
		result = c.setWatches(d)
	default:
		return unimplemented
	}
	if d.err != nil {
		return marshallingError
	}
	return result
}

// view is the tree that reads see.
func (c *conn) view() *tree {
	if c.s.script.Stale && c.s.stale != nil {
		return c.s.stale
	}
	return c.s.tree
}

func (c *conn) readNode(op int32, d *decoder, out *encoder) code {
	path, watch := d.string(), d.bool()
	if d.err != nil {
		return marshallingError
	}
	t := c.view()
	n := t.nodes[path]
	if watch && (n != nil || op == opExists) {
		if op == opGetChildren || op == opGetChildren2 {
			c.child[path] = true
		} else {
			c.data[path] = true
		}
	}
	if n == nil {
		return noNode
	}
	stat := t.statOf(n)
	switch op {
	case opExists:
		out.stat(&stat)
	case opGetData:
		out.buffer(n.data)
		out.stat(&stat)
	case opGetChildren:
		out.strings(t.childrenOf(n))
	case opGetChildren2:
		out.strings(t.childrenOf(n))
		out.stat(&stat)
	}
	return ok
}

func (c *conn) writeNode(t *tree, op int32, d *decoder, out *encoder) ([]change, code) {
	path := d.string()
	switch op {
	case opCreate, opCreate2:
		data := d.buffer()
		d.acls()
		flags := d.int()
		if d.err != nil {
			return nil, marshallingError
		}
		path, changes, result := t.create(path, data, flags, c.session.id, time.Now())
		out.string(path)
		if n := t.nodes[path]; op == opCreate2 && n != nil {
			stat := t.statOf(n)
			out.stat(&stat)
		}
		return changes, result
	case opDelete:
		version := d.int()
		if d.err != nil {
			return nil, marshallingError
		}
		return t.delete(path, version)
	case opSetData:
		data, version := d.buffer(), d.int()
		if d.err != nil {
			return nil, marshallingError
		}
		stat, changes, result := t.set(path, data, version, time.Now())
		out.stat(&stat)
		return changes, result
	}
	version := d.int()
	return nil, t.check(path, version)
}

const multiMost = 1000

// multi does all of several writes or none.
func (c *conn) multi(d *decoder, out *encoder) code {
	trial := c.s.tree.clone()
	var all []change
	good := &encoder{}
	results := []code{}
	failed := false
	for {
		op, done := d.int(), d.bool()
		d.int()
		if d.err != nil || len(results) > multiMost {
			return marshallingError
		}
		if done {
			break
		}
		if op != opCreate && op != opCreate2 && op != opDelete && op != opSetData && op != opCheck {
			return unimplemented
		}
		body := &encoder{}
		changes, result := c.writeNode(trial, op, d, body)
		if d.err != nil {
			return marshallingError
		}
		if failed && result == ok {
			result = runtimeInconsist // not tried: another one failed
		}
		failed = failed || result != ok
		results = append(results, result)
		all = append(all, changes...)
		multiHeader(good, op, false, ok)
		if op != opDelete && op != opCheck {
			good.b = append(good.b, body.b...)
		}
	}
	if failed {
		for _, r := range results {
			multiHeader(out, -1, false, r)
			out.int(int32(r))
		}
	} else {
		out.b = append(out.b, good.b...)
		c.s.tree = trial
		c.s.notify(all)
	}
	multiHeader(out, -1, true, -1)
	return ok
}

func multiHeader(e *encoder, op int32, done bool, result code) {
	e.int(op)
	e.bool(done)
	e.int(int32(result))
}

// setWatches takes a client's watches up again after it has reconnected, and
// tells at once of those that missed a change.
func (c *conn) setWatches(d *decoder) code {
	since := d.long()
	data, exist, child := d.strings(), d.strings(), d.strings()
	if d.err != nil {
		return marshallingError
	}
	t := c.view()
	for _, path := range data {
		switch n := t.nodes[path]; {
		case n == nil:
			c.event(change{deleted, path})
		case n.stat.Mzxid > since:
			c.event(change{dataChanged, path})
		default:
			c.data[path] = true
		}
	}
	for _, path := range exist {
		if t.nodes[path] != nil {
			c.event(change{created, path})
		} else {
			c.data[path] = true
		}
	}
	for _, path := range child {
		switch n := t.nodes[path]; {
		case n == nil:
			c.event(change{deleted, path})
		case n.stat.Pzxid > since:
			c.event(change{childrenChanged, path})
		default:
			c.child[path] = true
		}
	}
	return ok
}
