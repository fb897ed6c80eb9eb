package guestmem

import (
	"errors"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/wire"
)

// newMemFile returns the descriptor of an anonymous file of size bytes.
func newMemFile(t *testing.T, size int64) int {
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

// TestAddresses checks that a range inside a region returns its bytes and that all
// others are refused, also where an end overflows or a range crosses from one
// region into an adjacent one.
func TestAddresses(t *testing.T) {
	firstFD, secondFD := newMemFile(t, 16384), newMemFile(t, 8192)
	table, err := Map([]wire.Region{{GuestAddr: 0x1000, Size: 8192, UserAddr: 0x70000, FileOffset: 100}, {GuestAddr: 0x3000, Size: 8192, UserAddr: 0x90000}}, []int{firstFD, secondFD})
	if err != nil {
		t.Fatal(err)
	}
	defer table.Unmap()
	if _, err := unix.Pwrite(firstFD, []byte("hello"), 100+10); err != nil {
		t.Fatal(err)
	}
	for _, lookup := range []func() ([]byte, error){func() ([]byte, error) { return table.GuestSlice(0x100a, 5) }, func() ([]byte, error) { return table.UserSlice(0x7000a, 5) }} {
		if got, err := lookup(); err != nil || string(got) != "hello" || cap(got) != 5 {
			t.Errorf("%q, %v", got, err)
		}
	}
	for _, c := range [][2]uint64{{0xfff, 1}, {0x1000, 8193}, {0x2fff, 2}, {0x5000, 1}, {0x3000, ^uint64(0)}, {^uint64(0), 2}, {0x4fff, 2}} {
		if _, err := table.GuestSlice(c[0], c[1]); !errors.Is(err, ErrOutOfRange) {
			t.Errorf("%d bytes at %#x: %v", c[1], c[0], err)
		}
	}
}

// TestShrinks checks that an access to a region whose file shrank after it was
// mapped returns ErrFault, without a crash, and that other panics propagate.
func TestShrinks(t *testing.T) {
	fd := newMemFile(t, 8192)
	table, err := Map([]wire.Region{{GuestAddr: 0, Size: 8192}}, []int{fd})
	if err != nil {
		t.Fatal(err)
	}
	defer table.Unmap()
	data, err := table.GuestSlice(4096, 16)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Ftruncate(fd, 0); err != nil {
		t.Fatal(err)
	}
	if err := RecoverFaults(func() error { data[0] = 1; return nil }); !errors.Is(err, ErrFault) {
		t.Errorf("access past the end of the file: %v", err)
	}
	defer func() {
		if recover() == nil {
			t.Error("RecoverFaults swallowed another panic")
		}
	}()
	RecoverFaults(func() error { panic("other") })
}

// TestBadTables checks that invalid tables are refused.
func TestBadTables(t *testing.T) {
	fd := newMemFile(t, 4096)
	for want, c := range map[string]struct {
		regions []wire.Region
		fds     []int
	}{
		"descriptors": {[]wire.Region{{Size: 1}}, nil},
		"overlap":     {[]wire.Region{{GuestAddr: 0, Size: 4096}, {GuestAddr: 4095, Size: 1}}, []int{fd, fd}},
		"of a file":   {[]wire.Region{{Size: 8192}}, []int{fd}},
		"more than":   {[]wire.Region{{Size: 1 << 50}}, []int{fd}},
		"region 0":    {[]wire.Region{{Size: 1}}, []int{-1}},
	} {
		if _, err := Map(c.regions, c.fds); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
