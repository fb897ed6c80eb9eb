package endtoend

import (
	"bytes"
	"context"
	"crypto/md5"
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"sync"
	"testing"
	"time"

	"arrowwalk/internal/brick"
	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	s3front "arrowwalk/internal/front/s3"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/store"
)

// faultyBrick is one brick that injects faults into the requests that a test chooses.
type faultyBrick struct {
	t      *testing.T
	server *brickd.Server
	blobs  *store.Store

	mu    sync.Mutex
	fault func(x *brickd.Exchange) brickd.Fault // nil: none
}

func newFaultyBrick(t *testing.T) *faultyBrick {
	t.Helper()
	blobs, err := store.Open(t.TempDir(), store.Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &faultyBrick{t: t, blobs: blobs}
	b.server = brickd.Start(ln, blobs, brickd.Options{ID: "only", Hook: b})
	t.Cleanup(func() {
		b.server.Close()
		blobs.Close()
	})
	return b
}

func (b *faultyBrick) OnRequest(x *brickd.Exchange) brickd.Fault {
	b.mu.Lock()
	fault := b.fault
	b.mu.Unlock()
	if fault == nil {
		return brickd.Fault{}
	}
	return fault(x)
}

func (b *faultyBrick) OnResponse(*brickd.Exchange) {}

// inject sets the fault of requests with a method in a space; others have none.
func (b *faultyBrick) inject(method, space string, fault brickd.Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = func(x *brickd.Exchange) brickd.Fault {
		if x.Method == method && x.Space == space {
			return fault
		}
		return brickd.Fault{}
	}
}

func (b *faultyBrick) heal() {
	b.mu.Lock()
	b.fault = nil
	b.mu.Unlock()
}

// count returns the number of blobs in a space.
func (b *faultyBrick) count(space string) int {
	blobs, _ := b.blobs.SpaceUsage(space)
	return blobs
}

const testPieceBytes = 64 << 10

// serve starts a gateway on the brick, with deadlines that lost answers reach soon.
func (b *faultyBrick) serve() (*gateway.Gateway, *clients.Client) {
	b.t.Helper()
	return b.serveReclaiming(s3front.ReclaimTimes{})
}

// serveReclaiming is serve with other times of the deletion of unused data.
func (b *faultyBrick) serveReclaiming(reclaim s3front.ReclaimTimes) (*gateway.Gateway, *clients.Client) {
	b.t.Helper()
	g := startReclaiming(b.t, b.t.TempDir(), reclaim, func(c *config.Config) {
		c.Keys, c.Shards, c.PieceBytes = keys, 1, testPieceBytes
		c.Collections = []config.Collection{{Bucket: "papers", Plan: "basic"}}
		c.Bricks = []config.Brick{{Name: "only", Address: b.server.Addr(), Zone: "zone-a"}}
		c.Classes.Read.DeadlineMS, c.Classes.Write.DeadlineMS = 700, 700
		c.Classes.Read.AimMS, c.Classes.Write.AimMS = 300, 300
	})
	return g, raw(g)
}

// readBack stops the gateway, which ends its work behind the answers, and returns what
// another one reads.
func (b *faultyBrick) readBack(g *gateway.Gateway, c *clients.Client, path string) []byte {
	b.t.Helper()
	b.heal()
	c.Close()
	stop(b.t, g)
	g, c = b.serve()
	defer stop(b.t, g)
	defer c.Close()
	a := c.Do(&clients.Request{Method: "GET", Path: path})
	if a.Call.Status != 200 || !a.Call.Whole {
		b.t.Errorf("GET %s: %d, %v %s", path, a.Call.Status, a.Err, a.Body)
	}
	return a.Body
}

func mustPut(t *testing.T, c *clients.Client, path string, body []byte) {
	t.Helper()
	if a := c.Do(&clients.Request{Method: "PUT", Path: path, Body: body}); a.Call.Status != 200 {
		t.Fatalf("PUT %s: %d, %v %s", path, a.Call.Status, a.Err, a.Body)
	}
}

const pieces = 3 // of the objects of these tests

func content(c byte) []byte { return bytes.Repeat([]byte{c}, pieces*testPieceBytes-100) }

// Guards against an overwrite with an unknown outcome that destroyed the object: the
// answer to the write of its record was lost, and its pieces were deleted although the
// record named them.
func TestOverwriteWithALostAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		fault brickd.Fault
		want  byte
	}{
		"the write ran":   {brickd.Fault{DropResponse: true}, 'n'},
		"it never ran":    {brickd.Fault{IgnoreRequest: true}, 'o'},
		"the brick fails": {brickd.Fault{Status: 500}, 'o'},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newFaultyBrick(t)
			g, client := b.serve()
			mustPut(t, client, "/papers/thesis", content('o'))
			b.inject("PUT", brick.SpaceObjects, c.fault)
			if a := client.Do(&clients.Request{Method: "PUT", Path: "/papers/thesis", Body: content('n')}); a.Call.Status < 500 {
				t.Errorf("the overwrite: %d, %v", a.Call.Status, a.Err)
			}
			if got := b.readBack(g, client, "/papers/thesis"); !bytes.Equal(got, content(c.want)) {
				t.Errorf("%d bytes %.1q, want %q", len(got), got, c.want)
			}
		})
	}
}

