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

// smallOptions returns options whose limits a few operations reach.
func smallOptions(fs disk.FS) Options {
	return Options{FS: fs, MaxInlineBytes: 600, SegmentBytes: 16 << 10, MaxGroupBytes: 4 << 10, CheckpointBytes: 24 << 10, ReserveBytes: 1}
}

func openSim(t *testing.T, fs disk.FS) *Store {
	t.Helper()
	s, err := Open("sim", smallOptions(fs))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func putBlob(s *Store, name, body string, c Condition) (Info, error) {
	info, _, err := s.Put(context.Background(), "o", Info{Name: name, Size: int64(len(body)), Meta: []byte("m" + name)}, strings.NewReader(body), nil, c)
	return info, err
}

// absent stands for a missing blob.
const absent = "\x00absent"

func readBlob(s *Store, name string) (string, error) {
	b, err := s.Get("o", name)
	if errors.Is(err, ErrNotFound) {
		return absent, nil
	}
	if err != nil {
		return "", err
	}
	defer b.Close()
	data := make([]byte, b.Size)
	if _, err := b.ReadAt(data, 0); err != nil && err != io.EOF {
		return "", err
	}
	if string(b.Meta) != "m"+name {
		return "", fmt.Errorf("meta %q of %q", b.Meta, name)
	}
	return string(data), nil
}

// model is the expected content of the store: acknowledged values, and values of
// operations whose outcome is unknown.
type model struct {
	mu           sync.Mutex
	acknowledged map[string]string
	possible     map[string][]string
}

func (m *model) begin(name, value string) {
	m.mu.Lock()
	m.possible[name] = append(m.possible[name], value)
	m.mu.Unlock()
}

// end records the result of an operation. Once a value is acknowledged, no earlier
// attempt may take effect any more.
func (m *model) end(name, value string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.acknowledged[name], m.possible[name] = value, nil
	}
}

// allows reports whether the store may hold the value got under name.
func (m *model) allows(name, got string) bool {
	want, ok := m.acknowledged[name]
	if !ok {
		want = absent
	}
	if got == want {
		return true
	}
	for _, possible := range m.possible[name] {
		if got == possible {
			return true
		}
	}
	return false
}

const nameCount = 12

func nameOf(i int) string { return fmt.Sprintf("dir/%02d", i) }

// runWorkload runs random operations, with occasional compactions, in three
// goroutines with separate names. Errors of the disk do not stop it.
func runWorkload(s *Store, m *model, seed int64, steps int) {
	var wg sync.WaitGroup
	for g := range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewSource(seed*31 + int64(g)))
			for i := range steps {
				name := nameOf(g + 3*rnd.Intn(nameCount/3))
				switch rnd.Intn(10) {
				case 0, 1:
					m.begin(name, absent)
					_, err := s.Delete("o", name, Condition{})
					m.end(name, absent, err) // ErrNotFound does not rule out that an earlier attempt takes effect
				case 2:
					if segs := s.Segments(); len(segs) > 0 {
						s.Compact(context.Background(), segs[rnd.Intn(len(segs))].Number, nil)
					}
				default:
					body := strings.Repeat(fmt.Sprintf("%d/%d/%d ", seed, g, i), 1+rnd.Intn(120))
					m.begin(name, body)
					_, err := putBlob(s, name, body, Condition{})
					m.end(name, body, err)
				}
			}
		}()
	}
	wg.Wait()
}

// verify compares the store with the model and records what it finds as
// acknowledged.
func (m *model) verify(t *testing.T, s *Store, label string) {
	t.Helper()
	for i := range nameCount {
		name := nameOf(i)
		got, err := readBlob(s, name)
		if err != nil {
			t.Fatalf("%s: %q: %v", label, name, err)
		}
		if !m.allows(name, got) {
			t.Fatalf("%s: %q is %.40q, acknowledged value is %.40q", label, name, got, m.acknowledged[name])
		}
		m.acknowledged[name], m.possible[name] = got, nil
		if got == absent {
			delete(m.acknowledged, name)
		}
	}
}

func newModel() *model {
	return &model{acknowledged: map[string]string{}, possible: map[string][]string{}}
}

