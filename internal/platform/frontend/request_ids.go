package frontend

import "sync"

// recentMax is how many ids of answered requests are remembered.
const recentMax = 4096

// ids are the ids of open requests, and of the last that were answered: with
// every request, and with a client's retry, the id is new.
type ids struct {
	mu   sync.Mutex
	open map[string]bool // false: it was answered
	ring [recentMax]string
	next int
}

// take notes an id; false: it is open, or was a moment ago.
func (i *ids) take(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, known := i.open[id]; known {
		return false
	}
	i.open[id] = true
	return true
}

// done moves an id from the open to the recent ones.
func (i *ids) done(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.open[id] = false
	delete(i.open, i.ring[i.next])
	i.ring[i.next] = id
	i.next = (i.next + 1) % recentMax
}
