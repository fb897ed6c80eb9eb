package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"arrowwalk/internal/store/disk"
	"arrowwalk/internal/store/maintpolicy"
	"arrowwalk/internal/store/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// small has every limit met by few operations.
func small(fs disk.FS) Options {
	return Options{FS: fs, MaxInlineBytes: 600, SegmentBytes: 16 << 10, MaxGroupBytes: 4 << 10, CheckpointBytes: 24 << 10, ReserveBytes: 1}
}

func open(t *testing.T, fs disk.FS) *Store {
	t.Helper()
	s, err := Open("sim", small(fs))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func put(s *Store, name, body string, c Condition) (Info, error) {
	info, _, err := s.Put(context.Background(), "o", Info{Name: name, Size: int64(len(body)), Meta: []byte("m" + name)}, strings.NewReader(body), nil, c)
	return info, err
}

const absent = "\x00absent"

func read(s *Store, name string) (string, error) {
	b, err := s.Get("o", name)
	if errors.Is(err, ErrNotFound) {
		return absent, nil
	}
	if err != nil {
		return "", err
	}
	defer b.Close()
	text := make([]byte, b.Size)
	if _, err := b.ReadAt(text, 0); err != nil && err != io.EOF {
		return "", err
	}
	if string(b.Meta) != "m"+name {
		return "", fmt.Errorf("meta %q of %q", b.Meta, name)
	}
	return string(text), nil
}

// world is what the outside knows: what was acknowledged, and what may be.
type world struct {
	mu    sync.Mutex
	sure  map[string]string
	maybe map[string][]string
}

func (w *world) begin(name, value string) {
	w.mu.Lock()
	w.maybe[name] = append(w.maybe[name], value)
	w.mu.Unlock()
}

// end notes an answer: none of the earlier attempts can come back after a
// later one was acknowledged.
func (w *world) end(name, value string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.sure[name], w.maybe[name] = value, nil
	}
}

func (w *world) holds(name, got string) bool {
	want, ok := w.sure[name]
	if !ok {
		want = absent
	}
	if got == want {
		return true
	}
	for _, m := range w.maybe[name] {
		if got == m {
			return true
		}
	}
	return false
}

const names = 12

func nameOf(i int) string { return fmt.Sprintf("dir/%02d", i) }

// work does a random run of operations from a few goroutines, each on names of
// its own, with a compaction now and then, until it ends or the disk does.
func work(s *Store, w *world, seed int64, steps int) {
	var wg sync.WaitGroup
	for g := range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewSource(seed*31 + int64(g)))
			for i := range steps {
				name := nameOf(g + 3*rnd.Intn(names/3))
				switch rnd.Intn(10) {
				case 0, 1:
					w.begin(name, absent)
					_, err := s.Delete("o", name, Condition{})
					w.end(name, absent, err) // that there is nothing to delete ends no earlier attempt
				case 2:
					if segs := s.Segments(); len(segs) > 0 {
						s.Compact(context.Background(), segs[rnd.Intn(len(segs))].Number, nil)
					}
				default:
					body := strings.Repeat(fmt.Sprintf("%d/%d/%d ", seed, g, i), 1+rnd.Intn(120))
					w.begin(name, body)
					_, err := put(s, name, body, Condition{})
					w.end(name, body, err)
				}
			}
		}()
	}
	wg.Wait()
}

// verify compares the store with the world and takes what it finds as sure.
func (w *world) verify(t *testing.T, s *Store, what string) {
	t.Helper()
	for i := range names {
		name := nameOf(i)
		got, err := read(s, name)
		if err != nil {
			t.Fatalf("%s: %q: %v", what, name, err)
		}
		if !w.holds(name, got) {
			t.Fatalf("%s: %q holds %.40q, acknowledged is %.40q", what, name, got, w.sure[name])
		}
		w.sure[name], w.maybe[name] = got, nil
		if got == absent {
			delete(w.sure, name)
		}
	}
}

func newWorld() *world { return &world{sure: map[string]string{}, maybe: map[string][]string{}} }

// A crash at a random call, three lives long, over thousands of seeds: what was
// acknowledged is there, what was not is whole or absent, and nothing leaks.
func TestCrashes(t *testing.T) {
	seeds := 600
	if testing.Short() || raceOn {
		seeds = 100
	}
	for seed := range int64(seeds) {
		crashes(t, seed, nil)
	}
}

