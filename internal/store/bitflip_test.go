package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"arrowwalk/internal/store/disk"
)

// Guards against a name, metadata, a version or a body that the store serves after one
// bit of its files was flipped: each byte of the log, the checkpoint and the body files.
func TestFlippedBitOnDiskIsNotServed(t *testing.T) {
	sim := disk.NewSim()
	s := openSim(t, sim)
	want := map[string]writtenBlob{}
	put := func(name, body string, whole bool) {
		info, _, err := s.Put(context.Background(), "o", Info{Name: name, Size: int64(len(body)), Meta: []byte("m" + name), Whole: whole}, strings.NewReader(body), nil, Condition{})
		if err != nil {
			t.Fatal(err)
		}
		want[name] = writtenBlob{info, body}
	}
	put("whole", "manifest", true)
	put("in a file", strings.Repeat("f", 700), false)
	if err := s.Checkpoint(); err != nil {
		t.Fatal(err)
	}
	put("after the checkpoint", "text", false)
	put("last", "text", false)
	defer s.Close()
	flipped := 0
	for _, dir := range []string{"log", "check", bodyDir(1)} {
		files, _ := sim.List(dir)
		for _, file := range files {
			for offset := int64(0); ; offset++ {
				after := sim.AfterCrash(rand.New(rand.NewSource(1)))
				if after.FlipStoredBit(dir+"/"+file, offset, uint(offset%8)) != nil {
					break // the end of the file
				}
				flipped++
				verifyDamagedStore(t, after, want, fmt.Sprintf("%s/%s at %d", dir, file, offset))
			}
		}
	}
	if flipped < 3*512+700 { // a segment of three groups at least, a checkpoint and a body file
		t.Errorf("%d bits were flipped", flipped)
	}
}

// writtenBlob is a blob as it was written.
type writtenBlob struct {
	Info
	body string
}

// verifyDamagedStore opens a store and verifies that all it serves is as it was written.
func verifyDamagedStore(t *testing.T, sim *disk.Sim, want map[string]writtenBlob, flipped string) {
	t.Helper()
	s, err := Open("sim", smallOptions(sim))
	if err != nil {
		return
	}
	defer s.Close()
	items, _ := s.List("o", Query{MaxItems: 10})
	for _, item := range items {
		before, ok := want[item.Name]
		if !ok || string(item.Meta) != "m"+item.Name || item.Version != before.Version || item.Size != before.Size || item.Whole != before.Whole {
			t.Errorf("%s: listed %+v", flipped, item.Info)
		}
	}
	for name, before := range want {
		body, err := readBlob(s, name)
		switch {
		case errors.Is(err, ErrCorrupt):
		case err != nil:
			t.Errorf("%s: %q: %v", flipped, name, err)
		case body == absent:
			if len(s.RecoveryDamage()) == 0 && name != "last" { // the last group may be one that was never synced
				t.Errorf("%s: %q is gone, and no damage is reported", flipped, name)
			}
		case body != before.body:
			t.Errorf("%s: %q has another body", flipped, name)
		}
	}
}
