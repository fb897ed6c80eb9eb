package frontend

import "sync"

// maxRecentIDs is the number of ids of answered requests that are remembered.
const maxRecentIDs = 4096

// requestIDs holds the ids of the requests in progress and of the most recently
// answered ones. An id must not be reused: clients send a new one with every
// request, retries included. It is safe for concurrent use.
type requestIDs struct {
	mu     sync.Mutex
	known  map[string]bool      // true while the request is in progress
	recent [maxRecentIDs]string // ring buffer of answered ids
	next   int                  // index in recent
}

// add records the id of a new request. It returns false if the id is in use or
// was used recently.
func (r *requestIDs) add(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.known[id]; known {
		return false
	}
	r.known[id] = true
	return true
}

// finish moves an id from the requests in progress to the recent ones.
func (r *requestIDs) finish(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[id] = false
	delete(r.known, r.recent[r.next])
	r.recent[r.next] = id
	r.next = (r.next + 1) % maxRecentIDs
}
