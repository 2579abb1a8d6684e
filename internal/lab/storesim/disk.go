package storesim

import (
	"bytes"
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"slices"

	"cloverrock/internal/store/disk"
)

var errSync = errors.New("sim: the disk could not sync")

// maxTornBytes is the number of bytes that a write in progress may corrupt at a power loss.
const maxTornBytes = 512

// memoryDisk implements disk.FS. At a power loss it loses data that was not synced.
type memoryDisk struct {
	random                *rand.Rand
	files                 map[string]*memoryFile // by name, as the process sees them
	durable               map[string]*memoryFile // by name, as of the last SyncDir
	full                  bool
	failSync              bool
	ignoreSyncs           bool // deliberate defect: syncs have no effect; the checks must report it
	changesUntilPowerLoss int  // power is lost during the change with this number, counted from 1; 0: never
}

// powerLoss is the panic that ends a call during which the machine loses power.
type powerLoss struct{ disk *memoryDisk }

// countChange counts a change of the disk, and panics with a powerLoss if the machine loses power during it.
func (d *memoryDisk) countChange() {
	if d.changesUntilPowerLoss == 0 {
		return
	}
	d.changesUntilPowerLoss--
	if d.changesUntilPowerLoss == 0 {
		panic(powerLoss{d})
	}
}

// memoryFile implements disk.File.
type memoryFile struct {
	disk        *memoryDisk
	data        []byte
	synced      int    // number of bytes, from the start of data, that are on the disk
	durableData []byte // the content on the disk, if data was changed below synced and not synced since; else nil
}

func newDisk(random *rand.Rand) *memoryDisk {
	return &memoryDisk{random: random, files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

// names returns the names of all files, sorted.
func (d *memoryDisk) names() []string { return slices.Sorted(maps.Keys(d.files)) }

func (d *memoryDisk) Name(name string) string { return "disk/" + name }

func (d *memoryDisk) List() ([]string, error) { return d.names(), nil }

func (d *memoryDisk) Read(name string) ([]byte, error) {
	f := d.files[name]
	if f == nil {
		return nil, os.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (d *memoryDisk) Create(name string) (disk.File, error) {
	d.countChange()
	if d.full {
		return nil, disk.ErrFull
	}
	f := &memoryFile{disk: d}
	d.files[name] = f
	return f, nil
}

func (d *memoryDisk) Append(name string) (disk.File, error) {
	if f := d.files[name]; f != nil {
		return f, nil
	}
	return d.Create(name)
}

func (d *memoryDisk) Truncate(name string, size int64) error {
	f := d.files[name]
	if f == nil {
		return os.ErrNotExist
	}
	return f.Truncate(size)
}

func (d *memoryDisk) Rename(from, to string) error {
	d.countChange()
	f := d.files[from]
	if f == nil {
		return os.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = f
	return nil
}

func (d *memoryDisk) Remove(name string) error {
	d.countChange()
	if d.files[name] == nil {
		return os.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

func (d *memoryDisk) SyncDir() error {
	d.countChange()
	if d.failSync {
		return errSync
	}
	if !d.ignoreSyncs {
		d.durable = maps.Clone(d.files)
	}
	return nil
}

// crash simulates a power loss: data that was not synced is lost, corrupted or kept at random.
func (d *memoryDisk) crash() {
	survivors := d.durable
	if !d.ignoreSyncs && d.random.IntN(2) == 0 { // the kernel may write a directory without a sync
		survivors = d.files
	}
	d.files = map[string]*memoryFile{}
	d.durable = map[string]*memoryFile{}
	d.failSync = false
	d.changesUntilPowerLoss = 0
	for _, name := range slices.Sorted(maps.Keys(survivors)) {
		file := survivors[name]
		file.loseUnsynced()
		d.files[name] = file
		d.durable[name] = file
	}
}

// loseUnsynced reduces the file to what survives a power loss.
func (f *memoryFile) loseUnsynced() {
	random := f.disk.random
	switch {
	case f.durableData != nil && random.IntN(2) == 0:
		f.data = f.durableData
	case f.durableData == nil && f.synced < len(f.data):
		f.applyTornWrite()
	}
	f.durableData = nil
	f.synced = len(f.data)
}

// applyTornWrite keeps a random part of the data written since the last sync, and may corrupt some of that: the blocks of a
// write reach the disk in any order.
func (f *memoryFile) applyTornWrite() {
	random := f.disk.random
	unsynced := f.data[f.synced:]
	kept := random.IntN(len(unsynced) + 1)
	if f.disk.ignoreSyncs {
		kept = 0
	}
	f.data = append(f.data[:f.synced:f.synced], unsynced[:kept]...)
	if kept == 0 || random.IntN(2) != 0 {
		return
	}
	from := f.synced + random.IntN(kept)
	for i := from; i < min(from+maxTornBytes, len(f.data)); i++ {
		f.data[i] = byte(random.Uint32())
	}
}

// flipBit flips a random bit of a file. It reports false for a file that is missing or empty.
func (d *memoryDisk) flipBit(name string) bool {
	file := d.files[name]
	if file == nil || len(file.data) == 0 {
		return false
	}
	file.data = bytes.Clone(file.data)
	file.data[d.random.IntN(len(file.data))] ^= 1 << d.random.IntN(8)
	return true
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if f.disk.full {
		return 0, disk.ErrFull
	}
	if f.disk.changesUntilPowerLoss == 1 { // power is lost during this write, which writes a part of b
		f.data = append(f.data, b[:f.disk.random.IntN(len(b)+1)]...)
	}
	f.disk.countChange()
	f.data = append(f.data, b...)
	return len(b), nil
}

func (f *memoryFile) WriteAt(b []byte, off int64) (int, error) {
	if f.disk.full {
		return 0, disk.ErrFull
	}
	f.keepDurable(int(off))
	for len(f.data) < int(off)+len(b) {
		f.data = append(f.data, 0)
	}
	copy(f.data[off:], b)
	return len(b), nil
}

func (f *memoryFile) Truncate(size int64) error {
	f.disk.countChange()
	f.keepDurable(int(size))
	f.data = f.data[:size:size]
	return nil
}

func (f *memoryFile) keepDurable(from int) {
	if from < f.synced && f.durableData == nil {
		f.durableData = bytes.Clone(f.data[:f.synced])
	}
}

func (f *memoryFile) Sync() error {
	f.disk.countChange()
	if f.disk.failSync {
		return errSync
	}
	if !f.disk.ignoreSyncs {
		f.synced = len(f.data)
		f.durableData = nil
	}
	return nil
}

func (f *memoryFile) Close() error { return nil }
