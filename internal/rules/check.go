package rules

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
)

// Verdict is what was found of one rule.
type Verdict struct {
	Rule    string // as "drains kept"
	What    string // what was checked, as "sends"
	Checked int
	Broken  []string // where, at most Most of them are kept
	Count   int      // of broken ones
}

// mostBroken is how many places of a broken rule are kept.
const mostBroken = 20

func (v *Verdict) fault(format string, args ...any) {
	v.Count++
	if len(v.Broken) < mostBroken {
		v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
	}
}

// String is the line that a proof prints.
func (v *Verdict) String() string {
	return fmt.Sprintf("rule %s: %d %s checked, %d broken", v.Rule, v.Checked, v.What, v.Count)
}

// The rules by their place in a Checker's verdicts.
const (
	oneAnswer = iota
	noEffectTwice
	drainsKept
	coldSpared
	orderKept
	resendsBudgeted
	limitsKept
	ruleCount
)

// Checker checks the seven rules on a run that is told to it in order of time.
// It remembers what a rule may still need, two minutes at least (remembered),
// so that a run of any length is checked in memory that grows with its rate
// alone.
type Checker struct {
	told     *Script
	figures  *Figures
	verdicts [ruleCount]Verdict

	answered *aging[string, Micros]    // by the client's request: when it was answered
	ran      *aging[string, ranSend]   // and what was sent for it
	tasks    *aging[string, taskState] // by the module's request
	names    *aging[place, lastWrite]  // the last ordered write of an object
	unsent   map[int]*recent           // by host: when requests were sent that reached no brick
	queued   map[int][]span            // by host: when what was sent later may have been taken already
	budgets  map[string]*budget        // by run of a host
	pending  []resend                  // further attempts that are not judged yet
	stores   map[uint64]*store
	cold     []*coldState
	closed   map[string][]Told
	odd      int // ids that make no sense
}

// Script is what a run's script knows beside what passed on sockets.
type Script struct {
	Told       []Told
	Capacities []Capacity
	Stills     []Still
	Figures    Figures
}

// span is a time from one moment, included, to another.
type span struct{ from, to Micros }

type ranSend struct {
	first  Micros // the first time that something was sent for it
	ended  Micros // the end of what was sent last
	last   Micros // the last time that something was sent for it
	brick  string
	record bool // its object may have been written
}

type taskState struct {
	zone   string
	first  Micros // when it was sent first that may have run
	ran    bool
	stored int
	drawn  bool
	write  bool
}

type place struct {
	host int
	name string
}

type lastWrite struct {
	task, run, request string
	ended              Micros
	status             int
}

type budget struct{ resends, firsts recent }

// resend is a further attempt. It is judged when all calls of its span are
// over, as only then it is known what its host had taken.
type resend struct {
	at   Micros
	run  string
	host int
	made int
}

type store struct {
	units float64
	at    Micros
}

type coldState struct {
	Capacity
	window []load
	sum    float64
}

type load struct {
	at    Micros
	units float64
}

// NewChecker readies a check.
func NewChecker(t *Script) *Checker {
	c := &Checker{told: t, figures: &t.Figures, answered: newAging[string, Micros](), ran: newAging[string, ranSend](),
		tasks: newAging[string, taskState](), names: newAging[place, lastWrite](), unsent: map[int]*recent{}, queued: map[int][]span{},
		budgets: map[string]*budget{}, stores: map[uint64]*store{}, closed: map[string][]Told{}}
	for i, of := range [ruleCount][2]string{{"one answer", "requests"}, {"no effect twice", "writes"}, {"drains kept", "sends"},
		{"cold bricks spared", "sends to cold bricks"}, {"order kept", "ordered writes"}, {"resends budgeted", "further attempts"},
		{"limits kept", "first sends of limited volumes"}} {
		c.verdicts[i] = Verdict{Rule: of[0], What: of[1]}
	}
	for _, t := range t.Told {
		if t.State != "ready" {
			c.closed[t.Brick] = append(c.closed[t.Brick], t)
		}
	}
	for _, one := range t.Capacities {
		c.cold = append(c.cold, &coldState{Capacity: one})
	}
	return c
}

