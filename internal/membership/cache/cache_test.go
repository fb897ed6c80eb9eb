package cache

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func testList(version int64, n int) *List {
	l := &List{Header: Header{Version: version, Source: "zk", AcceptedAt: 1_790_000_000_000_000}}
	for i := range n {
		l.Bricks = append(l.Bricks, Entry{Name: fmt.Sprint("brick-", i), Address: fmt.Sprintf("10.0.0.%d:9100", i), Zone: "zone-a", Shard: i, LastConfirmed: l.AcceptedAt})
	}
	return l
}

func saveLists(t *testing.T, path string, lists ...*List) {
	t.Helper()
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	for _, l := range lists {
		if err := d.Save(l); err != nil {
			t.Fatal(err)
		}
	}
}

func TestTwoGenerations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cache")
	if l, damage := Load(path); l != nil || len(damage) != 1 || !errors.Is(damage[0], ErrNotFound) {
		t.Errorf("missing cache: %v %v", l, damage)
	}
	saveLists(t, path, testList(1, 3), testList(2, 4))
	saveLists(t, path, testList(3, 5))
	l, damage := Load(path)
	if want := testList(3, 5); len(damage) != 0 || l.Version != 3 || l.Generation != 3 || !reflect.DeepEqual(l.Bricks, want.Bricks) {
		t.Errorf("%+v %v", l, damage)
	}
	info, err := os.Stat(filepath.Join(path, newestFile))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", info.Mode(), err)
	}
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Errorf("second process: %v", err)
	}
	d.Close()
}

// If the newest file is truncated at any byte, or any of its bits is flipped, Load
// must return the previous generation and an error that names the file.
func TestEveryDamageIsTold(t *testing.T) {
	path := t.TempDir()
	saveLists(t, path, testList(1, 2), testList(2, 3))
	file := filepath.Join(path, newestFile)
	intact, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	check := func(description string, text []byte) {
		t.Helper()
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		l, damage := Load(path)
		if l == nil || l.Version != 1 || len(l.Bricks) != 2 || len(damage) != 1 || !strings.Contains(damage[0].Error(), newestFile) {
			t.Fatalf("%s: %+v, %v", description, l, damage)
		}
		if found := Verify(path); len(found) == 0 {
			t.Fatalf("%s: Verify finds nothing", description)
		}
	}
	for offset := range intact {
		check(fmt.Sprint("truncated at ", offset), intact[:offset])
		for bit := range 8 {
			corrupted := append([]byte{}, intact...)
			corrupted[offset] ^= 1 << bit
			check(fmt.Sprintf("bit %d of byte %d", bit, offset), corrupted)
		}
	}
	check("newer format", append([]byte("AWMC9"), intact[5:]...))
	check("empty line inserted", []byte(strings.Replace(string(intact), "\n", "\n\n", 1)))
	check("empty", nil)
	for _, l := range Verify(path) {
		if !strings.Contains(l.Error(), file) {
			t.Errorf("%v does not name the file", l)
		}
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(file, 0o700); err != nil {
		t.Fatal(err)
	}
	if l, damage := Load(path); l == nil || l.Version != 1 || len(damage) != 1 {
		t.Errorf("directory instead of the file: %v %v", l, damage)
	}
}

// Save must not replace an intact previous generation by a damaged newest one, and
// must fail if the directory is missing.
func TestSavesThatMeetDamage(t *testing.T) {
	path := t.TempDir()
	saveLists(t, path, testList(1, 2), testList(2, 3))
	file := filepath.Join(path, newestFile)
	if err := os.WriteFile(file, []byte("AWMC1 nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	saveLists(t, path, testList(3, 4))
	if l, err := readList(filepath.Join(path, previousFile)); err != nil || l.Version != 1 {
		t.Errorf("previous generation: %+v, %v", l, err)
	}
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if err := os.RemoveAll(path); err != nil { // stands for a disk that cannot be written
		t.Fatal(err)
	}
	if err := d.Save(testList(4, 1)); err == nil {
		t.Error("Save succeeds without a directory")
	}
}

func FuzzParse(f *testing.F) {
	text, err := encodeList(testList(1, 2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("AWMC1 00000000 {}\nEND 00000000\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, damage := parse("f", text)
		if len(damage) > 0 {
			return
		}
		if l == nil || l.Count != len(l.Bricks) {
			t.Fatalf("%+v without damage", l)
		}
	})
}

func BenchmarkLoad5000(b *testing.B) {
	text, err := encodeList(testList(1, 5000))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, damage := parse("f", text); len(damage) > 0 {
			b.Fatal(damage)
		}
	}
}
