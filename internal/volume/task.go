// Package volume keeps block volumes on bricks: their records, who has them
// attached, and their extents, every request decided by the module as those of
// the object API are.
package volume

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/host"
	"arrowwalk/internal/placement"
)

// Options of a Store.
type Options struct {
	Config *config.Config
	Host   *host.Host
	Pool   *brick.Pool
	Log    *slog.Logger
	// Ended is told how each task of a volume ended; may be nil.
	Ended func(volume string, plan, shard int, end host.End)
	// NoFence takes a guard out, so that a proof is seen to fail: bricks are
	// not told that earlier attachments are over.
	NoFence bool
}

// Store finds, makes and attaches volumes.
type Store struct {
	opt      Options
	slots    *placement.Map
	sequence atomic.Uint64
}

// New returns a Store on a gateway's host and pool.
func New(opt Options) (*Store, error) {
	slots, err := opt.Config.Placement()
	if err != nil {
		return nil, err
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	return &Store{opt: opt, slots: slots}, nil
}

// ErrIO says that a request has failed for good: for a write, it may have run.
var ErrIO = errors.New("volume: input/output error")

// ErrFenced says that the volume was attached anew elsewhere.
var ErrFenced = errors.New("volume: attached anew elsewhere, this attachment is over")

// errRefused says that a request never ran.
var errRefused = errors.New("volume: refused for now")

// call is one request of the module for a volume.
type call struct {
	s      *Store
	class  int
	call   brick.Call
	id     string
	into   [][]byte // of a read: where the body goes; the rest is zeroed
	text   []byte   // of a read of a record
	record bool
	ans    brick.Answer
	units  float64
	plan   int
	node   host.Member

	task    host.Task
	attempt brick.Attempt
	mu      sync.Mutex
	number  int
	aborted int
}

// Abort ends the attempt of that number (host.Runner).
func (c *call) Abort(number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = max(c.aborted, number)
	if c.number == number {
		c.attempt.Abort()
	}
}

func (c *call) start(number int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted >= number {
		return false
	}
	c.number = number
	c.attempt.Reset()
	return true
}

// Try makes an attempt (host.Runner).
func (c *call) Try(t *host.Try) host.Result {
	if !c.start(t.Number) || t.Member.Address == "" {
		return host.Result{Status: arrowwalk.Moot}
	}
	b := c.call
	b.Request = c.id + "-" + strconv.FormatUint(uint64(t.Request), 10) + "." + strconv.Itoa(t.Number)
	b.Host, b.Volume, b.Units = c.s.opt.Config.Host.Number, uint64(c.task.Volume.ID), c.units
	b.Deadline, b.Expect = t.Until, string(t.Member.ID)
	if c.class == config.ClassWrite {
		b.Key = c.id + "-" + strconv.FormatUint(uint64(t.Request), 10)
	}
	began, lay := time.Now(), time.Duration(0)
	err := c.s.opt.Pool.Do(&c.attempt, t.Member.Address, &b, &c.ans)
	if err == nil {
		lay = c.s.opt.Host.Lay(c.ans.Raw, began, config.MS(c.s.opt.Config.Classes.Write.DeadlineMS))
		err = c.taken()
	}
	if err != nil {
		var f *brick.Failure
		if errors.As(err, &f) {
			return host.Result{Status: f.Status}
		}
		return host.Result{Status: arrowwalk.Cancelled}
	}
	r := host.Result{Status: arrowwalk.OK, Closed: true, OthersUnits: c.ans.Others, Lay: lay}
	if plan := &c.s.opt.Config.Plans[c.plan]; c.ans.Fleet > 0 && plan.Rate > 0 {
		r.FleetUse = 1 + 100*c.ans.Fleet/plan.Rate
	}
	return r
}

const recordMost = 64 << 10

// taken reads the answer's body straight to where it belongs.
func (c *call) taken() error {
	pool := c.s.opt.Pool
	switch {
	case c.record:
		var err error
		c.text, err = c.ans.ReadAll(pool, c.text[:0], recordMost)
		return err
	case c.into == nil || c.ans.Status != 200 && c.ans.Status != 206:
		c.ans.Done(pool, c.ans.Body.Drain(16<<10))
		return nil
	}
	left := c.ans.Length
	for _, b := range c.into {
		for len(b) > 0 && left > 0 {
			n, err := c.ans.Read(pool, b[:min(int64(len(b)), left)])
			left -= int64(n)
			b = b[n:]
			if err != nil && (left > 0 || !errors.Is(err, io.EOF)) {
				c.ans.Done(pool, false)
				return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: err}
			}
		}
		clear(b)
	}
	c.ans.Done(pool, c.ans.Body.Drain(16<<10) && left == 0)
	if left > 0 {
		return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("more bytes than were asked for")}
	}
	return nil
}

// newCall readies a call of a volume.
func (s *Store) newCall(volume string, plan, class, shard int, bytes int64, b brick.Call) *call {
	c := &call{} // the host may still hold a task after its verdict: none is used twice
	ms := s.opt.Config.Classes.Read.DeadlineMS
	if class == config.ClassWrite {
		ms = s.opt.Config.Classes.Write.DeadlineMS
	}
	c.s, c.class, c.call, c.plan, c.units = s, class, b, plan, s.opt.Config.UnitsFor(bytes)
	c.id = s.opt.Host.Label() + "-v" + strconv.FormatUint(s.sequence.Add(1), 10)
	c.number, c.aborted, c.into, c.record = -1, -1, nil, false
	c.task = host.Task{Class: class, Units: c.units, Shard: shard, Until: time.Now().Add(config.MS(ms)), Runner: c, Label: c.id,
		Volume: arrowwalk.Volume{ID: ID(volume), Plan: plan, Hosts: s.opt.Config.Host.Count}}
	return c
}

// ID is the module's number of a block volume, the same at all hosts.
func ID(volume string) arrowwalk.VolumeID {
	return arrowwalk.VolumeID(placement.Hash("volume/"+volume) >> 1)
}

// do has the module decide on a call. nil means that a brick answered.
func (s *Store) do(c *call, volume string) (after time.Duration, err error) {
	v := s.opt.Host.Do(&c.task)
	if s.opt.Ended != nil {
		s.opt.Ended(volume, c.plan, c.task.Shard, v.End)
	}
	switch v.End {
	case host.Served:
		if c.ans.Status == 409 {
			return 0, ErrFenced
		}
		return 0, nil
	case host.Refused:
		return v.After, errRefused
	}
	return 0, ErrIO
}

// planOf returns the place of a plan in the settings.
func (s *Store) planOf(name string) (int, error) {
	for i := range s.opt.Config.Plans {
		if s.opt.Config.Plans[i].Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("plan %q is not in the settings", name)
}
