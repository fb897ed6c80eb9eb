package s3

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"arrowwalk"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/host"
	"arrowwalk/internal/placement"
)

// job is one request of the module: a call to a brick, made as often as the
// module says.
type job struct {
	x      *exchange
	class  int
	shard  int
	units  float64
	call   brick.Call
	take   func(j *job, ans *brick.Answer) error // reads the answer's body; nil: nothing is wanted of it
	ans    brick.Answer                          // head of the answer that counted
	began  bool                                  // the client's answer begins in take
	reason brick.Reason                          // of the last attempt that failed

	task    host.Task
	attempt brick.Attempt
	node    host.Member
	mu      sync.Mutex
	number  int // of the attempt that runs
	aborted int // attempts up to this number are aborted
}

// errTake ends an attempt whose answer had begun to go to the client.
var errTake = errors.New("the answer could not be passed on")

// do runs j on the host. nil means that a brick answered; its status may still
// be a refusal of what was asked, as 404. Else it is the error to answer with.
func (x *exchange) do(j *job) error {
	until := x.due(j.class)
	j.x, j.number, j.aborted = x, -1, -1
	j.task = host.Task{Class: j.class, Volume: x.volume, Units: j.units, Shard: j.shard, Until: until,
		Again: x.again, Runner: j, Label: x.id, Tells: x.tells}
	if j.class == config.ClassWrite && j.call.Space == brick.SpaceObjects && x.s.cfg.Classes.Write.Ordered {
		j.task.HasKey, j.task.Key = true, placement.Hash(j.call.Name)
	}
	if !x.c.enter(&j.task) {
		return errGone
	}
	v := x.s.opt.Host.Do(&j.task)
	x.c.leave(&j.task)
	if x.tells {
		x.owes(&j.task)
	}
	if ended := x.s.opt.Ended; ended != nil {
		ended(x.bucket, x.volume.Plan, j.shard, v.End)
	}
	switch v.End {
	case host.Served:
		if j.ans.Status == 507 {
			return errDiskFull
		}
		if j.began && j.reason != "" {
			return errCut
		}
		return nil
	case host.Refused:
		return slowDown(v.After)
	case host.Gone:
		return errGone
	}
	x.s.log.Warn("request failed", "request", x.id, "task", j.task.ID(), "tries", v.Tries, "last", string(j.reason))
	return errInternal
}

// owes keeps a task until the client's answer is written, for a host that lets
// answers go first after a stall. Several may end at once.
func (x *exchange) owes(t *host.Task) {
	if !t.Late() {
		return
	}
	x.c.mu.Lock()
	x.late = append(x.late, t)
	x.c.mu.Unlock()
}

// Abort ends the attempt of that number (host.Runner).
func (j *job) Abort(number int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.aborted = max(j.aborted, number)
	if j.number == number {
		j.attempt.Abort()
	}
}

// start readies j for an attempt; false: it was aborted before it began.
func (j *job) start(number int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.aborted >= number {
		return false
	}
	j.number = number
	j.attempt.Reset()
	return true
}

