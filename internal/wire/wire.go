// Package wire implements the simulator's line protocol. It parses lines into
// events of package arrowwalk and formats actions as lines. Each line is a tag
// and its values, separated by tabs; "-" stands for a missing value.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"arrowwalk"
	"arrowwalk/internal/settings"
)

// Message is a message to one scheduler instance. It starts the instance
// (Settings is set), stops it (Stop) or carries an Event. A message with Skip
// has no effect on the decisions.
type Message struct {
	Line     int // line number in the input, from 1
	Instance string
	Settings *arrowwalk.Settings
	Stop     bool
	Skip     bool
	Event    arrowwalk.Event
}

// Batch holds the messages of one point in time, in their order.
type Batch struct {
	Now      arrowwalk.Micros
	Messages []Message
}

// Reader reads batches from a stream. It is not safe for concurrent use.
type Reader struct {
	in   *bufio.Reader
	line int // number of lines read
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20)}
}

var errBatchTruncated = errors.New("input ends inside a batch")

// readLine returns the next line without its line ending. It returns io.EOF only
// if the input ends after a complete line.
func (r *Reader) readLine() (string, error) {
	line, err := r.in.ReadString('\n')
	if err == io.EOF && line != "" {
		r.line++
		return "", r.wrapError(errors.New("input ends inside a line"))
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// wrapError adds the current line number to an error.
func (r *Reader) wrapError(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// ReadBatch returns the next batch, or io.EOF if the input ends between batches.
// Any other error names the line. Empty lines before a batch are skipped.
func (r *Reader) ReadBatch() (*Batch, error) {
	line, err := r.readLine()
	for err == nil && line == "" {
		line, err = r.readLine()
	}
	if err != nil {
		return nil, err
	}
	f := newFieldReader(line)
	if f.tag != "TICK" {
		return nil, r.wrapError(fmt.Errorf("a batch starts with TICK, not %q", f.tag))
	}
	b := &Batch{Now: f.micros()}
	if err := f.finish(); err != nil {
		return nil, r.wrapError(err)
	}
	for {
		line, err := r.readLine()
		if err == io.EOF {
			return nil, r.wrapError(errBatchTruncated)
		}
		if err != nil {
			return nil, err
		}
		if line == "EOF_BATCH" {
			return b, nil
		}
		msg, err := r.readMessage(line)
		if err != nil {
			return nil, err
		}
		b.Messages = append(b.Messages, msg)
	}
}

// readMessage parses a message line and reads the BRICK lines that belong to
// it.
func (r *Reader) readMessage(line string) (Message, error) {
	f := newFieldReader(line)
	msg := Message{Line: r.line, Instance: f.instance()}
	list, nodeCount := (*arrowwalk.NodeList)(nil), 0
	switch f.tag {
	case "OPEN_INSTANCE":
		seed := f.unsigned()
		text := f.rawRemainder()
		if f.err == nil {
			s, err := settings.Parse([]byte(text), seed)
			if err != nil {
				f.err = err
			} else {
				msg.Settings = &s.Settings
			}
		}
	case "UPDATE":
		list = &arrowwalk.NodeList{Kind: parseListKind(f), Version: f.integer()}
		nodeCount = f.count()
		msg.Event = list
	case "QUERY":
		msg.Event = parseRequest(f)
	case "RETIRE":
		msg.Stop = true
	case "DUE":
		msg.Event = &arrowwalk.TimerFired{Token: f.unsigned()}
	case "UNDER_WAY":
		event := &arrowwalk.StreamStarted{Request: f.requestID(), Attempt: f.count()}
		f.micros()
		event.Node = f.nodeID()
		msg.Event = event
	case "ABANDONED":
		msg.Event = &arrowwalk.Abandoned{Request: f.requestID()}
	case "DONE":
		msg.Event = parseOutcome(f)
	case "PROBED":
		msg.Event = &arrowwalk.ProbeResult{Latency: f.micros(), Node: f.nodeID(), Status: f.status(), Load: f.loadReport()}
	case "NEIGHBOUR_SAYS":
		f.integer()
		f.field()
		msg.Skip = true
	default:
		f.err = fmt.Errorf("unknown message %q", f.tag)
	}
	if err := f.finish(); err != nil {
		return msg, r.wrapError(err)
	}
	for i := 0; i < nodeCount; i++ {
		n, err := r.readNode()
		if err != nil {
			return msg, err
		}
		list.Nodes = append(list.Nodes, n)
	}
	return msg, nil
}

// readNode reads a BRICK line, an entry of a node list.
func (r *Reader) readNode() (arrowwalk.Node, error) {
	line, err := r.readLine()
	if err == io.EOF {
		return arrowwalk.Node{}, r.wrapError(errBatchTruncated)
	}
	if err != nil {
		return arrowwalk.Node{}, err
	}
	f := newFieldReader(line)
	if f.tag != "BRICK" {
		return arrowwalk.Node{}, r.wrapError(fmt.Errorf("a BRICK line is missing, got %q", f.tag))
	}
	n := arrowwalk.Node{Shard: int(f.integer()), Started: f.micros()}
	f.float()
	n.State = parseNodeState(f)
	n.ID = f.nodeID()
	n.Zone = int(f.integer())
	f.integer()
	if err := f.finish(); err != nil {
		return n, r.wrapError(err)
	}
	return n, nil
}

// againFlag is the bit in a QUERY line's flags that marks a client's retry.
const againFlag = 2

// parseRequest parses the values of a QUERY line after the instance.
func parseRequest(f *fieldReader) *arrowwalk.Request {
	req := &arrowwalk.Request{ID: f.requestID(), Class: f.count()}
	req.Volume.Plan = f.count()
	if text := f.field(); text != "-" {
		req.HasKey, req.Key = true, f.parseUnsigned(text)
	}
	req.TimeLeft = f.micros()
	req.Volume.ID = arrowwalk.VolumeID(f.unsigned())
	req.Units = f.float()
	req.Shard = -1
	if text := f.field(); text != "-" {
		req.Shard = int(f.parseFloat(text))
	}
	req.Volume.Hosts = int(f.float())
	req.IsRetry = f.unsigned()&againFlag != 0
	return req
}

// parseOutcome parses the values of a DONE line after the instance.
func parseOutcome(f *fieldReader) *arrowwalk.Outcome {
	o := &arrowwalk.Outcome{}
	o.Request, o.Number, o.Node = f.requestID(), f.count(), f.nodeID()
	o.Status = f.status()
	o.Latency = f.micros()
	o.Closed = f.boolean()
	o.FleetUse = f.float()
	o.OthersUnits = f.float()
	o.Load = f.loadReport()
	return o
}

// parseListKind parses the kind of an UPDATE line.
func parseListKind(f *fieldReader) arrowwalk.ListKind {
	switch text := f.field(); text {
	case "diff":
		return arrowwalk.ListDelta
	case "snapshot":
		return arrowwalk.ListSnapshot
	case "disk":
		return arrowwalk.ListStored
	case "error":
		return arrowwalk.ListFailed
	default:
		f.invalid("kind of list", text)
		return arrowwalk.ListFailed
	}
}

// parseNodeState parses the health of a BRICK line.
func parseNodeState(f *fieldReader) arrowwalk.NodeState {
	switch text := f.field(); text {
	case "on":
		return arrowwalk.Ready
	case "fading":
		return arrowwalk.Draining
	case "off":
		return arrowwalk.Removed
	default:
		f.invalid("health", text)
		return arrowwalk.Removed
	}
}

// fieldReader parses the values of a line in their order. Its methods consume
// one value each; after an error they return zero values or what could be
// parsed, and finish returns the first error.
type fieldReader struct {
	tag       string
	remaining string
	more      bool // remaining holds at least one more value, which may be empty
	err       error
}

// newFieldReader splits the tag off a line.
func newFieldReader(line string) *fieldReader {
	tag, remaining, more := strings.Cut(line, "\t")
	return &fieldReader{tag: tag, remaining: remaining, more: more}
}

// invalid records that a value could not be parsed.
func (f *fieldReader) invalid(what, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: bad %s %q", f.tag, what, value)
	}
}

// field returns the next value as it is.
func (f *fieldReader) field() string {
	if !f.more {
		if f.err == nil {
			f.err = fmt.Errorf("%s: too few values", f.tag)
		}
		return ""
	}
	text, remaining, more := strings.Cut(f.remaining, "\t")
	f.remaining, f.more = remaining, more
	return text
}

// rawRemainder consumes the rest of the line.
func (f *fieldReader) rawRemainder() string {
	text := f.remaining
	f.remaining, f.more = "", false
	return text
}

// finish returns the first error, or an error if values are left.
func (f *fieldReader) finish() error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("%s: too many values", f.tag)
	}
	return f.err
}

