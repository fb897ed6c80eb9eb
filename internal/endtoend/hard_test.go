package endtoend

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/front/s3/awschunked"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/http1"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/clients"
)

var keys = []config.Key{{Access: "TEST", Secret: "test-secret"}}

// scripted serves with one scripted brick, and a bucket of the settings.
func scripted(t *testing.T, change func(*config.Config)) (*gateway.Gateway, *bricks.Brick, *clients.Client) {
	t.Helper()
	site := bricks.New(t.TempDir(), 4*time.Second, bricks.Cold{})
	t.Cleanup(site.Close)
	b, err := site.Start("only", "zone-a", 0, "data", false)
	if err != nil {
		t.Fatal(err)
	}
	g := start(t, t.TempDir(), func(c *config.Config) {
		c.Keys, c.Shards = keys, 1
		c.Collections = []config.Collection{{Bucket: "papers", Plan: "basic"}}
		c.Bricks = []config.Brick{{Name: "only", Address: b.Entry("").Address, Zone: "zone-a"}}
		c.Classes.Read.DeadlineMS, c.Classes.Write.DeadlineMS = 1500, 1500
		c.Classes.Read.AimMS, c.Classes.Write.AimMS = 500, 500
		if change != nil {
			change(c)
		}
	})
	t.Cleanup(func() { stop(t, g) })
	c := raw(g)
	t.Cleanup(c.Close)
	return g, b, c
}

func raw(g *gateway.Gateway) *clients.Client {
	return &clients.Client{Name: "test", Log: &clients.Log{}, Target: &clients.Target{
		Addr: strings.TrimPrefix(g.Endpoint(), "http://"), Signer: sigv4.Signer{AccessKey: keys[0].Access, SecretKey: keys[0].Secret, Region: "us-east-1"}}}
}