// A crash at a random call, three times in a row, loses no acknowledged write,
// leaves every other write complete or absent, and leaks no files.
func TestCrashes(t *testing.T) {
	seeds := 600
	if testing.Short() || raceEnabled {
		seeds = 100
	}
	for seed := range int64(seeds) {
		testCrashes(t, seed, nil)
	}
}

func testCrashes(t *testing.T, seed int64, corrupt func(*disk.Sim, *rand.Rand)) {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	sim, m := disk.NewSim(), newModel()
	for restart := range 3 {
		crashCall := sim.CallCount() + 1 + rnd.Intn(300)
		sim.SetFaultFunc(func(c disk.Call) disk.Fault {
			if c.Number >= crashCall && c.Op != "read" {
				return disk.Crash
			}
			return disk.NoFault
		})
		if s, err := Open("sim", smallOptions(sim)); err == nil {
			m.verify(t, s, fmt.Sprintf("seed %d restart %d", seed, restart))
			runWorkload(s, m, seed*10+int64(restart), 40)
			s.Close()
		} else if !errors.Is(err, disk.ErrCrashed) {
			t.Fatalf("seed %d restart %d: %v", seed, restart, err)
		}
		sim = sim.AfterCrash(rnd)
	}
	s := openSim(t, sim)
	defer s.Close()
	m.verify(t, s, fmt.Sprintf("seed %d at the end", seed))
	if _, _, err := s.Check(context.Background(), func(d Damage) { t.Errorf("seed %d: %s", seed, d) }); err != nil {
		t.Fatal(err)
	}
}

// After disk errors, a failed operation has not changed what readers see, and the
// store accepts writes again.
func TestFaults(t *testing.T) {
	for _, fault := range []disk.Fault{disk.NoSpace, disk.IOError} {
		for seed := range int64(60) {
			rnd := rand.New(rand.NewSource(seed))
			sim, m := disk.NewSim(), newModel()
			s := openSim(t, sim)
			sim.SetFaultFunc(func(c disk.Call) disk.Fault {
				if c.Op != "read" && rnd.Intn(20) == 0 {
					return fault
				}
				return disk.NoFault
			})
			runWorkload(s, m, seed, 30)
			sim.SetFaultFunc(nil)
			for i := range nameCount { // a read returns the last acknowledged value, never that of a failed write
				if got, err := readBlob(s, nameOf(i)); err != nil || got != m.acknowledged[nameOf(i)] && (got != absent || m.acknowledged[nameOf(i)] != "") {
					t.Fatalf("seed %d: %q is %.30q, want %.30q: %v", seed, nameOf(i), got, m.acknowledged[nameOf(i)], err)
				}
			}
			if _, err := putBlob(s, "dir/00", "after", Condition{}); err != nil {
				t.Fatalf("seed %d: write after the faults: %v", seed, err)
			}
			m.acknowledged["dir/00"] = "after"
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
			s = openSim(t, sim.AfterCrash(rnd))
			m.verify(t, s, fmt.Sprintf("fault %d seed %d", fault, seed))
			s.Close()
		}
	}
}

// After bits of the stored files were flipped, a read returns the written bytes or
// an error.
func TestSpoiledBytes(t *testing.T) {
	corrupt := 0
	for seed := range int64(100) {
		rnd := rand.New(rand.NewSource(seed))
		sim, m := disk.NewSim(), newModel()
		s := openSim(t, sim)
		runWorkload(s, m, seed, 20)
		for range 20 {
			dir := []string{"log", "log", "bodies/00000000"}[rnd.Intn(3)]
			files, _ := sim.List(dir)
			if len(files) == 0 {
				continue
			}
			sim.FlipStoredBit(dir+"/"+files[rnd.Intn(len(files))], int64(rnd.Intn(16<<10)), uint(rnd.Intn(8)))
		}
		corrupt += m.verifyReads(t, s, seed)
		s.Close()
	}
	if corrupt < 20 {
		t.Errorf("only %d reads hit a flipped bit", corrupt)
	}
	t.Logf("%d reads hit a flipped bit", corrupt)
}