// instance parses the name of an instance, host- and a suffix.
func (f *fieldReader) instance() string {
	text := f.field()
	if suffix, ok := strings.CutPrefix(text, "host-"); !ok || suffix == "" {
		f.invalid("instance", text)
	}
	return text
}

// nodeID parses the ID of a node, which may not be missing.
func (f *fieldReader) nodeID() arrowwalk.NodeID {
	text := f.field()
	if text == "" || text == "-" {
		f.invalid("brick", text)
	}
	return arrowwalk.NodeID(text)
}

// integer parses a signed integer; a missing one is 0.
func (f *fieldReader) integer() int64 {
	text := f.field()
	if text == "-" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.invalid("integer", text)
	}
	return n
}

// unsigned parses an unsigned integer; a missing one is 0.
func (f *fieldReader) unsigned() uint64 {
	text := f.field()
	if text == "-" {
		return 0
	}
	return f.parseUnsigned(text)
}

// parseUnsigned parses an unsigned integer that was consumed already.
func (f *fieldReader) parseUnsigned(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		f.invalid("whole number", text)
	}
	return n
}

// float parses a finite number; a missing one is 0.
func (f *fieldReader) float() float64 {
	text := f.field()
	if text == "-" {
		return 0
	}
	return f.parseFloat(text)
}

