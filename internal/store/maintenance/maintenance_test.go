package maintenance

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowwalk/internal/store"
	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/maintpolicy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func fillStore(t *testing.T, s *store.Store, n int) {
	t.Helper()
	for i := range n {
		body := strings.Repeat(fmt.Sprint(i, " "), 200)
		if _, _, err := s.Put(context.Background(), "o", store.Info{Name: fmt.Sprint("k", i%40), Size: int64(len(body))}, strings.NewReader(body), nil, store.Condition{}); err != nil {
			t.Fatal(err)
		}
	}
}

// waitFor polls the condition for up to 20 seconds.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", description)
		}
		<-ticker.C
	}
}

// The scrubber finds a corrupted blob, compaction frees garbage, and neither loses
// a live blob.
func TestKeeper(t *testing.T) {
	sim := disk.NewSim()
	s, err := store.Open("sim", store.Options{FS: sim, SegmentBytes: 32 << 10, ReserveBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	fillStore(t, s, 400)
	before := len(s.Segments())
	for offset := int64(900); offset < 30<<10; offset += 1024 { // some of these bytes belong to live records
		if err := sim.FlipStoredBit(fmt.Sprintf("log/%08x", s.Segments()[before-1].Number), offset, 1); err != nil {
			t.Fatal(err)
		}
	}
	r := Start(Options{Store: s, ScrubPeriod: 50 * time.Millisecond, CompactionInterval: time.Millisecond})
	waitFor(t, "a scrub pass that finds the corrupted blob", func() bool { return r.Progress().CompletedPasses > 0 && s.QuarantinedBlocks() > 0 })
	waitFor(t, "fewer segments", func() bool {
		fillStore(t, s, 1) // without a new write no checkpoint is written
		return len(s.Segments()) < before/3
	})
	r.Close()
	for i := range 40 {
		b, err := s.Get("o", fmt.Sprint("k", i))
		if err != nil {
			t.Fatal(err)
		}
		b.Close()
	}
}

// A new Runner continues the scrub pass of the previous one.
func TestResume(t *testing.T) {
	s, err := store.Open("sim", store.Options{FS: disk.NewSim(), ReserveBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	fillStore(t, s, 40)
	busyLoad := func() maintpolicy.Load { return maintpolicy.Load{Utilization: 1, QueuedRequests: 9} }
	r := Start(Options{Store: s, ScrubPeriod: time.Hour, Load: busyLoad})
	waitFor(t, "some progress", func() bool { return r.Progress().ReadBytes > 0 })
	r.Close()
	before := r.Progress()
	r = Start(Options{Store: s, ScrubPeriod: time.Hour, Load: busyLoad})
	after := r.Progress()
	r.Close()
	if before.StartMicros == 0 || after.StartMicros != before.StartMicros || after.ReadBytes < before.ReadBytes || after.Position.Name < before.Position.Name {
		t.Errorf("progress was %+v, after the restart %+v", before, after)
	}
	if b, err := s.Get(progressSpace, progressName); err != nil {
		t.Error(err)
	} else {
		io.Copy(io.Discard, io.NewSectionReader(b, 0, b.Size))
		b.Close()
	}
}
