//go:build review

// Package lib2 holds what the cases of the second review share: starting and
// ending the project's programs, a record of what was sent and answered, a
// client of the object API and a proxy that stands for the network between a
// gateway and a brick.
package lib2

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/http1"
)

// The main goroutine stays on the process's first thread, from which all programs are
// started: the system kills them if this process is killed (Pdeathsig).
func init() { runtime.LockOSThread() }

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case. Its record is record.txt in the case's folder.
type Case struct {
	Trouble bool   // false with TROUBLE=0
	Dir     string // temporary folder of the run
	Binary  string // bin/arrowwalk

	start  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Proc
	broken []string
}

// Open begins a case whose folder is dir, with the repository's root as working
// directory.
func Open(dir string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Binary: "bin/arrowwalk", start: time.Now()}
	var err error
	if c.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.Dir, err = os.MkdirTemp("", "arrowwalk-review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if _, err := os.Stat(c.Binary); err != nil {
		c.Cannot(err)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		c.Cannot(errors.New("the run was ended from outside"))
	}()
	c.Note("trouble: %v", c.Trouble)
	return c
}

// Note writes a line to the record and to standard output.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
	line = strings.ReplaceAll(line, c.Dir, "$TMP")
	io.WriteString(c.record, line)
	io.WriteString(os.Stdout, line)
}

// Break notes that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("BROKEN: %s", text)
	c.mu.Lock()
	c.broken = append(c.broken, text)
	c.mu.Unlock()
}

// Cannot ends a case that could not run.
func (c *Case) Cannot(err error) {
	c.Note("cannot run: %v", err)
	c.end(NotRun)
}

// Must ends the case as not run if err is not nil.
func (c *Case) Must(err error) {
	if err != nil {
		c.Cannot(err)
	}
}

// Finish ends the case with its verdict.
func (c *Case) Finish() {
	c.mu.Lock()
	n := len(c.broken)
	c.mu.Unlock()
	if n > 0 {
		c.Note("verdict: broken (%d)", n)
		c.end(Broken)
	}
	c.Note("verdict: held")
	c.end(Held)
}

func (c *Case) end(code int) {
	c.mu.Lock()
	procs := c.procs
	c.procs = nil
	c.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range procs {
		<-p.ended
	}
	c.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.Dir)
	} else {
		fmt.Println("kept:", c.Dir)
	}
	os.Exit(code)
}

