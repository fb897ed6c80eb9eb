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

// WriteReport writes a Markdown page with tables and verdicts, and a chart per
// figure, into dir. It returns the path of the page.
func WriteReport(s *Spec, rows []Row, dir string) (string, error) {
	if len(rows) == 0 {
		return "", errNoRows
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# %s\n\n%s\n\n%s, %d seeds per cell; medians with 95%% intervals by bootstrap. Each variant is compared\n"+
		"with %q, seed by seed: a verdict requires that the interval of the median difference excludes 0\nand that the sign test is significant at 0.05.\n",
		s.Name, s.About, s.environment(), s.Seeds, s.Variants[0].Name)
	for _, figure := range s.Figures {
		fmt.Fprintf(&page, "\n## %s\n\n| scenario | variant | median | difference | verdict |\n| --- | --- | --- | --- | --- |\n", figure)
		for _, sc := range s.Scenarios {
			s.writeTable(&page, rows, sc, figure)
		}
		name := s.Name + "-" + figure + ".svg"
		if err := s.drawChart(filepath.Join(dir, name), rows, figure); err != nil {
			return "", err
		}
		fmt.Fprintf(&page, "\n![%s](%s)\n", figure, name)
	}
	broken, events, took := 0, int64(0), 0.0
	for _, r := range rows {
		broken, events, took = broken+r.Violations, events+r.Events, took+r.DurationSeconds
	}
	fmt.Fprintf(&page, "\n%d runs, %d events; %d rule violations", len(rows), events, broken)
	for _, r := range rows {
		if r.Violations > 0 {
			fmt.Fprintf(&page, "\n- %s, %s, seed %d: %d", r.Scenario, r.Variant, r.Seed, r.Violations)
		}
	}
	page.WriteString("\n")
	path := filepath.Join(dir, s.Name+".md")
	return path, os.WriteFile(path, []byte(page.String()), 0o644)
}

// environment describes where the runs took place.
func (s *Spec) environment() string {
	if s.Live != nil {
		return "Real gateways on loopback"
	}
	return "Emulated"
}

// values returns a figure of all runs of a scenario and variant, in the order
// of their seeds.
func values(rows []Row, sc, variant, figure string) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Scenario == sc && r.Variant == variant {
			out = append(out, r.Figures[figure])
		}
	}
	return out
}

// writeTable writes the rows of a table for one scenario.
func (s *Spec) writeTable(page *strings.Builder, rows []Row, sc, figure string) {
	baseline := values(rows, sc, s.Variants[0].Name, figure)
	for i, v := range s.Variants {
		current := values(rows, sc, v.Name, figure)
		difference, verdict := "", ""
		if i > 0 {
			c := stats.Compare(baseline, current, 1)
			difference, verdict = c.Difference.String(), string(c.Verdict)
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s |\n", sc, v.Name, stats.BootstrapMedian(current, 1), difference, verdict)
	}
}

// drawChart draws the distribution of a figure over all scenarios and seeds, by
// variant.
func (s *Spec) drawChart(path string, rows []Row, figure string) error {
	var lines []charts.Series
	for _, v := range s.Variants {
		var figures []float64
		for _, sc := range s.Scenarios {
			figures = append(figures, values(rows, sc, v.Name, figure)...)
		}
		points := make(plotter.XYs, 0, 101)
		for percent := 0; percent <= 100; percent++ {
			points = append(points, plotter.XY{X: stats.Quantile(figures, float64(percent)/100), Y: float64(percent) / 100})
		}
		lines = append(lines, charts.Series{Name: v.Name, Points: points})
	}
	return charts.Draw(path, figure+", all scenarios and seeds", figure, "fraction of the runs", lines)
}
