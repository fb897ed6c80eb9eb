package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot/plotter"

	"arrowwalk/internal/lab/charts"
	"arrowwalk/internal/lab/stats"
)

// WriteReport writes NAME.md with tables and verdicts, and a chart for each figure,
// into a directory. It returns the page's path.
func WriteReport(f *Spec, rows []Row, dir string) (string, error) {
	if len(rows) == 0 {
		return "", errNoRows
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n%s\n\n%s, %d seeds a cell; medians with 95%% intervals by bootstrap. Each variant is compared\n"+
		"with %q, seed by seed: a verdict needs the interval of the median difference to leave out 0\nand a sign test at 1 in 20.\n",
		f.Name, f.About, f.kind(), f.Seeds, f.Variants[0].Name)
	for _, figure := range f.Figures {
		fmt.Fprintf(&b, "\n## %s\n\n| scenario | variant | median | difference | verdict |\n| --- | --- | --- | --- | --- |\n", figure)
		for _, sc := range f.Scenarios {
			f.table(&b, rows, sc, figure)
		}
		name := f.Name + "-" + figure + ".svg"
		if err := f.chart(filepath.Join(dir, name), rows, figure); err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n![%s](%s)\n", figure, name)
	}
	broken, events, took := 0, int64(0), 0.0
	for _, r := range rows {
		broken, events, took = broken+r.Violations, events+r.Events, took+r.DurationSeconds
	}
	fmt.Fprintf(&b, "\n%d runs, %d events; %d places where a rule is broken", len(rows), events, broken)
	for _, r := range rows {
		if r.Violations > 0 {
			fmt.Fprintf(&b, "\n- %s, %s, seed %d: %d", r.Scenario, r.Variant, r.Seed, r.Violations)
		}
	}
	b.WriteString("\n")
	path := filepath.Join(dir, f.Name+".md")
	return path, os.WriteFile(path, []byte(b.String()), 0o644)
}

func (f *Spec) kind() string {
	if f.Live != nil {
		return "Real gateways on loopback"
	}
	return "Emulated"
}

// values are a figure's values of a scenario and variant, by seed.
func values(rows []Row, sc, variant, figure string) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Scenario == sc && r.Variant == variant {
			out = append(out, r.Figures[figure])
		}
	}
	return out
}

func (f *Spec) table(b *strings.Builder, rows []Row, sc, figure string) {
	first := values(rows, sc, f.Variants[0].Name, figure)
	for i, v := range f.Variants {
		own := values(rows, sc, v.Name, figure)
		difference, verdict := "", ""
		if i > 0 {
			c := stats.Compare(first, own, 1)
			difference, verdict = c.Difference.String(), string(c.Verdict)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", sc, v.Name, stats.BootstrapMedian(own, 1), difference, verdict)
	}
}

// chart draws a figure's distribution over scenarios and seeds.
func (f *Spec) chart(path string, rows []Row, figure string) error {
	var lines []charts.Series
	for _, v := range f.Variants {
		var all []float64
		for _, sc := range f.Scenarios {
			all = append(all, values(rows, sc, v.Name, figure)...)
		}
		points := make(plotter.XYs, 0, 101)
		for q := 0; q <= 100; q++ {
			points = append(points, plotter.XY{X: stats.Quantile(all, float64(q)/100), Y: float64(q) / 100})
		}
		lines = append(lines, charts.Series{Name: v.Name, Points: points})
	}
	return charts.Draw(path, figure+", all scenarios and seeds", figure, "part of the runs", lines)
}
