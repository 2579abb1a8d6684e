package app

import (
	"os"
	"syscall"
	"testing"

	"cloverrock/internal/lab/fullpipe"
)

// openFullPipe returns the ends of a pipe whose buffer is full, until the test ends.
func openFullPipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	reader, writer, err := fullpipe.Open()
	if err != nil {
		t.Fatal(err)
	}
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
