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

// Run shows the console of the gateway behind a socket on a terminal, until the user
// quits, the terminal is closed or ctx is done. It reconnects after a lost connection.
func Run(ctx context.Context, socket string, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &model{socket: socket, state: State{LinkError: "connecting"}}
	program := tea.NewProgram(m, tea.WithContext(ctx), tea.WithInput(in), tea.WithOutput(out))
	done := make(chan struct{})
	go func() {
		defer close(done)
		follow(ctx, socket, program.Send)
	}()
	_, err := program.Run()
	cancel()
	<-done
	if errors.Is(err, tea.ErrProgramKilled) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Messages of the bubbletea program.
type (
	linkMsg    string            // error of the connection; "" while connected
	updateMsg  *control.Response // from the watch
	runningMsg []control.RunningRequest
	costMsg    struct {
		brick string
		cost  *drains.Cost
	}
	noteMsg string
)

// Bounds of the delay between attempts to connect.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// follow watches the gateway and reconnects until ctx is done.
func follow(ctx context.Context, socket string, send func(tea.Msg)) {
	after, delay := int64(0), minRetryDelay
	host := ""
	for ctx.Err() == nil {
		c, err := control.Dial(socket)
		if err == nil {
			if c.Host != host { // another run of the gateway numbers its events from 1
				host, after = c.Host, 0
			}
			send(linkMsg(""))
			delay = minRetryDelay
			stop := context.AfterFunc(ctx, func() { c.Close() })
			after, err = watch(c, after, send)
			stop()
			c.Close()
		}
		if ctx.Err() != nil {
			return
		}
		send(linkMsg(err.Error()))
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// watch sends updates until the connection fails. It returns the number of the last
// event and the error.
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
		send(updateMsg(r))
	}
}

// model connects a State to bubbletea.
type model struct {
	socket string
	state  State
}

// Init returns no command, since follow sends the first update.
func (m *model) Init() tea.Cmd { return nil }

// View renders the state.
func (m *model) View() tea.View {
	v := tea.NewView(View(&m.state))
	v.AltScreen = true
	return v
}

// Update handles a key or a message.
func (m *model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	s := &m.state
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		s.Width, s.Height = msg.Width, msg.Height
	case tea.KeyPressMsg:
		return m, m.perform(s.HandleKey(msg.String()))
	case linkMsg:
		s.LinkError = string(msg)
	case updateMsg:
		s.Update(msg)
		if s.Screen == Requests {
			return m, m.fetchRunning()
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

// perform returns the command for an action.
func (m *model) perform(action Action) tea.Cmd {
	switch {
	case action.Quit:
		return tea.Quit
	case action.FetchCost != "":
		return m.fetchCost(action.FetchCost)
	case action.Order != nil:
		return m.submitOrder(*action.Order)
	case action.FetchRunning:
		return m.fetchRunning()
	}
	return nil
}

// call sends one request on a new connection.
func (m *model) call(request control.Request) (*control.Response, error) {
	c, err := control.Dial(m.socket)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	return c.Call(request)
}

func (m *model) fetchRunning() tea.Cmd {
	return func() tea.Msg {
		r, err := m.call(control.Request{Op: control.OpRunning})
		if err != nil {
			return noteMsg(err.Error())
		}
		return runningMsg(r.Running)
	}
}

func (m *model) fetchCost(brick string) tea.Cmd {
	return func() tea.Msg {
		r, err := m.call(control.Request{Op: control.OpCost, Brick: brick})
		if err != nil {
			return noteMsg(err.Error())
		}
		return costMsg{brick, r.Cost}
	}
}

// maxOrderAttempts bounds the attempts to send an order that got no answer. Its ID
// ensures that it takes effect only once.
const maxOrderAttempts = 3

func (m *model) submitOrder(o drains.Order) tea.Cmd {
	var id [12]byte
	rand.Read(id[:])
	o.ID, o.Operator = hex.EncodeToString(id[:]), os.Getenv("USER")
	return func() tea.Msg {
		var err error
		for range maxOrderAttempts {
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
