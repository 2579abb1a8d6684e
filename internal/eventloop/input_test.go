package eventloop

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"testing"
)

// floodSize is more, in bytes, than the sockets of one connection hold.
const floodSize = 32 << 20

// collector is a Handler that collects the input of a connection, on the loop's goroutine.
type collector struct {
	data   bytes.Buffer
	closed chan struct{}
}

func newCollector() *collector { return &collector{closed: make(chan struct{})} }

func (c *collector) Data(b []byte) { c.data.Write(b) }
func (c *collector) Closed(error)  { close(c.closed) }

// undelivered returns what the engine has read of a connection and the handler has not received yet.
func undelivered(c *Conn) (reads, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.input.undeliveredReads, c.input.undeliveredBytes
}

// flood makes the peer write without end, until the connection ends.
func flood(peer net.Conn) {
	block := make([]byte, readBufferSize)
	for {
		if _, err := peer.Write(block); err != nil {
			return
		}
	}
}

// A peer that sent at full speed held the engine and filled the queue, so that no other connection was read.
func TestFloodingPeerLeavesTurnsAndQueueToOthers(t *testing.T) {
	l, listener := startLoop(t, nil), listen(t)
	flooding, other := dialPeer(t, l, listener), dialPeer(t, l, listener)
	l.onLoop(func() { flooding.handler = newCollector() })
	defer func() { _ = flooding.peer.Close() }()
	l.onLoop(func() { // the loop takes nothing from the queue while this function runs
		go flood(flooding.peer)
		pollUntil(t, "the limit", func() bool { _, size := undelivered(flooding.Conn); return size >= maxUndelivered })
		other.sendByte(t)
		pollUntil(t, "the engine's read of the other connection", func() bool { reads, _ := undelivered(other.Conn); return reads == 1 })
		if _, size := undelivered(flooding.Conn); size >= maxUndelivered+readBufferSize {
			t.Errorf("%d bytes of one connection wait in the queue, want less than %d", size, maxUndelivered+readBufferSize)
		}
	})
	receive(t, other.data, "the byte")
	other.sendByte(t)
	receive(t, other.data, "a byte that is sent while the loop reads the flood in turns")
}

// Input that the loop reads in turns must arrive whole and in order, also if the peer closes its side behind it.
func TestInputReadInTurnsArrivesInOrder(t *testing.T) {
	sent := make([]byte, floodSize)
	_, _ = rand.NewChaCha8([32]byte{}).Read(sent) // never fails
	l, listener, received := startLoop(t, nil), listen(t), newCollector()
	l.onLoop(func() { l.Dial(listener.Addr().String(), received) })
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	setTestDeadline(t, peer)
	if _, err := io.Copy(peer, bytes.NewReader(sent)); err != nil {
		t.Fatal(err)
	}
	_ = peer.Close() // the handler shows a failure
	receive(t, received.closed, "the end")
	if !bytes.Equal(received.data.Bytes(), sent) {
		t.Errorf("%d bytes arrived, which differ from the %d that were sent", received.data.Len(), len(sent))
	}
}

// A handler that could not take more input could only end the connection: now the input waits in the socket.
func TestPausedInputWaitsInTheSocket(t *testing.T) {
	l, listener := startLoop(t, nil), listen(t)
	c := dialPeer(t, l, listener)
	l.onLoop(c.PauseInput)
	c.sendByte(t)
	other := dialPeer(t, l, listener)
	other.sendByte(t) // handled after the engine's event of the paused connection
	receive(t, other.data, "the byte of a connection that is not paused")
	l.onLoop(func() {
		if len(c.data) != 0 || c.InputDrained() || c.InputWaitingSince() == 0 {
			t.Error("paused input was delivered, or does not count as waiting")
		}
		c.ResumeInput()
	})
	receive(t, c.data, "the byte after the pause")
	c.sendByte(t)
	receive(t, c.data, "a byte that is sent after the pause")
	l.onLoop(c.PauseInput)
	c.sendByte(t)
	_ = c.peer.Close() // the handler shows a failure
	receive(t, c.testHandler.closed, "the end of a paused connection")
}

// Datagrams that arrived faster than they were handled filled the memory. An empty one must not stop the reads.
func TestDatagramsWaitInTheSocketForTheirTurn(t *testing.T) {
	const datagrams = 5 * maxPackets
	l, received := startLoop(t, nil), make(chan string, 2*datagrams)
	var socket *PacketConn
	var err error
	l.onLoop(func() {
		socket, err = l.ListenPacket("127.0.0.1:0", func(_ net.Addr, b []byte) { received <- string(b) })
	})
	if err != nil {
		t.Fatal(err)
	}
	address, err := socket.address()
	if err != nil {
		t.Fatal(err)
	}
	peer, err := net.Dial("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	l.onLoop(func() {
		for range datagrams {
			_, _ = peer.Write([]byte("x")) // the number received shows a failure
			_, _ = peer.Write(nil)
		}
		pollUntil(t, "the limit", func() bool { return l.queuedEvents(callEvent) >= maxPackets })
		if n := l.queuedEvents(callEvent); n > maxPackets {
			t.Errorf("%d events are queued for datagrams, want at most %d", n, maxPackets)
		}
	})
	for i := range 2 * datagrams {
		if got, want := receive(t, received, "a datagram"), []string{"x", ""}[i%2]; got != want {
			t.Errorf("datagram %d is %q, want %q", i, got, want)
		}
	}
}

// queuedEvents returns the number of events of a kind that wait in the queue.
func (l *Loop) queuedEvents(kind eventKind) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.queue {
		if l.queue[i].kind == kind {
			n++
		}
	}
	return n
}