// verifyReads checks that each read returns an allowed value or ErrCorrupt, and
// returns the number of corrupt reads.
func (m *model) verifyReads(t *testing.T, s *Store, seed int64) (corrupt int) {
	t.Helper()
	for i := range nameCount {
		got, err := readBlob(s, nameOf(i))
		switch {
		case errors.Is(err, ErrCorrupt):
			corrupt++
		case err != nil:
			t.Fatalf("seed %d: %v", seed, err)
		case !m.allows(nameOf(i), got):
			t.Fatalf("seed %d: %q is %.30q, not an allowed value", seed, nameOf(i), got)
		}
	}
	if corrupt > 0 && (s.QuarantinedBlocks() == 0 || s.Counters().CorruptBlocks.Load() == 0) {
		t.Errorf("seed %d: %d reads failed, but the quarantine or the counter is empty", seed, corrupt)
	}
	return corrupt
}

func TestConditionsAndFormat(t *testing.T) {
	sim := disk.NewSim()
	s := openSim(t, sim)
	first, err := putBlob(s, "k", "one", Condition{Absent: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := putBlob(s, "k", "two", Condition{Version: first.Version}); err != nil {
		t.Fatal(err)
	}
	if _, err := putBlob(s, "k", "three", Condition{Version: first.Version}); !errors.Is(err, ErrVersionMismatch) {
		t.Errorf("write with an outdated version: %v", err)
	}
	if _, err := Open("sim", smallOptions(sim)); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: %v", err)
	}
	if _, _, err := s.Put(context.Background(), "o", Info{Name: "short", Size: 10}, strings.NewReader("abc"), nil, Condition{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated body: %v", err)
	}
	if _, _, err := s.Put(context.Background(), "o", Info{Name: "sum", Size: 3}, strings.NewReader("abc"), []uint32{1}, Condition{}); !errors.Is(err, ErrChecksumMismatch) {
		t.Errorf("body with wrong checksums: %v", err)
	}
	if _, err := s.Delete("o", "none", Condition{}); !errors.Is(err, ErrNotFound) {
		t.Errorf("delete of a missing blob: %v", err)
	}
	if _, err := putBlob(s, strings.Repeat("n", record.MaxNameAndMetaBytes), "", Condition{}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("name over the limit: %v", err)
	}
	s.Close()
	if _, err := putBlob(s, "k", "late", Condition{}); !errors.Is(err, ErrClosed) {
		t.Errorf("write after Close: %v", err)
	}
	for data, want := range map[string]string{`{"version":1}`: "arrowwalk store migrate", `{"version":9,"store":"1"}`: "version 9", `{`: formatFile} {
		dir := t.TempDir()
		if err := os.WriteFile(dir+"/"+formatFile, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(dir, Options{}); !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", data, err)
		}
	}
}

// Of concurrent writers with the same condition exactly one succeeds, whether or
// not they share a group.
func TestOneWins(t *testing.T) {
	s := openSim(t, disk.NewSim())
	defer s.Close()
	for round := range 50 {
		var wg sync.WaitGroup
		winners := make(chan int, 8)
		for i := range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if _, err := putBlob(s, fmt.Sprint("r", round), fmt.Sprint(i), Condition{Absent: true}); err == nil {
					winners <- i
				} else if !errors.Is(err, ErrVersionMismatch) {
					t.Error(err)
				}
			}()
		}
		wg.Wait()
		close(winners)
		if len(winners) != 1 {
			t.Fatalf("round %d: %d writers succeeded", round, len(winners))
		}
	}
}

// An open blob keeps returning its version's bytes after overwrites, compaction
// and the removal of its segment.
func TestOpenBlobKeepsItsVersion(t *testing.T) {
	s := openSim(t, disk.OS{Dir: t.TempDir()})
	defer s.Close()
	for _, size := range []int{10, 5000} {
		data := strings.Repeat("x", size)
		if _, err := putBlob(s, "k", data, Condition{}); err != nil {
			t.Fatal(err)
		}
		b, err := s.Get("o", "k")
		if err != nil {
			t.Fatal(err)
		}
		for i := range 200 {
			if _, err := putBlob(s, "k", strings.Repeat("y", 400+i), Condition{}); err != nil {
				t.Fatal(err)
			}
		}
		for range 3 {
			if _, err := putBlob(s, "other", "z", Condition{}); err != nil {
				t.Fatal(err)
			}
			if err := s.Checkpoint(); err != nil {
				t.Fatal(err)
			}
		}
		got := make([]byte, size)
		if n, err := b.ReadAt(got, 0); n != size || err != nil || string(got) != data {
			t.Errorf("read %d bytes, %v", n, err)
		}
		b.Close()
	}
	if n := len(s.Segments()); n > 2 {
		t.Errorf("%d segments are left although their records were overwritten", n)
	}
}

