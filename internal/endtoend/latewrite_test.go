package endtoend

import (
	"io"
	"testing"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/brickd"
	"arrowwalk/internal/standin/clients"
)

// Guards against a write that had its final answer, lay at a silent brick and ran late:
// it took the place of a newer write that another host's client was told is stored.
func TestLateWriteDoesNotReplaceANewerOne(t *testing.T) {
	type write struct{ method, body string }
	for name, c := range map[string]struct {
		late, newer write
		want        string // what is stored in the end; "": nothing
	}{
		"put over put":    {write{"PUT", "first"}, write{"PUT", "second"}, "second"},
		"put over delete": {write{"PUT", "first"}, write{"DELETE", ""}, ""},
		"delete of put":   {write{"DELETE", ""}, write{"PUT", "second"}, "second"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFaultyBrick(t)
			oneGateway, one := b.serve()
			otherGateway, other := b.serve()
			do := func(client *clients.Client, w write) int {
				return client.Do(&clients.Request{Method: w.method, Path: "/papers/k", Body: []byte(w.body)}).Call.Status
			}
			mustPut(t, one, "/papers/k", []byte("as it was"))
			hold := make(chan struct{})
			b.inject(c.late.method, brick.SpaceObjects, brickd.Fault{WaitFor: hold})
			if got := do(one, c.late); got != 500 {
				t.Fatalf("the held write is answered with %d, want 500", got)
			}
			b.heal()
			if got := do(other, c.newer); got/100 != 2 {
				t.Fatalf("the newer write is answered with %d", got)
			}
			close(hold)
			one.Close()
			other.Close()
			stop(t, oneGateway)
			stop(t, otherGateway)
			b.server.Close() // waits for what it executes
			if got := b.stored("papers/k"); got != c.want {
				t.Errorf("%q is stored, want %q", got, c.want)
			}
		})
	}
}

// stored returns the body of an object, or "" if there is none.
func (b *faultyBrick) stored(name string) string {
	b.t.Helper()
	blob, err := b.blobs.Get(brick.SpaceObjects, name)
	if err != nil {
		return ""
	}
	defer blob.Close()
	body, err := io.ReadAll(io.NewSectionReader(blob, 0, blob.Size))
	if err != nil {
		b.t.Fatal(err)
	}
	return string(body)
}
