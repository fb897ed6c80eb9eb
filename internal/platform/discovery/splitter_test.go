package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
)

// split feeds text in chunks of the given size and returns the objects, compacted.
func split(text []byte, chunkBytes int) (objects []string, alive bool, err error) {
	var s splitter
	for chunk := range slices.Chunk(text, chunkBytes) {
		chunkAlive, feedErr := s.feed(chunk, func(object []byte) error {
			var b bytes.Buffer
			if err := json.Compact(&b, object); err != nil {
				return err
			}
			objects = append(objects, b.String())
			return nil
		})
		if alive = alive || chunkAlive; feedErr != nil {
			return objects, alive, feedErr
		}
	}
	return objects, alive, nil
}

const indented = "\n{\n  \"index\": 41,\n  \"endpoints\": [\n    {\"name\": \"a}\\\"]{\"}\n  ]\n}\n\n\t{\"index\":42}{\"index\":43}\r\n"

// An object may extend over several lines, share a line with others, and arrive
// in chunks of any size.
func TestFramesWhateverTheLines(t *testing.T) {
	want := []string{`{"index":41,"endpoints":[{"name":"a}\"]{"}]}`, `{"index":42}`, `{"index":43}`}
	for chunkBytes := 1; chunkBytes <= len(indented); chunkBytes++ {
		got, alive, err := split([]byte(indented), chunkBytes)
		if err != nil || !alive || !slices.Equal(got, want) {
			t.Fatalf("chunks of %d bytes: %q, %v, %v", chunkBytes, got, alive, err)
		}
	}
}

// Empty lines between objects show that the sender is alive; bytes of an
// unfinished object, line ends in it included, do not.
func TestSignsOfLife(t *testing.T) {
	for _, c := range []struct {
		text  string
		alive bool
	}{{"\n", true}, {" \r\n", true}, {" \t\r", false}, {"", false}, {"{\n\n\"index\":\n", false}, {"{}", true}, {"{}\n{\n", true}} {
		if _, alive, err := split([]byte(c.text), 100); err != nil || alive != c.alive {
			t.Errorf("%q: %v, %v", c.text, alive, err)
		}
	}
}

// Data that cannot be a list is rejected, and its size is bounded.
func TestFramesAreBounded(t *testing.T) {
	long := `{"x":"` + strings.Repeat("x", maxObjectBytes) + `"}`
	for _, c := range []struct {
		text string
		want error
	}{
		{"x", errNotObject}, {"[{}]", errNotObject}, {"{} 7", errNotObject}, {`"{}"`, errNotObject},
		{"{" + strings.Repeat("[", maxDepth), errTooDeep}, {long, errTooLong}, {long[:maxObjectBytes], nil},
	} {
		if _, _, err := split([]byte(c.text), 4<<10); !errors.Is(err, c.want) {
			t.Errorf("%.20q: %v, want %v", c.text, err, c.want)
		}
	}
}

// For any data in chunks of any size the objects are those that the standard
// library's decoder finds, up to the first error of either.
func FuzzFrames(f *testing.F) {
	f.Add([]byte(indented), 3)
	f.Add([]byte(`{"a":"\\"}{"b":[1,{"c":"]"}]}`), 1)
	f.Add([]byte(`{"a":1}}`), 2)
	f.Fuzz(func(t *testing.T, text []byte, chunkBytes int) {
		got, _, _ := split(text, max(chunkBytes, 1))
		dec := json.NewDecoder(bytes.NewReader(text))
		for n := 0; ; n++ {
			var raw json.RawMessage
			if dec.Decode(&raw) != nil {
				return
			}
			var b bytes.Buffer
			if json.Compact(&b, raw) != nil || raw[0] != '{' || nestingDepth(raw) > maxDepth {
				return
			}
			if n == len(got) {
				t.Fatalf("%q: %d objects, the next is %q", text, n, raw)
			}
			if got[n] != b.String() {
				t.Fatalf("%q: object %d is %q, want %q", text, n, got[n], b.String())
			}
		}
	})
}

// nestingDepth returns the largest number of brackets open at once.
func nestingDepth(raw []byte) int {
	dec := json.NewDecoder(bytes.NewReader(raw))
	depth, deepest := 0, 0
	for {
		token, err := dec.Token()
		if err != nil {
			return deepest
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		deepest = max(deepest, depth)
	}
}
