package brickd

import (
	"net"
	"testing"

	"arrowwalk/internal/brick"
)

// PATCH changes a part of an extent. Duplicates and delayed writes are dropped by
// their sequence numbers, and requests of a stale epoch are rejected, even after
// the brick has restarted.
func TestExtents(t *testing.T) {
	s, blobs := serve(t, Options{})
	patch := func(epoch, number uint64, offset int64, body string, truncate bool) brick.Request {
		return brick.Request{Method: "PATCH", Space: brick.SpaceExtents, Name: "v/7", Epoch: epoch, Number: number, Offset: offset, Truncate: truncate, Body: brick.Bytes(body)}
	}
	get := func(epoch uint64) brick.Request {
		return brick.Request{Method: "GET", Space: brick.SpaceExtents, Name: "v/7", Epoch: epoch}
	}
	fence := func(epoch uint64) brick.Request {
		return brick.Request{Method: "PUT", Space: brick.SpaceFences, Name: "v", Epoch: epoch, Body: brick.Bytes(nil)}
	}
	for i, c := range []struct {
		req    brick.Request
		status int
		repeat bool
		want   string // content of the extent afterwards
	}{
		{patch(1, 1, 4, "late", false), 200, false, "\x00\x00\x00\x00late"},
		{patch(1, 2, 0, "head", false), 200, false, "headlate"},
		{patch(1, 3, 6, "TE+more", false), 200, false, "headlaTE+more"},
		{patch(1, 3, 0, "XXXX", false), 200, true, "headlaTE+more"}, // a duplicate
		{patch(1, 2, 0, "XXXX", false), 200, true, "headlaTE+more"}, // a delayed write
		{fence(2), 200, false, "headlaTE+more"},
		{patch(1, 4, 0, "XXXX", false), 409, false, "headlaTE+more"},
		{get(1), 409, false, "headlaTE+more"},
		{fence(1), 409, false, "headlaTE+more"},
		{fence(2), 200, false, "headlaTE+more"},
		{patch(2, 1, 0, "HEAD", false), 200, false, "HEADlaTE+more"}, // sequence numbers restart with each epoch
		{patch(2, 2, 0, "", true), 200, false, ""},
		{patch(2, 1, 0, "XXXX", false), 200, true, ""}, // a delayed write does not undo the truncation
		{patch(2, 3, maxExtentBytes, "x", false), 400, false, ""},
		{brick.Request{Method: "PATCH", Space: "o", Name: "k", Body: brick.Bytes("x")}, 405, false, ""},
	} {
		resp, _ := do(t, s, c.req)
		if resp.Status != c.status || resp.Repeat != c.repeat {
			t.Errorf("%d: status %d, repeat %v, want %d, %v", i, resp.Status, resp.Repeat, c.status, c.repeat)
		}
		if _, body := do(t, s, get(9)); body != c.want {
			t.Errorf("%d: the extent contains %q, want %q", i, body, c.want)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	restarted := Start(ln, blobs, Options{ID: s.opt.ID}) // has an empty cache of fences
	defer restarted.Close()
	if resp, _ := do(t, restarted, patch(1, 9, 0, "XXXX", false)); resp.Status != 409 {
		t.Errorf("status %d after a restart, want 409 from the stored fence", resp.Status)
	}
	if info, err := blobs.Stat(brick.SpaceFences, "v"); err != nil || len(info.Meta) != 8 {
		t.Errorf("stored fence: %+v, %v", info, err)
	}
}
