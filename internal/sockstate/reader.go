package sockstate

import (
	"io"
	"net"
	"os"
	"syscall"
)

// ReadNotifier learns when data is read and when a read waits for data.
type ReadNotifier interface {
	// BeginRead is called before data is read from the socket.
	BeginRead()
	// BeginWait is called when all received data was read and a read waits for more.
	BeginWait()
}

// Reader reads from a connection and notifies of each read and wait. Between BeginWait
// and the next BeginRead, nothing of what arrives leaves the socket.
type Reader struct {
	NetConn  net.Conn
	Raw      syscall.RawConn // of NetConn; nil: nothing is notified
	Notifier ReadNotifier
}

// Read implements io.Reader. It respects the connection's read deadline.
func (r *Reader) Read(p []byte) (int, error) {
	if r.Raw == nil || len(p) == 0 {
		return r.NetConn.Read(p)
	}
	n := 0
	var readErr error
	err := r.Raw.Read(func(fd uintptr) bool {
		r.Notifier.BeginRead()
		n, readErr = readIgnoringInterrupts(int(fd), p)
		if readErr == syscall.EAGAIN {
			r.Notifier.BeginWait()
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: r.NetConn.LocalAddr(), Addr: r.NetConn.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readIgnoringInterrupts reads from fd and tries again when a signal interrupts it.
func readIgnoringInterrupts(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}
