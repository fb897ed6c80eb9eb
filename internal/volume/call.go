// Package volume stores block volumes on bricks: their records with the current
// holder, and their extents. The module schedules each request, as it does the
// requests of the object API.
package volume

import (
	"context"
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

// Options configures a Store.
type Options struct {
	Config *config.Config
	Host   *host.Host
	Pool   *brick.Pool
	Log    *slog.Logger
	// Observe receives what attempts showed about the state of bricks; may be nil.
	Observe func(attempts.Observation)
	// OnTaskEnd receives the status with which each task of a volume ended; may be
	// nil.
	OnTaskEnd func(volume string, plan, shard int, end host.TaskStatus)
	// DisableFencing leaves bricks unaware of new attachments, so that they accept
	// writes of earlier ones. It is set only to check that a proof detects this.
	DisableFencing bool
}

// Store creates, lists, attaches and deletes the volumes kept on bricks. It is safe
// for concurrent use.
type Store struct {
	options  Options
	sender   attempts.Sender
	slots    *placement.Map
	sequence atomic.Uint64
}

// New returns a Store that sends its requests through the host and the pool of a
// gateway. It returns an error if the configuration has no valid placement.
func New(options Options) (*Store, error) {
	slots, err := options.Config.Placement()
	if err != nil {
		return nil, err
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Store{options: options, slots: slots, sender: attempts.Sender{Pool: options.Pool, Host: options.Host, Config: options.Config, Observe: options.Observe}}, nil
}

// ErrIO reports that a request failed. A failed write may have run.
var ErrIO = errors.New("volume: input/output error")

// ErrFenced reports that a newer attachment of the volume replaced this one.
var ErrFenced = errors.New("volume: replaced by a newer attachment")

// errRefused reports that a request was refused before it ran.
var errRefused = errors.New("volume: request refused")

// call is one request that the module schedules for a volume.
type call struct {
	attempts.Call
	readBuffers [][]byte // of an extent read: receives the body; the rest is zeroed
	recordBytes []byte   // of a record read: the body
}

// maxRecordBytes is the largest body of a record or a listing that is read.
const maxRecordBytes = 64 << 10

// readRecordBody returns a response handler that reads the body into recordBytes.
func (c *call) readRecordBody(s *Store) func(*attempts.Call, *brick.Response) error {
	return func(_ *attempts.Call, response *brick.Response) (err error) {
		c.recordBytes, err = response.ReadAll(s.options.Pool, c.recordBytes[:0], maxRecordBytes)
		return err
	}
}

// readExtentBody returns a response handler that reads the body directly into
// readBuffers, without a copy, and zeroes what the body does not fill.
func (c *call) readExtentBody(s *Store) func(*attempts.Call, *brick.Response) error {
	return func(_ *attempts.Call, response *brick.Response) error {
		pool := s.options.Pool
		if response.Status != 200 && response.Status != 206 {
			response.Release(pool, response.Body.Drain(16<<10))
			return nil
		}
		remaining := response.Length
		for _, buf := range c.readBuffers {
			for len(buf) > 0 && remaining > 0 {
				n, err := response.Read(pool, buf[:min(int64(len(buf)), remaining)])
				remaining -= int64(n)
				buf = buf[n:]
				if err != nil && (remaining > 0 || !errors.Is(err, io.EOF)) {
					return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonShort, Err: err}
				}
			}
			clear(buf)
		}
		response.Release(pool, response.Body.Drain(16<<10) && remaining == 0)
		if remaining > 0 {
			return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: errors.New("the response has more bytes than the requested range")}
		}
		return nil
	}
}

// newCall returns a prepared call. bytes is the size that its cost in units is
// computed from.
func (s *Store) newCall(volume string, plan, class, shard int, bytes int64, request brick.Request) *call {
	c := &call{} // not reused: the host may still refer to a task after its verdict
	c.ID = s.options.Host.RunID() + "-v" + strconv.FormatUint(s.sequence.Add(1), 10)
	c.Request = request
	c.Task = host.Task{Class: class, Units: s.options.Config.UnitsFor(bytes), Shard: shard, Deadline: time.Now().Add(s.sender.Timeout(class)),
		Volume: arrowwalk.Volume{ID: ID(volume), Plan: plan, Hosts: s.options.Config.Host.Count}}
	c.Prepare(&s.sender)
	return c
}

// ID returns the module's ID of a block volume, which is the same at all hosts.
func ID(volume string) arrowwalk.VolumeID {
	return arrowwalk.VolumeID(placement.Hash("volume/"+volume) >> 1)
}

// perform runs a call under the module's decisions. A nil error means that a brick
// answered. With errRefused, retryAfter is the wait that the module asks for. If ctx ends,
// the call is abandoned and fails; it may have run.
func (s *Store) perform(ctx context.Context, c *call, volume string) (retryAfter time.Duration, err error) {
	if ctx.Err() != nil {
		return 0, ErrIO
	}
	ended := make(chan struct{})
	defer close(ended)
	defer context.AfterFunc(ctx, func() { s.abandon(&c.Task, ended) })()
	verdict := c.Do()
	if s.options.OnTaskEnd != nil {
		s.options.OnTaskEnd(volume, c.Task.Volume.Plan, c.Task.Shard, verdict.Status)
	}
	switch verdict.Status {
	case host.Served:
		if c.Response.Status == 409 {
			return 0, ErrFenced
		}
		return 0, nil
	case host.Refused:
		return verdict.RetryAfter, errRefused
	}
	return 0, ErrIO
}

// abandonRetryInterval is how often a task is abandoned again that the host does not have
// yet.
const abandonRetryInterval = time.Millisecond

// abandon abandons a task, once the host has it. It returns when the task has ended.
func (s *Store) abandon(task *host.Task, ended <-chan struct{}) {
	for !s.options.Host.Abandon(task) {
		select {
		case <-ended:
			return
		case <-time.After(abandonRetryInterval):
		}
	}
}

// planIndex returns the index of a plan in the configuration.
func (s *Store) planIndex(name string) (int, error) {
	for i := range s.options.Config.Plans {
		if s.options.Config.Plans[i].Name == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("plan %q is not in the configuration", name)
}
