// Package control lets operators inspect and control a running gateway over a Unix
// socket: it reports states, events and running requests, and accepts orders to drain
// bricks. Package drains decides on orders and package orderlog persists them.
// docs/control.md describes the protocol.
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

// ProtocolVersion is the version of the protocol. Each side sends its version first,
// and the gateway refuses clients of another version.
const ProtocolVersion = 1

// maxFrameBytes bounds a frame, which is four bytes of length and a CBOR map
// (RFC 8949).
const maxFrameBytes = 8 << 20

// Operations of a Request.
const (
	OpStatus  = "status"
	OpRunning = "running"
	OpEvents  = "events"
	OpOrder   = "order"
	OpCost    = "cost"
	OpWatch   = "watch"
	OpVolume  = "volume"
)

// Hello is the first frame that each side sends. Refused is the reason why the
// gateway refuses the client, or "".
type Hello struct {
	Version int    `cbor:"version"`
	Host    string `cbor:"host,omitempty"`
	Refused string `cbor:"refused,omitempty"`
}

// Request is a request of an operator.
type Request struct {
	ID          uint64       `cbor:"id"`
	Op          string       `cbor:"op"`
	Order       drains.Order `cbor:"order,omitempty"`
	Brick       string       `cbor:"brick,omitempty"` // for OpCost
	After       int64        `cbor:"after,omitempty"` // for OpEvents and OpWatch: only events with greater numbers
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

// VolumeInfo describes a block volume.
type VolumeInfo struct {
	extent.VolumeRecord
	Socket     string `json:"socket,omitempty"` // socket at which this host exports it
	Requests   int64  `json:"requests,omitempty"`
	Errors     int64  `json:"errors,omitempty"`
	Superseded bool   `json:"over,omitempty"` // another host has attached the volume since
}

// Response is the answer to a Request or an update for a watcher.
type Response struct {
	ID              uint64           `cbor:"id"`
	Code            string           `cbor:"code,omitempty"` // code of a refusal
	Error           string           `cbor:"error,omitempty"`
	Snapshot        *Snapshot        `cbor:"snapshot,omitempty"`
	Running         []RunningRequest `cbor:"running,omitempty"`
	Events          []Event          `cbor:"events,omitempty"`
	Result          *drains.Result   `cbor:"result,omitempty"`
	EffectiveAt     int64            `cbor:"effect,omitempty"` // when an order was in effect on the host, in microseconds since 1970
	Cost            *drains.Cost     `cbor:"cost,omitempty"`
	Volumes         []VolumeInfo     `cbor:"blocks,omitempty"`
	MissedSnapshots int64            `cbor:"missed,omitempty"` // snapshots skipped before this one
}

// BrickStatus describes a brick.
type BrickStatus struct {
	drains.Status
	trafficstats.BrickStats
	Address             string  `json:"address"`
	Zone                string  `json:"zone"`
	Cold                bool    `json:"cold"`
	Trust               string  `json:"trust"`
	OutstandingRequests int     `json:"requests_out"`
	OutstandingUnits    float64 `json:"units_out"`
	QueueUS             int64   `json:"queue_us"` // expected queueing delay at the brick, from the scheduler, in microseconds
	Cap                 float64 `json:"cap"`      // maximum units in flight, from the scheduler
	QuarantinedBlocks   int     `json:"bad"`      // blocks of its store in quarantine, for embedded bricks
}

// VolumeStatus describes a collection.
type VolumeStatus struct {
	trafficstats.VolumeStats
	Quadrant     string  `json:"quadrant"` // from the scheduler, of the last interval
	TokenRate    float64 `json:"rate"`     // units per second; 0 means unpaced
	MeasuredRate float64 `json:"measured"` // units per second through this host
	Reserve      float64 `json:"reserve"`  // units left in the reserve
}

// Snapshot is the state of the gateway at one moment.
type Snapshot struct {
	At              int64          `json:"at"` // microseconds since 1970
	Host            string         `json:"host"`
	Bricks          []BrickStatus  `json:"bricks"`
	Volumes         []VolumeStatus `json:"volumes"`
	Stalls          uint64         `json:"stalls"`    // number of stalls of the host
	MaxStallUS      int64          `json:"stall_max"` // longest stall, in microseconds
	Accepted        uint64         `json:"taken"`
	Served          uint64         `json:"served"`
	Refused         uint64         `json:"refused"`
	Failed          uint64         `json:"failed"`
	Queued          int            `json:"queued"`
	Sent            int            `json:"sent"`
	Connections     int64          `json:"connections"`
	BodyMemoryBytes int64          `json:"memory"` // bytes of request and response bodies in memory
	SpoolBytes      int64          `json:"spool"`
	LastEvent       int64          `json:"event"` // number of the last event
}

// RunningRequest is a client's request that has no answer yet.
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

// Event is a change that may concern an operator.
type Event struct {
	Number int64           `json:"number"`
	At     int64           `json:"at"` // microseconds since 1970
	Kind   string          `json:"kind"`
	Brick  string          `json:"brick,omitempty"`
	Text   string          `json:"text"`
	Entry  *orderlog.Entry `json:"entry,omitempty"` // the order, if the event is one
}

var errBadFrame = errors.New("control: bad frame")

// decMode limits what a frame from an untrusted peer can contain.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 131072, MaxMapPairs: 4096, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// writeFrame writes v as one frame.
func writeFrame(w io.Writer, v any) error {
	text, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if len(text) > maxFrameBytes {
		return fmt.Errorf("%w: %d bytes", errBadFrame, len(text))
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...))
	return err
}

// readFrame reads one frame into v.
func readFrame(r io.Reader, v any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return fmt.Errorf("%w: %d bytes", errBadFrame, size)
	}
	text := make([]byte, 0, min(size, 64<<10)) // grows only as bytes arrive, since the size is not trusted
	for uint32(len(text)) < size {
		chunk := make([]byte, min(size-uint32(len(text)), 64<<10))
		if _, err := io.ReadFull(r, chunk); err != nil {
			return err
		}
		text = append(text, chunk...)
	}
	if err := decMode.Unmarshal(text, v); err != nil {
		return fmt.Errorf("%w: %w", errBadFrame, err)
	}
	return nil
}
