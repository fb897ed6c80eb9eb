package platform

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	standin "arrowwalk/internal/standin/platform"
)

// startAt starts a host whose agent and listener are given.
func startAt(t *testing.T, agent string) *Instance {
	t.Helper()
	cfg, err := ParseConfig([]byte(configText("127.0.0.1:2", agent, "127.0.0.1:1", "127.0.0.1:0")), none)
	if err != nil {
		t.Fatal(err)
	}
	p, err := Start(cfg, slog.New(slog.DiscardHandler), DisabledGuards{})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What the agent has is known before a host serves its first client: the
// configuration's list lacks both bricks.
func TestFirstListBeforeTheFirstClient(t *testing.T) {
	book := standin.NewBook(41)
	book.Tell(standin.Endpoint{Name: "a", Address: "127.0.0.1:9", Zone: "a", Status: "active"}, // in one list, as the first one is
		standin.Endpoint{Name: "b", Address: "127.0.0.1:8", Zone: "a", Status: "active"})
	agent, err := standin.NewAgent(book)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	p := startAt(t, agent.Addr())
	defer p.Stop(context.Background())
	if s := p.host.Snapshot(); len(s.Members) != 2 {
		t.Errorf("%d bricks are known", len(s.Members))
	}
}

// A host whose agent takes the call and says nothing, or is not there, starts
// all the same, in time.
func TestStartsBesideASilentAgent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel takes the call, nobody answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	for _, agent := range []string{silent.Addr().String(), gone.Addr().String()} {
		began := time.Now()
		p := startAt(t, agent)
		if took := time.Since(began); took < listMax || took > 6*time.Second {
			t.Errorf("started after %s", took)
		}
		p.Stop(context.Background())
	}
}
