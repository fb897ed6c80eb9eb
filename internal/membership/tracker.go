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

// NodeSink receives node lists and changes to them. The host implements it.
type NodeSink interface {
	Nodes(kind arrowwalk.ListKind, version int64, members []host.Member)
	// ConfirmLists reports that a source was read at a time, after all that it said.
	ConfirmLists(readAt time.Time)
}

// Prober asks a brick to identify itself.
type Prober interface {
	// Probe asks the brick that is expected to be called name at address. started
	// is the start time that the brick reported, in microseconds since 1970.
	Probe(ctx context.Context, address, name string) (result trust.Observation, started int64)
}

// TrackerOptions configures a Tracker.
type TrackerOptions struct {
	Topology    Topology
	Host        NodeSink
	Prober      Prober
	CacheDir    string // directory of the cached list; "" disables the cache
	Log         *slog.Logger
	OnAddresses func(addresses []string) // called with the addresses of each list; may be nil
	OnList      func([]host.Member)      // called with all members before the host is notified; may be nil
	Overlay     func(*host.Member)       // applies states from other origins than the list, such as drains by operators; may be nil
	TrustCache  bool                     // use the cached list without verifying it; for measurements only
	Now         func() time.Time         // wall clock; nil means time.Now
}

// Tracker combines the lists of sources, the list cached on disk and the decisions
// of package trust, and reports the resulting members to the host. Its methods are
// safe for concurrent use; one goroutine owns its state.
type Tracker struct {
	opts       TrackerOptions
	log        *slog.Logger
	cacheDir   *cache.Dir
	startedAt  time.Time
	inbox      chan any
	stop       chan struct{}
	done       chan struct{}
	closeOnce  sync.Once
	probes     sync.WaitGroup
	verifying  atomic.Bool  // cached entries are still being verified, so Observe must pass on observations
	hasList    atomic.Bool  // the host has received a list
	levels     atomic.Value // map[string]string: trust level by brick name
	lastServed sync.Map     // brick name to the time of its last answer, in microseconds since 1970
	reading    readRequests

	// The fields below belong to the goroutine in run.
	gate         *trust.Gate
	cached       *cache.List                      // list to be saved; nil if there is none
	verifier     *trust.Verifier                  // of the cached list; nil once a source has delivered a list
	cachedStates map[string]string                // by brick name, of the cached list
	members      map[arrowwalk.NodeID]host.Member // as the source or the cached list has them, without the overlay
	reported     map[arrowwalk.NodeID]host.Member // as last reported to the host
	listVersion  int64                            // of the last list
	hasLiveList  bool                             // a source has delivered a list since the start
	ctx          context.Context                  // done when run returns; cancels probes
	saveAt       time.Time                        // when to save a dirty list
	dirty        bool                             // cached differs from the file
	lastFailure  string                           // last logged failure of a source
}

const (
	// Limits of trust.Gate.
	rollbackHold = 30 * time.Second
	emptyHold    = 30 * time.Second
	emptyRepeats = 3
	// confirmSaveDelay limits how often the list is rewritten when only its
	// confirmation times changed.
	confirmSaveDelay = 30 * time.Second
	// tickInterval is the time between checks for due probes and saves.
	tickInterval        = 50 * time.Millisecond
	maxConcurrentProbes = 16
	probeTimeout        = 2 * time.Second
)

// listOffer carries a list from Offer to the goroutine.
type listOffer struct {
	source string
	list   *List
}

// brickObservation carries the result of a probe or of a client's request.
type brickObservation struct {
	name    string
	result  trust.Observation
	started int64
}

// sourceFailure carries an error from ReportFailure.
type sourceFailure struct{ err error }

