package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"text/tabwriter"

	"arrowwalk/internal/control"
)

type volumeCmd struct {
	List     volumeListCmd     `cmd:"" help:"Name all volumes, their sizes and holders."`
	Create   volumeCreateCmd   `cmd:"" help:"Make a volume; nothing is stored of what was never written."`
	Resize   volumeResizeCmd   `cmd:"" help:"Change a volume's size; it shrinks only where nobody has it."`
	Delete   volumeDeleteCmd   `cmd:"" help:"Remove a volume that nobody has, with its data."`
	Export   volumeExportCmd   `cmd:"" help:"Attach a volume here, and serve it on a vhost-user socket."`
	Unexport volumeUnexportCmd `cmd:"" help:"End a volume's socket and give the volume free."`
}

func volumeOrder(g *globals, socket string, order *control.VolumeOrder, asJSON bool) error {
	c, err := control.Dial(socket)
	if err != nil {
		return err
	}
	defer c.Close()
	r, err := c.Call(control.Request{Op: control.OpVolume, VolumeOrder: order})
	if err != nil {
		return err
	}
	if asJSON {
		e := json.NewEncoder(g.out)
		e.SetIndent("", " ")
		return e.Encode(r.Volumes)
	}
	w := tabwriter.NewWriter(g.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "volume\tMiB\tblock\tplan\tholder\tepoch\trequests\terrors\tsocket")
	for _, v := range r.Volumes {
		socket := v.Socket
		if v.Superseded {
			socket += " (attached anew elsewhere)"
		}
		fmt.Fprintf(w, "%s\t%.1f\t%d\t%s\t%s\t%d\t%d\t%d\t%s\n", v.Name, float64(v.SizeBytes)/(1<<20), v.BlockBytes, v.Plan, v.Holder, v.Epoch, v.Requests, v.Errors, socket)
	}
	return w.Flush()
}

type volumeListCmd struct {
	socketFlag
	JSON bool `name:"json" help:"Print them as JSON."`
}

// Run lists volumes.
func (v *volumeListCmd) Run(g *globals) error {
	return volumeOrder(g, v.Socket, &control.VolumeOrder{Action: "list"}, v.JSON)
}

type volumeCreateCmd struct {
	socketFlag
	Name  string `arg:"" help:"Its name: a-z, 0-9, - and ."`
	Size  string `arg:"" help:"Its size, as 512MiB."`
	Block int64  `default:"512" help:"Bytes of a block: 512 or 4096."`
	Plan  string `default:"basic" help:"The plan that it is served under."`
}

// Run makes a volume.
func (v *volumeCreateCmd) Run(g *globals) error {
	size, err := parseSize(v.Size)
	if err != nil {
		return err
	}
	return volumeOrder(g, v.Socket, &control.VolumeOrder{Action: "create", Name: v.Name, SizeBytes: int64(size), BlockBytes: v.Block, Plan: v.Plan}, false)
}

type volumeResizeCmd struct {
	socketFlag
	Name string `arg:"" help:"The volume."`
	Size string `arg:"" help:"Its new size, as 512MiB."`
}

// Run resizes a volume.
func (v *volumeResizeCmd) Run(g *globals) error {
	size, err := parseSize(v.Size)
	if err != nil {
		return err
	}
	return volumeOrder(g, v.Socket, &control.VolumeOrder{Action: "resize", Name: v.Name, SizeBytes: int64(size)}, false)
}

type volumeDeleteCmd struct {
	socketFlag
	Name string `arg:"" help:"The volume."`
}

// Run deletes a volume.
func (v *volumeDeleteCmd) Run(g *globals) error {
	return volumeOrder(g, v.Socket, &control.VolumeOrder{Action: "delete", Name: v.Name}, false)
}

type volumeExportCmd struct {
	socketFlag
	Name  string `arg:"" help:"The volume."`
	Path  string `type:"path" help:"Path of its vhost-user socket; else DATA/volumes/NAME.sock."`
	Steal bool   `help:"Take it from whoever has it: bricks refuse that one's requests from then on."`
}

// Run exports a volume.
func (v *volumeExportCmd) Run(g *globals) error {
	path := v.Path
	if path != "" {
		var err error
		if path, err = filepath.Abs(path); err != nil {
			return err
		}
	}
	return volumeOrder(g, v.Socket, &control.VolumeOrder{Action: "export", Name: v.Name, Socket: path, Steal: v.Steal}, false)
}

type volumeUnexportCmd struct {
	socketFlag
	Name string `arg:"" help:"The volume."`
}

// Run ends a volume's export.
func (v *volumeUnexportCmd) Run(g *globals) error {
	return volumeOrder(g, v.Socket, &control.VolumeOrder{Action: "unexport", Name: v.Name}, false)
}
