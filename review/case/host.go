//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// host is one host of the project as a process of its own.
type host struct {
	w      *world
	index  int
	name   string
	addr   string
	agent  *agent
	cmd    *exec.Cmd
	ended  chan struct{} // closed when the process has ended
	starts int
	log    *os.File
	pool   clientPool
}

func (w *world) newHost(index int) (*host, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	h := &host{w: w, index: index, name: fmt.Sprint("n", index), addr: addr}
	if h.agent, err = newAgent(w, h); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(w.file(h.name + ".log")); err != nil {
		return nil, err
	}
	return h, h.writeConfig()
}

// writeConfig writes the host's configuration file, whole at once.
func (h *host) writeConfig() error {
	known, err := json.Marshal(list{Index: h.agent.index, Snapshot: true, Endpoints: h.w.entries()})
	if err != nil {
		return err
	}
	h.starts++
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		h.name, h.addr, h.agent.addr(), 0x8c1f30d27a5be964+uint64(h.index)*1000+uint64(h.starts), known, h.w.opt.settings(h.index))
	path := h.w.file(h.name + ".json")
	if err := os.WriteFile(path+".next", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// start starts the host with the deploy file's command. The process ends with
// this one.
func (h *host) start() error {
	h.cmd = exec.Command("/bin/sh", "-c", h.w.run)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.Env = append(os.Environ(), "GW_NAME="+h.name, "GW_LISTEN="+h.addr, "GW_DISCOVERY="+h.agent.addr(), "GW_CONFIG="+h.w.file(h.name+".json"))
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), h.cmd
	h.ended = ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	h.w.rec.at(time.Now(), "host %s started", h.name)
	return nil
}

// awaitReady waits until GET /healthz is answered with 200.
func (h *host) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if h.isReady() {
			h.w.rec.at(time.Now(), "host %s is ready", h.name)
			return nil
		}
		if h.hasEnded() {
			break
		}
	}
	text, _ := os.ReadFile(h.log.Name())
	return fmt.Errorf("host %s is not ready: %s", h.name, text)
}

func (h *host) isReady() bool {
	nc, err := net.DialTimeout("tcp", h.addr, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(nc, "GET /healthz HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
	head := make([]byte, 12)
	n, _ := nc.Read(head)
	return strings.HasPrefix(string(head[:n]), "HTTP/1.1 200")
}

// signal sends a signal to the process and records it.
func (h *host) signal(s syscall.Signal) time.Time {
	h.cmd.Process.Signal(s)
	now := time.Now()
	h.w.rec.at(now, "host %s gets %s", h.name, s)
	return now
}

func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	if !h.hasEnded() {
		h.signal(syscall.SIGKILL)
	}
	<-h.ended
}
