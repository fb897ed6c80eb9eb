//go:build review

// Command case plays one case of the review: programs of the project as
// processes, with stand-ins of bricks, discovery and clients, and a judge of one
// rule.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// plays holds all plays by name. Each returns the breaches that it saw.
var plays = map[string]func(rec *recorder, trouble bool) ([]string, error){
	"overwrite":    playOverwrite,
	"shutdown":     onPlatform(pasig, playShutdown),
	"order":        onPlatform(amman, playOrder),
	"drain-stall":  onPlatform(pasig, playDrainStall),
	"drain-outage": onPlatform(pasig, playDrainOutage),
	"limit":        onPlatform(results, playLimit),
	"cold":         onPlatform(throng, playCold),
}

// onPlatform returns a play on hosts of the users' platform.
func onPlatform(site func() siteOptions, play func(w *world, trouble bool) ([]string, error)) func(rec *recorder, trouble bool) ([]string, error) {
	return func(rec *recorder, trouble bool) ([]string, error) {
		w, err := newWorld(rec, site())
		if err != nil {
			return nil, err
		}
		defer w.close()
		if err := w.openHosts(); err != nil {
			return nil, err
		}
		breaches, err := play(w, trouble)
		if err == nil {
			w.summarize()
		}
		return breaches, err
	}
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case PLAY RECORD, from the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays once and writes the record. It returns the exit code.
func run(play func(rec *recorder, trouble bool) ([]string, error), record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	time.AfterFunc(timeLimit, func() { // the processes that this one started end with it
		rec.say("could not run: not over after %s", timeLimit)
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("trouble: %v", trouble)
	breaches, err := play(rec, trouble)
	if err != nil {
		rec.say("could not run: %v", err)
		return exitNotRun
	}
	for i, b := range breaches {
		if i < maxShown {
			rec.say("BROKEN: %s", b)
		} else {
			rec.at(time.Now(), "BROKEN: %s", b)
		}
	}
	if len(breaches) > 0 {
		rec.say("the rule was broken %d times", len(breaches))
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// timeLimit bounds a run.
const timeLimit = 110 * time.Second

// maxShown is the number of breaches that are shown; the record has all.
const maxShown = 20

// traffic sends requests to all hosts until stop is closed, at a rate of
// requests a second, evenly drawn over hosts, shards and classes.
func (w *world) traffic(rate float64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		h := w.hosts[rand.IntN(len(w.hosts))]
		cl := &w.opt.classes[0]
		if rand.Float64() < 0.35 {
			cl = &w.opt.classes[1]
		}
		v := volume{id: 0x3b4d60000 + uint64(rand.IntN(20)), plan: []string{"basic", "campus", "university"}[rand.IntN(3)], hosts: w.opt.hosts}
		v.id = v.id<<2 + uint64(len(v.plan)%4) // a volume has one plan
		w.send(w.newCall(h, cl, v, rand.IntN(w.opt.groups), 1+rand.IntN(3)))
	}
}

// summarize says how the requests ended.
func (w *world) summarize() {
	w.mu.Lock()
	ends, wrong, attempts := map[int]int{}, 0, 0
	for _, c := range w.calls {
		ends[c.status]++
		attempts += len(c.arrivals)
		if c.wrong {
			wrong++
		}
	}
	n := len(w.calls)
	w.mu.Unlock()
	w.rec.say("%d requests, %d attempts at bricks, answers by status (0: none) %v, wrong answers %d", n, attempts, ends, wrong)
}
