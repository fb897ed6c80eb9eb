// Package timers implements a hierarchical timing wheel (Varghese and Lauck,
// "Hashed and hierarchical timing wheels", 1987). It suits a host's timers:
// they are never cancelled, most are request deadlines seconds away, and most
// are no longer of interest when they expire.
package timers

import "math/bits"

const (
	slotBits  = 8
	numSlots  = 1 << slotBits
	numLevels = 4
)

// Wheel holds tokens by their expiry time. The caller chooses the unit of time;
// time only advances. A Wheel is not safe for concurrent use.
type Wheel struct {
	tick     int64 // length of a tick in the caller's unit
	now      int64 // in ticks; all earlier timers have expired
	count    int
	slots    [numLevels][numSlots][]timer
	occupied [numLevels][numSlots / 64]uint64 // bitmap of the slots that are not empty
	overflow []timer                          // beyond the last level
	expired  []timer                          // already expired when they were added
}

type timer struct {
	at    int64 // expiry in ticks
	token uint64
}

// NewWheel returns an empty wheel at time now. tick is the length of a tick in
// the caller's unit of time.
func NewWheel(tick, now int64) *Wheel {
	return &Wheel{tick: tick, now: now / tick}
}

// Len returns the number of tokens held.
func (w *Wheel) Len() int { return w.count }

// Add holds token until time at. The token expires in the first tick that
// begins at or after at, never earlier.
func (w *Wheel) Add(at int64, token uint64) {
	w.count++
	w.insert(timer{(at + w.tick - 1) / w.tick, token})
}

func (w *Wheel) insert(t timer) {
	if t.at <= w.now {
		w.expired = append(w.expired, t)
		return
	}
	// The level is that of the highest digit in which the expiry differs from now.
	level := (63 - bits.LeadingZeros64(uint64(t.at^w.now))) / slotBits
	if level >= numLevels {
		w.overflow = append(w.overflow, t)
		return
	}
	i := t.at >> (level * slotBits) & (numSlots - 1)
	w.slots[level][i] = append(w.slots[level][i], t)
	w.occupied[level][i/64] |= 1 << (i % 64)
}

// Advance moves the wheel to time now and appends the tokens that expired to
// out, in the order of their ticks.
func (w *Wheel) Advance(now int64, out []uint64) []uint64 {
	target := now / w.tick
	out = w.flushExpired(out)
	for w.now < target {
		if w.count == 0 {
			w.now = target
			break
		}
		next := w.nextStop()
		if next > target {
			w.moveTo(target)
			break
		}
		w.moveTo(next)
		out = w.flushExpired(out)
	}
	return out
}

// moveTo moves the wheel to a tick before which no timer expires, and
// redistributes the slots of higher levels that begin at that tick.
func (w *Wheel) moveTo(tick int64) {
	before := w.now
	w.now = tick
	if before>>(numLevels*slotBits) != tick>>(numLevels*slotBits) {
		overflow := w.overflow
		w.overflow = nil
		for _, t := range overflow {
			w.insert(t)
		}
	}
	for level := numLevels - 1; level >= 0; level-- {
		if before>>(level*slotBits) == tick>>(level*slotBits) {
			continue
		}
		i := tick >> (level * slotBits) & (numSlots - 1)
		if w.occupied[level][i/64]&(1<<(i%64)) == 0 {
			continue
		}
		timers := w.slots[level][i]
		w.slots[level][i] = timers[:0]
		w.occupied[level][i/64] &^= 1 << (i % 64)
		for _, t := range timers {
			w.insert(t) // always at a lower level, or expired
		}
	}
}

// flushExpired appends the tokens of the expired timers to out.
func (w *Wheel) flushExpired(out []uint64) []uint64 {
	for _, t := range w.expired {
		out = append(out, t.token)
	}
	w.count -= len(w.expired)
	w.expired = w.expired[:0]
	return out
}

// nextStop returns the next tick at which a timer expires or a slot of a higher
// level must be redistributed.
func (w *Wheel) nextStop() int64 {
	for level := range numLevels {
		shift := level * slotBits
		at := w.now >> shift
		if i := nextOccupied(&w.occupied[level], int(at&(numSlots-1))+1); i >= 0 {
			return (at&^(numSlots-1) | int64(i)) << shift
		}
	}
	return (w.now>>(numLevels*slotBits) + 1) << (numLevels * slotBits)
}

// nextOccupied returns the first occupied slot at or after i, or -1.
func nextOccupied(occupied *[numSlots / 64]uint64, i int) int {
	for word := i / 64; word < len(occupied); word++ {
		m := occupied[word]
		if word == i/64 {
			m &= ^uint64(0) << (i % 64)
		}
		if m != 0 {
			return word*64 + bits.TrailingZeros64(m)
		}
	}
	return -1
}

// Next returns the time at which Advance should be called next. No timer expires
// before it, but none may expire at it either. It returns false if the wheel is
// empty.
func (w *Wheel) Next() (int64, bool) {
	if w.count == 0 {
		return 0, false
	}
	if len(w.expired) > 0 {
		return w.now * w.tick, true
	}
	return w.nextStop() * w.tick, true
}
