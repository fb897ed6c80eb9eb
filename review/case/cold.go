//go:build review

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The figures of the settings by which a cold brick falls.
const (
	coldBears  = 29.0 // units that it bears in coldSpan from its start on
	coldFrom   = 0.23
	warmWithin = 15 * time.Second
	coldSpan   = time.Second
	meanUnits  = 2.01
)

// playCold replaces a brick of 20 hosts by a cold one under a burst on its data.
// 1.5 s later seven in ten hosts are killed and started again.
func playCold(w *world, trouble bool) ([]string, error) {
	stop := make(chan struct{})
	go w.traffic(300, stop)
	time.Sleep(5 * time.Second)
	old := w.bricks[0]
	started := time.Now()
	fresh, err := w.newBrick(0, started.UnixMilli())
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.bricks = append(w.bricks, fresh)
	old.status = "left"
	entries := []endpoint{old.entry(), fresh.entry()}
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.agent.change(entries...)
	}
	old.stop()
	go w.burst(300, 0, stop)
	if trouble {
		time.Sleep(1500 * time.Millisecond)
		var restarts sync.WaitGroup
		for _, h := range w.hosts[:14] {
			h.signal(syscall.SIGKILL)
			restarts.Go(func() {
				<-h.ended
				if h.writeConfig() == nil && h.start() == nil {
					h.awaitReady(10 * time.Second)
				}
			})
		}
		restarts.Wait()
	}
	time.Sleep(6 * time.Second)
	close(stop)
	w.clients.Wait()
	return w.coldBreaches(fresh, started), nil
}

// burst sends more requests to one shard through all hosts.
func (w *world) burst(rate float64, shard int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		h := w.hosts[rand.IntN(len(w.hosts))]
		w.send(w.newCall(h, &w.opt.classes[0], volume{id: 0x77 + uint64(rand.IntN(20)), plan: "university", hosts: w.opt.hosts}, shard, 1+rand.IntN(3)))
	}
}

// coldBreaches returns the spans in which a cold brick got more than it bears.
func (w *world) coldBreaches(b *brick, started time.Time) []string {
	type work struct {
		at    time.Time
		units float64
	}
	var got []work
	w.mu.Lock()
	for _, c := range w.calls {
		for _, a := range c.arrivals {
			if a.brick == b {
				got = append(got, work{a.lastByte, float64(c.units)})
			}
		}
	}
	w.mu.Unlock()
	slices.SortFunc(got, func(a, b work) int { return a.at.Compare(b.at) })
	var found []string
	worst := 0.0
	for i, first := 0, 0; i < len(got); i++ {
		for got[i].at.Sub(got[first].at) > coldSpan {
			first++
		}
		sum := 0.0
		for _, g := range got[first : i+1] {
			sum += g.units
		}
		age := got[i].at.Sub(started).Seconds() / warmWithin.Seconds()
		n := coldBears / meanUnits * (coldFrom + (1-coldFrom)*min(1, age)) / coldFrom
		bound := n + 3*math.Sqrt(n) + 3
		if n >= 30 {
			bound = n + 2*math.Sqrt(n) + 2
		}
		worst = max(worst, sum/meanUnits/bound)
		if sum/meanUnits > bound {
			found = append(found, fmt.Sprintf("%d ms after its start %s got %.1f requests of mean work in 1 s, %.1f are allowed", got[i].at.Sub(started).Milliseconds(), b.name, sum/meanUnits, bound))
		}
	}
	w.rec.say("the cold brick got %d requests, at most %.2f of what it bears in 1 s", len(got), worst)
	return found
}
