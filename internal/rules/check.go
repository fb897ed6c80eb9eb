package rules

import (
	"cmp"
	"fmt"
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

// Check checks all seven rules.
func Check(t *Trace) []Verdict {
	s := sorted(t)
	return []Verdict{s.oneAnswer(), s.noEffectTwice(), s.drainsKept(), s.coldSpared(), s.orderKept(), s.resendsBudgeted(), s.limitsKept()}
}

// sight is a trace with its ids parsed and its arrivals in order of time.
type sight struct {
	*Trace
	ids   []id
	tasks map[string][]int // arrivals by task, in order of time
	bad   []string         // ids that make no sense
}

func sorted(t *Trace) *sight {
	s := &sight{Trace: t, tasks: map[string][]int{}}
	slices.SortStableFunc(t.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	s.ids = make([]id, len(t.Arrivals))
	for i := range t.Arrivals {
		parsed, err := parseID(t.Arrivals[i].Request)
		if err != nil {
			s.bad = append(s.bad, err.Error())
			parsed = id{run: fmt.Sprint("?", i), task: fmt.Sprint("?", i)}
		}
		s.ids[i] = parsed
		s.tasks[parsed.task] = append(s.tasks[parsed.task], i)
	}
	return s
}

// oneAnswer is rule 1: each request that was taken has exactly one final
// answer before its client's time is up, and nothing is sent for it after.
func (s *sight) oneAnswer() Verdict {
	v := Verdict{Rule: "one answer", What: "requests"}
	for _, b := range s.bad {
		v.fault("%s", b)
	}
	answered := map[string]Micros{}
	over := map[string]Micros{} // when the clients' time was up, of answers that had not begun by then
	for i := range s.Calls {
		c := &s.Calls[i]
		if c.Left || c.Sent == 0 {
			continue
		}
		v.Checked++
		s.checkCall(c, &v)
		if c.ID != "" && c.Status != 0 {
			if _, twice := answered[c.ID]; twice {
				v.fault("request %s is answered twice", c.ID)
			}
			answered[c.ID] = c.Ended
			if up := c.Sent + c.Waits; c.Begun > up {
				over[c.ID] = up
			}
		}
	}
	for i, a := range s.Arrivals {
		if end, ok := answered[s.ids[i].run]; ok && a.At > end+s.Figures.Slack {
			v.fault("request %s: sent to %s %d us after its answer", a.Request, a.Brick, a.At-end)
		}
		if up, ok := over[s.ids[i].run]; ok && a.At > up+s.Figures.Slack {
			v.fault("request %s: sent to %s %d us after its client's time was up", a.Request, a.Brick, a.At-up)
		}
	}
	return v
}

// due returns by when a call's host owes it an answer: before the client's time
// is up, or, where the host stood still at that moment, when it goes on
// (docs/stalls.md).
func (s *sight) due(c *Call) Micros {
	due := c.Sent + c.Waits
	for _, st := range s.Stills {
		if st.Host == c.Host && st.From <= due && st.To > due {
			due = st.To
		}
	}
	return due
}

// forsaken tells whether a client waited for its whole time and left while
// its host stood still: nobody was there to answer.
func (s *sight) forsaken(c *Call) bool {
	return c.Ended >= c.Sent+c.Waits && slices.ContainsFunc(s.Stills, func(st Still) bool {
		return st.Host == c.Host && st.From <= c.Ended && c.Ended <= st.To+s.Figures.Slack
	})
}

func (s *sight) checkCall(c *Call, v *Verdict) {
	name := fmt.Sprintf("%s of %s by %s to host %d", c.Method, c.Key, c.Client, c.Host)
	due := s.due(c) + s.Figures.Slack
	switch {
	case c.Status == 0 && c.Stopping: // it may never have been taken
	case c.Begun == 0 && s.forsaken(c):
	case c.Status == 0 && c.Begun == 0:
		v.fault("%s: no answer", name)
	case c.Begun > due:
		v.fault("%s: answer %d us late", name, c.Begun-due)
	case c.Wrong:
		v.fault("%s: wrong bytes", name)
	case c.Extra:
		v.fault("%s: more than one answer", name)
	case c.Status == 503 && !c.RetryTold:
		v.fault("%s: 503 without Retry-After", name)
	}
}

// noEffectTwice is rule 2: a keyed write that may have run is sent again only
// inside its zone and window, no write takes effect twice, and a refusal is
// given only where none may have.
func (s *sight) noEffectTwice() Verdict {
	v := Verdict{Rule: "no effect twice", What: "writes"}
	recordRan := map[string]bool{} // client's requests whose object may have been written
	for task, list := range s.tasks {
		if s.Arrivals[list[0]].Key == "" {
			continue
		}
		v.Checked++
		s.checkWrite(task, list, &v)
		for _, i := range list {
			if a := &s.Arrivals[i]; a.Space == "o" && a.mayHaveRun() && a.Status < 400 {
				recordRan[s.ids[i].run] = true
			}
		}
	}
	for i := range s.Calls {
		if c := &s.Calls[i]; c.Write && c.Status == 503 && recordRan[c.ID] {
			v.fault("request %s: refused, though its write may have run", c.ID)
		}
	}
	return v
}

func (s *sight) checkWrite(task string, list []int, v *Verdict) {
	var first *Arrival
	stored := 0
	for _, i := range list {
		a := &s.Arrivals[i]
		if a.Stored {
			stored++
		}
		if first != nil {
			if a.Zone != first.Zone {
				v.fault("request %s: may have run in %s, sent again to %s", task, first.Zone, a.Zone)
			}
			if a.At >= first.At+s.Figures.Window+s.Figures.Slack {
				v.fault("request %s: sent again %d us after it may have run", task, a.At-first.At)
			}
		}
		if first == nil && a.mayHaveRun() {
			first = a
		}
	}
	if stored > 1 {
		v.fault("request %s: took effect %d times", task, stored)
	}
}

// drainsKept is rule 3: nothing new goes to a brick after the grace once its
// host was told that it drains or is gone.
func (s *sight) drainsKept() Verdict {
	v := Verdict{Rule: "drains kept", What: "sends"}
	closed := map[string][]Told{}
	for _, t := range s.Told {
		if t.State != "ready" {
			closed[t.Brick] = append(closed[t.Brick], t)
		}
	}
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		v.Checked++
		for _, t := range closed[a.Brick] {
			if t.Host != a.Host || t.Until != 0 && a.At > t.Until {
				continue
			}
			if late := a.At - (s.heard(&t) + s.Figures.DrainGrace); late > 0 {
				v.fault("request %s: to %s, %s, %d us after the grace", a.Request, a.Brick, t.State, late)
			}
		}
	}
	return v
}

// heard returns by when a host has heard what it was told: one that stood
// still, after that.
func (s *sight) heard(t *Told) Micros {
	at := t.At
	for _, st := range s.Stills {
		if st.Host == t.Host && st.From <= at+s.Figures.ToldWithin && st.To > at {
			at = st.To
		}
	}
	return at + s.Figures.ToldWithin
}

// coldSpared is rule 4: what all hosts send a cold brick within the span stays
// under the multiple of what it can do, or under what it always bears.
func (s *sight) coldSpared() Verdict {
	v := Verdict{Rule: "cold bricks spared", What: "sends to cold bricks"}
	f := &s.Figures
	if f.WarmWithin == 0 {
		return v
	}
	for _, c := range s.Capacities {
		var window []*Arrival
		sum := 0.0
		for i := range s.Arrivals {
			a := &s.Arrivals[i]
			age := a.At - c.Started
			if a.Brick != c.Brick || a.Started != c.Started || age < 0 || age > f.WarmWithin {
				continue
			}
			v.Checked++
			window = append(window, a)
			sum += a.Units
			for window[0].At <= a.At-f.ColdSpan {
				sum -= window[0].Units
				window = window[1:]
			}
			can := f.ColdFrom + (1-f.ColdFrom)*float64(max(0, age-f.ColdSpan))/float64(f.WarmWithin)
			bears := max(f.ColdUnits, f.ColdMultiple*can*c.UnitsPerSec*float64(f.ColdSpan)/1e6)
			if sum > bears+1e-6 {
				v.fault("%s, %d us after its start: %.2f units in the span, it bears %.2f", c.Brick, age, sum, bears)
			}
		}
	}
	return v
}

// orderKept is rule 5: writes of one object through one host run one at a
// time, and rest after one whose end is not known.
func (s *sight) orderKept() Verdict {
	v := Verdict{Rule: "order kept", What: "ordered writes"}
	if !s.Figures.Ordered {
		return v
	}
	type place struct {
		host int
		name string
	}
	last := map[place]int{}
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		if a.Space != "o" || a.Key == "" {
			continue
		}
		v.Checked++
		at := place{a.Host, a.Name}
		j, ok := last[at]
		last[at] = i
		if !ok || s.ids[j].task == s.ids[i].task || runOf(s.ids[j].run) != runOf(s.ids[i].run) {
			continue // a request's own attempts, or a host started anew
		}
		before := &s.Arrivals[j]
		free := before.Ended
		if before.Status == 0 {
			free += s.Figures.OrderGap
		}
		if a.At+s.Figures.Slack/10 < free {
			v.fault("request %s: %d us before %s was over", a.Request, free-a.At, before.Request)
		}
	}
	return v
}

