// Package attempts makes the attempts of tasks at bricks on behalf of any
// frontend. A frontend describes its request to a brick as a Call. The scheduler
// module decides which brick gets the request and how often it is sent, and each
// attempt is reported to an observer of the bricks.
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

// Sender holds what all attempts of a gateway share.
type Sender struct {
	Pool   *brick.Pool
	Host   *host.Host
	Config *config.Config
	// Observe is called after each attempt that was sent; it may be nil.
	Observe func(Observation)
	// AcceptAnyBrick accepts a response from any brick in place of the addressed
	// one. It disables a guard, for tests that must then fail.
	AcceptAnyBrick bool
}

// Observation is what an attempt showed of a brick.
type Observation struct {
	Brick    string       // the brick that was addressed
	Identity string       // the identity that answered (brick.HeaderBrick); empty if there was no response
	Reason   brick.Reason // why the attempt failed; empty if it did not
	Volume   uint64
	Units    float64
	Latency  time.Duration
	Util     float64 // as the brick reported it; -1 if it did not
	Draining bool    // the brick asks for no new requests
	Write    bool
}

// MaxTimeout returns the longest time that a client or guest may wait for a
// response.
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

// Call is one request of the module: a request to a brick, sent as often as the
// module decides. It implements host.Runner and must not be reused.
type Call struct {
	ID      string // ID of the client's request, in every log
	Request brick.Request
	// HandleResponse reads the response's body; nil discards the body. If it does
	// not release the response itself, that is done after it returns.
	HandleResponse func(c *Call, resp *brick.Response) error

	Response      brick.Response // head of the latest response
	ResponseBegun bool           // the client's response has begun and cannot begin again
	Reason        brick.Reason   // why the latest attempt failed; empty if it did not
	Node          host.Member    // of the latest attempt
	Task          host.Task

	sender  *Sender
	attempt connpool.NumberedAttempt
}

// Prepare prepares the call for Do. The caller has set Task to what the module
// needs to know.
func (c *Call) Prepare(s *Sender) {
	c.sender = s
	c.Task.Runner, c.Task.ClientRequestID = c, c.ID
}

// Do runs the call until the module has ended its task, and returns the result.
func (c *Call) Do() host.TaskResult { return c.sender.Host.Do(&c.Task) }

// BeginStream tells the host that the client's response begins in this attempt:
// the deadline no longer applies and no further attempt is made.
func (c *Call) BeginStream() {
	if c.ResponseBegun {
		return
	}
	c.ResponseBegun = true
	c.sender.Host.BeginStream(&c.Task, c.attempt.Number(), c.Node.ID)
}

// Abort ends the attempt of the given number (host.Runner).
func (c *Call) Abort(number int) { c.attempt.Abort(number) }

// requestFor returns the request that is sent in an attempt.
func (c *Call) requestFor(a *host.Attempt) brick.Request {
	req := c.Request
	taskID := c.ID + "-" + strconv.FormatUint(uint64(a.Request), 10)
	req.RequestID = taskID + "." + strconv.Itoa(a.Number)
	req.Host, req.Volume, req.Units = c.sender.Config.Host.Number, uint64(c.Task.Volume.ID), c.Task.Units
	req.Deadline, req.Expect = a.Deadline, string(a.Member.ID)
	req.Outdated = a.Outdated
	if c.Task.Class == config.ClassWrite {
		req.Key = taskID
	}
	if c.sender.AcceptAnyBrick {
		req.Expect = ""
	}
	return req
}

// Try makes an attempt (host.Runner).
func (c *Call) Try(a *host.Attempt) host.AttemptResult {
	if !c.attempt.Begin(a.Number) {
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	if a.Member.Address == "" {
		c.Reason = brick.ReasonUnknownBrick
		return host.AttemptResult{Status: arrowwalk.NotSent}
	}
	c.Node = a.Member
	req, s := c.requestFor(a), c.sender
	start := time.Now()
	var headReadAt time.Time
	var socketDelay time.Duration
	err := c.send(a, &req)
	if err == nil {
		headReadAt = time.Now()
		socketDelay = s.Host.SocketDelay(c.Response.Raw, start, s.MaxTimeout())
		err = c.readBody()
	}
	r := c.attemptResult(err)
	r.SocketDelay, r.HeadReadAt = socketDelay, headReadAt
	if s.Observe != nil {
		s.Observe(c.observation(&req, s.Host.BrickLatency(start, time.Now(), &r), err == nil))
	}
	return r
}

// maxStaleResends bounds how often a write is sent again because its blob was changed
// after the clock that it carried.
const maxStaleResends = 8

// send sends the request. A write that the brick did not execute because its clock was
// stale is sent again at once, with the clock of the brick's answer. A clock is taken only
// while the task has no final result. A write that a client begins after that result
// changes the blob after the clock, so this one cannot replace it.
func (c *Call) send(a *host.Attempt, req *brick.Request) error {
	pool := c.sender.Pool
	isOrdered := (req.Method == "PUT" || req.Method == "DELETE") && req.Space != brick.SpaceFences
	if isOrdered {
		seen := pool.Clock(string(a.Member.ID))
		req.Seen = &seen
	}
	for range maxStaleResends {
		if c.Task.Ended() {
			return &brick.Failure{Status: arrowwalk.NotSent, Reason: brick.ReasonAborted}
		}
		err := pool.Do(&c.attempt.Attempt, a.Member.Address, req, &c.Response)
		if err != nil || c.Response.Status != brick.StatusStale || !isOrdered {
			return err
		}
		seen := c.Response.Clock
		req.Seen = &seen
		c.Response.Release(pool, c.Response.Body.Drain(16<<10))
	}
	return &brick.Failure{Status: arrowwalk.Overloaded, Reason: brick.ReasonContended}
}

// readBody reads the response's body and releases the connection.
func (c *Call) readBody() error {
	pool := c.sender.Pool
	if c.HandleResponse == nil {
		c.Response.Release(pool, c.Response.Body.Drain(16<<10))
		return nil
	}
	err := c.HandleResponse(c, &c.Response)
	c.Response.Release(pool, err == nil)
	return err
}

// attemptResult returns the attempt's result for the module. err is nil or the
// attempt's error.
func (c *Call) attemptResult(err error) host.AttemptResult {
	r := host.AttemptResult{Status: arrowwalk.OK, Final: true}
	if err != nil {
		r.Final = c.ResponseBegun // a response that has begun cannot begin again
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

func (c *Call) observation(req *brick.Request, latency time.Duration, ok bool) Observation {
	o := Observation{Brick: string(c.Node.ID), Reason: c.Reason, Volume: req.Volume, Units: req.Units, Latency: latency, Util: -1,
		Write: req.Method == "PUT" || req.Method == "PATCH"}
	if ok {
		o.Identity, o.Util, o.Draining = c.Response.Brick, c.Response.Util, c.Response.Draining
		if c.Response.Status == 507 {
			o.Reason = brick.ReasonDiskFull
		}
	}
	return o
}
