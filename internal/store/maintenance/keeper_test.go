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

func fill(t *testing.T, s *store.Store, n int) {
	t.Helper()
	for i := range n {
		body := strings.Repeat(fmt.Sprint(i, " "), 200)
		if _, _, err := s.Put(context.Background(), "o", store.Info{Name: fmt.Sprint("k", i%40), Size: int64(len(body))}, strings.NewReader(body), nil, store.Condition{}); err != nil {
			t.Fatal(err)
		}
	}
}

// until waits for what the keeper brings about.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !is() {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
		<-tick.C
	}
}

// The scrubber finds what was spoilt, compaction frees what is garbage, and
// nothing that is live is lost by either.
func TestKeeper(t *testing.T) {
	sim := disk.NewSim()
	s, err := store.Open("sim", store.Options{FS: sim, SegmentBytes: 32 << 10, ReserveBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	fill(t, s, 400)
	before := len(s.Segments())
	for at := int64(900); at < 30<<10; at += 1024 { // some of it is live
		if err := sim.FlipStoredBit(fmt.Sprintf("log/%08x", s.Segments()[before-1].Number), at, 1); err != nil {
			t.Fatal(err)
		}
	}
	k := Start(Options{Store: s, ScrubPeriod: 50 * time.Millisecond, CompactionInterval: time.Millisecond})
	until(t, "a pass that finds the spoilt blob", func() bool { return k.Progress().CompletedPasses > 0 && s.QuarantinedBlocks() > 0 })
	until(t, "fewer segments", func() bool {
		fill(t, s, 1) // a checkpoint needs something new
		return len(s.Segments()) < before/3
	})
	k.Close()
	for i := range 40 {
		b, err := s.Get("o", fmt.Sprint("k", i))
		if err != nil {
			t.Fatal(err)
		}
		b.Close()
	}
}

// A pass goes on where it was when the keeper ended.
func TestResume(t *testing.T) {
	s, err := store.Open("sim", store.Options{FS: disk.NewSim(), ReserveBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	fill(t, s, 40)
	busy := func() maintpolicy.Load { return maintpolicy.Load{Utilization: 1, QueuedRequests: 9} }
	k := Start(Options{Store: s, ScrubPeriod: time.Hour, Load: busy})
	until(t, "some progress", func() bool { return k.Progress().ReadBytes > 0 })
	k.Close()
	was := k.Progress()
	k = Start(Options{Store: s, ScrubPeriod: time.Hour, Load: busy})
	now := k.Progress()
	k.Close()
	if was.StartMicros == 0 || now.StartMicros != was.StartMicros || now.ReadBytes < was.ReadBytes || now.Position.Name < was.Position.Name {
		t.Errorf("it was at %+v, and goes on at %+v", was, now)
	}
	if b, err := s.Get(stateSpace, stateName); err != nil {
		t.Error(err)
	} else {
		io.Copy(io.Discard, io.NewSectionReader(b, 0, b.Size))
		b.Close()
	}
}
