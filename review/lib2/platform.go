//go:build review

package lib2

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// FreeAddr returns a loopback address that nobody listens on.
func (c *Case) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// Platform starts a host on the users' platform, by the command of the deploy
// file, and waits until it is ready.
func (c *Case) Platform(name, discovery string, known, settings any) (*Proc, string) {
	listen := c.FreeAddr()
	file := c.WriteJSON(name+".json", map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": settings,
	})
	p := c.StartEnv(name, []string{"GW_NAME=" + name, "GW_LISTEN=" + listen, "GW_DISCOVERY=" + discovery, "GW_CONFIG=" + file}, "platform")
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + listen + "/healthz")
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				break
			}
		}
		if time.Now().After(until) {
			c.Cannot(fmt.Errorf("%s is not ready: %v", name, err))
		}
	}
	c.Note("%s is ready at %s", name, listen)
	return p, listen
}

// Door is a listener that can make connections come up late: while it is held,
// its queue is full, so that the system drops what asks for a connection, and the
// other side asks again a second later.
type Door struct {
	Addr string

	ln   net.Listener
	mu   sync.Mutex
	open chan struct{} // closed while the door is open
	fill []net.Conn
}

// NewDoor listens on a loopback address and calls serve with each connection.
func (c *Case) NewDoor(serve func(net.Conn)) *Door {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	c.Must(err)
	c.Must(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	c.Must(unix.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "door")
	ln, err := net.FileListener(f)
	c.Must(err)
	f.Close()
	d := &Door{Addr: ln.Addr().String(), ln: ln, open: make(chan struct{})}
	close(d.open)
	go d.accept(serve)
	return d
}

func (d *Door) accept(serve func(net.Conn)) {
	tcp := d.ln.(*net.TCPListener)
	for {
		d.mu.Lock()
		open := d.open
		d.mu.Unlock()
		<-open
		tcp.SetDeadline(time.Now().Add(10 * time.Millisecond))
		nc, err := tcp.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
		go serve(nc)
	}
}

// Hold makes connections come up late from now on.
func (d *Door) Hold() error {
	d.mu.Lock()
	d.open = make(chan struct{})
	d.mu.Unlock()
	time.Sleep(30 * time.Millisecond)
	for range 8 {
		nc, err := net.DialTimeout("tcp", d.Addr, 40*time.Millisecond)
		if err != nil {
			return nil // the queue is full
		}
		d.fill = append(d.fill, nc)
	}
	return errors.New("the listener's queue does not fill")
}

// Release ends Hold.
func (d *Door) Release() {
	for _, nc := range d.fill {
		nc.Close()
	}
	d.fill = nil
	d.mu.Lock()
	close(d.open)
	d.mu.Unlock()
}
