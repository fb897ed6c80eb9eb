// Command drill runs arrowwalk schedulers for a simulator. It reads batches of
// events from standard input and writes a reply to each to standard output, in
// the line protocol of package wire.
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

// pendingEvents holds the events of one instance in a batch.
type pendingEvents struct {
	instance  string
	scheduler *arrowwalk.Scheduler
	events    []arrowwalk.Event
}

// instanceError is a failure of one instance's scheduler. It is reported to the
// simulator with a FATAL line and ends the program.
type instanceError struct {
	instance string
	err      error
}

func (e *instanceError) Error() string { return e.instance + ": " + e.err.Error() }

// run processes batches until the input ends or an error occurs.
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
		reply, err = processBatch(reply[:0], batch, instances)
		instanceErr, isInstanceError := err.(*instanceError)
		if isInstanceError {
			reply = wire.AppendFatal(reply[:0], instanceErr.instance, instanceErr.err.Error())
		} else if err != nil {
			return err
		}
		if _, err := out.Write(wire.AppendReady(reply)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if isInstanceError {
			return instanceErr
		}
	}
}

// processBatch appends the actions of all instances with events in the batch to
// reply, in the order of each instance's first event.
func processBatch(reply []byte, batch *wire.Batch, instances map[string]*arrowwalk.Scheduler) ([]byte, error) {
	pending, err := groupByInstance(batch, instances)
	if err != nil {
		return reply, err
	}
	for _, p := range pending {
		actions, err := step(p, batch.Now)
		if err != nil {
			return reply, err
		}
		for _, a := range actions {
			if reply, err = wire.AppendAction(reply, p.instance, a); err != nil {
				return reply, err
			}
		}
	}
	return reply, nil
}

// groupByInstance starts and stops instances as the batch says, and groups its
// events by instance, in the order of each instance's first event.
func groupByInstance(batch *wire.Batch, instances map[string]*arrowwalk.Scheduler) ([]*pendingEvents, error) {
	var pending []*pendingEvents
	byInstance := map[string]*pendingEvents{}
	for _, msg := range batch.Messages {
		switch {
		case msg.Settings != nil:
			s, err := arrowwalk.New(*msg.Settings)
			if err != nil {
				return nil, &instanceError{msg.Instance, err}
			}
			instances[msg.Instance] = s
			discard(byInstance, msg.Instance)
		case instances[msg.Instance] == nil:
			return nil, fmt.Errorf("line %d: unknown instance %q", msg.Line, msg.Instance)
		case msg.Stop:
			delete(instances, msg.Instance)
			discard(byInstance, msg.Instance)
		case !msg.Skip:
			p := byInstance[msg.Instance]
			if p == nil {
				p = &pendingEvents{instance: msg.Instance, scheduler: instances[msg.Instance]}
				byInstance[msg.Instance] = p
				pending = append(pending, p)
			}
			p.events = append(p.events, msg.Event)
		}
	}
	return pending, nil
}

// discard drops the pending events of an instance that was stopped or
// restarted.
func discard(byInstance map[string]*pendingEvents, instance string) {
	if p := byInstance[instance]; p != nil {
		p.events = nil
		delete(byInstance, instance)
	}
}

// step passes an instance's events to its scheduler. A panic of the scheduler is
// returned as an instanceError.
func step(p *pendingEvents, now arrowwalk.Micros) (actions []arrowwalk.Action, err error) {
	if len(p.events) == 0 {
		return nil, nil
	}
	defer func() {
		if reason := recover(); reason != nil {
			err = &instanceError{p.instance, fmt.Errorf("panic: %v\n%s", reason, debug.Stack())}
		}
	}()
	return p.scheduler.Step(now, p.events...), nil
}
