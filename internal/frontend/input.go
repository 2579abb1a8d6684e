package frontend

import "cloverrock/internal/pgwire"

// A client's input is handled in turns, so that no client keeps the event loop from the others: after maxTurnCommands
// commands, the next turn is queued behind the events of all others. Input is left in the socket while a turn is queued
// or the pipeline is full. A client that sends ahead is slowed down by that, and loses nothing.

const (
	// maxTurnCommands is the number of commands of one client that are executed in a turn.
	maxTurnCommands = 16

	// maxPipelined and maxPipelinedBytes are the number of commands that may be queued for one client, and the size of
	// their texts above which no more are queued.
	maxPipelined      = 64
	maxPipelinedBytes = 64 << 10
)

// input is what was received from a client and not parsed yet.
type input struct {
	unparsed      []byte
	unparsedSince int64 // when the first byte of an incomplete message in unparsed arrived
	arrivedAt     int64 // of the messages that are parsed next
	blocked       bool  // the next message is not parsed because the pipeline has no room
	paused        bool  // further input is left in the socket
}

// Data implements eventloop.Handler.
func (c *client) Data(data []byte) {
	if c.terminated || c.framingLost() {
		return
	}
	earlierWaits := len(c.unparsed) > 0 && (c.blocked || c.turnQueued)
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

// parseCommands queues the messages in the input as far as the pipeline has room.
func (c *client) parseCommands() {
	c.blocked = false
	for len(c.unparsed) > 0 && !c.framingLost() {
		message, rest, complete, err := pgwire.Next(c.unparsed)
		switch {
		case err != nil:
			c.loseFraming(err)
			return
		case !complete:
			return
		case !c.pipelineHasRoom():
			c.blocked = true
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

// pipelineHasRoom reports whether one more command may be queued. It always may if nothing is due to the client.
func (c *client) pipelineHasRoom() bool {
	if !c.isOwedAnswer() {
		return true
	}
	return len(c.pipeline) < maxPipelined && c.pipelineBytes < maxPipelinedBytes && !c.server.memoryIsScarce()
}

// isOwedAnswer reports whether the client has sent a command that is not answered yet.
func (c *client) isOwedAnswer() bool { return c.awaitingAnswer || len(c.pipeline) > 0 }

// pauseOrResumeInput leaves further input in the socket while earlier input has to wait, or while memory is scarce and
// the client is due an answer, after which it is called again.
func (c *client) pauseOrResumeInput() {
	pause := c.turnQueued || c.blocked || c.isOwedAnswer() && c.server.memoryIsScarce()
	if pause == c.paused {
		return
	}
	c.paused = pause
	if pause {
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
	c.blocked = false
	if c.paused {
		c.paused = false
		c.conn.ResumeInput()
	}
	c.updateHeldBytes()
}
