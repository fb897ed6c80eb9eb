// Package experiment runs a grid of scenarios, variants and seeds on the
// emulator, in parallel on all cores, or on real gateways. It stores each
// result when its run ends, resumes an interrupted experiment, and reports the
// differences that the results support.
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

// Spec is an experiment as written in its JSON file.
type Spec struct {
	Name      string    `json:"name"`
	About     string    `json:"about,omitempty"`
	Scenarios []string  `json:"scenarios,omitempty"` // names of library scenarios, or files
	Seeds     int       `json:"seeds"`               // seeds 1 to Seeds are run
	Variants  []Variant `json:"variants"`            // each is compared with the first one
	Figures   []string  `json:"figures"`             // figures to compare; the first is the main one
	Workers   int       `json:"workers,omitempty"`   // concurrent runs; 0: one per core
	Live      *Live     `json:"live,omitempty"`      // replaces Scenarios
}

// Variant is one configuration of the grid.
type Variant struct {
	Name      string          `json:"name"`
	Overrides json.RawMessage `json:"set,omitempty"` // merged into the scenario, or for live experiments into the settings, object by object
}

// Parse parses and validates an experiment. Errors name the invalid field.
func Parse(text []byte) (*Spec, error) {
	s := &Spec{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	invalid := func(field string, problem string) error {
		return fmt.Errorf("experiment %q: %s: %s", s.Name, field, problem)
	}
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, "/\\"):
		return nil, invalid("name", "must be a plain name")
	case (len(s.Scenarios) == 0) == (s.Live == nil):
		return nil, invalid("scenarios, live", "must have exactly one of them")
	case s.Seeds < 1 || s.Seeds > 10_000:
		return nil, invalid("seeds", "must be 1 to 10000")
	case len(s.Variants) == 0:
		return nil, invalid("variants", "must have at least one")
	case len(s.Figures) == 0:
		return nil, invalid("figures", "must name at least one")
	}
	known := scenario.FigureNames
	if s.Live != nil {
		known = liveFigureNames
	}
	for i, name := range s.Figures {
		if !slices.Contains(known, name) {
			return nil, invalid(fmt.Sprintf("figures/%d", i), fmt.Sprintf("unknown figure %q, must be one of %v", name, known))
		}
	}
	if s.Live != nil {
		return s, s.validateLive()
	}
	for _, name := range s.Scenarios {
		for i := range s.Variants {
			if _, err := s.buildScenario(name, i); err != nil {
				return nil, fmt.Errorf("experiment %q: variants/%d: %w", s.Name, i, err)
			}
		}
	}
	return s, nil
}

// validateLive validates an experiment on real gateways.
func (s *Spec) validateLive() error {
	s.Scenarios, s.Workers = []string{liveScenarioName}, 1
	if err := s.Live.validate(); err != nil {
		return fmt.Errorf("experiment %q: %w", s.Name, err)
	}
	for i := range s.Variants {
		if _, err := s.buildConfig(i); err != nil {
			return fmt.Errorf("experiment %q: variants/%d: %w", s.Name, i, err)
		}
	}
	return nil
}

// buildScenario returns the named scenario with the overrides of variant i.
func (s *Spec) buildScenario(name string, i int) (*scenario.Scenario, error) {
	sc, err := scenario.Find(name)
	if err != nil {
		return nil, err
	}
	if len(s.Variants[i].Overrides) == 0 {
		return sc, nil
	}
	text, err := mergeJSON(sc, s.Variants[i].Overrides)
	if err != nil {
		return nil, err
	}
	return scenario.Parse(text)
}

// mergeJSON returns base as JSON with the fields of set replacing its own.
func mergeJSON(base any, set json.RawMessage) ([]byte, error) {
	text, err := json.Marshal(base)
	if err != nil {
		return nil, err
	}
	var baseFields, setFields map[string]any
	if err := json.Unmarshal(text, &baseFields); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(set, &setFields); err != nil {
		return nil, fmt.Errorf("set: %w", err)
	}
	mergeObjects(baseFields, setFields)
	return json.Marshal(baseFields)
}

// mergeObjects merges src into dst recursively.
func mergeObjects(dst, src map[string]any) {
	for k, v := range src {
		dstObject, dstOK := dst[k].(map[string]any)
		srcObject, srcOK := v.(map[string]any)
		if dstOK && srcOK {
			mergeObjects(dstObject, srcObject)
		} else {
			dst[k] = v
		}
	}
}

