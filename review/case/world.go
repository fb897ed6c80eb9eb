//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt. Times are
// milliseconds since the run began.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(file), file: file, start: time.Now()}, nil
}

// ms returns a time as milliseconds since the run began.
func (r *recorder) ms(t time.Time) float64 { return float64(t.Sub(r.start).Microseconds()) / 1000 }

// at writes one line for an event at time t.
func (r *recorder) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.3f  %s\n", r.ms(t), fmt.Sprintf(format, args...))
}

// say writes one line for an event of now, and shows it.
func (r *recorder) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.at(time.Now(), "%s", text)
	fmt.Println(text)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// world is a small deployment: hosts as processes, and stand-ins of bricks,
// agents and clients in this process.
type world struct {
	rec    *recorder
	dir    string // temporary files
	run    string // the deploy file's command for one host
	opt    siteOptions
	hosts  []*host
	bricks []*brick

	mu      sync.Mutex
	calls   map[string]*call  // by request id
	stored  map[string]string // by piece of data: the body of the last write that ran
	nextID  uint64
	clients sync.WaitGroup
}

// newWorld prepares a deployment; openHosts starts the hosts.
func newWorld(rec *recorder, opt siteOptions) (*world, error) {
	run, err := runCommand("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat("bin/arrowwalk"); err != nil {
		return nil, fmt.Errorf("the project is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "arrowwalk-review")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, run: run, opt: opt, calls: map[string]*call{}, stored: map[string]string{}}
	for group := range opt.groups {
		b, err := w.newBrick(group, 0)
		if err != nil {
			return nil, err
		}
		w.bricks = append(w.bricks, b)
	}
	return w, nil
}

// runCommand returns the value of run in the deploy file.
func runCommand(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if name, rest, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			if parts := strings.Split(rest, `"`); len(parts) >= 3 {
				return parts[1], nil
			}
		}
	}
	return "", fmt.Errorf("%s: no run command", path)
}

// openHosts starts all hosts and waits until they are ready.
func (w *world) openHosts() error {
	for i := range w.opt.hosts {
		h, err := w.newHost(i)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
		h.agent.close()
	}
	for _, b := range w.bricks {
		b.stop()
	}
	os.RemoveAll(w.dir)
}

// store records that a write has run.
func (w *world) store(piece, body string) {
	w.mu.Lock()
	w.stored[piece] = body
	w.mu.Unlock()
}

func (w *world) file(name string) string { return filepath.Join(w.dir, name) }

// entries returns the whole list of bricks as discovery has it.
func (w *world) entries() []endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []endpoint
	for _, b := range w.bricks {
		if b.status != "left" {
			list = append(list, b.entry())
		}
	}
	return list
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
