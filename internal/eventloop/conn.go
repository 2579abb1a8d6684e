package eventloop

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	// maxDiscardedReads bounds the reads of discarded input before other connections have their turn.
	maxDiscardedReads = 4

	// releaseTimeout is how long, in microseconds, the engine has to close a socket whose end it should come to itself.
	releaseTimeout = 1e5
)

// Conn is one TCP connection. Its methods belong to the loop's goroutine.
//
// The engine closes sockets on its own goroutine as well, and a descriptor that is free goes to the next socket. So every
// use of the descriptor here is made under mu, and the engine's reads, in which it meets the end, are made under it too:
// what the peer sends is either seen before we end our side, or never delivered.
type Conn struct {
	loop     *Loop
	nb       *nbio.Conn // nil if the dial failed at once
	handler  Handler
	accepted bool
	closed   bool // nothing more is delivered to the handler

	queuedBytes  int64        // given to Write
	writtenBytes atomic.Int64 // taken by the kernel

	mu               sync.Mutex // guards the fields below and the descriptor
	released         bool       // the descriptor is not ours any more
	writeClosed      bool       // our side has ended: further input is discarded
	undeliveredReads int        // that the handler has not received yet
}

// read reads what the peer has sent, on the engine's goroutine. It returns 0 and no error where there is nothing more yet,
// and an error at the end, by which time the socket is closed.
func (c *Conn) read(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for discarded := 0; discarded < maxDiscardedReads; {
		if c.released {
			return 0, net.ErrClosed
		}
		n, err = c.nb.Read(b)
		switch {
		case n > 0 && c.writeClosed:
			discarded++
		case n > 0:
			c.undeliveredReads++
			return n, nil
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		default:
			if err == nil {
				err = io.EOF
			}
			c.release(err)
			return 0, err
		}
	}
	return 0, nil
}

// readDelivered notes that the handler receives a read.
func (c *Conn) readDelivered() {
	c.mu.Lock()
	c.undeliveredReads--
	c.mu.Unlock()
}

// Write sends b, now or as the socket takes it.
//
// The first try is made here and not by the engine, which closes a socket at an error, on this goroutine, while its own
// may hold an event of it that would then meet the next socket with the same descriptor. After an error the engine comes
// to that event and closes the socket itself.
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
		c.released = err != nil // then the engine has closed it, and calls engineClosed
	}
}

func (c *Conn) descriptor() (fd int) {
	// Neither fails while the socket is open, which callers see to.
	raw, _ := c.nb.SyscallConn()
	_ = raw.Control(func(socket uintptr) { fd = int(socket) })
	return fd
}

// Flushed reports whether the kernel has taken the last byte given to Write. Only after Close, or once Closed was called,
// is the answer final: until then the engine may go on writing what is left.
func (c *Conn) Flushed() bool { return c.writtenBytes.Load() >= c.queuedBytes }

// UnsentBytes returns the number of bytes that the kernel has yet to take.
func (c *Conn) UnsentBytes() int64 { return c.queuedBytes - c.writtenBytes.Load() }

// InputDrained reports whether the handler has received everything that the peer has sent, its end included. It looks into
// the socket itself: what has arrived there may be some time away from the handler.
func (c *Conn) InputDrained() bool {
	if c.closed || c.nb == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputDrainedLocked()
}

func (c *Conn) inputDrainedLocked() bool {
	if c.released || c.writeClosed || c.undeliveredReads > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, syscall.EAGAIN)
}

// peek looks for a byte in the socket: 0 and no error are the end of the peer's side.
func (c *Conn) peek() (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(c.descriptor(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// PeerClosed reports whether the peer or the network has ended the connection, whether or not the handler was called for
// it, and whether or not unread bytes lie before the end: then the state of the TCP connection shows it.
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
	return err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}

// CloseWrite ends our side, unless the peer has sent something that the handler has not received or bytes are unsent, and
// reports whether it did. What the peer sends from then on is read and discarded, so that it resets nothing that is on its
// way to the peer; Closed is called once the peer has ended its side, too.
func (c *Conn) CloseWrite() bool { return c.closeWriteIf(c.inputDrainedLocked) }

// ForceCloseWrite is CloseWrite for a connection whose further input is ignored in any case.
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

// Close ends the connection; the handler receives nothing more. The engine comes to the end of the socket and closes it:
// done here, the descriptor might go to another socket while the engine still holds an event of this one.
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

// shutdownUnlessReleased ends both sides of the socket. The engine may be writing to it on its own goroutine, and close it at
// an error: it marks it as closed first, under its own lock.
func (c *Conn) shutdownUnlessReleased() {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); closed {
		return
	}
	_ = syscall.Shutdown(c.descriptor(), syscall.SHUT_RDWR) // after an error releaseLater closes the socket
}

// release closes the socket, under the lock.
func (c *Conn) release(err error) {
	c.released = true
	_ = c.nb.CloseWithError(err) // it fails only if the socket is closed already
}

// releaseLater closes the socket after a while, in case the engine does not come to its end.
func (c *Conn) releaseLater() {
	c.loop.CallAt(c.loop.Now()+releaseTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.released {
			c.release(net.ErrClosed)
		}
	})
}
