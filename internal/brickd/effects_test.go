package brickd

import (
	"strings"
	"testing"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/store"
)

// A write consumes a blob with a name of any bytes, once, and a bad header is refused by
// its name without an effect.
func TestConsumeAndTrash(t *testing.T) {
	s, blobs := serve(t, Options{ID: "a"})
	const intent = "papers/a b%/ü\x00id"
	write := brick.Request{Method: "PUT", Space: "o", Name: "k", Body: brick.Bytes("{}"), Whole: true, ConsumeSpace: "i", ConsumeName: intent, Trash: "s"}
	if resp, _ := do(t, s, write); resp.Status != brick.StatusNotConsumable {
		t.Errorf("without the blob: %d", resp.Status)
	}
	do(t, s, brick.Request{Method: "PUT", Space: "i", Name: intent})
	for _, want := range []int{200, brick.StatusNotConsumable} {
		if resp, _ := do(t, s, write); resp.Status != want {
			t.Errorf("with the blob: %d, want %d", resp.Status, want)
		}
	}
	if resp, _ := do(t, s, brick.Request{Method: "DELETE", Space: "o", Name: "k", Trash: "d"}); resp.Status != 204 {
		t.Errorf("DELETE: %d", resp.Status)
	}
	entry := brick.TrashName("o", "k", "d")
	if _, err := blobs.Stat(store.TrashSpace, entry); err != nil || entry != store.TrashName("o", "k", "d") {
		t.Errorf("entry %q: %v", entry, err)
	}
	for _, bad := range []struct {
		request brick.Request
		header  string
	}{
		{brick.Request{Method: "PUT", Space: "o", Name: "bad", ConsumeSpace: "i"}, brick.HeaderConsume},
		{brick.Request{Method: "PUT", Space: "o", Name: "bad", Trash: strings.Repeat("s", maxTrashSuffixBytes+1)}, brick.HeaderTrash},
		{brick.Request{Method: "DELETE", Space: "o", Name: "bad", Trash: strings.Repeat("s", maxTrashSuffixBytes+1)}, brick.HeaderTrash},
	} {
		if resp, text := do(t, s, bad.request); resp.Status != 400 || !strings.Contains(text, bad.header) {
			t.Errorf("%s: %d %q", bad.header, resp.Status, text)
		}
	}
	if _, err := blobs.Stat("o", "bad"); err == nil {
		t.Error("a refused write took effect")
	}
}

// The names in the trash can be taken apart again.
func FuzzTrashName(f *testing.F) {
	f.Add("o", "papers/k", "s")
	f.Add("u", "papers/k\x00id", "id")
	f.Fuzz(func(t *testing.T, space, name, suffix string) {
		gotSpace, gotName, ok := brick.ParseTrashName(brick.TrashName(space, name, suffix))
		if strings.Contains(space, "/") || strings.Contains(suffix, "\x00") {
			return
		}
		if !ok || gotSpace != space || gotName != name {
			t.Errorf("%q, %q, %v of %q, %q, %q", gotSpace, gotName, ok, space, name, suffix)
		}
	})
}
