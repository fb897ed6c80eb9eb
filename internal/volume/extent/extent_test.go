package extent

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
)

// Pieces cover a range whole, in order, each inside one extent.
func TestSplit(t *testing.T) {
	r, err := New("v", 10*DefaultExtentBytes+4096, 4096, "basic")
	if err != nil {
		t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		from := rnd.Int64N(r.SizeBytes)
		bytes := 1 + rnd.Int64N(r.SizeBytes-from)
		at := from
		for _, p := range r.SplitRange(from, bytes, nil) {
			if p.ExtentIndex*r.ExtentBytes+p.Offset != at || p.Bytes <= 0 || p.Offset+p.Bytes > r.ExtentBytes {
				t.Fatalf("%d bytes from %d: piece %+v at %d", bytes, from, p, at)
			}
			at += p.Bytes
		}
		if at != from+bytes {
			t.Fatalf("%d bytes from %d end at %d", bytes, from, at)
		}
	}
	if r.ExtentCount() != 11 || r.ExtentName(3) != "v/3" {
		t.Errorf("%d extents, %q", r.ExtentCount(), r.ExtentName(3))
	}
}

// A volume has one holder; each attachment has an epoch over all before.
func TestHolders(t *testing.T) {
	r, err := New("v", 1<<20, 512, "basic")
	if err != nil {
		t.Fatal(err)
	}
	a, err := r.Attach("host-a", false, 5)
	if err != nil || a.Epoch != 1 || a.Holder != "host-a" {
		t.Fatalf("%+v, %v", a, err)
	}
	var held *HeldError
	if _, err := a.Attach("host-b", false, 6); !errors.As(err, &held) || held.Holder != "host-a" {
		t.Errorf("a second holder: %v", err)
	}
	again, err := a.Attach("host-a", false, 6)
	if err != nil || again.Epoch != 2 {
		t.Errorf("its own holder anew: %+v, %v", again, err)
	}
	b, err := again.Attach("host-b", true, 7)
	if err != nil || b.Epoch != 3 || b.Holder != "host-b" {
		t.Errorf("stolen: %+v, %v", b, err)
	}
	if _, err := b.Detach(2); err == nil {
		t.Error("an attachment that is over took the volume from its holder")
	}
	if _, err := b.Resize(1 << 19); !errors.As(err, &held) {
		t.Errorf("shrunk under its holder: %v", err)
	}
	free, err := b.Detach(3)
	if err != nil || free.Holder != "" || free.Epoch != 3 {
		t.Errorf("%+v, %v", free, err)
	}
	small, err := free.Resize(1 << 19)
	if err != nil || small.MapVersion != 2 {
		t.Errorf("%+v, %v", small, err)
	}
	if got, err := Decode(small.Encode()); err != nil || *got != *small {
		t.Errorf("%+v, %v", got, err)
	}
}

// A bad record is refused, and the field named.
func TestBadRecords(t *testing.T) {
	for want, make := range map[string]func() (*VolumeRecord, error){
		"name":       func() (*VolumeRecord, error) { return New("Über", 4096, 512, "") },
		"block size": func() (*VolumeRecord, error) { return New("v", 4096, 1000, "") },
		"size 100":   func() (*VolumeRecord, error) { return New("v", 100, 512, "") },
		"record":     func() (*VolumeRecord, error) { return Decode([]byte("{")) },
		"extent": func() (*VolumeRecord, error) {
			return Decode([]byte(`{"name":"v","bytes":4096,"block":512,"extent":700}`))
		},
	} {
		if _, err := make(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

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