// Try makes an attempt (host.Runner).
func (j *job) Try(t *host.Try) host.Result {
	if !j.start(t.Number) {
		return host.Result{Status: arrowwalk.Moot}
	}
	if t.Member.Address == "" {
		j.reason = brick.ReasonUnknownBrick
		return host.Result{Status: arrowwalk.Moot}
	}
	j.node = t.Member
	call := j.call
	id := j.x.id + "-" + strconv.FormatUint(uint64(t.Request), 10)
	call.Request = id + "." + strconv.Itoa(t.Number)
	call.Host, call.Volume, call.Units = j.x.s.cfg.Host.Number, uint64(j.x.volume.ID), j.units
	call.Deadline, call.Expect = t.Until, string(t.Member.ID)
	if j.class == config.ClassWrite {
		call.Key = id
	}
	if j.x.s.opt.AnyBrick {
		call.Expect = ""
	}
	pool, began := j.x.s.opt.Pool, time.Now()
	err := pool.Do(&j.attempt, t.Member.Address, &call, &j.ans)
	lay := time.Duration(0)
	if err == nil {
		lay = j.x.s.opt.Host.Lay(j.ans.Raw, began, j.x.s.longest)
		err = j.taken(pool)
	}
	r := j.result(err)
	r.Lay = lay
	if seen := j.x.s.opt.Seen; seen != nil {
		what := Seen{Brick: string(t.Member.ID), Reason: j.reason, Volume: call.Volume, Units: j.units, Latency: time.Since(began), Util: -1, Write: call.Method == "PUT"}
		if err == nil {
			what.Identity, what.Util, what.Draining = j.ans.Brick, j.ans.Util, j.ans.Draining
			if j.ans.Status == 507 {
				what.Reason = brick.ReasonDiskFull
			}
		}
		seen(what)
	}
	return r
}

// taken reads the answer's body and gives the connection back.
func (j *job) taken(pool *brick.Pool) error {
	if j.take == nil {
		j.ans.Done(pool, j.ans.Body.Drain(16<<10))
		return nil
	}
	err := j.take(j, &j.ans)
	j.ans.Done(pool, err == nil)
	return err
}

// result tells the module how the attempt ended.
func (j *job) result(err error) host.Result {
	r := host.Result{Status: arrowwalk.OK, Closed: true}
	if err != nil {
		r.Closed = j.began // an answer that has begun cannot be begun again
		var f *brick.Failure
		if errors.As(err, &f) {
			r.Status, j.reason = f.Status, f.Reason
		} else {
			r.Status, j.reason = arrowwalk.Cancelled, brick.ReasonClient
		}
		return r
	}
	j.reason = ""
	plan := &j.x.s.cfg.Plans[j.x.volume.Plan]
	if j.ans.Fleet > 0 && plan.Rate > 0 {
		r.FleetUse = 1 + 100*j.ans.Fleet/plan.Rate
	}
	r.OthersUnits = j.ans.Others
	return r
}

// home returns the shard of a name.
func (x *exchange) home(name string) int { return x.s.slots.Shard(name) }

// readJob returns a job that reads a blob.
func (x *exchange) readJob(space, name string, shard int, size int64) *job {
	return &job{class: config.ClassRead, shard: shard, units: x.s.cfg.UnitsFor(size),
		call: brick.Call{Method: "GET", Space: space, Name: name}}
}

// fetch reads a small blob whole. ok is false where there is none.
func (x *exchange) fetch(space, name string, shard int, body bool) (ans brick.Answer, text []byte, ok bool, err error) {
	j := x.readJob(space, name, shard, 0)
	if !body {
		j.call.Method = "HEAD"
	} else {
		j.take = func(j *job, ans *brick.Answer) error {
			var err error
			text, err = ans.ReadAll(x.s.opt.Pool, nil, manifestMost)
			return err
		}
	}
	if err := x.do(j); err != nil {
		return ans, nil, false, err
	}
	switch j.ans.Status {
	case 200:
		return j.ans, text, true, nil
	case 404:
		return j.ans, nil, false, nil
	}
	return ans, nil, false, x.unexpected(j)
}

func (x *exchange) unexpected(j *job) error {
	x.s.log.Error("unexpected answer from a brick", "request", x.id, "brick", string(j.node.ID),
		"method", j.call.Method, "space", j.call.Space, "status", j.ans.Status)
	return errInternal
}

// store writes a blob. A 412 comes back as errPrecondition.
func (x *exchange) store(call brick.Call, shard int) (brick.Answer, error) {
	call.Method = "PUT"
	var size int64
	if call.Body != nil {
		size = call.Body.Len()
	}
	j := &job{class: config.ClassWrite, shard: shard, units: x.s.cfg.UnitsFor(size), call: call}
	if err := x.do(j); err != nil {
		return brick.Answer{}, err
	}
	switch j.ans.Status {
	case 200:
		return j.ans, nil
	case 412:
		return j.ans, errPrecondition
	}
	return j.ans, x.unexpected(j)
}

