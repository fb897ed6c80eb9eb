package main

import (
	"context"
	"encoding/json"
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

	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/standin/coord"
)

// stalledSite is a gateway and bricks as processes, which know each other through a
// stand-in of the coordination service.
type stalledSite struct {
	t     *testing.T
	ctx   context.Context
	coord *coord.Server
	dir   string
	ready ready
}

// siteSession is the timeout of its sessions.
const siteSession = time.Second

func (s *stalledSite) start(args ...string) *exec.Cmd {
	s.t.Helper()
	cmd := command(s.ctx, args...)
	cmd.Env = append(cmd.Env, "GORACE=atexit_sleep_ms=0")
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	return cmd
}

func (s *stalledSite) startBrick(name string) *exec.Cmd {
	s.t.Helper()
	readyFile := filepath.Join(s.dir, name+".ready")
	cmd := s.start("brick", "--name", name, "--data", filepath.Join(s.dir, name), "--coord", s.coord.Addr(), "--session", siteSession.String(), "--ready-file", readyFile)
	awaitFile(s.ctx, s.t, readyFile, &struct{}{})
	return cmd
}

func (s *stalledSite) startGateway() *exec.Cmd {
	s.t.Helper()
	settings, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:0", "shards": 1, "zones": []string{"zone-a"}, "bricks": []any{},
		"keys":        []any{map[string]string{"access_key": "TEST", "secret_key": "test-secret"}},
		"collections": []any{map[string]string{"bucket": "papers", "plan": "basic"}},
		"discovery":   map[string]any{"servers": []string{s.coord.Addr()}, "root": "/arrowwalk/bricks", "session_ms": siteSession.Milliseconds()},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	path, readyFile := filepath.Join(s.dir, "settings.json"), filepath.Join(s.dir, "gateway.ready")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := s.start("serve", "--config", path, "--data", filepath.Join(s.dir, "gateway"), "--ready-file", readyFile)
	awaitFile(s.ctx, s.t, readyFile, &s.ready)
	return cmd
}

// do sends a request on a connection of its own.
func (s *stalledSite) do(method, path string, sent func()) clients.Answer {
	c := &clients.Client{Name: path, Log: &clients.Log{}, Target: &clients.Target{Addr: strings.TrimPrefix(s.ready.Endpoint, "http://"),
		Signer: sigv4.Signer{AccessKey: s.ready.Access, SecretKey: s.ready.Secret, Region: s.ready.Region}}}
	defer c.Close()
	request := &clients.Request{Method: method, Path: path, Wait: 10 * time.Second, OnSent: sent}
	if method == "PUT" {
		request.Body = []byte(path)
	}
	return c.Do(request)
}

// doUntil repeats a request until it has one of the statuses.
func (s *stalledSite) doUntil(method, path string, statuses ...int) int {
	s.t.Helper()
	for s.ctx.Err() == nil {
		got := s.do(method, path, nil).Call.Status
		for _, status := range statuses {
			if got == status {
				return got
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	s.t.Fatalf("%s %s has none of the statuses %v", method, path, statuses)
	return 0
}

// Guards against accepted data that is lost after a stall of a machine with a gateway and
// a brick that outlasts their sessions: the gateway sent new writes to the brick, which
// took them, although another brick had taken its place.
func TestWritesAfterALongStallAreNotLost(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stalledSite{t: t, ctx: ctx, dir: t.TempDir(), coord: coord.Start(listener)}
	defer s.coord.Close()
	first := s.startBrick("box-1")
	gateway := s.startGateway()
	s.doUntil("PUT", "/papers/before", 200)
	for _, process := range []*exec.Cmd{gateway, first} {
		if err := process.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
	}
	<-time.After(2 * siteSession) // its session ends
	s.startBrick("box-2")
	const writers = 8
	var sent, done sync.WaitGroup
	accepted := make([]bool, writers)
	for i := range writers {
		sent.Add(1)
		done.Go(func() {
			accepted[i] = s.do("PUT", fmt.Sprint("/papers/", i), sent.Done).Call.Status == 200
		})
	}
	sent.Wait()
	for _, process := range []*exec.Cmd{first, gateway} {
		if err := process.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
	}
	done.Wait()
	s.doUntil("PUT", "/papers/after", 200) // it serves again
	s.doUntil("GET", "/papers/before", 404)
	for i := range writers {
		if path := fmt.Sprint("/papers/", i); accepted[i] && s.doUntil("GET", path, 200, 404) != 200 {
			t.Errorf("%s was accepted and is lost", path)
		}
	}
}