// Verdicts returns what was found, in the rules' order. Nothing is told after.
func (c *Checker) Verdicts() []Verdict {
	c.judgeResends(math.MaxInt64)
	return slices.Clone(c.verdicts[:])
}

// Ended tells that a client's request is over, at call.Ended: rule 1, and the
// part of rule 2 that binds refusals.
func (c *Checker) Ended(call *Call) {
	if call.ID != "" && call.Status == 503 && call.Write {
		if sent, ok := c.ran.get(call.ID); ok && sent.record {
			c.verdicts[noEffectTwice].fault("request %s: refused, though its write may have run", call.ID)
		}
	}
	c.countUnsent(call)
	if call.Left || call.Sent == 0 {
		return
	}
	v := &c.verdicts[oneAnswer]
	v.Checked++
	c.checkCall(call, v)
	if call.ID == "" || call.Status == 0 {
		return
	}
	if _, twice := c.answered.get(call.ID); twice {
		v.fault("request %s is answered twice", call.ID)
	}
	c.answered.put(call.ID, call.Ended, call.Ended)
	sent, _ := c.ran.get(call.ID)
	if up := call.Sent + call.Waits; call.Earliest() > up && sent.last > up+c.figures.Slack {
		v.fault("request %s: sent to %s %d us after its client's time was up", call.ID, sent.brick, sent.last-up)
	}
}

// due returns by when a call's host owes it an answer: before the client's time
// is up, or, where the host stood still at that moment, when it goes on
// (docs/stalls.md).
func (c *Checker) due(call *Call) Micros {
	due := call.Sent + call.Waits
	for _, st := range c.told.Stills {
		if st.Host == call.Host && st.From <= due && st.To > due {
			due = st.To
		}
	}
	return due
}

// forsaken tells whether a client waited for its whole time and left while
// its host stood still: nobody was there to answer.
func (c *Checker) forsaken(call *Call) bool {
	return call.Ended >= call.Sent+call.Waits && slices.ContainsFunc(c.told.Stills, func(st Still) bool {
		return st.Host == call.Host && st.From <= call.Ended && call.Ended <= st.To+c.figures.Slack
	})
}

func (c *Checker) checkCall(call *Call, v *Verdict) {
	due := c.due(call) + c.figures.Slack
	what := ""
	switch {
	case call.Status == 0 && call.Stopping: // it may never have been taken
	case call.Begun == 0 && c.forsaken(call):
	case call.Status == 0 && call.Begun == 0:
		what = "no answer"
	case call.Earliest() > due:
		what = fmt.Sprintf("answer %d us late", call.Earliest()-due)
	case call.Wrong:
		what = "wrong bytes"
	case call.Extra:
		what = "more than one answer"
	case call.Status == 503 && !call.RetryTold:
		what = "503 without Retry-After"
	}
	if what != "" {
		v.fault("%s of %s by %s to host %d: %s", call.Method, call.Key, call.Client, call.Host, what)
	}
}

// Arrived tells that a request reached a brick, at a.At.
func (c *Checker) Arrived(a *Arrival) {
	i, err := parseID(a.Request)
	if err != nil {
		c.verdicts[oneAnswer].fault("%s", err)
		c.odd++
		i = id{run: fmt.Sprint("?", c.odd), task: fmt.Sprint("?", c.odd)}
	}
	c.afterAnswer(a, &i)
	c.checkWrite(a, &i)
	c.checkDrains(a)
	c.checkCold(a)
	c.checkOrder(a, &i)
	c.checkBudget(a, &i)
	c.checkLimit(a, &i)
	t, _ := c.tasks.get(i.task)
	t.drawn = true
	c.tasks.put(i.task, t, a.At)
}

