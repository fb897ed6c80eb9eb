package rules

import "slices"

// remembered is for how long at least a check knows what it saw, microseconds:
// far longer than any request, window or key's rest of a proof.
const remembered Micros = 120_000_000

// aging is a map that forgets what was not written for remembered, and twice
// that at the latest.
type aging[K comparable, V any] struct {
	now, old map[K]V
	since    Micros
}

func newAging[K comparable, V any]() *aging[K, V] {
	return &aging[K, V]{now: map[K]V{}, old: map[K]V{}}
}

func (m *aging[K, V]) get(k K) (V, bool) {
	if v, ok := m.now[k]; ok {
		return v, true
	}
	v, ok := m.old[k]
	return v, ok
}

func (m *aging[K, V]) put(k K, v V, at Micros) {
	if at-m.since > remembered {
		m.now, m.old, m.since = map[K]V{}, m.now, at
	}
	m.now[k] = v
}

// recent are the latest times of something, in order.
type recent struct{ times []Micros }

// add appends a time, and forgets those up to another.
func (r *recent) add(at, forget Micros) {
	if n := len(r.times); n > 64 && r.times[n/2] <= forget {
		r.times = append(r.times[:0], r.times[n/2:]...)
	}
	r.times = append(r.times, at)
}

// insert is add for a time that may lie before others.
func (r *recent) insert(at, forget Micros) {
	r.add(at, forget)
	for i := len(r.times) - 1; i > 0 && r.times[i-1] > at; i-- {
		r.times[i-1], r.times[i] = r.times[i], r.times[i-1]
	}
}

// between counts the times that are later than from, up to another.
func (r *recent) between(from, to Micros) int { return r.after(from) - r.after(to) }

// after counts the times that are later than from.
func (r *recent) after(from Micros) int {
	i, _ := slices.BinarySearch(r.times, from+1)
	return len(r.times) - i
}