func send(t *testing.T, g *gateway.Gateway, text string) (status int, rest string) {
	t.Helper()
	nc, err := net.Dial("tcp", strings.TrimPrefix(g.Endpoint(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	go func() { io.WriteString(nc, text) }()
	nc.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(nc)
	var p http1.Response
	if err := http1.NewReader(in, http1.DefaultLimits).ReadResponse(&p, "GET"); err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	var body http1.Body
	body.Reset(in, p.Framing)
	if _, err := io.ReadAll(&body); err != nil {
		t.Fatal(err)
	}
	after, _ := io.ReadAll(in) // until the gateway closes
	return p.Status, string(after)
}

// What could be read in two ways, or has no end, is refused, and the
// connection closed: nothing after it is taken for a request.
func TestRefusedMessages(t *testing.T) {
	g, _, _ := scripted(t, func(c *config.Config) { c.Timeouts.HeaderMS, c.Timeouts.BodyStallMS = 300, 300 })
	second := "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"two lengths", "PUT /papers/k HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 34\r\n\r\n" + second, 400},
		{"length and chunked", "PUT /papers/k HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + second, 400},
		{"bare LF", "GET /papers/k HTTP/1.1\nHost: h\r\n\r\n" + second, 400},
		{"obs-fold", "GET /papers/k HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n" + second, 400},
		{"coding", "PUT /papers/k HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n" + second, 501},
		{"head of 10 MiB", "GET /papers/k HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 10_000), 431},
		{"line of 10 MiB", "GET /" + strings.Repeat("y", 10<<20), 414},
		{"slow head", "GET /papers/k HTTP/1.1\r\nHost:", 408},
	} {
		status, rest := send(t, g, c.text)
		if status != c.status || rest != "" {
			t.Errorf("%s: status %d, then %.60q; want %d and nothing", c.name, status, rest, c.status)
		}
	}
}

// A body that stalls is refused in bounded time; one that says 100-continue
// gets its 100 only where it will be read.
func TestBodies(t *testing.T) {
	g, _, c := scripted(t, func(c *config.Config) { c.Timeouts.BodyStallMS = 300 })
	if a := c.Do(&clients.Request{Method: "PUT", Path: "/papers/k", Body: make([]byte, 100_000), Pause: time.Second}); a.Call.Status != 400 {
		t.Errorf("stalled body: status %d, %v", a.Call.Status, a.Err)
	}
	for _, e := range []struct {
		secret string
		want   []int
	}{{keys[0].Secret, []int{100, 200}}, {"wrong", []int{403}}} {
		signer := sigv4.Signer{AccessKey: keys[0].Access, SecretKey: e.secret, Region: "us-east-1"}
		fields := http1.Fields{{Name: "Host", Value: "h"}}
		added, _ := signer.Sign(&sigv4.Request{Method: "PUT", Path: "/papers/e", Fields: fields}, sigv4.UnsignedPayload, time.Now())
		head := []byte("PUT /papers/e HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n")
		for _, f := range append(fields, added...) {
			head = http1.AppendField(head, f.Name, f.Value)
		}
		nc, err := net.Dial("tcp", strings.TrimPrefix(g.Endpoint(), "http://"))
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		nc.Write(append(head, "\r\n"...))
		in, p := bufio.NewReader(nc), http1.Response{}
		for _, want := range e.want {
			if err := http1.NewReader(in, http1.DefaultLimits).ReadResponse(&p, "HEAD"); err != nil || p.Status != want {
				t.Errorf("expect with secret %q: status %d, %v; want %d", e.secret, p.Status, err, want)
			}
			if p.Status == 100 {
				nc.Write([]byte("abc"))
			}
		}
		nc.Close()
	}
}

func stream(t *testing.T, payload string, body []byte, trailer http1.Fields, spoil func([]byte)) int {
	t.Helper()
	g, _, c := scripted(t, nil)
	fields := http1.Fields{{Name: "Host", Value: c.Target.Addr}, {Name: "Content-Encoding", Value: "aws-chunked"},
		{Name: "x-amz-decoded-content-length", Value: fmt.Sprint(len(body))}}
	if trailer != nil {
		fields = append(fields, http1.Field{Name: "x-amz-trailer", Value: trailer[0].Name})
	}
	added, id := c.Target.Signer.Sign(&sigv4.Request{Method: "PUT", Path: "/papers/s", Fields: fields}, payload, time.Now())
	var signer *sigv4.ChunkSigner
	if payload != awschunked.UnsignedPayloadTrailer {
		signer = id.NewChunkSigner()
	}
	var text []byte
	for rest := body; len(rest) > 0; {
		n := min(len(rest), 64<<10)
		text = awschunked.AppendChunk(text, rest[:n], signer, nil)
		rest = rest[n:]
	}
	text = awschunked.AppendChunk(text, nil, signer, trailer)
	if spoil != nil {
		spoil(text)
	}
	head := []byte("PUT /papers/s HTTP/1.1\r\nConnection: close\r\n")
	for _, f := range append(fields, added...) {
		head = http1.AppendField(head, f.Name, f.Value)
	}
	head = append(http1.AppendIntField(head, "Content-Length", int64(len(text))), "\r\n"...)
	status, _ := send(t, g, string(head)+string(text))
	a := c.Do(&clients.Request{Method: "GET", Path: "/papers/s"})
	if stored := a.Call.Status == 200; stored != (status == 200) || stored && !bytes.Equal(a.Body, body) {
		t.Errorf("%s: answered %d, then read %d with %d bytes", payload, status, a.Call.Status, len(a.Body))
	}
	return status
}

// Streamed bodies are stored only where every chunk and the trailer are right.
func TestStreamedBodies(t *testing.T) {
	large, small := random(1<<20+100_000, 4), random(1000, 5)
	crc := http1.Fields{{Name: "x-amz-checksum-sha256", Value: "bad"}}
	for _, c := range []struct {
		name, payload string
		body          []byte
		trailer       http1.Fields
		spoil         func([]byte)
		status        int
	}{
		{"signed", awschunked.SignedPayload, large, nil, nil, 200},
		{"signed, small", awschunked.SignedPayload, small, nil, nil, 200},
		{"a bit", awschunked.SignedPayload, large, nil, func(b []byte) { b[len(b)-200_000] ^= 1 }, 403},
		{"a bit of the last chunk", awschunked.SignedPayload, small, nil, func(b []byte) { b[500] ^= 1 }, 403},
		{"wrong trailer", awschunked.UnsignedPayloadTrailer, small, crc, nil, 400},
		{"wrong signed trailer", awschunked.SignedPayloadTrailer, large, crc, nil, 400},
	} {
		if status := stream(t, c.payload, c.body, c.trailer, c.spoil); status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, status, c.status)
		}
	}
}

func TestPresignedAndSignedPayload(t *testing.T) {
	g := start(t, t.TempDir(), nil)
	defer stop(t, g)
	c := client(t, g)
	if _, err := c.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: bucket}); err != nil {
		t.Fatal(err)
	}
	put(t, c, "k e y", []byte("body"))
	url, err := s3.NewPresignClient(c).PresignGetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: aws.String("k e y")})
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	web := &http.Client{Transport: transport}
	for _, u := range []struct {
		url    string
		status int
	}{{url.URL, 200}, {strings.Replace(url.URL, "e%20y", "e%20x", 1), 403}, {url.URL + "&extra=1", 403}} {
		resp, err := web.Get(u.url)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != u.status || u.status == 200 && string(body) != "body" {
			t.Errorf("%s: %d %s", u.url, resp.StatusCode, body)
		}
	}
	sum := sha256.Sum256([]byte("other"))
	signer := sigv4.Signer{AccessKey: g.Keys[0].Access, SecretKey: g.Keys[0].Secret, Region: "us-east-1"}
	fields := http1.Fields{{Name: "Host", Value: "h"}}
	added, _ := signer.Sign(&sigv4.Request{Method: "PUT", Path: "/papers/p", Fields: fields}, hex.EncodeToString(sum[:]), time.Now())
	head := []byte("PUT /papers/p HTTP/1.1\r\nConnection: close\r\nContent-Length: 4\r\n")
	for _, f := range append(fields, added...) {
		head = http1.AppendField(head, f.Name, f.Value)
	}
	if status, _ := send(t, g, string(head)+"\r\nbody"); status != 400 {
		t.Errorf("a payload that is not the signed one: %d", status)
	}
}

