package membership

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var topology = Topology{Zones: []string{"z1", "z2"}, Shards: 2}

func TestParse(t *testing.T) {
	for _, c := range []struct{ text, err string }{
		{`{"version":1,"bricks":[{"name":"a","address":"h:1","zone":"z1","shard":0,"state":"draining","started":5}]}`, ""},
		{`{"version":1,"bricks":[{"name":"a","zone":"z1","shard":0,"state":"gone"}]}`, ""},
		{`{"version":1,"bricks":[]}`, ""},
		{`{"bricks":[{"name":"a/b","address":"h:1","zone":"z1"}]}`, `bricks[0].name: "a/b"`},
		{`{"bricks":[{"name":"a","address":"h","zone":"z1"}]}`, "bricks[0].address"},
		{`{"bricks":[{"name":"a","address":"h:1","zone":"z3"}]}`, "bricks[0].zone"},
		{`{"bricks":[{"name":"a","address":"h:1","zone":"z1","shard":2}]}`, "bricks[0].shard: 2: must be from 0 to 1"},
		{`{"bricks":[{"name":"a","address":"h:1","zone":"z1","state":"lost"}]}`, "bricks[0].state"},
		{`{"bricks":[{"name":"a","address":"h:1","zone":"z1","started":-1}]}`, "bricks[0].started"},
		{`{"bricks":[{"name":"a","address":"h:1","zone":"z1"},{"name":"a","address":"h:2","zone":"z1"}]}`, "bricks[1].name"},
		{`{"brick":[]}`, "unknown field"},
		{`{} {}`, "follows"},
		{``, "EOF"},
	} {
		_, err := Parse([]byte(c.text), topology)
		if c.err == "" && err != nil || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%s: %v, want %q", c.text, err, c.err)
		}
	}
}

// Each valid edit of the file must be delivered, and an invalid one must not.
func TestFollowFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.json")
	lists := make(chan *List, 10)
	write := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	f, err := FollowFile(path, topology, slog.New(slog.DiscardHandler), func(l *List) { lists <- l }, nil)
	if err == nil {
		t.Error("no error for a missing file")
	}
	defer f.Close()
	next := func() *List {
		select {
		case l := <-lists:
			return l
		case <-time.After(5 * time.Second):
			t.Fatal("no list delivered within 5 s")
			return nil
		}
	}
	write(`{"version":1,"bricks":[{"name":"a","address":"h:1","zone":"z1"}]}`)
	if l := next(); len(l.Bricks) != 1 || l.Members(topology)[0].Address != "h:1" {
		t.Errorf("%+v", l)
	}
	write(`{"version":2,"bricks":[{"name":`)
	write(`{"version":3,"bricks":[{"name":"a","address":"h:1","zone":"z1","state":"draining"}]}`)
	if l := next(); l.Version != 3 {
		t.Errorf("%+v", l)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":1,"bricks":[{"name":"a","address":"h:1","zone":"z1","shard":0}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text, topology)
		if err != nil {
			return
		}
		for _, m := range l.Members(topology) {
			if m.Shard < 0 || m.Shard >= topology.Shards || m.Node.Zone < 0 {
				t.Errorf("%+v", m)
			}
		}
	})
}
