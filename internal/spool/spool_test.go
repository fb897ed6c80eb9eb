package spool

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"testing"
)

// Bodies of all sizes are read back whole from memory and files, and Release
// frees everything that they used.
func TestBodiesThroughBounds(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct {
		memory, file int64
		size         int
		spilled      bool
		full         bool
	}{
		{1 << 20, 0, 0, false, false},
		{1 << 20, 0, 1, false, false},
		{1 << 20, 0, PageBytes, false, false},
		{1 << 20, 0, 1 << 20, false, false},
		{1 << 20, 0, 1<<20 + 1, false, true},
		{2 * PageBytes, 1 << 20, 5*PageBytes + 7, true, false},
		{0, 1 << 20, 10, true, false},
		{PageBytes, 4 * PageBytes, 9 * PageBytes, true, true},
		{0, 0, 1, false, true},
	} {
		p := NewPool(c.memory, c.file, t.TempDir())
		body := make([]byte, c.size)
		rng.Read(body)
		b := p.NewBuffer()
		n, err := b.Fill(bytes.NewReader(body), 1<<30)
		if c.full != errors.Is(err, ErrFull) || !c.full && (err != nil || n != int64(c.size)) {
			t.Errorf("%+v: fill %d, %v", c, n, err)
		}
		if b.IsSpilled() != c.spilled {
			t.Errorf("%+v: spilled %v", c, b.IsSpilled())
		}
		for range 2 { // a body may be sent more than once
			if got, err := io.ReadAll(b.Reader()); err != nil || !bytes.Equal(got, body[:b.Len()]) {
				t.Errorf("%+v: read %d bytes, %v", c, len(got), err)
			}
		}
		b.Release()
		if u := p.Usage(); u.Memory != 0 || u.File != 0 {
			t.Errorf("%+v: still in use after release: %+v", c, u)
		}
		if _, err := b.Write(body[:min(c.size, 10)]); c.size == 0 && err != nil {
			t.Errorf("%+v: write after release: %v", c, err)
		}
		b.Release()
	}
}
