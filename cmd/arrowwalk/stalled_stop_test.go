package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"arrowwalk/internal/control"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/standin/clients"
)

// awaitRunning waits until a gateway has a number of requests in progress.
func awaitRunning(ctx context.Context, t *testing.T, socket string, requests int) {
	t.Helper()
	c, err := control.Dial(socket)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for ctx.Err() == nil {
		r, err := c.Call(control.Request{Op: control.OpRunning})
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Running) == requests {
			return
		}
	}
	t.Fatalf("the gateway does not have %d requests in progress", requests)
}

// stalledServe is a gateway as a process, whose only brick accepts connections and
// never responds.
type stalledServe struct {
	t     *testing.T
	cmd   *exec.Cmd
	log   *bufio.Scanner
	ready ready
	dir   string
}

// stalledServeDeadline is the deadline of its requests.
const stalledServeDeadline = 2 * time.Second

func startStalledServe(ctx context.Context, t *testing.T) *stalledServe {
	t.Helper()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // in place of a brick: the kernel accepts connections, nobody responds
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	return startServeProcess(ctx, t, silent.Addr().String())
}

// startServeProcess starts a gateway as a process that knows one brick. Writes of one
// object run in order.
func startServeProcess(ctx context.Context, t *testing.T, brickAddr string) *stalledServe {
	t.Helper()
	s := &stalledServe{t: t, dir: t.TempDir()}
	class := fmt.Sprintf(`{"aim_ms":500,"deadline_ms":%d}`, stalledServeDeadline.Milliseconds())
	orderedClass := strings.TrimSuffix(class, "}") + `,"ordered":true}`
	settings := fmt.Sprintf(`{"listen":"127.0.0.1:0","shards":1,"keys":[{"access_key":"TEST","secret_key":"test-secret"}],
 "collections":[{"bucket":"papers","plan":"basic"}],"classes":{"read":%s,"write":%s},
 "bricks":[{"name":"b","address":%q,"zone":"zone-a","shard":0}]}`, class, orderedClass, brickAddr)
	path, readyFile := filepath.Join(s.dir, "settings.json"), filepath.Join(s.dir, "ready.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	s.cmd = command(ctx, "serve", "--config", path, "--data", s.dir, "--ready-file", readyFile)
	s.cmd.Env = append(s.cmd.Env, "GORACE=atexit_sleep_ms=0")
	stderr, err := s.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	s.log = bufio.NewScanner(stderr)
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitFile(ctx, t, readyFile, &s.ready)
	return s
}

func (s *stalledServe) client(number int) *clients.Client {
	return &clients.Client{Name: fmt.Sprint("held-", number), Log: &clients.Log{}, Target: &clients.Target{Addr: strings.TrimPrefix(s.ready.Endpoint, "http://"),
		Signer: sigv4.Signer{AccessKey: s.ready.Access, SecretKey: s.ready.Secret, Region: s.ready.Region}}}
}

func (s *stalledServe) signal(signal syscall.Signal) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(signal); err != nil {
		s.t.Fatal(err)
	}
}

// expectErrors waits for a number of answers that tell of a failure, and for the end
// of the process.
func (s *stalledServe) expectErrors(answers <-chan clients.Answer, number int) {
	s.t.Helper()
	for range number {
		if a := <-answers; a.Call.Status < 500 {
			s.t.Errorf("status %d, %v; want a response that tells of the failure", a.Call.Status, a.Err)
		}
	}
	for s.log.Scan() {
	}
	if err := s.cmd.Wait(); err != nil {
		s.t.Errorf("the gateway ended with %v", err)
	}
}

const stalledServeRequests = 64

// Guards against a gateway that was stalled through the time that its graceful stop
// may take, and closed the connections of the requests that it held without a
// response.
func TestServeAnswersAfterAStallInItsStop(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := startStalledServe(ctx, t)
	answers := make(chan clients.Answer, stalledServeRequests)
	for n := range stalledServeRequests {
		c := s.client(n)
		go func() {
			defer c.Close()
			answers <- c.Do(&clients.Request{Method: "GET", Path: fmt.Sprint("/papers/", n), Wait: 30 * time.Second})
		}()
	}
	awaitRunning(ctx, t, filepath.Join(s.dir, "control.sock"), stalledServeRequests)
	s.signal(syscall.SIGTERM)
	for s.log.Scan() && !strings.Contains(s.log.Text(), "msg=stopping") {
	}
	s.signal(syscall.SIGSTOP)
	<-time.After(stalledServeDeadline + 2500*time.Millisecond) // beyond the stop's bound
	s.signal(syscall.SIGCONT)
	s.expectErrors(answers, stalledServeRequests)
}

// Guards against a gateway that was told to stop in a stall, and closed kept and new
// connections on which requests had arrived in the stall without a response.
func TestServeAnswersWhatArrivedBeforeItsStop(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s := startStalledServe(ctx, t)
	answers := make(chan clients.Answer, stalledServeRequests)
	var sent sync.WaitGroup
	kept := make([]*clients.Client, stalledServeRequests/2)
	for n := range kept {
		kept[n] = s.client(n)
		if a := kept[n].Do(&clients.Request{Method: "HEAD", Path: "/papers"}); a.Call.Status != 200 {
			t.Fatalf("HEAD of the bucket: %d, %v", a.Call.Status, a.Err)
		}
	}
	s.signal(syscall.SIGSTOP)
	for n := range stalledServeRequests {
		c := s.client(n)
		if n < len(kept) {
			c = kept[n]
		}
		sent.Add(1)
		go func() {
			defer c.Close()
			answers <- c.Do(&clients.Request{Method: "GET", Path: fmt.Sprint("/papers/", n), Wait: 30 * time.Second, OnSent: sent.Done})
		}()
	}
	sent.Wait()
	s.signal(syscall.SIGTERM)
	s.signal(syscall.SIGCONT)
	s.expectErrors(answers, stalledServeRequests)
}
