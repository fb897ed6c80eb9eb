// Package trust decides how far a host trusts the entries of its cached node list,
// whether requests may be sent to a brick, and which lists of a source to accept.
// It is deterministic and does no I/O, starts no goroutines and reads no clock.
//
// An entry that a live source confirms is fresh. Without a source, the probability
// that an entry is still valid falls with its age and with the rate at which bricks
// of this site have changed so far:
//
//	p = exp(-rate * age)
//
// rate is in changes per brick and hour. It is estimated from successive lists as
// the posterior mean (changes + prior changes) / (brick-hours + prior brick-hours).
// A high p makes the entry aged, a lower one doubted and a low one unknown.
package trust

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Level is the degree to which an entry is trusted.
type Level int

const (
	// Fresh entries were confirmed by a live source or by the brick itself.
	Fresh Level = iota
	// Aged entries are most probably valid. They get requests like a cold brick,
	// and the first answer confirms them.
	Aged
	// Doubted entries are probed before any request is sent to them.
	Doubted
	// Unknown entries are too old for an estimate; they are probed last.
	Unknown
	// Contradicted entries were found to be wrong: another brick answered or the
	// connection was refused. No requests are sent to them.
	Contradicted
)

// String returns the name of the level in logs and on the control socket.
func (l Level) String() string {
	return [...]string{"fresh", "aged", "doubted", "unknown", "contradicted"}[l]
}

// ChangeRate holds the observations from which the rate of changes is estimated.
type ChangeRate struct {
	Changes    float64 `json:"changes"` // entries that moved or left
	BrickHours float64 `json:"hours"`   // observed brick-hours
}

// The prior is one change per brick in 30 days, with the weight of ten brick-days.
const (
	priorBrickHours = 240.0
	priorChanges    = priorBrickHours / (30 * 24)
)

// PerBrickHour returns the estimated changes per brick and hour.
func (r ChangeRate) PerBrickHour() float64 {
	return (r.Changes + priorChanges) / (r.BrickHours + priorBrickHours)
}

// ProbUnchanged returns the probability that an entry that was valid age ago still is.
func (r ChangeRate) ProbUnchanged(age time.Duration) float64 {
	return math.Exp(-r.PerBrickHour() * max(0, age.Hours()))
}

// Minimum probabilities of the levels.
const (
	minAgedProb    = 0.99
	minDoubtedProb = 0.5
)

// LevelAtAge returns the level, without a live source, of an entry that was last
// confirmed age ago. A negative age, as after the clock was set back, makes the
// entry unknown.
func (r ChangeRate) LevelAtAge(age time.Duration, ageKnown bool) Level {
	if !ageKnown || age < 0 {
		return Unknown
	}
	switch p := r.ProbUnchanged(age); {
	case p >= minAgedProb:
		return Aged
	case p >= minDoubtedProb:
		return Doubted
	}
	return Unknown
}

// Identity holds the properties of a brick in a node list.
type Identity struct {
	Name    string
	Address string
	Zone    string
	Shard   int
	Started int64 // microseconds since 1970; 0 means not known
}

// Update returns the rate with the changes added between two lists that are span
// apart. An entry counts as changed if it left, or has another address, zone or
// shard.
func (r ChangeRate) Update(before, after []Identity, span time.Duration) ChangeRate {
	current := make(map[string]Identity, len(after))
	for _, e := range after {
		current[e.Name] = e
	}
	r.BrickHours += float64(len(before)) * max(0, span.Hours())
	for _, e := range before {
		if n, ok := current[e.Name]; !ok || n.Address != e.Address || n.Zone != e.Zone || n.Shard != e.Shard {
			r.Changes++
		}
	}
	return r
}

// Observation is the result of a probe of a brick or of a request to it.
type Observation int

const (
	// Answered means that the expected brick answered.
	Answered Observation = iota
	// ConnRefused means that nothing listens at the address.
	ConnRefused
	// TimedOut means that the connection or the answer did not come in time.
	TimedOut
	// WrongBrick means that another brick answered at the address.
	WrongBrick
)

