package membership

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk"
	"arrowwalk/internal/host"
	"arrowwalk/internal/membership/cache"
	"arrowwalk/internal/membership/trust"
)

// Teller is who is told of nodes: the host.
type Teller interface {
	Nodes(kind arrowwalk.ListKind, version int64, members []host.Member)
}

// Asker asks a brick who it is.
type Asker interface {
	Ask(ctx context.Context, address, name string) (what trust.Evidence, started int64)
}

// KeeperOptions of a Keeper.
type KeeperOptions struct {
	Shape   Shape
	Host    Teller
	Asker   Asker
	Cache   string // directory of the kept list; "": none is kept
	Log     *slog.Logger
	Reached func(addresses []string) // told of the addresses in use; nil: nobody
	Listed  func([]host.Member)      // told of each list before the host; nil: nobody
	Overlay func(*host.Member)       // makes of a member what others than the source say; nil: nothing
	Blind   bool                     // take a kept list for the truth; for measurements only
	Wall    func() time.Time         // nil: time.Now
}

// Keeper puts sources, the kept list and the decisions of trust together, and
// tells the host. One goroutine owns all its state.
type Keeper struct {
	opt    KeeperOptions
	log    *slog.Logger
	dir    *cache.Dir
	begun  time.Time
	inbox  chan any
	quit   chan struct{}
	done   chan struct{}
	once   sync.Once
	asking sync.WaitGroup
	doubt  atomic.Bool  // evidence is wanted of ordinary answers
	known  atomic.Bool  // the host has a list
	levels atomic.Value // map[string]string
	served sync.Map     // brick to when it last answered this host, microseconds since 1970

	// The rest is the goroutine's.
	gate    *trust.Gate
	kept    *cache.List
	doubts  *trust.Doubts
	states  map[string]string                // of the kept list's bricks
	members map[arrowwalk.NodeID]host.Member // as the source, or the kept list, has them
	told    map[arrowwalk.NodeID]host.Member // as the host was told
	version int64
	live    bool // a source has told a list
	stop    context.Context
	saveAt  time.Time
	unsaved bool
	failing string
}

// Patience of the gate (trust.Gate), and with which a list that is only
// confirmed is written again.
const (
	backFor     = 30 * time.Second
	emptyFor    = 30 * time.Second
	emptyTimes  = 3
	confirmSave = 30 * time.Second
	askTick     = 50 * time.Millisecond
	askAtOnce   = 16
	askWait     = 2 * time.Second
)

type offer struct {
	source string
	list   *List
}

type evidence struct {
	name    string
	what    trust.Evidence
	started int64
}

type failure struct{ err error }

