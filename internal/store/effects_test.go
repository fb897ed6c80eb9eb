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

// putWhole stores a blob with Info.Whole.
func putWhole(s *Store, space, name, meta string, effects Effects) error {
	_, _, err := s.PutWith(context.Background(), space, Info{Name: name, Meta: []byte(meta), Size: 4, Whole: true}, strings.NewReader("body"), nil, Condition{}, effects)
	return err
}

func exists(s *Store, space, name string) bool {
	_, err := s.Stat(space, name)
	return err == nil
}

// trashed returns the metadata of the blobs in the trash by name.
func trashed(s *Store) map[string]string {
	found := map[string]string{}
	items, _ := s.List(TrashSpace, Query{MaxItems: 100})
	for _, item := range items {
		found[item.Name] = string(item.Meta)
	}
	return found
}

// A write that consumes a blob takes effect once, however often it is repeated, and
// only if the blob exists in the required version.
func TestConsume(t *testing.T) {
	s := openSim(t, disk.NewSim())
	defer s.Close()
	consuming := Effects{Consume: &Ref{Space: "i", Name: "intent"}}
	if err := putWhole(s, "o", "object", "early", consuming); !errors.Is(err, ErrNotConsumable) || exists(s, "o", "object") {
		t.Errorf("without the blob: %v", err)
	}
	intent, _, err := s.Put(context.Background(), "i", Info{Name: "intent"}, strings.NewReader(""), nil, Condition{})
	if err != nil {
		t.Fatal(err)
	}
	other := Effects{Consume: &Ref{Space: "i", Name: "intent", Version: intent.Version + 1}}
	if err := putWhole(s, "o", "object", "other", other); !errors.Is(err, ErrNotConsumable) || !exists(s, "i", "intent") {
		t.Errorf("in another version: %v", err)
	}
	if _, _, err := s.PutWith(context.Background(), "o", Info{Name: "object"}, strings.NewReader(""), nil, Condition{Version: 1}, consuming); !errors.Is(err, ErrVersionMismatch) || !exists(s, "i", "intent") {
		t.Errorf("with a condition that does not hold: %v", err)
	}
	if err := putWhole(s, "o", "object", "first", consuming); err != nil || exists(s, "i", "intent") {
		t.Errorf("with the blob: %v", err)
	}
	if err := putWhole(s, "o", "object", "again", consuming); !errors.Is(err, ErrNotConsumable) {
		t.Errorf("repeated: %v", err)
	}
	if info, _ := s.Stat("o", "object"); string(info.Meta) != "first" {
		t.Errorf("stored %q", info.Meta)
	}
	if got := trashed(s); len(got) != 0 {
		t.Errorf("trash %v", got)
	}
}

// The metadata of whole blobs that are replaced, deleted or consumed is kept; that of
// others is not.
func TestTrash(t *testing.T) {
	s := openSim(t, disk.NewSim())
	defer s.Close()
	for _, err := range []error{
		putWhole(s, "o", "a", "a1", Effects{Trash: "s0"}),
		putWhole(s, "o", "a", "a2", Effects{Trash: "s1"}),
		putWhole(s, "u", "upload", "u1", Effects{}),
		putWhole(s, "o", "a", "a3", Effects{Trash: "s2", Consume: &Ref{Space: "u", Name: "upload"}}),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.DeleteWith("o", "a", Condition{}, Effects{Trash: "s3"}); err != nil {
		t.Fatal(err)
	}
	if _, err := putBlob(s, "plain", "body", Condition{}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.DeleteWith("o", "plain", Condition{}, Effects{Trash: "s4"}); err != nil {
		t.Fatal(err)
	}
	want := map[string]string{TrashName("o", "a", "s1"): "a1", TrashName("o", "a", "s2"): "a2", TrashName("u", "upload", "s2"): "u1", TrashName("o", "a", "s3"): "a3"}
	if got := trashed(s); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("trash %q, want %q", got, want)
	}
}

// A crash at any disk call leaves a write and its effects on other blobs all done or
// all undone.
func TestCrashKeepsEffectsTogether(t *testing.T) {
	run := func(s *Store) (acknowledged bool) {
		putWhole(s, "o", "a", "old", Effects{})
		putWhole(s, "i", "intent", "intent", Effects{})
		return putWhole(s, "o", "a", "new", Effects{Trash: "s", Consume: &Ref{Space: "i", Name: "intent"}}) == nil
	}
	counting := disk.NewSim()
	s := openSim(t, counting)
	run(s)
	s.Close()
	outcomes := map[bool]int{}
	for crashCall := 1; crashCall <= counting.CallCount()+1; crashCall++ {
		for try := range int64(8) {
			sim := disk.NewSim()
			sim.SetFaultFunc(func(c disk.Call) disk.Fault {
				if c.Number >= crashCall {
					return disk.Crash
				}
				return disk.NoFault
			})
			acknowledged := false
			if s, err := Open("sim", smallOptions(sim)); err == nil {
				acknowledged = run(s)
				s.Close()
			}
			s := openSim(t, sim.AfterCrash(rand.New(rand.NewSource(try))))
			info, _ := s.Stat("o", "a")
			done := string(info.Meta) == "new"
			kept := trashed(s)
			consistent := !done && len(kept) == 0 || done && !exists(s, "i", "intent") && kept[TrashName("o", "a", "s")] == "old" && kept[TrashName("i", "intent", "s")] == "intent"
			if !consistent || acknowledged && !done {
				t.Errorf("crash at call %d, try %d: acknowledged %v, stored %q, intent %v, trash %q", crashCall, try, acknowledged, info.Meta, exists(s, "i", "intent"), kept)
			}
			outcomes[done]++
			s.Close()
		}
	}
	if outcomes[true] == 0 || outcomes[false] == 0 {
		t.Errorf("outcomes %v, want both", outcomes)
	}
}
