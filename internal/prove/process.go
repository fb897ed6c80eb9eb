package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"arrowwalk/internal/config"
	"arrowwalk/internal/front/s3/sigv4"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/rules"
	"arrowwalk/internal/standin/clients"
)

// process is a gateway in a process of its own.
type process struct {
	number int
	dir    string
	cfg    *config.Config
	exec   []string
	guard  string // a guard that is taken out
	log    io.Writer
	cmd    *exec.Cmd
	ended  chan error
	target *clients.Target

	mu     sync.Mutex
	away   []outage
	stills []rules.Still
}

// outage is a time in which requests to the gateway may get no answer.
type outage struct {
	from, to time.Time
}

// settle is for how long around a stop or start a request may be lost on its
// way: on a connection that was closed, or in a listener's queue.
const settle = 400 * time.Millisecond

// startProcess starts a gateway with cfg and waits until it serves. Its port
// is kept over later starts.
func startProcess(ctx context.Context, opt *Options, dir string, number int, cfg *config.Config, guard string) (*process, error) {
	p := &process{number: number, dir: filepath.Join(dir, fmt.Sprint("gateway-", number)), cfg: cfg, exec: opt.Exec, guard: guard, log: opt.Log}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, err
	}
	p.target = &clients.Target{Host: number, Stopping: p.stopping,
		Signer: sigv4.Signer{AccessKey: cfg.Keys[0].Access, SecretKey: cfg.Keys[0].Secret, Region: cfg.Region}}
	return p, p.start(ctx)
}

func (p *process) file(name string) string { return filepath.Join(p.dir, name) }

func (p *process) start(ctx context.Context) error {
	text, err := json.Marshal(p.cfg)
	if err != nil {
		return err
	}
	if err := gateway.WriteFileAtomic(p.file("settings.json"), text); err != nil {
		return err
	}
	os.Remove(p.file("ready.json"))
	args := append(p.exec[1:len(p.exec):len(p.exec)], "--log-level=warn", "serve", "--config", p.file("settings.json"),
		"--data", p.file("data"), "--ready-file", p.file("ready.json"), "--clock-file", p.file("clock"))
	if p.guard != "" {
		args = append(args, "--drop-guard", p.guard)
	}
	p.cmd = exec.Command(p.exec[0], args...)
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), "ARROWWALK_AS_COMMAND=1")
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("gateway %d: %w", p.number, err)
	}
	p.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan error) { ended <- cmd.Wait() }(p.cmd, p.ended)
	return p.awaitReady(ctx)
}

func (p *process) awaitReady(ctx context.Context) error {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		var ready struct {
			Endpoint string `json:"endpoint"`
		}
		if text, err := os.ReadFile(p.file("ready.json")); err == nil && json.Unmarshal(text, &ready) == nil {
			if p.target.Addr == "" { // later starts keep the port
				p.target.Addr = strings.TrimPrefix(ready.Endpoint, "http://")
				p.cfg.Listen = p.target.Addr
			}
			return nil
		}
		select {
		case <-tick.C:
		case err := <-p.ended:
			return fmt.Errorf("gateway %d ended before it served: %w", p.number, err)
		case <-ctx.Done():
			p.cmd.Process.Kill()
			return ctx.Err()
		}
	}
}

// jumpClock moves the gateway's wall clock.
func (p *process) jumpClock(by time.Duration) error {
	return os.WriteFile(p.file("clock"), fmt.Appendf(nil, "%d\n", int(by.Seconds())), 0o600)
}

func (p *process) begin() {
	p.mu.Lock()
	p.away = append(p.away, outage{from: time.Now()})
	p.mu.Unlock()
}

func (p *process) end() {
	p.mu.Lock()
	p.away[len(p.away)-1].to = time.Now()
	p.mu.Unlock()
}

// stopping tells whether a request at a time may have met a stop or start.
func (p *process) stopping(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.away {
		if at.After(o.from.Add(-settle)) && (o.to.IsZero() || at.Before(o.to.Add(settle))) {
			return true
		}
	}
	return false
}

// standStill stops the gateway's process where it is; goOn lets it go on.
func (p *process) standStill() error {
	p.mu.Lock()
	p.stills = append(p.stills, rules.Still{Host: p.number, From: time.Now().UnixMicro()})
	p.mu.Unlock()
	return p.cmd.Process.Signal(syscall.SIGSTOP)
}

func (p *process) goOn() {
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.stills); n > 0 && p.stills[n-1].To == 0 {
		p.stills[n-1].To = time.Now().UnixMicro()
	}
}

// stood returns when gateways stood still.
func stood(hosts []*process) []rules.Still {
	var all []rules.Still
	for _, p := range hosts {
		p.mu.Lock()
		all = append(all, p.stills...)
		p.mu.Unlock()
	}
	return all
}

// stop tells the gateway to stop and waits for it; it must exit with 0.
func (p *process) stop(within time.Duration) error {
	p.begin()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.ended:
		if err != nil {
			return fmt.Errorf("gateway %d: %w", p.number, err)
		}
		return nil
	case <-time.After(within):
		p.cmd.Process.Kill()
		<-p.ended
		return fmt.Errorf("gateway %d did not stop within %s", p.number, within)
	}
}

// kill ends the gateway outright.
func (p *process) kill() error {
	p.begin()
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	var exit *exec.ExitError
	if err := <-p.ended; err != nil && !errors.As(err, &exit) {
		return err
	}
	return nil
}

// restart starts a stopped gateway on its old port.
func (p *process) restart(ctx context.Context) error {
	err := p.start(ctx)
	p.end()
	return err
}
