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

// NodeSink is who is told of nodes: the host.
type NodeSink interface {
	Nodes(kind arrowwalk.ListKind, version int64, members []host.Member)
}

// Prober asks a brick who it is.
type Prober interface {
	Probe(ctx context.Context, address, name string) (what trust.Observation, started int64)
}

// TrackerOptions of a Keeper.
type TrackerOptions struct {
	Topology    Topology
	Host        NodeSink
	Prober      Prober
	CacheDir    string // directory of the kept list; "": none is kept
	Log         *slog.Logger
	OnAddresses func(addresses []string) // told of the addresses in use; nil: nobody
	OnList      func([]host.Member)      // told of each list before the host; nil: nobody
	Overlay     func(*host.Member)       // makes of a member what others than the source say; nil: nothing
	TrustCache  bool                     // take a kept list for the truth; for measurements only
	Now         func() time.Time         // nil: time.Now
}

// Tracker puts sources, the kept list and the decisions of trust together, and
// tells the host. One goroutine owns all its state.
type Tracker struct {
	opt    TrackerOptions
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
	doubts  *trust.Verifier
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
	what    trust.Observation
	started int64
}

type failure struct{ err error }

// StartTracker opens the cache, tells the host of the kept list as far as it is
// believed, and waits for sources. The error is that of the cache's lock: a
// damaged or missing list is told in the log and the host starts without.
func StartTracker(opt TrackerOptions) (*Tracker, error) {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k := &Tracker{opt: opt, log: opt.Log, begun: time.Now(), inbox: make(chan any, 256), quit: make(chan struct{}), done: make(chan struct{}), stop: ctx}
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

func (k *Tracker) open() error {
	if k.opt.CacheDir == "" {
		return nil
	}
	dir, err := cache.Open(k.opt.CacheDir)
	if errors.Is(err, cache.ErrLocked) {
		return err
	}
	if err != nil { // a disk that takes nothing keeps nobody from serving
		k.log.Error("node list will not be kept", "cache", k.opt.CacheDir, "error", err)
	}
	k.dir = dir
	list, damage := cache.Load(k.opt.CacheDir)
	for _, d := range damage {
		if !errors.Is(d, cache.ErrNotFound) {
			k.log.Error("kept node list damaged", "error", d)
		}
	}
	k.kept = list
	switch {
	case list == nil:
		k.log.Warn("no node list is kept: requests are refused until discovery tells one", "cache", k.opt.CacheDir)
	case len(damage) > 0:
		k.log.Warn("using the node list kept before", "generation", list.Generation, "version", list.Version, "bricks", len(list.Bricks))
	}
	return nil
}

// Close stops the keeper and writes what is not written yet.
func (k *Tracker) Close() {
	k.once.Do(func() { close(k.quit) })
	<-k.done
}

func (k *Tracker) send(m any) {
	select {
	case k.inbox <- m:
	case <-k.quit:
	}
}

// Offer hands over a complete list of a source.
func (k *Tracker) Offer(source string, l *List) { k.send(offer{source, l}) }

// ReportFailure tells that a source cannot be read at the moment.
func (k *Tracker) ReportFailure(err error) { k.send(failure{err}) }

// Observe takes in what a client's request showed of a brick. It is cheap where
// nothing is doubted.
func (k *Tracker) Observe(name string, what trust.Observation, started int64) {
	if what == trust.Answered {
		k.served.Store(name, k.opt.Now().UnixMicro())
	}
	if !k.doubt.Load() {
		return
	}
	select {
	case k.inbox <- evidence{name, what, started}:
	default: // the next answer will tell
	}
}

// HasList tells whether the host was told of any list.
func (k *Tracker) HasList() bool { return k.known.Load() }

func (k *Tracker) now() time.Duration { return time.Since(k.begun) }

func (k *Tracker) run() {
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

func (k *Tracker) end() {
	k.save(true)
	k.asking.Wait()
	if k.dir != nil {
		k.dir.Close()
	}
}

func (k *Tracker) take(m any) {
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
func (k *Tracker) offered(o offer) {
	k.failing = ""
	answer, reason := k.gate.Decide(trust.Offer{Source: o.source, Version: o.list.Version, BrickCount: len(o.list.Bricks), At: k.now()})
	switch answer {
	case trust.Hold:
		k.log.Warn("node list held off", "source", o.source, "version", o.list.Version, "bricks", len(o.list.Bricks), "reason", reason)
		return
	case trust.Unchanged:
		k.confirm()
		return
	}
	k.log.Info("node list taken", "source", o.source, "version", o.list.Version, "bricks", len(o.list.Bricks))
	k.keep(o)
	k.live, k.doubts = true, nil
	k.doubt.Store(false)
	k.tell(arrowwalk.ListSnapshot, o.list.Version, o.list.Members(k.opt.Topology))
}

// keep makes an accepted list the one to be kept, and learns from what changed.
func (k *Tracker) keep(o offer) {
	now := k.opt.Now().UnixMicro()
	next := &cache.List{Header: cache.Header{Version: o.list.Version, Source: o.source, AcceptedAt: now}}
	before := map[string]cache.Entry{}
	if k.kept != nil {
		next.ChangeRate = k.kept.ChangeRate.Update(identities(k.kept.Bricks), identitiesOf(o.list), time.Duration(now-k.kept.AcceptedAt)*time.Microsecond)
		for _, e := range k.kept.Bricks {
			before[e.Name] = e
		}
	}
	for _, e := range o.list.Bricks {
		next.Bricks = append(next.Bricks, cache.Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard,
			State: e.State, Started: e.Started, LastConfirmed: now, LastServed: before[e.Name].LastServed})
	}
	k.kept, k.unsaved, k.saveAt = next, true, time.Now()
}

// confirm notes that the list that is held was confirmed.
func (k *Tracker) confirm() {
	if k.kept == nil {
		return
	}
	now := k.opt.Now().UnixMicro()
	span := time.Duration(now-k.kept.AcceptedAt) * time.Microsecond
	k.kept.ChangeRate = k.kept.ChangeRate.Update(identities(k.kept.Bricks), identities(k.kept.Bricks), span)
	k.kept.AcceptedAt = now
	for i := range k.kept.Bricks {
		k.kept.Bricks[i].LastConfirmed = now
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
func (k *Tracker) save(now bool) {
	if k.dir == nil || k.kept == nil || !k.unsaved || !now && time.Now().Before(k.saveAt) {
		return
	}
	k.unsaved = false
	for i := range k.kept.Bricks {
		if at, ok := k.served.Load(k.kept.Bricks[i].Name); ok {
			k.kept.Bricks[i].LastServed = at.(int64)
		}
	}
	if err := k.dir.Save(k.kept); err != nil {
		k.log.Error("node list not kept", "error", err)
	}
}

// tellKept tells the host of the kept list at its start.
func (k *Tracker) tellKept() {
	if k.kept == nil {
		return
	}
	now := k.opt.Now()
	age := map[string]time.Duration{}
	k.states = map[string]string{}
	for _, e := range k.kept.Bricks {
		k.states[e.Name] = e.State
		if e.LastConfirmed > 0 {
			age[e.Name] = now.Sub(time.UnixMicro(e.LastConfirmed))
		}
	}
	k.doubts = trust.NewVerifier(identities(k.kept.Bricks), age, k.kept.ChangeRate)
	k.doubt.Store(!k.opt.TrustCache)
	var members []host.Member
	levels := map[string]int{}
	for _, e := range k.doubts.Entries() {
		levels[e.Level.String()]++
		members = append(members, k.member(&e))
	}
	k.log.Warn("starting from the kept node list", "version", k.kept.Version, "source", k.kept.Source,
		"age", now.Sub(time.UnixMicro(k.kept.AcceptedAt)).Round(time.Second), "changes_per_brick_day", k.kept.ChangeRate.PerBrickHour()*24, "levels", levels)
	k.tell(arrowwalk.ListStored, k.kept.Version, members)
}

// member is an entry of the kept list as the host may believe it: what is
// doubted takes nothing, what is aged takes what a cold brick bears.
func (k *Tracker) member(e *trust.Entry) host.Member {
	entry := Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, Started: e.Started, State: k.states[e.Name]}
	m := entry.Member(k.opt.Topology)
	if m.Node.Zone < 0 || e.Shard >= k.opt.Topology.Shards {
		m.State = arrowwalk.Draining // of settings that have changed since
	}
	switch {
	case k.opt.TrustCache || m.State != arrowwalk.Ready:
	case !trust.MayServe(e.Level):
		m.State = arrowwalk.Draining
	case e.Level == trust.Aged:
		m.Started = arrowwalk.Micros(time.Now().UnixMicro())
	}
	return m
}

func (k *Tracker) tell(kind arrowwalk.ListKind, version int64, members []host.Member) {
	k.known.Store(true)
	if kind != arrowwalk.ListDelta {
		k.members = map[arrowwalk.NodeID]host.Member{}
	}
	for _, m := range members {
		k.members[m.ID] = m
	}
	k.version = version
	k.levels.Store(k.levelNames())
	if k.opt.OnList != nil {
		all := make([]host.Member, 0, len(k.members))
		for _, m := range k.members {
			all = append(all, m)
		}
		k.opt.OnList(all)
	}
	k.pass(kind, version, members)
	if k.opt.OnAddresses == nil || kind == arrowwalk.ListDelta {
		return
	}
	var addresses []string
	for _, m := range members {
		if m.State != arrowwalk.Removed {
			addresses = append(addresses, m.Address)
		}
	}
	k.opt.OnAddresses(addresses)
}

// overlay makes of members what others than the source say.
func (k *Tracker) overlay(members []host.Member) {
	if k.opt.Overlay == nil {
		return
	}
	for i := range members {
		k.opt.Overlay(&members[i])
	}
}

func (k *Tracker) levelNames() map[string]string {
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

// TrustLevels returns how far each brick is believed.
func (k *Tracker) TrustLevels() map[string]string {
	levels, _ := k.levels.Load().(map[string]string)
	return levels
}

// refresh has the host told of all bricks anew.
type refresh struct{ done chan struct{} }

// Refresh has the host told of all bricks again, after what Overlay says has
// changed; it returns when it was told.
func (k *Tracker) Refresh() {
	r := refresh{make(chan struct{})}
	k.send(r)
	select {
	case <-r.done:
	case <-k.done:
	}
}

// RefreshAsync is Refresh without the wait.
func (k *Tracker) RefreshAsync() {
	select {
	case k.inbox <- refresh{make(chan struct{})}:
	case <-k.quit:
	}
}

func (k *Tracker) refreshed(r refresh) {
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
func (k *Tracker) pass(kind arrowwalk.ListKind, version int64, members []host.Member) {
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
func (k *Tracker) ask() {
	if k.doubts == nil || k.opt.TrustCache || k.opt.Prober == nil {
		return
	}
	for _, id := range k.doubts.StartProbes(k.now(), askAtOnce) {
		k.asking.Add(1)
		go func() {
			defer k.asking.Done()
			ctx, cancel := context.WithTimeout(k.stop, askWait)
			defer cancel()
			what, started := k.opt.Prober.Probe(ctx, id.Address, id.Name)
			k.send(evidence{id.Name, what, started})
		}()
	}
}

// saw takes in what was seen of a doubted brick, and tells the host where that
// changes what may be sent.
func (k *Tracker) saw(v evidence) {
	if k.doubts == nil || !k.doubts.Observe(v.name, v.what, v.started, k.now()) {
		return
	}
	e, _ := k.doubts.Entry(v.name)
	k.log.Info("brick's trust changed", "brick", e.Name, "level", e.Level.String(), "started", e.Started)
	k.tell(arrowwalk.ListDelta, k.kept.Version, []host.Member{k.member(&e)})
	if e.Level == trust.Fresh {
		k.noteConfirmed(e)
	}
}

func (k *Tracker) noteConfirmed(e trust.Entry) {
	for i := range k.kept.Bricks {
		if k.kept.Bricks[i].Name == e.Name {
			k.kept.Bricks[i].LastConfirmed = k.opt.Now().UnixMicro()
			k.kept.Bricks[i].Started = e.Started
		}
	}
	if !k.unsaved {
		k.unsaved, k.saveAt = true, time.Now().Add(confirmSave)
	}
}