// Proc is a program of the project in a process of its own.
type Proc struct {
	Name  string
	c     *Case
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts bin/arrowwalk with args. Its log goes to NAME.log.
func (c *Case) Start(name string, args ...string) *Proc {
	return c.StartEnv(name, nil, args...)
}

// StartEnv is Start with further environment variables.
func (c *Case) StartEnv(name string, env []string, args ...string) *Proc {
	return c.startProgram(c.Binary, name, env, args...)
}

// StartStandin is Start with the build of the stand-ins by review/build-2.sh.
func (c *Case) StartStandin(name string, args ...string) *Proc {
	return c.startProgram("bin/review-2/standin", name, nil, args...)
}

func (c *Case) startProgram(binary, name string, env []string, args ...string) *Proc {
	log, err := os.OpenFile(filepath.Join(c.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err)
	defer log.Close()
	p := &Proc{Name: name, c: c, cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Must(p.cmd.Start())
	go func() { p.cmd.Wait(); close(p.ended) }()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Note("started %s: arrowwalk %s", name, strings.Join(args, " "))
	return p
}

// Signal sends a signal.
func (p *Proc) Signal(s syscall.Signal) {
	p.c.Note("%s gets signal %q", p.Name, s.String())
	p.cmd.Process.Signal(s)
}

// Running reports whether the process has not ended.
func (p *Proc) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Await waits until the process has ended.
func (p *Proc) Await(most time.Duration) bool {
	select {
	case <-p.ended:
		p.c.Note("%s has ended", p.Name)
		return true
	case <-time.After(most):
		return false
	}
}

// File returns the path of a file in the case's temporary folder.
func (c *Case) File(name string) string { return filepath.Join(c.Dir, name) }

// WriteJSON writes a file under another name and renames it.
func (c *Case) WriteJSON(name string, v any) string {
	text, err := json.MarshalIndent(v, "", "  ")
	c.Must(err)
	c.Must(os.WriteFile(c.File(name+".new"), text, 0o600))
	c.Must(os.Rename(c.File(name+".new"), c.File(name)))
	return c.File(name)
}

// AwaitJSON waits for a ready file and decodes it.
func (c *Case) AwaitJSON(name string, v any) {
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(c.File(name))
		if err == nil && json.Unmarshal(text, v) == nil {
			return
		}
		if time.Now().After(until) {
			c.Cannot(fmt.Errorf("%s did not come: %v", name, err))
		}
	}
}

// Settings returns gateway settings with the given fields; the rest are the
// project's defaults.
func Settings(fields map[string]any) map[string]any {
	s := map[string]any{"listen": "127.0.0.1:0"}
	for k, v := range fields {
		s[k] = v
	}
	return s
}

// Run runs a command of the project to its end and returns its output.
func (c *Case) Run(most time.Duration, args ...string) (string, error) {
	cmd := exec.Command(c.Binary, args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return "", err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	var err error
	select {
	case err = <-done:
	case <-time.After(most):
		cmd.Process.Kill()
		err = errors.Join(<-done, errors.New("took too long"))
	}
	text := strings.TrimSpace(out.String())
	c.Note("arrowwalk %s: %v: %s", strings.Join(args, " "), err, strings.ReplaceAll(text, "\n", " | "))
	return text, err
}

// Gateway is a gateway with the object API.
type Gateway struct {
	*Proc
	Endpoint, Addr string
	Data           string
	signer         sigv4.Signer
	http           *http.Client
}

type ready struct {
	Endpoint string `json:"endpoint"`
	Access   string `json:"access_key"`
	Secret   string `json:"secret_key"`
	Region   string `json:"region"`
}

// Serve starts a gateway with settings and waits until it serves.
func (c *Case) Serve(name string, settings map[string]any) *Gateway {
	file := c.WriteJSON(name+".json", settings)
	os.Remove(c.File(name + ".ready"))
	p := c.Start(name, "serve", "--config", file, "--data", c.File(name+".data"), "--ready-file", c.File(name+".ready"))
	var r ready
	c.AwaitJSON(name+".ready", &r)
	g := &Gateway{Proc: p, Endpoint: r.Endpoint, Addr: strings.TrimPrefix(r.Endpoint, "http://"), Data: c.File(name + ".data"),
		signer: sigv4.Signer{AccessKey: r.Access, SecretKey: r.Secret, Region: r.Region},
		http:   &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32}}}
	c.Note("%s serves", name)
	return g
}

// Answer is the answer to a client's request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

func (a *Answer) String() string {
	if a.Err != nil {
		return "no answer: " + a.Err.Error()
	}
	text := fmt.Sprintf("%d, %d bytes", a.Status, len(a.Body))
	if a.Status >= 300 || len(a.Body) < 60 {
		text += fmt.Sprintf(" %.160q", a.Body)
	}
	return text
}

// Do sends a signed request and returns the answer.
func (g *Gateway) Do(method, path, query string, header map[string]string, body []byte, most time.Duration) *Answer {
	q, err := sigv4.ParseQuery(query, 64)
	if err != nil {
		return &Answer{Err: err}
	}
	signed := http1.Fields{{Name: "Host", Value: g.Addr}}
	for k, v := range header {
		signed = append(signed, http1.Field{Name: k, Value: v})
	}
	fields, _ := g.signer.Sign(&sigv4.Request{Method: method, Path: path, Query: q, Fields: signed}, sigv4.UnsignedPayload, time.Now())
	u := url.URL{Scheme: "http", Host: g.Addr, Path: path, RawQuery: query}
	req, err := http.NewRequest(method, u.String(), bytes.NewReader(body))
	if err != nil {
		return &Answer{Err: err}
	}
	for _, f := range fields {
		req.Header.Set(f.Name, f.Value)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := *g.http
	client.Timeout = most
	sent := time.Now()
	a := &Answer{}
	resp, err := client.Do(req)
	if err == nil {
		a.Status, a.Header = resp.StatusCode, resp.Header
		a.Body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a.Err = err
	name := path
	if query != "" {
		name += "?" + query
	}
	for k, v := range header {
		name += " " + k + ": " + v
	}
	g.c.Note("client: %s %s (%d bytes) through %s: %s after %.3f s", method, name, len(body), g.Name, a, time.Since(sent).Seconds())
	return a
}
