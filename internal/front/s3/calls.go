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

// scheduledCall is a request to a brick together with what the host needs to
// schedule it.
type scheduledCall struct {
	attempts.Call
	class int
	shard int
	units float64
}

// errClientWrite ends an attempt whose response could not be forwarded to the
// client.
var errClientWrite = errors.New("failed to forward the response to the client")

// runCall runs a call on the host. It returns nil if a brick responded; the
// status may still be an error such as 404. Otherwise it returns the error to
// respond with.
func (x *exchange) runCall(call *scheduledCall) error {
	call.ID = x.requestID
	call.Task = host.Task{Class: call.class, Volume: x.volume, Units: call.units, Shard: call.shard, Deadline: x.deadline(call.class), IsRetry: x.isRetry, ReportsResponse: x.hasClient}
	if call.class == config.ClassWrite && call.Request.Space == brick.SpaceObjects && x.server.cfg.Classes.Write.Ordered {
		call.Task.HasKey, call.Task.Key = true, placement.Hash(call.Request.Name)
		call.Task.ArrivedAt = x.arrivedAt
		x.conn.source.BeginTask(&call.Task)
	}
	call.Prepare(&x.server.sender)
	if !x.conn.addTask(&call.Task) {
		return errClientGone
	}
	outcome := call.Do()
	x.conn.removeTask(&call.Task)
	if x.hasClient {
		x.trackLateTask(&call.Task)
	}
	if onTaskEnd := x.server.opts.OnTaskEnd; onTaskEnd != nil {
		onTaskEnd(x.bucket, x.volume.Plan, call.shard, outcome.Status)
	}
	switch outcome.Status {
	case host.Served:
		if call.Response.Status == 507 {
			return errInsufficientStorage
		}
		if call.ResponseBegun && call.Reason != "" {
			return errTruncated
		}
		return nil
	case host.Refused:
		return slowDown(outcome.RetryAfter)
	case host.ClientGone:
		return errClientGone
	}
	x.server.log.Warn("request failed", "request", x.requestID, "task", call.Task.ID(), "tries", outcome.Attempts, "last", string(call.Reason))
	return errInternal
}

// trackLateTask keeps a late task until the response to the client is written,
// for a host that lets responses go first after a stall. It is safe for
// concurrent use, because several tasks may end at once.
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

// newReadCall returns a call that reads a blob of the given size.
func (x *exchange) newReadCall(space, name string, shard int, size int64) *scheduledCall {
	return &scheduledCall{class: config.ClassRead, shard: shard, units: x.server.cfg.UnitsFor(size),
		Call: attempts.Call{Request: brick.Request{Method: "GET", Space: space, Name: name}}}
}

// readBlob reads the metadata of a blob and, if withBody is set, the body,
// which must be small. ok is false if the blob does not exist.
func (x *exchange) readBlob(space, name string, shard int, withBody bool) (response brick.Response, body []byte, ok bool, err error) {
	call := x.newReadCall(space, name, shard, 0)
	if !withBody {
		call.Request.Method = "HEAD"
	} else {
		call.HandleResponse = func(_ *attempts.Call, response *brick.Response) error {
			var err error
			body, err = response.ReadAll(x.server.opts.Pool, nil, maxManifestBytes)
			return err
		}
	}
	if err := x.runCall(call); err != nil {
		return response, nil, false, err
	}
	switch call.Response.Status {
	case 200:
		return call.Response, body, true, nil
	case 404:
		return call.Response, nil, false, nil
	}
	return response, nil, false, x.unexpectedStatus(call)
}

// unexpectedStatus logs a response with an unexpected status and returns
// errInternal.
func (x *exchange) unexpectedStatus(call *scheduledCall) error {
	x.server.log.Error("unexpected response from a brick", "request", x.requestID, "brick", string(call.Node.ID),
		"method", call.Request.Method, "space", call.Request.Space, "status", call.Response.Status)
	return errInternal
}

