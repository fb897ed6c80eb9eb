package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"arrowwalk/internal/bench/stores"
)

type storeBenchCmd struct {
	Dir     string `help:"Directory on the disk to measure; a new one in it is used and removed." type:"existingdir" default:"."`
	Writes  int    `default:"4000" help:"Small writes of each row; large ones are a fiftieth."`
	Writers int    `default:"32" help:"Writers at once."`
	Objects int    `default:"200000" help:"Blobs whose index memory and recovery are measured."`
	JSON    string `name:"json" help:"File for the result as JSON." type:"path"`
}

// Run measures stores in one directory, one after the other.
func (b *storeBenchCmd) Run(g *globals) error {
	dir, err := os.MkdirTemp(b.Dir, "arrowwalk-bench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	res, err := stores.Run(stores.Options{Dir: dir, Writes: b.Writes, Writers: b.Writers, Objects: b.Objects})
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(g.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "store\toperation\tbytes\tper second\tp50 us\tp99 us\tbytes written a byte\t")
	for _, r := range res.Rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%d\t%d\t%.2f\t\n", r.Store, r.Op, r.Bytes, r.Rate, r.P50, r.P99, r.Amplification)
	}
	fmt.Fprintln(w, "\nstore\tblobs\topen ms\topen after a crash ms\tindex bytes a blob\t")
	for _, r := range res.Opens {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.0f\t\n", r.Store, r.Blobs, r.Clean, r.Crash, r.Index)
	}
	if c := res.Scrub; c != nil {
		fmt.Fprintf(w, "\n%d operations a second, %d rounds of each: p50 %d, p99 %d us; beside a scrub of %d MiB in %s, %d MiB of it read: p50 %d, p99 %d us, ratio %.2f (pairs: %.2f)\n",
			c.Rate, c.Rounds, c.P50, c.P99, c.Bytes>>20, c.Pass, c.Read>>20, c.P50Beside, c.P99Beside, c.Ratio, c.PerRound)
	}
	if err := w.Flush(); err != nil || b.JSON == "" {
		return err
	}
	text, err := json.MarshalIndent(res, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(b.JSON, append(text, '\n'), 0o644)
}
