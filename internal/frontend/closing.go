package frontend

// A connection is ended by a lingering close. To close the socket at once would reset the connection over whatever the
// client is just sending, and a reset takes with it the answers that the client has not read yet. So our side ends
// first, and the socket stays open until the client has ended its side too, or until its time is up.

// retryInterval is the time in microseconds that a client has to read its answers before more is done for it.
const retryInterval = 5e3

// Closed implements eventloop.Handler.
func (c *client) Closed(error) { c.forget() }

func (c *client) close() {
	c.conn.Close()
	c.forget()
}

// forget removes a closed connection from the server, and gives up its request.
func (c *client) forget() {
	if c.closed {
		return
	}
	c.closed = true
	c.markBusy() // takes it out of the lists
	c.partial = nil
	c.pipeline = nil
	c.updateHeldBytes()
	delete(c.server.clients, c)
	delete(c.server.cancelKeys, c.cancelID)
	if c.active {
		c.server.activeClients--
	}
	c.abandonRequest()
	c.server.finishShutdown()
}

// closeIfDrained begins the lingering close of a connection on which no answer is due, unless the client's next bytes
// have arrived, and reports whether it did. Meanwhile the connection counts as open. A client without a request has
// nothing to lose: its descriptor is free at once.
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

// beginLinger ends our side of the connection by the given function, and reports whether that has succeeded.
func (c *client) beginLinger(closeWrite func() bool) bool {
	if !closeWrite() {
		return false
	}
	c.markBusy() // takes it out of the lists
	c.partial = nil
	c.pipeline = nil
	if c.active {
		c.active = false
		c.server.activeClients--
	}
	c.updateHeldBytes()
	c.lingering = true
	c.stateSince = c.server.loop.Now()
	c.idleEntry = c.server.lingeringClients.PushBack(c)
	return true
}

// closeWhenFlushed ends the connection once everything that was written to it is on its way. Meanwhile the client may
// send a request: unless the connection is terminated, that one is taken and answered first, also where it is in the
// socket and was not read yet.
func (c *client) closeWhenFlushed() {
	if c.closed || c.lingering || c.hasWork() { // processPipeline comes back to it
		return
	}
	if !c.tryFinalClose() {
		c.retryLater(c.closeWhenFlushed)
	}
}

func (c *client) hasWork() bool {
	return c.awaitingAnswer || len(c.partial) > 0 || len(c.pipeline) > 0
}

func (c *client) tryFinalClose() bool {
	if c.terminated {
		return c.beginLinger(c.conn.ForceCloseWrite)
	}
	justConnected := !c.active && c.server.loop.Now()-c.stateSince <= inputGrace
	return !justConnected && c.closeIfDrained() // the first request may be on its way
}

// retryLater calls f once the client has had some time to read; at most one call is pending.
func (c *client) retryLater(f func()) {
	c.retryTimer.Stop()
	c.retryTimer = c.server.loop.CallAt(c.server.loop.Now()+retryInterval, f)
}

// terminate ends the connection once everything that was written to it is on its way; further input is ignored.
func (c *client) terminate() {
	c.terminated = true
	c.pipeline = nil
	c.partial = nil
	c.stateSince = c.server.loop.Now()
	c.markBusy()
	c.updateHeldBytes()
	c.closeWhenFlushed()
}
