package app

import (
	"errors"
	"os"
	"syscall"
	"testing"
)

// openFullPipe returns the ends of a pipe whose buffer is full.
func openFullPipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC|syscall.O_NONBLOCK); err != nil {
		t.Fatal(err)
	}
	for line := make([]byte, 4096); ; {
		if _, err := syscall.Write(ends[1], line); errors.Is(err, syscall.EAGAIN) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.SetNonblock(ends[1], false); err != nil {
		t.Fatal(err)
	}
	reader, writer = os.NewFile(uintptr(ends[0]), "reader"), os.NewFile(uintptr(ends[1]), "writer")
	t.Cleanup(func() {
		_ = reader.Close() // a test may have closed it
		_ = writer.Close()
	})
	return reader, writer
}

// testWithLog has a process serve a request, reload its configuration, and end in order, with a given log.
func testWithLog(t *testing.T, log *os.File) {
	t.Helper()
	gw := newHarness(t, 0)
	gw.processLog = log
	cmd, buffer := gw.startProcess(1024, true)
	gw.nextCall()
	gw.waitUntilReady()
	client := gw.connect()
	gw.exchange(client, 1, "v")
	sendSignals(t, cmd, syscall.SIGHUP, syscall.SIGTERM)
	gw.exchange(client, 2, "w")
	client.want("closed")
	gw.wantProcessEnded(buffer)
}

// A log that nobody reads stalls neither requests nor the shutdown.
func TestStalledLogStopsNoRequest(t *testing.T) {
	_, writer := openFullPipe(t)
	testWithLog(t, writer)
}

// A log whose reader has gone away does not end the process.
func TestBrokenLogDoesNotEndTheProcess(t *testing.T) {
	reader, writer := openFullPipe(t)
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	testWithLog(t, writer)
}