// runOf returns HOST-RUN of HOST-RUN-SEQUENCE.
func runOf(run string) string {
	if i := strings.LastIndexByte(run, '-'); i >= 0 {
		return run[:i]
	}
	return run
}

// resendsBudgeted is rule 6: in any span, the attempts of a host beyond each
// request's first stay within a few and a share of the requests that it took.
func (s *sight) resendsBudgeted() Verdict {
	v := Verdict{Rule: "resends budgeted", What: "further attempts"}
	f := &s.Figures
	if f.ResendSpan == 0 {
		return v
	}
	hosts := map[string][]int{} // arrivals by run of a host
	for i := range s.Arrivals {
		run := runOf(s.ids[i].run)
		hosts[run] = append(hosts[run], i)
	}
	for run, list := range hosts {
		s.checkBudget(run, list, &v)
	}
	return v
}

func (s *sight) checkBudget(run string, list []int, v *Verdict) {
	f := &s.Figures
	host := s.Arrivals[list[0]].Host
	var calls []Micros // requests of clients that may never have reached a brick
	for i := range s.Calls {
		if c := &s.Calls[i]; c.Host == host && c.Sent > 0 {
			calls = append(calls, c.Sent)
		}
	}
	slices.Sort(calls)
	var resends, firsts []Micros
	for _, i := range list {
		a := &s.Arrivals[i]
		if s.ids[i].attempt == 0 {
			firsts = append(firsts, a.At)
			continue
		}
		v.Checked++
		resends = append(resends, a.At)
		from := a.At - f.ResendSpan
		made := float64(after(resends, from))
		// What is sent on a socket was taken a little before it arrived there.
		taken := float64(max(after(firsts, from-f.Slack), after(calls, from-f.Slack)-after(calls, a.At)))
		if made > f.ResendFree+f.ResendRatio*taken {
			v.fault("host %s: %.0f further attempts in the span for %.0f requests", run, made, taken)
		}
	}
}

// after counts the times that are later than from; times are in order.
func after(times []Micros, from Micros) int {
	i, _ := slices.BinarySearch(times, from+1)
	return len(times) - i
}

// limitsKept is rule 7: what all hosts together send first for a volume stays
// inside its limit.
func (s *sight) limitsKept() Verdict {
	v := Verdict{Rule: "limits kept", What: "first sends of limited volumes"}
	type store struct {
		units float64
		at    Micros
	}
	stores := map[uint64]*store{}
	seen := map[string]bool{}
	for i := range s.Arrivals {
		a := &s.Arrivals[i]
		limit, ok := s.Figures.Limits[a.Volume]
		if !ok || seen[s.ids[i].task] {
			continue
		}
		seen[s.ids[i].task] = true
		v.Checked++
		st := stores[a.Volume]
		if st == nil {
			st = &store{limit.Burst, a.At}
			stores[a.Volume] = st
		}
		st.units = min(limit.Burst, st.units+limit.Rate*float64(a.At-st.at)/1e6) - a.Units
		st.at = a.At
		if st.units < -limit.Slack-1e-6 {
			v.fault("request %s: volume %d is %.2f units over its limit", a.Request, a.Volume, -st.units)
		}
	}
	return v
}
