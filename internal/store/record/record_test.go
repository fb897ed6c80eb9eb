package record

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

func sample() Record {
	body := bytes.Repeat([]byte("body"), 20_000)
	return Record{Kind: KindPut, Flags: FlagWhole, Space: "o", Name: "bucket/\xff\x00key", Meta: []byte("meta"), Size: int64(len(body)), Version: 7, Checksums: AppendChecksums(nil, body)}
}

func TestRoundTrips(t *testing.T) {
	for _, r := range []Record{sample(), {Kind: KindDelete, Space: "p", Name: "n", Version: 8},
		{Kind: KindPut, Flags: FlagBodyFile, Size: 1, BodyFile: 9, Checksums: []uint32{1}, Version: 2}} {
		text := r.Append([]byte("before"))[6:]
		got, n, err := Parse(append(text, "body"...))
		if err != nil || n != len(text) || n != r.HeaderSize() || !reflect.DeepEqual(got, r) {
			t.Errorf("%+v: %+v, %d of %d bytes, %v", r, got, n, len(text), err)
		}
	}
	s := SegmentHeader{Store: 1, Number: 2, PrevSegmentEnd: 3}
	if got, err := ParseSegmentHeader(s.Append(nil)); err != nil || got != s {
		t.Errorf("%+v %v", got, err)
	}
	g := GroupHeader{Store: 1, Number: 2, Length: 100, Count: 2, Checksum: 5}
	if got, err := ParseGroupHeader(g.Append(nil)); err != nil || got != g {
		t.Errorf("%+v %v", got, err)
	}
}

// No bit of a header can change without being seen, and none can be missing.
func TestEveryBit(t *testing.T) {
	r := sample()
	texts := map[string][]byte{"record": r.Append(nil), "segment": SegmentHeader{Store: 1, Number: 2, PrevSegmentEnd: 3}.Append(nil)[:32],
		"group": GroupHeader{Store: 1, Number: 2, Length: 100, Count: 2, Checksum: 5}.Append(nil)[:36]}
	parse := func(kind string, b []byte) (err error) {
		switch kind {
		case "record":
			_, _, err = Parse(b)
		case "segment":
			_, err = ParseSegmentHeader(b)
		default:
			_, err = ParseGroupHeader(b)
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
			if err := parse(kind, text[:cut]); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrChecksum) {
				t.Errorf("%s cut at %d: %v", kind, cut, err)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	r := sample()
	f.Add(r.Append(nil))
	f.Add(GroupHeader{Store: 1, Number: 1, Length: 48, Count: 1}.Append(nil))
	f.Add(SegmentHeader{Number: 1}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		ParseSegmentHeader(b)
		ParseGroupHeader(b)
		if r, n, err := Parse(b); err == nil && !bytes.Equal(r.Append(nil), b[:n]) && b[3] == 0 && bytes.Equal(b[36:44], make([]byte, 8)) {
			t.Errorf("%x is written again as %x", b[:n], r.Append(nil))
		}
	})
}