// StartKeeper opens the cache, tells the host of the kept list as far as it is
// believed, and waits for sources. The error is that of the cache's lock: a
// damaged or missing list is told in the log and the host starts without.
func StartKeeper(opt KeeperOptions) (*Keeper, error) {
	if opt.Wall == nil {
		opt.Wall = time.Now
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{opt: opt, log: opt.Log, begun: time.Now(), inbox: make(chan any, 256), quit: make(chan struct{}), done: make(chan struct{}), stop: ctx}
	if err := k.open(); err != nil {
		cancel()
		return nil, err
	}
	known := 0
	if k.kept != nil {
		known = len(k.kept.Bricks)
	}
	k.gate = trust.NewGate(backFor, emptyFor, emptyTimes, known)
	k.tellKept()
	go func() {
		defer cancel()
		k.run()
	}()
	return k, nil
}

func (k *Keeper) open() error {
	if k.opt.Cache == "" {
		return nil
	}
	dir, err := cache.Open(k.opt.Cache)
	if errors.Is(err, cache.ErrLocked) {
		return err
	}
	if err != nil { // a disk that takes nothing keeps nobody from serving
		k.log.Error("node list will not be kept", "cache", k.opt.Cache, "error", err)
	}
	k.dir = dir
	list, damage := cache.Load(k.opt.Cache)
	for _, d := range damage {
		if !errors.Is(d, cache.ErrNone) {
			k.log.Error("kept node list damaged", "error", d)
		}
	}
	k.kept = list
	switch {
	case list == nil:
		k.log.Warn("no node list is kept: requests are refused until discovery tells one", "cache", k.opt.Cache)
	case len(damage) > 0:
		k.log.Warn("using the node list kept before", "generation", list.Generation, "version", list.Version, "bricks", len(list.Bricks))
	}
	return nil
}

// Close stops the keeper and writes what is not written yet.
func (k *Keeper) Close() {
	k.once.Do(func() { close(k.quit) })
	<-k.done
}

func (k *Keeper) send(m any) {
	select {
	case k.inbox <- m:
	case <-k.quit:
	}
}

// Offer hands over a complete list of a source.
func (k *Keeper) Offer(source string, l *List) { k.send(offer{source, l}) }

// Failed tells that a source cannot be read at the moment.
func (k *Keeper) Failed(err error) { k.send(failure{err}) }

// Seen takes in what a client's request showed of a brick. It is cheap where
// nothing is doubted.
func (k *Keeper) Seen(name string, what trust.Evidence, started int64) {
	if what == trust.Answered {
		k.served.Store(name, k.opt.Wall().UnixMicro())
	}
	if !k.doubt.Load() {
		return
	}
	select {
	case k.inbox <- evidence{name, what, started}:
	default: // the next answer will tell
	}
}

// Known tells whether the host was told of any list.
func (k *Keeper) Known() bool { return k.known.Load() }

func (k *Keeper) now() time.Duration { return time.Since(k.begun) }

func (k *Keeper) run() {
	defer close(k.done)
	tick := time.NewTicker(askTick)
	defer tick.Stop()
	for {
		select {
		case <-k.quit:
			k.end()
			return
		case m := <-k.inbox:
			k.take(m)
		case <-tick.C:
			k.ask()
			k.save(false)
		}
	}
}

func (k *Keeper) end() {
	k.save(true)
	k.asking.Wait()
	if k.dir != nil {
		k.dir.Close()
	}
}

func (k *Keeper) take(m any) {
	switch m := m.(type) {
	case offer:
		k.offered(m)
	case evidence:
		k.saw(m)
	case refresh:
		k.refreshed(m)
	case failure:
		if text := m.err.Error(); text != k.failing {
			k.failing = text
			k.log.Warn("discovery out of reach", "error", m.err, "live", k.live)
		}
	}
}

// offered decides on a list that a source tells.
func (k *Keeper) offered(o offer) {
	k.failing = ""
	answer, reason := k.gate.Offer(trust.Offer{Source: o.source, Version: o.list.Version, Bricks: len(o.list.Bricks), At: k.now()})
	switch answer {
	case trust.Hold:
		k.log.Warn("node list held off", "source", o.source, "version", o.list.Version, "bricks", len(o.list.Bricks), "reason", reason)
		return
	case trust.Same:
		k.confirm()
		return
	}
	k.log.Info("node list taken", "source", o.source, "version", o.list.Version, "bricks", len(o.list.Bricks))
	k.keep(o)
	k.live, k.doubts = true, nil
	k.doubt.Store(false)
	k.tell(arrowwalk.ListSnapshot, o.list.Version, o.list.Members(k.opt.Shape))
}

// keep makes an accepted list the one to be kept, and learns from what changed.
func (k *Keeper) keep(o offer) {
	now := k.opt.Wall().UnixMicro()
	next := &cache.List{Header: cache.Header{Version: o.list.Version, Source: o.source, Taken: now}}
	before := map[string]cache.Entry{}
	if k.kept != nil {
		next.Rate = k.kept.Rate.Learn(identities(k.kept.Bricks), identitiesOf(o.list), time.Duration(now-k.kept.Taken)*time.Microsecond)
		for _, e := range k.kept.Bricks {
			before[e.Name] = e
		}
	}
	for _, e := range o.list.Bricks {
		next.Bricks = append(next.Bricks, cache.Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard,
			State: e.State, Started: e.Started, Confirmed: now, Served: before[e.Name].Served})
	}
	k.kept, k.unsaved, k.saveAt = next, true, time.Now()
}

