// Package memory maps a guest's memory and gives slices of it by the guest's
// addresses or the front-end's. Nothing outside the regions is ever touched. A
// region whose file shrank after it was mapped faults when touched (SIGBUS):
// Guarded turns that into an error for the goroutine that met it.
package guestmem

import (
	"errors"
	"fmt"
	"runtime/debug"
	"syscall"

	"golang.org/x/sys/unix"

	"arrowwalk/internal/front/vhost/wire"
)

// ErrOutOfRange says that an address range is not whole inside one region.
var ErrOutOfRange = errors.New("guest memory: outside the regions")

// ErrFault says that mapped memory has gone from under the mapping.
var ErrFault = errors.New("guest memory: the region's file shrank")

// Table is a mapped memory table. It does not change once mapped, so that any
// number of goroutines may use it; Unmap comes after the last of them.
type Table struct{ regions []region }

type region struct {
	wire.Region
	mapped []byte // from the file's start of the mapping
	data   []byte // the region
}

// totalMost is how much guest memory may be mapped in all.
const totalMost = 1 << 40

// Map maps regions from their descriptors, which it does not close.
func Map(list []wire.Region, fds []int) (*Table, error) {
	if len(list) != len(fds) {
		return nil, fmt.Errorf("memory table: %d regions with %d descriptors", len(list), len(fds))
	}
	t := &Table{}
	page := uint64(syscall.Getpagesize())
	total := uint64(0)
	for i, r := range list {
		for j := range i {
			if o := list[j]; r.GuestAddr < o.GuestAddr+o.Size && o.GuestAddr < r.GuestAddr+r.Size {
				t.Unmap()
				return nil, fmt.Errorf("memory table: regions %d and %d overlap", j, i)
			}
		}
		if total += r.Size; r.Size > totalMost || total > totalMost {
			t.Unmap()
			return nil, fmt.Errorf("memory table: more than %d bytes", uint64(totalMost))
		}
		if err := t.add(r, fds[i], page); err != nil {
			t.Unmap()
			return nil, fmt.Errorf("memory table: region %d: %w", i, err)
		}
	}
	return t, nil
}

func (t *Table) add(r wire.Region, fd int, page uint64) error {
	var st unix.Stat_t
	if err := unix.Fstat(fd, &st); err != nil {
		return err
	}
	if st.Mode&unix.S_IFMT == unix.S_IFREG && r.FileOffset+r.Size > uint64(st.Size) {
		return fmt.Errorf("%d bytes at %d of a file of %d", r.Size, r.FileOffset, st.Size)
	}
	skip := r.FileOffset % page
	mapped, err := unix.Mmap(fd, int64(r.FileOffset-skip), int(r.Size+skip), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return fmt.Errorf("mmap: %w", err)
	}
	t.regions = append(t.regions, region{r, mapped, mapped[skip : skip+r.Size]})
	return nil
}

// Unmap gives the memory back.
func (t *Table) Unmap() {
	for _, r := range t.regions {
		unix.Munmap(r.mapped)
	}
	t.regions = nil
}

// Guest returns n bytes at an address of the guest.
func (t *Table) Guest(addr, n uint64) ([]byte, error) {
	for i := range t.regions {
		r := &t.regions[i]
		if at := addr - r.GuestAddr; addr >= r.GuestAddr && at < r.Size && n <= r.Size-at {
			return r.data[at : at+n : at+n], nil
		}
	}
	return nil, fmt.Errorf("%w: %d bytes at %#x", ErrOutOfRange, n, addr)
}

// User returns n bytes at an address of the front-end's process.
func (t *Table) User(addr, n uint64) ([]byte, error) {
	for i := range t.regions {
		r := &t.regions[i]
		if at := addr - r.UserAddr; addr >= r.UserAddr && at < r.Size && n <= r.Size-at {
			return r.data[at : at+n : at+n], nil
		}
	}
	return nil, fmt.Errorf("%w: %d bytes at the front-end's %#x", ErrOutOfRange, n, addr)
}

// RecoverFaults calls do, and returns ErrFault where it touched memory that has gone
// from under its mapping. Other panics go on.
func RecoverFaults(do func() error) (err error) {
	old := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(old)
		if p := recover(); p != nil {
			if f, ok := p.(interface{ Addr() uintptr }); ok {
				err = fmt.Errorf("%w: at %#x", ErrFault, f.Addr())
				return
			}
			panic(p)
		}
	}()
	return do()
}
