// Package storesim plays whole clusters of the store in one thread, with a network, disks and a clock of its own: the
// same code as a daemon's, thousands of times faster, and the same run for the same seed.
package storesim

import (
	"errors"
	"math/rand/v2"
	"os"
	"sort"

	"cloverrock/internal/store/disk"
)

var errSync = errors.New("sim: the disk could not sync")

// vdisk is a directory that forgets at a crash what was not synced.
type vdisk struct {
	rng      *rand.Rand
	names    map[string]*vfile // as a process sees them
	durable  map[string]*vfile // as the last SyncDir left them
	full     bool
	failSync bool
	lies     bool // syncs do nothing: what the checks must find out
	dieIn    int  // the machine dies in the middle of the so manieth change from now; 0: it does not
}

// died is the panic by which a machine ends in the middle of what it does.
type died struct{ d *vdisk }

// step counts a change, and ends the machine if it is the one.
func (d *vdisk) step() {
	if d.dieIn > 0 {
		if d.dieIn--; d.dieIn == 0 {
			panic(died{d})
		}
	}
}

type vfile struct {
	d      *vdisk
	data   []byte
	synced int    // so much of data is on the disk
	old    []byte // what is on the disk, if data was changed below synced
}

func newDisk(rng *rand.Rand) *vdisk {
	return &vdisk{rng: rng, names: map[string]*vfile{}, durable: map[string]*vfile{}}
}

func sorted(m map[string]*vfile) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func (d *vdisk) Name(name string) string { return "disk/" + name }

func (d *vdisk) List() ([]string, error) { return sorted(d.names), nil }

func (d *vdisk) Read(name string) ([]byte, error) {
	f := d.names[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), nil
}

func (d *vdisk) Create(name string) (disk.File, error) {
	d.step()
	if d.full {
		return nil, disk.ErrFull
	}
	f := &vfile{d: d}
	d.names[name] = f
	return f, nil
}

func (d *vdisk) Append(name string) (disk.File, error) {
	if f := d.names[name]; f != nil {
		return f, nil
	}
	return d.Create(name)
}

func (d *vdisk) Truncate(name string, size int64) error {
	f := d.names[name]
	if f == nil {
		return os.ErrNotExist
	}
	return f.Truncate(size)
}

func (d *vdisk) Rename(from, to string) error {
	d.step()
	f := d.names[from]
	if f == nil {
		return os.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = f
	return nil
}

func (d *vdisk) Remove(name string) error {
	d.step()
	if d.names[name] == nil {
		return os.ErrNotExist
	}
	delete(d.names, name)
	return nil
}

func (d *vdisk) SyncDir() error {
	d.step()
	if d.failSync {
		return errSync
	}
	if !d.lies {
		d.durable = map[string]*vfile{}
		for n, f := range d.names {
			d.durable[n] = f
		}
	}
	return nil
}

// crash loses power: what was not synced is gone, torn, or there by luck.
func (d *vdisk) crash() {
	names := d.durable
	if !d.lies && d.rng.IntN(2) == 0 { // the directory may have been written by itself
		names = d.names
	}
	d.names, d.durable, d.failSync, d.dieIn = map[string]*vfile{}, map[string]*vfile{}, false, 0
	for _, n := range sorted(names) {
		f := names[n]
		f.lose()
		d.names[n], d.durable[n] = f, f
	}
}

func (f *vfile) lose() {
	switch {
	case f.old != nil && f.d.rng.IntN(2) == 0:
		f.data = f.old
	case f.old == nil && f.synced < len(f.data):
		rest := f.data[f.synced:]
		kept := f.d.rng.IntN(len(rest) + 1)
		if f.d.lies {
			kept = 0
		}
		f.data = append(f.data[:f.synced:f.synced], rest[:kept]...)
		if kept > 0 && f.d.rng.IntN(2) == 0 { // the pieces of a write come to the disk in any order
			at := f.synced + f.d.rng.IntN(kept)
			for i := at; i < min(at+512, len(f.data)); i++ {
				f.data[i] = byte(f.d.rng.Uint32())
			}
		}
	}
	f.old, f.synced = nil, len(f.data)
}

// flip spoils one bit of what is on the disk, and returns false if there is nothing of that name.
func (d *vdisk) flip(name string, below int) bool {
	f := d.names[name]
	if f == nil || min(below, len(f.data)) <= 0 {
		return false
	}
	f.data = append([]byte(nil), f.data...)
	f.data[d.rng.IntN(min(below, len(f.data)))] ^= 1 << d.rng.IntN(8)
	return true
}

func (f *vfile) Write(b []byte) (int, error) {
	if f.d.full {
		return 0, disk.ErrFull
	}
	if f.d.dieIn == 1 { // in the middle of the write
		f.data = append(f.data, b[:f.d.rng.IntN(len(b)+1)]...)
	}
	f.d.step()
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *vfile) WriteAt(b []byte, off int64) (int, error) {
	if f.d.full {
		return 0, disk.ErrFull
	}
	f.keepOld(int(off))
	for len(f.data) < int(off)+len(b) {
		f.data = append(f.data, 0)
	}
	copy(f.data[off:], b)
	return len(b), nil
}

func (f *vfile) Truncate(size int64) error {
	f.d.step()
	f.keepOld(int(size))
	f.data = f.data[:size:size]
	return nil
}

func (f *vfile) keepOld(from int) {
	if from < f.synced && f.old == nil {
		f.old = append([]byte(nil), f.data[:f.synced]...)
	}
}

func (f *vfile) Sync() error {
	f.d.step()
	if f.d.failSync {
		return errSync
	}
	if !f.d.lies {
		f.synced, f.old = len(f.data), nil
	}
	return nil
}

func (f *vfile) Close() error { return nil }