// confirm notes that the list that is held was confirmed.
func (k *Keeper) confirm() {
	if k.kept == nil {
		return
	}
	now := k.opt.Wall().UnixMicro()
	span := time.Duration(now-k.kept.Taken) * time.Microsecond
	k.kept.Rate = k.kept.Rate.Learn(identities(k.kept.Bricks), identities(k.kept.Bricks), span)
	k.kept.Taken = now
	for i := range k.kept.Bricks {
		k.kept.Bricks[i].Confirmed = now
	}
	if !k.unsaved {
		k.unsaved, k.saveAt = true, time.Now().Add(confirmSave)
	}
}

func identities(list []cache.Entry) []trust.Identity {
	out := make([]trust.Identity, len(list))
	for i, e := range list {
		out[i] = trust.Identity{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, Started: e.Started}
	}
	return out
}

func identitiesOf(l *List) []trust.Identity {
	out := make([]trust.Identity, len(l.Bricks))
	for i, e := range l.Bricks {
		out[i] = trust.Identity{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, Started: e.Started}
	}
	return out
}

// save writes the kept list when it is due.
func (k *Keeper) save(now bool) {
	if k.dir == nil || k.kept == nil || !k.unsaved || !now && time.Now().Before(k.saveAt) {
		return
	}
	k.unsaved = false
	for i := range k.kept.Bricks {
		if at, ok := k.served.Load(k.kept.Bricks[i].Name); ok {
			k.kept.Bricks[i].Served = at.(int64)
		}
	}
	if err := k.dir.Save(k.kept); err != nil {
		k.log.Error("node list not kept", "error", err)
	}
}

// tellKept tells the host of the kept list at its start.
func (k *Keeper) tellKept() {
	if k.kept == nil {
		return
	}
	now := k.opt.Wall()
	age := map[string]time.Duration{}
	k.states = map[string]string{}
	for _, e := range k.kept.Bricks {
		k.states[e.Name] = e.State
		if e.Confirmed > 0 {
			age[e.Name] = now.Sub(time.UnixMicro(e.Confirmed))
		}
	}
	k.doubts = trust.NewDoubts(identities(k.kept.Bricks), age, k.kept.Rate)
	k.doubt.Store(!k.opt.Blind)
	var members []host.Member
	levels := map[string]int{}
	for _, e := range k.doubts.Entries() {
		levels[e.Level.String()]++
		members = append(members, k.member(&e))
	}
	k.log.Warn("starting from the kept node list", "version", k.kept.Version, "source", k.kept.Source,
		"age", now.Sub(time.UnixMicro(k.kept.Taken)).Round(time.Second), "changes_per_brick_day", k.kept.Rate.PerHour()*24, "levels", levels)
	k.tell(arrowwalk.ListStored, k.kept.Version, members)
}

// member is an entry of the kept list as the host may believe it: what is
// doubted takes nothing, what is aged takes what a cold brick bears.
func (k *Keeper) member(e *trust.Entry) host.Member {
	entry := Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, Started: e.Started, State: k.states[e.Name]}
	m := entry.Member(k.opt.Shape)
	if m.Node.Zone < 0 || e.Shard >= k.opt.Shape.Shards {
		m.State = arrowwalk.Draining // of settings that have changed since
	}
	switch {
	case k.opt.Blind || m.State != arrowwalk.Ready:
	case !trust.MayServe(e.Level):
		m.State = arrowwalk.Draining
	case e.Level == trust.Aged:
		m.Started = arrowwalk.Micros(time.Now().UnixMicro())
	}
	return m
}

func (k *Keeper) tell(kind arrowwalk.ListKind, version int64, members []host.Member) {
	k.known.Store(true)
	if kind != arrowwalk.ListDelta {
		k.members = map[arrowwalk.NodeID]host.Member{}
	}
	for _, m := range members {
		k.members[m.ID] = m
	}
	k.version = version
	k.levels.Store(k.levelNames())
	if k.opt.Listed != nil {
		all := make([]host.Member, 0, len(k.members))
		for _, m := range k.members {
			all = append(all, m)
		}
		k.opt.Listed(all)
	}
	k.pass(kind, version, members)
	if k.opt.Reached == nil || kind == arrowwalk.ListDelta {
		return
	}
	var addresses []string
	for _, m := range members {
		if m.State != arrowwalk.Removed {
			addresses = append(addresses, m.Address)
		}
	}
	k.opt.Reached(addresses)
}

