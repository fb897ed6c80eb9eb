package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

// TestRoundTrips checks that each payload decodes to what was encoded.
func TestRoundTrips(t *testing.T) {
	header := Header{Request: SetMemTable, NeedAck: true, Size: 40}
	if got, err := ParseHeader(AppendHeader(nil, header)); err != nil || got != header {
		t.Errorf("header %+v, %v", got, err)
	}
	regions := []Region{{0x1000, 0x2000, 0x7000, 0}, {0x9000, 1, 0, 5}}
	if got, err := ParseMemTable(AppendMemTable(nil, regions)); err != nil || !reflect.DeepEqual(got, regions) {
		t.Errorf("regions %+v, %v", got, err)
	}
	addr := VringAddr{1, 0, 2, 3, 4, 5}
	if got, err := ParseVringAddr(addr.Append(nil)); err != nil || got != addr {
		t.Errorf("address %+v, %v", got, err)
	}
	state := VringState{3, 256}
	if got, err := ParseVringState(state.Append(nil)); err != nil || got != state {
		t.Errorf("state %+v, %v", got, err)
	}
	config := Config{8, 0, []byte{1, 2, 3}}
	if got, err := ParseConfig(config.Append(nil)); err != nil || !reflect.DeepEqual(got, config) {
		t.Errorf("config %+v, %v", got, err)
	}
	inflight := Inflight{4096, 0, 2, 128}
	if got, err := ParseInflight(inflight.Append(nil)); err != nil || got != inflight {
		t.Errorf("inflight %+v, %v", got, err)
	}
}

// TestBad checks that malformed messages are refused with ErrMalformed.
func TestBad(t *testing.T) {
	huge := AppendMemTable(nil, []Region{{^uint64(0) - 5, 10, 0, 0}})
	for name, err := range map[string]error{
		"short header":     errorOf(ParseHeader(make([]byte, 11))),
		"version":          errorOf(ParseHeader([]byte{1, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0})),
		"size":             errorOf(ParseHeader(AppendHeader(nil, Header{Request: 1, Size: MaxPayload + 1}))),
		"no regions":       errorOf(ParseMemTable(make([]byte, 8))),
		"too many regions": errorOf(ParseMemTable(AppendMemTable(nil, make([]Region, MaxRegions+1)))),
		"truncated table":  errorOf(ParseMemTable(AppendMemTable(nil, make([]Region, 2))[:50])),
		"overflow":         errorOf(ParseMemTable(huge)),
		"config range":     errorOf(ParseConfig(Config{Offset: 250, Data: make([]byte, 10)}.Append(nil))),
	} {
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// errorOf returns the error of a call with two results.
func errorOf[T any](_ T, err error) error { return err }

// FuzzMessages checks that no payload makes a decoder panic, that a memory table
// encodes to the bytes that it was decoded from, and that a configuration range
// lies in the configuration space.
func FuzzMessages(f *testing.F) {
	f.Add(AppendHeader(nil, Header{Request: GetFeatures, Size: 8}))
	f.Add(AppendMemTable(nil, []Region{{1, 2, 3, 4}}))
	f.Add(Config{0, 0, []byte("x")}.Append(nil))
	f.Fuzz(func(t *testing.T, payload []byte) {
		ParseHeader(payload)
		if regions, err := ParseMemTable(payload); err == nil && !bytes.Equal(AppendMemTable(nil, regions)[8:], payload[8:]) {
			t.Error("a decoded table encodes to other bytes")
		}
		if config, err := ParseConfig(payload); err == nil && int(config.Offset)+len(config.Data) > ConfigSpaceSize {
			t.Errorf("configuration range %d+%d", config.Offset, len(config.Data))
		}
		ParseVringAddr(payload)
		ParseVringState(payload)
		ParseInflight(payload)
		ParseU64(payload)
	})
}