// afterAnswer is the rest of rule 1: nothing is sent for a request after its
// answer, or after its client's time was up.
func (c *Checker) afterAnswer(a *Arrival, i *id) {
	if end, ok := c.answered.get(i.run); ok && a.Earliest() > end+c.figures.Slack {
		c.verdicts[oneAnswer].fault("request %s: sent to %s %d us after its answer", a.Request, a.Brick, a.Earliest()-end)
	}
	sent, ok := c.ran.get(i.run)
	if !ok {
		sent.first = a.At
	} else if t, _ := c.tasks.get(i.task); !t.drawn { // a further request of the module for the same client's
		c.queue(a.Host, span{sent.ended, a.At})
	}
	sent.last, sent.brick, sent.ended = a.Earliest(), a.Brick, max(sent.ended, a.Ended)
	if a.Key != "" && a.Space == "o" && a.mayHaveRun() && a.Status < 400 {
		sent.record = true
	}
	c.ran.put(i.run, sent, a.At)
}

// checkWrite is rule 2: a keyed write that may have run is sent again only
// inside its zone and window, and no write takes effect twice.
func (c *Checker) checkWrite(a *Arrival, i *id) {
	if a.Key == "" {
		return
	}
	v := &c.verdicts[noEffectTwice]
	t, _ := c.tasks.get(i.task)
	if !t.write {
		t.write = true
		v.Checked++
	}
	if t.ran {
		if a.Zone != t.zone {
			v.fault("request %s: may have run in %s, sent again to %s", i.task, t.zone, a.Zone)
		}
		if a.At >= t.first+c.figures.Window+c.figures.Slack {
			v.fault("request %s: sent again %d us after it may have run", i.task, a.At-t.first)
		}
	}
	if !t.ran && a.mayHaveRun() {
		t.ran, t.zone, t.first = true, a.Zone, a.At
	}
	if a.Stored {
		if t.stored++; t.stored == 2 {
			v.fault("request %s: took effect %d times", i.task, t.stored)
		}
	}
	c.tasks.put(i.task, t, a.At)
}

// checkDrains is rule 3: nothing new goes to a brick after the grace once its
// host was told that it drains or is gone.
func (c *Checker) checkDrains(a *Arrival) {
	v := &c.verdicts[drainsKept]
	v.Checked++
	for i := range c.closed[a.Brick] {
		t := &c.closed[a.Brick][i]
		if t.Host != a.Host || a.At <= t.At || t.Until != 0 && a.At > t.Until {
			continue
		}
		if late := a.Earliest() - (c.heard(t) + c.figures.DrainGrace); late > 0 {
			v.fault("request %s: to %s, %s, %d us after the grace", a.Request, a.Brick, t.State, late)
		}
	}
}

// heard returns by when a host has heard what it was told: one that stood
// still, after that.
func (c *Checker) heard(t *Told) Micros {
	at := t.At
	for _, st := range c.told.Stills {
		if st.Host == t.Host && st.From <= at+c.figures.ToldWithin && st.To > at {
			at = st.To
		}
	}
	return at + c.figures.ToldWithin
}

// checkCold is rule 4: what all hosts send a cold brick within the span stays
// under the multiple of what it can do, or under what it always bears.
func (c *Checker) checkCold(a *Arrival) {
	f, v := c.figures, &c.verdicts[coldSpared]
	if f.WarmWithin == 0 {
		return
	}
	for _, s := range c.cold {
		age := a.At - s.Started
		if a.Brick != s.Brick || a.Started != s.Started || age < 0 || age > f.WarmWithin {
			continue
		}
		v.Checked++
		s.window = append(s.window, load{a.At, a.Units})
		s.sum += a.Units
		for s.window[0].at <= a.At-f.ColdSpan {
			s.sum -= s.window[0].units
			s.window = s.window[1:]
		}
		can := f.ColdFrom + (1-f.ColdFrom)*float64(max(0, age-f.ColdSpan))/float64(f.WarmWithin)
		bears := max(f.ColdUnits, f.ColdMultiple*can*s.UnitsPerSec*float64(f.ColdSpan)/1e6)
		if s.sum > bears+1e-6 {
			v.fault("%s, %d us after its start: %.2f units in the span, it bears %.2f", s.Brick, age, s.sum, bears)
		}
	}
}

