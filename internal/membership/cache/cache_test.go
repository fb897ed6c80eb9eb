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

func list(version int64, n int) *List {
	l := &List{Header: Header{Version: version, Source: "zk", AcceptedAt: 1_790_000_000_000_000}}
	for i := range n {
		l.Bricks = append(l.Bricks, Entry{Name: fmt.Sprint("brick-", i), Address: fmt.Sprintf("10.0.0.%d:9100", i), Zone: "zone-a", Shard: i, LastConfirmed: l.AcceptedAt})
	}
	return l
}

func save(t *testing.T, path string, lists ...*List) {
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
		t.Errorf("no cache: %v %v", l, damage)
	}
	save(t, path, list(1, 3), list(2, 4))
	save(t, path, list(3, 5))
	l, damage := Load(path)
	if want := list(3, 5); len(damage) != 0 || l.Version != 3 || l.Generation != 3 || !reflect.DeepEqual(l.Bricks, want.Bricks) {
		t.Errorf("%+v %v", l, damage)
	}
	st, err := os.Stat(filepath.Join(path, newest))
	if err != nil || st.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", st.Mode(), err)
	}
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Errorf("second host: %v", err)
	}
	d.Close()
}

// Cut at every byte, and with one bit flipped in every byte, the newest is
// never taken, the one before is, and a line names the file and the place.
func TestEveryDamageIsTold(t *testing.T) {
	path := t.TempDir()
	save(t, path, list(1, 2), list(2, 3))
	file := filepath.Join(path, newest)
	good, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, text []byte) {
		t.Helper()
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		l, damage := Load(path)
		if l == nil || l.Version != 1 || len(l.Bricks) != 2 || len(damage) != 1 || !strings.Contains(damage[0].Error(), newest) {
			t.Fatalf("%s: %+v, %v", what, l, damage)
		}
		if all := Verify(path); len(all) == 0 {
			t.Fatalf("%s: verify finds nothing", what)
		}
	}
	for at := range good {
		check(fmt.Sprint("cut at ", at), good[:at])
		for bit := range 8 {
			bent := append([]byte{}, good...)
			bent[at] ^= 1 << bit
			check(fmt.Sprintf("bit %d of byte %d", bit, at), bent)
		}
	}
	check("newer format", append([]byte("AWMC9"), good[5:]...))
	check("lines swapped", []byte(strings.Replace(string(good), "\n", "\n\n", 1)))
	check("empty", nil)
	for _, l := range Verify(path) {
		if !strings.Contains(l.Error(), file) {
			t.Errorf("%v names no file", l)
		}
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(file, 0o700); err != nil {
		t.Fatal(err)
	}
	if l, damage := Load(path); l == nil || l.Version != 1 || len(damage) != 1 {
		t.Errorf("a directory in its place: %v %v", l, damage)
	}
}

// A damaged newest does not push out the good one before it, and a save that
// fails leaves what was kept.
func TestSavesThatMeetDamage(t *testing.T) {
	path := t.TempDir()
	save(t, path, list(1, 2), list(2, 3))
	file := filepath.Join(path, newest)
	if err := os.WriteFile(file, []byte("AWMC1 nonsense"), 0o600); err != nil {
		t.Fatal(err)
	}
	save(t, path, list(3, 4))
	if l, err := read(filepath.Join(path, previous)); err != nil || l.Version != 1 {
		t.Errorf("the one before: %+v, %v", l, err)
	}
	d, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if err := os.RemoveAll(path); err != nil { // as a disk that takes nothing
		t.Fatal(err)
	}
	if err := d.Save(list(4, 1)); err == nil {
		t.Error("a save without a directory succeeds")
	}
}

func FuzzParse(f *testing.F) {
	text, err := encode(list(1, 2))
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
	text, err := encode(list(1, 5000))
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
