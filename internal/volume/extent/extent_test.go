package extent

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestSplit checks that the pieces cover random ranges completely and in order,
// each inside one extent.
func TestSplit(t *testing.T) {
	r, err := New("v", 10*DefaultExtentBytes+4096, 4096, "basic")
	if err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		offset := random.Int64N(r.SizeBytes)
		bytes := 1 + random.Int64N(r.SizeBytes-offset)
		next := offset
		for _, p := range r.SplitRange(offset, bytes, nil) {
			if p.ExtentIndex*r.ExtentBytes+p.Offset != next || p.Bytes <= 0 || p.Offset+p.Bytes > r.ExtentBytes {
				t.Fatalf("%d bytes at %d: piece %+v, want one at %d", bytes, offset, p, next)
			}
			next += p.Bytes
		}
		if next != offset+bytes {
			t.Fatalf("%d bytes at %d: the pieces end at %d", bytes, offset, next)
		}
	}
	if r.ExtentCount() != 11 || r.ExtentName(3) != "v/3" {
		t.Errorf("%d extents, %q", r.ExtentCount(), r.ExtentName(3))
	}
}

// TestHolders checks that a volume has one holder at a time and that each
// attachment has an epoch above all earlier ones.
func TestHolders(t *testing.T) {
	r, err := New("v", 1<<20, 512, "basic")
	if err != nil {
		t.Fatal(err)
	}
	first, err := r.Attach("host-a", false, 5)
	if err != nil || first.Epoch != 1 || first.Holder != "host-a" {
		t.Fatalf("%+v, %v", first, err)
	}
	var held *HeldError
	if _, err := first.Attach("host-b", false, 6); !errors.As(err, &held) || held.Holder != "host-a" {
		t.Errorf("attach by a second holder: %v", err)
	}
	again, err := first.Attach("host-a", false, 6)
	if err != nil || again.Epoch != 2 {
		t.Errorf("attach again by the current holder: %+v, %v", again, err)
	}
	stolen, err := again.Attach("host-b", true, 7)
	if err != nil || stolen.Epoch != 3 || stolen.Holder != "host-b" {
		t.Errorf("attach with steal: %+v, %v", stolen, err)
	}
	if _, err := stolen.Detach(2); err == nil {
		t.Error("a replaced attachment could detach the volume")
	}
	if _, err := stolen.Resize(1 << 19); !errors.As(err, &held) {
		t.Errorf("shrink while attached: %v", err)
	}
	detached, err := stolen.Detach(3)
	if err != nil || detached.Holder != "" || detached.Epoch != 3 {
		t.Errorf("%+v, %v", detached, err)
	}
	shrunk, err := detached.Resize(1 << 19)
	if err != nil || shrunk.MapVersion != 2 {
		t.Errorf("%+v, %v", shrunk, err)
	}
	if got, err := Decode(shrunk.Encode()); err != nil || *got != *shrunk {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestBadRecords checks that an invalid record is refused with an error that names
// the field.
func TestBadRecords(t *testing.T) {
	for want, makeRecord := range map[string]func() (*VolumeRecord, error){
		"name":       func() (*VolumeRecord, error) { return New("Über", 4096, 512, "") },
		"block size": func() (*VolumeRecord, error) { return New("v", 4096, 1000, "") },
		"size 100":   func() (*VolumeRecord, error) { return New("v", 100, 512, "") },
		"record":     func() (*VolumeRecord, error) { return Decode([]byte("{")) },
		"extent": func() (*VolumeRecord, error) {
			return Decode([]byte(`{"name":"v","bytes":4096,"block":512,"extent":700}`))
		},
	} {
		if _, err := makeRecord(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// FuzzDecode checks that every record that decodes has at least one extent and can
// be split.
func FuzzDecode(f *testing.F) {
	r, err := New("v", 1<<20, 512, "basic")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(r.Encode())
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Decode(text)
		if err == nil && (r.ExtentCount() < 1 || len(r.SplitRange(0, min(r.SizeBytes, 1<<20), nil)) == 0) {
			t.Errorf("%+v", r)
		}
	})
}
