package app

import (
	"os"
	"syscall"
	"testing"

	"cloverrock/internal/lab/fullpipe"
)

// openFullPipe returns both ends of a pipe whose buffer is full. They are closed when the test ends.
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

// testWithLog starts a process that writes its log to a file, and checks that the process serves a request, reloads its
// configuration, and shuts down gracefully.
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

// A log whose reader does not read delays neither requests nor the shutdown.
func TestStalledLogStopsNoRequest(t *testing.T) {
	_, writer := openFullPipe(t)
	testWithLog(t, writer)
}

// A log whose reader has closed its end does not terminate the process.
func TestBrokenLogDoesNotEndTheProcess(t *testing.T) {
	reader, writer := openFullPipe(t)
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	testWithLog(t, writer)
}
