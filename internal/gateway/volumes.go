package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"arrowwalk/internal/control"
	"arrowwalk/internal/front/vhost"
	"arrowwalk/internal/host"
	"arrowwalk/internal/volume"
	"arrowwalk/internal/volume/extent"
)

// volumeExports manages the block volumes that this gateway exports, each on
// its own socket. The exported volumes are recorded in the data directory;
// after a restart, the gateway attaches them again under a new epoch that is
// higher than the last.
type volumeExports struct {
	store     *volume.Store
	holder    string
	path      string
	socketDir string
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu       sync.Mutex
	attached map[string]*exportedVolume
	sockets  map[string]string // socket of each exported volume, as recorded in the file
}

// exportedVolume is an attached volume and its server.
type exportedVolume struct {
	volume *volume.Volume
	server *vhost.Server
	socket string
}

// attachTimeout bounds one attempt to attach a volume, and one order.
const attachTimeout = 10 * time.Second

// startExports loads the recorded exports and starts attaching them again in
// the background.
func (g *Gateway) startExports() error {
	store, err := volume.New(volume.Options{Config: g.opts.Config, Host: g.host, Pool: g.pool, Log: g.opts.Log, DisableFencing: g.opts.DisabledGuard == "fence", Observe: g.recordObservation,
		OnTaskEnd: func(name string, plan, shard int, end host.TaskStatus) {
			g.recordOutcome("volume/"+name, plan, shard, end)
		}})
	if err != nil {
		return err
	}
	dataDir, err := filepath.Abs(g.opts.DataDir)
	if err != nil {
		return err
	}
	x := &volumeExports{store: store, holder: fmt.Sprintf("host-%d", g.opts.Config.Host.Number), path: filepath.Join(dataDir, "exports.json"),
		socketDir: filepath.Join(dataDir, "volumes"), attached: map[string]*exportedVolume{}, sockets: map[string]string{}}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	g.exports = x
	content, err := os.ReadFile(x.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(content, &x.sockets); err != nil {
		return fmt.Errorf("%s: %w", x.path, err)
	}
	for name, socket := range x.sockets {
		x.wg.Add(1)
		go func() {
			defer x.wg.Done()
			g.reattach(name, socket)
		}()
	}
	return nil
}

// reattach attaches a volume that an earlier run exported. It tries again
// until it succeeds, the volume is held elsewhere or does not exist, or the
// gateway stops.
func (g *Gateway) reattach(name, socket string) {
	x := g.exports
	for x.ctx.Err() == nil {
		err := x.attach(name, socket, false)
		var held *extent.HeldError
		if err == nil {
			return
		}
		if errors.As(err, &held) || errors.Is(err, volume.ErrNotFound) {
			g.opts.Log.Error("failed to export volume again", "volume", name, "error", err)
			g.controller.PublishEvent("volume", "", fmt.Sprintf("%s could not be exported again: %v", name, err))
			return
		}
		t := time.NewTimer(200 * time.Millisecond)
		select {
		case <-t.C:
		case <-x.ctx.Done():
			t.Stop()
		}
	}
}

// attach attaches a volume and starts serving it at socket. With steal, it
// takes the volume over from its holder.
func (x *volumeExports) attach(name, socket string, steal bool) error {
	ctx, cancel := context.WithTimeout(x.ctx, attachTimeout)
	defer cancel()
	x.mu.Lock()
	_, attached := x.attached[name]
	x.mu.Unlock()
	if attached {
		return fmt.Errorf("volume %s: %w", name, &extent.HeldError{Volume: name, Holder: x.holder})
	}
	v, err := x.store.Attach(ctx, name, x.holder, steal)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(socket), 0o700); err != nil {
		return err
	}
	record := v.Record()
	server, err := vhost.Listen(socket, vhost.Disk{Name: name, SizeBytes: record.SizeBytes, BlockBytes: record.BlockBytes, ExtentBytes: record.ExtentBytes, Backend: v}, nil)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attached[name] = &exportedVolume{v, server, socket}
	return nil
}

// save writes the file of exported volumes. The caller must hold x.mu.
func (x *volumeExports) save() error {
	content, err := json.Marshal(x.sockets)
	if err != nil {
		return err
	}
	return WriteFileAtomic(x.path, content)
}

// close stops all volume servers. The volumes stay attached to this host for
// its next run.
func (x *volumeExports) close() {
	x.cancel()
	x.wg.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.attached {
		e.server.Close()
	}
}

// ExecuteVolumeOrder executes an operator's order on block volumes and returns
// the affected volumes. It implements control.Gateway.
func (g *Gateway) ExecuteVolumeOrder(order *control.VolumeOrder) ([]control.VolumeInfo, error) {
	x := g.exports
	if x == nil {
		return nil, errors.New("this gateway does not serve block volumes")
	}
	ctx, cancel := context.WithTimeout(x.ctx, attachTimeout)
	defer cancel()
	switch order.Action {
	case "create":
		if _, err := x.store.Create(ctx, order.Name, order.SizeBytes, order.BlockBytes, order.Plan); err != nil {
			return nil, err
		}
	case "resize":
		if _, err := x.store.Resize(ctx, order.Name, order.SizeBytes); err != nil {
			return nil, err
		}
	case "delete":
		if err := x.store.Delete(ctx, order.Name); err != nil {
			return nil, err
		}
	case "export":
		return x.export(order)
	case "unexport":
		if err := x.unexport(ctx, order.Name); err != nil {
			return nil, err
		}
	case "list":
	default:
		return nil, fmt.Errorf("unknown volume order %q", order.Action)
	}
	return x.list(ctx, order.Name)
}

// export attaches a volume and records it as exported.
func (x *volumeExports) export(order *control.VolumeOrder) ([]control.VolumeInfo, error) {
	socket := order.Socket
	if socket == "" {
		socket = filepath.Join(x.socketDir, order.Name+".sock")
	}
	if strings.ContainsAny(order.Name, "/") || !filepath.IsAbs(socket) {
		return nil, fmt.Errorf("volume %q, socket %q: must be a plain name and an absolute path", order.Name, socket)
	}
	if err := x.attach(order.Name, socket, order.Steal); err != nil {
		return nil, err
	}
	x.mu.Lock()
	x.sockets[order.Name] = socket
	err := x.save()
	x.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return x.list(x.ctx, order.Name)
}

// unexport stops serving a volume, detaches it and removes it from the record.
func (x *volumeExports) unexport(ctx context.Context, name string) error {
	x.mu.Lock()
	exported := x.attached[name]
	delete(x.attached, name)
	delete(x.sockets, name)
	err := x.save()
	x.mu.Unlock()
	if err != nil {
		return err
	}
	if exported == nil {
		return fmt.Errorf("volume %s is not exported by this gateway", name)
	}
	exported.server.Close()
	os.Remove(exported.socket)
	return exported.volume.Detach(ctx)
}

// list returns the state of one volume, or of all if name is empty.
func (x *volumeExports) list(ctx context.Context, name string) ([]control.VolumeInfo, error) {
	records, err := x.store.List(ctx)
	if err != nil {
		return nil, err
	}
	var infos []control.VolumeInfo
	for _, r := range records {
		if name != "" && r.Name != name {
			continue
		}
		info := control.VolumeInfo{VolumeRecord: *r}
		x.mu.Lock()
		if e := x.attached[r.Name]; e != nil {
			info.Socket, info.Requests, info.Errors, info.Superseded = e.socket, e.server.Stats.Requests.Load(), e.server.Stats.Errors.Load(), e.volume.IsFenced()
		}
		x.mu.Unlock()
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b control.VolumeInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos, nil
}
