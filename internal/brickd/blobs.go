package brickd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store"
)

// parseCondition parses the request's If-Match, If-None-Match and HeaderSeen fields. A clock
// of another run is store.ErrChangedSince.
func (c *conn) parseCondition() (store.Condition, error) {
	var cond store.Condition
	if v, ok := c.req.Fields.Lookup("If-Match"); ok {
		version, err := strconv.ParseUint(strings.Trim(v, `"`), 10, 64)
		if err != nil || version == 0 {
			return cond, fmt.Errorf("header If-Match: bad version %q", v)
		}
		cond.Version = version
	}
	if v, ok := c.req.Fields.Lookup("If-None-Match"); ok {
		if v != "*" {
			return cond, fmt.Errorf("header If-None-Match: %q is not *", v)
		}
		cond.Absent = true
	}
	return cond, c.parseSeen(&cond)
}

// conditionStatus returns the status for an error of parseCondition.
func conditionStatus(err error) int {
	if errors.Is(err, store.ErrChangedSince) {
		return brick.StatusStale
	}
	return 400
}

// maxTrashSuffixBytes bounds HeaderTrash.
const maxTrashSuffixBytes = 64

// parseEffects parses the request's HeaderConsume and HeaderTrash.
func (c *conn) parseEffects() (store.Effects, error) {
	effects := store.Effects{Trash: c.req.Fields.Get(brick.HeaderTrash)}
	if len(effects.Trash) > maxTrashSuffixBytes {
		return effects, fmt.Errorf("header %s: over %d bytes", brick.HeaderTrash, maxTrashSuffixBytes)
	}
	value, ok := c.req.Fields.Lookup(brick.HeaderConsume)
	if !ok {
		return effects, nil
	}
	space, name, err := brick.ParseConsume(value)
	if err != nil {
		return effects, fmt.Errorf("header %s: %w", brick.HeaderConsume, err)
	}
	effects.Consume = &store.Ref{Space: space, Name: name}
	return effects, nil
}

// statusOf returns the HTTP status for an error of the store.
func statusOf(err error) int {
	switch {
	case errors.Is(err, store.ErrChangedSince):
		return brick.StatusStale
	case errors.Is(err, store.ErrNotConsumable):
		return brick.StatusNotConsumable
	case errors.Is(err, store.ErrNotFound):
		return 404
	case errors.Is(err, store.ErrVersionMismatch):
		return 412
	case errors.Is(err, store.ErrTooLarge):
		return 413
	case errors.Is(err, os.ErrPermission), isNoSpace(err):
		return 507
	case errors.Is(err, io.ErrUnexpectedEOF):
		return 400
	}
	return 500
}

// storeFailure returns the reply for an error of the store.
func storeFailure(err error) *reply {
	return &reply{status: statusOf(err), text: err.Error(), corrupt: errors.Is(err, store.ErrCorrupt) || errors.Is(err, store.ErrChecksumMismatch)}
}

func (c *conn) putBlob(ex *Exchange) *reply {
	if !c.req.HasLength || c.req.Length > c.server.opt.MaxBodyBytes {
		return &reply{status: 413, text: fmt.Sprintf("body without a length, or over %d bytes", c.server.opt.MaxBodyBytes)}
	}
	cond, err := c.parseCondition()
	if err != nil {
		return &reply{status: conditionStatus(err), text: err.Error()}
	}
	effects, err := c.parseEffects()
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	meta, err := decodeMeta(c.req.Fields.Get(brick.HeaderMeta))
	if err != nil {
		return &reply{status: 400, text: "header Aw-Meta: " + err.Error()}
	}
	info := store.Info{Name: ex.Name, Meta: meta, Size: c.req.Length, Whole: c.req.Fields.Get(brick.HeaderWhole) == "1"}
	c.nc.SetReadDeadline(time.Now().Add(c.server.opt.IdleTimeout))
	sums, err := brick.ParseSums(c.req.Fields.Get(brick.HeaderSums), info.Size)
	if err != nil {
		return &reply{status: 400, text: "header " + brick.HeaderSums + ": " + err.Error()}
	}
	stored, replaced, err := c.server.blobs.PutWith(context.Background(), ex.Space, info, &c.body, sums, cond, effects)
	if err != nil {
		return storeFailure(err)
	}
	ex.Stored = true
	r := &reply{status: 200, version: stored.Version}
	if replaced != nil {
		r.replaced = replaced
	}
	return r
}

func (c *conn) deleteBlob(ex *Exchange) *reply {
	cond, err := c.parseCondition()
	if err != nil {
		return &reply{status: conditionStatus(err), text: err.Error()}
	}
	effects, err := c.parseEffects()
	if err != nil {
		return &reply{status: 400, text: err.Error()}
	}
	deleted, err := c.server.blobs.DeleteWith(ex.Space, ex.Name, cond, effects)
	if err != nil {
		return &reply{status: statusOf(err), text: err.Error()}
	}
	ex.Stored = true
	return &reply{status: 204, replaced: &deleted}
}

func (c *conn) getBlob(ex *Exchange) *reply {
	blob, err := c.server.blobs.Get(ex.Space, ex.Name)
	if err != nil {
		return storeFailure(err)
	}
	r := &reply{status: 200, blob: blob, version: blob.Version, length: blob.Size, size: blob.Size}
	if ex.Range == "" || blob.Whole {
		return r
	}
	start, length, ok := resolveRange(ex.Range, blob.Size)
	if !ok {
		blob.Close()
		return &reply{status: 416, version: blob.Version, info: &blob.Info, size: blob.Size, text: "range is beyond the end of the blob"}
	}
	r.status, r.rangeStart, r.length = 206, start, length
	return r
}

// resolveRange resolves a byte range "bytes=first-last", "bytes=first-" or
// "bytes=-suffix" (RFC 9110, section 14) of a blob of size bytes. It returns
// false if the range is invalid or selects no byte.
func resolveRange(text string, size int64) (start, length int64, ok bool) {
	spec, found := strings.CutPrefix(text, "bytes=")
	first, last, dash := strings.Cut(spec, "-")
	if !found || !dash {
		return 0, 0, false
	}
	if first == "" {
		n, err := strconv.ParseInt(last, 10, 64)
		if err != nil || n <= 0 || size == 0 {
			return 0, 0, false
		}
		n = min(n, size)
		return size - n, n, true
	}
	start, err := strconv.ParseInt(first, 10, 64)
	if err != nil || start < 0 || start >= size {
		return 0, 0, false
	}
	end := size - 1
	if last != "" {
		n, err := strconv.ParseInt(last, 10, 64)
		if err != nil || n < start {
			return 0, 0, false
		}
		end = min(end, n)
	}
	return start, end - start + 1, true
}
