// Package experiment plays a grid of settings and seeds over the emulator on
// all cores, keeps each result as it comes, goes on where a killed run ended,
// and reports what can be told from it.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"

	"arrowwalk/internal/emul"
	"arrowwalk/internal/emul/scenario"
)

// Spec is an experiment as it is written down.
type Spec struct {
	Name      string    `json:"name"`
	About     string    `json:"about,omitempty"`
	Scenarios []string  `json:"scenarios,omitempty"` // names of the library, or files
	Seeds     int       `json:"seeds"`               // 1 to so many
	Variants  []Variant `json:"variants"`            // compared with the first
	Figures   []string  `json:"figures"`             // what is compared; the first decides
	Workers   int       `json:"workers,omitempty"`
	Live      *Live     `json:"live,omitempty"` // in place of scenarios
}

// Variant is one setting of the grid: fields of the scenario that differ.
type Variant struct {
	Name      string          `json:"name"`
	Overrides json.RawMessage `json:"set,omitempty"` // merged into the scenario, object by object
}

// Parse reads an experiment. Errors name the field at fault.
func Parse(text []byte) (*Spec, error) {
	f := &Spec{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	bad := func(field string, why string) error { return fmt.Errorf("experiment %q: %s: %s", f.Name, field, why) }
	switch {
	case f.Name == "" || strings.ContainsAny(f.Name, "/\\"):
		return nil, bad("name", "must be a plain name")
	case (len(f.Scenarios) == 0) == (f.Live == nil):
		return nil, bad("scenarios, live", "must have one of the two")
	case f.Seeds < 1 || f.Seeds > 10_000:
		return nil, bad("seeds", "must be 1 to 10000")
	case len(f.Variants) == 0:
		return nil, bad("variants", "must have one at least")
	case len(f.Figures) == 0:
		return nil, bad("figures", "must name one at least")
	}
	known := scenario.FigureNames
	if f.Live != nil {
		known = liveFigures
	}
	for i, name := range f.Figures {
		if !slices.Contains(known, name) {
			return nil, bad(fmt.Sprintf("figures/%d", i), fmt.Sprintf("%q is not known: %v", name, known))
		}
	}
	if f.Live != nil {
		return f, f.checkLive()
	}
	for _, name := range f.Scenarios {
		for i := range f.Variants {
			if _, err := f.variant(name, i); err != nil {
				return nil, fmt.Errorf("experiment %q: variants/%d: %w", f.Name, i, err)
			}
		}
	}
	return f, nil
}

// checkLive finds what is wrong with an experiment on real gateways.
func (f *Spec) checkLive() error {
	f.Scenarios, f.Workers = []string{liveScenario}, 1
	if err := f.Live.check(); err != nil {
		return fmt.Errorf("experiment %q: %w", f.Name, err)
	}
	for i := range f.Variants {
		if _, err := f.settings(i); err != nil {
			return fmt.Errorf("experiment %q: variants/%d: %w", f.Name, i, err)
		}
	}
	return nil
}

// variant returns a scenario with a variant's fields.
func (f *Spec) variant(name string, i int) (*scenario.Scenario, error) {
	sc, err := scenario.Find(name)
	if err != nil {
		return nil, err
	}
	if len(f.Variants[i].Overrides) == 0 {
		return sc, nil
	}
	text, err := merged(sc, f.Variants[i].Overrides)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(text)
}

// merged returns base as JSON with the fields of set in place of its own.
func merged(base any, set json.RawMessage) ([]byte, error) {
	text, err := json.Marshal(base)
	if err != nil {
		return nil, err
	}
	var whole, part map[string]any
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(set, &part); err != nil {
		return nil, fmt.Errorf("set: %w", err)
	}
	merge(whole, part)
	return json.Marshal(whole)
}

func merge(into, from map[string]any) {
	for k, v := range from {
		a, ok1 := into[k].(map[string]any)
		b, ok2 := v.(map[string]any)
		if ok1 && ok2 {
			merge(a, b)
		} else {
			into[k] = v
		}
	}
}

// Row is what one run showed.
type Row struct {
	Scenario        string             `json:"scenario"`
	Variant         string             `json:"variant"`
	Seed            uint64             `json:"seed"`
	Hash            string             `json:"hash"`
	Violations      int                `json:"broken"`
	Figures         map[string]float64 `json:"figures"`
	DurationSeconds float64            `json:"took_s"`
	Events          int64              `json:"events"`
}

// cell is one run of the grid.
type cell struct {
	scenario string
	variant  int
	seed     uint64
}

var bucketName = []byte("rows")

// Run plays what of the grid is not in the store yet, and returns all rows in
// the order of the grid. progress is told of each row.
func Run(f *Spec, dir string, progress func(done, all int, row *Row)) ([]Row, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	db, err := bolt.Open(filepath.Join(dir, f.Name+".db"), 0o644, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", f.Name, err)
	}
	defer db.Close()
	kept, err := rows(db)
	if err != nil {
		return nil, err
	}
	var grid, open []cell
	for _, name := range f.Scenarios {
		for v := range f.Variants {
			for seed := range f.Seeds {
				c := cell{name, v, uint64(seed + 1)}
				grid = append(grid, c)
				if _, ok := kept[f.key(c)]; !ok {
					open = append(open, c)
				}
			}
		}
	}
	if err := f.playAll(db, open, kept, len(grid), progress); err != nil {
		return nil, err
	}
	out := make([]Row, 0, len(grid))
	for _, c := range grid {
		out = append(out, kept[f.key(c)])
	}
	return out, nil
}

// key names a run: with what its variant sets, so that a changed one is played
// again.
func (f *Spec) key(c cell) string {
	return fmt.Sprintf("%s|%s|%s|%d", c.scenario, f.Variants[c.variant].Name, f.Variants[c.variant].Overrides, c.seed)
}

func rows(db *bolt.DB) (map[string]Row, error) {
	out := map[string]Row{}
	err := db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		return b.ForEach(func(k, v []byte) error {
			var r Row
			if err := json.Unmarshal(v, &r); err != nil {
				return fmt.Errorf("row %s: %w", k, err)
			}
			out[string(k)] = r
			return nil
		})
	})
	return out, err
}

