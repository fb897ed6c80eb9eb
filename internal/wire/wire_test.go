package wire

import (
	"io"
	"reflect"
	"strings"
	"testing"

	"arrowwalk"
)

const settingsJSON = `{"peersTotal":3,"ordinal":1,"zone":2,"periodUs":2000,"discovery":"subscribe","later":[1],` +
	`"categories":[{"name":"r","aimUs":400000,"deadlineUs":2500000,"repeat":"idempotency_key","dedupScope":"cell",` +
	`"windowUs":4000000,"worth":2,"lateWorth":0.2,"sequential":true}],` +
	`"familyInfo":{"changesData":[true],"coldBears":29,"mostUnits":6,"unitMean":2,"withinShare":0.3,"beyondShare":0.05},` +
	`"limits":{"maxAttempts":4,"cancel":true,"retryAfter":true,"maxRetryAfterUs":500000},` +
	`"rules":{"askEveryUs":10000000,"turnGapUs":100000,"freeResends":3,"repeatRatio":0.15,"resendSpanUs":5000000},` +
	`"serviceLevels":[{"name":"b","usualRate":3.6,"reservation":1,"parts":1,"worthFactor":0.8,"ceilingRate":7,"burst":12}]}`

// readBatch reads the first batch of a text.
func readBatch(t *testing.T, text string) (*Batch, error) {
	t.Helper()
	return NewReader(strings.NewReader(text)).ReadBatch()
}

func TestReadEvents(t *testing.T) {
	cases := []struct {
		lines string
		want  arrowwalk.Event
	}{
		{"UPDATE\thost-3\tdisk\t41\t1\nBRICK\t0\t6100000\t1.5\tfading\tbrick_a\t1\t0", &arrowwalk.NodeList{
			Kind: arrowwalk.ListStored, Version: 41, Nodes: []arrowwalk.Node{
				{ID: "brick_a", Zone: 1, State: arrowwalk.Draining, Started: 6100000}}}},
		{"UPDATE\thost-3\terror\t41\t0", &arrowwalk.NodeList{Kind: arrowwalk.ListFailed, Version: 41}},
		{"QUERY\thost-3\t156\t0\t1\t4569004829183723\t240000\t4050\t2\t0\t3\t3", &arrowwalk.Request{
			ID: 156, Volume: arrowwalk.Volume{ID: 4050, Plan: 1, Hosts: 3}, HasKey: true, Key: 4569004829183723,
			TimeLeft: 240000, Units: 2, IsRetry: true}},
		{"QUERY\thost-3\t156\t0\t1\t-\t240000\t4050\t2.5\t-1\t3\t1", &arrowwalk.Request{
			ID: 156, Volume: arrowwalk.Volume{ID: 4050, Plan: 1, Hosts: 3}, TimeLeft: 240000, Units: 2.5, Shard: -1}},
		{"DONE\thost-3\t156\t2\tbrick_a\t200\t18500\t1\t86\t3\t0.62,-", &arrowwalk.Outcome{
			Attempt: arrowwalk.Attempt{Request: 156, Number: 2, Node: "brick_a"}, Status: arrowwalk.OK,
			Latency: 18500, Closed: true, FleetUse: 86, OthersUnits: 3, Load: []float64{0.62, 0}}},
		{"DONE\thost-3\t156\t0\tbrick_a\t777\t1\t0\t-\t-\t-", &arrowwalk.Outcome{
			Attempt: arrowwalk.Attempt{Request: 156, Node: "brick_a"}, Status: arrowwalk.Unknown, Latency: 1}},
		{"PROBED\thost-3\t900\tbrick_a\t503\t4", &arrowwalk.ProbeResult{
			Node: "brick_a", Status: arrowwalk.Overloaded, Latency: 900, Load: []float64{4}}},
		{"UNDER_WAY\thost-3\t156\t1\t500\tbrick_a", &arrowwalk.StreamStarted{Request: 156, Attempt: 1, Node: "brick_a"}},
		{"ABANDONED\thost-3\t156", &arrowwalk.Abandoned{Request: 156}},
		{"DUE\thost-3\t77", &arrowwalk.TimerFired{Token: 77}},
	}
	for _, c := range cases {
		b, err := readBatch(t, "TICK\t8412250\n"+c.lines+"\nEOF_BATCH\n")
		if err != nil {
			t.Errorf("%q: %v", c.lines, err)
			continue
		}
		if b.Now != 8412250 || len(b.Messages) != 1 || b.Messages[0].Instance != "host-3" ||
			!reflect.DeepEqual(b.Messages[0].Event, c.want) {
			t.Errorf("%q: got %+v", c.lines, b.Messages[0].Event)
		}
	}
}