// Guards against an overwrite whose client left during the write of its record, and
// which then destroyed the object.
func TestOverwriteWhoseClientLeaves(t *testing.T) {
	b := newFaultyBrick(t)
	g, client := b.serve()
	mustPut(t, client, "/papers/thesis", content('o'))
	b.inject("PUT", brick.SpaceObjects, brickd.Fault{DropResponse: true}) // it runs; the client leaves before the deadline
	client.Do(&clients.Request{Method: "PUT", Path: "/papers/thesis", Body: content('n'), HangUpWait: 150 * time.Millisecond})
	if got := b.readBack(g, client, "/papers/thesis"); !bytes.Equal(got, content('n')) {
		t.Errorf("%d bytes %.1q, want the new ones", len(got), got)
	}
}

// Guards against a write of a record that a brick runs after the host gave it up and
// deleted its pieces.
func TestRecordWriteThatRunsLate(t *testing.T) {
	b := newFaultyBrick(t)
	g, client := b.serve()
	mustPut(t, client, "/papers/thesis", content('o'))
	late := make(chan struct{})
	b.inject("PUT", brick.SpaceObjects, brickd.Fault{WaitFor: late})
	if a := client.Do(&clients.Request{Method: "PUT", Path: "/papers/thesis", Body: content('n')}); a.Call.Status < 500 {
		t.Errorf("the overwrite: %d, %v", a.Call.Status, a.Err)
	}
	client.Close()
	stop(t, g) // its pieces are reclaimed
	if n := b.count(brick.SpacePieces); n != pieces {
		t.Errorf("%d pieces, want those of the old object", n)
	}
	close(late)
	g, client = b.serve()
	if got := b.readBack(g, client, "/papers/thesis"); !bytes.Equal(got, content('o')) {
		t.Errorf("%d bytes %.1q", len(got), got)
	}
}

// upload is a multipart upload that a test drives with raw requests.
type upload struct {
	t      *testing.T
	client *clients.Client
	path   string
	id     string
	list   string // of its parts, for the complete
}

// newQuery returns the query parameters that names and values make in turn.
func newQuery(namesAndValues ...string) sigv4.Query {
	var q sigv4.Query
	for i := 0; i < len(namesAndValues); i += 2 {
		q = append(q, sigv4.Param{Name: namesAndValues[i], Value: namesAndValues[i+1]})
	}
	return q
}

var uploadIDPattern = regexp.MustCompile("<UploadId>(.*?)</UploadId>")

func beginUpload(t *testing.T, c *clients.Client, path string) *upload {
	t.Helper()
	a := c.Do(&clients.Request{Method: "POST", Path: path, Query: newQuery("uploads", "")})
	id := uploadIDPattern.FindSubmatch(a.Body)
	if a.Call.Status != 200 || id == nil {
		t.Fatalf("create the upload: %d, %v", a.Call.Status, a.Err)
	}
	return &upload{t: t, client: c, path: path, id: string(id[1])}
}

// part uploads the only part and returns the status.
func (u *upload) part(body []byte) int {
	sum := md5.Sum(body)
	u.list = fmt.Sprintf("<CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>%s</ETag></Part></CompleteMultipartUpload>", hex.EncodeToString(sum[:]))
	return u.client.Do(&clients.Request{Method: "PUT", Path: u.path, Query: newQuery("partNumber", "1", "uploadId", u.id), Body: body}).Call.Status
}

// complete completes the upload and returns the status.
func (u *upload) complete() int {
	return u.client.Do(&clients.Request{Method: "POST", Path: u.path, Query: newQuery("uploadId", u.id), Body: []byte(u.list)}).Call.Status
}

// Guards against a repeated complete that replaced another client's object by one
// whose pieces had been deleted.
func TestRepeatedCompleteAfterAnOverwrite(t *testing.T) {
	b := newFaultyBrick(t)
	g, client := b.serve()
	u := beginUpload(t, client, "/papers/thesis")
	if status := u.part(content('u')); status != 200 {
		t.Fatalf("part: %d", status)
	}
	b.inject("PUT", brick.SpaceObjects, brickd.Fault{DropResponse: true})
	if status := u.complete(); status < 500 {
		t.Errorf("complete with a lost answer: %d", status)
	}
	b.heal()
	mustPut(t, client, "/papers/thesis", content('x'))
	client.Close()
	stop(t, g) // the pieces of the replaced object are reclaimed
	g, client = b.serve()
	u.client = client
	if status := u.complete(); status != 404 {
		t.Errorf("complete again: %d", status)
	}
	if got := b.readBack(g, client, "/papers/thesis"); !bytes.Equal(got, content('x')) {
		t.Errorf("%d bytes %.1q", len(got), got)
	}
}

