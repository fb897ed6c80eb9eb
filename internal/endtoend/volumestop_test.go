package endtoend

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"arrowwalk/internal/brickd"
	"arrowwalk/internal/config"
	"arrowwalk/internal/control"
	"arrowwalk/internal/front/vhost/blk"
	"arrowwalk/internal/gateway"
	"arrowwalk/internal/standin/bricks"
	"arrowwalk/internal/standin/vmm"
)

// Guards against a gateway that does not end after SIGTERM while a guest's writes wait for
// each other behind a silent brick: each was still sent, one after the other.
func TestStopDoesNotSendTheWritesOfAVolume(t *testing.T) {
	site := bricks.New(t.TempDir(), 4*time.Second, bricks.Cold{})
	defer site.Close()
	b, err := site.Start("only", "zone-a", 0, "data", false)
	if err != nil {
		t.Fatal(err)
	}
	cfg := config.Default()
	cfg.Listen, cfg.Keys, cfg.Shards = "127.0.0.1:0", keys, 1
	cfg.Bricks = []config.Brick{{Name: "only", Address: b.Entry("").Address, Zone: "zone-a"}}
	data, err := os.MkdirTemp("", "aw") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(data)
	g, err := gateway.Start(gateway.Options{Config: cfg, DataDir: data, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	socket := filepath.Join(data, "vm-1.sock")
	for _, order := range []control.VolumeOrder{
		{Action: "create", Name: "vm-1", SizeBytes: 1 << 20, BlockBytes: 4096, Plan: cfg.Plans[0].Name},
		{Action: "export", Name: "vm-1", Socket: socket},
	} {
		if _, err := g.ExecuteVolumeOrder(&order); err != nil {
			t.Fatal(err)
		}
	}
	machine, err := vmm.New(vmm.Options{Queues: 1, Size: 64, Slots: 64, Buffer: 4096, Indirect: true})
	if err != nil {
		t.Fatal(err)
	}
	defer machine.Close()
	if err := machine.Connect(socket); err != nil {
		t.Fatal(err)
	}
	silent := make(chan struct{})
	defer close(silent)
	b.Play(bricks.Script{Fault: brickd.Fault{WaitFor: silent}, Writes: true})
	for range 32 { // of one extent: they run one after the other
		if err := machine.Queues[0].Submit(&vmm.IO{Kind: blk.Out, Bytes: 4096, Data: make([]byte, 4096)}); err != nil {
			t.Fatal(err)
		}
	}
	for until := time.Now().Add(5 * time.Second); len(g.Host().Snapshot().Running) == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.MaxStopDuration())
	defer cancel()
	stopped := make(chan struct{})
	go func() { g.Stop(ctx); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(g.MaxStopDuration()):
		t.Errorf("the gateway runs %s after its stop", g.MaxStopDuration())
		<-stopped
	}
}
