package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const text = `{"name":"two","about":"The module and a baseline.","scenarios":["quiet"],"seeds":6,"figures":["service","p99_ms"],
 "variants":[{"name":"module","set":{"seconds":8}},{"name":"even","set":{"policy":"even","seconds":8}}]}`

// TestGoesOn checks that an interrupted experiment resumes with the missing
// runs only, that it gives the same rows as an uninterrupted one, and that its
// report holds the table and the chart.
func TestGoesOn(t *testing.T) {
	spec, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	half := *spec
	half.Seeds = 2
	if _, err := Run(&half, dir, nil); err != nil {
		t.Fatal(err)
	}
	newRuns := 0
	rows, err := Run(spec, dir, func(done, total int, r *Row) {
		newRuns++
		if total != 12 || done < 5 {
			t.Errorf("%d of %d", done, total)
		}
	})
	if err != nil || newRuns != 8 || len(rows) != 12 {
		t.Fatalf("%d runs, %d rows, error %v", newRuns, len(rows), err)
	}
	uninterrupted, err := Run(spec, t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range rows {
		if rows[i].Hash != uninterrupted[i].Hash || rows[i].Seed != uninterrupted[i].Seed {
			t.Errorf("row %d differs from that of an uninterrupted run", i)
		}
	}
	page, err := WriteReport(spec, rows, filepath.Join(dir, "report"))
	if err != nil {
		t.Fatal(err)
	}
	out, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(out), "| quiet | even |") || !strings.Contains(string(out), "12 runs") {
		t.Errorf("%s, %v", out, err)
	}
	if svg, err := os.ReadFile(filepath.Join(dir, "report", "two-service.svg")); err != nil || !strings.Contains(string(svg), "<svg") {
		t.Errorf("no chart, error %v", err)
	}
}

// TestBadFiles checks that an invalid experiment is rejected.
func TestBadFiles(t *testing.T) {
	for from, to := range map[string]string{
		`"seeds":6`: `"seeds":0`, `"quiet"`: `"no-such-day"`, `"service"`: `"luck"`, `"policy":"even"`: `"polici":"even"`, `"name":"two"`: `"name":"../two"`, `"about"`: `"abaut"`,
	} {
		if _, err := Parse([]byte(strings.Replace(text, from, to, 1))); err == nil {
			t.Errorf("%s was accepted", to)
		} else {
			t.Log(err)
		}
	}
}

// TestLive checks that a live experiment starts a gateway for each run, and
// that invalid live parameters and settings are rejected.
func TestLive(t *testing.T) {
	spec, err := Parse([]byte(`{"name":"live","seeds":1,"figures":["served","p99_ms"],"live":{"rate":80,"seconds":0.5,"sizes":[1000],"writes":0.3,"keys":3},
		"variants":[{"name":"default"},{"name":"small pieces","set":{"piece_bytes":65536}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Run(spec, t.TempDir(), nil)
	if err != nil || len(rows) != 2 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	for _, r := range rows {
		if r.Figures["served"] < 0.9 || r.Figures["p99_ms"] <= 0 {
			t.Errorf("%+v", r)
		}
	}
	for _, bad := range []string{`"rate":0`, `"sizes":[]`, `"keys":0`, `"writes":2`} {
		text := `{"name":"live","seeds":1,"figures":["served"],"variants":[{"name":"a"}],"live":{"rate":80,"seconds":1,"sizes":[1],"writes":0,"keys":3,` + bad + `}}`
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
	if _, err := Parse([]byte(`{"name":"live","seeds":1,"figures":["served"],"live":{"rate":80,"seconds":1,"sizes":[1],"keys":3},"variants":[{"name":"a","set":{"piece_bites":1}}]}`)); err == nil || !strings.Contains(err.Error(), "variants/0") {
		t.Errorf("unknown setting: error %v does not name variants/0", err)
	}
}
