package filestore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func open(t *testing.T, path string) *Store {
	t.Helper()
	d, err := Open(path, Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.Close() })
	return d
}

func put(t *testing.T, d *Store, name, body string, c Condition) (Info, error) {
	t.Helper()
	info, _, err := d.Put(context.Background(), "o", Info{Name: name, Size: int64(len(body)), Meta: []byte("m")},
		strings.NewReader(body), c)
	return info, err
}

func body(t *testing.T, d *Store, name string) string {
	t.Helper()
	b, err := d.Get("o", name)
	if err != nil {
		return "error: " + err.Error()
	}
	defer b.Close()
	text, err := io.ReadAll(io.NewSectionReader(b.File, b.Offset, b.Size))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestConditionsAndCrashLeftovers(t *testing.T) {
	path := t.TempDir()
	d := open(t, path)
	first, err := put(t, d, "k", "one", Condition{Absent: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := put(t, d, "k", "two", Condition{Version: first.Version}); err != nil {
		t.Fatal(err)
	}
	if _, err := put(t, d, "k", "three", Condition{Version: first.Version}); !errors.Is(err, ErrVersionMismatch) {
		t.Errorf("write over an old version: %v", err)
	}
	if _, err := Open(path, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: %v", err)
	}
	short := Info{Name: "short", Size: 10}
	if _, _, err := d.Put(context.Background(), "o", short, strings.NewReader("abc"), Condition{}); err == nil {
		t.Error("a body cut short was stored")
	}
	file := d.blobPath("o", "k")
	d.Close()

	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(text) { // a file torn anywhere is told, never served
		if err := os.WriteFile(file, text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		d := open(t, path)
		if got := body(t, d, "k"); !strings.HasPrefix(got, "error") || len(d.Damaged) != 1 {
			t.Fatalf("torn at %d: read %q, broken %v", cut, got, d.Damaged)
		}
		d.Close()
	}
	if err := os.WriteFile(filepath.Join(path, "tmp", "put1"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	open(t, path)
	if left, _ := os.ReadDir(filepath.Join(path, "tmp")); len(left) != 0 {
		t.Errorf("temporary files left: %v", left)
	}
	if err := os.WriteFile(filepath.Join(path, formatFile), []byte(`{"version":9}`), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestOpenBlobKeepsItsVersion(t *testing.T) {
	d := open(t, t.TempDir())
	if _, err := put(t, d, "k", "first", Condition{}); err != nil {
		t.Fatal(err)
	}
	b, err := d.Get("o", "k")
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if _, err := put(t, d, "k", "second", Condition{}); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, b.Size)
	if _, err := b.File.ReadAt(got, b.Offset); err != nil || !bytes.Equal(got, []byte("first")) {
		t.Errorf("read %q, %v", got, err)
	}
	if !slices.Contains([]string{"second"}, body(t, d, "k")) {
		t.Errorf("holds %q", body(t, d, "k"))
	}
}
