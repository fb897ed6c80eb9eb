package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"arrowwalk/internal/config"
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

// Guards against a gateway that was stalled through the time that its graceful stop
// may take, and closed the connections of the requests that it held without a
// response.
func TestServeAnswersAfterAStallInItsStop(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // in place of a brick: the kernel accepts connections, nobody responds
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	dir := t.TempDir()
	const deadline = 2 * time.Second
	class := fmt.Sprintf(`{"aim_ms":500,"deadline_ms":%d}`, deadline.Milliseconds())
	settings := fmt.Sprintf(`{"listen":"127.0.0.1:0","shards":1,"keys":[{"access_key":"TEST","secret_key":"test-secret"}],
 "collections":[{"bucket":"papers","plan":"basic"}],"classes":{"read":%s,"write":%s},
 "bricks":[{"name":"b","address":%q,"zone":"zone-a","shard":0}]}`, class, class, silent.Addr())
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	readyFile := filepath.Join(dir, "ready.json")
	serve := command(ctx, "serve", "--config", path, "--data", dir, "--ready-file", readyFile)
	serve.Env = append(serve.Env, "GORACE=atexit_sleep_ms=0")
	stderr, err := serve.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := serve.Start(); err != nil {
		t.Fatal(err)
	}
	var r ready
	awaitFile(ctx, t, readyFile, &r)

	const requests = 64
	answers := make(chan clients.Answer, requests)
	for n := range requests {
		c := &clients.Client{Name: fmt.Sprint("held-", n), Log: &clients.Log{}, Target: &clients.Target{Addr: strings.TrimPrefix(r.Endpoint, "http://"),
			Signer: sigv4.Signer{AccessKey: r.Access, SecretKey: r.Secret, Region: r.Region}}}
		go func() {
			defer c.Close()
			answers <- c.Do(&clients.Request{Method: "GET", Path: fmt.Sprint("/papers/", n), Wait: 30 * time.Second})
		}()
	}
	awaitRunning(ctx, t, filepath.Join(dir, "control.sock"), requests)
	if err := serve.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	log := bufio.NewScanner(stderr)
	for log.Scan() && !strings.Contains(log.Text(), "msg=stopping") {
	}
	serve.Process.Signal(syscall.SIGSTOP)
	<-time.After(config.MS(cfg.Classes.Read.DeadlineMS) + 2500*time.Millisecond)
	serve.Process.Signal(syscall.SIGCONT)
	for range requests {
		if a := <-answers; a.Call.Status < 500 {
			t.Errorf("status %d, %v; want a response that tells of the failure", a.Call.Status, a.Err)
		}
	}
	for log.Scan() {
	}
	if err := serve.Wait(); err != nil {
		t.Errorf("the gateway ended with %v", err)
	}
}
