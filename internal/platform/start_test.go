package platform

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	standin "arrowwalk/internal/standin/platform"
)

// startWithAgent starts a host that uses the agent at an address.
func startWithAgent(t *testing.T, agentAddr string) *Instance {
	t.Helper()
	cfg, err := ParseConfig([]byte(configText("127.0.0.1:2", agentAddr, "127.0.0.1:1", "127.0.0.1:0")), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	inst, err := Start(cfg, slog.New(slog.DiscardHandler), DisabledGuards{})
	if err != nil {
		t.Fatal(err)
	}
	return inst
}

// A host knows the agent's list before it serves its first client. The list in its
// configuration lacks both bricks.
func TestFirstListBeforeTheFirstClient(t *testing.T) {
	book := standin.NewBook(41)
	book.Tell(standin.Endpoint{Name: "a", Address: "127.0.0.1:9", Zone: "a", Status: "active"}, // in one message, like a first list
		standin.Endpoint{Name: "b", Address: "127.0.0.1:8", Zone: "a", Status: "active"})
	agent, err := standin.NewAgent(book)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	inst := startWithAgent(t, agent.Addr())
	defer inst.Stop(context.Background())
	if s := inst.host.Snapshot(); len(s.Members) != 2 {
		t.Errorf("%d bricks are known, want 2", len(s.Members))
	}
}

// A host starts in time even if its agent accepts the connection and sends
// nothing, or refuses connections.
func TestStartsBesideASilentAgent(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, nobody answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	for _, agentAddr := range []string{silent.Addr().String(), closed.Addr().String()} {
		began := time.Now()
		inst := startWithAgent(t, agentAddr)
		if took := time.Since(began); took < firstListTimeout || took > 6*time.Second {
			t.Errorf("started after %s", took)
		}
		inst.Stop(context.Background())
	}
}
