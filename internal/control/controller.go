package control

import (
	"fmt"
	"sync"
	"time"

	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/control/orderlog"
	"arrowwalk/internal/control/trafficstats"
)

// Controller holds the state behind the control socket: the registry of drains, the
// log of orders, the traffic statistics and the events. It is safe for concurrent
// use.
type Controller struct {
	Stats   *trafficstats.Collector
	OnStage func(string) // called with "recorded" and "applied" at these stages of an order; may be nil

	mu        sync.Mutex // guards the fields below
	registry  *drains.Registry
	orderLog  *orderlog.Log // nil if orders are not persisted
	apply     func()        // notifies the host of changed states and returns once they are in effect
	events    []Event       // the latest events, at most maxEvents
	lastEvent int64         // number of the last event
	feeds     map[*feed]struct{}
}

// maxEvents bounds the events that are retained for EventsAfter and new watchers.
const maxEvents = 4096

// NewController returns a Controller and replays the logged orders. The caller owns
// log and closes it. If log is nil, orders are lost when the process ends.
func NewController(log *orderlog.Log) (*Controller, error) {
	c := &Controller{Stats: trafficstats.NewCollector(), registry: drains.NewRegistry(), orderLog: log, feeds: map[*feed]struct{}{}}
	if log != nil {
		if err := log.Replay(c.registry); err != nil {
			return nil, fmt.Errorf("replay orders: %w", err)
		}
	}
	return c, nil
}

// SetApplyFunc sets the function that notifies the host after an order that changed
// something.
func (c *Controller) SetApplyFunc(apply func()) {
	c.mu.Lock()
	c.apply = apply
	c.mu.Unlock()
}

// UpdateBricks replaces the list of discovery and publishes an event for each state
// that changed.
func (c *Controller) UpdateBricks(list []drains.Brick) {
	c.mu.Lock()
	defer c.mu.Unlock()
	statesBefore := map[string]drains.State{}
	for _, s := range c.registry.Statuses() {
		statesBefore[s.Brick] = s.State
	}
	c.registry.UpdateBricks(list)
	for _, s := range c.registry.Statuses() {
		if stateBefore, known := statesBefore[s.Brick]; known && stateBefore != s.State || !known {
			c.publish("brick", s.Brick, fmt.Sprintf("%s is %s%s", s.Brick, s.State, originSuffix(s)), nil)
		}
	}
}

// originSuffix returns " by " and the origin of a state, or "" if it has none.
func originSuffix(status drains.Status) string {
	if status.Origin == drains.ByNone {
		return ""
	}
	return " by " + string(status.Origin)
}

// SetSelfDraining records whether a brick reports that it is draining. It returns
// true if that changed.
func (c *Controller) SetSelfDraining(brick string, draining bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.registry.SetSelfDraining(brick, draining) {
		return false
	}
	s := c.registry.Status(brick)
	c.publish("brick", brick, fmt.Sprintf("%s says that it drains: %v; it is %s%s", brick, draining, s.State, originSuffix(s)), nil)
	return true
}

// BrickState returns the state of a brick.
func (c *Controller) BrickState(brick string) drains.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Status(brick).State
}

// Statuses returns the status of every brick.
func (c *Controller) Statuses() []drains.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Statuses()
}

// DrainCost returns the effects that draining a brick would have.
func (c *Controller) DrainCost(brick string) drains.Cost {
	volumes := c.Stats.VolumesByShard()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Cost(brick, volumes)
}

