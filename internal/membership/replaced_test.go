package membership

import (
	"encoding/json"
	"errors"
	"path"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
)

// successor creates nodes as another process does.
type successor struct {
	t    *testing.T
	conn *zk.Conn
	root string
}

// takePlace removes a node and creates another one for the entry, which it makes first
// unless both have one name.
func (s *successor) takePlace(of string, entry Entry) {
	s.t.Helper()
	text, err := json.Marshal(entry)
	if err != nil {
		s.t.Fatal(err)
	}
	create := func() error {
		_, err := s.conn.Create(path.Join(s.root, entry.Name), text, zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
		return err
	}
	if entry.Name != of {
		if err := create(); err != nil {
			s.t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		if err := s.conn.Delete(path.Join(s.root, of), -1); err != nil && !errors.Is(err, zk.ErrNoNode) {
			s.t.Fatal(err)
		}
		if entry.Name != of || create() == nil { // the brick may have been faster
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatal("the node is always made again")
		}
	}
}

// Guards against a brick that was replaced while it stood still and then comes back: it
// removed the node of another process of its name, or registered beside its successor.
func TestReplacedBrickStaysAway(t *testing.T) {
	for name, entry := range map[string]Entry{
		"another name, same shard": {Name: "b", Address: "b:1", Zone: "z1", Shard: 0, Started: 9},
		"same name":                {Name: "a", Address: "a:2", Zone: "z1", Shard: 0, Started: 9},
	} {
		t.Run(name, func(t *testing.T) {
			s := startCoordServer(t)
			options := zkOptions(s)
			options.defaults()
			a, err := register(s, brickEntry("a", 0))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			conn, _, err := zk.Connect(options.Servers, 20*time.Second, zk.WithLogInfo(false), zk.WithLogger(debugLogger{options.Log}))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			until := func(what string, done func() bool) {
				t.Helper()
				for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal(what)
					}
				}
			}
			until("a does not register", func() bool {
				found, _, err := conn.Exists(path.Join(options.Root, "a"))
				return err == nil && found
			})
			(&successor{t, conn, options.Root}).takePlace("a", entry)
			until("a goes on serving", func() bool { return !a.guard.MayServe() })
			names, _, err := conn.Children(options.Root)
			if err != nil || len(names) != 1 || names[0] != entry.Name {
				t.Errorf("registered: %v, %v; want %q alone", names, err, entry.Name)
			}
			data, _, err := conn.Get(path.Join(options.Root, entry.Name))
			var got Entry
			if err != nil || json.Unmarshal(data, &got) != nil || got != entry {
				t.Errorf("registered: %s, %v", data, err)
			}
		})
	}
}
