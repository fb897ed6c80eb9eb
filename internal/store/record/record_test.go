package record

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

func sample() Record {
	body := bytes.Repeat([]byte("body"), 20_000)
	return Record{Kind: Put, Flags: Whole, Space: "o", Name: "bucket/\xff\x00key", Meta: []byte("meta"), Size: int64(len(body)), Version: 7, Sums: Sums(nil, body)}
}

func TestRoundTrips(t *testing.T) {
	for _, r := range []Record{sample(), {Kind: Delete, Space: "p", Name: "n", Version: 8},
		{Kind: Put, Flags: Big, Size: 1, File: 9, Sums: []uint32{1}, Version: 2}} {
		text := r.Append([]byte("before"))[6:]
		got, n, err := Parse(append(text, "body"...))
		if err != nil || n != len(text) || n != r.Head() || !reflect.DeepEqual(got, r) {
			t.Errorf("%+v: %+v, %d of %d bytes, %v", r, got, n, len(text), err)
		}
	}
	s := Segment{Store: 1, Number: 2, Before: 3}
	if got, err := ParseSegment(s.Append(nil)); err != nil || got != s {
		t.Errorf("%+v %v", got, err)
	}
	g := Group{Store: 1, Number: 2, Length: 100, Count: 2, Sum: 5}
	if got, err := ParseGroup(g.Append(nil)); err != nil || got != g {
		t.Errorf("%+v %v", got, err)
	}
}

// No bit of a header can change without being seen, and none can be missing.
func TestEveryBit(t *testing.T) {
	r := sample()
	texts := map[string][]byte{"record": r.Append(nil), "segment": Segment{Store: 1, Number: 2, Before: 3}.Append(nil)[:32],
		"group": Group{Store: 1, Number: 2, Length: 100, Count: 2, Sum: 5}.Append(nil)[:36]}
	parse := func(kind string, b []byte) (err error) {
		switch kind {
		case "record":
			_, _, err = Parse(b)
		case "segment":
			_, err = ParseSegment(b)
		default:
			_, err = ParseGroup(b)
		}
		return err
	}
	for kind, text := range texts {
		for bit := range 8 * len(text) {
			text[bit/8] ^= 1 << (bit % 8)
			if parse(kind, text) == nil {
				t.Errorf("%s: bit %d changed and nobody saw it", kind, bit)
			}
			text[bit/8] ^= 1 << (bit % 8)
		}
		for cut := range text {
			if err := parse(kind, text[:cut]); !errors.Is(err, ErrShort) && !errors.Is(err, ErrSum) {
				t.Errorf("%s cut at %d: %v", kind, cut, err)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	r := sample()
	f.Add(r.Append(nil))
	f.Add(Group{Store: 1, Number: 1, Length: 48, Count: 1}.Append(nil))
	f.Add(Segment{Number: 1}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		ParseSegment(b)
		ParseGroup(b)
		if r, n, err := Parse(b); err == nil && !bytes.Equal(r.Append(nil), b[:n]) && b[3] == 0 && bytes.Equal(b[36:44], make([]byte, 8)) {
			t.Errorf("%x is written again as %x", b[:n], r.Append(nil))
		}
	})
}
