package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const text = `{"name":"two","about":"The module and a baseline.","scenarios":["quiet"],"seeds":6,"figures":["service","p99_ms"],
 "variants":[{"name":"module","set":{"seconds":8}},{"name":"even","set":{"policy":"even","seconds":8}}]}`

// A grid that is stopped goes on where it was, and its report says what it
// compared.
func TestGoesOn(t *testing.T) {
	f, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	half := *f
	half.Seeds = 2
	if _, err := Run(&half, dir, nil); err != nil {
		t.Fatal(err)
	}
	played := 0
	rows, err := Run(f, dir, func(done, all int, r *Row) {
		played++
		if all != 12 || done < 5 {
			t.Errorf("%d of %d", done, all)
		}
	})
	if err != nil || played != 8 || len(rows) != 12 {
		t.Fatalf("played %d, %d rows, %v", played, len(rows), err)
	}
	again, err := Run(f, t.TempDir(), nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range rows {
		if rows[i].Hash != again[i].Hash || rows[i].Seed != again[i].Seed {
			t.Errorf("row %d differs in another run", i)
		}
	}
	page, err := WriteReport(f, rows, filepath.Join(dir, "report"))
	if err != nil {
		t.Fatal(err)
	}
	out, err := os.ReadFile(page)
	if err != nil || !strings.Contains(string(out), "| quiet | even |") || !strings.Contains(string(out), "12 runs") {
		t.Errorf("%s, %v", out, err)
	}
	if svg, err := os.ReadFile(filepath.Join(dir, "report", "two-service.svg")); err != nil || !strings.Contains(string(svg), "<svg") {
		t.Errorf("no chart: %v", err)
	}
}

// What is wrong with an experiment is named.
func TestBadFiles(t *testing.T) {
	for from, to := range map[string]string{
		`"seeds":6`: `"seeds":0`, `"quiet"`: `"no-such-day"`, `"service"`: `"luck"`, `"policy":"even"`: `"polici":"even"`, `"name":"two"`: `"name":"../two"`, `"about"`: `"abaut"`,
	} {
		if _, err := Parse([]byte(strings.Replace(text, from, to, 1))); err == nil {
			t.Errorf("%s was taken", to)
		} else {
			t.Log(err)
		}
	}
}

// An experiment on real gateways starts one for each run.
func TestLive(t *testing.T) {
	f, err := Parse([]byte(`{"name":"live","seeds":1,"figures":["served","p99_ms"],"live":{"rate":80,"seconds":0.5,"sizes":[1000],"writes":0.3,"keys":3},
		"variants":[{"name":"default"},{"name":"small pieces","set":{"piece_bytes":65536}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Run(f, t.TempDir(), nil)
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
			t.Errorf("%s was taken", bad)
		}
	}
	if _, err := Parse([]byte(`{"name":"live","seeds":1,"figures":["served"],"live":{"rate":80,"seconds":1,"sizes":[1],"keys":3},"variants":[{"name":"a","set":{"piece_bites":1}}]}`)); err == nil || !strings.Contains(err.Error(), "variants/0") {
		t.Errorf("a setting that is not there: %v", err)
	}
}
