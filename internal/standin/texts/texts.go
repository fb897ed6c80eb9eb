// Package texts is a server that says what it is told, whatever it is asked:
// for tests of how an attempt's end is read.
package texts

import (
	"bufio"
	"io"
	"net"
	"sync"

	"arrowwalk/internal/http1"
)

// Server answers the requests of each connection with its texts, in turn; the
// last one goes on.
type Server struct {
	Seen chan http1.Request // heads of the first hundred requests

	ln     net.Listener
	texts  []string
	hangUp bool
	quit   chan struct{}
	wg     sync.WaitGroup
}

// Start listens on loopback. Where hangUp is set, a connection ends after the
// last text.
func Start(hangUp bool, texts ...string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Seen: make(chan http1.Request, 100), ln: ln, texts: texts, hangUp: hangUp, quit: make(chan struct{})}
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Addr returns where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Stop ends the server and its connections.
func (s *Server) Stop() {
	close(s.quit)
	s.ln.Close()
	s.wg.Wait()
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		done := make(chan struct{})
		s.wg.Add(2)
		go func() {
			defer s.wg.Done()
			defer close(done)
			defer nc.Close()
			s.serve(nc)
		}()
		go func() {
			defer s.wg.Done()
			select {
			case <-s.quit:
				nc.Close()
			case <-done:
			}
		}()
	}
}

func (s *Server) serve(nc net.Conn) {
	in := bufio.NewReader(nc)
	heads := http1.NewReader(in, http1.DefaultLimits)
	for n := 0; ; n++ {
		var q http1.Request
		if heads.ReadRequest(&q) != nil {
			return
		}
		io.CopyN(io.Discard, in, q.Length)
		select {
		case s.Seen <- q:
		default:
		}
		io.WriteString(nc, s.texts[min(n, len(s.texts)-1)])
		if s.hangUp && n >= len(s.texts)-1 {
			return
		}
	}
}
