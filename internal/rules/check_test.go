package rules

import (
	"fmt"
	"strings"
	"testing"
)

const ms = 1000

// good is a trace that keeps all rules; each bad one below changes one thing.
func good() *Trace {
	t := &Trace{Figures: Figures{Slack: 20 * ms, DrainGrace: 500 * ms, ToldWithin: 100 * ms, Window: 4000 * ms, OrderGap: 100 * ms,
		ColdFrom: 0.25, WarmWithin: 10_000 * ms, ColdMultiple: 4, ColdSpan: 1000 * ms, ColdUnits: 4,
		ResendFree: 2, ResendRatio: 0.1, ResendSpan: 10_000 * ms, Ordered: true,
		Limits: map[uint64]Limit{9: {Rate: 1, Burst: 5, Slack: 1}}}}
	for i := range int64(10) {
		at := (1000 + 10*i) * ms
		task := fmt.Sprintf("0-r-%d-%d", i, i)
		t.Arrivals = append(t.Arrivals, Arrival{At: at, Ended: at + 5*ms, Brick: "b1", Zone: "z1", Request: task + ".0", Method: "PUT",
			Space: "o", Name: fmt.Sprint("n", i%2), Volume: 1, Units: 1, Key: task, Status: 200, Stored: true})
		t.Calls = append(t.Calls, Call{Client: "c", Method: "PUT", Key: "k", Write: true, Sent: at - ms, Waits: 2500 * ms,
			Begun: at + 6*ms, Ended: at + 6*ms, Status: 200, ID: fmt.Sprintf("0-r-%d", i), Whole: true})
	}
	t.Arrivals = append(t.Arrivals, // a keyed write that was silent, sent again inside its zone and window
		Arrival{At: 3000 * ms, Ended: 4000 * ms, Brick: "b1", Zone: "z1", Request: "0-r-50-50.0", Space: "o", Name: "s", Key: "0-r-50-50", Stored: true},
		Arrival{At: 4100 * ms, Ended: 4110 * ms, Brick: "b1", Zone: "z1", Request: "0-r-50-50.1", Space: "o", Name: "s", Key: "0-r-50-50", Status: 200, Repeat: true},
		Arrival{At: 4300 * ms, Ended: 4310 * ms, Brick: "b1", Zone: "z1", Request: "0-r-51-51.0", Space: "o", Name: "s", Key: "0-r-51-51", Status: 200, Stored: true},
		Arrival{At: 5000 * ms, Ended: 5001 * ms, Brick: "cold", Zone: "z1", Started: 4500 * ms, Request: "0-r-52-52.0", Units: 4, Status: 200},
		Arrival{At: 5100 * ms, Ended: 5101 * ms, Brick: "b1", Volume: 9, Units: 5.5, Request: "0-r-53-53.0", Status: 200},
		Arrival{At: 6400 * ms, Ended: 6401 * ms, Brick: "drained", Request: "0-r-54-54.0", Status: 200})
	t.Told = []Told{{Host: 0, At: 6000 * ms, Brick: "drained", State: "draining"}, {Host: 0, At: 0, Brick: "b1", State: "ready"}}
	t.Capacities = []Capacity{{"cold", 4500 * ms, 4}}
	return t
}

func find(t *Trace, request string) *Arrival {
	for i := range t.Arrivals {
		if t.Arrivals[i].Request == request {
			return &t.Arrivals[i]
		}
	}
	return nil
}

