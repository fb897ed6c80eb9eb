// Package wire encodes and decodes the messages of the vhost-user protocol. A
// message has a header of request, flags and payload size, each 32 bits in the
// machine's byte order (little-endian here), and a payload. File descriptors come
// as ancillary data with its first byte.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Request is the type of a message from the front-end (the VMM).
type Request uint32

// Requests that the device supports, with the numbers of the specification.
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

// Protocol feature bits.
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

	// HeaderSize is the size of a header in bytes.
	HeaderSize = 12
	// MaxPayload is the largest payload that the device accepts, in bytes: a memory
	// table of MaxRegions regions or a configuration space fits in it.
	MaxPayload = 8 + MaxRegions*32
	// MaxRegions is the largest number of regions in a memory table.
	MaxRegions = 32
	// MaxFDs is the largest number of file descriptors in a message.
	MaxFDs = MaxRegions
	// ConfigSpaceSize is the size of a configuration space in bytes.
	ConfigSpaceSize = 256
	// NoFD is the bit in the value of a vring message which says that it carries no
	// file descriptor.
	NoFD = 1 << 8
)

// ErrMalformed is wrapped by every error about a malformed message.
var ErrMalformed = errors.New("vhost-user: malformed message")

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Header is the header of a message. Size is that of the payload in bytes.
type Header struct {
	Request Request
	NeedAck bool // REPLY_ACK: the sender waits for a status number, 0 for success
	Reply   bool
	Size    uint32
}

// ParseHeader decodes a header from the first HeaderSize bytes of b.
func ParseHeader(b []byte) (Header, error) {
	if len(b) < HeaderSize {
		return Header{}, malformed("header of %d bytes, want 12", len(b))
	}
	flags := binary.LittleEndian.Uint32(b[4:])
	header := Header{Request: Request(binary.LittleEndian.Uint32(b)), NeedAck: flags&flagNeedAck != 0, Reply: flags&flagReply != 0, Size: binary.LittleEndian.Uint32(b[8:])}
	switch {
	case flags&3 != version:
		return header, malformed("flags %#x: protocol version is not 1", flags)
	case header.Size > MaxPayload:
		return header, malformed("request %d: payload size %d is over %d", header.Request, header.Size, MaxPayload)
	}
	return header, nil
}

// AppendHeader appends an encoded header to b.
func AppendHeader(b []byte, header Header) []byte {
	flags := uint32(version)
	if header.NeedAck {
		flags |= flagNeedAck
	}
	if header.Reply {
		flags |= flagReply
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(header.Request))
	b = binary.LittleEndian.AppendUint32(b, flags)
	return binary.LittleEndian.AppendUint32(b, header.Size)
}

// ParseU64 decodes a payload that is one number.
func ParseU64(payload []byte) (uint64, error) {
	if len(payload) != 8 {
		return 0, malformed("number of %d bytes, want 8", len(payload))
	}
	return binary.LittleEndian.Uint64(payload), nil
}

// AppendU64 appends an encoded number to b.
func AppendU64(b []byte, value uint64) []byte { return binary.LittleEndian.AppendUint64(b, value) }

// VringState is the payload of requests with a queue index and a number.
type VringState struct{ Index, Num uint32 }

// ParseVringState decodes a vring state.
func ParseVringState(payload []byte) (VringState, error) {
	if len(payload) != 8 {
		return VringState{}, malformed("vring state of %d bytes, want 8", len(payload))
	}
	return VringState{binary.LittleEndian.Uint32(payload), binary.LittleEndian.Uint32(payload[4:])}, nil
}

// Append appends the encoded vring state to b.
func (state VringState) Append(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(b, state.Index), state.Num)
}

// VringAddr holds the addresses of a ring's parts in the front-end's address space.
// The device ignores Log, the address of the dirty page log.
type VringAddr struct {
	Index, Flags           uint32
	Desc, Used, Avail, Log uint64
}

// ParseVringAddr decodes a vring address.
func ParseVringAddr(payload []byte) (VringAddr, error) {
	if len(payload) != 40 {
		return VringAddr{}, malformed("vring address of %d bytes, want 40", len(payload))
	}
	le := binary.LittleEndian
	return VringAddr{le.Uint32(payload), le.Uint32(payload[4:]), le.Uint64(payload[8:]), le.Uint64(payload[16:]), le.Uint64(payload[24:]), le.Uint64(payload[32:])}, nil
}

