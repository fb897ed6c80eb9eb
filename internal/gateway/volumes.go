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

// volumeExports are the block volumes that this gateway has attached, each on a
// socket of its own. Which they are is kept in the data directory: a start
// attaches them again, under an epoch over the last.
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
	sockets  map[string]string // volume to socket: what the file says
}

type exportedVolume struct {
	volume *volume.Volume
	server *vhost.Server
	socket string
}

// attachTimeout is how long one try to attach may take.
const attachTimeout = 10 * time.Second

func (g *Gateway) startExports() error {
	store, err := volume.New(volume.Options{Config: g.opts.Config, Host: g.host, Pool: g.pool, Log: g.opts.Log, NoFence: g.opts.DisabledGuard == "fence", Seen: g.recordObservation,
		Ended: func(name string, plan, shard int, end host.TaskStatus) {
			g.recordOutcome("volume/"+name, plan, shard, end)
		}})
	if err != nil {
		return err
	}
	data, err := filepath.Abs(g.opts.DataDir)
	if err != nil {
		return err
	}
	x := &volumeExports{store: store, holder: fmt.Sprintf("host-%d", g.opts.Config.Host.Number), path: filepath.Join(data, "exports.json"),
		socketDir: filepath.Join(data, "volumes"), attached: map[string]*exportedVolume{}, sockets: map[string]string{}}
	x.ctx, x.cancel = context.WithCancel(context.Background())
	g.exports = x
	text, err := os.ReadFile(x.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &x.sockets); err != nil {
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

// reattach attaches a volume of an earlier run again, until it is refused or
// the gateway stops.
func (g *Gateway) reattach(name, socket string) {
	x := g.exports
	for x.ctx.Err() == nil {
		err := x.attach(name, socket, false)
		var held *extent.Held
		if err == nil {
			return
		}
		if errors.As(err, &held) || errors.Is(err, volume.ErrNotFound) {
			g.opts.Log.Error("volume not exported again", "volume", name, "error", err)
			g.controller.PublishEvent("volume", "", fmt.Sprintf("%s is not exported again: %v", name, err))
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

func (x *volumeExports) attach(name, socket string, steal bool) error {
	ctx, cancel := context.WithTimeout(x.ctx, attachTimeout)
	defer cancel()
	x.mu.Lock()
	_, open := x.attached[name]
	x.mu.Unlock()
	if open {
		return fmt.Errorf("volume %s: %w", name, &extent.Held{Volume: name, Holder: x.holder})
	}
	v, err := x.store.Attach(ctx, name, x.holder, steal)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(socket), 0o700); err != nil {
		return err
	}
	r := v.Record()
	server, err := vhost.Listen(socket, vhost.Disk{Name: name, Bytes: r.Bytes, Block: r.Block, Extent: r.Extent, Backend: v}, nil)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attached[name] = &exportedVolume{v, server, socket}
	return nil
}

// save writes which volumes are exported. Its caller holds x.mu.
func (x *volumeExports) save() error {
	text, err := json.Marshal(x.sockets)
	if err != nil {
		return err
	}
	return WriteFileAtomic(x.path, text)
}

// close ends all devices; volumes stay attached to this host, for its next run.
func (x *volumeExports) close() {
	x.cancel()
	x.wg.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.attached {
		e.server.Close()
	}
}

// ExecuteVolumeOrder does an operator's order on block volumes (control.Source).
func (g *Gateway) ExecuteVolumeOrder(q *control.VolumeOrder) ([]control.VolumeInfo, error) {
	x := g.exports
	if x == nil {
		return nil, errors.New("this gateway has no block volumes")
	}
	ctx, cancel := context.WithTimeout(x.ctx, attachTimeout)
	defer cancel()
	switch q.Action {
	case "create":
		if _, err := x.store.Create(ctx, q.Name, q.SizeBytes, q.BlockBytes, q.Plan); err != nil {
			return nil, err
		}
	case "resize":
		if _, err := x.store.Resize(ctx, q.Name, q.SizeBytes); err != nil {
			return nil, err
		}
	case "delete":
		if err := x.store.Delete(ctx, q.Name); err != nil {
			return nil, err
		}
	case "export":
		return x.export(q)
	case "unexport":
		if err := x.unexport(ctx, q.Name); err != nil {
			return nil, err
		}
	case "list":
	default:
		return nil, fmt.Errorf("volume order %q is not known", q.Action)
	}
	return x.list(ctx, q.Name)
}

func (x *volumeExports) export(q *control.VolumeOrder) ([]control.VolumeInfo, error) {
	socket := q.Socket
	if socket == "" {
		socket = filepath.Join(x.socketDir, q.Name+".sock")
	}
	if strings.ContainsAny(q.Name, "/") || !filepath.IsAbs(socket) {
		return nil, fmt.Errorf("volume %q, socket %q: must be a plain name and an absolute path", q.Name, socket)
	}
	if err := x.attach(q.Name, socket, q.Steal); err != nil {
		return nil, err
	}
	x.mu.Lock()
	x.sockets[q.Name] = socket
	err := x.save()
	x.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return x.list(x.ctx, q.Name)
}

func (x *volumeExports) unexport(ctx context.Context, name string) error {
	x.mu.Lock()
	e := x.attached[name]
	delete(x.attached, name)
	delete(x.sockets, name)
	err := x.save()
	x.mu.Unlock()
	if err != nil {
		return err
	}
	if e == nil {
		return fmt.Errorf("volume %s is not exported here", name)
	}
	e.server.Close()
	os.Remove(e.socket)
	return e.volume.Detach(ctx)
}

// list tells of one volume, or of all.
func (x *volumeExports) list(ctx context.Context, name string) ([]control.VolumeInfo, error) {
	records, err := x.store.List(ctx)
	if err != nil {
		return nil, err
	}
	var out []control.VolumeInfo
	for _, r := range records {
		if name != "" && r.Name != name {
			continue
		}
		one := control.VolumeInfo{Record: *r}
		x.mu.Lock()
		if e := x.attached[r.Name]; e != nil {
			one.Socket, one.Requests, one.Errors, one.Superseded = e.socket, e.server.Stats.Requests.Load(), e.server.Stats.Errors.Load(), e.volume.Over()
		}
		x.mu.Unlock()
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b control.VolumeInfo) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}
