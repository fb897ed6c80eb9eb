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

func openStore(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path, Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func putBlob(t *testing.T, s *Store, name, body string, c Condition) (Info, error) {
	t.Helper()
	info, _, err := s.Put(context.Background(), "o", Info{Name: name, Size: int64(len(body)), Meta: []byte("m")},
		strings.NewReader(body), c)
	return info, err
}

func readBody(t *testing.T, s *Store, name string) string {
	t.Helper()
	b, err := s.Get("o", name)
	if err != nil {
		return "error: " + err.Error()
	}
	defer b.Close()
	data, err := io.ReadAll(io.NewSectionReader(b.File, b.Offset, b.Size))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestConditionsAndCrashLeftovers(t *testing.T) {
	path := t.TempDir()
	s := openStore(t, path)
	first, err := putBlob(t, s, "k", "one", Condition{Absent: true})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := putBlob(t, s, "k", "two", Condition{Version: first.Version}); err != nil {
		t.Fatal(err)
	}
	if _, err := putBlob(t, s, "k", "three", Condition{Version: first.Version}); !errors.Is(err, ErrVersionMismatch) {
		t.Errorf("write with an outdated version: %v", err)
	}
	if _, err := Open(path, Options{}); !errors.Is(err, ErrLocked) {
		t.Errorf("second open: %v", err)
	}
	short := Info{Name: "short", Size: 10}
	if _, _, err := s.Put(context.Background(), "o", short, strings.NewReader("abc"), Condition{}); err == nil {
		t.Error("a truncated body was stored")
	}
	file := s.blobPath("o", "k")
	s.Close()

	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range len(data) { // a file truncated at any offset is reported and never served
		if err := os.WriteFile(file, data[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		s := openStore(t, path)
		if got := readBody(t, s, "k"); !strings.HasPrefix(got, "error") || len(s.Damaged) != 1 {
			t.Fatalf("truncated at %d: read %q, damaged %v", cut, got, s.Damaged)
		}
		s.Close()
	}
	if err := os.WriteFile(filepath.Join(path, "tmp", "put1"), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	openStore(t, path)
	if left, _ := os.ReadDir(filepath.Join(path, "tmp")); len(left) != 0 {
		t.Errorf("temporary files left: %v", left)
	}
	if err := os.WriteFile(filepath.Join(path, formatFile), []byte(`{"version":9}`), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestOpenBlobKeepsItsVersion(t *testing.T) {
	s := openStore(t, t.TempDir())
	if _, err := putBlob(t, s, "k", "first", Condition{}); err != nil {
		t.Fatal(err)
	}
	b, err := s.Get("o", "k")
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if _, err := putBlob(t, s, "k", "second", Condition{}); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, b.Size)
	if _, err := b.File.ReadAt(got, b.Offset); err != nil || !bytes.Equal(got, []byte("first")) {
		t.Errorf("read %q, %v", got, err)
	}
	if !slices.Contains([]string{"second"}, readBody(t, s, "k")) {
		t.Errorf("stored body is %q", readBody(t, s, "k"))
	}
}