// remove deletes a blob; ok is false where there was none.
func (x *exchange) remove(space, name string, shard int, version uint64) (ans brick.Answer, ok bool, err error) {
	j := &job{class: config.ClassWrite, shard: shard, units: x.s.cfg.UnitsFor(0),
		call: brick.Call{Method: "DELETE", Space: space, Name: name, IfVersion: version}}
	if err := x.do(j); err != nil {
		return ans, false, err
	}
	switch j.ans.Status {
	case 204, 404:
		return j.ans, j.ans.Status == 204, nil
	case 412:
		return j.ans, false, errPrecondition
	}
	return ans, false, x.unexpected(j)
}

// listMost bounds the text of a page of a brick's list.
const listMost = 64 << 20

// page reads one page of a space at one shard.
func (x *exchange) page(space string, shard int, list brick.List) (*brick.ListAnswer, error) {
	answer := &brick.ListAnswer{}
	j := x.readJob(space, "", shard, int64(list.Most)*100)
	j.units = min(j.units, x.s.cfg.MostUnits())
	j.call.List = &list
	j.take = func(_ *job, ans *brick.Answer) error {
		text, err := ans.ReadAll(x.s.opt.Pool, nil, listMost)
		if err != nil {
			return err
		}
		if ans.Status != 200 {
			return nil
		}
		*answer = brick.ListAnswer{}
		if err := json.Unmarshal(text, answer); err != nil {
			return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: err}
		}
		return nil
	}
	if err := x.do(j); err != nil {
		return nil, err
	}
	if j.ans.Status != 200 {
		return nil, x.unexpected(j)
	}
	return answer, nil
}

// fanOut is how many shards are asked at once.
const fanOut = 8

// parallel runs do for 0 to n-1, several at a time.
func (x *exchange) parallel(n int, do func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range min(fanOut, n) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				do(int(i))
			}
		}()
	}
	wg.Wait()
}

// everywhere runs do for each shard and returns the first shard's error.
func (x *exchange) everywhere(do func(shard int) error) error {
	errs := make([]error, x.s.slots.Shards())
	x.parallel(len(errs), func(i int) { errs[i] = do(i) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// pagesEverywhere reads a page at each shard and returns all items in order
// of their names, rolled ones once, and whether there are more.
func (x *exchange) pagesEverywhere(space string, list brick.List) ([]brick.Listed, bool, error) {
	pages := make([]*brick.ListAnswer, x.s.slots.Shards())
	err := x.everywhere(func(shard int) error {
		var err error
		pages[shard], err = x.page(space, shard, list)
		return err
	})
	if err != nil {
		return nil, false, err
	}
	return mergePages(pages, list.Most)
}

// mergePages merges sorted pages. Each page holds its shard's first most
// items, so the first most of all are among them.
func mergePages(pages []*brick.ListAnswer, most int) ([]brick.Listed, bool, error) {
	at := make([]int, len(pages))
	var out []brick.Listed
	for {
		best := -1
		for i, p := range pages {
			if at[i] < len(p.Items) && (best < 0 ||
				strings.Compare(string(p.Items[at[i]].Name), string(pages[best].Items[at[best]].Name)) < 0) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		it := pages[best].Items[at[best]]
		at[best]++
		if n := len(out); n > 0 && it.Rolled && out[n-1].Rolled && string(out[n-1].Name) == string(it.Name) {
			continue
		}
		if len(out) == most {
			return out, true, nil
		}
		out = append(out, it)
	}
	for _, p := range pages {
		if p.More {
			return out, true, nil
		}
	}
	return out, false, nil
}
