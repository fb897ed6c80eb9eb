package store

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"arrowwalk/internal/store/disk"
)

// Guards against a late write or delete that takes effect although its blob was changed
// after the version that its writer had seen, also by a delete and across a restart.
func TestChangesAfterTheSeenVersionRejectAWrite(t *testing.T) {
	sim := disk.NewSim()
	s := openSim(t, sim)
	put := func(name string, since uint64) error {
		_, _, err := s.Put(context.Background(), "o", Info{Name: name, Size: 4}, strings.NewReader("text"), nil, Condition{Since: since})
		return err
	}
	remove := func(name string, since uint64) error {
		_, err := s.DeleteWith("o", name, Condition{Since: since}, Effects{})
		return err
	}
	expect := func(step string, got, want error) {
		t.Helper()
		if !errors.Is(got, want) {
			t.Errorf("%s: %v, want %v", step, got, want)
		}
	}
	seen := s.Version()
	expect("first put", put("k", seen), nil)
	expect("late put", put("k", seen), ErrChangedSince)
	expect("late delete", remove("k", seen), ErrChangedSince)
	expect("put of another name", put("other", seen), nil)
	afterPut := s.Version()
	expect("delete", remove("k", afterPut), nil)
	expect("put that is late behind a delete", put("k", afterPut), ErrChangedSince)
	expect("delete of nothing", remove("k", s.Version()), ErrNotFound)
	afterDelete := s.Version()
	s.Close()
	s = openSim(t, sim)
	defer s.Close()
	if s.Version() < afterDelete {
		t.Errorf("version %d after a restart, %d before", s.Version(), afterDelete)
	}
	expect("put that is late behind a delete before the restart", put("k", afterPut), ErrChangedSince)
	expect("put", put("k", s.Version()), nil)
}

// Writes of one group see each other: of those that have seen the same version one alone
// takes effect.
func TestOneOfManyWritesOfASeenVersionTakesEffect(t *testing.T) {
	s := openSim(t, disk.NewSim())
	defer s.Close()
	seen := s.Version()
	const writers = 32
	results := make(chan error, writers)
	for i := range writers {
		go func() {
			body := fmt.Sprint(i)
			_, _, err := s.Put(context.Background(), "o", Info{Name: "k", Size: int64(len(body))}, strings.NewReader(body), nil, Condition{Since: seen})
			results <- err
		}()
	}
	stored := 0
	for range writers {
		switch err := <-results; {
		case err == nil:
			stored++
		case !errors.Is(err, ErrChangedSince):
			t.Error(err)
		}
	}
	if stored != 1 {
		t.Errorf("%d writes took effect, want 1", stored)
	}
}