// Whatever a brick answers, a client gets the right bytes, a refusal, or an
// answer cut short: never wrong bytes, never two answers.
func TestBricksThatAnswerBadly(t *testing.T) {
	_, b, c := scripted(t, nil)
	bodies := map[string][]byte{"/papers/small": random(3000, 1), "/papers/large": random(700_000, 2), "/papers/pieces": random(2<<20+9, 3)}
	for key, body := range bodies {
		if a := c.Do(&clients.Request{Method: "PUT", Path: key, Body: body}); a.Call.Status != 200 {
			t.Fatalf("put %s: %d %v", key, a.Call.Status, a.Err)
		}
	}
	for _, f := range []struct {
		name  string
		fault brickd.Fault
	}{
		{"error", brickd.Fault{Status: 500}}, {"full", brickd.Fault{Status: 503}}, {"another brick", brickd.Fault{Status: 421}},
		{"too few bytes", brickd.Fault{MissingBytes: 5}}, {"too many bytes", brickd.Fault{ExtraBytes: 5}}, {"garbage", brickd.Fault{Garbage: true}},
		{"endless header", brickd.Fault{EndlessHeader: true}}, {"cut in the body", brickd.Fault{CutAfter: 1000}},
		{"cut before the answer", brickd.Fault{CutAfter: -1}}, {"twice", brickd.Fault{RespondTwice: true}}, {"mute", brickd.Fault{IgnoreRequest: true}},
	} {
		for key, body := range bodies {
			for _, every := range []int{1, 2} {
				b.Play(bricks.Script{Fault: f.fault, Every: every})
				began := time.Now()
				a := c.Do(&clients.Request{Method: "GET", Path: key, Want: body, Wait: time.Second})
				b.Play(bricks.Script{})
				if a.Call.Wrong || a.Call.Extra || a.Call.Status == 0 && a.Call.Begun == 0 || time.Since(began) > 3*time.Second {
					t.Errorf("%s, each %d, %s: %+v, %v after %s", f.name, every, key, a.Call, a.Err, time.Since(began))
				}
				if a.Call.Status == 503 && !a.Call.RetryTold {
					t.Errorf("%s: 503 without Retry-After", f.name)
				}
			}
		}
	}
	for key, body := range bodies { // and all is well again
		if a := c.Do(&clients.Request{Method: "GET", Path: key, Want: body, Wait: time.Second}); a.Call.Status != 200 || !a.Call.Whole {
			t.Errorf("%s afterwards: %+v", key, a.Call)
		}
	}
}

