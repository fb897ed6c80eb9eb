//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// killAfter is when SIGKILL may come at the earliest, counted from SIGTERM: the
	// longest deadline and 0.7 s.
	killAfter = 2500*time.Millisecond + 700*time.Millisecond
	// heldUpAt and heldUpFor place the hold-up of a host in its shutdown. It ends
	// 75 ms before SIGKILL may come.
	heldUpAt  = killAfter - 225*time.Millisecond
	heldUpFor = 150 * time.Millisecond
	// platformKill is when this platform sends SIGKILL.
	platformKill = killAfter + 500*time.Millisecond
	restartAfter = killAfter + 700*time.Millisecond
)

// playShutdown restarts the three hosts as planned, one after the other, while
// four of nine bricks hang. Each is held up once for 0.15 s, near the end of its
// shutdown.
func playShutdown(w *world, trouble bool) ([]string, error) {
	stop := make(chan struct{})
	go w.traffic(240, stop)
	time.Sleep(2 * time.Second)
	for _, h := range w.hosts {
		w.setHanging(4, true)
		if err := w.restart(h, trouble); err != nil {
			return nil, err
		}
		w.setHanging(4, false)
		time.Sleep(time.Second)
	}
	close(stop)
	w.clients.Wait()
	return w.lostRequests(), nil
}

// setHanging makes the first n bricks hang or go on.
func (w *world) setHanging(n int, hangs bool) {
	for _, b := range w.bricks[:n] {
		b.setHangs(hangs)
	}
}

// restart ends a host with SIGTERM, and with SIGKILL if it does not end by
// itself, and starts it again.
func (w *world) restart(h *host, trouble bool) error {
	term := h.signal(syscall.SIGTERM)
	if trouble {
		time.Sleep(time.Until(term.Add(heldUpAt)))
		h.signal(syscall.SIGSTOP)
		time.Sleep(time.Until(term.Add(heldUpAt + heldUpFor)))
		h.signal(syscall.SIGCONT)
	}
	select {
	case <-h.ended:
		w.rec.say("host %s ended by itself %d ms after SIGTERM; SIGKILL could come after %d ms", h.name, time.Since(term).Milliseconds(), killAfter.Milliseconds())
	case <-time.After(time.Until(term.Add(platformKill))):
		h.kill()
	}
	time.Sleep(time.Until(term.Add(restartAfter)))
	if err := h.writeConfig(); err != nil {
		return err
	}
	if err := h.start(); err != nil {
		return err
	}
	return h.awaitReady(10 * time.Second)
}

// crossing is how long after its last byte a request may cross the end of a
// resting connection; a host that ends a connection later has had the request
// before. It covers a hold-up.
const crossing = heldUpFor + 100*time.Millisecond

// lostRequests returns the requests that a host took and whose connection it
// ended without a whole answer, or that it did not answer within half a second
// after their time.
func (w *world) lostRequests() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, c := range w.calls {
		switch {
		case c.sent.IsZero():
		case !c.cut.IsZero() && c.cut.Sub(c.sent) > crossing && c.cut.Before(c.sent.Add(c.timeout)):
			found = append(found, fmt.Sprintf("%s: host %s ended its connection without an answer %d ms after its last byte, with %d ms of its time left; first on its connection: %v, attempts at bricks: %d",
				c.id, c.host.name, c.cut.Sub(c.sent).Milliseconds(), (c.timeout-c.cut.Sub(c.sent)).Milliseconds(), c.first, len(c.arrivals)))
		case c.cut.IsZero() && !c.whole:
			found = append(found, fmt.Sprintf("%s of host %s: %s", c.id, c.host.name, c.how))
		}
	}
	return found
}
