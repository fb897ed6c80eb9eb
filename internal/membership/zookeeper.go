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

// ZKOptions configures a ZKSource or a Registrar.
type ZKOptions struct {
	Servers        []string      // HOST:PORT
	Root           string        // path of the node whose children are the bricks; "" means /arrowwalk/bricks
	SessionTimeout time.Duration // 0 means 5 s
	RelistInterval time.Duration // maximum time between two reads of the tree; 0 means 10 s
	Topology       Topology
	Log            *slog.Logger // nil discards the log
}

// defaults replaces zero values by the defaults.
func (opts *ZKOptions) defaults() {
	if opts.Root == "" {
		opts.Root = "/arrowwalk/bricks"
	}
	if opts.SessionTimeout == 0 {
		opts.SessionTimeout = 5 * time.Second
	}
	if opts.RelistInterval == 0 {
		opts.RelistInterval = 10 * time.Second
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
}

// ZKSource follows a tree of bricks in a coordination service that speaks the
// ZooKeeper protocol. Each list that it delivers is complete. The tree is read
// again after any watch has fired, after a failed read, and at intervals because a
// watch can be lost. The version of a list is the highest transaction id (zxid) of
// the tree.
type ZKSource struct {
	opts      ZKOptions
	onList    func(*List)
	onError   func(error)
	conn      *zk.Conn
	readNow   chan struct{} // buffered; makes run read the tree at once
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once

	children map[string]childState // last state of each child, by name
}

// childState holds the entry of a child and the transaction that last changed it.
type childState struct {
	entry Entry
	mzxid int64
	valid bool // entry passed validation
}

// FollowZK follows the tree until Close. It calls onList with each list and onError
// with each failed read, both from one goroutine.
func FollowZK(opts ZKOptions, onList func(*List), onError func(error)) (*ZKSource, error) {
	opts.defaults()
	conn, _, err := zk.Connect(opts.Servers, opts.SessionTimeout, zk.WithLogger(debugLogger{opts.Log}), zk.WithLogInfo(false))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	z := &ZKSource{opts: opts, onList: onList, onError: onError, conn: conn, readNow: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}), children: map[string]childState{}}
	go z.run()
	return z, nil
}

// debugLogger passes log lines of the client library on at debug level.
type debugLogger struct{ log *slog.Logger }

// Printf logs a line of the client library.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug("coordination service client", "line", fmt.Sprintf(format, args...))
}

// Close stops following the tree and ends the session.
func (z *ZKSource) Close() {
	z.closeOnce.Do(func() { close(z.stop); z.conn.Close() })
	<-z.done
}

// ReadNow makes the tree be read at once. It does not wait.
func (z *ZKSource) ReadNow() {
	select {
	case z.readNow <- struct{}{}:
	default:
	}
}

// Bounds of the delay after a failed read, which doubles with each failure. The
// maximum is far below the session timeout.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

func (z *ZKSource) run() {
	defer close(z.done)
	delay := minRetryDelay
	for {
		list, changed, err := z.readTree()
		select {
		case <-z.stop:
			return
		default:
		}
		if err != nil {
			z.onError(err)
			if !z.waitForChange(delay, nil) {
				return
			}
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		z.onList(list)
		if !z.waitForChange(z.opts.RelistInterval, changed) {
			return
		}
	}
}

// waitForChange waits until changed is closed or the timeout has passed. It returns
// false if the source was closed.
func (z *ZKSource) waitForChange(timeout time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-z.readNow:
	case <-z.stop:
		return false
	}
	return true
}

// maxConcurrentReads bounds the children that are read concurrently.
const maxConcurrentReads = 16

