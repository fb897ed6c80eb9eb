package prove

import (
	"sync"
	"time"
)

// watch sees when this process stood still: on a machine that has no time for
// clients and bricks, what a claim measures is the machine, not the gateway.
type watch struct {
	mu   sync.Mutex
	last time.Time
	gaps [][2]time.Time
	stop chan struct{}
	done chan struct{}
}

const (
	watchBeat = 10 * time.Millisecond
	watchGap  = 60 * time.Millisecond // between two beats: six in a row were missed
)

func startWatch() *watch {
	w := &watch{last: time.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *watch) run() {
	defer close(w.done)
	tick := time.NewTicker(watchBeat)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		w.mu.Lock()
		if now.Sub(w.last) > watchGap {
			w.gaps = append(w.gaps, [2]time.Time{w.last, now})
		}
		w.last = now
		w.mu.Unlock()
	}
}

func (w *watch) close() {
	close(w.stop)
	<-w.done
}

// stood tells whether the process stood still between a time and now.
func (w *watch) stood(from time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.last) > watchGap {
		return true
	}
	n := len(w.gaps)
	return n > 0 && w.gaps[n-1][1].After(from)
}