// StartTracker opens the cache, reports the cached list to the host according to
// its trust levels, and starts waiting for lists from sources. It fails only if
// another process holds the cache's lock: a damaged or missing list is logged and
// the host starts without one.
func StartTracker(opts TrackerOptions) (*Tracker, error) {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tracker{opts: opts, log: opts.Log, startedAt: time.Now(), reading: newReadRequests(), inbox: make(chan any, 256), stop: make(chan struct{}), done: make(chan struct{}), ctx: ctx}
	if err := t.openCache(); err != nil {
		cancel()
		return nil, err
	}
	known := 0
	if t.cached != nil {
		known = len(t.cached.Bricks)
	}
	t.gate = trust.NewGate(rollbackHold, emptyHold, emptyRepeats, known)
	t.reportCachedList()
	go func() {
		defer cancel()
		t.run()
	}()
	return t, nil
}

// openCache locks the cache and loads its list. It fails only if the cache is locked.
func (t *Tracker) openCache() error {
	if t.opts.CacheDir == "" {
		return nil
	}
	dir, err := cache.Open(t.opts.CacheDir)
	if errors.Is(err, cache.ErrLocked) {
		return err
	}
	if err != nil { // the host can serve without a writable cache
		t.log.Error("node list cache unavailable", "cache", t.opts.CacheDir, "error", err)
	}
	t.cacheDir = dir
	list, loadErrors := cache.Load(t.opts.CacheDir)
	for _, err := range loadErrors {
		if !errors.Is(err, cache.ErrNotFound) {
			t.log.Error("cached node list is damaged", "error", err)
		}
	}
	t.cached = list
	switch {
	case list == nil:
		t.log.Warn("no cached node list, requests are refused until discovery delivers one", "cache", t.opts.CacheDir)
	case len(loadErrors) > 0:
		t.log.Warn("using the previous generation of the cached node list", "generation", list.Generation, "version", list.Version, "bricks", len(list.Bricks))
	}
	return nil
}

// Close stops the tracker, saves a changed list and releases the cache.
func (t *Tracker) Close() {
	t.closeOnce.Do(func() { close(t.stop) })
	<-t.done
}

func (t *Tracker) send(message any) {
	select {
	case t.inbox <- message:
	case <-t.stop:
	}
}

// Offer submits a complete list from a source.
func (t *Tracker) Offer(source string, l *List) {
	t.reading.noteSuccess()
	t.send(listOffer{source, l})
}

// ReportFailure reports that a source cannot be read at present.
func (t *Tracker) ReportFailure(err error) {
	t.reading.noteFailure(time.Now())
	t.send(sourceFailure{err})
}

// Observe submits what a client's request revealed about a brick. started is the
// start time that the brick reported, in microseconds since 1970. The call is cheap
// unless cached entries are being verified.
func (t *Tracker) Observe(name string, result trust.Observation, started int64) {
	if result == trust.Answered {
		t.lastServed.Store(name, t.opts.Now().UnixMicro())
	}
	if !t.verifying.Load() {
		return
	}
	select {
	case t.inbox <- brickObservation{name, result, started}:
	default: // the inbox is full; a later answer carries the same information
	}
}

// HasList reports whether any list was reported to the host.
func (t *Tracker) HasList() bool { return t.hasList.Load() }

// elapsed returns the time since the tracker was started.
func (t *Tracker) elapsed() time.Duration { return time.Since(t.startedAt) }

func (t *Tracker) run() {
	defer close(t.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			t.shutdown()
			return
		case message := <-t.inbox:
			t.handle(message)
		case <-t.reading.requested:
			t.readAgain()
		case <-ticker.C:
			t.startProbes()
			t.saveIfDue(false)
			t.giveUpReading()
		}
	}
}

func (t *Tracker) shutdown() {
	t.saveIfDue(true)
	t.probes.Wait()
	if t.cacheDir != nil {
		t.cacheDir.Close()
	}
}

func (t *Tracker) handle(message any) {
	switch m := message.(type) {
	case listOffer:
		t.handleOffer(m)
	case brickObservation:
		t.handleObservation(m)
	case refreshRequest:
		t.handleRefresh(m)
	case listConfirmation:
		t.handleConfirmation(m.readAt)
	case sourceFailure:
		if text := m.err.Error(); text != t.lastFailure {
			t.lastFailure = text
			t.log.Warn("discovery unreachable", "error", m.err, "live", t.hasLiveList)
		}
	}
}