// A brick whose disk is full refuses writes lawfully, and reads go on.
func TestFullDisk(t *testing.T) {
	_, b, c := scripted(t, nil)
	if a := c.Do(&clients.Request{Method: "PUT", Path: "/papers/k", Body: []byte("kept")}); a.Call.Status != 200 {
		t.Fatal(a.Call.Status)
	}
	b.Play(bricks.Script{Fault: brickd.Fault{Status: 507}, Writes: true})
	for _, body := range [][]byte{[]byte("new"), random(2<<20, 1)} {
		if a := c.Do(&clients.Request{Method: "PUT", Path: "/papers/k", Body: body}); a.Call.Status != 507 {
			t.Errorf("a write of %d bytes: %d %v", len(body), a.Call.Status, a.Err)
		}
	}
	if a := c.Do(&clients.Request{Method: "GET", Path: "/papers/k", Want: []byte("kept")}); a.Call.Status != 200 || a.Call.Wrong {
		t.Errorf("a read: %d", a.Call.Status)
	}
	b.Play(bricks.Script{})
	if a := c.Do(&clients.Request{Method: "PUT", Path: "/papers/k", Body: []byte("again")}); a.Call.Status != 200 {
		t.Errorf("with room again: %d", a.Call.Status)
	}
}

// Bounds: where memory and spool are full, or there are too many connections,
// the client gets its refusal at once.
func TestBounds(t *testing.T) {
	g, _, c := scripted(t, func(c *config.Config) {
		c.Bounds.MemoryBytes, c.Bounds.SpoolBytes, c.PieceBytes, c.Bounds.Connections = 1<<20, 1<<20, 1<<20, 4
	})
	holders := make([]*clients.Client, 2)
	var wg sync.WaitGroup
	for i := range holders { // each keeps nearly 1 MiB while it pauses: one in memory, one in the spool
		holders[i] = raw(g)
		defer holders[i].Close()
		wg.Add(1)
		go func() {
			defer wg.Done()
			body := random(1<<20-1000, int64(i))
			if a := holders[i].Do(&clients.Request{Method: "PUT", Path: fmt.Sprint("/papers/", i), Body: append(body, make([]byte, 900_000)...), Pause: 600 * time.Millisecond}); a.Call.Status != 200 && a.Call.Status != 503 {
				t.Errorf("holder: %d %v", a.Call.Status, a.Err)
			}
		}()
	}
	for until := time.Now().Add(5 * time.Second); g.Spool().Usage().File == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	a := c.Do(&clients.Request{Method: "PUT", Path: "/papers/third", Body: random(1<<20, 9)})
	if a.Call.Status != 503 || !a.Call.RetryTold || time.Since(began) > 500*time.Millisecond {
		t.Errorf("with no room: %d %v after %s", a.Call.Status, a.Err, time.Since(began))
	}
	wg.Wait()
	if u := g.Spool().Usage(); u.Refused == 0 || u.Spilled == 0 {
		t.Errorf("usage: %+v", u)
	}
	var open []net.Conn
	for range 5 {
		nc, err := net.Dial("tcp", c.Target.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		open = append(open, nc)
	}
	// Connections of the requests above may still be closing and leave their place to
	// a later one of these, so any of them may be the one over the bound.
	rejected := 0
	for _, nc := range open {
		nc.SetReadDeadline(time.Now().Add(time.Second))
		if text, _ := io.ReadAll(nc); strings.HasPrefix(string(text), "HTTP/1.1 503 ") && strings.Contains(string(text), "Retry-After") {
			rejected++
		}
	}
	if rejected == 0 {
		t.Errorf("none of %d connections is over the bound of 4", len(open))
	}
}

// Idle and slow clients by the hundred hold little and hurt nobody.
func TestIdleAndSlowClients(t *testing.T) {
	const idle, slow = 2000, 200
	g, _, c := scripted(t, nil)
	body := random(200_000, 1)
	if a := c.Do(&clients.Request{Method: "PUT", Path: "/papers/k", Body: body}); a.Call.Status != 200 {
		t.Fatal(a.Call.Status, a.Err)
	}
	for range idle {
		nc, err := net.Dial("tcp", c.Target.Addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range slow { // half upload a byte at a time, half read so
		nc, err := net.Dial("tcp", c.Target.Addr)
		if err != nil {
			t.Fatal(err)
		}
		method, path, length := "GET", "/papers/k", 0
		if i%2 == 0 {
			method, path, length = "PUT", "/papers/slow", 100_000
		}
		fields := http1.Fields{{Name: "Host", Value: "h"}}
		added, _ := c.Target.Signer.Sign(&sigv4.Request{Method: method, Path: path, Fields: fields}, sigv4.UnsignedPayload, time.Now())
		head := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nContent-Length: %d\r\n", method, path, length)
		for _, f := range append(fields, added...) {
			head = http1.AppendField(head, f.Name, f.Value)
		}
		nc.Write(append(head, "\r\n"...))
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer nc.Close()
			tick := time.NewTicker(500 * time.Millisecond)
			defer tick.Stop()
			one := make([]byte, 1)
			for {
				select {
				case <-done:
					return
				case <-tick.C:
				}
				if length > 0 {
					nc.Write(one)
				} else {
					nc.Read(one)
				}
			}
		}()
	}
	served := 0
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); served++ {
		if a := c.Do(&clients.Request{Method: "GET", Path: "/papers/k", Want: body, Wait: time.Second}); a.Call.Status != 200 || a.Call.Wrong || !a.Call.Whole {
			t.Fatalf("live request %d: %+v, %v", served, a.Call, a.Err)
		}
	}
	if u := g.Spool().Usage(); u.Memory > slow*256<<10 {
		t.Errorf("slow clients hold %d bytes", u.Memory)
	}
	if n := g.S3Server().Stats().OpenConns; n < idle+slow {
		t.Errorf("%d connections are open, want %d", n, idle+slow)
	}
	if served < 20 {
		t.Errorf("%d live requests in 1.5 s", served)
	}
	close(done)
	wg.Wait()
}

// A gateway that stops between the parts and the complete leaves the object
// absent, and the upload can be completed by the next one.
func TestStopBetweenPartsAndManifest(t *testing.T) {
	data := t.TempDir()
	g := start(t, data, nil)
	c := client(t, g)
	if _, err := c.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: bucket}); err != nil {
		t.Fatal(err)
	}
	body := random(5<<20, 1)
	id := begin(t, c, "k")
	one, two := part(t, c, "k", id, 1, body), part(t, c, "k", id, 2, []byte("end"))
	stop(t, g)

	g = start(t, data, nil)
	defer stop(t, g)
	c = client(t, g)
	if _, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: bucket, Key: aws.String("k")}); code(err) != "NotFound" {
		t.Errorf("before the complete: %v", err)
	}
	if _, err := complete(c, "k", id, one, two); err != nil {
		t.Fatal(err)
	}
	if got := get(t, c, "k", ""); !bytes.Equal(got, append(body, "end"...)) {
		t.Errorf("%d bytes", len(got))
	}
}

