// Package model holds what the emulator makes of the world around a host:
// bricks, links and clients. It is pure: times come in, what follows goes out.
package model

// Params are what a kind of brick is like.
type Params struct {
	Cores            int
	MaxQueue         int     // requests that may wait
	CacheItems       int     // of each shard, the last ones are quick
	CacheSavings     float64 // part of the work that a cached item saves
	DeferredFraction float64 // part of a write's work that is done later,
	DeferredInterval int64   // in one go, so often; microseconds
	ColdCapacity     float64
	WarmUpTime       int64 // microseconds; 0: at once
	OverloadFactor   float64
	OverloadWindow   int64 // microseconds
	MinOverloadUnits float64
	UnitCost         float64 // microseconds of work of a unit, in the mean
	DedupWindow      int64   // for which repeats of a key are dropped
}

// Job is one request at a brick.
type Job struct {
	Units        float64
	Work         float64 // microseconds of work of a core of speed 1
	Write        bool
	Item         uint64
	Key          uint64 // of a keyed write; 0: none
	FirstAttempt bool   // the first attempt: only that finds items cached
	ID           int32  // the caller's
	FinishAt     int64  // when it is done, while it runs
	own          bool   // the brick's own work
}

// Brick is a server with cores, a bounded queue in order of arrival, a small
// cache, writes of which a part is put off, and a start that leaves it cold.
type Brick struct {
	Name        string
	Zone        int
	Shard       int
	Started     int64
	Speed       float64 // of a core, 1 is usual
	Slowdown    float64 // how many times slower it runs just now, 1 at least
	FailureRate float64 // part of the requests that fail at once
	Dead        bool
	Collapsed   bool

	f       *Params
	still   int64 // nothing moves before
	running []*Job
	queue   []*Job
	recent  []uint64
	debt    float64 // put-off work
	owed    int64   // when it is done next
	window  []sent
	sum     float64
	busy    float64 // core microseconds, for util
	from    int64
	use     map[uint32]*use // by volume
	keys    *DedupCache
}

type sent struct {
	at    int64
	units float64
}

type use struct {
	total float64
	told  map[int32]float64 // by host: the total when it was last told, less its own since
}

// DedupCache are what a zone remembers of keyed writes. Bricks of a zone share it.
type DedupCache struct {
	seen  map[uint64]int64
	order []keyed
}

type keyed struct {
	at  int64
	key uint64
}

// NewDedupCache returns an empty memory.
func NewDedupCache() *DedupCache { return &DedupCache{seen: map[uint64]int64{}} }

// first tells whether a key is new within window, and remembers it.
func (k *DedupCache) first(now int64, key uint64, window int64) bool {
	for len(k.order) > 0 && now-k.order[0].at > window {
		delete(k.seen, k.order[0].key)
		k.order = k.order[1:]
	}
	if _, again := k.seen[key]; again {
		return false
	}
	k.seen[key] = now
	k.order = append(k.order, keyed{now, key})
	return true
}

// NewBrick returns an idle brick of a kind. started 0: long ago.
func NewBrick(name string, zone, shard int, speed float64, started int64, f *Params, keys *DedupCache) *Brick {
	return &Brick{Name: name, Zone: zone, Shard: shard, Speed: speed, Started: started, Slowdown: 1, f: f, keys: keys,
		use: map[uint32]*use{}, from: started, owed: started + f.DeferredInterval}
}

// Capacity returns the units a second that it can do when warm.
func (b *Brick) Capacity() float64 { return float64(b.f.Cores) * b.Speed * 1e6 / b.f.UnitCost }

// warmth returns the part of its capacity that it has at a time.
func (b *Brick) warmth(now int64) float64 {
	age := now - b.Started
	if b.Started == 0 || b.f.WarmUpTime == 0 || age >= b.f.WarmUpTime {
		return 1
	}
	return b.f.ColdCapacity + (1-b.f.ColdCapacity)*float64(max(age, 0))/float64(b.f.WarmUpTime)
}

// Admission is what a brick does with a request.
type Admission int

const (
	// Accepted: it runs or waits.
	Accepted Admission = iota
	// QueueFull: turned away unseen.
	QueueFull
	// Failed: answered with an error at once.
	Failed
	// Duplicate: a write that was dropped as a repeat, answered at once.
	Duplicate
	// NoAnswer: nothing comes, ever.
	NoAnswer
)