func crashes(t *testing.T, seed int64, spoil func(*disk.Sim, *rand.Rand)) {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	sim, w := disk.NewSim(), newWorld()
	for life := range 3 {
		at := sim.CallCount() + 1 + rnd.Intn(300)
		sim.SetFaultFunc(func(c disk.Call) disk.Fault {
			if c.Number >= at && c.Op != "read" {
				return disk.Crash
			}
			return disk.NoFault
		})
		if s, err := Open("sim", small(sim)); err == nil {
			w.verify(t, s, fmt.Sprintf("seed %d life %d", seed, life))
			work(s, w, seed*10+int64(life), 40)
			s.Close()
		} else if !errors.Is(err, disk.ErrCrashed) {
			t.Fatalf("seed %d life %d: %v", seed, life, err)
		}
		sim = sim.AfterCrash(rnd)
	}
	s := open(t, sim)
	defer s.Close()
	w.verify(t, s, fmt.Sprintf("seed %d at the end", seed))
	if _, _, err := s.Check(context.Background(), func(d Damage) { t.Errorf("seed %d: %s", seed, d) }); err != nil {
		t.Fatal(err)
	}
}

// Faults that a disk tells of: no operation that failed changes what readers
// see, and the store goes on.
func TestFaults(t *testing.T) {
	for _, fault := range []disk.Fault{disk.NoSpace, disk.IOError} {
		for seed := range int64(60) {
			rnd := rand.New(rand.NewSource(seed))
			sim, w := disk.NewSim(), newWorld()
			s := open(t, sim)
			sim.SetFaultFunc(func(c disk.Call) disk.Fault {
				if c.Op != "read" && rnd.Intn(20) == 0 {
					return fault
				}
				return disk.NoFault
			})
			work(s, w, seed, 30)
			sim.SetFaultFunc(nil)
			for i := range names { // a read shows the last that was acknowledged, never one that failed
				if got, err := read(s, nameOf(i)); err != nil || got != w.sure[nameOf(i)] && (got != absent || w.sure[nameOf(i)] != "") {
					t.Fatalf("seed %d: %q holds %.30q, want %.30q: %v", seed, nameOf(i), got, w.sure[nameOf(i)], err)
				}
			}
			if _, err := put(s, "dir/00", "after", Condition{}); err != nil {
				t.Fatalf("seed %d: after the faults: %v", seed, err)
			}
			w.sure["dir/00"] = "after"
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			s = open(t, sim.AfterCrash(rnd))
			w.verify(t, s, fmt.Sprintf("fault %d seed %d", fault, seed))
			s.Close()
		}
	}
}

// Every bit that changes on the disk is caught: a read gives the bytes that
// were written, or an error.
func TestSpoiledBytes(t *testing.T) {
	caught := 0
	for seed := range int64(100) {
		rnd := rand.New(rand.NewSource(seed))
		sim, w := disk.NewSim(), newWorld()
		s := open(t, sim)
		work(s, w, seed, 20)
		for range 20 {
			dir := []string{"log", "log", "bodies/00000000"}[rnd.Intn(3)]
			files, _ := sim.List(dir)
			if len(files) == 0 {
				continue
			}
			sim.FlipStoredBit(dir+"/"+files[rnd.Intn(len(files))], int64(rnd.Intn(16<<10)), uint(rnd.Intn(8)))
		}
		caught += w.honest(t, s, seed)
		s.Close()
	}
	if caught < 20 {
		t.Errorf("only %d reads met what was spoilt", caught)
	}
	t.Logf("%d reads met what was spoilt", caught)
}

// honest reads all: the bytes that were written, or ErrCorrupt.
func (w *world) honest(t *testing.T, s *Store, seed int64) (caught int) {
	t.Helper()
	for i := range names {
		got, err := read(s, nameOf(i))
		switch {
		case errors.Is(err, ErrCorrupt):
			caught++
		case err != nil:
			t.Fatalf("seed %d: %v", seed, err)
		case !w.holds(nameOf(i), got):
			t.Fatalf("seed %d: %q holds %.30q", seed, nameOf(i), got)
		}
	}
	if caught > 0 && (s.QuarantinedBlocks() == 0 || s.Counters().CorruptBlocks.Load() == 0) {
		t.Errorf("seed %d: %d reads failed, the quarantine is empty", seed, caught)
	}
	return caught
}