// Row is the result of one run.
type Row struct {
	Scenario        string             `json:"scenario"`
	Variant         string             `json:"variant"`
	Seed            uint64             `json:"seed"`
	Hash            string             `json:"hash"`
	Violations      int                `json:"broken"` // number of rule violations
	Figures         map[string]float64 `json:"figures"`
	DurationSeconds float64            `json:"took_s"`
	Events          int64              `json:"events"`
}

// gridRun identifies one run of the grid.
type gridRun struct {
	scenario string
	variant  int
	seed     uint64
}

// bucketName is the name of the database bucket that holds the rows.
var bucketName = []byte("rows")

// Run runs the part of the grid that is not stored yet, and returns all rows in
// the order of the grid. progress, if not nil, is called after each run.
// Results are stored in a database in dir.
func Run(s *Spec, dir string, progress func(done, total int, row *Row)) ([]Row, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	db, err := bolt.Open(filepath.Join(dir, s.Name+".db"), 0o644, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("experiment %s: %w", s.Name, err)
	}
	defer db.Close()
	rows, err := loadRows(db)
	if err != nil {
		return nil, err
	}
	var grid, pending []gridRun
	for _, name := range s.Scenarios {
		for v := range s.Variants {
			for seed := range s.Seeds {
				run := gridRun{name, v, uint64(seed + 1)}
				grid = append(grid, run)
				if _, ok := rows[s.key(run)]; !ok {
					pending = append(pending, run)
				}
			}
		}
	}
	if err := s.runAll(db, pending, rows, len(grid), progress); err != nil {
		return nil, err
	}
	out := make([]Row, 0, len(grid))
	for _, run := range grid {
		out = append(out, rows[s.key(run)])
	}
	return out, nil
}

// key returns the key of a run in the database. It includes the variant's
// overrides, so a changed variant is run again.
func (s *Spec) key(run gridRun) string {
	return fmt.Sprintf("%s|%s|%s|%d", run.scenario, s.Variants[run.variant].Name, s.Variants[run.variant].Overrides, run.seed)
}

// loadRows returns all stored rows by key.
func loadRows(db *bolt.DB) (map[string]Row, error) {
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

// runAll runs the pending part of the grid with a pool of workers, and stores
// each row in the database and in rows. It stops at the first error.
func (s *Spec) runAll(db *bolt.DB, pending []gridRun, rows map[string]Row, total int, progress func(done, total int, row *Row)) error {
	workers := s.Workers
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	type result struct {
		run gridRun
		row Row
		err error
	}
	jobs, results := make(chan gridRun), make(chan result)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for run := range jobs {
				row, err := s.runOnce(run)
				results <- result{run, row, err}
			}
		}()
	}
	stop := make(chan struct{})
	go func() {
		defer close(jobs)
		for _, run := range pending {
			select {
			case jobs <- run:
			case <-stop:
				return
			}
		}
	}()
	go func() {
		wg.Wait()
		close(results)
	}()
	var firstErr error
	for res := range results {
		if res.err == nil {
			res.err = saveRow(db, s.key(res.run), &res.row)
		}
		if res.err != nil {
			if firstErr == nil {
				firstErr = res.err
				close(stop)
			}
			continue
		}
		rows[s.key(res.run)] = res.row
		if progress != nil {
			progress(len(rows), total, &res.row)
		}
	}
	return firstErr
}

// saveRow stores a row in the database.
func saveRow(db *bolt.DB, key string, r *Row) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketName).Put([]byte(key), text) })
}

// runOnce runs one element of the grid.
func (s *Spec) runOnce(run gridRun) (Row, error) {
	if s.Live != nil {
		return s.runLive(run)
	}
	sc, err := s.buildScenario(run.scenario, run.variant)
	if err != nil {
		return Row{}, err
	}
	began := time.Now()
	sim, err := emul.New(sc, run.seed)
	if err != nil {
		return Row{}, err
	}
	r, err := sim.Run()
	if err != nil {
		return Row{}, fmt.Errorf("%s, seed %d: %w", run.scenario, run.seed, err)
	}
	return Row{Scenario: run.scenario, Variant: s.Variants[run.variant].Name, Seed: run.seed, Hash: r.Hash, Violations: len(r.Violations),
		Figures: r.Figures, DurationSeconds: time.Since(began).Seconds(), Events: r.Events}, nil
}

// errNoRows is returned for a report without rows.
var errNoRows = errors.New("experiment: no rows")
