package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-zookeeper/zk"
)

// ZKOptions say where discovery is.
type ZKOptions struct {
	Servers        []string // HOST:PORT
	Root           string   // the node whose children are bricks
	SessionTimeout time.Duration
	RelistInterval time.Duration // the tree is read again so often, whatever watches say
	Topology       Topology
	Log            *slog.Logger
}

func (o *ZKOptions) defaults() {
	if o.Root == "" {
		o.Root = "/arrowwalk/bricks"
	}
	if o.SessionTimeout == 0 {
		o.SessionTimeout = 5 * time.Second
	}
	if o.RelistInterval == 0 {
		o.RelistInterval = 10 * time.Second
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// ZKSource follows a tree of bricks in a coordination service over the
// ZooKeeper protocol. Each list that it tells is complete: read anew after any
// watch fired, after each gap and at intervals, since a watch can be lost. Its
// version is the greatest transaction id (zxid) of the tree.
type ZKSource struct {
	opt  ZKOptions
	tell func(*List)
	fail func(error)
	conn *zk.Conn
	quit chan struct{}
	done chan struct{}
	once sync.Once

	cache map[string]cached // what is known of each child, by name
}

// cached is a child's entry and the transaction that last changed it.
type cached struct {
	entry Entry
	mzxid int64
	good  bool
}

// FollowZK follows the tree until Close. tell gets each list that was read,
// fail each error; both from one goroutine.
func FollowZK(opt ZKOptions, tell func(*List), fail func(error)) (*ZKSource, error) {
	opt.defaults()
	conn, _, err := zk.Connect(opt.Servers, opt.SessionTimeout, zk.WithLogger(quietLog{opt.Log}), zk.WithLogInfo(false))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	z := &ZKSource{opt: opt, tell: tell, fail: fail, conn: conn, quit: make(chan struct{}), done: make(chan struct{}), cache: map[string]cached{}}
	go z.run()
	return z, nil
}

// quietLog passes the client's lines on at the lowest level.
type quietLog struct{ log *slog.Logger }

// Printf logs a line of the client library.
func (q quietLog) Printf(format string, args ...any) {
	q.log.Debug("coordination client", "line", fmt.Sprintf(format, args...))
}

// Close stops following and ends the session.
func (z *ZKSource) Close() {
	z.once.Do(func() { close(z.quit); z.conn.Close() })
	<-z.done
}

// Waits after a failure: doubled up to the most, far inside a session.
const (
	againFirst = 50 * time.Millisecond
	againMost  = 2 * time.Second
)

func (z *ZKSource) run() {
	defer close(z.done)
	wait := againFirst
	for {
		list, changed, err := z.read()
		select {
		case <-z.quit:
			return
		default:
		}
		if err != nil {
			z.fail(err)
			if !z.rest(wait, nil) {
				return
			}
			wait = min(2*wait, againMost)
			continue
		}
		wait = againFirst
		z.tell(list)
		if !z.rest(z.opt.RelistInterval, changed) {
			return
		}
	}
}

// rest waits for a change, or for span; false: the source was closed.
func (z *ZKSource) rest(span time.Duration, changed <-chan struct{}) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-z.quit:
		return false
	}
	return true
}

// readers is how many children are read at once.
const readers = 16

// read reads the whole tree and leaves watches on all of it. changed is closed
// when one of them fires.
func (z *ZKSource) read() (*List, <-chan struct{}, error) {
	names, stat, events, err := z.conn.ChildrenW(z.opt.Root)
	if err != nil {
		if errors.Is(err, zk.ErrNoNode) {
			return nil, nil, fmt.Errorf("discovery: %s is not there", z.opt.Root)
		}
		return nil, nil, fmt.Errorf("discovery: list %s: %w", z.opt.Root, err)
	}
	w := &watching{changed: make(chan struct{}), quit: z.quit}
	w.on(events)
	slices.Sort(names)
	found, err := z.readAll(names, w)
	if err != nil {
		w.end()
		return nil, nil, err
	}
	list := &List{Version: stat.Pzxid}
	next := make(map[string]cached, len(names))
	for i, name := range names {
		if found[i].mzxid == 0 { // left between the two reads; the watch on the root tells
			continue
		}
		next[name] = found[i]
		list.Version = max(list.Version, found[i].mzxid)
		if found[i].good {
			list.Bricks = append(list.Bricks, found[i].entry)
		}
	}
	z.cache = next
	return list, w.changed, nil
}

// watching turns the first of many one-shot watches into one signal.
type watching struct {
	once    sync.Once
	changed chan struct{}
	quit    chan struct{}
}

func (w *watching) end() { w.once.Do(func() { close(w.changed) }) }