// handleOffer decides whether to accept a list from a source.
func (t *Tracker) handleOffer(o listOffer) {
	t.lastFailure = ""
	decision, reason := t.gate.Decide(trust.Offer{Source: o.source, Version: o.list.Version, BrickCount: len(o.list.Bricks), At: t.elapsed(), Digest: o.list.digest(), Tree: o.list.Tree})
	switch decision {
	case trust.Hold:
		t.log.Warn("node list withheld", "source", o.source, "version", o.list.Version, "bricks", len(o.list.Bricks), "reason", reason)
		return
	case trust.Unchanged:
		t.confirmList()
		t.handleConfirmation(o.list.ReadAt)
		return
	}
	t.log.Info("node list accepted", "source", o.source, "version", o.list.Version, "bricks", len(o.list.Bricks))
	t.cacheList(o)
	t.hasLiveList, t.verifier = true, nil
	t.verifying.Store(false)
	t.reportMembers(arrowwalk.ListSnapshot, o.list.Version, o.list.Members(t.opts.Topology))
	t.handleConfirmation(o.list.ReadAt)
}

// cacheList replaces the cached list with an accepted one and updates the change
// rate from the difference.
func (t *Tracker) cacheList(o listOffer) {
	now := t.opts.Now().UnixMicro()
	next := &cache.List{Header: cache.Header{Version: o.list.Version, Source: o.source, AcceptedAt: now}}
	before := map[string]cache.Entry{}
	if t.cached != nil {
		next.ChangeRate = t.cached.ChangeRate.Update(cachedIdentities(t.cached.Bricks), listIdentities(o.list), time.Duration(now-t.cached.AcceptedAt)*time.Microsecond)
		for _, e := range t.cached.Bricks {
			before[e.Name] = e
		}
	}
	for _, e := range o.list.Bricks {
		next.Bricks = append(next.Bricks, cache.Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard,
			State: e.State, Started: e.Started, LastConfirmed: now, LastServed: before[e.Name].LastServed})
	}
	t.cached, t.dirty, t.saveAt = next, true, time.Now()
}

// confirmList records that a source offered the current list again.
func (t *Tracker) confirmList() {
	if t.cached == nil {
		return
	}
	now := t.opts.Now().UnixMicro()
	span := time.Duration(now-t.cached.AcceptedAt) * time.Microsecond
	t.cached.ChangeRate = t.cached.ChangeRate.Update(cachedIdentities(t.cached.Bricks), cachedIdentities(t.cached.Bricks), span)
	t.cached.AcceptedAt = now
	for i := range t.cached.Bricks {
		t.cached.Bricks[i].LastConfirmed = now
	}
	if !t.dirty {
		t.dirty, t.saveAt = true, time.Now().Add(confirmSaveDelay)
	}
}

func cachedIdentities(list []cache.Entry) []trust.Identity {
	out := make([]trust.Identity, len(list))
	for i, e := range list {
		out[i] = trust.Identity{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, Started: e.Started}
	}
	return out
}

func listIdentities(l *List) []trust.Identity {
	out := make([]trust.Identity, len(l.Bricks))
	for i, e := range l.Bricks {
		out[i] = trust.Identity{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, Started: e.Started}
	}
	return out
}

// saveIfDue writes the cached list if it has changed and its delay has passed.
// With force it does not wait for the delay.
func (t *Tracker) saveIfDue(force bool) {
	if t.cacheDir == nil || t.cached == nil || !t.dirty || !force && time.Now().Before(t.saveAt) {
		return
	}
	t.dirty = false
	for i := range t.cached.Bricks {
		if at, ok := t.lastServed.Load(t.cached.Bricks[i].Name); ok {
			t.cached.Bricks[i].LastServed = at.(int64)
		}
	}
	if err := t.cacheDir.Save(t.cached); err != nil {
		t.log.Error("node list not saved", "error", err)
	}
}