func TestReadSettings(t *testing.T) {
	b, err := readBatch(t, "TICK\t1\nOPEN_INSTANCE\thost-0\t99\t"+settingsJSON+"\nRETIRE\thost-0\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	got := b.Messages[0].Settings
	want := arrowwalk.Settings{
		Seed: 99, Host: 1, Hosts: 3, Zone: 2, Tick: 2000, Subscribe: true, MaxAttempts: 4, MaxRetryAfter: 500000,
		MeanUnits: 2, MostUnits: 6, ShareWorth: 0.3, SpareWorth: 0.05, Cancel: true,
		Classes: []arrowwalk.Class{{Name: "r", Aim: 400000, Deadline: 2500000, Worth: 2, LateWorth: 0.2,
			Repeat: arrowwalk.Keyed, Scope: arrowwalk.ScopeShard, Window: 4000000, Ordered: true, Writes: true}},
		Plans: []arrowwalk.Plan{{Name: "b", Rate: 3.6, Reserve: 1, Weight: 1, WorthFactor: 0.8, LimitRate: 7, LimitBurst: 12}},
		Rules: arrowwalk.Rules{MaxListInterval: 10000000, ColdUnits: 29, OrderGap: 100000, ResendFree: 3, ResendRatio: 0.15,
			ResendSpan: 5000000},
	}
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("got  %+v\nwant %+v", *got, want)
	}
	if !b.Messages[1].Stop {
		t.Error("RETIRE was not parsed as a stop")
	}
}

func TestMalformedInputNamesLineAndReason(t *testing.T) {
	cases := []struct{ text, want string }{
		{"TOCK\t1\n", `line 1: a batch starts with TICK, not "TOCK"`},
		{"TICK\tx\n", `line 1: TICK: bad integer "x"`},
		{"TICK\t1\nDUE\thost-1\n", "line 2: DUE: too few values"},
		{"TICK\t1\nDUE\thost-1\t1\t2\n", "line 2: DUE: too many values"},
		{"TICK\t1\nDUE\tguest-1\t1\n", `line 2: DUE: bad instance "guest-1"`},
		{"TICK\t1\nNEWS\thost-1\n", `line 2: unknown message "NEWS"`},
		{"TICK\t1\nDONE\thost-1\t1\t0\tb\t200\t1\tyes\t-\t-\t-\n", `line 2: DONE: bad bool "yes"`},
		{"TICK\t1\nUPDATE\thost-1\tdiff\t1\t1\nDUE\thost-1\t1\n", `line 3: a BRICK line is missing, got "DUE"`},
		{"TICK\t1\nUPDATE\thost-1\tsome\t1\t0\n", `line 2: UPDATE: bad kind of list "some"`},
		{"TICK\t1\nOPEN_INSTANCE\thost-1\t1\t{\n", "line 2: settings: unexpected end of JSON input"},
		{"TICK\t1\nDUE\thost-1\t1\n", "line 2: input ends inside a batch"},
		{"TICK\t1\nDUE\thost-1\t1", "line 2: input ends inside a line"},
	}
	for _, c := range cases {
		if _, err := readBatch(t, c.text); err == nil || err.Error() != c.want {
			t.Errorf("%q: got error %v, want %s", c.text, err, c.want)
		}
	}
	if _, err := readBatch(t, ""); err != io.EOF {
		t.Errorf("end of input between batches: got %v, want io.EOF", err)
	}
}

func TestPrintActions(t *testing.T) {
	cases := []struct {
		action arrowwalk.Action
		want   string
	}{
		{arrowwalk.Action{Kind: arrowwalk.Send, Request: 7, Delay: 80000, Node: "b"}, "PLACE\thost-3\t7\t80000\tb\n"},
		{arrowwalk.Action{Kind: arrowwalk.Refuse, Request: 7}, "TURN_AWAY\thost-3\t7\t0\n"},
		{arrowwalk.Action{Kind: arrowwalk.Fail, Request: 7}, "FINISH_ERROR\thost-3\t7\n"},
		{arrowwalk.Action{Kind: arrowwalk.SetTimer, Delay: 5, Token: 77}, "DEFER\thost-3\t5\t77\n"},
		{arrowwalk.Action{Kind: arrowwalk.Subscribe}, "TRACK\thost-3\t1\n"},
		{arrowwalk.Action{Kind: arrowwalk.Probe, Node: "b"}, "ASK_LOAD\thost-3\tb\n"},
		{arrowwalk.Action{Kind: arrowwalk.Cancel, Request: 7, Attempt: 2}, "WITHDRAW\thost-3\t7\t2\n"},
		{arrowwalk.Action{Kind: arrowwalk.Log, Text: "two\tservers\nknown"}, "RECORD\thost-3\ttwo servers known\n"},
	}
	for _, c := range cases {
		got, err := AppendAction(nil, "host-3", c.action)
		if err != nil || string(got) != c.want {
			t.Errorf("%+v: got %q, %v; want %q", c.action, got, err, c.want)
		}
	}
	if _, err := AppendAction(nil, "host-3", arrowwalk.Action{Kind: 99}); err == nil {
		t.Error("an unknown action was formatted without an error")
	}
}
