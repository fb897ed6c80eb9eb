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

// scheduledCall is one request of the module for an exchange.
type scheduledCall struct {
	attempts.Call
	class int
	shard int
	units float64
}

// errClientWrite ends an attempt whose answer had begun to go to the client.
var errClientWrite = errors.New("the answer could not be passed on")

// runCall runs j on the host. nil means that a brick answered; its status may still
// be a refusal of what was asked, as 404. Else it is the error to answer with.
func (x *exchange) runCall(j *scheduledCall) error {
	j.ID = x.requestID
	j.Task = host.Task{Class: j.class, Volume: x.volume, Units: j.units, Shard: j.shard, Deadline: x.deadline(j.class), IsRetry: x.isRetry, ReportsResponse: x.hasClient}
	if j.class == config.ClassWrite && j.Request.Space == brick.SpaceObjects && x.server.cfg.Classes.Write.Ordered {
		j.Task.HasKey, j.Task.Key = true, placement.Hash(j.Request.Name)
	}
	j.Prepare(&x.server.sender)
	if !x.conn.addTask(&j.Task) {
		return errClientGone
	}
	v := j.Do()
	x.conn.removeTask(&j.Task)
	if x.hasClient {
		x.trackLateTask(&j.Task)
	}
	if ended := x.server.opts.OnTaskEnd; ended != nil {
		ended(x.bucket, x.volume.Plan, j.shard, v.Status)
	}
	switch v.Status {
	case host.Served:
		if j.Response.Status == 507 {
			return errInsufficientStorage
		}
		if j.ResponseBegun && j.Reason != "" {
			return errTruncated
		}
		return nil
	case host.Refused:
		return slowDown(v.RetryAfter)
	case host.ClientGone:
		return errClientGone
	}
	x.server.log.Warn("request failed", "request", x.requestID, "task", j.Task.ID(), "tries", v.Attempts, "last", string(j.Reason))
	return errInternal
}

// trackLateTask keeps a task until the client's answer is written, for a host that lets
// answers go first after a stall. Several may end at once.
func (x *exchange) trackLateTask(t *host.Task) {
	if !t.EndedAfterStall() {
		return
	}
	x.conn.mu.Lock()
	x.lateTasks = append(x.lateTasks, t)
	x.conn.mu.Unlock()
}

// shardOf returns the shard of a name.
func (x *exchange) shardOf(name string) int { return x.server.shards.Shard(name) }

// newReadCall returns a job that reads a blob.
func (x *exchange) newReadCall(space, name string, shard int, size int64) *scheduledCall {
	return &scheduledCall{class: config.ClassRead, shard: shard, units: x.server.cfg.UnitsFor(size),
		Call: attempts.Call{Request: brick.Request{Method: "GET", Space: space, Name: name}}}
}

// readBlob reads a small blob whole. ok is false where there is none.
func (x *exchange) readBlob(space, name string, shard int, body bool) (ans brick.Response, text []byte, ok bool, err error) {
	j := x.newReadCall(space, name, shard, 0)
	if !body {
		j.Request.Method = "HEAD"
	} else {
		j.HandleResponse = func(_ *attempts.Call, ans *brick.Response) error {
			var err error
			text, err = ans.ReadAll(x.server.opts.Pool, nil, maxManifestBytes)
			return err
		}
	}
	if err := x.runCall(j); err != nil {
		return ans, nil, false, err
	}
	switch j.Response.Status {
	case 200:
		return j.Response, text, true, nil
	case 404:
		return j.Response, nil, false, nil
	}
	return ans, nil, false, x.unexpectedStatus(j)
}

func (x *exchange) unexpectedStatus(j *scheduledCall) error {
	x.server.log.Error("unexpected answer from a brick", "request", x.requestID, "brick", string(j.Node.ID),
		"method", j.Request.Method, "space", j.Request.Space, "status", j.Response.Status)
	return errInternal
}

// writeBlob writes a blob. A 412 comes back as errPrecondition.
func (x *exchange) writeBlob(call brick.Request, shard int) (brick.Response, error) {
	call.Method = "PUT"
	var size int64
	if call.Body != nil {
		size = call.Body.Len()
	}
	j := &scheduledCall{class: config.ClassWrite, shard: shard, units: x.server.cfg.UnitsFor(size), Call: attempts.Call{Request: call}}
	if err := x.runCall(j); err != nil {
		return brick.Response{}, err
	}
	switch j.Response.Status {
	case 200:
		return j.Response, nil
	case 412:
		return j.Response, errPrecondition
	}
	return j.Response, x.unexpectedStatus(j)
}

// deleteBlob deletes a blob; ok is false where there was none.
func (x *exchange) deleteBlob(space, name string, shard int, version uint64) (ans brick.Response, ok bool, err error) {
	j := &scheduledCall{class: config.ClassWrite, shard: shard, units: x.server.cfg.UnitsFor(0),
		Call: attempts.Call{Request: brick.Request{Method: "DELETE", Space: space, Name: name, IfVersion: version}}}
	if err := x.runCall(j); err != nil {
		return ans, false, err
	}
	switch j.Response.Status {
	case 204, 404:
		return j.Response, j.Response.Status == 204, nil
	case 412:
		return j.Response, false, errPrecondition
	}
	return ans, false, x.unexpectedStatus(j)
}

// maxListResponseBytes bounds the text of a page of a brick's list.
const maxListResponseBytes = 64 << 20

// listPage reads one listPage of a space at one shard.
func (x *exchange) listPage(space string, shard int, list brick.ListQuery) (*brick.ListResponse, error) {
	answer := &brick.ListResponse{}
	j := x.newReadCall(space, "", shard, int64(list.MaxItems)*100)
	j.units = min(j.units, x.server.cfg.MostUnits())
	j.Request.List = &list
	j.HandleResponse = func(_ *attempts.Call, ans *brick.Response) error {
		text, err := ans.ReadAll(x.server.opts.Pool, nil, maxListResponseBytes)
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
	if err := x.runCall(j); err != nil {
		return nil, err
	}
	if j.Response.Status != 200 {
		return nil, x.unexpectedStatus(j)
	}
	return answer, nil
}

// maxParallelCalls is how many shards are asked at once.
const maxParallelCalls = 8

// runParallel runs do for 0 to n-1, several at a time.
func (x *exchange) runParallel(n int, do func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range min(maxParallelCalls, n) {
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

// forEachShard runs do for each shard and returns the first shard's error.
func (x *exchange) forEachShard(do func(shard int) error) error {
	errs := make([]error, x.server.shards.Shards())
	x.runParallel(len(errs), func(i int) { errs[i] = do(i) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// listAllShards reads a page at each shard and returns all items in order
// of their names, rolled ones once, and whether there are more.
func (x *exchange) listAllShards(space string, list brick.ListQuery) ([]brick.ListItem, bool, error) {
	pages := make([]*brick.ListResponse, x.server.shards.Shards())
	err := x.forEachShard(func(shard int) error {
		var err error
		pages[shard], err = x.listPage(space, shard, list)
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
