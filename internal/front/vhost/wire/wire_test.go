package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

// What is written is read again.
func TestRoundTrips(t *testing.T) {
	h := Header{Request: SetMemTable, NeedAck: true, Size: 40}
	if got, err := ParseHeader(AppendHeader(nil, h)); err != nil || got != h {
		t.Errorf("head %+v, %v", got, err)
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
	c := Config{8, 0, []byte{1, 2, 3}}
	if got, err := ParseConfig(c.Append(nil)); err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("config %+v, %v", got, err)
	}
	in := Inflight{4096, 0, 2, 128}
	if got, err := ParseInflight(in.Append(nil)); err != nil || got != in {
		t.Errorf("inflight %+v, %v", got, err)
	}
}

// What makes no sense is refused.
func TestBad(t *testing.T) {
	huge := AppendMemTable(nil, []Region{{^uint64(0) - 5, 10, 0, 0}})
	for name, err := range map[string]error{
		"short head":    second(ParseHeader(make([]byte, 11))),
		"version":       second(ParseHeader([]byte{1, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0})),
		"size":          second(ParseHeader(AppendHeader(nil, Header{Request: 1, Size: MaxPayload + 1}))),
		"no regions":    second(ParseMemTable(make([]byte, 8))),
		"many regions":  second(ParseMemTable(AppendMemTable(nil, make([]Region, MaxRegions+1)))),
		"cut table":     second(ParseMemTable(AppendMemTable(nil, make([]Region, 2))[:50])),
		"overflow":      second(ParseMemTable(huge)),
		"config window": second(ParseConfig(Config{Offset: 250, Data: make([]byte, 10)}.Append(nil))),
	} {
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func second[T any](_ T, err error) error { return err }

func FuzzMessages(f *testing.F) {
	f.Add(AppendHeader(nil, Header{Request: GetFeatures, Size: 8}))
	f.Add(AppendMemTable(nil, []Region{{1, 2, 3, 4}}))
	f.Add(Config{0, 0, []byte("x")}.Append(nil))
	f.Fuzz(func(t *testing.T, p []byte) {
		ParseHeader(p)
		if list, err := ParseMemTable(p); err == nil && !bytes.Equal(AppendMemTable(nil, list)[8:], p[8:]) {
			t.Error("a table changed on its way")
		}
		if c, err := ParseConfig(p); err == nil && int(c.Offset)+len(c.Data) > ConfigSpaceSize {
			t.Errorf("window %d+%d", c.Offset, len(c.Data))
		}
		ParseVringAddr(p)
		ParseVringState(p)
		ParseInflight(p)
		ParseU64(p)
	})
}
