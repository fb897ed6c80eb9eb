package guestmem

import (
	"errors"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/wire"
)

func file(t *testing.T, size int64) int {
	t.Helper()
	fd, err := unix.MemfdCreate("guest", unix.MFD_CLOEXEC)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Ftruncate(fd, size); err != nil {
		t.Fatal(err)
	}
	return fd
}

// Addresses inside a region give its bytes, all others nothing, also where a
// sum overflows or two regions touch.
func TestAddresses(t *testing.T) {
	a, b := file(t, 16384), file(t, 8192)
	table, err := Map([]wire.Region{{GuestAddr: 0x1000, Size: 8192, UserAddr: 0x70000, FileOffset: 100}, {GuestAddr: 0x3000, Size: 8192, UserAddr: 0x90000}}, []int{a, b})
	if err != nil {
		t.Fatal(err)
	}
	defer table.Unmap()
	if _, err := unix.Pwrite(a, []byte("hello"), 100+10); err != nil {
		t.Fatal(err)
	}
	for _, at := range []func() ([]byte, error){func() ([]byte, error) { return table.Guest(0x100a, 5) }, func() ([]byte, error) { return table.User(0x7000a, 5) }} {
		if got, err := at(); err != nil || string(got) != "hello" || cap(got) != 5 {
			t.Errorf("%q, %v", got, err)
		}
	}
	for _, c := range [][2]uint64{{0xfff, 1}, {0x1000, 8193}, {0x2fff, 2}, {0x5000, 1}, {0x3000, ^uint64(0)}, {^uint64(0), 2}, {0x4fff, 2}} {
		if _, err := table.Guest(c[0], c[1]); !errors.Is(err, ErrOutOfRange) {
			t.Errorf("%d bytes at %#x: %v", c[1], c[0], err)
		}
	}
}

// A region that shrinks after it was mapped is an error to who touches it, and
// the program goes on; other panics go on too.
func TestShrinks(t *testing.T) {
	fd := file(t, 8192)
	table, err := Map([]wire.Region{{GuestAddr: 0, Size: 8192}}, []int{fd})
	if err != nil {
		t.Fatal(err)
	}
	defer table.Unmap()
	data, err := table.Guest(4096, 16)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Ftruncate(fd, 0); err != nil {
		t.Fatal(err)
	}
	if err := RecoverFaults(func() error { data[0] = 1; return nil }); !errors.Is(err, ErrFault) {
		t.Errorf("touched what is gone: %v", err)
	}
	defer func() {
		if recover() == nil {
			t.Error("another panic was swallowed")
		}
	}()
	RecoverFaults(func() error { panic("other") })
}

// Tables that make no sense are not mapped.
func TestBadTables(t *testing.T) {
	fd := file(t, 4096)
	for want, c := range map[string]struct {
		list []wire.Region
		fds  []int
	}{
		"descriptors": {[]wire.Region{{Size: 1}}, nil},
		"overlap":     {[]wire.Region{{GuestAddr: 0, Size: 4096}, {GuestAddr: 4095, Size: 1}}, []int{fd, fd}},
		"of a file":   {[]wire.Region{{Size: 8192}}, []int{fd}},
		"more than":   {[]wire.Region{{Size: 1 << 50}}, []int{fd}},
		"region 0":    {[]wire.Region{{Size: 1}}, []int{-1}},
	} {
		if _, err := Map(c.list, c.fds); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