// On a full disk, deletes still succeed, and compaction then frees space for new
// writes without losing a blob.
func TestRoom(t *testing.T) {
	sim := disk.NewSim()
	sim.Capacity = 300 << 10
	opt := smallOptions(sim)
	opt.ReserveBytes = 40 << 10
	s, err := Open("sim", opt)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	n := 0
	for ; ; n++ {
		if _, err = putBlob(s, fmt.Sprint("k", n), strings.Repeat("b", 500), Condition{}); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrNoSpace) || !errors.Is(err, syscall.ENOSPC) || n < 100 {
		t.Fatalf("after %d writes: %v", n, err)
	}
	reclaim := func() {
		free, _ := sim.Free()
		if seg, ok := maintpolicy.ChooseSegment(s.Segments(), free, maintpolicy.CompactionPolicy{}); ok {
			if err := s.Compact(context.Background(), seg.Number, nil); err != nil && !errors.Is(err, syscall.ENOSPC) {
				t.Fatal(err)
			}
		}
		if err := s.Checkpoint(); err != nil && !errors.Is(err, syscall.ENOSPC) { // retried by the next call
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
			reclaim()
		}
	}
	for i := range n {
		got, err := readBlob(s, fmt.Sprint("k", i))
		if err != nil || (got != absent) != (i%4 == 0) {
			t.Fatalf("k%d: %.20q %v", i, got, err)
		}
	}
	if _, err := putBlob(s, "new", strings.Repeat("b", 500), Condition{}); err != nil {
		t.Errorf("write after compaction: %v", err)
	}
}

// Versions keep increasing if the clock is set back.
func TestClockSetBack(t *testing.T) {
	sim := disk.NewSim()
	now := int64(1 << 50)
	opt := smallOptions(sim)
	opt.NowMicros = func() int64 { return now }
	var last uint64
	for restart := range 3 {
		s, err := Open("sim", opt)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			info, err := putBlob(s, "k", fmt.Sprint(i), Condition{})
			if err != nil || info.Version <= last {
				t.Fatalf("restart %d: version %d after %d, %v", restart, info.Version, last, err)
			}
			last = info.Version
		}
		s.Close()
		now -= 1 << 40
	}
}

