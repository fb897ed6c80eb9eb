// Package connsource tells the host which connections may hold data that has arrived and
// was not handed over, so that after a stall node lists are read first and requests are
// submitted in order of arrival.
package connsource

import (
	"net"
	"sync/atomic"
	"syscall"

	"arrowwalk/internal/host"
	"arrowwalk/internal/sockstate"
)

// phase is what a connection's goroutine does.
type phase int32

const (
	phaseWaiting  phase = iota // for data; what has arrived is in the socket
	phaseReading               // a request, or it has read one
	phaseFinished              // no request of an ordered class will be handed over
)

// Conn is the host.Source of a connection. A nil *Conn is valid and does nothing. Its
// methods are safe for concurrent use.
type Conn struct {
	host  *host.Host
	raw   syscall.RawConn
	lists bool // node lists arrive on it, not requests
	phase atomic.Int32
	task  atomic.Pointer[host.Task] // of the current request, in an ordered class
}

// New makes a connection known to the host. It returns nil if the host has no ordered
// class or the connection has no descriptor. Call it before anything is read, and
// Close in the end.
func New(h *host.Host, raw syscall.RawConn) *Conn {
	if raw == nil || !h.OrdersArrivals() {
		return nil
	}
	c := &Conn{host: h, raw: raw}
	h.AddSource(c)
	return c
}

// NewList makes a connection known to the host on which node lists arrive. It returns
// nil if the connection has no descriptor. Call Close in the end.
func NewList(h *host.Host, raw syscall.RawConn) *Conn {
	if raw == nil {
		return nil
	}
	c := &Conn{host: h, raw: raw, lists: true}
	h.AddListSource(c)
	return c
}

// MayHoldData implements host.Source.
func (c *Conn) MayHoldData() bool {
	switch phase(c.phase.Load()) {
	case phaseWaiting:
		return sockstate.Readable(c.raw)
	case phaseReading:
		task := c.task.Load()
		return task == nil || !task.HandedOver()
	}
	return false
}

// Reader returns a reader of nc, the connection itself.
func (c *Conn) Reader(nc net.Conn) *sockstate.Reader {
	return &sockstate.Reader{NetConn: nc, Raw: c.raw, Notifier: c}
}

// BeginRead implements sockstate.ReadNotifier.
func (c *Conn) BeginRead() { c.phase.CompareAndSwap(int32(phaseWaiting), int32(phaseReading)) }

// BeginWait implements sockstate.ReadNotifier: everything that has arrived was read, and
// the current request or list is not complete.
func (c *Conn) BeginWait() {
	switch {
	case !c.phase.CompareAndSwap(int32(phaseReading), int32(phaseWaiting)):
	case c.lists:
		c.host.ListSourceRead(c)
	default:
		c.host.SourceRead(c)
	}
}

// BeginTask records that the current request is handed over as t, which it prepares.
func (c *Conn) BeginTask(t *host.Task) {
	if c == nil {
		return
	}
	t.Source = c
	c.task.Store(t)
}

// FinishRequest records that nothing more of the current request is handed over in an
// ordered class.
func (c *Conn) FinishRequest() {
	if c == nil {
		return
	}
	c.phase.Store(int32(phaseFinished))
	c.host.SourceRead(c)
}

// NextRequest begins to wait for the next request. buffered reports whether some of it
// was read already.
func (c *Conn) NextRequest(buffered bool) {
	if c == nil {
		return
	}
	c.task.Store(nil)
	next := phaseWaiting
	if buffered {
		next = phaseReading
	}
	c.phase.Store(int32(next))
	if c.host.CollectsArrivals() && !c.MayHoldData() {
		c.host.SourceRead(c)
	}
}

// Close forgets the connection.
func (c *Conn) Close() {
	switch {
	case c == nil:
	case c.lists:
		c.host.RemoveListSource(c)
	default:
		c.host.RemoveSource(c)
	}
}

// Listener is the host.Source of a listener: connections that wait to be accepted may
// hold requests.
type Listener struct {
	host *host.Host
	ln   net.Listener
}

// NewListener makes a listener known to the host. Call Close in the end.
func NewListener(h *host.Host, ln net.Listener) *Listener {
	l := &Listener{host: h, ln: ln}
	h.AddSource(l)
	return l
}

// MayHoldData implements host.Source.
func (l *Listener) MayHoldData() bool { return sockstate.HasPendingConn(l.ln) }

// BeforeAccept is called before each Accept, when the connections accepted so far are
// known to the host.
func (l *Listener) BeforeAccept() {
	if l.host.CollectsArrivals() && !l.MayHoldData() {
		l.host.SourceRead(l)
	}
}

// Close forgets the listener.
func (l *Listener) Close() { l.host.RemoveSource(l) }