// Each rule's check is seen to fail on a trace that breaks it, and no other
// rule's check does.
func TestEachRuleIsSeenToFail(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		spoil      func(t *Trace)
	}{
		{"good", "", func(*Trace) {}},
		{"no answer", "one answer", func(t *Trace) { t.Calls[3].Status, t.Calls[3].Begun = 0, 0 }},
		{"late answer", "one answer", func(t *Trace) { t.Calls[3].Begun += 3000 * ms }},
		{"second answer", "one answer", func(t *Trace) { t.Calls[3].Extra = true }},
		{"answered again", "one answer", func(t *Trace) { t.Calls[4].ID = t.Calls[3].ID }},
		{"wrong bytes", "one answer", func(t *Trace) { t.Calls[3].Wrong = true }},
		{"sent after the answer", "one answer", func(t *Trace) { t.Calls[3].Begun, t.Calls[3].Ended = t.Calls[3].Sent, t.Calls[3].Sent-30*ms }},
		{"refusal without advice", "one answer", func(t *Trace) {
			t.Calls[3].Status = 503
			find(t, "0-r-3-3.0").Status = 503
			find(t, "0-r-3-3.0").Stored = false
		}},
		{"id that makes no sense", "one answer", func(t *Trace) { find(t, "0-r-52-52.0").Request = "x" }},
		{"late though the host went on in time", "one answer", func(t *Trace) {
			t.Calls[3].Begun = t.Calls[3].Sent + 3000*ms
			t.Stills = []Still{{0, t.Calls[3].Sent - 10*ms, t.Calls[3].Sent + 2400*ms}}
		}},
		{"late at once after a stall", "", func(t *Trace) {
			t.Calls[3].Begun, t.Calls[3].Ended = t.Calls[3].Sent+5010*ms, t.Calls[3].Sent+5010*ms
			t.Stills = []Still{{0, t.Calls[3].Sent - 10*ms, t.Calls[3].Sent + 5000*ms}}
		}},
		{"late after a stall of another host", "one answer", func(t *Trace) {
			t.Calls[3].Begun, t.Calls[3].Ended = t.Calls[3].Sent+5010*ms, t.Calls[3].Sent+5010*ms
			t.Stills = []Still{{1, t.Calls[3].Sent - 10*ms, t.Calls[3].Sent + 5000*ms}}
		}},
		{"later after a stall", "one answer", func(t *Trace) {
			t.Calls[3].Begun, t.Calls[3].Ended = t.Calls[3].Sent+5030*ms, t.Calls[3].Sent+5030*ms
			t.Stills = []Still{{0, t.Calls[3].Sent - 10*ms, t.Calls[3].Sent + 5000*ms}}
		}},
		{"forsaken in a stall", "", func(t *Trace) {
			t.Calls[3].Status, t.Calls[3].Begun, t.Calls[3].Ended = 0, 0, t.Calls[3].Sent+4000*ms
			t.Stills = []Still{{0, t.Calls[3].Sent - 10*ms, t.Calls[3].Sent + 5000*ms}}
		}},
		{"cut in a stall, before its time", "one answer", func(t *Trace) {
			t.Calls[3].Status, t.Calls[3].Begun, t.Calls[3].Ended = 0, 0, t.Calls[3].Sent+400*ms
			t.Stills = []Still{{0, t.Calls[3].Sent - 10*ms, t.Calls[3].Sent + 5000*ms}}
		}},
		{"sent after a stall that outlasted the client", "one answer", func(t *Trace) {
			t.Calls[3].Begun, t.Calls[3].Ended = t.Calls[3].Sent+5010*ms, t.Calls[3].Sent+5010*ms
			t.Stills = []Still{{0, t.Calls[3].Sent - 10*ms, t.Calls[3].Sent + 5000*ms}}
			a := find(t, "0-r-3-3.0")
			a.At, a.Ended = t.Calls[3].Sent+5001*ms, t.Calls[3].Sent+5002*ms
			a.Name = "alone"
		}},
		{"other zone", "no effect twice", func(t *Trace) { find(t, "0-r-50-50.1").Zone = "z2" }},
		{"after the window", "no effect twice", func(t *Trace) { find(t, "0-r-50-50.0").At = 0 }},
		{"stored twice", "no effect twice", func(t *Trace) { find(t, "0-r-50-50.1").Stored = true }},
		{"refused though it ran", "no effect twice", func(t *Trace) { t.Calls[3].Status, t.Calls[3].RetryTold = 503, true }},
		{"drain", "drains kept", func(t *Trace) { find(t, "0-r-54-54.0").At = 6601 * ms }},
		{"cold", "cold bricks spared", func(t *Trace) { find(t, "0-r-52-52.0").Units = 4.5 }},
		{"overlap", "order kept", func(t *Trace) { find(t, "0-r-2-2.0").Ended = 1045 * ms }},
		{"no rest after a time-out", "order kept", func(t *Trace) { find(t, "0-r-50-50.1").Status = 0; find(t, "0-r-50-50.1").Ended = 4250 * ms }},
		{"resends", "resends budgeted", func(t *Trace) {
			for i := range 4 {
				find(t, fmt.Sprintf("0-r-%d-%d.0", 5+i, 5+i)).Request = fmt.Sprintf("0-r-%d-%d.1", 5+i, 5+i)
			}
		}},
		{"limit", "limits kept", func(t *Trace) { find(t, "0-r-53-53.0").Units = 6.1 }},
	} {
		trace := good()
		c.spoil(trace)
		for _, v := range Check(trace) {
			if broken := v.Count > 0; broken != (v.Rule == c.rule) {
				t.Errorf("%s: %s %v", c.name, v.String(), v.Broken)
			}
			if v.Checked == 0 {
				t.Errorf("%s: %s checked nothing", c.name, v.Rule)
			}
			if !strings.Contains(v.String(), fmt.Sprintf(", %d broken", v.Count)) {
				t.Errorf("line %q", v.String())
			}
		}
	}
}