// Guards against a part whose record was written although its answer was lost, and
// whose pieces were deleted: the complete succeeded and the object could not be read.
func TestPartWithALostAnswer(t *testing.T) {
	b := newFaultyBrick(t)
	g, client := b.serve()
	u := beginUpload(t, client, "/papers/thesis")
	b.inject("PUT", brick.SpaceParts, brickd.Fault{DropResponse: true})
	if status := u.part(content('p')); status < 500 {
		t.Errorf("part with a lost answer: %d", status)
	}
	b.heal()
	client.Close()
	stop(t, g)
	g, client = b.serve()
	u.client = client
	if status := u.complete(); status != 200 {
		t.Errorf("complete: %d", status)
	}
	if got := b.readBack(g, client, "/papers/thesis"); !bytes.Equal(got, content('p')) {
		t.Errorf("%d bytes %.1q", len(got), got)
	}
}

// A sweep deletes the pieces that hosts left behind, and nothing else: those of a
// replaced and of a deleted object, of an aborted upload, of a part that was uploaded
// again, of a write that was given up, and of a host that ended in the middle of a
// write. An upload in progress keeps its pieces.
func TestSweepDeletesWhatIsLeft(t *testing.T) {
	b := newFaultyBrick(t)
	g, client := b.serve()
	b.inject("DELETE", brick.SpacePieces, brickd.Fault{Status: 500})
	mustPut(t, client, "/papers/replaced", content('1'))
	mustPut(t, client, "/papers/replaced", content('2'))
	mustPut(t, client, "/papers/deleted", content('3'))
	if a := client.Do(&clients.Request{Method: "DELETE", Path: "/papers/deleted"}); a.Call.Status != 204 {
		t.Errorf("DELETE: %d", a.Call.Status)
	}
	aborted, completed, running := beginUpload(t, client, "/papers/aborted"), beginUpload(t, client, "/papers/completed"), beginUpload(t, client, "/papers/running")
	for _, status := range []int{aborted.part(content('4')), completed.part(content('5')), completed.part(content('6')), completed.complete(), running.part(content('7'))} {
		if status != 200 {
			t.Errorf("multipart upload: %d", status)
		}
	}
	if a := client.Do(&clients.Request{Method: "DELETE", Path: "/papers/aborted", Query: newQuery("uploadId", aborted.id)}); a.Call.Status != 204 {
		t.Errorf("abort: %d", a.Call.Status)
	}
	if a := client.Do(&clients.Request{Method: "PUT", Path: "/papers/given-up", Body: content('8'), Fields: http1.Fields{{Name: "x-amz-checksum-crc32", Value: "AAAAAA=="}}}); a.Call.Status != 400 {
		t.Errorf("PUT with a wrong checksum: %d", a.Call.Status)
	}
	for _, blob := range [][2]string{{brick.SpaceIntents, "papers/host-ended\x00feed"}, {brick.SpacePieces, "feed/o.0"}} {
		if _, _, err := b.blobs.Put(context.Background(), blob[0], store.Info{Name: blob[1]}, bytes.NewReader(nil), nil, store.Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	client.Close()
	stop(t, g)
	if n := b.count(brick.SpacePieces); n != 8*pieces+1 {
		t.Errorf("%d pieces are left, want %d", n, 8*pieces+1)
	}

	b.heal()
	g, client = b.serveReclaiming(s3front.ReclaimTimes{SweepInterval: 20 * time.Millisecond, TrashGrace: time.Millisecond, IntentLease: time.Millisecond})
	const used = 3 * pieces // of the replaced, the completed and the running one
	for began := time.Now(); b.count(brick.SpacePieces) != used || b.count(brick.SpaceTrash)+b.count(brick.SpaceIntents) > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("%d pieces, want %d; %d entries in the trash, %d intents", b.count(brick.SpacePieces), used, b.count(brick.SpaceTrash), b.count(brick.SpaceIntents))
		}
	}
	running.client = client
	if status := running.complete(); status != 200 {
		t.Errorf("complete of the upload in progress: %d", status)
	}
	for path, want := range map[string]byte{"/papers/replaced": '2', "/papers/completed": '6', "/papers/running": '7'} {
		if a := client.Do(&clients.Request{Method: "GET", Path: path, Want: content(want)}); a.Call.Status != 200 || a.Call.Wrong || !a.Call.Whole {
			t.Errorf("GET %s: %d, %v", path, a.Call.Status, a.Err)
		}
	}
	client.Close()
	stop(t, g)
}
