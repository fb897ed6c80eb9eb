//go:build review

package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The limit of the plan in the settings of results-store.
const (
	limitRate  = 14.4 // units a second
	limitBurst = 36.0
	limitSlack = 6.0
	heavyUnits = 6
)

// playLimit has one volume ask for many times its limit through three of five
// hosts. Once the store of its limit is spent, these three are killed outright
// and started again.
func playLimit(w *world, trouble bool) ([]string, error) {
	time.Sleep(4 * time.Second) // every part of the store is full
	v := volume{id: 0x3b4d60021, plan: "standard", hosts: 3}
	ask := func() {
		for _, h := range w.hosts[:3] {
			for shard := range 6 {
				w.send(w.newCall(h, &w.opt.classes[0], v, shard, heavyUnits))
			}
		}
	}
	ask()
	time.Sleep(150 * time.Millisecond)
	if trouble {
		var restarts sync.WaitGroup
		for _, h := range w.hosts[:3] {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range w.hosts[:3] {
			restarts.Go(func() {
				<-h.ended
				if h.start() == nil {
					h.awaitReady(10 * time.Second)
				}
			})
		}
		restarts.Wait()
	}
	ask()
	w.clients.Wait()
	return w.limitBreaches(v), nil
}

// limitBreaches replays the store of a volume's limit from what reached the
// bricks.
func (w *world) limitBreaches(v volume) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var sends []*call
	for _, c := range w.calls {
		if c.volume == v && len(c.arrivals) > 0 {
			sends = append(sends, c)
		}
	}
	sortByArrival(sends)
	var found []string
	level, at := limitBurst, time.Time{}
	for _, c := range sends {
		now := c.arrivals[0].firstByte
		if !at.IsZero() {
			level = min(limitBurst, level+limitRate*now.Sub(at).Seconds())
		}
		level, at = level-float64(c.units), now
		w.rec.at(now, "limit: %s draws %d, %.1f left", c.id, c.units, level)
		if level < -limitSlack-limitRate*slack.Seconds() {
			found = append(found, fmt.Sprintf("%s of host %s: the store of the limit is at %.1f units, %.0f are allowed", c.id, c.host.name, level, -limitSlack))
		}
	}
	return found
}

// sortByArrival sorts calls by when they first reached a brick.
func sortByArrival(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return a.arrivals[0].firstByte.Compare(b.arrivals[0].firstByte) })
}
