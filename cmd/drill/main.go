// Command drill runs arrowwalk's decisions on the simulator's wire: batches
// of events on standard input, one reply for each on standard output.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"arrowwalk"
	"arrowwalk/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// turn is what one instance has to handle in a batch.
type turn struct {
	instance  string
	scheduler *arrowwalk.Scheduler
	events    []arrowwalk.Event
}

// fault is a failure of the decision code, told on the wire as the day's end.
type fault struct {
	instance string
	err      error
}

func (f *fault) Error() string { return f.instance + ": " + f.err.Error() }

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	instances := map[string]*arrowwalk.Scheduler{}
	var reply []byte
	for {
		batch, err := reader.ReadBatch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err = answer(reply[:0], batch, instances)
		failed, isFault := err.(*fault)
		if isFault {
			reply = wire.AppendFatal(reply[:0], failed.instance, failed.err.Error())
		} else if err != nil {
			return err
		}
		if _, err := out.Write(wire.AppendReady(reply)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if isFault {
			return failed
		}
	}
}

// answer lets each instance handle its events, in the order of their first.
func answer(reply []byte, batch *wire.Batch, instances map[string]*arrowwalk.Scheduler) ([]byte, error) {
	turns, err := gather(batch, instances)
	if err != nil {
		return reply, err
	}
	for _, t := range turns {
		actions, err := step(t, batch.Now)
		if err != nil {
			return reply, err
		}
		for _, a := range actions {
			if reply, err = wire.AppendAction(reply, t.instance, a); err != nil {
				return reply, err
			}
		}
	}
	return reply, nil
}

// gather opens and drops instances and sorts the batch's events by instance.
func gather(batch *wire.Batch, instances map[string]*arrowwalk.Scheduler) ([]*turn, error) {
	var turns []*turn
	open := map[string]*turn{}
	for _, it := range batch.Messages {
		switch {
		case it.Settings != nil:
			s, err := arrowwalk.New(*it.Settings)
			if err != nil {
				return nil, &fault{it.Instance, err}
			}
			instances[it.Instance] = s
			drop(open, it.Instance)
		case instances[it.Instance] == nil:
			return nil, fmt.Errorf("line %d: unknown instance %q", it.Line, it.Instance)
		case it.Stop:
			delete(instances, it.Instance)
			drop(open, it.Instance)
		case !it.Skip:
			t := open[it.Instance]
			if t == nil {
				t = &turn{instance: it.Instance, scheduler: instances[it.Instance]}
				open[it.Instance] = t
				turns = append(turns, t)
			}
			t.events = append(t.events, it.Event)
		}
	}
	return turns, nil
}

// drop voids what a killed or reopened instance still had to handle.
func drop(open map[string]*turn, instance string) {
	if t := open[instance]; t != nil {
		t.events = nil
		delete(open, instance)
	}
}

// step runs the decisions; a panic in them becomes a fault.
func step(t *turn, now arrowwalk.Micros) (actions []arrowwalk.Action, err error) {
	if len(t.events) == 0 {
		return nil, nil
	}
	defer func() {
		if p := recover(); p != nil {
			err = &fault{t.instance, fmt.Errorf("panic: %v\n%s", p, debug.Stack())}
		}
	}()
	return t.scheduler.Step(now, t.events...), nil
}
