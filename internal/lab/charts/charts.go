// Package charts draws what runs and experiments showed, as SVG.
package charts

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"arrowwalk/internal/emul"
)

// Series is a named series of points.
type Series struct {
	Name   string
	Points plotter.XYs
}

var colors = []color.RGBA{
	{0x1b, 0x6c, 0xa8, 0xff}, {0xd9, 0x5f, 0x02, 0xff}, {0x2c, 0x8c, 0x4b, 0xff}, {0x8e, 0x44, 0x9c, 0xff},
	{0xa0, 0x82, 0x2c, 0xff}, {0x55, 0x55, 0x55, 0xff}, {0xc0, 0x39, 0x5b, 0xff}, {0x20, 0x9a, 0x9a, 0xff},
}

// Draw writes lines into an SVG file.
func Draw(path, title, x, y string, lines []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		if len(l.Points) == 0 {
			continue
		}
		line, err := plotter.NewLine(l.Points)
		if err != nil {
			return fmt.Errorf("chart %s: %w", title, err)
		}
		line.Color, line.Width = colors[i%len(colors)], vg.Points(1.2)
		if i >= len(colors) {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		p.Add(line)
		if len(lines) <= 12 {
			p.Legend.Add(l.Name, line)
		}
	}
	if err := p.Save(7*vg.Inch, 3.2*vg.Inch, path); err != nil {
		return fmt.Errorf("chart %s: %w", title, err)
	}
	return nil
}

func points(n int, at func(int) (x, y float64)) plotter.XYs {
	out := make(plotter.XYs, n)
	for i := range out {
		out[i].X, out[i].Y = at(i)
	}
	return out
}

// DrawRun draws the charts of a run into a directory, and returns their names.
func DrawRun(dir string, r *emul.Result) ([]string, error) {
	sec := func(name string, of func(*emul.SecondTotals) float64) Series {
		return Series{name, points(len(r.Seconds), func(i int) (float64, float64) { return float64(i), of(&r.Seconds[i]) })}
	}
	var queues, outs []Series
	if len(r.Samples) > 0 {
		for b := range r.Samples[0].Queued {
			queues = append(queues, Series{fmt.Sprint("shard ", b), points(len(r.Samples), func(i int) (float64, float64) { return r.Samples[i].At, float64(r.Samples[i].Queued[b]) })})
			outs = append(outs, Series{fmt.Sprint("shard ", b), points(len(r.Samples), func(i int) (float64, float64) { return r.Samples[i].At, float64(r.Samples[i].InFlight[b]) })})
		}
	}
	list := []struct {
		name, title, x, y string
		lines             []Series
	}{
		{"answers", "answers, by the second of the first try", "s", "requests", []Series{
			sec("served", func(s *emul.SecondTotals) float64 { return float64(s.Served) }),
			sec("late", func(s *emul.SecondTotals) float64 { return float64(s.Late) }),
			sec("refused", func(s *emul.SecondTotals) float64 { return float64(s.Refused) }),
			sec("failed", func(s *emul.SecondTotals) float64 { return float64(s.Failed) })}},
		{"worth", "worth", "s", "worth", []Series{
			sec("due", func(s *emul.SecondTotals) float64 { return s.MaxWorth }), sec("got", func(s *emul.SecondTotals) float64 { return s.EarnedWorth })}},
		{"queues", "requests that wait at each shard's brick", "s", "requests", queues},
		{"out", "requests out at each shard's brick", "s", "requests", outs},
		{"quadrants", "volumes of eight hosts, by quadrant", "s", "volumes", quadrants(r)},
		{"latency", "latency from the first try", "ms", "part of those served", []Series{
			{"", points(len(r.Latency), func(i int) (float64, float64) { return r.Latency[i][0], r.Latency[i][1] })}}},
	}
	var names []string
	for _, c := range list {
		name := c.name + ".svg"
		if err := Draw(filepath.Join(dir, name), c.title, c.x, c.y, c.lines); err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

func quadrants(r *emul.Result) []Series {
	seen := map[string]bool{}
	for _, s := range r.Samples {
		for name := range s.Quadrants {
			seen[name] = true
		}
	}
	var names []string
	for name := range seen {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []Series
	for _, name := range names {
		label := name
		if label == "" {
			label = "not yet"
		}
		out = append(out, Series{label, points(len(r.Samples), func(i int) (float64, float64) { return r.Samples[i].At, float64(r.Samples[i].Quadrants[name]) })})
	}
	return out
}