func (w *watching) on(events <-chan zk.Event) {
	go func() {
		select {
		case <-events:
			w.end()
		case <-w.changed:
		case <-w.quit:
		}
	}()
}

func (z *ZKSource) readAll(names []string, w *watching) ([]cached, error) {
	found, errs := make([]cached, len(names)), make([]error, len(names))
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(readers, len(names)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				found[i], errs[i] = z.readOne(names[i], w)
			}
		}()
	}
	for i := range names {
		next <- i
	}
	close(next)
	wg.Wait()
	return found, errors.Join(errs...)
}

// readOne reads one child. One that makes no sense is left out and named, so
// that it does not keep the others from being followed.
func (z *ZKSource) readOne(name string, w *watching) (cached, error) {
	data, stat, events, err := z.conn.GetW(path.Join(z.opt.Root, name))
	if errors.Is(err, zk.ErrNoNode) {
		return cached{}, nil
	}
	if err != nil {
		return cached{}, fmt.Errorf("discovery: read %s: %w", name, err)
	}
	w.on(events)
	c := cached{mzxid: stat.Mzxid}
	err = json.Unmarshal(data, &c.entry)
	if err == nil && c.entry.Name != name {
		err = fmt.Errorf("name: %q: its node is called %q", c.entry.Name, name)
	}
	if err == nil {
		err = c.entry.Validate(z.opt.Topology)
	}
	if err != nil {
		if old, known := z.cache[name]; !known || old.mzxid != stat.Mzxid {
			z.opt.Log.Warn("brick left out of the list", "node", name, "error", err)
		}
		return c, nil
	}
	c.good = true
	return c, nil
}

// Registrar keeps a brick's ephemeral node in place: it is made when a session
// begins and made anew when one was lost.
type Registrar struct {
	opt   ZKOptions
	entry Entry
	conn  *zk.Conn
	quit  chan struct{}
	done  chan struct{}
	once  sync.Once
}

// Register announces a brick until Close.
func Register(opt ZKOptions, entry Entry) (*Registrar, error) {
	opt.defaults()
	if err := entry.Validate(opt.Topology); err != nil {
		return nil, fmt.Errorf("register brick: %w", err)
	}
	conn, events, err := zk.Connect(opt.Servers, opt.SessionTimeout, zk.WithLogger(quietLog{opt.Log}), zk.WithLogInfo(false))
	if err != nil {
		return nil, fmt.Errorf("register brick: %w", err)
	}
	r := &Registrar{opt: opt, entry: entry, conn: conn, quit: make(chan struct{}), done: make(chan struct{})}
	go r.run(events)
	return r, nil
}

// Close ends the session, so that the node is gone at once.
func (r *Registrar) Close() {
	r.once.Do(func() { close(r.quit); r.conn.Close() })
	<-r.done
}

// registerEvery is how often the node is looked at without an event.
const registerEvery = time.Second

func (r *Registrar) run(events <-chan zk.Event) {
	defer close(r.done)
	tick := time.NewTicker(registerEvery)
	defer tick.Stop()
	bad := ""
	for {
		select {
		case <-r.quit:
			return
		case e, ok := <-events:
			if !ok {
				events = nil
			}
			if e.State != zk.StateHasSession {
				continue
			}
		case <-tick.C:
		}
		if err := r.ensure(); err != nil && err.Error() != bad {
			bad = err.Error()
			r.opt.Log.Warn("brick not registered", "brick", r.entry.Name, "error", err)
		} else if err == nil && bad != "" {
			bad = ""
			r.opt.Log.Info("brick registered", "brick", r.entry.Name)
		}
	}
}

// ensure makes the node unless it is there and of this session.
func (r *Registrar) ensure() error {
	if r.conn.State() != zk.StateHasSession {
		return errors.New("no session")
	}
	at := path.Join(r.opt.Root, r.entry.Name)
	text, err := json.Marshal(r.entry)
	if err != nil {
		return err
	}
	data, stat, err := r.conn.Get(at)
	switch {
	case err == nil && stat.EphemeralOwner == r.conn.SessionID():
		if string(data) == string(text) {
			return nil
		}
		_, err = r.conn.Set(at, text, stat.Version)
		return err
	case err == nil: // of a session that has not expired yet
		if err := r.conn.Delete(at, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
			return err
		}
	case !errors.Is(err, zk.ErrNoNode):
		return err
	}
	if err := makeParents(r.conn, r.opt.Root); err != nil {
		return err
	}
	_, err = r.conn.Create(at, text, zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	return err
}

func makeParents(conn *zk.Conn, root string) error {
	at := ""
	for _, part := range strings.Split(strings.Trim(root, "/"), "/") {
		at += "/" + part
		if _, err := conn.Create(at, nil, 0, zk.WorldACL(zk.PermAll)); err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return nil
}