// Append appends the encoded vring address to b.
func (addr VringAddr) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint32(le.AppendUint32(b, addr.Index), addr.Flags)
	for _, value := range [...]uint64{addr.Desc, addr.Used, addr.Avail, addr.Log} {
		b = le.AppendUint64(b, value)
	}
	return b
}

// Region is a region of guest memory: Size bytes at GuestAddr in the guest's address
// space and at UserAddr in the front-end's, backed by a file from
// FileOffset on.
type Region struct{ GuestAddr, Size, UserAddr, FileOffset uint64 }

// ParseMemTable decodes a memory table. It refuses regions of
// size 0 and regions whose ends overflow.
func ParseMemTable(payload []byte) ([]Region, error) {
	if len(payload) < 8 {
		return nil, malformed("memory table of %d bytes", len(payload))
	}
	le := binary.LittleEndian
	n := le.Uint32(payload)
	if n == 0 || n > MaxRegions || len(payload) != 8+int(n)*32 {
		return nil, malformed("memory table of %d regions in %d bytes", n, len(payload))
	}
	regions := make([]Region, n)
	for i := range regions {
		entry := payload[8+i*32:]
		regions[i] = Region{le.Uint64(entry), le.Uint64(entry[8:]), le.Uint64(entry[16:]), le.Uint64(entry[24:])}
		region := &regions[i]
		if region.Size == 0 || region.GuestAddr+region.Size < region.GuestAddr || region.UserAddr+region.Size < region.UserAddr || region.FileOffset+region.Size < region.FileOffset {
			return nil, malformed("region %d: %#x bytes at guest address %#x: size 0 or an end that overflows", i, region.Size, region.GuestAddr)
		}
	}
	return regions, nil
}

// AppendMemTable appends an encoded memory table to b.
func AppendMemTable(b []byte, regions []Region) []byte {
	le := binary.LittleEndian
	b = le.AppendUint32(le.AppendUint32(b, uint32(len(regions))), 0)
	for _, region := range regions {
		for _, value := range [...]uint64{region.GuestAddr, region.Size, region.UserAddr, region.FileOffset} {
			b = le.AppendUint64(b, value)
		}
	}
	return b
}

// Config is the payload of the requests that read or write a part of the device's
// configuration space.
type Config struct {
	Offset, Flags uint32
	Data          []byte // for GetConfig only the length matters
}

// ParseConfig decodes a configuration payload and checks that its range lies in the
// configuration space.
func ParseConfig(payload []byte) (Config, error) {
	if len(payload) < 12 {
		return Config{}, malformed("configuration payload of %d bytes", len(payload))
	}
	le := binary.LittleEndian
	c := Config{Offset: le.Uint32(payload), Flags: le.Uint32(payload[8:]), Data: payload[12:]}
	size := le.Uint32(payload[4:])
	if int(size) != len(c.Data) || size > ConfigSpaceSize || c.Offset > ConfigSpaceSize-size {
		return Config{}, malformed("configuration range of %d bytes at offset %d", size, c.Offset)
	}
	return c, nil
}

// Append appends the encoded configuration payload to b.
func (c Config) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint32(b, c.Offset)
	b = le.AppendUint32(b, uint32(len(c.Data)))
	return append(le.AppendUint32(b, c.Flags), c.Data...)
}

// Inflight describes the shared memory region that tracks requests in flight.
type Inflight struct {
	MmapSize, MmapOffset uint64
	Queues, QueueSize    uint16
}

// ParseInflight decodes an inflight description.
func ParseInflight(payload []byte) (Inflight, error) {
	if len(payload) != 20 && len(payload) != 24 { // some front-ends pad it to 24 bytes
		return Inflight{}, malformed("inflight description of %d bytes, want 20 or 24", len(payload))
	}
	le := binary.LittleEndian
	return Inflight{le.Uint64(payload), le.Uint64(payload[8:]), le.Uint16(payload[16:]), le.Uint16(payload[18:])}, nil
}

// Append appends the encoded inflight description to b.
func (inflight Inflight) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint64(le.AppendUint64(b, inflight.MmapSize), inflight.MmapOffset)
	return le.AppendUint16(le.AppendUint16(b, inflight.Queues), inflight.QueueSize)
}
