//go:build review

package lib2

import (
	"net"
	"sync"
	"time"
)

// Link is a proxy on a loopback address that stands for the network between two
// programs. While it is cut it passes nothing on and says nothing.
type Link struct {
	Addr string

	to    string
	ln    net.Listener
	mu    sync.Mutex
	free  chan struct{} // closed while the link is not cut
	conns map[net.Conn]struct{}
}

// NewLink makes a link to an address.
func (c *Case) NewLink(name, to string) *Link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	l := &Link{Addr: ln.Addr().String(), to: to, ln: ln, free: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	close(l.free)
	c.Note("%s: %s leads to %s", name, l.Addr, to)
	go l.accept()
	return l
}

func (l *Link) accept() {
	for {
		nc, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(nc)
	}
}

func (l *Link) serve(nc net.Conn) {
	defer nc.Close()
	l.wait()
	far, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	l.mu.Lock()
	l.conns[nc], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, nc)
		delete(l.conns, far)
		l.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	pass := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			l.wait()
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pass(far, nc)
	go pass(nc, far)
	<-done
}

func (l *Link) wait() {
	l.mu.Lock()
	free := l.free
	l.mu.Unlock()
	<-free
}

// Cut makes the link silent.
func (l *Link) Cut() {
	l.mu.Lock()
	l.free = make(chan struct{})
	l.mu.Unlock()
}

// Mend makes the link pass on again. Its open connections are reset, as they are
// when a machine that was cut off is back.
func (l *Link) Mend() {
	l.mu.Lock()
	for nc := range l.conns {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		nc.Close()
	}
	close(l.free)
	l.mu.Unlock()
}
