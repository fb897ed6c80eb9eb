package control

import (
	"fmt"
	"sync"
	"time"

	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/control/orderlog"
	"arrowwalk/internal/control/trafficstats"
)

// Controller is what stands behind the socket: the board of drains, the record of
// orders, the meters and the events. It is safe for concurrent use.
type Controller struct {
	Stats   *trafficstats.Collector
	OnStage func(string) // called as an order is "recorded" and "applied"; may be nil

	mu     sync.Mutex
	board  *drains.Registry
	book   *orderlog.Log // nil: orders are not kept
	apply  func()        // has the host told of changed states; returns when it has taken them
	events []Event       // the last ones
	last   int64
	feeds  map[*feed]struct{}
}

// eventsMost is how many events are kept for those who ask later.
const eventsMost = 4096

// NewController plays the kept orders again. book may be nil: orders are forgotten
// at the end then.
func NewController(book *orderlog.Log) (*Controller, error) {
	d := &Controller{Stats: trafficstats.NewCollector(), board: drains.NewRegistry(), book: book, feeds: map[*feed]struct{}{}}
	if book != nil {
		if err := book.Replay(d.board); err != nil {
			return nil, fmt.Errorf("play orders again: %w", err)
		}
	}
	return d, nil
}

// SetApplyFunc sets who has the host told when an order changed something.
func (d *Controller) SetApplyFunc(do func()) {
	d.mu.Lock()
	d.apply = do
	d.mu.Unlock()
}

// UpdateBricks takes in discovery's word.
func (d *Controller) UpdateBricks(list []drains.Brick) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := map[string]drains.State{}
	for _, s := range d.board.Statuses() {
		before[s.Brick] = s.State
	}
	d.board.UpdateBricks(list)
	for _, s := range d.board.Statuses() {
		if old, known := before[s.Brick]; known && old != s.State || !known {
			d.event("brick", s.Brick, fmt.Sprintf("%s is %s%s", s.Brick, s.State, byWhom(s)), nil)
		}
	}
}

func byWhom(s drains.Status) string {
	if s.Origin == drains.ByNone {
		return ""
	}
	return " by " + string(s.Origin)
}

// SetSelfDraining takes in a brick's own word, and tells whether that is new.
func (d *Controller) SetSelfDraining(brick string, draining bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.board.SetSelfDraining(brick, draining) {
		return false
	}
	s := d.board.Status(brick)
	d.event("brick", brick, fmt.Sprintf("%s says that it drains: %v; it is %s%s", brick, draining, s.State, byWhom(s)), nil)
	return true
}

// BrickState returns what may be sent to a brick.
func (d *Controller) BrickState(brick string) drains.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.Status(brick).State
}

// Statuses returns all bricks' states.
func (d *Controller) Statuses() []drains.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.Statuses()
}

// DrainCost returns what draining a brick would take away.
func (d *Controller) DrainCost(brick string) drains.Cost {
	volumes := d.Stats.VolumesByShard()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.board.Cost(brick, volumes)
}

// SubmitOrder decides on an order, records it, carries it out and returns when the
// host had taken it. It is on disk before anything follows from it: a crash in
// between leaves an order that the next start carries out.
func (d *Controller) SubmitOrder(o drains.Order) (drains.Result, time.Time, error) {
	volumes := d.Stats.VolumesByShard()
	d.mu.Lock()
	result, again, err := d.board.Preview(o, volumes)
	if err == nil && !again && d.book != nil {
		err = d.book.Append(orderlog.Entry{Order: o, Result: result})
	}
	if err == nil && !again {
		d.stage("recorded")
	}
	if err != nil || again {
		d.mu.Unlock()
		return result, time.Now(), err
	}
	d.board.Apply(o)
	d.event(string(o.Kind), o.Brick, fmt.Sprintf("%s orders to %s %s: now %s%s", o.Operator, o.Kind, o.Brick, result.After.State, byWhom(result.After)),
		&orderlog.Entry{Order: o, Result: result})
	apply := d.apply
	d.mu.Unlock()
	if apply != nil && result.Changed {
		apply()
	}
	d.stage("applied")
	return result, time.Now(), nil
}

func (d *Controller) stage(name string) {
	if d.OnStage != nil {
		d.OnStage(name)
	}
}

// PublishEvent tells of something that happened.
func (d *Controller) PublishEvent(kind, brick, text string) {
	d.mu.Lock()
	d.event(kind, brick, text, nil)
	d.mu.Unlock()
}

func (d *Controller) event(kind, brick, text string, entry *orderlog.Entry) {
	d.last++
	e := Event{Number: d.last, At: time.Now().UnixMicro(), Kind: kind, Brick: brick, Text: text, Entry: entry}
	if len(d.events) >= eventsMost {
		d.events = append(d.events[:0], d.events[eventsMost/4:]...)
	}
	d.events = append(d.events, e)
	for f := range d.feeds {
		f.event(e)
	}
}

// EventsAfter returns at most most kept events with numbers over after.
func (d *Controller) EventsAfter(after int64, most int) []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Event
	for _, e := range d.events {
		if e.Number > after && len(out) < most {
			out = append(out, e)
		}
	}
	return out
}

// LastEventNumber returns the last event's number.
func (d *Controller) LastEventNumber() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// feed is what a watcher has not been sent yet: all events, up to a bound, and
// the latest snapshot alone.
type feed struct {
	mu     sync.Mutex
	events []Event
	shot   *Snapshot
	missed int64
	full   bool // events were lost: the watcher is cut off
	ready  chan struct{}
}

// feedMost is how many events wait for a watcher that does not read.
const feedMost = 2048

func (d *Controller) subscribe(after int64) *feed {
	f := &feed{ready: make(chan struct{}, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.events {
		if e.Number > after {
			f.event(e)
		}
	}
	d.feeds[f] = struct{}{}
	return f
}

func (d *Controller) unsubscribe(f *feed) {
	d.mu.Lock()
	delete(d.feeds, f)
	d.mu.Unlock()
}

func (f *feed) nudge() {
	select {
	case f.ready <- struct{}{}:
	default:
	}
}

func (f *feed) event(e Event) {
	f.mu.Lock()
	if len(f.events) >= feedMost {
		f.full = true
	} else {
		f.events = append(f.events, e)
	}
	f.mu.Unlock()
	f.nudge()
}

func (f *feed) snapshot(s *Snapshot) {
	f.mu.Lock()
	if f.shot != nil {
		f.missed++
	}
	f.shot = s
	f.mu.Unlock()
	f.nudge()
}

// take returns what is to be sent; ok is false where events were lost.
func (f *feed) take() (events []Event, shot *Snapshot, missed int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, shot, missed = f.events, f.shot, f.missed
	f.events, f.shot, f.missed = nil, nil, 0
	return events, shot, missed, !f.full
}
