package main

import (
	"bytes"
	"strings"
	"testing"

	"arrowwalk"
)

// openInstance starts host-0 with one ready node, in three lines.
const openInstance = "OPEN_INSTANCE\thost-0\t1\t" + `{"peersTotal":1,"categories":[{"aimUs":400000,"deadlineUs":2500000,` +
	`"repeat":"read_like","worth":1}],"limits":{"maxAttempts":4},"serviceLevels":[{"usualRate":5,"parts":1}]}` + "\n" +
	"UPDATE\thost-0\tdisk\t1\t1\nBRICK\t0\t-\t1\ton\tbrick_a\t0\t0\n"

// runInput runs the program on an input and returns its output.
func runInput(input string) (string, error) {
	var out bytes.Buffer
	err := run(strings.NewReader(input), &out)
	return out.String(), err
}

func TestRun(t *testing.T) {
	query := "QUERY\thost-0\t5\t0\t0\t-\t2500000\t1\t2\t0\t1\t1\n"
	cases := []struct{ name, input, out, err string }{
		{"no input", "", "", ""},
		{"an empty batch", "TICK\t1\nEOF_BATCH\n", "READY\n", ""},
		{"a request", "TICK\t1\n" + openInstance + query + "EOF_BATCH\n",
			"DEFER\thost-0\t100000\t0\nDEFER\thost-0\t2500000\t21\nPLACE\thost-0\t5\t0\tbrick_a\nREADY\n", ""},
		{"a killed instance does nothing", "TICK\t1\n" + openInstance + query + "RETIRE\thost-0\nEOF_BATCH\n", "READY\n", ""},
		{"an unknown instance", "TICK\t1\nDUE\thost-9\t1\nEOF_BATCH\n", "", `line 2: unknown instance "host-9"`},
		{"a truncated batch", "TICK\t1\n" + openInstance, "", "line 4: input ends inside a batch"},
		{"invalid settings", "TICK\t1\nOPEN_INSTANCE\thost-0\t1\t{}\nEOF_BATCH\n",
			"FATAL\thost-0\tsettings: Hosts: bad value 0\nREADY\n", "host-0: settings: Hosts: bad value 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, err := runInput(c.input)
			got := ""
			if err != nil {
				got = err.Error()
			}
			if out != c.out || got != c.err {
				t.Errorf("got %q and error %q; want %q and %q", out, got, c.out, c.err)
			}
		})
	}
}

func TestPanicBecomesFault(t *testing.T) {
	_, err := step(&pendingEvents{instance: "host-0", events: timerEvent()}, 1)
	if err == nil || !strings.Contains(err.Error(), "host-0: panic") {
		t.Errorf("got error %v, want one with the instance and the panic", err)
	}
}

// timerEvent returns an event; passing it to a nil scheduler panics.
func timerEvent() []arrowwalk.Event { return []arrowwalk.Event{&arrowwalk.TimerFired{}} }
