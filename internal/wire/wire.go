// Package wire reads and prints the adapter's lines. It decides nothing: it
// turns event lines into the types of package arrowwalk, and actions into
// lines.
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

// Message is one event line: an instance's start (Settings set), its end (Stop)
// or an event. A Skip item holds nothing that the decisions use.
type Message struct {
	Line     int
	Instance string
	Settings *arrowwalk.Settings
	Stop     bool
	Skip     bool
	Event    arrowwalk.Event
}

// Batch is what happened at one time.
type Batch struct {
	Now      arrowwalk.Micros
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20)}
}

var errCutOff = errors.New("input ends inside a batch")

// next returns one line without its end. io.EOF comes only at a line's start.
func (r *Reader) next() (string, error) {
	line, err := r.in.ReadString('\n')
	if err == io.EOF && line != "" {
		r.line++
		return "", r.fail(errors.New("input ends inside a line"))
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

func (r *Reader) fail(err error) error { return fmt.Errorf("line %d: %w", r.line, err) }

// ReadBatch returns the next batch, or io.EOF at the end of the input.
func (r *Reader) ReadBatch() (*Batch, error) {
	line, err := r.next()
	for err == nil && line == "" {
		line, err = r.next()
	}
	if err != nil {
		return nil, err
	}
	f := newFields(line)
	if f.tag != "TICK" {
		return nil, r.fail(fmt.Errorf("a batch starts with TICK, not %q", f.tag))
	}
	b := &Batch{Now: f.micros()}
	if err := f.close(); err != nil {
		return nil, r.fail(err)
	}
	for {
		line, err := r.next()
		if err == io.EOF {
			return nil, r.fail(errCutOff)
		}
		if err != nil {
			return nil, err
		}
		if line == "EOF_BATCH" {
			return b, nil
		}
		item, err := r.item(line)
		if err != nil {
			return nil, err
		}
		b.Messages = append(b.Messages, item)
	}
}

// item reads one event line, and the entry lines that belong to it.
func (r *Reader) item(line string) (Message, error) {
	f := newFields(line)
	it := Message{Line: r.line, Instance: f.instance()}
	list, entries := (*arrowwalk.NodeList)(nil), 0
	switch f.tag {
	case "OPEN_INSTANCE":
		seed := f.natural()
		text := f.rest()
		if f.err == nil {
			s, err := settings.Parse([]byte(text), seed)
			if err != nil {
				f.err = err
			} else {
				it.Settings = &s.Settings
			}
		}
	case "UPDATE":
		list = &arrowwalk.NodeList{Kind: listKind(f), Version: f.integer()}
		entries = f.count()
		it.Event = list
	case "QUERY":
		it.Event = request(f)
	case "RETIRE":
		it.Stop = true
	case "DUE":
		it.Event = &arrowwalk.TimerFired{Token: f.natural()}
	case "UNDER_WAY":
		ev := &arrowwalk.StreamStarted{Request: f.request(), Attempt: f.count()}
		f.micros()
		ev.Node = f.node()
		it.Event = ev
	case "ABANDONED":
		it.Event = &arrowwalk.Abandoned{Request: f.request()}
	case "DONE":
		it.Event = outcome(f)
	case "PROBED":
		it.Event = &arrowwalk.ProbeResult{Latency: f.micros(), Node: f.node(), Status: f.status(), Load: f.row()}
	case "NEIGHBOUR_SAYS":
		f.integer()
		f.word()
		it.Skip = true
	default:
		f.err = fmt.Errorf("unknown message %q", f.tag)
	}
	if err := f.close(); err != nil {
		return it, r.fail(err)
	}
	for i := 0; i < entries; i++ {
		n, err := r.entry()
		if err != nil {
			return it, err
		}
		list.Nodes = append(list.Nodes, n)
	}
	return it, nil
}

// entry reads one line of a node list.
func (r *Reader) entry() (arrowwalk.Node, error) {
	line, err := r.next()
	if err == io.EOF {
		return arrowwalk.Node{}, r.fail(errCutOff)
	}
	if err != nil {
		return arrowwalk.Node{}, err
	}
	f := newFields(line)
	if f.tag != "BRICK" {
		return arrowwalk.Node{}, r.fail(fmt.Errorf("a BRICK line is missing, got %q", f.tag))
	}
	n := arrowwalk.Node{Shard: int(f.integer()), Started: f.micros()}
	f.number()
	n.State = nodeState(f)
	n.ID = f.node()
	n.Zone = int(f.integer())
	f.integer()
	if err := f.close(); err != nil {
		return n, r.fail(err)
	}
	return n, nil
}

func request(f *fields) *arrowwalk.Request {
	q := &arrowwalk.Request{ID: f.request(), Class: f.count()}
	q.Volume.Plan = f.count()
	if w := f.word(); w != "-" {
		q.HasKey, q.Key = true, f.parseNatural(w)
	}
	q.Left = f.micros()
	q.Volume.ID = arrowwalk.VolumeID(f.natural())
	q.Units = f.number()
	q.Shard = -1
	if w := f.word(); w != "-" {
		q.Shard = int(f.parseNumber(w))
	}
	q.Volume.Hosts = int(f.number())
	q.Again = f.natural()&2 != 0
	return q
}

func outcome(f *fields) *arrowwalk.Outcome {
	o := &arrowwalk.Outcome{}
	o.Request, o.Number, o.Node = f.request(), f.count(), f.node()
	o.Status = f.status()
	o.Latency = f.micros()
	o.Closed = f.boolean()
	o.FleetUse = f.number()
	o.OthersUnits = f.number()
	o.Load = f.row()
	return o
}

func listKind(f *fields) arrowwalk.ListKind {
	switch w := f.word(); w {
	case "diff":
		return arrowwalk.ListDelta
	case "snapshot":
		return arrowwalk.ListSnapshot
	case "disk":
		return arrowwalk.ListStored
	case "error":
		return arrowwalk.ListFailed
	default:
		f.bad("kind of list", w)
		return arrowwalk.ListFailed
	}
}

func nodeState(f *fields) arrowwalk.NodeState {
	switch w := f.word(); w {
	case "on":
		return arrowwalk.Ready
	case "fading":
		return arrowwalk.Draining
	case "off":
		return arrowwalk.Removed
	default:
		f.bad("health", w)
		return arrowwalk.Removed
	}
}

// fields takes the values of a line in their order and keeps the first error.
type fields struct {
	tag  string
	left string
	more bool
	err  error
}

func newFields(line string) *fields {
	tag, left, more := strings.Cut(line, "\t")
	return &fields{tag: tag, left: left, more: more}
}

func (f *fields) bad(what, value string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: bad %s %q", f.tag, what, value)
	}
}

func (f *fields) word() string {
	if !f.more {
		if f.err == nil {
			f.err = fmt.Errorf("%s: too few values", f.tag)
		}
		return ""
	}
	w, left, more := strings.Cut(f.left, "\t")
	f.left, f.more = left, more
	return w
}

func (f *fields) rest() string {
	w := f.left
	f.left, f.more = "", false
	return w
}

func (f *fields) close() error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("%s: too many values", f.tag)
	}
	return f.err
}