func (f *Spec) playAll(db *bolt.DB, open []cell, kept map[string]Row, all int, progress func(done, all int, row *Row)) error {
	workers := f.Workers
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	type answer struct {
		cell cell
		row  Row
		err  error
	}
	todo, answers := make(chan cell), make(chan answer)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for c := range todo {
				row, err := f.play(c)
				answers <- answer{c, row, err}
			}
		}()
	}
	stop := make(chan struct{})
	go func() {
		defer close(todo)
		for _, c := range open {
			select {
			case todo <- c:
			case <-stop:
				return
			}
		}
	}()
	go func() {
		wg.Wait()
		close(answers)
	}()
	var failed error
	for a := range answers {
		if a.err == nil {
			a.err = keep(db, f.key(a.cell), &a.row)
		}
		if a.err != nil {
			if failed == nil {
				failed = a.err
				close(stop)
			}
			continue
		}
		kept[f.key(a.cell)] = a.row
		if progress != nil {
			progress(len(kept), all, &a.row)
		}
	}
	return failed
}

func keep(db *bolt.DB, key string, r *Row) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketName).Put([]byte(key), text) })
}

func (f *Spec) play(c cell) (Row, error) {
	if f.Live != nil {
		return f.playLive(c)
	}
	sc, err := f.variant(c.scenario, c.variant)
	if err != nil {
		return Row{}, err
	}
	began := time.Now()
	sim, err := emul.New(sc, c.seed)
	if err != nil {
		return Row{}, err
	}
	r, err := sim.Run()
	if err != nil {
		return Row{}, fmt.Errorf("%s, seed %d: %w", c.scenario, c.seed, err)
	}
	return Row{Scenario: c.scenario, Variant: f.Variants[c.variant].Name, Seed: c.seed, Hash: r.Hash, Violations: len(r.Violations),
		Figures: r.Figures, DurationSeconds: time.Since(began).Seconds(), Events: r.Events}, nil
}

var errNoRows = errors.New("experiment: no rows")