// checkOrder is rule 5: writes of one object through one host run one at a
// time, and rest after one whose end is not known.
func (c *Checker) checkOrder(a *Arrival, i *id) {
	if !c.figures.Ordered || a.Space != "o" || a.Key == "" {
		return
	}
	v := &c.verdicts[orderKept]
	v.Checked++
	at := place{a.Host, a.Name}
	before, ok := c.names.get(at)
	c.names.put(at, lastWrite{i.task, i.run, a.Request, a.Ended, a.Status}, a.At)
	if !ok || before.task == i.task || runOf(before.run) != runOf(i.run) {
		return // a request's own attempts, or a host started anew
	}
	free := before.ended
	if before.status == 0 {
		free += c.figures.OrderGap
	}
	if a.At+c.figures.Slack/10 < free {
		v.fault("request %s: %d us before %s was over", a.Request, free-a.At, before.request)
	}
}

// runOf returns HOST-RUN of HOST-RUN-SEQUENCE.
func runOf(run string) string {
	if i := strings.LastIndexByte(run, '-'); i >= 0 {
		return run[:i]
	}
	return run
}

// checkBudget is rule 6: in any span, the attempts of a host beyond each
// request's first stay within a few and a share of the requests that it took.
func (c *Checker) checkBudget(a *Arrival, i *id) {
	f := c.figures
	if f.ResendSpan == 0 {
		return
	}
	run := runOf(i.run)
	b := c.budgets[run]
	if b == nil {
		b = &budget{}
		c.budgets[run] = b
	}
	forget := a.At - f.ResendSpan - 2*f.Slack - callMost
	if i.attempt == 0 {
		b.firsts.add(a.At, forget)
		return
	}
	c.verdicts[resendsBudgeted].Checked++
	b.resends.insert(c.decided(a), forget)
	c.pending = append(c.pending, resend{a.At, run, a.Host, b.resends.between(a.At-f.ResendSpan, a.At)})
	c.judgeResends(a.At - callMost)
}

// decided returns the earliest time at which a host may have decided on what
// arrived: some time before, and where it stood still in between, before that.
func (c *Checker) decided(a *Arrival) Micros {
	at := a.At - c.figures.Slack
	for _, st := range c.told.Stills {
		if st.Host == a.Host && st.From < a.At && st.To > at {
			at = min(at, st.From)
		}
	}
	return at
}

// callMost is longer than any call of a proof takes, microseconds.
const callMost Micros = 30_000_000

// countUnsent counts a call that no brick has seen, and whose host may have
// taken it all the same: what was refused for other reasons than load was not.
func (c *Checker) countUnsent(call *Call) {
	if call.Sent == 0 {
		return
	}
	if sent, ok := c.ran.get(call.ID); ok && call.ID != "" {
		c.queue(call.Host, span{call.Sent, sent.first})
		if call.Status != 503 && call.Status != 500 {
			return
		}
		// What ended it may be one more request of the module, that was never sent.
		c.took(call.Host, max(sent.ended, call.Sent))
		return
	}
	if call.Status != 0 && call.Status != 503 && call.Status != 500 {
		return
	}
	c.took(call.Host, call.Sent)
}

// took counts a request that a host took at a time and never sent.
func (c *Checker) took(host int, at Micros) {
	r := c.unsent[host]
	if r == nil {
		r = &recent{}
		c.unsent[host] = r
	}
	r.insert(at, at-c.figures.ResendSpan-2*c.figures.Slack-2*callMost)
}

