// Package control is the operator's side of a running gateway: a Unix socket
// for its owner, over which states, events and running requests are told and
// drains are ordered. Orders are decided by control/drains and kept by
// control/record; docs/control.md describes the protocol.
package control

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"arrowwalk/internal/control/drains"
	"arrowwalk/internal/control/orderlog"
	"arrowwalk/internal/control/trafficstats"
	"arrowwalk/internal/volume/extent"
)

// ProtocolVersion of the protocol. Both sides say theirs first; others are refused.
const ProtocolVersion = 1

// frameMost bounds a frame: four bytes of length, then a CBOR map (RFC 8949).
const frameMost = 8 << 20

// The operations.
const (
	OpStatus  = "status"
	OpRunning = "running"
	OpEvents  = "events"
	OpOrder   = "order"
	OpCost    = "cost"
	OpWatch   = "watch"
	OpVolume  = "volume"
)

// Hello is the first frame of each side.
type Hello struct {
	Version int    `cbor:"version"`
	Host    string `cbor:"host,omitempty"`
	Refused string `cbor:"refused,omitempty"`
}

// Request is what an operator asks for.
type Request struct {
	ID          uint64       `cbor:"id"`
	Op          string       `cbor:"op"`
	Order       drains.Order `cbor:"order,omitempty"`
	Brick       string       `cbor:"brick,omitempty"` // of cost
	After       int64        `cbor:"after,omitempty"` // of events: numbers over it
	MaxEvents   int          `cbor:"most,omitempty"`
	VolumeOrder *VolumeOrder `cbor:"volume,omitempty"`
}

// VolumeOrder is an order on block volumes.
type VolumeOrder struct {
	Action     string `cbor:"action"` // create, resize, delete, export, unexport or list
	Name       string `cbor:"name"`
	SizeBytes  int64  `cbor:"bytes,omitempty"`
	BlockBytes int64  `cbor:"block,omitempty"`
	Plan       string `cbor:"plan,omitempty"`
	Socket     string `cbor:"socket,omitempty"`
	Steal      bool   `cbor:"steal,omitempty"`
}

// VolumeInfo is a block volume as operators see it.
type VolumeInfo struct {
	extent.VolumeRecord
	Socket     string `json:"socket,omitempty"` // where this host exports it
	Requests   int64  `json:"requests,omitempty"`
	Errors     int64  `json:"errors,omitempty"`
	Superseded bool   `json:"over,omitempty"` // it was attached anew elsewhere
}

// Response answers a Request, or tells a watcher something.
type Response struct {
	ID              uint64           `cbor:"id"`
	Code            string           `cbor:"code,omitempty"` // of a refusal
	Error           string           `cbor:"error,omitempty"`
	Snapshot        *Snapshot        `cbor:"snapshot,omitempty"`
	Running         []RunningRequest `cbor:"running,omitempty"`
	Events          []Event          `cbor:"events,omitempty"`
	Result          *drains.Result   `cbor:"result,omitempty"`
	EffectiveAt     int64            `cbor:"effect,omitempty"` // of an order: when the host had taken it, microseconds since 1970
	Cost            *drains.Cost     `cbor:"cost,omitempty"`
	Volumes         []VolumeInfo     `cbor:"blocks,omitempty"`
	MissedSnapshots int64            `cbor:"missed,omitempty"` // snapshots left out before this one
}

// BrickStatus is a brick as operators see it.
type BrickStatus struct {
	drains.Status
	trafficstats.BrickStats
	Address             string  `json:"address"`
	Zone                string  `json:"zone"`
	Cold                bool    `json:"cold"`
	Trust               string  `json:"trust"`
	OutstandingRequests int     `json:"requests_out"`
	OutstandingUnits    float64 `json:"units_out"`
	QueueUS             int64   `json:"queue_us"` // the module's: how long a request should wait there now
	Cap                 float64 `json:"cap"`      // the module's: units that may be out
	QuarantinedBlocks   int     `json:"bad"`      // blocks of its store in quarantine; of embedded bricks
}

// VolumeStatus is a collection as operators see it.
type VolumeStatus struct {
	trafficstats.VolumeStats
	Quadrant     string  `json:"quadrant"` // the module's, of the last interval
	TokenRate    float64 `json:"rate"`     // token rate, units a second; 0: unpaced
	MeasuredRate float64 `json:"measured"` // units a second through this host
	Reserve      float64 `json:"reserve"`  // units of the reserve that are left
}

// Snapshot is the whole picture at a moment.
type Snapshot struct {
	At              int64          `json:"at"` // microseconds since 1970
	Host            string         `json:"host"`
	Bricks          []BrickStatus  `json:"bricks"`
	Volumes         []VolumeStatus `json:"volumes"`
	Stalls          uint64         `json:"stalls"`    // how often the host stood still
	MaxStallUS      int64          `json:"stall_max"` // for how long at most, microseconds
	Accepted        uint64         `json:"taken"`
	Served          uint64         `json:"served"`
	Refused         uint64         `json:"refused"`
	Failed          uint64         `json:"failed"`
	Queued          int            `json:"queued"`
	Sent            int            `json:"sent"`
	Connections     int64          `json:"connections"`
	BodyMemoryBytes int64          `json:"memory"` // bytes of bodies
	SpoolBytes      int64          `json:"spool"`
	LastEvent       int64          `json:"event"` // number of the last event
}

// RunningRequest is a request that the host owes an answer.
type RunningRequest struct {
	ID       string  `json:"id"`
	Class    string  `json:"class"`
	Units    float64 `json:"units"`
	AgeUS    int64   `json:"age_us"`
	Stage    string  `json:"stage"`
	Brick    string  `json:"brick"`
	Attempts int     `json:"tries"`
	Volume   uint64  `json:"volume"`
}

// Event is something that an operator may want to know of.
type Event struct {
	Number int64           `json:"number"`
	At     int64           `json:"at"` // microseconds since 1970
	Kind   string          `json:"kind"`
	Brick  string          `json:"brick,omitempty"`
	Text   string          `json:"text"`
	Entry  *orderlog.Entry `json:"entry,omitempty"` // of an order
}

var errFrame = errors.New("control: bad frame")

// decoding bounds what a stranger's frame can hold.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 131072, MaxMapPairs: 4096, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func writeFrame(w io.Writer, v any) error {
	text, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(text) > frameMost {
		return fmt.Errorf("%w: %d bytes", errFrame, len(text))
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...))
	return err
}

func readFrame(r io.Reader, into any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameMost {
		return fmt.Errorf("%w: %d bytes", errFrame, n)
	}
	text := make([]byte, 0, min(n, 64<<10)) // grows only as bytes come
	for uint32(len(text)) < n {
		part := make([]byte, min(n-uint32(len(text)), 64<<10))
		if _, err := io.ReadFull(r, part); err != nil {
			return err
		}
		text = append(text, part...)
	}
	if err := decoding.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%w: %w", errFrame, err)
	}
	return nil
}