// Entry is a cached entry with its trust level and the state of its probes.
type Entry struct {
	Identity
	Level        Level
	FailedProbes int           // consecutive probes without the expected answer
	Probing      bool          // a probe is in flight
	NextProbe    time.Duration // earliest time of the next probe
}

// Verifier schedules probes of the entries of a cached list, until a live source
// replaces the list. Times are durations since a fixed moment and must not
// decrease. A Verifier is not safe for concurrent use.
type Verifier struct {
	entries    map[string]*Entry
	probeOrder []string // names, most trusted first
}

// Bounds of the delay between probes of a brick that does not answer as expected.
const (
	minProbeDelay = 200 * time.Millisecond
	maxProbeDelay = 10 * time.Second
)

// NewVerifier returns a Verifier for the entries of a list. age holds the time since
// the last confirmation by name; an entry without one was never confirmed.
func NewVerifier(list []Identity, age map[string]time.Duration, rate ChangeRate) *Verifier {
	v := &Verifier{entries: make(map[string]*Entry, len(list))}
	for _, id := range list {
		a, known := age[id.Name]
		v.entries[id.Name] = &Entry{Identity: id, Level: rate.LevelAtAge(a, known)}
		v.probeOrder = append(v.probeOrder, id.Name)
	}
	slices.SortStableFunc(v.probeOrder, func(a, b string) int {
		return cmp.Or(cmp.Compare(v.entries[a].Level, v.entries[b].Level), cmp.Compare(a, b))
	})
	return v
}

// Entries returns copies of all entries, most trusted first.
func (v *Verifier) Entries() []Entry {
	out := make([]Entry, 0, len(v.probeOrder))
	for _, name := range v.probeOrder {
		out = append(out, *v.entries[name])
	}
	return out
}

// Entry returns a copy of the entry of a brick. The second result is false if there
// is none.
func (v *Verifier) Entry(name string) (Entry, bool) {
	if e := v.entries[name]; e != nil {
		return *e, true
	}
	return Entry{}, false
}

// MayServe reports whether requests may be sent to an entry of a level.
func MayServe(l Level) bool { return l == Fresh || l == Aged }

// StartProbes returns the bricks whose probe is due and marks them as being probed.
// At most maxProbing probes are in flight at once, and one for each brick. Observe
// ends a probe and schedules the next one.
func (v *Verifier) StartProbes(now time.Duration, maxProbing int) []Identity {
	inFlight := 0
	for _, e := range v.entries {
		if e.Probing {
			inFlight++
		}
	}
	var due []Identity
	for _, name := range v.probeOrder {
		e := v.entries[name]
		if inFlight >= maxProbing {
			break
		}
		if e.Probing || e.Level == Fresh || now < e.NextProbe {
			continue
		}
		e.Probing = true
		inFlight++
		due = append(due, e.Identity)
	}
	return due
}

// Observe records the result of a probe or of a client's request. started is the
// start time that the brick reported, or 0. It reports whether the level or the start
// time of the entry changed.
func (v *Verifier) Observe(name string, result Observation, started int64, now time.Duration) bool {
	e := v.entries[name]
	if e == nil {
		return false
	}
	levelBefore, startedBefore := e.Level, e.Started
	e.Probing = false
	if result == Answered {
		e.Level, e.FailedProbes = Fresh, 0
		if started > 0 {
			e.Started = started // a restarted brick is cold
		}
		return levelBefore != Fresh || startedBefore != e.Started
	}
	e.FailedProbes++
	e.NextProbe = now + min(minProbeDelay<<min(e.FailedProbes-1, 10), maxProbeDelay)
	switch result {
	case WrongBrick:
		e.Level = Contradicted
	case ConnRefused:
		if e.Level != Contradicted {
			e.Level = Contradicted
		}
	case TimedOut:
		if e.Level == Aged { // it may only be slow, but gets no more requests before it answers
			e.Level = Doubted
		}
	}
	return levelBefore != e.Level
}
