// Package attempts makes the attempts of tasks at bricks, for any front: what a
// front wants of a brick is a Call, the module says to which brick it goes and
// how often, and what each attempt showed is told to those who watch bricks.
package attempts

import (
	"errors"
	"strconv"
	"time"

	"arrowwalk"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/connpool"
	"arrowwalk/internal/host"
)

// Sender is what all attempts of a gateway share.
type Sender struct {
	Pool   *brick.Pool
	Host   *host.Host
	Config *config.Config
	// Observe is told what attempts showed of bricks; nil: nobody is.
	Observe func(Observation)
	// AcceptAnyBrick lets any brick answer for another; for proofs that must fail.
	AcceptAnyBrick bool
}

// Observation is what an attempt showed of a brick.
type Observation struct {
	Brick    string
	Identity string       // who answered (brick.HeaderBrick); "": nobody did
	Reason   brick.Reason // why the attempt failed; "": it did not
	Volume   uint64
	Units    float64
	Latency  time.Duration
	Util     float64 // that the brick told; -1: none
	Draining bool    // the brick asks for nothing new
	Write    bool
}

// MaxTimeout returns the longest that a client or guest may wait for an answer.
func (s *Sender) MaxTimeout() time.Duration {
	c := &s.Config.Classes
	return config.MS(max(c.Read.DeadlineMS, c.Write.DeadlineMS))
}

// Timeout returns how long a task of a class may take.
func (s *Sender) Timeout(class int) time.Duration {
	if class == config.ClassWrite {
		return config.MS(s.Config.Classes.Write.DeadlineMS)
	}
	return config.MS(s.Config.Classes.Read.DeadlineMS)
}

// Call is one request of the module: a request to a brick, made as often as
// the module says. It is used once.
type Call struct {
	ID      string // of the client's request, in every log
	Request brick.Request
	// HandleResponse reads the answer's body; nil: nothing is wanted of it. Where it does
	// not give the connection back itself, that is done for it.
	HandleResponse func(c *Call, ans *brick.Response) error

	Response      brick.Response // head of the answer that counted
	ResponseBegun bool           // the client's answer has begun: it cannot begin again
	Reason        brick.Reason   // why the last attempt failed; "": it did not
	Node          host.Member    // of the last attempt
	Task          host.Task

	sender  *Sender
	attempt connpool.NumberedAttempt
}

// Prepare makes the call, whose Task says what the module is to know, ready for Do.
func (c *Call) Prepare(s *Sender) {
	c.sender = s
	c.Task.Runner, c.Task.ClientRequestID = c, c.ID
}

// Do has the module decide on the call until its final word.
func (c *Call) Do() host.TaskResult { return c.sender.Host.Do(&c.Task) }

// BeginStream tells the host that the client's answer begins in this attempt: its
// deadline no longer counts, and no further attempt is made.
func (c *Call) BeginStream() {
	if c.ResponseBegun {
		return
	}
	c.ResponseBegun = true
	c.sender.Host.BeginStream(&c.Task, c.attempt.Number(), c.Node.ID)
}

// Abort ends the attempt of that number (host.Runner).
func (c *Call) Abort(number int) { c.attempt.Abort(number) }

// request returns what is sent in an attempt.
func (c *Call) request(t *host.Attempt) brick.Request {
	q := c.Request
	task := c.ID + "-" + strconv.FormatUint(uint64(t.Request), 10)
	q.RequestID = task + "." + strconv.Itoa(t.Number)
	q.Host, q.Volume, q.Units = c.sender.Config.Host.Number, uint64(c.Task.Volume.ID), c.Task.Units
	q.Deadline, q.Expect = t.Deadline, string(t.Member.ID)
	if c.Task.Class == config.ClassWrite {
		q.Key = task
	}
	if c.sender.AcceptAnyBrick {
		q.Expect = ""
	}
	return q
}

// Try makes an attempt (host.Runner).
func (c *Call) Try(t *host.Attempt) host.AttemptResult {
	if !c.attempt.Begin(t.Number) {
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	if t.Member.Address == "" {
		c.Reason = brick.ReasonUnknownBrick
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	c.Node = t.Member
	q, s := c.request(t), c.sender
	began, lay := time.Now(), time.Duration(0)
	err := s.Pool.Do(&c.attempt.Attempt, t.Member.Address, &q, &c.Response)
	if err == nil {
		lay = s.Host.SocketDelay(c.Response.Raw, began, s.MaxTimeout())
		err = c.taken()
	}
	r := c.result(err)
	r.SocketDelay = lay
	if s.Observe != nil {
		s.Observe(c.seen(&q, time.Since(began)-lay, err == nil))
	}
	return r
}

// taken reads the answer's body and gives the connection back.
func (c *Call) taken() error {
	pool := c.sender.Pool
	if c.HandleResponse == nil {
		c.Response.Release(pool, c.Response.Body.Drain(16<<10))
		return nil
	}
	err := c.HandleResponse(c, &c.Response)
	c.Response.Release(pool, err == nil)
	return err
}

// result tells the module how the attempt ended.
func (c *Call) result(err error) host.AttemptResult {
	r := host.AttemptResult{Status: arrowwalk.OK, Final: true}
	if err != nil {
		r.Final = c.ResponseBegun // an answer that has begun cannot be begun again
		var f *brick.Failure
		if errors.As(err, &f) {
			r.Status, c.Reason = f.Status, f.Reason
		} else {
			r.Status, c.Reason = arrowwalk.Cancelled, brick.ReasonClient
		}
		return r
	}
	c.Reason = ""
	plan := &c.sender.Config.Plans[c.Task.Volume.Plan]
	if c.Response.FleetRate > 0 && plan.Rate > 0 {
		r.FleetUse = 1 + 100*c.Response.FleetRate/plan.Rate
	}
	r.OtherHostsUnits = c.Response.OtherHostsUnits
	return r
}

func (c *Call) seen(q *brick.Request, took time.Duration, good bool) Observation {
	what := Observation{Brick: string(c.Node.ID), Reason: c.Reason, Volume: q.Volume, Units: q.Units, Latency: took, Util: -1,
		Write: q.Method == "PUT" || q.Method == "PATCH"}
	if good {
		what.Identity, what.Util, what.Draining = c.Response.Brick, c.Response.Util, c.Response.Draining
		if c.Response.Status == 507 {
			what.Reason = brick.ReasonDiskFull
		}
	}
	return what
}