// queue notes when a request may have waited at its host.
func (c *Checker) queue(host int, s span) {
	if s.from < s.to {
		c.queued[host] = append(c.queued[host], s)
	}
}

// waiting counts what a host may have taken by a time and sent after it.
func (c *Checker) waiting(host int, at Micros) (n int) {
	list := c.queued[host]
	if len(list) > 1024 { // those that ended long ago are of no use any more
		list = slices.DeleteFunc(list, func(s span) bool { return s.to < at-callMost })
		c.queued[host] = list
	}
	for _, s := range list {
		if s.from <= at && at < s.to {
			n++
		}
	}
	return n
}

// judgeResends judges the further attempts up to a time. What is sent on a
// socket was taken some time before it arrived there.
func (c *Checker) judgeResends(upTo Micros) {
	f := c.figures
	for len(c.pending) > 0 && c.pending[0].at <= upTo {
		p := c.pending[0]
		c.pending = c.pending[1:]
		from := p.at - f.ResendSpan - f.Slack
		b := c.budgets[p.run]
		taken := b.firsts.between(from, p.at)
		if u := c.unsent[p.host]; u != nil {
			taken += u.between(from, p.at)
		}
		taken += c.waiting(p.host, p.at)
		if float64(p.made) > f.ResendFree+f.ResendRatio*float64(taken) {
			c.verdicts[resendsBudgeted].fault("host %s: %d further attempts in the span for %d requests", p.run, p.made, taken)
		}
	}
}

// checkLimit is rule 7: what all hosts together send first for a volume stays
// inside its limit.
func (c *Checker) checkLimit(a *Arrival, i *id) {
	limit, ok := c.figures.Limits[a.Volume]
	if t, _ := c.tasks.get(i.task); !ok || t.drawn {
		return
	}
	v := &c.verdicts[limitsKept]
	v.Checked++
	st := c.stores[a.Volume]
	if st == nil {
		st = &store{limit.Burst, a.At}
		c.stores[a.Volume] = st
	}
	st.units = min(limit.Burst, st.units+limit.Rate*float64(a.At-st.at)/1e6) - a.Units
	st.at = a.At
	if st.units < -limit.Slack-1e-6 {
		v.fault("request %s: volume %d is %.2f units over its limit", a.Request, a.Volume, -st.units)
	}
}

// Check checks all seven rules on a whole trace.
func Check(t *Trace) []Verdict {
	arrivals, ended := slices.Clone(t.Arrivals), slices.Clone(t.Calls)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(ended, func(a, b Call) int { return cmp.Compare(a.Ended, b.Ended) })
	verdicts, _ := CheckStream(&Script{t.Told, t.Capacities, t.Stills, t.Figures}, all(arrivals), all(ended))
	return verdicts
}

func all[T any](list []T) iter.Seq2[*T, error] {
	return func(yield func(*T, error) bool) {
		for i := range list {
			if !yield(&list[i], nil) {
				return
			}
		}
	}
}

// CheckStream checks all seven rules on a run: what arrived in order of At, and
// the calls in order of Ended. At one time, arrivals come first.
func CheckStream(t *Script, arrivals iter.Seq2[*Arrival, error], calls iter.Seq2[*Call, error]) ([]Verdict, error) {
	c := NewChecker(t)
	next, stop := iter.Pull2(calls)
	defer stop()
	call, err, more := next()
	endUntil := func(at Micros) error {
		for more && err == nil && call.Ended < at {
			c.Ended(call)
			call, err, more = next()
		}
		return err
	}
	for a, bad := range arrivals {
		if bad != nil {
			return nil, bad
		}
		if err := endUntil(a.At); err != nil {
			return nil, err
		}
		c.Arrived(a)
	}
	if err := endUntil(math.MaxInt64); err != nil {
		return nil, err
	}
	return c.Verdicts(), nil
}
