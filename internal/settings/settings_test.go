package settings

import (
	"fmt"
	"strings"
	"testing"

	"arrowwalk"
)

const text = `{"peersTotal":3,"zones":["a","b"],"blend":{"whole":0.6},"later":1,"clients":{"marksRetry":true,"more":2},
 "categories":[{"name":"r","aimUs":1,"deadlineUs":2,"repeat":"read_like","colour":"red"},{"name":"s","repeat":"read_like","colour":"red"}],
 "limits":{"retryAfter":false,"maxRetryAfterUs":9,"connectTimeoutUs":250000,"idleCloseUs":15000000,"maxOpen":7,"cpuUsPerS":1},
 "familyInfo":{"shards":4},"rules":{"answerSlackUs":8000,"novel":{"x":1}}}`

// TestParse checks that the settings of the host are parsed, and that every
// unknown key is listed once, by its path.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(text), 5)
	if err != nil {
		t.Fatal(err)
	}
	if s.Seed != 5 || s.Shards != 4 || s.MaxRetryAfter != 0 || s.DialTimeout != 250_000 || s.IdleClose != 15_000_000 || s.MaxOpen != 7 ||
		len(s.Zones) != 2 || s.Classes[0].Repeat != arrowwalk.Safe {
		t.Errorf("%+v", s)
	}
	if got := fmt.Sprint(s.Unknown); got != "[categories.colour later rules.novel]" {
		t.Errorf("unknown keys: %s", got)
	}
}

func TestParseNamesTheField(t *testing.T) {
	for _, c := range []struct{ old, new, message string }{
		{`"peersTotal":3`, `"peersTotal":"x"`, "peersTotal"},
		{`"read_like","colour":"red"},{`, `"odd"},{`, `category "r"`},
		{`"familyInfo"`, `"familyInfo":7,"f"`, "FamilyInfo"},
		{`{"peersTotal"`, `{`, "settings"},
	} {
		if _, err := Parse([]byte(strings.Replace(text, c.old, c.new, 1)), 1); err == nil || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}
