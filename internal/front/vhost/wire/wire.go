// Package wire reads and writes the messages of the vhost-user protocol, as
// its public specification has them: a head of request, flags and size, each 32
// bits in the machine's byte order (little-endian here), a payload, and file
// descriptors beside the first byte.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Request is the kind of a message from the front-end (the VMM).
type Request uint32

// Requests that the device knows. Numbers are the specification's.
const (
	GetFeatures         Request = 1
	SetFeatures         Request = 2
	SetOwner            Request = 3
	ResetOwner          Request = 4
	SetMemTable         Request = 5
	SetVringNum         Request = 8
	SetVringAddr        Request = 9
	SetVringBase        Request = 10
	GetVringBase        Request = 11
	SetVringKick        Request = 12
	SetVringCall        Request = 13
	SetVringErr         Request = 14
	GetProtocolFeatures Request = 15
	SetProtocolFeatures Request = 16
	GetQueueNum         Request = 17
	SetVringEnable      Request = 18
	GetConfig           Request = 24
	SetConfig           Request = 25
	GetInflightFD       Request = 31
	SetInflightFD       Request = 32
	ResetDevice         Request = 34
)

// Protocol features (bits).
const (
	ProtocolMQ          = 1 << 0
	ProtocolReplyAck    = 1 << 3
	ProtocolConfig      = 1 << 9
	ProtocolInflight    = 1 << 12
	ProtocolResetDevice = 1 << 13
)

const (
	version     = 1
	flagReply   = 1 << 2
	flagNeedAck = 1 << 3

	// HeaderSize is the number of bytes of a head.
	HeaderSize = 12
	// MaxPayload is the largest payload that the device takes: a memory table of
	// RegionsMost regions, or a configuration space.
	MaxPayload = 8 + MaxRegions*32
	// MaxRegions is how many regions a memory table may have.
	MaxRegions = 32
	// MaxFDs is how many file descriptors a message may carry.
	MaxFDs = MaxRegions
	// ConfigSpaceSize is the size of a configuration space.
	ConfigSpaceSize = 256
	// NoFD in the value of a vring message says that no descriptor comes with it.
	NoFD = 1 << 8
)

// ErrMalformed is what every error of a bad message wraps.
var ErrMalformed = errors.New("vhost-user: bad message")

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Header is the head of a message.
type Header struct {
	Request Request
	NeedAck bool // REPLY_ACK: the sender waits for a number, 0 for success
	Reply   bool
	Size    uint32
}

// ParseHeader reads a head out of HeadSize bytes.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < HeaderSize {
		return Header{}, bad("a head of %d bytes", len(b))
	}
	flags := binary.LittleEndian.Uint32(b[4:])
	h := Header{Request: Request(binary.LittleEndian.Uint32(b)), NeedAck: flags&flagNeedAck != 0, Reply: flags&flagReply != 0, Size: binary.LittleEndian.Uint32(b[8:])}
	switch {
	case flags&3 != version:
		return h, bad("flags %#x: version is not 1", flags)
	case h.Size > MaxPayload:
		return h, bad("request %d: size %d is over %d", h.Request, h.Size, MaxPayload)
	}
	return h, nil
}

// AppendHeader writes a head.
func AppendHeader(b []byte, h Header) []byte {
	flags := uint32(version)
	if h.NeedAck {
		flags |= flagNeedAck
	}
	if h.Reply {
		flags |= flagReply
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(h.Request))
	b = binary.LittleEndian.AppendUint32(b, flags)
	return binary.LittleEndian.AppendUint32(b, h.Size)
}

// ParseU64 reads a payload of one number.
func ParseU64(p []byte) (uint64, error) {
	if len(p) != 8 {
		return 0, bad("a number of %d bytes", len(p))
	}
	return binary.LittleEndian.Uint64(p), nil
}

// AppendU64 writes a number.
func AppendU64(b []byte, v uint64) []byte { return binary.LittleEndian.AppendUint64(b, v) }

// VringState is an index and a number.
type VringState struct{ Index, Num uint32 }

// ParseVringState reads a vring state.
func ParseVringState(p []byte) (VringState, error) {
	if len(p) != 8 {
		return VringState{}, bad("a vring state of %d bytes", len(p))
	}
	return VringState{binary.LittleEndian.Uint32(p), binary.LittleEndian.Uint32(p[4:])}, nil
}

// Append writes a vring state.
func (v VringState) Append(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, v.Index), v.Num)
}

