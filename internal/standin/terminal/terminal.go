// Package terminal is an operator at a terminal for proofs: a pseudo-terminal
// with a program on it, keys that are typed and a screen that is read.
package terminal

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/x/vt"
	"github.com/creack/pty"
)

// Terminal is a program on a pseudo-terminal.
type Terminal struct {
	cmd    *exec.Cmd
	master *os.File
	mu     sync.Mutex // of the screen, but for reading its answers
	screen *vt.Emulator
	ended  chan struct{}
	pumps  sync.WaitGroup
	width  int
	height int
	once   sync.Once
}

// Start runs a program on a terminal of a size.
func Start(cmd *exec.Cmd, width, height int) (*Terminal, error) {
	master, err := pty.StartWithSize(cmd, &pty.Winsize{Cols: uint16(width), Rows: uint16(height)})
	if err != nil {
		return nil, fmt.Errorf("terminal: %w", err)
	}
	t := &Terminal{cmd: cmd, master: master, screen: vt.NewEmulator(width, height), ended: make(chan struct{}), width: width, height: height}
	t.pumps.Add(2)
	go func() { // what the program writes
		defer t.pumps.Done()
		io.Copy(lockedScreen{t}, master)
	}()
	go func() { // what the terminal answers to the program's questions
		defer t.pumps.Done()
		io.Copy(master, t.screen)
	}()
	go func() {
		cmd.Wait()
		close(t.ended)
	}()
	return t, nil
}

// lockedScreen writes to the screen while nobody reads it.
type lockedScreen struct{ t *Terminal }

// Write draws what a program wrote.
func (l lockedScreen) Write(p []byte) (int, error) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.t.screen.Write(p)
}

// Type types keys.
func (t *Terminal) Type(keys string) error {
	_, err := io.WriteString(t.master, keys)
	return err
}

// Stop stops the program where it stands, or lets it go on: it reads nothing
// meanwhile, and its terminal fills up.
func (t *Terminal) Stop(stopped bool) error {
	if stopped {
		return t.cmd.Process.Signal(syscall.SIGSTOP)
	}
	return t.cmd.Process.Signal(syscall.SIGCONT)
}

// Resize gives the terminal another size.
func (t *Terminal) Resize(width, height int) error {
	t.mu.Lock()
	t.width, t.height = width, height
	t.screen.Resize(width, height)
	t.mu.Unlock()
	return pty.Setsize(t.master, &pty.Winsize{Cols: uint16(width), Rows: uint16(height)})
}

// Screen returns the text on the screen, a line a row.
func (t *Terminal) Screen() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	for y := range t.height {
		line := ""
		for x := range t.width {
			if c := t.screen.CellAt(x, y); c != nil && c.Content != "" {
				line += c.Content
			} else {
				line += " "
			}
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return b.String()
}

// Await waits until the screen holds all of the texts; the error tells what it
// showed instead.
func (t *Terminal) Await(within time.Duration, texts ...string) error {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	until := time.After(within)
	for {
		screen := t.Screen()
		missing := ""
		for _, text := range texts {
			if !strings.Contains(screen, text) {
				missing = text
			}
		}
		if missing == "" {
			return nil
		}
		select {
		case <-tick.C:
		case <-t.ended:
			return fmt.Errorf("the program ended before it showed %q", missing)
		case <-until:
			return fmt.Errorf("never showed %q, but:\n%s", missing, screen)
		}
	}
}

// HangUp closes the terminal under the program, as a lost connection does: the
// kernel sends it SIGHUP. It waits for its end, or kills it after within.
func (t *Terminal) HangUp(within time.Duration) (ended bool) {
	t.once.Do(func() { t.master.Close() })
	select {
	case <-t.ended:
		ended = true
	case <-time.After(within):
		t.cmd.Process.Kill()
		<-t.ended
	}
	if answers, ok := t.screen.InputPipe().(io.Closer); ok { // ends the reading of its answers
		answers.Close()
	}
	t.pumps.Wait()
	return ended
}

// Keys types keys and waits for texts in turn: key, text, key, text.
func (t *Terminal) Keys(within time.Duration, turns ...string) error {
	for i := 0; i+1 < len(turns); i += 2 {
		if err := t.Type(turns[i]); err != nil {
			return err
		}
		if err := t.Await(within, turns[i+1]); err != nil {
			return fmt.Errorf("after %q: %w", turns[i], err)
		}
	}
	return nil
}