// Admit takes in a request. dice is a number in [0, 1). stored tells whether
// it will change what is stored.
func (b *Brick) Admit(now int64, j *Job, dice float64) Admission {
	if b.Dead || b.pushedOver(now, j.Units) {
		return NoAnswer
	}
	if dice < b.FailureRate {
		return Failed
	}
	if len(b.queue) >= b.f.MaxQueue {
		return QueueFull
	}
	if j.Key != 0 && !b.keys.first(now, j.Key, b.f.DedupWindow) {
		return Duplicate
	}
	b.queue = append(b.queue, j)
	return Accepted
}

// pushedOver counts what a cold brick is sent: too much fells it for good.
func (b *Brick) pushedOver(now int64, units float64) bool {
	if b.Collapsed || b.Started == 0 || now-b.Started > b.f.WarmUpTime {
		return b.Collapsed
	}
	b.window = append(b.window, sent{now, units})
	b.sum += units
	for now-b.window[0].at > b.f.OverloadWindow {
		b.sum -= b.window[0].units
		b.window = b.window[1:]
	}
	most := max(b.f.MinOverloadUnits, b.f.OverloadFactor*b.warmth(now)*b.Capacity()*float64(b.f.OverloadWindow)/1e6)
	if b.sum > most {
		b.Collapsed = true
		b.queue, b.running = nil, nil
	}
	return b.Collapsed
}

// StartNext starts the next job where a core is free, and returns it; nil: none.
func (b *Brick) StartNext(now int64) *Job {
	if b.Dead || b.Collapsed || len(b.running) >= b.f.Cores {
		return nil
	}
	var j *Job
	switch {
	case b.debt > 0 && now >= b.owed:
		j = &Job{Work: b.debt, own: true, ID: -1}
		b.debt, b.owed = 0, now+b.f.DeferredInterval
	case len(b.queue) > 0:
		j = b.queue[0]
		b.queue[0] = nil
		b.queue = b.queue[1:]
	default:
		return nil
	}
	took := b.cost(j) * b.Slowdown / (b.Speed * b.warmth(now))
	b.busy += took
	j.FinishAt = max(now, b.still) + max(1, int64(took))
	b.running = append(b.running, j)
	return j
}

// cost is a job's work as the brick's state makes it.
func (b *Brick) cost(j *Job) float64 {
	cost := j.Work
	if j.own {
		return cost
	}
	if j.FirstAttempt && b.cached(j.Item) {
		cost *= 1 - b.f.CacheSavings
	}
	if j.Write && b.f.DeferredFraction > 0 {
		b.debt += cost * b.f.DeferredFraction
		cost *= 1 - b.f.DeferredFraction
	}
	return cost
}

func (b *Brick) cached(item uint64) bool {
	hit := false
	for _, it := range b.recent {
		hit = hit || it == item
	}
	if b.f.CacheItems > 0 && !hit {
		b.recent = append(b.recent, item)
		if len(b.recent) > b.f.CacheItems {
			b.recent = append(b.recent[:0], b.recent[1:]...)
		}
	}
	return hit
}

// Finish takes a job off its core. again is when to look once more, where it was
// held up meanwhile; gone: the brick lost it.
func (b *Brick) Finish(now int64, j *Job) (again int64, gone bool) {
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

// IsBackground tells whether a job is the brick's own work, which nobody waits for.
func (j *Job) IsBackground() bool { return j.own }

// Pause has the brick stand still for a span.
func (b *Brick) Pause(now, span int64) {
	b.still = max(b.still, now+span)
	for _, j := range b.running {
		j.FinishAt += span
	}
}

// Kill ends the brick: what it holds is lost.
func (b *Brick) Kill() {
	b.Dead = true
	b.queue, b.running = nil, nil
}

// QueueLen and Running return how many requests wait and run.
func (b *Brick) QueueLen() int { return len(b.queue) }

// RunningJobs returns how many requests run.
func (b *Brick) RunningJobs() int { return len(b.running) }

// RecordServed counts units served for a volume through a host, and returns what the
// brick has served for it through other hosts since it last told this one.
func (b *Brick) RecordServed(volume uint32, host int32, units float64) float64 {
	u := b.use[volume]
	if u == nil {
		u = &use{told: map[int32]float64{}}
		b.use[volume] = u
	}
	others := u.total - u.told[host]
	u.total += units
	u.told[host] = u.total
	return others
}
