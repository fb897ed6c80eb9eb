package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/placement"
	"arrowwalk/internal/standin/clients"
	"arrowwalk/internal/store/filestore"
)

// command returns a run of arrowwalk as a process.
func command(ctx context.Context, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, os.Args[0], args...)
	c.Env = append(os.Environ(), "ARROWWALK_AS_COMMAND=1")
	return c
}

// awaitFile waits for a ready file and reads it.
func awaitFile(ctx context.Context, t *testing.T, path string, into any) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		if text, err := os.ReadFile(path); err == nil && json.Unmarshal(text, into) == nil {
			if st, err := os.Stat(path); err != nil || st.Mode().Perm() != 0o600 {
				t.Errorf("%s: mode %v, %v", path, st.Mode(), err)
			}
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			t.Fatalf("%s was not written", path)
		}
	}
}

func end(t *testing.T, c *exec.Cmd) {
	t.Helper()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("%v: %v", c.Args[1:], err)
	}
}

// A brick as a process, a gateway as another, and the gateway's embedded
// default: each serves, tells where, and exits with 0 at SIGTERM.
func TestServeAndBrick(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	brick := command(ctx, "brick", "--name", "b", "--data", at("brick"), "--ready-file", at("brick.json"))
	if err := brick.Start(); err != nil {
		t.Fatal(err)
	}
	defer end(t, brick)
	var b struct{ Address string }
	awaitFile(ctx, t, at("brick.json"), &b)
	settings := fmt.Sprintf(`{"shards":1,"bricks":[{"name":"b","address":%q,"zone":"zone-a","shard":0}]}`, b.Address)
	if err := os.WriteFile(at("settings.json"), []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	for i, args := range [][]string{{"--config", at("settings.json"), "--listen", "127.0.0.1:0"}, {"--listen", "127.0.0.1:0"}} {
		file := at(fmt.Sprint("ready-", i))
		serve := command(ctx, append([]string{"serve", "--data", at(fmt.Sprint("data-", i)), "--ready-file", file}, args...)...)
		var log bytes.Buffer
		serve.Stderr = &log
		if err := serve.Start(); err != nil {
			t.Fatal(err)
		}
		var r ready
		awaitFile(ctx, t, file, &r)
		c := &clients.Client{Name: "test", Log: &clients.Log{}, Target: &clients.Target{Addr: strings.TrimPrefix(r.Endpoint, "http://"),
			Signer: sigv4.Signer{AccessKey: r.Access, SecretKey: r.Secret, Region: r.Region}}}
		for _, q := range []clients.Request{{Method: "PUT", Path: "/papers"}, {Method: "PUT", Path: "/papers/k", Body: []byte("body")},
			{Method: "GET", Path: "/papers/k", Want: []byte("body")}} {
			if a := c.Do(&q); a.Call.Status != 200 || a.Call.Wrong {
				t.Errorf("%s %s: %d %v %s", q.Method, q.Path, a.Call.Status, a.Err, a.Body)
			}
		}
		c.Close()
		if r.PID != serve.Process.Pid {
			t.Errorf("pid %d, want %d", r.PID, serve.Process.Pid)
		}
		end(t, serve)
		if strings.Contains(log.String(), r.Secret) {
			t.Error("the secret is in the log")
		}
	}
}

// Bad settings are refused by path before any socket opens.
func TestBadSettings(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, []byte(`{"plans":[{"name":"basic","rate":-1,"reserve":0,"weight":1,"worth_factor":1}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"config", "check", file}, {"serve", "--config", file, "--data", filepath.Join(dir, "data")}} {
		out, err := command(ctx, args...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), "plans[0].rate: -1:") {
			t.Errorf("%v: %v, %s", args, err, out)
		}
	}
	if _, err := os.Stat(filepath.Join(dir, "data")); err == nil {
		t.Error("bad settings made a data directory")
	}
	if out, err := command(ctx, "prove", "no-such-proof").CombinedOutput(); err == nil || !strings.Contains(string(out), "no-such-proof") {
		t.Errorf("unknown proof: %v, %s", err, out)
	}
}

// An appliance starts without questions, goes on without a brick whose
// directory is none, names it, keeps what it acknowledged when it is killed,
// and takes orders from the command line that outlive it.
func TestAppliance(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	dir := t.TempDir()
	data, file := filepath.Join(dir, "d"), filepath.Join(dir, "ready.json")
	if err := os.MkdirAll(filepath.Join(data, "bricks"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(data, "bricks", "brick-3"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	start := func() (*exec.Cmd, *bytes.Buffer, *clients.Client) {
		os.Remove(file)
		c, out := command(ctx, "appliance", "--listen", "127.0.0.1:0", "--data", data, "--ready-file", file), &bytes.Buffer{}
		c.Stdout = out
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		var r ready
		awaitFile(ctx, t, file, &r)
		return c, out, &clients.Client{Name: "test", Log: &clients.Log{}, Target: &clients.Target{Addr: strings.TrimPrefix(r.Endpoint, "http://"),
			Signer: sigv4.Signer{AccessKey: r.Access, SecretKey: r.Secret, Region: r.Region}}}
	}
	run := func(args ...string) string {
		out, err := command(ctx, append(args, "--socket", filepath.Join(data, "control.sock"))...).CombinedOutput()
		if err != nil {
			return "error: " + string(out)
		}
		return string(out)
	}
	slots, err := placement.NewEven(6)
	if err != nil {
		t.Fatal(err)
	}
	bucket := "papers" // its record must not be at the brick that is out
	for slots.Shard(bucket) == 2 {
		bucket += "x"
	}
	first, _, c := start()
	stored := map[string]bool{}
	for i := range 30 {
		key := fmt.Sprintf("/%s/%d", bucket, i)
		if i == 0 {
			c.Do(&clients.Request{Method: "PUT", Path: "/" + bucket})
		}
		if a := c.Do(&clients.Request{Method: "PUT", Path: key, Body: []byte(key), Wait: 300 * time.Millisecond}); a.Call.Status == 200 {
			stored[key] = true
		}
	}
	if len(stored) < 10 || len(stored) == 30 {
		t.Errorf("%d of 30 objects stored with one of six bricks out", len(stored))
	}
	if out := run("drain", "brick-1"); !strings.Contains(out, "could not be reached") || !strings.Contains(out, "error") {
		t.Errorf("drain without force: %s", out)
	}
	if out := run("drain", "brick-1", "--force", "--wait"); !strings.Contains(out, "brick-1 is draining by hand") || !strings.Contains(out, "brick-1 is idle") {
		t.Errorf("drain: %s", out)
	}
	first.Process.Kill()
	first.Wait()
	c.Close()

	second, _, c := start()
	defer c.Close()
	if out := run("status"); !strings.Contains(out, "draining") {
		t.Errorf("status after a kill: %s", out)
	}
	if out := run("events"); !strings.Contains(out, "brick-3 takes no part") {
		t.Errorf("events: %s", out)
	}
	if out := run("undrain", "brick-1"); !strings.Contains(out, "brick-1 is ready") {
		t.Errorf("undrain: %s", out)
	}
	for key := range stored {
		if a := c.Do(&clients.Request{Method: "GET", Path: key, Want: []byte(key)}); a.Call.Status != 200 || a.Call.Wrong {
			t.Errorf("%s after a kill: %d", key, a.Call.Status)
		}
	}
	end(t, second)
}

// A directory of the old form is refused, migrated, checked, exported and taken
// up elsewhere; a bit that changes on the disk is named.
func TestStoreCommands(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	at := t.TempDir()
	dir, other, file := filepath.Join(at, "brick"), filepath.Join(at, "other"), filepath.Join(at, "export")
	old, err := filestore.Open(dir, filestore.Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 50 {
		body := strings.Repeat("body ", 10+i)
		if _, _, err := old.Put(ctx, "o", filestore.Info{Name: fmt.Sprint("k", i), Size: int64(len(body))}, strings.NewReader(body), filestore.Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	old.Close()
	run := func(want string, good bool, args ...string) {
		t.Helper()
		out, err := command(ctx, append([]string{"store"}, args...)...).CombinedOutput()
		if (err == nil) != good || !strings.Contains(string(out), want) {
			t.Errorf("store %v: %v\n%s", args, err, out)
		}
	}
	run("arrowwalk store migrate", false, "check", dir)
	run("50 blobs", true, "migrate", dir)
	run("50 blobs of", true, "check", dir)
	run(`"name":"k7"`, true, "dump", dir)
	run("50 blobs", true, "export", dir, file)
	run("file exists", false, "export", dir, file)
	run("50 blobs stored", true, "import", other, file)
	run("0 blobs stored, 50 left", true, "import", other, file)
	run("bytes freed", true, "compact", other)
	run("50 blobs of", true, "check", other)
	run("not a brick's directory", false, "check", at)
	segment := filepath.Join(other, "log", "00000001")
	text, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	text[640] ^= 1 // in the first record
	if err := os.WriteFile(segment, text, 0o600); err != nil {
		t.Fatal(err)
	}
	run("log/00000001 at", false, "check", other)
}