// overlay makes of members what others than the source say.
func (k *Keeper) overlay(members []host.Member) {
	if k.opt.Overlay == nil {
		return
	}
	for i := range members {
		k.opt.Overlay(&members[i])
	}
}

func (k *Keeper) levelNames() map[string]string {
	levels := make(map[string]string, len(k.members))
	for id := range k.members {
		level := trust.Fresh
		if k.doubts != nil {
			if e, ok := k.doubts.Entry(string(id)); ok {
				level = e.Level
			}
		}
		levels[string(id)] = level.String()
	}
	return levels
}

// Levels returns how far each brick is believed.
func (k *Keeper) Levels() map[string]string {
	levels, _ := k.levels.Load().(map[string]string)
	return levels
}

// refresh has the host told of all bricks anew.
type refresh struct{ done chan struct{} }

// Refresh has the host told of all bricks again, after what Overlay says has
// changed; it returns when it was told.
func (k *Keeper) Refresh() {
	r := refresh{make(chan struct{})}
	k.send(r)
	select {
	case <-r.done:
	case <-k.done:
	}
}

// Nudge is Refresh without the wait.
func (k *Keeper) Nudge() {
	select {
	case k.inbox <- refresh{make(chan struct{})}:
	case <-k.quit:
	}
}

func (k *Keeper) refreshed(r refresh) {
	defer close(r.done)
	members := make([]host.Member, 0, len(k.members))
	for _, m := range k.members {
		members = append(members, m)
	}
	k.pass(arrowwalk.ListDelta, k.version, members)
}

// pass tells the host what is new to it. A complete list is passed on as its
// changes where the host has one already: a step's work follows from what
// changed, not from how many bricks there are.
func (k *Keeper) pass(kind arrowwalk.ListKind, version int64, members []host.Member) {
	members = slices.Clone(members)
	k.overlay(members)
	before := k.told
	if kind != arrowwalk.ListDelta {
		k.told = make(map[arrowwalk.NodeID]host.Member, len(members))
	}
	var changes []host.Member
	for _, m := range members {
		if old, known := before[m.ID]; !known || old != m {
			changes = append(changes, m)
		}
		k.told[m.ID] = m
	}
	if kind != arrowwalk.ListDelta && len(before) == 0 {
		k.opt.Host.Nodes(kind, version, members)
		return
	}
	if kind != arrowwalk.ListDelta {
		for id, old := range before {
			if _, there := k.told[id]; !there {
				old.State = arrowwalk.Removed
				changes = append(changes, old)
			}
		}
	}
	if len(changes) > 0 {
		k.opt.Host.Nodes(arrowwalk.ListDelta, version, changes)
	}
}

// ask asks doubted bricks who they are.
func (k *Keeper) ask() {
	if k.doubts == nil || k.opt.Blind || k.opt.Asker == nil {
		return
	}
	for _, id := range k.doubts.Ask(k.now(), askAtOnce) {
		k.asking.Add(1)
		go func() {
			defer k.asking.Done()
			ctx, cancel := context.WithTimeout(k.stop, askWait)
			defer cancel()
			what, started := k.opt.Asker.Ask(ctx, id.Address, id.Name)
			k.send(evidence{id.Name, what, started})
		}()
	}
}

// saw takes in what was seen of a doubted brick, and tells the host where that
// changes what may be sent.
func (k *Keeper) saw(v evidence) {
	if k.doubts == nil || !k.doubts.Saw(v.name, v.what, v.started, k.now()) {
		return
	}
	e, _ := k.doubts.Entry(v.name)
	k.log.Info("brick's trust changed", "brick", e.Name, "level", e.Level.String(), "started", e.Started)
	k.tell(arrowwalk.ListDelta, k.kept.Version, []host.Member{k.member(&e)})
	if e.Level == trust.Fresh {
		k.noteConfirmed(e)
	}
}

func (k *Keeper) noteConfirmed(e trust.Entry) {
	for i := range k.kept.Bricks {
		if k.kept.Bricks[i].Name == e.Name {
			k.kept.Bricks[i].Confirmed = k.opt.Wall().UnixMicro()
			k.kept.Bricks[i].Started = e.Started
		}
	}
	if !k.unsaved {
		k.unsaved, k.saveAt = true, time.Now().Add(confirmSave)
	}
}
