package endtoend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/config"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/store"
)

// serveWithPieces starts a gateway on the brick whose pieces have a size.
func (b *faultyBrick) serveWithPieces(pieceBytes int64) (*gateway.Gateway, *clients.Client) {
	b.t.Helper()
	g := start(b.t, b.t.TempDir(), func(c *config.Config) {
		c.Keys, c.Shards, c.PieceBytes = keys, 1, pieceBytes
		c.Collections = []config.Collection{{Bucket: "papers", Plan: "basic"}}
		c.Bricks = []config.Brick{{Name: "only", Address: b.server.Addr(), Zone: "zone-a"}}
	})
	return g, raw(g)
}

// forgetPieceSizes makes the records of uploaded parts those of an older version.
func (b *faultyBrick) forgetPieceSizes() {
	b.t.Helper()
	items, _ := b.blobs.List(brick.SpaceParts, store.Query{MaxItems: 100})
	for _, item := range items {
		var part map[string]any
		if err := json.Unmarshal(item.Meta, &part); err != nil {
			b.t.Fatal(err)
		}
		if part["p"] == nil {
			b.t.Fatalf("the record of %q tells no size of pieces", item.Name)
		}
		delete(part, "p")
		meta, err := json.Marshal(part)
		if err != nil {
			b.t.Fatal(err)
		}
		if _, _, err := b.blobs.Put(context.Background(), brick.SpaceParts, store.Info{Name: item.Name, Meta: meta}, bytes.NewReader(nil), nil, store.Condition{}); err != nil {
			b.t.Fatal(err)
		}
	}
}

// Guards against an upload that is completed by a gateway with another size of pieces than
// the one that stored its parts, and is then read wrong or not at all.
func TestUploadAcrossAChangeOfPieceBytes(t *testing.T) {
	whole := random(13<<19, 7)
	for _, c := range []struct {
		before, after int64
		oldRecords    bool // the parts were stored by a version that records no size
	}{
		{1 << 20, 1 << 19, false}, {1 << 19, 1 << 20, false}, {1 << 20, 1 << 19, true}, {1 << 19, 1 << 20, true}, {8 << 20, 1 << 20, true},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			b := newFaultyBrick(t)
			one, first := b.serveWithPieces(c.before)
			u := beginUpload(t, first, "/papers/thesis")
			if got := u.part(whole); got != 200 {
				t.Fatalf("part: %d", got)
			}
			if c.oldRecords {
				b.forgetPieceSizes()
			}
			first.Close()
			stop(t, one)
			other, second := b.serveWithPieces(c.after)
			defer stop(t, other)
			defer second.Close()
			u.client = second
			if got := u.complete(); got != 200 {
				t.Fatalf("complete: %d", got)
			}
			a := second.Do(&clients.Request{Method: "GET", Path: "/papers/thesis"})
			if a.Call.Status != 200 || !bytes.Equal(a.Body, whole) {
				t.Errorf("GET: %d, %d bytes, which are not those that were uploaded", a.Call.Status, len(a.Body))
			}
			for _, from := range []int{0, 600_000, 1_100_000, 2_500_000, 5_300_000} {
				a := second.Do(&clients.Request{Method: "GET", Path: "/papers/thesis", Fields: http1.Fields{{Name: "Range", Value: fmt.Sprintf("bytes=%d-%d", from, from+31)}}})
				if a.Call.Status != 206 || !bytes.Equal(a.Body, whole[from:from+32]) {
					t.Errorf("from %d: %d, %d bytes", from, a.Call.Status, len(a.Body))
				}
			}
		})
	}
}

// makePieceSizesWrong makes the manifest of an object that of an older version, with sizes
// of pieces other than those that are stored.
func (b *faultyBrick) makePieceSizesWrong(name string, pieceBytes int64) {
	b.t.Helper()
	info, err := b.blobs.Stat(brick.SpaceObjects, name)
	if err != nil {
		b.t.Fatal(err)
	}
	var m struct {
		Runs []map[string]any `json:"runs"`
	}
	if err := json.Unmarshal([]byte(b.stored(name)), &m); err != nil || len(m.Runs) == 0 {
		b.t.Fatalf("manifest: %v", err)
	}
	for _, run := range m.Runs {
		run["p"] = pieceBytes
	}
	body, err := json.Marshal(m)
	if err != nil {
		b.t.Fatal(err)
	}
	info.Size = int64(len(body))
	if _, _, err := b.blobs.Put(context.Background(), brick.SpaceObjects, info, bytes.NewReader(body), nil, store.Condition{}); err != nil {
		b.t.Fatal(err)
	}
}

// Guards against an object that an older version completed across a change of piece_bytes
// and that is read, or copied, by the wrong size.
func TestObjectWithAWrongPieceSizeIsReadRight(t *testing.T) {
	whole := random(3<<19, 7)
	for _, wrong := range []int64{1 << 18, 1 << 20, 8 << 20} {
		t.Run(fmt.Sprint(wrong), func(t *testing.T) {
			b := newFaultyBrick(t)
			g, c := b.serveWithPieces(1 << 19)
			defer stop(t, g)
			defer c.Close()
			u := beginUpload(t, c, "/papers/thesis")
			if part, complete := u.part(whole), u.complete(); part != 200 || complete != 200 {
				t.Fatalf("part %d, complete %d", part, complete)
			}
			b.makePieceSizesWrong("papers/thesis", wrong)
			for from := 0; from < len(whole); from += 1 << 18 {
				a := c.Do(&clients.Request{Method: "GET", Path: "/papers/thesis", Fields: http1.Fields{{Name: "Range", Value: fmt.Sprintf("bytes=%d-%d", from, from+31)}}})
				if a.Call.Status != 206 || !bytes.Equal(a.Body, whole[from:from+32]) {
					t.Errorf("from %d: %d, %d bytes", from, a.Call.Status, len(a.Body))
				}
			}
			if a := c.Do(&clients.Request{Method: "PUT", Path: "/papers/copy", Fields: http1.Fields{{Name: "x-amz-copy-source", Value: "/papers/thesis"}}}); a.Call.Status != 200 {
				t.Errorf("copy: %d", a.Call.Status)
			}
			for _, path := range []string{"/papers/thesis", "/papers/copy"} {
				if a := c.Do(&clients.Request{Method: "GET", Path: path}); a.Call.Status != 200 || !bytes.Equal(a.Body, whole) {
					t.Errorf("%s: %d, %d bytes", path, a.Call.Status, len(a.Body))
				}
			}
		})
	}
}
