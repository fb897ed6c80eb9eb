package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"arrowwalk/internal/connsource"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/sockstate"
)

// Timeouts of a watch. The agent sends an empty line every 2 s, so a watch without
// data for idleTimeout is broken. Every change must be delivered within 6 s after
// discovery has it and is reachable, and what a silent watch misses within 6 s
// after it fell silent. The longest path is a watch that is accepted while
// discovery is down (firstDataTimeout), the backoff and one more watch;
// backoff_test.go checks the sums.
const (
	dialTimeout      = time.Second
	firstDataTimeout = 2500 * time.Millisecond // from the request to the first data
	idleTimeout      = 3 * time.Second
)

// watch is one streaming request to an agent. While it runs, the Follower's mutex
// guards began, alive and dropped.
type watch struct {
	follower *Follower
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
	opened   time.Time     // when the watch was opened
	ended    chan error    // receives the error with which the watch ended; buffered
	began    time.Time     // when the first data was received
	alive    time.Duration // from the first to the last data
	dropped  bool          // further lists from the watch are ignored
}

// open starts a watch on the agent at address.
func (f *Follower) open(ctx context.Context, address string) *watch {
	w := &watch{follower: f, address: address, opened: time.Now(), ended: make(chan error, 1)}
	w.ctx, w.cancel = context.WithCancel(ctx)
	f.watches.Go(func() { w.ended <- w.run() })
	return w
}

// drop ends the watch; lists that still arrive on it are ignored. The caller holds
// the Follower's mutex.
func (w *watch) drop() {
	w.dropped = true
	w.cancel()
}

// run connects to the agent and processes its lists until the watch fails.
func (w *watch) run() error {
	defer w.cancel()
	dialCtx, cancel := context.WithTimeout(w.ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(dialCtx, "tcp", w.address)
	if err != nil {
		return err
	}
	defer nc.Close()
	defer context.AfterFunc(w.ctx, func() { nc.SetDeadline(time.Unix(1, 0)) })()
	if err := w.setTimeout(nc, firstDataTimeout); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(nc, "GET /v1/servers?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\n\r\n", w.follower.currentIndex(), w.address); err != nil {
		return err
	}
	input, closeInput := w.input(nc)
	defer closeInput()
	in := bufio.NewReaderSize(input, 4<<10)
	var head http1.Response
	if err := http1.NewReader(in, http1.DefaultLimits).ReadResponse(&head, "GET"); err != nil {
		return err
	}
	if head.Status != 200 {
		return fmt.Errorf("discovery returned status %d", head.Status)
	}
	var body http1.Body
	body.Reset(in, head.Framing)
	return w.follow(nc, &body)
}

// input returns what the agent's data is read from. Data that has arrived is read even
// if the timeout passed meanwhile: then this process did not run. The caller calls
// closeInput before it closes nc.
func (w *watch) input(nc net.Conn) (input io.Reader, closeInput func()) {
	raw := sockstate.RawConn(nc)
	if raw == nil || w.follower.opt.Host == nil {
		return nc, func() {}
	}
	source := connsource.NewList(w.follower.opt.Host, raw)
	return &lateReader{watch: w, nc: nc, reader: source.Reader(nc)}, source.Close
}

// lateReader reads from an agent. If the timeout passed although data is available, it
// reads again.
type lateReader struct {
	watch  *watch
	nc     net.Conn
	reader *sockstate.Reader
}

// Read implements io.Reader.
func (r *lateReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !sockstate.Readable(r.reader.Raw) {
		return n, err
	}
	if err := r.watch.setTimeout(r.nc, idleTimeout); err != nil {
		return 0, err
	}
	return r.reader.Read(p)
}

// setTimeout sets the connection's deadline, or returns an error if the watch was
// cancelled.
func (w *watch) setTimeout(nc net.Conn, timeout time.Duration) error {
	if err := nc.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return w.ctx.Err() // after the deadline is set: a later cancellation sets its own
}

// follow processes the stream of lists. Only data that shows the agent to be alive
// renews the idle timeout, bytes that complete nothing do not.
func (w *watch) follow(nc net.Conn, body io.Reader) error {
	var s splitter
	buf := make([]byte, 4<<10)
	for {
		n, err := body.Read(buf)
		alive, feedErr := s.feed(buf[:n], w.handleObject)
		switch {
		case feedErr != nil:
			return feedErr
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		if alive {
			w.follower.markAlive(w)
			if err := w.setTimeout(nc, idleTimeout); err != nil {
				return err
			}
		}
	}
}

// handleObject parses one object as a list and passes it to the Follower.
func (w *watch) handleObject(object []byte) error {
	l := &List{}
	if err := json.Unmarshal(object, l); err != nil {
		return fmt.Errorf("parse list from discovery: %w", err)
	}
	if err := l.dropInvalid(); err != nil {
		w.follower.opt.Log.Warn("ignoring invalid endpoints from discovery", "index", l.Index, "error", err)
	}
	return w.follower.applyList(w, l)
}
