package console

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"os"
	"time"

	tea "charm.land/bubbletea/v2"

	"arrowwalk/internal/control"
	"arrowwalk/internal/control/drains"
)

// Run shows the console of the gateway behind a socket on a terminal until its
// user quits, the terminal goes or ctx ends. It connects again by itself.
func Run(ctx context.Context, socket string, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &model{socket: socket, state: State{LinkError: "connecting"}}
	p := tea.NewProgram(m, tea.WithContext(ctx), tea.WithInput(in), tea.WithOutput(out))
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow(ctx, socket, p.Send)
	}()
	_, err := p.Run()
	cancel()
	<-done
	if errors.Is(err, tea.ErrProgramKilled) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Messages of the program.
type (
	linkMsg    string            // what is wrong with the connection; "": nothing
	newsMsg    *control.Response // of the watch
	runningMsg []control.RunningRequest
	costMsg    struct {
		brick string
		cost  *drains.Cost
	}
	noteMsg string
)

// Waits between two tries to connect.
const (
	againFirst = 200 * time.Millisecond
	againMost  = 3 * time.Second
)

// follow watches the gateway, and connects again when it must.
func follow(ctx context.Context, socket string, send func(tea.Msg)) {
	after, wait := int64(0), againFirst
	host := ""
	for ctx.Err() == nil {
		c, err := control.Dial(socket)
		if err == nil {
			if c.Host != host { // another run of the gateway: its events begin anew
				host, after = c.Host, 0
			}
			send(linkMsg(""))
			wait = againFirst
			stop := context.AfterFunc(ctx, func() { c.Close() })
			after, err = watch(c, after, send)
			stop()
			c.Close()
		}
		if ctx.Err() != nil {
			return
		}
		send(linkMsg(err.Error()))
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		wait = min(2*wait, againMost)
	}
}

func watch(c *control.Client, after int64, send func(tea.Msg)) (int64, error) {
	if err := c.Watch(after); err != nil {
		return after, err
	}
	for {
		r, err := c.Next()
		if err != nil {
			return after, err
		}
		for _, e := range r.Events {
			after = e.Number
		}
		send(newsMsg(r))
	}
}

// model joins State to the terminal.
type model struct {
	socket string
	state  State
}

// Init does nothing: the first news comes by itself.
func (m *model) Init() tea.Cmd { return nil }

// View draws the state.
func (m *model) View() tea.View {
	v := tea.NewView(View(&m.state))
	v.AltScreen = true
	return v
}

// Update takes in a key or news.
func (m *model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	s := &m.state
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		s.Width, s.Height = msg.Width, msg.Height
	case tea.KeyPressMsg:
		return m, m.do(s.HandleKey(msg.String()))
	case linkMsg:
		s.LinkError = string(msg)
	case newsMsg:
		s.Update(msg)
		if s.Screen == Requests {
			return m, m.fetch()
		}
	case runningMsg:
		s.Running = msg
	case costMsg:
		if s.Confirmation != nil && s.Confirmation.Brick == msg.brick {
			s.Confirmation.Cost = msg.cost
		}
	case noteMsg:
		s.Note = string(msg)
	}
	return m, nil
}

func (m *model) do(d Action) tea.Cmd {
	switch {
	case d.Quit:
		return tea.Quit
	case d.FetchCost != "":
		return m.cost(d.FetchCost)
	case d.Order != nil:
		return m.order(*d.Order)
	case d.FetchRunning:
		return m.fetch()
	}
	return nil
}

// call makes one call on a connection of its own.
func (m *model) call(q control.Request) (*control.Response, error) {
	c, err := control.Dial(m.socket)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Call(q)
}

func (m *model) fetch() tea.Cmd {
	return func() tea.Msg {
		r, err := m.call(control.Request{Op: control.OpRunning})
		if err != nil {
			return noteMsg(err.Error())
		}
		return runningMsg(r.Running)
	}
}

func (m *model) cost(brick string) tea.Cmd {
	return func() tea.Msg {
		r, err := m.call(control.Request{Op: control.OpCost, Brick: brick})
		if err != nil {
			return noteMsg(err.Error())
		}
		return costMsg{brick, r.Cost}
	}
}

// orderTries is how often an order is sent whose answer did not come. Its id
// makes sure that it takes effect once.
const orderTries = 3

func (m *model) order(o drains.Order) tea.Cmd {
	var id [12]byte
	rand.Read(id[:])
	o.ID, o.Operator = hex.EncodeToString(id[:]), os.Getenv("USER")
	return func() tea.Msg {
		var err error
		for range orderTries {
			var r *control.Response
			if r, err = m.call(control.Request{Op: control.OpOrder, Order: o}); err == nil {
				text := o.Brick + " is " + string(r.Result.After.State)
				if r.Result.Note != "" {
					text += " (" + r.Result.Note + ")"
				}
				return noteMsg(text + ", in effect at " + time.UnixMicro(r.EffectiveAt).Format("15:04:05.000"))
			}
			var refused *control.Refusal
			if errors.As(err, &refused) {
				break
			}
		}
		return noteMsg("not done: " + err.Error())
	}
}
