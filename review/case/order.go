//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	orderRounds = 8
	orderKeys   = 5 // pairs of writes in a round
)

// playOrder has one of three hosts stand still for 1 s every 3 s. In each of
// these seconds two programs write the same piece of data, one 0.3 s after the
// other, on connections of their own.
func playOrder(w *world, trouble bool) ([]string, error) {
	h, cl := w.hosts[0], &w.opt.classes[1]
	var pairs [][2]*call
	for round := range orderRounds {
		began := time.Now()
		if trouble {
			h.signal(syscall.SIGSTOP)
		}
		var first, second []*call
		for i := range orderKeys {
			v := volume{id: 0x3b4d60021 + uint64(i), plan: "priority", hosts: w.opt.hosts}
			a, b := w.newCall(h, cl, v, -1, 1), w.newCall(h, cl, v, -1, 1)
			a.key = 0x7f3a9c2100000000 + uint64(round*orderKeys+i)
			b.key, a.body, b.body = a.key, "first", "second"
			first, second = append(first, a), append(second, b)
			pairs = append(pairs, [2]*call{a, b})
		}
		time.Sleep(time.Until(began.Add(300 * time.Millisecond)))
		w.sendAll(first)
		time.Sleep(time.Until(began.Add(600 * time.Millisecond)))
		w.sendAll(second)
		time.Sleep(time.Until(began.Add(time.Second)))
		if trouble {
			h.signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(began.Add(3 * time.Second)))
	}
	w.clients.Wait()
	return w.orderBreaches(pairs), nil
}

func (w *world) sendAll(calls []*call) {
	for _, c := range calls {
		w.send(c)
	}
}

// orderBreaches returns the pairs whose second request was sent to a brick
// before the first, which was sent later and so was not over.
func (w *world) orderBreaches(pairs [][2]*call) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, p := range pairs {
		a, b := p[0], p[1]
		if len(a.arrivals) == 0 || len(b.arrivals) == 0 {
			continue // refused or failed, which may come out of turn
		}
		if early := a.arrivals[0].firstByte.Sub(b.arrivals[0].firstByte); early > 0 {
			found = append(found, fmt.Sprintf("key %016x: %s (%q) was taken %d ms before %s (%q) and sent to a brick %d ms after it; answers %d and %d; stored at the end: %q",
				a.key, a.id, a.body, b.sent.Sub(a.sent).Milliseconds(), b.id, b.body, early.Milliseconds(), a.status, b.status, w.stored[fmt.Sprintf("%016x", a.key)]))
		}
	}
	return found
}