func TestConditionsAndFormat(t *testing.T) {
	sim := disk.NewSim()
	s := open(t, sim)
	first, err := put(s, "k", "one", Condition{Absent: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := put(s, "k", "two", Condition{Version: first.Version}); err != nil {
		t.Fatal(err)
	}
	if _, err := put(s, "k", "three", Condition{Version: first.Version}); !errors.Is(err, ErrVersionMismatch) {
		t.Errorf("write over an old version: %v", err)
	}
	if _, err := Open("sim", small(sim)); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: %v", err)
	}
	if _, _, err := s.Put(context.Background(), "o", Info{Name: "short", Size: 10}, strings.NewReader("abc"), nil, Condition{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body cut short: %v", err)
	}
	if _, _, err := s.Put(context.Background(), "o", Info{Name: "sum", Size: 3}, strings.NewReader("abc"), []uint32{1}, Condition{}); !errors.Is(err, ErrChecksumMismatch) {
		t.Errorf("a body of other checksums: %v", err)
	}
	if _, err := s.Delete("o", "none", Condition{}); !errors.Is(err, ErrNotFound) {
		t.Errorf("delete of nothing: %v", err)
	}
	if _, err := put(s, strings.Repeat("n", record.MaxNameAndMetaBytes), "", Condition{}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a long name: %v", err)
	}
	s.Close()
	if _, err := put(s, "k", "late", Condition{}); !errors.Is(err, ErrClosed) {
		t.Errorf("a write after the end: %v", err)
	}
	for text, want := range map[string]string{`{"version":1}`: "arrowwalk store migrate", `{"version":9,"store":"1"}`: "version 9", `{`: formatFile} {
		dir := t.TempDir()
		if err := os.WriteFile(dir+"/"+formatFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(dir, Options{}); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Two writers with the same condition: one wins, whatever group they are in.
func TestOneWins(t *testing.T) {
	s := open(t, disk.NewSim())
	defer s.Close()
	for round := range 50 {
		var wg sync.WaitGroup
		won := make(chan int, 8)
		for i := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if _, err := put(s, fmt.Sprint("r", round), fmt.Sprint(i), Condition{Absent: true}); err == nil {
					won <- i
				} else if !errors.Is(err, ErrVersionMismatch) {
					t.Error(err)
				}
			}()
		}
		wg.Wait()
		close(won)
		if len(won) != 1 {
			t.Fatalf("round %d: %d won", round, len(won))
		}
	}
}

// An open blob keeps its version's bytes through overwrites, compaction and
// the end of its segment.
func TestOpenBlobKeepsItsVersion(t *testing.T) {
	s := open(t, disk.OS{Dir: t.TempDir()})
	defer s.Close()
	for _, size := range []int{10, 5000} {
		text := strings.Repeat("x", size)
		if _, err := put(s, "k", text, Condition{}); err != nil {
			t.Fatal(err)
		}
		b, err := s.Get("o", "k")
		if err != nil {
			t.Fatal(err)
		}
		for i := range 200 {
			if _, err := put(s, "k", strings.Repeat("y", 400+i), Condition{}); err != nil {
				t.Fatal(err)
			}
		}
		for range 3 {
			if _, err := put(s, "other", "z", Condition{}); err != nil {
				t.Fatal(err)
			}
			if err := s.Checkpoint(); err != nil {
				t.Fatal(err)
			}
		}
		got := make([]byte, size)
		if n, err := b.ReadAt(got, 0); n != size || err != nil || string(got) != text {
			t.Errorf("read %d bytes, %v", n, err)
		}
		b.Close()
	}
	if n := len(s.Segments()); n > 2 {
		t.Errorf("%d segments are left of what was overwritten", n)
	}
}

// Compaction frees what is garbage and loses nothing; a full disk takes
// deletes, and then writes again.
func TestRoom(t *testing.T) {
	sim := disk.NewSim()
	sim.Capacity = 300 << 10
	o := small(sim)
	o.ReserveBytes = 40 << 10
	s, err := Open("sim", o)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	n := 0
	for ; ; n++ {
		if _, err = put(s, fmt.Sprint("k", n), strings.Repeat("b", 500), Condition{}); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrNoSpace) || !errors.Is(err, syscall.ENOSPC) || n < 100 {
		t.Fatalf("after %d writes: %v", n, err)
	}
	tidyUp := func() {
		free, _ := sim.Free()
		if seg, ok := maintpolicy.ChooseSegment(s.Segments(), free, maintpolicy.CompactionPolicy{}); ok {
			if err := s.Compact(context.Background(), seg.Number, nil); err != nil && !errors.Is(err, syscall.ENOSPC) {
				t.Fatal(err)
			}
		}
		if err := s.Checkpoint(); err != nil && !errors.Is(err, syscall.ENOSPC) { // it is tried again
			t.Fatal(err)
		}
	}
	for i := range n {
		if i%4 == 0 {
			continue
		}
		if _, err := s.Delete("o", fmt.Sprint("k", i), Condition{}); err != nil {
			t.Fatalf("delete %d on a full disk: %v", i, err)
		}
		if i%8 == 1 {
			tidyUp()
		}
	}
	for i := range n {
		got, err := read(s, fmt.Sprint("k", i))
		if err != nil || (got != absent) != (i%4 == 0) {
			t.Fatalf("k%d: %.20q %v", i, got, err)
		}
	}
	if _, err := put(s, "new", strings.Repeat("b", 500), Condition{}); err != nil {
		t.Errorf("after compaction: %v", err)
	}
}

// A clock that is set back does not take versions back.
func TestClockSetBack(t *testing.T) {
	sim := disk.NewSim()
	now := int64(1 << 50)
	o := small(sim)
	o.NowMicros = func() int64 { return now }
	var last uint64
	for life := range 3 {
		s, err := Open("sim", o)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			info, err := put(s, "k", fmt.Sprint(i), Condition{})
			if err != nil || info.Version <= last {
				t.Fatalf("life %d: version %d after %d, %v", life, info.Version, last, err)
			}
			last = info.Version
		}
		s.Close()
		now -= 1 << 40
	}
}

// A group that was acknowledged and is damaged is told, with its place, and the
// groups after it are played; one that a crash cut is left out in silence.
func TestDamagedTail(t *testing.T) {
	sim := disk.NewSim()
	s := open(t, sim)
	for i := range 6 {
		if _, err := put(s, fmt.Sprint("k", i), "body", Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		group, offset int64
		lost, found   int
	}{{2, 20, 1, 1}, {2, record.GroupHeaderLen + 20, 1, 2}, {2, record.GroupHeaderLen + record.RecordHeaderLen + 10, 0, 2}, {5, 20, 1, 0}} {
		after := sim.AfterCrash(rand.New(rand.NewSource(1)))
		if err := after.FlipStoredBit("log/00000001", record.SegmentHeaderLen+c.group*record.GroupAlign+c.offset, 1); err != nil {
			t.Fatal(err)
		}
		s := open(t, after)
		lost := 0
		for i := range 6 {
			got, err := s.Stat("o", fmt.Sprint("k", i))
			if err != nil {
				lost++
			}
			_ = got
		}
		if lost != c.lost || len(s.RecoveryDamage()) != c.found {
			t.Errorf("group %d at %d: %d lost, found %v", c.group, c.offset, lost, s.RecoveryDamage())
		}
		s.Close()
	}
	s.Close()
}

// A checkpoint that is damaged gives way to the one before it; where none is
// whole the store is not opened as if it were empty.
func TestDamagedCheckpoint(t *testing.T) {
	sim := disk.NewSim()
	s := open(t, sim)
	w := newWorld()
	for i := range 3 {
		work(s, w, int64(i), 20)
		if err := s.Checkpoint(); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	files, _ := sim.List("check")
	if len(files) != 2 {
		t.Fatalf("checkpoints %v", files)
	}
	sim.FlipStoredBit("check/"+files[1], 70, 2)
	s = open(t, sim)
	w.verify(t, s, "from the checkpoint before")
	if len(s.RecoveryDamage()) != 1 || s.RecoveryDamage()[0].File != "check/"+files[1] {
		t.Errorf("found %v", s.RecoveryDamage())
	}
	s.closeSegments() // as a crash leaves it
	s.queue.close()
	<-s.done
	s.lock.Close()
	sim.FlipStoredBit("check/"+files[0], 70, 2)
	if _, err := Open("sim", small(sim)); !errors.Is(err, ErrCorrupt) {
		t.Errorf("without a checkpoint: %v", err)
	}
}

func TestList(t *testing.T) {
	s := open(t, disk.NewSim())
	defer s.Close()
	for _, n := range []string{"b/a", "b/d/1", "b/d/2", "b/e/1", "b/z", "c/a", "b/\xff/1", "b/d\xff"} {
		if _, err := put(s, n, "x", Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		q    Query
		want string
		more bool
	}{
		{Query{Prefix: "b/", MaxItems: 10}, "b/a b/d/1 b/d/2 b/d\xff b/e/1 b/z b/\xff/1", false},
		{Query{Prefix: "b/", MaxItems: 2}, "b/a b/d/1", true},
		{Query{Prefix: "b/", After: "b/d/1", MaxItems: 2}, "b/d/2 b/d\xff", true},
		{Query{Prefix: "b/", Delimiter: "/", MaxItems: 10}, "b/a b/d/* b/d\xff b/e/* b/z b/\xff/*", false},
		{Query{Prefix: "b/", Delimiter: "/", After: "b/d/", MaxItems: 10}, "b/d\xff b/e/* b/z b/\xff/*", false},
		{Query{Prefix: "b/", Delimiter: "/", MaxItems: 2}, "b/a b/d/*", true},
		{Query{Prefix: "b/d", Delimiter: "/", MaxItems: 10}, "b/d/* b/d\xff", false},
		{Query{Prefix: "x", MaxItems: 10}, "", false},
	} {
		items, more := s.List("o", c.q)
		var names []string
		for _, it := range items {
			if it.IsPrefix {
				it.Name += "*"
			}
			names = append(names, it.Name)
		}
		if got := strings.Join(names, " "); got != c.want || more != c.more {
			t.Errorf("%+v: %q more %v, want %q more %v", c.q, got, more, c.want, c.more)
		}
	}
	if n, size := s.SpaceUsage("o"); n != 8 || size != 8 {
		t.Errorf("%d blobs, %d bytes", n, size)
	}
	walked := 0
	for p, ok := (Position{}), true; ok; walked++ {
		p, _, ok = s.NextBlob(p)
	}
	if walked != 9 {
		t.Errorf("walked over %d", walked-1)
	}
}

// Ranges are read across blocks, and only the blocks they touch are checked.
func TestRanges(t *testing.T) {
	sim := disk.NewSim()
	s, err := Open("sim", Options{FS: sim, MaxInlineBytes: 1 << 20, ReserveBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	text := make([]byte, 3*record.BlockSize+100)
	rand.New(rand.NewSource(1)).Read(text)
	for _, inline := range []int64{1 << 20, 10} {
		s.opt.MaxInlineBytes = inline
		if _, _, err := s.Put(context.Background(), "o", Info{Name: "k", Size: int64(len(text))}, bytes.NewReader(text), record.AppendChecksums(nil, text), Condition{}); err != nil {
			t.Fatal(err)
		}
		b, err := s.Get("o", "k")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range [][2]int{{0, 10}, {record.BlockSize - 5, 10}, {100, 2 * record.BlockSize}, {len(text) - 5, 5}} {
			got := make([]byte, r[1])
			if n, err := b.ReadAt(got, int64(r[0])); err != nil || n != r[1] || !bytes.Equal(got, text[r[0]:r[0]+r[1]]) {
				t.Errorf("%v: %d bytes, %v", r, n, err)
			}
		}
		sim.FlipStoredBit(b.name, b.start+record.BlockSize+7, 0)
		got := make([]byte, 10)
		if _, err := b.ReadAt(got, 0); err != nil {
			t.Errorf("a block beside the bad one: %v", err)
		}
		if n, err := b.ReadAt(got, record.BlockSize-5); n != 5 || !errors.Is(err, ErrCorrupt) {
			t.Errorf("into the bad block: %d bytes, %v", n, err)
		}
		b.Close()
	}
}

// A snapshot holds its moment while writes, deletes and compaction go on; its
// export makes the same store elsewhere, and one that is cut or spoilt is seen.
func TestSnapshot(t *testing.T) {
	s := open(t, disk.NewSim())
	defer s.Close()
	w := newWorld()
	work(s, w, 1, 40)
	var want, out bytes.Buffer
	n := s.Snapshot()
	if err := n.Dump(&want); err != nil {
		t.Fatal(err)
	}
	then := map[string]string{}
	for i := range names {
		then[nameOf(i)], _ = read(s, nameOf(i))
	}
	work(s, w, 2, 60)
	for range 3 {
		put(s, "more", "x", Condition{})
		if err := s.Checkpoint(); err != nil {
			t.Fatal(err)
		}
	}
	blobs, err := n.Export(context.Background(), &out)
	if err != nil || blobs != strings.Count(want.String(), "\n") {
		t.Fatalf("%d blobs, %v", blobs, err)
	}
	n.Close()
	if len(s.doomed) != 0 {
		t.Errorf("bodies left: %v", s.doomed)
	}
	text := out.Bytes()
	again := open(t, disk.NewSim())
	stored, left, err := again.Import(context.Background(), bytes.NewReader(text))
	if err != nil || stored != blobs || left != 0 {
		t.Fatalf("stored %d, left %d, %v", stored, left, err)
	}
	for name, v := range then {
		if got, err := read(again, name); err != nil || got != v {
			t.Errorf("%q holds %.20q, want %.20q: %v", name, got, v, err)
		}
	}
	if stored, left, err := again.Import(context.Background(), bytes.NewReader(text)); err != nil || stored != 0 || left != blobs {
		t.Errorf("again: stored %d, left %d, %v", stored, left, err)
	}
	again.Close()
	rnd := rand.New(rand.NewSource(1))
	for i := range 200 {
		bad := bytes.Clone(text[:rnd.Intn(len(text))])
		if i%2 == 0 {
			bad = bytes.Clone(text)
			bad[rnd.Intn(len(bad))] ^= 1
		}
		into := open(t, disk.NewSim())
		if _, _, err := into.Import(context.Background(), bytes.NewReader(bad)); err == nil {
			t.Fatalf("try %d: an export that is not whole is taken", i)
		}
		into.Close()
	}
}

func FuzzImport(f *testing.F) {
	s, err := Open("sim", small(disk.NewSim()))
	if err != nil {
		f.Fatal(err)
	}
	put(s, "k", strings.Repeat("b", 700), Condition{})
	n := s.Snapshot()
	var out bytes.Buffer
	n.Export(context.Background(), &out)
	n.Close()
	s.Close()
	f.Add(out.Bytes())
	f.Add([]byte(exportMagic))
	f.Fuzz(func(t *testing.T, b []byte) {
		sim := disk.NewSim()
		sim.Capacity = 1 << 20
		s, err := Open("sim", small(sim))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.Import(context.Background(), bytes.NewReader(b))
	})
}

func FuzzCheckpoint(f *testing.F) {
	sim := disk.NewSim()
	s, err := Open("sim", small(sim))
	if err != nil {
		f.Fatal(err)
	}
	put(s, "k", "b", Condition{})
	s.Close()
	names, _ := sim.List("check")
	text, _ := disk.ReadFile(sim, "check/"+names[0], 1<<20)
	f.Add(text)
	f.Fuzz(func(t *testing.T, b []byte) {
		sim := disk.NewSim()
		file, _ := sim.Create("c")
		file.WriteAt(b, 0)
		readCheckpoint(file, s.id)
	})
}

// everything is one of each: writes, an overwrite, a large body and one in its
// place, conditional writes, deletes, a compaction, checkpoints, a snapshot with
// its export.
func everything(s *Store, w *world) {
	write := func(name string, size int, c Condition) {
		body := strings.Repeat(name[len(name)-1:], size)
		w.begin(name, body)
		_, err := put(s, name, body, c)
		w.end(name, body, err)
	}
	for i := range 4 {
		write(nameOf(i), 100+i, Condition{})
	}
	write(nameOf(0), 300, Condition{})
	write(nameOf(4), 3000, Condition{Absent: true})
	n := s.Snapshot()
	write(nameOf(4), 2000, Condition{})
	w.begin(nameOf(1), absent)
	_, err := s.Delete("o", nameOf(1), Condition{})
	w.end(nameOf(1), absent, err)
	n.Export(context.Background(), io.Discard)
	n.Close()
	s.log.broken = true // the segment ends: the next group begins another
	write(nameOf(2), 50, Condition{})
	s.Checkpoint()
	if list := s.Segments(); len(list) > 0 {
		s.Compact(context.Background(), list[0].Number, nil)
	}
	write(nameOf(5), 700, Condition{})
	s.Checkpoint()
	write(nameOf(5), 10, Condition{})
	s.Checkpoint()
}

// The machine crashes at each call that all this makes, and what is left of the
// disk is any of several.
func TestCrashAtEveryCall(t *testing.T) {
	count := disk.NewSim()
	s := open(t, count)
	everything(s, newWorld())
	s.Close()
	for at := 1; at <= count.CallCount(); at++ {
		for try := range int64(4) {
			sim, w := disk.NewSim(), newWorld()
			sim.SetFaultFunc(func(c disk.Call) disk.Fault {
				if c.Number >= at {
					return disk.Crash
				}
				return disk.NoFault
			})
			if s, err := Open("sim", small(sim)); err == nil {
				everything(s, w)
				s.Close()
			}
			s := open(t, sim.AfterCrash(rand.New(rand.NewSource(try))))
			what := fmt.Sprintf("crash at call %d, try %d", at, try)
			w.verify(t, s, what)
			if _, _, err := s.Check(context.Background(), func(d Damage) { t.Errorf("%s: %s", what, d) }); err != nil {
				t.Fatal(err)
			}
			s.Close()
		}
	}
	t.Logf("%d calls", count.CallCount())
}

// A disk that becomes read-only takes nothing more, and all that it took before
// is read.
func TestReadOnlyDisk(t *testing.T) {
	sim := disk.NewSim()
	s := open(t, sim)
	for i := range 20 {
		if _, err := put(s, nameOf(i%names), strings.Repeat("b", 100+50*i), Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	once := false
	sim.SetFaultFunc(func(c disk.Call) disk.Fault {
		if c.Op == "write" && !once {
			once = true
			return disk.ReadOnly
		}
		return disk.NoFault
	})
	for i := range 5 {
		if _, err := put(s, "new", strings.Repeat("c", 100+500*i), Condition{}); !errors.Is(err, syscall.EROFS) {
			t.Errorf("write %d: %v", i, err)
		}
	}
	if _, err := s.Delete("o", nameOf(0), Condition{}); !errors.Is(err, syscall.EROFS) {
		t.Errorf("delete: %v", err)
	}
	for i := range names {
		if got, err := read(s, nameOf(i)); err != nil || got == absent {
			t.Errorf("%q: %.10q %v", nameOf(i), got, err)
		}
	}
	if err := s.Close(); !errors.Is(err, syscall.EROFS) {
		t.Errorf("close: %v", err)
	}
}

// A segment, or a large body's file, that is missing is named, and what was in it
// fails; the rest is served.
func TestMissingFiles(t *testing.T) {
	sim := disk.NewSim()
	s := open(t, sim)
	for i := range 60 {
		if _, err := put(s, fmt.Sprint("k", i), strings.Repeat("b", 550), Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := put(s, "big", strings.Repeat("b", 5000), Condition{}); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	for _, file := range []string{"log/00000002", bodyFile(1)} {
		if err := sim.Remove(file); err != nil {
			t.Fatal(err)
		}
	}
	s = open(t, sim)
	defer s.Close()
	if len(s.RecoveryDamage()) != 1 || s.RecoveryDamage()[0].File != "log/00000002" {
		t.Errorf("found %v", s.RecoveryDamage())
	}
	lost := 0
	for i := range 60 {
		if _, err := read(s, fmt.Sprint("k", i)); errors.Is(err, ErrCorrupt) {
			lost++
		} else if err != nil {
			t.Error(err)
		}
	}
	if _, err := read(s, "big"); !errors.Is(err, ErrCorrupt) || lost == 0 || lost > 40 {
		t.Errorf("%d blobs fail; the large one: %v", lost, err)
	}
	if _, err := put(s, "big", "again", Condition{}); err != nil {
		t.Error(err)
	}
	if got, err := read(s, "big"); err != nil || got != "again" {
		t.Errorf("written anew: %q %v", got, err)
	}
}
