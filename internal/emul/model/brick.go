// Package model simulates the bricks of the emulated site. It is pure: callers
// pass the time in microseconds and schedule what follows.
package model

// Params holds the parameters that all bricks share. Times are in microseconds.
type Params struct {
	Cores            int
	MaxQueue         int     // maximum number of waiting requests
	CacheItems       int     // number of cached items
	CacheSavings     float64 // fraction of the work that a cached item saves
	DeferredFraction float64 // fraction of a write's work that is deferred
	DeferredInterval int64   // interval at which deferred work is done, all at once
	ColdCapacity     float64 // fraction of its capacity that a brick has at its start
	WarmUpTime       int64   // time until a brick has its full capacity; 0: at once
	OverloadFactor   float64 // load that makes a cold brick collapse, as a multiple of its current capacity
	OverloadWindow   int64   // time over which this load is measured
	MinOverloadUnits float64 // units in OverloadWindow that any cold brick can handle
	UnitCost         float64 // mean work per unit, on a core of speed 1
	DedupWindow      int64   // how long repeats of a key are dropped
}

// Job is a request at a brick, or the brick's own deferred work.
type Job struct {
	Units        float64
	Work         float64 // microseconds on a core of speed 1
	Write        bool
	Item         uint64
	Key          uint64 // idempotency key of a keyed write; 0: none
	FirstAttempt bool   // only first attempts hit the cache
	ID           int32  // set by the caller; -1: background work
	FinishAt     int64  // when a running job finishes
	background   bool
}

// Brick is a server with cores, a bounded FIFO queue, a small cache, writes
// whose work is partly deferred, and reduced capacity after a start. It is not
// safe for concurrent use.
type Brick struct {
	Name        string
	Zone        int
	Shard       int
	Started     int64
	Speed       float64 // of a core; 1 is nominal
	Slowdown    float64 // factor on all running times, at least 1
	FailureRate float64 // fraction of the requests that fail at once
	Dead        bool
	Collapsed   bool // overloaded while cold; it never answers again

	params         *Params
	pausedUntil    int64
	running        []*Job
	queue          []*Job
	cachedItems    []uint64
	deferredWork   float64 // microseconds on a core of speed 1
	nextDeferredAt int64   // when deferred work is done next
	recentArrivals []arrival
	recentUnits    float64 // units in recentArrivals
	busy           float64 // core microseconds
	from           int64
	usage          map[uint32]*volumeUsage // by volume
	dedup          *DedupCache
}

// arrival is a request that reached a cold brick.
type arrival struct {
	at    int64
	units float64
}

// volumeUsage counts the units served for one volume.
type volumeUsage struct {
	total         float64
	totalAtReport map[int32]float64 // by host: total after its last request, which then learned of the others' units
}

// DedupCache remembers the keys of keyed writes. The bricks of a zone share
// one.
type DedupCache struct {
	seen  map[uint64]int64
	order []seenKey
}

// seenKey is a key with the time at which it was first seen.
type seenKey struct {
	at  int64
	key uint64
}

// NewDedupCache returns an empty cache.
func NewDedupCache() *DedupCache { return &DedupCache{seen: map[uint64]int64{}} }

// addIfNew reports whether the key was not seen within window microseconds, and
// remembers it.
func (k *DedupCache) addIfNew(now int64, key uint64, window int64) bool {
	for len(k.order) > 0 && now-k.order[0].at > window {
		delete(k.seen, k.order[0].key)
		k.order = k.order[1:]
	}
	if _, seen := k.seen[key]; seen {
		return false
	}
	k.seen[key] = now
	k.order = append(k.order, seenKey{now, key})
	return true
}

// NewBrick returns an idle brick. If started is 0, it started long ago and is
// warm.
func NewBrick(name string, zone, shard int, speed float64, started int64, params *Params, dedup *DedupCache) *Brick {
	return &Brick{Name: name, Zone: zone, Shard: shard, Speed: speed, Started: started, Slowdown: 1, params: params, dedup: dedup,
		usage: map[uint32]*volumeUsage{}, from: started, nextDeferredAt: started + params.DeferredInterval}
}

// Capacity returns the warm capacity in units per second.
func (b *Brick) Capacity() float64 {
	return float64(b.params.Cores) * b.Speed * 1e6 / b.params.UnitCost
}

// capacityFraction returns the fraction of its warm capacity that the brick has
// at a time.
func (b *Brick) capacityFraction(now int64) float64 {
	age := now - b.Started
	if b.Started == 0 || b.params.WarmUpTime == 0 || age >= b.params.WarmUpTime {
		return 1
	}
	return b.params.ColdCapacity + (1-b.params.ColdCapacity)*float64(max(age, 0))/float64(b.params.WarmUpTime)
}

// Admission is the result of a request's arrival at a brick.
type Admission int

const (
	// Accepted means that the request waits in the queue.
	Accepted Admission = iota
	// QueueFull means that the brick rejected the request without processing it.
	QueueFull
	// Failed means that the brick answers with an error at once.
	Failed
	// Duplicate means that a keyed write was dropped as a repeat and is answered
	// at once.
	Duplicate
	// NoAnswer means that the brick never answers.
	NoAnswer
)

