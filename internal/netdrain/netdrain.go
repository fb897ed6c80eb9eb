// Package netdrain closes a listener without losing connections. Closing a listener
// resets the connections that the kernel has established and that nobody has accepted,
// together with the requests that have arrived on them.
package netdrain

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"arrowwalk/internal/sockstate"
)

// finalAcceptTimeout is how long a draining listener waits for each further
// connection.
const finalAcceptTimeout = 2 * time.Millisecond

// Listener is a TCP listener that can be drained. Accept must be called by one
// goroutine until it returns net.ErrClosed.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
}

// New returns a Listener that owns ln.
func New(ln *net.TCPListener) *Listener { return &Listener{TCPListener: ln} }

// Drain makes Accept return the connections that are already established, then close
// the listener and return net.ErrClosed. It does not wait.
func (l *Listener) Drain() {
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // in the past: wakes a waiting Accept
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			l.SetDeadline(time.Now().Add(finalAcceptTimeout))
		}
		nc, err := l.TCPListener.Accept()
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		if !sockstate.HasPendingConn(l.TCPListener) { // else the deadline passed before Accept tried
			l.Close()
			return nil, net.ErrClosed
		}
	}
}
