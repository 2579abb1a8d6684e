package frontend

import "cloverrock/internal/pgwire"

// A client's input is handled in turns, so that no client keeps the event loop from the others: after maxTurnCommands
// commands, the next turn is queued behind the events of all others. Input is left in the socket while a turn is queued.

const (
	// maxTurnCommands is the number of commands of one client that are executed in a turn.
	maxTurnCommands = 16

	// maxPipelined is the number of commands that may be queued for one client.
	maxPipelined = 64
)

// input is what was received from a client and not parsed yet.
type input struct {
	unparsed      []byte
	unparsedSince int64 // when the first byte of an incomplete message in unparsed arrived
	arrivedAt     int64 // of the messages that are parsed next
	paused        bool  // further input is left in the socket
}

// Data implements eventloop.Handler.
func (c *client) Data(data []byte) {
	if c.terminated || c.framingLost() {
		return
	}
	earlierWaits := len(c.unparsed) > 0 && c.turnQueued
	if !earlierWaits { // otherwise the time of the earlier input counts for this, too
		c.arrivedAt = c.arrivalTime()
	}
	if len(c.unparsed) == 0 {
		c.unparsedSince = c.arrivedAt
		c.unparsed = data
	} else {
		c.unparsed = append(c.unparsed, data...)
	}
	if c.turnQueued {
		c.updateHeldBytes()
		return
	}
	c.takeTurn()
}

// arrivalTime returns the earliest time at which input that is received now may have arrived.
func (c *client) arrivalTime() int64 {
	if since := c.conn.InputWaitingSince(); since != 0 {
		return since
	}
	return c.server.loop.Now()
}

func (c *client) framingLost() bool {
	n := len(c.pipeline)
	return n > 0 && c.pipeline[n-1].err != nil
}

// queueTurn queues a turn behind the events that are queued already.
func (c *client) queueTurn() {
	if !c.turnQueued {
		c.turnQueued = true
		c.server.loop.Post(c.takeTurn)
	}
}

// takeTurn handles the client's input until a request is in flight, nothing is left to do or the turn is over.
func (c *client) takeTurn() {
	c.turnQueued = false
	steps := 0
	for steps < maxTurnCommands && c.step() {
		steps++
	}
	if c.closed || c.terminated {
		return
	}
	if steps == maxTurnCommands {
		c.queueTurn()
	}
	c.updateHeldBytes()
	c.server.enforceMemoryLimit()
	if c.closed || c.terminated {
		return
	}
	c.pauseOrResumeInput()
	c.updateState()
}

// step handles a startup message or executes a command, and reports whether the next step may follow.
func (c *client) step() bool {
	if c.terminated || c.closed {
		return false
	}
	if !c.started && !c.framingLost() {
		return c.parseStartup()
	}
	c.parseCommands()
	if c.awaitingAnswer || len(c.pipeline) == 0 {
		return false
	}
	c.markBusy()
	if c.conn.UnsentBytes() > maxUnsent {
		c.retryLater(c.takeTurn)
		return false
	}
	c.execute(c.takeCommand())
	return true
}

// parseStartup handles the first message in the input of a client that has not started, and reports whether it was
// complete.
func (c *client) parseStartup() bool {
	startup, rest, complete, err := pgwire.NextStartup(c.unparsed)
	if err != nil {
		c.loseFraming(err)
		return true
	}
	if !complete {
		return false
	}
	c.unparsed = rest
	c.handleStartup(startup)
	return true
}

// parseCommands queues the messages in the input, and ends the connection if the pipeline is full.
func (c *client) parseCommands() {
	for len(c.unparsed) > 0 && !c.framingLost() {
		message, rest, complete, err := pgwire.Next(c.unparsed)
		switch {
		case err != nil:
			c.loseFraming(err)
			return
		case !complete:
			return
		case len(c.pipeline) >= maxPipelined && c.awaitingAnswer:
			c.rejectExcessInput()
			return
		case len(c.pipeline) >= maxPipelined:
			return
		}
		c.unparsed = rest
		c.unparsedSince = c.arrivedAt
		c.pipeline = append(c.pipeline, command{kind: message.Type, text: message.Body, receivedAt: c.arrivedAt})
		c.pipelineBytes += len(message.Body)
	}
	if len(c.unparsed) == 0 {
		c.unparsed = nil
	}
}

// loseFraming queues the error of input in which no further message can be found.
func (c *client) loseFraming(err error) {
	c.unparsed = nil
	c.pipeline = append(c.pipeline, command{receivedAt: c.arrivedAt, err: err})
}

// isOwedAnswer reports whether the client has sent a command that is not answered yet.
func (c *client) isOwedAnswer() bool { return c.awaitingAnswer || len(c.pipeline) > 0 }

// pauseOrResumeInput leaves further input in the socket while earlier input waits for the next turn.
func (c *client) pauseOrResumeInput() {
	if c.turnQueued == c.paused {
		return
	}
	c.paused = c.turnQueued
	if c.paused {
		c.conn.PauseInput()
	} else {
		c.conn.ResumeInput()
	}
}

// discardInput drops all input and queued commands. Further input is received, because unread input would cause a reset
// that destroys the last answers.
func (c *client) discardInput() {
	c.unparsed = nil
	c.pipeline = nil
	c.pipelineBytes = 0
	if c.paused {
		c.paused = false
		c.conn.ResumeInput()
	}
	c.updateHeldBytes()
}