// Admit handles the arrival of a request. random is a random number in [0, 1)
// that decides on a failure.
func (b *Brick) Admit(now int64, j *Job, random float64) Admission {
	if b.Dead || b.collapsesUnder(now, j.Units) {
		return NoAnswer
	}
	if random < b.FailureRate {
		return Failed
	}
	if len(b.queue) >= b.params.MaxQueue {
		return QueueFull
	}
	if j.Key != 0 && !b.dedup.addIfNew(now, j.Key, b.params.DedupWindow) {
		return Duplicate
	}
	b.queue = append(b.queue, j)
	return Accepted
}

// collapsesUnder adds an arrival to the load of a cold brick and reports
// whether the brick has collapsed. A collapsed brick stays so.
func (b *Brick) collapsesUnder(now int64, units float64) bool {
	if b.Collapsed || b.Started == 0 || now-b.Started > b.params.WarmUpTime {
		return b.Collapsed
	}
	b.recentArrivals = append(b.recentArrivals, arrival{now, units})
	b.recentUnits += units
	for now-b.recentArrivals[0].at > b.params.OverloadWindow {
		b.recentUnits -= b.recentArrivals[0].units
		b.recentArrivals = b.recentArrivals[1:]
	}
	maxUnits := max(b.params.MinOverloadUnits, b.params.OverloadFactor*b.capacityFraction(now)*b.Capacity()*float64(b.params.OverloadWindow)/1e6)
	if b.recentUnits > maxUnits {
		b.Collapsed = true
		b.queue, b.running = nil, nil
	}
	return b.Collapsed
}

// StartNext starts the next job on an idle core and returns it, or nil if there
// is no idle core or no job.
func (b *Brick) StartNext(now int64) *Job {
	if b.Dead || b.Collapsed || len(b.running) >= b.params.Cores {
		return nil
	}
	var j *Job
	switch {
	case b.deferredWork > 0 && now >= b.nextDeferredAt:
		j = &Job{Work: b.deferredWork, background: true, ID: -1}
		b.deferredWork, b.nextDeferredAt = 0, now+b.params.DeferredInterval
	case len(b.queue) > 0:
		j = b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
	default:
		return nil
	}
	duration := b.jobWork(j) * b.Slowdown / (b.Speed * b.capacityFraction(now))
	b.busy += duration
	j.FinishAt = max(now, b.pausedUntil) + max(1, int64(duration))
	b.running = append(b.running, j)
	return j
}

// jobWork returns the work of a job after cache hits and deferral, and updates
// both.
func (b *Brick) jobWork(j *Job) float64 {
	work := j.Work
	if j.background {
		return work
	}
	if j.FirstAttempt && b.lookUpCache(j.Item) {
		work *= 1 - b.params.CacheSavings
	}
	if j.Write && b.params.DeferredFraction > 0 {
		b.deferredWork += work * b.params.DeferredFraction
		work *= 1 - b.params.DeferredFraction
	}
	return work
}

// lookUpCache reports whether the item is cached, and adds it if it is not.
func (b *Brick) lookUpCache(item uint64) bool {
	hit := false
	for _, it := range b.cachedItems {
		hit = hit || it == item
	}
	if b.params.CacheItems > 0 && !hit {
		b.cachedItems = append(b.cachedItems, item)
		if len(b.cachedItems) > b.params.CacheItems {
			b.cachedItems = append(b.cachedItems[:0], b.cachedItems[1:]...)
		}
	}
	return hit
}

// Finish takes a job off its core. If a pause has delayed the job, it stays,
// and retryAt is when to call Finish again. lost means that the brick no longer
// has the job.
func (b *Brick) Finish(now int64, j *Job) (retryAt int64, lost bool) {
	for i, r := range b.running {
		if r != j {
			continue
		}
		if j.FinishAt > now {
			return j.FinishAt, false
		}
		b.running = append(b.running[:i], b.running[i+1:]...)
		return 0, false
	}
	return 0, true
}

// IsBackground reports whether the job is the brick's deferred work, which has
// no client.
func (j *Job) IsBackground() bool { return j.background }

// Pause stops the brick for span microseconds.
func (b *Brick) Pause(now, span int64) {
	b.pausedUntil = max(b.pausedUntil, now+span)
	for _, j := range b.running {
		j.FinishAt += span
	}
}

// Kill stops the brick for good and drops its jobs.
func (b *Brick) Kill() {
	b.Dead = true
	b.queue, b.running = nil, nil
}

// QueueLen returns the number of waiting requests.
func (b *Brick) QueueLen() int { return len(b.queue) }

// RunningJobs returns the number of running jobs.
func (b *Brick) RunningJobs() int { return len(b.running) }

// RecordServed counts units served for a volume through a host. It returns the
// units that the brick served for the volume through other hosts since the
// host's previous request.
func (b *Brick) RecordServed(volume uint32, host int32, units float64) float64 {
	u := b.usage[volume]
	if u == nil {
		u = &volumeUsage{totalAtReport: map[int32]float64{}}
		b.usage[volume] = u
	}
	others := u.total - u.totalAtReport[host]
	u.total += units
	u.totalAtReport[host] = u.total
	return others
}
