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

// tornBytes is how much of a file a write that was under way at a power loss may spoil.
const tornBytes = 512

// memoryDisk implements disk.FS. At a loss of power it loses data that was not synced.
type memoryDisk struct {
	random                *rand.Rand
	files                 map[string]*memoryFile // as a process sees them
	durable               map[string]*memoryFile // as the last SyncDir left them
	full                  bool
	failSync              bool
	ignoreSyncs           bool // syncs do nothing: the checks must find it
	changesUntilPowerLoss int  // the machine loses power in the middle of that change; 0: it does not
}

// powerLoss is the panic that ends a call in whose middle the machine loses power.
type powerLoss struct{ disk *memoryDisk }

// countChange counts a change, and panics if the machine loses power in its middle.
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
	synced      int    // number of bytes of data that are on the disk
	durableData []byte // what is on the disk, if data was changed below synced; else nil
}

func newDisk(random *rand.Rand) *memoryDisk {
	return &memoryDisk{random: random, files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

// names returns the files' names in order.
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

// crash simulates a loss of power: data that was not synced is lost, torn, or survives by chance.
func (d *memoryDisk) crash() {
	survivors := d.durable
	if !d.ignoreSyncs && d.random.IntN(2) == 0 { // the directory may have been written without a sync
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

// loseUnsynced reduces the file to what survives a loss of power.
func (f *memoryFile) loseUnsynced() {
	random := f.disk.random
	switch {
	case f.durableData != nil && random.IntN(2) == 0:
		f.data = f.durableData
	case f.durableData == nil && f.synced < len(f.data):
		f.tear()
	}
	f.durableData = nil
	f.synced = len(f.data)
}

// tear keeps a random part of the data written since the last sync and may corrupt some of it: the pieces of a write reach
// the disk in any order.
func (f *memoryFile) tear() {
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
	for i := from; i < min(from+tornBytes, len(f.data)); i++ {
		f.data[i] = byte(random.Uint32())
	}
}

// flipBit flips a random bit of a file, and reports whether there was any.
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
	if f.disk.changesUntilPowerLoss == 1 { // power is lost in the middle of the write
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
