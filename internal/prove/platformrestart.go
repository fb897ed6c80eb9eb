package prove

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/rules"
	standin "arrowwalk/internal/standin/platform"
)

// patient has clients wait for a brick that hangs, for longer than a planned
// restart lasts; it returns when they have their answers.
func (d *platformDay) patient() (wait func()) {
	d.mu.Lock()
	b := d.bricks[0]
	d.mu.Unlock()
	b.Take(platformPatience)
	var wg sync.WaitGroup
	_, before := d.log.Trace()
	for n := range 3 {
		c := &standin.Client{Name: fmt.Sprintf("p%02d-%d-", n, len(before)), Addr: func() string { return d.addr }, Log: d.log}
		wg.Go(func() {
			defer c.Close()
			c.Do(&standin.Request{Class: "index-text", Volume: uint64(n), Piece: uint64(n), Plan: "basic", Units: 1, Shard: 0, Hosts: 1, Wait: platformPatience})
		})
	}
	return func() {
		wg.Wait()
		b.Take(platformWork)
	}
}

// terminate stops the host as a planned restart does. The host stands still once
// through the time of its last responses and the one at which it would end.
func (d *platformDay) terminate() error {
	answered := d.patient()
	defer answered()
	wait(context.Background(), 200*time.Millisecond) // until they are taken
	d.mu.Lock()
	d.away = append(d.away, outage{from: time.Now().Add(300 * time.Millisecond)})
	d.mu.Unlock()
	d.cmd.Process.Signal(syscall.SIGHUP) // beside a stop it changes nothing
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	heldUp := make(chan error, 1)
	go func() { heldUp <- d.holdUp(time.Now().Add(killedAfter - heldUpBeforeKill)) }()
	ended := d.awaitEnd()
	return errors.Join(ended, <-heldUp)
}

// A host may be held up for heldUpFor at any time. In a planned restart that begins
// heldUpBeforeKill before SIGKILL may come.
const (
	heldUpFor        = 150 * time.Millisecond
	heldUpBeforeKill = 225 * time.Millisecond
)

// holdUp stops the host's process for heldUpFor at a time, unless it has ended.
func (d *platformDay) holdUp(at time.Time) error {
	wait(context.Background(), time.Until(at))
	still := rules.Still{From: time.Now().UnixMicro()}
	if err := d.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return ignoreEnded(err)
	}
	wait(context.Background(), heldUpFor)
	err := d.cmd.Process.Signal(syscall.SIGCONT)
	still.To = time.Now().UnixMicro()
	d.mu.Lock()
	d.stills = append(d.stills, still)
	d.mu.Unlock()
	return ignoreEnded(err)
}

// ignoreEnded returns nil for the error of a signal to a process that has ended.
func ignoreEnded(err error) error {
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// killedAfter is when a planned restart is killed at the earliest, after SIGTERM.
const killedAfter = 3700 * time.Millisecond

// awaitEnd waits for the host's end. Where this process itself, and so the
// machine, stood still meanwhile, the host has that much longer.
func (d *platformDay) awaitEnd() error {
	const beat = 10 * time.Millisecond
	began, last, stood := time.Now(), time.Now(), time.Duration(0)
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for {
		select {
		case err := <-d.ended:
			return err
		case <-tick.C:
		}
		now := time.Now()
		stood += max(0, now.Sub(last)-2*beat)
		last = now
		if now.Sub(began) > killedAfter+daySlack+stood {
			d.cmd.Process.Kill()
			<-d.ended
			return errors.New("the host did not end before it would have been killed")
		}
	}
}

// restart plays a planned restart. A host that has to be killed breaks a claim, and
// the run goes on, so that the requests that it has not answered are seen too.
func (d *platformDay) restart(ctx context.Context) error {
	if err := d.terminate(); err != nil {
		d.fault("SIGTERM: %v", err)
	}
	if err := d.writeConfig(d.agent.Addr()); err != nil {
		return err
	}
	err := d.start(ctx)
	d.mu.Lock()
	d.away[len(d.away)-1].to = time.Now()
	d.mu.Unlock()
	return err
}
