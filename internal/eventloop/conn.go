package eventloop

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// releaseTimeout is the time in microseconds after which a socket is closed that the engine has not closed by itself.
const releaseTimeout = 1e5

// Conn is one TCP connection. Its methods must be called on the loop's goroutine, except as noted.
//
// The engine also closes sockets, on its own goroutine, and the system may give a free descriptor to the next socket.
// Therefore every use of the descriptor here is made with mu locked. The engine's reads, in which it detects the end of
// the connection, are made with mu locked too: data of the peer is either read before the write side is closed, or never
// delivered.
type Conn struct {
	loop     *Loop
	nb       *nbio.Conn // nil if the dial failed at once
	handler  Handler
	accepted bool
	closed   bool // the handler receives nothing more

	queuedBytes  int64        // passed to Write
	writtenBytes atomic.Int64 // accepted by the kernel

	inTurn bool // in Loop.turns

	mu          sync.Mutex // guards the fields below and the descriptor
	released    bool       // the descriptor must not be used any more
	writeClosed bool       // the write side was closed: further input is discarded
	input       input
}

// Write sends b, at once as far as the socket accepts it and the rest later.
//
// The first write is made here and not by the engine. The engine would close the socket after an error at once, on
// this goroutine, while its own goroutine may hold an event of the socket; that event would then be applied to the
// next socket with the same descriptor. After an error here, the engine handles the event first and closes the socket
// itself.
func (c *Conn) Write(b []byte) {
	if c.closed || c.nb == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	socketFull := c.UnsentBytes() > 0
	c.queuedBytes += int64(len(b))
	if c.released || c.writeClosed {
		return
	}
	for !socketFull && len(b) > 0 {
		n, err := syscall.Write(c.descriptor(), b)
		switch {
		case n > 0:
			c.writtenBytes.Add(int64(n))
			b = b[n:]
		case errors.Is(err, syscall.EAGAIN):
			socketFull = true
		case !errors.Is(err, syscall.EINTR):
			c.releaseLater()
			return
		}
	}
	if len(b) > 0 {
		_, err := c.nb.Write(b)
		c.released = err != nil // after an error the engine has closed the socket and calls engineClosed
	}
}

func (c *Conn) descriptor() (fd int) {
	// Neither call fails while the socket is open, which callers ensure.
	raw, _ := c.nb.SyscallConn()
	_ = raw.Control(func(socket uintptr) { fd = int(socket) })
	return fd
}

// Flushed reports whether the kernel has accepted the last byte passed to Write. The answer is final only after Close or
// after the handler's Closed was called: until then the engine may continue to write.
func (c *Conn) Flushed() bool { return c.writtenBytes.Load() >= c.queuedBytes }

// UnsentBytes returns the number of bytes passed to Write that the kernel has not accepted yet.
func (c *Conn) UnsentBytes() int64 { return c.queuedBytes - c.writtenBytes.Load() }

// InputDrained reports whether the connection is open and the handler has received all input of the peer. It checks the
// socket itself, because input may have arrived there that the handler will receive only later.
func (c *Conn) InputDrained() bool {
	if c.closed || c.nb == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputDrainedLocked()
}

func (c *Conn) inputDrainedLocked() bool {
	if c.released || c.writeClosed || c.input.undeliveredReads > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// peek looks for a byte of input without consuming it. 0 and no error mean that the peer has closed its side.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(c.descriptor(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// PeerClosed reports whether the peer or the network has ended the connection, even if the handler has not been notified
// yet. If unread bytes precede the end, only the state of the TCP connection shows the end.
func (c *Conn) PeerClosed() bool {
	if c.closed || c.nb == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return true
	}
	n, err := c.peek()
	if n > 0 && !c.writeClosed {
		return c.peerClosedInTCPState()
	}
	return n <= 0 && !errors.Is(err, syscall.EAGAIN)
}

func (c *Conn) peerClosedInTCPState() bool {
	info, err := unix.GetsockoptTCPInfo(c.descriptor(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return false
	}
	switch info.State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// CloseWrite closes the write side and reports whether it did. It does nothing if the handler has not received all input
// of the peer, or if bytes are unsent. Later input is read and discarded, because unread input would cause a reset that
// destroys data in transit to the peer. The handler's Closed is called once the peer has closed its side too.
func (c *Conn) CloseWrite() bool { return c.closeWriteIf(c.inputDrainedLocked) }

// ForceCloseWrite is CloseWrite for a connection whose further input is ignored: it does not require that all input was
// received.
func (c *Conn) ForceCloseWrite() bool {
	return c.closeWriteIf(func() bool { return !c.released && !c.writeClosed })
}

func (c *Conn) closeWriteIf(mayClose func() bool) bool {
	if c.closed || c.nb == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.UnsentBytes() > 0 || !mayClose() {
		return false
	}
	if syscall.Shutdown(c.descriptor(), syscall.SHUT_WR) != nil {
		return false
	}
	c.writeClosed = true
	return true
}

// Close ends the connection; the handler receives nothing more. The engine then detects the end of the socket and closes
// it. If the socket were closed here, its descriptor might go to another socket while the engine still holds an event of
// this one.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.nb == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return
	}
	c.writeClosed = true
	c.shutdownUnlessReleased()
	c.releaseLater()
}

// shutdownUnlessReleased shuts down both directions of the socket. The engine may write to the socket on its own
// goroutine and close it after an error. Before it closes the socket, it marks the connection as closed under the
// engine's lock of the connection. The mark is checked here under the same lock.
func (c *Conn) shutdownUnlessReleased() {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); closed {
		return
	}
	_ = syscall.Shutdown(c.descriptor(), syscall.SHUT_RDWR) // after an error releaseLater closes the socket
}

// release closes the socket. mu must be locked.
func (c *Conn) release(err error) {
	c.released = true
	_ = c.nb.CloseWithError(err) // fails only if the socket is already closed
}

// releaseLater closes the socket after releaseTimeout if the engine has not detected its end by then.
func (c *Conn) releaseLater() {
	c.loop.CallAt(c.loop.Now()+releaseTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.released {
			c.release(net.ErrClosed)
		}
	})
}
