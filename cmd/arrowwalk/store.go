package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"

	"arrowwalk/internal/store"
	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/filestore"
	"arrowwalk/internal/store/maintpolicy"
)

type storeCmd struct {
	Check   storeCheckCmd   `cmd:"" help:"Read all that a stopped brick's directory holds and name every damage."`
	Dump    storeDumpCmd    `cmd:"" help:"Write a line of JSON for each blob: what is known of it and where it is."`
	Compact storeCompactCmd `cmd:"" help:"Free what is garbage in a stopped brick's directory."`
	Export  storeExportCmd  `cmd:"" help:"Write all blobs to a file, or standard output."`
	Import  storeImportCmd  `cmd:"" help:"Put the blobs of an export into a directory."`
	Migrate storeMigrateCmd `cmd:"" help:"Make a store of a directory of version 1, which has a file for each blob."`
	Bench   storeBenchCmd   `cmd:"" help:"Measure the store beside a file for each blob and an embedded key-value library."`
}

type storeFlag struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of a brick that does not run."`
}

func (f *storeFlag) open(g *globals) (*store.Store, error) {
	if _, err := os.Stat(f.Dir + "/format.json"); errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: not a brick's directory: it has no format.json", f.Dir)
	}
	return store.Open(f.Dir, store.Options{Log: g.log})
}

var errDamaged = errors.New("the store is damaged")

type storeCheckCmd struct {
	storeFlag
	JSON bool `name:"json" help:"A line of JSON for each damage."`
}

// Run checks a store; damage is an error.
func (c *storeCheckCmd) Run(g *globals) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	s, err := c.open(g)
	if err != nil {
		return err
	}
	defer s.Close()
	found := 0
	enc := json.NewEncoder(g.out)
	blobs, bytes, err := s.Check(ctx, func(d store.Damage) {
		found++
		if c.JSON {
			enc.Encode(d)
		} else {
			fmt.Fprintln(g.out, d)
		}
	})
	if err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(g.out, "%d blobs of %d bytes read, %d damages\n", blobs, bytes, found)
	}
	if found > 0 {
		return errDamaged
	}
	return nil
}

type storeDumpCmd struct{ storeFlag }

// Run dumps the index.
func (c *storeDumpCmd) Run(g *globals) error {
	s, err := c.open(g)
	if err != nil {
		return err
	}
	defer s.Close()
	n := s.Snapshot()
	defer n.Close()
	return n.Dump(g.out)
}

type storeCompactCmd struct {
	storeFlag
	Garbage float64 `default:"0.05" help:"Least part of a segment that must be garbage."`
}

// Run compacts until no segment is worth it.
func (c *storeCompactCmd) Run(g *globals) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	s, err := c.open(g)
	if err != nil {
		return err
	}
	defer s.Close()
	before := sizeOf(s)
	done := map[uint32]bool{}
	for {
		free, err := (disk.OS{Dir: c.Dir}).Free()
		if err != nil {
			return err
		}
		var left []maintpolicy.Segment
		for _, seg := range s.Segments() {
			if !done[seg.Number] {
				left = append(left, seg)
			}
		}
		seg, ok := maintpolicy.ChooseSegment(left, free, maintpolicy.CompactionPolicy{MinGarbageFraction: c.Garbage})
		if !ok {
			break
		}
		done[seg.Number] = true
		if err := s.Compact(ctx, seg.Number, nil); errors.Is(err, store.ErrCorrupt) {
			fmt.Fprintln(g.out, err)
		} else if err != nil {
			return err
		}
	}
	if err := s.ReclaimAll(); err != nil {
		return err
	}
	fmt.Fprintf(g.out, "%d of %d bytes freed\n", before-sizeOf(s), before)
	return nil
}

func sizeOf(s *store.Store) (bytes int64) {
	for _, seg := range s.Segments() {
		bytes += seg.SizeBytes
	}
	return bytes
}

type storeExportCmd struct {
	storeFlag
	To string `arg:"" optional:"" help:"File to write; it must not exist. Without: standard output."`
}

// Run exports a store.
func (c *storeExportCmd) Run(g *globals) (err error) {
	s, err := c.open(g)
	if err != nil {
		return err
	}
	defer s.Close()
	out := g.out
	if c.To != "" {
		f, err := os.OpenFile(c.To, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer f.Close()
		defer func() { err = errors.Join(err, f.Sync()) }()
		out = f
	}
	n := s.Snapshot()
	defer n.Close()
	blobs, err := n.Export(context.Background(), out)
	if err == nil && c.To != "" {
		fmt.Fprintf(g.out, "%d blobs\n", blobs)
	}
	return err
}

type storeImportCmd struct {
	Dir  string `arg:"" type:"path" help:"Directory of a brick that does not run; made where there is none."`
	From string `arg:"" optional:"" type:"existingfile" help:"File that export wrote. Without: standard input."`
}

// Run imports an export.
func (c *storeImportCmd) Run(g *globals) error {
	in := io.Reader(os.Stdin)
	if c.From != "" {
		f, err := os.Open(c.From)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	s, err := store.Open(c.Dir, store.Options{Log: g.log})
	if err != nil {
		return err
	}
	defer s.Close()
	stored, left, err := s.Import(context.Background(), in)
	fmt.Fprintf(g.out, "%d blobs stored, %d left as they are: the store has later ones\n", stored, left)
	return err
}

type storeMigrateCmd struct{ storeFlag }

// Run makes a store beside the old directory, then has them change places. The
// old one stays, under another name.
func (c *storeMigrateCmd) Run(g *globals) error {
	old, err := filestore.Open(c.Dir, filestore.Options{})
	if err != nil {
		return err
	}
	defer old.Close()
	for _, file := range old.Damaged {
		fmt.Fprintf(g.out, "%s: damaged, left out\n", file)
	}
	next := c.Dir + ".migrating"
	s, err := store.Open(next, store.Options{Log: g.log}) // goes on where an earlier try ended
	if err != nil {
		return err
	}
	blobs := 0
	err = old.ForEach(func(space string, b *filestore.Blob) error {
		blobs++
		info := store.Info{Name: b.Name, Meta: b.Meta, Size: b.Size, Version: b.Version, Whole: b.Whole}
		return s.Restore(space, info, io.NewSectionReader(b.File, b.Offset, b.Size))
	})
	if err = errors.Join(err, s.Close()); err != nil {
		return err
	}
	if err := os.Rename(c.Dir, c.Dir+".v1"); err != nil {
		return err
	}
	if err := os.Rename(next, c.Dir); err != nil {
		return fmt.Errorf("%w; the store is in %s, the old directory in %s.v1", err, next, c.Dir)
	}
	fmt.Fprintf(g.out, "%d blobs; the old directory is %s.v1 now and can be removed\n", blobs, c.Dir)
	return nil
}
