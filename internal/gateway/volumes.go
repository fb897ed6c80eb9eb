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

// exports are the block volumes that this gateway has attached, each on a
// socket of its own. Which they are is kept in the data directory: a start
// attaches them again, under an epoch over the last.
type exports struct {
	store  *volume.Store
	holder string
	file   string
	dir    string
	ctx    context.Context
	end    context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	open map[string]*export
	want map[string]string // volume to socket: what the file says
}

type export struct {
	volume *volume.Volume
	server *vhost.Server
	socket string
}

// attachWait is how long one try to attach may take.
const attachWait = 10 * time.Second

func (g *Gateway) openExports() error {
	store, err := volume.New(volume.Options{Config: g.opt.Config, Host: g.host, Pool: g.pool, Log: g.opt.Log, DisableFencing: g.opt.DisabledGuard == "fence", Observe: g.seen,
		OnTaskEnd: func(name string, plan, shard int, end host.TaskStatus) { g.ended("volume/"+name, plan, shard, end) }})
	if err != nil {
		return err
	}
	data, err := filepath.Abs(g.opt.DataDir)
	if err != nil {
		return err
	}
	x := &exports{store: store, holder: fmt.Sprintf("host-%d", g.opt.Config.Host.Number), file: filepath.Join(data, "exports.json"),
		dir: filepath.Join(data, "volumes"), open: map[string]*export{}, want: map[string]string{}}
	x.ctx, x.end = context.WithCancel(context.Background())
	g.exports = x
	text, err := os.ReadFile(x.file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &x.want); err != nil {
		return fmt.Errorf("%s: %w", x.file, err)
	}
	for name, socket := range x.want {
		x.wg.Add(1)
		go func() {
			defer x.wg.Done()
			g.restore(name, socket)
		}()
	}
	return nil
}

// restore attaches a volume of an earlier run again, until it is refused or
// the gateway stops.
func (g *Gateway) restore(name, socket string) {
	x := g.exports
	for x.ctx.Err() == nil {
		err := x.attach(name, socket, false)
		var held *extent.HeldError
		if err == nil {
			return
		}
		if errors.As(err, &held) || errors.Is(err, volume.ErrNotFound) {
			g.opt.Log.Error("volume not exported again", "volume", name, "error", err)
			g.desk.PublishEvent("volume", "", fmt.Sprintf("%s is not exported again: %v", name, err))
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

func (x *exports) attach(name, socket string, steal bool) error {
	ctx, cancel := context.WithTimeout(x.ctx, attachWait)
	defer cancel()
	x.mu.Lock()
	_, open := x.open[name]
	x.mu.Unlock()
	if open {
		return fmt.Errorf("volume %s: %w", name, &extent.HeldError{Volume: name, Holder: x.holder})
	}
	v, err := x.store.Attach(ctx, name, x.holder, steal)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(socket), 0o700); err != nil {
		return err
	}
	r := v.Record()
	server, err := vhost.Listen(socket, vhost.Disk{Name: name, SizeBytes: r.SizeBytes, BlockBytes: r.BlockBytes, ExtentBytes: r.ExtentBytes, Backend: v}, nil)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open[name] = &export{v, server, socket}
	return nil
}

// keep writes which volumes are exported. Its caller holds x.mu.
func (x *exports) keep() error {
	text, err := json.Marshal(x.want)
	if err != nil {
		return err
	}
	return WriteFileAtomic(x.file, text)
}

// close ends all devices; volumes stay attached to this host, for its next run.
func (x *exports) close() {
	x.end()
	x.wg.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range x.open {
		e.server.Close()
	}
}

// ExecuteVolumeOrder does an operator's order on block volumes (control.Source).
func (g *Gateway) ExecuteVolumeOrder(q *control.VolumeOrder) ([]control.VolumeInfo, error) {
	x := g.exports
	if x == nil {
		return nil, errors.New("this gateway has no block volumes")
	}
	ctx, cancel := context.WithTimeout(x.ctx, attachWait)
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

func (x *exports) export(q *control.VolumeOrder) ([]control.VolumeInfo, error) {
	socket := q.Socket
	if socket == "" {
		socket = filepath.Join(x.dir, q.Name+".sock")
	}
	if strings.ContainsAny(q.Name, "/") || !filepath.IsAbs(socket) {
		return nil, fmt.Errorf("volume %q, socket %q: must be a plain name and an absolute path", q.Name, socket)
	}
	if err := x.attach(q.Name, socket, q.Steal); err != nil {
		return nil, err
	}
	x.mu.Lock()
	x.want[q.Name] = socket
	err := x.keep()
	x.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return x.list(x.ctx, q.Name)
}

func (x *exports) unexport(ctx context.Context, name string) error {
	x.mu.Lock()
	e := x.open[name]
	delete(x.open, name)
	delete(x.want, name)
	err := x.keep()
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
func (x *exports) list(ctx context.Context, name string) ([]control.VolumeInfo, error) {
	records, err := x.store.List(ctx)
	if err != nil {
		return nil, err
	}
	var out []control.VolumeInfo
	for _, r := range records {
		if name != "" && r.Name != name {
			continue
		}
		one := control.VolumeInfo{VolumeRecord: *r}
		x.mu.Lock()
		if e := x.open[r.Name]; e != nil {
			one.Socket, one.Requests, one.Errors, one.Superseded = e.socket, e.server.Stats.Requests.Load(), e.server.Stats.Errors.Load(), e.volume.IsFenced()
		}
		x.mu.Unlock()
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b control.VolumeInfo) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}
