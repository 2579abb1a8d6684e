// Package disk stores an instance's log, snapshots and identity in one directory. Data that was reported as saved is
// later read back completely, or reading it fails with a CorruptError. The package accesses files through the interface
// FS, so that tests can simulate a crash or a failure at any operation.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// FS is one flat directory. The creation, renaming and removal of files are durable only after SyncDir.
type FS interface {
	List() ([]string, error) // sorted
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // truncates an existing file
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	Name(name string) string // the path of a file, for messages
}

// File is a file of the directory.
type File interface {
	Write(b []byte) (int, error) // appends
	WriteAt(b []byte, off int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// ErrFull is the error of a write for which the disk has no space. The write was undone and may be repeated.
var ErrFull = errors.New("store: the disk is full")

// Dir is a directory of the operating system.
type Dir struct {
	path string
	lock *os.File
}

// OpenDir opens a directory and creates it if it is missing. It locks the directory against other processes until Close.
func OpenDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("store: data directory: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("store: data directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to it
		return nil, fmt.Errorf("store: data directory %s is in use by another process: %w", path, err)
	}
	return &Dir{path, lock}, nil
}

// Close unlocks the directory, so that other processes can open it.
func (d *Dir) Close() error { return d.lock.Close() }

// Name implements FS.
func (d *Dir) Name(name string) string { return filepath.Join(d.path, name) }

// List implements FS.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != "lock" {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Read implements FS.
func (d *Dir) Read(name string) ([]byte, error) { return os.ReadFile(d.Name(name)) }

// Create implements FS.
func (d *Dir) Create(name string) (File, error) {
	return d.open(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// Append implements FS.
func (d *Dir) Append(name string) (File, error) { return d.open(name, os.O_CREATE|os.O_WRONLY) }

func (d *Dir) open(name string, flags int) (File, error) {
	f, err := os.OpenFile(d.Name(name), flags, 0o600)
	if err != nil {
		return nil, err
	}
	end, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return &osFile{f, end}, nil
}

// Truncate implements FS.
func (d *Dir) Truncate(name string, size int64) error { return os.Truncate(d.Name(name), size) }

// Rename implements FS.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.Name(from), d.Name(to)) }

// Remove implements FS.
func (d *Dir) Remove(name string) error { return os.Remove(d.Name(name)) }

// SyncDir implements FS.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

type osFile struct {
	*os.File
	end int64 // offset of the next Write
}

// Write appends to the file. A write for which the disk has no space is undone and returns ErrFull.
func (f *osFile) Write(data []byte) (int, error) {
	n, err := f.WriteAt(data, f.end)
	if err == nil {
		f.end += int64(n)
		return n, nil
	}
	diskFull := errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
	if !diskFull {
		return n, err
	}
	if truncateErr := f.File.Truncate(f.end); truncateErr != nil {
		return 0, fmt.Errorf("store: undo a write to a full disk: %w", truncateErr)
	}
	return 0, fmt.Errorf("%w: %w", ErrFull, err)
}

func (f *osFile) Truncate(size int64) error {
	f.end = size
	return f.File.Truncate(size)
}

// Sync returns once the data and the size of the file are on disk.
func (f *osFile) Sync() error { return syscall.Fdatasync(int(f.Fd())) }
