package s3

import (
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"

	"arrowwalk"
	"arrowwalk/internal/attempts"
	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/host"
	"arrowwalk/internal/placement"
)

// job is one request of the module for an exchange.
type job struct {
	attempts.Call
	class int
	shard int
	units float64
}

// errTake ends an attempt whose answer had begun to go to the client.
var errTake = errors.New("the answer could not be passed on")

// do runs j on the host. nil means that a brick answered; its status may still
// be a refusal of what was asked, as 404. Else it is the error to answer with.
func (x *exchange) do(j *job) error {
	j.ID = x.id
	j.Task = host.Task{Class: j.class, Volume: x.volume, Units: j.units, Shard: j.shard, Deadline: x.due(j.class), IsRetry: x.again, ReportsResponse: x.tells}
	if j.class == config.ClassWrite && j.Request.Space == brick.SpaceObjects && x.s.cfg.Classes.Write.Ordered {
		j.Task.HasKey, j.Task.Key = true, placement.Hash(j.Request.Name)
	}
	j.Prepare(&x.s.sender)
	if !x.c.enter(&j.Task) {
		return errGone
	}
	v := j.Do()
	x.c.leave(&j.Task)
	if x.tells {
		x.owes(&j.Task)
	}
	if ended := x.s.opt.OnTaskEnd; ended != nil {
		ended(x.bucket, x.volume.Plan, j.shard, v.Status)
	}
	switch v.Status {
	case host.Served:
		if j.Response.Status == 507 {
			return errDiskFull
		}
		if j.ResponseBegun && j.Reason != "" {
			return errCut
		}
		return nil
	case host.Refused:
		return slowDown(v.RetryAfter)
	case host.ClientGone:
		return errGone
	}
	x.s.log.Warn("request failed", "request", x.id, "task", j.Task.ID(), "tries", v.Attempts, "last", string(j.Reason))
	return errInternal
}

// owes keeps a task until the client's answer is written, for a host that lets
// answers go first after a stall. Several may end at once.
func (x *exchange) owes(t *host.Task) {
	if !t.EndedAfterStall() {
		return
	}
	x.c.mu.Lock()
	x.late = append(x.late, t)
	x.c.mu.Unlock()
}

// home returns the shard of a name.
func (x *exchange) home(name string) int { return x.s.slots.Shard(name) }

// readJob returns a job that reads a blob.
func (x *exchange) readJob(space, name string, shard int, size int64) *job {
	return &job{class: config.ClassRead, shard: shard, units: x.s.cfg.UnitsFor(size),
		Call: attempts.Call{Request: brick.Request{Method: "GET", Space: space, Name: name}}}
}

// fetch reads a small blob whole. ok is false where there is none.
func (x *exchange) fetch(space, name string, shard int, body bool) (ans brick.Response, text []byte, ok bool, err error) {
	j := x.readJob(space, name, shard, 0)
	if !body {
		j.Request.Method = "HEAD"
	} else {
		j.HandleResponse = func(_ *attempts.Call, ans *brick.Response) error {
			var err error
			text, err = ans.ReadAll(x.s.opt.Pool, nil, manifestMost)
			return err
		}
	}
	if err := x.do(j); err != nil {
		return ans, nil, false, err
	}
	switch j.Response.Status {
	case 200:
		return j.Response, text, true, nil
	case 404:
		return j.Response, nil, false, nil
	}
	return ans, nil, false, x.unexpected(j)
}

func (x *exchange) unexpected(j *job) error {
	x.s.log.Error("unexpected answer from a brick", "request", x.id, "brick", string(j.Node.ID),
		"method", j.Request.Method, "space", j.Request.Space, "status", j.Response.Status)
	return errInternal
}

// store writes a blob. A 412 comes back as errPrecondition.
func (x *exchange) store(call brick.Request, shard int) (brick.Response, error) {
	call.Method = "PUT"
	var size int64
	if call.Body != nil {
		size = call.Body.Len()
	}
	j := &job{class: config.ClassWrite, shard: shard, units: x.s.cfg.UnitsFor(size), Call: attempts.Call{Request: call}}
	if err := x.do(j); err != nil {
		return brick.Response{}, err
	}
	switch j.Response.Status {
	case 200:
		return j.Response, nil
	case 412:
		return j.Response, errPrecondition
	}
	return j.Response, x.unexpected(j)
}

// remove deletes a blob; ok is false where there was none.
func (x *exchange) remove(space, name string, shard int, version uint64) (ans brick.Response, ok bool, err error) {
	j := &job{class: config.ClassWrite, shard: shard, units: x.s.cfg.UnitsFor(0),
		Call: attempts.Call{Request: brick.Request{Method: "DELETE", Space: space, Name: name, IfVersion: version}}}
	if err := x.do(j); err != nil {
		return ans, false, err
	}
	switch j.Response.Status {
	case 204, 404:
		return j.Response, j.Response.Status == 204, nil
	case 412:
		return j.Response, false, errPrecondition
	}
	return ans, false, x.unexpected(j)
}

// listMost bounds the text of a page of a brick's list.
const listMost = 64 << 20

// page reads one page of a space at one shard.
func (x *exchange) page(space string, shard int, list brick.ListQuery) (*brick.ListResponse, error) {
	answer := &brick.ListResponse{}
	j := x.readJob(space, "", shard, int64(list.MaxItems)*100)
	j.units = min(j.units, x.s.cfg.MostUnits())
	j.Request.List = &list
	j.HandleResponse = func(_ *attempts.Call, ans *brick.Response) error {
		text, err := ans.ReadAll(x.s.opt.Pool, nil, listMost)
		if err != nil {
			return err
		}
		if ans.Status != 200 {
			return nil
		}
		*answer = brick.ListResponse{}
		if err := json.Unmarshal(text, answer); err != nil {
			return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: err}
		}
		return nil
	}
	if err := x.do(j); err != nil {
		return nil, err
	}
	if j.Response.Status != 200 {
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
func (x *exchange) pagesEverywhere(space string, list brick.ListQuery) ([]brick.ListItem, bool, error) {
	pages := make([]*brick.ListResponse, x.s.slots.Shards())
	err := x.everywhere(func(shard int) error {
		var err error
		pages[shard], err = x.page(space, shard, list)
		return err
	})
	if err != nil {
		return nil, false, err
	}
	return mergePages(pages, list.MaxItems)
}

// mergePages merges sorted pages. Each page holds its shard's first most
// items, so the first most of all are among them.
func mergePages(pages []*brick.ListResponse, most int) ([]brick.ListItem, bool, error) {
	at := make([]int, len(pages))
	var out []brick.ListItem
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
		if n := len(out); n > 0 && it.IsPrefix && out[n-1].IsPrefix && string(out[n-1].Name) == string(it.Name) {
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