func (f *fields) instance() string {
	w := f.word()
	if n, ok := strings.CutPrefix(w, "host-"); !ok || n == "" {
		f.bad("instance", w)
	}
	return w
}

func (f *fields) node() arrowwalk.NodeID {
	w := f.word()
	if w == "" || w == "-" {
		f.bad("brick", w)
	}
	return arrowwalk.NodeID(w)
}

func (f *fields) integer() int64 {
	w := f.word()
	if w == "-" {
		return 0
	}
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		f.bad("integer", w)
	}
	return n
}

func (f *fields) natural() uint64 {
	w := f.word()
	if w == "-" {
		return 0
	}
	return f.parseNatural(w)
}

func (f *fields) parseNatural(w string) uint64 {
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.bad("whole number", w)
	}
	return n
}

func (f *fields) number() float64 {
	w := f.word()
	if w == "-" {
		return 0
	}
	return f.parseNumber(w)
}

func (f *fields) parseNumber(w string) float64 {
	n, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.bad("number", w)
		return 0
	}
	return n
}

func (f *fields) micros() arrowwalk.Micros { return arrowwalk.Micros(f.integer()) }

func (f *fields) request() arrowwalk.RequestID { return arrowwalk.RequestID(f.natural()) }

func (f *fields) count() int {
	n := f.integer()
	if n < 0 || n > math.MaxInt32 {
		f.bad("count", strconv.FormatInt(n, 10))
		return 0
	}
	return int(n)
}

func (f *fields) boolean() bool {
	switch w := f.word(); w {
	case "1":
		return true
	case "0", "-":
	default:
		f.bad("bool", w)
	}
	return false
}

// row reads a load report; nil where there is none.
func (f *fields) row() []float64 {
	w := f.word()
	if w == "-" || w == "" {
		return nil
	}
	var row []float64
	for _, v := range strings.Split(w, ",") {
		if v == "-" {
			v = "0"
		}
		row = append(row, f.parseNumber(v))
	}
	return row
}

// status reads an outcome code. One that is not known may have run.
func (f *fields) status() arrowwalk.Status {
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

// AppendAction appends the line of an action of an instance to out.
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

// AppendFatal appends the line that ends the day, because the decision code
// has failed for that reason.
func AppendFatal(out []byte, instance, reason string) []byte {
	return fmt.Appendf(out, "FATAL\t%s\t%s\n", instance, oneLine(reason))
}

// AppendReady appends the line that ends a reply.
func AppendReady(out []byte) []byte { return append(out, "READY\n"...) }

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