// SubmitOrder validates an order, logs it and applies it, and returns the time at
// which it was in effect. The order is on disk before it takes effect, so that after
// a crash in between the next start applies it.
func (c *Controller) SubmitOrder(o drains.Order) (drains.Result, time.Time, error) {
	volumes := c.Stats.VolumesByShard()
	c.mu.Lock()
	result, isRepeat, err := c.registry.Preview(o, volumes)
	if err == nil && !isRepeat && c.orderLog != nil {
		err = c.orderLog.Append(orderlog.Entry{Order: o, Result: result})
	}
	if err == nil && !isRepeat {
		c.reachStage("recorded")
	}
	if err != nil || isRepeat {
		c.mu.Unlock()
		return result, time.Now(), err
	}
	c.registry.Apply(o)
	c.publish(string(o.Kind), o.Brick, fmt.Sprintf("%s orders to %s %s: now %s%s", o.Operator, o.Kind, o.Brick, result.After.State, originSuffix(result.After)),
		&orderlog.Entry{Order: o, Result: result})
	apply := c.apply
	c.mu.Unlock()
	if apply != nil && result.Changed {
		apply()
	}
	c.reachStage("applied")
	return result, time.Now(), nil
}

// reachStage calls OnStage if it is set.
func (c *Controller) reachStage(name string) {
	if c.OnStage != nil {
		c.OnStage(name)
	}
}

// PublishEvent stores an event and sends it to all watchers.
func (c *Controller) PublishEvent(kind, brick, text string) {
	c.mu.Lock()
	c.publish(kind, brick, text, nil)
	c.mu.Unlock()
}

// publish stores an event and adds it to all feeds. It requires mu.
func (c *Controller) publish(kind, brick, text string, entry *orderlog.Entry) {
	c.lastEvent++
	e := Event{Number: c.lastEvent, At: time.Now().UnixMicro(), Kind: kind, Brick: brick, Text: text, Entry: entry}
	if len(c.events) >= maxEvents {
		c.events = append(c.events[:0], c.events[maxEvents/4:]...)
	}
	c.events = append(c.events, e)
	for f := range c.feeds {
		f.addEvent(e)
	}
}

// EventsAfter returns the oldest retained events with numbers above after, at most
// maxCount.
func (c *Controller) EventsAfter(after int64, maxCount int) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Event
	for _, e := range c.events {
		if e.Number > after && len(out) < maxCount {
			out = append(out, e)
		}
	}
	return out
}

// LastEventNumber returns the number of the last event.
func (c *Controller) LastEventNumber() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEvent
}

// feed holds what was not sent to a watcher yet: all events, up to maxFeedEvents, and
// only the latest snapshot.
type feed struct {
	mu              sync.Mutex
	events          []Event
	snapshot        *Snapshot
	missedSnapshots int64
	overflowed      bool          // events were lost, so the watcher is disconnected
	ready           chan struct{} // holds a value while there is something to send
}

// maxFeedEvents bounds the events that wait for a watcher that does not read.
const maxFeedEvents = 2048

// subscribe returns a feed of all events with numbers above after.
func (c *Controller) subscribe(after int64) *feed {
	f := &feed{ready: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if e.Number > after {
			f.addEvent(e)
		}
	}
	c.feeds[f] = struct{}{}
	return f
}

func (c *Controller) unsubscribe(f *feed) {
	c.mu.Lock()
	delete(c.feeds, f)
	c.mu.Unlock()
}

// signal marks the feed as ready without blocking.
func (f *feed) signal() {
	select {
	case f.ready <- struct{}{}:
	default:
	}
}

// addEvent appends an event, or marks the feed as overflowed.
func (f *feed) addEvent(e Event) {
	f.mu.Lock()
	if len(f.events) >= maxFeedEvents {
		f.overflowed = true
	} else {
		f.events = append(f.events, e)
	}
	f.mu.Unlock()
	f.signal()
}

// setSnapshot replaces a snapshot that was not sent yet.
func (f *feed) setSnapshot(s *Snapshot) {
	f.mu.Lock()
	if f.snapshot != nil {
		f.missedSnapshots++
	}
	f.snapshot = s
	f.mu.Unlock()
	f.signal()
}

// drain returns and clears what is to be sent. ok is false if events were lost.
func (f *feed) drain() (events []Event, snapshot *Snapshot, missedSnapshots int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, snapshot, missedSnapshots = f.events, f.snapshot, f.missedSnapshots
	f.events, f.snapshot, f.missedSnapshots = nil, nil, 0
	return events, snapshot, missedSnapshots, !f.overflowed
}