// readTree reads the whole tree and sets watches on all of its nodes. The returned
// channel is closed when one of them fires.
func (z *ZKSource) readTree() (*List, <-chan struct{}, error) {
	readAt := time.Now()
	names, stat, events, err := z.conn.ChildrenW(z.opts.Root)
	if err != nil {
		if errors.Is(err, zk.ErrNoNode) {
			return nil, nil, fmt.Errorf("discovery: %s does not exist", z.opts.Root)
		}
		return nil, nil, fmt.Errorf("discovery: list %s: %w", z.opts.Root, err)
	}
	signal := &changeSignal{changed: make(chan struct{}), stop: z.stop}
	signal.watch(events)
	slices.Sort(names)
	found, err := z.readChildren(names, signal)
	if err != nil {
		signal.fire()
		return nil, nil, err
	}
	list := &List{Version: stat.Pzxid, ReadAt: readAt, Tree: stat.Czxid}
	next := make(map[string]childState, len(names))
	for i, name := range names {
		if found[i].mzxid == 0 { // removed since the root was read; the watch on the root fires
			continue
		}
		next[name] = found[i]
		list.Version = max(list.Version, found[i].mzxid)
		if found[i].valid {
			list.Bricks = append(list.Bricks, found[i].entry)
		}
	}
	z.children = next
	return list, signal.changed, nil
}

// changeSignal closes one channel when the first of many one-shot watches fires.
type changeSignal struct {
	closeOnce sync.Once
	changed   chan struct{}
	stop      chan struct{}
}

func (s *changeSignal) fire() { s.closeOnce.Do(func() { close(s.changed) }) }

// watch fires the signal on the first event.
func (s *changeSignal) watch(events <-chan zk.Event) {
	go func() {
		select {
		case <-events:
			s.fire()
		case <-s.changed:
		case <-s.stop:
		}
	}()
}

