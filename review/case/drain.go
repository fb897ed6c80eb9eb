//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

// playDrainStall has one of three hosts stand still for 850 ms every 3 s. Within
// each of three of these stalls a brick begins to drain; 2 s later it is gone.
func playDrainStall(w *world, trouble bool) ([]string, error) {
	stop := make(chan struct{})
	go w.traffic(240, stop)
	time.Sleep(3 * time.Second)
	for i := range 3 {
		began := time.Now()
		if trouble {
			w.hosts[0].signal(syscall.SIGSTOP)
		}
		time.Sleep(200 * time.Millisecond)
		w.drain(w.bricks[i])
		time.Sleep(time.Until(began.Add(900 * time.Millisecond)))
		if trouble {
			w.hosts[0].signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(began.Add(2200 * time.Millisecond)))
		w.rec.at(time.Now(), "brick %s is gone", w.bricks[i].name)
		w.bricks[i].stop()
		time.Sleep(time.Until(began.Add(3 * time.Second)))
	}
	close(stop)
	w.clients.Wait()
	return w.drainBreaches(), nil
}

// outageLimit bounds the wait for a given-up call in an outage.
const outageLimit = 60 * time.Second

// playDrainOutage takes discovery down for about 20 s. Meanwhile a brick begins
// to drain, which every agent learns at discovery's return.
func playDrainOutage(w *world, trouble bool) ([]string, error) {
	stop := make(chan struct{})
	go w.traffic(240, stop)
	time.Sleep(3 * time.Second)
	b := w.bricks[0]
	began := time.Now()
	if trouble {
		for _, h := range w.hosts {
			h.agent.setDown()
		}
	}
	time.Sleep(14 * time.Second)
	w.drain(b)
	if trouble {
		if err := w.awaitGivenUpCall(began.Add(19 * time.Second)); err != nil {
			return nil, err
		}
		w.mu.Lock()
		e := b.entry()
		w.mu.Unlock()
		for _, h := range w.hosts {
			h.agent.restore(e)
		}
		w.rec.say("discovery was down for %.1f s", time.Since(began).Seconds())
	} else {
		time.Sleep(time.Until(began.Add(20 * time.Second)))
	}
	time.Sleep(2 * time.Second)
	close(stop)
	w.clients.Wait()
	return w.drainBreaches(), nil
}

// awaitGivenUpCall waits until the first host gives up a call to its silent
// agent after the given time.
func (w *world) awaitGivenUpCall(after time.Time) error {
	timeout := time.After(outageLimit)
	for {
		select {
		case at := <-w.hosts[0].agent.ended:
			if at.After(after) {
				return nil
			}
		case <-timeout:
			return fmt.Errorf("no call was given up in %s", outageLimit)
		}
	}
}

// drain tells all agents that a brick drains.
func (w *world) drain(b *brick) {
	w.mu.Lock()
	b.status = "leaving"
	e := b.entry()
	w.mu.Unlock()
	for _, h := range w.hosts {
		h.agent.change(e)
	}
}

// slack is what the protocol page adds to every time limit.
const slack = 50 * time.Millisecond

// drainBreaches returns the requests that reached a brick later than the grace
// after their host was told that it drains or is gone.
func (w *world) drainBreaches() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, c := range w.calls {
		for _, a := range c.arrivals {
			told, ok := c.host.agent.toldAt(a.brick.name)
			if late := a.firstByte.Sub(told); ok && late > w.opt.drainGrace+slack {
				found = append(found, fmt.Sprintf("%s of host %s reached %s %d ms after the host was told that it drains (%d ms are allowed)",
					c.id, c.host.name, a.brick.name, late.Milliseconds(), (w.opt.drainGrace+slack).Milliseconds()))
			}
		}
	}
	return found
}
