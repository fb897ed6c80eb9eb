package scenario

import (
	"strings"
	"testing"
)

// TestBadScenarios checks that an invalid scenario is rejected with an error
// that names the field.
func TestBadScenarios(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                              "scenario",
		`{"name":"x"}`:                   "seconds",
		`{"name":"x","seconds":"y"}`:     "/seconds",
		`{"name":"x","seconds":5,"a":1}`: "a",
		`{"name":"x","seconds":5,"timeline":[{"at":1,"kind":"rain"}]}`:              "timeline/0/kind",
		`{"name":"x","seconds":5,"timeline":[{"at":9,"kind":"slow"}]}`:              "timeline/0/at",
		`{"name":"x","seconds":5,"timeline":[{"at":1,"kind":"cut_list","zone":9}]}`: "timeline/0/zone",
		`{"name":"x","seconds":5,"site":{"delay_us":[5,1]}}`:                        "site/delay_us",
		`{"name":"x","seconds":5,"load":{"read":{"share":0.9}}}`:                    "share",
		`{"name":"x","seconds":5,"claims":[{"figure":"luck"}]}`:                     "claims/0/figure",
		`{"name":"x","seconds":5,"claims":[{}]}`:                                    "claims/0",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	if _, err := Find("no-such-day"); err == nil || !strings.Contains(err.Error(), "quiet") {
		t.Errorf("unknown scenario: error %v does not list the library", err)
	}
}

// TestDefaults checks that fields that are not set keep their defaults.
func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(`{"name":"x","seconds":5,"site":{"hosts":3}}`))
	if err != nil || s.Site.Hosts != 3 || s.Site.Bricks != Default().Site.Bricks || s.Load.Read.AimMS != Default().Load.Read.AimMS {
		t.Errorf("%+v, %v", s, err)
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range Names() {
		text, err := library.ReadFile("library/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err == nil && (s.Seconds <= 0 || s.Site.Hosts < 1 || s.Site.Bricks < 1) {
			t.Errorf("accepted an invalid scenario: %+v", s)
		}
	})
}