// parseFloat parses a finite number that was consumed already.
func (f *fieldReader) parseFloat(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.invalid("number", text)
		return 0
	}
	return n
}

// micros parses a time or a duration in microseconds.
func (f *fieldReader) micros() arrowwalk.Micros { return arrowwalk.Micros(f.integer()) }

// requestID parses the ID of a request.
func (f *fieldReader) requestID() arrowwalk.RequestID { return arrowwalk.RequestID(f.unsigned()) }

// count parses an integer from 0 to math.MaxInt32.
func (f *fieldReader) count() int {
	n := f.integer()
	if n < 0 || n > math.MaxInt32 {
		f.invalid("count", strconv.FormatInt(n, 10))
		return 0
	}
	return int(n)
}

// boolean parses 1, 0 or a missing value, which is false.
func (f *fieldReader) boolean() bool {
	switch text := f.field(); text {
	case "1":
		return true
	case "0", "-":
	default:
		f.invalid("bool", text)
	}
	return false
}

// loadReport parses a comma-separated load report; a missing one is nil.
func (f *fieldReader) loadReport() []float64 {
	text := f.field()
	if text == "-" || text == "" {
		return nil
	}
	var report []float64
	for _, v := range strings.Split(text, ",") {
		if v == "-" {
			v = "0"
		}
		report = append(report, f.parseFloat(v))
	}
	return report
}

// status parses an outcome code. A code that is not listed is Unknown, so that
// the attempt counts as one that may have run.
func (f *fieldReader) status() arrowwalk.Status {
	switch f.integer() {
	case 200:
		return arrowwalk.OK
	case 500:
		return arrowwalk.Failed
	case 503:
		return arrowwalk.Overloaded
	case 504:
		return arrowwalk.TimedOut
	case 502:
		return arrowwalk.Unreachable
	case 598:
		return arrowwalk.Reset
	case 499:
		return arrowwalk.Cancelled
	case 410:
		return arrowwalk.NotSent
	}
	return arrowwalk.Unknown
}

// AppendAction appends the line for an action of an instance to out. It returns
// an error if the action's kind is unknown.
func AppendAction(out []byte, instance string, a arrowwalk.Action) ([]byte, error) {
	line := func(tag string, values ...any) {
		out = append(append(append(out, tag...), '\t'), instance...)
		for _, v := range values {
			out = fmt.Append(append(out, '\t'), v)
		}
		out = append(out, '\n')
	}
	switch a.Kind {
	case arrowwalk.Send:
		line("PLACE", a.Request, int64(a.Delay), a.Node)
	case arrowwalk.Refuse:
		line("TURN_AWAY", a.Request, int64(a.Delay))
	case arrowwalk.Fail:
		line("FINISH_ERROR", a.Request)
	case arrowwalk.SetTimer:
		line("DEFER", int64(a.Delay), a.Token)
	case arrowwalk.Subscribe:
		line("TRACK", 1)
	case arrowwalk.Probe:
		line("ASK_LOAD", a.Node)
	case arrowwalk.Cancel:
		line("WITHDRAW", a.Request, a.Attempt)
	case arrowwalk.Log:
		line("RECORD", oneLine(a.Text))
	default:
		return out, fmt.Errorf("unknown action %d", a.Kind)
	}
	return out, nil
}

// AppendFatal appends the line that ends the simulation because an instance has
// failed for the given reason.
func AppendFatal(out []byte, instance, reason string) []byte {
	return fmt.Appendf(out, "FATAL\t%s\t%s\n", instance, oneLine(reason))
}

// AppendReady appends the line that ends the reply to a batch.
func AppendReady(out []byte) []byte { return append(out, "READY\n"...) }

// oneLine replaces each run of white space, including line breaks and tabs, with
// one space.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
