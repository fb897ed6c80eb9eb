// Package netdrain closes a listener without losing connections. Closing a listener
// resets the connections that the kernel has established and that nobody has accepted,
// together with the requests that have arrived on them.
package netdrain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"arrowwalk/internal/sockstate"
	"arrowwalk/internal/tcpinfo"
)

// finalAcceptTimeout is how long a draining listener waits for each further
// connection.
const finalAcceptTimeout = 2 * time.Millisecond

// maxFinalWait bounds the time for which a draining listener waits at all: clients that
// keep connecting must not keep it open.
const maxFinalWait = 100 * time.Millisecond

// Listener is a TCP listener that can be drained. Accept must be called by one
// goroutine until it returns net.ErrClosed.
type Listener struct {
	*net.TCPListener
	draining  atomic.Bool
	waitEnd   time.Time // set before draining is
	counted   bool      // remaining is set
	remaining int       // connections to accept after waitEnd

	acceptTimeout func() time.Duration // of each Accept while draining
}

// New returns a Listener that owns ln.
func New(ln *net.TCPListener) *Listener {
	return &Listener{TCPListener: ln, acceptTimeout: func() time.Duration { return finalAcceptTimeout }}
}

// Drain makes Accept return the connections that are already established, then close
// the listener and return net.ErrClosed. It does not wait. Call it once.
func (l *Listener) Drain() {
	l.waitEnd = time.Now().Add(maxFinalWait)
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // in the past: wakes a waiting Accept
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			if time.Now().After(l.waitEnd) && !l.countFinal() {
				l.Close()
				return nil, net.ErrClosed
			}
			l.SetDeadline(time.Now().Add(l.acceptTimeout()))
		}
		nc, err := l.TCPListener.Accept()
		if err == nil && l.counted {
			l.remaining--
		}
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		if !sockstate.HasPendingConn(l.TCPListener) { // else the deadline passed before Accept tried
			l.Close()
			return nil, net.ErrClosed
		}
	}
}

// countFinal counts the connections that are accepted after the wait: those that are
// established at its end. It returns false if there are no more.
func (l *Listener) countFinal() bool {
	if !l.counted {
		l.counted, l.remaining = true, tcpinfo.PendingConns(l.rawConn())
	}
	return l.remaining > 0
}

// rawConn returns access to the listener's descriptor, or nil.
func (l *Listener) rawConn() syscall.RawConn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
