package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// Input is read in fair turns. The engine reads a connection when data arrives, up to the limits below. If more is left
// then, the loop reads on: one read in each of its turns, and in between all other connections, timers and calls are
// served. So no peer holds the engine, the loop or the queue between them, however fast it sends; what is not read stays
// in the socket and slows the peer down.
//
// A handler that cannot take more input pauses it, and the input stays in the socket until the handler resumes it.
//
// If the peer has closed its side, the engine closes the socket after the event. Then the engine reads what is left, of
// which there is no more than a socket's buffer holds; it waits for room in the queue.

const (
	// readBufferSize is the maximum size of one read from a socket, in bytes.
	readBufferSize = 64 << 10

	// maxEngineReads is the number of reads by the engine at one event of a connection.
	maxEngineReads = 4

	// maxUndelivered is the number of bytes of a connection that were read and not handled above which the engine
	// does not read further.
	maxUndelivered = 64 << 10
)

// input is the state of a connection's input. Conn.mu guards it.
type input struct {
	undeliveredReads int // reads that the handler has not received yet
	undeliveredBytes int // bytes of these reads
	paused           bool
	turns            bool  // the loop reads the socket in turns and not the engine
	waitingSince     int64 // since when input may wait unread in the socket, on the loop's clock; 0: none waits
}

// readArrived reads input that has arrived. It is called on the engine's goroutine.
func (l *Loop) readArrived(c *Conn) {
	for reads := 0; ; reads++ {
		data, more, err := c.engineRead(l.engineBuffer, reads)
		if err != nil {
			l.post(event{conn: c, kind: closedEvent, err: err})
		}
		if len(data) > 0 {
			l.post(event{conn: c, kind: readEvent, data: append([]byte(nil), data...)})
		}
		if !more {
			return
		}
	}
}

// engineRead reads once on the engine's goroutine, reads being the number of its reads before at the same event. It
// reports whether the engine may read further. The error is the end of the connection, whose socket is closed then.
func (c *Conn) engineRead(b []byte, reads int) (data []byte, more bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return nil, false, net.ErrClosed
	}
	in := &c.input
	if in.paused || in.turns || reads >= maxEngineReads || in.undeliveredBytes >= maxUndelivered {
		if !c.peerClosedInTCPState() {
			c.leaveToLoop()
			return nil, false, nil
		}
	}
	n, err := c.readSocket(b)
	switch {
	case n > 0 && (c.writeClosed || in.paused):
		return nil, true, nil // discarded
	case n > 0:
		in.undeliveredReads++
		in.undeliveredBytes += n
		return b[:n], true, nil
	case err != nil:
		c.release(err)
		return nil, false, err
	}
	return nil, false, nil
}

// leaveToLoop makes the loop read the input that the engine leaves in the socket. mu must be locked.
func (c *Conn) leaveToLoop() {
	c.input.markWaiting(c.loop.Now())
	if c.input.turns || c.input.paused {
		return // the loop reads the socket already, or will once the handler resumes the input
	}
	c.input.turns = true
	c.loop.post(event{conn: c, kind: turnEvent})
}

func (in *input) markWaiting(now int64) {
	if in.waitingSince == 0 {
		in.waitingSince = now
	}
}

// readSocket reads once. It returns 0 and no error if no input waits, and an error at the end of the connection. mu must
// be locked.
func (c *Conn) readSocket(b []byte) (n int, err error) {
	for {
		n, err = c.nb.Read(b)
		switch {
		case n > 0:
			return n, nil
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case err != nil:
			return 0, err
		default:
			return 0, io.EOF
		}
	}
}

// takeTurns reads each connection that the loop reads in turn once.
func (l *Loop) takeTurns() {
	batch := l.turns
	l.turns = l.spareTurns[:0]
	for i, c := range batch {
		batch[i] = nil
		data, more := c.turnRead(l.turnBuffer)
		c.inTurn = false
		if more {
			l.startTurns(c)
		}
		if len(data) > 0 {
			c.deliver(append([]byte(nil), data...))
		}
	}
	l.spareTurns = batch
}

// startTurns makes the loop read a connection in turn.
func (l *Loop) startTurns(c *Conn) {
	if !c.inTurn {
		c.inTurn = true
		l.turns = append(l.turns, c)
	}
}

// turnRead reads once on the loop's goroutine, and reports whether the loop reads the connection further. It does not
// close the socket at the end of the connection: the engine has an event of it, and may use the descriptor until then.
func (c *Conn) turnRead(b []byte) (data []byte, more bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := &c.input
	switch {
	case c.released || in.paused:
		return nil, false
	case in.undeliveredReads > 0: // what the engine has read comes first
		return nil, true
	}
	n, err := c.readSocket(b)
	switch {
	case n > 0 && c.writeClosed:
		return nil, true // discarded
	case n > 0:
		return b[:n], true
	case err != nil:
		c.releaseLater()
		return nil, false
	}
	in.turns = false
	in.waitingSince = 0
	return nil, false
}

// PauseInput leaves further input in the socket until ResumeInput is called. The end of the connection is detected all
// the same, and discards input that was left.
func (c *Conn) PauseInput() { c.setPaused(true) }

// ResumeInput ends the effect of PauseInput.
func (c *Conn) ResumeInput() { c.setPaused(false) }

func (c *Conn) setPaused(paused bool) {
	if c.closed || c.nb == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input.paused == paused {
		return
	}
	c.input.paused = paused
	c.input.turns = true // the engine may have left input in the socket
	c.input.markWaiting(c.loop.Now())
	if !paused {
		c.loop.startTurns(c)
	}
}

// InputWaitingSince returns since when input that the handler receives now may have waited in the socket, or 0 if it has
// not waited there.
func (c *Conn) InputWaitingSince() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.input.waitingSince
}

// readDelivered records that one read of n bytes is passed to the handler.
func (c *Conn) readDelivered(n int) {
	c.mu.Lock()
	c.input.undeliveredReads--
	c.input.undeliveredBytes -= n
	c.mu.Unlock()
}

func (c *Conn) deliver(data []byte) {
	if !c.closed && c.handler != nil {
		c.handler.Data(data)
	}
}

// ended tells the handler that the peer or the network has ended the connection.
func (c *Conn) ended(err error) {
	if !c.closed && c.handler != nil {
		c.closed = true
		c.handler.Closed(err)
	}
}
