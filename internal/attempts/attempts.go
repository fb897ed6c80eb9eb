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
	// Seen is told what attempts showed of bricks; nil: nobody is.
	Seen func(Seen)
	// AnyBrick lets any brick answer for another; for proofs that must fail.
	AnyBrick bool
}

// Seen is what an attempt showed of a brick.
type Seen struct {
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

// Longest returns the longest that a client or guest may wait for an answer.
func (s *Sender) Longest() time.Duration {
	c := &s.Config.Classes
	return config.MS(max(c.Read.DeadlineMS, c.Write.DeadlineMS))
}

// Deadline returns how long a task of a class may take.
func (s *Sender) Deadline(class int) time.Duration {
	if class == config.ClassWrite {
		return config.MS(s.Config.Classes.Write.DeadlineMS)
	}
	return config.MS(s.Config.Classes.Read.DeadlineMS)
}

// Call is one request of the module: a request to a brick, made as often as
// the module says. It is used once.
type Call struct {
	ID      string // of the client's request, in every log
	Request brick.Call
	// Take reads the answer's body; nil: nothing is wanted of it. Where it does
	// not give the connection back itself, that is done for it.
	Take func(c *Call, ans *brick.Answer) error

	Answer brick.Answer // head of the answer that counted
	Began  bool         // the client's answer has begun: it cannot begin again
	Reason brick.Reason // why the last attempt failed; "": it did not
	Node   host.Member  // of the last attempt
	Task   host.Task

	sender  *Sender
	attempt connpool.NumberedAttempt
}

// Ready makes the call, whose Task says what the module is to know, ready for Do.
func (c *Call) Ready(s *Sender) {
	c.sender = s
	c.Task.Runner, c.Task.Label = c, c.ID
}

// Do has the module decide on the call until its final word.
func (c *Call) Do() host.Verdict { return c.sender.Host.Do(&c.Task) }

// Stream tells the host that the client's answer begins in this attempt: its
// deadline no longer counts, and no further attempt is made.
func (c *Call) Stream() {
	if c.Began {
		return
	}
	c.Began = true
	c.sender.Host.Stream(&c.Task, c.attempt.Number(), c.Node.ID)
}

// Abort ends the attempt of that number (host.Runner).
func (c *Call) Abort(number int) { c.attempt.Abort(number) }

// request returns what is sent in an attempt.
func (c *Call) request(t *host.Try) brick.Call {
	q := c.Request
	task := c.ID + "-" + strconv.FormatUint(uint64(t.Request), 10)
	q.Request = task + "." + strconv.Itoa(t.Number)
	q.Host, q.Volume, q.Units = c.sender.Config.Host.Number, uint64(c.Task.Volume.ID), c.Task.Units
	q.Deadline, q.Expect = t.Until, string(t.Member.ID)
	if c.Task.Class == config.ClassWrite {
		q.Key = task
	}
	if c.sender.AnyBrick {
		q.Expect = ""
	}
	return q
}

// Try makes an attempt (host.Runner).
func (c *Call) Try(t *host.Try) host.Result {
	if !c.attempt.Begin(t.Number) {
		return host.Result{Status: arrowwalk.NotSent}
	}
	if t.Member.Address == "" {
		c.Reason = brick.ReasonUnknownBrick
		return host.Result{Status: arrowwalk.NotSent}
	}
	c.Node = t.Member
	q, s := c.request(t), c.sender
	began, lay := time.Now(), time.Duration(0)
	err := s.Pool.Do(&c.attempt.Attempt, t.Member.Address, &q, &c.Answer)
	if err == nil {
		lay = s.Host.Lay(c.Answer.Raw, began, s.Longest())
		err = c.taken()
	}
	r := c.result(err)
	r.Lay = lay
	if s.Seen != nil {
		s.Seen(c.seen(&q, time.Since(began)-lay, err == nil))
	}
	return r
}

// taken reads the answer's body and gives the connection back.
func (c *Call) taken() error {
	pool := c.sender.Pool
	if c.Take == nil {
		c.Answer.Done(pool, c.Answer.Body.Drain(16<<10))
		return nil
	}
	err := c.Take(c, &c.Answer)
	c.Answer.Done(pool, err == nil)
	return err
}

// result tells the module how the attempt ended.
func (c *Call) result(err error) host.Result {
	r := host.Result{Status: arrowwalk.OK, Closed: true}
	if err != nil {
		r.Closed = c.Began // an answer that has begun cannot be begun again
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
	if c.Answer.Fleet > 0 && plan.Rate > 0 {
		r.FleetUse = 1 + 100*c.Answer.Fleet/plan.Rate
	}
	r.OthersUnits = c.Answer.Others
	return r
}

func (c *Call) seen(q *brick.Call, took time.Duration, good bool) Seen {
	what := Seen{Brick: string(c.Node.ID), Reason: c.Reason, Volume: q.Volume, Units: q.Units, Latency: took, Util: -1,
		Write: q.Method == "PUT" || q.Method == "PATCH"}
	if good {
		what.Identity, what.Util, what.Draining = c.Answer.Brick, c.Answer.Util, c.Answer.Draining
		if c.Answer.Status == 507 {
			what.Reason = brick.ReasonDiskFull
		}
	}
	return what
}
