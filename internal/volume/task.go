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
	"sync/atomic"
	"time"

	"arrowwalk"
	"arrowwalk/internal/attempts"
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
	// Observe is told what attempts showed of bricks; may be nil.
	Observe func(attempts.Observation)
	// OnTaskEnd is told how each task of a volume ended; may be nil.
	OnTaskEnd func(volume string, plan, shard int, end host.TaskStatus)
	// DisableFencing takes a guard out, so that a proof is seen to fail: bricks are
	// not told that earlier attachments are over.
	DisableFencing bool
}

// Store finds, makes and attaches volumes.
type Store struct {
	opt      Options
	sender   attempts.Sender
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
	return &Store{opt: opt, slots: slots, sender: attempts.Sender{Pool: opt.Pool, Host: opt.Host, Config: opt.Config, Observe: opt.Observe}}, nil
}

// ErrIO says that a request has failed for good: for a write, it may have run.
var ErrIO = errors.New("volume: input/output error")

// ErrFenced says that the volume was attached anew elsewhere.
var ErrFenced = errors.New("volume: attached anew elsewhere, this attachment is over")

// errRefused says that a request never ran.
var errRefused = errors.New("volume: refused for now")

// call is one request of the module for a volume.
type call struct {
	attempts.Call
	into [][]byte // of a read: where the body goes; the rest is zeroed
	text []byte   // of a read of a record
}

const recordMost = 64 << 10

// takeRecord reads the answer's body as text.
func (c *call) takeRecord(s *Store) func(*attempts.Call, *brick.Response) error {
	return func(_ *attempts.Call, ans *brick.Response) (err error) {
		c.text, err = ans.ReadAll(s.opt.Pool, c.text[:0], recordMost)
		return err
	}
}

// takeInto reads the answer's body straight to where it belongs.
func (c *call) takeInto(s *Store) func(*attempts.Call, *brick.Response) error {
	return func(_ *attempts.Call, ans *brick.Response) error {
		pool := s.opt.Pool
		if ans.Status != 200 && ans.Status != 206 {
			ans.Release(pool, ans.Body.Drain(16<<10))
			return nil
		}
		left := ans.Length
		for _, b := range c.into {
			for len(b) > 0 && left > 0 {
				n, err := ans.Read(pool, b[:min(int64(len(b)), left)])
				left -= int64(n)
				b = b[n:]
				if err != nil && (left > 0 || !errors.Is(err, io.EOF)) {
					return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: err}
				}
			}
			clear(b)
		}
		ans.Release(pool, ans.Body.Drain(16<<10) && left == 0)
		if left > 0 {
			return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("more bytes than were asked for")}
		}
		return nil
	}
}

// newCall readies a call of a volume.
func (s *Store) newCall(volume string, plan, class, shard int, bytes int64, b brick.Request) *call {
	c := &call{} // the host may still hold a task after its verdict: none is used twice
	c.ID = s.opt.Host.RunID() + "-v" + strconv.FormatUint(s.sequence.Add(1), 10)
	c.Request = b
	c.Task = host.Task{Class: class, Units: s.opt.Config.UnitsFor(bytes), Shard: shard, Deadline: time.Now().Add(s.sender.Timeout(class)),
		Volume: arrowwalk.Volume{ID: ID(volume), Plan: plan, Hosts: s.opt.Config.Host.Count}}
	c.Prepare(&s.sender)
	return c
}

// ID is the module's number of a block volume, the same at all hosts.
func ID(volume string) arrowwalk.VolumeID {
	return arrowwalk.VolumeID(placement.Hash("volume/"+volume) >> 1)
}

// do has the module decide on a call. nil means that a brick answered.
func (s *Store) do(c *call, volume string) (after time.Duration, err error) {
	v := c.Do()
	if s.opt.OnTaskEnd != nil {
		s.opt.OnTaskEnd(volume, c.Task.Volume.Plan, c.Task.Shard, v.Status)
	}
	switch v.Status {
	case host.Served:
		if c.Response.Status == 409 {
			return 0, ErrFenced
		}
		return 0, nil
	case host.Refused:
		return v.RetryAfter, errRefused
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