// VringAddr says where a ring's parts are, as user addresses of the front-end.
type VringAddr struct {
	Index, Flags           uint32
	Desc, Used, Avail, Log uint64
}

// ParseVringAddr reads a vring address.
func ParseVringAddr(p []byte) (VringAddr, error) {
	if len(p) != 40 {
		return VringAddr{}, bad("a vring address of %d bytes", len(p))
	}
	le := binary.LittleEndian
	return VringAddr{le.Uint32(p), le.Uint32(p[4:]), le.Uint64(p[8:]), le.Uint64(p[16:]), le.Uint64(p[24:]), le.Uint64(p[32:])}, nil
}

// Append writes a vring address.
func (v VringAddr) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint32(le.AppendUint32(b, v.Index), v.Flags)
	for _, x := range [...]uint64{v.Desc, v.Used, v.Avail, v.Log} {
		b = le.AppendUint64(b, x)
	}
	return b
}

// Region is a part of guest memory: Size bytes at Guest in the guest's
// addresses and at User in the front-end's, which are Offset bytes into a file.
type Region struct{ GuestAddr, Size, UserAddr, FileOffset uint64 }

// ParseMemTable reads a memory table.
func ParseMemTable(p []byte) ([]Region, error) {
	if len(p) < 8 {
		return nil, bad("a memory table of %d bytes", len(p))
	}
	le := binary.LittleEndian
	n := le.Uint32(p)
	if n == 0 || n > MaxRegions || len(p) != 8+int(n)*32 {
		return nil, bad("a memory table of %d regions in %d bytes", n, len(p))
	}
	out := make([]Region, n)
	for i := range out {
		q := p[8+i*32:]
		out[i] = Region{le.Uint64(q), le.Uint64(q[8:]), le.Uint64(q[16:]), le.Uint64(q[24:])}
		r := &out[i]
		if r.Size == 0 || r.GuestAddr+r.Size < r.GuestAddr || r.UserAddr+r.Size < r.UserAddr || r.FileOffset+r.Size < r.FileOffset {
			return nil, bad("region %d: %#x bytes at %#x overflow", i, r.Size, r.GuestAddr)
		}
	}
	return out, nil
}

// AppendMemTable writes a memory table.
func AppendMemTable(b []byte, list []Region) []byte {
	le := binary.LittleEndian
	b = le.AppendUint32(le.AppendUint32(b, uint32(len(list))), 0)
	for _, r := range list {
		for _, x := range [...]uint64{r.GuestAddr, r.Size, r.UserAddr, r.FileOffset} {
			b = le.AppendUint64(b, x)
		}
	}
	return b
}

// Config is a window into a device's configuration space.
type Config struct {
	Offset, Flags uint32
	Data          []byte // of GetConfig: its length alone counts
}

// ParseConfig reads a configuration message.
func ParseConfig(p []byte) (Config, error) {
	if len(p) < 12 {
		return Config{}, bad("a configuration of %d bytes", len(p))
	}
	le := binary.LittleEndian
	c := Config{Offset: le.Uint32(p), Flags: le.Uint32(p[8:]), Data: p[12:]}
	size := le.Uint32(p[4:])
	if int(size) != len(c.Data) || size > ConfigSpaceSize || c.Offset > ConfigSpaceSize-size {
		return Config{}, bad("a configuration of %d bytes at %d", size, c.Offset)
	}
	return c, nil
}

// Append writes a configuration message.
func (c Config) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint32(b, c.Offset)
	b = le.AppendUint32(b, uint32(len(c.Data)))
	return append(le.AppendUint32(b, c.Flags), c.Data...)
}

// Inflight describes the region that keeps what is in flight.
type Inflight struct {
	MmapSize, MmapOffset uint64
	Queues, QueueSize    uint16
}

// ParseInflight reads an inflight description.
func ParseInflight(p []byte) (Inflight, error) {
	if len(p) != 20 && len(p) != 24 { // some senders pad it
		return Inflight{}, bad("an inflight description of %d bytes", len(p))
	}
	le := binary.LittleEndian
	return Inflight{le.Uint64(p), le.Uint64(p[8:]), le.Uint16(p[16:]), le.Uint16(p[18:])}, nil
}

// Append writes an inflight description.
func (v Inflight) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint64(le.AppendUint64(b, v.MmapSize), v.MmapOffset)
	return le.AppendUint16(le.AppendUint16(b, v.Queues), v.QueueSize)
}