// reportCachedList reports the cached list to the host at the start.
func (t *Tracker) reportCachedList() {
	if t.cached == nil {
		return
	}
	now := t.opts.Now()
	age := map[string]time.Duration{}
	t.cachedStates = map[string]string{}
	for _, e := range t.cached.Bricks {
		t.cachedStates[e.Name] = e.State
		if e.LastConfirmed > 0 {
			age[e.Name] = now.Sub(time.UnixMicro(e.LastConfirmed))
		}
	}
	t.verifier = trust.NewVerifier(cachedIdentities(t.cached.Bricks), age, t.cached.ChangeRate)
	t.verifying.Store(!t.opts.TrustCache)
	var members []host.Member
	levels := map[string]int{}
	for _, e := range t.verifier.Entries() {
		levels[e.Level.String()]++
		members = append(members, t.cachedMember(&e))
	}
	t.log.Warn("starting from the cached node list", "version", t.cached.Version, "source", t.cached.Source,
		"age", now.Sub(time.UnixMicro(t.cached.AcceptedAt)).Round(time.Second), "changes_per_brick_day", t.cached.ChangeRate.PerBrickHour()*24, "levels", levels)
	t.reportMembers(arrowwalk.ListStored, t.cached.Version, members)
}

// cachedMember converts a cached entry to a host member. An entry that is not
// trusted is draining, so that it gets no requests; an aged one counts as just
// started, so that it gets the load of a cold brick.
func (t *Tracker) cachedMember(e *trust.Entry) host.Member {
	entry := Entry{Name: e.Name, Address: e.Address, Zone: e.Zone, Shard: e.Shard, Started: e.Started, State: t.cachedStates[e.Name]}
	m := entry.Member(t.opts.Topology)
	if m.Node.Zone < 0 || e.Shard >= t.opts.Topology.Shards {
		m.State = arrowwalk.Draining // its zone or shard is no longer configured
	}
	switch {
	case t.opts.TrustCache || m.State != arrowwalk.Ready:
	case !trust.MayServe(e.Level):
		m.State = arrowwalk.Draining
	case e.Level == trust.Aged:
		m.Started = arrowwalk.Micros(time.Now().UnixMicro())
	}
	return m
}

// reportMembers stores the members of a list, or the changed ones of a delta, and
// passes them to the callbacks and the host.
func (t *Tracker) reportMembers(kind arrowwalk.ListKind, version int64, members []host.Member) {
	t.hasList.Store(true)
	if kind != arrowwalk.ListDelta {
		t.members = map[arrowwalk.NodeID]host.Member{}
	}
	for _, m := range members {
		t.members[m.ID] = m
	}
	t.listVersion = version
	t.levels.Store(t.memberLevels())
	if t.opts.OnList != nil {
		all := make([]host.Member, 0, len(t.members))
		for _, m := range t.members {
			all = append(all, m)
		}
		t.opts.OnList(all)
	}
	t.notifyHost(kind, version, members)
	if t.opts.OnAddresses == nil || kind == arrowwalk.ListDelta {
		return
	}
	var addresses []string
	for _, m := range members {
		if m.State != arrowwalk.Removed {
			addresses = append(addresses, m.Address)
		}
	}
	t.opts.OnAddresses(addresses)
}

// applyOverlay applies TrackerOptions.Overlay to members in place.
func (t *Tracker) applyOverlay(members []host.Member) {
	if t.opts.Overlay == nil {
		return
	}
	for i := range members {
		t.opts.Overlay(&members[i])
	}
}

// memberLevels returns the trust level of each member by brick name. Members of a
// live list are fresh.
func (t *Tracker) memberLevels() map[string]string {
	levels := make(map[string]string, len(t.members))
	for id := range t.members {
		level := trust.Fresh
		if t.verifier != nil {
			if e, ok := t.verifier.Entry(string(id)); ok {
				level = e.Level
			}
		}
		levels[string(id)] = level.String()
	}
	return levels
}