// A damaged group that was acknowledged is reported with its location, and the
// groups after it are replayed. A last group that a crash left incomplete is
// dropped without a report.
func TestDamagedTail(t *testing.T) {
	sim := disk.NewSim()
	s := openSim(t, sim)
	for i := range 6 {
		if _, err := putBlob(s, fmt.Sprint("k", i), "body", Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, tc := range []struct {
		group, offset  int64
		lost, reported int
	}{{2, 20, 1, 1}, {2, record.GroupHeaderLen + 20, 1, 2}, {2, record.GroupHeaderLen + record.RecordHeaderLen + 10, 0, 2}, {5, 20, 1, 0}} {
		after := sim.AfterCrash(rand.New(rand.NewSource(1)))
		if err := after.FlipStoredBit("log/00000001", record.SegmentHeaderLen+tc.group*record.GroupAlign+tc.offset, 1); err != nil {
			t.Fatal(err)
		}
		s := openSim(t, after)
		lost := 0
		for i := range 6 {
			got, err := s.Stat("o", fmt.Sprint("k", i))
			if err != nil {
				lost++
			}
			_ = got
		}
		if lost != tc.lost || len(s.RecoveryDamage()) != tc.reported {
			t.Errorf("group %d at %d: %d blobs lost, reported %v", tc.group, tc.offset, lost, s.RecoveryDamage())
		}
		s.Close()
	}
	s.Close()
}

// If the newest checkpoint is damaged, the one before it is used. If none is
// intact, the store refuses to open instead of opening empty.
func TestDamagedCheckpoint(t *testing.T) {
	sim := disk.NewSim()
	s := openSim(t, sim)
	m := newModel()
	for i := range 3 {
		runWorkload(s, m, int64(i), 20)
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
	s = openSim(t, sim)
	m.verify(t, s, "from the previous checkpoint")
	if len(s.RecoveryDamage()) != 1 || s.RecoveryDamage()[0].File != "check/"+files[1] {
		t.Errorf("reported damage %v", s.RecoveryDamage())
	}
	s.closeSegments() // stop without the checkpoint that Close writes
	s.queue.close()
	<-s.committerDone
	s.dirLock.Close()
	sim.FlipStoredBit("check/"+files[0], 70, 2)
	if _, err := Open("sim", smallOptions(sim)); !errors.Is(err, ErrCorrupt) {
		t.Errorf("without a checkpoint: %v", err)
	}
}

func TestList(t *testing.T) {
	s := openSim(t, disk.NewSim())
	defer s.Close()
	for _, n := range []string{"b/a", "b/d/1", "b/d/2", "b/e/1", "b/z", "c/a", "b/\xff/1", "b/d\xff"} {
		if _, err := putBlob(s, n, "x", Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, tc := range []struct {
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
		items, more := s.List("o", tc.q)
		var names []string
		for _, it := range items {
			if it.IsPrefix {
				it.Name += "*"
			}
			names = append(names, it.Name)
		}
		if got := strings.Join(names, " "); got != tc.want || more != tc.more {
			t.Errorf("%+v: %q more %v, want %q more %v", tc.q, got, more, tc.want, tc.more)
		}
	}
	if n, size := s.SpaceUsage("o"); n != 8 || size != 8 {
		t.Errorf("%d blobs, %d bytes", n, size)
	}
	visited := 0
	for p, ok := (Position{}), true; ok; visited++ {
		p, _, ok = s.NextBlob(p)
	}
	if visited != 9 {
		t.Errorf("NextBlob visited %d blobs", visited-1)
	}
}

// Reads may span blocks, and only the blocks that they touch are verified.
func TestRanges(t *testing.T) {
	sim := disk.NewSim()
	s, err := Open("sim", Options{FS: sim, MaxInlineBytes: 1 << 20, ReserveBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	data := make([]byte, 3*record.BlockSize+100)
	rand.New(rand.NewSource(1)).Read(data)
	for _, maxInline := range []int64{1 << 20, 10} {
		s.opt.MaxInlineBytes = maxInline
		if _, _, err := s.Put(context.Background(), "o", Info{Name: "k", Size: int64(len(data))}, bytes.NewReader(data), record.AppendChecksums(nil, data), Condition{}); err != nil {
			t.Fatal(err)
		}
		b, err := s.Get("o", "k")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range [][2]int{{0, 10}, {record.BlockSize - 5, 10}, {100, 2 * record.BlockSize}, {len(data) - 5, 5}} {
			got := make([]byte, r[1])
			if n, err := b.ReadAt(got, int64(r[0])); err != nil || n != r[1] || !bytes.Equal(got, data[r[0]:r[0]+r[1]]) {
				t.Errorf("%v: %d bytes, %v", r, n, err)
			}
		}
		sim.FlipStoredBit(b.fileName, b.bodyOffset+record.BlockSize+7, 0)
		got := make([]byte, 10)
		if _, err := b.ReadAt(got, 0); err != nil {
			t.Errorf("read next to the corrupt block: %v", err)
		}
		if n, err := b.ReadAt(got, record.BlockSize-5); n != 5 || !errors.Is(err, ErrCorrupt) {
			t.Errorf("read into the corrupt block: %d bytes, %v", n, err)
		}
		b.Close()
	}
}

// A snapshot does not change during writes, deletes and compaction. Importing its
// export into another store reproduces it, and a truncated or corrupt export is
// rejected.
func TestSnapshot(t *testing.T) {
	s := openSim(t, disk.NewSim())
	defer s.Close()
	m := newModel()
	runWorkload(s, m, 1, 40)
	var want, out bytes.Buffer
	snap := s.Snapshot()
	if err := snap.Dump(&want); err != nil {
		t.Fatal(err)
	}
	expected := map[string]string{}
	for i := range nameCount {
		expected[nameOf(i)], _ = readBlob(s, nameOf(i))
	}
	runWorkload(s, m, 2, 60)
	for range 3 {
		putBlob(s, "more", "x", Condition{})
		if err := s.Checkpoint(); err != nil {
			t.Fatal(err)
		}
	}
	blobs, err := snap.Export(context.Background(), &out)
	if err != nil || blobs != strings.Count(want.String(), "\n") {
		t.Fatalf("%d blobs, %v", blobs, err)
	}
	snap.Close()
	if len(s.deferredRemovals) != 0 {
		t.Errorf("removals still deferred: %v", s.deferredRemovals)
	}
	exported := out.Bytes()
	imported := openSim(t, disk.NewSim())
	stored, skipped, err := imported.Import(context.Background(), bytes.NewReader(exported))
	if err != nil || stored != blobs || skipped != 0 {
		t.Fatalf("stored %d, skipped %d, %v", stored, skipped, err)
	}
	for name, v := range expected {
		if got, err := readBlob(imported, name); err != nil || got != v {
			t.Errorf("%q is %.20q, want %.20q: %v", name, got, v, err)
		}
	}
	if stored, skipped, err := imported.Import(context.Background(), bytes.NewReader(exported)); err != nil || stored != 0 || skipped != blobs {
		t.Errorf("second import: stored %d, skipped %d, %v", stored, skipped, err)
	}
	imported.Close()
	rnd := rand.New(rand.NewSource(1))
	for i := range 200 {
		bad := bytes.Clone(exported[:rnd.Intn(len(exported))])
		if i%2 == 0 {
			bad = bytes.Clone(exported)
			bad[rnd.Intn(len(bad))] ^= 1
		}
		target := openSim(t, disk.NewSim())
		if _, _, err := target.Import(context.Background(), bytes.NewReader(bad)); err == nil {
			t.Fatalf("case %d: a damaged export was accepted", i)
		}
		target.Close()
	}
}

func FuzzImport(f *testing.F) {
	s, err := Open("sim", smallOptions(disk.NewSim()))
	if err != nil {
		f.Fatal(err)
	}
	putBlob(s, "k", strings.Repeat("b", 700), Condition{})
	snap := s.Snapshot()
	var out bytes.Buffer
	snap.Export(context.Background(), &out)
	snap.Close()
	s.Close()
	f.Add(out.Bytes())
	f.Add([]byte(exportMagic))
	f.Fuzz(func(t *testing.T, b []byte) {
		sim := disk.NewSim()
		sim.Capacity = 1 << 20
		s, err := Open("sim", smallOptions(sim))
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.Import(context.Background(), bytes.NewReader(b))
	})
}

func FuzzCheckpoint(f *testing.F) {
	sim := disk.NewSim()
	s, err := Open("sim", smallOptions(sim))
	if err != nil {
		f.Fatal(err)
	}
	putBlob(s, "k", "b", Condition{})
	s.Close()
	names, _ := sim.List("check")
	data, _ := disk.ReadFile(sim, "check/"+names[0], 1<<20)
	f.Add(data)
	f.Fuzz(func(t *testing.T, b []byte) {
		sim := disk.NewSim()
		file, _ := sim.Create("c")
		file.WriteAt(b, 0)
		readCheckpoint(file, s.id)
	})
}

// runEveryOperation performs one of each operation: writes, overwrites with inline
// and large bodies, conditional writes, deletes, a compaction, checkpoints, and a
// snapshot with its export.
func runEveryOperation(s *Store, m *model) {
	write := func(name string, size int, c Condition) {
		body := strings.Repeat(name[len(name)-1:], size)
		m.begin(name, body)
		_, err := putBlob(s, name, body, c)
		m.end(name, body, err)
	}
	for i := range 4 {
		write(nameOf(i), 100+i, Condition{})
	}
	write(nameOf(0), 300, Condition{})
	write(nameOf(4), 3000, Condition{Absent: true})
	snap := s.Snapshot()
	write(nameOf(4), 2000, Condition{})
	m.begin(nameOf(1), absent)
	_, err := s.Delete("o", nameOf(1), Condition{})
	m.end(nameOf(1), absent, err)
	snap.Export(context.Background(), io.Discard)
	snap.Close()
	s.tail.sealed = true // the next group starts a new segment
	write(nameOf(2), 50, Condition{})
	s.Checkpoint()
	if segments := s.Segments(); len(segments) > 0 {
		s.Compact(context.Background(), segments[0].Number, nil)
	}
	write(nameOf(5), 700, Condition{})
	s.Checkpoint()
	write(nameOf(5), 10, Condition{})
	s.Checkpoint()
}

// A crash at any disk call of runEveryOperation loses no acknowledged write. Each
// call is tried with four random choices of the unsynced data that survives.
func TestCrashAtEveryCall(t *testing.T) {
	countingSim := disk.NewSim()
	s := openSim(t, countingSim)
	runEveryOperation(s, newModel())
	s.Close()
	for crashCall := 1; crashCall <= countingSim.CallCount(); crashCall++ {
		for try := range int64(4) {
			sim, m := disk.NewSim(), newModel()
			sim.SetFaultFunc(func(c disk.Call) disk.Fault {
				if c.Number >= crashCall {
					return disk.Crash
				}
				return disk.NoFault
			})
			if s, err := Open("sim", smallOptions(sim)); err == nil {
				runEveryOperation(s, m)
				s.Close()
			}
			s := openSim(t, sim.AfterCrash(rand.New(rand.NewSource(try))))
			label := fmt.Sprintf("crash at call %d, try %d", crashCall, try)
			m.verify(t, s, label)
			if _, _, err := s.Check(context.Background(), func(d Damage) { t.Errorf("%s: %s", label, d) }); err != nil {
				t.Fatal(err)
			}
			s.Close()
		}
	}
	t.Logf("%d calls", countingSim.CallCount())
}

// After the disk has become read-only, writes fail and all earlier blobs can be
// read.
func TestReadOnlyDisk(t *testing.T) {
	sim := disk.NewSim()
	s := openSim(t, sim)
	for i := range 20 {
		if _, err := putBlob(s, nameOf(i%nameCount), strings.Repeat("b", 100+50*i), Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	injected := false
	sim.SetFaultFunc(func(c disk.Call) disk.Fault {
		if c.Op == "write" && !injected {
			injected = true
			return disk.ReadOnly
		}
		return disk.NoFault
	})
	for i := range 5 {
		if _, err := putBlob(s, "new", strings.Repeat("c", 100+500*i), Condition{}); !errors.Is(err, syscall.EROFS) {
			t.Errorf("write %d: %v", i, err)
		}
	}
	if _, err := s.Delete("o", nameOf(0), Condition{}); !errors.Is(err, syscall.EROFS) {
		t.Errorf("delete: %v", err)
	}
	for i := range nameCount {
		if got, err := readBlob(s, nameOf(i)); err != nil || got == absent {
			t.Errorf("%q: %.10q %v", nameOf(i), got, err)
		}
	}
	if err := s.Close(); !errors.Is(err, syscall.EROFS) {
		t.Errorf("close: %v", err)
	}
}

// A missing segment is reported. Reads of blobs in it, or of a blob whose body
// file is missing, fail; all others succeed.
func TestMissingFiles(t *testing.T) {
	sim := disk.NewSim()
	s := openSim(t, sim)
	for i := range 60 {
		if _, err := putBlob(s, fmt.Sprint("k", i), strings.Repeat("b", 550), Condition{}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := putBlob(s, "big", strings.Repeat("b", 5000), Condition{}); err != nil {
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
	s = openSim(t, sim)
	defer s.Close()
	if len(s.RecoveryDamage()) != 1 || s.RecoveryDamage()[0].File != "log/00000002" {
		t.Errorf("reported damage %v", s.RecoveryDamage())
	}
	lost := 0
	for i := range 60 {
		if _, err := readBlob(s, fmt.Sprint("k", i)); errors.Is(err, ErrCorrupt) {
			lost++
		} else if err != nil {
			t.Error(err)
		}
	}
	if _, err := readBlob(s, "big"); !errors.Is(err, ErrCorrupt) || lost == 0 || lost > 40 {
		t.Errorf("%d blobs fail; the blob with a body file: %v", lost, err)
	}
	if _, err := putBlob(s, "big", "again", Condition{}); err != nil {
		t.Error(err)
	}
	if got, err := readBlob(s, "big"); err != nil || got != "again" {
		t.Errorf("after rewriting: %q %v", got, err)
	}
}
