// Package guestmem maps the memory of a guest and returns slices of it by guest
// address or by front-end address. It never accesses memory outside the regions. An
// access to a region whose file shrank after it was mapped faults (SIGBUS);
// RecoverFaults turns the fault into an error.
package guestmem

import (
	"errors"
	"fmt"
	"runtime/debug"
	"syscall"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/wire"
)

// ErrOutOfRange reports that an address range does not lie in a single region.
var ErrOutOfRange = errors.New("guest memory: range outside the regions")

// ErrFault reports an access to mapped memory whose file has shrunk.
var ErrFault = errors.New("guest memory: the region's file shrank")

// Table is a mapped memory table. It is safe for concurrent use until Unmap, which
// must come after all other uses.
type Table struct{ regions []mappedRegion }

// mappedRegion is a mapped region. A mapping must begin at a page boundary.
type mappedRegion struct {
	wire.Region
	mapped []byte // from the page boundary before the region
	data   []byte // the region itself
}

// maxTotalBytes is the largest total size of the regions of a table.
const maxTotalBytes = 1 << 40

// Map maps regions from their file descriptors, which it does not close. It refuses
// regions that overlap in guest addresses or are larger than their files.
func Map(regions []wire.Region, fds []int) (*Table, error) {
	if len(regions) != len(fds) {
		return nil, fmt.Errorf("memory table: %d regions with %d file descriptors", len(regions), len(fds))
	}
	t := &Table{}
	page := uint64(syscall.Getpagesize())
	total := uint64(0)
	for i, region := range regions {
		for j := range i {
			if other := regions[j]; region.GuestAddr < other.GuestAddr+other.Size && other.GuestAddr < region.GuestAddr+region.Size {
				t.Unmap()
				return nil, fmt.Errorf("memory table: regions %d and %d overlap", j, i)
			}
		}
		if total += region.Size; region.Size > maxTotalBytes || total > maxTotalBytes {
			t.Unmap()
			return nil, fmt.Errorf("memory table: more than %d bytes", uint64(maxTotalBytes))
		}
		if err := t.mapRegion(region, fds[i], page); err != nil {
			t.Unmap()
			return nil, fmt.Errorf("memory table: region %d: %w", i, err)
		}
	}
	return t, nil
}

// mapRegion maps one region from fd and adds it to the table.
func (t *Table) mapRegion(region wire.Region, fd int, page uint64) error {
	var stat unix.Stat_t
	if err := unix.Fstat(fd, &stat); err != nil {
		return err
	}
	if stat.Mode&unix.S_IFMT == unix.S_IFREG && region.FileOffset+region.Size > uint64(stat.Size) {
		return fmt.Errorf("%d bytes at offset %d of a file of %d bytes", region.Size, region.FileOffset, stat.Size)
	}
	lead := region.FileOffset % page
	mapped, err := unix.Mmap(fd, int64(region.FileOffset-lead), int(region.Size+lead), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return fmt.Errorf("mmap: %w", err)
	}
	t.regions = append(t.regions, mappedRegion{region, mapped, mapped[lead : lead+region.Size]})
	return nil
}

// Unmap unmaps all regions. Slices of them must not be used afterwards.
func (t *Table) Unmap() {
	for _, region := range t.regions {
		unix.Munmap(region.mapped)
	}
	t.regions = nil
}

// GuestSlice returns the n bytes of guest memory at a guest address.
func (t *Table) GuestSlice(addr, n uint64) ([]byte, error) {
	for i := range t.regions {
		region := &t.regions[i]
		if offset := addr - region.GuestAddr; addr >= region.GuestAddr && offset < region.Size && n <= region.Size-offset {
			return region.data[offset : offset+n : offset+n], nil
		}
	}
	return nil, fmt.Errorf("%w: %d bytes at guest address %#x", ErrOutOfRange, n, addr)
}

// UserSlice returns the n bytes of guest memory at an address of the front-end.
func (t *Table) UserSlice(addr, n uint64) ([]byte, error) {
	for i := range t.regions {
		region := &t.regions[i]
		if offset := addr - region.UserAddr; addr >= region.UserAddr && offset < region.Size && n <= region.Size-offset {
			return region.data[offset : offset+n : offset+n], nil
		}
	}
	return nil, fmt.Errorf("%w: %d bytes at front-end address %#x", ErrOutOfRange, n, addr)
}

// RecoverFaults calls access and returns an error that wraps ErrFault if it accessed
// mapped memory whose file has shrunk. Other panics propagate.
func RecoverFaults(access func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(old)
		if recovered := recover(); recovered != nil {
			if fault, ok := recovered.(interface{ Addr() uintptr }); ok {
				err = fmt.Errorf("%w: at %#x", ErrFault, fault.Addr())
				return
			}
			panic(recovered)
		}
	}()
	return access()
}
