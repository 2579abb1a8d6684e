package frontend

// A connection ends with a lingering close. Closing the socket at once would reset the connection if the client is just
// sending something, and a reset discards the answers that the client has not read yet. The server therefore closes its
// write side first and keeps the socket open until the client has closed its side or lingerTimeout is over.

// retryInterval is the time in microseconds after which a step that could not be taken yet is tried again, for example
// because a client has not read its answers.
const retryInterval = 5e3

// Closed implements eventloop.Handler.
func (c *client) Closed(error) { c.remove() }

func (c *client) close() {
	c.conn.Close()
	c.remove()
}

// remove removes a closed connection from the server and abandons its request.
func (c *client) remove() {
	if c.closed {
		return
	}
	c.closed = true
	c.markBusy() // removes it from the server's lists
	c.discardInput()
	delete(c.server.clients, c)
	delete(c.server.cancelKeys, c.cancelID)
	if c.active {
		c.server.activeClients--
	}
	c.abandonRequest()
	c.server.finishShutdown()
}

// closeIfDrained begins the lingering close of a connection on which no answer is due, and reports whether it did. It
// does nothing if further bytes of the client have arrived, or if answers are unsent. While it lingers the connection
// counts as open. A client that has sent no request cannot lose an answer, so its connection is closed at once and the
// descriptor is freed.
func (c *client) closeIfDrained() bool {
	hadRequest := c.active
	if !c.beginLinger(c.conn.CloseWrite) {
		return false
	}
	if !hadRequest {
		c.close()
	}
	return true
}

// beginLinger closes the write side by the given function, and reports whether that has succeeded.
func (c *client) beginLinger(closeWrite func() bool) bool {
	if !closeWrite() {
		return false
	}
	c.markBusy() // removes it from the server's lists
	c.discardInput()
	if c.active {
		c.active = false
		c.server.activeClients--
	}
	c.lingering = true
	c.stateSince = c.server.loop.Now()
	c.idleEntry = c.server.lingeringClients.PushBack(c)
	return true
}

// closeWhenFlushed ends the connection once the kernel has taken all bytes that were written to it. Until then the
// client may send another request. Unless the connection is terminated, that request is accepted and answered first,
// even if it is still unread in the socket.
func (c *client) closeWhenFlushed() {
	if c.closed || c.lingering || c.hasWork() { // takeTurn calls closeWhenFlushed again
		return
	}
	if !c.tryFinalClose() {
		c.retryLater(c.closeWhenFlushed)
	}
}

func (c *client) hasWork() bool {
	return c.isOwedAnswer() || c.turnQueued || len(c.unparsed) > 0
}

func (c *client) tryFinalClose() bool {
	if c.terminated {
		return c.beginLinger(c.conn.ForceCloseWrite)
	}
	justConnected := !c.active && c.server.loop.Now()-c.stateSince <= inputGracePeriod
	return !justConnected && c.closeIfDrained() // the first request may still be in transit
}

// retryLater calls f after retryInterval, in place of an earlier call that is still pending.
func (c *client) retryLater(f func()) {
	c.retryTimer.Stop()
	c.retryTimer = c.server.loop.CallAt(c.server.loop.Now()+retryInterval, f)
}

// terminate ends the connection once all bytes written to it are flushed. Further input is ignored.
func (c *client) terminate() {
	c.terminated = true
	c.discardInput()
	c.stateSince = c.server.loop.Now()
	c.markBusy()
	c.closeWhenFlushed()
}
