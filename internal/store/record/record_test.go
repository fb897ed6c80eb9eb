package record

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

func sampleRecord() Record {
	body := bytes.Repeat([]byte("body"), 20_000)
	return Record{Kind: KindPut, Flags: FlagWhole, Space: "o", Name: "bucket/\xff\x00key", Meta: []byte("meta"), Size: int64(len(body)), Version: 7, Checksums: AppendChecksums(nil, body)}
}

func TestRoundTrips(t *testing.T) {
	for _, r := range []Record{sampleRecord(), {Kind: KindDelete, Space: "p", Name: "n", Version: 8},
		{Kind: KindPut, Flags: FlagBodyFile, Size: 1, BodyFile: 9, Checksums: []uint32{1}, Version: 2}} {
		data := r.Append([]byte("before"))[6:]
		got, n, err := Parse(append(data, "body"...))
		if err != nil || n != len(data) || n != r.HeaderSize() || !reflect.DeepEqual(got, r) {
			t.Errorf("%+v: %+v, %d of %d bytes, %v", r, got, n, len(data), err)
		}
	}
	segment := SegmentHeader{Store: 1, Number: 2, PrevSegmentEnd: 3}
	if got, err := ParseSegmentHeader(segment.Append(nil)); err != nil || got != segment {
		t.Errorf("%+v %v", got, err)
	}
	group := GroupHeader{Store: 1, Number: 2, Length: 100, Count: 2, Checksum: 5}
	if got, err := ParseGroupHeader(group.Append(nil)); err != nil || got != group {
		t.Errorf("%+v %v", got, err)
	}
}

// Flipping any bit of a header, or truncating it anywhere, is detected.
func TestEveryBit(t *testing.T) {
	r := sampleRecord()
	encodings := map[string][]byte{"record": r.Append(nil), "segment": SegmentHeader{Store: 1, Number: 2, PrevSegmentEnd: 3}.Append(nil)[:32],
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
	for kind, data := range encodings {
		for bit := range 8 * len(data) {
			data[bit/8] ^= 1 << (bit % 8)
			if parse(kind, data) == nil {
				t.Errorf("%s: flipped bit %d was not detected", kind, bit)
			}
			data[bit/8] ^= 1 << (bit % 8)
		}
		for cut := range data {
			if err := parse(kind, data[:cut]); !errors.Is(err, ErrTruncated) && !errors.Is(err, ErrChecksum) {
				t.Errorf("%s truncated at %d: %v", kind, cut, err)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	r := sampleRecord()
	f.Add(r.Append(nil))
	f.Add(GroupHeader{Store: 1, Number: 1, Length: 48, Count: 1}.Append(nil))
	f.Add(SegmentHeader{Number: 1}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		ParseSegmentHeader(b)
		ParseGroupHeader(b)
		if r, n, err := Parse(b); err == nil && !bytes.Equal(r.Append(nil), b[:n]) && b[3] == 0 && bytes.Equal(b[36:44], make([]byte, 8)) {
			t.Errorf("%x is encoded again as %x", b[:n], r.Append(nil))
		}
	})
}
