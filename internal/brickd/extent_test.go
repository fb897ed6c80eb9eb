package brickd

import (
	"net"
	"testing"

	"arrowwalk/internal/brick"
)

// An extent is changed in part, in the order of its writes' numbers, and by
// nobody whose epoch is over, also after the brick has started anew.
func TestExtents(t *testing.T) {
	s, dir := serve(t, Options{})
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
		call   brick.Request
		status int
		repeat bool
		want   string // what the extent has afterwards
	}{
		{patch(1, 1, 4, "late", false), 200, false, "\x00\x00\x00\x00late"},
		{patch(1, 2, 0, "head", false), 200, false, "headlate"},
		{patch(1, 3, 6, "TE+more", false), 200, false, "headlaTE+more"},
		{patch(1, 3, 0, "XXXX", false), 200, true, "headlaTE+more"}, // a copy
		{patch(1, 2, 0, "XXXX", false), 200, true, "headlaTE+more"}, // and a late one
		{fence(2), 200, false, "headlaTE+more"},
		{patch(1, 4, 0, "XXXX", false), 409, false, "headlaTE+more"},
		{get(1), 409, false, "headlaTE+more"},
		{fence(1), 409, false, "headlaTE+more"},
		{fence(2), 200, false, "headlaTE+more"},
		{patch(2, 1, 0, "HEAD", false), 200, false, "HEADlaTE+more"}, // numbers begin anew with an epoch
		{patch(2, 2, 0, "", true), 200, false, ""},
		{patch(2, 1, 0, "XXXX", false), 200, true, ""}, // what was emptied stays so
		{patch(2, 3, extentMost, "x", false), 400, false, ""},
		{brick.Request{Method: "PATCH", Space: "o", Name: "k", Body: brick.Bytes("x")}, 405, false, ""},
	} {
		ans, _ := call(t, s, c.call)
		if ans.Status != c.status || ans.Repeat != c.repeat {
			t.Errorf("%d: status %d, repeat %v, want %d, %v", i, ans.Status, ans.Repeat, c.status, c.repeat)
		}
		if _, body := call(t, s, get(9)); body != c.want {
			t.Errorf("%d: the extent has %q, want %q", i, body, c.want)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	again := Start(ln, dir, Options{ID: s.opt.ID}) // a process that knows only the disk
	defer again.Close()
	if ans, _ := call(t, again, patch(1, 9, 0, "XXXX", false)); ans.Status != 409 {
		t.Errorf("after a start the fence is forgotten: %d", ans.Status)
	}
	if info, err := dir.Stat(brick.SpaceFences, "v"); err != nil || len(info.Meta) != 8 {
		t.Errorf("%+v, %v", info, err)
	}
}
