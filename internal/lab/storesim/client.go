package storesim

import (
	"errors"
	"fmt"
	"strconv"

	"cloverrock/internal/store/core"
	"cloverrock/internal/store/machine"
)

const (
	sharedKeys       = 8
	sharedValueBytes = 100
	callTimeout      = 4 * second
	noLeaderDelay    = 50 * millisecond // until a call to an instance that is down fails
	sessionDelay     = 20 * millisecond // from the answer to a request for a session to the next call
	newSessionDelay  = 10 * millisecond // from the end of a session to the request for a new one
)

// client opens a session and sends writes, each of a key of its own and a shared key. It retries a write that was not
// acknowledged at a random instance, with the same sequence number.
type client struct {
	simulation *simulation
	number     int
	session    uint64 // 0: none
	sequence   uint64
}

// call proposes a command to a random instance, and calls done with the answer or, at the timeout, with an error.
func (c *client) call(command machine.Command, done func(core.Answer)) {
	s := c.simulation
	target := s.instances[s.random.IntN(len(s.instances))]
	s.lastToken++
	token := s.lastToken
	answered := false
	finish := func(answer core.Answer) {
		if !answered {
			answered = true
			delete(s.pendingCalls, token)
			done(answer)
		}
	}
	s.schedule(callTimeout, func() { finish(core.Answer{Err: core.ErrOutcomeUnknown}) })
	if target.core == nil {
		s.schedule(noLeaderDelay, func() { finish(core.Answer{Err: core.ErrNoLeader}) })
		return
	}
	s.pendingCalls[token] = finish
	target.core.Propose(token, &command)
	if !target.diskFull {
		s.process(target)
	}
}

func (c *client) nextWrite() {
	if c.simulation.faultsEnded {
		return
	}
	if c.session == 0 {
		c.openSession()
		return
	}
	c.sequence++
	key := fmt.Sprintf("%d/%d/%d", c.number, c.session, c.sequence)
	shared := sharedPrefix + strconv.Itoa(c.simulation.random.IntN(sharedKeys))
	c.write(key, machine.Command{
		Kind: machine.TransactionKind, Session: c.session, Seq: c.sequence,
		Then: []machine.Op{
			{Kind: machine.Put, NS: dataNamespace, Key: key, Value: []byte(key)},
			{Kind: machine.Put, NS: dataNamespace, Key: shared, Value: make([]byte, sharedValueBytes)},
		},
	}, 0)
}

func (c *client) openSession() {
	c.call(machine.Command{Kind: machine.OpenSessionKind}, func(answer core.Answer) {
		if answer.Err == nil && answer.Result.Code == machine.OK {
			c.session = answer.Result.ID
			c.sequence = 0
		}
		c.simulation.schedule(sessionDelay, c.nextWrite)
	})
}

// write sends a command until it is acknowledged, its session has ended, or endFaults is called.
func (c *client) write(key string, command machine.Command, retries int) {
	s := c.simulation
	if s.ResendAsNew && retries > 0 {
		command.Session = 0
	}
	c.call(command, func(answer core.Answer) {
		switch {
		case answer.Err == nil && answer.Result.Code == machine.OK:
			s.acknowledged[key]++
			s.result.Acknowledged++
			s.schedule(int64(5+s.random.IntN(40))*millisecond, c.nextWrite)
		case answer.Err == nil && answer.Result.Code == machine.NoSession:
			c.session = 0
			s.schedule(newSessionDelay, c.nextWrite)
		case errors.Is(answer.Err, core.ErrHalted):
			s.addViolation("halted: %v", answer.Err)
		default:
			s.schedule(int64(50+s.random.IntN(100))*millisecond, func() {
				if !s.faultsEnded {
					c.write(key, command, retries+1)
				}
			})
		}
	})
}