// writeBlob writes a blob. It returns errPrecondition if a condition of the
// write did not hold, and errOwnerMissing if there was no blob to consume.
func (x *exchange) writeBlob(request brick.Request, shard int) (brick.Response, error) {
	request.Method = "PUT"
	var size int64
	if request.Body != nil {
		size = request.Body.Len()
	}
	call := &scheduledCall{class: config.ClassWrite, shard: shard, units: x.server.cfg.UnitsFor(size), Call: attempts.Call{Request: request}}
	if err := x.runCall(call); err != nil {
		return brick.Response{}, err
	}
	switch call.Response.Status {
	case 200:
		return call.Response, nil
	case 412:
		return call.Response, errPrecondition
	case brick.StatusNotConsumable:
		return call.Response, errOwnerMissing
	}
	return call.Response, x.unexpectedStatus(call)
}

// deleteBlob deletes a blob. ok is false if it did not exist.
func (x *exchange) deleteBlob(request brick.Request, shard int) (response brick.Response, ok bool, err error) {
	request.Method = "DELETE"
	call := &scheduledCall{class: config.ClassWrite, shard: shard, units: x.server.cfg.UnitsFor(0), Call: attempts.Call{Request: request}}
	if err := x.runCall(call); err != nil {
		return response, false, err
	}
	switch call.Response.Status {
	case 204, 404:
		return call.Response, call.Response.Status == 204, nil
	case 412:
		return call.Response, false, errPrecondition
	}
	return response, false, x.unexpectedStatus(call)
}

// maxListResponseBytes bounds the size of a page of a listing.
const maxListResponseBytes = 64 << 20

// listPage reads one page of the names of a space at one shard.
func (x *exchange) listPage(space string, shard int, list brick.ListQuery) (*brick.ListResponse, error) {
	page := &brick.ListResponse{}
	call := x.newReadCall(space, "", shard, int64(list.MaxItems)*100)
	call.units = min(call.units, x.server.cfg.MostUnits())
	call.Request.List = &list
	call.HandleResponse = func(_ *attempts.Call, response *brick.Response) error {
		body, err := response.ReadAll(x.server.opts.Pool, nil, maxListResponseBytes)
		if err != nil {
			return err
		}
		if response.Status != 200 {
			return nil
		}
		*page = brick.ListResponse{}
		if err := json.Unmarshal(body, page); err != nil {
			return &brick.Failure{Status: arrowwalk.Failed, Reason: brick.ReasonBadAnswer, Err: err}
		}
		return nil
	}
	if err := x.runCall(call); err != nil {
		return nil, err
	}
	if call.Response.Status != 200 {
		return nil, x.unexpectedStatus(call)
	}
	return page, nil
}

// maxParallelCalls is how many calls runParallel runs at once.
const maxParallelCalls = 8

// runParallel calls fn for 0 to n-1, up to maxParallelCalls at a time, and
// waits until all have returned.
func (x *exchange) runParallel(n int, fn func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range min(maxParallelCalls, n) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1) - 1; i < int64(n); i = next.Add(1) - 1 {
				fn(int(i))
			}
		}()
	}
	wg.Wait()
}

// forEachShard calls fn for each shard and returns the error of the lowest
// shard that failed.
func (x *exchange) forEachShard(fn func(shard int) error) error {
	errs := make([]error, x.server.shards.Shards())
	x.runParallel(len(errs), func(i int) { errs[i] = fn(i) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// listAllShards reads a page from each shard. It returns the merged items in
// order of their names, with duplicate common prefixes removed, and whether
// there are more.
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

// mergePages merges sorted pages into the first maxItems items. Each page
// holds the first maxItems items of its shard, so the first of all shards are
// among them.
func mergePages(pages []*brick.ListResponse, maxItems int) ([]brick.ListItem, bool, error) {
	next := make([]int, len(pages))
	var merged []brick.ListItem
	for {
		first := -1
		for i, p := range pages {
			if next[i] < len(p.Items) && (first < 0 ||
				strings.Compare(string(p.Items[next[i]].Name), string(pages[first].Items[next[first]].Name)) < 0) {
				first = i
			}
		}
		if first < 0 {
			break
		}
		item := pages[first].Items[next[first]]
		next[first]++
		if n := len(merged); n > 0 && item.IsPrefix && merged[n-1].IsPrefix && string(merged[n-1].Name) == string(item.Name) {
			continue
		}
		if len(merged) == maxItems {
			return merged, true, nil
		}
		merged = append(merged, item)
	}
	for _, p := range pages {
		if p.More {
			return merged, true, nil
		}
	}
	return merged, false, nil
}
