// Package fullpipe makes pipes whose buffer is full, so that a write blocks until the other end is read.
package fullpipe

import (
	"errors"
	"os"
	"syscall"
)

// Open returns the two ends of a pipe whose buffer is full. A write to the writer blocks.
func Open() (reader, writer *os.File, err error) {
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK); err != nil {
		return nil, nil, err
	}
	reader = os.NewFile(uintptr(ends[0]), "reader")
	writer = os.NewFile(uintptr(ends[1]), "writer")
	if err = fill(ends[1]); err == nil {
		err = syscall.SetNonblock(ends[1], false)
	}
	if err != nil {
		_ = reader.Close() // the error above is the cause
		_ = writer.Close() // as above
		return nil, nil, err
	}
	return reader, writer, nil
}

func fill(descriptor int) error {
	page := make([]byte, os.Getpagesize())
	for {
		_, err := syscall.Write(descriptor, page)
		if errors.Is(err, syscall.EAGAIN) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