// readChildren reads the children with up to maxConcurrentReads goroutines.
func (z *ZKSource) readChildren(names []string, signal *changeSignal) ([]childState, error) {
	found, errs := make([]childState, len(names)), make([]error, len(names))
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(maxConcurrentReads, len(names)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				found[i], errs[i] = z.readChild(names[i], signal)
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

// readChild reads one child and sets a watch on it. An invalid child is logged and
// marked, not returned as an error, so that the others can still be followed.
func (z *ZKSource) readChild(name string, signal *changeSignal) (childState, error) {
	data, stat, events, err := z.conn.GetW(path.Join(z.opts.Root, name))
	if errors.Is(err, zk.ErrNoNode) {
		return childState{}, nil
	}
	if err != nil {
		return childState{}, fmt.Errorf("discovery: read %s: %w", name, err)
	}
	signal.watch(events)
	child := childState{mzxid: stat.Mzxid}
	err = json.Unmarshal(data, &child.entry)
	if err == nil && child.entry.Name != name {
		err = fmt.Errorf("name: %q: does not match the name of its node, %q", child.entry.Name, name)
	}
	if err == nil {
		err = child.entry.Validate(z.opts.Topology)
	}
	if err != nil {
		if old, known := z.children[name]; !known || old.mzxid != stat.Mzxid {
			z.opts.Log.Warn("invalid brick omitted from the node list", "node", name, "error", err)
		}
		return child, nil
	}
	child.valid = true
	return child, nil
}

// Registrar maintains the ephemeral node that announces a brick. It creates the
// node when a session begins, and again after a session was lost, unless another brick has
// taken this one's place meanwhile.
type Registrar struct {
	opts      ZKOptions
	entry     Entry
	guard     *ServingGuard
	conn      *zk.Conn
	stop      chan struct{}
	running   sync.WaitGroup
	closeOnce sync.Once

	registered bool // the node was this brick's once; owned by run
}

// Register announces a brick until Close, and confirms its guard while the brick's session
// is alive.
func Register(opts ZKOptions, entry Entry, guard *ServingGuard) (*Registrar, error) {
	opts.defaults()
	if err := entry.Validate(opts.Topology); err != nil {
		return nil, fmt.Errorf("register brick: %w", err)
	}
	conn, events, err := zk.Connect(opts.Servers, opts.SessionTimeout, zk.WithLogger(debugLogger{opts.Log}), zk.WithLogInfo(false))
	if err != nil {
		return nil, fmt.Errorf("register brick: %w", err)
	}
	r := &Registrar{opts: opts, entry: entry, guard: guard, conn: conn, stop: make(chan struct{})}
	r.running.Go(func() { r.run(events) })
	r.running.Go(func() { guard.watch(r.stop, opts.SessionTimeout/runsPerSession) })
	return r, nil
}

// Close ends the session, which removes the node at once.
func (r *Registrar) Close() {
	r.closeOnce.Do(func() { close(r.stop); r.conn.Close() })
	r.running.Wait()
}

// maxCheckInterval is the longest time between checks of the node without events.
const maxCheckInterval = time.Second

// In the time of a session the node is checked checksPerSession times at least, and the
// process is seen to run runsPerSession times.
const (
	checksPerSession = 4
	runsPerSession   = 16
)

func (r *Registrar) run(events <-chan zk.Event) {
	ticker := time.NewTicker(min(maxCheckInterval, r.opts.SessionTimeout/checksPerSession))
	defer ticker.Stop()
	lastError := ""
	for {
		select {
		case <-r.stop:
			return
		case e, ok := <-events:
			if !ok {
				events = nil
			}
			if e.State != zk.StateHasSession {
				continue
			}
		case <-ticker.C:
		}
		err := r.ensureRegistered()
		if errors.Is(err, errReplaced) {
			r.guard.replace()
			r.opts.Log.Error("brick was replaced and serves nothing any more: end this process", "brick", r.entry.Name, "error", err)
			r.conn.Close() // hosts must not wait for a node of this session
			return
		}
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			r.opts.Log.Warn("brick not registered", "brick", r.entry.Name, "error", err)
		} else if err == nil && lastError != "" {
			lastError = ""
			r.opts.Log.Info("brick registered", "brick", r.entry.Name)
		}
	}
}

// ensureRegistered creates or updates the node unless it exists, belongs to this
// session and holds the current entry, and confirms the guard.
func (r *Registrar) ensureRegistered() error {
	if r.conn.State() != zk.StateHasSession {
		return errors.New("no session with the coordination service")
	}
	askedAt := r.guard.beginCheck()
	if err := r.updateNode(); err != nil {
		return err
	}
	r.registered = true
	r.guard.confirm(askedAt)
	return nil
}

// errReplaced is the error of a brick whose place another one has taken.
var errReplaced = errors.New("another brick has taken its place")

// updateNode creates or updates the node.
func (r *Registrar) updateNode() error {
	nodePath := path.Join(r.opts.Root, r.entry.Name)
	text, err := json.Marshal(r.entry)
	if err != nil {
		return err
	}
	data, stat, err := r.conn.Get(nodePath)
	switch {
	case err == nil && stat.EphemeralOwner == r.conn.SessionID():
		if string(data) == string(text) {
			return nil
		}
		_, err = r.conn.Set(nodePath, text, stat.Version)
		return err
	case err == nil && r.registered && string(data) != string(text):
		return fmt.Errorf("%w: node %s is another process's", errReplaced, nodePath)
	case err == nil: // belongs to an earlier session that has not expired yet, or to a predecessor
		if err := r.conn.Delete(nodePath, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
			return err
		}
	case !errors.Is(err, zk.ErrNoNode):
		return err
	}
	if r.registered {
		if err := r.checkSuccessor(); err != nil {
			return err
		}
	}
	if err := createParents(r.conn, r.opts.Root); err != nil {
		return err
	}
	_, err = r.conn.Create(nodePath, text, zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	return err
}

// checkSuccessor returns errReplaced if a brick that started later is registered for the
// shard. Hosts send to the one that started last.
func (r *Registrar) checkSuccessor() error {
	names, _, err := r.conn.Children(r.opts.Root)
	if errors.Is(err, zk.ErrNoNode) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, name := range names {
		data, _, err := r.conn.Get(path.Join(r.opts.Root, name))
		if errors.Is(err, zk.ErrNoNode) {
			continue
		}
		if err != nil {
			return err
		}
		var other Entry
		if json.Unmarshal(data, &other) == nil && other.Shard == r.entry.Shard && other.Started > r.entry.Started {
			return fmt.Errorf("%w: %s started later and has shard %d", errReplaced, name, other.Shard)
		}
	}
	return nil
}

// createParents creates the nodes on the path to root that do not exist.
func createParents(conn *zk.Conn, root string) error {
	nodePath := ""
	for _, part := range strings.Split(strings.Trim(root, "/"), "/") {
		nodePath += "/" + part
		if _, err := conn.Create(nodePath, nil, 0, zk.WorldACL(zk.PermAll)); err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return nil
}
