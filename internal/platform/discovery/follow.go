package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/http1"
)

// Times of a watch. An empty line comes every 2 s; after quietMost without
// any, the agent is asked anew: what it has to tell counts as told soon.
const (
	dialMost  = time.Second
	quietMost = 3 * time.Second
	waitLeast = 50 * time.Millisecond
	waitMost  = time.Second
)

// Options of a Follower.
type Options struct {
	Address string // of the agent
	Zones   *Zones
	Log     *slog.Logger
	// Told is given each list, in order, on one goroutine.
	Told func(kind arrowwalk.ListKind, index int64, members []host.Member)
	// Reached is given the addresses of all bricks that have not left.
	Reached func(addresses []string)
	NoStart bool // the bricks' starts are not told; for proofs that must fail
}

// Follower keeps a watch on the list, and opens it again when it ends.
type Follower struct {
	opt  Options
	stop context.CancelFunc
	done chan struct{}
	book book

	mu      sync.Mutex
	address string
	nc      net.Conn // of the watch
	asked   string   // the address that it is to
	ended   bool
	moved   chan struct{}
}

// Start follows the list from what was known on: known is told first, as a
// stored list. Stop ends it.
func Start(known *List, opt Options) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{opt: opt, stop: cancel, done: make(chan struct{}), book: book{}, address: opt.Address,
		moved: make(chan struct{}, 1)}
	f.book.take(known)
	f.tell(arrowwalk.ListStored, known)
	go f.run(ctx, known.Index)
	return f
}

// tell hands a list to the module.
func (f *Follower) tell(kind arrowwalk.ListKind, l *List) {
	members := l.Members(f.opt.Zones)
	for i := range members {
		if f.opt.NoStart {
			members[i].Started = 0
		}
	}
	f.opt.Told(kind, l.Index, members)
}

// Stop ends the watch.
func (f *Follower) Stop() {
	f.stop()
	f.mu.Lock()
	f.ended = true
	f.hangUp()
	f.mu.Unlock()
	<-f.done
}

// Move follows the agent at another address from now on; false: it is the one
// that is followed.
func (f *Follower) Move(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return false
	}
	f.address = address
	f.hangUp()
	select {
	case f.moved <- struct{}{}:
	default:
	}
	return true
}

// hangUp ends the watch that is open; the caller holds f.mu.
func (f *Follower) hangUp() {
	if f.nc != nil {
		f.nc.SetDeadline(time.Unix(1, 0))
	}
}

// run watches until ctx ends.
func (f *Follower) run(ctx context.Context, index int64) {
	defer close(f.done)
	wait, logged := waitLeast, false
	for ctx.Err() == nil {
		began := index
		err := f.watch(ctx, &index)
		if ctx.Err() != nil {
			return
		}
		if index != began {
			wait, logged = waitLeast, false
		}
		if !logged {
			f.opt.Log.Warn("the watch on discovery ended, asking again", "error", err)
			logged = true
		}
		if !f.pause(ctx, wait) {
			wait = waitLeast
			continue
		}
		wait = min(2*wait, waitMost)
	}
}

// pause waits; false: the address is another one now.
func (f *Follower) pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.moved:
		return false
	}
	return true
}

// watch keeps one watch until it breaks; index becomes that of the last list.
func (f *Follower) watch(ctx context.Context, index *int64) error {
	f.mu.Lock()
	address := f.address
	f.mu.Unlock()
	dial, cancel := context.WithTimeout(ctx, dialMost)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(dial, "tcp", address)
	if err != nil {
		return err
	}
	defer nc.Close()
	if !f.hold(nc, address) {
		return nil
	}
	defer f.hold(nil, "")
	if err := f.quiet(nc); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(nc, "GET /v1/servers?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\n\r\n", *index, address); err != nil {
		return err
	}
	in := bufio.NewReaderSize(nc, 4<<10)
	var head http1.Response
	if err := http1.NewReader(in, http1.DefaultLimits).ReadResponse(&head, "GET"); err != nil {
		return err
	}
	if head.Status != 200 {
		return fmt.Errorf("discovery answers %d", head.Status)
	}
	var body http1.Body
	body.Reset(in, head.Framing)
	return f.lines(nc, &body, index)
}

// hold notes the watch's connection; false: the address is another one now.
func (f *Follower) hold(nc net.Conn, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if nc != nil && (address != f.address || f.ended) {
		return false
	}
	f.nc, f.asked = nc, address
	return true
}

// quiet sets by when something must come, unless the watch is to end.
func (f *Follower) quiet(nc net.Conn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || f.asked != f.address {
		return net.ErrClosed
	}
	return nc.SetReadDeadline(time.Now().Add(quietMost))
}

var errLong = fmt.Errorf("a line of discovery is over %d bytes", lineMost)

// lines takes one list a line.
func (f *Follower) lines(nc net.Conn, body io.Reader, index *int64) error {
	var line []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := body.Read(buf)
		for part := buf[:n]; len(part) > 0; {
			end := bytes.IndexByte(part, '\n')
			if end < 0 {
				line = append(line, part...)
				break
			}
			line = append(line, part[:end]...)
			part = part[end+1:]
			if err := f.take(line, index); err != nil {
				return err
			}
			line = line[:0]
		}
		if len(line) > lineMost {
			return errLong
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if cap(line) > 64<<10 && len(line) == 0 {
			line = nil
		}
		if err := f.quiet(nc); err != nil {
			return err
		}
	}
}

// take hands on one line.
func (f *Follower) take(line []byte, index *int64) error {
	if line = bytes.TrimSpace(line); len(line) == 0 {
		return nil
	}
	l := &List{}
	if err := json.Unmarshal(line, l); err != nil {
		return fmt.Errorf("a line of discovery: %w", err)
	}
	if err := l.sift(); err != nil {
		f.opt.Log.Warn("entries of discovery are passed over", "index", l.Index, "error", err)
	}
	*index = l.Index
	f.tell(l.Kind(), l)
	f.book.take(l)
	f.opt.Reached(f.book.addresses())
	return nil
}