// TrustLevels returns the trust level of each brick by name. Callers must not
// modify the map.
func (t *Tracker) TrustLevels() map[string]string {
	levels, _ := t.levels.Load().(map[string]string)
	return levels
}

// refreshRequest asks the goroutine to report all members again. done is closed
// afterwards.
type refreshRequest struct{ done chan struct{} }

// Refresh applies the overlay to all members again and notifies the host of those
// that changed. It returns after the host was notified or the tracker has stopped.
func (t *Tracker) Refresh() {
	r := refreshRequest{make(chan struct{})}
	t.send(r)
	select {
	case <-r.done:
	case <-t.done:
	}
}

// RefreshAsync requests a Refresh without waiting for it.
func (t *Tracker) RefreshAsync() {
	select {
	case t.inbox <- refreshRequest{make(chan struct{})}:
	case <-t.stop:
	}
}

func (t *Tracker) handleRefresh(r refreshRequest) {
	defer close(r.done)
	members := make([]host.Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m)
	}
	t.notifyHost(arrowwalk.ListDelta, t.listVersion, members)
}

// notifyHost applies the overlay and passes to the host what differs from the last
// report. A complete list goes to a host that already has one as a delta, so that
// the host's work depends on the number of changes and not on the number of bricks.
func (t *Tracker) notifyHost(kind arrowwalk.ListKind, version int64, members []host.Member) {
	members = slices.Clone(members)
	t.applyOverlay(members)
	before := t.reported
	if kind != arrowwalk.ListDelta {
		t.reported = make(map[arrowwalk.NodeID]host.Member, len(members))
	}
	var changes []host.Member
	for _, m := range members {
		if old, known := before[m.ID]; !known || old != m {
			changes = append(changes, m)
		}
		t.reported[m.ID] = m
	}
	if kind != arrowwalk.ListDelta && len(before) == 0 {
		t.opts.Host.Nodes(kind, version, members)
		return
	}
	if kind != arrowwalk.ListDelta {
		for id, old := range before {
			if _, listed := t.reported[id]; !listed {
				old.State = arrowwalk.Removed
				changes = append(changes, old)
			}
		}
	}
	if len(changes) > 0 {
		t.opts.Host.Nodes(arrowwalk.ListDelta, version, changes)
	}
}

// startProbes probes the cached entries whose next probe is due.
func (t *Tracker) startProbes() {
	if t.verifier == nil || t.opts.TrustCache || t.opts.Prober == nil {
		return
	}
	for _, id := range t.verifier.StartProbes(t.elapsed(), maxConcurrentProbes) {
		t.probes.Add(1)
		go func() {
			defer t.probes.Done()
			ctx, cancel := context.WithTimeout(t.ctx, probeTimeout)
			defer cancel()
			result, started := t.opts.Prober.Probe(ctx, id.Address, id.Name)
			t.send(brickObservation{id.Name, result, started})
		}()
	}
}

// handleObservation applies an observation to a cached entry, and reports the
// member to the host if its trust level or start time changed.
func (t *Tracker) handleObservation(observation brickObservation) {
	if t.verifier == nil || !t.verifier.Observe(observation.name, observation.result, observation.started, t.elapsed()) {
		return
	}
	e, _ := t.verifier.Entry(observation.name)
	t.log.Info("brick trust level changed", "brick", e.Name, "level", e.Level.String(), "started", e.Started)
	t.reportMembers(arrowwalk.ListDelta, t.cached.Version, []host.Member{t.cachedMember(&e)})
	if e.Level == trust.Fresh {
		t.markConfirmed(e)
	}
}

// markConfirmed records in the cached list that a brick confirmed its entry.
func (t *Tracker) markConfirmed(e trust.Entry) {
	for i := range t.cached.Bricks {
		if t.cached.Bricks[i].Name == e.Name {
			t.cached.Bricks[i].LastConfirmed = t.opts.Now().UnixMicro()
			t.cached.Bricks[i].Started = e.Started
		}
	}
	if !t.dirty {
		t.dirty, t.saveAt = true, time.Now().Add(confirmSaveDelay)
	}
}
