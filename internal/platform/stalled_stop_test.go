package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"arrowwalk/internal/http1"
	standin "arrowwalk/internal/standin/platform"
)

// childHostEnv makes the test binary run a host with the configuration file that
// it names.
const childHostEnv = "ARROWWALK_TEST_HOST_CONFIG"

// runChildHost runs a host until SIGTERM, as the command does. It reports on
// standard output that it serves, and that the shutdown begins.
func runChildHost(configPath string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	text, err := os.ReadFile(configPath)
	if err != nil {
		return err
	}
	cfg, err := ParseConfig(text, emptyEnv)
	if err != nil {
		return err
	}
	inst, err := Start(cfg, slog.New(slog.DiscardHandler), DisabledGuards{})
	if err != nil {
		return err
	}
	fmt.Println("serving", inst.Addr())
	<-signals
	fmt.Println("stopping")
	inst.Stop(context.Background())
	return nil
}

// childHost is a host in a process of its own, which a test can stall.
type childHost struct {
	t    testing.TB
	cmd  *exec.Cmd
	out  *bufio.Scanner
	addr string
}

// childHostPatience is how long clients of a child host wait. It lies beyond its
// shutdown, which counts 3 s of it.
const childHostPatience = 20 * time.Second

// untilKill is how long after SIGTERM the platform does not kill the host.
const untilKill = 3*time.Second + 700*time.Millisecond

// startChildHost starts a host that knows one brick, which hangs, and has no agent.
func startChildHost(t *testing.T, log *standin.Log) *childHost {
	t.Helper()
	return startChildHostWithBrick(t, log, time.Minute)
}

// startChildHostWithBrick starts a host that knows one brick, which takes latency for a
// request, and has no agent. The replacements are made in its configuration.
func startChildHostWithBrick(t testing.TB, log *standin.Log, latency time.Duration, more ...string) *childHost {
	t.Helper()
	brick := &standin.Brick{Name: "only", Zone: "a"}
	if err := brick.Start(log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(brick.Stop)
	brick.Take(latency)
	known := fmt.Sprintf(`"endpoints":[{"name":%q,"address":%q,"zone":"a","group":0,"status":"active","since_ms":0}]`, brick.Name, brick.Addr())
	silent, err := net.Listen("tcp", "127.0.0.1:0") // in place of the agent
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	replacements := []string{`"endpoints":[]`, known, "127.0.0.1:2", silent.Addr().String(), "127.0.0.1:1", "127.0.0.1:0",
		`"aimUs":400000,"deadlineUs":2500000`, fmt.Sprintf(`"aimUs":15000000,"deadlineUs":%d`, childHostPatience.Microseconds())}
	path := t.TempDir() + "/config.json"
	if err := os.WriteFile(path, []byte(configText(append(replacements, more...)...)), 0o600); err != nil {
		t.Fatal(err)
	}
	h := &childHost{t: t, cmd: exec.Command(os.Args[0])}
	h.cmd.Env = append(os.Environ(), childHostEnv+"="+path, "GORACE=atexit_sleep_ms=0")
	h.cmd.Stderr = os.Stderr
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.cmd.Process.Kill() }) // without effect on a process that has ended
	h.out = bufio.NewScanner(out)
	h.addr = strings.TrimPrefix(h.line(), "serving ")
	return h
}

// line returns the next line that the process prints.
func (h *childHost) line() string {
	h.t.Helper()
	if !h.out.Scan() {
		h.t.Fatalf("the host ended: %v", h.out.Err())
	}
	return h.out.Text()
}

func (h *childHost) signal(s syscall.Signal) {
	h.t.Helper()
	if err := h.cmd.Process.Signal(s); err != nil {
		h.t.Fatal(err)
	}
}

// openIdle returns a connection between requests.
func (h *childHost) openIdle() net.Conn {
	h.t.Helper()
	nc, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	fmt.Fprint(nc, "GET /healthz HTTP/1.1\r\nHost: s\r\n\r\n")
	var head http1.Response
	in := bufio.NewReader(nc)
	if err := http1.NewReader(in, http1.DefaultLimits).ReadResponse(&head, "GET"); err != nil || head.Status != 200 {
		h.t.Fatalf("health check: %d, %v", head.Status, err)
	}
	if _, err := in.Discard(int(head.Framing.Length)); err != nil {
		h.t.Fatal(err)
	}
	return nc
}

// Guards against a host that was stalled near the end of a planned restart and
// closed the connections of the requests that it held without a response.
func TestStopAnswersAfterAStall(t *testing.T) {
	log := standin.NewLog()
	h := startChildHost(t, log)

	const clients = 8 // more than the brick is sent at once
	answers := make(chan int, clients)
	for n := range clients {
		c := &standin.Client{Name: fmt.Sprintf("held%d-", n), Addr: func() string { return h.addr }, Log: log}
		go func() {
			defer c.Close()
			answers <- c.Do(&standin.Request{Class: "fetch-text", Volume: 7, Piece: uint64(n), Plan: "basic", Units: 1, Hosts: 1, Wait: childHostPatience})
		}()
	}
	for !log.HasArrived("held") {
		time.Sleep(time.Millisecond)
	}
	idle := h.openIdle()
	defer idle.Close()
	h.signal(syscall.SIGTERM)
	if got := h.line(); got != "stopping" {
		t.Fatalf("%q, want stopping", got)
	}
	beyondExit := time.After(untilKill)
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF { // 0.15 s before the last responses
		t.Fatalf("the idle connection ended with %v, want a close", err)
	}
	h.signal(syscall.SIGSTOP)
	<-beyondExit
	h.signal(syscall.SIGCONT)
	for range clients {
		if status := <-answers; status < 400 { // 0: no response
			t.Errorf("status %d, want a refusal or a failure", status)
		}
	}
	if err := h.cmd.Wait(); err != nil {
		t.Errorf("the host ended with %v", err)
	}
}

// Guards against a host that counted a planned restart from the end of a stall in
// which the signal came, and held requests beyond the time at which it may be
// killed.
func TestStopCountsFromTheStartOfAStall(t *testing.T) {
	log := standin.NewLog()
	h := startChildHost(t, log)
	answer := make(chan int, 1)
	go func() {
		c := &standin.Client{Name: "held-", Addr: func() string { return h.addr }, Log: log}
		defer c.Close()
		answer <- c.Do(&standin.Request{Class: "fetch-text", Volume: 7, Piece: 1, Plan: "basic", Units: 1, Hosts: 1, Wait: childHostPatience})
	}()
	for !log.HasArrived("held") {
		time.Sleep(time.Millisecond)
	}
	h.signal(syscall.SIGSTOP)
	beyondKill := time.After(untilKill)
	h.signal(syscall.SIGTERM)
	<-beyondKill
	h.signal(syscall.SIGCONT)
	resumed := time.Now()
	if status := <-answer; status < 400 { // 0: no response
		t.Errorf("status %d, want a refusal or a failure", status)
	}
	if took := time.Since(resumed); took > untilKill/2 { // the host had its whole time before
		t.Errorf("the response came %s after the stall, want it at once", took)
	}
	if got := h.line(); got != "stopping" {
		t.Errorf("%q, want stopping", got)
	}
	if err := h.cmd.Wait(); err != nil {
		t.Errorf("the host ended with %v", err)
	}
}
