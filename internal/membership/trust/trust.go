// Package trust decides how much a host believes of the bricks that it knows
// from a kept list: what each entry's state is, what may be sent there, and
// when a list that a source offers is taken. It is pure: events in, decisions
// out, no clock, goroutine or I/O.
//
// An entry of a list that a live source confirms is fresh. Without a source,
// the chance that an entry still holds falls with its age and with how often
// bricks of this site have changed before:
//
//	p = exp(-rate * age)
//
// where rate, changes a brick and hour, is learned from the lists that were
// kept: the posterior mean (changes + prior) / (brick-hours + prior hours). A
// high p makes the entry aged, a lower one doubted, a low one unknown.
package trust

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Level says how much an entry is believed.
type Level int

const (
	// Fresh entries are confirmed by a live source, or by the brick itself.
	Fresh Level = iota
	// Aged entries are most probably right: they take work as a cold brick
	// does, and their first answer confirms them.
	Aged
	// Doubted entries are asked who they are before anything is sent.
	Doubted
	// Unknown entries are so old that they are asked last.
	Unknown
	// Contradicted entries were seen to be wrong: another brick, a refused
	// connection, or an answer of another start. Nothing is sent there.
	Contradicted
)

// String returns the level's name in logs and answers.
func (l Level) String() string {
	return [...]string{"fresh", "aged", "doubted", "unknown", "contradicted"}[l]
}

// ChangeRate is what was learned of how often the site's bricks change.
type ChangeRate struct {
	Changes    float64 `json:"changes"` // entries that were replaced, moved or left
	BrickHours float64 `json:"hours"`   // brick-hours in which they did
}

// The prior: one change in 30 days of one brick, worth ten brick-days.
const (
	priorHours   = 240.0
	priorChanges = priorHours / (30 * 24)
)

// PerBrickHour returns the changes a brick and hour.
func (r ChangeRate) PerBrickHour() float64 {
	return (r.Changes + priorChanges) / (r.BrickHours + priorHours)
}

// ProbUnchanged returns the chance that an entry that was right age ago still is.
func (r ChangeRate) ProbUnchanged(age time.Duration) float64 {
	return math.Exp(-r.PerBrickHour() * max(0, age.Hours()))
}

// Below these chances an entry is doubted, and unknown.
const (
	agedLeast    = 0.99
	doubtedLeast = 0.5
)

// LevelAtAge returns the level of an entry that was last confirmed age ago, when
// no source is live. An age that cannot be, as after a clock was set back,
// counts as unknown.
func (r ChangeRate) LevelAtAge(age time.Duration, ageKnown bool) Level {
	if !ageKnown || age < 0 {
		return Unknown
	}
	switch p := r.ProbUnchanged(age); {
	case p >= agedLeast:
		return Aged
	case p >= doubtedLeast:
		return Doubted
	}
	return Unknown
}

// Identity is what a list says of a brick, and what a brick says of itself.
type Identity struct {
	Name    string
	Address string
	Zone    string
	Shard   int
	Started int64 // microseconds since 1970; 0: not told
}

// Update adds to a rate what changed between two lists of one source, after
// span in which bricks could change.
func (r ChangeRate) Update(before, after []Identity, span time.Duration) ChangeRate {
	now := make(map[string]Identity, len(after))
	for _, e := range after {
		now[e.Name] = e
	}
	r.BrickHours += float64(len(before)) * max(0, span.Hours())
	for _, e := range before {
		if n, ok := now[e.Name]; !ok || n.Address != e.Address || n.Zone != e.Zone || n.Shard != e.Shard {
			r.Changes++
		}
	}
	return r
}

// Observation is what was seen of a brick by asking it.
type Observation int

const (
	// Answered as who it should be.
	Answered Observation = iota
	// ConnRefused the connection: nobody listens there.
	ConnRefused
	// TimedOut: the connection or the answer did not come in time.
	TimedOut
	// WrongBrick: another brick answered there.
	WrongBrick
)

// Entry is one brick that the host knows of.
type Entry struct {
	Identity
	Level        Level
	FailedProbes int  // questions without an answer, in a row
	Probing      bool // a question is out
	NextProbe    time.Duration
}

// Verifier holds the entries of a kept list until a live source replaces them.
// Times are spans since any fixed moment and only advance.
type Verifier struct {
	entries map[string]*Entry
	order   []string // who is asked first
}

// Waits between questions to one brick that does not answer as it should.
const (
	askFirst = 200 * time.Millisecond
	askMost  = 10 * time.Second
)

// NewVerifier holds the entries of a list whose ages are given by name; a name
// without one was never confirmed.
func NewVerifier(list []Identity, age map[string]time.Duration, rate ChangeRate) *Verifier {
	d := &Verifier{entries: make(map[string]*Entry, len(list))}
	for _, id := range list {
		a, known := age[id.Name]
		d.entries[id.Name] = &Entry{Identity: id, Level: rate.LevelAtAge(a, known)}
		d.order = append(d.order, id.Name)
	}
	slices.SortStableFunc(d.order, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.entries[a].Level, d.entries[b].Level), cmp.Compare(a, b))
	})
	return d
}

// Entries returns all entries, those believed most first.
func (d *Verifier) Entries() []Entry {
	out := make([]Entry, 0, len(d.order))
	for _, name := range d.order {
		out = append(out, *d.entries[name])
	}
	return out
}

// Entry returns one entry, or false.
func (d *Verifier) Entry(name string) (Entry, bool) {
	if e := d.entries[name]; e != nil {
		return *e, true
	}
	return Entry{}, false
}

// MayServe tells whether work may be sent to an entry of a level.
func MayServe(l Level) bool { return l == Fresh || l == Aged }

// StartProbes returns the bricks to be asked who they are now, at most most in all out
// at once, one question at a time for each. Their next turn follows from Saw.
func (d *Verifier) StartProbes(now time.Duration, most int) []Identity {
	out := 0
	for _, e := range d.entries {
		if e.Probing {
			out++
		}
	}
	var ask []Identity
	for _, name := range d.order {
		e := d.entries[name]
		if out >= most {
			break
		}
		if e.Probing || e.Level == Fresh || now < e.NextProbe {
			continue
		}
		e.Probing = true
		out++
		ask = append(ask, e.Identity)
	}
	return ask
}

// Observe takes in what a question, or a client's request, showed of a brick: it
// tells whether the entry's level changed. started is the start that the brick
// told, where it answered.
func (d *Verifier) Observe(name string, what Observation, started int64, now time.Duration) bool {
	e := d.entries[name]
	if e == nil {
		return false
	}
	before, was := e.Level, e.Started
	e.Probing = false
	if what == Answered {
		e.Level, e.FailedProbes = Fresh, 0
		if started > 0 {
			e.Started = started // a brick that has started anew is a cold one
		}
		return before != Fresh || was != e.Started
	}
	e.FailedProbes++
	e.NextProbe = now + min(askFirst<<min(e.FailedProbes-1, 10), askMost)
	switch what {
	case WrongBrick:
		e.Level = Contradicted
	case ConnRefused:
		if e.Level != Contradicted {
			e.Level = Contradicted
		}
	case TimedOut:
		if e.Level == Aged { // it may be slow: but nothing more before it answers
			e.Level = Doubted
		}
	}
	return before != e.Level
}