// A stop while requests are out: they get their answers, then it ends.
func TestStopAnswersWhatWasTaken(t *testing.T) {
	site := bricks.New(t.TempDir(), 4*time.Second, bricks.Cold{})
	defer site.Close()
	b, err := site.Start("only", "zone-a", 0, "data", false)
	if err != nil {
		t.Fatal(err)
	}
	cfg := config.Default()
	cfg.Listen, cfg.Keys, cfg.Shards = "127.0.0.1:0", keys, 1
	cfg.Collections = []config.Collection{{Bucket: "papers", Plan: "basic"}}
	cfg.Bricks = []config.Brick{{Name: "only", Address: b.Entry("").Address, Zone: "zone-a"}}
	g, err := gateway.Start(gateway.Options{Config: cfg, DataDir: t.TempDir(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	hold := make(chan struct{})
	b.Play(bricks.Script{Fault: brickd.Fault{WaitFor: hold}, Writes: true})
	answers := make(chan clients.Answer, 8)
	for i := range 8 {
		c := raw(g)
		defer c.Close()
		go func() {
			answers <- c.Do(&clients.Request{Method: "PUT", Path: fmt.Sprint("/papers/", i), Body: []byte("x")})
		}()
	}
	for until := time.Now().Add(5 * time.Second); len(g.Host().Snapshot().Running) < 8 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.MaxStopDuration())
		defer cancel()
		g.Stop(ctx)
		close(stopped)
	}()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); { // it accepts nothing more
		nc, err := net.Dial("tcp", strings.TrimPrefix(g.Endpoint(), "http://"))
		if err != nil {
			break
		}
		nc.Close()
		time.Sleep(time.Millisecond)
	}
	close(hold)
	for range 8 {
		if a := <-answers; a.Call.Status != 200 {
			t.Errorf("taken before the stop: %d, %v", a.Call.Status, a.Err)
		}
	}
	<-stopped
}
